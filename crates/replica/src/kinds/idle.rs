use serde::{Deserialize, Serialize};

use super::Kind;

/// On this mixer's way to searchers connections are lost while they are idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdleLost {
    /// Times that this was found in the last half minute.
    pub times: u16,
}

impl Kind for IdleLost {
    const CODE: u8 = 4;
    const NAME: &'static str = "idle-lost";
    const FRESH_MS: f64 = 10_000.0;

    fn fits(&self) -> bool {
        true
    }

    fn join(self, other: Self) -> Self {
        Self { times: self.times.max(other.times) }
    }
}
