//! The interface of the decision module: events in, actions out. It contains types and one trait, no protocol
//! and no decisions.
//!
//! A host (the benchmark's adapter, the mixer on sockets, later a client library) translates its own protocol
//! into [`Event`]s, and carries out the [`Action`]s that the module returns. It also provides clock and seed.
//!
//! All times are in milliseconds: `_at` names a point of the host's clock, `_ms` a duration. Work is in
//! milliseconds of one core. Weights, shares and rates without a unit are fractions of one.

use std::net::SocketAddrV4;

/// Whether a part may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Executing it again has no further effect.
    Replayable,
    /// It carries a key by which searchers drop repetitions for `window_ms` after the first dispatch that may
    /// have run.
    Keyed { window_ms: f64 },
    /// It takes effect with each execution.
    NonReplayable,
}

/// A table type, as agreed with the customers.
#[derive(Clone, Debug, PartialEq)]
pub struct TableType {
    /// Latency target of a scan.
    pub target_ms: f64,
    pub query_timeout_ms: f64,
    /// What a whole answer within the target time is worth.
    pub benefit: f64,
    /// Share of the benefit that an answer after the target time has.
    pub late_benefit_share: f64,
    /// The target time grows by this factor times the scan's own work.
    pub target_ms_per_work_ms: f64,
    pub idempotency: Idempotency,
    /// Weight of parts that makes a whole answer.
    pub required_weight: f64,
    /// Least weight of parts for any answer.
    pub minimum_weight: f64,
    /// An answer that is not whole is worth its share of `required_weight`, times this factor.
    pub partial_benefit_share: f64,
    /// Whether the first answer opens a second step with parts of its own.
    pub has_second_step: bool,
}

/// A customer and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Quota; compared with the other customers' quotas.
    pub scans_per_s: f64,
    /// What a scan over the quota is worth, as a share of its benefit.
    pub over_quota_benefit_share: f64,
}

/// Which searchers hold which shards, and how parts are sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Layout {
    pub cells: u32,
    /// A shard is held by this many consecutive cells.
    pub cells_per_shard: u32,
    pub parts_per_call: u32,
    /// Work of a call itself, whatever its parts.
    pub call_work_ms: f64,
}

/// A budget of extra dispatches, which are retries and hedges: at most `free`, plus `share` of the accepted
/// scans and parts, in any window.
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
    /// Time after its start in which a searcher warms up.
    pub warm_up_ms: f64,
    /// A cold searcher fails if it gets more than this multiple of its capacity within `overload_window_ms`.
    pub overload_multiple: f64,
    pub overload_window_ms: f64,
    /// Budget of extra dispatches; none where the deployment states none.
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
    /// Dispatches of one part, at most.
    pub max_dispatches: u32,
    /// Longest retry delay that clients respect; none where clients may not be given any.
    pub retry_after_ms: Option<f64>,
    /// Without a subscription, the searcher list must be requested at least this often; none where it comes
    /// by itself.
    pub resubscribe_within_ms: Option<f64>,
}

/// This mixer among the others.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Count of mixers that the settings state.
    pub mixers: u32,
    pub zone: u16,
}

/// Status of a searcher in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearcherStatus {
    /// Removed from the list.
    Gone,
    Ready,
    /// Accepts no new parts.
    Draining,
}

/// An entry of the searcher list.
#[derive(Clone, Debug)]
pub struct ListedSearcher {
    pub searcher: SocketAddrV4,
    pub cell: u32,
    pub zone: u16,
    /// When its process started; zero means long ago.
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
    Ok,
    Error,
    /// The searcher rejected it without executing it.
    Full,
    TimedOut,
    ConnectFailed,
    /// The connection was lost while it was in flight.
    Reset,
    Cancelled,
    /// It was never sent.
    Moot,
}

impl DispatchOutcome {
    /// Whether it is proved that the dispatch never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot)
    }
}

/// What other mixers report of a searcher, as far as the host trusts them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerReport {
    /// One mixer has marked it.
    Marked,
    /// Several mixers that agree have marked it.
    MarkedBySeveral,
    /// Whether it is draining or gone.
    Leaving { leaving: bool },
    /// Its process was restarted later than the list says, by the list's own clock; zero withdraws the
    /// report.
    Restarted { started_at: f64 },
}

/// Something that happened. Events are passed in the order in which they happened.
#[derive(Clone, Debug)]
pub enum Event {
    PeerReport {
        searcher: SocketAddrV4,
        report: PeerReport,
    },
    /// Other mixers lose connections while they are idle.
    IdleConnectionsLost,
    /// Count of the mixers that are seen, this one included.
    MixerCount {
        mixers: u32,
    },
    /// The searcher list, or changes of it.
    List {
        kind: ListKind,
        searchers: Vec<ListedSearcher>,
    },
    /// A client's request. Its parts follow.
    Scan {
        id: u64,
        /// The number that its parts carry.
        number: u32,
        table_type: usize,
        customer: usize,
        /// When its client gives up.
        deadline_at: f64,
        /// Work of all its parts, where the client states it.
        work_ms: Option<f64>,
        retry: bool,
    },
    Part {
        id: u64,
        /// Number of its scan.
        number: u32,
        shard: u32,
        weight: f64,
    },
    DispatchEnded {
        part: u64,
        /// Number of the dispatch, counted from zero for each part.
        dispatch: u8,
        searcher: SocketAddrV4,
        outcome: DispatchOutcome,
        took_ms: f64,
        /// Busy share of the searcher's cores, from 0 to 1 or a little over, where searchers report it.
        busy: Option<f64>,
    },
    /// The client has left.
    ClientGone {
        scan: u64,
    },
    ProbeEnded {
        searcher: SocketAddrV4,
        outcome: DispatchOutcome,
        took_ms: f64,
    },
    /// The time of the last [`Action::WakeAt`] has come.
    Wake,
}

/// What the host has to do. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Dispatch {
        part: u64,
        searcher: SocketAddrV4,
        timeout_ms: f64,
    },
    Cancel {
        part: u64,
        dispatch: u8,
    },
    /// Answers a scan from the parts that are answered.
    Complete {
        scan: u64,
        whole: bool,
    },
    /// Rejects a scan; a retry does no harm.
    Throttle {
        scan: u64,
        retry_after_ms: Option<f64>,
    },
    /// Fails a scan; parts of it may have run.
    Abandon {
        scan: u64,
    },
    Probe {
        searcher: SocketAddrV4,
    },
    /// Closes the idle connections to a searcher.
    CloseIdleConnections {
        searcher: SocketAddrV4,
    },
    WakeAt {
        at: f64,
    },
    /// Subscribes to the searcher list.
    Subscribe,
    Log {
        line: String,
    },
}

/// The decisions of one mixer.
pub trait DecisionModule {
    /// Handles all events of the time `now`, and returns the actions to carry out.
    fn handle_events(&mut self, now: f64, events: Vec<Event>) -> Vec<Action>;
}
