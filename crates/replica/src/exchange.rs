//! Anti-entropy: what is sent to whom, and when.
//!
//! This mixer's new records are pushed to all peers immediately, or to some of them in a large fleet. In
//! periodic rounds a random peer that is up is sent a digest of all held records. If it differs from the
//! peer's, version vectors are exchanged, then the missing records in pieces, then digests of counter ranges
//! for origins whose versions agree but whose records differ. Later rounds repair the loss, truncation or
//! reordering of messages.

use std::collections::{BTreeMap, BTreeSet};

use oorandom::Rand64;
use pewterwharf_peers::Incarnation;
use serde::{Deserialize, Serialize};

use crate::record::{OriginVersion, RecordBatch, RejectReason};
use crate::store::{Delta, RangeDigests, RecordChange, Replica};

/// A replication message between two mixers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Digest of everything that the sender holds.
    Digest(u64),
    /// The sender's version vector. `request` asks for the records that the sender lacks.
    VersionVector { entries: Vec<OriginVersion>, request: bool },
    /// Records that the receiver lacks, and the number of counters still to be sent; zero if these are all.
    Batches { batches: Vec<RecordBatch>, remaining: u64 },
    /// Digests of an origin's counter ranges, sent if the versions agree and the records do not.
    RangeDigests { origin: String, incarnation: Incarnation, version: u64, digests: Vec<u64> },
    /// The sender is catching up itself and can't serve a request.
    CatchingUp,
}

/// An origin that a message mentions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MentionedOrigin<'a> {
    pub name: &'a str,
    pub incarnation: Incarnation,
    /// Highest counter that the message attributes to the origin.
    pub version: u64,
}

impl ReplicaMessage {
    pub fn mentioned_origins(&self) -> Vec<MentionedOrigin<'_>> {
        match self {
            Self::VersionVector { entries, .. } => entries
                .iter()
                .map(|entry| MentionedOrigin {
                    name: &entry.origin,
                    incarnation: entry.incarnation,
                    version: entry.version,
                })
                .collect(),
            Self::Batches { batches, .. } => batches
                .iter()
                .map(|batch| MentionedOrigin {
                    name: &batch.origin,
                    incarnation: batch.incarnation,
                    version: batch.through,
                })
                .collect(),
            Self::RangeDigests { origin, incarnation, version, .. } => {
                vec![MentionedOrigin { name: origin, incarnation: *incarnation, version: *version }]
            }
            Self::Digest(_) | Self::CatchingUp => Vec::new(),
        }
    }
}

/// A message and the peer that it goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    pub to: String,
    pub message: ReplicaMessage,
}

/// Result of a received message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Handled {
    pub changes: Vec<RecordChange>,
    pub messages: Vec<OutgoingMessage>,
}

/// Mean interval between gossip rounds.
const ROUND_INTERVAL_MS: f64 = 200.0;
/// Relative spread of the round interval, on either side of the mean.
const ROUND_JITTER: f64 = 0.25;
/// Bytes of records in one message.
const MAX_MESSAGE_BYTES: usize = 12 * 1024;
/// Maximum number of peers that new records are pushed to. In a larger fleet they are chosen at random.
const MAX_PUSH_PEERS: usize = 32;
/// Rate and burst of the records that one peer is sent, so that the catch-up of a restarted mixer does not delay
/// messages to others.
const PEER_BYTES_PER_S: f64 = 512.0 * 1024.0;
const PEER_BURST_BYTES: f64 = 64.0 * 1024.0;
/// Bytes that a record counts against the rate besides its name.
const RECORD_COST_BYTES: usize = 48;
/// A catch-up source that sends nothing for this long is replaced by another.
const SOURCE_TIMEOUT_MS: f64 = 500.0;
/// Minimum interval between requests to one peer for records that its batches show to be missing.
const REQUEST_INTERVAL_MS: f64 = 50.0;
/// A time before any clock reading.
const NEVER_MS: f64 = -1e9;

/// How far this mixer has caught up with what its peers hold.
#[derive(Clone, Debug, PartialEq)]
pub enum CatchUpProgress {
    /// No peer has been up since the start.
    Alone,
    CatchingUp {
        source: Option<String>,
        pieces: u64,
        records: u64,
        /// Number of counters that the source has yet to send.
        remaining: u64,
    },
    Done,
}

