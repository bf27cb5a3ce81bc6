//! Discrete-event simulation: one queue of timed events, the decision modules, the searchers and the clients.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};

use oorandom::Rand64;
use pewterwharf::interface::*;
use pewterwharf::logic::Mixer;
use pewterwharf_replica::{RecordBatch, RejectReason};

use crate::reports::{MixerReports, PublishedChanges};
use crate::searcher::{Job, Searcher};
use crate::{Fault, FaultPeriod, Fleet, INTERVAL_MS, Interval, RunResult};

/// Start of a run by the module's clock, long after any start time in the list.
const START_MS: f64 = 1_000_000.0;
/// Network delay in one direction.
const NETWORK_MS: f64 = 0.5;
/// Timeout of a probe, as in the mixer's network code.
const PROBE_TIMEOUT_MS: f64 = 250.0;
/// Interval at which a mixer sends new reports.
const REPORT_INTERVAL_MS: f64 = 50.0;
/// Delay after which a mixer receives the records of a message that it missed.
const REPAIR_MS: f64 = 200.0;
/// Delay of a client's retry, unless the answer states one.
const RETRY_MS: f64 = 300.0;
/// Query timeout of a client.
const CLIENT_TIMEOUT_MS: f64 = 1500.0;
/// Time after the last deadline until the simulation stops.
const SETTLE_MS: f64 = 1000.0;

/// The table types: one that requires 60% of the weight, one that requires all of it, and a non-replayable one, which has
/// a single part.
fn table_types(fleet: &Fleet) -> Vec<TableType> {
    let table_type = |idempotency, required_weight: f64| TableType {
        target_ms: fleet.target_ms,
        query_timeout_ms: CLIENT_TIMEOUT_MS,
        benefit: 1.0,
        late_benefit_share: fleet.late_benefit_share,
        target_ms_per_work_ms: 0.0,
        idempotency,
        required_weight,
        minimum_weight: required_weight,
        partial_benefit_share: 0.9,
        has_second_step: false,
    };
    vec![
        table_type(Idempotency::Replayable, 0.6),
        table_type(Idempotency::Replayable, 1.0),
        table_type(Idempotency::NonReplayable, 1.0),
    ]
}

const NON_REPLAYABLE_TYPE: usize = 2;
/// Parts of a scan of each table type.
const PARTS_PER_SCAN: [u32; 3] = [5, 3, 1];
/// Table types of ten typical scans.
const TABLE_TYPE_MIX: [u32; 10] = [0, 0, 0, 0, 1, 1, 1, 1, 2, 2];
const SHARDS: u32 = 64;
/// Distance of the shards of consecutive parts.
const SHARD_STRIDE: u32 = 7;
/// Estimated bytes of a record without its name.
const RECORD_BYTES: u64 = 40;

fn address_of(searcher: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (searcher >> 8) as u8, searcher as u8), 5000)
}

fn searcher_at(address: SocketAddrV4) -> usize {
    let octets = address.ip().octets();
    usize::from(octets[2]) << 8 | usize::from(octets[3])
}

/// A scheduled event. The order is not used, as no two events have the same sequence number.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// A fault begins or ends.
    Fault {
        period: usize,
        begins: bool,
    },
    /// A searcher has finished a job.
    JobFinished {
        searcher: usize,
        job: Job,
    },
    /// A dispatch reaches its searcher.
    DispatchArrives {
        searcher: usize,
        job: Job,
    },
    /// A mixer is notified of the end of a dispatch; ignored if it is no longer in flight.
    DispatchEnds {
        job: Job,
        end: DispatchEnd,
    },
    ProbeEnds {
        mixer: usize,
        searcher: usize,
        ok: bool,
        sent_at_us: u64,
    },
    Wake {
        mixer: usize,
    },
    /// A mixer sends its new reports to the others.
    SendReports {
        mixer: usize,
    },
    /// A message of reports arrives.
    ReportsArrive {
        message: u64,
    },
    /// A mixer receives the records of another that it missed.
    Repair {
        from: usize,
        to: usize,
    },
    /// A client sends a scan, after this number of earlier tries.
    ScanArrives {
        table_type: usize,
        retries: u32,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DispatchEnd {
    Ok,
    TimedOut,
    Error,
    Refused,
    Reset,
}

impl DispatchEnd {
    fn outcome(self) -> DispatchOutcome {
        match self {
            Self::Ok => DispatchOutcome::Ok,
            Self::TimedOut => DispatchOutcome::TimedOut,
            Self::Error => DispatchOutcome::Error,
            Self::Refused => DispatchOutcome::ConnectFailed,
            Self::Reset => DispatchOutcome::Reset,
        }
    }
}

/// Entry of the event queue, ordered by time and then by sequence number.
type ScheduledEvent = Reverse<(u64, u64, SimEvent)>;

struct SimMixer {
    module: Mixer,
    pending_events: Vec<Event>,
}

struct ScanState {
    table_type: usize,
    retries: u32,
    arrived_at: f64,
    deadline_at: f64,
    /// A part of it was sent.
    sent: bool,
}

struct InFlightDispatch {
    searcher: usize,
    sent_at: f64,
}

/// A message of reports between mixers.
struct ReportMessage {
    from: usize,
    to: usize,
    batch: RecordBatch,
}

struct Hang {
    searcher: usize,
    since: f64,
}

/// Final answer to a scan.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Answer {
    Completed,
    Throttled,
    Abandoned,
}

