//! The reducer's part for links: connections to searchers, what waits for them, probes on them, and why they close.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddrV4;

use pewterwharf::interface::{DispatchOutcome, Event};
use tracing::debug;

use super::Reducer;
use super::held::{AttemptId, Awaits, Due, Link, LinkStanding, Probe, Queued};
use super::rules::{self, LinkCloseReason};
use crate::frame;
use crate::inputs::Effect;

/// Part of the searchers' idle time after which a link is closed here, so that no dispatch meets a close.
const IDLE: f64 = 0.8;

impl Reducer {
    pub(super) fn bad_frame(&mut self, now: f64, link: u64, why: &str) {
        self.counters.frames_bad += 1;
        if let Some(at) = self.links.get(&link) {
            let line = format!("a link to {} is closed after {why}", at.addr);
            self.warn(now, &line);
        }
        self.close_link(link, LinkCloseReason::Unusable);
    }

    pub(super) fn probe(&mut self, now: f64, srv: SocketAddrV4) {
        self.counters.probes += 1;
        let Some(id) = self.links_to(srv).first().copied().or_else(|| self.connect(now, srv)) else {
            let ending = DispatchOutcome::ConnectFailed;
            return self.events.push(Event::ProbeEnded { searcher: srv, outcome: ending, took_ms: 0.0 });
        };
        let number = self.id();
        self.add_due(now + self.terms.connect_timeout_ms, Due::ProbeTimedOut { link: id, number });
        let Some(link) = self.links.get_mut(&id) else { return };
        link.probes.push_back(Probe { number, sent_at: now, frame: None, over: false });
        self.enqueue(id, Queued::Probe);
    }

    pub(super) fn time_out_probe(&mut self, now: f64, link: u64, number: u64) {
        let Some(at) = self.links.get_mut(&link) else { return };
        let Some(probe) = at.probes.iter_mut().find(|p| p.number == number && !p.over) else { return };
        probe.over = true;
        // No connection in time is told as that, whichever of the two clocks rings first.
        let ending =
            if probe.frame.is_some() { DispatchOutcome::TimedOut } else { DispatchOutcome::ConnectFailed };
        let (searcher, sent_at, took_ms) = (at.srv, probe.sent_at, now - probe.sent_at);
        self.events.push(Event::ProbeEnded { searcher, outcome: ending, took_ms });
        self.doubt(link, sent_at);
    }

