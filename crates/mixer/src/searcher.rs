//! Connections to searchers: for each a thread that connects and reads. What goes out on one is written at once.

use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, SocketAddrV4, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use tracing::debug;

use crate::buffer::{Buffer, Room};
use crate::frame;
use crate::reducer::Input;
use crate::service::{Tell, spawn};

const STACK: usize = 64 * 1024;
/// A searcher that takes no bytes for so long has more waiting than connections hold: it is as good as gone.
const STUCK: Duration = Duration::from_millis(5);

/// A link, as the service holds it.
#[derive(Default)]
pub struct Link {
    /// Absent until it is up.
    stream: Option<Arc<TcpStream>>,
    closed: bool,
    /// Frames that were written whole.
    pub written: u64,
}

impl Link {
    pub fn up(&mut self, stream: Arc<TcpStream>) {
        self.stream = Some(stream);
        if self.closed {
            self.close();
        }
    }

    /// Writes a frame. Where that fails the link ends, and its reader tells of it.
    pub fn write(&mut self, frame: &[u8]) {
        let Some(mut stream) = self.stream.as_deref().filter(|_| !self.closed) else { return };
        match stream.write_all(frame) {
            Ok(()) => self.written += 1,
            Err(error) => {
                debug!("a link takes no more: {error}");
                self.close();
            }
        }
    }

    pub fn close(&mut self) {
        self.closed = true;
        if let Some(stream) = &self.stream {
            let _ = stream.shutdown(Shutdown::Both); // it may have ended already
        }
    }
}

/// Opens a link in a thread of its own. Its end is told once; not where it could not start.
pub fn open(link: u64, addr: SocketAddrV4, connect: Duration, room: &Room, tell: &Tell) -> io::Result<()> {
    let (room, tell) = (room.clone(), tell.clone());
    spawn("searcher", STACK, move || {
        let owed = Owed { link, tell };
        if let Err(why) = run(&owed, addr, connect, &room) {
            debug!("{addr}: {why}");
        }
    })
}

/// Tells of a link's end however its thread ends, a panic included.
struct Owed {
    link: u64,
    tell: Tell,
}

impl Drop for Owed {
    fn drop(&mut self) {
        self.tell.say(Input::LinkEnd { link: self.link, written: 0 }); // the service knows how many were
    }
}

fn run(owed: &Owed, addr: SocketAddrV4, connect: Duration, room: &Room) -> io::Result<()> {
    let stream = Arc::new(TcpStream::connect_timeout(&SocketAddr::V4(addr), connect)?);
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(STUCK))?;
    // A frame that has begun comes whole in less than a connection takes to come up.
    owed.tell.link(owed.link, stream.clone());
    let ended = read(owed, &stream, connect, room);
    let _ = stream.shutdown(Shutdown::Both);
    ended
}

fn read(owed: &Owed, mut stream: &TcpStream, whole_in: Duration, room: &Room) -> io::Result<()> {
    let (mut buffer, mut begun) = (Buffer::new(room), false);
    let link = owed.link;
    let bad = |frames, why: String| {
        owed.tell.say(Input::Frames { link, frames, bad: Some(why.clone()) });
        Err(io::Error::other(why))
    };
    loop {
        match buffer.fill(&mut stream) {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return bad(Vec::new(), "a frame that does not end".to_owned());
            }
            Err(error) => return Err(error),
        }
        let mut frames = Vec::new();
        loop {
            match frame::read(buffer.bytes()) {
                Ok(Some((frame, used))) => {
                    buffer.used(used);
                    frames.push(frame);
                }
                Ok(None) => break,
                // What came before is told with it, so that nothing new goes out on the link in between.
                Err(why) => return bad(frames, why),
            }
        }
        if !frames.is_empty() {
            owed.tell.say(Input::Frames { link, frames, bad: None });
        }
        if begun == buffer.bytes().is_empty() {
            begun = !begun;
            stream.set_read_timeout(begun.then_some(whole_in))?;
        }
    }
}