struct Simulation<'a> {
    fleet: &'a Fleet,
    faults: &'a [FaultPeriod],
    rng: Rand64,
    now: f64,
    queue: BinaryHeap<ScheduledEvent>,
    last_sequence_number: u64,
    mixers: Vec<SimMixer>,
    searchers: Vec<Searcher>,
    scans: BTreeMap<u64, ScanState>,
    /// Scan of each part.
    scan_of_part: BTreeMap<u64, u64>,
    in_flight: BTreeMap<Job, InFlightDispatch>,
    /// Number of dispatches of each part.
    dispatch_counts: BTreeMap<u64, u8>,
    /// Non-replayable parts that have run.
    ran: BTreeSet<u64>,
    last_id: u64,
    /// Replicas of the mixers, if they exchange reports.
    reports: Vec<MixerReports>,
    messages: BTreeMap<u64, ReportMessage>,
    first_hang: Option<Hang>,
    /// Mixers that have marked the searcher of the first hang.
    marked_by: BTreeSet<usize>,
    result: RunResult,
    end_ms: f64,
}

/// Simulates a run of `length_ms` milliseconds.
pub fn simulate(fleet: &Fleet, faults: &[FaultPeriod], length_ms: f64, seed: u64) -> RunResult {
    let mut simulation = Simulation::new(fleet, faults, length_ms, seed);
    simulation.run();
    simulation.result
}

fn new_module(fleet: &Fleet, mixer: usize, seed: u64) -> Mixer {
    let layout =
        Layout { cells: fleet.sets as u32, cells_per_shard: 1, parts_per_call: 1, call_work_ms: 0.0 };
    let safety_limits = SafetyLimits {
        cold_capacity_share: 0.3,
        warm_up_ms: 4000.0,
        overload_multiple: 2.0,
        overload_window_ms: 1000.0,
        retry_budget: None,
    };
    let permissions = Permissions {
        cancel: true,
        probe: true,
        hedge: true,
        max_dispatches: 3,
        retry_after_ms: Some(500.0),
        resubscribe_within_ms: None,
    };
    let placement = Placement { mixers: fleet.mixers as u32, zone: (mixer % 2) as u16 };
    let customers = vec![Customer { scans_per_s: fleet.scans_per_s, over_quota_benefit_share: 0.2 }];
    let seed = seed.wrapping_mul(1000).wrapping_add(mixer as u64);
    Mixer::new(seed, table_types(fleet), customers, layout, safety_limits, permissions, placement)
}

