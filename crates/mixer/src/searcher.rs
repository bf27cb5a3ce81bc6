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
use crate::frame::{self, Frame, FrameError};
use crate::inputs::{Input, LinkId};
use crate::link::SharedLink;
use crate::messages::MessageSender;
use crate::stream::finish_connecting;

/// Reads of one link in a row. If there is more to read, the other links are read first.
const MAX_READS_IN_A_ROW: usize = 16;
/// Once frames of this many bytes have arrived, they are reported before more is read.
const MAX_UNREPORTED_BYTES: usize = 64 * 1024;
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
    /// Frames that have arrived completely and are not reported yet, and their size.
    frames: Vec<Frame>,
    unreported_bytes: usize,
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
                    Ok(ReadEnd::MayHaveMore) => self.unfinished.push(link),
                    Ok(ReadEnd::NothingLeft) => {}
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
            if let Some(connection) = self.connections.get_mut(&link).filter(|connection| connection.up) {
                connection.report_unusable(
                    link,
                    FrameError::malformed("a frame that does not end"),
                    &self.messages,
                );
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
        let shared = Arc::new(SharedLink::new(stream));
        let frames = Vec::new();
        Ok(Connection { address, shared, up: false, buffer, frames, unreported_bytes: 0, deadline })
    }

    fn end(&mut self, link: LinkId, error: &io::Error) {
        if let Some(mut connection) = self.connections.remove(&link) {
            debug!("{}: {error}", connection.address);
            connection.report_frames(link, &self.messages);
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

/// Why the reads of a link in one turn have ended.
enum ReadEnd {
    /// Everything that has arrived is read.
    NothingLeft,
    /// Other links are read first.
    MayHaveMore,
}

impl Connection {
    /// Handles an event. The error is the reason why the connection ends.
    ///
    /// Frames are reported once everything that has arrived is read: what is behind a frame can show that its
    /// stated length was too short.
    fn handle_event(
        &mut self,
        link: LinkId,
        frame_timeout: Duration,
        messages: &MessageSender,
    ) -> io::Result<ReadEnd> {
        if !self.up {
            if !finish_connecting(&self.shared.stream)? {
                return Ok(ReadEnd::NothingLeft);
            }
            self.up = true;
            self.deadline = None;
            messages.send_link_up(link, self.shared.clone());
        }
        let read_end = self.read(link, messages)?;
        let last = match read_end {
            ReadEnd::NothingLeft => None,
            ReadEnd::MayHaveMore => self.frames.pop(), // what is behind it is not known yet
        };
        self.report_frames(link, messages);
        self.frames.extend(last);
        self.deadline = (!self.buffer.bytes().is_empty()).then(|| Instant::now() + frame_timeout);
        Ok(read_end)
    }

    /// Reads what has arrived, and decodes the frames in it.
    fn read(&mut self, link: LinkId, messages: &MessageSender) -> io::Result<ReadEnd> {
        for _ in 0..MAX_READS_IN_A_ROW {
            if self.unreported_bytes >= MAX_UNREPORTED_BYTES {
                break;
            }
            match self.buffer.fill(&mut &self.shared.stream) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(_) => self.decode_frames(link, messages)?,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(ReadEnd::NothingLeft),
                Err(error) => return Err(error),
            }
        }
        Ok(ReadEnd::MayHaveMore)
    }

    /// Decodes the frames that have arrived completely.
    fn decode_frames(&mut self, link: LinkId, messages: &MessageSender) -> io::Result<()> {
        loop {
            match frame::decode(self.buffer.bytes()) {
                Ok(Some((frame, used))) => {
                    self.buffer.consume(used);
                    self.frames.push(frame);
                    self.unreported_bytes += used;
                }
                Ok(None) => return Ok(()),
                Err(error) => {
                    let reason = error.reason.clone();
                    self.report_unusable(link, error, messages);
                    return Err(io::Error::other(reason));
                }
            }
        }
    }

    /// Reports the frames that have arrived completely.
    fn report_frames(&mut self, link: LinkId, messages: &MessageSender) {
        let frames = self.take_frames();
        if !frames.is_empty() {
            messages.send(Input::Frames { link, frames, error: None });
        }
    }

    fn take_frames(&mut self) -> Vec<Frame> {
        self.unreported_bytes = 0;
        std::mem::take(&mut self.frames)
    }

    /// Reports that nothing more can be read, together with the frames before, so that nothing new is sent on
    /// the link in between.
    fn report_unusable(&mut self, link: LinkId, error: FrameError, messages: &MessageSender) {
        let frames = self.take_frames();
        debug!("{}: {} frames are followed by {}", self.address, frames.len(), error.reason);
        messages.send(Input::Frames { link, frames, error: Some(error) });
    }
}
