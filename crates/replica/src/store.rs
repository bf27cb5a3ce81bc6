//! The records that a mixer holds, its own and those of its peers.

use std::collections::{BTreeMap, BTreeSet};

use pewterwharf_peers::Incarnation;

use crate::kinds::{self, RecordKind};
use crate::record::{
    BatchKind, DIGEST_RANGES, DigestHasher, MAX_NAME_BYTES, MAX_VALUE_BYTES, OriginVersion, RecordBatch,
    RejectReason, WireRecord,
};

/// Default lifetime of a tombstone: well above the time in which gossip reaches every mixer that is up. A mixer
/// that was unreachable for longer gets a full sync.
pub const TOMBSTONE_TTL_MS: f64 = 60_000.0;
/// Memory that a record takes besides its name and value: its entries in two maps.
const RECORD_OVERHEAD_BYTES: usize = 160;
/// Bytes of a record on the wire besides its name and value.
const WIRE_OVERHEAD_BYTES: usize = 24;

/// Upper bounds on what is held of one origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub records: usize,
    /// Bytes of all records, including `RECORD_OVERHEAD_BYTES` for each.
    pub bytes: usize,
}

impl Limits {
    /// Divides a budget for all origins equally among them.
    pub fn per_origin(total_bytes: usize, origins: usize) -> Self {
        let bytes = total_bytes / origins.max(1);
        Self { records: bytes / RECORD_OVERHEAD_BYTES, bytes }
    }
}

/// Identifies the subject of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RecordKey {
    kind: u8,
    name: String,
}

#[derive(Clone, Debug)]
struct Record {
    counter: u64,
    /// `None` for a tombstone.
    value: Option<Vec<u8>>,
    /// When the evidence was found, by this mixer's clock.
    evidence_at_ms: f64,
    /// When this mixer received or wrote the record.
    received_at_ms: f64,
}

/// A full sync in progress.
#[derive(Clone, Copy, Debug)]
struct FullSync {
    through: u64,
    /// The sender's tombstone floor when the sync began.
    tombstone_floor: u64,
}

/// All that is held of one origin.
#[derive(Clone, Debug, Default)]
struct OriginRecords {
    incarnation: Incarnation,
    version: u64,
    tombstone_floor: u64,
    full_sync: Option<FullSync>,
    records: BTreeMap<RecordKey, Record>,
    by_counter: BTreeMap<u64, RecordKey>,
    bytes: usize,
    digest: u64,
    tombstones: usize,
}

/// Records with a counter up to and including `through`.
struct CollectedRecords {
    records: Vec<WireRecord>,
    through: u64,
}

/// The counters above `after` and up to `through`.
struct CounterRange {
    after: u64,
    through: u64,
}

/// A record of a peer that was added, replaced or removed.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordChange {
    pub origin: String,
    pub kind: u8,
    pub name: String,
}

/// Summary of what is held of one origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OriginState {
    pub incarnation: Incarnation,
    /// All records up to this counter are held.
    pub version: u64,
    /// Number of records, not counting tombstones.
    pub records: usize,
}

/// What one origin reports about one subject.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report<'a, K> {
    pub origin: &'a str,
    pub value: K,
    /// Age of the evidence.
    pub age_ms: f64,
}

/// The records that a peer lacks, limited to a byte budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Delta {
    pub batches: Vec<RecordBatch>,
    /// Number of counters that did not fit the budget; zero if the batches are complete.
    pub remaining: u64,
}

/// Digests of the counter ranges of one origin at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeDigests {
    pub incarnation: Incarnation,
    pub version: u64,
    pub digests: Vec<u64>,
}

/// Number and size of all held records, tombstones included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaSize {
    pub records: usize,
    pub bytes: usize,
}

/// A held record that is not a tombstone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordView<'a> {
    pub origin: &'a str,
    pub kind: u8,
    pub name: &'a str,
    pub counter: u64,
    pub value: &'a [u8],
}

/// The records that a mixer holds, including its own.
#[derive(Clone, Debug)]
pub struct Replica {
    local_name: String,
    configured: BTreeSet<String>,
    limits: Limits,
    tombstone_ttl_ms: f64,
    origins: BTreeMap<String, OriginRecords>,
    rejected: BTreeMap<RejectReason, u64>,
}

