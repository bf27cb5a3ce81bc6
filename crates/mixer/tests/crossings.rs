//! Races on loopback: clients that leave while they wait for an answer, and the end of the program. Each test
//! provokes one with the timing of its stand-ins, and checks what the mixer does.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use pewterwharf_standins::SearcherBehavior;

mod harness;
use harness::*;

fn send(mut stream: &TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("the connection accepts bytes");
}

/// A request for one part, with this id.
fn request(id: &str) -> String {
    scan_request("entry", 1).replace("q1", id)
}

impl Mixer {
    /// The next frame that searchers received, other than probes.
    fn next_frame(&self) -> String {
        loop {
            let frame = self.frames.recv_timeout(TIMEOUT).expect("a frame");
            if !frame.starts_with(['I', 'U']) {
                return frame;
            }
        }
    }
}

/// Guards against parts that are not cancelled when their client closes or resets its connection, because
/// bytes behind the request hide the end of the connection.
#[test]
fn cancellation_after_client_disconnect() {
    let closing = |id: &str| request(id).replace("Host: app.svc", "Host: app.svc\r\nConnection: close");
    let excess = ["", "\r\n", "GET /-/ready HTTP/1.1\r\n", "GET /-/ready HTTP/1.1\r\n\r\n"];
    let long_excess = format!("{}{}", request("next"), "GET /-/ready HTTP/1.1\r\n\r\n".repeat(500));
    for (request, excess) in excess
        .into_iter()
        .chain([long_excess.as_str()])
        .map(|excess| (request("q1"), excess))
        .chain([(closing("q1"), ""), (closing("q1"), "\r\n")])
    {
        for (is_draining, is_reset) in [(false, false), (true, false), (false, true)] {
            let mut mixer = start(&[SearcherBehavior::Hangs]);
            let client = mixer.connect();
            if is_reset {
                // An unread answer turns the close into a reset.
                send(&client, "GET /-/ready HTTP/1.1\r\n\r\n");
            }
            send(&client, &format!("{request}{excess}"));
            assert!(mixer.next_frame().starts_with("D q1.0"), "{excess:?}");
            if is_draining {
                mixer.signal("TERM");
                wait_for_log(&mut mixer.log, "draining");
            }
            let left_at = Instant::now();
            drop(client);
            assert!(mixer.next_frame().starts_with("K q1.0"), "{excess:?}");
            assert!(
                left_at.elapsed().as_millis() < 300,
                "{excess:?}: cancelled after {:?}",
                left_at.elapsed()
            );
            if !is_draining {
                mixer.signal("TERM");
            }
            let Exit { status, counters } = mixer.wait_for_exit();
            assert_eq!((status, counters.as_str()), (Some(0), "scans_taken 1, scans_gone 1"), "{excess:?}");
        }
    }
}

/// Guards against parts that are sent for a client that has disconnected while its connection waited to be
/// accepted.
#[test]
fn disconnect_before_accept() {
    const SOCKETS: usize = 48;
    let config = write_config("places", |config| config["limits"]["sockets"] = SOCKETS.into());
    let mut mixer = start_with_config(&config, &[SearcherBehavior::Hangs]);
    // Clients that wait for an answer take all connection slots.
    let slots = (SOCKETS - 28) / 2 + 8;
    let patient_request = |id: &str| request(id).replace("Deadline-Ms: 1000", "Deadline-Ms: 60000");
    let mut waiting = Vec::new();
    for nth in 0..slots {
        let client = mixer.connect();
        send(&client, &patient_request(&format!("held{nth}")));
        waiting.push(client);
    }
    // These send a request and leave before their connections are accepted.
    for nth in 0..4 {
        let client = mixer.connect();
        send(&client, &patient_request(&format!("left{nth}")));
    }
    let last = mixer.connect();
    send(&last, &patient_request("last"));
    drop(waiting);
    let mut frames = Vec::new();
    while !frames.iter().any(|frame: &String| frame.starts_with("D last.0")) {
        frames.push(mixer.next_frame());
    }
    assert!(!frames.iter().any(|frame| frame.contains("left")), "{frames:?}");
    mixer.signal("KILL");
    mixer.child.wait().expect("the process ends");
}

