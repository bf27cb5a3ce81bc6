//! The log as the core sees it: in memory, with each change noted for the disk.

use std::fmt::Debug;

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::disk::{Change, Kept};
use crate::wire::{Line, State};

/// What the log is about. Orders are carried out in the order of the log, once each, everywhere alike: no clock, no chance.
pub trait Machine: Clone + Debug + Default + Serialize + DeserializeOwned {
    type Order: Clone + Debug + Serialize + DeserializeOwned;

    fn carry_out(&mut self, order: &Self::Order);
}

#[derive(Serialize, Deserialize)]
struct Vote {
    term: u64,
    vote: u64,
}

/// The log, the vote and the last state that was written down.
pub(crate) struct Ledger {
    /// Those that come first.
    voters: Vec<u64>,
    first: u64,
    /// Of the entry before the first.
    term: u64,
    log: Vec<Entry>,
    hard: HardState,
    folded: State,
    /// Changes that are not on the disk yet.
    noted: Vec<Change>,
}

fn read<T: DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T, String> {
    postcard::from_bytes(bytes).map_err(|error| format!("{what}: {error}"))
}

/// Values of the core and of machines are plain data, which can always be written.
pub(crate) fn bytes(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

impl Ledger {
    /// # Errors
    /// What of the kept can't be read.
    pub fn new(voters: &[u64], kept: &Kept) -> Result<Self, String> {
        let line =
            |line: &Vec<u8>| read::<Line>("an entry", line)?.entry().ok_or("an entry's kind".to_owned());
        let log: Vec<Entry> = kept.log.iter().map(line).collect::<Result<_, _>>()?;
        let vote: Option<Vote> = kept.vote.as_ref().map(|b| read("a vote", b)).transpose()?;
        let mut hard = HardState { commit: kept.decided, ..HardState::default() };
        if let Some(vote) = vote {
            (hard.term, hard.vote) = (vote.term, vote.vote);
        }
        let folded =
            kept.folded.as_ref().map(|b| read::<State>("a state", b)).transpose()?.unwrap_or_default();
        let first = kept.first.max(1);
        if log.iter().zip(first..).any(|(entry, place)| entry.index != place) {
            return Err("an entry stands where another belongs".to_owned());
        }
        let last = first + log.len() as u64 - 1;
        if hard.commit > last
            || hard.commit + 1 < first
            || folded.index + 1 < first
            || folded.index > hard.commit
        {
            return Err(format!(
                "decided {}, state {}, entries {first} to {last}",
                hard.commit, folded.index
            ));
        }
        Ok(Self { voters: voters.to_vec(), first, term: kept.term, log, hard, folded, noted: Vec::new() })
    }

    pub fn folded(&self) -> &State {
        &self.folded
    }

    pub fn first(&self) -> u64 {
        self.first
    }

    pub fn take_noted(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.noted)
    }

    /// Puts entries into the log, in the place of whatever stood there and after.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(from) = entries.first().map(|e| e.index) else { return };
        self.log.truncate(from.saturating_sub(self.first) as usize);
        self.log.extend_from_slice(entries);
        self.noted.push(Change::Log { from, entries: entries.iter().map(|e| bytes(&Line::of(e))).collect() });
    }

    pub fn set_hard(&mut self, hard: HardState) {
        if (hard.term, hard.vote) != (self.hard.term, self.hard.vote) {
            self.noted.push(Change::Vote(bytes(&Vote { term: hard.term, vote: hard.vote })));
        }
        self.decided(hard.commit);
        self.hard = hard;
    }

    pub fn decided(&mut self, upto: u64) {
        if upto != self.hard.commit {
            self.noted.push(Change::Decided(upto));
            self.hard.commit = upto;
        }
    }

    /// Writes down the state that was reached at a place, and forgets all but so many entries before it.
    pub fn fold(&mut self, index: u64, data: Vec<u8>, leave: u64) {
        let Ok(term) = self.term(index) else { return };
        self.folded = State { index, term, voters: self.voters.clone(), data };
        self.noted.push(Change::Folded(bytes(&self.folded)));
        let first = (index + 1).saturating_sub(leave).max(self.first);
        if let Ok(term) = self.term(first - 1)
            && first > self.first
        {
            self.log.drain(..(first - self.first) as usize);
            (self.first, self.term) = (first, term);
            self.noted.push(Change::Trim { first, term });
        }
    }

    /// Begins again from a state that another has given.
    pub fn install(&mut self, state: State) {
        (self.first, self.term) = (state.index + 1, state.term);
        self.log.clear();
        self.noted.push(Change::Log { from: 0, entries: Vec::new() });
        self.noted.push(Change::Trim { first: self.first, term: self.term });
        self.decided(state.index.max(self.hard.commit));
        self.noted.push(Change::Folded(bytes(&state)));
        self.folded = state;
    }

    fn last(&self) -> u64 {
        self.first + self.log.len() as u64 - 1
    }
}

impl Storage for Ledger {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let voters = if self.folded.index > 0 { &self.folded.voters } else { &self.voters };
        let conf_state = ConfState { voters: voters.clone(), ..ConfState::default() };
        Ok(RaftState { hard_state: self.hard.clone(), conf_state })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low < self.first {
            return Err(StorageError::Compacted.into());
        }
        let from = (low - self.first) as usize;
        let to = (high.saturating_sub(self.first) as usize).min(self.log.len());
        let mut entries = self.log.get(from..to).ok_or(StorageError::Unavailable)?.to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index + 1 == self.first {
            return Ok(self.term);
        }
        if index < self.first {
            return Err(StorageError::Compacted.into());
        }
        let held = self.log.get((index - self.first) as usize);
        held.map(|entry| entry.term).ok_or_else(|| StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, from: u64, _: u64) -> raft::Result<Snapshot> {
        if self.folded.index == 0 || self.folded.index < from {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.folded.snapshot())
    }
}
