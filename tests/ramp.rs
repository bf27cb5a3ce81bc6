//! A cold searcher's ramp holds for the sum of all mixers, and no table type is left without room on it.

#[allow(dead_code)] // the other file of tests uses the rest of it
#[path = "common/ramp.rs"]
mod ramp;

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use pewterwharf::interface::SafetyLimits;
use ramp::{Kind, Played, Ramp, permits};

fn kind(share: f64, parts: u32, need: f64, work_ms: f64, target_ms: f64) -> Kind {
    Kind { share, parts, need, work_ms, target_ms, ..Kind::plain() }
}

fn ramp(mixers: usize) -> Ramp {
    Ramp {
        mixers,
        uneven: 4.0,
        searchers: if mixers > 100 { 60 } else { 12 },
        reach: 3,
        cores: 2,
        load: 0.5,
        kinds: vec![kind(0.4, 6, 0.67, 60.0, 600.0), kind(0.6, 4, 1.0, 50.0, 600.0)],
        cold: if mixers > 100 { 30 } else { 6 },
        apart_ms: 300.0,
        stride: 1,
        silence: None,
        notice_ms: 2000.0,
        guards: SafetyLimits {
            cold_capacity_share: 0.2,
            warm_up_ms: 10_000.0,
            overload_multiple: 2.0,
            overload_window_ms: 1500.0,
            retry_budget: None,
        },
        permits: permits(),
        zones: 1,
        reports: false,
        restarts: 0.0,
        again_ms: None,
        slower: 1.0,
        stated: 1.0,
        length_ms: 16_000.0,
    }
}

fn apart(mixers: usize) -> Ramp {
    Ramp { kinds: vec![kind(0.1, 5, 1.0, 180.0, 800.0), kind(0.9, 9, 0.6, 10.0, 100.0)], ..ramp(mixers) }
}

fn wide(mixers: usize) -> Ramp {
    Ramp { kinds: vec![kind(0.1, 10, 1.0, 50.0, 600.0), kind(0.9, 3, 1.0, 50.0, 600.0)], ..ramp(mixers) }
}

fn all_cold(mixers: usize) -> Ramp {
    Ramp { cold: ramp(mixers).searchers, apart_ms: 100.0, load: 0.3, ..ramp(mixers) }
}

/// Plays all, as many at a time as there are cores for it.
fn play(days: Vec<(String, Ramp, u64)>) -> Vec<(String, Played)> {
    let (next, played) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get().min(4));
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| {
                while let Some((name, ramp, seed)) = days.get(next.fetch_add(1, Ordering::SeqCst)) {
                    let day = (format!("{name}, {} mixers, seed {seed}", ramp.mixers), ramp.play(*seed));
                    played.lock().expect("no panic holds it").push(day);
                }
            });
        }
    });
    played.into_inner().expect("no panic holds it")
}

/// No window of a cold searcher held more than the budget and what is put down to chance.
fn holds(days: Vec<(String, Ramp, u64)>) {
    for (name, played) in play(days) {
        assert!(played.fullest > 0.0, "{name}: no cold searcher got anything");
        let Played { fullest, fullest_calls, .. } = played;
        assert!(fullest <= 1.0, "{name}: a window held {fullest:.2} of what is borne: {fullest_calls:?}");
    }
}

/// `RAMP_FROM=1 RAMP_TO=4 cargo test --test ramp -- --ignored --nocapture table_of_overload` prints the fullest window of each case
/// of these seeds, and what led to the calls in it.
#[test]
#[ignore = "prints, for people"]
fn table_of_overload() {
    let seed =
        |name: &str, otherwise: u64| std::env::var(name).map_or(otherwise, |s| s.parse().expect("a seed"));
    let mut days = Vec::new();
    for seed in seed("RAMP_FROM", 1)..seed("RAMP_TO", 4) {
        for cores in [1, 2] {
            let cases = [
                ("several types", ramp(300)),
                ("a tenth restarted each half second", Ramp { restarts: 0.1, ..ramp(300) }),
                ("no searcher warm", all_cold(300)),
            ];
            let overloaded = |ramp: Ramp| Ramp { load: 1.0, cores, ..ramp };
            days.extend(cases.map(|(name, ramp)| (format!("{name}, {cores} cores"), overloaded(ramp), seed)));
        }
    }
    let mut played = play(days);
    played.sort_by(|one, other| one.0.cmp(&other.0));
    for (name, day) in played {
        let Played { fullest, fullest_calls, used, while_cold, .. } = day;
        println!(
            "{name}: fullest {fullest:.3}, used {used:.2}, {fullest_calls:?}, while cold {while_cold:?}"
        );
    }
}

