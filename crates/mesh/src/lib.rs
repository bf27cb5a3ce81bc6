//! Links between the mixers of a fleet.
//!
//! [`Node`] joins the cores (`peers`, `replica`) without I/O: what has come and the time go in, words for links and advice for
//! the decision module come out; the tests play many of them on a seeded network. [`Mesh`] is the thin shell: one thread,
//! `mio`, TCP.
//!
//! A *link* leads one way: a mixer opens one to each peer and speaks on it, and what a peer says comes on the link that the
//! peer opened. So a way that is cut in one direction is exactly one link that carries nothing. On a link's way back comes
//! at most one frame, the reason for which it is refused.
//!
//! A frame is its length (4 bytes, little-endian, [`LONGEST`] at most), the CRC-32 of what follows (4 bytes, the same way) and a
//! [`Frame`] in `postcard`. Whatever can't be read ends
//! that link, with a count, and nothing else. No frame is waited for by anybody who serves a scan. There is no encryption and
//! no sign-in: the listener belongs on a network of the mixers' own.

mod frame;
mod links;
mod node;
mod show;

pub use frame::{Frame, LONGEST, Unreadable};
pub use links::{Mesh, MeshConfig, MeshHandle};
pub use node::{LocalReport, LocalStatus, Node, Out};
pub use show::{FleetStatus, Member};
