//! Frames: what is written next on a link. A frame is encoded right before its first byte is written and not
//! earlier. Until then anything in the queue can still be withdrawn, and the remaining time that a frame states
//! is exact when it is written.

use std::collections::BTreeSet;

use pewterwharf::interface::DispatchOutcome;
use tracing::debug;

use super::Reducer;
use super::rules::{self, LinkCloseReason, SendRefusal, SendRequest, Violation};
use super::state::{AttemptId, CallId, LinkState, QueuedFrame, Timer};
use crate::clock::UnixMs;
use crate::frame::{self, CallPart};
use crate::inputs::{ConnectionId, Effect, LinkId};

/// Delay of the first retry of a write on a blocked link; it doubles with each further retry. The reading
/// thread reports when a link whose buffer was full becomes writable. A write that failed only for a moment is
/// followed by no such report, so writes are also retried after a delay.
const FIRST_WRITE_RETRY_MS: f64 = 10.0;

/// A frame whose first byte is to be written now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingFrame {
    pub bytes: Vec<u8>,
    /// The clients that it is sent for. Writing must not begin once one of them has disconnected.
    pub clients: Vec<ConnectionId>,
}

impl OutgoingFrame {
    fn without_clients(bytes: Vec<u8>) -> Self {
        Self { bytes, clients: Vec::new() }
    }
}

impl Reducer {
    /// Queues a frame on a link.
    pub(super) fn enqueue(&mut self, link_id: LinkId, queued: QueuedFrame) {
        let Some(link) = self.links.get_mut(&link_id) else { return };
        match queued {
            // Written before new calls, as it frees capacity of the searcher.
            QueuedFrame::Cancel(part_name) => link.cancels.push_back(part_name),
            queued => link.queue.push_back(queued),
        }
        if link.state == LinkState::Up {
            self.effects.push(Effect::Send { link: link_id });
        }
    }

    /// The next frame to write on a link, with only those attempts that may be sent now; `None` if nothing may
    /// be. On a closing link only cancellations are still sent. `disconnected`: clients whose connections have
    /// ended, whether or not an input has reported that.
    ///
    /// The frame states the time that is left at `now`, so its first byte has to be written at once. If that is
    /// not possible, or one of its clients has disconnected, it has to be [returned](Self::return_frame).
    pub fn next_frame(
        &mut self,
        now: UnixMs,
        link_id: LinkId,
        disconnected: &[ConnectionId],
    ) -> Option<OutgoingFrame> {
        loop {
            let mut queued = self.links.get_mut(&link_id)?.take_next_frame()?;
            if let QueuedFrame::Call { call, attempt_ids } = &mut queued {
                let all_ids = std::mem::take(attempt_ids);
                *attempt_ids = self.take_sendable(now, link_id, *call, all_ids, disconnected);
                if !self.events.is_empty() {
                    self.add_timer(now, Timer::UnsentAttempts);
                }
            }
            let outgoing = self.encode_queued(now, link_id, &queued);
            if let (Some(outgoing), Some(link)) = (outgoing, self.links.get_mut(&link_id)) {
                link.frames_begun += 1;
                link.last_frame = Some(queued);
                return Some(outgoing);
            }
        }
    }

    /// Encodes a frame that was queued; `None` if nothing of it may be sent any more.
    fn encode_queued(&mut self, now: UnixMs, link_id: LinkId, queued: &QueuedFrame) -> Option<OutgoingFrame> {
        match queued {
            QueuedFrame::Probe => self.probe_frame(link_id).map(OutgoingFrame::without_clients),
            QueuedFrame::Cancel(part_name) => {
                Some(OutgoingFrame::without_clients(frame::encode_cancel(part_name)))
            }
            QueuedFrame::Call { attempt_ids, .. } => self.call_frame(now, attempt_ids),
        }
    }

