//! One connection of a client, as the reading thread holds it. It reads what arrives, parses the requests and
//! reports them to the service, one at a time.

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

/// Maximum number of bytes that are read and discarded after a connection's last request. Without reading them,
/// the close would become a reset, which can overtake the answer. A client that sends more than this has had
/// its answer and does not read it.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;
/// Maximum number of bytes of one connection that are discarded in one turn, so that the other connections are
/// read as well.
const MAX_DISCARDED_BYTES_PER_TURN: usize = 64 * 1024;
/// Bytes that are read behind a request before it is answered, to see whether its client is still connected.
const MAX_READ_AHEAD_BYTES: usize = 4096;

/// A request that has been read completely and is not reported yet.
pub(super) struct PendingRequest {
    kind: RequestKind,
    /// The connection ends with its answer.
    close: bool,
    /// The earliest time at which its last byte may have arrived.
    earliest_arrival: UnixMs,
}

/// What follows a step of [`Connection::read`].
enum ReadStep {
    /// Another step in the same turn.
    Continue,
    /// Nothing more in this turn.
    EndTurn,
    /// The connection has ended.
    EndConnection,
}

/// A connection, as the reading thread holds it.
pub(super) struct Connection {
    pub(super) shared: Arc<SharedConnection>,
    pub(super) buffer: Buffer,
    /// The earliest times at which the bytes in the buffer may have arrived.
    pub(super) arrival_times: ArrivalTimes,
    /// The poll reports its events. Otherwise it is read in every turn.
    pub(super) is_polled: bool,
    /// The earliest time at which bytes that are not read yet may have arrived; `None` if there are none, as
    /// far as is known.
    pub(super) unread_since: Option<UnixMs>,
    pub(super) parser: RequestParser,
    /// [`Input::RequestStarted`] was sent for the request that is arriving.
    pub(super) start_reported: bool,
    /// Set after the last request: how many further bytes are discarded before the connection ends.
    /// `usize::MAX` where the time that the client has to close is limited instead.
    pub(super) discard_limit: Option<usize>,
    /// [`Input::DataAfterLastAnswer`] was sent.
    pub(super) late_data_reported: bool,
    /// There may be more to read, which is left to another turn.
    pub(super) may_have_more: bool,
    /// The connection was just accepted. Whether it has ended already is only known in the next turn.
    pub(super) just_accepted: bool,
    /// The client has closed its side: it counts as disconnected, whatever it sent before.
    pub(super) peer_ended: bool,
    /// A request that is reported once it is known whether its client is still connected.
    pub(super) pending_request: Option<PendingRequest>,
    /// [`Input::MoreDataBuffered`] was sent for the open request.
    pub(super) buffered_data_reported: bool,
    /// It ends once everything that has arrived is reported and answered.
    pub(super) closing: bool,
    /// Its client has had its last answer and its time to close: it ends whatever still arrives.
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
    /// A connection that has just been accepted. `earliest_arrival`: the earliest time at which it may have
    /// been established, and thus the earliest for its first bytes.
    pub(super) fn new(
        shared: Arc<SharedConnection>,
        budget: &MemoryBudget,
        earliest_arrival: UnixMs,
        is_polled: bool,
    ) -> Self {
        Self {
            shared,
            buffer: Buffer::new(budget),
            arrival_times: ArrivalTimes::default(),
            is_polled,
            unread_since: Some(earliest_arrival),
            parser: RequestParser::default(),
            start_reported: false,
            discard_limit: None,
            late_data_reported: false,
            may_have_more: false,
            just_accepted: true,
            peer_ended: false,
            pending_request: None,
            buffered_data_reported: false,
            closing: false,
            closing_finished: false,
            unsent: Vec::new(),
            write_progress_at: Instant::now(),
            unsent_is_last: false,
            released: false,
        }
    }

