//! What stands between the decision to send a call and its first byte: stops of the process, and searchers that take nothing.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use pewterwharf_soak::process::{ShimLibrary, build_library};
use pewterwharf_standins::{self as standins, DiscoveryServer, SearcherBehavior};
use rustix::net::sockopt;

mod rig;
use rig::*;

/// Parts of the query in whose midst the process stops.
const PARTS: u32 = 8;
/// Long enough for every grace of the rules to be over.
const STOPPED: Duration = Duration::from_millis(800);
/// In so long a process that goes on has sent what it will.
const GOES_ON: Duration = Duration::from_millis(400);
/// Buffers as small as the system allows.
const SMALL: usize = 4608;

/// Has the shell load the library that watches sends, with this setting.
fn loads(setting: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let library = build_library(ShimLibrary::Sends, &folder).expect("the library can be built");
    format!("export {setting} LD_PRELOAD={}", library.display())
}

/// A mixer that has stopped itself once the first of the calls of one query was written, and the client of that query.
fn stopped_between_two_calls(searchers: usize, deadline_ms: u32) -> (Mixer, TcpStream) {
    let manners = vec![SearcherBehavior::Answers; searchers];
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
    mixer.lists.publish(standins::discovery_list(2, false, &drain));
    thread::sleep(STOPPED);
    let calls = calls_after_the_stop(&mixer);
    assert!(calls.is_empty(), "{} calls to searchers that drain: {calls:?}", calls.len());
}

#[test]
fn request_that_comes_while_the_mixer_stands_still_is_told_no_more_time_than_its_client_has_left() {
    const DEADLINE_MS: u64 = 1500;
    const SLACK_MS: u64 = 150;
    for is_known in [true, false] {
        let mixer = start(&[SearcherBehavior::Answers]);
        let known = mixer.connect();
        write!(&known, "{}", scan("entry", 1)).expect("it takes bytes");
        assert!(answer(&known).starts_with("HTTP/1.1 200 OK"));
        thread::sleep(Duration::from_millis(700)); // nothing happens
        mixer.signal("STOP");
        let client = if is_known { known } else { mixer.connect() };
        let request = scan("entry", 1)
            .replace("q1", "stops")
            .replace("Deadline-Ms: 1000", &format!("Deadline-Ms: {DEADLINE_MS}"));
        write!(&client, "{request}").expect("it takes bytes");
        thread::sleep(STOPPED);
        for (call, told_ms) in calls_after_the_stop(&mixer) {
            let most = DEADLINE_MS - STOPPED.as_millis() as u64 + SLACK_MS;
            assert!(told_ms <= most, "known before: {is_known}, told more than {most} ms: {call:?}");
        }
    }
}

#[test]
fn call_is_not_sent_for_a_client_that_leaves_while_the_mixer_is_held_up_after_its_look_at_the_clock() {
    const HELD_MS: u64 = 400;
    for look in 1..=6 {
        let setting = format!("SHIM_STOPS_AFTER=stops SHIM_HOLDS={look} SHIM_HOLD_MS={HELD_MS}");
        let mixer = start_after(
            &loads(&setting),
            EXAMPLE,
            None,
            &[SearcherBehavior::Answers, SearcherBehavior::Answers],
        );
        let client = mixer.connect();
        // Its links are up from here on.
        write!(&client, "{}", scan("entry", PARTS)).expect("it takes bytes");
        assert!(answer(&client).starts_with("HTTP/1.1 200 OK"));
        write!(&client, "{}", scan("entry", PARTS).replace("q1", "stops")).expect("it takes bytes");
        while !mixer.heard.recv_timeout(CEILING).expect("a frame").starts_with("D stops.") {}
        thread::sleep(Duration::from_millis(20)); // what was written before the hold has arrived
        while mixer.heard.try_recv().is_ok() {}
        drop(client);
        let left = Instant::now();
        while left.elapsed() < Duration::from_millis(2 * HELD_MS) {
            let frame = mixer.heard.recv_timeout(Duration::from_millis(50));
            let late = frame.is_ok_and(|frame| frame.starts_with("D ")) && left.elapsed().as_millis() > 100;
            assert!(!late, "look {look}: a call goes out {:?} after its client left", left.elapsed());
        }
    }
}

#[test]
fn connection_that_comes_up_after_its_client_has_left_is_sent_no_call() {
    // No connection fits into its backlog but one; the system tries again after a second.
    let listener = port();
    rustix::net::listen(&listener, 0).expect("a backlog");
    let address = listener.local_addr().expect("an address");
    let held = TcpStream::connect(address).expect("the one that fits");
    let mixer = start_towards("true", &[address], "late-connection", |config| {
        config["settings"]["permissions"]["connect_timeout_ms"] = 4000.0.into();
    });
    let client = mixer.connect();
    write!(&client, "{}", with_text("late", 1, "find")).expect("it takes bytes");
    thread::sleep(Duration::from_millis(300));
    drop(client);
    thread::sleep(Duration::from_millis(200));
    drop(held);
    let _held = accept(&listener);
    let link = accept(&listener);
    link.set_read_timeout(Some(Duration::from_millis(500))).expect("a time-out");
    let mut bytes = [0; 1024];
    let count = (&link).read(&mut bytes).unwrap_or(0);
    assert!(!bytes[..count].starts_with(b"\0\0\0") || bytes[4] != b'D', "a call for a client that left");
}

