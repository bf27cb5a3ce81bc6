//! The earliest times at which the bytes in a connection's buffer may have arrived.

use std::collections::VecDeque;

use crate::clock::UnixMs;

/// Maximum number of records. Another one is made room for by merging the oldest two.
const MAX_RECORDS: usize = 32;

/// Successive bytes of a connection with the same earliest time of arrival. They begin where the bytes of the
/// previous record end.
struct Record {
    /// Number of the connection's bytes up to the end of this record, from the first that was ever read.
    end: u64,
    earliest_arrival: UnixMs,
}

/// Records of the bytes that are not consumed yet, oldest first.
#[derive(Default)]
pub(super) struct ArrivalTimes {
    bytes_read: u64,
    bytes_consumed: u64,
    records: VecDeque<Record>,
}

impl ArrivalTimes {
    /// Records `count` bytes that were read now and arrived no earlier than `earliest_arrival`.
    pub(super) fn add(&mut self, count: usize, earliest_arrival: UnixMs) {
        self.bytes_read += count as u64;
        if let Some(last) = self.records.back_mut().filter(|last| last.earliest_arrival == earliest_arrival) {
            last.end = self.bytes_read;
            return;
        }
        if self.records.len() == MAX_RECORDS
            && let Some(oldest) = self.records.pop_front()
            && let Some(next) = self.records.front_mut()
        {
            // The earlier time of the two, as an answer that is due too early does less harm than one that is
            // due too late.
            next.earliest_arrival = next.earliest_arrival.min(oldest.earliest_arrival);
        }
        self.records.push_back(Record { end: self.bytes_read, earliest_arrival });
    }

    /// Consumes `count` bytes, at least one. Returns the earliest time at which the last of them may have
    /// arrived.
    pub(super) fn consume(&mut self, count: usize) -> Option<UnixMs> {
        self.bytes_consumed = self.bytes_consumed.saturating_add(count as u64).min(self.bytes_read);
        while self.records.front().is_some_and(|record| record.end < self.bytes_consumed) {
            self.records.pop_front();
        }
        self.records.front().map(|record| record.earliest_arrival)
    }
}
