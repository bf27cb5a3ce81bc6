//! A process of the mixer, and its files.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::Builder;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::test_bed::{CELLS, SHARDS};

/// What a process has said of itself so far.
#[derive(Default)]
pub struct ProcessOutput {
    pub client_address: Option<SocketAddr>,
    pub mixer_address: Option<SocketAddr>,
    pub ready: bool,
    pub over: bool,
    /// Lines that operators would look at, with their times.
    pub lines: Vec<(Instant, String)>,
}

pub struct Process {
    pub number: u64,
    pub began: Instant,
    pub child: Child,
    pub output: Arc<(Mutex<ProcessOutput>, Condvar)>,
    pub console: PathBuf,
}

/// What a process is started on.
pub struct ProcessConfig<'a> {
    pub program: &'a Path,
    pub dir: &'a Path,
    pub name: &'a str,
    pub mixers: usize,
    pub discovery: SocketAddr,
    /// Names and gates of the other mixers.
    pub peers: &'a [(String, SocketAddr)],
    /// Differs between starts.
    pub seed: u64,
    pub number: u64,
    pub forget_ms: Option<f64>,
    /// How wrong the wall clock of its host is.
    pub clock_offset_ms: f64,
    /// No section `fleet`: the mixers share nothing.
    pub alone: bool,
}

fn config(files: &ProcessConfig) -> Value {
    let type_ = |name: &str, idempotency: &str| {
        json!({"name": name, "idempotency": idempotency, "points": 1.0, "slo_ms": 500.0, "hard_limit_ms": 2000.0,
               "late_worth": 0.3})
    };
    json!({
        "name": files.name, "listen": "127.0.0.1:0", "discovery": files.discovery.to_string(),
        "seed": format!("{:016x}", files.seed),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
        "settings": {
            "peers_total": files.mixers, "zone": 0, "zones": ["hall"], "discovery": "push",
            "services": [type_("lookup", "pure"), type_("entry", "side_effect")],
            "customers": [{"name": "acme", "quota_per_s": 1000.0, "share": 1.0}],
            "over_share_worth": 0.2,
            "family_info": {"positions": CELLS, "in_a_row": 2, "ranges": SHARDS, "bundle_max": 1, "overhead_ms": 0.0,
                "class_need": [0.6, 1.0], "floor_by_class": [0.6, 1.0], "partial_earns": [0.9, 0.9], "class_fetch": [0, 0]},
            "permissions": {"cancel": true, "probing": true, "parallel_tries": true, "max_attempts": 3, "retry_after": true,
                "max_retry_after_ms": 1000.0, "open_cap": 400, "multiplex": 32, "connect_timeout_ms": 250.0,
                "idle_close_ms": 15000.0},
            "rules": {"cold_from": 0.2, "warm_after_ms": 10000.0, "tip_multiple": 2.0, "fall_ms": 1000.0}
        }
    })
}

fn settings(files: &ProcessConfig, console: &Path) -> String {
    let mut text = format!("(console \"{}\")\n", console.display());
    if !files.alone {
        text += &format!("(fleet (name \"drill\") (me \"{}\" (listen \"127.0.0.1:0\"))", files.name);
        for (name, at) in files.peers {
            text += &format!("\n  (peer \"{name}\" \"{at}\")");
        }
        if let Some(ms) = files.forget_ms {
            text += &format!("\n  (forget {ms}ms)");
        }
        text += ")\n";
    }
    text
}

