//! Connections to searchers: for each a thread that connects and writes, and one that reads.

use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, SocketAddrV4, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, unbounded};
use log::debug;

use crate::buffer::Buffer;
use crate::frame;
use crate::reducer::Input;
use crate::service::{Tell, spawn};

const STACK: usize = 64 * 1024;

/// Opens a link in threads of its own. Each frame sent to it is written; when the sender is dropped, the link
/// ends. Its end is told once, with the number of frames that were written whole; not where it could not start.
pub fn open(link: u64, addr: SocketAddrV4, connect: Duration, tell: &Tell) -> io::Result<Sender<Vec<u8>>> {
    let (frames, queue) = unbounded();
    let told = tell.clone();
    spawn("searcher-out", STACK, move || run(link, addr, connect, &queue, &told))?;
    Ok(frames)
}

/// Tells of a link's end however its thread ends, a panic included.
struct Owed<'a> {
    link: u64,
    written: u64,
    tell: &'a Tell,
}

impl Drop for Owed<'_> {
    fn drop(&mut self) {
        self.tell.say(Input::LinkEnd { link: self.link, written: self.written });
    }
}

fn run(link: u64, addr: SocketAddrV4, connect: Duration, queue: &Receiver<Vec<u8>>, tell: &Tell) {
    let mut owed = Owed { link, written: 0, tell };
    let stream = match TcpStream::connect_timeout(&SocketAddr::V4(addr), connect) {
        Ok(stream) => Arc::new(stream),
        Err(error) => return debug!("{addr}: {error}"),
    };
    // A searcher that takes no bytes for as long as one may take to connect is as good as gone.
    if stream.set_nodelay(true).is_err() || stream.set_write_timeout(Some(connect)).is_err() {
        return;
    }
    let (into, told) = (stream.clone(), tell.clone());
    if spawn("searcher-in", STACK, move || read(link, addr, &into, &told)).is_err() {
        return;
    }
    tell.say(Input::LinkUp { link });
    for frame in queue {
        if let Err(error) = (&*stream).write_all(&frame) {
            debug!("{addr}: {error}");
            break;
        }
        owed.written += 1;
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Ends the connection for both halves and tells that it is broken.
struct Broken<'a>(u64, &'a TcpStream, &'a Tell);

impl Drop for Broken<'_> {
    fn drop(&mut self) {
        let _ = self.1.shutdown(Shutdown::Both);
        self.2.say(Input::LinkBroken { link: self.0 });
    }
}

fn read(link: u64, addr: SocketAddrV4, stream: &TcpStream, tell: &Tell) {
    let _broken = Broken(link, stream, tell);
    let (mut buffer, mut input) = (Buffer::default(), stream);
    while let Ok(1..) = buffer.fill(&mut input) {
        loop {
            match frame::read(buffer.bytes()) {
                Ok(Some((frame, used))) => {
                    buffer.used(used);
                    tell.say(Input::Frame { link, frame });
                }
                Ok(None) => break,
                Err(why) => {
                    debug!("{addr} sent {why}");
                    tell.say(Input::BadFrame { link, why });
                    return;
                }
            }
        }
    }
}
