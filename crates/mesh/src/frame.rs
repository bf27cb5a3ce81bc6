//! Frames on a link.

use std::fmt;

use pewterwharf_peers::{FORMAT, Hello, Incarnation, LinkRejection};
use pewterwharf_replica::ReplicaMessage;
use serde::{Deserialize, Serialize};

/// Longest body of a frame.
pub const MAX_FRAME_BYTES: usize = 32 * 1024;
/// Length and checksum.
const HEADER_BYTES: usize = 8;

/// The body of a frame. The first one on a link is the hello, which has the same layout in all formats up to
/// and including its format number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    Hello(Hello),
    /// Why the link is rejected. Sent in the reverse direction, as the last frame.
    Rejected(LinkRejection),
    /// The sender leaves the fleet.
    Bye(Incarnation),
    /// A membership message.
    Swim(Vec<u8>),
    Replica(ReplicaMessage),
}

/// Why bytes can't be decoded as a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The length exceeds [`MAX_FRAME_BYTES`].
    TooLong(usize),
    /// A hello with another format number.
    FormatMismatch(u16),
    ChecksumMismatch,
    /// The length is zero, does not match the content, or the content is unknown.
    Malformed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(length) => {
                write!(f, "frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}")
            }
            Self::FormatMismatch(theirs) => write!(f, "hello in format {theirs}"),
            Self::ChecksumMismatch => f.write_str("frame checksum does not match"),
            Self::Malformed => f.write_str("malformed frame"),
        }
    }
}

impl std::error::Error for FrameError {}

impl Frame {
    /// Encodes the frame with its length and checksum. The checksum guards against corruption that still
    /// decodes: a single flipped bit in the incarnation of a hello once made a mixer leave the fleet as superseded
    /// by a process that never existed.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEADER_BYTES];
        // Serialization into a vector can't fail.
        let body = postcard::to_allocvec(self).unwrap_or_default();
        bytes.extend_from_slice(&body);
        bytes[..4].copy_from_slice(&(body.len() as u32).to_le_bytes());
        bytes[4..8].copy_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes
    }

    /// Decodes the first frame and returns it with its length in bytes, or `None` while it is incomplete.
    ///
    /// # Errors
    /// If the bytes are not the beginning of a valid frame.
    pub fn decode(bytes: &[u8]) -> Result<Option<(Self, usize)>, FrameError> {
        let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_le_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if length == 0 {
            return Err(FrameError::Malformed);
        }
        let Some((checksum, rest)) = rest.split_first_chunk::<4>() else { return Ok(None) };
        let Some(body) = rest.get(..length) else { return Ok(None) };
        if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
            return Err(FrameError::ChecksumMismatch);
        }
        match postcard::take_from_bytes(body) {
            Ok((frame, [])) => Ok(Some((frame, HEADER_BYTES + length))),
            Ok((Self::Hello(hello), _)) if hello.format != FORMAT => {
                Err(FrameError::FormatMismatch(hello.format))
            }
            // The format number comes first in a hello, so it can be read whatever a later format adds.
            _ => match postcard::take_from_bytes::<(u32, u16)>(body) {
                Ok(((0, format), _)) if format != FORMAT => Err(FrameError::FormatMismatch(format)),
                _ => Err(FrameError::Malformed),
            },
        }
    }

    /// Whether the frame may be dropped when a queue is full. A later gossip round compensates for the loss.
    pub fn is_droppable(&self) -> bool {
        !matches!(self, Self::Hello(_) | Self::Rejected(_) | Self::Bye(_))
    }
}
