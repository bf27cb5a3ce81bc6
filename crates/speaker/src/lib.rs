//! Runs the BGP speaker of `pewterwharf_bgp::speaker` on sockets and threads.
//!
//! One thread owns the state machine. Each connection has a reader and a writer thread, and each attempt to connect has a
//! thread of its own. The state machine's thread never blocks on a socket: if a peer does not read, the bounded queue of its
//! writer fills up, and the connection is closed.
//!
//! Memory per connection is bounded by one message being read (4,096 bytes) and [`WRITE_QUEUE_LEN`] messages to write.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};
use std::{io, thread};

use crossbeam_channel::{Receiver, Sender, bounded};
use pewterwharf_bgp::announce::{self, Health};
use pewterwharf_bgp::message::{self, MAX_MESSAGE_LEN, Message as BgpMessage, MessageError, WatchedPrefixes};
use pewterwharf_bgp::session::{self, Direction};
pub use pewterwharf_bgp::speaker::{Counters, SpeakerConfig, SpeakerStatus};
use pewterwharf_bgp::speaker::{Effect, Input, PeerId, Speaker as Core};
use tracing::{debug, info};

/// Stack size of each thread.
const STACK_BYTES: usize = 128 * 1024;
/// Messages that can be queued for writing on one connection.
const WRITE_QUEUE_LEN: usize = 64;
/// Messages that can be queued for the state machine.
const INPUT_QUEUE_LEN: usize = 256;
/// Timeout of an attempt to connect and of one write.
const IO_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for which received data is discarded after the last message was sent and the connection half-closed. Without
/// this, the receive window would close, and a peer that is still sending would hang.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for the last messages of all sessions to be written at shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed accept, which usually means that no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum wait for a message, in milliseconds; it keeps the conversion to a `Duration` in range.
const MAX_WAIT_MS: f64 = 1e9;

/// Handle of a running speaker; dropping it shuts the speaker down.
pub struct Speaker {
    messages: Sender<Message>,
    drain_complete: Receiver<()>,
    core: Option<JoinHandle<()>>,
    local_addr: Option<SocketAddr>,
    counters: Arc<Mutex<Counters>>,
}

/// Handle with which threads that do not own the speaker query its status.
#[derive(Clone)]
pub struct StatusHandle(Sender<Message>);

impl StatusHandle {
    /// Current status; `None` after shutdown.
    pub fn status(&self) -> Option<SpeakerStatus> {
        let (reply, status) = bounded(1);
        self.0.send_timeout(Message::Status(reply), IO_TIMEOUT).ok()?;
        status.recv_timeout(IO_TIMEOUT).ok()
    }
}

/// Identifies a connection.
type ConnectionId = u64;

/// Message to the thread of the state machine.
enum Message {
    Input(Input),
    /// A connection opened by a peer.
    Accepted(TcpStream),
    /// A connection opened by this side.
    Connected(PeerId, TcpStream),
    Received(ConnectionId, Result<BgpMessage, MessageError>),
    Closed(ConnectionId),
    ConnectFailed(PeerId),
    Status(Sender<SpeakerStatus>),
    /// Ends all sessions with this shutdown communication.
    Shutdown(String),
}

/// Sends messages to the thread of the state machine.
#[derive(Clone)]
struct MessageSender(Sender<Message>);

impl MessageSender {
    /// Returns whether the state machine still runs.
    fn send(&self, message: Message) -> bool {
        self.0.send(message).is_ok()
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new().name(name.to_owned()).stack_size(STACK_BYTES).spawn(run)
}

impl Speaker {
    /// Starts all sessions. With `listen`, peers may open connections as well and are identified by their IP address.
    ///
    /// # Errors
    /// If the listener or a thread cannot be created.
    pub fn start(config: SpeakerConfig, listen: Option<SocketAddr>, seed: u64) -> io::Result<Self> {
        let (messages, received) = bounded(INPUT_QUEUE_LEN);
        let (drained, drain_complete) = bounded(1);
        let sender = MessageSender(messages.clone());
        let listener = listen.map(TcpListener::bind).transpose()?;
        let local_addr = listener.as_ref().map(TcpListener::local_addr).transpose()?;
        if let Some(listener) = listener {
            let sender = sender.clone();
            spawn("bgp accept", move || accept(&listener, &sender))?;
        }
        let counters = Arc::new(Mutex::new(Counters::default()));
        let mut runner = Runner {
            core: Core::new(&config, seed),
            started: Instant::now(),
            watch: Arc::default(),
            counters: counters.clone(),
            sender,
            received,
            drained,
            connections: HashMap::new(),
            current: HashMap::new(),
            next_connection: 0,
        };
        let core = spawn("bgp", move || {
            runner.step(Input::Configure(Box::new(config)));
            runner.run();
        })?;
        Ok(Self { messages, drain_complete, core: Some(core), local_addr, counters })
    }

