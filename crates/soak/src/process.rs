//! The processes of a run: starting, signalling and commanding them.

use std::ffi::{OsStr, OsString};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, Builder};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;

use crate::clock::now_ms;
use crate::role::{ROLE_VARIABLE, Role};
use crate::settings::MAX_DESCRIPTORS;

/// The first port of the first range. All ranges are below the ephemeral ports of the system.
const FIRST_PORT: u16 = 10_000;
const PORTS_PER_RANGE: u16 = 200;
const RANGES: u16 = 100;
/// How often a stalled log reader checks whether it may continue.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeouts of a request to a mixer's own pages.
const PAGE_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const PAGE_READ_TIMEOUT: Duration = Duration::from_millis(400);

/// A range of ports that stay free while no process listens on them: the system does not assign them to connections, and no other
/// run uses them.
pub struct Ports {
    next: u16,
    /// Listens on the first port of the range, which marks the range as taken for other runs.
    _reserved: TcpListener,
}

impl Ports {
    /// Reserves a range that no other run uses.
    ///
    /// # Errors
    /// If all ranges are in use.
    pub fn reserve() -> Result<Self> {
        let preferred = std::process::id() % u32::from(RANGES);
        let ranges = (0..u32::from(RANGES)).map(|nth| ((preferred + nth) % u32::from(RANGES)) as u16);
        for first in ranges.map(|range| FIRST_PORT + range * PORTS_PER_RANGE) {
            if let Ok(reserved) = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], first))) {
                return Ok(Self { next: first, _reserved: reserved });
            }
        }
        bail!("all port ranges are in use by other runs")
    }

    /// The next port on which no process listens.
    ///
    /// # Errors
    /// If no port is left.
    pub fn next_free(&mut self) -> Result<SocketAddr> {
        loop {
            self.next = self.next.checked_add(1).context("no port is left")?;
            let address = SocketAddr::from(([127, 0, 0, 1], self.next));
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
    }
}

/// Sends a signal to a process that may have ended.
pub fn send_signal(child: &Child, signal: Signal) {
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        let _ = kill_process(pid, signal);
    }
}

/// A process with a role, which receives commands on its standard input. It is killed when this is dropped.
pub struct RoleProcess {
    pub child: Child,
}

impl RoleProcess {
    /// Starts the current program again in a role; with `arguments` it calls [`crate::role::serve`].
    pub fn start(arguments: &[String], role: &Role) -> Result<Self> {
        let child = Command::new(std::env::current_exe()?)
            .args(arguments)
            .env(ROLE_VARIABLE, serde_json::to_string(role)?)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()?;
        Ok(Self { child })
    }

    pub fn send(&mut self, command: &impl Serialize) {
        let Ok(mut line) = serde_json::to_vec(command) else { return };
        line.push(b'\n');
        if let Some(input) = &mut self.child.stdin {
            let _ = input.write_all(&line); // the process may have been killed
        }
    }
}

impl Drop for RoleProcess {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have ended
        let _ = self.child.wait();
    }
}

/// Reads a mixer's log into a file. It can stop reading for a while, or close the pipe.
#[derive(Default)]
pub struct LogReader {
    is_closed: AtomicBool,
    /// In whole milliseconds.
    stalled_until: AtomicU64,
    counters: Mutex<Vec<String>>,
}

impl LogReader {
    /// Closes the pipe after the next line.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
    }

    pub fn stall(&self, ms: u64) {
        self.stalled_until.store(now_ms() as u64 + ms, Ordering::SeqCst);
    }

    /// The counters that the mixer has printed.
    pub fn counters(&self) -> Vec<String> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn read(&self, input: impl Read, mut log: File) {
        let mut input = BufReader::new(input);
        let mut line = String::new();
        while !self.is_closed.load(Ordering::SeqCst)
            && input.read_line(&mut line).is_ok_and(|count| count > 0)
        {
            while now_ms() < self.stalled_until.load(Ordering::SeqCst) as f64 {
                thread::sleep(STALL_POLL_INTERVAL);
            }
            let _ = log.write_all(line.as_bytes()); // it only helps to analyze failures
            if !line.contains(' ') || line.split(' ').count() == 2 {
                self.counters.lock().unwrap_or_else(PoisonError::into_inner).push(line.trim_end().to_owned());
            }
            line.clear();
        }
    }
}

/// A shared library that is preloaded into a mixer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShimLibrary {
    /// Makes system calls on sockets fail, be interrupted, or transfer only a few bytes.
    Faults,
    /// Records when calls to searchers are written. Can also set the size of their send buffers, stop the process between two
    /// calls, and delay threads after they read the clock.
    Sends,
    /// Makes accepting clients' connections, or registering them with a poll, fail for a while at regular intervals.
    Accepts,
}

