//! The decision module alone, in simulated time, through troubles that begin and end: how long is service gone once the cause
//! is? Seconds of a day take milliseconds, and the same seed gives the same day.
//!
//! [`Fleet`] has searchers in sets, each with some cores and a queue, and mixers that share nothing or words; [`Trouble`] is what befalls
//! them; [`play`] gives a [`Day`], by tenths of a second: scans asked, completed in time, refused at once. All that a host owns
//! for the module (time-outs, connections, probes) is played as the sockets do it. It is a model, no measure of a real fleet: what
//! it tells is whether a state of the module outlives its cause.

mod searcher;
mod words;
mod world;

pub use world::play;

/// What befalls the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// Of the answers of these searchers, so great a share never comes; connections live.
    AnswersLost { who: Vec<usize>, share: f64 },
    /// These take what comes and do nothing until it is over; probes are not answered.
    Hang { who: Vec<usize> },
    /// These work so many times as long.
    Slow { who: Vec<usize>, times: f64 },
    /// These are gone: connections are lost and refused. They come back cold, and the list says so.
    Crash { who: Vec<usize> },
    /// These answer every part at once with an error.
    Errors { who: Vec<usize> },
    /// Parts of this table type take so many times as long.
    SlowType { table_type: usize, times: f64 },
    /// So many times the scans; clients that are refused ask again, as always.
    Load { times: f64 },
}

/// A trouble and when it holds, in milliseconds of the day.
#[derive(Clone, Debug, PartialEq)]
pub struct Spell {
    pub from: f64,
    pub to: f64,
    pub trouble: Trouble,
}

/// What is played.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    pub mixers: usize,
    /// Sets of searchers; a shard is held by one.
    pub sets: usize,
    /// Searchers of a set; each half of them stands in a zone of its own.
    pub in_set: usize,
    /// Parts that a searcher works on at once.
    pub cores: usize,
    /// Mean milliseconds of work of a part.
    pub part_ms: f64,
    /// Scans in a second, of all mixers together.
    pub scans_per_s: f64,
    /// Times that a client asks again after a refusal or an abandonment.
    pub retries: u32,
    /// Target time of all table types, in milliseconds, and the share of the benefit that is left after it.
    pub target_ms: f64,
    pub late_share: f64,
    /// Whether the mixers tell each other what they know, and how well that goes.
    pub words: Option<Words>,
}

/// Words between mixers.
#[derive(Clone, Debug, PartialEq)]
pub struct Words {
    /// Longest time that a word takes, in milliseconds, and the share that is lost.
    pub delay_ms: f64,
    pub loss: f64,
    /// One that says once a second that every searcher is slow.
    pub liar: Option<usize>,
}

impl Fleet {
    /// Small, loaded by half: four sets of four searchers, two mixers.
    pub fn small() -> Self {
        Self {
            mixers: 2,
            sets: 4,
            in_set: 4,
            cores: 1,
            part_ms: 10.0,
            scans_per_s: 220.0,
            retries: 1,
            target_ms: 300.0,
            late_share: 0.3,
            words: None,
        }
    }

    /// As the small one, with less time, nothing for late answers, and more asked of each searcher.
    pub fn hasty() -> Self {
        Self { sets: 3, cores: 2, scans_per_s: 320.0, target_ms: 200.0, late_share: 0.0, ..Self::small() }
    }

    pub fn searchers(&self) -> usize {
        self.sets * self.in_set
    }

    /// The searchers of a set.
    pub fn set(&self, set: usize) -> Vec<usize> {
        (set * self.in_set..(set + 1) * self.in_set).collect()
    }

    /// The searchers of a zone.
    pub fn zone(&self, zone: usize) -> Vec<usize> {
        (0..self.searchers()).filter(|s| self.zone_of(*s) == zone).collect()
    }

    pub(crate) fn zone_of(&self, searcher: usize) -> usize {
        usize::from(searcher % self.in_set >= self.in_set.div_ceil(2))
    }
}

/// A tenth of a second, by when scans came.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Moment {
    pub asked: u32,
    /// Completed before their target time.
    pub in_time: u32,
    /// Refused before a part went out.
    pub refused: u32,
    /// Dispatches.
    pub sent: u32,
}

/// Milliseconds of a [`Moment`].
pub const MOMENT_MS: f64 = 100.0;

/// What came of a day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Day {
    pub moments: Vec<Moment>,
    /// Scans that had no answer by the end of their time: rule 1.
    pub lost: u32,
    /// Non-replayable parts that ran twice: rule 2.
    pub twice: u32,
    /// Dispatches to searchers that hung, of all mixers.
    pub into_hang: u32,
    /// Of the first searcher that hung: milliseconds from then until each mixer had marked it, in order.
    pub marked_ms: Vec<f64>,
    /// Bytes of words between mixers.
    pub word_bytes: u64,
}

impl Day {
    /// Share of the scans that came in this span, in milliseconds, and were completed in time.
    pub fn served(&self, from: f64, to: f64) -> f64 {
        let span =
            &self.moments[(from / MOMENT_MS) as usize..((to / MOMENT_MS) as usize).min(self.moments.len())];
        let asked: u32 = span.iter().map(|m| m.asked).sum();
        let in_time: u32 = span.iter().map(|m| m.in_time).sum();
        f64::from(in_time) / f64::from(asked.max(1))
    }

    /// Share refused at once in this span.
    pub fn refused(&self, from: f64, to: f64) -> f64 {
        let span =
            &self.moments[(from / MOMENT_MS) as usize..((to / MOMENT_MS) as usize).min(self.moments.len())];
        let asked: u32 = span.iter().map(|m| m.asked).sum();
        f64::from(span.iter().map(|m| m.refused).sum::<u32>()) / f64::from(asked.max(1))
    }

    /// Milliseconds from `end` until service is full again and stays so to the end of the day: half seconds each of which serves
    /// as much as `usual` of its scans, less what chance takes. None, if it never is.
    pub fn back_after(&self, end: f64, usual: f64) -> Option<f64> {
        const HALF: usize = 5;
        let first = (end / MOMENT_MS) as usize;
        let bad = |at: usize| {
            let span = &self.moments[at..(at + HALF).min(self.moments.len())];
            let asked: f64 = span.iter().map(|m| f64::from(m.asked)).sum();
            let in_time: f64 = span.iter().map(|m| f64::from(m.in_time)).sum();
            // Three deviations of that many scans, and a hundredth.
            let slack = 3.0 * (asked * usual * (1.0 - usual)).max(1.0).sqrt() + 0.01 * asked;
            in_time + slack < asked * usual
        };
        let last = self.moments.len().saturating_sub(HALF);
        let last_bad = (first..=last).rev().find(|at| bad(*at));
        match last_bad {
            None => Some(0.0),
            Some(at) if at >= last.saturating_sub(HALF) => None,
            Some(at) => Some((at + HALF) as f64 * MOMENT_MS - end),
        }
    }

    /// The day by half seconds, for people.
    pub fn told(&self) -> String {
        let mut text = String::from("     s asked in time refused sent/scan\n");
        for (nth, half) in self.moments.chunks(5).enumerate() {
            let sum = |of: fn(&Moment) -> u32| f64::from(half.iter().map(of).sum::<u32>());
            let asked = sum(|m| m.asked).max(1.0);
            text += &format!(
                "{:>6.1} {:>5.0} {:>6.1}% {:>6.1}% {:>9.2}\n",
                nth as f64 / 2.0,
                asked,
                100.0 * sum(|m| m.in_time) / asked,
                100.0 * sum(|m| m.refused) / asked,
                sum(|m| m.sent) / asked
            );
        }
        text
    }
}
