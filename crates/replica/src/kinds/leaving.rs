use serde::{Deserialize, Serialize};

use super::Kind;

/// How far a searcher is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    Up,
    Draining,
    Going,
}

/// How far a searcher is on its way out, in which of its starts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leaving {
    pub since: f64,
    pub stage: Stage,
}

impl Kind for Leaving {
    const CODE: u8 = 3;
    const NAME: &'static str = "leaving";
    /// As long as a list may be late.
    const FRESH_MS: f64 = 60_000.0;

    fn fits(&self) -> bool {
        self.since.is_finite() && self.since >= 0.0
    }

    /// A later start beats all that was said of an earlier one; within one start nothing comes back from a drain.
    fn join(self, other: Self) -> Self {
        let later = (other.since, other.stage) > (self.since, self.stage);
        if later { other } else { self }
    }
}
