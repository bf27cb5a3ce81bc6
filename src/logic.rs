//! The decisions of one mixer: the ShortTail algorithm, with the extensions that `docs/design.md` describes.
//!
//! A host creates a [`Mixer`] with the deployment's settings and passes it all events of one point in time by
//! `handle_events`; `src/interface.rs` has the types and the trait. Inside, each searcher has an actor that
//! detects whether it is slow (`SearcherMonitor`), one actor learns what latency is normal
//! (`BaselineTracker`), and one holds the scans and dispatches their parts (`Scheduler`). Actors
//! communicate only by messages; `Mixer::deliver_messages` empties their mailboxes.
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

use std::cmp::Ordering::Equal;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;

use oorandom::Rand64;

use crate::interface::*;
use crate::report::MarkEvidence;
pub use crate::state::Mixer;
use crate::state::*;

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
    /// Wait before a failed subscription is retried for the first time; it doubles with each failure. It is
    /// short enough for a list that becomes available some seconds late.
    const RESUBSCRIBE_MS: f64 = 1000.0;
    /// The wait stops doubling after this many failures in a row.
    const MAX_BACKOFF_FAILURES: u32 = 8;
    /// A failed subscription is retried at least about this many times within
    /// [`Permissions::resubscribe_within_ms`], after which the deployment counts changes of the list as
    /// missed.
    const MIN_SUBSCRIPTIONS_PER_PERIOD: f64 = 4.0;

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

    /// Schedules the next subscription after a failed one, with exponential backoff and jitter. Discovery may
    /// have rejected all mixers at once; the jitter spreads their retries, so that each is accepted as soon
    /// as there is room for it.
    fn schedule_subscription(&mut self) {
        self.failed_subscriptions = (self.failed_subscriptions + 1).min(Self::MAX_BACKOFF_FAILURES);
        let within_ms = self.scheduler.permissions.resubscribe_within_ms.unwrap_or(f64::INFINITY);
        let longest_wait_ms = within_ms / Self::MIN_SUBSCRIPTIONS_PER_PERIOD;
        let backoff = f64::from(1 << (self.failed_subscriptions - 1));
        let wait_ms = (Self::RESUBSCRIBE_MS * backoff).min(longest_wait_ms);
        self.subscribe_at = self.turn.now + wait_ms * (0.5 + self.random.rand_float());
    }

    fn update_list(&mut self, kind: ListKind, listed: Vec<ListedSearcher>) {
        let is_first = self.scheduler.first_list_at.is_infinite();
        self.failed_subscriptions = 0;
        self.scheduler.first_list_at = self.scheduler.first_list_at.min(self.turn.now);
        if kind != ListKind::Changes {
            // A whole list: searchers that it does not name are gone.
            for searcher in &mut self.scheduler.searchers {
                searcher.status = SearcherStatus::Gone;
            }
        }
        // A searcher that is gone and was never known needs no state.
        let needs_update = |entry: &ListedSearcher| {
            entry.status != SearcherStatus::Gone || self.directory.find(entry.searcher).is_some()
        };
        let entries: Vec<ListedSearcher> = listed.into_iter().filter(needs_update).collect();
        for entry in entries {
            match self.directory.find(entry.searcher) {
                Some(searcher) => self.update_searcher(searcher, entry),
                None => self.add_searcher(entry),
            }
        }
        self.remove_gone_searchers();
        let is_ready = |searcher: &&SearcherState| searcher.status == SearcherStatus::Ready;
        self.scheduler.ready_searcher_count = self.scheduler.searchers.iter().filter(is_ready).count() as f64;
        if is_first {
            // Until there is traffic, all mixers together are assumed to keep one core of each searcher busy.
            self.scheduler.sent_work_rate = self.scheduler.ready_searcher_count / self.scheduler.mixer_count;
        }
    }

    fn add_searcher(&mut self, entry: ListedSearcher) {
        let ListedSearcher { searcher: address, cell, zone, started_at, status } = entry;
        let searcher = self.directory.add(address);
        let monitor = SearcherMonitor::new(searcher, address, zone, self.scheduler.baseline.clone());
        // Of searchers with equal cost, the one with the lowest tie-breaker is preferred: it lies between 0
        // and 1 in the mixer's own zone, and between 1 and 2 in other zones. Within a zone it is random, and
        // another for each mixer, so that the mixers do not all prefer the same searchers.
        let tie_breaker = f64::from(u8::from(zone != self.zone)) + self.random.rand_float();
        let state = SearcherState::new(address, cell, zone, started_at, status, tie_breaker);
        set_or_push(&mut self.monitors, searcher, monitor);
        set_or_push(&mut self.scheduler.searchers, searcher, state);
        self.scheduler.shard_map.add(cell, searcher);
    }

    /// Updates a searcher that is known by its address. A changed start time means that another process runs
    /// there, so that the history of the old one is forgotten.
    fn update_searcher(&mut self, searcher: SearcherIndex, entry: ListedSearcher) {
        let ListedSearcher { cell, started_at, status, .. } = entry;
        let state = &mut self.scheduler.searchers[searcher];
        if state.listed_start_at != started_at && status == SearcherStatus::Ready {
            state.listed_start_at = started_at;
            state.found_start_at = started_at;
            state.concurrency_limit = f64::INFINITY;
            state.leaving = false;
            self.turn.send(Address::monitor(searcher), Message::SearcherRestarted);
        }
        state.status = status;
        let old_cell = std::mem::replace(&mut state.cell, cell);
        self.scheduler.shard_map.remove(old_cell, searcher);
        self.scheduler.shard_map.add(cell, searcher);
    }

    /// Frees the indices of searchers that are gone. Without this the tables would grow with each release of
    /// the searchers, which brings new addresses.
    fn remove_gone_searchers(&mut self) {
        let is_unused = |searcher: SearcherIndex| {
            let state = &self.scheduler.searchers[searcher];
            state.status == SearcherStatus::Gone && state.calls == 0
        };
        for searcher in self.directory.remove_if(is_unused) {
            self.scheduler.shard_map.remove(self.scheduler.searchers[searcher].cell, searcher);
            self.turn.subscribe_to_ticks(Address::monitor(searcher), false);
        }
    }

    /// Handles what another mixer reports of a searcher. A report can only make this mixer probe a searcher,
    /// send it less or send it nothing; it never makes it send more. A wrong or old report can therefore
    /// reduce service, but cannot break a rule. Reports of searchers that this mixer's list does not name are
    /// ignored.
    fn handle_peer_report(&mut self, searcher: SocketAddrV4, report: PeerReport) {
        let Some(searcher) = self.directory.find(searcher) else { return };
        let state = &mut self.scheduler.searchers[searcher];
        match report {
            PeerReport::Marked => {
                self.turn.send(Address::monitor(searcher), Message::MarkedByPeers { several: false });
            }
            PeerReport::MarkedBySeveral => {
                self.turn.send(Address::monitor(searcher), Message::MarkedByPeers { several: true });
            }
            PeerReport::Leaving { leaving } => state.leaving = leaving,
            PeerReport::Restarted { started_at } => state.reported_start_at = started_at.min(self.turn.now),
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

impl SearcherMonitor {
    /// Length of a time slice: half a second, as in the design. The ShortTail paper asks for the shortest
    /// slice that holds enough parts.
    const SLICE_MS: f64 = 500.0;
    /// A slice stays open until it has this many parts, and is judged only then. With three parts, one that
    /// is slow raises the average over the threshold of three only if its latency ratio is over 7, as long as
    /// the two others are normal. With fewer parts, a lower ratio would do.
    const MIN_SLICE_PARTS: u32 = 3;
    /// Weight of a new part in the smoothed latency of a searcher, which covers about the last five parts.
    const LATENCY_WEIGHT: f64 = 0.2;
    /// Time constant by which a searcher's latency decays to its zone's average while no part confirms it. It
    /// is some slices long.
    const LATENCY_DECAY_MS: f64 = 5000.0;
    /// The same where probes are not allowed. Only parts renew the latency then, some seconds apart, so that
    /// it is kept for as long as most faults last.
    const UNPROBED_LATENCY_DECAY_MS: f64 = 15_000.0;
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

    fn record_sent(&mut self, dispatch: DispatchId, table_type: TypeIndex, now: f64) {
        let is_open =
            |slice: &Slice| now - slice.started_at < Self::SLICE_MS || slice.sent < Self::MIN_SLICE_PARTS;
        if !self.slices.last().is_some_and(is_open) {
            self.slices.push(Slice::starting_at(now));
        }
        if let Some(slice) = self.slices.last_mut() {
            slice.sent += 1;
            slice.in_flight.push(MonitoredPart { dispatch, table_type, sent_at: now });
        }
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

    /// Counts an ended part in its slice, and in the trial of a searcher that was readmitted.
    fn record_ended(&mut self, dispatch: DispatchId, ratio: f64, outcome: DispatchOutcome, turn: &mut Turn) {
        let holds_part = |slice: &&mut Slice| slice.in_flight.iter().any(|part| part.dispatch == dispatch);
        let Some(slice) = self.slices.iter_mut().find(holds_part) else { return };
        slice.in_flight.retain(|part| part.dispatch != dispatch);
        slice.ratio_sum += ratio;
        // A failed part says nothing about speed. A slice with one is not reported to the baseline tracker,
        // as it would raise the median that all searchers are compared with.
        slice.without_failure &= !matches!(
            outcome,
            DispatchOutcome::Error | DispatchOutcome::ConnectFailed | DispatchOutcome::Reset
        );
        let is_good = ratio <= self.baseline.mark_ratio && outcome == DispatchOutcome::Ok;
        let is_withdrawn = matches!(outcome, DispatchOutcome::Cancelled | DispatchOutcome::Moot);
        if self.health.on_trial && !is_good && !is_withdrawn {
            self.mark(MarkEvidence { relative_latency: ratio, parts: 1 }, turn);
        }
        self.health.on_trial &= !is_good && !self.health.marked;
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

    /// The smoothed latency, decayed towards its zone's average since a part last confirmed it. In a zone
    /// that is dead or slow to reach, each searcher is seldom used and its own latency is out of date; the
    /// zone's average keeps parts away from all of them. Good searchers of such a zone get less traffic until
    /// a part confirms them.
    fn decayed_latency(
        health: &SearcherHealth,
        baseline: &Baseline,
        zone: Zone,
        now: f64,
    ) -> RelativeLatency {
        let zone_average = baseline.zones.get(&zone).copied().unwrap_or(RelativeLatency::NORMAL);
        let remaining = ((health.latency_at - now) / baseline.decay_ms).exp();
        zone_average.toward(health.latency, remaining)
    }

    /// Updates the highest age of the parts in flight, and the count of overtaken calls.
    fn update_ages(&mut self, now: f64) {
        let mut oldest_excess_ms = 0.0;
        let mut oldest_ratio = 0.0;
        // The parts of one call are sent at the same time, so that calls are counted by their distinct times.
        let mut overtaken_calls = BTreeSet::new();
        for part in self.slices.iter().flat_map(|slice| &slice.in_flight) {
            if self.baseline.is_overtaken(part.table_type, part.sent_at, self.newest_success_sent_at) {
                overtaken_calls.insert(part.sent_at.to_bits());
                continue;
            }
            let age_ms = now - part.sent_at;
            let baseline_ms = self.baseline.latency_ms[part.table_type];
            oldest_excess_ms = f64::max(oldest_excess_ms, age_ms - baseline_ms);
            oldest_ratio = f64::max(oldest_ratio, age_ms / baseline_ms);
        }
        self.health.oldest_excess_ms = oldest_excess_ms;
        self.health.oldest_ratio = oldest_ratio;
        self.health.overtaken_calls = overtaken_calls.len() as u32;
    }

    /// Judges each slice once it is over and all its parts have ended, and earlier if the ages of its parts
    /// in flight raise its average over the threshold: a searcher that hangs would otherwise be marked only
    /// after the last timeout. A sound searcher whose few parts are all heavy may be marked too, and then
    /// gets no traffic until the next probe.
    fn judge_slices(&mut self, turn: &mut Turn) {
        let now = turn.now;
        let mark_ratio = self.baseline.mark_ratio;
        let mut worst = MarkEvidence { relative_latency: 0.0, parts: 0 };
        self.slices.retain(|slice| {
            let mean_ratio = slice.mean_ratio(&self.baseline, self.newest_success_sent_at, now);
            let is_over = now - slice.started_at >= Self::SLICE_MS && slice.in_flight.is_empty();
            let is_decided = slice.sent >= Self::MIN_SLICE_PARTS && (is_over || mean_ratio > mark_ratio);
            if is_decided && mean_ratio > worst.relative_latency {
                worst = MarkEvidence { relative_latency: mean_ratio, parts: slice.sent };
            }
            if is_decided && slice.without_failure {
                let message = Message::SliceEnded { searcher: self.searcher, mean_ratio };
                turn.send(Address::BASELINE_TRACKER, message);
            }
            !is_decided
        });
        if worst.relative_latency > mark_ratio {
            self.mark(worst, turn);
        }
    }

    fn mark(&mut self, evidence: MarkEvidence, turn: &mut Turn) {
        self.health.marked = true;
        self.health.mark_evidence = evidence;
        self.probe_at = turn.now + Self::PROBE_INTERVAL_MS;
        let line = format!("{} marked at {:.1} normals", self.address, evidence.relative_latency);
        turn.actions.push(Action::Log { line });
    }
}

impl Slice {
    /// Mean latency ratio of its parts. A part in flight counts with its age. The answer of an overtaken part
    /// is probably lost, so that it counts with the threshold at most.
    fn mean_ratio(&self, baseline: &Baseline, newest_success_sent_at: f64, now: f64) -> f64 {
        let age_ratios = self.in_flight.iter().map(|part| {
            let is_overtaken = baseline.is_overtaken(part.table_type, part.sent_at, newest_success_sent_at);
            let highest = if is_overtaken { baseline.mark_ratio } else { f64::INFINITY };
            ((now - part.sent_at) / baseline.latency_ms[part.table_type]).min(highest)
        });
        let age_ratio_sum: f64 = age_ratios.sum();
        (self.ratio_sum + age_ratio_sum) / f64::from(self.sent)
    }
}

impl BaselineTracker {
    /// A searcher is marked when the mean latency ratio of its slice exceeds the median of all searchers by
    /// this factor. The ShortTail paper says "about three".
    const MARK_MULTIPLE: f64 = 3.0;
    /// Least weight of a new part in a table type's baseline latency. With it, the baseline covers a few
    /// hundred parts, or some seconds.
    const LATENCY_WEIGHT: f64 = 0.01;
    /// After this many samples, a latency is clipped at `MARK_MULTIPLE` times the baseline.
    const UNCLIPPED_SAMPLES: f64 = 10.0;
    /// Smallest relative step of the work estimate. It is so small that congestion moves the estimate only
    /// over hundreds of parts.
    const MIN_WORK_STEP: f64 = 0.002;
    /// First relative step of the work estimate. It is so large that the estimate converges within tens of
    /// parts.
    const FIRST_WORK_STEP: f64 = 0.05;
    /// A part that is faster than the work estimate lowers it by this many steps, a slower one raises it by
    /// one step. Both balance where a quarter of the parts are faster, which is where the estimate settles.
    const WORK_STEPS_DOWN: f64 = 3.0;
    /// Weight of a new sample in the averages that cover about the last ten samples.
    const LAST_TEN_WEIGHT: f64 = 0.1;

    pub(crate) fn receive(&mut self, message: Message, turn: &mut Turn) {
        match message {
            Message::LatencySample { table_type, latency_ms } => self.record_latency(table_type, latency_ms),
            Message::SliceEnded { searcher, mean_ratio } => self.record_slice(searcher, mean_ratio),
            Message::ZoneSample { zone, latency } => {
                let average = self.zones.entry(zone).or_insert(RelativeLatency::NORMAL);
                *average = average.toward(latency, Self::LAST_TEN_WEIGHT);
            }
            Message::Tick => {
                self.decay_zones();
                self.publish(turn);
            }
            _ => {}
        }
    }

    fn record_latency(&mut self, table_type: TypeIndex, latency_ms: f64) {
        let estimate = &mut self.types[table_type];
        estimate.samples += 1.0;
        let clipped_ms = if estimate.samples > Self::UNCLIPPED_SAMPLES {
            latency_ms.min(Self::MARK_MULTIPLE * estimate.latency_ms)
        } else {
            latency_ms
        };
        let weight = (1.0 / estimate.samples).max(Self::LATENCY_WEIGHT);
        estimate.latency_ms += weight * (clipped_ms - estimate.latency_ms);
        let step = (1.0 / estimate.samples).clamp(Self::MIN_WORK_STEP, Self::FIRST_WORK_STEP);
        estimate.work_ms *=
            if latency_ms > estimate.work_ms { 1.0 + step } else { 1.0 - Self::WORK_STEPS_DOWN * step };
    }

    /// Updates the median that searchers are compared with. If all searchers are slow, the median rises and
    /// none is marked.
    fn record_slice(&mut self, searcher: SearcherIndex, mean_ratio: f64) {
        self.slice_means.insert(searcher, mean_ratio);
        let means = self.slice_means.values().copied();
        self.median_slice_mean = median(means, SearcherMonitor::MIN_SLICE_PARTS as usize).unwrap_or(1.0);
    }

    fn decay_zones(&mut self) {
        for latency in self.zones.values_mut() {
            *latency = latency.decayed(RelativeLatency::NORMAL, Mixer::TICK_MS, self.decay_ms);
        }
    }

    fn publish(&self, turn: &mut Turn) {
        let baseline = Rc::new(Baseline {
            latency_ms: self.types.iter().map(|estimate| estimate.latency_ms.max(1.0)).collect(),
            work_ms: self.types.iter().map(|estimate| estimate.work_ms).collect(),
            // A median under one means that the baseline latencies are not learned yet.
            mark_ratio: Self::MARK_MULTIPLE * self.median_slice_mean.max(1.0),
            zones: self.zones.clone(),
            decay_ms: self.decay_ms,
        });
        turn.send_to_tick_subscribers(|| Message::BaselineChanged(baseline.clone()));
    }
}

impl BudgetWindow {
    /// Budget of hedges, and of retries where the deployment states none: a tenth of the accepted scans and
    /// parts, and a few more. A larger budget would add to an overload.
    const DEFAULT_BUDGET: RetryBudget = RetryBudget { free: 5.0, share: 0.1, window_ms: 2000.0 };
    /// Busy share of the searchers' cores from which on none of the budget is available. Up to half this
    /// share all of it is available, and in between the available part falls linearly. The cores beyond this
    /// share are left for fluctuations of the load.
    const FULL_BUSY_SHARE: f64 = 0.8;
    /// The window is longer by this much for extra dispatches, and shorter by this much for accepted scans
    /// and parts. The budget is then kept even if the deployment sees an event at the edge of a window a
    /// little earlier or later.
    const WINDOW_MARGIN_MS: f64 = 1.0;

    /// Whether one more extra dispatch is within the budget. The busier the searchers report to be, the less
    /// of the budget is available, as each extra dispatch then delays other parts: retries and hedges must
    /// not prolong an overload. While all searchers are busy, scans with lost answers therefore get no
    /// retries.
    fn allows_one_more(&mut self, now: f64, busy_share: Option<f64>) -> bool {
        let available_share =
            busy_share.map_or(1.0, |busy| (2.0 - 2.0 * busy / Self::FULL_BUSY_SHARE).clamp(0.0, 1.0));
        let window_start_at = now - self.budget.window_ms;
        drop_front_while(&mut self.spent_at, |at| *at < window_start_at - Self::WINDOW_MARGIN_MS);
        drop_front_while(&mut self.accepted_at, |at| *at < window_start_at + Self::WINDOW_MARGIN_MS);
        let budget = self.budget.free + self.budget.share * self.accepted_at.len() as f64;
        self.spent_at.len() as f64 + 1.0 <= available_share * budget
    }
}

impl CustomerTraffic {
    /// Share of a searcher's concurrency limit that a customer over its quota may use.
    const OVER_QUOTA_LIMIT_SHARE: f64 = 0.8;
    /// Time span in which the customers' traffic is compared. It holds some tens of scans.
    const SPAN_MS: f64 = 5000.0;
    /// Time for which a customer's scans send one part first, after a scan of it ended for lost connections.
    /// It covers some retries of the customer's clients.
    const CAUTION_MS: f64 = 10_000.0;
    /// A customer is over its quota when its share of the scans exceeds its share of the quotas by this
    /// factor.
    const QUOTA_TOLERANCE: f64 = 1.1;

    /// Whether a customer's share of the recent scans is higher than its share of all quotas. Admission
    /// control rejects the scans of such customers first.
    fn is_over_quota(&self, customer: usize) -> bool {
        let Some(terms) = self.customers.get(customer) else { return false };
        let Some(count) = self.counts.get(customer) else { return false };
        let total_scans_per_s: f64 = self.customers.iter().map(|customer| customer.scans_per_s).sum();
        *count as f64 * total_scans_per_s
            > terms.scans_per_s * self.recent.len() as f64 * Self::QUOTA_TOLERANCE
    }
}

impl ConnectionLosses {
    /// A connection that was idle for this long, which is a few latencies, may have been dropped without
    /// notice to either end.
    const IDLE_MS: f64 = 500.0;
    /// Above this loss rate on idle connections, they are closed before use. It is higher than the rate that
    /// failing searchers cause.
    const MAX_IDLE_LOSS_RATE: f64 = 0.25;
    /// The loss rate on idle connections must also exceed the rate on fresh ones by this factor.
    const MIN_IDLE_TO_FRESH_RATIO: f64 = 2.0;
    /// Time for which idle connections are closed before use. It must end by itself: the new connections that
    /// are used instead do not show whether idle ones work again.
    const DISTRUST_MS: f64 = 10_000.0;

    /// Counts whether a part was lost, separately for fresh and for idle connections. A network device may
    /// drop connections while they are idle though the searchers are sound; such losses occur on idle
    /// connections only.
    fn record(&mut self, on_idle_connection: Option<bool>, lost: bool, now: f64) {
        let Some(was_idle) = on_idle_connection else { return };
        let rate = if was_idle { &mut self.idle_rate } else { &mut self.fresh_rate };
        *rate += BaselineTracker::LAST_TEN_WEIGHT * (f64::from(u8::from(lost)) - *rate);
        if self.idle_rate > Self::MAX_IDLE_LOSS_RATE
            && self.idle_rate > Self::MIN_IDLE_TO_FRESH_RATIO * self.fresh_rate
        {
            self.idle_rate = 0.0;
            self.distrusted_until = now + Self::DISTRUST_MS;
        }
    }
}

/// A replica that may get a part, ordered by preference: the lower, the better.
#[derive(PartialEq, PartialOrd)]
struct RankedReplica {
    tier: u8,
    /// The cost, rounded on a logarithmic scale: replicas whose costs differ by little count as equal.
    cost_level: f64,
    /// The part needs a new call: no call that leaves for the searcher in this turn has room for it.
    needs_call: bool,
    tie_breaker: f64,
    searcher: SearcherIndex,
}

/// The replica that [`Scheduler::best_replica`] chose for a part.
struct Replica {
    tier: u8,
    cost: f64,
    searcher: SearcherIndex,
}

/// Messages.
impl Scheduler {
    /// A sum of weights that is lower than the required weight by this much still counts as enough, because
    /// weights are rounded.
    const WEIGHT_TOLERANCE: f64 = 1e-5;
    /// Share of the target time that a client's retry is assumed to have left. How much it really has is not
    /// known; this is the middle between nothing and all.
    const RETRY_TARGET_SHARE: f64 = 0.5;
    /// Step between the sampling numbers of consecutive scans, modulo 1. With the golden ratio as step, the
    /// numbers are spread evenly over 0 to 1, however many scans there are.
    const SAMPLING_STEP: f64 = 0.618_033_988_749_895;
    /// Scans end this long before their target time and their deadline, so that the answer arrives in time: a
    /// tick and some reserve.
    const ANSWER_LEAD_MS: f64 = 30.0;
    /// Time constant of the average rates of this mixer's traffic. It is long, because one mixer of hundreds
    /// may see a scan of many parts only every few seconds.
    const TRAFFIC_MS: f64 = 30_000.0;

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

    fn accept_scan(&mut self, request: ScanRequest, now: f64) {
        self.count_accepted(now);
        self.customers.record_scan(request.customer, now, CustomerTraffic::SPAN_MS);
        let Some(terms) = self.table_types.get(request.table_type) else { return };
        let target_ms = terms.target_ms + terms.target_ms_per_work_ms * request.work_ms.unwrap_or(0.0);
        let left_ms = if request.retry { Self::RETRY_TARGET_SHARE * target_ms } else { target_ms };
        let target_at = now + left_ms.min(terms.query_timeout_ms) - Self::ANSWER_LEAD_MS;
        let deadline_at = request.deadline_at - Self::ANSWER_LEAD_MS;
        let scan = Scan {
            id: request.id,
            number: request.number,
            table_type: request.table_type,
            customer: request.customer,
            target_at,
            deadline_at,
            parts: Vec::new(),
            required_weight: terms.required_weight,
            minimum_weight: terms.minimum_weight.min(terms.required_weight),
            first_step_whole: true,
            in_second_step: false,
            connections_lost: 0,
            sampling_number: (self.sampling_offset + self.last_scan as f64 * Self::SAMPLING_STEP).fract(),
            parts_per_searcher: 1.0,
        };
        self.last_scan += 1;
        let index = self.last_scan;
        self.scans.insert(index, scan);
        self.locations.insert(request.id, Location::Scan { scan: index });
        self.timers.add(target_at, Timer::Target(index));
        self.timers.add(deadline_at, Timer::Deadline(index));
    }

    /// Adds a part to the newest scan of this number.
    fn accept_part(&mut self, part: Part, scan_number: u32, now: f64) {
        self.count_accepted(now);
        let newest = self.scans.iter_mut().rfind(|(_, scan)| scan.number == scan_number);
        let Some((index, scan)) = newest else { return };
        self.locations.insert(part.id, Location::Part { scan: *index, part: scan.parts.len() });
        self.changed_scans.insert(*index);
        self.demanded_work_rates[scan.table_type] +=
            scan.required_weight * self.baseline.work_ms[scan.table_type] / Self::TRAFFIC_MS;
        scan.parts.push(part);
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

    /// Allows a hedge for a part that is late while its searcher is not marked. The hedge budget limits this,
    /// because under overload all parts are late.
    fn handle_late_dispatch(&mut self, id: DispatchId, now: f64) {
        let Some(dispatch) = self.in_flight.get_mut(&id) else { return };
        self.connection_losses.record(dispatch.on_idle_connection.take(), true, now);
        if self.hedge_budget.allows_one_more(now, self.busy_share) {
            self.hedge_budget.spent_at.push_back(now);
            self.request_hedge(id.part);
        }
    }

    /// Ends a scan at its target time if the partial answer that it has is worth as much as a whole answer
    /// after the target time.
    fn handle_target_time(&mut self, index: ScanIndex, turn: &mut Turn) {
        let Some(scan) = self.scans.get(&index) else { return };
        let terms = &self.table_types[scan.table_type];
        let answered = scan.answered_weight();
        let is_enough = answered + Self::WEIGHT_TOLERANCE >= scan.minimum_weight;
        let usable_weight = if is_enough { answered } else { 0.0 };
        let partial_benefit = usable_weight / scan.required_weight * terms.partial_benefit_share;
        if terms.late_benefit_share <= partial_benefit {
            self.end(index, turn);
        }
    }
}

/// A scan as the host passes it on; see [`Event::Scan`].
struct ScanRequest {
    id: u64,
    number: u32,
    table_type: TypeIndex,
    customer: usize,
    deadline_at: f64,
    work_ms: Option<f64>,
    retry: bool,
}

/// Ends of dispatches.
impl Scheduler {
    /// A part raises the concurrency limit if its latency, beyond its work, is within this share of the time
    /// between its work and its target time. The share is well under 1, because a scan waits for the slowest
    /// of its parts.
    const IN_TIME_SHARE: f64 = 0.5;
    /// The concurrency limit is multiplied by this when it is cut.
    const LIMIT_CUT: f64 = 0.8;

    fn end_dispatch(&mut self, id: DispatchId, outcome: DispatchOutcome, took_ms: f64, turn: &mut Turn) {
        let Some(dispatch) = self.in_flight.remove(&id) else { return };
        if Rc::strong_count(&dispatch.call) == 1 {
            self.searchers[dispatch.searcher].calls -= 1;
        }
        let baseline_ms = self.baseline.latency_ms[dispatch.table_type];
        let searcher = &self.searchers[dispatch.searcher];
        let is_unanswered = matches!(outcome, DispatchOutcome::Cancelled | DispatchOutcome::TimedOut);
        let is_lost = is_unanswered
            && self.baseline.is_overtaken(
                dispatch.table_type,
                dispatch.sent_at,
                searcher.newest_success_sent_at,
            );
        let latency_ms = self.counted_latency_ms(&dispatch, outcome, took_ms, is_lost);
        if !matches!(outcome, DispatchOutcome::Cancelled | DispatchOutcome::ConnectFailed) {
            let was_lost = outcome != DispatchOutcome::Ok;
            self.connection_losses.record(dispatch.on_idle_connection, was_lost, turn.now);
        }
        if outcome == DispatchOutcome::Ok {
            self.record_success(&dispatch, latency_ms, turn);
        }
        // If the only call in flight got no answer, the answer may be lost or the searcher may be congested.
        // The parts that follow will show which it is, so that this one does not change the limit.
        let is_only_call = is_unanswered && self.searchers[dispatch.searcher].active_calls() == 0;
        if !(is_lost || is_only_call) {
            self.adapt_concurrency_limit(&dispatch, latency_ms, turn.now);
        }
        let message = Message::DispatchEnded {
            dispatch: id,
            ratio: latency_ms / baseline_ms,
            baseline_ms,
            outcome,
            sent_at: dispatch.sent_at,
        };
        turn.send(Address::monitor(dispatch.searcher), message);
        self.end_part_dispatch(id, outcome, turn);
    }

    /// The latency with which an ended dispatch counts. A failure must never look fast, so that it counts
    /// with the whole timeout. A cancelled dispatch counts with its age, and with the baseline at least.
    fn counted_latency_ms(
        &self,
        dispatch: &InFlightDispatch,
        outcome: DispatchOutcome,
        took_ms: f64,
        is_lost: bool,
    ) -> f64 {
        let baseline_ms = self.baseline.latency_ms[dispatch.table_type];
        match outcome {
            DispatchOutcome::Ok => took_ms,
            // The answer is lost, but the searcher is not slow. The loss costs the wait until a hedge, so
            // that it counts with at most the latency for which a searcher is marked.
            _ if is_lost => took_ms.clamp(baseline_ms, self.baseline.mark_ratio * baseline_ms),
            DispatchOutcome::Cancelled | DispatchOutcome::Moot => took_ms.max(baseline_ms),
            _ => took_ms.max(dispatch.timeout_ms),
        }
    }

    fn record_success(&mut self, dispatch: &InFlightDispatch, latency_ms: f64, turn: &mut Turn) {
        let searcher = &mut self.searchers[dispatch.searcher];
        searcher.last_success_at = turn.now;
        searcher.newest_success_sent_at = searcher.newest_success_sent_at.max(dispatch.sent_at);
        let message = Message::LatencySample { table_type: dispatch.table_type, latency_ms };
        turn.send(Address::BASELINE_TRACKER, message);
    }

    /// Adapts the limit on this mixer's calls in flight at a searcher (additive increase, multiplicative
    /// decrease). While parts are in time, the limit grows by about one call in one latency. When a part took
    /// too long, the limit is cut to a share of itself, or of the calls in flight if these are fewer; this
    /// happens at most once in one latency. It limits hot spots and congestion of any cause.
    fn adapt_concurrency_limit(&mut self, dispatch: &InFlightDispatch, latency_ms: f64, now: f64) {
        let searcher = &mut self.searchers[dispatch.searcher];
        let work_ms = self.baseline.work_ms[dispatch.table_type];
        let target_ms = self.table_types[dispatch.table_type].target_ms;
        if latency_ms <= work_ms + Self::IN_TIME_SHARE * (target_ms - work_ms) {
            searcher.concurrency_limit += 1.0 / searcher.concurrency_limit;
        } else if now - searcher.limit_cut_at > self.baseline.latency_ms[dispatch.table_type] {
            let used = f64::from(searcher.active_calls() + 1); // with the call of the ended dispatch
            searcher.concurrency_limit = (searcher.concurrency_limit.min(used) * Self::LIMIT_CUT).max(1.0);
            searcher.limit_cut_at = now;
        }
    }

    /// Updates the part of a dispatch that has ended, and advances its scan.
    fn end_part_dispatch(&mut self, id: DispatchId, outcome: DispatchOutcome, turn: &mut Turn) {
        let Some(&Location::Part { scan: index, part }) = self.locations.get(&id.part) else { return };
        let Some(scan) = self.scans.get_mut(&index) else { return };
        scan.connections_lost += u32::from(outcome == DispatchOutcome::Reset);
        let part = &mut scan.parts[part];
        part.dispatches[usize::from(id.number)].outcome = Some(outcome);
        part.ended_at = turn.now;
        if part.state == PartState::Answered {
            return;
        }
        if outcome == DispatchOutcome::Ok {
            part.state = PartState::Answered;
            part.hedge_due = false; // a hedge that is still due would send the part again
            turn.cancel(part.dispatches_in_flight(), self.permissions.cancel);
        } else if part.dispatches_in_flight().is_empty() {
            part.state = PartState::Failed;
            part.hedge_due = false;
        }
        self.advance(index, turn);
    }

    /// Allows a hedge for a part that is late, or in flight at a searcher that was just marked.
    fn request_hedge(&mut self, part: u64) {
        let Some(&Location::Part { scan: index, part }) = self.locations.get(&part) else { return };
        let Some(scan) = self.scans.get_mut(&index) else { return };
        let part = &mut scan.parts[part];
        part.hedge_due = part.state == PartState::InFlight && part.dispatches.len() == 1;
        self.changed_scans.insert(index);
    }
}

/// Progress of scans.
impl Scheduler {
    /// A scan without any answered part ends when this many of its parts have lost their connection: it may
    /// crash the searchers that it reaches. For a while, its customer's scans then send one part first. The
    /// same happens to sound scans while many searchers crash for another reason.
    const FATAL_CONNECTION_LOSSES: u32 = 2;
    /// Sum of the weights of all parts of a step.
    const ALL_PARTS_WEIGHT: f64 = 1.0;

    /// Dispatches the parts that a scan lacks, and ends it as soon as it is whole or cannot become whole.
    fn advance(&mut self, index: ScanIndex, turn: &mut Turn) {
        let now = turn.now;
        let Some(scan) = self.scans.get(&index).filter(|scan| !scan.parts.is_empty()) else { return };
        if scan.answered_weight() + Self::WEIGHT_TOLERANCE >= scan.required_weight {
            return self.complete(index, true, turn);
        }
        let has_answers =
            scan.in_second_step || scan.parts.iter().any(|part| part.state == PartState::Answered);
        if !has_answers && scan.connections_lost >= Self::FATAL_CONNECTION_LOSSES {
            self.customers.set_cautious(scan.customer, now + CustomerTraffic::CAUTION_MS);
            return self.end(index, turn);
        }
        // A scan that may crash searchers sends one part at a time until one is answered.
        let is_suspect = scan.connections_lost > 0 || self.customers.is_cautious(scan.customer, now);
        let one_part_first = !has_answers && is_suspect;
        let is_new = !scan.in_second_step && scan.parts.iter().all(|part| part.dispatches.is_empty());
        if is_new && let Some(reason) = self.scan_rejection(index, now) {
            let Some(scan) = self.scans.get(&index) else { return };
            self.rejections[scan.table_type][reason as usize] += 1;
            return self.end(index, turn);
        }
        self.dispatch_lacking_parts(index, one_part_first, turn);
        self.end_if_unanswerable(index, turn);
    }

    /// Dispatches the best candidates until the scan lacks nothing.
    fn dispatch_lacking_parts(&mut self, index: ScanIndex, one_part_first: bool, turn: &mut Turn) {
        let now = turn.now;
        let within_budget = self.retry_budget.allows_one_more(now, self.busy_share);
        let Some(scan) = self.scans.get(&index) else { return };
        let mut lacking_weight = scan.required_weight - Self::WEIGHT_TOLERANCE - scan.expected_weight();
        let mut candidates: BTreeSet<Candidate> =
            (0..scan.parts.len()).filter_map(|part| self.candidate(scan, part, within_budget, now)).collect();
        while let Some(best) = candidates.pop_first().filter(|_| lacking_weight > 0.0) {
            let within_budget = self.retry_budget.allows_one_more(now, self.busy_share);
            let Some(scan) = self.scans.get(&index) else { return };
            let waits_for_part =
                scan.parts.iter().any(|part| part.state == PartState::InFlight && !part.hedge_due);
            if one_part_first && waits_for_part {
                break;
            }
            // A dispatch can make other candidates worse but never better. It is therefore enough to compute
            // the best candidate again before it is used.
            let current = self.candidate(scan, best.part, within_budget, now);
            if current.as_ref() == Some(&best) {
                lacking_weight -= scan.parts[best.part].weight;
                self.dispatch(index, best.part, best.searcher, turn);
            } else {
                candidates.extend(current);
            }
        }
    }

    /// Checks a scan whose answered and in-flight parts do not make a whole answer. It ends the scan if the
    /// parts that can still be answered do not suffice either; else the scan waits, and tries again at the
    /// next tick. A scan that can still get its minimum weight does not end while parts are in flight.
    fn end_if_unanswerable(&mut self, index: ScanIndex, turn: &mut Turn) {
        let now = turn.now;
        let Some(scan) = self.scans.get(&index) else { return };
        if scan.expected_weight() + Self::WEIGHT_TOLERANCE >= scan.required_weight {
            return;
        }
        self.waiting_scans.insert(index);
        let has_searcher =
            |part: &Part| self.shard_map.holders(part.shard).any(|searcher| self.searchers[searcher].is_up());
        let can_be_answered = |part: &Part| match part.state {
            PartState::Answered | PartState::InFlight => true,
            PartState::Unsent | PartState::Failed => self.may_repeat(scan, part, now) && has_searcher(part),
        };
        let attainable_weight = scan.weight_of(can_be_answered) + Self::WEIGHT_TOLERANCE;
        let has_in_flight = scan.parts.iter().any(|part| part.state == PartState::InFlight);
        // After its target time and without parts in flight, a scan only waits for budget or capacity. Its
        // client does better to retry.
        let is_late_and_idle = now >= scan.target_at && !has_in_flight;
        let cannot_be_whole = attainable_weight < scan.required_weight;
        let can_be_partial = attainable_weight >= scan.minimum_weight && has_in_flight;
        if is_late_and_idle || cannot_be_whole && !can_be_partial {
            self.end(index, turn);
        }
    }

    /// Answers a scan. The first answer of a scan with two steps opens its second step, for which the host
    /// passes new parts. The second step requires all of them; its minimum is that of the first step if the
    /// table type allows partial answers, else all parts too.
    fn complete(&mut self, index: ScanIndex, whole: bool, turn: &mut Turn) {
        let Some(scan) = self.scans.get_mut(&index) else { return };
        let whole = whole && scan.first_step_whole;
        turn.actions.push(Action::Complete { scan: scan.id, whole });
        if scan.in_second_step || !self.table_types[scan.table_type].has_second_step {
            return self.close(index, turn);
        }
        scan.in_second_step = true;
        scan.first_step_whole = whole;
        scan.minimum_weight = if scan.minimum_weight < scan.required_weight {
            scan.minimum_weight
        } else {
            Self::ALL_PARTS_WEIGHT
        };
        scan.required_weight = Self::ALL_PARTS_WEIGHT;
        let first_step_parts = std::mem::take(&mut scan.parts);
        turn.cancel(self.forget_parts(first_step_parts), self.permissions.cancel);
    }

    /// Ends a scan that will not be whole: with what is answered if that is enough, else with a throttling
    /// reply if a retry does no harm, else by abandoning it.
    fn end(&mut self, index: ScanIndex, turn: &mut Turn) {
        let Some(scan) = self.scans.get(&index) else { return };
        let id = scan.id;
        let answered = scan.answered_weight() + Self::WEIGHT_TOLERANCE;
        // An answer to the first step at the deadline would open a second step that has no time left.
        let opens_step_too_late = !scan.in_second_step
            && self.table_types[scan.table_type].has_second_step
            && turn.now >= scan.deadline_at;
        // `answered` contains the tolerance once, so that this means an answered weight beyond the tolerance.
        let has_answer = answered > 2.0 * Self::WEIGHT_TOLERANCE;
        if has_answer && answered >= scan.minimum_weight && !opens_step_too_late {
            return self.complete(index, answered >= scan.required_weight, turn);
        }
        let may_retry =
            !scan.in_second_step && scan.parts.iter().all(|part| self.is_repeatable(scan, part, turn.now));
        let action = if may_retry {
            Action::Throttle { scan: id, retry_after_ms: self.permissions.retry_after_ms }
        } else {
            Action::Abandon { scan: id }
        };
        turn.actions.push(action);
        self.close(index, turn);
    }
}

/// Choice of replicas.
impl Scheduler {
    /// Costs that differ by less than about this factor count as equal, because a latency smoothed over five
    /// parts is not more exact.
    const EQUAL_COST_FACTOR: f64 = 1.5;

    /// The next dispatch of a part, if one may be made. Candidates without known trouble come first, then
    /// first dispatches before retries and hedges, then those of low cost.
    fn candidate(&self, scan: &Scan, part_index: usize, within_budget: bool, now: f64) -> Option<Candidate> {
        let part = &scan.parts[part_index];
        let is_first = part.state == PartState::Unsent;
        if !is_first && !self.may_retry_or_hedge(scan, part, within_budget, now) {
            return None;
        }
        let Replica { tier, cost, searcher } = self.best_replica(scan, part, now)?;
        // A searcher that has just rejected the part as full would reject it again. The part waits for as
        // long as the searcher needs to finish one part.
        let rejected_as_full = PartDispatch { searcher, outcome: Some(DispatchOutcome::Full) };
        let must_wait = part.dispatches.contains(&rejected_as_full)
            && now < part.ended_at + self.baseline.work_ms[scan.table_type];
        let is_hedge = part.state == PartState::InFlight;
        let cost_bits = (cost / part.weight.max(Self::WEIGHT_TOLERANCE)).to_bits();
        let is_allowed = !must_wait && (!is_hedge || tier == 0);
        is_allowed.then_some(Candidate { tier, is_retry: !is_first, cost_bits, part: part_index, searcher })
    }

    /// Whether a part that was sent before may be sent again now.
    fn may_retry_or_hedge(&self, scan: &Scan, part: &Part, within_budget: bool, now: f64) -> bool {
        let is_hedge = part.hedge_due && self.permissions.hedge && part.dispatches.len() == 1;
        let is_wanted = part.state == PartState::Failed || is_hedge;
        let is_free = self.limits.retry_budget.is_none() && part.never_ran();
        is_wanted && self.may_repeat(scan, part, now) && (within_budget || is_free)
    }

    /// Whether executing a part once more does no harm. A keyed part that may have run would take effect
    /// again after its window, also if the client repeats it.
    fn is_repeatable(&self, scan: &Scan, part: &Part, now: f64) -> bool {
        match self.table_types[scan.table_type].idempotency {
            Idempotency::Replayable => true,
            Idempotency::Keyed { window_ms } => part.never_ran() || now < part.accepted_at + window_ms,
            Idempotency::NonReplayable => part.never_ran(),
        }
    }

    /// Whether one more dispatch of a part is allowed, apart from budget and capacity.
    fn may_repeat(&self, scan: &Scan, part: &Part, now: f64) -> bool {
        self.is_repeatable(scan, part, now)
            && part.dispatches.len() < self.permissions.max_dispatches as usize
    }

    /// Work of one more part at a searcher, with the overhead of a call if it needs one.
    fn work_ms(&self, table_type: TypeIndex, searcher: SearcherIndex) -> f64 {
        let call_work_ms = if self.has_open_call(searcher) { 0.0 } else { self.layout.call_work_ms };
        self.baseline.work_ms[table_type] + call_work_ms
    }

    /// Chooses the replica with the lowest cost, which is its smoothed latency multiplied by the number of
    /// this mixer's calls in flight there, the new one included. Of replicas with equal cost, one that gets a
    /// call in this turn anyway is preferred, then the one with the lowest tie-breaker. Marked searchers and
    /// others with known trouble come last, but are used if there are no better ones.
    fn best_replica(&self, scan: &Scan, part: &Part, now: f64) -> Option<Replica> {
        let holders = self.shard_map.holders(part.shard);
        let replicas = holders.filter_map(|searcher| self.rank_replica(scan, part, searcher, now));
        let best = replicas.min_by(|a, b| a.partial_cmp(b).unwrap_or(Equal))?;
        let cost = Self::EQUAL_COST_FACTOR.powf(best.cost_level);
        Some(Replica { tier: best.tier, cost, searcher: best.searcher })
    }

    fn rank_replica(
        &self,
        scan: &Scan,
        part: &Part,
        searcher: SearcherIndex,
        now: f64,
    ) -> Option<RankedReplica> {
        let state = &self.searchers[searcher];
        let health = &state.health;
        let is_hedge = part.state == PartState::InFlight;
        if !state.is_up()
            || !self.has_cold_capacity(state, scan, is_hedge, self.work_ms(scan.table_type, searcher), now)
        {
            return None;
        }
        let has_open_call = self.has_open_call(searcher);
        let other_calls = state.active_calls().saturating_sub(u32::from(has_open_call));
        let was_tried = part.dispatches.iter().any(|dispatch| dispatch.searcher == searcher);
        let is_late = health.oldest_ratio > self.baseline.mark_ratio;
        let is_avoided = health.marked || health.on_trial && other_calls > 0 || was_tried || is_late;
        // Of replicas with equal cost, a cold searcher ranks by the distance of its cell from the shard's
        // first cell instead of randomly. Neighbouring shards, which share searchers, then prefer different
        // ones, and find more capacity in total. The tie-breaker lies half a zone behind those of the warm
        // searchers: between 0.5 and 1.5 in the mixer's own zone (warm: 0 to 1), between 1.5 and 2.5 in other
        // zones (warm: 1 to 2).
        let tie_breaker = if self.is_cold(state, now) {
            state.tie_breaker.floor() + 0.5 + self.shard_map.distance(part.shard, state.cell)
        } else {
            state.tie_breaker
        };
        let latency = SearcherMonitor::decayed_latency(health, &self.baseline, state.zone, now);
        let cost = latency.ratio * f64::from(1 + other_calls);
        Some(RankedReplica {
            tier: u8::from(is_avoided),
            cost_level: cost.log(Self::EQUAL_COST_FACTOR).round(),
            needs_call: !has_open_call,
            tie_breaker,
            searcher,
        })
    }
}

/// Capacity of cold searchers.
impl Scheduler {
    /// The mean work that sampled scans bring to a cold searcher in a window is lower than the limit by this
    /// many standard deviations. The work, which is random, then stays below the limit for thousands of
    /// windows in a row.
    const COLD_LOAD_DEVIATIONS: f64 = 4.0;
    /// The traffic may exceed its known average by this factor, through bursts and clients that retry.
    const TRAFFIC_SURGE: f64 = 1.15;
    /// Traffic with a hedge of every part, divided by the traffic without hedges: a part is hedged once at
    /// most.
    const HEDGED_TRAFFIC_RATIO: f64 = 2.0;
    /// Lower busy shares count as this one. The traffic of almost idle searchers says little about how much
    /// they could carry, so that the capacity is derived as twice the traffic at most.
    const MIN_BUSY_SHARE: f64 = 0.5;

    /// Whether a searcher has capacity for one more part of a scan. A warm searcher always has.
    ///
    /// A cold searcher fails if all mixers together send it more than [`Self::cold_capacity_ms`] in a window.
    /// The mixers do not coordinate what they send, so that each may use an equal share of the capacity. It
    /// divides its share among the table types, see [`Self::capacity_share`]. In the first window after its
    /// first list it uses none of it, as an earlier process of the same mixer may just have used it.
    ///
    /// If a table type's share is smaller than the work of one part, the mixer could never send a part within
    /// it. Then [`Self::is_sampled`] admits some of the scans, and these may send the searcher their parts.
    ///
    /// While most searchers are cold, these rules make admission control reject scans.
    fn has_cold_capacity(
        &self,
        searcher: &SearcherState,
        scan: &Scan,
        is_hedge: bool,
        work_ms: f64,
        now: f64,
    ) -> bool {
        if !self.is_cold(searcher, now) {
            return true;
        }
        let window_ms = self.limits.overload_window_ms;
        let capacity_ms = self.cold_capacity_ms(searcher, now);
        let own_share_ms = self.capacity_share(scan.table_type) * capacity_ms / self.mixer_count;
        let scan_work_ms = scan.parts_per_searcher * work_ms;
        let allowed_ms = if work_ms <= own_share_ms {
            let is_first_window = now < self.first_list_at + window_ms;
            if is_first_window { 0.0 } else { own_share_ms }
        } else if self.is_sampled(scan, is_hedge, work_ms, capacity_ms) {
            scan_work_ms + work_ms
        } else {
            0.0
        };
        let in_window = |sent: &&SentWork| sent.at >= now - window_ms && sent.table_type == scan.table_type;
        let sent_ms: f64 = searcher.recent_work.iter().filter(in_window).map(|sent| sent.work_ms).sum();
        sent_ms + work_ms <= allowed_ms
    }

    /// Work that all mixers together may send a cold searcher in a window. What the searcher can carry in it
    /// is the product of its present speed, the rate of work that a warm searcher can carry, and the length
    /// of the window; it fails at a multiple of this.
    ///
    /// The speed is that of the slowest warm-up that the deployment allows: it grows linearly with the time
    /// since the searcher's latest start. The rate of a warm searcher is estimated from this mixer's traffic,
    /// as if all mixers sent as much, divided by the busy share that searchers report. It is at least one
    /// core.
    fn cold_capacity_ms(&self, searcher: &SearcherState, now: f64) -> f64 {
        let limits = &self.limits;
        let age_ms = now - searcher.latest_start_at();
        let warmed_up_share = (age_ms / limits.warm_up_ms).max(0.0);
        let speed = limits.cold_capacity_share + (1.0 - limits.cold_capacity_share) * warmed_up_share;
        let busy_share = self.busy_share.map_or(1.0, |busy| busy.clamp(Self::MIN_BUSY_SHARE, 1.0));
        let received_work_rate = self.sent_work_rate * self.mixers_per_searcher();
        let warm_work_rate = (received_work_rate / busy_share).max(1.0);
        limits.overload_multiple * speed * warm_work_rate * limits.overload_window_ms
    }

    /// Factor that converts the rate of one mixer at all searchers to the rate of all mixers at one searcher.
    fn mixers_per_searcher(&self) -> f64 {
        self.mixer_count / self.ready_searcher_count.max(1.0)
    }

    /// Share of this mixer's capacity at cold searchers that a table type gets. It is proportional to the
    /// type's benefit times its demand.
    fn capacity_share(&self, table_type: TypeIndex) -> f64 {
        let weighted_demand = |table_type: TypeIndex| {
            self.table_types[table_type].benefit * self.demanded_work_rates[table_type]
        };
        let total: f64 = (0..self.table_types.len()).map(weighted_demand).sum();
        weighted_demand(table_type) / total.max(f64::MIN_POSITIVE)
    }

    /// Whether a scan is one of those that may send parts to cold searchers although this mixer's share of
    /// their capacity is smaller than one part.
    ///
    /// Several mixers share the capacity of a cold searcher without communicating. Each therefore admits only
    /// a fraction of its scans: those whose sampling number is below the fraction. How much work the mixers
    /// admit together in a window is then random. The fraction is chosen so that the mean of this work lies
    /// [`Self::COLD_LOAD_DEVIATIONS`] standard deviations below the limit.
    ///
    /// The limit is the capacity plus what the platform allows beyond it for random fluctuation: for a
    /// capacity of N parts, another `2 * sqrt(N) + 2` parts. All parts of a scan have the same sampling
    /// number, so that a scan of many parts finds capacity for all of them or for none.
    ///
    /// A hedge is not sampled, as it is not a scan of its own. It is admitted only if the limit leaves room
    /// for a hedge of every part. Otherwise the hedges could fill a window when parts are late at many
    /// searchers at once.
    fn is_sampled(&self, scan: &Scan, is_hedge: bool, work_ms: f64, capacity_ms: f64) -> bool {
        let scan_work_ms = scan.parts_per_searcher * work_ms;
        // Parts are counted in those of the table type with the least work: N = capacity / least work.
        let least_work_ms = self.baseline.work_ms.iter().copied().fold(f64::INFINITY, f64::min);
        let limit_ms = capacity_ms + 2.0 * (capacity_ms * least_work_ms).sqrt() + 2.0 * least_work_ms;
        // The number of admitted scans is taken as Poisson distributed, so that its variance is its mean.
        // Each scan brings the work `scan_work`. With `mean` for the mean of the work, the number of scans
        // has the mean `mean / scan_work`, and the work has the variance `mean / scan_work * scan_work^2`, so
        // that its standard deviation is `sqrt(mean * scan_work)`. The highest allowed mean is the one for
        // which `mean + COLD_LOAD_DEVIATIONS * sqrt(mean * scan_work) = limit`, a quadratic equation in
        // `sqrt(mean)`.
        let margin_factor = Self::COLD_LOAD_DEVIATIONS * scan_work_ms.sqrt();
        let doubled_mean_root = (margin_factor * margin_factor + 4.0 * limit_ms).sqrt() - margin_factor;
        let max_mean_ms = doubled_mean_root.powi(2) / 4.0;
        let demanded_work_rate = self.demanded_work_rates.iter().sum::<f64>().max(self.sent_work_rate);
        let demand_ms = Self::TRAFFIC_SURGE
            * demanded_work_rate
            * self.mixers_per_searcher()
            * self.limits.overload_window_ms;
        // The work to expect if all scans were admitted. In a window, each mixer sends a searcher at most the
        // work of one scan and one more part.
        let expected_ms = demand_ms.min(self.mixer_count * (scan_work_ms + work_ms));
        let admitted_share = if is_hedge { Self::HEDGED_TRAFFIC_RATIO } else { scan.sampling_number };
        admitted_share * expected_ms < max_mean_ms
    }
}

/// Dispatching.
impl Scheduler {
    /// A dispatch is late after this share of the time that its scan has left until its target time, and
    /// earlier if its age reaches the latency for which a searcher is marked.
    const LATE_TARGET_SHARE: f64 = 0.5;

    fn dispatch(&mut self, index: ScanIndex, part_index: usize, searcher: SearcherIndex, turn: &mut Turn) {
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
        let in_flight =
            InFlightDispatch { searcher, table_type, call, sent_at: now, timeout_ms, on_idle_connection };
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
            self.retry_budget.spent_at.push_back(now);
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
            let warm_up_ms = self.limits.warm_up_ms;
            drop_front_while(&mut state.recent_work, |sent| sent.at < now - warm_up_ms);
            state.recent_work.push_back(SentWork { at: now, work_ms, table_type });
        }
    }
}

/// Admission control.
impl Scheduler {
    /// A part may spend this share of the time between its own work and its target time waiting at its
    /// searcher.
    const MAX_WAIT_SHARE: f64 = 0.6;

    /// Returns why a new scan must be rejected, or none if it is admitted. It is rejected if too few of its
    /// parts have a replica that can answer one more part in time.
    fn scan_rejection(&mut self, index: ScanIndex, now: f64) -> Option<RejectionReason> {
        self.set_parts_per_searcher(index);
        let scan = self.scans.get(&index)?;
        let mut admitted_weight = 0.0;
        let mut first_reason = None;
        for part in &scan.parts {
            match self.part_rejection(scan, part, now) {
                None => admitted_weight += part.weight,
                reason => first_reason = first_reason.or(reason),
            }
        }
        if admitted_weight + Self::WEIGHT_TOLERANCE < scan.required_weight { first_reason } else { None }
    }

    fn part_rejection(&self, scan: &Scan, part: &Part, now: f64) -> Option<RejectionReason> {
        if let Some(replica) = self.best_replica(scan, part, now) {
            return self.searcher_rejection(scan, replica.searcher, now);
        }
        let is_up = |searcher: SearcherIndex| self.searchers[searcher].is_up();
        if self.shard_map.holders(part.shard).any(is_up) {
            Some(RejectionReason::NoColdCapacity)
        } else {
            Some(RejectionReason::NoSearcherUp)
        }
    }

    /// Why a searcher cannot answer one more part of a scan in time, or none if it can. With calls in flight,
    /// the reason is a part in flight that is too old, or the concurrency limit; without, it is a smoothed
    /// latency that is too high.
    ///
    /// A searcher that was sent nothing for the retry interval gets the part in any case: if all parts were
    /// rejected, its latency would never be renewed. The interval is such that all mixers together do this a
    /// few times in a slice.
    fn searcher_rejection(&self, scan: &Scan, searcher: SearcherIndex, now: f64) -> Option<RejectionReason> {
        let state = &self.searchers[searcher];
        let retry_interval_ms =
            SearcherMonitor::SLICE_MS * self.mixer_count / f64::from(SearcherMonitor::MIN_SLICE_PARTS);
        if now - state.last_sent_at >= retry_interval_ms {
            return None;
        }
        let left_ms = scan.target_at - now;
        let baseline_ms = self.baseline.latency_ms[scan.table_type];
        let work_ms = self.baseline.work_ms[scan.table_type].min(left_ms);
        // A part whose work takes most of the time that is left would be rejected for a small delay, even if
        // nothing is slow. Delays by up to this factor count as equal, and so are always allowed.
        let max_latency_ms =
            (work_ms + Self::MAX_WAIT_SHARE * (left_ms - work_ms)).max(Self::EQUAL_COST_FACTOR * work_ms);
        let calls = state.active_calls();
        if calls == 0 {
            // The latency was observed on parts of any table type. Whether the searcher is slow, which delays
            // all parts by the same ratio, or had a queue, which delays them by the same time, is not known.
            // The lower estimate is used, so that parts of one table type do not block those of another.
            let latency = SearcherMonitor::decayed_latency(&state.health, &self.baseline, state.zone, now);
            let expected_ms = (latency.ratio * baseline_ms).min(baseline_ms + latency.excess_ms);
            return (expected_ms > max_latency_ms).then_some(RejectionReason::Latency);
        }
        if baseline_ms + state.health.oldest_excess_ms > max_latency_ms {
            return Some(RejectionReason::OldestPart);
        }
        let limit = if self.customers.is_over_quota(scan.customer) {
            CustomerTraffic::OVER_QUOTA_LIMIT_SHARE * state.concurrency_limit
        } else {
            state.concurrency_limit
        };
        (f64::from(calls + 1) > limit).then_some(RejectionReason::ConcurrencyLimit)
    }
}
