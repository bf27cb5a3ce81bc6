//! The reducer's state: scans, parts, attempts, clients, searchers, links and timers.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;

use pewterwharf::interface::{DispatchOutcome, SearcherStatus};
use tracing::info;

use crate::clock::UnixMs;
use crate::inputs::{ConnectionId, LinkId};

/// Scans, parts, calls and links have ids of one common sequence.
pub(super) type ScanId = u64;
pub(super) type PartId = u64;
pub(super) type CallId = u64;

/// An attempt: a part and the number of its dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) part: PartId,
    pub(super) number: u8,
}

pub(super) struct Scan {
    pub(super) connection_id: ConnectionId,
    /// The id that its client gave.
    pub(super) request_id: String,
    pub(super) text: String,
    pub(super) table_type: usize,
    /// When its client gives up.
    pub(super) deadline_at: UnixMs,
    pub(super) received_at: UnixMs,
    pub(super) parts: Vec<PartId>,
}

pub(super) struct Part {
    pub(super) scan: ScanId,
    /// Its name on the wire.
    pub(super) name: Rc<str>,
    pub(super) shard: u32,
    /// Number of attempts so far, including those that were never sent.
    pub(super) attempts: u8,
    /// Number of attempts that were sent, except those known never to have run.
    pub(super) may_have_run: u8,
    /// Until when the part may be sent again although an attempt may have run; see
    /// [`super::rules::repeat_until`].
    pub(super) repeat_until: UnixMs,
    /// How its latest attempt ended.
    pub(super) last_outcome: Option<DispatchOutcome>,
    pub(super) value: Option<String>,
}

/// What the reducer has to do at a set time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The decision module asked to be called at this time.
    ModuleWakeup,
    AttemptTimeout(AttemptId),
    ProbeTimeout {
        link: LinkId,
        number: u64,
    },
    ScanDeadline(ScanId),
    /// A link may have been idle for too long.
    LinkIdle(LinkId),
    /// A link may have been blocked for too long.
    LinkStuck(LinkId),
    /// Retries a write on a blocked link.
    LinkWriteRetry(LinkId),
    /// The time that a client has to close its connection after its last answer is over.
    ClientLinger(ConnectionId),
    /// A client may have sent no request for too long.
    ClientIdle(ConnectionId),
    /// The cached list from before the start is used if the watch has sent none.
    CachedList,
    /// The next step of draining may be due.
    DrainStep,
    /// Attempts were refused at the time of the write, and the decision module has yet to be told so.
    UnsentAttempts,
}

/// A timer and its time. The time is kept as the bits of a non-negative `f64`, which have the order of the
/// numbers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ScheduledTimer {
    at_bits: u64,
    pub(super) timer: Timer,
}

impl ScheduledTimer {
    pub(super) fn new(at: UnixMs, timer: Timer) -> Self {
        Self { at_bits: at.max(0.0).to_bits(), timer }
    }

    pub(super) fn at(self) -> UnixMs {
        f64::from_bits(self.at_bits)
    }
}

#[derive(Clone, Copy, PartialEq)]
pub(super) enum ClientState {
    /// Its last answer has been given.
    Finished,
    /// It has sent no request yet, or only the beginning of one.
    AwaitingRequest,
    /// It has had an answer and has no request open.
    Idle,
}

pub(super) struct Client {
    /// The scan that it waits for.
    pub(super) scan: Option<ScanId>,
    pub(super) state: ClientState,
    /// It has sent a request, for a scan or a page, that has no answer yet.
    pub(super) awaits_answer: bool,
    /// The connection ends with the next answer, whatever was sent behind the request.
    pub(super) close_after_answer: bool,
    /// More bytes were read behind the request that is answered next.
    pub(super) has_buffered_data: bool,
    /// The connection is being closed; requests that it had sent before are still answered.
    pub(super) closing: bool,
    /// While closing: until when buffered requests are served.
    pub(super) serves_buffered_until: Option<UnixMs>,
    /// Number of buffered requests refused after that time, or after the corresponding time of a drain.
    pub(super) buffered_refused: u32,
    /// Its last answer is not written completely yet.
    pub(super) answer_delayed: bool,
    /// It has sent more after its last answer. Closing while bytes are unread would reset the connection
    /// before it reads the answer.
    pub(super) still_sends: bool,
    /// When it entered its state.
    pub(super) state_since: UnixMs,
    /// The time of its [`Timer::ClientIdle`], if one is set.
    pub(super) idle_timer_at: Option<UnixMs>,
    /// Number of unusable requests in a row.
    pub(super) unusable_requests: u32,
}

