//! Searchers that no question can tell apart, counted instead of named, and what may befall them.
//!
//! A [`GroupedFleet`] is a list of groups; a failure of any `n` searchers becomes a choice of how many of each group, so
//! that interchangeable cases are looked at once. Groups are ranges of one order of all searchers: a group splits
//! without copying its members.

use std::ops::ControlFlow;

use pewterwharf_fleet::{Condition, Fleet};

use crate::claim::{Failure, FailureTarget};

/// Searchers of one hall, set, condition and certainty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    pub set: u32,
    pub hall: u32,
    pub condition: Condition,
    /// The list's word of them may be wrong.
    pub unsure: bool,
    /// Where they stand in the order, and how many they are.
    pub from: u32,
    pub count: u32,
}

/// Groups, those of one set side by side.
pub type GroupedFleet = Vec<Group>;

/// What has befallen whom, in one case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedFailure {
    pub what: Condition,
    pub whom: AppliedTarget,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppliedTarget {
    Hall(usize),
    Set(u32),
    Searchers(Vec<u32>),
}

impl AppliedFailure {
    /// DispatchEnd much it takes: a hall or a set at once is one thing, searchers are one each.
    pub fn units(&self) -> u32 {
        match &self.whom {
            AppliedTarget::Hall(_) | AppliedTarget::Set(_) => 1,
            AppliedTarget::Searchers(searchers) => searchers.len() as u32,
        }
    }

    /// For people: what happened to whom, by name.
    pub fn tell(&self, fleet: &Fleet) -> String {
        let (verb, verbs) = match self.what {
            Condition::Gone => ("is lost", "are lost"),
            Condition::Draining => ("drains", "drain"),
            Condition::Cold => ("is back and cold", "are back and cold"),
            Condition::Up => ("is up", "are up"),
        };
        match &self.whom {
            AppliedTarget::Hall(hall) => format!("hall {} {verb}", fleet.halls()[*hall]),
            AppliedTarget::Set(set) => format!("set {set} {verb}"),
            AppliedTarget::Searchers(who) => {
                let names: Vec<&str> =
                    who.iter().map(|s| fleet.searchers()[*s as usize].name.as_str()).collect();
                let verb = if who.len() == 1 { verb } else { verbs };
                format!("{} {verb}", names.join(", "))
            }
        }
    }
}

/// Whether something befalls a group.
type Hit = Box<dyn Fn(&Group) -> bool>;

/// All searchers by kind, and the scene of the fleet as listed.
pub struct Grouping {
    pub order: Vec<u32>,
    pub listed: GroupedFleet,
    /// Halls and sets that there are, also those in which nobody stands.
    halls: u32,
    sets: u32,
}

impl Grouping {
    /// Searchers whose word is older than `sure_ms` less `list_ms` are unsure.
    pub fn of(fleet: &Fleet, list_ms: f64, sure_ms: f64) -> Self {
        let kind = |at: &u32| {
            let s = &fleet.searchers()[*at as usize];
            (s.set, s.hall as u32, Condition::listed(s.status), s.age_ms + list_ms >= sure_ms)
        };
        let mut order: Vec<u32> = (0..fleet.searchers().len() as u32).collect();
        order.sort_by_key(kind);
        let mut scene: GroupedFleet = Vec::new();
        for (from, at) in order.iter().enumerate() {
            let (set, hall, condition, unsure) = kind(at);
            match scene.last_mut() {
                Some(g) if (g.set, g.hall, g.condition, g.unsure) == (set, hall, condition, unsure) => {
                    g.count += 1
                }
                _ => scene.push(Group { set, hall, condition, unsure, from: from as u32, count: 1 }),
            }
        }
        Self { order, listed: scene, halls: fleet.halls().len() as u32, sets: fleet.sets() as u32 }
    }

    fn members(&self, group: &Group, count: u32) -> &[u32] {
        &self.order[group.from as usize..(group.from + count) as usize]
    }