    /// Address on which peers may connect.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.local_addr
    }

    fn announce(&self, input: announce::Input) {
        let _ = self.messages.send(Message::Input(Input::Announce(input))); // fails only after the end
    }

    pub fn report_health(&self, health: Health) {
        self.announce(announce::Input::Health(health));
    }

    /// Starts the drain; [`Speaker::drain_complete`] signals when the mixer may stop accepting scans.
    pub fn drain(&self) {
        self.announce(announce::Input::Drain);
    }

    /// Skips the waiting times of a drain.
    pub fn drain_now(&self) {
        self.announce(announce::Input::DrainNow);
    }

    /// Receives one message once the drain is complete: all routes to this mixer are withdrawn.
    pub fn drain_complete(&self) -> &Receiver<()> {
        &self.drain_complete
    }

    /// Applies a new configuration. Sessions of peers that remain are kept wherever BGP allows it.
    pub fn configure(&self, config: SpeakerConfig) {
        let _ = self.messages.send(Message::Input(Input::Configure(Box::new(config)))); // fails only after the end
    }

    pub fn status_handle(&self) -> StatusHandle {
        StatusHandle(self.messages.clone())
    }

    /// Current status; `None` after shutdown.
    pub fn status(&self) -> Option<SpeakerStatus> {
        self.status_handle().status()
    }

    pub fn counters(&self) -> Counters {
        *self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends all sessions with this shutdown communication, and all threads.
    pub fn shutdown(mut self, text: &str) {
        self.stop(text);
    }

    fn stop(&mut self, text: &str) {
        if let Some(core) = self.core.take() {
            let _ = self.messages.send(Message::Shutdown(text.to_owned())); // fails only after the end
            let _ = core.join(); // a panic has been printed by the panic hook
            // Unblocks the listener thread, which then ends because the state machine has ended.
            self.local_addr.and_then(|at| TcpStream::connect_timeout(&at, IO_TIMEOUT).ok());
        }
    }
}

impl Drop for Speaker {
    fn drop(&mut self) {
        self.stop("");
    }
}

fn accept(listener: &TcpListener, sender: &MessageSender) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else {
            thread::sleep(ACCEPT_RETRY_DELAY);
            continue;
        };
        if !sender.send(Message::Accepted(stream)) {
            return;
        }
    }
}

struct Connection {
    peer: PeerId,
    direction: Direction,
    stream: Arc<TcpStream>,
    /// Queue of the writer. Once it is dropped, the writer half-closes the connection after the last queued message.
    write: Option<Sender<Vec<u8>>>,
    /// Carries no messages; disconnected once the writer has finished.
    written: Receiver<()>,
}

/// Runs the state machine and carries out its effects.
struct Runner {
    core: Core,
    started: Instant,
    /// Prefixes whose routes the readers report.
    watch: Arc<Mutex<Arc<WatchedPrefixes>>>,
    counters: Arc<Mutex<Counters>>,
    sender: MessageSender,
    received: Receiver<Message>,
    drained: Sender<()>,
    connections: HashMap<ConnectionId, Connection>,
    /// The connection that the state machine means by a peer and a direction. Others are being closed.
    current: HashMap<(PeerId, Direction), ConnectionId>,
    next_connection: ConnectionId,
}

