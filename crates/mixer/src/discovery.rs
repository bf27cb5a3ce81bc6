//! Watches the searcher list and forwards what discovery sends. Each watch is one thread. It does not depend on
//! a single connection: while its connection can't be trusted, it opens others as well and uses the first that
//! sends a list.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Error, Result, bail, ensure};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use tracing::{debug, warn};

pub use pewterwharf_terms::list::{Entry, List, parse_list};

use crate::buffer::{Buffer, MemoryBudget};
use crate::http::{self, BodyFraming, Chunk};
use crate::inputs::{Input, WatchNumber};
use crate::messages::MessageSender;
use crate::stream::finish_connecting;

/// Discovery sends an empty line on a watch every 2 s. A connection that has sent nothing for this long is no
/// longer trusted, and others are opened beside it. Changes that it misses count as known to the mixer 6 s
/// after its last line, so another connection still has over 3 s to deliver them.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);
/// A connection that stops in the middle of a line is no longer trusted after this time.
const LINE_TIMEOUT: Duration = Duration::from_millis(100);
/// A connection whose list is not complete after this time is no longer trusted. [`LINE_TIMEOUT`] alone would
/// not do, as a list that arrives byte by byte renews it with each byte. The changes in such a list count as
/// known to the mixer 6 s after discovery had them.
const LIST_TIMEOUT: Duration = Duration::from_millis(1000);
/// While no connection can be trusted, another is opened this often. When discovery is back after an outage,
/// its list thus arrives well within the 250 ms of grace for a drain, whether discovery answers earlier
/// requests or only new ones.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of connections that have sent no list yet. The oldest is kept for up to [`SILENCE_TIMEOUT`],
/// in case discovery is slow to start, and the youngest is replaced by the next, in case discovery answers no
/// request that was sent while it was down.
const MAX_ATTEMPTS: usize = 2;
/// How often a watch checks whether it is still needed.
const STATUS_CHECK_INTERVAL: Duration = Duration::from_millis(250);
const MAX_EVENTS: usize = 8;

/// Maximum size of a line or a list. It is enough for thousands of searchers.
const MAX_LIST_BYTES: usize = 4 << 20;

/// The numbers of the watches that are needed: the newest, and the one whose lists are used. An older watch
/// runs until a newer one has sent a list.
#[derive(Default)]
pub struct WatchStatus {
    pub newest: AtomicU64,
    pub active: AtomicU64,
    /// When a needed watch last received anything, in whole milliseconds; zero before.
    pub last_received_ms: AtomicU64,
}

impl WatchStatus {
    fn is_needed(&self, number: WatchNumber) -> bool {
        self.newest.load(Ordering::Acquire) == number || self.active.load(Ordering::Acquire) == number
    }
}

/// A watch to be started.
pub struct Watch {
    pub number: WatchNumber,
    /// The address of discovery.
    pub address: SocketAddrV4,
    /// The version of the list that is held, if it is one of this discovery service.
    pub index: Option<u64>,
}

impl Watch {
    /// Runs for as long as the watch is needed and the process runs.
    pub fn run(self, status: &WatchStatus, messages: &MessageSender) {
        let poll = loop {
            match Poll::new() {
                Ok(poll) => break poll,
                // No descriptor is left for now.
                Err(error) => warn!("no poll for a watch of discovery: {error}"),
            }
            std::thread::sleep(STATUS_CHECK_INTERVAL);
        };
        let Self { number, address, index } = self;
        let mut watch = RunningWatch {
            poll,
            number,
            address,
            index,
            budget: MemoryBudget::new(2 * MAX_LIST_BYTES),
            connections: BTreeMap::new(),
            last_id: 0,
            lists_received: 0,
            status,
            messages,
        };
        if let Err(error) = watch.run() {
            debug!("watch {number} has ended: {error:#}");
        }
    }
}