impl<'a> Simulation<'a> {
    fn new(fleet: &'a Fleet, faults: &'a [FaultPeriod], length_ms: f64, seed: u64) -> Self {
        let intervals = vec![Interval::default(); (length_ms / INTERVAL_MS) as usize];
        let new_mixer =
            |mixer| SimMixer { module: new_module(fleet, mixer, seed), pending_events: Vec::new() };
        let mut simulation = Self {
            fleet,
            faults,
            rng: Rand64::new(u128::from(seed)),
            now: 0.0,
            queue: BinaryHeap::new(),
            last_sequence_number: 0,
            mixers: (0..fleet.mixers).map(new_mixer).collect(),
            searchers: (0..fleet.searchers()).map(|_| Searcher::new(fleet.cores)).collect(),
            scans: BTreeMap::new(),
            scan_of_part: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            dispatch_counts: BTreeMap::new(),
            ran: BTreeSet::new(),
            last_id: 0,
            reports: Vec::new(),
            messages: BTreeMap::new(),
            first_hang: None,
            marked_by: BTreeSet::new(),
            result: RunResult { intervals, ..RunResult::default() },
            end_ms: length_ms,
        };
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        let fleet = self.fleet;
        let searchers: Vec<ListedSearcher> =
            (0..fleet.searchers()).map(|s| self.list_entry(s, 0.0)).collect();
        for mixer in 0..fleet.mixers {
            self.notify(mixer, Event::List { kind: ListKind::Full, searchers: searchers.clone() });
            self.schedule(0.0, SimEvent::Wake { mixer });
        }
        if fleet.reports.is_some() {
            self.reports = (0..fleet.mixers).map(|m| MixerReports::new(m, fleet.mixers)).collect();
        }
        for mixer in 0..fleet.mixers {
            let offset_ms = REPORT_INTERVAL_MS * mixer as f64 / fleet.mixers as f64;
            self.schedule(offset_ms, SimEvent::SendReports { mixer });
        }
        for (period, fault) in self.faults.iter().enumerate() {
            self.schedule(fault.from_ms, SimEvent::Fault { period, begins: true });
            self.schedule(fault.to_ms, SimEvent::Fault { period, begins: false });
        }
        self.schedule_next_scan();
    }

    fn list_entry(&self, searcher: usize, started_at: f64) -> ListedSearcher {
        ListedSearcher {
            searcher: address_of(searcher),
            cell: (searcher / self.fleet.searchers_per_set) as u32,
            zone: self.fleet.zone_of(searcher) as u16,
            started_at,
            status: SearcherStatus::Ready,
        }
    }

    fn schedule(&mut self, at: f64, event: SimEvent) {
        self.last_sequence_number += 1;
        // Whole microseconds, as `f64` has no total order.
        let at_us = (at.max(self.now) * 1000.0) as u64;
        self.queue.push(Reverse((at_us, self.last_sequence_number, event)));
    }

    /// Adds an event for a mixer's next call.
    fn notify(&mut self, mixer: usize, event: Event) {
        self.mixers[mixer].pending_events.push(event);
    }

    fn active_faults(&self) -> impl Iterator<Item = &Fault> {
        let now = self.now;
        self.faults.iter().filter(move |p| p.from_ms <= now && now < p.to_ms).map(|p| &p.fault)
    }

    fn schedule_next_scan(&mut self) {
        let load_factor = |fault: &Fault| if let Fault::Load { factor } = fault { *factor } else { 1.0 };
        let factor: f64 = self.active_faults().map(load_factor).product();
        let mean_ms = 1000.0 / (self.fleet.scans_per_s * factor);
        let at = self.now - mean_ms * (1.0 - self.rng.rand_float()).ln();
        let table_type = TABLE_TYPE_MIX[self.rng.rand_range(0..10) as usize] as usize;
        self.schedule(at, SimEvent::ScanArrives { table_type, retries: 0 });
    }

