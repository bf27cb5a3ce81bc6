//! The commands that the runner sends to a process on its standard input, each as a line of JSON.

use std::io::{BufRead, stdin};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::record::Status;

/// How a searcher treats parts. Records hold the names of these variants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum SearcherBehavior {
    #[default]
    Answers,
    /// Accepts parts and never answers.
    Hangs,
    /// Answers 503 without executing the part.
    Full,
    /// Executes the part and answers 500.
    Fails,
    /// Executes the part after a delay of up to 0.8 s.
    Slow,
    /// Answers for a part that was never sent.
    Spoils,
    /// Executes the part and resets the connection in place of the answer.
    Resets,
    /// Writes half of an answer and stops.
    Halves,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum SearcherCommand {
    SetBehavior(SearcherBehavior),
}

/// How a fault proxy treats its connections. Records hold the names of these variants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProxyMode {
    /// Forwards everything.
    #[default]
    Whole,
    /// Forwards nothing and keeps connections open.
    Stalled,
    /// Forwards a few bytes at a time.
    Chopped,
    /// Forwards half of a received chunk, then closes both sides.
    Cut,
    /// Closes new connections at once.
    Refuses,
    /// Reads nothing from mixers.
    Deaf,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum ProxyCommand {
    SetMode(ProxyMode),
}

/// A searcher as discovery lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedSearcher {
    pub name: String,
    pub address: String,
    pub group: u32,
    pub status: Status,
    pub since_ms: f64,
}

/// Commands to a discovery agent; durations are in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum AgentCommand {
    /// These entries of the list change.
    Change(Vec<ListedSearcher>),
    /// Open watches send nothing for this time; new ones are answered.
    Silent(u64),
    /// The agent answers nothing and receives no change for this time.
    Down(u64),
    /// Closes open watches.
    Reset,
    /// Lists are sent in small pieces for this time.
    Slow(u64),
    /// Discovery moves to the other address, and no longer answers at the current one.
    Move,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientsCommand {
    /// Whether the load balancer sends new connections to the mixer.
    SetInRotation(bool),
    /// Each client with an open request closes its connection.
    LeaveAll,
    /// This many further clients send one request each, at once.
    Burst(usize),
    /// This many idle connections stay open for this many milliseconds.
    Crowd(usize, u64),
    /// Clients send no further requests.
    Finish,
}

/// Calls `handle` with each command until standard input ends.
pub fn receive_commands<Command: DeserializeOwned>(mut handle: impl FnMut(Command)) {
    for line in stdin().lock().lines().map_while(Result::ok) {
        if let Ok(command) = serde_json::from_str(&line) {
            handle(command);
        }
    }
}
