//! Fixtures: small fleets, and suites of expectations about them.
#![allow(dead_code)] // each test file uses some of them

use pewterwharf_expect::explore::{Bounds, Subject};
use pewterwharf_expect::read::ParsedFile;
use pewterwharf_expect::{CheckOptions, Outcome, Suite, Verdict};
use pewterwharf_fleet::Fleet;
use pewterwharf_terms::list::{self, List};
use serde_json::{Value, json};

/// Settings of a small deployment. Table type `find` is replayable, and whole with half of its weight; `keyed` is keyed,
/// `enter` is non-replayable, and both need all of it.
pub fn settings(cells: u32, cells_per_shard: u32, slices: u32) -> Value {
    let service = |name: &str, idempotency: &str| {
        json!({"name": name, "idempotency": idempotency, "points": 1.0, "slo_ms": 500.0, "hard_limit_ms": 2000.0,
               "late_worth": 0.3, "key_ttl_ms": 300.0})
    };
    json!({
        "peers_total": 16, "zone": 0, "zones": ["a", "b", "c"], "discovery": "push",
        "services": [service("find", "pure"), service("keyed", "token"), service("enter", "side_effect")],
        "customers": [{"name": "one", "quota_per_s": 10.0}, {"name": "two", "quota_per_s": 30.0}],
        "family_info": {"positions": cells, "in_a_row": cells_per_shard, "ranges": slices, "class_need": [0.5, 1.0, 1.0],
                        "floor_by_class": [0.5, 1.0, 1.0], "partial_earns": [0.5, 0.0, 0.0]},
        "permissions": {"cancel": true, "probing": true, "parallel_tries": true, "max_attempts": 3,
                        "retry_after": true, "max_retry_after_ms": 1000.0},
        "rules": {"cold_from": 0.2, "warm_after_ms": 10000.0, "tip_multiple": 2.0, "fall_ms": 1000.0,
                  "repeat_ratio": 0.5, "free_resends": 2.0, "extra_window_ms": 1000.0}
    })
}

pub fn config(cells: u32, cells_per_shard: u32, slices: u32) -> pewterwharf_terms::MixerConfig {
    pewterwharf_terms::MixerConfig::from_json(&settings(cells, cells_per_shard, slices))
        .expect("valid settings")
}

/// A searcher list with an entry for each hall, set, status and age in milliseconds.
pub fn searcher_list(searchers: &[(&str, u32, &str, f64)]) -> List {
    let entries: Vec<Value> = (0..)
        .zip(searchers)
        .map(|(nth, (hall, set, status, age))| {
            json!({"name": format!("s{nth}"), "address": format!("10.0.{}.{}:80", nth / 250, nth % 250), "zone": hall,
                   "group": set, "status": status, "since_ms": 0, "age_ms": age})
        })
        .collect();
    list::parse_list(&json!({"index": 1, "snapshot": true, "endpoints": entries})).expect("a list")
}

/// Two sets of three searchers, each set in three halls and holding two of four slices.
pub fn fleet() -> Fleet {
    Fleet::new(config(2, 1, 4), &six_searchers()).expect("a fleet")
}

pub fn six_searchers() -> List {
    let searchers: Vec<_> = (0..6).map(|n| (["a", "b", "c"][n % 3], (n / 3) as u32, "up", 0.0)).collect();
    searcher_list(&searchers)
}

pub fn suite(fleet: Fleet, claims: &str) -> Result<Suite, String> {
    let text =
        format!("(fleet (terms \"-\") (list \"-\") (slices \"one\" 0 1) (slices \"two\" 1 1))\n{claims}");
    let parsed = ParsedFile::parse(&text).map_err(|error| error.to_string())?;
    Suite::new(&parsed, fleet).map_err(|error| error.to_string())
}

pub const CHECK_OPTIONS: CheckOptions =
    CheckOptions { bounds: Bounds { departures: 2, states: 120_000, merge: false }, threads: 4, seed: 7 };

/// Verdicts on the expectations of the suite, without the six rules.
pub fn verdicts(suite: &Suite) -> Vec<Verdict> {
    let open = |seed| Box::new(suite.fleet().config().open(seed)) as Box<dyn Subject>;
    let mut verdicts = suite.check(CHECK_OPTIONS, &open, &|_, _| {});
    verdicts.truncate(suite.expectations().len());
    verdicts
}

/// Verdicts as text.
pub fn describe(verdicts: &[Verdict]) -> String {
    let mut out = String::new();
    for verdict in verdicts {
        let at = verdict.fails_at_ms.map(|ms| format!(" from {ms} ms")).unwrap_or_default();
        match &verdict.outcome {
            Outcome::Holds => out += &format!("{}: holds{}\n", verdict.name, at.replace("from", "up to")),
            Outcome::Undecided => out += &format!("{}: undecided\n", verdict.name),
            Outcome::Fails(case) => {
                let slice = case.slice.map(|s| format!("slice {s}: ")).unwrap_or_default();
                let failures = case.failures.iter().map(|f| format!("{f}; ")).collect::<String>();
                out += &format!("{}: fails{at}: {failures}{slice}{}\n", verdict.name, case.observed);
                case.trace.iter().for_each(|line| out += &format!("  {line}\n"));
            }
        }
    }
    out
}
