//! Requests that wait before the mixer processes them: to be accepted, to be registered with the poll, or
//! behind another request. The time that searchers are given is at most what the client has left, measured at
//! the mixer's own writes.

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

mod harness;
use harness::*;

/// The time that a searcher is given may exceed what its client has left by this much.
const SLACK_MS: f64 = 150.0;
/// The deadline of [`scan_request`].
const DEADLINE_MS: f64 = 1000.0;

/// A mixer that records its own writes.
struct RecordingMixer {
    mixer: Mixer,
    /// The path of the record.
    record: PathBuf,
}

/// Requests that were sent.
struct SentRequests {
    /// When each request was sent, by its id.
    sent_at: HashMap<String, f64>,
    answers: Vec<String>,
}

/// Starts a mixer with this setting of the library that delays or fails system calls.
fn start_recording(name: &str, shim_setting: &str, behaviors: &[SearcherBehavior]) -> RecordingMixer {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let library = |library| build_library(library, &folder).expect("the library can be built");
    let (accepts, sends) = (library(ShimLibrary::Accepts), library(ShimLibrary::Sends));
    let record = folder.join(format!("notes-{name}-{}.jsonl", std::process::id()));
    let _ = std::fs::remove_file(&record); // from an earlier run
    let shell_command = format!(
        "export {shim_setting} SHIM_SENDS={} LD_PRELOAD={}:{}",
        record.display(),
        accepts.display(),
        sends.display()
    );
    RecordingMixer { mixer: start_after_command(&shell_command, EXAMPLE_CONFIG, None, behaviors), record }
}

/// Descriptions of the parts whose searchers were given more time than the client had left, beyond the slack.
fn excessive_timeouts(record: &Path, sent_at: &HashMap<String, f64>) -> Vec<String> {
    let text = std::fs::read_to_string(record).expect("the record can be read");
    let mut excessive = Vec::new();
    for line in text.lines() {
        let Event::Written { at, part, timeout_ms } = serde_json::from_str(line).expect("an event") else {
            continue;
        };
        let Some(sent_at) = part.split('.').next().and_then(|id| sent_at.get(id)) else { continue };
        let left_ms = DEADLINE_MS - (at - sent_at);
        if timeout_ms > left_ms + SLACK_MS {
            excessive.push(format!("{part} was given {timeout_ms:.0} ms where {left_ms:.0} were left"));
        }
    }
    assert!(text.contains("Written"), "no write was recorded");
    excessive
}

/// Sends requests on new connections, at this interval and without waiting for answers.
fn send_requests(mixer: &Mixer, count: usize, interval: Duration) -> SentRequests {
    let address = mixer.address;
    thread::scope(|scope| {
        let mut clients = Vec::new();
        for nth in 0..count {
            clients.push(scope.spawn(move || {
                let mut client = TcpStream::connect(address).expect("the kernel accepts");
                client.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
                let id = format!("q{nth}");
                client
                    .write_all(scan_request("lookup", 1).replace("q1", &id).as_bytes())
                    .expect("the connection accepts bytes");
                (id, now_ms(), read_answer(&client))
            }));
            thread::sleep(interval);
        }
        let mut requests = SentRequests { sent_at: HashMap::new(), answers: Vec::new() };
        for client in clients {
            let (id, at, answer) = client.join().expect("the request is answered");
            requests.sent_at.insert(id, at);
            requests.answers.push(answer);
        }
        requests
    })
}

/// Guards against a deadline that counts from when a request was read, although the request waited while
/// `accept` failed.
#[test]
fn deadlines_while_accepts_fail() {
    let RecordingMixer { mixer, record } =
        start_recording("accepts", "SHIM_ACCEPTS_FAIL=1200,400", &[SearcherBehavior::Answers]);
    let SentRequests { sent_at, answers } = send_requests(&mixer, 150, Duration::from_millis(20));
    let excessive = excessive_timeouts(&record, &sent_at);
    assert!(
        excessive.is_empty(),
        "{} of {} parts: {:?}",
        excessive.len(),
        sent_at.len(),
        &excessive[..excessive.len().min(5)]
    );
    let served = answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 200")).count();
    assert!(served * 100 >= answers.len() * 95, "{served} of {} served", answers.len());
}

