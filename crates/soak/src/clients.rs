//! The clients of one mixer as a process: some ask as they should, others leave, write slowly, send much at once or stop midway.

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

use crate::clock::now_ms;
use crate::control::{self, ClientsOrder};
use crate::record::{self, ConnectionEnd, Event, Recorder};
use crate::searcher;
use crate::settings::{CLASSES, Class, SHARDS};

const STACK: usize = 192 * 1024;
/// Bytes of a long text.
const LONG_TEXT: usize = 4096;
/// An answer that has not come so long after the deadline does not come.
const SILENT_MS: f64 = 1500.0;
/// Who stopped within a request waits so long for its error or close.
const ABANDONED_MS: f64 = 6000.0;
/// How often a blocking read looks around.
const LOOK: Duration = Duration::from_millis(5);
/// A pause after a connection that failed.
const PAUSE: Duration = Duration::from_millis(30);

/// What a client is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Habit {
    /// Asks, reads, thinks for some tens of milliseconds.
    Steady,
    /// Rests for seconds between two requests, and ends each with a further line end.
    Rests,
    /// Closes while it waits.
    Leaves,
    /// Sends several requests in one write.
    Pipelines,
    /// Writes its request over up to 1.5 s.
    WritesSlowly,
    /// Stops in the middle of a request and stays.
    Stops,
    /// Sends kilobytes behind its request and closes at once.
    SendsAndGoes,
    /// Sends the second half of its request long after the first, but within the time in which it has to come whole.
    SendsHalves,
}

const HABITS: [Habit; 12] = [
    Habit::Steady,
    Habit::Steady,
    Habit::Steady,
    Habit::Steady,
    Habit::Rests,
    Habit::Leaves,
    Habit::Pipelines,
    Habit::Pipelines,
    Habit::WritesSlowly,
    Habit::WritesSlowly,
    Habit::Stops,
    Habit::SendsAndGoes,
];

/// Clients of each mixer that send their requests in two halves, where a run has such.
const SEND_HALVES: u64 = 4;
/// What lies between the two halves: most of what a drain takes, so that many a drain begins and ends listening in between.
const HALVES_APART_MS: (f64, f64) = (300.0, 1800.0);

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    pub folder: String,
    pub mixer: usize,
    pub address: SocketAddr,
    pub seed: u64,
    /// Some queries hold long texts.
    pub long_texts: bool,
    /// Some requests come in two halves.
    pub halves: bool,
}

struct Shared {
    setup: Setup,
    recorder: Recorder,
    front: AtomicBool,
    finished: AtomicBool,
    /// Counts the orders to leave.
    leaves: AtomicU64,
    ids: AtomicU64,
}

/// Serves until its runner has gone.
pub fn serve(setup: Setup) -> Result<()> {
    let recorder = record::recorder(&setup.folder, &format!("clients-{}", setup.mixer))?;
    let shared = Arc::new(Shared {
        setup,
        recorder,
        front: AtomicBool::new(false),
        finished: AtomicBool::new(false),
        leaves: AtomicU64::new(0),
        ids: AtomicU64::new(0),
    });
    for (nth, habit) in HABITS.into_iter().enumerate() {
        shared.start(nth as u64, habit, usize::MAX)?;
    }
    let mut started = HABITS.len() as u64;
    if shared.setup.halves {
        for _ in 0..SEND_HALVES {
            shared.start(started, Habit::SendsHalves, usize::MAX)?;
            started += 1;
        }
    }
    control::obey(|order| match order {
        ClientsOrder::Front(leads) => shared.front.store(leads, Ordering::SeqCst),
        ClientsOrder::LeaveAll => drop(shared.leaves.fetch_add(1, Ordering::SeqCst)),
        ClientsOrder::Finish => shared.finished.store(true, Ordering::SeqCst),
        ClientsOrder::Burst(count) => {
            for _ in 0..count {
                started += 1;
                let _ = shared.start(started, Habit::Steady, 1); // fewer do as well
            }
        }
        ClientsOrder::Crowd(count, ms) => {
            let shared = shared.clone();
            thread::spawn(move || shared.crowd(count, ms));
        }
    });
    Ok(())
}

impl Shared {
    fn start(self: &Arc<Self>, nth: u64, habit: Habit, rounds: usize) -> io::Result<()> {
        let seed = self.setup.seed.wrapping_mul(1_000_003).wrapping_add(nth);
        let client =
            Client { shared: self.clone(), habit, random: Mutex::new(Rand64::new(u128::from(seed))) };
        Builder::new().stack_size(STACK).spawn(move || client.run(rounds)).map(drop)
    }

