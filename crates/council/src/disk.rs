//! What must last, and where it does.

use std::fmt;

/// A change of what must last. Values of the core are bytes here: whoever keeps them need not read them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// From that place on the log is this, and nothing after it.
    Log { from: u64, entries: Vec<Vec<u8>> },
    /// The log begins at that place; the entry before it is of that term.
    Trim { first: u64, term: u64 },
    /// The term, and whom this member votes for in it.
    Vote(Vec<u8>),
    /// So far the log is decided, as far as this member knows.
    Decided(u64),
    /// The state that the log led to up to a place, with that place.
    Folded(Vec<u8>),
}

/// All that has lasted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    /// The place of the first entry of `log`; zero and one are the same, as the first place is one.
    pub first: u64,
    /// The term of the entry before.
    pub term: u64,
    pub log: Vec<Vec<u8>>,
    pub vote: Option<Vec<u8>>,
    pub decided: u64,
    pub folded: Option<Vec<u8>>,
}

impl Kept {
    /// Makes a change, as every disk has to make it.
    pub fn change(&mut self, change: &Change) {
        match change {
            Change::Log { from, entries } => {
                self.log.truncate(from.saturating_sub(self.first.max(1)) as usize);
                self.log.extend(entries.iter().cloned());
            }
            Change::Trim { first, term } => {
                let gone = first.saturating_sub(self.first.max(1)).min(self.log.len() as u64);
                self.log.drain(..gone as usize);
                (self.first, self.term) = (*first, *term);
            }
            Change::Vote(bytes) => self.vote = Some(bytes.clone()),
            Change::Decided(upto) => self.decided = *upto,
            Change::Folded(bytes) => self.folded = Some(bytes.clone()),
        }
    }
}

/// Why a disk can't be used.
#[derive(Debug)]
pub enum Fault {
    /// Reading or writing failed.
    Failed(String),
    /// What is there can't be read, or does not fit together.
    Damaged(String),
    /// It is of another fleet or member.
    Foreign { found: String, expected: String },
    /// It is held open by another process.
    InUse,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(why) => write!(f, "the council's file can't be written or read: {why}"),
            Self::Damaged(why) => write!(f, "the council's file is damaged: {why}"),
            Self::Foreign { found, expected } => {
                write!(f, "the council's file is of {found}, and this is {expected}")
            }
            Self::InUse => f.write_str("another process holds the council's file"),
        }
    }
}

impl std::error::Error for Fault {}

/// Keeps changes. May block; whoever has a thread for other things gives it one of its own.
pub trait Disk {
    /// Makes all changes or none, and returns when they will be found after a crash.
    ///
    /// # Errors
    /// Where that is not sure. Nothing that rests on these changes may be said after it, and nothing more be written.
    fn keep(&mut self, changes: &[Change]) -> Result<(), Fault>;
}
