//! A replicated log among the few mixers that the operator names, agreed upon by consensus.
//!
//! The consensus algorithm itself is `raft`, a core without I/O (`docs/duties.md` compares it with others).
//! This package adds:
//!
//! - Durability: all changes of a turn are written to [`StableStorage`] in one piece before any message of that
//!   turn is sent ([`ConsensusNode::messages`]), so other members can rely on what the messages state.
//! - Storage failures: a failed write ends this member's participation ([`ConsensusNode::failure`]). The
//!   process keeps serving, and no message that depends on the failed write is sent.
//! - The [`StateMachine`] to which the log's commands are applied. Snapshots of its state keep the log short,
//!   and a member that is far behind is sent a snapshot instead of the entries.
//! - Relaying: if the direct path to a member fails, messages go over other members ([`Router`]).
//! - An encoding of messages (`wire`), so that the core's decoder parses no data from other members.
//! - A storage file ([`mod@file`]), which contains the names of its fleet and its member. Files of others are
//!   rejected.

pub mod file;
mod log;
mod node;
mod routing;
mod storage;
mod wire;

pub use log::StateMachine;
pub use node::{ConsensusConfig, ConsensusNode, OutgoingMessage, ProposeError, TICK_INTERVAL_MS};
pub use routing::{LinkState, Packet, Received, RoutedPacket, Router};
pub use storage::{PersistedState, StableStorage, StorageChange, StorageError};

/// Number of a member. It is drawn together with the member's storage, so a mixer that has lost its storage
/// is a new member.
pub type MemberId = u64;
