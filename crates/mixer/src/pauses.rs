//! Detection of pauses of the whole process, and bounds on when input arrived that is read after one. A
//! thread that looks at the clock regularly notices a pause by a check that comes far too late.

/// A check that is this late means that the process was paused. This is below the 100 ms for which attempts
/// may still begin after their client has disconnected, and below the 150 ms by which the time that they
/// state may exceed what it has left.
const PAUSE_MS: f64 = 80.0;

/// After a check that is this late, it is unknown when the input found then arrived. Pauses too short to be
/// reported add up.
const UNSURE_MS: f64 = 20.0;

/// Detects pauses by the looks at the clock of one thread. Times are milliseconds of one clock.
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

/// Tracks since when the input may have been there that a polling thread finds in a turn. Times are
/// milliseconds of one clock.
///
/// Input that a poll finds arrived after the previous poll had returned. That was right before that turn's
/// check, or, if the check was late, at any time since the check before it.
pub struct ArrivalTracker {
    pauses: PauseDetector,
    since: f64,
    /// The bound for the input of the next turn, if it is not known from that turn's own check.
    next_since: Option<f64>,
}

impl ArrivalTracker {
    pub fn new(now: f64) -> Self {
        Self { pauses: PauseDetector::new(now), since: now, next_since: Some(now) }
    }

    /// Begins the turn after a poll that has just returned and was to wait `wait_ms` at most; whether the
    /// process was paused. `all_found`: the poll returned everything that was there.
    pub fn record_poll(&mut self, now: f64, wait_ms: f64, all_found: bool) -> bool {
        let Check { previous_at, late_ms } = self.pauses.record(now, wait_ms);
        let unsure_since = (late_ms > UNSURE_MS).then_some(previous_at);
        self.since = self.next_since.or(unsure_since).unwrap_or(now);
        self.next_since = unsure_since.or((!all_found).then_some(self.since));
        late_ms > PAUSE_MS
    }

    /// Input that is found in this turn arrived no earlier.
    pub fn earliest_arrival(&self) -> f64 {
        self.since
    }
}
