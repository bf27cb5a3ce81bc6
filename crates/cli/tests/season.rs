//! The command line on the season under `examples/`, as operators run it.

use std::process::Command;

use insta::assert_snapshot;

/// What was printed, and the exit status.
fn pewterwharf(line: &str) -> (String, Option<i32>) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pewterwharf"));
    command.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    let output = command.args(line.split_whitespace()).output().expect("it starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (text(&output.stdout) + &text(&output.stderr), output.status.code())
}

#[test]
fn the_season_s_expectations_are_checked_and_two_fail_with_their_counterexamples() {
    let json = std::env::temp_dir().join(format!("season-{}.json", std::process::id()));
    let junit = json.with_extension("xml");
    let files = format!("--json {} --junit {}", json.display(), junit.display());
    let (told, status) = pewterwharf(&format!("check examples/season/expectations.lisp {files}"));
    assert_eq!(status, Some(1));
    assert_snapshot!(told);
    let xml = std::fs::read_to_string(&junit).expect("it was written");
    assert!(xml.contains("tests=\"18\" failures=\"2\" errors=\"0\""), "{xml}");
    let mut replay = Command::new(env!("CARGO_BIN_EXE_pewterwharf"));
    replay.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    replay.args(["check", "replay", "examples/season/expectations.lisp", "fresh only", "--json"]).arg(&json);
    let output = replay.output().expect("it starts");
    assert_eq!(output.status.code(), Some(1));
    let again = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(again.lines().count() > 3 && again.lines().all(|line| told.contains(line)), "{again}");
    for file in [json, junit] {
        std::fs::remove_file(file).expect("it was written");
    }
}

#[test]
fn the_change_to_spring_is_compared_and_its_moves_are_ordered() {
    let old = "examples/season/expectations.lisp";
    let against = pewterwharf(&format!("check examples/season/spring.lisp --against {old} --departures 0"));
    let plan = pewterwharf(&format!("check plan --from {old} --to examples/season/spring.lisp"));
    assert_eq!((against.1, plan.1), (Some(0), Some(0)), "{}{}", against.0, plan.0);
    assert_snapshot!(format!("{}\n{}", against.0, plan.0));
}

#[test]
fn what_can_t_be_read_exits_with_2_and_says_where() {
    let (told, status) = pewterwharf("check examples/season/mixer.json");
    assert_eq!((told.lines().count(), status), (1, Some(2)), "{told}");
    assert!(told.starts_with("pewterwharf: examples/season/mixer.json:1:1: "), "{told}");
    let (told, status) = pewterwharf("check examples/season/none.lisp");
    assert_eq!(status, Some(2));
    assert!(told.starts_with("pewterwharf: reading examples/season/none.lisp: "), "{told}");
}

#[test]
fn a_mixer_is_tried_in_one_process_and_every_scan_is_answered() {
    let (told, status) = pewterwharf("try --scans 4");
    assert_eq!(status, Some(0), "{told}");
    assert!(told.contains("4 of 4 scans answered; the mixer drained and ended"), "{told}");
    assert_eq!(told.matches(": 200 after").count(), 4, "{told}");
}
