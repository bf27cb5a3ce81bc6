//! The processes of a run: started, stopped, signalled and told what to do.

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
use crate::role::{Role, VARIABLE};
use crate::settings::SOCKETS;

/// Ports of the runs of one process, below those that the system gives out.
const FIRST_PORT: u16 = 10_000;
const PORTS_OF_A_RUN: u16 = 200;
const PLACES: u16 = 100;

/// Ports that stay free while their listeners are away: the system gives none of them to connections, and no other run takes them.
pub struct Ports {
    next: u16,
    /// Holds the first port of the range, as a sign to other runs.
    _reserved: TcpListener,
}

impl Ports {
    /// A range that no other run holds.
    ///
    /// # Errors
    /// If all are held.
    pub fn reserve() -> Result<Self> {
        let from = std::process::id() % u32::from(PLACES);
        let places = (0..u32::from(PLACES)).map(|n| ((from + n) % u32::from(PLACES)) as u16);
        for first in places.map(|place| FIRST_PORT + place * PORTS_OF_A_RUN) {
            if let Ok(reserved) = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], first))) {
                return Ok(Self { next: first, _reserved: reserved });
            }
        }
        bail!("other runs hold all ports")
    }

    /// The next that nobody listens on.
    ///
    /// # Errors
    /// If none is left.
    pub fn next_free(&mut self) -> Result<SocketAddr> {
        loop {
            self.next = self.next.checked_add(1).context("no port is left")?;
            let at = SocketAddr::from(([127, 0, 0, 1], self.next));
            if TcpListener::bind(at).is_ok() {
                return Ok(at);
            }
        }
    }
}

/// Sends a signal to a process that may have ended.
pub fn signal(child: &Child, signal: Signal) {
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        let _ = kill_process(pid, signal);
    }
}

/// A process with a role, told what to do on its standard input. It is ended with this.
pub struct Helper {
    pub child: Child,
}

impl Helper {
    /// Starts this very program anew in a role; `arguments` lead it there.
    pub fn start(arguments: &[String], role: &Role) -> Result<Self> {
        let child = Command::new(std::env::current_exe()?)
            .args(arguments)
            .env(VARIABLE, serde_json::to_string(role)?)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()?;
        Ok(Self { child })
    }

    pub fn tell(&mut self, order: &impl Serialize) {
        let Ok(mut line) = serde_json::to_vec(order) else { return };
        line.push(b'\n');
        if let Some(input) = &mut self.child.stdin {
            let _ = input.write_all(&line); // it may have been killed
        }
    }
}

impl Drop for Helper {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have ended
        let _ = self.child.wait();
    }
}

/// What becomes of a mixer's log: read to a file, left unread for a while, or its pipe closed.
#[derive(Default)]
pub struct LogReader {
    gone: AtomicBool,
    /// Until when nobody reads, in whole milliseconds.
    stalled_until: AtomicU64,
    tail: Mutex<Vec<String>>,
}

impl LogReader {
    pub fn go(&self) {
        self.gone.store(true, Ordering::SeqCst);
    }

    pub fn stall(&self, ms: u64) {
        self.stalled_until.store(now_ms() as u64 + ms, Ordering::SeqCst);
    }

    /// The counters that it has printed.
    pub fn counters(&self) -> Vec<String> {
        self.tail.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn read(&self, input: impl Read, mut log: File) {
        let mut input = BufReader::new(input);
        let mut line = String::new();
        while !self.gone.load(Ordering::SeqCst) && input.read_line(&mut line).is_ok_and(|count| count > 0) {
            while now_ms() < self.stalled_until.load(Ordering::SeqCst) as f64 {
                thread::sleep(Duration::from_millis(20));
            }
            let _ = log.write_all(line.as_bytes()); // for whoever looks a failure up
            if !line.contains(' ') || line.split(' ').count() == 2 {
                self.tail.lock().unwrap_or_else(PoisonError::into_inner).push(line.trim_end().to_owned());
            }
            line.clear();
        }
    }
}

/// A library that is loaded before a mixer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Library {
    /// Makes system calls on sockets fail, be interrupted or come short.
    Faults,
    /// Notes when calls to searchers are written; can narrow their buffers, and stop the process between two of them.
    Sends,
    /// Makes accepting and polling connections of clients fail for a while, again and again.
    Accepts,
}

