//! A mixer's own side of its duties.

use std::collections::BTreeMap;

use crate::machine::{Duties, Order};

/// A renewal is asked for when this share of the length has gone by since the last that was carried out was asked for, and again
/// after half of that, if it does not come.
const RENEW: f64 = 1.0 / 3.0;

#[derive(Clone, Debug, PartialEq)]
struct Lease {
    epoch: u64,
    length_ms: f64,
    /// Until when this mixer may act, by its clock; not at all, before a renewal has come.
    until: f64,
    /// Requests that may still be carried out, and when each was made.
    asks: BTreeMap<u64, f64>,
    /// The request that counts, and when it was made.
    last: (u64, f64),
}

/// What a mixer holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    me: String,
    drift: f64,
    asks: u64,
    leases: BTreeMap<String, Lease>,
}

impl Holder {
    /// A mixer that has just started holds nothing. Its name here is that of its process: the mixer's and its start's, so that
    /// it takes nothing over from an earlier one, nor shares anything with another under its name. `drift` is usually
    /// [`crate::DRIFT`].
    pub fn new(me: &str, drift: f64) -> Self {
        Self { me: me.to_owned(), drift, asks: 0, leases: BTreeMap::new() }
    }

    /// Sees what the log says by now, and tells what is to be put into it.
    ///
    /// A lease begins with a request of this mixer's own that was carried out: the time before it was made is all that it can be
    /// sure of. So a grant alone lets nobody act; its first renewal does.
    pub fn look(&mut self, now: f64, duties: &Duties) -> Vec<Order> {
        let mine = |name: &String, epoch: u64| {
            duties.all.get(name).is_some_and(|d| d.epoch == epoch && d.holder.as_ref() == Some(&self.me))
        };
        self.leases.retain(|name, lease| mine(name, lease.epoch));
        let mut orders = Vec::new();
        for (name, duty) in duties.all.iter().filter(|(_, d)| d.holder.as_ref() == Some(&self.me)) {
            let lease = self.leases.entry(name.clone()).or_insert_with(|| Lease {
                epoch: duty.epoch,
                length_ms: duty.length_ms as f64,
                until: f64::NEG_INFINITY,
                asks: BTreeMap::new(),
                last: (0, f64::NEG_INFINITY),
            });
            if let Some(at) = lease.asks.get(&duty.ask).copied() {
                lease.until = lease.until.max(at + lease.length_ms * (1.0 - self.drift));
                lease.last = (duty.ask, at);
                lease.asks.retain(|ask, _| *ask > duty.ask);
            }
            let latest = lease.asks.last_key_value().map_or(f64::NEG_INFINITY, |(_, at)| *at);
            let (due, again) =
                (lease.last.1 + lease.length_ms * RENEW, latest + lease.length_ms * RENEW / 2.0);
            if now >= due && now >= again {
                self.asks += 1;
                lease.asks.insert(self.asks, now);
                // What was asked for a whole length ago would begin a lease that is over.
                lease.asks.retain(|_, at| now - *at <= lease.length_ms);
                let (duty, by) = (name.clone(), self.me.clone());
                orders.push(Order::Renew { duty, by, epoch: lease.epoch, ask: self.asks });
            }
        }
        orders
    }

    /// The epoch under which this mixer may act now. To be asked right before each effect, with the time as it is then.
    pub fn may(&self, now: f64, duty: &str) -> Option<u64> {
        self.leases.get(duty).filter(|lease| now < lease.until).map(|lease| lease.epoch)
    }

    /// Until when it may act, by its clock.
    pub fn until(&self, duty: &str) -> Option<f64> {
        self.leases.get(duty).map(|lease| lease.until)
    }

    /// Gives a duty up: it may not act from now on, and the log is told.
    pub fn release(&mut self, duty: &str, to: Option<String>) -> Option<Order> {
        let lease = self.leases.get_mut(duty)?;
        lease.until = f64::NEG_INFINITY;
        lease.asks.clear();
        lease.last.1 = f64::INFINITY; // and it asks for no renewal
        Some(Order::Release { duty: duty.to_owned(), by: self.me.clone(), epoch: lease.epoch, to })
    }
}

/// Whoever gets effects: refuses those of an epoch below the highest seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fence(BTreeMap<String, u64>);

impl Fence {
    /// Whether an effect is to be taken.
    pub fn passes(&mut self, duty: &str, epoch: u64) -> bool {
        let seen = self.0.entry(duty.to_owned()).or_default();
        *seen = (*seen).max(epoch);
        epoch == *seen
    }
}
