//! Scripts by lot, and the smallest that still fails.

use std::fmt::Write;

use oorandom::Rand64;

use crate::script::{Action, Expect, Paths, Script, StateOnStart, Step};

/// Deeds of a drawn script.
const DEEDS: (u64, u64) = (4, 11);
/// Longest time between two of them, in milliseconds.
const APART_MS: u64 = 1500;

/// The script of a seed: faults of all kinds, then all that is down is started, all paths are healed and all searchers are
/// back, and the fleet has to agree. The same seed gives the same script.
pub fn draw(seed: u64) -> Script {
    let mut chance = Rand64::new(u128::from(seed) ^ 0xd411_1000);
    let mixers = chance.rand_range(2..6) as usize;
    let searchers = 8;
    let mut steps = Vec::new();
    let (mut at, mut down, mut away, mut drained) = (500.0, vec![false; mixers], vec![false; searchers], 0);
    for _ in 0..chance.rand_range(DEEDS.0..DEEDS.1) {
        let m = chance.rand_range(0..mixers as u64) as usize;
        let other = (m + 1 + chance.rand_range(0..mixers as u64 - 1) as usize) % mixers;
        let s = chance.rand_range(0..searchers as u64) as usize;
        let paths: Paths =
            if chance.rand_float() < 0.5 { vec![(m, other)] } else { vec![(m, other), (other, m)] };
        let up = down.iter().filter(|d| !**d).count();
        let action = match chance.rand_range(0..17) {
            0 => Action::Cut(paths),
            1 => Action::Drop(paths),
            2 => Action::Refuse(paths),
            3 => Action::HalfOpen(paths),
            4 => Action::Delay(paths, 50.0 * (1 + chance.rand_range(0..6)) as f64),
            5 => Action::Flip(paths),
            6 => {
                let side = chance.rand_u64();
                let (one, two): (Vec<usize>, Vec<usize>) = (0..mixers).partition(|m| side >> m & 1 == 0);
                Action::Partition([one, two].into_iter().filter(|g| !g.is_empty()).collect())
            }
            7 => Action::Heal(None),
            8 if !down[m] => Action::Stall(m, 500.0 * (1 + chance.rand_range(0..8)) as f64),
            // One at least serves on.
            9 if !down[m] && up > 1 => {
                down[m] = true;
                Action::Kill(m)
            }
            10 if !down[m] && up > 1 => {
                down[m] = true;
                Action::Term(m)
            }
            11 if down[m] => {
                down[m] = false;
                Action::Start(
                    m,
                    if chance.rand_float() < 0.5 { StateOnStart::Kept } else { StateOnStart::Fresh },
                )
            }
            // Each shard keeps a searcher that stands.
            12 if !away.contains(&true) => {
                away[s] = true;
                if chance.rand_float() < 0.5 { Action::Hang(s) } else { Action::Die(s) }
            }
            13 => match away.iter().position(|a| *a) {
                Some(s) => {
                    away[s] = false;
                    Action::Return(s)
                }
                None => continue,
            },
            14 if drained == 0 && !away[s] => {
                drained += 1;
                away[s] = true;
                Action::Drain(s)
            }
            15 => Action::LoseDiscovery(vec![m]),
            16 => Action::Clock(m, if chance.rand_float() < 0.5 { 3_600_000.0 } else { -3_600_000.0 }),
            _ => continue,
        };
        steps.push(Step { at_ms: at, action });
        at += 100.0 * (1 + chance.rand_range(0..APART_MS / 100)) as f64;
    }
    steps.push(Step { at_ms: at, action: Action::Heal(None) });
    for m in (0..mixers).filter(|m| down[*m]) {
        steps.push(Step { at_ms: at, action: Action::Start(m, StateOnStart::Kept) });
    }
    for s in (0..searchers).filter(|s| away[*s]) {
        steps.push(Step { at_ms: at, action: Action::Return(s) });
    }
    let expects = vec![
        Expect::Agree { within_ms: 30_000.0 },
        Expect::Members { count: mixers, within_ms: 10_000.0 },
        Expect::Answered { share: 0.3 },
    ];
    // For half of them away for a second is away for longer than deletions are kept.
    let forget_ms = (chance.rand_float() < 0.5).then_some(1000.0);
    let mut title = String::new();
    let _ = write!(title, "seed {seed}"); // a String takes it
    Script { title, mixers, searchers, load: 30, forget_ms, steps, expects }
}

/// The smallest script that still fails, by leaving out one step after the other; each try costs a run, so many at most.
pub fn shrink(script: &Script, tries: usize, mut fails: impl FnMut(&Script) -> bool) -> Script {
    let mut best = script.clone();
    let (mut left, mut nth) = (tries, 0);
    while nth < best.steps.len() && left > 0 {
        let mut less = best.clone();
        less.steps.remove(nth);
        left -= 1;
        if fails(&less) {
            best = less;
        } else {
            nth += 1;
        }
    }
    best
}
