//! The sessions, routes and announcements of one mixer, without I/O; `crates/speaker` runs it on sockets.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, SocketAddr};

use ipnet::IpNet;

use crate::announce::{self, AddressState, Announcer, Health, Reason, RouteState, is_other_announcer};
use crate::message::{
    Attributes, Family, GRACEFUL_SHUTDOWN, LargeCommunity, Notification, ObservedRoute, WatchedPrefixes, code,
};
use crate::rib::AdjRibOut;
use crate::session::{self, Direction, Session, State};

/// Configuration of one peer.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerConfig {
    /// Address of the peer; unique among the peers.
    pub address: SocketAddr,
    pub session: session::SessionConfig,
    /// Next hop for each address family; without one, routes of the family are not sent to the peer.
    pub next_hop_v4: Option<IpAddr>,
    pub next_hop_v6: Option<IpAddr>,
}

impl PeerConfig {
    fn next_hop(&self, family: Family) -> Option<IpAddr> {
        match family {
            Family::V4 => self.next_hop_v4,
            Family::V6 => self.next_hop_v6,
        }
    }
}

/// Path attributes of the announced routes.
#[derive(Clone, Debug, PartialEq)]
pub struct AttributeConfig {
    pub communities: Vec<u32>,
    pub large_communities: Vec<LargeCommunity>,
    /// MULTI_EXIT_DISC of announced and of depreferenced routes.
    pub med: u32,
    pub depreferenced_med: u32,
    /// LOCAL_PREF of announced and of depreferenced routes, sent to internal peers.
    pub local_pref: u32,
    pub depreferenced_local_pref: u32,
    /// Number of times the own AS is prepended to the path of depreferenced routes, in addition to the usual one.
    pub prepend: u32,
}

/// Configuration of the speaker, given at start and again after each change.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeakerConfig {
    pub peers: Vec<PeerConfig>,
    pub announce: announce::AnnounceConfig,
    pub attributes: AttributeConfig,
}

/// Identifies a peer; not used again for a later peer.
pub type PeerId = usize;

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    Session(PeerId, session::Input),
    Announce(announce::Input),
    /// The configuration has changed; sessions of peers that remain are kept as far as [`session::Input::Configure`] allows.
    Configure(Box<SpeakerConfig>),
    /// The time returned by [`Speaker::next_timer`] is reached.
    Timer,
    /// Ends all sessions with this shutdown communication.
    Stop(String),
}

/// Actions for the caller, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Connect(PeerId, SocketAddr),
    Send(PeerId, Direction, Vec<u8>),
    Close(PeerId, Direction),
    Refuse(PeerId, Direction),
    /// Prefixes to pass to the message decoder from now on.
    Watch(WatchedPrefixes),
    /// As [`announce::Effect::DrainComplete`].
    DrainComplete,
    /// A line for the log.
    Log(String),
}

/// The connection over which a session is established, and what was negotiated.
#[derive(Clone, Debug)]
struct Established {
    direction: Direction,
    families: Vec<Family>,
    four_octets: bool,
}

#[derive(Clone, Debug)]
struct PeerState {
    config: PeerConfig,
    session: Session,
    routes: AdjRibOut,
    established: Option<Established>,
    times_established: u32,
    /// Service addresses for which the peer has sent a route of another announcer.
    other_announcers: BTreeSet<IpNet>,
}

/// State of a peer, for status output.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerStatus {
    pub address: SocketAddr,
    pub state: State,
    pub advertised: Vec<IpNet>,
    pub flaps: u32,
    pub times_established: u32,
    /// Prefixes that the peer announces to the mixer; none is stored.
    pub received_prefixes: u64,
    pub last_error: Option<String>,
}

/// State of a service address, for status output.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressStatus {
    pub prefix: IpNet,
    pub state: RouteState,
    pub reason: Reason,
    /// Another announcer of the address is known.
    pub other_announcer: bool,
    /// Milliseconds since the last change of state.
    pub since_change_ms: Option<f64>,
}

