//! Connections of clients. One thread accepts and reads them all: with a thread for each of hundreds of idle
//! connections, most of the CPU time went to those threads. Answers are written at once, from the service's
//! own thread.

mod arrival_times;
mod connection;

use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, unbounded};
use mio::net::{TcpListener, TcpStream};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token, Waker};
use rustix::io::Errno;
use tracing::debug;

use crate::buffer::MemoryBudget;
use crate::client_handle::{ClientHandle, Command, CommandSender, SharedConnection};
use crate::clock::UnixMs;
use crate::inputs::{ConnectionId, Input};
use crate::messages::MessageSender;
use crate::pauses::ArrivalTracker;
use crate::stream::write_some;
use connection::Connection;

/// A client that accepts no bytes of its answer for this long is disconnected.
const STUCK_TIMEOUT: Duration = Duration::from_secs(5);
/// How often the mixer checks for such clients while an answer waits to be written.
const STUCK_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The longest wait for events. The thread reads the clock at least this often, so that a pause of the process
/// is detected.
const MAX_POLL_WAIT: Duration = Duration::from_millis(40);
/// Maximum number of events that one poll returns.
const MAX_EVENTS: usize = 256;
/// The delay after a failed accept, for example because no file descriptor is left, and between reads of
/// connections that can't be polled.
const RETRY_DELAY: Duration = Duration::from_millis(20);
const INTEREST: Interest = Interest::READABLE.add(Interest::WRITABLE);
const LISTENER: Token = Token(0);
const COMMANDS: Token = Token(usize::MAX);

/// Whether an accept failed because the process has no file descriptor left. Only then does closing another
/// client help.
fn is_out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error() == Some(Errno::MFILE.raw_os_error())
}

/// All connections of clients, and the listener.
pub struct Clients {
    poll: Poll,
    listener: Option<TcpListener>,
    /// Listening was asked to end: the listener is closed once all waiting connections are accepted.
    stopping: bool,
    /// Maximum number of open connections, which keeps accepting within the limit on file descriptors.
    max_connections: usize,
    connections: HashMap<ConnectionId, Connection>,
    last_id: ConnectionId,
    /// A connection has ended since connections were last accepted.
    has_new_room: bool,
    /// Set after a failed accept: nothing is accepted before this time.
    accept_retry_at: Option<Instant>,
    /// The earliest time at which connections that wait to be accepted may have arrived; `None` if there are
    /// none, as far as is known.
    waiting_since: Option<UnixMs>,
    /// Connections that could not be registered with the poll. They are read every [`RETRY_DELAY`].
    not_polled: Vec<ConnectionId>,
    budget: MemoryBudget,
    commands: CommandSender,
    command_queue: Receiver<Command>,
    messages: MessageSender,
    arrivals: ArrivalTracker,
}

impl Clients {
    /// # Errors
    /// If the listener can't be polled.
    pub fn open(
        listener: std::net::TcpListener,
        max_connections: usize,
        budget: MemoryBudget,
        messages: MessageSender,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        let poll = Poll::new()?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let waker = Arc::new(Waker::new(poll.registry(), COMMANDS)?);
        // The service sends an answer and three further commands at most for each connection, so this channel
        // needs no bound.
        let (sender, command_queue) = unbounded();
        let arrivals = ArrivalTracker::new(messages.now());
        Ok(Self {
            poll,
            listener: Some(listener),
            stopping: false,
            max_connections,
            connections: HashMap::new(),
            last_id: 0,
            has_new_room: false,
            accept_retry_at: None,
            waiting_since: None,
            not_polled: Vec::new(),
            budget,
            commands: CommandSender { sender, waker },
            command_queue,
            messages,
            arrivals,
        })
    }

    /// The sending end of the commands to this thread.
    pub fn commands(&self) -> CommandSender {
        self.commands.clone()
    }

