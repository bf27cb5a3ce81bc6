//! Structural verdicts: what follows from who holds what, under every case of the failures named.
//!
//! The options weighed stand in `docs/expectations.md`. Three things make every case affordable, all exact:
//!
//! 1. *For all slices* and *after any failure* are both universal and change places: a slice is asked alone, under the
//!    failures of its own holders only.
//! 2. Slices held by the same sets are one class, and classes of the same shape (halls, conditions, counts) are
//!    judged once.
//! 3. Searchers of one kind are counted, not named ([`crate::groups`]).
//!
//! Under `some` and `not` the first does not hold; there the cases of the whole fleet are gone through, by kind, up
//! to a bound, and past it the verdict is *undecided*.

use std::collections::HashSet;
use std::ops::ControlFlow;

use pewterwharf_fleet::{Condition, Fleet};

use crate::claim::{Claim, Failure, FailureTarget, Pace, Reachability, SliceClaim};
use crate::groups::{AppliedFailure, Group, GroupedFleet, Grouping};

/// Cases that are gone through for one expectation, at most: some seconds.
pub const MOST_CASES: u64 = 20_000_000;

/// A case in which a claim does not hold, the smallest there is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Case {
    pub failures: Vec<AppliedFailure>,
    pub slice: Option<u32>,
    /// What was found instead.
    pub observed: String,
}

impl Case {
    fn units(&self) -> u32 {
        self.failures.iter().map(AppliedFailure::units).sum()
    }
}

/// Why there is no verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TooMany;

type Found = Result<Option<Case>, TooMany>;

/// Judges the claims of one fleet at one age of its list.
pub struct StructuralChecker<'a> {
    fleet: &'a Fleet,
    grouping: Grouping,
    /// Of each class, the weight of its slices.
    weights: Vec<f64>,
    /// Of each set, the classes that it holds.
    classes: Vec<Vec<usize>>,
    average: f64,
    changes: u32,
    cases: u64,
}

impl<'a> StructuralChecker<'a> {
    /// The list is `list_ms` old, and grows old at this pace.
    pub fn new(fleet: &'a Fleet, pace: Pace, list_ms: f64) -> Self {
        let holding = fleet.placement();
        let by_slice = fleet.weights();
        let weigh = |class| holding.slices_of_class(class).iter().map(|s| by_slice[*s as usize]).sum();
        let mut classes = vec![Vec::new(); fleet.sets()];
        for class in 0..holding.classes() {
            holding.sets_of_class(class).iter().for_each(|set| classes[*set as usize].push(class));
        }
        let oldest = fleet.searchers().iter().map(|s| s.age_ms).fold(0.0, f64::max);
        Self {
            grouping: Grouping::of(fleet, list_ms, pace.every_ms),
            weights: (0..holding.classes()).map(weigh).collect(),
            classes,
            average: average(fleet, &by_slice),
            changes: pace.within(list_ms + oldest),
            cases: 0,
            fleet,
        }
    }

    /// Changes that the list may not tell at this age.
    pub fn changes(&self) -> u32 {
        self.changes
    }

    /// Cases looked at so far.
    pub fn cases(&self) -> u64 {
        self.cases
    }

    /// The smallest case in which the claim does not hold; claims about behaviour count as holding here.
    ///
    /// # Errors
    /// If over [`MOST_CASES`] would have to be looked at.
    pub fn fails(&mut self, claim: &Claim) -> Found {
        let scene = self.grouping.listed.clone();
        self.find(claim, &scene, &[], &[])
    }

