//! The reducer's part for the end of the program: from the signal on new connections are served for a while, all that was taken is
//! answered, and the process ends by the time at which the platform would end it.

use pewterwharf::interface::Event;

use super::Reducer;
use super::held::{Client, ClientStanding, Due};
use super::rules::{self, ClientCloseReason};
use crate::inputs::{Effect, Phase};

impl Reducer {
    /// Until when what was sent behind requests is served, once the mixer drains.
    pub(super) fn drain_serves_until(&self, now: f64) -> Option<f64> {
        match self.phase {
            Phase::Starting | Phase::Ready => None,
            Phase::Draining { listen_until, until, .. } => {
                Some(rules::drain_serves_behind_until(listen_until, until))
            }
            Phase::Closed => Some(now),
        }
    }

    /// By when all has to be answered, once the mixer drains.
    pub(super) fn ends_at(&self) -> Option<f64> {
        match self.phase {
            Phase::Draining { until, .. } => Some(rules::drain_answers_until(until)),
            _ => None,
        }
    }

    pub(super) fn is_draining(&self) -> bool {
        matches!(self.phase, Phase::Draining { .. } | Phase::Closed)
    }

    pub(super) fn stop(&mut self, now: f64) {
        match self.phase {
            Phase::Closed => {}
            Phase::Draining { .. } => {
                // Asked twice: whoever asks does not want to wait.
                for scan in self.scans.keys().copied().collect::<Vec<_>>() {
                    self.counters.scans_abandoned += 1;
                    self.count_type(scan, |of| &mut of.abandoned);
                    self.events.push(Event::ClientGone { scan });
                    self.answer_scan(now, scan, 504, None, b"the mixer ends\n");
                }
                self.phase =
                    Phase::Draining { listen_until: now, listening: true, until: now + rules::LINGER_MS };
            }
            Phase::Starting | Phase::Ready => {
                let longest = self.terms.table_types.iter().map(|t| t.query_timeout_ms).fold(0.0, f64::max);
                let (listen_until, until) = rules::drain_times(now, longest);
                self.enter(Phase::Draining { listen_until, listening: true, until });
                self.add_due(listen_until, Due::Drained);
                self.end_queries_by(rules::drain_answers_until(until));
                self.hang_up_idle(now, false);
            }
        }
    }

    /// Has queries whose deadline is later answered by then.
    fn end_queries_by(&mut self, until: f64) {
        let later = self.scans.iter().filter(|(_, query)| query.deadline_at > until);
        let later: Vec<u64> = later.map(|(id, _)| *id).collect();
        later.into_iter().for_each(|id| self.add_due(until, Due::Overdue(id)));
    }

    /// Ends the program once new connections come no more and all that was taken is answered.
    pub(super) fn end_drain(&mut self, now: f64) {
        let Phase::Draining { listen_until, listening, until } = self.phase else { return };
        if now < listen_until {
            return;
        }
        if listening {
            self.enter(Phase::Draining { listen_until, listening: false, until });
            self.effects.push(Effect::StopListening);
            self.hang_up_idle(now, true);
        }
        let answers_until = rules::drain_answers_until(until);
        if now < answers_until {
            self.add_due(answers_until, Due::Drained);
        } else {
            self.answer_incomplete_requests(now);
        }
        if !self.scans.is_empty() {
            return;
        }
        let ends_at = self.drain_ends_at(listen_until, until);
        if ends_at <= now {
            self.enter(Phase::Closed);
            self.count_unanswered();
        } else {
            self.add_due(ends_at, Due::Drained);
        }
    }

    /// When the process may end, if nothing more comes.
    fn drain_ends_at(&self, listen_until: f64, until: f64) -> f64 {
        if !self.deaf {
            return until; // who waits to be accepted is waited for
        }
        if self.clients.is_empty() {
            return listen_until;
        }
        let ends = self.clients.values().map(|client| rules::client_holds_end_until(client, until));
        ends.fold(listen_until + rules::LINGER_MS, f64::max)
    }

    /// Answers clients whose requests have not come whole: the platform waits no longer.
    fn answer_incomplete_requests(&mut self, now: f64) {
        let incomplete = |client: &Client| client.standing == ClientStanding::New && client.scan.is_none();
        let clients: Vec<u64> = self.clients.iter().filter(|c| incomplete(c.1)).map(|c| *c.0).collect();
        clients.into_iter().for_each(|conn| self.answer_incomplete_request(now, conn));
    }

    /// Hangs up on those that wait for nothing. Who has just come, or is in the midst of asking, goes last: a new connection
    /// is not closed without an answer while clients may still come.
    fn hang_up_idle(&mut self, now: f64, new_too: bool) {
        let goes = |c: &Client| new_too || c.standing == ClientStanding::Resting;
        let idle: Vec<u64> = self.clients.iter().filter(|c| goes(c.1)).map(|c| *c.0).collect();
        idle.into_iter().for_each(|conn| self.hang_up(now, conn, ClientCloseReason::Draining));
    }
}
