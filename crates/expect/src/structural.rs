//! Structural checks: claims that depend on the placement only, checked in every case of the failures that they name.
//!
//! The alternatives are discussed in `docs/expectations.md`. Three exact reductions keep the number of cases small:
//!
//! 1. *For all slices* and *after any failure* are both universal, so they commute: each slice is checked on its own,
//!    under the failures of its own holders only.
//! 2. Slices held by the same sets form a class, and classes with the same halls, conditions and counts are checked
//!    once.
//! 3. Interchangeable searchers are counted in groups ([`crate::groups`]).
//!
//! The first reduction is not valid under `some` and `not`. For these, the cases of the whole fleet are enumerated by
//! group, up to a bound. Beyond it the verdict is *undecided*.

use std::collections::HashSet;
use std::ops::{ControlFlow, Range, RangeInclusive};

use pewterwharf_fleet::{Condition, Fleet};

use crate::claim::{Claim, Failure, FailureTarget, Pace, Reachability, SliceClaim};
use crate::groups::{AppliedFailure, Group, GroupedFleet, Grouping};

/// Maximum number of cases for one expectation; they take some seconds.
pub const MAX_CASES: u64 = 20_000_000;

/// A case in which a claim does not hold, with as few failures as possible.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Case {
    pub failures: Vec<AppliedFailure>,
    pub slice: Option<u32>,
    /// Description of the state that violates the claim.
    pub observed: String,
}

impl Case {
    fn events(&self) -> u32 {
        self.failures.iter().map(AppliedFailure::events).sum()
    }
}

/// A check that would exceed [`MAX_CASES`], so that there is no verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TooManyCases;

type CheckResult = Result<Option<Case>, TooManyCases>;

/// Checks claims against one fleet, at one age of its list.
pub struct StructuralChecker<'a> {
    fleet: &'a Fleet,
    grouping: Grouping,
    /// Total weight of the slices of each class.
    class_weights: Vec<f64>,
    /// Classes that each set holds.
    classes_of_set: Vec<Vec<usize>>,
    average_load: f64,
    max_unlisted_changes: u32,
    checked_cases: u64,
}

impl<'a> StructuralChecker<'a> {
    /// Creates a checker for a list that is `list_age_ms` old and becomes outdated at this pace.
    pub fn new(fleet: &'a Fleet, pace: Pace, list_age_ms: f64) -> Self {
        let placement = fleet.placement();
        let slice_weights = fleet.weights();
        let class_weight =
            |class| placement.slices_of_class(class).iter().map(|s| slice_weights[*s as usize]).sum();
        let mut classes_of_set = vec![Vec::new(); fleet.sets()];
        for class in 0..placement.classes() {
            placement.sets_of_class(class).iter().for_each(|set| classes_of_set[*set as usize].push(class));
        }
        let oldest_ms = fleet.searchers().iter().map(|s| s.age_ms).fold(0.0, f64::max);
        Self {
            grouping: Grouping::new(fleet, list_age_ms, pace.every_ms),
            class_weights: (0..placement.classes()).map(class_weight).collect(),
            classes_of_set,
            average_load: average_load(fleet, &slice_weights),
            max_unlisted_changes: pace.max_unlisted_changes(list_age_ms + oldest_ms),
            checked_cases: 0,
            fleet,
        }
    }

    /// Maximum number of changes that the list may lack at this age.
    pub fn max_unlisted_changes(&self) -> u32 {
        self.max_unlisted_changes
    }

    /// Cases checked so far.
    pub fn checked_cases(&self) -> u64 {
        self.checked_cases
    }

    /// A case with the fewest failures in which the claim does not hold. Claims about behaviour count as holding.
    ///
    /// # Errors
    /// If more than [`MAX_CASES`] cases would have to be checked.
    pub fn find_failure(&mut self, claim: &Claim) -> CheckResult {
        let groups = self.grouping.listed.clone();
        self.check(claim, &groups, &[], &[])
    }

