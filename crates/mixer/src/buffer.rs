//! A connection's one buffer: grown as needed, compacted in place.

use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What many buffers may grow by in sum, beyond the first room that each has for itself.
#[derive(Clone)]
pub struct MemoryBudget(Arc<AtomicUsize>);

impl MemoryBudget {
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// What is left.
    pub fn remaining(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    pub(crate) fn try_reserve(&self, bytes: usize) -> bool {
        let less = |left: usize| left.checked_sub(bytes);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less).is_ok()
    }

    pub(crate) fn release(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

pub struct Buffer {
    data: Vec<u8>,
    /// Bytes before this one are used up.
    from: usize,
    /// Bytes from this one on are not yet filled.
    to: usize,
    room: MemoryBudget,
}

impl Buffer {
    /// Room that a read finds at least: most messages come whole in it. Every buffer has this much.
    const ROOM: usize = 2048;

    pub fn new(room: &MemoryBudget) -> Self {
        Self { data: Vec::new(), from: 0, to: 0, room: room.clone() }
    }

    /// What has come and is not used up.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.from..self.to]
    }

    /// Reads once; the number of bytes that came, zero at the end. Out of memory if all have grown too much.
    pub fn fill(&mut self, input: &mut impl Read) -> io::Result<usize> {
        if self.from == self.to {
            (self.from, self.to) = (0, 0);
            if self.data.len() > Self::ROOM {
                self.shrink();
            }
        }
        if self.data.len() - self.to < Self::ROOM && self.from > 0 {
            self.data.copy_within(self.from..self.to, 0);
            (self.from, self.to) = (0, self.to - self.from);
        }
        if self.data.len() - self.to < Self::ROOM / 2 {
            let size = (2 * self.data.len()).max(Self::ROOM);
            if size > Self::ROOM && !self.room.try_reserve(size - self.data.len()) {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            self.data.resize(size, 0);
        }
        let read = loop {
            match input.read(&mut self.data[self.to..]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                other => break other?,
            }
        };
        self.to += read;
        Ok(read)
    }

    /// Uses bytes up.
    pub fn consume(&mut self, count: usize) {
        self.from = self.from.saturating_add(count).min(self.to);
    }

    fn shrink(&mut self) {
        self.room.release(self.data.len().saturating_sub(Self::ROOM));
        self.data = Vec::new();
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.shrink();
    }
}
