//! One run: starts all processes, injects the faults of its seed, shuts down in order, and checks the recorded events.

mod faults;
mod mixers;

use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Result, ensure};

use crate::agent;
use crate::checker::{self, Report};
use crate::clients;
use crate::clock::{TimeMs, now_ms};
use crate::control::{AgentCommand, ClientsCommand, ListedSearcher};
use crate::fault::{self, Fault, ScheduledFault, Sizes};
use crate::process::{MixerProcess, Ports, Resources, RoleProcess, ShimLibrary, build_library, fetch_page};
use crate::proxy::{self, Route};
use crate::record::{self, Event, Recorder, Status};
use crate::role::Role;
use crate::searcher;
use crate::settings::CELLS;

/// The number of searchers that can replace one another in each slot.
const GENERATIONS: usize = 3;
/// The platform sends SIGKILL this long after SIGTERM, plus the longest query timeout.
const KILL_GRACE_MS: f64 = 700.0;
/// All mixers are ready within this time after the start of a run.
const START_TIMEOUT_MS: f64 = 30_000.0;
/// The time between the last request and the end of the run: the longest deadline and what must happen after it.
const SETTLE_MS: u64 = 3500;
const TICK: Duration = Duration::from_millis(2);

static RUN_LOCK: Mutex<()> = Mutex::new(());

/// The options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The mixer's program.
    pub program: PathBuf,
    /// The arguments with which the current program calls [`crate::role::serve`].
    pub role_arguments: Vec<String>,
    /// The folder of records, logs and configurations; it is created anew.
    pub folder: PathBuf,
    pub seed: u64,
    pub seconds: u64,
    pub sizes: Sizes,
    /// These faults in place of those that the seed draws.
    pub faults: Option<Vec<ScheduledFault>>,
    /// Whether system calls of the mixers fail now and then.
    pub failing_syscalls: bool,
    /// Whether connections to searchers have small buffers, some queries have long texts, and searchers stop reading for a while.
    pub small_buffers: bool,
    /// Whether threads of the mixers are sometimes delayed after they read the clock.
    pub clock_delays: bool,
    /// Whether some clients send their requests in two halves, far apart.
    pub halves: bool,
}

impl Options {
    /// The default sizes: 5 mixers, each with an agent and a process of clients, 12 searchers, 4 proxies.
    pub fn new(program: &Path, role_arguments: &[&str], folder: PathBuf, seed: u64, seconds: u64) -> Self {
        Self {
            program: program.to_owned(),
            role_arguments: role_arguments.iter().map(|argument| (*argument).to_owned()).collect(),
            folder,
            seed,
            seconds,
            sizes: Sizes { mixers: 5, searchers: 12, proxies: 4 },
            faults: None,
            failing_syscalls: false,
            small_buffers: false,
            clock_delays: false,
            halves: false,
        }
    }
}

impl Options {
    /// Builds the libraries that are preloaded into each mixer.
    fn build_libraries(&self) -> Result<Vec<PathBuf>> {
        // The first library records writes before the second one shortens them.
        let kinds = [(ShimLibrary::Sends, true), (ShimLibrary::Faults, self.failing_syscalls)];
        let wanted = kinds.into_iter().filter(|(_, is_wanted)| *is_wanted);
        wanted.map(|(library, _)| build_library(library, &std::env::temp_dir())).collect()
    }
}

/// A process that ends while its successor already runs.
struct EndingProcess {
    process: MixerProcess,
    kill_at: TimeMs,
}

/// A mixer and its current process.
struct Mixer {
    name: String,
    listen: std::net::SocketAddr,
    discovery_addresses: [std::net::SocketAddr; 2],
    /// The index of the discovery address in its configuration.
    discovery_index: usize,
    process: Option<MixerProcess>,
    predecessor: Option<EndingProcess>,
    /// The number of processes started so far.
    processes: u32,
    /// When the process is killed unless it has ended; `None` if it was not sent SIGTERM.
    kill_at: Option<TimeMs>,
    /// The end of a series of stops.
    stutters_until: TimeMs,
    is_ready: bool,
    agent: RoleProcess,
    clients: RoleProcess,
}

/// A slot for a searcher, and its current searcher and process.
struct SearcherSlot {
    cell: u32,
    /// The route to each of the searchers that replace one another.
    routes: Vec<Route>,
    generation: usize,
    /// The number of processes started so far.
    processes: u32,
    process: Option<RoleProcess>,
    status: Status,
    since_ms: f64,
}

impl SearcherSlot {
    fn route(&self) -> &Route {
        &self.routes[self.generation]
    }

    /// Whether the searcher runs and neither drains nor is removed.
    fn is_up(&self) -> bool {
        self.status == Status::Up && self.process.is_some()
    }

    /// The searcher as discovery lists it.
    fn listed(&self) -> ListedSearcher {
        let (route, status) = (self.route(), self.status);
        let (name, address) = (route.searcher.clone(), route.listen.to_string());
        ListedSearcher { name, address, group: self.cell, status, since_ms: self.since_ms }
    }
}

