//! When the bytes that wait in a connection's buffer may have come at the earliest.

use std::collections::VecDeque;

/// Reads that are told apart: of more, the oldest count as one.
const READS: usize = 32;

/// The bytes of one read: up to which of the connection's bytes, and that they came no earlier.
struct Read {
    up_to: u64,
    since: f64,
}

/// The reads whose bytes are not used up. Times are milliseconds of one clock.
#[derive(Default)]
pub(super) struct Arrived {
    read: u64,
    used: u64,
    reads: VecDeque<Read>,
}

impl Arrived {
    /// Takes a read of so many bytes, which came no earlier than `since`.
    pub(super) fn add(&mut self, count: usize, since: f64) {
        self.read += count as u64;
        if let Some(last) = self.reads.back_mut().filter(|last| last.since == since) {
            last.up_to = self.read;
            return;
        }
        if self.reads.len() == READS
            && let Some(oldest) = self.reads.pop_front()
            && let Some(next) = self.reads.front_mut()
        {
            // An answer that is due too early costs less than one that is due too late.
            next.since = next.since.min(oldest.since);
        }
        self.reads.push_back(Read { up_to: self.read, since });
    }

    /// Uses bytes up, one at least; the last of them came no earlier than this.
    pub(super) fn use_up(&mut self, count: usize) -> Option<f64> {
        self.used = self.used.saturating_add(count as u64).min(self.read);
        while self.reads.front().is_some_and(|read| read.up_to < self.used) {
            self.reads.pop_front();
        }
        self.reads.front().map(|read| read.since)
    }
}