/// The peer that this mixer catches up from.
#[derive(Debug)]
struct CatchUpSource {
    name: String,
    last_activity_ms: f64,
}

#[derive(Debug, Default)]
struct CatchUp {
    source: Option<CatchUpSource>,
    pieces: u64,
    records: u64,
    remaining: u64,
    /// Peers that are catching up themselves.
    also_catching_up: BTreeSet<String>,
}

/// Token bucket and request time of one peer.
#[derive(Debug)]
struct PeerBudget {
    tokens_bytes: f64,
    refilled_at_ms: f64,
    requested_at_ms: f64,
}

/// Exchanges records with the peers that are up.
#[derive(Debug)]
pub struct Exchange {
    pub replica: Replica,
    up: BTreeMap<String, Incarnation>,
    rng: Rand64,
    next_round_ms: f64,
    /// Version of this mixer's own records that was pushed to the peers.
    pushed_version: u64,
    budgets: BTreeMap<String, PeerBudget>,
    catch_up: Option<CatchUp>,
    /// Whether any peer has been up since the start.
    had_peer: bool,
}

impl Exchange {
    pub fn new(replica: Replica, seed: u64) -> Self {
        Self {
            replica,
            up: BTreeMap::new(),
            rng: Rand64::new(u128::from(seed) ^ 0xe2c4_a93e),
            next_round_ms: 0.0,
            pushed_version: 0,
            budgets: BTreeMap::new(),
            catch_up: None,
            had_peer: false,
        }
    }

    pub fn peer_up(&mut self, name: &str, incarnation: Incarnation) {
        self.up.insert(name.to_owned(), incarnation);
        self.replica.observe_incarnation(name, incarnation);
        if !self.had_peer {
            self.had_peer = true;
            self.catch_up = Some(CatchUp::default());
        }
    }

    pub fn peer_down(&mut self, name: &str) {
        self.up.remove(name);
        self.budgets.remove(name);
        if let Some(catch_up) = &mut self.catch_up {
            catch_up.also_catching_up.remove(name);
            // The next round picks another source.
            catch_up.source.take_if(|source| source.name == name);
        }
    }

    /// A peer was restarted.
    pub fn peer_restarted(&mut self, name: &str, incarnation: Incarnation) {
        self.replica.observe_incarnation(name, incarnation);
        if let Some(held) = self.up.get_mut(name) {
            *held = incarnation;
        }
        // The new process holds nothing of what was sent to the earlier one, so its budget starts anew.
        self.budgets.remove(name);
    }

    /// This mixer has taken a new incarnation.
    pub fn change_incarnation(&mut self, incarnation: Incarnation) {
        self.replica.change_incarnation(incarnation);
        self.pushed_version = 0;
    }

    pub fn progress(&self) -> CatchUpProgress {
        match &self.catch_up {
            Some(catch_up) => CatchUpProgress::CatchingUp {
                source: catch_up.source.as_ref().map(|source| source.name.clone()),
                pieces: catch_up.pieces,
                records: catch_up.records,
                remaining: catch_up.remaining,
            },
            None if self.had_peer => CatchUpProgress::Done,
            None => CatchUpProgress::Alone,
        }
    }

    /// When [`Exchange::tick`] has to be called next. It also has to be called after records were published.
    pub fn next_tick_ms(&self) -> f64 {
        self.next_round_ms
    }

    fn random_peer(&mut self, among: &[String]) -> Option<String> {
        if among.is_empty() {
            return None;
        }
        let index = self.rng.rand_range(0..among.len() as u64) as usize;
        among.get(index).cloned()
    }

    /// Pushes new records and starts a gossip round if one is due. Returns the messages to send.
    pub fn tick(&mut self, now_ms: f64) -> Vec<OutgoingMessage> {
        let mut messages = Vec::new();
        self.push_new_records(now_ms, &mut messages);
        if now_ms < self.next_round_ms {
            return messages;
        }
        let spread = (1.0 - ROUND_JITTER) + 2.0 * ROUND_JITTER * self.rng.rand_float();
        self.next_round_ms = now_ms + ROUND_INTERVAL_MS * spread;
        self.replica.tick(now_ms);
        let up: Vec<String> = self.up.keys().cloned().collect();
        self.continue_catch_up(now_ms, &up, &mut messages);
        if self.catch_up.is_none()
            && let Some(to) = self.random_peer(&up)
        {
            messages.push(OutgoingMessage { to, message: ReplicaMessage::Digest(self.replica.digest()) });
        }
        messages
    }

