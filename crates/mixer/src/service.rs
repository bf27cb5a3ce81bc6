//! The service: opens what it needs, runs the reducer on the inputs of the other threads, and carries out its
//! effects.

mod writes;

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddrV4, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use crossbeam_channel::{Receiver, bounded};
use pewterwharf_settings::Settings;
use pewterwharf_terms::StartupConfig;
use signal_hook::iterator::Signals;
use tracing::{debug, info, warn};

use crate::announcer::Announcer;
use crate::buffer::MemoryBudget;
use crate::client::Clients;
use crate::client_handle::{ClientHandle, CommandSender};
use crate::clock::{Clock, UnixMs};
use crate::discovery::{self, Watch, WatchStatus};
use crate::fleet::FleetMember;
use crate::inputs::{ConnectionId, Effect, Input, LinkId, Phase, TimedInput, WatchNumber};
use crate::link::Link;
use crate::listener::{BoundListener, listen, local_addr};
use crate::log;
use crate::messages::{Message, MessageSender, STACK_BYTES, spawn};
use crate::outbox::Outbox;
use crate::pauses::PauseDetector;
use crate::reducer::Reducer;
use crate::searcher::{LinkOpener, Searchers};
use crate::signals::{Reloaders, SignalThread};

/// Capacity of the channel to the service's thread. A sender waits while the channel is full. The service's own
/// thread sends nothing on it, so it never waits for itself.
const MAX_WAITING_MESSAGES: usize = 128;
/// The buffers of clients, the buffers of searchers, and the partly written frames may each take the
/// configured memory divided by this.
const MEMORY_DIVISOR: usize = 8;
/// Maximum number of inputs received in one turn, so that a burst does not delay timers.
const MAX_INPUTS_PER_TURN: usize = 256;

/// After a pause of the process, inputs are received for this long before anything is sent: the reading threads
/// were paused too, and still have to report what happened during the pause.
const CATCH_UP: Duration = Duration::from_millis(10);

/// A mixer. Its phase is the reducer's: [`Phase::Starting`] until a list is held, then `Ready`, `Draining`,
/// `Closed`.
pub struct Service {
    clock: Clock,
    reducer: Reducer,
    inbox: Receiver<Message>,
    messages: MessageSender,
    client_commands: CommandSender,
    clients: HashMap<ConnectionId, ClientHandle>,
    links: HashMap<LinkId, Link>,
    link_opener: LinkOpener,
    watch_status: Arc<WatchStatus>,
    /// Inputs from the service itself, for the reducer's next step.
    own_inputs: Vec<TimedInput>,
    outbox: Outbox,
    /// The memory that the partly written frames of all links may take.
    partial_frames: MemoryBudget,
    pauses: PauseDetector,
    /// The process was paused since inputs were last received.
    was_paused: bool,
    announcer: Announcer,
    fleet: FleetMember,
}

/// Inputs for one step of the reducer.
struct ReceivedInputs {
    inputs: Vec<TimedInput>,
    /// The process was paused before, and the inputs include what happened during the pause.
    caught_up: bool,
}

/// Prints the counters of the reducer, the log, and the other subsystems.
fn print_counters(counters: &str, other_counters: &str) {
    log::print(&format!("{counters}log_texts_dropped {}\n{other_counters}", log::dropped()));
}

/// Sets the cached list from before the start, if there is one. Returns the list version after which the first
/// watch requests changes. Without a cached list this is zero, for which discovery sends a whole list first.
/// With a cached list it is `None`, for which the watch requests the whole list.
fn restore_list(reducer: &mut Reducer, cached_list: &serde_json::Value, now: UnixMs) -> Option<u64> {
    match discovery::parse_list(cached_list) {
        Ok(list) if list.entries.is_empty() => Some(list.index),
        Ok(list) => {
            reducer.set_cached_list(now, list);
            None
        }
        Err(error) => {
            if !cached_list.is_null() {
                warn!("known can't be read: {error:#}");
            }
            Some(0)
        }
    }
}