    /// Runs for as long as the process does.
    ///
    /// # Errors
    /// If polling fails.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        loop {
            let has_waiting_answers = self.connections.values().any(|c| !c.unsent.is_empty());
            let wait = self.poll_wait(has_waiting_answers);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                other => other?,
            }
            let all_found = events.iter().count() < MAX_EVENTS;
            if self.arrivals.record_poll(self.messages.now(), wait.as_secs_f64() * 1000.0, all_found) {
                self.messages.send(Input::ProcessPaused);
            }
            let has_commands = self.handle_events(&events);
            self.read_not_polled();
            // Commands come after the events on connections: [`Command::Resume`] must not report a request
            // whose client is known to have disconnected.
            if has_commands {
                self.run_commands();
            }
            self.accept_if_possible_again();
            if has_waiting_answers {
                self.flush_all();
                self.end_stuck();
            }
        }
    }

    /// How long to wait for events at most.
    fn poll_wait(&self, has_waiting_answers: bool) -> Duration {
        let stuck_check = has_waiting_answers.then_some(STUCK_CHECK_INTERVAL);
        let accept_retry = self.accept_retry_at.map(|at| at.saturating_duration_since(Instant::now()));
        let not_polled = (!self.not_polled.is_empty()).then_some(RETRY_DELAY);
        let waits = stuck_check.into_iter().chain(accept_retry).chain(not_polled);
        waits.fold(MAX_POLL_WAIT, Duration::min)
    }

    /// Handles the events of one poll, and returns whether commands have arrived.
    fn handle_events(&mut self, events: &Events) -> bool {
        let mut has_commands = false;
        for event in events {
            match event.token() {
                LISTENER => self.accept(),
                COMMANDS => has_commands = true,
                Token(token) => {
                    let connection_id = token as ConnectionId;
                    if event.is_writable() {
                        self.flush(connection_id);
                    }
                    if event.is_read_closed() || event.is_error() {
                        self.peer_ended(connection_id);
                    }
                    self.read(connection_id);
                }
            }
        }
        has_commands
    }

    /// Ends the connections of clients that have accepted no bytes of an answer for [`STUCK_TIMEOUT`].
    fn end_stuck(&mut self) {
        let is_stuck = |c: &Connection| !c.unsent.is_empty() && c.write_progress_at.elapsed() > STUCK_TIMEOUT;
        let stuck = self.connections.iter().filter(|(_, connection)| is_stuck(connection));
        for connection_id in stuck.map(|(connection_id, _)| *connection_id).collect::<Vec<_>>() {
            self.end(connection_id);
        }
    }

    /// Accepts connections after a connection has ended, or once the delay after a failed accept is over.
    fn accept_if_possible_again(&mut self) {
        let is_retry_due = self.accept_retry_at.is_some_and(|at| at <= Instant::now());
        if is_retry_due {
            self.accept_retry_at = None;
        }
        if std::mem::take(&mut self.has_new_room) || is_retry_due {
            self.accept();
        }
    }

    /// Accepts the waiting connections. If some are left, those accepted later may have arrived at any time
    /// since this turn.
    fn accept(&mut self) {
        let since = *self.waiting_since.get_or_insert(self.arrivals.earliest_arrival());
        if self.accept_all(since) {
            self.waiting_since = None;
        }
    }

    /// Accepts all waiting connections, which arrived no earlier than `since`; false if some may be left, as
    /// the maximum is reached or an accept has failed.
    fn accept_all(&mut self, since: UnixMs) -> bool {
        while self.connections.len() < self.max_connections
            && self.accept_retry_at.is_none()
            && let Some(listener) = &self.listener
        {
            match listener.accept() {
                Ok((stream, _)) => self.add_connection(stream, since),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    // The listener is closed only now, as clients that waited to be accepted may have sent
                    // requests already.
                    if self.stopping {
                        self.listener = None;
                        self.messages.send(Input::ListenerClosed);
                    }
                    return true;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    debug!("accept: {error}");
                    let out_of_descriptors = is_out_of_descriptors(&error);
                    self.messages.send(Input::AcceptFailed { out_of_descriptors });
                    self.accept_retry_at = Some(Instant::now() + RETRY_DELAY);
                }
            }
        }
        false
    }

    /// Begins to serve an accepted connection, which arrived no earlier than `since`.
    fn add_connection(&mut self, mut stream: TcpStream, since: UnixMs) {
        if let Err(error) = stream.set_nodelay(true) {
            debug!("a client's answers may wait for its acknowledgements: {error}");
        }
        self.last_id += 1;
        let connection_id = self.last_id;
        let registered = self.poll.registry().register(&mut stream, Token(connection_id as usize), INTEREST);
        if let Err(error) = &registered {
            debug!("client {connection_id} can't be polled yet: {error}");
            self.not_polled.push(connection_id);
        }
        let shared = Arc::new(SharedConnection {
            stream,
            awaits_answer: AtomicBool::new(false),
            reader_waits: AtomicBool::new(false),
            finished: AtomicBool::new(false),
        });
        let handle = ClientHandle {
            connection_id,
            shared: shared.clone(),
            commands: self.commands.clone(),
            written_by_reader: false,
            finished: false,
        };
        let connection = Connection::new(shared, &self.budget, since, registered.is_ok());
        self.connections.insert(connection_id, connection);
        // The service has to know the connection before any other input names it.
        self.messages.send_client_connected(connection_id, handle);
        self.read(connection_id);
    }

    /// Tries again to register the connections that are not polled. As the poll reports nothing of them, they
    /// are also written and read here.
    fn read_not_polled(&mut self) {
        for connection_id in std::mem::take(&mut self.not_polled) {
            let Some(connection) = self.connections.get_mut(&connection_id) else { continue };
            let descriptor = connection.shared.stream.as_raw_fd();
            let token = Token(connection_id as usize);
            match self.poll.registry().register(&mut SourceFd(&descriptor), token, INTEREST) {
                Ok(()) => connection.is_polled = true,
                Err(_) => self.not_polled.push(connection_id),
            }
            self.flush(connection_id);
            self.read(connection_id);
        }
    }

    fn run_commands(&mut self) {
        while let Ok(command) = self.command_queue.try_recv() {
            match command {
                Command::Write { connection_id, bytes, last } => {
                    if let Some(connection) = self.connections.get_mut(&connection_id) {
                        connection.write_progress_at = Instant::now();
                        connection.unsent.extend_from_slice(&bytes);
                        connection.unsent_is_last |= last;
                    }
                    self.flush(connection_id);
                }
                Command::Resume(connection_id) => self.read(connection_id),
                Command::Release(connection_id) => {
                    let Some(connection) = self.connections.get_mut(&connection_id) else { continue };
                    connection.released = true;
                    if connection.unsent.is_empty() {
                        self.end(connection_id);
                    }
                }
                Command::Close(connection_id) => {
                    if let Some(connection) = self.connections.get_mut(&connection_id) {
                        connection.closing = true;
                    }
                    self.read(connection_id);
                }
                Command::CloseFinished(connection_id) => {
                    if let Some(connection) = self.connections.get_mut(&connection_id) {
                        connection.closing_finished = true;
                    }
                    self.read(connection_id);
                }
                Command::StopListening => {
                    self.stopping = true;
                    self.accept();
                }
            }
        }
    }

    /// Continues to write all unwritten answers. A write that failed only for a moment is followed by no event,
    /// so events alone would not do.
    fn flush_all(&mut self) {
        let waiting = self
            .connections
            .iter()
            .filter(|(_, c)| !c.unsent.is_empty())
            .map(|(connection_id, _)| *connection_id);
        for connection_id in waiting.collect::<Vec<_>>() {
            self.flush(connection_id);
        }
    }

    /// Continues to write the unwritten answer of a connection.
    fn flush(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&connection_id).filter(|c| !c.unsent.is_empty())
        else {
            return;
        };
        match write_some(&connection.shared.stream, &connection.unsent) {
            Ok(0) => return,
            Ok(written) => drop(connection.unsent.drain(..written)),
            Err(_) => return self.end(connection_id),
        }
        connection.write_progress_at = Instant::now();
        if connection.unsent.is_empty() {
            connection.unsent = Vec::new();
            connection.shared.answer_written(connection.unsent_is_last);
            self.messages.send(Input::AnswerWritten { connection_id });
            match connection.released {
                true => self.end(connection_id),
                false => self.read(connection_id),
            }
        }
    }

    /// Records that a client has closed its side.
    fn peer_ended(&mut self, connection_id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.peer_ended = true;
        }
    }

    /// Reads from a connection in this turn, and ends it if it is over.
    fn read(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        let is_open = connection.read(connection_id, self.arrivals.earliest_arrival(), &self.messages);
        if !is_open || connection.is_done_closing() {
            self.end(connection_id);
        } else if std::mem::take(&mut connection.may_have_more) {
            self.commands.resume(connection_id);
        }
    }

    /// Ends a connection, which makes room for another.
    fn end(&mut self, connection_id: ConnectionId) {
        if self.connections.remove(&connection_id).is_some() {
            self.messages.send(Input::ClientDisconnected { connection_id });
            self.has_new_room = true;
        }
    }
}
