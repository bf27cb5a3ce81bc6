//! Harness of the tests that run the mixer on loopback: starts the program with its stand-ins, sends requests
//! and reads answers.

#![allow(dead_code, reason = "each test file uses some of it")]

use std::fmt;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

use pewterwharf_standins::{self as standins, SearcherBehavior};
use rustix::net::{self, AddressFamily, SocketType, sockopt};
use serde_json::Value;

/// What does not happen within this time does not happen at all, however busy the machine is.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// How often a nonblocking listener is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// How long [`ManualDiscoveryMixer::serve_discovery_until`] waits for the bytes of a request.
const DISCOVERY_READ_TIMEOUT: Duration = Duration::from_millis(500);

pub const EXAMPLE_CONFIG: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/mixer.json");

/// The head of the response to a watch.
pub const WATCH_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A running mixer, its searchers and its discovery server.
pub struct Mixer {
    pub child: Child,
    pub log: BufReader<ChildStderr>,
    pub address: SocketAddr,
    pub discovery: standins::DiscoveryServer,
    /// The frames that searchers received.
    pub frames: Receiver<String>,
    pub searchers: Vec<(SocketAddr, &'static str)>,
}

/// The process of a mixer that listens.
pub struct LaunchedMixer {
    pub child: Child,
    pub log: BufReader<ChildStderr>,
    pub address: SocketAddr,
}

/// How a mixer ended.
#[derive(Debug, PartialEq)]
pub struct Exit {
    pub status: Option<i32>,
    /// The `scans_` counters that it printed and that are not zero.
    pub counters: String,
}

impl fmt::Display for Exit {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:?} {}", self.status, self.counters)
    }
}

/// Listens on a free port of the loopback interface.
pub fn bind_free_port() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// A port that refuses connections. It stays bound, so that no other process gets it before it is listened on.
pub struct RefusingPort {
    socket: OwnedFd,
    pub address: SocketAddr,
}

impl RefusingPort {
    /// Binds this port; zero is for any free one.
    pub fn bind(port: u16) -> Self {
        let socket = net::socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
        sockopt::set_socket_reuseaddr(&socket, true).expect("the socket option can be set");
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        // A process that another test is just starting holds a copy of a closed listener until it runs its program.
        let latest_at = Instant::now() + TIMEOUT;
        while let Err(error) = net::bind(&socket, &address) {
            assert!(Instant::now() < latest_at, "the port is not free: {error}");
            std::thread::sleep(POLL_INTERVAL);
        }
        let address = net::getsockname(&socket).expect("the socket's address");
        let address = SocketAddrV4::try_from(address).expect("an IPv4 address").into();
        Self { socket, address }
    }

    /// Accepts connections from now on.
    pub fn listen(self) -> TcpListener {
        const BACKLOG: i32 = 128;
        net::listen(&self.socket, BACKLOG).expect("the port can be listened on");
        self.socket.into()
    }
}

/// Starts a mixer with the example's configuration and one searcher for each behavior, and waits until it is
/// ready.
pub fn start(behaviors: &[SearcherBehavior]) -> Mixer {
    start_with_config(EXAMPLE_CONFIG, behaviors)
}

pub fn start_with_config(config: &str, behaviors: &[SearcherBehavior]) -> Mixer {
    start_with_settings(config, None, behaviors)
}

/// `settings`: the path of the operator's settings file.
pub fn start_with_settings(config: &str, settings: Option<&Path>, behaviors: &[SearcherBehavior]) -> Mixer {
    start_after_command("true", config, settings, behaviors)
}

/// `shell_command`: what the shell runs before it starts the mixer.
pub fn start_after_command(
    shell_command: &str,
    config: &str,
    settings: Option<&Path>,
    behaviors: &[SearcherBehavior],
) -> Mixer {
    let (sender, frames) = mpsc::channel();
    let searchers = behaviors.iter().map(|behavior| {
        let listener = bind_free_port();
        let address = listener.local_addr().expect("the listener's address");
        standins::serve_searcher(listener, *behavior, sender.clone());
        (address, "up")
    });
    let searchers: Vec<_> = searchers.collect();
    let listener = bind_free_port();
    let discovery_address = listener.local_addr().expect("the listener's address").to_string();
    let discovery = standins::DiscoveryServer::default();
    discovery.serve(listener);
    discovery.publish(standins::discovery_list(1, true, &searchers));
    let child = mixer_command(shell_command, &discovery_address, config)
        .envs(settings.map(|path| ("PEWTERWHARF_SETTINGS", path)))
        .spawn();
    let LaunchedMixer { child, mut log, address } = wait_until_listening(child.expect("the mixer starts"));
    wait_for_log(&mut log, "ready");
    Mixer { child, log, address, discovery, frames, searchers }
}

