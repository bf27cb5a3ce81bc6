//! A fault proxy as a process, between the mixers and some searchers. It reads whatever a mixer writes at once, even while it
//! forwards nothing (except in [`ProxyMode::Deaf`]), and records each part with the times of its first and last byte.

use std::io::{self, BufRead, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, Builder};
use std::time::Duration;

use anyhow::Result;
use rustix::net::sockopt;
use serde::{Deserialize, Serialize};

use crate::clock::{TimeMs, now_ms};
use crate::control::{self, ProxyCommand, ProxyMode};
use crate::record::{self, Event, Recorder};
use crate::settings::{SMALL_BUFFER_BYTES, cell_holds};

const STACK_BYTES: usize = 128 * 1024;
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// How often a connection that does not forward checks the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The size of the pieces of a chopped connection, in bytes.
const CHOPPED_PIECE_BYTES: usize = 7;
/// The delay before each piece of a chopped connection.
const CHOPPED_PIECE_DELAY: Duration = Duration::from_micros(300);
/// The frame type of a call in the searcher protocol.
const FRAME_CALL: u8 = b'D';
/// The size of the length field of a frame.
const LENGTH_BYTES: usize = 4;

/// The path to a searcher: the address that is listed, and the searcher's own.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Route {
    pub listen: SocketAddr,
    pub target: SocketAddr,
    pub searcher: String,
    pub cell: u32,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    pub folder: String,
    pub number: usize,
    pub routes: Vec<Route>,
    /// Whether connections have small receive buffers.
    pub small_buffers: bool,
}

struct Shared {
    mode: Mutex<ProxyMode>,
    recorder: Recorder,
}