    /// Where something is certain to befall certain searchers, the one scene that follows.
    pub fn certain(&self, scene: &[Group], failure: &Failure) -> Option<(GroupedFleet, AppliedFailure)> {
        let what = failure.what;
        let (whom, hit): (AppliedTarget, Hit) = match failure.whom {
            FailureTarget::Hall(Some(hall)) => {
                (AppliedTarget::Hall(hall), Box::new(move |g| g.hall as usize == hall))
            }
            FailureTarget::Set(Some(set)) => (AppliedTarget::Set(set), Box::new(move |g| g.set == set)),
            FailureTarget::Searcher(searcher) => {
                let mut after = Vec::with_capacity(scene.len() + 2);
                for group in scene {
                    match self.members(group, group.count).iter().position(|s| *s == searcher) {
                        Some(at) => single(group, at as u32, what, &mut after),
                        None => after.push(*group),
                    }
                }
                return Some((
                    after,
                    AppliedFailure { what, whom: AppliedTarget::Searchers(vec![searcher]) },
                ));
            }
            _ => return None,
        };
        let befall =
            |g: &Group| Group { condition: if hit(g) { g.condition.worst(what) } else { g.condition }, ..*g };
        Some((scene.iter().map(befall).collect(), AppliedFailure { what, whom }))
    }

    /// Calls `each` with every case of something uncertain, the one in which nothing happens first, cases of `n`
    /// searchers before those of `n + 1`.
    pub fn cases(
        &self,
        scene: &[Group],
        failure: &Failure,
        each: &mut dyn FnMut(GroupedFleet, Vec<AppliedFailure>) -> ControlFlow<()>,
    ) -> ControlFlow<()> {
        let what = failure.what;
        match &failure.whom {
            FailureTarget::Hall(None) => {
                self.places(scene, self.halls, what, |g| g.hall, |h| AppliedTarget::Hall(h as usize), each)
            }
            FailureTarget::Set(None) => {
                self.places(scene, self.sets, what, |g| g.set, AppliedTarget::Set, each)
            }
            FailureTarget::Searchers(most) => {
                for total in 0..=*most {
                    let mut any = false;
                    self.choose(scene, 0, total, what, false, &mut Vec::new(), &mut |after, who| {
                        any = true;
                        each(after, befell(what, who).into_iter().collect())
                    })?;
                    if !any {
                        break;
                    }
                }
                ControlFlow::Continue(())
            }
            FailureTarget::MaybeStale(most) => {
                for total in 0..=*most {
                    self.unsure(scene, total, each)?;
                }
                ControlFlow::Continue(())
            }
            _ => match self.certain(scene, failure) {
                Some((after, befell)) => each(after, vec![befell]),
                None => ControlFlow::Continue(()),
            },
        }
    }

    /// One of `count` places at a time; those that nobody here stands in are one case.
    fn places(
        &self,
        scene: &[Group],
        count: u32,
        what: Condition,
        place: impl Fn(&Group) -> u32,
        whom: impl Fn(u32) -> AppliedTarget,
        each: &mut dyn FnMut(GroupedFleet, Vec<AppliedFailure>) -> ControlFlow<()>,
    ) -> ControlFlow<()> {
        let mut here: Vec<u32> = scene.iter().map(&place).collect();
        here.sort_unstable();
        here.dedup();
        if let Some(elsewhere) = (0..count).find(|p| here.binary_search(p).is_err()) {
            each(scene.to_vec(), vec![AppliedFailure { what, whom: whom(elsewhere) }])?;
        } else if here.is_empty() {
            each(scene.to_vec(), Vec::new())?;
        }
        for at in here {
            let befall = |g: &Group| Group {
                condition: if place(g) == at { g.condition.worst(what) } else { g.condition },
                ..*g
            };
            each(scene.iter().map(befall).collect(), vec![AppliedFailure { what, whom: whom(at) }])?;
        }
        ControlFlow::Continue(())
    }

