//! Dispatches: a part is sent to a searcher, and may be hedged once it is late.

use std::rc::Rc;

use crate::interface::Action;
use crate::state::{
    Address, ConnectionLosses, DispatchId, InFlightDispatch, Location, Message, OpenCall, PartDispatch,
    PartState, Scan, ScanIndex, Scheduler, SearcherIndex, Timer, Turn, TypeIndex,
};

impl Scheduler {
    /// A dispatch is late after this share of the time that its scan has left until its target time, and
    /// earlier if its age reaches the latency for which a searcher is marked.
    const LATE_TARGET_SHARE: f64 = 0.5;

    pub(super) fn dispatch(
        &mut self,
        index: ScanIndex,
        part_index: usize,
        searcher: SearcherIndex,
        turn: &mut Turn,
    ) {
        let now = turn.now;
        let Some(scan) = self.scans.get(&index) else { return };
        let table_type = scan.table_type;
        let timeout_ms = self.timeout_ms(scan, now);
        let late_at = now + self.late_after_ms(scan, now);
        let work_ms = self.work_ms(table_type, searcher);
        let on_idle_connection = self.open_call_if_needed(searcher, turn);
        let Some(open_call) = self.open_calls.get_mut(&searcher) else { return };
        open_call.parts += 1;
        let call = open_call.call.clone();
        let Some(id) = self.add_part_dispatch(index, part_index, searcher, now) else { return };
        let in_flight = InFlightDispatch {
            searcher,
            table_type,
            call,
            sent_at: now,
            late_at,
            timeout_ms,
            on_idle_connection,
        };
        self.in_flight.insert(id, in_flight);
        self.timers.add(late_at, Timer::DispatchLate(id));
        self.record_sent_work(searcher, table_type, work_ms, now);
        let address = self.searchers[searcher].address;
        turn.actions.push(Action::Dispatch { part: id.part, searcher: address, timeout_ms });
        let message = Message::DispatchSent { dispatch: id, table_type, baseline: self.baseline.clone() };
        turn.send(Address::monitor(searcher), message);
    }

    /// Timeout of a dispatch. It lasts as long as the answer is of use to the scan, and half of
    /// [`Self::ANSWER_LEAD_MS`] longer, so that it ends after the scan but before the client's deadline.
    fn timeout_ms(&self, scan: &Scan, now: f64) -> f64 {
        let is_late_useful = self.table_types[scan.table_type].late_benefit_share > 0.0;
        let useful_until =
            if is_late_useful { scan.deadline_at } else { scan.deadline_at.min(scan.target_at) };
        (useful_until - now).max(1.0) + Self::ANSWER_LEAD_MS / 2.0
    }

    /// Time after which a dispatch is late, and may be hedged. It is [`Self::ANSWER_LEAD_MS`] at least.
    fn late_after_ms(&self, scan: &Scan, now: f64) -> f64 {
        let mark_ms = self.baseline.mark_ratio * self.baseline.latency_ms[scan.table_type];
        let left_ms = (scan.target_at - now) * Self::LATE_TARGET_SHARE;
        mark_ms.min(left_ms).max(Self::ANSWER_LEAD_MS)
    }

    /// Adds a dispatch to a part's history, and counts it against the retry budget if the part was sent
    /// before. Where the deployment states no budget, the default one limits work that is done twice: a part
    /// that never ran is retried without being counted.
    fn add_part_dispatch(
        &mut self,
        index: ScanIndex,
        part_index: usize,
        searcher: SearcherIndex,
        now: f64,
    ) -> Option<DispatchId> {
        let part = &mut self.scans.get_mut(&index)?.parts[part_index];
        let id = DispatchId { part: part.id, number: part.dispatches.len() as u8 };
        let was_sent = !part.dispatches.is_empty();
        if was_sent && (self.limits.retry_budget.is_some() || !part.never_ran()) {
            self.retry_budget.count_spent(now);
        }
        part.dispatches.push(PartDispatch { searcher, outcome: None });
        part.state = PartState::InFlight;
        part.hedge_due = false;
        Some(id)
    }

    /// Opens a call to a searcher unless a call with room for one more part leaves in this turn anyway.
    /// Returns whether the connection had long been idle, or none if idle connections are closed and a new
    /// one is used.
    fn open_call_if_needed(&mut self, searcher: SearcherIndex, turn: &mut Turn) -> Option<bool> {
        let now = turn.now;
        let is_idle = now - self.searchers[searcher].last_success_at > ConnectionLosses::IDLE_MS;
        if self.has_open_call(searcher) {
            return Some(is_idle);
        }
        let state = &mut self.searchers[searcher];
        let is_distrusted = is_idle && state.calls == 0 && now < self.connection_losses.distrusted_until;
        if is_distrusted {
            turn.actions.push(Action::CloseIdleConnections { searcher: state.address });
        }
        state.calls += 1;
        self.open_calls.insert(searcher, OpenCall { call: Rc::new(()), parts: 0 });
        (!is_distrusted).then_some(is_idle)
    }

    /// Counts sent work in this mixer's traffic and, if a start of the searcher is known, against the
    /// capacity that it has while it is cold.
    fn record_sent_work(&mut self, searcher: SearcherIndex, table_type: TypeIndex, work_ms: f64, now: f64) {
        let state = &mut self.searchers[searcher];
        state.last_sent_at = now;
        self.sent_work_rate += work_ms / Self::TRAFFIC_MS;
        if state.latest_start_at() > 0.0 {
            // Only an overload window is looked back on, and only while the searcher is cold.
            let kept_ms = self.limits.overload_window_ms.min(self.limits.warm_up_ms);
            state.recent_work.record(now, table_type, work_ms);
            state.recent_work.drop_front_while(|sent| sent.last_at < now - kept_ms);
        }
    }

    /// Allows a hedge for a part that is late while its searcher is not marked. The hedge budget limits this,
    /// because under overload all parts are late.
    pub(super) fn handle_late_dispatch(&mut self, id: DispatchId, now: f64) {
        let Some(dispatch) = self.in_flight.get_mut(&id) else { return };
        self.connection_losses.record(dispatch.on_idle_connection.take(), true, now);
        if self.hedge_budget.allows_one_more(now, self.busy_share) {
            self.hedge_budget.count_spent(now);
            self.request_hedge(id.part);
        }
    }

    /// Allows a hedge for a part that is late, or in flight at a searcher that was just marked.
    pub(super) fn request_hedge(&mut self, part: u64) {
        let Some(&Location::Part { scan: index, part }) = self.locations.get(&part) else { return };
        let Some(scan) = self.scans.get_mut(&index) else { return };
        let part = &mut scan.parts[part];
        part.hedge_due = part.state == PartState::InFlight && part.dispatches.len() == 1;
        self.changed_scans.insert(index);
    }
}
