//! The model of a fleet of searchers, for all packages that analyse one without sending anything to it.
//!
//! A [`Fleet`] is built from a mixer's settings ([`MixerConfig`]) and a searcher list as discovery sends it
//! ([`List`]). It never changes; failures are described by [`Conditions`] on top of it. Terms:
//!
//! - **hall**: the location of a searcher (`zone` on the wire).
//! - **set**: searchers that hold the same slices (`group` on the wire, a cell of the layout).
//! - **slice**: a shard of the data. Slices that are held by the same sets form a **class**: every structural
//!   question has the same answer for all of them, so it is evaluated once for the class.
//! - **kind**: searchers that no structural question distinguishes: same hall, set, state and age.
//!
//! Invariants: halls, sets, customers and table types are small indices; a searcher belongs to one hall and
//! one set; the members of a set are ascending; every slice has exactly one class. Nothing here does I/O or
//! makes decisions.

mod conditions;
mod placement;

pub use conditions::{Condition, Conditions};
pub use pewterwharf_settings::nearest_name;
pub use placement::{Class, Placement};

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use anyhow::{Context, Result, bail, ensure};
use fixedbitset::FixedBitSet;
use pewterwharf::interface::SearcherStatus;
use pewterwharf_terms::MixerConfig;
use pewterwharf_terms::list::List;

/// Largest supported fleet: ten times the largest one that the bounds of the analyses were measured with.
pub const MAX_SEARCHERS: usize = 100_000;
/// Largest number of slices that are analysed separately.
pub const MAX_SLICES: u32 = 1 << 20;

/// A searcher as the list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Searcher {
    pub name: String,
    pub hall: usize,
    pub set: u32,
    pub status: SearcherStatus,
    /// When its process started, since 1970; zero for long ago.
    pub started_at_ms: f64,
    /// Age of its last report when the list was written.
    pub age_ms: f64,
}

/// The slices that a customer's scans read.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSlices {
    pub customer: usize,
    pub slices: Vec<RangeInclusive<u32>>,
}

/// A listed fleet with indices over it.
#[derive(Clone, Debug)]
pub struct Fleet {
    config: MixerConfig,
    halls: Vec<String>,
    searchers: Vec<Searcher>,
    by_name: BTreeMap<String, usize>,
    by_hall: Vec<FixedBitSet>,
    by_status: [FixedBitSet; 3],
    /// The searchers of each set.
    members_by_set: Vec<Vec<u32>>,
    placement: Placement,
    customer_slices: Vec<CustomerSlices>,
    /// Why entries of the list were skipped.
    skipped_entries: Vec<String>,
}

fn status_index(status: SearcherStatus) -> usize {
    match status {
        SearcherStatus::Ready => 0,
        SearcherStatus::Draining => 1,
        SearcherStatus::Gone => 2,
    }
}

impl Fleet {
    /// Builds the model. An entry with a set outside the layout can't hold any slice and is skipped; the reason is
    /// recorded. A name that is listed twice is an error, because it is undefined which entry applies.
    ///
    /// # Errors
    /// Names the entry that is listed twice, or the figure that is too large.
    pub fn new(config: MixerConfig, list: &List) -> Result<Self> {
        ensure!(list.entries.len() <= MAX_SEARCHERS, "the list names over {MAX_SEARCHERS} searchers");
        let mut fleet = Self {
            halls: config.zones.clone(),
            searchers: Vec::with_capacity(list.entries.len()),
            by_name: BTreeMap::new(),
            by_hall: Vec::new(),
            by_status: [const { FixedBitSet::new() }; 3],
            members_by_set: vec![Vec::new(); config.layout.cells as usize],
            placement: Placement::from_layout(&config)?,
            customer_slices: Vec::new(),
            skipped_entries: list.bad.clone(),
            config,
        };
        for entry in &list.entries {
            if entry.cell as usize >= fleet.members_by_set.len() {
                let sets = fleet.members_by_set.len();
                let reason =
                    format!("{} is in set {}, but the layout has {sets} sets", entry.name, entry.cell);
                fleet.skipped_entries.push(reason);
                continue;
            }
            let hall = fleet.hall_index(&entry.zone);
            let index = fleet.searchers.len();
            if fleet.by_name.insert(entry.name.clone(), index).is_some() {
                bail!("{} is listed twice", entry.name);
            }
            fleet.members_by_set[entry.cell as usize].push(index as u32);
            fleet.searchers.push(Searcher {
                name: entry.name.clone(),
                hall,
                set: entry.cell,
                status: entry.life,
                started_at_ms: entry.since,
                age_ms: entry.age_ms,
            });
        }
        fleet.build_indices();
        Ok(fleet)
    }

    /// The index of a hall, which is added if the settings don't name it.
    fn hall_index(&mut self, name: &str) -> usize {
        self.halls.iter().position(|hall| hall == name).unwrap_or_else(|| {
            self.halls.push(name.to_owned());
            self.halls.len() - 1
        })
    }

    fn build_indices(&mut self) {
        let count = self.searchers.len();
        self.by_hall = vec![FixedBitSet::with_capacity(count); self.halls.len()];
        self.by_status = std::array::from_fn(|_| FixedBitSet::with_capacity(count));
        for (index, searcher) in self.searchers.iter().enumerate() {
            self.by_hall[searcher.hall].insert(index);
            self.by_status[status_index(searcher.status)].insert(index);
        }
    }

