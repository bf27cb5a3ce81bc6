//! The reducer's part for searchers: dispatches, probes, the links they go out on, and the list.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;

use pewterwharf::interface::{Ending, Event, Life, ListKind, Listed};
use pewterwharf_terms::Change;
use pewterwharf_terms::list::{Entry, List};
use tracing::{debug, info};

use super::Reducer;
use super::held::{Attempt, AttemptId, Awaits, Due, Link, LinkStanding, Probe, Queued, Searcher};
use crate::frame::{self, Frame, Piece, Verdict};
use crate::inputs::{Effect, Phase};

/// Part of the searchers' idle time after which a link is closed here, so that no dispatch meets a close.
const IDLE: f64 = 0.8;

/// What a list is against the one that is held.
#[derive(Clone, Copy, PartialEq)]
enum News {
    Newer,
    /// Of the same place, by its number.
    Older,
    /// The first of another place: its versions are numbered anew, and it may not have heard all that the last one told.
    OtherPlace,
}

impl Reducer {
    pub(super) fn dispatch(
        &mut self,
        now: f64,
        part: u64,
        srv: SocketAddrV4,
        patience_ms: f64,
    ) -> Option<AttemptId> {
        let Some(held) = self.parts.get_mut(&part) else {
            self.warn(now, "a part that is over was dispatched");
            return None;
        };
        let attempt_id = (part, held.sent);
        held.sent = held.sent.saturating_add(1);
        self.counters.dispatches += 1;
        self.counters.dispatches_further += u64::from(attempt_id.1 > 0);
        let (until, name) = (now + patience_ms, held.name.clone());
        self.attempts
            .insert(attempt_id, Attempt { name, link: 0, call: 0, srv, sent_at: now, until, frame: None });
        if u32::from(attempt_id.1) >= self.terms.permits.dispatches {
            self.end_attempt(now, attempt_id, Ending::Moot);
            return None;
        }
        self.add_due(until, Due::TimedOut(attempt_id));
        Some(attempt_id)
    }

    /// Sends a call on the first link with room, or on a new one.
    pub(super) fn send(&mut self, now: f64, srv: SocketAddrV4, attempt_ids: &[AttemptId]) {
        let names: Vec<&Rc<str>> =
            attempt_ids.iter().filter_map(|l| Some(&self.attempts.get(l)?.name)).collect();
        let links = self.links_to(srv);
        let fits = |id: &&u64| {
            self.links.get(id).is_some_and(|link| {
                link.calls.len() < self.terms.calls_per_link
                    // An answer to an earlier dispatch of a part must not be taken for this one's.
                    && !names.iter().any(|name| link.out.get(*name).is_some_and(|o| *o != Awaits::Copy))
            })
        };
        let link = links.iter().find(fits).copied().or_else(|| self.connect(now, srv));
        let Some(id) = link else {
            attempt_ids
                .iter()
                .for_each(|attempt_id| self.end_attempt(now, *attempt_id, Ending::ConnectFailed));
            return;
        };
        let call = self.id();
        for attempt_id in attempt_ids {
            let Some(attempt) = self.attempts.get_mut(attempt_id) else { continue };
            (attempt.link, attempt.call) = (id, call);
            if let Some(link) = self.links.get_mut(&id) {
                *link.calls.entry(call).or_default() += 1;
                link.out.insert(attempt.name.clone(), Awaits::Answer(*attempt_id));
            }
        }
        let Some(link) = self.links.get_mut(&id) else { return };
        link.queue.push_back(Queued::Call(call, attempt_ids.to_vec()));
        if link.standing == LinkStanding::Up {
            self.flush(now, id);
        }
    }

