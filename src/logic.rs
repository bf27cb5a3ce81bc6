//! The decisions of one mixer: ShortTail, kept and extended as `docs/design.md` tells. A host opens a
//! [`Mixer`] with the deployment's terms and calls `turn` with all that happened at one time; types and trait
//! stand in `src/interface.rs`. Inside, every searcher is an actor, the [`Gauge`] knows what is normal, the
//! [`Desk`] has the scans; they talk only by notes put into inboxes that [`Mixer::run`] empties.

use std::cell::Cell;
use std::cmp::Ordering::Equal;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;

use oorandom::Rand64;

use crate::interface::*;
use crate::report::MarkEvidence;
pub use crate::state::Mixer;
use crate::state::*;

impl Searcher {
    /// The design's half second; the paper asks for the smallest that holds enough parts.
    const SLICE_MS: f64 = 500.0;
    /// Parts that a slice waits for: the fewest whose average one straggler under 7 normals cannot lift.
    const FEW: u32 = 3;
    /// Weight of the newest part in the smoothed latency: about the last five count.
    const SMOOTH: f64 = 0.2;
    /// A latency that nothing confirms fades to the average in about this time, some slices long.
    const FADE_MS: f64 = 5000.0;
    /// Where nobody may probe, parts alone renew it, some seconds apart: as long as most troubles last.
    const FADE_UNPROBED_MS: f64 = 15_000.0;
    /// A marked searcher is probed as often as a slice is long; longer waits after relapses gained nothing.
    const PROBE_MS: f64 = 500.0;

    pub(crate) fn note(&mut self, note: Note, post: &mut Post, ready: bool, probing: bool) {
        let now = post.now;
        match note {
            Note::Renewed => (self.tile, self.dead, self.slices) = (Tile::NEW, false, Vec::new()),
            Note::Sent(leg, kind, norms) => {
                self.norms = norms;
                let open = |s: &Slice| now - s.from < Self::SLICE_MS || s.sent < Self::FEW;
                if !self.slices.last().is_some_and(open) {
                    self.slices.push(Slice::from(now));
                }
                if let Some(slice) = self.slices.last_mut() {
                    slice.sent += 1;
                    slice.out.push((leg, kind, now));
                }
            }
            Note::Filed(leg, share, normal, ending, sent_at) => {
                self.ok_from =
                    if ending == DispatchOutcome::Ok { self.ok_from.max(sent_at) } else { self.ok_from };
                let lag = Self::faded(&self.tile, &self.norms, self.zone, now);
                // Of silence one part says no more than that it was beyond the multiple: a lost answer at its
                // full time would outweigh a score of good ones, and lift what the next is held against.
                let silent = matches!(ending, DispatchOutcome::TimedOut | DispatchOutcome::Cancelled);
                let counts = if silent { share.min(self.norms.limit + lag[0]) } else { share };
                let counts = [counts, (counts - 1.0) * normal];
                post.put(GAUGE, Note::Zone(self.zone, counts));
                // What was confirmed long ago says little: the newest part then weighs more.
                let old = 1.0 - ((self.tile.lag_at - now) / self.norms.fade_ms).exp();
                let weight = if probing { Self::SMOOTH } else { Self::SMOOTH.max(old) };
                self.tile.lag = std::array::from_fn(|i| lag[i] + weight * (counts[i] - lag[i]));
                self.tile.lag_at = now;
                self.tile.down = matches!(ending, DispatchOutcome::ConnectFailed | DispatchOutcome::Reset);
                // A lost connection marks and is probed at once: no slice need fill to tell the dead.
                self.dead |= ending == DispatchOutcome::ConnectFailed;
                if self.tile.down && !self.tile.marked {
                    self.mark(share, 1, post);
                    self.probe_at = if probing { now } else { self.probe_at };
                }
                if let Some(slice) = self.slices.iter_mut().find(|s| s.out.iter().any(|l| l.0 == leg)) {
                    slice.out.retain(|l| l.0 != leg);
                    slice.sum += share;
                    // Failing is not being slow: it must not lift the median that all are held against.
                    slice.sound &= !matches!(
                        ending,
                        DispatchOutcome::Error | DispatchOutcome::ConnectFailed | DispatchOutcome::Reset
                    );
                    let good = share <= self.norms.limit && ending == DispatchOutcome::Ok;
                    if self.tile.trial
                        && !good
                        && !matches!(ending, DispatchOutcome::Cancelled | DispatchOutcome::Moot)
                    {
                        self.mark(share, 1, post);
                    }
                    self.tile.trial &= !good && !self.tile.marked;
                }
            }
            Note::Pong(ending, took) if self.tile.marked || self.asked => {
                self.dead |= ending == DispatchOutcome::ConnectFailed;
                let quick = self.norms.normal.iter().copied().fold(f64::INFINITY, f64::min);
                let good = ending == DispatchOutcome::Ok && took < self.norms.limit * quick;
                self.asked = false;
                match self.tile.marked {
                    true if good => self.readmit(post),
                    false if !good => self.mark(took / quick, 1, post),
                    _ => {}
                }
            }
            // Others' marks are a reason to look; where several agree, or nobody may probe, to send one part
            // at a time until one comes back in time. Harms a sound searcher that others lie of by so much.
            Note::Hint(several) if !self.tile.marked => {
                self.tile.trial |= several || !probing;
                if probing && !std::mem::replace(&mut self.asked, true) {
                    post.out.push(Action::Probe { searcher: self.addr });
                }
            }
            Note::Norms(norms) => self.norms = norms,
            Note::Tick => {
                self.judge(post);
                let due = self.tile.marked && ready && now >= self.probe_at;
                if due && probing {
                    self.probe_at = now + Self::PROBE_MS;
                    post.out.push(Action::Probe { searcher: self.addr });
                } else if due {
                    // Where nobody may probe a part has to tell, and the list alone tells of a cold start.
                    self.dead = false;
                    self.readmit(post);
                }
            }
            _ => {}
        }
        if self.tile.marked {
            self.slices.clear();
        }
        // Work follows what happens: only who is marked or has a slice open is told of the periodic timer.
        post.wake(SRVS + self.me, self.tile.marked || !self.slices.is_empty());
        post.put(DESK, Note::Tile(self.me, self.tile));
    }

