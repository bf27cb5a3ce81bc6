//! The decisions of one mixer: ShortTail's sliced detection and degraded reads, kept and extended as
//! `docs/design.md` tells. A host opens a [`Mixer`] with the deployment's terms and calls `turn` with all
//! that happened at one time; types and trait stand in `src/interface.rs`. Inside, every searcher is an
//! actor, the [`Gauge`] knows what is normal and the [`Desk`] has the scans; they talk only by notes that
//! one loop takes from their inboxes.

use std::cmp::Ordering::Equal;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;

use oorandom::Rand64;

use crate::interface::{
    Action, Berth, Budget, Customer, Decide, Ending, Event, Guards, Layout, Life, ListKind, Listed, Permits,
    Repeat, TableType,
};

/// A searcher is marked when a slice averages over so many times the median: the paper's "about three".
const MULTIPLE: f64 = 3.0;

/// What is normal now: milliseconds for each table type, and the median share over all searchers' slices.
#[derive(Clone, Debug)]
struct Norms {
    normal: Vec<f64>,
    work: Vec<f64>,
    median: f64,
}

impl Norms {
    fn limit(&self) -> f64 {
        MULTIPLE * self.median
    }
}

type Leg = (u64, u8); // a part and the number of its dispatch

enum Note {
    // To a searcher: its process is new, a part left, a part's share is known, a probe came back.
    Renewed,
    Sent(Leg, usize),
    Filed(Leg, f64, bool),
    Pong(bool, f64),
    // To the gauge: a part's table type and latency, a searcher's slice average.
    Heard(usize, f64),
    Slice(usize, f64),
    // To the desk.
    Tile(usize, Tile),
    Told(Event),
    Settle,
    // To several.
    Norms(Rc<Norms>),
    Tick,
}

/// What a searcher lets the desk know of itself.
#[derive(Clone, Copy)]
struct Tile {
    lat: f64,
    marked: bool,
    trial: bool,
}

const NEW: Tile = Tile { lat: 1.0, marked: false, trial: false };

/// All inboxes, and the actions that are to leave at the end of the turn.
#[derive(Default)]
struct Post {
    now: f64,
    desk: VecDeque<Note>,
    gauge: VecDeque<Note>,
    srvs: Vec<VecDeque<Note>>,
    out: Vec<Action>,
}

struct Slice {
    from: f64,
    sent: u32,
    sum: f64,
    out: Vec<(Leg, usize, f64)>,
}

/// One searcher, watched by slices.
struct Searcher {
    me: usize,
    addr: SocketAddrV4,
    norms: Rc<Norms>,
    offset: f64,
    slices: Vec<Slice>,
    tile: Tile,
    strikes: u32,
    probe_at: f64,
}

impl Searcher {
    /// The design's half second; the paper asks for the smallest that holds enough parts.
    const SLICE_MS: f64 = 500.0;
    /// Parts that a slice waits for: the fewest whose average one straggler under 9 normals cannot lift.
    const FEW: u32 = 3;
    /// Weight of the newest part in the smoothed latency: about the last five count.
    const SMOOTH: f64 = 0.2;
    /// A latency that nothing confirms fades to the average in about this time, some slices long.
    const FADE_MS: f64 = 5000.0;
    /// First probe of a marked searcher, one slice after the mark; doubled by every relapse.
    const PROBE_MS: f64 = 500.0;

    fn note(&mut self, note: Note, post: &mut Post, probing: bool) {
        let now = post.now;
        match note {
            // A new process has nothing of the old one's past.
            Note::Renewed => {
                (self.tile, self.strikes) = (NEW, 0);
                self.slices.clear();
            }
            Note::Sent(leg, kind) => {
                let open = |s: &Slice| now - s.from < Self::SLICE_MS + self.offset || s.sent < Self::FEW;
                if !self.slices.last().is_some_and(open) {
                    self.slices.push(Slice { from: now, sent: 0, sum: 0.0, out: Vec::new() });
                    self.offset = 0.0;
                }
                if let Some(slice) = self.slices.last_mut() {
                    slice.sent += 1;
                    slice.out.push((leg, kind, now));
                }
            }
            Note::Filed(leg, share, ok) => {
                self.tile.lat += Self::SMOOTH * (share - self.tile.lat);
                let held = |s: &&mut Slice| s.out.iter().any(|l| l.0 == leg);
                let Some(slice) = self.slices.iter_mut().find(held) else { return };
                slice.out.retain(|l| l.0 != leg);
                slice.sum += share;
                if std::mem::take(&mut self.tile.trial) && (share > self.norms.limit() || !ok) {
                    self.mark(share, post);
                }
            }
            // A probe does almost no work, so a pass only admits to a trial: one part at a time until one
            // comes back in time. Guards against searchers that answer probes and nothing else; harms a
            // sound one by a few parts.
            Note::Pong(ok, took) if self.tile.marked => {
                let quick = self.norms.normal.iter().copied().fold(f64::INFINITY, f64::min);
                if ok && took < self.norms.limit() * quick {
                    self.tile = Tile { trial: true, ..NEW };
                    post.out.push(Action::Log { line: format!("{} readmitted on trial", self.addr) });
                }
            }
            Note::Norms(norms) => self.norms = norms,
            Note::Tick => {
                self.tile.lat += (1.0 - self.tile.lat) * Mixer::TICK_MS / Self::FADE_MS;
                self.judge(post);
                if self.tile.marked && now >= self.probe_at && probing {
                    self.probe_at = now + self.rest();
                    post.out.push(Action::Probe { searcher: self.addr });
                }
            }
            _ => {}
        }
        if self.tile.marked {
            self.slices.clear();
        }
        post.desk.push_back(Note::Tile(self.me, self.tile));
    }