    /// A link on which nothing has come since a time-out's sending may be cut off without a word, and would
    /// stay so for as long as the system tries. Others are opened; it closes once nothing is out on it.
    pub(super) fn doubt(&mut self, id: u64, sent_at: f64) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.silent |= link.standing == LinkStanding::Up && link.heard_at < sent_at;
        if link.silent {
            self.close_link(id, LinkCloseReason::Silent);
        }
    }

    /// Closes the idle links to a searcher.
    pub(super) fn hang_up_links(&mut self, srv: SocketAddrV4) {
        for link in self.links_to(srv) {
            self.close_link(link, LinkCloseReason::Doubted);
        }
    }

    /// The links that new calls and probes to a searcher may go on.
    pub(super) fn links_to(&self, srv: SocketAddrV4) -> Vec<u64> {
        let Some(srv) = self.srvs.get(&srv) else { return Vec::new() };
        let leads = |l: &Link| l.standing != LinkStanding::Closing && !l.silent && l.addr == srv.addr;
        srv.links.iter().copied().filter(|id| self.links.get(id).is_some_and(leads)).collect()
    }

    pub(super) fn connect(&mut self, now: f64, srv: SocketAddrV4) -> Option<u64> {
        let addr = self.srvs.get(&srv)?.addr;
        if self.links.len() >= self.links_cap {
            let idle = self.links.iter().find(|l| l.1.idle()).map(|l| *l.0);
            self.close_link(idle?, LinkCloseReason::Room);
        }
        let id = self.id();
        let link = Link {
            srv,
            addr,
            standing: LinkStanding::Opening,
            queue: VecDeque::new(),
            give_ups: VecDeque::new(),
            latest: None,
            blocked_since: None,
            retry_ms: 0.0,
            frames: 0,
            calls: BTreeMap::new(),
            out: HashMap::new(),
            over: VecDeque::new(),
            probes: VecDeque::new(),
            heard_at: now,
            silent: false,
            idle_since: now,
            watched: false,
        };
        self.links.insert(id, link);
        self.srvs.get_mut(&srv)?.links.push(id);
        debug!("link {id} to {addr}: opened, one of {}", self.srvs.get(&srv)?.links.len());
        self.effects.push(Effect::Connect { link: id, addr });
        Some(id)
    }

    pub(super) fn link_up(&mut self, now: f64, id: u64) {
        self.counters.links_opened += 1;
        let Some(link) = self.links.get_mut(&id) else { return };
        if link.standing == LinkStanding::Opening {
            (link.standing, link.heard_at) = (LinkStanding::Up, now);
            let waiting = link.queue.len();
            self.effects.extend((0..waiting).map(|_| Effect::Send { link: id }));
            self.rest(now, id);
        }
    }

    /// Notes when a link came to rest, and sets the time at which it is closed for that.
    pub(super) fn rest(&mut self, now: f64, id: u64) {
        let Some(link) = self.links.get_mut(&id).filter(|l| l.calls.is_empty()) else { return };
        if link.silent {
            return self.close_link(id, LinkCloseReason::Silent);
        }
        if !link.idle() {
            return;
        }
        link.idle_since = now;
        if self.srvs.get(&link.srv).is_none_or(|s| s.addr != link.addr) {
            self.close_link(id, LinkCloseReason::Moved);
        } else if !link.watched {
            link.watched = true;
            self.add_due(now + IDLE * self.terms.idle_close_ms, Due::Idle(id));
        }
    }

    pub(super) fn close_idle(&mut self, now: f64, id: u64) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.watched = false;
        let until = link.idle_since + IDLE * self.terms.idle_close_ms;
        if link.idle() && now >= until {
            self.close_link(id, LinkCloseReason::Idle);
        } else if link.idle() {
            link.watched = true;
            self.add_due(until, Due::Idle(id));
        }
    }

    pub(super) fn close_link(&mut self, id: u64, reason: LinkCloseReason) {
        let Some(link) = self.links.get_mut(&id).filter(|link| rules::may_close_link(link, reason)) else {
            return;
        };
        link.standing = LinkStanding::Closing;
        debug!("link {id} to {}: closed, {reason}", link.addr);
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
        self.effects.push(Effect::CloseLink { link: id });
    }

    /// The frame of the probe that has waited longest for a link; none if nobody waits for it any more.
    pub(super) fn probe_frame(&mut self, id: u64) -> Option<Vec<u8>> {
        let link = self.links.get_mut(&id)?;
        link.probes.retain(|p| p.frame.is_some() || !p.over);
        let probe = link.probes.iter_mut().find(|p| p.frame.is_none())?;
        probe.frame = Some(link.frames);
        Some(frame::encode_probe())
    }

    /// What was out on a link ends with it: it may have run only if its frame was written whole.
    pub(super) fn link_end(&mut self, now: f64, id: u64, written: u64) {
        let failed = self.links.get(&id).is_some_and(|l| l.standing == LinkStanding::Opening);
        self.counters.links_failed += u64::from(failed);
        self.close_link(id, LinkCloseReason::Ended);
        let Some(link) = self.links.remove(&id) else { return };
        if let Some(srv) = self.srvs.get_mut(&link.srv) {
            srv.links.retain(|l| *l != id);
        }
        let told = |frame: Option<u64>| match frame {
            Some(frame) if frame < written => DispatchOutcome::Reset,
            _ => DispatchOutcome::ConnectFailed,
        };
        for probe in link.probes.iter().filter(|p| !p.over) {
            let (searcher, ending, took_ms) = (link.srv, told(probe.frame), now - probe.sent_at);
            self.events.push(Event::ProbeEnded { searcher, outcome: ending, took_ms });
        }
        let mut attempt_ids: Vec<AttemptId> = link.out.into_values().filter_map(Awaits::attempt_id).collect();
        attempt_ids.sort_unstable();
        for attempt_id in attempt_ids {
            let ending = told(self.attempts.get(&attempt_id).and_then(|f| f.frame));
            self.end_attempt(now, attempt_id, ending);
        }
    }
}
