//! All expectations of a file against one fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::ControlFlow;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use pewterwharf_fleet::Fleet;
use pewterwharf_settings::sexpr::ParseError;

use crate::claim::{BehaviourClaim, Claim, Failure, FailureTarget, ObservedAction, Pace};
use crate::explore::scenario::alike;
use crate::explore::search::tell;
use crate::explore::simulation::SubjectFactory;
use crate::explore::{Bounds, EventLimits, Exploration, Move, Rule, Scenario, explore, shrink};
use crate::groups::{AppliedFailure, Group, Grouping};
use crate::read::{Expectation, ParsedFile};
use crate::structural::{Case, StructuralChecker, TooMany};

/// DispatchEnd far a check goes, and on which seed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CheckOptions {
    pub bounds: Bounds,
    /// Explorations that run side by side.
    pub threads: usize,
    pub seed: u64,
}

/// What was looked at for a verdict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Cases of failures.
    pub cases: u64,
    /// States of the decision module.
    pub states: u64,
    /// All runs with so many departures were looked at; absent where the module was not asked, or fewer were.
    pub departures: Option<u32>,
    /// Explorations that this stands for.
    pub explorations: u32,
}

/// A case in which an expectation fails, for people and for replay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counterexample {
    /// What had to happen first.
    pub failures: Vec<String>,
    pub slice: Option<u32>,
    pub observed: String,
    /// What the module was told and did, a line each.
    pub trace: Vec<String>,
    /// The moves of the trace, to be run again, and the index of the scenario in which they were found.
    pub moves: Vec<String>,
    pub scenario: Option<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Holds,
    Fails(Box<Counterexample>),
    /// There were more cases than are gone through.
    Undecided,
}

/// What became of one expectation.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    pub name: String,
    /// Line of the file; absent for the six rules, which always run.
    pub line: Option<usize>,
    pub outcome: Outcome,
    /// The age of the list in milliseconds from which on it fails; absent where age does not matter or it holds at all
    /// ages that were looked at.
    pub fails_at_ms: Option<f64>,
    /// The age of the list up to which it has to hold; absent where it does not say.
    pub required_ms: Option<f64>,
    pub coverage: Coverage,
}

impl Verdict {
    pub fn holds(&self) -> bool {
        self.outcome == Outcome::Holds
    }
}

/// The rules' own claims, which no file has to state.
const RULES: [Rule; 6] = [
    Rule::NoScanLost,
    Rule::NoEffectTwice,
    Rule::DrainsKept,
    Rule::ColdSpared,
    Rule::AnswersHonest,
    Rule::BudgetKept,
];

/// In a check of the rules: changes told and untold, restarts, clients that leave.
const RULES_MEET: EventLimits = EventLimits { told: 2, unseen: 1, restarts: 1, leaves: 1 };
/// Ages of the list that are looked at for one expectation, at most.
const MOST_AGES: usize = 64;
/// Spans of the pace beyond the wanted age that are looked at, to say how far it holds.
const BEYOND: u32 = 8;
/// Cases of a failure for which the module is asked, at most; those alike in all that it can meet are one.
const MOST_SCENES: usize = 20_000;

/// One exploration, and who waits for what it finds.
struct Job {
    scenario: Scenario,
    watches: Vec<BehaviourClaim>,
    /// Expectation and age of the list, of each watch.
    whose: Vec<(usize, usize)>,
    befell: Vec<AppliedFailure>,
}

/// A file's expectations and the fleet that they speak of.
pub struct Suite {
    fleet: Fleet,
    pace: Pace,
    expects: Vec<Expectation>,
}

impl Suite {
    /// Looks up what a file says in its fleet.
    ///
    /// # Errors
    /// The place of what can't be read or does not exist.
    pub fn new(parsed: &ParsedFile, mut fleet: Fleet) -> Result<Self, ParseError> {
        parsed.own(&mut fleet)?;
        let expects = parsed.settle(&fleet)?;
        Ok(Self { fleet, pace: parsed.source.pace.unwrap_or_default(), expects })
    }

    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub fn pace(&self) -> Pace {
        self.pace
    }

