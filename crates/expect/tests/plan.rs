//! Plans of migrations.

mod common;

use common::{config, searcher_list, suite};
use insta::assert_snapshot;
use pewterwharf_expect::claim::Pace;
use pewterwharf_expect::plan::{Migration, PlanError, StepKind};
use pewterwharf_expect::structural::StructuralChecker;
use pewterwharf_fleet::Fleet;
use pewterwharf_terms::list::List;

/// Two sets of three searchers with two slices each. The first searcher of each moves to the other set, and one more
/// joins the second set.
fn lists() -> (List, List) {
    let halls = ["a", "b", "c"];
    let old: Vec<_> = (0..6).map(|n| (halls[n % 3], (n / 3) as u32, "up", 0.0)).collect();
    let mut new = old.clone();
    new[0].1 = 1;
    new[3].1 = 0;
    new.push(("b", 1, "up", 0.0));
    (searcher_list(&old), searcher_list(&new))
}

/// The plan under these claims as text, after checking each of its steps.
fn describe_plan(claims: &str) -> String {
    let (old_list, new_list) = lists();
    let fleet = |list: &List| Fleet::new(config(2, 1, 4), list).expect("a fleet");
    let suite = suite(fleet(&new_list), claims).expect("well-formed claims");
    let migration =
        Migration::new(&fleet(&old_list), suite.fleet(), &old_list, &new_list).expect("comparable fleets");
    match migration.plan(suite.expectations(), Pace::default()) {
        Ok(plan) => {
            let mut done = vec![false; migration.steps().len()];
            let mut out = String::new();
            for step in &plan.steps {
                let at = migration.steps().iter().position(|s| s == step).expect("a step of the migration");
                assert!(!std::mem::replace(&mut done[at], true), "a step is done twice");
                let fleet = migration.after(&done).expect("a fleet");
                for expectation in
                    suite.expectations().iter().filter(|e| !plan.initially_failing.contains(&e.name))
                {
                    let failed =
                        StructuralChecker::new(&fleet, Pace::default(), 0.0).find_failure(&expectation.claim);
                    assert_eq!(failed, Ok(None), "{} after {out}", expectation.name);
                }
                let kind = if step.kind == StepKind::Copy { "copy" } else { "drop" };
                let names = migration.groups()[step.group as usize].searchers.join(", ");
                out += &format!("{kind} {} {names}\n", step.slice);
            }
            assert!(done.iter().all(|d| *d), "steps are left");
            plan.initially_failing.iter().for_each(|name| out += &format!("not yet: {name}\n"));
            out
        }
        Err(error) => format!("{error:?}\n"),
    }
}

#[test]
fn plan_order() {
    let holders = r#"(expect "holders" (for-all-slices (reachable (searchers 3))))"#;
    let room = r#"(expect "room" (slices-per-searcher-at-most 3))"#;
    let gain =
        r#"(expect "four hold some" (not (not (for-all-slices (slices 1 1) (reachable (searchers 4))))))"#;
    let both = describe_plan(&format!("{holders}{room}"));
    assert_snapshot!(format!(
        "holders\n{}holders and room\n{both}gain\n{}",
        describe_plan(holders),
        describe_plan(gain)
    ));
}

#[test]
fn excluding_expectations() {
    let claims = r#"
        (expect "halls" (for-all-slices (reachable (halls 2))))
        (expect "holders" (for-all-slices (reachable (searchers 3))))
        (expect "room" (slices-per-searcher-at-most 2))
        (expect "load" (load-per-searcher-at-most 9))
    "#;
    assert_snapshot!(describe_plan(claims));
    // Each of the two requires that the other's slice is copied first; the third is unrelated.
    let first = |name: &str, slice: u32, other: u32| {
        format!(
            r#"(expect "{name}" (some (not (for-all-slices (slices {slice} {slice}) (reachable (searchers 4))))
                                      (for-all-slices (slices {other} {other}) (reachable (searchers 4)))))"#
        )
    };
    let halls = r#"(expect "halls" (for-all-slices (reachable (halls 2))))"#;
    let (three, one) = (first("three before one", 1, 3), first("one before three", 3, 1));
    assert!(describe_plan(&format!("{halls}{three}")).contains("drop 3 s3"));
    assert!(describe_plan(&format!("{halls}{one}")).contains("drop 3 s3"));
    let names = vec!["three before one".into(), "one before three".into()];
    let pair = format!("{:?}\n", PlanError::Excluded { names, smallest: true });
    assert_eq!(describe_plan(&format!("{halls}{three}{one}")), pair);
    let never = r#"(expect "five" (for-all-slices (reachable (searchers 5)))) (expect "halls" (for-all-slices (reachable)))"#;
    assert_eq!(
        describe_plan(never),
        format!("{:?}\n", PlanError::Excluded { names: vec!["five".into()], smallest: true })
    );
    let sets = r#"(expect "sets" (after (lose-set any) (for-all-slices (reachable))))"#;
    assert_eq!(describe_plan(sets), format!("{:?}\n", PlanError::DependsOnSets { name: "sets".into() }));
}
