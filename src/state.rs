//! State of the decision module's actors, and the messages that they send each other. The decisions are in
//! `src/logic.rs` and `src/logic/`; `src/logic.rs` also says what the terms and units mean.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;

use oorandom::Rand64;

use crate::interface::{
    Action, DispatchOutcome, Event, Layout, Permissions, SafetyLimits, SearcherStatus, TableType,
};
use crate::logic::{BudgetWindow, CustomerTraffic, SlidingTotals};
use crate::report::{MarkEvidence, REJECTION_REASONS};

/// Index of a searcher: the same in [`Scheduler::searchers`] and in [`Mixer::monitors`].
pub(crate) type SearcherIndex = usize;
/// Key of a scan in [`Scheduler::scans`]; grows with every scan.
pub(crate) type ScanIndex = usize;
/// Index of a table type in the settings.
pub(crate) type TypeIndex = usize;
/// Number of a zone.
pub(crate) type Zone = usize;

/// One dispatch of a part, counted from zero for each part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DispatchId {
    pub part: u64,
    pub number: u8,
}

/// A latency compared with the baseline of its table type. A slow searcher delays parts of all table types by
/// the same ratio, a queue delays them by the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelativeLatency {
    /// Latency divided by the baseline latency.
    pub ratio: f64,
    /// Latency beyond the baseline latency.
    pub excess_ms: f64,
}

impl RelativeLatency {
    /// The latency that is normal for its table type.
    pub const NORMAL: Self = Self { ratio: 1.0, excess_ms: 0.0 };

    /// Moves towards `target` by the share `weight` of the distance, as an exponentially weighted moving
    /// average does.
    pub fn toward(self, target: Self, weight: f64) -> Self {
        Self {
            ratio: self.ratio + weight * (target.ratio - self.ratio),
            excess_ms: self.excess_ms + weight * (target.excess_ms - self.excess_ms),
        }
    }

    /// Moves towards `target` by an exponential decay with the time constant `decay_ms`. The step is linear,
    /// so that `elapsed_ms` must be much shorter than `decay_ms`.
    pub fn decayed(self, target: Self, elapsed_ms: f64, decay_ms: f64) -> Self {
        Self {
            ratio: self.ratio + (target.ratio - self.ratio) * elapsed_ms / decay_ms,
            excess_ms: self.excess_ms + (target.excess_ms - self.excess_ms) * elapsed_ms / decay_ms,
        }
    }
}

/// What is normal at present. The [`BaselineTracker`] computes it; the other actors hold shared copies.
#[derive(Debug)]
pub(crate) struct Baseline {
    /// Average latency of a part, by table type.
    pub latency_ms: Vec<f64>,
    /// Estimated work of a part, without queueing, by table type.
    pub work_ms: Vec<f64>,
    /// A searcher is marked when the latency ratio of its parts exceeds this.
    pub mark_ratio: f64,
    /// Average relative latency of each zone's parts.
    pub zones: BTreeMap<Zone, RelativeLatency>,
    /// Time constant by which a searcher's latency decays to its zone's average while no part confirms it.
    pub decay_ms: f64,
}

impl Baseline {
    /// Whether a part in flight was overtaken: another part, which was sent later by more than the baseline
    /// latency, has come back from the same searcher. An overtaken part no longer waits in its searcher's
    /// queue: its answer is lost, or its own work is heavy.
    pub fn is_overtaken(&self, table_type: TypeIndex, sent_at: f64, newest_success_sent_at: f64) -> bool {
        newest_success_sent_at > sent_at + self.latency_ms[table_type]
    }
}

/// What a [`SearcherMonitor`] reports to the scheduler.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SearcherHealth {
    /// Smoothed latency of its parts (EWMA).
    pub latency: RelativeLatency,
    /// When a part last confirmed `latency`.
    pub latency_at: f64,
    /// Highest age of a part of this mixer in flight there that was not overtaken, beyond the baseline
    /// latency of its table type.
    pub oldest_excess_ms: f64,
    /// Highest age of a part of this mixer in flight there that was not overtaken, divided by the baseline
    /// latency of its table type.
    pub oldest_ratio: f64,
    /// Calls in flight that were overtaken.
    pub overtaken_calls: u32,
    pub marked: bool,
    /// Gets one part at a time until one comes back in time.
    pub on_trial: bool,
    /// The last part sent to it was refused a connection, or lost it.
    pub disconnected: bool,
    pub mark_evidence: MarkEvidence,
}