impl Process {
    /// Starts a mixer on files of its own; what it says goes to a log beside them.
    pub fn start(files: &ProcessConfig) -> Result<Self> {
        fs::create_dir_all(files.dir).with_context(|| format!("making {}", files.dir.display()))?;
        let (json, lisp) = (files.dir.join("mixer.json"), files.dir.join("settings.lisp"));
        let console = files.dir.join(format!("c{}", files.number));
        fs::write(&json, config(files).to_string()).with_context(|| format!("writing {}", json.display()))?;
        fs::write(&lisp, settings(files, &console)).with_context(|| format!("writing {}", lisp.display()))?;
        let mut child = Command::new(files.program)
            .env("ROUTER_CONFIG", &json)
            .env("PEWTERWHARF_SETTINGS", &lisp)
            .env("PEWTERWHARF_DRILL_CLOCK_MS", files.clock_offset_ms.to_string())
            .env_remove("ROUTER_NAME")
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_DISCOVERY")
            .env_remove("RUST_LOG_FORM")
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .with_context(|| format!("starting {}", files.program.display()))?;
        let output: Arc<(Mutex<ProcessOutput>, Condvar)> = Arc::default();
        let mut log = File::create(files.dir.join(format!("log-{}", files.number)))?;
        let lines = BufReader::new(child.stderr.take().context("no pipe")?);
        let says = output.clone();
        Builder::new().name("log".to_owned()).spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let _ = writeln!(log, "{line}"); // a full disk loses lines, and no verdict
                let mut told = says.0.lock().unwrap_or_else(PoisonError::into_inner);
                let last = || line.rsplit(' ').next().and_then(|a| a.parse().ok());
                if line.contains(" listens on ") {
                    told.client_address = last();
                } else if line.contains(" listens for mixers at ") {
                    told.mixer_address = last();
                }
                told.ready |= line.ends_with(": ready");
                let words = [" fleet:", " marked at ", " readmitted ", " ERROR ", " drains", "panicked"];
                if words.iter().any(|w| line.contains(w)) && told.lines.len() < 10_000 {
                    told.lines.push((Instant::now(), line));
                }
                says.1.notify_all();
            }
            says.0.lock().unwrap_or_else(PoisonError::into_inner).over = true;
            says.1.notify_all();
        })?;
        Ok(Self { number: files.number, began: Instant::now(), child, output, console })
    }

    /// Whether it has said that it is ready, and where clients reach it.
    pub fn ready(&self) -> Option<SocketAddr> {
        let told = self.output.0.lock().unwrap_or_else(PoisonError::into_inner);
        told.client_address.filter(|_| told.ready)
    }

    /// Waits until it has said where it listens for the others; nowhere, where it is alone.
    pub fn until_open(&self, alone: bool) -> Result<Option<SocketAddr>> {
        const CEILING: Duration = Duration::from_secs(60);
        let told = self.output.0.lock().unwrap_or_else(PoisonError::into_inner);
        let open = |t: &ProcessOutput| t.client_address.is_some() && (alone || t.mixer_address.is_some());
        let (told, _) = self
            .output
            .1
            .wait_timeout_while(told, CEILING, |t| !t.over && !open(t))
            .unwrap_or_else(PoisonError::into_inner);
        if !open(&told) {
            bail!("a process did not come up");
        }
        Ok(told.mixer_address)
    }

    /// Processor time so far in milliseconds, and memory in KiB, by the system's account.
    pub fn cost(&self) -> Option<(f64, u64)> {
        // The system counts in hundredths of a second.
        const TICK_MS: f64 = 10.0;
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        let words: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: f64 = words.get(11)?.parse::<f64>().ok()? + words.get(12)?.parse::<f64>().ok()?;
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        Some((ticks * TICK_MS, rss.split_whitespace().next()?.parse().ok()?))
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal); // or it has ended
        }
    }

    /// What it sees of its fleet.
    pub fn fleet(&self) -> Option<Value> {
        let said = pewterwharf_console::query(&self.console, "fleet show --json").ok()?.ok()?;
        serde_json::from_str(&said).ok()
    }

    /// Waits for its end, so long at most.
    pub fn ends(&mut self, most: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + most;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Some(status),
                _ if Instant::now() >= until => return None,
                _ => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(Signal::CONT);
        let _ = self.child.kill(); // it may have ended
        let _ = self.child.wait();
    }
}
