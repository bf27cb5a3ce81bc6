//! A simulation of many mixers that share nothing, before searchers some of which are cold: what all mixers
//! together send to one cold searcher, and how much of each table type is served. There is no network:
//! messages take a fixed time, searchers queue jobs before their cores, and each mixer gets the list at its
//! own time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use oorandom::Rand64;
use pewterwharf::interface::*;
use pewterwharf::logic::Mixer;
use pewterwharf::report::REJECTION_REASONS;

/// The simulation starts then by the module's clock: long after any start that the list names.
const EPOCH_MS: f64 = 1_000_000.0;
/// Network latency between a mixer and a searcher, one way.
pub const ONE_WAY_MS: f64 = 0.5;
/// When the first searcher fails.
pub const FIRST_FAULT_MS: f64 = 3000.0;
/// A burst begins so long after the first restart.
const BURST_DELAY_MS: f64 = 1000.0;
const PROBE_TIMEOUT_MS: f64 = 500.0;
/// All mixers learn within this time that a searcher is gone.
const REMOVAL_NOTICE_MS: f64 = 200.0;
/// Time constant of the reported busy share.
const BUSY_AVERAGE_MS: f64 = 1000.0;
/// Jobs in a searcher's queue from which on it rejects parts.
const QUEUE_LIMIT: usize = 100;

/// A table type and its traffic.
#[derive(Clone, Debug)]
pub struct ScanClass {
    /// Share of all scans; the sum need not be one.
    pub share: f64,
    pub parts: u32,
    pub required_weight: f64,
    /// Mean work of a part, in milliseconds of one core.
    pub work_ms: f64,
    pub target_ms: f64,
    /// When the client gives up, in target times.
    pub timeout_targets: f64,
    pub idempotency: Idempotency,
    pub unequal_weights: bool,
}

/// The searchers that restart are silent before: connections to them neither answer nor refuse.
#[derive(Clone, Debug)]
pub struct Silence {
    pub duration_ms: f64,
    /// The list removes them after this time, if it does.
    pub removed_after_ms: Option<f64>,
}

/// Traffic is low for a long time, and rises after the first restart.
#[derive(Clone, Debug)]
pub struct Burst {
    /// The first searcher restarts so much later.
    pub quiet_ms: f64,
    /// The load until the burst, as [`Scenario::load`] is the one from then on.
    pub load_before: f64,
}

/// A deployment and the faults in it.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub mixers: usize,
    /// Highest traffic of a mixer over the mean, at least: every tenth mixer has so much.
    pub uneven: f64,
    pub searchers: usize,
    /// Cells that hold a shard; every cell has one searcher.
    pub cells_per_shard: u32,
    pub cores: usize,
    /// Share of what all warm searchers can do.
    pub load: f64,
    pub classes: Vec<ScanClass>,
    /// Count of searchers that restart. The first restarts at [`FIRST_FAULT_MS`], each next one
    /// `restart_interval_ms` later and `restart_stride` cells further on.
    pub restarting: usize,
    pub restart_interval_ms: f64,
    pub restart_stride: usize,
    /// All of them are silent before they restart, the first from [`FIRST_FAULT_MS`] on.
    pub silence: Option<Silence>,
    /// So many searchers on each side of the first one that restarts are gone for good.
    pub gone_neighbors: usize,
    pub burst: Option<Burst>,
    /// Each mixer learns of a restart within this time.
    pub restart_notice_ms: f64,
    pub limits: SafetyLimits,
    pub permissions: Permissions,
    /// The cells lie in the zones by turns.
    pub zones: u16,
    /// Searchers report how busy they are.
    pub reports_busy: bool,
    /// Share of the mixers that restarts each half second from the first fault on, until all have.
    pub mixer_restarts: f64,
    /// The restarted searchers restart once more after this time.
    pub second_restart_ms: Option<f64>,
    /// From the first fault on all work takes this many times as long.
    pub slowdown: f64,
    /// Count of mixers that the settings state, over the true count.
    pub stated_mixers: f64,
    pub length_ms: f64,
}

/// A searcher that restarts, and when.
pub struct Restart {
    pub searcher: usize,
    pub at: f64,
}

/// How a scan ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScanEnd {
    /// It has not ended, or its mixer was restarted.
    Open,
    InTime,
    Late,
    /// Rejected by admission control, for the reason of this number.
    Rejected {
        reason: usize,
    },
    Throttled,
    Abandoned,
}

/// A scan that was requested.
#[derive(Debug)]
pub struct ScanRecord {
    pub at: f64,
    pub class: usize,
    /// The first of its shards, which are consecutive.
    pub first_shard: u32,
    /// The weight of each part.
    pub weights: Vec<f64>,
    pub end: ScanEnd,
}

/// Calls that came to one searcher, by their cause.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Calls {
    pub first: u32,
    /// Hedges: the attempt before, or its searcher, was late.
    pub after_lateness: u32,
    /// Retries after the attempt before was rejected unseen.
    pub after_refusal: u32,
    /// Retries after the attempt before had timed out or was cancelled.
    pub after_silence: u32,
}

