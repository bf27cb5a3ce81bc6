//! The searcher list: which list is used and what it changes, and the configuration that names the place of
//! discovery.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use pewterwharf::interface::{DispatchOutcome, Event, ListKind, ListedSearcher, SearcherStatus};
use pewterwharf_terms::ConfigChange;
use pewterwharf_terms::list::{Entry, List};
use tracing::info;

use super::Reducer;
use super::rules::LinkCloseReason;
use super::state::Searcher;
use crate::clock::UnixMs;
use crate::inputs::{Effect, Phase, WatchNumber};

/// How a list relates to the one that is held.
#[derive(Clone, Copy, PartialEq)]
enum ListAge {
    Newer,
    /// From the same discovery service, with a smaller version.
    Older,
    /// The first from another discovery service. Its versions are numbered independently, and it may not know
    /// of all changes that the previous one reported.
    OtherService,
}

/// A searcher's process that was reported to drain or to be gone.
struct Departure {
    started_at: UnixMs,
    status: SearcherStatus,
}

impl Reducer {
    /// Handles a list from a watch. It is ignored if a newer watch has sent one (which may number its
    /// versions differently), or if its watch was replaced before it sent any.
    pub(super) fn receive_list(&mut self, now: UnixMs, watch: WatchNumber, list: List) {
        if watch != self.active_watch && watch != self.newest_watch {
            self.counters.lists_late += 1;
            return;
        }
        let mut age = ListAge::Newer;
        if watch > self.active_watch {
            self.active_watch = watch;
            info!("watch {watch} has spoken");
            self.effects.push(Effect::WatchActivated { watch });
            age = ListAge::OtherService;
        } else if list.index < self.list_index {
            self.counters.lists_older += 1;
            age = ListAge::Older;
        }
        match list.whole {
            true => self.cached_list = None,
            false => self.use_cached_list(now),
        }
        // A searcher that is missing in an older list may have been added since.
        let whole = list.whole && age != ListAge::Older;
        self.apply_list(now, list, if whole { ListKind::Full } else { ListKind::Changes }, age);
    }

    /// Applies the list held before the start, unless a newer one has arrived.
    pub(super) fn use_cached_list(&mut self, now: UnixMs) {
        if let Some(list) = self.cached_list.take() {
            self.apply_list(now, list, ListKind::Cached, ListAge::Newer);
        }
    }

    /// Applies a new configuration: a new place of discovery at once, anything else at the next start.
    pub(super) fn reload_config(&mut self, now: UnixMs, change: Result<ConfigChange, String>) {
        let change = match change {
            Ok(change) => change,
            Err(reason) => {
                self.counters.reloads_failed += 1;
                return self.warn(now, &format!("the configuration stays as it is: {reason}"));
            }
        };
        self.counters.reloads += 1;
        info!("the configuration was read anew, discovery is at {}", change.discovery);
        if !change.needs_restart.is_empty() {
            let keys = change.needs_restart.join(", ");
            self.warn(now, &format!("{keys} changed in the configuration: they count from the next start"));
        }
        if self.discovery.replace(change.discovery) != Some(change.discovery) {
            self.newest_watch += 1;
            self.effects.push(Effect::StartWatch { number: self.newest_watch, address: change.discovery });
        }
    }

