//! Expectations about routing, checked without sending anything.
//!
//! Operators write what must hold for a configuration and a searcher list ([`read`]; [`claim`] is the language).
//! Claims that follow from the placement are checked in all cases of the failures that they name ([`structural`]).
//! Claims about what is sent and answered are checked by running the decision module itself ([`mod@explore`]). [`plan`]
//! orders the moves of a migration so that all claims hold after each. [`Suite`] is the entry point: it reads a file,
//! checks it, and returns a [`Verdict`] for each expectation.
//!
//! The crate does no I/O. The same inputs give the same verdicts, whatever the number of threads.

pub mod brute_force;
pub mod claim;
pub mod explore;
pub mod groups;
pub mod plan;
pub mod read;
pub mod structural;
mod suite;

pub use suite::{CheckOptions, Counterexample, Coverage, Outcome, Replay, Suite, Verdict};
