//! A mixer on sockets, round the decision module.

pub mod announcing;
pub mod buffer;
pub mod client;
pub mod clock;
pub mod copies;
pub mod counters;
pub mod discovery;
pub mod frame;
pub mod http;
pub mod inputs;
pub mod line;
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
