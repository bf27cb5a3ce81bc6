//! What the tests on loopback share: a mixer with its stand-ins, and how they ask it.

#![allow(dead_code, reason = "each test file uses some of it")]

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

use pewterwharf_standins::{self as standins, SearcherBehavior};
use serde_json::Value;

pub struct Mixer {
    pub child: Child,
    pub log: BufReader<ChildStderr>,
    pub addr: SocketAddr,
    pub lists: standins::DiscoveryServer,
    /// What searchers were sent.
    pub heard: Receiver<String>,
    pub searchers: Vec<(SocketAddr, &'static str)>,
}

pub fn port() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Starts a mixer and its searchers, and waits until it is ready.
pub fn start(manners: &[SearcherBehavior]) -> Mixer {
    start_on(EXAMPLE, manners)
}

pub fn start_on(config: &str, manners: &[SearcherBehavior]) -> Mixer {
    start_with(config, None, manners)
}

/// `settings`: the operator's own file.
pub fn start_with(config: &str, settings: Option<&Path>, manners: &[SearcherBehavior]) -> Mixer {
    start_after("true", config, settings, manners)
}

/// `before`: what the shell that starts it does first.
pub fn start_after(
    before: &str,
    config: &str,
    settings: Option<&Path>,
    manners: &[SearcherBehavior],
) -> Mixer {
    let (says, heard) = mpsc::channel();
    let searchers = manners.iter().map(|manner| {
        let listener = port();
        let addr = listener.local_addr().expect("an address");
        standins::serve_searcher(listener, *manner, says.clone());
        (addr, "up")
    });
    let searchers: Vec<_> = searchers.collect();
    let listener = port();
    let discovery = listener.local_addr().expect("an address").to_string();
    let lists = standins::DiscoveryServer::default();
    lists.serve(listener);
    lists.publish(standins::discovery_list(1, true, &searchers));
    let child =
        command(before, &discovery, config).envs(settings.map(|path| ("PEWTERWHARF_SETTINGS", path))).spawn();
    let (child, mut log, addr) = listens(child.expect("the mixer starts"));
    wait(&mut log, "ready");
    Mixer { child, log, addr, lists, heard, searchers }
}

pub const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/mixer.json");

/// Starts the program, and waits until it listens.
pub fn launch(discovery: String, config: &str) -> (Child, BufReader<ChildStderr>, SocketAddr) {
    listens(command("true", &discovery, config).spawn().expect("the mixer starts"))
}

/// The program, started by a shell that has done this before: a limit of the system is set so.
pub fn command(before: &str, discovery: &str, config: &str) -> Command {
    let run = format!("{before}; exec {}", env!("CARGO_BIN_EXE_pewterwharf-mixer"));
    let mut command = Command::new("sh");
    command
        .args(["-c", &run])
        .env("ROUTER_CONFIG", config)
        .env("ROUTER_LISTEN", "127.0.0.1:0")
        .env("ROUTER_DISCOVERY", discovery)
        .env("RUST_LOG", "info")
        .stderr(Stdio::piped());
    command
}

/// Waits until it listens.
pub fn listens(mut child: Child) -> (Child, BufReader<ChildStderr>, SocketAddr) {
    let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
    let line = wait(&mut log, "listens on ");
    let addr = line.rsplit(' ').next().and_then(|a| a.trim().parse().ok()).expect("an address");
    (child, log, addr)
}

pub fn signal(child: &Child, name: &str) {
    let kill = format!("kill -{name} {}", child.id());
    assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
}

/// The first line that holds these words.
pub fn wait(log: &mut impl BufRead, words: &str) -> String {
    let mut line = String::new();
    while !line.contains(words) {
        line.clear();
        assert!(log.read_line(&mut line).expect("a line") > 0, "the log ended before {words:?}");
    }
    line
}

impl Drop for Mixer {
    /// A test that fails leaves nothing behind.
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have ended
        let _ = self.child.wait();
    }
}

impl Mixer {
    pub fn connect(&self) -> TcpStream {
        TcpStream::connect(self.addr).expect("the mixer accepts")
    }

    pub fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    /// The exit status, and the counters that it printed and that are not zero.
    pub fn end(mut self) -> (Option<i32>, String) {
        let status = self.child.wait().expect("it ends").code();
        let mut rest = String::new();
        self.log.read_to_string(&mut rest).expect("its last lines");
        let sums = rest.lines().filter(|l| l.starts_with("scans_") && !l.contains('{'));
        let counts = sums.filter(|l| !l.ends_with(" 0"));
        (status, counts.collect::<Vec<_>>().join(", "))
    }
}

