//! All state of a mixer and every change to it: inputs in, effects out, no I/O. The reducer owns the scans,
//! their attempts, the links to searchers and the decision module. It carries out the decisions of that module
//! and makes none in its place.
//!
//! All times are by the service's [clock](crate::clock).

mod attempts;
mod clients;
mod drain;
mod effective_requests;
mod frames;
mod links;
mod lists;
mod rules;
mod state;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddrV4;

use pewterwharf::interface::{Action, DecisionModule, DispatchOutcome, Event, SearcherStatus, TableType};
use pewterwharf::logic::Mixer;
use pewterwharf::report::{MixerStatus, ObservedSearcher};
use pewterwharf_terms::MixerConfig;
use pewterwharf_terms::list::List;
use tracing::{debug, error, info, warn};

use crate::clock::UnixMs;
use crate::counters::{Counters, TableTypeCounters};
use crate::discovery;
use crate::http;
use crate::inputs::{ConnectionId, Effect, Input, LinkId, Phase, TimedInput, WatchNumber};
use effective_requests::EffectiveRequests;
use rules::Violation;
use state::{Attempt, AttemptId, Client, Link, Part, PartId, Scan, ScanId, ScheduledTimer, Searcher, Timer};

/// After a warning, further ones are logged at the debug level for this long.
const WARNING_INTERVAL_MS: f64 = 1000.0;
/// A new process waits this long for the watch's first list before it uses the cached list from before its
/// start. What discovery's agent holds counts as known to the mixer from its start on, also while the agent is
/// silent, so nothing should be sent by the cached list if discovery has a newer one. A restarted mixer has to be
/// ready within 6 s.
const CACHED_LIST_DELAY_MS: f64 = 4000.0;
/// Number of client connections above the limit that may be accepted while others are being closed.
const CLIENTS_IN_TRANSITION: usize = 8;
/// File descriptors for everything but clients, searchers and the watches' connections: eleven once started, one
/// for a second watch, and two for a watch that ends.
const FIXED_DESCRIPTORS: usize = 14;
/// The share of the file descriptors that is left to the connections of watches, and the fewest that are.
const WATCH_DESCRIPTORS_DIVISOR: usize = 8;
const MIN_WATCH_DESCRIPTORS: usize = 6;

/// The list in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListStatus {
    pub index: u64,
    pub ready_searchers: u32,
}

/// The number of file descriptors that clients and searchers together may take, if the process may open `sockets`.
fn connection_descriptors(sockets: usize) -> usize {
    let watches =
        (sockets / WATCH_DESCRIPTORS_DIVISOR).clamp(MIN_WATCH_DESCRIPTORS, discovery::MAX_CONNECTIONS);
    sockets.saturating_sub(FIXED_DESCRIPTORS + watches + CLIENTS_IN_TRANSITION)
}

/// What the decision module has counted in the last seconds.
#[derive(Clone, Copy, Debug)]
pub struct RecentUsage<'a> {
    /// Scans of each customer, in the order of [`Reducer::customer_names`].
    pub scans_by_customer: &'a [usize],
    pub lost_idle_connections: bool,
}

/// A mixer's state. See the documentation of this module.
pub struct Reducer {
    module: Mixer,
    config: MixerConfig,
    phase: Phase,
    max_clients: usize,
    max_links: usize,
    clients: BTreeMap<ConnectionId, Client>,
    scans: BTreeMap<ScanId, Scan>,
    open_request_ids: HashSet<String>,
    /// Requests of table types that may not simply be repeated, whose clients have left.
    effective_requests: EffectiveRequests,
    parts: HashMap<PartId, Part>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// By the address under which the decision module knows them.
    searchers: BTreeMap<SocketAddrV4, Searcher>,
    /// The keys of `searchers`.
    keys_by_name: HashMap<String, SocketAddrV4>,
    links: BTreeMap<LinkId, Link>,
    list_index: u64,
    /// The list held before the start, until the watch sends one or has sent none for long.
    cached_list: Option<List>,
    /// The watch whose lists are used.
    active_watch: WatchNumber,
    newest_watch: WatchNumber,
    /// The address of the newest watch.
    discovery: Option<SocketAddrV4>,
    timers: BTreeSet<ScheduledTimer>,
    last_id: u64,
    scan_number: u32,
    warns_again_at: UnixMs,
    /// No client waits to be accepted, and none can connect any more.
    listener_closed: bool,
    /// Events that the decision module has not handled yet.
    events: Vec<Event>,
    effects: Vec<Effect>,
    counters: Counters,
}

