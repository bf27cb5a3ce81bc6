//! The rows that a mixer holds.

use std::collections::{BTreeMap, BTreeSet};

use pewterwharf_peers::Incarnation;

use crate::kinds::{self, Kind};
use crate::rows::{Entry, LONGEST_NAME, LONGEST_VALUE, RANGES, RecordBatch, RejectReason, Sum, Why, WireRow};

/// A deletion is kept for so long, where nothing else is said: well past the time in which rounds reach everybody who is up. Who was away for longer
/// takes all from the beginning.
pub const KEEP_DELETED_MS: f64 = 60_000.0;
/// What a row costs beside its name and value, in bytes: its places in two maps.
const ROW_COST: usize = 160;

/// How much is held at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Rows of one origin.
    pub rows: usize,
    /// Bytes of one origin's rows, with what their places cost.
    pub bytes: usize,
}

impl Limits {
    /// What all origins together may take is parted among them.
    pub fn per_origin(bytes: usize, origins: usize) -> Self {
        let bytes = bytes / origins.max(1);
        Self { rows: bytes / ROW_COST, bytes }
    }
}

/// What a row is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    kind: u8,
    name: String,
}

#[derive(Clone, Debug)]
struct Row {
    counter: u64,
    /// Absent where it is deleted.
    value: Option<Vec<u8>>,
    /// When its evidence was found, by this mixer's clock.
    at: f64,
    /// Since when it is held here.
    since: f64,
}

/// A sweep under way: how far, and what the sender had forgotten at its begin.
#[derive(Clone, Copy, Debug)]
struct Sweep {
    through: u64,
    floor: u64,
}

/// All that is held of one origin.
#[derive(Clone, Debug, Default)]
struct Held {
    start: Incarnation,
    through: u64,
    floor: u64,
    sweep: Option<Sweep>,
    rows: BTreeMap<Key, Row>,
    order: BTreeMap<u64, Key>,
    bytes: usize,
    digest: u64,
    deleted: usize,
}

/// What is held of one origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OriginState {
    pub incarnation: Incarnation,
    /// Highest counter up to which all of its records are held.
    pub version: u64,
    /// Records, not counting tombstones.
    pub records: usize,
}

/// What one origin reports about one subject.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report<'a, K> {
    pub origin: &'a str,
    pub value: K,
    /// Age of the evidence, in milliseconds.
    pub age_ms: f64,
}

/// The records that a peer lacks, limited to a byte budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Delta {
    pub batches: Vec<RecordBatch>,
    /// Counters that did not fit the budget; zero if the batches are complete.
    pub remaining: u64,
}

/// What has changed here by what another said.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    pub origin: String,
    pub kind: u8,
    pub name: String,
}

/// The rows that a mixer holds, its own among them.
#[derive(Clone, Debug)]
pub struct Replica {
    me: String,
    named: BTreeSet<String>,
    limits: Limits,
    forget_ms: f64,
    held: BTreeMap<String, Held>,
    refused: BTreeMap<RejectReason, u64>,
}

impl Held {
    fn cost(key: &Key, row: &Row) -> usize {
        key.name.len() + row.value.as_ref().map_or(0, Vec::len) + ROW_COST
    }

    fn sum(key: &Key, row: &Row) -> u64 {
        let Some(value) = &row.value else { return 0 };
        let sum = Sum::new().number(u64::from(key.kind)).bytes(key.name.as_bytes());
        sum.number(row.counter).bytes(value).end()
    }

    fn remove(&mut self, key: &Key) -> Option<Row> {
        let row = self.rows.remove(key)?;
        self.order.remove(&row.counter);
        self.bytes -= Self::cost(key, &row);
        self.digest ^= Self::sum(key, &row);
        self.deleted -= usize::from(row.value.is_none());
        Some(row)
    }

