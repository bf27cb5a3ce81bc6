use serde::{Deserialize, Serialize};

use super::Kind;

/// The searcher list that a mixer holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListHeld {
    /// The version, as the discovery it came from numbers it.
    pub index: u64,
    /// Searchers in it that are up.
    pub ready: u32,
}

impl Kind for ListHeld {
    const CODE: u8 = 5;
    const NAME: &'static str = "list";
    /// It holds until another is said.
    const FRESH_MS: f64 = f64::INFINITY;

    fn fits(&self) -> bool {
        true
    }

    /// The higher version; two discoveries number by themselves, so it is shown side by side and nothing is done by it.
    fn join(self, other: Self) -> Self {
        let higher = (other.index, other.ready) > (self.index, self.ready);
        if higher { other } else { self }
    }
}
