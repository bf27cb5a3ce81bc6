//! The speaker on loopback, against a test peer with an independent BGP codec.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use pewterwharf_bgp::announce::{self, Health, Phase, ServiceAddress};
use pewterwharf_bgp::message::Family;
use pewterwharf_bgp::session::{self, State};
use pewterwharf_bgp::speaker::{AttributeConfig, PeerConfig, SpeakerConfig};
use pewterwharf_speaker::{Speaker, SpeakerStatus};
use pewterwharf_standins::bgp::{self as standin, BgpConnection, Peer, PeerBehavior};

/// Upper bound for expected events; only a stalled machine takes this long. Five seconds were too few on two cores while
/// other tests were polling without a pause.
const CEILING: Duration = Duration::from_secs(60);

fn config(address: SocketAddr) -> SpeakerConfig {
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
    Speaker::start(config(peer.address), None, 7).expect("the speaker starts")
}

fn state(speaker: &Speaker) -> State {
    speaker.status().expect("the speaker runs").peers[0].state
}

#[test]
fn drain_order() {
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
    speaker.drain_complete().recv_timeout(CEILING).expect("the drain completes");
    let stopped = Instant::now();
    // By the times at which the peer received them.
    assert!(withdrawn.iter().all(|w| w.at < stopped), "{withdrawn:?} and stopped at {stopped:?}");
    assert!(peer.pending_events().is_empty());
    speaker.shutdown("mending");
    let (notification, _) = peer.wait_for("notification");
    assert!(notification.text.contains("AdministrativeShutdown"), "{}", notification.text);
    peer.wait_for("closed");
}

