//! Small fleets, and what is asked of them.
#![allow(dead_code)] // each test file uses a part

use pewterwharf_expect::explore::{Bounds, Subject};
use pewterwharf_expect::read::ParsedFile;
use pewterwharf_expect::{CheckOptions, Outcome, Suite, Verdict};
use pewterwharf_fleet::Fleet;
use pewterwharf_terms::list::{self, List};
use serde_json::{Value, json};

/// Terms of a small deployment: `find` is replayable and whole with half of its parts, `keyed` is keyed, `enter` is
/// non-replayable; both need all.
pub fn settings(cells: u32, reach: u32, slices: u32) -> Value {
    let service = |name: &str, repeat: &str| {
        json!({"name": name, "idempotency": repeat, "points": 1.0, "slo_ms": 500.0, "hard_limit_ms": 2000.0,
               "late_worth": 0.3, "key_ttl_ms": 300.0})
    };
    json!({
        "peers_total": 16, "zone": 0, "zones": ["a", "b", "c"], "discovery": "push",
        "services": [service("find", "pure"), service("keyed", "token"), service("enter", "side_effect")],
        "customers": [{"name": "one", "quota_per_s": 10.0}, {"name": "two", "quota_per_s": 30.0}],
        "family_info": {"positions": cells, "in_a_row": reach, "ranges": slices, "class_need": [0.5, 1.0, 1.0],
                        "floor_by_class": [0.5, 1.0, 1.0], "partial_earns": [0.5, 0.0, 0.0]},
        "permissions": {"cancel": true, "probing": true, "parallel_tries": true, "max_attempts": 3,
                        "retry_after": true, "max_retry_after_ms": 1000.0},
        "rules": {"cold_from": 0.2, "warm_after_ms": 10000.0, "tip_multiple": 2.0, "fall_ms": 1000.0,
                  "repeat_ratio": 0.5, "free_resends": 2.0, "extra_window_ms": 1000.0}
    })
}

pub fn terms(cells: u32, reach: u32, slices: u32) -> pewterwharf_terms::MixerConfig {
    pewterwharf_terms::MixerConfig::from_json(&settings(cells, reach, slices)).expect("they are whole")
}

/// Of each searcher: hall, set, status, age in milliseconds.
pub fn listed(searchers: &[(&str, u32, &str, f64)]) -> List {
    let entries: Vec<Value> = (0..)
        .zip(searchers)
        .map(|(nth, (hall, set, status, age))| {
            json!({"name": format!("s{nth}"), "address": format!("10.0.{}.{}:80", nth / 250, nth % 250), "zone": hall,
                   "group": set, "status": status, "since_ms": 0, "age_ms": age})
        })
        .collect();
    list::parse_list(&json!({"index": 1, "snapshot": true, "endpoints": entries})).expect("a list")
}

/// Two sets of three, each in three halls, each holding every other of four slices.
pub fn fleet() -> Fleet {
    Fleet::new(terms(2, 1, 4), &six()).expect("a fleet")
}

pub fn six() -> List {
    let searchers: Vec<_> = (0..6).map(|n| (["a", "b", "c"][n % 3], (n / 3) as u32, "up", 0.0)).collect();
    listed(&searchers)
}

pub fn suite(fleet: Fleet, claims: &str) -> Result<Suite, String> {
    let text =
        format!("(fleet (terms \"-\") (list \"-\") (slices \"one\" 0 1) (slices \"two\" 1 1))\n{claims}");
    let parsed = ParsedFile::parse(&text).map_err(|fault| fault.to_string())?;
    Suite::new(&parsed, fleet).map_err(|fault| fault.to_string())
}

pub const CHECK_OPTIONS: CheckOptions =
    CheckOptions { bounds: Bounds { departures: 2, states: 120_000, merge: false }, threads: 4, seed: 7 };

/// The verdicts on a file's own claims.
pub fn verdicts(suite: &Suite) -> Vec<Verdict> {
    let open = |seed| Box::new(suite.fleet().config().open(seed)) as Box<dyn Subject>;
    let mut verdicts = suite.check(CHECK_OPTIONS, &open, &|_, _| {});
    verdicts.truncate(suite.expectations().len());
    verdicts
}

/// Verdicts as people read them.
pub fn told(verdicts: &[Verdict]) -> String {
    let mut out = String::new();
    for verdict in verdicts {
        let at = verdict.fails_at_ms.map(|ms| format!(" from {ms} ms")).unwrap_or_default();
        match &verdict.outcome {
            Outcome::Holds => out += &format!("{}: holds{}\n", verdict.name, at.replace("from", "up to")),
            Outcome::Undecided => out += &format!("{}: undecided\n", verdict.name),
            Outcome::Fails(case) => {
                let slice = case.slice.map(|s| format!("slice {s}: ")).unwrap_or_default();
                let befell = case.failures.iter().map(|b| format!("{b}; ")).collect::<String>();
                out += &format!("{}: fails{at}: {befell}{slice}{}\n", verdict.name, case.observed);
                case.trace.iter().for_each(|line| out += &format!("  {line}\n"));
            }
        }
    }
    out
}
