//! Checks all expectations of a file against one fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::ControlFlow;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use pewterwharf_fleet::{Condition, Fleet};
use pewterwharf_settings::sexpr::ParseError;

use crate::claim::{BehaviourClaim, Claim, Failure, FailureTarget, ObservedAction, Pace};
use crate::explore::scenario::{GroupsAndOrder, signature};
use crate::explore::search::{FoundViolation, trace};
use crate::explore::simulation::{SubjectFactory, VIOLATION_MARK};
use crate::explore::{Bounds, EventLimits, Exploration, Move, Rule, Scenario, explore, shrink};
use crate::groups::{AppliedFailure, GroupedFleet, Grouping};
use crate::read::{Expectation, ParsedFile};
use crate::structural::{Case, StructuralChecker, TooManyCases};

/// Options of a check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CheckOptions {
    pub bounds: Bounds,
    /// Explorations that run in parallel.
    pub threads: usize,
    /// Seed of the decision module.
    pub seed: u64,
}

/// What was checked for a verdict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Cases of failures.
    pub cases: u64,
    /// States of the decision module.
    pub states: u64,
    /// All runs with up to this number of departures were explored. `None` if the module was not run, or if the state limit
    /// was reached within the runs without departures.
    pub departures: Option<u32>,
    /// Number of explorations.
    pub explorations: u32,
}

/// A case in which an expectation fails, to be reported and replayed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counterexample {
    /// Descriptions of the failures that precede the counterexample.
    pub failures: Vec<String>,
    pub slice: Option<u32>,
    /// Description of what violates the expectation.
    pub observed: String,
    /// Inputs and actions of the decision module, one per line.
    pub trace: Vec<String>,
    /// The moves of the trace in text form, to be replayed.
    pub moves: Vec<String>,
    /// Index of the scenario that the moves refer to.
    pub scenario: Option<usize>,
}

/// A replayed counterexample.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replay {
    /// Inputs and actions of the decision module, one per line.
    pub trace: Vec<String>,
    /// Whether the run violated a rule or a behaviour claim.
    pub has_violation: bool,
}

/// Result of a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Holds,
    Fails(Box<Counterexample>),
    /// There are more cases or states than the bounds allow.
    Undecided,
}

/// Result for one expectation.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    pub name: String,
    /// Line in the file; `None` for the six rules, which are always checked.
    pub line: Option<usize>,
    pub outcome: Outcome,
    /// Age of the list in milliseconds from which on the expectation fails; `None` if it does not refer to the age, or if it
    /// holds at all ages checked.
    pub fails_at_ms: Option<f64>,
    /// Age of the list in milliseconds up to which the expectation must hold, if it states one.
    pub required_ms: Option<f64>,
    pub coverage: Coverage,
}

impl Verdict {
    fn new(name: String, line: Option<usize>) -> Self {
        Self {
            name,
            line,
            outcome: Outcome::Holds,
            fails_at_ms: None,
            required_ms: None,
            coverage: Coverage::default(),
        }
    }

    pub fn holds(&self) -> bool {
        self.outcome == Outcome::Holds
    }
}

impl Coverage {
    fn add(&mut self, exploration: &Exploration) {
        self.states += exploration.visited;
        self.departures = match self.explorations {
            0 => exploration.departures,
            _ => self.departures.zip(exploration.departures).map(|(a, b)| a.min(b)),
        };
        self.explorations += 1;
    }
}

/// Rules that are checked for every file.
const RULES: [Rule; 6] = [
    Rule::NoScanLost,
    Rule::NoEffectTwice,
    Rule::DrainsKept,
    Rule::ColdSpared,
    Rule::AnswersHonest,
    Rule::BudgetKept,
];

/// Limits of the events in the exploration of the rules.
const RULES_LIMITS: EventLimits =
    EventLimits { listed_changes: 2, unlisted_changes: 1, restarts: 1, client_departures: 1 };
/// Maximum number of ages of the list that are checked for one expectation.
const MAX_AGES: usize = 64;
/// Number of list periods that are checked beyond the required age, to report how long the expectation holds.
const PERIODS_BEYOND_REQUIRED: u32 = 8;
/// Maximum number of cases of a failure for which the module is run. Cases that the module can't distinguish share one run.
const MAX_EXPLORED_CASES: usize = 20_000;

