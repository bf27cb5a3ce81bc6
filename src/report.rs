//! Status of a mixer for operators and for other mixers: figures of its state, its rejections, and what it
//! has observed of each searcher. This module only reads the state.

use std::fmt;
use std::net::SocketAddrV4;

use crate::interface::SearcherStatus;
use crate::state::{Mixer, Scheduler, SearcherIndex, SearcherState};

/// Count of the reasons for which admission control rejects scans; see [`MixerStatus::rejected`].
pub const REJECTION_REASONS: usize = 5;

impl Mixer {
    /// Share of the shards that at least one usable searcher holds, which is one that is up and not marked.
    pub fn usable_share(&self) -> f64 {
        self.scheduler.usable_share()
    }

    /// The present status, and the rejections since the start.
    pub fn status(&self) -> MixerStatus {
        self.scheduler.status(self.turn.now)
    }

    /// What this mixer has observed of each searcher itself.
    pub fn observed_searchers(&self) -> impl Iterator<Item = ObservedSearcher> {
        self.scheduler.observed_searchers(self.turn.now)
    }

    /// Count of the scans of each customer in the last seconds.
    pub fn recent_scans_by_customer(&self) -> &[usize] {
        self.scheduler.customers.recent_scans()
    }

    /// Whether connections were lately lost while they were idle, so that idle ones are not used at present.
    pub fn idle_connections_lost(&self) -> bool {
        self.turn.now < self.scheduler.connection_losses.distrusted_until
    }
}

/// Status of a mixer for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MixerStatus {
    /// Searchers that are listed as ready. The next five fields count those of them that are in the named
    /// state; a searcher may be in several.
    pub ready: usize,
    pub marked: usize,
    pub disconnected: usize,
    pub on_trial: usize,
    pub cold: usize,
    /// Searchers whose concurrency limit is under three calls.
    pub limited: usize,
    /// Calls in flight at ready searchers.
    pub calls: u32,
    /// Calls in flight at ready searchers that were overtaken.
    pub overtaken_calls: u32,
    /// Longest time since a ready searcher was last sent a part. Searchers that were never sent one do not
    /// count.
    pub longest_unused_ms: f64,
    /// Highest smoothed latency of a ready searcher when it was last confirmed, divided by the baseline.
    pub highest_latency: f64,
    /// Count of the scans that admission control has rejected since the start, by table type and reason. The
    /// reasons, in this order: no searcher was up; those that were up were cold and had no capacity; the
    /// searcher's latency was too high; its oldest part was too old; its concurrency limit was reached.
    pub rejected: Vec<[u64; REJECTION_REASONS]>,
}

impl MixerStatus {
    /// Count of the scans that admission control has rejected, summed over all table types, by reason.
    pub fn rejections_by_reason(&self) -> [u64; REJECTION_REASONS] {
        std::array::from_fn(|reason| self.rejected.iter().map(|counts| counts[reason]).sum())
    }
}

impl fmt::Display for MixerStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { ready, marked, disconnected, on_trial, cold, limited, calls, overtaken_calls, .. } = self;
        let Self { highest_latency, longest_unused_ms, .. } = self;
        writeln!(
            f,
            "searchers\n  ready {ready}, marked {marked}, without connection {disconnected}, \
             on trial {on_trial}"
        )?;
        writeln!(f, "  cold {cold}, held to fewer than three calls {limited}")?;
        writeln!(
            f,
            "  highest latency {highest_latency:.1} normals, longest without a part {:.1} s",
            longest_unused_ms / 1e3
        )?;
        writeln!(f, "calls out\n  {calls}, of these overtaken {overtaken_calls}")?;
        let [not_up, cold_capacity, latency, age, limit] = self.rejections_by_reason();
        writeln!(
            f,
            "scans refused at the door\n  nobody up {not_up}, cold {cold_capacity}, \
             cost {latency}, old part {age}, limit {limit}"
        )
    }
}

/// A searcher as this mixer has observed it itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObservedSearcher {
    pub searcher: SocketAddrV4,
    pub status: SearcherStatus,
    /// When its process started, as the list says.
    pub started_at: f64,
    /// Whether it is still warming up since that start.
    pub cold: bool,
    pub marked: bool,
    /// Age of the oldest part of this mixer in flight there, divided by the baseline latency. It is zero if
    /// that is within the threshold for marking, or if the searcher is marked.
    pub overdue: f64,
    /// What the searcher was last marked for.
    pub evidence: MarkEvidence,
}

/// The parts for whose latency a searcher was marked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MarkEvidence {
    /// Average latency of the parts, divided by the baseline.
    pub relative_latency: f64,
    /// Count of the parts.
    pub parts: u32,
}

impl Scheduler {
    fn status(&self, now: f64) -> MixerStatus {
        let ready = || self.searchers.iter().filter(|searcher| searcher.status == SearcherStatus::Ready);
        let count = |condition: fn(&&SearcherState) -> bool| ready().filter(condition).count();
        let is_warming_up = |searcher: &&SearcherState| {
            searcher.found_start_at > 0.0 && now - searcher.found_start_at < self.limits.warm_up_ms
        };
        let unused_ms = ready().filter(|searcher| searcher.last_sent_at > 0.0).map(|s| now - s.last_sent_at);
        MixerStatus {
            ready: ready().count(),
            marked: count(|searcher| searcher.health.marked),
            disconnected: count(|searcher| searcher.health.disconnected),
            on_trial: count(|searcher| searcher.health.on_trial),
            cold: ready().filter(is_warming_up).count(),
            limited: count(|searcher| searcher.concurrency_limit < 3.0),
            calls: ready().map(|searcher| searcher.calls).sum(),
            overtaken_calls: ready().map(|searcher| searcher.health.overtaken_calls).sum(),
            longest_unused_ms: unused_ms.fold(0.0, f64::max),
            highest_latency: ready().map(|searcher| searcher.health.latency.ratio).fold(0.0, f64::max),
            rejected: self.rejections.clone(),
        }
    }

    fn observed_searchers(&self, now: f64) -> impl Iterator<Item = ObservedSearcher> {
        let known = self.searchers.iter().filter(|searcher| searcher.status != SearcherStatus::Gone);
        known.map(move |searcher| self.observed(searcher, now))
    }

    fn observed(&self, searcher: &SearcherState, now: f64) -> ObservedSearcher {
        let SearcherState { address, status, listed_start_at, health, .. } = searcher;
        let is_overdue = !health.marked && health.oldest_ratio > self.baseline.mark_ratio;
        ObservedSearcher {
            searcher: *address,
            status: *status,
            started_at: *listed_start_at,
            cold: *listed_start_at > 0.0 && now - listed_start_at < self.limits.warm_up_ms,
            marked: health.marked,
            overdue: if is_overdue { health.oldest_ratio } else { 0.0 },
            evidence: health.mark_evidence,
        }
    }

    /// Share of the shards that at least one usable searcher holds. All shards with the same first cell have
    /// the same holders, so that one shard of each first cell is checked.
    fn usable_share(&self) -> f64 {
        let is_usable = |searcher: SearcherIndex| {
            let state = &self.searchers[searcher];
            state.is_up() && !state.health.marked
        };
        let usable_shards =
            (0..self.layout.cells).filter(|shard| self.shard_map.holders(*shard).any(is_usable));
        usable_shards.count() as f64 / f64::from(self.layout.cells.max(1))
    }
}
