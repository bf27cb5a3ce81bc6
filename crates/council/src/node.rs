//! A member of the consensus group, without I/O except for its storage.

use std::fmt;

use oorandom::Rand64;
use raft::eraftpb::{Entry, Message, MessageType};
use raft::{Config, RawNode, StateRole};
use serde::{Deserialize, Serialize};

use crate::MemberId;
use crate::log::{LogStorage, StateMachine, encode};
use crate::storage::{PersistedState, StableStorage, StorageError};
use crate::wire::{self, WireSnapshot};

/// Interval at which [`ConsensusNode::tick`] has to be called.
pub const TICK_INTERVAL_MS: u64 = 20;
/// Interval of the leader's heartbeats: longer than a write to a slow disk and a round trip.
const HEARTBEAT_TICKS: usize = 5;
/// Shortest election timeout. The actual one is random, up to twice as long: a stall of a fifth of a second
/// causes no election, and a failed leader is replaced within a second.
const ELECTION_TICKS: usize = 20;
/// Entries that are kept before the latest snapshot. A member that is further behind is sent the snapshot.
const RETAINED_ENTRIES: u64 = 512;
/// Entries in flight to one member.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Bytes of entries in one message.
const MAX_MESSAGE_SIZE: u64 = 64 * 1024;
/// Bytes of proposals that the leader accepts before they are committed.
const MAX_UNCOMMITTED_SIZE: u64 = 256 * 1024;
/// Longest message that is decoded; no member sends a longer one.
const MAX_RECEIVED_BYTES: usize = 1 << 20;

/// Configuration of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsensusConfig {
    /// This member's number; never zero.
    pub member: MemberId,
    /// All members, including this one.
    pub members: Vec<MemberId>,
    /// Has to differ between starts.
    pub seed: u64,
}

/// A message for another member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutgoingMessage {
    pub to: MemberId,
    pub bytes: Vec<u8>,
}

/// Why a command was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This member's storage has failed.
    StorageFailed,
    /// No leader is known, or too many proposals are uncommitted.
    NoLeader,
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::StorageFailed => {
                "this mixer no longer takes part in the consensus group: its storage failed"
            }
            Self::NoLeader => "no leader of the consensus group is known",
        })
    }
}

impl std::error::Error for ProposeError {}

/// A member of the consensus group.
pub struct ConsensusNode<M: StateMachine, S: StableStorage> {
    raft: RawNode<LogStorage>,
    storage: S,
    /// Why this member no longer takes part.
    failure: Option<StorageError>,
    state: M,
    /// Index of the last entry that was applied to the state.
    applied: u64,
    rng: Rand64,
    election_timeout_ticks: usize,
    /// Number of messages that could not be decoded or were for another member.
    rejected_messages: u64,
}

impl<M: StateMachine, S: StableStorage> ConsensusNode<M, S> {
    /// Starts from what the storage contains, which is nothing for a new member.
    ///
    /// # Errors
    /// If the persisted state can't be decoded, or the configuration is not valid.
    pub fn new(
        config: &ConsensusConfig,
        persisted: &PersistedState,
        storage: S,
    ) -> Result<Self, StorageError> {
        let log = LogStorage::new(&config.members, persisted).map_err(StorageError::Corrupt)?;
        let restored = Self::restore(log.latest_snapshot());
        let (state, applied) = restored.ok_or(StorageError::Corrupt("snapshot".to_owned()))?;
        let raft_config = Config {
            id: config.member,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            min_election_tick: ELECTION_TICKS,
            max_election_tick: 2 * ELECTION_TICKS,
            applied,
            pre_vote: true,
            check_quorum: true,
            max_size_per_msg: MAX_MESSAGE_SIZE,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            max_uncommitted_size: MAX_UNCOMMITTED_SIZE,
            ..Config::default()
        };
        let no_logging = slog::Logger::root(slog::Discard, slog::o!());
        let raft = RawNode::new(&raft_config, log, &no_logging)
            .map_err(|error| StorageError::Corrupt(error.to_string()))?;
        let mut node = Self {
            raft,
            storage,
            failure: None,
            state,
            applied,
            rng: Rand64::new(u128::from(config.seed) ^ 0xc0_0c11),
            election_timeout_ticks: 0,
            rejected_messages: 0,
        };
        node.reseed_election_timeout();
        Ok(node)
    }

    /// The state of a snapshot and the index it covers.
    fn restore(snapshot: &WireSnapshot) -> Option<(M, u64)> {
        match snapshot.index {
            0 => Some((M::default(), 0)),
            index => Some((postcard::from_bytes(&snapshot.data).ok()?, index)),
        }
    }

    /// Replaces the election timeout by one from the seeded generator, so that test runs can be reproduced. The
    /// core draws a new one from an unseeded generator whenever its role changes.
    fn reseed_election_timeout(&mut self) {
        if self.raft.raft.randomized_election_timeout() != self.election_timeout_ticks {
            self.election_timeout_ticks =
                ELECTION_TICKS + self.rng.rand_range(0..ELECTION_TICKS as u64) as usize;
            self.raft.raft.set_randomized_election_timeout(self.election_timeout_ticks);
        }
    }

    /// Advances the clock by [`TICK_INTERVAL_MS`].
    pub fn tick(&mut self) {
        if self.failure.is_none() {
            self.raft.tick();
            self.reseed_election_timeout();
        }
    }

