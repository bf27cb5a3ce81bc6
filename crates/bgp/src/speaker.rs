//! All sessions of a mixer, its routes and its announcements, still without I/O: what the shell in `crates/speaker` runs.

use std::net::IpAddr;

use ipnet::IpNet;

use crate::announce::{self, Announcer, Reason, Stance};
use crate::message::{Attributes, Family, GRACEFUL_SHUTDOWN};
use crate::rib::Routes;
use crate::session::{self, Session, State, Way};

/// One peer as the operator sets it.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    pub session: session::Terms,
    /// What the peer is to send to; of each family that it may be told of.
    pub next_hop_v4: Option<IpAddr>,
    pub next_hop_v6: Option<IpAddr>,
}

/// What is read at start.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub peers: Vec<Peer>,
    /// The prefix of each address of `announce`, in the same order.
    pub prefixes: Vec<IpNet>,
    pub announce: announce::Terms,
    pub communities: Vec<u32>,
    pub large: Vec<(u32, u32, u32)>,
    /// MED of routes that are preferred, and of those that are not.
    pub med: u32,
    pub depreferenced_med: u32,
    /// How often the own AS stands in the path of a route that is not preferred, beyond once.
    pub prepend: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Of a peer, by its place.
    Session(usize, session::Input),
    Announce(announce::Input),
    /// Time has come to [`Speaker::due`].
    Timer,
    /// Sessions end with these words.
    Stop(String),
}

/// What the shell does, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Connect(usize),
    Send(usize, Way, Vec<u8>),
    Close(usize, Way),
    Refuse(usize, Way),
    /// No route leads here any more, as far as can be known.
    MayStop,
    /// For the log.
    Note(String),
}

#[derive(Clone, Debug)]
struct Held {
    session: Session,
    routes: Routes,
    /// While established: over which connection, what, and how.
    up: Option<(Way, Vec<Family>, bool)>,
    ups: u32,
}

/// How a peer stands, for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerShown {
    pub state: State,
    pub announced: Vec<IpNet>,
    pub flaps: u32,
    /// Times that it was established.
    pub ups: u32,
    pub last_error: Option<String>,
}

/// How an address stands, for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressShown {
    pub prefix: IpNet,
    pub stance: Stance,
    pub reason: Reason,
}

/// The speaker.
#[derive(Clone, Debug)]
pub struct Speaker {
    terms: Terms,
    announcer: Announcer,
    peers: Vec<Held>,
}

impl Speaker {
    /// All sessions are begun by [`session::Input::Start`], given to each peer.
    pub fn new(terms: Terms, seed: u64) -> Self {
        let held = |(nth, peer): (u64, &Peer)| Held {
            session: Session::new(peer.session.clone(), seed.wrapping_add(nth)),
            routes: Routes::default(),
            up: None,
            ups: 0,
        };
        Self {
            announcer: Announcer::new(terms.announce.clone()),
            peers: (0..).zip(&terms.peers).map(held).collect(),
            terms,
        }
    }

    /// When [`Input::Timer`] is due next.
    pub fn due(&self) -> f64 {
        self.peers.iter().map(|p| p.session.due()).fold(self.announcer.due(), f64::min)
    }

    pub fn peers(&self) -> Vec<PeerShown> {
        let show = |held: &Held| PeerShown {
            state: held.session.state(),
            announced: if held.up.is_some() { held.routes.held() } else { Vec::new() },
            flaps: held.session.flaps(),
            ups: held.ups,
            last_error: held.session.last_error().map(str::to_owned),
        };
        self.peers.iter().map(show).collect()
    }

    pub fn addresses(&self) -> Vec<AddressShown> {
        let show = |(at, prefix): (usize, &IpNet)| {
            let (stance, reason) = self.announcer.standing(at)?;
            Some(AddressShown { prefix: *prefix, stance, reason })
        };
        self.terms.prefixes.iter().enumerate().filter_map(show).collect()
    }

    /// Takes in what happened at `now`, in milliseconds.
    pub fn step(&mut self, now: f64, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        match input {
            Input::Session(peer, input) => self.session(now, peer, input, &mut out),
            Input::Announce(input) => self.announce(now, input, &mut out),
            Input::Timer => {
                for peer in 0..self.peers.len() {
                    if self.peers[peer].session.due() <= now {
                        self.session(now, peer, session::Input::Timer, &mut out);
                    }
                }
                if self.announcer.due() <= now {
                    self.announce(now, announce::Input::Timer, &mut out);
                }
            }
            Input::Stop(words) => {
                for peer in 0..self.peers.len() {
                    self.session(now, peer, session::Input::Stop(words.clone()), &mut out);
                }
            }
        }
        out
    }

