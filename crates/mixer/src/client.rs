//! Connections of clients: a thread that accepts, and for each connection one that reads and one that writes.

use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam_channel::{Receiver, unbounded};
use log::{debug, warn};

use crate::buffer::Buffer;
use crate::http;
use crate::reducer::Input;
use crate::service::{Tell, spawn};

/// Reading parses JSON; writing does nothing but write.
const READ_STACK: usize = 128 * 1024;
const WRITE_STACK: usize = 32 * 1024;
/// A client that takes no bytes for so long is given up.
const STUCK: Duration = Duration::from_secs(5);
/// So long a client may go on sending after the last answer of a connection.
const LINGER: Duration = Duration::from_secs(1);
/// After a failed accept (no descriptors left, say) the next one waits so long.
const PAUSE: Duration = Duration::from_millis(20);

/// Bytes to a client, and whether the connection ends with them.
pub struct Say {
    pub bytes: Vec<u8>,
    pub last: bool,
}

/// Accepts until told to stop; a last connection of our own wakes it for that.
pub fn accept(listener: &TcpListener, stop: &AtomicBool, tell: &Tell) {
    let mut next = 0;
    while !stop.load(Ordering::Acquire) {
        match listener.accept() {
            Ok(_) if stop.load(Ordering::Acquire) => return,
            Ok((stream, _)) => {
                next += 1;
                serve(next, stream, tell);
            }
            Err(error) => {
                debug!("accept: {error}");
                tell.say(Input::AcceptFailed);
                std::thread::sleep(PAUSE);
            }
        }
    }
}

fn serve(conn: u64, stream: TcpStream, tell: &Tell) {
    let stream = Arc::new(stream);
    let (says, said) = unbounded();
    if stream.set_nodelay(true).is_err() || stream.set_write_timeout(Some(STUCK)).is_err() {
        return;
    }
    let (out, into, told) = (stream.clone(), stream, tell.clone());
    // The service knows the connection before its reader can tell of it.
    tell.client(conn, says);
    let writer = spawn("client-out", WRITE_STACK, move || write(&out, &said));
    let reader = spawn("client-in", READ_STACK, move || read(conn, &into, &told));
    if let Err(error) = writer.and(reader) {
        warn!("no thread for a client: {error}");
        tell.say(Input::ClientEnd { conn });
    }
}

fn write(mut stream: &TcpStream, said: &Receiver<Say>) {
    for Say { bytes, last } in said {
        if stream.write_all(&bytes).is_err() {
            break;
        }
        if last {
            // The reader goes on until the client has closed, so that no reset overtakes the answer.
            let _ = stream.set_read_timeout(Some(LINGER));
            let _ = stream.shutdown(Shutdown::Write);
            return;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Tells of a connection's end however its thread ends, a panic included.
struct Owed<'a>(u64, &'a Tell);

impl Drop for Owed<'_> {
    fn drop(&mut self) {
        self.1.say(Input::ClientEnd { conn: self.0 });
    }
}

fn read(conn: u64, mut stream: &TcpStream, tell: &Tell) {
    let _owed = Owed(conn, tell);
    let mut buffer = Buffer::default();
    let mut over = false;
    while let Ok(1..) = buffer.fill(&mut stream) {
        while let Some(request) = http::request(buffer.bytes()).filter(|_| !over) {
            buffer.used(request.used);
            over = request.close;
            tell.say(Input::Asked { conn, ask: request.ask, close: request.close });
        }
        if over {
            buffer.used(usize::MAX);
        }
    }
}
