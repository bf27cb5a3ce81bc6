use serde::{Deserialize, Serialize};

use super::{RecordKind, greater};

/// Start time of a searcher's process, as discovery reports it. The searcher is cold from then on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessStart {
    pub started_at_ms: f64,
}

impl RecordKind for ProcessStart {
    const CODE: u8 = 2;
    const NAME: &'static str = "start";
    /// Longer than the warm-up of any searcher. A report about one that is warm already has no effect.
    const VALIDITY_MS: f64 = 60_000.0;

    fn is_valid(&self) -> bool {
        self.started_at_ms.is_finite() && self.started_at_ms >= 0.0
    }

    /// The later start: a cold searcher that is mistaken for warm is overloaded, a warm one that is mistaken
    /// for cold only gets less work.
    fn join(self, other: Self) -> Self {
        Self { started_at_ms: greater(self.started_at_ms, other.started_at_ms) }
    }
}