/// Index of an expectation, and index of an age in [`Suite::ages`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ExpectationAtAge {
    expectation: usize,
    age: usize,
}

/// One exploration, with the behaviour claims that it checks.
struct Job {
    scenario: Scenario,
    claims: Vec<BehaviourClaim>,
    /// The expectation of each claim, in the same order.
    origins: Vec<ExpectationAtAge>,
    failures: Vec<AppliedFailure>,
}

/// Jobs in the order in which they were added. A job that claims share is found by its [`scenario_key`].
#[derive(Default)]
struct JobList {
    jobs: Vec<Job>,
    index_by_key: BTreeMap<String, usize>,
}

impl JobList {
    /// Adds a job without claims, and returns its index.
    fn push(&mut self, scenario: Scenario, failures: Vec<AppliedFailure>) -> usize {
        self.jobs.push(Job { scenario, claims: Vec::new(), origins: Vec::new(), failures });
        self.jobs.len() - 1
    }

    /// The job with this key, which is added if there is none.
    fn shared_job(&mut self, key: String, scenario: Scenario, failures: &[AppliedFailure]) -> &mut Job {
        let index = match self.index_by_key.get(&key) {
            Some(index) => *index,
            None => {
                let index = self.push(scenario, failures.to_vec());
                self.index_by_key.insert(key, index);
                index
            }
        };
        &mut self.jobs[index]
    }
}

/// A behaviour claim, with the state of the fleet in which it is checked.
struct ClaimCase {
    claim: BehaviourClaim,
    groups: GroupedFleet,
    failures: Vec<AppliedFailure>,
    limits: EventLimits,
}

/// Sort key of a violated behaviour claim: the least one becomes the counterexample.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ViolationRank {
    age: usize,
    moves: usize,
    job: usize,
}

/// The expectations of a file, and the fleet that they refer to.
pub struct Suite {
    fleet: Fleet,
    pace: Pace,
    expectations: Vec<Expectation>,
}

impl Suite {
    /// Resolves the expectations of a file against its fleet.
    ///
    /// # Errors
    /// Position of what is not valid or does not exist.
    pub fn new(parsed: &ParsedFile, mut fleet: Fleet) -> Result<Self, ParseError> {
        parsed.add_customer_slices(&mut fleet)?;
        let expectations = parsed.resolve(&fleet)?;
        Ok(Self { fleet, pace: parsed.source.pace.unwrap_or_default(), expectations })
    }

    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub fn pace(&self) -> Pace {
        self.pace
    }

    pub fn expectations(&self) -> &[Expectation] {
        &self.expectations
    }

    /// Checks all expectations and then the six rules, on the modules that `open` creates. Calls `progress` with the number
    /// of finished steps and of all steps.
    pub fn check(
        &self,
        options: CheckOptions,
        open: &SubjectFactory,
        progress: &(dyn Fn(usize, usize) + Sync),
    ) -> Vec<Verdict> {
        let mut verdicts: Vec<Verdict> = self.expectations.iter().map(|e| self.check_structure(e)).collect();
        let jobs = self.jobs(options, &mut verdicts);
        let steps = self.expectations.len() + jobs.len();
        progress(self.expectations.len(), steps);
        let found =
            run_all(&jobs, options, open, &|finished| progress(self.expectations.len() + finished, steps));
        for (job, found) in jobs.iter().zip(&found) {
            for origin in &job.origins {
                verdicts[origin.expectation].coverage.add(found);
            }
        }
        let rule_verdicts = self.rule_verdicts(&jobs, &found, options, open);
        self.apply_violations(&jobs, &found, options, open, &mut verdicts);
        verdicts.extend(rule_verdicts);
        // An expectation holds only if at least the runs without departures were completed.
        for verdict in &mut verdicts {
            if verdict.holds() && verdict.coverage.explorations > 0 && verdict.coverage.departures.is_none() {
                verdict.outcome = Outcome::Undecided;
            }
        }
        verdicts
    }

