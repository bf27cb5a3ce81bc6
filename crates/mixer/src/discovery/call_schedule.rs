//! When a watch without a trusted connection calls discovery, and for how long it keeps each call. No I/O.
//!
//! Silence does not tell whether discovery is slow or away. Slow discovery answers a call that is kept for long
//! enough, whatever is called meanwhile. After an outage, discovery may answer all calls, or only those made after
//! its return. A single call may also hang while later ones are answered. So calls are made as long as none is
//! answered, and some are kept for longer than others: see [`KeptFor`].
//!
//! Invariant: whenever discovery begins to answer each new call after some time, a call that is kept for that time
//! is made soon: within an interval of calls for up to [`SHORT`](KeptFor::Short), within about a second for up to
//! [`MEDIUM`](KeptFor::Medium), and within 8 s for up to [`LONG`](KeptFor::Long).

use std::time::{Duration, Instant};

/// The interval between calls while scans are sent by the list that is held. What an agent of discovery receives on
/// its return from an outage counts as known to the mixer at once, and the grace of a drain is 250 ms, of which
/// 150 ms are for a mixer that is held up.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);
/// Bounds on the interval between calls while nothing is sent, because no list is in use yet. Between them, the
/// interval is as long as the wait so far: discovery that answers one call after the other, including those that
/// were ended, needs few calls.
const MIN_PATIENT_INTERVAL: Duration = Duration::from_millis(250);
const MAX_PATIENT_INTERVAL: Duration = Duration::from_secs(1);

/// For how long a call is kept that is not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeptFor {
    /// While the next two calls are made.
    Short,
    /// For the time after which a change counts as known to the mixer.
    Medium,
    /// For half a minute and some slack.
    Long,
}

impl KeptFor {
    pub const fn duration(self) -> Duration {
        match self {
            Self::Short => Duration::from_millis(200),
            Self::Medium => Duration::from_secs(6),
            Self::Long => Duration::from_secs(32),
        }
    }
}

/// How many calls a watch may keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retention {
    /// The newest watch.
    Full,
    /// A watch that is being replaced: it leaves file descriptors to the newer one.
    Reduced,
}

impl Retention {
    /// The interval between calls that are kept for [`KeptFor::Medium`].
    const fn medium_interval(self) -> Duration {
        match self {
            Self::Full => Duration::from_secs(1),
            Self::Reduced => Duration::from_secs(3),
        }
    }

    /// The interval between calls that are kept for [`KeptFor::Long`].
    const fn long_interval(self) -> Duration {
        match self {
            Self::Full => Duration::from_secs(8),
            Self::Reduced => Duration::from_secs(16),
        }
    }

    /// The maximum number of calls that are kept at a time, of each kind one more than fit into its time.
    pub const fn max_calls(self) -> usize {
        let short = KeptFor::Short.duration().as_millis() / URGENT_INTERVAL.as_millis();
        let medium = KeptFor::Medium.duration().as_millis() / self.medium_interval().as_millis();
        let long = KeptFor::Long.duration().as_millis() / self.long_interval().as_millis();
        (short + medium + long) as usize + 3
    }
}

/// Why calls are made, which decides how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// Scans are sent by a list that may be outdated, or no call is in flight.
    Urgent,
    /// Nothing is sent, and a call is in flight.
    Patient,
}

/// The calls of a watch since it last had a trusted connection.
#[derive(Clone, Copy, Debug)]
pub struct CallSchedule {
    waiting_since: Instant,
    last_call_at: Option<Instant>,
    last_medium_call_at: Option<Instant>,
    last_long_call_at: Option<Instant>,
}

impl CallSchedule {
    /// The schedule of a watch that has no trusted connection from now on.
    pub fn new(now: Instant) -> Self {
        Self { waiting_since: now, last_call_at: None, last_medium_call_at: None, last_long_call_at: None }
    }

    /// When the next call is due.
    pub fn next_call_at(&self, pace: Pace) -> Instant {
        let Some(last_call_at) = self.last_call_at else { return self.waiting_since };
        let waited = last_call_at.duration_since(self.waiting_since);
        let interval = match pace {
            Pace::Urgent => URGENT_INTERVAL,
            Pace::Patient => waited.clamp(MIN_PATIENT_INTERVAL, MAX_PATIENT_INTERVAL),
        };
        last_call_at + interval
    }

    /// Counts a call that is made now. The first is kept for long, and the second not much shorter, in case the
    /// first hangs.
    pub fn count_call(&mut self, now: Instant, retention: Retention) -> KeptFor {
        let is_due = |last: Option<Instant>, interval: Duration| {
            last.is_none_or(|last_at| now.duration_since(last_at) >= interval)
        };
        self.last_call_at = Some(now);
        if is_due(self.last_long_call_at, retention.long_interval()) {
            self.last_long_call_at = Some(now);
            KeptFor::Long
        } else if is_due(self.last_medium_call_at, retention.medium_interval()) {
            self.last_medium_call_at = Some(now);
            KeptFor::Medium
        } else {
            KeptFor::Short
        }
    }

    /// Notes that a call has failed: the next one is kept in its place.
    pub fn note_failure(&mut self, kept_for: KeptFor) {
        match kept_for {
            KeptFor::Short => {}
            KeptFor::Medium => self.last_medium_call_at = None,
            KeptFor::Long => self.last_long_call_at = None,
        }
    }
}
