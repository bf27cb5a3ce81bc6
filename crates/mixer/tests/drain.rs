//! Requests that arrive in pieces while a mixer drains, on loopback: each is answered between SIGTERM and the
//! exit.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use pewterwharf_standins::SearcherBehavior;

mod harness;
use harness::*;

/// The longest query timeout of these tests' configurations.
const LONGEST_TIMEOUT_MS: u64 = 3000;
/// The platform kills a mixer this long after SIGTERM, plus the longest query timeout.
const KILL_GRACE_MS: u64 = 700;
/// Clients are started this long before SIGTERM.
const LEAD_TIME: Duration = Duration::from_millis(250);

/// When a client connects, sends the first half of its request, and sends the rest, in milliseconds after
/// SIGTERM.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    connected_ms: i64,
    first_half_ms: i64,
    /// `None`: the rest is never sent.
    last_byte_ms: Option<i64>,
}

const fn schedule(connected_ms: i64, first_half_ms: i64, last_byte_ms: i64) -> Schedule {
    Schedule { connected_ms, first_half_ms, last_byte_ms: Some(last_byte_ms) }
}

/// What a client received.
#[derive(Debug)]
struct Outcome {
    schedule: Schedule,
    /// The status line of the answer; empty if there was none.
    status: String,
    after_sigterm: Duration,
}

/// The outcomes of the clients of one mixer, and when its process ended.
struct DrainResult {
    outcomes: Vec<Outcome>,
    ended_after: Duration,
}

/// Starts a mixer whose table types have this query timeout.
fn start_with_timeout(name: &str, timeout_ms: u64) -> Mixer {
    let config = write_config(name, |config| {
        for table_type in config["settings"]["services"].as_array_mut().expect("a list of table types") {
            table_type["hard_limit_ms"] = timeout_ms.into();
        }
    });
    start_with_config(&config, &[SearcherBehavior::Answers])
}