    /// Admits to a trial only, one part at a time until one comes back in time: guards against searchers that
    /// answer probes and nothing else, harms a sound one by a few parts.
    fn readmit(&mut self, post: &mut Post) {
        self.tile = Tile { trial: true, ..Tile::NEW };
        post.out.push(Action::Log { line: format!("{} readmitted on trial", self.addr) });
        // No process stood there, now one does: it is cold, whatever the list says by now.
        if std::mem::take(&mut self.dead) {
            post.put(DESK, Note::Back(self.me));
        }
    }

    /// The smoothed latency, on its way back to its zone's average: guards against a zone that is dead or
    /// slow to reach, each searcher of which is seldom heard of; harms its good ones until they are.
    fn faded(tile: &Tile, norms: &Norms, zone: usize, now: f64) -> [f64; 2] {
        let average = norms.zones.get(&zone).copied().unwrap_or(Tile::NEW.lag);
        let left = ((tile.lag_at - now) / norms.fade_ms).exp();
        std::array::from_fn(|i| average[i] + (tile.lag[i] - average[i]) * left)
    }

    /// A slice is judged when it is over and its parts have ended, or as soon as the ages of those still
    /// out lift its average over the multiple: a hang would show only with the last time-out. Harms a
    /// searcher whose few parts are all heavy, until its next probe.
    fn judge(&mut self, post: &mut Post) {
        let (now, limit, mut worst) = (post.now, self.norms.limit, (0.0, 0));
        let lost = |l: &(Leg, usize, f64)| self.norms.overtaken(l.1, l.2, self.ok_from);
        let out = self.slices.iter().flat_map(|s| &s.out).filter(|l| !lost(l));
        let ages = out.map(|l| (now - l.2, self.norms.normal[l.1]));
        (self.tile.age, self.tile.late) =
            ages.fold((0.0, 0.0), |(age, late), (a, n)| (f64::max(age, a - n), f64::max(late, a / n)));
        // Parts of one call leave at one time.
        let calls = self.slices.iter().flat_map(|s| &s.out).filter(|l| lost(l)).map(|l| l.2.to_bits());
        self.tile.lost = calls.collect::<BTreeSet<_>>().len() as u32;
        self.slices.retain(|slice| {
            let most = |l: &(Leg, usize, f64)| if lost(l) { limit } else { f64::INFINITY };
            let aged = slice.out.iter().map(|l| ((now - l.2) / self.norms.normal[l.1]).min(most(l)));
            let aged: f64 = aged.sum();
            let mean = (slice.sum + aged) / f64::from(slice.sent);
            let over = now - slice.from >= Self::SLICE_MS && slice.out.is_empty();
            let ripe = slice.sent >= Self::FEW && (over || mean > limit);
            if ripe {
                worst = if mean > worst.0 { (mean, slice.sent) } else { worst };
                if slice.sound {
                    post.put(GAUGE, Note::Slice(self.me, mean));
                }
            }
            !ripe
        });
        if worst.0 > limit {
            self.mark(worst.0, worst.1, post);
        }
    }

    fn mark(&mut self, mean: f64, parts: u32, post: &mut Post) {
        (self.tile.marked, self.tile.evidence) = (true, MarkEvidence { relative_latency: mean, parts });
        self.probe_at = post.now + Self::PROBE_MS;
        post.out.push(Action::Log { line: format!("{} marked at {mean:.1} normals", self.addr) });
    }
}

impl Gauge {
    /// Marked is whose slice averages over so many times the median: the paper's "about three".
    const MULTIPLE: f64 = 3.0;
    /// Weight of the newest part in a table type's normal latency: a few hundred parts, some seconds.
    const SMOOTH: f64 = 0.01;
    /// Least and first step of the work estimate: found within tens of parts, moved by a jam in hundreds.
    const STEPS: (f64, f64) = (0.002, 0.05);
    /// Weight of the newest part where about the last ten are to count.
    const TEN: f64 = 0.1;

    pub(crate) fn note(&mut self, note: Note, post: &mut Post) {
        match note {
            Note::Heard(kind, ms) => {
                let (normal, heard, work) = &mut self.normal[kind];
                *heard += 1.0;
                let clipped = if *heard > 10.0 { ms.min(Self::MULTIPLE * *normal) } else { ms };
                *normal += (1.0 / *heard).max(Self::SMOOTH) * (clipped - *normal);
                // A part's own work: a step up and three down settle at the quickest quarter of the parts.
                let step = (1.0 / *heard).clamp(Self::STEPS.0, Self::STEPS.1);
                *work *= if ms > *work { 1.0 + step } else { 1.0 - 3.0 * step };
            }
            Note::Slice(srv, mean) => {
                self.means.insert(srv, mean);
                // All slow: the median moves, nobody is marked. Under one it is of normals not yet learnt.
                self.median = median(self.means.values().copied(), Searcher::FEW as usize).unwrap_or(1.0);
            }
            Note::Zone(zone, lag) => {
                let average = self.zones.entry(zone).or_insert(Tile::NEW.lag);
                average.iter_mut().zip(lag).for_each(|(a, l)| *a += Self::TEN * (l - *a));
            }
            Note::Tick => {
                let fade = |(z, new): (&mut f64, f64)| *z += (new - *z) * Mixer::TICK_MS / self.fade_ms;
                self.zones.values_mut().for_each(|z| z.iter_mut().zip(Tile::NEW.lag).for_each(fade));
                let (normal, work) = self.normal.iter().map(|n| (n.0.max(1.0), n.2)).unzip();
                let (limit, zones) = (Self::MULTIPLE * self.median.max(1.0), self.zones.clone());
                let norms = Rc::new(Norms { normal, work, limit, zones, fade_ms: self.fade_ms });
                post.awake.clone().into_iter().for_each(|to| post.put(to, Note::Norms(norms.clone())));
            }
            _ => {}
        }
    }
}