#[test]
fn withdrawal_and_new_announcement() {
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
fn routes_after_flaps() {
    let peer =
        Peer::start(&[PeerBehavior::Flaps, PeerBehavior::Flaps, PeerBehavior::Flaps, PeerBehavior::Conforms]);
    let speaker = start(&peer);
    speaker.report_health(health(1.0));
    for _ in 0..3 {
        peer.wait_for("closed");
    }
    peer.wait_for("announce 198.51.100.1/32, path of 1");
    peer.wait_for("announce 2001:db8:1::1/128, path of 1");
    let SpeakerStatus { peers, addresses, counters, .. } = speaker.status().expect("the speaker runs");
    assert_eq!((counters.sessions_up, counters.sessions_lost), (4, 3));
    assert_eq!((peers[0].times_established, peers[0].flaps, peers[0].advertised.len()), (4, 3, 2));
    assert!(addresses.iter().all(|a| a.reason == announce::Reason::Serves), "{addresses:?}");
}

#[test]
fn session_restart_after_protocol_errors() {
    let cases = [
        (PeerBehavior::WrongAs, "BadPeerAs", "2/2"),
        (PeerBehavior::SendsMalformedUpdate, "MalformedAttributeList", "3/1"),
        (PeerBehavior::FloodsRoutes(1_000_000), "MaximumNumberOfPrefixesReached", "6/1"),
        (PeerBehavior::SendsPartialMessage, "HoldTimerExpired", "4/0"),
    ];
    for (behavior, reason, code) in cases {
        let peer = Peer::start(&[behavior, PeerBehavior::Conforms]);
        let mut config = config(peer.address);
        config.peers[0].session.hold_time_s = 3;
        let speaker = Speaker::start(config, None, 7).expect("the speaker starts");
        speaker.report_health(health(1.0));
        // A peer that is still sending may have its connection reset before it reads the NOTIFICATION, and events of the
        // next connection may precede the end of the first.
        let (_, before) = peer.wait_for("closed");
        let notified = before.iter().any(|event| event.starts_with("notification") && event.contains(reason));
        let error =
            speaker.status().expect("the speaker runs").peers[0].last_error.clone().unwrap_or_default();
        assert!(notified || error.contains(code), "{behavior:?}: {before:?} and {error}");
        let closed_at = Instant::now();
        let is_established_again = || {
            let status = speaker.status().expect("the speaker runs");
            state(&speaker) == State::Established && !status.peers[0].advertised.is_empty()
        };
        while !is_established_again() {
            assert!(closed_at.elapsed() < CEILING, "{behavior:?}: no new session");
            std::thread::sleep(Duration::from_millis(1));
        }
        if !before.iter().any(|what| what.starts_with("announce 2001:db8:1::1/128")) {
            peer.wait_for("announce 2001:db8:1::1/128");
        }
    }
}

#[test]
fn drain_with_blocked_peer() {
    let peer = Peer::start(&[PeerBehavior::StopsReading]);
    let mut config = config(peer.address);
    config.announce.depreferenced_ms = 5.0;
    config.announce.withdrawn_ms = 5.0;
    let speaker = Speaker::start(config, None, 7).expect("the speaker starts");
    peer.wait_for("up");
    speaker.report_health(health(1.0));
    while speaker.status().expect("the speaker runs").peers[0].advertised.len() < 2 {
        std::thread::sleep(Duration::from_millis(1));
    }
    let started = Instant::now();
    speaker.drain();
    speaker.drain_complete().recv_timeout(CEILING).expect("the drain completes");
    speaker.shutdown("off");
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}

#[test]
fn drain_without_a_reachable_peer() {
    let closed_port =
        std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let speaker = Speaker::start(config(closed_port), None, 7).expect("the speaker starts");
    speaker.report_health(health(1.0));
    speaker.drain();
    speaker.drain_complete().recv_timeout(CEILING).expect("the drain completes");
    assert_ne!(state(&speaker), State::Established);
}

/// NOTIFICATIONs before the peer's OPEN, after it and in the established state, and a peer with the mixer's own BGP
/// Identifier.
#[test]
fn session_restart_in_each_state() {
    let cases = [
        (PeerBehavior::ResetsBeforeOpen, "received NOTIFICATION 6/4"),
        (PeerBehavior::ResetsAfterOpen, "received NOTIFICATION 6/4"),
        (PeerBehavior::ResetsEstablished, "received NOTIFICATION 6/4"),
        (PeerBehavior::DuplicateIdentity, "sent NOTIFICATION 2/3"),
    ];
    for (behavior, reason) in cases {
        let peer = Peer::start(&[behavior, PeerBehavior::Conforms]);
        let mut config = config(peer.address);
        if behavior == PeerBehavior::DuplicateIdentity {
            (config.peers[0].session.asn, config.peers[0].session.peer_asn) = (64_512, 64_512);
        }
        let speaker = Speaker::start(config, None, 7).expect("the speaker starts");
        speaker.report_health(health(1.0));
        peer.wait_for("closed");
        loop {
            let status = speaker.status().expect("the speaker runs").peers[0].clone();
            if let Some(error) = status.last_error {
                assert!(error.starts_with(reason), "{behavior:?}: {error}");
                break;
            }
        }
        if behavior != PeerBehavior::DuplicateIdentity {
            peer.wait_for("announce 2001:db8:1::1/128");
            assert_eq!(state(&speaker), State::Established);
        }
    }
}

/// Unless the session is established, a drain has no peer to wait for.
#[test]
fn drain_in_each_session_state() {
    for (behavior, reached) in [
        (PeerBehavior::Silent, State::OpenSent),
        (PeerBehavior::SendsOpenOnly, State::OpenConfirm),
        (PeerBehavior::Conforms, State::Established),
    ] {
        let peer = Peer::start(&[behavior]);
        let speaker = start(&peer);
        speaker.report_health(health(1.0));
        while state(&speaker) != reached {
            std::thread::sleep(Duration::from_millis(1));
        }
        speaker.drain();
        speaker.drain_complete().recv_timeout(CEILING).expect("the drain completes");
        speaker.shutdown("off");
        let (notification, before) = peer.wait_for("notification");
        assert!(notification.text.contains("AdministrativeShutdown"), "{reached:?}: {}", notification.text);
        assert!(
            reached == State::Established || before.iter().all(|b| !b.starts_with("announce")),
            "{before:?}"
        );
    }
    // Idle, Connect and Active: see drain_without_a_reachable_peer.
}

/// Both sides connect, and the peer sends its OPENs in either order. The connection opened by the side with the higher BGP
/// Identifier stays.
#[test]
fn connection_collision() {
    for (peer_id, keeps_mixers) in [(9, false), (0, true)] {
        for mixers_first in [true, false] {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            let any = "127.0.0.1:0".parse().expect("an address");
            let speaker = Speaker::start(config(address), Some(any), 7).expect("the speaker starts");
            speaker.report_health(health(1.0));
            let (stream, _) = listener.accept().expect("the mixer connects");
            let mut from_mixer = BgpConnection::new(stream);
            assert_eq!(from_mixer.describe_next(), "open 4200000000 hold 9");
            let at = speaker.local_addr().expect("the speaker listens");
            let mut to_mixer = BgpConnection::new(TcpStream::connect(at).expect("the mixer listens"));
            assert_eq!(to_mixer.describe_next(), "open 4200000000 hold 9");
            let id = Ipv4Addr::new(10, 0, 0, peer_id);
            let order = if mixers_first {
                [&mut from_mixer, &mut to_mixer]
            } else {
                [&mut to_mixer, &mut from_mixer]
            };
            for connection in order {
                assert!(connection.open(64_513, id));
            }
            let (kept, closed) = if keeps_mixers {
                (&mut from_mixer, &mut to_mixer)
            } else {
                (&mut to_mixer, &mut from_mixer)
            };
            let mut last = String::new();
            while !last.contains("notification") {
                last = closed.describe_next();
                assert_ne!(last, "closed", "id {peer_id}, mixer's first {mixers_first}");
            }
            assert!(last.contains("ConnectionCollisionResolution"), "{last}");
            assert_eq!(kept.describe_next(), "keepalive");
            assert!(kept.keepalive());
            assert!(kept.describe_next().starts_with("announce 198.51.100.1/32"));
        }
    }
}

#[test]
fn withdrawal_of_last_announcer() {
    let peer = Peer::start(&[PeerBehavior::Conforms]);
    let mut config = config(peer.address);
    config.announce.addresses.truncate(1);
    config.announce.addresses[0].keep_last = true;
    let speaker = Speaker::start(config.clone(), None, 7).expect("the speaker starts");
    speaker.report_health(health(1.0));
    peer.wait_for("announce 198.51.100.1/32, path of 1");
    speaker.report_health(health(0.3));
    peer.wait_for("announce 198.51.100.1/32, path of 3, depreferenced");
    let (address, other) = (Ipv4Addr::new(198, 51, 100, 1), Ipv4Addr::new(192, 0, 2, 2));
    // Another depreferenced route and the mixer's own route do not count as another announcer.
    peer.send(&standin::announce_update(address, other, true));
    peer.send(&standin::announce_update(address, Ipv4Addr::new(192, 0, 2, 1), false));
    peer.send(&standin::announce_update(Ipv4Addr::new(198, 51, 100, 2), other, false));
    while speaker.status().expect("the speaker runs").peers[0].received_prefixes < 3 {
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(!speaker.status().expect("the speaker runs").addresses[0].other_announcer);
    peer.send(&standin::announce_update(address, other, false));
    peer.wait_for("withdraw 198.51.100.1/32");
    peer.send(&standin::withdraw_update(address));
    peer.wait_for("announce 198.51.100.1/32, path of 3, depreferenced");
    // For a new address a route refresh is requested, as the peer may have sent routes to it before.
    let mut more = config.clone();
    more.announce.addresses.push(ServiceAddress {
        prefix: "198.51.100.7/32".parse().expect("a prefix"),
        table_types: vec![],
        keep_last: true,
    });
    speaker.configure(more);
    peer.wait_for("refresh");
}

#[test]
fn sessions_across_configuration_changes() {
    let (peer, second) = (Peer::start(&[PeerBehavior::Conforms]), Peer::start(&[PeerBehavior::Conforms]));
    let before = config(peer.address);
    let speaker = Speaker::start(before.clone(), None, 7).expect("the speaker starts");
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
    new.peers.push(config(second.address).peers.remove(0));
    speaker.configure(new.clone());
    peer.wait_for("withdraw 2001:db8:1::1/128");
    peer.wait_for("announce 198.51.100.7/32");
    second.wait_for("up");
    second.wait_for("announce 198.51.100.7/32");
    // With a new next hop all routes are sent again and none is withdrawn.
    new.peers[0].next_hop_v4 = Some(IpAddr::V4(Ipv4Addr::new(192, 0, 2, 77)));
    speaker.configure(new.clone());
    let (_, before) = peer.wait_for("announce 198.51.100.7/32");
    assert_eq!(before.last().map(String::as_str), Some("announce 198.51.100.1/32, path of 1"));
    new.peers.remove(1);
    speaker.configure(new);
    let (removed, _) = second.wait_for("notification");
    assert!(removed.text.contains("PeerDeConfigured"), "{}", removed.text);
    let status = speaker.status().expect("the speaker runs");
    assert_eq!(
        (status.peers.len(), status.peers[0].times_established, status.peers[0].state),
        (1, 1, State::Established)
    );
}

/// A peer stops reading while further updates are sent. Its connection is closed once its write queue is full; another peer
/// receives all updates, and a drain does not wait for the blocked one.
#[test]
fn peer_with_full_write_queue() {
    let (stalled, peer) = (
        Peer::start(&[PeerBehavior::StopsReading, PeerBehavior::Silent]),
        Peer::start(&[PeerBehavior::Conforms]),
    );
    let mut config = config(peer.address);
    config.peers.push(self::config(stalled.address).peers.remove(0));
    config.announce.addresses = (0..64)
        .map(|nth| ServiceAddress {
            prefix: format!("2001:db8:2::{nth:x}/128").parse().expect("a prefix"),
            table_types: vec![],
            keep_last: false,
        })
        .collect();
    let speaker = Speaker::start(config.clone(), None, 7).expect("the speaker starts");
    speaker.report_health(health(1.0));
    stalled.wait_for("up");
    peer.wait_for("announce 2001:db8:2::3f/128");
    let lost = |speaker: &Speaker| speaker.status().expect("the speaker runs").counters.sessions_lost;
    let mut rounds = 0;
    while lost(&speaker) == 0 {
        // With a new MED every route is sent again, in one message to each peer.
        config.attributes.med += 1;
        speaker.configure(config.clone());
        peer.wait_for("announce 2001:db8:2::3f/128");
        rounds += 1;
        assert!(rounds < 100_000, "the connection is never closed");
    }
    let status = speaker.status().expect("the speaker runs");
    assert_eq!(status.peers.iter().map(|p| p.times_established).collect::<Vec<_>>(), [1, 1]);
    assert_eq!(status.peers[0].state, State::Established);
    speaker.drain();
    peer.wait_for("announce 2001:db8:2::3f/128, path of 3, depreferenced");
    peer.wait_for("withdraw 2001:db8:2::3f");
    speaker.drain_complete().recv_timeout(CEILING).expect("the drain completes");
}

/// Peers that send more routes than the buffers of a connection hold. If the receive window stayed closed, such a peer would
/// block until its operating system ends the connection.
#[test]
fn peers_flooding_routes() {
    let start_flood = || Peer::start(&[PeerBehavior::FloodsRoutes(1_000_000), PeerBehavior::Conforms]);
    let peers: Vec<Peer> = (0..16).map(|_| start_flood()).collect();
    let mut all = config(peers[0].address);
    all.peers = peers.iter().map(|peer| config(peer.address).peers.remove(0)).collect();
    let speaker = Speaker::start(all, None, 7).expect("the speaker starts");
    for (nth, peer) in peers.iter().enumerate() {
        let (_, before) = peer.wait_for("closed");
        let notified = before.iter().any(|event| event.contains("MaximumNumberOfPrefixesReached"));
        let error =
            speaker.status().expect("the speaker runs").peers[nth].last_error.clone().unwrap_or_default();
        assert!(notified || error.contains("6/1"), "peer {nth}: {before:?} and {error}");
    }
}
