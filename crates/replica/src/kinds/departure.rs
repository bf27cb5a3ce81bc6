use serde::{Deserialize, Serialize};

use super::RecordKind;

/// Lifecycle stage of a searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    Up,
    Draining,
    Gone,
}

/// The lifecycle stage of one process of a searcher.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Departure {
    /// Start time of the process, as discovery reports it.
    pub started_at_ms: f64,
    pub stage: Stage,
}

impl RecordKind for Departure {
    const CODE: u8 = 3;
    const NAME: &'static str = "leaving";
    /// As long as a searcher list may be late.
    const VALIDITY_MS: f64 = 60_000.0;

    fn is_valid(&self) -> bool {
        self.started_at_ms.is_finite() && self.started_at_ms >= 0.0
    }

    /// A later process supersedes all reports about an earlier one. Within one process a drain is never
    /// undone.
    fn join(self, other: Self) -> Self {
        let later = (other.started_at_ms, other.stage) > (self.started_at_ms, self.stage);
        if later { other } else { self }
    }
}
