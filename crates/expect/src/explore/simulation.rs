//! One run of the decision module through given moves, and the rules that it is checked against.
//!
//! The simulation tracks the actual state of the searchers and the state that the list reports. It executes the module's
//! actions and checks each of them. The checks are independent: they never use the module's own state.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::{self, Write};
use std::hash::{DefaultHasher, Hasher};

use pewterwharf::interface::{
    Action, DecisionModule, DispatchOutcome, Event, Idempotency, ListKind, ListedSearcher, SearcherStatus,
};
use pewterwharf_fleet::Condition;

use super::EventLimits;
use super::moves::{DispatchEnd, DispatchId, Move};
use super::scenario::{PartTemplate, Scenario, ScenarioSearcher};
use crate::claim::{AnswerKind, BehaviourClaim, ObservedAction};

/// The module under test. Its debug output shows all state that its further decisions depend on.
pub trait Subject: DecisionModule + fmt::Debug {}

impl<T: DecisionModule + fmt::Debug> Subject for T {}

/// Creates a subject from a seed.
pub type SubjectFactory<'a> = dyn Fn(u64) -> Box<dyn Subject> + Sync + 'a;

/// What an action may violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// 1: every scan gets exactly one final answer, in time, and nothing is sent after it.
    NoScanLost,
    /// 2: no effect happens twice.
    NoEffectTwice,
    /// 3: no new part is sent to a searcher that is listed as draining or gone.
    DrainsKept,
    /// 4: a cold searcher gets no more than its share of the work.
    ColdSpared,
    /// 5: no answer is based on less than the minimum weight, and none is reported as whole below the required weight.
    AnswersHonest,
    /// 6: further dispatches stay within the configured retry budget.
    BudgetKept,
    /// A behaviour claim of the expectation file, by its index.
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

/// A violated rule, and the action that violated it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: Rule,
    pub description: String,
}

/// Marks the lines of a trace that report a violation.
pub const VIOLATION_MARK: &str = "!!  ";

/// Start of a run, in milliseconds since 1970. Any time long after 0 will do, as 0 means long ago.
const START_MS: f64 = 1.0e9;
/// Maximum duration of one wait, as a share of the shortest query timeout.
const MAX_WAIT_SHARE: f64 = 0.25;
/// Maximum number of waits at the end of a run until all scans are answered.
const MAX_FINAL_WAITS: usize = 2000;
/// Work of a part, as a share of the target time. It is well below the module's initial estimate, as the module may have
/// measured that parts are small.
const WORK_SHARE: f64 = 0.1;
/// Rounding error that is tolerated in a sum of part weights.
const WEIGHT_TOLERANCE: f64 = 1e-4;
/// Difference between the ids of consecutive scans. The ids of a scan's parts are between them.
const IDS_PER_SCAN: u64 = 100;

#[derive(Clone, Debug)]
struct InFlightDispatch {
    searcher: usize,
    sent_at: f64,
    times_out_at: f64,
    /// [`SearcherState::process`] when the dispatch was sent.
    process: u32,
    /// The searcher will not answer it.
    hangs: bool,
}

/// A dispatch of a part, and its outcome once it has ended.
#[derive(Clone, Debug)]
struct SentDispatch {
    sent_at: f64,
    outcome: Option<DispatchOutcome>,
}

impl SentDispatch {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// A dispatch to be checked, with the state of its scan and part when it was sent.
struct DispatchContext {
    /// Text that identifies the part in messages.
    part: String,
    searcher: usize,
    table_type: usize,
    scan_done: bool,
    scan_arrived_at: f64,
    /// Dispatches of the part before this one.
    earlier: Vec<SentDispatch>,
}

#[derive(Clone, Debug)]
struct PartState {
    dispatches: Vec<SentDispatch>,
}

#[derive(Clone, Debug)]
struct ScanState {
    template: usize,
    arrived_at: f64,
    deadline_at: f64,
    parts: Vec<PartState>,
    done: bool,
}

#[derive(Clone, Debug)]
struct ColdWork {
    at: f64,
    work_ms: f64,
}

#[derive(Clone, Debug)]
struct SearcherState {
    actual: Condition,
    listed_status: SearcherStatus,
    /// Start of its process, actual and as listed.
    started_at: f64,
    listed_started_at: f64,
    /// Number of changes of the searcher. Dispatches sent before the latest change end differently, see
    /// [`Simulation::possible_ends`].
    process: u32,
    /// The list does not report the latest change yet.
    list_outdated: bool,
    /// Work that the current process of the mixer sent to it while it was cold.
    cold_work: VecDeque<ColdWork>,
}

/// The state of one run.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    claims: &'a [BehaviourClaim],
    open: &'a SubjectFactory<'a>,
    subject: Box<dyn Subject>,
    now: f64,
    wake_at: f64,
    searchers: Vec<SearcherState>,
    /// By index of the template; `None` before the scan arrives.
    scans: Vec<Option<ScanState>>,
    in_flight: BTreeMap<DispatchId, InFlightDispatch>,
    /// Searchers with a probe in flight.
    probes: Vec<usize>,
    /// Events for the next call of the module.
    pending_events: Vec<Event>,
    remaining: EventLimits,
    restarts: u64,
    /// Arrival times of scans and parts, and times of further dispatches, within the window of the retry budget.
    arrivals: VecDeque<f64>,
    further_dispatches: VecDeque<f64>,
    violations: Vec<Violation>,
    /// Lines of the trace, if it is recorded.
    trace: Option<Vec<String>>,
}