    /// Hands over for writing what waits for a link.
    fn flush(&mut self, now: f64, id: u64) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let mut past = Vec::new();
        while let Some(queued) = link.queue.pop_front() {
            let bytes = match queued {
                Queued::Probe => {
                    link.probes.retain(|p| p.frame.is_some() || !p.over); // nobody waits for it any more
                    let Some(probe) = link.probes.iter_mut().find(|p| p.frame.is_none()) else { continue };
                    probe.frame = Some(link.frames);
                    frame::probe()
                }
                Queued::Call(call, mut attempt_ids) => {
                    attempt_ids.retain(|attempt_id| {
                        let waits = self.attempts.get(attempt_id).is_some_and(|f| f.call == call);
                        let Some(part) = self.parts.get_mut(&attempt_id.0).filter(|_| waits) else {
                            return false;
                        };
                        // A copy that waited for this link may not be needed any more.
                        if part.value.is_some() {
                            return false;
                        }
                        // A keyed part's window may have ended while the call waited for its link.
                        if part.may_have_run > 0 && now >= part.repeat_until {
                            past.push(*attempt_id);
                            return false;
                        }
                        part.may_have_run += 1;
                        true
                    });
                    let mut pieces = Vec::new();
                    for attempt_id in &attempt_ids {
                        let part = self.parts.get(&attempt_id.0);
                        let scan = part.and_then(|p| self.scans.get(&p.scan));
                        let attempt = self.attempts.get_mut(attempt_id);
                        let (Some(attempt), Some(part), Some(scan)) = (attempt, part, scan) else { continue };
                        attempt.frame = Some(link.frames);
                        let wait_ms = (attempt.until - now).max(1.0) as u64;
                        pieces.push(Piece { id: &part.name, shard: part.shard, wait_ms, text: &scan.text });
                    }
                    if pieces.is_empty() {
                        continue;
                    }
                    frame::call(&pieces)
                }
            };
            link.frames += 1;
            self.effects.push(Effect::Write { link: id, bytes });
        }
        past.into_iter().for_each(|attempt_id| self.end_attempt(now, attempt_id, Ending::Moot));
    }

    pub(super) fn time_out(&mut self, now: f64, attempt_id: AttemptId) {
        let Some(attempt) = self.attempts.get(&attempt_id) else { return };
        // What still waits for its connection was never sent.
        let ending = if attempt.frame.is_some() { Ending::TimedOut } else { Ending::Moot };
        let (link, sent_at) = (attempt.link, attempt.sent_at);
        self.give_up(now, attempt_id, ending);
        self.doubt(link, sent_at);
    }

    /// Stops waiting for a dispatch, and tells its searcher where that may be done.
    pub(super) fn give_up(&mut self, now: f64, attempt_id: AttemptId, ending: Ending) {
        let Some(attempt) = self.attempts.get(&attempt_id) else { return };
        if attempt.frame.is_some()
            && self.terms.permits.cancel
            && let Some(link) = self.links.get_mut(&attempt.link)
            && link.standing == LinkStanding::Up
        {
            link.frames += 1;
            let bytes = frame::give_up(&attempt.name);
            self.effects.push(Effect::Write { link: attempt.link, bytes });
        }
        self.end_attempt(now, attempt_id, ending);
    }

    fn end_attempt(&mut self, now: f64, attempt_id: AttemptId, ending: Ending) {
        self.end_reported(now, attempt_id, ending, None);
    }

    /// The one ending of a dispatch, with the busy share that its searcher reported.
    fn end_reported(&mut self, now: f64, attempt_id: AttemptId, ending: Ending, busy: Option<f64>) {
        let Some(attempt) = self.attempts.remove(&attempt_id) else { return };
        let count = match ending {
            Ending::Ok => &mut self.counters.ended_ok,
            Ending::Error => &mut self.counters.ended_error,
            Ending::Full => &mut self.counters.ended_full,
            Ending::TimedOut => &mut self.counters.ended_timed_out,
            Ending::ConnectFailed => &mut self.counters.ended_connect_failed,
            Ending::Reset => &mut self.counters.ended_reset,
            Ending::Cancelled => &mut self.counters.ended_cancelled,
            Ending::Moot => &mut self.counters.ended_moot,
        };
        *count += 1;
        if let Some(part) =
            self.parts.get_mut(&attempt_id.0).filter(|_| attempt.frame.is_some() && ending.never_ran())
        {
            part.may_have_run = part.may_have_run.saturating_sub(1);
        }
        let took_ms = now - attempt.sent_at;
        if let Some(link) = self.links.get_mut(&attempt.link) {
            link.over(&attempt.name, attempt.frame.is_some());
            if let Some(left) = link.calls.get_mut(&attempt.call) {
                *left -= 1;
                if *left == 0 {
                    link.calls.remove(&attempt.call);
                }
            }
            self.rest(now, attempt.link);
        }
        let (part, dispatch) = attempt_id;
        self.events.push(Event::Ended { part, dispatch, searcher: attempt.srv, ending, took_ms, busy });
    }

    pub(super) fn frame(&mut self, now: f64, id: u64, frame: Frame) {
        let Some(link) = self.links.get_mut(&id) else { return };
        (link.heard_at, link.silent) = (now, false);
        match frame {
            Frame::Part { id: name, verdict, value, busy } => match link.out.get_mut(name.as_str()) {
                Some(held) if let Some(attempt_id) = held.attempt_id() => {
                    *held = Awaits::Copy;
                    let ending = match verdict {
                        Verdict::Ok => Ending::Ok,
                        Verdict::Error => Ending::Error,
                        Verdict::Full => Ending::Full,
                    };
                    if let Some(part) = self.parts.get_mut(&attempt_id.0).filter(|_| ending == Ending::Ok) {
                        part.value.get_or_insert(value);
                    }
                    self.end_reported(now, attempt_id, ending, busy.filter(|_| self.terms.busy_at.is_some()));
                }
                Some(_) => self.counters.answers_stale += 1,
                None => self.bad_frame(now, id, &format!("an answer for {name}, which never went out on it")),
            },
            // Where probes are not allowed, their answers tell nothing.
            Frame::Probe(None) if self.terms.permits.probe => {
                self.bad_frame(now, id, "a probe's answer of unknown words");
            }
            Frame::Probe(verdict) => {
                let Some(probe) = link.probes.pop_front() else {
                    self.counters.answers_stale += 1;
                    return;
                };
                if !probe.over {
                    let ending = if verdict == Some(Verdict::Error) { Ending::Error } else { Ending::Ok };
                    self.counters.probes_ok += u64::from(ending == Ending::Ok);
                    let (searcher, took_ms) = (link.srv, now - probe.sent_at);
                    self.events.push(Event::Probed { searcher, ending, took_ms });
                }
                self.rest(now, id);
            }
            Frame::Unusable(why) => self.bad_frame(now, id, &format!("Z: {why}")),
        }
    }

    pub(super) fn bad_frame(&mut self, now: f64, link: u64, why: &str) {
        self.counters.frames_bad += 1;
        if let Some(at) = self.links.get(&link) {
            let line = format!("a link to {} is closed after {why}", at.addr);
            self.warn(now, &line);
        }
        self.close_link(link, "unusable");
    }

    pub(super) fn probe(&mut self, now: f64, srv: SocketAddrV4) {
        self.counters.probes += 1;
        let Some(id) = self.links_to(srv).first().copied().or_else(|| self.connect(now, srv)) else {
            let ending = Ending::ConnectFailed;
            return self.events.push(Event::Probed { searcher: srv, ending, took_ms: 0.0 });
        };
        let number = self.id();
        self.add_due(now + self.terms.connect_timeout_ms, Due::ProbeTimedOut { link: id, number });
        let Some(link) = self.links.get_mut(&id) else { return };
        link.probes.push_back(Probe { number, sent_at: now, frame: None, over: false });
        link.queue.push_back(Queued::Probe);
        if link.standing == LinkStanding::Up {
            self.flush(now, id);
        }
    }

    // Links.

    pub(super) fn time_out_probe(&mut self, now: f64, link: u64, number: u64) {
        let Some(at) = self.links.get_mut(&link) else { return };
        let Some(probe) = at.probes.iter_mut().find(|p| p.number == number && !p.over) else { return };
        probe.over = true;
        // No connection in time is told as that, whichever of the two clocks rings first.
        let ending = if probe.frame.is_some() { Ending::TimedOut } else { Ending::ConnectFailed };
        let (searcher, sent_at, took_ms) = (at.srv, probe.sent_at, now - probe.sent_at);
        self.events.push(Event::Probed { searcher, ending, took_ms });
        self.doubt(link, sent_at);
    }

    /// A link on which nothing has come since a time-out's sending may be cut off without a word, and would
    /// stay so for as long as the system tries. Others are opened; it closes once nothing is out on it.
    fn doubt(&mut self, id: u64, sent_at: f64) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.silent |= link.standing == LinkStanding::Up && link.heard_at < sent_at;
        if link.silent && link.calls.is_empty() {
            self.close_link(id, "silent");
        }
    }

    /// Closes the idle links to a searcher.
    pub(super) fn hang_up_links(&mut self, srv: SocketAddrV4) {
        for link in self.links_to(srv) {
            if self.links.get(&link).is_some_and(Link::idle) {
                self.close_link(link, "hung up on");
            }
        }
    }

    /// The links that new calls and probes to a searcher may go on.
    fn links_to(&self, srv: SocketAddrV4) -> Vec<u64> {
        let Some(srv) = self.srvs.get(&srv) else { return Vec::new() };
        let leads = |l: &Link| l.standing != LinkStanding::Closing && !l.silent && l.addr == srv.addr;
        srv.links.iter().copied().filter(|id| self.links.get(id).is_some_and(leads)).collect()
    }

    fn connect(&mut self, now: f64, srv: SocketAddrV4) -> Option<u64> {
        let addr = self.srvs.get(&srv)?.addr;
        if self.links.len() >= self.links_cap {
            let idle = self.links.iter().find(|l| l.1.idle()).map(|l| *l.0);
            self.close_link(idle?, "for room");
        }
        let id = self.id();
        let link = Link {
            srv,
            addr,
            standing: LinkStanding::Opening,
            queue: VecDeque::new(),
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
            self.flush(now, id);
            self.rest(now, id);
        }
    }

    /// Notes when a link came to rest, and sets the time at which it is closed for that.
    fn rest(&mut self, now: f64, id: u64) {
        let Some(link) = self.links.get_mut(&id).filter(|l| l.calls.is_empty()) else { return };
        if link.silent {
            return self.close_link(id, "silent");
        }
        if !link.idle() {
            return;
        }
        link.idle_since = now;
        if self.srvs.get(&link.srv).is_none_or(|s| s.addr != link.addr) {
            self.close_link(id, "moved");
        } else if !link.watched {
            link.watched = true;
            self.add_due(now + IDLE * self.terms.idle_ms, Due::Idle(id));
        }
    }

    pub(super) fn close_idle(&mut self, now: f64, id: u64) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.watched = false;
        let until = link.idle_since + IDLE * self.terms.idle_ms;
        if link.idle() && now >= until {
            self.close_link(id, "idle");
        } else if link.idle() {
            link.watched = true;
            self.add_due(until, Due::Idle(id));
        }
    }

    pub(super) fn close_link(&mut self, id: u64, why: &str) {
        if let Some(link) = self.links.get_mut(&id).filter(|l| l.standing != LinkStanding::Closing) {
            link.standing = LinkStanding::Closing;
            debug!("link {id} to {}: closed, {why}", link.addr);
            self.effects.push(Effect::CloseLink { link: id });
        }
    }

    /// What was out on a link ends with it: it may have run only if its frame was written whole.
    pub(super) fn link_end(&mut self, now: f64, id: u64, written: u64) {
        let failed = self.links.get(&id).is_some_and(|l| l.standing == LinkStanding::Opening);
        self.counters.links_failed += u64::from(failed);
        self.close_link(id, "ended");
        let Some(link) = self.links.remove(&id) else { return };
        if let Some(srv) = self.srvs.get_mut(&link.srv) {
            srv.links.retain(|l| *l != id);
        }
        let told = |frame: Option<u64>| match frame {
            Some(frame) if frame < written => Ending::Reset,
            _ => Ending::ConnectFailed,
        };
        for probe in link.probes.iter().filter(|p| !p.over) {
            let (searcher, ending, took_ms) = (link.srv, told(probe.frame), now - probe.sent_at);
            self.events.push(Event::Probed { searcher, ending, took_ms });
        }
        let mut attempt_ids: Vec<AttemptId> = link.out.into_values().filter_map(Awaits::attempt_id).collect();
        attempt_ids.sort_unstable();
        for attempt_id in attempt_ids {
            let ending = told(self.attempts.get(&attempt_id).and_then(|f| f.frame));
            self.end_attempt(now, attempt_id, ending);
        }
    }

    // The list.

    /// A list counts unless a newer watch has spoken (that one may number its versions differently), or one
    /// that never spoke has been replaced since.
    pub(super) fn watched(&mut self, now: f64, watch: u64, list: List) {
        if watch != self.watch && watch != self.watch_wanted {
            self.counters.lists_late += 1;
            return;
        }
        let mut news = News::Newer;
        if watch > self.watch {
            self.watch = watch;
            info!("watch {watch} has spoken");
            self.effects.push(Effect::Heard { watch });
            news = News::OtherPlace;
        } else if list.index < self.list_index {
            self.counters.lists_older += 1;
            news = News::Older;
        }
        match list.whole {
            true => self.cached = None,
            false => self.uncache(now),
        }
        // Who came after an older list was made is not gone for not being in it.
        let whole = list.whole && news != News::Older;
        self.listed(now, list, if whole { ListKind::Full } else { ListKind::Changes }, news);
    }

    /// Goes by the list held before the start, unless a newer has come.
    pub(super) fn uncache(&mut self, now: f64) {
        if let Some(list) = self.cached.take() {
            self.listed(now, list, ListKind::Cached, News::Newer);
        }
    }

    /// A new configuration moves the watch; what else it changes counts from the next start.
    pub(super) fn reloaded(&mut self, now: f64, change: Result<Change, String>) {
        let change = match change {
            Ok(change) => change,
            Err(why) => {
                self.counters.reloads_failed += 1;
                return self.warn(now, &format!("the configuration stays as it is: {why}"));
            }
        };
        self.counters.reloads += 1;
        info!("the configuration was read anew, discovery is at {}", change.discovery);
        if !change.at_restart.is_empty() {
            let keys = change.at_restart.join(", ");
            self.warn(now, &format!("{keys} changed in the configuration: they count from the next start"));
        }
        if self.discovery.replace(change.discovery) != Some(change.discovery) {
            self.watch_wanted += 1;
            self.effects.push(Effect::Watch { number: self.watch_wanted, at: change.discovery });
        }
    }

    fn listed(&mut self, now: f64, list: List, kind: ListKind, news: News) {
        self.counters.lists += 1;
        self.counters.list_entries_bad += list.bad.len() as u64;
        self.list_index = if news == News::Older { self.list_index } else { list.index };
        list.bad.iter().for_each(|why| self.warn(now, &format!("discovery: {why}")));
        let left = |s: &Searcher| match news {
            News::Newer => false,
            News::OtherPlace => s.life == Life::Draining,
            News::Older => s.life != Life::Ready,
        };
        let left: HashMap<String, (f64, Life)> =
            self.srvs.values().filter(|s| left(s)).map(|s| (s.name.clone(), (s.since, s.life))).collect();
        let mut ready = Vec::new();
        if kind != ListKind::Changes {
            ready.extend(self.srvs.iter().filter(|s| s.1.life == Life::Ready).map(|s| *s.0));
            self.srvs.values_mut().for_each(|s| s.life = Life::Gone);
        }
        let mut lines = Vec::with_capacity(list.entries.len());
        for mut entry in list.entries {
            // A drain was told: a list made before that, or by another place that has not heard of it, takes nothing back.
            if let Some((since, life)) = left.get(&entry.name)
                && entry.life == Life::Ready
                && entry.since <= *since
            {
                entry.life = *life;
            }
            lines.extend(self.entry(entry));
        }
        ready.iter().filter_map(|key| self.srvs.get(key)).for_each(Searcher::log_if_left);
        // What waits for a connection to one that takes nothing new is not sent.
        let unsent = self.attempts.iter().filter(|(_, f)| f.frame.is_none());
        let off = unsent.filter(|(_, f)| self.srvs.get(&f.srv).is_none_or(|s| s.life != Life::Ready));
        for attempt_id in off.map(|f| *f.0).collect::<Vec<_>>() {
            self.end_attempt(now, attempt_id, Ending::Moot);
        }
        self.events.push(Event::List { kind, lines });
        // Who is gone and has nothing open is forgotten, as releases bring new ones.
        self.srvs.retain(|_, s| s.life != Life::Gone || !s.links.is_empty());
        self.names.retain(|_, key| self.srvs.contains_key(key));
        if self.phase == Phase::Opening && self.srvs.values().any(|s| s.life == Life::Ready) {
            self.phase = Phase::Ready;
            info!("ready");
        }
    }

    /// A searcher is known by its name; the module knows it by the first address under which it was listed.
    pub(super) fn entry(&mut self, entry: Entry) -> Option<Listed> {
        let Entry { name, addr, zone, cell, since, life, .. } = entry;
        let key = match self.names.get(&name) {
            Some(key) => *key,
            None if life == Life::Gone => return None,
            None => {
                let mut key = addr;
                while self.srvs.contains_key(&key) {
                    key.set_port(key.port().wrapping_add(1));
                }
                self.names.insert(name.clone(), key);
                let srv = Searcher { name, addr, life, since, links: Vec::new() };
                self.srvs.insert(key, srv);
                key
            }
        };
        let zone = self.terms.zones.iter().position(|z| *z == zone).unwrap_or(self.terms.zones.len()) as u16;
        let srv = self.srvs.get_mut(&key)?;
        let was_ready = srv.life == Life::Ready;
        (srv.life, srv.since) = (life, since);
        if was_ready {
            srv.log_if_left();
        }
        if srv.addr != addr && life != Life::Gone {
            info!("{} has moved from {} to {addr}", srv.name, srv.addr);
            srv.addr = addr;
            // Links to where it was take nothing new, and close once nothing is out on them.
            for link in srv.links.clone() {
                if self.links.get(&link).is_some_and(Link::idle) {
                    self.close_link(link, "moved");
                }
            }
        }
        Some(Listed { searcher: key, cell, zone, since, life })
    }
}
