//! The read buffer of a connection, and the limit on the memory of all buffers. A buffer grows as needed, and
//! the space of consumed bytes is used again.

use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory that many buffers together may take, and what is left of it. The initial space of each buffer is
/// not counted.
#[derive(Clone)]
pub struct MemoryBudget(Arc<AtomicUsize>);

impl MemoryBudget {
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    pub fn remaining(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Takes `bytes` from the budget; false if it has too few left.
    pub(crate) fn try_reserve(&self, bytes: usize) -> bool {
        let subtract = |remaining: usize| remaining.checked_sub(bytes);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract).is_ok()
    }

    /// Gives reserved bytes back.
    pub(crate) fn release(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A read buffer. Bytes are added at its end by reading, and consumed at its beginning.
pub struct Buffer {
    /// The whole space of the buffer. Only `start..end` holds bytes that were read and are not consumed.
    data: Vec<u8>,
    start: usize,
    end: usize,
    budget: MemoryBudget,
}

impl Buffer {
    /// The space that a buffer always gets, even if the budget is exhausted. Most messages fit into it.
    const INITIAL_BYTES: usize = 2048;

    pub fn new(budget: &MemoryBudget) -> Self {
        Self { data: Vec::new(), start: 0, end: 0, budget: budget.clone() }
    }

    /// The bytes that were read and are not consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    /// Reads once. Returns the number of bytes read, which is zero at the end of the input.
    ///
    /// # Errors
    /// `OutOfMemory` if the buffer has to grow and the budget is exhausted; otherwise the error of the input.
    pub fn fill(&mut self, input: &mut impl Read) -> io::Result<usize> {
        self.reuse_consumed_space();
        self.grow_if_nearly_full()?;
        let count = loop {
            match input.read(&mut self.data[self.end..]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                other => break other?,
            }
        };
        self.end += count;
        Ok(count)
    }

    /// Frees the whole space of an empty buffer that has grown. Otherwise, if little space is left at the end,
    /// moves the bytes to the beginning.
    fn reuse_consumed_space(&mut self) {
        if self.start == self.end {
            self.start = 0;
            self.end = 0;
            if self.data.len() > Self::INITIAL_BYTES {
                self.free_space();
            }
        }
        if self.data.len() - self.end < Self::INITIAL_BYTES && self.start > 0 {
            self.data.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
    }

    /// Doubles the space if little of it is left at the end, or creates the initial space.
    fn grow_if_nearly_full(&mut self) -> io::Result<()> {
        if self.data.len() - self.end >= Self::INITIAL_BYTES / 2 {
            return Ok(());
        }
        let size = (2 * self.data.len()).max(Self::INITIAL_BYTES);
        if size > Self::INITIAL_BYTES && !self.budget.try_reserve(size - self.data.len()) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.data.resize(size, 0);
        Ok(())
    }

    /// Consumes up to `count` bytes.
    pub fn consume(&mut self, count: usize) {
        self.start = self.start.saturating_add(count).min(self.end);
    }

    /// Frees the space and gives it back to the budget.
    fn free_space(&mut self) {
        self.budget.release(self.data.len().saturating_sub(Self::INITIAL_BYTES));
        self.data = Vec::new();
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.free_space();
    }
}
