//! Rows: what is said in any order, twice, in pieces or over a forgetful third comes to the same; nothing grows past its bounds.

use pewterwharf_peers::Incarnation;
use pewterwharf_replica::kinds::{IdleLost, Kind, Leaving, ListHeld, Mark, ProcessStart, Stage, Used};
use pewterwharf_replica::{
    Delta, Limits, OriginState, RecordBatch, RejectReason, Replica, Report, Why, WireRow,
};
use proptest::prelude::*;

const ROOM: Limits = Limits { rows: 1000, bytes: 1 << 20 };
/// Pieces so large that all fits in one.
const ALL: usize = 1 << 20;

fn start(number: u64) -> Incarnation {
    Incarnation { number, lot: 7 }
}

fn replica(me: &str) -> Replica {
    Replica::new(me, start(1), ["a", "b", "c"].map(str::to_owned), ROOM)
}

fn mark(latency_ratio: f64) -> Mark {
    Mark { latency_ratio, parts: 3, late: false }
}

/// `to` takes all that `from` holds and it lacks, piece by piece; how many pieces that took.
fn catch_up(from: &Replica, to: &mut Replica, now: f64, piece: usize) -> usize {
    // Starts are told by membership, also of who has said nothing yet.
    from.version_vector().iter().for_each(|e| to.started(&e.origin, e.start));
    for nth in 1..10_000 {
        let delta = from.delta(now, &to.version_vector(), piece);
        for part in &delta.batches {
            to.apply(now, 0.0, from.local_name(), part).expect("a delta to what is held fits");
        }
        if delta.remaining == 0 {
            return nth;
        }
    }
    panic!("it never came to an end");
}

fn rows(replica: &Replica) -> Vec<(String, u8, String, u64, Vec<u8>)> {
    let owned =
        |(o, k, n, c, v): (&str, u8, &str, u64, &[u8])| (o.to_owned(), k, n.to_owned(), c, v.to_vec());
    replica.rows().map(owned).collect()
}

fn assert_joins<K: Kind>(a: K, b: K, c: K) {
    assert_eq!(a.clone().join(b.clone()), b.clone().join(a.clone()), "commutative");
    assert_eq!(a.clone().join(b.clone()).join(c.clone()), a.clone().join(b.join(c)), "associative");
    assert_eq!(a.clone().join(a.clone()), a, "idempotent");
}

fn stage() -> impl Strategy<Value = Stage> {
    prop_oneof![Just(Stage::Up), Just(Stage::Draining), Just(Stage::Going)]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn joins_are_commutative_associative_and_idempotent(
        f in prop::array::uniform3(0.0..4.0f64), n in prop::array::uniform3(0u32..3), s in prop::array::uniform3(stage()),
    ) {
        // Few values, so that ties are common.
        let f = f.map(f64::round);
        let three = [0, 1, 2];
        let [a, b, c] = three.map(|i| Mark { latency_ratio: f[i], parts: n[i], late: s[i] == Stage::Up });
        assert_joins(a, b, c);
        let [a, b, c] = three.map(|i| ProcessStart { since: f[i] });
        assert_joins(a, b, c);
        let [a, b, c] = three.map(|i| Leaving { since: f[i], stage: s[i] });
        assert_joins(a, b, c);
        let [a, b, c] = three.map(|i| IdleLost { times: n[i] as u16 });
        assert_joins(a, b, c);
        let [a, b, c] = three.map(|i| ListHeld { index: u64::from(n[i]), ready: f[i] as u32 });
        assert_joins(a, b, c);
        let [a, b, c] = three.map(|i| Used { scans: n[i], span_ms: 1 + f[i] as u32 });
        assert_joins(a, b, c);
    }

    /// Whatever an origin says, takes back and says anew after a restart, and in whatever pieces, order and number of times
    /// its words come, who has all of them holds the same as the origin.
    #[test]
    fn words_in_any_order_and_number_come_to_the_same(
        deeds in prop::collection::vec((0u8..8, 0u8..4), 1..40),
        order in prop::collection::vec((0usize..64, 0usize..3), 0..120),
    ) {
        let mut origin = replica("a");
        let mut words: Vec<RecordBatch> = Vec::new();
        for (nth, (what, about)) in deeds.into_iter().enumerate() {
            let before = origin.origin("a").map_or(0, |o| o.version);
            match what {
                0 => { origin.renew(start(2 + nth as u64)); }
                1 | 2 => origin.retract::<Mark>(0.0, &about.to_string()),
                _ => { origin.publish(0.0, &about.to_string(), &mark(f64::from(what)), 0.0); }
            }
            words.extend(origin.own_records_since(0.0, if what == 0 { 0 } else { before }, ALL));
        }
        let mut others = [replica("b"), replica("c")];
        for (nth, to) in order {
            if let (Some(part), Some(other)) = (words.get(nth), others.get_mut(to)) {
                let _ = other.apply(0.0, 0.0, "a", part); // a gap is as good as a loss here
            }
        }
        let [mut b, mut c] = others;
        // Each has what it has; the rest comes from the origin to one, and from that one to the other.
        catch_up(&origin, &mut b, 0.0, 200);
        catch_up(&b, &mut c, 0.0, 200);
        prop_assert_eq!(rows(&b), rows(&origin));
        prop_assert_eq!(rows(&c), rows(&origin));
        prop_assert_eq!(b.sum(), c.sum());
    }
}

