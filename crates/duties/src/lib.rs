//! Duties that one mixer holds at a time.
//!
//! - [`Duties`] is what the council's log is about: who holds what, under which epoch, until when he may be silent. No clock
//!   decides in it.
//! - [`Grantor`] is the council's leader in this: by its own clock it sees who has been silent for too long, and chooses.
//! - [`Holder`] is a mixer's own side: until when it may act, by its own clock, counted from before it asked.
//!
//! Why no two act at once, with monotonic clocks whose rates differ by [`DRIFT`] at most: a holder that asked at *t* acts until
//! `t + length × (1 − DRIFT)` by its clock. Whoever grants anew has carried out that renewal later than *t*, and waits for
//! `length × (1 + DRIFT)` by its own clock from then. A grant names the last renewal that its grantor knew of, and is void in
//! the log if another stands before it. So neither a change of leaders nor an entry still on its way shortens a lease. What is
//! left is a pause between the last look at the clock and the effect itself: the effect carries its epoch, and whoever gets it
//! refuses a lower one than it has seen ([`Fence`]).

mod grantor;
mod holder;
mod machine;

pub use grantor::{Candidate, Grantor};
pub use holder::{Fence, Holder};
pub use machine::{Duties, Duty, Order};

/// The rates of two monotonic clocks differ by this share at most: crystals by a ten-thousandth, virtual machines by more.
pub const DRIFT: f64 = 0.02;
