//! What the reducer holds: scans, parts, clients, links and what is due. Its parts for clients and for searchers stand
//! beside, and none of it decides.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;

use pewterwharf::interface::{DispatchOutcome, SearcherStatus};
use tracing::info;

/// A part and the number of its dispatch.
pub(super) type AttemptId = (u64, u8);

pub(super) struct Scan {
    pub(super) conn: u64,
    /// The id that its client gave.
    pub(super) name: String,
    pub(super) text: String,
    pub(super) table_type: usize,
    /// When its client gives up.
    pub(super) deadline_at: f64,
    pub(super) taken_at: f64,
    pub(super) parts: Vec<u64>,
}

pub(super) struct Part {
    pub(super) scan: u64,
    /// Its name on the wire.
    pub(super) name: Rc<str>,
    pub(super) shard: u32,
    pub(super) sent: u8,
    /// Dispatches that went out and are not proved never to have run.
    pub(super) may_have_run: u8,
    /// Until when it may go out again though one of them may have run: for ever where its effect may happen again, never
    /// (minus infinity) where it must not.
    pub(super) repeat_until: f64,
    /// How its latest attempt ended.
    pub(super) last_ending: Option<DispatchOutcome>,
    pub(super) value: Option<String>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    Wake,
    TimedOut(AttemptId),
    ProbeTimedOut {
        link: u64,
        number: u64,
    },
    /// Its client's time is up.
    Overdue(u64),
    /// A link may have been idle for long.
    Idle(u64),
    /// A link may have taken nothing for long.
    Stuck(u64),
    /// A link that takes nothing is tried again.
    Retry(u64),
    /// A client has had its time to close.
    Linger(u64),
    /// A client has had its time to ask.
    Quiet(u64),
    /// The list as held before the start is gone by, if the watch has not spoken.
    Cached,
    /// Something of draining is to be looked at.
    Drained,
    /// The decision module is still to hear of attempts that were not sent after all.
    Unsent,
}

#[derive(Clone, Copy, PartialEq)]
pub(super) enum ClientStanding {
    /// Its last answer has been given.
    Over,
    /// It has not asked yet, or is in the midst of asking.
    New,
    /// It has asked and waits for nothing.
    Resting,
}

pub(super) struct Client {
    /// The scan it waits for.
    pub(super) scan: Option<u64>,
    pub(super) standing: ClientStanding,
    /// It asked something, a query or a page, and has no answer yet.
    pub(super) awaits_answer: bool,
    /// The connection ends with the answer that is owed, whatever was sent behind its request.
    pub(super) close: bool,
    /// More was read behind the request whose answer comes next.
    pub(super) sent_behind: bool,
    /// Told to send no more; what it had sent is still answered.
    pub(super) hung: bool,
    /// Then, until when what was read behind its request is answered.
    pub(super) hung_until: Option<f64>,
    /// Its requests that were answered after that time, or the drain's.
    pub(super) refused_behind: u32,
    /// It has not taken its answer whole yet.
    pub(super) slow: bool,
    /// It still sent after its last answer: ending over bytes that are not read would reset it before it has read that.
    pub(super) sends: bool,
    /// Since when it stands so.
    pub(super) since: f64,
    /// A due time for its rest is set.
    pub(super) watched: bool,
    /// Requests that could not be used, in a row.
    pub(super) faults: u32,
}

impl Client {
    pub(super) fn new(now: f64) -> Self {
        Self {
            scan: None,
            standing: ClientStanding::New,
            awaits_answer: false,
            close: false,
            sent_behind: false,
            hung: false,
            hung_until: None,
            refused_behind: 0,
            slow: false,
            sends: false,
            since: now,
            watched: true,
            faults: 0,
        }
    }
}

/// Names of ended dispatches that a link remembers: seconds of one that is in full use, the whole life of others.
const OVER: usize = 512;
pub(super) struct Searcher {
    pub(super) name: String,
    pub(super) addr: SocketAddrV4,
    pub(super) life: SearcherStatus,
    /// When its process started, as the list says.
    pub(super) since: f64,
    pub(super) links: Vec<u64>,
}

