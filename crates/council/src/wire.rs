//! Words between members, in a form of their own.

use raft::eraftpb::{ConfState, Entry, EntryType, Message, MessageType, Snapshot};
use serde::{Deserialize, Serialize};

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Line {
    /// Zero for an order; others are of changes of members.
    kind: u8,
    pub term: u64,
    index: u64,
    data: Vec<u8>,
}

/// A state that the log led to up to a place.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct State {
    pub index: u64,
    pub term: u64,
    pub voters: Vec<u64>,
    pub data: Vec<u8>,
}

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Form {
    kind: u8,
    to: u64,
    from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<Line>,
    commit: u64,
    commit_term: u64,
    state: Option<State>,
    request: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

/// All kinds of words, in the order of their numbers here; kinds that never leave a process are not among them.
const KINDS: [MessageType; 12] = [
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
const ENTRIES: [EntryType; 3] =
    [EntryType::EntryNormal, EntryType::EntryConfChange, EntryType::EntryConfChangeV2];

fn number<T: PartialEq>(all: &[T], one: &T) -> Option<u8> {
    all.iter().position(|t| t == one).map(|n| n as u8)
}

impl Line {
    pub(crate) fn of(entry: &Entry) -> Self {
        let kind = number(&ENTRIES, &entry.get_entry_type()).unwrap_or(0);
        Self { kind, term: entry.term, index: entry.index, data: entry.data.to_vec() }
    }

    pub(crate) fn entry(self) -> Option<Entry> {
        let mut entry = Entry::default();
        entry.set_entry_type(*ENTRIES.get(usize::from(self.kind))?);
        (entry.term, entry.index, entry.data) = (self.term, self.index, self.data.into());
        Some(entry)
    }
}

impl State {
    pub(crate) fn of(snapshot: &Snapshot) -> Self {
        let meta = snapshot.get_metadata();
        let voters = meta.get_conf_state().voters.clone();
        Self { index: meta.index, term: meta.term, voters, data: snapshot.data.to_vec() }
    }

    pub(crate) fn snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot { data: self.data.clone().into(), ..Snapshot::default() };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (self.index, self.term);
        meta.set_conf_state(ConfState { voters: self.voters.clone(), ..ConfState::default() });
        snapshot
    }
}

/// The bytes of a word; none for what never leaves a process.
pub(crate) fn bytes(word: &Message) -> Option<Vec<u8>> {
    let state = (word.get_msg_type() == MessageType::MsgSnapshot).then(|| State::of(word.get_snapshot()));
    let form = Form {
        kind: number(&KINDS, &word.get_msg_type())?,
        to: word.to,
        from: word.from,
        term: word.term,
        log_term: word.log_term,
        index: word.index,
        entries: word.entries.iter().map(Line::of).collect(),
        commit: word.commit,
        commit_term: word.commit_term,
        state,
        request: word.request_snapshot,
        reject: word.reject,
        reject_hint: word.reject_hint,
        context: word.context.to_vec(),
        priority: word.priority,
    };
    postcard::to_allocvec(&form).ok()
}

/// The word that these bytes are, if they are one.
pub(crate) fn read(bytes: &[u8]) -> Option<Message> {
    let form: Form = postcard::from_bytes(bytes).ok()?;
    let mut word = Message::default();
    word.set_msg_type(*KINDS.get(usize::from(form.kind))?);
    (word.to, word.from, word.term, word.log_term) = (form.to, form.from, form.term, form.log_term);
    (word.index, word.commit, word.commit_term) = (form.index, form.commit, form.commit_term);
    let entries: Option<Vec<Entry>> = form.entries.into_iter().map(Line::entry).collect();
    word.set_entries(entries?.into());
    if let Some(state) = form.state {
        word.set_snapshot(state.snapshot());
    }
    (word.request_snapshot, word.reject, word.reject_hint) = (form.request, form.reject, form.reject_hint);
    (word.context, word.priority) = (form.context.into(), form.priority);
    Some(word)
}
