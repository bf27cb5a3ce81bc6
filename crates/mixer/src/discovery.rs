//! Watches the searcher list and forwards what discovery sends. Each watch is one thread. It does not depend on
//! a single connection: while its connection can't be trusted, it makes further calls, each on a connection of
//! its own, and uses the first that sends a list. [`call_schedule`] decides how often, and which calls are kept.

pub mod call_schedule;
mod connection;
mod list_text;

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use tracing::{debug, warn};

pub use pewterwharf_terms::list::{Entry, List, parse_list};

use crate::buffer::{Buffer, MemoryBudget};
use crate::inputs::{Input, WatchNumber};
use crate::messages::MessageSender;
use call_schedule::{CallSchedule, KeptFor, Pace, Retention};
use connection::Connection;

/// Discovery sends an empty line on a watch every 2 s, and a mixer may be held up for 0.15 s. A connection that has
/// sent nothing for this long is no longer trusted, and others are opened beside it. Changes that it misses count
/// as known to the mixer 6 s after its last line, so another connection has over 3.5 s to deliver them.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2300);
/// How often a watch checks whether it is still needed.
const STATUS_CHECK_INTERVAL: Duration = Duration::from_millis(250);
const MAX_EVENTS: usize = 8;

/// The maximum number of file descriptors of the connections of both watches: calls in flight, one more that has
/// begun to answer, and one that has sent a list.
pub(crate) const MAX_CONNECTIONS: usize =
    Retention::Full.max_calls() + Retention::Reduced.max_calls() + 2 * 2;

/// Maximum size of a line or a list. It is enough for thousands of searchers.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Maximum size of the partial lists of all connections of a watch.
const MAX_PARTIAL_LIST_BYTES: usize = 2 * MAX_LIST_BYTES;

/// The numbers of the watches that are needed: the newest, and the one whose lists are used. An older watch
/// runs until a newer one has sent a list.
#[derive(Default)]
pub struct WatchStatus {
    pub newest: AtomicU64,
    pub active: AtomicU64,
    /// When a needed watch last received anything, in whole milliseconds; zero before.
    pub last_received_ms: AtomicU64,
    /// Scans are sent by some list, which may be one from before the start.
    pub list_in_use: AtomicBool,
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
    /// The version of the list that is held, if it is one of this discovery service; zero if no list is held.
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
            has_requested_list: false,
            budget: MemoryBudget::new(2 * MAX_LIST_BYTES),
            connections: BTreeMap::new(),
            schedule: None,
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

/// What a call requests first.
#[derive(Clone, Copy)]
enum ListRequest {
    /// The changes after this version and all further ones, on one connection.
    ChangesAfter(u64),
    /// The whole list. The changes after it are requested once it has arrived.
    WholeList,
}

struct RunningWatch<'a> {
    poll: Poll,
    number: WatchNumber,
    address: SocketAddrV4,
    /// The version of the list that is held; `None` if it is not one of this discovery service.
    index: Option<u64>,
    /// Whether the latest call that is kept for long has requested the whole list.
    has_requested_list: bool,
    budget: MemoryBudget,
    /// The oldest first: at most one that has sent a list, and calls in flight.
    connections: BTreeMap<usize, Connection>,
    /// The calls since no connection is trusted; `None` while one is.
    schedule: Option<CallSchedule>,
    last_id: usize,
    lists_received: u64,
    status: &'a WatchStatus,
    messages: &'a MessageSender,
}

