//! What the actors of the decision module hold and hand to each other. Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;

use oorandom::Rand64;

use crate::interface::{
    Action, Customer, DispatchOutcome, Event, Layout, Permissions, RetryBudget, SafetyLimits, SearcherStatus,
    TableType,
};
use crate::report::{MarkEvidence, REJECTION_REASONS};

/// A part and the number of its dispatch.
pub(crate) type Leg = (u64, u8);

/// What is normal now: milliseconds and own work of each table type, and the share that marks a searcher.
#[derive(Debug)]
pub(crate) struct Norms {
    pub normal: Vec<f64>,
    pub work: Vec<f64>,
    pub limit: f64,
    /// The average of each zone's parts.
    pub zones: BTreeMap<usize, Lag>,
    /// In what time a latency that nothing confirms fades.
    pub fade_ms: f64,
}

impl Norms {
    /// Whether a part was overtaken: one sent later, by what is normal, has come back. It waits for nothing that its searcher
    /// works on; its answer is lost, or it is itself heavy.
    pub fn overtaken(&self, kind: usize, sent_at: f64, ok_from: f64) -> bool {
        ok_from > sent_at + self.normal[kind]
    }
}

/// A latency against its table type's normal one: as a share of it, and in milliseconds beyond it. What delays parts of one
/// type by a share delays those of another by a share where the searcher is slow, and by a time where it has a queue.
pub(crate) type Lag = [f64; 2];

/// What a searcher lets the desk know of itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tile {
    /// Smoothed latency, and when it was last confirmed.
    pub lag: Lag,
    pub lag_at: f64,
    /// Of its parts of ours that are out, what the oldest has waited beyond its table type's normal latency, in milliseconds,
    /// and the highest age as a share of that latency.
    pub age: f64,
    pub late: f64,
    /// Calls out that were overtaken.
    pub lost: u32,
    pub marked: bool,
    pub trial: bool,
    /// No connection, or a lost one, at its last part.
    pub down: bool,
    /// What it was last marked for: the average, in normals, and of how many parts.
    pub evidence: MarkEvidence,
}

impl Tile {
    /// A searcher that is not yet heard from counts as average.
    pub const NEW: Self = Self {
        lag: [1.0, 0.0],
        lag_at: 0.0,
        age: 0.0,
        late: 0.0,
        lost: 0,
        marked: false,
        trial: false,
        down: false,
        evidence: MarkEvidence { relative_latency: 0.0, parts: 0 },
    };
}

#[derive(Debug)]
pub(crate) enum Note {
    // To a searcher.
    Renewed,
    Sent(Leg, usize, Rc<Norms>),
    /// A part's share of the normal latency, that latency in milliseconds, how it ended, and when it was sent.
    Filed(Leg, f64, f64, DispatchOutcome, f64),
    Pong(DispatchOutcome, f64),
    /// Others have marked it; whether several that agree.
    Hint(bool),
    // To the gauge: of a table type, of a searcher.
    Heard(usize, f64),
    Slice(usize, f64),
    Zone(usize, Lag),
    // To the desk.
    Tile(usize, Tile),
    /// A searcher that was dead answers again.
    Back(usize),
    Told(Event),
    Settle,
    // To several.
    Norms(Rc<Norms>),
    Tick,
}

/// The time of the turn, all inboxes, and the actions that leave at its end.
#[derive(Debug, Default)]
pub(crate) struct Post {
    pub now: f64,
    boxes: Vec<VecDeque<Note>>,
    full: BTreeSet<usize>,
    /// Inboxes that want the periodic note.
    pub awake: BTreeSet<usize>,
    pub out: Vec<Action>,
}

pub(crate) const DESK: usize = 0;
pub(crate) const GAUGE: usize = 1;
/// The first searcher's inbox.
pub(crate) const SRVS: usize = 2;

impl Post {
    pub fn new() -> Self {
        Self { awake: BTreeSet::from([DESK, GAUGE]), ..Self::default() }
    }