impl SearcherHealth {
    /// Health of a searcher that has not answered yet. Its latency counts as normal.
    pub const NEW: Self = Self {
        latency: RelativeLatency::NORMAL,
        latency_at: 0.0,
        oldest_excess_ms: 0.0,
        oldest_ratio: 0.0,
        overtaken_calls: 0,
        marked: false,
        on_trial: false,
        disconnected: false,
        mark_evidence: MarkEvidence { relative_latency: 0.0, parts: 0 },
    };
}

/// A message from one actor to another.
#[derive(Debug)]
pub(crate) enum Message {
    // To a searcher monitor.
    /// The searcher's process was restarted.
    SearcherRestarted,
    /// A part was sent to the searcher.
    DispatchSent {
        dispatch: DispatchId,
        table_type: TypeIndex,
        baseline: Rc<Baseline>,
    },
    DispatchEnded {
        dispatch: DispatchId,
        /// Latency divided by `baseline_ms`, the baseline latency of the part's table type.
        ratio: f64,
        baseline_ms: f64,
        outcome: DispatchOutcome,
        sent_at: f64,
    },
    ProbeEnded {
        outcome: DispatchOutcome,
        took_ms: f64,
    },
    /// Other mixers have marked the searcher: one, or several that agree.
    MarkedByPeers {
        several: bool,
    },
    // To the baseline tracker.
    /// A part was answered.
    LatencySample {
        table_type: TypeIndex,
        latency_ms: f64,
    },
    /// A slice without failures is over.
    SliceEnded {
        searcher: SearcherIndex,
        mean_ratio: f64,
    },
    /// A part that was sent to this zone has ended.
    ZoneSample {
        zone: Zone,
        latency: RelativeLatency,
    },
    // To the scheduler.
    HealthChanged {
        searcher: SearcherIndex,
        health: SearcherHealth,
    },
    /// A searcher that refused connections answers again.
    SearcherRecovered {
        searcher: SearcherIndex,
    },
    /// An event of the host that concerns scans.
    Host(Event),
    /// All events of the turn were handled.
    EndTurn,
    // To several actors.
    BaselineChanged(Rc<Baseline>),
    Tick,
}

/// Address of an actor's mailbox.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Address(usize);

impl Address {
    pub const SCHEDULER: Self = Self(0);
    pub const BASELINE_TRACKER: Self = Self(1);
    const FIRST_MONITOR: usize = 2;

    pub fn monitor(searcher: SearcherIndex) -> Self {
        Self(Self::FIRST_MONITOR + searcher)
    }

    /// The searcher whose monitor has this address, which must be a monitor's.
    pub fn searcher(self) -> SearcherIndex {
        self.0 - Self::FIRST_MONITOR
    }
}

/// What the actors share while one call of `handle_events` (a turn) is handled: its time, the mailboxes, and
/// the actions for the host.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    pub now: f64,
    mailboxes: Vec<VecDeque<Message>>,
    nonempty: BTreeSet<Address>,
    /// Recipients of the periodic [`Message::Tick`].
    tick_subscribers: BTreeSet<Address>,
    pub actions: Vec<Action>,
}

impl Turn {
    pub fn new() -> Self {
        let tick_subscribers = BTreeSet::from([Address::SCHEDULER, Address::BASELINE_TRACKER]);
        Self { tick_subscribers, ..Self::default() }
    }

    pub fn send(&mut self, recipient: Address, message: Message) {
        if self.mailboxes.len() <= recipient.0 {
            self.mailboxes.resize_with(recipient.0 + 1, VecDeque::new);
        }
        self.mailboxes[recipient.0].push_back(message);
        self.nonempty.insert(recipient);
    }

