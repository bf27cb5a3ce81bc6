//! Simulated figures for `docs/copies.md`. They have no limits beyond those of the other tests.

#[allow(dead_code)] // the other tests use the rest
mod net;

use net::Net;

/// What many mixers cost each one, and how long they take to converge after a partition into halves.
#[test]
#[ignore = "a measurement"]
fn growth_with_the_fleet() {
    const SEEDS: u64 = 3;
    const MARKS: usize = 10;
    println!("mixers  words/s each  bytes/s each  ms to agree after a heal (each of 3 seeds)");
    for n in [3, 5, 9, 30, 100, 300] {
        let (mut packets_per_s, mut bytes_per_s, mut convergence_ms) = (0.0, 0.0, Vec::new());
        for seed in 1..=SEEDS {
            let mut net = Net::new(n, seed);
            net.run_until_converged(120_000.0).expect("all start up");
            net.run(3000.0);
            let (packets, bytes) = (net.packets, net.bytes);
            // A mark a second, as in a fleet with some trouble.
            for searcher in 0..MARKS {
                net.mark((searcher * 7) % n, searcher as u16, true);
                net.run(1000.0);
            }
            packets_per_s += (net.packets - packets) as f64 / 10.0 / n as f64 / 3.0;
            bytes_per_s += (net.bytes - bytes) as f64 / 10.0 / n as f64 / 3.0;
            net.partition(|i| i % 2 == 0);
            net.run(8000.0);
            net.mark(0, 3, true);
            net.mark(1, 4, true);
            net.run(2000.0);
            net.heal();
            convergence_ms.push(net.run_until_converged(120_000.0).unwrap_or(f64::NAN));
        }
        println!("{n:>6} {packets_per_s:>13.1} {bytes_per_s:>13.0}  {convergence_ms:?}");
    }
}

/// Bytes sent while one mixer catches up, by the number of records that it lacks.
#[test]
#[ignore = "a measurement"]
fn bytes_of_catch_up() {
    println!("rows lacking  bytes until agreed  ms  (bytes of the same span without)");
    for records in [0, 10, 100, 1000] {
        let mut net = Net::new(3, 9);
        net.run_until_converged(60_000.0).expect("all start up");
        net.run(2000.0);
        let mut spans = Vec::new();
        for lacking in [records, 0] {
            net.partition(|i| i == 2);
            net.run(6000.0);
            for searcher in 0..lacking {
                net.mark(0, searcher as u16, true);
            }
            net.run(500.0);
            let bytes = net.bytes;
            net.heal();
            let took_ms = net.run_until_converged(60_000.0).unwrap_or(f64::NAN);
            spans.push((net.bytes - bytes, took_ms));
            (0..lacking).for_each(|searcher| net.mark(0, searcher as u16, false));
            net.run(2000.0);
        }
        println!(
            "{records:>12} {:>19} {:>4.0}  ({} in {:.0})",
            spans[0].0, spans[0].1, spans[1].0, spans[1].1
        );
    }
}