    /// Handles a message from another member. One that can't be decoded or is for another member is ignored.
    pub fn handle_message(&mut self, bytes: &[u8]) {
        if self.failure.is_some() {
            return;
        }
        let message = Some(bytes).filter(|b| b.len() <= MAX_RECEIVED_BYTES).and_then(wire::decode);
        let for_this_member = message.filter(|message| message.to == self.raft.raft.id);
        let accepted = for_this_member.is_some_and(|message| self.raft.step(message).is_ok());
        self.rejected_messages += u64::from(!accepted);
        self.reseed_election_timeout();
    }

    /// Proposes a command. It may still be lost: only [`ConsensusNode::state`] shows that it was applied.
    ///
    /// # Errors
    /// If this member can't propose now.
    pub fn propose(&mut self, command: &M::Command) -> Result<(), ProposeError> {
        if self.failure.is_some() {
            return Err(ProposeError::StorageFailed);
        }
        self.raft.propose(Vec::new(), encode(command)).map_err(|_| ProposeError::NoLeader)
    }

    /// Persists pending changes, applies committed entries, and returns the messages to send. All state that
    /// the messages depend on is persisted before they are returned; once that fails, none are.
    pub fn messages(&mut self) -> Vec<OutgoingMessage> {
        let mut outgoing = Vec::new();
        while self.failure.is_none() && self.raft.has_ready() {
            let mut ready = self.raft.ready();
            if !self.install_snapshot(ready.snapshot()) {
                return Vec::new();
            }
            let entries = ready.take_entries();
            let hard_state = ready.hs().cloned();
            let log = self.raft.mut_store();
            log.append(&entries);
            if let Some(hard_state) = hard_state {
                log.set_hard_state(hard_state);
            }
            if !self.persist() {
                return Vec::new();
            }
            let mut messages = ready.take_messages();
            messages.extend(ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            let mut light_ready = self.raft.advance(ready);
            self.reseed_election_timeout();
            if let Some(commit) = light_ready.commit_index() {
                self.raft.mut_store().set_commit(commit);
            }
            messages.extend(light_ready.take_messages());
            self.apply(committed);
            self.apply(light_ready.take_committed_entries());
            self.raft.advance_apply();
            self.compact_log();
            if !self.persist() {
                return Vec::new();
            }
            for message in messages {
                self.encode_message(&message, &mut outgoing);
            }
        }
        outgoing
    }

    /// Installs a snapshot from another member, if there is one. Returns false if its state can't be decoded:
    /// the sender then runs an incompatible version, and this member can't continue with it.
    fn install_snapshot(&mut self, snapshot: &raft::eraftpb::Snapshot) -> bool {
        if snapshot.get_metadata().index == 0 {
            return true;
        }
        let snapshot = WireSnapshot::from_snapshot(snapshot);
        let Some((state, applied)) = Self::restore(&snapshot) else {
            self.failure = Some(StorageError::Corrupt("a snapshot from another member".to_owned()));
            return false;
        };
        self.state = state;
        self.applied = applied;
        self.raft.mut_store().install_snapshot(snapshot);
        true
    }

    fn encode_message(&mut self, message: &Message, outgoing: &mut Vec<OutgoingMessage>) {
        if message.get_msg_type() == MessageType::MsgSnapshot {
            // The core would wait for ever for the outcome of a lost snapshot. As it is reported as finished
            // here, it is sent again after the next heartbeat response.
            self.raft.report_snapshot(message.to, raft::SnapshotStatus::Finish);
        }
        let bytes = wire::encode(message);
        outgoing.extend(bytes.map(|bytes| OutgoingMessage { to: message.to, bytes }));
    }

    /// Writes all pending changes to the storage. Returns false if this member's storage has failed.
    fn persist(&mut self) -> bool {
        let changes = self.raft.mut_store().take_pending_changes();
        if !changes.is_empty()
            && let Err(error) = self.storage.persist(&changes)
        {
            self.failure = Some(error);
        }
        self.failure.is_none()
    }

    /// Applies committed entries to the state.
    fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            // A new leader begins its term with an empty entry.
            if let Ok(command) = postcard::from_bytes(&entry.data)
                && !entry.data.is_empty()
            {
                self.state.apply(&command);
            }
            self.applied = entry.index;
        }
    }

    /// Takes a snapshot once the log holds twice the number of retained entries.
    fn compact_log(&mut self) {
        if self.applied + 1 >= self.raft.store().first() + 2 * RETAINED_ENTRIES {
            let data = encode(&self.state);
            self.raft.mut_store().compact(self.applied, data, RETAINED_ENTRIES);
        }
    }

    /// Why this member no longer takes part, if its storage has failed. It takes part again after a restart
    /// with a storage that works.
    pub fn failure(&self) -> Option<&StorageError> {
        self.failure.as_ref()
    }

    /// The leader that this member has accepted, if any.
    pub fn leader(&self) -> Option<MemberId> {
        Some(self.raft.raft.leader_id).filter(|leader| *leader != 0 && self.failure.is_none())
    }

    /// Whether this member considers itself the leader. Another one may have been elected since.
    pub fn is_leader(&self) -> bool {
        self.failure.is_none() && self.raft.raft.state == StateRole::Leader
    }

    /// The state after the entries that were applied so far on this member.
    pub fn state(&self) -> &M {
        &self.state
    }

    /// Index of the last entry that was applied to the state.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Number of messages that could not be decoded or were for another member.
    pub fn rejected_messages(&self) -> u64 {
        self.rejected_messages
    }
}
