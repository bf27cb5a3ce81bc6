//! All state of a mixer and every change to it: inputs in, effects out, no I/O. It owns the scans, their
//! dispatches, the links to searchers and the decision module, and decides nothing that the module decides.

mod attempts;
mod clients;
mod drain;
mod frames;
mod held;
mod links;
mod lists;
mod rules;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddrV4;

use pewterwharf::interface::{Action, DecisionModule, DispatchOutcome, Event, SearcherStatus};
use pewterwharf::logic::Mixer;
use pewterwharf::report::{MixerStatus, ObservedSearcher};
use pewterwharf_terms::MixerConfig;
use pewterwharf_terms::list::List;
use tracing::{debug, error, info, warn};

use crate::counters::{ByType, Counters};
use crate::http;
use crate::inputs::{Effect, Input, Phase};
use held::{Attempt, AttemptId, Client, Due, Link, Part, Scan, Searcher};
use rules::Violation;

/// After a warning, further ones are told at the debug level for so long.
const QUIET_MS: f64 = 1000.0;
/// So long a new process waits for the watch's first word before it goes by the list that it held: what the agent has counts as
/// told from the first moment, and an agent that is up answers at once.
const HOLD_MS: f64 = 1500.0;
/// Connections of clients that may come while others are on their way out.
const CHANGING: usize = 8;
/// Descriptors for everything but clients and searchers: twelve once started, three more for each of two watches while they
/// are asked anew, and two of one that ends.
const OTHERS: usize = 20;

pub struct Reducer {
    module: Mixer,
    terms: MixerConfig,
    phase: Phase,
    clients_cap: usize,
    links_cap: usize,
    clients: BTreeMap<u64, Client>,
    scans: BTreeMap<u64, Scan>,
    /// The ids of requests that are open.
    asked: HashSet<String>,
    parts: HashMap<u64, Part>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// By the address that the module knows them by.
    srvs: BTreeMap<SocketAddrV4, Searcher>,
    names: HashMap<String, SocketAddrV4>,
    links: BTreeMap<u64, Link>,
    list_index: u64,
    /// The list as held before the start, until the watch speaks or has been silent for long.
    cached: Option<List>,
    /// The watch whose lists are gone by, and the newest.
    watch: u64,
    watch_wanted: u64,
    /// Where the newest watch leads.
    discovery: Option<SocketAddrV4>,
    due: BTreeSet<(u64, Due)>,
    ids: u64,
    scan_number: u32,
    quiet_until: f64,
    /// Nobody waits to be accepted, and nobody comes any more.
    deaf: bool,
    events: Vec<Event>,
    effects: Vec<Effect>,
    counters: Counters,
}

