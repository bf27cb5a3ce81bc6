//! What all cases share: a platform that starts the mixer, discovery, searchers and clients, all on loopback,
//! and the record of what was sent, answered and run. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit statuses of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The file `record.txt` of a case: a line for each event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new((Mutex::new(File::create(path)?), Instant::now()))))
    }

    pub fn ms(&self) -> f64 {
        self.0.1.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.0.0.lock().unwrap();
        let _ = writeln!(file, "{:10.1} {}", self.ms(), text.as_ref());
    }

    /// A line for the record and for standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// One run of a case. Dropping it ends every process that it started.
pub struct Run {
    pub root: PathBuf,
    pub temp: PathBuf,
    pub record: Record,
    /// False with `TROUBLE=0`.
    pub trouble: bool,
    children: Vec<Child>,
}

impl Run {
    /// `folder`: the case's folder. The repository's root is two levels above it.
    pub fn open() -> io::Result<Self> {
        let folder = PathBuf::from(std::env::var_os("CASE_FOLDER").ok_or(io::ErrorKind::NotFound)?);
        let root = folder.join("../..").canonicalize()?;
        let record = Record::create(&folder.join("record.txt"))?;
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        // Made and removed by run.sh, which also ends the processes named in `pids` there.
        let temp = PathBuf::from(std::env::var_os("CASE_TEMP").ok_or(io::ErrorKind::NotFound)?);
        std::panic::set_hook(Box::new(|panic| {
            println!("could not run: {panic}");
            std::process::exit(NOT_RUN);
        }));
        record.line(format!("trouble: {trouble}"));
        // A case takes 120 s at most, whatever happens.
        let late = record.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(112));
            late.say("the case took too long");
            std::process::exit(NOT_RUN);
        });
        Ok(Self { root, temp, record, trouble, children: Vec::new() })
    }

    /// The command `run` of the deploy file.
    fn run_command(&self) -> io::Result<String> {
        let text = fs::read_to_string(self.root.join("deploy/balancer.toml"))?;
        let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).ok_or(io::ErrorKind::NotFound)?;
        Ok(line.split('"').next().unwrap_or_default().to_owned())
    }

    /// Starts a mixer as the platform does, and returns its process id.
    pub fn start_mixer(&mut self, mixer: &Mixer) -> io::Result<u32> {
        let config = self.temp.join(format!("{}.json", mixer.name));
        fs::write(&config, mixer.config())?;
        let log = File::create(self.temp.join(format!("{}.log", mixer.name)))?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(self.run_command()?).current_dir(&self.root).stdin(Stdio::null());
        command.env("ROUTER_CONFIG", &config).env("ROUTER_NAME", &mixer.name);
        command.env("ROUTER_LISTEN", mixer.listen.to_string());
        command.env("ROUTER_DISCOVERY", mixer.discovery.to_string());
        command.env("TMPDIR", &self.temp);
        if let Ok(level) = std::env::var("MIXER_LOG") {
            command.env("RUST_LOG", level);
        }
        let child = command.stdout(Stdio::null()).stderr(log).spawn()?;
        let pid = child.id();
        writeln!(fs::OpenOptions::new().create(true).append(true).open(self.temp.join("pids"))?, "{pid}")?;
        self.children.push(child);
        self.record.line(format!("mixer {} started at {}", mixer.name, mixer.listen));
        Ok(pid)
    }

    /// The exit status of a process that has ended.
    pub fn ended(&mut self, pid: u32) -> Option<String> {
        let child = self.children.iter_mut().find(|child| child.id() == pid)?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn signal(&self, pid: u32, name: &str) {
        self.record.line(format!("signal {name} to the mixer"));
        send_signal(pid, name);
    }

    /// Ends everything and returns the exit status of the case.
    pub fn finish(mut self, status: i32, text: &str) -> ! {
        self.end_all();
        self.record.say(match status {
            HELD => format!("held: {text}"),
            BROKEN => format!("BROKEN: {text}"),
            _ => format!("could not run: {text}"),
        });
        std::process::exit(status);
    }

    fn end_all(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.children.clear();
    }
}

