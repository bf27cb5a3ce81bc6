//! Which sets hold which slices.

use std::collections::BTreeMap;

use anyhow::{Result, ensure};
use pewterwharf_terms::MixerConfig;

use crate::MAX_SLICES;

/// Index of a class of slices that are held by the same sets.
pub type Class = usize;

/// Which sets hold each slice, by class. The sets of a class are ascending and without duplicates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    sets: usize,
    sets_by_class: Vec<Vec<u32>>,
    class_by_slice: Vec<Class>,
    /// The slices of each class, ascending.
    slices_by_class: Vec<Vec<u32>>,
}

impl Placement {
    /// The placement that the layout defines: a slice is held by `cells_per_shard` consecutive sets, starting
    /// at its own number.
    ///
    /// # Errors
    /// If there are more than [`MAX_SLICES`] slices.
    pub fn from_layout(config: &MixerConfig) -> Result<Self> {
        let layout = &config.layout;
        // Without a configured number of slices, the placement repeats with the sets.
        let slices = if config.shard_count == u32::MAX { layout.cells } else { config.shard_count };
        ensure!(slices <= MAX_SLICES, "{slices} slices are over {MAX_SLICES}");
        let sets_per_slice = layout.cells_per_shard.min(layout.cells);
        let sets =
            |slice: u32| (0..sets_per_slice).map(|j| (slice % layout.cells + j) % layout.cells).collect();
        Self::new(layout.cells as usize, (0..slices).map(sets).collect())
    }

    /// `sets_by_slice` contains, for each slice, the sets that hold it, in any order.
    ///
    /// # Errors
    /// If a set number is not below `sets`.
    pub fn new(sets: usize, sets_by_slice: Vec<Vec<u32>>) -> Result<Self> {
        let mut placement =
            Self { sets, sets_by_class: Vec::new(), class_by_slice: Vec::new(), slices_by_class: Vec::new() };
        let mut known_classes: BTreeMap<Vec<u32>, Class> = BTreeMap::new();
        for (slice, mut held_by) in sets_by_slice.into_iter().enumerate() {
            held_by.sort_unstable();
            held_by.dedup();
            ensure!(
                held_by.last().is_none_or(|set| (*set as usize) < sets),
                "slice {slice} is assigned to a set that is not among the {sets}"
            );
            let class = *known_classes.entry(held_by).or_insert_with_key(|held_by| {
                placement.sets_by_class.push(held_by.clone());
                placement.slices_by_class.push(Vec::new());
                placement.sets_by_class.len() - 1
            });
            placement.class_by_slice.push(class);
            placement.slices_by_class[class].push(slice as u32);
        }
        Ok(placement)
    }

    /// Number of sets.
    pub fn sets(&self) -> usize {
        self.sets
    }

    /// Number of slices.
    pub fn slices(&self) -> u32 {
        self.class_by_slice.len() as u32
    }

    /// Number of classes.
    pub fn classes(&self) -> usize {
        self.sets_by_class.len()
    }

    /// The sets of a class, ascending.
    pub fn sets_of_class(&self, class: Class) -> &[u32] {
        &self.sets_by_class[class]
    }

    /// The slices of a class, ascending.
    pub fn slices_of_class(&self, class: Class) -> &[u32] {
        &self.slices_by_class[class]
    }

    pub fn class_of(&self, slice: u32) -> Class {
        self.class_by_slice[slice as usize]
    }

    /// The sets that hold a slice, ascending.
    pub fn sets_of_slice(&self, slice: u32) -> &[u32] {
        &self.sets_by_class[self.class_by_slice[slice as usize]]
    }
}
