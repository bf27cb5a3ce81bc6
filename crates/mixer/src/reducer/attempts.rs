//! Attempts: from the decision module's dispatch of a part to a searcher, to the one outcome of that
//! dispatch.

use std::net::SocketAddrV4;
use std::rc::Rc;

use pewterwharf::interface::{DispatchOutcome, Event};
use tracing::debug;

use super::Reducer;
use super::rules::SendRefusal;
use super::state::{Attempt, AttemptId, ExpectedAnswer, Link, PartId, QueuedFrame, Timer};
use crate::clock::UnixMs;
use crate::frame::{Frame, FrameError, Verdict};
use crate::inputs::LinkId;

impl Reducer {
    /// Starts an attempt of a part; `None` if it must not be sent.
    pub(super) fn dispatch(
        &mut self,
        now: UnixMs,
        part_id: PartId,
        searcher: SocketAddrV4,
        timeout_ms: f64,
    ) -> Option<AttemptId> {
        let Some(part) = self.parts.get_mut(&part_id) else {
            self.warn(now, "the decision module dispatched a part whose scan is over");
            return None;
        };
        let attempt_id = AttemptId { part: part_id, number: part.attempts };
        part.attempts = part.attempts.saturating_add(1);
        let wait_until = now + timeout_ms;
        let part_name = part.name.clone();
        let last_outcome = part.last_outcome;
        self.counters.dispatches += 1;
        if attempt_id.number > 0 {
            self.count_retry(&part_name, attempt_id.number, last_outcome);
        }
        let attempt =
            Attempt { part_name, link: 0, call: 0, searcher, dispatched_at: now, wait_until, frame: None };
        self.attempts.insert(attempt_id, attempt);
        if u32::from(attempt_id.number) >= self.config.permissions.max_dispatches {
            self.refuse_send(now, attempt_id, SendRefusal::AttemptsUsedUp);
            return None;
        }
        self.add_timer(wait_until, Timer::AttemptTimeout(attempt_id));
        Some(attempt_id)
    }

    /// Counts a further attempt by how the part's last one ended. If that is still open, this one is a hedge.
    fn count_retry(&mut self, part_name: &str, number: u8, last_outcome: Option<DispatchOutcome>) {
        self.counters.dispatches_further += 1;
        let count = match last_outcome {
            None => &mut self.counters.hedges,
            Some(DispatchOutcome::Ok | DispatchOutcome::Cancelled | DispatchOutcome::Moot) => {
                &mut self.counters.retries_after_none_sent
            }
            Some(DispatchOutcome::Error) => &mut self.counters.retries_after_error,
            Some(DispatchOutcome::Full) => &mut self.counters.retries_after_full,
            Some(DispatchOutcome::TimedOut) => &mut self.counters.retries_after_time_out,
            Some(DispatchOutcome::ConnectFailed) => &mut self.counters.retries_after_connect_failed,
            Some(DispatchOutcome::Reset) => &mut self.counters.retries_after_reset,
        };
        *count += 1;
        debug!("{part_name}: attempt {number} after {last_outcome:?}");
    }

    /// The first link to a searcher on which a call with these attempts may be sent.
    fn link_with_room(&self, searcher: SocketAddrV4, attempt_ids: &[AttemptId]) -> Option<LinkId> {
        let part_names: Vec<&Rc<str>> =
            attempt_ids.iter().filter_map(|id| Some(&self.attempts.get(id)?.part_name)).collect();
        let has_room = |link: &Link| {
            // An answer to an earlier attempt of a part must not be taken for the answer to this one.
            let expects_other = |name: &&Rc<str>| {
                link.expected.get(*name).is_some_and(|other| *other != ExpectedAnswer::Duplicate)
            };
            link.open_calls.len() < self.config.max_calls_per_connection
                && !part_names.iter().any(expects_other)
        };
        self.usable_links(searcher).into_iter().find(|id| self.links.get(id).is_some_and(has_room))
    }

