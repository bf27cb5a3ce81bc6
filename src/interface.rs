//! What a mixer's decisions are told and what they answer: types and one trait, no wire, no decision.
//!
//! A host (the bench adapter, the mixer on sockets, a client-side plug-in later) turns its own protocol into
//! [`Event`]s and carries out the [`Action`]s that come back. Clock and seed are handed in.

use std::net::SocketAddrV4;

/// How often the effect of a part may happen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    Replayable,
    /// Repeats are dropped for so long after the first dispatch that may have run.
    Keyed {
        window_ms: f64,
    },
    NonReplayable,
}

/// A table type as agreed with the customers.
#[derive(Clone, Debug, PartialEq)]
pub struct TableType {
    pub target_ms: f64,
    pub query_timeout_ms: f64,
    pub benefit: f64,
    /// Share of the benefit that is left after the target time.
    pub late_benefit_share: f64,
    /// The target time grows by this many times a scan's own work.
    pub target_ms_per_work_ms: f64,
    pub idempotency: Idempotency,
    /// Weight of parts that makes a whole answer.
    pub required_weight: f64,
    /// Least weight of parts for any answer.
    pub minimum_weight: f64,
    /// An answer that is not whole earns this times its share of `need`.
    pub partial_benefit_share: f64,
    /// The first answer brings a second step of parts.
    pub has_second_step: bool,
}

/// A customer and its share of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    pub scans_per_s: f64,
    /// What a scan beyond the share is worth, as a share of its benefit.
    pub over_quota_benefit_share: f64,
}

/// Where shards lie and how parts travel.
#[derive(Clone, Debug, PartialEq)]
pub struct Layout {
    pub cells: u32,
    /// A shard is held by this many cells in a row.
    pub cells_per_shard: u32,
    pub parts_per_call: u32,
    pub call_work_ms: f64,
}

/// At most `free` further dispatches, plus `share` of what was taken, in any `window_ms`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    pub free: f64,
    pub share: f64,
    pub window_ms: f64,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct SafetyLimits {
    pub cold_capacity_share: f64,
    pub warm_up_ms: f64,
    pub overload_multiple: f64,
    pub overload_window_ms: f64,
    pub retry_budget: Option<RetryBudget>,
}

/// What the deployment allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Permissions {
    pub cancel: bool,
    pub probe: bool,
    pub hedge: bool,
    pub max_dispatches: u32,
    /// The longest time to come back that clients respect; absent where none may be given.
    pub retry_after_ms: Option<f64>,
    /// The list has to be asked for, at least this often, in milliseconds, while no subscription holds; absent
    /// where it comes by itself.
    pub resubscribe_within_ms: Option<f64>,
}

/// This mixer among its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    pub mixers: u32,
    pub zone: u16,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearcherStatus {
    Gone,
    Ready,
    Draining,
}

/// One line of the searcher list.
#[derive(Clone, Debug)]
pub struct ListedSearcher {
    pub searcher: SocketAddrV4,
    pub cell: u32,
    pub zone: u16,
    /// When its process started; zero means long ago.
    pub started_at: f64,
    pub status: SearcherStatus,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Full,
    Cached,
    Failed,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    Ok,
    Error,
    /// Rejected unseen.
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    /// Never sent.
    Moot,
}

impl DispatchOutcome {
    /// Whether it is proved that the dispatch never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot)
    }
}

/// What other mixers say of a searcher, as far as the host heeds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerReport {
    /// One has marked it: a reason to look.
    Marked,
    /// Several that agree have marked it.
    MarkedBySeveral,
    /// It drains or goes, or after all does not.
    Leaving { leaving: bool },
    /// Its process has a later start than the list says, by the list's figures; zero takes that back.
    Restarted { started_at: f64 },
}

/// What happened, in the order it happened.
#[derive(Clone, Debug)]
pub enum Event {
    PeerReport {
        searcher: SocketAddrV4,
        report: PeerReport,
    },
    /// Other mixers lose connections while they are idle.
    IdleConnectionsLost,
    /// So many mixers are there, this one among them.
    MixerCount {
        mixers: u32,
    },
    List {
        kind: ListKind,
        searchers: Vec<ListedSearcher>,
    },
    Scan {
        id: u64,
        /// The number that its parts carry.
        number: u32,
        table_type: usize,
        customer: usize,
        /// When its client gives up.
        deadline_at: f64,
        work_ms: Option<f64>,
        retry: bool,
    },
    Part {
        id: u64,
        number: u32,
        shard: u32,
        weight: f64,
    },
    DispatchEnded {
        part: u64,
        dispatch: u8,
        searcher: SocketAddrV4,
        outcome: DispatchOutcome,
        took_ms: f64,
        /// Share of its cores that its searcher reports as busy, 0 to 1 or a little over; where it does.
        busy: Option<f64>,
    },
    ClientGone {
        scan: u64,
    },
    ProbeEnded {
        searcher: SocketAddrV4,
        outcome: DispatchOutcome,
        took_ms: f64,
    },
    Wake,
}

/// What the host is to do, in this order.
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
    /// Completed: answered from the parts that are in.
    Complete {
        scan: u64,
        whole: bool,
    },
    /// Turned away; asking again is harmless.
    Throttle {
        scan: u64,
        retry_after_ms: Option<f64>,
    },
    /// Given up; nothing is promised.
    Abandon {
        scan: u64,
    },
    Probe {
        searcher: SocketAddrV4,
    },
    /// Closes idle connections to it.
    CloseIdleConnections {
        searcher: SocketAddrV4,
    },
    WakeAt {
        at: f64,
    },
    Subscribe,
    Log {
        line: String,
    },
}

/// The decisions of one mixer.
pub trait DecisionModule {
    /// Takes in everything that happened at `now` and says what to do about it.
    fn handle_events(&mut self, now: f64, events: Vec<Event>) -> Vec<Action>;
}