    fn insert(&mut self, key: Key, row: Row) {
        self.remove(&key);
        // Two rows under one counter can't be told apart by versions: the later word stands.
        if let Some(other) = self.order.get(&row.counter).cloned() {
            self.remove(&other);
        }
        self.bytes += Self::cost(&key, &row);
        self.digest ^= Self::sum(&key, &row);
        self.deleted += usize::from(row.value.is_none());
        self.order.insert(row.counter, key.clone());
        self.rows.insert(key, row);
    }

    fn fits(&self, key: &Key, row: &Row, limits: &Limits) -> bool {
        let old = self.rows.get(key).map_or(0, |old| Self::cost(key, old));
        let rows = self.rows.len() + usize::from(old == 0);
        rows <= limits.rows && self.bytes - old + Self::cost(key, row) <= limits.bytes
    }

    fn wire(&self, counter: u64, key: &Key, now: f64) -> Option<WireRow> {
        let row = self.rows.get(key)?;
        let age_ms = (now - row.at).clamp(0.0, f64::from(u32::MAX)) as u32;
        Some(WireRow { kind: key.kind, name: key.name.clone(), counter, age_ms, value: row.value.clone() })
    }

    /// Rows above `from` and up to `upto` until so many bytes are used; how far that is.
    fn gather(&self, from: u64, through: u64, now: f64, budget: &mut usize) -> (Vec<WireRow>, u64) {
        let mut rows = Vec::new();
        let mut end = from;
        if through <= from {
            return (rows, from);
        }
        for (counter, key) in self.order.range(from + 1..=through) {
            let Some(row) = self.wire(*counter, key, now) else { continue };
            let cost = row.name.len() + row.value.as_ref().map_or(0, Vec::len) + 24;
            if cost > *budget {
                return (rows, end);
            }
            *budget -= cost;
            end = *counter;
            rows.push(row);
        }
        (rows, through)
    }

    /// The bounds of a range of counters.
    fn range(&self, nth: u64) -> (u64, u64) {
        let at = |n: u64| (u128::from(self.through) * u128::from(n) / u128::from(RANGES)) as u64;
        (at(nth), at(nth + 1))
    }
}

impl Replica {
    /// Holds nothing yet. `named` are the mixers that the file names, this one among them or not.
    pub fn new(
        me: &str,
        start: Incarnation,
        named: impl IntoIterator<Item = String>,
        limits: Limits,
    ) -> Self {
        let mut named: BTreeSet<String> = named.into_iter().collect();
        named.insert(me.to_owned());
        let held = BTreeMap::from([(me.to_owned(), Held { start, ..Held::default() })]);
        Self { me: me.to_owned(), named, limits, forget_ms: KEEP_DELETED_MS, held, refused: BTreeMap::new() }
    }

    /// Keeps a deletion for so long, in milliseconds, before it is forgotten.
    pub fn forget_after(&mut self, ms: f64) {
        self.forget_ms = ms;
    }

    pub fn local_name(&self) -> &str {
        &self.me
    }

    /// Whether the file names this mixer.
    pub fn names(&self, name: &str) -> bool {
        self.named.contains(name)
    }

    /// Parts and rows that were not taken, by the reason.
    pub fn refused(&self) -> &BTreeMap<RejectReason, u64> {
        &self.refused
    }

    /// Rows and bytes held of all origins.
    pub fn size(&self) -> (usize, usize) {
        self.held.values().fold((0, 0), |(rows, bytes), h| (rows + h.rows.len(), bytes + h.bytes))
    }

    /// Rows that are not deletions, by kind.
    pub fn by_kind(&self) -> BTreeMap<u8, usize> {
        let mut counts = BTreeMap::new();
        for (key, row) in self.held.values().flat_map(|h| &h.rows) {
            *counts.entry(key.kind).or_default() += usize::from(row.value.is_some());
        }
        counts
    }

    /// Of an origin: start, version, rows that are not deletions.
    pub fn origin(&self, origin: &str) -> Option<OriginState> {
        self.held.get(origin).map(|h| OriginState {
            incarnation: h.start,
            version: h.through,
            records: h.rows.len() - h.deleted,
        })
    }

