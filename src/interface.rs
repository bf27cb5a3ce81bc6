//! The interface of the decision module: events in, actions out. It contains types and one trait, but no
//! network protocol and no decisions.
//!
//! A host (the benchmark's adapter, the mixer on sockets, later a client library) translates its own protocol
//! into [`Event`]s, and carries out the [`Action`]s that the module returns. It also provides the clock and
//! the seed of the random choices.
//!
//! All times are in milliseconds: `now` and names that end in `_at` are points of the host's clock, names
//! that end in `_ms` are durations, or work in milliseconds of one core. Weights and shares are fractions
//! of one.

use std::net::SocketAddrV4;

/// Whether a part may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Executing it again has no further effect, so that it may be retried at any time.
    Replayable,
    /// It has an idempotency key: searchers ignore repetitions of it for `window_ms` after the first dispatch
    /// that may have run.
    Keyed { window_ms: f64 },
    /// Each execution takes effect, so that it may only be repeated if it is proved that it never ran.
    NonReplayable,
}

/// The terms of service for scans of one table type, as agreed with the customers.
#[derive(Clone, Debug, PartialEq)]
pub struct TableType {
    /// Latency target of a scan. Its end is called the scan's target time.
    pub target_ms: f64,
    /// Longest time that a scan may take.
    pub query_timeout_ms: f64,
    /// What a whole answer until the target time is worth, in any unit that is the same for all table types.
    pub benefit: f64,
    /// An answer after the target time is worth this share of `benefit`.
    pub late_benefit_share: f64,
    /// The latency target is longer by this factor times the work that the client states for the scan.
    pub target_ms_per_work_ms: f64,
    pub idempotency: Idempotency,
    /// Sum of the weights of the answered parts from which on an answer is whole.
    pub required_weight: f64,
    /// Sum of the weights of the answered parts below which no answer can be given.
    pub minimum_weight: f64,
    /// An answer that is not whole is worth its share of `required_weight`, times this factor.
    pub partial_benefit_share: f64,
    /// Whether scans have two steps: the answer to the first step opens a second one with parts of its own.
    pub has_second_step: bool,
}

/// A customer and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Quota. Only its ratio to the other customers' quotas matters.
    pub scans_per_s: f64,
    /// A scan over the quota is worth this share of its benefit.
    pub over_quota_benefit_share: f64,
}

/// Which searchers hold which shards, and how parts are sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Layout {
    /// Count of the cells, which are groups of searchers that hold the same shards.
    pub cells: u32,
    /// Each shard is held by this many consecutive cells.
    pub cells_per_shard: u32,
    /// A call to a searcher carries at most this many parts.
    pub parts_per_call: u32,
    /// Work that each call costs in addition to its parts.
    pub call_work_ms: f64,
}

/// A budget of extra dispatches, which are retries and hedges. In any window, there may be at most `free` of
/// them, plus `share` times the number of the scans and parts that were accepted in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    pub free: f64,
    pub share: f64,
    pub window_ms: f64,
}

/// Parameters of the rules that protect searchers from overload.
#[derive(Clone, Debug, PartialEq)]
pub struct SafetyLimits {
    /// Capacity of a searcher that has just started, as a share of its capacity when it is warm.
    pub cold_capacity_share: f64,
    /// Time after its start within which a searcher warms up.
    pub warm_up_ms: f64,
    /// A cold searcher fails if it gets more than this multiple of its capacity within `overload_window_ms`.
    pub overload_multiple: f64,
    pub overload_window_ms: f64,
    /// Budget of extra dispatches, if the deployment states one.
    pub retry_budget: Option<RetryBudget>,
}

/// What the deployment allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Permissions {
    /// Dispatches may be cancelled.
    pub cancel: bool,
    /// Searchers may be probed.
    pub probe: bool,
    /// A part may be sent to a second searcher while the first dispatch is in flight.
    pub hedge: bool,
    /// A part may be dispatched at most this many times.
    pub max_dispatches: u32,
    /// Longest retry delay that clients respect; none if clients may not be given a delay.
    pub retry_after_ms: Option<f64>,
    /// A mixer must request the searcher list again within this time unless it is subscribed to it; none if
    /// the host receives the list without requesting it.
    pub resubscribe_within_ms: Option<f64>,
}

/// How many mixers there are, and in which zone this one runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Count of mixers that the settings state.
    pub mixers: u32,
    /// Zone of this mixer.
    pub zone: u16,
}

/// Status of a searcher in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearcherStatus {
    /// Removed from the list.
    Gone,
    /// Accepts parts.
    Ready,
    /// About to stop; accepts no new parts.
    Draining,
}

