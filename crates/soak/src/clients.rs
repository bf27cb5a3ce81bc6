//! The clients of one mixer as a process. Some send ordinary requests; others leave early, write slowly, pipeline requests, send
//! excess bytes, or stop within a request.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, Builder};
use std::time::Duration;

use anyhow::Result;
use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::clock::{TimeMs, now_ms};
use crate::control::{self, ClientsCommand};
use crate::record::{self, ConnectionEnd, Event, Recorder};
use crate::searcher;
use crate::settings::{CLASSES, Class, SHARDS};

const STACK_BYTES: usize = 192 * 1024;
/// The length of a long query text.
const LONG_TEXT_BYTES: usize = 4096;
/// A client stops waiting for an answer this long after the deadline of its request.
const WAIT_AFTER_DEADLINE_MS: f64 = 1500.0;
/// A client that stopped within a request waits this long for an error or the end of the connection.
const ABANDONED_WAIT_MS: f64 = 6000.0;
/// The read timeout after which a blocked read checks for commands.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause after a connection failed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(30);
/// Pieces in which a slow writer sends a request.
const SLOW_WRITE_PIECES: usize = 6;

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientBehavior {
    /// Sends a request, reads the answer, pauses for some tens of milliseconds.
    Steady,
    /// Is idle for seconds between requests, and sends an extra line end after each.
    Idle,
    /// Closes the connection while it waits for the answer.
    Leaves,
    /// Sends several requests in one write.
    Pipelines,
    /// Writes its request over up to 1.5 s.
    WritesSlowly,
    /// Stops in the middle of a request and keeps the connection open.
    Stops,
    /// Sends kilobytes behind its request and closes at once.
    SendsExcessAndLeaves,
    /// Sends the second half of its request long after the first, but within the time limit for a request.
    SendsHalves,
}

/// The clients of a mixer.
const CLIENT_BEHAVIORS: [ClientBehavior; 12] = [
    ClientBehavior::Steady,
    ClientBehavior::Steady,
    ClientBehavior::Steady,
    ClientBehavior::Steady,
    ClientBehavior::Idle,
    ClientBehavior::Leaves,
    ClientBehavior::Pipelines,
    ClientBehavior::Pipelines,
    ClientBehavior::WritesSlowly,
    ClientBehavior::WritesSlowly,
    ClientBehavior::Stops,
    ClientBehavior::SendsExcessAndLeaves,
];

/// Further clients of a mixer that send their requests in two halves, in runs with [`Setup::halves`].
const HALF_SENDING_CLIENTS: u64 = 4;
/// Bounds on the time between the two halves. They cover most of the duration of a drain, so that many drains begin and stop
/// listening in between.
const MIN_HALVES_DISTANCE_MS: f64 = 300.0;
const MAX_HALVES_DISTANCE_MS: f64 = 1800.0;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    pub folder: String,
    pub mixer: usize,
    pub address: SocketAddr,
    pub seed: u64,
    /// Whether some queries have long texts.
    pub long_texts: bool,
    /// Whether some requests are sent in two halves.
    pub halves: bool,
}

struct Shared {
    setup: Setup,
    recorder: Recorder,
    /// Whether the load balancer sends new connections to the mixer.
    in_rotation: AtomicBool,
    is_finished: AtomicBool,
    /// The number of commands to leave.
    leave_commands: AtomicU64,
    next_id: AtomicU64,
}

/// Serves until the runner ends.
pub fn serve(setup: Setup) -> Result<()> {
    let recorder = record::create_recorder(&setup.folder, &format!("clients-{}", setup.mixer))?;
    let shared = Arc::new(Shared {
        setup,
        recorder,
        in_rotation: AtomicBool::new(false),
        is_finished: AtomicBool::new(false),
        leave_commands: AtomicU64::new(0),
        next_id: AtomicU64::new(0),
    });
    for (nth, behavior) in CLIENT_BEHAVIORS.into_iter().enumerate() {
        shared.start_client(nth as u64, behavior, usize::MAX)?;
    }
    let mut started = CLIENT_BEHAVIORS.len() as u64;
    if shared.setup.halves {
        for _ in 0..HALF_SENDING_CLIENTS {
            shared.start_client(started, ClientBehavior::SendsHalves, usize::MAX)?;
            started += 1;
        }
    }
    control::receive_commands(|command| match command {
        ClientsCommand::SetInRotation(in_rotation) => {
            shared.in_rotation.store(in_rotation, Ordering::SeqCst);
        }
        ClientsCommand::LeaveAll => drop(shared.leave_commands.fetch_add(1, Ordering::SeqCst)),
        ClientsCommand::Finish => shared.is_finished.store(true, Ordering::SeqCst),
        ClientsCommand::Burst(count) => {
            for _ in 0..count {
                started += 1;
                let _ = shared.start_client(started, ClientBehavior::Steady, 1); // a smaller burst is fine too
            }
        }
        ClientsCommand::Crowd(count, ms) => {
            let shared = shared.clone();
            thread::spawn(move || shared.hold_idle_connections(count, ms));
        }
    });
    Ok(())
}

