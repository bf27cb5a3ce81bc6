use serde::{Deserialize, Serialize};

use super::{Kind, greater};

/// When a searcher's process started, as discovery numbers it: it is cold since then.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessStart {
    pub since: f64,
}

impl Kind for ProcessStart {
    const CODE: u8 = 2;
    const NAME: &'static str = "start";
    /// Longer than any searcher takes to warm; who is warm is no harm to hear of.
    const FRESH_MS: f64 = 60_000.0;

    fn fits(&self) -> bool {
        self.since.is_finite() && self.since >= 0.0
    }

    /// The later start: a cold searcher that is taken for warm falls over, the other way round it but gets less.
    fn join(self, other: Self) -> Self {
        Self { since: greater(self.since, other.since) }
    }
}