/// The cause of an attempt.
#[derive(Clone, Copy, Debug)]
enum Cause {
    First,
    Lateness,
    Refusal,
    Silence,
}

impl Calls {
    fn add(&mut self, cause: Cause) {
        let count = match cause {
            Cause::First => &mut self.first,
            Cause::Lateness => &mut self.after_lateness,
            Cause::Refusal => &mut self.after_refusal,
            Cause::Silence => &mut self.after_silence,
        };
        *count += 1;
    }
}

/// A call that came to a cold searcher.
struct ColdCall {
    at: f64,
    /// Mean work of its table type.
    work_ms: f64,
    cause: Cause,
}

/// Scans of one table type.
#[derive(Clone, Copy, Debug, Default)]
pub struct ScanCounts {
    pub requested: u32,
    pub in_time: u32,
}

/// The result of a simulation.
#[derive(Debug, Default)]
pub struct Simulated {
    pub scans: Vec<ScanRecord>,
    /// By table type.
    pub counts: Vec<ScanCounts>,
    /// Of the scans that were requested while searchers were cold, by table type.
    pub counts_while_cold: Vec<ScanCounts>,
    /// The fullest window of a cold searcher: work in it, over what it can carry (the budget and an allowance
    /// for chance).
    pub fullest: f64,
    /// The calls in that window.
    pub fullest_calls: Calls,
    /// What cold searchers got, over the sum of what the settings allow.
    pub used: f64,
    /// Scans that admission control has rejected, by table type and reason.
    pub rejected: Vec<[u64; REJECTION_REASONS]>,
}

/// An attempt of a part: the dispatch of this number by this mixer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    mixer: usize,
    part: u64,
    dispatch: u8,
}

/// An attempt in flight.
struct InFlight {
    searcher: usize,
    sent_at: f64,
}

/// What a core works on.
struct Job {
    searcher: usize,
    attempt: Attempt,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    RequestScan,
    Arrive {
        searcher: usize,
        attempt: Attempt,
    },
    FinishJob {
        searcher: usize,
        job: u64,
    },
    Answer {
        attempt: Attempt,
    },
    TimeOut {
        attempt: Attempt,
    },
    /// A tick of a mixer, unless another process has taken its place.
    Wake {
        mixer: usize,
        process: u64,
    },
    RestartSearcher {
        searcher: usize,
    },
    SilenceSearcher {
        searcher: usize,
    },
    /// A mixer learns that the silent searchers are gone.
    LearnRemovals {
        mixer: usize,
    },
    ProbeTimedOut {
        mixer: usize,
        process: u64,
        searcher: usize,
    },
    /// A mixer learns that a searcher was restarted at this time, in microseconds.
    LearnRestart {
        mixer: usize,
        searcher: usize,
        started_at_us: u64,
    },
    RestartMixer {
        mixer: usize,
    },
}

/// Events are handled by time, then in the order in which they were scheduled.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at_us: u64,
    number: u64,
    event: SimEvent,
}

#[derive(Default)]
struct Searcher {
    started_at: f64,
    silent: bool,
    /// Averaged busy share of its cores, and when it was last updated.
    busy: f64,
    busy_updated_at: f64,
    running_jobs: usize,
    queue: VecDeque<Attempt>,
    /// Calls that came while it was cold.
    cold_calls: Vec<ColdCall>,
}

struct MixerProcess {
    mixer: Mixer,
    inbox: Vec<Event>,
    /// Counts the restarts.
    process: u64,
}

/// An entry of the list as a mixer has it.
#[derive(Clone, Copy)]
struct ListEntry {
    started_at: f64,
    status: SearcherStatus,
}

struct OpenScan {
    class: usize,
    requested_at: f64,
    /// Index in [`Simulated::scans`].
    record: usize,
}

struct Simulation {
    scenario: Scenario,
    now: f64,
    event_count: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    random: Rand64,
    mixers: Vec<MixerProcess>,
    /// The list of each mixer.
    lists: Vec<Vec<ListEntry>>,
    /// Traffic of each mixer.
    weights: Vec<f64>,
    searchers: Vec<Searcher>,
    scans: BTreeMap<u64, OpenScan>,
    /// Table type of each part.
    parts: BTreeMap<u64, usize>,
    /// Dispatches made of each part.
    dispatched: BTreeMap<u64, u8>,
    /// How the latest attempt of a part ended, until the next one.
    last_outcomes: BTreeMap<u64, DispatchOutcome>,
    causes: BTreeMap<Attempt, Cause>,
    in_flight: BTreeMap<Attempt, InFlight>,
    jobs: BTreeMap<u64, Job>,
    /// Rejections that were seen of each mixer's process, by table type and reason.
    seen_rejections: Vec<Vec<[u64; REJECTION_REASONS]>>,
    last_id: u64,
    simulated: Simulated,
    /// Calls of mean work that cold searchers got, and that the settings allow.
    used_calls: f64,
    allowed_calls: f64,
}

fn address(searcher: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (searcher >> 8) as u8, searcher as u8), 5000)
}

fn searcher_at(address: SocketAddrV4) -> usize {
    let octets = address.ip().octets();
    usize::from(octets[2]) << 8 | usize::from(octets[3])
}

