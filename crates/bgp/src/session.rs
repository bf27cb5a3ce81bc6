//! The state machine of one peer (RFC 4271 section 8).
//!
//! [`Session::step`] takes an input and the time and returns effects; it reads no clock and owns no socket. The shell opens
//! and closes connections, frames messages, and hands what it read.
//!
//! | state | connections | leaves by |
//! | --- | --- | --- |
//! | Idle | none | start, or the end of the idle hold |
//! | Connect | one being opened | it is up (OpenSent), it fails (Active) |
//! | Active | none; one may come in | connect-retry timer (Connect), one comes in (OpenSent) |
//! | OpenSent | one or two, our OPEN is out | the peer's OPEN (OpenConfirm) |
//! | OpenConfirm | the peer's OPEN was good | its KEEPALIVE (Established) |
//! | Established | one | a notification, silence, a fault, a stop |
//!
//! Departures from the RFC: delayed open is not built (nothing here needs it); every fault goes through the idle hold, which
//! doubles with each flap and comes down by one for each quiet time (section 8.1.1, DampPeerOscillations); a connection that
//! comes in while Idle is refused unseen.

use oorandom::Rand32;

use std::net::Ipv4Addr;

use ipnet::IpNet;

use crate::message::{Family, Message, Notification, Open, Refusal, Seen, code, keepalive, refresh};

/// What a session is set up with.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub asn: u32,
    pub id: Ipv4Addr,
    pub peer_asn: u32,
    /// Seconds that the peer may be silent; zero for ever, else three at least.
    pub hold_s: u16,
    pub families: Vec<Family>,
    /// Whether connections are opened; else the peer has to.
    pub connects: bool,
    /// Milliseconds between attempts, before jitter.
    pub retry_ms: f64,
    /// Milliseconds of the first idle hold after a fault.
    pub idle_ms: f64,
    /// Routes that the peer may announce; beyond that it hears so and the session ends.
    pub most_routes: u64,
}

/// Which side opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Way {
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

/// What happened. Connections are named by who opened them: there is one each way at most.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Events 1 and 3 of section 8.1.2.
    Start,
    /// Event 2: what is told to the peer.
    Stop(Notification),
    /// The operator has changed them. A session stays up unless who speaks with whom has changed; a new hold time counts
    /// from the next OPEN on.
    Terms(Terms),
    /// Events 16 and 17.
    Connected(Way),
    /// Event 18, before or after it was up; also a connection on which nothing can be written any more.
    Closed(Way),
    Heard(Way, Message),
    /// Events 21, 22 and 28: what answers it.
    Unreadable(Way, Refusal),
    /// The peer is to tell all its routes again, where it understands that: more of them are watched now.
    Ask,
    /// Time has come to [`Session::due`].
    Timer,
}

/// What the shell does, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Connect,
    Send(Way, Vec<u8>),
    /// After all that was sent on it is written, or at once if it can't be.
    Close(Way),
    /// The connection that has just come is not wanted; one that was there before, that way, stays.
    Refuse(Way),
    /// Routes may go out on this connection.
    Up {
        way: Way,
        families: Vec<Family>,
        four_octets: bool,
    },
    /// None may any more; the peer forgets all.
    Down(String),
    /// The peer wants all routes of a family again.
    Refresh(Family),
    /// The peer holds a route of a watched prefix; or does no more.
    Watched(IpNet, Option<Seen>),
}

/// An idle hold is doubled so often at most: from 5 s to over 5 minutes.
const MOST_FLAPS: u32 = 6;
/// A session that lived so long was no flap, and makes one good.
const QUIET_MS: f64 = 60_000.0;
/// Where an OPEN is awaited (section 8.2.2 suggests four minutes); a peer that is not a peer must not keep a place so long.
const OPEN_MS: f64 = 30_000.0;
/// Timers are shortened by up to this share (section 10).
const JITTER: f64 = 0.25;

