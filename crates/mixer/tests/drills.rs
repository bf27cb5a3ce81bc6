//! Several processes of the mixer, with faults between them, as `drills/*.lisp` say. What is expected waits for what is
//! observed; nothing here sleeps for a time to be enough.

use std::path::PathBuf;

use pewterwharf_drill::{Options, Script, run};

const FLEET: &str = include_str!("drills/fleet.lisp");

fn options(seed: u64) -> Options {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_pewterwharf-mixer"));
    Options { program, seed, keep: None, alone: false }
}

/// Runs the drill of that title; all has to hold.
fn holds(title: &str) {
    let scripts = Script::read(FLEET).unwrap_or_else(|fault| panic!("drills/fleet.lisp:{fault}"));
    let script = scripts.iter().find(|s| s.title == title).unwrap_or_else(|| panic!("no drill {title:?}"));
    let report = run(script, &options(1)).expect("the rig stands");
    assert!(report.held(), "{report}");
}

macro_rules! drills {
    ($($name:ident: $title:literal,)*) => {
        $(#[test]
        fn $name() {
            holds($title);
        })*

        #[test]
        fn every_script_is_a_test() {
            let titles: Vec<String> = Script::read(FLEET).expect("it reads").into_iter().map(|s| s.title).collect();
            assert_eq!(titles, [$($title),*]);
        }
    };
}

drills! {
    half_the_fleet: "half the fleet is cut off",
    one_way: "one hears and is not heard",
    ring_of_cuts: "a ring of partial cuts where no two see the same",
    long_stall: "a stall longer than every time-out, then all that came at once",
    flapping: "a link that flaps",
    killed_while_catching_up: "killed in the midst of catching up",
    source_behind: "a source that is behind itself",
    all_at_once: "all killed and started together",
    same_name_twice: "the same name twice",
    flipped_bytes: "bytes are flipped on a way",
    drain_without_discovery: "a drain is kept by who is cut off from discovery",
    leaving: "one leaves with a word and comes back",
    slow_ways: "slow and late ways",
    forgotten_rows: "rows deleted and forgotten while one was away do not come back",
    stepped_clocks: "hosts whose clocks are an hour apart",
    ends_and_begins: "started again while the process before still ends",
    half_open_and_killed: "killed behind a way that is half open, and started again",
}

/// A fleet that stays cut in two can't agree, and scans that meet nobody are not answered: a rig that says otherwise is worth
/// nothing.
#[test]
fn what_does_not_hold_is_told() {
    let text = r#"(drill "in two" (mixers 3) (searchers 4) (load 20)
        (at 200ms (partition (m1) (m2 m3))) (at 300ms (die s1)) (at 300ms (die s2)) (at 300ms (die s3)) (at 300ms (die s4))
        (expect (members 3 (within 6s))) (expect (members 2 (within 1s))) (expect (answered 0.9)))"#;
    let script = Script::read(text).expect("it reads").remove(0);
    let report = run(&script, &options(1)).expect("the rig stands");
    // What cuts and dead searchers may not do is still held.
    assert_eq!(report.broken, [], "{report}");
    // m1 comes to see itself alone, the others see two: at no time do all see the same two.
    assert!(
        !report.met.iter().find(|m| m.expect.starts_with("(members 2")).is_some_and(|m| m.held),
        "{report}"
    );
    assert!(
        !report.met.iter().find(|m| m.expect.starts_with("(answered")).is_some_and(|m| m.held),
        "{report}"
    );
    assert!(!report.held() && report.to_string().contains("DID NOT HOLD"));
}