    fn rest(&self) -> f64 {
        Self::PROBE_MS * f64::from(1u32 << self.strikes.min(4))
    }

    /// A slice is judged when it is over and its parts have ended, or as soon as the ages of those still
    /// out lift its average over the multiple. The latter guards against a hang, which would show only
    /// with the last time-out; it harms a searcher whose few parts are all heavy, until its next probe.
    fn judge(&mut self, post: &mut Post) {
        let (now, limit, mut worst) = (post.now, self.norms.limit(), 0.0);
        self.slices.retain(|slice| {
            let aged: f64 = slice.out.iter().map(|l| (now - l.2) / self.norms.normal[l.1]).sum();
            let mean = (slice.sum + aged) / f64::from(slice.sent);
            let over = now - slice.from >= Self::SLICE_MS && slice.out.is_empty();
            let ripe = slice.sent >= Self::FEW && (over || mean > limit);
            if ripe {
                worst = mean.max(worst);
                post.gauge.push_back(Note::Slice(self.me, mean));
            }
            !ripe
        });
        if worst > limit && !self.tile.marked {
            self.mark(worst, post);
        } else if worst > 0.0 && !self.tile.marked {
            self.strikes = 0;
        }
    }

    fn mark(&mut self, mean: f64, post: &mut Post) {
        (self.tile.marked, self.probe_at) = (true, post.now + self.rest());
        self.strikes += 1;
        post.out.push(Action::Log { line: format!("{} marked at {mean:.1} normals", self.addr) });
    }
}

/// What is normal: for each table type, and over all searchers' slices.
struct Gauge {
    normal: Vec<(f64, f64)>,
    work: Vec<f64>,
    means: Vec<Option<f64>>,
}

impl Gauge {
    /// Weight of the newest part in a table type's normal latency: a few hundred parts, some seconds.
    const SMOOTH: f64 = 0.01;
    /// Step of the work estimate: it halves within some fifty parts, and strays by a few in a hundred.
    const STEP: f64 = 0.01;
    /// A median of fewer searchers says little; until then one normal stands for it.
    const FEW: usize = 3;

    fn note(&mut self, note: Note, post: &mut Post) {
        match note {
            Note::Heard(kind, ms) => {
                let (normal, heard) = &mut self.normal[kind];
                *heard += 1.0;
                // Clipped, so that one slow searcher does not become the norm.
                let clipped = if *heard > 10.0 { ms.min(MULTIPLE * *normal) } else { ms };
                // A part's own work shows where little waits: a step up and three down settle at the
                // quarter of the parts that were quickest.
                self.work[kind] *=
                    if ms > self.work[kind] { 1.0 + Self::STEP } else { 1.0 - 3.0 * Self::STEP };
                *normal += (1.0 / *heard).max(Self::SMOOTH) * (clipped - *normal);
            }
            Note::Slice(srv, mean) => {
                if self.means.len() <= srv {
                    self.means.resize(srv + 1, None);
                }
                self.means[srv] = Some(mean);
            }
            Note::Tick => {
                let mut means: Vec<f64> = self.means.iter().flatten().copied().collect();
                means.sort_by(f64::total_cmp);
                let median = if means.len() < Self::FEW { 1.0 } else { means[means.len() / 2] };
                let (normal, work) = (self.normal.iter().map(|n| n.0.max(1.0)).collect(), self.work.clone());
                let norms = Rc::new(Norms { normal, work, median });
                for inbox in &mut post.srvs {
                    inbox.push_back(Note::Norms(norms.clone()));
                }
                post.desk.push_back(Note::Norms(norms));
            }
            _ => {}
        }
    }
}

