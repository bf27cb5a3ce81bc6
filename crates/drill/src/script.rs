//! The script language of drills: its types, its parser and the printing of scripts.

use std::fmt;

use pewterwharf_settings::sexpr::{Node, NodeKind, ParseError, Position, parse, unexpected_name};

/// Maximum numbers of mixers and searchers of one drill: each mixer is a process, each pair of mixers needs two gates.
const MAX_MIXERS: u32 = 16;
const MAX_SEARCHERS: u32 = 64;
const MAX_SCANS_PER_S: u32 = 2000;
/// Time limit of an expectation that states none.
const DEFAULT_WITHIN_MS: f64 = 10_000.0;

/// The ends of a directed path between two mixers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathEnds {
    pub from: usize,
    pub to: usize,
}

pub type Paths = Vec<PathEnds>;

/// Whether a mixer that is started finds its earlier files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateOnStart {
    Kept,
    Fresh,
}

/// An action of a step: a fault, or the end of one. Mixers and searchers are counted from zero.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Drops all bytes between the groups; a mixer in none of them is a group of its own.
    Partition(Vec<Vec<usize>>),
    /// Closes open connections, and new ones at once.
    Cut(Paths),
    /// Discards all bytes.
    Drop(Paths),
    /// Closes new connections before any byte passes; open ones stay.
    Refuse(Paths),
    /// Closes the far side of connections; the near side stays open.
    HalfOpen(Paths),
    /// Delays bytes by a time in milliseconds.
    Delay(Paths, f64),
    /// Limits the rate to a number of bytes a second.
    Slow(Paths, f64),
    /// Corrupts one byte of each forwarded buffer.
    Flip(Paths),
    /// Ends the faults of these paths; `None` stands for all paths, those to discovery included.
    Heal(Option<Paths>),
    /// Stops a mixer's process for a time in milliseconds.
    Stall(usize, f64),
    /// Ends a mixer's process with SIGKILL.
    Kill(usize),
    /// Ends a mixer's process with SIGTERM.
    Term(usize),
    Start(usize, StateOnStart),
    /// Starts a second process under the name of a running mixer; the other mixers are connected to it from then on.
    Twin(usize),
    /// A searcher no longer answers.
    Hang(usize),
    /// A searcher closes all connections; discovery removes it later.
    Die(usize),
    /// A searcher that hung, died or drained is up again.
    Return(usize),
    /// Discovery lists a searcher as draining.
    Drain(usize),
    /// Sets the error of the wall clock of a mixer's host, in milliseconds. It affects processes started from then on; a
    /// running one does not read the wall clock.
    Clock(usize, f64),
    /// Cuts mixers off from discovery; all mixers if none is named.
    LoseDiscovery(Vec<usize>),
    /// Ends `LoseDiscovery`.
    FindDiscovery(Vec<usize>),
}

/// An action and its time, in milliseconds from the start of the drill.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at_ms: f64,
    pub action: Action,
}

/// A condition expected after the last step, with the time from then within which it has to hold.
#[derive(Clone, Debug, PartialEq)]
pub enum Expect {
    /// All running mixers hold the same records, have caught up and see each other.
    Agree { within_ms: f64 },
    /// Each running mixer sees this many mixers alive, itself included.
    Members { count: usize, within_ms: f64 },
    /// At least this share of all scans was completed.
    Answered { share: f64 },
    /// No running mixer holds a mark.
    NoMarks { within_ms: f64 },
    /// An earlier process of a mixer has left the fleet, superseded by a later one of the same name.
    Aside { mixer: usize, within_ms: f64 },
}

/// A drill.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    pub title: String,
    pub mixers: usize,
    pub searchers: usize,
    /// Scans a second, over all mixers.
    pub load: u32,
    /// Time for which mixers keep the tombstones of deleted records; the mixers' default if absent.
    pub forget_ms: Option<f64>,
    pub steps: Vec<Step>,
    pub expects: Vec<Expect>,
}