    pub fn expectations(&self) -> &[Expectation] {
        &self.expects
    }

    /// Checks all expectations, then the six rules, on the module that `open` starts. `done` hears of finished steps
    /// and their number.
    pub fn check(
        &self,
        terms: CheckOptions,
        open: &SubjectFactory,
        done: &(dyn Fn(usize, usize) + Sync),
    ) -> Vec<Verdict> {
        let mut verdicts: Vec<Verdict> = self.expects.iter().map(|e| self.structural(e)).collect();
        let jobs = self.jobs(terms, &mut verdicts);
        let steps = self.expects.len() + jobs.len();
        done(self.expects.len(), steps);
        let found = run(&jobs, terms, open, &|n| done(self.expects.len() + n, steps));
        let mut rules: Vec<Verdict> = RULES.iter().map(|rule| verdict(rule.to_string(), None)).collect();
        for (at, (job, found)) in jobs.iter().zip(&found).enumerate() {
            if job.watches.is_empty() {
                for (rule, verdict) in RULES.iter().zip(&mut rules) {
                    add(&mut verdict.coverage, found);
                    if let Some((moves, _)) = found.violations.get(rule)
                        && verdict.holds()
                    {
                        verdict.outcome =
                            Outcome::Fails(Box::new(self.shown(at, job, terms, open, moves, *rule)));
                    }
                }
                continue;
            }
            for (expect, _) in &job.whose {
                add(&mut verdicts[*expect].coverage, found);
            }
        }
        self.watched(&jobs, &found, terms, open, &mut verdicts);
        verdicts.extend(rules);
        // Where not even the usual runs were looked at to their end, nothing holds by that.
        for verdict in &mut verdicts {
            if verdict.holds() && verdict.coverage.explorations > 0 && verdict.coverage.departures.is_none() {
                verdict.outcome = Outcome::Undecided;
            }
        }
        verdicts
    }

    /// Runs the moves of a counterexample again on the arena that it was found on: the trace, and whether anything was
    /// broken.
    ///
    /// # Errors
    /// If the check of this file has no such arena, or a move can't be read.
    pub fn replay(
        &self,
        scenario: usize,
        moves: &[&str],
        seed: u64,
        open: &SubjectFactory,
    ) -> Result<(Vec<String>, bool), String> {
        let terms =
            CheckOptions { bounds: Bounds { departures: 0, states: 0, merge: true }, threads: 1, seed };
        let mut verdicts: Vec<Verdict> = self.expects.iter().map(|e| self.structural(e)).collect();
        let jobs = self.jobs(terms, &mut verdicts);
        let job =
            jobs.get(scenario).ok_or_else(|| format!("there is no arena {scenario} of {}", jobs.len()))?;
        let moves = moves.iter().map(|m| m.parse()).collect::<Result<Vec<Move>, String>>()?;
        let lines = tell(&job.scenario, &job.watches, open, &moves);
        let broken = lines.iter().any(|line| line.contains("!!  "));
        Ok((lines, broken))
    }

    /// The youngest list, and then the simplest case, in which a watch saw what it must not.
    fn watched(
        &self,
        jobs: &[Job],
        found: &[Exploration],
        terms: CheckOptions,
        open: &SubjectFactory,
        verdicts: &mut [Verdict],
    ) {
        let mut worst: BTreeMap<usize, (usize, usize, usize)> = BTreeMap::new();
        for (at, (job, found)) in jobs.iter().zip(found).enumerate() {
            for (nth, (expect, age)) in job.whose.iter().enumerate() {
                if let Some((moves, _)) = found.violations.get(&Rule::BehaviourClaim(nth)) {
                    let this = (*age, moves.len(), at);
                    let least = worst.entry(*expect).or_insert(this);
                    *least = this.min(*least);
                }
            }
        }
        for (expect, (age, _, at)) in worst {
            let verdict = &mut verdicts[expect];
            let ages = self.ages(&self.expects[expect].claim);
            let at_ms = ages.get(age).copied().filter(|_| verdict.required_ms.is_some());
            // What follows from who holds what has gone before, and may have failed on a younger list.
            if !verdict.holds() && verdict.fails_at_ms.unwrap_or(0.0) <= at_ms.unwrap_or(0.0) {
                continue;
            }
            let job = &jobs[at];
            let Some(nth) = job.whose.iter().position(|w| *w == (expect, age)) else { continue };
            let rule = Rule::BehaviourClaim(nth);
            if let Some((moves, _)) = found[at].violations.get(&rule) {
                verdict.fails_at_ms = at_ms;
                if verdict.required_ms.is_none_or(|wanted| at_ms.is_some_and(|at| at < wanted)) {
                    verdict.outcome = Outcome::Fails(Box::new(self.shown(at, job, terms, open, moves, rule)));
                }
            }
        }
    }

