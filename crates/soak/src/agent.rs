//! The discovery agent of one mixer as a process: lists, watches, and their faults.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, Builder};
use std::time::Duration;

use anyhow::Result;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::clock::{TimeMs, now_ms};
use crate::control::{self, AgentCommand, ListedSearcher};
use crate::record::{self, Event, Recorder, Status};

const STACK_BYTES: usize = 128 * 1024;
/// While nothing changes, a watch sends an empty line this often.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// How often a waiting thread checks the state.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The size of the pieces of a slow list, in bytes.
const SLOW_PIECE_BYTES: usize = 40;
/// The delay before each piece of a slow list.
const SLOW_PIECE_DELAY: Duration = Duration::from_millis(2);

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    pub folder: String,
    pub mixer: usize,
    /// The addresses between which discovery moves; it begins at the first.
    pub discovery_addresses: [SocketAddr; 2],
}

/// A span in which open watches send nothing.
#[derive(Default)]
struct Silence {
    from: TimeMs,
    until: TimeMs,
}

/// A change of the list and the version that it leads to.
struct Change {
    index: u64,
    entries: Vec<ListedSearcher>,
}

#[derive(Default)]
struct State {
    index: u64,
    listed: BTreeMap<String, ListedSearcher>,
    changes: Vec<Change>,
    /// Changes that are not yet applied, as discovery is down.
    pending: Vec<Vec<ListedSearcher>>,
    down_until: TimeMs,
    slow_until: TimeMs,
    /// Applies to watches that began before it.
    silence: Silence,
    /// Watches that began before this time have ended.
    reset_at: TimeMs,
    /// The index of discovery's current address.
    active_address: usize,
}

struct Agent {
    setup: Setup,
    recorder: Recorder,
    state: Mutex<State>,
    changed: Condvar,
}

/// Serves until the runner ends.
pub fn serve(setup: Setup) -> Result<()> {
    let recorder = record::create_recorder(&setup.folder, &format!("agent-{}", setup.mixer))?;
    let addresses = setup.discovery_addresses;
    let agent = Arc::new(Agent { setup, recorder, state: Mutex::default(), changed: Condvar::new() });
    for (address_index, address) in addresses.into_iter().enumerate() {
        let (listener, agent) = (TcpListener::bind(address)?, agent.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = agent.clone();
                // A connection for which there is no thread is closed.
                let _ = Builder::new()
                    .stack_size(STACK_BYTES)
                    .spawn(move || drop(agent.serve_connection(stream, address_index)));
            }
        });
    }
    let applying = agent.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(POLL_INTERVAL);
            applying.apply_pending_changes();
        }
    });
    control::receive_commands(|command| agent.handle(command));
    Ok(())
}