    fn find(
        &mut self,
        claim: &Claim,
        scene: &[Group],
        sure: &[AppliedFailure],
        pending: &[Failure],
    ) -> Found {
        match claim {
            Claim::All(claims) => {
                let mut least = None;
                for claim in claims {
                    lesser(&mut least, self.find(claim, scene, sure, pending)?);
                }
                Ok(least)
            }
            Claim::After(failure, claim) => match self.grouping.certain(scene, failure) {
                Some((after, befell)) => {
                    let sure: Vec<AppliedFailure> = sure.iter().cloned().chain([befell]).collect();
                    self.find(claim, &after, &sure, pending)
                }
                None => self.find(claim, scene, sure, &with(pending, failure.clone())),
            },
            Claim::WhileListYounger { changes, claim, .. } => {
                let most = changes.unwrap_or(u32::MAX).min(self.changes);
                let unsure = Failure { what: Condition::Gone, whom: FailureTarget::MaybeStale(most) };
                self.find(claim, scene, sure, &with(pending, unsure))
            }
            Claim::ForAllSlices { of, only, what } => {
                self.slices(*of, only.as_ref(), what, scene, sure, pending)
            }
            Claim::LoadAtMost(most) => self.load(*most, scene, sure, pending),
            Claim::SlicesAtMost(most) => Ok(self.room(*most)),
            Claim::Behaviour(_) => Ok(None),
            Claim::Some(_) | Claim::Not(_) => match pending.split_first() {
                Some((failure, rest)) => self.expand(claim, scene, sure, failure, rest),
                None => self.turned(claim, scene, sure),
            },
        }
    }

    fn turned(&mut self, claim: &Claim, scene: &[Group], sure: &[AppliedFailure]) -> Found {
        match claim {
            Claim::Not(inner) => Ok(match self.find(inner, scene, sure, &[])? {
                Some(_) => None,
                None => Some(case(sure, None, "what stands under not holds".to_owned())),
            }),
            Claim::Some(claims) => {
                let mut found = Vec::new();
                for claim in claims {
                    match self.find(claim, scene, sure, &[])? {
                        Some(case) => found.push(case.observed),
                        None => return Ok(None),
                    }
                }
                Ok(Some(case(sure, None, format!("none holds: {}", found.join("; ")))))
            }
            _ => Ok(None),
        }
    }

