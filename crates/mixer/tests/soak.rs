//! The soak test: mixers and their surroundings as processes, overlapping faults by seed, judged by invariants.
//!
//! Many seeds, every second of them with narrow connections, of the others every second with threads held up, every fifth with
//! requests in two halves (with `SOAK_SHIM=1` under failing system calls): `SOAK_SEEDS=1..40 SOAK_SECONDS=20 cargo test -p pewterwharf-mixer --test soak -- --ignored --nocapture`.

use std::path::PathBuf;

use pewterwharf_soak::control::Passing;
use pewterwharf_soak::judge::Verdict;
use pewterwharf_soak::run::{Options, play};
use pewterwharf_soak::trouble::Trouble;

/// What leads this program to [`role`] when it is started anew.
const ROLE: [&str; 2] = ["role", "--exact"];
/// Violations of a run that are printed.
const PRINTED: usize = 12;

/// Not a test of anything: where the processes of a run begin.
#[test]
fn role() {
    pewterwharf_soak::role::serve().expect("the role can be served");
}

fn options(name: &str, seed: u64, seconds: u64) -> Options {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_pewterwharf-mixer"));
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{name}-{}-{seed}", std::process::id()));
    Options::new(&program, &ROLE, folder, seed, seconds)
}

/// Plays a run and prints what came of it.
fn soak(options: &Options) -> Verdict {
    let verdict = play(options).expect("the run can be played");
    let Verdict { requests, served, refused, failed, crossed, attempts, troubles, restarts, .. } = &verdict;
    println!(
        "seed {}: {requests} requests, {served} served, {refused} refused, {failed} failed, {crossed} crossed a close; \
         {attempts} attempts; {troubles} faults, {restarts} ends of mixers; known {}; broken {:?}",
        options.seed,
        verdict.known.len(),
        verdict.by_rule()
    );
    for violation in verdict.violations.iter().take(PRINTED) {
        println!("  {} at {:.0}: {}", violation.rule, violation.at, violation.what);
    }
    if verdict.violations.is_empty() {
        let _ = std::fs::remove_dir_all(&options.folder); // its records are only for whoever looks a failure up
    } else {
        println!("  records and logs: {}", options.folder.display());
    }
    verdict
}

#[test]
#[ignore = "many seeds take minutes"]
fn many_seeds() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..10".to_owned());
    let (from, to) = seeds.split_once("..").expect("a range of seeds");
    let (from, to): (u64, u64) = (from.parse().expect("a seed"), to.parse().expect("a seed"));
    let seconds = std::env::var("SOAK_SECONDS").ok().and_then(|text| text.parse().ok()).unwrap_or(20);
    let faults = std::env::var_os("SOAK_SHIM").is_some();
    let breaks = |seed: &u64| {
        let options = Options {
            faults,
            narrow: seed.is_multiple_of(2),
            holds: seed % 4 == 3,
            halves: seed % 5 == 2,
            ..options("many", *seed, seconds)
        };
        !soak(&options).violations.is_empty()
    };
    let broken: Vec<u64> = (from..=to).filter(breaks).collect();
    assert!(broken.is_empty(), "seeds that broke a promise: {broken:?}");
}

#[test]
fn calm_run_keeps_every_promise() {
    let calm = Options { troubles: Some(Vec::new()), ..options("calm", 1, 4) };
    let verdict = soak(&calm);
    assert!(verdict.violations.is_empty(), "{:?}", verdict.by_rule());
    let stayed = verdict.requests - verdict.left;
    assert!(verdict.served * 100 >= stayed * 98, "{} of {stayed} served", verdict.served);
}
#[test]
fn restart_while_searchers_hang_keeps_every_promise() {
    let troubles = vec![
        (500, Trouble::SearcherPaused { searcher: 0, ms: 2500 }),
        (600, Trouble::SearcherPaused { searcher: 5, ms: 2500 }),
        (800, Trouble::MixerEnds { mixer: 0, front_ms: 300 }),
        (900, Trouble::AgentDown { mixer: 0, ms: 600 }),
    ];
    let restart = Options { troubles: Some(troubles), ..options("restart", 2, 4) };
    let verdict = soak(&restart);
    assert!(verdict.violations.is_empty(), "{:?}", verdict.by_rule());
}

#[test]
fn drains_while_a_mixer_stands_still_keep_every_promise() {
    let mut troubles = Vec::new();
    for round in 0..3 {
        let at = 500 + 1500 * round;
        let (mixer, searcher) = (round as usize, 4 * round as usize);
        troubles.push((at, Trouble::MixerPaused { mixer, ms: 700 }));
        for nth in 0..4 {
            let searcher = (searcher + nth) % 12;
            troubles
                .push((at + 60 + 30 * nth as u64, Trouble::SearcherReplaced { searcher, drains_ms: 1200 }));
        }
    }
    let drains = Options { troubles: Some(troubles), ..options("drains", 3, 6) };
    let verdict = soak(&drains);
    assert!(verdict.violations.is_empty(), "{:?}", verdict.by_rule());
}

