//! What stands between the decision to send a call and its first byte: stops of the process, and searchers that take nothing.

use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use pewterwharf_soak::fleet::{Library, build_library};
use pewterwharf_standins::{self as standins, Manner};

mod rig;
use rig::*;

/// Parts of the query in whose midst the process stops.
const PARTS: u32 = 8;
/// Long enough for every grace of the rules to be over.
const STOPPED: Duration = Duration::from_millis(800);
/// In so long a process that goes on has sent what it will.
const GOES_ON: Duration = Duration::from_millis(400);

/// Has the shell load the library that watches sends, with this setting.
fn loads(setting: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let library = build_library(Library::Sends, &folder).expect("the library can be built");
    format!("export {setting} LD_PRELOAD={}", library.display())
}

/// A mixer that has stopped itself once the first of the calls of one query was written, and the client of that query.
fn stopped_between_two_calls(searchers: usize, deadline_ms: u32) -> (Mixer, TcpStream) {
    let manners = vec![Manner::Answers; searchers];
    let mixer = start_after(&loads("SHIM_STOPS_AFTER=stops"), EXAMPLE, None, &manners);
    let client = mixer.connect();
    // Its links are up from here on.
    write!(&client, "{}", scan("entry", PARTS)).expect("it takes bytes");
    assert!(answer(&client).starts_with("HTTP/1.1 200 OK"));
    let request = scan("entry", PARTS)
        .replace("q1", "stops")
        .replace("Deadline-Ms: 1000", &format!("Deadline-Ms: {deadline_ms}"));
    write!(&client, "{request}").expect("it takes bytes");
    while !mixer.heard.recv_timeout(CEILING).expect("a frame").starts_with("D stops.") {}
    (mixer, client)
}

/// The calls that are sent once it goes on, and the time that they tell, as of then.
fn calls_after_the_stop(mixer: &Mixer) -> Vec<(String, u64)> {
    thread::sleep(Duration::from_millis(20)); // what it wrote before has arrived
    while mixer.heard.try_recv().is_ok() {}
    mixer.signal("CONT");
    let goes_on = Instant::now();
    let mut calls = Vec::new();
    while goes_on.elapsed() < GOES_ON {
        let Ok(frame) = mixer.heard.recv_timeout(Duration::from_millis(50)) else { continue };
        let Some(call) = frame.strip_prefix("D ") else { continue };
        let told = call.split("d=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        calls.push((call.to_owned(), told.expect("a deadline")));
    }
    calls
}

#[test]
fn calls_of_one_step_are_not_sent_after_a_stop_between_them_for_a_client_that_left() {
    let (mixer, client) = stopped_between_two_calls(2, 1000);
    drop(client);
    thread::sleep(STOPPED);
    let calls = calls_after_the_stop(&mixer);
    assert!(calls.is_empty(), "{} calls for a client that left: {calls:?}", calls.len());
}

#[test]
fn calls_of_one_step_tell_no_time_that_a_stop_between_them_has_used_up() {
    let (mixer, _client) = stopped_between_two_calls(2, 300);
    thread::sleep(STOPPED);
    let calls = calls_after_the_stop(&mixer);
    assert!(calls.is_empty(), "{} calls after the client's time: {calls:?}", calls.len());
    let (mixer, _client) = stopped_between_two_calls(2, 1900);
    thread::sleep(STOPPED);
    let calls = calls_after_the_stop(&mixer);
    let most = 1900 - STOPPED.as_millis() as u64;
    assert!(calls.iter().all(|(_, told)| *told <= most), "told more than {most} ms: {calls:?}");
}

#[test]
fn calls_of_one_step_are_not_sent_to_searchers_that_drain_in_a_stop_between_them() {
    let (mixer, _client) = stopped_between_two_calls(2, 1900);
    let drain: Vec<_> = mixer.searchers.iter().map(|(address, _)| (*address, "draining")).collect();
    mixer.lists.tell(standins::list(2, false, &drain));
    thread::sleep(STOPPED);
    let calls = calls_after_the_stop(&mixer);
    assert!(calls.is_empty(), "{} calls to searchers that drain: {calls:?}", calls.len());
}
