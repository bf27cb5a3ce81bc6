//! The harness of a drill: starts the processes of a script, carries out its actions and checks its expectations.

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

use crate::checks::{DRAIN_GRACE_MS, Interval, Outcome, PartArrival, Record, ScanRecord, SearcherEvent};
use crate::gate::{self, Mode, NetworkPath, PathBehavior, Target};
use crate::process::{Process, ProcessConfig};
use crate::report::{
    ExpectationResult, HARNESS_LANE, HungSearcher, ProcessCost, Report, ScanSummary, TimelineEntry, Violation,
};
use crate::script::{Action, Expect, PathEnds, Paths, Script, StateOnStart};
use crate::test_bed::{
    self, ClientScan, Clients, MixerEndpoint, PART_WORK_MS, QUERY_TIMEOUT_MS, ReadyMixers, SearcherState,
    Searchers, unix_time_ms,
};

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the mixer's executable.
    pub program: PathBuf,
    pub seed: u64,
    /// Directory that keeps the files of the processes; a temporary one is used and removed if absent.
    pub keep: Option<PathBuf>,
    /// The mixers share nothing, for comparison.
    pub alone: bool,
}

/// Time for the whole fleet to become ready before the first step.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two checks of an expected condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for a process to exit after SIGTERM: longer than the longest query timeout plus a drain.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay until discovery removes a searcher that died.
const REMOVAL_DELAY_MS: f64 = 1000.0;
/// Maximum number of violations reported for one rule: more would hide the others.
const MAX_VIOLATIONS_PER_RULE: usize = 5;
/// Maximum number of log lines of one process in the timeline.
const MAX_TIMELINE_LINES: usize = 400;

/// An entry of the schedule: a step of the script, or the follow-up of one.
#[derive(Clone, Debug)]
enum ScheduledAction {
    Step(Action),
    /// Continues a stalled process.
    Continue {
        mixer: usize,
        process: u64,
    },
    /// Removes a dead searcher from discovery.
    RemoveFromDiscovery(usize),
}

/// A scheduled action and its time, in milliseconds from the start of the drill.
struct Scheduled {
    at_ms: f64,
    action: ScheduledAction,
}

/// The gate between one mixer and its discovery server.
struct DiscoveryGate {
    path: Arc<NetworkPath>,
    address: SocketAddr,
}

/// Whether an expectation holds at the moment, and a description of the state that was observed.
struct Observation {
    holds: bool,
    seen: String,
}

struct Harness<'a> {
    script: &'a Script,
    options: &'a Options,
    dir: PathBuf,
    searchers: Searchers,
    /// The network path from each mixer (first index) to each other one.
    paths: Vec<Vec<Arc<NetworkPath>>>,
    /// Addresses of the gates, indexed as `paths`; `None` on the diagonal.
    gates: Vec<Vec<Option<SocketAddr>>>,
    /// The address at which each mixer listens for the others.
    targets: Vec<Target>,
    discovery_gates: Vec<DiscoveryGate>,
    /// The current process of each mixer.
    processes: Vec<Option<Process>>,
    /// Processes that the script ended or replaced by a later one of the same name, each with its mixer.
    former_processes: Vec<(usize, Process)>,
    ready_mixers: ReadyMixers,
    began: Instant,
    /// Number of processes started so far.
    starts: u64,
    timeline: Vec<TimelineEntry>,
    violations: Vec<Violation>,
    record: Record,
    /// Numbers of the processes that the script killed.
    killed: BTreeSet<u64>,
    hung: Vec<SearcherEvent>,
    /// Error of the wall clock of each mixer's host.
    clock_offset_ms: Vec<f64>,
}

/// Runs one drill.
///
/// # Errors
/// If the harness itself can't be set up, for example if a port, a file or the executable is not available. Failures
/// that the drill finds are in the report.
pub fn run(script: &Script, options: &Options) -> Result<Report> {
    static DRILLS: AtomicU64 = AtomicU64::new(0);
    let drill_number = DRILLS.fetch_add(1, Ordering::SeqCst);
    let dir = options.keep.clone().unwrap_or_else(std::env::temp_dir);
    let dir = dir.join(format!("drill-{}-{drill_number}", std::process::id()));
    let harness = Harness::open(script, options, dir.clone());
    let report = harness.and_then(Harness::run);
    if options.keep.is_none() {
        let _ = fs::remove_dir_all(&dir); // a leftover directory does not affect the result
    }
    report
}