impl Shared {
    fn mode(&self) -> ProxyMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves until the runner ends.
pub fn serve(setup: Setup) -> Result<()> {
    let recorder = record::create_recorder(&setup.folder, &format!("proxy-{}", setup.number))?;
    let shared = Arc::new(Shared { mode: Mutex::default(), recorder });
    for route in setup.routes {
        let (listener, shared) = (TcpListener::bind(route.listen)?, shared.clone());
        if setup.small_buffers {
            sockopt::set_socket_recv_buffer_size(&listener, SMALL_BUFFER_BYTES)?;
        }
        thread::spawn(move || {
            for mixer_side in listener.incoming().flatten() {
                if shared.mode() == ProxyMode::Refuses {
                    continue; // closes the connection
                }
                let (route, shared) = (route.clone(), shared.clone());
                // A connection for which there is no thread is closed.
                let _ = Builder::new()
                    .stack_size(STACK_BYTES)
                    .spawn(move || drop(forward_connection(&mixer_side, route, &shared)));
            }
        });
    }
    control::receive_commands(|ProxyCommand::SetMode(mode)| {
        *shared.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    });
    Ok(())
}

/// Forwards both directions of a connection, each with a thread that reads and one that writes.
fn forward_connection(mixer_side: &TcpStream, route: Route, shared: &Arc<Shared>) -> io::Result<()> {
    let searcher_side = TcpStream::connect(route.target)?;
    mixer_side.set_nodelay(true)?;
    searcher_side.set_nodelay(true)?;
    let (to_searcher, from_mixer) = channel();
    let (to_mixer, from_searcher) = channel();
    let spawn = |run: Box<dyn FnOnce() + Send>| Builder::new().stack_size(STACK_BYTES).spawn(run).map(drop);
    let (stream, recording) = (mixer_side.try_clone()?, shared.clone());
    spawn(Box::new(move || {
        let is_paused = || recording.mode() == ProxyMode::Deaf;
        read_chunks(&stream, &to_searcher, &is_paused, &mut |bytes, times| {
            recording.recorder.record_frames(bytes, times, &route)
        });
    }))?;
    let stream = searcher_side.try_clone()?;
    spawn(Box::new(move || read_chunks(&stream, &to_mixer, &|| false, &mut |_, _| 0)))?;
    let (to, from, writing) = (mixer_side.try_clone()?, searcher_side.try_clone()?, shared.clone());
    spawn(Box::new(move || write_chunks(&to, &from, &from_searcher, &writing)))?;
    write_chunks(&searcher_side, mixer_side, &from_mixer, shared);
    Ok(())
}

/// Reads all that arrives and forwards it, except while `is_paused`. `observe` receives the bytes that it has not consumed
/// yet, with the time at which each arrived, and returns how many of them it consumes.
fn read_chunks(
    mut stream: &TcpStream,
    to: &Sender<Vec<u8>>,
    is_paused: &dyn Fn() -> bool,
    observe: &mut dyn FnMut(&[u8], &mut Vec<TimeMs>) -> usize,
) {
    let (mut unconsumed, mut times) = (Vec::new(), Vec::new());
    let mut bytes = vec![0; READ_BUFFER_BYTES];
    loop {
        while is_paused() {
            thread::sleep(POLL_INTERVAL);
        }
        let Ok(count @ 1..) = stream.read(&mut bytes) else { return };
        let at = now_ms();
        unconsumed.extend_from_slice(&bytes[..count]);
        times.resize(unconsumed.len(), at);
        let consumed = observe(&unconsumed, &mut times);
        unconsumed.drain(..consumed);
        times.drain(..consumed);
        if to.send(bytes[..count].to_vec()).is_err() {
            return;
        }
    }
}

/// Writes the received chunks according to the mode, and closes both sides at the end.
fn write_chunks(mut to: &TcpStream, from: &TcpStream, chunks: &Receiver<Vec<u8>>, shared: &Shared) {
    for chunk in chunks {
        while shared.mode() == ProxyMode::Stalled {
            thread::sleep(POLL_INTERVAL);
        }
        let written = match shared.mode() {
            ProxyMode::Cut => {
                let _ = to.write_all(&chunk[..chunk.len() / 2]); // it ends in any case
                break;
            }
            ProxyMode::Chopped => chunk.chunks(CHOPPED_PIECE_BYTES).try_for_each(|piece| {
                thread::sleep(CHOPPED_PIECE_DELAY);
                to.write_all(piece)
            }),
            _ => to.write_all(&chunk),
        };
        if written.is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both); // either side may have ended
    let _ = to.shutdown(Shutdown::Both);
}

impl Recorder {
    /// Records the parts of the complete frames in these bytes, each of which arrived at its time; returns the length of these
    /// frames.
    fn record_frames(&self, bytes: &[u8], times: &mut [TimeMs], route: &Route) -> usize {
        let mut consumed = 0;
        while let Some((head, rest)) = bytes[consumed..].split_first_chunk::<LENGTH_BYTES>() {
            let length = u32::from_be_bytes(*head) as usize;
            let Some(frame) = rest.get(..length) else { break };
            if let Some((&FRAME_CALL, call)) = frame.split_first() {
                let (at, complete_at) = (times[consumed], times[consumed + LENGTH_BYTES - 1 + length]);
                self.record_call(call, at, complete_at, route);
            }
            consumed += LENGTH_BYTES + length;
        }
        consumed
    }

    fn record_call(&self, mut call: &[u8], at: TimeMs, complete_at: TimeMs, route: &Route) {
        while !call.is_empty() {
            let mut header = String::new();
            if call.read_line(&mut header).is_err() {
                return;
            }
            let fields: Vec<&str> = header.split_whitespace().collect();
            let [part, shard, properties, length] = fields[..] else { return };
            let timeout_ms =
                properties.split(',').find_map(|pair| pair.strip_prefix("d=")?.parse().ok()).unwrap_or(0.0);
            let (part, searcher) = (part.to_owned(), route.searcher.clone());
            let holds_shard = shard.parse().is_ok_and(|shard| cell_holds(route.cell, shard));
            self.record(&Event::Attempt { at, complete_at, part, searcher, timeout_ms, holds_shard });
            call = call.get(length.parse().unwrap_or(0)..).unwrap_or_default();
        }
    }
}
