//! A small BGP speaker, without I/O.
//!
//! It announces a mixer's service addresses and does nothing else. It stores no received routes: of the routes that peers
//! send it keeps only their number and whether they include one of its own addresses. Modules:
//!
//! - [`message`]: the codec (RFC 4271 section 4; RFC 4760, 5492, 6793, 7606, 9003, 2918).
//! - [`session`]: the state machine of one peer (RFC 4271 section 8, with collision detection, flap damping and bounded
//!   waiting times).
//! - [`rib`]: the routes wanted for a peer and those sent to it (Adj-RIB-Out), in a prefix trie.
//! - [`speaker`]: the sessions, routes and announcements of one mixer; [`show`]: its status as text.
//! - [`announce`]: whether each address is announced, depreferenced or withdrawn, and when a draining mixer may stop
//!   accepting scans.
//!
//! No module reads a clock or a socket. Everything received from a peer is bounded before it is stored: a message has at
//! most 4,096 bytes, path attributes are read in place, and routes are counted and dropped.

pub mod announce;
pub mod message;
pub mod rib;
pub mod session;
pub mod show;
pub mod speaker;