    pub fn put(&mut self, to: usize, note: Note) {
        if self.boxes.len() <= to {
            self.boxes.resize_with(to + 1, VecDeque::new);
        }
        self.boxes[to].push_back(note);
        self.full.insert(to);
    }

    /// Whether this inbox wants the periodic note.
    pub fn wake(&mut self, to: usize, awake: bool) {
        if awake {
            self.awake.insert(to);
        } else {
            self.awake.remove(&to);
        }
    }

    /// Calls dispatches off, where that may be done.
    pub fn call_off(&mut self, legs: Vec<Leg>, may: bool) {
        let cancels = legs.into_iter().filter(|_| may);
        self.out.extend(cancels.map(|(part, dispatch)| Action::Cancel { part, dispatch }));
    }

    /// The next note of the last inbox that holds one.
    pub fn take(&mut self) -> Option<(usize, Note)> {
        let to = *self.full.last()?;
        let note = self.boxes[to].pop_front()?;
        if self.boxes[to].is_empty() {
            self.full.remove(&to);
        }
        Some((to, note))
    }
}

/// One timeslice of a searcher.
#[derive(Debug)]
pub(crate) struct Slice {
    pub from: f64,
    pub sent: u32,
    /// Shares of the parts that ended.
    pub sum: f64,
    /// None of its parts failed.
    pub sound: bool,
    /// Parts still out: table type and start.
    pub out: Vec<(Leg, usize, f64)>,
}

impl Slice {
    pub fn from(now: f64) -> Self {
        Self { from: now, sent: 0, sum: 0.0, sound: true, out: Vec::new() }
    }
}

/// One searcher, watched by slices.
#[derive(Debug)]
pub(crate) struct Searcher {
    pub me: usize,
    pub zone: usize,
    pub addr: SocketAddrV4,
    pub norms: Rc<Norms>,
    pub tile: Tile,
    pub slices: Vec<Slice>,
    pub probe_at: f64,
    /// When the newest of the parts that came back well was sent.
    pub ok_from: f64,
    /// It refused a connection since it last answered.
    pub dead: bool,
    /// It is probed as others have marked it.
    pub asked: bool,
}

impl Searcher {
    pub fn new(me: usize, addr: SocketAddrV4, zone: u16, norms: Rc<Norms>) -> Self {
        let (tile, slices, zone) = (Tile::NEW, Vec::new(), usize::from(zone));
        Self { me, zone, addr, norms, tile, slices, probe_at: 0.0, ok_from: 0.0, dead: false, asked: false }
    }
}

/// What is normal.
#[derive(Debug)]
pub(crate) struct Gauge {
    /// For each table type: milliseconds, parts heard, own work.
    pub normal: Vec<(f64, f64, f64)>,
    /// Of each searcher's last slice.
    pub means: BTreeMap<usize, f64>,
    pub median: f64,
    pub zones: BTreeMap<usize, Lag>,
    pub fade_ms: f64,
}

/// A budget: of further dispatches, stated or our own, and of parts caught for their own lateness.
#[derive(Debug)]
pub(crate) struct Purse {
    pub budget: RetryBudget,
    pub taken: VecDeque<f64>,
    pub extras: VecDeque<f64>,
}

impl Purse {
    pub fn of(budget: RetryBudget) -> Self {
        Self { budget, taken: VecDeque::new(), extras: VecDeque::new() }
    }
}

/// The customers at the door, and whose scans were seen lately.
#[derive(Debug)]
pub(crate) struct Door {
    pub customers: Vec<Customer>,
    pub counts: Vec<usize>,
    pub seen: VecDeque<(f64, usize)>,
    /// Until when a customer's scans go out one part first.
    pub tasted_until: BTreeMap<usize, f64>,
}

impl Door {
    pub fn of(customers: Vec<Customer>) -> Self {
        let counts = vec![0; customers.len()];
        Self { customers, counts, seen: VecDeque::new(), tasted_until: BTreeMap::new() }
    }

    pub fn taste(&mut self, customer: usize, until: f64) {
        if customer < self.customers.len() {
            self.tasted_until.insert(customer, until);
        }
    }

