//! Breadth first through the orders in which things may happen.

use std::collections::{BTreeMap, HashSet};

use super::arena::Arena;
use super::moves::Move;
use super::world::{Breach, Open, Rule, World};
use crate::claim::Watch;

/// How far an exploration goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Moves one after another.
    pub depth: u32,
    /// States that are looked at.
    pub states: u32,
    /// States that print the same are one.
    pub merge: bool,
}

/// What was found.
#[derive(Clone, Debug, PartialEq)]
pub struct Explored {
    /// Of each rule that was broken, the shortest moves to it, and how.
    pub breaches: BTreeMap<Rule, (Vec<Move>, Breach)>,
    /// States that were reached, and those of them that had been seen before.
    pub reached: u64,
    pub merged: u64,
    /// All orders of so many moves were looked at.
    pub depth: u32,
}

/// Looks at all orders of moves, the shorter before the longer, up to the bounds. A state in which something is
/// broken is not followed further. The result depends on the arguments alone.
pub fn explore(arena: &Arena, watches: &[Watch], open: &Open, bounds: Bounds) -> Explored {
    let mut found = Explored { breaches: BTreeMap::new(), reached: 0, merged: 0, depth: 0 };
    let mut seen = HashSet::new();
    let first = World::new(arena, watches, open, false);
    let mut layer: Vec<(Vec<Move>, Vec<Move>)> = vec![(Vec::new(), first.moves())];
    for depth in 1..=bounds.depth {
        let mut next = Vec::new();
        for (path, moves) in layer {
            for one in moves {
                if found.reached >= u64::from(bounds.states) {
                    return found;
                }
                found.reached += 1;
                let mut world = World::new(arena, watches, open, false);
                path.iter().for_each(|m| world.play(*m));
                world.play(one);
                if bounds.merge && !seen.insert(world.digest()) {
                    found.merged += 1;
                    continue;
                }
                let (mut path, follow) = (path.clone(), world.moves());
                path.push(one);
                if world.breaches().is_empty() && (depth == bounds.depth || follow.is_empty()) {
                    world.close();
                }
                for breach in world.breaches() {
                    found.breaches.entry(breach.rule).or_insert_with(|| (path.clone(), breach.clone()));
                }
                if world.breaches().is_empty() && depth < bounds.depth {
                    next.push((path, follow));
                }
            }
        }
        found.depth = depth;
        layer = next;
    }
    found
}

/// Leaves out whatever the breach does not need. The moves that remain break the same rule when run again.
pub fn shrink(arena: &Arena, watches: &[Watch], open: &Open, moves: &[Move], rule: Rule) -> Vec<Move> {
    let breaks = |moves: &[Move]| {
        let mut world = World::new(arena, watches, open, false);
        world.run(moves);
        world.close();
        world.breaches().iter().any(|b| b.rule == rule)
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
pub fn tell(arena: &Arena, watches: &[Watch], open: &Open, moves: &[Move]) -> Vec<String> {
    let mut world = World::new(arena, watches, open, true);
    world.run(moves);
    world.close();
    world.told()
}
