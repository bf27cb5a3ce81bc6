//! Requests in the midst of coming while a mixer drains, on loopback: from SIGTERM to the exit each is answered.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use pewterwharf_standins::SearcherBehavior;

mod rig;
use rig::*;

/// The longest query timeout of the settings that are played.
const LONGEST_MS: u64 = 3000;
/// The platform ends a mixer no sooner than so long after SIGTERM, beyond the longest query timeout.
const KILLED_AFTER_MS: u64 = 700;

/// When a client connects, sends the first half of its request, and sends the rest, in milliseconds from SIGTERM on.
#[derive(Clone, Copy, Debug)]
struct Pieces {
    connected_ms: i64,
    first_half_ms: i64,
    last_byte_ms: Option<i64>,
}

const fn pieces(connected_ms: i64, first_half_ms: i64, last_byte_ms: i64) -> Pieces {
    Pieces { connected_ms, first_half_ms, last_byte_ms: Some(last_byte_ms) }
}

/// What a client met: the first line of its answer (empty: none), and when, from SIGTERM on.
#[derive(Debug)]
struct Met {
    pieces: Pieces,
    status: String,
    after: Duration,
}

/// A mixer whose clients may wait for so long.
fn start_patient(name: &str, longest_ms: u64) -> Mixer {
    let config = config(name, |config| {
        for class in config["settings"]["services"].as_array_mut().expect("classes") {
            class["hard_limit_ms"] = longest_ms.into();
        }
    });
    start_on(&config, &[SearcherBehavior::Answers])
}

