//! The program: opens what it needs, runs the reducer on what comes in, carries out its effects, and closes.

mod writes;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use crossbeam_channel::{Receiver, bounded};
use pewterwharf_settings::Settings;
use pewterwharf_terms::StartupConfig;
use signal_hook::iterator::Signals;
use tracing::{debug, info, warn};

use crate::announcing::Announcing;
use crate::buffer::MemoryBudget;
use crate::client::Clients;
use crate::clock::Clock;
use crate::copies::Copies;
use crate::discovery::{self, Watch, Watches};
use crate::inputs::{Effect, Input, Phase};
use crate::line::{Line, Orders};
use crate::link::Link;
use crate::listener::{listen, local};
use crate::log;
use crate::messages::{Message, MessageSender, STACK, spawn};
use crate::outbox::Outbox;
use crate::pauses::PauseDetector;
use crate::reducer::Reducer;
use crate::searcher::{self, Searchers};
use crate::signals::{Hearing, Reloaders};

/// Inputs that may wait to be heard: whoever sends more, faster than they are taken, waits. The one thread that
/// takes them sends none.
const WAITING: usize = 128;
/// Of the memory stated, what the buffers of clients may grow to in sum, those of searchers, and frames that they have taken in part.
const BUFFERS: usize = 8;
/// Inputs that are taken together in one turn at most, so that no burst holds up what is due.
const TOGETHER: usize = 256;

/// The threads that read stood still as well: before anything is sent by the time it is now, what they have to tell is heard for
/// so long.
const CATCH_UP: Duration = Duration::from_millis(10);

/// A mixer. Its phase is the reducer's: [`Phase::Starting`] until a list is held, `Ready`, `Draining`, `Closed`.
pub struct Service {
    clock: Clock,
    reducer: Reducer,
    received: Receiver<Message>,
    messages: MessageSender,
    orders: Orders,
    clients: HashMap<u64, Line>,
    links: HashMap<u64, Link>,
    searchers: searcher::Orders,
    watches: Arc<Watches>,
    /// What the service itself has met and the reducer is still to hear.
    met: Vec<(f64, Input)>,
    outbox: Outbox,
    /// What frames that searchers have taken in part may hold in sum.
    rests: MemoryBudget,
    pauses: PauseDetector,
    /// The process stood still since inputs were last heard.
    stood_still: bool,
    announcing: Announcing,
    copies: Copies,
}

/// Prints the counters of the reducer, and others.
fn print_counters(counters: &str, others: &str) {
    log::print(&format!("{counters}log_texts_dropped {}\n{others}", log::dropped()));
}