impl Reducer {
    /// `sockets`: the limit on open file descriptors. Clients and searchers get half each of what is left of
    /// it.
    pub fn new(config: MixerConfig, seed: u64, sockets: usize) -> Self {
        let max_connections = connection_descriptors(sockets) / 2;
        let mut config = config;
        for table_type in &mut config.table_types {
            // The protocol does not state how a second step is sent, so none is started.
            table_type.has_second_step = false;
        }
        let names = config.table_type_names.iter().cloned();
        let by_type = names.map(|name| TableTypeCounters { name, ..TableTypeCounters::default() }).collect();
        Self {
            module: config.open(seed),
            config,
            phase: Phase::Starting,
            max_clients: max_connections,
            max_links: max_connections,
            clients: BTreeMap::new(),
            scans: BTreeMap::new(),
            open_request_ids: HashSet::new(),
            effective_requests: EffectiveRequests::new(),
            parts: HashMap::new(),
            attempts: BTreeMap::new(),
            searchers: BTreeMap::new(),
            keys_by_name: HashMap::new(),
            links: BTreeMap::new(),
            list_index: 0,
            cached_list: None,
            active_watch: 0,
            newest_watch: 0,
            discovery: None,
            timers: BTreeSet::new(),
            last_id: 0,
            scan_number: 0,
            warns_again_at: 0.0,
            listener_closed: false,
            events: Vec::new(),
            effects: Vec::new(),
            counters: Counters { by_type, ..Counters::default() },
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The share of the slices for which the decision module has a usable searcher.
    pub fn usable_slice_share(&self) -> f64 {
        self.module.usable_share()
    }

    /// What the decision module believes of the searchers, and why it rejected scans.
    pub fn module_status(&self) -> MixerStatus {
        self.module.status()
    }

    /// What the decision module has observed of each searcher itself.
    pub fn observed_searchers(&self) -> impl Iterator<Item = ObservedSearcher> {
        self.module.observed_searchers()
    }

    pub fn recent_usage(&self) -> RecentUsage<'_> {
        RecentUsage {
            scans_by_customer: self.module.recent_scans_by_customer(),
            lost_idle_connections: self.module.idle_connections_lost(),
        }
    }

    pub fn list_status(&self) -> ListStatus {
        let ready = self.searchers.values().filter(|s| s.status == SearcherStatus::Ready).count();
        ListStatus { index: self.list_index, ready_searchers: ready as u32 }
    }

    pub fn customer_names(&self) -> &[String] {
        &self.config.customer_names
    }

    pub fn table_types(&self) -> &[TableType] {
        &self.config.table_types
    }

    /// The names of the table types, in the same order.
    pub fn type_names(&self) -> &[String] {
        &self.config.table_type_names
    }

    /// When [`Reducer::step`] has to be called next, if nothing happens before.
    pub fn next_timer_at(&self) -> Option<UnixMs> {
        self.timers.first().map(|scheduled| scheduled.at())
    }

    /// The number of client connections that may be open at a time: a few more than are kept, as idle ones
    /// are closed for others.
    pub fn max_client_connections(&self) -> usize {
        self.max_clients + CLIENTS_IN_TRANSITION
    }

    /// The counters, with what is open now.
    pub fn counters(&self) -> Counters {
        let status = self.module.status();
        let [door_nobody_up, door_cold, door_cost, door_old_part, door_limit] = status.rejections_by_reason();
        let mut by_type = self.counters.by_type.clone();
        by_type.iter_mut().zip(status.rejected).for_each(|(counts, rejected)| counts.rejected = rejected);
        Counters {
            by_type,
            door_nobody_up,
            door_cold,
            door_cost,
            door_old_part,
            door_limit,
            scans_open: self.scans.len() as u64,
            clients_open: self.clients.len() as u64,
            links_open: self.links.len() as u64,
            ..self.counters.clone()
        }
    }

    /// Sets the address of the first watch, which has the number 0.
    pub fn set_discovery(&mut self, address: SocketAddrV4) {
        self.discovery = Some(address);
    }

    /// The sizes of all collections, for tests that nothing grows over time.
    pub fn sizes(&self) -> [(&'static str, usize); 10] {
        [
            ("clients", self.clients.len()),
            ("scans", self.scans.len()),
            ("asked", self.open_request_ids.len()),
            ("effective", self.effective_requests.len()),
            ("parts", self.parts.len()),
            ("attempts", self.attempts.len()),
            ("searchers", self.searchers.len()),
            ("names", self.keys_by_name.len()),
            ("links", self.links.len()),
            ("due", self.timers.len()),
        ]
    }

    /// Sets the list held before the start. It is applied once the watch has sent the changes since, or
    /// nothing for a while.
    pub fn set_cached_list(&mut self, now: UnixMs, list: List) {
        self.cached_list = Some(list);
        self.add_timer(now + CACHED_LIST_DELAY_MS, Timer::CachedList);
    }

    /// Applies inputs, and fires the timers that are due. Returns the effects to carry out.
    ///
    /// Lists are applied first, as a searcher's drain counts from the time it was reported. Disconnected
    /// clients and closed links are next: nothing is sent for such a client or on such a link, even if the
    /// input that reports it comes after others.
    pub fn step(&mut self, now: UnixMs, mut inputs: Vec<TimedInput>) -> Vec<Effect> {
        inputs.sort_by_key(|timed| self.rank(&timed.input)); // stable: inputs of one rank keep their order
        for TimedInput { at, input } in inputs {
            // Frames that wait for a link are sent now, even if the link came up long ago.
            let at = if matches!(input, Input::LinkUp { .. }) { now } else { at.min(now) };
            self.apply_input(at, input);
        }
        let mut overdue_scans = Vec::new();
        while self.timers.first().is_some_and(|scheduled| scheduled.at() <= now)
            && let Some(scheduled) = self.timers.pop_first()
        {
            match scheduled.timer {
                Timer::ScanDeadline(scan) => overdue_scans.push(scan),
                timer => self.fire_timer(now, timer),
            }
        }
        self.run_module(now);
        self.abandon_overdue(now, overdue_scans);
        self.run_module(now);
        self.continue_drain(now);
        std::mem::take(&mut self.effects)
    }

    /// Abandons scans that are still open after their deadline. The decision module ends scans before that;
    /// after a pause of the machine it has done so earlier in this step.
    fn abandon_overdue(&mut self, now: UnixMs, scans: Vec<u64>) {
        let still_open: Vec<u64> = scans.into_iter().filter(|scan| self.scans.contains_key(scan)).collect();
        for scan in still_open {
            self.warn(now, "a scan was still open at its deadline");
            self.counters.scans_overdue += 1;
            self.counters.scans_abandoned += 1;
            self.count_for_type(scan, |counts| &mut counts.abandoned);
            self.events.push(Event::ClientGone { scan });
            self.answer_scan(now, scan, 504, None, b"the time is up\n");
        }
    }

    /// The order in which the inputs of one step are applied.
    fn rank(&self, input: &Input) -> u8 {
        match input {
            Input::List { .. } => 0,
            // Frames that arrived on a link before its end keep their place before it.
            Input::Frames { .. } | Input::LinkClosed { .. } => 1,
            // A client that connected in this step has to be known before its end.
            Input::ClientDisconnected { connection_id } if self.clients.contains_key(connection_id) => 1,
            _ => 2,
        }
    }

    /// Logs a warning. Further warnings within [`WARNING_INTERVAL_MS`] are logged at the debug level, so that
    /// clients, searchers or discovery can't flood the log.
    fn warn(&mut self, now: UnixMs, line: &str) {
        if now < self.warns_again_at {
            return debug!("{line}");
        }
        self.warns_again_at = now + WARNING_INTERVAL_MS;
        warn!("{line}");
    }

    fn enter_phase(&mut self, phase: Phase) {
        self.phase = phase;
        let queries = self.scans.len();
        let clients = self.clients.len();
        match phase {
            Phase::Starting => {}
            Phase::Ready => info!("ready"),
            Phase::Draining { listening: true, .. } => {
                info!("draining: {queries} queries, {clients} clients")
            }
            Phase::Draining { .. } => info!("not listening: {queries} queries, {clients} clients"),
            Phase::Closed => info!("closed: {queries} queries, {clients} clients"),
        }
    }

    /// Counts and logs what must never happen.
    fn report_violation(&mut self, violation: Violation, what: &str) {
        let count = match violation {
            Violation::Send => &mut self.counters.violations_send,
            Violation::Answer => &mut self.counters.violations_answer,
            Violation::Deadline => &mut self.counters.violations_deadline,
            Violation::Unanswered => &mut self.counters.violations_unanswered,
        };
        *count += 1;
        error!("rule violated, {violation}: {what}");
    }

    /// Reports the clients that still await an answer when the process ends.
    fn report_unanswered(&mut self) {
        let unanswered: Vec<u64> = self
            .clients
            .iter()
            .filter(|(_, client)| client.awaits_answer)
            .map(|(connection_id, _)| *connection_id)
            .collect();
        for connection_id in unanswered {
            self.report_violation(
                Violation::Unanswered,
                &format!("client {connection_id} as the process ends"),
            );
        }
    }

    fn add_timer(&mut self, at: UnixMs, timer: Timer) {
        self.timers.insert(ScheduledTimer::new(at, timer));
    }

    /// Removes a timer that was added for this time, unless it has fired. Scans, attempts and connections may end
    /// far faster than their timers become due.
    fn remove_timer(&mut self, at: UnixMs, timer: Timer) {
        self.timers.remove(&ScheduledTimer::new(at, timer));
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn apply_input(&mut self, now: UnixMs, input: Input) {
        match input {
            Input::ClientConnected { connection_id } => self.client_connected(now, connection_id),
            Input::Request { connection_id, kind, close } => {
                self.receive_request(now, connection_id, kind, close)
            }
            Input::RequestStarted { connection_id } => self.request_started(now, connection_id),
            Input::MoreDataBuffered { connection_id } => self.more_data_buffered(connection_id),
            Input::ClientDisconnected { connection_id } => self.client_disconnected(now, connection_id),
            Input::AnswerDelayed { connection_id } => self.answer_delayed(connection_id),
            Input::AnswerWritten { connection_id } => self.answer_written(now, connection_id),
            Input::DataAfterLastAnswer { connection_id } => self.data_after_last_answer(connection_id),
            Input::ListenerClosed => self.listener_closed = true,
            Input::AcceptFailed { out_of_descriptors } => {
                self.counters.accepts_failed += 1;
                if out_of_descriptors {
                    self.make_room(now);
                }
            }
            Input::LinkUp { link } => self.link_up(now, link),
            Input::LinkBlocked { link, made_progress } => self.link_blocked(now, link, made_progress),
            Input::LinkWritable { link } => self.link_writable(link),
            Input::LinkClosed { link, frames_written } => self.link_closed(now, link, frames_written),
            Input::Frames { link, frames, error } => self.receive_frames(now, link, frames, error),
            Input::List { watch, list } => self.receive_list(now, watch, list),
            Input::ConfigReloaded(change) => self.reload_config(now, change),
            Input::WatchLost => self.counters.watches_lost += 1,
            Input::ProcessPaused => self.counters.pauses += 1,
            Input::FleetEvents(events) => self.events.extend(events),
            Input::Stop => self.stop(now),
            Input::PrintCounters => {
                let text = self.counters().to_string();
                self.effects.push(Effect::PrintCounters(text));
            }
        }
    }

    fn fire_timer(&mut self, now: UnixMs, timer: Timer) {
        match timer {
            Timer::ModuleWakeup => self.events.push(Event::Wake),
            Timer::AttemptTimeout(attempt_id) => self.time_out(now, attempt_id),
            Timer::ProbeTimeout { link, number } => self.time_out_probe(now, link, number),
            Timer::LinkIdle(link) => self.close_if_idle(now, link),
            Timer::LinkStuck(link) => self.close_if_stuck(now, link),
            Timer::LinkWriteRetry(link) => self.retry_blocked(link),
            Timer::ClientLinger(connection_id) => self.close_finished_client(now, connection_id),
            Timer::ClientIdle(connection_id) => self.check_idle_client(now, connection_id),
            Timer::CachedList => self.use_cached_list(now),
            // Every step handles overdue scans, runs the decision module and continues a drain.
            Timer::ScanDeadline(_) | Timer::DrainStep | Timer::UnsentAttempts => {}
        }
    }

    /// Passes the events to the decision module and performs the actions that it returns, until those cause no
    /// new events.
    fn run_module(&mut self, now: UnixMs) {
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            let mut dispatched: BTreeMap<SocketAddrV4, Vec<AttemptId>> = BTreeMap::new();
            for action in self.module.handle_events(now, events) {
                self.perform_action(now, action, &mut dispatched);
            }
            let parts_per_call = self.config.layout.parts_per_call.max(1) as usize;
            for (searcher, attempt_ids) in dispatched {
                for call in attempt_ids.chunks(parts_per_call) {
                    self.queue_call(now, searcher, call);
                }
            }
        }
    }

    /// Performs an action of the decision module. Dispatches are collected by searcher, as several may be
    /// sent in one call.
    fn perform_action(
        &mut self,
        now: UnixMs,
        action: Action,
        dispatched: &mut BTreeMap<SocketAddrV4, Vec<AttemptId>>,
    ) {
        match action {
            Action::Dispatch { part, searcher, timeout_ms } => {
                if let Some(attempt_id) = self.dispatch(now, part, searcher, timeout_ms) {
                    dispatched.entry(searcher).or_default().push(attempt_id);
                }
            }
            Action::Cancel { part, dispatch } => {
                self.cancel_attempt(now, AttemptId { part, number: dispatch }, DispatchOutcome::Cancelled);
            }
            Action::Complete { scan, whole } => self.complete_scan(now, scan, whole),
            Action::Throttle { scan, retry_after_ms } => {
                self.counters.scans_throttled += u64::from(self.scans.contains_key(&scan));
                self.count_for_type(scan, |counts| &mut counts.throttled);
                self.answer_scan(now, scan, 503, retry_after_ms, b"throttled\n");
            }
            Action::Abandon { scan } => {
                self.counters.scans_abandoned += u64::from(self.scans.contains_key(&scan));
                self.count_for_type(scan, |counts| &mut counts.abandoned);
                self.answer_scan(now, scan, 504, None, b"abandoned\n");
            }
            Action::Probe { searcher } => self.probe(now, searcher),
            Action::CloseIdleConnections { searcher } => self.close_idle_links(searcher),
            Action::WakeAt { at } => self.add_timer(at, Timer::ModuleWakeup),
            Action::Subscribe => {} // a watch is always open
            Action::Log { line } => info!("{line}"),
        }
    }

    fn complete_scan(&mut self, now: UnixMs, scan: ScanId, whole: bool) {
        let Some(query) = self.scans.get(&scan) else { return };
        self.counters.scans_completed += 1;
        self.counters.scans_whole += u64::from(whole);
        if let Some(counts) = self.counters.by_type.get_mut(query.table_type) {
            counts.completed += 1;
        }
        let parts = query.parts.iter().filter_map(|id| self.parts.get(id));
        let values = parts.filter_map(|p| p.value.as_deref().map(|v| (p.shard, v)));
        let body = http::encode_rows(whole, values);
        self.answer_scan(now, scan, 200, None, &body);
    }
}
