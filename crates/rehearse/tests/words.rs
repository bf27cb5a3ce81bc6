//! Mixers that share words beside as many that share nothing, on the same days.

use pewterwharf_rehearse::{Fleet, Spell, Trouble, Words, play};

fn fleet(mixers: usize, words: Option<Words>) -> Fleet {
    // As much for each mixer, however many there are: searchers grow with them.
    let sets = (mixers / 3).max(2);
    Fleet { mixers, sets, scans_per_s: 55.0 * sets as f64, words, ..Fleet::small() }
}

fn well() -> Words {
    Words { delay_ms: 5.0, loss: 0.01, liar: None }
}

fn hang(from: f64, to: f64) -> [Spell; 1] {
    [Spell { from, to, trouble: Trouble::Hang { who: vec![1] } }]
}

#[test]
fn with_words_a_hung_searcher_costs_all_together_less_and_no_rule() {
    let (mut alone, mut shared) = (0, 0);
    for seed in 0..5 {
        let day = |words| play(&fleet(20, words), &hang(5000.0, 15_000.0), 20_000.0, seed);
        let (without, with) = (day(None), day(Some(well())));
        assert_eq!((with.lost, with.twice), (0, 0));
        alone += without.into_hang;
        shared += with.into_hang;
    }
    assert!(shared * 10 < alone * 9, "{shared} parts with words, {alone} without");
}

#[test]
fn a_liar_takes_nothing_from_the_fleet_that_it_would_have_alone() {
    for seed in 0..3 {
        let words = Words { liar: Some(0), ..well() };
        let told = play(&fleet(10, Some(words)), &[], 15_000.0, seed);
        let alone = play(&fleet(10, None), &[], 15_000.0, seed);
        assert_eq!((told.lost, told.twice), (0, 0));
        let (told, alone) = (told.served(1000.0, 15_000.0), alone.served(1000.0, 15_000.0));
        assert!(told > alone - 0.02, "{told:.3} in time with a liar, {alone:.3} without words");
    }
}

#[test]
#[ignore = "a measurement for docs/copies.md"]
fn parts_into_a_hang_and_time_until_each_knows() {
    println!(
        "mixers  parts alone  parts shared  median/last marked alone  median/last marked shared  bytes/s/mixer"
    );
    for mixers in [3, 5, 9, 20, 50] {
        let (mut sums, mut marked, mut bytes) = ([0, 0], [Vec::new(), Vec::new()], 0);
        for seed in 0..10 {
            for (nth, words) in [None, Some(well())].into_iter().enumerate() {
                let day = play(&fleet(mixers, words), &hang(5000.0, 15_000.0), 20_000.0, seed);
                sums[nth] += day.into_hang;
                bytes += day.word_bytes;
                let last = day.marked_ms.last().copied().unwrap_or(f64::NAN);
                let median = day.marked_ms.get(day.marked_ms.len() / 2).copied().unwrap_or(f64::NAN);
                marked[nth].push((median, last, day.marked_ms.len()));
            }
        }
        let mean = |of: &Vec<(f64, f64, usize)>| {
            let n = of.len() as f64;
            let sum = |f: fn(&(f64, f64, usize)) -> f64| of.iter().map(f).sum::<f64>() / n;
            format!("{:.0}/{:.0} ms, {:.1} know", sum(|m| m.0), sum(|m| m.1), sum(|m| m.2 as f64))
        };
        println!(
            "{mixers:>6} {:>12.1} {:>13.1}  {:>24}  {:>24} {:>10.0}",
            f64::from(sums[0]) / 10.0,
            f64::from(sums[1]) / 10.0,
            mean(&marked[0]),
            mean(&marked[1]),
            bytes as f64 / 10.0 / 20.0 / mixers as f64
        );
    }
}
