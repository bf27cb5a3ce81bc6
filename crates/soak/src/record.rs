//! The events that the processes of a run record, as lines of JSON. Each is written immediately, so that SIGKILL loses none.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use crate::clock::TimeMs;

/// The status of a searcher in discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    Up,
    Draining,
    Removed,
}

/// How a connection ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionEnd {
    /// The mixer closed the connection.
    Closed,
    /// The connection was reset.
    Reset,
}

/// One observation. All times are milliseconds of [`crate::clock`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event")]
pub enum Event {
    /// A client wrote the last byte of a request.
    Sent {
        at: TimeMs,
        id: String,
        mixer: usize,
        class: String,
        deadline_ms: f64,
        /// Whether this is the first request on its connection.
        #[serde(rename = "fresh")]
        is_first: bool,
        /// The first of the requests that were written before this one in the same batch.
        #[serde(rename = "behind")]
        pipelined_behind: Option<String>,
    },
    /// A client wrote the first half of a request on an open connection; the rest follows much later.
    #[serde(rename = "Begun")]
    HalfSent { at: TimeMs, id: String },
    /// The client read the last byte of an answer.
    Answered {
        at: TimeMs,
        id: String,
        status: u16,
        exact: bool,
        weight: f64,
        /// Whether the answer holds only what searchers computed for this request.
        #[serde(rename = "sound")]
        is_authentic: bool,
    },
    /// The client closed the connection while it waited for the answer.
    ClientClosed { at: TimeMs, id: String },
    /// The connection ended without a complete answer.
    ConnectionEnded {
        at: TimeMs,
        id: String,
        how: ConnectionEnd,
        /// Whether the beginning of an answer had arrived.
        #[serde(rename = "partly")]
        is_partial: bool,
    },
    /// No answer arrived until long after the deadline, and the connection is still open.
    #[serde(rename = "Silent")]
    Unanswered { at: TimeMs, id: String },
    /// A client that stopped within a request: how long until it was answered or closed, `None` if it never was.
    Abandoned { at: TimeMs, mixer: usize, ended_after_ms: Option<f64> },
    /// An idle client received an error without a request.
    #[serde(rename = "Unasked")]
    UnsolicitedError { at: TimeMs, mixer: usize, line: String },
    /// A part was sent to a searcher, with the times of its frame's first and last byte at the proxy in between.
    Attempt {
        at: TimeMs,
        #[serde(rename = "whole_at")]
        complete_at: TimeMs,
        part: String,
        searcher: String,
        /// The time that the searcher is given for its answer.
        #[serde(rename = "told_ms")]
        timeout_ms: f64,
        /// Whether the searcher holds the part's shard.
        #[serde(rename = "holds")]
        holds_shard: bool,
    },
    /// A mixer's own system call wrote the first byte of a part's frame, whether or not the searcher has read it.
    Written {
        at: TimeMs,
        part: String,
        #[serde(rename = "told_ms")]
        timeout_ms: f64,
    },
    /// A searcher executed a part.
    Ran { at: TimeMs, part: String, searcher: String },
    /// The agent of a mixer received this change of the list.
    #[serde(rename = "Held")]
    ListReceived { at: TimeMs, mixer: usize, index: u64, searchers: Vec<(String, Status)> },
    /// The agent sent the list up to this version to its mixer.
    #[serde(rename = "Told")]
    ListSent { at: TimeMs, mixer: usize, index: u64 },
    /// A fault, and when it ends.
    #[serde(rename = "Trouble")]
    Fault {
        at: TimeMs,
        until: TimeMs,
        /// The debug text of a [`crate::fault::Fault`].
        #[serde(rename = "what")]
        description: String,
    },
    /// A process of a mixer was started.
    Started { at: TimeMs, mixer: usize },
    /// The process answered for the first time that it is ready.
    Ready { at: TimeMs, mixer: usize },
    /// The process was sent a signal.
    Signalled { at: TimeMs, mixer: usize, signal: String },
    /// The process ended; there is no status if a signal ended it.
    Exited { at: TimeMs, mixer: usize, status: Option<i32>, expected: bool },
    /// One of the process's counters when the run ended, or when the process ended itself.
    Counter { at: TimeMs, mixer: usize, name: String, value: u64 },
    /// The resources that the process held when the run ended.
    Resources { at: TimeMs, mixer: usize, descriptors: u64, threads: u64, peak_kb: u64 },
}

/// Writes events to one file.
pub struct Recorder(Mutex<File>);

impl Recorder {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Mutex::new(File::create(path)?)))
    }

    /// Writes one event.
    ///
    /// # Panics
    /// If the file can't be written: a run without its record can't be checked.
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

/// Creates the record of a process in the folder of a run.
pub fn create_recorder(folder: &str, name: &str) -> anyhow::Result<Recorder> {
    let path = Path::new(folder).join(format!("{name}.jsonl"));
    if path.exists() {
        anyhow::bail!("{} already exists", path.display());
    }
    Ok(Recorder::create(&path)?)
}
