//! The thread that owns the links, and the handles to it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::Builder;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use oorandom::Rand64;
use pewterwharf_peers::{Hello, Incarnation, KnownIncarnation, LinkRejection};
use pewterwharf_replica::Advice;
use tracing::{debug, info, warn};

use crate::frame::{Frame, FrameError, MAX_FRAME_BYTES};
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
/// Delay before a link is opened again. It doubles with each failure and is jittered by [`RETRY_JITTER`].
const MIN_RETRY_DELAY_MS: f64 = 100.0;
const MAX_RETRY_DELAY_MS: f64 = 2000.0;
const RETRY_JITTER: f64 = 0.25;
/// A link that was open for at least this long counts as a success, which resets its retry delay. One that breaks
/// earlier may only have appeared to work.
const STABLE_LINK_MS: f64 = 2000.0;
/// A link to a peer that is down is opened anew once it is this old: longer than all timeouts of membership.
const DEAD_LINK_AGE_MS: f64 = 5000.0;
/// Bytes that may be queued for one link, and for all links together.
const MAX_QUEUED_BYTES: usize = 128 * 1024;
const MAX_QUEUED_BYTES_TOTAL: usize = 2 << 20;
/// Bytes of incomplete frames that may be buffered for all links together.
const MAX_BUFFERED_BYTES_TOTAL: usize = 2 << 20;
/// Rate and burst at which one link is read, so that one peer can't keep the thread from the others.
const READ_BYTES_PER_S: f64 = 4.0 * 1024.0 * 1024.0;
const READ_BURST_BYTES: f64 = 256.0 * 1024.0;
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

enum LinkState {
    Closed { retry_at_ms: f64 },
    Connecting { stream: TcpStream, since_ms: f64 },
    Open { stream: TcpStream, since_ms: f64 },
}

struct QueuedFrame {
    droppable: bool,
    bytes: Vec<u8>,
}

/// The link to a peer.
struct OutgoingLink {
    address: SocketAddr,
    state: LinkState,
    token: usize,
    retry_delay_ms: f64,
    queue: VecDeque<QueuedFrame>,
    /// Bytes of the first queued frame that are already written.
    written: usize,
    queued_bytes: usize,
    /// Bytes received in the reverse direction.
    reverse_buffer: Vec<u8>,
    used_at_ms: f64,
    /// Why it was closed last.
    close_reason: String,
}

impl OutgoingLink {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            state: LinkState::Closed { retry_at_ms: 0.0 },
            token: 0,
            retry_delay_ms: MIN_RETRY_DELAY_MS,
            queue: VecDeque::new(),
            written: 0,
            queued_bytes: 0,
            reverse_buffer: Vec::new(),
            used_at_ms: 0.0,
            close_reason: "not tried yet".to_owned(),
        }
    }

    fn is_closed(&self) -> bool {
        matches!(self.state, LinkState::Closed { .. })
    }

    fn is_open(&self) -> bool {
        matches!(self.state, LinkState::Open { .. })
    }

    /// Whether it has been open for at least that long.
    fn open_for(&self, duration_ms: f64, now_ms: f64) -> bool {
        matches!(self.state, LinkState::Open { since_ms, .. } if now_ms - since_ms >= duration_ms)
    }
}

/// The sender of an incoming link.
#[derive(Clone)]
struct LinkPeer {
    name: String,
    incarnation: Incarnation,
}

/// A link from a peer.
struct IncomingLink {
    stream: TcpStream,
    /// Known once the peer has sent its hello.
    peer: Option<LinkPeer>,
    ip: IpAddr,
    buffer: Vec<u8>,
    since_ms: f64,
    received_at_ms: f64,
    read_tokens_bytes: f64,
    refilled_at_ms: f64,
}

impl IncomingLink {
    fn new(stream: TcpStream, ip: IpAddr, now_ms: f64) -> Self {
        Self {
            stream,
            peer: None,
            ip,
            buffer: Vec::new(),
            since_ms: now_ms,
            received_at_ms: now_ms,
            read_tokens_bytes: READ_BURST_BYTES,
            refilled_at_ms: now_ms,
        }
    }

