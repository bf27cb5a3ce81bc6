//! Checks the invariants of a drill against the harness's record. They do no I/O, so tests can run each check on made-up
//! records.

use std::collections::BTreeMap;

use crate::report::Violation;

/// Time after a drain during which a mixer may still send to the searcher: the rule's 250 ms and a tolerance for processes
/// that wait for a core of a busy machine. A mixer that ignores the drain sends beyond it.
pub const DRAIN_GRACE_MS: f64 = 3000.0;
/// Warm-up time of a searcher that has returned, and the share of its full rate that it can process at its start.
const WARM_UP_MS: f64 = 10_000.0;
const COLD_RATE_SHARE: f64 = 0.2;
/// A cold searcher fails if it receives this multiple of the rate that it can process for `OVERLOAD_WINDOW_MS`.
const OVERLOAD_MULTIPLE: f64 = 2.0;
const OVERLOAD_WINDOW_MS: f64 = 1000.0;
/// Maximum delay from the reset of a client's connection until the harness records the exit of the process.
const EXIT_RECORD_DELAY_MS: f64 = 100.0;
/// Maximum number of violations reported for one rule: more would hide the others.
const MAX_VIOLATIONS_PER_RULE: usize = 5;

/// The result of a scan at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    Refused,
    Abandoned,
    /// An answer with a status that mixers do not send.
    UnexpectedStatus(u16),
    /// The connection ended without an answer.
    ConnectionLost,
    /// No answer arrived within the client's timeout.
    TimedOut,
    ConnectFailed,
}

/// A scan that a client sent. All times are milliseconds from the start of the drill.
#[derive(Clone, Debug, PartialEq)]
pub struct ScanRecord {
    pub id: String,
    pub mixer: usize,
    /// Number of the mixer's process that it was sent to.
    pub process: u64,
    pub began_ms: f64,
    pub ended_ms: f64,
    pub outcome: Outcome,
    /// Whether more bytes followed the answer.
    pub extra_bytes: bool,
}

/// The arrival of a part at a searcher.
#[derive(Clone, Debug, PartialEq)]
pub struct PartArrival {
    pub at_ms: f64,
    pub searcher: usize,
    /// The scan's id and the shard, as `m1-1-17.7`. The id starts with the name of its mixer.
    pub part: String,
}

impl PartArrival {
    fn mixer(&self) -> Option<usize> {
        let number: usize = self.part.split('-').next()?.strip_prefix('m')?.parse().ok()?;
        number.checked_sub(1)
    }

    /// The number of its scan.
    fn scan(&self) -> Option<u64> {
        self.part.split('.').next()?.rsplit('-').next()?.parse().ok()
    }
}

/// An interval during which a condition held for a mixer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    pub mixer: usize,
    pub from_ms: f64,
    pub to_ms: f64,
}

/// A change of a searcher's state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SearcherEvent {
    pub searcher: usize,
    pub at_ms: f64,
}

/// What the harness recorded during a drill.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    pub scans: Vec<ScanRecord>,
    pub arrivals: Vec<PartArrival>,
    /// Exit times of the processes that have ended, by number.
    pub ended_processes: BTreeMap<u64, f64>,
    pub stalls: Vec<Interval>,
    pub without_discovery: Vec<Interval>,
    /// Searchers listed as draining, and since when.
    pub drains: Vec<SearcherEvent>,
    /// Searchers listed as up again, and since when.
    pub returned: Vec<SearcherEvent>,
    /// Milliseconds of work of a part.
    pub work_ms: f64,
    pub length_ms: f64,
}

/// Whether a scan is an entry, which must not run twice. Every fifth scan is one.
pub fn is_entry(scan_number: u64) -> bool {
    scan_number.is_multiple_of(5)
}

impl Record {
    /// All violations of the invariants, in order of time.
    pub fn violations(&self) -> Vec<Violation> {
        let mut all = Vec::new();
        for found in [
            self.answer_violations(),
            self.duplicate_entries(),
            self.drain_violations(),
            self.overloaded_cold_searchers(),
        ] {
            all.extend(found.into_iter().take(MAX_VIOLATIONS_PER_RULE));
        }
        all.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        all
    }