    /// Sends a message to all subscribers of the periodic tick.
    pub fn send_to_tick_subscribers(&mut self, message: impl Fn() -> Message) {
        for recipient in self.tick_subscribers.clone() {
            self.send(recipient, message());
        }
    }

    pub fn subscribe_to_ticks(&mut self, recipient: Address, subscribed: bool) {
        if subscribed {
            self.tick_subscribers.insert(recipient);
        } else {
            self.tick_subscribers.remove(&recipient);
        }
    }

    /// Cancels dispatches if cancelling is allowed.
    pub fn cancel(&mut self, dispatches: Vec<DispatchId>, allowed: bool) {
        let dispatches = dispatches.into_iter().filter(|_| allowed);
        self.actions.extend(dispatches.map(|id| Action::Cancel { part: id.part, dispatch: id.number }));
    }

    /// Takes the next message of the highest address that has one: monitors come before the baseline tracker,
    /// and this before the scheduler.
    pub fn receive(&mut self) -> Option<(Address, Message)> {
        let recipient = *self.nonempty.last()?;
        let message = self.mailboxes[recipient.0].pop_front()?;
        if self.mailboxes[recipient.0].is_empty() {
            self.nonempty.remove(&recipient);
        }
        Some((recipient, message))
    }
}

/// A part in flight, as a searcher's monitor sees it.
#[derive(Debug)]
pub(crate) struct MonitoredPart {
    pub dispatch: DispatchId,
    pub table_type: TypeIndex,
    pub sent_at: f64,
}

/// One time slice of a searcher: the parts that were sent in it.
#[derive(Debug)]
pub(crate) struct Slice {
    pub started_at: f64,
    pub sent: u32,
    /// Sum of the latency ratios of the parts that ended.
    pub ratio_sum: f64,
    /// None of its parts failed.
    pub without_failure: bool,
    pub in_flight: Vec<MonitoredPart>,
}

impl Slice {
    pub fn starting_at(now: f64) -> Self {
        Self { started_at: now, sent: 0, ratio_sum: 0.0, without_failure: true, in_flight: Vec::new() }
    }
}

/// Detects whether one searcher is slow, by time slices.
#[derive(Debug)]
pub(crate) struct SearcherMonitor {
    pub searcher: SearcherIndex,
    pub zone: Zone,
    pub address: SocketAddrV4,
    pub baseline: Rc<Baseline>,
    pub health: SearcherHealth,
    pub slices: Vec<Slice>,
    pub probe_at: f64,
    /// When the answered part that was sent last was sent.
    pub newest_success_sent_at: f64,
    /// It has refused a connection since it was last readmitted or restarted.
    pub refused_connection: bool,
    /// A probe is in flight because other mixers have marked the searcher.
    pub peer_probe_pending: bool,
}

impl SearcherMonitor {
    pub fn new(searcher: SearcherIndex, address: SocketAddrV4, zone: u16, baseline: Rc<Baseline>) -> Self {
        Self {
            searcher,
            zone: usize::from(zone),
            address,
            baseline,
            health: SearcherHealth::NEW,
            slices: Vec::new(),
            probe_at: 0.0,
            newest_success_sent_at: 0.0,
            refused_connection: false,
            peer_probe_pending: false,
        }
    }
}

/// Estimates for the parts of one table type.
#[derive(Debug)]
pub(crate) struct TypeEstimate {
    /// Average latency.
    pub latency_ms: f64,
    /// Count of the latencies that the estimates are based on, the initial guess included.
    pub samples: f64,
    /// Work of a part, without queueing.
    pub work_ms: f64,
}

/// Computes the [`Baseline`].
#[derive(Debug)]
pub(crate) struct BaselineTracker {
    pub types: Vec<TypeEstimate>,
    /// Mean latency ratio of each searcher's last slice.
    pub slice_means: BTreeMap<SearcherIndex, f64>,
    pub median_slice_mean: f64,
    pub zones: BTreeMap<Zone, RelativeLatency>,
    pub decay_ms: f64,
}

