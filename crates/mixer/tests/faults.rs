//! Regression tests of faults that were found in the search before production, each provoked by itself: see
//! `docs/incidents/`.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, ChildStderr};
use std::time::{Duration, Instant};

use pewterwharf_standins::SearcherBehavior;

mod harness;
use harness::*;

/// The time that a client has to begin a request; an idle client is checked when it has passed.
const REQUEST_START_TIMEOUT: Duration = Duration::from_millis(2000);
/// When the platform kills a draining mixer: the example's longest query timeout, and the platform's grace
/// period.
const KILLED_AFTER: Duration = Duration::from_millis(2000 + 700);

/// Guards against a line end behind a request that counts as the beginning of the next one: the idle client
/// would be answered with 408 once the time limit for a request is over.
#[test]
fn line_end_behind_request() {
    let mixer = start(&[SearcherBehavior::Answers]);
    let mut client = mixer.connect();
    write!(client, "{}\r\n", scan_request("entry", 1)).expect("the connection accepts bytes");
    assert!(read_answer(&client).starts_with("HTTP/1.1 200 OK"));
    client.set_read_timeout(Some(REQUEST_START_TIMEOUT + REQUEST_START_TIMEOUT / 2)).expect("a read timeout");
    let error = loop {
        let error = client.read(&mut [0]).expect_err("an idle client receives nothing");
        if error.kind() != ErrorKind::Interrupted {
            break error;
        }
    };
    assert!(matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{error}");
    write!(client, "{}", scan_request("entry", 1).replace("q1", "q2")).expect("the connection accepts bytes");
    assert!(read_answer(&client).starts_with("HTTP/1.1 200 OK"));
}

/// Where the mixer's standard error goes.
enum LogTarget {
    FullDisk,
    ClosedPipe,
    UnreadPipe,
}

/// A process that is killed at the end of the test.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill(); // it may have ended
        let _ = self.0.wait();
    }
}

/// A mixer that logs each connection.
struct LoggingMixer {
    process: KillOnDrop,
    address: SocketAddr,
    /// The pipe that nobody reads.
    _unread_log: Option<ChildStderr>,
}

fn start_logging_to(target: &LogTarget) -> LoggingMixer {
    let (sender, _frames) = std::sync::mpsc::channel();
    let searcher = bind_free_port();
    let searchers = [(searcher.local_addr().expect("the listener's address"), "up")];
    pewterwharf_standins::serve_searcher(searcher, SearcherBehavior::Answers, sender);
    let discovery_listener = bind_free_port();
    let discovery_address = discovery_listener.local_addr().expect("the listener's address").to_string();
    let discovery = pewterwharf_standins::DiscoveryServer::default();
    discovery.serve(discovery_listener);
    discovery.publish(pewterwharf_standins::discovery_list(1, true, &searchers));
    // A loopback address that no other process uses: its port stays free until the mixer listens on it.
    let [low, middle, ..] = std::process::id().to_le_bytes();
    let free = std::net::TcpListener::bind(SocketAddr::from(([127, 1 + (middle >> 1), low, 1], 0)))
        .expect("a free port");
    let address = free.local_addr().expect("the listener's address");
    drop(free);
    let redirect = if matches!(target, LogTarget::FullDisk) { "exec 2>/dev/full" } else { "true" };
    let mut command = mixer_command(redirect, &discovery_address, EXAMPLE_CONFIG);
    command.env("ROUTER_LISTEN", address.to_string()).env("RUST_LOG", "debug");
    let mut child = command.spawn().expect("the mixer starts");
    let unread_log = child.stderr.take().filter(|_| matches!(target, LogTarget::UnreadPipe));
    LoggingMixer { process: KillOnDrop(child), address, _unread_log: unread_log }
}