struct RunningWatch<'a> {
    poll: Poll,
    number: WatchNumber,
    address: SocketAddrV4,
    index: Option<u64>,
    budget: MemoryBudget,
    /// The oldest first: at most one that has sent a list, and attempts at a better one.
    connections: BTreeMap<usize, Connection>,
    last_id: usize,
    lists_received: u64,
    status: &'a WatchStatus,
    messages: &'a MessageSender,
}

impl RunningWatch<'_> {
    fn run(&mut self) -> Result<()> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        let mut next_attempt = Instant::now();
        while self.status.is_needed(self.number) {
            let now = Instant::now();
            let trusted_until = self.connections.values().filter_map(|c| c.trusted_until(now)).max();
            if trusted_until.is_some() {
                self.connections.retain(|_, connection| connection.has_list); // no other is needed
            } else if now >= next_attempt {
                next_attempt = now + ATTEMPT_INTERVAL;
                self.attempt(now);
            }
            let wait_until = trusted_until.unwrap_or(next_attempt);
            let wait = wait_until.saturating_duration_since(now).min(STATUS_CHECK_INTERVAL);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                other => other?,
            }
            for event in &events {
                self.handle_event(event.token().0)?;
            }
        }
        Ok(())
    }

    /// Opens one more connection, in place of another if there are too many.
    fn attempt(&mut self, now: Instant) {
        self.make_room_for_attempt(now);
        self.last_id += 1;
        debug!("requests the changes after {:?} from discovery at {}", self.index, self.address);
        match self.connect(now) {
            Ok(connection) => drop(self.connections.insert(self.last_id, connection)),
            Err(error) => debug!("discovery at {}: {error}", self.address),
        }
    }

    /// Ends the connections that have sent no list for [`SILENCE_TIMEOUT`] since they were opened, and if there
    /// are still too many without a list, the youngest of those.
    fn make_room_for_attempt(&mut self, now: Instant) {
        // A watch that is being replaced leaves the file descriptors to the newer one.
        let is_newest = self.status.newest.load(Ordering::Acquire) == self.number;
        let max_attempts = if is_newest { MAX_ATTEMPTS } else { 1 };
        self.connections.retain(|_, c| c.has_list || now.duration_since(c.opened_at) < SILENCE_TIMEOUT);
        let attempts: Vec<usize> =
            self.connections.iter().filter(|(_, c)| !c.has_list).map(|(id, _)| *id).collect();
        if attempts.len() >= max_attempts
            && let Some(youngest) = attempts.last()
        {
            self.connections.remove(youngest);
        }
    }

    fn connect(&self, now: Instant) -> Result<Connection> {
        let mut stream = TcpStream::connect(SocketAddr::V4(self.address))?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(self.last_id), interest)?;
        Ok(Connection {
            stream,
            buffer: Buffer::new(&self.budget),
            stage: Stage::Connecting,
            opened_at: now,
            received_at: now,
            partial_since: None,
            text: ListText::default(),
            has_list: false,
        })
    }

    /// Handles an event on a connection; fails once the service has ended.
    fn handle_event(&mut self, id: usize) -> Result<()> {
        let Some(mut connection) = self.connections.remove(&id) else { return Ok(()) };
        let index_before = self.index;
        let had_list = connection.has_list;
        let outcome = connection.handle_event(self);
        if connection.has_list && !had_list {
            // Its list is newer than anything that the other connections have sent.
            self.connections.clear();
        }
        match outcome {
            Ok(()) => drop(self.connections.insert(id, connection)),
            Err(error) => {
                debug!("discovery at {}: {error:#}, version {index_before:?} before", self.address);
                ensure!(self.messages.send(Input::WatchLost), "the service has ended");
            }
        }
        Ok(())
    }

    fn receive_list(&mut self, text: &[u8]) -> Result<()> {
        let read = serde_json::from_slice(text).context("not JSON").and_then(|value| parse_list(&value));
        let list = read.inspect_err(|error| warn!("discovery sent a line that can't be read: {error:#}"))?;
        self.index = Some(list.index);
        self.lists_received += 1;
        self.messages.send(Input::List { watch: self.number, list });
        Ok(())
    }
}

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
struct Connection {
    stream: TcpStream,
    buffer: Buffer,
    stage: Stage,
    opened_at: Instant,
    /// When anything last arrived.
    received_at: Instant,
    /// Since when a list has been arriving that is not whole yet.
    partial_since: Option<Instant>,
    text: ListText,
    /// It has sent a list, or that there is nothing new.
    has_list: bool,
}

