//! Replicas converge whatever the order, number, size and sender of the batches, and stay within their limits.

use pewterwharf_peers::Incarnation;
use pewterwharf_replica::kinds::{
    CustomerUsage, Departure, IdleConnectionsLost, Mark, ProcessStart, RecordKind, SearcherList, Stage,
};
use pewterwharf_replica::{
    BatchKind, Delta, Limits, OriginState, RecordBatch, RejectReason, Replica, Report, WireRecord,
};
use proptest::prelude::*;

const LIMITS: Limits = Limits { records: 1000, bytes: 1 << 20 };
/// A budget that fits everything into one piece.
const UNLIMITED: usize = 1 << 20;

fn incarnation(number: u64) -> Incarnation {
    Incarnation { number, nonce: 7 }
}

fn replica(name: &str) -> Replica {
    Replica::new(name, incarnation(1), ["a", "b", "c"].map(str::to_owned), LIMITS)
}

fn mark(latency_ratio: f64) -> Mark {
    Mark { latency_ratio, parts: 3, late: false }
}

/// Sends everything that `to` lacks from `from`, piece by piece. Returns the number of pieces.
fn catch_up(from: &Replica, to: &mut Replica, now_ms: f64, piece_bytes: usize) -> usize {
    // Membership reports incarnations, also those of mixers that have published nothing yet.
    for entry in from.version_vector() {
        to.observe_incarnation(&entry.origin, entry.incarnation);
    }
    for piece in 1..10_000 {
        let delta = from.delta(now_ms, &to.version_vector(), piece_bytes);
        for batch in &delta.batches {
            to.apply(now_ms, 0.0, from.local_name(), batch).expect("a delta to the held version is accepted");
        }
        if delta.remaining == 0 {
            return piece;
        }
    }
    panic!("the catch-up does not end");
}

#[derive(Debug, PartialEq)]
struct OwnedRecord {
    origin: String,
    kind: u8,
    name: String,
    counter: u64,
    value: Vec<u8>,
}

fn records(replica: &Replica) -> Vec<OwnedRecord> {
    let owned = replica.records().map(|record| OwnedRecord {
        origin: record.origin.to_owned(),
        kind: record.kind,
        name: record.name.to_owned(),
        counter: record.counter,
        value: record.value.to_vec(),
    });
    owned.collect()
}

fn assert_join_laws<K: RecordKind>(a: K, b: K, c: K) {
    assert_eq!(a.clone().join(b.clone()), b.clone().join(a.clone()), "commutative");
    assert_eq!(a.clone().join(b.clone()).join(c.clone()), a.clone().join(b.join(c)), "associative");
    assert_eq!(a.clone().join(a.clone()), a, "idempotent");
}

fn any_stage() -> impl Strategy<Value = Stage> {
    prop_oneof![Just(Stage::Up), Just(Stage::Draining), Just(Stage::Gone)]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn join_laws(
        figures in prop::array::uniform3(0.0..4.0f64),
        counts in prop::array::uniform3(0u32..3),
        stages in prop::array::uniform3(any_stage()),
    ) {
        // Few distinct values, so that ties are common.
        let figures = figures.map(f64::round);
        let three = [0, 1, 2];
        let [a, b, c] = three.map(|i| {
            Mark { latency_ratio: figures[i], parts: counts[i], late: stages[i] == Stage::Up }
        });
        assert_join_laws(a, b, c);
        let [a, b, c] = three.map(|i| ProcessStart { started_at_ms: figures[i] });
        assert_join_laws(a, b, c);
        let [a, b, c] = three.map(|i| Departure { started_at_ms: figures[i], stage: stages[i] });
        assert_join_laws(a, b, c);
        let [a, b, c] = three.map(|i| IdleConnectionsLost { times: counts[i] as u16 });
        assert_join_laws(a, b, c);
        let [a, b, c] = three.map(|i| {
            SearcherList { index: u64::from(counts[i]), ready: figures[i] as u32 }
        });
        assert_join_laws(a, b, c);
        let [a, b, c] = three.map(|i| CustomerUsage { scans: counts[i], span_ms: 1 + figures[i] as u32 });
        assert_join_laws(a, b, c);
    }

    /// An origin publishes, retracts and restarts; its batches arrive in any order and number. A replica that
    /// catches up then holds the same as the origin.
    #[test]
    fn convergence_in_any_batch_order(
        actions in prop::collection::vec((0u8..8, 0u8..4), 1..40),
        order in prop::collection::vec((0usize..64, 0usize..3), 0..120),
    ) {
        let mut origin = replica("a");
        let mut batches: Vec<RecordBatch> = Vec::new();
        for (step, (action, subject)) in actions.into_iter().enumerate() {
            let before = origin.origin("a").map_or(0, |own| own.version);
            match action {
                0 => origin.change_incarnation(incarnation(2 + step as u64)),
                1 | 2 => origin.retract::<Mark>(0.0, &subject.to_string()),
                _ => { origin.publish(0.0, &subject.to_string(), &mark(f64::from(action)), 0.0); }
            }
            let after = if action == 0 { 0 } else { before };
            batches.extend(origin.own_records_since(0.0, after, UNLIMITED));
        }
        let mut others = [replica("b"), replica("c")];
        for (index, receiver) in order {
            if let (Some(batch), Some(other)) = (batches.get(index), others.get_mut(receiver)) {
                let _ = other.apply(0.0, 0.0, "a", batch); // a gap has the same effect as a lost message
            }
        }
        let [mut b, mut c] = others;
        // b catches up from the origin, c from b.
        catch_up(&origin, &mut b, 0.0, 200);
        catch_up(&b, &mut c, 0.0, 200);
        prop_assert_eq!(records(&b), records(&origin));
        prop_assert_eq!(records(&c), records(&origin));
        prop_assert_eq!(b.digest(), c.digest());
    }
}