    /// Every case of a failure for the whole fleet, where slices can't be asked alone.
    fn expand(
        &mut self,
        claim: &Claim,
        scene: &[Group],
        sure: &[AppliedFailure],
        failure: &Failure,
        rest: &[Failure],
    ) -> Found {
        let mut scenes = Vec::new();
        let left = MOST_CASES.saturating_sub(self.cases) / scene.len().max(1) as u64;
        let _ = self.grouping.cases(scene, failure, &mut |after, befell| {
            scenes.push((after, befell));
            if scenes.len() as u64 > left { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
        });
        if scenes.len() as u64 > left {
            return Err(TooMany);
        }
        let mut least = None;
        for (after, befell) in scenes {
            self.cases += after.len() as u64;
            let sure: Vec<AppliedFailure> = sure.iter().cloned().chain(befell).collect();
            lesser(&mut least, self.find(claim, &after, &sure, rest)?);
        }
        Ok(least)
    }

    fn slices(
        &mut self,
        of: Option<usize>,
        only: Option<&std::ops::RangeInclusive<u32>>,
        what: &SliceClaim,
        scene: &[Group],
        sure: &[AppliedFailure],
        pending: &[Failure],
    ) -> Found {
        let fleet = self.fleet;
        let holding = fleet.placement();
        let sets = ranges(scene, holding.sets());
        let counts = |slice: &u32| {
            of.is_none_or(|customer| fleet.customer_reads(customer, *slice))
                && only.is_none_or(|r| r.contains(slice))
        };
        let (mut least, mut seen) = (None, HashSet::new());
        for class in 0..holding.classes() {
            let Some(slice) = holding.slices_of_class(class).iter().copied().find(counts) else { continue };
            let held = holding.sets_of_class(class);
            let local: GroupedFleet =
                held.iter().flat_map(|set| &scene[sets[*set as usize].clone()]).copied().collect();
            if seen.insert(shape(&local)) {
                let fails =
                    |groups: &[Group]| (!local_holds(what, groups)).then(|| reached(what, groups, fleet));
                self.least(&local, pending, sure, Some(slice), &fails, &mut least)?;
            }
        }
        Ok(least)
    }

    fn load(&mut self, most: f64, scene: &[Group], sure: &[AppliedFailure], pending: &[Failure]) -> Found {
        let fleet = self.fleet;
        let holding = fleet.placement();
        let sets = ranges(scene, holding.sets());
        let cold = fleet.config().safety_limits.cold_capacity_share;
        let (weights, classes, average) = (self.weights.clone(), self.classes.clone(), self.average);
        let mut least = None;
        for (set, held) in classes.iter().enumerate() {
            let mut near: Vec<u32> = held.iter().flat_map(|c| holding.sets_of_class(*c)).copied().collect();
            near.sort_unstable();
            near.dedup();
            let local: GroupedFleet =
                near.iter().flat_map(|set| &scene[sets[*set as usize].clone()]).copied().collect();
            let fails = |groups: &[Group]| {
                if !groups.iter().any(|g| g.set as usize == set && g.condition.accepts_work()) {
                    return None;
                }
                let able = |class: &usize| {
                    let of = groups.iter().filter(|g| holding.sets_of_class(*class).contains(&g.set));
                    of.map(|g| able(g.condition, cold) * f64::from(g.count)).sum::<f64>()
                };
                let load: f64 = held.iter().map(|class| weights[*class] / able(class)).sum::<f64>() / average;
                (load > most * (1.0 + HAIR))
                    .then(|| format!("{load:.2} times the average at the searchers of set {set}"))
            };
            self.least(&local, pending, sure, None, &fails, &mut least)?;
        }
        Ok(least)
    }

    fn room(&self, most: u32) -> Option<Case> {
        let holding = self.fleet.placement();
        let held =
            |set: usize| self.classes[set].iter().map(|c| holding.slices_of_class(*c).len()).sum::<usize>();
        let over = (0..self.classes.len())
            .find(|s| held(*s) > most as usize && !self.fleet.members(*s as u32).is_empty())?;
        Some(case(&[], None, format!("{} slices at the searchers of set {over}", held(over))))
    }

    /// Goes through the cases of all that is pending, and keeps the smallest that fails.
    fn least(
        &mut self,
        scene: &[Group],
        pending: &[Failure],
        befell: &[AppliedFailure],
        slice: Option<u32>,
        fails: &dyn Fn(&[Group]) -> Option<String>,
        least: &mut Option<Case>,
    ) -> Result<(), TooMany> {
        let walk = Walk { grouping: &self.grouping, slice, fails };
        walk.go(scene, pending, befell, &mut self.cases, least)
    }
}

/// One question under all cases of what is pending.
struct Walk<'a> {
    grouping: &'a Grouping,
    slice: Option<u32>,
    fails: &'a dyn Fn(&[Group]) -> Option<String>,
}

impl Walk<'_> {
    fn go(
        &self,
        scene: &[Group],
        pending: &[Failure],
        befell: &[AppliedFailure],
        cases: &mut u64,
        least: &mut Option<Case>,
    ) -> Result<(), TooMany> {
        let units: u32 = befell.iter().map(AppliedFailure::units).sum();
        if least.as_ref().is_some_and(|l| l.units() <= units) {
            return Ok(());
        }
        let Some((failure, rest)) = pending.split_first() else {
            *cases += 1;
            if let Some(found) = (self.fails)(scene) {
                lesser(least, Some(case(befell, self.slice, found)));
            }
            return if *cases > MOST_CASES { Err(TooMany) } else { Ok(()) };
        };
        let mut done = Ok(());
        let _ = self.grouping.cases(scene, failure, &mut |after, one| {
            let befell: Vec<AppliedFailure> = befell.iter().cloned().chain(one).collect();
            done = self.go(&after, rest, &befell, cases, least);
            if done.is_err() { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
        });
        done
    }
}

/// Loads are sums of quotients; they may be off by this share.
const HAIR: f64 = 1e-9;

/// What a searcher can do, as a share of a warm one.
pub(crate) fn able(condition: Condition, cold_capacity_share: f64) -> f64 {
    match condition {
        Condition::Up => 1.0,
        Condition::Cold => cold_capacity_share,
        Condition::Draining | Condition::Gone => 0.0,
    }
}