    /// Takes back the frame that [`Self::next_frame`] returned last for a link. No byte of it may have been
    /// written. It is queued again as the next one.
    pub fn return_frame(&mut self, link_id: LinkId) {
        let Some(link) = self.links.get_mut(&link_id) else { return };
        let Some(queued) = link.last_frame.take() else { return };
        link.frames_begun -= 1;
        match queued {
            QueuedFrame::Probe => {
                let number = Some(link.frames_begun);
                for probe in link.probes.iter_mut().filter(|probe| probe.frame == number) {
                    probe.frame = None;
                }
                link.queue.push_front(QueuedFrame::Probe);
            }
            QueuedFrame::Cancel(part_name) => link.cancels.push_front(part_name),
            QueuedFrame::Call { call, attempt_ids } => {
                for attempt_id in &attempt_ids {
                    if let Some(attempt) = self.attempts.get_mut(attempt_id) {
                        attempt.frame = None;
                    }
                    if let Some(part) = self.parts.get_mut(&attempt_id.part) {
                        part.may_have_run = part.may_have_run.saturating_sub(1);
                    }
                }
                link.queue.push_front(QueuedFrame::Call { call, attempt_ids });
            }
        }
    }

    /// Handles that a searcher accepts no more bytes: the write is retried, and the link is closed if nothing
    /// is accepted for the connect timeout.
    pub(super) fn link_blocked(&mut self, now: UnixMs, link_id: LinkId, made_progress: bool) {
        let Some(link) = self.links.get_mut(&link_id) else { return };
        let still_blocked = link.blocked_since.is_some() && !made_progress;
        link.write_retry_ms = if still_blocked { 2.0 * link.write_retry_ms } else { FIRST_WRITE_RETRY_MS };
        let retry_at = now + link.write_retry_ms;
        if !still_blocked {
            link.blocked_since = Some(now);
            self.counters.links_blocked += 1;
            debug!(
                "link {link_id} to {}: blocked, {} calls and probes are queued",
                link.address,
                link.queue.len()
            );
            self.add_timer(now + self.config.connect_timeout_ms, Timer::LinkStuck(link_id));
        }
        self.add_timer(retry_at, Timer::LinkWriteRetry(link_id));
    }

    pub(super) fn retry_blocked(&mut self, link_id: LinkId) {
        if self.links.get(&link_id).is_some_and(|link| link.blocked_since.is_some()) {
            self.effects.push(Effect::RetryWrite { link: link_id });
        }
    }

    pub(super) fn link_writable(&mut self, link_id: LinkId) {
        if let Some(link) = self.links.get_mut(&link_id) {
            link.blocked_since = None;
        }
    }

    pub(super) fn close_if_stuck(&mut self, now: UnixMs, link_id: LinkId) {
        let since = self.links.get(&link_id).and_then(|link| link.blocked_since);
        if since.is_some_and(|since| now >= since + self.config.connect_timeout_ms) {
            self.close_link(link_id, LinkCloseReason::Stuck);
        }
    }

    /// The attempts of a call that may be sent now, marked as sent. The others end unsent.
    fn take_sendable(
        &mut self,
        now: UnixMs,
        link_id: LinkId,
        call: CallId,
        attempt_ids: Vec<AttemptId>,
        disconnected: &[ConnectionId],
    ) -> Vec<AttemptId> {
        let is_open = |id: &AttemptId| self.attempts.get(id).is_some_and(|attempt| attempt.call == call);
        let open: Vec<AttemptId> = attempt_ids.into_iter().filter(is_open).collect();
        let mut sent = Vec::new();
        for attempt_id in open {
            match self.may_send(now, link_id, attempt_id, disconnected) {
                Ok(()) => {
                    self.mark_sent(now, link_id, attempt_id);
                    sent.push(attempt_id);
                }
                Err(refusal) => self.refuse_send(now, attempt_id, refusal),
            }
        }
        sent
    }

    /// The frame of a call with these attempts; `None` if there are none.
    fn call_frame(&self, now: UnixMs, attempt_ids: &[AttemptId]) -> Option<OutgoingFrame> {
        let call_part = |id: &AttemptId| {
            let attempt = self.attempts.get(id)?;
            let part = self.parts.get(&id.part)?;
            let text = &self.scans.get(&part.scan)?.text;
            let wait_ms = (attempt.wait_until - now).max(1.0) as u64;
            Some(CallPart { id: &part.name, shard: part.shard, wait_ms, text })
        };
        let call_parts: Vec<CallPart> = attempt_ids.iter().filter_map(call_part).collect();
        if call_parts.is_empty() {
            return None;
        }
        let client = |id: &AttemptId| Some(self.scans.get(&self.parts.get(&id.part)?.scan)?.connection_id);
        let clients: BTreeSet<ConnectionId> = attempt_ids.iter().filter_map(client).collect();
        Some(OutgoingFrame { bytes: frame::encode_call(&call_parts), clients: clients.into_iter().collect() })
    }

