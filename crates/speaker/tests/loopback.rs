//! The speaker on loopback, against a peer with a codec of its own.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use pewterwharf_bgp::announce::{self, Health, Phase, ServiceAddress};
use pewterwharf_bgp::message::Family;
use pewterwharf_bgp::session::{self, State};
use pewterwharf_bgp::speaker::{AttributeConfig, PeerConfig, SpeakerConfig};
use pewterwharf_speaker::{Speaker, SpeakerStatus};
use pewterwharf_standins::bgp::{self as standin, BgpConnection, Peer, PeerBehavior};

/// For what has to come: nothing waits this long but on a machine that stands still. Five seconds once were too few on two
/// cores, where other tests looked without a pause.
const CEILING: Duration = Duration::from_secs(60);

fn terms(address: SocketAddr) -> SpeakerConfig {
    let session = session::SessionConfig {
        asn: 4_200_000_000,
        bgp_id: Ipv4Addr::new(10, 0, 0, 1),
        peer_asn: 64_513,
        hold_time_s: 9,
        families: vec![Family::V4, Family::V6],
        connects: true,
        connect_retry_ms: 100.0,
        idle_hold_ms: 20.0,
        max_prefixes: 5000,
    };
    let peer = PeerConfig {
        address,
        session,
        next_hop_v4: Some(IpAddr::V4(Ipv4Addr::new(192, 0, 2, 1))),
        next_hop_v6: Some(IpAddr::V6(Ipv6Addr::new(0x2001, 0xdb8, 0, 0, 0, 0, 0, 1))),
    };
    let any = |prefix: &str| ServiceAddress {
        prefix: prefix.parse().expect("a prefix"),
        table_types: vec![],
        keep_last: false,
    };
    SpeakerConfig {
        peers: vec![peer],
        announce: announce::AnnounceConfig {
            addresses: vec![any("198.51.100.1/32"), any("2001:db8:1::1/128")],
            up_share: 0.9,
            down_share: 0.5,
            up_delay_ms: 20.0,
            down_delay_ms: 20.0,
            max_list_age_ms: 30_000.0,
            max_rejected_share: 0.5,
            max_changes_per_minute: 100,
            depreferenced_ms: 60.0,
            withdrawn_ms: 60.0,
        },
        attributes: AttributeConfig {
            communities: vec![0xFBF5_0001],
            large_communities: vec![(4_200_000_000, 1, 2)],
            med: 10,
            depreferenced_med: 1000,
            local_pref: 100,
            depreferenced_local_pref: 0,
            prepend: 2,
        },
    }
}

fn health(share: f64) -> Health {
    Health {
        phase: Phase::Ready,
        servable_shares: vec![share],
        rejected_share: 0.0,
        has_client_capacity: true,
        list_age_ms: 0.0,
    }
}

fn start(peer: &Peer) -> Speaker {
    Speaker::start(terms(peer.address), None, 7).expect("it starts")
}

fn state(speaker: &Speaker) -> State {
    speaker.status().expect("it runs").peers[0].state
}

#[test]
fn a_drain_depreferences_withdraws_and_only_then_lets_scans_stop() {
    let peer = Peer::start(&[PeerBehavior::Conforms]);
    let speaker = start(&peer);
    let (_, before) = peer.wait_for("up");
    assert_eq!(before, ["open 4200000000 hold 9"]);
    speaker.report_health(health(1.0));
    assert_eq!(peer.next_event().text, "announce 198.51.100.1/32, path of 1");
    assert_eq!(peer.next_event().text, "announce 2001:db8:1::1/128, path of 1");
    speaker.drain();
    assert_eq!(peer.next_event().text, "announce 198.51.100.1/32, path of 3, depreferenced");
    assert_eq!(peer.next_event().text, "announce 2001:db8:1::1/128, path of 3, depreferenced");
    let withdrawn = [peer.next_event(), peer.next_event()];
    assert_eq!(withdrawn[0].text, "withdraw 198.51.100.1/32");
    assert_eq!(withdrawn[1].text, "withdraw 2001:db8:1::1/128");
    speaker.drain_complete().recv_timeout(CEILING).expect("scans may stop");
    let stopped = Instant::now();
    // By the peer's own times.
    assert!(withdrawn.iter().all(|w| w.at < stopped), "{withdrawn:?} and stopped at {stopped:?}");
    assert!(peer.pending_events().is_empty());
    speaker.shutdown("mending");
    let (told, _) = peer.wait_for("notification");
    assert!(told.text.contains("AdministrativeShutdown"), "{}", told.text);
    peer.wait_for("closed");
}