    /// Connections that rest.
    fn crowd(&self, count: usize, ms: u64) {
        let held: Vec<_> = (0..count).map_while(|_| TcpStream::connect(self.setup.address).ok()).collect();
        thread::sleep(Duration::from_millis(ms));
        drop(held);
    }
}

/// A request that was written.
struct Request {
    id: String,
    class: &'static Class,
    text: String,
    deadline_ms: f64,
    /// Shards and their weights.
    parts: Vec<(u32, f64)>,
    bytes: Vec<u8>,
}

/// An answer as read.
struct Answer {
    status: u16,
    body: Vec<u8>,
    close: bool,
}

/// Why there is no whole answer.
enum NoAnswer {
    Ended(ConnectionEnd, bool),
    Silent,
    /// The client was to leave.
    Left,
}

/// Who ended a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EndedBy {
    Mixer,
    Client,
}

/// A connection with what was read ahead.
struct Connection {
    stream: TcpStream,
    input: BufReader<TcpStream>,
    asked: usize,
}

struct Client {
    shared: Arc<Shared>,
    habit: Habit,
    random: Mutex<Rand64>,
}

impl Client {
    fn random(&self) -> MutexGuard<'_, Rand64> {
        self.random.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn between(&self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.random().rand_float()
    }

    fn sleep_ms(&self, low: f64, high: f64) {
        thread::sleep(Duration::from_secs_f64(self.between(low, high) / 1000.0));
    }

    fn is_finished(&self) -> bool {
        self.shared.finished.load(Ordering::SeqCst)
    }

    fn run(&self, rounds: usize) {
        let mut connection = None;
        for _ in 0..rounds {
            if self.is_finished() {
                return;
            }
            if connection.is_none() && !self.shared.front.load(Ordering::SeqCst) {
                thread::sleep(PAUSE);
                continue;
            }
            let Some(held) = connection.take().or_else(|| self.connect()) else {
                thread::sleep(PAUSE);
                continue;
            };
            connection = self.round(held);
            self.think();
        }
    }

    fn think(&self) {
        match self.habit {
            Habit::Rests => self.sleep_ms(500.0, 3500.0),
            Habit::Stops => self.sleep_ms(300.0, 900.0),
            _ => self.sleep_ms(15.0, 90.0),
        }
    }

    fn connect(&self) -> Option<Connection> {
        let stream =
            TcpStream::connect_timeout(&self.shared.setup.address, Duration::from_millis(300)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(LOOK)).ok()?;
        let input = BufReader::new(stream.try_clone().ok()?);
        Some(Connection { stream, input, asked: 0 })
    }

    /// One round of what this client does; the connection, if it stays.
    fn round(&self, mut connection: Connection) -> Option<Connection> {
        if self.habit == Habit::Rests && !self.is_quiet(&mut connection) {
            return None;
        }
        match self.habit {
            Habit::Steady | Habit::Rests | Habit::WritesSlowly => {
                let request = self.request();
                self.write(&mut connection, &request).ok()?;
                self.sent(&request, connection.asked, None);
                connection.asked += 1;
                self.await_answer(connection, &request).ok()
            }
            Habit::Leaves => {
                let request = self.request();
                self.write(&mut connection, &request).ok()?;
                self.sent(&request, connection.asked, None);
                self.sleep_ms(0.0, 60.0);
                self.leave(&connection, &request);
                None
            }
            Habit::SendsAndGoes => {
                let request = self.request();
                let mut bytes = request.bytes.clone();
                bytes.extend(b"GET /-/healthy HTTP/1.1\r\n\r\n".repeat(400));
                self.sent(&request, 0, None);
                let _ = connection.stream.write_all(&bytes); // it goes in any case
                self.leave(&connection, &request);
                None
            }
            Habit::Pipelines => self.pipeline(connection),
            Habit::SendsHalves => self.send_halves(connection),
            Habit::Stops => {
                let request = self.request();
                let half = request.bytes.len() / 2;
                connection.stream.write_all(&request.bytes[..half]).ok()?;
                self.stopped(connection);
                None
            }
        }
    }

    /// Whether nothing came while it rested; an error that nobody asked for is recorded.
    fn is_quiet(&self, connection: &mut Connection) -> bool {
        let mut line = String::new();
        match connection.input.read_line(&mut line) {
            Ok(0) => false,
            Ok(_) => {
                let (at, mixer) = (now_ms(), self.shared.setup.mixer);
                self.shared.recorder.record(&Event::Unasked { at, mixer, line: line.trim_end().to_owned() });
                false
            }
            Err(error) => waits(&error),
        }
    }

