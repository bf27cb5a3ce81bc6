//! Connections of clients: one thread accepts and reads them all, as a thread for each of hundreds that say
//! nothing was measured to cost most of the CPU. Answers are written at once, from the service's own thread.

mod arrived;
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
use crate::inputs::Input;
use crate::line::{Line, Order, Orders, Shared};
use crate::messages::MessageSender;
use crate::pauses::ArrivalTracker;
use crate::stream::write_some;
use connection::Conn;

/// A client that takes no bytes for so long is given up.
const STUCK: Duration = Duration::from_secs(5);
/// How often it is looked for the stuck, while an answer waits.
const LOOK: Duration = Duration::from_secs(1);
/// How often the thread looks at the clock, so that a pause of the process shows.
const LOOKS_EACH: Duration = Duration::from_millis(40);
/// Events that are taken together.
const EVENTS: usize = 256;
/// After a failed accept (no descriptors left, say) the next one waits so long; the same where a connection can't be polled.
const PAUSE: Duration = Duration::from_millis(20);
const INTEREST: Interest = Interest::READABLE.add(Interest::WRITABLE);
const LISTENER: Token = Token(0);
const ORDERS: Token = Token(usize::MAX);

/// Whether it fails since the process has no descriptor left: only then does another client's leaving help.
fn is_out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error() == Some(Errno::MFILE.raw_os_error())
}

/// All connections of clients, and the listener.
pub struct Clients {
    poll: Poll,
    listener: Option<TcpListener>,
    /// No more is accepted once those that wait to be are.
    stopped: bool,
    /// Connections that there may be, so that accepting never outruns the limit on descriptors.
    places: usize,
    conns: HashMap<u64, Conn>,
    next: u64,
    /// A place was left since connections were last accepted.
    freed: bool,
    /// No more is accepted until then.
    pause: Option<Instant>,
    /// Connections may wait to be accepted, which came no earlier.
    waiting_since: Option<f64>,
    /// Connections that could not be registered with the poll: they are looked at after each pause.
    not_polled: Vec<u64>,
    room: MemoryBudget,
    orders: Orders,
    given: Receiver<Order>,
    messages: MessageSender,
    arrivals: ArrivalTracker,
}

impl Clients {
    pub fn open(
        listener: std::net::TcpListener,
        places: usize,
        room: MemoryBudget,
        messages: MessageSender,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        let poll = Poll::new()?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let waker = Arc::new(Waker::new(poll.registry(), ORDERS)?);
        let (to, given) = unbounded(); // no more than an answer and three words for each connection
        let (listener, conns, orders) = (Some(listener), HashMap::new(), Orders { to, waker });
        let arrivals = ArrivalTracker::new(messages.now());
        Ok(Self {
            poll,
            listener,
            stopped: false,
            places,
            conns,
            next: 0,
            freed: false,
            pause: None,
            waiting_since: None,
            not_polled: Vec::new(),
            room,
            orders,
            given,
            messages,
            arrivals,
        })
    }

    pub fn orders(&self) -> Orders {
        self.orders.clone()
    }