/// Starts the thread of a watch of discovery.
fn start_watch(watch: Watch, status: &Arc<WatchStatus>, messages: &MessageSender) -> io::Result<()> {
    let status = status.clone();
    let messages = messages.clone();
    spawn("discovery", STACK_BYTES, move || watch.run(&status, &messages))
}

/// Starts the thread that accepts clients and reads from them.
fn start_clients(
    listener: TcpListener,
    max_connections: usize,
    budget: MemoryBudget,
    messages: &MessageSender,
) -> Result<CommandSender> {
    let clients = Clients::open(listener, max_connections, budget, messages.clone())
        .context("connections of clients")?;
    let commands = clients.commands();
    spawn("clients", STACK_BYTES, move || {
        if let Err(error) = clients.run() {
            tracing::error!("connections of clients: {error}");
        }
    })?;
    Ok(commands)
}

/// Starts the thread that opens links to searchers and reads from them.
fn start_searchers(
    connect_timeout: Duration,
    budget: MemoryBudget,
    messages: &MessageSender,
) -> Result<LinkOpener> {
    let (searchers, link_opener) =
        Searchers::open(connect_timeout, budget, messages.clone()).context("connections to searchers")?;
    spawn("searchers", STACK_BYTES, move || {
        if let Err(error) = searchers.run() {
            tracing::error!("connections to searchers: {error}");
        }
    })?;
    Ok(link_opener)
}

impl Service {
    /// Opens sockets and starts threads. The signal handlers must be registered before, so that no signal
    /// kills the process meanwhile.
    ///
    /// # Errors
    /// If a socket can't be opened, a thread can't be started, or the process is asked to end before it can
    /// listen.
    pub fn open(
        mut startup: StartupConfig,
        settings: &Settings,
        mut signals: Signals,
        reloaders: Reloaders,
    ) -> Result<Self> {
        let clock = Clock::start();
        let (sender, inbox) = bounded(MAX_WAITING_MESSAGES);
        let messages = MessageSender { sender, clock };
        let connect_timeout = Duration::from_secs_f64(startup.config.connect_timeout_ms.max(1.0) / 1000.0);
        if startup.config.table_types.iter().any(|t| t.has_second_step) {
            warn!("table types with a second step are answered from the first: the protocol states no other");
        }
        let fleet = FleetMember::open(settings, &mut startup, &messages)?;
        let mut reducer = Reducer::new(startup.config.clone(), startup.seed, startup.sockets);
        let index = restore_list(&mut reducer, &startup.cached_list, clock.now());
        reducer.set_discovery(startup.discovery);
        // Opened before the signal thread starts, so that an error in its settings makes the start fail like
        // any other.
        let announcer =
            Announcer::open(settings, reducer.type_names(), startup.seed, &messages, fleet.handle())?;
        let watch_status = Arc::new(WatchStatus::default());
        let first_watch = Watch { number: 0, address: startup.discovery, index };
        start_watch(first_watch, &watch_status, &messages)?;
        let BoundListener { listener, missed_signals } = listen(startup.listen.into(), &mut signals)?;
        let listen_addr = local_addr(&listener)?;
        let max_connections = reducer.max_client_connections();
        let budget = || MemoryBudget::new(startup.memory_bytes / MEMORY_DIVISOR);
        let client_commands = start_clients(listener, max_connections, budget(), &messages)?;
        let link_opener = start_searchers(connect_timeout, budget(), &messages)?;
        info!("{} listens on {listen_addr}", startup.name);
        let partial_frames = budget();
        let signal_thread = SignalThread::new(signals, missed_signals, startup, reloaders, messages.clone());
        spawn("signals", STACK_BYTES, move || signal_thread.run())?;
        Ok(Self {
            clock,
            reducer,
            inbox,
            messages,
            client_commands,
            clients: HashMap::new(),
            links: HashMap::new(),
            link_opener,
            watch_status,
            own_inputs: Vec::new(),
            outbox: Outbox::default(),
            partial_frames,
            pauses: PauseDetector::new(clock.now()),
            was_paused: false,
            announcer,
            fleet,
        })
    }

