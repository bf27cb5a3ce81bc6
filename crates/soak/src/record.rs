//! What the processes of a run saw, as lines of JSON, each written at once so that a kill loses none.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// How a searcher is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    Up,
    Draining,
    Removed,
}

/// How a client's request came to its end without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionEnd {
    /// The mixer closed the connection.
    Closed,
    /// It was reset.
    Reset,
}

/// One observation. All times are milliseconds of [`crate::clock`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event")]
pub enum Event {
    /// A client wrote the last byte of a request; `fresh` is the first on its connection, `behind` the first of those that were
    /// written with it before.
    Sent {
        at: f64,
        id: String,
        mixer: usize,
        class: String,
        deadline_ms: f64,
        fresh: bool,
        behind: Option<String>,
    },
    /// A client wrote the first half of a request, on a connection that stood; the rest follows much later.
    Begun { at: f64, id: String },
    /// It read the last byte of an answer.
    Answered { at: f64, id: String, status: u16, exact: bool, weight: f64, sound: bool },
    /// It closed the connection while it awaited the answer.
    ClientClosed { at: f64, id: String },
    /// The connection ended without a whole answer.
    ConnectionEnded { at: f64, id: String, how: ConnectionEnd, partly: bool },
    /// No answer came for long after the deadline, and the connection stands.
    Silent { at: f64, id: String },
    /// A client that stopped within a request: how long until it was answered or closed, none if it never was.
    Abandoned { at: f64, mixer: usize, ended_after_ms: Option<f64> },
    /// A client that rested was told an error it had not asked for.
    Unasked { at: f64, mixer: usize, line: String },
    /// A part left a mixer for a searcher: its frame's first and last byte, as the proxy between them read it.
    Attempt { at: f64, whole_at: f64, part: String, searcher: String, told_ms: f64, holds: bool },
    /// A mixer wrote the first byte of a part's frame, by its own system call: whatever was read of it, and when.
    Written { at: f64, part: String, told_ms: f64 },
    /// A searcher carried a part out.
    Ran { at: f64, part: String, searcher: String },
    /// The agent of a mixer has this change to the list.
    Held { at: f64, mixer: usize, index: u64, searchers: Vec<(String, Status)> },
    /// It has written the list up to this version to its mixer.
    Told { at: f64, mixer: usize, index: u64 },
    /// A fault, and until when it lasts.
    Trouble { at: f64, until: f64, what: String },
    /// A process of a mixer was started.
    Started { at: f64, mixer: usize },
    /// It first answered that it is ready.
    Ready { at: f64, mixer: usize },
    /// It was sent a signal.
    Signalled { at: f64, mixer: usize, signal: String },
    /// It ended; no status where a signal ended it.
    Exited { at: f64, mixer: usize, status: Option<i32>, expected: bool },
    /// One of its counters when the run ended, or when it ended itself.
    Counter { at: f64, mixer: usize, name: String, value: u64 },
    /// What it held when the run ended.
    Resources { at: f64, mixer: usize, descriptors: u64, threads: u64, peak_kb: u64 },
}

/// Writes events to one file.
pub struct Recorder(Mutex<File>);

impl Recorder {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Mutex::new(File::create(path)?)))
    }

    /// Writes one event; a run whose record can't be written is worth nothing.
    ///
    /// # Panics
    /// If the file can't be written.
    pub fn record(&self, event: &Event) {
        let mut line = serde_json::to_vec(event).expect("events can be written as JSON");
        line.push(b'\n');
        let mut file = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(&line).expect("the record can be written");
    }
}

/// Reads the events of all files of a folder.
pub fn read_all(folder: &Path) -> anyhow::Result<Vec<Event>> {
    let mut events = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "jsonl") {
            continue;
        }
        for line in BufReader::new(File::open(&path)?).lines() {
            events.push(serde_json::from_str(&line?)?);
        }
    }
    Ok(events)
}

/// The record of a process in a run's folder.
pub fn recorder(folder: &str, name: &str) -> anyhow::Result<Recorder> {
    let path = Path::new(folder).join(format!("{name}.jsonl"));
    if path.exists() {
        anyhow::bail!("{} stands already", path.display());
    }
    Ok(Recorder::create(&path)?)
}
