//! Groups of interchangeable searchers, and the failures that are applied to them.
//!
//! A [`GroupedFleet`] is a list of groups. A failure of any `n` searchers becomes a choice of how many of each group fail,
//! so that interchangeable cases are checked once. All searchers are sorted by group once, and a group is a range of this
//! order, so it is split without copying its members.

use std::ops::ControlFlow;

use pewterwharf_fleet::{Condition, Fleet};

use crate::claim::{Failure, FailureTarget};

/// Searchers that failures and checks do not distinguish: same hall, set and condition, and the same `maybe_stale`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    pub set: u32,
    pub hall: u32,
    pub condition: Condition,
    /// The listed status may be outdated.
    pub maybe_stale: bool,
    /// Index of the first searcher in [`Grouping::order`].
    pub first: u32,
    /// Number of searchers.
    pub count: u32,
}

/// Groups of all searchers; the groups of a set are adjacent.
pub type GroupedFleet = Vec<Group>;

/// A failure with the searchers that it hits in one case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedFailure {
    pub condition: Condition,
    pub target: AppliedTarget,
}

/// The searchers that an [`AppliedFailure`] hits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppliedTarget {
    Hall(usize),
    Set(u32),
    Searchers(Vec<u32>),
}

impl AppliedFailure {
    /// Number of independent events: one for a hall or a set, one for each single searcher.
    pub fn events(&self) -> u32 {
        match &self.target {
            AppliedTarget::Hall(_) | AppliedTarget::Set(_) => 1,
            AppliedTarget::Searchers(searchers) => searchers.len() as u32,
        }
    }

    /// Description with the names of the searchers.
    pub fn describe(&self, fleet: &Fleet) -> String {
        let (singular, plural) = match self.condition {
            Condition::Gone => ("is lost", "are lost"),
            Condition::Draining => ("drains", "drain"),
            Condition::Cold => ("is back and cold", "are back and cold"),
            Condition::Up => ("is up", "are up"),
        };
        match &self.target {
            AppliedTarget::Hall(hall) => format!("hall {} {singular}", fleet.halls()[*hall]),
            AppliedTarget::Set(set) => format!("set {set} {singular}"),
            AppliedTarget::Searchers(searchers) => {
                let names: Vec<&str> =
                    searchers.iter().map(|s| fleet.searchers()[*s as usize].name.as_str()).collect();
                let verb = if searchers.len() == 1 { singular } else { plural };
                format!("{} {verb}", names.join(", "))
            }
        }
    }
}

/// Predicate: whether a failure hits a group.
type IsHit = Box<dyn Fn(&Group) -> bool>;

/// Called for each case of a failure.
type CaseVisitor<'a> = dyn FnMut(GroupedFleet, Vec<AppliedFailure>) -> ControlFlow<()> + 'a;
/// Called for each choice of searchers.
type ChoiceVisitor<'a> = dyn FnMut(GroupedFleet, Vec<u32>) -> ControlFlow<()> + 'a;

/// The searchers of a fleet in groups.
pub struct Grouping {
    /// All searchers, sorted by group.
    pub order: Vec<u32>,
    /// The groups of the fleet as listed.
    pub listed: GroupedFleet,
    /// Number of halls and of sets, including those without a searcher.
    hall_count: u32,
    set_count: u32,
}

impl Grouping {
    /// Groups the searchers of a list of age `list_age_ms`. The status of a searcher whose entry is `stale_after_ms` old or
    /// older may be outdated.
    pub fn new(fleet: &Fleet, list_age_ms: f64, stale_after_ms: f64) -> Self {
        let group_key = |index: &u32| {
            let searcher = &fleet.searchers()[*index as usize];
            let maybe_stale = searcher.age_ms + list_age_ms >= stale_after_ms;
            (searcher.set, searcher.hall as u32, Condition::listed(searcher.status), maybe_stale)
        };
        let mut order: Vec<u32> = (0..fleet.searchers().len() as u32).collect();
        order.sort_by_key(group_key);
        let mut listed: GroupedFleet = Vec::new();
        for (first, index) in order.iter().enumerate() {
            let (set, hall, condition, maybe_stale) = group_key(index);
            match listed.last_mut() {
                Some(group)
                    if (group.set, group.hall, group.condition, group.maybe_stale)
                        == (set, hall, condition, maybe_stale) =>
                {
                    group.count += 1;
                }
                _ => listed.push(Group { set, hall, condition, maybe_stale, first: first as u32, count: 1 }),
            }
        }
        Self { order, listed, hall_count: fleet.halls().len() as u32, set_count: fleet.sets() as u32 }
    }

