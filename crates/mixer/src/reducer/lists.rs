//! The reducer's part for the searcher list: which list counts, what it changes, and the configuration that names its place.

use std::collections::HashMap;

use pewterwharf::interface::{DispatchOutcome, Event, ListKind, ListedSearcher, SearcherStatus};
use pewterwharf_terms::ConfigChange;
use pewterwharf_terms::list::{Entry, List};
use tracing::info;

use super::Reducer;
use super::held::Searcher;
use super::rules::LinkCloseReason;
use crate::inputs::{Effect, Phase};

/// What a list is against the one that is held.
#[derive(Clone, Copy, PartialEq)]
enum News {
    Newer,
    /// Of the same place, by its number.
    Older,
    /// The first of another place: its versions are numbered anew, and it may not have heard all that the last one told.
    OtherPlace,
}

impl Reducer {
    /// A list counts unless a newer watch has spoken (that one may number its versions differently), or one
    /// that never spoke has been replaced since.
    pub(super) fn watched(&mut self, now: f64, watch: u64, list: List) {
        if watch != self.watch && watch != self.watch_wanted {
            self.counters.lists_late += 1;
            return;
        }
        let mut news = News::Newer;
        if watch > self.watch {
            self.watch = watch;
            info!("watch {watch} has spoken");
            self.effects.push(Effect::WatchActivated { watch });
            news = News::OtherPlace;
        } else if list.index < self.list_index {
            self.counters.lists_older += 1;
            news = News::Older;
        }
        match list.whole {
            true => self.cached = None,
            false => self.use_cached_list(now),
        }
        // Who came after an older list was made is not gone for not being in it.
        let whole = list.whole && news != News::Older;
        self.listed(now, list, if whole { ListKind::Full } else { ListKind::Changes }, news);
    }

    /// Goes by the list held before the start, unless a newer has come.
    pub(super) fn use_cached_list(&mut self, now: f64) {
        if let Some(list) = self.cached.take() {
            self.listed(now, list, ListKind::Cached, News::Newer);
        }
    }

    /// A new configuration moves the watch; what else it changes counts from the next start.
    pub(super) fn reloaded(&mut self, now: f64, change: Result<ConfigChange, String>) {
        let change = match change {
            Ok(change) => change,
            Err(why) => {
                self.counters.reloads_failed += 1;
                return self.warn(now, &format!("the configuration stays as it is: {why}"));
            }
        };
        self.counters.reloads += 1;
        info!("the configuration was read anew, discovery is at {}", change.discovery);
        if !change.needs_restart.is_empty() {
            let keys = change.needs_restart.join(", ");
            self.warn(now, &format!("{keys} changed in the configuration: they count from the next start"));
        }
        if self.discovery.replace(change.discovery) != Some(change.discovery) {
            self.watch_wanted += 1;
            self.effects.push(Effect::StartWatch { number: self.watch_wanted, addr: change.discovery });
        }
    }

    fn listed(&mut self, now: f64, list: List, kind: ListKind, news: News) {
        self.counters.lists += 1;
        self.counters.list_entries_bad += list.bad.len() as u64;
        self.list_index = if news == News::Older { self.list_index } else { list.index };
        list.bad.iter().for_each(|why| self.warn(now, &format!("discovery: {why}")));
        let left = |s: &Searcher| match news {
            News::Newer => false,
            News::OtherPlace => s.life == SearcherStatus::Draining,
            News::Older => s.life != SearcherStatus::Ready,
        };
        let left: HashMap<String, (f64, SearcherStatus)> =
            self.srvs.values().filter(|s| left(s)).map(|s| (s.name.clone(), (s.since, s.life))).collect();
        let mut ready = Vec::new();
        if kind != ListKind::Changes {
            ready.extend(self.srvs.iter().filter(|s| s.1.life == SearcherStatus::Ready).map(|s| *s.0));
            self.srvs.values_mut().for_each(|s| s.life = SearcherStatus::Gone);
        }
        let mut lines = Vec::with_capacity(list.entries.len());
        for mut entry in list.entries {
            // A drain was told: a list made before that, or by another place that has not heard of it, takes nothing back.
            if let Some((since, life)) = left.get(&entry.name)
                && entry.life == SearcherStatus::Ready
                && entry.since <= *since
            {
                entry.life = *life;
            }
            lines.extend(self.entry(entry));
        }
        ready.iter().filter_map(|key| self.srvs.get(key)).for_each(Searcher::log_if_left);
        // What waits for a connection to one that takes nothing new is not sent.
        let unsent = self.attempts.iter().filter(|(_, f)| f.frame.is_none());
        let off =
            unsent.filter(|(_, f)| self.srvs.get(&f.srv).is_none_or(|s| s.life != SearcherStatus::Ready));
        for attempt_id in off.map(|f| *f.0).collect::<Vec<_>>() {
            self.end_attempt(now, attempt_id, DispatchOutcome::Moot);
        }
        self.events.push(Event::List { kind, searchers: lines });
        // Who is gone and has nothing open is forgotten, as releases bring new ones.
        self.srvs.retain(|_, s| s.life != SearcherStatus::Gone || !s.links.is_empty());
        self.names.retain(|_, key| self.srvs.contains_key(key));
        if self.phase == Phase::Starting && self.srvs.values().any(|s| s.life == SearcherStatus::Ready) {
            self.enter(Phase::Ready);
        }
    }

    /// A searcher is known by its name; the module knows it by the first address under which it was listed.
    pub(super) fn entry(&mut self, entry: Entry) -> Option<ListedSearcher> {
        let Entry { name, addr, zone, cell, since, life, .. } = entry;
        let key = match self.names.get(&name) {
            Some(key) => *key,
            None if life == SearcherStatus::Gone => return None,
            None => {
                let mut key = addr;
                while self.srvs.contains_key(&key) {
                    key.set_port(key.port().wrapping_add(1));
                }
                self.names.insert(name.clone(), key);
                let srv = Searcher { name, addr, life, since, links: Vec::new() };
                self.srvs.insert(key, srv);
                key
            }
        };
        let zone = self.terms.zones.iter().position(|z| *z == zone).unwrap_or(self.terms.zones.len()) as u16;
        let srv = self.srvs.get_mut(&key)?;
        let was_ready = srv.life == SearcherStatus::Ready;
        (srv.life, srv.since) = (life, since);
        if was_ready {
            srv.log_if_left();
        }
        if srv.addr != addr && life != SearcherStatus::Gone {
            info!("{} has moved from {} to {addr}", srv.name, srv.addr);
            srv.addr = addr;
            // Links to where it was take nothing new, and close once nothing is out on them.
            for link in srv.links.clone() {
                self.close_link(link, LinkCloseReason::Moved);
            }
        }
        Some(ListedSearcher { searcher: key, cell, zone, started_at: since, status: life })
    }
}