    fn shown(
        &self,
        at: usize,
        job: &Job,
        terms: CheckOptions,
        open: &SubjectFactory,
        moves: &[Move],
        rule: Rule,
    ) -> Counterexample {
        let scenario = Scenario { seed: terms.seed, ..job.scenario.clone() };
        let moves = shrink(&scenario, &job.watches, open, moves, rule);
        let trace = tell(&scenario, &job.watches, open, &moves);
        let broken = trace.iter().find_map(|l| l.split_once("!!  ")).map(|l| l.1.to_owned());
        Counterexample {
            failures: job.befell.iter().map(|b| b.tell(&self.fleet)).collect(),
            slice: None,
            observed: broken.unwrap_or_default(),
            trace,
            moves: moves.iter().map(ToString::to_string).collect(),
            scenario: Some(at),
        }
    }

    /// Ages of the list at which something new can be untold: the first is zero.
    fn ages(&self, claim: &Claim) -> Vec<f64> {
        let Some((most, _)) = claim.younger() else { return vec![0.0] };
        let every = self.pace.every_ms;
        let mut ages = BTreeSet::new();
        let mut add = |ms: f64| {
            if ms >= 0.0 && ms <= most + f64::from(BEYOND) * every && ages.len() < MOST_AGES {
                ages.insert((ms * 1024.0).round() as u64);
            }
        };
        add(0.0);
        let spans = ((most / every).ceil() as u32).saturating_add(BEYOND).min(MOST_AGES as u32);
        (1..=spans).for_each(|n| add(f64::from(n) * every));
        self.fleet.searchers().iter().filter(|s| s.age_ms > 0.0).for_each(|s| add(every - s.age_ms));
        ages.into_iter().map(|ms| ms as f64 / 1024.0).collect()
    }

    fn structural(&self, expect: &Expectation) -> Verdict {
        let mut verdict = verdict(expect.name.clone(), Some(expect.line));
        verdict.required_ms = expect.claim.younger().map(|y| y.0);
        let mut changes = None;
        for ms in self.ages(&expect.claim) {
            let mut judge = StructuralChecker::new(&self.fleet, self.pace, ms);
            // Where nothing more can be untold the verdict is that of the age before.
            let unsure =
                self.fleet.searchers().iter().filter(|s| s.age_ms + ms >= self.pace.every_ms).count();
            if changes.replace((judge.changes(), unsure)) == Some((judge.changes(), unsure)) {
                continue;
            }
            let failed = judge.fails(&expect.claim);
            verdict.coverage.cases += judge.cases();
            let in_time = verdict.required_ms.is_none_or(|wanted| ms < wanted);
            match failed {
                Ok(None) => {}
                Err(TooMany) if in_time => {
                    verdict.outcome = Outcome::Undecided;
                    return verdict;
                }
                Err(TooMany) => return verdict,
                Ok(Some(case)) => {
                    verdict.fails_at_ms = verdict.required_ms.map(|_| ms);
                    if in_time {
                        verdict.outcome = Outcome::Fails(Box::new(self.case(&case)));
                    }
                    return verdict;
                }
            }
        }
        verdict
    }

