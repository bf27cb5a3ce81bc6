//! The durable state of a member, and the interface to its storage.

use std::fmt;

/// A change to durable state. Values of the consensus core are opaque bytes, so storages do not depend on their
/// encoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StorageChange {
    /// Replaces the log from this index on.
    WriteLog { from: u64, entries: Vec<Vec<u8>> },
    /// Drops the entries before this index. `term` is the term of the last one dropped.
    CompactLog { first: u64, term: u64 },
    /// The current term, and the member that this member voted for in it.
    Vote(Vec<u8>),
    /// The highest index that is committed, as far as this member has been informed.
    Commit(u64),
    /// A snapshot of the state machine, with the index it covers.
    Snapshot(Vec<u8>),
}

/// All durable state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// Index of the first entry in `log`. Zero means the same as one, which is the first index.
    pub first: u64,
    /// Term of the entry before the first.
    pub term: u64,
    pub log: Vec<Vec<u8>>,
    pub vote: Option<Vec<u8>>,
    pub commit: u64,
    pub snapshot: Option<Vec<u8>>,
}

impl PersistedState {
    /// Applies a change. This is the reference for all storages.
    pub fn apply(&mut self, change: &StorageChange) {
        match change {
            StorageChange::WriteLog { from, entries } => {
                self.log.truncate(from.saturating_sub(self.first.max(1)) as usize);
                self.log.extend(entries.iter().cloned());
            }
            StorageChange::CompactLog { first, term } => {
                let dropped = first.saturating_sub(self.first.max(1)).min(self.log.len() as u64);
                self.log.drain(..dropped as usize);
                self.first = *first;
                self.term = *term;
            }
            StorageChange::Vote(bytes) => self.vote = Some(bytes.clone()),
            StorageChange::Commit(index) => self.commit = *index,
            StorageChange::Snapshot(bytes) => self.snapshot = Some(bytes.clone()),
        }
    }
}

/// Why a storage can't be used.
#[derive(Debug)]
pub enum StorageError {
    /// Reading or writing failed.
    Io(String),
    /// The content can't be decoded or is inconsistent.
    Corrupt(String),
    /// The storage belongs to another fleet or member.
    ForeignOwner { found: String, expected: String },
    /// Another process has it open.
    InUse,
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(reason) => write!(f, "reading or writing the consensus file failed: {reason}"),
            Self::Corrupt(reason) => write!(f, "the consensus file is corrupt: {reason}"),
            Self::ForeignOwner { found, expected } => {
                write!(f, "the consensus file belongs to {found}, expected {expected}")
            }
            Self::InUse => f.write_str("another process has the consensus file open"),
        }
    }
}

impl std::error::Error for StorageError {}

/// Stores changes durably. May block; the caller uses a separate thread if it has other work to do.
pub trait StableStorage {
    /// Applies all changes or none, and returns once they would survive a crash.
    ///
    /// # Errors
    /// If durability is uncertain. After an error, nothing that depends on these changes may be sent, and
    /// nothing more may be written.
    fn persist(&mut self, changes: &[StorageChange]) -> Result<(), StorageError>;
}