    /// Runs for as long as the program does.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENTS);
        loop {
            let look = self.conns.values().any(|c| !c.out.is_empty()).then_some(LOOK);
            let pause = self.pause.map(|until| until.saturating_duration_since(Instant::now()));
            let not_polled = (!self.not_polled.is_empty()).then_some(PAUSE);
            let waits = look.into_iter().chain(pause).chain(not_polled);
            let wait = waits.fold(LOOKS_EACH, Duration::min);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                other => other?,
            }
            let were_all_taken = events.iter().count() < EVENTS;
            if self.arrivals.record_poll(self.messages.now(), wait.as_secs_f64() * 1000.0, were_all_taken) {
                self.messages.send(Input::ProcessPaused);
            }
            let mut ordered = false;
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    ORDERS => ordered = true,
                    Token(conn) => {
                        if event.is_writable() {
                            self.flush(conn as u64);
                        }
                        if event.is_read_closed() || event.is_error() {
                            self.peer_ended(conn as u64);
                        }
                        self.read(conn as u64);
                    }
                }
            }
            self.look_at_not_polled();
            // After what has happened on connections: an order to read on tells of no request whose client has gone.
            if ordered {
                self.obey();
            }
            let paused = self.pause.is_some_and(|until| until <= Instant::now());
            if paused {
                self.pause = None;
            }
            if std::mem::take(&mut self.freed) || paused {
                self.accept();
            }
            if look.is_some() {
                self.flush_all();
                let stuck = self.conns.iter().filter(|(_, c)| !c.out.is_empty() && c.since.elapsed() > STUCK);
                for conn in stuck.map(|c| *c.0).collect::<Vec<_>>() {
                    self.end(conn);
                }
            }
        }
    }

    /// Accepts who waits. Who is left waiting, or comes until all are accepted, may have come at any time from this turn on.
    fn accept(&mut self) {
        let since = *self.waiting_since.get_or_insert(self.arrivals.earliest_arrival());
        if self.accept_all(since) {
            self.waiting_since = None;
        }
    }

    /// Accepts all that wait, which came no earlier than `since`; false if some may be left.
    fn accept_all(&mut self, since: f64) -> bool {
        while self.conns.len() < self.places
            && self.pause.is_none()
            && let Some(listener) = &self.listener
        {
            match listener.accept() {
                Ok((stream, _)) => self.begin(stream, since),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    // Whoever waited to be accepted may have asked already: the listener goes after them.
                    if self.stopped {
                        self.listener = None;
                        self.messages.send(Input::ListenerClosed);
                    }
                    return true;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    debug!("accept: {error}");
                    self.messages
                        .send(Input::AcceptFailed { out_of_descriptors: is_out_of_descriptors(&error) });
                    self.pause = Some(Instant::now() + PAUSE);
                }
            }
        }
        false
    }

    /// Takes up a connection that came no earlier than `since`.
    fn begin(&mut self, mut stream: TcpStream, since: f64) {
        if let Err(error) = stream.set_nodelay(true) {
            debug!("a client's answers may wait for its acknowledgements: {error}");
        }
        self.next += 1;
        let conn = self.next;
        let registered = self.poll.registry().register(&mut stream, Token(conn as usize), INTEREST);
        if let Err(error) = &registered {
            debug!("client {conn} can't be polled yet: {error}");
            self.not_polled.push(conn);
        }
        let shared = Arc::new(Shared {
            stream,
            owing: AtomicBool::new(false),
            waits: AtomicBool::new(false),
            over: AtomicBool::new(false),
        });
        let line =
            Line { conn, shared: shared.clone(), orders: self.orders.clone(), slow: false, over: false };
        let held = Conn::new(shared, &self.room, since, registered.is_ok());
        self.conns.insert(conn, held);
        // The service knows the connection before anything else is told of it.
        self.messages.client(conn, line);
        self.read(conn);
    }

    /// Tries again to register those that the poll does not tell of, and goes on with them meanwhile.
    fn look_at_not_polled(&mut self) {
        for conn in std::mem::take(&mut self.not_polled) {
            let Some(held) = self.conns.get_mut(&conn) else { continue };
            let descriptor = held.shared.stream.as_raw_fd();
            let token = Token(conn as usize);
            match self.poll.registry().register(&mut SourceFd(&descriptor), token, INTEREST) {
                Ok(()) => held.is_polled = true,
                Err(_) => self.not_polled.push(conn),
            }
            self.flush(conn);
            self.read(conn);
        }
    }

    fn obey(&mut self) {
        while let Ok(order) = self.given.try_recv() {
            match order {
                Order::Write(conn, bytes, last) => {
                    if let Some(held) = self.conns.get_mut(&conn) {
                        held.since = Instant::now();
                        held.out.extend_from_slice(&bytes);
                        held.last |= last;
                    }
                    self.flush(conn);
                }
                Order::Resume(conn) => self.read(conn),
                Order::Drop(conn) => {
                    let Some(held) = self.conns.get_mut(&conn) else { continue };
                    held.dropped = true;
                    if held.out.is_empty() {
                        self.end(conn);
                    }
                }
                Order::HangUp(conn) => {
                    if let Some(held) = self.conns.get_mut(&conn) {
                        held.hung = true;
                    }
                    self.read(conn);
                }
                Order::Leave(conn) => {
                    if let Some(held) = self.conns.get_mut(&conn) {
                        held.leaves = true;
                    }
                    self.read(conn);
                }
                Order::StopListening => {
                    self.stopped = true;
                    self.accept();
                }
            }
        }
    }

    /// Goes on with all answers that wait, though a write that failed for a moment is followed by no event.
    fn flush_all(&mut self) {
        let waiting = self.conns.iter().filter(|(_, conn)| !conn.out.is_empty()).map(|(conn, _)| *conn);
        for conn in waiting.collect::<Vec<_>>() {
            self.flush(conn);
        }
    }

    fn flush(&mut self, conn: u64) {
        let Some(held) = self.conns.get_mut(&conn).filter(|c| !c.out.is_empty()) else { return };
        match write_some(&held.shared.stream, &held.out) {
            Ok(0) => return,
            Ok(written) => drop(held.out.drain(..written)),
            Err(_) => return self.end(conn),
        }
        held.since = Instant::now();
        if held.out.is_empty() {
            held.out = Vec::new();
            held.shared.said(held.last);
            self.messages.send(Input::AnswerWritten { conn });
            match held.dropped {
                true => self.end(conn),
                false => self.read(conn),
            }
        }
    }

    fn peer_ended(&mut self, conn: u64) {
        if let Some(held) = self.conns.get_mut(&conn) {
            held.peer_ended = true;
        }
    }

    fn read(&mut self, conn: u64) {
        let Some(held) = self.conns.get_mut(&conn) else { return };
        if !held.read(conn, self.arrivals.earliest_arrival(), &self.messages) || held.leaves() {
            self.end(conn);
        } else if std::mem::take(&mut held.more) {
            self.orders.resume(conn);
        }
    }

    /// Ends a connection and makes its place free.
    fn end(&mut self, conn: u64) {
        if self.conns.remove(&conn).is_some() {
            self.messages.send(Input::ClientDisconnected { conn });
            self.freed = true;
        }
    }
}