#[derive(Clone, Debug)]
struct Link {
    state: State,
    /// The peer's OPEN, once it came.
    open: Option<Open>,
    hold_ms: f64,
    /// Due times.
    hold_at: f64,
    keepalive_at: f64,
}

/// One peer.
#[derive(Clone, Debug)]
pub struct Session {
    terms: Terms,
    chance: Rand32,
    now: f64,
    /// Wanted up.
    started: bool,
    connecting: bool,
    links: [Option<Link>; 2],
    retry_at: f64,
    idle_until: f64,
    flaps: u32,
    up_since: f64,
    heard_routes: u64,
    last_error: Option<String>,
}

impl Session {
    pub fn new(terms: Terms, seed: u64) -> Self {
        Self {
            terms,
            chance: Rand32::new(seed),
            now: 0.0,
            started: false,
            connecting: false,
            links: [None, None],
            retry_at: f64::INFINITY,
            idle_until: 0.0,
            flaps: 0,
            up_since: f64::INFINITY,
            heard_routes: 0,
            last_error: None,
        }
    }

    pub fn state(&self) -> State {
        let best = self.links.iter().flatten().map(|l| l.state).max();
        match best {
            Some(state) => state,
            None if self.connecting => State::Connect,
            None if self.started && self.now >= self.idle_until => State::Active,
            None => State::Idle,
        }
    }

    /// Flaps that the idle hold still counts.
    pub fn flaps(&self) -> u32 {
        self.flaps
    }

    /// Routes that the peer has announced, less those that it withdrew.
    pub fn heard_routes(&self) -> u64 {
        self.heard_routes
    }

    pub fn last_error(&self) -> Option<&str> {
        self.last_error.as_deref()
    }

    /// When [`Input::Timer`] is due next.
    pub fn due(&self) -> f64 {
        let links = self.links.iter().flatten().map(|l| l.hold_at.min(l.keepalive_at));
        let idle = self.started && self.links.iter().all(Option::is_none) && !self.connecting;
        let begin = if idle && self.now < self.idle_until { self.idle_until } else { f64::INFINITY };
        links.fold(self.retry_at.min(begin), f64::min)
    }

    /// Takes in what happened at `now`, in milliseconds of a clock that should not go back; if it does, it stands still.
    pub fn step(&mut self, now: f64, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        match input {
            Input::Start if !self.started => {
                self.started = true;
                self.begin(&mut out);
            }
            Input::Start => {}
            Input::Stop(told) => self.stop(told, &mut out),
            Input::Terms(terms) => self.change(terms, &mut out),
            Input::Connected(way) => self.connected(way, &mut out),
            Input::Closed(way) => self.closed(way, &mut out),
            Input::Heard(way, message) => self.heard(way, message, &mut out),
            Input::Unreadable(way, refusal) => self.fault(way, refusal.0, &mut out),
            Input::Ask => self.ask(&mut out),
            Input::Timer => self.timer(&mut out),
        }
        out
    }

    fn jittered(&mut self, ms: f64) -> f64 {
        ms * (1.0 - JITTER * f64::from(self.chance.rand_float()))
    }

    /// Out of Idle: opens a connection, or waits for one.
    fn begin(&mut self, out: &mut Vec<Effect>) {
        if self.now < self.idle_until {
            return;
        }
        let retry = self.jittered(self.terms.retry_ms);
        self.retry_at = if self.terms.connects { self.now + retry } else { f64::INFINITY };
        if self.terms.connects && !self.connecting {
            self.connecting = true;
            out.push(Effect::Connect);
        }
    }

