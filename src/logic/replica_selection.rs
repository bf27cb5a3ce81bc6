//! Replica selection: which part of a scan is dispatched next, and to which of the searchers that hold its
//! shard.

use std::cmp::Ordering::Equal;

use crate::interface::{DispatchOutcome, Idempotency};
use crate::state::{
    Candidate, Part, PartDispatch, PartState, Scan, Scheduler, SearcherIndex, SearcherMonitor, TypeIndex,
};

/// A replica that may get a part, ordered by preference: the lower, the better.
#[derive(PartialEq, PartialOrd)]
struct RankedReplica {
    tier: u8,
    /// The cost, rounded on a logarithmic scale: replicas whose costs differ by little count as equal.
    cost_level: f64,
    /// The part needs a new call: no call that leaves for the searcher in this turn has room for it.
    needs_call: bool,
    tie_breaker: f64,
    searcher: SearcherIndex,
}

/// The replica that [`Scheduler::best_replica`] chose for a part.
pub(super) struct Replica {
    tier: u8,
    cost: f64,
    pub(super) searcher: SearcherIndex,
}

impl Scheduler {
    /// Costs that differ by less than about this factor count as equal, because a latency smoothed over five
    /// parts is not more exact.
    pub(super) const EQUAL_COST_FACTOR: f64 = 1.5;

    /// The next dispatch of a part, if one may be made. Candidates without known trouble come first, then
    /// first dispatches before retries and hedges, then those of low cost for their weight.
    pub(super) fn candidate(
        &self,
        scan: &Scan,
        part_index: usize,
        within_budget: bool,
        now: f64,
    ) -> Option<Candidate> {
        let part = &scan.parts[part_index];
        let is_first = part.state == PartState::Unsent;
        if !is_first && !self.may_retry_or_hedge(scan, part, within_budget, now) {
            return None;
        }
        let Replica { tier, cost, searcher } = self.best_replica(scan, part, now)?;
        // A searcher that has just rejected the part as full would reject it again. The part waits for as
        // long as the searcher needs to finish one part.
        let rejected_as_full = PartDispatch { searcher, outcome: Some(DispatchOutcome::Full) };
        let must_wait = part.dispatches.contains(&rejected_as_full)
            && now < part.ended_at + self.baseline.work_ms[scan.table_type];
        let is_hedge = part.state == PartState::InFlight;
        let cost_bits = (cost / part.weight.max(Self::WEIGHT_TOLERANCE)).to_bits();
        let is_allowed = !must_wait && (!is_hedge || tier == 0);
        is_allowed.then_some(Candidate { tier, is_retry: !is_first, cost_bits, part: part_index, searcher })
    }

    /// Whether a part that was sent before may be sent again now.
    fn may_retry_or_hedge(&self, scan: &Scan, part: &Part, within_budget: bool, now: f64) -> bool {
        let is_hedge = part.hedge_due && self.permissions.hedge && part.dispatches.len() == 1;
        let is_wanted = part.state == PartState::Failed || is_hedge;
        let is_free = self.limits.retry_budget.is_none() && part.never_ran();
        is_wanted && self.may_repeat(scan, part, now) && (within_budget || is_free)
    }

    /// Whether executing a part once more does no harm. After its window, a keyed part that may have run
    /// would take effect again, whether this mixer or the client repeats it.
    pub(super) fn is_repeatable(&self, scan: &Scan, part: &Part, now: f64) -> bool {
        match self.table_types[scan.table_type].idempotency {
            Idempotency::Replayable => true,
            Idempotency::Keyed { window_ms } => part.never_ran() || now < part.accepted_at + window_ms,
            Idempotency::NonReplayable => part.never_ran(),
        }
    }

    /// Whether one more dispatch of a part is allowed, apart from budget and capacity.
    pub(super) fn may_repeat(&self, scan: &Scan, part: &Part, now: f64) -> bool {
        self.is_repeatable(scan, part, now)
            && part.dispatches.len() < self.permissions.max_dispatches as usize
    }

    /// Work of one more part at a searcher, with the overhead of a call if it needs one.
    pub(super) fn work_ms(&self, table_type: TypeIndex, searcher: SearcherIndex) -> f64 {
        let call_work_ms = if self.has_open_call(searcher) { 0.0 } else { self.layout.call_work_ms };
        self.baseline.work_ms[table_type] + call_work_ms
    }

    /// Chooses the replica with the lowest cost, which is its smoothed latency multiplied by the number of
    /// this mixer's calls in flight there, the new one included. Of replicas with equal cost, one that gets a
    /// call in this turn anyway is preferred, then the one with the lowest tie-breaker. Marked searchers and
    /// others with known trouble come last, but are used if there are no better ones.
    pub(super) fn best_replica(&self, scan: &Scan, part: &Part, now: f64) -> Option<Replica> {
        let holders = self.shard_map.holders(part.shard);
        let replicas = holders.filter_map(|searcher| self.rank_replica(scan, part, searcher, now));
        let best = replicas.min_by(|a, b| a.partial_cmp(b).unwrap_or(Equal))?;
        let cost = Self::EQUAL_COST_FACTOR.powf(best.cost_level);
        Some(Replica { tier: best.tier, cost, searcher: best.searcher })
    }

    fn rank_replica(
        &self,
        scan: &Scan,
        part: &Part,
        searcher: SearcherIndex,
        now: f64,
    ) -> Option<RankedReplica> {
        let state = &self.searchers[searcher];
        let health = &state.health;
        let is_hedge = part.state == PartState::InFlight;
        if !state.is_up()
            || !self.has_cold_capacity(state, scan, is_hedge, self.work_ms(scan.table_type, searcher), now)
        {
            return None;
        }
        let has_open_call = self.has_open_call(searcher);
        let other_calls = state.active_calls().saturating_sub(u32::from(has_open_call));
        let was_tried = part.dispatches.iter().any(|dispatch| dispatch.searcher == searcher);
        let is_late = health.oldest_ratio > self.baseline.mark_ratio;
        let is_avoided = health.marked || health.on_trial && other_calls > 0 || was_tried || is_late;
        // Of replicas with equal cost, a cold searcher ranks by the distance of its cell from the shard's
        // first cell instead of randomly. Neighbouring shards, which share searchers, then prefer different
        // ones, and find more capacity in total. The tie-breaker lies half a zone behind those of the warm
        // searchers: between 0.5 and 1.5 in the mixer's own zone (warm: 0 to 1), between 1.5 and 2.5 in other
        // zones (warm: 1 to 2).
        let tie_breaker = if self.is_cold(state, now) {
            state.tie_breaker.floor() + 0.5 + self.shard_map.distance(part.shard, state.cell)
        } else {
            state.tie_breaker
        };
        let latency = SearcherMonitor::decayed_latency(health, &self.baseline, state.zone, now);
        let cost = latency.ratio * f64::from(1 + other_calls);
        Some(RankedReplica {
            tier: u8::from(is_avoided),
            cost_level: cost.log(Self::EQUAL_COST_FACTOR).round(),
            needs_call: !has_open_call,
            tie_breaker,
            searcher,
        })
    }
}
