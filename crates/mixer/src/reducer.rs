//! All state of a mixer and every change to it: inputs in, effects out, no I/O. It owns the scans, their
//! dispatches, the links to searchers and the decision module, and decides nothing that the module decides.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddrV4;

use log::{debug, info, warn};
use pewterwharf::interface::{Action, Decide, Ending, Event, Life, ListKind, Listed};
use pewterwharf::logic::Mixer;
use pewterwharf_terms::Terms;

use crate::counters::Counters;
use crate::discovery::{Entry, List};
use crate::frame::{self, Frame, Piece, Verdict};
use crate::http::{self, Ask, ScanAsk};

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Input {
    ClientOpen {
        conn: u64,
    },
    Asked {
        conn: u64,
        ask: Ask,
        close: bool,
    },
    ClientEnd {
        conn: u64,
    },
    AcceptFailed,
    LinkUp {
        link: u64,
    },
    /// Nothing more comes from it.
    LinkBroken {
        link: u64,
    },
    /// It is over; so many frames were written whole.
    LinkEnd {
        link: u64,
        written: u64,
    },
    Frame {
        link: u64,
        frame: Frame,
    },
    BadFrame {
        link: u64,
        why: String,
    },
    List(List),
    WatchLost,
    /// Asked to end.
    Stop,
    /// Asked for the counters.
    Report,
    /// A due time may have come.
    Due,
}

/// What is to be done outside, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Answer {
        conn: u64,
        bytes: Vec<u8>,
        last: bool,
    },
    /// Reads no further from a client than to what it has sent.
    HangUp {
        conn: u64,
    },
    /// Lets go of a connection once all answers are written.
    DropClient {
        conn: u64,
    },
    Connect {
        link: u64,
        addr: SocketAddrV4,
    },
    Write {
        link: u64,
        bytes: Vec<u8>,
    },
    CloseLink {
        link: u64,
    },
    StopListening,
    Print(String),
}

/// The phases of the program, from start to exit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// No list of searchers is held yet.
    Opening,
    Ready,
    /// Asked to end: new connections are served until then, and what was taken is answered.
    Draining {
        listen_until: f64,
        listening: bool,
    },
    Closed,
}

/// A part and the number of its dispatch.
type Leg = (u64, u8);

struct Client {
    /// The scan it waits for.
    scan: Option<u64>,
    /// Asked ahead of their turn, with the time they came.
    ahead: VecDeque<(f64, Ask, bool)>,
    /// The connection ends with the answer that is owed.
    close: bool,
    /// Its last answer has been given.
    over: bool,
    /// Told to send no more; what it had sent is still answered.
    hung: bool,
    /// Nothing more comes from it.
    ended: bool,
    idle_since: f64,
}

struct Scan {
    conn: u64,
    text: String,
    parts: Vec<u64>,
}

struct Part {
    scan: u64,
    /// Its name on the wire.
    name: String,
    shard: u32,
    sent: u8,
    value: Option<String>,
    /// Links that it went out on.
    links: Vec<u64>,
}

struct Searcher {
    name: String,
    addr: SocketAddrV4,
    life: Life,
    links: Vec<u64>,
}

#[derive(PartialEq)]
enum Standing {
    Opening,
    Up,
    /// Nothing new goes on it, and its end is awaited.
    Closing,
}

struct Link {
    srv: SocketAddrV4,
    /// Where it leads: the searcher may have moved since.
    addr: SocketAddrV4,
    standing: Standing,
    /// Calls and probes that wait for the connection.
    queue: VecDeque<Queued>,
    /// Frames handed over for writing.
    frames: u64,
    /// Calls out, and how many parts of each.
    calls: BTreeMap<u64, usize>,
    /// Parts that an answer may come for: none once the dispatch is over.
    out: HashMap<String, Option<Leg>>,
    probes: VecDeque<Probe>,
    idle_since: f64,
    /// A due time for its idleness is set.
    watched: bool,
}

enum Queued {
    Call(u64, Vec<Leg>),
    Probe,
}

struct Probe {
    number: u64,
    sent_at: f64,
    /// The number of its frame, once handed over.
    frame: Option<u64>,
    /// Its ending was told.
    over: bool,
}

struct Flight {
    link: u64,
    call: u64,
    srv: SocketAddrV4,
    sent_at: f64,
    until: f64,
    /// The number of its frame, once handed over.
    frame: Option<u64>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake,
    TimedOut(Leg),
    ProbeTimedOut {
        link: u64,
        number: u64,
    },
    /// Its client's time is up.
    Overdue(u64),
    /// A link may have been idle for long.
    Idle(u64),
    /// A client has had its time to close.
    Linger(u64),
    /// Something of draining is to be looked at.
    Drained,
}