impl Purse {
    /// Our own: a tenth of the parts, and a few; more was measured to feed overload.
    const OWN: RetryBudget = RetryBudget { free: 5.0, share: 0.1, window_ms: 2000.0 };

    /// Where searchers are this busy nothing fits, half as busy all: so much is left for the swings of load.
    const FULL: f64 = 0.8;

    /// What fits shrinks with what searchers report as free, as under load each copy delays others. SafetyLimits
    /// against jams fed by copies; harms scans with lost answers while all is busy.
    fn fits(&mut self, now: f64, busy: Option<f64>) -> bool {
        let part = busy.map_or(1.0, |b| (2.0 - 2.0 * b / Self::FULL).clamp(0.0, 1.0));
        let from = now - self.budget.window_ms;
        trim(&mut self.extras, |e| *e < from - 1.0);
        trim(&mut self.taken, |t| *t < from + 1.0);
        self.extras.len() as f64 + 1.0
            <= part * (self.budget.free + self.budget.share * self.taken.len() as f64)
    }
}

impl Door {
    /// Of a searcher's limit, what a customer over its share may fill.
    const OVER: f64 = 0.8;
    /// Span in which customers' shares of the scans are compared: some tens of scans.
    const SEEN_MS: f64 = 5000.0;

    /// Time in which a customer's scans are tasted after a deadly one: some of its clients' retries.
    const DISTRUST_MS: f64 = 10_000.0;

    /// Traffic over a customer's share goes first: its part of the scans seen here against that of shares.
    fn over(&self, customer: usize) -> bool {
        let shares: f64 = self.customers.iter().map(|c| c.scans_per_s).sum();
        let terms = self.customers.get(customer).zip(self.counts.get(customer));
        terms.is_some_and(|(c, n)| *n as f64 * shares > c.scans_per_s * self.seen.len() as f64 * 1.1)
    }
}

impl Lines {
    /// Idle for so long, a connection may have been dropped unseen: a few latencies.
    const IDLE_MS: f64 = 500.0;
    /// Lost on idle connections from which on they are closed before use: more than searchers that fail.
    const LOST: f64 = 0.25;
    /// Then for so long, as new connections say nothing of idle ones.
    const DOUBT_MS: f64 = 10_000.0;

    /// Guards against connections dropped while idle, where the searcher is sound: losses keep to them.
    fn judge(&mut self, idle: Option<bool>, lost: bool, now: f64) {
        let Some(idle) = idle.map(usize::from) else { return };
        self.lost[idle] += Gauge::TEN * (f64::from(u8::from(lost)) - self.lost[idle]);
        if self.lost[1] > Self::LOST && self.lost[1] > 2.0 * self.lost[0] {
            (self.lost[1], self.doubt_until) = (0.0, now + Self::DOUBT_MS);
        }
    }
}

impl Desk {
    /// Sums of weights may fall this short of what is needed (the weights come rounded).
    const HAIR: f64 = 1e-5;
    /// Of a target time, what a marked retry is taken to have left: the middle of none and all.
    const RETRY_LEFT: f64 = 0.5;
    /// Multiples of it lie evenly between whole numbers, however many there are.
    const GOLDEN: f64 = 0.618_033_988_749_895;
    /// Final answers leave so long before the time is up: a periodic timer and some slack.
    const AHEAD_MS: f64 = 30.0;

    pub(crate) fn note(&mut self, note: Note, post: &mut Post) {
        let now = post.now;
        match note {
            Note::Tile(srv, tile) => {
                let caught = tile.marked && !self.seats[srv].tile.marked;
                self.seats[srv].tile = tile;
                if caught {
                    let legs = self.flights.iter().filter(|(_, f)| f.srv == srv).map(|(leg, _)| leg.0);
                    legs.collect::<Vec<_>>().into_iter().for_each(|id| self.catch(id));
                }
            }
            Note::Norms(norms) => self.norms = norms,
            Note::Back(srv) => (self.seats[srv].since, self.seats[srv].known_at) = (now, now),
            Note::Told(Event::Scan {
                id,
                number,
                table_type: kind,
                customer,
                deadline_at: gone_at,
                work_ms,
                retry,
            }) => {
                self.took(now);
                self.door.see(customer, now, Door::SEEN_MS);
                let Some(terms) = self.types.get(kind) else { return };
                let target = terms.target_ms + terms.target_ms_per_work_ms * work_ms.unwrap_or(0.0);
                let left = if retry { Self::RETRY_LEFT * target } else { target };
                let target_at = now + left.min(terms.query_timeout_ms) - Self::AHEAD_MS;
                let gone_at = gone_at - Self::AHEAD_MS;
                let scan = Scan::new(id, number, kind, customer, target_at, gone_at, terms);
                let scan = Scan { lot: (self.lot + self.next as f64 * Self::GOLDEN).fract(), ..scan };
                self.next += 1;
                let at = self.next;
                self.scans.insert(at, scan);
                self.owners.insert(id, (at, usize::MAX));
                self.due.add(target_at, Due::Target(at));
                self.due.add(gone_at, Due::Gone(at));
            }
            Note::Told(Event::Part { id, number, shard, weight }) => {
                self.took(now);
                let Some((at, scan)) = self.scans.iter_mut().rfind(|s| s.1.number == number) else { return };
                self.owners.insert(id, (*at, scan.parts.len()));
                self.touched.insert(*at);
                self.asked[scan.kind] += scan.need * self.norms.work[scan.kind] / Self::FLOW_MS;
                scan.parts.push(Part::new(id, shard, weight, now));
            }
            Note::Told(Event::DispatchEnded { part, dispatch, outcome: ending, took_ms, busy, .. }) => {
                let mean = |b: f64| self.busy.map_or(b, |m| m + Gauge::TEN * (b - m));
                // Reports may be untrue: one can't say more than that all its cores are busy.
                self.busy = busy.filter(|b| *b >= 0.0).map(|b| mean(b.min(1.0))).or(self.busy);
                self.ended((part, dispatch), ending, took_ms, post);
            }
            Note::Told(Event::ClientGone { scan }) => {
                let at = self.owners.get(&scan).filter(|o| o.1 == usize::MAX).map(|o| o.0);
                at.into_iter().for_each(|at| self.close(at, post));
            }
            Note::Tick => {
                self.touched.append(&mut self.short);
                self.flow *= 1.0 - Mixer::TICK_MS / Self::FLOW_MS;
                self.asked.iter_mut().for_each(|a| *a *= 1.0 - Mixer::TICK_MS / Self::FLOW_MS);
            }
            Note::Settle => self.settle(post),
            _ => {}
        }
    }