    /// Queues a call on the first link with room, or on a new one. If none can be opened, the attempts fail.
    pub(super) fn queue_call(&mut self, now: UnixMs, searcher: SocketAddrV4, attempt_ids: &[AttemptId]) {
        let link_id = self.link_with_room(searcher, attempt_ids).or_else(|| self.connect(now, searcher));
        let Some(link_id) = link_id else {
            for attempt_id in attempt_ids {
                self.end_attempt(now, *attempt_id, DispatchOutcome::ConnectFailed);
            }
            return;
        };
        let call = self.next_id();
        for attempt_id in attempt_ids {
            let Some(attempt) = self.attempts.get_mut(attempt_id) else { continue };
            attempt.link = link_id;
            attempt.call = call;
            if let Some(link) = self.links.get_mut(&link_id) {
                *link.open_calls.entry(call).or_default() += 1;
                link.expected.insert(attempt.part_name.clone(), ExpectedAnswer::Attempt(*attempt_id));
            }
        }
        self.enqueue(link_id, QueuedFrame::Call { call, attempt_ids: attempt_ids.to_vec() });
    }

    pub(super) fn time_out(&mut self, now: UnixMs, attempt_id: AttemptId) {
        let Some(attempt) = self.attempts.get(&attempt_id) else { return };
        // An attempt that still waits for its connection was never sent.
        let outcome = if attempt.frame.is_some() { DispatchOutcome::TimedOut } else { DispatchOutcome::Moot };
        let link_id = attempt.link;
        let dispatched_at = attempt.dispatched_at;
        self.cancel_attempt(now, attempt_id, outcome);
        self.check_silent(link_id, dispatched_at);
    }

    /// Ends an attempt whose answer is no longer awaited. If it was sent and the deployment permits it, its
    /// searcher is sent a cancellation.
    pub(super) fn cancel_attempt(&mut self, now: UnixMs, attempt_id: AttemptId, outcome: DispatchOutcome) {
        let Some(attempt) = self.attempts.get(&attempt_id) else { return };
        if attempt.frame.is_some() && self.config.permissions.cancel {
            let link_id = attempt.link;
            let cancel = QueuedFrame::Cancel(attempt.part_name.clone());
            self.enqueue(link_id, cancel);
        }
        self.end_attempt(now, attempt_id, outcome);
    }

    pub(super) fn end_attempt(&mut self, now: UnixMs, attempt_id: AttemptId, outcome: DispatchOutcome) {
        self.end_attempt_with_load(now, attempt_id, outcome, None);
    }

    /// Records the outcome of an attempt and reports it to the decision module. `busy`: the busy share that the
    /// searcher reported with its answer.
    fn end_attempt_with_load(
        &mut self,
        now: UnixMs,
        attempt_id: AttemptId,
        outcome: DispatchOutcome,
        busy: Option<f64>,
    ) {
        let Some(attempt) = self.attempts.remove(&attempt_id) else { return };
        self.remove_timer(attempt.wait_until, Timer::AttemptTimeout(attempt_id));
        let count = match outcome {
            DispatchOutcome::Ok => &mut self.counters.ended_ok,
            DispatchOutcome::Error => &mut self.counters.ended_error,
            DispatchOutcome::Full => &mut self.counters.ended_full,
            DispatchOutcome::TimedOut => &mut self.counters.ended_timed_out,
            DispatchOutcome::ConnectFailed => &mut self.counters.ended_connect_failed,
            DispatchOutcome::Reset => &mut self.counters.ended_reset,
            DispatchOutcome::Cancelled => &mut self.counters.ended_cancelled,
            DispatchOutcome::Moot => &mut self.counters.ended_moot,
        };
        *count += 1;
        let was_sent = attempt.frame.is_some();
        if let Some(part) = self.parts.get_mut(&attempt_id.part) {
            part.last_outcome = Some(outcome);
            if was_sent && outcome.never_ran() {
                part.may_have_run = part.may_have_run.saturating_sub(1);
            }
        }
        let took_ms = now - attempt.dispatched_at;
        let AttemptId { part, number } = attempt_id;
        debug!("{}: attempt {number} ended as {outcome:?} after {took_ms:.1} ms", attempt.part_name);
        if let Some(link) = self.links.get_mut(&attempt.link) {
            link.finish_attempt(&attempt.part_name, was_sent);
            link.finish_part_of_call(attempt.call);
            self.check_idle(now, attempt.link);
        }
        let searcher = attempt.searcher;
        self.events.push(Event::DispatchEnded { part, dispatch: number, searcher, outcome, took_ms, busy });
    }

