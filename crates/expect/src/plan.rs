//! The order of a season's moves.
//!
//! Between two seasons searchers come to hold other slices. The step is one slice of one group of searchers that move
//! alike; a slice is copied to all who get it before anybody drops it. [`Migration::plan`] finds an order in which every
//! structural expectation holds after each step, by depth-first search over the sets of steps done: drops first, as
//! they make room; states from which the rest can't be done are remembered and never entered again. If there is no
//! order, it names the smallest set of expectations that excludes one.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use pewterwharf_fleet::{Fleet, Placement};
use pewterwharf_terms::list::{Entry, List};

use crate::claim::{Claim, FailureTarget, Pace, SliceClaim};
use crate::read::Expectation;
use crate::structural::StructuralChecker;

/// States that one search looks at, at most.
const MOST_STATES: usize = 20_000;
/// Searches for a smaller set of expectations, at most.
const MOST_SEARCHES: usize = 2_000;

/// What is done to a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepKind {
    Drop,
    Copy,
}

/// One step: searchers that move alike get a slice, or drop it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Step {
    pub kind: StepKind,
    pub slice: u32,
    /// Index into [`Migration::groups`].
    pub group: u32,
}

/// Searchers that leave one set for another together, or stay in theirs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearcherGroup {
    pub old: Option<u32>,
    pub new: Option<u32>,
    pub searchers: Vec<String>,
}

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// These expectations exclude any order; no smaller set of them does, where `smallest`.
    Excluded { names: Vec<String>, smallest: bool },
    /// None was found among the states looked at.
    SearchLimitReached { states: usize },
    /// An expectation speaks of sets, which have no meaning while searchers move between them.
    DependsOnSets { name: String },
    /// The two fleets can't be compared.
    NotComparable { reason: String },
}

/// An order of all steps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    pub steps: Vec<Step>,
    /// Expectations that the old fleet does not meet; they are asked of the last step alone.
    pub initially_failing: Vec<String>,
    /// States that the search looked at.
    pub states: usize,
}

/// Two fleets, and the steps from one to the other.
pub struct Migration {
    /// All searchers of both, those of the new one first, so that its numbers hold.
    fleet: Fleet,
    sets: Vec<u32>,
    groups: Vec<SearcherGroup>,
    start: Vec<BTreeSet<u32>>,
    steps: Vec<Step>,
}

impl Migration {
    /// # Errors
    /// If the fleets can't be compared, or hold too much.
    pub fn new(old: &Fleet, new: &Fleet, old_list: &List, new_list: &List) -> Result<Self, PlanError> {
        let apart = |reason: String| PlanError::NotComparable { reason };
        if old.slices() != new.slices() {
            return Err(apart(format!(
                "{} slices in the old fleet, {} in the new",
                old.slices(),
                new.slices()
            )));
        }
        let joined = |entry: &&Entry| new.searcher(&entry.name).is_err() && old.searcher(&entry.name).is_ok();
        let mut union = new_list.clone();
        // One who leaves stands in no set of the new layout; any will do, its own slices are told by its group.
        union.entries.extend(old_list.entries.iter().filter(joined).map(|e| Entry { cell: 0, ..e.clone() }));
        let mut fleet = Fleet::new(new.config().clone(), &union).map_err(|e| apart(e.to_string()))?;
        for owned in new.customer_slices() {
            let name = &new.config().customer_names[owned.customer];
            for slices in &owned.slices {
                fleet.add_customer_slices(name, slices.clone()).map_err(|e| apart(e.to_string()))?;
            }
        }
        let set_in =
            |fleet: &Fleet, name: &str| fleet.searcher(name).ok().map(|at| fleet.searchers()[at].set);
        let mut groups: Vec<SearcherGroup> = Vec::new();
        let mut known: BTreeMap<(Option<u32>, Option<u32>), u32> = BTreeMap::new();
        let mut sets = Vec::new();
        for searcher in fleet.searchers() {
            let (from, to) = (set_in(old, &searcher.name), set_in(new, &searcher.name));
            let group = *known.entry((from, to)).or_insert_with(|| {
                groups.push(SearcherGroup { old: from, new: to, searchers: Vec::new() });
                groups.len() as u32 - 1
            });
            groups[group as usize].searchers.push(searcher.name.clone());
            sets.push(group);
        }
        let held = |fleet: &Fleet, set: Option<u32>| -> BTreeSet<u32> {
            let Some(set) = set else { return BTreeSet::new() };
            (0..fleet.slices()).filter(|s| fleet.placement().sets_of_slice(*s).contains(&set)).collect()
        };
        let (mut start, mut steps) = (Vec::new(), Vec::new());
        for (group, troop) in (0u32..).zip(&groups) {
            let (from, to) = (held(old, troop.old), held(new, troop.new));
            steps.extend(from.difference(&to).map(|s| Step { kind: StepKind::Drop, slice: *s, group }));
            steps.extend(to.difference(&from).map(|s| Step { kind: StepKind::Copy, slice: *s, group }));
            start.push(from);
        }
        steps.sort();
        Ok(Self { fleet, sets, groups, start, steps })
    }

