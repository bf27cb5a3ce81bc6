//! The rules that decide whether the mixer may now send or repeat an attempt, close a connection, give a client
//! its last answer, or end.
//!
//! All functions are pure functions of the reducer's state. The other modules of the reducer call them right
//! before they act, do only what is allowed, and count each refusal by its reason. An action that must never
//! even be attempted is a [`Violation`]: it is counted and logged as an error in every build, and tests check
//! that the counters of violations stay at zero.

use std::fmt;

use pewterwharf::interface::{Idempotency, SearcherStatus};

use super::state::{Client, ClientState, Link, LinkState, Part, Searcher};

use crate::clock::UnixMs;

/// A draining mixer accepts new connections for this long. Clients may go on opening connections for 0.4 s.
pub(super) const LISTEN_MS: f64 = 600.0;
/// Time that a client has to close its connection after its last answer.
pub(super) const LINGER_MS: f64 = 300.0;
/// The longest query timeout that the platform allows for in a drain. The platform kills a mixer that it has
/// asked to end after the mixer's longest query timeout, but no more than this, plus 0.7 s. [`drain_times`]
/// adds [`LISTEN_MS`] in place of the 0.7 s, so that a drain ends at least 0.1 s before the kill.
const MAX_DRAIN_QUERY_MS: f64 = 3000.0;
/// All queries are answered this long before the latest time to end. If the process was paused when it was
/// asked to end, the times of its drain are all too late.
const ANSWERED_BEFORE_END_MS: f64 = 150.0;
/// A searcher's timeout may end this long after its client's deadline.
const DEADLINE_SLACK_MS: f64 = 150.0;

/// Why an attempt is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendRefusal {
    /// Its query was answered, or its client has disconnected.
    QueryOver,
    /// Its client's connection has ended, although no input has reported that yet.
    ClientLeft,
    /// The time to wait for its answer is over.
    TimeIsUp,
    /// Another attempt has brought the part's answer.
    PartAnswered,
    /// An earlier attempt may have run, and the table type allows no repeats.
    MayHaveRun,
    /// An earlier attempt may have run, and the window for repeats is over.
    WindowPassed,
    /// More attempts than the deployment allows.
    AttemptsUsedUp,
    /// The searcher drains or is gone.
    SearcherNotReady,
    /// The link leads to the searcher's former address.
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
    /// Whether the decision module was wrong to request the attempt: nothing that may happen while an attempt
    /// waits for its link explains this refusal.
    pub(super) fn is_violation(self) -> bool {
        matches!(self, Self::MayHaveRun)
    }

    /// Whether the decision module cancels the attempt by itself.
    pub(super) fn is_cancelled_by_module(self) -> bool {
        matches!(self, Self::QueryOver | Self::ClientLeft | Self::PartAnswered)
    }
}

/// An attempt that is about to be sent on a link.
pub(super) struct SendRequest<'a> {
    pub(super) part: &'a Part,
    /// The number of the attempt among those of its part.
    pub(super) number: u8,
    /// Until when its answer is waited for.
    pub(super) wait_until: UnixMs,
    /// The number of attempts that the deployment allows for a part.
    pub(super) max_attempts: u32,
    pub(super) searcher: Option<&'a Searcher>,
    pub(super) link: &'a Link,
}

/// Whether an attempt may be sent now.
pub(super) fn may_send(request: &SendRequest, now: UnixMs) -> Result<(), SendRefusal> {
    let part = request.part;
    if u32::from(request.number) >= request.max_attempts {
        return Err(SendRefusal::AttemptsUsedUp);
    }
    if part.value.is_some() {
        return Err(SendRefusal::PartAnswered);
    }
    if now >= request.wait_until {
        return Err(SendRefusal::TimeIsUp);
    }
    if part.may_have_run > 0 && part.repeat_until == f64::NEG_INFINITY {
        return Err(SendRefusal::MayHaveRun);
    }
    if part.may_have_run > 0 && now >= part.repeat_until {
        return Err(SendRefusal::WindowPassed);
    }
    let is_ready = |searcher: &&Searcher| searcher.status == SearcherStatus::Ready;
    let searcher = request.searcher.filter(is_ready).ok_or(SendRefusal::SearcherNotReady)?;
    if searcher.address != request.link.address {
        return Err(SendRefusal::SearcherMoved);
    }
    Ok(())
}

