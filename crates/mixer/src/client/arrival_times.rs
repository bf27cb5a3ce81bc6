//! The earliest time at which the bytes in a connection's buffer may have arrived.

use std::collections::VecDeque;

use crate::clock::UnixMs;

/// Maximum number of reads that are recorded separately. If there are more, the oldest two are merged.
const MAX_READS: usize = 32;

/// The bytes of one read.
struct Read {
    /// The connection's bytes up to this count came with this read or an earlier one.
    up_to: u64,
    /// The earliest time at which they may have arrived.
    since: UnixMs,
}

/// The reads whose bytes are not consumed yet.
#[derive(Default)]
pub(super) struct ArrivalTimes {
    bytes_read: u64,
    bytes_consumed: u64,
    reads: VecDeque<Read>,
}

impl ArrivalTimes {
    /// Records a read of that many bytes, which arrived no earlier than `since`.
    pub(super) fn add(&mut self, count: usize, since: UnixMs) {
        self.bytes_read += count as u64;
        if let Some(last) = self.reads.back_mut().filter(|last| last.since == since) {
            last.up_to = self.bytes_read;
            return;
        }
        if self.reads.len() == MAX_READS
            && let Some(oldest) = self.reads.pop_front()
            && let Some(next) = self.reads.front_mut()
        {
            // The earlier time of the two, as an answer that is due too early does less harm than one that is
            // due too late.
            next.since = next.since.min(oldest.since);
        }
        self.reads.push_back(Read { up_to: self.bytes_read, since });
    }

    /// Consumes bytes, at least one. Returns the earliest time at which the last of them may have arrived.
    pub(super) fn consume(&mut self, count: usize) -> Option<UnixMs> {
        self.bytes_consumed = self.bytes_consumed.saturating_add(count as u64).min(self.bytes_read);
        while self.reads.front().is_some_and(|read| read.up_to < self.bytes_consumed) {
            self.reads.pop_front();
        }
        self.reads.front().map(|read| read.since)
    }
}
