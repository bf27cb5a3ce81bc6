//! The state machine of one peer (RFC 4271 section 8).
//!
//! [`Session::step`] takes an input and the current time and returns effects; it reads no clock and owns no socket. The
//! caller opens and closes connections, frames messages and passes on what it received.
//!
//! | state | connections | left by |
//! | --- | --- | --- |
//! | Idle | none | start, or expiry of the idle hold timer |
//! | Connect | one being opened | connected (OpenSent), failed (Active) |
//! | Active | none; accepts one | ConnectRetryTimer (Connect), connection accepted (OpenSent) |
//! | OpenSent | one or two, OPEN sent | the peer's OPEN (OpenConfirm) |
//! | OpenConfirm | the peer's OPEN accepted | the peer's KEEPALIVE (Established) |
//! | Established | one | NOTIFICATION, expiry of the hold timer, error, stop |
//!
//! Deviations from the RFC: DelayOpen is not implemented, as nothing here needs it. An error that leaves no connection
//! starts the idle hold timer. The timer damps oscillations (section 8.1.1, DampPeerOscillations): its duration doubles
//! with each flap from the third on. A flap is an error before a session has been established for a minute; each full
//! minute of a longer session takes one flap off the count. A connection accepted while Idle is refused without an OPEN.

use std::net::Ipv4Addr;

use ipnet::IpNet;
use oorandom::Rand32;

use crate::message::{
    Family, Message, MessageError, Notification, ObservedRoute, Open, code, encode_keepalive,
    encode_route_refresh,
};

/// Configuration of a session.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionConfig {
    pub asn: u32,
    /// BGP Identifier.
    pub bgp_id: Ipv4Addr,
    pub peer_asn: u32,
    /// Hold time in seconds: zero disables the hold timer, otherwise at least three.
    pub hold_time_s: u16,
    pub families: Vec<Family>,
    /// Whether this side opens connections. Otherwise it only accepts those of the peer.
    pub connects: bool,
    /// ConnectRetryTime in milliseconds, before jitter.
    pub connect_retry_ms: f64,
    /// IdleHoldTime in milliseconds after the first and the second flap, before jitter. It doubles from the third on.
    pub idle_hold_ms: f64,
    /// Prefixes that the peer may announce; above this the session ends with Cease/1.
    pub max_prefixes: u64,
}

/// Which side opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Direction {
    Out,
    In,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Idle,
    Connect,
    Active,
    OpenSent,
    OpenConfirm,
    Established,
}

/// Events of the state machine. A connection is identified by the side that opened it: there is at most one in each
/// direction.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Events 1 and 3 (section 8.1.2).
    Start,
    /// Event 2, with the NOTIFICATION to send.
    Stop(Notification),
    /// The configuration has changed. An established session stays up unless the AS numbers, the BGP Identifier or the
    /// address families differ; a new hold time applies from the next OPEN on.
    Configure(SessionConfig),
    /// Events 16 and 17.
    Connected(Direction),
    /// Event 18, also for a failed attempt to connect and for a connection that can no longer be written to.
    Closed(Direction),
    Received(Direction, Message),
    /// Events 21, 22 and 28.
    Malformed(Direction, MessageError),
    /// Sends ROUTE-REFRESH to a peer that supports it, so that newly watched prefixes are reported.
    RequestRefresh,
    /// The time returned by [`Session::next_timer`] is reached.
    Timer,
}

/// Actions for the caller, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Connect,
    Send(Direction, Vec<u8>),
    /// Closes the connection after everything sent on it has been written, or at once if that is not possible.
    Close(Direction),
    /// Closes the new connection; an earlier one in the same direction stays open.
    Refuse(Direction),
    /// The session is established: routes may be sent on this connection.
    Up {
        direction: Direction,
        families: Vec<Family>,
        four_octets: bool,
    },
    /// The session has ended, for the given reason; the peer drops all routes.
    Down(String),
    /// The peer requests all routes of an address family again.
    RefreshRequested(Family),
    /// The peer announced a route to a watched prefix, or withdrew it.
    WatchedRoute(IpNet, Option<ObservedRoute>),
}

/// Maximum of the flap count. It limits the idle hold time to 16 times [`SessionConfig::idle_hold_ms`], 80 s for 5 s.
const MAX_FLAPS: u32 = 6;
/// The end of a session that was established for at least this long is not a flap; each such period takes one flap off
/// the count.
const STABLE_MS: f64 = 60_000.0;
/// Hold time while waiting for an OPEN. Section 8.2.2 suggests four minutes; a client that is not a BGP peer must not
/// occupy the connection that long.
const OPEN_HOLD_MS: f64 = 30_000.0;
/// Timers are shortened by a random share of up to this value (section 10).
const JITTER: f64 = 0.25;

