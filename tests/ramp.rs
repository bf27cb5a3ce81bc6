//! Warm-up capacity: all mixers together stay within what a cold searcher can carry, and every table type
//! gets a share of it.

#[allow(dead_code)] // the other test file uses the rest
#[path = "common/ramp.rs"]
mod ramp;

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use pewterwharf::interface::SafetyLimits;
use ramp::{Burst, ScanClass, Scenario, Simulated, permissions};

fn class(share: f64, parts: u32, required_weight: f64, work_ms: f64, target_ms: f64) -> ScanClass {
    ScanClass { share, parts, required_weight, work_ms, target_ms, ..ScanClass::plain() }
}

/// Some searchers restart one after the other; two table types.
fn several_types(mixers: usize) -> Scenario {
    Scenario {
        mixers,
        uneven: 4.0,
        searchers: if mixers > 100 { 60 } else { 12 },
        cells_per_shard: 3,
        cores: 2,
        load: 0.5,
        classes: vec![class(0.4, 6, 0.67, 60.0, 600.0), class(0.6, 4, 1.0, 50.0, 600.0)],
        restarting: if mixers > 100 { 30 } else { 6 },
        restart_interval_ms: 300.0,
        restart_stride: 1,
        silence: None,
        gone_neighbors: 0,
        burst: None,
        restart_notice_ms: 2000.0,
        limits: SafetyLimits {
            cold_capacity_share: 0.2,
            warm_up_ms: 10_000.0,
            overload_multiple: 2.0,
            overload_window_ms: 1500.0,
            retry_budget: None,
        },
        permissions: permissions(),
        zones: 1,
        reports_busy: false,
        mixer_restarts: 0.0,
        second_restart_ms: None,
        slowdown: 1.0,
        stated_mixers: 1.0,
        length_ms: 16_000.0,
    }
}

/// Table types whose parts differ much in work.
fn unequal_work(mixers: usize) -> Scenario {
    let classes = vec![class(0.1, 5, 1.0, 180.0, 800.0), class(0.9, 9, 0.6, 10.0, 100.0)];
    Scenario { classes, ..several_types(mixers) }
}

/// Scans of many parts beside scans of few.
fn unequal_width(mixers: usize) -> Scenario {
    let classes = vec![class(0.1, 10, 1.0, 50.0, 600.0), class(0.9, 3, 1.0, 50.0, 600.0)];
    Scenario { classes, ..several_types(mixers) }
}

/// All searchers restart.
fn all_cold(mixers: usize) -> Scenario {
    let scenario = several_types(mixers);
    Scenario { restarting: scenario.searchers, restart_interval_ms: 100.0, load: 0.3, ..scenario }
}

/// After a long time of little traffic a searcher comes back cold, and a burst follows.
fn burst(mixers: usize, load_before: f64, gone_neighbors: usize) -> Scenario {
    let scenario = several_types(mixers);
    Scenario {
        uneven: 1.0,
        searchers: 30,
        load: 0.9,
        classes: vec![class(1.0, 5, 1.0, 130.0, 1500.0)],
        restarting: 1,
        gone_neighbors,
        burst: Some(Burst { quiet_ms: 60_000.0, load_before }),
        restart_notice_ms: 100.0,
        limits: SafetyLimits {
            cold_capacity_share: 0.05,
            warm_up_ms: 18_000.0,
            overload_multiple: 4.0,
            overload_window_ms: 1500.0,
            retry_budget: None,
        },
        length_ms: 70_000.0,
        ..scenario
    }
}

/// Bursts before few and many mixers, by seed.
fn bursts(load_before: f64, gone_neighbors: usize, reports_busy: bool) -> Vec<Run> {
    let run = |mixers: usize, cores: usize, seed: u64| {
        let scenario = Scenario { cores, reports_busy, ..burst(mixers, load_before, gone_neighbors) };
        let name = format!("load {load_before} before, {gone_neighbors} neighbors gone, {cores} cores");
        Run { name, scenario, seed }
    };
    let sizes = [(20, 2), (45, 1), (45, 2), (45, 4)];
    sizes.into_iter().flat_map(|(mixers, cores)| (0..4).map(move |seed| run(mixers, cores, seed))).collect()
}

/// A scenario to simulate.
struct Run {
    name: String,
    scenario: Scenario,
    seed: u64,
}

struct Finished {
    name: String,
    simulated: Simulated,
}

