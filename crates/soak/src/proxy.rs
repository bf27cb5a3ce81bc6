//! A fault proxy as a process, between the mixers and some searchers. It reads at once whatever a mixer writes, also while it
//! passes nothing on but not while it is deaf, and records every part with the times of its first and last byte.

use std::io::{self, BufRead, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, Builder};
use std::time::Duration;

use anyhow::Result;
use rustix::net::sockopt;
use serde::{Deserialize, Serialize};

use crate::clock::now_ms;
use crate::control::{self, Passing, ProxyOrder};
use crate::record::{self, Event, Recorder};
use crate::settings::{NARROW, holds};

const STACK: usize = 128 * 1024;
/// Bytes that are read at once.
const PIECE: usize = 8 * 1024;
/// How often a stalled connection looks whether it goes on.
const LOOK: Duration = Duration::from_millis(5);
/// Pieces of a chopped connection, and the time between two.
const CHOPPED: usize = 7;
const CHOP: Duration = Duration::from_micros(300);

/// A searcher's address as it is listed, and where it really is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Way {
    pub listen: SocketAddr,
    pub target: SocketAddr,
    pub searcher: String,
    pub cell: u32,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    pub folder: String,
    pub number: usize,
    pub ways: Vec<Way>,
    /// Connections take few bytes ahead of who reads them.
    pub narrow: bool,
}

struct Shared {
    passing: Mutex<Passing>,
    recorder: Recorder,
}

impl Shared {
    fn passing(&self) -> Passing {
        *self.passing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves until its runner has gone.
pub fn serve(setup: Setup) -> Result<()> {
    let recorder = record::recorder(&setup.folder, &format!("proxy-{}", setup.number))?;
    let shared = Arc::new(Shared { passing: Mutex::default(), recorder });
    for way in setup.ways {
        let (listener, shared) = (TcpListener::bind(way.listen)?, shared.clone());
        if setup.narrow {
            sockopt::set_socket_recv_buffer_size(&listener, NARROW)?;
        }
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if shared.passing() == Passing::Refuses {
                    continue; // it ends here
                }
                let (way, shared) = (way.clone(), shared.clone());
                // One that can't be served ends here.
                let _ = Builder::new().stack_size(STACK).spawn(move || drop(connect(&near, way, &shared)));
            }
        });
    }
    control::obey(|ProxyOrder::Passing(passing)| {
        *shared.passing.lock().unwrap_or_else(PoisonError::into_inner) = passing;
    });
    Ok(())
}

fn connect(near: &TcpStream, way: Way, shared: &Arc<Shared>) -> io::Result<()> {
    let far = TcpStream::connect(way.target)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (to_far, from_near) = channel();
    let (to_near, from_far) = channel();
    let spawn = |run: Box<dyn FnOnce() + Send>| Builder::new().stack_size(STACK).spawn(run).map(drop);
    let (stream, sharing) = (near.try_clone()?, shared.clone());
    spawn(Box::new(move || {
        let is_deaf = || sharing.passing() == Passing::Deaf;
        read(&stream, &to_far, &is_deaf, &mut |bytes, at| sharing.recorder.watch(bytes, at, &way));
    }))?;
    let stream = far.try_clone()?;
    spawn(Box::new(move || read(&stream, &to_near, &|| false, &mut |_, _| 0)))?;
    let (to, back, sharing) = (near.try_clone()?, far.try_clone()?, shared.clone());
    spawn(Box::new(move || write(&to, &back, &from_far, &sharing)))?;
    write(&far, near, &from_near, shared);
    Ok(())
}

/// Reads all that comes and hands it on; `watch` is shown what it has not yet used up, and says how much of it it has.
fn read(
    mut stream: &TcpStream,
    to: &Sender<Vec<u8>>,
    is_deaf: &dyn Fn() -> bool,
    watch: &mut dyn FnMut(&[u8], &mut Vec<f64>) -> usize,
) {
    let (mut unused, mut times) = (Vec::new(), Vec::new());
    let mut bytes = vec![0; PIECE];
    loop {
        while is_deaf() {
            thread::sleep(LOOK);
        }
        let Ok(count @ 1..) = stream.read(&mut bytes) else { return };
        let at = now_ms();
        unused.extend_from_slice(&bytes[..count]);
        times.resize(unused.len(), at);
        let used = watch(&unused, &mut times);
        unused.drain(..used);
        times.drain(..used);
        if to.send(bytes[..count].to_vec()).is_err() {
            return;
        }
    }
}

/// Passes on what comes, as it is told to, and ends both sides with it.
fn write(mut to: &TcpStream, from: &TcpStream, pieces: &Receiver<Vec<u8>>, shared: &Shared) {
    for piece in pieces {
        while shared.passing() == Passing::Stalled {
            thread::sleep(LOOK);
        }
        let passed = match shared.passing() {
            Passing::Cut => {
                let _ = to.write_all(&piece[..piece.len() / 2]); // it ends in any case
                break;
            }
            Passing::Chopped => piece.chunks(CHOPPED).try_for_each(|few| {
                thread::sleep(CHOP);
                to.write_all(few)
            }),
            _ => to.write_all(&piece),
        };
        if passed.is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both); // either may have ended
    let _ = to.shutdown(Shutdown::Both);
}

impl Recorder {
    /// Records the parts of the frames that are whole in these bytes, each of which came at its time; how many bytes they took.
    fn watch(&self, bytes: &[u8], times: &mut [f64], way: &Way) -> usize {
        let mut used = 0;
        while let Some((head, rest)) = bytes[used..].split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*head) as usize;
            let Some(frame) = rest.get(..length) else { break };
            if let Some((b'D', call)) = frame.split_first() {
                let (at, whole_at) = (times[used], times[used + 3 + length]);
                self.call(call, at, whole_at, way);
            }
            used += 4 + length;
        }
        used
    }

    fn call(&self, mut rest: &[u8], at: f64, whole_at: f64, way: &Way) {
        while !rest.is_empty() {
            let mut line = String::new();
            if rest.read_line(&mut line).is_err() {
                return;
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            let [part, shard, list, length] = words[..] else { return };
            let told_ms =
                list.split(',').find_map(|pair| pair.strip_prefix("d=")?.parse().ok()).unwrap_or(0.0);
            let (part, searcher) = (part.to_owned(), way.searcher.clone());
            let holds = shard.parse().is_ok_and(|shard| holds(way.cell, shard));
            self.record(&Event::Attempt { at, whole_at, part, searcher, told_ms, holds });
            rest = rest.get(length.parse().unwrap_or(0)..).unwrap_or_default();
        }
    }
}
