//! How far words are heeded: one by one, against what the own list and the own looks show.

use std::net::SocketAddrV4;

use pewterwharf_peers::Incarnation;
use pewterwharf_replica::kinds::{Kind, Leaving, Mark, ProcessStart, Stage};
use pewterwharf_replica::{Advice, Limits, LocalStatus, PeerReportPolicy, Replica};

const UP: LocalStatus = LocalStatus { marked: false, late: false, since: 5.0, stage: Stage::Up };

fn at(n: u16) -> SocketAddrV4 {
    format!("127.0.0.1:{}", 7000 + n).parse().expect("an address")
}

struct Fleet {
    policy: PeerReportPolicy,
    replica: Replica,
    peers: Vec<Replica>,
}

impl Fleet {
    /// Twelve searchers that are up, and three peers, b to d.
    fn new() -> Self {
        let names = || ["a", "b", "c", "d"].map(str::to_owned);
        let limits = Limits { rows: 1000, bytes: 1 << 20 };
        let replica = |me: &str| Replica::new(me, Incarnation::first(1), names(), limits);
        let mut policy = PeerReportPolicy::new("a");
        policy.set_mixer_count(4);
        for n in 0..12 {
            assert_eq!(policy.local_status_changed(0.0, at(n), Some(UP)), None);
        }
        Self { policy, replica: replica("a"), peers: ["b", "c", "d"].map(replica).to_vec() }
    }

    /// A peer says something of a searcher, and it is heard at once.
    fn says<K: Kind>(&mut self, now: f64, peer: usize, n: u16, value: &K) -> Vec<Advice> {
        let from = &mut self.peers[peer];
        let before = from.origin(from.local_name()).map_or(0, |o| o.version);
        from.publish(now, &at(n).to_string(), value, now);
        let part = from.own_records_since(now, before, 1 << 20).expect("it said something");
        let news = self.replica.apply(now, 0.0, from.local_name(), &part).expect("it fits");
        self.policy.apply_changes(now, &news, &self.replica)
    }
}

fn mark(late: bool) -> Mark {
    Mark { latency_ratio: 5.0, parts: if late { 1 } else { 3 }, late }
}

#[test]
fn one_mark_or_three_late_parts_of_several_are_a_reason_to_look() {
    let mut fleet = Fleet::new();
    assert_eq!(fleet.says(10.0, 0, 1, &mark(false)), [Advice::Look(at(1))]);
    assert_eq!(fleet.says(20.0, 0, 2, &mark(true)), []);
    assert_eq!(fleet.says(30.0, 1, 2, &mark(true)), []);
    assert_eq!(fleet.says(40.0, 2, 2, &mark(true)), [Advice::Look(at(2))]);
    // With an own late part two of others are enough; old ones are none.
    assert_eq!(fleet.policy.local_status_changed(50.0, at(3), Some(LocalStatus { late: true, ..UP })), None);
    assert_eq!(fleet.says(60.0, 0, 3, &mark(true)), []);
    assert_eq!(fleet.says(70.0, 1, 3, &mark(true)), [Advice::Look(at(3))]);
    assert_eq!(fleet.says(100.0, 0, 4, &mark(true)), []);
    assert_eq!(fleet.says(110.0, 1, 4, &mark(true)), []);
    assert_eq!(fleet.says(2000.0, 2, 4, &mark(true)), []);
}

#[test]
fn two_marks_are_a_doubt_and_who_was_wrong_three_times_is_not_heard_for_a_while() {
    let mut fleet = Fleet::new();
    fleet.says(10.0, 0, 1, &mark(false));
    assert_eq!(fleet.says(20.0, 1, 1, &mark(false)), [Advice::Doubt(at(1))]);
    fleet.policy.tick(2000.0);
    for n in 2..4 {
        assert_eq!(fleet.says(f64::from(n) * 2000.0, 0, n, &mark(false)), [Advice::Look(at(n))]);
        fleet.policy.tick(f64::from(n) * 2000.0 + 1900.0);
    }
    assert_eq!(fleet.says(8000.0, 0, 5, &mark(false)), [], "wrong three times");
    assert!(fleet.policy.trust(8000.0)["b"] < 0.2);
    assert_eq!(fleet.says(60_000.0, 0, 6, &mark(false)), [Advice::Look(at(6))], "it may have been mended");
}

#[test]
fn hearsay_of_a_drain_ends_with_the_own_list_or_with_time() {
    let mut fleet = Fleet::new();
    let drains = Leaving { since: 5.0, stage: Stage::Draining };
    assert_eq!(fleet.says(10.0, 0, 1, &drains), [Advice::Leaves(at(1))]);
    // The own list says the same: from now on it alone decides, also when the drain is taken back within one start.
    let own = LocalStatus { stage: Stage::Draining, ..UP };
    assert_eq!(fleet.policy.local_status_changed(500.0, at(1), Some(own)), Some(Advice::Stays(at(1))));
    assert!(fleet.policy.trust(500.0)["b"] > 0.5);
    assert_eq!(fleet.says(600.0, 0, 2, &drains), [Advice::Leaves(at(2))]);
    assert_eq!(
        fleet.policy.local_status_changed(700.0, at(2), None),
        Some(Advice::Stays(at(2))),
        "gone from the list"
    );
    assert_eq!(fleet.says(800.0, 1, 3, &drains), [Advice::Leaves(at(3))]);
    assert_eq!(fleet.policy.tick(10_000.0), []);
    assert_eq!(fleet.policy.tick(10_900.0), [Advice::Stays(at(3))], "nothing has confirmed it");
    assert!(fleet.policy.trust(10_900.0)["c"] < 0.5);
    assert_eq!(
        fleet.says(11_000.0, 1, 3, &Leaving { since: 5.0, stage: Stage::Going }),
        [],
        "nor is it heard again"
    );
}

#[test]
fn one_peer_takes_out_no_more_than_a_quarter_by_drains_and_by_starts() {
    let mut fleet = Fleet::new();
    let drains = Leaving { since: 5.0, stage: Stage::Draining };
    let left: usize = (0..12).map(|n| fleet.says(10.0, 0, n, &drains).len()).sum();
    assert_eq!(left, 3);
    let began: usize = (0..12).map(|n| fleet.says(20.0, 0, n, &ProcessStart { since: 9.0 }).len()).sum();
    assert_eq!(began, 3);
    // Of an earlier start, or one that is known, there is nothing to hear.
    let mut fleet = Fleet::new();
    assert_eq!(fleet.says(10.0, 0, 1, &Leaving { since: 4.0, stage: Stage::Going }), []);
    assert_eq!(fleet.says(20.0, 0, 2, &ProcessStart { since: 5.0 }), []);
    assert_eq!(fleet.says(30.0, 0, 99, &mark(false)), [], "the own list does not name it");
}