    /// Scans that did not get exactly one valid answer although their process kept running.
    fn answer_violations(&self) -> Vec<Violation> {
        let violations = self.scans.iter().filter_map(|scan| {
            let process_ended = self
                .ended_processes
                .get(&scan.process)
                .is_some_and(|at| *at <= scan.ended_ms + EXIT_RECORD_DELAY_MS);
            let what = match scan.outcome {
                Outcome::ConnectionLost | Outcome::TimedOut if !process_ended => {
                    format!("{} got no answer", scan.id)
                }
                Outcome::UnexpectedStatus(status) => format!("{} was answered {status}", scan.id),
                _ if scan.extra_bytes => format!("{} was answered twice", scan.id),
                _ => return None,
            };
            Some(Violation {
                rule: "each scan gets one final answer",
                at_ms: scan.ended_ms,
                who: format!("m{}", scan.mixer + 1),
                what,
            })
        });
        violations.collect()
    }

    /// Entries that reached searchers more than once. An entry has one part.
    fn duplicate_entries(&self) -> Vec<Violation> {
        let mut first_searchers: BTreeMap<&str, usize> = BTreeMap::new();
        let mut violations = Vec::new();
        for arrival in self.arrivals.iter().filter(|a| a.scan().is_some_and(is_entry)) {
            if let Some(first) = first_searchers.insert(&arrival.part, arrival.searcher) {
                violations.push(Violation {
                    rule: "nothing runs twice that may not",
                    at_ms: arrival.at_ms,
                    who: format!("m{}", arrival.mixer().map_or(0, |m| m + 1)),
                    what: format!("{} reached s{} after s{}", arrival.part, arrival.searcher + 1, first + 1),
                });
            }
        }
        violations
    }

