//! Identifies the processes that run under one mixer name.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies one process among all that ever ran under a name. The greater incarnation supersedes the
/// others. A process increases its number to supersede another process under its name. The nonce is drawn at
/// process start and distinguishes processes with the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    pub number: u64,
    pub nonce: u64,
}

impl Incarnation {
    /// The incarnation that a process begins with.
    pub fn first(nonce: u64) -> Self {
        Self { number: 1, nonce }
    }

    /// The same process with a number above that of `other`.
    #[must_use]
    pub fn after(self, other: Self) -> Self {
        Self { number: other.number.saturating_add(1), ..self }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04x}", self.number, self.nonce as u16)
    }
}