/// Loss rates of parts by the connection that they were sent on.
#[derive(Debug, Default)]
pub(crate) struct ConnectionLosses {
    /// Loss rate of parts sent on connections that were recently used.
    pub fresh_rate: f64,
    /// Loss rate of parts sent on connections that had long been idle.
    pub idle_rate: f64,
    /// Until this time, idle connections are closed instead of used.
    pub distrusted_until: f64,
}

/// Which searchers belong to which cell, and so hold which shards.
#[derive(Debug)]
pub(crate) struct ShardMap {
    searchers_by_cell: Vec<Vec<SearcherIndex>>,
    cells_per_shard: usize,
}

impl ShardMap {
    pub fn new(cells: u32, cells_per_shard: u32) -> Self {
        Self {
            searchers_by_cell: vec![Vec::new(); cells.max(1) as usize],
            cells_per_shard: cells_per_shard.min(cells) as usize,
        }
    }

    pub fn add(&mut self, cell: u32, searcher: SearcherIndex) {
        if let Some(searchers) = self.searchers_by_cell.get_mut(cell as usize) {
            searchers.push(searcher);
        }
    }

    pub fn remove(&mut self, cell: u32, searcher: SearcherIndex) {
        if let Some(searchers) = self.searchers_by_cell.get_mut(cell as usize) {
            searchers.retain(|s| *s != searcher);
        }
    }

    /// How many cells a cell comes after the first cell of a shard, as a share of all cells.
    pub fn distance(&self, shard: u32, cell: u32) -> f64 {
        let cells = self.searchers_by_cell.len();
        ((cell as usize + cells - shard as usize % cells) % cells) as f64 / cells as f64
    }

    /// The searchers that hold a shard.
    pub fn holders(&self, shard: u32) -> impl Iterator<Item = SearcherIndex> {
        let cells = &self.searchers_by_cell;
        let first = shard as usize % cells.len();
        (0..self.cells_per_shard).flat_map(move |nth| &cells[(first + nth) % cells.len()]).copied()
    }

    /// The first cells of the shards that the searchers of a cell hold. Shards with the same first cell have the same
    /// holders.
    pub fn shards_of(&self, cell: u32) -> impl Iterator<Item = u32> {
        let cells = self.searchers_by_cell.len();
        let last = cell as usize % cells;
        (0..self.cells_per_shard).map(move |nth| ((last + cells - nth) % cells) as u32)
    }
}

/// Indices of the known searchers by address. The index of a removed searcher is used again.
#[derive(Debug, Default)]
pub(crate) struct SearcherDirectory {
    by_address: BTreeMap<SocketAddrV4, SearcherIndex>,
    free: Vec<SearcherIndex>,
    /// The lowest index that was never used.
    end: SearcherIndex,
}

impl SearcherDirectory {
    pub fn find(&self, address: SocketAddrV4) -> Option<SearcherIndex> {
        self.by_address.get(&address).copied()
    }

    /// Assigns an index to a new searcher.
    pub fn add(&mut self, address: SocketAddrV4) -> SearcherIndex {
        let searcher = self.free.pop().unwrap_or(self.end);
        self.end = self.end.max(searcher + 1);
        self.by_address.insert(address, searcher);
        searcher
    }

    /// Removes the searchers for which the condition holds, and returns their indices.
    pub fn remove_if(&mut self, condition: impl Fn(SearcherIndex) -> bool) -> Vec<SearcherIndex> {
        let removed: Vec<SearcherIndex> =
            self.by_address.values().copied().filter(|s| condition(*s)).collect();
        self.by_address.retain(|_, searcher| !condition(*searcher));
        self.free.extend(&removed);
        removed
    }
}

/// Sets the element at an index that exists or comes next.
pub(crate) fn set_or_push<T>(elements: &mut Vec<T>, index: usize, value: T) {
    match elements.get_mut(index) {
        Some(element) => *element = value,
        None => elements.push(value),
    }
}

/// Where a scan or a part is stored that the host identifies by its id.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Location {
    Scan { scan: ScanIndex },
    Part { scan: ScanIndex, part: usize },
}

