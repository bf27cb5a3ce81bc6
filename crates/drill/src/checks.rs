//! What always has to hold, looked at in what the rig recorded: no I/O, so that each check is shown to find what it is for.

use std::collections::BTreeMap;

use crate::report::Violation;

/// Of a drain, what a mixer may still send while it is told, on a machine that is busy: the rule's quarter of a second and
/// what processes may wait for a core. One that does not keep it goes on for as long as it is asked.
pub const DRAIN_MS: f64 = 3000.0;
/// A searcher that has come back is cold for so long, and bears this share of its full rate at the begin.
const WARM_MS: f64 = 10_000.0;
const COLD_FROM: f64 = 0.2;
/// So many times what it bears, for so long, make it fall.
const TIP: f64 = 2.0;
const FALL_MS: f64 = 1000.0;
/// One of a kind says enough; hundreds hide it.
const OF_A_KIND: usize = 5;

/// What came of a scan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    Refused,
    Abandoned,
    /// An answer that can't be.
    UnexpectedStatus(u16),
    /// The connection ended without one.
    ConnectionLost,
    /// None came for as long as was waited.
    TimedOut,
    /// Nobody took the connection.
    ConnectFailed,
}

/// A scan that a client asked. All times are milliseconds from when the fleet had come up.
#[derive(Clone, Debug, PartialEq)]
pub struct ScanRecord {
    pub id: String,
    pub mixer: usize,
    /// The process of that mixer that it went to.
    pub process: u64,
    pub began_ms: f64,
    pub ended_ms: f64,
    pub outcome: Outcome,
    /// More bytes came after the answer.
    pub twice: bool,
}

/// A part that reached a searcher.
#[derive(Clone, Debug, PartialEq)]
pub struct PartArrival {
    pub at_ms: f64,
    pub searcher: usize,
    /// Its name: the scan's id, which begins with its mixer's number, and the shard.
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

/// From when to when something held for a mixer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    pub mixer: usize,
    pub from: f64,
    pub to: f64,
}

/// What the rig recorded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    pub scans: Vec<ScanRecord>,
    pub arrivals: Vec<PartArrival>,
    /// Processes that the script ended, and when.
    pub ended_processes: BTreeMap<u64, f64>,
    pub stalls: Vec<Span>,
    /// Without discovery.
    pub without_discovery: Vec<Span>,
    /// Searchers, and when they were listed so.
    pub drains: Vec<(usize, f64)>,
    pub returned: Vec<(usize, f64)>,
    /// Milliseconds of work of a part.
    pub work_ms: f64,
    pub length_ms: f64,
}

/// ScanSummary with this rest by five may not run twice.
pub fn is_entry(scan: u64) -> bool {
    scan.is_multiple_of(5)
}

impl Record {
    /// All that did not hold, in order of time.
    pub fn violations(&self) -> Vec<Violation> {
        let mut all = Vec::new();
        for found in [self.answers(), self.twice(), self.drains(), self.cold()] {
            all.extend(found.into_iter().take(OF_A_KIND));
        }
        all.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        all
    }

    fn answers(&self) -> Vec<Violation> {
        let bad = self.scans.iter().filter_map(|one| {
            // A reset reaches the client when its mixer's process is gone, and a little before that is noted.
            let ended = self.ended_processes.get(&one.process).is_some_and(|at| *at <= one.ended_ms + 100.0);
            let what = match one.outcome {
                Outcome::ConnectionLost | Outcome::TimedOut if !ended => format!("{} got no answer", one.id),
                Outcome::UnexpectedStatus(status) => format!("{} was answered {status}", one.id),
                _ if one.twice => format!("{} was answered twice", one.id),
                _ => return None,
            };
            let (rule, who) = ("each scan gets one final answer", format!("m{}", one.mixer + 1));
            Some(Violation { rule, at_ms: one.ended_ms, who, what })
        });
        bad.collect()
    }

    /// An entry, of one part, may reach one searcher, once.
    fn twice(&self) -> Vec<Violation> {
        let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
        let mut bad = Vec::new();
        for one in self.arrivals.iter().filter(|a| a.scan().is_some_and(is_entry)) {
            if let Some(first) = seen.insert(&one.part, one.searcher) {
                let what = format!("{} reached s{} after s{}", one.part, one.searcher + 1, first + 1);
                let who = format!("m{}", one.mixer().map_or(0, |m| m + 1));
                bad.push(Violation { rule: "nothing runs twice that may not", at_ms: one.at_ms, who, what });
            }
        }
        bad
    }

    fn drains(&self) -> Vec<Violation> {
        let mut bad = Vec::new();
        for (searcher, at) in &self.drains {
            for one in self.arrivals.iter().filter(|a| a.searcher == *searcher) {
                let Some(mixer) = one.mixer() else { continue };
                // Whoever could not be told, or stood still, is not held to it here.
                let within = |s: &Span| s.mixer == mixer && s.from <= one.at_ms && s.to + DRAIN_MS >= *at;
                let told = !self.without_discovery.iter().chain(&self.stalls).any(within);
                if one.at_ms > at + DRAIN_MS && one.at_ms < self.length_ms && told {
                    let what =
                        format!("{} reached s{}, which drains since {at:.0} ms", one.part, searcher + 1);
                    let who = format!("m{}", mixer + 1);
                    bad.push(Violation { rule: "drains are kept", at_ms: one.at_ms, who, what });
                }
            }
        }
        bad
    }