    fn apply_list(&mut self, now: UnixMs, list: List, kind: ListKind, age: ListAge) {
        self.counters.lists += 1;
        self.counters.list_entries_bad += list.bad.len() as u64;
        self.list_index = if age == ListAge::Older { self.list_index } else { list.index };
        for reason in &list.bad {
            self.warn(now, &format!("discovery: {reason}"));
        }
        let departures = self.departures_unknown_to(age);
        let mut were_ready = Vec::new();
        if kind != ListKind::Changes {
            were_ready
                .extend(self.searchers.iter().filter(|s| s.1.status == SearcherStatus::Ready).map(|s| *s.0));
            self.searchers.values_mut().for_each(|s| s.status = SearcherStatus::Gone);
        }
        let mut listed = Vec::with_capacity(list.entries.len());
        for mut entry in list.entries {
            if let Some(departure) = departures.get(&entry.name)
                && entry.life == SearcherStatus::Ready
                && entry.since <= departure.started_at
            {
                entry.life = departure.status;
            }
            listed.extend(self.update_searcher(entry));
        }
        were_ready.iter().filter_map(|key| self.searchers.get(key)).for_each(Searcher::log_if_left);
        self.end_unsent_to_departed(now);
        self.events.push(Event::List { kind, searchers: listed });
        // Searchers that are gone and have no open links are removed, as each release brings new ones.
        self.searchers.retain(|_, s| s.status != SearcherStatus::Gone || !s.links.is_empty());
        self.keys_by_name.retain(|_, key| self.searchers.contains_key(key));
        if self.phase == Phase::Starting && self.searchers.values().any(|s| s.status == SearcherStatus::Ready)
        {
            self.enter_phase(Phase::Ready);
        }
    }

    /// The departures, by name, that a list of this age may not know of. A drain that was reported is not
    /// undone by a list that was made before it, or by another discovery service that has not learned of it.
    fn departures_unknown_to(&self, age: ListAge) -> HashMap<String, Departure> {
        let is_unknown = |searcher: &&Searcher| match age {
            ListAge::Newer => false,
            ListAge::OtherService => searcher.status == SearcherStatus::Draining,
            ListAge::Older => searcher.status != SearcherStatus::Ready,
        };
        let unknown = self.searchers.values().filter(is_unknown);
        unknown.map(|s| (s.name.clone(), Departure { started_at: s.started_at, status: s.status })).collect()
    }

    /// Ends the attempts that still wait for a connection to a searcher that takes no new calls.
    fn end_unsent_to_departed(&mut self, now: UnixMs) {
        let unsent = self.attempts.iter().filter(|(_, attempt)| attempt.frame.is_none());
        let to_departed = unsent.filter(|(_, attempt)| {
            self.searchers
                .get(&attempt.searcher)
                .is_none_or(|searcher| searcher.status != SearcherStatus::Ready)
        });
        for attempt_id in to_departed.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.end_attempt(now, attempt_id, DispatchOutcome::Moot);
        }
    }

    /// Updates a searcher from its entry in a list. It is identified by its name here, and by the first
    /// address under which it was listed in the decision module.
    fn update_searcher(&mut self, entry: Entry) -> Option<ListedSearcher> {
        let Entry { name, addr: address, zone, cell, since: started_at, life: status, .. } = entry;
        let key = match self.keys_by_name.get(&name) {
            Some(key) => *key,
            None if status == SearcherStatus::Gone => return None,
            None => self.add_searcher(Searcher { name, address, status, started_at, links: Vec::new() }),
        };
        let zone =
            self.config.zones.iter().position(|z| *z == zone).unwrap_or(self.config.zones.len()) as u16;
        let searcher = self.searchers.get_mut(&key)?;
        let was_ready = searcher.status == SearcherStatus::Ready;
        searcher.status = status;
        searcher.started_at = started_at;
        if was_ready {
            searcher.log_if_left();
        }
        if searcher.address != address && status != SearcherStatus::Gone {
            info!("{} has moved from {} to {address}", searcher.name, searcher.address);
            searcher.address = address;
            // Links to the former address get nothing new, and close once nothing is open on them.
            for link in searcher.links.clone() {
                self.close_link(link, LinkCloseReason::Moved);
            }
        }
        Some(ListedSearcher { searcher: key, cell, zone, started_at, status })
    }

    /// Adds a searcher under the first free address from its own on, by which the decision module knows it.
    fn add_searcher(&mut self, searcher: Searcher) -> SocketAddrV4 {
        let mut key = searcher.address;
        while self.searchers.contains_key(&key) {
            key.set_port(key.port().wrapping_add(1));
        }
        self.keys_by_name.insert(searcher.name.clone(), key);
        self.searchers.insert(key, searcher);
        key
    }
}