#[test]
fn what_can_no_longer_be_served_is_withdrawn_and_comes_back() {
    let peer = Peer::start(&[PeerBehavior::Conforms]);
    let speaker = start(&peer);
    speaker.report_health(health(1.0));
    peer.wait_for("announce 2001:db8:1::1/128");
    speaker.report_health(health(0.0));
    peer.wait_for("withdraw 2001:db8:1::1/128");
    speaker.report_health(health(0.7));
    speaker.report_health(health(1.0));
    let (_, before) = peer.wait_for("announce 2001:db8:1::1/128");
    assert_eq!(before, ["announce 198.51.100.1/32, path of 1"]);
}

#[test]
fn a_session_that_flaps_is_up_again_and_told_all_routes() {
    let peer =
        Peer::start(&[PeerBehavior::Flaps, PeerBehavior::Flaps, PeerBehavior::Flaps, PeerBehavior::Conforms]);
    let speaker = start(&peer);
    speaker.report_health(health(1.0));
    for _ in 0..3 {
        peer.wait_for("closed");
    }
    peer.wait_for("announce 198.51.100.1/32, path of 1");
    peer.wait_for("announce 2001:db8:1::1/128, path of 1");
    let SpeakerStatus { peers, addresses, counters, .. } = speaker.status().expect("it runs");
    assert_eq!((counters.sessions_up, counters.sessions_lost), (4, 3));
    assert_eq!((peers[0].times_established, peers[0].flaps, peers[0].advertised.len()), (4, 3, 2));
    assert!(addresses.iter().all(|a| a.reason == announce::Reason::Serves), "{addresses:?}");
}

#[test]
fn peers_that_misbehave_are_told_why_and_tried_again() {
    let cases = [
        (PeerBehavior::WrongAs, "BadPeerAs", "2/2"),
        (PeerBehavior::SendsMalformedUpdate, "MalformedAttributeList", "3/1"),
        (PeerBehavior::FloodsRoutes(1_000_000), "MaximumNumberOfPrefixesReached", "6/1"),
        (PeerBehavior::SendsPartialMessage, "HoldTimerExpired", "4/0"),
    ];
    for (manner, reason, code) in cases {
        let peer = Peer::start(&[manner, PeerBehavior::Conforms]);
        let mut terms = terms(peer.address);
        terms.peers[0].session.hold_time_s = 3;
        let speaker = Speaker::start(terms, None, 7).expect("it starts");
        speaker.report_health(health(1.0));
        // A peer that still sends may have its connection reset before it reads why; and what the next connection brings may be
        // heard before the end of the first.
        let (_, before) = peer.wait_for("closed");
        let told = before.iter().any(|what| what.starts_with("notification") && what.contains(reason));
        let error = speaker.status().expect("it runs").peers[0].last_error.clone().unwrap_or_default();
        assert!(told || error.contains(code), "{manner:?}: {before:?} and {error}");
        let since = Instant::now();
        let again = || {
            let show = speaker.status().expect("it runs");
            state(&speaker) == State::Established && !show.peers[0].advertised.is_empty()
        };
        while !again() {
            assert!(since.elapsed() < CEILING, "{manner:?}: not tried again");
            std::thread::sleep(Duration::from_millis(1));
        }
        if !before.iter().any(|what| what.starts_with("announce 2001:db8:1::1/128")) {
            peer.wait_for("announce 2001:db8:1::1/128");
        }
    }
}

