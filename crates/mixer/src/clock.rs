//! Unix time in milliseconds, as discovery gives it, that never goes backwards.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Read from the system's clock once; from then on it goes by the monotonic one.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix_ms: f64,
}

impl Clock {
    #[expect(
        clippy::disallowed_methods,
        reason = "the one place where the wall clock is read, once: a step moves nothing"
    )]
    pub fn start() -> Self {
        // Drills of a host whose clock is wrong say so here, as no process can be given a wall clock of its own.
        let astray_ms =
            std::env::var("PEWTERWHARF_DRILL_CLOCK_MS").ok().and_then(|ms| ms.parse().ok()).unwrap_or(0.0);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 + astray_ms }
    }

    pub fn now(&self) -> f64 {
        self.unix_ms + self.origin.elapsed().as_secs_f64() * 1000.0
    }

    /// How long it is until a time, a day at most.
    pub fn until(&self, at: f64) -> Duration {
        Duration::from_secs_f64(((at - self.now()) / 1000.0).clamp(0.0, 86_400.0))
    }
}