#[derive(Clone, Debug)]
struct Connection {
    state: State,
    /// The peer's OPEN, once received.
    open: Option<Open>,
    hold_ms: f64,
    /// Expiry of the hold timer and of the keepalive timer.
    hold_at: f64,
    keepalive_at: f64,
}

/// State machine of the session with one peer.
#[derive(Clone, Debug)]
pub struct Session {
    config: SessionConfig,
    rng: Rand32,
    now: f64,
    /// Between [`Input::Start`] and [`Input::Stop`].
    started: bool,
    connecting: bool,
    connections: [Option<Connection>; 2],
    retry_at: f64,
    idle_hold_until: f64,
    flaps: u32,
    established_at: f64,
    received_prefixes: u64,
    last_error: Option<String>,
}

impl Session {
    pub fn new(config: SessionConfig, seed: u64) -> Self {
        Self {
            config,
            rng: Rand32::new(seed),
            now: 0.0,
            started: false,
            connecting: false,
            connections: [None, None],
            retry_at: f64::INFINITY,
            idle_hold_until: 0.0,
            flaps: 0,
            established_at: f64::INFINITY,
            received_prefixes: 0,
            last_error: None,
        }
    }

    pub fn state(&self) -> State {
        let best = self.connections.iter().flatten().map(|c| c.state).max();
        match best {
            Some(state) => state,
            None if self.connecting => State::Connect,
            None if self.started && self.now >= self.idle_hold_until => State::Active,
            None => State::Idle,
        }
    }

    /// Current flap count, which determines the idle hold time.
    pub fn flaps(&self) -> u32 {
        self.flaps
    }

    /// Prefixes that the peer has announced minus those that it has withdrawn.
    pub fn received_prefixes(&self) -> u64 {
        self.received_prefixes
    }

    pub fn last_error(&self) -> Option<&str> {
        self.last_error.as_deref()
    }

    /// Time of the next [`Input::Timer`], in milliseconds.
    pub fn next_timer(&self) -> f64 {
        let connections = self.connections.iter().flatten().map(|c| c.hold_at.min(c.keepalive_at));
        let idle = self.started && self.connections.iter().all(Option::is_none) && !self.connecting;
        let idle_hold_at =
            if idle && self.now < self.idle_hold_until { self.idle_hold_until } else { f64::INFINITY };
        connections.fold(self.retry_at.min(idle_hold_at), f64::min)
    }

    /// Processes an input at time `now` in milliseconds. If `now` is before the time of an earlier input, that time is used.
    pub fn step(&mut self, now: f64, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        let mut effects = Vec::new();
        match input {
            Input::Start if !self.started => {
                self.started = true;
                self.start_connecting(&mut effects);
            }
            Input::Start => {}
            Input::Stop(notification) => self.stop(notification, &mut effects),
            Input::Configure(config) => self.configure(config, &mut effects),
            Input::Connected(direction) => self.on_connected(direction, &mut effects),
            Input::Closed(direction) => self.on_closed(direction, &mut effects),
            Input::Received(direction, message) => self.on_message(direction, message, &mut effects),
            Input::Malformed(direction, error) => self.fail(direction, error.0, &mut effects),
            Input::RequestRefresh => self.request_refresh(&mut effects),
            Input::Timer => self.on_timer(&mut effects),
        }
        effects
    }

    fn with_jitter(&mut self, ms: f64) -> f64 {
        ms * (1.0 - JITTER * f64::from(self.rng.rand_float()))
    }

    /// Leaves Idle: opens a connection or waits for one, unless the idle hold timer is running.
    fn start_connecting(&mut self, effects: &mut Vec<Effect>) {
        if self.now < self.idle_hold_until {
            return;
        }
        let retry = self.with_jitter(self.config.connect_retry_ms);
        self.retry_at = if self.config.connects { self.now + retry } else { f64::INFINITY };
        if self.config.connects && !self.connecting {
            self.connecting = true;
            effects.push(Effect::Connect);
        }
    }

