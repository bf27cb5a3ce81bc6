//! Ends of dispatches: what their outcome and latency mean for the searcher, its concurrency limit, and the
//! scan.

use std::rc::Rc;

use crate::interface::DispatchOutcome;
use crate::state::{
    Address, DispatchId, InFlightDispatch, Location, Message, PartState, Scheduler, Timer, Turn,
};

impl Scheduler {
    /// A part raises the concurrency limit if its latency, beyond its work, is within this share of the time
    /// between its work and its target time. The share is well under 1, because a scan waits for the slowest
    /// of its parts.
    const IN_TIME_SHARE: f64 = 0.5;
    /// The concurrency limit is multiplied by this when it is cut.
    const LIMIT_CUT: f64 = 0.8;

    pub(super) fn end_dispatch(
        &mut self,
        id: DispatchId,
        outcome: DispatchOutcome,
        took_ms: f64,
        turn: &mut Turn,
    ) {
        let Some(dispatch) = self.in_flight.remove(&id) else { return };
        self.timers.remove(dispatch.late_at, Timer::DispatchLate(id));
        if Rc::strong_count(&dispatch.call) == 1 {
            self.searchers[dispatch.searcher].calls -= 1;
        }
        let baseline_ms = self.baseline.latency_ms[dispatch.table_type];
        let searcher = &self.searchers[dispatch.searcher];
        let is_unanswered = matches!(outcome, DispatchOutcome::Cancelled | DispatchOutcome::TimedOut);
        let is_lost = is_unanswered
            && self.baseline.is_overtaken(
                dispatch.table_type,
                dispatch.sent_at,
                searcher.newest_success_sent_at,
            );
        let latency_ms = self.counted_latency_ms(&dispatch, outcome, took_ms, is_lost);
        if !matches!(outcome, DispatchOutcome::Cancelled | DispatchOutcome::ConnectFailed) {
            let was_lost = outcome != DispatchOutcome::Ok;
            self.connection_losses.record(dispatch.on_idle_connection, was_lost, turn.now);
        }
        if outcome == DispatchOutcome::Ok {
            self.record_success(&dispatch, latency_ms, turn);
        }
        // If the only call in flight got no answer, the answer may be lost or the searcher may be congested.
        // The parts that follow will show which it is, so that this one does not change the limit.
        let is_only_call = is_unanswered && self.searchers[dispatch.searcher].active_calls() == 0;
        if !(is_lost || is_only_call) {
            self.adapt_concurrency_limit(&dispatch, latency_ms, turn.now);
        }
        let message = Message::DispatchEnded {
            dispatch: id,
            ratio: latency_ms / baseline_ms,
            baseline_ms,
            outcome,
            sent_at: dispatch.sent_at,
        };
        turn.send(Address::monitor(dispatch.searcher), message);
        self.end_part_dispatch(id, outcome, turn);
    }

    /// The latency with which an ended dispatch counts. A failure must never look fast, so that it counts
    /// with the whole timeout. A cancelled dispatch counts with its age, and with the baseline at least.
    fn counted_latency_ms(
        &self,
        dispatch: &InFlightDispatch,
        outcome: DispatchOutcome,
        took_ms: f64,
        is_lost: bool,
    ) -> f64 {
        let baseline_ms = self.baseline.latency_ms[dispatch.table_type];
        match outcome {
            DispatchOutcome::Ok => took_ms,
            // The answer is lost, but the searcher is not slow. The loss costs the wait until a hedge, so
            // that it counts with at most the latency for which a searcher is marked.
            _ if is_lost => took_ms.clamp(baseline_ms, self.baseline.mark_ratio * baseline_ms),
            DispatchOutcome::Cancelled | DispatchOutcome::Moot => took_ms.max(baseline_ms),
            _ => took_ms.max(dispatch.timeout_ms),
        }
    }

    fn record_success(&mut self, dispatch: &InFlightDispatch, latency_ms: f64, turn: &mut Turn) {
        let searcher = &mut self.searchers[dispatch.searcher];
        searcher.last_success_at = turn.now;
        searcher.newest_success_sent_at = searcher.newest_success_sent_at.max(dispatch.sent_at);
        let message = Message::LatencySample { table_type: dispatch.table_type, latency_ms };
        turn.send(Address::BASELINE_TRACKER, message);
    }

    /// Adapts the limit on this mixer's calls in flight at a searcher (additive increase, multiplicative
    /// decrease). While parts are in time, the limit grows by about one call in one latency. When a part took
    /// too long, the limit is cut to a share of itself, or of the calls in flight if these are fewer; this
    /// happens at most once in one latency. It limits hot spots and congestion of any cause.
    fn adapt_concurrency_limit(&mut self, dispatch: &InFlightDispatch, latency_ms: f64, now: f64) {
        let searcher = &mut self.searchers[dispatch.searcher];
        let work_ms = self.baseline.work_ms[dispatch.table_type];
        let target_ms = self.table_types[dispatch.table_type].target_ms;
        if latency_ms <= work_ms + Self::IN_TIME_SHARE * (target_ms - work_ms) {
            searcher.concurrency_limit += 1.0 / searcher.concurrency_limit;
        } else if now - searcher.limit_cut_at > self.baseline.latency_ms[dispatch.table_type] {
            let used = f64::from(searcher.active_calls() + 1); // with the call of the ended dispatch
            searcher.concurrency_limit = (searcher.concurrency_limit.min(used) * Self::LIMIT_CUT).max(1.0);
            searcher.limit_cut_at = now;
        }
    }

    /// Updates the part of a dispatch that has ended, and advances its scan.
    fn end_part_dispatch(&mut self, id: DispatchId, outcome: DispatchOutcome, turn: &mut Turn) {
        let Some(&Location::Part { scan: index, part }) = self.locations.get(&id.part) else { return };
        let Some(scan) = self.scans.get_mut(&index) else { return };
        scan.connections_lost += u32::from(outcome == DispatchOutcome::Reset);
        let part = &mut scan.parts[part];
        part.dispatches[usize::from(id.number)].outcome = Some(outcome);
        part.ended_at = turn.now;
        if part.state == PartState::Answered {
            return;
        }
        if outcome == DispatchOutcome::Ok {
            part.state = PartState::Answered;
            part.hedge_due = false; // a hedge that is still due would send the part again
            turn.cancel(part.dispatches_in_flight(), self.permissions.cancel);
        } else if part.dispatches_in_flight().is_empty() {
            part.state = PartState::Failed;
            part.hedge_due = false;
        }
        self.advance(index, turn);
    }
}