/// Simulates all, as many at a time as there are cores, four at most.
fn simulate(runs: Vec<Run>) -> Vec<Finished> {
    let next = AtomicUsize::new(0);
    let finished = Mutex::new(Vec::new());
    let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get().min(4));
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| {
                while let Some(Run { name, scenario, seed }) = runs.get(next.fetch_add(1, Ordering::SeqCst)) {
                    let name = format!("{name}, {} mixers, seed {seed}", scenario.mixers);
                    let simulated = scenario.simulate(*seed);
                    finished.lock().expect("no thread has panicked").push(Finished { name, simulated });
                }
            });
        }
    });
    finished.into_inner().expect("no thread has panicked")
}

/// Asserts that no window of a cold searcher held more than its capacity and the allowance for chance.
fn assert_within_capacity(runs: Vec<Run>) {
    for Finished { name, simulated } in simulate(runs) {
        let Simulated { fullest, fullest_calls, .. } = simulated;
        assert!(fullest > 0.0, "{name}: no cold searcher got anything");
        assert!(fullest <= 1.0, "{name}: a window held {fullest:.2} of its capacity: {fullest_calls:?}");
    }
}

/// `RAMP_FROM=1 RAMP_TO=4 cargo test --test ramp -- --ignored --nocapture table_of_overload` prints the
/// fullest window of each case of these seeds, and the causes of the calls in it.
#[test]
#[ignore = "prints a table"]
fn table_of_overload() {
    let seed =
        |name: &str, otherwise: u64| std::env::var(name).map_or(otherwise, |s| s.parse().expect("a seed"));
    let mut runs = Vec::new();
    for seed in seed("RAMP_FROM", 1)..seed("RAMP_TO", 4) {
        for cores in [1, 2] {
            let cases = [
                ("several types", several_types(300)),
                (
                    "a tenth restarted each half second",
                    Scenario { mixer_restarts: 0.1, ..several_types(300) },
                ),
                ("no searcher warm", all_cold(300)),
            ];
            runs.extend(cases.map(|(name, scenario)| Run {
                name: format!("{name}, {cores} cores"),
                scenario: Scenario { load: 1.0, cores, ..scenario },
                seed,
            }));
        }
    }
    let mut finished = simulate(runs);
    finished.sort_by(|a, b| a.name.cmp(&b.name));
    for Finished { name, simulated } in finished {
        let Simulated { fullest, fullest_calls, used, counts_while_cold, .. } = simulated;
        println!(
            "{name}: fullest {fullest:.3}, used {used:.2}, {fullest_calls:?}, while cold {counts_while_cold:?}"
        );
    }
}

/// All mixers together stay within the capacity of a cold searcher.
#[test]
fn cold_capacity_is_not_exceeded() {
    let mut runs = Vec::new();
    for mixers in [2, 20, 30, 300] {
        let cases = [
            ("several types", several_types(mixers)),
            ("a tenth restarted each half second", Scenario { mixer_restarts: 0.1, ..several_types(mixers) }),
            (
                "searchers that start twice",
                Scenario { second_restart_ms: Some(2500.0), ..several_types(mixers) },
            ),
            ("all work slower", Scenario { slowdown: 1.7, load: 0.3, ..several_types(mixers) }),
            ("more mixers than stated", Scenario { stated_mixers: 0.9, ..several_types(mixers) }),
            ("one core, and busy", Scenario { cores: 1, load: 0.6, ..several_types(mixers) }),
            ("unequal work", unequal_work(mixers)),
            ("no searcher warm", all_cold(mixers)),
        ];
        let seeds = if mixers == 300 { 1..2 } else { 1..5 };
        for (name, scenario) in cases {
            let run = |seed| Run { name: name.to_owned(), scenario: scenario.clone(), seed };
            runs.extend(seeds.clone().map(run));
        }
    }
    assert_within_capacity(runs);
}

/// All mixers together stay within the capacity of a cold searcher, also if the scans need all cores.
#[test]
fn cold_capacity_under_overload() {
    let cases = [1, 2].into_iter().flat_map(|cores| {
        let overloaded = |scenario: Scenario| Scenario { load: 1.0, cores, ..scenario };
        let restarts = Scenario { mixer_restarts: 0.1, ..several_types(300) };
        [
            ("several types", overloaded(several_types(300))),
            ("a tenth restarted each half second", overloaded(restarts)),
            ("no searcher warm", overloaded(all_cold(300))),
        ]
    });
    let run = |(name, scenario): (&str, Scenario)| Run { name: name.to_owned(), scenario, seed: 1 };
    assert_within_capacity(cases.map(run).collect());
}

