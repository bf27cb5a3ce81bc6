//! Encoding of the messages between members, independent of the core's.

use raft::eraftpb::{ConfState, Entry, EntryType, Message, MessageType, Snapshot};
use serde::{Deserialize, Serialize};

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireEntry {
    /// Index into [`ENTRY_TYPES`]: zero for a command, others for membership changes.
    kind: u8,
    term: u64,
    index: u64,
    data: Vec<u8>,
}

/// A snapshot of the state machine, covering the log up to `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireSnapshot {
    pub index: u64,
    pub term: u64,
    pub voters: Vec<u64>,
    pub data: Vec<u8>,
}

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireMessage {
    /// Index into [`MESSAGE_TYPES`].
    kind: u8,
    to: u64,
    from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<WireEntry>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<WireSnapshot>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

/// The message types in the order of their numbers on the wire. Types that never leave a process are not
/// listed.
const MESSAGE_TYPES: [MessageType; 12] = [
    MessageType::MsgPropose,
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgTimeoutNow,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
    MessageType::MsgTransferLeader,
];
/// The entry types in the order of their numbers on the wire.
const ENTRY_TYPES: [EntryType; 3] =
    [EntryType::EntryNormal, EntryType::EntryConfChange, EntryType::EntryConfChangeV2];

fn position<T: PartialEq>(all: &[T], wanted: &T) -> Option<u8> {
    all.iter().position(|one| one == wanted).map(|index| index as u8)
}

impl WireEntry {
    pub(crate) fn from_entry(entry: &Entry) -> Self {
        let kind = position(&ENTRY_TYPES, &entry.get_entry_type()).unwrap_or(0);
        Self { kind, term: entry.term, index: entry.index, data: entry.data.to_vec() }
    }

    /// Returns `None` for an unknown entry type.
    pub(crate) fn into_entry(self) -> Option<Entry> {
        let mut entry = Entry::default();
        entry.set_entry_type(*ENTRY_TYPES.get(usize::from(self.kind))?);
        entry.term = self.term;
        entry.index = self.index;
        entry.data = self.data.into();
        Some(entry)
    }
}

impl WireSnapshot {
    pub(crate) fn from_snapshot(snapshot: &Snapshot) -> Self {
        let metadata = snapshot.get_metadata();
        Self {
            index: metadata.index,
            term: metadata.term,
            voters: metadata.get_conf_state().voters.clone(),
            data: snapshot.data.to_vec(),
        }
    }

    pub(crate) fn to_snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot { data: self.data.clone().into(), ..Snapshot::default() };
        let metadata = snapshot.mut_metadata();
        metadata.index = self.index;
        metadata.term = self.term;
        metadata.set_conf_state(ConfState { voters: self.voters.clone(), ..ConfState::default() });
        snapshot
    }
}

/// Encodes a message. Returns `None` for a type that never leaves a process.
pub(crate) fn encode(message: &Message) -> Option<Vec<u8>> {
    let has_snapshot = message.get_msg_type() == MessageType::MsgSnapshot;
    let snapshot = has_snapshot.then(|| WireSnapshot::from_snapshot(message.get_snapshot()));
    let wire = WireMessage {
        kind: position(&MESSAGE_TYPES, &message.get_msg_type())?,
        to: message.to,
        from: message.from,
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        entries: message.entries.iter().map(WireEntry::from_entry).collect(),
        commit: message.commit,
        commit_term: message.commit_term,
        snapshot,
        request_snapshot: message.request_snapshot,
        reject: message.reject,
        reject_hint: message.reject_hint,
        context: message.context.to_vec(),
        priority: message.priority,
    };
    postcard::to_allocvec(&wire).ok()
}

/// Decodes a message. Returns `None` if the bytes are not exactly one.
pub(crate) fn decode(bytes: &[u8]) -> Option<Message> {
    let (wire, rest): (WireMessage, _) = postcard::take_from_bytes(bytes).ok()?;
    if !rest.is_empty() {
        return None;
    }
    let mut message = Message::default();
    message.set_msg_type(*MESSAGE_TYPES.get(usize::from(wire.kind))?);
    message.to = wire.to;
    message.from = wire.from;
    message.term = wire.term;
    message.log_term = wire.log_term;
    message.index = wire.index;
    message.commit = wire.commit;
    message.commit_term = wire.commit_term;
    let entries: Option<Vec<Entry>> = wire.entries.into_iter().map(WireEntry::into_entry).collect();
    message.set_entries(entries?.into());
    if let Some(snapshot) = wire.snapshot {
        message.set_snapshot(snapshot.to_snapshot());
    }
    message.request_snapshot = wire.request_snapshot;
    message.reject = wire.reject;
    message.reject_hint = wire.reject_hint;
    message.context = wire.context.into();
    message.priority = wire.priority;
    Some(message)
}
