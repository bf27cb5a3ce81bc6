//! A client's connection as the service holds it, and what it shares with the thread that reads it.

use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crossbeam_channel::Sender;
use mio::Waker;
use mio::net::TcpStream;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;

use crate::stream::write_some;

/// What the service and the reading thread share of a connection.
pub(crate) struct Shared {
    pub stream: TcpStream,
    /// An answer is owed: the next request is taken up once it is given.
    pub owing: AtomicBool,
    /// The reader has more and waits for that answer.
    pub waits: AtomicBool,
    /// The last answer is given: what still comes is discarded.
    pub over: AtomicBool,
}

impl Shared {
    /// Whether the other side has closed or reset the connection; unread bytes before that do not hide it.
    pub fn has_ended(&self) -> bool {
        loop {
            let mut ends = [PollFd::new(&self.stream, PollFlags::RDHUP)];
            match poll(&mut ends, Some(&Timespec::default())) {
                Ok(found) => return found > 0,
                Err(Errno::INTR) => {}
                Err(_) => return false, // then the reading thread tells
            }
        }
    }

    /// An answer was written whole.
    pub fn said(&self, last: bool) {
        if last {
            // Before the reader may take up another request.
            self.over.store(true, Ordering::SeqCst);
        }
        self.owing.store(false, Ordering::SeqCst);
        if last {
            // Reading goes on until the client has closed, so that no reset overtakes the answer.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }
}

pub(crate) enum Order {
    /// The rest of an answer, and whether the connection ends with it.
    Write(u64, Vec<u8>, bool),
    /// The answer that it waited for is given.
    Resume(u64),
    /// Ends a connection once all is written.
    Drop(u64),
    /// Ends it once all that has come is read and answered.
    HangUp(u64),
    /// Ends it, as its client has had its last answer and its time to close.
    Leave(u64),
    StopListening,
}

/// The way to the reading thread.
#[derive(Clone)]
pub struct Orders {
    pub(crate) to: Sender<Order>,
    pub(crate) waker: Arc<Waker>,
}

impl Orders {
    fn give(&self, order: Order) {
        // The thread may have ended with the program.
        let _ = self.to.send(order);
        let _ = self.waker.wake();
    }

    /// Has a connection read from in another turn.
    pub(crate) fn resume(&self, conn: u64) {
        self.give(Order::Resume(conn));
    }

    pub fn stop_listening(&self) {
        self.give(Order::StopListening);
    }
}

/// A client's connection, as the service holds it.
pub struct Line {
    pub(crate) conn: u64,
    pub(crate) shared: Arc<Shared>,
    pub(crate) orders: Orders,
    /// It once did not take an answer at once: from then on the reading thread writes.
    pub(crate) slow: bool,
    /// It was given its last answer.
    pub(crate) over: bool,
}

impl Line {
    /// Whether the system knows that the client has closed its side, whatever the reading thread has come to.
    pub fn has_left(&self) -> bool {
        self.shared.has_ended()
    }

    /// Gives an answer; false if its rest is left to the reading thread, which tells when it is written.
    pub fn say(&mut self, mut bytes: Vec<u8>, last: bool) -> bool {
        self.over |= last;
        if !self.slow {
            match write_some(&self.shared.stream, &bytes) {
                Ok(written) if written == bytes.len() => {
                    self.shared.said(last);
                    if self.shared.waits.swap(false, Ordering::SeqCst) {
                        self.orders.give(Order::Resume(self.conn));
                    }
                    return true;
                }
                Ok(written) => drop(bytes.drain(..written)),
                Err(_) => {
                    let _ = self.shared.stream.shutdown(Shutdown::Both); // the reader tells of the end
                    return true;
                }
            }
            self.slow = true;
        }
        self.orders.give(Order::Write(self.conn, bytes, last));
        false
    }

    /// Ends it once what has come is read and answered; at once, if the last answer was given before. Reading is not shut: a client's
    /// leaving would look the same.
    pub fn hang_up(&self) {
        self.orders.give(match self.over {
            true => Order::Leave(self.conn),
            false => Order::HangUp(self.conn),
        });
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.orders.give(Order::Drop(self.conn));
    }
}
