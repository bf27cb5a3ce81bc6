//! The one model of a fleet, for all packages that ask questions of it without sending anything.
//!
//! A [`Fleet`] is built from what a mixer is told at its start ([`MixerConfig`]) and a list in discovery's form
//! ([`List`]). It never changes: a question under a failure lays a [`Conditions`] over it. Words:
//!
//! - **hall**: where a searcher stands (`zone` on the wire).
//! - **set**: searchers that hold the same slices (`group` on the wire, a cell of the layout).
//! - **slice**: a shard of the data. Slices that the same sets hold are one **class**: every structural question
//!   has the same answer for all of them, so it is asked once a class.
//! - **kind**: searchers that no structural question can tell apart: same hall, set, life and age.
//!
//! Invariants: halls, sets, customers and table types are small indices; a searcher belongs to one hall and one
//! set; the members of a set are ascending; every slice has exactly one class. Nothing here does I/O or decides.

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

/// Most searchers that a fleet may have: ten times the largest that the bounds below were measured with.
pub const MAX_SEARCHERS: usize = 100_000;
/// Most slices that are told apart.
pub const MAX_SLICES: u32 = 1 << 20;

/// One searcher as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Searcher {
    pub name: String,
    pub hall: usize,
    pub set: u32,
    pub life: SearcherStatus,
    /// When its process started, in milliseconds since 1970; zero means long ago.
    pub since: f64,
    /// How old the word of it was when the list was written, in milliseconds.
    pub age_ms: f64,
}

/// Slices of a customer: inclusive ranges.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSlices {
    pub customer: usize,
    pub slices: Vec<RangeInclusive<u32>>,
}

/// A fleet as it is listed, with indexes over it.
#[derive(Clone, Debug)]
pub struct Fleet {
    terms: MixerConfig,
    halls: Vec<String>,
    searchers: Vec<Searcher>,
    by_name: BTreeMap<String, usize>,
    by_hall: Vec<FixedBitSet>,
    by_life: [FixedBitSet; 3],
    /// Members of each set.
    sets: Vec<Vec<u32>>,
    holding: Placement,
    owned: Vec<CustomerSlices>,
    /// Why entries of the list were passed over.
    passed_over: Vec<String>,
}

fn rank(life: SearcherStatus) -> usize {
    match life {
        SearcherStatus::Ready => 0,
        SearcherStatus::Draining => 1,
        SearcherStatus::Gone => 2,
    }
}

impl Fleet {
    /// Builds the model. An entry that names a set outside the layout can hold nothing; it is passed over with
    /// its reason. A name listed twice is refused: which of the two counts would be chance.
    ///
    /// # Errors
    /// Names the entry that is listed twice, or the figure that is too large.
    pub fn new(terms: MixerConfig, list: &List) -> Result<Self> {
        ensure!(list.entries.len() <= MAX_SEARCHERS, "the list names over {MAX_SEARCHERS} searchers");
        let mut fleet = Self {
            halls: terms.zones.clone(),
            searchers: Vec::with_capacity(list.entries.len()),
            by_name: BTreeMap::new(),
            by_hall: Vec::new(),
            by_life: [const { FixedBitSet::new() }; 3],
            sets: vec![Vec::new(); terms.layout.cells as usize],
            holding: Placement::of(&terms)?,
            owned: Vec::new(),
            passed_over: list.bad.clone(),
            terms,
        };
        for entry in &list.entries {
            if entry.cell as usize >= fleet.sets.len() {
                let sets = fleet.sets.len();
                fleet.passed_over.push(format!("{} stands in set {} of {sets}", entry.name, entry.cell));
                continue;
            }
            let hall = fleet.halls.iter().position(|h| *h == entry.zone).unwrap_or_else(|| {
                fleet.halls.push(entry.zone.clone());
                fleet.halls.len() - 1
            });
            let at = fleet.searchers.len();
            if fleet.by_name.insert(entry.name.clone(), at).is_some() {
                bail!("{} is listed twice", entry.name);
            }
            fleet.sets[entry.cell as usize].push(at as u32);
            fleet.searchers.push(Searcher {
                name: entry.name.clone(),
                hall,
                set: entry.cell,
                life: entry.life,
                since: entry.since,
                age_ms: entry.age_ms,
            });
        }
        fleet.index();
        Ok(fleet)
    }

    fn index(&mut self) {
        let all = self.searchers.len();
        self.by_hall = vec![FixedBitSet::with_capacity(all); self.halls.len()];
        self.by_life = std::array::from_fn(|_| FixedBitSet::with_capacity(all));
        for (at, searcher) in self.searchers.iter().enumerate() {
            self.by_hall[searcher.hall].insert(at);
            self.by_life[rank(searcher.life)].insert(at);
        }
    }

    /// States which slices a customer's scans read; stated again, they add up.
    ///
    /// # Errors
    /// Names the customer that the terms don't have, with the nearest that they do, or a range out of bounds.
    pub fn add_customer_slices(&mut self, customer: &str, slices: RangeInclusive<u32>) -> Result<()> {
        let index = self.customer(customer)?;
        let count = self.slices();
        ensure!(slices.start() <= slices.end(), "slices {} to {} are none", slices.start(), slices.end());
        ensure!(*slices.end() < count, "slice {} is not among the {count} of the layout", slices.end());
        match self.owned.iter_mut().find(|o| o.customer == index) {
            Some(owned) => owned.slices.push(slices),
            None => self.owned.push(CustomerSlices { customer: index, slices: vec![slices] }),
        }
        Ok(())
    }