/// Sends a signal by the shell's own `kill`.
fn send_signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status();
}

impl Drop for Run {
    fn drop(&mut self) {
        self.end_all();
    }
}

/// A listener on a free port of a loopback address.
pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// A free loopback address where nobody listens yet.
pub fn free_address() -> SocketAddr {
    listener().1
}

/// Memory of a process in kilobytes: what it holds now and the most that it held.
pub fn memory_kb(pid: u32) -> Option<(u64, u64)> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let field = |name: &str| {
        text.lines().find_map(|line| line.strip_prefix(name))?.split_whitespace().next()?.parse().ok()
    };
    Some((field("VmRSS:")?, field("VmHWM:")?))
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// What a mixer is told at its start: a small deployment of twelve searchers in three sets.
pub struct Mixer {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    pub mixers: u32,
    /// The kept list in discovery's form.
    pub known: String,
    /// Further keys of `rules`, each with a comma before it.
    pub more_rules: String,
}

/// Sets of searchers, and shards in all. Shard s is held by set s modulo this.
pub const SETS: u32 = 3;
pub const SHARDS: u32 = 15;

impl Mixer {
    pub fn new(name: &str, discovery: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            listen: free_address(),
            discovery,
            memory_mb: 32,
            sockets: 1024,
            mixers: 1,
            known: r#"{"index":0,"snapshot":true,"endpoints":[]}"#.to_owned(),
            more_rules: String::new(),
        }
    }

    fn config(&self) -> String {
        let Self { name, listen, discovery, memory_mb, sockets, mixers, known, more_rules } = self;
        format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{known},
"settings":{{"peers_total":{mixers},"zone":0,"zones":["karlin"],"discovery":"push",
"services":[
{{"name":"player-search","idempotency":"pure","points":2.0,"slo_ms":1200.0,"hard_limit_ms":4000.0,"late_worth":0.3}},
{{"name":"standings","idempotency":"pure","points":1.0,"slo_ms":800.0,"hard_limit_ms":1500.0,"late_worth":0.1}},
{{"name":"result-entry","idempotency":"side_effect","points":1.0,"slo_ms":800.0,"hard_limit_ms":2500.0,"late_worth":0.3}}],
"customers":[{{"name":"u-lipy","quota_per_s":50.0,"share":1.0}}],"over_share_worth":0.2,
"family_info":{{"positions":{SETS},"in_a_row":1,"ranges":{SHARDS},"bundle_max":1,"overhead_ms":0.0,
"class_need":[0.75,1.0,1.0],"floor_by_class":[0.75,1.0,1.0],"partial_earns":[0,0,0],"class_fetch":[0,0,0]}},
"permissions":{{"cancel":true,"probing":true,"parallel_tries":true,"max_attempts":4,"retry_after":true,
"max_retry_after_ms":1000.0,"open_cap":400,"multiplex":32,"connect_timeout_ms":250.0,"idle_close_ms":15000.0}},
"rules":{{"cold_from":0.16,"warm_after_ms":17000.0,"tip_multiple":4.0,"fall_ms":1000.0,"drain_grace_ms":250.0{more_rules}}}}}}}
"#,
            unix_ms()
        )
    }
}

// Discovery.

#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        let Self { name, address, group, status, since_ms } = self;
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"karlin","type":"small-2c","group":{group},"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
        )
    }
}