    fn ended(&mut self, leg: Leg, ending: DispatchOutcome, took: f64, post: &mut Post) {
        let Some(flight) = self.flights.remove(&leg) else { return };
        if Rc::strong_count(&flight.call) == 1 {
            self.seats[flight.srv].calls -= 1;
        }
        // Failing must never look fast: it is filed at no less than the time it was allowed. Called off, a
        // part counts with its age, and as normal at least.
        let normal = self.norms.normal[flight.kind];
        let seat = &mut self.seats[flight.srv];
        let silent = matches!(ending, DispatchOutcome::Cancelled | DispatchOutcome::TimedOut);
        let lost = silent && self.norms.overtaken(flight.kind, flight.sent_at, seat.ok_from);
        let ms = match ending {
            DispatchOutcome::Ok => took,
            // It says that its searcher loses answers, not that it is slow: it cost the wait for another.
            _ if lost => took.clamp(normal, self.norms.limit * normal),
            DispatchOutcome::Cancelled | DispatchOutcome::Moot => took.max(normal),
            _ => took.max(flight.allotted),
        };
        if !matches!(ending, DispatchOutcome::Cancelled | DispatchOutcome::ConnectFailed) {
            self.lines.judge(flight.idle, ending != DispatchOutcome::Ok, post.now);
        }
        if ending == DispatchOutcome::Ok {
            (seat.heard_at, seat.ok_from) = (post.now, seat.ok_from.max(flight.sent_at));
            post.put(GAUGE, Note::Heard(flight.kind, ms));
        }
        // One silent part alone tells a lost answer from a jam by nothing: what comes next does.
        if !(lost || silent && seat.busy() == 0) {
            self.adapt(&flight, ms, post.now);
        }
        post.put(SRVS + flight.srv, Note::Filed(leg, ms / normal, normal, ending, flight.sent_at));
        let Some(&(at, nth)) = self.owners.get(&leg.0) else { return };
        let Some(scan) = self.scans.get_mut(&at) else { return };
        scan.deaths += u32::from(ending == DispatchOutcome::Reset);
        let part = &mut scan.parts[nth];
        (part.sent[usize::from(leg.1)].1, part.ended_at) = (Some(ending), post.now);
        if part.state == State::In {
            return;
        }
        if ending == DispatchOutcome::Ok {
            (part.state, part.caught) = (State::In, false); // caught no more, or it would be sent again
            post.call_off(part.legs_out(), self.permits.cancel);
        } else if part.legs_out().is_empty() {
            (part.state, part.caught) = (State::Broken, false);
        }
        self.advance(at, post);
    }

    /// A part out at a searcher that was marked just now, or out for too long itself, is caught there.
    fn catch(&mut self, id: u64) {
        let Some(&(at, nth)) = self.owners.get(&id) else { return };
        let Some(part) = self.scans.get_mut(&at).map(|s| &mut s.parts[nth]) else { return };
        part.caught = part.state == State::Out && part.sent.len() == 1;
        self.touched.insert(at);
    }

    /// What the turn leaves to do: due times, then scans that were touched.
    fn settle(&mut self, post: &mut Post) {
        while let Some(due) = self.due.take(post.now) {
            match due {
                // Late on its own, its searcher unmarked; budgeted, as under overload all is late.
                Due::Late(leg) => {
                    let Some(flight) = self.flights.get_mut(&leg) else { continue };
                    self.lines.judge(flight.idle.take(), true, post.now);
                    if self.late.fits(post.now, self.busy) {
                        self.late.extras.push_back(post.now);
                        self.catch(leg.0);
                    }
                }
                Due::Target(at) => {
                    let Some(scan) = self.scans.get(&at) else { continue };
                    let terms = &self.types[scan.kind];
                    let partial = if scan.have() + Self::HAIR >= scan.floor { scan.have() } else { 0.0 };
                    if terms.late_benefit_share <= partial / scan.need * terms.partial_benefit_share {
                        self.end(at, post);
                    }
                }
                Due::Gone(at) => self.end(at, post),
            }
        }
        while let Some(at) = self.touched.pop_first() {
            self.advance(at, post);
        }
        self.this_turn.clear();
    }

    /// Lost connections at a scan's parts, none in, that end it: guards against scans that bring down whom
    /// they reach. For a while its customer's go out one part first; harms those in a mass crash.
    const DEADLY: u32 = 2;

