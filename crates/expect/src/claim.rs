//! What can be expected of a fleet: the language as it stands after reading, names already turned into indices.

use std::ops::RangeInclusive;

use pewterwharf_fleet::Condition;

/// A claim about the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    All(Vec<Claim>),
    Some(Vec<Claim>),
    Not(Box<Claim>),
    /// Holds for every slice, or for every one of a customer or a range.
    ForAllSlices {
        of: Option<usize>,
        only: Option<RangeInclusive<u32>>,
        what: SliceClaim,
    },
    /// Holds in every case of the failure.
    After(Failure, Box<Claim>),
    /// Holds for as long as the list is younger, with at most so many changes that it does not tell.
    WhileListYounger {
        ms: f64,
        changes: Option<u32>,
        claim: Box<Claim>,
    },
    /// No searcher bears more than so many times the average of the fleet as listed, for what it can do.
    LoadAtMost(f64),
    /// No searcher holds more slices than that.
    SlicesAtMost(u32),
    /// Of what the decision module does.
    Behaviour(BehaviourClaim),
}

/// A claim about one slice.
#[derive(Clone, Debug, PartialEq)]
pub enum SliceClaim {
    All(Vec<SliceClaim>),
    Some(Vec<SliceClaim>),
    Not(Box<SliceClaim>),
    Reachable(Reachability),
}

/// Searchers that hold the slice and take parts: how many there are, in how many halls and sets; at least one.
#[derive(Clone, Debug, PartialEq)]
pub struct Reachability {
    pub searchers: u32,
    pub halls: u32,
    pub sets: u32,
    /// Only those of one hall count.
    pub hall: Option<usize>,
}

/// What may befall a fleet: every case of it counts.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    pub what: Condition,
    pub whom: FailureTarget,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FailureTarget {
    /// Of a hall, or of any one hall.
    Hall(Option<usize>),
    /// Of a set, or of any one set.
    Set(Option<u32>),
    /// Any so many searchers, or fewer.
    Searchers(u32),
    /// This one.
    Searcher(u32),
    /// Any so many, or fewer, of whom the list's word is old enough to be wrong.
    MaybeStale(u32),
}

/// What the decision module is seen to do.
#[derive(Clone, Debug, PartialEq)]
pub struct BehaviourClaim {
    /// `always`: every action of that kind is as described; `never`: none is.
    pub always: bool,
    pub table_type: Option<usize>,
    pub action: ObservedAction,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ObservedAction {
    /// A dispatch, to a searcher in one of these conditions (any, if none is named), in a hall, not a part's first,
    /// while another of that part is out.
    Sent { to: Vec<Condition>, hall: Option<usize>, again: bool, beside: bool },
    /// A final answer of one of these kinds (any, if none is named).
    Answered { kinds: Vec<AnswerKind>, whole: Option<bool> },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    Completed,
    Throttled,
    Abandoned,
}

/// DispatchEnd fast a list grows old: in `every_ms` at most so many searchers change without its telling.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    pub changes: u32,
    pub every_ms: f64,
}

impl Default for Pace {
    /// One change in two seconds: said of releases in the docs, for want of the operators' own figure.
    fn default() -> Self {
        Self { changes: 1, every_ms: 2000.0 }
    }
}

impl Pace {
    /// Changes that a list of that age may not tell.
    pub fn within(&self, ms: f64) -> u32 {
        let spans = (ms / self.every_ms).floor().min(f64::from(u32::MAX / 2));
        (spans as u32).saturating_mul(self.changes)
    }
}

impl Claim {
    /// The longest that the list may be old for this claim, with the bound on changes; none, if it is not said.
    pub fn younger(&self) -> Option<(f64, Option<u32>)> {
        match self {
            Self::WhileListYounger { ms, changes, .. } => Some((*ms, *changes)),
            Self::After(_, claim) | Self::Not(claim) => claim.younger(),
            Self::All(claims) | Self::Some(claims) => claims.iter().find_map(Self::younger),
            _ => None,
        }
    }

    /// Whether all of it follows from who holds what, and the module need not be asked.
    pub fn structural(&self) -> bool {
        match self {
            Self::Behaviour(_) => false,
            Self::All(claims) | Self::Some(claims) => claims.iter().all(Self::structural),
            Self::Not(claim) | Self::After(_, claim) | Self::WhileListYounger { claim, .. } => {
                claim.structural()
            }
            _ => true,
        }
    }
}