    fn may_send(
        &self,
        now: UnixMs,
        link_id: LinkId,
        attempt_id: AttemptId,
        disconnected: &[ConnectionId],
    ) -> Result<(), SendRefusal> {
        let attempt = self.attempts.get(&attempt_id).ok_or(SendRefusal::QueryOver)?;
        let link = self.links.get(&link_id).ok_or(SendRefusal::SearcherNotReady)?;
        let part = self.parts.get(&attempt_id.part).ok_or(SendRefusal::QueryOver)?;
        let query = self.scans.get(&part.scan).ok_or(SendRefusal::QueryOver)?;
        let request = SendRequest {
            part,
            number: attempt_id.number,
            wait_until: attempt.wait_until,
            max_attempts: self.config.permissions.max_dispatches,
            searcher: self.searchers.get(&attempt.searcher),
            link,
        };
        rules::may_send(&request, now)?;
        if disconnected.contains(&query.connection_id) { Err(SendRefusal::ClientLeft) } else { Ok(()) }
    }

    /// Records that an attempt is sent with the next frame of a link.
    fn mark_sent(&mut self, now: UnixMs, link_id: LinkId, attempt_id: AttemptId) {
        let frame = self.links.get(&link_id).map(|link| link.frames_begun);
        let Some(attempt) = self.attempts.get_mut(&attempt_id) else { return };
        attempt.frame = frame;
        let wait_until = attempt.wait_until;
        let Some(part) = self.parts.get_mut(&attempt_id.part) else { return };
        part.may_have_run += 1;
        let part_name = part.name.clone();
        debug!(
            "{part_name}: attempt {} goes to {} on link {link_id} with {:.0} ms, {:.1} ms after it was decided",
            attempt_id.number,
            attempt.searcher,
            wait_until - now,
            now - attempt.dispatched_at
        );
        let deadline_at = self.scans.get(&part.scan).map_or(wait_until, |query| query.deadline_at);
        if !rules::is_within_deadline(wait_until, deadline_at) {
            self.report_violation(Violation::Deadline, &part_name);
        }
    }

    /// Ends an attempt that is not sent, and counts the reason.
    pub(super) fn refuse_send(&mut self, now: UnixMs, attempt_id: AttemptId, refusal: SendRefusal) {
        let count = match refusal {
            SendRefusal::QueryOver => &mut self.counters.sends_refused_query_over,
            SendRefusal::ClientLeft => &mut self.counters.sends_refused_client_left,
            SendRefusal::TimeIsUp => &mut self.counters.sends_refused_time_is_up,
            SendRefusal::PartAnswered => &mut self.counters.sends_refused_part_answered,
            SendRefusal::MayHaveRun => &mut self.counters.sends_refused_may_have_run,
            SendRefusal::WindowPassed => &mut self.counters.sends_refused_window_passed,
            SendRefusal::AttemptsUsedUp => &mut self.counters.sends_refused_attempts_used_up,
            SendRefusal::SearcherNotReady => &mut self.counters.sends_refused_searcher_not_ready,
            SendRefusal::SearcherMoved => &mut self.counters.sends_refused_searcher_moved,
        };
        *count += 1;
        let part_name = self.attempts.get(&attempt_id).map_or_else(|| "?".into(), |a| a.part_name.clone());
        debug!("{part_name}: attempt {} is not sent: {refusal}", attempt_id.number);
        if refusal.is_violation() {
            self.report_violation(Violation::Send, &format!("{part_name}: {refusal}"));
        }
        if !refusal.is_cancelled_by_module() {
            self.end_attempt(now, attempt_id, DispatchOutcome::Moot);
        }
    }
}