    fn change(&mut self, terms: Terms, out: &mut Vec<Effect>) {
        let before = std::mem::replace(&mut self.terms, terms);
        let who = |terms: &Terms| (terms.asn, terms.id, terms.peer_asn, terms.families.clone());
        let started = self.started;
        if who(&before) != who(&self.terms) {
            self.stop(Notification::new(code::CEASE, code::RECONFIGURED), out);
            // What the old terms met is no sign of the new ones.
            (self.flaps, self.idle_until) = (0, self.now);
        } else if started && self.terms.connects && !before.connects && self.state() == State::Active {
            self.retry_at = self.now;
            self.timer(out);
        }
        if started && !self.started {
            self.started = true;
            self.begin(out);
        }
    }

    fn ask(&self, out: &mut Vec<Effect>) {
        for way in [Way::Out, Way::In] {
            let link = self.links[way as usize].as_ref().filter(|l| l.state == State::Established);
            if let Some(open) = link.and_then(|l| l.open.as_ref()).filter(|o| o.refresh) {
                let both = open.families.iter().filter(|f| self.terms.families.contains(f));
                out.extend(both.map(|family| Effect::Send(way, refresh(*family))));
            }
        }
    }

    fn stop(&mut self, told: Notification, out: &mut Vec<Effect>) {
        self.started = false;
        self.retry_at = f64::INFINITY;
        // A connection that is still being opened is given up; its end is no news.
        if std::mem::take(&mut self.connecting) {
            out.push(Effect::Close(Way::Out));
        }
        for way in [Way::Out, Way::In] {
            if self.links[way as usize].is_some() {
                self.part(way, Some(told.clone()), out);
            }
        }
        self.down("stopped".to_owned(), false, out);
    }

    fn connected(&mut self, way: Way, out: &mut Vec<Effect>) {
        let wanted = way == Way::In || std::mem::take(&mut self.connecting);
        let held = self.links.iter().flatten().any(|l| l.state == State::Established);
        let place = self.links[way as usize].is_some();
        // While Idle, when one is up, or when one that way is there already, a further one is not wanted.
        if !wanted || !self.started || self.now < self.idle_until || held || place {
            out.push(Effect::Refuse(way));
            return;
        }
        let terms = &self.terms;
        let open = Open {
            asn: terms.asn,
            hold_s: terms.hold_s,
            id: terms.id,
            families: terms.families.clone(),
            four_octets: true,
            refresh: true,
        };
        out.push(Effect::Send(way, open.write()));
        self.links[way as usize] = Some(Link {
            state: State::OpenSent,
            open: None,
            hold_ms: OPEN_MS,
            hold_at: self.now + OPEN_MS,
            keepalive_at: f64::INFINITY,
        });
        self.retry_at = f64::INFINITY;
    }

    fn closed(&mut self, way: Way, out: &mut Vec<Effect>) {
        if way == Way::Out && std::mem::take(&mut self.connecting) {
            // The retry timer runs on; until then one may come in (Active).
            if self.retry_at.is_infinite() && self.links.iter().all(Option::is_none) {
                let retry = self.jittered(self.terms.retry_ms);
                self.retry_at = self.now + retry;
            }
            return;
        }
        let Some(link) = self.links[way as usize].take() else { return };
        if link.state == State::Established {
            self.down("the connection was lost".to_owned(), true, out);
        } else if self.links.iter().all(Option::is_none) {
            // Section 8.2.2 goes to Active from OpenSent; here it rests first, like any fault.
            self.last_error = Some("the connection was lost before it was up".to_owned());
            self.flap();
            self.rest();
        }
    }