    fn case(&self, case: &Case) -> Counterexample {
        Counterexample {
            failures: case.failures.iter().map(|b| b.tell(&self.fleet)).collect(),
            slice: case.slice,
            observed: case.observed.clone(),
            ..Counterexample::default()
        }
    }

    /// All explorations that the expectations need, those alike joined; then those of the six rules.
    fn jobs(&self, terms: CheckOptions, verdicts: &mut [Verdict]) -> Vec<Job> {
        let mut jobs: Vec<Job> = Vec::new();
        let mut known: BTreeMap<String, usize> = BTreeMap::new();
        for (at, expect) in self.expects.iter().enumerate() {
            if expect.claim.structural() {
                continue;
            }
            let mut last = None;
            for (age, ms) in self.ages(&expect.claim).into_iter().enumerate() {
                // Beyond the wanted age the module is not asked: it costs seconds, and says little more.
                if verdicts[at].required_ms.is_some_and(|wanted| ms >= wanted) && age > 0 {
                    break;
                }
                let grouping = Grouping::of(&self.fleet, ms, self.pace.every_ms);
                let changes = StructuralChecker::new(&self.fleet, self.pace, ms).changes();
                let unsure = grouping.listed.iter().filter(|g| g.unsure).count();
                if last.replace((changes, unsure)) == Some((changes, unsure)) {
                    continue;
                }
                let mut asked = Vec::new();
                let fits =
                    self.ask(&grouping, &expect.claim, &grouping.listed, &[], &[], changes, &mut asked);
                if !fits {
                    verdicts[at].outcome = Outcome::Undecided;
                }
                for (watch, scene, befell, allow) in asked {
                    let types = match watch.table_type {
                        Some(table_type) => table_type..table_type + 1,
                        None => 0..self.fleet.config().table_types.len(),
                    };
                    for table_type in types {
                        let named = matches!(watch.action, ObservedAction::Sent { hall: Some(_), .. });
                        let (fleet, order) = (&self.fleet, &grouping.order);
                        for scenario in
                            Scenario::of(fleet, &scene, order, table_type, allow, named, terms.seed)
                        {
                            let key = key(&scenario, named);
                            let job = *known.entry(key).or_insert_with(|| {
                                let (watches, whose) = (Vec::new(), Vec::new());
                                jobs.push(Job { scenario, watches, whose, befell: befell.clone() });
                                jobs.len() - 1
                            });
                            if !jobs[job].whose.contains(&(at, age)) {
                                jobs[job].watches.push(watch.clone());
                                jobs[job].whose.push((at, age));
                            }
                        }
                    }
                }
            }
        }
        let grouping = Grouping::of(&self.fleet, 0.0, 0.0);
        for table_type in 0..self.fleet.config().table_types.len() {
            let (fleet, scene, order) = (&self.fleet, &grouping.listed, &grouping.order);
            for scenario in Scenario::of(fleet, scene, order, table_type, RULES_MEET, false, terms.seed) {
                jobs.push(Job { scenario, watches: Vec::new(), whose: Vec::new(), befell: Vec::new() });
            }
        }
        jobs
    }

