//! A member of the council, without I/O but for its disk.

use std::fmt;

use oorandom::Rand64;
use raft::eraftpb::{Entry, Message, MessageType};
use raft::{Config, RawNode, StateRole};
use serde::{Deserialize, Serialize};

use crate::Member;
use crate::disk::{Disk, Fault, Kept};
use crate::ledger::{Ledger, Machine, bytes};
use crate::wire::{self, State};

/// How often [`Council::tick`] is to be called, in milliseconds.
pub const TICK_MS: u64 = 20;
/// The leader says that it is there this often: a write to a slow disk and a round trip are within it.
const HEARTBEAT: usize = 5;
/// One that has heard of no leader for so many ticks, and up to twice that by lot, asks whether it may stand: a stall of a fifth
/// of a second chooses nobody, and one that is gone is followed within a second.
const ELECTION: usize = 20;
/// Entries that are kept behind the state that is written down: who is further behind gets the state.
const LOG: u64 = 512;
/// Entries and bytes on their way to one member, and orders that may wait at the leader.
const ON_WAY: usize = 64;
const PIECE: u64 = 64 * 1024;
const WAITING: u64 = 256 * 1024;
/// Longest word, in bytes: more is none of ours.
const LONGEST: usize = 1 << 20;

/// What a council begins with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// This member's number; never zero.
    pub me: Member,
    /// All members' numbers, this one's among them.
    pub members: Vec<Member>,
    /// Differs between starts.
    pub seed: u64,
}

/// A word for another member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    pub to: Member,
    pub bytes: Vec<u8>,
}

/// Why an order is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// This member's disk failed.
    Broken,
    /// Nobody is known to lead, or too much waits.
    Nobody,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Broken => "this mixer's part in the council has ended, as its disk failed",
            Self::Nobody => "nobody is known to lead the council",
        })
    }
}

impl std::error::Error for Refused {}

/// A member of the council.
pub struct Council<M: Machine, D: Disk> {
    core: RawNode<Ledger>,
    disk: D,
    /// Why this member takes no part any more.
    broken: Option<Fault>,
    state: M,
    /// The last place that the state has seen.
    seen: u64,
    chance: Rand64,
    /// How many ticks it waits for a leader.
    drawn: usize,
    /// Words that could not be read or were not for this one.
    unfit: u64,
}

