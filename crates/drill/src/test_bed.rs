//! What stands in for the mixers' world: searchers that count what ran, a way to discovery for each mixer, clients.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, Builder, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pewterwharf_standins::{DiscoveryServer, SearcherBehavior, serve_searcher_with};
use serde_json::json;

use crate::checks::{Outcome, is_entry};

/// Milliseconds of work of a part.
pub const WORK_MS: u64 = 5;
/// Shards, and cells of the layout: each shard is held by two cells in a row.
pub const SHARDS: usize = 16;
pub const CELLS: usize = 4;

/// What a searcher does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    Hangs,
    Dead,
}

/// A part that reached a searcher, and when.
#[derive(Clone, Debug)]
pub struct ReceivedPart {
    pub at: Instant,
    pub searcher: usize,
    pub part: String,
}

/// All searchers, and what reached them.
pub struct Searchers {
    pub at: Vec<SocketAddr>,
    states: Vec<Arc<AtomicUsize>>,
    arrived: Arc<Mutex<Vec<ReceivedPart>>>,
    /// How each is listed, and since when, in milliseconds of the wall clock.
    listed: Mutex<Vec<(&'static str, f64)>>,
    pub lists: DiscoveryServer,
    index: AtomicU64,
}

impl Searchers {
    pub fn start(count: usize) -> io::Result<Self> {
        let (mut at, mut states) = (Vec::new(), Vec::new());
        let arrived: Arc<Mutex<Vec<ReceivedPart>>> = Arc::default();
        for searcher in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            at.push(listener.local_addr()?);
            let state = Arc::new(AtomicUsize::new(0));
            states.push(state.clone());
            let behavior = move || match state.load(Ordering::SeqCst) {
                0 => SearcherBehavior::AnswersAfterMs(WORK_MS),
                1 => SearcherBehavior::Hangs,
                _ => SearcherBehavior::DisconnectsAlways,
            };
            let (says, heard) = mpsc::channel::<String>();
            serve_searcher_with(listener, behavior, says);
            let arrived = arrived.clone();
            Builder::new().name("arrived".to_owned()).spawn(move || {
                for frame in heard {
                    let now = Instant::now();
                    // `D`, then for each part a line of four words and its text, which holds no line.
                    let Some(rest) = frame.strip_prefix("D ") else { continue };
                    let parts = rest.lines().filter_map(|line| {
                        let mut words = line.rsplit("find").next()?.split_whitespace();
                        let (part, _shard, wait) = (words.next()?, words.next()?, words.next()?);
                        wait.starts_with("d=").then(|| part.to_owned())
                    });
                    let mut arrived = arrived.lock().unwrap_or_else(PoisonError::into_inner);
                    arrived.extend(parts.map(|part| ReceivedPart { at: now, searcher, part }));
                }
            })?;
        }
        let listed = Mutex::new(vec![("up", 0.0); count]);
        let searchers =
            Self { at, states, arrived, listed, lists: DiscoveryServer::default(), index: AtomicU64::new(0) };
        searchers.publish(&(0..count).collect::<Vec<_>>(), true);
        Ok(searchers)
    }

    /// Tells discovery how some are listed.
    fn publish(&self, some: &[usize], whole: bool) {
        let listed = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = |s: &usize| {
            let (status, since) = listed[*s];
            json!({"name": format!("s{}", s + 1), "address": self.at[*s].to_string(), "zone": "hall", "type": "toy",
                   "group": s % CELLS, "status": status, "weight": 1.0, "since_ms": since})
        };
        let index = self.index.fetch_add(1, Ordering::SeqCst) + 1;
        let entries: Vec<_> = some.iter().map(entry).collect();
        self.lists.publish(json!({"index": index, "snapshot": whole, "endpoints": entries}));
    }

    pub fn list(&self, searcher: usize, status: &'static str, since: Option<f64>) {
        {
            let mut listed = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
            let held = &mut listed[searcher];
            *held = (status, since.unwrap_or(held.1));
        }
        self.publish(&[searcher], false);
    }

    pub fn set(&self, searcher: usize, state: State) {
        let state = match state {
            State::Up => 0,
            State::Hangs => 1,
            State::Dead => 2,
        };
        self.states[searcher].store(state, Ordering::SeqCst);
    }