    /// Checks a claim after the failures `applied`, whose result is `groups`, and in all cases of those `pending`.
    fn check(
        &mut self,
        claim: &Claim,
        groups: &[Group],
        applied: &[AppliedFailure],
        pending: &[Failure],
    ) -> CheckResult {
        match claim {
            Claim::All(claims) => {
                let mut smallest = None;
                for claim in claims {
                    keep_smaller(&mut smallest, self.check(claim, groups, applied, pending)?);
                }
                Ok(smallest)
            }
            Claim::After(failure, claim) => match self.grouping.apply_named(groups, failure) {
                Some((after, failure)) => {
                    let applied: Vec<AppliedFailure> = applied.iter().cloned().chain([failure]).collect();
                    self.check(claim, &after, &applied, pending)
                }
                None => self.check(claim, groups, applied, &appended(pending, failure.clone())),
            },
            Claim::WhileListYounger { max_changes, claim, .. } => {
                let max = max_changes.unwrap_or(u32::MAX).min(self.max_unlisted_changes);
                let unlisted = Failure { condition: Condition::Gone, target: FailureTarget::MaybeStale(max) };
                self.check(claim, groups, applied, &appended(pending, unlisted))
            }
            Claim::ForAllSlices { customer, range, claim } => {
                self.check_slices(*customer, range.as_ref(), claim, groups, applied, pending)
            }
            Claim::LoadAtMost(max_multiple) => self.check_load(*max_multiple, groups, applied, pending),
            Claim::SlicesAtMost(max) => Ok(self.check_slice_count(*max)),
            Claim::Behaviour(_) => Ok(None),
            Claim::Some(_) | Claim::Not(_) => match pending.split_first() {
                Some((failure, rest)) => self.check_in_all_cases(claim, groups, applied, failure, rest),
                None => self.check_some_or_not(claim, groups, applied),
            },
        }
    }

    fn check_some_or_not(
        &mut self,
        claim: &Claim,
        groups: &[Group],
        applied: &[AppliedFailure],
    ) -> CheckResult {
        match claim {
            Claim::Not(inner) => Ok(match self.check(inner, groups, applied, &[])? {
                Some(_) => None,
                None => Some(case(applied, None, "the negated claim holds".to_owned())),
            }),
            Claim::Some(claims) => {
                let mut observed = Vec::new();
                for claim in claims {
                    match self.check(claim, groups, applied, &[])? {
                        Some(case) => observed.push(case.observed),
                        None => return Ok(None),
                    }
                }
                Ok(Some(case(applied, None, format!("none holds: {}", observed.join("; ")))))
            }
            _ => Ok(None),
        }
    }