impl OriginRecords {
    fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, ..Self::default() }
    }

    fn cost(key: &RecordKey, record: &Record) -> usize {
        key.name.len() + record.value.as_ref().map_or(0, Vec::len) + RECORD_OVERHEAD_BYTES
    }

    fn record_digest(key: &RecordKey, record: &Record) -> u64 {
        let Some(value) = &record.value else { return 0 };
        let hasher = DigestHasher::new().number(u64::from(key.kind)).bytes(key.name.as_bytes());
        hasher.number(record.counter).bytes(value).finish()
    }

    fn remove(&mut self, key: &RecordKey) -> Option<Record> {
        let record = self.records.remove(key)?;
        self.by_counter.remove(&record.counter);
        self.bytes -= Self::cost(key, &record);
        self.digest ^= Self::record_digest(key, &record);
        self.tombstones -= usize::from(record.value.is_none());
        Some(record)
    }

    fn insert(&mut self, key: RecordKey, record: Record) {
        self.remove(&key);
        // Versions can't distinguish two records with the same counter, so the one that arrives later replaces
        // the other.
        if let Some(other) = self.by_counter.get(&record.counter).cloned() {
            self.remove(&other);
        }
        self.bytes += Self::cost(&key, &record);
        self.digest ^= Self::record_digest(&key, &record);
        self.tombstones += usize::from(record.value.is_none());
        self.by_counter.insert(record.counter, key.clone());
        self.records.insert(key, record);
    }

    fn has_room_for(&self, key: &RecordKey, record: &Record, limits: &Limits) -> bool {
        let old_cost = self.records.get(key).map_or(0, |old| Self::cost(key, old));
        let records = self.records.len() + usize::from(old_cost == 0);
        records <= limits.records && self.bytes - old_cost + Self::cost(key, record) <= limits.bytes
    }

    fn wire_record(&self, counter: u64, key: &RecordKey, now_ms: f64) -> Option<WireRecord> {
        let record = self.records.get(key)?;
        let age_ms = (now_ms - record.evidence_at_ms).clamp(0.0, f64::from(u32::MAX)) as u32;
        Some(WireRecord {
            kind: key.kind,
            name: key.name.clone(),
            counter,
            age_ms,
            value: record.value.clone(),
        })
    }

    /// Collects the records above `after` and up to `through` until the byte budget is used up.
    fn collect(&self, after: u64, through: u64, now_ms: f64, budget: &mut usize) -> CollectedRecords {
        let mut records = Vec::new();
        let mut collected_through = after;
        if through <= after {
            return CollectedRecords { records, through: after };
        }
        for (counter, key) in self.by_counter.range(after + 1..=through) {
            let Some(record) = self.wire_record(*counter, key, now_ms) else { continue };
            let cost = record.name.len() + record.value.as_ref().map_or(0, Vec::len) + WIRE_OVERHEAD_BYTES;
            if cost > *budget {
                return CollectedRecords { records, through: collected_through };
            }
            *budget -= cost;
            collected_through = *counter;
            records.push(record);
        }
        CollectedRecords { records, through }
    }

    fn digest_range(&self, index: u64) -> CounterRange {
        let bound = |i: u64| (u128::from(self.version) * u128::from(i) / u128::from(DIGEST_RANGES)) as u64;
        CounterRange { after: bound(index), through: bound(index + 1) }
    }

    /// Starts or continues a full sync. Fails if pieces are missing before this batch.
    fn continue_full_sync(&mut self, batch: &RecordBatch) -> Result<(), RejectReason> {
        let begins = batch.after == 0;
        if begins {
            self.full_sync = Some(FullSync { through: 0, tombstone_floor: batch.tombstone_floor });
        }
        if self.full_sync.is_none_or(|sync| sync.through != batch.after) {
            return Err(RejectReason::Gap);
        }
        Ok(())
    }

    /// Removes the records in the interval of the batch that the batch does not contain.
    fn remove_missing_from(&mut self, batch: &RecordBatch) -> Vec<RecordKey> {
        let kept: BTreeSet<u64> = batch.records.iter().map(|r| r.counter).collect();
        let first = batch.after.saturating_add(1);
        let interval = self.by_counter.range(first..=batch.through.max(first));
        let missing: Vec<RecordKey> = interval
            .filter(|(counter, _)| **counter <= batch.through && !kept.contains(counter))
            .map(|(_, key)| key.clone())
            .collect();
        for key in &missing {
            self.remove(key);
        }
        missing
    }

    /// Whether a received record has to be stored. Refreshes the age of a record that is held already.
    fn accepts(&mut self, key: &RecordKey, record: &Record, batch: &RecordBatch, sender: &str) -> bool {
        let sent_by_origin = sender == batch.origin;
        match self.records.get_mut(key) {
            Some(held) if held.counter > record.counter => false,
            Some(held) if held.counter == record.counter && held.value == record.value => {
                // The same record over another path: the older age is the conservative choice.
                held.evidence_at_ms = held.evidence_at_ms.min(record.evidence_at_ms);
                false
            }
            // Two values under one counter are a fault of the origin. The greater value wins, so that all mixers
            // hold the same one in whatever order they arrive.
            Some(held) if held.counter == record.counter && held.value > record.value && !sent_by_origin => {
                false
            }
            // A record below the version that is not held was deleted or lost. A delta can't show which; a
            // repair or a full sync can.
            None if record.counter <= self.version && batch.kind == BatchKind::Delta => false,
            None if record.counter <= self.tombstone_floor
                && batch.kind == BatchKind::Repair
                && !sent_by_origin =>
            {
                false
            }
            _ => true,
        }
    }

    /// Advances the version after all records of a batch were taken.
    fn finish_batch(&mut self, batch: &RecordBatch) {
        match batch.kind {
            BatchKind::Delta => self.version = self.version.max(batch.through),
            BatchKind::FullSync { last: false } => {
                if let Some(sync) = &mut self.full_sync {
                    sync.through = batch.through;
                }
            }
            BatchKind::FullSync { last: true } => {
                if let Some(sync) = self.full_sync.take() {
                    // Deletions whose tombstones the sender discarded during the sync may have been missed. The
                    // version then stays below them, so that another full sync follows.
                    let complete_through = if batch.tombstone_floor > sync.tombstone_floor {
                        sync.tombstone_floor
                    } else {
                        batch.through
                    };
                    self.version = self.version.max(complete_through);
                    self.tombstone_floor = self.tombstone_floor.max(sync.tombstone_floor);
                }
            }
            BatchKind::Repair => {}
        }
    }
}

