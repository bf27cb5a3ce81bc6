//! Order of the moves of a migration between two placements.
//!
//! In a migration, searchers change the slices that they hold. A step copies or drops one slice at one group of searchers
//! that move together; a slice is copied to all its new holders before any old holder drops it. [`Migration::plan`] finds
//! an order in which every structural expectation holds after each step, by depth-first search over the sets of completed
//! steps. Drops are tried first, as they free capacity. States from which the migration can't be completed are recorded
//! and not visited again. If there is no order, the result names the smallest set of expectations that excludes one.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use pewterwharf_fleet::{Fleet, Placement};
use pewterwharf_terms::list::{Entry, List};

use crate::claim::{Claim, FailureTarget, Pace, SliceClaim};
use crate::read::Expectation;
use crate::structural::StructuralChecker;

/// Maximum number of states that one search visits.
const MAX_STATES: usize = 20_000;
/// Maximum number of searches for a smaller set of expectations that excludes a plan.
const MAX_SUBSET_SEARCHES: usize = 2_000;

/// What a step does with a slice. Steps are sorted by kind, so drops come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepKind {
    Drop,
    Copy,
}

/// One step: the searchers of a group copy or drop a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Step {
    pub kind: StepKind,
    pub slice: u32,
    /// Index into [`Migration::groups`].
    pub group: u32,
}

/// Searchers with the same set before and the same set after; `None` where they are not part of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearcherGroup {
    pub old: Option<u32>,
    pub new: Option<u32>,
    pub searchers: Vec<String>,
}

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// These expectations exclude any order. `smallest`: no smaller set of expectations does.
    Excluded { names: Vec<String>, smallest: bool },
    /// The search reached its limit before it found an order.
    SearchLimitReached { states: usize },
    /// An expectation depends on sets, which are undefined while searchers move between them.
    DependsOnSets { name: String },
    /// The two fleets can't be compared.
    NotComparable { reason: String },
}

/// An order of all steps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    pub steps: Vec<Step>,
    /// Expectations that the old fleet does not meet; they are only required after the last step.
    pub initially_failing: Vec<String>,
    /// States that the search visited.
    pub states: usize,
}

/// Two fleets, and the steps from one to the other.
pub struct Migration {
    /// The searchers of both fleets. Those of the new fleet come first, so they keep their indices.
    fleet: Fleet,
    /// Index of the group of each searcher, used as its set.
    sets: Vec<u32>,
    groups: Vec<SearcherGroup>,
    /// Slices that each group holds at the start.
    initial_slices: Vec<BTreeSet<u32>>,
    steps: Vec<Step>,
}

/// Result of one search.
enum SearchResult {
    Found(Plan),
    /// No order was found. If the limit was not reached, there is none.
    NotFound {
        states: usize,
    },
}

impl Migration {
    /// Computes the steps from the old fleet to the new one.
    ///
    /// # Errors
    /// If the fleets can't be compared, or are too large.
    pub fn new(old: &Fleet, new: &Fleet, old_list: &List, new_list: &List) -> Result<Self, PlanError> {
        if old.slices() != new.slices() {
            return Err(PlanError::NotComparable {
                reason: format!("{} slices in the old fleet, {} in the new", old.slices(), new.slices()),
            });
        }
        let fleet = joint_fleet(old, new, old_list, new_list)?;
        let set_in =
            |fleet: &Fleet, name: &str| fleet.searcher(name).ok().map(|index| fleet.searchers()[index].set);
        let mut groups: Vec<SearcherGroup> = Vec::new();
        let mut group_by_sets: BTreeMap<(Option<u32>, Option<u32>), u32> = BTreeMap::new();
        let mut sets = Vec::new();
        for searcher in fleet.searchers() {
            let old_set = set_in(old, &searcher.name);
            let new_set = set_in(new, &searcher.name);
            let group = *group_by_sets.entry((old_set, new_set)).or_insert_with(|| {
                groups.push(SearcherGroup { old: old_set, new: new_set, searchers: Vec::new() });
                groups.len() as u32 - 1
            });
            groups[group as usize].searchers.push(searcher.name.clone());
            sets.push(group);
        }
        let slices_of = |fleet: &Fleet, set: Option<u32>| -> BTreeSet<u32> {
            let Some(set) = set else { return BTreeSet::new() };
            (0..fleet.slices()).filter(|s| fleet.placement().sets_of_slice(*s).contains(&set)).collect()
        };
        let mut initial_slices = Vec::new();
        let mut steps = Vec::new();
        for (group, searchers) in (0u32..).zip(&groups) {
            let before = slices_of(old, searchers.old);
            let after = slices_of(new, searchers.new);
            let step = |kind: StepKind| move |slice: &u32| Step { kind, slice: *slice, group };
            steps.extend(before.difference(&after).map(step(StepKind::Drop)));
            steps.extend(after.difference(&before).map(step(StepKind::Copy)));
            initial_slices.push(before);
        }
        steps.sort();
        Ok(Self { fleet, sets, groups, initial_slices, steps })
    }