    fn own(&mut self) -> &mut Held {
        self.held.entry(self.me.clone()).or_default()
    }

    /// Says something of its own, with the time of its evidence. False where there is no room for it.
    pub fn publish<K: Kind>(&mut self, now: f64, name: &str, value: &K, at: f64) -> bool {
        let Ok(bytes) = postcard::to_allocvec(value) else { return false };
        self.write(now, Key { kind: K::CODE, name: name.to_owned() }, Some(bytes), at)
    }

    /// Takes back what it said.
    pub fn retract<K: Kind>(&mut self, now: f64, name: &str) {
        let key = Key { kind: K::CODE, name: name.to_owned() };
        if self.own().rows.get(&key).is_some_and(|row| row.value.is_some()) {
            self.write(now, key, None, now);
        }
    }

    fn write(&mut self, now: f64, key: Key, value: Option<Vec<u8>>, at: f64) -> bool {
        let limits = self.limits;
        let fits = key.name.len() <= LONGEST_NAME && value.as_ref().is_none_or(|v| v.len() <= LONGEST_VALUE);
        let held = self.own();
        let row = Row { counter: held.through.saturating_add(1), value, at, since: now };
        if !fits || !held.fits(&key, &row, &limits) {
            *self.refused.entry(RejectReason::Share).or_default() += 1;
            return false;
        }
        held.through = row.counter;
        held.insert(key, row);
        true
    }

    /// This mixer has a new start: all that it says is said anew under it.
    pub fn renew(&mut self, start: Incarnation) {
        let held = self.own();
        let rows: Vec<(Key, Row)> =
            held.order.values().filter_map(|key| Some((key.clone(), held.rows.get(key)?.clone()))).collect();
        *held = Held { start, ..Held::default() };
        for (key, row) in rows.into_iter().filter(|(_, row)| row.value.is_some()) {
            held.through += 1;
            let counter = held.through;
            held.insert(key, Row { counter, ..row });
        }
    }

    /// A later start of an origin is heard of: what the earlier one said is void.
    pub fn started(&mut self, origin: &str, start: Incarnation) {
        if origin != self.me
            && self.named.contains(origin)
            && self.held.get(origin).is_none_or(|held| held.start < start)
        {
            self.held.insert(origin.to_owned(), Held { start, ..Held::default() });
        }
    }

    /// What is held, by origin.
    pub fn version_vector(&self) -> Vec<Entry> {
        let entry = |(origin, h): (&String, &Held)| Entry {
            origin: origin.clone(),
            start: h.start,
            through: h.through,
            sweep: h.sweep.map(|s| s.through),
            digest: h.digest,
        };
        self.held.iter().map(entry).collect()
    }

    /// One number for all that is held: two mixers with the same hold the same.
    pub fn sum(&self) -> u64 {
        self.held.iter().filter(|(_, h)| h.through > 0).fold(0, |sum, (origin, h)| {
            let one = Sum::new().bytes(origin.as_bytes()).number(h.start.number).number(h.start.lot);
            sum ^ one.number(h.through).number(h.digest).number(u64::from(h.sweep.is_some())).end()
        })
    }

    /// Whether another holds something that this mixer does not.
    pub fn lacks(&self, theirs: &[Entry]) -> bool {
        theirs.iter().any(|t| {
            let ours = self.held.get(&t.origin).map(|h| (h.start, h.through));
            t.origin != self.me
                && t.through > 0
                && self.named.contains(&t.origin)
                && ours < Some((t.start, t.through))
        })
    }

    /// Rows that another holds and this mixer does not, by versions: how far it is behind, at the most.
    pub fn behind(&self, theirs: &[Entry]) -> u64 {
        let behind = |t: &Entry| match self.held.get(&t.origin) {
            _ if t.origin == self.me => 0,
            Some(h) if h.start == t.start => t.through.saturating_sub(h.through),
            Some(h) if h.start > t.start => 0,
            _ => t.through,
        };
        theirs.iter().map(behind).fold(0, u64::saturating_add)
    }