    /// The verdicts on the six rules, from the jobs without claims. The first job that violates a rule gives its
    /// counterexample.
    fn rule_verdicts(
        &self,
        jobs: &[Job],
        found: &[Exploration],
        options: CheckOptions,
        open: &SubjectFactory,
    ) -> Vec<Verdict> {
        let mut verdicts: Vec<Verdict> =
            RULES.iter().map(|rule| Verdict::new(rule.to_string(), None)).collect();
        let rule_jobs = jobs.iter().zip(found).enumerate().filter(|(_, (job, _))| job.claims.is_empty());
        for (index, (job, found)) in rule_jobs {
            for (rule, verdict) in RULES.iter().zip(&mut verdicts) {
                verdict.coverage.add(found);
                if let Some(FoundViolation { moves, .. }) = found.violations.get(rule)
                    && verdict.holds()
                {
                    let case = self.counterexample(index, job, options, open, moves, *rule);
                    verdict.outcome = Outcome::Fails(Box::new(case));
                }
            }
        }
        verdicts
    }

    /// Replays the moves of a counterexample on its scenario.
    ///
    /// # Errors
    /// If the check of this file has no such scenario, or a move can't be parsed.
    pub fn replay(
        &self,
        scenario: usize,
        moves: &[&str],
        seed: u64,
        open: &SubjectFactory,
    ) -> Result<Replay, String> {
        let options =
            CheckOptions { bounds: Bounds { departures: 0, states: 0, merge: true }, threads: 1, seed };
        let mut verdicts: Vec<Verdict> = self.expectations.iter().map(|e| self.check_structure(e)).collect();
        let jobs = self.jobs(options, &mut verdicts);
        let job =
            jobs.get(scenario).ok_or_else(|| format!("there is no arena {scenario} of {}", jobs.len()))?;
        let moves = moves.iter().map(|m| m.parse()).collect::<Result<Vec<Move>, String>>()?;
        let trace = trace(&job.scenario, &job.claims, open, &moves);
        let has_violation = trace.iter().any(|line| line.contains(VIOLATION_MARK));
        Ok(Replay { trace, has_violation })
    }

    /// Sets the outcome of the expectations whose behaviour claims are violated: the counterexample is the one with the
    /// youngest list, and among these the one with the fewest moves.
    fn apply_violations(
        &self,
        jobs: &[Job],
        found: &[Exploration],
        options: CheckOptions,
        open: &SubjectFactory,
        verdicts: &mut [Verdict],
    ) {
        let mut best: BTreeMap<usize, ViolationRank> = BTreeMap::new();
        for (job_index, (job, found)) in jobs.iter().zip(found).enumerate() {
            for (claim, origin) in job.origins.iter().enumerate() {
                if let Some(FoundViolation { moves, .. }) = found.violations.get(&Rule::BehaviourClaim(claim))
                {
                    let rank = ViolationRank { age: origin.age, moves: moves.len(), job: job_index };
                    let best = best.entry(origin.expectation).or_insert(rank);
                    *best = rank.min(*best);
                }
            }
        }
        for (expectation, ViolationRank { age, job: job_index, .. }) in best {
            let verdict = &mut verdicts[expectation];
            let ages = self.ages(&self.expectations[expectation].claim);
            let at_ms = ages.get(age).copied().filter(|_| verdict.required_ms.is_some());
            // The structural check ran before, and may have failed at the same or a lower age.
            if !verdict.holds() && verdict.fails_at_ms.unwrap_or(0.0) <= at_ms.unwrap_or(0.0) {
                continue;
            }
            let job = &jobs[job_index];
            let origin = ExpectationAtAge { expectation, age };
            let Some(claim) = job.origins.iter().position(|o| *o == origin) else { continue };
            let rule = Rule::BehaviourClaim(claim);
            if let Some(FoundViolation { moves, .. }) = found[job_index].violations.get(&rule) {
                verdict.fails_at_ms = at_ms;
                if verdict.required_ms.is_none_or(|required| at_ms.is_some_and(|at| at < required)) {
                    let case = self.counterexample(job_index, job, options, open, moves, rule);
                    verdict.outcome = Outcome::Fails(Box::new(case));
                }
            }
        }
    }

