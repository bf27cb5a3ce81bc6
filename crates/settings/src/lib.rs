//! What operators write themselves: the one reader of S-expressions, and the one place where the operator's own
//! file is checked.
//!
//! [`form`] turns text into a bounded tree with lines and columns; the language of expectations is read through it
//! as well. [`Settings`] is the operator's file under `deploy/`. What the platform tells a mixer stays JSON and is
//! read by `pewterwharf-terms`. Nothing here does I/O.

mod bgp;
mod fleet;
pub mod form;
mod keys;
mod names;
mod settings;

pub use bgp::{Bgp, BgpAddress, BgpPeer};
pub use fleet::{Fleet, FleetPeer};
pub use names::near;
pub use settings::{Explore, Log, LogForm, Settings};
