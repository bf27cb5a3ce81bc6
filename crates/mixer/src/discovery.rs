//! Keeps a watch on the searcher list and hands on what it tells. One thread a watch, which never waits for one
//! connection alone: while none can be trusted it begins others beside, and goes by the first that speaks.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Error, Result, bail, ensure};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use tracing::{debug, warn};

pub use pewterwharf_terms::list::{Entry, List, parse_list};

use crate::buffer::{Buffer, MemoryBudget};
use crate::http::{self, BodyFraming, Chunk};
use crate::inputs::Input;
use crate::messages::MessageSender;

/// A watch sends an empty line every 2 s: one that has said nothing for so long is doubted, and others begin beside it. What it
/// misses counts as told 6 s after it fell silent, so that a slow one of these still has over 3 s to speak.
const QUIET: Duration = Duration::from_millis(2600);
/// One that stops in the middle of a line is doubted after so long.
const STOPPED: Duration = Duration::from_millis(100);
/// A list comes whole in so long, or others begin beside it: one that comes byte by byte would renew its time with each. What it
/// holds back counts as told 6 s after discovery had it.
const WHOLE: Duration = Duration::from_millis(1000);
/// While no watch can be trusted, another begins so often: discovery that returns is heard well within a drain's grace of
/// 250 ms, whether it answers what had been asked or only what is asked then.
const EVERY: Duration = Duration::from_millis(100);
/// Of those that have not spoken, the eldest stays for as long as a doubted one (guards against a place that is slow to start), and
/// the youngest gives way to the next (guards against one that answers nothing asked while it was down).
const ATTEMPTS: usize = 2;
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
    pub fn run(self, watches: &Watches, messages: &MessageSender) {
        let poll = loop {
            match Poll::new() {
                Ok(poll) => break poll,
                // No descriptor is left for now.
                Err(error) => warn!("no way to watch discovery: {error}"),
            }
            std::thread::sleep(LOOK);
        };
        let Self { number, at, index } = self;
        let (room, wires, next_id, told) = (MemoryBudget::new(2 * LONGEST), BTreeMap::new(), 0, 0);
        let mut telling = Telling { poll, number, at, index, room, wires, next_id, told, watches, messages };
        if let Err(error) = telling.run() {
            debug!("watch {number} has ended: {error:#}");
        }
    }
}

/// A watch at work.
struct Telling<'a> {
    poll: Poll,
    number: u64,
    at: SocketAddrV4,
    index: Option<u64>,
    room: MemoryBudget,
    /// Its connections, the eldest first: at most one that has spoken, and attempts at a better one.
    wires: BTreeMap<usize, Wire>,
    next_id: usize,
    /// Lists told so far.
    told: u64,
    watches: &'a Watches,
    messages: &'a MessageSender,
}

