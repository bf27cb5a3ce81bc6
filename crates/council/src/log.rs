//! The in-memory log that the consensus core reads. Every change is recorded for the storage.

use std::fmt::Debug;

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::storage::{PersistedState, StorageChange};
use crate::wire::{WireEntry, WireSnapshot};

/// The state machine that the log replicates. Commands are applied in log order, once each, and with the same
/// result on all members: they must not depend on clocks or random numbers.
pub trait StateMachine: Clone + Debug + Default + Serialize + DeserializeOwned {
    type Command: Clone + Debug + Serialize + DeserializeOwned;

    fn apply(&mut self, command: &Self::Command);
}

#[derive(Serialize, Deserialize)]
struct Vote {
    term: u64,
    vote: u64,
}

/// The log, the vote and the latest snapshot.
pub(crate) struct LogStorage {
    /// The initial voters.
    voters: Vec<u64>,
    /// Index of the first entry.
    first: u64,
    /// Term of the entry before the first.
    term_before_first: u64,
    entries: Vec<Entry>,
    hard_state: HardState,
    snapshot: WireSnapshot,
    /// Changes that are not stored yet.
    pending_changes: Vec<StorageChange>,
}

fn decode<T: DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T, String> {
    postcard::from_bytes(bytes).map_err(|error| format!("{what}: {error}"))
}

/// Encodes a value of the core or of a state machine. These are plain data, which always serializes.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

impl LogStorage {
    /// # Errors
    /// Which part of the persisted state can't be decoded or is inconsistent.
    pub fn new(voters: &[u64], persisted: &PersistedState) -> Result<Self, String> {
        let entry = |bytes: &Vec<u8>| {
            decode::<WireEntry>("log entry", bytes)?.into_entry().ok_or("type of a log entry".to_owned())
        };
        let entries: Vec<Entry> = persisted.log.iter().map(entry).collect::<Result<_, _>>()?;
        let vote: Option<Vote> = persisted.vote.as_ref().map(|bytes| decode("vote", bytes)).transpose()?;
        let mut hard_state = HardState { commit: persisted.commit, ..HardState::default() };
        if let Some(vote) = vote {
            hard_state.term = vote.term;
            hard_state.vote = vote.vote;
        }
        let snapshot = persisted.snapshot.as_ref().map(|bytes| decode::<WireSnapshot>("snapshot", bytes));
        let snapshot = snapshot.transpose()?.unwrap_or_default();
        let first = persisted.first.max(1);
        if entries.iter().zip(first..).any(|(entry, index)| entry.index != index) {
            return Err("log entries are not consecutive".to_owned());
        }
        let last = first + entries.len() as u64 - 1;
        if hard_state.commit > last
            || hard_state.commit + 1 < first
            || snapshot.index + 1 < first
            || snapshot.index > hard_state.commit
        {
            return Err(format!(
                "inconsistent indices: commit {}, snapshot {}, entries {first} to {last}",
                hard_state.commit, snapshot.index
            ));
        }
        Ok(Self {
            voters: voters.to_vec(),
            first,
            term_before_first: persisted.term,
            entries,
            hard_state,
            snapshot,
            pending_changes: Vec::new(),
        })
    }

    pub fn latest_snapshot(&self) -> &WireSnapshot {
        &self.snapshot
    }

    pub fn first(&self) -> u64 {
        self.first
    }

    pub fn take_pending_changes(&mut self) -> Vec<StorageChange> {
        std::mem::take(&mut self.pending_changes)
    }

    /// Appends entries, replacing whatever the log holds from the first of them on.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(from) = entries.first().map(|entry| entry.index) else { return };
        self.entries.truncate(from.saturating_sub(self.first) as usize);
        self.entries.extend_from_slice(entries);
        let entries = entries.iter().map(|entry| encode(&WireEntry::from_entry(entry))).collect();
        self.pending_changes.push(StorageChange::WriteLog { from, entries });
    }

    pub fn set_hard_state(&mut self, hard_state: HardState) {
        if (hard_state.term, hard_state.vote) != (self.hard_state.term, self.hard_state.vote) {
            let vote = Vote { term: hard_state.term, vote: hard_state.vote };
            self.pending_changes.push(StorageChange::Vote(encode(&vote)));
        }
        self.set_commit(hard_state.commit);
        self.hard_state = hard_state;
    }

    pub fn set_commit(&mut self, index: u64) {
        if index != self.hard_state.commit {
            self.pending_changes.push(StorageChange::Commit(index));
            self.hard_state.commit = index;
        }
    }

    /// Stores a snapshot of the state at an index, and drops all but `retained` entries before it.
    pub fn compact(&mut self, index: u64, data: Vec<u8>, retained: u64) {
        let Ok(term) = self.term(index) else { return };
        self.snapshot = WireSnapshot { index, term, voters: self.voters.clone(), data };
        self.pending_changes.push(StorageChange::Snapshot(encode(&self.snapshot)));
        let first = (index + 1).saturating_sub(retained).max(self.first);
        if let Ok(term) = self.term(first - 1)
            && first > self.first
        {
            self.entries.drain(..(first - self.first) as usize);
            self.first = first;
            self.term_before_first = term;
            self.pending_changes.push(StorageChange::CompactLog { first, term });
        }
    }

    /// Replaces the log by a snapshot from another member.
    pub fn install_snapshot(&mut self, snapshot: WireSnapshot) {
        self.first = snapshot.index + 1;
        self.term_before_first = snapshot.term;
        self.entries.clear();
        self.pending_changes.push(StorageChange::WriteLog { from: 0, entries: Vec::new() });
        self.pending_changes
            .push(StorageChange::CompactLog { first: self.first, term: self.term_before_first });
        self.set_commit(snapshot.index.max(self.hard_state.commit));
        self.pending_changes.push(StorageChange::Snapshot(encode(&snapshot)));
        self.snapshot = snapshot;
    }

    fn last(&self) -> u64 {
        self.first + self.entries.len() as u64 - 1
    }
}

impl Storage for LogStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let voters = if self.snapshot.index > 0 { &self.snapshot.voters } else { &self.voters };
        let conf_state = ConfState { voters: voters.clone(), ..ConfState::default() };
        Ok(RaftState { hard_state: self.hard_state.clone(), conf_state })
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
        let to = (high.saturating_sub(self.first) as usize).min(self.entries.len());
        let mut entries = self.entries.get(from..to).ok_or(StorageError::Unavailable)?.to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index + 1 == self.first {
            return Ok(self.term_before_first);
        }
        if index < self.first {
            return Err(StorageError::Compacted.into());
        }
        let entry = self.entries.get((index - self.first) as usize);
        entry.map(|entry| entry.term).ok_or_else(|| StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, from: u64, _: u64) -> raft::Result<Snapshot> {
        if self.snapshot.index == 0 || self.snapshot.index < from {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.to_snapshot())
    }
}
