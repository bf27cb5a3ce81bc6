//! Which of several processes under one name is meant.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A process among those that ever ran under a name; what the greater says is gone by. The number grows when a process
/// learns of another under its name that it is the later of; the lot, drawn at the start, tells any two apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    pub number: u64,
    pub lot: u64,
}

impl Incarnation {
    /// The first that a process knows of itself.
    pub fn first(lot: u64) -> Self {
        Self { number: 1, lot }
    }

    /// The same process, later than another under its name.
    #[must_use]
    pub fn after(self, other: Self) -> Self {
        Self { number: other.number.saturating_add(1), ..self }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04x}", self.number, self.lot as u16)
    }
}
