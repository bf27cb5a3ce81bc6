//! Since when what a polling thread finds may have been there, looks at the clock given by hand.

use pewterwharf_mixer::pauses::{ArrivalTracker, PauseDetector};

/// The longest wait of a poll.
const WAIT_MS: f64 = 40.0;

/// The turns at these times: whether each finds a pause, and since when what it finds may have been there.
fn turns(times: &[(f64, bool)]) -> Vec<(bool, f64)> {
    let mut arrivals = ArrivalTracker::new(0.0);
    let turn = |&(now, all_found): &(f64, bool)| {
        (arrivals.record_poll(now, WAIT_MS, all_found), arrivals.earliest_arrival())
    };
    times.iter().map(turn).collect()
}

#[test]
fn turn_without_a_pause_counts_from_its_own_look() {
    assert_eq!(turns(&[(10.0, true), (50.0, true), (90.0, true)])[1..], [(false, 50.0), (false, 90.0)]);
}

#[test]
fn what_is_found_after_a_pause_may_have_come_at_its_beginning() {
    let seen = turns(&[(10.0, true), (50.0, true), (650.0, true), (651.0, true), (660.0, true)]);
    // The poll may have returned before the pause: what came in it is found by the next one.
    assert_eq!(seen[2..], [(true, 50.0), (false, 50.0), (false, 660.0)]);
}

#[test]
fn pauses_in_a_row_count_each_from_the_one_before() {
    let seen =
        turns(&[(10.0, true), (50.0, true), (250.0, true), (450.0, true), (451.0, true), (452.0, true)]);
    assert_eq!(seen[2..], [(true, 50.0), (true, 50.0), (false, 250.0), (false, 452.0)]);
}

#[test]
fn what_one_poll_could_not_hold_counts_like_the_rest() {
    let seen = turns(&[(10.0, true), (50.0, false), (51.0, false), (52.0, true), (53.0, true)]);
    assert_eq!(seen[1..], [(false, 50.0), (false, 50.0), (false, 50.0), (false, 53.0)]);
}

#[test]
fn pause_too_short_to_be_told_of_counts_all_the_same() {
    let seen = turns(&[(10.0, true), (50.0, true), (150.0, true), (151.0, true), (152.0, true)]);
    assert_eq!(seen[2..], [(false, 50.0), (false, 50.0), (false, 152.0)]);
}

#[test]
fn long_wait_is_no_pause() {
    let mut watch = PauseDetector::new(0.0);
    assert!(!watch.check(500.0, 500.0));
    assert!(watch.check(700.0, 0.0));
}
