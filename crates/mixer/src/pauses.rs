//! Detection of pauses of the whole process, and lower bounds on the arrival times of input that is read after
//! one. A thread that checks the clock regularly detects a pause when a check comes far too late.

/// A check that is this late means that the process was paused. This is below the 100 ms during which attempts
/// may still begin after their client has disconnected, and below the 150 ms by which the timeout of an attempt
/// may exceed the time that its client still waits.
const PAUSE_MS: f64 = 80.0;

/// If a check is this late, the input that is found then may have arrived at any time since the check before.
/// This is far below [`PAUSE_MS`], as shorter pauses add up.
const UNSURE_MS: f64 = 20.0;

/// Detects pauses by the clock checks of one thread. Times are milliseconds of one clock.
pub struct PauseDetector {
    last_check_at: f64,
}

/// How a check relates to the one before.
struct Check {
    previous_at: f64,
    late_ms: f64,
}

impl PauseDetector {
    pub fn new(now: f64) -> Self {
        Self { last_check_at: now }
    }

    /// Checks whether the process was paused since the last check, which this one was to follow after
    /// `wait_ms` at the latest.
    pub fn check(&mut self, now: f64, wait_ms: f64) -> bool {
        self.record(now, wait_ms).late_ms > PAUSE_MS
    }

    fn record(&mut self, now: f64, wait_ms: f64) -> Check {
        let previous_at = std::mem::replace(&mut self.last_check_at, now);
        Check { previous_at, late_ms: now - previous_at - wait_ms }
    }
}

/// Tracks the earliest time at which input that a polling thread finds in a turn may have arrived. Times are
/// milliseconds of one clock.
///
/// The input that a poll finds arrived after the previous poll returned. That poll returned right before the
/// check of its turn, or, if that check was late, at any time since the check before it.
pub struct ArrivalTracker {
    pauses: PauseDetector,
    since: f64,
    /// The bound for the input of the next turn, if that turn's own check does not give it.
    next_since: Option<f64>,
}

impl ArrivalTracker {
    pub fn new(now: f64) -> Self {
        Self { pauses: PauseDetector::new(now), since: now, next_since: Some(now) }
    }

    /// Begins the turn after a poll that has just returned and was to wait `wait_ms` at most. Returns whether
    /// the process was paused. `all_found`: the poll returned all events that were there.
    pub fn record_poll(&mut self, now: f64, wait_ms: f64, all_found: bool) -> bool {
        let Check { previous_at, late_ms } = self.pauses.record(now, wait_ms);
        let unsure_since = (late_ms > UNSURE_MS).then_some(previous_at);
        self.since = self.next_since.or(unsure_since).unwrap_or(now);
        self.next_since = unsure_since.or((!all_found).then_some(self.since));
        late_ms > PAUSE_MS
    }

    /// The earliest time at which input that is found in this turn may have arrived.
    pub fn earliest_arrival(&self) -> f64 {
        self.since
    }
}