impl<M: Machine, D: Disk> Council<M, D> {
    /// Begins with what the disk kept: nothing, for one that is new.
    ///
    /// # Errors
    /// If what was kept can't be read, or the terms name no council.
    pub fn new(terms: &Terms, kept: &Kept, disk: D) -> Result<Self, Fault> {
        let ledger = Ledger::new(&terms.members, kept).map_err(Fault::Damaged)?;
        let (state, seen) = Self::unfold(ledger.folded()).ok_or(Fault::Damaged("a state".to_owned()))?;
        let config = Config {
            id: terms.me,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            min_election_tick: ELECTION,
            max_election_tick: 2 * ELECTION,
            applied: seen,
            pre_vote: true,
            check_quorum: true,
            max_size_per_msg: PIECE,
            max_inflight_msgs: ON_WAY,
            max_uncommitted_size: WAITING,
            ..Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let core =
            RawNode::new(&config, ledger, &quiet).map_err(|error| Fault::Damaged(error.to_string()))?;
        let chance = Rand64::new(u128::from(terms.seed) ^ 0xc0_0c11);
        let mut council = Self { core, disk, broken: None, state, seen, chance, drawn: 0, unfit: 0 };
        council.draw();
        Ok(council)
    }

    fn unfold(folded: &State) -> Option<(M, u64)> {
        match folded.index {
            0 => Some((M::default(), 0)),
            index => Some((postcard::from_bytes(&folded.data).ok()?, index)),
        }
    }

    /// The core draws how long it waits for a leader whenever it changes what it is, from a chance without a seed. This one has
    /// one, so that a day can be played again.
    fn draw(&mut self) {
        if self.core.raft.randomized_election_timeout() != self.drawn {
            self.drawn = ELECTION + self.chance.rand_range(0..ELECTION as u64) as usize;
            self.core.raft.set_randomized_election_timeout(self.drawn);
        }
    }

    /// Lets [`TICK_MS`] go by.
    pub fn tick(&mut self) {
        if self.broken.is_none() {
            self.core.tick();
            self.draw();
        }
    }

    /// Takes a word of another member. What can't be read, or is for another, is passed over.
    pub fn heard(&mut self, bytes: &[u8]) {
        if self.broken.is_some() {
            return;
        }
        let word = Some(bytes).filter(|b| b.len() <= LONGEST).and_then(wire::read);
        let mine = word.filter(|word| word.to == self.core.raft.id);
        let taken = mine.is_some_and(|word| self.core.step(word).is_ok());
        self.unfit += u64::from(!taken);
        self.draw();
    }

    /// Asks for an order to be put into the log. It may still come to nothing: only [`Council::state`] tells that it did not.
    ///
    /// # Errors
    /// If this member can't ask now.
    pub fn order(&mut self, order: &M::Order) -> Result<(), Refused> {
        if self.broken.is_some() {
            return Err(Refused::Broken);
        }
        self.core.propose(Vec::new(), bytes(order)).map_err(|_| Refused::Nobody)
    }

    /// What is to be said to others. Everything on which it rests is on the disk by then, or nothing is said any more.
    pub fn words(&mut self) -> Vec<Word> {
        let mut out = Vec::new();
        while self.broken.is_none() && self.core.has_ready() {
            let mut ready = self.core.ready();
            let given = ready.snapshot();
            if given.get_metadata().index > 0 {
                let given = State::of(given);
                // Whoever gives a state of another form speaks another language: this member can't go on with him.
                let Some((state, seen)) = Self::unfold(&given) else {
                    self.broken = Some(Fault::Damaged("a state that another has given".to_owned()));
                    return Vec::new();
                };
                (self.state, self.seen) = (state, seen);
                self.core.mut_store().install(given);
            }
            let (entries, hard) = (ready.take_entries(), ready.hs().cloned());
            let store = self.core.mut_store();
            store.append(&entries);
            hard.into_iter().for_each(|hard| store.set_hard(hard));
            if !self.keep() {
                return Vec::new();
            }
            let mut words = ready.take_messages();
            words.extend(ready.take_persisted_messages());
            let decided = ready.take_committed_entries();
            let mut light = self.core.advance(ready);
            self.draw();
            if let Some(upto) = light.commit_index() {
                self.core.mut_store().decided(upto);
            }
            words.extend(light.take_messages());
            self.see(decided);
            self.see(light.take_committed_entries());
            self.core.advance_apply();
            self.fold();
            if !self.keep() {
                return Vec::new();
            }
            for word in words {
                self.say(&word, &mut out);
            }
        }
        out
    }

    fn say(&mut self, word: &Message, out: &mut Vec<Word>) {
        if word.get_msg_type() == MessageType::MsgSnapshot {
            // Guards against a state that is lost on the way: the core would wait for it for ever. It is tried again with
            // the next heartbeat that is answered.
            self.core.report_snapshot(word.to, raft::SnapshotStatus::Finish);
        }
        out.extend(wire::bytes(word).map(|bytes| Word { to: word.to, bytes }));
    }

    /// Whether all that was noted is on the disk.
    fn keep(&mut self) -> bool {
        let changes = self.core.mut_store().take_noted();
        if !changes.is_empty()
            && let Err(fault) = self.disk.keep(&changes)
        {
            self.broken = Some(fault);
        }
        self.broken.is_none()
    }

    /// Carries out what was decided.
    fn see(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            // A leader begins with an entry that says nothing.
            if let Ok(order) = postcard::from_bytes(&entry.data)
                && !entry.data.is_empty()
            {
                self.state.carry_out(&order);
            }
            self.seen = entry.index;
        }
    }

    /// Keeps the log short.
    fn fold(&mut self) {
        if self.seen + 1 >= self.core.store().first() + 2 * LOG {
            let data = bytes(&self.state);
            self.core.mut_store().fold(self.seen, data, LOG);
        }
    }

    /// Why this member takes no part any more, if so. It does again with a new start, on a disk that can be written.
    pub fn broken(&self) -> Option<&Fault> {
        self.broken.as_ref()
    }

    /// Who leads, as far as this member knows.
    pub fn leader(&self) -> Option<Member> {
        Some(self.core.raft.leader_id).filter(|leader| *leader != 0 && self.broken.is_none())
    }

    /// Whether this member leads, as far as it knows.
    pub fn leads(&self) -> bool {
        self.broken.is_none() && self.core.raft.state == StateRole::Leader
    }

    /// What the log has led to so far, here.
    pub fn state(&self) -> &M {
        &self.state
    }

    /// The last place of the log that the state has seen.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// Words that could not be read, or were not for this one.
    pub fn unfit(&self) -> u64 {
        self.unfit
    }
}
