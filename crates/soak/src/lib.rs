//! Soak test of the mixer: a few dozen real processes on loopback, faults that overlap in time, and a verdict by invariants.
//!
//! Mixers run as they are deployed. Searchers, the discovery agent of each mixer, fault proxies and clients are processes of their
//! own ([`role`]), so that signals stop and kill them like real ones. Each writes what it saw to a file of [`record::Event`]s, on the
//! one monotonic clock of the machine. A [`run`] draws its faults from a seed ([`trouble`]), and [`judge`] holds the events
//! against the promises of `docs/promises.md`; what a mixer says of itself (its `violations_` counters, its exit status) counts
//! beside what was seen from outside.
//!
//! Not covered: the slow-start budget, the retry budget, wall clocks that step, system calls that fail.

pub mod agent;
pub mod clients;
pub mod clock;
pub mod control;
pub mod fleet;
pub mod judge;
pub mod proxy;
pub mod record;
pub mod role;
pub mod run;
pub mod searcher;
pub mod settings;
pub mod trouble;