    /// Parts that reached a draining searcher after the grace period.
    fn drain_violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for drain in &self.drains {
            let grace_end_ms = drain.at_ms + DRAIN_GRACE_MS;
            for arrival in self.arrivals.iter().filter(|a| a.searcher == drain.searcher) {
                let Some(mixer) = arrival.mixer() else { continue };
                // A mixer that was without discovery or stalled may not have received the drain.
                let overlaps = |i: &Interval| {
                    i.mixer == mixer && i.from_ms <= arrival.at_ms && i.to_ms + DRAIN_GRACE_MS >= drain.at_ms
                };
                let informed = !self.without_discovery.iter().chain(&self.stalls).any(overlaps);
                if arrival.at_ms > grace_end_ms && arrival.at_ms < self.length_ms && informed {
                    violations.push(Violation {
                        rule: "drains are kept",
                        at_ms: arrival.at_ms,
                        who: format!("m{}", mixer + 1),
                        what: format!(
                            "{} reached s{}, which drains since {:.0} ms",
                            arrival.part,
                            drain.searcher + 1,
                            drain.at_ms
                        ),
                    });
                }
            }
        }
        violations
    }

    /// Cold searchers that received more parts within a window than they can process.
    fn overloaded_cold_searchers(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for SearcherEvent { searcher, at_ms: returned_ms } in &self.returned {
            let mut times: Vec<f64> = self
                .arrivals
                .iter()
                .filter(|a| {
                    a.searcher == *searcher && a.at_ms >= *returned_ms && a.at_ms - returned_ms < WARM_UP_MS
                })
                .map(|a| a.at_ms)
                .collect();
            times.sort_by(f64::total_cmp);
            let overload = times.iter().enumerate().find_map(|(index, at)| {
                let rate_share = COLD_RATE_SHARE + (1.0 - COLD_RATE_SHARE) * (at - returned_ms) / WARM_UP_MS;
                let max_parts = OVERLOAD_MULTIPLE * rate_share * OVERLOAD_WINDOW_MS / self.work_ms.max(0.1);
                let parts = times[index..].iter().take_while(|t| **t < at + OVERLOAD_WINDOW_MS).count();
                (parts as f64 > max_parts).then_some((*at, parts, max_parts))
            });
            if let Some((at_ms, parts, max_parts)) = overload {
                violations.push(Violation {
                    rule: "no cold searcher is pushed over",
                    at_ms,
                    who: format!("s{}", searcher + 1),
                    what: format!("{parts} parts in a second, over {max_parts:.0} it falls"),
                });
            }
        }
        violations
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn valid_record() -> Record {
        let scan = |nth: u64| ScanRecord {
            id: format!("m1-1-{nth}"),
            mixer: 0,
            process: 1,
            began_ms: nth as f64 * 10.0,
            ended_ms: nth as f64 * 10.0 + 6.0,
            outcome: Outcome::Completed,
            extra_bytes: false,
        };
        let arrival = |nth: u64| PartArrival {
            at_ms: nth as f64 * 10.0 + 1.0,
            searcher: nth as usize % 4,
            part: format!("m1-1-{nth}.7"),
        };
        let (scans, arrivals) = ((0..2000).map(scan).collect(), (0..2000).map(arrival).collect());
        Record { scans, arrivals, work_ms: 5.0, length_ms: 20_000.0, ..Record::default() }
    }

    fn rules(record: &Record) -> Vec<(&'static str, String)> {
        record.violations().into_iter().map(|b| (b.rule, b.who)).collect()
    }

    #[test]
    fn record_without_violations() {
        assert_eq!(rules(&valid_record()), []);
    }

    #[test]
    fn lost_answer() {
        for outcome in [Outcome::ConnectionLost, Outcome::TimedOut, Outcome::UnexpectedStatus(500)] {
            let mut record = valid_record();
            record.scans[17].outcome = outcome;
            assert_eq!(rules(&record), [("each scan gets one final answer", "m1".to_owned())]);
        }
        let mut record = valid_record();
        record.scans[17].outcome = Outcome::ConnectionLost;
        record.ended_processes.insert(1, 180.0);
        assert_eq!(rules(&record), []);
        record.scans[18].extra_bytes = true;
        assert_eq!(rules(&record).len(), 1, "a second answer counts even if the process ended");
    }

    #[test]
    fn duplicate_entry() {
        let mut record = valid_record();
        let copy = |record: &Record, nth: usize| PartArrival { searcher: 2, ..record.arrivals[nth].clone() };
        let (repeatable, entry) = (copy(&record, 12), copy(&record, 15));
        record.arrivals.push(repeatable);
        assert_eq!(rules(&record), []);
        record.arrivals.push(entry);
        assert_eq!(rules(&record), [("nothing runs twice that may not", "m1".to_owned())]);
    }

    #[test]
    fn ignored_drain() {
        let mut record = valid_record();
        record.drains.push(SearcherEvent { searcher: 3, at_ms: 5000.0 });
        assert_eq!(rules(&record).len(), MAX_VIOLATIONS_PER_RULE);
        assert!(rules(&record).iter().all(|b| b.0 == "drains are kept"));
        let mut uninformed = record.clone();
        uninformed.without_discovery.push(Interval { mixer: 0, from_ms: 4000.0, to_ms: f64::INFINITY });
        assert_eq!(rules(&uninformed), []);
        let mut kept = record.clone();
        kept.arrivals.retain(|a| a.searcher != 3 || a.at_ms < 5200.0);
        assert_eq!(rules(&kept), []);
    }

    #[test]
    fn overloaded_cold_searcher() {
        let mut record = valid_record();
        record.returned.push(SearcherEvent { searcher: 2, at_ms: 5000.0 });
        assert_eq!(rules(&record), [], "25 parts a second are no overload");
        // At a fifth of its full rate it processes 40 parts of 5 ms a second and fails above twice as many.
        let extra_arrival = |nth: u64| PartArrival {
            at_ms: 5100.0 + nth as f64,
            searcher: 2,
            part: format!("m{}-1-{nth}.1", nth % 3),
        };
        record.arrivals.extend((1..120).filter(|n| n % 5 != 0).map(extra_arrival));
        assert_eq!(rules(&record), [("no cold searcher is pushed over", "s3".to_owned())]);
    }
}
