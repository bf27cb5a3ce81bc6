//! Who is told what, and when.
//!
//! New rows of this mixer's own go to all at once, or to some of a large fleet. In rounds one that is up, by lot, is told a
//! sum of all that is held; only where it differs versions follow, then what is lacking in pieces, then digests of ranges
//! where versions agree and rows do not. Whatever is lost, cut or comes in another order is made up for by a later round.

use std::collections::{BTreeMap, BTreeSet};

use oorandom::Rand64;
use pewterwharf_peers::Incarnation;
use serde::{Deserialize, Serialize};

use crate::rows::{Entry, RecordBatch, RejectReason};
use crate::store::{Delta, News, Replica};

/// A word between two mixers about copies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// All that is held, as one number.
    Sum(u64),
    /// All that is held, by origin; `ask` wants what is lacking.
    Vector { entries: Vec<Entry>, ask: bool },
    /// Some of what the other lacks, and how many counters are left to send; none, if it is all.
    Parts { parts: Vec<RecordBatch>, left: u64 },
    /// Digests of an origin's ranges, where versions agree and rows do not.
    Ranges { origin: String, start: Incarnation, through: u64, digests: Vec<u64> },
    /// Who was asked is catching up itself, and gives nothing out.
    CatchingUp,
}

impl Word {
    /// The mixers that it speaks of, with their starts and how far their words went.
    pub fn origins(&self) -> Vec<(&str, Incarnation, u64)> {
        match self {
            Self::Vector { entries, .. } => {
                entries.iter().map(|e| (e.origin.as_str(), e.start, e.through)).collect()
            }
            Self::Parts { parts, .. } => {
                parts.iter().map(|p| (p.origin.as_str(), p.start, p.through)).collect()
            }
            Self::Ranges { origin, start, through, .. } => vec![(origin, *start, *through)],
            Self::Sum(_) | Self::CatchingUp => Vec::new(),
        }
    }
}

/// A round is this long; of more than [`ROUND_OF`] mixers longer, as each is told in about the same time.
const ROUND_MS: f64 = 200.0;
/// Bytes of rows in one word.
const PIECE: usize = 12 * 1024;
/// New rows go at once to all of so many, and to so many by lot of more.
const AT_ONCE: usize = 32;
/// What one peer is given in a second, in bytes, and at once: a restarted mixer must not hold up the others' words.
const GIVE_PER_S: f64 = 512.0 * 1024.0;
const GIVE_AT_ONCE: f64 = 64.0 * 1024.0;
/// One that was asked and says nothing for so long is given up, and another is asked.
const SILENT_MS: f64 = 500.0;
/// Gaps that a peer's parts show are asked for at most this often.
const ASK_AGAIN_MS: f64 = 50.0;

/// How far this mixer is in taking what others hold.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// Nobody was there to ask since the start.
    Alone,
    /// *Catching up*: from whom, pieces and rows taken, and how many counters its source has left.
    CatchingUp {
        from: Option<String>,
        pieces: u64,
        rows: u64,
        behind: u64,
    },
    Done,
}

#[derive(Debug)]
struct Catching {
    asked: Option<(String, f64)>,
    pieces: u64,
    rows: u64,
    behind: u64,
    /// Those that say that they catch up themselves.
    fellows: BTreeSet<String>,
}

/// A peer, as far as it is given something.
#[derive(Debug)]
struct Given {
    left: f64,
    at: f64,
    asked_at: f64,
}

/// What this mixer tells and asks.
#[derive(Debug)]
pub struct Exchange {
    pub replica: Replica,
    up: BTreeMap<String, Incarnation>,
    chance: Rand64,
    round_at: f64,
    /// The version of its own that was told at once.
    told: u64,
    given: BTreeMap<String, Given>,
    catching: Option<Catching>,
    began: bool,
}

impl Exchange {
    pub fn new(replica: Replica, seed: u64) -> Self {
        Self {
            replica,
            up: BTreeMap::new(),
            chance: Rand64::new(u128::from(seed) ^ 0xe2c4_a93e),
            round_at: 0.0,
            told: 0,
            given: BTreeMap::new(),
            catching: None,
            began: false,
        }
    }