/// A searcher as the desk sees it.
struct Seat {
    addr: SocketAddrV4,
    cell: u32,
    since: f64,
    life: Life,
    tile: Tile,
    calls: u32,
    spent: VecDeque<(f64, f64)>,
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Unsent,
    Out,
    In,
    Broken,
}

struct Part {
    id: u64,
    shard: u32,
    weight: f64,
    state: State,
    caught: bool,
    sent: Vec<(usize, Option<Ending>)>,
    first_at: f64,
}

impl Part {
    fn proved_unrun(&self) -> bool {
        self.sent.iter().all(|s| s.1.is_some_and(Ending::never_ran))
    }

    fn out(&self) -> impl Iterator<Item = u8> {
        self.sent.iter().enumerate().filter(|s| s.1.1.is_none()).map(|s| s.0 as u8)
    }
}

struct Scan {
    id: u64,
    number: u32,
    kind: usize,
    customer: usize,
    target_at: f64,
    gone_at: f64,
    parts: Vec<Part>,
    need: f64,
    floor: f64,
    whole: bool,
    fresh: bool,
    hungry: bool,
    second: bool,
}

impl Scan {
    fn weight(&self, of: impl Fn(&Part) -> bool) -> f64 {
        self.parts.iter().filter(|p| of(p)).map(|p| p.weight).sum()
    }

    fn have(&self) -> f64 {
        self.weight(|p| p.state == State::In) + HAIR
    }

    fn lacks(&self) -> bool {
        self.have() + self.weight(|p| p.state == State::Out && !p.caught) < self.need
    }
}

enum Due {
    Late(Leg),
    Target(usize),
    Gone(usize),
}

struct Flight {
    srv: usize,
    kind: usize,
    call: u64,
    allotted: f64,
}

/// The scans, and what goes where.
struct Desk {
    types: Vec<TableType>,
    customers: Vec<Customer>,
    layout: Layout,
    guards: Guards,
    permits: Permits,
    mixers: f64,
    norms: Rc<Norms>,
    seats: Vec<Seat>,
    scans: BTreeMap<usize, Scan>,
    owners: HashMap<u64, (usize, usize)>, // of a scan or part: the scan's index, and the part's in it
    flights: BTreeMap<Leg, Flight>,
    this_turn: BTreeMap<usize, (u64, u32)>, // the call to each searcher, and its parts
    due: BTreeMap<(u64, u64), Due>,
    next: u64,
    taken: VecDeque<f64>,
    extras: VecDeque<f64>,
    lates: VecDeque<f64>,
    seen: VecDeque<(f64, usize)>,
    limit: f64,
    cut_at: f64,
}

/// Sums of weights may fall this short of what is needed (the weights come rounded).
const HAIR: f64 = 1e-5;

impl Desk {
    fn note(&mut self, note: Note, post: &mut Post) {
        match note {
            Note::Tile(srv, tile) => {
                let caught = tile.marked && !self.seats[srv].tile.marked;
                self.seats[srv].tile = tile;
                let legs = self.flights.iter().filter(|(_, f)| caught && f.srv == srv);
                for id in legs.map(|(leg, _)| leg.0).collect::<Vec<_>>() {
                    self.catch(id);
                }
            }
            Note::Norms(norms) => self.norms = norms,
            Note::Told(event) => self.told(event, post),
            Note::Tick => self.press(post.now),
            Note::Settle => self.settle(post),
            _ => {}
        }
    }

