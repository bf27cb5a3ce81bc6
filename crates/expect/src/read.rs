//! Parser of expectation files. Names are resolved against the fleet, so that an unknown name is reported with its
//! position in the file.

use std::ops::RangeInclusive;

use pewterwharf_fleet::{Condition, Fleet};
use pewterwharf_settings::sexpr::{self, Node, NodeKind, ParseError, unexpected_name};

use crate::claim::{
    AnswerKind, BehaviourClaim, Claim, Failure, FailureTarget, ObservedAction, Pace, Reachability, SliceClaim,
};

/// Maximum number of searchers that one claim may name as failed; the number of cases grows too fast beyond it.
const MAX_FAILED_SEARCHERS: u32 = 64;
/// Maximum number of forms in a file.
const MAX_FORMS: usize = 10_000;

/// The `(fleet ...)` form: the files that describe the fleet, and what the files do not contain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetSource {
    /// Paths as written, relative to the directory of the expectation file.
    pub config_path: String,
    pub list_path: String,
    pub customer_slices: Vec<CustomerSlices>,
    pub pace: Option<Pace>,
}

/// A customer, and the slices that its scans read.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSlices {
    pub customer: String,
    pub slices: RangeInclusive<u32>,
    pub position: sexpr::Position,
}

/// A parsed file whose names are not resolved yet.
#[derive(Clone, Debug)]
pub struct ParsedFile {
    pub source: FleetSource,
    expectations: Vec<UnresolvedExpectation>,
}

#[derive(Clone, Debug)]
struct UnresolvedExpectation {
    name: String,
    claim: Node,
}

/// One expectation.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    pub name: String,
    /// Line in the file.
    pub line: usize,
    pub claim: Claim,
}

impl ParsedFile {
    /// Parses a file: one `(fleet ...)`, and any number of `(expect "name" CLAIM)`.
    ///
    /// # Errors
    /// Position of the first form that can't be parsed, and what was expected there.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        let mut source = None;
        let mut expectations: Vec<UnresolvedExpectation> = Vec::new();
        let nodes = sexpr::parse(text)?;
        if nodes.len() > MAX_FORMS {
            return Err(nodes[MAX_FORMS].error(format!("more than {MAX_FORMS} forms")));
        }
        for node in nodes {
            let (head, args) = node.head_and_args("(fleet ...) or (expect \"name\" ...)")?;
            match (head, args) {
                ("fleet", args) if source.is_none() => source = Some(parse_fleet(&node, args)?),
                ("fleet", _) => return Err(node.error("a second (fleet ...)")),
                ("expect", [name, claim]) => {
                    let name = name.string("the name of an expectation")?.to_owned();
                    if expectations.iter().any(|other| other.name == name) {
                        return Err(node.error(format!("a second expectation is called \"{name}\"")));
                    }
                    expectations.push(UnresolvedExpectation { name, claim: claim.clone() });
                }
                ("expect", _) => return Err(node.error("expected (expect \"name\" CLAIM), with one claim")),
                (other, _) => return Err(unexpected_name(&node, other, &["fleet", "expect"])),
            }
        }
        let start_of_file = sexpr::Position { line: 1, column: 1 };
        let source = source.ok_or(ParseError {
            position: start_of_file,
            message: "expected a form (fleet ...)".to_owned(),
        })?;
        Ok(Self { source, expectations })
    }

    /// Adds the slices of the customers to the fleet.
    ///
    /// # Errors
    /// Position of a customer or slice that the fleet does not have.
    pub fn add_customer_slices(&self, fleet: &mut Fleet) -> Result<(), ParseError> {
        for CustomerSlices { customer, slices, position } in &self.source.customer_slices {
            let added = fleet.add_customer_slices(customer, slices.clone());
            added.map_err(|error| ParseError { position: *position, message: error.to_string() })?;
        }
        Ok(())
    }

    /// Resolves all names.
    ///
    /// # Errors
    /// Position of an expression that is not valid there, or of a name that the fleet does not have.
    pub fn resolve(&self, fleet: &Fleet) -> Result<Vec<Expectation>, ParseError> {
        let parser = ClaimParser { fleet };
        let resolve = |unresolved: &UnresolvedExpectation| {
            let claim = parser.claim(&unresolved.claim, Context::default())?;
            let line = unresolved.claim.position.line;
            Ok(Expectation { name: unresolved.name.clone(), line, claim })
        };
        self.expectations.iter().map(resolve).collect()
    }
}

