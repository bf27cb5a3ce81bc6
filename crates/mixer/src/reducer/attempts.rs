//! The reducer's part for attempts: a part of a query on its way to a searcher, from the module's wish to its one ending.

use std::net::SocketAddrV4;
use std::rc::Rc;

use pewterwharf::interface::{DispatchOutcome, Event};
use tracing::debug;

use super::Reducer;
use super::held::{Attempt, AttemptId, Awaits, Due, Queued};
use super::rules::SendRefusal;
use crate::frame::{Frame, Verdict};

impl Reducer {
    pub(super) fn dispatch(
        &mut self,
        now: f64,
        part: u64,
        srv: SocketAddrV4,
        patience_ms: f64,
    ) -> Option<AttemptId> {
        let Some(held) = self.parts.get_mut(&part) else {
            self.warn(now, "a part that is over was dispatched");
            return None;
        };
        let attempt_id = (part, held.sent);
        held.sent = held.sent.saturating_add(1);
        let (until, name, retries) = (now + patience_ms, held.name.clone(), held.last_ending);
        self.counters.dispatches += 1;
        if attempt_id.1 > 0 {
            self.count_retry(&name, attempt_id.1, retries);
        }
        self.attempts
            .insert(attempt_id, Attempt { name, link: 0, call: 0, srv, sent_at: now, until, frame: None });
        if u32::from(attempt_id.1) >= self.terms.permissions.max_dispatches {
            self.refuse_send(now, attempt_id, SendRefusal::AttemptsUsedUp);
            return None;
        }
        self.add_due(until, Due::TimedOut(attempt_id));
        Some(attempt_id)
    }