impl Service {
    /// Opens what it needs; the signals it goes by must be caught before, so that none ends it meanwhile.
    pub fn open(
        mut start: StartupConfig,
        settings: &Settings,
        mut signals: Signals,
        again: Reloaders,
    ) -> Result<Self> {
        let clock = Clock::start();
        let (to, received) = bounded(WAITING);
        let messages = MessageSender { to, clock };
        let connect = Duration::from_secs_f64(start.config.connect_timeout_ms.max(1.0) / 1000.0);
        if start.config.table_types.iter().any(|t| t.has_second_step) {
            warn!("table types with a second step are answered from the first: the protocol states no other");
        }
        let copies = Copies::open(settings, &mut start, &messages)?;
        let mut reducer = Reducer::new(start.config.clone(), start.seed, start.sockets);
        // Without a list of ours the first that the watch tells is whole; else it is asked for.
        let mut index = Some(0);
        match discovery::parse_list(&start.cached_list) {
            Ok(list) if list.entries.is_empty() => index = Some(list.index),
            Ok(list) => {
                index = None;
                reducer.set_cached_list(clock.now(), list);
            }
            Err(error) if !start.cached_list.is_null() => warn!("known can't be read: {error:#}"),
            Err(_) => {}
        }
        reducer.set_discovery(start.discovery);
        // Before the signals are heard: a fault in it is told at the start, like any other.
        let announcing =
            Announcing::open(settings, reducer.type_names(), start.seed, &messages, copies.way())?;
        let watches = Arc::new(Watches::default());
        let first = Watch { number: 0, at: start.discovery, index };
        let (told, counted) = (messages.clone(), watches.clone());
        spawn("discovery", STACK, move || first.run(&counted, &told))?;
        let (listener, missed) = listen(start.listen.into(), &mut signals)?;
        let (at, places) = (local(&listener)?, reducer.client_places());
        let (ours, room) = (
            MemoryBudget::new(start.memory_bytes / BUFFERS),
            MemoryBudget::new(start.memory_bytes / BUFFERS),
        );
        let clients =
            Clients::open(listener, places, ours, messages.clone()).context("connections of clients")?;
        let orders = clients.orders();
        spawn("clients", STACK, move || {
            if let Err(error) = clients.run() {
                tracing::error!("connections of clients: {error}");
            }
        })?;
        let (links, searchers) =
            Searchers::open(connect, room, messages.clone()).context("connections to searchers")?;
        spawn("searchers", STACK, move || {
            if let Err(error) = links.run() {
                tracing::error!("connections to searchers: {error}");
            }
        })?;
        info!("{} listens on {at}", start.name);
        let rests = MemoryBudget::new(start.memory_bytes / BUFFERS);
        let hearing = Hearing::new(signals, missed, start, again, messages.clone());
        spawn("signals", STACK, move || hearing.run())?;
        let (clients, links, met) = (HashMap::new(), HashMap::new(), Vec::new());
        Ok(Self {
            clock,
            reducer,
            received,
            messages,
            orders,
            clients,
            links,
            searchers,
            watches,
            met,
            outbox: Outbox::default(),
            rests,
            pauses: PauseDetector::new(clock.now()),
            stood_still: false,
            announcing,
            copies,
        })
    }

    /// Runs until it is asked to end and all is answered.
    pub fn run(mut self) -> Result<()> {
        while self.reducer.phase() != Phase::Closed {
            let (inputs, caught_up) = self.receive_all();
            let heard_at = self.clock.now();
            let effects = self.reducer.step(heard_at, inputs);
            effects.into_iter().for_each(|effect| self.carry_out(effect));
            let paused = self.pauses.check(self.clock.now(), 0.0);
            // Not twice in a row: a machine that takes so long over each step sends all the same.
            if paused && !caught_up {
                self.stood_still = true;
            } else {
                self.write_waiting();
            }
            let now = self.clock.now();
            self.announcing.report(now, &self.watches, &self.reducer);
            self.copies.look(now, &self.reducer);
        }
        let counts = self.announcing.counts() + &self.copies.counts();
        self.announcing.end();
        self.copies.leave();
        print_counters(&self.reducer.counters().to_string(), &counts);
        Ok(())
    }

    /// How long there is nothing to do, if nothing is told.
    fn rests_for(&self) -> Duration {
        if !self.met.is_empty() || !self.outbox.is_empty() || self.stood_still {
            return Duration::ZERO;
        }
        let report = Some(self.announcing.due()).filter(|at| at.is_finite());
        let look = Some(self.copies.due()).filter(|at| at.is_finite());
        let due = self.reducer.next_timer_at().into_iter().chain(report).chain(look).reduce(f64::min);
        due.map_or(Duration::MAX, |at| self.clock.until(at))
    }

    /// Waits until something is told or due, and takes all that was; whether what came while the process stood still is among it.
    fn receive_all(&mut self) -> (Vec<(f64, Input)>, bool) {
        let wait = self.rests_for();
        let mut inputs = std::mem::take(&mut self.met);
        if let Ok(message) = self.received.recv_timeout(wait) {
            self.receive(message, &mut inputs);
        }
        let paused = self.pauses.check(self.clock.now(), wait.as_secs_f64() * 1000.0);
        while inputs.len() < TOGETHER
            && let Ok(message) = self.received.try_recv()
        {
            self.receive(message, &mut inputs);
        }
        // Whoever tells of a pause does so before all that it meets after it.
        let catches_up = std::mem::take(&mut self.stood_still) || paused;
        if catches_up {
            self.catch_up(&mut inputs);
        }
        (inputs, catches_up)
    }