    fn next(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn push_due(&mut self, at: f64, due: Due) {
        let next = self.next();
        self.due.insert((at.max(0.0).to_bits(), next), due);
    }

    /// Final answers leave so long before the time is up: a periodic timer and some slack.
    const AHEAD_MS: f64 = 30.0;

    fn told(&mut self, event: Event, post: &mut Post) {
        let now = post.now;
        match event {
            Event::Scan { id, number, table_type: kind, customer, client_gone_at, work_ms, .. } => {
                self.taken.push_back(now);
                self.seen.push_back((now, customer));
                let Some(terms) = self.types.get(kind) else { return };
                let stretch = terms.target_stretch * work_ms.unwrap_or(0.0);
                let gone_at = client_gone_at - Self::AHEAD_MS;
                let target_at =
                    now + (terms.target_ms + stretch).min(terms.query_timeout_ms) - Self::AHEAD_MS;
                let (need, floor, parts) = (terms.need, terms.floor.min(terms.need), Vec::new());
                let (whole, fresh, hungry, second) = (true, true, true, false);
                #[rustfmt::skip]
                let scan = Scan { id, number, kind, customer, target_at, gone_at, parts, need, floor, whole,
                    fresh, hungry, second };
                let at = self.next() as usize;
                self.scans.insert(at, scan);
                self.owners.insert(id, (at, usize::MAX));
                self.push_due(target_at, Due::Target(at));
                self.push_due(gone_at, Due::Gone(at));
            }
            Event::Part { id, number, shard, weight } => {
                self.taken.push_back(now);
                let Some((at, scan)) = self.scans.iter_mut().rfind(|s| s.1.number == number) else { return };
                self.owners.insert(id, (*at, scan.parts.len()));
                let (state, caught, sent, first_at) = (State::Unsent, false, Vec::new(), now);
                scan.parts.push(Part { id, shard, weight, state, caught, sent, first_at });
                scan.hungry = true;
            }
            Event::Ended { part, dispatch, ending, took_ms, .. } => {
                self.ended((part, dispatch), ending, took_ms, post);
            }
            Event::ClientGone { scan } => {
                if let Some(&(at, usize::MAX)) = self.owners.get(&scan) {
                    self.close(at, post);
                }
            }
            _ => {}
        }
    }

    fn ended(&mut self, leg: Leg, ending: Ending, took: f64, post: &mut Post) {
        let Some(flight) = self.flights.remove(&leg) else { return };
        if !self.flights.values().any(|f| f.call == flight.call) {
            self.seats[flight.srv].calls -= 1;
        }
        let normal = self.norms.normal[flight.kind];
        // Failing must never look fast (errors, a dead zone's resets): it is filed at no less than the
        // time it was allowed. Called off, a part counts with its age, and as normal at least.
        let ms = match ending {
            Ending::Ok => took,
            Ending::Cancelled | Ending::Moot => took.max(normal),
            _ => took.max(flight.allotted),
        };
        if ending == Ending::Ok {
            post.gauge.push_back(Note::Heard(flight.kind, ms));
        }
        if ending != Ending::Moot {
            let ok = matches!(ending, Ending::Ok | Ending::Cancelled);
            post.srvs[flight.srv].push_back(Note::Filed(leg, ms / normal, ok));
        }
        let Some(&(at, nth)) = self.owners.get(&leg.0) else { return };
        let Some(part) = self.scans.get_mut(&at).map(|s| &mut s.parts[nth]) else { return };
        part.sent[usize::from(leg.1)].1 = Some(ending);
        if part.state == State::In {
            return;
        }
        if ending == Ending::Ok {
            (part.state, part.caught) = (State::In, false);
            if self.permits.cancel {
                post.out.extend(part.out().map(|dispatch| Action::Cancel { part: leg.0, dispatch }));
            }
        } else if part.out().next().is_none() {
            (part.state, part.caught) = (State::Broken, false);
        }
        self.advance(at, post);
    }

    /// A part out at a searcher that was marked just now, or out for too long itself, is caught there.
    fn catch(&mut self, id: u64) {
        let Some(&(at, nth)) = self.owners.get(&id) else { return };
        let Some(scan) = self.scans.get_mut(&at) else { return };
        if scan.parts[nth].state == State::Out && scan.parts[nth].sent.len() == 1 {
            (scan.parts[nth].caught, scan.hungry) = (true, true);
        }
    }

    /// What the turn leaves to do: due times first, then every scan that lacks parts on the way.
    fn settle(&mut self, post: &mut Post) {
        let now = post.now;
        while let Some(entry) = self.due.first_entry().filter(|e| f64::from_bits(e.key().0) <= now) {
            match entry.remove() {
                // Late on its own, before its searcher is marked; within our own budget, as under overload
                // everything is late and replacing it all would be the worse load.
                Due::Late(leg) if self.flights.contains_key(&leg) => {
                    if Self::fits(&Self::OWN, &self.lates, &self.taken, now) {
                        self.lates.push_back(now);
                        self.catch(leg.0);
                    }
                }
                Due::Late(_) => {}
                Due::Target(at) => {
                    let Some(scan) = self.scans.get(&at) else { continue };
                    let terms = &self.types[scan.kind];
                    let partial = if scan.have() >= scan.floor { scan.have() / scan.need } else { 0.0 };
                    if terms.late_share <= partial * terms.partial_share {
                        self.end(at, post);
                    }
                }
                Due::Gone(at) => self.end(at, post),
            }
        }
        let hungry = self.scans.iter().filter(|s| s.1.hungry).map(|s| *s.0);
        for at in hungry.collect::<Vec<_>>() {
            self.advance(at, post);
        }
        self.this_turn.clear();
    }

    /// Sends what the scan lacks, and ends it as soon as it is whole or can't become so.
    fn advance(&mut self, at: usize, post: &mut Post) {
        let now = post.now;
        let Some(scan) = self.scans.get(&at) else { return };
        if scan.have() >= scan.need {
            return self.complete(at, true, post);
        }
        if scan.parts.is_empty() {
            return;
        }
        if scan.fresh && !self.admit(scan, now) {
            return self.end(at, post);
        }
        while let Some(scan) = self.scans.get(&at).filter(|s| s.lacks()) {
            let choices = scan.parts.iter().enumerate().filter_map(|(nth, part)| {
                let first = part.state == State::Unsent;
                let again = part.state == State::Broken || part.caught;
                if !first && !(again && self.again(scan, part, now)) {
                    return None;
                }
                let (tier, cost, srv) = self.replica(scan, part, now)?;
                let useless = part.state == State::Out && tier > 0;
                (!useless).then_some(((tier, !first, cost / part.weight.max(HAIR)), nth, srv))
            });
            let Some((_, nth, srv)) = choices.min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Equal)) else {
                break;
            };
            self.dispatch(at, nth, srv, post);
        }
        let Some(scan) = self.scans.get(&at) else { return };
        let ready = |p: &Part| self.holders(p.shard).any(|s| self.seats[s].life == Life::Ready);
        let hope = scan.weight(|p| match p.state {
            State::In | State::Out => true,
            State::Unsent => ready(p),
            State::Broken => self.may_repeat(scan, p, now) && ready(p),
        }) + HAIR;
        let lacks = scan.lacks();
        let waiting = hope >= scan.floor && scan.parts.iter().any(|p| p.state == State::Out);
        if hope < scan.need && !waiting {
            return self.end(at, post);
        }
        if let Some(scan) = self.scans.get_mut(&at) {
            (scan.hungry, scan.fresh) = (lacks, false);
        }
    }

    /// Whether the effect of a part allows a further dispatch (budget and places aside).
    fn may_repeat(&self, scan: &Scan, part: &Part, now: f64) -> bool {
        let left = part.sent.len() < self.permits.dispatches as usize;
        left && match self.types[scan.kind].repeat {
            Repeat::Replayable => true,
            Repeat::Keyed { window_ms } => part.proved_unrun() || now < part.first_at + window_ms,
            Repeat::NonReplayable => part.proved_unrun(),
        }
    }

    /// Where no budget is stated, further dispatches stay within a tenth of the parts, and a few.
    const OWN: Budget = Budget { free: 5.0, share: 0.1, window_ms: 2000.0 };

    fn again(&self, scan: &Scan, part: &Part, now: f64) -> bool {
        let copy_ok = part.out().next().is_none() || self.permits.second_copies && part.sent.len() == 1;
        let fits = |budget| Self::fits(budget, &self.extras, &self.taken, now);
        copy_ok && self.may_repeat(scan, part, now) && fits(self.guards.budget.as_ref().unwrap_or(&Self::OWN))
    }

    /// One more fits into a budget. A millisecond is added to the window of what was sent and taken off
    /// that of what was taken, so that its edges can't matter.
    fn fits(b: &Budget, sent: &VecDeque<f64>, taken: &VecDeque<f64>, now: f64) -> bool {
        let count = |of: &VecDeque<f64>, slack| {
            of.iter().rev().take_while(|t| **t >= now - b.window_ms + slack).count()
        };
        (count(sent, -1.0) + 1) as f64 <= b.free + b.share * count(taken, 1.0) as f64
    }

    fn holders(&self, shard: u32) -> impl Iterator<Item = usize> {
        let (cells, reach) = (self.layout.cells, self.layout.reach);
        let holds = move |cell: u32| (cell + cells - shard % cells) % cells < reach;
        (0..self.seats.len()).filter(move |s| holds(self.seats[*s].cell))
    }

    /// A call that leaves for this searcher in this turn and has room for one more part.
    fn shared(&self, srv: usize) -> bool {
        self.this_turn.get(&srv).is_some_and(|c| c.1 < self.layout.parts_per_call)
    }

    fn work(&self, kind: usize, srv: usize) -> f64 {
        self.norms.work[kind] + if self.shared(srv) { 0.0 } else { self.layout.call_work_ms }
    }

    /// The replica rule: least smoothed latency times one plus own calls out. Marked ones come last: when
    /// all are marked, the least bad serves.
    fn replica(&self, scan: &Scan, part: &Part, now: f64) -> Option<(u8, f64, usize)> {
        let choices = self.holders(part.shard).filter_map(|srv| {
            let seat = &self.seats[srv];
            let tried = part.sent.iter().any(|s| s.0 == srv);
            let able = seat.life == Life::Ready && self.room(seat, self.work(scan.kind, srv), now);
            if !able || tried && part.state == State::Out {
                return None;
            }
            let calls = seat.calls - u32::from(self.shared(srv));
            let tier = u8::from(seat.tile.marked || seat.tile.trial && calls > 0 || tried);
            Some((tier, seat.tile.lat * f64::from(1 + calls), srv))
        });
        choices.min_by(|a, b| a.partial_cmp(b).unwrap_or(Equal))
    }

    /// Of the cold allowance, the share that is used: the rest is for chance among mixers.
    const COLD_USED: f64 = 0.8;

    /// What a mixer may send a cold searcher in a fall window: its part of the multiple of what one core
    /// can do at that age, if it warms up as slowly as it may. Guards against newcomers, restarts and
    /// returns alike; harms when most of the fleet is cold, as the rest must then carry it.
    fn room(&self, seat: &Seat, work: f64, now: f64) -> bool {
        let g = &self.guards;
        let age = now - seat.since;
        if seat.since <= 0.0 || age >= g.warm_ms {
            return true;
        }
        let able = g.cold_from + (1.0 - g.cold_from) * (age / g.warm_ms).max(0.0);
        let cap = Self::COLD_USED * g.tip_multiple * able * g.fall_ms / self.mixers;
        let spent: f64 = seat.spent.iter().filter(|s| s.0 >= now - g.fall_ms).map(|s| s.1).sum();
        spent + work <= cap
    }

    fn dispatch(&mut self, at: usize, nth: usize, srv: usize, post: &mut Post) {
        let now = post.now;
        let Some(kind) = self.scans.get(&at).map(|s| s.kind) else { return };
        let work = self.work(kind, srv);
        if !self.shared(srv) {
            self.seats[srv].calls += 1;
            let call = self.next();
            self.this_turn.insert(srv, (call, 0));
        }
        let Some(scan) = self.scans.get_mut(&at) else { return };
        let Some((call, parts)) = self.this_turn.get_mut(&srv) else { return };
        *parts += 1;
        let part = &mut scan.parts[nth];
        let leg = (part.id, part.sent.len() as u8);
        if part.sent.is_empty() {
            part.first_at = now;
        } else {
            self.extras.push_back(now);
        }
        part.sent.push((srv, None));
        (part.state, part.caught) = (State::Out, false);
        let late_counts = self.types[kind].late_share > 0.0;
        let end = if late_counts { scan.gone_at } else { scan.gone_at.min(scan.target_at) };
        let allotted = (end - now).max(1.0) + Self::AHEAD_MS / 2.0;
        let late = (self.norms.limit() * self.norms.normal[kind]).min((scan.target_at - now) * 0.5);
        self.flights.insert(leg, Flight { srv, kind, call: *call, allotted });
        let seat = &mut self.seats[srv];
        seat.spent.push_back((now, work));
        while seat.spent.front().is_some_and(|s| s.0 < now - self.guards.fall_ms) {
            seat.spent.pop_front();
        }
        post.out.push(Action::Dispatch { part: leg.0, searcher: seat.addr, patience_ms: allotted });
        post.srvs[srv].push_back(Note::Sent(leg, kind));
        if late > 0.0 {
            self.push_due(now + late, Due::Late(leg));
        }
    }

    /// How long a part takes now, at the middle of the searchers.
    fn typical(&self, kind: usize) -> f64 {
        let usable = self.seats.iter().filter(|s| s.life == Life::Ready && !s.tile.marked);
        let mut lats: Vec<f64> = usable.map(|s| s.tile.lat).collect();
        lats.sort_by(f64::total_cmp);
        lats.get(lats.len() / 2).copied().unwrap_or(1.0) * self.norms.normal[kind]
    }

    /// Share of a target time that a typical part may take: its scan waits for the slowest of several.
    const PRESSED: f64 = 0.35;
    /// What a cut leaves of the limit.
    const CUT: f64 = 0.8;
    /// Span in which customers' shares of the scans are compared.
    const SEEN_MS: f64 = 5000.0;

    /// The limit on parts in flight grows by one with every completion and is cut by a share, once a
    /// latency, while the middle searcher is too slow for a target time.
    fn press(&mut self, now: f64) {
        let keep = now - self.guards.budget.map_or(0.0, |b| b.window_ms).max(Self::OWN.window_ms) - 10.0;
        for times in [&mut self.taken, &mut self.extras, &mut self.lates] {
            while times.front().is_some_and(|t| *t < keep) {
                times.pop_front();
            }
        }
        while self.seen.front().is_some_and(|s| s.0 < now - Self::SEEN_MS) {
            self.seen.pop_front();
        }
        for kind in 0..self.types.len() {
            let typical = self.typical(kind);
            if typical > Self::PRESSED * self.types[kind].target_ms && now - self.cut_at > typical {
                let ready = self.seats.iter().filter(|s| s.life == Life::Ready).count() as f64;
                self.limit = (self.limit.min(self.flights.len() as f64) * Self::CUT).max(ready);
                self.cut_at = now;
            }
        }
    }

    /// Share of a target time that a part's best replica may take lately.
    const SLOW: f64 = 0.6;

    /// What cannot come in time is refused at the door, by the replicas that it needs.
    /// Traffic over a customer's share goes first: its part of the scans seen here against its part of all
    /// shares, as one mixer can't tell how much its peers see.
    fn admit(&self, scan: &Scan, now: f64) -> bool {
        let most = Self::SLOW * self.types[scan.kind].target_ms / self.norms.normal[scan.kind];
        let in_time = scan.weight(|p| {
            self.replica(scan, p, now)
                .is_some_and(|(tier, _, srv)| tier > 0 || self.seats[srv].tile.lat <= most)
        });
        if in_time + HAIR < scan.need {
            return false;
        }
        let shares: f64 = self.customers.iter().map(|c| c.scans_per_s).sum();
        let over = self.customers.get(scan.customer).is_some_and(|c| {
            let own = self.seen.iter().filter(|s| s.1 == scan.customer).count() as f64;
            own * shares > c.scans_per_s * self.seen.len() as f64 * 1.1
        });
        let limit = if over { 0.8 * self.limit } else { self.limit };
        self.flights.is_empty() || self.flights.len() as f64 + scan.parts.len() as f64 * scan.need <= limit
    }

    fn complete(&mut self, at: usize, whole: bool, post: &mut Post) {
        let Some(scan) = self.scans.get_mut(&at) else { return };
        let whole = whole && scan.whole;
        post.out.push(Action::Complete { scan: scan.id, whole });
        self.limit += 1.0;
        if scan.second || !self.types[scan.kind].second_step {
            return self.close(at, post);
        }
        // The second step brings parts of its own and needs them all.
        (scan.second, scan.whole, scan.hungry) = (true, whole, false);
        scan.floor = if scan.floor < scan.need { scan.floor } else { 1.0 };
        scan.need = 1.0;
        let old = std::mem::take(&mut scan.parts);
        self.drop_parts(old, post);
    }

    fn drop_parts(&mut self, parts: Vec<Part>, post: &mut Post) {
        for part in parts {
            self.owners.remove(&part.id);
            if self.permits.cancel {
                post.out.extend(part.out().map(|dispatch| Action::Cancel { part: part.id, dispatch }));
            }
        }
    }

    /// The final answer of a scan that will not be whole: what is in if that is enough, else a throttling
    /// reply where trying again is harmless, else an abandonment.
    fn end(&mut self, at: usize, post: &mut Post) {
        let Some(scan) = self.scans.get(&at) else { return };
        let (id, have) = (scan.id, scan.have());
        if have >= scan.floor {
            return self.complete(at, have >= scan.need, post);
        }
        let unrun = scan.parts.iter().all(Part::proved_unrun);
        if !scan.second && (unrun || self.types[scan.kind].repeat != Repeat::NonReplayable) {
            let back_in_ms = self.permits.back_in_ms.map(|most| (2.0 * self.typical(scan.kind)).min(most));
            post.out.push(Action::Throttle { scan: id, back_in_ms });
        } else {
            post.out.push(Action::Abandon { scan: id });
        }
        self.close(at, post);
    }

    fn close(&mut self, at: usize, post: &mut Post) {
        let Some(scan) = self.scans.remove(&at) else { return };
        self.owners.remove(&scan.id);
        self.drop_parts(scan.parts, post);
    }
}

