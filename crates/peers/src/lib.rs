//! Membership of the mixers in a fleet. No I/O: messages and the time go in, messages and membership changes
//! come out.
//!
//! A *mixer* has a name, unique in its fleet, and an *incarnation*, which identifies one process under that
//! name. Failure detection is SWIM (Das et al., 2002) with the suspicion mechanism of that paper and
//! refutation by incarnation, as implemented by `foca`, so no protocol of our
//! own has to be debugged. This package adds:
//!
//! - [`Hello`]: fleet, message format and name are checked before anything else, and a rejection states what
//!   the operator has to fix.
//! - Incarnations: no wall clock orders them. Of two processes that claim one name, the one that has run for
//!   less time, each by its own clock, is the later one: it takes a number above the other's, and the other
//!   becomes [`MembershipState::Superseded`]. A process that has ended does not answer, and peers keep
//!   increasing its age.
//! - Only names in the operator's settings file are accepted, so memory is bounded by that file whatever is
//!   received.
//! - A pause of this process is not counted against its peers (the local health of Lifeguard, Dadgar et al.,
//!   2018, in its simplest form): timers that fell due during the pause are postponed by its length.
//!
//! Invariants: once an incarnation of a name is known, no lower one is accepted; a mixer that was superseded
//! or has left sends nothing more. Nothing here decides about scans.

mod hello;
mod incarnation;
mod membership;

pub use hello::{FORMAT, Hello, KnownIncarnation, LinkRejection, MAX_MIXERS, MAX_NAME_BYTES};
pub use incarnation::Incarnation;
pub use membership::{Effect, Membership, MembershipState, PeerInfo, PeerStatus};