impl Searcher {
    /// Logs that one which was ready drains or is gone.
    pub(super) fn log_if_left(&self) {
        match self.life {
            SearcherStatus::Ready => {}
            SearcherStatus::Draining => info!("{} drains", self.name),
            SearcherStatus::Gone => info!("{} is gone", self.name),
        }
    }
}

#[derive(PartialEq)]
pub(super) enum LinkStanding {
    Opening,
    Up,
    /// Nothing new goes on it, and its end is awaited.
    Closing,
}

pub(super) struct Link {
    pub(super) srv: SocketAddrV4,
    /// Where it leads: the searcher may have moved since.
    pub(super) addr: SocketAddrV4,
    pub(super) standing: LinkStanding,
    /// Calls and probes that wait to be written.
    pub(super) queue: VecDeque<Queued>,
    /// Names of attempts that are to be given up, which go before those.
    pub(super) give_ups: VecDeque<Rc<str>>,
    /// What was given for writing last.
    pub(super) latest: Option<Queued>,
    /// Its searcher has taken nothing since then, and something waits for that.
    pub(super) blocked_since: Option<f64>,
    /// Then, it is tried again after so long, lest nobody tells of room.
    pub(super) retry_ms: f64,
    /// Frames whose writing has begun.
    pub(super) frames: u64,
    /// Calls out, and how many parts of each.
    pub(super) calls: BTreeMap<u64, usize>,
    /// Names that went out on it, and what may come of them.
    pub(super) out: HashMap<Rc<str>, Awaits>,
    /// Of these, the names of those that are over, the oldest first.
    pub(super) over: VecDeque<Rc<str>>,
    pub(super) probes: VecDeque<Probe>,
    /// When anything last came on it.
    pub(super) heard_at: f64,
    /// What was sent on it timed out and nothing at all has come since: nothing new goes on it.
    pub(super) silent: bool,
    pub(super) idle_since: f64,
    /// A due time for its idleness is set.
    pub(super) watched: bool,
}

/// What may come for a name that went out on a link.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Awaits {
    /// The answer to a dispatch that is out.
    Answer(AttemptId),
    /// That of one that is over: it must not be taken for a later dispatch's.
    Late,
    /// A second copy of one that has come.
    Copy,
}

impl Awaits {
    pub(super) fn attempt_id(self) -> Option<AttemptId> {
        if let Self::Answer(attempt_id) = self { Some(attempt_id) } else { None }
    }
}

pub(super) enum Queued {
    Call(u64, Vec<AttemptId>),
    Probe,
    GiveUp(Rc<str>),
}

pub(super) struct Probe {
    pub(super) number: u64,
    pub(super) sent_at: f64,
    /// The number of its frame, once that has begun.
    pub(super) frame: Option<u64>,
    /// Its ending was told.
    pub(super) over: bool,
}

pub(super) struct Attempt {
    /// The part's name.
    pub(super) name: Rc<str>,
    pub(super) link: u64,
    pub(super) call: u64,
    pub(super) srv: SocketAddrV4,
    pub(super) sent_at: f64,
    pub(super) until: f64,
    /// The number of its frame, once that has begun.
    pub(super) frame: Option<u64>,
}

impl Link {
    /// Takes what is to be written next.
    pub(super) fn next_queued(&mut self) -> Option<Queued> {
        self.next_give_up().or_else(|| self.queue.pop_front())
    }

    pub(super) fn next_give_up(&mut self) -> Option<Queued> {
        self.give_ups.pop_front().map(Queued::GiveUp)
    }

    pub(super) fn idle(&self) -> bool {
        self.standing == LinkStanding::Up && self.calls.is_empty() && self.probes.is_empty()
    }

    /// A dispatch is over. If it went out, its answer may still come, or come again, and must be told from a
    /// later dispatch's and from one that nobody asked for.
    pub(super) fn over(&mut self, name: &Rc<str>, went_out: bool) {
        let answered = self.out.remove(name) == Some(Awaits::Copy);
        if went_out {
            self.out.insert(name.clone(), if answered { Awaits::Copy } else { Awaits::Late });
            self.over.push_back(name.clone());
        }
        if self.over.len() > OVER
            && let Some(oldest) = self.over.pop_front()
            && !matches!(self.out.get(&oldest), Some(Awaits::Answer(_)))
        {
            self.out.remove(&oldest);
        }
    }
}