/// A call that leaves in this turn and carries one or more parts to one searcher.
#[derive(Debug)]
pub(crate) struct OpenCall {
    /// Shared by the call's dispatches. The call has ended when its last dispatch drops this.
    pub call: Rc<()>,
    pub parts: u32,
}

/// Holds the scans, and decides which parts go to which searchers.
#[derive(Debug)]
pub(crate) struct Scheduler {
    pub table_types: Vec<TableType>,
    pub layout: Layout,
    pub limits: SafetyLimits,
    pub permissions: Permissions,
    /// Count of the mixers: the stated one, or a higher one that is seen.
    pub mixer_count: f64,
    pub baseline: Rc<Baseline>,
    pub searchers: Vec<SearcherState>,
    pub shard_map: ShardMap,
    pub customers: CustomerTraffic,
    /// Budget of retries and hedges: the stated one, or the module's own.
    pub retry_budget: BudgetWindow,
    /// Budget of hedges for parts that are late while their searcher is not marked.
    pub hedge_budget: BudgetWindow,
    pub connection_losses: ConnectionLosses,
    /// Average busy share of the searchers' cores, as their newest answers report it; none before the first
    /// report.
    pub busy_share: Option<f64>,
    /// Average work per millisecond that this mixer's scans require, by table type.
    pub demanded_work_rates: Vec<f64>,
    /// When the first searcher list arrived.
    pub first_list_at: f64,
    /// Sampling number of the first scan, random for each mixer; see [`Scan::sampling_number`].
    pub sampling_offset: f64,
    /// Average work per millisecond that this mixer sends.
    pub sent_work_rate: f64,
    /// Count of the searchers that are ready.
    pub ready_searcher_count: f64,
    /// Key of the newest scan.
    pub last_scan: ScanIndex,
    pub scans: BTreeMap<ScanIndex, Scan>,
    pub in_flight: BTreeMap<DispatchId, InFlightDispatch>,
    pub timers: Timers,
    /// Where scans and parts are stored, by the host's ids.
    pub locations: BTreeMap<u64, Location>,
    /// The calls that leave in this turn.
    pub open_calls: BTreeMap<SearcherIndex, OpenCall>,
    /// Scans to advance at the end of this turn.
    pub changed_scans: BTreeSet<ScanIndex>,
    /// Scans that lack parts and wait for capacity or budget. They are advanced again at the next tick.
    pub waiting_scans: BTreeSet<ScanIndex>,
    /// Scans that admission control rejected, by table type and [`RejectionReason`].
    pub rejections: Vec<[u64; REJECTION_REASONS]>,
}

/// Why admission control rejected a scan: the reason of the first of its parts that no searcher could answer
/// in time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RejectionReason {
    NoSearcherUp,
    /// Some are up, but all of them are cold and have no capacity left.
    NoColdCapacity,
    /// The searcher's smoothed latency is too high.
    Latency,
    /// The oldest part in flight at the searcher is too old.
    OldestPart,
    /// The searcher's concurrency limit is reached.
    ConcurrencyLimit,
}

impl Scheduler {
    #[allow(clippy::too_many_arguments)] // each argument initializes one field
    pub fn new(
        table_types: Vec<TableType>,
        layout: Layout,
        limits: SafetyLimits,
        permissions: Permissions,
        mixer_count: f64,
        baseline: Rc<Baseline>,
        customers: CustomerTraffic,
        retry_budget: BudgetWindow,
        hedge_budget: BudgetWindow,
        sampling_offset: f64,
    ) -> Self {
        Self {
            shard_map: ShardMap::new(layout.cells, layout.cells_per_shard),
            demanded_work_rates: vec![0.0; table_types.len()],
            rejections: vec![[0; REJECTION_REASONS]; table_types.len()],
            table_types,
            layout,
            limits,
            permissions,
            mixer_count,
            baseline,
            customers,
            retry_budget,
            hedge_budget,
            searchers: Vec::new(),
            connection_losses: ConnectionLosses::default(),
            busy_share: None,
            first_list_at: f64::INFINITY,
            sampling_offset,
            sent_work_rate: 0.0,
            ready_searcher_count: 0.0,
            last_scan: 0,
            scans: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            timers: Timers::default(),
            locations: BTreeMap::new(),
            open_calls: BTreeMap::new(),
            changed_scans: BTreeSet::new(),
            waiting_scans: BTreeSet::new(),
        }
    }