fn scan_id(scan: usize) -> u64 {
    (scan as u64 + 1) * IDS_PER_SCAN
}

fn scan_index(id: u64) -> usize {
    (id / IDS_PER_SCAN - 1) as usize
}

fn part_id(scan: usize, part: usize) -> u64 {
    scan_id(scan) + 1 + part as u64
}

fn dispatch_id(part_id: u64, dispatch: u8) -> DispatchId {
    DispatchId { scan: scan_index(part_id), part: (part_id % IDS_PER_SCAN - 1) as usize, dispatch }
}

impl<'a> Simulation<'a> {
    /// Starts the module under test and delivers the full list to it.
    pub fn new(
        scenario: &'a Scenario,
        claims: &'a [BehaviourClaim],
        open: &'a SubjectFactory<'a>,
        record_trace: bool,
    ) -> Self {
        let initial_state = |searcher: &ScenarioSearcher| {
            let started_at = if searcher.condition == Condition::Cold { START_MS } else { 0.0 };
            SearcherState {
                actual: searcher.condition,
                listed_status: status_of(searcher.condition),
                started_at,
                listed_started_at: started_at,
                process: 0,
                list_outdated: false,
                cold_work: VecDeque::new(),
            }
        };
        let mut simulation = Self {
            subject: open(scenario.seed),
            searchers: scenario.searchers.iter().map(initial_state).collect(),
            scans: vec![None; scenario.templates.len()],
            remaining: scenario.limits,
            scenario,
            claims,
            open,
            now: START_MS,
            wake_at: START_MS,
            in_flight: BTreeMap::new(),
            probes: Vec::new(),
            pending_events: Vec::new(),
            restarts: 0,
            arrivals: VecDeque::new(),
            further_dispatches: VecDeque::new(),
            violations: Vec::new(),
            trace: record_trace.then(Vec::new),
        };
        simulation.send_list(ListKind::Full);
        simulation
    }

    /// Applies the moves; those that are not possible at their point are skipped.
    pub fn run(&mut self, moves: &[Move]) {
        for next in moves {
            if self.moves().contains(next) {
                self.apply(*next);
            }
        }
    }

    /// Violations so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// The trace, if it was recorded.
    pub fn into_trace(self) -> Vec<String> {
        self.trace.unwrap_or_default()
    }