/// A part's work over the mean: spread about as the operators' parts are.
pub fn spread(random: &mut Rand64) -> f64 {
    0.4 + 1.2 * random.rand_float()
}

impl Scenario {
    pub fn simulate(&self, seed: u64) -> Simulated {
        let mut random = Rand64::new(u128::from(seed));
        // A few mixers get several times the mean traffic, as a load balancer gives them.
        let weights: Vec<f64> = (0..self.mixers)
            .map(|nth| if nth % 10 == 0 { self.uneven } else { 0.5 + random.rand_float() })
            .collect();
        let list = (0..self.searchers).map(|searcher| self.first_list_entry(searcher)).collect();
        let counts = vec![ScanCounts::default(); self.classes.len()];
        let mut simulation = Simulation {
            scenario: self.clone(),
            now: 0.0,
            event_count: 0,
            events: BinaryHeap::new(),
            mixers: Vec::new(),
            lists: vec![list; self.mixers],
            weights,
            searchers: (0..self.searchers).map(|_| Searcher::default()).collect(),
            scans: BTreeMap::new(),
            parts: BTreeMap::new(),
            dispatched: BTreeMap::new(),
            last_outcomes: BTreeMap::new(),
            causes: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            jobs: BTreeMap::new(),
            seen_rejections: vec![vec![[0; REJECTION_REASONS]; self.classes.len()]; self.mixers],
            last_id: 0,
            simulated: Simulated {
                counts: counts.clone(),
                counts_while_cold: counts,
                ..Simulated::default()
            },
            used_calls: 0.0,
            allowed_calls: 0.0,
            random,
        };
        simulation.run(seed);
        simulation.summarize();
        simulation.simulated
    }

    /// Mean work of the requested parts.
    pub fn mean_work_ms(&self) -> f64 {
        let parts: f64 = self.classes.iter().map(|class| class.share * f64::from(class.parts)).sum();
        let work = |class: &ScanClass| class.share * f64::from(class.parts) * class.work_ms;
        self.classes.iter().map(work).sum::<f64>() / parts
    }

    /// The list's entry of a searcher at the start.
    fn first_list_entry(&self, searcher: usize) -> ListEntry {
        let distance = searcher.min(self.searchers - searcher);
        let is_gone = (1..=self.gone_neighbors).contains(&distance);
        let status = if is_gone { SearcherStatus::Gone } else { SearcherStatus::Ready };
        ListEntry { started_at: 0.0, status }
    }

    /// When the first searcher restarts.
    fn first_restart_ms(&self) -> f64 {
        let silence_ms = self.silence.as_ref().map_or(0.0, |silence| silence.duration_ms);
        FIRST_FAULT_MS + silence_ms + self.burst.as_ref().map_or(0.0, |burst| burst.quiet_ms)
    }

    /// Time from now to the next scan, given a random number from 0 to 1.
    fn interval_ms(&self, now: f64, random: f64) -> f64 {
        let mean_intervals = -(1.0 - random).ln();
        let burst_at = self.first_restart_ms() + BURST_DELAY_MS;
        match &self.burst {
            // What is left of the interval at the burst is drawn anew.
            Some(burst) if now < burst_at => {
                (mean_intervals / self.scans_per_ms(burst.load_before)).min(burst_at - now)
            }
            _ => mean_intervals / self.scans_per_ms(self.load),
        }
    }

    fn scans_per_ms(&self, load: f64) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let sent_parts = |class: &ScanClass| (class.required_weight * f64::from(class.parts)).ceil();
        let work = |class: &ScanClass| class.share / shares * sent_parts(class) * class.work_ms;
        let scan_work_ms: f64 = self.classes.iter().map(work).sum();
        load * (self.searchers * self.cores) as f64 / scan_work_ms
    }

    /// Speed of a searcher of this age, as a share of its speed when warm.
    pub fn speed(&self, age_ms: f64) -> f64 {
        let SafetyLimits { cold_capacity_share, warm_up_ms, .. } = self.limits;
        let speed = cold_capacity_share + (1.0 - cold_capacity_share) * age_ms / warm_up_ms;
        speed.clamp(cold_capacity_share, 1.0)
    }

    /// Work that all mixers together may send a cold searcher in a window that began at this age, with an
    /// allowance for chance.
    pub fn capacity_ms(&self, age_ms: f64) -> f64 {
        let calls = self.allowed_calls(age_ms);
        (calls + 2.0 * calls.sqrt() + 2.0) * self.mean_work_ms()
    }

    /// Calls of mean work that the settings allow in a window that began at this age.
    fn allowed_calls(&self, age_ms: f64) -> f64 {
        let SafetyLimits { overload_multiple, overload_window_ms, .. } = self.limits;
        overload_multiple * self.speed(age_ms) * self.cores as f64 * overload_window_ms / self.mean_work_ms()
    }

    /// The restarts of searchers that follow the first fault; second restarts are not among them.
    pub fn restarts(&self) -> Vec<Restart> {
        let first_at = self.first_restart_ms();
        let searcher = |nth: usize| nth * self.restart_stride % self.searchers;
        let at = |nth: usize| first_at + nth as f64 * self.restart_interval_ms;
        (0..self.restarting).map(|nth| Restart { searcher: searcher(nth), at: at(nth) }).collect()
    }

    /// Scans per millisecond, by table type.
    pub fn rates(&self) -> Vec<f64> {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        self.classes.iter().map(|class| self.scans_per_ms(self.load) * class.share / shares).collect()
    }

    /// When all scans are over.
    fn end_ms(&self) -> f64 {
        let longest_ms = self.classes.iter().map(|class| class.target_ms).fold(2000.0, f64::max);
        self.length_ms + longest_ms
    }
}

