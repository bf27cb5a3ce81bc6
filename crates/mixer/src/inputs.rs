//! What the threads tell the reducer, what it answers, and the phases between start and exit: words only, below all that
//! use them.

use std::net::SocketAddrV4;

use pewterwharf::interface::Event;
use pewterwharf_terms::ConfigChange;
use pewterwharf_terms::list::List;

use crate::frame::Frame;
use crate::http::Ask;

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Input {
    ClientOpen {
        conn: u64,
    },
    Asked {
        conn: u64,
        ask: Ask,
        close: bool,
    },
    /// More was read behind the request that is open, or told of next.
    SentBehind {
        conn: u64,
    },
    /// A request has begun to come and is not whole.
    Begun {
        conn: u64,
    },
    ClientEnd {
        conn: u64,
    },
    /// An answer to it could not be written at once.
    Slow {
        conn: u64,
    },
    /// It was written whole since.
    Said {
        conn: u64,
    },
    /// It still sends after its last answer.
    Sends {
        conn: u64,
    },
    /// All that waited to be accepted are, and no more will be.
    ListenerClosed,
    /// A client could not be accepted; whether that is since the process has no descriptor left.
    AcceptFailed {
        is_full: bool,
    },
    LinkUp {
        link: u64,
    },
    /// A searcher takes no more for now: what waits for the link waits on. Whether it took any since that was told last.
    LinkBlocked {
        link: u64,
        took_some: bool,
    },
    /// It takes more again.
    LinkHasRoom {
        link: u64,
    },
    /// It is over; so many frames were written whole.
    LinkEnd {
        link: u64,
        written: u64,
    },
    /// What came on it together, and why nothing that follows can be read.
    Frames {
        link: u64,
        frames: Vec<Frame>,
        bad: Option<String>,
    },
    /// What a watch told, by its number.
    List {
        watch: u64,
        list: List,
    },
    /// The configuration was read anew; why it can't be used.
    Reloaded(Result<ConfigChange, String>),
    WatchLost,
    /// The process stood still for a while.
    StoodStill,
    /// What is heeded of the words of other mixers.
    Heard(Vec<Event>),
    /// Asked to end.
    Stop,
    /// Asked for the counters.
    Report,
}

/// What is to be done outside, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Answer {
        conn: u64,
        bytes: Vec<u8>,
        last: bool,
    },
    /// Reads no further from a client than to what it has sent.
    HangUp {
        conn: u64,
    },
    /// Lets go of a connection once all answers are written.
    DropClient {
        conn: u64,
    },
    Connect {
        link: u64,
        addr: SocketAddrV4,
    },
    /// Something waits to be written on a link: [`crate::reducer::Reducer::next_frame`].
    Send {
        link: u64,
    },
    /// Tries once more to write on a link whose searcher takes no more.
    Retry {
        link: u64,
    },
    CloseLink {
        link: u64,
    },
    StopListening,
    /// Begins a further watch of that number.
    Watch {
        number: u64,
        at: SocketAddrV4,
    },
    /// Lists of this watch are gone by from now on.
    Heard {
        watch: u64,
    },
    Print(String),
}

/// The phases of the program, from start to exit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// No list of searchers is held yet.
    Opening,
    Ready,
    /// Asked to end: new connections are served until then, and what was taken is answered.
    Draining {
        listen_until: f64,
        listening: bool,
        /// At the latest: the platform waits no longer.
        until: f64,
    },
    Closed,
}