    /// Runs until the process is asked to end and everything is answered.
    pub fn run(mut self) -> Result<()> {
        while self.reducer.phase() != Phase::Closed {
            let ReceivedInputs { inputs, caught_up } = self.receive_inputs();
            let received_at = self.clock.now();
            let effects = self.reducer.step(received_at, inputs);
            effects.into_iter().for_each(|effect| self.carry_out(effect));
            let list_in_use = self.reducer.phase() != Phase::Starting;
            self.watch_status.list_in_use.store(list_in_use, Ordering::Release);
            let paused = self.pauses.check(self.clock.now(), 0.0);
            // After a pause, writing waits until inputs are received again, but not twice in a row: on a
            // machine where every step takes this long, nothing would ever be sent.
            if paused && !caught_up {
                self.was_paused = true;
            } else {
                self.write_queued();
            }
            let now = self.clock.now();
            self.announcer.report_health(now, &self.watch_status, &self.reducer);
            self.fleet.share(now, &self.reducer);
        }
        let counters = self.announcer.counters() + &self.fleet.counters();
        self.announcer.end();
        self.fleet.leave();
        print_counters(&self.reducer.counters().to_string(), &counters);
        Ok(())
    }

    /// How long to wait for a message: until something is due, or not at all if there is something to do now.
    fn time_to_wait(&self) -> Duration {
        if !self.own_inputs.is_empty() || !self.outbox.is_empty() || self.was_paused {
            return Duration::ZERO;
        }
        let timer = self.reducer.next_timer_at();
        let report = Some(self.announcer.next_report_at()).filter(|at| at.is_finite());
        let share = Some(self.fleet.next_share_at()).filter(|at| at.is_finite());
        let due_at = timer.into_iter().chain(report).chain(share).reduce(f64::min);
        due_at.map_or(Duration::MAX, |at| self.clock.until(at))
    }

    /// Waits until a message arrives or something is due, and receives what has arrived.
    fn receive_inputs(&mut self) -> ReceivedInputs {
        let wait = self.time_to_wait();
        let mut inputs = std::mem::take(&mut self.own_inputs);
        if let Ok(message) = self.inbox.recv_timeout(wait) {
            self.receive(message, &mut inputs);
        }
        let paused = self.pauses.check(self.clock.now(), wait.as_secs_f64() * 1000.0);
        while inputs.len() < MAX_INPUTS_PER_TURN
            && let Ok(message) = self.inbox.try_recv()
        {
            self.receive(message, &mut inputs);
        }
        // A thread that notices a pause reports it before anything that it reads afterwards. So `was_paused` is
        // set by now if any of these inputs was read after a pause.
        let caught_up = std::mem::take(&mut self.was_paused) || paused;
        if caught_up {
            self.catch_up(&mut inputs);
        }
        ReceivedInputs { inputs, caught_up }
    }

    /// Receives the reports of what happened while the process was paused, for the time of [`CATCH_UP`].
    fn catch_up(&mut self, inputs: &mut Vec<TimedInput>) {
        debug!("the process was paused: inputs from that time are received first");
        inputs.push(TimedInput { at: self.clock.now(), input: Input::ProcessPaused });
        let until = Instant::now() + CATCH_UP;
        while let Ok(message) = self.inbox.recv_deadline(until) {
            self.receive(message, inputs);
        }
        // A pause that was reported meanwhile is the same one, or a later one that is over by now as well.
        self.was_paused = false;
    }