#[test]
fn a_peer_that_reads_no_more_holds_up_no_drain() {
    let peer = Peer::start(&[PeerBehavior::StopsReading]);
    let mut terms = terms(peer.address);
    terms.announce.depreferenced_ms = 5.0;
    terms.announce.withdrawn_ms = 5.0;
    let speaker = Speaker::start(terms, None, 7).expect("it starts");
    peer.wait_for("up");
    speaker.report_health(health(1.0));
    while speaker.status().expect("it runs").peers[0].advertised.len() < 2 {
        std::thread::sleep(Duration::from_millis(1));
    }
    let begun = Instant::now();
    speaker.drain();
    speaker.drain_complete().recv_timeout(CEILING).expect("scans may stop");
    speaker.shutdown("off");
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
}

#[test]
fn with_no_peer_there_a_drain_waits_for_nobody() {
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let speaker = Speaker::start(terms(nobody), None, 7).expect("it starts");
    speaker.report_health(health(1.0));
    speaker.drain();
    speaker.drain_complete().recv_timeout(CEILING).expect("scans may stop");
    assert_ne!(state(&speaker), State::Established);
}

/// Notifications before the peer's OPEN, after it and once it is up; a twin of the mixer itself.
#[test]
fn a_peer_that_ends_the_session_in_any_state_is_tried_again() {
    let cases = [
        (PeerBehavior::ResetsBeforeOpen, "the peer said 6/4"),
        (PeerBehavior::ResetsAfterOpen, "the peer said 6/4"),
        (PeerBehavior::ResetsEstablished, "the peer said 6/4"),
        (PeerBehavior::DuplicateIdentity, "we said 2/3"),
    ];
    for (manner, reason) in cases {
        let peer = Peer::start(&[manner, PeerBehavior::Conforms]);
        let mut terms = terms(peer.address);
        if manner == PeerBehavior::DuplicateIdentity {
            (terms.peers[0].session.asn, terms.peers[0].session.peer_asn) = (64_512, 64_512);
        }
        let speaker = Speaker::start(terms, None, 7).expect("it starts");
        speaker.report_health(health(1.0));
        peer.wait_for("closed");
        loop {
            let shown = speaker.status().expect("it runs").peers[0].clone();
            if let Some(error) = shown.last_error {
                assert!(error.starts_with(reason), "{manner:?}: {error}");
                break;
            }
        }
        if manner != PeerBehavior::DuplicateIdentity {
            peer.wait_for("announce 2001:db8:1::1/128");
            assert_eq!(state(&speaker), State::Established);
        }
    }
}

/// A drain while the session is in each of its states: nobody hears it, so nobody is waited for.
#[test]
fn a_drain_in_each_state_of_the_session_ends() {
    for (manner, reached) in [
        (PeerBehavior::Silent, State::OpenSent),
        (PeerBehavior::SendsOpenOnly, State::OpenConfirm),
        (PeerBehavior::Conforms, State::Established),
    ] {
        let peer = Peer::start(&[manner]);
        let speaker = start(&peer);
        speaker.report_health(health(1.0));
        while state(&speaker) != reached {
            std::thread::sleep(Duration::from_millis(1));
        }
        speaker.drain();
        speaker.drain_complete().recv_timeout(CEILING).expect("scans may stop");
        speaker.shutdown("off");
        let (told, before) = peer.wait_for("notification");
        assert!(told.text.contains("AdministrativeShutdown"), "{reached:?}: {}", told.text);
        assert!(
            reached == State::Established || before.iter().all(|b| !b.starts_with("announce")),
            "{before:?}"
        );
    }
    // Idle, Connect and Active: with_no_peer_there_a_drain_waits_for_nobody.
}

