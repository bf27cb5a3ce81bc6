//! The decisions of one mixer: ShortTail's sliced detection and degraded reads, kept and extended as
//! `docs/design.md` tells. A host opens a [`Mixer`] with the deployment's terms and calls `turn` with all
//! that happened at one time; types and trait stand in `src/interface.rs`. Inside, every searcher is an
//! actor, the [`Gauge`] knows what is normal and the [`Desk`] has the scans; they talk only by notes that
//! one loop takes from their inboxes.

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
    median: f64,
}

impl Norms {
    fn limit(&self) -> f64 {
        MULTIPLE * self.median
    }
}

type Leg = (u64, u8); // a part and the number of its dispatch

#[derive(Debug)]
enum Note {
    // To a searcher.
    Renewed,
    Sent { leg: Leg, kind: usize },
    Filed { leg: Leg, share: f64, ok: bool },
    Pong { ok: bool, took: f64 },
    Norms(Rc<Norms>),
    // To all.
    Tick,
    // To the gauge.
    Heard { kind: usize, ms: f64 },
    Slice { srv: usize, mean: f64 },
    // To the desk.
    Tile { srv: usize, lat: f64, marked: bool, trial: bool },
    Told(Event),
    Settle,
}

/// All inboxes, and the actions that are to leave at the end of the turn.
struct Post {
    desk: VecDeque<Note>,
    gauge: VecDeque<Note>,
    srvs: Vec<VecDeque<Note>>,
    out: Vec<Action>,
}

struct Slice {
    from: f64,
    sent: u32,
    ended: u32,
    sum: f64,
}

/// One searcher, watched by slices.
struct Searcher {
    me: usize,
    addr: SocketAddrV4,
    norms: Rc<Norms>,
    offset: f64,
    slices: BTreeMap<u64, Slice>,
    next: u64,
    legs: Vec<(Leg, u64, usize, f64)>,
    lat: f64,
    marked: bool,
    trial: bool,
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

    fn note(&mut self, note: Note, now: f64, post: &mut Post, probing: bool) {
        match note {
            Note::Renewed => {
                // A new process has nothing of the old one's past.
                (self.lat, self.marked, self.trial, self.strikes) = (1.0, false, false, 0);
                self.slices.clear();
                self.legs.clear();
            }
            Note::Sent { leg, kind } => {
                let gone = |s: &Slice| now - s.from >= Self::SLICE_MS + self.offset && s.sent >= Self::FEW;
                if self.slices.last_key_value().is_none_or(|(no, s)| *no + 1 != self.next || gone(s)) {
                    self.slices.insert(self.next, Slice { from: now, sent: 0, ended: 0, sum: 0.0 });
                    self.next += 1;
                    self.offset = 0.0;
                }
                let no = self.next - 1;
                if let Some(slice) = self.slices.get_mut(&no) {
                    slice.sent += 1;
                }
                self.legs.push((leg, no, kind, now));
            }
            Note::Filed { leg, share, ok } => self.file(leg, share, ok, now, post),
            Note::Pong { ok, took } if self.marked => {
                let quick = self.norms.normal.iter().copied().fold(f64::INFINITY, f64::min);
                if ok && took < self.norms.limit() * quick {
                    // A probe does almost no work, so a pass only admits to a trial: one part at a time
                    // until one comes back in time. Guards against searchers that answer probes and
                    // nothing else; harms a sound one by a few parts.
                    (self.marked, self.trial, self.lat) = (false, true, 1.0);
                    self.slices.clear();
                    self.legs.clear();
                    post.out.push(Action::Log { line: format!("{} readmitted on trial", self.addr) });
                }
            }
            Note::Norms(norms) => self.norms = norms,
            Note::Tick => {
                self.lat += (1.0 - self.lat) * Mixer::TICK_MS / Self::FADE_MS;
                self.watch(now, post);
                if self.marked && now >= self.probe_at && probing {
                    self.probe_at = now + self.rest();
                    post.out.push(Action::Probe { searcher: self.addr });
                }
            }
            _ => {}
        }
        let (srv, lat, marked, trial) = (self.me, self.lat, self.marked, self.trial);
        post.desk.push_back(Note::Tile { srv, lat, marked, trial });
    }