impl Replica {
    /// Creates a replica without records. `configured` are the mixers of the settings file, which may include this
    /// one.
    pub fn new(
        local_name: &str,
        incarnation: Incarnation,
        configured: impl IntoIterator<Item = String>,
        limits: Limits,
    ) -> Self {
        let mut configured: BTreeSet<String> = configured.into_iter().collect();
        configured.insert(local_name.to_owned());
        let origins = BTreeMap::from([(local_name.to_owned(), OriginRecords::new(incarnation))]);
        Self {
            local_name: local_name.to_owned(),
            configured,
            limits,
            tombstone_ttl_ms: TOMBSTONE_TTL_MS,
            origins,
            rejected: BTreeMap::new(),
        }
    }

    pub fn set_tombstone_ttl(&mut self, ttl_ms: f64) {
        self.tombstone_ttl_ms = ttl_ms;
    }

    pub fn local_name(&self) -> &str {
        &self.local_name
    }

    /// Whether the settings file names this mixer.
    pub fn is_configured(&self, name: &str) -> bool {
        self.configured.contains(name)
    }

    /// Number of rejected batches and records by reason.
    pub fn rejected(&self) -> &BTreeMap<RejectReason, u64> {
        &self.rejected
    }

    pub fn size(&self) -> ReplicaSize {
        let empty = ReplicaSize { records: 0, bytes: 0 };
        self.origins.values().fold(empty, |size, origin| ReplicaSize {
            records: size.records + origin.records.len(),
            bytes: size.bytes + origin.bytes,
        })
    }

