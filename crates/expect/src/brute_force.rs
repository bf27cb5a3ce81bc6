//! Brute-force evaluator: it evaluates every case of every failure, for every slice and every searcher. Tests compare the
//! structural checker with it, and the benchmark measures both.

use pewterwharf_fleet::{Condition, Conditions, Fleet};

use crate::claim::{Claim, Failure, FailureTarget, Pace, SliceClaim};
use crate::structural::{ROUNDING_TOLERANCE, average_load, capacity};

/// Whether a claim holds for a list of age `list_age_ms`; claims about behaviour count as holding.
pub fn holds(fleet: &Fleet, claim: &Claim, pace: Pace, list_age_ms: f64) -> bool {
    let oldest_ms = fleet.searchers().iter().map(|s| s.age_ms).fold(0.0, f64::max);
    let evaluator = BruteForce {
        fleet,
        weights: fleet.weights(),
        pace,
        list_age_ms,
        max_unlisted_changes: pace.max_unlisted_changes(list_age_ms + oldest_ms),
    };
    evaluator.holds(claim, &mut Conditions::listed(fleet))
}

struct BruteForce<'a> {
    fleet: &'a Fleet,
    /// Weight of each slice.
    weights: Vec<f64>,
    pace: Pace,
    list_age_ms: f64,
    max_unlisted_changes: u32,
}

