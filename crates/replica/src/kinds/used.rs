use serde::{Deserialize, Serialize};

use super::Kind;

/// What a customer used of one mixer in the last seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Used {
    pub scans: u32,
    pub span_ms: u32,
}

impl Kind for Used {
    const CODE: u8 = 6;
    const NAME: &'static str = "used";
    const FRESH_MS: f64 = 10_000.0;

    fn fits(&self) -> bool {
        self.span_ms > 0
    }

    /// Of two words of one origin the greater use; those of several are added up by whoever looks, side by side.
    fn join(self, other: Self) -> Self {
        let more = (other.scans, other.span_ms) > (self.scans, self.span_ms);
        if more { other } else { self }
    }
}
