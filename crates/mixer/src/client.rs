//! Connections of clients: one thread accepts and reads them all, as a thread for each of hundreds that say
//! nothing was measured to cost most of the CPU. Answers are written at once, from the service's own thread.

use std::collections::HashMap;
use std::io::{self, ErrorKind, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, unbounded};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use tracing::debug;

use crate::buffer::{Buffer, Room};
use crate::http::{Ask, Progress, Request};
use crate::inputs::Input;
use crate::line::{Line, Order, Orders, Shared};
use crate::pauses::PauseWatch;
use crate::stream::write_some;
use crate::tell::Tell;

/// A client that takes no bytes for so long is given up.
const STUCK: Duration = Duration::from_secs(5);
/// How often it is looked for the stuck, while an answer waits.
const LOOK: Duration = Duration::from_secs(1);
/// How often the thread looks at the clock, so that a pause of the process shows.
const LOOKS_EACH: Duration = Duration::from_millis(40);
/// Events that are taken together.
const EVENTS: usize = 256;
/// After a failed accept (no descriptors left, say) the next one waits so long.
const PAUSE: Duration = Duration::from_millis(20);
/// Bytes that are taken and passed over after a connection's last request, so that no reset overtakes its
/// answer. Who sends more has had an answer and does not read it.
const REST: usize = 64 * 1024;
/// Bytes of one connection that are passed over in one turn, so that others have theirs.
const TURN: usize = 64 * 1024;

const LISTENER: Token = Token(0);
const ORDERS: Token = Token(usize::MAX);

/// A connection, as the reading thread holds it.
struct Conn {
    shared: Arc<Shared>,
    buffer: Buffer,
    progress: Progress,
    begun: bool,
    /// Bytes still passed over after the last request; without a limit where the mixer itself ends the connection, which gives its
    /// client a time instead.
    over: Option<usize>,
    /// It was told of that more came after the last answer.
    sends: bool,
    /// There may be more to read in another turn.
    more: bool,
    /// Just accepted: whether it has ended already shows in the next turn.
    fresh: bool,
    /// The client has ended its side: it has gone, whatever it sent before.
    peer_ended: bool,
    /// A request that has come whole and is told of once it is known whether its client is still there.
    asked: Option<(Ask, bool)>,
    /// It was told that more was read behind the request that is open.
    told_behind: bool,
    /// It ends once all that has come is told of.
    hung: bool,
    /// It ends now that its last answer was given, whatever still comes.
    leaves: bool,
    /// What waits to be written, since when, and whether the connection ends with it or after it.
    out: Vec<u8>,
    since: Instant,
    last: bool,
    dropped: bool,
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
    room: Room,
    orders: Orders,
    given: Receiver<Order>,
    tell: Tell,
    pauses: PauseWatch,
    /// What is read in this turn came no earlier, in milliseconds of the service's clock.
    came_since: f64,
}

