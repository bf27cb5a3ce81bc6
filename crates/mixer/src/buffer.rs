//! A connection's one buffer: grown as needed, compacted in place.

use std::io::{self, Read};

#[derive(Default)]
pub struct Buffer {
    data: Vec<u8>,
    /// Bytes before this one are used up.
    from: usize,
    /// Bytes from this one on are not yet filled.
    to: usize,
}

impl Buffer {
    /// Room that a read finds at least: most messages come whole in it.
    const ROOM: usize = 2048;
    /// A buffer that has grown past this is given back once it is empty.
    const KEEP: usize = 16 * 1024;

    /// What has come and is not used up.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.from..self.to]
    }

    /// Reads once; the number of bytes that came, zero at the end.
    pub fn fill(&mut self, input: &mut impl Read) -> io::Result<usize> {
        if self.from == self.to {
            (self.from, self.to) = (0, 0);
            if self.data.len() > Self::KEEP {
                self.data = Vec::new();
            }
        }
        if self.data.len() - self.to < Self::ROOM && self.from > 0 {
            self.data.copy_within(self.from..self.to, 0);
            (self.from, self.to) = (0, self.to - self.from);
        }
        if self.data.len() - self.to < Self::ROOM {
            self.data.resize((2 * self.data.len()).max(self.to + Self::ROOM), 0);
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
    pub fn used(&mut self, count: usize) {
        self.from = self.from.saturating_add(count).min(self.to);
    }
}
