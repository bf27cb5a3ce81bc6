//! Watches the searcher list and forwards what discovery sends. Each watch is one thread. It does not depend on
//! a single connection: while its connection can't be trusted, it opens others as well and uses the first that
//! sends a list.

mod connection;
mod list_text;

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use tracing::{debug, warn};

pub use pewterwharf_terms::list::{Entry, List, parse_list};

use crate::buffer::{Buffer, MemoryBudget};
use crate::inputs::{Input, WatchNumber};
use crate::messages::MessageSender;
use connection::Connection;

/// Discovery sends an empty line on a watch every 2 s. A connection that has sent nothing for this long is no
/// longer trusted, and others are opened beside it. Changes that it misses count as known to the mixer 6 s
/// after its last line, so another connection still has over 3 s to deliver them.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);
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
        Ok(Connection::new(stream, Buffer::new(&self.budget), now))
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