    /// Reads into the buffer, within the allowance of the link and the size of two frames.
    fn read(&mut self, now_ms: f64) -> ReadResult {
        let elapsed_ms = now_ms - self.refilled_at_ms;
        self.read_tokens_bytes =
            (self.read_tokens_bytes + elapsed_ms * READ_BYTES_PER_S / 1000.0).min(READ_BURST_BYTES);
        self.refilled_at_ms = now_ms;
        let mut chunk = [0; 8192];
        let mut bytes = 0;
        loop {
            if self.read_tokens_bytes <= 0.0 {
                return ReadResult { bytes, has_more: true, is_closed: false };
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return ReadResult { bytes, has_more: false, is_closed: true },
                Ok(count) => {
                    bytes += count;
                    self.read_tokens_bytes -= count as f64;
                    self.received_at_ms = now_ms;
                    self.buffer.extend_from_slice(&chunk[..count]);
                    if self.buffer.len() > 2 * MAX_FRAME_BYTES {
                        return ReadResult { bytes, has_more: true, is_closed: false };
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return ReadResult { bytes, has_more: false, is_closed: false };
                }
                Err(_) => return ReadResult { bytes, has_more: false, is_closed: true },
            }
        }
    }

    fn is_from(&self, name: &str) -> bool {
        self.peer.as_ref().is_some_and(|peer| peer.name == name)
    }
}

/// Result of reading a link from a peer.
struct ReadResult {
    bytes: usize,
    /// More bytes may be available; reading stopped at a limit.
    has_more: bool,
    /// The link has ended or failed.
    is_closed: bool,
}

/// Why a link from a peer is closed.
enum CloseReason {
    Closed,
    Unreadable(FrameError),
    Rejected(LinkRejection),
    BuffersFull,
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

    fn send(&mut self, now_ms: f64, name: &str, frame: &Frame) {
        let permanent = self.keeps_permanent_links();
        let Some(link) = self.outgoing.get_mut(name) else { return };
        link.used_at_ms = now_ms;
        if let LinkState::Closed { retry_at_ms } = link.state {
            // In a large fleet the link is opened on demand; the hello is queued before this frame.
            if permanent || now_ms < retry_at_ms {
                self.counters.add("words_unsent");
                return;
            }
            self.open(now_ms, name);
        }
        self.enqueue(name, frame);
    }

    /// Queues a frame. If the queues are full, the oldest droppable frames of this link are dropped.
    fn enqueue(&mut self, name: &str, frame: &Frame) {
        let total_bytes: usize = self.outgoing.values().map(|link| link.queued_bytes).sum();
        let Some(link) = self.outgoing.get_mut(name) else { return };
        let bytes = frame.encode();
        let excess_on_link = (link.queued_bytes + bytes.len()).saturating_sub(MAX_QUEUED_BYTES);
        let excess_in_total = (total_bytes + bytes.len()).saturating_sub(MAX_QUEUED_BYTES_TOTAL);
        let mut excess = excess_on_link.max(excess_in_total);
        link.queued_bytes += bytes.len();
        link.queue.push_back(QueuedFrame { droppable: frame.is_droppable(), bytes });
        let mut index = usize::from(link.written > 0); // a partly written frame has to be completed
        while excess > 0 && index < link.queue.len() {
            if link.queue[index].droppable {
                let dropped = link.queue.remove(index).map_or(0, |frame| frame.bytes.len());
                link.queued_bytes -= dropped;
                excess = excess.saturating_sub(dropped);
                self.counters.add("words_dropped");
            } else {
                index += 1;
            }
        }
    }

    /// Closes an open link that no longer reaches the peer, so that it is opened again. A link that is connecting
    /// already is the new one.
    fn reopen(&mut self, now_ms: f64, name: &str) {
        if self.outgoing.get(name).is_some_and(OutgoingLink::is_open) {
            self.close(now_ms, name, "the peer at the other end is down", true);
        }
    }

    fn send_hello(&mut self, now_ms: f64, name: &str) {
        let Some(link) = self.outgoing.get_mut(name) else { return };
        match &mut link.state {
            LinkState::Closed { retry_at_ms } => {
                // A message from the peer has just arrived, so the link is retried without delay.
                *retry_at_ms = now_ms;
                link.retry_delay_ms = MIN_RETRY_DELAY_MS;
                if !self.keeps_permanent_links() {
                    self.open(now_ms, name);
                }
            }
            LinkState::Connecting { .. } | LinkState::Open { .. } => {
                let hello = Frame::Hello(self.node.membership.hello_to(now_ms, name));
                self.enqueue(name, &hello);
            }
        }
    }

    fn open_closed_links(&mut self, now_ms: f64) {
        if !self.keeps_permanent_links() || !self.node.membership.is_active() {
            return;
        }
        let is_due = |link: &OutgoingLink| matches!(link.state, LinkState::Closed { retry_at_ms } if now_ms >= retry_at_ms);
        let due = self.outgoing.iter().filter(|(_, link)| is_due(link));
        let names: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.open(now_ms, name);
        }
    }