impl Telling<'_> {
    fn run(&mut self) -> Result<()> {
        let mut events = Events::with_capacity(8);
        let mut next = Instant::now();
        while self.watches.count(self.number) {
            let now = Instant::now();
            let trusted = self.wires.values().filter_map(|w| w.trusted_until(now)).max();
            if trusted.is_some() {
                self.wires.retain(|_, wire| wire.spoken); // it speaks again: nobody else is needed
            } else if now >= next {
                next = now + EVERY;
                self.attempt(now);
            }
            let wait = trusted.unwrap_or(next).saturating_duration_since(now).min(LOOK);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                other => other?,
            }
            for event in &events {
                self.turn(event.token().0)?;
            }
        }
        Ok(())
    }

    /// Begins one more, in the place of another if there are too many.
    fn attempt(&mut self, now: Instant) {
        // A watch that a newer one is to replace leaves descriptors for that.
        let newest = self.watches.wanted.load(Ordering::Acquire) == self.number;
        let most = if newest { ATTEMPTS } else { 1 };
        self.wires.retain(|_, wire| wire.spoken || now.duration_since(wire.since) < QUIET);
        let open: Vec<usize> = self.wires.iter().filter(|w| !w.1.spoken).map(|w| *w.0).collect();
        if open.len() >= most
            && let Some(youngest) = open.last()
        {
            self.wires.remove(youngest);
        }
        self.next_id += 1;
        debug!("asks discovery at {} for what came after {:?}", self.at, self.index);
        match self.begin(now) {
            Ok(wire) => drop(self.wires.insert(self.next_id, wire)),
            Err(error) => debug!("discovery at {}: {error}", self.at),
        }
    }

    fn begin(&self, now: Instant) -> Result<Wire> {
        let mut stream = TcpStream::connect(SocketAddr::V4(self.at))?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(self.next_id), interest)?;
        let (buffer, text) = (Buffer::new(&self.room), Text::default());
        let (stage, begun, spoken) = (Stage::Opening, None, false);
        Ok(Wire { stream, buffer, stage, since: now, heard: now, begun, text, spoken })
    }

    /// Goes on with a connection on which something has happened; fails once nobody listens.
    fn turn(&mut self, id: usize) -> Result<()> {
        let Some(mut wire) = self.wires.remove(&id) else { return Ok(()) };
        let (before, spoken) = (self.index, wire.spoken);
        let end = wire.turn(self);
        if wire.spoken && !spoken {
            // What it says comes after all that the others have said.
            self.wires.clear();
        }
        match end {
            Ok(()) => drop(self.wires.insert(id, wire)),
            Err(error) => {
                debug!("discovery at {}: {error:#}, version {before:?} before", self.at);
                ensure!(self.messages.send(Input::WatchLost), "nobody listens");
            }
        }
        Ok(())
    }

    fn heard(&mut self, text: &[u8]) -> Result<()> {
        let read = serde_json::from_slice(text).context("not JSON").and_then(|value| parse_list(&value));
        let list = read.inspect_err(|error| warn!("discovery sent a line that can't be read: {error:#}"))?;
        self.index = Some(list.index);
        self.told += 1;
        self.messages.send(Input::List { watch: self.number, list });
        Ok(())
    }
}

/// How far a connection has come.
enum Stage {
    Opening,
    /// The whole list is asked for first.
    ListHead,
    ListBody(BodyFraming),
    WatchHead,
    Lines,
}

/// One connection to discovery.
struct Wire {
    stream: TcpStream,
    buffer: Buffer,
    stage: Stage,
    since: Instant,
    /// When anything last came.
    heard: Instant,
    /// Since when a list that is not whole has been coming.
    begun: Option<Instant>,
    text: Text,
    /// It has told a list, or that there is nothing new.
    spoken: bool,
}

impl Wire {
    /// Until when what it says is gone by and nobody else is asked.
    fn trusted_until(&self, now: Instant) -> Option<Instant> {
        let until = match self.begun {
            Some(begun) => (self.heard + STOPPED).min(begun + WHOLE),
            None => self.heard + QUIET,
        };
        (self.spoken && until > now).then_some(until)
    }

    fn ask(&mut self, path: &str, at: SocketAddrV4, stage: Stage) -> Result<()> {
        let request = format!("GET {path} HTTP/1.1\r\nHost: {at}\r\n\r\n");
        (&self.stream).write_all(request.as_bytes())?;
        self.stage = stage;
        Ok(())
    }

    fn watch(&mut self, telling: &Telling) -> Result<()> {
        let after = telling.index.unwrap_or(0);
        self.ask(&format!("/api/targets?watch=1&after={after}"), telling.at, Stage::WatchHead)
    }

    /// Takes up what has come; why it ends, once it does.
    fn turn(&mut self, telling: &mut Telling) -> Result<()> {
        if matches!(self.stage, Stage::Opening) {
            if let Some(error) = self.stream.take_error()? {
                return Err(error.into());
            }
            match self.stream.peer_addr() {
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::NotConnected => return Ok(()),
                Err(error) => return Err(error.into()),
            }
            self.stream.set_nodelay(true)?;
            match telling.index {
                // Versions held are another place's: the whole list first, whatever it is numbered.
                None => self.ask("/api/targets", telling.at, Stage::ListHead)?,
                Some(_) => self.watch(telling)?,
            }
        }
        loop {
            match self.buffer.fill(&mut &self.stream) {
                Ok(0) => break,
                Ok(_) => {
                    self.heard = Instant::now();
                    let spoken = telling.told;
                    self.take(telling)?;
                    let partly = !self.buffer.bytes().is_empty() || self.text.begun();
                    // One that is whole ends its time; a further one that has come partly begins its own.
                    let since = self.begun.filter(|_| telling.told == spoken).unwrap_or(self.heard);
                    self.begun = partly.then_some(since);
                    ensure!(self.buffer.bytes().len() <= LONGEST, "over {LONGEST} bytes in one piece");
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error.into()),
            }
        }
        if self.text.begun() {
            telling.heard(&self.text.take())?;
        }
        bail!("it has ended")
    }

