//! All sessions of a mixer, its routes and its announcements, still without I/O: what the shell in `crates/speaker` runs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, SocketAddr};

use ipnet::IpNet;

use crate::announce::{self, Announcer, Health, Reason, Stance, others};
use crate::message::{Attributes, Family, GRACEFUL_SHUTDOWN, Notification, Seen, Watch, code};
use crate::rib::Routes;
use crate::session::{self, Session, State, Way};

/// One peer as the operator sets it.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Where it is: no two peers are in one place.
    pub address: SocketAddr,
    pub session: session::Terms,
    /// What the peer is to send to; of each family that it may be told of.
    pub next_hop_v4: Option<IpAddr>,
    pub next_hop_v6: Option<IpAddr>,
}

impl Peer {
    fn next_hop(&self, family: Family) -> Option<IpAddr> {
        match family {
            Family::V4 => self.next_hop_v4,
            Family::V6 => self.next_hop_v6,
        }
    }
}

/// What routes carry.
#[derive(Clone, Debug, PartialEq)]
pub struct Carried {
    pub communities: Vec<u32>,
    pub large: Vec<(u32, u32, u32)>,
    /// MED of routes that are preferred, and of those that are not.
    pub med: u32,
    pub depreferenced_med: u32,
    /// Towards peers of the same AS, in the same order.
    pub local_pref: u32,
    pub depreferenced_pref: u32,
    /// How often the own AS stands in the path of a route that is not preferred, beyond once.
    pub prepend: u32,
}

/// What is read at start, and again when the operator has changed it.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub peers: Vec<Peer>,
    pub announce: announce::Terms,
    pub carried: Carried,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Of a peer, by its number.
    Session(usize, session::Input),
    Announce(announce::Input),
    /// The operator has changed them: peers that stay keep their sessions, as far as [`session::Input::Terms`] can.
    Terms(Box<Terms>),
    /// Time has come to [`Speaker::due`].
    Timer,
    /// Sessions end with these words.
    Stop(String),
}

/// What the shell does, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Connect(usize, SocketAddr),
    Send(usize, Way, Vec<u8>),
    Close(usize, Way),
    Refuse(usize, Way),
    /// From now on readers tell of these prefixes.
    Watch(Watch),
    /// No route leads here any more, as far as can be known.
    MayStop,
    /// For the log.
    Note(String),
}

#[derive(Clone, Debug)]
struct Held {
    terms: Peer,
    session: Session,
    routes: Routes,
    /// While established: over which connection, what, and how.
    up: Option<(Way, Vec<Family>, bool)>,
    ups: u32,
    /// Addresses that it holds a route of which is another's.
    others: BTreeSet<IpNet>,
}

/// How a peer stands, for people.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerShown {
    pub address: SocketAddr,
    pub state: State,
    pub announced: Vec<IpNet>,
    pub flaps: u32,
    /// Times that it was established.
    pub ups: u32,
    /// Routes that it announces to the mixer, none of which is kept.
    pub heard_routes: u64,
    pub last_error: Option<String>,
}

/// How an address stands, for people.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressShown {
    pub prefix: IpNet,
    pub stance: Stance,
    pub reason: Reason,
    /// Somebody else is known to announce it.
    pub others: bool,
    /// Milliseconds since its stance last changed.
    pub for_ms: Option<f64>,
}

/// A change of stance that was.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeShown {
    pub ago_ms: f64,
    pub prefix: IpNet,
    pub stance: Stance,
    pub reason: Reason,
}

/// All that `bgp show` tells.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    pub peers: Vec<PeerShown>,
    pub addresses: Vec<AddressShown>,
    /// The last [`KEPT`], the oldest first.
    pub changes: Vec<ChangeShown>,
    pub health: Health,
    pub drains: bool,
    pub counts: Counts,
}

/// What has happened since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sessions_up: u64,
    pub sessions_lost: u64,
    pub messages_sent: u64,
    pub announced: u64,
    pub depreferenced: u64,
    pub withdrawn: u64,
    pub refused: u64,
}

