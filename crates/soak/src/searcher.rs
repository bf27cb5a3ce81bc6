//! A searcher as a process: takes calls in the protocol's frames, does with each part what it was told to, and records what it
//! carried out.

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
use crate::control::{self, Manner, SearcherOrder};
use crate::record::{self, Event, Recorder};
use crate::settings::IDLE_CLOSE_MS;

/// Stack of a thread.
const STACK: usize = 128 * 1024;
/// Mean work of a part.
const WORK_MS: f64 = 6.0;
/// Most that a slow one adds.
const SLOW_MS: f64 = 800.0;
/// Longest frame that is taken.
const LONGEST: usize = 1 << 20;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    pub folder: String,
    /// Its name in discovery, and the number of its process under that name.
    pub name: String,
    pub process: u32,
    pub listen: SocketAddr,
    pub seed: u64,
}

/// What all connections share.
struct Shared {
    setup: Setup,
    recorder: Recorder,
    manner: Mutex<Manner>,
    random: Mutex<Rand64>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The value of a part, which clients can tell from any other.
pub fn value(part: &str, text: &str) -> String {
    let mut hasher = DefaultHasher::new();
    (part, text).hash(&mut hasher);
    format!("{:016x}", hasher.finish())
}

/// Serves until its runner has gone.
pub fn serve(setup: Setup) -> Result<()> {
    let recorder = record::recorder(&setup.folder, &format!("{}-{}", setup.name, setup.process))?;
    let listener = TcpListener::bind(setup.listen)?;
    let random = Mutex::new(Rand64::new(u128::from(setup.seed)));
    let shared = Arc::new(Shared { setup, recorder, manner: Mutex::default(), random });
    let accepting = shared.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = accepting.clone();
            // One that can't be served ends here.
            let _ =
                Builder::new().stack_size(STACK).spawn(move || drop(shared.connection(&Arc::new(stream))));
        }
    });
    control::obey(|SearcherOrder::Manner(manner)| *locked(&shared.manner) = manner);
    Ok(())
}

fn send(mut stream: &TcpStream, letter: u8, rest: &[u8]) -> io::Result<()> {
    let mut frame = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(letter);
    frame.extend_from_slice(rest);
    stream.write_all(&frame)
}

/// Ends a connection by a reset.
fn reset(stream: &TcpStream) {
    let _ = sockopt::set_socket_linger(stream, Some(Duration::ZERO)); // it may have ended already
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// One part of a call.
struct Piece {
    part: String,
    text: String,
}

impl Shared {
    fn connection(self: Arc<Self>, stream: &Arc<TcpStream>) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(IDLE_CLOSE_MS)))?;
        loop {
            let mut length = [0; 4];
            (&mut &**stream).read_exact(&mut length)?;
            let length = u32::from_be_bytes(length) as usize;
            if length == 0 || length > LONGEST {
                return Err(io::ErrorKind::InvalidData.into());
            }
            let mut frame = vec![0; length];
            (&mut &**stream).read_exact(&mut frame)?;
            match frame[0] {
                b'D' => self.call(stream, &frame[1..])?,
                b'K' => {}
                letter if *locked(&self.manner) != Manner::Hangs => send(stream, letter, b"200")?,
                _ => {}
            }
        }
    }

    /// Takes up the parts of one call, each in a thread of its own.
    fn call(self: &Arc<Self>, stream: &Arc<TcpStream>, mut rest: &[u8]) -> io::Result<()> {
        while !rest.is_empty() {
            let mut line = String::new();
            rest.read_line(&mut line)?;
            let words: Vec<&str> = line.split_whitespace().collect();
            let [part, _, _, length] = words[..] else { return Err(io::ErrorKind::InvalidData.into()) };
            let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            let (text, more) = rest.split_at(rest.len().min(length));
            rest = more;
            let piece = Piece { part: part.to_owned(), text: String::from_utf8_lossy(text).into_owned() };
            let (shared, stream) = (self.clone(), stream.clone());
            // A part that finds no thread is one that hangs.
            let _ = Builder::new().stack_size(STACK).spawn(move || drop(shared.carry_out(&stream, &piece)));
        }
        Ok(())
    }

    fn carry_out(&self, stream: &TcpStream, piece: &Piece) -> io::Result<()> {
        let manner = *locked(&self.manner);
        let chance = locked(&self.random).rand_float();
        match manner {
            Manner::Hangs => return Ok(()),
            Manner::Full => {
                return send(stream, b'O', format!("{} 503 0 -\n", piece.part).as_bytes());
            }
            Manner::Spoils if chance < 0.3 => return send(stream, b'O', b"nobody.0 200 1 -\nvalue"),
            _ => {}
        }
        let extra_ms = if manner == Manner::Slow { SLOW_MS * chance } else { 0.0 };
        let work_ms = -WORK_MS * (1.0 - chance).max(1e-6).ln() + extra_ms;
        thread::sleep(Duration::from_secs_f64(work_ms / 1000.0));
        let (part, searcher) = (piece.part.clone(), self.setup.name.clone());
        self.recorder.record(&Event::Ran { at: now_ms(), part, searcher });
        let value = value(&piece.part, &piece.text);
        let answer = format!("{} 200 1 inflight=1,util=0.3\n{value}", piece.part);
        match manner {
            Manner::Fails => send(stream, b'O', format!("{} 500 0 -\n", piece.part).as_bytes()),
            Manner::Resets if chance < 0.5 => {
                reset(stream);
                Ok(())
            }
            Manner::Halves if chance < 0.5 => {
                let mut half = (answer.len() as u32 + 1).to_be_bytes().to_vec();
                half.extend_from_slice(&b"O"[..]);
                half.extend_from_slice(&answer.as_bytes()[..answer.len() / 2]);
                (&mut &*stream).write_all(&half)
            }
            _ => send(stream, b'O', answer.as_bytes()),
        }
    }
}