/// Guards against a reset connection and a wrong deadline when a connection can't be registered with the poll
/// at once.
#[test]
fn deadlines_while_poll_registration_fails() {
    let RecordingMixer { mixer, record } =
        start_recording("registers", "SHIM_REGISTERS_FAIL=600,300", &[SearcherBehavior::Answers]);
    let SentRequests { sent_at, answers } = send_requests(&mixer, 100, Duration::from_millis(20));
    let excessive = excessive_timeouts(&record, &sent_at);
    assert!(
        excessive.is_empty(),
        "{} of {} parts: {:?}",
        excessive.len(),
        sent_at.len(),
        &excessive[..excessive.len().min(5)]
    );
    assert!(answers.iter().all(|answer| answer.starts_with("HTTP/1.1 200")), "{answers:?}");
}

/// Guards against missing the rest of a request, or the end of its client, on a connection that the poll does
/// not report.
#[test]
fn unregistered_connections() {
    let RecordingMixer { mixer, .. } =
        start_recording("unpolled", "SHIM_REGISTERS_FAIL=1000,1000", &[SearcherBehavior::Hangs]);
    let mut client = mixer.connect();
    let request = scan_request("lookup", 1);
    let (first, rest) = request.split_at(request.len() / 2);
    client.write_all(first.as_bytes()).expect("the connection accepts bytes");
    thread::sleep(Duration::from_millis(100));
    client.write_all(rest.as_bytes()).expect("the connection accepts bytes");
    let next_frame = || mixer.frames.recv_timeout(TIMEOUT).expect("a frame");
    while !next_frame().starts_with("D q1.0") {}
    drop(client);
    while !next_frame().starts_with("K q1.0") {}
}

/// Guards against a deadline that counts from when a request's turn comes, although it was read behind
/// another one.
#[test]
fn deadline_of_pipelined_request() {
    const WORK_MS: u64 = 600;
    let RecordingMixer { mixer, record } =
        start_recording("behind", "SHIM_ACCEPTS_FAIL=1000,0", &[SearcherBehavior::AnswersAfterMs(WORK_MS)]);
    let mut client = mixer.connect();
    client.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
    let both = format!("{}{}", scan_request("lookup", 1), scan_request("lookup", 1).replace("q1", "q2"));
    client.write_all(both.as_bytes()).expect("the connection accepts bytes");
    let sent_at = HashMap::from([("q1".to_owned(), now_ms()), ("q2".to_owned(), now_ms())]);
    let mut input = BufReader::new(&client);
    assert!(read_next_answer(&mut input).starts_with("HTTP/1.1 200"));
    read_next_answer(&mut input); // too little time is left for the second request
    let excessive = excessive_timeouts(&record, &sent_at);
    assert!(excessive.is_empty(), "{excessive:?}");
}

/// The thread that reads a request is delayed after one of its clock reads. Guards against a deadline that counts from the
/// end of the delay: the time that is left and the time from which it counts must come from one clock read.
#[test]
fn deadline_after_delay_of_reading_thread() {
    const DELAY_MS: u64 = 400;
    for clock_read in 1..=4 {
        let setting = format!(
            "SHIM_ACCEPTS_FAIL=1000,0 SHIM_HOLDS_READER_OF=q1 SHIM_HOLDS={clock_read} SHIM_HOLD_MS={DELAY_MS}"
        );
        let name = format!("delayed-reader-{clock_read}");
        let RecordingMixer { mixer, record } = start_recording(&name, &setting, &[SearcherBehavior::Answers]);
        let mut client = mixer.connect();
        client.write_all(scan_request("lookup", 1).as_bytes()).expect("the connection accepts bytes");
        let sent_at = HashMap::from([("q1".to_owned(), now_ms())]);
        read_answer(&client);
        let excessive = excessive_timeouts(&record, &sent_at);
        assert!(excessive.is_empty(), "clock read {clock_read}: {excessive:?}");
    }
}