    /// Counts a further attempt by how the part's last one ended; one that is still out makes it a hedge.
    fn count_retry(&mut self, name: &str, number: u8, last_ending: Option<DispatchOutcome>) {
        self.counters.dispatches_further += 1;
        let count = match last_ending {
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
        debug!("{name}: attempt {number} after {last_ending:?}");
    }

    /// Sends a call on the first link with room, or on a new one.
    pub(super) fn send(&mut self, now: f64, srv: SocketAddrV4, attempt_ids: &[AttemptId]) {
        let names: Vec<&Rc<str>> =
            attempt_ids.iter().filter_map(|l| Some(&self.attempts.get(l)?.name)).collect();
        let links = self.links_to(srv);
        let fits = |id: &&u64| {
            self.links.get(id).is_some_and(|link| {
                link.calls.len() < self.terms.max_calls_per_connection
                    // An answer to an earlier dispatch of a part must not be taken for this one's.
                    && !names.iter().any(|name| link.out.get(*name).is_some_and(|o| *o != Awaits::Copy))
            })
        };
        let link = links.iter().find(fits).copied().or_else(|| self.connect(now, srv));
        let Some(id) = link else {
            attempt_ids
                .iter()
                .for_each(|attempt_id| self.end_attempt(now, *attempt_id, DispatchOutcome::ConnectFailed));
            return;
        };
        let call = self.id();
        for attempt_id in attempt_ids {
            let Some(attempt) = self.attempts.get_mut(attempt_id) else { continue };
            (attempt.link, attempt.call) = (id, call);
            if let Some(link) = self.links.get_mut(&id) {
                *link.calls.entry(call).or_default() += 1;
                link.out.insert(attempt.name.clone(), Awaits::Answer(*attempt_id));
            }
        }
        self.enqueue(id, Queued::Call(call, attempt_ids.to_vec()));
    }

    pub(super) fn time_out(&mut self, now: f64, attempt_id: AttemptId) {
        let Some(attempt) = self.attempts.get(&attempt_id) else { return };
        // What still waits for its connection was never sent.
        let ending = if attempt.frame.is_some() { DispatchOutcome::TimedOut } else { DispatchOutcome::Moot };
        let (link, sent_at) = (attempt.link, attempt.sent_at);
        self.give_up(now, attempt_id, ending);
        self.doubt(link, sent_at);
    }

    /// Stops waiting for a dispatch, and tells its searcher where that may be done.
    pub(super) fn give_up(&mut self, now: f64, attempt_id: AttemptId, ending: DispatchOutcome) {
        let Some(attempt) = self.attempts.get(&attempt_id) else { return };
        if attempt.frame.is_some() && self.terms.permissions.cancel {
            let (link, name) = (attempt.link, attempt.name.clone());
            self.enqueue(link, Queued::GiveUp(name));
        }
        self.end_attempt(now, attempt_id, ending);
    }

    pub(super) fn end_attempt(&mut self, now: f64, attempt_id: AttemptId, ending: DispatchOutcome) {
        self.end_reported(now, attempt_id, ending, None);
    }

    /// The one ending of a dispatch, with the busy share that its searcher reported.
    fn end_reported(&mut self, now: f64, attempt_id: AttemptId, ending: DispatchOutcome, busy: Option<f64>) {
        let Some(attempt) = self.attempts.remove(&attempt_id) else { return };
        let count = match ending {
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
        if let Some(part) = self.parts.get_mut(&attempt_id.0) {
            part.last_ending = Some(ending);
            if attempt.frame.is_some() && ending.never_ran() {
                part.may_have_run = part.may_have_run.saturating_sub(1);
            }
        }
        let took_ms = now - attempt.sent_at;
        debug!("{}: attempt {} ended as {ending:?} after {took_ms:.1} ms", attempt.name, attempt_id.1);
        if let Some(link) = self.links.get_mut(&attempt.link) {
            link.over(&attempt.name, attempt.frame.is_some());
            if let Some(left) = link.calls.get_mut(&attempt.call) {
                *left -= 1;
                if *left == 0 {
                    link.calls.remove(&attempt.call);
                    // Where it never went out, nothing waits for that any more.
                    link.queue
                        .retain(|queued| !matches!(queued, Queued::Call(call, _) if *call == attempt.call));
                }
            }
            self.rest(now, attempt.link);
        }
        let (part, dispatch) = attempt_id;
        self.events.push(Event::DispatchEnded {
            part,
            dispatch,
            searcher: attempt.srv,
            outcome: ending,
            took_ms,
            busy,
        });
    }

    pub(super) fn frame(&mut self, now: f64, id: u64, frame: Frame) {
        let Some(link) = self.links.get_mut(&id) else { return };
        (link.heard_at, link.silent) = (now, false);
        match frame {
            Frame::Part { id: name, verdict, value, busy } => match link.out.get_mut(name.as_str()) {
                Some(held) if let Some(attempt_id) = held.attempt_id() => {
                    *held = Awaits::Copy;
                    let ending = match verdict {
                        Verdict::Ok => DispatchOutcome::Ok,
                        Verdict::Error => DispatchOutcome::Error,
                        Verdict::Full => DispatchOutcome::Full,
                    };
                    if let Some(part) =
                        self.parts.get_mut(&attempt_id.0).filter(|_| ending == DispatchOutcome::Ok)
                    {
                        part.value.get_or_insert(value);
                    }
                    self.end_reported(
                        now,
                        attempt_id,
                        ending,
                        busy.filter(|_| self.terms.load_share_index.is_some()),
                    );
                }
                Some(_) => self.counters.answers_stale += 1,
                None => self.bad_frame(now, id, &format!("an answer for {name}, which never went out on it")),
            },
            // Where probes are not allowed, their answers tell nothing.
            Frame::Probe(None) if self.terms.permissions.probe => {
                self.bad_frame(now, id, "a probe's answer of unknown words");
            }
            Frame::Probe(verdict) => {
                let Some(probe) = link.probes.pop_front() else {
                    self.counters.answers_stale += 1;
                    return;
                };
                if !probe.over {
                    let ending = if verdict == Some(Verdict::Error) {
                        DispatchOutcome::Error
                    } else {
                        DispatchOutcome::Ok
                    };
                    self.counters.probes_ok += u64::from(ending == DispatchOutcome::Ok);
                    let (searcher, took_ms) = (link.srv, now - probe.sent_at);
                    self.events.push(Event::ProbeEnded { searcher, outcome: ending, took_ms });
                }
                self.rest(now, id);
            }
            Frame::Unusable(why) => self.bad_frame(now, id, &format!("Z: {why}")),
        }
    }
}
