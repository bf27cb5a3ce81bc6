//! What people and other mixers are shown of a mixer: figures of its state, of its past refusals, and its own knowledge of each
//! searcher. It only reads; nothing is decided here.

use std::fmt;
use std::net::SocketAddrV4;

use crate::interface::SearcherStatus;
use crate::state::{Desk, Mixer, Seat};

impl Mixer {
    /// For those who report on a mixer: the share of the slices for which a searcher is usable.
    pub fn usable_share(&self) -> f64 {
        self.desk.usable_share()
    }

    /// For those who report on a mixer: what it believes now, and why it refused.
    pub fn status(&self) -> MixerStatus {
        self.desk.status(self.post.now)
    }

    /// For those who tell other mixers: what this one knows by itself.
    pub fn observed_searchers(&self) -> impl Iterator<Item = ObservedSearcher> {
        self.desk.known(self.post.now)
    }

    /// Scans of each customer in the last seconds.
    pub fn recent_scans_by_customer(&self) -> &[usize] {
        self.desk.used()
    }

    /// Whether connections were lost while idle.
    pub fn idle_connections_lost(&self) -> bool {
        self.post.now < self.desk.lines.doubt_until
    }
}

/// Reasons of the door.
pub const REJECTION_REASONS: usize = 5;

/// What a mixer believes of its searchers, and why it refused scans: for people, and decides nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MixerStatus {
    /// Listed as ready; of these, marked, without connection, on trial, and cold.
    pub ready: usize,
    pub marked: usize,
    pub down: usize,
    pub trial: usize,
    pub cold: usize,
    /// Whose limit on calls out is under three.
    pub held: usize,
    /// Calls out, and those among them that were overtaken.
    pub calls: u32,
    pub lost: u32,
    /// Milliseconds since a searcher that is ready was last sent a part: the longest, of those that ever were.
    pub unasked_ms: f64,
    /// Highest smoothed latency of a searcher that is ready, in normals, as last confirmed.
    pub latency: f64,
    /// Scans refused at the door since the start, by table type: as no searcher was up, as those that were are cold and had no
    /// room, its cost, its oldest part, its limit.
    pub rejected: Vec<[u64; REJECTION_REASONS]>,
}

impl MixerStatus {
    /// Scans refused at the door, of all table types, by reason.
    pub fn rejections_by_reason(&self) -> [u64; REJECTION_REASONS] {
        std::array::from_fn(|bar| self.rejected.iter().map(|counts| counts[bar]).sum())
    }
}

impl fmt::Display for MixerStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { ready, marked, down, trial, cold, held, calls, lost, unasked_ms, latency, .. } = self;
        writeln!(
            f,
            "searchers\n  ready {ready}, marked {marked}, without connection {down}, on trial {trial}"
        )?;
        writeln!(f, "  cold {cold}, held to fewer than three calls {held}")?;
        writeln!(
            f,
            "  highest latency {latency:.1} normals, longest without a part {:.1} s",
            unasked_ms / 1e3
        )?;
        writeln!(f, "calls out\n  {calls}, of these overtaken {lost}")?;
        let [nobody, no_room, cost, age, limit] = self.rejections_by_reason();
        writeln!(
            f,
            "scans refused at the door\n  nobody up {nobody}, cold {no_room}, cost {cost}, old part {age}, limit {limit}"
        )
    }
}

/// A searcher as this mixer knows it by itself, for the other mixers: decides nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObservedSearcher {
    pub searcher: SocketAddrV4,
    pub status: SearcherStatus,
    /// When its process started, as the list says, and whether it is cold since.
    pub started_at: f64,
    pub cold: bool,
    pub marked: bool,
    /// Not marked, and a part of ours has been out there for longer than any should: how long, in normals; else zero.
    pub overdue: f64,
    /// What it was last marked for: the average, in normals, and of how many parts.
    pub evidence: MarkEvidence,
}

/// What a searcher was last marked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MarkEvidence {
    /// The average, in normals.
    pub relative_latency: f64,
    /// Of how many parts.
    pub parts: u32,
}

impl Desk {
    pub fn status(&self, now: f64) -> MixerStatus {
        let ready = || self.seats.iter().filter(|s| s.life == SearcherStatus::Ready);
        let count = |of: fn(&&Seat) -> bool| ready().filter(of).count();
        let warm_up_ms = self.guards.warm_up_ms;
        MixerStatus {
            ready: ready().count(),
            marked: count(|s| s.tile.marked),
            down: count(|s| s.tile.down),
            trial: count(|s| s.tile.trial),
            cold: ready().filter(|s| s.since > 0.0 && now - s.since < warm_up_ms).count(),
            held: count(|s| s.limit < 3.0),
            calls: ready().map(|s| s.calls).sum(),
            lost: ready().map(|s| s.tile.lost).sum(),
            unasked_ms: ready().filter(|s| s.sent_at > 0.0).map(|s| now - s.sent_at).fold(0.0, f64::max),
            latency: ready().map(|s| s.tile.lag[0]).fold(0.0, f64::max),
            rejected: self.barred.clone(),
        }
    }

    pub fn known(&self, now: f64) -> impl Iterator<Item = ObservedSearcher> {
        self.seats.iter().filter(|s| s.life != SearcherStatus::Gone).map(move |s| ObservedSearcher {
            searcher: s.addr,
            status: s.life,
            started_at: s.listed,
            cold: s.listed > 0.0 && now - s.listed < self.guards.warm_up_ms,
            marked: s.tile.marked,
            overdue: Some(s.tile.late).filter(|l| !s.tile.marked && *l > self.norms.limit).unwrap_or(0.0),
            evidence: s.tile.evidence,
        })
    }

    /// Scans of each customer in the last seconds.
    pub fn used(&self) -> &[usize] {
        &self.door.counts
    }

    /// Of the cells' slices, the share that a searcher holds which is ready, has a connection and is not marked.
    pub fn usable_share(&self) -> f64 {
        let usable = |srv: usize| self.seats[srv].up() && !self.seats[srv].tile.marked;
        let held = (0..self.layout.cells).filter(|slice| self.cells.holders(*slice).any(usable));
        held.count() as f64 / f64::from(self.layout.cells.max(1))
    }
}
