//! Detection of pauses of the whole process, and lower bounds on the arrival times of input that is read after
//! one. A thread that checks the clock regularly detects a pause when a check comes far too late.

/// A check that is this late means that the process was paused. This is below the 100 ms during which attempts
/// may still begin after their client has disconnected, and below the 150 ms by which the timeout of an attempt
/// may exceed the time that its client still waits.
const PAUSE_MS: f64 = 80.0;

/// If a check is this late, the input that is found then may have arrived at any time since the previous check.
/// This is far below [`PAUSE_MS`], as shorter pauses add up.
const UNSURE_MS: f64 = 20.0;

/// Detects pauses by the clock checks of one thread. Times are milliseconds of one clock.
pub struct PauseDetector {
    last_check_at: f64,
}

/// How a check relates to the previous one.
struct Check {
    previous_at: f64,
    /// How much later than expected it came; negative if it came earlier.
    late_ms: f64,
}

impl PauseDetector {
    pub fn new(now: f64) -> Self {
        Self { last_check_at: now }
    }

    /// Whether the process was paused since the previous check. Without a pause, this check was to follow that
    /// one after `wait_ms` at the latest.
    pub fn check(&mut self, now: f64, wait_ms: f64) -> bool {
        self.record(now, wait_ms).late_ms > PAUSE_MS
    }

    fn record(&mut self, now: f64, wait_ms: f64) -> Check {
        let previous_at = std::mem::replace(&mut self.last_check_at, now);
        Check { previous_at, late_ms: now - previous_at - wait_ms }
    }
}

/// Tracks the earliest time at which input that a polling thread finds in a turn may have arrived. The thread
/// checks the clock in each turn, right after its poll. Times are milliseconds of one clock.
///
/// A poll returns as soon as there is input, so what it finds is taken to have arrived at the check of its
/// turn. In three cases it may have arrived earlier:
/// - That check is late. The input may have arrived at any time since the check of the previous turn.
/// - The check of the previous turn was late. Its poll may have returned before the pause, and then input that
///   arrived during the pause is found only in this turn. It may have arrived at any time since the check
///   before the late one.
/// - The poll of the previous turn did not return all events. The input of the others may have arrived as early
///   as that of the previous turn.
pub struct ArrivalTracker {
    pauses: PauseDetector,
    /// The earliest time at which input that is found in the current turn may have arrived.
    earliest_arrival: f64,
    /// The same for the next turn, where the current turn determines it; `None` if the next turn's own check
    /// does.
    next_earliest_arrival: Option<f64>,
}

impl ArrivalTracker {
    pub fn new(now: f64) -> Self {
        Self { pauses: PauseDetector::new(now), earliest_arrival: now, next_earliest_arrival: Some(now) }
    }

    /// Begins a turn, right after its poll has returned. Returns whether the process was paused since the
    /// previous turn began. `wait_ms`: the longest time that the poll was to wait. `all_found`: the poll
    /// returned all events that were there.
    pub fn record_poll(&mut self, now: f64, wait_ms: f64, all_found: bool) -> bool {
        let Check { previous_at, late_ms } = self.pauses.record(now, wait_ms);
        let unsure_since = (late_ms > UNSURE_MS).then_some(previous_at);
        self.earliest_arrival = self.next_earliest_arrival.or(unsure_since).unwrap_or(now);
        self.next_earliest_arrival = unsure_since.or((!all_found).then_some(self.earliest_arrival));
        late_ms > PAUSE_MS
    }

    /// The earliest time at which input that is found in the current turn may have arrived.
    pub fn earliest_arrival(&self) -> f64 {
        self.earliest_arrival
    }
}
