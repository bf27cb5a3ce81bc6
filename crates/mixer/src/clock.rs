//! Unix time in milliseconds, as discovery gives it, that never goes backwards.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Read from the system's clock once; from then on it goes by the monotonic one.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix_ms: f64,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    pub fn now(&self) -> f64 {
        self.unix_ms + self.origin.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant of a time; times long past or far off are held within a day.
    pub fn instant(&self, at: f64) -> Instant {
        let ms = (at - self.unix_ms).clamp(0.0, 86_400_000.0 + (self.now() - self.unix_ms));
        self.origin + Duration::from_secs_f64(ms / 1000.0)
    }
}
