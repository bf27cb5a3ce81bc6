//! The rig: starts what a script names, does what it says, and looks at what comes of it.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use rustix::process::Signal;
use serde_json::Value;

use crate::checks::{DRAIN_MS, Outcome, PartArrival, Record, ScanRecord, Span};
use crate::gate::{self, Mode, NetworkPath, PathBehavior, Target};
use crate::process::{Process, ProcessConfig};
use crate::report::{ExpectationResult, HungSearcher, Report, ScanSummary, TimelineEntry, Violation};
use crate::script::{Action, Expect, Paths, Script, StateOnStart};
use crate::test_bed::{
    self, ClientScan, Clients, ReadyMixers, Searchers, State, TIMEOUT_MS, WORK_MS, wall_ms,
};

/// How a drill is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of the mixer.
    pub program: PathBuf,
    pub seed: u64,
    /// Where the files of the processes stay; else they go with the drill.
    pub keep: Option<PathBuf>,
    /// The mixers share nothing, for comparison.
    pub alone: bool,
}

/// The fleet has so long to come up before the first step.
const UP: Duration = Duration::from_secs(60);
/// How often it is looked whether something expected has come about.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A process that is asked to end has so long: past the longest query timeout and what draining takes.
const END: Duration = Duration::from_secs(30);
/// A searcher that died is taken from the list after so long.
const REMOVAL_DELAY_MS: f64 = 1000.0;
/// Something that is to be done at a time.
#[derive(Clone, Debug)]
enum ScheduledAction {
    Action(Action),
    Continue(usize, u64),
    RemoveFromDiscovery(usize),
}

struct Harness<'a> {
    script: &'a Script,
    options: &'a Options,
    dir: PathBuf,
    searchers: Searchers,
    paths: Vec<Vec<Arc<NetworkPath>>>,
    gates: Vec<Vec<Option<SocketAddr>>>,
    targets: Vec<Target>,
    discovery_paths: Vec<(Arc<NetworkPath>, SocketAddr)>,
    processes: Vec<Option<Process>>,
    /// Processes whose name another has taken.
    former_processes: Vec<(usize, Process)>,
    ready_mixers: ReadyMixers,
    began: Instant,
    starts: u64,
    timeline: Vec<TimelineEntry>,
    violations: Vec<Violation>,
    record: Record,
    /// Of the processes that the script ended, those that were killed.
    killed: BTreeSet<u64>,
    hung: Vec<(usize, f64)>,
    /// How wrong the wall clock of each mixer's host is, in milliseconds.
    clock_offset_ms: Vec<f64>,
}

/// Runs one drill.
///
/// # Errors
/// If the rig itself can't be set up: a port, a file, the program. What the drill shows is in the report.
pub fn run(script: &Script, options: &Options) -> Result<Report> {
    static DRILLS: AtomicU64 = AtomicU64::new(0);
    let nth = DRILLS.fetch_add(1, Ordering::SeqCst);
    let dir = options.keep.clone().unwrap_or_else(std::env::temp_dir);
    let dir = dir.join(format!("drill-{}-{nth}", std::process::id()));
    let rig = Harness::open(script, options, dir.clone());
    let report = rig.and_then(Harness::run);
    if options.keep.is_none() {
        let _ = fs::remove_dir_all(&dir); // what can't be removed stays behind
    }
    report
}

