use serde::{Deserialize, Serialize};

use super::RecordKind;

/// The searcher list that a mixer uses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearcherList {
    /// Version, as numbered by the discovery service that the list came from.
    pub index: u64,
    /// Number of searchers in it that are up.
    pub ready: u32,
}

impl RecordKind for SearcherList {
    const CODE: u8 = 5;
    const NAME: &'static str = "list";
    /// Valid until the mixer reports another list.
    const VALIDITY_MS: f64 = f64::INFINITY;

    fn is_valid(&self) -> bool {
        true
    }

    /// The higher version. Two discovery services number independently, so versions are only displayed side
    /// by side and no decision depends on them.
    fn join(self, other: Self) -> Self {
        let higher = (other.index, other.ready) > (self.index, self.ready);
        if higher { other } else { self }
    }
}