/// Builds a library with the system's C compiler, which also links this program, and returns its path.
///
/// # Errors
/// If there is no compiler, or it fails.
pub fn build_library(library: ShimLibrary, folder: &Path) -> Result<PathBuf> {
    let (name, source) = match library {
        ShimLibrary::Faults => ("faults", concat!(env!("CARGO_MANIFEST_DIR"), "/shim/faults.c")),
        ShimLibrary::Sends => ("sends", concat!(env!("CARGO_MANIFEST_DIR"), "/shim/sends.c")),
        ShimLibrary::Accepts => ("accepts", concat!(env!("CARGO_MANIFEST_DIR"), "/shim/accepts.c")),
    };
    static BUILD_LOCK: Mutex<()> = Mutex::new(());
    let _lock = BUILD_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let output = folder.join(format!("{name}-{}.so", std::process::id()));
    if output.exists() {
        return Ok(output);
    }
    let status = Command::new("cc")
        .args(["-shared", "-fPIC", "-O1", "-o"])
        .arg(&output)
        .args([source, "-ldl"])
        .status()
        .context("running cc")?;
    if !status.success() {
        bail!("cc failed: {status}");
    }
    Ok(output)
}

/// Delays of threads after they read the clock.
#[derive(Clone, Copy, Debug)]
pub struct ClockDelays {
    /// One in this many reads of the clock is followed by a delay.
    pub one_in: u32,
    pub max_ms: u32,
}

/// The libraries that are preloaded into a mixer, and their settings.
pub struct Preload {
    /// In the order in which they intercept a system call.
    pub libraries: Vec<PathBuf>,
    /// The file that records calls to searchers.
    pub record: PathBuf,
    /// The size of send buffers towards searchers; `None` for the system's default.
    pub send_buffer_bytes: Option<usize>,
    pub clock_delays: Option<ClockDelays>,
}

impl Preload {
    fn variables(&self) -> Vec<(&'static str, OsString)> {
        let libraries: Vec<&OsStr> = self.libraries.iter().map(|library| library.as_os_str()).collect();
        let mut variables = vec![
            ("LD_PRELOAD", libraries.join(OsStr::new(":"))),
            ("SHIM_SENDS", self.record.clone().into_os_string()),
        ];
        variables.extend(self.send_buffer_bytes.map(|bytes| ("SHIM_SEND_BUFFER", bytes.to_string().into())));
        if let Some(ClockDelays { one_in, max_ms }) = self.clock_delays {
            variables.push(("SHIM_HOLDS_ONE_IN", one_in.to_string().into()));
            variables.push(("SHIM_HOLD_MS", max_ms.to_string().into()));
        }
        variables
    }
}

/// What a process of a mixer holds.
pub struct Resources {
    pub descriptors: u64,
    pub threads: u64,
    /// The peak of its resident memory.
    pub peak_kb: u64,
}

/// A process of a mixer.
pub struct MixerProcess {
    pub child: Child,
    pub log: Arc<LogReader>,
}

impl MixerProcess {
    /// Starts the process as it is deployed, with its limit on descriptors.
    pub fn start(program: &Path, config: &Path, log: PathBuf, preload: &Preload) -> Result<Self> {
        let run = format!("ulimit -n {MAX_DESCRIPTORS}; exec {}", program.display());
        let level = std::env::var("SOAK_LOG").unwrap_or_else(|_| "debug".to_owned());
        let mut child = Command::new("sh")
            .args(["-c", &run])
            .env("ROUTER_CONFIG", config)
            .env("RUST_LOG", level)
            .env_remove(ROLE_VARIABLE)
            .envs(preload.variables())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .context("starting the mixer")?;
        let (reader, file) = (Arc::new(LogReader::default()), File::create(log)?);
        if let Some(input) = child.stderr.take() {
            let shared = reader.clone();
            Builder::new().spawn(move || shared.read(input, file))?;
        }
        Ok(Self { child, log: reader })
    }

    /// The resources of the process; `None` if it has ended.
    pub fn resources(&self) -> Option<Resources> {
        let folder = PathBuf::from(format!("/proc/{}", self.child.id()));
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let number = |key: &str| {
            let line = status.lines().find(|line| line.starts_with(key))?;
            line.split_whitespace().nth(1)?.parse().ok()
        };
        let descriptors = std::fs::read_dir(folder.join("fd")).ok()?.count() as u64;
        Some(Resources { descriptors, threads: number("Threads:")?, peak_kb: number("VmHWM:")? })
    }
}

impl Drop for MixerProcess {
    fn drop(&mut self) {
        send_signal(&self.child, Signal::CONT);
        let _ = self.child.kill(); // it may have ended
        let _ = self.child.wait();
    }
}

/// Requests a page of a mixer; returns its status and body.
pub fn fetch_page(address: SocketAddr, path: &str) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, PAGE_CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(PAGE_READ_TIMEOUT))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok((status, text.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.to_owned())))
}
