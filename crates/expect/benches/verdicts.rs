//! Structural checks of large fleets, and a comparison with the brute-force evaluator. Run with
//! `cargo bench -p pewterwharf-expect`; the results are in `docs/expectations.md`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion};
use pewterwharf_expect::Suite;
use pewterwharf_expect::brute_force;
use pewterwharf_expect::claim::{Claim, Pace};
use pewterwharf_expect::read::ParsedFile;
use pewterwharf_expect::structural::StructuralChecker;
use pewterwharf_fleet::Fleet;
use pewterwharf_terms::MixerConfig;
use pewterwharf_terms::list::{self, List};
use serde_json::json;

/// A fleet with four searchers per set, three halls, and as many customers as mixers.
fn fleet(searchers: u32, slices: u32) -> Fleet {
    let customers: Vec<_> =
        (0..59).map(|n| json!({"name": format!("c{n}"), "quota_per_s": 1.0 + f64::from(n % 7)})).collect();
    let settings = json!({
        "peers_total": 59, "zone": 0, "zones": ["a", "b", "c"], "discovery": "push",
        "services": [{"name": "find", "idempotency": "pure", "points": 1.0, "slo_ms": 500.0, "hard_limit_ms": 2000.0}],
        "customers": customers,
        "family_info": {"positions": searchers / 4, "in_a_row": 2, "ranges": slices},
        "permissions": {"cancel": true, "probing": true, "parallel_tries": true, "max_attempts": 3,
                        "retry_after": false},
        "rules": {"cold_from": 0.2, "warm_after_ms": 10000.0, "tip_multiple": 2.0, "fall_ms": 1000.0}
    });
    let halls = ["a", "b", "c"];
    let entry = |n: u32| {
        json!({"name": format!("s{n}"), "address": format!("10.{}.{}.{}:80", n >> 16, n >> 8 & 255, n & 255),
               "zone": halls[n as usize % 3], "group": n / 4 % (searchers / 4), "status": "up"})
    };
    let entries: Vec<_> = (0..searchers).map(entry).collect();
    let list: List =
        list::parse_list(&json!({"index": 1, "snapshot": true, "endpoints": entries})).expect("a list");
    let mut fleet = Fleet::new(MixerConfig::from_json(&settings).expect("terms"), &list).expect("a fleet");
    for n in 0..59 {
        let from = n * slices / 59;
        fleet
            .add_customer_slices(&format!("c{n}"), from..=((n + 2) * slices / 59).min(slices - 1))
            .expect("slices");
    }
    fleet
}

/// Typical claims of operators.
const FORMS: [(&str, &str); 6] = [
    ("holders", "(for-all-slices (reachable (searchers 3) (halls 2)))"),
    ("a hall", "(after (lose-hall any) (for-all-slices (reachable (searchers 2))))"),
    ("two searchers", "(after (lose-searchers 2) (for-all-slices (reachable (searchers 2) (halls 2))))"),
    ("hall, then one", "(after (lose-hall any) (lose-searcher any) (for-all-slices (reachable)))"),
    ("load, a hall", "(after (lose-hall any) (load-per-searcher-at-most 9))"),
    ("load, two searchers", "(after (lose-searchers 2) (load-per-searcher-at-most 9))"),
];

/// 200 expectations of these forms. Those about slices each name one of the customers.
fn suite(fleet: Fleet) -> Suite {
    let mut text = "(fleet (terms \"-\") (list \"-\"))".to_owned();
    for n in 0..200 {
        let (name, form) = FORMS[n % FORMS.len()];
        let form = form.replace("for-all-slices", &format!("for-all-slices (of \"c{}\")", n % 59));
        text += &format!("(expect \"{name} {n}\" {form})\n");
    }
    Suite::new(&ParsedFile::parse(&text).expect("it reads"), fleet).expect("names are there")
}

/// Checks all expectations. Returns the number of cases.
fn check_all(suite: &Suite) -> u64 {
    let check = |claim: &Claim| {
        let mut checker = StructuralChecker::new(suite.fleet(), Pace::default(), 0.0);
        let failed = checker.find_failure(claim).expect("few enough cases");
        assert!(failed.is_none(), "{failed:?}");
        checker.checked_cases()
    };
    suite.expectations().iter().map(|e| check(&e.claim)).sum()
}

fn peak_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap_or("0");
    line.split_whitespace().next().and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(2))
        .configure_from_args();
    for (searchers, slices) in [(188, 300), (1000, 1600), (10_000, 16_000)] {
        let suite = suite(fleet(searchers, slices));
        criterion.bench_with_input(BenchmarkId::new("200 expectations", searchers), &suite, |b, suite| {
            b.iter(|| check_all(black_box(suite)));
        });
        println!("{searchers} searchers: {} cases, peak memory {:.0} MB", check_all(&suite), peak_mb());
    }
    // The brute-force evaluator takes seconds per claim, so each form is run once, on the smallest fleet.
    let suite = suite(fleet(188, 300));
    for (expectation, (name, _)) in suite.expectations().iter().zip(FORMS) {
        let started = Instant::now();
        let brute_force = brute_force::holds(suite.fleet(), &expectation.claim, Pace::default(), 0.0);
        let brute_force_ms = started.elapsed().as_secs_f64() * 1e3;
        let started = Instant::now();
        let mut checker = StructuralChecker::new(suite.fleet(), Pace::default(), 0.0);
        let structural = checker.find_failure(&expectation.claim) == Ok(None);
        let structural_ms = started.elapsed().as_secs_f64() * 1e3;
        assert_eq!(brute_force, structural);
        println!(
            "{name}: brute force {brute_force_ms:.1} ms, structural {structural_ms:.3} ms, {:.0} times",
            brute_force_ms / structural_ms
        );
    }
}
