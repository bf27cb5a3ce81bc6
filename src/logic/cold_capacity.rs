//! Capacity of cold searchers: how much work this mixer may send a searcher that is still warming up.

use std::collections::BTreeMap;

use super::sliding_totals::SlotTotal;
use crate::state::{Scan, ScanIndex, Scheduler, SearcherIndex, SearcherState, TypeIndex};

impl Scheduler {
    /// The mean work that sampled scans bring to a cold searcher in a window is lower than the limit by this
    /// many standard deviations. The work, which is random, then stays below the limit for thousands of
    /// windows in a row.
    const COLD_LOAD_DEVIATIONS: f64 = 4.0;
    /// The traffic may exceed its known average by this factor, through bursts and clients that retry.
    const TRAFFIC_SURGE: f64 = 1.15;
    /// Traffic with a hedge of every part, divided by the traffic without hedges: a part is hedged once at
    /// most.
    const HEDGED_TRAFFIC_RATIO: f64 = 2.0;
    /// Lower busy shares count as this one. The traffic of almost idle searchers says little about how much
    /// they could carry, so that the capacity is derived as twice the traffic at most.
    const MIN_BUSY_SHARE: f64 = 0.5;
    /// Sums of shares of parts that exceed a whole number by this much count as that number.
    const PARTS_TOLERANCE: f64 = 1e-9;
    /// Demand per searcher, in cores, that is expected at any time: after little traffic a burst may follow.
    const MIN_DEMAND: f64 = 1.0;

    /// Whether a searcher has capacity for one more part of a scan. A warm searcher always has.
    ///
    /// A cold searcher fails if all mixers together send it more than [`Self::cold_capacity_ms`] in a window.
    /// The mixers do not coordinate what they send, so that each may use an equal share of the capacity. It
    /// divides its share among the table types, see [`Self::capacity_share`]. In the first window after its
    /// first list it uses none of it, as an earlier process of the same mixer may just have used it.
    ///
    /// If a table type's share is smaller than the work of one part, the mixer could never send a part within
    /// it. Then [`Self::is_sampled`] admits some of the scans, and these may send the searcher their parts
    /// and one more.
    ///
    /// While most searchers are cold, these rules make admission control reject scans.
    pub(super) fn has_cold_capacity(
        &self,
        searcher: &SearcherState,
        scan: &Scan,
        is_hedge: bool,
        work_ms: f64,
        now: f64,
    ) -> bool {
        if !self.is_cold(searcher, now) {
            return true;
        }
        let window_ms = self.limits.overload_window_ms;
        let capacity_ms = self.cold_capacity_ms(searcher, now);
        let own_share_ms = self.capacity_share(scan.table_type) * capacity_ms / self.mixer_count;
        let scan_work_ms = scan.parts_per_searcher * work_ms;
        let allowed_ms = if work_ms <= own_share_ms {
            let is_first_window = now < self.first_list_at + window_ms;
            if is_first_window { 0.0 } else { own_share_ms }
        } else if self.is_sampled(searcher, scan, is_hedge, work_ms, capacity_ms) {
            scan_work_ms + work_ms
        } else {
            0.0
        };
        let in_window =
            |sent: &&SlotTotal<TypeIndex>| sent.last_at >= now - window_ms && sent.key == scan.table_type;
        let sent_ms: f64 = searcher.recent_work.iter().filter(in_window).map(|sent| sent.amount).sum();
        sent_ms + work_ms <= allowed_ms
    }

    /// Work that all mixers together may send a cold searcher in a window. What the searcher can carry in it
    /// is the product of its present speed, the rate of work that a warm searcher can carry, and the length
    /// of the window; it fails at a multiple of this. The speed is that of the slowest warm-up that the deployment
    /// allows: it grows linearly with the time since the searcher's latest start.
    fn cold_capacity_ms(&self, searcher: &SearcherState, now: f64) -> f64 {
        let limits = &self.limits;
        let age_ms = now - searcher.latest_start_at();
        let warmed_up_share = (age_ms / limits.warm_up_ms).max(0.0);
        let speed = limits.cold_capacity_share + (1.0 - limits.cold_capacity_share) * warmed_up_share;
        limits.overload_multiple * speed * self.warm_work_rate() * limits.overload_window_ms
    }

    /// The rate of work that a warm searcher is taken to carry. It is estimated from this mixer's traffic, as if
    /// all mixers sent as much, divided by the busy share that searchers report. It is at least one core.
    fn warm_work_rate(&self) -> f64 {
        let busy_share = self.busy_share.map_or(1.0, |busy| busy.clamp(Self::MIN_BUSY_SHARE, 1.0));
        let received_work_rate = self.sent_work_rate * self.mixers_per_searcher();
        (received_work_rate / busy_share).max(1.0)
    }

    /// Factor that converts the rate of one mixer at all searchers to the rate of all mixers at one searcher.
    fn mixers_per_searcher(&self) -> f64 {
        self.mixer_count / self.ready_searcher_count.max(1.0)
    }

    /// The load of a searcher over the mean load of all, if every shard is requested as often and its requests are
    /// divided equally among its holders that may get parts. It is higher than 1 where other holders are gone.
    fn relative_load(&self, searcher: &SearcherState) -> f64 {
        let load_of = |shard: u32| 1.0 / self.usable_holders(shard).count().max(1) as f64;
        let shards = self.shard_map.shards_of(searcher.cell);
        let load: f64 = shards.map(load_of).sum();
        (load * self.ready_searcher_count / f64::from(self.layout.cells.max(1))).max(1.0)
    }

