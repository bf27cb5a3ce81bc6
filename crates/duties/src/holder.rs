//! A mixer's own side of its leases.

use std::collections::BTreeMap;

use crate::table::{DutyTable, LeaseCommand};

/// A renewal is requested once this share of the lease length has passed since the request of the last applied
/// renewal. While it is not applied, it is requested again after each half of this time.
const RENEWAL_SHARE: f64 = 1.0 / 3.0;

/// A renewal request and when it was made.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RenewalRequest {
    number: u64,
    requested_at_ms: f64,
}

#[derive(Clone, Debug, PartialEq)]
struct Lease {
    epoch: u64,
    length_ms: f64,
    /// Until when this mixer may act, by its clock; in the past until a renewal is applied.
    valid_until_ms: f64,
    /// Requests that may still be applied, by number, with the times at which they were made.
    pending_requests: BTreeMap<u64, f64>,
    /// The request of the renewal that is in effect.
    applied_request: RenewalRequest,
}

impl Lease {
    fn new(epoch: u64, length_ms: u64) -> Self {
        Self {
            epoch,
            length_ms: length_ms as f64,
            valid_until_ms: f64::NEG_INFINITY,
            pending_requests: BTreeMap::new(),
            applied_request: RenewalRequest { number: 0, requested_at_ms: f64::NEG_INFINITY },
        }
    }

    /// Extends the lease if `request`, the latest one applied by the log, is pending.
    fn renewal_applied(&mut self, request: u64, clock_drift: f64) {
        if let Some(requested_at_ms) = self.pending_requests.get(&request).copied() {
            let until_ms = requested_at_ms + self.length_ms * (1.0 - clock_drift);
            self.valid_until_ms = self.valid_until_ms.max(until_ms);
            self.applied_request = RenewalRequest { number: request, requested_at_ms };
            self.pending_requests.retain(|pending, _| *pending > request);
        }
    }

    fn is_renewal_due(&self, now_ms: f64) -> bool {
        let latest_ms = self.pending_requests.last_key_value().map_or(f64::NEG_INFINITY, |(_, at_ms)| *at_ms);
        let due_ms = self.applied_request.requested_at_ms + self.length_ms * RENEWAL_SHARE;
        let retry_ms = latest_ms + self.length_ms * RENEWAL_SHARE / 2.0;
        now_ms >= due_ms && now_ms >= retry_ms
    }
}

/// The leases that a mixer holds.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseHolder {
    name: String,
    clock_drift: f64,
    /// Number of the last renewal request.
    last_request: u64,
    leases: BTreeMap<String, Lease>,
}

impl LeaseHolder {
    /// A mixer that has just started holds nothing. `name` identifies its process: it contains the mixer's
    /// name and its incarnation, so that the process takes over nothing from an earlier one and shares
    /// nothing with another one under the same name. `clock_drift` is usually [`crate::MAX_CLOCK_DRIFT`].
    pub fn new(name: &str, clock_drift: f64) -> Self {
        Self { name: name.to_owned(), clock_drift, last_request: 0, leases: BTreeMap::new() }
    }

    /// Updates the leases from the log, and returns the renewals to propose.
    ///
    /// A lease is counted from the time of this mixer's own request for the applied renewal, which is before the
    /// log applied it. So a grant alone does not allow the mixer to act; the first renewal does.
    pub fn update(&mut self, now_ms: f64, table: &DutyTable) -> Vec<LeaseCommand> {
        let is_held = |name: &String, epoch: u64| {
            table
                .duties
                .get(name)
                .is_some_and(|duty| duty.epoch == epoch && duty.holder.as_ref() == Some(&self.name))
        };
        self.leases.retain(|name, lease| is_held(name, lease.epoch));
        let mut commands = Vec::new();
        let held = table.duties.iter().filter(|(_, duty)| duty.holder.as_ref() == Some(&self.name));
        for (name, duty) in held {
            let lease =
                self.leases.entry(name.clone()).or_insert_with(|| Lease::new(duty.epoch, duty.length_ms));
            lease.renewal_applied(duty.request, self.clock_drift);
            if lease.is_renewal_due(now_ms) {
                self.last_request += 1;
                lease.pending_requests.insert(self.last_request, now_ms);
                // A lease that is counted from an older request would have expired already.
                let length_ms = lease.length_ms;
                lease.pending_requests.retain(|_, requested_at_ms| now_ms - *requested_at_ms <= length_ms);
                commands.push(LeaseCommand::Renew {
                    duty: name.clone(),
                    by: self.name.clone(),
                    epoch: lease.epoch,
                    request: self.last_request,
                });
            }
        }
        commands
    }

    /// The epoch under which this mixer may act now, if it may. Has to be called right before each effect, with
    /// the current time.
    pub fn valid_epoch(&self, now_ms: f64, duty: &str) -> Option<u64> {
        self.leases.get(duty).filter(|lease| now_ms < lease.valid_until_ms).map(|lease| lease.epoch)
    }

    /// Until when it may act, by its clock.
    pub fn valid_until_ms(&self, duty: &str) -> Option<f64> {
        self.leases.get(duty).map(|lease| lease.valid_until_ms)
    }

    /// Releases a duty: this mixer may not act any more, and proposes the returned command.
    pub fn release(&mut self, duty: &str, to: Option<String>) -> Option<LeaseCommand> {
        let lease = self.leases.get_mut(duty)?;
        lease.valid_until_ms = f64::NEG_INFINITY;
        lease.pending_requests.clear();
        lease.applied_request.requested_at_ms = f64::INFINITY; // requests no more renewals
        let by = self.name.clone();
        Some(LeaseCommand::Release { duty: duty.to_owned(), by, epoch: lease.epoch, to })
    }
}

/// Fencing at the receiver of effects: rejects those with a lower epoch than the highest seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fence(BTreeMap<String, u64>);

impl Fence {
    /// Whether to accept an effect.
    pub fn accepts(&mut self, duty: &str, epoch: u64) -> bool {
        let highest = self.0.entry(duty.to_owned()).or_default();
        *highest = (*highest).max(epoch);
        epoch == *highest
    }
}