#[test]
fn hand_over_with_a_reload_keeps_every_promise() {
    let troubles = vec![
        (500, Trouble::AgentSilent { mixer: 1, ms: 1500 }),
        (700, Trouble::MixerHandsOver { mixer: 1, after_ms: 300 }),
        (1100, Trouble::MixerReloads { mixer: 1, signals: 3 }),
        (1200, Trouble::SearcherReplaced { searcher: 3, drains_ms: 800 }),
        (2400, Trouble::MixerHandsOver { mixer: 2, after_ms: 600 }),
        (2500, Trouble::SearcherPaused { searcher: 2, ms: 1500 }),
    ];
    let hand_over = Options { troubles: Some(troubles), ..options("hand-over", 4, 6) };
    let verdict = soak(&hand_over);
    assert!(verdict.violations.is_empty(), "{:?}", verdict.by_rule());
}

/// Guards against a drain that ends over a request of which only the first half was read.
#[test]
fn requests_in_halves_across_drains_are_all_answered() {
    let mut troubles = vec![(400, Trouble::ClientsCrowd { mixer: 3, count: 40, ms: 1500 })];
    for (nth, mixer) in [0, 1, 2, 3].into_iter().enumerate() {
        troubles.push((600 + 500 * nth as u64, Trouble::MixerEnds { mixer, front_ms: 300 }));
    }
    let halves = Options { troubles: Some(troubles), halves: true, ..options("halves", 8, 6) };
    let verdict = soak(&halves);
    assert!(verdict.violations.is_empty(), "{:?}", verdict.by_rule());
}

#[test]
fn failing_system_calls_beside_a_restart_keep_every_promise() {
    let troubles = vec![
        (500, Trouble::MixerEnds { mixer: 0, front_ms: 250 }),
        (600, Trouble::SearcherPaused { searcher: 1, ms: 1200 }),
        (1500, Trouble::ClientsLeave { mixer: 2 }),
        (1600, Trouble::MixerReloads { mixer: 2, signals: 2 }),
        (1700, Trouble::SearcherReplaced { searcher: 4, drains_ms: 600 }),
    ];
    let failing = Options { troubles: Some(troubles), faults: true, ..options("failing", 5, 4) };
    let verdict = soak(&failing);
    assert!(verdict.accepts_failed > 0, "the library was loaded");
    assert!(verdict.violations.is_empty(), "{:?}", verdict.by_rule());
}

#[test]
fn threads_held_up_after_their_looks_at_the_clock_keep_every_promise() {
    let troubles = vec![
        (500, Trouble::ClientsLeave { mixer: 0 }),
        (700, Trouble::SearcherReplaced { searcher: 2, drains_ms: 900 }),
        (900, Trouble::ClientsLeave { mixer: 1 }),
        (1100, Trouble::SearcherPaused { searcher: 5, ms: 1500 }),
        (1400, Trouble::ClientsLeave { mixer: 2 }),
        (1800, Trouble::SearcherReplaced { searcher: 7, drains_ms: 900 }),
        (2000, Trouble::MixerEnds { mixer: 3, front_ms: 300 }),
        (2600, Trouble::ClientsLeave { mixer: 4 }),
    ];
    let holds = Options { troubles: Some(troubles), holds: true, ..options("holds", 7, 4) };
    let verdict = soak(&holds);
    assert!(verdict.violations.is_empty(), "{:?}", verdict.by_rule());
}

#[test]
fn stops_between_writes_beside_searchers_that_read_nothing_keep_every_promise() {
    let deaf = |proxy: usize| Trouble::ProxyPasses { proxy, passing: Passing::Deaf, ms: 3500 };
    let mut troubles = vec![(400, deaf(0)), (450, deaf(2))];
    for (round, mixer) in [0, 1, 2, 3].into_iter().enumerate() {
        let at = 700 + 700 * round as u64;
        troubles.push((at, Trouble::MixerStutters { mixer, count: 8, ms: 200, apart_ms: 20 }));
        troubles.push((at + 300, Trouble::ClientsLeave { mixer }));
    }
    let stops = Options { troubles: Some(troubles), narrow: true, ..options("stops", 6, 5) };
    let verdict = soak(&stops);
    assert!(verdict.links_blocked > 0, "no write waited");
    assert!(verdict.violations.is_empty(), "{:?}", verdict.by_rule());
}