    /// Sends what the scan lacks, and ends it as soon as it is whole or can't become so.
    fn advance(&mut self, at: usize, post: &mut Post) {
        let now = post.now;
        let Some(scan) = self.scans.get(&at).filter(|s| !s.parts.is_empty()) else { return };
        if scan.have() + Self::HAIR >= scan.need {
            return self.complete(at, true, post);
        }
        let proved = scan.second || scan.parts.iter().any(|p| p.state == State::In);
        if !proved && scan.deaths >= Self::DEADLY {
            self.door.taste(scan.customer, now + Door::DISTRUST_MS);
            return self.end(at, post);
        }
        let doubted = !proved && (scan.deaths > 0 || self.door.tastes(scan.customer, now));
        let fresh = !scan.second && scan.parts.iter().all(|p| p.sent.is_empty());
        if fresh {
            self.spread(at);
        }
        let Some(scan) = self.scans.get(&at) else { return };
        if let Some(bar) = fresh.then(|| self.bars(scan, now)).flatten() {
            self.barred[scan.kind][bar as usize] += 1;
            return self.end(at, post);
        }
        let mut lacking = scan.need - Self::HAIR - scan.coming();
        let parts = 0..scan.parts.len();
        let affords = self.further.fits(now, self.busy);
        let Some(scan) = self.scans.get(&at) else { return };
        let mut choices: BTreeSet<Choice> =
            parts.filter_map(|nth| self.choice(scan, nth, affords, now)).collect();
        while let Some(best) = choices.pop_first().filter(|_| lacking > 0.0) {
            let affords = self.further.fits(now, self.busy);
            let Some(scan) = self.scans.get(&at) else { return };
            if doubted && scan.parts.iter().any(|p| p.state == State::Out && !p.caught) {
                break;
            }
            // A dispatch makes no other part's choice better, so that only the first need be looked at again.
            let choice = self.choice(scan, best.nth, affords, now);
            if choice.as_ref() == Some(&best) {
                lacking -= scan.parts[best.nth].weight;
                self.dispatch(at, best.nth, best.srv, post);
            } else {
                choices.extend(choice);
            }
        }
        let Some(scan) = self.scans.get(&at).filter(|s| s.coming() + Self::HAIR < s.need) else { return };
        self.short.insert(at);
        let ready = |p: &Part| self.cells.holders(p.shard).any(|s| self.seats[s].up());
        let out = |p: &Part| p.state == State::Out;
        let can = |p: &Part| p.state == State::In || out(p) || self.may_repeat(scan, p, now) && ready(p);
        let hope = scan.weight(can) + Self::HAIR;
        // Late, and only budget or room could help: held on, it would but keep its client from asking again.
        let held = now >= scan.target_at && !scan.parts.iter().any(out);
        if held || hope < scan.need && !(hope >= scan.floor && scan.parts.iter().any(out)) {
            self.end(at, post);
        }
    }

    /// A part's next dispatch, if one may be made: to unmarked searchers, then first ones, then cheap ones.
    fn choice(&self, scan: &Scan, nth: usize, affords: bool, now: f64) -> Option<Choice> {
        let part = &scan.parts[nth];
        let (first, copy) = (part.state == State::Unsent, part.state == State::Out);
        let again = part.state == State::Broken || part.caught && self.permits.hedge && part.sent.len() == 1;
        let free = self.guards.retry_budget.is_none() && part.proved_unrun();
        let again = again && self.may_repeat(scan, part, now) && (affords || free);
        let (tier, cost, srv) = self.replica(scan, part, now).filter(|_| first || again)?;
        // Who has just refused it unseen has no room yet: its next dispatch would be refused as well.
        let full = part.sent.contains(&(srv, Some(DispatchOutcome::Full)));
        let waits = full && now < part.ended_at + self.norms.work[scan.kind];
        let cost = (cost / part.weight.max(Self::HAIR)).to_bits();
        (!waits && (!copy || tier == 0)).then_some(Choice { tier, again: !first, cost, nth, srv })
    }

    /// Whether a further run of a part does no harm. Beyond its window a keyed one that may have run would
    /// run again, whoever asks for it.
    fn harmless(&self, scan: &Scan, part: &Part, now: f64) -> bool {
        match self.types[scan.kind].idempotency {
            Idempotency::Replayable => true,
            Idempotency::Keyed { window_ms } => part.proved_unrun() || now < part.taken_at + window_ms,
            Idempotency::NonReplayable => part.proved_unrun(),
        }
    }

    /// Whether the effect of a part allows one more dispatch (budget and places aside).
    fn may_repeat(&self, scan: &Scan, part: &Part, now: f64) -> bool {
        self.harmless(scan, part, now) && part.sent.len() < self.permits.max_dispatches as usize
    }

    fn work(&self, kind: usize, srv: usize) -> f64 {
        self.norms.work[kind] + if self.shared(srv) { 0.0 } else { self.layout.call_work_ms }
    }

    /// Costs within this factor count as equal: a latency smoothed over five parts says no more.
    const EQUAL: f64 = 1.5;

    /// The replica rule: least smoothed latency times one plus own calls out; of equals who gets a call
    /// anyway, then the own zone, then by lot. Marked ones last: when all are, the least bad serves.
    fn replica(&self, scan: &Scan, part: &Part, now: f64) -> Option<(u8, f64, usize)> {
        let choices = self.cells.holders(part.shard).filter_map(|srv| {
            let seat = &self.seats[srv];
            let tried = part.sent.iter().any(|s| s.0 == srv);
            let copy = part.state == State::Out;
            let able = seat.up() && self.room(seat, scan, copy, self.work(scan.kind, srv), now);
            let shared = self.shared(srv);
            let calls = seat.busy().saturating_sub(u32::from(shared));
            let late = seat.tile.late > self.norms.limit;
            let tier = u8::from(seat.tile.marked || seat.tile.trial && calls > 0 || tried || late);
            // Cold ones stand amid equals, in the order of cells: neighbouring shards find most room so.
            let among = seat.lot.floor() + 0.5 + self.cells.nth(part.shard, seat.cell);
            let lot = if self.cold(seat, now) { among } else { seat.lot };
            let cost = Searcher::faded(&seat.tile, &self.norms, seat.zone, now)[0] * f64::from(1 + calls);
            able.then_some((tier, cost.log(Self::EQUAL).round(), !shared, lot, srv))
        });
        let best = choices.min_by(|a, b| a.partial_cmp(b).unwrap_or(Equal));
        best.map(|(tier, cost, .., srv)| (tier, Self::EQUAL.powf(cost), srv))
    }

