use serde::{Deserialize, Serialize};

use super::RecordKind;

/// What a customer used of one mixer in the last seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerUsage {
    pub scans: u32,
    pub span_ms: u32,
}

impl RecordKind for CustomerUsage {
    const CODE: u8 = 6;
    const NAME: &'static str = "used";
    const VALIDITY_MS: f64 = 10_000.0;

    fn is_valid(&self) -> bool {
        self.span_ms > 0
    }

    /// The greater usage of two reports of one origin. Usage at several mixers is added up by the reader
    /// instead, from the separate reports.
    fn join(self, other: Self) -> Self {
        let more = (other.scans, other.span_ms) > (self.scans, self.span_ms);
        if more { other } else { self }
    }
}
