//! Settings written by operators: a reader for S-expressions, and the checked settings file.
//!
//! [`sexpr`] parses text into a bounded tree with source positions; the expectation language uses it as well.
//! [`Settings`] is the operator's file, with an example in `deploy/`. The configuration that the platform gives a mixer is
//! JSON and is read by `pewterwharf-terms`. Nothing in this package does I/O.

mod bgp;
mod fleet;
mod keys;
mod names;
mod settings;
pub mod sexpr;

pub use bgp::{BgpAddress, BgpPeer, BgpSettings, ByPreference, DrainPhases, Threshold};
pub use fleet::{FleetPeer, FleetSettings};
pub use names::nearest_name;
pub use settings::{Explore, Log, LogFormat, Settings};
