//! Connections to searchers. One thread opens and reads them all: with a thread for each connection, each of
//! the hundreds of mixers of a large fleet had about a hundred threads. The service writes to searchers itself,
//! and this thread reports when a blocked connection is writable again.

use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, unbounded};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token, Waker};
use tracing::debug;

use crate::buffer::{Buffer, MemoryBudget};
use crate::frame;
use crate::inputs::{Input, LinkId};
use crate::link::SharedLink;
use crate::messages::MessageSender;
use crate::stream::finish_connecting;

/// Reads of one link in a row. If there is more to read, the other links are read first.
const MAX_READS_IN_A_ROW: usize = 16;
const MAX_EVENTS: usize = 256;

const COMMANDS: Token = Token(usize::MAX);

/// A command to open a link.
struct OpenLink {
    link: LinkId,
    address: SocketAddrV4,
}

/// Sends commands to open links to the thread of the connections.
pub struct LinkOpener {
    sender: Sender<OpenLink>,
    waker: Arc<Waker>,
}

impl LinkOpener {
    /// Opens a link; its end will be reported once. Returns false if the thread has ended, and reports nothing.
    pub fn open(&self, link: LinkId, address: SocketAddrV4) -> bool {
        let was_sent = self.sender.send(OpenLink { link, address }).is_ok();
        let _ = self.waker.wake();
        was_sent
    }
}

/// A link, as the thread holds it.
struct Connection {
    address: SocketAddrV4,
    shared: Arc<SharedLink>,
    up: bool,
    buffer: Buffer,
    /// The time by which the connection has to be up, or by which the next bytes of a partly received frame
    /// have to arrive.
    deadline: Option<Instant>,
}

/// All connections to searchers.
pub struct Searchers {
    poll: Poll,
    connections: HashMap<LinkId, Connection>,
    /// Links that may have more to read.
    unfinished: Vec<LinkId>,
    /// The time that a connection may take to be established, and that a frame may take between two pieces.
    connect_timeout: Duration,
    budget: MemoryBudget,
    received: Receiver<OpenLink>,
    messages: MessageSender,
}

