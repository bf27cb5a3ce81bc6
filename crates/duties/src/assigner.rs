//! The leader's side: which leases have expired, and who is the next holder.

use std::collections::{BTreeMap, BTreeSet};

use crate::table::{DutyTable, LeaseCommand};

/// A mixer whose lease has expired gets the duty again only after a cooldown, which doubles with each
/// consecutive loss: otherwise the duty would often be held by a mixer that stalls repeatedly.
const MIN_COOLDOWN_MS: f64 = 2000.0;
const MAX_COOLDOWN_MS: f64 = 120_000.0;
/// Consecutive losses up to which the cooldown doubles.
const MAX_DOUBLINGS: u32 = 16;
/// A proposed grant that is not applied within this time is proposed again.
const GRANT_RETRY_MS: f64 = 500.0;

/// A mixer that may hold duties.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub name: String,
    /// Share of its time that it is busy, 0 to 1.
    pub load: f64,
}

/// The latest renewal of a lease, and when it was applied here.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ObservedRenewal {
    epoch: u64,
    renewals: u64,
    applied_at_ms: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct ProposedGrant {
    /// Epoch of the duty before the grant.
    epoch: u64,
    proposed_at_ms: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LossKey {
    duty: String,
    holder: String,
}

/// Observes renewals on every member of the consensus group, and grants leases on the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseAssigner {
    clock_drift: f64,
    renewals: BTreeMap<String, ObservedRenewal>,
    /// When a lease of each mixer expired, by this mixer's clock.
    lost_at_ms: BTreeMap<LossKey, f64>,
    /// Proposed grants, by duty. They may still be applied.
    proposed: BTreeMap<String, ProposedGrant>,
}

impl LeaseAssigner {
    /// `clock_drift` is usually [`crate::MAX_CLOCK_DRIFT`].
    pub fn new(clock_drift: f64) -> Self {
        Self {
            clock_drift,
            renewals: BTreeMap::new(),
            lost_at_ms: BTreeMap::new(),
            proposed: BTreeMap::new(),
        }
    }

    /// Records the renewals and losses since the last call. Has to be called after every turn in which a command
    /// may have been applied, and before [`LeaseAssigner::grants`]. A late call is safe: leases then expire
    /// later.
    pub fn observe(&mut self, now_ms: f64, table: &DutyTable) {
        for (name, duty) in &table.duties {
            let (epoch, renewals) = (duty.epoch, duty.renewals);
            let before = self.renewals.get(name).copied();
            if before.is_none_or(|seen| (seen.epoch, seen.renewals) != (epoch, renewals)) {
                let renewal = ObservedRenewal { epoch, renewals, applied_at_ms: now_ms };
                self.renewals.insert(name.clone(), renewal);
            }
            let epoch_changed = before.is_some_and(|seen| seen.epoch < epoch);
            if let Some(last) = duty.history.last().filter(|_| epoch_changed)
                && !last.released
            {
                let key = LossKey { duty: name.clone(), holder: last.holder.clone() };
                self.lost_at_ms.insert(key, now_ms);
            }
        }
    }

    /// When the lease of a duty expires, by this mixer's clock; `None` if the duty has no holder.
    pub fn expires_at_ms(&self, table: &DutyTable, name: &str) -> Option<f64> {
        let duty = table.duties.get(name).filter(|duty| duty.holder.is_some())?;
        let current = |seen: &&ObservedRenewal| (seen.epoch, seen.renewals) == (duty.epoch, duty.renewals);
        let seen = self.renewals.get(name).filter(current)?;
        Some(seen.applied_at_ms + duty.length_ms as f64 * (1.0 + self.clock_drift))
    }

