//! Reports of other mixers: the decision module probes a searcher, sends it less or nothing, and never sends
//! it more.

#[allow(dead_code)] // the other tests use the rest
mod common;

use common::{Rig, listed, searcher, table_type};
use pewterwharf::interface::{DispatchOutcome, Event, Idempotency, ListKind, PeerReport, SearcherStatus};

fn rig() -> Rig {
    Rig::new(vec![table_type(Idempotency::Replayable, 1.0)], None)
}

fn peer_report(n: u8, report: PeerReport) -> Vec<Event> {
    vec![Event::PeerReport { searcher: searcher(n), report }]
}

/// Dispatches of a trace to a searcher.
fn sent(trace: &str, n: u8) -> usize {
    trace.lines().filter(|l| l.ends_with(&format!("-> s{n}"))).count()
}

/// A peer's mark triggers a probe, which decides whether the searcher is marked.
#[test]
fn probe_after_peer_mark() {
    let mut rig = rig();
    rig.list_warm(2);
    rig.handle(peer_report(1, PeerReport::Marked));
    assert!(rig.trace().contains("probe s1"));
    rig.handle(vec![Event::ProbeEnded { searcher: searcher(1), outcome: DispatchOutcome::Ok, took_ms: 2.0 }]);
    assert!(!rig.trace().contains("marked"), "a peer's mark alone marks no searcher");
    rig.handle(peer_report(1, PeerReport::Marked));
    rig.handle(vec![Event::ProbeEnded {
        searcher: searcher(1),
        outcome: DispatchOutcome::TimedOut,
        took_ms: 250.0,
    }]);
    assert!(rig.trace().contains("10.0.0.1:5000 marked"), "its own probe failed");
}

#[test]
fn unrequested_probe_marks_no_searcher() {
    let mut rig = rig();
    rig.list_warm(2);
    rig.handle(vec![Event::ProbeEnded {
        searcher: searcher(1),
        outcome: DispatchOutcome::TimedOut,
        took_ms: 250.0,
    }]);
    assert!(!rig.trace().contains("marked"));
}

/// A searcher that several peers have marked gets one part at a time.
#[test]
fn trial_after_marks_of_several_peers() {
    let mut rig = rig();
    rig.list_warm(1);
    rig.handle(vec![Event::List {
        kind: ListKind::Changes,
        searchers: vec![listed(2, 0.0, SearcherStatus::Ready)],
    }]);
    rig.handle(peer_report(1, PeerReport::MarkedBySeveral));
    (0..6).for_each(|_| rig.scan(0, 1));
    let trace = rig.trace();
    assert!(sent(&trace, 1) <= 1 && sent(&trace, 2) >= 5, "{trace}");
}

/// A searcher that is reported as leaving gets nothing until the report is withdrawn.
#[test]
fn reported_departure_and_withdrawal() {
    let mut rig = rig();
    rig.list_warm(2);
    rig.handle(peer_report(1, PeerReport::Leaving { leaving: true }));
    (0..4).for_each(|_| rig.scan(0, 1));
    assert_eq!(sent(&rig.trace(), 1), 0);
    // A list that names it as ready is older than the report.
    rig.handle(vec![Event::List {
        kind: ListKind::Full,
        searchers: vec![listed(1, 0.0, SearcherStatus::Ready), listed(2, 0.0, SearcherStatus::Ready)],
    }]);
    rig.scan(0, 1);
    assert_eq!(sent(&rig.trace(), 1), 0);
    rig.handle(peer_report(1, PeerReport::Leaving { leaving: false }));
    (0..4).for_each(|_| rig.scan(0, 1));
    assert!(sent(&rig.trace(), 1) > 0);
}

#[test]
fn report_does_not_undo_a_listed_drain() {
    let mut rig = rig();
    rig.list_warm(2);
    rig.handle(vec![Event::List {
        kind: ListKind::Changes,
        searchers: vec![listed(1, 0.0, SearcherStatus::Draining)],
    }]);
    rig.handle(peer_report(1, PeerReport::Leaving { leaving: false }));
    (0..4).for_each(|_| rig.scan(0, 1));
    assert_eq!(sent(&rig.trace(), 1), 0, "rule 3");
}

/// Guards against a reported start in the future, from a clock that is an hour ahead: it would keep a
/// searcher cold for an hour. Withdrawn, the start is again the one of the own list.
#[test]
fn reported_restart_with_clock_skew() {
    let sent_cold_and_warm = |started_at: f64| {
        let mut rig = rig();
        rig.list_warm(1);
        rig.handle(peer_report(1, PeerReport::Restarted { started_at }));
        (0..30).for_each(|_| rig.scan(0, 1));
        let sent_cold = sent(&rig.trace(), 1);
        rig.handle(peer_report(1, PeerReport::Restarted { started_at: 0.0 }));
        (0..30).for_each(|_| rig.scan(0, 1));
        (sent_cold, sent(&rig.trace(), 1))
    };
    let now = sent_cold_and_warm(100_000.0);
    let hour_ahead = sent_cold_and_warm(100_000.0 + 3_600_000.0);
    assert_eq!(now, hour_ahead, "a reported start counts as now at the latest");
    assert!(now.0 < 10 && now.1 > 20, "{now:?}");
}

/// No report makes a cold searcher warm.
#[test]
fn cold_searcher_stays_cold_after_reports() {
    let sent_cold = |reports: Vec<Event>| {
        let mut rig = Rig::with_mixers(4, vec![table_type(Idempotency::Replayable, 1.0)]);
        rig.handle(vec![Event::List {
            kind: ListKind::Full,
            searchers: vec![listed(1, 99_999.0, SearcherStatus::Ready)],
        }]);
        rig.handle(reports);
        (0..30).for_each(|_| rig.scan(0, 1));
        rig.advance_ms(1000.0);
        sent(&rig.trace(), 1)
    };
    let alone = sent_cold(Vec::new());
    assert_eq!(sent_cold(peer_report(1, PeerReport::Restarted { started_at: 0.0 })), alone, "rule 4");
    assert_eq!(sent_cold(peer_report(1, PeerReport::Restarted { started_at: 1.0 })), alone);
    assert_eq!(
        sent_cold(vec![Event::MixerCount { mixers: 1 }]),
        alone,
        "mixers that are not seen may send all the same"
    );
    assert!(sent_cold(vec![Event::MixerCount { mixers: 400 }]) <= alone);
}

#[test]
fn reports_on_unlisted_searchers_are_ignored() {
    let mut rig = rig();
    rig.list_warm(1);
    for report in [
        PeerReport::Marked,
        PeerReport::MarkedBySeveral,
        PeerReport::Leaving { leaving: true },
        PeerReport::Leaving { leaving: false },
        PeerReport::Restarted { started_at: 1.0 },
    ] {
        rig.handle(peer_report(9, report));
    }
    rig.scan(0, 1);
    let trace = rig.trace();
    assert!(!trace.contains("s9") && !trace.contains("10.0.0.9"), "{trace}");
    assert_eq!(sent(&trace, 1), 1);
}