/// A past change of an address's state.
#[derive(Clone, Debug, PartialEq)]
pub struct StateChange {
    pub ago_ms: f64,
    pub prefix: IpNet,
    pub state: RouteState,
    pub reason: Reason,
}

/// Status of the speaker, as `bgp show` prints it.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeakerStatus {
    pub peers: Vec<PeerStatus>,
    pub addresses: Vec<AddressStatus>,
    /// The last [`MAX_RECENT_CHANGES`] changes, oldest first.
    pub changes: Vec<StateChange>,
    pub health: Health,
    pub is_draining: bool,
    pub counters: Counters,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub sessions_up: u64,
    pub sessions_lost: u64,
    pub messages_sent: u64,
    pub announced: u64,
    pub depreferenced: u64,
    pub withdrawn: u64,
    pub connections_refused: u64,
}

impl Counters {
    /// Each counter with its metric name.
    pub fn named(&self) -> [(&'static str, u64); 7] {
        [
            ("bgp_sessions_up", self.sessions_up),
            ("bgp_sessions_lost", self.sessions_lost),
            ("bgp_messages_sent", self.messages_sent),
            ("bgp_announced", self.announced),
            ("bgp_depreferenced", self.depreferenced),
            ("bgp_withdrawn", self.withdrawn),
            ("bgp_connections_refused", self.connections_refused),
        ]
    }
}

/// Number of past state changes kept for status output.
pub const MAX_RECENT_CHANGES: usize = 16;

#[derive(Clone, Debug)]
struct RecordedChange {
    at: f64,
    prefix: IpNet,
    state: RouteState,
    reason: Reason,
}

/// The BGP speaker of one mixer.
#[derive(Clone, Debug)]
pub struct Speaker {
    attributes: AttributeConfig,
    announcer: Announcer,
    peers: BTreeMap<PeerId, PeerState>,
    next_peer_id: PeerId,
    seed: u64,
    now: f64,
    changes: VecDeque<RecordedChange>,
    counters: Counters,
}

impl Speaker {
    /// Creates a speaker without peers; they are added by the first [`Input::Configure`].
    pub fn new(config: &SpeakerConfig, seed: u64) -> Self {
        Self {
            attributes: config.attributes.clone(),
            announcer: Announcer::new(config.announce.clone()),
            peers: BTreeMap::new(),
            next_peer_id: 0,
            seed,
            now: 0.0,
            changes: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    /// Time of the next [`Input::Timer`], in milliseconds.
    pub fn next_timer(&self) -> f64 {
        self.peers.values().map(|p| p.session.next_timer()).fold(self.announcer.next_timer(), f64::min)
    }

    /// The peer with this IP address.
    pub fn peer_at(&self, ip: IpAddr) -> Option<PeerId> {
        self.peers.iter().find(|(_, peer)| peer.config.address.ip() == ip).map(|(id, _)| *id)
    }

    pub fn status(&self, now: f64) -> SpeakerStatus {
        let peer = |peer: &PeerState| PeerStatus {
            address: peer.config.address,
            state: peer.session.state(),
            advertised: if peer.established.is_some() { peer.routes.advertised() } else { Vec::new() },
            flaps: peer.session.flaps(),
            times_established: peer.times_established,
            received_prefixes: peer.session.received_prefixes(),
            last_error: peer.session.last_error().map(str::to_owned),
        };
        let address = |address: AddressState| AddressStatus {
            prefix: address.prefix,
            state: address.state,
            reason: address.reason,
            other_announcer: address.other_announcer,
            since_change_ms: address.changed_at.map(|at| now - at),
        };
        let change = |change: &RecordedChange| StateChange {
            ago_ms: now - change.at,
            prefix: change.prefix,
            state: change.state,
            reason: change.reason,
        };
        SpeakerStatus {
            peers: self.peers.values().map(peer).collect(),
            addresses: self.announcer.address_states().map(address).collect(),
            changes: self.changes.iter().map(change).collect(),
            health: self.announcer.health().clone(),
            is_draining: self.announcer.is_draining(),
            counters: self.counters,
        }
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Processes an input at time `now` in milliseconds.
    pub fn step(&mut self, now: f64, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        let mut effects = Vec::new();
        match input {
            Input::Session(peer, input) => self.session(now, peer, input, &mut effects),
            Input::Announce(input) => self.announce(now, input, &mut effects),
            Input::Configure(config) => self.configure(now, *config, &mut effects),
            Input::Timer => self.on_timer(now, &mut effects),
            Input::Stop(text) => {
                for peer in self.peer_ids() {
                    let notification = Notification::shutdown(&text);
                    self.session(now, peer, session::Input::Stop(notification), &mut effects);
                }
            }
        }
        let sent = effects.iter().filter(|e| matches!(e, Effect::Send(..))).count();
        self.counters.messages_sent += sent as u64;
        let refused = effects.iter().filter(|e| matches!(e, Effect::Refuse(..))).count();
        self.counters.connections_refused += refused as u64;
        effects
    }

    fn peer_ids(&self) -> Vec<PeerId> {
        self.peers.keys().copied().collect()
    }

    fn on_timer(&mut self, now: f64, effects: &mut Vec<Effect>) {
        let due = self.peers.iter().filter(|(_, peer)| peer.session.next_timer() <= now);
        for peer in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.session(now, peer, session::Input::Timer, effects);
        }
        if self.announcer.next_timer() <= now {
            self.announce(now, announce::Input::Timer, effects);
        }
    }

    fn configure(&mut self, now: f64, config: SpeakerConfig, effects: &mut Vec<Effect>) {
        let SpeakerConfig { peers, announce, attributes } = config;
        self.remove_peers(now, &peers, effects);
        let before: BTreeSet<IpNet> = self.announcer.address_states().map(|a| a.prefix).collect();
        self.attributes = attributes;
        let added = self.configure_peers(now, peers, effects);
        let prefixes: Vec<IpNet> = announce.addresses.iter().map(|a| a.prefix).collect();
        let own_asn = self.peers.values().next().map_or(0, |peer| peer.config.session.asn);
        effects.push(Effect::Watch(WatchedPrefixes { prefixes: prefixes.clone(), own_asn }));
        for peer in self.peers.values_mut() {
            peer.other_announcers.retain(|prefix| prefixes.contains(prefix));
        }
        self.announce(now, announce::Input::Configure(announce), effects);
        // Attributes and next hops may have changed; unchanged routes are not sent again.
        for address in self.announcer.address_states().collect::<Vec<_>>() {
            self.set_route(address.prefix, address.state);
        }
        for peer in added {
            self.session(now, peer, session::Input::Start, effects);
        }
        self.send_all_updates(effects);
        if prefixes.iter().any(|prefix| !before.contains(prefix)) {
            // Routes to the new prefixes were ignored when the peers sent them, so they are requested again.
            for peer in self.peer_ids() {
                self.session(now, peer, session::Input::RequestRefresh, effects);
            }
        }
    }

    /// Ends the sessions of peers that are no longer configured.
    fn remove_peers(&mut self, now: f64, configured: &[PeerConfig], effects: &mut Vec<Effect>) {
        let removed: Vec<PeerId> = self
            .peers
            .iter()
            .filter(|(_, peer)| configured.iter().all(|p| p.address != peer.config.address))
            .map(|(id, _)| *id)
            .collect();
        for peer in removed {
            let notification = Notification::new(code::CEASE, code::PEER_DECONFIGURED);
            self.session(now, peer, session::Input::Stop(notification), effects);
            self.peers.remove(&peer);
        }
    }

    /// Applies the configuration to existing peers and adds new ones. Returns the new ones, which are not started yet.
    fn configure_peers(
        &mut self,
        now: f64,
        configured: Vec<PeerConfig>,
        effects: &mut Vec<Effect>,
    ) -> Vec<PeerId> {
        let mut added = Vec::new();
        for config in configured {
            let existing = self.peers.iter_mut().find(|(_, peer)| peer.config.address == config.address);
            match existing {
                Some((id, peer)) => {
                    let id = *id;
                    let session = config.session.clone();
                    peer.config = config;
                    self.session(now, id, session::Input::Configure(session), effects);
                }
                None => {
                    let id = self.next_peer_id;
                    let seed = self.seed.wrapping_add(id as u64);
                    self.next_peer_id += 1;
                    let peer = PeerState {
                        session: Session::new(config.session.clone(), seed),
                        config,
                        routes: AdjRibOut::default(),
                        established: None,
                        times_established: 0,
                        other_announcers: BTreeSet::new(),
                    };
                    self.peers.insert(id, peer);
                    added.push(id);
                }
            }
        }
        added
    }

    fn session(&mut self, now: f64, id: PeerId, input: session::Input, effects: &mut Vec<Effect>) {
        let Some(peer) = self.peers.get_mut(&id) else {
            // The peer has been removed in the meantime.
            if let session::Input::Connected(direction) = input {
                effects.push(Effect::Refuse(id, direction));
            }
            return;
        };
        let address = peer.config.address;
        let was_established = peer.established.is_some();
        let mut watched = Vec::new();
        for effect in peer.session.step(now, input) {
            match effect {
                session::Effect::Connect => effects.push(Effect::Connect(id, address)),
                session::Effect::Send(direction, bytes) => effects.push(Effect::Send(id, direction, bytes)),
                session::Effect::Close(direction) => effects.push(Effect::Close(id, direction)),
                session::Effect::Refuse(direction) => effects.push(Effect::Refuse(id, direction)),
                session::Effect::Up { direction, families, four_octets } => {
                    effects.push(Effect::Log(format!("peer {address} is up, {families:?}")));
                    peer.established = Some(Established { direction, families, four_octets });
                    peer.times_established += 1;
                    self.counters.sessions_up += 1;
                    // The peer has dropped the routes of an earlier session.
                    peer.routes.session_lost();
                }
                session::Effect::Down(reason) => {
                    effects.push(Effect::Log(format!("peer {address} is down: {reason}")));
                    peer.established = None;
                    self.counters.sessions_lost += 1;
                    peer.routes.session_lost();
                    let known = std::mem::take(&mut peer.other_announcers);
                    watched.extend(known.into_iter().map(|prefix| (prefix, None)));
                }
                session::Effect::RefreshRequested(family) => {
                    peer.routes.resend(|prefix| Family::of(prefix) == family);
                }
                session::Effect::WatchedRoute(prefix, route) => watched.push((prefix, route)),
            }
        }
        let is_established = peer.established.is_some();
        self.update_other_announcers(now, id, watched, effects);
        if is_established != was_established {
            let established = self.peers.values().filter(|p| p.established.is_some()).count();
            self.announce(now, announce::Input::Sessions(established), effects);
        }
        self.send_updates(id, effects);
    }

    /// Evaluates routes to service addresses that a peer has sent or withdrawn.
    fn update_other_announcers(
        &mut self,
        now: f64,
        id: PeerId,
        routes: Vec<(IpNet, Option<ObservedRoute>)>,
        effects: &mut Vec<Effect>,
    ) {
        for (prefix, route) in routes {
            if let Some(peer) = self.peers.get_mut(&id) {
                let bgp_id = peer.config.session.bgp_id;
                let next_hop = peer.config.next_hop(Family::of(&prefix));
                if route.is_some_and(|route| is_other_announcer(&route, bgp_id, next_hop)) {
                    peer.other_announcers.insert(prefix);
                } else {
                    peer.other_announcers.remove(&prefix);
                }
            }
            let known = self.peers.values().any(|peer| peer.other_announcers.contains(&prefix));
            let is_known = |a: AddressState| a.prefix == prefix && a.other_announcer;
            let known_before = self.announcer.address_states().any(is_known);
            if known != known_before {
                self.announce(now, announce::Input::OtherAnnouncer(prefix, known), effects);
            }
        }
    }

    fn announce(&mut self, now: f64, input: announce::Input, effects: &mut Vec<Effect>) {
        let mut drain_complete = false;
        for effect in self.announcer.step(now, input) {
            match effect {
                announce::Effect::SetState { prefix, state, reason } => {
                    effects.push(Effect::Log(format!("{prefix} is {state:?}: {reason:?}")));
                    self.set_route(prefix, state);
                    self.record_change(prefix, state, reason);
                }
                announce::Effect::DrainComplete => drain_complete = true,
            }
        }
        self.send_all_updates(effects);
        effects.extend(drain_complete.then_some(Effect::DrainComplete));
    }

    fn record_change(&mut self, prefix: IpNet, state: RouteState, reason: Reason) {
        if self.changes.len() >= MAX_RECENT_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(RecordedChange { at: self.now, prefix, state, reason });
        let counter = match state {
            RouteState::Announced => &mut self.counters.announced,
            RouteState::Depreferenced => &mut self.counters.depreferenced,
            RouteState::Withdrawn => &mut self.counters.withdrawn,
        };
        *counter += 1;
    }

    /// Sets the route that all peers should have for a prefix.
    fn set_route(&mut self, prefix: IpNet, state: RouteState) {
        for peer in self.peers.values_mut() {
            peer.routes.set(prefix, attributes(&self.attributes, &peer.config, &prefix, state));
        }
    }

    fn send_all_updates(&mut self, effects: &mut Vec<Effect>) {
        for peer in self.peer_ids() {
            self.send_updates(peer, effects);
        }
    }

    /// Sends a peer its pending route changes.
    fn send_updates(&mut self, id: PeerId, effects: &mut Vec<Effect>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let Some(Established { direction, families, four_octets }) = &peer.established else { return };
        for mut update in peer.routes.take_updates() {
            update.announced.retain(|prefix| families.contains(&Family::of(prefix)));
            update.withdrawn.retain(|prefix| families.contains(&Family::of(prefix)));
            let messages = update.encode(*four_octets);
            effects.extend(messages.into_iter().map(|bytes| Effect::Send(id, *direction, bytes)));
        }
    }
}

/// Attributes of a route to a peer; `None` if it is withdrawn or no next hop is configured for its address family.
fn attributes(
    config: &AttributeConfig,
    peer: &PeerConfig,
    prefix: &IpNet,
    state: RouteState,
) -> Option<Attributes> {
    let next_hop = peer.next_hop(Family::of(prefix))?;
    let depreferenced = match state {
        RouteState::Withdrawn => return None,
        RouteState::Depreferenced => true,
        RouteState::Announced => false,
    };
    let internal = peer.session.asn == peer.session.peer_asn;
    let prepended = if depreferenced { config.prepend as usize } else { 0 };
    let path_length = if internal { 0 } else { 1 + prepended };
    let mut communities = config.communities.clone();
    communities.extend(depreferenced.then_some(GRACEFUL_SHUTDOWN));
    communities.sort_unstable();
    communities.dedup();
    let med = if depreferenced { config.depreferenced_med } else { config.med };
    let local_pref = if depreferenced { config.depreferenced_local_pref } else { config.local_pref };
    Some(Attributes {
        as_path: vec![peer.session.asn; path_length],
        next_hop,
        med: Some(med),
        local_pref: internal.then_some(local_pref),
        communities,
        large_communities: config.large_communities.clone(),
    })
}