const ACTION_NAMES: [&str; 21] = [
    "partition",
    "cut",
    "drop",
    "refuse",
    "half-open",
    "delay",
    "slow",
    "flip",
    "heal",
    "stall",
    "kill",
    "term",
    "start",
    "twin",
    "hang",
    "die",
    "return",
    "drain",
    "clock",
    "lose-discovery",
    "find-discovery",
];
const EXPECT_NAMES: [&str; 5] = ["agree", "members", "answered", "aside", "no-marks"];

impl Script {
    /// Parses all drills of a text.
    ///
    /// # Errors
    /// The position of the first form that can't be parsed, and what was expected there.
    pub fn read(text: &str) -> Result<Vec<Self>, ParseError> {
        let nodes = parse(text)?;
        if nodes.is_empty() {
            let what = "found nothing, expected (drill \"TITLE\" (mixers N) ...)".to_owned();
            return Err(ParseError { position: Position { line: 1, column: 1 }, message: what });
        }
        nodes.iter().map(Self::parse_drill).collect()
    }

    fn parse_drill(node: &Node) -> Result<Self, ParseError> {
        let (head, rest) = node.head_and_args("(drill \"TITLE\" (mixers N) ...)")?;
        if head != "drill" {
            return Err(unexpected_name(node, head, &["drill"]));
        }
        let Some((title, rest)) = rest.split_first() else {
            return Err(node.error("found (drill), expected a title in quotes"));
        };
        let mut script = Self {
            title: title.string("a title")?.to_owned(),
            mixers: 3,
            searchers: 4,
            load: 20,
            forget_ms: None,
            steps: Vec::new(),
            expects: Vec::new(),
        };
        // Numbers are read first, wherever they are written: the names of mixers and searchers are checked against them.
        for node in rest {
            match node.head_and_args("(mixers N), (at TIME ACTION) or (expect ...)")? {
                ("mixers", [n]) => script.mixers = n.integer("mixers", 1, MAX_MIXERS)? as usize,
                ("searchers", [n]) => script.searchers = n.integer("searchers", 1, MAX_SEARCHERS)? as usize,
                ("load", [n]) => script.load = n.integer("load", 0, MAX_SCANS_PER_S)?,
                ("forget", [time]) => script.forget_ms = Some(time.duration_ms("a time")?),
                ("at" | "expect", _) => {}
                (key @ ("mixers" | "searchers" | "load" | "forget"), values) => {
                    return Err(node.error(format!("{key} has {} values, expected one", values.len())));
                }
                (other, _) => {
                    return Err(unexpected_name(
                        node,
                        other,
                        &["mixers", "searchers", "load", "forget", "at", "expect"],
                    ));
                }
            }
        }
        for node in rest {
            match node.head_and_args("")? {
                ("at", [time, action]) => {
                    let at_ms = time.duration_ms("a time")?;
                    script.steps.push(Step { at_ms, action: script.parse_action(action)? });
                }
                ("at", _) => return Err(node.error("expected (at TIME ACTION)")),
                ("expect", [what]) => script.expects.push(script.parse_expect(what)?),
                ("expect", _) => return Err(node.error("expected (expect (WHAT ...))")),
                _ => {}
            }
        }
        // The sort is stable: steps of the same time keep their order in the text.
        script.steps.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        Ok(script)
    }

    /// Parses a name made of a letter and a number from 1 to `count`. Returns the number, counted from zero.
    fn numbered_name(node: &Node, letter: char, count: usize, what: &str) -> Result<usize, ParseError> {
        let name = node.symbol(what)?;
        let number = name.strip_prefix(letter).and_then(|n| n.parse::<usize>().ok());
        match number {
            Some(n) if (1..=count).contains(&n) => Ok(n - 1),
            _ => Err(node.error(format!("found {name}, expected {what}, {letter}1 to {letter}{count}"))),
        }
    }

    fn mixer(&self, node: &Node) -> Result<usize, ParseError> {
        Self::numbered_name(node, 'm', self.mixers, "a mixer")
    }

    fn searcher(&self, node: &Node) -> Result<usize, ParseError> {
        Self::numbered_name(node, 's', self.searchers, "a searcher")
    }

