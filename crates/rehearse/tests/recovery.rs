//! Recovery of service after faults.

use std::fmt::Write;
use std::thread;

use pewterwharf_rehearse::{Fault, FaultPeriod, Fleet, RunResult, simulate};

/// Period of the faults, in milliseconds of the run.
const FROM_MS: f64 = 4000.0;
const TO_MS: f64 = 9000.0;
const LENGTH_MS: f64 = 16_000.0;

fn faults(fleet: &Fleet) -> Vec<(&'static str, Fault)> {
    let set = fleet.searchers_of_set(1);
    let all = (0..fleet.searchers()).collect();
    vec![
        ("answers lost, 1 in 20, a set", Fault::AnswersLost { searchers: set.clone(), share: 0.05 }),
        ("answers lost, 1 in 5, a set", Fault::AnswersLost { searchers: set.clone(), share: 0.2 }),
        ("answers lost, 1 in 5, all", Fault::AnswersLost { searchers: all, share: 0.2 }),
        ("a set hangs", Fault::Hang { searchers: set.clone() }),
        ("a zone is slow", Fault::Slow { searchers: fleet.searchers_of_zone(0), factor: 10.0 }),
        ("a set is slow", Fault::Slow { searchers: set.clone(), factor: 10.0 }),
        ("a set crashes", Fault::Crash { searchers: set.clone() }),
        ("a set errs", Fault::Errors { searchers: set }),
        ("a table type is slow", Fault::SlowType { table_type: 1, factor: 10.0 }),
        ("load times 2.5", Fault::Load { factor: 2.5 }),
    ]
}

fn run(fleet: &Fleet, faults: &[Fault], seed: u64) -> RunResult {
    let period = |fault: &Fault| FaultPeriod { from_ms: FROM_MS, to_ms: TO_MS, fault: fault.clone() };
    let periods: Vec<FaultPeriod> = faults.iter().map(period).collect();
    simulate(fleet, &periods, LENGTH_MS, seed)
}

/// Results of some runs with the same faults.
struct Summary {
    /// Mean share completed in time during the faults.
    in_time_during: f64,
    /// Mean share refused during the faults.
    refused_during: f64,
    /// Mean share completed in time in the first 3 s after the faults.
    in_time_after: f64,
    /// Milliseconds until service recovered, sorted.
    recovery_ms: Vec<f64>,
    /// Runs in which service did not recover.
    unrecovered: usize,
    /// Violations of rules 1 and 2.
    violations: u32,
}

fn summarize(fleet: &Fleet, faults: &[Fault], seeds: std::ops::Range<u64>) -> Summary {
    let count = (seeds.end - seeds.start) as f64;
    let mut summary = Summary {
        in_time_during: 0.0,
        refused_during: 0.0,
        in_time_after: 0.0,
        recovery_ms: Vec::new(),
        unrecovered: 0,
        violations: 0,
    };
    for seed in seeds {
        let result = run(fleet, faults, seed);
        summary.in_time_during += result.in_time_share(FROM_MS, TO_MS) / count;
        summary.refused_during += result.refused_share(FROM_MS, TO_MS) / count;
        summary.in_time_after += result.in_time_share(TO_MS, TO_MS + 3000.0) / count;
        summary.violations += result.unanswered + result.ran_twice;
        match result.recovery_ms(TO_MS, 0.995) {
            Some(ms) => summary.recovery_ms.push(ms),
            None => summary.unrecovered += 1,
        }
    }
    summary.recovery_ms.sort_by(f64::total_cmp);
    summary
}

struct Case {
    name: String,
    fleet: Fleet,
    faults: Vec<Fault>,
}

/// Summaries of the cases, in order. Each case runs in a thread of its own.
fn summarize_all(cases: Vec<Case>, seeds: std::ops::Range<u64>) -> Vec<(String, Summary)> {
    let runs: Vec<_> = cases
        .into_iter()
        .map(|Case { name, fleet, faults }| {
            let seeds = seeds.clone();
            thread::spawn(move || (name, summarize(&fleet, &faults, seeds)))
        })
        .collect();
    runs.into_iter().map(|run| run.join().expect("a run ends")).collect()
}

/// Each fault on its own, in three fleets.
fn single_faults() -> Vec<Case> {
    let fleets = [
        ("2 mixers", Fleet::small()),
        ("10 mixers", Fleet { mixers: 10, ..Fleet::small() }),
        ("short target", Fleet::short_target()),
    ];
    let cases = |(fleet_name, fleet): (&'static str, Fleet)| {
        faults(&fleet).into_iter().map(move |(name, fault)| Case {
            name: format!("{fleet_name:>12}, {name}"),
            fleet: fleet.clone(),
            faults: vec![fault],
        })
    };
    fleets.into_iter().flat_map(cases).collect()
}

/// Each pair of faults, in the small fleet.
fn fault_pairs() -> Vec<Case> {
    let fleet = Fleet::small();
    let all = faults(&fleet);
    let mut cases = Vec::new();
    for (nth, (first_name, first)) in all.iter().enumerate() {
        for (second_name, second) in &all[nth + 1..] {
            cases.push(Case {
                name: format!("{first_name} + {second_name}"),
                fleet: fleet.clone(),
                faults: vec![first.clone(), second.clone()],
            });
        }
    }
    cases
}