    /// What comes by chance stays so many deviations below what is borne, in thousands of windows.
    const DEVIATIONS: f64 = 4.0;
    /// Traffic may be so many times what is known of it: bursts, clients that come again.
    const SURGE: f64 = 1.15;
    /// What is asked for, and as much again: each part that is out may be copied once.
    const COPIED: f64 = 2.0;
    /// Less busy than this, what is borne says little of what could be: at most doubled.
    const IDLE: f64 = 0.5;
    /// Span of own traffic: a mixer of hundreds sees a scan of many parts each few seconds at most.
    const FLOW_MS: f64 = 30_000.0;

    /// What a mixer may send a cold searcher. All together may send it the multiple of what warm ones bear at
    /// that age, if it warms as slowly as it may, in N parts, and what the platform adds for chance, 2 roots
    /// of N and 2. A mixer has an equal share of the former in a window, each table type its own of that, by
    /// benefit times what it asks for. Where that is less than a part, a scan is let in by its lot, as often
    /// as leaves what comes by chance below what is borne: one lot for all parts, so that one of many finds
    /// room everywhere or nowhere. A copy of a part that is out was not asked for and has no lot of its own:
    /// it finds room where a copy of each would, or copies of what is late everywhere fill a window. Asked
    /// for, and borne, goes by own traffic, as if all saw as much, over how busy searchers say they are; one
    /// core at least. An earlier process of this mixer may have sent its share: it waits a window. Harms when
    /// most are cold.
    fn room(&self, seat: &Seat, scan: &Scan, copy: bool, work: f64, now: f64) -> bool {
        if !self.cold(seat, now) {
            return true;
        }
        let (g, age) = (&self.guards, now - seat.began());
        let able = g.cold_capacity_share + (1.0 - g.cold_capacity_share) * (age / g.warm_up_ms).max(0.0);
        let busy = self.busy.map_or(1.0, |b| b.clamp(Self::IDLE, 1.0));
        let of_each = self.mixers / self.ready.max(1.0);
        let borne = g.overload_multiple * able * (self.flow * of_each / busy).max(1.0) * g.overload_window_ms;
        let worth = |kind: usize| self.types[kind].benefit * self.asked[kind];
        let part = worth(scan.kind) / (0..self.types.len()).map(worth).sum::<f64>().max(f64::MIN_POSITIVE);
        let (share, together) = (part * borne / self.mixers, scan.in_one * work);
        let least = self.norms.work.iter().copied().fold(f64::INFINITY, f64::min);
        let most = borne + 2.0 * (borne * least).sqrt() + 2.0 * least;
        let chance = Self::DEVIATIONS * together.sqrt();
        let mean = ((chance * chance + 4.0 * most).sqrt() - chance).powi(2) / 4.0;
        let asked = self.asked.iter().sum::<f64>().max(self.flow);
        let asked = Self::SURGE * asked * of_each * g.overload_window_ms;
        let held = asked.min(self.mixers * (together + work));
        let allowed = match work <= share {
            true if now < self.opened + g.overload_window_ms => 0.0,
            true => share,
            false if copy && Self::COPIED * held < mean => together + work,
            false if !copy && scan.lot * held < mean => together + work,
            false => 0.0,
        };
        let spent =
            seat.spent.iter().filter(|s| s.0 >= now - g.overload_window_ms && s.2 == scan.kind).map(|s| s.1);
        spent.sum::<f64>() + work <= allowed
    }

    fn dispatch(&mut self, at: usize, nth: usize, srv: usize, post: &mut Post) {
        let Some(kind) = self.scans.get(&at).map(|s| s.kind) else { return };
        let (now, work) = (post.now, self.work(kind, srv));
        let mut idle = Some(now - self.seats[srv].heard_at > Lines::IDLE_MS);
        if !self.shared(srv) {
            if idle == Some(true) && self.seats[srv].calls == 0 && now < self.lines.doubt_until {
                idle = None;
                post.out.push(Action::CloseIdleConnections { searcher: self.seats[srv].addr });
            }
            self.seats[srv].calls += 1;
            self.this_turn.insert(srv, (Rc::new(()), 0));
        }
        let Some(scan) = self.scans.get_mut(&at) else { return };
        let Some((call, parts)) = self.this_turn.get_mut(&srv) else { return };
        *parts += 1;
        let part = &mut scan.parts[nth];
        let leg = (part.id, part.sent.len() as u8);
        // Our own budget is against work done twice: what never ran cost none.
        if !part.sent.is_empty() && (self.guards.retry_budget.is_some() || !part.proved_unrun()) {
            self.further.extras.push_back(now);
        }
        part.sent.push((srv, None));
        (part.state, part.caught) = (State::Out, false);
        let late_counts = self.types[kind].late_benefit_share > 0.0;
        let end = if late_counts { scan.gone_at } else { scan.gone_at.min(scan.target_at) };
        let timeout_ms = (end - now).max(1.0) + Self::AHEAD_MS / 2.0;
        self.flights
            .insert(leg, Flight { srv, kind, call: call.clone(), sent_at: now, allotted: timeout_ms, idle });
        let late = (self.norms.limit * self.norms.normal[kind]).min((scan.target_at - now) * 0.5);
        self.due.add(now + late.max(Self::AHEAD_MS), Due::Late(leg));
        let seat = &mut self.seats[srv];
        seat.sent_at = now;
        self.flow += work / Self::FLOW_MS;
        if seat.began() > 0.0 {
            trim(&mut seat.spent, |s| s.0 < now - self.guards.warm_up_ms);
            seat.spent.push_back((now, work, kind));
        }
        post.out.push(Action::Dispatch { part: leg.0, searcher: seat.addr, timeout_ms });
        post.put(SRVS + srv, Note::Sent(leg, kind, self.norms.clone()));
    }

    /// Share of a target time that a part may take: a scan waits for the slowest of several.
    const PRESSED: f64 = 0.5;
    /// What a cut leaves of a limit.
    const CUT: f64 = 0.8;

