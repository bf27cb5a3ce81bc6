//! Admission control: a new scan is rejected if too few of its parts would be answered in time.

use super::CustomerTraffic;
use crate::state::{Part, RejectionReason, Scan, ScanIndex, Scheduler, SearcherIndex, SearcherMonitor};

impl Scheduler {
    /// A part may spend this share of the time between its own work and its target time waiting at its
    /// searcher.
    const MAX_WAIT_SHARE: f64 = 0.6;

    /// Returns why a new scan must be rejected, or none if it is admitted. It is rejected if too few of its
    /// parts have a replica that can answer one more part in time.
    pub(super) fn scan_rejection(&mut self, index: ScanIndex, now: f64) -> Option<RejectionReason> {
        self.set_parts_per_searcher(index);
        let scan = self.scans.get(&index)?;
        let mut admitted_weight = 0.0;
        let mut first_reason = None;
        for part in &scan.parts {
            match self.part_rejection(scan, part, now) {
                None => admitted_weight += part.weight,
                reason => first_reason = first_reason.or(reason),
            }
        }
        if admitted_weight + Self::WEIGHT_TOLERANCE < scan.required_weight { first_reason } else { None }
    }

    fn part_rejection(&self, scan: &Scan, part: &Part, now: f64) -> Option<RejectionReason> {
        if let Some(replica) = self.best_replica(scan, part, now) {
            return self.searcher_rejection(scan, replica.searcher, now);
        }
        let is_up = |searcher: SearcherIndex| self.searchers[searcher].is_up();
        if self.shard_map.holders(part.shard).any(is_up) {
            Some(RejectionReason::NoColdCapacity)
        } else {
            Some(RejectionReason::NoSearcherUp)
        }
    }

    /// Why a searcher cannot answer one more part of a scan in time, or none if it can. With calls in flight,
    /// the reason is a part in flight that is too old, or the concurrency limit; without, it is a smoothed
    /// latency that is too high.
    ///
    /// A searcher that was sent nothing for the retry interval gets the part in any case: if all parts were
    /// rejected, its latency would never be renewed. The interval is such that all mixers together do this a
    /// few times in a slice.
    fn searcher_rejection(&self, scan: &Scan, searcher: SearcherIndex, now: f64) -> Option<RejectionReason> {
        let state = &self.searchers[searcher];
        let retry_interval_ms =
            SearcherMonitor::SLICE_MS * self.mixer_count / f64::from(SearcherMonitor::MIN_SLICE_PARTS);
        if now - state.last_sent_at >= retry_interval_ms {
            return None;
        }
        let left_ms = scan.target_at - now;
        let baseline_ms = self.baseline.latency_ms[scan.table_type];
        let work_ms = self.baseline.work_ms[scan.table_type].min(left_ms);
        // A part whose work takes most of the time that is left would be rejected for a small delay, even if
        // nothing is slow. Delays by up to this factor count as equal, and so are always allowed.
        let max_latency_ms =
            (work_ms + Self::MAX_WAIT_SHARE * (left_ms - work_ms)).max(Self::EQUAL_COST_FACTOR * work_ms);
        let calls = state.active_calls();
        if calls == 0 {
            // The latency was observed on parts of any table type. Whether the searcher is slow, which delays
            // all parts by the same ratio, or had a queue, which delays them by the same time, is not known.
            // The lower estimate is used, so that parts of one table type do not block those of another.
            let latency = SearcherMonitor::decayed_latency(&state.health, &self.baseline, state.zone, now);
            let expected_ms = (latency.ratio * baseline_ms).min(baseline_ms + latency.excess_ms);
            return (expected_ms > max_latency_ms).then_some(RejectionReason::Latency);
        }
        if baseline_ms + state.health.oldest_excess_ms > max_latency_ms {
            return Some(RejectionReason::OldestPart);
        }
        let limit = if self.customers.is_over_quota(scan.customer) {
            CustomerTraffic::OVER_QUOTA_LIMIT_SHARE * state.concurrency_limit
        } else {
            state.concurrency_limit
        };
        (f64::from(calls + 1) > limit).then_some(RejectionReason::ConcurrencyLimit)
    }
}