    /// Parses `A B`, which is both directions, or `(from A) (to B)`.
    fn parse_paths(&self, whole: &Node, nodes: &[Node]) -> Result<Paths, ParseError> {
        let [a, b] = nodes else {
            return Err(whole.error("expected two mixers, as m1 m2, or one direction, as (from m1) (to m2)"));
        };
        if let (NodeKind::List(_), NodeKind::List(_)) = (&a.kind, &b.kind) {
            let end = |node: &Node, head: &str| match node.head_and_args(&format!("({head} MIXER)"))? {
                (found, [mixer]) if found == head => self.mixer(mixer),
                (other, _) => Err(unexpected_name(node, other, &[head])),
            };
            return Ok(vec![PathEnds { from: end(a, "from")?, to: end(b, "to")? }]);
        }
        let (a, b) = (self.mixer(a)?, self.mixer(b)?);
        Ok(vec![PathEnds { from: a, to: b }, PathEnds { from: b, to: a }])
    }

    fn parse_action(&self, node: &Node) -> Result<Action, ParseError> {
        let (head, args) = node.head_and_args("an action, as (kill m2)")?;
        let expect_count = |n: usize| match args.len() {
            found if found == n => Ok(()),
            found => Err(node.error(format!("{head} has {found} values, expected {n}"))),
        };
        let mixers = || args.iter().map(|a| self.mixer(a)).collect::<Result<Vec<_>, _>>();
        match head {
            "partition" => self.parse_partition(node, args),
            "cut" => Ok(Action::Cut(self.parse_paths(node, args)?)),
            "drop" => Ok(Action::Drop(self.parse_paths(node, args)?)),
            "refuse" => Ok(Action::Refuse(self.parse_paths(node, args)?)),
            "half-open" => Ok(Action::HalfOpen(self.parse_paths(node, args)?)),
            "flip" => Ok(Action::Flip(self.parse_paths(node, args)?)),
            "delay" => match args {
                [a, b, time] => {
                    let paths = self.parse_paths(node, &[a.clone(), b.clone()])?;
                    Ok(Action::Delay(paths, time.duration_ms("a delay")?))
                }
                _ => Err(node.error("expected two mixers and a time, as (delay m1 m2 200ms)")),
            },
            "slow" => match args {
                [a, b, rate] => Ok(Action::Slow(
                    self.parse_paths(node, &[a.clone(), b.clone()])?,
                    rate.positive_number("bytes a second")?,
                )),
                _ => Err(node.error("expected two mixers and bytes a second, as (slow m1 m2 10000)")),
            },
            "heal" if args.is_empty() => Ok(Action::Heal(None)),
            "heal" => Ok(Action::Heal(Some(self.parse_paths(node, args)?))),
            "stall" => match args {
                [mixer, time] => Ok(Action::Stall(self.mixer(mixer)?, time.duration_ms("a time")?)),
                _ => Err(node.error("expected a mixer and a time, as (stall m2 3s)")),
            },
            "start" => self.parse_start(node, args),
            "kill" => expect_count(1).and_then(|()| Ok(Action::Kill(self.mixer(&args[0])?))),
            "term" => expect_count(1).and_then(|()| Ok(Action::Term(self.mixer(&args[0])?))),
            "twin" => expect_count(1).and_then(|()| Ok(Action::Twin(self.mixer(&args[0])?))),
            "hang" => expect_count(1).and_then(|()| Ok(Action::Hang(self.searcher(&args[0])?))),
            "die" => expect_count(1).and_then(|()| Ok(Action::Die(self.searcher(&args[0])?))),
            "return" => expect_count(1).and_then(|()| Ok(Action::Return(self.searcher(&args[0])?))),
            "drain" => expect_count(1).and_then(|()| Ok(Action::Drain(self.searcher(&args[0])?))),
            "clock" => self.parse_clock(node, args),
            "lose-discovery" => Ok(Action::LoseDiscovery(mixers()?)),
            "find-discovery" => Ok(Action::FindDiscovery(mixers()?)),
            other => Err(unexpected_name(node, other, &ACTION_NAMES)),
        }
    }