    pub fn tastes(&self, customer: usize, now: f64) -> bool {
        self.tasted_until.get(&customer).is_some_and(|t| now < *t)
    }

    pub fn see(&mut self, customer: usize, now: f64, span_ms: f64) {
        if let Some(count) = self.counts.get_mut(customer) {
            *count += 1;
            self.seen.push_back((now, customer));
        }
        while let Some((_, old)) = self.seen.pop_front_if(|s| s.0 < now - span_ms) {
            self.counts[old] -= 1;
        }
    }
}

/// What becomes of parts sent on connections long idle (the second) and of all others.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    pub lost: [f64; 2],
    pub doubt_until: f64,
}

/// Who stands in which cell, and so holds which shards.
#[derive(Debug)]
pub(crate) struct Cells(Vec<Vec<usize>>, usize);

impl Cells {
    pub fn new(cells: u32, reach: u32) -> Self {
        Self(vec![Vec::new(); cells.max(1) as usize], reach.min(cells) as usize)
    }

    pub fn enter(&mut self, cell: u32, srv: usize) {
        if let Some(cell) = self.0.get_mut(cell as usize) {
            cell.push(srv);
        }
    }

    pub fn leave(&mut self, cell: u32, srv: usize) {
        if let Some(cell) = self.0.get_mut(cell as usize) {
            cell.retain(|s| *s != srv);
        }
    }

    /// How far from a shard's first cell that one is, as a share of all cells.
    pub fn nth(&self, shard: u32, cell: u32) -> f64 {
        let cells = self.0.len();
        ((cell as usize + cells - shard as usize % cells) % cells) as f64 / cells as f64
    }

    pub fn holders(&self, shard: u32) -> impl Iterator<Item = usize> {
        let (cells, first) = (&self.0, shard as usize % self.0.len());
        (0..self.1).flat_map(move |j| &cells[(first + j) % cells.len()]).copied()
    }
}

/// Known searchers by address, and the places that the gone have left.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    places: BTreeMap<SocketAddrV4, usize>,
    spare: Vec<usize>,
    used: usize,
}

impl Roster {
    pub fn find(&self, addr: SocketAddrV4) -> Option<usize> {
        self.places.get(&addr).copied()
    }

    /// A place for a new one: the first that is left, or one at the end.
    pub fn place(&mut self, addr: SocketAddrV4) -> usize {
        let place = self.spare.pop().unwrap_or(self.used);
        self.used = self.used.max(place + 1);
        self.places.insert(addr, place);
        place
    }

    /// Forgets those for whom that holds; their places.
    pub fn retire(&mut self, left: impl Fn(usize) -> bool) -> Vec<usize> {
        let gone: Vec<usize> = self.places.values().copied().filter(|p| left(*p)).collect();
        self.places.retain(|_, place| !left(*place));
        self.spare.extend(&gone);
        gone
    }
}

/// Sets a place that exists or comes next.
pub(crate) fn put<T>(row: &mut Vec<T>, at: usize, value: T) {
    match row.get_mut(at) {
        Some(place) => *place = value,
        None => row.push(value),
    }
}

/// The scans, and what goes where.
#[derive(Debug)]
pub(crate) struct Desk {
    pub types: Vec<TableType>,
    pub layout: Layout,
    pub guards: SafetyLimits,
    pub permits: Permissions,
    pub mixers: f64,
    pub norms: Rc<Norms>,
    pub seats: Vec<Seat>,
    pub cells: Cells,
    pub door: Door,
    pub further: Purse,
    pub late: Purse,
    pub lines: Lines,
    /// How busy searchers are, by the reports of the newest answers; none until one came.
    pub busy: Option<f64>,
    /// Work in a millisecond that scans of each table type ask for.
    pub asked: Vec<f64>,
    /// When the first list came, and the lot that those of scans follow.
    pub opened: f64,
    pub lot: f64,
    /// Own work sent in a millisecond, and the searchers that are ready.
    pub flow: f64,
    pub ready: f64,
    pub next: usize,
    pub scans: BTreeMap<usize, Scan>,
    pub flights: BTreeMap<Leg, Flight>,
    pub due: Agenda,
    /// Of a scan or part: the scan's index, and the part's in it.
    pub owners: BTreeMap<u64, (usize, usize)>,
    /// The call to each searcher, and its parts.
    pub this_turn: BTreeMap<usize, (Rc<()>, u32)>,
    /// Scans to look at in this turn.
    pub touched: BTreeSet<usize>,
    /// Scans that lack parts and wait for room.
    pub short: BTreeSet<usize>,
    /// Scans refused at the door, by table type and [`Bar`].
    pub barred: Vec<[u64; REJECTION_REASONS]>,
}

