//! Singleton tasks (*duties*): each one is performed by one mixer at a time, under a lease.
//!
//! - [`DutyTable`] is the state machine of the replicated log: who holds which duty, under which epoch, and
//!   for how long the holder may go without a renewal. No clock is used in it.
//! - [`LeaseAssigner`] runs on the leader of the consensus group: it detects, by its own clock, which leases
//!   have expired, and chooses the next holders.
//! - [`LeaseHolder`] runs on each mixer: it computes until when the mixer may act, by its own clock, from the
//!   time at which the renewal was requested.
//!
//! Why no two mixers act at once, given monotonic clocks whose rates differ by at most [`MAX_CLOCK_DRIFT`]: a
//! holder that requested a renewal at time *t* acts until `t + length × (1 − MAX_CLOCK_DRIFT)` by its clock.
//! The assigner has applied that renewal later than *t*, and waits `length × (1 + MAX_CLOCK_DRIFT)` by its
//! own clock from then on before it grants the duty again. A grant contains the number of renewals that the
//! assigner had observed, and is void if the log has another renewal before it. So neither a change of leader
//! nor an entry that is still in flight shortens a lease. The remaining case is a pause between the holder's
//! last check of the clock and the effect itself. For this, each effect carries its epoch, and its receiver
//! rejects epochs lower than the highest it has seen ([`Fence`]).

mod assigner;
mod holder;
mod table;

pub use assigner::{Candidate, LeaseAssigner};
pub use holder::{Fence, LeaseHolder};
pub use table::{Duty, DutyTable, LeaseCommand, PastHolder};

/// Upper bound on the relative difference between the rates of two monotonic clocks: a ten-thousandth between
/// crystals, more between virtual machines.
pub const MAX_CLOCK_DRIFT: f64 = 0.02;