    /// The shortest counterexample for a violation that a job found.
    fn counterexample(
        &self,
        job_index: usize,
        job: &Job,
        options: CheckOptions,
        open: &SubjectFactory,
        moves: &[Move],
        rule: Rule,
    ) -> Counterexample {
        let scenario = Scenario { seed: options.seed, ..job.scenario.clone() };
        let moves = shrink(&scenario, &job.claims, open, moves, rule);
        let trace = trace(&scenario, &job.claims, open, &moves);
        let violation = trace.iter().find_map(|l| l.split_once(VIOLATION_MARK)).map(|l| l.1.to_owned());
        Counterexample {
            failures: job.failures.iter().map(|f| f.describe(&self.fleet)).collect(),
            slice: None,
            observed: violation.unwrap_or_default(),
            trace,
            moves: moves.iter().map(ToString::to_string).collect(),
            scenario: Some(job_index),
        }
    }

    /// Ages of the list to check: 0, and each age at which the list may lack one more change.
    fn ages(&self, claim: &Claim) -> Vec<f64> {
        // Ages are compared as integers.
        const UNITS_PER_MS: f64 = 1024.0;
        let Some(max_age_ms) = claim.max_list_age_ms() else { return vec![0.0] };
        let period_ms = self.pace.every_ms;
        let mut ages = BTreeSet::new();
        let mut add = |ms: f64| {
            let limit_ms = max_age_ms + f64::from(PERIODS_BEYOND_REQUIRED) * period_ms;
            if ms >= 0.0 && ms <= limit_ms && ages.len() < MAX_AGES {
                ages.insert((ms * UNITS_PER_MS).round() as u64);
            }
        };
        add(0.0);
        let periods = ((max_age_ms / period_ms).ceil() as u32)
            .saturating_add(PERIODS_BEYOND_REQUIRED)
            .min(MAX_AGES as u32);
        (1..=periods).for_each(|n| add(f64::from(n) * period_ms));
        let old_entries = self.fleet.searchers().iter().filter(|s| s.age_ms > 0.0);
        old_entries.for_each(|s| add(period_ms - s.age_ms));
        ages.into_iter().map(|units| units as f64 / UNITS_PER_MS).collect()
    }

    fn check_structure(&self, expectation: &Expectation) -> Verdict {
        let mut verdict = Verdict::new(expectation.name.clone(), Some(expectation.line));
        verdict.required_ms = expectation.claim.max_list_age_ms();
        let mut previous = None;
        for age_ms in self.ages(&expectation.claim) {
            let mut checker = StructuralChecker::new(&self.fleet, self.pace, age_ms);
            let searchers = self.fleet.searchers().iter();
            let maybe_stale = searchers.filter(|s| s.age_ms + age_ms >= self.pace.every_ms).count();
            // If the list can't lack more than at the previous age, the verdict is the same.
            let staleness = (checker.max_unlisted_changes(), maybe_stale);
            if previous.replace(staleness) == Some(staleness) {
                continue;
            }
            let result = checker.find_failure(&expectation.claim);
            verdict.coverage.cases += checker.checked_cases();
            let is_required = verdict.required_ms.is_none_or(|required| age_ms < required);
            match result {
                Ok(None) => {}
                Err(TooManyCases) if is_required => {
                    verdict.outcome = Outcome::Undecided;
                    return verdict;
                }
                Err(TooManyCases) => return verdict,
                Ok(Some(case)) => {
                    verdict.fails_at_ms = verdict.required_ms.map(|_| age_ms);
                    if is_required {
                        verdict.outcome = Outcome::Fails(Box::new(self.structural_counterexample(&case)));
                    }
                    return verdict;
                }
            }
        }
        verdict
    }

    fn structural_counterexample(&self, case: &Case) -> Counterexample {
        Counterexample {
            failures: case.failures.iter().map(|f| f.describe(&self.fleet)).collect(),
            slice: case.slice,
            observed: case.observed.clone(),
            ..Counterexample::default()
        }
    }