    /// Number of records by kind, not counting tombstones.
    pub fn count_by_kind(&self) -> BTreeMap<u8, usize> {
        let mut counts = BTreeMap::new();
        for (key, record) in self.origins.values().flat_map(|origin| &origin.records) {
            *counts.entry(key.kind).or_default() += usize::from(record.value.is_some());
        }
        counts
    }

    pub fn origin(&self, name: &str) -> Option<OriginState> {
        self.origins.get(name).map(|origin| OriginState {
            incarnation: origin.incarnation,
            version: origin.version,
            records: origin.records.len() - origin.tombstones,
        })
    }

    fn own_records(&mut self) -> &mut OriginRecords {
        self.origins.entry(self.local_name.clone()).or_default()
    }

    /// Publishes a value of this mixer, with the time of its evidence. Returns false if it would exceed a limit.
    pub fn publish<K: RecordKind>(
        &mut self,
        now_ms: f64,
        name: &str,
        value: &K,
        evidence_at_ms: f64,
    ) -> bool {
        let Ok(bytes) = postcard::to_allocvec(value) else { return false };
        self.write(now_ms, RecordKey { kind: K::CODE, name: name.to_owned() }, Some(bytes), evidence_at_ms)
    }

    /// Deletes a value that this mixer published.
    pub fn retract<K: RecordKind>(&mut self, now_ms: f64, name: &str) {
        let key = RecordKey { kind: K::CODE, name: name.to_owned() };
        if self.own_records().records.get(&key).is_some_and(|record| record.value.is_some()) {
            self.write(now_ms, key, None, now_ms);
        }
    }

    fn write(&mut self, now_ms: f64, key: RecordKey, value: Option<Vec<u8>>, evidence_at_ms: f64) -> bool {
        let limits = self.limits;
        let valid =
            key.name.len() <= MAX_NAME_BYTES && value.as_ref().is_none_or(|v| v.len() <= MAX_VALUE_BYTES);
        let own = self.own_records();
        let counter = own.version.saturating_add(1);
        let record = Record { counter, value, evidence_at_ms, received_at_ms: now_ms };
        if !valid || !own.has_room_for(&key, &record, &limits) {
            *self.rejected.entry(RejectReason::OverQuota).or_default() += 1;
            return false;
        }
        own.version = record.counter;
        own.insert(key, record);
        true
    }

    /// Publishes all of this mixer's values again under a new incarnation.
    pub fn change_incarnation(&mut self, incarnation: Incarnation) {
        let own = self.own_records();
        let records: Vec<(RecordKey, Record)> = own
            .by_counter
            .values()
            .filter_map(|key| Some((key.clone(), own.records.get(key)?.clone())))
            .collect();
        *own = OriginRecords::new(incarnation);
        for (key, record) in records.into_iter().filter(|(_, record)| record.value.is_some()) {
            own.version += 1;
            let counter = own.version;
            own.insert(key, Record { counter, ..record });
        }
    }

    /// Discards the records of a peer's earlier incarnations once a later one is known.
    pub fn observe_incarnation(&mut self, origin: &str, incarnation: Incarnation) {
        if origin != self.local_name
            && self.configured.contains(origin)
            && self.origins.get(origin).is_none_or(|held| held.incarnation < incarnation)
        {
            self.origins.insert(origin.to_owned(), OriginRecords::new(incarnation));
        }
    }

    pub fn version_vector(&self) -> Vec<OriginVersion> {
        let entry = |(name, origin): (&String, &OriginRecords)| OriginVersion {
            origin: name.clone(),
            incarnation: origin.incarnation,
            version: origin.version,
            full_sync: origin.full_sync.map(|sync| sync.through),
            digest: origin.digest,
        };
        self.origins.iter().map(entry).collect()
    }

    /// Digest of all that is held: equal on two mixers that hold the same records.
    pub fn digest(&self) -> u64 {
        self.origins.iter().filter(|(_, origin)| origin.version > 0).fold(0, |digest, (name, origin)| {
            let hasher = DigestHasher::new()
                .bytes(name.as_bytes())
                .number(origin.incarnation.number)
                .number(origin.incarnation.nonce);
            let full_sync = u64::from(origin.full_sync.is_some());
            digest ^ hasher.number(origin.version).number(origin.digest).number(full_sync).finish()
        })
    }

