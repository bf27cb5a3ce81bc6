//! Bounded exploration of the decision module itself.
//!
//! What is asked of behaviour (`never`, `always`, and the six rules) is not derived from a description of the module:
//! the module that decides in service is run, on a small part of the fleet, through the orders in which scans,
//! endings, lost connections, time-outs, list changes told and untold, cold returns, restarts and waits may come.
//! A state is reached by running the module anew from the beginning ([`simulation`]), as it can't be copied; states that
//! print the same are one ([`search`]). [`scenario`] picks the part of the fleet.
//!
//! What is found is a trace that replays. What is not found was not there within the bound, which the verdict tells.

pub mod moves;
pub mod scenario;
pub mod search;
pub mod simulation;

pub use moves::Move;
pub use scenario::{EventLimits, Scenario};
pub use search::{Bounds, Exploration, explore, shrink};
pub use simulation::{Rule, Simulation, Subject, Violation};
