//! Totals of what happened in a sliding window, in memory that does not depend on how much happens.

use std::collections::VecDeque;

/// What was recorded under one key in one slot of time.
#[derive(Debug)]
pub(crate) struct SlotTotal<K> {
    pub(super) first_at: f64,
    pub(super) last_at: f64,
    pub(super) key: K,
    pub(super) amount: f64,
}

/// Amounts that were recorded under keys, oldest first. Those of one key within a slot are added up, so that a window
/// holds at most [`Self::SLOTS_PER_WINDOW`] and one more totals of each key, however fast amounts are recorded. The
/// owner drops what has left its window whenever it records an amount.
#[derive(Debug)]
pub(crate) struct SlidingTotals<K> {
    slot_ms: f64,
    totals: VecDeque<SlotTotal<K>>,
    /// Sum of the amounts; exact for whole numbers.
    sum: f64,
}

impl<K: Copy + PartialEq> SlidingTotals<K> {
    /// A slot is so short that it makes no difference whether an amount leaves the window at its own time or with
    /// its slot.
    const SLOTS_PER_WINDOW: f64 = 1000.0;

    pub(crate) fn new(window_ms: f64) -> Self {
        Self { slot_ms: window_ms / Self::SLOTS_PER_WINDOW, totals: VecDeque::new(), sum: 0.0 }
    }

    /// Records an amount at `now`, which never lies before the time of an earlier amount.
    pub(super) fn record(&mut self, now: f64, key: K, amount: f64) {
        self.sum += amount;
        let slot_ms = self.slot_ms;
        let mut in_slot = self.totals.iter_mut().rev().take_while(|total| now - total.first_at < slot_ms);
        match in_slot.find(|total| total.key == key) {
            Some(total) => {
                total.amount += amount;
                total.last_at = now;
            }
            None => self.totals.push_back(SlotTotal { first_at: now, last_at: now, key, amount }),
        }
    }

    /// Takes the oldest total if the condition holds for it.
    pub(super) fn pop_front_if(&mut self, condition: impl Fn(&SlotTotal<K>) -> bool) -> Option<SlotTotal<K>> {
        let oldest = self.totals.pop_front_if(|total| condition(total))?;
        self.sum -= oldest.amount;
        Some(oldest)
    }

    /// Drops the oldest totals for as long as the condition holds.
    pub(super) fn drop_front_while(&mut self, condition: impl Fn(&SlotTotal<K>) -> bool) {
        while self.pop_front_if(&condition).is_some() {}
    }

    pub(super) fn sum(&self) -> f64 {
        self.sum
    }

    /// The totals, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &SlotTotal<K>> {
        self.totals.iter()
    }
}
