//! The soak test: mixers and their surroundings as processes, overlapping faults drawn from a seed, and a
//! check of invariants.
//!
//! `SOAK_SEEDS=1..40 SOAK_SECONDS=20 cargo test -p pewterwharf-mixer --test soak -- --ignored --nocapture`
//! runs many seeds. Every second seed has small buffers, every fourth delays threads after they read the
//! clock, every fifth sends requests in two halves. With `SOAK_SHIM=1`, system calls of the mixers fail now
//! and then.

use std::path::PathBuf;

use pewterwharf_soak::checker::Report;
use pewterwharf_soak::control::ProxyMode;
use pewterwharf_soak::fault::{Fault, ScheduledFault};
use pewterwharf_soak::run::{Options, play};

/// The arguments with which this program runs only [`role`].
const ROLE_ARGUMENTS: [&str; 2] = ["role", "--exact"];
/// The number of violations of a run that are printed.
const PRINTED_VIOLATIONS: usize = 12;

/// Not a test: the processes of a run start here.
#[test]
fn role() {
    pewterwharf_soak::role::serve().expect("the role can be served");
}

fn options(name: &str, seed: u64, seconds: u64) -> Options {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_pewterwharf-mixer"));
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{name}-{}-{seed}", std::process::id()));
    Options::new(&program, &ROLE_ARGUMENTS, folder, seed, seconds)
}

const fn at(at_ms: u64, fault: Fault) -> ScheduledFault {
    ScheduledFault { at_ms, fault }
}

/// Plays a run and prints its result.
fn soak(options: &Options) -> Report {
    let report = play(options).expect("the run can be played");
    let Report { requests, served, refused, failed, crossed, attempts, faults, restarts, .. } = &report;
    println!(
        "seed {}: {requests} requests, {served} served, {refused} refused, {failed} failed, {crossed} crossed a close; \
         {attempts} attempts; {faults} faults, {restarts} ends of mixers; known {}; broken {:?}",
        options.seed,
        report.known.len(),
        report.by_rule()
    );
    for violation in report.violations.iter().take(PRINTED_VIOLATIONS) {
        println!("  {} at {:.0}: {}", violation.rule, violation.at, violation.description);
    }
    if report.violations.is_empty() {
        let _ = std::fs::remove_dir_all(&options.folder); // its records only help to analyze failures
    } else {
        println!("  records and logs: {}", options.folder.display());
    }
    report
}

#[test]
#[ignore = "many seeds take minutes"]
fn many_seeds() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..10".to_owned());
    let (from, to) = seeds.split_once("..").expect("a range of seeds");
    let (from, to): (u64, u64) = (from.parse().expect("a seed"), to.parse().expect("a seed"));
    let seconds = std::env::var("SOAK_SECONDS").ok().and_then(|text| text.parse().ok()).unwrap_or(20);
    let failing_syscalls = std::env::var_os("SOAK_SHIM").is_some();
    let breaks_promise = |seed: &u64| {
        let options = Options {
            failing_syscalls,
            small_buffers: seed.is_multiple_of(2),
            clock_delays: seed % 4 == 3,
            halves: seed % 5 == 2,
            ..options("many", *seed, seconds)
        };
        !soak(&options).violations.is_empty()
    };
    let broken: Vec<u64> = (from..=to).filter(breaks_promise).collect();
    assert!(broken.is_empty(), "seeds that broke a promise: {broken:?}");
}

#[test]
fn without_faults() {
    let without_faults = Options { faults: Some(Vec::new()), ..options("calm", 1, 4) };
    let report = soak(&without_faults);
    assert!(report.violations.is_empty(), "{:?}", report.by_rule());
    let not_left = report.requests - report.left;
    assert!(report.served * 100 >= not_left * 98, "{} of {not_left} served", report.served);
}

#[test]
fn restart_with_hung_searchers() {
    let faults = vec![
        at(500, Fault::SearcherPaused { searcher: 0, ms: 2500 }),
        at(600, Fault::SearcherPaused { searcher: 5, ms: 2500 }),
        at(800, Fault::MixerEnds { mixer: 0, front_ms: 300 }),
        at(900, Fault::AgentDown { mixer: 0, ms: 600 }),
    ];
    let restart = Options { faults: Some(faults), ..options("restart", 2, 4) };
    let report = soak(&restart);
    assert!(report.violations.is_empty(), "{:?}", report.by_rule());
}

