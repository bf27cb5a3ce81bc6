//! Records and batches of records as they travel between mixers.

use pewterwharf_peers::Incarnation;
use serde::{Deserialize, Serialize};

pub const MAX_NAME_BYTES: usize = 64;
pub const MAX_VALUE_BYTES: usize = 256;
/// Number of counter ranges whose digests are compared when two mixers hold the same version of an origin.
pub const DIGEST_RANGES: u64 = 16;

/// A record on the wire. The age of its evidence is sent instead of a timestamp: each mixer counts the age by
/// its own clock while it holds the record, so no two clocks are ever compared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRecord {
    pub kind: u8,
    pub name: String,
    pub counter: u64,
    pub age_ms: u32,
    /// `None` for a tombstone.
    pub value: Option<Vec<u8>>,
}

/// All records of an origin with a counter above `after` and up to `through`, in ascending order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBatch {
    pub origin: String,
    pub incarnation: Incarnation,
    pub after: u64,
    pub through: u64,
    /// Highest counter of a tombstone that the sender has already discarded.
    pub tombstone_floor: u64,
    pub kind: BatchKind,
    pub records: Vec<WireRecord>,
}

/// Why a batch is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchKind {
    /// The records that follow the receiver's version.
    Delta,
    /// A piece of all records, starting at counter zero. Sent when tombstones newer than the receiver's
    /// version may have been discarded. `last` marks the final piece.
    FullSync { last: bool },
    /// A counter range in which the records differ although the versions agree.
    Repair,
}

/// One entry of a version vector: what a mixer holds of an origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginVersion {
    pub origin: String,
    pub incarnation: Incarnation,
    pub version: u64,
    /// Counter that a full sync in progress has reached.
    pub full_sync: Option<u64>,
    /// Digest over all records except tombstones.
    pub digest: u64,
}

/// Why a batch or a record was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The origin is not among the configured mixers.
    UnknownOrigin,
    /// The batch claims this mixer itself as its origin.
    OwnOrigin,
    /// The batch belongs to an earlier incarnation of its origin.
    StaleIncarnation,
    /// Records between the held version and the batch are missing; they have to be requested.
    Gap,
    /// A name, a value or the counter interval is out of bounds.
    Invalid,
    /// The origin's quota is exhausted.
    OverQuota,
}

impl RejectReason {
    pub const ALL: [Self; 6] = [
        Self::UnknownOrigin,
        Self::OwnOrigin,
        Self::StaleIncarnation,
        Self::Gap,
        Self::Invalid,
        Self::OverQuota,
    ];

    /// Label of this reason in counters.
    pub fn label(self) -> &'static str {
        match self {
            Self::UnknownOrigin => "origin_not_named",
            Self::OwnOrigin => "of_ourselves",
            Self::StaleIncarnation => "earlier_start",
            Self::Gap => "gap",
            Self::Invalid => "unfit",
            Self::OverQuota => "over_its_share",
        }
    }
}

/// FNV-1a with a final mixing step. The result is the same on all machines and in all versions.
pub(crate) struct DigestHasher(u64);

impl DigestHasher {
    pub fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    pub fn bytes(mut self, bytes: &[u8]) -> Self {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
        // The length keeps ("ab", "c") and ("a", "bc") apart.
        self.number(bytes.len() as u64)
    }

    pub fn number(mut self, number: u64) -> Self {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        self
    }

    /// Mixes the bits, so that several digests can be combined by exclusive or.
    pub fn finish(self) -> u64 {
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }
}