/// One mixer: the door, the actors and their loop.
pub struct Mixer {
    seed: Rand64,
    probing: bool,
    subscribe: bool,
    asked_at: f64,
    next_tick: f64,
    ids: HashMap<SocketAddrV4, usize>,
    srvs: Vec<Searcher>,
    gauge: Gauge,
    desk: Desk,
    post: Post,
}

impl Mixer {
    /// The periodic timer: fine against the shortest times that matter here, tens of milliseconds.
    const TICK_MS: f64 = 20.0;
    /// Until parts have come, a table type's normal latency is taken for this share of its target time.
    const START: f64 = 0.25;

    pub fn open(
        seed: u64,
        types: Vec<TableType>,
        customers: Vec<Customer>,
        layout: Layout,
        guards: Guards,
        permits: Permits,
        berth: Berth,
    ) -> Self {
        let start: Vec<f64> = types.iter().map(|t| t.target_ms * Self::START).collect();
        let normal = start.iter().map(|n| (*n, 1.0)).collect();
        let gauge = Gauge { normal, work: start.clone(), means: Vec::new() };
        let (probing, subscribe, mixers) = (permits.probe, permits.subscribe, f64::from(berth.mixers.max(1)));
        let norms = Rc::new(Norms { normal: start.clone(), work: start, median: 1.0 });
        #[rustfmt::skip]
        let desk = Desk { types, customers, layout, guards, permits, mixers, norms, seats: Vec::new(),
            scans: BTreeMap::new(), owners: HashMap::new(), flights: BTreeMap::new(), due: BTreeMap::new(),
            this_turn: BTreeMap::new(), next: 0, taken: VecDeque::new(), extras: VecDeque::new(),
            lates: VecDeque::new(), seen: VecDeque::new(), limit: f64::INFINITY, cut_at: 0.0 };
        let (ids, srvs, post) = (HashMap::new(), Vec::new(), Post::default());
        let (asked_at, next_tick) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
        let seed = Rand64::new(u128::from(seed));
        Self { seed, probing, subscribe, asked_at, next_tick, ids, srvs, gauge, desk, post }
    }