    pub fn arrived(&self) -> Vec<ReceivedPart> {
        self.arrived.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Milliseconds of the wall clock, as lists tell starts.
pub fn wall_ms() -> f64 {
    #[expect(
        clippy::disallowed_methods,
        reason = "discovery says when searchers started, as its own host's clock has it"
    )]
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

/// A scan, and when its client began and was done.
#[derive(Clone, Debug)]
pub struct ClientScan {
    pub id: String,
    pub mixer: usize,
    pub process: u64,
    pub began: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
    pub twice: bool,
}

/// How long a client waits for an answer, whatever its query timeout: far longer than any stall of a script.
const SILENT: Duration = Duration::from_secs(30);
/// What clients give a scan, in milliseconds.
pub const TIMEOUT_MS: u64 = 1500;

/// Where a scan goes.
pub type ReadyMixers = Arc<Mutex<Vec<Option<(u64, SocketAddr)>>>>;

/// Clients that ask at a steady pace, each scan on a connection of its own, of mixers in turn.
pub struct Clients {
    stop: Arc<AtomicUsize>,
    thread: JoinHandle<()>,
    asked: Arc<Mutex<Vec<ClientScan>>>,
    open: Arc<AtomicUsize>,
}

impl Clients {
    pub fn start(load: u32, ready_mixers: ReadyMixers, seed: u64) -> io::Result<Self> {
        let (stop, open) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let asked: Arc<Mutex<Vec<ClientScan>>> = Arc::default();
        let (stops, opens, told) = (stop.clone(), open.clone(), asked.clone());
        let run = move || {
            let (mut nth, mut turn) = (0_u64, 0_usize);
            let began = Instant::now();
            while load > 0 && stops.load(Ordering::SeqCst) == 0 {
                // By the pace, not by a pause after each: a late start makes no load less.
                let due = began + Duration::from_secs_f64(nth as f64 / f64::from(load));
                thread::sleep(due.saturating_duration_since(Instant::now()).min(Duration::from_millis(100)));
                if Instant::now() < due {
                    continue;
                }
                nth += 1;
                let to = {
                    let ready_mixers = ready_mixers.lock().unwrap_or_else(PoisonError::into_inner);
                    let live: Vec<_> = ready_mixers
                        .iter()
                        .enumerate()
                        .filter_map(|(m, f)| f.map(|(p, at)| (m, p, at)))
                        .collect();
                    turn = turn.wrapping_add(1);
                    live.get(turn % live.len().max(1)).copied()
                };
                let Some((mixer, process, at)) = to else { continue };
                let (told, held) = (told.clone(), opens.clone());
                held.fetch_add(1, Ordering::SeqCst);
                let id = format!("m{}-{seed:x}-{nth}", mixer + 1);
                let one = Builder::new().stack_size(64 * 1024).spawn(move || {
                    let began = Instant::now();
                    let (outcome, twice) = ask(at, &id, nth).unwrap_or((Outcome::ConnectionLost, false));
                    let ended = Instant::now();
                    let asked = ClientScan { id, mixer, process, began, ended, outcome, twice };
                    told.lock().unwrap_or_else(PoisonError::into_inner).push(asked);
                    held.fetch_sub(1, Ordering::SeqCst);
                });
                if one.is_err() {
                    opens.fetch_sub(1, Ordering::SeqCst);
                }
            }
        };
        let thread = Builder::new().name("clients".to_owned()).spawn(run)?;
        Ok(Self { stop, thread, asked, open })
    }

    /// Asks no more, and waits until all that was asked is over.
    pub fn end(self) -> Vec<ClientScan> {
        self.stop.store(1, Ordering::SeqCst);
        let _ = self.thread.join(); // it told what it had
        while self.open.load(Ordering::SeqCst) > 0 {
            thread::sleep(Duration::from_millis(10));
        }
        self.asked.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn ask(at: SocketAddr, id: &str, nth: u64) -> io::Result<(Outcome, bool)> {
    let Ok(mut stream) = TcpStream::connect_timeout(&at, Duration::from_secs(5)) else {
        return Ok((Outcome::ConnectFailed, false));
    };
    stream.set_read_timeout(Some(SILENT))?;
    stream.set_nodelay(true)?;
    // Each fifth is one that may not run twice.
    let (path, parts) = if is_entry(nth) { ("entry", 1) } else { ("lookup", 3) };
    let first = nth as usize * 7 % SHARDS;
    let part = |n: usize| json!({"id": (first + n * 5) % SHARDS, "w": if parts == 1 { 1.0 } else { [0.34, 0.33, 0.33][n] }});
    let body = json!({"parts": (0..parts).map(part).collect::<Vec<_>>(), "expr": "find"}).to_string();
    write!(
        stream,
        "POST /{path} HTTP/1.1\r\nHost: drill\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: {TIMEOUT_MS}\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    match input.read_line(&mut line) {
        Ok(0) => return Ok((Outcome::ConnectionLost, false)),
        Ok(_) => {}
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            return Ok((Outcome::TimedOut, false));
        }
        Err(_) => return Ok((Outcome::ConnectionLost, false)),
    }
    let status: u16 = line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let mut length = 0;
    loop {
        line.clear();
        if input.read_line(&mut line)? <= 2 {
            break;
        }
        if let Some((key, value)) = line.split_once(':')
            && key.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body)?;
    let mut more = [0; 1];
    let twice = input.read(&mut more).is_ok_and(|count| count > 0);
    let outcome = match status {
        200 => Outcome::Completed,
        429 | 503 => Outcome::Refused,
        504 => Outcome::Abandoned,
        other => Outcome::UnexpectedStatus(other),
    };
    Ok((outcome, twice))
}

/// A place of discovery for one mixer.
pub fn discovery(lists: &DiscoveryServer) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    lists.serve(listener);
    Ok(at)
}