impl<'a> Harness<'a> {
    fn open(script: &'a Script, options: &'a Options, dir: PathBuf) -> Result<Self> {
        let mixers = script.mixers;
        let searchers = Searchers::start(script.searchers).context("searchers")?;
        let paths: Vec<Vec<Arc<NetworkPath>>> =
            (0..mixers).map(|_| (0..mixers).map(|_| Arc::default()).collect()).collect();
        let targets: Vec<Target> = (0..mixers).map(|_| Target::default()).collect();
        let mut gates = vec![vec![None; mixers]; mixers];
        for (from, row) in gates.iter_mut().enumerate() {
            for (to, gate) in row.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                let address =
                    gate::open(targets[to].clone(), paths[from][to].clone(), paths[to][from].clone())
                        .context("a gate")?;
                *gate = Some(address);
            }
        }
        let mut discovery_gates = Vec::new();
        for _ in 0..mixers {
            let server = test_bed::serve_discovery(&searchers.discovery).context("discovery")?;
            let path: Arc<NetworkPath> = Arc::default();
            let address = gate::open(Arc::new(Mutex::new(Some(server))), path.clone(), Arc::default())
                .context("a gate")?;
            discovery_gates.push(DiscoveryGate { path, address });
        }
        Ok(Self {
            script,
            options,
            dir,
            searchers,
            paths,
            gates,
            targets,
            discovery_gates,
            processes: (0..mixers).map(|_| None).collect(),
            former_processes: Vec::new(),
            ready_mixers: Arc::new(Mutex::new(vec![None; mixers])),
            began: Instant::now(),
            starts: 0,
            timeline: Vec::new(),
            violations: Vec::new(),
            killed: BTreeSet::new(),
            record: Record { work_ms: PART_WORK_MS as f64, ..Record::default() },
            hung: Vec::new(),
            clock_offset_ms: vec![0.0; mixers],
        })
    }

    /// Milliseconds from the start of the drill; negative for an earlier instant.
    fn elapsed_ms(&self, at: Instant) -> f64 {
        match at.checked_duration_since(self.began) {
            Some(after) => after.as_secs_f64() * 1000.0,
            None => -(self.began - at).as_secs_f64() * 1000.0,
        }
    }

    fn now_ms(&self) -> f64 {
        self.elapsed_ms(Instant::now())
    }

    fn add_to_timeline(&mut self, who: &str, what: impl Into<String>) {
        let at_ms = self.now_ms();
        self.timeline.push(TimelineEntry { at_ms, who: who.to_owned(), what: what.into() });
    }

    fn add_violation(&mut self, rule: &'static str, at_ms: f64, who: String, what: String) {
        if self.violations.iter().filter(|v| v.rule == rule).count() < MAX_VIOLATIONS_PER_RULE {
            self.violations.push(Violation { rule, at_ms, who, what });
        }
    }

    fn start_process(&mut self, mixer: usize) -> Result<Process> {
        self.starts += 1;
        let name = mixer_name(mixer);
        let peers: Vec<(String, SocketAddr)> = self.gates[mixer]
            .iter()
            .enumerate()
            .filter_map(|(peer, gate)| Some((mixer_name(peer), (*gate)?)))
            .collect();
        let config = ProcessConfig {
            program: &self.options.program,
            dir: &self.dir.join(&name),
            name: &name,
            mixers: self.script.mixers,
            discovery: self.discovery_gates[mixer].address,
            peers: &peers,
            seed: self
                .options
                .seed
                .wrapping_mul(0x9e37_79b9_7f4a_7c15)
                .wrapping_add((mixer as u64) << 32 | self.starts),
            number: self.starts,
            forget_ms: self.script.forget_ms,
            clock_offset_ms: self.clock_offset_ms[mixer],
            alone: self.options.alone || peers.is_empty(),
        };
        Process::start(&config)
    }

    /// Waits until the process listens and directs the other mixers' connections to it. Clients are directed to it only
    /// once it is ready, which a mixer without discovery is not.
    fn wait_until_reachable(&mut self, mixer: usize, process: &Process) -> Result<()> {
        let alone = self.options.alone || self.script.mixers == 1;
        let address = process.wait_until_listening(alone).with_context(|| mixer_name(mixer))?;
        *self.targets[mixer].lock().unwrap_or_else(PoisonError::into_inner) = address;
        Ok(())
    }

    /// Directs clients to the processes that are ready. Returns whether all running ones are.
    fn update_ready_mixers(&self) -> bool {
        let mut ready_mixers = self.ready_mixers.lock().unwrap_or_else(PoisonError::into_inner);
        let mut all_ready = true;
        for (endpoint, process) in ready_mixers.iter_mut().zip(&self.processes) {
            *endpoint = process
                .as_ref()
                .and_then(|p| Some(MixerEndpoint { process: p.number, address: p.ready_address()? }));
            all_ready &= endpoint.is_some() || process.is_none();
        }
        all_ready
    }

    fn run(mut self) -> Result<Report> {
        self.start_fleet()?;
        self.began = Instant::now();
        let clients = Clients::start(self.script.load, self.ready_mixers.clone(), self.options.seed)
            .context("clients")?;
        self.run_steps()?;
        let mut expectations = Vec::new();
        for expect in self.script.expects.iter().filter(|e| !matches!(e, Expect::Answered { .. })) {
            expectations.push(self.check_expectation(expect));
        }
        // A mixer that ignores a drain is detected only after the grace period, so this waits for its end.
        let drained_ms =
            self.record.drains.iter().map(|d| d.at_ms + DRAIN_GRACE_MS + 500.0).fold(0.0, f64::max);
        self.wait_until(drained_ms);
        let length_ms = self.now_ms();
        self.record.length_ms = length_ms;
        let client_scans = clients.finish();
        self.check_processor_use();
        let costs = self.process_costs();
        self.stop_all();
        let received = self.searchers.received_parts();
        self.record.scans = client_scans.into_iter().map(|scan| self.scan_record(scan)).collect();
        self.record.arrivals = received
            .into_iter()
            .map(|r| PartArrival { at_ms: self.elapsed_ms(r.at), searcher: r.searcher, part: r.part })
            .collect();
        self.violations.extend(self.record.violations());
        let scans = self.scan_summary();
        for expect in &self.script.expects {
            if let Expect::Answered { share } = expect {
                let completed_share = scans.completed as f64 / scans.asked.max(1) as f64;
                expectations.push(ExpectationResult {
                    expect: expect.to_string(),
                    held: completed_share >= *share,
                    took_ms: 0.0,
                    seen: format!("{completed_share:.3}"),
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

    /// Starts all mixers and waits until they are ready and, unless they share nothing, agree.
    fn start_fleet(&mut self) -> Result<()> {
        for mixer in 0..self.script.mixers {
            let process = self.start_process(mixer)?;
            self.processes[mixer] = Some(process);
        }
        for mixer in 0..self.script.mixers {
            let Some(process) = self.processes[mixer].take() else { continue };
            let reachable = self.wait_until_reachable(mixer, &process);
            self.processes[mixer] = Some(process);
            reachable?;
        }
        let deadline = Instant::now() + START_TIMEOUT;
        while !(self.update_ready_mixers() && (self.options.alone || self.observe_agreement().holds)) {
            if Instant::now() > deadline {
                bail!("the fleet did not come up: {}", self.observe_agreement().seen);
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Executes the steps of the script, each at its time.
    fn run_steps(&mut self) -> Result<()> {
        let steps = self.script.steps.iter();
        let mut schedule: Vec<Scheduled> = steps
            .map(|s| Scheduled { at_ms: s.at_ms, action: ScheduledAction::Step(s.action.clone()) })
            .collect();
        while !schedule.is_empty() {
            let next = schedule.remove(0);
            self.wait_until(next.at_ms);
            if let Some(follow_up) = self.execute(next.action)? {
                let index = schedule.partition_point(|other| other.at_ms <= follow_up.at_ms);
                schedule.insert(index, follow_up);
            }
        }
        Ok(())
    }

    /// Waits until a time of the drill, and records processes that exit meanwhile.
    fn wait_until(&mut self, at_ms: f64) {
        loop {
            self.check_processes();
            let left_ms = at_ms - self.now_ms();
            if left_ms <= 0.0 {
                return;
            }
            thread::sleep(POLL_INTERVAL.min(Duration::from_secs_f64(left_ms / 1000.0)));
        }
    }

    /// Directs clients to the processes that are ready, and records those that exited although the script did not end
    /// them.
    fn check_processes(&mut self) {
        self.update_ready_mixers();
        let now = self.now_ms();
        let mut exited = Vec::new();
        let current = self.processes.iter_mut().enumerate().filter_map(|(m, p)| Some((m, p.as_mut()?)));
        for (mixer, process) in current.chain(self.former_processes.iter_mut().map(|(m, p)| (*m, p))) {
            if !self.record.ended_processes.contains_key(&process.number)
                && let Ok(Some(status)) = process.child.try_wait()
            {
                exited.push((mixer, process.number, status));
            }
        }
        for (mixer, number, status) in exited {
            self.record.ended_processes.insert(number, now);
            self.add_violation("no process ends unasked", now, mixer_name(mixer), status.to_string());
        }
    }

    fn paths(&self, paths: &Paths) -> Vec<Arc<NetworkPath>> {
        paths.iter().map(|path| self.paths[path.from][path.to].clone()).collect()
    }

    fn change_paths(&self, paths: &Paths, change: impl Fn(&mut PathBehavior)) {
        for path in self.paths(paths) {
            let mut behavior = path.behavior();
            change(&mut behavior);
            path.set(behavior);
        }
    }

    /// Executes a scheduled action. Returns its follow-up, if it has one.
    fn execute(&mut self, action: ScheduledAction) -> Result<Option<Scheduled>> {
        let now = self.now_ms();
        match action {
            ScheduledAction::Step(action) => {
                self.add_to_timeline(HARNESS_LANE, action.to_string());
                self.apply(action, now)
            }
            ScheduledAction::Continue { mixer, process } => {
                self.continue_process(mixer, process);
                Ok(None)
            }
            ScheduledAction::RemoveFromDiscovery(searcher) => {
                self.searchers.set_discovery_status(searcher, "removed", None);
                Ok(None)
            }
        }
    }

    /// Continues a stalled process. If it received SIGTERM meanwhile, it handles that now.
    fn continue_process(&mut self, mixer: usize, number: u64) {
        let mut processes =
            self.processes[mixer].iter().chain(self.former_processes.iter().map(|former| &former.1));
        if let Some(process) = processes.find(|p| p.number == number) {
            process.signal(Signal::CONT);
            self.add_to_timeline(HARNESS_LANE, format!("m{} continues", mixer + 1));
        }
    }

    /// Applies an action of the script. Returns its follow-up, if it has one.
    fn apply(&mut self, action: Action, now: f64) -> Result<Option<Scheduled>> {
        match action {
            Action::Partition(groups) => self.partition(&groups),
            Action::Cut(paths) => self.change_paths(&paths, |b| b.mode = Mode::Cut),
            Action::Drop(paths) => self.change_paths(&paths, |b| b.mode = Mode::Drop),
            Action::Refuse(paths) => self.change_paths(&paths, |b| b.mode = Mode::Refuse),
            Action::HalfOpen(paths) => self.change_paths(&paths, |b| b.mode = Mode::HalfOpen),
            Action::Delay(paths, ms) => self.change_paths(&paths, |b| b.delay_ms = ms),
            Action::Slow(paths, rate) => self.change_paths(&paths, |b| b.bytes_per_s = rate),
            Action::Flip(paths) => self.change_paths(&paths, |b| b.flip_bits = true),
            Action::Heal(Some(paths)) => self.change_paths(&paths, |b| *b = PathBehavior::default()),
            Action::Heal(None) => {
                self.paths.iter().flatten().for_each(|path| path.set(PathBehavior::default()));
                let all: Vec<usize> = (0..self.script.mixers).collect();
                self.restore_discovery(&all, now);
            }
            Action::Stall(mixer, ms) => {
                if let Some(process) = &self.processes[mixer] {
                    process.signal(Signal::STOP);
                    let action = ScheduledAction::Continue { mixer, process: process.number };
                    self.record.stalls.push(Interval { mixer, from_ms: now, to_ms: now + ms });
                    return Ok(Some(Scheduled { at_ms: now + ms, action }));
                }
            }
            Action::Kill(mixer) => {
                if let Some(mut process) = self.detach_process(mixer, now) {
                    self.killed.insert(process.number);
                    let _ = process.child.kill(); // fails only if it has ended
                    let _ = process.child.wait();
                    self.former_processes.push((mixer, process));
                }
            }
            Action::Term(mixer) => {
                if let Some(process) = self.detach_process(mixer, now) {
                    process.signal(Signal::TERM);
                    self.former_processes.push((mixer, process));
                }
            }
            Action::Clock(mixer, offset_ms) => self.clock_offset_ms[mixer] = offset_ms,
            Action::Start(mixer, state) => self.restart(mixer, state)?,
            Action::Twin(mixer) => self.start_twin(mixer)?,
            Action::Hang(searcher) => {
                self.searchers.set_state(searcher, SearcherState::Hangs);
                self.hung.push(SearcherEvent { searcher, at_ms: now });
            }
            Action::Die(searcher) => {
                self.searchers.set_state(searcher, SearcherState::Dead);
                let action = ScheduledAction::RemoveFromDiscovery(searcher);
                return Ok(Some(Scheduled { at_ms: now + REMOVAL_DELAY_MS, action }));
            }
            Action::Return(searcher) => {
                self.searchers.set_state(searcher, SearcherState::Up);
                self.searchers.set_discovery_status(searcher, "up", Some(unix_time_ms()));
                self.record.returned.push(SearcherEvent { searcher, at_ms: now });
                self.record.drains.retain(|d| d.searcher != searcher);
            }
            Action::Drain(searcher) => {
                self.searchers.set_discovery_status(searcher, "draining", None);
                self.record.drains.push(SearcherEvent { searcher, at_ms: now });
            }
            Action::LoseDiscovery(mixers) => {
                let all: Vec<usize> = (0..self.script.mixers).collect();
                for mixer in if mixers.is_empty() { all } else { mixers } {
                    self.discovery_gates[mixer]
                        .path
                        .set(PathBehavior { mode: Mode::Cut, ..PathBehavior::default() });
                    let without = Interval { mixer, from_ms: now, to_ms: f64::INFINITY };
                    self.record.without_discovery.push(without);
                }
            }
            Action::FindDiscovery(mixers) => {
                let all: Vec<usize> = (0..self.script.mixers).collect();
                self.restore_discovery(if mixers.is_empty() { &all } else { &mixers }, now);
            }
        }
        Ok(None)
    }

    /// Drops all bytes between mixers of different groups; a mixer in no group is a group of its own.
    fn partition(&self, groups: &[Vec<usize>]) {
        let mixers = self.script.mixers;
        let group = |m: usize| groups.iter().position(|g| g.contains(&m)).unwrap_or(mixers + m);
        let paths_from =
            |from: usize| (0..mixers).filter(move |to| *to != from).map(move |to| PathEnds { from, to });
        let paths: Paths =
            (0..mixers).flat_map(paths_from).filter(|path| group(path.from) != group(path.to)).collect();
        self.change_paths(&paths, |b| b.mode = Mode::Drop);
    }

    /// Starts a mixer that does not run.
    fn restart(&mut self, mixer: usize, state: StateOnStart) -> Result<()> {
        if self.processes[mixer].is_some() {
            return Ok(());
        }
        if state == StateOnStart::Fresh {
            let _ = fs::remove_dir_all(self.dir.join(mixer_name(mixer))); // fails if it was never started
        }
        let process = self.start_process(mixer)?;
        self.wait_until_reachable(mixer, &process)?;
        self.processes[mixer] = Some(process);
        Ok(())
    }

    /// Starts a second process under the name of a mixer.
    fn start_twin(&mut self, mixer: usize) -> Result<()> {
        let process = self.start_process(mixer)?;
        self.wait_until_reachable(mixer, &process)?;
        // Closes the other mixers' connections to the earlier process, as when an address moves to another host.
        let paths: Paths = (0..self.script.mixers)
            .filter(|from| *from != mixer)
            .map(|from| PathEnds { from, to: mixer })
            .collect();
        for path in self.paths(&paths) {
            let behavior = path.behavior();
            path.set(PathBehavior { mode: Mode::Cut, ..behavior });
            path.set(behavior);
        }
        if let Some(earlier) = self.processes[mixer].replace(process) {
            self.former_processes.push((mixer, earlier));
        }
        Ok(())
    }

    fn restore_discovery(&mut self, mixers: &[usize], now: f64) {
        for mixer in mixers {
            self.discovery_gates[*mixer].path.set(PathBehavior::default());
            let intervals = self.record.without_discovery.iter_mut();
            intervals.filter(|i| i.mixer == *mixer && i.to_ms > now).for_each(|i| i.to_ms = now);
        }
    }

    /// Takes the process of a mixer that the script is about to end: clients and the other mixers no longer reach it.
    fn detach_process(&mut self, mixer: usize, now: f64) -> Option<Process> {
        let process = self.processes[mixer].take()?;
        self.ready_mixers.lock().unwrap_or_else(PoisonError::into_inner)[mixer] = None;
        self.record.ended_processes.insert(process.number, now);
        *self.targets[mixer].lock().unwrap_or_else(PoisonError::into_inner) = None;
        Some(process)
    }

    /// The fleet view of each running mixer; `None` where the console does not answer.
    fn fleet_views(&self) -> Vec<(usize, Option<Value>)> {
        let processes = self.processes.iter().enumerate();
        processes.filter_map(|(m, p)| Some((m, p.as_ref()?.fleet_view()))).collect()
    }

    fn observe(&self, expect: &Expect) -> Observation {
        match expect {
            Expect::Agree { .. } => self.observe_agreement(),
            Expect::Members { count, .. } => self.observe_members(*count),
            Expect::NoMarks { .. } => self.observe_marks(),
            Expect::Aside { mixer, .. } => self.observe_standing(*mixer),
            Expect::Answered { .. } => Observation { holds: true, seen: String::new() },
        }
    }

    /// Whether all running mixers hold the same records, have caught up and see each other.
    fn observe_agreement(&self) -> Observation {
        let views = self.fleet_views();
        let checksums: BTreeSet<&str> = views
            .iter()
            .map(|(_, v)| v.as_ref().and_then(|v| v["sum"].as_str()).unwrap_or("silent"))
            .collect();
        let all_alive = |v: &Value| members(v) == views.len();
        let caught_up =
            |v: &Value| v["progress"] == "caught up" || views.len() == 1 && v["progress"] == "alone";
        let all = views.iter().all(|(_, v)| v.as_ref().is_some_and(|v| all_alive(v) && caught_up(v)));
        let seen = views.iter().map(|(m, v)| match v {
            Some(v) => format!("m{}: {} members, {}, sum {}", m + 1, members(v), v["progress"], v["sum"]),
            None => format!("m{}: silent", m + 1),
        });
        Observation { holds: all && checksums.len() <= 1, seen: seen.collect::<Vec<_>>().join("; ") }
    }

    /// Whether each running mixer sees this many members.
    fn observe_members(&self, count: usize) -> Observation {
        let views = self.fleet_views();
        let holds = views.iter().all(|(_, v)| v.as_ref().is_some_and(|v| members(v) == count));
        let seen = views.iter().map(|(m, v)| format!("m{} sees {}", m + 1, v.as_ref().map_or(0, members)));
        Observation { holds, seen: seen.collect::<Vec<_>>().join(", ") }
    }

    /// Whether no running mixer holds a mark.
    fn observe_marks(&self) -> Observation {
        let marks = |v: &Option<Value>| v.as_ref().map(|v| v["kinds"]["mark"].as_u64().unwrap_or(0));
        let views = self.fleet_views();
        let holds = views.iter().all(|(_, v)| marks(v) == Some(0));
        let seen = views.iter().map(|(m, v)| match marks(v) {
            Some(count) => format!("m{} holds {count}", m + 1),
            None => format!("m{}: silent", m + 1),
        });
        Observation { holds, seen: seen.collect::<Vec<_>>().join(", ") }
    }

    /// Whether a replaced process of the mixer was superseded, which its standing shows as `aside`.
    fn observe_standing(&self, mixer: usize) -> Observation {
        let replaced = self
            .former_processes
            .iter()
            .filter(|(m, p)| *m == mixer && !self.record.ended_processes.contains_key(&p.number));
        let standing =
            |p: &Process| p.fleet_view().map_or("silent".to_owned(), |v| v["standing"].to_string());
        let seen: Vec<String> = replaced.map(|(_, p)| standing(p)).collect();
        Observation { holds: seen.iter().any(|s| s.contains("aside")), seen: seen.join(", ") }
    }

    /// Waits until an expectation holds or its time is over.
    fn check_expectation(&mut self, expect: &Expect) -> ExpectationResult {
        let within_ms = match expect {
            Expect::Agree { within_ms }
            | Expect::Members { within_ms, .. }
            | Expect::NoMarks { within_ms }
            | Expect::Aside { within_ms, .. } => *within_ms,
            Expect::Answered { .. } => 0.0,
        };
        let began_ms = self.now_ms();
        loop {
            let Observation { holds, seen } = self.observe(expect);
            let took_ms = self.now_ms() - began_ms;
            if holds || took_ms >= within_ms {
                return ExpectationResult { expect: expect.to_string(), held: holds, took_ms, seen };
            }
            self.check_processes();
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Reports processes that use more than half a core. The load of a drill takes a tenth of one.
    fn check_processor_use(&mut self) {
        const MIN_LIFETIME_MS: f64 = 3000.0;
        const MAX_SHARE: f64 = 0.5;
        let current = self.processes.iter().enumerate().filter_map(|(m, p)| Some((m, p.as_ref()?)));
        let former = self.former_processes.iter().map(|(m, p)| (*m, p));
        let spinning = current.chain(former).filter_map(|(mixer, process)| {
            let cpu_ms = process.usage()?.cpu_ms;
            let lifetime_ms = process.began.elapsed().as_secs_f64() * 1000.0;
            (lifetime_ms >= MIN_LIFETIME_MS && cpu_ms > MAX_SHARE * lifetime_ms)
                .then(|| (mixer, format!("{cpu_ms:.0} ms of {lifetime_ms:.0}")))
        });
        let now = self.now_ms();
        let spinning: Vec<_> = spinning.collect();
        for (mixer, what) in spinning {
            self.add_violation("no process spins", now, mixer_name(mixer), what);
        }
    }

    /// The resources used by each process that still runs.
    fn process_costs(&self) -> Vec<ProcessCost> {
        let cost = |(mixer, process): (usize, &Option<Process>)| {
            let usage = process.as_ref()?.usage()?;
            Some(ProcessCost { mixer: mixer_name(mixer), cpu_ms: usage.cpu_ms, rss_kib: usage.rss_kib })
        };
        self.processes.iter().enumerate().filter_map(cost).collect()
    }

    /// Terminates all running processes and checks that each exits with success.
    fn stop_all(&mut self) {
        let now = self.now_ms();
        let running: Vec<(usize, Process)> =
            self.processes.iter_mut().enumerate().filter_map(|(m, p)| Some((m, p.take()?))).collect();
        for (mixer, process) in running {
            process.signal(Signal::CONT);
            process.signal(Signal::TERM);
            self.former_processes.push((mixer, process));
        }
        let mut failures = Vec::new();
        for (mixer, process) in &mut self.former_processes {
            if !self.record.ended_processes.contains_key(&process.number) {
                process.signal(Signal::TERM);
            }
            match process.wait_for_exit(EXIT_TIMEOUT) {
                Some(status) if status.success() || self.killed.contains(&process.number) => {}
                Some(status) => {
                    failures.push((*mixer, format!("it ended with {status} after SIGTERM")));
                }
                None => failures.push((*mixer, "it did not end after SIGTERM".to_owned())),
            }
        }
        for (mixer, what) in failures {
            self.add_violation("no process ends unasked", now, mixer_name(mixer), what);
        }
    }

    fn scan_record(&self, scan: ClientScan) -> ScanRecord {
        let began_ms = self.elapsed_ms(scan.began);
        let ended_ms = self.elapsed_ms(scan.ended);
        let ClientScan { id, mixer, process, outcome, extra_bytes, .. } = scan;
        ScanRecord { id, mixer, process, began_ms, ended_ms, outcome, extra_bytes }
    }

    fn scan_summary(&self) -> ScanSummary {
        let mut summary = ScanSummary::default();
        let mut completed_ms = Vec::new();
        for scan in &self.record.scans {
            let took_ms = scan.ended_ms - scan.began_ms;
            match scan.outcome {
                Outcome::Completed if took_ms <= QUERY_TIMEOUT_MS as f64 => {
                    summary.completed += 1;
                    completed_ms.push(took_ms);
                }
                Outcome::Completed | Outcome::Abandoned | Outcome::UnexpectedStatus(_) => {
                    summary.abandoned += 1
                }
                Outcome::Refused => summary.refused += 1,
                Outcome::ConnectionLost | Outcome::TimedOut => summary.killed += 1,
                Outcome::ConnectFailed => summary.unreached += 1,
            }
            summary.asked += usize::from(scan.outcome != Outcome::ConnectFailed);
        }
        completed_ms.sort_by(f64::total_cmp);
        let quantile = |share: f64| {
            let index = (completed_ms.len() as f64 * share) as usize;
            completed_ms.get(index.min(completed_ms.len().saturating_sub(1))).copied()
        };
        summary.p50_ms = quantile(0.5).unwrap_or(0.0);
        summary.p99_ms = quantile(0.99).unwrap_or(0.0);
        summary
    }

    fn hung_searchers(&self) -> Vec<HungSearcher> {
        self.hung.iter().map(|hang| self.hung_searcher(hang)).collect()
    }

    /// The delays until mixers marked the searcher, and the number of parts that reached it, between its hang and its
    /// return.
    fn hung_searcher(&self, hang: &SearcherEvent) -> HungSearcher {
        let returned_ms = self
            .record
            .returned
            .iter()
            .filter(|r| r.searcher == hang.searcher && r.at_ms > hang.at_ms)
            .map(|r| r.at_ms)
            .fold(f64::INFINITY, f64::min);
        let during = |at_ms: f64| at_ms >= hang.at_ms && at_ms < returned_ms;
        let address = self.searchers.addresses[hang.searcher].to_string();
        let marked = self.former_processes.iter().filter_map(|(_, process)| {
            let output = process.output.lock();
            let line = output.lines.iter().find(|(at, line)| {
                line.contains(&address) && line.contains(" marked at ") && during(self.elapsed_ms(*at))
            });
            line.map(|(at, _)| (self.elapsed_ms(*at) - hang.at_ms).round())
        });
        let mut marked_ms: Vec<f64> = marked.collect();
        marked_ms.sort_by(f64::total_cmp);
        let arrived = |a: &&PartArrival| a.searcher == hang.searcher && during(a.at_ms);
        HungSearcher {
            searcher: format!("s{}", hang.searcher + 1),
            marked_ms,
            parts: self.record.arrivals.iter().filter(arrived).count(),
        }
    }

    /// Adds the log lines of the processes to the timeline.
    fn add_log_lines(&mut self) {
        let mut entries = Vec::new();
        for (mixer, process) in &self.former_processes {
            let output = process.output.lock();
            for (at, line) in output.lines.iter().take(MAX_TIMELINE_LINES) {
                // A line starts with its time, level and target, which are left out.
                let message = line.splitn(4, ' ').last().unwrap_or(line).trim_start();
                let message = message.split_once(": ").map_or(message, |split| split.1);
                entries.push(TimelineEntry {
                    at_ms: self.elapsed_ms(*at),
                    who: mixer_name(*mixer),
                    what: message.to_owned(),
                });
            }
        }
        self.timeline.extend(entries);
    }
}

/// The name of a mixer, which is counted from zero.
fn mixer_name(mixer: usize) -> String {
    format!("m{}", mixer + 1)
}

/// Number of members that a fleet view shows alive or suspected, its own mixer included.
fn members(view: &Value) -> usize {
    let alive = |m: &&Value| m["life"] == "alive" || m["life"] == "suspect";
    1 + view["members"].as_array().map_or(0, |all| all.iter().filter(alive).count())
}
