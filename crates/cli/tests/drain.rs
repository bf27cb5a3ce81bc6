//! `pewterwharf try --bgp` and requests to a console.

use std::process::Command;

#[test]
fn drain_trial() {
    let ended = Command::new(env!("CARGO_BIN_EXE_pewterwharf"))
        .args(["try", "--bgp", "--scans", "2", "--hung", "0"])
        .output()
        .expect("the program starts");
    let output_text = String::from_utf8_lossy(&ended.stdout);
    assert_eq!(ended.status.code(), Some(0), "{output_text}");
    let position =
        |text: &str| output_text.find(text).unwrap_or_else(|| panic!("no {text:?} in {output_text}"));
    let order = [
        "the peer received announce 198.51.100.1\n",
        "SIGTERM",
        "path of 3, depreferenced",
        "withdraw 198.51.100.2/32",
        "a connection was refused for the first time",
        "notification CeaseError(AdministrativeShutdown",
        "the mixer has ended",
        "withdrawn before the first refusal: yes",
    ];
    assert!(order.windows(2).all(|two| position(two[0]) < position(two[1])), "{output_text}");
}

#[test]
fn missing_console() {
    let ended = Command::new(env!("CARGO_BIN_EXE_pewterwharf"))
        .args(["bgp", "show", "--console", "/nowhere/at/all"])
        .output()
        .expect("the program starts");
    assert_eq!(ended.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&ended.stderr).contains("asking /nowhere/at/all"));
}
