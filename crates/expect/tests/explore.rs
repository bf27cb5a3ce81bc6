//! The module under exploration, and whether exploration finds what is wrong: each planted fault is a decision of
//! the real module that a wrapper turns for the worse.

mod common;

use common::{CHECK_OPTIONS, fleet, suite, told, verdicts};
use insta::assert_snapshot;
use pewterwharf::interface::{Action, DecisionModule, DispatchOutcome, Event, RetryBudget, SearcherStatus};
use pewterwharf::logic::Mixer;
use pewterwharf_expect::explore::Subject;
use pewterwharf_expect::{Outcome, Verdict};
use pewterwharf_fleet::Fleet;

/// A decision that is wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    DrainIgnored,
    ResentThoughRun,
    AllowanceSkipped,
    CountedEarly,
    AnswerKept,
    AnsweredTwice,
    BudgetIgnored,
    /// Only after a restart, and then only for a list that tells of a drain.
    DrainIgnoredAfterRestart,
}

#[derive(Debug)]
struct Faulty {
    mixer: Mixer,
    fault: Fault,
    restarted: bool,
}

impl DecisionModule for Faulty {
    fn handle_events(&mut self, now: f64, mut events: Vec<Event>) -> Vec<Action> {
        for event in &mut events {
            match (self.fault, event) {
                (Fault::DrainIgnoredAfterRestart, _) if !self.restarted => {}
                (
                    Fault::DrainIgnored | Fault::DrainIgnoredAfterRestart,
                    Event::List { searchers: lines, .. },
                ) => {
                    lines
                        .iter_mut()
                        .filter(|l| l.status == SearcherStatus::Draining)
                        .for_each(|l| l.status = SearcherStatus::Ready);
                }
                (
                    Fault::ResentThoughRun,
                    Event::DispatchEnded {
                        outcome: ending @ (DispatchOutcome::Error | DispatchOutcome::Reset),
                        ..
                    },
                ) => {
                    *ending = DispatchOutcome::ConnectFailed;
                }
                (Fault::AllowanceSkipped, Event::List { searchers: lines, .. }) => {
                    lines.iter_mut().for_each(|l| l.started_at = 0.0);
                }
                (
                    Fault::CountedEarly,
                    Event::DispatchEnded { outcome: ending @ DispatchOutcome::Error, .. },
                ) => *ending = DispatchOutcome::Ok,
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

fn rules(fault: Option<Fault>) -> Vec<Verdict> {
    let mut stated = common::terms(2, 1, 4);
    let real = stated.clone();
    if fault == Some(Fault::BudgetIgnored) {
        // The module is opened on a budget that is wider than the one stated.
        stated.safety_limits.retry_budget = Some(RetryBudget { free: 0.0, share: 0.1, window_ms: 1000.0 });
    }
    let fleet = Fleet::new(stated, &common::six()).expect("a fleet");
    let suite = suite(fleet, "").expect("no claims");
    let open = |seed: u64| -> Box<dyn Subject> {
        match fault {
            Some(fault) => {
                Box::new(Faulty { mixer: real.open(seed), fault, restarted: seed != CHECK_OPTIONS.seed })
            }
            None => Box::new(real.open(seed)),
        }
    };
    suite.check(CHECK_OPTIONS, &open, &|_, _| {})
}

#[test]
fn the_module_keeps_the_six_rules_in_all_runs_in_which_two_things_go_wrong() {
    let verdicts = rules(None);
    assert_snapshot!(told(&verdicts));
    assert!(verdicts.iter().all(|v| v.coverage.departures == Some(2)), "{verdicts:?}");
}

#[test]
fn planted_faults_are_found_and_their_traces_are_short() {
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
        let broken: Vec<Verdict> = rules(Some(fault)).into_iter().filter(|v| !v.holds()).collect();
        assert!(!broken.is_empty(), "{fault:?} is not found");
        assert!(!broken.is_empty(), "{fault:?} is not found");
        out += &format!("{fault:?}\n{}\n", told(&broken[..1]));
    }
    assert_snapshot!(out);
}

#[test]
fn behaviour_is_told_with_a_trace_and_up_to_which_age_of_the_list_it_holds() {
    let claims = r#"
        (expect "drains" (never (sent (table-type "enter") (to draining))))
        (expect "fresh only" (while-list-younger 6s (never (sent (table-type "enter") (to gone)))))
        (expect "hall lost" (after (lose-hall any) (always (sent (to up)))))
        (expect "one copy" (never (sent (table-type "find") (beside))))
        (expect "whole" (never (answered (table-type "keyed") (not-whole))))
    "#;
    assert_snapshot!(told(&verdicts(&suite(fleet(), claims).expect("it is well formed"))));
}

#[test]
fn a_counterexample_runs_again_and_the_verdict_does_not_depend_on_threads() {
    let claims = r#"(expect "fresh only" (while-list-younger 6s (never (sent (to gone)))))"#;
    let suite = suite(fleet(), claims).expect("it is well formed");
    let open = |seed| Box::new(suite.fleet().config().open(seed)) as Box<dyn Subject>;
    let alone =
        suite.check(pewterwharf_expect::CheckOptions { threads: 1, ..CHECK_OPTIONS }, &open, &|_, _| {});
    assert_eq!(alone, suite.check(CHECK_OPTIONS, &open, &|_, _| {}));
    let Outcome::Fails(case) = &alone[0].outcome else { panic!("it holds") };
    let moves: Vec<&str> = case.moves.iter().map(String::as_str).collect();
    let again = suite.replay(case.scenario.expect("an arena"), &moves, CHECK_OPTIONS.seed, &open);
    assert_eq!(again, Ok((case.trace.clone(), true)));
    let other =
        suite.replay(case.scenario.expect("an arena"), &["scan 0", "jump"], CHECK_OPTIONS.seed, &open);
    assert_eq!(other, Err("no move is written \"jump\"".to_owned()));
}