impl BruteForce<'_> {
    fn holds(&self, claim: &Claim, conditions: &mut Conditions) -> bool {
        match claim {
            Claim::All(claims) => claims.iter().all(|c| self.holds(c, conditions)),
            Claim::Some(claims) => claims.iter().any(|c| self.holds(c, conditions)),
            Claim::Not(claim) => !self.holds(claim, conditions),
            Claim::ForAllSlices { customer, range, claim } => (0..self.fleet.slices())
                .filter(|slice| {
                    customer.is_none_or(|c| self.fleet.customer_reads(c, *slice))
                        && range.as_ref().is_none_or(|r| r.contains(slice))
                })
                .all(|slice| self.slice_claim_holds(claim, slice, conditions)),
            Claim::After(failure, claim) => self.holds_in_all_cases(failure, claim, conditions),
            Claim::WhileListYounger { max_changes, claim, .. } => {
                let max = max_changes.unwrap_or(u32::MAX).min(self.max_unlisted_changes);
                let maybe_stale: Vec<u32> = (0..self.fleet.searchers().len() as u32)
                    .filter(|searcher| {
                        let searcher = &self.fleet.searchers()[*searcher as usize];
                        searcher.age_ms + self.list_age_ms >= self.pace.every_ms
                    })
                    .collect();
                self.holds_in_all_mixtures(&maybe_stale, max, claim, conditions)
            }
            Claim::LoadAtMost(max_multiple) => self.load_holds(*max_multiple, conditions),
            Claim::SlicesAtMost(max) => (0..self.fleet.searchers().len() as u32).all(|searcher| {
                let holds_slice = |slice: &u32| self.fleet.holders(*slice).any(|h| h == searcher);
                (0..self.fleet.slices()).filter(holds_slice).count() <= *max as usize
            }),
            Claim::Behaviour(_) => true,
        }
    }

    fn holds_in_all_cases(&self, failure: &Failure, claim: &Claim, conditions: &mut Conditions) -> bool {
        let all = || 0..self.fleet.searchers().len() as u32;
        let select =
            |is_hit: &dyn Fn(usize) -> bool| all().filter(|s| is_hit(*s as usize)).collect::<Vec<u32>>();
        let searchers = self.fleet.searchers();
        let cases: Vec<Vec<u32>> = match &failure.target {
            FailureTarget::Hall(Some(hall)) => vec![select(&|s| searchers[s].hall == *hall)],
            FailureTarget::Hall(None) => {
                let halls = 0..self.fleet.halls().len();
                halls.map(|hall| select(&|s| searchers[s].hall == hall)).collect()
            }
            FailureTarget::Set(Some(set)) => vec![select(&|s| searchers[s].set == *set)],
            FailureTarget::Set(None) => {
                let sets = 0..self.fleet.sets() as u32;
                sets.map(|set| select(&|s| searchers[s].set == set)).collect()
            }
            FailureTarget::Searcher(searcher) => vec![vec![*searcher]],
            FailureTarget::Searchers(max) | FailureTarget::MaybeStale(max) => {
                let worsens = |s: &u32| conditions.get(*s).worst(failure.condition) != conditions.get(*s);
                let candidates: Vec<u32> = all().filter(worsens).collect();
                return self.holds_in_all_subsets(&candidates, *max, failure.condition, claim, conditions);
            }
        };
        cases.iter().all(|failed| self.holds_after(failed, failure.condition, claim, conditions))
            && (!cases.is_empty() || self.holds(claim, conditions))
    }

    fn holds_after(
        &self,
        failed: &[u32],
        condition: Condition,
        claim: &Claim,
        conditions: &mut Conditions,
    ) -> bool {
        let before: Vec<Condition> = failed.iter().map(|s| conditions.worsen(*s, condition)).collect();
        let holds = self.holds(claim, conditions);
        failed.iter().zip(before).for_each(|(s, before)| conditions.restore(*s, before));
        holds
    }

    /// Whether the claim holds after the failure of any subset of at most `max` candidates.
    fn holds_in_all_subsets(
        &self,
        candidates: &[u32],
        max: u32,
        condition: Condition,
        claim: &Claim,
        conditions: &mut Conditions,
    ) -> bool {
        if !self.holds(claim, conditions) {
            return false;
        }
        max == 0
            || (0..candidates.len()).all(|i| {
                let before = conditions.worsen(candidates[i], condition);
                let holds =
                    self.holds_in_all_subsets(&candidates[i + 1..], max - 1, condition, claim, conditions);
                conditions.restore(candidates[i], before);
                holds
            })
    }

    /// Whether the claim holds after any subset of at most `max` candidates changes, each to gone, draining or cold.
    fn holds_in_all_mixtures(
        &self,
        candidates: &[u32],
        max: u32,
        claim: &Claim,
        conditions: &mut Conditions,
    ) -> bool {
        if !self.holds(claim, conditions) {
            return false;
        }
        max == 0
            || (0..candidates.len()).all(|i| {
                [Condition::Gone, Condition::Draining, Condition::Cold].into_iter().all(|condition| {
                    let before = conditions.worsen(candidates[i], condition);
                    let holds = self.holds_in_all_mixtures(&candidates[i + 1..], max - 1, claim, conditions);
                    conditions.restore(candidates[i], before);
                    holds
                })
            })
    }

    fn slice_claim_holds(&self, claim: &SliceClaim, slice: u32, conditions: &Conditions) -> bool {
        match claim {
            SliceClaim::All(claims) => claims.iter().all(|c| self.slice_claim_holds(c, slice, conditions)),
            SliceClaim::Some(claims) => claims.iter().any(|c| self.slice_claim_holds(c, slice, conditions)),
            SliceClaim::Not(claim) => !self.slice_claim_holds(claim, slice, conditions),
            SliceClaim::Reachable(minimum) => {
                let sets = self.fleet.placement().sets_of_slice(slice);
                let reachable: Vec<_> = (0u32..)
                    .zip(self.fleet.searchers())
                    .filter(|(index, s)| sets.contains(&s.set) && conditions.get(*index).accepts_work())
                    .filter(|(_, s)| minimum.hall.is_none_or(|h| h == s.hall))
                    .collect();
                let count_distinct = |mut values: Vec<usize>| {
                    values.sort_unstable();
                    values.dedup();
                    values.len() as u32
                };
                reachable.len() as u32 >= minimum.searchers
                    && count_distinct(reachable.iter().map(|(_, s)| s.hall).collect()) >= minimum.halls
                    && count_distinct(reachable.iter().map(|(_, s)| s.set as usize).collect()) >= minimum.sets
            }
        }
    }

    fn load_holds(&self, max_multiple: f64, conditions: &Conditions) -> bool {
        let searchers = self.fleet.searchers();
        let cold_capacity_share = self.fleet.config().safety_limits.cold_capacity_share;
        let mut loads = vec![0.0; searchers.len()];
        for slice in 0..self.fleet.slices() {
            let holders: Vec<u32> = self.fleet.holders(slice).collect();
            let total_capacity: f64 =
                holders.iter().map(|h| capacity(conditions.get(*h), cold_capacity_share)).sum();
            for holder in holders.iter().filter(|h| conditions.get(**h).accepts_work()) {
                loads[*holder as usize] += self.weights[slice as usize] / total_capacity;
            }
        }
        let average = average_load(self.fleet, &self.weights);
        loads.iter().all(|load| load / average <= max_multiple * (1.0 + ROUNDING_TOLERANCE))
    }
}