    fn request(&self) -> Request {
        let number = self.shared.ids.fetch_add(1, Ordering::SeqCst);
        let id = format!("m{}-{number:06}", self.shared.setup.mixer);
        let class = &CLASSES[self.random().rand_range(0..CLASSES.len() as u64) as usize];
        let count =
            if class.need < 1.0 { self.random().rand_range(2..6) } else { self.random().rand_range(1..4) };
        let first = self.random().rand_range(0..u64::from(SHARDS)) as u32;
        let parts: Vec<(u32, f64)> =
            (0..count as u32).map(|n| ((first + n) % SHARDS, 1.0 / count as f64)).collect();
        let deadline_ms = self.between(0.4 * class.timeout_ms, class.timeout_ms).round();
        let is_long = self.shared.setup.long_texts && self.random().rand_range(0..2) == 0;
        let text = format!("find {number}{}", " x".repeat(if is_long { LONG_TEXT / 2 } else { 0 }));
        let list: Vec<Value> =
            parts.iter().map(|(shard, weight)| json!({"id": shard, "w": weight})).collect();
        let body = json!({"parts": list, "expr": text}).to_string();
        let end = if self.habit == Habit::Rests { "\r\n" } else { "" };
        let bytes = format!(
            "POST /{} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: {deadline_ms}\r\n\
             Content-Length: {}\r\n\r\n{body}{end}",
            class.name,
            body.len()
        );
        Request { id, class, text, deadline_ms, parts, bytes: bytes.into_bytes() }
    }

    fn write(&self, connection: &mut Connection, request: &Request) -> io::Result<()> {
        if self.habit != Habit::WritesSlowly {
            return connection.stream.write_all(&request.bytes);
        }
        let pieces = 6;
        for piece in request.bytes.chunks(request.bytes.len().div_ceil(pieces)) {
            self.sleep_ms(0.0, 400.0);
            connection.stream.write_all(piece)?;
        }
        Ok(())
    }

    fn sent(&self, request: &Request, asked: usize, behind: Option<String>) {
        self.shared.recorder.record(&Event::Sent {
            at: now_ms(),
            id: request.id.clone(),
            mixer: self.shared.setup.mixer,
            class: request.class.name.to_owned(),
            deadline_ms: request.deadline_ms,
            fresh: asked == 0,
            behind,
        });
    }

    /// Closes the connection, and records when.
    fn leave(&self, connection: &Connection, request: &Request) {
        let _ = connection.stream.shutdown(std::net::Shutdown::Both); // it may have ended
        self.shared.recorder.record(&Event::ClientClosed { at: now_ms(), id: request.id.clone() });
    }

    /// Reads the answer to a request; the connection if it stays, else whether this client ended it.
    fn await_answer(&self, mut connection: Connection, request: &Request) -> Result<Connection, EndedBy> {
        let sent_at = now_ms();
        match self.read_answer(&mut connection, sent_at + request.deadline_ms + SILENT_MS) {
            Ok(answer) => {
                self.answered(request, &answer);
                if answer.close { Err(EndedBy::Mixer) } else { Ok(connection) }
            }
            Err(NoAnswer::Left) => {
                self.leave(&connection, request);
                Err(EndedBy::Client)
            }
            Err(NoAnswer::Ended(how, partly)) => {
                self.ended(request, how, partly);
                Err(EndedBy::Mixer)
            }
            Err(NoAnswer::Silent) => {
                self.shared.recorder.record(&Event::Silent { at: now_ms(), id: request.id.clone() });
                Err(EndedBy::Client)
            }
        }
    }

    fn ended(&self, request: &Request, how: ConnectionEnd, partly: bool) {
        let (at, id) = (now_ms(), request.id.clone());
        self.shared.recorder.record(&Event::ConnectionEnded { at, id, how, partly });
    }

    fn pipeline(&self, mut connection: Connection) -> Option<Connection> {
        let count = self.random().rand_range(2..6) as usize;
        let requests: Vec<Request> = (0..count).map(|_| self.request()).collect();
        let bytes: Vec<u8> = requests.iter().flat_map(|request| request.bytes.clone()).collect();
        connection.stream.write_all(&bytes).ok()?;
        for (nth, request) in requests.iter().enumerate() {
            let behind = (nth > 0).then(|| requests[0].id.clone());
            self.sent(request, connection.asked + nth, behind);
        }
        connection.asked += count;
        for (nth, request) in requests.iter().enumerate() {
            match self.await_answer(connection, request) {
                Ok(held) => connection = held,
                Err(by) => {
                    requests[nth + 1..].iter().for_each(|behind| self.unanswered(behind, by));
                    return None;
                }
            }
        }
        Some(connection)
    }

