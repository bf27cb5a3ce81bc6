//! The machine's monotonic clock in milliseconds, the same in all processes.

use rustix::time::{ClockId, clock_gettime};

/// A time of this clock, in milliseconds.
pub type TimeMs = f64;

/// The current time.
pub fn now_ms() -> TimeMs {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec as f64 * 1000.0 + time.tv_nsec as f64 / 1e6
}
