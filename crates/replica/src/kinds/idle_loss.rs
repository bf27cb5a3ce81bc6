use serde::{Deserialize, Serialize};

use super::RecordKind;

/// Connections from this mixer to searchers are lost while they are idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdleConnectionsLost {
    /// How often this was detected within the last half minute.
    pub times: u16,
}

impl RecordKind for IdleConnectionsLost {
    const CODE: u8 = 4;
    const NAME: &'static str = "idle-lost";
    const VALIDITY_MS: f64 = 10_000.0;

    fn is_valid(&self) -> bool {
        true
    }

    fn join(self, other: Self) -> Self {
        Self { times: self.times.max(other.times) }
    }
}
