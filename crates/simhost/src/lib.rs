//! Adapter to the simulator: decodes its wire protocol and runs one independent decision module per mixer.

pub mod codec;
pub mod host;
