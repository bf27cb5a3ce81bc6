//! A connection to a searcher as the service holds it: frames are written as far as the searcher takes them, and nobody waits for
//! the rest.

use std::io::{self, ErrorKind};
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use mio::net::TcpStream;
use tracing::debug;

use crate::buffer::MemoryBudget;
use crate::stream::write_some;

/// What the service and the thread that reads share of a link.
pub struct Shared {
    pub stream: TcpStream,
    /// The service has more to write, and is to be told when there is room for it.
    awaits_room: AtomicBool,
}

impl Shared {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, awaits_room: AtomicBool::new(false) }
    }

    /// Whether the service is to be told that there is room; it has to be, as it is said once.
    pub fn take_awaits_room(&self) -> bool {
        self.awaits_room.swap(false, Ordering::SeqCst)
    }

    /// Writes what is taken now; how much that was. Short of all, the reader tells once there is room.
    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = 0;
        loop {
            written += write_some(&self.stream, &bytes[written..])?;
            if written == bytes.len() {
                self.awaits_room.store(false, Ordering::SeqCst);
                return Ok(written);
            }
            // Room that came before this was set has been passed over: it is looked for once more.
            if self.awaits_room.swap(true, Ordering::SeqCst) {
                return Ok(written);
            }
        }
    }
}

/// What became of a frame that was to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    Whole,
    /// Its rest follows once there is room.
    Partly,
    /// Nothing of the rest was taken.
    Stalled,
    /// Not a byte was taken: it can be withdrawn.
    NotBegun,
    /// The link ends, and its reader tells of it.
    Failed,
}

/// A link, as the service holds it.
#[derive(Default)]
pub struct Link {
    /// Absent until it is up.
    shared: Option<Arc<Shared>>,
    closed: bool,
    /// The rest of the frame that has begun.
    rest: Vec<u8>,
    /// What the rests of all links may take, and how much of it this one holds.
    room: Option<(MemoryBudget, usize)>,
    /// Frames that were written whole.
    pub written: u64,
}

impl Link {
    pub fn up(&mut self, shared: Arc<Shared>) {
        self.shared = Some(shared);
        if self.closed {
            self.close();
        }
    }

    /// Whether nothing can be written until the reader has told that there is room.
    pub fn awaits_room(&self) -> bool {
        self.shared.as_ref().is_some_and(|shared| shared.awaits_room.load(Ordering::SeqCst))
    }

    /// Lets the next write be tried though nobody has told of room.
    pub fn retry(&self) {
        if let Some(shared) = &self.shared {
            shared.awaits_room.store(false, Ordering::SeqCst);
        }
    }

    /// Whether a frame has begun and is not whole.
    pub fn has_rest(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Writes a frame, behind which nothing else may wait. `room` is what the rests of all links may take: where it does not do, the
    /// link ends.
    pub fn write(&mut self, frame: Vec<u8>, room: &MemoryBudget) -> Written {
        match self.put(&frame) {
            Ok(count) if count == frame.len() => {
                self.written += 1;
                Written::Whole
            }
            Ok(0) => Written::NotBegun,
            Ok(count) => {
                if !room.try_reserve(frame.len()) {
                    return self.fail(&ErrorKind::OutOfMemory.into());
                }
                self.room = Some((room.clone(), frame.len()));
                self.rest = frame;
                self.rest.drain(..count);
                Written::Partly
            }
            Err(error) => self.fail(&error),
        }
    }

    /// Goes on with the frame that has begun.
    pub fn write_rest(&mut self) -> Written {
        let rest = std::mem::take(&mut self.rest);
        match self.put(&rest) {
            Ok(count) if count == rest.len() => {
                self.give_room_back();
                self.written += 1;
                Written::Whole
            }
            Ok(count) => {
                self.rest = rest;
                self.rest.drain(..count);
                if count > 0 { Written::Partly } else { Written::Stalled }
            }
            Err(error) => {
                self.give_room_back();
                self.fail(&error)
            }
        }
    }

    fn put(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.shared.as_deref().filter(|_| !self.closed) {
            Some(shared) => shared.write(bytes),
            None => Err(ErrorKind::NotConnected.into()),
        }
    }

    fn give_room_back(&mut self) {
        if let Some((room, bytes)) = self.room.take() {
            room.release(bytes);
        }
    }

    fn fail(&mut self, error: &io::Error) -> Written {
        debug!("a link takes no more: {error}");
        self.close();
        Written::Failed
    }

    pub fn close(&mut self) {
        self.closed = true;
        if let Some(shared) = &self.shared {
            let _ = shared.stream.shutdown(Shutdown::Both); // it may have ended already
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.give_room_back();
    }
}
