use serde::{Deserialize, Serialize};

use super::Kind;

/// A searcher that a mixer has marked, by its address, and on what evidence; or one at which a part is late, which alone is no
/// mark: a slice of several mixers together tells sooner than any one's.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// Average latency in the slice that marked it, in multiples of normal.
    pub latency_ratio: f64,
    /// Parts that this is the average of.
    pub parts: u32,
    /// No mark yet: a part is late there.
    pub late: bool,
}

impl Kind for Mark {
    const CODE: u8 = 1;
    const NAME: &'static str = "mark";
    /// Two probes' time, as a mixer that marked a searcher probes it each half second and says when it readmits it.
    const FRESH_MS: f64 = 1500.0;

    fn fits(&self) -> bool {
        self.latency_ratio.is_finite() && self.latency_ratio >= 0.0
    }

    /// The better founded: a mark before a late part, more parts, then the higher average. Marks are weighed one by one where that matters.
    fn join(self, other: Self) -> Self {
        let more =
            (!other.late, other.parts, other.latency_ratio) > (!self.late, self.parts, self.latency_ratio);
        if more { other } else { self }
    }
}
