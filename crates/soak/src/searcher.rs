//! A searcher as a process: receives calls in the protocol's frames, treats each part by its current behavior, and records the
//! parts that it executes.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, BufRead, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, Builder};
use std::time::Duration;

use anyhow::Result;
use oorandom::Rand64;
use rustix::net::sockopt;
use serde::{Deserialize, Serialize};

use crate::clock::now_ms;
use crate::control::{self, SearcherBehavior, SearcherCommand};
use crate::record::{self, Event, Recorder};
use crate::settings::IDLE_CLOSE_MS;

const STACK_BYTES: usize = 128 * 1024;
/// The mean execution time of a part.
const MEAN_WORK_MS: f64 = 6.0;
/// The longest delay that a slow searcher adds.
const MAX_SLOW_MS: f64 = 800.0;
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Frame types of the searcher protocol.
const FRAME_CALL: u8 = b'D';
const FRAME_CANCEL: u8 = b'K';
const FRAME_ANSWER: u8 = b'O';

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    pub folder: String,
    /// The searcher's name in discovery.
    pub name: String,
    /// The number of the process among those with this name.
    pub process: u32,
    pub listen: SocketAddr,
    pub seed: u64,
}

/// State that all connections share.
struct Shared {
    setup: Setup,
    recorder: Recorder,
    behavior: Mutex<SearcherBehavior>,
    random: Mutex<Rand64>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The value of a part: a hash of the part's name and text, by which clients recognize values of other parts.
pub fn value(part: &str, text: &str) -> String {
    let mut hasher = DefaultHasher::new();
    (part, text).hash(&mut hasher);
    format!("{:016x}", hasher.finish())
}

/// Serves until the runner ends.
pub fn serve(setup: Setup) -> Result<()> {
    let recorder = record::create_recorder(&setup.folder, &format!("{}-{}", setup.name, setup.process))?;
    let listener = TcpListener::bind(setup.listen)?;
    let random = Mutex::new(Rand64::new(u128::from(setup.seed)));
    let shared = Arc::new(Shared { setup, recorder, behavior: Mutex::default(), random });
    let accepting = shared.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = accepting.clone();
            // A connection for which there is no thread is closed.
            let _ = Builder::new()
                .stack_size(STACK_BYTES)
                .spawn(move || drop(shared.serve_connection(&Arc::new(stream))));
        }
    });
    control::receive_commands(|SearcherCommand::SetBehavior(behavior)| *lock(&shared.behavior) = behavior);
    Ok(())
}

fn write_frame(mut stream: &TcpStream, frame_type: u8, payload: &[u8]) -> io::Result<()> {
    let mut frame = (payload.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(frame_type);
    frame.extend_from_slice(payload);
    stream.write_all(&frame)
}

/// Resets a connection.
fn reset(stream: &TcpStream) {
    let _ = sockopt::set_socket_linger(stream, Some(Duration::ZERO)); // it may have ended already
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// One part of a call.
struct Part {
    id: String,
    text: String,
}

impl Shared {
    fn serve_connection(self: Arc<Self>, stream: &Arc<TcpStream>) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(IDLE_CLOSE_MS)))?;
        loop {
            let mut length = [0; 4];
            (&mut &**stream).read_exact(&mut length)?;
            let length = u32::from_be_bytes(length) as usize;
            if length == 0 || length > MAX_FRAME_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            let mut frame = vec![0; length];
            (&mut &**stream).read_exact(&mut frame)?;
            match frame[0] {
                FRAME_CALL => self.start_call(stream, &frame[1..])?,
                FRAME_CANCEL => {}
                frame_type if *lock(&self.behavior) != SearcherBehavior::Hangs => {
                    write_frame(stream, frame_type, b"200")?;
                }
                _ => {}
            }
        }
    }

    /// Starts a thread for each part of a call.
    fn start_call(self: &Arc<Self>, stream: &Arc<TcpStream>, mut payload: &[u8]) -> io::Result<()> {
        while !payload.is_empty() {
            let mut header = String::new();
            payload.read_line(&mut header)?;
            let fields: Vec<&str> = header.split_whitespace().collect();
            let [id, _, _, length] = fields[..] else { return Err(io::ErrorKind::InvalidData.into()) };
            let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            let (text, rest) = payload.split_at(payload.len().min(length));
            payload = rest;
            let part = Part { id: id.to_owned(), text: String::from_utf8_lossy(text).into_owned() };
            let (shared, stream) = (self.clone(), stream.clone());
            // A part for which there is no thread is never answered.
            let _ =
                Builder::new().stack_size(STACK_BYTES).spawn(move || drop(shared.execute(&stream, &part)));
        }
        Ok(())
    }

    fn execute(&self, stream: &TcpStream, part: &Part) -> io::Result<()> {
        let behavior = *lock(&self.behavior);
        let chance = lock(&self.random).rand_float();
        match behavior {
            SearcherBehavior::Hangs => return Ok(()),
            SearcherBehavior::Full => {
                return write_frame(stream, FRAME_ANSWER, format!("{} 503 0 -\n", part.id).as_bytes());
            }
            SearcherBehavior::Spoils if chance < 0.3 => {
                return write_frame(stream, FRAME_ANSWER, b"nobody.0 200 1 -\nvalue");
            }
            _ => {}
        }
        let extra_ms = if behavior == SearcherBehavior::Slow { MAX_SLOW_MS * chance } else { 0.0 };
        let work_ms = -MEAN_WORK_MS * (1.0 - chance).max(1e-6).ln() + extra_ms;
        thread::sleep(Duration::from_secs_f64(work_ms / 1000.0));
        let (id, searcher) = (part.id.clone(), self.setup.name.clone());
        self.recorder.record(&Event::Ran { at: now_ms(), part: id, searcher });
        let value = value(&part.id, &part.text);
        let answer = format!("{} 200 1 inflight=1,util=0.3\n{value}", part.id);
        match behavior {
            SearcherBehavior::Fails => {
                write_frame(stream, FRAME_ANSWER, format!("{} 500 0 -\n", part.id).as_bytes())
            }
            SearcherBehavior::Resets if chance < 0.5 => {
                reset(stream);
                Ok(())
            }
            SearcherBehavior::Halves if chance < 0.5 => {
                let mut half = (answer.len() as u32 + 1).to_be_bytes().to_vec();
                half.push(FRAME_ANSWER);
                half.extend_from_slice(&answer.as_bytes()[..answer.len() / 2]);
                (&mut &*stream).write_all(&half)
            }
            _ => write_frame(stream, FRAME_ANSWER, answer.as_bytes()),
        }
    }
}