    /// Receives frames that arrived together on a link. `error`: why what is directly behind them can't be read.
    ///
    /// If that may be the rest of the last answer's value, the answer is not accepted: a value that was cut can't be
    /// told from a whole one with excess text behind it. Its attempt ends with the link, as one that may have run.
    pub(super) fn receive_frames(
        &mut self,
        now: UnixMs,
        link_id: LinkId,
        mut frames: Vec<Frame>,
        error: Option<FrameError>,
    ) {
        let may_be_cut = error.as_ref().is_some_and(|error| error.may_continue_value);
        let is_answer = |frame: &mut Frame| matches!(frame, Frame::Part { .. });
        if may_be_cut && frames.pop_if(is_answer).is_some() {
            self.counters.answers_doubted += 1;
            debug!("link {link_id}: the rest of the last answer's value may be behind it");
        }
        for frame in frames {
            self.receive_frame(now, link_id, frame);
        }
        if let Some(error) = error {
            self.reject_frame(now, link_id, &error.reason);
        }
    }

    fn receive_frame(&mut self, now: UnixMs, link_id: LinkId, frame: Frame) {
        let Some(link) = self.links.get_mut(&link_id) else { return };
        link.last_received_at = now;
        link.silent = false;
        match frame {
            Frame::Part { id: part_name, verdict, value, busy } => {
                let Some(expected) = link.expected.get_mut(part_name.as_str()) else {
                    let reason = format!("an answer for {part_name}, which was never sent on it");
                    return self.reject_frame(now, link_id, &reason);
                };
                let attempt_id = expected.attempt_id();
                *expected = ExpectedAnswer::Duplicate;
                let Some(attempt_id) = attempt_id else {
                    self.counters.answers_stale += 1;
                    return;
                };
                self.receive_answer(now, attempt_id, verdict, value, busy);
            }
            // Without permission to probe, answers to probes carry no information.
            Frame::Probe(None) if self.config.permissions.probe => {
                self.reject_frame(now, link_id, "a probe's answer of unknown words");
            }
            Frame::Probe(verdict) => self.receive_probe_answer(now, link_id, verdict),
            Frame::Unusable(reason) => self.reject_frame(now, link_id, &format!("Z: {reason}")),
        }
    }

    fn receive_answer(
        &mut self,
        now: UnixMs,
        attempt_id: AttemptId,
        verdict: Verdict,
        value: String,
        busy: Option<f64>,
    ) {
        let outcome = match verdict {
            Verdict::Ok => DispatchOutcome::Ok,
            Verdict::Error => DispatchOutcome::Error,
            Verdict::Full => DispatchOutcome::Full,
        };
        if let Some(part) = self.parts.get_mut(&attempt_id.part).filter(|_| outcome == DispatchOutcome::Ok) {
            part.value.get_or_insert(value);
        }
        let busy = busy.filter(|_| self.config.load_share_index.is_some());
        self.end_attempt_with_load(now, attempt_id, outcome, busy);
    }

    fn receive_probe_answer(&mut self, now: UnixMs, link_id: LinkId, verdict: Option<Verdict>) {
        let Some(link) = self.links.get_mut(&link_id) else { return };
        let Some(probe) = link.probes.pop_front() else {
            self.counters.answers_stale += 1;
            return;
        };
        if !probe.reported {
            let outcome =
                if verdict == Some(Verdict::Error) { DispatchOutcome::Error } else { DispatchOutcome::Ok };
            self.counters.probes_ok += u64::from(outcome == DispatchOutcome::Ok);
            let took_ms = now - probe.sent_at;
            self.events.push(Event::ProbeEnded { searcher: link.searcher, outcome, took_ms });
        }
        self.check_idle(now, link_id);
    }
}
