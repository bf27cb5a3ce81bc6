//! Detection of a network that drops idle connections without notice.

use crate::state::{BaselineTracker, ConnectionLosses};

impl ConnectionLosses {
    /// A connection that was idle for this long, which is a few latencies, may have been dropped without
    /// notice to either end.
    pub(super) const IDLE_MS: f64 = 500.0;
    /// Above this loss rate on idle connections, they are closed before use. It is higher than the rate that
    /// failing searchers cause.
    const MAX_IDLE_LOSS_RATE: f64 = 0.25;
    /// The loss rate on idle connections must also exceed the rate on fresh ones by this factor.
    const MIN_IDLE_TO_FRESH_RATIO: f64 = 2.0;
    /// Time for which idle connections are closed before use. It must end by itself: the new connections that
    /// are used instead do not show whether idle ones work again.
    pub(super) const DISTRUST_MS: f64 = 10_000.0;

    /// Counts whether a part was lost, separately for fresh and for idle connections. A network device may
    /// drop connections while they are idle though the searchers are sound; such losses occur on idle
    /// connections only.
    pub(super) fn record(&mut self, on_idle_connection: Option<bool>, lost: bool, now: f64) {
        let Some(was_idle) = on_idle_connection else { return };
        let rate = if was_idle { &mut self.idle_rate } else { &mut self.fresh_rate };
        *rate += BaselineTracker::LAST_TEN_WEIGHT * (f64::from(u8::from(lost)) - *rate);
        if self.idle_rate > Self::MAX_IDLE_LOSS_RATE
            && self.idle_rate > Self::MIN_IDLE_TO_FRESH_RATIO * self.fresh_rate
        {
            self.idle_rate = 0.0;
            self.distrusted_until = now + Self::DISTRUST_MS;
        }
    }
}
