//! A small BGP speaker, without I/O.
//!
//! It announces a mixer's service addresses and nothing else: it learns no routes, and keeps of those that peers send
//! no more than a count, and whether one of its own addresses is among them. Five parts:
//!
//! - [`message`]: the codec (RFC 4271 section 4; 4760, 5492, 6793, 7606, 9003, 2918).
//! - [`session`]: the state machine of one peer (RFC 4271 section 8, with collision, damping and bounded waits):
//!   inputs and the time in, effects out.
//! - [`rib`]: the routes that a peer is to hold, and those that it does (Adj-RIB-Out), in a prefix trie.
//! - [`speaker`]: all of them together, for the peers of one mixer; [`show`]: what people are told of them.
//! - [`announce`]: whether each address is announced, depreferenced or withdrawn, and when scans may stop being taken.
//!
//! Nothing here reads a clock or a socket. Whatever a peer sends is bounded before it is kept: a message is at most 4,096
//! bytes, a path's attributes are read in place, routes are counted and dropped.

pub mod announce;
pub mod message;
pub mod rib;
pub mod session;
pub mod show;
pub mod speaker;
