//! The thread that owns the links, and the handles to it.

mod incoming;
mod outgoing;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::Builder;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token, Waker};
use oorandom::Rand64;
use pewterwharf_replica::Advice;
use tracing::{debug, info, warn};

use incoming::{CloseReason, IncomingLink};
use outgoing::{LinkState, OutgoingLink};

use crate::node::{LocalReport, Node, NodeOutput};
use crate::status::FleetStatus;

const STACK_BYTES: usize = 256 * 1024;
/// Commands that may be queued for the thread. A caller that finds the queue full has to try again later.
const COMMAND_QUEUE: usize = 64;
/// Maximum number of open links to peers. Up to this number of peers, each has a permanent link. In a larger
/// fleet links are opened on demand, and the least recently used one is closed for a new one.
const MAX_OUTGOING_LINKS: usize = 32;
/// Links that peers may hold open to this mixer.
const MAX_INCOMING_LINKS: usize = 64;
/// Timeout for a connection to be established, and for a peer to send its hello.
const HANDSHAKE_TIMEOUT_MS: f64 = 1000.0;
/// A link to a peer that is down is opened anew once it is this old: longer than all timeouts of membership.
const DEAD_LINK_AGE_MS: f64 = 5000.0;
/// Delay before a link that has used up its read allowance is read again.
const READ_RETRY_MS: f64 = 5.0;
/// Time that the last messages have to be sent when the mixer leaves the fleet.
const LEAVE_TIMEOUT_MS: f64 = 200.0;
/// After a warning, further ones of the same kind are logged at debug level for this long.
const WARNING_INTERVAL_MS: f64 = 5000.0;
/// Interval at which the counters for other threads are updated.
const COUNTERS_INTERVAL_MS: f64 = 500.0;
/// Longest time that the thread waits for events.
const MAX_POLL_MS: f64 = 1000.0;

const LISTENER: Token = Token(0);
const COMMANDS: Token = Token(1);
/// Links get the tokens above this one.
const LAST_RESERVED_TOKEN: usize = 2;

/// Configuration of this mixer's part in a fleet.
#[derive(Clone, Debug)]
pub struct MeshConfig {
    pub fleet: String,
    pub local_name: String,
    pub listen: SocketAddr,
    pub peers: Vec<(String, SocketAddr)>,
    /// Has to differ between starts.
    pub seed: u64,
    /// How long a tombstone is kept.
    pub tombstone_ttl_ms: f64,
}

impl MeshConfig {
    /// Upper bound on the file descriptors that the links and their thread use.
    pub fn max_descriptors(&self) -> usize {
        const OWN: usize = 4;
        // One more incoming link may be accepted before another is closed for it.
        let incoming = (self.peers.len() + 1).min(MAX_INCOMING_LINKS);
        self.peers.len().min(MAX_OUTGOING_LINKS) + incoming + OWN
    }
}

enum Command {
    Publish(Vec<LocalReport>),
    Status(Sender<FleetStatus>),
    BeginShutdown,
    Leave,
}

/// A handle to the thread that owns the links.
#[derive(Clone)]
pub struct MeshHandle {
    commands: Sender<Command>,
    waker: Arc<Waker>,
}

impl MeshHandle {
    /// Sends a command to the thread. Returns false if the command queue is full.
    fn send(&self, command: Command) -> bool {
        let sent = self.commands.try_send(command).is_ok();
        let _ = self.waker.wake(); // fails only if the thread has ended
        sent
    }

    /// Status of the fleet, or `None` if the thread does not answer in time.
    pub fn status(&self) -> Option<FleetStatus> {
        const TIMEOUT: Duration = Duration::from_secs(2);
        let (reply, status) = bounded(1);
        self.send(Command::Status(reply)).then(|| status.recv_timeout(TIMEOUT).ok()).flatten()
    }
}

/// The links of a running mixer.
pub struct Mesh {
    handle: MeshHandle,
    counters_text: Arc<Mutex<String>>,
    /// Disconnected when the thread ends.
    thread_ended: Receiver<()>,
    local_addr: SocketAddr,
}

