//! The reducer's inputs and effects, and the phases between start and exit. Plain types without behaviour, below all modules that
//! use them.

use std::net::SocketAddrV4;

use pewterwharf::interface::Event;
use pewterwharf_terms::ConfigChange;
use pewterwharf_terms::list::List;

use crate::frame::Frame;
use crate::http::Ask;

/// What happened outside the reducer.
#[derive(Clone, Debug)]
pub enum Input {
    ClientConnected {
        conn: u64,
    },
    /// A client's request has been read whole. With `close`, the connection ends with its answer.
    Request {
        conn: u64,
        ask: Ask,
        close: bool,
    },
    /// More bytes are buffered behind the request that is open, or behind the one that is reported next.
    MoreDataBuffered {
        conn: u64,
    },
    /// The first bytes of a request have arrived, but not all of it.
    RequestStarted {
        conn: u64,
    },
    ClientDisconnected {
        conn: u64,
    },
    /// An answer could not be written at once.
    AnswerDelayed {
        conn: u64,
    },
    /// The delayed answer has been written completely.
    AnswerWritten {
        conn: u64,
    },
    /// The client still sends after its last answer.
    DataAfterLastAnswer {
        conn: u64,
    },
    /// All connections that waited to be accepted are accepted, and no more will be.
    ListenerClosed,
    /// A client could not be accepted.
    AcceptFailed {
        /// The reason is that the process has no file descriptor left.
        out_of_descriptors: bool,
    },
    LinkUp {
        link: u64,
    },
    /// A searcher accepts no more bytes for now: whatever waits for the link keeps waiting.
    LinkBlocked {
        link: u64,
        /// The searcher accepted some bytes since the last report.
        made_progress: bool,
    },
    /// The searcher accepts bytes again.
    LinkWritable {
        link: u64,
    },
    LinkClosed {
        link: u64,
        /// Number of frames that were written completely.
        frames_written: u64,
    },
    /// Frames that arrived together on a link.
    Frames {
        link: u64,
        frames: Vec<Frame>,
        /// Why nothing after these frames can be read.
        error: Option<String>,
    },
    /// A searcher list that arrived on the watch with this number.
    List {
        watch: u64,
        list: List,
    },
    /// The configuration was read again, or the reason why it is unusable.
    ConfigReloaded(Result<ConfigChange, String>),
    WatchLost,
    /// The whole process did not run for a while.
    ProcessPaused,
    /// Events that result from what other mixers of the fleet report.
    FleetEvents(Vec<Event>),
    /// The process was asked to end.
    Stop,
    PrintCounters,
}

/// What the service has to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Answer {
        conn: u64,
        bytes: Vec<u8>,
        last: bool,
    },
    /// Closes a client's connection once everything that it has sent so far is read and answered.
    CloseClient {
        conn: u64,
    },
    /// Releases a connection once all its answers are written.
    ReleaseClient {
        conn: u64,
    },
    Connect {
        link: u64,
        addr: SocketAddrV4,
    },
    /// Something waits to be written on a link; see [`crate::reducer::Reducer::next_frame`].
    Send {
        link: u64,
    },
    /// Tries again to write on a blocked link.
    RetryWrite {
        link: u64,
    },
    CloseLink {
        link: u64,
    },
    StopListening,
    StartWatch {
        number: u64,
        addr: SocketAddrV4,
    },
    /// From now on this watch's lists are used.
    WatchActivated {
        watch: u64,
    },
    PrintCounters(String),
}

/// The phases of the process, from start to exit. Times are milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// No list of searchers is held yet.
    Starting,
    Ready,
    /// The process was asked to end: new connections are served until `listen_until`, and every request taken is answered.
    Draining {
        listen_until: f64,
        listening: bool,
        /// The latest time to exit, as the platform waits no longer.
        until: f64,
    },
    Closed,
}
