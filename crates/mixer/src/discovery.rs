//! Keeps a watch on the searcher list and hands on what it tells.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Error, Result, ensure};
use tracing::{debug, warn};

pub use pewterwharf_terms::list::{Entry, List, list};

use crate::buffer::{Buffer, Room};
use crate::http::{self, Body};
use crate::inputs::Input;
use crate::tell::Tell;

/// Waits between watches: the first, and the longest.
const WAITS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// A watch that says nothing for so long is begun anew: it sends an empty line every 2 s.
const SILENT: Duration = Duration::from_secs(7);
/// How often a watch looks whether it still counts.
const LOOK: Duration = Duration::from_millis(250);

/// Longest line or list that is taken: thousands of searchers.
const LONGEST: usize = 4 << 20;

/// The numbers of the watches that count: the one asked for last, and the one whose lists are gone by. An older
/// one goes on until a newer has spoken, and no longer.
#[derive(Default)]
pub struct Watches {
    pub wanted: AtomicU64,
    pub heard: AtomicU64,
    /// When a watch that counts last said anything, in whole milliseconds; zero before.
    pub said: AtomicU64,
}

impl Watches {
    fn count(&self, number: u64) -> bool {
        self.wanted.load(Ordering::Acquire) == number || self.heard.load(Ordering::Acquire) == number
    }
}

/// One watch: its number, where it leads, and the version held, if it is one of that place's own.
pub struct Watch {
    pub number: u64,
    pub at: SocketAddrV4,
    pub index: Option<u64>,
}

impl Watch {
    /// Watches for as long as it counts and the program runs.
    pub fn run(mut self, connect: Duration, watches: &Watches, tell: &Tell) {
        let mut wait = WAITS.0;
        while watches.count(self.number) {
            let before = self.index;
            match self.follow(connect, watches, tell) {
                Ok(()) => debug!("discovery at {} ended the watch", self.at),
                Err(error) => debug!("discovery at {}: {error:#}", self.at),
            }
            if !watches.count(self.number) || !tell.say(Input::WatchLost) {
                return;
            }
            wait = if self.index == before { (wait * 2).min(WAITS.1) } else { WAITS.0 };
            std::thread::sleep(wait);
        }
    }

    fn follow(&mut self, connect: Duration, watches: &Watches, tell: &Tell) -> Result<()> {
        let stream = TcpStream::connect_timeout(&SocketAddr::V4(self.at), connect)?;
        stream.set_read_timeout(Some(LOOK))?;
        stream.set_write_timeout(Some(SILENT))?;
        stream.set_nodelay(true)?;
        let mut input = Incoming {
            buffer: Buffer::new(&Room::of(2 * LONGEST)),
            stream: &stream,
            number: self.number,
            watches,
        };
        if self.index.is_none() {
            // Versions held are another place's: the whole list first, whatever it is numbered.
            (&stream)
                .write_all(format!("GET /api/targets HTTP/1.1\r\nHost: {}\r\n\r\n", self.at).as_bytes())?;
            let body = input.whole()?;
            self.heard(&body, tell)?;
        }
        let (at, after) = (self.at, self.index.unwrap_or(0));
        let request = format!("GET /api/targets?watch=1&after={after} HTTP/1.1\r\nHost: {at}\r\n\r\n");
        (&stream).write_all(request.as_bytes())?;
        ensure!(input.head()? == Body::Chunked, "the watch is not chunked");
        let mut line = Vec::new();
        loop {
            let Some(data) = input.chunk()? else { return Ok(()) };
            // An empty line is a word too: the list is as it was.
            watches.said.store(tell.now() as u64, Ordering::Release);
            for byte in data {
                if byte == b'\n' {
                    self.heard(&std::mem::take(&mut line), tell)?;
                } else {
                    line.push(byte);
                }
            }
            ensure!(line.len() <= LONGEST, "a line over {LONGEST} bytes");
        }
    }

    fn heard(&mut self, line: &[u8], tell: &Tell) -> Result<()> {
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(());
        }
        let read = serde_json::from_slice(line).context("not JSON").and_then(|value| list(&value));
        let list = read.inspect_err(|error| warn!("discovery sent a line that can't be read: {error:#}"))?;
        self.index = Some(list.index);
        tell.say(Input::List { watch: self.number, list });
        Ok(())
    }
}

/// What comes of a watch's connection, for as long as it counts.
struct Incoming<'a> {
    buffer: Buffer,
    stream: &'a TcpStream,
    number: u64,
    watches: &'a Watches,
}

impl Incoming<'_> {
    /// Reads once; false at the end.
    fn more(&mut self) -> Result<bool> {
        ensure!(self.buffer.bytes().len() <= LONGEST, "over {LONGEST} bytes in one piece");
        let since = Instant::now();
        loop {
            ensure!(self.watches.count(self.number), "another watch has taken its place");
            match self.buffer.fill(&mut self.stream) {
                Ok(read) => return Ok(read > 0),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    ensure!(since.elapsed() < SILENT, "nothing came for long");
                }
                Err(error) => return Err(error.into()),
            }
        }
    }

    fn head(&mut self) -> Result<Body> {
        loop {
            if let Some((status, body, used)) = http::response(self.buffer.bytes()).map_err(Error::msg)? {
                ensure!(status == 200, "status {status}");
                self.buffer.used(used);
                return Ok(body);
            }
            ensure!(self.more()?, "it ended in a head");
        }
    }

    /// The next chunk; none after the last, or at the end.
    fn chunk(&mut self) -> Result<Option<Vec<u8>>> {
        loop {
            if let Some((data, used)) = http::chunk(self.buffer.bytes()).map_err(Error::msg)? {
                let data = data.to_vec();
                self.buffer.used(used);
                return Ok(Some(data).filter(|data| !data.is_empty()));
            }
            if !self.more()? {
                return Ok(None);
            }
        }
    }

    /// A whole answer's body.
    fn whole(&mut self) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        match self.head()? {
            Body::Chunked => {
                while let Some(data) = self.chunk()? {
                    body.extend_from_slice(&data);
                    ensure!(body.len() <= LONGEST, "a list over {LONGEST} bytes");
                }
            }
            Body::Length(length) => {
                while self.buffer.bytes().len() < length {
                    ensure!(self.more()?, "it ended in a list");
                }
                body.extend_from_slice(&self.buffer.bytes()[..length]);
                self.buffer.used(length);
            }
        }
        Ok(body)
    }
}