impl Mesh {
    /// Starts to listen and to join the fleet. `on_advice` is called on the thread of the links.
    ///
    /// # Errors
    /// If the listener, the poll or the thread can't be created.
    pub fn start(
        config: MeshConfig,
        on_advice: impl FnMut(Vec<Advice>) + Send + 'static,
    ) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(config.listen)?;
        listener.set_nonblocking(true)?;
        let local_addr = listener.local_addr()?;
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), COMMANDS)?);
        let (sender, commands) = bounded(COMMAND_QUEUE);
        let mut listener = TcpListener::from_std(listener);
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let counters_text = Arc::new(Mutex::new(String::new()));
        let shared_text = counters_text.clone();
        let (running, thread_ended) = bounded(1);
        let run = move || {
            EventLoop::new(config, poll, listener, commands, Box::new(on_advice), shared_text).run();
            drop(running);
        };
        Builder::new().name("mesh".to_owned()).stack_size(STACK_BYTES).spawn(run)?;
        let handle = MeshHandle { commands: sender, waker };
        Ok(Self { handle, counters_text, thread_ended, local_addr })
    }

    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    pub fn handle(&self) -> MeshHandle {
        self.handle.clone()
    }

    /// Publishes observations of this mixer. Returns false if they have to be published again later.
    pub fn publish(&self, reports: Vec<LocalReport>) -> bool {
        self.handle.send(Command::Publish(reports))
    }

    /// Counters, one per line, at most `COUNTERS_INTERVAL_MS` old. Does not wait for the thread.
    pub fn counters_text(&self) -> String {
        self.counters_text.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// This mixer was asked to shut down and still serves the scans that it has accepted. From now on a later
    /// process may take its name.
    pub fn begin_shutdown(&self) {
        self.handle.send(Command::BeginShutdown);
    }

    /// Leaves the fleet and announces it to the peers. Takes at most twice `LEAVE_TIMEOUT_MS`.
    pub fn leave(self) {
        self.handle.send(Command::Leave);
        // The wait is bounded because the thread may be blocked in `on_advice`, which waits for this caller.
        let _ = self.thread_ended.recv_timeout(Duration::from_secs_f64(2.0 * LEAVE_TIMEOUT_MS / 1000.0));
    }
}

