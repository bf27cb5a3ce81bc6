//! A replicated log among the few mixers that the operator names, agreed upon by consensus.
//!
//! The consensus algorithm itself is `raft`, a core without I/O (`docs/duties.md` tells why this one was
//! chosen and what was measured of others). This package adds what surrounds it:
//!
//! - All changes of a turn are written to [`StableStorage`] in one piece before any message of that turn is
//!   sent ([`ConsensusNode::messages`]), so that whatever was promised is durable.
//! - A failed write ends this member's participation ([`ConsensusNode::failure`]): the process keeps serving,
//!   and no other member learns of what was not stored.
//! - [`StateMachine`] is what the log is about. Snapshots of its state keep the log short, and a member that
//!   is far behind is sent a snapshot instead of the entries.
//! - If the direct path to a member fails, messages are relayed by other members ([`Router`]).
//! - Messages have an encoding of their own (`wire`), so that no data from other members is parsed by the
//!   core's.
//! - [`mod@file`] stores everything in a file that contains the names of its fleet and its member. Files of
//!   others are rejected.

pub mod file;
mod log;
mod node;
mod routing;
mod storage;
mod wire;

pub use log::StateMachine;
pub use node::{ConsensusConfig, ConsensusNode, OutgoingMessage, ProposeError, TICK_INTERVAL_MS};
pub use routing::{LinkState, Packet, Received, Router};
pub use storage::{PersistedState, StableStorage, StorageChange, StorageError};

/// Number of a member. It is drawn together with the member's storage, so a mixer that has lost its storage
/// is a new member.
pub type MemberId = u64;