impl<'a> Harness<'a> {
    fn open(script: &'a Script, options: &'a Options, dir: PathBuf) -> Result<Self> {
        let n = script.mixers;
        let searchers = Searchers::start(script.searchers).context("searchers")?;
        let paths: Vec<Vec<Arc<NetworkPath>>> =
            (0..n).map(|_| (0..n).map(|_| Arc::default()).collect()).collect();
        let targets: Vec<Target> = (0..n).map(|_| Target::default()).collect();
        let mut gates = vec![vec![None; n]; n];
        for (a, row) in gates.iter_mut().enumerate() {
            for (b, place) in row.iter_mut().enumerate().filter(|(b, _)| *b != a) {
                let at = gate::open(targets[b].clone(), paths[a][b].clone(), paths[b][a].clone())
                    .context("a gate")?;
                *place = Some(at);
            }
        }
        let mut discovery_paths = Vec::new();
        for _ in 0..n {
            let at = test_bed::discovery(&searchers.lists).context("discovery")?;
            let path: Arc<NetworkPath> = Arc::default();
            let gate =
                gate::open(Arc::new(Mutex::new(Some(at))), path.clone(), Arc::default()).context("a gate")?;
            discovery_paths.push((path, gate));
        }
        Ok(Self {
            script,
            options,
            dir,
            searchers,
            paths,
            gates,
            targets,
            discovery_paths,
            processes: (0..n).map(|_| None).collect(),
            former_processes: Vec::new(),
            ready_mixers: Arc::new(Mutex::new(vec![None; n])),
            began: Instant::now(),
            starts: 0,
            timeline: Vec::new(),
            violations: Vec::new(),
            killed: BTreeSet::new(),
            record: Record { work_ms: WORK_MS as f64, ..Record::default() },
            hung: Vec::new(),
            clock_offset_ms: vec![0.0; n],
        })
    }

    fn ms(&self, at: Instant) -> f64 {
        match at.checked_duration_since(self.began) {
            Some(after) => after.as_secs_f64() * 1000.0,
            None => -(self.began - at).as_secs_f64() * 1000.0,
        }
    }

    fn now(&self) -> f64 {
        self.ms(Instant::now())
    }

    fn add_to_timeline(&mut self, who: &str, what: impl Into<String>) {
        let at_ms = self.now();
        self.timeline.push(TimelineEntry { at_ms, who: who.to_owned(), what: what.into() });
    }

    fn add_violation(&mut self, rule: &'static str, at_ms: f64, who: String, what: String) {
        // One of a kind says enough; hundreds hide it.
        if self.violations.iter().filter(|b| b.rule == rule).count() < 5 {
            self.violations.push(Violation { rule, at_ms, who, what });
        }
    }

    fn start_process(&mut self, m: usize) -> Result<Process> {
        self.starts += 1;
        let name = format!("m{}", m + 1);
        let peers: Vec<(String, SocketAddr)> = self.gates[m]
            .iter()
            .enumerate()
            .filter_map(|(b, at)| Some((format!("m{}", b + 1), (*at)?)))
            .collect();
        let files = ProcessConfig {
            program: &self.options.program,
            dir: &self.dir.join(&name),
            name: &name,
            mixers: self.script.mixers,
            discovery: self.discovery_paths[m].1,
            peers: &peers,
            seed: self
                .options
                .seed
                .wrapping_mul(0x9e37_79b9_7f4a_7c15)
                .wrapping_add((m as u64) << 32 | self.starts),
            number: self.starts,
            forget_ms: self.script.forget_ms,
            clock_offset_ms: self.clock_offset_ms[m],
            alone: self.options.alone || peers.is_empty(),
        };
        Process::start(&files)
    }

    /// Waits until it can be reached, and leads the others there; clients come once it is ready, which one without discovery
    /// is not.
    fn wait_until_reachable(&mut self, m: usize, process: &Process) -> Result<()> {
        let alone = self.options.alone || self.script.mixers == 1;
        let mixers = process.until_open(alone).with_context(|| format!("m{}", m + 1))?;
        *self.targets[m].lock().unwrap_or_else(PoisonError::into_inner) = mixers;
        Ok(())
    }

    /// Leads clients to those that have become ready; whether all that run are.
    fn update_ready_mixers(&self) -> bool {
        let mut ready_mixers = self.ready_mixers.lock().unwrap_or_else(PoisonError::into_inner);
        let mut all = true;
        for (place, process) in ready_mixers.iter_mut().zip(&self.processes) {
            *place = process.as_ref().and_then(|p| Some((p.number, p.ready()?)));
            all &= place.is_some() || process.is_none();
        }
        all
    }