impl Simulation {
    fn schedule(&mut self, at: f64, event: SimEvent) {
        self.event_count += 1;
        let at_us = (at.max(self.now) * 1000.0) as u64;
        self.events.push(Reverse(ScheduledEvent { at_us, number: self.event_count, event }));
    }

    fn new_mixer(&self, seed: u64) -> Mixer {
        let scenario = &self.scenario;
        let table_types = scenario.classes.iter().map(|class| TableType {
            target_ms: class.target_ms,
            query_timeout_ms: class.timeout_targets * class.target_ms,
            benefit: 1.0,
            late_benefit_share: 0.2,
            target_ms_per_work_ms: 0.0,
            idempotency: class.idempotency,
            required_weight: class.required_weight,
            minimum_weight: class.required_weight,
            partial_benefit_share: 0.9,
            has_second_step: false,
        });
        let layout = Layout {
            cells: scenario.searchers as u32,
            cells_per_shard: scenario.cells_per_shard,
            parts_per_call: 1,
            call_work_ms: 0.0,
        };
        let customers = vec![Customer { scans_per_s: 1000.0, over_quota_benefit_share: 0.2 }];
        let mixers = (scenario.mixers as f64 * scenario.stated_mixers) as u32;
        let placement = Placement { mixers: mixers.max(1), zone: 0 };
        Mixer::new(
            seed,
            table_types.collect(),
            customers,
            layout,
            scenario.limits.clone(),
            scenario.permissions.clone(),
            placement,
        )
    }

    /// The whole list, as a mixer has it.
    fn list_event(&self, mixer: usize) -> Event {
        let searchers = self.lists[mixer].iter().enumerate().map(|(searcher, entry)| ListedSearcher {
            searcher: address(searcher),
            cell: searcher as u32,
            zone: searcher as u16 % self.scenario.zones,
            started_at: entry.started_at,
            status: entry.status,
        });
        Event::List { kind: ListKind::Full, searchers: searchers.collect() }
    }

    fn send_list(&mut self, mixer: usize) {
        let list = self.list_event(mixer);
        self.mixers[mixer].inbox.push(list);
    }

    fn run(&mut self, seed: u64) {
        for nth in 0..self.scenario.mixers {
            let mixer = self.new_mixer(seed * 10_000 + nth as u64);
            self.mixers.push(MixerProcess { mixer, inbox: Vec::new(), process: 0 });
            self.send_list(nth);
            let at = self.random.rand_float() * 20.0;
            self.schedule(at, SimEvent::Wake { mixer: nth, process: 0 });
        }
        self.schedule_faults();
        self.schedule(0.0, SimEvent::RequestScan);
        while let Some(Reverse(ScheduledEvent { at_us, event, .. })) = self.events.pop() {
            self.now = at_us as f64 / 1000.0;
            if self.now > self.scenario.end_ms() {
                break;
            }
            if let Some(mixer) = self.handle(event) {
                self.run_mixer(mixer);
            }
        }
    }

    fn schedule_faults(&mut self) {
        let removed_after_ms = self.scenario.silence.as_ref().and_then(|silence| silence.removed_after_ms);
        if let Some(removed_after_ms) = removed_after_ms {
            for mixer in 0..self.scenario.mixers {
                let at = FIRST_FAULT_MS + removed_after_ms + self.random.rand_float() * REMOVAL_NOTICE_MS;
                self.schedule(at, SimEvent::LearnRemovals { mixer });
            }
        }
        for Restart { searcher, at } in self.scenario.restarts() {
            if let Some(silence) = &self.scenario.silence {
                self.schedule(at - silence.duration_ms, SimEvent::SilenceSearcher { searcher });
            }
            self.schedule(at, SimEvent::RestartSearcher { searcher });
            if let Some(second_ms) = self.scenario.second_restart_ms {
                self.schedule(at + second_ms, SimEvent::RestartSearcher { searcher });
            }
        }
        if self.scenario.mixer_restarts > 0.0 {
            let batch = self.scenario.mixers as f64 * self.scenario.mixer_restarts;
            for mixer in 0..self.scenario.mixers {
                let at = FIRST_FAULT_MS + 500.0 * (mixer as f64 / batch).floor();
                self.schedule(at, SimEvent::RestartMixer { mixer });
            }
        }
    }

