//! Parse errors, and structural verdicts.

mod common;

use common::{config, describe, fleet, searcher_list, suite, verdicts};
use insta::assert_snapshot;
use pewterwharf_expect::brute_force;
use pewterwharf_expect::claim::{Claim, Failure, FailureTarget, Pace, Reachability, SliceClaim};
use pewterwharf_expect::structural::StructuralChecker;
use pewterwharf_fleet::{Condition, Fleet};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Verdicts on these claims, or the parse error.
fn check_text(claims: &str) -> String {
    suite(fleet(), claims).map_or_else(|error| error, |suite| describe(&verdicts(&suite)))
}

#[test]
fn parse_errors() {
    let claims = [
        "(expect \"x\" (for-all-slice (reachable)))",
        "(expect \"x\" (for-all-slices (of \"onne\") (reachable)))",
        "(expect \"x\" (for-all-slices (reachable (hall 2))))",
        "(expect \"x\" (after (lose-hall \"d\") (for-all-slices (reachable))))",
        "(expect \"x\" (after (lose-searcher \"s99\") (for-all-slices (reachable))))",
        "(expect \"x\" (after (lose-searchers 0) (for-all-slices (reachable))))",
        "(expect \"x\" (after (for-all-slices (reachable))))",
        "(expect \"x\" (never (sent (to drained))))",
        "(expect \"x\" (never (sent (table-type \"entry\"))))",
        "(expect \"x\" (not (never (sent))))",
        "(expect \"x\" (while-list-younger 6 (for-all-slices (reachable))))",
        "(expect \"x\" (for-all-slices (reachable)))\n(expect \"x\" (for-all-slices (reachable)))",
        "(expect \"x\" (for-all-slices (slices 2 9) (reachable)))",
        "(expect \"x\")",
        "(fleet)",
        "(expect \"x\" (for-all-slices (reachable))",
    ];
    let errors: String = claims.iter().map(|text| format!("{text}\n    {}\n", check_text(text))).collect();
    assert_snapshot!(errors);
}

#[test]
fn smallest_failing_case() {
    assert_snapshot!(check_text(
        r#"
        (expect "two halls" (for-all-slices (of "one") (reachable (halls 2))))
        (expect "four holders" (for-all-slices (reachable (searchers 4))))
        (expect "hall lost" (after (lose-hall any) (for-all-slices (reachable (searchers 2)))))
        (expect "hall and one lost" (after (lose-hall any) (lose-searchers 1) (for-all-slices (reachable (searchers 2)))))
        (expect "three lost, of whom two suffice" (after (lose-searchers 3) (for-all-slices (reachable (searchers 2)))))
        (expect "a set drains at once" (after (drain-set any) (for-all-slices (reachable))))
        (expect "a set restarts" (after (restart-set any) (for-all-slices (reachable (searchers 3)))))
        (expect "one of two" (after (lose-hall "a") (some (for-all-slices (reachable (searchers 3))) (for-all-slices (reachable (halls 2))))))
        (expect "not" (not (for-all-slices (reachable))))
        (expect "load" (after (lose-searcher any) (load-per-searcher-at-most 1.6)))
        (expect "customers' load" (load-per-searcher-at-most 1.9))
        (expect "room" (slices-per-searcher-at-most 1))
        (expect "fresh" (while-list-younger 6s (for-all-slices (reachable (searchers 2)))))
        (expect "fresh, one change" (while-list-younger 6s (changes 1) (for-all-slices (reachable (searchers 2)))))
        "#
    ));
}

#[test]
fn worst_load_of_mixed_changes() {
    let pair = [("a", 0, "up", 0.0), ("b", 0, "up", 0.0), ("a", 1, "up", 0.0), ("b", 1, "up", 0.0)];
    let fleet = Fleet::new(config(2, 1, 4), &searcher_list(&pair)).expect("a fleet");
    let load = |multiple: f64| Claim::WhileListYounger {
        max_age_ms: 9e9,
        max_changes: Some(2),
        claim: Box::new(Claim::LoadAtMost(multiple)),
    };
    let fails = |multiple: f64| {
        StructuralChecker::new(&fleet, Pace::default(), 5000.0)
            .find_failure(&load(multiple))
            .expect("few cases")
    };
    // Two warm searchers carry a load of 1 each. With one gone and one cold, at a fifth of its capacity, the load is 10.
    assert!(fails(10.0).is_none());
    let case = fails(9.9).expect("it fails");
    assert_eq!(
        case.failures.iter().map(|f| f.condition).collect::<Vec<_>>(),
        [Condition::Gone, Condition::Cold]
    );
}

