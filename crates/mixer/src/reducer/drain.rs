//! Draining: after the signal new connections are served for a while, every request that was taken is
//! answered, and the process ends before the platform would kill it.

use pewterwharf::interface::Event;

use super::Reducer;
use super::rules::{self, ClientCloseReason, DrainTimes};
use super::state::{Client, ClientState, ScanId, Timer};
use crate::clock::UnixMs;
use crate::inputs::{ConnectionId, Effect, Phase};

impl Reducer {
    /// Until when buffered requests are served, if the mixer drains.
    pub(super) fn drain_serves_until(&self, now: UnixMs) -> Option<UnixMs> {
        match self.phase {
            Phase::Starting | Phase::Ready => None,
            Phase::Draining { listen_until, until, .. } => {
                Some(rules::drain_serves_buffered_until(listen_until, until))
            }
            Phase::Closed => Some(now),
        }
    }

    /// When everything has to be answered, if the mixer drains.
    pub(super) fn drain_answers_until(&self) -> Option<UnixMs> {
        match self.phase {
            Phase::Draining { until, .. } => Some(rules::drain_answers_until(until)),
            _ => None,
        }
    }

    pub(super) fn is_draining(&self) -> bool {
        matches!(self.phase, Phase::Draining { .. } | Phase::Closed)
    }

    /// Begins to drain. A second request to stop ends all open queries at once.
    pub(super) fn stop(&mut self, now: UnixMs) {
        match self.phase {
            Phase::Closed => {}
            Phase::Draining { .. } => {
                self.abandon_all(now);
                self.phase =
                    Phase::Draining { listen_until: now, listening: true, until: now + rules::LINGER_MS };
            }
            Phase::Starting | Phase::Ready => {
                let longest_ms =
                    self.config.table_types.iter().map(|t| t.query_timeout_ms).fold(0.0, f64::max);
                let DrainTimes { listen_until, until } = rules::drain_times(now, longest_ms);
                self.enter_phase(Phase::Draining { listen_until, listening: true, until });
                self.add_timer(listen_until, Timer::DrainStep);
                self.end_queries_by(rules::drain_answers_until(until));
                self.close_idle_clients(now, false);
            }
        }
    }

    fn abandon_all(&mut self, now: UnixMs) {
        for scan in self.scans.keys().copied().collect::<Vec<_>>() {
            self.counters.scans_abandoned += 1;
            self.count_for_type(scan, |counts| &mut counts.abandoned);
            self.events.push(Event::ClientGone { scan });
            self.answer_scan(now, scan, 504, None, b"the mixer ends\n");
        }
    }

    /// Brings the deadline of all queries forward to `until`.
    fn end_queries_by(&mut self, until: UnixMs) {
        let later = self.scans.iter().filter(|(_, query)| query.deadline_at > until);
        let later: Vec<ScanId> = later.map(|(id, _)| *id).collect();
        for scan in later {
            self.add_timer(until, Timer::ScanDeadline(scan));
        }
    }

    /// Takes the next steps of draining that are due. The process ends once no new connections can come and
    /// every request taken is answered.
    pub(super) fn continue_drain(&mut self, now: UnixMs) {
        let Phase::Draining { listen_until, listening, until } = self.phase else { return };
        if now < listen_until {
            return;
        }
        if listening {
            self.enter_phase(Phase::Draining { listen_until, listening: false, until });
            self.effects.push(Effect::StopListening);
            self.close_idle_clients(now, true);
        }
        let answers_until = rules::drain_answers_until(until);
        if now < answers_until {
            self.add_timer(answers_until, Timer::DrainStep);
        } else {
            self.answer_incomplete_requests(now);
        }
        if !self.scans.is_empty() {
            return;
        }
        let ends_at = self.drain_ends_at(listen_until, until);
        if ends_at <= now {
            self.enter_phase(Phase::Closed);
            self.report_unanswered();
        } else {
            self.add_timer(ends_at, Timer::DrainStep);
        }
    }

    /// When the process may end if nothing more happens.
    fn drain_ends_at(&self, listen_until: UnixMs, until: UnixMs) -> UnixMs {
        if !self.listener_closed {
            return until; // clients may still wait to be accepted
        }
        if self.clients.is_empty() {
            return listen_until;
        }
        let delays = self.clients.values().map(|client| rules::client_delays_end_until(client, until));
        delays.fold(listen_until + rules::LINGER_MS, f64::max)
    }

    /// Answers clients whose requests are incomplete, as the platform waits no longer.
    fn answer_incomplete_requests(&mut self, now: UnixMs) {
        let is_incomplete =
            |client: &Client| client.state == ClientState::AwaitingRequest && client.scan.is_none();
        let clients = self.clients.iter().filter(|(_, client)| is_incomplete(client));
        let connection_ids: Vec<ConnectionId> = clients.map(|(connection_id, _)| *connection_id).collect();
        for connection_id in connection_ids {
            self.answer_incomplete_request(now, connection_id);
        }
    }

    /// Closes the connections of clients that wait for nothing. Those that have just connected or are sending
    /// a request are closed only with `include_awaiting`, at the end of listening: while clients may still
    /// connect, no new connection is closed without an answer.
    fn close_idle_clients(&mut self, now: UnixMs, include_awaiting: bool) {
        let is_due = |client: &Client| include_awaiting || client.state == ClientState::Idle;
        let clients = self.clients.iter().filter(|(_, client)| is_due(client));
        let connection_ids: Vec<ConnectionId> = clients.map(|(connection_id, _)| *connection_id).collect();
        for connection_id in connection_ids {
            self.close_client(now, connection_id, ClientCloseReason::Draining);
        }
    }
}
