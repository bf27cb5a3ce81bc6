//! What the runner tells a process on its standard input, a line of JSON each.

use std::io::{BufRead, stdin};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::record::Status;

/// What a searcher does with parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Manner {
    #[default]
    Answers,
    /// Takes them and says nothing.
    Hangs,
    /// Answers 503 and does not run them.
    Full,
    /// Runs them and answers 500.
    Fails,
    /// Runs them after up to 0.8 s.
    Slow,
    /// Answers for a part that was never asked for.
    Spoils,
    /// Runs them and resets the connection in place of the answer.
    Resets,
    /// Writes half of an answer and stops.
    Halves,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum SearcherOrder {
    Manner(Manner),
}

/// What a fault proxy does with the connections through it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Passing {
    #[default]
    Whole,
    /// Nothing passes and nothing is said.
    Stalled,
    /// A byte or a few at a time.
    Chopped,
    /// Half of what was read passes, then both sides end.
    Cut,
    /// New connections end at once.
    Refuses,
    /// Nothing that a mixer writes is read.
    Deaf,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum ProxyOrder {
    Passing(Passing),
}

/// One searcher as discovery lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    pub name: String,
    pub address: String,
    pub group: u32,
    pub status: Status,
    pub since_ms: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum AgentOrder {
    Change(Vec<Listed>),
    /// Open watches say nothing for so long; new ones are answered.
    Silent(u64),
    /// Nothing is answered and nothing learnt for so long.
    Down(u64),
    /// Open watches end.
    Reset,
    /// Lists come in small pieces for so long.
    Slow(u64),
    /// Discovery is at the second address from now on; the first falls silent.
    Move,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientsOrder {
    /// The front leads new connections to the mixer, or does not.
    Front(bool),
    /// Every client with a request open closes its connection.
    LeaveAll,
    /// So many further clients ask at once, once.
    Burst(usize),
    /// So many connections rest without a request, for so many milliseconds.
    Crowd(usize, u64),
    /// No further requests.
    Finish,
}

/// Calls `take` with each order that comes, until standard input ends.
pub fn obey<Order: DeserializeOwned>(mut take: impl FnMut(Order)) {
    for line in stdin().lock().lines().map_while(Result::ok) {
        if let Ok(order) = serde_json::from_str(&line) {
            take(order);
        }
    }
}