/// Both sides connect. The peer takes the mixer's connection, opens one of its own, and sends its OPENs in either order:
/// the connection of the higher identifier stays, whichever came first.
#[test]
fn of_two_connections_that_collide_the_higher_identifier_s_stays() {
    for (peer_id, mixers_stays) in [(9, false), (0, true)] {
        for mixers_first in [true, false] {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            let any = "127.0.0.1:0".parse().expect("an address");
            let speaker = Speaker::start(terms(address), Some(any), 7).expect("it starts");
            speaker.report_health(health(1.0));
            let (stream, _) = listener.accept().expect("the mixer connects");
            let mut out = BgpConnection::new(stream);
            assert_eq!(out.describe_next(), "open 4200000000 hold 9");
            let at = speaker.local_addr().expect("it listens");
            let mut came = BgpConnection::new(TcpStream::connect(at).expect("the mixer listens"));
            assert_eq!(came.describe_next(), "open 4200000000 hold 9");
            let id = Ipv4Addr::new(10, 0, 0, peer_id);
            let order = if mixers_first { [&mut out, &mut came] } else { [&mut came, &mut out] };
            for wire in order {
                assert!(wire.open(64_513, id));
            }
            let (stays, goes) = if mixers_stays { (&mut out, &mut came) } else { (&mut came, &mut out) };
            let mut last = String::new();
            while !last.contains("notification") {
                last = goes.describe_next();
                assert_ne!(last, "closed", "id {peer_id}, mixer's first {mixers_first}");
            }
            assert!(last.contains("ConnectionCollisionResolution"), "{last}");
            assert_eq!(stays.describe_next(), "keepalive");
            assert!(stays.keepalive());
            assert!(stays.describe_next().starts_with("announce 198.51.100.1/32"));
        }
    }
}

