//! The reducer's inputs and effects, and the phases between start and exit. Plain types without behaviour,
//! below all modules that use them.

use std::net::SocketAddrV4;

use pewterwharf::interface::Event;
use pewterwharf_terms::ConfigChange;
use pewterwharf_terms::list::List;

use crate::clock::UnixMs;
use crate::frame::{Frame, FrameError};
use crate::http::RequestKind;

/// Identifies a client's connection. Ids are assigned in the order in which connections are accepted.
pub type ConnectionId = u64;
/// Identifies a link, which is a connection to a searcher.
pub type LinkId = u64;
/// The number of a watch. A later watch has a larger number.
pub type WatchNumber = u64;

/// What happened outside the reducer.
#[derive(Clone, Debug)]
pub enum Input {
    ClientConnected {
        connection_id: ConnectionId,
    },
    /// A client's request has been read whole. With `close`, the connection ends with its answer.
    Request {
        connection_id: ConnectionId,
        kind: RequestKind,
        close: bool,
    },
    /// More bytes are buffered behind the request that is open, or behind the one that is reported next.
    MoreDataBuffered {
        connection_id: ConnectionId,
    },
    /// The first bytes of a request have arrived, but not all of it.
    RequestStarted {
        connection_id: ConnectionId,
    },
    ClientDisconnected {
        connection_id: ConnectionId,
    },
    /// An answer could not be written at once.
    AnswerDelayed {
        connection_id: ConnectionId,
    },
    /// The delayed answer has been written completely.
    AnswerWritten {
        connection_id: ConnectionId,
    },
    /// The client still sends after its last answer.
    DataAfterLastAnswer {
        connection_id: ConnectionId,
    },
    /// All connections that waited to be accepted are accepted, and no more will be.
    ListenerClosed,
    /// A client could not be accepted.
    AcceptFailed {
        /// The reason is that the process has no file descriptor left.
        out_of_descriptors: bool,
    },
    LinkUp {
        link: LinkId,
    },
    /// A searcher accepts no more bytes for now: whatever waits for the link keeps waiting.
    LinkBlocked {
        link: LinkId,
        /// The searcher accepted some bytes since the last report.
        made_progress: bool,
    },
    /// The searcher accepts bytes again.
    LinkWritable {
        link: LinkId,
    },
    LinkClosed {
        link: LinkId,
        /// Number of frames that were written completely.
        frames_written: u64,
    },
    /// Frames that arrived together on a link.
    Frames {
        link: LinkId,
        frames: Vec<Frame>,
        /// Why the bytes directly behind these frames, and all later ones, can't be read.
        error: Option<FrameError>,
    },
    /// A searcher list that arrived on the watch with this number.
    List {
        watch: WatchNumber,
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

/// An input, and when it happened.
#[derive(Clone, Debug)]
pub struct TimedInput {
    pub at: UnixMs,
    pub input: Input,
}

/// What the service has to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Answer {
        connection_id: ConnectionId,
        bytes: Vec<u8>,
        last: bool,
    },
    /// Closes a client's connection once everything that it has sent so far is read and answered.
    CloseClient {
        connection_id: ConnectionId,
    },
    /// Releases a connection once all its answers are written.
    ReleaseClient {
        connection_id: ConnectionId,
    },
    Connect {
        link: LinkId,
        address: SocketAddrV4,
    },
    /// Something waits to be written on a link; see [`crate::reducer::Reducer::next_frame`].
    Send {
        link: LinkId,
    },
    /// Tries again to write on a blocked link.
    RetryWrite {
        link: LinkId,
    },
    CloseLink {
        link: LinkId,
    },
    StopListening,
    StartWatch {
        number: WatchNumber,
        address: SocketAddrV4,
    },
    /// From now on this watch's lists are used.
    WatchActivated {
        watch: WatchNumber,
    },
    PrintCounters(String),
}

/// The phases of the process, from start to exit. Times are milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// No list of searchers is held yet.
    Starting,
    Ready,
    /// The process was asked to end: new connections are served until `listen_until`, and every request taken
    /// is answered.
    Draining {
        listen_until: UnixMs,
        listening: bool,
        /// The latest time to exit, as the platform waits no longer.
        until: UnixMs,
    },
    Closed,
}
