//! Scripts by lot, and the smallest that still fails.

use std::fmt::Write;

use oorandom::Rand64;

use crate::script::{Deed, Expect, Kept, Script, Step, Ways};

/// Deeds of a drawn script.
const DEEDS: (u64, u64) = (4, 11);
/// Longest time between two of them, in milliseconds.
const APART_MS: u64 = 1500;

/// The script of a seed: faults of all kinds, then all that is down is started, all ways are healed and all searchers are
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
        let ways: Ways =
            if chance.rand_float() < 0.5 { vec![(m, other)] } else { vec![(m, other), (other, m)] };
        let up = down.iter().filter(|d| !**d).count();
        let deed = match chance.rand_range(0..17) {
            0 => Deed::Cut(ways),
            1 => Deed::Drop(ways),
            2 => Deed::Refuse(ways),
            3 => Deed::HalfOpen(ways),
            4 => Deed::Delay(ways, 50.0 * (1 + chance.rand_range(0..6)) as f64),
            5 => Deed::Flip(ways),
            6 => {
                let side = chance.rand_u64();
                let (one, two): (Vec<usize>, Vec<usize>) = (0..mixers).partition(|m| side >> m & 1 == 0);
                Deed::Partition([one, two].into_iter().filter(|g| !g.is_empty()).collect())
            }
            7 => Deed::Heal(None),
            8 if !down[m] => Deed::Stall(m, 500.0 * (1 + chance.rand_range(0..8)) as f64),
            // One at least serves on.
            9 if !down[m] && up > 1 => {
                down[m] = true;
                Deed::Kill(m)
            }
            10 if !down[m] && up > 1 => {
                down[m] = true;
                Deed::Term(m)
            }
            11 if down[m] => {
                down[m] = false;
                Deed::Start(m, if chance.rand_float() < 0.5 { Kept::Kept } else { Kept::Fresh })
            }
            // Each shard keeps a searcher that stands.
            12 if !away.contains(&true) => {
                away[s] = true;
                if chance.rand_float() < 0.5 { Deed::Hang(s) } else { Deed::Die(s) }
            }
            13 => match away.iter().position(|a| *a) {
                Some(s) => {
                    away[s] = false;
                    Deed::Return(s)
                }
                None => continue,
            },
            14 if drained == 0 && !away[s] => {
                drained += 1;
                away[s] = true;
                Deed::Drain(s)
            }
            15 => Deed::LoseDiscovery(vec![m]),
            16 => Deed::Clock(m, if chance.rand_float() < 0.5 { 3_600_000.0 } else { -3_600_000.0 }),
            _ => continue,
        };
        steps.push(Step { at_ms: at, deed });
        at += 100.0 * (1 + chance.rand_range(0..APART_MS / 100)) as f64;
    }
    steps.push(Step { at_ms: at, deed: Deed::Heal(None) });
    for m in (0..mixers).filter(|m| down[*m]) {
        steps.push(Step { at_ms: at, deed: Deed::Start(m, Kept::Kept) });
    }
    for s in (0..searchers).filter(|s| away[*s]) {
        steps.push(Step { at_ms: at, deed: Deed::Return(s) });
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