fn parse_fleet(form: &Node, args: &[Node]) -> Result<FleetSource, ParseError> {
    let mut source = FleetSource::default();
    let mut seen_keys = Vec::new();
    for node in args {
        let (key, values) = node.head_and_args("a part of the fleet, as (terms \"mixer.json\")")?;
        if key != "slices" && seen_keys.contains(&key) {
            return Err(node.error(format!("{key} is given twice")));
        }
        seen_keys.push(key);
        match (key, values) {
            ("terms", [path]) => {
                source.config_path = path.string("the path of a mixer's configuration")?.to_owned();
            }
            ("list", [path]) => source.list_path = path.string("the path of a searcher list")?.to_owned(),
            ("slices", [customer, first, last]) => {
                let slices = parse_slice_range(first, last)?;
                let customer = customer.string("a customer's name")?.to_owned();
                source.customer_slices.push(CustomerSlices { customer, slices, position: node.position });
            }
            ("pace", [changes, every]) => source.pace = Some(parse_pace(changes, every)?),
            ("terms" | "list" | "slices" | "pace", values) => {
                return Err(node.error(format!("{key} has {} values, which do not fit it", values.len())));
            }
            (other, _) => return Err(unexpected_name(node, other, &["terms", "list", "slices", "pace"])),
        }
    }
    match (source.config_path.is_empty(), source.list_path.is_empty()) {
        (true, _) => Err(form.error("expected (terms \"PATH\") in (fleet ...)")),
        (_, true) => Err(form.error("expected (list \"PATH\") in (fleet ...)")),
        _ => Ok(source),
    }
}

/// Parses the arguments of `(pace (changes 1) (every 2s))`.
fn parse_pace(changes: &Node, every: &Node) -> Result<Pace, ParseError> {
    match (changes.head_and_args("(changes N)")?, every.head_and_args("(every TIME)")?) {
        (("changes", [changes]), ("every", [every])) => Ok(Pace {
            changes: changes.integer("changes", 1, MAX_FAILED_SEARCHERS)?,
            every_ms: every.duration_ms("the time in which they may happen")?,
        }),
        _ => Err(changes.error("expected (changes N) (every TIME)")),
    }
}

fn parse_slice_range(first: &Node, last: &Node) -> Result<RangeInclusive<u32>, ParseError> {
    let range =
        first.integer("first slice", 0, u32::MAX - 1)?..=last.integer("last slice", 0, u32::MAX - 1)?;
    if range.is_empty() {
        return Err(last.error(format!("found {}, expected a slice from {} on", range.end(), range.start())));
    }
    Ok(range)
}

/// The forms around a claim, as far as they restrict it.
#[derive(Clone, Copy, Default)]
struct Context {
    /// Under `some` or `not`, where claims about behaviour can't be explored.
    under_some_or_not: bool,
    under_list_age: bool,
}

/// Parser of claims that resolves names against a fleet.
struct ClaimParser<'a> {
    fleet: &'a Fleet,
}

