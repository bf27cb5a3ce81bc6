//! What the actors of the decision module hold and hand to each other. Nothing is decided here.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;

use crate::interface::{Action, Ending, Event, Life};

/// A part and the number of its dispatch.
pub(crate) type Leg = (u64, u8);

/// What is normal now: milliseconds and own work of each table type, and the share that marks a searcher.
pub(crate) struct Norms {
    pub normal: Vec<f64>,
    pub work: Vec<f64>,
    pub limit: f64,
    /// The average share of each zone's parts.
    pub zones: Vec<f64>,
}

/// What a searcher lets the desk know of itself.
#[derive(Clone, Copy)]
pub(crate) struct Tile {
    /// Smoothed latency, in normals, and when it was last confirmed.
    pub lat: f64,
    pub lat_at: f64,
    /// Of its oldest part of ours.
    pub age: f64,
    pub marked: bool,
    pub trial: bool,
    /// No connection, or a lost one, at its last part.
    pub down: bool,
}

pub(crate) enum Note {
    // To a searcher.
    Renewed,
    Sent(Leg, usize, Rc<Norms>),
    /// A part's share of the normal latency, and how it ended.
    Filed(Leg, f64, Ending),
    Pong(Ending, f64),
    // To the gauge: of a table type, of a searcher.
    Heard(usize, f64),
    Slice(usize, f64),
    Zone(usize, f64),
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
#[derive(Default)]
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
    pub fn put(&mut self, to: usize, note: Note) {
        if self.boxes.len() <= to {
            self.boxes.resize_with(to + 1, VecDeque::new);
        }
        self.boxes[to].push_back(note);
        self.full.insert(to);
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

/// A searcher as the desk sees it.
pub(crate) struct Seat {
    pub addr: SocketAddrV4,
    pub cell: u32,
    pub zone: usize,
    /// When its process started, as the list says and as it was found.
    pub listed: f64,
    pub since: f64,
    pub life: Life,
    pub tile: Tile,
    /// Decides between equals.
    pub lot: f64,
    pub calls: u32,
    /// When a part of ours last came back.
    pub heard_at: f64,
    /// Of own calls out.
    pub limit: f64,
    pub cut_at: f64,
    /// Work sent to it lately.
    pub spent: VecDeque<(f64, f64)>,
}

impl Seat {
    /// Listed as ready, and not both marked and without connection.
    pub fn up(&self) -> bool {
        self.life == Life::Ready && !(self.tile.marked && self.tile.down)
    }
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum State {
    Unsent,
    Out,
    In,
    Broken,
}

pub(crate) struct Part {
    pub id: u64,
    pub shard: u32,
    pub weight: f64,
    pub state: State,
    pub caught: bool,
    /// Searcher and ending of every dispatch.
    pub sent: Vec<(usize, Option<Ending>)>,
    pub taken_at: f64,
}

impl Part {
    pub fn proved_unrun(&self) -> bool {
        self.sent.iter().all(|s| s.1.is_some_and(Ending::never_ran))
    }

    /// Numbers of the dispatches still out.
    pub fn out(&self) -> impl Iterator<Item = u8> {
        self.sent.iter().enumerate().filter(|s| s.1.1.is_none()).map(|s| s.0 as u8)
    }
}

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
}

impl Scan {
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

#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    Late(Leg),
    Target(usize),
    Gone(usize),
}

/// All due times but the periodic timer's, in order.
#[derive(Default)]
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
pub(crate) struct Flight {
    pub srv: usize,
    pub kind: usize,
    /// Shared by the parts of one call.
    pub call: Rc<()>,
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