    /// Handles an event. Returns the mixer that has to handle its inbox, if any.
    fn handle(&mut self, event: SimEvent) -> Option<usize> {
        match event {
            SimEvent::RequestScan => self.request_next_scan(),
            SimEvent::Arrive { searcher, attempt } => {
                self.arrive(searcher, attempt);
                None
            }
            SimEvent::FinishJob { searcher, job } => {
                self.finish_job(searcher, job);
                None
            }
            SimEvent::Answer { attempt } => self.end_attempt(attempt, DispatchOutcome::Ok),
            SimEvent::TimeOut { attempt } => self.end_attempt(attempt, DispatchOutcome::TimedOut),
            SimEvent::Wake { mixer, process } => self.tell_process(mixer, process, Event::Wake),
            SimEvent::RestartSearcher { searcher } => {
                self.restart_searcher(searcher);
                None
            }
            SimEvent::SilenceSearcher { searcher } => {
                self.silence_searcher(searcher);
                None
            }
            SimEvent::LearnRemovals { mixer } => {
                for (entry, searcher) in self.lists[mixer].iter_mut().zip(&self.searchers) {
                    if searcher.silent {
                        entry.status = SearcherStatus::Gone;
                    }
                }
                self.send_list(mixer);
                Some(mixer)
            }
            SimEvent::ProbeTimedOut { mixer, process, searcher } => {
                let outcome = DispatchOutcome::TimedOut;
                let searcher = address(searcher);
                let event = Event::ProbeEnded { searcher, outcome, took_ms: PROBE_TIMEOUT_MS };
                self.tell_process(mixer, process, event)
            }
            SimEvent::LearnRestart { mixer, searcher, started_at_us } => {
                let started_at = EPOCH_MS + started_at_us as f64 / 1000.0;
                self.lists[mixer][searcher] = ListEntry { started_at, status: SearcherStatus::Ready };
                self.send_list(mixer);
                Some(mixer)
            }
            SimEvent::RestartMixer { mixer } => {
                self.restart_mixer(mixer);
                Some(mixer)
            }
        }
    }

    /// Draws a mixer and a table type, and sends the mixer a scan.
    fn request_next_scan(&mut self) -> Option<usize> {
        if self.now >= self.scenario.length_ms {
            return None;
        }
        let interval_ms = self.scenario.interval_ms(self.now, self.random.rand_float());
        self.schedule(self.now + interval_ms, SimEvent::RequestScan);
        let mixer = draw_weighted(&mut self.random, self.weights.iter().copied())?;
        let shares = self.scenario.classes.iter().map(|class| class.share);
        let class = draw_weighted(&mut self.random, shares)?;
        self.request_scan(mixer, class);
        Some(mixer)
    }

    fn finish_job(&mut self, searcher: usize, job: u64) {
        let Some(Job { attempt, .. }) = self.jobs.remove(&job) else { return };
        self.schedule(self.now + ONE_WAY_MS, SimEvent::Answer { attempt });
        self.update_busy(searcher);
        self.searchers[searcher].running_jobs -= 1;
        if let Some(next) = self.searchers[searcher].queue.pop_front() {
            self.start_job(searcher, next);
        }
    }

    /// Ends an attempt in flight, and returns its mixer.
    fn end_attempt(&mut self, attempt: Attempt, outcome: DispatchOutcome) -> Option<usize> {
        let InFlight { searcher, sent_at } = self.in_flight.remove(&attempt)?;
        let event = self.ended_event(attempt, searcher, outcome, self.now - sent_at);
        self.mixers[attempt.mixer].inbox.push(event);
        Some(attempt.mixer)
    }

    fn tell_process(&mut self, mixer: usize, process: u64, event: Event) -> Option<usize> {
        if self.mixers[mixer].process != process {
            return None;
        }
        self.mixers[mixer].inbox.push(event);
        Some(mixer)
    }

    fn restart_searcher(&mut self, searcher: usize) {
        self.measure_windows(searcher);
        let restarted = &mut self.searchers[searcher];
        restarted.started_at = self.now;
        restarted.silent = false;
        restarted.cold_calls.clear();
        let started_at_us = (self.now * 1000.0) as u64;
        for mixer in 0..self.scenario.mixers {
            let at = self.now + self.random.rand_float() * self.scenario.restart_notice_ms;
            self.schedule(at, SimEvent::LearnRestart { mixer, searcher, started_at_us });
        }
    }

    /// What the searcher works on is lost, and no mixer is told.
    fn silence_searcher(&mut self, searcher: usize) {
        self.update_busy(searcher);
        self.jobs.retain(|_, job| job.searcher != searcher);
        let silenced = &mut self.searchers[searcher];
        silenced.silent = true;
        silenced.running_jobs = 0;
        silenced.queue.clear();
    }

    fn restart_mixer(&mut self, mixer: usize) {
        let process = self.mixers[mixer].process + 1;
        let seed = self.random.rand_u64();
        self.seen_rejections[mixer].fill([0; REJECTION_REASONS]);
        self.mixers[mixer] = MixerProcess { mixer: self.new_mixer(seed), inbox: Vec::new(), process };
        self.in_flight.retain(|attempt, _| attempt.mixer != mixer);
        self.send_list(mixer);
    }