    /// The moves that are possible now, in a fixed order.
    pub fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        if let Some(next) = self.scans.iter().position(Option::is_none) {
            moves.push(Move::ScanArrives(next));
        }
        for (id, dispatch) in self.in_flight.iter().filter(|(_, d)| !d.hangs) {
            moves.extend(self.possible_ends(dispatch).iter().map(|end| Move::DispatchEnds(*id, *end)));
        }
        // Only the dispatch that is answered next may hang: a hang has no effect before the answer is due, so an earlier
        // one would give the same run.
        moves.extend(self.next_answered().into_iter().map(|(id, _)| Move::DispatchHangs(*id)));
        for searcher in 0..self.searchers.len() {
            self.add_searcher_moves(searcher, &mut moves);
        }
        for searcher in &self.probes {
            let reachable = self.searchers[*searcher].actual != Condition::Gone;
            moves.extend(reachable.then_some(Move::ProbeEnds(*searcher, true)));
            moves.push(Move::ProbeEnds(*searcher, false));
        }
        if self.remaining.client_departures > 0 {
            let is_open = |scan: &Option<ScanState>| scan.as_ref().is_some_and(|s| !s.done);
            moves.extend((0..self.scans.len()).filter(|s| is_open(&self.scans[*s])).map(Move::ClientLeaves));
        }
        if self.has_open_scans() || !self.probes.is_empty() {
            moves.push(Move::Wait);
        }
        if self.remaining.restarts > 0 {
            moves.push(Move::Restart);
        }
        moves.dedup();
        moves
    }

    fn add_searcher_moves(&self, searcher: usize, moves: &mut Vec<Move>) {
        let state = &self.searchers[searcher];
        if self
            .in_flight
            .values()
            .any(|d| d.searcher == searcher && (d.process != state.process || state.actual.accepts_work()))
        {
            moves.push(Move::ConnectionLost(searcher));
        }
        let next_conditions = match state.actual {
            Condition::Up | Condition::Cold => &[Condition::Draining, Condition::Gone, Condition::Cold][..],
            Condition::Draining => &[Condition::Gone],
            Condition::Gone => &[Condition::Cold],
        };
        for condition in next_conditions {
            if self.remaining.listed_changes > 0 && !state.list_outdated {
                moves.push(Move::ListedChange(searcher, *condition));
            }
            if self.remaining.unlisted_changes > 0 && self.scenario.searchers[searcher].maybe_stale {
                moves.push(Move::UnlistedChange(searcher, *condition));
            }
        }
        if state.list_outdated {
            moves.push(Move::ListUpdate(searcher));
        }
    }

    fn has_open_scans(&self) -> bool {
        self.scans.iter().flatten().any(|scan| !scan.done)
    }

    /// How a dispatch may end, the expected end first.
    fn possible_ends(&self, dispatch: &InFlightDispatch) -> &'static [DispatchEnd] {
        let state = &self.searchers[dispatch.searcher];
        match (dispatch.process == state.process, state.actual) {
            (true, Condition::Up | Condition::Cold) => {
                &[DispatchEnd::Ok, DispatchEnd::Error, DispatchEnd::Full]
            }
            (true, Condition::Draining) => &[DispatchEnd::Full],
            (true, Condition::Gone) => &[DispatchEnd::Refused],
            // Sent before the change: a draining searcher completes its parts; a new process has no record of them.
            (false, Condition::Draining) => &[DispatchEnd::Ok, DispatchEnd::Error],
            (false, _) => &[],
        }
    }

    /// The dispatch that is answered next in the expected course: the one sent first.
    fn next_answered(&self) -> Option<(&DispatchId, &InFlightDispatch)> {
        let answered = self.in_flight.iter().filter(|(_, d)| !d.hangs);
        answered.min_by(|a, b| a.1.sent_at.total_cmp(&b.1.sent_at))
    }

    /// The next move in the expected course: dispatches are answered in the order in which they were sent, then probes
    /// end, the list is updated, time passes, and the next scan arrives. `None` at the end of a run.
    pub fn expected_move(&self) -> Option<Move> {
        if let Some((id, dispatch)) = self.next_answered() {
            let end = self.possible_ends(dispatch).first();
            return Some(
                end.map_or(Move::ConnectionLost(dispatch.searcher), |end| Move::DispatchEnds(*id, *end)),
            );
        }
        if let Some(searcher) = self.probes.first() {
            let reachable = self.searchers[*searcher].actual != Condition::Gone;
            return Some(Move::ProbeEnds(*searcher, reachable));
        }
        if let Some(searcher) = self.searchers.iter().position(|s| s.list_outdated) {
            return Some(Move::ListUpdate(searcher));
        }
        if self.has_open_scans() {
            return Some(Move::Wait);
        }
        self.scans.iter().position(Option::is_none).map(Move::ScanArrives)
    }

    /// Applies one of [`Simulation::moves`].
    pub fn apply(&mut self, next: Move) {
        if self.trace.is_some() {
            let line = self.describe(next);
            self.add_trace_line(&line);
        }
        match next {
            Move::ScanArrives(scan) => self.start_scan(scan),
            Move::DispatchEnds(id, end) => {
                let event = self.end_dispatch(id, end.outcome());
                self.deliver(event.into_iter().collect());
            }
            Move::DispatchHangs(id) => {
                if let Some(dispatch) = self.in_flight.get_mut(&id) {
                    dispatch.hangs = true;
                }
            }
            Move::ConnectionLost(searcher) => self.lose_connection(searcher),
            Move::ListedChange(searcher, condition) => {
                self.remaining.listed_changes -= 1;
                self.change_searcher(searcher, condition);
                self.update_list(searcher);
            }
            Move::UnlistedChange(searcher, condition) => {
                self.remaining.unlisted_changes -= 1;
                self.change_searcher(searcher, condition);
                self.searchers[searcher].list_outdated = true;
            }
            Move::ListUpdate(searcher) => self.update_list(searcher),
            Move::ProbeEnds(searcher, succeeded) => self.end_probe(searcher, succeeded),
            Move::ClientLeaves(scan) => {
                self.remaining.client_departures -= 1;
                if let Some(state) = &mut self.scans[scan] {
                    state.done = true;
                }
                self.deliver(vec![Event::ClientGone { scan: scan_id(scan) }]);
            }
            Move::Wait => self.wait(),
            Move::Restart => self.restart(),
        }
    }

    /// Waits until every scan is answered or a rule is violated. A lost scan is detected only at its deadline.
    pub fn finish(&mut self) {
        for _ in 0..MAX_FINAL_WAITS {
            if !self.violations.is_empty() || !self.has_open_scans() {
                return;
            }
            self.wait();
        }
    }

    /// Hash of all state that the further run depends on.
    pub fn state_hash(&self) -> u64 {
        let mut hash = HashWriter(DefaultHasher::new());
        let _ = write!(
            hash,
            "{:?}|{:?}|{:?}|{:?}|{:?}|{:?}|{:?}|{:?}|{:?}|{:?}|{:?}",
            self.subject,
            self.now,
            self.wake_at,
            self.searchers,
            self.scans,
            self.in_flight,
            self.probes,
            self.pending_events,
            self.remaining,
            self.restarts,
            (&self.arrivals, &self.further_dispatches),
        );
        hash.0.finish()
    }

    fn send_list(&mut self, kind: ListKind) {
        let searchers = (0..self.searchers.len()).map(|s| self.list_entry(s)).collect();
        self.deliver(vec![Event::List { kind, searchers }]);
    }

    fn list_entry(&self, searcher: usize) -> ListedSearcher {
        let fixed = &self.scenario.searchers[searcher];
        let state = &self.searchers[searcher];
        ListedSearcher {
            searcher: fixed.addr,
            cell: fixed.cell,
            zone: fixed.hall as u16,
            started_at: state.listed_started_at,
            status: state.listed_status,
        }
    }

    fn start_scan(&mut self, scan: usize) {
        let template = &self.scenario.templates[scan];
        let table_type = &self.scenario.config.table_types[template.table_type];
        let now = self.now;
        let number = scan as u32 + 1;
        let deadline_at = now + table_type.query_timeout_ms;
        let mut events = vec![Event::Scan {
            id: scan_id(scan),
            number,
            table_type: template.table_type,
            customer: 0,
            deadline_at,
            work_ms: None,
            retry: false,
        }];
        let part_event = |(part, PartTemplate { slice, weight }): (usize, &PartTemplate)| Event::Part {
            id: part_id(scan, part),
            number,
            shard: *slice,
            weight: *weight,
        };
        events.extend(template.parts.iter().enumerate().map(part_event));
        let parts = vec![PartState { dispatches: Vec::new() }; template.parts.len()];
        self.arrivals.extend(vec![now; 1 + parts.len()]);
        self.scans[scan] =
            Some(ScanState { template: scan, arrived_at: now, deadline_at, parts, done: false });
        self.deliver(events);
    }

    /// Ends a dispatch if it is in flight. Returns the event for the module.
    fn end_dispatch(&mut self, id: DispatchId, outcome: DispatchOutcome) -> Option<Event> {
        let dispatch = self.in_flight.remove(&id)?;
        if let Some(scan) = &mut self.scans[id.scan] {
            scan.parts[id.part].dispatches[usize::from(id.dispatch)].outcome = Some(outcome);
        }
        Some(Event::DispatchEnded {
            part: part_id(id.scan, id.part),
            dispatch: id.dispatch,
            searcher: self.scenario.searchers[dispatch.searcher].addr,
            outcome,
            took_ms: self.now - dispatch.sent_at,
            busy: None,
        })
    }

    fn end_probe(&mut self, searcher: usize, succeeded: bool) {
        self.probes.retain(|s| *s != searcher);
        let outcome = if succeeded { DispatchOutcome::Ok } else { DispatchOutcome::TimedOut };
        let searcher = self.scenario.searchers[searcher].addr;
        self.deliver(vec![Event::ProbeEnded { searcher, outcome, took_ms: 1.0 }]);
    }

    fn lose_connection(&mut self, searcher: usize) {
        let lost: Vec<DispatchId> =
            self.in_flight.iter().filter(|(_, d)| d.searcher == searcher).map(|(id, _)| *id).collect();
        let events =
            lost.into_iter().filter_map(|id| self.end_dispatch(id, DispatchOutcome::Reset)).collect();
        self.deliver(events);
    }

    fn change_searcher(&mut self, searcher: usize, condition: Condition) {
        let state = &mut self.searchers[searcher];
        state.actual = condition;
        state.process += 1;
        if condition == Condition::Cold {
            state.started_at = self.now;
            state.cold_work.clear();
        }
    }

    fn update_list(&mut self, searcher: usize) {
        let state = &mut self.searchers[searcher];
        state.list_outdated = false;
        state.listed_status = status_of(state.actual);
        state.listed_started_at = state.started_at;
        let searchers = vec![self.list_entry(searcher)];
        self.deliver(vec![Event::List { kind: ListKind::Changes, searchers }]);
    }

    fn restart(&mut self) {
        self.remaining.restarts -= 1;
        self.restarts += 1;
        self.subject = (self.open)(self.scenario.seed + self.restarts);
        self.in_flight.clear();
        self.probes.clear();
        self.pending_events.clear();
        self.arrivals.clear();
        self.further_dispatches.clear();
        // The new process has no record of the scans and dispatches of the old one, and answers none of them.
        self.scans.iter_mut().flatten().for_each(|scan| scan.done = true);
        self.searchers.iter_mut().for_each(|searcher| searcher.cold_work.clear());
        self.wake_at = self.now;
        self.send_list(ListKind::Cached);
    }

    /// Lets time pass until the mixer acts, a dispatch times out, or [`MAX_WAIT_SHARE`] is reached.
    fn wait(&mut self) {
        let table_types = &self.scenario.config.table_types;
        let shortest_timeout_ms =
            table_types.iter().map(|t| t.query_timeout_ms).fold(f64::INFINITY, f64::min);
        let limit = self.now + MAX_WAIT_SHARE * shortest_timeout_ms;
        loop {
            let next_timeout = self.in_flight.values().map(|d| d.times_out_at).fold(f64::INFINITY, f64::min);
            self.now = self.wake_at.min(next_timeout).min(limit).max(self.now);
            let due: Vec<DispatchId> = self
                .in_flight
                .iter()
                .filter(|(_, d)| d.times_out_at <= self.now)
                .map(|(id, _)| *id)
                .collect();
            let timed_out = !due.is_empty();
            let mut events: Vec<Event> =
                due.into_iter().filter_map(|id| self.end_dispatch(id, DispatchOutcome::TimedOut)).collect();
            if events.is_empty() {
                events.push(Event::Wake);
            }
            let acted = self.deliver(events);
            self.check_deadlines();
            if acted || timed_out || self.now >= limit || !self.violations.is_empty() {
                return;
            }
        }
    }

    /// Rule 1: every scan is answered by its deadline.
    fn check_deadlines(&mut self) {
        for scan in 0..self.scans.len() {
            let late = self.scans[scan].as_ref().is_some_and(|s| !s.done && self.now > s.deadline_at);
            if late {
                self.violation(Rule::NoScanLost, format!("scan {scan} has no answer when its time is up"));
                self.scans[scan].iter_mut().for_each(|s| s.done = true);
            }
        }
    }

    /// Calls the module with the events, and executes its actions. Returns whether any of them affects a client or a
    /// searcher.
    fn deliver(&mut self, mut events: Vec<Event>) -> bool {
        events.append(&mut self.pending_events);
        let actions = self.subject.handle_events(self.now, events);
        let mut acted = false;
        for action in actions {
            acted |= !matches!(action, Action::WakeAt { .. } | Action::Log { .. } | Action::Subscribe);
            self.execute(action);
        }
        acted
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Dispatch { part, searcher, timeout_ms } => {
                self.dispatch(part, searcher.port(), timeout_ms);
            }
            Action::Cancel { part, dispatch } => self.cancel(dispatch_id(part, dispatch)),
            Action::Complete { scan, whole } => self.complete(scan, whole),
            Action::Throttle { scan, .. } => self.throttle(scan),
            Action::Abandon { scan } => self.answer(scan, AnswerKind::Abandoned, None),
            Action::Probe { searcher } => {
                let searcher = usize::from(searcher.port()) - 1;
                self.add_trace_line(&format!("    probes {}", self.scenario.searchers[searcher].name));
                if !self.probes.contains(&searcher) {
                    self.probes.push(searcher);
                }
            }
            Action::CloseIdleConnections { .. } | Action::Subscribe => {}
            Action::WakeAt { at } => self.wake_at = at,
            Action::Log { line } => {
                if self.trace.is_some() {
                    let with_names =
                        (1u16..).zip(&self.scenario.searchers).fold(line, |line, (port, searcher)| {
                            line.replace(&format!("127.0.0.1:{port} "), &format!("{} ", searcher.name))
                        });
                    self.add_trace_line(&format!("    {with_names}"));
                }
            }
        }
    }

    fn cancel(&mut self, id: DispatchId) {
        if self.scenario.config.permissions.cancel
            && let Some(event) = self.end_dispatch(id, DispatchOutcome::Cancelled)
        {
            let DispatchId { scan, part, dispatch } = id;
            self.add_trace_line(&format!("    cancels part {scan}.{part} dispatch {dispatch}"));
            self.pending_events.push(event);
        }
    }

    /// Sends a dispatch, and checks it against the rules and the behaviour claims.
    fn dispatch(&mut self, part_id: u64, port: u16, timeout_ms: f64) {
        let searcher = usize::from(port) - 1;
        let DispatchId { scan, part, .. } = dispatch_id(part_id, 0);
        let Some(sent) = self.record_dispatch(scan, part, searcher) else {
            return self.violation(
                Rule::NoScanLost,
                format!("a part of scan {scan} is sent before the scan arrived"),
            );
        };
        let number = sent.earlier.len() as u8;
        let process = self.searchers[searcher].process;
        self.in_flight.insert(
            DispatchId { scan, part, dispatch: number },
            InFlightDispatch {
                searcher,
                sent_at: self.now,
                times_out_at: self.now + timeout_ms.max(0.0),
                process,
                hangs: false,
            },
        );
        let name = &self.scenario.searchers[searcher].name;
        let condition = condition_text(self.searchers[searcher].actual);
        self.add_trace_line(&format!("    {} dispatch {number} -> {name}, which is {condition}", sent.part));
        self.check_dispatch(&sent);
    }

    /// Adds a dispatch to those of its part; `None` if its scan has not arrived yet.
    fn record_dispatch(&mut self, scan: usize, part: usize, searcher: usize) -> Option<DispatchContext> {
        let state = self.scans[scan].as_mut()?;
        let dispatches = &mut state.parts[part].dispatches;
        let earlier = dispatches.clone();
        dispatches.push(SentDispatch { sent_at: self.now, outcome: None });
        Some(DispatchContext {
            part: format!("part {scan}.{part}"),
            searcher,
            table_type: self.scenario.templates[state.template].table_type,
            scan_done: state.done,
            scan_arrived_at: state.arrived_at,
            earlier,
        })
    }

    /// Checks a dispatch against the rules, and then against the behaviour claims.
    fn check_dispatch(&mut self, sent: &DispatchContext) {
        let DispatchContext { part, searcher, .. } = sent;
        let name = &self.scenario.searchers[*searcher].name;
        if sent.scan_done {
            self.violation(Rule::NoScanLost, format!("{part} is sent to {name} after its scan's end"));
        }
        self.check_repeat(sent);
        let listed = match self.searchers[*searcher].listed_status {
            SearcherStatus::Ready => None,
            SearcherStatus::Gone => Some("gone"),
            SearcherStatus::Draining => Some("draining"),
        };
        if let Some(listed) = listed {
            let description = format!("{part} is sent to {name}, which is listed as {listed}");
            self.violation(Rule::DrainsKept, description);
        }
        self.check_cold_work(part, *searcher);
        if !sent.earlier.is_empty() {
            self.further_dispatches.push_back(self.now);
            self.check_retry_budget();
        }
        self.check_dispatch_claims(sent);
    }

    /// Checks a dispatch against the behaviour claims.
    fn check_dispatch_claims(&mut self, sent: &DispatchContext) {
        let DispatchContext { part, earlier, .. } = sent;
        let actual = self.searchers[sent.searcher].actual;
        let ScenarioSearcher { name, hall, .. } = &self.scenario.searchers[sent.searcher];
        let is_repeated = !earlier.is_empty();
        let is_concurrent = earlier.iter().any(|d| d.outcome.is_none());
        for (index, claim) in self.claims.iter().enumerate() {
            let ObservedAction::Dispatch { conditions, hall: claimed_hall, repeated, concurrent } =
                &claim.action
            else {
                continue;
            };
            if claim.table_type.is_some_and(|t| t != sent.table_type) {
                continue;
            }
            let matches = (conditions.is_empty() || conditions.contains(&actual))
                && claimed_hall.is_none_or(|h| h == *hall)
                && (!repeated || is_repeated)
                && (!concurrent || is_concurrent);
            if matches != claim.always {
                let description = format!("{part} is sent to {name}, which is {}", condition_text(actual));
                self.violation(Rule::BehaviourClaim(index), description);
            }
        }
    }

    /// Rule 2, and the maximum number of dispatches of a part.
    fn check_repeat(&mut self, sent: &DispatchContext) {
        let DispatchContext { part, earlier, .. } = sent;
        let permissions = &self.scenario.config.permissions;
        if earlier.len() >= permissions.max_dispatches as usize {
            let description =
                format!("{part} gets dispatch {} of {}", earlier.len() + 1, permissions.max_dispatches);
            self.violation(Rule::NoEffectTwice, description);
        }
        let in_flight = earlier.iter().any(|d| d.outcome.is_none());
        if in_flight && !permissions.hedge {
            self.violation(Rule::NoEffectTwice, format!("{part} gets a second copy, which is not allowed"));
        }
        let may_have_run = || earlier.iter().filter(|d| d.may_have_run());
        let first_sent_at = may_have_run().map(|d| d.sent_at).fold(f64::INFINITY, f64::min);
        let any_ran = may_have_run().next().is_some();
        let violated = match self.scenario.config.table_types[sent.table_type].idempotency {
            Idempotency::Replayable => false,
            Idempotency::Keyed { window_ms } => {
                any_ran && self.now > first_sent_at.max(sent.scan_arrived_at) + window_ms
            }
            Idempotency::NonReplayable => any_ran,
        };
        if violated {
            let searcher = &self.scenario.searchers[sent.searcher].name;
            let description = format!("{part} is sent again, to {searcher}, though it may have run");
            self.violation(Rule::NoEffectTwice, description);
        }
    }

    /// Rule 4: in any overload window a cold searcher gets one part, or this mixer's equal share of the overload multiple
    /// of its capacity.
    fn check_cold_work(&mut self, part: &str, searcher: usize) {
        let now = self.now;
        let config = &self.scenario.config;
        let limits = &config.safety_limits;
        let work_ms = WORK_SHARE * config.table_types[self.scenario.templates[0].table_type].target_ms;
        let state = &mut self.searchers[searcher];
        // The check uses the listed start, as the mixer has no information about an unlisted one.
        let age_ms = now - state.listed_started_at;
        if state.listed_started_at <= 0.0
            || age_ms >= limits.warm_up_ms
            || state.listed_status != SearcherStatus::Ready
        {
            return;
        }
        while state.cold_work.front().is_some_and(|w| w.at < now - limits.overload_window_ms) {
            state.cold_work.pop_front();
        }
        state.cold_work.push_back(ColdWork { at: now, work_ms });
        let capacity =
            limits.cold_capacity_share + (1.0 - limits.cold_capacity_share) * age_ms / limits.warm_up_ms;
        let mixers = f64::from(config.placement.mixers.max(1));
        let share_ms = limits.overload_multiple * capacity * limits.overload_window_ms / mixers;
        let parts = state.cold_work.len();
        let total_ms = state.cold_work.iter().map(|w| w.work_ms).sum::<f64>();
        if parts > 1 && total_ms > share_ms {
            let name = &self.scenario.searchers[searcher].name;
            let description = format!(
                "{part} brings {name}, cold, {total_ms:.0} ms of work where {share_ms:.0} is its share"
            );
            self.violation(Rule::ColdSpared, description);
        }
    }

    /// Rule 6, if a retry budget is configured.
    fn check_retry_budget(&mut self) {
        let Some(budget) = self.scenario.config.safety_limits.retry_budget else { return };
        let window_start = self.now - budget.window_ms;
        for times in [&mut self.arrivals, &mut self.further_dispatches] {
            while times.front().is_some_and(|t| *t < window_start) {
                times.pop_front();
            }
        }
        let max = budget.free + budget.share * self.arrivals.len() as f64;
        if self.further_dispatches.len() as f64 > max {
            let description = format!(
                "{} further dispatches in a window for which {max:.1} are stated",
                self.further_dispatches.len()
            );
            self.violation(Rule::BudgetKept, description);
        }
    }

    /// Rule 5: checks the weight of the answered parts.
    fn complete(&mut self, scan_id: u64, whole: bool) {
        let scan = scan_index(scan_id);
        let Some(state) = &self.scans[scan] else {
            return self.answer(scan_id, AnswerKind::Completed, Some(whole));
        };
        let template = &self.scenario.templates[state.template];
        let table_type = &self.scenario.config.table_types[template.table_type];
        let is_answered =
            |part: &PartState| part.dispatches.iter().any(|d| d.outcome == Some(DispatchOutcome::Ok));
        let answered = state.parts.iter().zip(&template.parts).filter(|(part, _)| is_answered(part));
        let weight = answered.map(|(_, part)| part.weight).fold(0.0, |sum, weight| sum + weight);
        let required = table_type.required_weight;
        let minimum = table_type.minimum_weight.min(required);
        if weight + WEIGHT_TOLERANCE < minimum || weight <= 0.0 {
            let description =
                format!("scan {scan} is answered from {weight:.2} of its parts, {minimum:.2} is the least");
            self.violation(Rule::AnswersHonest, description);
        }
        if whole && weight + WEIGHT_TOLERANCE < required {
            let description = format!(
                "scan {scan} is called whole with {weight:.2} of its parts, {required:.2} make it whole"
            );
            self.violation(Rule::AnswersHonest, description);
        }
        self.answer(scan_id, AnswerKind::Completed, Some(whole));
    }

    /// Rule 2: a throttled client may repeat its scan, so no non-replayable part of it may have run.
    fn throttle(&mut self, scan_id: u64) {
        let scan = scan_index(scan_id);
        if let Some(state) = &self.scans[scan] {
            let table_type = self.scenario.templates[state.template].table_type;
            let idempotency = self.scenario.config.table_types[table_type].idempotency;
            if idempotency == Idempotency::NonReplayable
                && state.parts.iter().any(|p| p.dispatches.iter().any(SentDispatch::may_have_run))
            {
                let description = format!("scan {scan} is throttled though a part of it may have run");
                self.violation(Rule::NoEffectTwice, description);
            }
        }
        self.answer(scan_id, AnswerKind::Throttled, None);
    }

    /// Ends a scan with its final answer, and checks it against rule 1 and the behaviour claims.
    fn answer(&mut self, scan_id: u64, kind: AnswerKind, whole: Option<bool>) {
        let scan = scan_index(scan_id);
        let text = match (kind, whole) {
            (AnswerKind::Completed, Some(true)) => "completed, whole",
            (AnswerKind::Completed, _) => "completed, not whole",
            (AnswerKind::Throttled, _) => "throttled",
            (AnswerKind::Abandoned, _) => "abandoned",
        };
        self.add_trace_line(&format!("    scan {scan} is {text}"));
        let now = self.now;
        let Some(state) = self.scans[scan].as_mut().filter(|s| !s.done) else {
            return self.violation(Rule::NoScanLost, format!("scan {scan} is {text} when it is not open"));
        };
        state.done = true;
        let late = now > state.deadline_at;
        let table_type = self.scenario.templates[state.template].table_type;
        if late {
            self.violation(Rule::NoScanLost, format!("scan {scan} is {text} after its time is up"));
        }
        for (index, claim) in self.claims.iter().enumerate() {
            let ObservedAction::Answer { kinds, whole: claimed_whole } = &claim.action else { continue };
            if claim.table_type.is_some_and(|t| t != table_type) {
                continue;
            }
            let matches = (kinds.is_empty() || kinds.contains(&kind))
                && claimed_whole.is_none_or(|claimed| whole.is_some_and(|whole| whole == claimed));
            if matches != claim.always {
                self.violation(Rule::BehaviourClaim(index), format!("scan {scan} is {text}"));
            }
        }
    }

    fn violation(&mut self, rule: Rule, description: String) {
        self.add_trace_line(&format!("{VIOLATION_MARK}{rule}: {description}"));
        self.violations.push(Violation { rule, description });
    }

    fn add_trace_line(&mut self, line: &str) {
        let elapsed_ms = self.now - START_MS;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{elapsed_ms:>7.0} {line}"));
        }
    }

    /// Line of the trace for a move.
    fn describe(&self, next: Move) -> String {
        let name = |searcher: usize| &self.scenario.searchers[searcher].name;
        let dispatch = |id: DispatchId| {
            let searcher = self.in_flight.get(&id).map(|d| d.searcher);
            let at = searcher.map(|s| format!(" at {}", name(s))).unwrap_or_default();
            format!("part {}.{} dispatch {}{at}", id.scan, id.part, id.dispatch)
        };
        match next {
            Move::ScanArrives(scan) => {
                let template = &self.scenario.templates[scan];
                let slices: Vec<String> = template.parts.iter().map(|p| p.slice.to_string()).collect();
                let table_type = &self.scenario.config.table_type_names[template.table_type];
                format!("scan {scan} arrives: {table_type}, slices {}", slices.join(" and "))
            }
            Move::DispatchEnds(id, end) => {
                let end = match end {
                    DispatchEnd::Ok => "is answered",
                    DispatchEnd::Error => "fails",
                    DispatchEnd::Full => "is rejected as full",
                    DispatchEnd::Refused => "fails to connect",
                };
                format!("{} {end}", dispatch(id))
            }
            Move::DispatchHangs(id) => format!("{} will not be answered", dispatch(id)),
            Move::ConnectionLost(searcher) => format!("the connection to {} is lost", name(searcher)),
            Move::ListedChange(searcher, condition) => {
                format!("{} is now {}, and the list reports it", name(searcher), condition_text(condition))
            }
            Move::UnlistedChange(searcher, condition) => {
                format!(
                    "{} is now {}, and the list does not report it",
                    name(searcher),
                    condition_text(condition)
                )
            }
            Move::ListUpdate(searcher) => {
                let condition = condition_text(self.searchers[searcher].actual);
                format!("the list now reports {} as {condition}", name(searcher))
            }
            Move::ProbeEnds(searcher, true) => format!("the probe to {} succeeds", name(searcher)),
            Move::ProbeEnds(searcher, false) => format!("the probe to {} fails", name(searcher)),
            Move::ClientLeaves(scan) => format!("the client of scan {scan} leaves"),
            Move::Wait => "time passes".to_owned(),
            Move::Restart => "the mixer is killed and starts again with its cached list".to_owned(),
        }
    }
}

/// The status with which a searcher in this condition is listed.
fn status_of(condition: Condition) -> SearcherStatus {
    match condition {
        Condition::Up | Condition::Cold => SearcherStatus::Ready,
        Condition::Draining => SearcherStatus::Draining,
        Condition::Gone => SearcherStatus::Gone,
    }
}

fn condition_text(condition: Condition) -> &'static str {
    match condition {
        Condition::Up => "up",
        Condition::Cold => "back and cold",
        Condition::Draining => "draining",
        Condition::Gone => "gone",
    }
}

/// Hashes formatted text without storing it.
struct HashWriter(DefaultHasher);

impl fmt::Write for HashWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}
