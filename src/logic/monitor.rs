//! Detection of slow searchers: smoothed latency, marks, probes and readmission. The time slices by which a
//! monitor judges its searcher are in `slices`.

use crate::interface::{Action, DispatchOutcome};
use crate::report::MarkEvidence;
use crate::state::{
    Address, Baseline, Message, RelativeLatency, SearcherHealth, SearcherMonitor, Turn, Zone,
};

impl SearcherMonitor {
    /// Weight of a new part in the smoothed latency of a searcher, which covers about the last five parts.
    const LATENCY_WEIGHT: f64 = 0.2;
    /// Time constant by which a searcher's latency decays to its zone's average while no part confirms it. It
    /// is some slices long.
    pub(super) const LATENCY_DECAY_MS: f64 = 5000.0;
    /// The same where probes are not allowed. Only parts renew the latency then, some seconds apart, so that
    /// it is kept for as long as most faults last.
    pub(super) const UNPROBED_LATENCY_DECAY_MS: f64 = 15_000.0;
    /// Interval between probes of a marked searcher: one slice. It stays the same when a readmitted searcher
    /// is marked again, as a longer interval has no benefit.
    const PROBE_INTERVAL_MS: f64 = 500.0;

    pub(crate) fn receive(&mut self, message: Message, turn: &mut Turn, is_ready: bool, may_probe: bool) {
        match message {
            Message::SearcherRestarted => self.reset(),
            Message::DispatchSent { dispatch, table_type, baseline } => {
                self.baseline = baseline;
                self.record_sent(dispatch, table_type, turn.now);
            }
            Message::DispatchEnded { dispatch, ratio, baseline_ms, outcome, sent_at } => {
                if outcome == DispatchOutcome::Ok {
                    self.newest_success_sent_at = self.newest_success_sent_at.max(sent_at);
                }
                self.smooth_latency(ratio, baseline_ms, outcome, may_probe, turn);
                self.check_connection(ratio, outcome, may_probe, turn);
                self.record_ended(dispatch, ratio, outcome, turn);
            }
            Message::ProbeEnded { outcome, took_ms } => self.record_probe(outcome, took_ms, turn),
            Message::MarkedByPeers { several } => self.handle_peer_mark(several, may_probe, turn),
            Message::BaselineChanged(baseline) => self.baseline = baseline,
            Message::Tick => self.tick(is_ready, may_probe, turn),
            _ => {}
        }
        if self.health.marked {
            self.slices.clear();
        }
        // Only the monitors of marked searchers and of those with an open slice get ticks, so that idle
        // searchers cost no work.
        let needs_ticks = self.health.marked || !self.slices.is_empty();
        turn.subscribe_to_ticks(Address::monitor(self.searcher), needs_ticks);
        let message = Message::HealthChanged { searcher: self.searcher, health: self.health };
        turn.send(Address::SCHEDULER, message);
    }

    /// Forgets the history of the searcher's previous process.
    fn reset(&mut self) {
        self.health = SearcherHealth::NEW;
        self.refused_connection = false;
        self.slices = Vec::new();
    }

    /// Adds the latency of one part to the searcher's smoothed latency.
    fn smooth_latency(
        &mut self,
        ratio: f64,
        baseline_ms: f64,
        outcome: DispatchOutcome,
        may_probe: bool,
        turn: &mut Turn,
    ) {
        let now = turn.now;
        let decayed = Self::decayed_latency(&self.health, &self.baseline, self.zone, now);
        // A part without an answer only proves that its latency is over the threshold. Its ratio is therefore
        // limited to the threshold plus the present ratio. With its whole age, one lost answer would outweigh
        // some twenty good ones, and would raise the zone's average.
        let is_unanswered = matches!(outcome, DispatchOutcome::TimedOut | DispatchOutcome::Cancelled);
        let counted_ratio =
            if is_unanswered { ratio.min(self.baseline.mark_ratio + decayed.ratio) } else { ratio };
        let counted =
            RelativeLatency { ratio: counted_ratio, excess_ms: (counted_ratio - 1.0) * baseline_ms };
        turn.send(Address::BASELINE_TRACKER, Message::ZoneSample { zone: self.zone, latency: counted });
        // Without probes, the longer ago the old latency was confirmed, the more the new part weighs.
        let age_weight = 1.0 - ((self.health.latency_at - now) / self.baseline.decay_ms).exp();
        let weight = if may_probe { Self::LATENCY_WEIGHT } else { Self::LATENCY_WEIGHT.max(age_weight) };
        self.health.latency = decayed.toward(counted, weight);
        self.health.latency_at = now;
    }

