//! Assignment of leases, grant by grant: who is next, what is released, and who cools down.

use std::collections::BTreeMap;

use pewterwharf_council::StateMachine;
use pewterwharf_duties::{Candidate, DutyTable, LeaseAssigner, LeaseCommand, LeaseHolder, MAX_CLOCK_DRIFT};

const LENGTH_MS: u64 = 3000;

fn candidates(names: &[&str]) -> Vec<Candidate> {
    names.iter().map(|name| Candidate { name: (*name).to_owned(), load: 0.3 }).collect()
}

fn wanted(duties: &[&str]) -> BTreeMap<String, u64> {
    duties.iter().map(|duty| ((*duty).to_owned(), LENGTH_MS)).collect()
}

/// One turn of the leader, in which all its commands are applied.
fn run_turn(
    assigner: &mut LeaseAssigner,
    table: &mut DutyTable,
    now_ms: f64,
    duties: &[&str],
    names: &[&str],
) -> Vec<LeaseCommand> {
    assigner.observe(now_ms, table);
    let commands = assigner.grants(now_ms, table, &wanted(duties), &candidates(names));
    commands.iter().for_each(|command| table.apply(command));
    commands
}

fn holder(table: &DutyTable, duty: &str) -> Option<String> {
    table.duties[duty].holder.clone()
}

#[test]
fn spread_over_candidates() {
    let (mut assigner, mut table) = (LeaseAssigner::new(MAX_CLOCK_DRIFT), DutyTable::default());
    let duties = ["a", "b", "c", "d", "e", "f"];
    run_turn(&mut assigner, &mut table, 0.0, &duties, &["m1", "m2", "m3"]);
    for name in ["m1", "m2", "m3"] {
        assert_eq!(table.held_by(name), 2, "{name}");
    }
    assert_eq!(run_turn(&mut assigner, &mut table, 1.0, &duties, &["m1", "m2", "m3"]), []);
}

#[test]
fn reassignment_of_expired_lease() {
    let (mut assigner, mut table) = (LeaseAssigner::new(MAX_CLOCK_DRIFT), DutyTable::default());
    let length_ms = LENGTH_MS as f64 * (1.0 + MAX_CLOCK_DRIFT);
    run_turn(&mut assigner, &mut table, 0.0, &["a"], &["m1"]);
    assigner.observe(1.0, &table);
    let expiry_ms = 1.0 + length_ms;
    assert_eq!(run_turn(&mut assigner, &mut table, expiry_ms - 1.0, &["a"], &["m1", "m2"]), []);
    assert_eq!(run_turn(&mut assigner, &mut table, expiry_ms, &["a"], &["m1", "m2"]).len(), 1);
    assigner.observe(expiry_ms, &table);
    assert_eq!(holder(&table, "a").as_deref(), Some("m2"));
    // The lease of m2 expires as well. By then m1 has cooled down.
    let next_expiry_ms = expiry_ms + length_ms + 1.0;
    run_turn(&mut assigner, &mut table, next_expiry_ms, &["a"], &["m1", "m2"]);
    assert_eq!(holder(&table, "a").as_deref(), Some("m1"));
    let history: Vec<(&str, u64, bool)> = table.duties["a"]
        .history
        .iter()
        .map(|past| (past.holder.as_str(), past.epoch, past.released))
        .collect();
    assert_eq!(history, [("m1", 1, false), ("m2", 2, false)]);
    // Without another candidate the same mixer gets the duty again at once.
    let last_expiry_ms = next_expiry_ms + length_ms + 1.0;
    assigner.observe(next_expiry_ms, &table);
    run_turn(&mut assigner, &mut table, last_expiry_ms, &["a"], &["m1"]);
    assert_eq!(holder(&table, "a").as_deref(), Some("m1"));
}

#[test]
fn release_to_chosen_mixer() {
    let (mut assigner, mut table) = (LeaseAssigner::new(MAX_CLOCK_DRIFT), DutyTable::default());
    run_turn(&mut assigner, &mut table, 0.0, &["a"], &["m1"]);
    let mut m1 = LeaseHolder::new("m1", MAX_CLOCK_DRIFT);
    assert_eq!(m1.valid_epoch(0.0, "a"), None, "a grant alone does not allow to act");
    let renewals = m1.update(0.0, &table);
    renewals.iter().for_each(|command| table.apply(command));
    m1.update(1.0, &table);
    assert_eq!(m1.valid_epoch(1.0, "a"), Some(1));
    let expiry_ms = LENGTH_MS as f64 * (1.0 - MAX_CLOCK_DRIFT);
    assert_eq!(m1.valid_epoch(expiry_ms, "a"), None, "counted from before the request");
    let release = m1.release("a", Some("m3".to_owned())).expect("it holds the duty");
    assert_eq!(m1.valid_epoch(2.0, "a"), None, "it stops before the release is in the log");
    assert_eq!(m1.update(2.0, &table), []);
    table.apply(&release);
    assert_eq!(holder(&table, "a"), None);
    run_turn(&mut assigner, &mut table, 3.0, &["a"], &["m1", "m2", "m3"]);
    assert_eq!(holder(&table, "a").as_deref(), Some("m3"));
    assert_eq!((table.duties["a"].epoch, table.duties["a"].history[0].released), (2, true));
}

#[test]
fn lease_of_earlier_process() {
    let (mut assigner, mut table) = (LeaseAssigner::new(MAX_CLOCK_DRIFT), DutyTable::default());
    run_turn(&mut assigner, &mut table, 0.0, &["a"], &["m1.1a2b"]);
    let mut earlier = LeaseHolder::new("m1.1a2b", MAX_CLOCK_DRIFT);
    earlier.update(0.0, &table).iter().for_each(|command| table.apply(command));
    let mut later = LeaseHolder::new("m1.9f00", MAX_CLOCK_DRIFT);
    assert_eq!(later.update(10.0, &table), []);
    assert_eq!(later.valid_epoch(10.0, "a"), None);
}