    /// The limit on own calls out at a searcher grows by one in a latency of parts in time, and is cut by a
    /// share, once a latency, when one took too long: guards against hot spots and jams of any cause.
    fn adapt(&mut self, flight: &Flight, ms: f64, now: f64) {
        let seat = &mut self.seats[flight.srv];
        let (work, target) = (self.norms.work[flight.kind], self.types[flight.kind].target_ms);
        if ms <= work + Self::PRESSED * (target - work) {
            seat.limit += 1.0 / seat.limit;
        } else if now - seat.cut_at > self.norms.normal[flight.kind] {
            seat.limit = (seat.limit.min(f64::from(seat.busy() + 1)) * Self::CUT).max(1.0);
            seat.cut_at = now;
        }
    }

    /// Share of what a part's own work leaves to the target that it may wait at its searcher.
    const SLOW: f64 = 0.6;

    /// What cannot come in time is refused at the door: too few of the replicas that it needs have room
    /// under their limits and no old part of ours or, with no call of ours out, a cost in time by the replica
    /// rule. Refusing would keep that from being renewed, so who was sent nothing for a while is tried in any
    /// case: by all mixers together a few times in a slice. Harms those scans while the cause lasts.
    fn bars(&self, scan: &Scan, now: f64) -> Option<Bar> {
        let left = scan.target_at - now;
        let over = self.door.over(scan.customer);
        let tried = Searcher::SLICE_MS * self.mixers / f64::from(Searcher::FEW);
        let (normal, work) = (self.norms.normal[scan.kind], self.norms.work[scan.kind].min(left));
        let most = (work + Self::SLOW * (left - work)).max(Self::EQUAL * work);
        let bar = |(_, _, srv): (u8, f64, usize)| {
            let seat @ Seat { tile, limit, sent_at, .. } = &self.seats[srv];
            let [share, delay] = Searcher::faded(tile, &self.norms, seat.zone, now);
            let (calls, limit) = (seat.busy(), if over { Door::OVER * limit } else { *limit });
            match calls {
                _ if now - sent_at >= tried => None,
                0 => ((share * normal).min(normal + delay) > most).then_some(Bar::Cost),
                _ if normal + tile.age > most => Some(Bar::Age),
                _ => (f64::from(calls + 1) > limit).then_some(Bar::Limit),
            }
        };
        let first = Cell::new(None);
        let passes = |p: &Part| {
            let up = self.cells.holders(p.shard).any(|s| self.seats[s].up());
            let nobody = if up { Bar::Cold } else { Bar::Nobody };
            let met = self.replica(scan, p, now).map_or(Some(nobody), bar);
            first.set(first.get().or(met));
            met.is_none()
        };
        (scan.weight(passes) + Self::HAIR < scan.need).then_some(first.get()).flatten()
    }

    fn complete(&mut self, at: usize, whole: bool, post: &mut Post) {
        let Some(scan) = self.scans.get_mut(&at) else { return };
        let whole = whole && scan.whole;
        post.out.push(Action::Complete { scan: scan.id, whole });
        if scan.second || !self.types[scan.kind].has_second_step {
            return self.close(at, post);
        }
        (scan.second, scan.whole) = (true, whole);
        scan.floor = if scan.floor < scan.need { scan.floor } else { 1.0 };
        scan.need = 1.0;
        let old = std::mem::take(&mut scan.parts);
        post.call_off(self.drop_parts(old), self.permits.cancel);
    }

    /// A scan that will not be whole: what is in if that is enough, else a throttling reply where trying
    /// again is harmless, else an abandonment.
    fn end(&mut self, at: usize, post: &mut Post) {
        let Some(scan) = self.scans.get(&at) else { return };
        let (id, have) = (scan.id, scan.have() + Self::HAIR);
        // A first answer at the last moment would open a second step that nothing can end in time.
        let opens = !scan.second && self.types[scan.kind].has_second_step && post.now >= scan.gone_at;
        if have > 2.0 * Self::HAIR && have >= scan.floor && !opens {
            return self.complete(at, have >= scan.need, post);
        }
        let throttled = !scan.second && scan.parts.iter().all(|part| self.harmless(scan, part, post.now));
        let throttle = Action::Throttle { scan: id, retry_after_ms: self.permits.retry_after_ms };
        post.out.push(if throttled { throttle } else { Action::Abandon { scan: id } });
        self.close(at, post);
    }
}

impl Mixer {
    /// The periodic timer: fine against the shortest times that matter here, tens of milliseconds.
    const TICK_MS: f64 = 20.0;
    /// Until parts have come, a table type's normal latency is taken for this share of its target time.
    const START: f64 = 0.25;
    /// A failed subscription is asked for again after so long, then twice so long: often enough for a list
    /// seconds late, and so many times at least while what is not asked for does not count as told.
    const ASK_MS: f64 = 1000.0;
    const ASKS: f64 = 4.0;

    pub fn new(
        seed: u64,
        types: Vec<TableType>,
        customers: Vec<Customer>,
        layout: Layout,
        guards: SafetyLimits,
        permits: Permissions,
        berth: Placement,
    ) -> Self {
        let start: Vec<f64> = types.iter().map(|t| t.target_ms * Self::START).collect();
        let normal = start.iter().map(|n| (*n, 1.0, *n)).collect();
        let fade_ms = if permits.probe { Searcher::FADE_MS } else { Searcher::FADE_UNPROBED_MS };
        let gauge = Gauge { normal, means: BTreeMap::new(), median: 1.0, zones: BTreeMap::new(), fade_ms };
        let (limit, zones) = (Gauge::MULTIPLE, BTreeMap::new());
        let norms = Rc::new(Norms { normal: start.clone(), work: start, limit, zones, fade_ms });
        let subscribe_at = if permits.resubscribe_within_ms.is_some() { 0.0 } else { f64::INFINITY };
        let (further, late) = (Purse::of(guards.retry_budget.unwrap_or(Purse::OWN)), Purse::of(Purse::OWN));
        let stated = f64::from(berth.mixers.max(1));
        let (door, lot) = (Door::of(customers), Rand64::new(u128::from(!seed)).rand_float());
        let desk = Desk::new(types, layout, guards, permits, stated, norms, door, further, late, lot);
        let post = Post::new();
        let (seed, roster, srvs) = (Rand64::new(u128::from(seed)), Roster::default(), Vec::new());
        let (zone, refused, next_tick) = (berth.zone, 0, f64::NEG_INFINITY);
        Self { seed, zone, stated, roster, subscribe_at, refused, next_tick, srvs, gauge, desk, post }
    }