    /// Hears what was told while the process stood still.
    fn catch_up(&mut self, inputs: &mut Vec<(f64, Input)>) {
        debug!("the process stood still: what came meanwhile is heard first");
        inputs.push((self.clock.now(), Input::ProcessPaused));
        let until = Instant::now() + CATCH_UP;
        while let Ok(message) = self.received.recv_deadline(until) {
            self.receive(message, inputs);
        }
        self.stood_still = false; // the thread of clients has told of the same pause, or of one that is over as well
    }

    fn receive(&mut self, message: Message, inputs: &mut Vec<(f64, Input)>) {
        match message {
            Message::Client(at, conn, line) => {
                self.clients.insert(conn, line);
                inputs.push((at, Input::ClientConnected { conn }));
            }
            Message::Link(at, link, stream) => {
                if let Some(held) = self.links.get_mut(&link) {
                    held.up(stream);
                    inputs.push((at, Input::LinkUp { link }));
                }
            }
            Message::Input(_, Input::ProcessPaused) => self.stood_still = true,
            Message::Input(at, Input::LinkWritable { link }) => {
                self.outbox.add(link);
                inputs.push((at, Input::LinkWritable { link }));
            }
            Message::Input(at, Input::LinkClosed { link, .. }) => {
                let written = self.links.remove(&link).map_or(0, |held| held.written);
                inputs.push((at, Input::LinkClosed { link, frames_written: written }));
            }
            // What leads clients here goes first.
            Message::Input(at, Input::Stop) => {
                self.copies.ends();
                if self.announcing.stop() {
                    inputs.push((at, Input::Stop));
                }
            }
            Message::RoutesLeft => {
                if self.announcing.left() {
                    inputs.push((self.clock.now(), Input::Stop));
                }
            }
            Message::Beliefs(to) => {
                let _ = to.send(self.reducer.beliefs().to_string()); // or nobody waits any more
            }
            Message::Settings(read) => {
                let read = read.and_then(|settings| {
                    self.copies.change(&settings);
                    self.announcing.change(&settings, &self.messages)
                });
                if let Err(why) = read {
                    warn!("the operator's file changes nothing: {why}");
                }
            }
            Message::Input(at, input) => inputs.push((at, input)),
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { conn, bytes, last } => {
                if let Some(line) = self.clients.get_mut(&conn)
                    && !line.say(bytes, last)
                {
                    self.met.push((self.clock.now(), Input::AnswerDelayed { conn }));
                }
            }
            Effect::CloseClient { conn } => {
                if let Some(line) = self.clients.get(&conn) {
                    line.hang_up();
                }
            }
            Effect::ReleaseClient { conn } => drop(self.clients.remove(&conn)),
            Effect::Connect { link, addr } => {
                if self.searchers.open(link, addr) {
                    self.links.insert(link, Link::default());
                } else {
                    self.met.push((self.clock.now(), Input::LinkClosed { link, frames_written: 0 }));
                }
            }
            Effect::Send { link } => self.outbox.add(link),
            Effect::RetryWrite { link } => {
                if let Some(held) = self.links.get(&link) {
                    held.retry();
                    self.outbox.add(link);
                }
            }
            Effect::CloseLink { link } => {
                while self.write_next(link) {}
                if let Some(link) = self.links.get_mut(&link) {
                    link.close();
                }
            }
            Effect::StopListening => self.orders.stop_listening(),
            Effect::StartWatch { number, addr: at } => {
                self.watches.wanted.store(number, Ordering::Release);
                let watch = Watch { number, at, index: None };
                let (told, watches) = (self.messages.clone(), self.watches.clone());
                if let Err(error) = spawn("discovery", STACK, move || watch.run(&watches, &told)) {
                    warn!("no thread for a watch: {error}");
                }
            }
            Effect::WatchActivated { watch } => self.watches.heard.store(watch, Ordering::Release),
            Effect::PrintCounters(text) => {
                print_counters(&text, &(self.announcing.counts() + &self.copies.counts()))
            }
        }
    }
}
