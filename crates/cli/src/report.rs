//! Verdicts as a table, as JSON and as JUnit.

use std::fmt::Write;

use anyhow::Result;
use pewterwharf_expect::{Counterexample, Outcome, Suite, Verdict};
use quick_junit::{NonSuccessKind, Report, TestCase, TestCaseStatus, TestSuite};
use serde_json::{Value, json};

fn seconds(ms: f64) -> String {
    format!("{} s", (ms / 100.0).round() / 10.0)
}

fn outcome_text(verdict: &Verdict) -> &'static str {
    match verdict.outcome {
        Outcome::Holds => "holds",
        Outcome::Fails(_) => "FAILS",
        Outcome::Undecided => "UNDECIDED",
    }
}

/// What was checked, and the conditions under which the verdict holds.
fn coverage(verdict: &Verdict) -> String {
    let mut parts = Vec::new();
    match (verdict.required_ms, verdict.fails_at_ms) {
        (Some(_), Some(at)) => parts.push(format!("while the list is younger than {}", seconds(at))),
        (Some(_), None) => parts.push("at all ages of the list that were looked at".to_owned()),
        _ => {}
    }
    let coverage = &verdict.coverage;
    match coverage.departures {
        Some(0) => parts.push(format!("{} states, usual runs alone", coverage.states)),
        Some(n) => {
            parts.push(format!("{} states, all runs in which up to {n} things go wrong", coverage.states))
        }
        None if coverage.explorations > 0 => parts.push(format!("{} states", coverage.states)),
        None if verdict.coverage.cases > 1 => parts.push(format!("{} cases", verdict.coverage.cases)),
        None => {}
    }
    parts.join("; ")
}

/// Appends a counterexample.
fn write_counterexample(out: &mut String, case: &Counterexample) {
    for line in &case.failures {
        let _ = writeln!(out, "          {line}");
    }
    let slice = case.slice.map(|s| format!("slice {s}: ")).unwrap_or_default();
    let _ = writeln!(out, "          {slice}{}", case.observed);
    for line in &case.trace {
        let _ = writeln!(out, "          |{line}");
    }
}

/// Table of the verdicts with the counterexamples.
pub fn table(suite: &Suite, verdicts: &[Verdict]) -> String {
    let mut out = String::new();
    let width = verdicts.iter().map(|v| v.name.chars().count()).max().unwrap_or(0);
    for verdict in verdicts {
        let line = format!("{:9} {:width$}  {}", outcome_text(verdict), verdict.name, coverage(verdict));
        let _ = writeln!(out, "{}", line.trim_end());
        if let Outcome::Fails(case) = &verdict.outcome {
            write_counterexample(&mut out, case);
        }
        if verdict.outcome == Outcome::Undecided {
            let _ = writeln!(
                out,
                "          more cases or states than the limits allow; narrow the expectation, or raise --states"
            );
        }
    }
    let fleet = suite.fleet();
    let failed = verdicts.iter().filter(|v| !v.holds()).count();
    let _ = writeln!(
        out,
        "{} of {} hold; {} searchers in {} halls, {} slices",
        verdicts.len() - failed,
        verdicts.len(),
        fleet.searchers().len(),
        fleet.halls().len(),
        fleet.slices()
    );
    out
}

/// Expectations whose verdict differs from the one before.
pub fn against(before: &[Verdict], after: &[Verdict]) -> String {
    let mut out = String::new();
    let old = |name: &str| before.iter().find(|v| v.name == name);
    for verdict in after {
        let change = match old(&verdict.name) {
            None => format!("new, {}", outcome_text(verdict)),
            Some(old) if outcome_text(old) != outcome_text(verdict) => {
                format!("{} -> {}", outcome_text(old), outcome_text(verdict))
            }
            Some(old) if old.fails_at_ms != verdict.fails_at_ms => {
                let until = |ms: Option<f64>| ms.map_or("any age".to_owned(), seconds);
                format!("list up to {} -> {}", until(old.fails_at_ms), until(verdict.fails_at_ms))
            }
            Some(_) => continue,
        };
        let _ = writeln!(out, "{}: {change}", verdict.name);
        if let Outcome::Fails(case) = &verdict.outcome {
            write_counterexample(&mut out, case);
        }
    }
    for removed in before.iter().filter(|b| !after.iter().any(|v| v.name == b.name)) {
        let _ = writeln!(out, "{}: removed from the file", removed.name);
    }
    if out.is_empty() {
        out.push_str("no verdict changes\n");
    }
    out
}

/// All verdicts as JSON.
pub fn json(suite: &Suite, verdicts: &[Verdict]) -> Value {
    let fleet = suite.fleet();
    let one = |verdict: &Verdict| {
        let case = match &verdict.outcome {
            Outcome::Fails(case) => json!({
                "befell": case.failures, "slice": case.slice, "found": case.observed,
                "trace": case.trace, "moves": case.moves, "arena": case.scenario,
            }),
            _ => Value::Null,
        };
        json!({
            "name": verdict.name, "line": verdict.line, "verdict": outcome_text(verdict).to_lowercase(),
            "fails_at_ms": verdict.fails_at_ms, "wanted_ms": verdict.required_ms,
            "cases": verdict.coverage.cases, "states": verdict.coverage.states, "departures": verdict.coverage.departures,
            "counterexample": case,
        })
    };
    json!({
        "searchers": fleet.searchers().len(), "halls": fleet.halls().len(), "slices": fleet.slices(),
        "expectations": verdicts.iter().map(one).collect::<Vec<_>>(),
    })
}

/// JUnit report for CI with a test case for each expectation.
pub fn junit(verdicts: &[Verdict]) -> Result<String> {
    let mut report = Report::new("pewterwharf check");
    let mut suite = TestSuite::new("expectations");
    for verdict in verdicts {
        let status = match &verdict.outcome {
            Outcome::Holds => TestCaseStatus::success(),
            Outcome::Undecided => {
                let mut status = TestCaseStatus::non_success(NonSuccessKind::Error);
                status.set_message("undecided: more cases or states than the limits allow");
                status
            }
            Outcome::Fails(case) => {
                let mut status = TestCaseStatus::non_success(NonSuccessKind::Failure);
                let mut text = String::new();
                write_counterexample(&mut text, case);
                status.set_message(case.observed.clone());
                status.set_description(text);
                status
            }
        };
        suite.add_test_case(TestCase::new(verdict.name.clone(), status));
    }
    report.add_test_suite(suite);
    Ok(report.to_string()?)
}
