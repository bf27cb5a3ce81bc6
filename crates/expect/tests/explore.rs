//! Explorations of the decision module: it keeps the rules, and planted faults are found. A planted fault is a wrapper that
//! changes the inputs or the actions of the real module.

mod common;

use common::{CHECK_OPTIONS, describe, fleet, suite, verdicts};
use insta::assert_snapshot;
use pewterwharf::interface::{Action, DecisionModule, DispatchOutcome, Event, RetryBudget, SearcherStatus};
use pewterwharf::logic::Mixer;
use pewterwharf_expect::explore::Subject;
use pewterwharf_expect::{Outcome, Replay, Verdict};
use pewterwharf_fleet::Fleet;

/// A planted fault.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Draining searchers count as ready.
    DrainIgnored,
    /// Dispatches that failed count as never run, and are repeated.
    ResentThoughRun,
    /// Cold searchers get the load of warm ones.
    AllowanceSkipped,
    /// Failed dispatches count as answered.
    CountedEarly,
    /// Throttled scans get no answer.
    AnswerKept,
    AnsweredTwice,
    /// The module has a wider retry budget than configured.
    BudgetIgnored,
    /// As `DrainIgnored`, but only after a restart.
    DrainIgnoredAfterRestart,
}

#[derive(Debug)]
struct FaultyModule {
    mixer: Mixer,
    fault: Fault,
    restarted: bool,
}

impl DecisionModule for FaultyModule {
    fn handle_events(&mut self, now: f64, mut events: Vec<Event>) -> Vec<Action> {
        for event in &mut events {
            match (self.fault, event) {
                (Fault::DrainIgnoredAfterRestart, _) if !self.restarted => {}
                (Fault::DrainIgnored | Fault::DrainIgnoredAfterRestart, Event::List { searchers, .. }) => {
                    searchers
                        .iter_mut()
                        .filter(|l| l.status == SearcherStatus::Draining)
                        .for_each(|l| l.status = SearcherStatus::Ready);
                }
                (
                    Fault::ResentThoughRun,
                    Event::DispatchEnded {
                        outcome: outcome @ (DispatchOutcome::Error | DispatchOutcome::Reset),
                        ..
                    },
                ) => {
                    *outcome = DispatchOutcome::ConnectFailed;
                }
                (Fault::AllowanceSkipped, Event::List { searchers, .. }) => {
                    searchers.iter_mut().for_each(|l| l.started_at = 0.0);
                }
                (
                    Fault::CountedEarly,
                    Event::DispatchEnded { outcome: outcome @ DispatchOutcome::Error, .. },
                ) => *outcome = DispatchOutcome::Ok,
                _ => {}
            }
        }
        let mut actions = self.mixer.handle_events(now, events);
        match self.fault {
            Fault::AnswerKept => actions.retain(|a| !matches!(a, Action::Throttle { .. })),
            Fault::AnsweredTwice => {
                if let Some(again) = actions.iter().find(|a| matches!(a, Action::Abandon { .. })).cloned() {
                    actions.push(again);
                }
            }
            _ => {}
        }
        actions
    }
}

/// Verdicts of a fleet without expectations, on the module with this fault.
fn check_rules(fault: Option<Fault>) -> Vec<Verdict> {
    let mut checked_config = common::config(2, 1, 4);
    let module_config = checked_config.clone();
    if fault == Some(Fault::BudgetIgnored) {
        // The module runs with a wider budget than the one checked.
        checked_config.safety_limits.retry_budget =
            Some(RetryBudget { free: 0.0, share: 0.1, window_ms: 1000.0 });
    }
    let fleet = Fleet::new(checked_config, &common::six_searchers()).expect("a fleet");
    let suite = suite(fleet, "").expect("no claims");
    let open = |seed: u64| -> Box<dyn Subject> {
        match fault {
            Some(fault) => Box::new(FaultyModule {
                mixer: module_config.open(seed),
                fault,
                restarted: seed != CHECK_OPTIONS.seed,
            }),
            None => Box::new(module_config.open(seed)),
        }
    };
    suite.check(CHECK_OPTIONS, &open, &|_, _| {})
}

#[test]
fn verdicts_of_module() {
    let verdicts = check_rules(None);
    assert_snapshot!(describe(&verdicts));
    assert!(verdicts.iter().all(|v| v.coverage.departures == Some(2)), "{verdicts:?}");
}

#[test]
fn detection_of_planted_faults() {
    let faults = [
        Fault::DrainIgnored,
        Fault::ResentThoughRun,
        Fault::AllowanceSkipped,
        Fault::CountedEarly,
        Fault::AnswerKept,
        Fault::AnsweredTwice,
        Fault::BudgetIgnored,
        Fault::DrainIgnoredAfterRestart,
    ];
    let mut out = String::new();
    for fault in faults {
        let failed: Vec<Verdict> = check_rules(Some(fault)).into_iter().filter(|v| !v.holds()).collect();
        assert!(!failed.is_empty(), "{fault:?} is not found");
        assert!(!failed.is_empty(), "{fault:?} is not found");
        out += &format!("{fault:?}\n{}\n", describe(&failed[..1]));
    }
    assert_snapshot!(out);
}

#[test]
fn behaviour_verdicts() {
    let claims = r#"
        (expect "drains" (never (sent (table-type "enter") (to draining))))
        (expect "fresh only" (while-list-younger 6s (never (sent (table-type "enter") (to gone)))))
        (expect "hall lost" (after (lose-hall any) (always (sent (to up)))))
        (expect "one copy" (never (sent (table-type "find") (beside))))
        (expect "whole" (never (answered (table-type "keyed") (not-whole))))
    "#;
    assert_snapshot!(describe(&verdicts(&suite(fleet(), claims).expect("well-formed claims"))));
}

#[test]
fn replay_and_thread_independence() {
    let claims = r#"(expect "fresh only" (while-list-younger 6s (never (sent (to gone)))))"#;
    let suite = suite(fleet(), claims).expect("well-formed claims");
    let open = |seed| Box::new(suite.fleet().config().open(seed)) as Box<dyn Subject>;
    let single_threaded =
        suite.check(pewterwharf_expect::CheckOptions { threads: 1, ..CHECK_OPTIONS }, &open, &|_, _| {});
    assert_eq!(single_threaded, suite.check(CHECK_OPTIONS, &open, &|_, _| {}));
    let Outcome::Fails(case) = &single_threaded[0].outcome else { panic!("it holds") };
    let moves: Vec<&str> = case.moves.iter().map(String::as_str).collect();
    let replayed = suite.replay(case.scenario.expect("a scenario"), &moves, CHECK_OPTIONS.seed, &open);
    assert_eq!(replayed, Ok(Replay { trace: case.trace.clone(), has_violation: true }));
    let invalid =
        suite.replay(case.scenario.expect("a scenario"), &["scan 0", "jump"], CHECK_OPTIONS.seed, &open);
    assert_eq!(invalid, Err("no move is written \"jump\"".to_owned()));
}
