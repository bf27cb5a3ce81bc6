//! One connection of a client, as the reading thread holds it: what has arrived on it, and when that is
//! reported to the service.

use std::io::{self, ErrorKind, Read};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use super::arrival_times::ArrivalTimes;
use crate::buffer::{Buffer, MemoryBudget};
use crate::client_handle::SharedConnection;
use crate::clock::UnixMs;
use crate::http::{Request, RequestKind, RequestParser};
use crate::inputs::{ConnectionId, Input};
use crate::messages::MessageSender;

/// Bytes that are read and discarded after a connection's last request, so that no reset overtakes its
/// answer. A client that sends more has had its answer and does not read it.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;
/// Bytes of one connection that are discarded in one turn, so that other connections have theirs.
const MAX_DISCARDED_BYTES_PER_TURN: usize = 64 * 1024;
/// Bytes that are read ahead of the answer to the open request, to see whether the client is still connected.
const MAX_READ_AHEAD_BYTES: usize = 4096;

/// A request that has been read whole and is not reported yet.
pub(super) struct PendingRequest {
    kind: RequestKind,
    /// The connection ends with its answer.
    close: bool,
    /// It arrived no earlier than this.
    since: UnixMs,
}

/// A connection, as the reading thread holds it.
pub(super) struct Connection {
    pub(super) shared: Arc<SharedConnection>,
    pub(super) buffer: Buffer,
    /// When the bytes in the buffer arrived.
    pub(super) arrival_times: ArrivalTimes,
    /// The poll reports its events. Otherwise it is read in every turn.
    pub(super) is_polled: bool,
    /// Bytes may wait to be read, none of which arrived earlier than this.
    pub(super) unread_since: Option<UnixMs>,
    pub(super) parser: RequestParser,
    /// The beginning of a request was reported.
    pub(super) start_reported: bool,
    /// Set after the last request: the number of further bytes that are discarded. It is unlimited where the
    /// mixer ends the connection, as the client's time is limited then.
    pub(super) discard_limit: Option<usize>,
    /// It was reported that more arrived after the last answer.
    pub(super) late_data_reported: bool,
    /// There may be more to read in another turn.
    pub(super) may_have_more: bool,
    /// The connection was just accepted. Whether it has ended already is only known in the next turn.
    pub(super) just_accepted: bool,
    /// The client has closed its side: it counts as disconnected, whatever it sent before.
    pub(super) peer_ended: bool,
    /// A request that is reported once it is known whether its client is still connected.
    pub(super) pending: Option<PendingRequest>,
    /// It was reported that more was read behind the open request.
    pub(super) buffered_data_reported: bool,
    /// It ends once everything that has arrived is reported and answered.
    pub(super) closing: bool,
    /// It ends as its client has had its last answer and its time to close, whatever still arrives.
    pub(super) closing_finished: bool,
    /// The part of an answer that waits to be written.
    pub(super) unsent: Vec<u8>,
    /// When a write last made progress.
    pub(super) write_progress_at: Instant,
    /// The connection ends with the unsent answer.
    pub(super) unsent_is_last: bool,
    /// The service has released it: it ends once the answer is written.
    pub(super) released: bool,
}

impl Connection {
    /// A connection that has just been accepted, and arrived no earlier than `since`.
    pub(super) fn new(
        shared: Arc<SharedConnection>,
        budget: &MemoryBudget,
        since: UnixMs,
        is_polled: bool,
    ) -> Self {
        Self {
            shared,
            buffer: Buffer::new(budget),
            arrival_times: ArrivalTimes::default(),
            is_polled,
            unread_since: Some(since),
            parser: RequestParser::default(),
            start_reported: false,
            discard_limit: None,
            late_data_reported: false,
            may_have_more: false,
            just_accepted: true,
            peer_ended: false,
            pending: None,
            buffered_data_reported: false,
            closing: false,
            closing_finished: false,
            unsent: Vec::new(),
            write_progress_at: Instant::now(),
            unsent_is_last: false,
            released: false,
        }
    }