    /// The list: a searcher is known by its address; a new start voids its past.
    fn list(&mut self, kind: ListKind, lines: Vec<Listed>) {
        if kind == ListKind::Failed {
            self.subscribe = self.desk.permits.subscribe;
            return;
        }
        if kind != ListKind::Changes {
            for seat in &mut self.desk.seats {
                if !lines.iter().any(|l| l.searcher == seat.addr) {
                    seat.life = Life::Gone;
                }
            }
        }
        for line in lines {
            let Listed { searcher: addr, cell, since, life, .. } = line;
            if let Some(&srv) = self.ids.get(&addr) {
                let seat = &mut self.desk.seats[srv];
                if seat.since != since && life == Life::Ready {
                    seat.since = since;
                    self.post.srvs[srv].push_back(Note::Renewed);
                }
                (seat.cell, seat.life) = (cell, life);
                continue;
            }
            let me = self.srvs.len();
            self.ids.insert(addr, me);
            self.post.srvs.push(VecDeque::new());
            // Mixers must not all judge, and so all shift their load, at the same moment.
            let offset = self.seed.rand_float() * Searcher::SLICE_MS;
            let norms = self.desk.norms.clone();
            self.srvs.push(Searcher {
                me,
                addr,
                norms,
                offset,
                slices: Vec::new(),
                tile: NEW,
                strikes: 0,
                probe_at: 0.0,
            });
            let (tile, calls, spent) = (NEW, 0, VecDeque::new());
            self.desk.seats.push(Seat { addr, cell, since, life, tile, calls, spent });
        }
    }

