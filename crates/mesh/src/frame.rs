//! What travels on a link.

use std::fmt;

use pewterwharf_peers::{FORMAT, Hello, Incarnation, Refusal};
use pewterwharf_replica::Word;
use serde::{Deserialize, Serialize};

/// Longest frame, in bytes, without its length.
pub const LONGEST: usize = 32 * 1024;

/// One word on a link; the first is the hello, whose form is the same in all formats up to its number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    Hello(Hello),
    /// Why the link is refused: on its way back, and the last.
    Refused(Refusal),
    /// The one that speaks leaves the fleet.
    Bye(Incarnation),
    /// A word of membership.
    Swim(Vec<u8>),
    Copy(Word),
}

/// Why bytes are no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// It says that it is longer than any.
    Long(usize),
    /// A hello of another format, whatever follows its number.
    Format(u16),
    /// Its bytes are not those that were sent.
    Sum,
    /// It is of no length, or not what its length says, or no word that is known.
    Malformed,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Long(length) => write!(f, "a frame of {length} bytes, {LONGEST} is the longest"),
            Self::Format(theirs) => write!(f, "a hello of format {theirs}"),
            Self::Sum => f.write_str("a frame that was changed on its way"),
            Self::Malformed => f.write_str("a frame that can't be read"),
        }
    }
}

impl std::error::Error for Unreadable {}

impl Frame {
    /// With its length and its sum. Guards against bytes that change on the way and still read as a word: the start of a
    /// mixer in a hello with one bit turned made a mixer stand aside for a process that never was.
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = vec![0; 8];
        // A vector takes whatever it is given.
        let body = postcard::to_allocvec(self).unwrap_or_default();
        bytes.extend_from_slice(&body);
        bytes[..4].copy_from_slice(&(body.len() as u32).to_le_bytes());
        bytes[4..8].copy_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes
    }

    /// The first frame of what has come, and how many bytes it took; none, while it is not whole.
    ///
    /// # Errors
    /// If it can't become one.
    pub fn read(bytes: &[u8]) -> Result<Option<(Self, usize)>, Unreadable> {
        let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_le_bytes(*length) as usize;
        if length > LONGEST {
            return Err(Unreadable::Long(length));
        }
        if length == 0 {
            return Err(Unreadable::Malformed);
        }
        let Some((sum, rest)) = rest.split_first_chunk::<4>() else { return Ok(None) };
        let Some(body) = rest.get(..length) else { return Ok(None) };
        if crc32fast::hash(body) != u32::from_le_bytes(*sum) {
            return Err(Unreadable::Sum);
        }
        match postcard::take_from_bytes(body) {
            Ok((frame, [])) => Ok(Some((frame, 8 + length))),
            Ok((Self::Hello(hello), _)) if hello.format != FORMAT => Err(Unreadable::Format(hello.format)),
            // Of a hello the number of the format comes first, whatever a later format makes of the rest.
            _ => match postcard::take_from_bytes::<(u32, u16)>(body) {
                Ok(((0, format), _)) if format != FORMAT => Err(Unreadable::Format(format)),
                _ => Err(Unreadable::Malformed),
            },
        }
    }

    /// Whether it may be left out where there is no room: rounds make up for it.
    pub fn soft(&self) -> bool {
        !matches!(self, Self::Hello(_) | Self::Refused(_) | Self::Bye(_))
    }
}
