//! Where two events cross, on loopback: clients that leave while they wait, and the end of the program. Each crossing is
//! forced by what a stand-in does when, and told from what the mixer is seen to do.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use pewterwharf_standins::SearcherBehavior;

mod rig;
use rig::*;

fn send(mut stream: &TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("it takes bytes");
}

/// A scan of one part that names itself.
fn named(id: &str) -> String {
    scan("entry", 1).replace("q1", id)
}

impl Mixer {
    /// What the searchers were sent next, probes aside.
    fn next_frame(&self) -> String {
        loop {
            let frame = self.heard.recv_timeout(CEILING).expect("a frame");
            if !frame.starts_with(['I', 'U']) {
                return frame;
            }
        }
    }
}

#[test]
fn what_is_out_for_a_client_that_left_is_given_up_whatever_it_sent_behind_its_request() {
    let closing = |id: &str| named(id).replace("Host: app.svc", "Host: app.svc\r\nConnection: close");
    let behind = ["", "\r\n", "GET /-/ready HTTP/1.1\r\n", "GET /-/ready HTTP/1.1\r\n\r\n"];
    let long = format!("{}{}", named("next"), "GET /-/ready HTTP/1.1\r\n\r\n".repeat(500));
    for (ask, more) in behind
        .into_iter()
        .chain([long.as_str()])
        .map(|more| (named("q1"), more))
        .chain([(closing("q1"), ""), (closing("q1"), "\r\n")])
    {
        for (drains, reset) in [(false, false), (true, false), (false, true)] {
            let mut mixer = start(&[SearcherBehavior::Hangs]);
            let client = mixer.connect();
            if reset {
                // An answer that it never reads turns its close into a reset.
                send(&client, "GET /-/ready HTTP/1.1\r\n\r\n");
            }
            send(&client, &format!("{ask}{more}"));
            assert!(mixer.next_frame().starts_with("D q1.0"), "{more:?}");
            if drains {
                mixer.signal("TERM");
                wait(&mut mixer.log, "draining");
            }
            let left = Instant::now();
            drop(client);
            assert!(mixer.next_frame().starts_with("K q1.0"), "{more:?}");
            assert!(left.elapsed().as_millis() < 300, "{more:?}: given up after {:?}", left.elapsed());
            if !drains {
                mixer.signal("TERM");
            }
            let (status, counts) = mixer.end();
            assert_eq!((status, counts.as_str()), (Some(0), "scans_taken 1, scans_gone 1"), "{more:?}");
        }
    }
}

#[test]
fn a_client_that_left_before_it_was_accepted_gets_nothing_sent() {
    let config = config("places", |config| config["limits"]["sockets"] = 48.into());
    let mut mixer = start_on(&config, &[SearcherBehavior::Hangs]);
    // All places are taken by clients that wait.
    let places = (48 - 28) / 2 + 8;
    let ask = |id: &str| named(id).replace("Deadline-Ms: 1000", "Deadline-Ms: 60000");
    let mut held = Vec::new();
    for n in 0..places {
        let client = mixer.connect();
        send(&client, &ask(&format!("held{n}")));
        held.push(client);
    }
    // They have asked and gone before anybody takes their connection up.
    for n in 0..4 {
        let client = mixer.connect();
        send(&client, &ask(&format!("left{n}")));
    }
    let last = mixer.connect();
    send(&last, &ask("last"));
    drop(held);
    let mut sent = Vec::new();
    while !sent.iter().any(|frame: &String| frame.starts_with("D last.0")) {
        sent.push(mixer.next_frame());
    }
    assert!(!sent.iter().any(|frame| frame.contains("left")), "{sent:?}");
    mixer.signal("KILL");
    mixer.child.wait().expect("it ends");
}