    /// What this mixer holds and another does not, in pieces of so many bytes; how many counters are left, none if that was all.
    pub fn delta(&self, now: f64, theirs: &[Entry], budget: usize) -> Delta {
        let theirs: BTreeMap<&str, &Entry> = theirs.iter().map(|e| (e.origin.as_str(), e)).collect();
        let (mut parts, mut budget, mut left) = (Vec::new(), budget, 0_u64);
        for (origin, held) in self.held.iter().filter(|(_, h)| h.through > 0) {
            let entry = theirs.get(origin.as_str()).copied().filter(|e| e.start >= held.start);
            let (from, sweep) = match entry {
                Some(e) if e.start > held.start => continue,
                Some(Entry { sweep: Some(pos), .. }) => (*pos, true),
                Some(e) if e.through < held.floor => (0, true),
                Some(e) if e.through >= held.through => continue,
                Some(e) => (e.through, false),
                None => (0, false),
            };
            let (rows, through) = held.gather(from, held.through, now, &mut budget);
            let last = through >= held.through;
            left = left.saturating_add(held.through.saturating_sub(through));
            if rows.is_empty() && !last {
                continue; // the next piece begins with it
            }
            let why = if sweep { Why::Sweep { last } } else { Why::Delta };
            parts.push(RecordBatch {
                origin: origin.clone(),
                start: held.start,
                from,
                through,
                floor: held.floor,
                why,
                rows,
            });
        }
        Delta { batches: parts, remaining: left }
    }

    /// What this mixer has said since a version of its own.
    pub fn own_records_since(&self, now: f64, from: u64, budget: usize) -> Option<RecordBatch> {
        let held = self.held.get(&self.me).filter(|h| h.through > from)?;
        let mut left = budget;
        let (rows, through) = held.gather(from, held.through, now, &mut left);
        let (origin, floor, why) = (self.me.clone(), held.floor, Why::Delta);
        (!rows.is_empty()).then_some(RecordBatch {
            origin,
            start: held.start,
            from,
            through,
            floor,
            why,
            rows,
        })
    }

    /// Origins of which another holds the same version, and other rows.
    pub fn unlike(&self, theirs: &[Entry]) -> Vec<String> {
        let unlike = |t: &&Entry| {
            self.held.get(&t.origin).is_some_and(|h| {
                (h.start, h.through) == (t.start, t.through)
                    && h.sweep.is_none()
                    && t.sweep.is_none()
                    && h.digest != t.digest
            })
        };
        theirs.iter().filter(unlike).map(|t| t.origin.clone()).collect()
    }

    /// Digests of the ranges of an origin's counters, with its start and version.
    pub fn ranges(&self, origin: &str) -> Option<(Incarnation, u64, Vec<u64>)> {
        let held = self.held.get(origin)?;
        let digest = |nth| {
            let (from, through) = held.range(nth);
            let rows = held.order.range(from + 1..=through.max(from + 1)).filter(|(c, _)| **c <= through);
            rows.filter_map(|(_, key)| held.rows.get(key).map(|row| Held::sum(key, row)))
                .fold(0, |a, b| a ^ b)
        };
        Some((held.start, held.through, (0..RANGES).map(digest).collect()))
    }