#[derive(Default)]
struct Counters(BTreeMap<&'static str, u64>);

impl Counters {
    fn add(&mut self, name: &'static str) {
        *self.0.entry(name).or_default() += 1;
    }
}

struct EventLoop {
    node: Node,
    poll: Poll,
    listener: TcpListener,
    commands: Receiver<Command>,
    on_advice: Box<dyn FnMut(Vec<Advice>) + Send>,
    started_at: Instant,
    rng: Rand64,
    outgoing: BTreeMap<String, OutgoingLink>,
    peer_by_token: HashMap<usize, String>,
    incoming: HashMap<usize, IncomingLink>,
    peer_ips: BTreeSet<IpAddr>,
    last_token: usize,
    /// Incoming links to read in the next turn.
    readable: BTreeSet<usize>,
    counters: Counters,
    /// Until when further warnings of a kind are logged at debug level.
    quiet_until_ms: BTreeMap<&'static str, f64>,
    advice: Vec<Advice>,
    counters_text: Arc<Mutex<String>>,
    next_counters_ms: f64,
    /// Set once the mixer leaves the fleet.
    ends_at_ms: Option<f64>,
}

impl EventLoop {
    fn new(
        config: MeshConfig,
        poll: Poll,
        listener: TcpListener,
        commands: Receiver<Command>,
        on_advice: Box<dyn FnMut(Vec<Advice>) + Send>,
        counters_text: Arc<Mutex<String>>,
    ) -> Self {
        let names: Vec<String> = config.peers.iter().map(|(name, _)| name.clone()).collect();
        let peer_ips = config.peers.iter().map(|(_, address)| address.ip()).collect();
        let mut node = Node::new(&config.fleet, &config.local_name, &names, config.seed);
        node.exchange.replica.set_tombstone_ttl(config.tombstone_ttl_ms);
        let outgoing = config.peers.into_iter().map(|(name, address)| (name, OutgoingLink::new(address)));
        Self {
            node,
            poll,
            listener,
            commands,
            on_advice,
            started_at: Instant::now(),
            rng: Rand64::new(u128::from(config.seed) ^ 0x117b5),
            outgoing: outgoing.collect(),
            peer_by_token: HashMap::new(),
            incoming: HashMap::new(),
            peer_ips,
            last_token: LAST_RESERVED_TOKEN,
            readable: BTreeSet::new(),
            counters: Counters::default(),
            quiet_until_ms: BTreeMap::new(),
            advice: Vec::new(),
            counters_text,
            next_counters_ms: 0.0,
            ends_at_ms: None,
        }
    }

    fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Logs a warning, at debug level if there was one of the same kind lately.
    fn warn(&mut self, kind: &'static str, line: &str) {
        let now_ms = self.now_ms();
        let quiet_until_ms = self.quiet_until_ms.entry(kind).or_insert(0.0);
        if now_ms < *quiet_until_ms {
            return debug!(target: "fleet", "{line}");
        }
        *quiet_until_ms = now_ms + WARNING_INTERVAL_MS;
        warn!(target: "fleet", "{line}");
    }

    fn run(mut self) {
        let mut events = Events::with_capacity(256);
        loop {
            let now_ms = self.now_ms();
            let wait_ms = (self.next_due_ms() - now_ms).clamp(0.0, MAX_POLL_MS);
            match self.poll.poll(&mut events, Some(Duration::from_secs_f64(wait_ms / 1000.0))) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => {
                    return tracing::error!(target: "fleet", "polling the links between mixers: {error}");
                }
                Ok(()) => {}
            }
            let now_ms = self.now_ms();
            self.node.begin_turn(now_ms);
            self.handle_events(now_ms, &events);
            for token in std::mem::take(&mut self.readable) {
                self.read_incoming(now_ms, token);
            }
            self.run_commands(now_ms);
            self.close_timed_out_links(now_ms);
            let output = self.node.tick(now_ms);
            self.apply_output(now_ms, output);
            self.open_closed_links(now_ms);
            self.flush_all(now_ms);
            self.deliver_advice();
            self.update_counters_text(now_ms);
            if let Some(ends_at_ms) = self.ends_at_ms
                && (now_ms >= ends_at_ms || self.outgoing.values().all(|link| link.queue.is_empty()))
            {
                return;
            }
        }
    }

    fn handle_events(&mut self, now_ms: f64, events: &Events) {
        for event in events {
            match event.token() {
                LISTENER => self.accept(now_ms),
                COMMANDS => {}
                Token(token) if self.peer_by_token.contains_key(&token) => {
                    self.outgoing_ready(now_ms, token, event.is_writable(), event.is_readable());
                }
                Token(token) => drop(self.readable.insert(token)),
            }
        }
    }

    fn flush_all(&mut self, now_ms: f64) {
        let with_frames = self.outgoing.iter().filter(|(_, link)| !link.queue.is_empty());
        let names: Vec<String> = with_frames.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.flush(now_ms, name);
        }
    }

    fn deliver_advice(&mut self) {
        if !self.advice.is_empty() {
            let advice = std::mem::take(&mut self.advice);
            (self.on_advice)(advice);
        }
    }

    fn update_counters_text(&mut self, now_ms: f64) {
        if now_ms >= self.next_counters_ms || self.ends_at_ms.is_some() {
            self.next_counters_ms = now_ms + COUNTERS_INTERVAL_MS;
            let text = self.status(now_ms).counters_text();
            *self.counters_text.lock().unwrap_or_else(PoisonError::into_inner) = text;
        }
    }

    /// When the next turn is due, even without events.
    fn next_due_ms(&self) -> f64 {
        // Links that have used up their read allowance wait for it to refill.
        let read_ms = if self.readable.is_empty() { f64::INFINITY } else { self.now_ms() + READ_RETRY_MS };
        let end_ms = self.ends_at_ms.unwrap_or(f64::INFINITY);
        let opens_links = self.keeps_permanent_links() && self.node.membership.is_active();
        let link_due_ms = self.outgoing.values().map(|link| match link.state {
            // A superseded mixer opens no links, so their retry times must not count: the thread would spin.
            LinkState::Closed { retry_at_ms } if opens_links => retry_at_ms,
            LinkState::Connecting { since_ms, .. } => since_ms + HANDSHAKE_TIMEOUT_MS,
            _ => f64::INFINITY,
        });
        link_due_ms.fold(self.node.next_tick_ms().min(read_ms).min(end_ms), f64::min)
    }

    /// Whether each peer has a permanent link.
    fn keeps_permanent_links(&self) -> bool {
        self.outgoing.len() <= MAX_OUTGOING_LINKS && self.ends_at_ms.is_none()
    }

    fn run_commands(&mut self, now_ms: f64) {
        while let Ok(command) = self.commands.try_recv() {
            match command {
                Command::Publish(reports) => {
                    let output =
                        reports.into_iter().filter_map(|report| self.node.publish(now_ms, report)).collect();
                    self.apply_output(now_ms, output);
                }
                Command::Status(reply) => {
                    let _ = reply.send(self.status(now_ms)); // fails if the caller's timeout has passed
                }
                Command::BeginShutdown => self.node.membership.begin_shutdown(),
                Command::Leave => {
                    let output = self.node.leave(now_ms);
                    self.apply_output(now_ms, output);
                    self.ends_at_ms = Some(now_ms + LEAVE_TIMEOUT_MS);
                }
            }
        }
    }

    fn status(&self, now_ms: f64) -> FleetStatus {
        let mut status = self.node.status(now_ms);
        for member in &mut status.members {
            let to = match self.outgoing.get(&member.name) {
                Some(OutgoingLink { state: LinkState::Open { .. }, .. }) => "to: open".to_owned(),
                Some(OutgoingLink { state: LinkState::Connecting { .. }, .. }) => "to: opening".to_owned(),
                Some(OutgoingLink { close_reason, .. }) => format!("to: {close_reason}"),
                None => "to: none".to_owned(),
            };
            let has_incoming = self.incoming.values().any(|link| link.is_from(&member.name));
            member.link = format!("{to}; from: {}", if has_incoming { "open" } else { "none" });
        }
        status.links.clone_from(&self.counters.0);
        status
    }

    fn apply_output(&mut self, now_ms: f64, output: Vec<NodeOutput>) {
        for action in output {
            match action {
                NodeOutput::Send { to, frame } => self.send(now_ms, &to, &frame),
                NodeOutput::ReopenLink { to } => self.reopen(now_ms, &to),
                NodeOutput::SendHello { to } => self.send_hello(now_ms, &to),
                NodeOutput::CloseSupersededLinks { name, by } => {
                    self.close_superseded_links(now_ms, &name, by);
                }
                NodeOutput::Advice(advice) => self.advice.push(advice),
                NodeOutput::Log(line) => info!(target: "fleet", "{line}"),
            }
        }
    }

    fn close_timed_out_links(&mut self, now_ms: f64) {
        let timed_out = |link: &OutgoingLink| matches!(link.state, LinkState::Connecting { since_ms, .. } if now_ms - since_ms >= HANDSHAKE_TIMEOUT_MS);
        let connecting = self.outgoing.iter().filter(|(_, link)| timed_out(link));
        let names: Vec<String> = connecting.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.close(now_ms, name, "connecting timed out", false);
        }
        // Guards against a link whose other end has failed without closing it: writes succeed but do not arrive.
        let up = self.node.membership.up();
        let dead = self
            .outgoing
            .iter()
            .filter(|(name, link)| link.open_for(DEAD_LINK_AGE_MS, now_ms) && !up.contains_key(*name));
        let names: Vec<String> = dead.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.reopen(now_ms, name);
        }
        let without_hello =
            |link: &IncomingLink| link.peer.is_none() && now_ms - link.since_ms >= HANDSHAKE_TIMEOUT_MS;
        let silent = self.incoming.iter().filter(|(_, link)| without_hello(link));
        let tokens: Vec<usize> = silent.map(|(token, _)| *token).collect();
        for token in tokens {
            self.counters.add("links_mute");
            self.close_incoming(token, CloseReason::Closed);
        }
    }
}
