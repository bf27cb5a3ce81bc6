//! Delays between the decision to send a call and its first byte: the process is stopped, or searchers accept
//! no bytes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use pewterwharf_soak::process::{ShimLibrary, build_library};
use pewterwharf_standins::{self as standins, DiscoveryServer, SearcherBehavior};
use rustix::net::sockopt;

mod harness;
use harness::*;

/// Parts of the query during which the process stops.
const PARTS: u32 = 8;
/// Longer than every grace period of the rules.
const STOP_DURATION: Duration = Duration::from_millis(800);
/// A resumed process has sent all that it will send within this time.
const RESUME_DURATION: Duration = Duration::from_millis(400);
/// The smallest buffer that the system allows, in bytes.
const MINIMUM_BUFFER: usize = 4608;

/// A call that a searcher received, and the time that it states for the answer.
#[derive(Debug)]
struct ReceivedCall {
    text: String,
    timeout_ms: u64,
}

/// The shell command that preloads the library that watches sends, with this setting.
fn preload_command(shim_setting: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let library = build_library(ShimLibrary::Sends, &folder).expect("the library can be built");
    format!("export {shim_setting} LD_PRELOAD={}", library.display())
}

/// A mixer that has stopped itself after it has written the first call of a query, and the client of that
/// query.
struct StoppedMixer {
    mixer: Mixer,
    client: TcpStream,
}

fn start_and_stop_between_calls(searchers: usize, deadline_ms: u32) -> StoppedMixer {
    let behaviors = vec![SearcherBehavior::Answers; searchers];
    let shell_command = preload_command("SHIM_STOPS_AFTER=stops");
    let mixer = start_after_command(&shell_command, EXAMPLE_CONFIG, None, &behaviors);
    let client = mixer.connect();
    // After this request the links are connected.
    write!(&client, "{}", scan_request("entry", PARTS)).expect("the connection accepts bytes");
    assert!(read_answer(&client).starts_with("HTTP/1.1 200 OK"));
    let request = scan_request("entry", PARTS)
        .replace("q1", "stops")
        .replace("Deadline-Ms: 1000", &format!("Deadline-Ms: {deadline_ms}"));
    write!(&client, "{request}").expect("the connection accepts bytes");
    while !mixer.frames.recv_timeout(TIMEOUT).expect("a frame").starts_with("D stops.") {}
    StoppedMixer { mixer, client }
}

/// Resumes a stopped mixer and returns the calls that it sends then.
fn calls_after_resume(mixer: &Mixer) -> Vec<ReceivedCall> {
    thread::sleep(Duration::from_millis(20)); // frames written before the stop arrive
    while mixer.frames.try_recv().is_ok() {}
    mixer.signal("CONT");
    let resumed_at = Instant::now();
    let mut calls = Vec::new();
    while resumed_at.elapsed() < RESUME_DURATION {
        let Ok(frame) = mixer.frames.recv_timeout(Duration::from_millis(50)) else { continue };
        let Some(text) = frame.strip_prefix("D ") else { continue };
        let timeout_ms = text.split("d=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        calls.push(ReceivedCall {
            text: text.to_owned(),
            timeout_ms: timeout_ms.expect("a call states a timeout"),
        });
    }
    calls
}

/// Guards against the remaining calls of a query that are sent after a stop although the client left during
/// it.
#[test]
fn disconnect_during_stop_between_calls() {
    let StoppedMixer { mixer, client } = start_and_stop_between_calls(2, 1000);
    drop(client);
    thread::sleep(STOP_DURATION);
    let calls = calls_after_resume(&mixer);
    assert!(calls.is_empty(), "{} calls for a client that left: {calls:?}", calls.len());
}

/// Guards against the remaining calls of a query that are sent after a stop although the deadline is over, or
/// that state the time left before the stop.
#[test]
fn deadline_during_stop_between_calls() {
    let StoppedMixer { mixer, client: _client } = start_and_stop_between_calls(2, 300);
    thread::sleep(STOP_DURATION);
    let calls = calls_after_resume(&mixer);
    assert!(calls.is_empty(), "{} calls after the client's deadline: {calls:?}", calls.len());
    let StoppedMixer { mixer, client: _client } = start_and_stop_between_calls(2, 1900);
    thread::sleep(STOP_DURATION);
    let calls = calls_after_resume(&mixer);
    let left_ms = 1900 - STOP_DURATION.as_millis() as u64;
    assert!(
        calls.iter().all(|call| call.timeout_ms <= left_ms),
        "a timeout of more than {left_ms} ms: {calls:?}"
    );
}

/// Guards against the remaining calls of a query that are sent after a stop to searchers that have begun to
/// drain.
#[test]
fn drain_during_stop_between_calls() {
    let StoppedMixer { mixer, client: _client } = start_and_stop_between_calls(2, 1900);
    let draining: Vec<_> = mixer.searchers.iter().map(|(address, _)| (*address, "draining")).collect();
    mixer.discovery.publish(standins::discovery_list(2, false, &draining));
    thread::sleep(STOP_DURATION);
    let calls = calls_after_resume(&mixer);
    assert!(calls.is_empty(), "{} calls to draining searchers: {calls:?}", calls.len());
}

