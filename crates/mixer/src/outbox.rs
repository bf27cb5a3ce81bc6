//! What a turn of the service goes by when it writes to searchers: which links have something to write, and for how long it may go
//! on before others are heard.

use std::collections::{HashSet, VecDeque};

/// Writing goes on for so long before inputs are heard again: what is sent is decided on what was known a moment ago.
const SLICE_MS: f64 = 5.0;
/// A frame that has been worked out begins within so long, or is worked out anew.
const BEGINS_WITHIN_MS: f64 = 5.0;

/// Whether a frame that was worked out at `decided_at` may still begin now.
pub fn may_begin(decided_at: f64, now: f64) -> bool {
    now - decided_at <= BEGINS_WITHIN_MS
}

/// Links that have something to write, each once, in the order of their asking.
#[derive(Default)]
pub struct Outbox {
    links: VecDeque<u64>,
    held: HashSet<u64>,
}

impl Outbox {
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Adds a link behind the others, unless it is there.
    pub fn add(&mut self, link: u64) {
        if self.held.insert(link) {
            self.links.push_back(link);
        }
    }

    /// The link that has waited longest; it stays until it is [`removed`](Self::remove_first).
    pub fn first(&self) -> Option<u64> {
        self.links.front().copied()
    }

    pub fn remove_first(&mut self) {
        if let Some(link) = self.links.pop_front() {
            self.held.remove(&link);
        }
    }
}

/// The time that a turn has for writing.
pub struct Slice {
    began_at: f64,
}

impl Slice {
    pub fn new(now: f64) -> Self {
        Self { began_at: now }
    }

    /// Whether others are to be heard before more is written.
    pub fn is_over(&self, now: f64) -> bool {
        now - self.began_at >= SLICE_MS
    }
}
