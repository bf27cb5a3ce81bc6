//! What a mixer's decisions are told and what they answer: types and one trait, no wire, no decision.
//!
//! A host (the bench adapter, the mixer on sockets, a client-side plug-in later) turns its own protocol into
//! [`Event`]s and carries out the [`Action`]s that come back. Clock and seed are handed in.

use std::net::SocketAddrV4;

/// How often the effect of a part may happen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeat {
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
    pub late_share: f64,
    /// The target time grows by this many times a scan's own work.
    pub target_stretch: f64,
    pub repeat: Repeat,
    /// Weight of parts that makes a whole answer.
    pub need: f64,
    /// Least weight of parts for any answer.
    pub floor: f64,
    /// An answer that is not whole earns this times its share of `need`.
    pub partial_share: f64,
    /// The first answer brings a second step of parts.
    pub second_step: bool,
}

/// A customer and its share of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    pub scans_per_s: f64,
    /// What a scan beyond the share is worth, as a share of its benefit.
    pub over_share: f64,
}

/// Where shards lie and how parts travel.
#[derive(Clone, Debug, PartialEq)]
pub struct Layout {
    pub cells: u32,
    /// A shard is held by this many cells in a row.
    pub reach: u32,
    pub parts_per_call: u32,
    pub call_work_ms: f64,
}

/// At most `free` further dispatches, plus `share` of what was taken, in any `window_ms`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    pub free: f64,
    pub share: f64,
    pub window_ms: f64,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Guards {
    pub cold_from: f64,
    pub warm_ms: f64,
    pub tip_multiple: f64,
    pub fall_ms: f64,
    pub budget: Option<Budget>,
}

/// What the deployment allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Permits {
    pub cancel: bool,
    pub probe: bool,
    pub second_copies: bool,
    pub dispatches: u32,
    /// The longest time to come back that clients respect; absent where none may be given.
    pub back_in_ms: Option<f64>,
    /// The list has to be asked for, at least this often, in milliseconds, while no subscription holds; absent
    /// where it comes by itself.
    pub ask_within_ms: Option<f64>,
}

/// This mixer among its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Berth {
    pub mixers: u32,
    pub zone: u16,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    Gone,
    Ready,
    Draining,
}

/// One line of the searcher list.
#[derive(Clone, Debug)]
pub struct Listed {
    pub searcher: SocketAddrV4,
    pub cell: u32,
    pub zone: u16,
    /// When its process started; zero means long ago.
    pub since: f64,
    pub life: Life,
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
pub enum Ending {
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

impl Ending {
    /// Whether it is proved that the dispatch never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot)
    }
}

/// What other mixers say of a searcher, as far as the host heeds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    /// One has marked it: a reason to look.
    Look,
    /// Several that agree have marked it.
    Doubt,
    /// It drains or goes, or after all does not.
    Leaves(bool),
    /// Its process has a later start than the list says, by the list's figures; zero takes that back.
    Began(f64),
}

/// What happened, in the order it happened.
#[derive(Clone, Debug)]
pub enum Event {
    Heard {
        searcher: SocketAddrV4,
        word: Word,
    },
    /// Other mixers lose connections while they are idle.
    IdleLost,
    /// So many mixers are there, this one among them.
    Mixers(u32),
    List {
        kind: ListKind,
        lines: Vec<Listed>,
    },
    Scan {
        id: u64,
        /// The number that its parts carry.
        number: u32,
        table_type: usize,
        customer: usize,
        /// When its client gives up.
        gone_at: f64,
        work_ms: Option<f64>,
        retry: bool,
    },
    Part {
        id: u64,
        number: u32,
        shard: u32,
        weight: f64,
    },
    Ended {
        part: u64,
        dispatch: u8,
        searcher: SocketAddrV4,
        ending: Ending,
        took_ms: f64,
        /// Share of its cores that its searcher reports as busy, 0 to 1 or a little over; where it does.
        busy: Option<f64>,
    },
    ClientGone {
        scan: u64,
    },
    Probed {
        searcher: SocketAddrV4,
        ending: Ending,
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
        patience_ms: f64,
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
        back_in_ms: Option<f64>,
    },
    /// Given up; nothing is promised.
    Abandon {
        scan: u64,
    },
    Probe {
        searcher: SocketAddrV4,
    },
    /// Closes idle connections to it.
    Hangup {
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
pub trait Decide {
    /// Takes in everything that happened at `now` and says what to do about it.
    fn turn(&mut self, now: f64, events: Vec<Event>) -> Vec<Action>;
}
