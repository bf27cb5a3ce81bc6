//! One connection to discovery: it requests the list or its changes, and parses what arrives.

use std::io::{ErrorKind, Write};
use std::net::SocketAddrV4;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use anyhow::{Error, Result, bail, ensure};
use mio::net::TcpStream;

use super::call_schedule::KeptFor;
use super::list_text::ListText;
use super::{ListRequest, MAX_LIST_BYTES, RunningWatch, SILENCE_TIMEOUT};
use crate::buffer::Buffer;
use crate::http::{self, BodyFraming, Chunk};
use crate::stream::finish_connecting;

/// A connection that stops in the middle of a line is no longer trusted after this time.
const LINE_TIMEOUT: Duration = Duration::from_millis(100);
/// A connection whose list is not complete after this time is no longer trusted. [`LINE_TIMEOUT`] alone would
/// not do, as a list that arrives byte by byte renews it with each byte. The changes in such a list count as
/// known to the mixer 6 s after discovery had them.
const LIST_TIMEOUT: Duration = Duration::from_millis(1000);

/// What a connection expects next.
enum Stage {
    Connecting,
    /// The head of the response with the whole list, which is requested first.
    ListHead,
    ListBody(BodyFraming),
    /// The head of the watch's response.
    WatchHead,
    WatchLines,
}

/// One connection to discovery.
pub(super) struct Connection {
    stream: TcpStream,
    buffer: Buffer,
    stage: Stage,
    request: ListRequest,
    /// For how long an answer to its call is waited for.
    pub(super) kept_for: KeptFor,
    pub(super) opened_at: Instant,
    /// When anything last arrived; the time of opening before.
    received_at: Instant,
    /// Since when a list has been arriving that is not whole yet.
    partial_since: Option<Instant>,
    text: ListText,
    /// It has sent a list, or that there is nothing new.
    pub(super) has_list: bool,
}

impl Connection {
    /// A connection that is being established since `now`.
    pub(super) fn new(
        stream: TcpStream,
        buffer: Buffer,
        request: ListRequest,
        now: Instant,
        kept_for: KeptFor,
    ) -> Self {
        Self {
            stream,
            buffer,
            stage: Stage::Connecting,
            request,
            kept_for,
            opened_at: now,
            received_at: now,
            partial_since: None,
            text: ListText::default(),
            has_list: false,
        }
    }

    /// The time until which this connection is trusted, so that no other is opened; `None` if it is not trusted
    /// now.
    pub(super) fn trusted_until(&self, now: Instant) -> Option<Instant> {
        let until = match self.partial_since {
            Some(since) => (self.received_at + LINE_TIMEOUT).min(since + LIST_TIMEOUT),
            None => self.received_at + SILENCE_TIMEOUT,
        };
        (self.has_list && until > now).then_some(until)
    }

    /// Whether a part of the answer has arrived.
    pub(super) fn has_begun_to_answer(&self) -> bool {
        self.received_at > self.opened_at
    }

    /// Until when an answer to its call is waited for.
    pub(super) fn kept_until(&self) -> Instant {
        self.opened_at + self.kept_for.duration()
    }

    /// For how long nothing has arrived.
    pub(super) fn silent_for(&self, now: Instant) -> Duration {
        now.duration_since(self.received_at)
    }

    /// Whether its call requests changes at once.
    pub(super) fn requests_changes(&self) -> bool {
        matches!(self.request, ListRequest::ChangesAfter(_))
    }

    /// Whether it has sent a list, and now sends changes.
    pub(super) fn is_watch_open(&self) -> bool {
        self.has_list && matches!(self.stage, Stage::WatchLines)
    }

    /// The size of a list that has not arrived completely.
    pub(super) fn partial_list_bytes(&self) -> usize {
        self.text.bytes.len()
    }

    fn send(&mut self, path: &str, address: SocketAddrV4, next: Stage) -> Result<()> {
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        (&self.stream).write_all(request.as_bytes())?;
        self.stage = next;
        Ok(())
    }

    fn request_watch(&mut self, after: u64, address: SocketAddrV4) -> Result<()> {
        self.send(&format!("/api/targets?watch=1&after={after}"), address, Stage::WatchHead)
    }

