//! The reducer's part for frames: what goes out on a link next, worked out right before its first byte and not before. Until then
//! whatever waits can be withdrawn, and is told the time that is left at the write.

use std::collections::BTreeSet;

use pewterwharf::interface::DispatchOutcome;
use tracing::debug;

use super::Reducer;
use super::held::{AttemptId, Due, LinkStanding, Queued};
use super::rules::{self, LinkCloseReason, SendRefusal, Violation};
use crate::frame::{self, CallPart};
use crate::inputs::Effect;

/// A link that takes nothing is tried again after so long, then after twice as long each time: its reader tells of room, but not of
/// a write that failed for a moment.
const FIRST_RETRY_MS: f64 = 10.0;

/// A frame whose first byte is to be written now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    pub bytes: Vec<u8>,
    /// The clients for whom it is: it may not begin once one of them has left.
    pub clients: Vec<u64>,
}

impl Outgoing {
    fn of_no_client(bytes: Vec<u8>) -> Self {
        Self { bytes, clients: Vec::new() }
    }
}

impl Reducer {
    /// Has something wait for its write on a link.
    pub(super) fn enqueue(&mut self, id: u64, queued: Queued) {
        let Some(link) = self.links.get_mut(&id) else { return };
        match queued {
            // Before what is new: it frees its searcher.
            Queued::GiveUp(name) => link.give_ups.push_back(name),
            queued => link.queue.push_back(queued),
        }
        if link.standing == LinkStanding::Up {
            self.effects.push(Effect::Send { link: id });
        }
    }

    /// The frame that is to be written next on a link, of what may be sent now; none if nothing waits for it. Before a link is closed
    /// it tells only what is given up. `left`: clients whose connections are known to have ended, whatever was told of them so far.
    ///
    /// Its first byte has to go out at once, as it tells the time that is left at `now`, and only while none of its clients has left;
    /// else it is to be [taken back](Self::return_frame).
    pub fn next_frame(&mut self, now: f64, id: u64, left: &[u64]) -> Option<Outgoing> {
        loop {
            let link = self.links.get_mut(&id)?;
            let queued = match link.standing {
                LinkStanding::Opening => None,
                LinkStanding::Up => link.next_queued(),
                LinkStanding::Closing => link.next_give_up(),
            };
            let (outgoing, latest) = match queued? {
                Queued::Probe => (self.probe_frame(id).map(Outgoing::of_no_client), Queued::Probe),
                Queued::GiveUp(name) => {
                    (Some(Outgoing::of_no_client(frame::encode_cancel(&name))), Queued::GiveUp(name))
                }
                Queued::Call(call, attempt_ids) => {
                    let sent = self.hand_over_call(now, id, call, attempt_ids, left);
                    if !self.events.is_empty() {
                        self.add_due(now, Due::Unsent);
                    }
                    (self.call_frame(now, &sent), Queued::Call(call, sent))
                }
            };
            if let (Some(outgoing), Some(link)) = (outgoing, self.links.get_mut(&id)) {
                link.frames += 1;
                link.latest = Some(latest);
                return Some(outgoing);
            }
        }
    }

