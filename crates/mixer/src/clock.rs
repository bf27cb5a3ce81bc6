//! Unix time in milliseconds, as discovery uses it, that never goes backwards.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A time in milliseconds since the Unix epoch.
pub type UnixMs = f64;

/// Converts the monotonic clock to Unix time. The wall clock is read only once, at the start, so the time does
/// not follow later changes of the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    origin_unix_ms: UnixMs,
}

impl Clock {
    #[expect(
        clippy::disallowed_methods,
        reason = "the one place where the wall clock is read, once, so that a step of it has no effect"
    )]
    pub fn start() -> Self {
        // A process can't be given a wall clock of its own, so drills simulate a host whose clock is wrong with
        // this variable: the error in milliseconds.
        let offset_ms =
            std::env::var("PEWTERWHARF_DRILL_CLOCK_MS").ok().and_then(|ms| ms.parse().ok()).unwrap_or(0.0);
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), origin_unix_ms: unix_time.as_secs_f64() * 1000.0 + offset_ms }
    }

    /// The time now.
    pub fn now(&self) -> UnixMs {
        self.origin_unix_ms + self.origin.elapsed().as_secs_f64() * 1000.0
    }

    /// The time that is left until `at`: zero if that is over, and one day at most.
    pub fn until(&self, at: UnixMs) -> Duration {
        const MAX_S: f64 = 86_400.0;
        Duration::from_secs_f64(((at - self.now()) / 1000.0).clamp(0.0, MAX_S))
    }
}
