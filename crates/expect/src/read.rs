//! From text to claims. What a name means is looked up at once, so that a wrong one is told with its place.

use std::ops::RangeInclusive;

use pewterwharf_fleet::{Condition, Fleet};
use pewterwharf_settings::sexpr::{self, Node, NodeKind, ParseError, unexpected_name};

use crate::claim::{
    AnswerKind, BehaviourClaim, Claim, Failure, FailureTarget, ObservedAction, Pace, Reachability, SliceClaim,
};

/// Most searchers that may be lost at once in a claim: beyond that no case is small.
const MOST_LOST: u32 = 64;
/// Most expectations in a file.
const MOST: usize = 10_000;

/// What a file says of the fleet it speaks of.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetSource {
    /// Paths as written, to be taken from the file's own folder.
    pub config_path: String,
    pub list_path: String,
    /// Customers and the slices that their scans read.
    pub customer_slices: Vec<(String, RangeInclusive<u32>, sexpr::Position)>,
    pub pace: Option<Pace>,
}

/// A file of which the names are not yet looked up.
#[derive(Clone, Debug)]
pub struct ParsedFile {
    pub source: FleetSource,
    expects: Vec<(String, Node)>,
}

/// One expectation.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    pub name: String,
    /// Line of the file.
    pub line: usize,
    pub claim: Claim,
}

impl ParsedFile {
    /// Reads a file's text: one `(fleet ...)`, then any number of `(expect "name" CLAIM)`.
    ///
    /// # Errors
    /// The place that can't be read, and what was expected there.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        let (mut source, mut expects) = (None, Vec::new());
        let nodes = sexpr::parse(text)?;
        if nodes.len() > MOST {
            return Err(nodes[MOST].error(format!("over {MOST} forms")));
        }
        for node in nodes {
            let (head, rest) = node.head_and_args("(fleet ...) or (expect \"name\" ...)")?;
            match (head, rest) {
                ("fleet", rest) if source.is_none() => source = Some(read_about(&node, rest)?),
                ("fleet", _) => return Err(node.error("a second (fleet ...)")),
                ("expect", [name, claim]) => {
                    let name = name.string("the name of an expectation")?.to_owned();
                    if expects.iter().any(|(other, _)| *other == name) {
                        return Err(node.error(format!("a second expectation is called \"{name}\"")));
                    }
                    expects.push((name, claim.clone()));
                }
                ("expect", _) => return Err(node.error("expected (expect \"name\" CLAIM), with one claim")),
                (other, _) => return Err(unexpected_name(&node, other, &["fleet", "expect"])),
            }
        }
        let nowhere = sexpr::Position { line: 1, column: 1 };
        let source = source
            .ok_or(ParseError { position: nowhere, message: "expected a form (fleet ...)".to_owned() })?;
        Ok(Self { source, expects })
    }

    /// States the customers' slices in the fleet.
    ///
    /// # Errors
    /// The place of a customer or slice that the fleet does not have.
    pub fn own(&self, fleet: &mut Fleet) -> Result<(), ParseError> {
        for (customer, slices, at) in &self.source.customer_slices {
            let done = fleet.add_customer_slices(customer, slices.clone());
            done.map_err(|error| ParseError { position: *at, message: error.to_string() })?;
        }
        Ok(())
    }

    /// Looks up all names.
    ///
    /// # Errors
    /// The place of a word that does not belong there, or of a name that the fleet does not have.
    pub fn settle(&self, fleet: &Fleet) -> Result<Vec<Expectation>, ParseError> {
        let reader = Reader { fleet };
        let read = |(name, node): &(String, Node)| {
            let claim = reader.claim(node, Within::default())?;
            Ok(Expectation { name: name.clone(), line: node.position.line, claim })
        };
        self.expects.iter().map(read).collect()
    }
}

