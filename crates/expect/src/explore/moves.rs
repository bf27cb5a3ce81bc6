//! What may happen next, in a form that is printed, kept and read again.

use std::fmt;
use std::str::FromStr;

use pewterwharf::interface::DispatchOutcome;
use pewterwharf_fleet::Condition;

/// One thing that happens to a mixer. Scans, parts and searchers are numbered as in the arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Move {
    /// A scan arrives with all its parts.
    Scan(usize),
    /// A dispatch ends: scan, part, dispatch.
    Ends(usize, usize, u8, DispatchEnd),
    /// A dispatch is taken and will not be answered: scan, part, dispatch.
    Hangs(usize, usize, u8),
    /// The connection to a searcher is lost, with all that is out on it.
    Lost(usize),
    /// A searcher changes, and the list tells so at once.
    Told(usize, Condition),
    /// A searcher changes and the list does not tell yet.
    Unseen(usize, Condition),
    /// The list tells what it had not.
    Tell(usize),
    /// A probe comes back good, or fails.
    Pong(usize, bool),
    /// A client leaves before its answer.
    Leaves(usize),
    /// Time passes, up to the next thing that the mixer does by itself.
    Wait,
    /// The mixer is killed and starts again with the list that it held.
    Restart,
}

/// DispatchEnd a single dispatch ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DispatchEnd {
    Ok,
    Error,
    Full,
    Refused,
}

impl DispatchEnd {
    pub fn ending(self) -> DispatchOutcome {
        match self {
            Self::Ok => DispatchOutcome::Ok,
            Self::Error => DispatchOutcome::Error,
            Self::Full => DispatchOutcome::Full,
            Self::Refused => DispatchOutcome::ConnectFailed,
        }
    }
}

const DISPATCH_ENDS: [(DispatchEnd, &str); 4] = [
    (DispatchEnd::Ok, "ok"),
    (DispatchEnd::Error, "error"),
    (DispatchEnd::Full, "full"),
    (DispatchEnd::Refused, "refused"),
];
const CONDITIONS: [(Condition, &str); 4] = [
    (Condition::Up, "up"),
    (Condition::Cold, "cold"),
    (Condition::Draining, "draining"),
    (Condition::Gone, "gone"),
];

fn word<T: PartialEq + Copy>(table: &[(T, &'static str)], of: T) -> &'static str {
    table.iter().find(|(value, _)| *value == of).map_or("?", |(_, word)| word)
}

fn value<T: Copy>(table: &[(T, &str)], word: &str) -> Option<T> {
    table.iter().find(|(_, other)| *other == word).map(|(value, _)| *value)
}

impl fmt::Display for Move {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Scan(scan) => write!(f, "scan {scan}"),
            Self::Ends(scan, part, dispatch, how) => {
                write!(f, "ends {scan} {part} {dispatch} {}", word(&DISPATCH_ENDS, *how))
            }
            Self::Hangs(scan, part, dispatch) => write!(f, "hangs {scan} {part} {dispatch}"),
            Self::Lost(place) => write!(f, "lost {place}"),
            Self::Told(place, to) => write!(f, "told {place} {}", word(&CONDITIONS, *to)),
            Self::Unseen(place, to) => write!(f, "unseen {place} {}", word(&CONDITIONS, *to)),
            Self::Tell(place) => write!(f, "tell {place}"),
            Self::Pong(place, good) => write!(f, "pong {place} {}", if *good { "good" } else { "bad" }),
            Self::Leaves(scan) => write!(f, "leaves {scan}"),
            Self::Wait => write!(f, "wait"),
            Self::Restart => write!(f, "restart"),
        }
    }
}

impl FromStr for Move {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let bad = || format!("no move is written \"{text}\"");
        let number = |i: usize| words.get(i).and_then(|w| w.parse::<usize>().ok()).ok_or_else(bad);
        let condition = |i: usize| words.get(i).and_then(|w| value(&CONDITIONS, w)).ok_or_else(bad);
        let (read, used) = match words.first() {
            Some(&"scan") => (Self::Scan(number(1)?), 2),
            Some(&"ends") => {
                let how = words.get(4).and_then(|w| value(&DISPATCH_ENDS, w)).ok_or_else(bad)?;
                let dispatch = u8::try_from(number(3)?).map_err(|_| bad())?;
                (Self::Ends(number(1)?, number(2)?, dispatch, how), 5)
            }
            Some(&"hangs") => {
                let dispatch = u8::try_from(number(3)?).map_err(|_| bad())?;
                (Self::Hangs(number(1)?, number(2)?, dispatch), 4)
            }
            Some(&"lost") => (Self::Lost(number(1)?), 2),
            Some(&"told") => (Self::Told(number(1)?, condition(2)?), 3),
            Some(&"unseen") => (Self::Unseen(number(1)?, condition(2)?), 3),
            Some(&"tell") => (Self::Tell(number(1)?), 2),
            Some(&"pong") => match words.get(2) {
                Some(&"good") => (Self::Pong(number(1)?, true), 3),
                Some(&"bad") => (Self::Pong(number(1)?, false), 3),
                _ => return Err(bad()),
            },
            Some(&"leaves") => (Self::Leaves(number(1)?), 2),
            Some(&"wait") => (Self::Wait, 1),
            Some(&"restart") => (Self::Restart, 1),
            _ => return Err(bad()),
        };
        if words.len() == used { Ok(read) } else { Err(bad()) }
    }
}
