//! All runs with a bounded number of departures from the expected course.
//!
//! All orders of all events can't be enumerated beyond four or five events (see `docs/expectations.md`), and most of
//! them do not occur in practice. So a run follows the expected course, and *departs* from it a bounded number of times,
//! at any point: a part fails or hangs, a connection is lost, a searcher changes, a client leaves, the mixer restarts, a
//! second scan arrives in between. Runs with fewer departures come before runs with more, so the first violation found is
//! one of the simplest.

use std::collections::{BTreeMap, HashSet};

use super::moves::Move;
use super::scenario::Scenario;
use super::simulation::{Rule, Simulation, SubjectFactory, Violation};
use crate::claim::BehaviourClaim;

/// Bounds of an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Departures from the expected course in one run.
    pub departures: u32,
    /// States visited.
    pub states: u32,
    /// Treats states with the same debug output as one.
    pub merge: bool,
}

/// Maximum number of moves of one run; a run of two scans takes about ten.
const MAX_MOVES: usize = 40;

/// A rule violation, with the moves that lead to it.
#[derive(Clone, Debug, PartialEq)]
pub struct FoundViolation {
    pub moves: Vec<Move>,
    pub violation: Violation,
}

/// Result of an exploration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Exploration {
    /// For each violated rule, the violation with the fewest departures.
    pub violations: BTreeMap<Rule, FoundViolation>,
    /// States visited, and those among them that had been seen before.
    pub visited: u64,
    pub merged: u64,
    /// All runs with up to this number of departures were explored; `None` if not even those without any.
    pub departures: Option<u32>,
}

impl Exploration {
    /// Records the violations of a run, unless their rules have one already.
    fn record(&mut self, moves: &[Move], violations: &[Violation]) {
        for violation in violations {
            self.violations
                .entry(violation.rule)
                .or_insert_with(|| FoundViolation { moves: moves.to_vec(), violation: violation.clone() });
        }
    }
}

/// Explores the runs of a scenario within the bounds. A run ends at its first violation. The result depends on the
/// arguments alone.
pub fn explore(
    scenario: &Scenario,
    claims: &[BehaviourClaim],
    open: &SubjectFactory,
    bounds: Bounds,
) -> Exploration {
    let mut found = Exploration::default();
    let mut seen = HashSet::new();
    // Prefixes of the runs with the current number of departures; each ends with the last departure.
    let mut prefixes: Vec<Vec<Move>> = vec![Vec::new()];
    for departures in 0..=bounds.departures {
        let mut next_prefixes = Vec::new();
        for mut moves in prefixes {
            let mut simulation = Simulation::new(scenario, claims, open, false);
            moves.iter().for_each(|m| simulation.apply(*m));
            // Hashing a state costs more than reaching it, so runs are compared only where they depart.
            let mut compare = bounds.merge;
            loop {
                if found.visited >= u64::from(bounds.states) {
                    return found;
                }
                found.visited += 1;
                if std::mem::take(&mut compare) && !seen.insert(simulation.state_hash()) {
                    found.merged += 1;
                    break;
                }
                found.record(&moves, simulation.violations());
                if !simulation.violations().is_empty() {
                    break;
                }
                let expected = simulation.expected_move().filter(|_| moves.len() < MAX_MOVES);
                if departures < bounds.departures && moves.len() < MAX_MOVES {
                    for departure in simulation.moves().into_iter().filter(|m| Some(*m) != expected) {
                        next_prefixes.push(moves.iter().copied().chain([departure]).collect());
                    }
                }
                let Some(expected) = expected else {
                    simulation.finish();
                    found.record(&moves, simulation.violations());
                    break;
                };
                simulation.apply(expected);
                moves.push(expected);
            }
        }
        found.departures = Some(departures);
        prefixes = next_prefixes;
    }
    found
}

/// Removes the moves that the violation of `rule` does not need. The moves that remain violate it when replayed.
pub fn shrink(
    scenario: &Scenario,
    claims: &[BehaviourClaim],
    open: &SubjectFactory,
    moves: &[Move],
    rule: Rule,
) -> Vec<Move> {
    let violates = |moves: &[Move]| {
        let mut simulation = Simulation::new(scenario, claims, open, false);
        simulation.run(moves);
        simulation.finish();
        simulation.violations().iter().any(|v| v.rule == rule)
    };
    let mut moves = moves.to_vec();
    let mut index = 0;
    while index < moves.len() {
        let mut fewer = moves.clone();
        fewer.remove(index);
        if violates(&fewer) {
            moves = fewer;
            index = 0;
        } else {
            index += 1;
        }
    }
    moves
}

/// The trace of a run, which ends with the violations.
pub fn trace(
    scenario: &Scenario,
    claims: &[BehaviourClaim],
    open: &SubjectFactory,
    moves: &[Move],
) -> Vec<String> {
    let mut simulation = Simulation::new(scenario, claims, open, true);
    simulation.run(moves);
    simulation.finish();
    simulation.into_trace()
}
