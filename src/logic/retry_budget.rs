//! Budgets of extra dispatches, which are retries and hedges, in a sliding window.

use super::sliding_totals::SlidingTotals;
use crate::interface::RetryBudget;
use crate::state::Scheduler;

/// Counts extra dispatches against a budget in a sliding window.
#[derive(Debug)]
pub(crate) struct BudgetWindow {
    budget: RetryBudget,
    /// The accepted scans and parts.
    accepted: SlidingTotals<()>,
    /// The extra dispatches.
    spent: SlidingTotals<()>,
}

impl BudgetWindow {
    /// Budget of hedges, and of retries where the deployment states none: a tenth of the accepted scans and
    /// parts, and a few more. A larger budget would add to an overload.
    pub(super) const DEFAULT_BUDGET: RetryBudget = RetryBudget { free: 5.0, share: 0.1, window_ms: 2000.0 };
    /// Busy share of the searchers' cores from which on none of the budget is available. Up to half this
    /// share all of it is available, and in between the available part falls linearly. The cores beyond this
    /// share are left for fluctuations of the load.
    const FULL_BUSY_SHARE: f64 = 0.8;
    /// The window is longer by this much for extra dispatches, and shorter by this much for accepted scans
    /// and parts. The budget is then kept even if the deployment sees an event at the edge of a window a
    /// little earlier or later.
    const WINDOW_MARGIN_MS: f64 = 1.0;

    pub(super) fn new(budget: RetryBudget) -> Self {
        let window_ms = budget.window_ms;
        Self { budget, accepted: SlidingTotals::new(window_ms), spent: SlidingTotals::new(window_ms) }
    }

    /// Counts an accepted scan or part, which raises the budget.
    pub(super) fn count_accepted(&mut self, now: f64) {
        self.accepted.record(now, (), 1.0);
        self.drop_old(now);
    }

    /// Counts an extra dispatch.
    pub(super) fn count_spent(&mut self, now: f64) {
        self.spent.record(now, (), 1.0);
        self.drop_old(now);
    }

    /// Drops what has left the window. A slot of accepted scans and parts leaves with its first, one of extra
    /// dispatches with its last, so that the budget is never too large.
    fn drop_old(&mut self, now: f64) {
        let window_start_at = now - self.budget.window_ms;
        self.spent.drop_front_while(|slot| slot.last_at < window_start_at - Self::WINDOW_MARGIN_MS);
        self.accepted.drop_front_while(|slot| slot.first_at < window_start_at + Self::WINDOW_MARGIN_MS);
    }

    /// Whether one more extra dispatch is within the budget. The busier the searchers report to be, the less
    /// of the budget is available, as each extra dispatch then delays other parts: retries and hedges must
    /// not prolong an overload. While all searchers are busy, scans with lost answers therefore get no
    /// retries.
    pub(super) fn allows_one_more(&mut self, now: f64, busy_share: Option<f64>) -> bool {
        let available_share =
            busy_share.map_or(1.0, |busy| (2.0 - 2.0 * busy / Self::FULL_BUSY_SHARE).clamp(0.0, 1.0));
        self.drop_old(now);
        let budget = self.budget.free + self.budget.share * self.accepted.sum();
        self.spent.sum() + 1.0 <= available_share * budget
    }
}

impl Scheduler {
    /// Counts an accepted scan or part, which raises the budgets of extra dispatches.
    pub(super) fn count_accepted(&mut self, now: f64) {
        self.retry_budget.count_accepted(now);
        self.hedge_budget.count_accepted(now);
    }
}
