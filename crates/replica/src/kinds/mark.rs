use serde::{Deserialize, Serialize};

use super::Kind;

/// A searcher that a mixer has marked, by its address, and on what evidence.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// Average latency in the slice that marked it, in multiples of normal.
    pub normals: f64,
    /// Parts that this is the average of.
    pub parts: u32,
}

impl Kind for Mark {
    const CODE: u8 = 1;
    const NAME: &'static str = "mark";
    /// Two probes' time, as a mixer that marked a searcher probes it each half second and says when it readmits it.
    const FRESH_MS: f64 = 1500.0;

    fn fits(&self) -> bool {
        self.normals.is_finite() && self.normals >= 0.0
    }

    /// The better founded: more parts, then the higher average. Marks are weighed one by one where that matters.
    fn join(self, other: Self) -> Self {
        let more = (other.parts, other.normals) > (self.parts, self.normals);
        if more { other } else { self }
    }
}