    /// Whether the connection is being closed and nothing is left to do on it: no request, no beginning of a
    /// request, and no answer. After the last answer, it is done once the client's time to read that answer and
    /// to close is over.
    pub(super) fn is_done_closing(&self) -> bool {
        if self.is_finished() {
            return self.closing_finished && self.unsent.is_empty();
        }
        let awaits_answer = self.awaits_answer();
        let has_partial_request = self.discard_limit.is_none() && self.has_buffered_request();
        self.closing
            && !awaits_answer
            && self.pending_request.is_none()
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

    /// Reads in one turn what has arrived, and reports the next request. Returns false at the end of the
    /// connection.
    ///
    /// Bytes behind a request are read before the request is reported, and also while it is open, as the end of
    /// the connection may be behind them. Otherwise parts would be sent for a client that has disconnected
    /// while it waited to be accepted or to be read. The request is reported once nothing is left to read or
    /// [`MAX_READ_AHEAD_BYTES`] are buffered behind it.
    ///
    /// `earliest_arrival`: the earliest time at which data that the poll has found in this turn may have
    /// arrived.
    pub(super) fn read(
        &mut self,
        connection_id: ConnectionId,
        earliest_arrival: UnixMs,
        messages: &MessageSender,
    ) -> bool {
        let just_accepted = std::mem::take(&mut self.just_accepted);
        self.unread_since.get_or_insert(earliest_arrival);
        if self.peer_ended {
            if self.awaits_answer() {
                return false;
            }
            // What the client sent is still read: closing a connection with unread bytes resets it, and the
            // client could lose an answer that it has not read yet.
            self.pending_request = None;
            self.begin_discarding(usize::MAX);
        }
        loop {
            if self.discard_limit.is_none() && self.is_finished() {
                self.begin_discarding(usize::MAX);
            }
            if self.discard_limit.is_some() {
                return self.discard(connection_id, messages);
            }
            if self.pending_request.is_none() {
                self.parse_next();
            }
            let has_request = self.pending_request.is_some() || self.awaits_answer();
            if self.discard_limit.is_some() {
                continue; // the request was the last one
            }
            let step = if has_request && self.buffer.bytes().len() >= MAX_READ_AHEAD_BYTES {
                self.stop_reading_ahead(connection_id, just_accepted, messages)
            } else {
                self.read_once(connection_id, earliest_arrival, has_request, messages)
            };
            match step {
                ReadStep::Continue => {}
                ReadStep::EndTurn => return true,
                ReadStep::EndConnection => return false,
            }
        }
    }

    /// Reports the pending request although there may be more to read behind it.
    fn stop_reading_ahead(
        &mut self,
        connection_id: ConnectionId,
        just_accepted: bool,
        messages: &MessageSender,
    ) -> ReadStep {
        if just_accepted {
            self.may_have_more = true; // whether the connection has ended is known in the next turn
            return ReadStep::EndTurn;
        }
        // After the report, the next step parses on if the request is already answered.
        if self.report_request(connection_id, messages) { ReadStep::Continue } else { ReadStep::EndTurn }
    }

    /// Reads once. If nothing is left to read, or the memory budget has no room, the pending request is
    /// reported. `has_request`: a request is pending or open.
    fn read_once(
        &mut self,
        connection_id: ConnectionId,
        earliest_arrival: UnixMs,
        has_request: bool,
        messages: &MessageSender,
    ) -> ReadStep {
        match self.fill(earliest_arrival) {
            Ok(1..) => {
                self.report_buffered_data(connection_id, messages);
                ReadStep::Continue
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                if self.report_request(connection_id, messages) {
                    return ReadStep::Continue;
                }
                if !has_request {
                    self.report_request_start(connection_id, messages);
                }
                ReadStep::EndTurn
            }
            Err(error) if error.kind() == ErrorKind::OutOfMemory => {
                if self.report_request(connection_id, messages) {
                    return ReadStep::Continue;
                }
                if has_request {
                    return ReadStep::EndTurn;
                }
                self.reject_long_request(earliest_arrival);
                ReadStep::Continue
            }
            _ => ReadStep::EndConnection,
        }
    }

    /// Reports once that the beginning of a request has arrived.
    fn report_request_start(&mut self, connection_id: ConnectionId, messages: &MessageSender) {
        if self.has_buffered_request() && !self.start_reported {
            self.start_reported = true;
            messages.send(Input::RequestStarted { connection_id });
        }
    }

    /// Makes an unusable request, which is answered with an error, of a partly read one for which the memory
    /// budget has no room.
    fn reject_long_request(&mut self, earliest_arrival: UnixMs) {
        let kind = RequestKind::Unusable(503, "no room for so long a request".to_owned());
        self.discard_limit = Some(MAX_DISCARDED_BYTES);
        self.pending_request = Some(PendingRequest { kind, close: true, earliest_arrival });
    }

    /// Reads into the buffer once, and records the earliest time at which the bytes may have arrived.
    fn fill(&mut self, earliest_arrival: UnixMs) -> io::Result<usize> {
        let read = self.buffer.fill(&mut &self.shared.stream);
        match &read {
            Ok(count) => {
                let unread_since = *self.unread_since.get_or_insert(earliest_arrival);
                self.arrival_times.add(*count, unread_since);
            }
            // Nothing is left to read. What arrives from now on is reported by the poll, but not on a
            // connection that is not polled: there it may have arrived at any time since this turn.
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                self.unread_since = (!self.is_polled).then_some(earliest_arrival);
            }
            Err(_) => {}
        }
        read
    }

