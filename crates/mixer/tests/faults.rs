//! Faults that the hunt before production found, each forced by itself: see `docs/incidents/`.

use std::io::{ErrorKind, Read, Write};
use std::time::Duration;

use pewterwharf_standins::Manner;

mod rig;
use rig::*;

/// A client has so long to begin a request once connected, and a resting one is looked at after it.
const QUIET: Duration = Duration::from_millis(2000);

#[test]
fn line_end_behind_a_request_leaves_its_client_at_rest() {
    let mixer = start(&[Manner::Answers]);
    let mut client = mixer.connect();
    write!(client, "{}\r\n", scan("entry", 1)).expect("it takes bytes");
    assert!(answer(&client).starts_with("HTTP/1.1 200 OK"));
    client.set_read_timeout(Some(QUIET + QUIET / 2)).expect("a time-out");
    let rested = client.read(&mut [0]).expect_err("nothing comes while it rests");
    assert!(matches!(rested.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{rested}");
    write!(client, "{}", scan("entry", 1).replace("q1", "q2")).expect("it takes bytes");
    assert!(answer(&client).starts_with("HTTP/1.1 200 OK"));
}
