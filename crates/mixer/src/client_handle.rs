//! A client's connection as the service holds it, and the state that it shares with the reading thread.

use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crossbeam_channel::Sender;
use mio::Waker;
use mio::net::TcpStream;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;

use crate::inputs::ConnectionId;
use crate::stream::write_some;

/// What the service and the reading thread share of a client's connection.
pub(crate) struct SharedConnection {
    pub stream: TcpStream,
    /// A request was reported and has no answer yet. The next one is parsed after the answer.
    pub awaits_answer: AtomicBool,
    /// The reading thread has bytes of a further request, and waits for that answer.
    pub reader_waits: AtomicBool,
    /// The last answer has been given: whatever arrives after it is discarded.
    pub finished: AtomicBool,
}

impl SharedConnection {
    /// Whether the other side has closed or reset the connection, even if there are unread bytes before that.
    pub fn has_ended(&self) -> bool {
        loop {
            let mut descriptors = [PollFd::new(&self.stream, PollFlags::RDHUP)];
            match poll(&mut descriptors, Some(&Timespec::default())) {
                Ok(found) => return found > 0,
                Err(Errno::INTR) => {}
                Err(_) => return false, // the reading thread reports the end in that case
            }
        }
    }

    /// Records that an answer was written completely.
    pub fn answer_written(&self, last: bool) {
        if last {
            // Set before the reading thread may parse another request.
            self.finished.store(true, Ordering::SeqCst);
        }
        self.awaits_answer.store(false, Ordering::SeqCst);
        if last {
            // Reading goes on until the client has closed, so that no reset overtakes the answer.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }
}

/// A command of the service to the thread that reads from clients.
pub(crate) enum Command {
    /// Writes the rest of an answer.
    Write {
        connection_id: ConnectionId,
        bytes: Vec<u8>,
        /// The connection ends with the answer.
        last: bool,
    },
    /// Reads a connection again, as the answer that it waited for is written, or as there was more to read in
    /// its last turn.
    Resume(ConnectionId),
    /// Ends a connection once everything is written.
    Release(ConnectionId),
    /// Ends a connection once everything that has arrived is read and answered.
    Close(ConnectionId),
    /// Ends a connection whose client has had its last answer and its time to close.
    CloseFinished(ConnectionId),
    StopListening,
}

/// Sends commands to the thread that reads from clients.
#[derive(Clone)]
pub struct CommandSender {
    pub(crate) sender: Sender<Command>,
    pub(crate) waker: Arc<Waker>,
}

impl CommandSender {
    fn send(&self, command: Command) {
        let _ = self.sender.send(command); // fails once the thread has ended
        let _ = self.waker.wake();
    }

    /// Has a connection read again in another turn.
    pub(crate) fn resume(&self, connection_id: ConnectionId) {
        self.send(Command::Resume(connection_id));
    }

    pub fn stop_listening(&self) {
        self.send(Command::StopListening);
    }
}

/// A client's connection as the service holds it. Dropping it releases the connection.
pub struct ClientHandle {
    pub(crate) connection_id: ConnectionId,
    pub(crate) shared: Arc<SharedConnection>,
    pub(crate) commands: CommandSender,
    /// An answer could not be written at once: since then the reading thread writes all answers.
    pub(crate) written_by_reader: bool,
    /// It was given its last answer.
    pub(crate) finished: bool,
}

impl ClientHandle {
    /// Whether the client has closed its side as far as the operating system knows, even if the reading thread
    /// has not noticed yet.
    pub fn has_disconnected(&self) -> bool {
        self.shared.has_ended()
    }

    /// Writes an answer. Returns false if its rest is left to the reading thread, which reports once it is
    /// written.
    pub fn answer(&mut self, mut bytes: Vec<u8>, last: bool) -> bool {
        self.finished |= last;
        if !self.written_by_reader {
            match write_some(&self.shared.stream, &bytes) {
                Ok(written) if written == bytes.len() => {
                    self.shared.answer_written(last);
                    if self.shared.reader_waits.swap(false, Ordering::SeqCst) {
                        self.commands.send(Command::Resume(self.connection_id));
                    }
                    return true;
                }
                Ok(written) => drop(bytes.drain(..written)),
                Err(_) => {
                    let _ = self.shared.stream.shutdown(Shutdown::Both); // the reading thread reports the end
                    return true;
                }
            }
            self.written_by_reader = true;
        }
        self.commands.send(Command::Write { connection_id: self.connection_id, bytes, last });
        false
    }

    /// Ends the connection once what has arrived is read and answered; at once if the last answer was given
    /// before. The reading side is not shut down, as that would look the same as the client's disconnect.
    pub fn close(&self) {
        self.commands.send(match self.finished {
            true => Command::CloseFinished(self.connection_id),
            false => Command::Close(self.connection_id),
        });
    }
}

impl Drop for ClientHandle {
    fn drop(&mut self) {
        self.commands.send(Command::Release(self.connection_id));
    }
}
