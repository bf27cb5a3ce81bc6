//! A mixer process and its configuration files.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::Builder;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::test_bed::{CELLS, SHARDS};

/// Maximum number of log lines that are kept of one process.
const MAX_KEPT_LINES: usize = 10_000;

/// The state of a process, from its log so far.
#[derive(Default)]
pub struct ProcessOutput {
    /// The address at which it listens for clients.
    pub client_address: Option<SocketAddr>,
    /// The address at which it listens for other mixers.
    pub mixer_address: Option<SocketAddr>,
    pub ready: bool,
    /// The log has ended, as the process has.
    pub ended: bool,
    /// Lines about events that matter to operators, with the times at which they were read.
    pub lines: Vec<(Instant, String)>,
}

/// The output of a process, shared with the thread that reads its log.
#[derive(Default)]
pub struct SharedOutput {
    state: Mutex<ProcessOutput>,
    changed: Condvar,
}

impl SharedOutput {
    pub fn lock(&self) -> MutexGuard<'_, ProcessOutput> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add_line(&self, line: String) {
        let mut output = self.lock();
        let trailing_address = || line.rsplit(' ').next().and_then(|a| a.parse().ok());
        if line.contains(" listens on ") {
            output.client_address = trailing_address();
        } else if line.contains(" listens for mixers at ") {
            output.mixer_address = trailing_address();
        }
        output.ready |= line.ends_with(": ready");
        let kept = [" fleet:", " marked at ", " readmitted ", " ERROR ", " drains", "panicked"];
        if kept.iter().any(|text| line.contains(text)) && output.lines.len() < MAX_KEPT_LINES {
            output.lines.push((Instant::now(), line));
        }
        self.changed.notify_all();
    }

    fn set_ended(&self) {
        self.lock().ended = true;
        self.changed.notify_all();
    }
}

/// Resources that a process has used.
pub struct ProcessUsage {
    pub cpu_ms: f64,
    pub rss_kib: u64,
}

pub struct Process {
    /// Number of the start, unique in a drill.
    pub number: u64,
    pub began: Instant,
    pub child: Child,
    pub output: Arc<SharedOutput>,
    /// Socket of its console.
    pub console: PathBuf,
}

/// Parameters of a start.
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
    /// Error of the wall clock of its host.
    pub clock_offset_ms: f64,
    /// Leaves out the section `fleet`, so that the mixers share nothing.
    pub alone: bool,
}

fn service_config(config: &ProcessConfig) -> Value {
    let service = |name: &str, idempotency: &str| {
        json!({"name": name, "idempotency": idempotency, "points": 1.0, "slo_ms": 500.0, "hard_limit_ms": 2000.0,
               "late_worth": 0.3})
    };
    json!({
        "name": config.name, "listen": "127.0.0.1:0", "discovery": config.discovery.to_string(),
        "seed": format!("{:016x}", config.seed),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
        "settings": {
            "peers_total": config.mixers, "zone": 0, "zones": ["hall"], "discovery": "push",
            "services": [service("lookup", "pure"), service("entry", "side_effect")],
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

fn fleet_settings(config: &ProcessConfig, console: &Path) -> String {
    let mut text = format!("(console \"{}\")\n", console.display());
    if !config.alone {
        text += &format!("(fleet (name \"drill\") (me \"{}\" (listen \"127.0.0.1:0\"))", config.name);
        for (name, address) in config.peers {
            text += &format!("\n  (peer \"{name}\" \"{address}\")");
        }
        if let Some(ms) = config.forget_ms {
            text += &format!("\n  (forget {ms}ms)");
        }
        text += ")\n";
    }
    text
}

impl Process {
    /// Writes the configuration files of a mixer and starts it; its log is written beside them.
    pub fn start(config: &ProcessConfig) -> Result<Self> {
        fs::create_dir_all(config.dir).with_context(|| format!("making {}", config.dir.display()))?;
        let json = config.dir.join("mixer.json");
        let lisp = config.dir.join("settings.lisp");
        let console = config.dir.join(format!("c{}", config.number));
        fs::write(&json, service_config(config).to_string())
            .with_context(|| format!("writing {}", json.display()))?;
        fs::write(&lisp, fleet_settings(config, &console))
            .with_context(|| format!("writing {}", lisp.display()))?;
        let mut child = Command::new(config.program)
            .env("ROUTER_CONFIG", &json)
            .env("PEWTERWHARF_SETTINGS", &lisp)
            .env("PEWTERWHARF_DRILL_CLOCK_MS", config.clock_offset_ms.to_string())
            .env_remove("ROUTER_NAME")
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_DISCOVERY")
            .env_remove("RUST_LOG_FORM")
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .with_context(|| format!("starting {}", config.program.display()))?;
        let output: Arc<SharedOutput> = Arc::default();
        let mut log = File::create(config.dir.join(format!("log-{}", config.number)))?;
        let lines = BufReader::new(child.stderr.take().context("no pipe")?);
        let reader_output = output.clone();
        Builder::new().name("log".to_owned()).spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let _ = writeln!(log, "{line}"); // a full disk loses log lines, but affects no verdict
                reader_output.add_line(line);
            }
            reader_output.set_ended();
        })?;
        Ok(Self { number: config.number, began: Instant::now(), child, output, console })
    }

    /// The address for clients, once the process has logged that it is ready.
    pub fn ready_address(&self) -> Option<SocketAddr> {
        let output = self.output.lock();
        output.client_address.filter(|_| output.ready)
    }

    /// Waits until the process listens. Returns its address for other mixers; `None` without a fleet.
    pub fn wait_until_listening(&self, alone: bool) -> Result<Option<SocketAddr>> {
        const TIMEOUT: Duration = Duration::from_secs(60);
        let output = self.output.lock();
        let listening =
            |o: &ProcessOutput| o.client_address.is_some() && (alone || o.mixer_address.is_some());
        let (output, _) = self
            .output
            .changed
            .wait_timeout_while(output, TIMEOUT, |o| !o.ended && !listening(o))
            .unwrap_or_else(PoisonError::into_inner);
        if !listening(&output) {
            bail!("the process did not start to listen");
        }
        Ok(output.mixer_address)
    }

    /// Processor time so far and resident memory, from `/proc`.
    pub fn usage(&self) -> Option<ProcessUsage> {
        // Linux counts processor time in ticks of 10 ms.
        const TICK_MS: f64 = 10.0;
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let rss_kib = rss.split_whitespace().next()?.parse().ok()?;
        Some(ProcessUsage { cpu_ms: ticks * TICK_MS, rss_kib })
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal); // fails only if it has ended
        }
    }

    /// Its view of the fleet, from its console; `None` if the console does not answer.
    pub fn fleet_view(&self) -> Option<Value> {
        let answer = pewterwharf_console::query(&self.console, "fleet show --json").ok()?.ok()?;
        serde_json::from_str(&answer).ok()
    }

    /// Waits for the process to exit; `None` after the timeout.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Some(status),
                _ if Instant::now() >= deadline => return None,
                _ => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(Signal::CONT);
        let _ = self.child.kill(); // fails only if it has ended
        let _ = self.child.wait();
    }
}