    pub fn groups(&self) -> &[SearcherGroup] {
        &self.groups
    }

    /// All steps of the migration, unordered.
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// The fleet after the completed steps.
    ///
    /// # Errors
    /// If the placement is not valid, which the steps of this migration never cause.
    pub fn after(&self, completed: &[bool]) -> Result<Fleet, PlanError> {
        let mut groups_by_slice = vec![Vec::new(); self.fleet.slices() as usize];
        for (group, slices) in (0u32..).zip(&self.initial_slices) {
            slices.iter().for_each(|slice| groups_by_slice[*slice as usize].push(group));
        }
        for (step, _) in self.steps.iter().zip(completed).filter(|(_, completed)| **completed) {
            let groups = &mut groups_by_slice[step.slice as usize];
            match step.kind {
                StepKind::Copy => groups.push(step.group),
                StepKind::Drop => groups.retain(|g| *g != step.group),
            }
        }
        let placement = Placement::new(self.groups.len(), groups_by_slice);
        let fleet = placement.and_then(|placement| self.fleet.with_placement(placement, &self.sets));
        fleet.map_err(not_comparable)
    }

    /// An order of all steps in which every structural expectation holds after each.
    ///
    /// # Errors
    /// Why there is no order, or why none was found.
    pub fn plan(&self, expectations: &[Expectation], pace: Pace) -> Result<Plan, PlanError> {
        let structural: Vec<&Expectation> = expectations.iter().filter(|e| e.claim.is_structural()).collect();
        if let Some(expectation) = structural.iter().find(|e| depends_on_sets(&e.claim)) {
            return Err(PlanError::DependsOnSets { name: expectation.name.clone() });
        }
        match self.search(&structural, pace)? {
            SearchResult::Found(plan) => Ok(plan),
            SearchResult::NotFound { states } if states >= MAX_STATES => {
                Err(PlanError::SearchLimitReached { states })
            }
            SearchResult::NotFound { .. } => Err(self.excluding_expectations(&structural, pace)?),
        }
    }

    /// Depth-first search for an order in which the expectations hold after each step.
    fn search(&self, expectations: &[&Expectation], pace: Pace) -> Result<SearchResult, PlanError> {
        let none_completed = vec![false; self.steps.len()];
        let all_completed = vec![true; self.steps.len()];
        if !self.hold_after(&all_completed, expectations, pace)? {
            return Ok(SearchResult::NotFound { states: 1 });
        }
        let mut initially_failing = Vec::new();
        let mut required = Vec::new();
        for expectation in expectations {
            if self.hold_after(&none_completed, &[*expectation], pace)? {
                required.push(*expectation);
            } else {
                initially_failing.push(expectation.name.clone());
            }
        }
        let mut dead_ends: HashSet<Vec<bool>> = HashSet::new();
        let mut states = 0;
        let mut completed = none_completed;
        // Completed steps in order.
        let mut path: Vec<usize> = Vec::new();
        // Index of the first step to try in the current state. The steps before it were tried already.
        let mut next = 0;
        loop {
            if path.len() == self.steps.len() {
                let steps = path.iter().map(|step| self.steps[*step]).collect();
                return Ok(SearchResult::Found(Plan { steps, initially_failing, states }));
            }
            let candidate =
                (next..self.steps.len()).find(|s| !completed[*s] && self.is_allowed(*s, &completed));
            let Some(step) = candidate else {
                dead_ends.insert(completed.clone());
                let Some(undone) = path.pop() else { return Ok(SearchResult::NotFound { states }) };
                completed[undone] = false;
                next = undone + 1;
                continue;
            };
            completed[step] = true;
            states += 1;
            if states > MAX_STATES {
                return Ok(SearchResult::NotFound { states });
            }
            if !dead_ends.contains(&completed) && self.hold_after(&completed, &required, pace)? {
                path.push(step);
                next = 0;
            } else {
                completed[step] = false;
                next = step + 1;
            }
        }
    }

    /// Whether the expectations hold after the completed steps.
    fn hold_after(
        &self,
        completed: &[bool],
        expectations: &[&Expectation],
        pace: Pace,
    ) -> Result<bool, PlanError> {
        let fleet = self.after(completed)?;
        let mut checker = StructuralChecker::new(&fleet, pace, 0.0);
        Ok(expectations.iter().all(|e| checker.find_failure(&e.claim) == Ok(None)))
    }

