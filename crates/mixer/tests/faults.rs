//! Faults that the hunt before production found, each forced by itself: see `docs/incidents/`.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, ChildStderr};
use std::time::{Duration, Instant};

use pewterwharf_standins::SearcherBehavior;

mod rig;
use rig::*;

/// A client has so long to begin a request once connected, and a resting one is looked at after it.
const QUIET: Duration = Duration::from_millis(2000);

#[test]
fn line_end_behind_a_request_leaves_its_client_at_rest() {
    let mixer = start(&[SearcherBehavior::Answers]);
    let mut client = mixer.connect();
    write!(client, "{}\r\n", scan("entry", 1)).expect("it takes bytes");
    assert!(answer(&client).starts_with("HTTP/1.1 200 OK"));
    client.set_read_timeout(Some(QUIET + QUIET / 2)).expect("a time-out");
    let rested = loop {
        let rested = client.read(&mut [0]).expect_err("nothing comes while it rests");
        if rested.kind() != ErrorKind::Interrupted {
            break rested;
        }
    };
    assert!(matches!(rested.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{rested}");
    write!(client, "{}", scan("entry", 1).replace("q1", "q2")).expect("it takes bytes");
    assert!(answer(&client).starts_with("HTTP/1.1 200 OK"));
}

/// What standard error leads to while a mixer serves.
enum Log {
    FullDisk,
    ReaderGone,
    NobodyReads,
}

/// Starts a mixer that logs each connection, with this log.
fn start_logging_to(log: &Log) -> (Running, SocketAddr, Option<ChildStderr>) {
    let (says, _heard) = std::sync::mpsc::channel();
    let searcher = port();
    let searchers = [(searcher.local_addr().expect("an address"), "up")];
    pewterwharf_standins::serve_searcher(searcher, SearcherBehavior::Answers, says);
    let discovery = port();
    let at = discovery.local_addr().expect("an address").to_string();
    let lists = pewterwharf_standins::DiscoveryServer::default();
    lists.serve(discovery);
    lists.publish(pewterwharf_standins::discovery_list(1, true, &searchers));
    // On an address of this process alone: its port is free until the mixer takes it.
    let [low, middle, ..] = std::process::id().to_le_bytes();
    let free = std::net::TcpListener::bind(SocketAddr::from(([127, 1 + (middle >> 1), low, 1], 0)))
        .expect("a free port");
    let listen = free.local_addr().expect("an address");
    drop(free);
    let redirect = if matches!(log, Log::FullDisk) { "exec 2>/dev/full" } else { "true" };
    let mut command = command(redirect, &at, EXAMPLE);
    command.env("ROUTER_LISTEN", listen.to_string()).env("RUST_LOG", "debug");
    let mut child = command.spawn().expect("the mixer starts");
    let error = child.stderr.take().filter(|_| matches!(log, Log::NobodyReads));
    (Running(child), listen, error)
}

/// A process that a test which fails leaves none of.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill(); // it may have ended
        let _ = self.0.wait();
    }
}

