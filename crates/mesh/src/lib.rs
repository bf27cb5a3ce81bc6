//! Links between the mixers of a fleet.
//!
//! [`Node`] combines the `peers` and `replica` packages without I/O: received frames and the time go in,
//! frames to send and advice for the decision module come out. The tests run many nodes on a seeded simulated
//! network. [`Mesh`] is the I/O around it: one thread, `mio`, TCP.
//!
//! A *link* is used in one direction: a mixer opens one to each peer and sends on it, and receives on the
//! links that its peers opened. So a network path that fails in one direction affects exactly one link. In
//! the reverse direction of a link at most one frame is sent: the reason why the link was rejected.
//!
//! A frame consists of its length (4 bytes, little-endian, at most [`MAX_FRAME_BYTES`]), the CRC-32 of its
//! body (4 bytes, little-endian), and its body, a [`Frame`] in `postcard` encoding. An unreadable frame
//! closes its link and is counted; nothing else is affected. No scan ever waits for a frame. There is no
//! encryption and no authentication, so the listener must be on a network that only mixers can reach.

mod frame;
mod links;
mod node;
mod status;

pub use frame::{Frame, FrameError, MAX_FRAME_BYTES};
pub use links::{Mesh, MeshConfig, MeshHandle};
pub use node::{LocalReport, LocalStatus, Node, NodeOutput};
pub use status::{FleetStatus, MemberStatus};
