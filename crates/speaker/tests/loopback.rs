//! The speaker on loopback, against a peer with a codec of its own.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::{Duration, Instant};

use pewterwharf_bgp::announce::{self, Address, Health, Phase};
use pewterwharf_bgp::message::Family;
use pewterwharf_bgp::session::{self, State};
use pewterwharf_bgp::speaker::{Peer as PeerTerms, Terms};
use pewterwharf_speaker::{Place, Speaker};
use pewterwharf_standins::bgp::{Manner, Peer};

fn terms() -> Terms {
    let session = session::Terms {
        asn: 4_200_000_000,
        id: Ipv4Addr::new(10, 0, 0, 1),
        peer_asn: 64_513,
        hold_s: 9,
        families: vec![Family::V4, Family::V6],
        connects: true,
        retry_ms: 100.0,
        idle_ms: 20.0,
        most_routes: 5000,
    };
    let peer = PeerTerms {
        session,
        next_hop_v4: Some(IpAddr::V4(Ipv4Addr::new(192, 0, 2, 1))),
        next_hop_v6: Some(IpAddr::V6(Ipv6Addr::new(0x2001, 0xdb8, 0, 0, 0, 0, 0, 1))),
    };
    let any = || Address { table_types: vec![], keep_last: false };
    Terms {
        peers: vec![peer],
        prefixes: vec![
            "198.51.100.1/32".parse().expect("a prefix"),
            "2001:db8:1::1/128".parse().expect("a prefix"),
        ],
        announce: announce::Terms {
            addresses: vec![any(), any()],
            up_share: 0.9,
            down_share: 0.5,
            up_ms: 20.0,
            down_ms: 20.0,
            stale_ms: 30_000.0,
            pressure: 0.5,
            changes: 100,
            depreferenced_ms: 60.0,
            leave_ms: 60.0,
        },
        communities: vec![0xFBF5_0001],
        large: vec![(4_200_000_000, 1, 2)],
        med: 10,
        depreferenced_med: 1000,
        prepend: 2,
    }
}

fn health(share: f64) -> Health {
    Health { phase: Phase::Ready, usable: vec![share], pressure: 0.0, places: true, list_age_ms: 0.0 }
}

fn start(peer: &Peer) -> Speaker {
    Speaker::start(terms(), vec![Place { address: peer.address }], None, 7).expect("it starts")
}

fn state(speaker: &Speaker) -> State {
    speaker.show().expect("it runs").0[0].state
}

#[test]
fn a_drain_depreferences_withdraws_and_only_then_lets_scans_stop() {
    let peer = Peer::start(&[Manner::Speaks]);
    let speaker = start(&peer);
    let (_, before) = peer.until("up");
    assert_eq!(before, ["open 4200000000 hold 9"]);
    speaker.health(health(1.0));
    assert_eq!(peer.next().what, "announce 198.51.100.1/32, path of 1");
    assert_eq!(peer.next().what, "announce 2001:db8:1::1/128, path of 1");
    speaker.drain();
    assert_eq!(peer.next().what, "announce 198.51.100.1/32, path of 3, depreferenced");
    assert_eq!(peer.next().what, "announce 2001:db8:1::1/128, path of 3, depreferenced");
    let withdrawn = [peer.next(), peer.next()];
    assert_eq!(withdrawn[0].what, "withdraw 198.51.100.1/32");
    assert_eq!(withdrawn[1].what, "withdraw 2001:db8:1::1/128");
    speaker.may_stop().recv_timeout(Duration::from_secs(10)).expect("scans may stop");
    let stopped = Instant::now();
    // By the peer's own times.
    assert!(withdrawn.iter().all(|w| w.at < stopped), "{withdrawn:?} and stopped at {stopped:?}");
    assert!(peer.rest().is_empty());
    speaker.end("mending");
    let (told, _) = peer.until("notification");
    assert!(told.what.contains("AdministrativeShutdown"), "{}", told.what);
    peer.until("closed");
}

#[test]
fn what_can_no_longer_be_served_is_withdrawn_and_comes_back() {
    let peer = Peer::start(&[Manner::Speaks]);
    let speaker = start(&peer);
    speaker.health(health(1.0));
    peer.until("announce 2001:db8:1::1/128");
    speaker.health(health(0.0));
    peer.until("withdraw 2001:db8:1::1/128");
    speaker.health(health(0.7));
    speaker.health(health(1.0));
    let (_, before) = peer.until("announce 2001:db8:1::1/128");
    assert_eq!(before, ["announce 198.51.100.1/32, path of 1"]);
}

#[test]
fn a_session_that_flaps_is_up_again_and_told_all_routes() {
    let peer = Peer::start(&[Manner::Flaps, Manner::Flaps, Manner::Flaps, Manner::Speaks]);
    let speaker = start(&peer);
    speaker.health(health(1.0));
    for _ in 0..3 {
        peer.until("closed");
    }
    peer.until("announce 198.51.100.1/32, path of 1");
    peer.until("announce 2001:db8:1::1/128, path of 1");
    let (peers, addresses) = speaker.show().expect("it runs");
    assert_eq!((peers[0].ups, peers[0].flaps, peers[0].announced.len()), (4, 3, 2));
    assert!(addresses.iter().all(|a| a.reason == announce::Reason::Serves), "{addresses:?}");
}

#[test]
fn peers_that_misbehave_are_told_why_and_tried_again() {
    let cases = [
        (Manner::WrongAs, "BadPeerAs"),
        (Manner::Malformed, "MalformedAttributeList"),
        (Manner::Floods(1_000_000), "MaximumNumberOfPrefixesReached"),
        (Manner::Half, "HoldTimerExpired"),
    ];
    for (manner, reason) in cases {
        let peer = Peer::start(&[manner, Manner::Speaks]);
        let mut terms = terms();
        terms.peers[0].session.hold_s = 3;
        let places = vec![Place { address: peer.address }];
        let speaker = Speaker::start(terms, places, None, 7).expect("it starts");
        speaker.health(health(1.0));
        // A peer that floods may have its connection reset before it reads why.
        let first = peer.until(if matches!(manner, Manner::Floods(_)) { "closed" } else { "notification" }).0;
        let error = speaker.show().expect("it runs").0[0].last_error.clone().unwrap_or_default();
        assert!(
            first.what.contains(reason) || error.contains("6/1"),
            "{manner:?}: {} and {error}",
            first.what
        );
        peer.until("announce 2001:db8:1::1/128");
        assert_eq!(state(&speaker), State::Established);
    }
}

#[test]
fn a_peer_that_reads_no_more_holds_up_no_drain() {
    let peer = Peer::start(&[Manner::Deaf]);
    let mut terms = terms();
    terms.announce.depreferenced_ms = 5.0;
    terms.announce.leave_ms = 5.0;
    let speaker = Speaker::start(terms, vec![Place { address: peer.address }], None, 7).expect("it starts");
    peer.until("up");
    speaker.health(health(1.0));
    while speaker.show().expect("it runs").0[0].announced.len() < 2 {
        std::thread::yield_now();
    }
    let begun = Instant::now();
    speaker.drain();
    speaker.may_stop().recv_timeout(Duration::from_secs(5)).expect("scans may stop");
    speaker.end("off");
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
}

#[test]
fn with_no_peer_there_a_drain_waits_for_nobody() {
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let speaker = Speaker::start(terms(), vec![Place { address: nobody }], None, 7).expect("it starts");
    speaker.health(health(1.0));
    speaker.drain();
    speaker.may_stop().recv_timeout(Duration::from_secs(5)).expect("scans may stop");
    assert_ne!(state(&speaker), State::Established);
}
