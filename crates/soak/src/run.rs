//! One run: starts all processes, carries out the faults of its seed, ends in order, and hands its events to the judge.

mod faults;
mod mixers;

use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Result, ensure};

use crate::agent;
use crate::clients;
use crate::clock::now_ms;
use crate::control::{AgentOrder, ClientsOrder, Listed};
use crate::fleet::{Helper, Library, MixerProcess, Ports, build_library, page};
use crate::judge::{self, Verdict};
use crate::proxy::{self, Way};
use crate::record::{self, Event, Recorder, Status};
use crate::role::Role;
use crate::searcher;
use crate::settings::CELLS;
use crate::trouble::{self, Sizes, Trouble};

/// Processes that may take each searcher's place in turn.
const GENERATIONS: usize = 3;
/// After a SIGTERM and the longest deadline, so long passes until SIGKILL.
const KILLED_AFTER_MS: f64 = 700.0;
/// In so long all is up at the beginning.
const UP_IN_MS: f64 = 30_000.0;
/// After the last request, so long until the run ends: the longest deadline and what is owed after it.
const SETTLE_MS: u64 = 3500;
const TICK: Duration = Duration::from_millis(2);

static ALONE: Mutex<()> = Mutex::new(());

/// What is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// The mixer's program.
    pub program: PathBuf,
    /// What leads this program to [`crate::role::serve`] when it is started anew.
    pub role_arguments: Vec<String>,
    /// For records, logs and configurations; made anew.
    pub folder: PathBuf,
    pub seed: u64,
    pub seconds: u64,
    pub sizes: Sizes,
    /// Plays these in place of those that the seed draws.
    pub troubles: Option<Vec<(u64, Trouble)>>,
    /// The mixers' system calls fail now and then.
    pub faults: bool,
    /// Connections to searchers take few bytes ahead of who reads them, some queries hold long texts, and searchers read nothing for
    /// a while.
    pub narrow: bool,
    /// Threads of the mixers are held up now and then after a look at the clock.
    pub holds: bool,
    /// Some clients send their requests in two halves, far apart.
    pub halves: bool,
}

impl Options {
    /// The usual sizes: 5 mixers with an agent and a process of clients each, 12 searchers, 4 proxies.
    pub fn new(program: &Path, role_arguments: &[&str], folder: PathBuf, seed: u64, seconds: u64) -> Self {
        Self {
            program: program.to_owned(),
            role_arguments: role_arguments.iter().map(|argument| (*argument).to_owned()).collect(),
            folder,
            seed,
            seconds,
            sizes: Sizes { mixers: 5, searchers: 12, proxies: 4 },
            troubles: None,
            faults: false,
            narrow: false,
            holds: false,
            halves: false,
        }
    }
}

impl Options {
    /// Builds the libraries that are loaded before each mixer.
    fn libraries(&self) -> Result<Vec<PathBuf>> {
        // Writes are noted before they are cut short.
        let kinds = [(Library::Sends, true), (Library::Faults, self.faults)];
        let wanted = kinds.into_iter().filter(|(_, is_wanted)| *is_wanted);
        wanted.map(|(library, _)| build_library(library, &std::env::temp_dir())).collect()
    }
}

/// A mixer, whichever process is it now.
struct Mixer {
    name: String,
    listen: std::net::SocketAddr,
    places: [std::net::SocketAddr; 2],
    place: usize,
    process: Option<MixerProcess>,
    /// A process that ends beside the one that has taken over, and when it is killed.
    before: Option<(MixerProcess, f64)>,
    processes: u32,
    /// Asked to end, and when it is killed if it has not.
    ends_by: Option<f64>,
    /// A series of stops goes on until then.
    stutters_until: f64,
    ready: bool,
    agent: Helper,
    clients: Helper,
}

/// The place of a searcher, whichever process and name stand there now.
struct Searcher {
    cell: u32,
    ways: Vec<Way>,
    generation: usize,
    processes: u32,
    process: Option<Helper>,
    status: Status,
    since_ms: f64,
}

impl Searcher {
    fn way(&self) -> &Way {
        &self.ways[self.generation]
    }

    fn listed(&self) -> Listed {
        let (way, status) = (self.way(), self.status);
        let (name, address) = (way.searcher.clone(), way.listen.to_string());
        Listed { name, address, group: self.cell, status, since_ms: self.since_ms }
    }
}