    /// Updates the averaged busy share. To be called before the count of running jobs changes or is reported.
    fn update_busy(&mut self, searcher: usize) {
        let searcher = &mut self.searchers[searcher];
        let weight = 1.0 - ((searcher.busy_updated_at - self.now) / BUSY_AVERAGE_MS).exp();
        let busy = searcher.running_jobs as f64 / self.scenario.cores as f64;
        searcher.busy += weight * (busy - searcher.busy);
        searcher.busy_updated_at = self.now;
    }

    fn ended_event(
        &mut self,
        attempt: Attempt,
        searcher: usize,
        outcome: DispatchOutcome,
        took_ms: f64,
    ) -> Event {
        let Attempt { part, dispatch, .. } = attempt;
        self.last_outcomes.insert(part, outcome);
        let is_answer = self.scenario.reports_busy && outcome == DispatchOutcome::Ok;
        let busy = is_answer.then_some(self.searchers[searcher].busy);
        Event::DispatchEnded { part, dispatch, searcher: address(searcher), outcome, took_ms, busy }
    }

    fn is_any_cold(&self) -> bool {
        let warm_up_ms = self.scenario.limits.warm_up_ms;
        let is_cold =
            |searcher: &Searcher| searcher.started_at > 0.0 && self.now - searcher.started_at < warm_up_ms;
        self.now >= FIRST_FAULT_MS && self.searchers.iter().any(is_cold)
    }

    fn request_scan(&mut self, mixer: usize, class: usize) {
        self.last_id += 1;
        let id = self.last_id;
        let number = id as u32;
        let ScanClass { parts, target_ms, timeout_targets, unequal_weights, .. } =
            self.scenario.classes[class].clone();
        let record = self.simulated.scans.len();
        self.scans.insert(id, OpenScan { class, requested_at: self.now, record });
        self.simulated.counts[class].requested += 1;
        if self.is_any_cold() {
            self.simulated.counts_while_cold[class].requested += 1;
        }
        self.mixers[mixer].inbox.push(Event::Scan {
            id,
            number,
            table_type: class,
            customer: 0,
            deadline_at: EPOCH_MS + self.now + timeout_targets * target_ms,
            work_ms: None,
            retry: false,
        });
        let first_shard = self.random.rand_range(0..self.scenario.searchers as u64) as u32;
        let weights = if unequal_weights {
            self.draw_weights(parts)
        } else {
            vec![1.0 / f64::from(parts); parts as usize]
        };
        for (nth, weight) in (0..parts).zip(weights.iter().copied()) {
            self.last_id += 1;
            self.parts.insert(self.last_id, class);
            let shard = (first_shard + nth) % self.scenario.searchers as u32;
            self.mixers[mixer].inbox.push(Event::Part { id: self.last_id, number, shard, weight });
        }
        let at = self.now;
        self.simulated.scans.push(ScanRecord { at, class, first_shard, weights, end: ScanEnd::Open });
    }

    /// Unequal weights: rounded to six digits, as they are sent, and then scaled to a sum of one, as they are
    /// read.
    fn draw_weights(&mut self, parts: u32) -> Vec<f64> {
        let drawn: Vec<f64> = (0..parts).map(|_| 0.5 + self.random.rand_float()).collect();
        let sum: f64 = drawn.iter().sum();
        let rounded: Vec<f64> = drawn.iter().map(|weight| (weight / sum * 1e6).round() / 1e6).collect();
        let sum: f64 = rounded.iter().sum();
        rounded.iter().map(|weight| weight / sum).collect()
    }

    /// An attempt reaches its searcher.
    fn arrive(&mut self, searcher: usize, attempt: Attempt) {
        let Some(class) = self.parts.get(&attempt.part).copied() else { return };
        let work_ms = self.scenario.classes[class].work_ms;
        if self.searchers[searcher].silent {
            return;
        }
        self.record_cold_call(searcher, attempt, work_ms);
        let reached = &mut self.searchers[searcher];
        if reached.running_jobs < self.scenario.cores {
            self.start_job(searcher, attempt);
        } else if reached.queue.len() < QUEUE_LIMIT {
            reached.queue.push_back(attempt);
        } else {
            self.end_attempt(attempt, DispatchOutcome::Full);
        }
    }

    /// Counts a call to a cold searcher. The rule does not count what a mixer sends before it has learned of
    /// the restart.
    fn record_cold_call(&mut self, searcher: usize, attempt: Attempt, work_ms: f64) {
        let listed_start = self.lists[attempt.mixer][searcher].started_at;
        let reached = &mut self.searchers[searcher];
        let has_learned = listed_start == EPOCH_MS + reached.started_at && reached.started_at > 0.0;
        if has_learned && self.now - reached.started_at < self.scenario.limits.warm_up_ms {
            let cause = self.causes.get(&attempt).copied().unwrap_or(Cause::First);
            reached.cold_calls.push(ColdCall { at: self.now, work_ms, cause });
        }
    }