    /// The ranges of an origin in which another's digests differ, where it has the same version.
    pub fn mend(
        &self,
        now: f64,
        origin: &str,
        start: Incarnation,
        through: u64,
        theirs: &[u64],
        budget: usize,
    ) -> Vec<RecordBatch> {
        let Some((_, _, ours)) = self.ranges(origin) else { return Vec::new() };
        let Some(held) = self.held.get(origin).filter(|h| (h.start, h.through) == (start, through)) else {
            return Vec::new();
        };
        let mut left = budget;
        let unlike = ours.iter().zip(theirs).zip(0..).filter(|((a, b), _)| a != b).map(|(_, nth)| nth);
        let mut parts = Vec::new();
        for nth in unlike {
            let (from, through) = held.range(nth);
            let (rows, end) = held.gather(from, through, now, &mut left);
            if end > from {
                let (origin, floor, why) = (origin.to_owned(), held.floor, Why::Repair);
                parts.push(RecordBatch { origin, start, from, through: end, floor, why, rows });
            }
        }
        parts
    }

    /// Takes what another sends. `old_ms` is by how much it may be older than it says, as it waited to be read.
    ///
    /// # Errors
    /// Why it was not taken; it is counted.
    pub fn apply(
        &mut self,
        now: f64,
        old_ms: f64,
        by: &str,
        part: &RecordBatch,
    ) -> Result<Vec<News>, RejectReason> {
        let taken = self.try_apply(now, old_ms, by, part);
        if let Err(why) = taken {
            *self.refused.entry(why).or_default() += 1;
        }
        taken
    }

    fn try_apply(
        &mut self,
        now: f64,
        old_ms: f64,
        by: &str,
        part: &RecordBatch,
    ) -> Result<Vec<News>, RejectReason> {
        if !self.named.contains(&part.origin) {
            return Err(RejectReason::Unnamed);
        }
        if part.origin == self.me {
            return Err(RejectReason::OwnOrigin);
        }
        let ordered = part.rows.windows(2).all(|w| w[0].counter < w[1].counter);
        let within = part.rows.iter().all(|r| r.counter > part.from && r.counter <= part.through);
        if !ordered || !within || part.through < part.from || !part.rows.iter().all(fit) {
            return Err(RejectReason::Unfit);
        }
        let limits = self.limits;
        match self.held.get(&part.origin).map(|h| h.start) {
            Some(start) if start > part.start => return Err(RejectReason::Old),
            Some(start) if start == part.start => {}
            _ if part.from > 0 || part.why == Why::Repair => return Err(RejectReason::Gap),
            _ => {
                self.held.insert(part.origin.clone(), Held { start: part.start, ..Held::default() });
            }
        }
        let held = self.held.entry(part.origin.clone()).or_default();
        let row = |wire: &WireRow| Row {
            counter: wire.counter,
            value: wire.value.clone(),
            at: now - old_ms - f64::from(wire.age_ms),
            since: now,
        };
        let mut news = Vec::new();
        // Whatever of the interval is not in the part is not there any more; with a repair only its origin may say so.
        let clears = match part.why {
            Why::Delta => {
                if part.from > held.through {
                    return Err(RejectReason::Gap);
                }
                false
            }
            Why::Sweep { .. } => {
                let begins = part.from == 0;
                if begins {
                    held.sweep = Some(Sweep { through: 0, floor: part.floor });
                }
                if held.sweep.is_none_or(|s| s.through != part.from) {
                    return Err(RejectReason::Gap);
                }
                true
            }
            Why::Repair => by == part.origin,
        };
        if clears {
            let kept: BTreeSet<u64> = part.rows.iter().map(|r| r.counter).collect();
            let range =
                held.order.range(part.from.saturating_add(1)..=part.through.max(part.from.saturating_add(1)));
            let gone: Vec<Key> = range
                .filter(|(c, _)| **c <= part.through && !kept.contains(c))
                .map(|(_, key)| key.clone())
                .collect();
            for key in gone {
                held.remove(&key);
                news.push(News { origin: part.origin.clone(), kind: key.kind, name: key.name });
            }
        }
        let mut over = false;
        for wire in &part.rows {
            let key = Key { kind: wire.kind, name: wire.name.clone() };
            let row = row(wire);
            match held.rows.get_mut(&key) {
                Some(old) if old.counter > row.counter => continue,
                Some(old) if old.counter == row.counter && old.value == row.value => {
                    // The same word by another way: the older evidence is the safe side.
                    old.at = old.at.min(row.at);
                    continue;
                }
                // Two contents under one counter: a fault of their origin. One wins everywhere, whoever came first.
                Some(old) if old.counter == row.counter && old.value > row.value && by != part.origin => {
                    continue;
                }
                // What is not held and lies under the version was deleted, or is missing: a repair or a sweep tells.
                None if row.counter <= held.through && part.why == Why::Delta => continue,
                None if row.counter <= held.floor && part.why == Why::Repair && by != part.origin => continue,
                _ => {}
            }
            if !held.fits(&key, &row, &limits) {
                over = true;
                break;
            }
            news.push(News { origin: part.origin.clone(), kind: wire.kind, name: wire.name.clone() });
            held.insert(key, row);
        }
        if over {
            // The version stays: what has no room is not said to be held.
            return Err(RejectReason::Share);
        }
        match part.why {
            Why::Delta => held.through = held.through.max(part.through),
            Why::Sweep { last: false } => {
                held.sweep.iter_mut().for_each(|s| s.through = part.through);
            }
            Why::Sweep { last: true } => {
                if let Some(sweep) = held.sweep.take() {
                    // What was forgotten while it went on may have been missed: the version then stays under that.
                    let sure = if part.floor > sweep.floor { sweep.floor } else { part.through };
                    held.through = held.through.max(sure);
                    held.floor = held.floor.max(sweep.floor);
                }
            }
            Why::Repair => {}
        }
        Ok(news)
    }