    /// Checks a claim in every case of a failure of the whole fleet, if slices can't be checked separately.
    fn check_in_all_cases(
        &mut self,
        claim: &Claim,
        groups: &[Group],
        applied: &[AppliedFailure],
        failure: &Failure,
        pending: &[Failure],
    ) -> CheckResult {
        let mut cases = Vec::new();
        let max = MAX_CASES.saturating_sub(self.checked_cases) / groups.len().max(1) as u64;
        let _ = self.grouping.for_each_case(groups, failure, &mut |after, failures| {
            cases.push((after, failures));
            if cases.len() as u64 > max { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
        });
        if cases.len() as u64 > max {
            return Err(TooManyCases);
        }
        let mut smallest = None;
        for (after, failures) in cases {
            self.checked_cases += after.len() as u64;
            let applied: Vec<AppliedFailure> = applied.iter().cloned().chain(failures).collect();
            keep_smaller(&mut smallest, self.check(claim, &after, &applied, pending)?);
        }
        Ok(smallest)
    }

    fn check_slices(
        &mut self,
        customer: Option<usize>,
        range: Option<&RangeInclusive<u32>>,
        claim: &SliceClaim,
        groups: &[Group],
        applied: &[AppliedFailure],
        pending: &[Failure],
    ) -> CheckResult {
        let fleet = self.fleet;
        let placement = fleet.placement();
        let groups_of_set = group_ranges(groups, placement.sets());
        let is_selected = |slice: &u32| {
            customer.is_none_or(|customer| fleet.customer_reads(customer, *slice))
                && range.is_none_or(|r| r.contains(slice))
        };
        let mut smallest = None;
        let mut checked_shapes = HashSet::new();
        for class in 0..placement.classes() {
            let slices = placement.slices_of_class(class);
            let Some(slice) = slices.iter().copied().find(is_selected) else { continue };
            let holders: GroupedFleet = placement
                .sets_of_class(class)
                .iter()
                .flat_map(|set| &groups[groups_of_set[*set as usize].clone()])
                .copied()
                .collect();
            if checked_shapes.insert(shape(&holders)) {
                let fails = |groups: &[Group]| {
                    (!slice_claim_holds(claim, groups)).then(|| describe_reachability(claim, groups, fleet))
                };
                self.check_cases(&holders, pending, applied, Some(slice), &fails, &mut smallest)?;
            }
        }
        Ok(smallest)
    }

    fn check_load(
        &mut self,
        max_multiple: f64,
        groups: &[Group],
        applied: &[AppliedFailure],
        pending: &[Failure],
    ) -> CheckResult {
        let fleet = self.fleet;
        let placement = fleet.placement();
        let groups_of_set = group_ranges(groups, placement.sets());
        let cold_capacity_share = fleet.config().safety_limits.cold_capacity_share;
        let class_weights = self.class_weights.clone();
        let classes_of_set = self.classes_of_set.clone();
        let average_load = self.average_load;
        let mut smallest = None;
        for (set, classes) in classes_of_set.iter().enumerate() {
            // Only sets that share a class with this one affect its load.
            let mut related_sets: Vec<u32> =
                classes.iter().flat_map(|c| placement.sets_of_class(*c)).copied().collect();
            related_sets.sort_unstable();
            related_sets.dedup();
            let related: GroupedFleet = related_sets
                .iter()
                .flat_map(|set| &groups[groups_of_set[*set as usize].clone()])
                .copied()
                .collect();
            let fails = |groups: &[Group]| {
                if !groups.iter().any(|g| g.set as usize == set && g.condition.accepts_work()) {
                    return None;
                }
                let class_capacity = |class: &usize| {
                    let holders = groups.iter().filter(|g| placement.sets_of_class(*class).contains(&g.set));
                    holders
                        .map(|g| capacity(g.condition, cold_capacity_share) * f64::from(g.count))
                        .sum::<f64>()
                };
                let load: f64 =
                    classes.iter().map(|class| class_weights[*class] / class_capacity(class)).sum::<f64>()
                        / average_load;
                (load > max_multiple * (1.0 + ROUNDING_TOLERANCE))
                    .then(|| format!("{load:.2} times the average at the searchers of set {set}"))
            };
            self.check_cases(&related, pending, applied, None, &fails, &mut smallest)?;
        }
        Ok(smallest)
    }

    fn check_slice_count(&self, max: u32) -> Option<Case> {
        let placement = self.fleet.placement();
        let held = |set: usize| {
            let classes = &self.classes_of_set[set];
            classes.iter().map(|c| placement.slices_of_class(*c).len()).sum::<usize>()
        };
        let exceeds = |set: &usize| held(*set) > max as usize && !self.fleet.members(*set as u32).is_empty();
        let set = (0..self.classes_of_set.len()).find(exceeds)?;
        Some(case(&[], None, format!("{} slices at the searchers of set {set}", held(set))))
    }

    /// Evaluates `fails` in all cases of the pending failures, and keeps the smallest case that fails.
    fn check_cases(
        &mut self,
        groups: &[Group],
        pending: &[Failure],
        applied: &[AppliedFailure],
        slice: Option<u32>,
        fails: &dyn Fn(&[Group]) -> Option<String>,
        smallest: &mut Option<Case>,
    ) -> Result<(), TooManyCases> {
        let enumeration = CaseEnumeration { grouping: &self.grouping, slice, fails };
        enumeration.run(groups, pending, applied, &mut self.checked_cases, smallest)
    }
}

/// Enumeration of all cases of pending failures, for one predicate.
struct CaseEnumeration<'a> {
    grouping: &'a Grouping,
    slice: Option<u32>,
    fails: &'a dyn Fn(&[Group]) -> Option<String>,
}

impl CaseEnumeration<'_> {
    fn run(
        &self,
        groups: &[Group],
        pending: &[Failure],
        applied: &[AppliedFailure],
        checked_cases: &mut u64,
        smallest: &mut Option<Case>,
    ) -> Result<(), TooManyCases> {
        let events: u32 = applied.iter().map(AppliedFailure::events).sum();
        if smallest.as_ref().is_some_and(|case| case.events() <= events) {
            return Ok(());
        }
        let Some((failure, rest)) = pending.split_first() else {
            *checked_cases += 1;
            if let Some(observed) = (self.fails)(groups) {
                keep_smaller(smallest, Some(case(applied, self.slice, observed)));
            }
            return if *checked_cases > MAX_CASES { Err(TooManyCases) } else { Ok(()) };
        };
        let mut result = Ok(());
        let _ = self.grouping.for_each_case(groups, failure, &mut |after, failures| {
            let applied: Vec<AppliedFailure> = applied.iter().cloned().chain(failures).collect();
            result = self.run(&after, rest, &applied, checked_cases, smallest);
            if result.is_err() { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
        });
        result
    }
}

/// Relative rounding error that is tolerated in a load, which is a sum of quotients.
pub(crate) const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Capacity of a searcher, relative to a warm one.
pub(crate) fn capacity(condition: Condition, cold_capacity_share: f64) -> f64 {
    match condition {
        Condition::Up => 1.0,
        Condition::Cold => cold_capacity_share,
        Condition::Draining | Condition::Gone => 0.0,
    }
}