pub fn list_json(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// An agent of discovery on one machine.
#[derive(Clone)]
pub struct Discovery {
    shared: Arc<(Mutex<Agent>, Condvar)>,
    pub address: SocketAddr,
}

struct Agent {
    index: u64,
    entries: BTreeMap<String, Entry>,
    /// The version at which each entry changed last.
    changed: BTreeMap<String, u64>,
    /// How long a call waits for its answer.
    delay: Duration,
    /// While false, nothing is answered.
    up: bool,
}

impl Discovery {
    pub fn start(record: &Record, entries: &[Entry], first_index: u64) -> Self {
        let (listener, address) = listener();
        let mut agent = Agent {
            index: first_index,
            entries: BTreeMap::new(),
            changed: BTreeMap::new(),
            delay: Duration::ZERO,
            up: true,
        };
        for entry in entries {
            agent.changed.insert(entry.name.clone(), first_index);
            agent.entries.insert(entry.name.clone(), entry.clone());
        }
        let shared = Arc::new((Mutex::new(agent), Condvar::new()));
        let discovery = Self { shared, address };
        let (serving, record) = (discovery.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (serving, record) = (serving.clone(), record.clone());
                thread::spawn(move || drop(serving.serve(stream, &record)));
            }
        });
        discovery
    }

    pub fn set_delay(&self, delay: Duration) {
        self.shared.0.lock().unwrap().delay = delay;
    }

    pub fn set_up(&self, up: bool) {
        self.shared.0.lock().unwrap().up = up;
        self.shared.1.notify_all();
    }

    /// Publishes one changed entry.
    pub fn change(&self, record: &Record, entry: Entry) {
        let mut agent = self.shared.0.lock().unwrap();
        agent.index += 1;
        let index = agent.index;
        record.line(format!("discovery {index}: {} {}", entry.name, entry.status));
        agent.changed.insert(entry.name.clone(), index);
        agent.entries.insert(entry.name.clone(), entry);
        self.shared.1.notify_all();
    }

    fn wait_up(&self) {
        let mut agent = self.shared.0.lock().unwrap();
        while !agent.up {
            agent = self.shared.1.wait(agent).unwrap();
        }
    }

    fn whole(&self) -> String {
        let agent = self.shared.0.lock().unwrap();
        let held: Vec<Entry> = agent.entries.values().filter(|e| e.status != "removed").cloned().collect();
        list_json(agent.index, true, &held)
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut input = BufReader::new(stream.try_clone()?);
        loop {
            let mut request = String::new();
            if input.read_line(&mut request)? == 0 {
                return Ok(());
            }
            let mut line = String::new();
            while input.read_line(&mut line)? > 2 {
                line.clear();
            }
            record.line(format!("discovery is asked: {}", request.trim()));
            let delay = self.shared.0.lock().unwrap().delay;
            thread::sleep(delay);
            self.wait_up();
            if let Some(after) = request.split("after=").nth(1) {
                let after = after.split(' ').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                return self.watch(stream, after, record);
            }
            let body = self.whole();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all((head + &body).as_bytes())?;
            record.line("discovery has answered with the whole list");
        }
    }

    fn watch(&self, mut stream: TcpStream, mut after: u64, record: &Record) -> io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        loop {
            let mut line = String::new();
            {
                let (mutex, changed) = &*self.shared;
                let agent = mutex.lock().unwrap();
                let (agent, _) =
                    changed.wait_timeout_while(agent, Duration::from_secs(2), |a| a.index <= after).unwrap();
                if agent.index > after {
                    line = if after == 0 {
                        let held: Vec<Entry> =
                            agent.entries.values().filter(|e| e.status != "removed").cloned().collect();
                        list_json(agent.index, true, &held)
                    } else {
                        let changed = agent.entries.values().filter(|e| agent.changed[&e.name] > after);
                        list_json(agent.index, false, &changed.cloned().collect::<Vec<_>>())
                    };
                    after = agent.index;
                }
            }
            self.wait_up();
            line.push('\n');
            stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
            if line.len() > 1 {
                record.line(format!("discovery has told version {after} on a watch"));
            }
        }
    }
}

// Searchers.

/// A connection of a mixer, as a searcher holds it.
#[derive(Debug)]
pub struct Link {
    stream: Mutex<TcpStream>,
    /// Parts that came on it and are not answered.
    waiting: AtomicUsize,
    /// A spoilt answer was written: it stays open and is of no further use.
    spoilt: AtomicBool,
}