#[test]
fn empty_list_unheld_slice_and_stale_entries() {
    let claims = r#"(expect "any" (for-all-slices (reachable)))
                    (expect "hall" (after (lose-hall any) (for-all-slices (reachable))))
                    (expect "fresh" (while-list-younger 1s (for-all-slices (reachable))))"#;
    let check_list = |searchers: &[(&str, u32, &str, f64)]| {
        let fleet = Fleet::new(config(2, 1, 4), &searcher_list(searchers)).expect("a fleet");
        suite(fleet, claims).map_or_else(|error| error, |suite| describe(&verdicts(&suite)))
    };
    let empty = check_list(&[]);
    let unheld = check_list(&[("a", 0, "up", 0.0), ("b", 0, "up", 0.0)]);
    let old = check_list(&[("a", 0, "up", 5000.0), ("b", 1, "up", 0.0), ("a", 1, "up", 0.0)]);
    let drains = check_list(&[
        ("a", 0, "draining", 0.0),
        ("b", 0, "up", 0.0),
        ("c", 1, "up", 0.0),
        ("d", 1, "up", 0.0),
    ]);
    assert_snapshot!(format!("empty\n{empty}unheld\n{unheld}old entry\n{old}one drains\n{drains}"));
}

#[test]
fn duplicate_and_misplaced_searchers() {
    let mut list = searcher_list(&[("a", 0, "up", 0.0), ("a", 7, "up", 0.0)]);
    let fleet = Fleet::new(config(2, 1, 4), &list).expect("a fleet");
    assert_eq!(fleet.skipped_entries(), ["s1 is in set 7, but the layout has 2 sets"]);
    list.entries.push(list.entries[0].clone());
    assert_eq!(
        Fleet::new(config(2, 1, 4), &list).err().map(|e| e.to_string()),
        Some("s0 is listed twice".into())
    );
}

fn slice_claim() -> impl Strategy<Value = SliceClaim> {
    let reachable = (1u32..4, 1u32..3, 1u32..3, proptest::option::of(0usize..3)).prop_map(
        |(searchers, halls, sets, hall)| SliceClaim::Reachable(Reachability { searchers, halls, sets, hall }),
    );
    reachable.prop_recursive(2, 4, 2, |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 1..3).prop_map(SliceClaim::All),
            proptest::collection::vec(inner.clone(), 1..3).prop_map(SliceClaim::Some),
            inner.prop_map(|l| SliceClaim::Not(Box::new(l))),
        ]
    })
}

fn failure() -> impl Strategy<Value = Failure> {
    let condition = prop_oneof![Just(Condition::Gone), Just(Condition::Draining), Just(Condition::Cold)];
    let target = prop_oneof![
        proptest::option::of(0usize..3).prop_map(FailureTarget::Hall),
        proptest::option::of(0u32..3).prop_map(FailureTarget::Set),
        (1u32..4).prop_map(FailureTarget::Searchers),
        (0u32..4).prop_map(FailureTarget::Searcher),
    ];
    (condition, target).prop_map(|(condition, target)| Failure { condition, target })
}

fn claim() -> impl Strategy<Value = Claim> {
    let leaf = prop_oneof![
        4 => (proptest::option::of(0usize..2), slice_claim())
            .prop_map(|(customer, claim)| Claim::ForAllSlices { customer, range: None, claim }),
        2 => (0.8f64..3.0).prop_map(Claim::LoadAtMost),
        1 => (1u32..4).prop_map(Claim::SlicesAtMost),
    ];
    leaf.prop_recursive(3, 6, 2, |inner| {
        prop_oneof![
            4 => (failure(), inner.clone()).prop_map(|(h, c)| Claim::After(h, Box::new(c))),
            1 => proptest::collection::vec(inner.clone(), 1..3).prop_map(Claim::All),
            1 => proptest::collection::vec(inner.clone(), 1..3).prop_map(Claim::Some),
            1 => inner.clone().prop_map(|c| Claim::Not(Box::new(c))),
            1 => (0u32..3, inner).prop_map(|(n, c)| Claim::WhileListYounger { max_age_ms: 9e9, max_changes: Some(n), claim: Box::new(c) }),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, failure_persistence: None, rng_seed: RngSeed::Fixed(16), ..ProptestConfig::default() })]

    /// The reductions of the structural checker are exact.
    #[test]
    fn structural_checks_match_brute_force(
        searchers in proptest::collection::vec((0usize..3, 0u32..3, 0usize..5, 0usize..2), 4..8),
        cells_per_shard in 1u32..3,
        claim in claim(),
        list_age_ms in prop_oneof![Just(0.0), Just(2500.0), Just(4500.0)],
    ) {
        let searchers: Vec<_> = searchers
            .into_iter()
            .map(|(hall, set, status, age)| {
                (["a", "b", "c"][hall], set, ["up", "up", "up", "draining", "removed"][status], [0.0, 2100.0][age])
            })
            .collect();
        let mut fleet = Fleet::new(config(3, cells_per_shard, 5), &searcher_list(&searchers)).expect("a fleet");
        fleet.add_customer_slices("one", 0..=2).expect("known customer and slices");
        fleet.add_customer_slices("two", 2..=4).expect("known customer and slices");
        let pace = Pace::default();
        let result = StructuralChecker::new(&fleet, pace, list_age_ms).find_failure(&claim);
        let holds = result.map(|case| case.is_none()).expect("few cases");
        prop_assert_eq!(holds, brute_force::holds(&fleet, &claim, pace, list_age_ms));
    }
}