#[test]
fn the_sum_of_all_mixers_stays_within_a_cold_searchers_budget() {
    let mut days = Vec::new();
    for mixers in [2, 20, 30, 300] {
        let cases = [
            ("several types", ramp(mixers)),
            ("a tenth restarted each half second", Ramp { restarts: 0.1, ..ramp(mixers) }),
            ("searchers that start twice", Ramp { again_ms: Some(2500.0), ..ramp(mixers) }),
            ("all warm ones slower", Ramp { slower: 1.7, load: 0.3, ..ramp(mixers) }),
            ("more mixers than stated", Ramp { stated: 0.9, ..ramp(mixers) }),
            ("one core, and busy", Ramp { cores: 1, load: 0.6, ..ramp(mixers) }),
            ("work far apart", apart(mixers)),
            ("no searcher warm", all_cold(mixers)),
        ];
        let seeds = if mixers == 300 { 1..2 } else { 1..5 };
        for (name, ramp) in cases {
            days.extend(seeds.clone().map(|seed| (name.to_owned(), ramp.clone(), seed)));
        }
    }
    holds(days);
}

#[test]
fn the_sum_stays_within_the_budget_under_overload() {
    let overloaded = |cores, ramp: Ramp| Ramp { load: 1.0, cores, ..ramp };
    let cases = [1, 2].into_iter().flat_map(|cores| {
        [
            ("several types", overloaded(cores, ramp(300))),
            ("a tenth restarted each half second", overloaded(cores, Ramp { restarts: 0.1, ..ramp(300) })),
            ("no searcher warm", overloaded(cores, all_cold(300))),
        ]
    });
    holds(cases.map(|(name, ramp)| (name.to_owned(), ramp, 1)).collect());
}

#[test]
fn it_does_so_under_drawn_settings() {
    // A table type whose parts are several times the mean, on one core, comes nearest.
    let one_core =
        |ramp: Ramp| Ramp { cores: 1, searchers: ramp.searchers.min(30), cold: ramp.cold.min(12), ..ramp };
    let drawn = (0..60).map(|seed| ("drawn".to_owned(), Ramp::drawn(seed), seed));
    let near = (0..60).map(|seed| ("drawn, on one core".to_owned(), one_core(Ramp::drawn(seed)), seed));
    // The largest are played above.
    holds(drawn.chain(near).filter(|(_, ramp, _)| ramp.mixers < 300 && ramp.cold > 0).collect());
}

/// Each table type's share in time of what was asked for while searchers were cold, over the seeds.
fn served(name: &str, ramp: &Ramp, seeds: u64) -> Vec<f64> {
    let days = play((0..seeds).map(|seed| (name.to_owned(), ramp.clone(), seed)).collect());
    (0..ramp.kinds.len())
        .map(|kind| {
            let counts = days.iter().map(|(_, played)| played.while_cold[kind]);
            let (asked, served) = counts.fold((0, 0), |sum, c| (sum.0 + c.0, sum.1 + c.1));
            f64::from(served) / f64::from(asked)
        })
        .collect()
}

/// Of each table type at least so much is served. The bounds lie between what it was when room was given by the work of a
/// part against one share for all types, and what it is.
fn serves(name: &str, ramp: &Ramp, seeds: u64, least: &[f64]) {
    let served = served(name, ramp, seeds);
    let kept = served.iter().zip(least).all(|(served, least)| served >= least);
    assert!(kept, "{name}, {} mixers: served {served:.3?}, at least {least:?} wanted", ramp.mixers);
}

#[test]
fn long_parts_get_room_on_cold_searchers_beside_many_short_ones() {
    serves("work far apart", &apart(20), 8, &[0.55, 0.70]);
    serves("work far apart", &apart(30), 8, &[0.50, 0.70]);
}

#[test]
fn scans_of_many_parts_that_need_all_get_room_beside_narrow_ones() {
    serves("many parts beside few", &wide(20), 8, &[0.52, 0.75]);
    serves("many parts beside few", &wide(30), 8, &[0.48, 0.75]);
}

#[test]
fn hundreds_of_mixers_use_what_cold_searchers_may_bear() {
    serves("several types", &ramp(300), 3, &[0.76, 0.765]);
    serves("no searcher warm", &all_cold(300), 3, &[0.47, 0.50]);
}
