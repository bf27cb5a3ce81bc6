//! The language of drills.

use std::fmt;

use pewterwharf_settings::sexpr::{Node, NodeKind, ParseError, Position, parse, unexpected_name};

/// Mixers and searchers that one drill may have: each mixer is a process, each pair of mixers two gates.
const MOST_MIXERS: u32 = 16;
const MOST_SEARCHERS: u32 = 64;
/// ScanSummary in a second.
const MOST_LOAD: u32 = 2000;
/// What an expectation is given, where it does not say.
const WITHIN_MS: f64 = 10_000.0;

/// Directed paths: from each of the first to each of the second.
pub type Paths = Vec<(usize, usize)>;

/// What of a mixer's files a start restore_discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateOnStart {
    Kept,
    Fresh,
}

/// What is done at a time. Mixers and searchers are counted from zero.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Groups between which nothing passes; who is in none is a group of its own.
    Partition(Vec<Vec<usize>>),
    /// Connections are reset, and new ones end at once.
    Cut(Paths),
    /// Bytes are swallowed.
    Drop(Paths),
    /// Connections are taken and reset before anything passes; those that are there stay.
    Refuse(Paths),
    /// Connections end on the far side, and nobody tells the near one.
    HalfOpen(Paths),
    Delay(Paths, f64),
    /// So many bytes a second.
    Slow(Paths, f64),
    /// One byte of each piece is another.
    Flip(Paths),
    /// All paths, where none is named; those to discovery among them.
    Heal(Option<Paths>),
    Stall(usize, f64),
    Kill(usize),
    Term(usize),
    Start(usize, StateOnStart),
    /// A second process under the name of a mixer that runs; the others' paths lead to it from then on.
    Twin(usize),
    Hang(usize),
    Die(usize),
    Return(usize),
    Drain(usize),
    /// The wall clock of a mixer's host is wrong by so much, in milliseconds: what is started from then on restore_discovery it so. What
    /// runs reads none.
    Clock(usize, f64),
    LoseDiscovery(Vec<usize>),
    FindDiscovery(Vec<usize>),
}

/// A action and its time, in milliseconds from when the fleet has come up.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at_ms: f64,
    pub action: Action,
}

/// What is expected after the last step, with the time from then within which it has to come about.
#[derive(Clone, Debug, PartialEq)]
pub enum Expect {
    /// All that run hold the same copies and have caught up.
    Agree { within_ms: f64 },
    /// Each that runs sees so many mixers alive, itself among them.
    Members { count: usize, within_ms: f64 },
    /// So great a share of all scans was completed.
    Answered { share: f64 },
    /// Nobody holds a mark of anybody.
    NoMarks { within_ms: f64 },
    /// A mixer stands aside from the fleet, as a later process has its name.
    Aside { mixer: usize, within_ms: f64 },
}

/// A drill.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    pub title: String,
    pub mixers: usize,
    pub searchers: usize,
    /// ScanSummary in a second, of all mixers together.
    pub load: u32,
    /// For so long mixers keep in mind that something was deleted, in milliseconds; as they do of themselves, where absent.
    pub forget_ms: Option<f64>,
    pub steps: Vec<Step>,
    pub expects: Vec<Expect>,
}