fn read_about(whole: &Node, rest: &[Node]) -> Result<FleetSource, ParseError> {
    let (mut source, mut told) = (FleetSource::default(), Vec::new());
    for node in rest {
        let (key, values) = node.head_and_args("a part of the fleet, as (terms \"mixer.json\")")?;
        if key != "slices" && told.contains(&key) {
            return Err(node.error(format!("{key} is given twice")));
        }
        told.push(key);
        match (key, values) {
            ("terms", [path]) => {
                source.config_path = path.string("the path of a mixer's configuration")?.to_owned()
            }
            ("list", [path]) => source.list_path = path.string("the path of a searcher list")?.to_owned(),
            ("slices", [customer, from, to]) => {
                let range = range(from, to)?;
                let customer = customer.string("a customer's name")?.to_owned();
                source.customer_slices.push((customer, range, node.position));
            }
            ("pace", [changes, every]) => source.pace = Some(pace(changes, every)?),
            ("terms" | "list" | "slices" | "pace", values) => {
                return Err(node.error(format!("{key} has {} values, which do not fit it", values.len())));
            }
            (other, _) => return Err(unexpected_name(node, other, &["terms", "list", "slices", "pace"])),
        }
    }
    match (source.config_path.is_empty(), source.list_path.is_empty()) {
        (true, _) => Err(whole.error("expected (terms \"PATH\") in (fleet ...)")),
        (_, true) => Err(whole.error("expected (list \"PATH\") in (fleet ...)")),
        _ => Ok(source),
    }
}

/// `(pace (changes 1) (every 2s))`
fn pace(changes: &Node, every: &Node) -> Result<Pace, ParseError> {
    match (changes.head_and_args("(changes N)")?, every.head_and_args("(every TIME)")?) {
        (("changes", [changes]), ("every", [every])) => Ok(Pace {
            changes: changes.integer("changes", 1, MOST_LOST)?,
            every_ms: every.duration_ms("the time in which they may happen")?,
        }),
        _ => Err(changes.error("expected (changes N) (every TIME)")),
    }
}

fn range(from: &Node, to: &Node) -> Result<RangeInclusive<u32>, ParseError> {
    let range = from.integer("first slice", 0, u32::MAX - 1)?..=to.integer("last slice", 0, u32::MAX - 1)?;
    if range.is_empty() {
        return Err(to.error(format!("found {}, expected a slice from {} on", range.end(), range.start())));
    }
    Ok(range)
}

/// What stands around a claim.
#[derive(Clone, Copy, Default)]
struct Within {
    /// Under `some` or `not`, where a claim source behaviour can't be explored.
    turned: bool,
    younger: bool,
}

struct Reader<'a> {
    fleet: &'a Fleet,
}

const CLAIMS: [&str; 10] = [
    "for-all-slices",
    "after",
    "while-list-younger",
    "load-per-searcher-at-most",
    "slices-per-searcher-at-most",
    "never",
    "always",
    "all",
    "some",
    "not",
];

/// `found` looked up in the fleet, a fault at its place if it is not there.
fn named<T>(node: &Node, found: Result<T, impl std::fmt::Display>) -> Result<T, ParseError> {
    found.map_err(|error| node.error(error.to_string()))
}