    /// Whether a call with room for one more part leaves for this searcher in this turn.
    pub fn has_open_call(&self, searcher: SearcherIndex) -> bool {
        self.open_calls.get(&searcher).is_some_and(|open| open.parts < self.layout.parts_per_call)
    }

    /// Whether a searcher may still be warming up.
    pub fn is_cold(&self, searcher: &SearcherState, now: f64) -> bool {
        let started_at = searcher.latest_start_at();
        started_at > 0.0 && now - started_at < self.limits.warm_up_ms
    }

    /// Forgets a scan, and cancels its dispatches in flight.
    pub fn close(&mut self, scan: ScanIndex, turn: &mut Turn) {
        let Some(closed) = self.scans.remove(&scan) else { return };
        self.timers.remove(closed.target_at, Timer::Target(scan));
        self.timers.remove(closed.deadline_at, Timer::Deadline(scan));
        self.waiting_scans.remove(&scan);
        self.locations.remove(&closed.id);
        turn.cancel(self.forget_parts(closed.parts), self.permissions.cancel);
    }

    /// Forgets parts, and returns their dispatches in flight.
    pub fn forget_parts(&mut self, parts: Vec<Part>) -> Vec<DispatchId> {
        for part in &parts {
            self.locations.remove(&part.id);
        }
        parts.iter().flat_map(Part::dispatches_in_flight).collect()
    }
}

/// A searcher as the scheduler sees it.
#[derive(Debug)]
pub(crate) struct SearcherState {
    pub address: SocketAddrV4,
    pub cell: u32,
    pub zone: Zone,
    /// When its process started, as the list says.
    pub listed_start_at: f64,
    /// When its process started: as the list says, or later if this mixer found that it was restarted.
    pub found_start_at: f64,
    /// When its process started, as other mixers report it; zero if none does.
    pub reported_start_at: f64,
    pub status: SearcherStatus,
    /// Other mixers report that it is draining or gone.
    pub leaving: bool,
    pub health: SearcherHealth,
    /// Of searchers with equal cost, the one with the lowest value is preferred. It lies between 0 and 1 in
    /// the mixer's own zone, and between 1 and 2 in other zones.
    pub tie_breaker: f64,
    /// Calls of this mixer in flight there.
    pub calls: u32,
    /// When a part was last answered.
    pub last_success_at: f64,
    /// When the answered part that was sent last was sent.
    pub newest_success_sent_at: f64,
    /// When a part was last sent there.
    pub last_sent_at: f64,
    /// Limit on the calls of this mixer in flight there.
    pub concurrency_limit: f64,
    /// When `concurrency_limit` was last cut.
    pub limit_cut_at: f64,
    /// Work in milliseconds that was sent to it in the last overload window, by table type; recorded only if a
    /// start of it is known.
    pub recent_work: SlidingTotals<TypeIndex>,
}

impl SearcherState {
    pub fn new(
        address: SocketAddrV4,
        cell: u32,
        zone: u16,
        started_at: f64,
        status: SearcherStatus,
        tie_breaker: f64,
        overload_window_ms: f64,
    ) -> Self {
        Self {
            address,
            cell,
            zone: usize::from(zone),
            listed_start_at: started_at,
            found_start_at: started_at,
            reported_start_at: 0.0,
            status,
            leaving: false,
            health: SearcherHealth::NEW,
            tie_breaker,
            calls: 0,
            last_success_at: f64::INFINITY,
            newest_success_sent_at: 0.0,
            last_sent_at: 0.0,
            concurrency_limit: f64::INFINITY,
            limit_cut_at: 0.0,
            recent_work: SlidingTotals::new(overload_window_ms),
        }
    }

    /// Calls of this mixer in flight there that were not overtaken: those that it may still be working on.
    pub fn active_calls(&self) -> u32 {
        self.calls.saturating_sub(self.health.overtaken_calls)
    }

