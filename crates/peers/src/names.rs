//! What is said first on a link, and why it may be refused.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// The form of all words between mixers; a mixer of another does not join.
pub const FORMAT: u16 = 1;
/// Longest name of a mixer or a fleet, in bytes.
pub const LONGEST_NAME: usize = 32;
/// Most mixers of a fleet: hundreds are in service, and lists grow by need.
pub const MOST: usize = 4096;

/// The first word on a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub format: u16,
    pub fleet: String,
    pub name: String,
    pub start: Incarnation,
    /// Milliseconds for which the process that speaks has run.
    pub age_ms: u64,
    /// The highest start that the one who speaks has heard of under the name of the one spoken to.
    pub yours: Option<Rival>,
}

/// A start as others know it, and for how long its process has run by now, where that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rival {
    pub start: Incarnation,
    pub age_ms: Option<u64>,
}

/// Why a link is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    Format {
        theirs: u16,
        ours: u16,
    },
    Fleet {
        theirs: String,
        ours: String,
    },
    /// The file names no such mixer.
    Unnamed(String),
    /// Somebody speaks under the very name of the one spoken to.
    Namesake(String),
    /// There is a later start under that name.
    Older(Rival),
    /// The one spoken to has stood aside or left.
    Away,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Format { theirs, ours } => {
                write!(f, "it speaks format {theirs}, and this mixer format {ours}: update the older one")
            }
            Self::Fleet { theirs, ours } => {
                write!(
                    f,
                    "it belongs to fleet {theirs:?}, and this mixer to {ours:?}: one of the files is wrong"
                )
            }
            Self::Unnamed(name) => write!(f, "no peer {name:?} is in this mixer's file"),
            Self::Namesake(name) => {
                write!(f, "it has this mixer's own name, {name:?}: two files name the same")
            }
            Self::Older(by) => {
                write!(f, "start {} of that name is in the fleet, and is taken for the later", by.start)
            }
            Self::Away => {
                write!(f, "this mixer has left the fleet, or stood aside for a later start of its name")
            }
        }
    }
}