/// Something that the run does at a later time. Mixers, searchers and proxies are given by their numbers.
#[derive(Clone, Copy, Debug)]
enum Action {
    BeginFault(Fault),
    TakeOutOfRotation(usize),
    StartMixer(usize),
    StartSuccessor(usize),
    ResumeMixer(usize),
    Stutter { mixer: usize, left: u32, ms: u64, apart_ms: u64 },
    ResumeSearcher(usize),
    StartSearcher(usize),
    RestoreSearcher(usize),
    RemoveSearcher(usize),
    ReplaceSearcher(usize),
    RestoreProxy(usize),
    SendHangup { mixer: usize, left: u32 },
}

struct ScheduledAction {
    due_at: TimeMs,
    action: Action,
}

struct Run<'a> {
    options: &'a Options,
    /// The libraries that are preloaded into each mixer.
    libraries: Vec<PathBuf>,
    recorder: Recorder,
    mixers: Vec<Mixer>,
    searchers: Vec<SearcherSlot>,
    proxies: Vec<RoleProcess>,
    /// Keeps the ports reserved for the run.
    _ports: Ports,
    schedule: Vec<ScheduledAction>,
}

/// Unix time, in which discovery states when a searcher started.
#[expect(clippy::disallowed_methods, reason = "discovery's lists state Unix time")]
fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

/// Plays one run and checks it.
///
/// # Errors
/// If the run could not be played, as a file, a port or a process was not available.
pub fn play(options: &Options) -> Result<Report> {
    // The runs of a process share its ports, and each needs the whole machine: they run one at a time.
    let _lock = RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    if options.folder.exists() {
        std::fs::remove_dir_all(&options.folder)?;
    }
    std::fs::create_dir_all(&options.folder)?;
    let libraries = options.build_libraries()?;
    let mut run = Run::start(options, libraries)?;
    run.wait_until_ready()?;
    let begun_at = now_ms();
    run.schedule_faults(begun_at);
    let end = begun_at + options.seconds as f64 * 1000.0;
    while now_ms() < end {
        run.tick()?;
        std::thread::sleep(TICK);
    }
    run.settle()?;
    run.record_final_state();
    drop(run);
    let mut events = record::read_all(&options.folder)?;
    events.sort_by(|one, other| checker::event_time(one).total_cmp(&checker::event_time(other)));
    Ok(checker::check(&events))
}

impl<'a> Run<'a> {
    fn start(options: &'a Options, libraries: Vec<PathBuf>) -> Result<Self> {
        let mut ports = Ports::reserve()?;
        let searchers = (0..options.sizes.searchers)
            .map(|number| searcher_slot(number, &mut ports))
            .collect::<Result<Vec<_>>>()?;
        let proxies = start_proxies(options, &searchers)?;
        let mixers = (0..options.sizes.mixers)
            .map(|number| start_surroundings(options, number, &mut ports))
            .collect::<Result<Vec<_>>>()?;
        let recorder = Recorder::create(&options.folder.join("runner.jsonl"))?;
        let schedule = Vec::new();
        let mut run =
            Self { options, libraries, recorder, mixers, searchers, proxies, _ports: ports, schedule };
        for searcher in 0..run.searchers.len() {
            run.start_searcher(searcher)?;
        }
        let all: Vec<ListedSearcher> = run.searchers.iter().map(SearcherSlot::listed).collect();
        run.update_agents(&all);
        for mixer in 0..run.mixers.len() {
            run.start_mixer(mixer)?;
        }
        Ok(run)
    }

    fn wait_until_ready(&mut self) -> Result<()> {
        let begun_at = now_ms();
        while self.mixers.iter().any(|mixer| !mixer.is_ready) {
            ensure!(now_ms() - begun_at < START_TIMEOUT_MS, "not all mixers became ready");
            self.tick()?;
            std::thread::sleep(TICK);
        }
        Ok(())
    }

    /// Schedules the faults of a run that begins at this time.
    fn schedule_faults(&mut self, begun_at: TimeMs) {
        let Options { seed, seconds, sizes, .. } = self.options;
        let faults = match &self.options.faults {
            Some(faults) => faults.clone(),
            None if self.options.small_buffers => {
                fault::draw_for_small_buffers(*seed, seconds * 1000, *sizes)
            }
            None => fault::draw(*seed, seconds * 1000, *sizes),
        };
        self.schedule.extend(faults.into_iter().map(|ScheduledFault { at_ms, fault }| ScheduledAction {
            due_at: begun_at + at_ms as f64,
            action: Action::BeginFault(fault),
        }));
    }