    /// Whether a peer with this version vector holds records that this mixer lacks.
    pub fn is_behind(&self, theirs: &[OriginVersion]) -> bool {
        theirs.iter().any(|entry| {
            let ours = self.origins.get(&entry.origin).map(|held| (held.incarnation, held.version));
            entry.origin != self.local_name
                && entry.version > 0
                && self.configured.contains(&entry.origin)
                && ours < Some((entry.incarnation, entry.version))
        })
    }

    /// Upper bound, by versions, of the number of records that a peer holds and this mixer lacks.
    pub fn lag(&self, theirs: &[OriginVersion]) -> u64 {
        let lag = |entry: &OriginVersion| match self.origins.get(&entry.origin) {
            _ if entry.origin == self.local_name => 0,
            Some(held) if held.incarnation == entry.incarnation => entry.version.saturating_sub(held.version),
            Some(held) if held.incarnation > entry.incarnation => 0,
            _ => entry.version,
        };
        theirs.iter().map(lag).fold(0, u64::saturating_add)
    }

    /// The records that this mixer holds and a peer with this version vector lacks, limited to `budget`
    /// bytes.
    pub fn delta(&self, now_ms: f64, theirs: &[OriginVersion], budget: usize) -> Delta {
        let theirs: BTreeMap<&str, &OriginVersion> = theirs.iter().map(|e| (e.origin.as_str(), e)).collect();
        let mut batches = Vec::new();
        let mut budget = budget;
        let mut remaining = 0_u64;
        for (name, held) in self.origins.iter().filter(|(_, held)| held.version > 0) {
            let entry = theirs.get(name.as_str()).copied().filter(|e| e.incarnation >= held.incarnation);
            let (after, full_sync) = match entry {
                Some(e) if e.incarnation > held.incarnation => continue,
                Some(OriginVersion { full_sync: Some(position), .. }) => (*position, true),
                Some(e) if e.version < held.tombstone_floor => (0, true),
                Some(e) if e.version >= held.version => continue,
                Some(e) => (e.version, false),
                None => (0, false),
            };
            let CollectedRecords { records, through } =
                held.collect(after, held.version, now_ms, &mut budget);
            let last = through >= held.version;
            remaining = remaining.saturating_add(held.version.saturating_sub(through));
            if records.is_empty() && !last {
                continue; // The first record exceeds the budget: the next piece begins with it.
            }
            let kind = if full_sync { BatchKind::FullSync { last } } else { BatchKind::Delta };
            batches.push(RecordBatch {
                origin: name.clone(),
                incarnation: held.incarnation,
                after,
                through,
                tombstone_floor: held.tombstone_floor,
                kind,
                records,
            });
        }
        Delta { batches, remaining }
    }

    /// What this mixer has published since a version of its own.
    pub fn own_records_since(&self, now_ms: f64, after: u64, budget: usize) -> Option<RecordBatch> {
        let own = self.origins.get(&self.local_name).filter(|own| own.version > after)?;
        let mut budget = budget;
        let CollectedRecords { records, through } = own.collect(after, own.version, now_ms, &mut budget);
        (!records.is_empty()).then(|| RecordBatch {
            origin: self.local_name.clone(),
            incarnation: own.incarnation,
            after,
            through,
            tombstone_floor: own.tombstone_floor,
            kind: BatchKind::Delta,
            records,
        })
    }

    /// Origins of which a peer holds the same version with different records.
    pub fn diverging_origins(&self, theirs: &[OriginVersion]) -> Vec<String> {
        let diverges = |entry: &&OriginVersion| {
            self.origins.get(&entry.origin).is_some_and(|held| {
                (held.incarnation, held.version) == (entry.incarnation, entry.version)
                    && held.full_sync.is_none()
                    && entry.full_sync.is_none()
                    && held.digest != entry.digest
            })
        };
        theirs.iter().filter(diverges).map(|entry| entry.origin.clone()).collect()
    }