    /// The explorations of all behaviour claims, followed by those of the six rules. [`Counterexample::scenario`] is an
    /// index into this list.
    fn jobs(&self, options: CheckOptions, verdicts: &mut [Verdict]) -> Vec<Job> {
        let mut jobs = JobList::default();
        for (index, expectation) in self.expectations.iter().enumerate() {
            if !expectation.claim.is_structural() {
                self.add_expectation_jobs(index, &mut verdicts[index], options, &mut jobs);
            }
        }
        self.add_rule_jobs(options, &mut jobs);
        jobs.jobs
    }

    /// Adds the behaviour claims of an expectation, at each age of the list that it has to be checked at.
    fn add_expectation_jobs(
        &self,
        index: usize,
        verdict: &mut Verdict,
        options: CheckOptions,
        jobs: &mut JobList,
    ) {
        let claim = &self.expectations[index].claim;
        let mut previous = None;
        for (age, age_ms) in self.ages(claim).into_iter().enumerate() {
            // Beyond the required age the module is not run: it takes seconds, and adds little.
            if verdict.required_ms.is_some_and(|required| age_ms >= required) && age > 0 {
                break;
            }
            let grouping = Grouping::new(&self.fleet, age_ms, self.pace.every_ms);
            let checker = StructuralChecker::new(&self.fleet, self.pace, age_ms);
            let max_unlisted_changes = checker.max_unlisted_changes();
            let maybe_stale = grouping.listed.iter().filter(|g| g.maybe_stale).count();
            // If the list can't lack more than at the previous age, the explorations are the same.
            let staleness = (max_unlisted_changes, maybe_stale);
            if previous.replace(staleness) == Some(staleness) {
                continue;
            }
            let mut collector =
                ClaimCollector { grouping: &grouping, max_unlisted_changes, cases: Vec::new() };
            if !collector.collect(claim, &[]) {
                verdict.outcome = Outcome::Undecided;
            }
            let origin = ExpectationAtAge { expectation: index, age };
            for case in &collector.cases {
                self.add_jobs(case, origin, &grouping, options, jobs);
            }
        }
    }

    /// Adds the explorations of the six rules, on the fleet as listed.
    fn add_rule_jobs(&self, options: CheckOptions, jobs: &mut JobList) {
        let grouping = Grouping::new(&self.fleet, 0.0, 0.0);
        let grouped = GroupsAndOrder { groups: &grouping.listed, order: &grouping.order };
        for table_type in 0..self.fleet.config().table_types.len() {
            let scenarios =
                Scenario::for_table_type(&self.fleet, grouped, table_type, RULES_LIMITS, false, options.seed);
            for scenario in scenarios {
                jobs.push(scenario, Vec::new());
            }
        }
    }

    /// Adds a behaviour claim to the jobs of its scenarios. Equivalent scenarios share a job.
    fn add_jobs(
        &self,
        case: &ClaimCase,
        origin: ExpectationAtAge,
        grouping: &Grouping,
        options: CheckOptions,
        jobs: &mut JobList,
    ) {
        let table_types = match case.claim.table_type {
            Some(table_type) => table_type..table_type + 1,
            None => 0..self.fleet.config().table_types.len(),
        };
        let halls_matter = matches!(case.claim.action, ObservedAction::Dispatch { hall: Some(_), .. });
        let grouped = GroupsAndOrder { groups: &case.groups, order: &grouping.order };
        for table_type in table_types {
            let scenarios = Scenario::for_table_type(
                &self.fleet,
                grouped,
                table_type,
                case.limits,
                halls_matter,
                options.seed,
            );
            for scenario in scenarios {
                let key = scenario_key(&scenario, halls_matter);
                let job = jobs.shared_job(key, scenario, &case.failures);
                if !job.origins.contains(&origin) {
                    job.claims.push(case.claim.clone());
                    job.origins.push(origin);
                }
            }
        }
    }
}

/// Collects the behaviour claims of an expectation, each with all cases of the failures around it.
struct ClaimCollector<'a> {
    grouping: &'a Grouping,
    max_unlisted_changes: u32,
    cases: Vec<ClaimCase>,
}

