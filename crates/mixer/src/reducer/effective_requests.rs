//! Ids of requests whose clients left without an answer, and that may have taken effect. A request that comes again
//! under such an id would take effect twice, and nothing but the id shows that it is the same one.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;

/// The newest ids of requests that may have taken effect, each kept as a hash.
pub(super) struct EffectiveRequests {
    hash_builder: RandomState,
    hashes: HashSet<u64>,
    /// The same hashes, oldest first.
    by_age: VecDeque<u64>,
}

impl EffectiveRequests {
    /// Ids that are remembered, the newest ones; they take half a megabyte.
    const MAX_IDS: usize = 16_384;

    pub(super) fn new() -> Self {
        Self { hash_builder: RandomState::new(), hashes: HashSet::new(), by_age: VecDeque::new() }
    }

    /// Remembers an id, in place of the oldest one if there are too many.
    pub(super) fn insert(&mut self, request_id: &str) {
        let hash = self.hash_builder.hash_one(request_id);
        if !self.hashes.insert(hash) {
            return;
        }
        self.by_age.push_back(hash);
        if self.by_age.len() > Self::MAX_IDS
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.hashes.remove(&oldest);
        }
    }

    pub(super) fn contains(&self, request_id: &str) -> bool {
        self.hashes.contains(&self.hash_builder.hash_one(request_id))
    }

    pub(super) fn len(&self) -> usize {
        self.by_age.len()
    }
}