    /// Performs the actions that are due, and checks each mixer.
    fn tick(&mut self) -> Result<()> {
        let now = now_ms();
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.schedule).into_iter().partition(|scheduled| scheduled.due_at <= now);
        self.schedule = later;
        for scheduled in due {
            self.perform(scheduled.action)?;
        }
        (0..self.mixers.len()).try_for_each(|mixer| self.check_mixer(mixer))
    }

    fn start_searcher(&mut self, number: usize) -> Result<()> {
        let searcher = &mut self.searchers[number];
        searcher.processes += 1;
        let route = searcher.route().clone();
        let setup = searcher::Setup {
            folder: self.options.folder.to_string_lossy().into_owned(),
            name: route.searcher,
            process: searcher.processes,
            listen: route.target,
            seed: self.options.seed * 10_000 + number as u64 * 10 + u64::from(searcher.processes),
        };
        searcher.process = Some(RoleProcess::start(&self.options.role_arguments, &Role::Searcher(setup))?);
        Ok(())
    }

    /// Sends changed entries of the list to all agents.
    fn update_agents(&mut self, changed: &[ListedSearcher]) {
        for mixer in &mut self.mixers {
            mixer.agent.send(&AgentCommand::Change(changed.to_vec()));
        }
    }

    fn schedule_after(&mut self, ms: u64, action: Action) {
        self.schedule.push(ScheduledAction { due_at: now_ms() + ms as f64, action });
    }

    /// Stops the clients, and waits until all requests have ended.
    fn settle(&mut self) -> Result<()> {
        self.mixers.iter_mut().for_each(|mixer| mixer.clients.send(&ClientsCommand::Finish));
        let end = now_ms() + SETTLE_MS as f64;
        while now_ms() < end {
            self.tick()?;
            std::thread::sleep(TICK);
        }
        Ok(())
    }

    /// Records the resources and counters of the mixers.
    fn record_final_state(&mut self) {
        for (number, mixer) in self.mixers.iter().enumerate() {
            let Some(process) = &mixer.process else { continue };
            if let Some(Resources { descriptors, threads, peak_kb }) = process.resources() {
                let at = now_ms();
                self.recorder.record(&Event::Resources { at, mixer: number, descriptors, threads, peak_kb });
            }
            if let Ok((200, text)) = fetch_page(mixer.listen, "/-/counters") {
                let lines: Vec<String> = text.lines().map(str::to_owned).collect();
                record_counters(&self.recorder, number, &lines);
            }
        }
    }
}

/// Starts the fault proxies; each serves every nth searcher.
fn start_proxies(options: &Options, searchers: &[SearcherSlot]) -> Result<Vec<RoleProcess>> {
    let mut proxies = Vec::new();
    for number in 0..options.sizes.proxies {
        let served = searchers.iter().enumerate().filter(|(nth, _)| nth % options.sizes.proxies == number);
        let setup = proxy::Setup {
            folder: options.folder.to_string_lossy().into_owned(),
            number,
            routes: served.flat_map(|(_, searcher)| searcher.routes.clone()).collect(),
            small_buffers: options.small_buffers,
        };
        proxies.push(RoleProcess::start(&options.role_arguments, &Role::Proxy(setup))?);
    }
    Ok(proxies)
}

/// Starts the agent and the clients of a mixer that is not started yet.
fn start_surroundings(options: &Options, number: usize, ports: &mut Ports) -> Result<Mixer> {
    let folder = options.folder.to_string_lossy().into_owned();
    let listen = ports.next_free()?;
    let discovery_addresses = [ports.next_free()?, ports.next_free()?];
    let agent = agent::Setup { folder: folder.clone(), mixer: number, discovery_addresses };
    let clients = clients::Setup {
        folder,
        mixer: number,
        address: listen,
        seed: options.seed * 100 + number as u64,
        long_texts: options.small_buffers,
        halves: options.halves,
    };
    Ok(Mixer {
        name: format!("m{number}"),
        listen,
        discovery_addresses,
        discovery_index: 0,
        process: None,
        predecessor: None,
        processes: 0,
        kill_at: None,
        stutters_until: 0.0,
        is_ready: false,
        agent: RoleProcess::start(&options.role_arguments, &Role::Agent(agent))?,
        clients: RoleProcess::start(&options.role_arguments, &Role::Clients(clients))?,
    })
}

fn record_counters(recorder: &Recorder, mixer: usize, lines: &[String]) {
    for line in lines {
        let Some((name, value)) = line.rsplit_once(' ') else { continue };
        if let Ok(value) = value.parse() {
            recorder.record(&Event::Counter { at: now_ms(), mixer, name: name.to_owned(), value });
        }
    }
}

/// A slot for a searcher, with the names and addresses of those that replace one another in it.
fn searcher_slot(number: usize, ports: &mut Ports) -> Result<SearcherSlot> {
    let cell = number as u32 % CELLS;
    let route = |generation: usize| {
        let (listen, target) = (ports.next_free()?, ports.next_free()?);
        let searcher = format!("s{number}{}", ["a", "b", "c"][generation % GENERATIONS]);
        Ok(Route { listen, target, searcher, cell })
    };
    let routes = (0..GENERATIONS).map(route).collect::<Result<_>>()?;
    Ok(SearcherSlot {
        cell,
        routes,
        generation: 0,
        processes: 0,
        process: None,
        status: Status::Up,
        since_ms: 0.0,
    })
}