    fn configure(&mut self, config: SessionConfig, effects: &mut Vec<Effect>) {
        let before = std::mem::replace(&mut self.config, config);
        let identity =
            |config: &SessionConfig| (config.asn, config.bgp_id, config.peer_asn, config.families.clone());
        let started = self.started;
        if identity(&before) != identity(&self.config) {
            self.stop(Notification::new(code::CEASE, code::OTHER_CONFIG_CHANGE), effects);
            // The flap count and the idle hold belong to the earlier configuration.
            self.flaps = 0;
            self.idle_hold_until = self.now;
        } else if started && self.config.connects && !before.connects && self.state() == State::Active {
            self.retry_at = self.now;
            self.on_timer(effects);
        }
        if started && !self.started {
            self.started = true;
            self.start_connecting(effects);
        }
    }

    fn request_refresh(&self, effects: &mut Vec<Effect>) {
        for direction in [Direction::Out, Direction::In] {
            let connection =
                self.connections[direction as usize].as_ref().filter(|c| c.state == State::Established);
            if let Some(open) = connection.and_then(|c| c.open.as_ref()).filter(|o| o.route_refresh) {
                let shared = open.families.iter().filter(|f| self.config.families.contains(f));
                effects.extend(shared.map(|family| Effect::Send(direction, encode_route_refresh(*family))));
            }
        }
    }

    fn stop(&mut self, notification: Notification, effects: &mut Vec<Effect>) {
        self.started = false;
        self.retry_at = f64::INFINITY;
        // Abandons an attempt to connect that is still pending.
        if std::mem::take(&mut self.connecting) {
            effects.push(Effect::Close(Direction::Out));
        }
        for direction in [Direction::Out, Direction::In] {
            if self.connections[direction as usize].is_some() {
                self.close(direction, Some(notification.clone()), effects);
            }
        }
        self.end_session("stopped".to_owned(), false, effects);
    }

    fn on_connected(&mut self, direction: Direction, effects: &mut Vec<Effect>) {
        let expected = direction == Direction::In || std::mem::take(&mut self.connecting);
        let established = self.connections.iter().flatten().any(|c| c.state == State::Established);
        let occupied = self.connections[direction as usize].is_some();
        let idle = !self.started || self.now < self.idle_hold_until;
        if !expected || idle || established || occupied {
            effects.push(Effect::Refuse(direction));
            return;
        }
        let config = &self.config;
        let open = Open {
            asn: config.asn,
            hold_time_s: config.hold_time_s,
            bgp_id: config.bgp_id,
            families: config.families.clone(),
            four_octets: true,
            route_refresh: true,
        };
        effects.push(Effect::Send(direction, open.encode()));
        self.connections[direction as usize] = Some(Connection {
            state: State::OpenSent,
            open: None,
            hold_ms: OPEN_HOLD_MS,
            hold_at: self.now + OPEN_HOLD_MS,
            keepalive_at: f64::INFINITY,
        });
        self.retry_at = f64::INFINITY;
    }

    fn on_closed(&mut self, direction: Direction, effects: &mut Vec<Effect>) {
        if direction == Direction::Out && std::mem::take(&mut self.connecting) {
            // Active: accepts a connection until the ConnectRetryTimer expires.
            if self.retry_at.is_infinite() && self.connections.iter().all(Option::is_none) {
                let retry = self.with_jitter(self.config.connect_retry_ms);
                self.retry_at = self.now + retry;
            }
            return;
        }
        let Some(connection) = self.connections[direction as usize].take() else { return };
        if connection.state == State::Established {
            self.end_session("the connection was lost".to_owned(), true, effects);
        } else if self.connections.iter().all(Option::is_none) {
            // In section 8.2.2 OpenSent changes to Active; here the idle hold timer starts, as after any error.
            self.last_error = Some("the connection was lost before it was up".to_owned());
            self.count_flap();
            self.start_idle_hold();
        }
    }