/// One part as a searcher has received it.
#[derive(Clone, Debug)]
pub struct PartCall {
    pub searcher: String,
    pub id: String,
    pub shard: u32,
    pub wait_ms: u64,
    pub text: String,
    /// The connection on which it came, to answer it.
    pub link: Arc<Link>,
}

impl PartCall {
    /// The value that this searcher makes for the part: the same at every searcher, another for each request.
    pub fn value(&self) -> String {
        value_of(&self.text, self.shard)
    }

    /// Writes a frame `O` with this end and value, whose stated length is shorter by `cut` bytes.
    pub fn answer_cut(&self, end: &str, value: &str, cut: usize) -> io::Result<()> {
        let body = format!("{} {end} 1840277719 queue=0\n{value}", self.id);
        let mut bytes = ((body.len() + 1 - cut) as u32).to_be_bytes().to_vec();
        bytes.push(b'O');
        bytes.extend_from_slice(body.as_bytes());
        let mut stream = self.link.stream.lock().unwrap();
        self.link.waiting.fetch_sub(1, Ordering::SeqCst);
        if self.link.spoilt.load(Ordering::SeqCst) {
            return Ok(()); // nothing more is said there
        }
        self.link.spoilt.store(cut > 0, Ordering::SeqCst);
        stream.write_all(&bytes)
    }

    /// Whether another part waits on the same connection.
    pub fn others_wait(&self) -> bool {
        self.link.waiting.load(Ordering::SeqCst) > 1
    }

    pub fn answer(&self, end: &str, value: &str) -> io::Result<()> {
        self.answer_cut(end, value, 0)
    }

    pub fn serve(&self) -> io::Result<()> {
        self.answer("200", &self.value())
    }

    pub fn reset(&self) {
        let _ = self.link.stream.lock().unwrap().shutdown(std::net::Shutdown::Both);
    }
}

/// Sixteen hex digits that depend on the request's text and the shard.
pub fn value_of(text: &str, shard: u32) -> String {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325 ^ u64::from(shard);
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 29;
    format!("{:016x}", hash.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

pub type OnPart = Arc<dyn Fn(PartCall) + Send + Sync>;

/// Starts a searcher that passes each part on to `on_part`, in a thread of its own, and answers probes.
pub fn start_searcher(record: &Record, name: &str, on_part: OnPart) -> SocketAddr {
    let (listener, address) = listener();
    serve_searcher(listener, record, name, on_part);
    address
}

pub fn serve_searcher(listener: TcpListener, record: &Record, name: &str, on_part: OnPart) {
    let (record, name) = (record.clone(), name.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, name, on_part) = (record.clone(), name.clone(), on_part.clone());
            thread::spawn(move || drop(serve_link(stream, &record, &name, &on_part)));
        }
    });
}

fn serve_link(stream: TcpStream, record: &Record, name: &str, on_part: &OnPart) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream.try_clone()?);
    let link = Arc::new(Link { stream: Mutex::new(stream), waiting: AtomicUsize::new(0), spoilt: AtomicBool::new(false) });
    loop {
        let mut length = [0; 4];
        input.read_exact(&mut length)?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        input.read_exact(&mut frame)?;
        match frame[0] {
            b'D' => {
                let mut rest = &frame[1..];
                while !rest.is_empty() {
                    let end = rest.iter().position(|b| *b == b'\n').ok_or(io::ErrorKind::InvalidData)?;
                    let line = String::from_utf8_lossy(&rest[..end]).into_owned();
                    let fields: Vec<&str> = line.split(' ').collect();
                    let number = |i: usize| fields.get(i).and_then(|f| f.parse::<usize>().ok()).unwrap_or(0);
                    let text_end = end + 1 + number(3);
                    let text = String::from_utf8_lossy(&rest[end + 1..text_end]).into_owned();
                    rest = &rest[text_end..];
                    let wait_ms = fields[2].trim_start_matches("d=").parse().unwrap_or(0);
                    let call = PartCall {
                        searcher: name.to_owned(),
                        id: fields[0].to_owned(),
                        shard: number(1) as u32,
                        wait_ms,
                        text,
                        link: link.clone(),
                    };
                    record.line(format!("{name} gets part {} d={wait_ms}", call.id));
                    link.waiting.fetch_add(1, Ordering::SeqCst);
                    let on_part = on_part.clone();
                    thread::spawn(move || on_part(call));
                }
            }
            b'K' => record.line(format!("{name} is told to give up {}", String::from_utf8_lossy(&frame[1..]))),
            b'I' if link.spoilt.load(Ordering::SeqCst) => {}
            b'I' => link.stream.lock().unwrap().write_all(b"\0\0\0\x04I200")?,
            other => record.line(format!("{name} gets a frame {}", char::from(other))),
        }
    }
}

