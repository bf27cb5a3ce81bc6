//! The environment of the mixers: searchers that record the parts they receive, a discovery server, and clients.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, Builder, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pewterwharf_standins::{DiscoveryServer, SearcherBehavior, serve_searcher_with};
use serde_json::json;

use crate::checks::{Outcome, is_entry};

/// Milliseconds of work of a part.
pub const PART_WORK_MS: u64 = 5;
pub const SHARDS: usize = 16;
/// Cells of the layout: each shard is held by two consecutive cells.
pub const CELLS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum SearcherState {
    Up = 0,
    Hangs = 1,
    Dead = 2,
}

/// A part that a searcher received.
#[derive(Clone, Debug)]
pub struct ReceivedPart {
    pub at: Instant,
    pub searcher: usize,
    pub part: String,
}

/// A searcher's entry in discovery.
#[derive(Clone, Copy)]
struct DiscoveryEntry {
    status: &'static str,
    /// Start of the searcher, in milliseconds of the wall clock.
    since_ms: f64,
}

/// All searchers, and the parts that they received.
pub struct Searchers {
    pub addresses: Vec<SocketAddr>,
    /// A [`SearcherState`] as a number, for each searcher.
    states: Vec<Arc<AtomicUsize>>,
    received: Arc<Mutex<Vec<ReceivedPart>>>,
    entries: Mutex<Vec<DiscoveryEntry>>,
    pub discovery: DiscoveryServer,
    /// Index of the last update published to discovery.
    index: AtomicU64,
}

impl Searchers {
    pub fn start(count: usize) -> io::Result<Self> {
        let (mut addresses, mut states) = (Vec::new(), Vec::new());
        let received: Arc<Mutex<Vec<ReceivedPart>>> = Arc::default();
        for searcher in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let state = Arc::new(AtomicUsize::new(SearcherState::Up as usize));
            states.push(state.clone());
            let behavior = move || match state.load(Ordering::SeqCst) {
                0 => SearcherBehavior::AnswersAfterMs(PART_WORK_MS),
                1 => SearcherBehavior::Hangs,
                _ => SearcherBehavior::DisconnectsAlways,
            };
            let (frame_sender, frames) = mpsc::channel::<String>();
            serve_searcher_with(listener, behavior, frame_sender);
            let received = received.clone();
            Builder::new().name("arrived".to_owned()).spawn(move || {
                for frame in frames {
                    let now = Instant::now();
                    let parts = part_names(&frame);
                    let mut received = received.lock().unwrap_or_else(PoisonError::into_inner);
                    received.extend(parts.map(|part| ReceivedPart { at: now, searcher, part }));
                }
            })?;
        }
        let searchers = Self {
            addresses,
            states,
            received,
            entries: Mutex::new(vec![DiscoveryEntry { status: "up", since_ms: 0.0 }; count]),
            discovery: DiscoveryServer::default(),
            index: AtomicU64::new(0),
        };
        searchers.publish(&(0..count).collect::<Vec<_>>(), true);
        Ok(searchers)
    }

    /// Publishes the entries of some searchers to discovery.
    fn publish(&self, searchers: &[usize], snapshot: bool) {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let endpoint = |searcher: &usize| {
            let DiscoveryEntry { status, since_ms } = entries[*searcher];
            let address = self.addresses[*searcher].to_string();
            json!({"name": format!("s{}", searcher + 1), "address": address, "zone": "hall", "type": "toy",
                   "group": searcher % CELLS, "status": status, "weight": 1.0, "since_ms": since_ms})
        };
        let index = self.index.fetch_add(1, Ordering::SeqCst) + 1;
        let endpoints: Vec<_> = searchers.iter().map(endpoint).collect();
        self.discovery.publish(json!({"index": index, "snapshot": snapshot, "endpoints": endpoints}));
    }

    /// Changes the status of a searcher in discovery, and its start if one is given.
    pub fn set_discovery_status(&self, searcher: usize, status: &'static str, since_ms: Option<f64>) {
        {
            let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
            let entry = &mut entries[searcher];
            entry.status = status;
            entry.since_ms = since_ms.unwrap_or(entry.since_ms);
        }
        self.publish(&[searcher], false);
    }

    pub fn set_state(&self, searcher: usize, state: SearcherState) {
        self.states[searcher].store(state as usize, Ordering::SeqCst);
    }

    pub fn received_parts(&self) -> Vec<ReceivedPart> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// The names of the parts in a dispatch frame: `D`, then for each part a line of four fields and its text, which contains
