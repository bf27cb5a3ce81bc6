//! The one place that decides whether something may be sent, repeated, closed, answered as the last or ended *now*.
//!
//! Pure functions over what the reducer holds. The other parts of the reducer ask here right before they act, carry out what is
//! allowed, and count what is refused by its reason. What must never be asked for at all is a [`Violation`]: it is counted
//! and logged as an error wherever it is met, in release builds too, and tests hold its counters at zero.

use std::fmt;

use pewterwharf::interface::SearcherStatus;

use super::held::{Client, ClientStanding, Link, LinkStanding, Part, Searcher};

/// While draining, new connections are served for so long: past the 0.4 s in which they may still come.
pub(super) const LISTEN_MS: f64 = 600.0;
/// Clients get so long to close after their last answer before their connection ends.
pub(super) const LINGER_MS: f64 = 300.0;
/// The platform ends a mixer no sooner than its longest query timeout after it was told to, and this one where that is longer,
/// and 0.7 s.
const LONGEST_MS: f64 = 3000.0;
/// All queries are answered so long before the end at the latest: the process may have been held up as it was told to end.
const ANSWERED_BEFORE_MS: f64 = 150.0;
/// What a searcher is told may be more than its client has left by so much.
const DEADLINE_SLACK_MS: f64 = 150.0;

/// Why an attempt is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendRefusal {
    /// Its query was answered, or its client has gone.
    QueryOver,
    /// Its client's connection has ended, though nobody has told so yet.
    ClientLeft,
    /// What it would be waited for is over.
    TimeIsUp,
    /// The part's answer has come from another attempt.
    PartAnswered,
    /// An earlier attempt may have run and the class allows none after it.
    MayHaveRun,
    /// An earlier attempt may have run and the window for repeats is over.
    WindowPassed,
    /// More attempts than the deployment allows.
    AttemptsUsedUp,
    /// The searcher drains or is gone.
    SearcherNotReady,
    /// The link leads to where the searcher was.
    SearcherMoved,
}

impl fmt::Display for SendRefusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::QueryOver => "its query is over",
            Self::ClientLeft => "its client has left",
            Self::TimeIsUp => "its time is up",
            Self::PartAnswered => "the part is answered",
            Self::MayHaveRun => "an earlier attempt may have run",
            Self::WindowPassed => "the window for repeats is over",
            Self::AttemptsUsedUp => "no further attempt is allowed",
            Self::SearcherNotReady => "the searcher takes nothing new",
            Self::SearcherMoved => "the searcher has moved",
        })
    }
}

impl SendRefusal {
    /// Whether the decision module should not have asked for it, whatever happened while the attempt waited for its link.
    pub(super) fn is_violation(self) -> bool {
        matches!(self, Self::MayHaveRun)
    }

    /// Whether the decision module calls the attempt off by itself.
    pub(super) fn is_called_off(self) -> bool {
        matches!(self, Self::QueryOver | Self::ClientLeft | Self::PartAnswered)
    }
}

/// Whether the attempt with this number of a part, waited for until then, may be sent to a searcher on a link now, its first byte as
/// well as the rest.
pub(super) fn may_send(
    part: &Part,
    number: u8,
    until: f64,
    allowed: u32,
    searcher: Option<&Searcher>,
    link: &Link,
    now: f64,
) -> Result<(), SendRefusal> {
    if u32::from(number) >= allowed {
        return Err(SendRefusal::AttemptsUsedUp);
    }
    if part.value.is_some() {
        return Err(SendRefusal::PartAnswered);
    }
    if now >= until {
        return Err(SendRefusal::TimeIsUp);
    }
    if part.may_have_run > 0 && part.repeat_until == f64::NEG_INFINITY {
        return Err(SendRefusal::MayHaveRun);
    }
    if part.may_have_run > 0 && now >= part.repeat_until {
        return Err(SendRefusal::WindowPassed);
    }
    let searcher =
        searcher.filter(|s| s.life == SearcherStatus::Ready).ok_or(SendRefusal::SearcherNotReady)?;
    if searcher.addr != link.addr {
        return Err(SendRefusal::SearcherMoved);
    }
    Ok(())
}

/// Why a client's connection is closed, or is to be once what it sent is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientCloseReason {
    /// Others need its place.
    Room,
    /// It rests, and half of the places are taken.
    Crowded,
    /// The mixer drains.
    Draining,
    /// It had its last answer and its time to close.
    LastAnswerGiven,
}

impl fmt::Display for ClientCloseReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Room => "others need its place",
            Self::Crowded => "it rests while places are scarce",
            Self::Draining => "the mixer drains",
            Self::LastAnswerGiven => "it had its last answer and its time",
        })
    }
}

/// Whether a client's connection may be closed now for that reason. One that awaits an answer may not.
pub(super) fn may_close_client(client: &Client, reason: ClientCloseReason, draining: bool, now: f64) -> bool {
    if client.scan.is_some() {
        return false;
    }
    let over = client.standing == ClientStanding::Over;
    match reason {
        ClientCloseReason::Room | ClientCloseReason::Crowded => !client.hung,
        ClientCloseReason::Draining => !over && !client.hung,
        ClientCloseReason::LastAnswerGiven => {
            // While draining, one that still sends has until it closes, or until the end.
            let stays = client.slow || (client.sends && draining);
            over && !stays && now >= client.since + LINGER_MS
        }
    }
}

/// Once hung up on, a client has what was read behind its request answered for so long: several slow ones, and no flood for ever.
const BEHIND_MS: f64 = 1000.0;

