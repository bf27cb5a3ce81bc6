//! Merges and sums of copies, against a plain map that keeps the greater counter.

use std::collections::BTreeMap;
use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use pewterwharf_peers::Incarnation;
use pewterwharf_replica::kinds::Mark;
use pewterwharf_replica::{Limits, RecordBatch, Replica};

/// Of a kind and a name, the greatest counter and its value.
type Plain = BTreeMap<(u8, String), (u64, Option<Vec<u8>>)>;

const ROWS: usize = 1000;

fn replica(me: &str) -> Replica {
    let room = Limits { rows: 10_000, bytes: 1 << 24 };
    Replica::new(me, Incarnation::first(1), ["a".to_owned(), "b".to_owned()], room)
}

fn full() -> (Replica, RecordBatch) {
    let mut a = replica("a");
    for nth in 0..ROWS {
        a.publish(0.0, &format!("127.0.0.1:{nth}"), &Mark { latency_ratio: 4.0, parts: 3, late: false }, 0.0);
    }
    let part = a.own_records_since(0.0, 0, 1 << 24).expect("it has rows");
    (a, part)
}

fn rows(c: &mut Criterion) {
    let (a, part) = full();
    c.bench_function("take 1000 rows", |b| {
        b.iter_batched(
            || replica("b"),
            |mut r| r.apply(0.0, 0.0, "a", &part).map(|n| n.len()),
            BatchSize::SmallInput,
        );
    });
    c.bench_function("plain map, 1000 rows", |b| {
        b.iter_batched(
            BTreeMap::new,
            |mut map: Plain| {
                for row in &part.rows {
                    let key = (row.kind, row.name.clone());
                    let held = map.entry(key).or_insert((0, None));
                    if held.0 < row.counter {
                        *held = (row.counter, row.value.clone());
                    }
                }
                map.len()
            },
            BatchSize::SmallInput,
        );
    });
    c.bench_function("sum of 1000 rows", |b| b.iter(|| black_box(&a).sum()));
    c.bench_function("ranges of 1000 rows", |b| b.iter(|| black_box(&a).ranges("a")));
}

criterion_group!(benches, rows);
criterion_main!(benches);
