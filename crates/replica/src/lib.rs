//! State that is replicated between the mixers of a fleet. No I/O: messages and the time go in, messages and
//! advice come out.
//!
//! A *record* is what one mixer, its *origin*, reports about one subject: kind, name, value, and the time of
//! its evidence. Only its origin writes it, so two values of one record never conflict: the later incarnation
//! of the origin wins, and within an incarnation the higher counter. The reports of several origins about one
//! subject are kept side by side and joined when they are read ([`kinds::RecordKind`]).
//!
//! - [`Replica`] holds the records. Mixers exchange them as a [`RecordBatch`]: *all* records of an origin
//!   whose counter lies in an interval. Batches are applied without gaps only, so one version for each origin
//!   describes everything that a mixer holds (delta-state CRDTs, Almeida et al., 2018; the ordering of
//!   Scuttlebutt, van Renesse et al., 2008).
//! - [`Exchange`] decides what is sent to whom and when: new records immediately, digests in periodic rounds,
//!   deltas where version vectors differ, digests of counter ranges where versions agree and records do not,
//!   and catch-up in pieces.
//! - [`PeerReportPolicy`] turns the reports of peers into bounded advice for the decision module. It ignores peers
//!   whose recent reports were wrong.
//!
//! Invariants: merges are commutative, associative and idempotent; wall clocks are never compared; the number
//! of records and their bytes are bounded for each origin, whatever is received; a deleted record is never
//! restored from an old copy.

pub mod kinds;

mod exchange;
mod policy;
mod record;
mod store;

pub use exchange::{CatchUpProgress, Exchange, OutgoingMessage, ReplicaMessage};
pub use policy::{Advice, LocalStatus, PeerReportPolicy, Trust};
pub use record::{
    BatchKind, DIGEST_RANGES, MAX_NAME_BYTES, MAX_VALUE_BYTES, OriginVersion, RecordBatch, RejectReason,
    WireRecord,
};
pub use store::{
    Delta, Limits, OriginState, RangeDigests, RecordChange, RecordView, Replica, ReplicaSize, Report,
};