const DEEDS: [&str; 21] = [
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
const EXPECTS: [&str; 5] = ["agree", "members", "answered", "aside", "no-marks"];

impl Script {
    /// Reads all drills of a text.
    ///
    /// # Errors
    /// The place of the first word that can't be read, and what was expected there.
    pub fn read(text: &str) -> Result<Vec<Self>, ParseError> {
        let nodes = parse(text)?;
        if nodes.is_empty() {
            let what = "found nothing, expected (drill \"TITLE\" (mixers N) ...)".to_owned();
            return Err(ParseError { position: Position { line: 1, column: 1 }, message: what });
        }
        nodes.iter().map(Self::one).collect()
    }

    fn one(node: &Node) -> Result<Self, ParseError> {
        let (word, rest) = node.head_and_args("(drill \"TITLE\" (mixers N) ...)")?;
        if word != "drill" {
            return Err(unexpected_name(node, word, &["drill"]));
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
        // The numbers first, wherever they stand: names of mixers are held against them.
        for node in rest {
            match node.head_and_args("(mixers N), (at TIME ACTION) or (expect ...)")? {
                ("mixers", [n]) => script.mixers = n.integer("mixers", 1, MOST_MIXERS)? as usize,
                ("searchers", [n]) => script.searchers = n.integer("searchers", 1, MOST_SEARCHERS)? as usize,
                ("load", [n]) => script.load = n.integer("load", 0, MOST_LOAD)?,
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
                ("expect", [what]) => script.expects.push(script.expect(what)?),
                ("expect", _) => return Err(node.error("expected (expect (WHAT ...))")),
                _ => {}
            }
        }
        // Of one time, in the order in which they stand.
        script.steps.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        Ok(script)
    }

    fn named(node: &Node, letter: char, count: usize, what: &str) -> Result<usize, ParseError> {
        let word = node.symbol(what)?;
        let number = word.strip_prefix(letter).and_then(|n| n.parse::<usize>().ok());
        match number {
            Some(n) if (1..=count).contains(&n) => Ok(n - 1),
            _ => Err(node.error(format!("found {word}, expected {what}, {letter}1 to {letter}{count}"))),
        }
    }

    fn mixer(&self, node: &Node) -> Result<usize, ParseError> {
        Self::named(node, 'm', self.mixers, "a mixer")
    }

    fn searcher(&self, node: &Node) -> Result<usize, ParseError> {
        Self::named(node, 's', self.searchers, "a searcher")
    }

    /// `A B`, which is both paths, or `(from A) (to B)`.
    fn paths(&self, whole: &Node, nodes: &[Node]) -> Result<Paths, ParseError> {
        let [a, b] = nodes else {
            return Err(whole.error("expected two mixers, as m1 m2, or one way, as (from m1) (to m2)"));
        };
        if let (NodeKind::List(_), NodeKind::List(_)) = (&a.kind, &b.kind) {
            let end = |node: &Node, word: &str| match node.head_and_args(&format!("({word} MIXER)"))? {
                (found, [mixer]) if found == word => self.mixer(mixer),
                (other, _) => Err(unexpected_name(node, other, &[word])),
            };
            return Ok(vec![(end(a, "from")?, end(b, "to")?)]);
        }
        let (a, b) = (self.mixer(a)?, self.mixer(b)?);
        Ok(vec![(a, b), (b, a)])
    }

    fn parse_action(&self, node: &Node) -> Result<Action, ParseError> {
        let (word, args) = node.head_and_args("an action, as (kill m2)")?;
        let count = |n: usize| match args.len() {
            found if found == n => Ok(()),
            found => Err(node.error(format!("{word} has {found} values, expected {n}"))),
        };
        let mixers = || args.iter().map(|a| self.mixer(a)).collect::<Result<Vec<_>, _>>();
        match word {
            "partition" => {
                let group = |g: &Node| match &g.kind {
                    NodeKind::List(names) => {
                        names.iter().map(|n| self.mixer(n)).collect::<Result<Vec<_>, _>>()
                    }
                    _ => Err(g.error(format!("found {}, expected a group, as (m1 m2)", g.describe()))),
                };
                let groups = args.iter().map(group).collect::<Result<Vec<_>, _>>()?;
                if groups.is_empty() {
                    return Err(node.error("partition has no group, expected as (partition (m1 m2) (m3))"));
                }
                Ok(Action::Partition(groups))
            }
            "cut" => Ok(Action::Cut(self.paths(node, args)?)),
            "drop" => Ok(Action::Drop(self.paths(node, args)?)),
            "refuse" => Ok(Action::Refuse(self.paths(node, args)?)),
            "half-open" => Ok(Action::HalfOpen(self.paths(node, args)?)),
            "flip" => Ok(Action::Flip(self.paths(node, args)?)),
            "delay" => match args {
                [a, b, time] => {
                    let paths = self.paths(node, &[a.clone(), b.clone()])?;
                    Ok(Action::Delay(paths, time.duration_ms("a delay")?))
                }
                _ => Err(node.error("expected two mixers and a time, as (delay m1 m2 200ms)")),
            },
            "slow" => match args {
                [a, b, rate] => Ok(Action::Slow(
                    self.paths(node, &[a.clone(), b.clone()])?,
                    rate.positive_number("bytes a second")?,
                )),
                _ => Err(node.error("expected two mixers and bytes a second, as (slow m1 m2 10000)")),
            },
            "heal" if args.is_empty() => Ok(Action::Heal(None)),
            "heal" => Ok(Action::Heal(Some(self.paths(node, args)?))),
            "stall" => match args {
                [mixer, time] => Ok(Action::Stall(self.mixer(mixer)?, time.duration_ms("a time")?)),
                _ => Err(node.error("expected a mixer and a time, as (stall m2 3s)")),
            },
            "start" => match args {
                [mixer] => Ok(Action::Start(self.mixer(mixer)?, StateOnStart::Kept)),
                [mixer, how] => {
                    let kept = match how.symbol("fresh or kept")? {
                        "fresh" => StateOnStart::Fresh,
                        "kept" => StateOnStart::Kept,
                        other => return Err(unexpected_name(how, other, &["fresh", "kept"])),
                    };
                    Ok(Action::Start(self.mixer(mixer)?, kept))
                }
                _ => Err(node.error("expected a mixer, as (start m4) or (start m4 fresh)")),
            },
            "kill" => count(1).and_then(|()| Ok(Action::Kill(self.mixer(&args[0])?))),
            "term" => count(1).and_then(|()| Ok(Action::Term(self.mixer(&args[0])?))),
            "twin" => count(1).and_then(|()| Ok(Action::Twin(self.mixer(&args[0])?))),
            "hang" => count(1).and_then(|()| Ok(Action::Hang(self.searcher(&args[0])?))),
            "die" => count(1).and_then(|()| Ok(Action::Die(self.searcher(&args[0])?))),
            "return" => count(1).and_then(|()| Ok(Action::Return(self.searcher(&args[0])?))),
            "drain" => count(1).and_then(|()| Ok(Action::Drain(self.searcher(&args[0])?))),
            "clock" => match args {
                [mixer, how, time] => {
                    let by = time.duration_ms("a time")?;
                    match how.symbol("ahead or behind")? {
                        "ahead" => Ok(Action::Clock(self.mixer(mixer)?, by)),
                        "behind" => Ok(Action::Clock(self.mixer(mixer)?, -by)),
                        other => Err(unexpected_name(how, other, &["ahead", "behind"])),
                    }
                }
                _ => Err(node.error("expected a mixer, ahead or behind, and a time, as (clock m2 ahead 1h)")),
            },
            "lose-discovery" => Ok(Action::LoseDiscovery(mixers()?)),
            "find-discovery" => Ok(Action::FindDiscovery(mixers()?)),
            other => Err(unexpected_name(node, other, &DEEDS)),
        }
    }

    fn expect(&self, node: &Node) -> Result<Expect, ParseError> {
        let (word, args) = node.head_and_args("what is expected, as (agree (within 10s))")?;
        let within = |rest: &[Node]| match rest {
            [] => Ok(WITHIN_MS),
            [one] => match one.head_and_args("(within TIME)")? {
                ("within", [time]) => time.duration_ms("a time"),
                (other, _) => Err(unexpected_name(one, other, &["within"])),
            },
            [_, more, ..] => Err(more.error(format!("found {}, expected nothing more", more.describe()))),
        };
        match (word, args) {
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
            (word, _) if EXPECTS.contains(&word) => {
                Err(node.error(format!("{word} has {} values, which do not fit it", args.len())))
            }
            (other, _) => Err(unexpected_name(node, other, &EXPECTS)),
        }
    }
}

fn time(ms: f64) -> String {
    if ms >= 1000.0 && ms % 100.0 == 0.0 { format!("{}s", ms / 1000.0) } else { format!("{ms}ms") }
}

fn names(mixers: &[usize]) -> String {
    mixers.iter().map(|m| format!("m{}", m + 1)).collect::<Vec<_>>().join(" ")
}

/// Both paths between two, or one.
fn between(paths: &Paths) -> String {
    match paths.as_slice() {
        [(a, b), ..] if paths.len() == 2 => format!("m{} m{}", a + 1, b + 1),
        [(a, b), ..] => format!("(from m{}) (to m{})", a + 1, b + 1),
        [] => String::new(),
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Partition(groups) => {
                let groups: Vec<String> = groups.iter().map(|g| format!("({})", names(g))).collect();
                write!(f, "(partition {})", groups.join(" "))
            }
            Self::Cut(paths) => write!(f, "(cut {})", between(paths)),
            Self::Drop(paths) => write!(f, "(drop {})", between(paths)),
            Self::Refuse(paths) => write!(f, "(refuse {})", between(paths)),
            Self::HalfOpen(paths) => write!(f, "(half-open {})", between(paths)),
            Self::Delay(paths, ms) => write!(f, "(delay {} {})", between(paths), time(*ms)),
            Self::Slow(paths, rate) => write!(f, "(slow {} {rate})", between(paths)),
            Self::Flip(paths) => write!(f, "(flip {})", between(paths)),
            Self::Heal(None) => f.write_str("(heal)"),
            Self::Heal(Some(paths)) => write!(f, "(heal {})", between(paths)),
            Self::Stall(m, ms) => write!(f, "(stall m{} {})", m + 1, time(*ms)),
            Self::Kill(m) => write!(f, "(kill m{})", m + 1),
            Self::Term(m) => write!(f, "(term m{})", m + 1),
            Self::Start(m, StateOnStart::Kept) => write!(f, "(start m{})", m + 1),
            Self::Start(m, StateOnStart::Fresh) => write!(f, "(start m{} fresh)", m + 1),
            Self::Twin(m) => write!(f, "(twin m{})", m + 1),
            Self::Hang(s) => write!(f, "(hang s{})", s + 1),
            Self::Die(s) => write!(f, "(die s{})", s + 1),
            Self::Return(s) => write!(f, "(return s{})", s + 1),
            Self::Drain(s) => write!(f, "(drain s{})", s + 1),
            Self::Clock(m, by) => {
                let how = if *by < 0.0 { "behind" } else { "ahead" };
                write!(f, "(clock m{} {how} {})", m + 1, time(by.abs()))
            }
            Self::LoseDiscovery(mixers) => write!(f, "(lose-discovery {})", names(mixers)),
            Self::FindDiscovery(mixers) => write!(f, "(find-discovery {})", names(mixers)),
        }
    }
}

impl fmt::Display for Expect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Agree { within_ms } => write!(f, "(agree (within {}))", time(*within_ms)),
            Self::Members { count, within_ms } => {
                write!(f, "(members {count} (within {}))", time(*within_ms))
            }
            Self::NoMarks { within_ms } => write!(f, "(no-marks (within {}))", time(*within_ms)),
            Self::Answered { share } => write!(f, "(answered {share})"),
            Self::Aside { mixer, within_ms } => {
                write!(f, "(aside m{} (within {}))", mixer + 1, time(*within_ms))
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
            write!(f, " (forget {})", time(*ms))?;
        }
        for step in steps {
            write!(f, "\n  (at {} {})", time(step.at_ms), step.action)?;
        }
        for expect in expects {
            write!(f, "\n  (expect {expect})")?;
        }
        f.write_str(")\n")
    }
}