fn permutations(n: usize) -> Vec<Vec<usize>> {
    if n == 0 {
        return vec![Vec::new()];
    }
    let shorter = permutations(n - 1);
    shorter.iter().flat_map(|p| (0..n).map(move |at| [&p[..at], &[n - 1], &p[at..]].concat())).collect()
}

/// All orders of six batches, a deletion and a restart among them: after a final catch-up the receiver holds
/// the same as the origin, and its version never decreases.
#[test]
fn convergence_in_all_orders_of_six() {
    let mut origin = replica("a");
    let mut batches = Vec::new();
    let mut step = |origin: &mut Replica, action: &dyn Fn(&mut Replica)| {
        let before = origin.origin("a").expect("its own records");
        action(origin);
        let now = origin.origin("a").expect("its own records");
        let after = if now.incarnation == before.incarnation { before.version } else { 0 };
        batches.extend(origin.own_records_since(0.0, after, UNLIMITED));
    };
    step(&mut origin, &|o| assert!(o.publish(0.0, "s1", &mark(4.0), 0.0)));
    step(&mut origin, &|o| assert!(o.publish(0.0, "s2", &mark(5.0), 0.0)));
    step(&mut origin, &|o| o.retract::<Mark>(0.0, "s1"));
    step(&mut origin, &|o| o.change_incarnation(incarnation(2)));
    step(&mut origin, &|o| assert!(o.publish(0.0, "s1", &mark(6.0), 0.0)));
    step(&mut origin, &|o| o.retract::<Mark>(0.0, "s2"));
    assert_eq!(batches.len(), 6);
    let orders = permutations(6);
    assert_eq!(orders.len(), 720);
    for order in orders {
        let mut other = replica("b");
        let mut newest = (Incarnation::default(), 0);
        for index in order {
            let _ = other.apply(0.0, 0.0, "a", &batches[index]);
            let held = other.origin("a").unwrap_or_default();
            assert!((held.incarnation, held.version) >= newest, "a version never decreases");
            newest = (held.incarnation, held.version);
        }
        catch_up(&origin, &mut other, 0.0, UNLIMITED);
        assert_eq!(records(&other), records(&origin));
    }
}

/// A mixer that was unreachable while records were deleted and their tombstones discarded must neither keep nor
/// send these records.
#[test]
fn deletions_and_an_absent_mixer() {
    let (mut a, mut b, mut absent) = (replica("a"), replica("b"), replica("c"));
    for n in 0..50 {
        a.publish(0.0, &format!("s{n}"), &mark(4.0), 0.0);
    }
    catch_up(&a, &mut b, 0.0, UNLIMITED);
    catch_up(&a, &mut absent, 0.0, UNLIMITED);
    for n in 0..40 {
        a.retract::<Mark>(10.0, &format!("s{n}"));
    }
    catch_up(&a, &mut b, 10.0, UNLIMITED);
    // All but the absent mixer discard the tombstones.
    a.tick(100_000.0);
    b.tick(100_000.0);
    assert_eq!(a.size().records, 10);
    // The others accept none of its records, and it removes the deleted ones when it catches up in small pieces.
    let from_absent = absent.delta(100_000.0, &b.version_vector(), UNLIMITED).batches;
    assert!(
        from_absent.iter().all(|batch| batch.origin == "c" || batch.records.is_empty()),
        "{from_absent:?}"
    );
    let pieces = catch_up(&b, &mut absent, 100_000.0, 200);
    assert!(pieces >= 2, "in {pieces}");
    assert_eq!(records(&absent), records(&a));
    assert_eq!(absent.digest(), b.digest());
}

