//! Traffic of the customers, compared with their quotas.

use std::collections::BTreeMap;

use super::sliding_totals::SlidingTotals;
use crate::interface::Customer;

/// Recent traffic of each customer, and the customers whose scans may crash searchers.
#[derive(Debug)]
pub(crate) struct CustomerTraffic {
    customers: Vec<Customer>,
    /// Recent scans by customer.
    counts: Vec<usize>,
    /// The scans that are counted, by customer.
    recent: SlidingTotals<usize>,
    /// Until when a customer's scans send one part at a time until a part is answered.
    cautious_until: BTreeMap<usize, f64>,
}

impl CustomerTraffic {
    /// Share of a searcher's concurrency limit that a customer over its quota may use.
    pub(super) const OVER_QUOTA_LIMIT_SHARE: f64 = 0.8;
    /// Time span in which the customers' traffic is compared. It holds some tens of scans.
    const SPAN_MS: f64 = 5000.0;
    /// Time for which a customer's scans send one part first, after a scan of it ended for lost connections.
    /// It covers some retries of the customer's clients.
    pub(super) const CAUTION_MS: f64 = 10_000.0;
    /// A customer is over its quota when its share of the scans exceeds its share of the quotas by this
    /// factor.
    const QUOTA_TOLERANCE: f64 = 1.1;

    pub(super) fn new(customers: Vec<Customer>) -> Self {
        let counts = vec![0; customers.len()];
        let recent = SlidingTotals::new(Self::SPAN_MS);
        Self { customers, counts, recent, cautious_until: BTreeMap::new() }
    }

    pub(super) fn set_cautious(&mut self, customer: usize, until: f64) {
        if customer < self.customers.len() {
            self.cautious_until.insert(customer, until);
        }
    }

    pub(super) fn is_cautious(&self, customer: usize, now: f64) -> bool {
        self.cautious_until.get(&customer).is_some_and(|until| now < *until)
    }

    /// Counts a scan, and forgets those older than [`Self::SPAN_MS`].
    pub(super) fn record_scan(&mut self, customer: usize, now: f64) {
        if let Some(count) = self.counts.get_mut(customer) {
            *count += 1;
            self.recent.record(now, customer, 1.0);
        }
        while let Some(old) = self.recent.pop_front_if(|slot| slot.first_at < now - Self::SPAN_MS) {
            self.counts[old.key] -= old.amount as usize;
        }
    }

    /// Recent scans by customer, in the order of the settings.
    pub(crate) fn recent_scans(&self) -> &[usize] {
        &self.counts
    }

    /// Whether a customer's share of the recent scans is higher than its share of all quotas. Admission
    /// control rejects the scans of such customers first.
    pub(super) fn is_over_quota(&self, customer: usize) -> bool {
        let Some(terms) = self.customers.get(customer) else { return false };
        let Some(count) = self.counts.get(customer) else { return false };
        let total_scans_per_s: f64 = self.customers.iter().map(|customer| customer.scans_per_s).sum();
        *count as f64 * total_scans_per_s > terms.scans_per_s * self.recent.sum() * Self::QUOTA_TOLERANCE
    }
}
