//! All runs in which up to so many things go wrong.
//!
//! Every order of every event is out of reach after four or five of them (measured, see `docs/expectations.md`), and
//! most such orders are no day that anybody has seen. So a run follows what usually happens, and *departs* from it a
//! bounded number of times, anywhere: a part fails, hangs, a connection is lost, a searcher changes, a client leaves,
//! the mixer restarts, a second scan comes between. Runs with fewer departures go before runs with more, so the first
//! one found to break something is one of the simplest.

use std::collections::{BTreeMap, HashSet};

use super::moves::Move;
use super::scenario::Scenario;
use super::simulation::{Rule, Simulation, SubjectFactory, Violation};
use crate::claim::BehaviourClaim;

/// DispatchEnd far an exploration goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Departures from what usually happens.
    pub departures: u32,
    /// States that are looked at.
    pub states: u32,
    /// States that print the same are one.
    pub merge: bool,
}

/// Moves of one run, at most; a run of two scans takes about ten.
const LONGEST: usize = 40;

/// What was found.
#[derive(Clone, Debug, PartialEq)]
pub struct Exploration {
    /// Of each rule that was broken, the moves to it with the fewest departures, and how.
    pub violations: BTreeMap<Rule, (Vec<Move>, Violation)>,
    /// States that were reached, and those of them that had been seen before.
    pub reached: u64,
    pub merged: u64,
    /// All runs with so many departures were looked at; absent if not even those with none.
    pub departures: Option<u32>,
}

/// Looks at the runs of an arena up to the bounds. A state in which something is broken is not followed further. The
/// result depends on the arguments alone.
pub fn explore(
    scenario: &Scenario,
    watches: &[BehaviourClaim],
    open: &SubjectFactory,
    bounds: Bounds,
) -> Exploration {
    let mut found = Exploration { violations: BTreeMap::new(), reached: 0, merged: 0, departures: None };
    let mut seen = HashSet::new();
    // Paths to states that were not yet followed; the last move of each is still to be played.
    let mut layer: Vec<Vec<Move>> = vec![Vec::new()];
    for departures in 0..=bounds.departures {
        let mut next = Vec::new();
        for mut path in layer {
            // One run: from a departure on, along what usually happens.
            let mut simulation = Simulation::new(scenario, watches, open, false);
            path.iter().for_each(|m| simulation.play(*m));
            // A state costs more to print than to reach, so runs are compared where they depart, and not at each
            // step after.
            let mut departs = bounds.merge;
            loop {
                if found.reached >= u64::from(bounds.states) {
                    return found;
                }
                found.reached += 1;
                if std::mem::take(&mut departs) && !seen.insert(simulation.digest()) {
                    found.merged += 1;
                    break;
                }
                for violation in simulation.violations() {
                    found
                        .violations
                        .entry(violation.rule)
                        .or_insert_with(|| (path.clone(), violation.clone()));
                }
                if !simulation.violations().is_empty() {
                    break;
                }
                let usual = simulation.usual().filter(|_| path.len() < LONGEST);
                if departures < bounds.departures && path.len() < LONGEST {
                    for one in simulation.moves().into_iter().filter(|one| Some(*one) != usual) {
                        next.push(path.iter().copied().chain([one]).collect());
                    }
                }
                let Some(usual) = usual else {
                    simulation.close();
                    for violation in simulation.violations() {
                        found
                            .violations
                            .entry(violation.rule)
                            .or_insert_with(|| (path.clone(), violation.clone()));
                    }
                    break;
                };
                simulation.play(usual);
                path.push(usual);
            }
        }
        found.departures = Some(departures);
        layer = next;
    }
    found
}

/// Leaves out whatever the breach does not need. The moves that remain break the same rule when run again.
pub fn shrink(
    scenario: &Scenario,
    watches: &[BehaviourClaim],
    open: &SubjectFactory,
    moves: &[Move],
    rule: Rule,
) -> Vec<Move> {
    let breaks = |moves: &[Move]| {
        let mut simulation = Simulation::new(scenario, watches, open, false);
        simulation.run(moves);
        simulation.close();
        simulation.violations().iter().any(|b| b.rule == rule)
    };
    let mut moves = moves.to_vec();
    let mut at = 0;
    while at < moves.len() {
        let mut fewer = moves.clone();
        fewer.remove(at);
        if breaks(&fewer) {
            moves = fewer;
            at = 0;
        } else {
            at += 1;
        }
    }
    moves
}

/// The trace of a run for people, ending with what was broken.
pub fn tell(
    scenario: &Scenario,
    watches: &[BehaviourClaim],
    open: &SubjectFactory,
    moves: &[Move],
) -> Vec<String> {
    let mut simulation = Simulation::new(scenario, watches, open, true);
    simulation.run(moves);
    simulation.close();
    simulation.told()
}
