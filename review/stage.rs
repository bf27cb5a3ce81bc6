//! What the trials of the second review share: the mixer as a process of its own, started by the line `run` of the
//! deploy file, and stand-ins for clients, searchers and discovery. Standard library only, loopback addresses only.

#![allow(dead_code)]

use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGTERM: i32 = 15;
const SIGINT: i32 = 2;
const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(signal: i32, handler: extern "C" fn(i32)) -> usize;
}

/// A run that has not ended by itself after so long is ended, and counts as one that could not run.
const LONGEST_RUN: Duration = Duration::from_secs(115);

/// The mixers that were started and are not waited for yet, by their process ids.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The trial was asked to end.
static ASKED_TO_END: AtomicBool = AtomicBool::new(false);

extern "C" fn ask_to_end(_: i32) {
    ASKED_TO_END.store(true, Ordering::SeqCst);
}

/// Ends the trial and its mixers if it is asked to end or takes too long.
fn guard(stage: &Stage) {
    for number in [SIGTERM, SIGINT] {
        // SAFETY: the handler only stores a flag.
        unsafe { signal(number, ask_to_end) };
    }
    let stage = stage.clone();
    thread::spawn(move || {
        while !ASKED_TO_END.load(Ordering::SeqCst) && stage.began.elapsed() < LONGEST_RUN {
            sleep_ms(100);
        }
        if let Ok(running) = RUNNING.lock() {
            for id in running.iter() {
                // SAFETY: a process is taken off this list before it is waited for, so the id is its own.
                unsafe { kill(*id as i32, SIGKILL) };
            }
            stage.note("could not run: asked to end, or not over in time");
            std::process::exit(2);
        }
    });
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn sleep_ms(duration_ms: u64) {
    thread::sleep(ms(duration_ms));
}

/// The record of one run, and where the run takes place.
#[derive(Clone)]
pub struct Stage {
    root: PathBuf,
    temporary: PathBuf,
    began: Instant,
    record: Arc<Mutex<File>>,
    pub trouble: bool,
}

impl Stage {
    /// Reads from the environment what `run.sh` sets.
    pub fn open() -> io::Result<Self> {
        let folder = |name: &str| {
            std::env::var(name).map(PathBuf::from).map_err(|_| io::Error::other(format!("{name} is not set")))
        };
        let record = File::create(folder("TRIAL_FOLDER")?.join("record.txt"))?;
        Ok(Self {
            root: folder("TRIAL_ROOT")?,
            temporary: folder("TRIAL_TMP")?,
            began: Instant::now(),
            record: Arc::new(Mutex::new(record)),
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        })
    }

    pub fn now_ms(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1000.0
    }

    /// Adds a line to the record.
    pub fn note(&self, line: &str) {
        if let Ok(mut record) = self.record.lock() {
            let _ = writeln!(record, "{:10.1} {line}", self.now_ms());
        }
    }
}

/// Of the breaks, so many are printed; the record has them all.
const PRINTED_BREAKS: usize = 5;

/// Prints a line, whether or not anybody reads it.
fn say(line: &str) {
    let _ = writeln!(io::stdout(), "{line}");
}

/// Plays a trial and turns what it found into the exit status: 0 the rule held, 1 it was broken, 2 the trial could not run.
pub fn play(trial: impl FnOnce(&Stage) -> io::Result<Vec<String>>) -> ExitCode {
    let stage = match Stage::open() {
        Ok(stage) => stage,
        Err(error) => {
            eprintln!("the trial could not run: {error}");
            return ExitCode::from(2);
        }
    };
    guard(&stage);
    let with = if stage.trouble { "with the disruption" } else { "without the disruption" };
    stage.note(&format!("begins, {with}"));
    match trial(&stage) {
        Err(error) => {
            stage.note(&format!("could not run: {error}"));
            say(&format!("could not run: {error}"));
            ExitCode::from(2)
        }
        Ok(breaks) if breaks.is_empty() => {
            stage.note("the rule held");
            say(&format!("the rule held, {with}"));
            ExitCode::SUCCESS
        }
        Ok(breaks) => {
            for line in &breaks {
                stage.note(&format!("BROKEN: {line}"));
            }
            breaks.iter().take(PRINTED_BREAKS).for_each(|line| say(&format!("BROKEN: {line}")));
            say(&format!("broken {} times, {with}", breaks.len()));
            ExitCode::FAILURE
        }
    }
}

/// A loopback port that is free now.
pub fn free_port() -> io::Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

/// How many mixers were started.
static STARTS: AtomicU32 = AtomicU32::new(0);

/// A mixer, as a process of its own. It is killed when this is dropped.
pub struct Mixer {
    stage: Stage,
    name: String,
    child: Child,
    pub address: SocketAddr,
}

impl Mixer {
    /// Starts a mixer by the line `run` of the deploy file. `limits`, `known` and `settings` are JSON.
    pub fn start(
        stage: &Stage,
        name: &str,
        discovery: SocketAddr,
        limits: &str,
        known: &str,
        settings: &str,
    ) -> io::Result<Self> {
        let address: SocketAddr = ([127, 0, 0, 1], free_port()?).into();
        let deploy = fs::read_to_string(stage.root.join("deploy/balancer.toml"))?;
        let line = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
        let run = line.and_then(|rest| rest.split('"').next());
        let run = run.ok_or_else(|| io::Error::other("no line `run` in deploy/balancer.toml"))?;
        // New with each start.
        let seed = value_of(STARTS.fetch_add(1, Ordering::SeqCst), name);
        let config = format!(
            r#"{{"name":"{name}","listen":"{address}","discovery":"{discovery}","seed":"{seed}",
"limits":{limits},"known":{known},"settings":{settings}}}"#
        );
        let config_path = stage.temporary.join(format!("{name}.json"));
        fs::write(&config_path, config)?;
        let log = File::create(stage.temporary.join(format!("{name}.log")))?;
        let mut running = RUNNING.lock().map_err(|_| io::Error::other("the list of mixers is lost"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(&stage.root)
            .env("ROUTER_NAME", name)
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONFIG", &config_path)
            .env_remove("PEWTERWHARF_SETTINGS")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        running.push(child.id());
        drop(running);
        stage.note(&format!("mixer {name} is started by `{run}`, process {}, at {address}", child.id()));
        Ok(Self { stage: stage.clone(), name: name.to_owned(), child, address })
    }

    /// Waits until the mixer says that it is ready, as the front does.
    pub fn wait_until_ready(&mut self, at_most: Duration) -> io::Result<()> {
        let since = Instant::now();
        while since.elapsed() < at_most {
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!("mixer {} has ended: {status}", self.name)));
            }
            if get(self.address, "/-/ready").is_ok_and(|answer| answer.status == 200) {
                self.stage.note(&format!("mixer {} is ready", self.name));
                return Ok(());
            }
            sleep_ms(20);
        }
        Err(io::Error::other(format!("mixer {} was not ready within {at_most:?}", self.name)))
    }

    pub fn signal(&self, signal: i32) {
        self.stage.note(&format!("mixer {} gets signal {signal}", self.name));
        // SAFETY: the process was started here and is not waited for yet, so its id is its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Notes the mixer's own counters that are not zero.
    pub fn note_counters(&self) {
        if let Ok(answer) = get(self.address, "/-/counters") {
            let lines = answer.body.lines().filter(|line| !line.ends_with(" 0"));
            self.stage.note(&format!("counters of {}: {}", self.name, lines.collect::<Vec<_>>().join(", ")));
        }
    }
}

