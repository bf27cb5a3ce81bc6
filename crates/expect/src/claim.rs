//! Syntax tree of the expectation language, with names resolved to indices of the fleet.

use std::ops::RangeInclusive;

use pewterwharf_fleet::Condition;

/// A claim about the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    All(Vec<Claim>),
    Some(Vec<Claim>),
    Not(Box<Claim>),
    /// Holds for every slice, or for every slice of a customer or a range.
    ForAllSlices {
        customer: Option<usize>,
        range: Option<RangeInclusive<u32>>,
        claim: SliceClaim,
    },
    /// Holds in every case of the failure.
    After(Failure, Box<Claim>),
    /// Holds while the searcher list is younger than `max_age_ms`, with at most `max_changes` unlisted changes.
    WhileListYounger {
        max_age_ms: f64,
        max_changes: Option<u32>,
        claim: Box<Claim>,
    },
    /// No searcher has more than this multiple of the average load of the fleet as listed, relative to its capacity.
    LoadAtMost(f64),
    /// No searcher holds more slices than this.
    SlicesAtMost(u32),
    /// A claim about the actions of the decision module.
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

/// Minimum numbers of searchers that hold the slice and accept parts, and of their halls and sets; each at least one.
#[derive(Clone, Debug, PartialEq)]
pub struct Reachability {
    pub searchers: u32,
    pub halls: u32,
    pub sets: u32,
    /// Counts only the searchers of this hall.
    pub hall: Option<usize>,
}

/// A failure of part of the fleet. A claim after a failure must hold in every case of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    /// Condition of the affected searchers afterwards.
    pub condition: Condition,
    pub target: FailureTarget,
}

/// The searchers that a [`Failure`] affects.
#[derive(Clone, Debug, PartialEq)]
pub enum FailureTarget {
    /// All of this hall, or of any one hall.
    Hall(Option<usize>),
    /// All of this set, or of any one set.
    Set(Option<u32>),
    /// Any searchers, up to this number.
    Searchers(u32),
    /// This searcher.
    Searcher(u32),
    /// Any searchers whose listed status may be outdated, up to this number.
    MaybeStale(u32),
}

/// A claim about all actions of one kind of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct BehaviourClaim {
    /// `true` (`always`): every action of this kind matches; `false` (`never`): none does.
    pub always: bool,
    pub table_type: Option<usize>,
    pub action: ObservedAction,
}

/// An observable action of the decision module, with the conditions that it is matched against.
#[derive(Clone, Debug, PartialEq)]
pub enum ObservedAction {
    /// A dispatch to a searcher in one of these conditions (any condition if empty) and in this hall. `repeated`: not
    /// the first dispatch of its part. `concurrent`: while another dispatch of the part is in flight.
    Dispatch { conditions: Vec<Condition>, hall: Option<usize>, repeated: bool, concurrent: bool },
    /// A final answer of one of these kinds (any kind if empty).
    Answer { kinds: Vec<AnswerKind>, whole: Option<bool> },
}

/// Kind of the final answer to a scan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    Completed,
    Throttled,
    Abandoned,
}

/// How fast a searcher list becomes outdated: at most `changes` searchers change in `every_ms` without being listed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    pub changes: u32,
    pub every_ms: f64,
}

impl Default for Pace {
    /// One change in two seconds: the rate that the documentation gives for releases, as operators state none.
    fn default() -> Self {
        Self { changes: 1, every_ms: 2000.0 }
    }
}

impl Pace {
    /// Maximum number of changes that a list of this age may lack.
    pub fn max_unlisted_changes(&self, list_age_ms: f64) -> u32 {
        let periods = (list_age_ms / self.every_ms).floor().min(f64::from(u32::MAX / 2));
        (periods as u32).saturating_mul(self.changes)
    }
}

impl Claim {
    /// Maximum age of the list for this claim, in milliseconds, if it states one.
    pub fn max_list_age_ms(&self) -> Option<f64> {
        match self {
            Self::WhileListYounger { max_age_ms, .. } => Some(*max_age_ms),
            Self::After(_, claim) | Self::Not(claim) => claim.max_list_age_ms(),
            Self::All(claims) | Self::Some(claims) => claims.iter().find_map(Self::max_list_age_ms),
            _ => None,
        }
    }

    /// Whether the claim follows from the placement alone, without running the decision module.
    pub fn is_structural(&self) -> bool {
        match self {
            Self::Behaviour(_) => false,
            Self::All(claims) | Self::Some(claims) => claims.iter().all(Self::is_structural),
            Self::Not(claim) | Self::After(_, claim) | Self::WhileListYounger { claim, .. } => {
                claim.is_structural()
            }
            _ => true,
        }
    }
}