/// no line break. Other frames have none.
fn part_names(frame: &str) -> impl Iterator<Item = String> {
    let lines = frame.strip_prefix("D ").unwrap_or("").lines();
    lines.filter_map(|line| {
        let mut fields = line.rsplit("find").next()?.split_whitespace();
        let (part, _shard, deadline) = (fields.next()?, fields.next()?, fields.next()?);
        deadline.starts_with("d=").then(|| part.to_owned())
    })
}

/// Milliseconds of the wall clock, in which discovery states the starts of searchers.
pub fn unix_time_ms() -> f64 {
    #[expect(
        clippy::disallowed_methods,
        reason = "discovery states the starts of searchers by the wall clock of its own host"
    )]
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

/// A scan as its client saw it.
#[derive(Clone, Debug)]
pub struct ClientScan {
    pub id: String,
    pub mixer: usize,
    /// Number of the mixer's process that it was sent to.
    pub process: u64,
    pub began: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
    /// More bytes followed the answer.
    pub extra_bytes: bool,
}

/// Time that a client waits for an answer, whatever its query timeout: far longer than any stall of a script.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Query timeout that clients send with each scan.
pub const QUERY_TIMEOUT_MS: u64 = 1500;

/// A process that accepts requests of clients.
#[derive(Clone, Copy, Debug)]
pub struct MixerEndpoint {
    /// Number of the process.
    pub process: u64,
    pub address: SocketAddr,
}

/// The endpoint of each mixer that is ready, by the mixer's number.
pub type ReadyMixers = Arc<Mutex<Vec<Option<MixerEndpoint>>>>;

/// Clients that send scans at a steady rate to the mixers in turn, each scan on a connection of its own.
pub struct Clients {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
    scans: Arc<Mutex<Vec<ClientScan>>>,
    in_flight: Arc<AtomicUsize>,
}