    /// The smoothed latency, decayed towards its zone's average since a part last confirmed it. In a zone
    /// that is dead or slow to reach, each searcher is seldom used and its own latency is out of date; the
    /// zone's average keeps parts away from all of them. Good searchers of such a zone get less traffic until
    /// a part confirms them.
    pub(super) fn decayed_latency(
        health: &SearcherHealth,
        baseline: &Baseline,
        zone: Zone,
        now: f64,
    ) -> RelativeLatency {
        let zone_average = baseline.zones.get(&zone).copied().unwrap_or(RelativeLatency::NORMAL);
        let remaining = ((health.latency_at - now) / baseline.decay_ms).exp();
        zone_average.toward(health.latency, remaining)
    }

    /// Marks the searcher as soon as a connection is refused or lost, and probes it at the next tick. A dead
    /// searcher is so detected without waiting for a slice to fill.
    fn check_connection(&mut self, ratio: f64, outcome: DispatchOutcome, may_probe: bool, turn: &mut Turn) {
        self.health.disconnected = matches!(outcome, DispatchOutcome::ConnectFailed | DispatchOutcome::Reset);
        self.refused_connection |= outcome == DispatchOutcome::ConnectFailed;
        if self.health.disconnected && !self.health.marked {
            self.mark(MarkEvidence { relative_latency: ratio, parts: 1 }, turn);
            if may_probe {
                self.probe_at = turn.now;
            }
        }
    }

    /// Handles the end of a probe: a good result readmits a marked searcher, a bad one marks a searcher that
    /// was probed because other mixers have marked it.
    fn record_probe(&mut self, outcome: DispatchOutcome, took_ms: f64, turn: &mut Turn) {
        if !self.health.marked && !self.peer_probe_pending {
            return;
        }
        self.refused_connection |= outcome == DispatchOutcome::ConnectFailed;
        let lowest_baseline_ms = self.baseline.latency_ms.iter().copied().fold(f64::INFINITY, f64::min);
        let is_good =
            outcome == DispatchOutcome::Ok && took_ms < self.baseline.mark_ratio * lowest_baseline_ms;
        self.peer_probe_pending = false;
        if self.health.marked && is_good {
            self.readmit(turn);
        } else if !self.health.marked && !is_good {
            self.mark(MarkEvidence { relative_latency: took_ms / lowest_baseline_ms, parts: 1 }, turn);
        }
    }

    /// Handles a mark that other mixers have set: it makes this mixer probe the searcher. If several mixers
    /// agree, or probes are not allowed, the searcher is also put on trial: it gets one part at a time until
    /// one comes back in time. False reports can therefore take traffic from a sound searcher for that long.
    fn handle_peer_mark(&mut self, several: bool, may_probe: bool, turn: &mut Turn) {
        if self.health.marked {
            return;
        }
        self.health.on_trial |= several || !may_probe;
        if may_probe && !self.peer_probe_pending {
            self.peer_probe_pending = true;
            turn.actions.push(Action::Probe { searcher: self.address });
        }
    }

    fn tick(&mut self, is_ready: bool, may_probe: bool, turn: &mut Turn) {
        self.update_ages(turn.now);
        self.judge_slices(turn);
        let is_due = self.health.marked && is_ready && turn.now >= self.probe_at;
        if is_due && may_probe {
            self.probe_at = turn.now + Self::PROBE_INTERVAL_MS;
            turn.actions.push(Action::Probe { searcher: self.address });
        } else if is_due {
            // Without probes, only a part can show that the searcher is sound, and only the list can show
            // that its process was restarted.
            self.refused_connection = false;
            self.readmit(turn);
        }
    }

    pub(super) fn mark(&mut self, evidence: MarkEvidence, turn: &mut Turn) {
        self.health.marked = true;
        self.health.mark_evidence = evidence;
        self.probe_at = turn.now + Self::PROBE_INTERVAL_MS;
        let line = format!("{} marked at {:.1} normals", self.address, evidence.relative_latency);
        turn.actions.push(Action::Log { line });
    }

    /// Readmits the searcher on trial: it gets one part at a time until one comes back in time. A searcher
    /// that answers probes but no parts then receives few parts, and a sound searcher loses only a few.
    fn readmit(&mut self, turn: &mut Turn) {
        self.health = SearcherHealth { on_trial: true, ..SearcherHealth::NEW };
        turn.actions.push(Action::Log { line: format!("{} readmitted on trial", self.address) });
        // The searcher refused connections and answers now, so that a new process runs there. It is cold even
        // if the list does not show its start yet.
        if std::mem::take(&mut self.refused_connection) {
            turn.send(Address::SCHEDULER, Message::SearcherRecovered { searcher: self.searcher });
        }
    }
}