    fn run(&mut self) {
        // Scans that arrive last still have their full timeout.
        let last = self.end_ms + CLIENT_TIMEOUT_MS + SETTLE_MS;
        while let Some(Reverse((at_us, _, event))) = self.queue.pop() {
            self.now = at_us as f64 / 1000.0;
            if self.now > last {
                break;
            }
            self.handle(event);
            self.call_mixers();
        }
        self.result.unanswered += self.scans.len() as u32;
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Fault { period, begins } => self.change_fault(period, begins),
            SimEvent::ScanArrives { table_type, retries } => {
                if retries == 0 && self.now < self.end_ms {
                    self.schedule_next_scan();
                }
                if self.now < self.end_ms {
                    self.start_scan(table_type, retries);
                }
            }
            SimEvent::DispatchArrives { searcher, job } => self.start_dispatch(searcher, job),
            SimEvent::JobFinished { searcher, job } => self.finish_job(searcher, job),
            SimEvent::DispatchEnds { job, end } => self.end_dispatch(job, end),
            SimEvent::ProbeEnds { mixer, searcher, ok, sent_at_us } => {
                let outcome = if ok { DispatchOutcome::Ok } else { DispatchOutcome::TimedOut };
                let took_ms = self.now - sent_at_us as f64 / 1000.0;
                let searcher = address_of(searcher);
                self.notify(mixer, Event::ProbeEnded { searcher, outcome, took_ms });
            }
            SimEvent::Wake { mixer } => self.notify(mixer, Event::Wake),
            SimEvent::SendReports { mixer } => self.send_reports(mixer),
            SimEvent::ReportsArrive { message } => {
                if let Some(ReportMessage { from, to, batch }) = self.messages.remove(&message) {
                    self.receive_reports(from, to, &batch);
                }
            }
            SimEvent::Repair { from, to } => {
                let now = START_MS + self.now;
                let batches = self.reports[from].delta(now, &self.reports[to]);
                batches.iter().for_each(|batch| self.receive_reports(from, to, batch));
            }
        }
    }

    fn finish_job(&mut self, searcher: usize, job: Job) {
        if !self.searchers[searcher].end(job) {
            return;
        }
        let loss_share = self.active_faults().find_map(|fault| match fault {
            Fault::AnswersLost { searchers, share } if searchers.contains(&searcher) => Some(*share),
            _ => None,
        });
        let lost = loss_share.is_some_and(|share| self.rng.rand_float() < share);
        if !lost {
            self.schedule(self.now + NETWORK_MS, SimEvent::DispatchEnds { job, end: DispatchEnd::Ok });
        }
        self.start_jobs(searcher);
    }

    fn end_dispatch(&mut self, job: Job, end: DispatchEnd) {
        let Some(InFlightDispatch { searcher, sent_at }) = self.in_flight.remove(&job) else { return };
        if end == DispatchEnd::TimedOut {
            self.searchers[searcher].cancel(job);
        }
        self.notify_end(job, searcher, end.outcome(), self.now - sent_at);
    }

    /// Sends the new reports of a mixer to all others.
    fn send_reports(&mut self, mixer: usize) {
        let now = START_MS + self.now;
        if self.now < self.end_ms {
            self.schedule(self.now + REPORT_INTERVAL_MS, SimEvent::SendReports { mixer });
        }
        let observed: Vec<_> = self.mixers[mixer].module.observed_searchers().collect();
        if let Some(Hang { searcher, since }) = self.first_hang
            && observed.iter().any(|o| o.marked && searcher_at(o.searcher) == searcher)
            && self.marked_by.insert(mixer)
        {
            let marked_after_ms = self.now - since;
            self.result.marked_after_ms.push(marked_after_ms);
        }
        let Some(exchange) = self.fleet.reports else { return };
        let reports_all_slow = exchange.faulty_mixer == Some(mixer);
        let PublishedChanges { mut events, batch } =
            self.reports[mixer].publish_changes(now, &observed, reports_all_slow);
        events.extend(self.reports[mixer].tick(now));
        for event in events {
            self.notify(mixer, event);
        }
        let Some(batch) = batch else { return };
        for to in (0..self.fleet.mixers).filter(|to| *to != mixer) {
            self.result.report_bytes +=
                batch.records.iter().map(|r| r.name.len() as u64 + RECORD_BYTES).sum::<u64>();
            if self.rng.rand_float() < exchange.loss_share {
                // The receiver detects the gap at the next message, unless the repair has filled it before.
                self.schedule(self.now + REPAIR_MS, SimEvent::Repair { from: mixer, to });
                continue;
            }
            self.last_id += 1;
            let message = ReportMessage { from: mixer, to, batch: batch.clone() };
            self.messages.insert(self.last_id, message);
            let at = self.now + NETWORK_MS + exchange.max_delay_ms * self.rng.rand_float();
            self.schedule(at, SimEvent::ReportsArrive { message: self.last_id });
        }
    }

    fn receive_reports(&mut self, from: usize, to: usize, batch: &RecordBatch) {
        match self.reports[to].receive(START_MS + self.now, from, batch) {
            Ok(events) => events.into_iter().for_each(|event| self.notify(to, event)),
            Err(RejectReason::Gap) => {
                self.schedule(self.now + REPAIR_MS, SimEvent::Repair { from, to });
            }
            Err(_) => {}
        }
    }

    fn notify_end(&mut self, job: Job, searcher: usize, outcome: DispatchOutcome, took_ms: f64) {
        let Job { mixer, part, dispatch, .. } = job;
        let searcher = address_of(searcher);
        self.notify(mixer, Event::DispatchEnded { part, dispatch, searcher, outcome, took_ms, busy: None });
    }

    /// Applies the begin or end of a fault that changes searchers. The others are looked up where they have an effect, see
    /// [`Self::active_faults`].
    fn change_fault(&mut self, period: usize, begins: bool) {
        let fault = self.faults[period].fault.clone();
        match fault {
            Fault::Hang { searchers } => {
                if begins && self.first_hang.is_none() {
                    let hang = |searcher: &usize| Hang { searcher: *searcher, since: self.now };
                    self.first_hang = searchers.first().map(hang);
                }
                for searcher in searchers {
                    self.searchers[searcher].hangs = begins;
                    self.start_jobs(searcher);
                }
            }
            Fault::Crash { searchers } => {
                for searcher in &searchers {
                    self.searchers[*searcher].down = begins;
                    for job in self.searchers[*searcher].crash() {
                        let event = SimEvent::DispatchEnds { job, end: DispatchEnd::Reset };
                        self.schedule(self.now + NETWORK_MS, event);
                    }
                }
                if !begins {
                    self.list_restarted(&searchers);
                }
            }
            _ => {}
        }
    }

    /// Lists searchers with a new start time to all mixers.
    fn list_restarted(&mut self, restarted: &[usize]) {
        let started_at = START_MS + self.now;
        let searchers: Vec<ListedSearcher> =
            restarted.iter().map(|s| self.list_entry(*s, started_at)).collect();
        for mixer in 0..self.mixers.len() {
            self.notify(mixer, Event::List { kind: ListKind::Changes, searchers: searchers.clone() });
        }
    }

    fn start_scan(&mut self, table_type: usize, retries: u32) {
        let mixer = self.rng.rand_range(0..self.mixers.len() as u64) as usize;
        self.last_id += 1;
        let id = self.last_id;
        let number = self.last_id as u32;
        let deadline_at = self.now + CLIENT_TIMEOUT_MS;
        let scan = ScanState { table_type, retries, arrived_at: self.now, deadline_at, sent: false };
        self.scans.insert(id, scan);
        if retries == 0 {
            self.interval_at(self.now).arrived += 1;
        }
        let event = Event::Scan {
            id,
            number,
            table_type,
            customer: 0,
            deadline_at: START_MS + deadline_at,
            work_ms: None,
            retry: retries > 0,
        };
        self.notify(mixer, event);
        let parts = PARTS_PER_SCAN[table_type];
        let first_shard = self.rng.rand_range(0..u64::from(SHARDS)) as u32;
        for nth in 0..parts {
            self.last_id += 1;
            let part = self.last_id;
            self.scan_of_part.insert(part, id);
            let shard = (first_shard + nth * SHARD_STRIDE) % SHARDS;
            self.notify(mixer, Event::Part { id: part, number, shard, weight: 1.0 / f64::from(parts) });
        }
    }

    fn interval_at(&mut self, at: f64) -> &mut Interval {
        let last = self.result.intervals.len() - 1;
        &mut self.result.intervals[((at / INTERVAL_MS) as usize).min(last)]
    }

    fn start_dispatch(&mut self, searcher: usize, job: Job) {
        if !self.in_flight.contains_key(&job) {
            return; // cancelled before it arrived
        }
        let mut has_errors = false;
        let mut slow_factor = 1.0;
        for fault in self.active_faults() {
            match fault {
                Fault::Errors { searchers } if searchers.contains(&searcher) => has_errors = true,
                Fault::Slow { searchers, factor } if searchers.contains(&searcher) => slow_factor *= factor,
                Fault::SlowType { table_type, factor } if *table_type == job.table_type => {
                    slow_factor *= factor;
                }
                _ => {}
            }
        }
        if self.searchers[searcher].down {
            let event = SimEvent::DispatchEnds { job, end: DispatchEnd::Refused };
            return self.schedule(self.now + NETWORK_MS, event);
        }
        if has_errors {
            let event = SimEvent::DispatchEnds { job, end: DispatchEnd::Error };
            return self.schedule(self.now + NETWORK_MS, event);
        }
        if job.table_type == NON_REPLAYABLE_TYPE && !self.ran.insert(job.part) {
            self.result.ran_twice += 1;
        }
        // Half of a part's work is constant, half is exponentially distributed.
        let work_ms = self.fleet.part_ms * slow_factor * (0.5 - 0.5 * (1.0 - self.rng.rand_float()).ln());
        self.searchers[searcher].enqueue(job, work_ms);
        self.start_jobs(searcher);
    }

    fn start_jobs(&mut self, searcher: usize) {
        while let Some((job, work_ms)) = self.searchers[searcher].start_next() {
            self.schedule(self.now + work_ms, SimEvent::JobFinished { searcher, job });
        }
    }

    /// Calls every mixer that has events, until none has any.
    fn call_mixers(&mut self) {
        for mixer in 0..self.mixers.len() {
            while !self.mixers[mixer].pending_events.is_empty() {
                let SimMixer { module, pending_events } = &mut self.mixers[mixer];
                let actions = module.handle_events(START_MS + self.now, std::mem::take(pending_events));
                actions.into_iter().for_each(|action| self.execute(mixer, action));
            }
        }
    }

    fn execute(&mut self, mixer: usize, action: Action) {
        match action {
            Action::Dispatch { part, searcher, timeout_ms } => {
                self.send_dispatch(mixer, part, searcher_at(searcher), timeout_ms);
            }
            Action::Cancel { part, dispatch } => self.cancel(part, dispatch),
            Action::Complete { scan, .. } => self.answer(scan, Answer::Completed),
            Action::Throttle { scan, retry_after_ms } => {
                self.schedule_retry(scan, retry_after_ms.unwrap_or(RETRY_MS));
                self.answer(scan, Answer::Throttled);
            }
            Action::Abandon { scan } => {
                self.schedule_retry(scan, RETRY_MS);
                self.answer(scan, Answer::Abandoned);
            }
            Action::Probe { searcher } => self.send_probe(mixer, searcher_at(searcher)),
            Action::WakeAt { at } => self.schedule(at - START_MS, SimEvent::Wake { mixer }),
            Action::CloseIdleConnections { .. } | Action::Subscribe | Action::Log { .. } => {}
        }
    }

    fn send_dispatch(&mut self, mixer: usize, part: u64, searcher: usize, timeout_ms: f64) {
        let scan = self.scan_of_part.get(&part).and_then(|scan| self.scans.get_mut(scan));
        let table_type = scan.as_ref().map_or(0, |s| s.table_type);
        let arrived_at = scan.as_ref().map_or(self.now, |s| s.arrived_at);
        if let Some(scan) = scan {
            scan.sent = true;
        }
        let dispatch_count = self.dispatch_counts.entry(part).or_default();
        let job = Job { mixer, part, dispatch: *dispatch_count, table_type };
        *dispatch_count += 1;
        self.result.dispatches_to_hung += u32::from(self.searchers[searcher].hangs);
        self.in_flight.insert(job, InFlightDispatch { searcher, sent_at: self.now });
        self.interval_at(arrived_at).dispatches += 1;
        self.schedule(self.now + NETWORK_MS, SimEvent::DispatchArrives { searcher, job });
        let timeout = SimEvent::DispatchEnds { job, end: DispatchEnd::TimedOut };
        self.schedule(self.now + timeout_ms, timeout);
    }

    fn cancel(&mut self, part: u64, dispatch: u8) {
        let job = self.in_flight.keys().find(|j| j.part == part && j.dispatch == dispatch).copied();
        let Some(job) = job else { return };
        let Some(InFlightDispatch { searcher, sent_at }) = self.in_flight.remove(&job) else { return };
        self.searchers[searcher].cancel(job);
        self.notify_end(job, searcher, DispatchOutcome::Cancelled, self.now - sent_at);
    }

    fn send_probe(&mut self, mixer: usize, searcher: usize) {
        let state = &self.searchers[searcher];
        let ok = !state.hangs && !state.down;
        let ends_at = self.now + if ok { 2.0 * NETWORK_MS } else { PROBE_TIMEOUT_MS };
        let sent_at_us = (self.now * 1000.0) as u64;
        self.schedule(ends_at, SimEvent::ProbeEnds { mixer, searcher, ok, sent_at_us });
    }

    /// Schedules the retry of a client whose scan was not completed, unless it has used up its retries.
    fn schedule_retry(&mut self, scan: u64, delay_ms: f64) {
        let Some(state) = self.scans.get(&scan) else { return };
        if state.retries < self.fleet.retries {
            let retry = SimEvent::ScanArrives { table_type: state.table_type, retries: state.retries + 1 };
            self.schedule(self.now + delay_ms, retry);
        }
    }

    fn answer(&mut self, scan: u64, answer: Answer) {
        let Some(state) = self.scans.remove(&scan) else { return };
        if self.now > state.deadline_at {
            self.result.unanswered += 1;
        }
        let in_time = answer == Answer::Completed && self.now - state.arrived_at <= self.fleet.target_ms;
        if state.retries > 0 {
            return;
        }
        let interval = self.interval_at(state.arrived_at);
        interval.in_time += u32::from(in_time);
        interval.refused += u32::from(answer == Answer::Throttled && !state.sent);
    }
}
