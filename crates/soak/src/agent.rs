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

use crate::clock::now_ms;
use crate::control::{self, AgentOrder, Listed};
use crate::record::{self, Event, Recorder, Status};

const STACK: usize = 128 * 1024;
/// As long as nothing changes, an empty line comes so often.
const EMPTY_LINE: Duration = Duration::from_secs(2);
/// How often who has to wait looks again.
const LOOK: Duration = Duration::from_millis(10);
/// Pieces of a slow list, and the time between two.
const SLOW_PIECE: usize = 40;
const SLOW_WAIT: Duration = Duration::from_millis(2);

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    pub folder: String,
    pub mixer: usize,
    /// Where discovery is, and where it moves to.
    pub places: [SocketAddr; 2],
}

#[derive(Default)]
struct State {
    index: u64,
    listed: BTreeMap<String, Listed>,
    /// Changes by their version.
    changes: Vec<(u64, Vec<Listed>)>,
    /// Changes that wait for discovery's return.
    waiting: Vec<Vec<Listed>>,
    down_until: f64,
    slow_until: f64,
    /// Watches begun before this time say nothing until then.
    silent: (f64, f64),
    /// Watches begun before this time have ended.
    reset_at: f64,
    /// Which of the two places is discovery's.
    place: usize,
}

struct Agent {
    setup: Setup,
    recorder: Recorder,
    state: Mutex<State>,
    changed: Condvar,
}

/// Serves until its runner has gone.
pub fn serve(setup: Setup) -> Result<()> {
    let recorder = record::recorder(&setup.folder, &format!("agent-{}", setup.mixer))?;
    let places = setup.places;
    let agent = Arc::new(Agent { setup, recorder, state: Mutex::default(), changed: Condvar::new() });
    for (place, at) in places.into_iter().enumerate() {
        let (listener, agent) = (TcpListener::bind(at)?, agent.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = agent.clone();
                // One that can't be served ends here.
                let _ = Builder::new().stack_size(STACK).spawn(move || drop(agent.connection(stream, place)));
            }
        });
    }
    let returning = agent.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(LOOK);
            returning.learn_what_waits();
        }
    });
    control::obey(|order| agent.obey(order));
    Ok(())
}

impl Agent {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn obey(&self, order: AgentOrder) {
        let now = now_ms();
        let mut state = self.state();
        match order {
            AgentOrder::Change(entries) => state.waiting.push(entries),
            AgentOrder::Silent(ms) => state.silent = (now, now + ms as f64),
            AgentOrder::Down(ms) => state.down_until = now + ms as f64,
            AgentOrder::Reset => state.reset_at = now,
            AgentOrder::Slow(ms) => state.slow_until = now + ms as f64,
            AgentOrder::Move => state.place = 1 - state.place,
        }
        drop(state);
        self.learn_what_waits();
        self.changed.notify_all();
    }

    /// Takes up the changes that have come, unless discovery is down.
    fn learn_what_waits(&self) {
        let mut state = self.state();
        if now_ms() < state.down_until || state.waiting.is_empty() {
            return;
        }
        for entries in std::mem::take(&mut state.waiting) {
            state.index += 1;
            let index = state.index;
            for entry in &entries {
                match entry.status {
                    Status::Removed => drop(state.listed.remove(&entry.name)),
                    _ => drop(state.listed.insert(entry.name.clone(), entry.clone())),
                }
            }
            let searchers = entries.iter().map(|entry| (entry.name.clone(), entry.status)).collect();
            self.recorder.record(&Event::Held { at: now_ms(), mixer: self.setup.mixer, index, searchers });
            state.changes.push((index, entries));
        }
        drop(state);
        self.changed.notify_all();
    }

    fn connection(&self, mut stream: TcpStream, place: usize) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let begun_at = now_ms();
        let mut input = BufReader::new(stream.try_clone()?);
        loop {
            let (mut request, mut line) = (String::new(), String::new());
            if input.read_line(&mut request)? == 0 {
                return Ok(());
            }
            while input.read_line(&mut line)? > 2 {
                line.clear();
            }
            while now_ms() < self.state().down_until || self.state().place != place {
                thread::sleep(LOOK);
            }
            if request.contains("watch=1") {
                let after =
                    request.split("after=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
                return self.watch(&mut stream, place, begun_at, after.unwrap_or(0));
            }
            let (index, whole) = self.whole();
            self.write(
                &mut stream,
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len()).as_bytes(),
            )?;
            self.recorder.record(&Event::Told { at: now_ms(), mixer: self.setup.mixer, index });
        }
    }

    fn whole(&self) -> (u64, String) {
        let state = self.state();
        let entries: Vec<&Listed> = state.listed.values().collect();
        (state.index, list(state.index, true, &entries).to_string())
    }

    fn watch(&self, stream: &mut TcpStream, place: usize, begun_at: f64, mut after: u64) -> io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut first = true;
        loop {
            let state = self.state();
            let (state, _) = self
                .changed
                .wait_timeout_while(state, EMPTY_LINE, |state| {
                    !first && state.index == after && state.reset_at < begun_at
                })
                .unwrap_or_else(PoisonError::into_inner);
            if state.reset_at >= begun_at {
                return Ok(());
            }
            if state.place != place || Self::is_silent(&state, begun_at) {
                drop(state);
                thread::sleep(LOOK);
                continue;
            }
            let lines = Self::lines(&state, first, after);
            let index = state.index;
            drop(state);
            for line in &lines {
                self.write(stream, format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
            }
            self.recorder.record(&Event::Told { at: now_ms(), mixer: self.setup.mixer, index });
            (first, after) = (false, index);
        }
    }

    fn is_silent(state: &State, begun_at: f64) -> bool {
        let now = now_ms();
        now < state.down_until || begun_at < state.silent.0 && now < state.silent.1
    }

    /// What a watch that holds a version is told; an empty line if nothing.
    fn lines(state: &State, first: bool, after: u64) -> Vec<String> {
        if first && (after == 0 || after > state.index) {
            let entries: Vec<&Listed> = state.listed.values().collect();
            return vec![format!("{}\n", list(state.index, true, &entries))];
        }
        let news = state.changes.iter().filter(|change| change.0 > after);
        let lines: Vec<String> = news
            .map(|(index, entries)| format!("{}\n", list(*index, false, &entries.iter().collect::<Vec<_>>())))
            .collect();
        if lines.is_empty() { vec!["\n".to_owned()] } else { lines }
    }

    /// Writes, slowly where it is told to be slow.
    fn write(&self, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        for piece in bytes.chunks(SLOW_PIECE) {
            if now_ms() < self.state().slow_until {
                thread::sleep(SLOW_WAIT);
            }
            stream.write_all(piece)?;
        }
        Ok(())
    }
}

/// A list in discovery's form.
pub fn list(index: u64, whole: bool, entries: &[&Listed]) -> Value {
    let endpoints: Vec<Value> = entries
        .iter()
        .map(|entry| {
            json!({"name": entry.name, "address": entry.address, "zone": "hall", "type": "toy", "group": entry.group,
                   "status": entry.status, "weight": 1.0, "since_ms": entry.since_ms})
        })
        .collect();
    json!({"index": index, "snapshot": whole, "endpoints": endpoints})
}