impl RunningWatch<'_> {
    fn run(&mut self) -> Result<()> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        while self.status.is_needed(self.number) {
            let now = Instant::now();
            let wait_until = self.update_calls(now);
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

    /// Makes the call that is due, and ends those that are not kept. Returns when this has to be done next.
    fn update_calls(&mut self, now: Instant) -> Instant {
        let trusted_until = self.connections.values().filter_map(|c| c.trusted_until(now)).max();
        if let Some(trusted_until) = trusted_until {
            self.schedule = None;
            self.end_needless_calls();
            return trusted_until;
        }
        let mut schedule = self.schedule.unwrap_or_else(|| CallSchedule::new(now));
        if now >= schedule.next_call_at(self.pace()) {
            let retention = self.retention();
            self.end_calls(now, retention);
            let kept_for = schedule.count_call(now, retention);
            if let Err(error) = self.call(kept_for, now) {
                debug!("discovery at {}: {error:#}", self.address);
                schedule.note_failure(kept_for);
            }
        }
        self.schedule = Some(schedule);
        schedule.next_call_at(self.pace())
    }

    /// Ends the calls in flight, as a connection is trusted. While that one has sent a list and waits for its watch
    /// to be answered, the other calls for changes are kept: they may be answered earlier.
    fn end_needless_calls(&mut self) {
        let is_watch_open = self.connections.values().any(Connection::is_watch_open);
        self.connections.retain(|_, call| call.has_list || call.requests_changes() && !is_watch_open);
    }

    fn pace(&self) -> Pace {
        let is_call_in_flight = self.connections.values().any(|connection| !connection.has_list);
        match is_call_in_flight && !self.status.list_in_use.load(Ordering::Acquire) {
            true => Pace::Patient,
            false => Pace::Urgent,
        }
    }

    fn retention(&self) -> Retention {
        match self.status.newest.load(Ordering::Acquire) == self.number {
            true => Retention::Full,
            false => Retention::Reduced,
        }
    }

    /// Ends the calls that have not been answered for as long as they are kept, and the youngest if there is no
    /// room for another. The oldest call that has begun to answer is kept while more arrives.
    fn end_calls(&mut self, now: Instant, retention: Retention) {
        let mut has_answering = false;
        let mut calls_kept = 0;
        self.connections.retain(|_, connection| {
            if connection.has_list {
                return true;
            }
            if connection.has_begun_to_answer() && !has_answering {
                has_answering = true;
                return connection.silent_for(now) < KeptFor::Long.duration();
            }
            calls_kept += 1;
            now < connection.kept_until() && calls_kept < retention.max_calls()
        });
    }

    /// What a call requests that is made now. As long as no list of this discovery service is held, the calls that
    /// are kept for long request the whole list and the changes in turn: slow discovery then sends changes soon
    /// after the list.
    fn choose_request(&mut self, kept_for: KeptFor) -> ListRequest {
        if let Some(index) = self.index {
            return ListRequest::ChangesAfter(index);
        }
        if kept_for != KeptFor::Short {
            self.has_requested_list = !self.has_requested_list;
            if !self.has_requested_list {
                return ListRequest::ChangesAfter(0);
            }
        }
        ListRequest::WholeList
    }

    /// Calls discovery on a new connection.
    fn call(&mut self, kept_for: KeptFor, now: Instant) -> Result<()> {
        self.last_id += 1;
        debug!("requests the changes after {:?} from discovery at {}", self.index, self.address);
        let request = self.choose_request(kept_for);
        let connection = self.connect(request, kept_for, now)?;
        self.connections.insert(self.last_id, connection);
        Ok(())
    }

    fn connect(&self, request: ListRequest, kept_for: KeptFor, now: Instant) -> Result<Connection> {
        let mut stream = TcpStream::connect(SocketAddr::V4(self.address))?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(self.last_id), interest)?;
        Ok(Connection::new(stream, Buffer::new(&self.budget), request, now, kept_for))
    }

    /// Handles an event on a connection; fails once the service has ended.
    fn handle_event(&mut self, id: usize) -> Result<()> {
        let Some(mut connection) = self.connections.remove(&id) else { return Ok(()) };
        let index_before = self.index;
        let had_list = connection.has_list;
        let outcome = connection.handle_event(self).and_then(|()| self.check_partial_lists(&connection));
        if connection.has_list && !had_list {
            debug!("discovery at {} has answered after {:.1?}", self.address, connection.opened_at.elapsed());
            // Its list is newer than anything that the other connections have sent.
            let is_watch_open = connection.is_watch_open();
            self.connections.retain(|_, call| !call.has_list && call.requests_changes() && !is_watch_open);
        }
        match outcome {
            Ok(()) => drop(self.connections.insert(id, connection)),
            Err(error) => {
                debug!("discovery at {}: {error:#}, version {index_before:?} before", self.address);
                if let Some(schedule) = self.schedule.as_mut().filter(|_| !connection.has_list) {
                    schedule.note_failure(connection.kept_for);
                }
                ensure!(self.messages.send(Input::WatchLost), "the service has ended");
            }
        }
        Ok(())
    }

    /// Checks that the partial lists of all connections together are not too long.
    fn check_partial_lists(&self, latest: &Connection) -> Result<()> {
        let others = self.connections.values().map(Connection::partial_list_bytes).sum::<usize>();
        ensure!(
            others + latest.partial_list_bytes() <= MAX_PARTIAL_LIST_BYTES,
            "over {MAX_PARTIAL_LIST_BYTES} bytes of partial lists"
        );
        Ok(())
    }

    fn receive_list(&mut self, text: &[u8]) -> Result<()> {
        let read = serde_json::from_slice(text).context("not JSON").and_then(|value| parse_list(&value));
        let list = read.inspect_err(|error| warn!("discovery sent a line that can't be read: {error:#}"))?;
        if self.index.is_none() && !list.whole {
            bail!("it has sent changes, and no list of it is held");
        }
        self.index = Some(list.index);
        self.lists_received += 1;
        self.messages.send(Input::List { watch: self.number, list });
        Ok(())
    }
}