/// A record of an earlier piece is deleted, and its tombstone discarded, before a full sync ends.
#[test]
fn deletion_during_full_sync() {
    let (mut a, mut away) = (replica("a"), replica("c"));
    for n in 0..50 {
        a.publish(0.0, &format!("s{n:02}"), &mark(4.0), 0.0);
    }
    catch_up(&a, &mut away, 0.0, UNLIMITED);
    a.retract::<Mark>(0.0, "s40");
    a.tick(100_000.0);
    let Delta { batches, remaining } = a.delta(100_000.0, &away.version_vector(), 300);
    assert!(remaining > 0 && matches!(batches[0].kind, BatchKind::FullSync { last: false }));
    away.apply(100_000.0, 0.0, "a", &batches[0]).expect("the sync begins");
    a.retract::<Mark>(100_000.0, "s00");
    a.tick(200_000.0);
    for _ in 0..3 {
        catch_up(&a, &mut away, 200_000.0, 300);
    }
    assert_eq!(records(&away), records(&a));
}

#[test]
fn records_of_earlier_incarnation() {
    let (mut a, mut b) = (replica("a"), replica("b"));
    a.publish(0.0, "s1", &mark(4.0), 0.0);
    let old = a.own_records_since(0.0, 0, UNLIMITED).expect("a record");
    b.apply(0.0, 0.0, "a", &old).expect("it is new");
    b.observe_incarnation("a", incarnation(2));
    assert_eq!(b.origin("a"), Some(OriginState { incarnation: incarnation(2), version: 0, records: 0 }));
    assert_eq!(b.apply(0.0, 0.0, "a", &old), Err(RejectReason::StaleIncarnation));
}

#[test]
fn repair_of_diverging_ranges() {
    let (mut a, mut b, mut c) = (replica("a"), replica("b"), replica("c"));
    for n in 0..100 {
        a.publish(0.0, &format!("s{n}"), &mark(4.0), 0.0);
    }
    // Two records are removed from what b receives, as no correct mixer would do.
    let mut batch = a.own_records_since(0.0, 0, UNLIMITED).expect("records");
    batch.records.retain(|record| ![7, 70].contains(&record.counter));
    b.apply(0.0, 0.0, "a", &batch).expect("the gap can't be detected");
    catch_up(&a, &mut c, 0.0, UNLIMITED);
    assert_eq!(b.diverging_origins(&c.version_vector()), ["a"]);
    let digests = b.range_digests("a").expect("held records");
    let repairs = c.repair_batches(0.0, "a", &digests, UNLIMITED);
    assert_eq!(repairs.len(), 2, "two of sixteen ranges: {repairs:?}");
    for batch in &repairs {
        b.apply(0.0, 0.0, "c", batch).expect("it is accepted");
    }
    assert_eq!(records(&b), records(&a));
    assert_eq!(b.digest(), a.digest());
}

#[test]
fn quota_per_origin() {
    let limits = Limits::per_origin(64 * 1024, 4);
    let mut local = Replica::new("a", incarnation(1), ["a", "b", "c"].map(str::to_owned), limits);
    local.publish(0.0, "s1", &mark(4.0), 0.0);
    let record = |counter: u64| WireRecord {
        kind: 200,
        name: format!("{counter}"),
        counter,
        age_ms: 0,
        value: Some(vec![1; 8]),
    };
    let mut records: Vec<WireRecord> = (1..=1000).map(record).collect();
    // A thousand records ten thousand times, with new counters each time, and one of them with a new name.
    for round in 0..10_000 {
        records.iter_mut().for_each(|record| record.counter += 1000);
        records[0].name = format!("new {round}");
        let batch = RecordBatch {
            origin: "b".to_owned(),
            incarnation: incarnation(1),
            after: 0,
            through: records[999].counter,
            tombstone_floor: 0,
            kind: BatchKind::Delta,
            records,
        };
        assert_eq!(local.apply(0.0, 0.0, "b", &batch), Err(RejectReason::OverQuota));
        let bytes = local.size().bytes;
        assert!(bytes <= 2 * limits.bytes, "{bytes} of {}", limits.bytes);
        records = batch.records;
    }
    // Records of other origins still have room.
    let mut c = replica("c");
    c.publish(0.0, "s2", &mark(4.0), 0.0);
    let batch = c.own_records_since(0.0, 0, UNLIMITED).expect("a record");
    assert!(local.apply(0.0, 0.0, "c", &batch).is_ok());
}