/// Guards against a deadline that counts from when a request is read, although it arrived while the process
/// was stopped.
#[test]
fn deadline_of_request_during_stop() {
    const DEADLINE_MS: u64 = 1500;
    const SLACK_MS: u64 = 150;
    for is_known_client in [true, false] {
        let mixer = start(&[SearcherBehavior::Answers]);
        let known = mixer.connect();
        write!(&known, "{}", scan_request("entry", 1)).expect("the connection accepts bytes");
        assert!(read_answer(&known).starts_with("HTTP/1.1 200 OK"));
        thread::sleep(Duration::from_millis(700)); // the mixer is idle
        mixer.signal("STOP");
        let client = if is_known_client { known } else { mixer.connect() };
        let request = scan_request("entry", 1)
            .replace("q1", "stops")
            .replace("Deadline-Ms: 1000", &format!("Deadline-Ms: {DEADLINE_MS}"));
        write!(&client, "{request}").expect("the connection accepts bytes");
        thread::sleep(STOP_DURATION);
        for ReceivedCall { text, timeout_ms } in calls_after_resume(&mixer) {
            let left_ms = DEADLINE_MS - STOP_DURATION.as_millis() as u64 + SLACK_MS;
            assert!(
                timeout_ms <= left_ms,
                "known client: {is_known_client}, a timeout of more than {left_ms} ms: {text:?}"
            );
        }
    }
}

/// Guards against a call for a client that leaves between a check and the write. In each round, the thread is
/// delayed after another one of its clock reads.
#[test]
fn disconnect_during_delay_after_clock_read() {
    const DELAY_MS: u64 = 400;
    for clock_read in 1..=6 {
        let setting = format!("SHIM_STOPS_AFTER=stops SHIM_HOLDS={clock_read} SHIM_HOLD_MS={DELAY_MS}");
        let mixer = start_after_command(
            &preload_command(&setting),
            EXAMPLE_CONFIG,
            None,
            &[SearcherBehavior::Answers, SearcherBehavior::Answers],
        );
        let client = mixer.connect();
        // After this request the links are connected.
        write!(&client, "{}", scan_request("entry", PARTS)).expect("the connection accepts bytes");
        assert!(read_answer(&client).starts_with("HTTP/1.1 200 OK"));
        write!(&client, "{}", scan_request("entry", PARTS).replace("q1", "stops"))
            .expect("the connection accepts bytes");
        while !mixer.frames.recv_timeout(TIMEOUT).expect("a frame").starts_with("D stops.") {}
        thread::sleep(Duration::from_millis(20)); // frames written before the delay arrive
        while mixer.frames.try_recv().is_ok() {}
        drop(client);
        let left_at = Instant::now();
        while left_at.elapsed() < Duration::from_millis(2 * DELAY_MS) {
            let frame = mixer.frames.recv_timeout(Duration::from_millis(50));
            let is_late =
                frame.is_ok_and(|frame| frame.starts_with("D ")) && left_at.elapsed().as_millis() > 100;
            assert!(
                !is_late,
                "clock read {clock_read}: a call is sent {:?} after its client left",
                left_at.elapsed()
            );
        }
    }
}

/// Guards against a call that waits for its link and is sent once that is established, although its client
/// has left.
#[test]
fn link_established_after_client_disconnect() {
    // The accept queue has room for a single connection; the system retries the other after a second.
    let listener = bind_free_port();
    rustix::net::listen(&listener, 0).expect("the backlog can be changed");
    let address = listener.local_addr().expect("the listener's address");
    let filler = TcpStream::connect(address).expect("the queue has room for one");
    let mixer = start_towards("true", &[address], "late-connection", |config| {
        config["settings"]["permissions"]["connect_timeout_ms"] = 4000.0.into();
    });
    let client = mixer.connect();
    write!(&client, "{}", request_with_text("late", 1, "find")).expect("the connection accepts bytes");
    thread::sleep(Duration::from_millis(300));
    drop(client);
    thread::sleep(Duration::from_millis(200));
    drop(filler);
    let _filler = accept(&listener);
    let link = accept(&listener);
    link.set_read_timeout(Some(Duration::from_millis(500))).expect("a read timeout");
    let mut bytes = [0; 1024];
    let count = (&link).read(&mut bytes).unwrap_or(0);
    assert!(!bytes[..count].starts_with(b"\0\0\0") || bytes[4] != b'D', "a call for a client that left");
}

/// A listener whose connections buffer only a few kilobytes.
fn bind_with_small_buffer() -> TcpListener {
    let listener = bind_free_port();
    sockopt::set_socket_recv_buffer_size(&listener, MINIMUM_BUFFER).expect("the buffer can be changed");
    listener
}

