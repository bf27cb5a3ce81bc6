//! One connection of a client, as the thread that reads holds it: what has come on it, and what is told of it when.

use std::io::{self, ErrorKind, Read};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use super::arrived::Arrived;
use crate::buffer::{Buffer, MemoryBudget};
use crate::http::{Ask, Request, RequestParser};
use crate::inputs::Input;
use crate::line::Shared;
use crate::messages::MessageSender;

/// Bytes that are taken and passed over after a connection's last request, so that no reset overtakes its
/// answer. Who sends more has had an answer and does not read it.
const REST: usize = 64 * 1024;
/// Bytes of one connection that are passed over in one turn, so that others have theirs.
const TURN: usize = 64 * 1024;

/// A request that has come whole and is not told of yet.
pub(super) struct Taken {
    ask: Ask,
    /// The connection ends with its answer.
    close: bool,
    /// It was sent no earlier.
    since: f64,
}

/// A connection, as the reading thread holds it.
pub(super) struct Conn {
    pub(super) shared: Arc<Shared>,
    pub(super) buffer: Buffer,
    /// When what stands in the buffer came.
    pub(super) arrived: Arrived,
    /// The poll tells of it; else it is looked at again and again.
    pub(super) is_polled: bool,
    /// Bytes may wait to be read, which came no earlier.
    pub(super) unread_since: Option<f64>,
    pub(super) progress: RequestParser,
    pub(super) begun: bool,
    /// Bytes still passed over after the last request; without a limit where the mixer itself ends the connection, which gives its
    /// client a time instead.
    pub(super) over: Option<usize>,
    /// It was told of that more came after the last answer.
    pub(super) sends: bool,
    /// There may be more to read in another turn.
    pub(super) more: bool,
    /// Just accepted: whether it has ended already shows in the next turn.
    pub(super) fresh: bool,
    /// The client has ended its side: it has gone, whatever it sent before.
    pub(super) peer_ended: bool,
    /// A request that has come whole and is told of once it is known whether its client is still there.
    pub(super) asked: Option<Taken>,
    /// It was told that more was read behind the request that is open.
    pub(super) told_behind: bool,
    /// It ends once all that has come is told of.
    pub(super) hung: bool,
    /// It ends now that its last answer was given, whatever still comes.
    pub(super) leaves: bool,
    /// What waits to be written, since when, and whether the connection ends with it or after it.
    pub(super) out: Vec<u8>,
    pub(super) since: Instant,
    pub(super) last: bool,
    pub(super) dropped: bool,
}

/// Bytes that are read ahead of the answer that is owed, to see whether the client is still there.
const AHEAD: usize = 4096;

impl Conn {
    /// One that has just been accepted, and came no earlier than `since`; whether the poll tells of it.
    pub(super) fn new(shared: Arc<Shared>, room: &MemoryBudget, since: f64, is_polled: bool) -> Self {
        Self {
            shared,
            buffer: Buffer::new(room),
            arrived: Arrived::default(),
            is_polled,
            unread_since: Some(since),
            progress: RequestParser::default(),
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
        }
    }

    /// Whether it was hung up on and nothing of it is left: no request, no answer, and none that has begun to come. Once the last
    /// answer is given the client has its time to read it and to close.
    pub(super) fn leaves(&self) -> bool {
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
    /// `since`: what the poll has found in this turn came no earlier.
    pub(super) fn read(&mut self, conn: u64, since: f64, messages: &MessageSender) -> bool {
        let fresh = std::mem::take(&mut self.fresh);
        self.unread_since.get_or_insert(since);
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
                return self.discard(conn, messages);
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
                if !self.ask(conn, messages) {
                    return true;
                }
                continue; // who answers has to know that more waits
            }
            match self.fill(since) {
                Ok(1..) => self.tell_behind(conn, messages),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if self.ask(conn, messages) {
                        continue;
                    }
                    if !waits && self.has_begun() && !self.begun {
                        self.begun = true;
                        messages.send(Input::RequestStarted { conn });
                    }
                    return true;
                }
                Err(error) if error.kind() == ErrorKind::OutOfMemory => {
                    if self.ask(conn, messages) {
                        continue;
                    }
                    if waits {
                        return true;
                    }
                    let ask = Ask::Unusable(503, "no room for so long a request".to_owned());
                    self.over = Some(REST);
                    self.asked = Some(Taken { ask, close: true, since });
                }
                _ => return false,
            }
        }
    }

    /// Reads once, and takes down when what was read may have come.
    fn fill(&mut self, since: f64) -> io::Result<usize> {
        let read = self.buffer.fill(&mut &self.shared.stream);
        match &read {
            Ok(count) => {
                let since = *self.unread_since.get_or_insert(since);
                self.arrived.add(*count, since);
            }
            // Nothing is left to read, and the poll tells of what comes from now on.
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                self.unread_since = (!self.is_polled).then_some(since);
            }
            Err(_) => {}
        }
        read
    }

    /// Discards what comes from now on, up to so many bytes.
    fn pass_over(&mut self, bytes: usize) {
        self.over = Some(bytes);
        self.buffer.consume(usize::MAX);
    }

    /// Reads and discards a turn's worth of what has come after the last request; false at the connection's end.
    fn discard(&mut self, conn: u64, messages: &MessageSender) -> bool {
        let mut turn = 0;
        while turn < TURN {
            let mut bytes = [0; 4096];
            match (&self.shared.stream).read(&mut bytes) {
                Ok(count) if count > 0 && self.over.is_some_and(|left| count < left) => {
                    self.over = self.over.map(|left| left - count);
                    self.still_sends(conn, messages);
                    turn += count;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if !self.ask(conn, messages) {
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
    fn still_sends(&mut self, conn: u64, messages: &MessageSender) {
        if !self.sends && self.shared.over.load(Ordering::SeqCst) {
            self.sends = true;
            messages.send(Input::DataAfterLastAnswer { conn });
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
        let Some(Request { ask, close, used }) = self.progress.parse(self.buffer.bytes()) else { return };
        self.buffer.consume(used);
        let since = self.arrived.use_up(used).unwrap_or(f64::NEG_INFINITY);
        self.begun = false;
        if close {
            self.pass_over(REST);
        }
        self.asked = Some(Taken { ask, close, since });
    }

    /// Tells of the request that was taken up, and how long its client still waits.
    fn ask(&mut self, conn: u64, messages: &MessageSender) -> bool {
        let Some(Taken { mut ask, close, since }) = self.asked.take() else { return false };
        if let Ask::Scan(query) = &mut ask {
            query.wait_ms = (query.wait_ms - (messages.now() - since)).max(0.0);
        }
        self.shared.owing.store(true, Ordering::SeqCst);
        self.told_behind = false;
        // First, as it may be answered at once.
        self.tell_behind(conn, messages);
        messages.send(Input::Request { conn, ask, close });
        true
    }

    /// Tells once that more was read behind the request that is open: its answer must not end the connection.
    fn tell_behind(&mut self, conn: u64, messages: &MessageSender) {
        let open = self.asked.is_none() && self.shared.owing.load(Ordering::SeqCst);
        if open && self.over.is_none() && self.has_begun() && !self.told_behind {
            self.told_behind = true;
            messages.send(Input::MoreDataBuffered { conn });
        }
    }
}
