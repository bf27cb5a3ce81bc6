//! Expectations about routing, checked without sending anything.
//!
//! Operators write what must be true of a configuration and a searcher list ([`read`], the language in [`claim`]).
//! What follows from who holds what is judged over all cases of the failures they name ([`structural`]); what is sent and
//! answered is found by running the decision module itself ([`mod@explore`]). [`plan`] orders a season's moves so that
//! all of it holds after each. [`Suite`] is the entry: it reads, checks, and returns a [`Verdict`] for each.
//!
//! Nothing here does I/O; texts come in, verdicts go out. The same inputs give the same verdicts, whatever the number
//! of threads.

pub mod brute_force;
pub mod claim;
pub mod explore;
pub mod groups;
pub mod plan;
pub mod read;
pub mod structural;
mod suite;

pub use suite::{CheckOptions, Counterexample, Coverage, Outcome, Suite, Verdict};