impl Connection {
    /// The time until which this connection is trusted, so that no other is opened; `None` if it is not trusted
    /// now.
    fn trusted_until(&self, now: Instant) -> Option<Instant> {
        let until = match self.partial_since {
            Some(since) => (self.received_at + LINE_TIMEOUT).min(since + LIST_TIMEOUT),
            None => self.received_at + SILENCE_TIMEOUT,
        };
        (self.has_list && until > now).then_some(until)
    }

    fn request(&mut self, path: &str, address: SocketAddrV4, next: Stage) -> Result<()> {
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        (&self.stream).write_all(request.as_bytes())?;
        self.stage = next;
        Ok(())
    }

    fn request_watch(&mut self, watch: &RunningWatch) -> Result<()> {
        let after = watch.index.unwrap_or(0);
        self.request(&format!("/api/targets?watch=1&after={after}"), watch.address, Stage::WatchHead)
    }

    /// Handles an event. The error is the reason why the connection ends.
    fn handle_event(&mut self, watch: &mut RunningWatch) -> Result<()> {
        if matches!(self.stage, Stage::Connecting) {
            if !finish_connecting(&self.stream)? {
                return Ok(());
            }
            match watch.index {
                // A list that is held is from another discovery service, which numbers its versions
                // independently: the whole list is requested.
                None => self.request("/api/targets", watch.address, Stage::ListHead)?,
                Some(_) => self.request_watch(watch)?,
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
        self.request_watch(watch)?;
        Ok(true)
    }

    /// Parses one chunk of the whole list. The last chunk is empty.
    fn parse_list_chunk(&mut self, watch: &mut RunningWatch) -> Result<bool> {
        let Some(data) = self.next_chunk()? else { return Ok(false) };
        if data.is_empty() {
            watch.receive_list(&self.text.take())?;
            self.has_list = true;
            self.request_watch(watch)?;
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
                self.has_list = true;
            }
        }
        ensure!(self.text.bytes.len() <= MAX_LIST_BYTES, "a line over {MAX_LIST_BYTES} bytes");
        Ok(())
    }
}

/// The text of a list as it arrives: one line, or several if the value is indented.
#[derive(Default)]
struct ListText {
    bytes: Vec<u8>,
    /// Number of open brackets.
    depth: usize,
    in_string: bool,
    after_backslash: bool,
    /// The length at which the text was last parsed.
    parsed_length: usize,
}

impl ListText {
    /// Adds a byte. Returns the text at the end of a line if it is a complete value, empty, or invalid.
    fn push(&mut self, byte: u8) -> Option<Vec<u8>> {
        self.bytes.push(byte);
        match byte {
            b'\n' if self.depth == 0 || self.is_invalid() => return Some(self.take()),
            _ if self.after_backslash => self.after_backslash = false,
            b'\\' => self.after_backslash = self.in_string,
            b'"' => self.in_string = !self.in_string,
            b'{' | b'[' if !self.in_string => self.depth += 1,
            b'}' | b']' if !self.in_string => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        None
    }

    /// Whether the text is invalid, whatever follows. As lists are long, the text is parsed again only once its
    /// length has doubled.
    fn is_invalid(&mut self) -> bool {
        if self.bytes.len() < 2 * self.parsed_length {
            return false;
        }
        self.parsed_length = self.bytes.len();
        serde_json::from_slice::<serde_json::Value>(&self.bytes).is_err_and(|error| !error.is_eof())
    }

    fn has_begun(&self) -> bool {
        !self.bytes.iter().all(u8::is_ascii_whitespace)
    }

    fn take(&mut self) -> Vec<u8> {
        std::mem::take(self).bytes
    }
}
