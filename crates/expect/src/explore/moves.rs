//! Moves of a simulation, with the text form in which counterexamples are stored and replayed.

use std::fmt;
use std::str::FromStr;

use pewterwharf::interface::DispatchOutcome;
use pewterwharf_fleet::Condition;

/// A dispatch of a simulation: indices of its scan and part, and its number within the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DispatchId {
    pub scan: usize,
    pub part: usize,
    pub dispatch: u8,
}

/// One event that a mixer is exposed to. Scans and searchers are indices into the scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Move {
    /// A scan arrives with all its parts.
    ScanArrives(usize),
    DispatchEnds(DispatchId, DispatchEnd),
    /// A dispatch is accepted, and will not be answered.
    DispatchHangs(DispatchId),
    /// The connection to a searcher is lost, with all dispatches in flight on it.
    ConnectionLost(usize),
    /// A searcher changes, and the list reports it at once.
    ListedChange(usize, Condition),
    /// A searcher changes, and the list does not report it yet.
    UnlistedChange(usize, Condition),
    /// The list reports a change that it lacked.
    ListUpdate(usize),
    /// A probe succeeds (`true`) or fails.
    ProbeEnds(usize, bool),
    /// A client leaves before its answer.
    ClientLeaves(usize),
    /// Time passes until the next action of the mixer.
    Wait,
    /// The mixer is killed, and starts again with its cached list.
    Restart,
}

/// How a single dispatch ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DispatchEnd {
    Ok,
    Error,
    Full,
    Refused,
}

impl DispatchEnd {
    pub fn outcome(self) -> DispatchOutcome {
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

fn text_of<T: PartialEq + Copy>(table: &[(T, &'static str)], value: T) -> &'static str {
    table.iter().find(|(other, _)| *other == value).map_or("?", |(_, text)| text)
}

fn value_of<T: Copy>(table: &[(T, &str)], text: &str) -> Option<T> {
    table.iter().find(|(_, other)| *other == text).map(|(value, _)| *value)
}

impl fmt::Display for DispatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.scan, self.part, self.dispatch)
    }
}

impl fmt::Display for Move {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ScanArrives(scan) => write!(f, "scan {scan}"),
            Self::DispatchEnds(id, end) => write!(f, "ends {id} {}", text_of(&DISPATCH_ENDS, *end)),
            Self::DispatchHangs(id) => write!(f, "hangs {id}"),
            Self::ConnectionLost(searcher) => write!(f, "lost {searcher}"),
            Self::ListedChange(searcher, to) => write!(f, "told {searcher} {}", text_of(&CONDITIONS, *to)),
            Self::UnlistedChange(searcher, to) => {
                write!(f, "unseen {searcher} {}", text_of(&CONDITIONS, *to))
            }
            Self::ListUpdate(searcher) => write!(f, "tell {searcher}"),
            Self::ProbeEnds(searcher, succeeded) => {
                write!(f, "pong {searcher} {}", if *succeeded { "good" } else { "bad" })
            }
            Self::ClientLeaves(scan) => write!(f, "leaves {scan}"),
            Self::Wait => write!(f, "wait"),
            Self::Restart => write!(f, "restart"),
        }
    }
}

impl FromStr for Move {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let invalid = || format!("no move is written \"{text}\"");
        let number = |i: usize| words.get(i).and_then(|w| w.parse::<usize>().ok()).ok_or_else(invalid);
        let condition = |i: usize| words.get(i).and_then(|w| value_of(&CONDITIONS, w)).ok_or_else(invalid);
        let dispatch_id = || -> Result<DispatchId, String> {
            let dispatch = u8::try_from(number(3)?).map_err(|_| invalid())?;
            Ok(DispatchId { scan: number(1)?, part: number(2)?, dispatch })
        };
        let (parsed, word_count) = match words.first() {
            Some(&"scan") => (Self::ScanArrives(number(1)?), 2),
            Some(&"ends") => {
                let end = words.get(4).and_then(|w| value_of(&DISPATCH_ENDS, w)).ok_or_else(invalid)?;
                (Self::DispatchEnds(dispatch_id()?, end), 5)
            }
            Some(&"hangs") => (Self::DispatchHangs(dispatch_id()?), 4),
            Some(&"lost") => (Self::ConnectionLost(number(1)?), 2),
            Some(&"told") => (Self::ListedChange(number(1)?, condition(2)?), 3),
            Some(&"unseen") => (Self::UnlistedChange(number(1)?, condition(2)?), 3),
            Some(&"tell") => (Self::ListUpdate(number(1)?), 2),
            Some(&"pong") => match words.get(2) {
                Some(&"good") => (Self::ProbeEnds(number(1)?, true), 3),
                Some(&"bad") => (Self::ProbeEnds(number(1)?, false), 3),
                _ => return Err(invalid()),
            },
            Some(&"leaves") => (Self::ClientLeaves(number(1)?), 2),
            Some(&"wait") => (Self::Wait, 1),
            Some(&"restart") => (Self::Restart, 1),
            _ => return Err(invalid()),
        };
        if words.len() == word_count { Ok(parsed) } else { Err(invalid()) }
    }
}