/// Part of the searchers' idle time after which a link is closed here, so that no dispatch meets a close.
const IDLE: f64 = 0.8;
/// While draining, new connections are served for so long: past the 0.4 s in which they may still come.
const LISTEN_MS: f64 = 600.0;
/// Clients get so long to close after their last answer before the program ends.
const LINGER_MS: f64 = 300.0;
/// After a warning, further ones are told at the debug level for so long.
const QUIET_MS: f64 = 1000.0;
/// Requests that a client may send ahead on one connection.
const AHEAD: usize = 16;
/// Connections of clients that may come while others are on their way out.
const CHANGING: usize = 16;
/// Descriptors for everything but clients and searchers: the listener, discovery, standard streams, files.
const OTHERS: usize = 24;

pub struct Reducer {
    module: Mixer,
    terms: Terms,
    phase: Phase,
    clients_cap: usize,
    links_cap: usize,
    clients: BTreeMap<u64, Client>,
    scans: BTreeMap<u64, Scan>,
    parts: HashMap<u64, Part>,
    flights: BTreeMap<Leg, Flight>,
    /// By the address that the module knows them by.
    srvs: BTreeMap<SocketAddrV4, Searcher>,
    names: HashMap<String, SocketAddrV4>,
    links: BTreeMap<u64, Link>,
    due: BTreeSet<(u64, Due)>,
    ids: u64,
    scan_number: u32,
    quiet_until: f64,
    events: Vec<Event>,
    effects: Vec<Effect>,
    counters: Counters,
}