impl Counts {
    /// Each with its name.
    pub fn named(&self) -> [(&'static str, u64); 7] {
        [
            ("bgp_sessions_up", self.sessions_up),
            ("bgp_sessions_lost", self.sessions_lost),
            ("bgp_messages_sent", self.messages_sent),
            ("bgp_announced", self.announced),
            ("bgp_depreferenced", self.depreferenced),
            ("bgp_withdrawn", self.withdrawn),
            ("bgp_connections_refused", self.refused),
        ]
    }
}

/// Changes of stance that are kept to be shown.
pub const KEPT: usize = 16;

/// The speaker.
#[derive(Clone, Debug)]
pub struct Speaker {
    carried: Carried,
    announcer: Announcer,
    /// By a number that no other peer gets later.
    peers: BTreeMap<usize, Held>,
    numbers: usize,
    seed: u64,
    now: f64,
    changes: VecDeque<(f64, IpNet, Stance, Reason)>,
    counts: Counts,
}

impl Speaker {
    /// Begins on the terms that the first [`Input::Terms`] brings; until then there is no peer.
    pub fn new(terms: &Terms, seed: u64) -> Self {
        Self {
            carried: terms.carried.clone(),
            announcer: Announcer::new(terms.announce.clone()),
            peers: BTreeMap::new(),
            numbers: 0,
            seed,
            now: 0.0,
            changes: VecDeque::new(),
            counts: Counts::default(),
        }
    }

    /// When [`Input::Timer`] is due next.
    pub fn due(&self) -> f64 {
        self.peers.values().map(|p| p.session.due()).fold(self.announcer.due(), f64::min)
    }

    /// The peer to whom a connection from this address belongs.
    pub fn peer_at(&self, from: IpAddr) -> Option<usize> {
        self.peers.iter().find(|(_, held)| held.terms.address.ip() == from).map(|(peer, _)| *peer)
    }