fn permutations(n: usize) -> Vec<Vec<usize>> {
    if n == 0 {
        return vec![Vec::new()];
    }
    let shorter = permutations(n - 1);
    shorter.iter().flat_map(|p| (0..n).map(move |at| [&p[..at], &[n - 1], &p[at..]].concat())).collect()
}

/// All orders of six words, a deletion and a restart among them: whoever passes a gap over and asks again at the end has the
/// same as the origin, and on the way never holds what a later word of the same row had replaced.
#[test]
fn all_orders_of_six_words_come_to_the_same() {
    let mut origin = replica("a");
    let mut words = Vec::new();
    let mut say = |origin: &mut Replica, deed: &dyn Fn(&mut Replica)| {
        let before = origin.origin("a").expect("itself");
        deed(origin);
        let after = origin.origin("a").expect("itself");
        let from = if after.incarnation == before.incarnation { before.version } else { 0 };
        words.extend(origin.own_records_since(0.0, from, ALL));
    };
    say(&mut origin, &|o| assert!(o.publish(0.0, "s1", &mark(4.0), 0.0)));
    say(&mut origin, &|o| assert!(o.publish(0.0, "s2", &mark(5.0), 0.0)));
    say(&mut origin, &|o| o.retract::<Mark>(0.0, "s1"));
    say(&mut origin, &|o| o.renew(start(2)));
    say(&mut origin, &|o| assert!(o.publish(0.0, "s1", &mark(6.0), 0.0)));
    say(&mut origin, &|o| o.retract::<Mark>(0.0, "s2"));
    assert_eq!(words.len(), 6);
    let orders = permutations(6);
    assert_eq!(orders.len(), 720);
    for order in orders {
        let mut other = replica("b");
        let mut newest = (Incarnation::default(), 0);
        for nth in order {
            let _ = other.apply(0.0, 0.0, "a", &words[nth]);
            let held = other.origin("a").unwrap_or_default();
            assert!((held.incarnation, held.version) >= newest, "a version never goes back");
            newest = (held.incarnation, held.version);
        }
        catch_up(&origin, &mut other, 0.0, ALL);
        assert_eq!(rows(&other), rows(&origin));
    }
}

#[test]
fn a_row_deleted_long_ago_does_not_come_back_from_who_was_away() {
    let (mut a, mut b, mut away) = (replica("a"), replica("b"), replica("c"));
    for nth in 0..50 {
        a.publish(0.0, &format!("s{nth}"), &mark(4.0), 0.0);
    }
    catch_up(&a, &mut b, 0.0, ALL);
    catch_up(&a, &mut away, 0.0, ALL);
    for nth in 0..40 {
        a.retract::<Mark>(10.0, &format!("s{nth}"));
    }
    catch_up(&a, &mut b, 10.0, ALL);
    // Deletions are forgotten by all but the one that is away.
    a.tick(100_000.0);
    b.tick(100_000.0);
    assert_eq!(a.size().0, 10);
    // Nothing of what it holds is taken, and from whomever it catches up, in small pieces, the old rows go.
    let back = away.delta(100_000.0, &b.version_vector(), ALL).batches;
    assert!(back.iter().all(|p| p.origin == "c" || p.rows.is_empty()), "{back:?}");
    let pieces = catch_up(&b, &mut away, 100_000.0, 200);
    assert!(pieces >= 2, "in {pieces}");
    assert_eq!(rows(&away), rows(&a));
    assert_eq!(away.sum(), b.sum());
}