const CLAIM_NAMES: [&str; 10] = [
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
const SLICE_CLAIM_NAMES: [&str; 6] = ["reachable", "all", "some", "not", "of", "slices"];
const FAILURE_NAMES: [&str; 12] = [
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

/// Adds the position of `node` to the error of a lookup.
fn resolved<T>(node: &Node, lookup: Result<T, impl std::fmt::Display>) -> Result<T, ParseError> {
    lookup.map_err(|error| node.error(error.to_string()))
}

impl ClaimParser<'_> {
    fn claim(&self, node: &Node, context: Context) -> Result<Claim, ParseError> {
        let (head, args) = node.head_and_args("a claim, as (for-all-slices ...)")?;
        let claims = |context: Context| -> Result<Vec<Claim>, ParseError> {
            if args.is_empty() {
                return Err(node.error(format!("expected a claim in ({head})")));
            }
            args.iter().map(|claim| self.claim(claim, context)).collect()
        };
        let some_or_not = Context { under_some_or_not: true, ..context };
        Ok(match (head, args) {
            ("all", _) => Claim::All(claims(context)?),
            ("some", _) => Claim::Some(claims(some_or_not)?),
            ("not", [claim]) => Claim::Not(Box::new(self.claim(claim, some_or_not)?)),
            ("for-all-slices", args) => self.for_all_slices(node, args)?,
            ("after", [failures @ .., claim]) if !failures.is_empty() => {
                let mut claim = self.claim(claim, context)?;
                for failure in failures.iter().rev() {
                    claim = Claim::After(self.failure(failure)?, Box::new(claim));
                }
                claim
            }
            ("while-list-younger", [age, options @ .., claim]) => {
                self.while_list_younger(node, age, options, claim, context)?
            }
            ("load-per-searcher-at-most", [multiple]) => {
                Claim::LoadAtMost(multiple.positive_number("times the average load")?)
            }
            ("slices-per-searcher-at-most", [count]) => {
                Claim::SlicesAtMost(count.integer("slices", 1, u32::MAX - 1)?)
            }
            ("never" | "always", [action]) => {
                if context.under_some_or_not {
                    return Err(node.error(format!("{head} is not allowed under some or not")));
                }
                Claim::Behaviour(self.behaviour(action, head == "always")?)
            }
            (head, args) if CLAIM_NAMES.contains(&head) => {
                return Err(node.error(format!("{head} has {} parts, which do not fit it", args.len())));
            }
            (other, _) => return Err(unexpected_name(node, other, &CLAIM_NAMES)),
        })
    }

    fn while_list_younger(
        &self,
        node: &Node,
        age: &Node,
        options: &[Node],
        claim: &Node,
        context: Context,
    ) -> Result<Claim, ParseError> {
        if context.under_list_age {
            return Err(node.error("while-list-younger is not allowed in another while-list-younger"));
        }
        if context.under_some_or_not {
            return Err(node.error("while-list-younger is not allowed under some or not"));
        }
        let max_changes = match options {
            [] => None,
            [changes] => match changes.head_and_args("(changes N)")? {
                ("changes", [count]) => Some(count.integer("changes", 0, MAX_FAILED_SEARCHERS)?),
                _ => {
                    let found = changes.describe();
                    return Err(changes.error(format!("found {found}, expected (changes N)")));
                }
            },
            [_, surplus, ..] => return Err(surplus.error("expected one claim")),
        };
        let claim = Box::new(self.claim(claim, Context { under_list_age: true, ..context })?);
        let max_age_ms = age.duration_ms("the list's age")?;
        Ok(Claim::WhileListYounger { max_age_ms, max_changes, claim })
    }

    fn for_all_slices(&self, node: &Node, args: &[Node]) -> Result<Claim, ParseError> {
        let mut customer = None;
        let mut range = None;
        let mut claims = Vec::new();
        for arg in args {
            match arg.head_and_args("(reachable ...)")? {
                ("of", [name]) => customer = Some(self.customer_with_slices(name)?),
                ("slices", [first, last]) => range = Some(self.slice_range(first, last)?),
                _ => claims.push(self.slice_claim(arg)?),
            }
        }
        let claim = match claims.len() {
            0 => return Err(node.error("expected (reachable ...) in (for-all-slices ...)")),
            1 => claims.remove(0),
            _ => SliceClaim::All(claims),
        };
        Ok(Claim::ForAllSlices { customer, range, claim })
    }

    /// Index of the customer; an error if the file states no slices of it.
    fn customer_with_slices(&self, node: &Node) -> Result<usize, ParseError> {
        let name = node.string("a customer's name")?;
        let customer = resolved(node, self.fleet.customer(name))?;
        if !self.fleet.customer_slices().iter().any(|owned| owned.customer == customer) {
            return Err(node.error(format!("(fleet ...) states no slices of \"{name}\"")));
        }
        Ok(customer)
    }

    fn slice_range(&self, first: &Node, last: &Node) -> Result<RangeInclusive<u32>, ParseError> {
        let range = parse_slice_range(first, last)?;
        if *range.end() >= self.fleet.slices() {
            let count = self.fleet.slices();
            return Err(last.error(format!("slice {} is not among the {count}", range.end())));
        }
        Ok(range)
    }

    fn slice_claim(&self, node: &Node) -> Result<SliceClaim, ParseError> {
        let (head, args) = node.head_and_args("(reachable ...)")?;
        let claims = || -> Result<Vec<SliceClaim>, ParseError> {
            if args.is_empty() {
                return Err(node.error(format!("expected (reachable ...) in ({head})")));
            }
            args.iter().map(|claim| self.slice_claim(claim)).collect()
        };
        Ok(match (head, args) {
            ("all", _) => SliceClaim::All(claims()?),
            ("some", _) => SliceClaim::Some(claims()?),
            ("not", [claim]) => SliceClaim::Not(Box::new(self.slice_claim(claim)?)),
            ("reachable", args) => SliceClaim::Reachable(self.reachability(args)?),
            (other, _) => return Err(unexpected_name(node, other, &SLICE_CLAIM_NAMES)),
        })
    }

    fn reachability(&self, args: &[Node]) -> Result<Reachability, ParseError> {
        let mut minimum = Reachability { searchers: 1, halls: 1, sets: 1, hall: None };
        for arg in args {
            let (head, values) = arg.head_and_args("a measure, as (halls 2)")?;
            match (head, values) {
                ("searchers", [count]) => {
                    minimum.searchers = count.integer("searchers", 1, u32::MAX - 1)?;
                }
                ("halls", [count]) => minimum.halls = count.integer("halls", 1, u32::MAX - 1)?,
                ("sets", [count]) => minimum.sets = count.integer("sets", 1, u32::MAX - 1)?,
                ("in", [hall]) => minimum.hall = Some(self.hall(hall, "a hall's name")?),
                (other, _) => {
                    return Err(unexpected_name(arg, other, &["searchers", "halls", "sets", "in"]));
                }
            }
        }
        Ok(minimum)
    }

    fn hall(&self, node: &Node, expected: &str) -> Result<usize, ParseError> {
        resolved(node, self.fleet.hall(node.string(expected)?))
    }

    fn failure(&self, node: &Node) -> Result<Failure, ParseError> {
        let (head, args) = node.head_and_args("a failure, as (lose-hall any)")?;
        let (verb, target) = head.split_once('-').unwrap_or((head, ""));
        let condition = match verb {
            "lose" => Condition::Gone,
            "drain" => Condition::Draining,
            "restart" => Condition::Cold,
            _ => return Err(unexpected_name(node, head, &FAILURE_NAMES)),
        };
        let [value] = args else {
            return Err(node.error(format!("{head} has {} values, expected one", args.len())));
        };
        let any = matches!(&value.kind, NodeKind::Symbol(symbol) if symbol == "any");
        let target = match target {
            "hall" if any => FailureTarget::Hall(None),
            "hall" => FailureTarget::Hall(Some(self.hall(value, "any, or a hall's name")?)),
            "set" if any => FailureTarget::Set(None),
            "set" => FailureTarget::Set(Some(value.integer(
                "any, or a set",
                0,
                self.fleet.sets().saturating_sub(1) as u32,
            )?)),
            "searchers" => FailureTarget::Searchers(value.integer("searchers", 1, MAX_FAILED_SEARCHERS)?),
            "searcher" if any => FailureTarget::Searchers(1),
            "searcher" => {
                let name = value.string("any, or a searcher's name")?;
                FailureTarget::Searcher(resolved(value, self.fleet.searcher(name))? as u32)
            }
            _ => return Err(unexpected_name(node, head, &FAILURE_NAMES)),
        };
        Ok(Failure { condition, target })
    }

    fn behaviour(&self, node: &Node, always: bool) -> Result<BehaviourClaim, ParseError> {
        let (head, args) = node.head_and_args("(sent ...) or (answered ...)")?;
        match head {
            "sent" => self.dispatch_claim(args, always),
            "answered" => self.answer_claim(args, always),
            other => Err(unexpected_name(node, other, &["sent", "answered"])),
        }
    }

    fn dispatch_claim(&self, args: &[Node], always: bool) -> Result<BehaviourClaim, ParseError> {
        let mut table_type = None;
        let mut conditions = Vec::new();
        let mut hall = None;
        let mut repeated = false;
        let mut concurrent = false;
        for arg in args {
            match arg.head_and_args("a condition, as (table-type \"standings\")")? {
                ("table-type", [name]) => table_type = Some(self.table_type(name)?),
                ("to", names) if !names.is_empty() => {
                    for name in names {
                        conditions.push(parse_condition(name)?);
                    }
                }
                ("in", [name]) => hall = Some(self.hall(name, "a hall's name")?),
                ("again", []) => repeated = true,
                ("beside", []) => concurrent = true,
                (other, _) => {
                    return Err(unexpected_name(arg, other, &["table-type", "to", "in", "again", "beside"]));
                }
            }
        }
        let action = ObservedAction::Dispatch { conditions, hall, repeated, concurrent };
        Ok(BehaviourClaim { always, table_type, action })
    }

    fn answer_claim(&self, args: &[Node], always: bool) -> Result<BehaviourClaim, ParseError> {
        let mut table_type = None;
        let mut kinds = Vec::new();
        let mut whole = None;
        for arg in args {
            match arg.head_and_args("a condition, as (table-type \"standings\")")? {
                ("table-type", [name]) => table_type = Some(self.table_type(name)?),
                ("as", names) if !names.is_empty() => {
                    for name in names {
                        kinds.push(parse_answer_kind(name)?);
                    }
                }
                ("whole", []) => whole = Some(true),
                ("not-whole", []) => whole = Some(false),
                (other, _) => {
                    return Err(unexpected_name(arg, other, &["table-type", "as", "whole", "not-whole"]));
                }
            }
        }
        let action = ObservedAction::Answer { kinds, whole };
        Ok(BehaviourClaim { always, table_type, action })
    }

    fn table_type(&self, node: &Node) -> Result<usize, ParseError> {
        resolved(node, self.fleet.table_type(node.string("a table type")?))
    }
}

fn parse_condition(node: &Node) -> Result<Condition, ParseError> {
    match node.symbol("up, cold, draining or gone")? {
        "up" => Ok(Condition::Up),
        "cold" => Ok(Condition::Cold),
        "draining" => Ok(Condition::Draining),
        "gone" => Ok(Condition::Gone),
        other => Err(unexpected_name(node, other, &["up", "cold", "draining", "gone"])),
    }
}

fn parse_answer_kind(node: &Node) -> Result<AnswerKind, ParseError> {
    match node.symbol("completed, throttled or abandoned")? {
        "completed" => Ok(AnswerKind::Completed),
        "throttled" => Ok(AnswerKind::Throttled),
        "abandoned" => Ok(AnswerKind::Abandoned),
        other => Err(unexpected_name(node, other, &["completed", "throttled", "abandoned"])),
    }
}
