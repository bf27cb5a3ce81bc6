//! What the decision module does with other mixers' words: it looks, sends less or leaves alone, and nothing more.

#[allow(dead_code)] // the other tests use the rest
mod common;

use common::{Rig, line, searcher, table_type};
use pewterwharf::interface::{DispatchOutcome, Event, Idempotency, ListKind, PeerReport, SearcherStatus};

fn rig() -> Rig {
    Rig::new(vec![table_type(Idempotency::Replayable, 1.0)], None)
}

fn heard(n: u8, word: PeerReport) -> Vec<Event> {
    vec![Event::PeerReport { searcher: searcher(n), report: word }]
}

/// Dispatches of a trace to a searcher.
fn sent(trace: &str, n: u8) -> usize {
    trace.lines().filter(|l| l.ends_with(&format!("-> s{n}"))).count()
}

#[test]
fn a_mark_of_another_is_a_reason_to_look_and_what_is_seen_decides() {
    let mut rig = rig();
    rig.warm(2);
    rig.tell(heard(1, PeerReport::Marked));
    assert!(rig.trace().contains("probe s1"));
    rig.tell(vec![Event::ProbeEnded { searcher: searcher(1), outcome: DispatchOutcome::Ok, took_ms: 2.0 }]);
    assert!(!rig.trace().contains("marked"), "a sound one is not marked by anybody's word");
    rig.tell(heard(1, PeerReport::Marked));
    rig.tell(vec![Event::ProbeEnded {
        searcher: searcher(1),
        outcome: DispatchOutcome::TimedOut,
        took_ms: 250.0,
    }]);
    assert!(rig.trace().contains("10.0.0.1:5000 marked"), "by its own probe");
}

#[test]
fn a_probe_that_nobody_asked_for_marks_nobody() {
    let mut rig = rig();
    rig.warm(2);
    rig.tell(vec![Event::ProbeEnded {
        searcher: searcher(1),
        outcome: DispatchOutcome::TimedOut,
        took_ms: 250.0,
    }]);
    assert!(!rig.trace().contains("marked"));
}

#[test]
fn where_several_agree_it_gets_one_part_at_a_time_until_one_comes_back() {
    let mut rig = rig();
    rig.warm(1);
    rig.tell(vec![Event::List {
        kind: ListKind::Changes,
        searchers: vec![line(2, 0.0, SearcherStatus::Ready)],
    }]);
    rig.tell(heard(1, PeerReport::MarkedBySeveral));
    (0..6).for_each(|_| rig.scan(0, 1));
    let trace = rig.trace();
    assert!(sent(&trace, 1) <= 1 && sent(&trace, 2) >= 5, "{trace}");
}

#[test]
fn one_that_leaves_by_hearsay_gets_nothing_new_until_that_is_taken_back() {
    let mut rig = rig();
    rig.warm(2);
    rig.tell(heard(1, PeerReport::Leaving { leaving: true }));
    (0..4).for_each(|_| rig.scan(0, 1));
    assert_eq!(sent(&rig.trace(), 1), 0);
    // A list that names it as it was is older than the word.
    rig.tell(vec![Event::List {
        kind: ListKind::Full,
        searchers: vec![line(1, 0.0, SearcherStatus::Ready), line(2, 0.0, SearcherStatus::Ready)],
    }]);
    rig.scan(0, 1);
    assert_eq!(sent(&rig.trace(), 1), 0);
    rig.tell(heard(1, PeerReport::Leaving { leaving: false }));
    (0..4).for_each(|_| rig.scan(0, 1));
    assert!(sent(&rig.trace(), 1) > 0);
}

#[test]
fn no_word_undoes_a_drain_that_the_own_list_told() {
    let mut rig = rig();
    rig.warm(2);
    rig.tell(vec![Event::List {
        kind: ListKind::Changes,
        searchers: vec![line(1, 0.0, SearcherStatus::Draining)],
    }]);
    rig.tell(heard(1, PeerReport::Leaving { leaving: false }));
    (0..4).for_each(|_| rig.scan(0, 1));
    assert_eq!(sent(&rig.trace(), 1), 0, "rule 3");
}

/// A start heard makes cold, an hour ahead of the clock as well as now; taken back, it is as the own list says.
#[test]
fn a_start_heard_makes_cold_and_an_hour_s_step_of_a_clock_no_longer() {
    let cold = |since: f64| {
        let mut rig = rig();
        rig.warm(1);
        rig.tell(heard(1, PeerReport::Restarted { started_at: since }));
        (0..30).for_each(|_| rig.scan(0, 1));
        let sent_cold = sent(&rig.trace(), 1);
        rig.tell(heard(1, PeerReport::Restarted { started_at: 0.0 }));
        (0..30).for_each(|_| rig.scan(0, 1));
        (sent_cold, sent(&rig.trace(), 1))
    };
    let (now, hour) = (cold(100_000.0), cold(100_000.0 + 3_600_000.0));
    assert_eq!(now, hour, "no later than now");
    assert!(now.0 < 10 && now.1 > 20, "{now:?}");
}

#[test]
fn no_word_makes_a_cold_searcher_warm() {
    let sent_cold = |words: Vec<Event>| {
        let mut rig = Rig::among(4, vec![table_type(Idempotency::Replayable, 1.0)]);
        rig.tell(vec![Event::List {
            kind: ListKind::Full,
            searchers: vec![line(1, 99_999.0, SearcherStatus::Ready)],
        }]);
        rig.tell(words);
        (0..30).for_each(|_| rig.scan(0, 1));
        rig.pass(1000.0);
        sent(&rig.trace(), 1)
    };
    let alone = sent_cold(Vec::new());
    assert_eq!(sent_cold(heard(1, PeerReport::Restarted { started_at: 0.0 })), alone, "rule 4");
    assert_eq!(sent_cold(heard(1, PeerReport::Restarted { started_at: 1.0 })), alone);
    assert_eq!(
        sent_cold(vec![Event::MixerCount { mixers: 1 }]),
        alone,
        "whoever is not seen may send all the same"
    );
    assert!(sent_cold(vec![Event::MixerCount { mixers: 400 }]) <= alone);
}

#[test]
fn words_of_searchers_that_the_own_list_does_not_name_are_nothing() {
    let mut rig = rig();
    rig.warm(1);
    for word in [
        PeerReport::Marked,
        PeerReport::MarkedBySeveral,
        PeerReport::Leaving { leaving: true },
        PeerReport::Leaving { leaving: false },
        PeerReport::Restarted { started_at: 1.0 },
    ] {
        rig.tell(heard(9, word));
    }
    rig.scan(0, 1);
    let trace = rig.trace();
    assert!(!trace.contains("s9") && !trace.contains("10.0.0.9"), "{trace}");
    assert_eq!(sent(&trace, 1), 1);
}
