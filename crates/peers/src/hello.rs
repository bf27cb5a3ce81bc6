//! The first message on a link, and why a link may be rejected.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// Version of the message format between mixers. A mixer that uses another one can't join.
pub const FORMAT: u16 = 1;
/// Longest name of a mixer or a fleet.
pub const MAX_NAME_BYTES: usize = 32;
/// Largest supported fleet. Hundreds of mixers are in service; lists are allocated as needed.
pub const MAX_MIXERS: usize = 4096;

/// The first message on a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub format: u16,
    pub fleet: String,
    pub name: String,
    pub incarnation: Incarnation,
    /// Time for which the sender's process has run.
    pub age_ms: u64,
    /// The highest incarnation of the receiver that the sender has received.
    pub receiver: Option<KnownIncarnation>,
}

/// An incarnation known to another mixer, with the age of its process if that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownIncarnation {
    pub incarnation: Incarnation,
    pub age_ms: Option<u64>,
}

/// Why a link is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkRejection {
    FormatMismatch {
        theirs: u16,
        ours: u16,
    },
    FleetMismatch {
        theirs: String,
        ours: String,
    },
    /// The settings file does not contain this mixer.
    UnknownName(String),
    /// The sender uses the receiver's own name.
    DuplicateName(String),
    /// A later incarnation of the sender is known.
    Superseded(KnownIncarnation),
    /// The receiver has left the fleet or was superseded itself.
    Inactive,
}

impl fmt::Display for LinkRejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FormatMismatch { theirs, ours } => {
                write!(f, "it uses message format {theirs}, this mixer uses {ours}: update the older one")
            }
            Self::FleetMismatch { theirs, ours } => {
                write!(
                    f,
                    "it belongs to fleet {theirs:?}, this mixer to {ours:?}: one of the settings files is wrong"
                )
            }
            Self::UnknownName(name) => write!(f, "no peer {name:?} in this mixer's settings file"),
            Self::DuplicateName(name) => {
                write!(f, "it uses this mixer's own name, {name:?}: two settings files contain the same name")
            }
            Self::Superseded(by) => {
                write!(f, "a later process of that name is in the fleet, incarnation {}", by.incarnation)
            }
            Self::Inactive => {
                write!(f, "this mixer has left the fleet or was superseded by a later process of its name")
            }
        }
    }
}