    /// Exactly `total` searchers, counted by group from `at` on.
    #[allow(clippy::too_many_arguments)] // a recursion's state
    fn choose(
        &self,
        scene: &[Group],
        at: usize,
        total: u32,
        what: Condition,
        unsure: bool,
        who: &mut Vec<(Group, u32)>,
        each: &mut dyn FnMut(GroupedFleet, Vec<u32>) -> ControlFlow<()>,
    ) -> ControlFlow<()> {
        if total == 0 {
            let mut after = Vec::with_capacity(scene.len() + who.len());
            let mut chosen = who.iter().peekable();
            for group in scene {
                match chosen.next_if(|(g, _)| g == group) {
                    Some((_, count)) => split(group, *count, what, &mut after),
                    None => after.push(*group),
                }
            }
            let names = who.iter().flat_map(|(g, count)| self.members(g, *count)).copied().collect();
            return each(after, names);
        }
        let Some(group) = scene.get(at) else { return ControlFlow::Continue(()) };
        let able = group.condition.worst(what) != group.condition && (group.unsure || !unsure);
        let most = if able { group.count.min(total) } else { 0 };
        for count in (0..=most).rev() {
            if count > 0 {
                who.push((*group, count));
            }
            let flow = self.choose(scene, at + 1, total - count, what, unsure, who, each);
            if count > 0 {
                who.pop();
            }
            flow?;
        }
        ControlFlow::Continue(())
    }

    /// Exactly `total` unsure searchers, in every mixture: some gone, some draining, some back and cold. For the load a
    /// mixture is the worst: of two holders one gone and one cold bears more than two cold, and two gone bear nothing.
    fn unsure(
        &self,
        scene: &[Group],
        total: u32,
        each: &mut dyn FnMut(GroupedFleet, Vec<AppliedFailure>) -> ControlFlow<()>,
    ) -> ControlFlow<()> {
        for gone in (0..=total).rev() {
            for draining in (0..=total - gone).rev() {
                let cold = total - gone - draining;
                self.choose(scene, 0, gone, Condition::Gone, true, &mut Vec::new(), &mut |scene, lost| {
                    // Who has changed has changed; nobody does so twice here.
                    let scene = settled(&scene, Condition::Gone);
                    self.choose(
                        &scene,
                        0,
                        draining,
                        Condition::Draining,
                        true,
                        &mut Vec::new(),
                        &mut |scene, drain| {
                            let scene = settled(&scene, Condition::Draining);
                            self.choose(
                                &scene,
                                0,
                                cold,
                                Condition::Cold,
                                true,
                                &mut Vec::new(),
                                &mut |after, back| {
                                    let befallen = [
                                        befell(Condition::Gone, lost.clone()),
                                        befell(Condition::Draining, drain.clone()),
                                        befell(Condition::Cold, back),
                                    ];
                                    each(after, befallen.into_iter().flatten().collect())
                                },
                            )
                        },
                    )
                })?;
            }
        }
        ControlFlow::Continue(())
    }
}

/// Those in this condition are sure of it.
fn settled(scene: &[Group], condition: Condition) -> GroupedFleet {
    scene.iter().map(|g| Group { unsure: g.unsure && g.condition != condition, ..*g }).collect()
}

fn befell(what: Condition, who: Vec<u32>) -> Option<AppliedFailure> {
    (!who.is_empty()).then_some(AppliedFailure { what, whom: AppliedTarget::Searchers(who) })
}

/// The first `count` of a group become `what`.
fn split(group: &Group, count: u32, what: Condition, into: &mut GroupedFleet) {
    into.push(Group { condition: group.condition.worst(what), count, ..*group });
    if count < group.count {
        into.push(Group { from: group.from + count, count: group.count - count, ..*group });
    }
}

/// The one at `at` becomes `what`.
fn single(group: &Group, at: u32, what: Condition, into: &mut GroupedFleet) {
    if at > 0 {
        into.push(Group { count: at, ..*group });
    }
    split(&Group { from: group.from + at, count: group.count - at, ..*group }, 1, what, into);
}