/// Why a client's connection is closed, at once or after the answers to what it has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientCloseReason {
    /// Another client needs its place.
    Room,
    /// It is idle, and half of the places are taken.
    Crowded,
    /// The mixer drains.
    Draining,
    /// It had its last answer and its time to close.
    LastAnswerGiven,
}

impl fmt::Display for ClientCloseReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Room => "another client needs its place",
            Self::Crowded => "it is idle while places are scarce",
            Self::Draining => "the mixer drains",
            Self::LastAnswerGiven => "it had its last answer and its time to close",
        })
    }
}

/// Whether a client's connection may be closed now for that reason. A client with an open scan may not.
pub(super) fn may_close_client(
    client: &Client,
    reason: ClientCloseReason,
    draining: bool,
    now: UnixMs,
) -> bool {
    if client.scan.is_some() {
        return false;
    }
    let is_finished = client.state == ClientState::Finished;
    match reason {
        ClientCloseReason::Room | ClientCloseReason::Crowded => !client.closing,
        ClientCloseReason::Draining => !is_finished && !client.closing,
        ClientCloseReason::LastAnswerGiven => {
            // While draining, a client that still sends may stay until it closes, or until the end.
            let stays = client.answer_delayed || (client.still_sends && draining);
            is_finished && !stays && now >= client.state_since + LINGER_MS
        }
    }
}

/// How long requests are served that were buffered when their client's connection began to close. This is
/// enough for several slow requests. Without a limit, a client that sends without end would be served without
/// end.
const SERVE_BUFFERED_MS: f64 = 1000.0;

/// The time until which a client's buffered requests are served if its connection begins to close at `now`.
pub(super) fn serves_buffered_until(now: UnixMs) -> UnixMs {
    now + SERVE_BUFFERED_MS
}

/// The time until which a draining mixer serves buffered requests: the middle of the drain. Its second half is
/// left to the clients for reading the answers.
pub(super) fn drain_serves_buffered_until(listen_until: UnixMs, until: UnixMs) -> UnixMs {
    let began_at = listen_until - LISTEN_MS;
    began_at + (until - began_at) / 2.0
}

/// Once buffered requests are no longer served, this many of a client are refused before its connection ends.
/// Without a limit, a client that sends without end would stay connected.
const MAX_BUFFERED_REFUSED: u32 = 16;

/// The time until which a client's buffered requests are served; `None` unless the mixer drains or the
/// connection is closing.
pub(super) fn serves_until(client: &Client, drain_serves_until: Option<UnixMs>) -> Option<UnixMs> {
    drain_serves_until.into_iter().chain(client.serves_buffered_until).reduce(f64::min)
}

/// Whether an answer to a client is the last on its connection. While the mixer drains (`drain_serves_until` is
/// given) or the connection is closing, requests that have already been read are answered first: they are
/// served up to a time, and after that a limited number is refused.
pub(super) fn is_last_answer(client: &Client, drain_serves_until: Option<UnixMs>, now: UnixMs) -> bool {
    let Some(until) = serves_until(client, drain_serves_until) else { return client.close_after_answer };
    let is_flooding = now >= until && client.buffered_refused >= MAX_BUFFERED_REFUSED;
    client.close_after_answer || !client.has_buffered_data || is_flooding
}

/// Whether a query is refused although its client is connected: more requests are buffered behind it, and the
/// time for which buffered requests are served is over.
pub(super) fn is_buffered_refused(client: &Client, drain_serves_until: Option<UnixMs>, now: UnixMs) -> bool {
    client.has_buffered_data && serves_until(client, drain_serves_until).is_some_and(|until| now >= until)
}

/// The schedule of a drain.
pub(super) struct DrainTimes {
    /// Until when new connections are served.
    pub(super) listen_until: UnixMs,
    /// When everything has to be answered, as the platform waits no longer.
    pub(super) until: UnixMs,
}

