//! Simulation of mixers and searchers under faults that begin and end. It measures how long service takes to recover after
//! the end of a fault. Only the decision module is real. The time is simulated, so that seconds take milliseconds, and the
//! same seed gives the same run.
//!
//! A [`Fleet`] has searchers in sets, each with cores and a queue, and mixers that share no state or exchange reports. A
//! [`Fault`] is injected for a time. [`simulate`] returns a [`RunResult`], with counts for each tenth of a second: scans that
//! arrived, that completed in time, and that were refused immediately. The host process's part (timeouts, connections,
//! probes) is modelled after the network code. The model does not predict the figures of a real fleet; it shows whether the
//! module keeps reacting to a fault after its end.

mod reports;
mod searcher;
mod simulation;

pub use simulation::simulate;

/// A fault to inject.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// This share of the answers of these searchers is lost; connections stay up.
    AnswersLost { searchers: Vec<usize>, share: f64 },
    /// These searchers accept dispatches and do no work until the fault ends; probes are not answered.
    Hang { searchers: Vec<usize> },
    /// The work of these searchers takes this many times as long.
    Slow { searchers: Vec<usize>, factor: f64 },
    /// These searchers are down: connections are lost and refused. They come back cold, and the list reports it.
    Crash { searchers: Vec<usize> },
    /// These searchers answer every part at once with an error.
    Errors { searchers: Vec<usize> },
    /// Parts of this table type take this many times as long.
    SlowType { table_type: usize, factor: f64 },
    /// This many times the scans. Refused clients retry as usual.
    Load { factor: f64 },
}

/// A fault and its period, in milliseconds of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultPeriod {
    pub from_ms: f64,
    pub to_ms: f64,
    pub fault: Fault,
}

/// Parameters of the simulated fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    pub mixers: usize,
    /// Sets of searchers; each shard is held by one set.
    pub sets: usize,
    /// Searchers of a set; half of them are in each of two zones.
    pub searchers_per_set: usize,
    /// Parts that a searcher works on at the same time.
    pub cores: usize,
    /// Mean work of a part, in milliseconds.
    pub part_ms: f64,
    /// Scans per second of all mixers together.
    pub scans_per_s: f64,
    /// Retries of a client after a refused or abandoned scan.
    pub retries: u32,
    /// Target time of all table types, in milliseconds.
    pub target_ms: f64,
    /// Share of the benefit of an answer that remains after the target time.
    pub late_benefit_share: f64,
    /// Exchange of reports between the mixers, if they do so.
    pub reports: Option<ReportExchange>,
}

/// Quality of the report exchange between mixers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportExchange {
    /// Maximum delay of a message, in milliseconds.
    pub max_delay_ms: f64,
    /// Share of messages that are lost.
    pub loss_share: f64,
    /// A faulty mixer that reports every searcher as slow.
    pub faulty_mixer: Option<usize>,
}

impl Fleet {
    /// Four sets of four searchers and two mixers, at half load.
    pub fn small() -> Self {
        Self {
            mixers: 2,
            sets: 4,
            searchers_per_set: 4,
            cores: 1,
            part_ms: 10.0,
            scans_per_s: 220.0,
            retries: 1,
            target_ms: 300.0,
            late_benefit_share: 0.3,
            reports: None,
        }
    }

    /// As [`Fleet::small`], with a shorter target time, no benefit from late answers, and a higher load of each searcher.
    pub fn short_target() -> Self {
        Self {
            sets: 3,
            cores: 2,
            scans_per_s: 320.0,
            target_ms: 200.0,
            late_benefit_share: 0.0,
            ..Self::small()
        }
    }

    pub fn searchers(&self) -> usize {
        self.sets * self.searchers_per_set
    }

    pub fn searchers_of_set(&self, set: usize) -> Vec<usize> {
        (set * self.searchers_per_set..(set + 1) * self.searchers_per_set).collect()
    }

    pub fn searchers_of_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.searchers()).filter(|s| self.zone_of(*s) == zone).collect()
    }

    pub(crate) fn zone_of(&self, searcher: usize) -> usize {
        usize::from(searcher % self.searchers_per_set >= self.searchers_per_set.div_ceil(2))
    }
}

