//! Applying and digesting records, compared with a plain map that keeps the greater counter.

use std::collections::BTreeMap;
use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use pewterwharf_peers::Incarnation;
use pewterwharf_replica::kinds::Mark;
use pewterwharf_replica::{Limits, RecordBatch, Replica};

/// The greatest counter and its value, by kind and name.
type PlainMap = BTreeMap<(u8, String), (u64, Option<Vec<u8>>)>;

const RECORDS: usize = 1000;

fn replica(name: &str) -> Replica {
    let limits = Limits { records: 10_000, bytes: 1 << 24 };
    Replica::new(name, Incarnation::first(1), ["a".to_owned(), "b".to_owned()], limits)
}

fn full_replica() -> (Replica, RecordBatch) {
    let mut a = replica("a");
    for n in 0..RECORDS {
        a.publish(0.0, &format!("127.0.0.1:{n}"), &Mark { latency_ratio: 4.0, parts: 3, late: false }, 0.0);
    }
    let batch = a.own_records_since(0.0, 0, 1 << 24).expect("records");
    (a, batch)
}

fn rows(c: &mut Criterion) {
    let (a, batch) = full_replica();
    c.bench_function("take 1000 rows", |b| {
        b.iter_batched(
            || replica("b"),
            |mut receiver| receiver.apply(0.0, 0.0, "a", &batch).map(|changes| changes.len()),
            BatchSize::SmallInput,
        );
    });
    c.bench_function("plain map, 1000 rows", |b| {
        b.iter_batched(
            BTreeMap::new,
            |mut map: PlainMap| {
                for record in &batch.records {
                    let key = (record.kind, record.name.clone());
                    let held = map.entry(key).or_insert((0, None));
                    if held.0 < record.counter {
                        *held = (record.counter, record.value.clone());
                    }
                }
                map.len()
            },
            BatchSize::SmallInput,
        );
    });
    c.bench_function("sum of 1000 rows", |b| b.iter(|| black_box(&a).digest()));
    c.bench_function("ranges of 1000 rows", |b| b.iter(|| black_box(&a).range_digests("a")));
}

criterion_group!(benches, rows);
criterion_main!(benches);
