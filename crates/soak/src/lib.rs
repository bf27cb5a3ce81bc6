//! Soak test of the mixer: a few dozen real processes on loopback, overlapping faults, and a check of invariants.
//!
//! Mixers run as they are deployed. Searchers, the discovery agent of each mixer, fault proxies and clients are processes of their
//! own ([`role`]), so that they can be stopped and killed by signals as in production. Each process records what it observes as
//! [`record::Event`]s, with times of the machine's monotonic clock, which all processes share. A [`run`] draws its faults from a
//! seed ([`fault`]), and [`checker`] checks the events against the rules of `docs/promises.md`. A mixer's own statements (its
//! `violations_` counters and its exit status) are checked beside the observations from outside.
//!
//! Not covered: the slow-start budget, the retry budget, steps of the wall clock. System calls fail only in runs with
//! [`run::Options::failing_syscalls`].

pub mod agent;
pub mod checker;
pub mod clients;
pub mod clock;
pub mod control;
pub mod fault;
pub mod process;
pub mod proxy;
pub mod record;
pub mod role;
pub mod run;
pub mod searcher;
pub mod settings;
