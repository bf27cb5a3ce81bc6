//! Writes to searchers in one turn of the service: which links have something to write, and how long writing
//! may go on before inputs are received again.

use std::collections::{HashSet, VecDeque};

use crate::clock::UnixMs;
use crate::inputs::LinkId;

/// Writing goes on for this long before inputs are received again, so that what is sent depends on recent
/// inputs.
const WRITE_SLICE_MS: f64 = 5.0;
/// The write of a frame has to begin this soon after the frame was encoded. After that it is encoded again.
const MAX_FRAME_AGE_MS: f64 = 5.0;

/// Whether the write of a frame that was encoded at `encoded_at` may begin now.
pub fn may_begin(encoded_at: UnixMs, now: UnixMs) -> bool {
    now - encoded_at <= MAX_FRAME_AGE_MS
}

/// Links that have something to write, each once, in the order in which they were added.
#[derive(Default)]
pub struct Outbox {
    queue: VecDeque<LinkId>,
    queued: HashSet<LinkId>,
}

impl Outbox {
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Adds a link at the end, unless it is queued already.
    pub fn add(&mut self, link: LinkId) {
        if self.queued.insert(link) {
            self.queue.push_back(link);
        }
    }

    /// The link that has waited longest. It stays queued until it is [removed](Self::remove_first).
    pub fn first(&self) -> Option<LinkId> {
        self.queue.front().copied()
    }

    pub fn remove_first(&mut self) {
        if let Some(link) = self.queue.pop_front() {
            self.queued.remove(&link);
        }
    }
}

/// The time that a turn has for writing.
pub struct WriteSlice {
    began_at: UnixMs,
}

impl WriteSlice {
    pub fn new(now: UnixMs) -> Self {
        Self { began_at: now }
    }

    /// Whether inputs have to be received before more is written.
    pub fn is_over(&self, now: UnixMs) -> bool {
        now - self.began_at >= WRITE_SLICE_MS
    }
}