    fn rest(&self) -> f64 {
        Self::PROBE_MS * f64::from(1u32 << self.strikes.min(4))
    }

    fn file(&mut self, leg: Leg, share: f64, ok: bool, now: f64, post: &mut Post) {
        self.lat += Self::SMOOTH * (share - self.lat);
        let Some(at) = self.legs.iter().position(|l| l.0 == leg) else { return };
        let (_, no, ..) = self.legs.swap_remove(at);
        if self.trial && !self.marked {
            self.trial = false;
            if share > self.norms.limit() || !ok {
                return self.mark(share, now, post);
            }
        }
        let Some(slice) = self.slices.get_mut(&no) else { return };
        slice.ended += 1;
        slice.sum += share;
        let over = no + 1 != self.next || now - slice.from >= Self::SLICE_MS;
        if over && slice.ended == slice.sent && slice.sent >= Self::FEW {
            let mean = slice.sum / f64::from(slice.sent);
            self.slices.remove(&no);
            post.gauge.push_back(Note::Slice { srv: self.me, mean });
            if mean > self.norms.limit() {
                self.mark(mean, now, post);
            } else if !self.marked {
                self.strikes = 0;
            }
        }
    }

    /// Judges slices before their parts have ended: what is still out counts with its age, what is missing
    /// to a full slice as normal. Guards against a hang, which a slice would show only with its last
    /// time-out; harms a searcher whose few parts are all heavy, until its next probe.
    fn watch(&mut self, now: f64, post: &mut Post) {
        if self.marked {
            return;
        }
        let mut worst: f64 = 0.0;
        for (no, slice) in &self.slices {
            let out = self.legs.iter().filter(|l| l.1 == *no);
            let aged: f64 = out.map(|l| (now - l.3) / self.norms.normal[l.2]).sum();
            let few = if self.trial { 1 } else { Self::FEW };
            let missing = f64::from(few.saturating_sub(slice.sent)) * self.norms.median;
            worst = worst.max((slice.sum + aged + missing) / f64::from(slice.sent.max(few)));
        }
        if worst > self.norms.limit() {
            post.gauge.push_back(Note::Slice { srv: self.me, mean: worst });
            self.mark(worst, now, post);
        }
    }

    fn mark(&mut self, mean: f64, now: f64, post: &mut Post) {
        if self.marked {
            return;
        }
        (self.marked, self.trial) = (true, false);
        self.probe_at = now + self.rest();
        self.strikes += 1;
        self.slices.clear();
        self.legs.clear();
        post.out.push(Action::Log { line: format!("{} marked at {mean:.1} normals", self.addr) });
    }
}

/// What is normal: for each table type, and over all searchers' slices.
struct Gauge {
    normal: Vec<(f64, f64)>,
    means: Vec<Option<f64>>,
}

impl Gauge {
    /// Weight of the newest part in a table type's normal latency: a few hundred parts, some seconds.
    const SMOOTH: f64 = 0.01;
    /// A median of fewer searchers says little; until then one normal stands for it.
    const FEW: usize = 3;

