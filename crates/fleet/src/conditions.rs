//! The conditions of a fleet's searchers under assumed failures.

use pewterwharf::interface::SearcherStatus;

use crate::Fleet;

/// What a searcher can do. Later variants are worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Condition {
    /// Serves at its full capacity.
    Up,
    /// Runs, but with a part of its capacity.
    Cold,
    /// Completes what it has accepted and accepts nothing new.
    Draining,
    Gone,
}

impl Condition {
    /// The condition that the list states. It is never `Cold`, because there is no current time to compare the
    /// start time with.
    pub fn listed(status: SearcherStatus) -> Self {
        match status {
            SearcherStatus::Ready => Self::Up,
            SearcherStatus::Draining => Self::Draining,
            SearcherStatus::Gone => Self::Gone,
        }
    }

    /// Whether the searcher accepts parts.
    pub fn accepts_work(self) -> bool {
        matches!(self, Self::Up | Self::Cold)
    }

    /// The worse of two conditions: a failure neither brings back a searcher that is gone nor ends a drain.
    pub fn worst(self, other: Self) -> Self {
        self.max(other)
    }
}

/// The condition of every searcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conditions(Vec<Condition>);

impl Conditions {
    /// The conditions that the list states.
    pub fn listed(fleet: &Fleet) -> Self {
        Self(fleet.searchers().iter().map(|searcher| Condition::listed(searcher.status)).collect())
    }

    pub fn get(&self, searcher: u32) -> Condition {
        self.0[searcher as usize]
    }

    /// Sets a searcher to `condition` unless it is in a worse one already. Returns its previous condition.
    pub fn worsen(&mut self, searcher: u32, condition: Condition) -> Condition {
        let before = self.get(searcher);
        self.0[searcher as usize] = before.worst(condition);
        before
    }

    /// Restores the condition that [`Conditions::worsen`] returned.
    pub fn restore(&mut self, searcher: u32, before: Condition) {
        self.0[searcher as usize] = before;
    }
}
