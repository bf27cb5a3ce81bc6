//! Bounded exploration of the decision module itself.
//!
//! Claims about behaviour (`never`, `always`, and the six rules) are not checked on a model of the module: the module
//! that runs in production is executed on a small part of the fleet, through the orders in which scans, ends of
//! dispatches, lost connections, timeouts, listed and unlisted changes, cold returns, restarts and waits may occur. The
//! module can't be copied, so a state is reached by running it again from the beginning ([`simulation`]). States with
//! the same debug output are treated as one ([`search`]). [`scenario`] selects the part of the fleet.
//!
//! A violation comes with a trace that can be replayed. Without one the claim holds within the bounds, which the
//! verdict states.

pub mod moves;
pub mod scenario;
pub mod search;
pub mod simulation;

pub use moves::Move;
pub use scenario::{EventLimits, Scenario};
pub use search::{Bounds, Exploration, explore, shrink};
pub use simulation::{Rule, Simulation, Subject, Violation};
