//! Links: connections to searchers, probes on them, and the reasons why they close.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddrV4;

use pewterwharf::interface::{DispatchOutcome, Event};
use tracing::debug;

use super::Reducer;
use super::rules::{self, LinkCloseReason};
use super::state::{AttemptId, ExpectedAnswer, Link, LinkState, Probe, QueuedFrame, Timer};
use crate::clock::UnixMs;
use crate::frame;
use crate::inputs::{Effect, LinkId};

/// An idle link is closed after this share of the time after which searchers close idle connections, so that no
/// call is sent while its searcher closes the connection.
const IDLE_SHARE: f64 = 0.8;

impl Reducer {
    /// Closes a link after an unusable frame.
    pub(super) fn reject_frame(&mut self, now: UnixMs, link_id: LinkId, reason: &str) {
        self.counters.frames_bad += 1;
        if let Some(link) = self.links.get(&link_id) {
            let line = format!("a link to {} is closed after {reason}", link.address);
            self.warn(now, &line);
        }
        self.close_link(link_id, LinkCloseReason::Unusable);
    }

    pub(super) fn probe(&mut self, now: UnixMs, searcher: SocketAddrV4) {
        self.counters.probes += 1;
        let link_id = self.link_for_probe(searcher).or_else(|| self.connect(now, searcher));
        let Some(link_id) = link_id else {
            let outcome = DispatchOutcome::ConnectFailed;
            return self.events.push(Event::ProbeEnded { searcher, outcome, took_ms: 0.0 });
        };
        let number = self.next_id();
        self.add_timer(now + self.config.connect_timeout_ms, Timer::ProbeTimeout { link: link_id, number });
        let Some(link) = self.links.get_mut(&link_id) else { return };
        link.probes.push_back(Probe { number, sent_at: now, frame: None, reported: false });
        self.enqueue(link_id, QueuedFrame::Probe);
    }

    /// A usable link on which no probe is overdue. Answers to probes carry no id and are assigned in order: if
    /// the answer to an overdue probe is lost, each later answer on its link would be assigned to the probe
    /// before. Links with an overdue probe are closed, unless calls are open on them.
    fn link_for_probe(&mut self, searcher: SocketAddrV4) -> Option<LinkId> {
        let has_overdue_probe =
            |link_id: &LinkId| self.links.get(link_id).is_some_and(Link::has_overdue_probe);
        let (overdue, others): (Vec<LinkId>, Vec<LinkId>) =
            self.usable_links(searcher).into_iter().partition(has_overdue_probe);
        for link_id in overdue {
            self.close_link(link_id, LinkCloseReason::Silent);
        }
        others.first().copied()
    }

    pub(super) fn time_out_probe(&mut self, now: UnixMs, link_id: LinkId, number: u64) {
        let Some(link) = self.links.get_mut(&link_id) else { return };
        let Some(probe) = link.probes.iter_mut().find(|p| p.number == number && !p.reported) else { return };
        probe.reported = true;
        // A connection that is not established in time is reported as failed, whichever of the two timeouts
        // fires first.
        let outcome =
            if probe.frame.is_some() { DispatchOutcome::TimedOut } else { DispatchOutcome::ConnectFailed };
        let sent_at = probe.sent_at;
        self.events.push(Event::ProbeEnded { searcher: link.searcher, outcome, took_ms: now - sent_at });
        self.check_silent(link_id, sent_at);
        self.check_idle(now, link_id);
    }

    /// Marks a link as silent if something sent on it has timed out and nothing has arrived since. The network
    /// may have cut the connection without a close, and the operating system keeps such a connection for as
    /// long as it retransmits. New calls use other links, and this one is closed once no call is open on it.
    pub(super) fn check_silent(&mut self, link_id: LinkId, sent_at: UnixMs) {
        let Some(link) = self.links.get_mut(&link_id) else { return };
        link.silent |= link.state == LinkState::Up && link.last_received_at < sent_at;
        if link.silent {
            self.close_link(link_id, LinkCloseReason::Silent);
        }
    }

    pub(super) fn close_idle_links(&mut self, searcher: SocketAddrV4) {
        for link_id in self.usable_links(searcher) {
            self.close_link(link_id, LinkCloseReason::Doubted);
        }
    }

    /// The links to a searcher on which new calls and probes may be sent.
    pub(super) fn usable_links(&self, searcher: SocketAddrV4) -> Vec<LinkId> {
        let Some(searcher) = self.searchers.get(&searcher) else { return Vec::new() };
        let is_usable = |link: &Link| {
            link.state != LinkState::Closing && !link.silent && link.address == searcher.address
        };
        searcher.links.iter().copied().filter(|id| self.links.get(id).is_some_and(is_usable)).collect()
    }

    /// Opens a link to a searcher. If the number of links is at its limit, an idle one is closed first; `None`
    /// if none is idle.
    pub(super) fn connect(&mut self, now: UnixMs, searcher: SocketAddrV4) -> Option<LinkId> {
        let address = self.searchers.get(&searcher)?.address;
        if self.links.len() >= self.max_links {
            let idle = self.links.iter().find(|(_, link)| link.is_idle()).map(|(id, _)| *id);
            self.close_link(idle?, LinkCloseReason::Room);
        }
        let link_id = self.next_id();
        let link = Link {
            searcher,
            address,
            state: LinkState::Opening,
            queue: VecDeque::new(),
            cancels: VecDeque::new(),
            last_frame: None,
            blocked_since: None,
            write_retry_ms: 0.0,
            frames_begun: 0,
            open_calls: BTreeMap::new(),
            expected: HashMap::new(),
            finished_names: VecDeque::new(),
            probes: VecDeque::new(),
            last_received_at: now,
            silent: false,
            idle_since: now,
            idle_timer_at: None,
        };
        self.links.insert(link_id, link);
        let links = &mut self.searchers.get_mut(&searcher)?.links;
        links.push(link_id);
        debug!("link {link_id} to {address}: opened, one of {}", links.len());
        self.effects.push(Effect::Connect { link: link_id, address });
        Some(link_id)
    }