/// Counts of the scans that arrived in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Interval {
    pub arrived: u32,
    /// Completed within their target time.
    pub in_time: u32,
    /// Refused before any part was sent.
    pub refused: u32,
    pub dispatches: u32,
}

/// Length of an [`Interval`], in milliseconds.
pub const INTERVAL_MS: f64 = 100.0;
const INTERVALS_PER_HALF_SECOND: usize = 5;

/// Result of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunResult {
    pub intervals: Vec<Interval>,
    /// Scans without an answer at their deadline (rule 1).
    pub unanswered: u32,
    /// Non-replayable parts that ran twice (rule 2).
    pub ran_twice: u32,
    /// Dispatches of all mixers to hanging searchers.
    pub dispatches_to_hung: u32,
    /// Milliseconds from the first hang until each mixer had marked the searcher, in order.
    pub marked_after_ms: Vec<f64>,
    /// Bytes of messages between mixers.
    pub report_bytes: u64,
}

impl RunResult {
    /// Share of the scans that arrived in this period, in milliseconds, and completed in time.
    pub fn in_time_share(&self, from_ms: f64, to_ms: f64) -> f64 {
        let period = self.intervals_between(from_ms, to_ms);
        let arrived: u32 = period.iter().map(|i| i.arrived).sum();
        let in_time: u32 = period.iter().map(|i| i.in_time).sum();
        f64::from(in_time) / f64::from(arrived.max(1))
    }

    /// Share of the scans that arrived in this period, in milliseconds, and were refused at once.
    pub fn refused_share(&self, from_ms: f64, to_ms: f64) -> f64 {
        let period = self.intervals_between(from_ms, to_ms);
        let arrived: u32 = period.iter().map(|i| i.arrived).sum();
        f64::from(period.iter().map(|i| i.refused).sum::<u32>()) / f64::from(arrived.max(1))
    }

    fn intervals_between(&self, from_ms: f64, to_ms: f64) -> &[Interval] {
        let end = ((to_ms / INTERVAL_MS) as usize).min(self.intervals.len());
        &self.intervals[(from_ms / INTERVAL_MS) as usize..end]
    }

    /// Milliseconds from `end_ms` until service has recovered for the rest of the run: from then on, the share completed in
    /// time is in no half second significantly below `usual_share`. `None` if the last half seconds are still below it.
    pub fn recovery_ms(&self, end_ms: f64, usual_share: f64) -> Option<f64> {
        const HALF: usize = INTERVALS_PER_HALF_SECOND;
        let first = (end_ms / INTERVAL_MS) as usize;
        let is_degraded = |index: usize| {
            let half_second = &self.intervals[index..(index + HALF).min(self.intervals.len())];
            let arrived: f64 = half_second.iter().map(|i| f64::from(i.arrived)).sum();
            let in_time: f64 = half_second.iter().map(|i| f64::from(i.in_time)).sum();
            // Three standard deviations of the binomial distribution, and 1%.
            let tolerance =
                3.0 * (arrived * usual_share * (1.0 - usual_share)).max(1.0).sqrt() + 0.01 * arrived;
            in_time + tolerance < arrived * usual_share
        };
        let last = self.intervals.len().saturating_sub(HALF);
        let last_degraded = (first..=last).rev().find(|index| is_degraded(*index));
        match last_degraded {
            None => Some(0.0),
            Some(index) if index >= last.saturating_sub(HALF) => None,
            Some(index) => Some((index + HALF) as f64 * INTERVAL_MS - end_ms),
        }
    }

    /// Table with a line for each half second.
    pub fn table(&self) -> String {
        let mut text = String::from("     s asked in time refused sent/scan\n");
        for (index, half_second) in self.intervals.chunks(INTERVALS_PER_HALF_SECOND).enumerate() {
            let sum = |field: fn(&Interval) -> u32| f64::from(half_second.iter().map(field).sum::<u32>());
            let arrived = sum(|i| i.arrived).max(1.0);
            text += &format!(
                "{:>6.1} {:>5.0} {:>6.1}% {:>6.1}% {:>9.2}\n",
                index as f64 / 2.0,
                arrived,
                100.0 * sum(|i| i.in_time) / arrived,
                100.0 * sum(|i| i.refused) / arrived,
                sum(|i| i.dispatches) / arrived
            );
        }
        text
    }
}