    fn receive(&mut self, message: Message, inputs: &mut Vec<TimedInput>) {
        match message {
            Message::ClientConnected { at, connection_id, handle } => {
                self.clients.insert(connection_id, handle);
                inputs.push(TimedInput { at, input: Input::ClientConnected { connection_id } });
            }
            Message::LinkUp { at, link: link_id, shared } => {
                if let Some(link) = self.links.get_mut(&link_id) {
                    link.set_up(shared);
                    inputs.push(TimedInput { at, input: Input::LinkUp { link: link_id } });
                }
            }
            Message::Input { at, input } => self.receive_input(at, input, inputs),
            Message::RoutesWithdrawn => {
                if self.announcer.routes_withdrawn() {
                    inputs.push(TimedInput { at: self.clock.now(), input: Input::Stop });
                }
            }
            Message::StatusRequested(sender) => {
                // Fails if the console no longer waits.
                let _ = sender.send(self.reducer.module_status().to_string());
            }
            Message::SettingsReloaded(read) => {
                let applied = read.and_then(|settings| {
                    self.fleet.settings_reloaded(&settings);
                    self.announcer.change(&settings, &self.messages)
                });
                if let Err(reason) = applied {
                    warn!("the operator's file changes nothing: {reason}");
                }
            }
        }
    }

    /// Receives an input for the reducer. Some inputs also change what the service holds, and some never reach
    /// the reducer in this form.
    fn receive_input(&mut self, at: UnixMs, input: Input, inputs: &mut Vec<TimedInput>) {
        match input {
            Input::ProcessPaused => self.was_paused = true,
            Input::LinkWritable { link } => {
                self.outbox.add(link);
                inputs.push(TimedInput { at, input: Input::LinkWritable { link } });
            }
            Input::LinkClosed { link: link_id, .. } => {
                let frames_written = self.links.remove(&link_id).map_or(0, |link| link.frames_written);
                inputs.push(TimedInput { at, input: Input::LinkClosed { link: link_id, frames_written } });
            }
            // If routes lead clients here, they are withdrawn first. The reducer gets the input after that,
            // with `Message::RoutesWithdrawn`.
            Input::Stop => {
                self.fleet.announce_end();
                if self.announcer.stop() {
                    inputs.push(TimedInput { at, input: Input::Stop });
                }
            }
            input => inputs.push(TimedInput { at, input }),
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { connection_id, bytes, last } => {
                if let Some(client) = self.clients.get_mut(&connection_id)
                    && !client.answer(bytes, last)
                {
                    self.own_inputs.push(TimedInput {
                        at: self.clock.now(),
                        input: Input::AnswerDelayed { connection_id },
                    });
                }
            }
            Effect::CloseClient { connection_id } => {
                if let Some(client) = self.clients.get(&connection_id) {
                    client.close();
                }
            }
            Effect::ReleaseClient { connection_id } => drop(self.clients.remove(&connection_id)),
            Effect::Connect { link, address } => {
                if self.link_opener.open(link, address) {
                    self.links.insert(link, Link::default());
                } else {
                    self.own_inputs.push(TimedInput {
                        at: self.clock.now(),
                        input: Input::LinkClosed { link, frames_written: 0 },
                    });
                }
            }
            Effect::Send { link } => self.outbox.add(link),
            Effect::RetryWrite { link: link_id } => {
                if let Some(link) = self.links.get(&link_id) {
                    link.retry();
                    self.outbox.add(link_id);
                }
            }
            Effect::CloseLink { link: link_id } => {
                while self.write_next(link_id) {}
                if let Some(link) = self.links.get_mut(&link_id) {
                    link.close();
                }
            }
            Effect::StopListening => self.client_commands.stop_listening(),
            Effect::StartWatch { number, address } => self.start_newer_watch(number, address),
            Effect::WatchActivated { watch } => self.watch_status.active.store(watch, Ordering::Release),
            Effect::PrintCounters(text) => {
                print_counters(&text, &(self.announcer.counters() + &self.fleet.counters()));
            }
        }
    }

    fn start_newer_watch(&self, number: WatchNumber, address: SocketAddrV4) {
        self.watch_status.newest.store(number, Ordering::Release);
        let watch = Watch { number, address, index: None };
        if let Err(error) = start_watch(watch, &self.watch_status, &self.messages) {
            warn!("no thread for a watch: {error}");
        }
    }
}