    /// Handles an event. The error is the reason why the connection ends.
    pub(super) fn handle_event(&mut self, watch: &mut RunningWatch) -> Result<()> {
        if matches!(self.stage, Stage::Connecting) {
            if !finish_connecting(&self.stream)? {
                return Ok(());
            }
            match self.request {
                ListRequest::ChangesAfter(index) => self.request_watch(index, watch.address)?,
                ListRequest::WholeList => self.send("/api/targets", watch.address, Stage::ListHead)?,
            }
        }
        loop {
            match self.buffer.fill(&mut &self.stream) {
                Ok(0) => break,
                Ok(_) => self.process_read(watch)?,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error.into()),
            }
        }
        if self.text.has_begun() {
            watch.receive_list(&self.text.take())?;
        }
        bail!("it has ended")
    }

    /// Processes the bytes of one read.
    fn process_read(&mut self, watch: &mut RunningWatch) -> Result<()> {
        self.received_at = Instant::now();
        let lists_before = watch.lists_received;
        self.parse_buffer(watch)?;
        let has_partial = !self.buffer.bytes().is_empty() || self.text.has_begun();
        // If this read completed a list, a partial one behind it began to arrive just now.
        let since =
            self.partial_since.filter(|_| watch.lists_received == lists_before).unwrap_or(self.received_at);
        self.partial_since = has_partial.then_some(since);
        ensure!(self.buffer.bytes().len() <= MAX_LIST_BYTES, "over {MAX_LIST_BYTES} bytes in one piece");
        Ok(())
    }

    /// Parses everything in the buffer that is complete.
    fn parse_buffer(&mut self, watch: &mut RunningWatch) -> Result<()> {
        while self.parse_next(watch)? {}
        Ok(())
    }

    /// Parses the next piece that the stage expects; false while it is incomplete.
    fn parse_next(&mut self, watch: &mut RunningWatch) -> Result<bool> {
        match self.stage {
            Stage::Connecting => Ok(false),
            Stage::ListHead | Stage::WatchHead => self.parse_head(),
            Stage::ListBody(BodyFraming::Length(length)) => self.parse_list_body(length, watch),
            Stage::ListBody(BodyFraming::Chunked) => self.parse_list_chunk(watch),
            Stage::WatchLines => self.parse_watch_chunk(watch),
        }
    }

    fn parse_head(&mut self) -> Result<bool> {
        let head = http::parse_response_head(self.buffer.bytes()).map_err(Error::msg)?;
        let Some(head) = head else { return Ok(false) };
        self.buffer.consume(head.used);
        ensure!(head.status == 200, "status {}", head.status);
        if matches!(self.stage, Stage::ListHead) {
            self.stage = Stage::ListBody(head.framing);
        } else {
            self.stage = Stage::WatchLines;
            ensure!(head.framing == BodyFraming::Chunked, "the watch is not chunked");
        }
        Ok(true)
    }

    /// Parses the whole list from a body of this length.
    fn parse_list_body(&mut self, length: usize, watch: &mut RunningWatch) -> Result<bool> {
        ensure!(length <= MAX_LIST_BYTES, "a list over {MAX_LIST_BYTES} bytes");
        let Some(body) = self.buffer.bytes().get(..length) else { return Ok(false) };
        watch.receive_list(body)?;
        self.buffer.consume(length);
        self.has_list = true;
        self.request_watch(watch.index.unwrap_or(0), watch.address)?;
        Ok(true)
    }

    /// Parses one chunk of the whole list. The last chunk is empty.
    fn parse_list_chunk(&mut self, watch: &mut RunningWatch) -> Result<bool> {
        let Some(data) = self.next_chunk()? else { return Ok(false) };
        if data.is_empty() {
            watch.receive_list(&self.text.take())?;
            self.has_list = true;
            self.request_watch(watch.index.unwrap_or(0), watch.address)?;
        } else {
            self.text.bytes.extend(data);
            ensure!(self.text.bytes.len() <= MAX_LIST_BYTES, "a list over {MAX_LIST_BYTES} bytes");
        }
        Ok(true)
    }

    /// Parses one chunk of the watch, which may hold several lines, or a part of one.
    fn parse_watch_chunk(&mut self, watch: &mut RunningWatch) -> Result<bool> {
        let Some(data) = self.next_chunk()? else { return Ok(false) };
        ensure!(!data.is_empty(), "it has ended the watch");
        // An empty line counts too: it states that the list has not changed.
        watch.status.last_received_ms.store(watch.messages.now() as u64, Ordering::Release);
        self.parse_lines(&data, watch)?;
        Ok(true)
    }

    /// The data of the next chunk; `None` while it is incomplete.
    fn next_chunk(&mut self) -> Result<Option<Vec<u8>>> {
        let chunk = http::parse_chunk(self.buffer.bytes()).map_err(Error::msg)?;
        let Some(Chunk { data, used }) = chunk else { return Ok(None) };
        let data = data.to_vec();
        self.buffer.consume(used);
        Ok(Some(data))
    }

    fn parse_lines(&mut self, data: &[u8], watch: &mut RunningWatch) -> Result<()> {
        for byte in data {
            if let Some(text) = self.text.push(*byte) {
                if !text.iter().all(u8::is_ascii_whitespace) {
                    watch.receive_list(&text)?;
                }
                // An empty line says nothing of a list that is not held.
                self.has_list = watch.index.is_some();
            }
        }
        ensure!(self.text.bytes.len() <= MAX_LIST_BYTES, "a line over {MAX_LIST_BYTES} bytes");
        Ok(())
    }
}
