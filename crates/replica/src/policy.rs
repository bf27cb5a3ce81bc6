//! How far copies are heeded: advice to the decision module, bounded, and weighed by how far each peer was right of late.
//!
//! What advice may do is bounded twice. Here: so many looks a second whatever is said, drains and starts that the own list
//! does not confirm are taken back, and who was wrong is heard less. In the module: nothing that is advised can make it send
//! what the rules bar, as all it does on advice is to look, to send less, or to leave alone.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use pewterwharf::interface::{Event, PeerReport, SearcherStatus};
use pewterwharf::report::ObservedSearcher;

use crate::kinds::{IdleLost, Kind, Leaving, Mark, ProcessStart, Stage};
use crate::store::{News, Replica, Report};

/// How far a peer has been right of late: 1 always, 0 never.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trust {
    level: f64,
    at: f64,
}

impl Trust {
    /// Of one that nothing is known of.
    const MIDDLE: f64 = 0.5;
    /// Under this its word alone makes nobody look.
    const HEARD: f64 = 0.2;
    /// In this time what is known of it fades to the middle by two thirds: a sick mixer may be mended.
    const FADE_MS: f64 = 30_000.0;
    /// How much one case weighs: three wrong words in a row and it is not heard.
    const CASE: f64 = 0.3;

    const NEW: Self = Self { level: Self::MIDDLE, at: 0.0 };

    /// Its level now, 0 to 1.
    pub fn level(&self, now: f64) -> f64 {
        Self::MIDDLE + (self.level - Self::MIDDLE) * ((self.at - now).min(0.0) / Self::FADE_MS).exp()
    }

    fn heard(&self, now: f64) -> bool {
        self.level(now) >= Self::HEARD
    }

    fn case(&mut self, now: f64, right: bool) {
        let level = self.level(now);
        let goal = f64::from(u8::from(right));
        *self = Self { level: level + Self::CASE * (goal - level), at: now };
    }
}

/// Something for the decision module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Advice {
    /// One peer has marked it: a reason to look.
    Look(SocketAddrV4),
    /// Several that agree have: one part at a time until one comes back in time.
    Doubt(SocketAddrV4),
    /// It drains or goes, as a peer was told.
    Leaves(SocketAddrV4),
    /// Nothing has confirmed that: it is as the own list says.
    Stays(SocketAddrV4),
    /// It has a later start than the own list says, and is cold.
    Restarted(SocketAddrV4, f64),
    /// Nothing has confirmed that.
    RestartRetracted(SocketAddrV4),
    /// Several lose connections that are idle.
    IdleLost,
    /// So many mixers are there, this one among them.
    Mixers(u32),
}

impl Advice {
    /// As the decision module is told.
    pub fn to_event(self) -> Event {
        let of = |searcher, word| Event::PeerReport { searcher, report: word };
        match self {
            Self::Look(searcher) => of(searcher, PeerReport::Marked),
            Self::Doubt(searcher) => of(searcher, PeerReport::MarkedBySeveral),
            Self::Leaves(searcher) => of(searcher, PeerReport::Leaving { leaving: true }),
            Self::Stays(searcher) => of(searcher, PeerReport::Leaving { leaving: false }),
            Self::Restarted(searcher, since) => of(searcher, PeerReport::Restarted { started_at: since }),
            Self::RestartRetracted(searcher) => of(searcher, PeerReport::Restarted { started_at: 0.0 }),
            Self::IdleLost => Event::IdleConnectionsLost,
            Self::Mixers(count) => Event::MixerCount { mixers: count },
        }
    }
}

/// What this mixer knows by itself of a searcher that its own list names.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalStatus {
    pub marked: bool,
    /// Not marked, and a part is late there.
    pub late: bool,
    /// Its start and stage, as the own list says.
    pub since: f64,
    pub stage: Stage,
}

impl LocalStatus {
    /// As the decision module knows it.
    pub fn from_report(known: &ObservedSearcher) -> Self {
        let stage = match known.status {
            SearcherStatus::Ready => Stage::Up,
            SearcherStatus::Draining => Stage::Draining,
            SearcherStatus::Gone => Stage::Going,
        };
        Self { marked: known.marked, late: known.overdue > 0.0, since: known.started_at, stage }
    }
}