/// Load of each searcher if all ready searchers of the fleet as listed shared the work equally.
pub(crate) fn average_load(fleet: &Fleet, slice_weights: &[f64]) -> f64 {
    let ready = fleet.in_state(pewterwharf::interface::SearcherStatus::Ready).count_ones(..);
    (slice_weights.iter().sum::<f64>() / ready.max(1) as f64).max(f64::MIN_POSITIVE)
}

fn appended(pending: &[Failure], failure: Failure) -> Vec<Failure> {
    pending.iter().cloned().chain([failure]).collect()
}

fn case(failures: &[AppliedFailure], slice: Option<u32>, observed: String) -> Case {
    Case { failures: failures.to_vec(), slice, observed }
}

fn keep_smaller(smallest: &mut Option<Case>, other: Option<Case>) {
    if let Some(other) = other
        && smallest.as_ref().is_none_or(|case| other.events() < case.events())
    {
        *smallest = Some(other);
    }
}

/// Index range of the groups of each set.
fn group_ranges(groups: &[Group], sets: usize) -> Vec<Range<usize>> {
    let mut ranges = vec![0..0; sets];
    let mut start = 0;
    for of_set in groups.chunk_by(|a, b| a.set == b.set) {
        ranges[of_set[0].set as usize] = start..start + of_set.len();
        start += of_set.len();
    }
    ranges
}

/// The properties of a [`Group`] that matter in a check of one class. Sets are numbered in order of appearance.
#[derive(PartialEq, Eq, Hash)]
struct GroupShape {
    nth_set: u32,
    hall: u32,
    condition: Condition,
    maybe_stale: bool,
    count: u32,
}

fn shape(groups: &[Group]) -> Vec<GroupShape> {
    let mut nth_set = 0;
    let mut shape = Vec::with_capacity(groups.len());
    for (i, group) in groups.iter().enumerate() {
        nth_set += u32::from(i > 0 && groups[i - 1].set != group.set);
        shape.push(GroupShape {
            nth_set,
            hall: group.hall,
            condition: group.condition,
            maybe_stale: group.maybe_stale,
            count: group.count,
        });
    }
    shape
}

fn slice_claim_holds(claim: &SliceClaim, groups: &[Group]) -> bool {
    match claim {
        SliceClaim::All(claims) => claims.iter().all(|c| slice_claim_holds(c, groups)),
        SliceClaim::Some(claims) => claims.iter().any(|c| slice_claim_holds(c, groups)),
        SliceClaim::Not(claim) => !slice_claim_holds(claim, groups),
        SliceClaim::Reachable(minimum) => {
            let reachable = count_reachable(minimum.hall, groups);
            reachable.searchers >= minimum.searchers
                && reachable.halls >= minimum.halls
                && reachable.sets >= minimum.sets
        }
    }
}

/// Numbers of the reachable searchers, and of their halls and sets.
struct ReachableCounts {
    searchers: u32,
    halls: u32,
    sets: u32,
}

fn count_reachable(hall: Option<usize>, groups: &[Group]) -> ReachableCounts {
    let is_reachable = |g: &&Group| g.condition.accepts_work() && hall.is_none_or(|h| h == g.hall as usize);
    let mut searchers = 0;
    let mut halls = Vec::new();
    let mut sets = Vec::new();
    for group in groups.iter().filter(is_reachable) {
        searchers += group.count;
        if !halls.contains(&group.hall) {
            halls.push(group.hall);
        }
        if sets.last() != Some(&group.set) {
            sets.push(group.set);
        }
    }
    ReachableCounts { searchers, halls: halls.len() as u32, sets: sets.len() as u32 }
}

fn describe_reachability(claim: &SliceClaim, groups: &[Group], fleet: &Fleet) -> String {
    let hall = first_reachability(claim).hall;
    let reachable = count_reachable(hall, groups);
    let place = hall.map(|h| format!(" in {}", fleet.halls()[h])).unwrap_or_default();
    let listed: u32 = groups.iter().map(|g| g.count).sum();
    format!(
        "{} of {listed} searchers reachable{place}, {} and {}",
        reachable.searchers,
        pluralized(reachable.halls, "hall"),
        pluralized(reachable.sets, "set")
    )
}

fn pluralized(count: u32, noun: &str) -> String {
    format!("{count} {noun}{}", if count == 1 { "" } else { "s" })
}

/// The first minimum in a claim; it determines what the description of a failure states.
fn first_reachability(claim: &SliceClaim) -> Reachability {
    match claim {
        SliceClaim::Reachable(minimum) => minimum.clone(),
        SliceClaim::All(claims) | SliceClaim::Some(claims) => match claims.first() {
            Some(claim) => first_reachability(claim),
            None => Reachability { searchers: 1, halls: 1, sets: 1, hall: None },
        },
        SliceClaim::Not(claim) => first_reachability(claim),
    }
}