/// A listener whose connections take a few kilobytes ahead of who reads them.
fn narrow_port() -> TcpListener {
    let listener = port();
    sockopt::set_socket_recv_buffer_size(&listener, SMALL).expect("a buffer");
    listener
}

/// A mixer with small buffers towards these searchers, once it is ready.
fn start_narrow(name: &str, searchers: &[SocketAddr], ranges: usize) -> Mixer {
    let before = loads(&format!("SHIM_SEND_BUFFER={SMALL}"));
    start_towards(&before, searchers, name, |config| {
        config["settings"]["family_info"]["ranges"] = ranges.into();
        config["settings"]["permissions"]["open_cap"] = (4 * ranges + 200).into();
    })
}

/// A mixer towards these searchers with the example's configuration, changed, once it is ready.
fn start_towards(
    before: &str,
    searchers: &[SocketAddr],
    name: &str,
    change: impl FnOnce(&mut serde_json::Value),
) -> Mixer {
    let lists = DiscoveryServer::default();
    let discovery = port();
    let at = discovery.local_addr().expect("an address").to_string();
    lists.serve(discovery);
    let searchers: Vec<_> = searchers.iter().map(|address| (*address, "up")).collect();
    lists.publish(standins::discovery_list(1, true, &searchers));
    let path = config(name, change);
    let (child, mut log, addr) = listens(command(before, &at, &path).spawn().expect("the mixer starts"));
    wait(&mut log, "ready");
    let (_, heard) = mpsc::channel();
    Mixer { child, log, addr, lists, heard, searchers }
}

/// A query of so many parts with this text.
fn with_text(id: &str, parts: u32, text: &str) -> String {
    let list: Vec<_> =
        (0..parts).map(|shard| serde_json::json!({"id": shard, "w": 1.0 / f64::from(parts)})).collect();
    let body = serde_json::json!({"parts": list, "expr": text}).to_string();
    format!(
        "POST /lookup HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n\
         Req-Deadline-Ms: 1900\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads a little at a time, and answers a call once it is whole.
fn reads_slowly(listener: TcpListener) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || drop(serve_slowly(stream)));
        }
    });
}

fn serve_slowly(mut stream: TcpStream) -> std::io::Result<()> {
    let (mut bytes, mut piece) = (Vec::new(), [0; 1024]);
    loop {
        let count = stream.read(&mut piece)?;
        if count == 0 {
            return Ok(());
        }
        bytes.extend_from_slice(&piece[..count]);
        thread::sleep(Duration::from_millis(7)); // longer than any wait of a write
        while let Some(head) = bytes.first_chunk::<4>()
            && let end = 4 + u32::from_be_bytes(*head) as usize
            && bytes.len() >= end
        {
            let frame: Vec<u8> = bytes.drain(..end).collect();
            if frame[4] != b'D' {
                continue;
            }
            let name = frame[5..].split(|byte| *byte == b' ').next().unwrap_or_default();
            let answer = format!("O{} 200 1 -\nvalue", String::from_utf8_lossy(name));
            stream.write_all(&(answer.len() as u32).to_be_bytes())?;
            stream.write_all(answer.as_bytes())?;
        }
    }
}

#[test]
fn searcher_that_reads_slowly_through_small_buffers_gets_its_calls_whole() {
    let listener = narrow_port();
    let address = listener.local_addr().expect("an address");
    reads_slowly(listener);
    let mixer = start_narrow("reads-slowly", &[address], 16);
    let client = mixer.connect();
    for nth in 0..3 {
        write!(&client, "{}", with_text(&format!("slow{nth}"), 1, &"x".repeat(30_000)))
            .expect("it takes bytes");
        let said = answer(&client);
        assert!(said.starts_with("HTTP/1.1 200 OK"), "{said}");
    }
}

#[test]
fn searchers_that_take_nothing_hold_up_no_other_client() {
    const SEARCHERS: usize = 100;
    /// Each of them may cost far less than this; all of them together as little.
    const HELD_UP: Duration = Duration::from_millis(250);
    // Their connections are never accepted, let alone read.
    let listeners: Vec<TcpListener> = (0..SEARCHERS).map(|_| narrow_port()).collect();
    let addresses: Vec<_> = listeners.iter().map(|l| l.local_addr().expect("an address")).collect();
    let mixer = start_narrow("take-nothing", &addresses, SEARCHERS);
    let (wide, other) = (mixer.connect(), mixer.connect());
    write!(&other, "GET /-/healthy HTTP/1.1\r\n\r\n").expect("it takes bytes");
    assert!(answer(&other).starts_with("HTTP/1.1 200 OK"));
    write!(&wide, "{}", with_text("wide", SEARCHERS as u32, &"x".repeat(30_000))).expect("it takes bytes");
    let mut longest = Duration::ZERO;
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(1500) {
        let asked = Instant::now();
        write!(&other, "GET /-/healthy HTTP/1.1\r\n\r\n").expect("it takes bytes");
        assert!(answer(&other).starts_with("HTTP/1.1 200 OK"));
        longest = longest.max(asked.elapsed());
        thread::sleep(Duration::from_millis(2));
    }
    assert!(longest < HELD_UP, "another client waited {longest:?}");
}
