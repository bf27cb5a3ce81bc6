//! The scheduler's mailbox and turns: it passes each message on to the code that handles it, and at the end
//! of a turn handles due timers and advances the scans that have changed. It also keeps the averages of the
//! traffic.

use super::scan_lifecycle::ScanRequest;
use crate::interface::Event;
use crate::state::{
    BaselineTracker, DispatchId, Location, Message, Mixer, Part, Scheduler, SearcherHealth, SearcherIndex,
    Timer, Turn,
};

impl Scheduler {
    /// Time constant of the average rates of this mixer's traffic. It is long, because one mixer of hundreds
    /// may see a scan of many parts only every few seconds.
    pub(super) const TRAFFIC_MS: f64 = 30_000.0;

    pub(crate) fn receive(&mut self, message: Message, turn: &mut Turn) {
        match message {
            Message::HealthChanged { searcher, health } => self.update_health(searcher, health),
            Message::BaselineChanged(baseline) => self.baseline = baseline,
            Message::SearcherRecovered { searcher } => {
                self.searchers[searcher].found_start_at = turn.now;
            }
            Message::Host(Event::Scan { id, number, table_type, customer, deadline_at, work_ms, retry }) => {
                let request = ScanRequest { id, number, table_type, customer, deadline_at, work_ms, retry };
                self.accept_scan(request, turn.now);
            }
            Message::Host(Event::Part { id, number, shard, weight }) => {
                self.accept_part(Part::new(id, shard, weight, turn.now), number, turn.now);
            }
            Message::Host(Event::DispatchEnded { part, dispatch, outcome, took_ms, busy, .. }) => {
                self.record_busy_share(busy);
                self.end_dispatch(DispatchId { part, number: dispatch }, outcome, took_ms, turn);
            }
            Message::Host(Event::ClientGone { scan }) => {
                if let Some(&Location::Scan { scan }) = self.locations.get(&scan) {
                    self.close(scan, turn);
                }
            }
            Message::Tick => self.decay_traffic(),
            Message::EndTurn => self.end_turn(turn),
            _ => {}
        }
    }

    /// Stores the health that a monitor reports. When it newly marks its searcher, the parts in flight there
    /// may be hedged.
    fn update_health(&mut self, searcher: SearcherIndex, health: SearcherHealth) {
        let newly_marked = health.marked && !self.searchers[searcher].health.marked;
        self.searchers[searcher].health = health;
        if newly_marked {
            let in_flight = self.in_flight.iter().filter(|(_, dispatch)| dispatch.searcher == searcher);
            let parts: Vec<u64> = in_flight.map(|(id, _)| id.part).collect();
            for part in parts {
                self.request_hedge(part);
            }
        }
    }

    /// Averages the busy shares that searchers report. A report may be wrong, so that negative values are
    /// ignored and values over 1 count as 1.
    fn record_busy_share(&mut self, reported: Option<f64>) {
        let Some(reported) = reported.filter(|busy| *busy >= 0.0) else { return };
        let reported = reported.min(1.0);
        let average = self
            .busy_share
            .map_or(reported, |average| average + BaselineTracker::LAST_TEN_WEIGHT * (reported - average));
        self.busy_share = Some(average);
    }

    /// Decays the average traffic rates by one tick, and makes the waiting scans try again.
    fn decay_traffic(&mut self) {
        self.changed_scans.append(&mut self.waiting_scans);
        self.sent_work_rate *= 1.0 - Mixer::TICK_MS / Self::TRAFFIC_MS;
        for demand in &mut self.demanded_work_rates {
            *demand *= 1.0 - Mixer::TICK_MS / Self::TRAFFIC_MS;
        }
    }

    /// Handles due timers, then advances the scans that have changed.
    fn end_turn(&mut self, turn: &mut Turn) {
        while let Some(timer) = self.timers.pop_due(turn.now) {
            match timer {
                Timer::DispatchLate(dispatch) => self.handle_late_dispatch(dispatch, turn.now),
                Timer::Target(scan) => self.handle_target_time(scan, turn),
                Timer::Deadline(scan) => self.end(scan, turn),
            }
        }
        while let Some(scan) = self.changed_scans.pop_first() {
            self.advance(scan, turn);
        }
        self.open_calls.clear();
    }
}
