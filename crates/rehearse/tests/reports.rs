//! Fleets whose mixers exchange reports, compared with the same fleets without the exchange.

use pewterwharf_rehearse::{Fault, FaultPeriod, Fleet, ReportExchange, simulate};

fn fleet(mixers: usize, reports: Option<ReportExchange>) -> Fleet {
    // The load of each mixer is constant: the number of searchers grows with that of mixers.
    let sets = (mixers / 3).max(2);
    Fleet { mixers, sets, scans_per_s: 55.0 * sets as f64, reports, ..Fleet::small() }
}

fn good_exchange() -> ReportExchange {
    ReportExchange { max_delay_ms: 5.0, loss_share: 0.01, faulty_mixer: None }
}

fn hang(from_ms: f64, to_ms: f64) -> [FaultPeriod; 1] {
    [FaultPeriod { from_ms, to_ms, fault: Fault::Hang { searchers: vec![1] } }]
}

#[test]
fn dispatches_to_hung_searcher() {
    let mut dispatches_without = 0;
    let mut dispatches_with = 0;
    for seed in 0..5 {
        let run = |reports| simulate(&fleet(20, reports), &hang(5000.0, 15_000.0), 20_000.0, seed);
        let without = run(None);
        let with = run(Some(good_exchange()));
        assert_eq!((with.unanswered, with.ran_twice), (0, 0));
        dispatches_without += without.dispatches_to_hung;
        dispatches_with += with.dispatches_to_hung;
    }
    assert!(
        dispatches_with * 10 < dispatches_without * 9,
        "{dispatches_with} dispatches with reports, {dispatches_without} without"
    );
}

#[test]
fn service_with_faulty_reports() {
    for seed in 0..3 {
        let exchange = ReportExchange { faulty_mixer: Some(0), ..good_exchange() };
        let with = simulate(&fleet(10, Some(exchange)), &[], 15_000.0, seed);
        let without = simulate(&fleet(10, None), &[], 15_000.0, seed);
        assert_eq!((with.unanswered, with.ran_twice), (0, 0));
        let with = with.in_time_share(1000.0, 15_000.0);
        let without = without.in_time_share(1000.0, 15_000.0);
        assert!(with > without - 0.02, "{with:.3} in time with a faulty mixer, {without:.3} without reports");
    }
}

/// When the mixers of a run had marked the hung searcher.
struct Detection {
    median_ms: f64,
    last_ms: f64,
    /// Number of mixers that marked it.
    mixers: usize,
}

#[test]
#[ignore = "a measurement for docs/copies.md"]
fn detection_times_of_hang() {
    println!(
        "mixers  parts alone  parts shared  median/last marked alone  median/last marked shared  bytes/s/mixer"
    );
    for mixers in [3, 5, 9, 20, 50] {
        // Without and with the exchange.
        let mut dispatches = [0, 0];
        let mut detections = [Vec::new(), Vec::new()];
        let mut bytes = 0;
        for seed in 0..10 {
            for (nth, reports) in [None, Some(good_exchange())].into_iter().enumerate() {
                let result = simulate(&fleet(mixers, reports), &hang(5000.0, 15_000.0), 20_000.0, seed);
                dispatches[nth] += result.dispatches_to_hung;
                bytes += result.report_bytes;
                let marked_after_ms = &result.marked_after_ms;
                let median_ms = marked_after_ms.get(marked_after_ms.len() / 2).copied().unwrap_or(f64::NAN);
                let last_ms = marked_after_ms.last().copied().unwrap_or(f64::NAN);
                detections[nth].push(Detection { median_ms, last_ms, mixers: marked_after_ms.len() });
            }
        }
        let describe = |detections: &[Detection]| {
            let count = detections.len() as f64;
            let mean = |field: fn(&Detection) -> f64| detections.iter().map(field).sum::<f64>() / count;
            let (median_ms, last_ms) = (mean(|d| d.median_ms), mean(|d| d.last_ms));
            format!("{median_ms:.0}/{last_ms:.0} ms, {:.1} mixers", mean(|d| d.mixers as f64))
        };
        println!(
            "{mixers:>6} {:>12.1} {:>13.1}  {:>24}  {:>24} {:>10.0}",
            f64::from(dispatches[0]) / 10.0,
            f64::from(dispatches[1]) / 10.0,
            describe(&detections[0]),
            describe(&detections[1]),
            bytes as f64 / 10.0 / 20.0 / mixers as f64
        );
    }
}