/// Guards against a cold searcher that a burst after a long quiet time pushes over: what a mixer has seen of the
/// traffic then says nothing of what all mixers are about to send.
#[test]
fn cold_capacity_in_burst_after_quiet_time() {
    assert_within_capacity(bursts(0.001, 0, false));
}

/// Guards against a cold searcher that is pushed over as the one holder that is left of its shards: their load is
/// not spread over all searchers.
#[test]
fn cold_capacity_where_other_holders_are_gone() {
    let runs = [0.001, 0.9].into_iter().flat_map(|load_before| bursts(load_before, 2, false));
    assert_within_capacity(runs.collect());
}

/// Guards against a cold searcher that a burst pushes over while searchers report little load: capacity that is
/// estimated by their reports is not free, as all traffic may rise.
#[test]
fn cold_capacity_in_burst_at_half_load() {
    assert_within_capacity(bursts(0.45, 0, true));
}

/// All mixers together stay within the capacity of a cold searcher, whatever the settings.
#[test]
fn cold_capacity_under_drawn_settings() {
    // A table type whose parts have several times the mean work, on one core, comes nearest to the capacity.
    let one_core = |scenario: Scenario| Scenario {
        cores: 1,
        searchers: scenario.searchers.min(30),
        restarting: scenario.restarting.min(12),
        ..scenario
    };
    let drawn = (0..60).map(|seed| Run { name: "drawn".to_owned(), scenario: Scenario::drawn(seed), seed });
    let drawn_one_core = (0..60).map(|seed| Run {
        name: "drawn, on one core".to_owned(),
        scenario: one_core(Scenario::drawn(seed)),
        seed,
    });
    // Scenarios of 300 mixers are simulated in the tests above.
    let is_small = |run: &Run| run.scenario.mixers < 300 && run.scenario.restarting > 0;
    assert_within_capacity(drawn.chain(drawn_one_core).filter(is_small).collect());
}

/// Share of the scans requested while searchers were cold that were served in time, over all seeds, by table
/// type.
fn served_shares(name: &str, scenario: &Scenario, seeds: u64) -> Vec<f64> {
    let run = |seed| Run { name: name.to_owned(), scenario: scenario.clone(), seed };
    let finished = simulate((0..seeds).map(run).collect());
    let served_share = |class: usize| {
        let counts = || finished.iter().map(|run| &run.simulated.counts_while_cold[class]);
        let requested: u32 = counts().map(|counts| counts.requested).sum();
        let in_time: u32 = counts().map(|counts| counts.in_time).sum();
        f64::from(in_time) / f64::from(requested)
    };
    (0..scenario.classes.len()).map(served_share).collect()
}

/// Asserts the least served share of each table type. The bounds lie between the share at present and the
/// share when capacity was given by the work of a part, out of one share for all table types.
fn assert_served(name: &str, scenario: &Scenario, seeds: u64, least: &[f64]) {
    let served = served_shares(name, scenario, seeds);
    let is_kept = served.iter().zip(least).all(|(served, least)| served >= least);
    assert!(is_kept, "{name}, {} mixers: served {served:.3?}, at least {least:?} wanted", scenario.mixers);
}

/// Table types with long parts get capacity of cold searchers beside those with short parts.
#[test]
fn cold_capacity_for_long_parts() {
    assert_served("unequal work", &unequal_work(20), 8, &[0.55, 0.70]);
    assert_served("unequal work", &unequal_work(30), 8, &[0.50, 0.70]);
}

/// Scans of many parts get capacity of cold searchers beside scans of few.
#[test]
fn cold_capacity_for_wide_scans() {
    assert_served("unequal width", &unequal_width(20), 8, &[0.52, 0.75]);
    assert_served("unequal width", &unequal_width(30), 8, &[0.48, 0.75]);
}

/// Hundreds of mixers use the capacity of cold searchers that they share.
#[test]
fn cold_capacity_with_hundreds_of_mixers() {
    assert_served("several types", &several_types(300), 3, &[0.76, 0.765]);
    assert_served("no searcher warm", &all_cold(300), 3, &[0.47, 0.50]);
}