    /// What is shown to people.
    pub fn show(&self, now: f64) -> Shown {
        let peer = |held: &Held| PeerShown {
            address: held.terms.address,
            state: held.session.state(),
            announced: if held.up.is_some() { held.routes.held() } else { Vec::new() },
            flaps: held.session.flaps(),
            ups: held.ups,
            heard_routes: held.session.heard_routes(),
            last_error: held.session.last_error().map(str::to_owned),
        };
        let address = |(prefix, stance, reason, others, changed): (_, _, _, _, Option<f64>)| AddressShown {
            prefix,
            stance,
            reason,
            others,
            for_ms: changed.map(|at| now - at),
        };
        let change = |(at, prefix, stance, reason): &(f64, IpNet, Stance, Reason)| ChangeShown {
            ago_ms: now - at,
            prefix: *prefix,
            stance: *stance,
            reason: *reason,
        };
        Shown {
            peers: self.peers.values().map(peer).collect(),
            addresses: self.announcer.standings().map(address).collect(),
            changes: self.changes.iter().map(change).collect(),
            health: self.announcer.health().clone(),
            drains: self.announcer.drains(),
            counts: self.counts,
        }
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Takes in what happened at `now`, in milliseconds.
    pub fn step(&mut self, now: f64, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        match input {
            Input::Session(peer, input) => self.session(now, peer, input, &mut out),
            Input::Announce(input) => self.announce(now, input, &mut out),
            Input::Terms(terms) => self.change(now, *terms, &mut out),
            Input::Timer => {
                let due = self.peers.iter().filter(|(_, held)| held.session.due() <= now);
                for peer in due.map(|(peer, _)| *peer).collect::<Vec<_>>() {
                    self.session(now, peer, session::Input::Timer, &mut out);
                }
                if self.announcer.due() <= now {
                    self.announce(now, announce::Input::Timer, &mut out);
                }
            }
            Input::Stop(words) => {
                for peer in self.peers.keys().copied().collect::<Vec<_>>() {
                    let told = Notification::shutdown(&words);
                    self.session(now, peer, session::Input::Stop(told), &mut out);
                }
            }
        }
        let sent = out.iter().filter(|e| matches!(e, Effect::Send(..))).count();
        self.counts.messages_sent += sent as u64;
        self.counts.refused += out.iter().filter(|e| matches!(e, Effect::Refuse(..))).count() as u64;
        out
    }

    fn change(&mut self, now: f64, terms: Terms, out: &mut Vec<Effect>) {
        let Terms { peers, announce, carried } = terms;
        let gone: Vec<usize> = self
            .peers
            .iter()
            .filter(|(_, held)| peers.iter().all(|p| p.address != held.terms.address))
            .map(|(peer, _)| *peer)
            .collect();
        for peer in gone {
            let told = Notification::new(code::CEASE, code::PEER_REMOVED);
            self.session(now, peer, session::Input::Stop(told), out);
            self.peers.remove(&peer);
        }
        let before: BTreeSet<IpNet> = self.announcer.standings().map(|s| s.0).collect();
        self.carried = carried;
        let mut begun = Vec::new();
        for terms in peers {
            let held = self.peers.iter_mut().find(|(_, held)| held.terms.address == terms.address);
            match held {
                Some((peer, held)) => {
                    let (peer, session) = (*peer, terms.session.clone());
                    held.terms = terms;
                    self.session(now, peer, session::Input::Terms(session), out);
                }
                None => {
                    let (peer, seed) = (self.numbers, self.seed.wrapping_add(self.numbers as u64));
                    self.numbers += 1;
                    let session = Session::new(terms.session.clone(), seed);
                    let (routes, others) = (Routes::default(), BTreeSet::new());
                    self.peers.insert(peer, Held { terms, session, routes, up: None, ups: 0, others });
                    begun.push(peer);
                }
            }
        }
        let named: Vec<IpNet> = announce.addresses.iter().map(|a| a.prefix).collect();
        let asn = self.peers.values().next().map_or(0, |held| held.terms.session.asn);
        out.push(Effect::Watch(Watch { prefixes: named.clone(), asn }));
        for held in self.peers.values_mut() {
            held.others.retain(|at| named.contains(at));
        }
        self.announce(now, announce::Input::Terms(announce), out);
        // Attributes and next hops may be others now; routes that are as they were are not told again.
        for (prefix, stance, ..) in self.announcer.standings().collect::<Vec<_>>() {
            self.want(prefix, stance);
        }
        begun.into_iter().for_each(|peer| self.session(now, peer, session::Input::Start, out));
        self.tell_all(out);
        if named.iter().any(|at| !before.contains(at)) {
            // Who else announces what is new here was passed over when it was told.
            for peer in self.peers.keys().copied().collect::<Vec<_>>() {
                self.session(now, peer, session::Input::Ask, out);
            }
        }
    }

    fn session(&mut self, now: f64, peer: usize, input: session::Input, out: &mut Vec<Effect>) {
        let Some(held) = self.peers.get_mut(&peer) else {
            // It was taken out meanwhile.
            if let session::Input::Connected(way) = input {
                out.push(Effect::Refuse(peer, way));
            }
            return;
        };
        let at = held.terms.address;
        let (up_before, mut seen) = (held.up.is_some(), Vec::new());
        for effect in held.session.step(now, input) {
            match effect {
                session::Effect::Connect => out.push(Effect::Connect(peer, at)),
                session::Effect::Send(way, bytes) => out.push(Effect::Send(peer, way, bytes)),
                session::Effect::Close(way) => out.push(Effect::Close(peer, way)),
                session::Effect::Refuse(way) => out.push(Effect::Refuse(peer, way)),
                session::Effect::Up { way, families, four_octets } => {
                    out.push(Effect::Note(format!("peer {at} is up, {families:?}")));
                    held.up = Some((way, families, four_octets));
                    held.ups += 1;
                    self.counts.sessions_up += 1;
                    // It has forgotten all that it was told before.
                    held.routes.lost();
                }
                session::Effect::Down(why) => {
                    out.push(Effect::Note(format!("peer {at} is down: {why}")));
                    held.up = None;
                    self.counts.sessions_lost += 1;
                    held.routes.lost();
                    seen.extend(std::mem::take(&mut held.others).into_iter().map(|prefix| (prefix, None)));
                }
                session::Effect::Refresh(family) => held.routes.again(|at| Family::of(at) == family),
                session::Effect::Watched(prefix, route) => seen.push((prefix, route)),
            }
        }
        let up = held.up.is_some();
        self.watched(now, peer, seen, out);
        if up != up_before {
            let up = self.peers.values().filter(|p| p.up.is_some()).count();
            self.announce(now, announce::Input::Sessions(up), out);
        }
        self.tell(peer, out);
    }

    /// Weighs what a peer holds of the addresses.
    fn watched(&mut self, now: f64, peer: usize, seen: Vec<(IpNet, Option<Seen>)>, out: &mut Vec<Effect>) {
        for (prefix, route) in seen {
            if let Some(held) = self.peers.get_mut(&peer) {
                let (id, hop) = (held.terms.session.id, held.terms.next_hop(Family::of(&prefix)));
                match route.is_some_and(|seen| others(&seen, id, hop)) {
                    true => held.others.insert(prefix),
                    false => held.others.remove(&prefix),
                };
            }
            let known = self.peers.values().any(|held| held.others.contains(&prefix));
            let before = self.announcer.standings().any(|(at, _, _, others, _)| at == prefix && others);
            if known != before {
                self.announce(now, announce::Input::Others(prefix, known), out);
            }
        }
    }

    fn announce(&mut self, now: f64, input: announce::Input, out: &mut Vec<Effect>) {
        let mut stops = false;
        for effect in self.announcer.step(now, input) {
            match effect {
                announce::Effect::Stand { prefix, stance, reason } => {
                    out.push(Effect::Note(format!("{prefix} is {stance:?}: {reason:?}")));
                    self.want(prefix, stance);
                    if self.changes.len() >= KEPT {
                        self.changes.pop_front();
                    }
                    self.changes.push_back((self.now, prefix, stance, reason));
                    *match stance {
                        Stance::Announced => &mut self.counts.announced,
                        Stance::Depreferenced => &mut self.counts.depreferenced,
                        Stance::Withdrawn => &mut self.counts.withdrawn,
                    } += 1;
                }
                announce::Effect::MayStop => stops = true,
            }
        }
        self.tell_all(out);
        out.extend(stops.then_some(Effect::MayStop));
    }

    /// What every peer is to hold of a prefix.
    fn want(&mut self, prefix: IpNet, stance: Stance) {
        for held in self.peers.values_mut() {
            held.routes.want(prefix, attributes(&self.carried, &held.terms, &prefix, stance));
        }
    }

    fn tell_all(&mut self, out: &mut Vec<Effect>) {
        for peer in self.peers.keys().copied().collect::<Vec<_>>() {
            self.tell(peer, out);
        }
    }

    /// Sends a peer what has changed for it.
    fn tell(&mut self, peer: usize, out: &mut Vec<Effect>) {
        let Some(held) = self.peers.get_mut(&peer) else { return };
        let Some((way, families, four_octets)) = &held.up else { return };
        for mut update in held.routes.take() {
            update.announced.retain(|at| families.contains(&Family::of(at)));
            update.withdrawn.retain(|at| families.contains(&Family::of(at)));
            out.extend(update.write(*four_octets).into_iter().map(|bytes| Effect::Send(peer, *way, bytes)));
        }
    }
}

/// A route to a peer; none, if it is withdrawn or the peer can't be told where to send.
fn attributes(carried: &Carried, peer: &Peer, prefix: &IpNet, stance: Stance) -> Option<Attributes> {
    let next_hop = peer.next_hop(Family::of(prefix))?;
    let last = match stance {
        Stance::Withdrawn => return None,
        Stance::Depreferenced => true,
        Stance::Announced => false,
    };
    let inside = peer.session.asn == peer.session.peer_asn;
    let times = if inside { 0 } else { 1 + if last { carried.prepend as usize } else { 0 } };
    let mut communities = carried.communities.clone();
    communities.extend(last.then_some(GRACEFUL_SHUTDOWN));
    communities.sort_unstable();
    communities.dedup();
    Some(Attributes {
        path: vec![peer.session.asn; times],
        next_hop,
        med: Some(if last { carried.depreferenced_med } else { carried.med }),
        local_pref: inside.then_some(if last { carried.depreferenced_pref } else { carried.local_pref }),
        communities,
        large: carried.large.clone(),
    })
}