    /// Requests records from a new source if there is none or it has timed out.
    fn continue_catch_up(&mut self, now_ms: f64, up: &[String], messages: &mut Vec<OutgoingMessage>) {
        let Some(catch_up) = &mut self.catch_up else { return };
        catch_up.source.take_if(|source| now_ms - source.last_activity_ms > SOURCE_TIMEOUT_MS);
        if catch_up.source.is_some() {
            return;
        }
        let sources: Vec<String> =
            up.iter().filter(|name| !catch_up.also_catching_up.contains(*name)).cloned().collect();
        if sources.is_empty() && !up.is_empty() {
            // All peers have restarted too and are catching up, so none holds records that could be requested.
            self.catch_up = None;
        } else if let Some(to) = self.random_peer(&sources) {
            if let Some(catch_up) = &mut self.catch_up {
                catch_up.source = Some(CatchUpSource { name: to.clone(), last_activity_ms: now_ms });
            }
            messages.push(OutgoingMessage { to, message: self.version_vector(true) });
        }
    }

    fn version_vector(&self, request: bool) -> ReplicaMessage {
        ReplicaMessage::VersionVector { entries: self.replica.version_vector(), request }
    }

    /// Sends this mixer's new records without waiting for a round.
    fn push_new_records(&mut self, now_ms: f64, messages: &mut Vec<OutgoingMessage>) {
        let Some(batch) = self.replica.own_records_since(now_ms, self.pushed_version, MAX_MESSAGE_BYTES)
        else {
            return;
        };
        self.pushed_version = batch.through;
        let mut receivers: Vec<String> = self.up.keys().cloned().collect();
        while receivers.len() > MAX_PUSH_PEERS {
            let index = self.rng.rand_range(0..receivers.len() as u64) as usize;
            receivers.swap_remove(index);
        }
        for to in receivers {
            let message = ReplicaMessage::Batches { batches: vec![batch.clone()], remaining: 0 };
            messages.push(OutgoingMessage { to, message });
        }
    }

    /// Refills the token bucket of a peer and returns the bytes that it may be sent now.
    fn refill_budget(&mut self, name: &str, now_ms: f64) -> usize {
        let budget = self.budgets.entry(name.to_owned()).or_insert(PeerBudget {
            tokens_bytes: PEER_BURST_BYTES,
            refilled_at_ms: now_ms,
            requested_at_ms: NEVER_MS,
        });
        let elapsed_ms = (now_ms - budget.refilled_at_ms).max(0.0);
        budget.tokens_bytes =
            (budget.tokens_bytes + elapsed_ms * PEER_BYTES_PER_S / 1000.0).min(PEER_BURST_BYTES);
        budget.refilled_at_ms = now_ms;
        (budget.tokens_bytes as usize).min(MAX_MESSAGE_BYTES)
    }

    /// Handles a message from a peer. `delay_ms` is as in [`Replica::apply`].
    pub fn handle_message(
        &mut self,
        now_ms: f64,
        delay_ms: f64,
        from: &str,
        message: ReplicaMessage,
    ) -> Handled {
        let mut changes = Vec::new();
        let catching_up = self.catch_up.is_some();
        let replies = match message {
            ReplicaMessage::Digest(digest) => {
                if !catching_up && digest != self.replica.digest() {
                    vec![self.version_vector(true)]
                } else {
                    Vec::new()
                }
            }
            ReplicaMessage::VersionVector { request, .. } if catching_up => {
                if request {
                    vec![ReplicaMessage::CatchingUp]
                } else {
                    Vec::new()
                }
            }
            ReplicaMessage::VersionVector { entries, request } => {
                self.answer_version_vector(now_ms, from, &entries, request)
            }
            ReplicaMessage::RangeDigests { origin, incarnation, version, digests } => {
                let theirs = RangeDigests { incarnation, version, digests };
                self.answer_range_digests(now_ms, from, &origin, &theirs)
            }
            ReplicaMessage::CatchingUp => {
                self.source_is_catching_up(now_ms, from);
                Vec::new()
            }
            ReplicaMessage::Batches { batches, remaining } => {
                let mut gap = false;
                let records: usize = batches.iter().map(|batch| batch.records.len()).sum();
                for batch in &batches {
                    match self.replica.apply(now_ms, delay_ms, from, batch) {
                        Ok(more) => changes.extend(more),
                        Err(RejectReason::Gap) => gap = true,
                        Err(_) => {}
                    }
                }
                self.after_batches(now_ms, from, records, remaining, gap)
            }
        };
        let to_sender = |message| OutgoingMessage { to: from.to_owned(), message };
        Handled { changes, messages: replies.into_iter().map(to_sender).collect() }
    }