#[test]
fn what_a_peer_reflects_decides_whether_a_last_announcer_goes() {
    let peer = Peer::start(&[PeerBehavior::Conforms]);
    let mut terms = terms(peer.address);
    terms.announce.addresses.truncate(1);
    terms.announce.addresses[0].keep_last = true;
    let speaker = Speaker::start(terms.clone(), None, 7).expect("it starts");
    speaker.report_health(health(1.0));
    peer.wait_for("announce 198.51.100.1/32, path of 1");
    speaker.report_health(health(0.3));
    peer.wait_for("announce 198.51.100.1/32, path of 3, depreferenced");
    let (address, other) = (Ipv4Addr::new(198, 51, 100, 1), Ipv4Addr::new(192, 0, 2, 2));
    // One more last resort, and then one's own route come back: neither is a reason to go.
    peer.send(&standin::announce_update(address, other, true));
    peer.send(&standin::announce_update(address, Ipv4Addr::new(192, 0, 2, 1), false));
    peer.send(&standin::announce_update(Ipv4Addr::new(198, 51, 100, 2), other, false));
    while speaker.status().expect("it runs").peers[0].received_prefixes < 3 {
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(!speaker.status().expect("it runs").addresses[0].other_announcer);
    peer.send(&standin::announce_update(address, other, false));
    peer.wait_for("withdraw 198.51.100.1/32");
    peer.send(&standin::withdraw_update(address));
    peer.wait_for("announce 198.51.100.1/32, path of 3, depreferenced");
    // Named anew, an address is asked for: the peer may have told of it before.
    let mut more = terms.clone();
    more.announce.addresses.push(ServiceAddress {
        prefix: "198.51.100.7/32".parse().expect("a prefix"),
        table_types: vec![],
        keep_last: true,
    });
    speaker.configure(more);
    peer.wait_for("refresh");
}

/// What the operator changes while sessions are up, and that none is lost by it.
#[test]
fn the_operators_changes_leave_sessions_up() {
    let (peer, second) = (Peer::start(&[PeerBehavior::Conforms]), Peer::start(&[PeerBehavior::Conforms]));
    let before = terms(peer.address);
    let speaker = Speaker::start(before.clone(), None, 7).expect("it starts");
    speaker.report_health(health(1.0));
    peer.wait_for("announce 2001:db8:1::1/128");
    let mut new = before.clone();
    new.announce.addresses.remove(1);
    new.announce.addresses.push(ServiceAddress {
        prefix: "198.51.100.7/32".parse().expect("a prefix"),
        table_types: vec![],
        keep_last: false,
    });
    new.peers[0].session.hold_time_s = 30;
    new.peers.push(terms(second.address).peers.remove(0));
    speaker.configure(new.clone());
    peer.wait_for("withdraw 2001:db8:1::1/128");
    peer.wait_for("announce 198.51.100.7/32");
    second.wait_for("up");
    second.wait_for("announce 198.51.100.7/32");
    // A new next hop: all is told again, and nothing is withdrawn.
    new.peers[0].next_hop_v4 = Some(IpAddr::V4(Ipv4Addr::new(192, 0, 2, 77)));
    speaker.configure(new.clone());
    let (_, told) = peer.wait_for("announce 198.51.100.7/32");
    assert_eq!(told.last().map(String::as_str), Some("announce 198.51.100.1/32, path of 1"));
    new.peers.remove(1);
    speaker.configure(new);
    let (gone, _) = second.wait_for("notification");
    assert!(gone.text.contains("PeerDeConfigured"), "{}", gone.text);
    let shown = speaker.status().expect("it runs");
    assert_eq!(
        (shown.peers.len(), shown.peers[0].times_established, shown.peers[0].state),
        (1, 1, State::Established)
    );
}

/// A peer shuts its window while more and more is to be told. Its connection ends once the queue for it is full; another
/// peer hears all, and a drain waits for neither.
#[test]
fn a_peer_whose_window_is_shut_is_let_go_and_another_hears_the_drain() {
    let (deaf, peer) = (
        Peer::start(&[PeerBehavior::StopsReading, PeerBehavior::Silent]),
        Peer::start(&[PeerBehavior::Conforms]),
    );
    let mut terms = terms(peer.address);
    terms.peers.push(self::terms(deaf.address).peers.remove(0));
    terms.announce.addresses = (0..64)
        .map(|nth| ServiceAddress {
            prefix: format!("2001:db8:2::{nth:x}/128").parse().expect("a prefix"),
            table_types: vec![],
            keep_last: false,
        })
        .collect();
    let speaker = Speaker::start(terms.clone(), None, 7).expect("it starts");
    speaker.report_health(health(1.0));
    deaf.wait_for("up");
    peer.wait_for("announce 2001:db8:2::3f/128");
    let lost = |speaker: &Speaker| speaker.status().expect("it runs").counters.sessions_lost;
    let mut rounds = 0;
    while lost(&speaker) == 0 {
        // A new MED: every route is told again, in one message to each peer.
        terms.attributes.med += 1;
        speaker.configure(terms.clone());
        peer.wait_for("announce 2001:db8:2::3f/128");
        rounds += 1;
        assert!(rounds < 100_000, "it is never let go");
    }
    let shown = speaker.status().expect("it runs");
    assert_eq!(shown.peers.iter().map(|p| p.times_established).collect::<Vec<_>>(), [1, 1]);
    assert_eq!(shown.peers[0].state, State::Established);
    speaker.drain();
    peer.wait_for("announce 2001:db8:2::3f/128, path of 3, depreferenced");
    peer.wait_for("withdraw 2001:db8:2::3f");
    speaker.drain_complete().recv_timeout(CEILING).expect("scans may stop");
}

/// More routes than the buffers of a connection hold: a peer whose window stays shut waits for as long as its system lets it.
#[test]
fn peers_in_the_midst_of_a_flood_are_closed() {
    let floods = || Peer::start(&[PeerBehavior::FloodsRoutes(1_000_000), PeerBehavior::Conforms]);
    let peers: Vec<Peer> = (0..16).map(|_| floods()).collect();
    let mut all = terms(peers[0].address);
    all.peers = peers.iter().map(|peer| terms(peer.address).peers.remove(0)).collect();
    let speaker = Speaker::start(all, None, 7).expect("it starts");
    for (nth, peer) in peers.iter().enumerate() {
        let (_, before) = peer.wait_for("closed");
        let told = before.iter().any(|what| what.contains("MaximumNumberOfPrefixesReached"));
        let error = speaker.status().expect("it runs").peers[nth].last_error.clone().unwrap_or_default();
        assert!(told || error.contains("6/1"), "peer {nth}: {before:?} and {error}");
    }
}