impl Searchers {
    /// # Errors
    /// If nothing can be polled.
    pub fn open(
        connect_timeout: Duration,
        budget: MemoryBudget,
        messages: MessageSender,
    ) -> io::Result<(Self, LinkOpener)> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), COMMANDS)?);
        // One command for each link, whose number is limited by the descriptors, so this channel needs no
        // bound.
        let (sender, received) = unbounded();
        let searchers = Self {
            poll,
            connections: HashMap::new(),
            unfinished: Vec::new(),
            connect_timeout,
            budget,
            received,
            messages,
        };
        Ok((searchers, LinkOpener { sender, waker }))
    }

    /// Runs for as long as the process does.
    ///
    /// # Errors
    /// If polling fails.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        loop {
            match self.poll.poll(&mut events, self.poll_wait()) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                other => other?,
            }
            let mut ready = std::mem::take(&mut self.unfinished);
            for event in &events {
                match event.token() {
                    COMMANDS => self.run_commands(),
                    Token(token) => {
                        let link = token as LinkId;
                        if event.is_writable() {
                            self.report_writable(link);
                        }
                        ready.push(link);
                    }
                }
            }
            for link in ready {
                let Some(connection) = self.connections.get_mut(&link) else { continue };
                match connection.handle_event(link, self.connect_timeout, &self.messages) {
                    Ok(true) => self.unfinished.push(link),
                    Ok(false) => {}
                    Err(error) => self.end(link, &error),
                }
            }
            self.end_overdue();
        }
    }

    fn poll_wait(&self) -> Option<Duration> {
        if !self.unfinished.is_empty() {
            return Some(Duration::ZERO);
        }
        let deadline = self.connections.values().filter_map(|connection| connection.deadline).min();
        deadline.map(|at| at.saturating_duration_since(Instant::now()))
    }

    fn end_overdue(&mut self) {
        let now = Instant::now();
        let is_overdue = |connection: &Connection| connection.deadline.is_some_and(|at| at <= now);
        let overdue = self.connections.iter().filter(|(_, connection)| is_overdue(connection));
        for link in overdue.map(|(link, _)| *link).collect::<Vec<_>>() {
            if self.connections.get(&link).is_some_and(|connection| connection.up) {
                let error = Some("a frame that does not end".to_owned());
                self.messages.send(Input::Frames { link, frames: Vec::new(), error });
            }
            self.end(link, &ErrorKind::TimedOut.into());
        }
    }

    fn report_writable(&self, link: LinkId) {
        if self.connections.get(&link).is_some_and(|connection| connection.shared.take_blocked()) {
            self.messages.send(Input::LinkWritable { link });
        }
    }

    fn run_commands(&mut self) {
        while let Ok(OpenLink { link, address }) = self.received.try_recv() {
            match self.connect(link, address) {
                Ok(connection) => drop(self.connections.insert(link, connection)),
                Err(error) => {
                    debug!("{address}: {error}");
                    self.report_closed(link);
                }
            }
        }
    }

    fn connect(&self, link: LinkId, address: SocketAddrV4) -> io::Result<Connection> {
        let mut stream = TcpStream::connect(SocketAddr::V4(address))?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(link as usize), interest)?;
        let deadline = Some(Instant::now() + self.connect_timeout);
        let buffer = Buffer::new(&self.budget);
        Ok(Connection { address, shared: Arc::new(SharedLink::new(stream)), up: false, buffer, deadline })
    }

    fn end(&mut self, link: LinkId, error: &io::Error) {
        if let Some(connection) = self.connections.remove(&link) {
            debug!("{}: {error}", connection.address);
            // Fails if the connection has ended, or was never established.
            let _ = connection.shared.stream.shutdown(Shutdown::Both);
            self.report_closed(link);
        }
    }

    fn report_closed(&self, link: LinkId) {
        // The service fills in the number of frames.
        self.messages.send(Input::LinkClosed { link, frames_written: 0 });
    }
}

impl Drop for Searchers {
    /// Reports the end of all links however the thread ends, even by a panic.
    fn drop(&mut self) {
        let not_opened: Vec<LinkId> = self.received.try_iter().map(|command| command.link).collect();
        for link in self.connections.keys().copied().chain(not_opened) {
            self.report_closed(link);
        }
    }
}

impl Connection {
    /// Handles an event. Returns whether there may be more to read; the error is the reason why the connection
    /// ends.
    fn handle_event(
        &mut self,
        link: LinkId,
        frame_timeout: Duration,
        messages: &MessageSender,
    ) -> io::Result<bool> {
        if !self.up {
            if !finish_connecting(&self.shared.stream)? {
                return Ok(false);
            }
            self.up = true;
            self.deadline = None;
            messages.send_link_up(link, self.shared.clone());
        }
        for _ in 0..MAX_READS_IN_A_ROW {
            match self.buffer.fill(&mut &self.shared.stream) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(_) => self.report_frames(link, frame_timeout, messages)?,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }

    /// Reports the frames that have arrived completely.
    fn report_frames(
        &mut self,
        link: LinkId,
        frame_timeout: Duration,
        messages: &MessageSender,
    ) -> io::Result<()> {
        let mut frames = Vec::new();
        loop {
            match frame::decode(self.buffer.bytes()) {
                Ok(Some((frame, used))) => {
                    self.buffer.consume(used);
                    frames.push(frame);
                }
                Ok(None) => break,
                // The frames before it are reported with the error, so that nothing new is sent on the link
                // in between.
                Err(reason) => {
                    messages.send(Input::Frames { link, frames, error: Some(reason.clone()) });
                    return Err(io::Error::other(reason));
                }
            }
        }
        if !frames.is_empty() {
            messages.send(Input::Frames { link, frames, error: None });
        }
        self.deadline = (!self.buffer.bytes().is_empty()).then(|| Instant::now() + frame_timeout);
        Ok(())
    }
}