pub fn scan(table_type: &str, parts: u32) -> String {
    let parts: Vec<Value> =
        (0..parts).map(|shard| serde_json::json!({"id": shard, "w": 1.0 / f64::from(parts)})).collect();
    let body = serde_json::json!({"parts": parts, "expr": "find"}).to_string();
    format!(
        "POST /{table_type} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: q1\r\nReq-Owner: acme\r\n\
         Req-Deadline-Ms: 1000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The status line, what it says of the connection and of coming back, and the body.
pub fn answer(stream: &TcpStream) -> String {
    next_answer(&mut BufReader::new(stream))
}

pub fn next_answer(input: &mut impl BufRead) -> String {
    let (mut seen, mut length) = (Vec::new(), 0);
    loop {
        let mut line = String::new();
        input.read_line(&mut line).expect("a line");
        match line.trim_end().split_once(": ") {
            Some(("Content-Length", n)) => length = n.parse().expect("a length"),
            Some(("Content-Type", _)) => {}
            _ if line.trim_end().is_empty() => break,
            _ => seen.push(line.trim_end().to_owned()),
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).expect("a body");
    seen.push(String::from_utf8_lossy(&body).trim_end().to_owned());
    seen.join(" | ")
}

/// However busy the machine is, what does not come in so long does not come.
pub const CEILING: Duration = Duration::from_secs(20);

/// The next connection; fails the test if none comes.
pub fn accept(listener: &TcpListener) -> TcpStream {
    let since = Instant::now();
    listener.set_nonblocking(true).expect("it can be polled");
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("it can wait");
                stream.set_read_timeout(Some(CEILING)).expect("a time-out");
                return stream;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                assert!(since.elapsed() < CEILING, "nobody came");
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(error) => panic!("accept: {error}"),
        }
    }
}

/// The first line of a request, and the rest of its head passed over.
pub fn request_line(stream: &TcpStream) -> String {
    let (mut input, mut first, mut line) = (BufReader::new(stream), String::new(), String::new());
    input.read_line(&mut first).expect("a line");
    while input.read_line(&mut line).expect("a line") > 2 {
        line.clear();
    }
    first
}

/// The head of a watch's answer.
pub const WATCH: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A piece of it.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The example's configuration, changed, in a file of its own.
pub fn config(name: &str, change: impl FnOnce(&mut Value)) -> String {
    let text = std::fs::read_to_string(EXAMPLE).expect("the example");
    let mut config = serde_json::from_str(&text).expect("it is JSON");
    change(&mut config);
    let path = format!("{}/{name}-{}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, config.to_string()).expect("it can be written");
    path
}

/// Discovery that a test plays by hand, and a mixer that goes by it.
pub struct Watched {
    pub discovery: Option<TcpListener>,
    pub at: SocketAddr,
    pub child: Child,
    pub log: BufReader<ChildStderr>,
    pub addr: SocketAddr,
}

impl Watched {
    pub fn start(before: &str, config: &str) -> Self {
        let discovery = port();
        let at = discovery.local_addr().expect("an address");
        let child = command(before, &at.to_string(), config).spawn().expect("the mixer starts");
        let (child, log, addr) = listens(child);
        Self { discovery: Some(discovery), at, child, log, addr }
    }

    /// The next that asks.
    pub fn asked(&self) -> TcpStream {
        accept(self.discovery.as_ref().expect("it is up"))
    }

    /// Goes down: nobody listens there any more.
    pub fn down(&mut self) {
        self.discovery = None;
    }

    pub fn up(&mut self) {
        self.discovery = Some(TcpListener::bind(self.at).expect("its port is free"));
    }

    /// Answers whoever asks, as discovery does that is well, until the mixer says this; all that it has answered.
    pub fn well_until(&mut self, list: &Value, words: &str) -> Vec<TcpStream> {
        let listener = self.discovery.as_ref().expect("it is up");
        listener.set_nonblocking(true).expect("it can be polled");
        let over = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let answers = scope.spawn(|| {
                let mut answered = Vec::new();
                while !over.load(Ordering::SeqCst) {
                    let Ok((stream, _)) = listener.accept() else {
                        std::thread::sleep(Duration::from_millis(1));
                        continue;
                    };
                    stream.set_nonblocking(false).expect("it can wait");
                    stream.set_read_timeout(Some(Duration::from_millis(500))).expect("a time-out");
                    answers(&stream, list); // unless the mixer has given it up
                    answered.push(stream);
                }
                answered
            });
            wait(&mut self.log, words);
            over.store(true, Ordering::SeqCst);
            answers.join().expect("it answers")
        })
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have ended
        let _ = self.child.wait();
    }
}

/// Answers what was asked with this list, and the watch behind it; none, if the mixer has given it up.
pub fn answers(mut stream: &TcpStream, list: &Value) -> Option<()> {
    let head = |stream: &TcpStream| {
        let (mut input, mut first, mut line) = (BufReader::new(stream), String::new(), String::new());
        input.read_line(&mut first).ok().filter(|read| *read > 0)?;
        while input.read_line(&mut line).ok()? > 2 {
            line.clear();
        }
        Some(first)
    };
    if !head(stream)?.contains("watch=1") {
        let body = list.to_string();
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
        head(stream)?;
        return stream.write_all(WATCH.as_bytes()).ok();
    }
    write!(stream, "{WATCH}{}", chunk(&format!("{list}\n"))).ok()
}