    /// A peer is up, or not any more.
    pub fn peer(&mut self, name: &str, start: Option<Incarnation>) {
        match start {
            Some(start) => {
                self.up.insert(name.to_owned(), start);
                self.replica.started(name, start);
                if !self.began {
                    self.began = true;
                    self.catching = Some(Catching {
                        asked: None,
                        pieces: 0,
                        rows: 0,
                        behind: 0,
                        fellows: BTreeSet::new(),
                    });
                }
            }
            None => {
                self.up.remove(name);
                self.given.remove(name);
                if let Some(catching) = &mut self.catching {
                    catching.fellows.remove(name);
                    // Its source has died: another is asked at the next look.
                    catching.asked.take_if(|asked| asked.0 == name);
                }
            }
        }
    }

    /// A later start of a mixer is known.
    pub fn started(&mut self, name: &str, start: Incarnation) {
        self.replica.started(name, start);
        self.up.get_mut(name).into_iter().for_each(|held| *held = start);
        // It knows nothing yet, whatever its earlier start did.
        self.given.remove(name);
    }

    /// This mixer has a new start.
    pub fn renewed(&mut self, start: Incarnation) {
        self.replica.renew(start);
        self.told = 0;
    }

    pub fn progress(&self) -> Progress {
        match &self.catching {
            Some(c) => Progress::CatchingUp {
                from: c.asked.as_ref().map(|a| a.0.clone()),
                pieces: c.pieces,
                rows: c.rows,
                behind: c.behind,
            },
            None if self.began => Progress::Done,
            None => Progress::Alone,
        }
    }

    /// When it wants to be looked at, beside after new rows.
    pub fn due(&self) -> f64 {
        self.round_at
    }

    fn lot(&mut self, among: &[String]) -> Option<String> {
        if among.is_empty() {
            return None;
        }
        let nth = self.chance.rand_range(0..among.len() as u64) as usize;
        among.get(nth).cloned()
    }

    /// Lets time go on: words and to whom they go.
    pub fn tick(&mut self, now: f64) -> Vec<(String, Word)> {
        let mut words = Vec::new();
        self.tell(now, &mut words);
        if now < self.round_at {
            return words;
        }
        let spread = 0.75 + 0.5 * self.chance.rand_float();
        self.round_at = now + ROUND_MS * spread;
        self.replica.tick(now);
        let up: Vec<String> = self.up.keys().cloned().collect();
        if let Some(catching) = &mut self.catching {
            catching.asked.take_if(|asked| now - asked.1 > SILENT_MS);
            if catching.asked.is_none() {
                let others: Vec<String> =
                    up.iter().filter(|name| !catching.fellows.contains(*name)).cloned().collect();
                if others.is_empty() && !up.is_empty() {
                    // All that are there came back together: nobody has more than what each says anew.
                    self.catching = None;
                } else if let Some(source) = self.lot(&others) {
                    self.catching.iter_mut().for_each(|c| c.asked = Some((source.clone(), now)));
                    words.push((source, Word::Vector { entries: self.replica.version_vector(), ask: true }));
                }
            }
        }
        if self.catching.is_none()
            && let Some(one) = self.lot(&up)
        {
            words.push((one, Word::Sum(self.replica.sum())));
        }
        words
    }

    /// New rows of its own, to all at once.
    fn tell(&mut self, now: f64, words: &mut Vec<(String, Word)>) {
        let Some(part) = self.replica.own_records_since(now, self.told, PIECE) else { return };
        self.told = part.through;
        let mut to: Vec<String> = self.up.keys().cloned().collect();
        while to.len() > AT_ONCE {
            let nth = self.chance.rand_range(0..to.len() as u64) as usize;
            to.swap_remove(nth);
        }
        for name in to {
            words.push((name, Word::Parts { parts: vec![part.clone()], left: 0 }));
        }
    }

