//! The leader's side: who has been silent for too long, and who is next.

use std::collections::{BTreeMap, BTreeSet};

use crate::machine::{Duties, Order};

/// One that lost a duty by silence gets it again only after so long, doubled with each loss in a row, in milliseconds: a mixer
/// that stalls again and again would keep a duty from being done.
const COOL_MS: f64 = 2000.0;
const COOL_MOST_MS: f64 = 120_000.0;

/// A mixer that may have a duty.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub name: String,
    /// Share of its time that it works, 0 to 1.
    pub load: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Seen {
    epoch: u64,
    renewals: u64,
    /// When this was carried out here, by this mixer's clock.
    at: f64,
}

/// Sees renewals go by on every member of the council, and grants where its member leads.
#[derive(Clone, Debug, PartialEq)]
pub struct Grantor {
    drift: f64,
    seen: BTreeMap<String, Seen>,
    /// When each lost a duty, by this mixer's clock.
    lost: BTreeMap<(String, String), f64>,
    /// What was asked of the log and may still come.
    asked: BTreeMap<String, (u64, f64)>,
}

/// A grant that was asked for and did not come within so long is asked for again, in milliseconds.
const AGAIN_MS: f64 = 500.0;

impl Grantor {
    /// `drift` is usually [`crate::DRIFT`].
    pub fn new(drift: f64) -> Self {
        Self { drift, seen: BTreeMap::new(), lost: BTreeMap::new(), asked: BTreeMap::new() }
    }

    /// Has to be called after every turn in which something may have been carried out, before [`Grantor::grants`]: what it sees
    /// late it only takes for later than it was, which is the safe side.
    pub fn look(&mut self, now: f64, duties: &Duties) {
        for (name, duty) in &duties.all {
            let (epoch, renewals) = (duty.epoch, duty.renewals);
            let before = self.seen.get(name).copied();
            if before.is_none_or(|seen| (seen.epoch, seen.renewals) != (epoch, renewals)) {
                self.seen.insert(name.clone(), Seen { epoch, renewals, at: now });
            }
            if let Some(last) = duty.history.last().filter(|_| before.is_some_and(|seen| seen.epoch < epoch))
                && !last.released
            {
                self.lost.insert((name.clone(), last.holder.clone()), now);
            }
        }
    }

    /// When a duty's holder may be silent no more, by this mixer's clock; nothing where nobody holds it.
    pub fn until(&self, duties: &Duties, duty: &str) -> Option<f64> {
        let one = duties.all.get(duty).filter(|one| one.holder.is_some())?;
        let seen =
            self.seen.get(duty).filter(|seen| (seen.epoch, seen.renewals) == (one.epoch, one.renewals))?;
        Some(seen.at + one.length_ms as f64 * (1.0 + self.drift))
    }

    fn cools(&self, now: f64, duties: &Duties, duty: &str, name: &str) -> bool {
        // Who holds it when another is looked for has just been silent for too long: its loss is not in the log yet.
        if duties.all.get(duty).is_some_and(|one| one.holder.as_deref() == Some(name)) {
            return true;
        }
        let losses = duties.all.get(duty).and_then(|one| one.losses.get(name)).copied().unwrap_or(0);
        let cool = (COOL_MS * f64::from(1u32 << losses.clamp(1, 16).saturating_sub(1))).min(COOL_MOST_MS);
        let since = self.lost.get(&(duty.to_owned(), name.to_owned()));
        losses > 0 && since.is_some_and(|at| now - at < cool)
    }

    /// Who is next: whom it is reserved for; else, of those that do not cool down, who holds the fewest duties, has the least to
    /// do, and comes first by the duty's own order. Of those that cool down where there are no others.
    pub fn choose<'a>(
        &self,
        now: f64,
        duties: &Duties,
        duty: &str,
        candidates: &'a [Candidate],
    ) -> Option<&'a Candidate> {
        let reserved = duties.all.get(duty).and_then(|one| one.reserved.as_ref());
        if let Some(one) = candidates.iter().find(|c| Some(&c.name) == reserved) {
            return Some(one);
        }
        // Loads within a tenth are alike.
        let rank = |c: &Candidate| {
            let load = (c.load.clamp(0.0, 1.0) * 10.0) as u32;
            (self.cools(now, duties, duty, &c.name), duties.of(&c.name), load, order(duty, &c.name))
        };
        candidates.iter().min_by_key(|c| rank(c))
    }

    /// Grants to be put into the log by a member that leads and has carried out all that was decided before it did. `wanted` are
    /// the duties that there are, with their lengths in milliseconds.
    pub fn grants(
        &mut self,
        now: f64,
        duties: &Duties,
        wanted: &BTreeMap<String, u64>,
        candidates: &[Candidate],
    ) -> Vec<Order> {
        let alive: BTreeSet<&str> = candidates.iter().map(|c| c.name.as_str()).collect();
        self.lost.retain(|(_, name), at| alive.contains(name.as_str()) && now - *at < COOL_MOST_MS);
        let mut orders = Vec::new();
        // What this turn gives away counts in the choice of what comes after.
        let mut next = duties.clone();
        for (name, length_ms) in wanted {
            let (epoch, renewals, held) = duties
                .all
                .get(name)
                .map_or((0, 0, false), |one| (one.epoch, one.renewals, one.holder.is_some()));
            let free = !held || self.until(duties, name).is_some_and(|until| now >= until);
            let waits =
                self.asked.get(name).is_some_and(|(asked, at)| *asked == epoch && now - at < AGAIN_MS);
            if !free || waits {
                continue;
            }
            let Some(to) = self.choose(now, &next, name, candidates) else { continue };
            self.asked.insert(name.clone(), (epoch, now));
            next.all.entry(name.clone()).or_default().holder = Some(to.name.clone());
            let (duty, to, length_ms) = (name.clone(), to.name.clone(), *length_ms);
            orders.push(Order::Grant { duty, to, length_ms, epoch: epoch + 1, renewals });
        }
        orders
    }
}

/// Each duty has an order of its own of all mixers, so that equals are not always the same one (rendezvous hashing).
pub fn order(duty: &str, name: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in duty.bytes().chain([0]).chain(name.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    // What differs in the last byte only differs everywhere after this.
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ hash >> 29
}