impl Client {
    pub(super) fn new(now: UnixMs) -> Self {
        Self {
            scan: None,
            state: ClientState::AwaitingRequest,
            awaits_answer: false,
            close_after_answer: false,
            has_buffered_data: false,
            closing: false,
            serves_buffered_until: None,
            buffered_refused: 0,
            answer_delayed: false,
            still_sends: false,
            state_since: now,
            idle_timer_at: None,
            unusable_requests: 0,
        }
    }
}

pub(super) struct Searcher {
    pub(super) name: String,
    pub(super) address: SocketAddrV4,
    pub(super) status: SearcherStatus,
    /// When its process started, according to the list.
    pub(super) started_at: UnixMs,
    pub(super) links: Vec<LinkId>,
}

impl Searcher {
    /// Logs that a searcher that was ready drains or is gone.
    pub(super) fn log_if_left(&self) {
        match self.status {
            SearcherStatus::Ready => {}
            SearcherStatus::Draining => info!("{} drains", self.name),
            SearcherStatus::Gone => info!("{} is gone", self.name),
        }
    }
}

#[derive(PartialEq)]
pub(super) enum LinkState {
    Opening,
    Up,
    /// Only cancellations are still sent on it, and its end is awaited.
    Closing,
}

pub(super) struct Link {
    /// The address by which the decision module knows its searcher.
    pub(super) searcher: SocketAddrV4,
    /// The address that it is connected to: the searcher may have moved since.
    pub(super) address: SocketAddrV4,
    pub(super) state: LinkState,
    /// Calls and probes that wait to be written.
    pub(super) queue: VecDeque<QueuedFrame>,
    /// Names of attempts to be cancelled, which are written before the queue.
    pub(super) cancels: VecDeque<Rc<str>>,
    /// The frame that was handed out for writing last.
    pub(super) last_frame: Option<QueuedFrame>,
    /// Since when its searcher accepts nothing although something waits to be written.
    pub(super) blocked_since: Option<UnixMs>,
    /// Delay until the next write is tried on a blocked link, in case nothing reports that it is writable.
    pub(super) write_retry_ms: f64,
    /// Number of frames whose writing has begun.
    pub(super) frames_begun: u64,
    /// Open calls, and the number of unfinished parts of each.
    pub(super) open_calls: BTreeMap<CallId, usize>,
    /// Part names that were sent on it, and which answer may still arrive for each.
    pub(super) expected: HashMap<Rc<str>, ExpectedAnswer>,
    /// The names in `expected` whose attempts have ended, oldest first.
    pub(super) finished_names: VecDeque<Rc<str>>,
    pub(super) probes: VecDeque<Probe>,
    /// When anything last arrived on it.
    pub(super) last_received_at: UnixMs,
    /// Something sent on it timed out and nothing has arrived since: nothing new is sent on it.
    pub(super) silent: bool,
    pub(super) idle_since: UnixMs,
    /// The time of its [`Timer::LinkIdle`], if one is set.
    pub(super) idle_timer_at: Option<UnixMs>,
}

/// The answer that may still arrive for a name that was sent on a link.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ExpectedAnswer {
    /// The answer to an open attempt.
    Attempt(AttemptId),
    /// The answer to an attempt that has ended, which must not be taken for that of a later attempt.
    Late,
    /// A duplicate of an answer that has arrived.
    Duplicate,
}