/// Sleeps until `offset_ms` after `zero`; a negative offset is before it.
fn sleep_until(zero: Instant, offset_ms: i64) {
    let at = if offset_ms < 0 {
        zero - Duration::from_millis(offset_ms.unsigned_abs())
    } else {
        zero + Duration::from_millis(offset_ms.unsigned_abs())
    };
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Runs one client that sends its request in pieces. `sigterm_at`: when SIGTERM is sent.
fn run_client(address: std::net::SocketAddr, nth: usize, schedule: Schedule, sigterm_at: Instant) -> Outcome {
    sleep_until(sigterm_at, schedule.connected_ms);
    let client = TcpStream::connect(address).expect("the mixer accepts");
    client.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
    sleep_until(sigterm_at, schedule.first_half_ms);
    let HalfSentRequest { mut client, rest } = send_first_half(client, nth);
    if let Some(last_byte_ms) = schedule.last_byte_ms {
        sleep_until(sigterm_at, last_byte_ms);
        // If the connection was closed, the missing answer shows it.
        let _ = client.write_all(rest.as_bytes());
    }
    let mut answer = Vec::new();
    let _ = client.read_to_end(&mut answer); // a reset leaves it empty
    let status = String::from_utf8_lossy(&answer).lines().next().unwrap_or_default().to_owned();
    Outcome { schedule, status, after_sigterm: sigterm_at.elapsed() }
}

/// Drains a mixer while these clients send their requests.
fn drain_with_clients(mut mixer: Mixer, clients: &[Schedule]) -> DrainResult {
    let sigterm_at = Instant::now() + LEAD_TIME;
    let address = mixer.address;
    std::thread::scope(|scope| {
        let spawn_client = |(nth, schedule): (usize, &Schedule)| {
            let schedule = *schedule;
            scope.spawn(move || run_client(address, nth, schedule, sigterm_at))
        };
        let running: Vec<_> = clients.iter().enumerate().map(spawn_client).collect();
        sleep_until(sigterm_at, 0);
        mixer.signal("TERM");
        let status = mixer.child.wait().expect("the process ends");
        let ended_after = sigterm_at.elapsed();
        assert_eq!(status.code(), Some(0), "{clients:?}");
        let outcomes = running.into_iter().map(|client| client.join().expect("the client ends")).collect();
        DrainResult { outcomes, ended_after }
    })
}

/// Guards against a draining mixer that exits after it has read the first half of a request: its client would
/// get the end of the connection in place of an answer.
#[test]
fn exit_with_partial_request() {
    let schedules = [
        schedule(-200, -100, 950),
        schedule(-200, -100, 1400),
        schedule(-200, 550, 1000),
        schedule(300, 550, 950),
        schedule(300, 550, 1200),
        schedule(300, 550, 2300),
    ];
    std::thread::scope(|scope| {
        let drains = schedules.map(|schedule| {
            scope.spawn(move || {
                let mixer = start_with_timeout(&format!("pieces-{schedule:?}"), LONGEST_TIMEOUT_MS);
                drain_with_clients(mixer, &[schedule])
            })
        });
        for drain in drains {
            let DrainResult { outcomes, ended_after } = drain.join().expect("the drain ends");
            for outcome in outcomes {
                let Outcome { schedule, status, after_sigterm } = outcome;
                let details = format!(
                    "{schedule:?}: {status:?} after {after_sigterm:?}, the process ended after {ended_after:?}"
                );
                assert!(status.starts_with("HTTP/1.1 200"), "{details}");
            }
        }
    });
}

/// Guards against a request that is still incomplete when the platform kills the mixer: its client must be
/// answered before.
#[test]
fn unfinished_request_before_kill() {
    // The kill comes before and after the time limit for receiving a whole request.
    for longest_ms in [500, LONGEST_TIMEOUT_MS] {
        let stops_midway = Schedule { connected_ms: 100, first_half_ms: 500, last_byte_ms: None };
        let mixer = start_with_timeout(&format!("stops-{longest_ms}"), longest_ms);
        let DrainResult { outcomes, ended_after } = drain_with_clients(mixer, &[stops_midway]);
        assert!(
            outcomes[0].status.starts_with("HTTP/1.1 408"),
            "{longest_ms}: {outcomes:?}, ended after {ended_after:?}"
        );
        assert!(
            ended_after < Duration::from_millis(longest_ms + KILL_GRACE_MS),
            "{longest_ms}: {ended_after:?}"
        );
    }
}

/// Guards against requests left in the accept queue: when listening ends, all connection slots are taken by
/// clients that are in the middle of sending theirs.
#[test]
fn partial_requests_beyond_connection_slots() {
    let config = write_config("few-places", |config| {
        config["limits"]["sockets"] = 48.into();
        for table_type in config["settings"]["services"].as_array_mut().expect("a list of table types") {
            table_type["hard_limit_ms"] = LONGEST_TIMEOUT_MS.into();
        }
    });
    let mut mixer = start_with_config(&config, &[SearcherBehavior::Answers]);
    // The first halves of 30 clients, for 18 slots, have arrived before the mixer accepts the first
    // connection.
    mixer.signal("STOP");
    let clients: Vec<HalfSentRequest> = (0..30).map(|nth| send_first_half(mixer.connect(), nth)).collect();
    mixer.signal("TERM");
    mixer.signal("CONT");
    let resumed_at = Instant::now();
    std::thread::scope(|scope| {
        for (nth, HalfSentRequest { mut client, rest }) in clients.into_iter().enumerate() {
            scope.spawn(move || {
                sleep_until(resumed_at, 900 + 30 * nth as i64);
                client.write_all(rest.as_bytes()).expect("the connection accepts bytes");
                let answer = read_answer(&client);
                assert!(answer.starts_with("HTTP/1.1 200 OK"), "{nth}: {answer}");
            });
        }
    });
    assert_eq!(mixer.child.wait().expect("the process ends").code(), Some(0));
}

/// A request of which the first half is sent.
struct HalfSentRequest {
    client: TcpStream,
    rest: String,
}

fn send_first_half(mut client: TcpStream, nth: usize) -> HalfSentRequest {
    let request = scan_request("lookup", 1).replace("q1", &format!("q{nth}"));
    let (first, rest) = request.split_at(request.len() / 2);
    client.write_all(first.as_bytes()).expect("the connection accepts bytes");
    HalfSentRequest { client, rest: rest.to_owned() }
}

/// Guards against a drain that waits for connections without a request.
#[test]
fn exit_with_idle_connections() {
    let mixer = start_with_timeout("silent", LONGEST_TIMEOUT_MS);
    let idle: Vec<TcpStream> = (0..3).map(|_| mixer.connect()).collect();
    let DrainResult { ended_after, .. } = drain_with_clients(mixer, &[]);
    assert!(ended_after < Duration::from_millis(LONGEST_TIMEOUT_MS / 2), "{ended_after:?}");
    drop(idle);
}