    fn start_job(&mut self, searcher: usize, attempt: Attempt) {
        let Some(class) = self.parts.get(&attempt.part).copied() else { return };
        self.update_busy(searcher);
        self.searchers[searcher].running_jobs += 1;
        self.last_id += 1;
        let job = self.last_id;
        self.jobs.insert(job, Job { searcher, attempt });
        let started_at = self.searchers[searcher].started_at;
        let speed = if started_at > 0.0 { self.scenario.speed(self.now - started_at) } else { 1.0 };
        let slowdown = if self.now >= FIRST_FAULT_MS { self.scenario.slowdown } else { 1.0 };
        let took_ms = self.scenario.classes[class].work_ms * spread(&mut self.random) * slowdown / speed;
        self.schedule(self.now + took_ms, SimEvent::FinishJob { searcher, job });
    }

    /// Passes a mixer its inbox, and carries out its actions.
    fn run_mixer(&mut self, mixer: usize) {
        let events = std::mem::take(&mut self.mixers[mixer].inbox);
        let process = self.mixers[mixer].process;
        for action in self.mixers[mixer].mixer.handle_events(EPOCH_MS + self.now, events) {
            match action {
                Action::Dispatch { part, searcher, timeout_ms } => {
                    self.dispatch(mixer, part, searcher_at(searcher), timeout_ms);
                }
                Action::Cancel { part, dispatch } => self.cancel(Attempt { mixer, part, dispatch }),
                Action::Complete { scan, .. } => self.complete(scan),
                Action::Throttle { scan, .. } => self.end_unanswered(mixer, scan, ScanEnd::Throttled),
                Action::Abandon { scan } => self.end_unanswered(mixer, scan, ScanEnd::Abandoned),
                Action::Probe { searcher } if self.searchers[searcher_at(searcher)].silent => {
                    let searcher = searcher_at(searcher);
                    let timeout = SimEvent::ProbeTimedOut { mixer, process, searcher };
                    self.schedule(self.now + PROBE_TIMEOUT_MS, timeout);
                }
                Action::Probe { searcher } => {
                    let event = Event::ProbeEnded { searcher, outcome: DispatchOutcome::Ok, took_ms: 1.0 };
                    self.mixers[mixer].inbox.push(event);
                }
                Action::WakeAt { at } => self.schedule(at - EPOCH_MS, SimEvent::Wake { mixer, process }),
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, mixer: usize, part: u64, searcher: usize, timeout_ms: f64) {
        let dispatch_count = self.dispatched.entry(part).or_default();
        let attempt = Attempt { mixer, part, dispatch: *dispatch_count };
        *dispatch_count += 1;
        let cause = match self.last_outcomes.remove(&part) {
            _ if attempt.dispatch == 0 => Cause::First,
            None => Cause::Lateness,
            Some(outcome) if outcome.never_ran() => Cause::Refusal,
            Some(_) => Cause::Silence,
        };
        self.causes.insert(attempt, cause);
        self.in_flight.insert(attempt, InFlight { searcher, sent_at: self.now });
        self.schedule(self.now + ONE_WAY_MS, SimEvent::Arrive { searcher, attempt });
        self.schedule(self.now + timeout_ms, SimEvent::TimeOut { attempt });
    }

    fn cancel(&mut self, attempt: Attempt) {
        let Some(InFlight { searcher, .. }) = self.in_flight.get(&attempt) else { return };
        self.searchers[*searcher].queue.retain(|queued| *queued != attempt);
        self.end_attempt(attempt, DispatchOutcome::Cancelled);
    }

    fn complete(&mut self, scan: u64) {
        let Some(OpenScan { class, requested_at, record }) = self.scans.remove(&scan) else { return };
        self.simulated.scans[record].end = ScanEnd::Late;
        if self.now - requested_at <= self.scenario.classes[class].target_ms {
            self.simulated.scans[record].end = ScanEnd::InTime;
            self.simulated.counts[class].in_time += 1;
            let while_cold = requested_at >= FIRST_FAULT_MS && self.is_any_cold();
            self.simulated.counts_while_cold[class].in_time += u32::from(while_cold);
        }
    }

    /// A scan ended without an answer: by a rejection if the mixer counts one more, else as stated.
    fn end_unanswered(&mut self, mixer: usize, scan: u64, end: ScanEnd) {
        let Some(OpenScan { class, record, .. }) = self.scans.remove(&scan) else { return };
        let rejected = self.mixers[mixer].mixer.status().rejected[class];
        let seen = &mut self.seen_rejections[mixer][class];
        let reason = (0..REJECTION_REASONS).find(|reason| seen[*reason] < rejected[*reason]);
        if let Some(reason) = reason {
            seen[reason] += 1;
        }
        self.simulated.scans[record].end = reason.map_or(end, |reason| ScanEnd::Rejected { reason });
    }

    /// Compares what a cold searcher got in every window with what the settings allow.
    fn measure_windows(&mut self, searcher: usize) {
        let scenario = &self.scenario;
        let searcher = &self.searchers[searcher];
        let SafetyLimits { warm_up_ms, overload_window_ms, .. } = scenario.limits;
        if searcher.started_at == 0.0 {
            return;
        }
        let mut window: VecDeque<&ColdCall> = VecDeque::new();
        for call in &searcher.cold_calls {
            window.push_back(call);
            while window.front().is_some_and(|first| first.at < call.at - overload_window_ms) {
                window.pop_front();
            }
            let got_ms: f64 = window.iter().map(|call| call.work_ms).sum();
            let age_ms = (call.at - overload_window_ms - searcher.started_at).max(0.0);
            let capacity_ms = scenario.capacity_ms(age_ms);
            if got_ms / capacity_ms > self.simulated.fullest {
                self.simulated.fullest = got_ms / capacity_ms;
                self.simulated.fullest_calls = Calls::default();
                window.iter().for_each(|call| self.simulated.fullest_calls.add(call.cause));
            }
        }
        let got_ms = searcher.cold_calls.iter().map(|call| call.work_ms).sum::<f64>();
        self.used_calls += got_ms / scenario.mean_work_ms();
        let ages = (0..(warm_up_ms / 100.0) as usize).map(|step| step as f64 * 100.0);
        let allowed = ages.map(|age_ms| scenario.allowed_calls(age_ms) * 100.0 / overload_window_ms);
        self.allowed_calls += allowed.sum::<f64>();
    }

    fn summarize(&mut self) {
        for Restart { searcher, .. } in self.scenario.restarts() {
            self.measure_windows(searcher);
        }
        self.simulated.rejected = vec![[0; REJECTION_REASONS]; self.scenario.classes.len()];
        for MixerProcess { mixer, .. } in &self.mixers {
            for (sums, counts) in self.simulated.rejected.iter_mut().zip(mixer.status().rejected) {
                sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
            }
        }
        self.simulated.used = self.used_calls / self.allowed_calls.max(1.0);
    }
}

/// Draws an index with a probability in proportion to its weight.
fn draw_weighted(random: &mut Rand64, weights: impl Iterator<Item = f64> + Clone) -> Option<usize> {
    let sum: f64 = weights.clone().sum();
    let mut remaining = random.rand_float() * sum;
    let mut weights = weights;
    weights.position(|weight| {
        remaining -= weight;
        remaining <= 0.0
    })
}

impl ScanClass {
    /// Scans of one replayable part.
    pub fn plain() -> Self {
        Self {
            share: 1.0,
            parts: 1,
            required_weight: 1.0,
            work_ms: 50.0,
            target_ms: 600.0,
            timeout_targets: 2.0,
            idempotency: Idempotency::Replayable,
            unequal_weights: false,
        }
    }
}

/// All permissions, with a list that comes by itself.
pub fn permissions() -> Permissions {
    Permissions {
        cancel: true,
        probe: true,
        hedge: true,
        max_dispatches: 3,
        retry_after_ms: Some(500.0),
        resubscribe_within_ms: None,
    }
}

impl Scenario {
    /// A scenario drawn within the bounds of the operators' pages.
    pub fn drawn(seed: u64) -> Self {
        let mut random = Rand64::new(u128::from(seed) + 77);
        let mut between = |low: f64, high: f64| low + (high - low) * random.rand_float();
        let mixers = [2, 20, 30, 100, 300][between(0.0, 5.0) as usize];
        let searchers =
            if mixers >= 100 { between(40.0, 70.0) as usize } else { between(9.0, 20.0) as usize };
        let warm_up_ms = between(5000.0, 15_000.0);
        let overload_window_ms = between(750.0, 3000.0);
        let limits = SafetyLimits {
            cold_capacity_share: between(0.15, 0.5),
            warm_up_ms,
            overload_multiple: between(1.5, 4.0),
            overload_window_ms,
            retry_budget: None,
        };
        let count = between(2.0, 3.99) as usize;
        let classes = (0..count).map(|nth| {
            let work_ms = 10.0 * between(0.0, 3.4).exp();
            let parts = between(1.0, 12.99) as u32;
            let required_weight = if nth == 0 { 1.0 } else { between(0.5, 1.0) };
            let target_ms = (work_ms * between(4.0, 12.0)).max(100.0);
            let share = between(0.06, 1.0);
            ScanClass { share, parts, required_weight, work_ms, target_ms, ..ScanClass::plain() }
        });
        let classes = classes.collect();
        Self {
            mixers,
            uneven: between(1.0, 5.0),
            searchers,
            cells_per_shard: between(2.0, 4.0) as u32,
            cores: between(1.0, 3.99) as usize,
            load: between(0.3, 0.62),
            classes,
            restarting: (searchers as f64 * between(0.1, 0.6)) as usize,
            restart_interval_ms: between(0.0, 300.0),
            restart_stride: 1,
            silence: None,
            gone_neighbors: 0,
            burst: None,
            restart_notice_ms: between(200.0, 4000.0),
            limits,
            permissions: permissions(),
            zones: 1,
            reports_busy: false,
            mixer_restarts: if between(0.0, 1.0) < 0.5 { 0.1 } else { 0.0 },
            second_restart_ms: (between(0.0, 1.0) < 0.2).then_some(2500.0),
            slowdown: if between(0.0, 1.0) < 0.2 { 1.4 } else { 1.0 },
            stated_mixers: if between(0.0, 1.0) < 0.2 { 0.9 } else { 1.0 },
            length_ms: 3000.0 + warm_up_ms + 2000.0,
        }
    }
}