/// Starts a mixer and waits until it listens.
pub fn launch(discovery: String, config: &str) -> LaunchedMixer {
    wait_until_listening(mixer_command("true", &discovery, config).spawn().expect("the mixer starts"))
}

/// The mixer's command, run by a shell after `shell_command`, which may for example set a resource limit.
pub fn mixer_command(shell_command: &str, discovery: &str, config: &str) -> Command {
    let run = format!("{shell_command}; exec {}", env!("CARGO_BIN_EXE_pewterwharf-mixer"));
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

/// Waits until the mixer logs the address that it listens on.
pub fn wait_until_listening(mut child: Child) -> LaunchedMixer {
    let mut log = BufReader::new(child.stderr.take().expect("standard error is piped"));
    let line = wait_for_log(&mut log, "listens on ");
    let address = line.rsplit(' ').next().and_then(|word| word.trim().parse().ok()).expect("an address");
    LaunchedMixer { child, log, address }
}

pub fn send_signal(child: &Child, name: &str) {
    let kill = format!("kill -{name} {}", child.id());
    assert!(Command::new("sh").args(["-c", &kill]).status().expect("the shell starts").success());
}

/// The first line of the log that contains this text.
pub fn wait_for_log(log: &mut impl BufRead, text: &str) -> String {
    let mut line = String::new();
    while !line.contains(text) {
        line.clear();
        assert!(log.read_line(&mut line).expect("a line of the log") > 0, "the log ended before {text:?}");
    }
    line
}

impl Drop for Mixer {
    /// Leaves no process behind when a test fails.
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have ended
        let _ = self.child.wait();
    }
}

impl Mixer {
    pub fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).expect("the mixer accepts")
    }

    pub fn signal(&self, name: &str) {
        send_signal(&self.child, name);
    }

    /// The counter of this name, as the mixer shows it now.
    pub fn counter(&self, name: &str) -> u64 {
        counter_of(self.address, name)
    }

    /// Waits until the process ends.
    pub fn wait_for_exit(mut self) -> Exit {
        let status = self.child.wait().expect("the process ends").code();
        let mut remaining_log = String::new();
        self.log.read_to_string(&mut remaining_log).expect("the rest of the log");
        let totals = remaining_log.lines().filter(|line| line.starts_with("scans_") && !line.contains('{'));
        let counters = totals.filter(|line| !line.ends_with(" 0"));
        Exit { status, counters: counters.collect::<Vec<_>>().join(", ") }
    }
}

/// The counter of this name, as the mixer at this address shows it now.
pub fn counter_of(mixer: SocketAddr, name: &str) -> u64 {
    let mut client = TcpStream::connect(mixer).expect("the mixer accepts");
    client.write_all(b"GET /-/counters HTTP/1.1\r\n\r\n").expect("the connection accepts bytes");
    let answer = read_answer(&client);
    let value_of = |line: &str| line.trim().strip_prefix(name)?.strip_prefix(' ')?.parse().ok();
    answer.split(['\n', '|']).find_map(value_of).expect("a counter of this name")
}

/// A request with the id `q1` for this many shards, each with the same weight.
pub fn scan_request(table_type: &str, parts: u32) -> String {
    let parts: Vec<Value> =
        (0..parts).map(|shard| serde_json::json!({"id": shard, "w": 1.0 / f64::from(parts)})).collect();
    let body = serde_json::json!({"parts": parts, "expr": "find"}).to_string();
    format!(
        "POST /{table_type} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: q1\r\nReq-Owner: acme\r\n\
         Req-Deadline-Ms: 1000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The status line, the headers other than `Content-Length` and `Content-Type`, and the body.
pub fn read_answer(stream: &TcpStream) -> String {
    read_next_answer(&mut BufReader::new(stream))
}

/// Like [`read_answer`], for an input that may hold further answers.
pub fn read_next_answer(input: &mut impl BufRead) -> String {
    let (mut fields, mut length) = (Vec::new(), 0);
    loop {
        let mut line = String::new();
        input.read_line(&mut line).expect("a line of the answer");
        match line.trim_end().split_once(": ") {
            Some(("Content-Length", value)) => length = value.parse().expect("a length"),
            Some(("Content-Type", _)) => {}
            _ if line.trim_end().is_empty() => break,
            _ => fields.push(line.trim_end().to_owned()),
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).expect("the body of the answer");
    fields.push(String::from_utf8_lossy(&body).trim_end().to_owned());
    fields.join(" | ")
}

/// The next connection; fails the test if there is none in time.
pub fn accept(listener: &TcpListener) -> TcpStream {
    let since = Instant::now();
    listener.set_nonblocking(true).expect("the listener can be polled");
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("the stream can block");
                stream.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
                return stream;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                assert!(since.elapsed() < TIMEOUT, "no connection within {TIMEOUT:?}");
                std::thread::sleep(POLL_INTERVAL);
            }
            Err(error) => panic!("accept: {error}"),
        }
    }
}

