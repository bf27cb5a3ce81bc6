//! One run of the module through given moves, and the rules it is held to.
//!
//! The simulation keeps what is true (who runs, who is told to), carries out what the module decides, and judges every
//! action as it comes. Its judgement is its own: it never asks the module whether something was allowed.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::{self, Write};
use std::hash::{DefaultHasher, Hasher};

use pewterwharf::interface::{
    Action, DecisionModule, DispatchOutcome, Event, Idempotency, ListKind, ListedSearcher, SearcherStatus,
};
use pewterwharf_fleet::Condition;

use super::moves::{DispatchEnd, Move};
use super::scenario::Scenario;
use crate::claim::{AnswerKind, BehaviourClaim, ObservedAction};

/// What is explored: it decides, and prints all that its further decisions depend on.
pub trait Subject: DecisionModule + fmt::Debug {}

impl<T: DecisionModule + fmt::Debug> Subject for T {}

/// Opens a subject on a seed.
pub type SubjectFactory<'a> = dyn Fn(u64) -> Box<dyn Subject> + Sync + 'a;

/// What was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// 1: every scan gets exactly one final answer, in time, and nothing is sent after it.
    NoScanLost,
    /// 2: no effect happens twice.
    NoEffectTwice,
    /// 3: nothing new to who drains or is gone, once told.
    DrainsKept,
    /// 4: a cold searcher gets its part of the allowance.
    ColdSpared,
    /// 5: no answer from less than the least share, none called whole that is not.
    AnswersHonest,
    /// 6: further dispatches stay within the stated budget.
    BudgetKept,
    /// A watch of the operators', by its place in the list.
    BehaviourClaim(usize),
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoScanLost => "rule 1, no scan lost",
            Self::NoEffectTwice => "rule 2, no effect twice",
            Self::DrainsKept => "rule 3, drains kept",
            Self::ColdSpared => "rule 4, no cold searcher pushed over",
            Self::AnswersHonest => "rule 5, honest answers",
            Self::BudgetKept => "rule 6, the budget of further dispatches",
            Self::BehaviourClaim(_) => "not as expected",
        })
    }
}

/// A rule that was broken, and by what.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: Rule,
    pub what: String,
}

/// When a run begins, in milliseconds since 1970; any time long after zero will do, as zero means long ago.
const BEGIN: f64 = 1.0e9;
/// A wait ends after this share of the scan's query timeout, if nothing happens before.
const WAIT: f64 = 0.25;
/// Turns that the end of a run may take until all scans are answered.
const CLOSING: usize = 2000;
/// A part's own work, as a share of the target time: what the module may learn, well under its first guess.
const WORK: f64 = 0.1;

#[derive(Clone, Debug)]
struct Flight {
    place: usize,
    sent_at: f64,
    until: f64,
    /// The searcher's process at the time.
    epoch: u32,
    /// Nothing will come back.
    hangs: bool,
}

/// A dispatch: when it went out, and how it ended.
type Sent = (f64, Option<DispatchOutcome>);

#[derive(Clone, Debug)]
struct Part {
    sent: Vec<Sent>,
}

#[derive(Clone, Debug)]
struct Scan {
    plan: usize,
    taken_at: f64,
    gone_at: f64,
    parts: Vec<Part>,
    done: bool,
}

#[derive(Clone, Debug)]
struct State {
    truth: Condition,
    told: SearcherStatus,
    /// Start of its process, as it is and as the list has it.
    since: f64,
    listed_since: f64,
    epoch: u32,
    /// Something true was not told.
    behind: bool,
    /// Work sent to it while it was cold, by this run of the mixer.
    cold_work: VecDeque<(f64, f64)>,
}

type Leg = (usize, usize, u8);

/// A run.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    watches: &'a [BehaviourClaim],
    open: &'a SubjectFactory<'a>,
    subject: Box<dyn Subject>,
    now: f64,
    wake: f64,
    places: Vec<State>,
    scans: Vec<Option<Scan>>,
    flights: BTreeMap<Leg, Flight>,
    probes: Vec<usize>,
    waiting: Vec<Event>,
    left: super::EventLimits,
    starts: u64,
    taken: VecDeque<f64>,
    extras: VecDeque<f64>,
    violations: Vec<Violation>,
    /// What happened, a line each; none is written where nobody reads.
    lines: Option<Vec<String>>,
}