    pub(super) fn link_up(&mut self, now: UnixMs, link_id: LinkId) {
        self.counters.links_opened += 1;
        let Some(link) = self.links.get_mut(&link_id) else { return };
        if link.state == LinkState::Opening {
            link.state = LinkState::Up;
            link.last_received_at = now;
            let waiting = link.queue.len();
            self.effects.extend((0..waiting).map(|_| Effect::Send { link: link_id }));
            self.check_idle(now, link_id);
        }
    }

    /// Starts the idle timer of a link that has become idle, or closes the link if it must not be used again.
    pub(super) fn check_idle(&mut self, now: UnixMs, link_id: LinkId) {
        let Some(link) = self.links.get_mut(&link_id).filter(|link| link.open_calls.is_empty()) else {
            return;
        };
        if link.silent {
            return self.close_link(link_id, LinkCloseReason::Silent);
        }
        if !link.is_idle() {
            return;
        }
        link.idle_since = now;
        if self.searchers.get(&link.searcher).is_none_or(|searcher| searcher.address != link.address) {
            self.close_link(link_id, LinkCloseReason::Moved);
        } else if link.idle_timer_at.is_none() {
            self.set_link_idle_timer(now + IDLE_SHARE * self.config.idle_close_ms, link_id);
        }
    }

    pub(super) fn close_if_idle(&mut self, now: UnixMs, link_id: LinkId) {
        let Some(link) = self.links.get_mut(&link_id) else { return };
        link.idle_timer_at = None;
        let until = link.idle_since + IDLE_SHARE * self.config.idle_close_ms;
        if link.is_idle() && now >= until {
            self.close_link(link_id, LinkCloseReason::Idle);
        } else if link.is_idle() {
            self.set_link_idle_timer(until, link_id);
        }
    }

    fn set_link_idle_timer(&mut self, at: UnixMs, link_id: LinkId) {
        if let Some(link) = self.links.get_mut(&link_id) {
            link.idle_timer_at = Some(at);
            self.add_timer(at, Timer::LinkIdle(link_id));
        }
    }

    pub(super) fn close_link(&mut self, link_id: LinkId, reason: LinkCloseReason) {
        let may_close = |link: &&mut Link| rules::may_close_link(link, reason);
        let Some(link) = self.links.get_mut(&link_id).filter(may_close) else { return };
        link.state = LinkState::Closing;
        debug!("link {link_id} to {}: closed, {reason}", link.address);
        let count = match reason {
            LinkCloseReason::Silent => &mut self.counters.links_closed_silent,
            LinkCloseReason::Doubted => &mut self.counters.links_closed_doubted,
            LinkCloseReason::Room => &mut self.counters.links_closed_for_room,
            LinkCloseReason::Moved => &mut self.counters.links_closed_moved,
            LinkCloseReason::Idle => &mut self.counters.links_closed_idle,
            LinkCloseReason::Stuck => &mut self.counters.links_closed_stuck,
            LinkCloseReason::Unusable => &mut self.counters.links_closed_unusable,
            LinkCloseReason::Ended => &mut self.counters.links_ended,
        };
        *count += 1;
        self.effects.push(Effect::CloseLink { link: link_id });
    }

    /// The frame of the oldest probe that is not sent yet on a link; `None` if there is none. Probes that timed
    /// out unsent are dropped.
    pub(super) fn probe_frame(&mut self, link_id: LinkId) -> Option<Vec<u8>> {
        let link = self.links.get_mut(&link_id)?;
        link.probes.retain(|p| p.frame.is_some() || !p.reported);
        let probe = link.probes.iter_mut().find(|p| p.frame.is_none())?;
        probe.frame = Some(link.frames_begun);
        Some(frame::encode_probe())
    }

    /// Ends everything that is open on a closed link. An attempt may have run only if its frame was written
    /// completely.
    pub(super) fn link_closed(&mut self, now: UnixMs, link_id: LinkId, frames_written: u64) {
        let failed = self.links.get(&link_id).is_some_and(|link| link.state == LinkState::Opening);
        self.counters.links_failed += u64::from(failed);
        self.close_link(link_id, LinkCloseReason::Ended);
        let Some(link) = self.links.remove(&link_id) else { return };
        if let Some(at) = link.idle_timer_at {
            self.remove_timer(at, Timer::LinkIdle(link_id));
        }
        if let Some(searcher) = self.searchers.get_mut(&link.searcher) {
            searcher.links.retain(|id| *id != link_id);
        }
        let outcome_of = |frame: Option<u64>| match frame {
            Some(frame) if frame < frames_written => DispatchOutcome::Reset,
            _ => DispatchOutcome::ConnectFailed,
        };
        for probe in link.probes.iter().filter(|p| !p.reported) {
            let outcome = outcome_of(probe.frame);
            let took_ms = now - probe.sent_at;
            self.events.push(Event::ProbeEnded { searcher: link.searcher, outcome, took_ms });
        }
        let mut attempt_ids: Vec<AttemptId> =
            link.expected.into_values().filter_map(ExpectedAnswer::attempt_id).collect();
        attempt_ids.sort_unstable();
        for attempt_id in attempt_ids {
            let outcome = outcome_of(self.attempts.get(&attempt_id).and_then(|attempt| attempt.frame));
            self.end_attempt(now, attempt_id, outcome);
        }
    }
}
