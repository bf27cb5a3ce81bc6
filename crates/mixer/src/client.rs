//! Connections of clients: a thread that accepts, and for each connection one that reads. What is said to a
//! client is written at once; a thread of its own writes on only where the client does not take it.

use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use log::debug;

use crate::buffer::{Buffer, Room};
use crate::http::{Ask, Progress, Request};
use crate::reducer::Input;
use crate::service::{Tell, spawn};

/// Reading parses JSON; writing does nothing but write.
const READ_STACK: usize = 128 * 1024;
const WRITE_STACK: usize = 32 * 1024;
/// The one loop waits so long for a client to take an answer, as good as not at all.
const AT_ONCE: Duration = Duration::from_millis(1);
/// A client that takes no bytes for so long is given up.
const STUCK: Duration = Duration::from_secs(5);
/// After a failed accept (no descriptors left, say) the next one waits so long.
const PAUSE: Duration = Duration::from_millis(20);
/// A thread that has served a connection waits so long for another one.
const SPARE: Duration = Duration::from_secs(1);
/// Bytes that are taken and passed over after a connection's last request, so that no reset overtakes its
/// answer. Who sends more has had an answer and does not read it.
const REST: usize = 64 * 1024;

/// A client's connection, as the service holds it. All halves share one descriptor.
pub struct Line {
    stream: Arc<TcpStream>,
    /// Lets the reader go on to the next request.
    answered: Sender<()>,
    /// To the thread that writes on, once there had to be one.
    slow: Option<Sender<Say>>,
}

/// Bytes to a client, and whether the connection ends with them.
struct Say {
    bytes: Vec<u8>,
    last: bool,
}

impl Line {
    pub fn say(&mut self, bytes: Vec<u8>, last: bool) {
        let mut say = Say { bytes, last };
        if self.slow.is_none() {
            match put(&self.stream, &say.bytes) {
                Ok(()) => return said(&self.stream, &self.answered, last),
                Err((written, ErrorKind::WouldBlock | ErrorKind::TimedOut)) => {
                    say.bytes.drain(..written);
                    self.slow = self.write_on().ok();
                }
                Err(_) => {}
            }
        }
        if self.slow.as_ref().is_none_or(|slow| slow.send(say).is_err()) {
            let _ = self.stream.shutdown(Shutdown::Both); // the reader tells of the end
        }
    }

    fn write_on(&self) -> io::Result<Sender<Say>> {
        let (slow, says) = unbounded(); // one more is owed at most, as the reader waits for it
        let (out, answered) = (self.stream.clone(), self.answered.clone());
        out.set_write_timeout(Some(STUCK))?;
        spawn("client-out", WRITE_STACK, move || write_on(&out, &says, &answered))?;
        Ok(slow)
    }

    /// Wakes the reader once it has read what has come.
    pub fn hang_up(&self) {
        let _ = self.stream.shutdown(Shutdown::Read); // it may be gone already
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        if self.slow.is_none() {
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}

/// Writes all; how much was written before it failed.
fn put(mut stream: &TcpStream, bytes: &[u8]) -> Result<(), (usize, ErrorKind)> {
    let mut written = 0;
    while written < bytes.len() {
        match stream.write(&bytes[written..]) {
            Ok(0) => return Err((written, ErrorKind::WriteZero)),
            Ok(count) => written += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err((written, error.kind())),
        }
    }
    Ok(())
}

fn said(stream: &TcpStream, answered: &Sender<()>, last: bool) {
    let _ = answered.try_send(()); // the reader may have ended
    if last {
        // The reader goes on until the client has closed, so that no reset overtakes the answer.
        let _ = stream.shutdown(Shutdown::Write);
    }
}

fn write_on(stream: &TcpStream, says: &Receiver<Say>, answered: &Sender<()>) {
    for Say { bytes, last } in says {
        if put(stream, &bytes).is_err() {
            break;
        }
        said(stream, answered, last);
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Accepts until told to stop; a last connection of our own wakes it for that. Each connection takes one of
/// the `places` until it has ended, so that accepting never outruns the limit on descriptors.
pub fn accept(listener: &TcpListener, places: usize, room: &Room, stop: &AtomicBool, tell: &Tell) {
    let (leave, place) = bounded(places);
    for _ in 0..places {
        let _ = leave.send(()); // it has room for all
    }
    let (give, jobs) = bounded(0);
    let mut next = 0;
    while !stop.load(Ordering::Acquire) && place.recv().is_ok() {
        match listener.accept() {
            Ok(_) if stop.load(Ordering::Acquire) => return,
            Ok((stream, _)) => {
                next += 1;
                let owed = Owed { conn: next, leave: leave.clone(), tell: tell.clone() };
                if let Err(error) = serve(stream, owed, room, &give, &jobs) {
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

/// A connection that waits for a thread.
struct Job {
    stream: Arc<TcpStream>,
    owing: Receiver<()>,
    owed: Owed,
}

/// Gives a connection to a thread that has none just now, or to a new one.
fn serve(
    stream: TcpStream,
    owed: Owed,
    room: &Room,
    give: &Sender<Job>,
    jobs: &Receiver<Job>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(AT_ONCE))?;
    let stream = Arc::new(stream);
    // One request is told at a time: the next is taken up once it is answered.
    let (answered, owing) = bounded(1);
    let _ = answered.send(()); // it has room for it
    // The service knows the connection before its reader can tell of it.
    owed.tell.client(owed.conn, Line { stream: stream.clone(), answered, slow: None });
    let Err(job) = give.try_send(Job { stream, owing, owed }) else { return Ok(()) };
    let (mut job, jobs, room) = (job.into_inner(), jobs.clone(), room.clone());
    spawn("client", READ_STACK, move || {
        loop {
            read(&job.stream, &job.owing, &job.owed, &room);
            drop(job);
            match jobs.recv_timeout(SPARE) {
                Ok(next) => job = next,
                Err(_) => return,
            }
        }
    })
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

fn read(mut stream: &TcpStream, owing: &Receiver<()>, owed: &Owed, room: &Room) {
    let (mut buffer, mut progress, mut begun) = (Buffer::new(room), Progress::default(), false);
    let conn = owed.conn;
    loop {
        match buffer.fill(&mut stream) {
            Ok(1..) => {}
            Err(error) if error.kind() == ErrorKind::OutOfMemory => {
                if owing.recv().is_ok() {
                    let ask = Ask::Unusable(503, "no room for so long a request".to_owned());
                    owed.tell.say(Input::Asked { conn, ask, close: true });
                }
                return pass_over(stream);
            }
            _ => return,
        }
        while let Some(Request { ask, close, used }) = progress.request(buffer.bytes()) {
            if owing.recv().is_err() {
                return; // nothing can be written any more
            }
            buffer.used(used);
            begun = false;
            owed.tell.say(Input::Asked { conn, ask, close });
            if close {
                drop(buffer);
                return pass_over(stream);
            }
        }
        if !buffer.bytes().is_empty() && !begun {
            begun = true;
            owed.tell.say(Input::Begun { conn });
        }
    }
}

/// Nothing that follows the last request counts.
fn pass_over(mut stream: &TcpStream) {
    let (mut bytes, mut left) = ([0; 4096], REST);
    while left > 0 {
        match io::Read::read(&mut stream, &mut bytes) {
            Ok(0) => return,
            Ok(count) => left = left.saturating_sub(count),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    }
}