    fn open(&mut self, now_ms: f64, name: &str) {
        if self.outgoing.values().filter(|link| !link.is_closed()).count() >= MAX_OUTGOING_LINKS {
            self.close_least_recently_used(now_ms, name);
        }
        let Some(link) = self.outgoing.get_mut(name) else { return };
        self.last_token += 1;
        let token = self.last_token;
        let opened = TcpStream::connect(link.address).and_then(|mut stream| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(token), interest)?;
            Ok(stream)
        });
        match opened {
            Ok(stream) => {
                link.token = token;
                link.state = LinkState::Connecting { stream, since_ms: now_ms };
                self.peer_by_token.insert(token, name.to_owned());
                let hello = Frame::Hello(self.node.membership.hello_to(now_ms, name));
                self.enqueue(name, &hello);
            }
            Err(error) => self.close(now_ms, name, &error.to_string(), false),
        }
    }

    fn close_least_recently_used(&mut self, now_ms: f64, except: &str) {
        let candidates = self.outgoing.iter().filter(|(name, link)| *name != except && !link.is_closed());
        let oldest = candidates.min_by(|a, b| a.1.used_at_ms.total_cmp(&b.1.used_at_ms));
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.close(now_ms, &name, "closed for a link to another peer", true);
        }
    }

    /// Closes the link to a peer and schedules the next attempt.
    fn close(&mut self, now_ms: f64, name: &str, reason: &str, retry_soon: bool) {
        let spread = (1.0 - RETRY_JITTER) + 2.0 * RETRY_JITTER * self.rng.rand_float();
        let Some(link) = self.outgoing.get_mut(name) else { return };
        link.retry_delay_ms = if link.open_for(STABLE_LINK_MS, now_ms) || retry_soon {
            MIN_RETRY_DELAY_MS
        } else {
            (link.retry_delay_ms * 2.0).min(MAX_RETRY_DELAY_MS)
        };
        self.peer_by_token.remove(&link.token);
        link.state = LinkState::Closed { retry_at_ms: now_ms + link.retry_delay_ms * spread };
        link.written = 0;
        link.queued_bytes = 0;
        link.queue.clear();
        link.reverse_buffer.clear();
        reason.clone_into(&mut link.close_reason);
        self.counters.add("links_closed");
        debug!(target: "fleet", "link to {name} closed: {reason}");
    }

    /// Handles readiness of the link to a peer.
    fn outgoing_ready(&mut self, now_ms: f64, token: usize, writable: bool, readable: bool) {
        let Some(name) = self.peer_by_token.get(&token).cloned() else { return };
        let Some(link) = self.outgoing.get_mut(&name) else { return };
        if writable && let LinkState::Connecting { stream, .. } = &link.state {
            match connection_result(stream) {
                Ok(()) => {
                    let _ = stream.set_nodelay(true); // without it frames are only delayed
                    let closed = LinkState::Closed { retry_at_ms: now_ms };
                    if let LinkState::Connecting { stream, .. } = std::mem::replace(&mut link.state, closed) {
                        link.state = LinkState::Open { stream, since_ms: now_ms };
                    }
                    self.counters.add("links_opened");
                }
                Err(error) if error.kind() == ErrorKind::NotConnected => return,
                Err(error) => return self.close(now_ms, &name, &error.to_string(), false),
            }
        }
        if readable {
            self.read_reverse(now_ms, &name);
        }
        self.flush(now_ms, &name);
    }

    /// Reads the reverse direction of the link to a peer: a rejection or the end of the link.
    fn read_reverse(&mut self, now_ms: f64, name: &str) {
        let Some(link) = self.outgoing.get_mut(name) else { return };
        let LinkState::Open { stream, .. } = &mut link.state else { return };
        let mut chunk = [0; 1024];
        let ended = loop {
            match stream.read(&mut chunk) {
                Ok(0) => break Some("closed by the peer".to_owned()),
                Ok(count) if link.reverse_buffer.len() + count > chunk.len() => {
                    break Some("the peer sends more than a rejection".to_owned());
                }
                Ok(count) => link.reverse_buffer.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break None,
                Err(error) => break Some(error.to_string()),
            }
        };
        match Frame::decode(&link.reverse_buffer) {
            Ok(Some((Frame::Rejected(rejection), _))) => {
                self.counters.add("links_refused_there");
                self.warn("refused there", &format!("{name} rejects the link: {rejection}"));
                self.node.link_rejected(now_ms, &rejection);
                self.close(now_ms, name, &format!("refused: {rejection}"), false);
            }
            Ok(None) if ended.is_none() => {}
            Ok(None) => self.close(now_ms, name, &ended.unwrap_or_default(), false),
            _ => self.close(now_ms, name, "the peer's answer can't be decoded", false),
        }
    }

    fn flush(&mut self, now_ms: f64, name: &str) {
        let Some(link) = self.outgoing.get_mut(name) else { return };
        let LinkState::Open { stream, .. } = &mut link.state else { return };
        while let Some(frame) = link.queue.front() {
            match stream.write(&frame.bytes[link.written..]) {
                Ok(0) => return self.close(now_ms, name, "the socket accepts no data", false),
                Ok(count) => {
                    link.written += count;
                    if link.written == frame.bytes.len() {
                        link.queued_bytes -= frame.bytes.len();
                        link.written = 0;
                        link.queue.pop_front();
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => return self.close(now_ms, name, &error.to_string(), false),
            }
        }
    }

    fn accept(&mut self, now_ms: f64) {
        loop {
            match self.listener.accept() {
                Ok((stream, address)) => self.accepted(now_ms, stream, address),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => {
                    // For example because no descriptors are left. The listener becomes ready again with the
                    // next connection.
                    self.warn("accept", &format!("accepting a link failed: {error}"));
                    return;
                }
            }
        }
    }

    fn accepted(&mut self, now_ms: f64, mut stream: TcpStream, address: SocketAddr) {
        if !self.peer_ips.contains(&address.ip()) {
            self.counters.add("links_of_strangers");
            let line = format!("rejecting a link from {address}: no configured peer has this address");
            self.warn("stranger", &line);
            return;
        }
        if self.incoming.len() >= MAX_INCOMING_LINKS {
            self.close_longest_silent_incoming();
            self.counters.add("links_made_room");
        }
        self.last_token += 1;
        let token = self.last_token;
        if self.poll.registry().register(&mut stream, Token(token), Interest::READABLE).is_err() {
            return;
        }
        self.incoming.insert(token, IncomingLink::new(stream, address.ip(), now_ms));
        self.readable.insert(token);
        self.counters.add("links_taken");
    }

    fn close_longest_silent_incoming(&mut self) {
        let oldest = self.incoming.iter().min_by(|a, b| a.1.received_at_ms.total_cmp(&b.1.received_at_ms));
        if let Some(token) = oldest.map(|(token, _)| *token) {
            self.incoming.remove(&token);
        }
    }

    /// Reads a link from a peer within its allowance.
    fn read_incoming(&mut self, now_ms: f64, token: usize) {
        let buffered_bytes: usize = self.incoming.values().map(|link| link.buffer.len()).sum();
        let Some(link) = self.incoming.get_mut(&token) else { return };
        let ReadResult { bytes, has_more, is_closed } = link.read(now_ms);
        if has_more {
            self.readable.insert(token);
        }
        let mut close_reason = is_closed.then_some(CloseReason::Closed);
        if buffered_bytes + bytes > MAX_BUFFERED_BYTES_TOTAL {
            close_reason = Some(CloseReason::BuffersFull);
        }
        if let Err(reason) = self.handle_frames(now_ms, token) {
            close_reason = Some(reason);
        }
        if let Some(reason) = close_reason {
            self.close_incoming(token, reason);
        }
    }

    /// Handles the complete frames in the buffer of a link.
    fn handle_frames(&mut self, now_ms: f64, token: usize) -> Result<(), CloseReason> {
        let Some(link) = self.incoming.get_mut(&token) else { return Ok(()) };
        let mut buffer = std::mem::take(&mut link.buffer);
        let mut used = 0;
        let result = loop {
            match Frame::decode(&buffer[used..]) {
                Ok(None) => break Ok(()),
                Ok(Some((frame, length))) => {
                    used += length;
                    if let Err(reason) = self.handle_frame(now_ms, token, frame) {
                        break Err(reason);
                    }
                }
                Err(FrameError::FormatMismatch(theirs)) => {
                    let ours = pewterwharf_peers::FORMAT;
                    break Err(CloseReason::Rejected(LinkRejection::FormatMismatch { theirs, ours }));
                }
                Err(error) => break Err(CloseReason::Unreadable(error)),
            }
        };
        buffer.drain(..used);
        if buffer.is_empty() {
            buffer = Vec::new(); // frees the memory
        }
        if let Some(link) = self.incoming.get_mut(&token) {
            link.buffer = buffer;
        }
        result
    }

    fn handle_frame(&mut self, now_ms: f64, token: usize, frame: Frame) -> Result<(), CloseReason> {
        let Some(link) = self.incoming.get(&token) else { return Ok(()) };
        match (frame, link.peer.clone()) {
            (Frame::Hello(hello), peer) => self.handle_hello(now_ms, token, hello, peer),
            (_, None) => Err(CloseReason::Unreadable(FrameError::Malformed)),
            (frame, Some(peer)) => {
                self.counters.add("words_heard");
                let output = self.node.handle_frame(now_ms, &peer.name, peer.incarnation, frame);
                self.apply_output(now_ms, output);
                Ok(())
            }
        }
    }

    fn handle_hello(
        &mut self,
        now_ms: f64,
        token: usize,
        hello: Hello,
        peer: Option<LinkPeer>,
    ) -> Result<(), CloseReason> {
        let Some(link) = self.incoming.get(&token) else { return Ok(()) };
        let has_configured_ip =
            self.outgoing.get(&hello.name).is_none_or(|outgoing| outgoing.address.ip() == link.ip);
        if !has_configured_ip || peer.is_some_and(|peer| peer.name != hello.name) {
            return Err(CloseReason::Rejected(LinkRejection::UnknownName(hello.name)));
        }
        self.node.handle_hello(now_ms, &hello).map_err(CloseReason::Rejected)?;
        // A new link of a mixer replaces its earlier one.
        let earlier = self.incoming.iter().filter(|(t, link)| **t != token && link.is_from(&hello.name));
        let earlier: Vec<usize> = earlier.map(|(t, _)| *t).collect();
        for token in &earlier {
            self.incoming.remove(token);
        }
        if let Some(link) = self.incoming.get_mut(&token) {
            link.peer = Some(LinkPeer { name: hello.name, incarnation: hello.incarnation });
        }
        Ok(())
    }

    /// Closes the links from earlier incarnations of a name, with the reason.
    fn close_superseded_links(&mut self, now_ms: f64, name: &str, by: KnownIncarnation) {
        let is_earlier = |link: &IncomingLink| {
            link.peer.as_ref().is_some_and(|peer| peer.name == name && peer.incarnation < by.incarnation)
        };
        let earlier = self.incoming.iter().filter(|(_, link)| is_earlier(link));
        let tokens: Vec<usize> = earlier.map(|(token, _)| *token).collect();
        for token in tokens {
            self.close_incoming(token, CloseReason::Rejected(LinkRejection::Superseded(by)));
        }
        // Droppable frames that were queued for the earlier incarnation are of no use to the later one.
        if let Some(link) = self.outgoing.get_mut(name)
            && link.written == 0
        {
            let queued = link.queue.len();
            link.queue.retain(|frame| !frame.droppable);
            link.queued_bytes = link.queue.iter().map(|frame| frame.bytes.len()).sum();
            if queued != link.queue.len() {
                link.used_at_ms = now_ms;
            }
        }
    }

    fn close_incoming(&mut self, token: usize, reason: CloseReason) {
        let Some(mut link) = self.incoming.remove(&token) else { return };
        let from = link.peer.as_ref().map_or_else(|| link.ip.to_string(), |peer| peer.name.clone());
        match reason {
            CloseReason::Closed => debug!(target: "fleet", "link from {from} closed"),
            CloseReason::Unreadable(error) => {
                self.counters.add("links_unreadable");
                self.warn("unreadable", &format!("closing the link from {from}: {error}"));
            }
            CloseReason::BuffersFull => {
                self.counters.add("links_no_room");
                let line = format!("closing the link from {from}: too many bytes of incomplete frames");
                self.warn("no room", &line);
            }
            CloseReason::Rejected(rejection) => {
                self.counters.add("links_refused");
                self.warn("refused", &format!("rejecting the link from {from}: {rejection}"));
                // Best effort: the frame fits into the socket's send buffer.
                let _ = link.stream.write(&Frame::Rejected(rejection).encode());
                let _ = link.stream.shutdown(Shutdown::Write);
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

/// Whether a non-blocking connect has succeeded; `NotConnected` while it is still in progress.
fn connection_result(stream: &TcpStream) -> io::Result<()> {
    if let Some(error) = stream.take_error()? {
        return Err(error);
    }
    stream.peer_addr().map(|_| ())
}