    pub fn groups(&self) -> &[SearcherGroup] {
        &self.groups
    }

    /// All steps that the change takes, in no order that counts.
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// The fleet once these steps are done.
    ///
    /// # Errors
    /// If the holding can't be told, which steps of this season never cause.
    pub fn after(&self, done: &[bool]) -> Result<Fleet, PlanError> {
        let mut held_by = vec![Vec::new(); self.fleet.slices() as usize];
        for (group, slices) in (0u32..).zip(&self.start) {
            slices.iter().for_each(|slice| held_by[*slice as usize].push(group));
        }
        for (step, _) in self.steps.iter().zip(done).filter(|(_, done)| **done) {
            let held = &mut held_by[step.slice as usize];
            match step.kind {
                StepKind::Copy => held.push(step.group),
                StepKind::Drop => held.retain(|g| *g != step.group),
            }
        }
        let holding = Placement::new(self.groups.len(), held_by);
        let fleet = holding.and_then(|holding| self.fleet.with_placement(holding, &self.sets));
        fleet.map_err(|e| PlanError::NotComparable { reason: e.to_string() })
    }

    /// An order of all steps after each of which every structural expectation holds.
    ///
    /// # Errors
    /// Why there is none, or none was found.
    pub fn plan(&self, expects: &[Expectation], pace: Pace) -> Result<Plan, PlanError> {
        let asked: Vec<&Expectation> = expects.iter().filter(|e| e.claim.structural()).collect();
        if let Some(expect) = asked.iter().find(|e| of_sets(&e.claim)) {
            return Err(PlanError::DependsOnSets { name: expect.name.clone() });
        }
        let first = self.search(&asked, pace);
        match first {
            Ok(Ok(plan)) => Ok(plan),
            Ok(Err(states)) if states >= MOST_STATES => Err(PlanError::SearchLimitReached { states }),
            Ok(Err(_)) => Err(self.excluding(&asked, pace)?),
            Err(stuck) => Err(stuck),
        }
    }