    /// Sends the records that the peer lacks, requests those that this mixer lacks, and sends range digests of
    /// diverging origins.
    fn answer_version_vector(
        &mut self,
        now_ms: f64,
        from: &str,
        entries: &[OriginVersion],
        request: bool,
    ) -> Vec<ReplicaMessage> {
        let mut replies = Vec::new();
        let budget = self.refill_budget(from, now_ms);
        let Delta { batches, remaining } = self.replica.delta(now_ms, entries, budget);
        let spent: usize = batches
            .iter()
            .flat_map(|batch| &batch.records)
            .map(|record| record.name.len() + RECORD_COST_BYTES)
            .sum();
        if let Some(budget) = self.budgets.get_mut(from) {
            budget.tokens_bytes -= spent as f64;
        }
        let behind = self.replica.is_behind(entries);
        let diverging = self.replica.diverging_origins(entries);
        if request || !batches.is_empty() {
            replies.push(ReplicaMessage::Batches { batches, remaining });
        }
        if behind && request {
            replies.push(self.version_vector(false));
        }
        for origin in diverging {
            if let Some(RangeDigests { incarnation, version, digests }) = self.replica.range_digests(&origin)
            {
                replies.push(ReplicaMessage::RangeDigests { origin, incarnation, version, digests });
            }
        }
        replies
    }

    fn answer_range_digests(
        &mut self,
        now_ms: f64,
        from: &str,
        origin: &str,
        theirs: &RangeDigests,
    ) -> Vec<ReplicaMessage> {
        if self.catch_up.is_some() {
            return Vec::new();
        }
        let budget = self.refill_budget(from, now_ms);
        let batches = self.replica.repair_batches(now_ms, origin, theirs, budget);
        if batches.is_empty() {
            return Vec::new();
        }
        vec![ReplicaMessage::Batches { batches, remaining: 0 }]
    }

    fn source_is_catching_up(&mut self, now_ms: f64, from: &str) {
        if let Some(catch_up) = &mut self.catch_up {
            catch_up.also_catching_up.insert(from.to_owned());
            catch_up.source.take_if(|source| source.name == from);
            self.next_round_ms = now_ms;
        }
    }

    /// Updates the catch-up after batches from a peer were applied, and requests more where some are missing.
    fn after_batches(
        &mut self,
        now_ms: f64,
        from: &str,
        records: usize,
        remaining: u64,
        gap: bool,
    ) -> Vec<ReplicaMessage> {
        let mut request = gap || remaining > 0;
        if let Some(catch_up) = &mut self.catch_up
            && catch_up.source.as_ref().is_some_and(|source| source.name == from)
        {
            catch_up.pieces += 1;
            catch_up.records += records as u64;
            catch_up.remaining = remaining;
            catch_up.source = Some(CatchUpSource { name: from.to_owned(), last_activity_ms: now_ms });
            if remaining == 0 && !gap {
                self.catch_up = None;
            }
        } else if request {
            let requested_at_ms = self.budgets.get(from).map_or(NEVER_MS, |budget| budget.requested_at_ms);
            request = now_ms - requested_at_ms >= REQUEST_INTERVAL_MS;
        }
        if !request {
            return Vec::new();
        }
        self.refill_budget(from, now_ms);
        if let Some(budget) = self.budgets.get_mut(from) {
            budget.requested_at_ms = now_ms;
        }
        vec![self.version_vector(true)]
    }
}