    /// Sends the second half of a request long after the first. If the connection ends in between, the request was read and has no
    /// answer; an answer may come before it is whole.
    fn send_halves(&self, mut connection: Connection) -> Option<Connection> {
        if !self.is_quiet(&mut connection) {
            return None;
        }
        let request = self.request();
        let (first, rest) = request.bytes.split_at(request.bytes.len() / 2);
        connection.stream.write_all(first).ok()?;
        let begun = Event::Begun { at: now_ms(), id: request.id.clone() };
        self.shared.recorder.record(&begun);
        let rest_at = now_ms() + self.between(HALVES_APART_MS.0, HALVES_APART_MS.1);
        while now_ms() < rest_at && self.is_silent(&connection) {}
        let _ = connection.stream.write_all(rest); // if the connection has ended, the answer's reading tells how
        self.sent(&request, connection.asked, None);
        connection.asked += 1;
        self.await_answer(connection, &request).ok()
    }

    /// Whether nothing, not even an end, has come after a short wait.
    fn is_silent(&self, connection: &Connection) -> bool {
        matches!(connection.stream.peek(&mut [0]), Err(error) if waits(&error))
    }

    /// Records that a request behind the one that ended its connection has no answer.
    fn unanswered(&self, request: &Request, by: EndedBy) {
        match by {
            EndedBy::Mixer => self.ended(request, ConnectionEnd::Closed, false),
            EndedBy::Client => {
                self.shared.recorder.record(&Event::ClientClosed { at: now_ms(), id: request.id.clone() });
            }
        }
    }

    /// Waits for its error or close.
    fn stopped(&self, mut connection: Connection) {
        let from = now_ms();
        let mut byte = [0];
        let ended = loop {
            match connection.input.read(&mut byte) {
                Err(error) if waits(&error) && now_ms() - from < ABANDONED_MS && !self.is_finished() => {}
                Err(error) if waits(&error) => break None,
                _ => break Some(now_ms() - from),
            }
        };
        if ended.is_none() && self.is_finished() {
            return;
        }
        let (at, mixer) = (now_ms(), self.shared.setup.mixer);
        self.shared.recorder.record(&Event::Abandoned { at, mixer, ended_after_ms: ended });
    }

    fn read_answer(&self, connection: &mut Connection, until: f64) -> Result<Answer, NoAnswer> {
        let leaves = self.shared.leaves.load(Ordering::SeqCst);
        let leaves_now = || self.shared.leaves.load(Ordering::SeqCst) != leaves;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            self.read_byte(connection, until, &mut head, &leaves_now)?;
        }
        let text = String::from_utf8_lossy(&head).into_owned();
        let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let length = text.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.trim().parse().ok());
        let mut body = Vec::new();
        while body.len() < length.unwrap_or(0) {
            self.read_byte(connection, until, &mut body, &|| false)?;
        }
        Ok(Answer { status, body, close: text.contains("Connection: close") })
    }

    fn read_byte(
        &self,
        connection: &mut Connection,
        until: f64,
        bytes: &mut Vec<u8>,
        leaves: &dyn Fn() -> bool,
    ) -> Result<(), NoAnswer> {
        let partly = !bytes.is_empty();
        let mut byte = [0];
        loop {
            match connection.input.read(&mut byte) {
                Ok(0) => return Err(NoAnswer::Ended(ConnectionEnd::Closed, partly)),
                Ok(_) => {
                    bytes.push(byte[0]);
                    return Ok(());
                }
                Err(error) if waits(&error) && leaves() => return Err(NoAnswer::Left),
                Err(error) if waits(&error) && now_ms() > until => return Err(NoAnswer::Silent),
                Err(error) if waits(&error) => {}
                Err(_) => return Err(NoAnswer::Ended(ConnectionEnd::Reset, partly)),
            }
        }
    }

    /// Records an answer, and whether it holds what searchers made for this request and no more.
    fn answered(&self, request: &Request, answer: &Answer) {
        let at = now_ms();
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let empty = Vec::new();
        let rows = body["rows"].as_array().unwrap_or(&empty);
        let mut shards: Vec<u64> = rows.iter().filter_map(|row| row["id"].as_u64()).collect();
        let weight_of = |shard: u64| {
            request.parts.iter().find(|part| u64::from(part.0) == shard).map_or(0.0, |part| part.1)
        };
        let weight = shards.iter().map(|shard| weight_of(*shard)).sum();
        let made = |row: &Value| {
            let part = format!("{}.{}", request.id, row["id"]);
            row["data"] == searcher::value(&part, &request.text)
                && row["id"].as_u64().is_some_and(|s| weight_of(s) > 0.0)
        };
        shards.sort_unstable();
        let once = shards.windows(2).all(|pair| pair[0] != pair[1]);
        let sound = answer.status != 200 || once && !rows.is_empty() && rows.iter().all(made);
        let (id, status, exact) = (request.id.clone(), answer.status, body["exact"] == true);
        self.shared.recorder.record(&Event::Answered { at, id, status, exact, weight, sound });
    }
}

/// Whether a read found nothing yet.
fn waits(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