    fn parse_partition(&self, node: &Node, args: &[Node]) -> Result<Action, ParseError> {
        let group = |g: &Node| match &g.kind {
            NodeKind::List(names) => names.iter().map(|n| self.mixer(n)).collect::<Result<Vec<_>, _>>(),
            _ => Err(g.error(format!("found {}, expected a group, as (m1 m2)", g.describe()))),
        };
        let groups = args.iter().map(group).collect::<Result<Vec<_>, _>>()?;
        if groups.is_empty() {
            return Err(node.error("partition has no group, expected as (partition (m1 m2) (m3))"));
        }
        Ok(Action::Partition(groups))
    }

    fn parse_start(&self, node: &Node, args: &[Node]) -> Result<Action, ParseError> {
        match args {
            [mixer] => Ok(Action::Start(self.mixer(mixer)?, StateOnStart::Kept)),
            [mixer, how] => {
                let state = match how.symbol("fresh or kept")? {
                    "fresh" => StateOnStart::Fresh,
                    "kept" => StateOnStart::Kept,
                    other => return Err(unexpected_name(how, other, &["fresh", "kept"])),
                };
                Ok(Action::Start(self.mixer(mixer)?, state))
            }
            _ => Err(node.error("expected a mixer, as (start m4) or (start m4 fresh)")),
        }
    }

    fn parse_clock(&self, node: &Node, args: &[Node]) -> Result<Action, ParseError> {
        let [mixer, direction, time] = args else {
            return Err(node.error("expected a mixer, ahead or behind, and a time, as (clock m2 ahead 1h)"));
        };
        let offset_ms = time.duration_ms("a time")?;
        match direction.symbol("ahead or behind")? {
            "ahead" => Ok(Action::Clock(self.mixer(mixer)?, offset_ms)),
            "behind" => Ok(Action::Clock(self.mixer(mixer)?, -offset_ms)),
            other => Err(unexpected_name(direction, other, &["ahead", "behind"])),
        }
    }

    fn parse_expect(&self, node: &Node) -> Result<Expect, ParseError> {
        let (head, args) = node.head_and_args("what is expected, as (agree (within 10s))")?;
        let within = |rest: &[Node]| match rest {
            [] => Ok(DEFAULT_WITHIN_MS),
            [one] => match one.head_and_args("(within TIME)")? {
                ("within", [time]) => time.duration_ms("a time"),
                (other, _) => Err(unexpected_name(one, other, &["within"])),
            },
            [_, more, ..] => Err(more.error(format!("found {}, expected nothing more", more.describe()))),
        };
        match (head, args) {
            ("agree", rest) => Ok(Expect::Agree { within_ms: within(rest)? }),
            ("members", [count, rest @ ..]) => {
                let count = count.integer("members", 1, self.mixers as u32)? as usize;
                Ok(Expect::Members { count, within_ms: within(rest)? })
            }
            ("answered", [share]) => {
                let found = share.positive_number("a share")?;
                if found > 1.0 {
                    return Err(share.error(format!("found {found}, expected a share up to 1")));
                }
                Ok(Expect::Answered { share: found })
            }
            ("no-marks", rest) => Ok(Expect::NoMarks { within_ms: within(rest)? }),
            ("aside", [mixer, rest @ ..]) => {
                Ok(Expect::Aside { mixer: self.mixer(mixer)?, within_ms: within(rest)? })
            }
            (head, _) if EXPECT_NAMES.contains(&head) => {
                Err(node.error(format!("{head} has {} values, which do not fit it", args.len())))
            }
            (other, _) => Err(unexpected_name(node, other, &EXPECT_NAMES)),
        }
    }
}

fn format_time(ms: f64) -> String {
    if ms >= 1000.0 && ms % 100.0 == 0.0 { format!("{}s", ms / 1000.0) } else { format!("{ms}ms") }
}

