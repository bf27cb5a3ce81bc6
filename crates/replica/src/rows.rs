//! The words for rows.

use pewterwharf_peers::Incarnation;
use serde::{Deserialize, Serialize};

/// Longest name of what a row is about, and longest value, in bytes.
pub const LONGEST_NAME: usize = 64;
pub const LONGEST_VALUE: usize = 256;
/// Ranges of an origin's counters that are compared where its versions agree.
pub const RANGES: u64 = 16;

/// A row as it travels: its value, or that it is deleted, and how old its evidence is, in milliseconds. Ages are counted by
/// each mixer's own clock while it holds the row, so that no clocks are compared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRow {
    pub kind: u8,
    pub name: String,
    pub counter: u64,
    pub age_ms: u32,
    pub value: Option<Vec<u8>>,
}

/// All rows of an origin whose counter is above `from` and not above `upto`, in their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBatch {
    pub origin: String,
    pub start: Incarnation,
    pub from: u64,
    pub through: u64,
    /// Highest counter of a deletion that whoever sends this has forgotten.
    pub floor: u64,
    pub why: Why,
    pub rows: Vec<WireRow>,
}

/// What a part is sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// What follows a version.
    Delta,
    /// All from the beginning, as deletions since that version may be forgotten; whether it is the last piece.
    Sweep { last: bool },
    /// A range in which rows differ though the versions agree.
    Repair,
}

/// What a mixer has of an origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub origin: String,
    pub start: Incarnation,
    pub through: u64,
    /// How far it is in taking all from the beginning.
    pub sweep: Option<u64>,
    /// Of all rows that are not deletions.
    pub digest: u64,
}

/// Why a part was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The file names no such origin.
    Unnamed,
    /// About this mixer itself, which knows better.
    OwnOrigin,
    /// Of an earlier start.
    Old,
    /// Something between is missing: it is asked for.
    Gap,
    /// A name, a value or an interval that can't be.
    Unfit,
    /// Over the origin's share.
    Share,
}

impl RejectReason {
    pub const ALL: [Self; 6] =
        [Self::Unnamed, Self::OwnOrigin, Self::Old, Self::Gap, Self::Unfit, Self::Share];

    /// The word for it in counts.
    pub fn word(self) -> &'static str {
        match self {
            Self::Unnamed => "origin_not_named",
            Self::OwnOrigin => "of_ourselves",
            Self::Old => "earlier_start",
            Self::Gap => "gap",
            Self::Unfit => "unfit",
            Self::Share => "over_its_share",
        }
    }
}

/// FNV-1a with a last mix: the same on all machines and in all versions.
pub(crate) struct Sum(u64);

impl Sum {
    pub fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    pub fn bytes(mut self, bytes: &[u8]) -> Self {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
        // So that ("ab", "c") and ("a", "bc") differ.
        self.number(bytes.len() as u64)
    }

    pub fn number(mut self, number: u64) -> Self {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        self
    }

    /// Mixed so that sums may be joined by exclusive or.
    pub fn end(self) -> u64 {
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }
}