// Clients.

/// A client's connection, kept alive.
pub struct Client {
    stream: TcpStream,
    input: BufReader<TcpStream>,
}

pub struct Answer {
    pub status: u16,
    pub close: bool,
    pub body: String,
}

impl Answer {
    pub fn is_exact(&self) -> bool {
        self.body.contains("\"exact\":true")
    }

    /// The value of a shard's row, if the answer has one.
    pub fn value(&self, shard: u32) -> Option<String> {
        let rows = self.body.split_once("\"rows\":[")?.1;
        let row = rows.split('{').find(|row| {
            row.contains(&format!("\"id\":{shard},")) || row.contains(&format!("\"id\":{shard}}}"))
        })?;
        Some(row.split_once("\"data\":\"")?.1.split('"').next()?.to_owned())
    }
}

/// The bytes of a request for these shards, all of the same weight.
pub fn request(class: &str, id: &str, deadline_ms: u64, shards: &[u32], expr: &str) -> Vec<u8> {
    let weight = 1.0 / shards.len() as f64;
    let parts: Vec<String> = shards.iter().map(|s| format!(r#"{{"id":{s},"w":{weight:.6}}}"#)).collect();
    let body = format!(r#"{{"parts":[{}],"expr":"{expr}"}}"#, parts.join(","));
    format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {id}\r\nReq-Owner: u-lipy\r\nReq-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let input = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, input })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Waits for the next answer.
    pub fn answer(&mut self, wait: Duration) -> io::Result<Answer> {
        self.stream.set_read_timeout(Some(wait))?;
        let mut line = String::new();
        if self.input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
        let (mut length, mut close) = (0, false);
        loop {
            line.clear();
            if self.input.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let lower = line.trim().to_ascii_lowercase();
            if lower.is_empty() {
                break;
            }
            if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().map_err(|_| io::ErrorKind::InvalidData)?;
            }
            close |= lower == "connection: close";
        }
        let mut body = vec![0; length];
        self.input.read_exact(&mut body)?;
        Ok(Answer { status, close, body: String::from_utf8_lossy(&body).into_owned() })
    }

    pub fn ask(&mut self, bytes: &[u8], wait: Duration) -> io::Result<Answer> {
        self.send(bytes)?;
        self.answer(wait)
    }

    pub fn shutdown(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

/// One page of a mixer, such as `/-/ready`.
pub fn page(address: SocketAddr, path: &str) -> io::Result<Answer> {
    let mut client = Client::connect(address)?;
    client.ask(format!("GET {path} HTTP/1.1\r\nHost: app.svc\r\n\r\n").as_bytes(), Duration::from_secs(2))
}

/// Waits until a mixer says that it is ready, as the front does.
pub fn wait_ready(address: SocketAddr, longest: Duration) -> bool {
    let since = Instant::now();
    while since.elapsed() < longest {
        if page(address, "/-/ready").is_ok_and(|answer| answer.status == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Four searchers in each set, all with the same behaviour; their names are `s0` to `s11`.
pub fn start_fleet(record: &Record, on_part: &OnPart) -> Vec<Entry> {
    (0..4 * SETS)
        .map(|i| {
            let name = format!("s{i}");
            let address = start_searcher(record, &name, on_part.clone());
            Entry { name, address, group: i % SETS, status: "up", since_ms: 0 }
        })
        .collect()
}