impl Runner {
    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    fn run(&mut self) {
        loop {
            let wait_ms = (self.core.next_timer() - self.now_ms()).clamp(0.0, MAX_WAIT_MS);
            match self.received.recv_timeout(Duration::from_secs_f64(wait_ms / 1e3)) {
                Ok(Message::Shutdown(text)) => return self.shutdown(text),
                Ok(message) => self.handle(message),
                Err(_) => self.step(Input::Timer),
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Input(input) => self.step(input),
            Message::Accepted(stream) => {
                let ip = stream.peer_addr().map(|address| address.ip());
                match ip.as_ref().ok().and_then(|ip| self.core.peer_at(*ip)) {
                    Some(peer) => self.connected(peer, Direction::In, stream),
                    None => debug!("closing a connection from {ip:?}, which is not a configured peer"),
                }
            }
            Message::Connected(peer, stream) => self.connected(peer, Direction::Out, stream),
            Message::Received(id, decoded) => self.received(id, decoded),
            Message::Closed(id) => self.closed(id),
            Message::ConnectFailed(peer) => {
                self.step(Input::Session(peer, session::Input::Closed(Direction::Out)));
            }
            Message::Status(reply) => {
                let _ = reply.send(self.core.status(self.now_ms())); // the requester may have timed out
            }
            Message::Shutdown(_) => {}
        }
    }

    fn received(&mut self, id: ConnectionId, decoded: Result<BgpMessage, MessageError>) {
        let Some(connection) = self.connections.get(&id) else { return };
        let peer = connection.peer;
        let direction = connection.direction;
        if self.current.get(&(peer, direction)) == Some(&id) {
            let input = match decoded {
                Ok(message) => session::Input::Received(direction, message),
                Err(error) => session::Input::Malformed(direction, error),
            };
            self.step(Input::Session(peer, input));
        }
    }

    fn closed(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        let key = (connection.peer, connection.direction);
        if self.current.get(&key) == Some(&id) {
            self.current.remove(&key);
            self.step(Input::Session(connection.peer, session::Input::Closed(connection.direction)));
        }
    }

    fn connected(&mut self, peer: PeerId, direction: Direction, stream: TcpStream) {
        let id = self.next_connection;
        self.next_connection += 1;
        let Ok(connection) = self.open(id, peer, direction, stream) else {
            return self.step(Input::Session(peer, session::Input::Closed(direction)));
        };
        self.connections.insert(id, connection);
        let before = self.current.insert((peer, direction), id);
        let effects =
            self.core.step(self.now_ms(), Input::Session(peer, session::Input::Connected(direction)));
        if effects.contains(&Effect::Refuse(peer, direction)) {
            // The earlier connection stays the current one.
            match before {
                Some(before) => drop(self.current.insert((peer, direction), before)),
                None => drop(self.current.remove(&(peer, direction))),
            }
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.write = None;
                // Closed at once, as nothing was sent on it.
                let _ = connection.stream.shutdown(Shutdown::Both); // fails if the peer has reset it
            }
        }
        effects.into_iter().for_each(|effect| self.carry_out(effect));
        self.publish_counters();
    }

    /// Starts the reader and the writer of a connection.
    fn open(
        &self,
        id: ConnectionId,
        peer: PeerId,
        direction: Direction,
        stream: TcpStream,
    ) -> io::Result<Connection> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(IO_TIMEOUT))?;
        let stream = Arc::new(stream);
        let (write, messages) = bounded::<Vec<u8>>(WRITE_QUEUE_LEN);
        // These two channels carry no messages. Each is disconnected when its thread has finished.
        let (writing, written) = bounded::<()>(0);
        let (reading, read_done) = bounded::<()>(0);
        let half_close = Arc::new(HalfClose::default());
        let write_stream = stream.clone();
        let write_sender = self.sender.clone();
        let write_half_close = half_close.clone();
        let read_stream = stream.clone();
        let read_sender = self.sender.clone();
        let watch = self.watch.clone();
        spawn("bgp write", move || {
            write_all(&write_stream, &messages);
            write_half_close.start(&write_stream);
            drop(writing);
            write_sender.send(Message::Closed(id));
            let _ = read_done.recv_timeout(DISCARD_TIMEOUT); // disconnected once the reader has finished
            let _ = write_stream.shutdown(Shutdown::Both); // unblocks the reader if the peer does not close
        })?;
        spawn("bgp read", move || {
            read_messages(&read_stream, id, &half_close, &watch, &read_sender);
            drop(reading);
            let _ = read_stream.shutdown(Shutdown::Both); // unblocks the writer
            read_sender.send(Message::Closed(id));
        })?;
        Ok(Connection { peer, direction, stream, write: Some(write), written })
    }

    fn step(&mut self, input: Input) {
        let effects = self.core.step(self.now_ms(), input);
        effects.into_iter().for_each(|effect| self.carry_out(effect));
        self.publish_counters();
    }

    fn publish_counters(&self) {
        *self.counters.lock().unwrap_or_else(PoisonError::into_inner) = *self.core.counters();
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Connect(peer, address) => self.connect(peer, address),
            Effect::Send(peer, direction, bytes) => self.send(peer, direction, bytes),
            Effect::Close(peer, direction) => {
                if let Some(id) = self.current.remove(&(peer, direction))
                    && let Some(connection) = self.connections.get_mut(&id)
                {
                    connection.write = None;
                }
            }
            Effect::Refuse(..) => {}
            Effect::Watch(watch) => {
                *self.watch.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(watch);
            }
            Effect::DrainComplete => drop(self.drained.try_send(())),
            Effect::Log(line) => info!("{line}"),
        }
    }

    fn connect(&self, peer: PeerId, address: SocketAddr) {
        let sender = self.sender.clone();
        let attempt = move || {
            let result = match TcpStream::connect_timeout(&address, IO_TIMEOUT) {
                Ok(stream) => Message::Connected(peer, stream),
                Err(error) => {
                    debug!("failed to connect to peer {address}: {error}");
                    Message::ConnectFailed(peer)
                }
            };
            sender.send(result);
        };
        if let Err(error) = spawn("bgp connect", attempt) {
            debug!("failed to start a thread to connect to peer {address}: {error}");
        }
    }

    fn send(&mut self, peer: PeerId, direction: Direction, bytes: Vec<u8>) {
        let id = self.current.get(&(peer, direction));
        let Some(connection) = id.and_then(|id| self.connections.get_mut(id)) else { return };
        let is_full = connection.write.as_ref().is_some_and(|write| write.try_send(bytes).is_err());
        if is_full {
            // The peer does not read. The shutdown makes the writer fail, which reports the connection as closed.
            debug!("the write queue of peer {peer} is full; closing its connection");
            let _ = connection.stream.shutdown(Shutdown::Write); // fails if it is shut down already
        }
    }

    /// Ends all sessions and waits a limited time for their last messages to be written.
    fn shutdown(&mut self, text: String) {
        self.step(Input::Stop(text));
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        for connection in self.connections.values_mut() {
            connection.write = None;
            let _ = connection.written.recv_deadline(deadline); // disconnected once all is written
            let _ = connection.stream.shutdown(Shutdown::Write); // unblocks the writer if the peer does not read
        }
    }
}

