//! The thread and the sockets.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::Builder;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use oorandom::Rand64;
use pewterwharf_peers::{Incarnation, Refusal, Rival};
use pewterwharf_replica::Advice;
use tracing::{debug, info, warn};

use crate::frame::{Frame, LONGEST, Unreadable};
use crate::node::{LocalReport, Node, Out};
use crate::show::FleetStatus;

const STACK: usize = 256 * 1024;
/// Orders that may wait: whoever gives more goes without, and gives them later.
const WAITING: usize = 64;
/// Of so many peers each has a link that is kept; of more, links are opened when there is something to say, and the one
/// longest unused goes for another.
const KEPT: usize = 32;
/// Links that peers may hold open here.
const TAKEN: usize = 64;
/// A link that is opened, and one that has to say hello, has so long.
const PATIENCE_MS: f64 = 1000.0;
/// Waits between attempts: the first, and the longest; each spread by a quarter.
const WAITS_MS: (f64, f64) = (100.0, 2000.0);
/// A link that stood for so long was none that only seems to be there.
const STOOD_MS: f64 = 2000.0;
/// A link that has stood for so long, to a peer that is not there for all that, is opened anew: past all time-outs of
/// membership.
const DEAF_MS: f64 = 5000.0;
/// What may wait to be written on one link, on all, and what may have come and not be whole on all, in bytes.
const OUT: usize = 128 * 1024;
const OUT_ALL: usize = 2 << 20;
const IN_ALL: usize = 2 << 20;
/// Bytes of one link that are read in a second, and at once: one peer must not keep the thread from the others.
const READ_PER_S: f64 = 4.0 * 1024.0 * 1024.0;
const READ_AT_ONCE: f64 = 256.0 * 1024.0;
/// Last words have so long to leave.
const LAST_MS: f64 = 200.0;
/// After a warning of one kind, further ones are told at the debug level for so long.
const QUIET_MS: f64 = 5000.0;

/// How often counts are told.
const TELL_MS: f64 = 500.0;

const LISTENER: Token = Token(0);
const ORDERS: Token = Token(1);

/// What a mixer of a fleet is told at its start.
#[derive(Clone, Debug)]
pub struct MeshConfig {
    pub fleet: String,
    pub local_name: String,
    pub listen: SocketAddr,
    pub peers: Vec<(String, SocketAddr)>,
    /// Differs between starts.
    pub seed: u64,
    /// For so long a deletion is kept before it is forgotten, in milliseconds.
    pub tombstone_ttl_ms: f64,
}

impl MeshConfig {
    /// Descriptors that links may hold at most, with the thread's own.
    pub fn max_descriptors(&self) -> usize {
        const OWN: usize = 4;
        // One more that is on its way in while another leaves.
        self.peers.len().min(KEPT) + (self.peers.len() + 1).min(TAKEN) + OWN
    }
}

enum Order {
    Report(Vec<LocalReport>),
    Show(Sender<FleetStatus>),
    Ends,
    Leave,
}

/// The way to the thread.
#[derive(Clone)]
pub struct MeshHandle {
    to: Sender<Order>,
    waker: Arc<Waker>,
}

impl MeshHandle {
    fn give(&self, order: Order) -> bool {
        let given = self.to.try_send(order).is_ok();
        let _ = self.waker.wake(); // or the thread has ended
        given
    }

    /// What this mixer sees of its fleet; nothing, if the thread does not answer in time.
    pub fn status(&self) -> Option<FleetStatus> {
        const TIME: Duration = Duration::from_secs(2);
        let (to, shown) = bounded(1);
        self.give(Order::Show(to)).then(|| shown.recv_timeout(TIME).ok()).flatten()
    }
}

/// Links that run.
pub struct Mesh {
    way: MeshHandle,
    told: Arc<Mutex<String>>,
    /// Ends with the thread.
    over: Receiver<()>,
    at: SocketAddr,
}