    fn is_cooling_down(&self, now_ms: f64, table: &DutyTable, duty: &str, name: &str) -> bool {
        // Called for a new grant only, so the lease of the current holder has expired. The loss is counted when
        // the grant is applied.
        if table.duties.get(duty).is_some_and(|duty| duty.holder.as_deref() == Some(name)) {
            return true;
        }
        let losses = table.duties.get(duty).and_then(|duty| duty.losses.get(name)).copied().unwrap_or(0);
        let doublings = losses.clamp(1, MAX_DOUBLINGS).saturating_sub(1);
        let cooldown_ms = (MIN_COOLDOWN_MS * f64::from(1u32 << doublings)).min(MAX_COOLDOWN_MS);
        let lost_at_ms = self.lost_at_ms.get(&LossKey { duty: duty.to_owned(), holder: name.to_owned() });
        losses > 0 && lost_at_ms.is_some_and(|at_ms| now_ms - at_ms < cooldown_ms)
    }

    /// Chooses the next holder: the mixer that the duty is reserved for, otherwise the one that holds the
    /// fewest duties, then has the least load, then comes first in the duty's own order. Mixers that are
    /// cooling down are chosen only if there are no others.
    pub fn choose<'a>(
        &self,
        now_ms: f64,
        table: &DutyTable,
        duty: &str,
        candidates: &'a [Candidate],
    ) -> Option<&'a Candidate> {
        let reserved = table.duties.get(duty).and_then(|duty| duty.reserved.as_ref());
        if let Some(candidate) = candidates.iter().find(|candidate| Some(&candidate.name) == reserved) {
            return Some(candidate);
        }
        let rank = |candidate: &Candidate| {
            // Loads within a tenth count as equal.
            let load = (candidate.load.clamp(0.0, 1.0) * 10.0) as u32;
            (
                self.is_cooling_down(now_ms, table, duty, &candidate.name),
                table.held_by(&candidate.name),
                load,
                rendezvous_hash(duty, &candidate.name),
            )
        };
        candidates.iter().min_by_key(|candidate| rank(candidate))
    }

    /// Returns the grants to propose. May be called only on a leader that has applied all entries committed
    /// before its election. `wanted` are all duties with their lease lengths in milliseconds.
    pub fn grants(
        &mut self,
        now_ms: f64,
        table: &DutyTable,
        wanted: &BTreeMap<String, u64>,
        candidates: &[Candidate],
    ) -> Vec<LeaseCommand> {
        let alive: BTreeSet<&str> = candidates.iter().map(|candidate| candidate.name.as_str()).collect();
        self.lost_at_ms
            .retain(|key, at_ms| alive.contains(key.holder.as_str()) && now_ms - *at_ms < MAX_COOLDOWN_MS);
        let mut commands = Vec::new();
        // Duties that are granted in this turn count as held in the following choices.
        let mut next_table = table.clone();
        for (name, length_ms) in wanted {
            let duty = table.duties.get(name);
            let (epoch, renewals) = duty.map_or((0, 0), |duty| (duty.epoch, duty.renewals));
            let is_held = duty.is_some_and(|duty| duty.holder.is_some());
            let is_free =
                !is_held || self.expires_at_ms(table, name).is_some_and(|expires_ms| now_ms >= expires_ms);
            let is_pending = self
                .proposed
                .get(name)
                .is_some_and(|grant| grant.epoch == epoch && now_ms - grant.proposed_at_ms < GRANT_RETRY_MS);
            if !is_free || is_pending {
                continue;
            }
            let Some(to) = self.choose(now_ms, &next_table, name, candidates) else { continue };
            self.proposed.insert(name.clone(), ProposedGrant { epoch, proposed_at_ms: now_ms });
            next_table.duties.entry(name.clone()).or_default().holder = Some(to.name.clone());
            commands.push(LeaseCommand::Grant {
                duty: name.clone(),
                to: to.name.clone(),
                length_ms: *length_ms,
                epoch: epoch + 1,
                renewals,
            });
        }
        commands
    }
}

/// Orders the mixers differently for each duty, so that ties are not always decided in favour of the same
/// mixer (rendezvous hashing).
fn rendezvous_hash(duty: &str, name: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in duty.bytes().chain([0]).chain(name.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    // Mixes the last byte into all bits.
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ hash >> 29
}