    pub fn range_digests(&self, origin: &str) -> Option<RangeDigests> {
        let held = self.origins.get(origin)?;
        let digest = |index| {
            let CounterRange { after, through } = held.digest_range(index);
            let keys =
                held.by_counter.range(after + 1..=through.max(after + 1)).filter(|(c, _)| **c <= through);
            keys.filter_map(|(_, key)| {
                held.records.get(key).map(|record| OriginRecords::record_digest(key, record))
            })
            .fold(0, |a, b| a ^ b)
        };
        Some(RangeDigests {
            incarnation: held.incarnation,
            version: held.version,
            digests: (0..DIGEST_RANGES).map(digest).collect(),
        })
    }

    /// The ranges of an origin whose digests differ from a peer's at the same version.
    pub fn repair_batches(
        &self,
        now_ms: f64,
        origin: &str,
        theirs: &RangeDigests,
        budget: usize,
    ) -> Vec<RecordBatch> {
        let Some(ours) = self.range_digests(origin) else { return Vec::new() };
        let same_version =
            |held: &&OriginRecords| (held.incarnation, held.version) == (theirs.incarnation, theirs.version);
        let Some(held) = self.origins.get(origin).filter(same_version) else {
            return Vec::new();
        };
        let mut budget = budget;
        let differing = ours.digests.iter().zip(&theirs.digests).zip(0..).filter(|((a, b), _)| a != b);
        let mut batches = Vec::new();
        for (_, index) in differing {
            let CounterRange { after, through } = held.digest_range(index);
            let collected = held.collect(after, through, now_ms, &mut budget);
            if collected.through > after {
                batches.push(RecordBatch {
                    origin: origin.to_owned(),
                    incarnation: theirs.incarnation,
                    after,
                    through: collected.through,
                    tombstone_floor: held.tombstone_floor,
                    kind: BatchKind::Repair,
                    records: collected.records,
                });
            }
        }
        batches
    }

    /// Applies a batch from a peer. `delay_ms` is the time for which the message may have waited to be read; it is
    /// added to the ages of the records.
    ///
    /// # Errors
    /// Why the batch was rejected; the rejection is counted.
    pub fn apply(
        &mut self,
        now_ms: f64,
        delay_ms: f64,
        sender: &str,
        batch: &RecordBatch,
    ) -> Result<Vec<RecordChange>, RejectReason> {
        let applied = self.try_apply(now_ms, delay_ms, sender, batch);
        if let Err(reason) = applied {
            *self.rejected.entry(reason).or_default() += 1;
        }
        applied
    }

    fn try_apply(
        &mut self,
        now_ms: f64,
        delay_ms: f64,
        sender: &str,
        batch: &RecordBatch,
    ) -> Result<Vec<RecordChange>, RejectReason> {
        self.validate(batch)?;
        let limits = self.limits;
        let held = self.records_for(batch)?;
        // A full sync contains all existing records of its interval. A repair is known to do so only if the origin
        // sent it.
        let lists_all_records = match batch.kind {
            BatchKind::Delta => {
                if batch.after > held.version {
                    return Err(RejectReason::Gap);
                }
                false
            }
            BatchKind::FullSync { .. } => {
                held.continue_full_sync(batch)?;
                true
            }
            BatchKind::Repair => sender == batch.origin,
        };
        let change = |key: &RecordKey| RecordChange {
            origin: batch.origin.clone(),
            kind: key.kind,
            name: key.name.clone(),
        };
        let mut changes = Vec::new();
        if lists_all_records {
            changes.extend(held.remove_missing_from(batch).iter().map(change));
        }
        for wire in &batch.records {
            let key = RecordKey { kind: wire.kind, name: wire.name.clone() };
            let record = Record {
                counter: wire.counter,
                value: wire.value.clone(),
                evidence_at_ms: now_ms - delay_ms - f64::from(wire.age_ms),
                received_at_ms: now_ms,
            };
            if !held.accepts(&key, &record, batch, sender) {
                continue;
            }
            if !held.has_room_for(&key, &record, &limits) {
                // The version does not advance: it must not cover records that are not held.
                return Err(RejectReason::OverQuota);
            }
            changes.push(change(&key));
            held.insert(key, record);
        }
        held.finish_batch(batch);
        Ok(changes)
    }

