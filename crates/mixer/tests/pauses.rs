//! The earliest time at which the events of a poll may have arrived, with given times of the clock.

use pewterwharf_mixer::pauses::{ArrivalTracker, PauseDetector};

/// The longest wait of a poll.
const MAX_WAIT_MS: f64 = 40.0;

/// A poll that returned at this time.
struct Poll {
    at_ms: f64,
    /// Whether the poll returned all events that were there.
    found_all: bool,
}

/// A poll that returned all events.
const fn complete(at_ms: f64) -> Poll {
    Poll { at_ms, found_all: true }
}

/// A poll that returned only as many events as fit.
const fn full(at_ms: f64) -> Poll {
    Poll { at_ms, found_all: false }
}

/// For each poll, whether it detects a pause, and the earliest time at which its events may have arrived.
fn track(polls: &[Poll]) -> Vec<(bool, f64)> {
    let mut arrivals = ArrivalTracker::new(0.0);
    let record = |poll: &Poll| {
        (arrivals.record_poll(poll.at_ms, MAX_WAIT_MS, poll.found_all), arrivals.earliest_arrival())
    };
    polls.iter().map(record).collect()
}

#[test]
fn poll_without_pause() {
    let tracked = track(&[complete(10.0), complete(50.0), complete(90.0)]);
    assert_eq!(tracked[1..], [(false, 50.0), (false, 90.0)]);
}

#[test]
fn events_after_pause() {
    let tracked = track(&[complete(10.0), complete(50.0), complete(650.0), complete(651.0), complete(660.0)]);
    // The poll may have returned before the pause: events that arrived during it are found by the next poll.
    assert_eq!(tracked[2..], [(true, 50.0), (false, 50.0), (false, 660.0)]);
}

#[test]
fn consecutive_pauses() {
    let tracked = track(&[
        complete(10.0),
        complete(50.0),
        complete(250.0),
        complete(450.0),
        complete(451.0),
        complete(452.0),
    ]);
    assert_eq!(tracked[2..], [(true, 50.0), (true, 50.0), (false, 250.0), (false, 452.0)]);
}

#[test]
fn more_events_than_one_poll_returns() {
    let tracked = track(&[complete(10.0), full(50.0), full(51.0), complete(52.0), complete(53.0)]);
    assert_eq!(tracked[1..], [(false, 50.0), (false, 50.0), (false, 50.0), (false, 53.0)]);
}

#[test]
fn pause_below_reporting_threshold() {
    let tracked = track(&[complete(10.0), complete(50.0), complete(150.0), complete(151.0), complete(152.0)]);
    assert_eq!(tracked[2..], [(false, 50.0), (false, 50.0), (false, 152.0)]);
}

/// A wait that takes as long as it was to take is not a pause.
#[test]
fn long_wait() {
    let mut detector = PauseDetector::new(0.0);
    assert!(!detector.check(500.0, 500.0));
    assert!(detector.check(700.0, 0.0));
}