    /// States which slices a customer's scans read. Several calls for one customer add up.
    ///
    /// # Errors
    /// Names a customer that the settings don't contain, with the nearest that they do, or a range out of
    /// bounds.
    pub fn add_customer_slices(&mut self, customer: &str, slices: RangeInclusive<u32>) -> Result<()> {
        let index = self.customer(customer)?;
        let count = self.slices();
        ensure!(slices.start() <= slices.end(), "slices {} to {} are none", slices.start(), slices.end());
        ensure!(*slices.end() < count, "slice {} is not among the {count} of the layout", slices.end());
        match self.customer_slices.iter_mut().find(|owned| owned.customer == index) {
            Some(owned) => owned.slices.push(slices),
            None => self.customer_slices.push(CustomerSlices { customer: index, slices: vec![slices] }),
        }
        Ok(())
    }

    /// The same searchers with another placement, as between two steps of a migration. `sets` contains the
    /// new set of each searcher.
    ///
    /// # Errors
    /// If a set is not part of the placement.
    pub fn with_placement(&self, placement: Placement, sets: &[u32]) -> Result<Self> {
        ensure!(
            sets.len() == self.searchers.len(),
            "{} sets for {} searchers",
            sets.len(),
            self.searchers.len()
        );
        let mut fleet = self.clone();
        fleet.members_by_set = vec![Vec::new(); placement.sets()];
        for (index, (searcher, set)) in fleet.searchers.iter_mut().zip(sets).enumerate() {
            searcher.set = *set;
            let members = fleet.members_by_set.get_mut(*set as usize);
            members.with_context(|| format!("set {set} is not in the placement"))?.push(index as u32);
        }
        fleet.placement = placement;
        Ok(fleet)
    }

    pub fn config(&self) -> &MixerConfig {
        &self.config
    }

    pub fn searchers(&self) -> &[Searcher] {
        &self.searchers
    }

    pub fn halls(&self) -> &[String] {
        &self.halls
    }

    /// The searchers in a hall.
    pub fn in_hall(&self, hall: usize) -> &FixedBitSet {
        &self.by_hall[hall]
    }

    /// The searchers that the list has in this state.
    pub fn in_state(&self, status: SearcherStatus) -> &FixedBitSet {
        &self.by_status[status_index(status)]
    }

    /// The searchers of a set, ascending; none if the set is not in the layout.
    pub fn members(&self, set: u32) -> &[u32] {
        self.members_by_set.get(set as usize).map_or(&[], Vec::as_slice)
    }

    /// Number of sets in the layout.
    pub fn sets(&self) -> usize {
        self.members_by_set.len()
    }

    /// Number of slices. If the settings don't state it, one for each set, as all further ones are placed
    /// like these.
    pub fn slices(&self) -> u32 {
        self.placement.slices()
    }

    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    pub fn customer_slices(&self) -> &[CustomerSlices] {
        &self.customer_slices
    }

    /// Why entries of the list were skipped.
    pub fn skipped_entries(&self) -> &[String] {
        &self.skipped_entries
    }

    /// All searchers that hold a slice, whatever their state: each once, ascending by set.
    pub fn holders(&self, slice: u32) -> impl Iterator<Item = u32> + '_ {
        self.placement.sets_of_slice(slice).iter().flat_map(|set| self.members(*set)).copied()
    }

    /// Whether a customer's scans read a slice.
    pub fn customer_reads(&self, customer: usize, slice: u32) -> bool {
        let mut owned = self.customer_slices.iter().filter(|owned| owned.customer == customer);
        owned.any(|owned| owned.slices.iter().any(|range| range.contains(&slice)))
    }

    /// The load that each slice causes: each customer's scan rate is divided equally among the slices that it
    /// reads. All weights are one if no customer's slices are stated.
    pub fn weights(&self) -> Vec<f64> {
        let count = self.slices() as usize;
        if self.customer_slices.is_empty() {
            return vec![1.0; count];
        }
        let mut weights = vec![0.0; count];
        for owned in &self.customer_slices {
            let reads = |slice: &usize| owned.slices.iter().any(|range| range.contains(&(*slice as u32)));
            let read: Vec<usize> = (0..count).filter(reads).collect();
            let share = self.config.customers[owned.customer].scans_per_s / read.len().max(1) as f64;
            read.into_iter().for_each(|slice| weights[slice] += share);
        }
        weights
    }

    /// # Errors
    /// Suggests the hall with the most similar name.
    pub fn hall(&self, name: &str) -> Result<usize> {
        find("hall", name, &self.halls)
    }

    /// # Errors
    /// Suggests the customer with the most similar name.
    pub fn customer(&self, name: &str) -> Result<usize> {
        find("customer", name, &self.config.customer_names)
    }

    /// # Errors
    /// Suggests the table type with the most similar name.
    pub fn table_type(&self, name: &str) -> Result<usize> {
        find("table type", name, &self.config.table_type_names)
    }

    /// # Errors
    /// Suggests the searcher with the most similar name.
    pub fn searcher(&self, name: &str) -> Result<usize> {
        match self.by_name.get(name) {
            Some(index) => Ok(*index),
            None => bail!("{}", unknown_name("searcher", name, self.by_name.keys().map(String::as_str))),
        }
    }
}

fn find(what: &str, name: &str, known: &[String]) -> Result<usize> {
    match known.iter().position(|n| n == name) {
        Some(index) => Ok(index),
        None => bail!("{}", unknown_name(what, name, known.iter().map(String::as_str))),
    }
}

fn unknown_name<'a>(what: &str, name: &str, known: impl Iterator<Item = &'a str>) -> String {
    match nearest_name(name, known) {
        Some(similar) => format!("no {what} is called \"{name}\"; did you mean \"{similar}\"?"),
        None => format!("no {what} is called \"{name}\""),
    }
}
