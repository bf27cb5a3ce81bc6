//! Figures for `docs/copies.md`, simulated: nothing is held against them but what the tests beside them hold.

#[allow(dead_code)] // the other tests use the rest
mod net;

use net::Net;

/// What many mixers cost each, and how long they take to agree after a partition into halves.
#[test]
#[ignore = "a measurement"]
fn growth_with_the_fleet() {
    println!("mixers  words/s each  bytes/s each  ms to agree after a heal (each of 3 seeds)");
    for n in [3, 5, 9, 30, 100, 300] {
        let (mut words, mut bytes, mut took) = (0.0, 0.0, Vec::new());
        for seed in 1..=3 {
            let mut net = Net::new(n, seed);
            net.until_agreed(120_000.0).expect("it comes up");
            net.run(3000.0);
            let (w, b) = (net.words, net.bytes);
            // A mark a second, as in a fleet that has some trouble.
            for s in 0..10 {
                net.mark((s * 7) % n, s as u16, true);
                net.run(1000.0);
            }
            words += (net.words - w) as f64 / 10.0 / n as f64 / 3.0;
            bytes += (net.bytes - b) as f64 / 10.0 / n as f64 / 3.0;
            net.part(|i| i % 2 == 0);
            net.run(8000.0);
            net.mark(0, 3, true);
            net.mark(1, 4, true);
            net.run(2000.0);
            net.heal();
            took.push(net.until_agreed(120_000.0).unwrap_or(f64::NAN));
        }
        println!("{n:>6} {words:>13.1} {bytes:>13.0}  {took:?}");
    }
}

/// Bytes that go about while one mixer catches up, by how many rows it lacks.
#[test]
#[ignore = "a measurement"]
fn bytes_of_catch_up() {
    println!("rows lacking  bytes until agreed  ms  (bytes of the same span without)");
    for rows in [0, 10, 100, 1000] {
        let mut net = Net::new(3, 9);
        net.until_agreed(60_000.0).expect("it comes up");
        net.run(2000.0);
        let mut spans = Vec::new();
        for lacking in [rows, 0] {
            net.part(|i| i == 2);
            net.run(6000.0);
            for s in 0..lacking {
                net.mark(0, s as u16, true);
            }
            net.run(500.0);
            let before = net.bytes;
            net.heal();
            let took = net.until_agreed(60_000.0).unwrap_or(f64::NAN);
            spans.push((net.bytes - before, took));
            (0..lacking).for_each(|s| net.mark(0, s as u16, false));
            net.run(2000.0);
        }
        println!("{rows:>12} {:>19} {:>4.0}  ({} in {:.0})", spans[0].0, spans[0].1, spans[1].0, spans[1].1);
    }
}