fn format_mixers(mixers: &[usize]) -> String {
    mixers.iter().map(|m| format!("m{}", m + 1)).collect::<Vec<_>>().join(" ")
}

/// Prints both directions between two mixers, or one.
fn format_paths(paths: &Paths) -> String {
    match paths.as_slice() {
        [PathEnds { from, to }, ..] if paths.len() == 2 => format!("m{} m{}", from + 1, to + 1),
        [PathEnds { from, to }, ..] => format!("(from m{}) (to m{})", from + 1, to + 1),
        [] => String::new(),
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Partition(groups) => {
                let groups: Vec<String> = groups.iter().map(|g| format!("({})", format_mixers(g))).collect();
                write!(f, "(partition {})", groups.join(" "))
            }
            Self::Cut(paths) => write!(f, "(cut {})", format_paths(paths)),
            Self::Drop(paths) => write!(f, "(drop {})", format_paths(paths)),
            Self::Refuse(paths) => write!(f, "(refuse {})", format_paths(paths)),
            Self::HalfOpen(paths) => write!(f, "(half-open {})", format_paths(paths)),
            Self::Delay(paths, ms) => write!(f, "(delay {} {})", format_paths(paths), format_time(*ms)),
            Self::Slow(paths, rate) => write!(f, "(slow {} {rate})", format_paths(paths)),
            Self::Flip(paths) => write!(f, "(flip {})", format_paths(paths)),
            Self::Heal(None) => f.write_str("(heal)"),
            Self::Heal(Some(paths)) => write!(f, "(heal {})", format_paths(paths)),
            Self::Stall(m, ms) => write!(f, "(stall m{} {})", m + 1, format_time(*ms)),
            Self::Kill(m) => write!(f, "(kill m{})", m + 1),
            Self::Term(m) => write!(f, "(term m{})", m + 1),
            Self::Start(m, StateOnStart::Kept) => write!(f, "(start m{})", m + 1),
            Self::Start(m, StateOnStart::Fresh) => write!(f, "(start m{} fresh)", m + 1),
            Self::Twin(m) => write!(f, "(twin m{})", m + 1),
            Self::Hang(s) => write!(f, "(hang s{})", s + 1),
            Self::Die(s) => write!(f, "(die s{})", s + 1),
            Self::Return(s) => write!(f, "(return s{})", s + 1),
            Self::Drain(s) => write!(f, "(drain s{})", s + 1),
            Self::Clock(m, offset_ms) => {
                let direction = if *offset_ms < 0.0 { "behind" } else { "ahead" };
                write!(f, "(clock m{} {direction} {})", m + 1, format_time(offset_ms.abs()))
            }
            Self::LoseDiscovery(mixers) => write!(f, "(lose-discovery {})", format_mixers(mixers)),
            Self::FindDiscovery(mixers) => write!(f, "(find-discovery {})", format_mixers(mixers)),
        }
    }
}

impl fmt::Display for Expect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Agree { within_ms } => write!(f, "(agree (within {}))", format_time(*within_ms)),
            Self::Members { count, within_ms } => {
                write!(f, "(members {count} (within {}))", format_time(*within_ms))
            }
            Self::NoMarks { within_ms } => write!(f, "(no-marks (within {}))", format_time(*within_ms)),
            Self::Answered { share } => write!(f, "(answered {share})"),
            Self::Aside { mixer, within_ms } => {
                write!(f, "(aside m{} (within {}))", mixer + 1, format_time(*within_ms))
            }
        }
    }
}

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { title, mixers, searchers, load, forget_ms, steps, expects } = self;
        write!(
            f,
            "(drill \"{}\" (mixers {mixers}) (searchers {searchers}) (load {load})",
            title.replace('"', "'")
        )?;
        if let Some(ms) = forget_ms {
            write!(f, " (forget {})", format_time(*ms))?;
        }
        for step in steps {
            write!(f, "\n  (at {} {})", format_time(step.at_ms), step.action)?;
        }
        for expect in expects {
            write!(f, "\n  (expect {expect})")?;
        }
        f.write_str(")\n")
    }
}