    /// Forgets deletions that everybody had time to hear of.
    pub fn tick(&mut self, now: f64) {
        let forget_ms = self.forget_ms;
        for held in self.held.values_mut().filter(|h| h.deleted > 0 && h.sweep.is_none()) {
            let old = |row: &Row| row.value.is_none() && now - row.since > forget_ms;
            let gone: Vec<Key> =
                held.rows.iter().filter(|(_, r)| old(r)).map(|(key, _)| key.clone()).collect();
            for key in gone {
                if let Some(row) = held.remove(&key) {
                    held.floor = held.floor.max(row.counter);
                }
            }
        }
    }

    /// What each origin says of something, with the age of its evidence in milliseconds, as far as it can be read.
    pub fn reports<K: Kind>(&self, now: f64, name: &str) -> Vec<Report<'_, K>> {
        let key = Key { kind: K::CODE, name: name.to_owned() };
        let mut reports = Vec::new();
        for (origin, held) in &self.held {
            let Some(row) = held.rows.get(&key) else { continue };
            let Some(value) = row.value.as_ref().and_then(|bytes| kinds::read::<K>(bytes)) else { continue };
            let age_ms = (now - row.at).max(0.0);
            reports.push(Report { origin, value, age_ms });
        }
        reports
    }

    /// What all origins say of something, joined.
    pub fn joined<K: Kind>(&self, now: f64, name: &str) -> Option<K> {
        let fresh = self.reports::<K>(now, name).into_iter().filter(|report| report.age_ms <= K::FRESH_MS);
        fresh.map(|report| report.value).reduce(K::join)
    }

    /// All rows that are not deletions, for those who compare or print: origin, kind, name, counter, value.
    pub fn rows(&self) -> impl Iterator<Item = (&str, u8, &str, u64, &[u8])> {
        self.held.iter().flat_map(|(origin, held)| {
            held.rows.iter().filter_map(move |(key, row)| {
                Some((origin.as_str(), key.kind, key.name.as_str(), row.counter, row.value.as_deref()?))
            })
        })
    }
}

/// Whether a row keeps to the limits, and a kind that is known to what it may say.
fn fit(row: &WireRow) -> bool {
    let value = row.value.as_deref();
    row.name.len() <= LONGEST_NAME
        && value.is_none_or(|v| v.len() <= LONGEST_VALUE && kinds::fits(row.kind, v))
}
