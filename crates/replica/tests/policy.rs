//! The policy on peer reports, report by report, against this mixer's own list and its own evidence.

use std::net::SocketAddrV4;

use pewterwharf_peers::Incarnation;
use pewterwharf_replica::kinds::{Departure, Mark, ProcessStart, RecordKind, Stage};
use pewterwharf_replica::{Advice, Limits, LocalStatus, PeerReportPolicy, Replica};

const UP: LocalStatus = LocalStatus { marked: false, late: false, started_at_ms: 5.0, stage: Stage::Up };

fn address(searcher: u16) -> SocketAddrV4 {
    format!("127.0.0.1:{}", 7000 + searcher).parse().expect("an address")
}

/// A policy under test with its replica, and the replicas of three peers.
struct Fixture {
    policy: PeerReportPolicy,
    replica: Replica,
    peers: Vec<Replica>,
}

impl Fixture {
    /// Twelve searchers that are up, and the peers b, c and d.
    fn new() -> Self {
        let names = || ["a", "b", "c", "d"].map(str::to_owned);
        let limits = Limits { records: 1000, bytes: 1 << 20 };
        let replica = |name: &str| Replica::new(name, Incarnation::first(1), names(), limits);
        let mut policy = PeerReportPolicy::new("a");
        policy.set_mixer_count(4);
        for searcher in 0..12 {
            assert_eq!(policy.local_status_changed(0.0, address(searcher), Some(UP)), None);
        }
        Self { policy, replica: replica("a"), peers: ["b", "c", "d"].map(replica).to_vec() }
    }

    /// A peer reports something about a searcher, and the report arrives at once.
    fn report<K: RecordKind>(&mut self, now_ms: f64, peer: usize, searcher: u16, value: &K) -> Vec<Advice> {
        let sender = &mut self.peers[peer];
        let before = sender.origin(sender.local_name()).map_or(0, |own| own.version);
        sender.publish(now_ms, &address(searcher).to_string(), value, now_ms);
        let batch = sender.own_records_since(now_ms, before, 1 << 20).expect("a new record");
        let changes =
            self.replica.apply(now_ms, 0.0, sender.local_name(), &batch).expect("the batch is accepted");
        self.policy.apply_changes(now_ms, &changes, &self.replica)
    }
}

fn mark(late: bool) -> Mark {
    Mark { latency_ratio: 5.0, parts: if late { 1 } else { 3 }, late }
}

#[test]
fn causes_of_probes() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.report(10.0, 0, 1, &mark(false)), [Advice::Probe(address(1))]);
    assert_eq!(fixture.report(20.0, 0, 2, &mark(true)), []);
    assert_eq!(fixture.report(30.0, 1, 2, &mark(true)), []);
    assert_eq!(fixture.report(40.0, 2, 2, &mark(true)), [Advice::Probe(address(2))]);
    // A late part of this mixer and two of peers are enough; old ones don't count.
    let late = LocalStatus { late: true, ..UP };
    assert_eq!(fixture.policy.local_status_changed(50.0, address(3), Some(late)), None);
    assert_eq!(fixture.report(60.0, 0, 3, &mark(true)), []);
    assert_eq!(fixture.report(70.0, 1, 3, &mark(true)), [Advice::Probe(address(3))]);
    assert_eq!(fixture.report(100.0, 0, 4, &mark(true)), []);
    assert_eq!(fixture.report(110.0, 1, 4, &mark(true)), []);
    assert_eq!(fixture.report(2000.0, 2, 4, &mark(true)), []);
}

#[test]
fn suspicion_and_trust() {
    let mut fixture = Fixture::new();
    fixture.report(10.0, 0, 1, &mark(false));
    assert_eq!(fixture.report(20.0, 1, 1, &mark(false)), [Advice::Suspect(address(1))]);
    fixture.policy.tick(2000.0);
    for n in 2..4 {
        assert_eq!(fixture.report(f64::from(n) * 2000.0, 0, n, &mark(false)), [Advice::Probe(address(n))]);
        fixture.policy.tick(f64::from(n) * 2000.0 + 1900.0);
    }
    assert_eq!(fixture.report(8000.0, 0, 5, &mark(false)), [], "wrong three times");
    assert!(fixture.policy.trust(8000.0)["b"] < 0.2);
    assert_eq!(
        fixture.report(60_000.0, 0, 6, &mark(false)),
        [Advice::Probe(address(6))],
        "trust has returned to neutral"
    );
}

#[test]
fn retraction_of_departures() {
    let mut fixture = Fixture::new();
    let drains = Departure { started_at_ms: 5.0, stage: Stage::Draining };
    assert_eq!(fixture.report(10.0, 0, 1, &drains), [Advice::Departing(address(1))]);
    // This mixer's own list confirms it: from now on it alone decides, also if the drain is undone within one
    // process.
    let draining = LocalStatus { stage: Stage::Draining, ..UP };
    assert_eq!(
        fixture.policy.local_status_changed(500.0, address(1), Some(draining)),
        Some(Advice::DepartureRetracted(address(1)))
    );
    assert!(fixture.policy.trust(500.0)["b"] > 0.5);
    assert_eq!(fixture.report(600.0, 0, 2, &drains), [Advice::Departing(address(2))]);
    assert_eq!(
        fixture.policy.local_status_changed(700.0, address(2), None),
        Some(Advice::DepartureRetracted(address(2))),
        "removed from the list"
    );
    assert_eq!(fixture.report(800.0, 1, 3, &drains), [Advice::Departing(address(3))]);
    assert_eq!(fixture.policy.tick(10_000.0), []);
    assert_eq!(fixture.policy.tick(10_900.0), [Advice::DepartureRetracted(address(3))], "not confirmed");
    assert!(fixture.policy.trust(10_900.0)["c"] < 0.5);
    assert_eq!(
        fixture.report(11_000.0, 1, 3, &Departure { started_at_ms: 5.0, stage: Stage::Gone }),
        [],
        "not accepted again"
    );
}

#[test]
fn exclusion_limit_per_peer() {
    let mut fixture = Fixture::new();
    let drains = Departure { started_at_ms: 5.0, stage: Stage::Draining };
    let departing: usize = (0..12).map(|n| fixture.report(10.0, 0, n, &drains).len()).sum();
    assert_eq!(departing, 3);
    let restart = ProcessStart { started_at_ms: 9.0 };
    let restarted: usize = (0..12).map(|n| fixture.report(20.0, 0, n, &restart).len()).sum();
    assert_eq!(restarted, 3);
    // Reports about an earlier process, a known start, or a searcher that is not on the list cause no advice.
    let mut fixture = Fixture::new();
    let earlier = Departure { started_at_ms: 4.0, stage: Stage::Gone };
    assert_eq!(fixture.report(10.0, 0, 1, &earlier), []);
    assert_eq!(fixture.report(20.0, 0, 2, &ProcessStart { started_at_ms: 5.0 }), []);
    assert_eq!(fixture.report(30.0, 0, 99, &mark(false)), [], "not on this mixer's list");
}
