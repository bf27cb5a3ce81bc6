//! Connections of clients: a thread that accepts, and for each connection one that reads and one that writes.

use std::io::{self, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use log::debug;

use crate::buffer::Buffer;
use crate::http::{self, Request};
use crate::reducer::Input;
use crate::service::{Tell, spawn};

/// Reading parses JSON; writing does nothing but write.
const READ_STACK: usize = 128 * 1024;
const WRITE_STACK: usize = 32 * 1024;
/// A client that takes no bytes for so long is given up.
const STUCK: Duration = Duration::from_secs(5);
/// Requests of a connection that may wait for their answers: more than a client that waits for each ever sends.
const AHEAD: usize = 16;
/// After a failed accept (no descriptors left, say) the next one waits so long.
const PAUSE: Duration = Duration::from_millis(20);

/// Bytes to a client, and whether the connection ends with them.
pub struct Say {
    pub bytes: Vec<u8>,
    pub last: bool,
}

/// A client's connection, as the service holds it. All halves share one descriptor.
pub struct Line {
    pub says: Sender<Say>,
    stream: Arc<TcpStream>,
}

impl Line {
    /// Wakes the reader once it has read what has come.
    pub fn hang_up(&self) {
        let _ = self.stream.shutdown(Shutdown::Read); // it may be gone already
    }
}

/// Accepts until told to stop; a last connection of our own wakes it for that. Each connection takes one of
/// the `places` until it has ended, so that accepting never outruns the limit on descriptors.
pub fn accept(listener: &TcpListener, places: usize, stop: &AtomicBool, tell: &Tell) {
    let (leave, place) = bounded(places);
    for _ in 0..places {
        let _ = leave.send(()); // it has room for all
    }
    let mut next = 0;
    while !stop.load(Ordering::Acquire) && place.recv().is_ok() {
        match listener.accept() {
            Ok(_) if stop.load(Ordering::Acquire) => return,
            Ok((stream, _)) => {
                next += 1;
                let owed = Owed { conn: next, leave: leave.clone(), tell: tell.clone() };
                if let Err(error) = serve(stream, owed) {
                    debug!("a client could not be served: {error}");
                    tell.say(Input::AcceptFailed);
                }
            }
            Err(error) => {
                debug!("accept: {error}");
                let _ = leave.send(());
                tell.say(Input::AcceptFailed);
                std::thread::sleep(PAUSE);
            }
        }
    }
}

fn serve(stream: TcpStream, owed: Owed) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(STUCK))?;
    let stream = Arc::new(stream);
    let (says, said) = unbounded();
    let (answered, owing) = bounded(AHEAD);
    for _ in 0..AHEAD {
        let _ = answered.send(()); // it has room for all
    }
    // The service knows the connection before its reader can tell of it.
    owed.tell.client(owed.conn, Line { says, stream: stream.clone() });
    let out = stream.clone();
    spawn("client-out", WRITE_STACK, move || write(&out, &said, &answered))?;
    spawn("client-in", READ_STACK, move || read(&stream, &owing, &owed))
}

fn write(mut stream: &TcpStream, said: &Receiver<Say>, answered: &Sender<()>) {
    for Say { bytes, last } in said {
        if stream.write_all(&bytes).is_err() {
            break;
        }
        let _ = answered.send(()); // the reader may have ended
        if last {
            // The reader goes on until the client has closed, so that no reset overtakes the answer.
            let _ = stream.shutdown(Shutdown::Write);
            return;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Tells of a connection's end and leaves its place however its thread ends, a panic included.
struct Owed {
    conn: u64,
    leave: Sender<()>,
    tell: Tell,
}

impl Drop for Owed {
    fn drop(&mut self) {
        let _ = self.leave.send(()); // nobody accepts any more
        self.tell.say(Input::ClientEnd { conn: self.conn });
    }
}

/// Reads on only while few answers are owed, so that a client which takes none is none the larger for it.
fn read(mut stream: &TcpStream, owing: &Receiver<()>, owed: &Owed) {
    let mut buffer = Buffer::default();
    let mut over = false;
    while let Ok(1..) = buffer.fill(&mut stream) {
        while let Some(request) = http::request(buffer.bytes()).filter(|_| !over) {
            if owing.recv().is_err() {
                return; // nothing can be written any more
            }
            buffer.used(request.used);
            over = request.close;
            let Request { ask, close, .. } = request;
            owed.tell.say(Input::Asked { conn: owed.conn, ask, close });
        }
        if over {
            buffer.used(usize::MAX); // nothing that follows the last request counts
        }
    }
}
