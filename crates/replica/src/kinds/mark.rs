use serde::{Deserialize, Serialize};

use super::RecordKind;

/// Evidence against a searcher, identified by its address: either the origin has marked it, or a single part
/// there is late. A late part alone is not a mark, but late parts of several mixers are added up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// Average latency in the slice that caused the mark, as a multiple of the baseline.
    pub latency_ratio: f64,
    /// Number of parts in that average.
    pub parts: u32,
    /// Only a late part, not a mark yet.
    pub late: bool,
}

impl RecordKind for Mark {
    const CODE: u8 = 1;
    const NAME: &'static str = "mark";
    /// Long enough for two probes: a mixer probes a marked searcher every half second and reports when it
    /// readmits it.
    const VALIDITY_MS: f64 = 1500.0;

    fn is_valid(&self) -> bool {
        self.latency_ratio.is_finite() && self.latency_ratio >= 0.0
    }

    /// The stronger evidence: a mark before a late part, then more parts, then the higher average. Code that needs
    /// the number of marks counts the separate reports instead.
    fn join(self, other: Self) -> Self {
        let more =
            (!other.late, other.parts, other.latency_ratio) > (!self.late, self.parts, self.latency_ratio);
        if more { other } else { self }
    }
}