fn id(scan: usize) -> u64 {
    (scan as u64 + 1) * 100
}

fn leg_of(part: u64, dispatch: u8) -> Leg {
    ((part / 100 - 1) as usize, (part % 100 - 1) as usize, dispatch)
}

impl<'a> Simulation<'a> {
    /// A mixer that has just been told the list.
    pub fn new(
        scenario: &'a Scenario,
        watches: &'a [BehaviourClaim],
        open: &'a SubjectFactory<'a>,
        tell: bool,
    ) -> Self {
        let state = |place: &super::scenario::ScenarioSearcher| {
            let since = if place.condition == Condition::Cold { BEGIN } else { 0.0 };
            let told = life(place.condition);
            State {
                truth: place.condition,
                told,
                since,
                listed_since: since,
                epoch: 0,
                behind: false,
                cold_work: VecDeque::new(),
            }
        };
        let mut simulation = Self {
            subject: open(scenario.seed),
            places: scenario.searchers.iter().map(state).collect(),
            scans: vec![None; scenario.templates.len()],
            left: scenario.limits,
            scenario,
            watches,
            open,
            now: BEGIN,
            wake: BEGIN,
            flights: BTreeMap::new(),
            probes: Vec::new(),
            waiting: Vec::new(),
            starts: 0,
            taken: VecDeque::new(),
            extras: VecDeque::new(),
            violations: Vec::new(),
            lines: tell.then(Vec::new),
        };
        simulation.list(ListKind::Full);
        simulation
    }

    /// Runs the moves; those that can't happen where they stand are passed over.
    pub fn run(&mut self, moves: &[Move]) {
        for one in moves {
            if self.moves().contains(one) {
                self.play(*one);
            }
        }
    }

    /// What was broken so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// What happened, where it was written.
    pub fn told(self) -> Vec<String> {
        self.lines.unwrap_or_default()
    }