/// Asks until the mixer has come up.
fn connect_when_up(listen: SocketAddr) -> TcpStream {
    let since = Instant::now();
    loop {
        if let Ok(mut stream) = TcpStream::connect(listen) {
            write!(stream, "GET /-/ready HTTP/1.1\r\n\r\n").expect("it takes bytes");
            if answer(&stream).starts_with("HTTP/1.1 200 OK") {
                return stream;
            }
        }
        assert!(since.elapsed() < CEILING, "it does not come up");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn log_that_cannot_be_written_stops_nothing() {
    for log in [Log::FullDisk, Log::ReaderGone, Log::NobodyReads] {
        let (mut running, listen, _unread) = start_logging_to(&log);
        let client = connect_when_up(listen);
        client.set_read_timeout(Some(CEILING)).expect("a time-out");
        // More than a pipe holds.
        for number in 0..400 {
            if number % 100 == 50 {
                signal(&running.0, "USR1");
            }
            write!(&client, "{}", scan("entry", 1).replace("q1", &format!("q{number}")))
                .expect("it takes bytes");
            assert!(answer(&client).starts_with("HTTP/1.1 200 OK"), "request {number}");
        }
        signal(&running.0, "TERM");
        assert_eq!(running.0.wait().expect("it ends").code(), Some(0));
    }
}

#[test]
fn requests_read_behind_another_are_answered_though_the_mixer_drains() {
    let mixer = start(&[SearcherBehavior::AnswersAfterMs(200)]);
    let client = mixer.connect();
    let named = |id: &str| scan("entry", 1).replace("q1", id);
    write!(&client, "{}{}{}", named("q1"), named("q2"), named("q3")).expect("it takes bytes");
    while !mixer.heard.recv_timeout(CEILING).expect("a frame").starts_with("D q1.0") {}
    mixer.signal("TERM");
    client.set_read_timeout(Some(CEILING)).expect("a time-out");
    let mut input = std::io::BufReader::new(&client);
    for id in ["q1", "q2", "q3"] {
        let said = next_answer(&mut input);
        assert!(said.starts_with("HTTP/1.1 200 OK"), "{id}: {said:?}");
    }
    assert_eq!(input.read(&mut [0]).expect("an end"), 0);
    assert_eq!(mixer.end().0, Some(0));
}

#[test]
fn request_that_ends_late_in_a_drain_is_answered_before_the_mixer_is_killed() {
    // The example's longest query timeout, and what the platform waits beyond it.
    let killed_after = Duration::from_millis(2000 + 700);
    let mixer = start(&[SearcherBehavior::Hangs]);
    let client = mixer.connect();
    let request = scan("entry", 1).replace("Deadline-Ms: 1000", "Deadline-Ms: 2000");
    let (first, rest) = request.split_at(60);
    write!(&client, "{first}").expect("it takes bytes");
    mixer.signal("TERM");
    let told = Instant::now();
    std::thread::sleep(Duration::from_millis(800));
    write!(&client, "{rest}").expect("it takes bytes");
    client.set_read_timeout(Some(killed_after.saturating_sub(told.elapsed()))).expect("a time-out");
    let mut status = [0; 12];
    (&client).read_exact(&mut status).expect("an answer before the mixer is killed");
    assert!(status.starts_with(b"HTTP/1.1 50"), "{}", String::from_utf8_lossy(&status));
}

#[test]
fn request_is_answered_before_the_kill_though_the_signal_to_end_came_in_a_stop() {
    // The example's longest query timeout, and what the platform waits beyond it.
    let killed_after = Duration::from_millis(2000 + 700);
    let mixer = start(&[SearcherBehavior::Hangs]);
    let client = mixer.connect();
    let request = scan("entry", 1).replace("Deadline-Ms: 1000", "Deadline-Ms: 2000");
    let (first, rest) = request.split_at(60);
    write!(&client, "{first}").expect("it takes bytes");
    std::thread::sleep(Duration::from_millis(20)); // it is read
    mixer.signal("STOP");
    mixer.signal("TERM");
    let told = Instant::now();
    std::thread::sleep(Duration::from_millis(150));
    mixer.signal("CONT");
    std::thread::sleep(Duration::from_millis(900).saturating_sub(told.elapsed()));
    write!(&client, "{rest}").expect("it takes bytes");
    client.set_read_timeout(Some(killed_after.saturating_sub(told.elapsed()))).expect("a time-out");
    let mut status = [0; 12];
    (&client).read_exact(&mut status).expect("an answer before the mixer is killed");
    assert!(status.starts_with(b"HTTP/1.1 50"), "{}", String::from_utf8_lossy(&status));
}

#[test]
fn client_that_sends_kilobytes_behind_its_request_and_leaves_gets_no_retry() {
    let mixer = start(&[SearcherBehavior::Hangs, SearcherBehavior::Hangs]);
    let client = mixer.connect();
    let request = scan("lookup", 1).replace("Deadline-Ms: 1000", "Deadline-Ms: 2000");
    // Stopped, the mixer finds the request, what stands behind it and the end all at once.
    mixer.signal("STOP");
    write!(&client, "{request}{}", "GET /-/healthy HTTP/1.1\r\n\r\n".repeat(1000)).expect("it takes bytes");
    client.shutdown(std::net::Shutdown::Write).expect("it can be shut");
    let left = Instant::now();
    mixer.signal("CONT");
    while left.elapsed() < Duration::from_millis(1800) {
        let frame = mixer.heard.recv_timeout(Duration::from_millis(100));
        let late = left.elapsed() > Duration::from_millis(200)
            && frame.is_ok_and(|frame| frame.starts_with("D q1."));
        assert!(!late, "an attempt begins {:?} after the client left", left.elapsed());
    }
}

#[test]
fn reload_while_the_port_is_held_by_the_process_before_is_not_lost() {
    let (held, first, second) = (port(), port(), port());
    let listen = held.local_addr().expect("an address").to_string();
    let place = |listener: &std::net::TcpListener| listener.local_addr().expect("an address").to_string();
    let path = config("reload-held", |config| config["discovery"] = place(&first).into());
    let mut command = command("true", &place(&first), &path);
    let child = command.env("ROUTER_LISTEN", &listen).spawn().expect("the mixer starts");
    let running = Running(child);
    // It watches before it listens, so that the handlers of its signals are there.
    let _watch = accept(&first);
    config("reload-held", |config| config["discovery"] = place(&second).into());
    signal(&running.0, "HUP");
    std::thread::sleep(Duration::from_millis(200)); // looked at every 20 ms while the port is held
    drop(held);
    let _moved = accept(&second);
}

#[test]
fn clients_that_came_and_left_while_the_mixer_stood_still_get_nothing_sent() {
    let behind = "GET /-/healthy HTTP/1.1\r\n\r\n".repeat(400);
    for known in [true, false] {
        let mixer = start(&[SearcherBehavior::Answers]);
        let ask_ready = |client: &TcpStream| {
            let mut output = client;
            write!(output, "GET /-/ready HTTP/1.1\r\n\r\n").expect("it takes bytes");
            assert!(answer(client).starts_with("HTTP/1.1 200 OK"));
        };
        let mut clients: Vec<TcpStream> = Vec::new();
        if known {
            clients.extend((0..100).map(|_| mixer.connect()));
            clients.iter().for_each(ask_ready);
        }
        mixer.signal("STOP");
        if !known {
            clients.extend((0..100).map(|_| mixer.connect()));
        }
        for (n, client) in clients.iter().enumerate() {
            let request = scan("entry", 1).replace("q1", &format!("q{n}"));
            write!(&*client, "{request}{behind}").expect("it takes bytes");
            client.shutdown(std::net::Shutdown::Write).expect("it can be shut");
        }
        std::thread::sleep(Duration::from_millis(300));
        mixer.signal("CONT");
        let goes_on = Instant::now();
        let mut sent = 0;
        while goes_on.elapsed() < Duration::from_millis(400) {
            let frame = mixer.heard.recv_timeout(Duration::from_millis(50));
            sent += u32::from(frame.is_ok_and(|frame| frame.starts_with("D ")));
        }
        assert_eq!(sent, 0, "attempts for clients that have gone, known before: {known}");
    }
}

#[test]
fn request_behind_one_that_is_answered_at_once_is_answered_though_the_mixer_drains() {
    let mut mixer = start(&[SearcherBehavior::Answers]);
    let client = mixer.connect();
    mixer.signal("TERM");
    wait(&mut mixer.log, "draining");
    let both = format!("GET /-/healthy HTTP/1.1\r\n\r\n{}", scan("entry", 1));
    (&client).write_all(both.as_bytes()).expect("it takes bytes");
    client.set_read_timeout(Some(CEILING)).expect("a time-out");
    let mut input = std::io::BufReader::new(&client);
    for what in ["the page", "the query"] {
        let said = next_answer(&mut input);
        assert!(said.starts_with("HTTP/1.1 200 OK"), "{what}: {said:?}");
    }
}

#[test]
fn configuration_that_is_half_written_at_the_signal_counts_once_it_is_whole() {
    let (first, second) = (port(), port());
    let place = |listener: &std::net::TcpListener| listener.local_addr().expect("an address").to_string();
    let path = config("reload-half", |config| config["discovery"] = place(&first).into());
    let child = command("true", &place(&first), &path).spawn().expect("the mixer starts");
    let (child, _log, _) = listens(child);
    let running = Running(child);
    config("reload-half", |config| config["discovery"] = place(&second).into());
    let whole = std::fs::read(&path).expect("the configuration");
    std::fs::write(&path, &whole[..whole.len() / 2]).expect("it can be written");
    signal(&running.0, "HUP");
    std::thread::sleep(Duration::from_millis(300)); // whoever writes it is slow
    std::fs::write(&path, &whole).expect("it can be written");
    let _moved = accept(&second);
}

#[test]
fn timers_that_fall_due_in_a_pause_wait_for_what_came_meanwhile() {
    for round in 0..8 {
        let mixer = start(&[SearcherBehavior::Hangs, SearcherBehavior::Hangs, SearcherBehavior::Answers]);
        let clients: Vec<TcpStream> = (0..60).map(|_| mixer.connect()).collect();
        for (n, client) in clients.iter().enumerate() {
            let id = format!("q{round}-{n}");
            write!(&*client, "{}", scan("lookup", 2).replace("q1", &id)).expect("it takes bytes");
        }
        while !mixer.heard.recv_timeout(CEILING).expect("a frame").starts_with("D ") {}
        std::thread::sleep(Duration::from_millis(40));
        mixer.signal("STOP");
        std::thread::sleep(Duration::from_millis(20)); // what it wrote before has arrived
        while mixer.heard.try_recv().is_ok() {}
        drop(clients);
        std::thread::sleep(Duration::from_millis(400));
        mixer.signal("CONT");
        let goes_on = Instant::now();
        let mut sent = 0;
        while goes_on.elapsed() < Duration::from_millis(300) {
            let frame = mixer.heard.recv_timeout(Duration::from_millis(20));
            sent += u32::from(frame.is_ok_and(|frame| frame.starts_with("D ")));
        }
        assert_eq!(sent, 0, "round {round}: attempts for clients that left in the pause");
    }
}

#[test]
fn requests_behind_one_that_hangs_through_half_of_a_drain_are_answered() {
    let mixer = start(&[SearcherBehavior::Hangs]);
    let client = mixer.connect();
    let named =
        |id: &str| scan("entry", 1).replace("q1", id).replace("Deadline-Ms: 1000", "Deadline-Ms: 1500");
    write!(&client, "{}{}{}", named("q1"), named("q2"), named("q3")).expect("it takes bytes");
    while !mixer.heard.recv_timeout(CEILING).expect("a frame").starts_with("D q1.0") {}
    mixer.signal("TERM");
    client.set_read_timeout(Some(CEILING)).expect("a time-out");
    let mut input = std::io::BufReader::new(&client);
    for id in ["q1", "q2", "q3"] {
        let said = next_answer(&mut input);
        assert!(said.starts_with("HTTP/1.1 50"), "{id}: {said:?}");
    }
}
