//! The size of the module's state while clients or searchers send as fast as they can.

#[allow(dead_code)] // the other tests use the rest
mod common;

use common::{Rig, listed, table_type};
use pewterwharf::interface::{DispatchOutcome, Event, Idempotency, ListKind, SearcherStatus};

const SEARCHERS: u8 = 3;
const PARTS: u32 = 3;
/// A start long before the test: the searchers are warm, and what is sent to them is recorded.
const STARTED_AT: f64 = 10_000.0;
/// A collection may be larger by this factor at ten times the rate, or after the second half of a flood.
const ALLOWED_GROWTH: f64 = 1.25;

/// What comes as fast as it can.
#[derive(Clone, Copy, Debug)]
enum Flood {
    /// Scans with too little time left, which are rejected at once.
    Expired,
    /// Scans while no searcher is up, which are rejected at once.
    NobodyUp,
    /// Scans whose clients leave right after.
    ClientsLeave,
    /// Scans that are answered at once.
    Served,
    /// Scans for which searchers return errors at once.
    Errors,
}

const FLOODS: [Flood; 5] =
    [Flood::Expired, Flood::NobodyUp, Flood::ClientsLeave, Flood::Served, Flood::Errors];

struct FloodedRig {
    rig: Rig,
    flood: Flood,
    interval_ms: f64,
}

/// A dispatch that the mixer has made.
struct Dispatch {
    part: u64,
    number: u8,
    searcher: u8,
}

impl FloodedRig {
    fn new(flood: Flood, interval_ms: f64) -> Self {
        let mut rig = Rig::new(vec![table_type(Idempotency::Replayable, 1.0)], None);
        let status = match flood {
            Flood::NobodyUp => SearcherStatus::Draining,
            _ => SearcherStatus::Ready,
        };
        let searchers = (1..=SEARCHERS).map(|n| listed(n, STARTED_AT, status)).collect();
        rig.handle(vec![Event::List { kind: ListKind::Full, searchers }]);
        rig.trace();
        Self { rig, flood, interval_ms }
    }

    /// Floods the mixer for this time.
    fn run(&mut self, duration_ms: f64) {
        for _ in 0..(duration_ms / self.interval_ms) as u32 {
            self.rig.advance_ms(self.interval_ms);
            let left_ms = if matches!(self.flood, Flood::Expired) { 20.0 } else { 2000.0 };
            let scan = self.rig.scan_with_deadline(0, PARTS, left_ms);
            self.answer_dispatches(scan);
        }
    }

    /// Ends the dispatches of a scan, and those that follow them.
    fn answer_dispatches(&mut self, scan: u64) {
        let mut numbers = [0; PARTS as usize];
        loop {
            let trace = self.rig.trace();
            let dispatches: Vec<Dispatch> =
                trace.lines().filter_map(|line| parse_dispatch(line, scan, &mut numbers)).collect();
            if dispatches.is_empty() {
                return;
            }
            if matches!(self.flood, Flood::ClientsLeave) {
                self.rig.handle(vec![Event::ClientGone { scan }]);
            }
            for Dispatch { part, number, searcher } in dispatches {
                let outcome = match self.flood {
                    Flood::ClientsLeave => DispatchOutcome::Cancelled,
                    Flood::Errors => DispatchOutcome::Error,
                    _ => DispatchOutcome::Ok,
                };
                self.rig.end_dispatch(part, number, searcher, outcome, self.interval_ms / 2.0);
            }
        }
    }
}

/// The dispatch in a line of the trace such as `12 part 101 -> s2`. `numbers`: the dispatches of each part so far.
fn parse_dispatch(line: &str, scan: u64, numbers: &mut [u8; PARTS as usize]) -> Option<Dispatch> {
    let (part, to) = line.split_once("part ")?.1.split_once(" -> s")?;
    let part: u64 = part.parse().ok()?;
    let count = numbers.get_mut(part.checked_sub(scan + 1)? as usize)?;
    let number = std::mem::replace(count, *count + 1);
    Some(Dispatch { part, number, searcher: to.parse().ok()? })
}

/// The number of values that the fields of this name hold, at any depth, in a text of the state.
fn field_size(text: &str, field: &str) -> usize {
    let name = format!(" {field}: ");
    text.match_indices(&name).map(|(at, _)| value_count(&text[at + name.len()..])).sum()
}

/// The number of values in the value that begins here: up to the bracket that closes its first one.
fn value_count(text: &str) -> usize {
    let mut depth = 0_usize;
    let mut count = 1;
    for byte in text.bytes() {
        match byte {
            b'{' | b'[' | b'(' => depth += 1,
            b'}' | b']' | b')' if depth <= 1 => break,
            b'}' | b']' | b')' => depth -= 1,
            b',' => count += 1,
            _ => {}
        }
    }
    count
}

/// Checks that a field does not grow throughout a flood, and that its size is not decided by the flood's rate.
fn check_field(field: &str) {
    const SLOW_INTERVAL_MS: f64 = 1.0;
    const FAST_INTERVAL_MS: f64 = 0.1;
    const DURATION_MS: f64 = 6000.0;
    for flood in FLOODS {
        let size = |rig: &FloodedRig| field_size(&rig.rig.state_text(), field);
        let (mut slow, mut fast) =
            (FloodedRig::new(flood, SLOW_INTERVAL_MS), FloodedRig::new(flood, FAST_INTERVAL_MS));
        slow.run(DURATION_MS);
        fast.run(DURATION_MS);
        let (at_slow_rate, at_fast_rate) = (size(&slow), size(&fast));
        fast.run(DURATION_MS);
        let later = size(&fast);
        let sizes = format!(
            "{flood:?}: {field} has {at_slow_rate}, {at_fast_rate} at ten times the rate, then {later}"
        );
        assert!((at_fast_rate as f64) < ALLOWED_GROWTH * at_slow_rate as f64, "{sizes}");
        assert!((later as f64) < ALLOWED_GROWTH * at_fast_rate as f64, "{sizes}");
    }
}

/// Guards against budgets that keep each accepted scan and part until something is late or dispatched.
#[test]
fn budgets_under_floods() {
    check_field("retry_budget");
    check_field("hedge_budget");
}

/// Guards against an entry for each scan of the time in which customers are compared.
#[test]
fn customer_traffic_under_floods() {
    check_field("customers");
}

/// Guards against timers of scans and dispatches that are over, which stay until they are due.
#[test]
fn timers_under_floods() {
    check_field("timers");
}

/// Guards against an entry for each part that was sent to a searcher with a known start, however long ago that was.
#[test]
fn work_of_searchers_under_floods() {
    check_field("searchers");
}