    /// Empties all inboxes.
    fn run(&mut self) {
        loop {
            let mut quiet = true;
            for i in 0..self.srvs.len() {
                while let Some(note) = self.post.srvs[i].pop_front() {
                    quiet = false;
                    let probing = self.probing && self.desk.seats[i].life == Life::Ready;
                    self.srvs[i].note(note, &mut self.post, probing);
                }
            }
            while let Some(note) = self.post.gauge.pop_front() {
                quiet = false;
                self.gauge.note(note, &mut self.post);
            }
            while let Some(note) = self.post.desk.pop_front() {
                quiet = false;
                self.desk.note(note, &mut self.post);
            }
            if quiet {
                return;
            }
        }
    }
}

impl Decide for Mixer {
    fn turn(&mut self, now: f64, events: Vec<Event>) -> Vec<Action> {
        self.post.now = now;
        for event in events {
            match event {
                Event::List { kind, lines } => self.list(kind, lines),
                Event::Probed { searcher, ending, took_ms } => {
                    if let Some(&srv) = self.ids.get(&searcher) {
                        let ok = ending == Ending::Ok;
                        self.post.srvs[srv].push_back(Note::Pong(ok, took_ms));
                    }
                }
                Event::Wake => {}
                told => self.post.desk.push_back(Note::Told(told)),
            }
        }
        if now >= self.next_tick {
            self.next_tick = now + Self::TICK_MS;
            self.post.out.push(Action::WakeAt { at: self.next_tick });
            for inbox in self.post.srvs.iter_mut().chain([&mut self.post.gauge, &mut self.post.desk]) {
                inbox.push_back(Note::Tick);
            }
            if self.subscribe && now - self.asked_at >= 1000.0 {
                (self.subscribe, self.asked_at) = (false, now);
                self.post.out.push(Action::Subscribe);
            }
        }
        self.run();
        self.post.desk.push_back(Note::Settle);
        self.run();
        std::mem::take(&mut self.post.out)
    }
}