    fn note(&mut self, note: Note, post: &mut Post) {
        match note {
            Note::Heard { kind, ms } => {
                let (normal, heard) = &mut self.normal[kind];
                *heard += 1.0;
                // Clipped, so that one slow searcher does not become the norm.
                let clipped = if *heard > 10.0 { ms.min(MULTIPLE * *normal) } else { ms };
                *normal += (1.0 / *heard).max(Self::SMOOTH) * (clipped - *normal);
            }
            Note::Slice { srv, mean } => {
                if self.means.len() <= srv {
                    self.means.resize(srv + 1, None);
                }
                self.means[srv] = Some(mean);
            }
            Note::Tick => {
                let mut means: Vec<f64> = self.means.iter().flatten().copied().collect();
                means.sort_by(f64::total_cmp);
                let median = if means.len() < Self::FEW { 1.0 } else { means[means.len() / 2] };
                let norms =
                    Rc::new(Norms { normal: self.normal.iter().map(|n| n.0.max(1.0)).collect(), median });
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
    lat: f64,
    marked: bool,
    trial: bool,
    calls: u32,
    spent: VecDeque<(f64, f64)>,
}

#[derive(Clone, Copy, PartialEq, Debug)]
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
    fn out(&self) -> usize {
        self.sent.iter().filter(|s| s.1.is_none()).count()
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
    step: u8,
    whole: bool,
    fresh: bool,
    hungry: bool,
}

impl Scan {
    fn weight(&self, of: impl Fn(&Part) -> bool) -> f64 {
        self.parts.iter().filter(|p| of(p)).map(|p| p.weight).sum()
    }
}

enum Due {
    Late(u64, u8),
    Target(usize, u64),
    Gone(usize, u64),
}

struct Flight {
    srv: usize,
    kind: usize,
    call: u64,
    at: f64,
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
    scans: Vec<Option<Scan>>,
    free: Vec<usize>,
    numbers: HashMap<u32, usize>,
    owners: HashMap<u64, (usize, usize)>,
    flights: BTreeMap<Leg, Flight>,
    calls: BTreeMap<u64, u32>,
    this_turn: BTreeMap<usize, (u64, u32)>,
    next_call: u64,
    due: BTreeMap<(u64, u64), Due>,
    next_due: u64,
    taken: VecDeque<f64>,
    extras: VecDeque<f64>,
    limit: f64,
    cut_at: f64,
    by_customer: Vec<VecDeque<f64>>,
}

/// Sums of weights may fall this short of what is needed (the weights come rounded).
const HAIR: f64 = 1e-5;

impl Desk {
    /// Final answers leave so long before the time is up: a periodic timer and some slack.
    const AHEAD_MS: f64 = 30.0;
    /// Where no budget is stated, further dispatches stay within a tenth of the parts, and a few.
    const OWN: Budget = Budget { free: 5.0, share: 0.1, window_ms: 2000.0 };
    /// Of the cold allowance, the share that is used: the rest is for chance among mixers.
    const COLD_USED: f64 = 0.8;

    fn note(&mut self, note: Note, now: f64, post: &mut Post) {
        match note {
            Note::Tile { srv, lat, marked, trial } => {
                let seat = &mut self.seats[srv];
                let caught = marked && !seat.marked;
                (seat.lat, seat.marked, seat.trial) = (lat, marked, trial);
                if caught {
                    self.catch(srv);
                }
            }
            Note::Norms(norms) => self.norms = norms,
            Note::Told(event) => self.told(event, now, post),
            Note::Tick => self.press(now),
            Note::Settle => self.settle(now, post),
            _ => {}
        }
    }

    fn push_due(&mut self, at: f64, due: Due) {
        self.next_due += 1;
        self.due.insert((at.max(0.0).to_bits(), self.next_due), due);
    }

    fn told(&mut self, event: Event, now: f64, post: &mut Post) {
        match event {
            Event::Scan { id, number, table_type: kind, customer, client_gone_at, work_ms, .. } => {
                let Some(terms) = self.types.get(kind) else { return };
                let stretch = terms.target_stretch * work_ms.unwrap_or(0.0);
                let gone_at = client_gone_at - Self::AHEAD_MS;
                let target_at =
                    now + (terms.target_ms + stretch).min(terms.query_timeout_ms) - Self::AHEAD_MS;
                let scan = Scan {
                    id,
                    number,
                    kind,
                    customer,
                    target_at,
                    gone_at,
                    parts: Vec::new(),
                    need: terms.need,
                    floor: terms.floor.min(terms.need),
                    step: 1,
                    whole: true,
                    fresh: true,
                    hungry: true,
                };
                let at = self.free.pop().unwrap_or_else(|| {
                    self.scans.push(None);
                    self.scans.len() - 1
                });
                self.scans[at] = Some(scan);
                self.numbers.insert(number, at);
                self.owners.insert(id, (at, usize::MAX));
                self.push_due(target_at, Due::Target(at, id));
                self.push_due(gone_at, Due::Gone(at, id));
                self.taken.push_back(now);
                if let Some(seen) = self.by_customer.get_mut(customer) {
                    seen.push_back(now);
                }
            }
            Event::Part { id, number, shard, weight } => {
                self.taken.push_back(now);
                let Some(&at) = self.numbers.get(&number) else { return };
                let Some(scan) = &mut self.scans[at] else { return };
                let sent = Vec::new();
                scan.parts.push(Part {
                    id,
                    shard,
                    weight,
                    state: State::Unsent,
                    caught: false,
                    sent,
                    first_at: 0.0,
                });
                scan.hungry = true;
                self.owners.insert(id, (at, scan.parts.len() - 1));
            }
            Event::Ended { part, dispatch, ending, took_ms, .. } => {
                self.ended((part, dispatch), ending, took_ms, now, post)
            }
            Event::ClientGone { scan } => {
                if let Some(&(at, usize::MAX)) = self.owners.get(&scan) {
                    self.close(at, post);
                }
            }
            _ => {}
        }
    }

    fn ended(&mut self, leg: Leg, ending: Ending, took: f64, now: f64, post: &mut Post) {
        let Some(flight) = self.flights.remove(&leg) else { return };
        if let Some(left) = self.calls.get_mut(&flight.call) {
            *left -= 1;
            if *left == 0 {
                self.calls.remove(&flight.call);
                self.seats[flight.srv].calls -= 1;
            }
        }
        let normal = self.norms.normal[flight.kind];
        let ok = ending == Ending::Ok;
        // Failing must never look fast (errors, a dead zone's resets): it is filed at no less than the
        // time it was allowed. Called off, a part counts with its age, and as normal at least.
        let ms = match ending {
            Ending::Ok => took,
            Ending::Cancelled | Ending::Moot => took.max(normal),
            _ => took.max(flight.allotted),
        };
        if ok {
            post.gauge.push_back(Note::Heard { kind: flight.kind, ms });
        }
        if ending != Ending::Moot {
            let ok = ok || ending == Ending::Cancelled;
            post.srvs[flight.srv].push_back(Note::Filed { leg, share: ms / normal, ok });
        }
        let Some(&(at, nth)) = self.owners.get(&leg.0) else { return };
        let Some(scan) = &mut self.scans[at] else { return };
        let part = &mut scan.parts[nth];
        part.sent[usize::from(leg.1)].1 = Some(ending);
        if part.state == State::In {
            return;
        }
        if ok {
            (part.state, part.caught) = (State::In, false);
            for (i, (_, end)) in part.sent.iter().enumerate() {
                if end.is_none() && self.permits.cancel {
                    post.out.push(Action::Cancel { part: leg.0, dispatch: i as u8 });
                }
            }
        } else if part.out() == 0 {
            part.state = State::Broken;
        }
        self.advance(at, now, post);
    }

    /// Parts out at a searcher that was marked just now are caught there.
    fn catch(&mut self, srv: usize) {
        let legs = self.flights.iter().filter(|(_, f)| f.srv == srv).map(|(leg, _)| leg.0);
        for id in legs.collect::<Vec<_>>() {
            self.catch_part(id);
        }
    }

    fn catch_part(&mut self, id: u64) {
        let Some(&(at, nth)) = self.owners.get(&id) else { return };
        let Some(scan) = &mut self.scans[at] else { return };
        if scan.parts[nth].state == State::Out && scan.parts[nth].sent.len() == 1 {
            scan.parts[nth].caught = true;
            scan.hungry = true;
        }
    }

    /// What the turn leaves to do: due times first, then every scan that lacks parts on the way.
    fn settle(&mut self, now: f64, post: &mut Post) {
        while let Some(entry) = self.due.first_entry() {
            if f64::from_bits(entry.key().0) > now {
                break;
            }
            match entry.remove() {
                Due::Late(id, dispatch) => {
                    if self.flights.contains_key(&(id, dispatch)) {
                        self.catch_part(id);
                    }
                }
                Due::Target(at, id) => {
                    let Some(scan) = self.scans[at].as_ref().filter(|s| s.id == id) else { continue };
                    let terms = &self.types[scan.kind];
                    let have = scan.weight(|p| p.state == State::In);
                    let partial =
                        if have + HAIR >= scan.floor { terms.partial_share * have / scan.need } else { 0.0 };
                    if terms.late_share <= partial {
                        self.end(at, now, post);
                    }
                }
                Due::Gone(at, id) => {
                    if self.scans[at].as_ref().is_some_and(|s| s.id == id) {
                        self.end(at, now, post);
                    }
                }
            }
        }
        for at in 0..self.scans.len() {
            if self.scans[at].as_ref().is_some_and(|s| s.hungry) {
                self.advance(at, now, post);
            }
        }
        self.this_turn.clear();
    }

    /// Sends what the scan lacks, and ends it as soon as it is whole or can't become so.
    fn advance(&mut self, at: usize, now: f64, post: &mut Post) {
        let Some(scan) = &self.scans[at] else { return };
        let have = scan.weight(|p| p.state == State::In);
        if have + HAIR >= scan.need {
            return self.complete(at, true, post);
        }
        if scan.parts.is_empty() {
            return;
        }
        if scan.fresh && !self.admit(at, now) {
            return self.end(at, now, post);
        }
        loop {
            let Some(scan) = &self.scans[at] else { return };
            let on_way = scan.weight(|p| p.state == State::In || p.state == State::Out && !p.caught);
            if on_way + HAIR >= scan.need {
                break;
            }
            let mut best: Option<(u8, bool, f64, usize, usize)> = None;
            for (nth, part) in scan.parts.iter().enumerate() {
                let first = part.state == State::Unsent;
                if !first && !((part.state == State::Broken || part.caught) && self.again(scan, part, now)) {
                    continue;
                }
                let Some((tier, cost, srv)) = self.replica(scan, part, now) else { continue };
                if part.state == State::Out && tier > 0 {
                    continue;
                }
                let this = (tier, !first, cost / part.weight.max(HAIR), nth, srv);
                if best.is_none_or(|b| (this.0, this.1, this.2) < (b.0, b.1, b.2)) {
                    best = Some(this);
                }
            }
            let Some((_, _, _, nth, srv)) = best else { break };
            self.dispatch(at, nth, srv, now, post);
        }
        let Some(scan) = &self.scans[at] else { return };
        let on_way = scan.weight(|p| p.state == State::In || p.state == State::Out && !p.caught);
        let hungry = on_way + HAIR < scan.need;
        let hopeful = |p: &Part| match p.state {
            State::In | State::Out => true,
            State::Unsent => self.holders(p.shard).any(|s| self.seats[s].life == Life::Ready),
            State::Broken => {
                self.may_repeat(scan, p, now)
                    && self.holders(p.shard).any(|s| self.seats[s].life == Life::Ready)
            }
        };
        let hope = scan.weight(hopeful);
        let floored = scan.floor + HAIR < scan.need && hope + HAIR >= scan.floor;
        let waiting = scan.parts.iter().any(|p| p.state == State::Out);
        if hope + HAIR < scan.need && !(floored && waiting) {
            return self.end(at, now, post);
        }
        if let Some(scan) = &mut self.scans[at] {
            scan.hungry = hungry;
            scan.fresh = false;
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

    fn again(&self, scan: &Scan, part: &Part, now: f64) -> bool {
        let copy = part.out() > 0;
        self.may_repeat(scan, part, now)
            && !(copy && (!self.permits.second_copies || part.sent.len() > 1))
            && self.budget(now)
    }

    /// One more further dispatch fits into the budget, stated or our own. A millisecond is added to what
    /// was sent and taken off what was taken, so that the edges of the window can't matter.
    fn budget(&self, now: f64) -> bool {
        let fits = |b: &Budget| {
            let sent = self.extras.iter().rev().take_while(|t| **t >= now - b.window_ms - 1.0).count();
            let taken = self.taken.iter().rev().take_while(|t| **t >= now - b.window_ms + 1.0).count();
            (sent + 1) as f64 <= b.free + b.share * taken as f64
        };
        fits(&Self::OWN) && self.guards.budget.as_ref().is_none_or(fits)
    }

    fn holders(&self, shard: u32) -> impl Iterator<Item = usize> {
        let cells = self.layout.cells;
        let holds = move |cell: u32| (cell + cells - shard % cells) % cells < self.layout.reach;
        (0..self.seats.len()).filter(move |s| holds(self.seats[*s].cell))
    }

    /// The replica rule: least smoothed latency times one plus own calls out. Marked ones come last: when
    /// all are marked, the least bad serves.
    fn replica(&self, scan: &Scan, part: &Part, now: f64) -> Option<(u8, f64, usize)> {
        let mut best: Option<(u8, f64, usize)> = None;
        for srv in self.holders(part.shard) {
            let seat = &self.seats[srv];
            let tried = part.sent.iter().any(|s| s.0 == srv);
            let shared = self.this_turn.get(&srv).is_some_and(|c| c.1 < self.layout.parts_per_call);
            let work = self.work(scan.kind, shared);
            if seat.life != Life::Ready || !self.room(seat, work, now) || tried && part.state == State::Out {
                continue;
            }
            let calls = seat.calls - u32::from(shared);
            let tier = u8::from(seat.marked || seat.trial && calls > 0 || tried);
            let cost = seat.lat * f64::from(1 + calls);
            if best.is_none_or(|b| (tier, cost) < (b.0, b.1)) {
                best = Some((tier, cost, srv));
            }
        }
        best
    }

    fn work(&self, kind: usize, shared: bool) -> f64 {
        self.norms.normal[kind] + if shared { 0.0 } else { self.layout.call_work_ms }
    }

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

    fn dispatch(&mut self, at: usize, nth: usize, srv: usize, now: f64, post: &mut Post) {
        let shared = self.this_turn.get(&srv).is_some_and(|c| c.1 < self.layout.parts_per_call);
        let Some(scan) = &mut self.scans[at] else { return };
        let kind = scan.kind;
        let work = self.norms.normal[kind] + if shared { 0.0 } else { self.layout.call_work_ms };
        let part = &mut scan.parts[nth];
        let leg = (part.id, part.sent.len() as u8);
        if part.sent.is_empty() {
            part.first_at = now;
        } else {
            self.extras.push_back(now);
        }
        part.sent.push((srv, None));
        (part.state, part.caught) = (State::Out, false);
        let end =
            if self.types[kind].late_share > 0.0 { scan.gone_at } else { scan.gone_at.min(scan.target_at) };
        let allotted = (end - now).max(1.0) + Self::AHEAD_MS / 2.0;
        let late = (self.norms.limit() * self.norms.normal[kind]).min((scan.target_at - now) * 0.5);
        let addr = self.seats[srv].addr;
        let seat = &mut self.seats[srv];
        seat.spent.push_back((now, work));
        while seat.spent.front().is_some_and(|s| s.0 < now - self.guards.fall_ms) {
            seat.spent.pop_front();
        }
        if !shared {
            self.next_call += 1;
            seat.calls += 1;
            self.this_turn.insert(srv, (self.next_call, 0));
        }
        if let Some((call, parts)) = self.this_turn.get_mut(&srv) {
            *parts += 1;
            *self.calls.entry(*call).or_insert(0) += 1;
            self.flights.insert(leg, Flight { srv, kind, call: *call, at: now, allotted });
        }
        post.out.push(Action::Dispatch { part: leg.0, searcher: addr, patience_ms: allotted });
        post.srvs[srv].push_back(Note::Sent { leg, kind });
        if late > 0.0 {
            self.push_due(now + late, Due::Late(leg.0, leg.1));
        }
    }

    /// How long a part takes now, at the middle of the searchers.
    fn typical(&self, kind: usize) -> f64 {
        let mut lats: Vec<f64> =
            self.seats.iter().filter(|s| s.life == Life::Ready && !s.marked).map(|s| s.lat).collect();
        lats.sort_by(f64::total_cmp);
        lats.get(lats.len() / 2).copied().unwrap_or(1.0) * self.norms.normal[kind]
    }

    const PRESSED: f64 = 0.5;
    const CUT: f64 = 0.8;

    /// The limit on parts in flight: cut by a share while the middle searcher takes half a target time.
    fn press(&mut self, now: f64) {
        for seen in &mut self.by_customer {
            while seen.front().is_some_and(|t| *t < now - 2000.0) {
                seen.pop_front();
            }
        }
        let keep = self.guards.budget.map_or(0.0, |b| b.window_ms).max(Self::OWN.window_ms) + 10.0;
        for times in [&mut self.taken, &mut self.extras] {
            while times.front().is_some_and(|t| *t < now - keep) {
                times.pop_front();
            }
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

    fn admit(&self, at: usize, now: f64) -> bool {
        let Some(scan) = &self.scans[at] else { return false };
        let _ = now;
        let parts = scan.parts.len() as f64 * scan.need;
        let over = self.customers.get(scan.customer).is_some_and(|c| {
            self.by_customer[scan.customer].len() as f64 * self.mixers > c.scans_per_s * 2.0
        });
        let rank = if over { 0.5 } else { 1.0 };
        self.flights.is_empty() || self.flights.len() as f64 + parts <= self.limit * rank
    }

    fn complete(&mut self, at: usize, whole: bool, post: &mut Post) {
        let Some(scan) = &mut self.scans[at] else { return };
        let whole = whole && scan.whole;
        post.out.push(Action::Complete { scan: scan.id, whole });
        self.limit += 1.0;
        if scan.step == 1 && self.types[scan.kind].second_step {
            // The second step brings parts of its own and needs them all.
            let floored = scan.floor + HAIR < scan.need;
            (scan.step, scan.whole, scan.hungry) = (2, whole, false);
            (scan.need, scan.floor) = (1.0, if floored { scan.floor } else { 1.0 });
            let old = std::mem::take(&mut scan.parts);
            self.drop_parts(old, post);
        } else {
            self.close(at, post);
        }
    }

    fn drop_parts(&mut self, parts: Vec<Part>, post: &mut Post) {
        for part in parts {
            self.owners.remove(&part.id);
            for (i, (_, end)) in part.sent.iter().enumerate() {
                if end.is_none() && self.permits.cancel {
                    post.out.push(Action::Cancel { part: part.id, dispatch: i as u8 });
                }
            }
        }
    }

    /// The final answer of a scan that will not be whole: what is in if that is enough, else a throttling
    /// reply where trying again is harmless, else an abandonment.
    fn end(&mut self, at: usize, now: f64, post: &mut Post) {
        let _ = now;
        let Some(scan) = &self.scans[at] else { return };
        let have = scan.weight(|p| p.state == State::In);
        if have > 0.0 && have + HAIR >= scan.floor {
            return self.complete(at, have + HAIR >= scan.need, post);
        }
        let unrun = scan.parts.iter().all(Part::proved_unrun);
        if scan.step == 1 && (unrun || self.types[scan.kind].repeat != Repeat::NonReplayable) {
            let back_in_ms = self.permits.back_in_ms.map(|most| (2.0 * self.typical(scan.kind)).min(most));
            post.out.push(Action::Throttle { scan: scan.id, back_in_ms });
        } else {
            post.out.push(Action::Abandon { scan: scan.id });
        }
        self.close(at, post);
    }

    fn close(&mut self, at: usize, post: &mut Post) {
        let Some(scan) = self.scans[at].take() else { return };
        self.owners.remove(&scan.id);
        self.numbers.remove(&scan.number);
        self.drop_parts(scan.parts, post);
        self.free.push(at);
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
        let gauge = Gauge { normal: start.iter().map(|n| (*n, 1.0)).collect(), means: Vec::new() };
        let (probing, subscribe) = (permits.probe, permits.subscribe);
        let by_customer = vec![VecDeque::new(); customers.len()];
        let desk = Desk {
            types,
            customers,
            layout,
            guards,
            permits,
            mixers: f64::from(berth.mixers.max(1)),
            norms: Rc::new(Norms { normal: start, median: 1.0 }),
            seats: Vec::new(),
            scans: Vec::new(),
            free: Vec::new(),
            numbers: HashMap::new(),
            owners: HashMap::new(),
            flights: BTreeMap::new(),
            calls: BTreeMap::new(),
            this_turn: BTreeMap::new(),
            next_call: 0,
            due: BTreeMap::new(),
            next_due: 0,
            taken: VecDeque::new(),
            extras: VecDeque::new(),
            limit: f64::INFINITY,
            cut_at: 0.0,
            by_customer,
        };
        let post = Post { desk: VecDeque::new(), gauge: VecDeque::new(), srvs: Vec::new(), out: Vec::new() };
        let (asked_at, next_tick) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
        let seed = Rand64::new(u128::from(seed));
        Self {
            seed,
            probing,
            subscribe,
            asked_at,
            next_tick,
            ids: HashMap::new(),
            srvs: Vec::new(),
            gauge,
            desk,
            post,
        }
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
                    (seat.marked, seat.trial, seat.lat) = (false, false, 1.0);
                    self.post.srvs[srv].push_back(Note::Renewed);
                }
                (seat.cell, seat.life) = (cell, life);
                continue;
            }
            let me = self.srvs.len();
            self.ids.insert(addr, me);
            self.post.srvs.push(VecDeque::new());
            self.srvs.push(Searcher {
                me,
                addr,
                norms: self.desk.norms.clone(),
                // Mixers must not all judge, and so all shift their load, at the same moment.
                offset: self.seed.rand_float() * Searcher::SLICE_MS,
                slices: BTreeMap::new(),
                next: 0,
                legs: Vec::new(),
                lat: 1.0,
                marked: false,
                trial: false,
                strikes: 0,
                probe_at: 0.0,
            });
            self.desk.seats.push(Seat {
                addr,
                cell,
                since,
                life,
                lat: 1.0,
                marked: false,
                trial: false,
                calls: 0,
                spent: VecDeque::new(),
            });
        }
    }

    /// Empties all inboxes.
    fn run(&mut self, now: f64) {
        loop {
            let mut quiet = true;
            for i in 0..self.srvs.len() {
                while let Some(note) = self.post.srvs[i].pop_front() {
                    quiet = false;
                    let probing = self.probing && self.desk.seats[i].life == Life::Ready;
                    self.srvs[i].note(note, now, &mut self.post, probing);
                }
            }
            while let Some(note) = self.post.gauge.pop_front() {
                quiet = false;
                self.gauge.note(note, &mut self.post);
            }
            while let Some(note) = self.post.desk.pop_front() {
                quiet = false;
                self.desk.note(note, now, &mut self.post);
            }
            if quiet {
                return;
            }
        }
    }
}

impl Decide for Mixer {
    fn turn(&mut self, now: f64, events: Vec<Event>) -> Vec<Action> {
        for event in events {
            match event {
                Event::List { kind, lines } => self.list(kind, lines),
                Event::Probed { searcher, ending, took_ms } => {
                    if let Some(&srv) = self.ids.get(&searcher) {
                        let ok = ending == Ending::Ok;
                        self.post.srvs[srv].push_back(Note::Pong { ok, took: took_ms });
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
        self.run(now);
        self.post.desk.push_back(Note::Settle);
        self.run(now);
        std::mem::take(&mut self.post.out)
    }
}
