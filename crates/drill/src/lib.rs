//! Drills: several processes of `pewterwharf-mixer` on loopback, and faults between them.
//!
//! A [`Script`] says how many mixers and searchers there are, how many scans a second come, which fault comes when, and what is
//! expected after the last of them. [`run`] starts the processes, each with files of its own; each directed path between two
//! mixers runs through a gate of the rig, and each mixer has its own way to discovery. Searchers, discovery and clients are
//! stand-ins; what was run, and what was answered, is counted by them and not asked of the program.
//!
//! What always has to hold, unasked: each scan gets one final answer unless its mixer was killed; nothing that may not runs
//! twice; a drain that a mixer's list told is kept; no cold searcher is pushed over by the sum of all; no process ends unasked.
//!
//! A verdict waits for what is observed, with a ceiling, never for a time to be enough. The figures beside it (shares, times)
//! depend on the machine; the verdicts must not.

mod checks;
mod gate;
mod harness;
mod process;
mod random;
mod report;
mod script;
mod test_bed;

pub use harness::{Options, run};
pub use random::{draw, shrink};
pub use report::{ExpectationResult, Report, ScanSummary, Violation};
pub use script::{Action, Expect, Paths, Script, StateOnStart, Step};
