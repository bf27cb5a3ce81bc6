//! Connections to searchers: one thread connects and reads them all, as a thread for each made a hundred for each of
//! the hundreds of mixers of a large fleet. What goes out on one is written by the service, which is told here when one that took
//! no more has room again.

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
use crate::inputs::Input;
use crate::link::Shared;
use crate::messages::MessageSender;

/// Reads of one link in a row: who sends more waits until the others were read.
const IN_A_ROW: usize = 16;

const ORDERS: Token = Token(usize::MAX);

/// The way to the thread that connects and reads.
pub struct Orders {
    to: Sender<(u64, SocketAddrV4)>,
    waker: Arc<Waker>,
}

impl Orders {
    /// Opens a link; its end is told once. False where the thread has ended: then nobody tells of it.
    pub fn open(&self, link: u64, addr: SocketAddrV4) -> bool {
        let given = self.to.send((link, addr)).is_ok();
        let _ = self.waker.wake();
        given
    }
}

/// A link, as the thread holds it.
struct Conn {
    addr: SocketAddrV4,
    shared: Arc<Shared>,
    up: bool,
    buffer: Buffer,
    /// By when it has to be up, or a frame that has begun has to go on.
    until: Option<Instant>,
}

/// All connections to searchers.
pub struct Searchers {
    poll: Poll,
    links: HashMap<u64, Conn>,
    /// Links that may have more to read.
    more: Vec<u64>,
    /// In so long a connection is up; a frame that has begun comes whole in less.
    connect: Duration,
    room: MemoryBudget,
    given: Receiver<(u64, SocketAddrV4)>,
    messages: MessageSender,
}

impl Searchers {
    pub fn open(
        connect: Duration,
        room: MemoryBudget,
        messages: MessageSender,
    ) -> io::Result<(Self, Orders)> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), ORDERS)?);
        let (to, given) = unbounded(); // one word for each link, of which descriptors allow so many
        let (links, more) = (HashMap::new(), Vec::new());
        Ok((Self { poll, links, more, connect, room, given, messages }, Orders { to, waker }))
    }

    /// Runs for as long as the program does.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(256);
        loop {
            let due = self.links.values().filter_map(|conn| conn.until).min();
            let wait = due.map(|at| at.saturating_duration_since(Instant::now()));
            let wait = if self.more.is_empty() { wait } else { Some(Duration::ZERO) };
            match self.poll.poll(&mut events, wait) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                other => other?,
            }
            let mut ready = std::mem::take(&mut self.more);
            for event in &events {
                match event.token() {
                    ORDERS => self.obey(),
                    Token(link) => {
                        if event.is_writable() {
                            self.has_room(link as u64);
                        }
                        ready.push(link as u64);
                    }
                }
            }
            for link in ready {
                let Some(conn) = self.links.get_mut(&link) else { continue };
                match conn.turn(link, self.connect, &self.messages) {
                    Ok(true) => self.more.push(link),
                    Ok(false) => {}
                    Err(why) => self.end(link, &why),
                }
            }
            let now = Instant::now();
            let late = self.links.iter().filter(|(_, conn)| conn.until.is_some_and(|at| at <= now));
            for link in late.map(|(link, _)| *link).collect::<Vec<_>>() {
                if self.links.get(&link).is_some_and(|conn| conn.up) {
                    let bad = Some("a frame that does not end".to_owned());
                    self.messages.send(Input::Frames { link, frames: Vec::new(), error: bad });
                }
                self.end(link, &ErrorKind::TimedOut.into());
            }
        }
    }

    fn has_room(&self, link: u64) {
        if self.links.get(&link).is_some_and(|conn| conn.shared.take_awaits_room()) {
            self.messages.send(Input::LinkWritable { link });
        }
    }

    fn obey(&mut self) {
        while let Ok((link, addr)) = self.given.try_recv() {
            match self.begin(link, addr) {
                Ok(conn) => drop(self.links.insert(link, conn)),
                Err(why) => {
                    debug!("{addr}: {why}");
                    self.over(link);
                }
            }
        }
    }

    fn begin(&self, link: u64, addr: SocketAddrV4) -> io::Result<Conn> {
        let mut stream = TcpStream::connect(SocketAddr::V4(addr))?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(link as usize), interest)?;
        let (buffer, until) = (Buffer::new(&self.room), Some(Instant::now() + self.connect));
        Ok(Conn { addr, shared: Arc::new(Shared::new(stream)), up: false, buffer, until })
    }

    fn end(&mut self, link: u64, why: &io::Error) {
        if let Some(conn) = self.links.remove(&link) {
            debug!("{}: {why}", conn.addr);
            let _ = conn.shared.stream.shutdown(Shutdown::Both); // it may have ended, or never come up
            self.over(link);
        }
    }

    fn over(&self, link: u64) {
        self.messages.send(Input::LinkClosed { link, frames_written: 0 }); // the service knows how many were
    }
}

impl Drop for Searchers {
    /// Tells of the end of all links however the thread ends, a panic included.
    fn drop(&mut self) {
        let given: Vec<u64> = self.given.try_iter().map(|order| order.0).collect();
        for link in self.links.keys().copied().chain(given) {
            self.over(link);
        }
    }
}

impl Conn {
    /// Goes on with what has happened on it; whether there may be more to read, or why it ends.
    fn turn(&mut self, link: u64, whole_in: Duration, messages: &MessageSender) -> io::Result<bool> {
        if !self.up {
            if let Some(error) = self.shared.stream.take_error()? {
                return Err(error);
            }
            match self.shared.stream.peer_addr() {
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::NotConnected => return Ok(false),
                Err(error) => return Err(error),
            }
            self.shared.stream.set_nodelay(true)?;
            (self.up, self.until) = (true, None);
            messages.link(link, self.shared.clone());
        }
        for _ in 0..IN_A_ROW {
            match self.buffer.fill(&mut &self.shared.stream) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(_) => self.frames(link, whole_in, messages)?,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }

    /// Tells of the frames that have come whole.
    fn frames(&mut self, link: u64, whole_in: Duration, messages: &MessageSender) -> io::Result<()> {
        let mut frames = Vec::new();
        loop {
            match frame::decode(self.buffer.bytes()) {
                Ok(Some((frame, used))) => {
                    self.buffer.consume(used);
                    frames.push(frame);
                }
                Ok(None) => break,
                // What came before is told with it, so that nothing new goes out on the link in between.
                Err(why) => {
                    messages.send(Input::Frames { link, frames, error: Some(why.clone()) });
                    return Err(io::Error::other(why));
                }
            }
        }
        if !frames.is_empty() {
            messages.send(Input::Frames { link, frames, error: None });
        }
        self.until = (!self.buffer.bytes().is_empty()).then(|| Instant::now() + whole_in);
        Ok(())
    }
}