    /// The latest start of its process that is known from any source; zero if none is known.
    pub fn latest_start_at(&self) -> f64 {
        self.found_start_at.max(self.reported_start_at)
    }

    /// Listed as ready, not reported as leaving, and not both marked and disconnected.
    pub fn is_up(&self) -> bool {
        self.status == SearcherStatus::Ready
            && !self.leaving
            && !(self.health.marked && self.health.disconnected)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PartState {
    Unsent,
    InFlight,
    Answered,
    /// All of its dispatches have ended without an answer.
    Failed,
}

/// One dispatch in the history of a part.
#[derive(Debug, PartialEq)]
pub(crate) struct PartDispatch {
    pub searcher: SearcherIndex,
    /// None while it is in flight.
    pub outcome: Option<DispatchOutcome>,
}

#[derive(Debug)]
pub(crate) struct Part {
    pub id: u64,
    pub shard: u32,
    pub weight: f64,
    pub state: PartState,
    /// It may be hedged: it is late, or in flight at a searcher that was marked.
    pub hedge_due: bool,
    pub dispatches: Vec<PartDispatch>,
    pub accepted_at: f64,
    /// When one of its dispatches last ended.
    pub ended_at: f64,
}

impl Part {
    pub fn new(id: u64, shard: u32, weight: f64, accepted_at: f64) -> Self {
        Self {
            id,
            shard,
            weight,
            state: PartState::Unsent,
            hedge_due: false,
            dispatches: Vec::new(),
            accepted_at,
            ended_at: 0.0,
        }
    }

    /// Whether it is proved that none of its dispatches ran.
    pub fn never_ran(&self) -> bool {
        self.dispatches.iter().all(|d| d.outcome.is_some_and(DispatchOutcome::never_ran))
    }

    pub fn dispatches_in_flight(&self) -> Vec<DispatchId> {
        let in_flight = self.dispatches.iter().enumerate().filter(|(_, d)| d.outcome.is_none());
        in_flight.map(|(number, _)| DispatchId { part: self.id, number: number as u8 }).collect()
    }
}

/// A dispatch that may be made next. Candidates are dispatched in the order of these fields.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Candidate {
    /// 0 for a searcher without known trouble, else 1.
    pub tier: u8,
    /// The part was sent before.
    pub is_retry: bool,
    /// Cost divided by the part's weight, as the bits of the number. Bits of numbers that are not negative
    /// are ordered like the numbers.
    pub cost_bits: u64,
    /// The part's index in its scan.
    pub part: usize,
    pub searcher: SearcherIndex,
}

#[derive(Debug)]
pub(crate) struct Scan {
    pub id: u64,
    /// The number that its parts carry.
    pub number: u32,
    pub table_type: TypeIndex,
    pub customer: usize,
    pub target_at: f64,
    pub deadline_at: f64,
    pub parts: Vec<Part>,
    /// Weight of parts that makes a whole answer.
    pub required_weight: f64,
    /// Least weight of parts for any answer.
    pub minimum_weight: f64,
    /// False once the first step was answered in part only; the answer to the second step is then not whole
    /// either.
    pub first_step_whole: bool,
    pub in_second_step: bool,
    /// Parts in flight that lost their connection.
    pub connections_lost: u32,
    /// Number from 0 to 1. Where cold searchers have capacity for only a fraction of the scans, those whose
    /// number is below the fraction are admitted.
    pub sampling_number: f64,
    /// Highest number of parts that a searcher gets if each part is as likely to go to one of its shard's holders as
    /// to another.
    pub parts_per_searcher: f64,
}

impl Scan {
    /// Sum of the weights of the parts for which the condition holds.
    pub fn weight_of(&self, condition: impl Fn(&Part) -> bool) -> f64 {
        self.parts.iter().filter(|part| condition(part)).map(|part| part.weight).sum()
    }

    pub fn answered_weight(&self) -> f64 {
        self.weight_of(|part| part.state == PartState::Answered)
    }