    /// The same searchers under another holding, as between two steps of a season's change. `sets` says which set
    /// each searcher belongs to now.
    ///
    /// # Errors
    /// If a searcher's set is not one of the holding's.
    pub fn with_placement(&self, holding: Placement, sets: &[u32]) -> Result<Self> {
        ensure!(
            sets.len() == self.searchers.len(),
            "{} sets for {} searchers",
            sets.len(),
            self.searchers.len()
        );
        let mut fleet = self.clone();
        fleet.sets = vec![Vec::new(); holding.sets()];
        for (at, (searcher, set)) in fleet.searchers.iter_mut().zip(sets).enumerate() {
            searcher.set = *set;
            let members = fleet.sets.get_mut(*set as usize);
            members.with_context(|| format!("set {set} is not in the holding"))?.push(at as u32);
        }
        fleet.holding = holding;
        Ok(fleet)
    }

    pub fn terms(&self) -> &MixerConfig {
        &self.terms
    }

    pub fn searchers(&self) -> &[Searcher] {
        &self.searchers
    }

    pub fn halls(&self) -> &[String] {
        &self.halls
    }

    /// Searchers of a hall.
    pub fn in_hall(&self, hall: usize) -> &FixedBitSet {
        &self.by_hall[hall]
    }

    /// Searchers that the list has in that state.
    pub fn in_state(&self, life: SearcherStatus) -> &FixedBitSet {
        &self.by_life[rank(life)]
    }

    /// Members of a set, ascending; none of a set that is not in the layout.
    pub fn members(&self, set: u32) -> &[u32] {
        self.sets.get(set as usize).map_or(&[], Vec::as_slice)
    }

    /// Number of sets in the layout.
    pub fn sets(&self) -> usize {
        self.sets.len()
    }

    /// Number of slices; where the terms don't say, one a set, as all further ones lie as these do.
    pub fn slices(&self) -> u32 {
        self.holding.slices()
    }

    pub fn placement(&self) -> &Placement {
        &self.holding
    }

    pub fn customer_slices(&self) -> &[CustomerSlices] {
        &self.owned
    }

    /// Why entries of the list were passed over.
    pub fn skipped_entries(&self) -> &[String] {
        &self.passed_over
    }

    /// All searchers that hold a slice, whatever their state: ascending by set, each once.
    pub fn holders(&self, slice: u32) -> impl Iterator<Item = u32> + '_ {
        self.holding.sets_of_slice(slice).iter().flat_map(|set| self.members(*set)).copied()
    }

    /// Whether a customer's scans read that slice.
    pub fn customer_reads(&self, customer: usize, slice: u32) -> bool {
        self.owned.iter().any(|o| o.customer == customer && o.slices.iter().any(|r| r.contains(&slice)))
    }

    /// What a slice weighs in the load: of each customer that reads it, an equal part of what its scans come to;
    /// one, where no customer's slices are stated.
    pub fn weights(&self) -> Vec<f64> {
        let count = self.slices() as usize;
        if self.owned.is_empty() {
            return vec![1.0; count];
        }
        let mut weights = vec![0.0; count];
        for owned in &self.owned {
            let read: Vec<usize> =
                (0..count).filter(|s| owned.slices.iter().any(|r| r.contains(&(*s as u32)))).collect();
            let share = self.terms.customers[owned.customer].scans_per_s / read.len().max(1) as f64;
            read.into_iter().for_each(|slice| weights[slice] += share);
        }
        weights
    }

    /// # Errors
    /// Names the nearest hall there is.
    pub fn hall(&self, name: &str) -> Result<usize> {
        find("hall", name, &self.halls)
    }

    /// # Errors
    /// Names the nearest customer there is.
    pub fn customer(&self, name: &str) -> Result<usize> {
        find("customer", name, &self.terms.customer_names)
    }

    /// # Errors
    /// Names the nearest table type there is.
    pub fn table_type(&self, name: &str) -> Result<usize> {
        find("table type", name, &self.terms.table_type_names)
    }

    /// # Errors
    /// Names the nearest searcher there is.
    pub fn searcher(&self, name: &str) -> Result<usize> {
        match self.by_name.get(name) {
            Some(at) => Ok(*at),
            None => bail!("{}", unknown("searcher", name, self.by_name.keys().map(String::as_str))),
        }
    }
}

fn find(what: &str, name: &str, among: &[String]) -> Result<usize> {
    match among.iter().position(|n| n == name) {
        Some(at) => Ok(at),
        None => bail!("{}", unknown(what, name, among.iter().map(String::as_str))),
    }
}

fn unknown<'a>(what: &str, name: &str, among: impl Iterator<Item = &'a str>) -> String {
    match nearest_name(name, among) {
        Some(other) => format!("no {what} is called \"{name}\"; did you mean \"{other}\"?"),
        None => format!("no {what} is called \"{name}\""),
    }
}
