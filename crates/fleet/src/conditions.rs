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
    pub fn listed(life: SearcherStatus) -> Self {
        match life {
            SearcherStatus::Ready => Self::Up,
            SearcherStatus::Draining => Self::Draining,
            SearcherStatus::Gone => Self::Gone,
        }
    }

    /// Whether it takes parts.
    pub fn accepts_work(self) -> bool {
        matches!(self, Self::Up | Self::Cold)
    }

    /// What it becomes when `then` befalls it: nothing brings back who is gone, nor undoes a drain.
    pub fn worst(self, then: Self) -> Self {
        self.max(then)
    }
}

/// The condition of every searcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conditions(Vec<Condition>);

impl Conditions {
    pub fn listed(fleet: &Fleet) -> Self {
        Self(fleet.searchers().iter().map(|s| Condition::listed(s.life)).collect())
    }

    pub fn get(&self, searcher: u32) -> Condition {
        self.0[searcher as usize]
    }

    /// Lets `then` befall a searcher; what it was.
    pub fn worsen(&mut self, searcher: u32, then: Condition) -> Condition {
        let before = self.get(searcher);
        self.0[searcher as usize] = before.worst(then);
        before
    }

    /// Puts back what [`Conditions::worsen`] returned.
    pub fn restore(&mut self, searcher: u32, before: Condition) {
        self.0[searcher as usize] = before;
    }
}
