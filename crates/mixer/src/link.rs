//! A connection to a searcher as the service holds it. Frames are written as far as the searcher accepts them,
//! and no write blocks.

use std::io::{self, ErrorKind};
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use mio::net::TcpStream;
use tracing::debug;

use crate::buffer::MemoryBudget;
use crate::stream::write_some;

/// What the service and the reading thread share of a link.
pub struct SharedLink {
    pub stream: TcpStream,
    /// The service has more to write, and the reading thread has to report when the link is writable.
    is_blocked: AtomicBool,
}

impl SharedLink {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, is_blocked: AtomicBool::new(false) }
    }

    /// Clears the blocked state. Returns true if the link was blocked: the caller then has to report that it is
    /// writable.
    pub fn take_blocked(&self) -> bool {
        self.is_blocked.swap(false, Ordering::SeqCst)
    }

    /// Writes what the searcher accepts now, and returns the number of bytes. If that is not all, the reading
    /// thread reports when the link is writable.
    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = 0;
        loop {
            written += write_some(&self.stream, &bytes[written..])?;
            if written == bytes.len() {
                self.is_blocked.store(false, Ordering::SeqCst);
                return Ok(written);
            }
            // The link may have become writable before `is_blocked` was set, which is not reported: the write
            // is tried once more.
            if self.is_blocked.swap(true, Ordering::SeqCst) {
                return Ok(written);
            }
        }
    }
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The frame is written completely.
    Complete,
    /// The rest of the frame follows once there is room.
    Partial,
    /// None of the rest was accepted.
    Stalled,
    /// No byte was accepted: the frame can be withdrawn.
    NotBegun,
    /// The link has ended, which the reading thread reports.
    Failed,
}

/// The part of the memory budget that a partly written frame takes.
struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

/// A link, as the service holds it.
#[derive(Default)]
pub struct Link {
    /// Absent until the link is up.
    shared: Option<Arc<SharedLink>>,
    closed: bool,
    /// The rest of a partly written frame.
    rest: Vec<u8>,
    reservation: Option<Reservation>,
    /// Number of frames that were written completely.
    pub frames_written: u64,
}

impl Link {
    pub fn set_up(&mut self, shared: Arc<SharedLink>) {
        self.shared = Some(shared);
        if self.closed {
            self.close();
        }
    }

    /// Whether nothing can be written until the reading thread reports that there is room.
    pub fn is_blocked(&self) -> bool {
        self.shared.as_ref().is_some_and(|shared| shared.is_blocked.load(Ordering::SeqCst))
    }

    /// Allows another write although the link was not reported as writable.
    pub fn retry(&self) {
        if let Some(shared) = &self.shared {
            shared.is_blocked.store(false, Ordering::SeqCst);
        }
    }

    pub fn has_partial_frame(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Writes a frame. No partly written frame may be left. `budget` is the memory that the partly written
    /// frames of all links may take; if it is exhausted, the link ends.
    pub fn write(&mut self, frame: Vec<u8>, budget: &MemoryBudget) -> WriteOutcome {
        match self.try_write(&frame) {
            Ok(count) if count == frame.len() => {
                self.frames_written += 1;
                WriteOutcome::Complete
            }
            Ok(0) => WriteOutcome::NotBegun,
            Ok(count) => {
                if !budget.try_reserve(frame.len()) {
                    return self.fail(&ErrorKind::OutOfMemory.into());
                }
                self.reservation = Some(Reservation { budget: budget.clone(), bytes: frame.len() });
                self.rest = frame;
                self.rest.drain(..count);
                WriteOutcome::Partial
            }
            Err(error) => self.fail(&error),
        }
    }

    /// Continues the partly written frame.
    pub fn write_rest(&mut self) -> WriteOutcome {
        let rest = std::mem::take(&mut self.rest);
        match self.try_write(&rest) {
            Ok(count) if count == rest.len() => {
                self.release_reservation();
                self.frames_written += 1;
                WriteOutcome::Complete
            }
            Ok(count) => {
                self.rest = rest;
                self.rest.drain(..count);
                if count > 0 { WriteOutcome::Partial } else { WriteOutcome::Stalled }
            }
            Err(error) => {
                self.release_reservation();
                self.fail(&error)
            }
        }
    }

    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.shared.as_deref().filter(|_| !self.closed) {
            Some(shared) => shared.write(bytes),
            None => Err(ErrorKind::NotConnected.into()),
        }
    }

    fn release_reservation(&mut self) {
        if let Some(Reservation { budget, bytes }) = self.reservation.take() {
            budget.release(bytes);
        }
    }

    fn fail(&mut self, error: &io::Error) -> WriteOutcome {
        debug!("writing to a link failed: {error}");
        self.close();
        WriteOutcome::Failed
    }

    pub fn close(&mut self) {
        self.closed = true;
        if let Some(shared) = &self.shared {
            let _ = shared.stream.shutdown(Shutdown::Both); // fails if it has ended already
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.release_reservation();
    }
}
