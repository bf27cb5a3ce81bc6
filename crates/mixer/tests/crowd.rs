//! Clients that send requests while a crowd of idle connections takes all connection slots: each request that
//! the mixer has read is answered.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use pewterwharf_soak::process::{ShimLibrary, build_library};
use pewterwharf_standins::SearcherBehavior;

mod harness;
use harness::*;

/// Idle connections that are opened at once, again and again.
const CROWD_SIZE: usize = 80;
/// How long each crowd stays.
const CROWD_DURATION: Duration = Duration::from_millis(150);
/// Threads that send requests, each on a new connection every time.
const CLIENTS: usize = 6;
/// The delay between connecting and sending in every second thread, as on a busy machine.
const SEND_DELAY: Duration = Duration::from_millis(3);
const PAUSE_BETWEEN_REQUESTS: Duration = Duration::from_millis(10);
const TEST_DURATION: Duration = Duration::from_secs(6);

/// How the requests of one client ended.
#[derive(Debug, Default)]
struct Outcomes {
    answered: usize,
    /// The connection ended in place of an answer.
    ended: usize,
    /// The connection was reset in place of an answer.
    reset: usize,
}

fn send_requests_until(address: SocketAddr, thread: usize, until: Instant) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for nth in 0.. {
        if Instant::now() >= until {
            break;
        }
        let Ok(mut client) = TcpStream::connect(address) else { continue };
        client.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
        let request = scan_request("lookup", 1).replace("q1", &format!("q{thread}-{nth}"));
        thread::sleep(SEND_DELAY * (thread % 2) as u32);
        let mut first_byte = [0; 1];
        match client.write_all(request.as_bytes()).and_then(|()| client.read(&mut first_byte)) {
            Ok(1) => outcomes.answered += 1,
            Ok(_) => outcomes.ended += 1,
            Err(_) => outcomes.reset += 1,
        }
        thread::sleep(PAUSE_BETWEEN_REQUESTS);
    }
    outcomes
}

/// What the mixer received and sent on a connection that it closed.
struct ClosedConnection {
    received: u64,
    sent: u64,
}

fn parse_closed_connection(line: &str) -> ClosedConnection {
    let (received, sent) = line.split_once(' ').expect("two counts");
    ClosedConnection { received: received.parse().expect("a count"), sent: sent.parse().expect("a count") }
}

/// Guards against a request that the mixer reads and then closes without an answer to free its connection
/// slot.
#[test]
fn requests_beside_idle_crowd() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let library = build_library(ShimLibrary::Accepts, &folder).expect("the library can be built");
    let record = folder.join(format!("closes-{}", std::process::id()));
    let _ = std::fs::remove_file(&record); // from an earlier run
    let shell_command = format!("export SHIM_CLOSES={} LD_PRELOAD={}", record.display(), library.display());
    let config = write_config("crowd", |config| config["limits"]["sockets"] = 64.into());
    let mut mixer = start_after_command(&shell_command, &config, None, &[SearcherBehavior::Answers]);
    let (address, until) = (mixer.address, Instant::now() + TEST_DURATION);
    let outcomes: Vec<Outcomes> = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|thread| scope.spawn(move || send_requests_until(address, thread, until)))
            .collect();
        while Instant::now() < until {
            let crowd: Vec<_> = (0..CROWD_SIZE).map_while(|_| TcpStream::connect(address).ok()).collect();
            thread::sleep(CROWD_DURATION);
            drop(crowd);
        }
        clients.into_iter().map(|client| client.join().expect("the client ends")).collect()
    });
    mixer.signal("TERM");
    assert_eq!(mixer.child.wait().expect("the process ends").code(), Some(0));
    let closes = std::fs::read_to_string(&record).expect("the record can be read");
    let closes: Vec<ClosedConnection> = closes.lines().map(parse_closed_connection).collect();
    let read_and_closed = closes.iter().filter(|close| close.received > 0 && close.sent == 0).count();
    let unread = closes.iter().filter(|close| close.received == 0).count();
    println!(
        "{outcomes:?}; of the connections that the mixer closed {unread} were unread, {read_and_closed} read and not answered"
    );
    assert!(outcomes.iter().all(|client| client.answered > 0), "{outcomes:?}");
    assert_eq!(read_and_closed, 0, "{outcomes:?}, {unread} closed unread");
}