    /// The first `count` members of a group.
    fn members(&self, group: &Group, count: u32) -> &[u32] {
        &self.order[group.first as usize..(group.first + count) as usize]
    }

    /// Applies a failure that names its target; `None` if it has more than one case.
    pub fn apply_named(&self, groups: &[Group], failure: &Failure) -> Option<(GroupedFleet, AppliedFailure)> {
        let condition = failure.condition;
        let (target, is_hit): (AppliedTarget, IsHit) = match failure.target {
            FailureTarget::Hall(Some(hall)) => {
                (AppliedTarget::Hall(hall), Box::new(move |g| g.hall as usize == hall))
            }
            FailureTarget::Set(Some(set)) => (AppliedTarget::Set(set), Box::new(move |g| g.set == set)),
            FailureTarget::Searcher(searcher) => {
                let mut after = Vec::with_capacity(groups.len() + 2);
                for group in groups {
                    match self.members(group, group.count).iter().position(|s| *s == searcher) {
                        Some(index) => worsen_member(group, index as u32, condition, &mut after),
                        None => after.push(*group),
                    }
                }
                let target = AppliedTarget::Searchers(vec![searcher]);
                return Some((after, AppliedFailure { condition, target }));
            }
            _ => return None,
        };
        let worsen = |group: &Group| Group {
            condition: if is_hit(group) { group.condition.worst(condition) } else { group.condition },
            ..*group
        };
        Some((groups.iter().map(worsen).collect(), AppliedFailure { condition, target }))
    }

    /// Calls `visit` with each case of a failure. Cases of `n` failed searchers precede those of `n + 1`, beginning with
    /// none.
    pub fn for_each_case(
        &self,
        groups: &[Group],
        failure: &Failure,
        visit: &mut CaseVisitor<'_>,
    ) -> ControlFlow<()> {
        let condition = failure.condition;
        match &failure.target {
            FailureTarget::Hall(None) => {
                let target = |hall| AppliedTarget::Hall(hall as usize);
                self.for_each_location(groups, self.hall_count, condition, |g| g.hall, target, visit)
            }
            FailureTarget::Set(None) => self.for_each_location(
                groups,
                self.set_count,
                condition,
                |g| g.set,
                AppliedTarget::Set,
                visit,
            ),
            FailureTarget::Searchers(max) => {
                for total in 0..=*max {
                    let mut any = false;
                    let mut chosen = Vec::new();
                    self.choose(groups, 0, total, condition, false, &mut chosen, &mut |after, searchers| {
                        any = true;
                        visit(after, applied(condition, searchers).into_iter().collect())
                    })?;
                    if !any {
                        break;
                    }
                }
                ControlFlow::Continue(())
            }
            FailureTarget::MaybeStale(max) => {
                for total in 0..=*max {
                    self.for_each_mixture(groups, total, visit)?;
                }
                ControlFlow::Continue(())
            }
            _ => match self.apply_named(groups, failure) {
                Some((after, applied)) => visit(after, vec![applied]),
                None => ControlFlow::Continue(()),
            },
        }
    }

    /// Calls `visit` with the failure of each of `count` halls or sets. Those without a searcher in `groups` are one case.
    fn for_each_location(
        &self,
        groups: &[Group],
        count: u32,
        condition: Condition,
        location: impl Fn(&Group) -> u32,
        target: impl Fn(u32) -> AppliedTarget,
        visit: &mut CaseVisitor<'_>,
    ) -> ControlFlow<()> {
        let mut occupied: Vec<u32> = groups.iter().map(&location).collect();
        occupied.sort_unstable();
        occupied.dedup();
        if let Some(empty) = (0..count).find(|l| occupied.binary_search(l).is_err()) {
            visit(groups.to_vec(), vec![AppliedFailure { condition, target: target(empty) }])?;
        } else if occupied.is_empty() {
            visit(groups.to_vec(), Vec::new())?;
        }
        for failed in occupied {
            let worsen = |group: &Group| Group {
                condition: if location(group) == failed {
                    group.condition.worst(condition)
                } else {
                    group.condition
                },
                ..*group
            };
            let after = groups.iter().map(worsen).collect();
            visit(after, vec![AppliedFailure { condition, target: target(failed) }])?;
        }
        ControlFlow::Continue(())
    }

