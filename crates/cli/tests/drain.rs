//! The trial of a drain, as anybody can start it.

use std::process::Command;

#[test]
fn the_trial_of_a_drain_shows_the_withdrawals_first_and_loses_no_scan() {
    let ended = Command::new(env!("CARGO_BIN_EXE_pewterwharf"))
        .args(["try", "--bgp", "--scans", "2", "--hung", "0"])
        .output()
        .expect("it starts");
    let told = String::from_utf8_lossy(&ended.stdout);
    assert_eq!(ended.status.code(), Some(0), "{told}");
    let place = |words: &str| told.find(words).unwrap_or_else(|| panic!("no {words:?} in {told}"));
    let order = [
        "the peer heard announce 198.51.100.1\n",
        "SIGTERM",
        "path of 3, depreferenced",
        "withdraw 198.51.100.2/32",
        "a connection was refused for the first time",
        "notification CeaseError(AdministrativeShutdown",
        "the mixer has ended",
        "withdrawn before the first refusal: yes",
    ];
    assert!(order.windows(2).all(|two| place(two[0]) < place(two[1])), "{told}");
}

#[test]
fn a_mixer_without_a_console_can_t_be_asked() {
    let ended = Command::new(env!("CARGO_BIN_EXE_pewterwharf"))
        .args(["bgp", "show", "--console", "/nowhere/at/all"])
        .output()
        .expect("it starts");
    assert_eq!(ended.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&ended.stderr).contains("asking /nowhere/at/all"));
}