/// Why the door refused a scan: what the first of its parts met that no searcher could take in time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Bar {
    /// No searcher is up.
    Nobody,
    /// Some are, all cold and without room.
    Cold,
    /// What its searcher is believed to take.
    Cost,
    /// The age of the oldest part there.
    Age,
    /// The limit on calls out there.
    Limit,
}

impl Desk {
    #[allow(clippy::too_many_arguments)] // each part takes its own few settings
    pub fn new(
        types: Vec<TableType>,
        layout: Layout,
        guards: SafetyLimits,
        permits: Permissions,
        mixers: f64,
        norms: Rc<Norms>,
        door: Door,
        further: Purse,
        late: Purse,
        lot: f64,
    ) -> Self {
        let (barred, asked) = (vec![[0; REJECTION_REASONS]; types.len()], vec![0.0; types.len()]);
        Self {
            cells: Cells::new(layout.cells, layout.cells_per_shard),
            types,
            layout,
            guards,
            permits,
            mixers,
            norms,
            door,
            further,
            late,
            seats: Vec::new(),
            lines: Lines::default(),
            busy: None,
            asked,
            opened: f64::INFINITY,
            lot,
            flow: 0.0,
            ready: 0.0,
            next: 0,
            scans: BTreeMap::new(),
            flights: BTreeMap::new(),
            due: Agenda::default(),
            owners: BTreeMap::new(),
            this_turn: BTreeMap::new(),
            touched: BTreeSet::new(),
            short: BTreeSet::new(),
            barred,
        }
    }

    /// One more scan or part was taken.
    pub fn took(&mut self, now: f64) {
        self.further.taken.push_back(now);
        self.late.taken.push_back(now);
    }

    /// A call that leaves for this searcher in this turn and has room for one more part.
    pub fn shared(&self, srv: usize) -> bool {
        self.this_turn.get(&srv).is_some_and(|c| c.1 < self.layout.parts_per_call)
    }

    /// Counts how many parts of a scan come to one searcher if all that hold its shards get as many.
    pub fn spread(&mut self, at: usize) {
        let Some(scan) = self.scans.get_mut(&at) else { return };
        let holders: BTreeSet<usize> = scan.parts.iter().flat_map(|p| self.cells.holders(p.shard)).collect();
        scan.in_one = (scan.parts.len() as f64 / holders.len().max(1) as f64).ceil();
    }

    /// Whether it may still be warming up.
    pub fn cold(&self, seat: &Seat, now: f64) -> bool {
        seat.began() > 0.0 && now - seat.began() < self.guards.warm_up_ms
    }

    /// Forgets a scan, and calls off what is out of it.
    pub fn close(&mut self, at: usize, post: &mut Post) {
        let Some(scan) = self.scans.remove(&at) else { return };
        self.short.remove(&at);
        self.owners.remove(&scan.id);
        post.call_off(self.drop_parts(scan.parts), self.permits.cancel);
    }

    /// Forgets parts; their dispatches that are out.
    pub fn drop_parts(&mut self, parts: Vec<Part>) -> Vec<Leg> {
        for part in &parts {
            self.owners.remove(&part.id);
        }
        parts.iter().flat_map(Part::legs_out).collect()
    }
}