/// Something that is due later.
#[derive(Clone, Copy, Debug)]
enum Due {
    Begin(Trouble),
    FrontOff(usize),
    StartMixer(usize),
    TakeOver(usize),
    Resume(usize),
    Stutter { mixer: usize, left: u32, ms: u64, apart_ms: u64 },
    ResumeSearcher(usize),
    StartSearcher(usize),
    Behave(usize),
    RemoveSearcher(usize),
    ReplaceSearcher(usize),
    PassWhole(usize),
    Hangup { mixer: usize, left: u32 },
}

struct Run<'a> {
    options: &'a Options,
    /// Those that are loaded before a mixer.
    libraries: Vec<PathBuf>,
    recorder: Recorder,
    mixers: Vec<Mixer>,
    searchers: Vec<Searcher>,
    proxies: Vec<Helper>,
    /// Held for as long as the run.
    _ports: Ports,
    due: Vec<(f64, Due)>,
}

/// Unix time, as discovery states when a searcher began.
#[expect(clippy::disallowed_methods, reason = "discovery's lists state Unix time")]
fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

/// Plays one run and judges it.
///
/// # Errors
/// If the run itself could not be played: a file, a port or a process was not to be had.
pub fn play(options: &Options) -> Result<Verdict> {
    // One at a time in a process: they share its ports, and each wants the machine.
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    if options.folder.exists() {
        std::fs::remove_dir_all(&options.folder)?;
    }
    std::fs::create_dir_all(&options.folder)?;
    let libraries = options.libraries()?;
    let mut run = Run::start(options, libraries)?;
    run.wait_until_ready()?;
    let begun = now_ms();
    let troubles = match &options.troubles {
        Some(troubles) => troubles.clone(),
        None if options.narrow => trouble::draw_narrow(options.seed, options.seconds * 1000, options.sizes),
        None => trouble::draw(options.seed, options.seconds * 1000, options.sizes),
    };
    run.due.extend(troubles.into_iter().map(|(at, trouble)| (begun + at as f64, Due::Begin(trouble))));
    let end = begun + options.seconds as f64 * 1000.0;
    while now_ms() < end {
        run.turn()?;
        std::thread::sleep(TICK);
    }
    run.settle()?;
    run.take_stock();
    drop(run);
    let mut events = record::read_all(&options.folder)?;
    events.sort_by(|one, other| judge::time(one).total_cmp(&judge::time(other)));
    Ok(judge::judge(&events))
}

impl<'a> Run<'a> {
    fn start(options: &'a Options, libraries: Vec<PathBuf>) -> Result<Self> {
        let mut ports = Ports::reserve()?;
        let folder = options.folder.to_string_lossy().into_owned();
        let searchers = (0..options.sizes.searchers)
            .map(|n| searcher_place(n, &mut ports))
            .collect::<Result<Vec<_>>>()?;
        let mut proxies = Vec::new();
        for number in 0..options.sizes.proxies {
            let of_it = searchers.iter().enumerate().filter(|(n, _)| n % options.sizes.proxies == number);
            let ways = of_it.flat_map(|(_, searcher)| searcher.ways.clone()).collect();
            let setup = proxy::Setup { folder: folder.clone(), number, ways, narrow: options.narrow };
            proxies.push(Helper::start(&options.role_arguments, &Role::Proxy(setup))?);
        }
        let mut mixers = Vec::new();
        for number in 0..options.sizes.mixers {
            let listen = ports.next_free()?;
            let places = [ports.next_free()?, ports.next_free()?];
            let agent = agent::Setup { folder: folder.clone(), mixer: number, places };
            let seed = options.seed * 100 + number as u64;
            let clients = clients::Setup {
                folder: folder.clone(),
                mixer: number,
                address: listen,
                seed,
                long_texts: options.narrow,
                halves: options.halves,
            };
            mixers.push(Mixer {
                name: format!("m{number}"),
                listen,
                places,
                place: 0,
                process: None,
                before: None,
                processes: 0,
                ends_by: None,
                stutters_until: 0.0,
                ready: false,
                agent: Helper::start(&options.role_arguments, &Role::Agent(agent))?,
                clients: Helper::start(&options.role_arguments, &Role::Clients(clients))?,
            });
        }
        let recorder = Recorder::create(&options.folder.join("runner.jsonl"))?;
        let due = Vec::new();
        let mut run = Self { options, libraries, recorder, mixers, searchers, proxies, _ports: ports, due };
        for searcher in 0..run.searchers.len() {
            run.start_searcher(searcher)?;
        }
        let all: Vec<Listed> = run.searchers.iter().map(Searcher::listed).collect();
        run.tell_agents(&all);
        for mixer in 0..run.mixers.len() {
            run.start_mixer(mixer)?;
        }
        Ok(run)
    }

