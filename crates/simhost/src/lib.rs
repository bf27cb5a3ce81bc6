//! The bench adapter: the simulator's wire on one side, one independent decision module per mixer on the other.

pub mod codec;
pub mod host;