    fn session(&mut self, now: f64, peer: usize, input: session::Input, out: &mut Vec<Effect>) {
        let Some(held) = self.peers.get_mut(peer) else { return };
        let before = held.up.is_some();
        for effect in held.session.step(now, input) {
            match effect {
                session::Effect::Connect => out.push(Effect::Connect(peer)),
                session::Effect::Send(way, bytes) => out.push(Effect::Send(peer, way, bytes)),
                session::Effect::Close(way) => out.push(Effect::Close(peer, way)),
                session::Effect::Refuse(way) => out.push(Effect::Refuse(peer, way)),
                session::Effect::Up { way, families, four_octets } => {
                    out.push(Effect::Note(format!("peer {peer} is up, {families:?}")));
                    held.up = Some((way, families, four_octets));
                    held.ups += 1;
                    // It has forgotten all that it was told before.
                    held.routes.lost();
                }
                session::Effect::Down(why) => {
                    out.push(Effect::Note(format!("peer {peer} is down: {why}")));
                    held.up = None;
                    held.routes.lost();
                }
                session::Effect::Refresh(family) => held.routes.again(|at| Family::of(at) == family),
            }
        }
        if before != self.peers[peer].up.is_some() {
            let up = self.peers.iter().filter(|p| p.up.is_some()).count();
            self.announce(now, announce::Input::Sessions(up), out);
        }
        self.tell(peer, out);
    }

    fn announce(&mut self, now: f64, input: announce::Input, out: &mut Vec<Effect>) {
        let mut stops = false;
        for effect in self.announcer.step(now, input) {
            match effect {
                announce::Effect::Stand { address, stance, reason } => {
                    let Some(prefix) = self.terms.prefixes.get(address).copied() else { continue };
                    out.push(Effect::Note(format!("{prefix} is {stance:?}: {reason:?}")));
                    for (held, peer) in self.peers.iter_mut().zip(&self.terms.peers) {
                        held.routes.want(prefix, attributes(&self.terms, peer, &prefix, stance));
                    }
                }
                announce::Effect::MayStop => stops = true,
            }
        }
        (0..self.peers.len()).for_each(|peer| self.tell(peer, out));
        out.extend(stops.then_some(Effect::MayStop));
    }

    /// Sends a peer what has changed for it.
    fn tell(&mut self, peer: usize, out: &mut Vec<Effect>) {
        let held = &mut self.peers[peer];
        let Some((way, families, four_octets)) = &held.up else { return };
        for mut update in held.routes.take() {
            update.announced.retain(|at| families.contains(&Family::of(at)));
            update.withdrawn.retain(|at| families.contains(&Family::of(at)));
            out.extend(update.write(*four_octets).into_iter().map(|bytes| Effect::Send(peer, *way, bytes)));
        }
    }
}

/// A route to a peer; none, if it is withdrawn or the peer can't be told where to send.
fn attributes(terms: &Terms, peer: &Peer, prefix: &IpNet, stance: Stance) -> Option<Attributes> {
    let next_hop = match prefix {
        IpNet::V4(_) => peer.next_hop_v4?,
        IpNet::V6(_) => peer.next_hop_v6?,
    };
    let last = match stance {
        Stance::Withdrawn => return None,
        Stance::Depreferenced => true,
        Stance::Announced => false,
    };
    let inside = peer.session.asn == peer.session.peer_asn;
    let times = if inside { 0 } else { 1 + if last { terms.prepend as usize } else { 0 } };
    let mut communities = terms.communities.clone();
    communities.extend(last.then_some(GRACEFUL_SHUTDOWN));
    communities.sort_unstable();
    communities.dedup();
    Some(Attributes {
        path: vec![peer.session.asn; times],
        next_hop,
        med: Some(if last { terms.depreferenced_med } else { terms.med }),
        // RFC 8326 section 4: the least there is.
        local_pref: inside.then_some(if last { 0 } else { 100 }),
        communities,
        large: terms.large.clone(),
    })
}