    /// Calls `visit` with each choice of exactly `total` searchers from the groups at `index` and after. `chosen` holds
    /// the numbers chosen from the groups before.
    #[allow(clippy::too_many_arguments)] // state of the recursion
    fn choose(
        &self,
        groups: &[Group],
        index: usize,
        total: u32,
        condition: Condition,
        only_maybe_stale: bool,
        chosen: &mut Vec<(Group, u32)>,
        visit: &mut ChoiceVisitor<'_>,
    ) -> ControlFlow<()> {
        if total == 0 {
            let mut after = Vec::with_capacity(groups.len() + chosen.len());
            let mut next_chosen = chosen.iter().peekable();
            for group in groups {
                match next_chosen.next_if(|(g, _)| g == group) {
                    Some((_, count)) => worsen_first(group, *count, condition, &mut after),
                    None => after.push(*group),
                }
            }
            let searchers =
                chosen.iter().flat_map(|(group, count)| self.members(group, *count)).copied().collect();
            return visit(after, searchers);
        }
        let Some(group) = groups.get(index) else { return ControlFlow::Continue(()) };
        let worsens = group.condition.worst(condition) != group.condition;
        let eligible = worsens && (group.maybe_stale || !only_maybe_stale);
        let max = if eligible { group.count.min(total) } else { 0 };
        for count in (0..=max).rev() {
            if count > 0 {
                chosen.push((*group, count));
            }
            let flow =
                self.choose(groups, index + 1, total - count, condition, only_maybe_stale, chosen, visit);
            if count > 0 {
                chosen.pop();
            }
            flow?;
        }
        ControlFlow::Continue(())
    }

    /// Calls `visit` with each change of exactly `total` searchers whose listed status may be outdated, in every mixture of
    /// gone, draining and cold. A mixture can be the worst case for the load: with two holders, the load is highest if one is
    /// gone and the other cold, as a slice without a holder adds no load.
    fn for_each_mixture(&self, groups: &[Group], total: u32, visit: &mut CaseVisitor<'_>) -> ControlFlow<()> {
        for gone in (0..=total).rev() {
            for draining in (0..=total - gone).rev() {
                let cold = total - gone - draining;
                self.choose_stale(groups, gone, Condition::Gone, &mut |after_gone, gone_searchers| {
                    // Each searcher changes at most once.
                    let after_gone = without_staleness(&after_gone, Condition::Gone);
                    self.choose_stale(
                        &after_gone,
                        draining,
                        Condition::Draining,
                        &mut |after_draining, draining_searchers| {
                            let after_draining = without_staleness(&after_draining, Condition::Draining);
                            self.choose_stale(
                                &after_draining,
                                cold,
                                Condition::Cold,
                                &mut |after, cold_searchers| {
                                    let failures = [
                                        applied(Condition::Gone, gone_searchers.clone()),
                                        applied(Condition::Draining, draining_searchers.clone()),
                                        applied(Condition::Cold, cold_searchers),
                                    ];
                                    visit(after, failures.into_iter().flatten().collect())
                                },
                            )
                        },
                    )
                })?;
            }
        }
        ControlFlow::Continue(())
    }

    /// Calls `visit` with each choice of exactly `total` searchers whose listed status may be outdated.
    fn choose_stale(
        &self,
        groups: &[Group],
        total: u32,
        condition: Condition,
        visit: &mut ChoiceVisitor<'_>,
    ) -> ControlFlow<()> {
        self.choose(groups, 0, total, condition, true, &mut Vec::new(), visit)
    }
}

/// The same groups, where those in this condition are no longer `maybe_stale`.
fn without_staleness(groups: &[Group], condition: Condition) -> GroupedFleet {
    let certain =
        |group: &Group| Group { maybe_stale: group.maybe_stale && group.condition != condition, ..*group };
    groups.iter().map(certain).collect()
}

/// The failure of these searchers; `None` if there are none.
fn applied(condition: Condition, searchers: Vec<u32>) -> Option<AppliedFailure> {
    (!searchers.is_empty())
        .then_some(AppliedFailure { condition, target: AppliedTarget::Searchers(searchers) })
}

/// Splits a group: its first `count` members change to `condition`.
fn worsen_first(group: &Group, count: u32, condition: Condition, out: &mut GroupedFleet) {
    out.push(Group { condition: group.condition.worst(condition), count, ..*group });
    if count < group.count {
        out.push(Group { first: group.first + count, count: group.count - count, ..*group });
    }
}

/// Splits a group: its member at `index` changes to `condition`.
fn worsen_member(group: &Group, index: u32, condition: Condition, out: &mut GroupedFleet) {
    if index > 0 {
        out.push(Group { count: index, ..*group });
    }
    let rest = Group { first: group.first + index, count: group.count - index, ..*group };
    worsen_first(&rest, 1, condition, out);
}