impl Mesh {
    /// Listens and begins to join. Advice is handed to `hear`, on the links' own thread.
    ///
    /// # Errors
    /// If the listener, the poll or the thread can't be had.
    pub fn start(terms: MeshConfig, hear: impl FnMut(Vec<Advice>) + Send + 'static) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(terms.listen)?;
        listener.set_nonblocking(true)?;
        let at = listener.local_addr()?;
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), ORDERS)?);
        let (to, given) = bounded(WAITING);
        let mut listener = TcpListener::from_std(listener);
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let told = Arc::new(Mutex::new(String::new()));
        let counts = told.clone();
        let links = move || Links::new(terms, poll, listener, given, Box::new(hear), counts).run();
        let (lives, over) = bounded(1);
        let run = move || {
            links();
            drop(lives);
        };
        Builder::new().name("mesh".to_owned()).stack_size(STACK).spawn(run)?;
        Ok(Self { way: MeshHandle { to, waker }, told, over, at })
    }

    /// Where it listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.at
    }

    pub fn handle(&self) -> MeshHandle {
        self.way.clone()
    }

    /// Tells the others what this mixer has met by itself; false where it has to be told again later.
    pub fn publish(&self, says: Vec<LocalReport>) -> bool {
        self.way.give(Order::Report(says))
    }

    /// Counts, a line each, as of some tenths of a second ago: whoever asks waits for nothing.
    pub fn counters_text(&self) -> String {
        self.told.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// This mixer was asked to end, and serves what it has taken on: a later process of its name may have the name.
    pub fn begin_shutdown(&self) {
        self.way.give(Order::Ends);
    }

    /// Leaves the fleet with a word; takes two fifths of a second at most.
    pub fn leave(self) {
        self.way.give(Order::Leave);
        // Not longer: the thread may be waiting to hand advice to the very one that ends it here.
        let _ = self.over.recv_timeout(Duration::from_secs_f64(2.0 * LAST_MS / 1000.0));
    }
}

/// How a link to a peer stands.
enum Standing {
    Closed { until: f64 },
    Opening { stream: TcpStream, since: f64 },
    Open { stream: TcpStream, since: f64 },
}

/// The link to a peer.
struct To {
    at: SocketAddr,
    standing: Standing,
    token: usize,
    wait_ms: f64,
    /// Frames that wait, and whether each may be left out; of the first, so many bytes are written.
    queue: VecDeque<(bool, Vec<u8>)>,
    written: usize,
    bytes: usize,
    /// What has come on the way back.
    back: Vec<u8>,
    used_at: f64,
    why: String,
}

/// A link from a peer.
struct From {
    stream: TcpStream,
    /// Whose it is, and of which start, once it has said hello.
    who: Option<(String, Incarnation)>,
    ip: IpAddr,
    buffer: Vec<u8>,
    since: f64,
    heard_at: f64,
    left: f64,
    filled_at: f64,
}

/// Why a link from a peer ends.
enum End {
    Closed,
    Unreadable(Unreadable),
    Refused(Refusal),
    NoRoom,
}