    /// A slice may be dropped once all its new holders have copied it.
    fn is_allowed(&self, step: usize, completed: &[bool]) -> bool {
        let Step { kind, slice, .. } = self.steps[step];
        let is_copied = |(other, completed): (&Step, &bool)| {
            other.slice != slice || other.kind != StepKind::Copy || *completed
        };
        kind == StepKind::Copy || self.steps.iter().zip(completed).all(is_copied)
    }

    /// The smallest set of expectations that has no plan.
    fn excluding_expectations(
        &self,
        expectations: &[&Expectation],
        pace: Pace,
    ) -> Result<PlanError, PlanError> {
        // A search that reached its limit does not prove that there is no plan.
        let has_no_plan = |set: &[&Expectation]| -> Result<bool, PlanError> {
            let result = self.search(set, pace)?;
            Ok(matches!(result, SearchResult::NotFound { states } if states < MAX_STATES))
        };
        // Removes each expectation that the set does not need to exclude a plan.
        let mut core = expectations.to_vec();
        let mut index = 0;
        while index < core.len() {
            let mut fewer = core.clone();
            fewer.remove(index);
            if has_no_plan(&fewer)? {
                core = fewer;
            } else {
                index += 1;
            }
        }
        // Another set may be smaller: all smaller sets are tried, up to a limit.
        let mut searches = 0;
        let mut smallest = true;
        'sizes: for size in 1..core.len() {
            let mut chosen: Vec<usize> = (0..size).collect();
            loop {
                if searches >= MAX_SUBSET_SEARCHES {
                    smallest = false;
                    break 'sizes;
                }
                let set: Vec<&Expectation> = chosen.iter().map(|i| expectations[*i]).collect();
                searches += 1;
                if has_no_plan(&set)? {
                    core = set;
                    break 'sizes;
                }
                if !next_combination(&mut chosen, expectations.len()) {
                    break;
                }
            }
        }
        Ok(PlanError::Excluded { names: core.iter().map(|e| e.name.clone()).collect(), smallest })
    }
}

fn not_comparable(error: impl std::fmt::Display) -> PlanError {
    PlanError::NotComparable { reason: error.to_string() }
}

/// A fleet with the searchers of both lists, in the configuration of the new fleet.
fn joint_fleet(old: &Fleet, new: &Fleet, old_list: &List, new_list: &List) -> Result<Fleet, PlanError> {
    let is_leaving = |entry: &&Entry| new.searcher(&entry.name).is_err() && old.searcher(&entry.name).is_ok();
    let mut union = new_list.clone();
    // A leaving searcher has no set in the new layout. Its set is arbitrary, as its group determines its slices.
    union.entries.extend(old_list.entries.iter().filter(is_leaving).map(|e| Entry { cell: 0, ..e.clone() }));
    let mut fleet = Fleet::new(new.config().clone(), &union).map_err(not_comparable)?;
    for owned in new.customer_slices() {
        let name = &new.config().customer_names[owned.customer];
        for slices in &owned.slices {
            fleet.add_customer_slices(name, slices.clone()).map_err(not_comparable)?;
        }
    }
    Ok(fleet)
}

/// Advances to the next combination of indices below `count`. Returns `false` after the last one.
fn next_combination(chosen: &mut [usize], count: usize) -> bool {
    let size = chosen.len();
    let Some(index) = (0..size).rev().find(|i| chosen[*i] < count - size + i) else { return false };
    chosen[index] += 1;
    (index + 1..size).for_each(|i| chosen[i] = chosen[i - 1] + 1);
    true
}

/// Whether a claim depends on sets.
fn depends_on_sets(claim: &Claim) -> bool {
    match claim {
        Claim::All(claims) | Claim::Some(claims) => claims.iter().any(depends_on_sets),
        Claim::Not(claim) | Claim::WhileListYounger { claim, .. } => depends_on_sets(claim),
        Claim::After(failure, claim) => {
            matches!(failure.target, FailureTarget::Set(_)) || depends_on_sets(claim)
        }
        Claim::ForAllSlices { claim, .. } => slice_claim_depends_on_sets(claim),
        Claim::LoadAtMost(_) | Claim::SlicesAtMost(_) | Claim::Behaviour(_) => false,
    }
}

fn slice_claim_depends_on_sets(claim: &SliceClaim) -> bool {
    match claim {
        SliceClaim::All(claims) | SliceClaim::Some(claims) => claims.iter().any(slice_claim_depends_on_sets),
        SliceClaim::Not(claim) => slice_claim_depends_on_sets(claim),
        SliceClaim::Reachable(minimum) => minimum.sets > 1,
    }
}
