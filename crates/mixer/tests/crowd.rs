//! Clients that ask while a crowd that asks nothing fills all places: what the mixer reads of them it answers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use pewterwharf_soak::process::{ShimLibrary, build_library};
use pewterwharf_standins::SearcherBehavior;

mod rig;
use rig::*;

/// Connections of the crowd, opened at once, again and again.
const CROWD: usize = 80;
const CROWD_EACH: Duration = Duration::from_millis(150);
/// Threads that ask, on a new connection each time.
const ASKING: usize = 6;

const ASKS_AFTER: Duration = Duration::from_millis(3);

/// How requests of one client ended.
#[derive(Debug, Default)]
struct Ends {
    answered: usize,
    /// The end of the connection in place of an answer.
    ended: usize,
    /// A reset in place of an answer.
    reset: usize,
}

fn ask_until(addr: SocketAddr, thread: usize, until: Instant) -> Ends {
    let mut ends = Ends::default();
    for nth in 0.. {
        if Instant::now() >= until {
            break;
        }
        let Ok(mut client) = TcpStream::connect(addr) else { continue };
        client.set_read_timeout(Some(CEILING)).expect("a time-out");
        let request = scan("lookup", 1).replace("q1", &format!("q{thread}-{nth}"));
        // Every second thread asks a little after it has connected, as on a busy machine.
        thread::sleep(ASKS_AFTER * (thread % 2) as u32);
        let mut first = [0; 1];
        match client.write_all(request.as_bytes()).and_then(|()| client.read(&mut first)) {
            Ok(1) => ends.answered += 1,
            Ok(_) => ends.ended += 1,
            Err(_) => ends.reset += 1,
        }
        thread::sleep(Duration::from_millis(10));
    }
    ends
}

/// Guards against a request that is read and then closed without an answer as its place is given to others.
#[test]
fn requests_that_are_read_beside_a_crowd_are_answered() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let library = build_library(ShimLibrary::Accepts, &folder).expect("the library can be built");
    let closes = folder.join(format!("closes-{}", std::process::id()));
    let _ = std::fs::remove_file(&closes); // of an earlier run
    let before = format!("export SHIM_CLOSES={} LD_PRELOAD={}", closes.display(), library.display());
    let config = config("crowd", |config| config["limits"]["sockets"] = 64.into());
    let mut mixer = start_after(&before, &config, None, &[SearcherBehavior::Answers]);
    let (addr, until) = (mixer.addr, Instant::now() + Duration::from_secs(6));
    let ends: Vec<Ends> = thread::scope(|scope| {
        let asking: Vec<_> =
            (0..ASKING).map(|thread| scope.spawn(move || ask_until(addr, thread, until))).collect();
        while Instant::now() < until {
            let crowd: Vec<_> = (0..CROWD).map_while(|_| TcpStream::connect(addr).ok()).collect();
            thread::sleep(CROWD_EACH);
            drop(crowd);
        }
        asking.into_iter().map(|client| client.join().expect("it asks")).collect()
    });
    mixer.signal("TERM");
    assert_eq!(mixer.child.wait().expect("it ends").code(), Some(0));
    let notes = std::fs::read_to_string(&closes).expect("the closes");
    let count = |line: &str| -> (u64, u64) {
        let (received, sent) = line.split_once(' ').expect("two counts");
        (received.parse().expect("a count"), sent.parse().expect("a count"))
    };
    let read_and_closed = notes.lines().map(count).filter(|(received, sent)| *received > 0 && *sent == 0);
    let unread = notes.lines().map(count).filter(|(received, _)| *received == 0);
    let (read_and_closed, unread) = (read_and_closed.count(), unread.count());
    println!("{ends:?}; of the mixer's closes {unread} unread, {read_and_closed} read and not answered");
    assert!(ends.iter().all(|ends| ends.answered > 0), "{ends:?}");
    assert_eq!(read_and_closed, 0, "{ends:?}, {unread} closed unread");
}
