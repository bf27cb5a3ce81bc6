//! Random scripts, and the shrinking of a script that fails.

use std::fmt::Write;

use oorandom::Rand64;

use crate::script::{Action, Expect, PathEnds, Paths, Script, StateOnStart, Step};

/// Range of the number of actions in a random script; the upper bound is exclusive.
const ACTION_COUNT: (u64, u64) = (4, 11);
/// Maximum time between two actions.
const MAX_INTERVAL_MS: u64 = 1500;
/// Mixed into the seed, so that scripts are independent of other random numbers of the same seed.
const SEED_MASK: u128 = 0xd411_1000;

/// Generates the script of a seed. It has faults of all kinds; then all paths are healed, all mixers that are down are
/// started, all searchers return, and the fleet has to agree. The same seed gives the same script.
pub fn draw(seed: u64) -> Script {
    let mut rng = Rand64::new(u128::from(seed) ^ SEED_MASK);
    let mixers = rng.rand_range(2..6) as usize;
    let searchers = 8;
    let mut steps = Vec::new();
    let mut at_ms = 500.0;
    let mut mixer_down = vec![false; mixers];
    let mut searcher_away = vec![false; searchers];
    let mut drained = false;
    for _ in 0..rng.rand_range(ACTION_COUNT.0..ACTION_COUNT.1) {
        let mixer = rng.rand_range(0..mixers as u64) as usize;
        let other = (mixer + 1 + rng.rand_range(0..mixers as u64 - 1) as usize) % mixers;
        let searcher = rng.rand_range(0..searchers as u64) as usize;
        let path = PathEnds { from: mixer, to: other };
        let reverse = PathEnds { from: other, to: mixer };
        let paths: Paths = if rng.rand_float() < 0.5 { vec![path] } else { vec![path, reverse] };
        let running = mixer_down.iter().filter(|down| !**down).count();
        let action = match rng.rand_range(0..17) {
            0 => Action::Cut(paths),
            1 => Action::Drop(paths),
            2 => Action::Refuse(paths),
            3 => Action::HalfOpen(paths),
            4 => Action::Delay(paths, 50.0 * (1 + rng.rand_range(0..6)) as f64),
            5 => Action::Flip(paths),
            6 => {
                let sides = rng.rand_u64();
                let (left, right): (Vec<usize>, Vec<usize>) = (0..mixers).partition(|m| sides >> m & 1 == 0);
                Action::Partition([left, right].into_iter().filter(|group| !group.is_empty()).collect())
            }
            7 => Action::Heal(None),
            8 if !mixer_down[mixer] => Action::Stall(mixer, 500.0 * (1 + rng.rand_range(0..8)) as f64),
            // At least one mixer keeps running.
            9 if !mixer_down[mixer] && running > 1 => {
                mixer_down[mixer] = true;
                Action::Kill(mixer)
            }
            10 if !mixer_down[mixer] && running > 1 => {
                mixer_down[mixer] = true;
                Action::Term(mixer)
            }
            11 if mixer_down[mixer] => {
                mixer_down[mixer] = false;
                let kept = rng.rand_float() < 0.5;
                Action::Start(mixer, if kept { StateOnStart::Kept } else { StateOnStart::Fresh })
            }
            // At most one searcher fails at a time, so that each shard keeps one that is up.
            12 if !searcher_away.contains(&true) => {
                searcher_away[searcher] = true;
                if rng.rand_float() < 0.5 { Action::Hang(searcher) } else { Action::Die(searcher) }
            }
            13 => match searcher_away.iter().position(|away| *away) {
                Some(returning) => {
                    searcher_away[returning] = false;
                    Action::Return(returning)
                }
                None => continue,
            },
            14 if !drained && !searcher_away[searcher] => {
                drained = true;
                searcher_away[searcher] = true;
                Action::Drain(searcher)
            }
            15 => Action::LoseDiscovery(vec![mixer]),
            16 => Action::Clock(mixer, if rng.rand_float() < 0.5 { 3_600_000.0 } else { -3_600_000.0 }),
            _ => continue,
        };
        steps.push(Step { at_ms, action });
        at_ms += 100.0 * (1 + rng.rand_range(0..MAX_INTERVAL_MS / 100)) as f64;
    }
    steps.push(Step { at_ms, action: Action::Heal(None) });
    for mixer in (0..mixers).filter(|m| mixer_down[*m]) {
        steps.push(Step { at_ms, action: Action::Start(mixer, StateOnStart::Kept) });
    }
    for searcher in (0..searchers).filter(|s| searcher_away[*s]) {
        steps.push(Step { at_ms, action: Action::Return(searcher) });
    }
    let expects = vec![
        Expect::Agree { within_ms: 30_000.0 },
        Expect::Members { count: mixers, within_ms: 10_000.0 },
        Expect::Answered { share: 0.3 },
    ];
    // In half of the scripts, the lifetime of tombstones is as short as a second.
    let forget_ms = (rng.rand_float() < 0.5).then_some(1000.0);
    let mut title = String::new();
    let _ = write!(title, "seed {seed}"); // writing to a String can't fail
    Script { title, mixers, searchers, load: 30, forget_ms, steps, expects }
}

/// Removes steps one by one while the script still fails. Each try costs a run, so their number is limited.
pub fn shrink(script: &Script, tries: usize, mut fails: impl FnMut(&Script) -> bool) -> Script {
    let mut smallest = script.clone();
    let mut tries_left = tries;
    let mut index = 0;
    while index < smallest.steps.len() && tries_left > 0 {
        let mut candidate = smallest.clone();
        candidate.steps.remove(index);
        tries_left -= 1;
        if fails(&candidate) {
            smallest = candidate;
        } else {
            index += 1;
        }
    }
    smallest
}