    /// The parts that reach a cold searcher in any span in which it would fall.
    fn cold(&self) -> Vec<Violation> {
        let mut bad = Vec::new();
        for (searcher, back) in &self.returned {
            let mut times: Vec<f64> = self
                .arrivals
                .iter()
                .filter(|a| a.searcher == *searcher && a.at_ms >= *back && a.at_ms - back < WARM_MS)
                .map(|a| a.at_ms)
                .collect();
            times.sort_by(f64::total_cmp);
            let over = times.iter().enumerate().find_map(|(nth, at)| {
                let able = COLD_FROM + (1.0 - COLD_FROM) * (at - back) / WARM_MS;
                let bound = TIP * able * FALL_MS / self.work_ms.max(0.1);
                let within = times[nth..].iter().take_while(|t| **t < at + FALL_MS).count();
                (within as f64 > bound).then_some((*at, within, bound))
            });
            if let Some((at_ms, within, bound)) = over {
                let what = format!("{within} parts in a second, over {bound:.0} it falls");
                let who = format!("s{}", searcher + 1);
                bad.push(Violation { rule: "no cold searcher is pushed over", at_ms, who, what });
            }
        }
        bad
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sound() -> Record {
        let ask = |nth: u64| ScanRecord {
            id: format!("m1-1-{nth}"),
            mixer: 0,
            process: 1,
            began_ms: nth as f64 * 10.0,
            ended_ms: nth as f64 * 10.0 + 6.0,
            outcome: Outcome::Completed,
            twice: false,
        };
        let arrive = |nth: u64| PartArrival {
            at_ms: nth as f64 * 10.0 + 1.0,
            searcher: nth as usize % 4,
            part: format!("m1-1-{nth}.7"),
        };
        let (scans, arrivals) = ((0..2000).map(ask).collect(), (0..2000).map(arrive).collect());
        Record { scans, arrivals, work_ms: 5.0, length_ms: 20_000.0, ..Record::default() }
    }

    fn rules(record: &Record) -> Vec<(&'static str, String)> {
        record.violations().into_iter().map(|b| (b.rule, b.who)).collect()
    }

    #[test]
    fn what_is_sound_breaks_nothing() {
        assert_eq!(rules(&sound()), []);
    }

    #[test]
    fn a_lost_answer_is_found_unless_its_process_was_ended() {
        for outcome in [Outcome::ConnectionLost, Outcome::TimedOut, Outcome::UnexpectedStatus(500)] {
            let mut record = sound();
            record.scans[17].outcome = outcome;
            assert_eq!(rules(&record), [("each scan gets one final answer", "m1".to_owned())]);
        }
        let mut record = sound();
        record.scans[17].outcome = Outcome::ConnectionLost;
        record.ended_processes.insert(1, 180.0);
        assert_eq!(rules(&record), []);
        record.scans[18].twice = true;
        assert_eq!(rules(&record).len(), 1, "one answered twice is none the less");
    }

    #[test]
    fn an_entry_that_reaches_two_searchers_is_found_and_a_copy_of_what_may_be_repeated_is_none() {
        let mut record = sound();
        let copy = |record: &Record, nth: usize| PartArrival { searcher: 2, ..record.arrivals[nth].clone() };
        let (may, may_not) = (copy(&record, 12), copy(&record, 15));
        record.arrivals.push(may);
        assert_eq!(rules(&record), []);
        record.arrivals.push(may_not);
        assert_eq!(rules(&record), [("nothing runs twice that may not", "m1".to_owned())]);
    }

    #[test]
    fn a_drain_that_is_not_kept_is_found_unless_nobody_could_tell() {
        let mut record = sound();
        record.drains.push((3, 5000.0));
        assert_eq!(rules(&record).len(), OF_A_KIND);
        assert!(rules(&record).iter().all(|b| b.0 == "drains are kept"));
        let mut blind = record.clone();
        blind.without_discovery.push(Span { mixer: 0, from: 4000.0, to: f64::INFINITY });
        assert_eq!(rules(&blind), []);
        let mut kept = record.clone();
        kept.arrivals.retain(|a| a.searcher != 3 || a.at_ms < 5200.0);
        assert_eq!(rules(&kept), []);
    }

    #[test]
    fn a_cold_searcher_that_is_pushed_over_by_the_sum_is_found() {
        let mut record = sound();
        record.returned.push((2, 5000.0));
        assert_eq!(rules(&record), [], "25 parts a second are no push");
        // 80 parts of 5 ms in a second are twice what a fifth of its rate does.
        let push = |nth: u64| PartArrival {
            at_ms: 5100.0 + nth as f64,
            searcher: 2,
            part: format!("m{}-1-{nth}.1", nth % 3),
        };
        record.arrivals.extend((1..120).filter(|n| n % 5 != 0).map(push));
        assert_eq!(rules(&record), [("no cold searcher is pushed over", "s3".to_owned())]);
    }
}