    fn on_message(&mut self, direction: Direction, message: Message, effects: &mut Vec<Effect>) {
        let Some(connection) = &self.connections[direction as usize] else { return };
        let state = connection.state;
        match (state, message) {
            (_, Message::Notification(notification)) => {
                let collision =
                    notification.code == code::CEASE && notification.subcode == code::CONNECTION_COLLISION;
                self.connections[direction as usize] = None;
                effects.push(Effect::Close(direction));
                if state == State::Established {
                    self.end_session(format!("received NOTIFICATION {notification}"), true, effects);
                } else if !collision && self.connections.iter().all(Option::is_none) {
                    self.last_error = Some(format!("received NOTIFICATION {notification}"));
                    self.count_flap();
                    self.start_idle_hold();
                }
            }
            (State::OpenSent, Message::Open(open)) => self.on_open(direction, open, effects),
            (State::OpenConfirm, Message::Keepalive) => self.establish(direction, effects),
            (State::Established, Message::Keepalive) => self.restart_hold_timer(direction),
            (State::Established, Message::Update(routes)) => {
                self.restart_hold_timer(direction);
                let remaining = self.received_prefixes.saturating_sub(u64::from(routes.withdrawn));
                self.received_prefixes = remaining + u64::from(routes.announced);
                effects.extend(
                    routes.watched.into_iter().map(|(prefix, route)| Effect::WatchedRoute(prefix, route)),
                );
                if self.received_prefixes > self.config.max_prefixes {
                    self.fail(direction, Notification::new(code::CEASE, code::MAX_PREFIXES_REACHED), effects);
                }
            }
            (State::Established, Message::Refresh(family)) => {
                self.restart_hold_timer(direction);
                effects.push(Effect::RefreshRequested(family));
            }
            (State::Established, Message::RefreshUnsupported) => self.restart_hold_timer(direction),
            // Unexpected message: the subcode names the state (RFC 6608).
            (state, _) => {
                let subcode = match state {
                    State::OpenSent => 1,
                    State::OpenConfirm => 2,
                    _ => 3,
                };
                self.fail(direction, Notification::new(code::FSM_ERROR, subcode), effects);
            }
        }
    }

    fn on_open(&mut self, direction: Direction, open: Open, effects: &mut Vec<Effect>) {
        if open.asn != self.config.peer_asn {
            return self.fail(direction, Notification::new(code::OPEN, code::BAD_PEER_AS), effects);
        }
        // Within one AS, BGP Identifiers have to be unique (RFC 6286 section 2.2).
        if open.bgp_id == self.config.bgp_id && open.asn == self.config.asn {
            return self.fail(direction, Notification::new(code::OPEN, code::BAD_BGP_IDENTIFIER), effects);
        }
        if !open.families.iter().any(|f| self.config.families.contains(f)) {
            return self.fail(
                direction,
                Notification::new(code::OPEN, code::UNSUPPORTED_CAPABILITY),
                effects,
            );
        }
        // Collision (section 6.8): the connection opened by the side with the higher identifier stays; with equal
        // identifiers, the one of the higher AS (RFC 6286 section 2.3).
        let other = if direction == Direction::Out { Direction::In } else { Direction::Out };
        let collides =
            self.connections[other as usize].as_ref().is_some_and(|c| c.state >= State::OpenConfirm);
        if collides {
            let keep_ours = (self.config.bgp_id, self.config.asn) > (open.bgp_id, open.asn);
            let kept = if keep_ours { Direction::Out } else { Direction::In };
            let closed = if kept == direction { other } else { direction };
            self.close(closed, Some(Notification::new(code::CEASE, code::CONNECTION_COLLISION)), effects);
            if closed == direction {
                return;
            }
        }
        let hold_ms = f64::from(self.config.hold_time_s.min(open.hold_time_s)) * 1000.0;
        let keepalive = self.keepalive_interval(hold_ms);
        let now = self.now;
        if let Some(connection) = &mut self.connections[direction as usize] {
            connection.state = State::OpenConfirm;
            connection.hold_ms = hold_ms;
            // Even without a negotiated hold time, the KEEPALIVE that confirms the OPEN has to arrive in time.
            connection.hold_at = now + if hold_ms > 0.0 { hold_ms } else { OPEN_HOLD_MS };
            connection.keepalive_at = now + keepalive;
            connection.open = Some(open);
            effects.push(Effect::Send(direction, crate::message::encode_keepalive()));
        }
    }

    /// A third of the hold time with jitter (section 4.4); infinite if the negotiated hold time is zero.
    fn keepalive_interval(&mut self, hold_ms: f64) -> f64 {
        if hold_ms > 0.0 { self.with_jitter(hold_ms / 3.0) } else { f64::INFINITY }
    }

    fn establish(&mut self, direction: Direction, effects: &mut Vec<Effect>) {
        let other = if direction == Direction::Out { Direction::In } else { Direction::Out };
        if self.connections[other as usize].is_some() {
            self.close(other, Some(Notification::new(code::CEASE, code::CONNECTION_COLLISION)), effects);
        }
        if std::mem::take(&mut self.connecting) {
            effects.push(Effect::Close(Direction::Out));
        }
        self.restart_hold_timer(direction);
        self.established_at = self.now;
        self.received_prefixes = 0;
        let config = &self.config;
        if let Some(connection) = &mut self.connections[direction as usize] {
            connection.state = State::Established;
            let open = connection.open.as_ref();
            let supported = |f: &&Family| open.is_some_and(|o| o.families.contains(f));
            let families = config.families.iter().filter(supported).copied().collect();
            let four_octets = open.is_some_and(|o| o.four_octets);
            effects.push(Effect::Up { direction, families, four_octets });
        }
    }