    /// Weight of the parts that are answered, or in flight without a hedge being due.
    pub fn expected_weight(&self) -> f64 {
        self.weight_of(|part| match part.state {
            PartState::Answered => true,
            PartState::InFlight => !part.hedge_due,
            PartState::Unsent | PartState::Failed => false,
        })
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A dispatch is late.
    DispatchLate(DispatchId),
    /// The target time of a scan.
    Target(ScanIndex),
    /// The deadline of a scan.
    Deadline(ScanIndex),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerEntry {
    /// The bits of a time that is not negative. They are ordered like the times.
    at_bits: u64,
    timer: Timer,
}

impl TimerEntry {
    fn new(at: f64, timer: Timer) -> Self {
        Self { at_bits: at.max(0.0).to_bits(), timer }
    }
}

/// All timers except the periodic tick, in the order of their times. Whoever ends what a timer is for removes it:
/// scans may end far faster than their timers become due.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    entries: BTreeSet<TimerEntry>,
}

impl Timers {
    pub fn add(&mut self, at: f64, timer: Timer) {
        self.entries.insert(TimerEntry::new(at, timer));
    }

    /// Removes a timer that was added for this time, unless it was taken already.
    pub fn remove(&mut self, at: f64, timer: Timer) {
        self.entries.remove(&TimerEntry::new(at, timer));
    }

    /// Takes the next timer that is due.
    pub fn pop_due(&mut self, now: f64) -> Option<Timer> {
        let first = self.entries.first()?;
        if f64::from_bits(first.at_bits) > now {
            return None;
        }
        self.entries.pop_first().map(|entry| entry.timer)
    }
}

/// A dispatch in flight, as the scheduler sees it.
#[derive(Debug)]
pub(crate) struct InFlightDispatch {
    pub searcher: SearcherIndex,
    pub table_type: TypeIndex,
    /// Shared by the dispatches of one call.
    pub call: Rc<()>,
    pub sent_at: f64,
    /// When it is late, for which there is a timer.
    pub late_at: f64,
    pub timeout_ms: f64,
    /// Whether its connection had long been idle. None if a new connection was opened for it, or once it was
    /// counted in [`ConnectionLosses`].
    pub on_idle_connection: Option<bool>,
}

/// The middle value, if there are at least `min_count` values; of an even count, the upper one.
pub(crate) fn median(values: impl Iterator<Item = f64>, min_count: usize) -> Option<f64> {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().filter(|_| sorted.len() >= min_count)
}

/// The decision module of one mixer: its actors, their mailboxes, and the directory of searchers. Its
/// [`Debug`] output shows the whole state.
#[derive(Debug)]
pub struct Mixer {
    pub(crate) random: Rand64,
    pub(crate) zone: u16,
    /// Count of mixers that the settings state.
    pub(crate) stated_mixer_count: f64,
    pub(crate) directory: SearcherDirectory,
    /// When to subscribe to the searcher list again.
    pub(crate) subscribe_at: f64,
    /// How many subscriptions in a row have failed, up to a limit.
    pub(crate) failed_subscriptions: u32,
    pub(crate) next_tick_at: f64,
    pub(crate) monitors: Vec<SearcherMonitor>,
    pub(crate) baseline_tracker: BaselineTracker,
    pub(crate) scheduler: Scheduler,
    pub(crate) turn: Turn,
}

impl Mixer {
    /// Delivers messages until all mailboxes are empty: to the monitors first, then to the baseline tracker,
    /// then to the scheduler.
    pub(crate) fn deliver_messages(&mut self) {
        while let Some((recipient, message)) = self.turn.receive() {
            match recipient {
                Address::SCHEDULER => self.scheduler.receive(message, &mut self.turn),
                Address::BASELINE_TRACKER => self.baseline_tracker.receive(message, &mut self.turn),
                monitor => self.deliver_to_monitor(monitor.searcher(), message),
            }
        }
    }

    fn deliver_to_monitor(&mut self, searcher: SearcherIndex, message: Message) {
        let is_ready = self.scheduler.searchers[searcher].status == SearcherStatus::Ready;
        let may_probe = self.scheduler.permissions.probe;
        self.monitors[searcher].receive(message, &mut self.turn, is_ready, may_probe);
    }
}