impl Clients {
    pub fn open(listener: std::net::TcpListener, places: usize, room: Room, tell: Tell) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        let poll = Poll::new()?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let waker = Arc::new(Waker::new(poll.registry(), ORDERS)?);
        let (to, given) = unbounded(); // no more than an answer and three words for each connection
        let (listener, conns, orders) = (Some(listener), HashMap::new(), Orders { to, waker });
        let (next, freed, pause, stopped) = (0, false, None, false);
        let came_since = tell.now();
        let pauses = PauseWatch::new(came_since);
        Ok(Self {
            poll,
            listener,
            stopped,
            places,
            conns,
            next,
            freed,
            pause,
            room,
            orders,
            given,
            tell,
            pauses,
            came_since,
        })
    }

    pub fn orders(&self) -> Orders {
        self.orders.clone()
    }

    /// Runs for as long as the program does.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENTS);
        let mut were_all_taken = true;
        loop {
            let look = self.conns.values().any(|c| !c.out.is_empty()).then_some(LOOK);
            let pause = self.pause.map(|until| until.saturating_duration_since(Instant::now()));
            let wait = look.into_iter().chain(pause).fold(LOOKS_EACH, Duration::min);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                other => other?,
            }
            self.look_for_a_pause(wait, were_all_taken);
            were_all_taken = events.iter().count() < EVENTS;
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
                let stuck = self.conns.iter().filter(|(_, c)| !c.out.is_empty() && c.since.elapsed() > STUCK);
                for conn in stuck.map(|c| *c.0).collect::<Vec<_>>() {
                    self.end(conn);
                }
            }
        }
    }

    /// Notes since when what is read in this turn may have been there: it came in the pause, if there was one.
    fn look_for_a_pause(&mut self, wait: Duration, were_all_taken: bool) {
        let now = self.tell.now();
        match self.pauses.look(now, wait.as_secs_f64() * 1000.0) {
            Some(since) => {
                self.came_since = since;
                self.tell.say(Input::StoodStill);
            }
            None if were_all_taken => self.came_since = now,
            None => {}
        }
    }

    fn accept(&mut self) {
        while self.conns.len() < self.places
            && self.pause.is_none()
            && let Some(listener) = &self.listener
        {
            match listener.accept() {
                Ok((stream, _)) => {
                    if let Err(error) = self.begin(stream) {
                        debug!("a client could not be served: {error}");
                        self.tell.say(Input::AcceptFailed);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    // Whoever waited to be accepted may have asked already: the listener goes after them.
                    if self.stopped {
                        self.listener = None;
                        self.tell.say(Input::ListenerClosed);
                    }
                    return;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    debug!("accept: {error}");
                    self.tell.say(Input::AcceptFailed);
                    self.pause = Some(Instant::now() + PAUSE);
                }
            }
        }
    }

    fn begin(&mut self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.next += 1;
        let conn = self.next;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(conn as usize), interest)?;
        let shared = Arc::new(Shared {
            stream,
            owing: AtomicBool::new(false),
            waits: AtomicBool::new(false),
            over: AtomicBool::new(false),
        });
        let line =
            Line { conn, shared: shared.clone(), orders: self.orders.clone(), slow: false, over: false };
        let held = Conn {
            shared,
            buffer: Buffer::new(&self.room),
            progress: Progress::default(),
            begun: false,
            over: None,
            sends: false,
            more: false,
            fresh: true,
            peer_ended: false,
            asked: None,
            told_behind: false,
            hung: false,
            leaves: false,
            out: Vec::new(),
            since: Instant::now(),
            last: false,
            dropped: false,
        };
        self.conns.insert(conn, held);
        // The service knows the connection before anything else is told of it.
        self.tell.client(conn, line);
        self.read(conn);
        Ok(())
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
            self.tell.say(Input::Said { conn });
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
        if !held.read(conn, self.came_since, &self.tell) || held.leaves() {
            self.end(conn);
        } else if std::mem::take(&mut held.more) {
            self.orders.resume(conn);
        }
    }

    /// Ends a connection and makes its place free.
    fn end(&mut self, conn: u64) {
        if self.conns.remove(&conn).is_some() {
            self.tell.say(Input::ClientEnd { conn });
            self.freed = true;
        }
    }
}

/// Bytes that are read ahead of the answer that is owed, to see whether the client is still there.
const AHEAD: usize = 4096;

impl Conn {
    /// Whether it was hung up on and nothing of it is left: no request, no answer, and none that has begun to come. Once the last
    /// answer is given the client has its time to read it and to close.
    fn leaves(&self) -> bool {
        if self.shared.over.load(Ordering::SeqCst) {
            return self.leaves && self.out.is_empty();
        }
        let owing = self.shared.owing.load(Ordering::SeqCst);
        let begun = self.over.is_none() && self.has_begun();
        self.hung && !owing && self.asked.is_none() && !begun && self.out.is_empty()
    }

    /// Whether a request has begun to come: line ends between requests are none of one.
    fn has_begun(&self) -> bool {
        !self.buffer.bytes().iter().all(u8::is_ascii_whitespace)
    }