/// The load of a searcher if all of the fleet as listed bore the same.
pub(crate) fn average(fleet: &Fleet, weights: &[f64]) -> f64 {
    let ready = fleet.in_state(pewterwharf::interface::SearcherStatus::Ready).count_ones(..);
    (weights.iter().sum::<f64>() / ready.max(1) as f64).max(f64::MIN_POSITIVE)
}

fn with(pending: &[Failure], more: Failure) -> Vec<Failure> {
    pending.iter().cloned().chain([more]).collect()
}

fn case(befell: &[AppliedFailure], slice: Option<u32>, found: String) -> Case {
    Case { failures: befell.to_vec(), slice, observed: found }
}

fn lesser(least: &mut Option<Case>, other: Option<Case>) {
    if let Some(other) = other
        && least.as_ref().is_none_or(|l| other.units() < l.units())
    {
        *least = Some(other);
    }
}

/// Where the groups of each set stand.
fn ranges(scene: &[Group], sets: usize) -> Vec<std::ops::Range<usize>> {
    let mut ranges = vec![0..0; sets];
    let mut from = 0;
    for groups in scene.chunk_by(|a, b| a.set == b.set) {
        ranges[groups[0].set as usize] = from..from + groups.len();
        from += groups.len();
    }
    ranges
}

/// What a question about one class can tell of it: sets by their order, not their number.
fn shape(scene: &[Group]) -> Vec<(u32, u32, Condition, bool, u32)> {
    let mut nth = 0;
    let mut shape = Vec::with_capacity(scene.len());
    for (i, group) in scene.iter().enumerate() {
        nth += u32::from(i > 0 && scene[i - 1].set != group.set);
        shape.push((nth, group.hall, group.condition, group.unsure, group.count));
    }
    shape
}

fn local_holds(local: &SliceClaim, groups: &[Group]) -> bool {
    match local {
        SliceClaim::All(locals) => locals.iter().all(|l| local_holds(l, groups)),
        SliceClaim::Some(locals) => locals.iter().any(|l| local_holds(l, groups)),
        SliceClaim::Not(local) => !local_holds(local, groups),
        SliceClaim::Reachable(reach) => {
            let (searchers, halls, sets) = count(reach, groups);
            searchers >= reach.searchers && halls >= reach.halls && sets >= reach.sets
        }
    }
}

/// Searchers, halls and sets that are reached.
fn count(reach: &Reachability, groups: &[Group]) -> (u32, u32, u32) {
    let counts = |g: &&Group| g.condition.accepts_work() && reach.hall.is_none_or(|h| h == g.hall as usize);
    let (mut searchers, mut halls, mut sets) = (0, Vec::new(), Vec::new());
    for group in groups.iter().filter(counts) {
        searchers += group.count;
        if !halls.contains(&group.hall) {
            halls.push(group.hall);
        }
        if sets.last() != Some(&group.set) {
            sets.push(group.set);
        }
    }
    (searchers, halls.len() as u32, sets.len() as u32)
}

fn reached(local: &SliceClaim, groups: &[Group], fleet: &Fleet) -> String {
    let reach = first(local);
    let (searchers, halls, sets) = count(&reach, groups);
    let place = reach.hall.map(|h| format!(" in {}", fleet.halls()[h])).unwrap_or_default();
    let listed: u32 = groups.iter().map(|g| g.count).sum();
    format!(
        "{searchers} of {listed} searchers reachable{place}, {} and {}",
        many(halls, "hall"),
        many(sets, "set")
    )
}

fn many(count: u32, what: &str) -> String {
    format!("{count} {what}{}", if count == 1 { "" } else { "s" })
}

fn first(local: &SliceClaim) -> Reachability {
    match local {
        SliceClaim::Reachable(reach) => reach.clone(),
        SliceClaim::All(locals) | SliceClaim::Some(locals) => match locals.first() {
            Some(local) => first(local),
            None => Reachability { searchers: 1, halls: 1, sets: 1, hall: None },
        },
        SliceClaim::Not(local) => first(local),
    }
}