/// Connects repeatedly until the mixer is ready.
fn connect_when_ready(address: SocketAddr) -> TcpStream {
    let since = Instant::now();
    loop {
        if let Ok(mut stream) = TcpStream::connect(address) {
            write!(stream, "GET /-/ready HTTP/1.1\r\n\r\n").expect("the connection accepts bytes");
            if read_answer(&stream).starts_with("HTTP/1.1 200 OK") {
                return stream;
            }
        }
        assert!(since.elapsed() < TIMEOUT, "the mixer is not ready in time");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against a mixer that blocks or fails when its log can't be written: the disk is full, the pipe is
/// closed, or nobody reads the pipe.
#[test]
fn unwritable_log() {
    for target in [LogTarget::FullDisk, LogTarget::ClosedPipe, LogTarget::UnreadPipe] {
        let mut mixer = start_logging_to(&target);
        let client = connect_when_ready(mixer.address);
        client.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
        // The log of these requests is larger than the buffer of a pipe.
        for number in 0..400 {
            if number % 100 == 50 {
                send_signal(&mixer.process.0, "USR1");
            }
            write!(&client, "{}", scan_request("entry", 1).replace("q1", &format!("q{number}")))
                .expect("the connection accepts bytes");
            assert!(read_answer(&client).starts_with("HTTP/1.1 200 OK"), "request {number}");
        }
        send_signal(&mixer.process.0, "TERM");
        assert_eq!(mixer.process.0.wait().expect("the process ends").code(), Some(0));
    }
}

/// Guards against a drain whose first answer ends the connection although further requests are buffered
/// behind it.
#[test]
fn pipelined_requests_during_drain() {
    let mixer = start(&[SearcherBehavior::AnswersAfterMs(200)]);
    let client = mixer.connect();
    let request = |id: &str| scan_request("entry", 1).replace("q1", id);
    write!(&client, "{}{}{}", request("q1"), request("q2"), request("q3"))
        .expect("the connection accepts bytes");
    while !mixer.frames.recv_timeout(TIMEOUT).expect("a frame").starts_with("D q1.0") {}
    mixer.signal("TERM");
    client.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
    let mut input = std::io::BufReader::new(&client);
    for id in ["q1", "q2", "q3"] {
        let answer = read_next_answer(&mut input);
        assert!(answer.starts_with("HTTP/1.1 200 OK"), "{id}: {answer:?}");
    }
    assert_eq!(input.read(&mut [0]).expect("the end of the connection"), 0);
    assert_eq!(mixer.wait_for_exit().status, Some(0));
}

/// Guards against a request that arrives late in a drain and keeps its whole deadline, which ends after the
/// platform has killed the mixer.
#[test]
fn late_request_in_drain() {
    let mixer = start(&[SearcherBehavior::Hangs]);
    let client = mixer.connect();
    let request = scan_request("entry", 1).replace("Deadline-Ms: 1000", "Deadline-Ms: 2000");
    let (first, rest) = request.split_at(60);
    write!(&client, "{first}").expect("the connection accepts bytes");
    mixer.signal("TERM");
    let sigterm_at = Instant::now();
    std::thread::sleep(Duration::from_millis(800));
    write!(&client, "{rest}").expect("the connection accepts bytes");
    client.set_read_timeout(Some(KILLED_AFTER.saturating_sub(sigterm_at.elapsed()))).expect("a read timeout");
    let mut status = [0; 12];
    (&client).read_exact(&mut status).expect("an answer before the mixer is killed");
    assert!(status.starts_with(b"HTTP/1.1 50"), "{}", String::from_utf8_lossy(&status));
}

/// Guards against a drain that counts its time from when the mixer handles SIGTERM. The process is stopped
/// when the signal is sent, so that this is later than for the platform.
#[test]
fn sigterm_during_process_stop() {
    let mixer = start(&[SearcherBehavior::Hangs]);
    let client = mixer.connect();
    let request = scan_request("entry", 1).replace("Deadline-Ms: 1000", "Deadline-Ms: 2000");
    let (first, rest) = request.split_at(60);
    write!(&client, "{first}").expect("the connection accepts bytes");
    std::thread::sleep(Duration::from_millis(20)); // the mixer reads it
    mixer.signal("STOP");
    mixer.signal("TERM");
    let sigterm_at = Instant::now();
    std::thread::sleep(Duration::from_millis(150));
    mixer.signal("CONT");
    std::thread::sleep(Duration::from_millis(900).saturating_sub(sigterm_at.elapsed()));
    write!(&client, "{rest}").expect("the connection accepts bytes");
    client.set_read_timeout(Some(KILLED_AFTER.saturating_sub(sigterm_at.elapsed()))).expect("a read timeout");
    let mut status = [0; 12];
    (&client).read_exact(&mut status).expect("an answer before the mixer is killed");
    assert!(status.starts_with(b"HTTP/1.1 50"), "{}", String::from_utf8_lossy(&status));
}

/// Guards against attempts for a client that has disconnected, where bytes behind its request hide the end of
/// its connection.
#[test]
fn retry_after_excess_bytes_and_disconnect() {
    let mixer = start(&[SearcherBehavior::Hangs, SearcherBehavior::Hangs]);
    let client = mixer.connect();
    let request = scan_request("lookup", 1).replace("Deadline-Ms: 1000", "Deadline-Ms: 2000");
    // The mixer is stopped, so that it finds the request, the bytes behind it and the end of the connection
    // all at once.
    mixer.signal("STOP");
    write!(&client, "{request}{}", "GET /-/healthy HTTP/1.1\r\n\r\n".repeat(1000))
        .expect("the connection accepts bytes");
    client.shutdown(std::net::Shutdown::Write).expect("the connection can be shut down");
    let left_at = Instant::now();
    mixer.signal("CONT");
    while left_at.elapsed() < Duration::from_millis(1800) {
        let frame = mixer.frames.recv_timeout(Duration::from_millis(100));
        let is_late = left_at.elapsed() > Duration::from_millis(200)
            && frame.is_ok_and(|frame| frame.starts_with("D q1."));
        assert!(!is_late, "an attempt begins {:?} after the client left", left_at.elapsed());
    }
}

/// Guards against a SIGHUP that is lost while the mixer waits for its port.
#[test]
fn reload_while_waiting_for_port() {
    let (held_port, old_discovery, new_discovery) = (bind_free_port(), bind_free_port(), bind_free_port());
    let listen = held_port.local_addr().expect("the listener's address").to_string();
    let address_of =
        |listener: &std::net::TcpListener| listener.local_addr().expect("the listener's address").to_string();
    let path = write_config("reload-held", |config| config["discovery"] = address_of(&old_discovery).into());
    let mut command = mixer_command("true", &address_of(&old_discovery), &path);
    let child = command.env("ROUTER_LISTEN", &listen).spawn().expect("the mixer starts");
    let process = KillOnDrop(child);
    // The mixer watches discovery before it listens; its signal handlers are installed by then.
    let _watch = accept(&old_discovery);
    write_config("reload-held", |config| config["discovery"] = address_of(&new_discovery).into());
    send_signal(&process.0, "HUP");
    std::thread::sleep(Duration::from_millis(200)); // the signal is checked every 20 ms while the port is in use
    drop(held_port);
    let _moved_watch = accept(&new_discovery);
}

/// How many calls searchers receive in this time.
fn count_calls(mixer: &Mixer, duration: Duration, poll: Duration) -> u32 {
    let since = Instant::now();
    let mut calls = 0;
    while since.elapsed() < duration {
        let frame = mixer.frames.recv_timeout(poll);
        calls += u32::from(frame.is_ok_and(|frame| frame.starts_with("D ")));
    }
    calls
}

/// Guards against calls for clients that sent a request and disconnected while the process was stopped. The
/// bytes behind the request exceed what the mixer reads ahead.
#[test]
fn disconnects_during_process_stop() {
    let excess = "GET /-/healthy HTTP/1.1\r\n\r\n".repeat(400);
    for is_accepted_before in [true, false] {
        let mixer = start(&[SearcherBehavior::Answers]);
        let check_ready = |client: &TcpStream| {
            let mut output = client;
            write!(output, "GET /-/ready HTTP/1.1\r\n\r\n").expect("the connection accepts bytes");
            assert!(read_answer(client).starts_with("HTTP/1.1 200 OK"));
        };
        let mut clients: Vec<TcpStream> = Vec::new();
        if is_accepted_before {
            clients.extend((0..100).map(|_| mixer.connect()));
            clients.iter().for_each(check_ready);
        }
        mixer.signal("STOP");
        if !is_accepted_before {
            clients.extend((0..100).map(|_| mixer.connect()));
        }
        for (nth, client) in clients.iter().enumerate() {
            let request = scan_request("entry", 1).replace("q1", &format!("q{nth}"));
            write!(&*client, "{request}{excess}").expect("the connection accepts bytes");
            client.shutdown(std::net::Shutdown::Write).expect("the connection can be shut down");
        }
        std::thread::sleep(Duration::from_millis(300));
        mixer.signal("CONT");
        let calls = count_calls(&mixer, Duration::from_millis(400), Duration::from_millis(50));
        assert_eq!(calls, 0, "attempts for clients that left, accepted before: {is_accepted_before}");
    }
}

/// Guards against a drain that ends the connection with the answer to a page although a query is buffered
/// behind it.
#[test]
fn request_behind_page_during_drain() {
    let mut mixer = start(&[SearcherBehavior::Answers]);
    let client = mixer.connect();
    mixer.signal("TERM");
    wait_for_log(&mut mixer.log, "draining");
    let both = format!("GET /-/healthy HTTP/1.1\r\n\r\n{}", scan_request("entry", 1));
    (&client).write_all(both.as_bytes()).expect("the connection accepts bytes");
    client.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
    let mut input = std::io::BufReader::new(&client);
    for what in ["the page", "the query"] {
        let answer = read_next_answer(&mut input);
        assert!(answer.starts_with("HTTP/1.1 200 OK"), "{what}: {answer:?}");
    }
}

/// Guards against a reload that is lost because the file is still being written when the signal arrives.
#[test]
fn reload_of_partly_written_configuration() {
    let (old_discovery, new_discovery) = (bind_free_port(), bind_free_port());
    let address_of =
        |listener: &std::net::TcpListener| listener.local_addr().expect("the listener's address").to_string();
    let path = write_config("reload-half", |config| config["discovery"] = address_of(&old_discovery).into());
    let child = mixer_command("true", &address_of(&old_discovery), &path).spawn().expect("the mixer starts");
    let LaunchedMixer { child, log: _log, .. } = wait_until_listening(child);
    let process = KillOnDrop(child);
    write_config("reload-half", |config| config["discovery"] = address_of(&new_discovery).into());
    let complete = std::fs::read(&path).expect("the configuration can be read");
    std::fs::write(&path, &complete[..complete.len() / 2]).expect("the file can be written");
    send_signal(&process.0, "HUP");
    std::thread::sleep(Duration::from_millis(300)); // the writer is slow
    std::fs::write(&path, &complete).expect("the file can be written");
    let _moved_watch = accept(&new_discovery);
}

/// Guards against hedges and retries that are sent right after a stop of the process, before the disconnects
/// from that time are read.
#[test]
fn timers_due_during_process_stop() {
    for round in 0..8 {
        let mixer = start(&[SearcherBehavior::Hangs, SearcherBehavior::Hangs, SearcherBehavior::Answers]);
        let clients: Vec<TcpStream> = (0..60).map(|_| mixer.connect()).collect();
        for (nth, client) in clients.iter().enumerate() {
            let id = format!("q{round}-{nth}");
            write!(&*client, "{}", scan_request("lookup", 2).replace("q1", &id))
                .expect("the connection accepts bytes");
        }
        while !mixer.frames.recv_timeout(TIMEOUT).expect("a frame").starts_with("D ") {}
        std::thread::sleep(Duration::from_millis(40));
        mixer.signal("STOP");
        std::thread::sleep(Duration::from_millis(20)); // frames written before the stop arrive
        while mixer.frames.try_recv().is_ok() {}
        drop(clients);
        std::thread::sleep(Duration::from_millis(400));
        mixer.signal("CONT");
        let calls = count_calls(&mixer, Duration::from_millis(300), Duration::from_millis(20));
        assert_eq!(calls, 0, "round {round}: attempts for clients that left during the stop");
    }
}

/// Guards against buffered requests that get no answer because the first one takes up the time of the drain.
#[test]
fn hung_pipelined_request_during_drain() {
    let mixer = start(&[SearcherBehavior::Hangs]);
    let client = mixer.connect();
    let request = |id: &str| {
        scan_request("entry", 1).replace("q1", id).replace("Deadline-Ms: 1000", "Deadline-Ms: 1500")
    };
    write!(&client, "{}{}{}", request("q1"), request("q2"), request("q3"))
        .expect("the connection accepts bytes");
    while !mixer.frames.recv_timeout(TIMEOUT).expect("a frame").starts_with("D q1.0") {}
    mixer.signal("TERM");
    client.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
    let mut input = std::io::BufReader::new(&client);
    for id in ["q1", "q2", "q3"] {
        let answer = read_next_answer(&mut input);
        assert!(answer.starts_with("HTTP/1.1 50"), "{id}: {answer:?}");
    }
}
