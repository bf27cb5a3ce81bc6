//! The read buffer of a connection: it grows as needed and is compacted in place.

use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory that many buffers share. Each buffer's initial space is not counted.
#[derive(Clone)]
pub struct MemoryBudget(Arc<AtomicUsize>);

impl MemoryBudget {
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    pub fn remaining(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    pub(crate) fn try_reserve(&self, bytes: usize) -> bool {
        let reduce = |remaining: usize| remaining.checked_sub(bytes);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, reduce).is_ok()
    }

    pub(crate) fn release(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

pub struct Buffer {
    data: Vec<u8>,
    /// Bytes before this index are consumed.
    start: usize,
    /// Bytes from this index on are not filled yet.
    end: usize,
    budget: MemoryBudget,
}

impl Buffer {
    /// The space that every buffer has, whatever the budget. Most messages fit into it whole.
    const INITIAL_BYTES: usize = 2048;

    pub fn new(budget: &MemoryBudget) -> Self {
        Self { data: Vec::new(), start: 0, end: 0, budget: budget.clone() }
    }

    /// The bytes that were read and are not consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    /// Reads once; the number of bytes read, zero at the end of the input.
    ///
    /// # Errors
    /// `OutOfMemory` if the buffer has to grow and the budget is exhausted; otherwise the error of the input.
    pub fn fill(&mut self, input: &mut impl Read) -> io::Result<usize> {
        if self.start == self.end {
            self.start = 0;
            self.end = 0;
            if self.data.len() > Self::INITIAL_BYTES {
                self.shrink();
            }
        }
        if self.data.len() - self.end < Self::INITIAL_BYTES && self.start > 0 {
            self.data.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        if self.data.len() - self.end < Self::INITIAL_BYTES / 2 {
            let size = (2 * self.data.len()).max(Self::INITIAL_BYTES);
            if size > Self::INITIAL_BYTES && !self.budget.try_reserve(size - self.data.len()) {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            self.data.resize(size, 0);
        }
        let count = loop {
            match input.read(&mut self.data[self.end..]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                other => break other?,
            }
        };
        self.end += count;
        Ok(count)
    }

    /// Consumes up to `count` bytes.
    pub fn consume(&mut self, count: usize) {
        self.start = self.start.saturating_add(count).min(self.end);
    }

    fn shrink(&mut self) {
        self.budget.release(self.data.len().saturating_sub(Self::INITIAL_BYTES));
        self.data = Vec::new();
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.shrink();
    }
}