impl ClaimCollector<'_> {
    /// Collects the behaviour claims of `claim`. Returns `false` if there are too many cases.
    fn collect(&mut self, claim: &Claim, pending: &[Failure]) -> bool {
        match claim {
            Claim::All(claims) => claims.iter().all(|c| self.collect(c, pending)),
            Claim::After(failure, claim) => {
                let pending: Vec<Failure> = pending.iter().cloned().chain([failure.clone()]).collect();
                self.collect(claim, &pending)
            }
            Claim::WhileListYounger { max_changes, claim, .. } => {
                let max = max_changes.unwrap_or(u32::MAX).min(self.max_unlisted_changes);
                let unlisted = Failure { condition: Condition::Gone, target: FailureTarget::MaybeStale(max) };
                let pending: Vec<Failure> = pending.iter().cloned().chain([unlisted]).collect();
                self.collect(claim, &pending)
            }
            Claim::Behaviour(claim) => self.add_cases(claim, pending),
            _ => true,
        }
    }

    /// Adds a claim in all cases of the failures. Unlisted changes are not enumerated, but left to the exploration.
    fn add_cases(&mut self, claim: &BehaviourClaim, pending: &[Failure]) -> bool {
        let (unlisted, failures): (Vec<_>, Vec<_>) =
            pending.iter().cloned().partition(|f| matches!(f.target, FailureTarget::MaybeStale(_)));
        let unlisted_changes = unlisted
            .iter()
            .map(|f| if let FailureTarget::MaybeStale(max) = f.target { max } else { 0 })
            .sum();
        let limits = EventLimits { listed_changes: 2, unlisted_changes, restarts: 1, client_departures: 1 };
        let mut cases = vec![(self.grouping.listed.clone(), Vec::new())];
        for failure in &failures {
            cases = self.cases_after(&cases, failure);
        }
        let fits = cases.len() <= MAX_EXPLORED_CASES;
        let explored = cases.into_iter().take(MAX_EXPLORED_CASES);
        self.cases.extend(explored.map(|(groups, failures)| ClaimCase {
            claim: claim.clone(),
            groups,
            failures,
            limits,
        }));
        fits
    }

    /// All cases of a failure after each of these cases, up to [`MAX_EXPLORED_CASES`].
    fn cases_after(
        &self,
        cases: &[(GroupedFleet, Vec<AppliedFailure>)],
        failure: &Failure,
    ) -> Vec<(GroupedFleet, Vec<AppliedFailure>)> {
        let mut next = Vec::new();
        for (groups, applied) in cases {
            let _ = self.grouping.for_each_case(groups, failure, &mut |after, failures| {
                next.push((after, applied.iter().cloned().chain(failures).collect()));
                if next.len() > MAX_EXPLORED_CASES {
                    ControlFlow::Break(())
                } else {
                    ControlFlow::Continue(())
                }
            });
        }
        next
    }
}

/// A key that is the same for scenarios that the module can't distinguish.
fn scenario_key(scenario: &Scenario, halls_matter: bool) -> String {
    let searchers = signature(&scenario.searchers, scenario.config.placement.zone, halls_matter);
    let scans: Vec<_> = scenario.templates.iter().map(|t| (t.table_type, t.parts.len())).collect();
    format!("{searchers:?} {scans:?} {:?} {halls_matter}", scenario.limits)
}

/// Runs the explorations in parallel. The result of each does not depend on the others.
fn run_all(
    jobs: &[Job],
    options: CheckOptions,
    open: &SubjectFactory,
    progress: &(dyn Fn(usize) + Sync),
) -> Vec<Exploration> {
    let next = AtomicUsize::new(0);
    let finished = AtomicUsize::new(0);
    let results: Vec<Mutex<Option<Exploration>>> = jobs.iter().map(|_| Mutex::new(None)).collect();
    let work = || {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(job) = jobs.get(index) else { return };
            let exploration = explore(&job.scenario, &job.claims, open, options.bounds);
            *results[index].lock().unwrap_or_else(PoisonError::into_inner) = Some(exploration);
            progress(finished.fetch_add(1, Ordering::Relaxed) + 1);
        }
    };
    std::thread::scope(|scope| {
        for _ in 1..options.threads.min(jobs.len()).max(1) {
            scope.spawn(work);
        }
        work();
    });
    results
        .into_iter()
        .map(|result| result.into_inner().unwrap_or_else(PoisonError::into_inner).unwrap_or_default())
        .collect()
}
