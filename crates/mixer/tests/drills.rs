//! Drills: several mixer processes with faults between them, as scripted in `drills/*.lisp`. An expectation
//! is checked until it holds or its time is over; no test relies on a fixed sleep.

use std::path::PathBuf;

use pewterwharf_drill::{Options, Script, run};

const FLEET_SCRIPTS: &str = include_str!("drills/fleet.lisp");

fn options(seed: u64) -> Options {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_pewterwharf-mixer"));
    Options { program, seed, keep: None, alone: false }
}

/// Runs the drill with this title; all its expectations must hold.
fn check_drill(title: &str) {
    let scripts = Script::read(FLEET_SCRIPTS).unwrap_or_else(|error| panic!("drills/fleet.lisp:{error}"));
    let script =
        scripts.iter().find(|script| script.title == title).unwrap_or_else(|| panic!("no drill {title:?}"));
    let report = run(script, &options(1)).expect("the drill can be run");
    assert!(report.held(), "{report}");
}

macro_rules! drills {
    ($($name:ident: $title:literal,)*) => {
        $(#[test]
        fn $name() {
            check_drill($title);
        })*

        #[test]
        fn script_titles() {
            let titles: Vec<String> = Script::read(FLEET_SCRIPTS).expect("the scripts can be parsed").into_iter().map(|script| script.title).collect();
            assert_eq!(titles, [$($title),*]);
        }
    };
}

drills! {
    partition: "partition of the fleet",
    one_way_loss: "one-way message loss",
    ring_of_cuts: "ring of partial cuts",
    long_stall: "stall longer than all timeouts",
    flapping_link: "flapping link",
    killed_while_catching_up: "killed while catching up",
    outdated_catch_up_source: "outdated source for catching up",
    all_restarted_together: "all killed and restarted together",
    duplicate_name: "duplicate name",
    corrupted_bytes: "corrupted bytes on links",
    drain_without_discovery: "drain while a mixer has no discovery",
    graceful_leave: "graceful leave and return",
    slow_links: "slow and delayed links",
    deleted_records: "deleted records stay deleted",
    clock_skew: "clocks an hour apart",
    restart_during_shutdown: "restart while the old process ends",
    kill_behind_half_open_link: "kill behind a half-open link",
}

/// A fleet that stays partitioned can't agree, and scans without a searcher are not answered: the drill must
/// report both.
#[test]
fn failed_expectations() {
    let text = r#"(drill "permanent partition" (mixers 3) (searchers 4) (load 20)
        (at 200ms (partition (m1) (m2 m3))) (at 300ms (die s1)) (at 300ms (die s2)) (at 300ms (die s3)) (at 300ms (die s4))
        (expect (members 3 (within 6s))) (expect (members 2 (within 1s))) (expect (answered 0.9)))"#;
    let script = Script::read(text).expect("the script can be parsed").remove(0);
    let report = run(&script, &options(1)).expect("the drill can be run");
    // The invariants hold despite the partition and the dead searchers.
    assert_eq!(report.violations, [], "{report}");
    // m1 sees only itself and the others see two members: at no time do all see the same two.
    assert!(
        !report.expectations.iter().find(|m| m.expect.starts_with("(members 2")).is_some_and(|m| m.held),
        "{report}"
    );
    assert!(
        !report.expectations.iter().find(|m| m.expect.starts_with("(answered")).is_some_and(|m| m.held),
        "{report}"
    );
    assert!(!report.held() && report.to_string().contains("DID NOT HOLD"));
}