/// Parts of a slice, as the module has it: late ones of several mixers together say as much as a slice of one.
const SLICE: u32 = 3;
/// Looks in a second, of all peers' words together: a probe each at most.
const LOOKS_PER_S: f64 = 8.0;
/// Looks that may come at once.
const LOOKS_AT_ONCE: f64 = 8.0;
/// Of these, what a single peer may cause.
const SHARE: f64 = 0.5;
/// After so long a look has told who was right: a probe and the next slice.
const TOLD_MS: f64 = 1500.0;
/// A drain or a start that the own list does not confirm within this is taken back: lists are seconds late, not more.
const CONFIRM_MS: f64 = 10_000.0;
/// Of the searchers that the own list says are up, the share that peers' words alone may take out at a time.
const OUT: f64 = 0.25;

/// A look under way: who asked for it.
#[derive(Debug)]
struct Case {
    by: BTreeSet<String>,
    until: f64,
    /// It was marked here by its own evidence since.
    right: bool,
}

/// A drain or a start by hearsay.
#[derive(Debug)]
struct Hearsay {
    by: String,
    until: f64,
    since: f64,
    /// Kept to until confirmed; afterwards only remembered, so that it is not heard again.
    over: bool,
}

/// Turns copies into advice.
#[derive(Debug)]
pub struct PeerReportPolicy {
    me: String,
    own: BTreeMap<SocketAddrV4, LocalStatus>,
    trust: BTreeMap<String, Trust>,
    cases: BTreeMap<SocketAddrV4, Case>,
    leaving: BTreeMap<SocketAddrV4, Hearsay>,
    began: BTreeMap<SocketAddrV4, Hearsay>,
    doubted: BTreeMap<SocketAddrV4, f64>,
    looks: f64,
    looks_of: BTreeMap<String, f64>,
    filled_at: f64,
    idle_until: f64,
    mixers: u32,
    /// Words that were passed over: of a searcher the own list does not name, of one not trusted, over the bounds.
    pub passed_over: u64,
}

impl PeerReportPolicy {
    pub fn new(me: &str) -> Self {
        Self {
            me: me.to_owned(),
            own: BTreeMap::new(),
            trust: BTreeMap::new(),
            cases: BTreeMap::new(),
            leaving: BTreeMap::new(),
            began: BTreeMap::new(),
            doubted: BTreeMap::new(),
            looks: LOOKS_AT_ONCE,
            looks_of: BTreeMap::new(),
            filled_at: 0.0,
            idle_until: 0.0,
            mixers: 0,
            passed_over: 0,
        }
    }

    /// How far each peer is trusted now, for people.
    pub fn trust(&self, now: f64) -> BTreeMap<String, f64> {
        self.trust.iter().map(|(name, trust)| (name.clone(), trust.level(now))).collect()
    }

    fn trusts(&self, by: &str, now: f64) -> bool {
        self.trust.get(by).unwrap_or(&Trust::NEW).heard(now)
    }

    fn case(&mut self, by: &str, now: f64, right: bool) {
        self.trust.entry(by.to_owned()).or_insert(Trust::NEW).case(now, right);
    }

    /// What this mixer now knows by itself of a searcher; nothing, where its list does not name it any more. Hearsay of it is
    /// held against that; what of it is over comes back.
    #[must_use]
    pub fn local_status_changed(
        &mut self,
        now: f64,
        searcher: SocketAddrV4,
        own: Option<LocalStatus>,
    ) -> Option<Advice> {
        let Some(own) = own else {
            self.own.remove(&searcher);
            // Gone from the list: that it would leave was right.
            let said = self.leaving.remove(&searcher).filter(|said| !said.over);
            said.iter().for_each(|said| self.case(&said.by, now, true));
            self.began.remove(&searcher);
            self.cases.remove(&searcher);
            self.doubted.remove(&searcher);
            return said.map(|_| Advice::Stays(searcher));
        };
        self.own.insert(searcher, own);
        if let Some(case) = self.cases.get_mut(&searcher) {
            case.right |= own.marked;
        }
        // What the own list says itself is no hearsay any more: the list alone decides when it is over. Guards against a drain
        // that is taken back within one start, and would have been kept to for ever.
        let mut confirms = None;
        let confirmed = |said: &Hearsay| own.stage > Stage::Up || own.since > said.since;
        if self.leaving.get(&searcher).is_some_and(confirmed)
            && let Some(said) = self.leaving.remove(&searcher).filter(|said| !said.over)
        {
            self.case(&said.by, now, true);
            confirms = Some(Advice::Stays(searcher));
        }
        if self.began.get(&searcher).is_some_and(|said| own.since >= said.since)
            && let Some(said) = self.began.remove(&searcher).filter(|said| !said.over)
        {
            self.case(&said.by, now, true);
        }
        confirms
    }