    /// What may happen now, in a fixed order.
    pub fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        if let Some(next) = self.scans.iter().position(Option::is_none) {
            moves.push(Move::Scan(next));
        }
        for (leg, flight) in self.flights.iter().filter(|(_, f)| !f.hangs) {
            moves.extend(self.endings(flight).iter().map(|how| Move::Ends(leg.0, leg.1, leg.2, *how)));
        }
        // Nobody sees that a part hangs before it should have come back: any earlier is the same run.
        moves.extend(self.awaited().into_iter().map(|(leg, _)| Move::Hangs(leg.0, leg.1, leg.2)));
        for place in 0..self.places.len() {
            let state = &self.places[place];
            if self
                .flights
                .values()
                .any(|f| f.place == place && (f.epoch != state.epoch || state.truth.accepts_work()))
            {
                moves.push(Move::Lost(place));
            }
            let next = match state.truth {
                Condition::Up | Condition::Cold => {
                    &[Condition::Draining, Condition::Gone, Condition::Cold][..]
                }
                Condition::Draining => &[Condition::Gone],
                Condition::Gone => &[Condition::Cold],
            };
            for to in next {
                if self.left.told > 0 && !state.behind {
                    moves.push(Move::Told(place, *to));
                }
                if self.left.unseen > 0 && self.scenario.searchers[place].unsure {
                    moves.push(Move::Unseen(place, *to));
                }
            }
            if state.behind {
                moves.push(Move::Tell(place));
            }
        }
        for place in &self.probes {
            let up = self.places[*place].truth != Condition::Gone;
            moves.extend(up.then_some(Move::Pong(*place, true)));
            moves.push(Move::Pong(*place, false));
        }
        if self.left.leaves > 0 {
            let open = |s: &Option<Scan>| s.as_ref().is_some_and(|s| !s.done);
            moves.extend((0..self.scans.len()).filter(|s| open(&self.scans[*s])).map(Move::Leaves));
        }
        if self.scans.iter().flatten().any(|s| !s.done) || !self.probes.is_empty() {
            moves.push(Move::Wait);
        }
        if self.left.restarts > 0 {
            moves.push(Move::Restart);
        }
        moves.dedup();
        moves
    }

    /// DispatchEnd a dispatch may end, the usual way first.
    fn endings(&self, flight: &Flight) -> &'static [DispatchEnd] {
        let state = &self.places[flight.place];
        match (flight.epoch == state.epoch, state.truth) {
            (true, Condition::Up | Condition::Cold) => {
                &[DispatchEnd::Ok, DispatchEnd::Error, DispatchEnd::Full]
            }
            (true, Condition::Draining) => &[DispatchEnd::Full],
            (true, Condition::Gone) => &[DispatchEnd::Refused],
            // Sent before it changed: who drains completes what it holds, another process knows nothing of it.
            (false, Condition::Draining) => &[DispatchEnd::Ok, DispatchEnd::Error],
            (false, _) => &[],
        }
    }

    /// The dispatch that comes back next if nothing goes wrong.
    fn awaited(&self) -> Option<(&Leg, &Flight)> {
        let awaited = self.flights.iter().filter(|(_, f)| !f.hangs);
        awaited.min_by(|a, b| a.1.sent_at.total_cmp(&b.1.sent_at))
    }

    /// What happens next if nothing goes wrong: parts come back in the order in which they went, probes come back, the
    /// list tells what it has not, the next scan arrives, and time passes. None at the end of a run.
    pub fn usual(&self) -> Option<Move> {
        if let Some((leg, flight)) = self.awaited() {
            let how = self.endings(flight).first();
            return Some(how.map_or(Move::Lost(flight.place), |how| Move::Ends(leg.0, leg.1, leg.2, *how)));
        }
        if let Some(place) = self.probes.first() {
            return Some(Move::Pong(*place, self.places[*place].truth != Condition::Gone));
        }
        if let Some(place) = self.places.iter().position(|p| p.behind) {
            return Some(Move::Tell(place));
        }
        if self.scans.iter().flatten().any(|s| !s.done) {
            return Some(Move::Wait);
        }
        self.scans.iter().position(Option::is_none).map(Move::Scan)
    }

    /// Lets one of [`Simulation::moves`] happen.
    pub fn play(&mut self, one: Move) {
        if self.lines.is_some() {
            let line = self.say(one);
            self.line(&line);
        }
        match one {
            Move::Scan(nth) => self.scan(nth),
            Move::Ends(scan, part, dispatch, how) => {
                let event = self.end((scan, part, dispatch), how.ending());
                self.turn(event.into_iter().collect());
            }
            Move::Hangs(scan, part, dispatch) => {
                self.flights.get_mut(&(scan, part, dispatch)).into_iter().for_each(|f| f.hangs = true);
            }
            Move::Lost(place) => self.lose(place),
            Move::Told(place, to) => {
                self.left.told -= 1;
                self.change(place, to);
                self.tell(place);
            }
            Move::Unseen(place, to) => {
                self.left.unseen -= 1;
                self.change(place, to);
                self.places[place].behind = true;
            }
            Move::Tell(place) => self.tell(place),
            Move::Pong(place, good) => {
                self.probes.retain(|p| *p != place);
                let ending = if good { DispatchOutcome::Ok } else { DispatchOutcome::TimedOut };
                let searcher = self.scenario.searchers[place].addr;
                self.turn(vec![Event::ProbeEnded { searcher, outcome: ending, took_ms: 1.0 }]);
            }
            Move::Leaves(nth) => {
                self.left.leaves -= 1;
                if let Some(scan) = &mut self.scans[nth] {
                    scan.done = true;
                }
                self.turn(vec![Event::ClientGone { scan: id(nth) }]);
            }
            Move::Wait => self.wait(),
            Move::Restart => self.restart(),
        }
    }

    /// Lets time pass with nothing else until every scan is answered: what is lost shows only at the end.
    pub fn close(&mut self) {
        for _ in 0..CLOSING {
            if !self.violations.is_empty() || !self.scans.iter().flatten().any(|s| !s.done) {
                return;
            }
            self.wait();
        }
    }

    /// All that decides what can follow, as one figure.
    pub fn digest(&self) -> u64 {
        let mut text = Hashing(DefaultHasher::new());
        let _ = write!(
            text,
            "{:?}|{:?}|{:?}|{:?}|{:?}|{:?}|{:?}|{:?}|{:?}|{:?}|{:?}",
            self.subject,
            self.now,
            self.wake,
            self.places,
            self.scans,
            self.flights,
            self.probes,
            self.waiting,
            self.left,
            self.starts,
            (&self.taken, &self.extras),
        );
        text.0.finish()
    }

    fn list(&mut self, kind: ListKind) {
        let lines = (0..self.places.len()).map(|p| self.listed(p)).collect();
        self.turn(vec![Event::List { kind, searchers: lines }]);
    }

    fn listed(&self, place: usize) -> ListedSearcher {
        let (at, state) = (&self.scenario.searchers[place], &self.places[place]);
        ListedSearcher {
            searcher: at.addr,
            cell: at.cell,
            zone: at.hall as u16,
            started_at: state.listed_since,
            status: state.told,
        }
    }

    fn scan(&mut self, nth: usize) {
        let plan = &self.scenario.templates[nth];
        let terms = &self.scenario.config.table_types[plan.table_type];
        let (now, number) = (self.now, nth as u32 + 1);
        let gone_at = now + terms.query_timeout_ms;
        let mut events = vec![Event::Scan {
            id: id(nth),
            number,
            table_type: plan.table_type,
            customer: 0,
            deadline_at: gone_at,
            work_ms: None,
            retry: false,
        }];
        let part = |(i, (shard, weight)): (usize, &(u32, f64))| Event::Part {
            id: id(nth) + 1 + i as u64,
            number,
            shard: *shard,
            weight: *weight,
        };
        events.extend(plan.parts.iter().enumerate().map(part));
        let parts = vec![Part { sent: Vec::new() }; plan.parts.len()];
        self.taken.extend(vec![now; 1 + parts.len()]);
        self.scans[nth] = Some(Scan { plan: nth, taken_at: now, gone_at, parts, done: false });
        self.turn(events);
    }

    fn end(&mut self, leg: Leg, ending: DispatchOutcome) -> Option<Event> {
        let flight = self.flights.remove(&leg)?;
        if let Some(scan) = &mut self.scans[leg.0] {
            scan.parts[leg.1].sent[usize::from(leg.2)].1 = Some(ending);
        }
        Some(Event::DispatchEnded {
            part: id(leg.0) + 1 + leg.1 as u64,
            dispatch: leg.2,
            searcher: self.scenario.searchers[flight.place].addr,
            outcome: ending,
            took_ms: self.now - flight.sent_at,
            busy: None,
        })
    }

    fn lose(&mut self, place: usize) {
        let legs: Vec<Leg> =
            self.flights.iter().filter(|(_, f)| f.place == place).map(|(leg, _)| *leg).collect();
        let events = legs.into_iter().filter_map(|leg| self.end(leg, DispatchOutcome::Reset)).collect();
        self.turn(events);
    }

    fn change(&mut self, place: usize, to: Condition) {
        let state = &mut self.places[place];
        state.truth = to;
        state.epoch += 1;
        if to == Condition::Cold {
            state.since = self.now;
            state.cold_work.clear();
        }
    }

    fn tell(&mut self, place: usize) {
        let state = &mut self.places[place];
        state.behind = false;
        state.told = life(state.truth);
        state.listed_since = state.since;
        let lines = vec![self.listed(place)];
        self.turn(vec![Event::List { kind: ListKind::Changes, searchers: lines }]);
    }

    fn restart(&mut self) {
        self.left.restarts -= 1;
        self.starts += 1;
        self.subject = (self.open)(self.scenario.seed + self.starts);
        self.flights.clear();
        self.probes.clear();
        self.waiting.clear();
        self.taken.clear();
        self.extras.clear();
        // What it had taken is no longer its duty, and what it sent is no longer known to it.
        self.scans.iter_mut().flatten().for_each(|s| s.done = true);
        self.places.iter_mut().for_each(|p| p.cold_work.clear());
        self.wake = self.now;
        self.list(ListKind::Cached);
    }

    /// Ticks until the mixer does something, a time-out is due, or long enough.
    fn wait(&mut self) {
        let longest =
            self.scenario.config.table_types.iter().map(|t| t.query_timeout_ms).fold(f64::INFINITY, f64::min);
        let limit = self.now + WAIT * longest;
        loop {
            let timeout = self.flights.values().map(|f| f.until).fold(f64::INFINITY, f64::min);
            self.now = self.wake.min(timeout).min(limit).max(self.now);
            let due: Vec<Leg> =
                self.flights.iter().filter(|(_, f)| f.until <= self.now).map(|(leg, _)| *leg).collect();
            let timed_out = !due.is_empty();
            let mut events: Vec<Event> =
                due.into_iter().filter_map(|leg| self.end(leg, DispatchOutcome::TimedOut)).collect();
            if events.is_empty() {
                events.push(Event::Wake);
            }
            let acted = self.turn(events);
            for nth in 0..self.scans.len() {
                let late = self.scans[nth].as_ref().is_some_and(|s| !s.done && self.now > s.gone_at);
                if late {
                    self.report_violation(
                        Rule::NoScanLost,
                        format!("scan {nth} has no answer when its time is up"),
                    );
                    self.scans[nth].iter_mut().for_each(|s| s.done = true);
                }
            }
            if acted || timed_out || self.now >= limit || !self.violations.is_empty() {
                return;
            }
        }
    }

    /// One turn of the module; whether it did anything that others see.
    fn turn(&mut self, mut events: Vec<Event>) -> bool {
        events.append(&mut self.waiting);
        let actions = self.subject.handle_events(self.now, events);
        let mut acted = false;
        for action in actions {
            acted |= !matches!(action, Action::WakeAt { .. } | Action::Log { .. } | Action::Subscribe);
            self.act(action);
        }
        acted
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Dispatch { part, searcher, timeout_ms } => {
                self.dispatch(part, searcher.port(), timeout_ms)
            }
            Action::Cancel { part, dispatch } => {
                let leg = leg_of(part, dispatch);
                if self.scenario.config.permissions.cancel
                    && let Some(event) = self.end(leg, DispatchOutcome::Cancelled)
                {
                    self.line(&format!("    gives up part {}.{} dispatch {}", leg.0, leg.1, leg.2));
                    self.waiting.push(event);
                }
            }
            Action::Complete { scan, whole } => self.complete(scan, whole),
            Action::Throttle { scan, .. } => self.throttle(scan),
            Action::Abandon { scan } => self.answered(scan, AnswerKind::Abandoned, None),
            Action::Probe { searcher } => {
                let place = usize::from(searcher.port()) - 1;
                self.line(&format!("    probes {}", self.scenario.searchers[place].name));
                if !self.probes.contains(&place) {
                    self.probes.push(place);
                }
            }
            Action::CloseIdleConnections { .. } | Action::Subscribe => {}
            Action::WakeAt { at } => self.wake = at,
            Action::Log { line } => {
                if self.lines.is_some() {
                    let named = (1u16..).zip(&self.scenario.searchers).fold(line, |line, (port, place)| {
                        line.replace(&format!("127.0.0.1:{port} "), &format!("{} ", place.name))
                    });
                    self.line(&format!("    {named}"));
                }
            }
        }
    }

    fn dispatch(&mut self, part: u64, port: u16, timeout_ms: f64) {
        let (now, place) = (self.now, usize::from(port) - 1);
        let (nth, index, _) = leg_of(part, 0);
        let at = &self.scenario.searchers[place];
        let Some(scan) = &mut self.scans[nth] else {
            return self.report_violation(
                Rule::NoScanLost,
                format!("a part of scan {nth}, which nobody asked, is sent"),
            );
        };
        let dispatch = scan.parts[index].sent.len() as u8;
        let terms = &self.scenario.config.table_types[self.scenario.templates[scan.plan].table_type];
        let (done, taken_at, table_type) =
            (scan.done, scan.taken_at, self.scenario.templates[scan.plan].table_type);
        let earlier = scan.parts[index].sent.clone();
        scan.parts[index].sent.push((now, None));
        let state = &mut self.places[place];
        let (truth, told, epoch) = (state.truth, state.told, state.epoch);
        self.flights.insert(
            (nth, index, dispatch),
            Flight { place, sent_at: now, until: now + timeout_ms.max(0.0), epoch, hangs: false },
        );
        let (name, hall) = (at.name.clone(), at.hall);
        let which = format!("part {nth}.{index}");
        self.line(&format!("    {which} dispatch {dispatch} -> {name}, which is {}", said(truth)));
        if done {
            self.report_violation(
                Rule::NoScanLost,
                format!("{which} is sent to {name} after its scan's end"),
            );
        }
        self.repeat(&which, &name, &earlier, terms.idempotency, taken_at);
        if told != SearcherStatus::Ready {
            let word = if told == SearcherStatus::Gone { "gone" } else { "draining" };
            self.report_violation(
                Rule::DrainsKept,
                format!("{which} is sent to {name}, which was told to be {word}"),
            );
        }
        self.spare(&which, place);
        if dispatch > 0 {
            self.extras.push_back(now);
            self.afford();
        }
        let beside = earlier.iter().any(|s| s.1.is_none());
        for (at, watch) in self.watches.iter().enumerate() {
            let ObservedAction::Sent { to, hall: only, again, beside: only_beside } = &watch.action else {
                continue;
            };
            if watch.table_type.is_some_and(|t| t != table_type) {
                continue;
            }
            let fits = (to.is_empty() || to.contains(&truth))
                && only.is_none_or(|h| h == hall)
                && (!again || dispatch > 0)
                && (!only_beside || beside);
            if fits != watch.always {
                let what = format!("{which} is sent to {name}, which is {}", said(truth));
                self.report_violation(Rule::BehaviourClaim(at), what);
            }
        }
    }

    /// Rule 2, and the number of dispatches that a part may have.
    fn repeat(&mut self, which: &str, name: &str, earlier: &[Sent], repeat: Idempotency, taken_at: f64) {
        let permits = &self.scenario.config.permissions;
        if earlier.len() >= permits.max_dispatches as usize {
            let what = format!("{which} gets dispatch {} of {}", earlier.len() + 1, permits.max_dispatches);
            self.report_violation(Rule::NoEffectTwice, what);
        }
        let out = earlier.iter().any(|s| s.1.is_none());
        if out && !permits.hedge {
            self.report_violation(
                Rule::NoEffectTwice,
                format!("{which} gets a second copy, which is not allowed"),
            );
        }
        let may_have_run = |s: &&Sent| s.1.is_none_or(|ending| !ending.never_ran());
        let ran: Vec<&Sent> = earlier.iter().filter(may_have_run).collect();
        let first = ran.iter().map(|s| s.0).fold(f64::INFINITY, f64::min);
        let broken = match repeat {
            Idempotency::Replayable => false,
            Idempotency::Keyed { window_ms } => !ran.is_empty() && self.now > first.max(taken_at) + window_ms,
            Idempotency::NonReplayable => !ran.is_empty(),
        };
        if broken {
            let what = format!("{which} is sent again, to {name}, though it may have run");
            self.report_violation(Rule::NoEffectTwice, what);
        }
    }

    /// Rule 4: in any fall window, one part, or this mixer's equal share of the multiple of what it can do.
    fn spare(&mut self, which: &str, place: usize) {
        let (now, guards) = (self.now, &self.scenario.config.safety_limits);
        let work = WORK * self.scenario.config.table_types[self.scenario.templates[0].table_type].target_ms;
        let state = &mut self.places[place];
        // What the list does not tell, a mixer can't spare; it is held to what it was told.
        let age = now - state.listed_since;
        if state.listed_since <= 0.0 || age >= guards.warm_up_ms || state.told != SearcherStatus::Ready {
            return;
        }
        while state.cold_work.front().is_some_and(|w| w.0 < now - guards.overload_window_ms) {
            state.cold_work.pop_front();
        }
        state.cold_work.push_back((now, work));
        let able = guards.cold_capacity_share + (1.0 - guards.cold_capacity_share) * age / guards.warm_up_ms;
        let mixers = f64::from(self.scenario.config.placement.mixers.max(1));
        let share = guards.overload_multiple * able * guards.overload_window_ms / mixers;
        let (parts, sum) = (state.cold_work.len(), state.cold_work.iter().map(|w| w.1).sum::<f64>());
        if parts > 1 && sum > share {
            let name = &self.scenario.searchers[place].name;
            let what =
                format!("{which} brings {name}, cold, {sum:.0} ms of work where {share:.0} is its share");
            self.report_violation(Rule::ColdSpared, what);
        }
    }

    /// Rule 6, where a budget is stated.
    fn afford(&mut self) {
        let Some(budget) = self.scenario.config.safety_limits.retry_budget else { return };
        let from = self.now - budget.window_ms;
        for queue in [&mut self.taken, &mut self.extras] {
            while queue.front().is_some_and(|t| *t < from) {
                queue.pop_front();
            }
        }
        let most = budget.free + budget.share * self.taken.len() as f64;
        if self.extras.len() as f64 > most {
            let what = format!(
                "{} further dispatches in a window for which {most:.1} are stated",
                self.extras.len()
            );
            self.report_violation(Rule::BudgetKept, what);
        }
    }

    fn complete(&mut self, scan: u64, whole: bool) {
        let nth = (scan / 100 - 1) as usize;
        let Some(open) = &self.scans[nth] else {
            return self.answered(scan, AnswerKind::Completed, Some(whole));
        };
        let plan = &self.scenario.templates[open.plan];
        let terms = &self.scenario.config.table_types[plan.table_type];
        let is_in = |p: &Part| p.sent.iter().any(|s| s.1 == Some(DispatchOutcome::Ok));
        let weights = open.parts.iter().zip(&plan.parts).filter(|(p, _)| is_in(p)).map(|(_, w)| w.1);
        let have = weights.fold(0.0, |sum, weight| sum + weight);
        let (need, least) = (terms.required_weight, terms.minimum_weight.min(terms.required_weight));
        const HAIR: f64 = 1e-4;
        if have + HAIR < least || have <= 0.0 {
            let what = format!("scan {nth} is answered from {have:.2} of its parts, {least:.2} is the least");
            self.report_violation(Rule::AnswersHonest, what);
        }
        if whole && have + HAIR < need {
            let what =
                format!("scan {nth} is called whole with {have:.2} of its parts, {need:.2} make it whole");
            self.report_violation(Rule::AnswersHonest, what);
        }
        self.answered(scan, AnswerKind::Completed, Some(whole));
    }

    fn throttle(&mut self, scan: u64) {
        let nth = (scan / 100 - 1) as usize;
        if let Some(open) = &self.scans[nth] {
            let repeat =
                self.scenario.config.table_types[self.scenario.templates[open.plan].table_type].idempotency;
            let may_have_run = |s: &Sent| s.1.is_none_or(|ending| !ending.never_ran());
            if repeat == Idempotency::NonReplayable
                && open.parts.iter().any(|p| p.sent.iter().any(may_have_run))
            {
                let what = format!("scan {nth} is throttled though a part of it may have run");
                self.report_violation(Rule::NoEffectTwice, what);
            }
        }
        self.answered(scan, AnswerKind::Throttled, None);
    }

    fn answered(&mut self, scan: u64, kind: AnswerKind, whole: Option<bool>) {
        let nth = (scan / 100 - 1) as usize;
        let words = match (kind, whole) {
            (AnswerKind::Completed, Some(true)) => "completed, whole",
            (AnswerKind::Completed, _) => "completed, not whole",
            (AnswerKind::Throttled, _) => "throttled",
            (AnswerKind::Abandoned, _) => "abandoned",
        };
        self.line(&format!("    scan {nth} is {words}"));
        let now = self.now;
        let Some(open) = self.scans[nth].as_mut().filter(|s| !s.done) else {
            return self
                .report_violation(Rule::NoScanLost, format!("scan {nth} is {words} when it is not open"));
        };
        open.done = true;
        let late = now > open.gone_at;
        let table_type = self.scenario.templates[open.plan].table_type;
        if late {
            self.report_violation(Rule::NoScanLost, format!("scan {nth} is {words} after its time is up"));
        }
        for (at, watch) in self.watches.iter().enumerate() {
            let ObservedAction::Answered { kinds, whole: wanted } = &watch.action else { continue };
            if watch.table_type.is_some_and(|t| t != table_type) {
                continue;
            }
            let fits = (kinds.is_empty() || kinds.contains(&kind))
                && wanted.is_none_or(|w| whole.is_some_and(|whole| whole == w));
            if fits != watch.always {
                self.report_violation(Rule::BehaviourClaim(at), format!("scan {nth} is {words}"));
            }
        }
    }

    fn report_violation(&mut self, rule: Rule, what: String) {
        self.line(&format!("!!  {rule}: {what}"));
        self.violations.push(Violation { rule, what });
    }

    fn line(&mut self, line: &str) {
        let at = self.now - BEGIN;
        if let Some(lines) = &mut self.lines {
            lines.push(format!("{at:>7.0} {line}"));
        }
    }

    fn say(&self, one: Move) -> String {
        let name = |place: usize| &self.scenario.searchers[place].name;
        match one {
            Move::Scan(nth) => {
                let plan = &self.scenario.templates[nth];
                let slices: Vec<String> = plan.parts.iter().map(|p| p.0.to_string()).collect();
                let table_type = &self.scenario.config.table_type_names[plan.table_type];
                format!("scan {nth} arrives: {table_type}, slices {}", slices.join(" and "))
            }
            Move::Ends(scan, part, dispatch, how) => {
                let place = self.flights.get(&(scan, part, dispatch)).map(|f| f.place);
                let at = place.map(|p| format!(" at {}", name(p))).unwrap_or_default();
                let how = match how {
                    DispatchEnd::Ok => "comes back",
                    DispatchEnd::Error => "fails",
                    DispatchEnd::Full => "is turned away",
                    DispatchEnd::Refused => "meets no connection",
                };
                format!("part {scan}.{part} dispatch {dispatch}{at} {how}")
            }
            Move::Hangs(scan, part, dispatch) => {
                let place = self.flights.get(&(scan, part, dispatch)).map(|f| f.place);
                let at = place.map(|p| format!(" at {}", name(p))).unwrap_or_default();
                format!("part {scan}.{part} dispatch {dispatch}{at} will not be answered")
            }
            Move::Lost(place) => format!("the connection to {} is lost", name(place)),
            Move::Told(place, to) => format!("{} is now {}, and the list tells so", name(place), said(to)),
            Move::Unseen(place, to) => {
                format!("{} is now {}, and the list does not tell", name(place), said(to))
            }
            Move::Tell(place) => {
                format!("the list tells that {} is {}", name(place), said(self.places[place].truth))
            }
            Move::Pong(place, true) => format!("the probe to {} comes back", name(place)),
            Move::Pong(place, false) => format!("the probe to {} fails", name(place)),
            Move::Leaves(nth) => format!("the client of scan {nth} leaves"),
            Move::Wait => "time passes".to_owned(),
            Move::Restart => "the mixer is killed and starts again with the list it held".to_owned(),
        }
    }
}

fn life(condition: Condition) -> SearcherStatus {
    match condition {
        Condition::Up | Condition::Cold => SearcherStatus::Ready,
        Condition::Draining => SearcherStatus::Draining,
        Condition::Gone => SearcherStatus::Gone,
    }
}

fn said(condition: Condition) -> &'static str {
    match condition {
        Condition::Up => "up",
        Condition::Cold => "back and cold",
        Condition::Draining => "draining",
        Condition::Gone => "gone",
    }
}

struct Hashing(DefaultHasher);

impl fmt::Write for Hashing {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}