    /// The holders of a shard that get its parts: those that are up, without the marked ones, which come last.
    fn usable_holders(&self, shard: u32) -> impl Iterator<Item = SearcherIndex> {
        let is_usable = |holder: &SearcherIndex| {
            let state = &self.searchers[*holder];
            state.is_up() && !state.health.marked
        };
        self.shard_map.holders(shard).filter(is_usable)
    }

    /// Computes [`Scan::parts_per_searcher`].
    pub(super) fn set_parts_per_searcher(&mut self, scan: ScanIndex) {
        let Some(parts) = self.scans.get(&scan).map(|scan| &scan.parts) else { return };
        let mut parts_by_searcher: BTreeMap<SearcherIndex, f64> = BTreeMap::new();
        for part in parts {
            let holders: Vec<SearcherIndex> = self.usable_holders(part.shard).collect();
            for holder in &holders {
                *parts_by_searcher.entry(*holder).or_default() += 1.0 / holders.len() as f64;
            }
        }
        let most_parts = parts_by_searcher.into_values().fold(0.0, f64::max);
        if let Some(scan) = self.scans.get_mut(&scan) {
            scan.parts_per_searcher = (most_parts - Self::PARTS_TOLERANCE).ceil().max(1.0);
        }
    }

    /// Share of this mixer's capacity at cold searchers that a table type gets. It is proportional to the
    /// type's benefit times its demand.
    fn capacity_share(&self, table_type: TypeIndex) -> f64 {
        let weighted_demand = |table_type: TypeIndex| {
            self.table_types[table_type].benefit * self.demanded_work_rates[table_type]
        };
        let total: f64 = (0..self.table_types.len()).map(weighted_demand).sum();
        weighted_demand(table_type) / total.max(f64::MIN_POSITIVE)
    }

    /// Whether a scan is one of those that may send parts to cold searchers although this mixer's share of
    /// their capacity is smaller than one part.
    ///
    /// Several mixers share the capacity of a cold searcher without communicating. Each therefore admits only
    /// a fraction of its scans: those whose sampling number is below the fraction. How much work the mixers
    /// admit together in a window is then random. The fraction is chosen so that the mean of this work lies
    /// [`Self::COLD_LOAD_DEVIATIONS`] standard deviations below the limit.
    ///
    /// The limit is the capacity plus what the platform allows beyond it for random fluctuation: for a
    /// capacity of N parts, another `2 * sqrt(N) + 2` parts. All parts of a scan have the same sampling
    /// number, so that a scan of many parts finds capacity for all of them or for none.
    ///
    /// The fraction depends on the work that all mixers would send the searcher. It is derived from this mixer's own
    /// traffic, but is [`Self::MIN_DEMAND`] at least, as a burst reaches all mixers before any of them has seen it;
    /// and it is higher where other holders of the searcher's shards are gone, see [`Self::relative_load`].
    ///
    /// A hedge is not sampled, as it is not a scan of its own. It is admitted only if the limit leaves room
    /// for a hedge of every part. Otherwise the hedges could fill a window when parts are late at many
    /// searchers at once.
    fn is_sampled(
        &self,
        searcher: &SearcherState,
        scan: &Scan,
        is_hedge: bool,
        work_ms: f64,
        capacity_ms: f64,
    ) -> bool {
        let scan_work_ms = scan.parts_per_searcher * work_ms;
        // Parts are counted in those of the table type with the least work: N = capacity / least work.
        let least_work_ms = self.baseline.work_ms.iter().copied().fold(f64::INFINITY, f64::min);
        let limit_ms = capacity_ms + 2.0 * (capacity_ms * least_work_ms).sqrt() + 2.0 * least_work_ms;
        // The number of admitted scans is taken as Poisson distributed, so that its variance is its mean.
        // Each scan brings the work `scan_work`. With `mean` for the mean of the work, the number of scans
        // has the mean `mean / scan_work`, and the work has the variance `mean / scan_work * scan_work^2`, so
        // that its standard deviation is `sqrt(mean * scan_work)`. The highest allowed mean is the one for
        // which `mean + COLD_LOAD_DEVIATIONS * sqrt(mean * scan_work) = limit`, a quadratic equation in
        // `sqrt(mean)`.
        let margin_factor = Self::COLD_LOAD_DEVIATIONS * scan_work_ms.sqrt();
        let doubled_mean_root = (margin_factor * margin_factor + 4.0 * limit_ms).sqrt() - margin_factor;
        let max_mean_ms = doubled_mean_root.powi(2) / 4.0;
        let demanded_work_rate = self.demanded_work_rates.iter().sum::<f64>().max(self.sent_work_rate)
            * self.mixers_per_searcher();
        let demand_ms = Self::TRAFFIC_SURGE
            * demanded_work_rate.max(Self::MIN_DEMAND)
            * self.relative_load(searcher)
            * self.limits.overload_window_ms;
        // The work to expect if all scans were admitted. In a window, each mixer sends a searcher at most the
        // work of one scan and one more part.
        let expected_ms = demand_ms.min(self.mixer_count * (scan_work_ms + work_ms));
        let admitted_share = if is_hedge { Self::HEDGED_TRAFFIC_RATIO } else { scan.sampling_number };
        admitted_share * expected_ms < max_mean_ms
    }
}