    /// So many mixers are members, this one among them.
    pub fn set_mixer_count(&mut self, mixers: u32) -> Option<Advice> {
        (std::mem::replace(&mut self.mixers, mixers) != mixers).then_some(Advice::Mixers(mixers))
    }

    /// What peers said anew, as the replica now holds it.
    pub fn apply_changes(&mut self, now: f64, news: &[News], replica: &Replica) -> Vec<Advice> {
        let mut advice = Vec::new();
        for one in news {
            if one.origin == self.me {
                continue;
            }
            if one.kind == IdleLost::CODE {
                self.idle(now, replica, &mut advice);
                continue;
            }
            if ![Mark::CODE, Leaving::CODE, ProcessStart::CODE].contains(&one.kind) {
                continue;
            }
            // A mixer sends only to searchers that its own list has named: of others it needs to know nothing.
            let known = one.name.parse().ok().filter(|at: &SocketAddrV4| self.own.contains_key(at));
            let Some((searcher, own)) = known.and_then(|at| Some((at, *self.own.get(&at)?))) else {
                self.passed_over += 1;
                continue;
            };
            match one.kind {
                Mark::CODE => self.marked(now, searcher, own, one, replica, &mut advice),
                Leaving::CODE => self.leaves(now, searcher, own, one, replica, &mut advice),
                _ => self.begins(now, searcher, own, one, replica, &mut advice),
            }
        }
        advice
    }

    /// The tokens for looks, of all and of each peer, refilled by time.
    fn fill(&mut self, now: f64) {
        let more = (now - self.filled_at).max(0.0) * LOOKS_PER_S / 1000.0;
        self.filled_at = now;
        self.looks = (self.looks + more).min(LOOKS_AT_ONCE);
        for left in self.looks_of.values_mut() {
            *left = (*left + SHARE * more).min(SHARE * LOOKS_AT_ONCE);
        }
    }

    fn marked(
        &mut self,
        now: f64,
        searcher: SocketAddrV4,
        own: LocalStatus,
        one: &News,
        replica: &Replica,
        advice: &mut Vec<Advice>,
    ) {
        let fresh = replica
            .reports::<Mark>(now, &one.name)
            .into_iter()
            .filter(|report| report.age_ms <= Mark::FRESH_MS);
        let heard = fresh.filter(|report| report.origin != self.me && self.trusts(report.origin, now));
        let said: Vec<(String, bool)> =
            heard.map(|report| (report.origin.to_owned(), report.value.late)).collect();
        // A mark stands for a slice; late parts of several make one together, the own among them.
        let parts: u32 = said.iter().map(|s| if s.1 { 1 } else { SLICE }).sum::<u32>() + u32::from(own.late);
        let by: BTreeSet<String> = said.iter().map(|s| s.0.clone()).collect();
        if own.marked || own.stage != Stage::Up || !by.contains(&one.origin) {
            self.passed_over += u64::from(!by.contains(&one.origin) && !own.marked);
            return;
        }
        if parts < SLICE {
            return;
        }
        if let Some(case) = self.cases.get_mut(&searcher) {
            case.by.extend(by.iter().cloned());
        } else {
            self.fill(now);
            let left = self.looks_of.entry(one.origin.clone()).or_insert(SHARE * LOOKS_AT_ONCE);
            if self.looks < 1.0 || *left < 1.0 {
                self.passed_over += 1;
                return;
            }
            (self.looks, *left) = (self.looks - 1.0, *left - 1.0);
            self.cases.insert(searcher, Case { by: by.clone(), until: now + TOLD_MS, right: false });
            advice.push(Advice::Look(searcher));
        }
        // Several: two at least, and of a larger fleet a tenth of those that are there.
        let several = (self.mixers as usize).div_ceil(10).max(2);
        let doubted = self.doubted.get(&searcher).is_some_and(|until| now < *until);
        let marks = said.iter().filter(|s| !s.1).count();
        if marks >= several && !doubted && self.may_take_out(self.doubted.len()) {
            self.doubted.insert(searcher, now + TOLD_MS);
            advice.push(Advice::Doubt(searcher));
        }
    }