    /// Bytes that a peer may be given now.
    fn allowance(&mut self, name: &str, now: f64) -> usize {
        let given = self.given.entry(name.to_owned()).or_insert(Given {
            left: GIVE_AT_ONCE,
            at: now,
            asked_at: -1e9,
        });
        given.left = (given.left + (now - given.at).max(0.0) * GIVE_PER_S / 1000.0).min(GIVE_AT_ONCE);
        given.at = now;
        (given.left as usize).min(PIECE)
    }

    /// Takes a word of a peer; `old_ms` is by how much it may be older than it says.
    pub fn heard(
        &mut self,
        now: f64,
        old_ms: f64,
        from: &str,
        word: Word,
    ) -> (Vec<News>, Vec<(String, Word)>) {
        let mut words = Vec::new();
        let mut news = Vec::new();
        let mut answer = |word: Word| words.push((from.to_owned(), word));
        match word {
            Word::Sum(_) if self.catching.is_some() => {}
            Word::Sum(sum) => {
                if sum != self.replica.sum() {
                    answer(Word::Vector { entries: self.replica.version_vector(), ask: true });
                }
            }
            Word::Vector { ask, .. } if self.catching.is_some() => {
                if ask {
                    answer(Word::CatchingUp);
                }
            }
            Word::Vector { entries, ask } => {
                let budget = self.allowance(from, now);
                let Delta { batches: parts, remaining: left } = self.replica.delta(now, &entries, budget);
                let spent: usize = parts.iter().flat_map(|p| &p.rows).map(|r| r.name.len() + 48).sum();
                self.given.get_mut(from).into_iter().for_each(|g| g.left -= spent as f64);
                let lacks = self.replica.lacks(&entries);
                let unlike = self.replica.unlike(&entries);
                if ask || !parts.is_empty() {
                    words.push((from.to_owned(), Word::Parts { parts, left }));
                }
                if lacks && ask {
                    words.push((
                        from.to_owned(),
                        Word::Vector { entries: self.replica.version_vector(), ask: false },
                    ));
                }
                for origin in unlike {
                    if let Some((start, through, digests)) = self.replica.ranges(&origin) {
                        words.push((from.to_owned(), Word::Ranges { origin, start, through, digests }));
                    }
                }
            }
            Word::Ranges { origin, start, through, digests } => {
                if self.catching.is_none() {
                    let budget = self.allowance(from, now);
                    let parts = self.replica.mend(now, &origin, start, through, &digests, budget);
                    if !parts.is_empty() {
                        words.push((from.to_owned(), Word::Parts { parts, left: 0 }));
                    }
                }
            }
            Word::CatchingUp => {
                if let Some(catching) = &mut self.catching {
                    catching.fellows.insert(from.to_owned());
                    catching.asked.take_if(|asked| asked.0 == from);
                    self.round_at = now;
                }
            }
            Word::Parts { parts, left } => {
                let mut gap = false;
                let rows: usize = parts.iter().map(|p| p.rows.len()).sum();
                for part in &parts {
                    match self.replica.apply(now, old_ms, from, part) {
                        Ok(more) => news.extend(more),
                        Err(RejectReason::Gap) => gap = true,
                        Err(_) => {}
                    }
                }
                let mut ask = gap || left > 0;
                if let Some(catching) = &mut self.catching
                    && catching.asked.as_ref().is_some_and(|asked| asked.0 == from)
                {
                    catching.pieces += 1;
                    catching.rows += rows as u64;
                    catching.behind = left;
                    catching.asked = Some((from.to_owned(), now));
                    if left == 0 && !gap {
                        self.catching = None;
                    }
                } else if ask {
                    let asked_at = self.given.get(from).map_or(-1e9, |g| g.asked_at);
                    ask = now - asked_at >= ASK_AGAIN_MS;
                }
                if ask {
                    self.allowance(from, now);
                    self.given.get_mut(from).into_iter().for_each(|g| g.asked_at = now);
                    words.push((
                        from.to_owned(),
                        Word::Vector { entries: self.replica.version_vector(), ask: true },
                    ));
                }
            }
        }
        (news, words)
    }
}
