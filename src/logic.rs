//! The decisions of one mixer: the ShortTail algorithm, with the extensions that `docs/design.md` describes.
//!
//! A host creates a [`Mixer`] with the deployment's settings and passes it all events of one point in time by
//! `handle_events`; `src/interface.rs` has the types and the trait. Inside, each searcher has an actor that
//! detects whether it is slow (`SearcherMonitor`), one actor learns what latency is normal
//! (`BaselineTracker`), and one holds the scans and dispatches their parts (`Scheduler`). Actors
//! communicate only by messages; `Mixer::deliver_messages` empties their mailboxes.
//!
//! This file has the entry point, and each file in `src/logic/` one job of an actor or of the mixer. The
//! types are in `src/state.rs`.
//!
//! Terms: the *latency ratio* of a part is its latency divided by the baseline of its table type. A searcher
//! is *marked* when it is too slow compared with the others, then probed, readmitted *on trial*, and trusted
//! again once a part comes back in time. It is *cold* until it has warmed up after its start. A part in
//! flight is *overtaken* when a part that was sent later has come back. *Up* is a searcher that may get
//! parts.
//!
//! Units: `now` and names that end in `_at` or `_until` are points of the host's clock in milliseconds; names
//! that end in `_ms` are durations, or work in milliseconds of one core. The averages (`toward`) are
//! exponentially weighted moving averages (EWMA).

mod admission_control;
mod baseline;
mod cold_capacity;
mod connection_losses;
mod customer_traffic;
mod dispatch;
mod dispatch_end;
mod monitor;
mod replica_selection;
mod retry_budget;
mod scan_lifecycle;
mod scheduler;
mod searcher_list;
mod slices;
mod sliding_totals;

use std::collections::BTreeMap;
use std::rc::Rc;

use oorandom::Rand64;

use crate::interface::{
    Action, Customer, DecisionModule, Event, Layout, ListKind, Permissions, Placement, SafetyLimits,
    TableType,
};
pub use crate::state::Mixer;
use crate::state::{
    Address, Baseline, BaselineTracker, ConnectionLosses, Message, Scheduler, SearcherDirectory,
    SearcherMonitor, Turn, TypeEstimate,
};
pub(crate) use customer_traffic::CustomerTraffic;
pub(crate) use retry_budget::BudgetWindow;
pub(crate) use sliding_totals::SlidingTotals;

impl DecisionModule for Mixer {
    fn handle_events(&mut self, now: f64, events: Vec<Event>) -> Vec<Action> {
        self.turn.now = now;
        for event in events {
            self.handle_event(event);
        }
        // All events are handled before ages are judged: a pause of the mixer itself must not look like a
        // slow searcher.
        self.deliver_messages();
        self.tick_if_due(now);
        self.deliver_messages();
        self.turn.send(Address::SCHEDULER, Message::EndTurn);
        self.deliver_messages();
        std::mem::take(&mut self.turn.actions)
    }
}

impl Mixer {
    /// Period of the tick. It is short because the shortest times that matter here are tens of milliseconds.
    const TICK_MS: f64 = 20.0;
    /// Until parts of a table type have come back, its baseline latency is this share of its target time.
    const INITIAL_LATENCY_SHARE: f64 = 0.25;

    /// Creates the decision module of one mixer. The seed determines its random choices.
    pub fn new(
        seed: u64,
        table_types: Vec<TableType>,
        customers: Vec<Customer>,
        layout: Layout,
        limits: SafetyLimits,
        permissions: Permissions,
        placement: Placement,
    ) -> Self {
        let initial_ms: Vec<f64> =
            table_types.iter().map(|terms| terms.target_ms * Self::INITIAL_LATENCY_SHARE).collect();
        let estimate = |ms: &f64| TypeEstimate { latency_ms: *ms, samples: 1.0, work_ms: *ms };
        let decay_ms = if permissions.probe {
            SearcherMonitor::LATENCY_DECAY_MS
        } else {
            SearcherMonitor::UNPROBED_LATENCY_DECAY_MS
        };
        let baseline_tracker = BaselineTracker {
            types: initial_ms.iter().map(estimate).collect(),
            slice_means: BTreeMap::new(),
            median_slice_mean: 1.0,
            zones: BTreeMap::new(),
            decay_ms,
        };
        let baseline = Baseline {
            latency_ms: initial_ms.clone(),
            work_ms: initial_ms,
            mark_ratio: BaselineTracker::MARK_MULTIPLE,
            zones: BTreeMap::new(),
            decay_ms,
        };
        let must_subscribe = permissions.resubscribe_within_ms.is_some();
        let stated_mixer_count = f64::from(placement.mixers.max(1));
        let retry_budget = BudgetWindow::new(limits.retry_budget.unwrap_or(BudgetWindow::DEFAULT_BUDGET));
        let hedge_budget = BudgetWindow::new(BudgetWindow::DEFAULT_BUDGET);
        let sampling_offset = Rand64::new(u128::from(!seed)).rand_float();
        let scheduler = Scheduler::new(
            table_types,
            layout,
            limits,
            permissions,
            stated_mixer_count,
            Rc::new(baseline),
            CustomerTraffic::new(customers),
            retry_budget,
            hedge_budget,
            sampling_offset,
        );
        Self {
            random: Rand64::new(u128::from(seed)),
            zone: placement.zone,
            stated_mixer_count,
            directory: SearcherDirectory::default(),
            subscribe_at: if must_subscribe { 0.0 } else { f64::INFINITY },
            failed_subscriptions: 0,
            next_tick_at: f64::NEG_INFINITY,
            monitors: Vec::new(),
            baseline_tracker,
            scheduler,
            turn: Turn::new(),
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::List { kind: ListKind::Failed, .. } => self.schedule_subscription(),
            Event::List { kind, searchers } => self.update_list(kind, searchers),
            Event::ProbeEnded { searcher, outcome, took_ms } => {
                if let Some(searcher) = self.directory.find(searcher) {
                    let message = Message::ProbeEnded { outcome, took_ms };
                    self.turn.send(Address::monitor(searcher), message);
                }
            }
            Event::PeerReport { searcher, report } => self.handle_peer_report(searcher, report),
            // The count is never lower than stated: a mixer that the others do not see may still send parts.
            Event::MixerCount { mixers } => {
                self.scheduler.mixer_count = self.stated_mixer_count.max(f64::from(mixers));
            }
            Event::IdleConnectionsLost => {
                self.scheduler.connection_losses.distrusted_until =
                    self.turn.now + ConnectionLosses::DISTRUST_MS;
            }
            event => self.turn.send(Address::SCHEDULER, Message::Host(event)),
        }
    }

    fn tick_if_due(&mut self, now: f64) {
        if now < self.next_tick_at {
            return;
        }
        self.next_tick_at = now + Self::TICK_MS;
        self.turn.actions.push(Action::WakeAt { at: self.next_tick_at });
        self.turn.send_to_tick_subscribers(|| Message::Tick);
        if now >= self.subscribe_at {
            self.subscribe_at = f64::INFINITY;
            self.turn.actions.push(Action::Subscribe);
        }
    }
}