fn describe(summaries: &[(String, Summary)]) -> String {
    let mut text = String::new();
    for (name, summary) in summaries {
        let recovery_ms = &summary.recovery_ms;
        let quantile =
            |share: f64| recovery_ms.get((recovery_ms.len() as f64 * share) as usize).or(recovery_ms.last());
        let _ = writeln!(
            text,
            "{name:44} during {:.3} refused {:.3} after {:.3} recovery {:>5.0} ms, max {:>5.0} ms, unrecovered {} violations {}",
            summary.in_time_during,
            summary.refused_during,
            summary.in_time_after,
            quantile(0.5).unwrap_or(&f64::NAN),
            quantile(1.0).unwrap_or(&f64::NAN),
            summary.unrecovered,
            summary.violations
        );
    }
    text
}

/// Prints the figures of `docs/evidence.md`. Run with
/// `cargo test --release -p pewterwharf-rehearse -- --ignored --nocapture`; `SEEDS` is the number of seeds, and `PAIRS`
/// adds the pairs of faults.
#[test]
#[ignore = "a measurement"]
fn recovery_table() {
    let seeds = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(8);
    println!("{}", describe(&summarize_all(single_faults(), 0..seeds)));
    if std::env::var("PAIRS").is_ok() {
        println!("{}", describe(&summarize_all(fault_pairs(), 0..seeds)));
    }
}

/// Prints the run of a single case by half seconds; `N` is the index of the case.
#[test]
#[ignore = "prints a run"]
fn single_run() {
    let nth: usize = std::env::var("N").ok().and_then(|n| n.parse().ok()).unwrap_or(2);
    let Case { fleet, faults, .. } = single_faults().swap_remove(nth);
    println!("{}", run(&fleet, &faults, 3).table());
}

#[test]
fn run_without_faults() {
    let fleet = Fleet::small();
    let healthy = run(&fleet, &[], 1);
    assert!(healthy.in_time_share(2000.0, LENGTH_MS) > 0.995 && healthy.unanswered + healthy.ran_twice == 0);
    assert_eq!(healthy, run(&fleet, &[], 1));
    assert_ne!(healthy, run(&fleet, &[], 2));
}

/// Every fault has an effect; otherwise the recovery tests would prove nothing.
#[test]
fn effect_of_faults() {
    let fleet = Fleet::small();
    for (name, fault) in faults(&fleet) {
        let overload = Fault::Load { factor: 6.0 };
        let fault = if name.starts_with("load") { overload } else { fault };
        let healthy = run(&fleet, &[], 1);
        let faulty = run(&fleet, &[fault], 1);
        let dispatches =
            |result: &RunResult| result.intervals[40..90].iter().map(|i| i.dispatches).sum::<u32>();
        let has_effect = faulty.in_time_share(FROM_MS, TO_MS) < healthy.in_time_share(FROM_MS, TO_MS) - 0.002
            || dispatches(&faulty) != dispatches(&healthy);
        assert!(has_effect, "{name}");
        assert_eq!(faulty.intervals[..35], healthy.intervals[..35], "{name}: effect before its start");
    }
}

#[test]
fn recovery_after_single_faults() {
    for (name, summary) in summarize_all(single_faults(), 0..4) {
        assert_eq!((summary.unrecovered, summary.violations), (0, 0), "{name}");
        let median_ms = summary.recovery_ms[summary.recovery_ms.len() / 2];
        assert!(
            median_ms <= 2000.0 && summary.in_time_after > 0.85,
            "{name}: recovered after {median_ms} ms, {:.3} in time in the 3 s after",
            summary.in_time_after
        );
    }
}

#[test]
fn recovery_after_fault_pairs() {
    for (name, summary) in summarize_all(fault_pairs(), 0..2) {
        assert_eq!(summary.violations, 0, "{name}");
        assert!(summary.unrecovered == 0, "{name}: not recovered 7 s after the end");
    }
}

/// Lost answers make searchers look slow until newer latencies are measured. Guards against rejections that suppress the very
/// dispatches which would show that the searchers are fast again: with that fault, only 2 scans in 1,000 were completed in time
/// in the three seconds after the cause.
#[test]
fn rejections_after_lost_answers() {
    let lost =
        || vec![Fault::AnswersLost { searchers: (0..Fleet::small().searchers()).collect(), share: 0.2 }];
    let quarters = (0..4).map(|quarter| {
        thread::spawn(move || summarize(&Fleet::small(), &lost(), quarter * 25..(quarter + 1) * 25))
    });
    for quarter in quarters.collect::<Vec<_>>() {
        let summary = quarter.join().expect("a run ends");
        assert_eq!((summary.unrecovered, summary.violations), (0, 0));
        assert!(
            summary.refused_during < 0.1 && summary.in_time_during > 0.7,
            "{} refused, {} in time",
            summary.refused_during,
            summary.in_time_during
        );
        assert!(summary.in_time_after > 0.95, "{} in time in the 3 s after", summary.in_time_after);
    }
}

/// A set hangs for a while.
#[test]
fn table_of_half_seconds() {
    let fleet = Fleet::small();
    let fault = Fault::Hang { searchers: fleet.searchers_of_set(1) };
    let periods = [FaultPeriod { from_ms: 1500.0, to_ms: 3000.0, fault }];
    insta::assert_snapshot!(simulate(&fleet, &periods, 5000.0, 1).table());
}