    /// Discards what is buffered, and from now on whatever arrives, up to `limit` bytes.
    fn begin_discarding(&mut self, limit: usize) {
        self.discard_limit = Some(limit);
        self.buffer.consume(usize::MAX);
    }

    /// Reads and discards up to [`MAX_DISCARDED_BYTES_PER_TURN`] of what has arrived after the last request;
    /// false at the end of the connection, or once the limit is reached. The pending request is reported once
    /// nothing is left to read.
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
            // The answering thread clears `awaits_answer` before it checks `reader_waits`. Here `reader_waits`
            // is set before `awaits_answer` is checked again. So at least one thread notices the other: this
            // one that the answer is given, or the answering thread that this one waits.
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
        let earliest_arrival = self.arrival_times.consume(used).unwrap_or(f64::NEG_INFINITY);
        self.start_reported = false;
        if close {
            self.begin_discarding(MAX_DISCARDED_BYTES);
        }
        self.pending_request = Some(PendingRequest { kind, close, earliest_arrival });
    }

    /// Reports the pending request, with the time that its client still waits; false if there is none.
    fn report_request(&mut self, connection_id: ConnectionId, messages: &MessageSender) -> bool {
        let Some(PendingRequest { mut kind, close, earliest_arrival }) = self.pending_request.take() else {
            return false;
        };
        self.shared.awaits_answer.store(true, Ordering::SeqCst);
        self.buffered_data_reported = false;
        // Reported before the request, as the service may answer that at once.
        self.report_buffered_data(connection_id, messages);
        // The time that is left counts from the time of the message: with two reads of the clock, a pause between
        // them would be added to it.
        let now = messages.now();
        if let RequestKind::Scan(scan) = &mut kind {
            let waited_ms = now - earliest_arrival;
            scan.wait_ms = (scan.wait_ms - waited_ms).max(0.0);
        }
        messages.send_at(now, Input::Request { connection_id, kind, close });
        true
    }

    /// Reports once that more was read behind the open request. The answer to that request must not end the
    /// connection then.
    fn report_buffered_data(&mut self, connection_id: ConnectionId, messages: &MessageSender) {
        let has_open_request = self.pending_request.is_none() && self.awaits_answer();
        let has_unreported_data =
            self.discard_limit.is_none() && self.has_buffered_request() && !self.buffered_data_reported;
        if has_open_request && has_unreported_data {
            self.buffered_data_reported = true;
            messages.send(Input::MoreDataBuffered { connection_id });
        }
    }
}
