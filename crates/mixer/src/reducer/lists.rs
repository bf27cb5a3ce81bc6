//! The searcher list: which of the received lists is used, and what it changes. New configurations are handled
//! here as well, as they may change the address of discovery.

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
            info!("watch {watch} has sent its first list");
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
        // An older whole list is applied like changes: a searcher that it lacks may have been added since.
        let is_full = list.whole && age != ListAge::Older;
        self.apply_list(now, list, if is_full { ListKind::Full } else { ListKind::Changes }, age);
    }

    /// Applies the cached list from before the start, unless a newer one has arrived.
    pub(super) fn use_cached_list(&mut self, now: UnixMs) {
        if let Some(list) = self.cached_list.take() {
            self.apply_list(now, list, ListKind::Cached, ListAge::Newer);
        }
    }

    /// Applies a new configuration. A new address of discovery takes effect at once, any other change at the
    /// next start.
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
            self.warn(
                now,
                &format!("{keys} changed in the configuration: they take effect at the next start"),
            );
        }
        if self.discovery.replace(change.discovery) != Some(change.discovery) {
            self.newest_watch += 1;
            self.effects.push(Effect::StartWatch { number: self.newest_watch, address: change.discovery });
        }
    }

    /// Applies a list to the searchers and passes it to the decision module.
    fn apply_list(&mut self, now: UnixMs, list: List, kind: ListKind, age: ListAge) {
        self.counters.lists += 1;
        self.counters.list_entries_bad += list.bad.len() as u64;
        if age != ListAge::Older {
            self.list_index = list.index;
        }
        for reason in &list.bad {
            self.warn(now, &format!("discovery: {reason}"));
        }
        let departures = self.departures_unknown_to(age);
        let were_ready = if kind == ListKind::Changes { Vec::new() } else { self.mark_all_gone() };
        let listed = self.update_searchers(list.entries, &departures);
        // Logged once all entries are applied, as the list may contain the searcher.
        were_ready.iter().filter_map(|key| self.searchers.get(key)).for_each(Searcher::log_if_left);
        self.end_unsent_to_departed(now);
        self.events.push(Event::List { kind, searchers: listed });
        self.remove_unlinked_gone_searchers();
        let has_ready = self.searchers.values().any(|searcher| searcher.status == SearcherStatus::Ready);
        if self.phase == Phase::Starting && has_ready {
            self.enter_phase(Phase::Ready);
        }
    }

    /// Marks all searchers as gone, before the entries of a whole list are applied. Returns the keys of those
    /// that were ready.
    fn mark_all_gone(&mut self) -> Vec<SocketAddrV4> {
        let mut were_ready = Vec::new();
        for (key, searcher) in &mut self.searchers {
            if searcher.status == SearcherStatus::Ready {
                were_ready.push(*key);
            }
            searcher.status = SearcherStatus::Gone;
        }
        were_ready
    }

    /// Updates the searchers from the entries of a list. An entry that lists a searcher as ready does not undo
    /// its departure, unless the entry is of a later process of that searcher.
    fn update_searchers(
        &mut self,
        entries: Vec<Entry>,
        departures: &HashMap<String, Departure>,
    ) -> Vec<ListedSearcher> {
        let mut listed = Vec::with_capacity(entries.len());
        for mut entry in entries {
            if let Some(departure) = departures.get(&entry.name)
                && entry.life == SearcherStatus::Ready
                && entry.since <= departure.started_at
            {
                entry.life = departure.status;
            }
            listed.extend(self.update_searcher(entry));
        }
        listed
    }

    /// Removes the searchers that are gone and have no open links. Each release brings new searchers, so they
    /// would accumulate.
    fn remove_unlinked_gone_searchers(&mut self) {
        self.searchers.retain(|_, s| s.status != SearcherStatus::Gone || !s.links.is_empty());
        self.keys_by_name.retain(|_, key| self.searchers.contains_key(key));
    }

    /// The departures, by searcher name, that a list of this age may not contain yet. A reported drain is not
    /// undone by an older list, or by the list of another discovery service that has not learned of the drain.
    fn departures_unknown_to(&self, age: ListAge) -> HashMap<String, Departure> {
        let is_unknown = |searcher: &&Searcher| match age {
            ListAge::Newer => false,
            ListAge::OtherService => searcher.status == SearcherStatus::Draining,
            ListAge::Older => searcher.status != SearcherStatus::Ready,
        };
        let unknown = self.searchers.values().filter(is_unknown);
        unknown.map(|s| (s.name.clone(), Departure { started_at: s.started_at, status: s.status })).collect()
    }

    /// Ends the unsent attempts at searchers that accept no new calls any more.
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

    /// Updates a searcher from its entry in a list, and returns what is passed to the decision module; `None`
    /// if an unknown searcher is listed as gone. Lists identify a searcher by its name, the decision module by
    /// the address under which it was first listed.
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

    /// Adds a searcher, and returns the address by which the decision module identifies it: its own, or if
    /// another searcher has that one, the same with the next free port.
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
