//! Grants one after the other: who is next, what is given up, and who waits.

use std::collections::BTreeMap;

use pewterwharf_council::Machine;
use pewterwharf_duties::{Candidate, DRIFT, Duties, Grantor, Holder, Order};

fn candidates(names: &[&str]) -> Vec<Candidate> {
    names.iter().map(|name| Candidate { name: (*name).to_owned(), load: 0.3 }).collect()
}

fn wanted(duties: &[&str]) -> BTreeMap<String, u64> {
    duties.iter().map(|duty| ((*duty).to_owned(), 3000)).collect()
}

/// One turn of the leader, all of which is carried out.
fn turn(grantor: &mut Grantor, log: &mut Duties, now: f64, all: &[&str], who: &[&str]) -> Vec<Order> {
    grantor.look(now, log);
    let orders = grantor.grants(now, log, &wanted(all), &candidates(who));
    orders.iter().for_each(|order| log.carry_out(order));
    orders
}

fn holder(log: &Duties, duty: &str) -> Option<String> {
    log.all[duty].holder.clone()
}

#[test]
fn duties_are_spread_over_those_that_there_are() {
    let (mut grantor, mut log) = (Grantor::new(DRIFT), Duties::default());
    let all = ["a", "b", "c", "d", "e", "f"];
    turn(&mut grantor, &mut log, 0.0, &all, &["m1", "m2", "m3"]);
    for name in ["m1", "m2", "m3"] {
        assert_eq!(log.of(name), 2, "{name}");
    }
    assert_eq!(turn(&mut grantor, &mut log, 1.0, &all, &["m1", "m2", "m3"]), []);
}

#[test]
fn a_silent_holder_loses_it_after_the_length_and_waits_before_it_has_it_again() {
    let (mut grantor, mut log) = (Grantor::new(DRIFT), Duties::default());
    turn(&mut grantor, &mut log, 0.0, &["a"], &["m1"]);
    grantor.look(1.0, &log);
    let over = 1.0 + 3000.0 * (1.0 + DRIFT);
    assert_eq!(turn(&mut grantor, &mut log, over - 1.0, &["a"], &["m1", "m2"]), []);
    assert_eq!(turn(&mut grantor, &mut log, over, &["a"], &["m1", "m2"]).len(), 1);
    grantor.look(over, &log);
    assert_eq!(holder(&log, "a").as_deref(), Some("m2"));
    // m2 is silent as well; m1 has waited by then.
    let next = over + 3000.0 * (1.0 + DRIFT) + 1.0;
    turn(&mut grantor, &mut log, next, &["a"], &["m1", "m2"]);
    assert_eq!(holder(&log, "a").as_deref(), Some("m1"));
    let was: Vec<(&str, u64, bool)> =
        log.all["a"].history.iter().map(|h| (h.holder.as_str(), h.epoch, h.released)).collect();
    assert_eq!(was, [("m1", 1, false), ("m2", 2, false)]);
    // Where there is nobody else, it has it again at once.
    let last = next + 3000.0 * (1.0 + DRIFT) + 1.0;
    grantor.look(next, &log);
    turn(&mut grantor, &mut log, last, &["a"], &["m1"]);
    assert_eq!(holder(&log, "a").as_deref(), Some("m1"));
}

#[test]
fn a_duty_that_is_given_up_goes_to_whom_it_is_for_at_once() {
    let (mut grantor, mut log) = (Grantor::new(DRIFT), Duties::default());
    turn(&mut grantor, &mut log, 0.0, &["a"], &["m1"]);
    let mut m1 = Holder::new("m1", DRIFT);
    assert_eq!(m1.may(0.0, "a"), None, "a grant alone lets nobody act");
    let asked = m1.look(0.0, &log);
    asked.iter().for_each(|order| log.carry_out(order));
    m1.look(1.0, &log);
    assert_eq!(m1.may(1.0, "a"), Some(1));
    assert_eq!(m1.may(3000.0 * (1.0 - DRIFT), "a"), None, "counted from before it asked");
    let order = m1.release("a", Some("m3".to_owned())).expect("it holds it");
    assert_eq!(m1.may(2.0, "a"), None, "it stops before the log hears of it");
    assert_eq!(m1.look(2.0, &log), []);
    log.carry_out(&order);
    assert_eq!(holder(&log, "a"), None);
    turn(&mut grantor, &mut log, 3.0, &["a"], &["m1", "m2", "m3"]);
    assert_eq!(holder(&log, "a").as_deref(), Some("m3"));
    assert_eq!((log.all["a"].epoch, log.all["a"].history[0].released), (2, true));
}

#[test]
fn another_process_under_a_name_takes_nothing_over() {
    let (mut grantor, mut log) = (Grantor::new(DRIFT), Duties::default());
    turn(&mut grantor, &mut log, 0.0, &["a"], &["m1.1a2b"]);
    let mut earlier = Holder::new("m1.1a2b", DRIFT);
    earlier.look(0.0, &log).iter().for_each(|order| log.carry_out(order));
    let mut later = Holder::new("m1.9f00", DRIFT);
    assert_eq!(later.look(10.0, &log), []);
    assert_eq!(later.may(10.0, "a"), None);
}