impl Reducer {
    pub fn new(terms: Terms, seed: u64, sockets: usize) -> Self {
        let half = sockets.saturating_sub(OTHERS + CHANGING) / 2;
        let mut terms = terms;
        for kind in &mut terms.types {
            // How a second step travels on sockets is not stated, so none is opened.
            kind.second_step = false;
        }
        Self {
            module: terms.open(seed),
            terms,
            phase: Phase::Opening,
            clients_cap: half,
            links_cap: half,
            clients: BTreeMap::new(),
            scans: BTreeMap::new(),
            parts: HashMap::new(),
            flights: BTreeMap::new(),
            srvs: BTreeMap::new(),
            names: HashMap::new(),
            links: BTreeMap::new(),
            due: BTreeSet::new(),
            ids: 0,
            scan_number: 0,
            quiet_until: 0.0,
            events: Vec::new(),
            effects: Vec::new(),
            counters: Counters::default(),
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When it wants to be called at the latest.
    pub fn next_due(&self) -> Option<f64> {
        self.due.first().map(|d| f64::from_bits(d.0))
    }

    /// Connections of clients that there can be: a few more than are kept, as the idle leave for others.
    pub fn client_places(&self) -> usize {
        self.clients_cap + CHANGING
    }

    /// The counts, with what is open now.
    pub fn counters(&self) -> Counters {
        Counters {
            scans_open: self.scans.len() as u64,
            clients_open: self.clients.len() as u64,
            links_open: self.links.len() as u64,
            ..self.counters.clone()
        }
    }

    /// The list as it was held before the start.
    pub fn cached(&mut self, now: f64, list: List) -> Vec<Effect> {
        self.listed(now, list, ListKind::Cached);
        self.turns(now);
        std::mem::take(&mut self.effects)
    }

    /// Takes in what has happened, each with its time, and says what to do about it. Changes to the list go
    /// before all else: drains count from their telling.
    pub fn step(&mut self, now: f64, inputs: Vec<(f64, Input)>) -> Vec<Effect> {
        let (lists, others): (Vec<_>, Vec<_>) =
            inputs.into_iter().partition(|i| matches!(i.1, Input::List(_)));
        for (at, input) in lists.into_iter().chain(others) {
            self.take(at.min(now), input);
        }
        let mut overdue = Vec::new();
        while self.due.first().is_some_and(|d| f64::from_bits(d.0) <= now)
            && let Some((_, due)) = self.due.pop_first()
        {
            match due {
                Due::Overdue(scan) => overdue.push(scan),
                due => self.fall_due(now, due),
            }
        }
        self.turns(now);
        // The module ends its scans before their time; after a pause of the machine that is now.
        for scan in overdue.into_iter().filter(|scan| self.scans.contains_key(scan)).collect::<Vec<_>>() {
            self.warn(now, "a scan was still open at its time");
            self.counters.scans_overdue += 1;
            self.counters.scans_abandoned += 1;
            self.events.push(Event::ClientGone { scan });
            self.answer_scan(now, scan, 504, None, b"the time is up\n");
        }
        self.turns(now);
        self.end_drain(now);
        std::mem::take(&mut self.effects)
    }

    /// Warns at most once in a while, so that a flood outside is none in the log.
    fn warn(&mut self, now: f64, line: &str) {
        if now < self.quiet_until {
            return debug!("{line}");
        }
        self.quiet_until = now + QUIET_MS;
        warn!("{line}");
    }

    fn add_due(&mut self, at: f64, due: Due) {
        self.due.insert((at.max(0.0).to_bits(), due));
    }

    fn id(&mut self) -> u64 {
        self.ids += 1;
        self.ids
    }

    fn take(&mut self, now: f64, input: Input) {
        match input {
            Input::ClientOpen { conn } => self.client_open(now, conn),
            Input::Asked { conn, ask, close } => self.asked(now, conn, ask, close),
            Input::ClientEnd { conn } => self.client_end(conn),
            Input::AcceptFailed => {
                self.counters.accepts_failed += 1;
                self.make_room();
            }
            Input::LinkUp { link } => self.link_up(now, link),
            Input::LinkBroken { link } => self.close_link(link, "broken"),
            Input::LinkEnd { link, written } => self.link_end(now, link, written),
            Input::Frame { link, frame } => self.frame(now, link, frame),
            Input::BadFrame { link, why } => self.bad_frame(now, link, &why),
            Input::List(list) => {
                let kind = if list.whole { ListKind::Full } else { ListKind::Changes };
                self.listed(now, list, kind);
            }
            Input::WatchLost => self.counters.watches_lost += 1,
            Input::Stop => self.stop(now),
            Input::Report => self.effects.push(Effect::Print(self.counters().to_string())),
            Input::Due => {}
        }
    }

    fn fall_due(&mut self, now: f64, due: Due) {
        match due {
            Due::Wake => self.events.push(Event::Wake),
            Due::TimedOut(leg) => {
                let Some(flight) = self.flights.get(&leg) else { return };
                // What still waits for its connection was never sent.
                let ending = if flight.frame.is_some() { Ending::TimedOut } else { Ending::Moot };
                self.give_up(now, leg, ending);
            }
            Due::ProbeTimedOut { link, number } => {
                let Some(at) = self.links.get_mut(&link) else { return };
                let Some(probe) = at.probes.iter_mut().find(|p| p.number == number && !p.over) else {
                    return;
                };
                probe.over = true;
                // No connection in time is told as that, whichever of the two clocks rings first.
                let ending = if probe.frame.is_some() { Ending::TimedOut } else { Ending::ConnectFailed };
                let (searcher, took_ms) = (at.srv, now - probe.sent_at);
                self.events.push(Event::Probed { searcher, ending, took_ms });
            }
            Due::Idle(link) => {
                let Some(at) = self.links.get_mut(&link) else { return };
                (at.watched, at.idle_since) = (false, at.idle_since.min(now));
                let until = at.idle_since + IDLE * self.terms.idle_ms;
                if at.idle() && now >= until {
                    self.close_link(link, "idle");
                } else if at.idle() {
                    at.watched = true;
                    self.add_due(until, Due::Idle(link));
                }
            }
            Due::Linger(conn) => {
                if self.clients.contains_key(&conn) {
                    self.effects.push(Effect::HangUp { conn });
                }
            }
            Due::Overdue(_) | Due::Drained => {}
        }
    }

    /// Hands the module what has happened until nothing new comes of what it does.
    fn turns(&mut self, now: f64) {
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            let mut calls: BTreeMap<SocketAddrV4, Vec<Leg>> = BTreeMap::new();
            for action in self.module.turn(now, events) {
                self.act(now, action, &mut calls);
            }
            for (srv, legs) in calls {
                for call in legs.chunks(self.terms.layout.parts_per_call.max(1) as usize) {
                    self.send(now, srv, call);
                }
            }
        }
    }

    fn act(&mut self, now: f64, action: Action, calls: &mut BTreeMap<SocketAddrV4, Vec<Leg>>) {
        match action {
            Action::Dispatch { part, searcher, patience_ms } => {
                if let Some(leg) = self.dispatch(now, part, searcher, patience_ms) {
                    calls.entry(searcher).or_default().push(leg);
                }
            }
            Action::Cancel { part, dispatch } => self.give_up(now, (part, dispatch), Ending::Cancelled),
            Action::Complete { scan, whole } => {
                let Some(held) = self.scans.get(&scan) else { return };
                self.counters.scans_completed += 1;
                self.counters.scans_whole += u64::from(whole);
                let parts = held.parts.iter().filter_map(|id| self.parts.get(id));
                let values = parts.filter_map(|p| p.value.as_deref().map(|v| (p.shard, v)));
                let body = http::rows(whole, values);
                self.answer_scan(now, scan, 200, None, &body);
            }
            Action::Throttle { scan, back_in_ms } => {
                self.counters.scans_throttled += u64::from(self.scans.contains_key(&scan));
                self.answer_scan(now, scan, 503, back_in_ms, b"throttled\n");
            }
            Action::Abandon { scan } => {
                self.counters.scans_abandoned += u64::from(self.scans.contains_key(&scan));
                self.answer_scan(now, scan, 504, None, b"abandoned\n");
            }
            Action::Probe { searcher } => self.probe(now, searcher),
            Action::Hangup { searcher } => {
                let links = self.srvs.get(&searcher).map(|s| s.links.clone()).unwrap_or_default();
                for link in links {
                    if self.links.get(&link).is_some_and(Link::idle) {
                        self.close_link(link, "hung up on");
                    }
                }
            }
            Action::WakeAt { at } => self.add_due(at, Due::Wake),
            Action::Subscribe => {} // the watch is always held
            Action::Log { line } => info!("{line}"),
        }
    }

    // Clients.

    fn client_open(&mut self, now: f64, conn: u64) {
        self.counters.clients_accepted += 1;
        self.clients.insert(conn, Client::new(now));
        if self.clients.len() > self.clients_cap {
            self.make_room();
        }
    }

    /// Gives up the client that has been idle for longest.
    fn make_room(&mut self) {
        let idle = self.clients.iter().filter(|c| c.1.idle());
        let longest = idle.min_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since)).map(|c| *c.0);
        if let Some(conn) = longest {
            self.counters.clients_dropped_for_room += 1;
            self.hang_up(conn);
        }
    }

    fn hang_up_idle(&mut self) {
        let idle: Vec<u64> = self.clients.iter().filter(|c| c.1.idle()).map(|c| *c.0).collect();
        idle.into_iter().for_each(|conn| self.hang_up(conn));
    }

    /// Takes no more from an idle client. What it has sent by then is still read, and answered as the last.
    fn hang_up(&mut self, conn: u64) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        (client.hung, client.close) = (true, true);
        self.effects.push(Effect::HangUp { conn });
    }

    fn client_end(&mut self, conn: u64) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if client.hung && client.scan.is_some() {
            client.ended = true; // by us: it still waits
            return;
        }
        let scan = client.scan;
        self.drop_client(conn);
        if let Some(scan) = scan {
            self.counters.scans_gone += 1;
            self.forget(scan);
            self.events.push(Event::ClientGone { scan });
        }
    }

    fn drop_client(&mut self, conn: u64) {
        self.clients.remove(&conn);
        self.effects.push(Effect::DropClient { conn });
    }

    fn asked(&mut self, now: f64, conn: u64, ask: Ask, close: bool) {
        let Some(client) = self.clients.get_mut(&conn).filter(|c| !c.over) else { return };
        if client.scan.is_none() {
            return self.ask(now, conn, ask, close);
        }
        client.ahead.push_back((now, ask, close));
        if client.ahead.len() > AHEAD {
            self.client_end(conn);
        }
    }

    fn ask(&mut self, now: f64, conn: u64, ask: Ask, close: bool) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.close |= close;
        }
        match ask {
            Ask::Scan(ask) => match self.known(&ask) {
                Ok((table_type, customer)) => self.scan(now, conn, ask, table_type, customer),
                Err((status, why)) => self.unusable(now, conn, status, &why),
            },
            Ask::Ready if matches!(self.phase, Phase::Ready) => self.answer(now, conn, 200, None, b"ready\n"),
            Ask::Ready => self.answer(now, conn, 503, None, b"not ready\n"),
            Ask::Healthy => self.answer(now, conn, 200, None, b"healthy\n"),
            Ask::Counters => {
                let text = self.counters().to_string();
                self.answer(now, conn, 200, None, text.as_bytes());
            }
            Ask::Unusable(status, why) => self.unusable(now, conn, status, &why),
        }
    }

    /// The indices of the names that a scan gives.
    fn known(&self, ask: &ScanAsk) -> Result<(usize, usize), (u16, String)> {
        let index = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let table_type = index(&self.terms.type_names, &ask.table_type)
            .ok_or_else(|| (404, format!("no table type {:?}", ask.table_type)))?;
        let customer = match &ask.customer {
            _ if self.terms.customers.is_empty() => 0,
            None => return Err((400, "Req-Owner is missing".to_owned())),
            Some(name) => index(&self.terms.customer_names, name)
                .ok_or_else(|| (400, format!("no customer {name:?}")))?,
        };
        match ask.parts.iter().find(|p| p.shard >= self.terms.shards) {
            Some(part) => Err((400, format!("no shard {}", part.shard))),
            None => Ok((table_type, customer)),
        }
    }

    fn unusable(&mut self, now: f64, conn: u64, status: u16, why: &str) {
        self.counters.requests_unusable += 1;
        debug!("a request was answered {status}: {why}");
        self.answer(now, conn, status, None, format!("{why}\n").as_bytes());
    }

    fn scan(&mut self, now: f64, conn: u64, ask: ScanAsk, table_type: usize, customer: usize) {
        self.counters.scans_taken += 1;
        let held = self.scans.len() + self.parts.len();
        if held + 1 + ask.parts.len() > self.terms.open_cap {
            self.counters.scans_throttled += 1;
            self.counters.scans_turned_away += 1;
            return self.answer(now, conn, 503, self.terms.permits.back_in_ms, b"full\n");
        }
        let id = self.id();
        self.scan_number = self.scan_number.wrapping_add(1);
        let (number, gone_at) = (self.scan_number, now + ask.wait_ms);
        let work: Option<Vec<f64>> = ask.parts.iter().map(|p| p.work_ms).collect();
        let work_ms = work.map(|w| w.iter().sum());
        let retry = ask.retry;
        self.events.push(Event::Scan { id, number, table_type, customer, gone_at, work_ms, retry });
        let mut parts = Vec::with_capacity(ask.parts.len());
        for part in &ask.parts {
            let at = self.id();
            parts.push(at);
            self.events.push(Event::Part { id: at, number, shard: part.shard, weight: part.weight });
            let name = format!("{}.{}", ask.id, part.shard);
            #[rustfmt::skip]
            let part = Part { scan: id, name, shard: part.shard, sent: 0, value: None, links: Vec::new() };
            self.parts.insert(at, part);
        }
        self.scans.insert(id, Scan { conn, text: ask.text, parts });
        self.add_due(gone_at, Due::Overdue(id));
        if let Some(client) = self.clients.get_mut(&conn) {
            client.scan = Some(id);
        }
    }

    /// Gives a scan its final answer.
    fn answer_scan(&mut self, now: f64, scan: u64, status: u16, back_in_ms: Option<f64>, body: &[u8]) {
        let Some(conn) = self.scans.get(&scan).map(|s| s.conn) else { return };
        self.forget(scan);
        self.answer(now, conn, status, back_in_ms, body);
    }

    /// Forgets a scan and its parts; dispatches that are out end by themselves.
    fn forget(&mut self, scan: u64) {
        let Some(scan) = self.scans.remove(&scan) else { return };
        for part in scan.parts.iter().filter_map(|id| self.parts.remove(id)) {
            for link in part.links {
                if let Some(link) = self.links.get_mut(&link) {
                    link.out.retain(|name, leg| leg.is_some() || *name != part.name);
                }
            }
        }
    }

    fn answer(&mut self, now: f64, conn: u64, status: u16, back_in_ms: Option<f64>, body: &[u8]) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        (client.scan, client.idle_since) = (None, now);
        client.close |= matches!(self.phase, Phase::Draining { .. } | Phase::Closed);
        client.over = client.close;
        let (last, ended, next) = (client.close, client.ended, client.ahead.pop_front());
        let bytes = http::answer(status, back_in_ms, body, last);
        self.effects.push(Effect::Answer { conn, bytes, last });
        if ended {
            self.drop_client(conn);
        } else if last {
            self.add_due(now + LINGER_MS, Due::Linger(conn));
        }
        if let Some((at, ask, close)) = next.filter(|_| !last) {
            self.ask(at, conn, ask, close);
        }
    }

    // Dispatches.

    fn dispatch(&mut self, now: f64, part: u64, srv: SocketAddrV4, patience_ms: f64) -> Option<Leg> {
        let Some(held) = self.parts.get_mut(&part) else {
            self.warn(now, "a part that is over was dispatched");
            return None;
        };
        let leg = (part, held.sent);
        held.sent = held.sent.saturating_add(1);
        self.counters.dispatches += 1;
        self.counters.dispatches_further += u64::from(leg.1 > 0);
        let until = now + patience_ms;
        self.flights.insert(leg, Flight { link: 0, call: 0, srv, sent_at: now, until, frame: None });
        if u32::from(leg.1) >= self.terms.permits.dispatches {
            self.end_flight(now, leg, Ending::Moot);
            return None;
        }
        self.add_due(until, Due::TimedOut(leg));
        Some(leg)
    }

    /// Sends a call on the first link with room, or on a new one.
    fn send(&mut self, now: f64, srv: SocketAddrV4, legs: &[Leg]) {
        let names: Vec<&str> =
            legs.iter().filter_map(|l| Some(self.parts.get(&l.0)?.name.as_str())).collect();
        let links = self.links_to(srv);
        let fits = |id: &&u64| {
            self.links.get(id).is_some_and(|link| {
                link.calls.len() < self.terms.calls_per_link
                    // An answer to an earlier dispatch of a part must not be taken for this one's.
                    && !names.iter().any(|name| link.out.contains_key(*name))
            })
        };
        let link = links.iter().find(fits).copied().or_else(|| self.connect(now, srv));
        let Some(id) = link else {
            legs.iter().for_each(|leg| self.end_flight(now, *leg, Ending::ConnectFailed));
            return;
        };
        let call = self.id();
        for leg in legs {
            let (Some(flight), Some(part)) = (self.flights.get_mut(leg), self.parts.get_mut(&leg.0)) else {
                continue;
            };
            (flight.link, flight.call) = (id, call);
            part.links.push(id);
            if let Some(link) = self.links.get_mut(&id) {
                *link.calls.entry(call).or_default() += 1;
                link.out.insert(part.name.clone(), Some(*leg));
            }
        }
        let Some(link) = self.links.get_mut(&id) else { return };
        link.queue.push_back(Queued::Call(call, legs.to_vec()));
        if link.standing == Standing::Up {
            self.flush(now, id);
        }
    }

    /// Hands over for writing what waits for a link.
    fn flush(&mut self, now: f64, id: u64) {
        let Some(link) = self.links.get_mut(&id) else { return };
        while let Some(queued) = link.queue.pop_front() {
            let bytes = match queued {
                Queued::Probe => {
                    let Some(probe) = link.probes.iter_mut().find(|p| p.frame.is_none()) else { continue };
                    probe.frame = Some(link.frames);
                    frame::probe()
                }
                Queued::Call(call, legs) => {
                    let mut pieces = Vec::new();
                    for leg in &legs {
                        let flight = self.flights.get_mut(leg).filter(|f| f.call == call);
                        let part = self.parts.get(&leg.0);
                        let scan = part.and_then(|p| self.scans.get(&p.scan));
                        let (Some(flight), Some(part), Some(scan)) = (flight, part, scan) else { continue };
                        flight.frame = Some(link.frames);
                        let wait_ms = (flight.until - now).max(1.0) as u64;
                        pieces.push(Piece { id: &part.name, shard: part.shard, wait_ms, text: &scan.text });
                    }
                    if pieces.is_empty() {
                        continue;
                    }
                    frame::call(&pieces)
                }
            };
            link.frames += 1;
            self.effects.push(Effect::Write { link: id, bytes });
        }
    }

    /// Stops waiting for a dispatch, and tells its searcher where that may be done.
    fn give_up(&mut self, now: f64, leg: Leg, ending: Ending) {
        let Some(flight) = self.flights.get(&leg) else { return };
        if flight.frame.is_some()
            && self.terms.permits.cancel
            && let Some(link) = self.links.get_mut(&flight.link)
            && link.standing == Standing::Up
            && let Some(name) = link.name_of(leg)
        {
            link.frames += 1;
            self.effects.push(Effect::Write { link: flight.link, bytes: frame::give_up(&name) });
        }
        self.end_flight(now, leg, ending);
    }

    /// The one ending of a dispatch.
    fn end_flight(&mut self, now: f64, leg: Leg, ending: Ending) {
        let Some(flight) = self.flights.remove(&leg) else { return };
        let count = match ending {
            Ending::Ok => &mut self.counters.ended_ok,
            Ending::Error => &mut self.counters.ended_error,
            Ending::Full => &mut self.counters.ended_full,
            Ending::TimedOut => &mut self.counters.ended_timed_out,
            Ending::ConnectFailed => &mut self.counters.ended_connect_failed,
            Ending::Reset => &mut self.counters.ended_reset,
            Ending::Cancelled => &mut self.counters.ended_cancelled,
            Ending::Moot => &mut self.counters.ended_moot,
        };
        *count += 1;
        let took_ms = now - flight.sent_at;
        if let Some(link) = self.links.get_mut(&flight.link) {
            // While its scan is open, a late answer may still come and must be told from a later dispatch's.
            let open = flight.frame.is_some() && self.parts.contains_key(&leg.0);
            if let Some(name) = link.name_of(leg) {
                match open {
                    true => drop(link.out.insert(name, None)),
                    false => drop(link.out.remove(&name)),
                }
            }
            if let Some(left) = link.calls.get_mut(&flight.call) {
                *left -= 1;
                if *left == 0 {
                    link.calls.remove(&flight.call);
                }
            }
            self.rest(now, flight.link);
        }
        let (part, dispatch) = leg;
        self.events.push(Event::Ended { part, dispatch, searcher: flight.srv, ending, took_ms });
    }

    fn frame(&mut self, now: f64, id: u64, frame: Frame) {
        let Some(link) = self.links.get_mut(&id) else { return };
        match frame {
            Frame::Part { id: name, verdict, value } => match link.out.remove(&name) {
                Some(Some(leg)) => {
                    let ending = match verdict {
                        Verdict::Ok => Ending::Ok,
                        Verdict::Error => Ending::Error,
                        Verdict::Full => Ending::Full,
                    };
                    if let Some(part) = self.parts.get_mut(&leg.0).filter(|_| ending == Ending::Ok) {
                        part.value.get_or_insert(value);
                    }
                    self.end_flight(now, leg, ending);
                }
                _ => self.counters.answers_stale += 1,
            },
            Frame::Probe(verdict) => {
                let Some(probe) = link.probes.pop_front() else { return };
                if !probe.over {
                    let ending = if verdict == Verdict::Ok { Ending::Ok } else { Ending::Error };
                    self.counters.probes_ok += u64::from(ending == Ending::Ok);
                    let (searcher, took_ms) = (link.srv, now - probe.sent_at);
                    self.events.push(Event::Probed { searcher, ending, took_ms });
                }
                self.rest(now, id);
            }
            Frame::Unusable(why) => self.bad_frame(now, id, &format!("Z: {why}")),
        }
    }

    fn bad_frame(&mut self, now: f64, link: u64, why: &str) {
        self.counters.frames_bad += 1;
        if let Some(at) = self.links.get(&link) {
            let line = format!("a link to {} is closed after {why}", at.addr);
            self.warn(now, &line);
        }
        self.close_link(link, "unusable");
    }

    fn probe(&mut self, now: f64, srv: SocketAddrV4) {
        self.counters.probes += 1;
        let Some(id) = self.links_to(srv).first().copied().or_else(|| self.connect(now, srv)) else {
            let ending = Ending::ConnectFailed;
            return self.events.push(Event::Probed { searcher: srv, ending, took_ms: 0.0 });
        };
        let number = self.id();
        self.add_due(now + self.terms.connect_timeout_ms, Due::ProbeTimedOut { link: id, number });
        let Some(link) = self.links.get_mut(&id) else { return };
        link.probes.push_back(Probe { number, sent_at: now, frame: None, over: false });
        link.queue.push_back(Queued::Probe);
        if link.standing == Standing::Up {
            self.flush(now, id);
        }
    }

    // Links.

    /// The links that new calls and probes to a searcher may go on.
    fn links_to(&self, srv: SocketAddrV4) -> Vec<u64> {
        let Some(srv) = self.srvs.get(&srv) else { return Vec::new() };
        let leads = |l: &Link| l.standing != Standing::Closing && l.addr == srv.addr;
        srv.links.iter().copied().filter(|id| self.links.get(id).is_some_and(leads)).collect()
    }

    fn connect(&mut self, now: f64, srv: SocketAddrV4) -> Option<u64> {
        let addr = self.srvs.get(&srv)?.addr;
        if self.links.len() >= self.links_cap {
            let idle = self.links.iter().find(|l| l.1.idle()).map(|l| *l.0);
            self.close_link(idle?, "for room");
        }
        let id = self.id();
        let link = Link {
            srv,
            addr,
            standing: Standing::Opening,
            queue: VecDeque::new(),
            frames: 0,
            calls: BTreeMap::new(),
            out: HashMap::new(),
            probes: VecDeque::new(),
            idle_since: now,
            watched: false,
        };
        self.links.insert(id, link);
        self.srvs.get_mut(&srv)?.links.push(id);
        debug!("link {id} to {addr}: opened, one of {}", self.srvs.get(&srv)?.links.len());
        self.effects.push(Effect::Connect { link: id, addr });
        Some(id)
    }

    fn link_up(&mut self, now: f64, id: u64) {
        self.counters.links_opened += 1;
        let Some(link) = self.links.get_mut(&id) else { return };
        if link.standing == Standing::Opening {
            link.standing = Standing::Up;
            self.flush(now, id);
            self.rest(now, id);
        }
    }

    /// Notes when a link came to rest, and sets the time at which it is closed for that.
    fn rest(&mut self, now: f64, id: u64) {
        let Some(link) = self.links.get_mut(&id).filter(|l| l.idle()) else { return };
        link.idle_since = now;
        if self.srvs.get(&link.srv).is_none_or(|s| s.addr != link.addr) {
            self.close_link(id, "moved");
        } else if !link.watched {
            link.watched = true;
            self.add_due(now + IDLE * self.terms.idle_ms, Due::Idle(id));
        }
    }

    fn close_link(&mut self, id: u64, why: &str) {
        if let Some(link) = self.links.get_mut(&id).filter(|l| l.standing != Standing::Closing) {
            link.standing = Standing::Closing;
            debug!("link {id} to {}: closed, {why}", link.addr);
            self.effects.push(Effect::CloseLink { link: id });
        }
    }

    /// What was out on a link ends with it: it may have run only if its frame was written whole.
    fn link_end(&mut self, now: f64, id: u64, written: u64) {
        let failed = self.links.get(&id).is_some_and(|l| l.standing == Standing::Opening);
        self.counters.links_failed += u64::from(failed);
        self.close_link(id, "ended");
        let Some(link) = self.links.remove(&id) else { return };
        if let Some(srv) = self.srvs.get_mut(&link.srv) {
            srv.links.retain(|l| *l != id);
        }
        let told = |frame: Option<u64>| match frame {
            Some(frame) if frame < written => Ending::Reset,
            _ => Ending::ConnectFailed,
        };
        for probe in link.probes.iter().filter(|p| !p.over) {
            let (searcher, ending, took_ms) = (link.srv, told(probe.frame), now - probe.sent_at);
            self.events.push(Event::Probed { searcher, ending, took_ms });
        }
        let mut legs: Vec<Leg> = link.out.into_values().flatten().collect();
        legs.sort_unstable();
        for leg in legs {
            let ending = told(self.flights.get(&leg).and_then(|f| f.frame));
            self.end_flight(now, leg, ending);
        }
    }

    // The list.

    fn listed(&mut self, now: f64, list: List, kind: ListKind) {
        self.counters.lists += 1;
        self.counters.list_entries_bad += list.bad.len() as u64;
        list.bad.iter().for_each(|why| self.warn(now, &format!("discovery: {why}")));
        if kind != ListKind::Changes {
            self.srvs.values_mut().for_each(|s| s.life = Life::Gone);
        }
        let mut lines = Vec::with_capacity(list.entries.len());
        for entry in list.entries {
            lines.extend(self.entry(entry));
        }
        // What waits for a connection to one that takes nothing new is not sent.
        let unsent = self.flights.iter().filter(|(_, f)| f.frame.is_none());
        let off = unsent.filter(|(_, f)| self.srvs.get(&f.srv).is_none_or(|s| s.life != Life::Ready));
        for leg in off.map(|f| *f.0).collect::<Vec<_>>() {
            self.end_flight(now, leg, Ending::Moot);
        }
        self.events.push(Event::List { kind, lines });
        // Who is gone and has nothing open is forgotten, as releases bring new ones.
        self.srvs.retain(|_, s| s.life != Life::Gone || !s.links.is_empty());
        self.names.retain(|_, key| self.srvs.contains_key(key));
        if self.phase == Phase::Opening && self.srvs.values().any(|s| s.life == Life::Ready) {
            self.phase = Phase::Ready;
            info!("ready");
        }
    }

    /// A searcher is known by its name; the module knows it by the first address under which it was listed.
    fn entry(&mut self, entry: Entry) -> Option<Listed> {
        let Entry { name, addr, zone, cell, since, life } = entry;
        let key = match self.names.get(&name) {
            Some(key) => *key,
            None if life == Life::Gone => return None,
            None => {
                let mut key = addr;
                while self.srvs.contains_key(&key) {
                    key.set_port(key.port().wrapping_add(1));
                }
                self.names.insert(name.clone(), key);
                let srv = Searcher { name, addr, life, links: Vec::new() };
                self.srvs.insert(key, srv);
                key
            }
        };
        let zone = self.terms.zones.iter().position(|z| *z == zone).unwrap_or(self.terms.zones.len()) as u16;
        let srv = self.srvs.get_mut(&key)?;
        if srv.life == Life::Ready && life != Life::Ready {
            info!("{} {}", srv.name, if life == Life::Gone { "is gone" } else { "drains" });
        }
        srv.life = life;
        if srv.addr != addr && life != Life::Gone {
            info!("{} has moved from {} to {addr}", srv.name, srv.addr);
            srv.addr = addr;
            // Links to where it was take nothing new, and close once nothing is out on them.
            for link in srv.links.clone() {
                if self.links.get(&link).is_some_and(Link::idle) {
                    self.close_link(link, "moved");
                }
            }
        }
        Some(Listed { searcher: key, cell, zone, since, life })
    }

    // The end.

    fn stop(&mut self, now: f64) {
        match self.phase {
            Phase::Closed => {}
            Phase::Draining { .. } => {
                // Asked twice: whoever asks does not want to wait.
                for scan in self.scans.keys().copied().collect::<Vec<_>>() {
                    self.counters.scans_abandoned += 1;
                    self.answer_scan(now, scan, 504, None, b"the mixer ends\n");
                }
                self.phase = Phase::Closed;
            }
            Phase::Opening | Phase::Ready => {
                info!("draining");
                self.phase = Phase::Draining { listen_until: now + LISTEN_MS, listening: true };
                self.add_due(now + LISTEN_MS, Due::Drained);
                self.hang_up_idle();
            }
        }
    }

    /// Ends the program once new connections come no more and all that was taken is answered.
    fn end_drain(&mut self, now: f64) {
        let Phase::Draining { listen_until, listening } = self.phase else { return };
        if now < listen_until {
            return;
        }
        if listening {
            self.phase = Phase::Draining { listen_until, listening: false };
            self.effects.push(Effect::StopListening);
            self.hang_up_idle();
        }
        if !self.scans.is_empty() {
            return;
        }
        let lingers = self.clients.values().map(|c| c.idle_since + LINGER_MS);
        let lingers = lingers.fold(listen_until + LINGER_MS, f64::max);
        if self.clients.is_empty() || lingers <= now {
            self.phase = Phase::Closed;
        } else {
            self.add_due(lingers, Due::Drained);
        }
    }
}

impl Client {
    fn new(now: f64) -> Self {
        let (scan, ahead, idle_since) = (None, VecDeque::new(), now);
        Self { scan, ahead, close: false, over: false, hung: false, ended: false, idle_since }
    }

    fn idle(&self) -> bool {
        self.scan.is_none() && !self.over && !self.hung
    }
}

impl Link {
    fn idle(&self) -> bool {
        self.standing == Standing::Up && self.calls.is_empty() && self.probes.is_empty()
    }

    /// The name under which a dispatch is out.
    fn name_of(&self, leg: Leg) -> Option<String> {
        self.out.iter().find(|(_, l)| **l == Some(leg)).map(|(name, _)| name.clone())
    }
}