#[test]
fn who_has_just_come_or_asks_in_pieces_is_answered_though_the_end_begins() {
    let mut mixer = start(&[SearcherBehavior::Answers]);
    let (fresh, halves, rested) = (mixer.connect(), mixer.connect(), mixer.connect());
    for client in [&halves, &rested] {
        send(client, &named("before"));
        assert!(answer(client).starts_with("HTTP/1.1 200 OK"));
    }
    let ask = named("halved");
    send(&halves, &ask[..60]);
    // Its half is known to be there once a later one was answered.
    send(&rested, &named("later"));
    assert!(answer(&rested).starts_with("HTTP/1.1 200 OK"));
    mixer.signal("TERM");
    wait(&mut mixer.log, "draining");
    send(&fresh, &named("fresh"));
    send(&halves, &ask[60..]);
    for client in [&fresh, &halves] {
        let said = answer(client);
        assert!(said.starts_with("HTTP/1.1 200 OK | Connection: close"), "{said}");
    }
    // Who rested is let go at once.
    assert_eq!((&rested).read(&mut [0]).expect("an end"), 0);
    assert_eq!(mixer.end().0, Some(0));
}

#[test]
fn who_waits_to_be_accepted_when_listening_ends_is_answered() {
    let mut mixer = start(&[SearcherBehavior::Answers]);
    mixer.signal("TERM");
    wait(&mut mixer.log, "draining");
    // It stands still: they are in the backlog, and the second signal, which ends listening at once, is there too.
    mixer.signal("STOP");
    let clients: Vec<TcpStream> = (0..40).map(|_| mixer.connect()).collect();
    clients.iter().enumerate().for_each(|(n, client)| send(client, &named(&format!("q{n}"))));
    mixer.signal("TERM");
    mixer.signal("CONT");
    for client in &clients {
        let mut said = String::new();
        BufReader::new(client).read_line(&mut said).expect("an answer");
        assert!(said.starts_with("HTTP/1.1 "), "{said:?}");
    }
    assert_eq!(mixer.end().0, Some(0));
}

#[test]
fn an_answer_that_a_slow_client_has_taken_in_part_is_whole_though_the_program_ends() {
    let mut mixer = start(&[SearcherBehavior::Answers]);
    let slow = mixer.connect();
    let mut asks = slow.try_clone().expect("a second handle");
    let asking = std::thread::spawn(move || {
        let all = "GET /-/counters HTTP/1.1\r\n\r\n".repeat(20_000);
        asks.write_all(all.as_bytes()) // it may be cut short: the end begins meanwhile
    });
    // It takes no more: the same connection stands still while others are answered.
    let mut taken = [0; 1];
    assert_eq!(slow.peek(&mut taken).expect("an answer"), 1);
    mixer.signal("TERM");
    wait(&mut mixer.log, "draining");
    let since = Instant::now();
    while TcpStream::connect(mixer.addr).is_ok() {
        assert!(since.elapsed() < CEILING, "it still listens");
    }
    let (mut input, mut last) = (BufReader::new(&slow), String::new());
    while !input.fill_buf().is_ok_and(<[u8]>::is_empty) {
        last = next_answer(&mut input);
    }
    assert!(last.starts_with("HTTP/1.1 200 OK | Connection: close"), "{last}");
    let _ = slow.shutdown(Shutdown::Both);
    drop(asking.join());
    assert_eq!(mixer.end().0, Some(0));
}

/// Its requests and answers are more than the buffers of the connection hold: much of what it has sent is not yet read, and much of
/// what it was answered is not yet delivered, when the last answer is written.
#[test]
fn a_client_that_still_sends_reads_its_last_answer_after_the_exit() {
    let mut mixer = start(&[SearcherBehavior::Answers]);
    let mut slow = mixer.connect();
    let mut asks = slow.try_clone().expect("a second handle");
    let asking = std::thread::spawn(move || {
        let all = "GET /-/counters HTTP/1.1\r\n\r\n".repeat(400_000);
        asks.write_all(all.as_bytes()) // all of it is taken, though most is discarded
    });
    let mut first = [0; 1];
    assert_eq!(slow.peek(&mut first).expect("an answer"), 1);
    std::thread::sleep(Duration::from_millis(200)); // buffers fill
    mixer.signal("TERM");
    wait(&mut mixer.log, "draining");
    // It reads slowly for as long as the program runs, and all the rest then.
    let since = Instant::now();
    let mut read = Vec::new();
    let mut piece = vec![0; 64 * 1024];
    while mixer.child.try_wait().expect("its state").is_none() {
        assert!(since.elapsed() < CEILING, "it does not end");
        let count = slow.read(&mut piece).expect("no reset");
        read.extend_from_slice(&piece[..count]);
        std::thread::sleep(Duration::from_millis(10));
    }
    slow.read_to_end(&mut read).expect("no reset");
    let (mut input, mut last) = (read.as_slice(), String::new());
    while !input.is_empty() {
        last = next_answer(&mut input);
    }
    assert!(last.starts_with("HTTP/1.1 200 OK | Connection: close"), "{last}");
    let _ = slow.shutdown(Shutdown::Both);
    asking.join().expect("it ends").expect("all requests are taken");
    assert_eq!(mixer.end().0, Some(0));
}