    fn wait_until_ready(&mut self) -> Result<()> {
        let begun = now_ms();
        while self.mixers.iter().any(|mixer| !mixer.ready) {
            ensure!(now_ms() - begun < UP_IN_MS, "not all mixers came up");
            self.turn()?;
            std::thread::sleep(TICK);
        }
        Ok(())
    }

    /// Does what is due, and looks at each mixer.
    fn turn(&mut self) -> Result<()> {
        let now = now_ms();
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.due).into_iter().partition(|due| due.0 <= now);
        self.due = later;
        for (_, due) in due {
            self.carry_out(due)?;
        }
        (0..self.mixers.len()).try_for_each(|mixer| self.look_at(mixer))
    }

    fn start_searcher(&mut self, number: usize) -> Result<()> {
        let searcher = &mut self.searchers[number];
        searcher.processes += 1;
        let way = searcher.way().clone();
        let setup = searcher::Setup {
            folder: self.options.folder.to_string_lossy().into_owned(),
            name: way.searcher,
            process: searcher.processes,
            listen: way.target,
            seed: self.options.seed * 10_000 + number as u64 * 10 + u64::from(searcher.processes),
        };
        searcher.process = Some(Helper::start(&self.options.role_arguments, &Role::Searcher(setup))?);
        Ok(())
    }

    fn tell_agents(&mut self, changed: &[Listed]) {
        for mixer in &mut self.mixers {
            mixer.agent.tell(&AgentOrder::Change(changed.to_vec()));
        }
    }

    fn later(&mut self, ms: u64, due: Due) {
        self.due.push((now_ms() + ms as f64, due));
    }

    /// Lets all that was asked come to its end.
    fn settle(&mut self) -> Result<()> {
        let ms = SETTLE_MS;
        self.mixers.iter_mut().for_each(|mixer| mixer.clients.tell(&ClientsOrder::Finish));
        let end = now_ms() + ms as f64;
        while now_ms() < end {
            self.turn()?;
            std::thread::sleep(TICK);
        }
        Ok(())
    }

    /// Records what the mixers hold, and their counters.
    fn take_stock(&mut self) {
        for (number, mixer) in self.mixers.iter().enumerate() {
            let Some(process) = &mixer.process else { continue };
            if let Some((descriptors, threads, peak_kb)) = process.resources() {
                let at = now_ms();
                self.recorder.record(&Event::Resources { at, mixer: number, descriptors, threads, peak_kb });
            }
            if let Ok((200, text)) = page(mixer.listen, "/-/counters") {
                let lines: Vec<String> = text.lines().map(str::to_owned).collect();
                record_counters(&self.recorder, number, &lines);
            }
        }
    }
}

fn record_counters(recorder: &Recorder, mixer: usize, lines: &[String]) {
    for line in lines {
        let Some((name, value)) = line.rsplit_once(' ') else { continue };
        if let Ok(value) = value.parse() {
            recorder.record(&Event::Counter { at: now_ms(), mixer, name: name.to_owned(), value });
        }
    }
}

/// The place of a searcher, with the names and addresses of those that may stand there in turn.
fn searcher_place(number: usize, ports: &mut Ports) -> Result<Searcher> {
    let cell = number as u32 % CELLS;
    let way = |generation: usize| {
        let (listen, target) = (ports.next_free()?, ports.next_free()?);
        let searcher = format!("s{number}{}", ["a", "b", "c"][generation % GENERATIONS]);
        Ok(Way { listen, target, searcher, cell })
    };
    let ways = (0..GENERATIONS).map(way).collect::<Result<_>>()?;
    Ok(Searcher { cell, ways, generation: 0, processes: 0, process: None, status: Status::Up, since_ms: 0.0 })
}