/// Until when a client that is hung up on at `now` has what was read behind its request answered.
pub(super) fn serves_behind_until(now: f64) -> f64 {
    now + BEHIND_MS
}

/// The same for the clients of a draining mixer: half of the time up to its end; the rest is for them to read it.
pub(super) fn drain_serves_behind_until(listen_until: f64, until: f64) -> f64 {
    let began = listen_until - LISTEN_MS;
    began + (until - began) / 2.0
}

/// Requests of a client that are refused after that, so that what was read is answered, and no flood is.
const REFUSED_BEHIND: u32 = 16;

/// Until when what a client sent behind its request is answered as usual, while the mixer drains or once it was hung up on.
pub(super) fn serves_until(client: &Client, drain_serves_until: Option<f64>) -> Option<f64> {
    drain_serves_until.into_iter().chain(client.hung_until).reduce(f64::min)
}

/// Whether an answer to a client ends its connection. While draining (then until when what was read behind is served is given), or
/// once hung up on, one whose further requests were read already has them answered first: served for a while, then some refused.
pub(super) fn is_last_answer(client: &Client, drain_serves_until: Option<f64>, now: f64) -> bool {
    let Some(until) = serves_until(client, drain_serves_until) else { return client.close };
    let over = now >= until && client.refused_behind >= REFUSED_BEHIND;
    client.close || !client.sent_behind || over
}

/// Whether a query is refused as it stands before others of a client whose time to have them served is over.
pub(super) fn is_refused_before_others(client: &Client, drain_serves_until: Option<f64>, now: f64) -> bool {
    client.sent_behind && serves_until(client, drain_serves_until).is_some_and(|until| now >= until)
}

/// When the end of a mixer asked to end at `now` begins and is over at the latest: until when new connections are served, and by
/// when all has to be answered as the platform waits no longer.
pub(super) fn drain_times(now: f64, longest_query_timeout_ms: f64) -> (f64, f64) {
    (now + LISTEN_MS, now + longest_query_timeout_ms.min(LONGEST_MS) + LISTEN_MS)
}

/// By when the queries of a draining mixer are answered whose end is at `until` at the latest; what is left is for slow clients.
pub(super) fn drain_answers_until(until: f64) -> f64 {
    until - ANSWERED_BEFORE_MS
}

/// Until when a client holds up the end of a draining mixer that stopped listening; `until`: by when the platform ends the process.
///
/// Each client that has not had its last answer was hung up on by then. The thread that reads tells of its end, unless a request of it
/// has begun to come, which may not be known here yet. What is not yet written, and who still sends, holds the end up as well.
pub(super) fn client_holds_end_until(client: &Client, until: f64) -> f64 {
    let is_over = client.standing == ClientStanding::Over;
    if is_over && !client.slow && !client.sends { client.since + LINGER_MS } else { until }
}

/// When a query is answered at the latest: nobody waits for longer than agreed, whatever time is given, nor beyond the end of a
/// mixer that drains.
pub(super) fn query_deadline(now: f64, wait_ms: f64, query_timeout_ms: f64, ends_at: Option<f64>) -> f64 {
    let deadline_at = now + wait_ms.min(query_timeout_ms);
    ends_at.map_or(deadline_at, |ends_at| deadline_at.min(ends_at))
}

/// Whether a query of so many parts finds room beside what is open.
pub(super) fn may_take_query(open: usize, parts: usize, cap: usize) -> bool {
    open + 1 + parts <= cap
}

/// Why a link to a searcher is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkCloseReason {
    /// What was sent on it timed out and nothing came since.
    Silent,
    /// The decision module doubts idle connections.
    Doubted,
    /// Another searcher needs its place.
    Room,
    /// Its searcher is at another address now.
    Moved,
    /// Idle for nearly as long as searchers keep connections.
    Idle,
    /// Its searcher takes nothing though something waits for that.
    Stuck,
    /// What came on it can't be used.
    Unusable,
    /// It ended by itself.
    Ended,
}

impl fmt::Display for LinkCloseReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Silent => "silent",
            Self::Doubted => "doubted while idle",
            Self::Room => "for room",
            Self::Moved => "its searcher has moved",
            Self::Idle => "idle",
            Self::Stuck => "stuck",
            Self::Unusable => "unusable",
            Self::Ended => "ended",
        })
    }
}

/// Whether a link may be closed now for that reason. Attempts that are out on it would end as reset.
pub(super) fn may_close_link(link: &Link, reason: LinkCloseReason) -> bool {
    let free = match reason {
        LinkCloseReason::Stuck | LinkCloseReason::Unusable | LinkCloseReason::Ended => true,
        LinkCloseReason::Silent => link.calls.is_empty(),
        _ => link.idle(),
    };
    free && link.standing != LinkStanding::Closing
}

/// What must never happen, whatever is met outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Violation {
    /// The decision module asked for a send that no crossing of events explains.
    Send,
    /// An answer for a client that awaits none.
    Answer,
    /// A searcher would have been told more time than its client has left.
    Deadline,
    /// A query was open when the process ended, or without a client that awaits its answer.
    Unanswered,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Send => "a send that is never allowed",
            Self::Answer => "an answer that nobody awaits",
            Self::Deadline => "a deadline beyond the client's",
            Self::Unanswered => "a query that gets no answer",
        })
    }
}

/// Whether a searcher may be told to have until then, where the client gives up at `deadline_at`.
pub(super) fn is_within_deadline(told_until: f64, deadline_at: f64) -> bool {
    told_until <= deadline_at + DEADLINE_SLACK_MS
}