/// Guards against calls that a resumed mixer sends to searchers whose drain was published while it was
/// stopped.
#[test]
fn searcher_drains_during_mixer_stop() {
    let mut faults = Vec::new();
    for round in 0..3 {
        let begin_ms = 500 + 1500 * round;
        let mixer = round as usize;
        faults.push(at(begin_ms, Fault::MixerPaused { mixer, ms: 700 }));
        for nth in 0..4 {
            let searcher = (4 * round as usize + nth) % 12;
            let drain = Fault::SearcherReplaced { searcher, drains_ms: 1200 };
            faults.push(at(begin_ms + 60 + 30 * nth as u64, drain));
        }
    }
    let drains = Options { faults: Some(faults), ..options("drains", 3, 6) };
    let report = soak(&drains);
    assert!(report.violations.is_empty(), "{:?}", report.by_rule());
}

#[test]
fn handover_with_reload() {
    let faults = vec![
        at(500, Fault::AgentSilent { mixer: 1, ms: 1500 }),
        at(700, Fault::MixerHandsOver { mixer: 1, after_ms: 300 }),
        at(1100, Fault::MixerReloads { mixer: 1, signals: 3 }),
        at(1200, Fault::SearcherReplaced { searcher: 3, drains_ms: 800 }),
        at(2400, Fault::MixerHandsOver { mixer: 2, after_ms: 600 }),
        at(2500, Fault::SearcherPaused { searcher: 2, ms: 1500 }),
    ];
    let hand_over = Options { faults: Some(faults), ..options("hand-over", 4, 6) };
    let report = soak(&hand_over);
    assert!(report.violations.is_empty(), "{:?}", report.by_rule());
}

/// Guards against a drain that ends although the mixer has read the first half of a request.
#[test]
fn requests_in_halves_across_drains() {
    let mut faults = vec![at(400, Fault::ClientsCrowd { mixer: 3, count: 40, ms: 1500 })];
    for (nth, mixer) in [0, 1, 2, 3].into_iter().enumerate() {
        faults.push(at(600 + 500 * nth as u64, Fault::MixerEnds { mixer, front_ms: 300 }));
    }
    let halves = Options { faults: Some(faults), halves: true, ..options("halves", 8, 6) };
    let report = soak(&halves);
    assert!(report.violations.is_empty(), "{:?}", report.by_rule());
}

#[test]
fn failing_system_calls_with_restart() {
    let faults = vec![
        at(500, Fault::MixerEnds { mixer: 0, front_ms: 250 }),
        at(600, Fault::SearcherPaused { searcher: 1, ms: 1200 }),
        at(1500, Fault::ClientsLeave { mixer: 2 }),
        at(1600, Fault::MixerReloads { mixer: 2, signals: 2 }),
        at(1700, Fault::SearcherReplaced { searcher: 4, drains_ms: 600 }),
    ];
    let failing = Options { faults: Some(faults), failing_syscalls: true, ..options("failing", 5, 4) };
    let report = soak(&failing);
    assert!(report.accepts_failed > 0, "the library is loaded");
    assert!(report.violations.is_empty(), "{:?}", report.by_rule());
}

#[test]
fn delays_after_clock_reads() {
    let faults = vec![
        at(500, Fault::ClientsLeave { mixer: 0 }),
        at(700, Fault::SearcherReplaced { searcher: 2, drains_ms: 900 }),
        at(900, Fault::ClientsLeave { mixer: 1 }),
        at(1100, Fault::SearcherPaused { searcher: 5, ms: 1500 }),
        at(1400, Fault::ClientsLeave { mixer: 2 }),
        at(1800, Fault::SearcherReplaced { searcher: 7, drains_ms: 900 }),
        at(2000, Fault::MixerEnds { mixer: 3, front_ms: 300 }),
        at(2600, Fault::ClientsLeave { mixer: 4 }),
    ];
    let delays = Options { faults: Some(faults), clock_delays: true, ..options("holds", 7, 4) };
    let report = soak(&delays);
    assert!(report.violations.is_empty(), "{:?}", report.by_rule());
}

#[test]
fn stops_between_writes_to_blocked_searchers() {
    let deaf = |proxy: usize| Fault::ProxyPasses { proxy, passing: ProxyMode::Deaf, ms: 3500 };
    let mut faults = vec![at(400, deaf(0)), at(450, deaf(2))];
    for (round, mixer) in [0, 1, 2, 3].into_iter().enumerate() {
        let begin_ms = 700 + 700 * round as u64;
        faults.push(at(begin_ms, Fault::MixerStutters { mixer, count: 8, ms: 200, apart_ms: 20 }));
        faults.push(at(begin_ms + 300, Fault::ClientsLeave { mixer }));
    }
    let stops = Options { faults: Some(faults), small_buffers: true, ..options("stops", 6, 5) };
    let report = soak(&stops);
    assert!(report.links_blocked > 0, "no write was blocked");
    assert!(report.violations.is_empty(), "{:?}", report.by_rule());
}