impl Clients {
    pub fn start(scans_per_s: u32, ready_mixers: ReadyMixers, seed: u64) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let in_flight = Arc::new(AtomicUsize::new(0));
        let scans: Arc<Mutex<Vec<ClientScan>>> = Arc::default();
        let load = LoadGenerator {
            scans_per_s,
            ready_mixers,
            seed,
            stop: stop.clone(),
            scans: scans.clone(),
            in_flight: in_flight.clone(),
        };
        let thread = Builder::new().name("clients".to_owned()).spawn(move || load.run())?;
        Ok(Self { stop, thread, scans, in_flight })
    }

    /// Sends no more scans, waits for those in flight and returns all.
    pub fn finish(self) -> Vec<ClientScan> {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.thread.join(); // the scans it started are recorded even if it panicked
        while self.in_flight.load(Ordering::SeqCst) > 0 {
            thread::sleep(Duration::from_millis(10));
        }
        self.scans.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// The thread that starts the scans.
struct LoadGenerator {
    scans_per_s: u32,
    ready_mixers: ReadyMixers,
    seed: u64,
    stop: Arc<AtomicBool>,
    scans: Arc<Mutex<Vec<ClientScan>>>,
    in_flight: Arc<AtomicUsize>,
}

impl LoadGenerator {
    fn run(self) {
        let mut scan_number = 0_u64;
        let mut turn = 0_usize;
        let began = Instant::now();
        while self.scans_per_s > 0 && !self.stop.load(Ordering::SeqCst) {
            // Times are computed from the start, not from the previous scan, so that delays do not lower the load.
            let due = began + Duration::from_secs_f64(scan_number as f64 / f64::from(self.scans_per_s));
            thread::sleep(due.saturating_duration_since(Instant::now()).min(Duration::from_millis(100)));
            if Instant::now() < due {
                continue;
            }
            scan_number += 1;
            turn = turn.wrapping_add(1);
            if let Some((mixer, endpoint)) = self.choose_mixer(turn) {
                self.start_scan(scan_number, mixer, endpoint);
            }
        }
    }

    fn choose_mixer(&self, turn: usize) -> Option<(usize, MixerEndpoint)> {
        let ready_mixers = self.ready_mixers.lock().unwrap_or_else(PoisonError::into_inner);
        let ready: Vec<_> = ready_mixers.iter().enumerate().filter_map(|(m, e)| Some((m, (*e)?))).collect();
        ready.get(turn % ready.len().max(1)).copied()
    }

    fn start_scan(&self, scan_number: u64, mixer: usize, endpoint: MixerEndpoint) {
        let (scans, in_flight) = (self.scans.clone(), self.in_flight.clone());
        in_flight.fetch_add(1, Ordering::SeqCst);
        let id = format!("m{}-{:x}-{scan_number}", mixer + 1, self.seed);
        let client = Builder::new().stack_size(64 * 1024).spawn(move || {
            let began = Instant::now();
            let ScanEnd { outcome, extra_bytes } = send_scan(endpoint.address, &id, scan_number)
                .unwrap_or_else(|_| ScanEnd::without_answer(Outcome::ConnectionLost));
            let ended = Instant::now();
            let process = endpoint.process;
            let scan = ClientScan { id, mixer, process, began, ended, outcome, extra_bytes };
            scans.lock().unwrap_or_else(PoisonError::into_inner).push(scan);
            in_flight.fetch_sub(1, Ordering::SeqCst);
        });
        if client.is_err() {
            self.in_flight.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

/// The end of a scan at its client.
struct ScanEnd {
    outcome: Outcome,
    /// More bytes followed the answer.
    extra_bytes: bool,
}

impl ScanEnd {
    fn without_answer(outcome: Outcome) -> Self {
        Self { outcome, extra_bytes: false }
    }
}

/// Sends a scan and reads its answer.
fn send_scan(address: SocketAddr, id: &str, scan_number: u64) -> io::Result<ScanEnd> {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else {
        return Ok(ScanEnd::without_answer(Outcome::ConnectFailed));
    };
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.set_nodelay(true)?;
    // Each fifth scan is an entry, which must not run twice.
    let (service, parts) = if is_entry(scan_number) { ("entry", 1) } else { ("lookup", 3) };
    let first_shard = scan_number as usize * 7 % SHARDS;
    let weight = |n: usize| if parts == 1 { 1.0 } else { [0.34, 0.33, 0.33][n] };
    let part = |n: usize| json!({"id": (first_shard + n * 5) % SHARDS, "w": weight(n)});
    let body = json!({"parts": (0..parts).map(part).collect::<Vec<_>>(), "expr": "find"}).to_string();
    write!(
        stream,
        "POST /{service} HTTP/1.1\r\nHost: drill\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: {QUERY_TIMEOUT_MS}\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    match input.read_line(&mut line) {
        Ok(0) => return Ok(ScanEnd::without_answer(Outcome::ConnectionLost)),
        Ok(_) => {}
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            return Ok(ScanEnd::without_answer(Outcome::TimedOut));
        }
        Err(_) => return Ok(ScanEnd::without_answer(Outcome::ConnectionLost)),
    }
    let status: u16 = line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let mut length = 0;
    loop {
        line.clear();
        // An empty line, of two bytes, ends the headers.
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
    let mut next_byte = [0; 1];
    let extra_bytes = input.read(&mut next_byte).is_ok_and(|count| count > 0);
    let outcome = match status {
        200 => Outcome::Completed,
        429 | 503 => Outcome::Refused,
        504 => Outcome::Abandoned,
        other => Outcome::UnexpectedStatus(other),
    };
    Ok(ScanEnd { outcome, extra_bytes })
}

/// Starts a listener of the discovery server and returns its address.
pub fn serve_discovery(server: &DiscoveryServer) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    server.serve(listener);
    Ok(address)
}