/// Time at which this side half-closed a connection.
#[derive(Default)]
struct HalfClose(OnceLock<Instant>);

impl HalfClose {
    /// Shuts down the sending side: the peer reads everything written before, then end of file.
    fn start(&self, stream: &TcpStream) {
        let _ = self.0.set(Instant::now()); // set only here
        let _ = stream.shutdown(Shutdown::Write); // fails if the peer has reset the connection
    }

    fn has_started(&self) -> bool {
        self.0.get().is_some()
    }

    /// Whether received data has been discarded for [`DISCARD_TIMEOUT`].
    fn has_expired(&self) -> bool {
        self.0.get().is_some_and(|since| since.elapsed() >= DISCARD_TIMEOUT)
    }
}

/// Writes messages until the queue is closed or a write fails.
fn write_all(mut stream: &TcpStream, messages: &Receiver<Vec<u8>>) {
    for bytes in messages {
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// Reads and discards data until the peer closes or the half-close expires. This keeps the receive window open, so that a
/// peer that is still sending can finish and read the NOTIFICATION.
fn discard(mut stream: &TcpStream, half_close: &HalfClose) {
    let mut chunk = [0; 2048];
    while !half_close.has_expired() {
        match stream.read(&mut chunk) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    }
}

/// Removes the first message from the received bytes and decodes it; `None` until it is complete. An OPEN sets
/// `four_octets` for the messages after it.
fn take_message(
    buffer: &mut Vec<u8>,
    four_octets: &mut bool,
    watch: &Mutex<Arc<WatchedPrefixes>>,
) -> Option<Result<BgpMessage, MessageError>> {
    let length = match message::message_length(buffer) {
        Ok(Some(length)) if buffer.len() >= length => length,
        Ok(_) => return None,
        Err(error) => return Some(Err(error)),
    };
    let watch = watch.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let decoded = message::decode(&buffer[..length], *four_octets, &watch);
    if let Ok(BgpMessage::Open(open)) = &decoded {
        *four_octets = open.four_octets;
    }
    buffer.drain(..length);
    Some(decoded)
}

/// Reads messages until the connection ends or one cannot be decoded.
fn read_messages(
    mut stream: &TcpStream,
    id: ConnectionId,
    half_close: &HalfClose,
    watch: &Mutex<Arc<WatchedPrefixes>>,
    sender: &MessageSender,
) {
    let mut buffer = Vec::with_capacity(MAX_MESSAGE_LEN);
    let mut chunk = [0; 2048];
    // This side always supports four-octet AS numbers, so the peer's OPEN decides.
    let mut four_octets = true;
    loop {
        while let Some(decoded) = take_message(&mut buffer, &mut four_octets, watch) {
            let is_malformed = decoded.is_err();
            if !sender.send(Message::Received(id, decoded)) {
                return;
            }
            // After a malformed message the writer closes the connection once the NOTIFICATION is written.
            if is_malformed || half_close.has_started() {
                return discard(stream, half_close);
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) => return,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    }
}