impl Reducer {
    pub fn new(terms: MixerConfig, seed: u64, sockets: usize) -> Self {
        let half = sockets.saturating_sub(OTHERS + CHANGING) / 2;
        let mut terms = terms;
        for kind in &mut terms.table_types {
            // How a second step travels on sockets is not stated, so none is opened.
            kind.has_second_step = false;
        }
        let names = terms.table_type_names.iter().cloned();
        let by_type = names.map(|name| ByType { name, ..ByType::default() }).collect();
        Self {
            module: terms.open(seed),
            terms,
            phase: Phase::Starting,
            clients_cap: half,
            links_cap: half,
            clients: BTreeMap::new(),
            scans: BTreeMap::new(),
            asked: HashSet::new(),
            parts: HashMap::new(),
            attempts: BTreeMap::new(),
            srvs: BTreeMap::new(),
            names: HashMap::new(),
            links: BTreeMap::new(),
            list_index: 0,
            cached: None,
            watch: 0,
            watch_wanted: 0,
            discovery: None,
            due: BTreeSet::new(),
            ids: 0,
            scan_number: 0,
            quiet_until: 0.0,
            deaf: false,
            events: Vec::new(),
            effects: Vec::new(),
            counters: Counters { by_type, ..Counters::default() },
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Share of the slices for which the decision module has a usable searcher.
    pub fn usable(&self) -> f64 {
        self.module.usable_share()
    }

    /// What the decision module believes, and why it refused.
    pub fn beliefs(&self) -> MixerStatus {
        self.module.status()
    }

    /// What the decision module knows of each searcher by itself.
    pub fn searchers(&self) -> impl Iterator<Item = ObservedSearcher> {
        self.module.observed_searchers()
    }

    /// Scans of each customer in the last seconds, and whether connections were lost while idle.
    pub fn used(&self) -> (&[usize], bool) {
        (self.module.recent_scans_by_customer(), self.module.idle_connections_lost())
    }

    /// The version of the list that is gone by, and the searchers in it that are up.
    pub fn list(&self) -> (u64, u32) {
        let ready = self.srvs.values().filter(|s| s.life == SearcherStatus::Ready).count();
        (self.list_index, ready as u32)
    }

    /// The names of customers, in the order of their counts.
    pub fn customer_names(&self) -> &[String] {
        &self.terms.customer_names
    }

    /// Of each table type, the weight of parts that makes a whole answer, and the least for any.
    pub fn needs(&self) -> impl Iterator<Item = (f64, f64)> {
        self.terms.table_types.iter().map(|t| (t.required_weight, t.minimum_weight))
    }

    /// The names of table types, in the same order.
    pub fn type_names(&self) -> &[String] {
        &self.terms.table_type_names
    }

    /// When it wants to be called at the latest.
    pub fn next_timer_at(&self) -> Option<f64> {
        self.due.first().map(|d| f64::from_bits(d.0))
    }

    /// Connections of clients that there can be: a few more than are kept, as the idle leave for others.
    pub fn client_places(&self) -> usize {
        self.clients_cap + CHANGING
    }

    /// The counts, with what is open now.
    pub fn counters(&self) -> Counters {
        let beliefs = self.module.status();
        let [door_nobody_up, door_cold, door_cost, door_old_part, door_limit] =
            beliefs.rejections_by_reason();
        let mut by_type = self.counters.by_type.clone();
        by_type.iter_mut().zip(beliefs.rejected).for_each(|(counts, door)| counts.door = door);
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

    /// Where the first watch leads; it has the number 0.
    pub fn set_discovery(&mut self, at: SocketAddrV4) {
        self.discovery = Some(at);
    }

    /// How much of everything is held, for those who watch that nothing grows with the day.
    pub fn sizes(&self) -> [(&'static str, usize); 9] {
        [
            ("clients", self.clients.len()),
            ("scans", self.scans.len()),
            ("asked", self.asked.len()),
            ("parts", self.parts.len()),
            ("attempts", self.attempts.len()),
            ("searchers", self.srvs.len()),
            ("names", self.names.len()),
            ("links", self.links.len()),
            ("due", self.due.len()),
        ]
    }

    /// The list as it was held before the start: it counts once the watch has said what changed since, or is silent.
    pub fn set_cached_list(&mut self, now: f64, list: List) {
        self.cached = Some(list);
        self.add_due(now + HOLD_MS, Due::Cached);
    }

    /// Takes in what has happened, each with its time, and says what to do about it. Changes to the list go
    /// before all else, as drains count from their telling; then what ends: nothing goes out for a client, or on a link, whose
    /// end has come but stands behind others.
    pub fn step(&mut self, now: f64, inputs: Vec<(f64, Input)>) -> Vec<Effect> {
        let mut ranked: Vec<(u8, f64, Input)> =
            inputs.into_iter().map(|(at, input)| (self.rank(&input), at, input)).collect();
        ranked.sort_by_key(|i| i.0); // stable: within a rank the order of their coming
        for (_, at, input) in ranked {
            // What waits for a link goes out now, however long ago the link came up.
            let at = if matches!(input, Input::LinkUp { .. }) { now } else { at.min(now) };
            self.take(at, input);
        }
        let mut overdue = Vec::new();
        while self.due.first().is_some_and(|d| f64::from_bits(d.0) <= now)
            && let Some((_, due)) = self.due.pop_first()
        {
            match due {
                Due::Overdue(scan) => overdue.push(scan),
                due => self.fall_due(now, due),
            }
        }
        self.turns(now);
        // The module ends its scans before their time; after a pause of the machine that is now.
        for scan in overdue.into_iter().filter(|scan| self.scans.contains_key(scan)).collect::<Vec<_>>() {
            self.warn(now, "a scan was still open at its time");
            self.counters.scans_overdue += 1;
            self.counters.scans_abandoned += 1;
            self.count_type(scan, |of| &mut of.abandoned);
            self.events.push(Event::ClientGone { scan });
            self.answer_scan(now, scan, 504, None, b"the time is up\n");
        }
        self.turns(now);
        self.end_drain(now);
        std::mem::take(&mut self.effects)
    }

    /// Which inputs of one step go first.
    fn rank(&self, input: &Input) -> u8 {
        match input {
            Input::List { .. } => 0,
            // What came on a link before its end goes before it.
            Input::Frames { .. } | Input::LinkClosed { .. } => 1,
            // One that came in this very step has to be known before its end.
            Input::ClientDisconnected { conn } if self.clients.contains_key(conn) => 1,
            _ => 2,
        }
    }

    /// Warns at most once in a while, so that a flood outside is none in the log.
    fn warn(&mut self, now: f64, line: &str) {
        if now < self.quiet_until {
            return debug!("{line}");
        }
        self.quiet_until = now + QUIET_MS;
        warn!("{line}");
    }

    /// Goes on to another phase of the program.
    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        let (queries, clients) = (self.scans.len(), self.clients.len());
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
    fn violated(&mut self, violation: Violation, what: &str) {
        let count = match violation {
            Violation::Send => &mut self.counters.violations_send,
            Violation::Answer => &mut self.counters.violations_answer,
            Violation::Deadline => &mut self.counters.violations_deadline,
            Violation::Unanswered => &mut self.counters.violations_unanswered,
        };
        *count += 1;
        error!("rule violated, {violation}: {what}");
    }

    /// What is still owed as the process ends.
    fn count_unanswered(&mut self) {
        let owed: Vec<u64> =
            self.clients.iter().filter(|(_, client)| client.awaits_answer).map(|(conn, _)| *conn).collect();
        for conn in owed {
            self.violated(Violation::Unanswered, &format!("client {conn} as the process ends"));
        }
    }

    fn add_due(&mut self, at: f64, due: Due) {
        self.due.insert((at.max(0.0).to_bits(), due));
    }

    fn id(&mut self) -> u64 {
        self.ids += 1;
        self.ids
    }

    fn take(&mut self, now: f64, input: Input) {
        match input {
            Input::ClientConnected { conn } => self.client_open(now, conn),
            Input::Request { conn, ask, close } => self.asked(now, conn, ask, close),
            Input::RequestStarted { conn } => self.begun(now, conn),
            Input::MoreDataBuffered { conn } => self.sent_behind(conn),
            Input::ClientDisconnected { conn } => self.client_end(now, conn),
            Input::AnswerDelayed { conn } => self.slow(conn),
            Input::AnswerWritten { conn } => self.said(now, conn),
            Input::DataAfterLastAnswer { conn } => self.sends(conn),
            Input::ListenerClosed => self.deaf = true,
            Input::AcceptFailed { out_of_descriptors } => {
                self.counters.accepts_failed += 1;
                if out_of_descriptors {
                    self.make_room(now);
                }
            }
            Input::LinkUp { link } => self.link_up(now, link),
            Input::LinkBlocked { link, made_progress } => self.link_blocked(now, link, made_progress),
            Input::LinkWritable { link } => self.link_has_room(link),
            Input::LinkClosed { link, frames_written: written } => self.link_end(now, link, written),
            Input::Frames { link, frames, error: bad } => {
                frames.into_iter().for_each(|frame| self.frame(now, link, frame));
                bad.into_iter().for_each(|why| self.bad_frame(now, link, &why));
            }
            Input::List { watch, list } => self.watched(now, watch, list),
            Input::ConfigReloaded(change) => self.reloaded(now, change),
            Input::WatchLost => self.counters.watches_lost += 1,
            Input::ProcessPaused => self.counters.pauses += 1,
            Input::FleetEvents(events) => self.events.extend(events),
            Input::Stop => self.stop(now),
            Input::PrintCounters => self.effects.push(Effect::PrintCounters(self.counters().to_string())),
        }
    }

    fn fall_due(&mut self, now: f64, due: Due) {
        match due {
            Due::Wake => self.events.push(Event::Wake),
            Due::TimedOut(attempt_id) => self.time_out(now, attempt_id),
            Due::ProbeTimedOut { link, number } => self.time_out_probe(now, link, number),
            Due::Idle(link) => self.close_idle(now, link),
            Due::Stuck(link) => self.close_stuck(now, link),
            Due::Retry(link) => self.retry_blocked(link),
            Due::Linger(conn) => self.linger(now, conn),
            Due::Quiet(conn) => self.quiet(now, conn),
            Due::Cached => self.use_cached_list(now),
            Due::Overdue(_) | Due::Drained | Due::Unsent => {}
        }
    }

    /// Hands the module what has happened until nothing new comes of what it does.
    fn turns(&mut self, now: f64) {
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            let mut calls: BTreeMap<SocketAddrV4, Vec<AttemptId>> = BTreeMap::new();
            for action in self.module.handle_events(now, events) {
                self.act(now, action, &mut calls);
            }
            for (srv, attempt_ids) in calls {
                for call in attempt_ids.chunks(self.terms.layout.parts_per_call.max(1) as usize) {
                    self.send(now, srv, call);
                }
            }
        }
    }

    fn act(&mut self, now: f64, action: Action, calls: &mut BTreeMap<SocketAddrV4, Vec<AttemptId>>) {
        match action {
            Action::Dispatch { part, searcher, timeout_ms } => {
                if let Some(attempt_id) = self.dispatch(now, part, searcher, timeout_ms) {
                    calls.entry(searcher).or_default().push(attempt_id);
                }
            }
            Action::Cancel { part, dispatch } => {
                self.give_up(now, (part, dispatch), DispatchOutcome::Cancelled)
            }
            Action::Complete { scan, whole } => {
                let Some(held) = self.scans.get(&scan) else { return };
                self.counters.scans_completed += 1;
                self.counters.scans_whole += u64::from(whole);
                if let Some(counts) = self.counters.by_type.get_mut(held.table_type) {
                    counts.completed += 1;
                }
                let parts = held.parts.iter().filter_map(|id| self.parts.get(id));
                let values = parts.filter_map(|p| p.value.as_deref().map(|v| (p.shard, v)));
                let body = http::encode_rows(whole, values);
                self.answer_scan(now, scan, 200, None, &body);
            }
            Action::Throttle { scan, retry_after_ms } => {
                self.counters.scans_throttled += u64::from(self.scans.contains_key(&scan));
                self.count_type(scan, |of| &mut of.throttled);
                self.answer_scan(now, scan, 503, retry_after_ms, b"throttled\n");
            }
            Action::Abandon { scan } => {
                self.counters.scans_abandoned += u64::from(self.scans.contains_key(&scan));
                self.count_type(scan, |of| &mut of.abandoned);
                self.answer_scan(now, scan, 504, None, b"abandoned\n");
            }
            Action::Probe { searcher } => self.probe(now, searcher),
            Action::CloseIdleConnections { searcher } => self.hang_up_links(searcher),
            Action::WakeAt { at } => self.add_due(at, Due::Wake),
            Action::Subscribe => {} // the watch is always held
            Action::Log { line } => info!("{line}"),
        }
    }
}