    /// Takes back the frame given last for a link: not a byte of it was taken, and it waits on.
    pub fn return_frame(&mut self, id: u64) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let Some(queued) = link.latest.take() else { return };
        link.frames -= 1;
        match &queued {
            Queued::Probe => {
                let number = Some(link.frames);
                link.probes.iter_mut().filter(|probe| probe.frame == number).for_each(|p| p.frame = None);
            }
            Queued::GiveUp(_) => {}
            Queued::Call(_, attempt_ids) => {
                for attempt_id in attempt_ids {
                    if let Some(attempt) = self.attempts.get_mut(attempt_id) {
                        attempt.frame = None;
                    }
                    if let Some(part) = self.parts.get_mut(&attempt_id.0) {
                        part.may_have_run = part.may_have_run.saturating_sub(1);
                    }
                }
            }
        }
        match queued {
            Queued::GiveUp(name) => link.give_ups.push_front(name),
            queued => link.queue.push_front(queued),
        }
    }

    /// A searcher takes no more: one that goes on so for as long as a connection may take to come up has its link closed.
    pub(super) fn link_blocked(&mut self, now: f64, id: u64, made_progress: bool) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let still_blocked = link.blocked_since.is_some() && !made_progress;
        link.retry_ms = if still_blocked { 2.0 * link.retry_ms } else { FIRST_RETRY_MS };
        let retry_at = now + link.retry_ms;
        if !still_blocked {
            link.blocked_since = Some(now);
            self.counters.links_blocked += 1;
            debug!("link {id} to {}: takes no more, {} calls and probes wait", link.addr, link.queue.len());
            self.add_due(now + self.terms.connect_timeout_ms, Due::Stuck(id));
        }
        self.add_due(retry_at, Due::Retry(id));
    }

    pub(super) fn retry_blocked(&mut self, id: u64) {
        if self.links.get(&id).is_some_and(|link| link.blocked_since.is_some()) {
            self.effects.push(Effect::RetryWrite { link: id });
        }
    }

    pub(super) fn link_has_room(&mut self, id: u64) {
        if let Some(link) = self.links.get_mut(&id) {
            link.blocked_since = None;
        }
    }

    pub(super) fn close_stuck(&mut self, now: f64, id: u64) {
        let since = self.links.get(&id).and_then(|link| link.blocked_since);
        if since.is_some_and(|since| now >= since + self.terms.connect_timeout_ms) {
            self.close_link(id, LinkCloseReason::Stuck);
        }
    }

    /// The attempts of a call that may still be sent, noted as such. The others end unsent.
    fn hand_over_call(
        &mut self,
        now: f64,
        link: u64,
        call: u64,
        attempt_ids: Vec<AttemptId>,
        left: &[u64],
    ) -> Vec<AttemptId> {
        let waits = |id: &AttemptId| self.attempts.get(id).is_some_and(|attempt| attempt.call == call);
        let waiting: Vec<AttemptId> = attempt_ids.into_iter().filter(waits).collect();
        let mut sent = Vec::new();
        for attempt_id in waiting {
            match self.may_send(now, link, attempt_id, left) {
                Ok(()) => {
                    self.hand_over(now, link, attempt_id);
                    sent.push(attempt_id);
                }
                Err(refusal) => self.refuse_send(now, attempt_id, refusal),
            }
        }
        sent
    }

    /// The frame of these attempts; none if there are none.
    fn call_frame(&self, now: f64, attempt_ids: &[AttemptId]) -> Option<Outgoing> {
        let piece = |id: &AttemptId| {
            let (attempt, part) = (self.attempts.get(id)?, self.parts.get(&id.0)?);
            let text = &self.scans.get(&part.scan)?.text;
            let wait_ms = (attempt.until - now).max(1.0) as u64;
            Some(CallPart { id: &part.name, shard: part.shard, wait_ms, text })
        };
        let pieces: Vec<CallPart> = attempt_ids.iter().filter_map(piece).collect();
        if pieces.is_empty() {
            return None;
        }
        let client = |id: &AttemptId| Some(self.scans.get(&self.parts.get(&id.0)?.scan)?.conn);
        let clients: BTreeSet<u64> = attempt_ids.iter().filter_map(client).collect();
        Some(Outgoing { bytes: frame::encode_call(&pieces), clients: clients.into_iter().collect() })
    }

    fn may_send(&self, now: f64, link: u64, attempt_id: AttemptId, left: &[u64]) -> Result<(), SendRefusal> {
        let attempt = self.attempts.get(&attempt_id).ok_or(SendRefusal::QueryOver)?;
        let link = self.links.get(&link).ok_or(SendRefusal::SearcherNotReady)?;
        let part = self.parts.get(&attempt_id.0).ok_or(SendRefusal::QueryOver)?;
        let query = self.scans.get(&part.scan).ok_or(SendRefusal::QueryOver)?;
        let searcher = self.srvs.get(&attempt.srv);
        rules::may_send(
            part,
            attempt_id.1,
            attempt.until,
            self.terms.permissions.max_dispatches,
            searcher,
            link,
            now,
        )?;
        if left.contains(&query.conn) { Err(SendRefusal::ClientLeft) } else { Ok(()) }
    }

    /// Notes that an attempt goes out with the next frame of a link.
    fn hand_over(&mut self, now: f64, link: u64, attempt_id: AttemptId) {
        let frame = self.links.get(&link).map(|link| link.frames);
        let Some(attempt) = self.attempts.get_mut(&attempt_id) else { return };
        attempt.frame = frame;
        let (until, searcher, decided_at) = (attempt.until, attempt.srv, attempt.sent_at);
        let Some(part) = self.parts.get_mut(&attempt_id.0) else { return };
        part.may_have_run += 1;
        let (name, number) = (part.name.clone(), attempt_id.1);
        debug!(
            "{name}: attempt {number} goes to {searcher} on link {link} with {:.0} ms, {:.1} ms after it was decided",
            until - now,
            now - decided_at
        );
        let deadline_at = self.scans.get(&part.scan).map_or(until, |query| query.deadline_at);
        if !rules::is_within_deadline(until, deadline_at) {
            self.violated(Violation::Deadline, &name);
        }
    }

    /// Ends an attempt that is not sent, and counts why.
    pub(super) fn refuse_send(&mut self, now: f64, attempt_id: AttemptId, refusal: SendRefusal) {
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
        let name = self.attempts.get(&attempt_id).map_or_else(|| "?".into(), |a| a.name.clone());
        debug!("{name}: attempt {} is not sent: {refusal}", attempt_id.1);
        if refusal.is_violation() {
            self.violated(Violation::Send, &format!("{name}: {refusal}"));
        }
        if !refusal.is_called_off() {
            self.end_attempt(now, attempt_id, DispatchOutcome::Moot);
        }
    }
}
