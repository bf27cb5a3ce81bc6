//! Whether the process stood still, and what came meanwhile: a thread that looks at the clock again and again finds a look that comes
//! far too late.

/// A look that comes so much later than it was due finds that the process stood still. Attempts may begin for 100 ms after their
/// client has gone, and tell 150 ms more than it has left.
const STOOD_STILL_MS: f64 = 80.0;

/// A look that is later by so much leaves open when what is found then has come: pauses that are too short to be told of add up.
const UNSURE_MS: f64 = 20.0;

/// The looks of one thread. Times are milliseconds of one clock.
pub struct PauseDetector {
    looked_at: f64,
}

impl PauseDetector {
    pub fn new(now: f64) -> Self {
        Self { looked_at: now }
    }

    /// Takes a look that was due `wait_ms` after the one before, at the latest; whether the process stood still since.
    pub fn check(&mut self, now: f64, wait_ms: f64) -> bool {
        self.take(now, wait_ms).1 > STOOD_STILL_MS
    }

    /// The same: when the look before was, and by how much this one is late.
    fn take(&mut self, now: f64, wait_ms: f64) -> (f64, f64) {
        let before = std::mem::replace(&mut self.looked_at, now);
        (before, now - before - wait_ms)
    }
}

/// Since when what a polling thread finds in a turn may have been there. Times are milliseconds of one clock.
///
/// What a poll finds came after the poll before had returned. That was right before the look of that turn, or, where a pause shows in
/// that look, at any time since the look before it.
pub struct ArrivalTracker {
    pauses: PauseDetector,
    since: f64,
    /// What the next turn finds came no earlier, where that is not known from its own look.
    next_since: Option<f64>,
}

impl ArrivalTracker {
    pub fn new(now: f64) -> Self {
        Self { pauses: PauseDetector::new(now), since: now, next_since: Some(now) }
    }

    /// Begins the turn after a poll that has returned just now and was to wait `wait_ms` at most; whether the process stood still.
    /// `all_found`: the poll found all that there was.
    pub fn record_poll(&mut self, now: f64, wait_ms: f64, all_found: bool) -> bool {
        let (before, late_ms) = self.pauses.take(now, wait_ms);
        let unsure_since = (late_ms > UNSURE_MS).then_some(before);
        self.since = self.next_since.or(unsure_since).unwrap_or(now);
        self.next_since = unsure_since.or((!all_found).then_some(self.since));
        late_ms > STOOD_STILL_MS
    }

    /// What is found in this turn came no earlier.
    pub fn earliest_arrival(&self) -> f64 {
        self.since
    }
}