impl Shared {
    /// Starts the thread of a client, which does this many rounds.
    fn start_client(self: &Arc<Self>, nth: u64, behavior: ClientBehavior, rounds: usize) -> io::Result<()> {
        let seed = self.setup.seed.wrapping_mul(1_000_003).wrapping_add(nth);
        let random = Mutex::new(Rand64::new(u128::from(seed)));
        let client = Client { shared: self.clone(), behavior, random };
        Builder::new().stack_size(STACK_BYTES).spawn(move || client.run(rounds)).map(drop)
    }

    fn hold_idle_connections(&self, count: usize, ms: u64) {
        let connections: Vec<_> =
            (0..count).map_while(|_| TcpStream::connect(self.setup.address).ok()).collect();
        thread::sleep(Duration::from_millis(ms));
        drop(connections);
    }
}

/// A part of a request.
struct Part {
    shard: u32,
    weight: f64,
}

struct Request {
    id: String,
    class: &'static Class,
    text: String,
    deadline_ms: f64,
    parts: Vec<Part>,
    /// The request as it is written.
    bytes: Vec<u8>,
}

struct Answer {
    status: u16,
    body: Vec<u8>,
    /// Whether the mixer closes the connection after it.
    closes_connection: bool,
}

/// Why there is no complete answer.
enum NoAnswer {
    ConnectionEnded {
        how: ConnectionEnd,
        is_partial: bool,
    },
    TimedOut,
    /// The client was commanded to leave.
    Left,
}

/// Who ended a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EndedBy {
    Mixer,
    Client,
}

struct Connection {
    stream: TcpStream,
    input: BufReader<TcpStream>,
    /// The number of requests sent on it.
    requests: usize,
}

struct Client {
    shared: Arc<Shared>,
    behavior: ClientBehavior,
    random: Mutex<Rand64>,
}

impl Client {
    fn random(&self) -> MutexGuard<'_, Rand64> {
        self.random.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A random number in this range.
    fn draw_between(&self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.random().rand_float()
    }

    fn sleep_between_ms(&self, low: f64, high: f64) {
        thread::sleep(Duration::from_secs_f64(self.draw_between(low, high) / 1000.0));
    }

    fn is_finished(&self) -> bool {
        self.shared.is_finished.load(Ordering::SeqCst)
    }

    fn run(&self, rounds: usize) {
        let mut connection = None;
        for _ in 0..rounds {
            if self.is_finished() {
                return;
            }
            if connection.is_none() && !self.shared.in_rotation.load(Ordering::SeqCst) {
                thread::sleep(RECONNECT_PAUSE);
                continue;
            }
            let Some(open) = connection.take().or_else(|| self.connect()) else {
                thread::sleep(RECONNECT_PAUSE);
                continue;
            };
            connection = self.run_round(open);
            self.pause();
        }
    }

    /// The pause between two rounds.
    fn pause(&self) {
        match self.behavior {
            ClientBehavior::Idle => self.sleep_between_ms(500.0, 3500.0),
            ClientBehavior::Stops => self.sleep_between_ms(300.0, 900.0),
            _ => self.sleep_between_ms(15.0, 90.0),
        }
    }