    fn heard(&mut self, way: Way, message: Message, out: &mut Vec<Effect>) {
        let Some(link) = &self.links[way as usize] else { return };
        let state = link.state;
        match (state, message) {
            (_, Message::Notification(told)) => {
                let quiet = told.code == code::CEASE && told.subcode == code::COLLISION;
                self.links[way as usize] = None;
                out.push(Effect::Close(way));
                if state == State::Established {
                    self.down(format!("the peer said {told}"), true, out);
                } else if !quiet && self.links.iter().all(Option::is_none) {
                    self.last_error = Some(format!("the peer said {told}"));
                    self.flap();
                    self.rest();
                }
            }
            (State::OpenSent, Message::Open(open)) => self.opened(way, open, out),
            (State::OpenConfirm, Message::Keepalive) => self.established(way, out),
            (State::Established, Message::Keepalive) => self.alive(way),
            (State::Established, Message::Update(routes)) => {
                self.alive(way);
                let kept = self.heard_routes.saturating_sub(u64::from(routes.withdrawn));
                self.heard_routes = kept + u64::from(routes.announced);
                out.extend(routes.watched.into_iter().map(|(at, seen)| Effect::Watched(at, seen)));
                if self.heard_routes > self.terms.most_routes {
                    self.fault(way, Notification::new(code::CEASE, code::MOST_PREFIXES), out);
                }
            }
            (State::Established, Message::Refresh(family)) => {
                self.alive(way);
                out.push(Effect::Refresh(family));
            }
            (State::Established, Message::RefreshOther) => self.alive(way),
            // Not expected in this state; the subcode tells which (RFC 6608).
            (state, _) => {
                let subcode = match state {
                    State::OpenSent => 1,
                    State::OpenConfirm => 2,
                    _ => 3,
                };
                self.fault(way, Notification::new(code::STATE, subcode), out);
            }
        }
    }

    fn opened(&mut self, way: Way, open: Open, out: &mut Vec<Effect>) {
        if open.asn != self.terms.peer_asn {
            return self.fault(way, Notification::new(code::OPEN, code::BAD_PEER_AS), out);
        }
        // In one AS two speakers of one identifier can't be told apart (RFC 6286 section 2.2).
        if open.id == self.terms.id && open.asn == self.terms.asn {
            return self.fault(way, Notification::new(code::OPEN, code::BAD_ID), out);
        }
        if !open.families.iter().any(|f| self.terms.families.contains(f)) {
            return self.fault(way, Notification::new(code::OPEN, code::BAD_CAPABILITY), out);
        }
        // Collision (section 6.8): the connection that the higher identifier opened stays; of equal ones, the higher AS
        // (RFC 6286 section 2.3).
        let other = if way == Way::Out { Way::In } else { Way::Out };
        let collides = self.links[other as usize].as_ref().is_some_and(|l| l.state >= State::OpenConfirm);
        if collides {
            let ours = (self.terms.id, self.terms.asn) > (open.id, open.asn);
            let stays = if ours { Way::Out } else { Way::In };
            let goes = if stays == way { other } else { way };
            self.part(goes, Some(Notification::new(code::CEASE, code::COLLISION)), out);
            if goes == way {
                return;
            }
        }
        let hold_ms = f64::from(self.terms.hold_s.min(open.hold_s)) * 1000.0;
        let keepalive = self.keepalive_in(hold_ms);
        let now = self.now;
        if let Some(link) = &mut self.links[way as usize] {
            link.state = State::OpenConfirm;
            link.hold_ms = hold_ms;
            // With no hold time agreed on, an OPEN must still be followed by something.
            link.hold_at = now + if hold_ms > 0.0 { hold_ms } else { OPEN_MS };
            link.keepalive_at = now + keepalive;
            link.open = Some(open);
            out.push(Effect::Send(way, crate::message::keepalive()));
        }
    }

    /// A third of the hold time (section 4.4), jittered; never, where none was agreed on.
    fn keepalive_in(&mut self, hold_ms: f64) -> f64 {
        if hold_ms > 0.0 { self.jittered(hold_ms / 3.0) } else { f64::INFINITY }
    }