    /// The list: a searcher is known by its address; a new start voids its past.
    fn list(&mut self, kind: ListKind, lines: Vec<ListedSearcher>) {
        if kind == ListKind::Failed {
            // All were refused at once: spread, and waiting longer, they come when there is room for some.
            self.refused = (self.refused + 1).min(8);
            let most = self.desk.permits.resubscribe_within_ms.unwrap_or(f64::INFINITY) / Self::ASKS;
            let wait = (Self::ASK_MS * f64::from(1 << (self.refused - 1))).min(most);
            self.subscribe_at = self.post.now + wait * (0.5 + self.seed.rand_float());
            return;
        }
        let first = self.desk.opened.is_infinite();
        (self.refused, self.desk.opened) = (0, self.desk.opened.min(self.post.now));
        if kind != ListKind::Changes {
            self.desk.seats.iter_mut().for_each(|s| s.life = SearcherStatus::Gone); // but for those that it names
        }
        let known =
            |l: &ListedSearcher| l.status != SearcherStatus::Gone || self.roster.find(l.searcher).is_some();
        let lines: Vec<ListedSearcher> = lines.into_iter().filter(known).collect();
        for ListedSearcher { searcher: addr, cell, zone, started_at: since, status: life } in lines {
            let Some(srv) = self.roster.find(addr) else {
                let srv = self.roster.place(addr);
                let actor = Searcher::new(srv, addr, zone, self.desk.norms.clone());
                // Of equal searchers the nearest serve; beyond that each mixer draws lots of its own, as all
                // must not prefer the same.
                let lot = f64::from(u8::from(zone != self.zone)) + self.seed.rand_float();
                put(&mut self.srvs, srv, actor);
                put(&mut self.desk.seats, srv, Seat::new(addr, cell, zone, since, life, lot, self.post.now));
                self.desk.cells.enter(cell, srv);
                continue;
            };
            let seat = &mut self.desk.seats[srv];
            if seat.listed != since && life == SearcherStatus::Ready {
                (seat.listed, seat.since, seat.limit) = (since, since, f64::INFINITY);
                (seat.known_at, seat.hushed) = (self.post.now, false);
                self.post.put(SRVS + srv, Note::Renewed);
            }
            seat.life = life;
            let old = std::mem::replace(&mut seat.cell, cell);
            self.desk.cells.leave(old, srv);
            self.desk.cells.enter(cell, srv);
        }
        // Who is gone leaves its place to another, as releases bring new ones.
        let idle =
            |srv: usize| self.desk.seats[srv].life == SearcherStatus::Gone && self.desk.seats[srv].calls == 0;
        for srv in self.roster.retire(idle) {
            self.desk.cells.leave(self.desk.seats[srv].cell, srv);
            self.post.wake(SRVS + srv, false);
        }
        self.desk.ready = self.desk.seats.iter().filter(|s| s.life == SearcherStatus::Ready).count() as f64;
        if first {
            // Until traffic is seen, it is taken for one core's at each searcher.
            self.desk.flow = self.desk.ready / self.desk.mixers;
        }
    }

    /// What others say makes it look, send less, or leave alone, and never send what it would not: a copy
    /// that is wrong or old can cost service, no rule. It counts of searchers on its own list alone.
    fn heard(&mut self, searcher: SocketAddrV4, word: PeerReport) {
        let Some(srv) = self.roster.find(searcher) else { return };
        match word {
            PeerReport::Marked | PeerReport::MarkedBySeveral => {
                self.post.put(SRVS + srv, Note::Hint(word == PeerReport::MarkedBySeveral))
            }
            PeerReport::Leaving { leaving: leaves } => self.desk.seats[srv].hushed = leaves,
            PeerReport::Restarted { started_at: since } => {
                self.desk.seats[srv].told = since.min(self.post.now)
            }
        }
    }
}

impl DecisionModule for Mixer {
    fn handle_events(&mut self, now: f64, events: Vec<Event>) -> Vec<Action> {
        self.post.now = now;
        for event in events {
            match event {
                Event::List { kind, searchers: lines } => self.list(kind, lines),
                Event::ProbeEnded { searcher, outcome: ending, took_ms } => {
                    let srv = self.roster.find(searcher).into_iter();
                    srv.for_each(|srv| self.post.put(SRVS + srv, Note::Pong(ending, took_ms)));
                }
                Event::PeerReport { searcher, report } => self.heard(searcher, report),
                // Never fewer than stated: who is not seen may be cut off and send all the same.
                Event::MixerCount { mixers: seen } => self.desk.mixers = self.stated.max(f64::from(seen)),
                Event::IdleConnectionsLost => self.desk.lines.doubt_until = now + Lines::DOUBT_MS,
                told => self.post.put(DESK, Note::Told(told)),
            }
        }
        // All that happened is known before ages are judged: a mixer's own pause is no searcher's.
        self.run();
        if now >= self.next_tick {
            self.next_tick = now + Self::TICK_MS;
            self.post.out.push(Action::WakeAt { at: self.next_tick });
            self.post.awake.clone().into_iter().for_each(|to| self.post.put(to, Note::Tick));
            if now >= self.subscribe_at {
                self.subscribe_at = f64::INFINITY;
                self.post.out.push(Action::Subscribe);
            }
        }
        self.run();
        self.post.put(DESK, Note::Settle);
        self.run();
        std::mem::take(&mut self.post.out)
    }
}
