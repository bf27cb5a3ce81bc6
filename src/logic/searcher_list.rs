//! Searchers that a mixer knows: it subscribes to the searcher list, adds, updates and removes searchers, and
//! takes in the reports of other mixers.

use std::net::SocketAddrV4;

use crate::interface::{ListKind, ListedSearcher, PeerReport, SearcherStatus};
use crate::state::{Address, Message, Mixer, SearcherIndex, SearcherMonitor, SearcherState, set_or_push};

impl Mixer {
    /// Wait before a failed subscription is retried for the first time; it doubles with each failure. It is
    /// short enough for a list that becomes available some seconds late.
    const RESUBSCRIBE_MS: f64 = 1000.0;
    /// The wait stops doubling after this many failures in a row.
    const MAX_BACKOFF_FAILURES: u32 = 8;
    /// A failed subscription is retried at least about this many times within
    /// `Permissions::resubscribe_within_ms`, after which the deployment counts changes of the list as
    /// missed.
    const MIN_SUBSCRIPTIONS_PER_PERIOD: f64 = 4.0;

    /// Schedules the next subscription after a failed one, with exponential backoff and jitter. Discovery may
    /// have rejected all mixers at once; the jitter spreads their retries, so that each is accepted as soon
    /// as there is room for it.
    pub(super) fn schedule_subscription(&mut self) {
        self.failed_subscriptions = (self.failed_subscriptions + 1).min(Self::MAX_BACKOFF_FAILURES);
        let within_ms = self.scheduler.permissions.resubscribe_within_ms.unwrap_or(f64::INFINITY);
        let longest_wait_ms = within_ms / Self::MIN_SUBSCRIPTIONS_PER_PERIOD;
        let backoff = f64::from(1 << (self.failed_subscriptions - 1));
        let wait_ms = (Self::RESUBSCRIBE_MS * backoff).min(longest_wait_ms);
        self.subscribe_at = self.turn.now + wait_ms * (0.5 + self.random.rand_float());
    }

    pub(super) fn update_list(&mut self, kind: ListKind, listed: Vec<ListedSearcher>) {
        let is_first = self.scheduler.first_list_at.is_infinite();
        self.failed_subscriptions = 0;
        self.scheduler.first_list_at = self.scheduler.first_list_at.min(self.turn.now);
        if kind != ListKind::Changes {
            // A whole list: searchers that it does not name are gone.
            for searcher in &mut self.scheduler.searchers {
                searcher.status = SearcherStatus::Gone;
            }
        }
        // A searcher that is gone and was never known needs no state.
        let needs_update = |entry: &ListedSearcher| {
            entry.status != SearcherStatus::Gone || self.directory.find(entry.searcher).is_some()
        };
        let entries: Vec<ListedSearcher> = listed.into_iter().filter(needs_update).collect();
        for entry in entries {
            match self.directory.find(entry.searcher) {
                Some(searcher) => self.update_searcher(searcher, entry),
                None => self.add_searcher(entry),
            }
        }
        self.remove_gone_searchers();
        let is_ready = |searcher: &&SearcherState| searcher.status == SearcherStatus::Ready;
        self.scheduler.ready_searcher_count = self.scheduler.searchers.iter().filter(is_ready).count() as f64;
        if is_first {
            // Until there is traffic, all mixers together are assumed to keep one core of each searcher busy.
            self.scheduler.sent_work_rate = self.scheduler.ready_searcher_count / self.scheduler.mixer_count;
        }
    }

    fn add_searcher(&mut self, entry: ListedSearcher) {
        let ListedSearcher { searcher: address, cell, zone, started_at, status } = entry;
        let searcher = self.directory.add(address);
        let monitor = SearcherMonitor::new(searcher, address, zone, self.scheduler.baseline.clone());
        // Of searchers with equal cost, the one with the lowest tie-breaker is preferred: it lies between 0
        // and 1 in the mixer's own zone, and between 1 and 2 in other zones. Within a zone it is random, and
        // another for each mixer, so that the mixers do not all prefer the same searchers.
        let tie_breaker = f64::from(u8::from(zone != self.zone)) + self.random.rand_float();
        let overload_window_ms = self.scheduler.limits.overload_window_ms;
        let state =
            SearcherState::new(address, cell, zone, started_at, status, tie_breaker, overload_window_ms);
        set_or_push(&mut self.monitors, searcher, monitor);
        set_or_push(&mut self.scheduler.searchers, searcher, state);
        self.scheduler.shard_map.add(cell, searcher);
    }

    /// Updates a searcher that is known by its address. A changed start time means that another process runs
    /// there, so that the history of the old one is forgotten.
    fn update_searcher(&mut self, searcher: SearcherIndex, entry: ListedSearcher) {
        let ListedSearcher { cell, started_at, status, .. } = entry;
        let state = &mut self.scheduler.searchers[searcher];
        if state.listed_start_at != started_at && status == SearcherStatus::Ready {
            state.listed_start_at = started_at;
            state.found_start_at = started_at;
            state.concurrency_limit = f64::INFINITY;
            state.leaving = false;
            self.turn.send(Address::monitor(searcher), Message::SearcherRestarted);
        }
        state.status = status;
        let old_cell = std::mem::replace(&mut state.cell, cell);
        self.scheduler.shard_map.remove(old_cell, searcher);
        self.scheduler.shard_map.add(cell, searcher);
    }

    /// Frees the indices of searchers that are gone. Without this the tables would grow with each release of
    /// the searchers, which brings new addresses.
    fn remove_gone_searchers(&mut self) {
        let is_unused = |searcher: SearcherIndex| {
            let state = &self.scheduler.searchers[searcher];
            state.status == SearcherStatus::Gone && state.calls == 0
        };
        for searcher in self.directory.remove_if(is_unused) {
            self.scheduler.shard_map.remove(self.scheduler.searchers[searcher].cell, searcher);
            self.turn.subscribe_to_ticks(Address::monitor(searcher), false);
        }
    }

    /// Handles what another mixer reports of a searcher. A report can only make this mixer probe a searcher,
    /// send it less or send it nothing; it never makes it send more. A wrong or old report can therefore
    /// reduce service, but cannot break a rule. Reports of searchers that this mixer's list does not name are
    /// ignored.
    pub(super) fn handle_peer_report(&mut self, searcher: SocketAddrV4, report: PeerReport) {
        let Some(searcher) = self.directory.find(searcher) else { return };
        let state = &mut self.scheduler.searchers[searcher];
        match report {
            PeerReport::Marked => {
                self.turn.send(Address::monitor(searcher), Message::MarkedByPeers { several: false });
            }
            PeerReport::MarkedBySeveral => {
                self.turn.send(Address::monitor(searcher), Message::MarkedByPeers { several: true });
            }
            PeerReport::Leaving { leaving } => state.leaving = leaving,
            PeerReport::Restarted { started_at } => state.reported_start_at = started_at.min(self.turn.now),
        }
    }
}