impl Reader<'_> {
    fn claim(&self, node: &Node, within: Within) -> Result<Claim, ParseError> {
        let (head, rest) = node.head_and_args("a claim, as (for-all-slices ...)")?;
        let many = |within: Within| -> Result<Vec<Claim>, ParseError> {
            if rest.is_empty() {
                return Err(node.error(format!("expected a claim in ({head})")));
            }
            rest.iter().map(|claim| self.claim(claim, within)).collect()
        };
        let turned = Within { turned: true, ..within };
        Ok(match (head, rest) {
            ("all", _) => Claim::All(many(within)?),
            ("some", _) => Claim::Some(many(turned)?),
            ("not", [claim]) => Claim::Not(Box::new(self.claim(claim, turned)?)),
            ("for-all-slices", rest) => self.slices(node, rest)?,
            ("after", [failures @ .., claim]) if !failures.is_empty() => {
                let mut claim = self.claim(claim, within)?;
                for failure in failures.iter().rev() {
                    claim = Claim::After(self.failure(failure)?, Box::new(claim));
                }
                claim
            }
            ("while-list-younger", [age, rest @ .., claim]) => {
                if within.younger {
                    return Err(node.error("while-list-younger stands in another"));
                }
                if within.turned {
                    return Err(node.error("while-list-younger can't stand under some or not"));
                }
                let changes = match rest {
                    [] => None,
                    [changes] => match changes.head_and_args("(changes N)")? {
                        ("changes", [n]) => Some(n.integer("changes", 0, MOST_LOST)?),
                        _ => {
                            return Err(
                                changes.error(format!("found {}, expected (changes N)", changes.describe()))
                            );
                        }
                    },
                    [_, more, ..] => return Err(more.error("expected one claim")),
                };
                let claim = Box::new(self.claim(claim, Within { younger: true, ..within })?);
                Claim::WhileListYounger { ms: age.duration_ms("the list's age")?, changes, claim }
            }
            ("load-per-searcher-at-most", [times]) => {
                Claim::LoadAtMost(times.positive_number("times the average load")?)
            }
            ("slices-per-searcher-at-most", [n]) => {
                Claim::SlicesAtMost(n.integer("slices", 1, u32::MAX - 1)?)
            }
            ("never" | "always", [watch]) => {
                if within.turned {
                    return Err(node.error(format!("{head} can't stand under some or not")));
                }
                Claim::Behaviour(self.watch(watch, head == "always")?)
            }
            (head, rest) if CLAIMS.contains(&head) => {
                return Err(node.error(format!("{head} has {} parts, which do not fit it", rest.len())));
            }
            (other, _) => return Err(unexpected_name(node, other, &CLAIMS)),
        })
    }

    fn slices(&self, node: &Node, rest: &[Node]) -> Result<Claim, ParseError> {
        let (mut of, mut only, mut what) = (None, None, Vec::new());
        for part in rest {
            match part.head_and_args("(reachable ...)")? {
                ("of", [customer]) => {
                    let name = customer.string("a customer's name")?;
                    let index = named(customer, self.fleet.customer(name))?;
                    if !self.fleet.customer_slices().iter().any(|o| o.customer == index) {
                        return Err(customer.error(format!("(fleet ...) states no slices of \"{name}\"")));
                    }
                    of = Some(index);
                }
                ("slices", [from, to]) => {
                    let range = range(from, to)?;
                    if *range.end() >= self.fleet.slices() {
                        let count = self.fleet.slices();
                        return Err(to.error(format!("slice {} is not among the {count}", range.end())));
                    }
                    only = Some(range);
                }
                _ => what.push(self.local(part)?),
            }
        }
        match what.len() {
            0 => Err(node.error("expected (reachable ...) in (for-all-slices ...)")),
            1 => Ok(Claim::ForAllSlices { of, only, what: what.remove(0) }),
            _ => Ok(Claim::ForAllSlices { of, only, what: SliceClaim::All(what) }),
        }
    }

    fn local(&self, node: &Node) -> Result<SliceClaim, ParseError> {
        const WORDS: [&str; 6] = ["reachable", "all", "some", "not", "of", "slices"];
        let (head, rest) = node.head_and_args("(reachable ...)")?;
        let many = || -> Result<Vec<SliceClaim>, ParseError> {
            if rest.is_empty() {
                return Err(node.error(format!("expected (reachable ...) in ({head})")));
            }
            rest.iter().map(|l| self.local(l)).collect()
        };
        Ok(match (head, rest) {
            ("all", _) => SliceClaim::All(many()?),
            ("some", _) => SliceClaim::Some(many()?),
            ("not", [local]) => SliceClaim::Not(Box::new(self.local(local)?)),
            ("reachable", rest) => SliceClaim::Reachable(self.reach(rest)?),
            (other, _) => return Err(unexpected_name(node, other, &WORDS)),
        })
    }

    fn reach(&self, rest: &[Node]) -> Result<Reachability, ParseError> {
        let mut reach = Reachability { searchers: 1, halls: 1, sets: 1, hall: None };
        for part in rest {
            let (head, values) = part.head_and_args("a measure, as (halls 2)")?;
            match (head, values) {
                ("searchers", [n]) => reach.searchers = n.integer("searchers", 1, u32::MAX - 1)?,
                ("halls", [n]) => reach.halls = n.integer("halls", 1, u32::MAX - 1)?,
                ("sets", [n]) => reach.sets = n.integer("sets", 1, u32::MAX - 1)?,
                ("in", [hall]) => {
                    reach.hall = Some(named(hall, self.fleet.hall(hall.string("a hall's name")?))?)
                }
                (other, _) => {
                    return Err(unexpected_name(part, other, &["searchers", "halls", "sets", "in"]));
                }
            }
        }
        Ok(reach)
    }

    fn failure(&self, node: &Node) -> Result<Failure, ParseError> {
        const WORDS: [&str; 12] = [
            "lose-hall",
            "lose-set",
            "lose-searchers",
            "lose-searcher",
            "drain-hall",
            "drain-set",
            "drain-searchers",
            "drain-searcher",
            "restart-hall",
            "restart-set",
            "restart-searchers",
            "restart-searcher",
        ];
        let (head, rest) = node.head_and_args("a failure, as (lose-hall any)")?;
        let (verb, whom) = head.split_once('-').unwrap_or((head, ""));
        let what = match verb {
            "lose" => Condition::Gone,
            "drain" => Condition::Draining,
            "restart" => Condition::Cold,
            _ => return Err(unexpected_name(node, head, &WORDS)),
        };
        let [value] = rest else {
            return Err(node.error(format!("{head} has {} values, expected one", rest.len())));
        };
        let any = matches!(&value.kind, NodeKind::Symbol(word) if word == "any");
        let whom = match whom {
            "hall" if any => FailureTarget::Hall(None),
            "hall" => FailureTarget::Hall(Some(named(
                value,
                self.fleet.hall(value.string("any, or a hall's name")?),
            )?)),
            "set" if any => FailureTarget::Set(None),
            "set" => FailureTarget::Set(Some(value.integer(
                "any, or a set",
                0,
                self.fleet.sets().saturating_sub(1) as u32,
            )?)),
            "searchers" => FailureTarget::Searchers(value.integer("searchers", 1, MOST_LOST)?),
            "searcher" if any => FailureTarget::Searchers(1),
            "searcher" => {
                let name = value.string("any, or a searcher's name")?;
                FailureTarget::Searcher(named(value, self.fleet.searcher(name))? as u32)
            }
            _ => return Err(unexpected_name(node, head, &WORDS)),
        };
        Ok(Failure { what, whom })
    }

    fn watch(&self, node: &Node, always: bool) -> Result<BehaviourClaim, ParseError> {
        let (head, rest) = node.head_and_args("(sent ...) or (answered ...)")?;
        let (mut table_type, mut to, mut hall) = (None, Vec::new(), None);
        let (mut again, mut beside, mut kinds, mut whole) = (false, false, Vec::new(), None);
        let sent = match head {
            "sent" => true,
            "answered" => false,
            other => return Err(unexpected_name(node, other, &["sent", "answered"])),
        };
        for part in rest {
            match (part.head_and_args("a condition, as (table-type \"standings\")")?, sent) {
                (("table-type", [name]), _) => {
                    table_type = Some(named(name, self.fleet.table_type(name.string("a table type")?))?);
                }
                (("to", conditions), true) if !conditions.is_empty() => {
                    for condition in conditions {
                        to.push(match condition.symbol("up, cold, draining or gone")? {
                            "up" => Condition::Up,
                            "cold" => Condition::Cold,
                            "draining" => Condition::Draining,
                            "gone" => Condition::Gone,
                            other => {
                                return Err(unexpected_name(
                                    condition,
                                    other,
                                    &["up", "cold", "draining", "gone"],
                                ));
                            }
                        });
                    }
                }
                (("in", [name]), true) => {
                    hall = Some(named(name, self.fleet.hall(name.string("a hall's name")?))?)
                }
                (("again", []), true) => again = true,
                (("beside", []), true) => beside = true,
                (("as", words), false) if !words.is_empty() => {
                    for word in words {
                        kinds.push(match word.symbol("completed, throttled or abandoned")? {
                            "completed" => AnswerKind::Completed,
                            "throttled" => AnswerKind::Throttled,
                            "abandoned" => AnswerKind::Abandoned,
                            other => {
                                return Err(unexpected_name(
                                    word,
                                    other,
                                    &["completed", "throttled", "abandoned"],
                                ));
                            }
                        });
                    }
                }
                (("whole", []), false) => whole = Some(true),
                (("not-whole", []), false) => whole = Some(false),
                ((other, _), true) => {
                    return Err(unexpected_name(part, other, &["table-type", "to", "in", "again", "beside"]));
                }
                ((other, _), false) => {
                    return Err(unexpected_name(part, other, &["table-type", "as", "whole", "not-whole"]));
                }
            }
        }
        let action = if sent {
            ObservedAction::Sent { to, hall, again, beside }
        } else {
            ObservedAction::Answered { kinds, whole }
        };
        Ok(BehaviourClaim { always, table_type, action })
    }
}