/// Guards against a drain that closes connections whose request is just beginning or has arrived in part.
#[test]
fn requests_at_drain_start() {
    let mut mixer = start(&[SearcherBehavior::Answers]);
    let (new, partial, idle) = (mixer.connect(), mixer.connect(), mixer.connect());
    for client in [&partial, &idle] {
        send(client, &request("before"));
        assert!(read_answer(client).starts_with("HTTP/1.1 200 OK"));
    }
    let partial_request = request("halved");
    send(&partial, &partial_request[..60]);
    // Once a later request is answered, the mixer has read the partial one.
    send(&idle, &request("later"));
    assert!(read_answer(&idle).starts_with("HTTP/1.1 200 OK"));
    mixer.signal("TERM");
    wait_for_log(&mut mixer.log, "draining");
    send(&new, &request("fresh"));
    send(&partial, &partial_request[60..]);
    for client in [&new, &partial] {
        let answer = read_answer(client);
        assert!(answer.starts_with("HTTP/1.1 200 OK | Connection: close"), "{answer}");
    }
    // The idle connection is closed at once.
    assert_eq!((&idle).read(&mut [0]).expect("the end of the connection"), 0);
    assert_eq!(mixer.wait_for_exit().status, Some(0));
}

/// Guards against connections that are reset because the listener closes while they wait to be accepted.
#[test]
fn accept_queue_at_listening_end() {
    let mut mixer = start(&[SearcherBehavior::Answers]);
    mixer.signal("TERM");
    wait_for_log(&mut mixer.log, "draining");
    // The mixer is stopped. When it resumes, the connections are in the accept queue, and the second signal,
    // which ends listening at once, is pending.
    mixer.signal("STOP");
    let clients: Vec<TcpStream> = (0..40).map(|_| mixer.connect()).collect();
    clients.iter().enumerate().for_each(|(nth, client)| send(client, &request(&format!("q{nth}"))));
    mixer.signal("TERM");
    mixer.signal("CONT");
    for client in &clients {
        let mut status = String::new();
        BufReader::new(client).read_line(&mut status).expect("an answer");
        assert!(status.starts_with("HTTP/1.1 "), "{status:?}");
    }
    assert_eq!(mixer.wait_for_exit().status, Some(0));
}

/// Guards against an exit that cuts off the last answer of a client that reads slowly.
#[test]
fn partly_read_answer_at_exit() {
    let mut mixer = start(&[SearcherBehavior::Answers]);
    let slow = mixer.connect();
    let mut writer = slow.try_clone().expect("a second handle");
    let writing = std::thread::spawn(move || {
        let requests = "GET /-/counters HTTP/1.1\r\n\r\n".repeat(20_000);
        writer.write_all(requests.as_bytes()) // the drain may cut it short
    });
    // The client reads nothing more for now.
    let mut byte = [0; 1];
    assert_eq!(slow.peek(&mut byte).expect("an answer"), 1);
    mixer.signal("TERM");
    wait_for_log(&mut mixer.log, "draining");
    let since = Instant::now();
    while TcpStream::connect(mixer.address).is_ok() {
        assert!(since.elapsed() < TIMEOUT, "the mixer still listens");
    }
    let (mut input, mut last) = (BufReader::new(&slow), String::new());
    while !input.fill_buf().is_ok_and(<[u8]>::is_empty) {
        last = read_next_answer(&mut input);
    }
    assert!(last.starts_with("HTTP/1.1 200 OK | Connection: close"), "{last}");
    let _ = slow.shutdown(Shutdown::Both);
    drop(writing.join());
    assert_eq!(mixer.wait_for_exit().status, Some(0));
}