impl Drop for Mixer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        if let Ok(mut running) = RUNNING.lock() {
            running.retain(|id| *id != self.child.id());
        }
        let _ = self.child.wait();
        if let Ok(log) = fs::read_to_string(self.stage.temporary.join(format!("{}.log", self.name))) {
            for line in log.lines().take(200) {
                self.stage.note(&format!("log of {}: {line}", self.name));
            }
        }
    }
}

/// An answer over HTTP.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    /// In milliseconds.
    pub retry_after: Option<u64>,
    pub closes: bool,
    pub body: String,
}

impl Answer {
    /// Whether it is marked whole.
    pub fn is_exact(&self) -> bool {
        self.body.contains("\"exact\":true")
    }

    /// The values of its rows, by shard.
    pub fn rows(&self) -> Vec<(u32, String)> {
        let field = |row: &str, key: &str| {
            let rest = row.split(&format!("\"{key}\":")).nth(1)?;
            Some(rest.split([',', '}']).next()?.trim_matches('"').to_owned())
        };
        let rows = self.body.split("\"rows\":").nth(1).unwrap_or_default();
        rows.split('{')
            .skip(1)
            .filter_map(|row| Some((field(row, "id")?.parse().ok()?, field(row, "data")?)))
            .collect()
    }
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

/// Reads one answer. `until`: when to give up.
pub fn read_answer(stream: &mut TcpStream, until: Instant) -> io::Result<Answer> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let header = |name: &str| {
                head.lines().skip(1).find_map(|line| {
                    let (key, value) = line.split_once(':')?;
                    key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
                })
            };
            let length: usize =
                header("Content-Length").and_then(|l| l.parse().ok()).ok_or_else(|| invalid("no length"))?;
            if bytes.len() >= end + 4 + length {
                let status = head
                    .split(' ')
                    .nth(1)
                    .and_then(|s| s.parse().ok())
                    .ok_or_else(|| invalid("no status"))?;
                let retry_after: Option<f64> = header("Retry-After").and_then(|r| r.parse().ok());
                return Ok(Answer {
                    status,
                    retry_after: retry_after.map(|s| (s * 1000.0) as u64),
                    closes: header("Connection").is_some_and(|c| c.eq_ignore_ascii_case("close")),
                    body: String::from_utf8_lossy(&bytes[end + 4..end + 4 + length]).into_owned(),
                });
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                return Err(io::ErrorKind::TimedOut.into());
            }
            Err(error) => return Err(error),
        }
    }
}

