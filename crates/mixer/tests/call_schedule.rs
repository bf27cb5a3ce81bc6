//! The schedule of calls to discovery, in simulated time, under drawn delays, hangs and outages. The judge is the rule
//! that a change counts as known 6 s after discovery had it and could be reached.

use std::time::{Duration, Instant};

use oorandom::Rand64;
use pewterwharf_mixer::discovery::call_schedule::{CallSchedule, KeptFor, Pace, Retention};

/// A change counts as known to the mixer this long after discovery had it and could be reached.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// Answers that take longer can't be heard in time after an outage, as the calls made then are some time apart.
const MAX_DELAY_IN_TIME: Duration = Duration::from_secs(5);
/// The time between the clock reads of a watch that is not held up.
const STEP: Duration = Duration::from_millis(1);
/// When a list from before the start is used at the latest.
const LIST_IN_USE_AFTER: Duration = Duration::from_secs(4);
const SEEDS: u64 = 400;

/// Discovery as one seed draws it. Times are from the start of the wait.
#[derive(Debug)]
struct Discovery {
    /// It is away until then.
    returns_at: Duration,
    /// It answers what was called while it was away.
    answers_old_calls: bool,
    /// How long it takes for a call.
    delay: Duration,
    /// This call is never answered; the first one has the number 0.
    hanging_call: Option<usize>,
}

impl Discovery {
    fn draw(random: &mut Rand64) -> Self {
        let mut below = |limit: u64| random.rand_range(0..limit);
        Self {
            returns_at: Duration::from_millis(if below(2) == 0 { 0 } else { below(25_000) }),
            answers_old_calls: below(2) == 0,
            delay: Duration::from_millis(match below(3) {
                0 => 0,
                1 => below(5_000),
                _ => below(30_000),
            }),
            hanging_call: (below(2) == 0).then(|| below(3) as usize),
        }
    }

    /// When it answers a call, if ever.
    fn answers_at(&self, number: usize, called_at: Duration) -> Option<Duration> {
        let is_lost = called_at < self.returns_at && !self.answers_old_calls;
        let hangs = self.hanging_call == Some(number);
        (!is_lost && !hangs).then(|| called_at.max(self.returns_at) + self.delay)
    }

    /// When the mixer has to have heard of a change that discovery had at its return.
    fn heard_by(&self, pace_interval: Duration) -> Duration {
        let of_medium_calls = Duration::from_secs(1);
        let of_long_calls = Duration::from_secs(8);
        let next_call = match self.delay {
            delay if delay < Duration::from_millis(100) => pace_interval,
            delay if delay <= MAX_DELAY_IN_TIME => of_medium_calls,
            _ => of_long_calls,
        };
        // Where the next call of that kind hangs, one more is needed.
        let calls = 1 + u32::from(self.hanging_call.is_some());
        self.returns_at + self.delay + next_call * calls + 2 * pace_interval
    }
}

/// A call in flight. Times are from the start of the wait.
struct Call {
    answered_at: Option<Duration>,
    kept_until: Duration,
}

/// What came of a wait.
struct Outcome {
    heard_after: Option<Duration>,
    calls: usize,
    most_kept: usize,
}

/// Plays a wait until a call is answered, for two minutes at the most.
fn play(discovery: &Discovery, list_in_use_after: Duration) -> Outcome {
    let began_at = Instant::now();
    let mut schedule = CallSchedule::new(began_at);
    let mut in_flight: Vec<Call> = Vec::new();
    let (mut outcome, mut after) = (Outcome { heard_after: None, calls: 0, most_kept: 0 }, Duration::ZERO);
    while outcome.heard_after.is_none() && after < Duration::from_secs(120) {
        let pace = if after >= list_in_use_after { Pace::Urgent } else { Pace::Patient };
        let now = began_at + after;
        if now >= schedule.next_call_at(pace) {
            in_flight.retain(|call| after < call.kept_until);
            let kept_for = schedule.count_call(now, Retention::Full).duration();
            let answered_at = discovery.answers_at(outcome.calls, after);
            in_flight.push(Call { answered_at, kept_until: after + kept_for });
            outcome.calls += 1;
            outcome.most_kept = outcome.most_kept.max(in_flight.len());
        }
        let is_heard = in_flight.iter().any(|call| call.answered_at.is_some_and(|at| at <= after));
        outcome.heard_after = is_heard.then_some(after);
        after += STEP;
    }
    outcome
}

/// Guards against calls that are given up before slow discovery answers them, and against calls that stop while
/// discovery is away.
#[test]
fn drawn_delays_hangs_and_returns() {
    for seed in 0..SEEDS {
        let discovery = Discovery::draw(&mut Rand64::new(u128::from(seed)));
        for (list_in_use_after, pace_interval) in
            [(Duration::ZERO, Duration::from_millis(100)), (LIST_IN_USE_AFTER, Duration::from_secs(1))]
        {
            let outcome = play(&discovery, list_in_use_after);
            let heard_after = outcome.heard_after.expect("discovery is heard");
            let case = format!("seed {seed}, {discovery:?}: heard after {heard_after:?}");
            assert!(heard_after <= discovery.heard_by(pace_interval), "{case}");
            if discovery.hanging_call.is_none() && discovery.delay < MAX_DELAY_IN_TIME - pace_interval {
                assert!(heard_after <= discovery.returns_at + TOLD_AFTER, "{case}");
            }
            assert!(outcome.most_kept <= Retention::Full.max_calls(), "{case}: {}", outcome.most_kept);
        }
    }
}

/// Guards against calls that queue up at slow discovery while nothing is sent.
#[test]
fn calls_while_no_list_is_in_use() {
    for (delay_s, most_calls) in [(1, 4), (3, 6), (10, 13), (30, 33)] {
        let discovery = Discovery {
            returns_at: Duration::ZERO,
            answers_old_calls: false,
            delay: Duration::from_secs(delay_s),
            hanging_call: None,
        };
        let outcome = play(&discovery, Duration::MAX);
        assert_eq!(outcome.heard_after, Some(discovery.delay));
        assert!(outcome.calls <= most_calls, "{delay_s} s: {} calls", outcome.calls);
    }
}

/// Guards against a watch that is being replaced and takes the descriptors of the newer one.
#[test]
fn calls_kept_by_replaced_watch() {
    let began_at = Instant::now();
    let mut schedule = CallSchedule::new(began_at);
    let (mut kept, mut now) = (Vec::new(), began_at);
    while now < began_at + Duration::from_secs(120) {
        kept.retain(|kept_until| now < *kept_until);
        kept.push(now + schedule.count_call(now, Retention::Reduced).duration());
        assert!(kept.len() <= Retention::Reduced.max_calls(), "{} calls", kept.len());
        now = schedule.next_call_at(Pace::Urgent);
    }
}

/// Guards against failed calls that take the place of one which is kept: after an outage in which connections were
/// refused, slow discovery would not be heard.
#[test]
fn calls_that_fail_at_once() {
    let mut schedule = CallSchedule::new(Instant::now());
    for _ in 0..25 {
        let now = schedule.next_call_at(Pace::Urgent);
        let kept_for = schedule.count_call(now, Retention::Full);
        assert_eq!(kept_for, KeptFor::Long);
        schedule.note_failure(kept_for);
    }
    let mut next_call = || {
        let now = schedule.next_call_at(Pace::Urgent);
        schedule.count_call(now, Retention::Full)
    };
    assert_eq!([next_call(), next_call(), next_call()], [KeptFor::Long, KeptFor::Medium, KeptFor::Short]);
}