    /// Whether peers' words may take out one more, beside so many: never more than a share of those that are up.
    fn may_take_out(&self, out: usize) -> bool {
        let up = self.own.values().filter(|o| o.stage == Stage::Up).count();
        (out + 1) as f64 <= OUT * up as f64
    }

    fn leaves(
        &mut self,
        now: f64,
        searcher: SocketAddrV4,
        own: LocalStatus,
        one: &News,
        replica: &Replica,
        advice: &mut Vec<Advice>,
    ) {
        let said = replica.reports::<Leaving>(now, &one.name);
        let current =
            |report: &Report<Leaving>| report.origin == one.origin && report.age_ms <= Leaving::FRESH_MS;
        let Some(said) = said.into_iter().find(current).map(|report| report.value) else { return };
        // What it says has to be news: of the start that is known here or a later one.
        if said.stage == Stage::Up || own.stage != Stage::Up || said.since < own.since {
            return;
        }
        let held = self.leaving.values().filter(|s| !s.over).count();
        if self.leaving.contains_key(&searcher) || !self.trusts(&one.origin, now) || !self.may_take_out(held)
        {
            self.passed_over += 1;
            return;
        }
        let hearsay =
            Hearsay { by: one.origin.clone(), until: now + CONFIRM_MS, since: said.since, over: false };
        self.leaving.insert(searcher, hearsay);
        advice.push(Advice::Leaves(searcher));
    }

    fn begins(
        &mut self,
        now: f64,
        searcher: SocketAddrV4,
        own: LocalStatus,
        one: &News,
        replica: &Replica,
        advice: &mut Vec<Advice>,
    ) {
        let said = replica.reports::<ProcessStart>(now, &one.name);
        let current = |report: &Report<ProcessStart>| {
            report.origin == one.origin && report.age_ms <= ProcessStart::FRESH_MS
        };
        let Some(said) = said.into_iter().find(current).map(|report| report.value) else { return };
        if said.since <= own.since {
            return;
        }
        let known = self.began.get(&searcher).is_some_and(|held| held.over || held.since >= said.since);
        let held = self.began.values().filter(|s| !s.over).count();
        if known || !self.trusts(&one.origin, now) || !self.may_take_out(held) {
            self.passed_over += 1;
            return;
        }
        let hearsay =
            Hearsay { by: one.origin.clone(), until: now + CONFIRM_MS, since: said.since, over: false };
        self.began.insert(searcher, hearsay);
        advice.push(Advice::Restarted(searcher, said.since));
    }

    fn idle(&mut self, now: f64, replica: &Replica, advice: &mut Vec<Advice>) {
        let all = replica.reports::<IdleLost>(now, "");
        let by = all
            .into_iter()
            .filter(|report| {
                report.origin != self.me
                    && report.age_ms <= IdleLost::FRESH_MS
                    && self.trusts(report.origin, now)
            })
            .count();
        if by >= (self.mixers as usize).div_ceil(10).max(2) && now >= self.idle_until {
            self.idle_until = now + IdleLost::FRESH_MS;
            advice.push(Advice::IdleLost);
        }
    }

    /// What time has shown: who was right with a look, and hearsay that nothing has confirmed.
    pub fn tick(&mut self, now: f64) -> Vec<Advice> {
        let mut advice = Vec::new();
        let over: Vec<SocketAddrV4> = self.cases.iter().filter(|c| now >= c.1.until).map(|c| *c.0).collect();
        for searcher in over {
            if let Some(case) = self.cases.remove(&searcher) {
                case.by.iter().for_each(|by| self.case(by, now, case.right));
            }
        }
        self.doubted.retain(|_, until| now < *until);
        let take_back = |held: &mut BTreeMap<SocketAddrV4, Hearsay>| -> Vec<(SocketAddrV4, String)> {
            held.retain(|_, said| !said.over || now < said.until + CONFIRM_MS);
            let late = held.iter_mut().filter(|(_, said)| !said.over && now >= said.until);
            late.map(|(at, said)| {
                said.over = true;
                (*at, said.by.clone())
            })
            .collect()
        };
        let stays = take_back(&mut self.leaving);
        let not_begun = take_back(&mut self.began);
        for (searcher, by) in stays {
            self.case(&by, now, false);
            advice.push(Advice::Stays(searcher));
        }
        for (searcher, by) in not_begun {
            self.case(&by, now, false);
            advice.push(Advice::RestartRetracted(searcher));
        }
        advice
    }
}