    /// The watches of a claim, each with every scene under which it has to be asked; false if these are too many.
    #[allow(clippy::too_many_arguments)] // a recursion's state
    #[allow(clippy::type_complexity)]
    fn ask(
        &self,
        grouping: &Grouping,
        claim: &Claim,
        scene: &[Group],
        befell: &[AppliedFailure],
        pending: &[Failure],
        changes: u32,
        asked: &mut Vec<(BehaviourClaim, Vec<Group>, Vec<AppliedFailure>, EventLimits)>,
    ) -> bool {
        match claim {
            Claim::All(claims) => {
                claims.iter().all(|c| self.ask(grouping, c, scene, befell, pending, changes, asked))
            }
            Claim::After(failure, claim) => {
                let pending: Vec<Failure> = pending.iter().cloned().chain([failure.clone()]).collect();
                self.ask(grouping, claim, scene, befell, &pending, changes, asked)
            }
            Claim::WhileListYounger { changes: most, claim, .. } => {
                let unseen = most.unwrap_or(u32::MAX).min(changes);
                let unseen = Failure {
                    what: pewterwharf_fleet::Condition::Gone,
                    whom: FailureTarget::MaybeStale(unseen),
                };
                let pending: Vec<Failure> = pending.iter().cloned().chain([unseen]).collect();
                self.ask(grouping, claim, scene, befell, &pending, changes, asked)
            }
            Claim::Behaviour(watch) => {
                let (unseen, befalls): (Vec<_>, Vec<_>) =
                    pending.iter().cloned().partition(|h| matches!(h.whom, FailureTarget::MaybeStale(_)));
                let unseen = unseen
                    .iter()
                    .map(|h| if let FailureTarget::MaybeStale(n) = h.whom { n } else { 0 })
                    .sum();
                let allow = EventLimits { told: 2, unseen, restarts: 1, leaves: 1 };
                let mut scenes = vec![(scene.to_vec(), befell.to_vec())];
                for failure in &befalls {
                    let mut next = Vec::new();
                    for (scene, befell) in &scenes {
                        let _ = grouping.cases(scene, failure, &mut |after, one| {
                            next.push((after, befell.iter().cloned().chain(one).collect()));
                            if next.len() > MOST_SCENES {
                                ControlFlow::Break(())
                            } else {
                                ControlFlow::Continue(())
                            }
                        });
                    }
                    scenes = next;
                }
                let fits = scenes.len() <= MOST_SCENES;
                asked.extend(
                    scenes
                        .into_iter()
                        .take(MOST_SCENES)
                        .map(|(scene, befell)| (watch.clone(), scene, befell, allow)),
                );
                fits
            }
            _ => true,
        }
    }
}

fn verdict(name: String, line: Option<usize>) -> Verdict {
    let (outcome, coverage) = (Outcome::Holds, Coverage::default());
    Verdict { name, line, outcome, fails_at_ms: None, required_ms: None, coverage }
}

fn add(coverage: &mut Coverage, found: &Exploration) {
    coverage.states += found.reached;
    coverage.departures = match coverage.explorations {
        0 => found.departures,
        _ => coverage.departures.zip(found.departures).map(|(one, other)| one.min(other)),
    };
    coverage.explorations += 1;
}

/// Arenas that the module can't tell apart have the same key.
fn key(scenario: &Scenario, halls_count: bool) -> String {
    let places = alike(&scenario.searchers, scenario.config.placement.zone, halls_count);
    let types: Vec<_> = scenario.templates.iter().map(|p| (p.table_type, p.parts.len())).collect();
    format!("{places:?} {types:?} {:?} {halls_count}", scenario.limits)
}

/// Runs the explorations side by side; what each finds depends on it alone.
fn run(
    jobs: &[Job],
    terms: CheckOptions,
    open: &SubjectFactory,
    done: &(dyn Fn(usize) + Sync),
) -> Vec<Exploration> {
    let (next, finished) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let found: Vec<Mutex<Option<Exploration>>> = jobs.iter().map(|_| Mutex::new(None)).collect();
    let work = || {
        loop {
            let at = next.fetch_add(1, Ordering::Relaxed);
            let Some(job) = jobs.get(at) else { return };
            let one = explore(&job.scenario, &job.watches, open, terms.bounds);
            *found[at].lock().unwrap_or_else(PoisonError::into_inner) = Some(one);
            done(finished.fetch_add(1, Ordering::Relaxed) + 1);
        }
    };
    std::thread::scope(|scope| {
        for _ in 1..terms.threads.min(jobs.len()).max(1) {
            scope.spawn(work);
        }
        work();
    });
    let empty = || Exploration { violations: BTreeMap::new(), reached: 0, merged: 0, departures: None };
    found
        .into_iter()
        .map(|f| f.into_inner().unwrap_or_else(PoisonError::into_inner).unwrap_or_else(empty))
        .collect()
}