/// Guards against a reset that destroys the last answer while the client still sends. The requests and
/// answers exceed the buffers of the connection: when the last answer is written, the mixer has not read all
/// requests, and the client has not received all answers.
#[test]
fn last_answer_to_sending_client() {
    let mut mixer = start(&[SearcherBehavior::Answers]);
    let mut slow = mixer.connect();
    let mut writer = slow.try_clone().expect("a second handle");
    let writing = std::thread::spawn(move || {
        let requests = "GET /-/counters HTTP/1.1\r\n\r\n".repeat(400_000);
        writer.write_all(requests.as_bytes()) // the mixer reads all of it and discards most
    });
    let mut byte = [0; 1];
    assert_eq!(slow.peek(&mut byte).expect("an answer"), 1);
    std::thread::sleep(Duration::from_millis(200)); // buffers fill
    mixer.signal("TERM");
    wait_for_log(&mut mixer.log, "draining");
    // The client reads slowly while the mixer runs, and the rest after the exit.
    let since = Instant::now();
    let mut received = Vec::new();
    let mut chunk = vec![0; 64 * 1024];
    while mixer.child.try_wait().expect("the state of the process").is_none() {
        assert!(since.elapsed() < TIMEOUT, "the mixer does not end");
        let count = slow.read(&mut chunk).expect("no reset");
        received.extend_from_slice(&chunk[..count]);
        std::thread::sleep(Duration::from_millis(10));
    }
    slow.read_to_end(&mut received).expect("no reset");
    let (mut input, mut last) = (received.as_slice(), String::new());
    while !input.is_empty() {
        last = read_next_answer(&mut input);
    }
    assert!(last.starts_with("HTTP/1.1 200 OK | Connection: close"), "{last}");
    let _ = slow.shutdown(Shutdown::Both);
    writing.join().expect("the thread ends").expect("all requests are accepted");
    assert_eq!(mixer.wait_for_exit().status, Some(0));
}

/// Guards against a client that keeps its connection slot because it sends on after its last answer and does
/// not close.
#[test]
fn slot_after_last_answer() {
    let mixer = start(&[SearcherBehavior::Answers]);
    let faulty = mixer.connect();
    // The third unusable request ends the connection; the others exceed what the mixer reads ahead.
    send(&faulty, &"GET /nowhere HTTP/1.1\r\n\r\n".repeat(1000));
    let open_clients = || {
        let client = mixer.connect();
        send(&client, "GET /-/counters HTTP/1.1\r\nConnection: close\r\n\r\n");
        let counters = read_answer(&client);
        let line = counters.lines().find(|line| line.starts_with("clients_open ")).map(str::to_owned);
        line.expect("the counter")
    };
    let since = Instant::now();
    while open_clients() != "clients_open 1" {
        assert!(since.elapsed() < Duration::from_secs(5), "the connection slot is not freed");
        std::thread::sleep(Duration::from_millis(400)); // earlier clients are closed meanwhile
    }
    drop(faulty);
}

/// In the protocol, a client that closes its connection has left, and an attempt that begins for it more than
/// 0.1 s later is a fault.
#[test]
fn attempts_after_burst_of_disconnects() {
    // Each part is sent and none is answered, so that hedged requests fall due after the clients have left.
    let mixer = start(&[SearcherBehavior::Hangs, SearcherBehavior::Hangs]);
    for is_half_closed in [false, true] {
        let clients: Vec<TcpStream> = (0..300)
            .map(|nth| {
                let client = mixer.connect();
                send(&client, &scan_request("lookup", 2).replace("q1", &format!("q{nth}-{is_half_closed}")));
                client
            })
            .collect();
        if is_half_closed {
            clients.iter().for_each(|client| client.shutdown(Shutdown::Write).expect("an open connection"));
        }
        let open_clients = is_half_closed.then_some(clients); // otherwise they are closed here
        let left_at = Instant::now();
        let mut last_call = None;
        while let Some(remaining) = std::time::Duration::from_millis(1500).checked_sub(left_at.elapsed()) {
            match mixer.frames.recv_timeout(remaining) {
                Ok(frame) if frame.starts_with("D ") => last_call = Some((left_at.elapsed(), frame)),
                Ok(_) => {}
                Err(_) => break,
            }
        }
        // Frames that were in flight when the clients left are received a little later.
        assert!(
            last_call.as_ref().is_none_or(|(after, _)| after.as_millis() < 100),
            "{is_half_closed}: {last_call:?}"
        );
        drop(open_clients);
    }
}

/// Guards against a hedged request that falls due after its client has disconnected.
#[test]
fn hedge_after_client_disconnect() {
    let mixer = start(&[SearcherBehavior::Hangs, SearcherBehavior::Hangs]);
    let client = mixer.connect();
    send(&client, &scan_request("lookup", 1));
    assert!(mixer.next_frame().starts_with("D q1.0"));
    // The hedged request is due at half of the target time of 500 ms.
    std::thread::sleep(std::time::Duration::from_millis(100));
    drop(client);
    assert!(mixer.next_frame().starts_with("K q1.0"), "the part is cancelled");
    let next = mixer.frames.recv_timeout(std::time::Duration::from_millis(900));
    assert!(!next.as_ref().is_ok_and(|frame| frame.starts_with("D ")), "{next:?}");
}
