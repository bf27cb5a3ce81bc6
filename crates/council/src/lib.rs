//! An agreed log among the few mixers that the operator names.
//!
//! Agreement itself is `raft`, a core without I/O (why that one, and what was measured of others, stands in
//! `docs/duties.md`). This package is what stands round it:
//!
//! - one turn's changes go to the [`Disk`] in one piece before any word of that turn leaves ([`Council::words`]): what is said
//!   has lasted;
//! - a write that fails ends this member's part ([`Council::broken`]): the process serves on, and nobody hears of what was
//!   not kept;
//! - [`Machine`] is what the log is about. Its state is written down from time to time so that the log stays short, and whoever
//!   is far behind is given the state instead of the entries;
//! - where the direct way carries nothing, words go by way of others ([`Ways`]);
//! - words have a form of their own (`wire`), so that nothing of another is read by the core's;
//! - [`file`] keeps it all in a file with the names of its fleet and its member: a file of another is refused.

mod council;
mod disk;
pub mod file;
mod ledger;
mod ways;
mod wire;

pub use council::{Council, Refused, TICK_MS, Terms, Word};
pub use disk::{Change, Disk, Fault, Kept};
pub use ledger::Machine;
pub use ways::{Came, Hears, Parcel, Ways};

/// A member's number. It is drawn with the member's disk, so that one that has lost its disk is another member.
pub type Member = u64;
