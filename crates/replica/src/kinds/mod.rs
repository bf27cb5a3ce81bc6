//! The kinds of rows: one small type in one file each, with its own join. A new kind is one more file and one line in
//! [`each`]; a mixer that does not know a kind holds its rows unread and passes them on.

mod idle;
mod leaving;
mod list;
mod mark;
mod start;
mod used;

use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;

pub use idle::IdleLost;
pub use leaving::{Leaving, Stage};
pub use list::ListHeld;
pub use mark::Mark;
pub use start::ProcessStart;
pub use used::Used;

/// What one mixer says of one thing.
///
/// [`Kind::join`] is for what several origins say of it and has to be commutative, associative and idempotent: it takes the
/// side on which no rule can be broken. `docs/copies.md` has the table.
pub trait Kind: Serialize + DeserializeOwned + Clone + PartialEq + Debug {
    /// Its number on the wire; never used anew.
    const CODE: u8;
    const NAME: &'static str;
    /// Milliseconds for which its evidence says something.
    const FRESH_MS: f64;

    /// Whether it can be meant: figures are finite and in their ranges.
    fn fits(&self) -> bool;

    #[must_use]
    fn join(self, other: Self) -> Self;
}

/// A kind that is known: its code, its name, and whether bytes are a value of it.
type Known = (u8, &'static str, fn(&[u8]) -> bool);

pub(crate) fn each() -> [Known; 6] {
    fn of<K: Kind>() -> Known {
        (K::CODE, K::NAME, |bytes| read::<K>(bytes).is_some())
    }
    [of::<Mark>(), of::<ProcessStart>(), of::<Leaving>(), of::<IdleLost>(), of::<ListHeld>(), of::<Used>()]
}

/// Whether a value keeps to its kind; of kinds that are not known here, nobody can say.
pub(crate) fn fits(kind: u8, bytes: &[u8]) -> bool {
    each().iter().find(|k| k.0 == kind).is_none_or(|k| k.2(bytes))
}

/// The name of a kind, for people.
pub fn name(kind: u8) -> String {
    each().iter().find(|k| k.0 == kind).map_or_else(|| format!("kind-{kind}"), |k| k.1.to_owned())
}

/// Reads a value, if it is one and can be meant.
pub(crate) fn read<K: Kind>(bytes: &[u8]) -> Option<K> {
    let (value, rest) = postcard::take_from_bytes::<K>(bytes).ok()?;
    (rest.is_empty() && value.fits()).then_some(value)
}

/// The greater of two figures that are both finite.
pub(crate) fn greater(a: f64, b: f64) -> f64 {
    if b > a { b } else { a }
}