#[derive(Default)]
struct Counts(BTreeMap<&'static str, u64>);

impl Counts {
    fn add(&mut self, what: &'static str) {
        *self.0.entry(what).or_default() += 1;
    }
}

struct Links {
    node: Node,
    poll: Poll,
    listener: TcpListener,
    given: Receiver<Order>,
    hear: Box<dyn FnMut(Vec<Advice>) + Send>,
    began: Instant,
    chance: Rand64,
    to: BTreeMap<String, To>,
    by_token: HashMap<usize, String>,
    from: HashMap<usize, From>,
    ips: BTreeSet<IpAddr>,
    next: usize,
    /// Links that have more to be read.
    more: BTreeSet<usize>,
    counts: Counts,
    quiet: BTreeMap<&'static str, f64>,
    advice: Vec<Advice>,
    told: Arc<Mutex<String>>,
    tell_at: f64,
    ends_at: Option<f64>,
}

impl Links {
    fn new(
        terms: MeshConfig,
        poll: Poll,
        listener: TcpListener,
        given: Receiver<Order>,
        hear: Box<dyn FnMut(Vec<Advice>) + Send>,
        told: Arc<Mutex<String>>,
    ) -> Self {
        let names: Vec<String> = terms.peers.iter().map(|p| p.0.clone()).collect();
        let ips = terms.peers.iter().map(|p| p.1.ip()).collect();
        let to = |(name, at): (String, SocketAddr)| {
            let standing = Standing::Closed { until: 0.0 };
            let (queue, back) = (VecDeque::new(), Vec::new());
            let (token, wait_ms, why) = (0, WAITS_MS.0, "not tried yet".to_owned());
            let to =
                To { at, standing, token, wait_ms, queue, written: 0, bytes: 0, back, used_at: 0.0, why };
            (name, to)
        };
        let mut node = Node::new(&terms.fleet, &terms.local_name, &names, terms.seed);
        node.exchange.replica.forget_after(terms.tombstone_ttl_ms);
        Self {
            node,
            poll,
            listener,
            given,
            hear,
            began: Instant::now(),
            chance: Rand64::new(u128::from(terms.seed) ^ 0x117b5),
            to: terms.peers.into_iter().map(to).collect(),
            by_token: HashMap::new(),
            from: HashMap::new(),
            ips,
            next: 2,
            more: BTreeSet::new(),
            counts: Counts::default(),
            quiet: BTreeMap::new(),
            advice: Vec::new(),
            told,
            tell_at: 0.0,
            ends_at: None,
        }
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1000.0
    }

    /// Warns at most once in a while of one kind.
    fn warn(&mut self, kind: &'static str, line: &str) {
        let now = self.now();
        let until = self.quiet.entry(kind).or_insert(0.0);
        if now < *until {
            return debug!(target: "fleet", "{line}");
        }
        *until = now + QUIET_MS;
        warn!(target: "fleet", "{line}");
    }

    fn run(mut self) {
        let mut events = Events::with_capacity(256);
        loop {
            let now = self.now();
            let wait = Duration::from_secs_f64((self.due() - now).clamp(0.0, 1000.0) / 1000.0);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return tracing::error!(target: "fleet", "links between mixers: {error}"),
                Ok(()) => {}
            }
            let now = self.now();
            self.node.look(now);
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(now),
                    ORDERS => {}
                    Token(token) if self.by_token.contains_key(&token) => {
                        self.outgoing(now, token, event.is_writable(), event.is_readable());
                    }
                    Token(token) => drop(self.more.insert(token)),
                }
            }
            for token in std::mem::take(&mut self.more) {
                self.incoming(now, token);
            }
            self.obey(now);
            self.patience(now);
            let out = self.node.tick(now);
            self.carry(now, out);
            self.open_links(now);
            let names: Vec<String> =
                self.to.iter().filter(|(_, to)| !to.queue.is_empty()).map(|(name, _)| name.clone()).collect();
            names.iter().for_each(|name| self.flush(now, name));
            if !self.advice.is_empty() {
                let advice = std::mem::take(&mut self.advice);
                (self.hear)(advice);
            }
            if now >= self.tell_at || self.ends_at.is_some() {
                self.tell_at = now + TELL_MS;
                let counts = self.shown(now).counters_text();
                *self.told.lock().unwrap_or_else(PoisonError::into_inner) = counts;
            }
            if let Some(at) = self.ends_at
                && (now >= at || self.to.values().all(|to| to.queue.is_empty()))
            {
                return;
            }
        }
    }

    /// When something is to be done, whatever comes.
    fn due(&self) -> f64 {
        // Links that have more to be read wait for their allowance, a few milliseconds.
        let more = if self.more.is_empty() { f64::INFINITY } else { self.now() + 5.0 };
        let ends = self.ends_at.unwrap_or(f64::INFINITY);
        let opens = self.kept() && self.node.peers.takes_part();
        let to = self.to.values().map(|to| match to.standing {
            // Guards against a thread that spins: who stands aside opens none, and is not due for it.
            Standing::Closed { until } if opens => until,
            Standing::Opening { since, .. } => since + PATIENCE_MS,
            _ => f64::INFINITY,
        });
        to.fold(self.node.due().min(more).min(ends), f64::min)
    }

    /// Whether each peer has a link that is kept.
    fn kept(&self) -> bool {
        self.to.len() <= KEPT && self.ends_at.is_none()
    }

    fn obey(&mut self, now: f64) {
        while let Ok(order) = self.given.try_recv() {
            match order {
                Order::Report(says) => {
                    let out = says.into_iter().filter_map(|say| self.node.say(now, say)).collect();
                    self.carry(now, out);
                }
                Order::Show(to) => {
                    let _ = to.send(self.shown(now)); // or nobody waits any more
                }
                Order::Ends => self.node.peers.ends(),
                Order::Leave => {
                    let out = self.node.leave(now);
                    self.carry(now, out);
                    self.ends_at = Some(now + LAST_MS);
                }
            }
        }
    }

    fn shown(&self, now: f64) -> FleetStatus {
        let mut shown = self.node.shown(now);
        for member in &mut shown.members {
            let to = match self.to.get(&member.name) {
                Some(To { standing: Standing::Open { .. }, .. }) => "to: open".to_owned(),
                Some(To { standing: Standing::Opening { .. }, .. }) => "to: opening".to_owned(),
                Some(To { why, .. }) => format!("to: {why}"),
                None => "to: none".to_owned(),
            };
            let open = self.from.values().any(|f| f.who.as_ref().is_some_and(|w| w.0 == member.name));
            member.link = format!("{to}; from: {}", if open { "open" } else { "none" });
        }
        shown.links.clone_from(&self.counts.0);
        shown
    }

    /// Does what the node says.
    fn carry(&mut self, now: f64, out: Vec<Out>) {
        for one in out {
            match one {
                Out::Send { to, frame } => self.send(now, &to, &frame),
                Out::Reopen { to } => self.reopen(now, &to),
                Out::Greet { to } => self.greet(now, &to),
                Out::Outdone { name, by } => self.outdone(now, &name, by),
                Out::Advice(advice) => self.advice.push(advice),
                Out::Log(line) => info!(target: "fleet", "{line}"),
            }
        }
    }

    fn send(&mut self, now: f64, name: &str, frame: &Frame) {
        let kept = self.kept();
        let Some(to) = self.to.get_mut(name) else { return };
        to.used_at = now;
        if let Standing::Closed { until } = to.standing {
            // Of many peers a link is opened when there is something to say; a hello goes first, and this after it.
            if kept || now < until {
                self.counts.add("words_unsent");
                return;
            }
            self.open(now, name);
        }
        self.queue(name, frame);
    }

    /// Puts a frame at the end of what waits; the oldest that may be left out make room for it.
    fn queue(&mut self, name: &str, frame: &Frame) {
        let all: usize = self.to.values().map(|to| to.bytes).sum();
        let Some(to) = self.to.get_mut(name) else { return };
        let bytes = frame.bytes();
        let mut over =
            (to.bytes + bytes.len()).saturating_sub(OUT).max((all + bytes.len()).saturating_sub(OUT_ALL));
        to.bytes += bytes.len();
        to.queue.push_back((frame.soft(), bytes));
        let mut nth = usize::from(to.written > 0); // what is begun has to be ended
        while over > 0 && nth < to.queue.len() {
            if to.queue[nth].0 {
                let dropped = to.queue.remove(nth).map_or(0, |frame| frame.1.len());
                to.bytes -= dropped;
                over = over.saturating_sub(dropped);
                self.counts.add("words_dropped");
            } else {
                nth += 1;
            }
        }
    }

    /// A link that stands, and that the peer does not hear, is ended; one that is being opened is the new one already.
    fn reopen(&mut self, now: f64, name: &str) {
        let open = |to: &To| matches!(to.standing, Standing::Open { .. });
        if self.to.get(name).is_some_and(open) {
            self.close(now, name, "it leads to nobody who is there", true);
        }
    }

    fn greet(&mut self, now: f64, name: &str) {
        let Some(to) = self.to.get_mut(name) else { return };
        match &mut to.standing {
            Standing::Closed { until } => {
                // It was heard of just now: no need to wait on.
                *until = now;
                to.wait_ms = WAITS_MS.0;
                if !self.kept() {
                    self.open(now, name);
                }
            }
            Standing::Opening { .. } | Standing::Open { .. } => {
                let hello = Frame::Hello(self.node.peers.greeting(now, name));
                self.queue(name, &hello);
            }
        }
    }

    fn open_links(&mut self, now: f64) {
        if !self.kept() || !self.node.peers.takes_part() {
            return;
        }
        let closed = |to: &To| matches!(to.standing, Standing::Closed { until } if now >= until);
        let names: Vec<String> =
            self.to.iter().filter(|(_, to)| closed(to)).map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| self.open(now, name));
    }

    fn open(&mut self, now: f64, name: &str) {
        let open = self.to.values().filter(|to| !matches!(to.standing, Standing::Closed { .. })).count();
        if open >= KEPT {
            let unused = self
                .to
                .iter()
                .filter(|(n, to)| *n != name && !matches!(to.standing, Standing::Closed { .. }));
            let unused = unused.min_by(|a, b| a.1.used_at.total_cmp(&b.1.used_at)).map(|(n, _)| n.clone());
            unused.into_iter().for_each(|n| self.close(now, &n, "another is used", true));
        }
        let Some(to) = self.to.get_mut(name) else { return };
        self.next += 1;
        let token = self.next;
        let opened = TcpStream::connect(to.at).and_then(|mut stream| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(token), interest)?;
            Ok(stream)
        });
        match opened {
            Ok(stream) => {
                to.token = token;
                to.standing = Standing::Opening { stream, since: now };
                self.by_token.insert(token, name.to_owned());
                let hello = Frame::Hello(self.node.peers.greeting(now, name));
                self.queue(name, &hello);
            }
            Err(error) => self.close(now, name, &error.to_string(), false),
        }
    }

    /// Ends the link to a peer, to be tried again later.
    fn close(&mut self, now: f64, name: &str, why: &str, soon: bool) {
        let spread = 0.75 + 0.5 * self.chance.rand_float();
        let Some(to) = self.to.get_mut(name) else { return };
        let stood = matches!(to.standing, Standing::Open { since, .. } if now - since >= STOOD_MS);
        to.wait_ms = if stood || soon { WAITS_MS.0 } else { (to.wait_ms * 2.0).min(WAITS_MS.1) };
        self.by_token.remove(&to.token);
        to.standing = Standing::Closed { until: now + to.wait_ms * spread };
        (to.written, to.bytes) = (0, 0);
        to.queue.clear();
        to.back.clear();
        why.clone_into(&mut to.why);
        self.counts.add("links_closed");
        debug!(target: "fleet", "the link to {name} is closed: {why}");
    }

    /// Something is to be written to a peer, or has come on the way back.
    fn outgoing(&mut self, now: f64, token: usize, writable: bool, readable: bool) {
        let Some(name) = self.by_token.get(&token).cloned() else { return };
        let Some(to) = self.to.get_mut(&name) else { return };
        if writable && let Standing::Opening { stream, .. } = &to.standing {
            match stream
                .take_error()
                .and_then(|error| error.map_or(Ok(()), Err))
                .and_then(|()| stream.peer_addr())
            {
                Ok(_) => {
                    let _ = stream.set_nodelay(true); // it only makes words later
                    let old = std::mem::replace(&mut to.standing, Standing::Closed { until: now });
                    if let Standing::Opening { stream, .. } = old {
                        to.standing = Standing::Open { stream, since: now };
                    }
                    self.counts.add("links_opened");
                }
                Err(error) if error.kind() == ErrorKind::NotConnected => return,
                Err(error) => return self.close(now, &name, &error.to_string(), false),
            }
        }
        if readable {
            self.back(now, &name);
        }
        self.flush(now, &name);
    }

    /// Reads what comes on the way back: a refusal, or the end.
    fn back(&mut self, now: f64, name: &str) {
        let Some(to) = self.to.get_mut(name) else { return };
        let Standing::Open { stream, .. } = &mut to.standing else { return };
        let mut piece = [0; 1024];
        let ended = loop {
            match stream.read(&mut piece) {
                Ok(0) => break Some("it was closed there".to_owned()),
                Ok(count) if to.back.len() + count > piece.len() => {
                    break Some("it says more than a refusal".to_owned());
                }
                Ok(count) => to.back.extend_from_slice(&piece[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break None,
                Err(error) => break Some(error.to_string()),
            }
        };
        match Frame::read(&to.back) {
            Ok(Some((Frame::Refused(why), _))) => {
                self.counts.add("links_refused_there");
                self.warn("refused there", &format!("{name} refuses the link: {why}"));
                self.node.refused(now, &why);
                self.close(now, name, &format!("refused: {why}"), false);
            }
            Ok(None) if ended.is_none() => {}
            Ok(None) => self.close(now, name, &ended.unwrap_or_default(), false),
            _ => self.close(now, name, "what comes back can't be read", false),
        }
    }

    fn flush(&mut self, now: f64, name: &str) {
        let Some(to) = self.to.get_mut(name) else { return };
        let Standing::Open { stream, .. } = &mut to.standing else { return };
        while let Some((_, frame)) = to.queue.front() {
            match stream.write(&frame[to.written..]) {
                Ok(0) => return self.close(now, name, "it takes nothing", false),
                Ok(count) => {
                    to.written += count;
                    if to.written == frame.len() {
                        to.bytes -= frame.len();
                        to.written = 0;
                        to.queue.pop_front();
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => return self.close(now, name, &error.to_string(), false),
            }
        }
    }

    fn accept(&mut self, now: f64) {
        loop {
            match self.listener.accept() {
                Ok((mut stream, at)) => {
                    if !self.ips.contains(&at.ip()) {
                        self.counts.add("links_of_strangers");
                        self.warn(
                            "stranger",
                            &format!("a link from {at} is refused: no peer of the file is there"),
                        );
                        continue;
                    }
                    if self.from.len() >= TAKEN {
                        // The one that was not heard of for longest makes room.
                        let old = self.from.iter().min_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at));
                        let old = old.map(|(token, _)| *token);
                        old.into_iter().for_each(|token| drop(self.from.remove(&token)));
                        self.counts.add("links_made_room");
                    }
                    self.next += 1;
                    let token = self.next;
                    if self.poll.registry().register(&mut stream, Token(token), Interest::READABLE).is_err() {
                        continue;
                    }
                    let from = From {
                        stream,
                        who: None,
                        ip: at.ip(),
                        buffer: Vec::new(),
                        since: now,
                        heard_at: now,
                        left: READ_AT_ONCE,
                        filled_at: now,
                    };
                    self.from.insert(token, from);
                    self.more.insert(token);
                    self.counts.add("links_taken");
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => {
                    // No descriptor is left, say: the listener tells again with the next that comes.
                    self.warn("accept", &format!("a link could not be taken: {error}"));
                    return;
                }
            }
        }
    }

    /// Reads what a peer has said, within its allowance.
    fn incoming(&mut self, now: f64, token: usize) {
        let waiting: usize = self.from.values().map(|f| f.buffer.len()).sum();
        let Some(from) = self.from.get_mut(&token) else { return };
        from.left = (from.left + (now - from.filled_at) * READ_PER_S / 1000.0).min(READ_AT_ONCE);
        from.filled_at = now;
        let mut piece = [0; 8192];
        let (mut end, mut read) = (None, 0);
        loop {
            if from.left <= 0.0 {
                self.more.insert(token);
                break;
            }
            match from.stream.read(&mut piece) {
                Ok(0) => {
                    end = Some(End::Closed);
                    break;
                }
                Ok(count) => {
                    read += count;
                    from.left -= count as f64;
                    from.heard_at = now;
                    from.buffer.extend_from_slice(&piece[..count]);
                    if from.buffer.len() > 2 * LONGEST {
                        self.more.insert(token);
                        break;
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    end = Some(End::Closed);
                    break;
                }
            }
        }
        if waiting + read > IN_ALL {
            end = Some(End::NoRoom);
        }
        if let Err(why) = self.frames(now, token) {
            end = Some(why);
        }
        if let Some(end) = end {
            self.end(token, end);
        }
    }

    /// Takes the frames that have come whole.
    fn frames(&mut self, now: f64, token: usize) -> Result<(), End> {
        let Some(from) = self.from.get_mut(&token) else { return Ok(()) };
        let mut buffer = std::mem::take(&mut from.buffer);
        let mut used = 0;
        let taken = loop {
            match Frame::read(&buffer[used..]) {
                Ok(None) => break Ok(()),
                Ok(Some((frame, length))) => {
                    used += length;
                    if let Err(end) = self.frame(now, token, frame) {
                        break Err(end);
                    }
                }
                Err(Unreadable::Format(theirs)) => {
                    break Err(End::Refused(Refusal::Format { theirs, ours: pewterwharf_peers::FORMAT }));
                }
                Err(why) => break Err(End::Unreadable(why)),
            }
        };
        buffer.drain(..used);
        if buffer.is_empty() {
            buffer = Vec::new();
        }
        if let Some(from) = self.from.get_mut(&token) {
            from.buffer = buffer;
        }
        taken
    }

    fn frame(&mut self, now: f64, token: usize, frame: Frame) -> Result<(), End> {
        let Some(from) = self.from.get(&token) else { return Ok(()) };
        match (frame, from.who.clone()) {
            (Frame::Hello(hello), who) => {
                let named = self.to.get(&hello.name).is_none_or(|to| to.at.ip() == from.ip);
                if !named || who.is_some_and(|w| w.0 != hello.name) {
                    return Err(End::Refused(Refusal::Unnamed(hello.name)));
                }
                self.node.hello(now, &hello).map_err(End::Refused)?;
                // A later link of the same mixer takes the place of its earlier one.
                let old = |(t, f): &(&usize, &From)| {
                    **t != token && f.who.as_ref().is_some_and(|w| w.0 == hello.name)
                };
                let old: Vec<usize> = self.from.iter().filter(old).map(|(t, _)| *t).collect();
                old.iter().for_each(|t| drop(self.from.remove(t)));
                if let Some(from) = self.from.get_mut(&token) {
                    from.who = Some((hello.name, hello.start));
                }
                Ok(())
            }
            (_, None) => Err(End::Unreadable(Unreadable::Malformed)),
            (frame, Some((name, start))) => {
                self.counts.add("words_heard");
                let out = self.node.heard(now, &name, start, frame);
                self.carry(now, out);
                Ok(())
            }
        }
    }

    /// A later start has a name: links of earlier ones are told so, and end.
    fn outdone(&mut self, now: f64, name: &str, by: Rival) {
        let earlier = |f: &From| f.who.as_ref().is_some_and(|w| w.0 == name && w.1 < by.start);
        let tokens: Vec<usize> = self.from.iter().filter(|(_, f)| earlier(f)).map(|(t, _)| *t).collect();
        tokens.into_iter().for_each(|token| self.end(token, End::Refused(Refusal::Older(by))));
        // What waits for the earlier one is nothing to the later.
        if let Some(to) = self.to.get_mut(name)
            && to.written == 0
        {
            let before = to.queue.len();
            to.queue.retain(|(soft, _)| !soft);
            to.bytes = to.queue.iter().map(|(_, frame)| frame.len()).sum();
            if before != to.queue.len() {
                to.used_at = now;
            }
        }
    }

    fn end(&mut self, token: usize, why: End) {
        let Some(mut from) = self.from.remove(&token) else { return };
        let who = from.who.as_ref().map_or_else(|| from.ip.to_string(), |w| w.0.clone());
        match why {
            End::Closed => debug!(target: "fleet", "the link from {who} has ended"),
            End::Unreadable(why) => {
                self.counts.add("links_unreadable");
                self.warn("unreadable", &format!("the link from {who} is ended: {why}"));
            }
            End::NoRoom => {
                self.counts.add("links_no_room");
                self.warn(
                    "no room",
                    &format!("the link from {who} is ended: no room for more that is not whole"),
                );
            }
            End::Refused(why) => {
                self.counts.add("links_refused");
                self.warn("refused", &format!("the link from {who} is refused: {why}"));
                // It fits into what a socket takes at once, or goes unsaid.
                let _ = from.stream.write(&Frame::Refused(why).bytes());
                let _ = from.stream.shutdown(Shutdown::Write);
            }
        }
    }

    /// Links that take too long to open or to say hello.
    fn patience(&mut self, now: f64) {
        let late =
            |to: &To| matches!(to.standing, Standing::Opening { since, .. } if now - since >= PATIENCE_MS);
        let names: Vec<String> =
            self.to.iter().filter(|(_, to)| late(to)).map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| self.close(now, name, "nobody answers", false));
        // Guards against a link whose far end has gone without a word: written to, it takes all and carries nothing.
        let deaf = |(name, to): (&String, &To)| {
            let old = matches!(to.standing, Standing::Open { since, .. } if now - since >= DEAF_MS);
            (old && !self.node.peers.up().contains_key(name)).then(|| name.clone())
        };
        let names: Vec<String> = self.to.iter().filter_map(deaf).collect();
        names.iter().for_each(|name| self.reopen(now, name));
        let mute = |f: &From| f.who.is_none() && now - f.since >= PATIENCE_MS;
        let tokens: Vec<usize> = self.from.iter().filter(|(_, f)| mute(f)).map(|(t, _)| *t).collect();
        for token in tokens {
            self.counts.add("links_mute");
            self.end(token, End::Closed);
        }
    }
}