/// Waits until so many milliseconds after a time, or before.
fn wait_until(zero: Instant, ms: i64) {
    let at = if ms < 0 {
        zero - Duration::from_millis(ms.unsigned_abs())
    } else {
        zero + Duration::from_millis(ms.unsigned_abs())
    };
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// One client that sends its request in pieces; `zero`: when SIGTERM comes.
fn ask_in_pieces(addr: std::net::SocketAddr, nth: usize, pieces: Pieces, zero: Instant) -> Met {
    wait_until(zero, pieces.connected_ms);
    let client = TcpStream::connect(addr).expect("the mixer accepts");
    client.set_read_timeout(Some(CEILING)).expect("a time-out");
    wait_until(zero, pieces.first_half_ms);
    let (mut client, rest) = half_asked(client, nth);
    if let Some(last_byte_ms) = pieces.last_byte_ms {
        wait_until(zero, last_byte_ms);
        let _ = client.write_all(rest.as_bytes()); // if it was closed, no answer tells so
    }
    let mut answer = Vec::new();
    let _ = client.read_to_end(&mut answer); // a reset leaves it empty
    let status = String::from_utf8_lossy(&answer).lines().next().unwrap_or_default().to_owned();
    Met { pieces, status, after: zero.elapsed() }
}

/// Plays these clients on one mixer; what they met, and when its process had ended.
fn play(mut mixer: Mixer, clients: &[Pieces]) -> (Vec<Met>, Duration) {
    let zero = Instant::now() + Duration::from_millis(250);
    let addr = mixer.addr;
    std::thread::scope(|scope| {
        let asking = |(nth, pieces): (usize, &Pieces)| {
            let pieces = *pieces;
            scope.spawn(move || ask_in_pieces(addr, nth, pieces, zero))
        };
        let asked: Vec<_> = clients.iter().enumerate().map(asking).collect();
        wait_until(zero, 0);
        mixer.signal("TERM");
        let status = mixer.child.wait().expect("it ends");
        let ended = zero.elapsed();
        assert_eq!(status.code(), Some(0), "{clients:?}");
        (asked.into_iter().map(|client| client.join().expect("it asks")).collect(), ended)
    })
}

/// Guards against a draining mixer that ends though it has read the first half of a request, whose client then meets the end of
/// its connection in place of an answer.
#[test]
fn request_in_midst_of_coming_holds_up_the_end_of_a_drain() {
    let plays = [
        pieces(-200, -100, 950),
        pieces(-200, -100, 1400),
        pieces(-200, 550, 1000),
        pieces(300, 550, 950),
        pieces(300, 550, 1200),
        pieces(300, 550, 2300),
    ];
    std::thread::scope(|scope| {
        let plays = plays.map(|pieces| {
            scope.spawn(move || play(start_patient(&format!("pieces-{pieces:?}"), LONGEST_MS), &[pieces]))
        });
        for play in plays {
            let (met, ended) = play.join().expect("it is played");
            for met in met {
                let Met { pieces, status, after } = met;
                let seen =
                    format!("{pieces:?}: {status:?} after {after:?}, the process ended after {ended:?}");
                assert!(status.starts_with("HTTP/1.1 200"), "{seen}");
            }
        }
    });
}

/// Guards against an end of the platform's time that finds a request half come: its client gets an answer before.
#[test]
fn request_that_never_comes_whole_is_answered_before_the_end_of_a_drain() {
    // The end comes before the time in which a request has to come whole, and after it.
    for longest_ms in [500, LONGEST_MS] {
        let stops = Pieces { connected_ms: 100, first_half_ms: 500, last_byte_ms: None };
        let (met, ended) = play(start_patient(&format!("stops-{longest_ms}"), longest_ms), &[stops]);
        assert!(met[0].status.starts_with("HTTP/1.1 408"), "{longest_ms}: {met:?}, ended after {ended:?}");
        assert!(ended < Duration::from_millis(longest_ms + KILLED_AFTER_MS), "{longest_ms}: {ended:?}");
    }
}

/// Guards against requests left in the accept queue: all places are taken by clients in the midst of theirs as listening ends.
#[test]
fn requests_in_pieces_beyond_all_places_are_answered_before_the_end_of_a_drain() {
    let config = config("few-places", |config| {
        config["limits"]["sockets"] = 48.into();
        for class in config["settings"]["services"].as_array_mut().expect("classes") {
            class["hard_limit_ms"] = LONGEST_MS.into();
        }
    });
    let mut mixer = start_on(&config, &[SearcherBehavior::Answers]);
    // All halves are there, of 30 clients for 18 places, before the mixer accepts the first.
    mixer.signal("STOP");
    let clients: Vec<(TcpStream, String)> = (0..30).map(|nth| half_asked(mixer.connect(), nth)).collect();
    mixer.signal("TERM");
    mixer.signal("CONT");
    let zero = Instant::now();
    std::thread::scope(|scope| {
        for (nth, (mut client, rest)) in clients.into_iter().enumerate() {
            scope.spawn(move || {
                wait_until(zero, 900 + 30 * nth as i64);
                client.write_all(rest.as_bytes()).expect("it takes bytes");
                let said = answer(&client);
                assert!(said.starts_with("HTTP/1.1 200 OK"), "{nth}: {said}");
            });
        }
    });
    assert_eq!(mixer.child.wait().expect("it ends").code(), Some(0));
}

/// Sends the first half of a request; the other half.
fn half_asked(mut client: TcpStream, nth: usize) -> (TcpStream, String) {
    let request = scan("lookup", 1).replace("q1", &format!("q{nth}"));
    let (first, rest) = request.split_at(request.len() / 2);
    client.write_all(first.as_bytes()).expect("it takes bytes");
    (client, rest.to_owned())
}

/// Guards against an end that waits for clients that ask nothing.
#[test]
fn connections_without_a_request_do_not_hold_up_the_end_of_a_drain() {
    let mixer = start_patient("silent", LONGEST_MS);
    let silent: Vec<TcpStream> = (0..3).map(|_| mixer.connect()).collect();
    let (_, ended) = play(mixer, &[]);
    assert!(ended < Duration::from_millis(LONGEST_MS / 2), "{ended:?}");
    drop(silent);
}