    fn validate(&self, batch: &RecordBatch) -> Result<(), RejectReason> {
        if !self.configured.contains(&batch.origin) {
            return Err(RejectReason::UnknownOrigin);
        }
        if batch.origin == self.local_name {
            return Err(RejectReason::OwnOrigin);
        }
        let ordered = batch.records.windows(2).all(|pair| pair[0].counter < pair[1].counter);
        let within = batch.records.iter().all(|r| r.counter > batch.after && r.counter <= batch.through);
        if !ordered || !within || batch.through < batch.after || !batch.records.iter().all(is_valid) {
            return Err(RejectReason::Invalid);
        }
        Ok(())
    }

    /// The records that a batch applies to. A batch of a later incarnation replaces what is held.
    fn records_for(&mut self, batch: &RecordBatch) -> Result<&mut OriginRecords, RejectReason> {
        match self.origins.get(&batch.origin).map(|held| held.incarnation) {
            Some(held) if held > batch.incarnation => return Err(RejectReason::StaleIncarnation),
            Some(held) if held == batch.incarnation => {}
            _ if batch.after > 0 || batch.kind == BatchKind::Repair => return Err(RejectReason::Gap),
            _ => {
                self.origins.insert(batch.origin.clone(), OriginRecords::new(batch.incarnation));
            }
        }
        Ok(self.origins.entry(batch.origin.clone()).or_default())
    }

    /// Discards tombstones whose lifetime has passed.
    pub fn tick(&mut self, now_ms: f64) {
        let ttl_ms = self.tombstone_ttl_ms;
        for held in self.origins.values_mut().filter(|held| held.tombstones > 0 && held.full_sync.is_none()) {
            let expired = |record: &Record| record.value.is_none() && now_ms - record.received_at_ms > ttl_ms;
            let keys: Vec<RecordKey> = held
                .records
                .iter()
                .filter(|(_, record)| expired(record))
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                if let Some(record) = held.remove(&key) {
                    held.tombstone_floor = held.tombstone_floor.max(record.counter);
                }
            }
        }
    }

    /// What each origin reports about a subject, leaving out values that can't be decoded.
    pub fn reports<K: RecordKind>(&self, now_ms: f64, name: &str) -> Vec<Report<'_, K>> {
        let key = RecordKey { kind: K::CODE, name: name.to_owned() };
        let mut reports = Vec::new();
        for (origin, held) in &self.origins {
            let Some(record) = held.records.get(&key) else { continue };
            let Some(value) = record.value.as_ref().and_then(|bytes| kinds::decode::<K>(bytes)) else {
                continue;
            };
            let age_ms = (now_ms - record.evidence_at_ms).max(0.0);
            reports.push(Report { origin, value, age_ms });
        }
        reports
    }

    /// What all origins report about a subject, joined into one value.
    pub fn joined<K: RecordKind>(&self, now_ms: f64, name: &str) -> Option<K> {
        let current =
            self.reports::<K>(now_ms, name).into_iter().filter(|report| report.age_ms <= K::VALIDITY_MS);
        current.map(|report| report.value).reduce(K::join)
    }

    /// All records except tombstones, for comparison and display.
    pub fn records(&self) -> impl Iterator<Item = RecordView<'_>> {
        self.origins.iter().flat_map(|(origin, held)| {
            held.records.iter().filter_map(move |(key, record)| {
                Some(RecordView {
                    origin,
                    kind: key.kind,
                    name: &key.name,
                    counter: record.counter,
                    value: record.value.as_deref()?,
                })
            })
        })
    }
}

/// Whether a record is within the size limits and, if its kind is known, decodes to a valid value.
fn is_valid(record: &WireRecord) -> bool {
    let value = record.value.as_deref();
    record.name.len() <= MAX_NAME_BYTES
        && value.is_none_or(|v| v.len() <= MAX_VALUE_BYTES && kinds::is_valid(record.kind, v))
}