    fn run(mut self) -> Result<Report> {
        for m in 0..self.script.mixers {
            let process = self.start_process(m)?;
            self.processes[m] = Some(process);
        }
        for m in 0..self.script.mixers {
            let Some(process) = self.processes[m].take() else { continue };
            let admitted = self.wait_until_reachable(m, &process);
            self.processes[m] = Some(process);
            admitted?;
        }
        let until = Instant::now() + UP;
        while !(self.update_ready_mixers() && (self.options.alone || self.agreed().0)) {
            if Instant::now() > until {
                bail!("the fleet did not come up: {}", self.agreed().1);
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.began = Instant::now();
        let clients = Clients::start(self.script.load, self.ready_mixers.clone(), self.options.seed)
            .context("clients")?;
        let mut agenda: Vec<(f64, ScheduledAction)> =
            self.script.steps.iter().map(|s| (s.at_ms, ScheduledAction::Action(s.action.clone()))).collect();
        while !agenda.is_empty() {
            let (at, what) = agenda.remove(0);
            self.wait_until(at);
            for later in self.execute(what)? {
                let place = agenda.partition_point(|(other, _)| *other <= later.0);
                agenda.insert(place, later);
            }
        }
        let mut expectations = Vec::new();
        for expect in self.script.expects.iter().filter(|e| !matches!(e, Expect::Answered { .. })) {
            expectations.push(self.check_expectation(expect));
        }
        // Whoever was told of a drain has had its time to show that it keeps it.
        let drained = self.record.drains.iter().map(|d| d.1 + DRAIN_MS + 500.0).fold(0.0, f64::max);
        self.wait_until(drained);
        let length_ms = self.now();
        self.record.length_ms = length_ms;
        let asked = clients.end();
        let cost = |(m, p): (usize, &Option<Process>)| {
            let (cpu, kib) = p.as_ref()?.cost()?;
            Some((format!("m{}", m + 1), cpu, kib))
        };
        self.check_processor_use();
        let costs = self.processes.iter().enumerate().filter_map(cost).collect();
        self.end();
        let (mut asked, arrived) = (asked, self.searchers.arrived());
        self.record.scans = asked.drain(..).map(|a| self.asked(a)).collect();
        let arrived = arrived.into_iter();
        self.record.arrivals = arrived
            .map(|a| PartArrival { at_ms: self.ms(a.at), searcher: a.searcher, part: a.part })
            .collect();
        self.violations.extend(self.record.violations());
        let scans = self.scans();
        for expect in &self.script.expects {
            if let Expect::Answered { share } = expect {
                let got = scans.completed as f64 / scans.asked.max(1) as f64;
                let seen = format!("{got:.3}");
                expectations.push(ExpectationResult {
                    expect: expect.to_string(),
                    held: got >= *share,
                    took_ms: 0.0,
                    seen,
                });
            }
        }
        let hung = self.hung_searchers();
        self.add_log_lines();
        let mut timeline = std::mem::take(&mut self.timeline);
        timeline.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        Ok(Report {
            title: self.script.title.clone(),
            seed: self.options.seed,
            mixers: self.script.mixers,
            violations: std::mem::take(&mut self.violations),
            expectations,
            scans,
            hung,
            costs,
            timeline,
            length_ms,
        })
    }

    /// Lets time go by, and sees that no process ends meanwhile.
    fn wait_until(&mut self, at_ms: f64) {
        loop {
            self.check_processes();
            let left = at_ms - self.now();
            if left <= 0.0 {
                return;
            }
            thread::sleep(POLL_INTERVAL.min(Duration::from_secs_f64(left / 1000.0)));
        }
    }

    /// Processes that have become ready, and those that have ended though nobody asked.
    fn check_processes(&mut self) {
        self.update_ready_mixers();
        let now = self.now();
        let mut over = Vec::new();
        let held = self.processes.iter_mut().enumerate().filter_map(|(m, p)| Some((m, p.as_mut()?)));
        for (m, process) in held.chain(self.former_processes.iter_mut().map(|(m, p)| (*m, p))) {
            if !self.record.ended_processes.contains_key(&process.number)
                && let Ok(Some(status)) = process.child.try_wait()
            {
                over.push((m, process.number, status));
            }
        }
        for (m, number, status) in over {
            self.record.ended_processes.insert(number, now);
            self.add_violation("no process ends unasked", now, format!("m{}", m + 1), status.to_string());
        }
    }

    fn paths(&self, paths: &Paths) -> Vec<Arc<NetworkPath>> {
        paths.iter().map(|(a, b)| self.paths[*a][*b].clone()).collect()
    }

    fn set(&self, paths: &Paths, change: impl Fn(&mut PathBehavior)) {
        for path in self.paths(paths) {
            let mut behavior = path.behavior();
            change(&mut behavior);
            path.set(behavior);
        }
    }

    fn execute(&mut self, what: ScheduledAction) -> Result<Vec<(f64, ScheduledAction)>> {
        let now = self.now();
        let mut later = Vec::new();
        let action = match what {
            ScheduledAction::Action(action) => action,
            ScheduledAction::Continue(m, number) => {
                // It may have been asked to end meanwhile, which it hears when it goes on.
                let held = self.processes[m].iter().chain(self.former_processes.iter().map(|o| &o.1));
                if let Some(process) = held.into_iter().find(|p| p.number == number) {
                    process.signal(Signal::CONT);
                    self.add_to_timeline("rig", format!("m{} goes on", m + 1));
                }
                return Ok(later);
            }
            ScheduledAction::RemoveFromDiscovery(s) => {
                self.searchers.list(s, "removed", None);
                return Ok(later);
            }
        };
        self.add_to_timeline("rig", action.to_string());
        match action {
            Action::Partition(groups) => {
                let n = self.script.mixers;
                let group = |m: usize| groups.iter().position(|g| g.contains(&m)).unwrap_or(n + m);
                let between = |a: usize| (0..n).filter(move |b| *b != a).map(move |b| (a, b));
                let paths: Paths = (0..n).flat_map(between).filter(|(a, b)| group(*a) != group(*b)).collect();
                self.set(&paths, |m| m.mode = Mode::Drop);
            }
            Action::Cut(paths) => self.set(&paths, |m| m.mode = Mode::Cut),
            Action::Drop(paths) => self.set(&paths, |m| m.mode = Mode::Drop),
            Action::Refuse(paths) => self.set(&paths, |m| m.mode = Mode::Refuse),
            Action::HalfOpen(paths) => self.set(&paths, |m| m.mode = Mode::HalfOpen),
            Action::Delay(paths, ms) => self.set(&paths, |m| m.delay_ms = ms),
            Action::Slow(paths, rate) => self.set(&paths, |m| m.rate = rate),
            Action::Flip(paths) => self.set(&paths, |m| m.flip = true),
            Action::Heal(Some(paths)) => self.set(&paths, |m| *m = PathBehavior::default()),
            Action::Heal(None) => {
                self.paths.iter().flatten().for_each(|path| path.set(PathBehavior::default()));
                let all: Vec<usize> = (0..self.script.mixers).collect();
                self.restore_discovery(&all, now);
            }
            Action::Stall(m, ms) => {
                if let Some(process) = &self.processes[m] {
                    process.signal(Signal::STOP);
                    later.push((now + ms, ScheduledAction::Continue(m, process.number)));
                    self.record.stalls.push(Span { mixer: m, from: now, to: now + ms });
                }
            }
            Action::Kill(m) => {
                if let Some(mut process) = self.detach_process(m, now) {
                    self.killed.insert(process.number);
                    let _ = process.child.kill(); // it may have ended
                    let _ = process.child.wait();
                    self.former_processes.push((m, process));
                }
            }
            Action::Term(m) => {
                if let Some(process) = self.detach_process(m, now) {
                    process.signal(Signal::TERM);
                    self.former_processes.push((m, process));
                }
            }
            Action::Clock(m, by) => self.clock_offset_ms[m] = by,
            Action::Start(m, kept) => {
                if self.processes[m].is_none() {
                    if kept == StateOnStart::Fresh {
                        let _ = fs::remove_dir_all(self.dir.join(format!("m{}", m + 1))); // or there is none
                    }
                    let process = self.start_process(m)?;
                    self.wait_until_reachable(m, &process)?;
                    self.processes[m] = Some(process);
                }
            }
            Action::Twin(m) => {
                let process = self.start_process(m)?;
                self.wait_until_reachable(m, &process)?;
                // The others' connections to the earlier end, as where an address goes over to another host.
                let paths: Paths = (0..self.script.mixers).filter(|a| *a != m).map(|a| (a, m)).collect();
                for path in self.paths(&paths) {
                    let behavior = path.behavior();
                    path.set(PathBehavior { mode: Mode::Cut, ..behavior });
                    path.set(behavior);
                }
                if let Some(earlier) = self.processes[m].replace(process) {
                    self.former_processes.push((m, earlier));
                }
            }
            Action::Hang(s) => {
                self.searchers.set(s, State::Hangs);
                self.hung.push((s, now));
            }
            Action::Die(s) => {
                self.searchers.set(s, State::Dead);
                later.push((now + REMOVAL_DELAY_MS, ScheduledAction::RemoveFromDiscovery(s)));
            }
            Action::Return(s) => {
                self.searchers.set(s, State::Up);
                self.searchers.list(s, "up", Some(wall_ms()));
                self.record.returned.push((s, now));
                self.record.drains.retain(|d| d.0 != s);
            }
            Action::Drain(s) => {
                self.searchers.list(s, "draining", None);
                self.record.drains.push((s, now));
            }
            Action::LoseDiscovery(mixers) => {
                let all: Vec<usize> = (0..self.script.mixers).collect();
                for m in if mixers.is_empty() { all } else { mixers } {
                    self.discovery_paths[m]
                        .0
                        .set(PathBehavior { mode: Mode::Cut, ..PathBehavior::default() });
                    self.record.without_discovery.push(Span { mixer: m, from: now, to: f64::INFINITY });
                }
            }
            Action::FindDiscovery(mixers) => {
                let all: Vec<usize> = (0..self.script.mixers).collect();
                self.restore_discovery(if mixers.is_empty() { &all } else { &mixers }, now);
            }
        }
        Ok(later)
    }

    fn restore_discovery(&mut self, mixers: &[usize], now: f64) {
        for m in mixers {
            self.discovery_paths[*m].0.set(PathBehavior::default());
            self.record
                .without_discovery
                .iter_mut()
                .filter(|b| b.mixer == *m && b.to > now)
                .for_each(|b| b.to = now);
        }
    }

    /// A mixer's process ends by the script: clients and the others find it no more.
    fn detach_process(&mut self, m: usize, now: f64) -> Option<Process> {
        let process = self.processes[m].take()?;
        self.ready_mixers.lock().unwrap_or_else(PoisonError::into_inner)[m] = None;
        self.record.ended_processes.insert(process.number, now);
        *self.targets[m].lock().unwrap_or_else(PoisonError::into_inner) = None;
        Some(process)
    }

    /// What each that runs sees, by its number.
    fn fleet_views(&self) -> Vec<(usize, Option<Value>)> {
        self.processes.iter().enumerate().filter_map(|(m, p)| Some((m, p.as_ref()?.fleet()))).collect()
    }

    /// Whether all that run have the same, have caught up and see each other; what is seen.
    fn agreed(&self) -> (bool, String) {
        let views = self.fleet_views();
        let sums: BTreeSet<&str> = views
            .iter()
            .map(|(_, v)| v.as_ref().and_then(|v| v["sum"].as_str()).unwrap_or("silent"))
            .collect();
        let alive = |v: &Value| members(v) == views.len();
        let caught = |v: &Value| v["progress"] == "caught up" || views.len() == 1 && v["progress"] == "alone";
        let all = views.iter().all(|(_, v)| v.as_ref().is_some_and(|v| alive(v) && caught(v)));
        let seen = views.iter().map(|(m, v)| match v {
            Some(v) => format!("m{}: {} members, {}, sum {}", m + 1, members(v), v["progress"], v["sum"]),
            None => format!("m{}: silent", m + 1),
        });
        (all && sums.len() <= 1, seen.collect::<Vec<_>>().join("; "))
    }

    fn check_expectation(&mut self, expect: &Expect) -> ExpectationResult {
        let within = match expect {
            Expect::Agree { within_ms }
            | Expect::Members { within_ms, .. }
            | Expect::NoMarks { within_ms }
            | Expect::Aside { within_ms, .. } => *within_ms,
            Expect::Answered { .. } => 0.0,
        };
        let began = self.now();
        loop {
            let (held, seen) = match expect {
                Expect::Agree { .. } => self.agreed(),
                Expect::Members { count, .. } => {
                    let views = self.fleet_views();
                    let held = views.iter().all(|(_, v)| v.as_ref().is_some_and(|v| members(v) == *count));
                    let seen = views
                        .iter()
                        .map(|(m, v)| format!("m{} sees {}", m + 1, v.as_ref().map_or(0, members)));
                    (held, seen.collect::<Vec<_>>().join(", "))
                }
                Expect::NoMarks { .. } => {
                    let marks =
                        |v: &Option<Value>| v.as_ref().map(|v| v["kinds"]["mark"].as_u64().unwrap_or(0));
                    let views = self.fleet_views();
                    let held = views.iter().all(|(_, v)| marks(v) == Some(0));
                    let seen = views.iter().map(|(m, v)| match marks(v) {
                        Some(count) => format!("m{} holds {count}", m + 1),
                        None => format!("m{}: silent", m + 1),
                    });
                    (held, seen.collect::<Vec<_>>().join(", "))
                }
                Expect::Aside { mixer, .. } => {
                    let others = self
                        .former_processes
                        .iter()
                        .filter(|(m, p)| m == mixer && !self.record.ended_processes.contains_key(&p.number));
                    let standing =
                        |p: &Process| p.fleet().map_or("silent".to_owned(), |v| v["standing"].to_string());
                    let seen: Vec<String> = others.map(|(_, p)| standing(p)).collect();
                    (seen.iter().any(|s| s.contains("aside")), seen.join(", "))
                }
                Expect::Answered { .. } => (true, String::new()),
            };
            let took_ms = self.now() - began;
            if held || took_ms >= within {
                return ExpectationResult { expect: expect.to_string(), held, took_ms, seen };
            }
            self.check_processes();
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Finds processes that work where there is nothing to do: the loads of drills take a tenth of a core.
    fn check_processor_use(&mut self) {
        const LEAST_MS: f64 = 3000.0;
        const SHARE: f64 = 0.5;
        let held = self.processes.iter().enumerate().filter_map(|(m, p)| Some((m, p.as_ref()?)));
        let spins = held.chain(self.former_processes.iter().map(|(m, p)| (*m, p))).filter_map(|(m, p)| {
            let (cpu, lived) = (p.cost()?.0, p.began.elapsed().as_secs_f64() * 1000.0);
            (lived >= LEAST_MS && cpu > SHARE * lived).then(|| (m, format!("{cpu:.0} ms of {lived:.0}")))
        });
        let (now, spins) = (self.now(), spins.collect::<Vec<_>>());
        for (m, what) in spins {
            self.add_violation("no process spins", now, format!("m{}", m + 1), what);
        }
    }

    /// Asks all that run to end, and sees that they do.
    fn end(&mut self) {
        let now = self.now();
        let running: Vec<(usize, Process)> =
            self.processes.iter_mut().enumerate().filter_map(|(m, p)| Some((m, p.take()?))).collect();
        for (m, process) in running {
            process.signal(Signal::CONT);
            process.signal(Signal::TERM);
            self.former_processes.push((m, process));
        }
        let mut bad = Vec::new();
        for (m, process) in &mut self.former_processes {
            if !self.record.ended_processes.contains_key(&process.number) {
                process.signal(Signal::TERM);
            }
            match process.ends(END) {
                Some(status) if status.success() || self.killed.contains(&process.number) => {}
                Some(status) => bad.push((*m, format!("it was asked to end, and ended with {status}"))),
                None => bad.push((*m, "it was asked to end, and did not".to_owned())),
            }
        }
        for (m, what) in bad {
            self.add_violation("no process ends unasked", now, format!("m{}", m + 1), what);
        }
    }

    fn asked(&self, a: ClientScan) -> ScanRecord {
        let (began_ms, ended_ms) = (self.ms(a.began), self.ms(a.ended));
        let ClientScan { id, mixer, process, outcome, twice, .. } = a;
        ScanRecord { id, mixer, process, began_ms, ended_ms, outcome, twice }
    }

    fn scans(&self) -> ScanSummary {
        let mut scans = ScanSummary::default();
        let mut took = Vec::new();
        for one in &self.record.scans {
            let ms = one.ended_ms - one.began_ms;
            match one.outcome {
                Outcome::Completed if ms <= TIMEOUT_MS as f64 => {
                    scans.completed += 1;
                    took.push(ms);
                }
                Outcome::Completed | Outcome::Abandoned | Outcome::UnexpectedStatus(_) => {
                    scans.abandoned += 1
                }
                Outcome::Refused => scans.refused += 1,
                Outcome::ConnectionLost | Outcome::TimedOut => scans.killed += 1,
                Outcome::ConnectFailed => scans.unreached += 1,
            }
            scans.asked += usize::from(one.outcome != Outcome::ConnectFailed);
        }
        took.sort_by(f64::total_cmp);
        let at = |share: f64| {
            took.get(((took.len() as f64 * share) as usize).min(took.len().saturating_sub(1))).copied()
        };
        (scans.p50_ms, scans.p99_ms) = (at(0.5).unwrap_or(0.0), at(0.99).unwrap_or(0.0));
        scans
    }

    fn hung_searchers(&self) -> Vec<HungSearcher> {
        let hung = self.hung.iter().map(|(s, from)| {
            let back = self
                .record
                .returned
                .iter()
                .filter(|r| r.0 == *s && r.1 > *from)
                .map(|r| r.1)
                .fold(f64::INFINITY, f64::min);
            let address = self.searchers.at[*s].to_string();
            let processes = self.former_processes.iter().map(|o| &o.1);
            let marked = processes.filter_map(|p| {
                let told = p.output.0.lock().unwrap_or_else(PoisonError::into_inner);
                let line = told.lines.iter().find(|(at, line)| {
                    line.contains(&address)
                        && line.contains(" marked at ")
                        && self.ms(*at) >= *from
                        && self.ms(*at) < back
                });
                line.map(|(at, _)| (self.ms(*at) - from).round())
            });
            let mut marked_ms: Vec<f64> = marked.collect();
            marked_ms.sort_by(f64::total_cmp);
            let within = |a: &&PartArrival| a.searcher == *s && a.at_ms >= *from && a.at_ms < back;
            HungSearcher {
                searcher: format!("s{}", s + 1),
                marked_ms,
                parts: self.record.arrivals.iter().filter(within).count(),
            }
        });
        hung.collect()
    }

    /// What the processes said goes into the timeline.
    fn add_log_lines(&mut self) {
        let mut lines = Vec::new();
        for (m, process) in &self.former_processes {
            let told = process.output.0.lock().unwrap_or_else(PoisonError::into_inner);
            for (at, line) in told.lines.iter().take(400) {
                // Time, level and target stand first.
                let what = line.splitn(4, ' ').last().unwrap_or(line).trim_start();
                let what = what.split_once(": ").map_or(what, |w| w.1);
                lines.push(TimelineEntry {
                    at_ms: self.ms(*at),
                    who: format!("m{}", m + 1),
                    what: what.to_owned(),
                });
            }
        }
        self.timeline.extend(lines);
    }
}

/// Mixers that one sees alive, itself among them.
fn members(view: &Value) -> usize {
    let alive = |m: &&Value| m["life"] == "alive" || m["life"] == "suspect";
    1 + view["members"].as_array().map_or(0, |all| all.iter().filter(alive).count())
}
