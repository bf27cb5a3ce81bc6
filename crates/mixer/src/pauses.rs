//! Whether the process stood still: a thread that looks at the clock again and again finds a look that comes far too late.

/// A look that comes so much later than it was due finds that the process stood still. Attempts may begin for 100 ms after their
/// client has gone, and tell 150 ms more than it has left.
const STOOD_STILL_MS: f64 = 80.0;

/// The looks of one thread. Times are milliseconds of one clock.
pub struct PauseWatch {
    looked_at: f64,
}

impl PauseWatch {
    pub fn new(now: f64) -> Self {
        Self { looked_at: now }
    }

    /// Takes a look that was due `wait_ms` after the one before, at the latest; since when the process may have stood still, if it did.
    pub fn look(&mut self, now: f64, wait_ms: f64) -> Option<f64> {
        let before = std::mem::replace(&mut self.looked_at, now);
        (now - before > wait_ms + STOOD_STILL_MS).then_some(before)
    }
}
