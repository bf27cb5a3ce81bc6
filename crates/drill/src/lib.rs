//! Fault-injection tests ("drills") of several `pewterwharf-mixer` processes on loopback.
//!
//! A [`Script`] defines the number of mixers and searchers, the load in scans a second, the faults with their times, and what
//! is expected after the last of them. [`run`] starts the processes, each with its own files. Each directed path between two
//! mixers, and that from each mixer to its discovery server, goes through a gate that can inject faults. Searchers,
//! discovery and clients are simulated; they count what ran and what was answered, so that no figure depends on the program
//! under test.
//!
//! Every drill checks these invariants: each scan gets one final answer unless its mixer was killed; no entry runs twice;
//! mixers stop sending to a draining searcher that discovery has reported to them; the mixers together do not overload a
//! cold searcher; no process ends by itself; no process spins.
//!
//! A check polls for an observable condition up to a time limit; it never relies on a fixed sleep. The figures in the report
//! (shares, times) depend on the machine; whether a drill passes must not.

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
pub use script::{Action, Expect, PathEnds, Paths, Script, StateOnStart, Step};