    fn established(&mut self, way: Way, out: &mut Vec<Effect>) {
        let other = if way == Way::Out { Way::In } else { Way::Out };
        if self.links[other as usize].is_some() {
            self.part(other, Some(Notification::new(code::CEASE, code::COLLISION)), out);
        }
        if std::mem::take(&mut self.connecting) {
            out.push(Effect::Close(Way::Out));
        }
        self.alive(way);
        self.up_since = self.now;
        self.heard_routes = 0;
        let terms = &self.terms;
        if let Some(link) = &mut self.links[way as usize] {
            link.state = State::Established;
            let open = link.open.as_ref();
            let both = |f: &&Family| open.is_some_and(|o| o.families.contains(f));
            let families = terms.families.iter().filter(both).copied().collect();
            let four_octets = open.is_some_and(|o| o.four_octets);
            out.push(Effect::Up { way, families, four_octets });
        }
    }

    fn alive(&mut self, way: Way) {
        let now = self.now;
        if let Some(link) = &mut self.links[way as usize] {
            link.hold_at = if link.hold_ms > 0.0 { now + link.hold_ms } else { f64::INFINITY };
        }
    }

    fn timer(&mut self, out: &mut Vec<Effect>) {
        for way in [Way::Out, Way::In] {
            let Some(link) = &self.links[way as usize] else { continue };
            if link.hold_at <= self.now {
                self.fault(way, Notification::new(code::HOLD, 0), out);
            } else if link.keepalive_at <= self.now {
                let hold_ms = link.hold_ms;
                let next = self.now + self.keepalive_in(hold_ms);
                self.links[way as usize].iter_mut().for_each(|l| l.keepalive_at = next);
                out.push(Effect::Send(way, keepalive()));
            }
        }
        let none = self.links.iter().all(Option::is_none);
        if self.started && none && self.now >= self.idle_until {
            if self.retry_at <= self.now {
                // An attempt that takes longer than the timer is given up for another (event 9 in Connect).
                if std::mem::take(&mut self.connecting) {
                    out.push(Effect::Close(Way::Out));
                }
                self.begin(out);
            } else if self.retry_at.is_infinite() && !self.connecting {
                self.begin(out);
            }
        }
    }

    /// Tells the peer what is wrong and ends the connection.
    fn fault(&mut self, way: Way, told: Notification, out: &mut Vec<Effect>) {
        let Some(link) = &self.links[way as usize] else { return };
        let state = link.state;
        let why = format!("we said {told}");
        self.part(way, Some(told), out);
        if state == State::Established {
            self.down(why, true, out);
        } else if self.links.iter().all(Option::is_none) {
            self.last_error = Some(why);
            self.flap();
            self.rest();
        }
    }

    fn part(&mut self, way: Way, told: Option<Notification>, out: &mut Vec<Effect>) {
        if self.links[way as usize].as_ref().is_some_and(|l| l.state < State::Established) {
            self.links[way as usize] = None;
        }
        out.extend(told.map(|told| Effect::Send(way, told.write())));
        out.push(Effect::Close(way));
    }

    /// A session that was up is so no more.
    fn down(&mut self, why: String, flapped: bool, out: &mut Vec<Effect>) {
        let was_up = self.up_since.is_finite();
        let lived = self.now - self.up_since;
        self.links = [None, None];
        self.up_since = f64::INFINITY;
        self.heard_routes = 0;
        if was_up {
            out.push(Effect::Down(why.clone()));
        }
        self.last_error = Some(why);
        if flapped {
            match lived >= QUIET_MS {
                true => self.flaps = self.flaps.saturating_sub((lived / QUIET_MS) as u32),
                false => self.flap(),
            }
            self.rest();
        }
    }

    fn flap(&mut self) {
        self.flaps = (self.flaps + 1).min(MOST_FLAPS);
    }

    /// The idle hold: the first and second fault cost the same, from the third on it doubles.
    fn rest(&mut self) {
        let doubled = self.flaps.saturating_sub(2);
        let hold = self.terms.idle_ms * f64::from(1u32 << doubled.min(MOST_FLAPS));
        self.idle_until = self.now + self.jittered(hold);
        self.retry_at = f64::INFINITY;
    }
}
