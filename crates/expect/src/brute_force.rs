//! The plain evaluator: every case of every failure, every slice, every searcher, with nothing clever. It is what
//! the structural verdicts are compared with in tests, and measured against.

use pewterwharf_fleet::{Condition, Conditions, Fleet};

use crate::claim::{Claim, Failure, FailureTarget, Pace, SliceClaim};
use crate::structural::{able, average};

/// Whether a claim holds when the list is `list_ms` old; claims about behaviour count as holding.
pub fn holds(fleet: &Fleet, claim: &Claim, pace: Pace, list_ms: f64) -> bool {
    let oldest = fleet.searchers().iter().map(|s| s.age_ms).fold(0.0, f64::max);
    let plain =
        Plain { fleet, weights: fleet.weights(), pace, list_ms, changes: pace.within(list_ms + oldest) };
    plain.holds(claim, &mut Conditions::listed(fleet))
}

struct Plain<'a> {
    fleet: &'a Fleet,
    weights: Vec<f64>,
    pace: Pace,
    list_ms: f64,
    changes: u32,
}

impl Plain<'_> {
    fn holds(&self, claim: &Claim, standing: &mut Conditions) -> bool {
        match claim {
            Claim::All(claims) => claims.iter().all(|c| self.holds(c, standing)),
            Claim::Some(claims) => claims.iter().any(|c| self.holds(c, standing)),
            Claim::Not(claim) => !self.holds(claim, standing),
            Claim::ForAllSlices { of, only, what } => (0..self.fleet.slices())
                .filter(|s| {
                    of.is_none_or(|c| self.fleet.customer_reads(c, *s))
                        && only.as_ref().is_none_or(|r| r.contains(s))
                })
                .all(|slice| self.local(what, slice, standing)),
            Claim::After(failure, claim) => self.cases(failure, claim, standing),
            Claim::WhileListYounger { changes, claim, .. } => {
                let most = changes.unwrap_or(u32::MAX).min(self.changes);
                let unsure: Vec<u32> = (0..self.fleet.searchers().len() as u32)
                    .filter(|s| {
                        self.fleet.searchers()[*s as usize].age_ms + self.list_ms >= self.pace.every_ms
                    })
                    .collect();
                self.mixtures(&unsure, most, claim, standing)
            }
            Claim::LoadAtMost(most) => self.load(*most, standing),
            Claim::SlicesAtMost(most) => (0..self.fleet.searchers().len() as u32).all(|searcher| {
                (0..self.fleet.slices()).filter(|s| self.fleet.holders(*s).any(|h| h == searcher)).count()
                    <= *most as usize
            }),
            Claim::Behaviour(_) => true,
        }
    }

    fn cases(&self, failure: &Failure, claim: &Claim, standing: &mut Conditions) -> bool {
        let all = || 0..self.fleet.searchers().len() as u32;
        let of = |hit: &dyn Fn(usize) -> bool| all().filter(|s| hit(*s as usize)).collect::<Vec<u32>>();
        let searchers = self.fleet.searchers();
        let whole: Vec<Vec<u32>> = match &failure.whom {
            FailureTarget::Hall(Some(hall)) => vec![of(&|s| searchers[s].hall == *hall)],
            FailureTarget::Hall(None) => {
                let halls = (0..self.fleet.halls().len()).map(|h| of(&|s| searchers[s].hall == h));
                halls.collect()
            }
            FailureTarget::Set(Some(set)) => vec![of(&|s| searchers[s].set == *set)],
            FailureTarget::Set(None) => {
                (0..self.fleet.sets() as u32).map(|set| of(&|s| searchers[s].set == set)).collect()
            }
            FailureTarget::Searcher(searcher) => vec![vec![*searcher]],
            FailureTarget::Searchers(most) | FailureTarget::MaybeStale(most) => {
                let able: Vec<u32> =
                    all().filter(|s| standing.get(*s).worst(failure.what) != standing.get(*s)).collect();
                return self.subsets(&able, *most, failure.what, claim, standing);
            }
        };
        whole.iter().all(|hit| self.under(hit, failure.what, claim, standing))
            && (!whole.is_empty() || self.holds(claim, standing))
    }

    fn under(&self, hit: &[u32], what: Condition, claim: &Claim, standing: &mut Conditions) -> bool {
        let before: Vec<Condition> = hit.iter().map(|s| standing.worsen(*s, what)).collect();
        let holds = self.holds(claim, standing);
        hit.iter().zip(before).for_each(|(s, before)| standing.restore(*s, before));
        holds
    }

    fn subsets(
        &self,
        of: &[u32],
        most: u32,
        what: Condition,
        claim: &Claim,
        standing: &mut Conditions,
    ) -> bool {
        if !self.holds(claim, standing) {
            return false;
        }
        most == 0
            || (0..of.len()).all(|i| {
                let before = standing.worsen(of[i], what);
                let holds = self.subsets(&of[i + 1..], most - 1, what, claim, standing);
                standing.restore(of[i], before);
                holds
            })
    }

    /// Any so many, each gone, draining, or back and cold.
    fn mixtures(&self, of: &[u32], most: u32, claim: &Claim, standing: &mut Conditions) -> bool {
        if !self.holds(claim, standing) {
            return false;
        }
        most == 0
            || (0..of.len()).all(|i| {
                [Condition::Gone, Condition::Draining, Condition::Cold].into_iter().all(|what| {
                    let before = standing.worsen(of[i], what);
                    let holds = self.mixtures(&of[i + 1..], most - 1, claim, standing);
                    standing.restore(of[i], before);
                    holds
                })
            })
    }

    fn local(&self, local: &SliceClaim, slice: u32, standing: &Conditions) -> bool {
        match local {
            SliceClaim::All(locals) => locals.iter().all(|l| self.local(l, slice, standing)),
            SliceClaim::Some(locals) => locals.iter().any(|l| self.local(l, slice, standing)),
            SliceClaim::Not(local) => !self.local(local, slice, standing),
            SliceClaim::Reachable(reach) => {
                let held = self.fleet.placement().sets_of_slice(slice);
                let there: Vec<_> = (0u32..)
                    .zip(self.fleet.searchers())
                    .filter(|(at, s)| held.contains(&s.set) && standing.get(*at).accepts_work())
                    .filter(|(_, s)| reach.hall.is_none_or(|h| h == s.hall))
                    .collect();
                let distinct = |mut of: Vec<usize>| {
                    of.sort_unstable();
                    of.dedup();
                    of.len() as u32
                };
                there.len() as u32 >= reach.searchers
                    && distinct(there.iter().map(|(_, s)| s.hall).collect()) >= reach.halls
                    && distinct(there.iter().map(|(_, s)| s.set as usize).collect()) >= reach.sets
            }
        }
    }

    fn load(&self, most: f64, standing: &Conditions) -> bool {
        let (searchers, cold) =
            (self.fleet.searchers(), self.fleet.config().safety_limits.cold_capacity_share);
        let mut loads = vec![0.0; searchers.len()];
        for slice in 0..self.fleet.slices() {
            let holders: Vec<u32> = self.fleet.holders(slice).collect();
            let sum: f64 = holders.iter().map(|h| able(standing.get(*h), cold)).sum();
            for holder in holders.iter().filter(|h| standing.get(**h).accepts_work()) {
                loads[*holder as usize] += self.weights[slice as usize] / sum;
            }
        }
        let average = average(self.fleet, &self.weights);
        loads.iter().all(|load| load / average <= most * (1.0 + 1e-9))
    }
}