/// Builds one of the libraries, with the compiler that links this program.
///
/// # Errors
/// If there is none, or it fails.
pub fn build_library(library: Library, folder: &Path) -> Result<PathBuf> {
    let (name, source) = match library {
        Library::Faults => ("faults", concat!(env!("CARGO_MANIFEST_DIR"), "/shim/faults.c")),
        Library::Sends => ("sends", concat!(env!("CARGO_MANIFEST_DIR"), "/shim/sends.c")),
        Library::Accepts => ("accepts", concat!(env!("CARGO_MANIFEST_DIR"), "/shim/accepts.c")),
    };
    static BUILDING: Mutex<()> = Mutex::new(());
    let _alone = BUILDING.lock().unwrap_or_else(PoisonError::into_inner);
    let built = folder.join(format!("{name}-{}.so", std::process::id()));
    if built.exists() {
        return Ok(built);
    }
    let status = Command::new("cc")
        .args(["-shared", "-fPIC", "-O1", "-o"])
        .arg(&built)
        .args([source, "-ldl"])
        .status()
        .context("cc")?;
    if !status.success() {
        bail!("cc ended with {status}");
    }
    Ok(built)
}

/// What is loaded before a mixer.
pub struct Preload {
    /// In the order in which they take a call.
    pub libraries: Vec<PathBuf>,
    /// Where calls to searchers are noted.
    pub notes: PathBuf,
    /// The size of buffers towards searchers, where it is not the system's.
    pub send_buffer: Option<usize>,
    /// After one in so many looks at the clock whoever looked is held up, for so many milliseconds at most.
    pub holds: Option<(u32, u32)>,
}

impl Preload {
    fn variables(&self) -> Vec<(&'static str, OsString)> {
        let libraries: Vec<&OsStr> = self.libraries.iter().map(|library| library.as_os_str()).collect();
        let mut variables = vec![
            ("LD_PRELOAD", libraries.join(OsStr::new(":"))),
            ("SHIM_SENDS", self.notes.clone().into_os_string()),
        ];
        variables.extend(self.send_buffer.map(|bytes| ("SHIM_SEND_BUFFER", bytes.to_string().into())));
        if let Some((one_in, most_ms)) = self.holds {
            variables.push(("SHIM_HOLDS_ONE_IN", one_in.to_string().into()));
            variables.push(("SHIM_HOLD_MS", most_ms.to_string().into()));
        }
        variables
    }
}

/// A process of a mixer.
pub struct MixerProcess {
    pub child: Child,
    pub log: Arc<LogReader>,
}

impl MixerProcess {
    /// Starts it as it is deployed, under its limit on descriptors.
    pub fn start(program: &Path, config: &Path, log: PathBuf, preload: &Preload) -> Result<Self> {
        let run = format!("ulimit -n {SOCKETS}; exec {}", program.display());
        let level = std::env::var("SOAK_LOG").unwrap_or_else(|_| "debug".to_owned());
        let mut child = Command::new("sh")
            .args(["-c", &run])
            .env("ROUTER_CONFIG", config)
            .env("RUST_LOG", level)
            .env_remove(VARIABLE)
            .envs(preload.variables())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .context("the mixer")?;
        let (reader, file) = (Arc::new(LogReader::default()), File::create(log)?);
        if let Some(input) = child.stderr.take() {
            let reading = reader.clone();
            Builder::new().spawn(move || reading.read(input, file))?;
        }
        Ok(Self { child, log: reader })
    }

    /// Descriptors, threads, and the most memory that it has held in kilobytes; none if it has ended.
    pub fn resources(&self) -> Option<(u64, u64, u64)> {
        let folder = PathBuf::from(format!("/proc/{}", self.child.id()));
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let figure = |key: &str| {
            let line = status.lines().find(|line| line.starts_with(key))?;
            line.split_whitespace().nth(1)?.parse().ok()
        };
        let descriptors = std::fs::read_dir(folder.join("fd")).ok()?.count() as u64;
        Some((descriptors, figure("Threads:")?, figure("VmHWM:")?))
    }
}

impl Drop for MixerProcess {
    fn drop(&mut self) {
        signal(&self.child, Signal::CONT);
        let _ = self.child.kill(); // it may have ended
        let _ = self.child.wait();
    }
}

/// Asks a page of a mixer; its status and body.
pub fn page(at: SocketAddr, path: &str) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_millis(300))?;
    stream.set_read_timeout(Some(Duration::from_millis(400)))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok((status, text.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.to_owned())))
}
