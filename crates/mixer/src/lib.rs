//! A mixer on sockets, around the decision module.

pub mod announcer;
pub mod buffer;
pub mod client;
pub mod client_handle;
pub mod clock;
pub mod counters;
pub mod discovery;
pub mod fleet;
pub mod frame;
pub mod http;
pub mod inputs;
pub mod link;
pub mod listener;
pub mod log;
pub mod messages;
pub mod outbox;
pub mod pauses;
pub mod reducer;
pub mod searcher;
pub mod service;
pub mod signals;
pub mod stream;