    /// Reads all that has come, also ahead of an answer that is owed, and tells of a request whose turn it is; false at
    /// the connection's end. A request is told of only once nothing more is there to read: guards against sending on
    /// for a client that had left while it waited to be accepted, or for its turn.
    ///
    /// `since`: what is read now came no earlier.
    fn read(&mut self, conn: u64, since: f64, tell: &Tell) -> bool {
        let fresh = std::mem::take(&mut self.fresh);
        if self.peer_ended {
            if self.shared.owing.load(Ordering::SeqCst) {
                return false;
            }
            // What it sent is read all the same: a close over unread bytes would reset what it may still read.
            self.asked = None;
            self.pass_over(usize::MAX);
        }
        loop {
            if self.over.is_none() && self.shared.over.load(Ordering::SeqCst) {
                self.pass_over(usize::MAX);
            }
            if self.over.is_some() {
                return self.discard(conn, since, tell);
            }
            if self.asked.is_none() {
                self.take_up();
            }
            let waits = self.asked.is_some() || self.shared.owing.load(Ordering::SeqCst);
            if self.over.is_some() {
                continue;
            }
            if waits && self.buffer.bytes().len() >= AHEAD {
                if fresh {
                    self.more = true;
                    return true;
                }
                if !self.ask(conn, since, tell) {
                    return true;
                }
                continue; // who answers has to know that more waits
            }
            match self.buffer.fill(&mut &self.shared.stream) {
                Ok(1..) => self.tell_behind(conn, tell),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if self.ask(conn, since, tell) {
                        continue;
                    }
                    if !waits && self.has_begun() && !self.begun {
                        self.begun = true;
                        tell.say(Input::Begun { conn });
                    }
                    return true;
                }
                Err(error) if error.kind() == ErrorKind::OutOfMemory => {
                    if self.ask(conn, since, tell) {
                        continue;
                    }
                    if waits {
                        return true;
                    }
                    let ask = Ask::Unusable(503, "no room for so long a request".to_owned());
                    (self.over, self.asked) = (Some(REST), Some((ask, true)));
                }
                _ => return false,
            }
        }
    }

    /// Discards what comes from now on, up to so many bytes.
    fn pass_over(&mut self, bytes: usize) {
        self.over = Some(bytes);
        self.buffer.used(usize::MAX);
    }

    /// Reads and discards a turn's worth of what has come after the last request; false at the connection's end.
    fn discard(&mut self, conn: u64, since: f64, tell: &Tell) -> bool {
        let mut turn = 0;
        while turn < TURN {
            let mut bytes = [0; 4096];
            match (&self.shared.stream).read(&mut bytes) {
                Ok(count) if count > 0 && self.over.is_some_and(|left| count < left) => {
                    self.over = self.over.map(|left| left - count);
                    self.still_sends(conn, tell);
                    turn += count;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if !self.ask(conn, since, tell) {
                        return true;
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => return false,
            }
        }
        self.more = true;
        true
    }

    /// Tells once that more came after the last answer.
    fn still_sends(&mut self, conn: u64, tell: &Tell) {
        if !self.sends && self.shared.over.load(Ordering::SeqCst) {
            self.sends = true;
            tell.say(Input::Sends { conn });
        }
    }

    /// Takes up the request that has come, unless it has to wait for the last one's answer.
    fn take_up(&mut self) {
        if self.shared.owing.load(Ordering::SeqCst) && !self.buffer.bytes().is_empty() {
            // Whoever answers looks at the one after it has changed the other.
            self.shared.waits.store(true, Ordering::SeqCst);
            if self.shared.owing.load(Ordering::SeqCst) {
                return;
            }
            self.shared.waits.store(false, Ordering::SeqCst);
        }
        if self.shared.over.load(Ordering::SeqCst) {
            return self.pass_over(usize::MAX); // that answer was the last
        }
        let Some(Request { ask, close, used }) = self.progress.request(self.buffer.bytes()) else { return };
        self.buffer.used(used);
        self.begun = false;
        if close {
            self.pass_over(REST);
        }
        self.asked = Some((ask, close));
    }

    /// Tells of the request that was taken up.
    fn ask(&mut self, conn: u64, since: f64, tell: &Tell) -> bool {
        let Some((mut ask, close)) = self.asked.take() else { return false };
        if let Ask::Scan(query) = &mut ask {
            query.wait_ms = (query.wait_ms - (tell.now() - since)).max(0.0);
        }
        self.shared.owing.store(true, Ordering::SeqCst);
        self.told_behind = false;
        // First, as it may be answered at once.
        self.tell_behind(conn, tell);
        tell.say(Input::Asked { conn, ask, close });
        true
    }

    /// Tells once that more was read behind the request that is open: its answer must not end the connection.
    fn tell_behind(&mut self, conn: u64, tell: &Tell) {
        let open = self.asked.is_none() && self.shared.owing.load(Ordering::SeqCst);
        if open && self.over.is_none() && self.has_begun() && !self.told_behind {
            self.told_behind = true;
            tell.say(Input::SentBehind { conn });
        }
    }
}
