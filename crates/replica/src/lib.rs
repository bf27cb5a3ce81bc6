//! Copies of what matters, held by all mixers of a fleet. No I/O: words and the time come in, words and advice go out.
//!
//! A *row* is what one mixer, its *origin*, says of one thing: kind, name, value, the time of its evidence. Only its origin
//! writes it, so two values of one row never compete: of one origin the later start wins, and within a start the higher
//! counter. What several origins say of one thing is kept side by side and joined when it is looked at ([`kinds::Kind`]).
//!
//! - [`Replica`] holds the rows. What goes from mixer to mixer is a [`Part`]: *all* rows of an origin whose counter lies in an
//!   interval. Parts are taken without gaps only, so a version for each origin says all that a mixer has (delta-state CRDTs,
//!   Almeida et al., 2018; the order of Scuttlebutt, van Renesse et al., 2008).
//! - [`Exchange`] decides who is told what and when: new rows at once, sums in rounds, deltas where they differ, digests of
//!   ranges where versions agree and rows do not, catch-up in pieces.
//! - [`Heed`] decides what a mixer makes of copies: advice to its decision module, bounded, and weighed by how far each peer
//!   has been right of late.
//!
//! Invariants: merges are commutative, associative and idempotent; no wall clock is compared; rows, bytes and an origin's
//! share of them are bounded, whatever comes; a row that was forgotten never comes back from an old copy.

pub mod kinds;

mod exchange;
mod policy;
mod rows;
mod store;

pub use exchange::{Exchange, Progress, Word};
pub use policy::{Advice, LocalStatus, PeerReportPolicy, Trust};
pub use rows::{Entry, LONGEST_NAME, LONGEST_VALUE, RANGES, RecordBatch, RejectReason, Why, WireRow};
pub use store::{Delta, Limits, News, OriginState, Replica, Report};