    /// Whether the connection is being closed and nothing is left to do on it: no request, no answer, and no
    /// beginning of a request. A client that has had its last answer first has its time to read it and to
    /// close.
    pub(super) fn is_done_closing(&self) -> bool {
        if self.is_finished() {
            return self.closing_finished && self.unsent.is_empty();
        }
        let awaits_answer = self.awaits_answer();
        let has_partial_request = self.discard_limit.is_none() && self.has_buffered_request();
        self.closing
            && !awaits_answer
            && self.pending.is_none()
            && !has_partial_request
            && self.unsent.is_empty()
    }

    fn is_finished(&self) -> bool {
        self.shared.finished.load(Ordering::SeqCst)
    }

    fn awaits_answer(&self) -> bool {
        self.shared.awaits_answer.load(Ordering::SeqCst)
    }

    /// Whether the buffer holds at least the beginning of a request. Line ends between requests belong to
    /// none.
    fn has_buffered_request(&self) -> bool {
        !self.buffer.bytes().iter().all(u8::is_ascii_whitespace)
    }

    /// Reads everything that has arrived, even while a request is open, and reports the next request once it
    /// may be. Returns false at the end of the connection. A request is reported only once nothing more is
    /// there to read, or the limit on reading ahead is reached, as the connection's end may be behind it:
    /// otherwise parts would be sent for a client that disconnected while it waited to be accepted, or for its
    /// turn.
    ///
    /// `since`: the earliest time at which the data that the poll has found in this turn may have arrived.
    pub(super) fn read(
        &mut self,
        connection_id: ConnectionId,
        since: UnixMs,
        messages: &MessageSender,
    ) -> bool {
        let just_accepted = std::mem::take(&mut self.just_accepted);
        self.unread_since.get_or_insert(since);
        if self.peer_ended {
            if self.awaits_answer() {
                return false;
            }
            // What the client sent is still read: closing a connection with unread bytes resets it, and the
            // client could lose an answer that it has not read yet.
            self.pending = None;
            self.begin_discarding(usize::MAX);
        }
        loop {
            if self.discard_limit.is_none() && self.is_finished() {
                self.begin_discarding(usize::MAX);
            }
            if self.discard_limit.is_some() {
                return self.discard(connection_id, messages);
            }
            if self.pending.is_none() {
                self.parse_next();
            }
            let has_request = self.pending.is_some() || self.awaits_answer();
            if self.discard_limit.is_some() {
                continue; // the request was the last one
            }
            if has_request && self.buffer.bytes().len() >= MAX_READ_AHEAD_BYTES {
                if just_accepted {
                    self.may_have_more = true; // whether it has ended is known in the next turn
                    return true;
                }
                if !self.report_request(connection_id, messages) {
                    return true;
                }
                continue; // waits for the answer, or parses on if that is already given
            }
            match self.fill(since) {
                Ok(1..) => self.report_buffered_data(connection_id, messages),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if self.report_request(connection_id, messages) {
                        continue;
                    }
                    if !has_request {
                        self.report_request_start(connection_id, messages);
                    }
                    return true;
                }
                Err(error) if error.kind() == ErrorKind::OutOfMemory => {
                    if self.report_request(connection_id, messages) {
                        continue;
                    }
                    if has_request {
                        return true;
                    }
                    self.reject_long_request(since);
                }
                _ => return false,
            }
        }
    }

    /// Reports once that the beginning of a request has arrived.
    fn report_request_start(&mut self, connection_id: ConnectionId, messages: &MessageSender) {
        if self.has_buffered_request() && !self.start_reported {
            self.start_reported = true;
            messages.send(Input::RequestStarted { connection_id });
        }
    }

    /// Replaces a request for which the memory budget has no room by one that is answered with an error.
    fn reject_long_request(&mut self, since: UnixMs) {
        let kind = RequestKind::Unusable(503, "no room for so long a request".to_owned());
        self.discard_limit = Some(MAX_DISCARDED_BYTES);
        self.pending = Some(PendingRequest { kind, close: true, since });
    }

    /// Reads once, and records when the bytes may have arrived.
    fn fill(&mut self, since: UnixMs) -> io::Result<usize> {
        let read = self.buffer.fill(&mut &self.shared.stream);
        match &read {
            Ok(count) => {
                let since = *self.unread_since.get_or_insert(since);
                self.arrival_times.add(*count, since);
            }
            // Nothing is left to read, and the poll reports what arrives from now on.
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                self.unread_since = (!self.is_polled).then_some(since);
            }
            Err(_) => {}
        }
        read
    }

    /// Discards whatever arrives from now on, up to that many bytes.
    fn begin_discarding(&mut self, limit: usize) {
        self.discard_limit = Some(limit);
        self.buffer.consume(usize::MAX);
    }

    /// Reads and discards one turn's share of what has arrived after the last request; false at the
    /// connection's end.
    fn discard(&mut self, connection_id: ConnectionId, messages: &MessageSender) -> bool {
        let mut discarded = 0;
        while discarded < MAX_DISCARDED_BYTES_PER_TURN {
            let mut bytes = [0; 4096];
            match (&self.shared.stream).read(&mut bytes) {
                Ok(count) if count > 0 && self.discard_limit.is_some_and(|limit| count < limit) => {
                    self.discard_limit = self.discard_limit.map(|limit| limit - count);
                    self.report_late_data(connection_id, messages);
                    discarded += count;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if !self.report_request(connection_id, messages) {
                        return true;
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => return false,
            }
        }
        self.may_have_more = true;
        true
    }

    /// Reports once that more arrived after the last answer.
    fn report_late_data(&mut self, connection_id: ConnectionId, messages: &MessageSender) {
        if !self.late_data_reported && self.is_finished() {
            self.late_data_reported = true;
            messages.send(Input::DataAfterLastAnswer { connection_id });
        }
    }

    /// Parses the next request from the buffer, unless the request before it still awaits its answer.
    fn parse_next(&mut self) {
        if self.awaits_answer() && !self.buffer.bytes().is_empty() {
            // The answering thread first clears `awaits_answer` and then checks `reader_waits`. So
            // `awaits_answer` is read again after `reader_waits` is set: either this thread sees that the
            // answer is given, or the answering thread sees that this one waits.
            self.shared.reader_waits.store(true, Ordering::SeqCst);
            if self.awaits_answer() {
                return;
            }
            self.shared.reader_waits.store(false, Ordering::SeqCst);
        }
        if self.is_finished() {
            return self.begin_discarding(usize::MAX); // the last answer has just been given
        }
        let Some(Request { kind, close, used }) = self.parser.parse(self.buffer.bytes()) else { return };
        self.buffer.consume(used);
        let since = self.arrival_times.consume(used).unwrap_or(f64::NEG_INFINITY);
        self.start_reported = false;
        if close {
            self.begin_discarding(MAX_DISCARDED_BYTES);
        }
        self.pending = Some(PendingRequest { kind, close, since });
    }

    /// Reports the pending request, with the time that its client still waits; false if there is none.
    fn report_request(&mut self, connection_id: ConnectionId, messages: &MessageSender) -> bool {
        let Some(PendingRequest { mut kind, close, since }) = self.pending.take() else { return false };
        self.shared.awaits_answer.store(true, Ordering::SeqCst);
        self.buffered_data_reported = false;
        // Reported before the request, which may be answered at once.
        self.report_buffered_data(connection_id, messages);
        // The time that is left counts from the time of the message: with two reads of the clock, a pause between
        // them would be added to it.
        let now = messages.now();
        if let RequestKind::Scan(scan) = &mut kind {
            scan.wait_ms = (scan.wait_ms - (now - since)).max(0.0);
        }
        messages.send_at(now, Input::Request { connection_id, kind, close });
        true
    }

    /// Reports once that more was read behind the open request. Its answer must not end the connection then.
    fn report_buffered_data(&mut self, connection_id: ConnectionId, messages: &MessageSender) {
        let is_open = self.pending.is_none() && self.awaits_answer();
        let is_new =
            self.discard_limit.is_none() && self.has_buffered_request() && !self.buffered_data_reported;
        if is_open && is_new {
            self.buffered_data_reported = true;
            messages.send(Input::MoreDataBuffered { connection_id });
        }
    }
}
