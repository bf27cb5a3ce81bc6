//! Requests that wait before the mixer takes them up: to be accepted, to be polled, or behind another. What searchers are told is no
//! more than their clients have left, by the mixer's own writes.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use pewterwharf_soak::clock::now_ms;
use pewterwharf_soak::process::{ShimLibrary, build_library};
use pewterwharf_soak::record::Event;
use pewterwharf_standins::SearcherBehavior;

mod rig;
use rig::*;

/// Of the terms: what a searcher is told may be more than its client has left by so much.
const SLACK_MS: f64 = 150.0;
const DEADLINE_MS: f64 = 1000.0;

/// A mixer that notes its own writes, with this setting of the library that makes connections come up late.
fn start_noted(name: &str, setting: &str, manners: &[SearcherBehavior]) -> (Mixer, PathBuf) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let library = |library| build_library(library, &folder).expect("the library can be built");
    let (accepts, sends) = (library(ShimLibrary::Accepts), library(ShimLibrary::Sends));
    let notes = folder.join(format!("notes-{name}-{}.jsonl", std::process::id()));
    let _ = std::fs::remove_file(&notes); // of an earlier run
    let before = format!(
        "export {setting} SHIM_SENDS={} LD_PRELOAD={}:{}",
        notes.display(),
        accepts.display(),
        sends.display()
    );
    (start_after(&before, EXAMPLE, None, manners), notes)
}

/// The parts that were told more than their clients had left by over the slack; `sent`: when each request was.
fn told_too_much(notes: &Path, sent: &HashMap<String, f64>) -> Vec<String> {
    let text = std::fs::read_to_string(notes).expect("the notes");
    let mut found = Vec::new();
    for line in text.lines() {
        let Event::Written { at, part, timeout_ms: told_ms } = serde_json::from_str(line).expect("an event")
        else {
            continue;
        };
        let Some(sent_at) = part.split('.').next().and_then(|id| sent.get(id)) else { continue };
        let left_ms = DEADLINE_MS - (at - sent_at);
        if told_ms > left_ms + SLACK_MS {
            found.push(format!("{part} told {told_ms:.0} ms where {left_ms:.0} are left"));
        }
    }
    assert!(text.contains("Written"), "no write was noted");
    found
}

/// Asks on new connections, one after the other and without waiting; when each was sent, and what it was answered.
fn ask_again_and_again(mixer: &Mixer, count: usize, apart: Duration) -> (HashMap<String, f64>, Vec<String>) {
    let addr = mixer.addr;
    thread::scope(|scope| {
        let mut asking = Vec::new();
        for nth in 0..count {
            asking.push(scope.spawn(move || {
                let mut client = TcpStream::connect(addr).expect("the mixer's machine accepts");
                client.set_read_timeout(Some(CEILING)).expect("a time-out");
                let id = format!("q{nth}");
                client.write_all(scan("lookup", 1).replace("q1", &id).as_bytes()).expect("it takes bytes");
                (id, now_ms(), answer(&client))
            }));
            thread::sleep(apart);
        }
        let (mut sent, mut answers) = (HashMap::new(), Vec::new());
        for client in asking {
            let (id, at, answer) = client.join().expect("it is answered");
            sent.insert(id, at);
            answers.push(answer);
        }
        (sent, answers)
    })
}

/// Guards against a deadline that counts from when a request was read though it waited while accepting failed.
#[test]
fn requests_that_wait_while_accepts_fail_are_told_no_more_time_than_is_left() {
    let (mixer, notes) = start_noted("accepts", "SHIM_ACCEPTS_FAIL=1200,400", &[SearcherBehavior::Answers]);
    let (sent, answers) = ask_again_and_again(&mixer, 150, Duration::from_millis(20));
    let found = told_too_much(&notes, &sent);
    assert!(found.is_empty(), "{} of {} parts: {:?}", found.len(), sent.len(), &found[..found.len().min(5)]);
    let served = answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 200")).count();
    assert!(served * 100 >= answers.len() * 95, "{served} of {} served", answers.len());
}

/// Guards against a connection that is reset, and a deadline that is wrong, as it can't be registered with the poll at once.
#[test]
fn requests_on_connections_that_cannot_be_polled_are_answered() {
    let (mixer, notes) =
        start_noted("registers", "SHIM_REGISTERS_FAIL=600,300", &[SearcherBehavior::Answers]);
    let (sent, answers) = ask_again_and_again(&mixer, 100, Duration::from_millis(20));
    let found = told_too_much(&notes, &sent);
    assert!(found.is_empty(), "{} of {} parts: {:?}", found.len(), sent.len(), &found[..found.len().min(5)]);
    assert!(answers.iter().all(|answer| answer.starts_with("HTTP/1.1 200")), "{answers:?}");
}

/// Guards against a request that comes in pieces, or is followed by its client's end, on a connection that the poll does not tell of.
#[test]
fn connections_that_cannot_be_polled_are_read_on() {
    let (mixer, _) = start_noted("unpolled", "SHIM_REGISTERS_FAIL=1000,1000", &[SearcherBehavior::Hangs]);
    let mut client = mixer.connect();
    let request = scan("lookup", 1);
    let (first, rest) = request.split_at(request.len() / 2);
    client.write_all(first.as_bytes()).expect("it takes bytes");
    thread::sleep(Duration::from_millis(100));
    client.write_all(rest.as_bytes()).expect("it takes bytes");
    let next_frame = || mixer.heard.recv_timeout(CEILING).expect("a frame");
    while !next_frame().starts_with("D q1.0") {}
    drop(client);
    while !next_frame().starts_with("K q1.0") {}
}

/// Guards against a deadline that counts from when a request's turn comes though it was read behind another.
#[test]
fn requests_behind_another_are_told_no_more_time_than_is_left() {
    const WORK_MS: u64 = 600;
    let (mixer, notes) =
        start_noted("behind", "SHIM_ACCEPTS_FAIL=1000,0", &[SearcherBehavior::AnswersAfterMs(WORK_MS)]);
    let mut client = mixer.connect();
    client.set_read_timeout(Some(CEILING)).expect("a time-out");
    let both = format!("{}{}", scan("lookup", 1), scan("lookup", 1).replace("q1", "q2"));
    client.write_all(both.as_bytes()).expect("it takes bytes");
    let sent = HashMap::from([("q1".to_owned(), now_ms()), ("q2".to_owned(), now_ms())]);
    let mut input = BufReader::new(&client);
    assert!(next_answer(&mut input).starts_with("HTTP/1.1 200"));
    next_answer(&mut input); // there is not enough time left for it
    let found = told_too_much(&notes, &sent);
    assert!(found.is_empty(), "{found:?}");
}