    fn restart_hold_timer(&mut self, direction: Direction) {
        let now = self.now;
        if let Some(connection) = &mut self.connections[direction as usize] {
            connection.hold_at =
                if connection.hold_ms > 0.0 { now + connection.hold_ms } else { f64::INFINITY };
        }
    }

    fn on_timer(&mut self, effects: &mut Vec<Effect>) {
        for direction in [Direction::Out, Direction::In] {
            let Some(connection) = &self.connections[direction as usize] else { continue };
            if connection.hold_at <= self.now {
                self.fail(direction, Notification::new(code::HOLD_TIMER_EXPIRED, 0), effects);
            } else if connection.keepalive_at <= self.now {
                let hold_ms = connection.hold_ms;
                let next = self.now + self.keepalive_interval(hold_ms);
                self.connections[direction as usize].iter_mut().for_each(|c| c.keepalive_at = next);
                effects.push(Effect::Send(direction, encode_keepalive()));
            }
        }
        let has_no_connection = self.connections.iter().all(Option::is_none);
        if self.started && has_no_connection && self.now >= self.idle_hold_until {
            if self.retry_at <= self.now {
                // An attempt still pending when the ConnectRetryTimer expires is abandoned (event 9 in Connect).
                if std::mem::take(&mut self.connecting) {
                    effects.push(Effect::Close(Direction::Out));
                }
                self.start_connecting(effects);
            } else if self.retry_at.is_infinite() && !self.connecting {
                self.start_connecting(effects);
            }
        }
    }

    /// Handles an error on a connection: sends a NOTIFICATION and closes it. Starts the idle hold timer if the session was
    /// established or no connection is left.
    fn fail(&mut self, direction: Direction, notification: Notification, effects: &mut Vec<Effect>) {
        let Some(connection) = &self.connections[direction as usize] else { return };
        let state = connection.state;
        let reason = format!("sent NOTIFICATION {notification}");
        self.close(direction, Some(notification), effects);
        if state == State::Established {
            self.end_session(reason, true, effects);
        } else if self.connections.iter().all(Option::is_none) {
            self.last_error = Some(reason);
            self.count_flap();
            self.start_idle_hold();
        }
    }

    fn close(&mut self, direction: Direction, notification: Option<Notification>, effects: &mut Vec<Effect>) {
        if self.connections[direction as usize].as_ref().is_some_and(|c| c.state < State::Established) {
            self.connections[direction as usize] = None;
        }
        effects.extend(notification.map(|notification| Effect::Send(direction, notification.encode())));
        effects.push(Effect::Close(direction));
    }

    /// Drops all connections and reports the end of an established session. With `by_error`, also updates the flap count and
    /// starts the idle hold timer.
    fn end_session(&mut self, reason: String, by_error: bool, effects: &mut Vec<Effect>) {
        let was_established = self.established_at.is_finite();
        let duration = self.now - self.established_at;
        self.connections = [None, None];
        self.established_at = f64::INFINITY;
        self.received_prefixes = 0;
        if was_established {
            effects.push(Effect::Down(reason.clone()));
        }
        self.last_error = Some(reason);
        if by_error {
            if duration >= STABLE_MS {
                self.flaps = self.flaps.saturating_sub((duration / STABLE_MS) as u32);
            } else {
                self.count_flap();
            }
            self.start_idle_hold();
        }
    }

    fn count_flap(&mut self) {
        self.flaps = (self.flaps + 1).min(MAX_FLAPS);
    }

    /// Starts the idle hold timer and stops the ConnectRetryTimer. The idle hold time is the configured one for a flap count
    /// up to two, and doubles with each further flap.
    fn start_idle_hold(&mut self) {
        let doublings = self.flaps.saturating_sub(2).min(MAX_FLAPS);
        let hold_ms = self.config.idle_hold_ms * f64::from(1u32 << doublings);
        self.idle_hold_until = self.now + self.with_jitter(hold_ms);
        self.retry_at = f64::INFINITY;
    }
}