    /// Takes what has come whole.
    fn take(&mut self, telling: &mut Telling) -> Result<()> {
        loop {
            match self.stage {
                Stage::Opening => return Ok(()),
                Stage::ListHead | Stage::WatchHead => {
                    let head = http::parse_response_head(self.buffer.bytes()).map_err(Error::msg)?;
                    let Some(head) = head else { return Ok(()) };
                    let (status, body) = (head.status, head.framing);
                    self.buffer.consume(head.used);
                    ensure!(status == 200, "status {status}");
                    self.stage = match self.stage {
                        Stage::ListHead => Stage::ListBody(body),
                        _ => Stage::Lines,
                    };
                    let watched = matches!(self.stage, Stage::Lines);
                    ensure!(!watched || body == BodyFraming::Chunked, "the watch is not chunked");
                }
                Stage::ListBody(BodyFraming::Length(length)) => {
                    ensure!(length <= LONGEST, "a list over {LONGEST} bytes");
                    let Some(body) = self.buffer.bytes().get(..length) else { return Ok(()) };
                    telling.heard(body)?;
                    self.buffer.consume(length);
                    self.spoken = true;
                    self.watch(telling)?;
                }
                Stage::ListBody(BodyFraming::Chunked) | Stage::Lines => {
                    let chunk = http::parse_chunk(self.buffer.bytes()).map_err(Error::msg)?;
                    let Some(Chunk { data, used }) = chunk else { return Ok(()) };
                    let (last, lines) = (data.is_empty(), matches!(self.stage, Stage::Lines));
                    let data = data.to_vec();
                    self.buffer.consume(used);
                    ensure!(!(last && lines), "it has ended the watch");
                    if lines {
                        // An empty line is a word too: the list is as it was.
                        telling.watches.said.store(telling.messages.now() as u64, Ordering::Release);
                        self.lines(&data, telling)?;
                    } else if !last {
                        self.text.bytes.extend(data);
                        ensure!(self.text.bytes.len() <= LONGEST, "a list over {LONGEST} bytes");
                    } else {
                        telling.heard(&self.text.take())?;
                        self.spoken = true;
                        self.watch(telling)?;
                    }
                }
            }
        }
    }

    fn lines(&mut self, data: &[u8], telling: &mut Telling) -> Result<()> {
        for byte in data {
            if let Some(text) = self.text.push(*byte) {
                if !text.iter().all(u8::is_ascii_whitespace) {
                    telling.heard(&text)?;
                }
                self.spoken = true;
            }
        }
        ensure!(self.text.bytes.len() <= LONGEST, "a line over {LONGEST} bytes");
        Ok(())
    }
}

/// The text of a list as it comes: a line, or several of one value that is indented.
#[derive(Default)]
struct Text {
    bytes: Vec<u8>,
    /// Brackets that are open, and whether it stands in a string, and behind a backslash there.
    depth: usize,
    string: bool,
    escaped: bool,
    /// Up to this length it was looked whether it can still become a value.
    looked: usize,
}

impl Text {
    /// Takes one more byte; the text of a value or of an empty line once it has come whole.
    fn push(&mut self, byte: u8) -> Option<Vec<u8>> {
        self.bytes.push(byte);
        match byte {
            b'\n' if self.depth == 0 || self.hopeless() => return Some(self.take()),
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = self.string,
            b'"' => self.string = !self.string,
            b'{' | b'[' if !self.string => self.depth += 1,
            b'}' | b']' if !self.string => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        None
    }

    /// Whether no further line can make a value of it. It is read anew only once it has doubled, as lists are long.
    fn hopeless(&mut self) -> bool {
        if self.bytes.len() < 2 * self.looked {
            return false;
        }
        self.looked = self.bytes.len();
        serde_json::from_slice::<serde_json::Value>(&self.bytes).is_err_and(|error| !error.is_eof())
    }

    fn begun(&self) -> bool {
        !self.bytes.iter().all(u8::is_ascii_whitespace)
    }

    fn take(&mut self) -> Vec<u8> {
        std::mem::take(self).bytes
    }
}
