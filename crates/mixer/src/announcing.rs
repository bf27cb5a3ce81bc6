//! The service's side of BGP: what the operator's file says becomes the speaker's terms, what the mixer can serve is
//! reported to it, and a drain is held up until no route leads here any more. Off unless the operator's file has it.

use std::io;
use std::net::IpAddr;

use ipnet::IpNet;
use pewterwharf_bgp::announce::{Address, Health, Phase as Announced, Terms as AnnounceTerms};
use pewterwharf_bgp::message::Family;
use pewterwharf_bgp::session;
use pewterwharf_bgp::speaker::{Peer, Terms};
use pewterwharf_settings::{Bgp, BgpPeer};
use pewterwharf_speaker::{Place, Speaker};

use crate::reducer::{Phase, Reducer};
use crate::service::{STACK, Tell, spawn};

/// How often the mixer's health is reported, in milliseconds: well under the time that worse has to last.
const REPORT_MS: f64 = 250.0;
/// Scans from which on a share of refusals says something.
const ENOUGH: u64 = 20;
/// Routes that a peer may announce; none is kept.
const MOST_ROUTES: u64 = 10_000;
/// Milliseconds between attempts to connect, and of the first rest after a fault.
const RETRY_MS: f64 = 5000.0;

/// The announcements of this mixer.
pub struct Announcing {
    speaker: Speaker,
    stop: Stop,
    report_at: f64,
    /// Scans taken and throttled at the last look, and the share refused since the one before.
    seen: (u64, u64),
    pressure: f64,
}

/// How far the end is.
#[derive(Clone, Copy, PartialEq)]
enum Stop {
    No,
    /// The routes are on their way out.
    Leaving,
    /// The mixer drains as it does without routes.
    Over,
}

fn peer(bgp: &Bgp, peer: &BgpPeer) -> Peer {
    let session = session::Terms {
        asn: bgp.asn,
        id: bgp.id,
        peer_asn: peer.asn,
        hold_s: peer.hold_s,
        families: vec![Family::V4, Family::V6],
        connects: true,
        retry_ms: RETRY_MS,
        idle_ms: RETRY_MS,
        most_routes: MOST_ROUTES,
    };
    let hop = |wanted: bool| Some(peer.next_hop).filter(|_| wanted);
    let v4 = matches!(peer.next_hop, IpAddr::V4(_));
    Peer { session, next_hop_v4: hop(v4), next_hop_v6: hop(!v4) }
}

fn terms(bgp: &Bgp) -> Terms {
    let prefixes = bgp.addresses.iter().filter_map(|a| IpNet::new(a.prefix.0, a.prefix.1).ok());
    let addresses = bgp.addresses.iter().map(|a| Address { table_types: Vec::new(), keep_last: a.keep_last });
    Terms {
        peers: bgp.peers.iter().map(|p| peer(bgp, p)).collect(),
        prefixes: prefixes.collect(),
        announce: AnnounceTerms {
            addresses: addresses.collect(),
            up_share: bgp.up.0,
            down_share: bgp.down.0,
            up_ms: bgp.up.1,
            down_ms: bgp.down.1,
            // The watch does not tell a quiet list from a lost one: no age is reported yet, and none depreferences.
            stale_ms: f64::INFINITY,
            pressure: bgp.pressure,
            changes: bgp.changes,
            depreferenced_ms: bgp.drain.0,
            leave_ms: bgp.drain.1,
        },
        communities: Vec::new(),
        large: Vec::new(),
        med: 0,
        depreferenced_med: 1000,
        prepend: 2,
    }
}

impl Announcing {
    /// # Errors
    /// If the speaker's listener or a thread can't be had.
    pub fn open(bgp: &Bgp, seed: u64, tell: Tell) -> io::Result<Self> {
        let places = bgp.peers.iter().map(|p| Place { address: p.address }).collect();
        let speaker = Speaker::start(terms(bgp), places, bgp.listen, seed)?;
        let may_stop = speaker.may_stop().clone();
        spawn("routes left", STACK, move || {
            if may_stop.recv().is_ok() {
                tell.may_stop();
            }
        })?;
        Ok(Self { speaker, stop: Stop::No, report_at: 0.0, seen: (0, 0), pressure: 0.0 })
    }

    /// When it wants to be asked to [`Announcing::report`] again.
    pub fn due(&self) -> f64 {
        if self.stop == Stop::Over { f64::INFINITY } else { self.report_at }
    }

    /// Reports what the mixer can serve, if it is time.
    pub fn report(&mut self, now: f64, reducer: &Reducer) {
        if now < self.due() {
            return;
        }
        self.report_at = now + REPORT_MS;
        let phase = match reducer.phase() {
            Phase::Opening => Announced::Opening,
            Phase::Ready => Announced::Ready,
            Phase::Draining { .. } => Announced::Draining,
            Phase::Closed => Announced::Closed,
        };
        let counters = reducer.counters();
        let (taken, throttled) = (counters.scans_taken - self.seen.0, counters.scans_throttled - self.seen.1);
        if taken >= ENOUGH {
            self.pressure = throttled as f64 / taken as f64;
            self.seen = (counters.scans_taken, counters.scans_throttled);
        }
        let usable = reducer.usable();
        self.speaker.health(Health {
            phase,
            usable: vec![usable; reducer.table_types()],
            pressure: self.pressure,
            places: true,
            list_age_ms: 0.0,
        });
    }

    /// The mixer is asked to end: whether it may at once. If not, [`Announcing::left`] is called when it may.
    pub fn stop(&mut self) -> bool {
        match self.stop {
            Stop::No => {
                self.stop = Stop::Leaving;
                self.speaker.drain();
            }
            Stop::Leaving => self.speaker.hurry(),
            Stop::Over => {}
        }
        self.stop == Stop::Over
    }

    /// No route leads here any more; whether that was still awaited.
    pub fn left(&mut self) -> bool {
        std::mem::replace(&mut self.stop, Stop::Over) == Stop::Leaving
    }

    /// Ends all sessions.
    pub fn end(self) {
        self.speaker.end("the mixer has drained");
    }
}