    /// The plan, or the number of states in which none was found.
    fn search(&self, asked: &[&Expectation], pace: Pace) -> Result<Result<Plan, usize>, PlanError> {
        let none = vec![false; self.steps.len()];
        let holds = |done: &[bool], asked: &[&Expectation]| -> Result<bool, PlanError> {
            let fleet = self.after(done)?;
            let mut judge = StructuralChecker::new(&fleet, pace, 0.0);
            Ok(asked.iter().all(|e| judge.fails(&e.claim) == Ok(None)))
        };
        if !holds(&vec![true; self.steps.len()], asked)? {
            return Ok(Err(1));
        }
        let mut initially_failing = Vec::new();
        let mut always = Vec::new();
        for expect in asked {
            if holds(&none, &[*expect])? {
                always.push(*expect);
            } else {
                initially_failing.push(expect.name.clone());
            }
        }
        let mut dead: HashSet<Vec<bool>> = HashSet::new();
        let mut states = 0;
        // Of each state on the way: the steps done, and the next that is to be tried from there.
        let mut done = none;
        let mut way: Vec<(usize, usize)> = Vec::new();
        let mut next = 0;
        loop {
            if way.len() == self.steps.len() {
                let steps = way.iter().map(|(step, _)| self.steps[*step]).collect();
                return Ok(Ok(Plan { steps, initially_failing, states }));
            }
            let step = (next..self.steps.len()).find(|s| !done[*s] && self.allowed(*s, &done));
            let Some(step) = step else {
                dead.insert(done.clone());
                let Some((back, tried)) = way.pop() else { return Ok(Err(states)) };
                done[back] = false;
                next = tried + 1;
                continue;
            };
            done[step] = true;
            states += 1;
            if states > MOST_STATES {
                return Ok(Err(states));
            }
            if !dead.contains(&done) && holds(&done, &always)? {
                way.push((step, step));
                next = 0;
            } else {
                done[step] = false;
                next = step + 1;
            }
        }
    }

    /// A slice is dropped once all who get it have it.
    fn allowed(&self, step: usize, done: &[bool]) -> bool {
        let Step { kind, slice, .. } = self.steps[step];
        let copied =
            |(other, done): (&Step, &bool)| other.slice != slice || other.kind != StepKind::Copy || *done;
        kind == StepKind::Copy || self.steps.iter().zip(done).all(copied)
    }

    /// The smallest set of expectations that has no plan.
    fn excluding(&self, asked: &[&Expectation], pace: Pace) -> Result<PlanError, PlanError> {
        // One that was given up is no proof.
        let stuck = |set: &[&Expectation]| -> Result<bool, PlanError> {
            Ok(matches!(self.search(set, pace)?, Err(states) if states < MOST_STATES))
        };
        let mut searches = 0;
        // Leaving out one after the other gives a set of which every member counts.
        let mut core = asked.to_vec();
        let mut at = 0;
        while at < core.len() {
            let mut fewer = core.clone();
            fewer.remove(at);
            if stuck(&fewer)? {
                core = fewer;
            } else {
                at += 1;
            }
        }
        // Another may be smaller still.
        let mut smallest = true;
        'sizes: for size in 1..core.len() {
            let mut chosen: Vec<usize> = (0..size).collect();
            loop {
                if searches >= MOST_SEARCHES {
                    smallest = false;
                    break 'sizes;
                }
                let set: Vec<&Expectation> = chosen.iter().map(|i| asked[*i]).collect();
                searches += 1;
                if stuck(&set)? {
                    core = set;
                    break 'sizes;
                }
                let Some(at) = (0..size).rev().find(|i| chosen[*i] < asked.len() - size + i) else { break };
                chosen[at] += 1;
                (at + 1..size).for_each(|i| chosen[i] = chosen[i - 1] + 1);
            }
        }
        Ok(PlanError::Excluded { names: core.iter().map(|e| e.name.clone()).collect(), smallest })
    }
}

/// Whether a claim speaks of sets.
fn of_sets(claim: &Claim) -> bool {
    fn local(what: &SliceClaim) -> bool {
        match what {
            SliceClaim::All(locals) | SliceClaim::Some(locals) => locals.iter().any(local),
            SliceClaim::Not(inner) => local(inner),
            SliceClaim::Reachable(reach) => reach.sets > 1,
        }
    }
    match claim {
        Claim::All(claims) | Claim::Some(claims) => claims.iter().any(of_sets),
        Claim::Not(claim) | Claim::WhileListYounger { claim, .. } => of_sets(claim),
        Claim::After(failure, claim) => matches!(failure.whom, FailureTarget::Set(_)) || of_sets(claim),
        Claim::ForAllSlices { what, .. } => local(what),
        Claim::LoadAtMost(_) | Claim::SlicesAtMost(_) | Claim::Behaviour(_) => false,
    }
}