impl ExpectedAnswer {
    pub(super) fn attempt_id(self) -> Option<AttemptId> {
        if let Self::Attempt(attempt_id) = self { Some(attempt_id) } else { None }
    }
}

/// A frame that waits to be written. Its bytes are produced at the time of the write.
pub(super) enum QueuedFrame {
    Call { call: CallId, attempt_ids: Vec<AttemptId> },
    Probe,
    Cancel(Rc<str>),
}

pub(super) struct Probe {
    pub(super) number: u64,
    pub(super) sent_at: UnixMs,
    /// The number of its frame, once writing that has begun.
    pub(super) frame: Option<u64>,
    /// Its outcome has been reported to the decision module.
    pub(super) reported: bool,
}

impl Probe {
    /// Whether it was sent and has timed out. Its answer may still arrive.
    fn is_overdue(&self) -> bool {
        self.reported && self.frame.is_some()
    }
}

pub(super) struct Attempt {
    pub(super) part_name: Rc<str>,
    pub(super) link: LinkId,
    pub(super) call: CallId,
    /// The address by which the decision module knows its searcher.
    pub(super) searcher: SocketAddrV4,
    pub(super) dispatched_at: UnixMs,
    pub(super) wait_until: UnixMs,
    /// The number of its frame, once writing that has begun.
    pub(super) frame: Option<u64>,
}

/// Number of ended attempts whose names a link remembers. They cover some seconds of a link in full use, and
/// the whole lifetime of other links.
const MAX_FINISHED_NAMES: usize = 512;

impl Link {
    /// Takes the frame that is to be written next. On a closing link only cancellations are still written.
    pub(super) fn take_next_frame(&mut self) -> Option<QueuedFrame> {
        match self.state {
            LinkState::Opening => None,
            LinkState::Up => self.take_next_cancel().or_else(|| self.queue.pop_front()),
            LinkState::Closing => self.take_next_cancel(),
        }
    }

    fn take_next_cancel(&mut self) -> Option<QueuedFrame> {
        self.cancels.pop_front().map(QueuedFrame::Cancel)
    }

    /// Whether nothing is awaited on it. An overdue probe may never be answered and does not count.
    pub(super) fn is_idle(&self) -> bool {
        let awaits_no_probe = self.probes.iter().all(Probe::is_overdue);
        self.state == LinkState::Up && self.open_calls.is_empty() && awaits_no_probe
    }

    pub(super) fn has_overdue_probe(&self) -> bool {
        self.probes.iter().any(Probe::is_overdue)
    }

    /// Records that one part of a call is finished. With the last one, the call is no longer open, and is not
    /// sent any more if it is still queued.
    pub(super) fn finish_part_of_call(&mut self, call_id: CallId) {
        let Some(unfinished) = self.open_calls.get_mut(&call_id) else { return };
        *unfinished -= 1;
        if *unfinished == 0 {
            self.open_calls.remove(&call_id);
            let is_finished =
                |queued: &QueuedFrame| matches!(queued, QueuedFrame::Call { call, .. } if *call == call_id);
            self.queue.retain(|queued| !is_finished(queued));
        }
    }

    /// Records the end of an attempt. If it was sent, its answer may still arrive, or arrive again, and has
    /// to be distinguished from a later attempt's answer and from one that was never requested.
    pub(super) fn finish_attempt(&mut self, name: &Rc<str>, was_sent: bool) {
        let answered = self.expected.remove(name) == Some(ExpectedAnswer::Duplicate);
        if was_sent {
            let expected = if answered { ExpectedAnswer::Duplicate } else { ExpectedAnswer::Late };
            self.expected.insert(name.clone(), expected);
            self.finished_names.push_back(name.clone());
        }
        if self.finished_names.len() > MAX_FINISHED_NAMES
            && let Some(oldest) = self.finished_names.pop_front()
            && !matches!(self.expected.get(&oldest), Some(ExpectedAnswer::Attempt(_)))
        {
            self.expected.remove(&oldest);
        }
    }
}