/// The schedule of a mixer that is asked to end at `now`.
pub(super) fn drain_times(now: UnixMs, longest_query_timeout_ms: f64) -> DrainTimes {
    DrainTimes {
        listen_until: now + LISTEN_MS,
        until: now + longest_query_timeout_ms.min(MAX_DRAIN_QUERY_MS) + LISTEN_MS,
    }
}

/// The time by which a draining mixer has answered all queries if it ends at `until` at the latest. The time in
/// between is for clients that read slowly.
pub(super) fn drain_answers_until(until: UnixMs) -> UnixMs {
    until - ANSWERED_BEFORE_END_MS
}

/// The time until which a client delays the end of a draining mixer that no longer listens. `until` is the
/// latest time to end.
///
/// A client that has had its last answer delays the end only for its time to close, unless that answer is not
/// written completely or the client still sends. Any other client is being closed by now, and the reading
/// thread reports when that is done. It may instead have a request that has begun to arrive and is not reported
/// yet, so it delays the end up to `until`.
pub(super) fn client_delays_end_until(client: &Client, until: UnixMs) -> UnixMs {
    let is_finished = client.state == ClientState::Finished;
    if is_finished && !client.answer_delayed && !client.still_sends {
        client.state_since + LINGER_MS
    } else {
        until
    }
}

/// The deadline of a query: the time until which its client waits, limited by the query timeout of its table
/// type and by the end of a draining mixer.
pub(super) fn query_deadline(
    now: UnixMs,
    wait_ms: f64,
    query_timeout_ms: f64,
    ends_at: Option<UnixMs>,
) -> UnixMs {
    let deadline_at = now + wait_ms.min(query_timeout_ms);
    ends_at.map_or(deadline_at, |ends_at| deadline_at.min(ends_at))
}

/// Until when the parts of a query that is received at `now` may be sent again although an earlier attempt may
/// have run: infinity for parts that can be repeated, minus infinity for parts that must not be.
pub(super) fn repeat_until(now: UnixMs, idempotency: Idempotency) -> UnixMs {
    match idempotency {
        Idempotency::Replayable => f64::INFINITY,
        Idempotency::Keyed { window_ms } => now + window_ms,
        Idempotency::NonReplayable => f64::NEG_INFINITY,
    }
}

/// Whether a query with that many parts fits under the cap on open queries and parts.
pub(super) fn may_take_query(open: usize, parts: usize, cap: usize) -> bool {
    open + 1 + parts <= cap
}

/// Why a link to a searcher is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkCloseReason {
    /// Something sent on it timed out and nothing has arrived since, or a probe on it is still not answered
    /// when the next one is due.
    Silent,
    /// The decision module suspects that idle connections are broken.
    Doubted,
    /// Another searcher needs its place.
    Room,
    /// Its searcher has another address now.
    Moved,
    /// Idle for nearly as long as searchers keep idle connections.
    Idle,
    /// Its searcher accepts nothing although something waits to be written.
    Stuck,
    /// Something unusable arrived on it.
    Unusable,
    /// The searcher closed it, or it failed.
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

/// Whether a link may be closed now for that reason. A link with open attempts is closed only if it can't be
/// used any more, as closing it ends them as reset.
pub(super) fn may_close_link(link: &Link, reason: LinkCloseReason) -> bool {
    let reason_allows = match reason {
        LinkCloseReason::Stuck | LinkCloseReason::Unusable | LinkCloseReason::Ended => true,
        LinkCloseReason::Silent => link.open_calls.is_empty(),
        _ => link.is_idle(),
    };
    reason_allows && link.state != LinkState::Closing
}

/// What must never happen, whatever clients, searchers and discovery do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Violation {
    /// The decision module requested a send that no race between events can explain.
    Send,
    /// An answer to a client that awaits none.
    Answer,
    /// A searcher would have been given more time than its client has left.
    Deadline,
    /// A client still awaited its answer when the process ended.
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

/// Whether a searcher may be given time until `wait_until` if the client gives up at `deadline_at`.
pub(super) fn is_within_deadline(wait_until: UnixMs, deadline_at: UnixMs) -> bool {
    wait_until <= deadline_at + DEADLINE_SLACK_MS
}