#[test]
fn what_is_forgotten_while_a_sweep_goes_on_is_not_missed() {
    let (mut a, mut away) = (replica("a"), replica("c"));
    for nth in 0..50 {
        a.publish(0.0, &format!("s{nth:02}"), &mark(4.0), 0.0);
    }
    catch_up(&a, &mut away, 0.0, ALL);
    a.retract::<Mark>(0.0, "s40");
    a.tick(100_000.0);
    let Delta { batches: parts, remaining: left } = a.delta(100_000.0, &away.version_vector(), 300);
    assert!(left > 0 && matches!(parts[0].why, Why::Sweep { last: false }));
    away.apply(100_000.0, 0.0, "a", &parts[0]).expect("it begins");
    // A row of the piece that is through is deleted, and that deletion forgotten, before the next piece.
    a.retract::<Mark>(100_000.0, "s00");
    a.tick(200_000.0);
    for _ in 0..3 {
        catch_up(&a, &mut away, 200_000.0, 300);
    }
    assert_eq!(rows(&away), rows(&a));
}

#[test]
fn an_earlier_start_is_void_once_a_later_one_is_heard_of() {
    let (mut a, mut b) = (replica("a"), replica("b"));
    a.publish(0.0, "s1", &mark(4.0), 0.0);
    let old = a.own_records_since(0.0, 0, ALL).expect("a word");
    b.apply(0.0, 0.0, "a", &old).expect("it is new");
    b.started("a", start(2));
    assert_eq!(b.origin("a"), Some(OriginState { incarnation: start(2), version: 0, records: 0 }));
    assert_eq!(b.apply(0.0, 0.0, "a", &old), Err(RejectReason::Old));
}

#[test]
fn ranges_that_differ_at_the_same_version_are_mended() {
    let (mut a, mut b, mut c) = (replica("a"), replica("b"), replica("c"));
    for nth in 0..100 {
        a.publish(0.0, &format!("s{nth}"), &mark(4.0), 0.0);
    }
    // Two rows are cut out of what b is sent, as no honest mixer would.
    let mut part = a.own_records_since(0.0, 0, ALL).expect("a word");
    part.rows.retain(|r| ![7, 70].contains(&r.counter));
    b.apply(0.0, 0.0, "a", &part).expect("nobody can tell");
    catch_up(&a, &mut c, 0.0, ALL);
    assert_eq!(b.unlike(&c.version_vector()), ["a"]);
    let (start, through, digests) = b.ranges("a").expect("it is held");
    let parts = c.mend(0.0, "a", start, through, &digests, ALL);
    assert_eq!(parts.len(), 2, "two of sixteen ranges: {parts:?}");
    for part in &parts {
        b.apply(0.0, 0.0, "c", part).expect("it fits");
    }
    assert_eq!(rows(&b), rows(&a));
    assert_eq!(b.sum(), a.sum());
}

#[test]
fn ten_million_rows_of_a_peer_take_no_more_than_its_share() {
    let limits = Limits::per_origin(64 * 1024, 4);
    let mut me = Replica::new("a", start(1), ["a", "b", "c"].map(str::to_owned), limits);
    me.publish(0.0, "s1", &mark(4.0), 0.0);
    let row = |nth: u64| WireRow {
        kind: 200,
        name: format!("{nth}"),
        counter: nth,
        age_ms: 0,
        value: Some(vec![1; 8]),
    };
    let mut rows: Vec<WireRow> = (1..=1000).map(row).collect();
    // A thousand rows ten thousand times over, under ever new counters, and each time one of a new name.
    for round in 0..10_000 {
        rows.iter_mut().for_each(|r| r.counter += 1000);
        rows[0].name = format!("new {round}");
        let (origin, through) = ("b".to_owned(), rows[999].counter);
        let part = RecordBatch { origin, start: start(1), from: 0, through, floor: 0, why: Why::Delta, rows };
        assert_eq!(me.apply(0.0, 0.0, "b", &part), Err(RejectReason::Share));
        let (_, bytes) = me.size();
        assert!(bytes <= 2 * limits.bytes, "{bytes} of {}", limits.bytes);
        rows = part.rows;
    }
    // The others' words have their room still.
    let mut c = replica("c");
    c.publish(0.0, "s2", &mark(4.0), 0.0);
    assert!(me.apply(0.0, 0.0, "c", &c.own_records_since(0.0, 0, ALL).expect("a word")).is_ok());
}

