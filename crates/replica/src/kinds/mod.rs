//! The kinds of records, one type in one file each. A new kind needs a file and a line in `known_kinds`. A
//! mixer without the type of a kind keeps its records undecoded and forwards them.

mod departure;
mod idle_loss;
mod mark;
mod process_start;
mod searcher_list;
mod usage;

use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;

pub use departure::{Departure, Stage};
pub use idle_loss::IdleConnectionsLost;
pub use mark::Mark;
pub use process_start::ProcessStart;
pub use searcher_list::SearcherList;
pub use usage::CustomerUsage;

/// What one mixer reports about one subject.
///
/// [`RecordKind::join`] combines the reports of several origins. It has to be commutative, associative and
/// idempotent, and to choose the value with which no rule can be violated. `docs/copies.md` has the table.
pub trait RecordKind: Serialize + DeserializeOwned + Clone + PartialEq + Debug {
    /// Number of this kind on the wire; never reused.
    const CODE: u8;
    const NAME: &'static str;
    /// How long the evidence stays valid.
    const VALIDITY_MS: f64;

    /// Whether all figures are finite and within their ranges.
    fn is_valid(&self) -> bool;

    #[must_use]
    fn join(self, other: Self) -> Self;
}

struct KnownKind {
    code: u8,
    name: &'static str,
    is_valid: fn(&[u8]) -> bool,
}

fn known_kinds() -> [KnownKind; 6] {
    fn of<K: RecordKind>() -> KnownKind {
        KnownKind { code: K::CODE, name: K::NAME, is_valid: |bytes| decode::<K>(bytes).is_some() }
    }
    [
        of::<Mark>(),
        of::<ProcessStart>(),
        of::<Departure>(),
        of::<IdleConnectionsLost>(),
        of::<SearcherList>(),
        of::<CustomerUsage>(),
    ]
}

/// Whether bytes are a valid value of a kind. Values of unknown kinds can't be checked and count as valid.
pub(crate) fn is_valid(code: u8, bytes: &[u8]) -> bool {
    known_kinds().iter().find(|kind| kind.code == code).is_none_or(|kind| (kind.is_valid)(bytes))
}

/// Display name of a kind.
pub fn name(kind: u8) -> String {
    let known_kinds = known_kinds();
    let known = known_kinds.iter().find(|known| known.code == kind);
    known.map_or_else(|| format!("kind-{kind}"), |known| known.name.to_owned())
}

/// Decodes a value. Returns `None` for trailing bytes or an invalid value.
pub(crate) fn decode<K: RecordKind>(bytes: &[u8]) -> Option<K> {
    let (value, rest) = postcard::take_from_bytes::<K>(bytes).ok()?;
    (rest.is_empty() && value.is_valid()).then_some(value)
}

/// The greater of two finite figures.
pub(crate) fn greater(a: f64, b: f64) -> f64 {
    if b > a { b } else { a }
}