/// A searcher as the desk sees it.
#[derive(Debug)]
pub(crate) struct Seat {
    pub addr: SocketAddrV4,
    pub cell: u32,
    pub zone: usize,
    /// When its process started, as the list says and as it was found.
    pub listed: f64,
    pub since: f64,
    /// As other mixers say; zero where none does.
    pub told: f64,
    pub life: SearcherStatus,
    /// Other mixers say that it leaves.
    pub hushed: bool,
    pub tile: Tile,
    /// Decides between equals.
    pub lot: f64,
    pub calls: u32,
    /// When a part of ours last came back, and when the newest of those that did was sent.
    pub heard_at: f64,
    pub ok_from: f64,
    /// When a part of ours was last sent there.
    pub sent_at: f64,
    /// Of own calls out.
    pub limit: f64,
    pub cut_at: f64,
    /// When this mixer learned of that start.
    pub known_at: f64,
    /// Work sent to it lately while it was cold: when, how much, and for which table type.
    pub spent: VecDeque<(f64, f64, usize)>,
}

impl Seat {
    pub fn new(
        addr: SocketAddrV4,
        cell: u32,
        zone: u16,
        since: f64,
        life: SearcherStatus,
        lot: f64,
        known_at: f64,
    ) -> Self {
        Self {
            addr,
            cell,
            zone: usize::from(zone),
            listed: since,
            since,
            told: 0.0,
            life,
            hushed: false,
            tile: Tile::NEW,
            lot,
            calls: 0,
            heard_at: f64::INFINITY,
            ok_from: 0.0,
            sent_at: 0.0,
            limit: f64::INFINITY,
            cut_at: 0.0,
            known_at,
            spent: VecDeque::new(),
        }
    }

    /// Own calls that it may be at work on.
    pub fn busy(&self) -> u32 {
        self.calls.saturating_sub(self.tile.lost)
    }

    /// Since when it may be cold, by whoever says the latest.
    pub fn began(&self) -> f64 {
        self.since.max(self.told)
    }

    /// Listed as ready, nobody says that it leaves, and not both marked and without connection.
    pub fn up(&self) -> bool {
        self.life == SearcherStatus::Ready && !self.hushed && !(self.tile.marked && self.tile.down)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    Unsent,
    Out,
    In,
    Broken,
}

#[derive(Debug)]
pub(crate) struct Part {
    pub id: u64,
    pub shard: u32,
    pub weight: f64,
    pub state: State,
    pub caught: bool,
    /// Searcher and ending of every dispatch.
    pub sent: Vec<(usize, Option<DispatchOutcome>)>,
    pub taken_at: f64,
    /// When a dispatch of it last ended.
    pub ended_at: f64,
}

impl Part {
    pub fn new(id: u64, shard: u32, weight: f64, taken_at: f64) -> Self {
        Self {
            id,
            shard,
            weight,
            state: State::Unsent,
            caught: false,
            sent: Vec::new(),
            taken_at,
            ended_at: 0.0,
        }
    }

    pub fn proved_unrun(&self) -> bool {
        self.sent.iter().all(|s| s.1.is_some_and(DispatchOutcome::never_ran))
    }

    /// The dispatches still out.
    pub fn legs_out(&self) -> Vec<Leg> {
        let out = self.sent.iter().enumerate().filter(|s| s.1.1.is_none());
        out.map(|s| (self.id, s.0 as u8)).collect()
    }
}

/// A dispatch that may be made next, in the order in which they are made.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Choice {
    pub tier: u8,
    /// The part was sent before.
    pub again: bool,
    /// What it costs for the weight that it brings: the bits of a number that is not negative, which are ordered as it is.
    pub cost: u64,
    /// The part's place in its scan.
    pub nth: usize,
    pub srv: usize,
}

#[derive(Debug)]
pub(crate) struct Scan {
    pub id: u64,
    pub number: u32,
    pub kind: usize,
    pub customer: usize,
    pub target_at: f64,
    pub gone_at: f64,
    pub parts: Vec<Part>,
    pub need: f64,
    pub floor: f64,
    /// Whether the first step's answer was whole.
    pub whole: bool,
    pub second: bool,
    /// Parts whose connection was lost while they were out.
    pub deaths: u32,
    /// From 0 to 1: a low one lets it in where cold searchers take few.
    pub lot: f64,
    /// Parts that come to one searcher if all of those that hold its shards get as many.
    pub in_one: f64,
}