fn get(address: SocketAddr, path: &str) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, ms(500))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")?;
    read_answer(&mut stream, Instant::now() + ms(2000))
}

/// A scan as a client asks for it, with parts of equal weight.
#[derive(Clone)]
pub struct Scan {
    pub table_type: &'static str,
    pub owner: &'static str,
    pub id: String,
    pub deadline_ms: u64,
    pub shards: Vec<u32>,
    pub text: String,
}

impl Scan {
    /// The bytes of the request.
    pub fn request(&self) -> Vec<u8> {
        let mut parts = String::new();
        let count = self.shards.len();
        for (nth, shard) in self.shards.iter().enumerate() {
            let comma = if nth == 0 { "" } else { "," };
            let _ = write!(parts, "{comma}{{\"id\":{shard},\"w\":{:.6}}}", 1.0 / count as f64);
        }
        let body = format!("{{\"parts\":[{parts}],\"expr\":\"{}\"}}", self.text);
        format!(
            "POST /{} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {}\r\nReq-Owner: {}\r\nReq-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.table_type,
            self.id,
            self.owner,
            self.deadline_ms,
            body.len()
        )
        .into_bytes()
    }
}

/// What a client got for its request, and how long after it was sent.
pub struct Outcome {
    pub answer: io::Result<Answer>,
    pub took_ms: f64,
}

/// Sends a scan on this connection and waits for its answer, `grace_ms` beyond its deadline at most.
pub fn ask_on(stage: &Stage, stream: &mut TcpStream, scan: &Scan, grace_ms: u64) -> Outcome {
    let sent = Instant::now();
    stage.note(&format!(
        "client sends {} {} with {} ms, shards {:?}",
        scan.table_type, scan.id, scan.deadline_ms, scan.shards
    ));
    let until = sent + ms(scan.deadline_ms + grace_ms);
    let answer = stream.write_all(&scan.request()).and_then(|()| read_answer(stream, until));
    let took_ms = sent.elapsed().as_secs_f64() * 1000.0;
    match &answer {
        Ok(answer) => stage.note(&format!(
            "client got {} for {} after {took_ms:.1} ms, Retry-After {:?}: {}",
            answer.status,
            scan.id,
            answer.retry_after,
            answer.body.trim_end()
        )),
        Err(error) => {
            stage.note(&format!("client got no answer for {} after {took_ms:.1} ms: {error}", scan.id))
        }
    }
    Outcome { answer, took_ms }
}

/// Sends a scan on a new connection.
pub fn ask(stage: &Stage, address: SocketAddr, scan: &Scan, grace_ms: u64) -> Outcome {
    match TcpStream::connect_timeout(&address, ms(scan.deadline_ms)) {
        Ok(mut stream) => {
            let _ = stream.set_nodelay(true);
            ask_on(stage, &mut stream, scan, grace_ms)
        }
        Err(error) => Outcome { answer: Err(error), took_ms: 0.0 },
    }
}

/// What discovery's agent holds.
struct Board {
    index: u64,
    entries: Vec<String>,
    down: bool,
    /// Each call is answered so long after it has come.
    delay_ms: u64,
}

