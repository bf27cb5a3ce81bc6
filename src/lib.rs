//! pewterwharf: the decisions of a mixer, which reads many shards for one scan.

pub mod interface;
pub mod logic;
pub mod report;
mod state;
