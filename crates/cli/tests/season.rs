//! The command line run on the files under `examples/season`.

use std::process::Command;

use insta::assert_snapshot;

/// Runs the program and returns its output and exit status.
fn pewterwharf(line: &str) -> (String, Option<i32>) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pewterwharf"));
    command.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    let output = command.args(line.split_whitespace()).output().expect("the program starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (text(&output.stdout) + &text(&output.stderr), output.status.code())
}

#[test]
fn check_and_replay() {
    let json = std::env::temp_dir().join(format!("season-{}.json", std::process::id()));
    let junit = json.with_extension("xml");
    let files = format!("--json {} --junit {}", json.display(), junit.display());
    let (printed, status) = pewterwharf(&format!("check examples/season/expectations.lisp {files}"));
    assert_eq!(status, Some(1));
    assert_snapshot!(printed);
    let xml = std::fs::read_to_string(&junit).expect("the file was written");
    assert!(xml.contains("tests=\"18\" failures=\"2\" errors=\"0\""), "{xml}");
    let mut replay = Command::new(env!("CARGO_BIN_EXE_pewterwharf"));
    replay.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    replay.args(["check", "replay", "examples/season/expectations.lisp", "fresh only", "--json"]).arg(&json);
    let output = replay.output().expect("the program starts");
    assert_eq!(output.status.code(), Some(1));
    let replayed = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        replayed.lines().count() > 3 && replayed.lines().all(|line| printed.contains(line)),
        "{replayed}"
    );
    for file in [json, junit] {
        std::fs::remove_file(file).expect("the file was written");
    }
}

#[test]
fn comparison_and_plan() {
    let old = "examples/season/expectations.lisp";
    let against = pewterwharf(&format!("check examples/season/spring.lisp --against {old} --departures 0"));
    let plan = pewterwharf(&format!("check plan --from {old} --to examples/season/spring.lisp"));
    assert_eq!((against.1, plan.1), (Some(0), Some(0)), "{}{}", against.0, plan.0);
    assert_snapshot!(format!("{}\n{}", against.0, plan.0));
}

#[test]
fn unreadable_files() {
    let (printed, status) = pewterwharf("check examples/season/mixer.json");
    assert_eq!((printed.lines().count(), status), (1, Some(2)), "{printed}");
    assert!(printed.starts_with("pewterwharf: examples/season/mixer.json:1:1: "), "{printed}");
    let (printed, status) = pewterwharf("check examples/season/none.lisp");
    assert_eq!(status, Some(2));
    assert!(printed.starts_with("pewterwharf: reading examples/season/none.lisp: "), "{printed}");
}

#[test]
fn trial_without_losses() {
    let (printed, status) = pewterwharf("try --scans 4");
    assert_eq!(status, Some(0), "{printed}");
    assert!(printed.contains("4 of 4 scans answered; the mixer drained and ended"), "{printed}");
    assert_eq!(printed.matches(": 200 after").count(), 4, "{printed}");
}
