//! Time slices of a searcher: which parts belong to a slice, their ages, and when a slice marks the searcher.

use std::collections::BTreeSet;

use crate::interface::DispatchOutcome;
use crate::report::MarkEvidence;
use crate::state::{
    Address, Baseline, DispatchId, Message, MonitoredPart, SearcherMonitor, Slice, Turn, TypeIndex,
};

impl SearcherMonitor {
    /// Length of a time slice: half a second, as in the design. The ShortTail paper asks for the shortest
    /// slice that holds enough parts.
    pub(super) const SLICE_MS: f64 = 500.0;
    /// A slice stays open until it has this many parts, and is judged only then. With three parts, one that
    /// is slow raises the average over the threshold of three only if its latency ratio is over 7, as long as
    /// the two others are normal. With fewer parts, a lower ratio would do.
    pub(super) const MIN_SLICE_PARTS: u32 = 3;

    pub(super) fn record_sent(&mut self, dispatch: DispatchId, table_type: TypeIndex, now: f64) {
        let is_open =
            |slice: &Slice| now - slice.started_at < Self::SLICE_MS || slice.sent < Self::MIN_SLICE_PARTS;
        if !self.slices.last().is_some_and(is_open) {
            self.slices.push(Slice::starting_at(now));
        }
        if let Some(slice) = self.slices.last_mut() {
            slice.sent += 1;
            slice.in_flight.push(MonitoredPart { dispatch, table_type, sent_at: now });
        }
    }

    /// Counts an ended part in its slice, and in the trial of a searcher that was readmitted.
    pub(super) fn record_ended(
        &mut self,
        dispatch: DispatchId,
        ratio: f64,
        outcome: DispatchOutcome,
        turn: &mut Turn,
    ) {
        let holds_part = |slice: &&mut Slice| slice.in_flight.iter().any(|part| part.dispatch == dispatch);
        let Some(slice) = self.slices.iter_mut().find(holds_part) else { return };
        slice.in_flight.retain(|part| part.dispatch != dispatch);
        slice.ratio_sum += ratio;
        // A failed part says nothing about speed. A slice with one is not reported to the baseline tracker,
        // as it would raise the median that all searchers are compared with.
        slice.without_failure &= !matches!(
            outcome,
            DispatchOutcome::Error | DispatchOutcome::ConnectFailed | DispatchOutcome::Reset
        );
        let is_good = ratio <= self.baseline.mark_ratio && outcome == DispatchOutcome::Ok;
        let is_withdrawn = matches!(outcome, DispatchOutcome::Cancelled | DispatchOutcome::Moot);
        if self.health.on_trial && !is_good && !is_withdrawn {
            self.mark(MarkEvidence { relative_latency: ratio, parts: 1 }, turn);
        }
        self.health.on_trial &= !is_good && !self.health.marked;
    }

    /// Updates the highest age of the parts in flight that were not overtaken, and the count of overtaken
    /// calls.
    pub(super) fn update_ages(&mut self, now: f64) {
        let mut oldest_excess_ms = 0.0;
        let mut oldest_ratio = 0.0;
        // The parts of one call are sent at the same time, so that calls are counted by their distinct times.
        let mut overtaken_calls = BTreeSet::new();
        for part in self.slices.iter().flat_map(|slice| &slice.in_flight) {
            if self.baseline.is_overtaken(part.table_type, part.sent_at, self.newest_success_sent_at) {
                overtaken_calls.insert(part.sent_at.to_bits());
                continue;
            }
            let age_ms = now - part.sent_at;
            let baseline_ms = self.baseline.latency_ms[part.table_type];
            oldest_excess_ms = f64::max(oldest_excess_ms, age_ms - baseline_ms);
            oldest_ratio = f64::max(oldest_ratio, age_ms / baseline_ms);
        }
        self.health.oldest_excess_ms = oldest_excess_ms;
        self.health.oldest_ratio = oldest_ratio;
        self.health.overtaken_calls = overtaken_calls.len() as u32;
    }

    /// Judges each slice once it is over and all its parts have ended, and earlier if the ages of its parts
    /// in flight raise its average over the threshold: a searcher that hangs would otherwise be marked only
    /// after the last timeout. A sound searcher whose few parts are all heavy may be marked too, and then
    /// gets no traffic until the next probe.
    pub(super) fn judge_slices(&mut self, turn: &mut Turn) {
        let now = turn.now;
        let mark_ratio = self.baseline.mark_ratio;
        let mut worst = MarkEvidence { relative_latency: 0.0, parts: 0 };
        self.slices.retain(|slice| {
            let mean_ratio = slice.mean_ratio(&self.baseline, self.newest_success_sent_at, now);
            let is_over = now - slice.started_at >= Self::SLICE_MS && slice.in_flight.is_empty();
            let is_decided = slice.sent >= Self::MIN_SLICE_PARTS && (is_over || mean_ratio > mark_ratio);
            if is_decided && mean_ratio > worst.relative_latency {
                worst = MarkEvidence { relative_latency: mean_ratio, parts: slice.sent };
            }
            if is_decided && slice.without_failure {
                let message = Message::SliceEnded { searcher: self.searcher, mean_ratio };
                turn.send(Address::BASELINE_TRACKER, message);
            }
            !is_decided
        });
        if worst.relative_latency > mark_ratio {
            self.mark(worst, turn);
        }
    }
}

impl Slice {
    /// Mean latency ratio of its parts. A part in flight counts with its age. The answer of an overtaken part
    /// is probably lost, so that it counts with the threshold at most.
    fn mean_ratio(&self, baseline: &Baseline, newest_success_sent_at: f64, now: f64) -> f64 {
        let age_ratios = self.in_flight.iter().map(|part| {
            let is_overtaken = baseline.is_overtaken(part.table_type, part.sent_at, newest_success_sent_at);
            let highest = if is_overtaken { baseline.mark_ratio } else { f64::INFINITY };
            ((now - part.sent_at) / baseline.latency_ms[part.table_type]).min(highest)
        });
        let age_ratio_sum: f64 = age_ratios.sum();
        (self.ratio_sum + age_ratio_sum) / f64::from(self.sent)
    }
}
