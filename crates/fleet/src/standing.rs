//! What has become of a fleet's searchers since they were listed.

use pewterwharf::interface::SearcherStatus;

use crate::Fleet;

/// What a searcher can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Condition {
    /// Takes all that it can do.
    Up,
    /// Runs, and can do only a part yet.
    Cold,
    /// Completes what it holds, takes nothing new.
    Draining,
    Gone,
}

impl Condition {
    /// As listed. Nothing is cold in the list itself: `since` against what time would be a guess.
    pub fn of(life: SearcherStatus) -> Self {
        match life {
            SearcherStatus::Ready => Self::Up,
            SearcherStatus::Draining => Self::Draining,
            SearcherStatus::Gone => Self::Gone,
        }
    }

    /// Whether it takes parts.
    pub fn takes(self) -> bool {
        matches!(self, Self::Up | Self::Cold)
    }

    /// What it becomes when `then` befalls it: nothing brings back who is gone, nor undoes a drain.
    pub fn and(self, then: Self) -> Self {
        self.max(then)
    }
}

/// The condition of every searcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing(Vec<Condition>);

impl Standing {
    pub fn listed(fleet: &Fleet) -> Self {
        Self(fleet.searchers().iter().map(|s| Condition::of(s.life)).collect())
    }

    pub fn get(&self, searcher: u32) -> Condition {
        self.0[searcher as usize]
    }

    /// Lets `then` befall a searcher; what it was.
    pub fn befall(&mut self, searcher: u32, then: Condition) -> Condition {
        let before = self.get(searcher);
        self.0[searcher as usize] = before.and(then);
        before
    }

    /// Puts back what [`Standing::befall`] returned.
    pub fn restore(&mut self, searcher: u32, before: Condition) {
        self.0[searcher as usize] = before;
    }
}