impl Board {
    fn list(&self) -> String {
        format!(r#"{{"index":{},"snapshot":true,"endpoints":[{}]}}"#, self.index, self.entries.join(","))
    }
}

/// The agent of discovery on the mixer's machine. Whatever it has to tell, it tells with the whole list. While it is down,
/// it accepts connections and is silent; it answers what was asked meanwhile once it is back.
pub struct Discovery {
    pub address: SocketAddr,
    stage: Stage,
    board: Arc<Mutex<Board>>,
}

impl Discovery {
    /// Starts with the version 41 of the list: these searchers, all of them up.
    pub fn start(stage: &Stage, searchers: &[&Searcher]) -> io::Result<Self> {
        let entries = searchers.iter().map(|searcher| searcher.entry("up")).collect();
        let board = Arc::new(Mutex::new(Board { index: 41, entries, down: false, delay_ms: 0 }));
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let discovery = Self { address, stage: stage.clone(), board: board.clone() };
        stage.note(&format!("discovery at {address} holds {}", discovery.list()));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let board = board.clone();
                thread::spawn(move || serve_list(stream, &board));
            }
        });
        Ok(discovery)
    }

    /// The list that the agent holds now.
    pub fn list(&self) -> String {
        self.board.lock().map(|board| board.list()).unwrap_or_default()
    }

    /// Changes the searchers of the list, and its version by one.
    pub fn change(&self, entries: Vec<String>) {
        if let Ok(mut board) = self.board.lock() {
            board.index += 1;
            board.entries = entries;
            self.stage.note(&format!("discovery holds {}", board.list()));
        }
    }

    /// From now on it is slow: each call is answered so long after it has come. Once a watch is answered, it tells at once.
    pub fn set_delay(&self, delay_ms: u64) {
        if let Ok(mut board) = self.board.lock() {
            board.delay_ms = delay_ms;
            self.stage.note(&format!("discovery takes {delay_ms} ms for each call from now on"));
        }
    }

    /// Falls silent, or speaks again.
    pub fn set_down(&self, down: bool) {
        if let Ok(mut board) = self.board.lock() {
            board.down = down;
            self.stage.note(if down {
                "discovery is down: the agent is silent"
            } else {
                "discovery is back"
            });
        }
    }
}

/// The list and its version, once discovery is not down.
fn wait_for_list(board: &Mutex<Board>) -> (u64, String) {
    loop {
        if let Ok(board) = board.lock()
            && !board.down
        {
            return (board.index, board.list());
        }
        sleep_ms(10);
    }
}

fn serve_list(mut stream: TcpStream, board: &Mutex<Board>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte)?;
            bytes.push(byte[0]);
        }
        let line = String::from_utf8_lossy(&bytes);
        sleep_ms(board.lock().map_or(0, |board| board.delay_ms));
        let (_, list) = wait_for_list(board);
        if !line.contains("watch=1") {
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())?;
            continue;
        }
        let after = line.split("after=").nth(1).and_then(|rest| rest.split([' ', '&']).next());
        let mut told: u64 = after.and_then(|after| after.parse().ok()).unwrap_or(0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let mut spoke = Instant::now() - ms(2000);
        loop {
            let (index, list) = wait_for_list(board);
            if index != told {
                stream.write_all(chunk(&format!("{list}\n")).as_bytes())?;
                (told, spoke) = (index, Instant::now());
            } else if spoke.elapsed() >= ms(2000) {
                stream.write_all(chunk("\n").as_bytes())?;
                spoke = Instant::now();
            }
            sleep_ms(5);
        }
    }
}

/// One part of a call, as a searcher gets it.
#[derive(Clone, Debug)]
pub struct Part {
    pub id: String,
    pub shard: u32,
    pub wait_ms: u64,
    pub text: String,
    /// When its frame had arrived, by the stage's clock.
    pub at_ms: f64,
}

/// What a searcher does with a part.
pub enum Step {
    Wait(u64),
    Write(Vec<u8>),
}

type Behaviour = dyn Fn(&Part) -> Vec<Step> + Send + Sync;

/// A searcher on loopback. It runs whatever it gets, and answers as its behaviour says.
pub struct Searcher {
    pub name: String,
    pub cell: u32,
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Part>>>,
    hangs: Switch,
}

impl Searcher {
    pub fn start(
        stage: &Stage,
        name: &str,
        cell: u32,
        behaviour: impl Fn(&Part) -> Vec<Step> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let received: Arc<Mutex<Vec<Part>>> = Arc::default();
        let behaviour: Arc<Behaviour> = Arc::new(behaviour);
        let hangs = Switch::default();
        let (stage, own_name, own_received, own_hangs) =
            (stage.clone(), name.to_owned(), received.clone(), hangs.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (stage, name, received) = (stage.clone(), own_name.clone(), own_received.clone());
                let (behaviour, hangs) = (behaviour.clone(), own_hangs.clone());
                thread::spawn(move || serve_link(&stage, &name, stream, &received, &behaviour, &hangs));
            }
        });
        Ok(Self { name: name.to_owned(), cell, address, received, hangs })
    }

    /// From now on it takes parts and runs them, and answers nothing.
    pub fn hang(&self) {
        self.hangs.store(true, Ordering::SeqCst);
    }

    /// The parts that have arrived.
    pub fn received(&self) -> Vec<Part> {
        self.received.lock().map(|parts| parts.clone()).unwrap_or_default()
    }

    /// Its entry in the list, as one that started long ago.
    pub fn entry(&self, status: &str) -> String {
        self.entry_since(status, 0)
    }

    /// Its entry in the list, with its latest start as Unix time in milliseconds.
    pub fn entry_since(&self, status: &str, since_ms: u64) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"a","type":"m2","group":{},"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#,
            self.name, self.address, self.cell
        )
    }
}