/// Reads the head of a request and returns its first line.
pub fn read_request_line(stream: &TcpStream) -> String {
    let (mut input, mut first, mut line) = (BufReader::new(stream), String::new(), String::new());
    input.read_line(&mut first).expect("a request line");
    while input.read_line(&mut line).expect("a header") > 2 {
        line.clear();
    }
    first
}

/// Text as one chunk of a chunked body.
pub fn http_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Writes a changed copy of the example's configuration to a file of this name and returns its path.
pub fn write_config(name: &str, change: impl FnOnce(&mut Value)) -> String {
    let text = std::fs::read_to_string(EXAMPLE_CONFIG).expect("the example's configuration");
    let mut config = serde_json::from_str(&text).expect("the configuration is JSON");
    change(&mut config);
    let path = format!("{}/{name}-{}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, config.to_string()).expect("the file can be written");
    path
}

/// A mixer whose discovery server is played by the test.
pub struct ManualDiscoveryMixer {
    /// `None` while discovery is down.
    pub discovery: Option<TcpListener>,
    /// The port of discovery while it is down.
    refusing_port: Option<RefusingPort>,
    pub discovery_address: SocketAddr,
    pub child: Child,
    pub log: BufReader<ChildStderr>,
    pub address: SocketAddr,
}

impl ManualDiscoveryMixer {
    pub fn start(shell_command: &str, config: &str) -> Self {
        let discovery = bind_free_port();
        let discovery_address = discovery.local_addr().expect("the listener's address");
        let child = mixer_command(shell_command, &discovery_address.to_string(), config)
            .spawn()
            .expect("the mixer starts");
        let LaunchedMixer { child, log, address } = wait_until_listening(child);
        Self { discovery: Some(discovery), refusing_port: None, discovery_address, child, log, address }
    }

    /// The mixer's next connection to discovery.
    pub fn accept_discovery_connection(&self) -> TcpStream {
        accept(self.discovery.as_ref().expect("discovery is up"))
    }

    /// Closes the listener, so that connections are refused.
    pub fn stop_discovery(&mut self) {
        self.discovery = None;
        self.refusing_port = Some(RefusingPort::bind(self.discovery_address.port()));
    }

    pub fn restart_discovery(&mut self) {
        self.discovery = self.refusing_port.take().map(RefusingPort::listen);
    }

    /// Answers each request with this list until the mixer logs this text; returns the answered connections.
    pub fn serve_discovery_until(&mut self, list: &Value, log_text: &str) -> Vec<TcpStream> {
        let listener = self.discovery.as_ref().expect("discovery is up");
        listener.set_nonblocking(true).expect("the listener can be polled");
        let is_over = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let server = scope.spawn(|| {
                let mut answered = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    let Ok((stream, _)) = listener.accept() else {
                        std::thread::sleep(POLL_INTERVAL);
                        continue;
                    };
                    stream.set_nonblocking(false).expect("the stream can block");
                    stream.set_read_timeout(Some(DISCOVERY_READ_TIMEOUT)).expect("a read timeout");
                    answer_discovery_request(&stream, list); // the mixer may have closed the connection
                    answered.push(stream);
                }
                answered
            });
            wait_for_log(&mut self.log, log_text);
            is_over.store(true, Ordering::SeqCst);
            server.join().expect("the server thread ends")
        })
    }
}

impl Drop for ManualDiscoveryMixer {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have ended
        let _ = self.child.wait();
    }
}

/// Answers a request for the list, and the watch that follows it on the connection; `None` if the mixer
/// closed the connection.
pub fn answer_discovery_request(mut stream: &TcpStream, list: &Value) -> Option<()> {
    let read_head = |stream: &TcpStream| {
        let (mut input, mut first, mut line) = (BufReader::new(stream), String::new(), String::new());
        input.read_line(&mut first).ok().filter(|read| *read > 0)?;
        while input.read_line(&mut line).ok()? > 2 {
            line.clear();
        }
        Some(first)
    };
    if !read_head(stream)?.contains("watch=1") {
        let body = list.to_string();
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
        read_head(stream)?;
        return stream.write_all(WATCH_RESPONSE_HEAD.as_bytes()).ok();
    }
    write!(stream, "{WATCH_RESPONSE_HEAD}{}", http_chunk(&format!("{list}\n"))).ok()
}