    fn connect(&self) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&self.shared.setup.address, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(POLL_INTERVAL)).ok()?;
        let input = BufReader::new(stream.try_clone().ok()?);
        Some(Connection { stream, input, requests: 0 })
    }

    /// Executes one round of the client's behavior. Returns the connection if it stays open.
    fn run_round(&self, mut connection: Connection) -> Option<Connection> {
        if self.behavior == ClientBehavior::Idle && !self.check_idle(&mut connection) {
            return None;
        }
        match self.behavior {
            ClientBehavior::Steady | ClientBehavior::Idle | ClientBehavior::WritesSlowly => {
                let request = self.draw_request();
                self.write_request(&mut connection, &request).ok()?;
                self.record_sent(&request, connection.requests, None);
                connection.requests += 1;
                self.await_answer(connection, &request).ok()
            }
            ClientBehavior::Leaves => {
                let request = self.draw_request();
                self.write_request(&mut connection, &request).ok()?;
                self.record_sent(&request, connection.requests, None);
                self.sleep_between_ms(0.0, 60.0);
                self.leave(&connection, &request);
                None
            }
            ClientBehavior::SendsExcessAndLeaves => {
                let request = self.draw_request();
                let mut bytes = request.bytes.clone();
                bytes.extend(b"GET /-/healthy HTTP/1.1\r\n\r\n".repeat(400));
                self.record_sent(&request, 0, None);
                let _ = connection.stream.write_all(&bytes); // the client leaves in any case
                self.leave(&connection, &request);
                None
            }
            ClientBehavior::Pipelines => self.send_pipeline(connection),
            ClientBehavior::SendsHalves => self.send_halves(connection),
            ClientBehavior::Stops => {
                let request = self.draw_request();
                let half = request.bytes.len() / 2;
                connection.stream.write_all(&request.bytes[..half]).ok()?;
                self.wait_after_stop(connection);
                None
            }
        }
    }

    /// Returns whether nothing arrived while the connection was idle. An unsolicited error is recorded.
    fn check_idle(&self, connection: &mut Connection) -> bool {
        let mut line = String::new();
        match connection.input.read_line(&mut line) {
            Ok(0) => false,
            Ok(_) => {
                let (at, mixer) = (now_ms(), self.shared.setup.mixer);
                let line = line.trim_end().to_owned();
                self.shared.recorder.record(&Event::UnsolicitedError { at, mixer, line });
                false
            }
            Err(error) => is_timeout(&error),
        }
    }

    fn draw_request(&self) -> Request {
        let number = self.shared.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("m{}-{number:06}", self.shared.setup.mixer);
        let class = &CLASSES[self.random().rand_range(0..CLASSES.len() as u64) as usize];
        let count = if class.needed_weight < 1.0 {
            self.random().rand_range(2..6)
        } else {
            self.random().rand_range(1..4)
        };
        let first_shard = self.random().rand_range(0..u64::from(SHARDS)) as u32;
        let parts: Vec<Part> = (0..count as u32)
            .map(|nth| Part { shard: (first_shard + nth) % SHARDS, weight: 1.0 / count as f64 })
            .collect();
        let deadline_ms = self.draw_between(0.4 * class.timeout_ms, class.timeout_ms).round();
        let is_long = self.shared.setup.long_texts && self.random().rand_range(0..2) == 0;
        let text = format!("find {number}{}", " x".repeat(if is_long { LONG_TEXT_BYTES / 2 } else { 0 }));
        let list: Vec<Value> = parts.iter().map(|part| json!({"id": part.shard, "w": part.weight})).collect();
        let body = json!({"parts": list, "expr": text}).to_string();
        let end = if self.behavior == ClientBehavior::Idle { "\r\n" } else { "" };
        let bytes = format!(
            "POST /{} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: {deadline_ms}\r\n\
             Content-Length: {}\r\n\r\n{body}{end}",
            class.name,
            body.len()
        );
        Request { id, class, text, deadline_ms, parts, bytes: bytes.into_bytes() }
    }

    fn write_request(&self, connection: &mut Connection, request: &Request) -> io::Result<()> {
        if self.behavior != ClientBehavior::WritesSlowly {
            return connection.stream.write_all(&request.bytes);
        }
        for piece in request.bytes.chunks(request.bytes.len().div_ceil(SLOW_WRITE_PIECES)) {
            self.sleep_between_ms(0.0, 400.0);
            connection.stream.write_all(piece)?;
        }
        Ok(())
    }

    /// `requests_before`: those sent on the connection before this one.
    fn record_sent(&self, request: &Request, requests_before: usize, pipelined_behind: Option<String>) {
        self.shared.recorder.record(&Event::Sent {
            at: now_ms(),
            id: request.id.clone(),
            mixer: self.shared.setup.mixer,
            class: request.class.name.to_owned(),
            deadline_ms: request.deadline_ms,
            is_first: requests_before == 0,
            pipelined_behind,
        });
    }

    /// Closes the connection and records the time.
    fn leave(&self, connection: &Connection, request: &Request) {
        let _ = connection.stream.shutdown(std::net::Shutdown::Both); // it may have ended
        self.shared.recorder.record(&Event::ClientClosed { at: now_ms(), id: request.id.clone() });
    }

    /// Reads and records the answer to a request. Returns the connection if it stays open, or else who ended it.
    fn await_answer(&self, mut connection: Connection, request: &Request) -> Result<Connection, EndedBy> {
        let sent_at = now_ms();
        match self.read_answer(&mut connection, sent_at + request.deadline_ms + WAIT_AFTER_DEADLINE_MS) {
            Ok(answer) => {
                self.record_answer(request, &answer);
                if answer.closes_connection { Err(EndedBy::Mixer) } else { Ok(connection) }
            }
            Err(NoAnswer::Left) => {
                self.leave(&connection, request);
                Err(EndedBy::Client)
            }
            Err(NoAnswer::ConnectionEnded { how, is_partial }) => {
                self.record_connection_end(request, how, is_partial);
                Err(EndedBy::Mixer)
            }
            Err(NoAnswer::TimedOut) => {
                self.shared.recorder.record(&Event::Unanswered { at: now_ms(), id: request.id.clone() });
                Err(EndedBy::Client)
            }
        }
    }

    fn record_connection_end(&self, request: &Request, how: ConnectionEnd, is_partial: bool) {
        let (at, id) = (now_ms(), request.id.clone());
        self.shared.recorder.record(&Event::ConnectionEnded { at, id, how, is_partial });
    }

    /// Sends several requests in one write and reads their answers.
    fn send_pipeline(&self, mut connection: Connection) -> Option<Connection> {
        let count = self.random().rand_range(2..6) as usize;
        let requests: Vec<Request> = (0..count).map(|_| self.draw_request()).collect();
        let bytes: Vec<u8> = requests.iter().flat_map(|request| request.bytes.clone()).collect();
        connection.stream.write_all(&bytes).ok()?;
        for (nth, request) in requests.iter().enumerate() {
            let pipelined_behind = (nth > 0).then(|| requests[0].id.clone());
            self.record_sent(request, connection.requests + nth, pipelined_behind);
        }
        connection.requests += count;
        for (nth, request) in requests.iter().enumerate() {
            match self.await_answer(connection, request) {
                Ok(open) => connection = open,
                Err(ended_by) => {
                    requests[nth + 1..].iter().for_each(|later| self.record_unanswered(later, ended_by));
                    return None;
                }
            }
        }
        Some(connection)
    }

    /// Sends the second half of a request long after the first. Waiting ends early if the connection ends or an answer arrives
    /// in between.
    fn send_halves(&self, mut connection: Connection) -> Option<Connection> {
        if !self.check_idle(&mut connection) {
            return None;
        }
        let request = self.draw_request();
        let (first, rest) = request.bytes.split_at(request.bytes.len() / 2);
        connection.stream.write_all(first).ok()?;
        self.shared.recorder.record(&Event::HalfSent { at: now_ms(), id: request.id.clone() });
        let rest_at = now_ms() + self.draw_between(MIN_HALVES_DISTANCE_MS, MAX_HALVES_DISTANCE_MS);
        while now_ms() < rest_at && self.is_silent(&connection) {}
        // If the connection has ended, reading the answer shows how.
        let _ = connection.stream.write_all(rest);
        self.record_sent(&request, connection.requests, None);
        connection.requests += 1;
        self.await_answer(connection, &request).ok()
    }

    /// Waits for up to [`POLL_INTERVAL`]. Returns whether neither bytes nor the end of the connection arrived.
    fn is_silent(&self, connection: &Connection) -> bool {
        matches!(connection.stream.peek(&mut [0]), Err(error) if is_timeout(&error))
    }

    /// Records that a pipelined request has no answer, as the connection ended before its turn.
    fn record_unanswered(&self, request: &Request, ended_by: EndedBy) {
        match ended_by {
            EndedBy::Mixer => self.record_connection_end(request, ConnectionEnd::Closed, false),
            EndedBy::Client => {
                self.shared.recorder.record(&Event::ClientClosed { at: now_ms(), id: request.id.clone() });
            }
        }
    }

    /// Waits for the error or the end of the connection after the client stopped within a request.
    fn wait_after_stop(&self, mut connection: Connection) {
        let stopped_at = now_ms();
        let mut byte = [0];
        let ended_after_ms = loop {
            match connection.input.read(&mut byte) {
                Err(error)
                    if is_timeout(&error)
                        && now_ms() - stopped_at < ABANDONED_WAIT_MS
                        && !self.is_finished() => {}
                Err(error) if is_timeout(&error) => break None,
                _ => break Some(now_ms() - stopped_at),
            }
        };
        if ended_after_ms.is_none() && self.is_finished() {
            return;
        }
        let (at, mixer) = (now_ms(), self.shared.setup.mixer);
        self.shared.recorder.record(&Event::Abandoned { at, mixer, ended_after_ms });
    }

    fn read_answer(&self, connection: &mut Connection, until: TimeMs) -> Result<Answer, NoAnswer> {
        let leave_commands = self.shared.leave_commands.load(Ordering::SeqCst);
        let must_leave = || self.shared.leave_commands.load(Ordering::SeqCst) != leave_commands;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            self.read_byte(connection, until, &mut head, &must_leave)?;
        }
        let text = String::from_utf8_lossy(&head).into_owned();
        let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let length = text.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.trim().parse().ok());
        let mut body = Vec::new();
        while body.len() < length.unwrap_or(0) {
            self.read_byte(connection, until, &mut body, &|| false)?;
        }
        Ok(Answer { status, body, closes_connection: text.contains("Connection: close") })
    }

    fn read_byte(
        &self,
        connection: &mut Connection,
        until: TimeMs,
        bytes: &mut Vec<u8>,
        must_leave: &dyn Fn() -> bool,
    ) -> Result<(), NoAnswer> {
        let is_partial = !bytes.is_empty();
        let mut byte = [0];
        loop {
            match connection.input.read(&mut byte) {
                Ok(0) => {
                    return Err(NoAnswer::ConnectionEnded { how: ConnectionEnd::Closed, is_partial });
                }
                Ok(_) => {
                    bytes.push(byte[0]);
                    return Ok(());
                }
                Err(error) if is_timeout(&error) && must_leave() => return Err(NoAnswer::Left),
                Err(error) if is_timeout(&error) && now_ms() > until => return Err(NoAnswer::TimedOut),
                Err(error) if is_timeout(&error) => {}
                Err(_) => return Err(NoAnswer::ConnectionEnded { how: ConnectionEnd::Reset, is_partial }),
            }
        }
    }

    /// Records an answer, and whether it holds only values that searchers computed for this request.
    fn record_answer(&self, request: &Request, answer: &Answer) {
        let at = now_ms();
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let empty = Vec::new();
        let rows = body["rows"].as_array().unwrap_or(&empty);
        let mut shards: Vec<u64> = rows.iter().filter_map(|row| row["id"].as_u64()).collect();
        let weight_of = |shard: u64| {
            request.parts.iter().find(|part| u64::from(part.shard) == shard).map_or(0.0, |part| part.weight)
        };
        let weight = shards.iter().map(|shard| weight_of(*shard)).sum();
        let is_expected = |row: &Value| {
            let part = format!("{}.{}", request.id, row["id"]);
            row["data"] == searcher::value(&part, &request.text)
                && row["id"].as_u64().is_some_and(|shard| weight_of(shard) > 0.0)
        };
        shards.sort_unstable();
        let are_distinct = shards.windows(2).all(|pair| pair[0] != pair[1]);
        let is_authentic =
            answer.status != 200 || are_distinct && !rows.is_empty() && rows.iter().all(is_expected);
        let (id, status, exact) = (request.id.clone(), answer.status, body["exact"] == true);
        self.shared.recorder.record(&Event::Answered { at, id, status, exact, weight, is_authentic });
    }
}

/// Whether a read ended without bytes because of its timeout or a signal.
fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