impl Agent {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, command: AgentCommand) {
        let now = now_ms();
        let mut state = self.state();
        match command {
            AgentCommand::Change(entries) => state.pending.push(entries),
            AgentCommand::Silent(ms) => state.silence = Silence { from: now, until: now + ms as f64 },
            AgentCommand::Down(ms) => state.down_until = now + ms as f64,
            AgentCommand::Reset => state.reset_at = now,
            AgentCommand::Slow(ms) => state.slow_until = now + ms as f64,
            AgentCommand::Move => state.active_address = 1 - state.active_address,
        }
        drop(state);
        self.apply_pending_changes();
        self.changed.notify_all();
    }

    /// Applies the pending changes, unless discovery is down.
    fn apply_pending_changes(&self) {
        let mut state = self.state();
        if now_ms() < state.down_until || state.pending.is_empty() {
            return;
        }
        for entries in std::mem::take(&mut state.pending) {
            state.index += 1;
            let index = state.index;
            for entry in &entries {
                match entry.status {
                    Status::Removed => drop(state.listed.remove(&entry.name)),
                    _ => drop(state.listed.insert(entry.name.clone(), entry.clone())),
                }
            }
            let searchers = entries.iter().map(|entry| (entry.name.clone(), entry.status)).collect();
            let mixer = self.setup.mixer;
            self.recorder.record(&Event::ListReceived { at: now_ms(), mixer, index, searchers });
            state.changes.push(Change { index, entries });
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Answers requests for the whole list until one starts a watch, then serves that.
    fn serve_connection(&self, mut stream: TcpStream, address_index: usize) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let begun_at = now_ms();
        let mut input = BufReader::new(stream.try_clone()?);
        loop {
            let (mut request_line, mut line) = (String::new(), String::new());
            if input.read_line(&mut request_line)? == 0 {
                return Ok(());
            }
            while input.read_line(&mut line)? > 2 {
                line.clear();
            }
            while now_ms() < self.state().down_until || self.state().active_address != address_index {
                thread::sleep(POLL_INTERVAL);
            }
            if request_line.contains("watch=1") {
                let after =
                    request_line.split("after=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
                return self.serve_watch(&mut stream, address_index, begun_at, after.unwrap_or(0));
            }
            let (index, body) = self.snapshot();
            self.write(
                &mut stream,
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes(),
            )?;
            self.recorder.record(&Event::ListSent { at: now_ms(), mixer: self.setup.mixer, index });
        }
    }

    /// The version of the list, and the whole list.
    fn snapshot(&self) -> (u64, String) {
        let state = self.state();
        let entries: Vec<&ListedSearcher> = state.listed.values().collect();
        (state.index, discovery_list(state.index, true, &entries).to_string())
    }

    fn serve_watch(
        &self,
        stream: &mut TcpStream,
        address_index: usize,
        begun_at: TimeMs,
        mut after: u64,
    ) -> io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut is_first = true;
        loop {
            let state = self.state();
            let (state, _) = self
                .changed
                .wait_timeout_while(state, KEEPALIVE_INTERVAL, |state| {
                    !is_first && state.index == after && state.reset_at < begun_at
                })
                .unwrap_or_else(PoisonError::into_inner);
            if state.reset_at >= begun_at {
                return Ok(());
            }
            if state.active_address != address_index || Self::is_silent(&state, begun_at) {
                drop(state);
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            let lines = Self::watch_lines(&state, is_first, after);
            let index = state.index;
            drop(state);
            for line in &lines {
                self.write(stream, format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
            }
            self.recorder.record(&Event::ListSent { at: now_ms(), mixer: self.setup.mixer, index });
            is_first = false;
            after = index;
        }
    }

    fn is_silent(state: &State, begun_at: TimeMs) -> bool {
        let now = now_ms();
        now < state.down_until || begun_at < state.silence.from && now < state.silence.until
    }

    /// The next lines of a watch that has this version; an empty line if nothing changed.
    fn watch_lines(state: &State, is_first: bool, after: u64) -> Vec<String> {
        if is_first && (after == 0 || after > state.index) {
            let entries: Vec<&ListedSearcher> = state.listed.values().collect();
            return vec![format!("{}\n", discovery_list(state.index, true, &entries))];
        }
        let changes = state.changes.iter().filter(|change| change.index > after);
        let lines: Vec<String> = changes
            .map(|change| {
                let entries = change.entries.iter().collect::<Vec<_>>();
                format!("{}\n", discovery_list(change.index, false, &entries))
            })
            .collect();
        if lines.is_empty() { vec!["\n".to_owned()] } else { lines }
    }

    /// Writes bytes, with a delay before each piece while the agent is slow.
    fn write(&self, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        for piece in bytes.chunks(SLOW_PIECE_BYTES) {
            if now_ms() < self.state().slow_until {
                thread::sleep(SLOW_PIECE_DELAY);
            }
            stream.write_all(piece)?;
        }
        Ok(())
    }
}

/// A list in discovery's format.
pub fn discovery_list(index: u64, is_snapshot: bool, entries: &[&ListedSearcher]) -> Value {
    let endpoints: Vec<Value> = entries
        .iter()
        .map(|entry| {
            json!({"name": entry.name, "address": entry.address, "zone": "hall", "type": "toy", "group": entry.group,
                   "status": entry.status, "weight": 1.0, "since_ms": entry.since_ms})
        })
        .collect();
    json!({"index": index, "snapshot": is_snapshot, "endpoints": endpoints})
}
