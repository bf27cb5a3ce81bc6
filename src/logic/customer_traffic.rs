//! Traffic of the customers, compared with their quotas.

use crate::state::CustomerTraffic;

impl CustomerTraffic {
    /// Share of a searcher's concurrency limit that a customer over its quota may use.
    pub(super) const OVER_QUOTA_LIMIT_SHARE: f64 = 0.8;
    /// Time span in which the customers' traffic is compared. It holds some tens of scans.
    pub(super) const SPAN_MS: f64 = 5000.0;
    /// Time for which a customer's scans send one part first, after a scan of it ended for lost connections.
    /// It covers some retries of the customer's clients.
    pub(super) const CAUTION_MS: f64 = 10_000.0;
    /// A customer is over its quota when its share of the scans exceeds its share of the quotas by this
    /// factor.
    const QUOTA_TOLERANCE: f64 = 1.1;

    /// Whether a customer's share of the recent scans is higher than its share of all quotas. Admission
    /// control rejects the scans of such customers first.
    pub(super) fn is_over_quota(&self, customer: usize) -> bool {
        let Some(terms) = self.customers.get(customer) else { return false };
        let Some(count) = self.counts.get(customer) else { return false };
        let total_scans_per_s: f64 = self.customers.iter().map(|customer| customer.scans_per_s).sum();
        *count as f64 * total_scans_per_s
            > terms.scans_per_s * self.recent.len() as f64 * Self::QUOTA_TOLERANCE
    }
}