#[test]
fn a_client_that_sends_on_after_its_last_answer_leaves_its_place() {
    let mixer = start(&[SearcherBehavior::Answers]);
    let faulty = mixer.connect();
    // The third that can't be used ends the connection; the others are more than is read ahead.
    send(&faulty, &"GET /nowhere HTTP/1.1\r\n\r\n".repeat(1000));
    let open = || {
        let client = mixer.connect();
        send(&client, "GET /-/counters HTTP/1.1\r\nConnection: close\r\n\r\n");
        let counters = answer(&client);
        let line = counters.lines().find(|line| line.starts_with("clients_open ")).map(str::to_owned);
        line.expect("the counter")
    };
    let since = Instant::now();
    while open() != "clients_open 1" {
        assert!(since.elapsed() < Duration::from_secs(5), "its place is kept");
        std::thread::sleep(Duration::from_millis(400)); // the clients before have left
    }
    drop(faulty);
}

/// Of the protocol: a client that closes its connection has gone, and what is begun over 0.1 s later for it is a fault.
#[test]
fn a_burst_of_clients_that_leave_at_once_gets_nothing_more_sent() {
    // Each is sent, and none answered: copies fall due after they have left.
    let mixer = start(&[SearcherBehavior::Hangs, SearcherBehavior::Hangs]);
    for half_closed in [false, true] {
        let clients: Vec<TcpStream> = (0..300)
            .map(|nth| {
                let client = mixer.connect();
                send(&client, &scan("lookup", 2).replace("q1", &format!("q{nth}-{half_closed}")));
                client
            })
            .collect();
        if half_closed {
            clients.iter().for_each(|client| client.shutdown(Shutdown::Write).expect("it is open"));
        }
        let held = half_closed.then_some(clients); // the others are closed here
        let left = Instant::now();
        let mut last = None;
        while let Some(rest) = std::time::Duration::from_millis(1500).checked_sub(left.elapsed()) {
            match mixer.heard.recv_timeout(rest) {
                Ok(frame) if frame.starts_with("D ") => last = Some((left.elapsed(), frame)),
                Ok(_) => {}
                Err(_) => break,
            }
        }
        // What was under way when they left is read here a little later.
        assert!(last.as_ref().is_none_or(|(after, _)| after.as_millis() < 100), "{half_closed}: {last:?}");
        drop(held);
    }
}

#[test]
fn a_client_that_leaves_with_a_second_copy_due_gets_none() {
    let mixer = start(&[SearcherBehavior::Hangs, SearcherBehavior::Hangs]);
    let client = mixer.connect();
    send(&client, &scan("lookup", 1));
    assert!(mixer.next_frame().starts_with("D q1.0"));
    // Its copy falls due in half of the target time of 500 ms.
    std::thread::sleep(std::time::Duration::from_millis(100));
    drop(client);
    assert!(mixer.next_frame().starts_with("K q1.0"), "it is given up");
    let more = mixer.heard.recv_timeout(std::time::Duration::from_millis(900));
    assert!(!more.as_ref().is_ok_and(|frame| frame.starts_with("D ")), "{more:?}");
}
