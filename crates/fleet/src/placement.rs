//! Which sets hold which slices.

use std::collections::BTreeMap;

use anyhow::{Result, ensure};
use pewterwharf_terms::MixerConfig;

use crate::MAX_SLICES;

/// Index of a class of slices that the same sets hold.
pub type Class = usize;

/// Which sets hold each slice, by class. All sets of a class are ascending and told once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    sets: usize,
    classes: Vec<Vec<u32>>,
    class_of: Vec<Class>,
    /// The slices of each class, ascending.
    slices_of: Vec<Vec<u32>>,
}

impl Placement {
    /// The layout's: a slice is held by `reach` sets in a row, the first by its number.
    ///
    /// # Errors
    /// If the terms state more slices than are told apart.
    pub fn of(terms: &MixerConfig) -> Result<Self> {
        let layout = &terms.layout;
        // Where no number of slices is stated, they repeat with the sets.
        let slices = if terms.shard_count == u32::MAX { layout.cells } else { terms.shard_count };
        ensure!(slices <= MAX_SLICES, "{slices} slices are over {MAX_SLICES}");
        let reach = layout.cells_per_shard.min(layout.cells);
        let sets = |slice: u32| (0..reach).map(|j| (slice % layout.cells + j) % layout.cells).collect();
        Self::new(layout.cells as usize, (0..slices).map(sets).collect())
    }

    /// Of each slice, the sets that hold it, in any order.
    ///
    /// # Errors
    /// If a set is not under `sets`.
    pub fn new(sets: usize, held_by: Vec<Vec<u32>>) -> Result<Self> {
        let mut holding = Self { sets, classes: Vec::new(), class_of: Vec::new(), slices_of: Vec::new() };
        let mut known: BTreeMap<Vec<u32>, Class> = BTreeMap::new();
        for (slice, mut held) in held_by.into_iter().enumerate() {
            held.sort_unstable();
            held.dedup();
            ensure!(
                held.last().is_none_or(|s| (*s as usize) < sets),
                "slice {slice} is held by no set of {sets}"
            );
            let class = *known.entry(held).or_insert_with_key(|held| {
                holding.classes.push(held.clone());
                holding.slices_of.push(Vec::new());
                holding.classes.len() - 1
            });
            holding.class_of.push(class);
            holding.slices_of[class].push(slice as u32);
        }
        Ok(holding)
    }

    pub fn sets(&self) -> usize {
        self.sets
    }

    pub fn slices(&self) -> u32 {
        self.class_of.len() as u32
    }

    pub fn classes(&self) -> usize {
        self.classes.len()
    }

    /// The sets of a class, ascending.
    pub fn sets_of_class(&self, class: Class) -> &[u32] {
        &self.classes[class]
    }

    /// The slices of a class, ascending.
    pub fn slices_of_class(&self, class: Class) -> &[u32] {
        &self.slices_of[class]
    }

    pub fn class_of(&self, slice: u32) -> Class {
        self.class_of[slice as usize]
    }

    /// The sets that hold a slice, ascending.
    pub fn sets_of_slice(&self, slice: u32) -> &[u32] {
        &self.classes[self.class_of[slice as usize]]
    }
}