/// Starts a mixer with small buffers towards these searchers, and waits until it is ready.
fn start_with_small_buffers(name: &str, searchers: &[SocketAddr], shards: usize) -> Mixer {
    let shell_command = preload_command(&format!("SHIM_SEND_BUFFER={MINIMUM_BUFFER}"));
    start_towards(&shell_command, searchers, name, |config| {
        config["settings"]["family_info"]["ranges"] = shards.into();
        config["settings"]["permissions"]["open_cap"] = (4 * shards + 200).into();
    })
}

/// Starts a mixer towards these searchers with a changed example configuration, and waits until it is ready.
fn start_towards(
    shell_command: &str,
    searchers: &[SocketAddr],
    name: &str,
    change: impl FnOnce(&mut serde_json::Value),
) -> Mixer {
    let discovery = DiscoveryServer::default();
    let listener = bind_free_port();
    let discovery_address = listener.local_addr().expect("the listener's address").to_string();
    discovery.serve(listener);
    let searchers: Vec<_> = searchers.iter().map(|address| (*address, "up")).collect();
    discovery.publish(standins::discovery_list(1, true, &searchers));
    let path = write_config(name, change);
    let child = mixer_command(shell_command, &discovery_address, &path).spawn().expect("the mixer starts");
    let LaunchedMixer { child, mut log, address } = wait_until_listening(child);
    wait_for_log(&mut log, "ready");
    let (_, frames) = mpsc::channel();
    Mixer { child, log, address, discovery, frames, searchers }
}

/// A request for this many parts with this query text.
fn request_with_text(id: &str, parts: u32, text: &str) -> String {
    let list: Vec<_> =
        (0..parts).map(|shard| serde_json::json!({"id": shard, "w": 1.0 / f64::from(parts)})).collect();
    let body = serde_json::json!({"parts": list, "expr": text}).to_string();
    format!(
        "POST /lookup HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n\
         Req-Deadline-Ms: 1900\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Serves a searcher that reads a little at a time and answers each call once it is complete.
fn serve_slow_reader(listener: TcpListener) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || drop(read_slowly(stream)));
        }
    });
}

fn read_slowly(mut stream: TcpStream) -> std::io::Result<()> {
    let (mut received, mut chunk) = (Vec::new(), [0; 1024]);
    loop {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(());
        }
        received.extend_from_slice(&chunk[..count]);
        thread::sleep(Duration::from_millis(7)); // longer than any delay before a write is retried
        while let Some(head) = received.first_chunk::<4>()
            && let end = 4 + u32::from_be_bytes(*head) as usize
            && received.len() >= end
        {
            let frame: Vec<u8> = received.drain(..end).collect();
            if frame[4] != b'D' {
                continue;
            }
            let part = frame[5..].split(|byte| *byte == b' ').next().unwrap_or_default();
            let answer = format!("O{} 200 1 -\nvalue", String::from_utf8_lossy(part));
            stream.write_all(&(answer.len() as u32).to_be_bytes())?;
            stream.write_all(answer.as_bytes())?;
        }
    }
}

/// Guards against a frame that is cut or repeated where it is written in several pieces.
#[test]
fn whole_calls_to_slow_reader() {
    let listener = bind_with_small_buffer();
    let address = listener.local_addr().expect("the listener's address");
    serve_slow_reader(listener);
    let mixer = start_with_small_buffers("reads-slowly", &[address], 16);
    let client = mixer.connect();
    for nth in 0..3 {
        write!(&client, "{}", request_with_text(&format!("slow{nth}"), 1, &"x".repeat(30_000)))
            .expect("the connection accepts bytes");
        let answer = read_answer(&client);
        assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
    }
}

/// Guards against writes to searchers that accept nothing and block the service's thread.
#[test]
fn other_clients_beside_blocked_searchers() {
    const SEARCHERS: usize = 100;
    /// The time allowed for all blocked searchers together; each costs much less.
    const DELAY_LIMIT: Duration = Duration::from_millis(250);
    // These never accept a connection or read from it.
    let listeners: Vec<TcpListener> = (0..SEARCHERS).map(|_| bind_with_small_buffer()).collect();
    let addresses: Vec<_> =
        listeners.iter().map(|listener| listener.local_addr().expect("the listener's address")).collect();
    let mixer = start_with_small_buffers("take-nothing", &addresses, SEARCHERS);
    let (wide, other) = (mixer.connect(), mixer.connect());
    write!(&other, "GET /-/healthy HTTP/1.1\r\n\r\n").expect("the connection accepts bytes");
    assert!(read_answer(&other).starts_with("HTTP/1.1 200 OK"));
    write!(&wide, "{}", request_with_text("wide", SEARCHERS as u32, &"x".repeat(30_000)))
        .expect("the connection accepts bytes");
    let mut longest = Duration::ZERO;
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(1500) {
        let sent_at = Instant::now();
        write!(&other, "GET /-/healthy HTTP/1.1\r\n\r\n").expect("the connection accepts bytes");
        assert!(read_answer(&other).starts_with("HTTP/1.1 200 OK"));
        longest = longest.max(sent_at.elapsed());
        thread::sleep(Duration::from_millis(2));
    }
    assert!(longest < DELAY_LIMIT, "another client waited {longest:?}");
}