#[test]
fn what_can_t_be_is_refused() {
    let mut me = replica("a");
    let row = |name: &str, counter, value: Vec<u8>| WireRow {
        kind: 1,
        name: name.to_owned(),
        counter,
        age_ms: 0,
        value: Some(value),
    };
    let part = |origin: &str, from, through, rows| RecordBatch {
        origin: origin.to_owned(),
        start: start(1),
        from,
        through,
        floor: 0,
        why: Why::Delta,
        rows,
    };
    let good = || {
        let mut b = replica("b");
        b.publish(0.0, "s", &mark(4.0), 0.0);
        b.own_records_since(0.0, 0, ALL).expect("a word").rows.remove(0).value.expect("no deletion")
    };
    let mut refused = |part: RecordBatch| me.apply(0.0, 0.0, "b", &part).expect_err("it can't be");
    assert_eq!(refused(part("x", 0, 1, vec![row("s", 1, good())])), RejectReason::Unnamed);
    assert_eq!(refused(part("a", 0, 1, vec![row("s", 1, good())])), RejectReason::OwnOrigin);
    assert_eq!(
        refused(part("b", 0, 1, vec![row("s", 2, good())])),
        RejectReason::Unfit,
        "beyond its interval"
    );
    assert_eq!(
        refused(part("b", 0, 2, vec![row("s", 2, good()), row("t", 1, good())])),
        RejectReason::Unfit,
        "out of order"
    );
    assert_eq!(refused(part("b", 3, 1, Vec::new())), RejectReason::Unfit, "an interval that runs backwards");
    assert_eq!(
        refused(part("b", 0, 1, vec![row("s", 1, vec![9; 300])])),
        RejectReason::Unfit,
        "over the longest value"
    );
    assert_eq!(refused(part("b", 0, 1, vec![row("s", 1, vec![9; 3])])), RejectReason::Unfit, "no mark");
    assert_eq!(
        refused(part("b", 0, 1, vec![row(&"s".repeat(100), 1, good())])),
        RejectReason::Unfit,
        "a long name"
    );
    let infinite = postcard::to_allocvec(&Mark { latency_ratio: f64::INFINITY, parts: 1, late: false })
        .expect("it is written");
    assert_eq!(refused(part("b", 0, 1, vec![row("s", 1, infinite)])), RejectReason::Unfit, "no figure");
    assert_eq!(refused(part("b", 5, 6, Vec::new())), RejectReason::Gap);
    assert_eq!(me.size().0, 0);
}

#[test]
fn an_age_grows_while_it_is_held_and_the_older_evidence_counts() {
    let (mut a, mut b, mut c) = (replica("a"), replica("b"), replica("c"));
    a.publish(1000.0, "s1", &mark(4.0), 900.0);
    let part = a.own_records_since(1500.0, 0, ALL).expect("a word");
    assert_eq!(part.rows[0].age_ms, 600);
    // b's clock stands elsewhere, and it read the word 200 ms after it may have come.
    b.apply(77_000.0, 200.0, "a", &part).expect("it is new");
    assert_eq!(b.reports::<Mark>(77_100.0, "s1"), [Report { origin: "a", value: mark(4.0), age_ms: 900.0 }]);
    catch_up(&b, &mut c, 77_100.0, ALL);
    c.apply(77_100.0, 0.0, "a", &part).expect("the same again");
    assert_eq!(c.reports::<Mark>(77_100.0, "s1"), [Report { origin: "a", value: mark(4.0), age_ms: 900.0 }]);
    assert_eq!(c.joined::<Mark>(79_000.0, "s1"), None, "old evidence says nothing");
}