/// The machine's clock, as Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

fn serve_link(
    stage: &Stage,
    name: &str,
    mut stream: TcpStream,
    received: &Mutex<Vec<Part>>,
    behaviour: &Arc<Behaviour>,
    hangs: &Switch,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    let write = |writer: &Mutex<TcpStream>, hangs: &Switch, bytes: &[u8]| {
        if let Ok(mut stream) = writer.lock()
            && !is_on(hangs)
        {
            let _ = stream.write_all(bytes);
        }
    };
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let mut body = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut body)?;
        match body.first() {
            Some(b'D') => {
                for part in parse_call(&body[1..], stage.now_ms()).ok_or_else(|| invalid("a call"))? {
                    stage.note(&format!(
                        "{name} gets part {} of shard {} with d={}: {}",
                        part.id, part.shard, part.wait_ms, part.text
                    ));
                    if let Ok(mut parts) = received.lock() {
                        parts.push(part.clone());
                    }
                    let (writer, behaviour, hangs) = (writer.clone(), behaviour.clone(), hangs.clone());
                    let (stage, name) = (stage.clone(), name.to_owned());
                    thread::spawn(move || {
                        for step in behaviour(&part) {
                            match step {
                                Step::Wait(for_ms) => sleep_ms(for_ms),
                                Step::Write(_) if is_on(&hangs) => {
                                    stage.note(&format!("{name} hangs: no answer for {}", part.id))
                                }
                                Step::Write(bytes) => {
                                    stage.note(&format!(
                                        "{name} writes {} bytes for {}: {}",
                                        bytes.len(),
                                        part.id,
                                        bytes.escape_ascii()
                                    ));
                                    write(&writer, &hangs, &bytes);
                                }
                            }
                        }
                    });
                }
            }
            Some(b'I') => write(&writer, hangs, &frame(b'I', b"200")),
            Some(b'K') => {
                stage.note(&format!("{name} hears that {} is given up", String::from_utf8_lossy(&body[1..])))
            }
            _ => {
                write(&writer, hangs, &frame(b'Z', b"an unknown letter"));
                return stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn parse_call(mut body: &[u8], at_ms: f64) -> Option<Vec<Part>> {
    let mut parts = Vec::new();
    while !body.is_empty() {
        let line_end = body.iter().position(|byte| *byte == b'\n')?;
        let line = std::str::from_utf8(&body[..line_end]).ok()?;
        let mut fields = line.split(' ');
        let (id, shard, list, length) = (fields.next()?, fields.next()?, fields.next()?, fields.next()?);
        let length: usize = length.parse().ok()?;
        let text = body.get(line_end + 1..line_end + 1 + length)?;
        parts.push(Part {
            id: id.to_owned(),
            shard: shard.parse().ok()?,
            wait_ms: list.strip_prefix("d=")?.parse().ok()?,
            text: String::from_utf8_lossy(text).into_owned(),
            at_ms,
        });
        body = &body[line_end + 1 + length..];
    }
    Some(parts)
}

/// A frame of this letter.
pub fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut bytes = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    bytes.push(letter);
    bytes.extend_from_slice(rest);
    bytes
}

/// The value of a shard for a query's text: 16 hex digits, the same at every searcher.
pub fn value_of(shard: u32, text: &str) -> String {
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    for byte in shard.to_be_bytes().iter().chain(text.as_bytes()) {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{hash:016x}")
}

/// A good answer to a part.
pub fn good_answer(part: &Part) -> Vec<u8> {
    frame(
        b'O',
        format!("{} 200 1840277719 inflight=1,util=0.21\n{}", part.id, value_of(part.shard, &part.text))
            .as_bytes(),
    )
}

/// Served by a sound searcher after its work.
pub fn serve(part: &Part, work_ms: u64) -> Vec<Step> {
    vec![Step::Wait(work_ms), Step::Write(good_answer(part))]
}

/// A switch that behaviours look at.
pub type Switch = Arc<AtomicBool>;

pub fn is_on(switch: &AtomicBool) -> bool {
    switch.load(Ordering::SeqCst)
}