impl Scan {
    /// One whose parts are yet to come.
    pub fn new(
        id: u64,
        number: u32,
        kind: usize,
        customer: usize,
        target_at: f64,
        gone_at: f64,
        terms: &TableType,
    ) -> Self {
        Self {
            id,
            number,
            kind,
            customer,
            target_at,
            gone_at,
            parts: Vec::new(),
            need: terms.required_weight,
            floor: terms.minimum_weight.min(terms.required_weight),
            whole: true,
            second: false,
            deaths: 0,
            lot: 0.0,
            in_one: 1.0,
        }
    }

    pub fn weight(&self, of: impl Fn(&Part) -> bool) -> f64 {
        self.parts.iter().filter(|p| of(p)).map(|p| p.weight).sum()
    }

    pub fn have(&self) -> f64 {
        self.weight(|p| p.state == State::In)
    }

    /// What is in or on its way and not caught.
    pub fn coming(&self) -> f64 {
        self.weight(|p| p.state == State::In || p.state == State::Out && !p.caught)
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    Late(Leg),
    Target(usize),
    Gone(usize),
}

/// All due times but the periodic timer's, in order.
#[derive(Debug, Default)]
pub(crate) struct Agenda(BTreeSet<(u64, Due)>);

impl Agenda {
    pub fn add(&mut self, at: f64, due: Due) {
        self.0.insert((at.max(0.0).to_bits(), due));
    }

    /// The next that is due.
    pub fn take(&mut self, now: f64) -> Option<Due> {
        let due = self.0.first().is_some_and(|d| f64::from_bits(d.0) <= now);
        due.then(|| self.0.pop_first()).flatten().map(|d| d.1)
    }
}

/// A dispatch that is out.
#[derive(Debug)]
pub(crate) struct Flight {
    pub srv: usize,
    pub kind: usize,
    /// Shared by the parts of one call.
    pub call: Rc<()>,
    pub sent_at: f64,
    pub allotted: f64,
    /// Sent on a connection that had long been idle; none once that was judged.
    pub idle: Option<bool>,
}

/// Drops what stands too old at the front of a queue.
pub(crate) fn trim<T>(queue: &mut VecDeque<T>, old: impl Fn(&T) -> bool) {
    while queue.front().is_some_and(&old) {
        queue.pop_front();
    }
}

/// The middle value, of enough of them.
pub(crate) fn median(values: impl Iterator<Item = f64>, enough: usize) -> Option<f64> {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().filter(|_| sorted.len() >= enough)
}

/// One mixer: the actors, their mailboxes, and the index of searchers by address. It prints all of its state.
#[derive(Debug)]
pub struct Mixer {
    pub(crate) seed: Rand64,
    pub(crate) zone: u16,
    /// The count of mixers that the settings state.
    pub(crate) stated: f64,
    pub(crate) roster: Roster,
    /// When the list is asked for next, and how often in a row that failed.
    pub(crate) subscribe_at: f64,
    pub(crate) refused: u32,
    pub(crate) next_tick: f64,
    pub(crate) srvs: Vec<Searcher>,
    pub(crate) gauge: Gauge,
    pub(crate) desk: Desk,
    pub(crate) post: Post,
}

impl Mixer {
    /// Empties all inboxes, the searchers' before the gauge's and the desk's.
    pub(crate) fn run(&mut self) {
        while let Some((to, note)) = self.post.take() {
            match to {
                DESK => self.desk.note(note, &mut self.post),
                GAUGE => self.gauge.note(note, &mut self.post),
                _ => {
                    let ready = self.desk.seats[to - SRVS].life == SearcherStatus::Ready;
                    self.srvs[to - SRVS].note(note, &mut self.post, ready, self.desk.permits.probe);
                }
            }
        }
    }
}
