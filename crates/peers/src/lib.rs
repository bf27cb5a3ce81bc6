//! Which mixers are there. No I/O: words and the time come in, words and changes go out.
//!
//! A *mixer* has a name, unique in its fleet, and a *start*, which tells one process under that name from another. Who is
//! alive is told by SWIM (Das et al., 2002) with the suspicion of that paper and refutation by incarnation; the machine
//! below is `foca`, as a protocol of our own would have to find its faults anew. What is ours is round it:
//!
//! - [`Hello`]: fleet, format and name are looked at before anything else, and a refusal says what an operator has to mend.
//! - Starts: no wall clock orders them. Of two processes that claim one name the one that has run for less time, each by its
//!   own clock, is the later: it takes a number above the other's, and the other stands aside ([`Standing::Aside`]). One
//!   that is dead does not answer, and its age goes on growing with those that remember it.
//! - Only names of the operator's file are taken, so that what is kept is bounded by that file, whatever comes.
//! - A pause of this process is no fault of others (the local health of Lifeguard, Dadgar et al., 2018, in its smallest
//!   form): what fell due meanwhile is put off by as long.
//!
//! Invariants: of a name the highest start that was heard counts, and never a lower one after it; one that stood aside or
//! left says nothing more. Nothing here decides anything about scans.

mod incarnation;
mod membership;
mod names;

pub use incarnation::Incarnation;
pub use membership::{Effect, Life, Peers, Seen, Standing};
pub use names::{FORMAT, Hello, LONGEST_NAME, MOST, Refusal, Rival};