/// An entry of the searcher list.
#[derive(Clone, Debug)]
pub struct ListedSearcher {
    pub searcher: SocketAddrV4,
    pub cell: u32,
    pub zone: u16,
    /// When its process started; zero means that it started long ago.
    pub started_at: f64,
    pub status: SearcherStatus,
}

/// What a message with the searcher list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The entries that have changed.
    Changes,
    /// The whole list.
    Full,
    /// The whole list, from a cache.
    Cached,
    /// Nothing: the subscription was rejected.
    Failed,
}

/// How a dispatch or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The searcher answered it.
    Ok,
    /// The searcher reported an error.
    Error,
    /// The searcher had no capacity, and rejected it without executing it.
    Full,
    /// No answer came within the timeout.
    TimedOut,
    /// No connection to the searcher could be opened.
    ConnectFailed,
    /// The connection was lost while it was in flight.
    Reset,
    /// It was cancelled.
    Cancelled,
    /// It was never sent.
    Moot,
}

impl DispatchOutcome {
    /// Whether the outcome proves that the dispatch was never executed.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot)
    }
}

/// What other mixers report of a searcher. The host only passes reports on that it trusts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerReport {
    /// One mixer has marked it.
    Marked,
    /// Several mixers that agree have marked it.
    MarkedBySeveral,
    /// Whether it is draining or gone.
    Leaving { leaving: bool },
    /// Its process was restarted at this time, which is later than the start time in the list and on the same
    /// clock. Zero withdraws the report.
    Restarted { started_at: f64 },
}

/// Something that happened. Events are passed in the order in which they happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another mixer, or several, reported something of a searcher.
    PeerReport { searcher: SocketAddrV4, report: PeerReport },
    /// Other mixers report that they lose connections while these are idle.
    IdleConnectionsLost,
    /// Count of the mixers that are seen at present, this one included.
    MixerCount { mixers: u32 },
    /// The searcher list, changes of it, or a failed subscription to it.
    List { kind: ListKind, searchers: Vec<ListedSearcher> },
    /// A client's request. Its parts follow as events of their own.
    Scan {
        /// Identifies the scan; no other scan or part has it.
        id: u64,
        /// The number by which its parts refer to it.
        number: u32,
        table_type: usize,
        customer: usize,
        /// When its client gives up.
        deadline_at: f64,
        /// Work of all its parts, if the client states it.
        work_ms: Option<f64>,
        /// Whether the client has sent the request before.
        retry: bool,
    },
    /// One part of a scan, which reads one shard.
    Part {
        /// Identifies the part; no other part or scan has it.
        id: u64,
        /// Number of its scan.
        number: u32,
        shard: u32,
        weight: f64,
    },
    /// A dispatch has ended.
    DispatchEnded {
        part: u64,
        /// Number of the dispatch, counted from zero for each part.
        dispatch: u8,
        searcher: SocketAddrV4,
        outcome: DispatchOutcome,
        took_ms: f64,
        /// Busy share of the searcher's cores, from 0 to 1 or a little over, if the searcher reports it.
        busy: Option<f64>,
    },
    /// The client of a scan has disconnected.
    ClientGone { scan: u64 },
    /// A probe has ended.
    ProbeEnded { searcher: SocketAddrV4, outcome: DispatchOutcome, took_ms: f64 },
    /// The time of the last [`Action::WakeAt`] has come.
    Wake,
}

/// What the host has to do. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a part to a searcher. The dispatches of a part are numbered in the order of these actions.
    Dispatch { part: u64, searcher: SocketAddrV4, timeout_ms: f64 },
    /// Cancels a dispatch in flight.
    Cancel { part: u64, dispatch: u8 },
    /// Answers a scan with the answers of its parts.
    Complete {
        scan: u64,
        /// Whether the answered parts have the required weight.
        whole: bool,
    },
    /// Rejects a scan whose client may safely retry it.
    Throttle { scan: u64, retry_after_ms: Option<f64> },
    /// Fails a scan whose parts may have run, so that a retry may not be safe.
    Abandon { scan: u64 },
    /// Sends a probe to a searcher, whose latency shows whether the searcher is still slow.
    Probe { searcher: SocketAddrV4 },
    /// Closes the idle connections to a searcher.
    CloseIdleConnections { searcher: SocketAddrV4 },
    /// Requests an [`Event::Wake`] at this time.
    WakeAt { at: f64 },
    /// Subscribes to the searcher list.
    Subscribe,
    /// Writes a line to the log.
    Log { line: String },
}

/// The decisions of one mixer.
pub trait DecisionModule {
    /// Handles all events of the time `now`, in their order, and returns the actions to carry out.
    fn handle_events(&mut self, now: f64, events: Vec<Event>) -> Vec<Action>;
}