#[test]
fn rejection_of_invalid_batches() {
    let mut local = replica("a");
    let record = |name: &str, counter, value: Vec<u8>| WireRecord {
        kind: 1,
        name: name.to_owned(),
        counter,
        age_ms: 0,
        value: Some(value),
    };
    let batch = |origin: &str, after, through, records| RecordBatch {
        origin: origin.to_owned(),
        incarnation: incarnation(1),
        after,
        through,
        tombstone_floor: 0,
        kind: BatchKind::Delta,
        records,
    };
    let valid = || {
        let mut b = replica("b");
        b.publish(0.0, "s", &mark(4.0), 0.0);
        let mut batch = b.own_records_since(0.0, 0, UNLIMITED).expect("a record");
        batch.records.remove(0).value.expect("no tombstone")
    };
    let mut rejected =
        |batch: RecordBatch| local.apply(0.0, 0.0, "b", &batch).expect_err("the batch is invalid");
    assert_eq!(rejected(batch("x", 0, 1, vec![record("s", 1, valid())])), RejectReason::UnknownOrigin);
    assert_eq!(rejected(batch("a", 0, 1, vec![record("s", 1, valid())])), RejectReason::OwnOrigin);
    assert_eq!(
        rejected(batch("b", 0, 1, vec![record("s", 2, valid())])),
        RejectReason::Invalid,
        "beyond its interval"
    );
    assert_eq!(
        rejected(batch("b", 0, 2, vec![record("s", 2, valid()), record("t", 1, valid())])),
        RejectReason::Invalid,
        "out of order"
    );
    assert_eq!(rejected(batch("b", 3, 1, Vec::new())), RejectReason::Invalid, "a reversed interval");
    assert_eq!(
        rejected(batch("b", 0, 1, vec![record("s", 1, vec![9; 300])])),
        RejectReason::Invalid,
        "over the longest value"
    );
    assert_eq!(
        rejected(batch("b", 0, 1, vec![record("s", 1, vec![9; 3])])),
        RejectReason::Invalid,
        "not a mark"
    );
    assert_eq!(
        rejected(batch("b", 0, 1, vec![record(&"s".repeat(100), 1, valid())])),
        RejectReason::Invalid,
        "over the longest name"
    );
    let infinite = postcard::to_allocvec(&Mark { latency_ratio: f64::INFINITY, parts: 1, late: false })
        .expect("it serializes");
    assert_eq!(
        rejected(batch("b", 0, 1, vec![record("s", 1, infinite)])),
        RejectReason::Invalid,
        "not a finite figure"
    );
    assert_eq!(rejected(batch("b", 5, 6, Vec::new())), RejectReason::Gap);
    assert_eq!(local.size().records, 0);
}

#[test]
fn age_of_evidence() {
    let (mut a, mut b, mut c) = (replica("a"), replica("b"), replica("c"));
    a.publish(1000.0, "s1", &mark(4.0), 900.0);
    let batch = a.own_records_since(1500.0, 0, UNLIMITED).expect("a record");
    assert_eq!(batch.records[0].age_ms, 600);
    // b's clock has another origin, and b reads the message up to 200 ms after it arrived.
    b.apply(77_000.0, 200.0, "a", &batch).expect("it is new");
    let expected = Report { origin: "a", value: mark(4.0), age_ms: 900.0 };
    assert_eq!(b.reports::<Mark>(77_100.0, "s1"), [expected]);
    catch_up(&b, &mut c, 77_100.0, UNLIMITED);
    c.apply(77_100.0, 0.0, "a", &batch).expect("the same records again");
    assert_eq!(c.reports::<Mark>(77_100.0, "s1"), [expected]);
    assert_eq!(c.joined::<Mark>(79_000.0, "s1"), None, "old evidence is not valid");
}
