//! Parser for S-expressions with source positions and limits on the input.
//!
//! A hostile file must not exhaust the stack or take long to parse. Nesting depth, text size and list length are checked in
//! one pass before parsing, as the parser's cost grows with the square of a list's length: 12 ms at 1,000 items, 11 s at
//! 30,000.

use std::fmt;

use lexpr::datum::Ref;
use lexpr::{Parser, Value};

use crate::nearest_name;

/// Maximum nesting depth.
pub const MAX_DEPTH: usize = 64;
/// Maximum size of the text in bytes.
pub const MAX_TEXT_BYTES: usize = 1 << 20;
/// Maximum number of items in a list.
pub const MAX_LIST_LEN: usize = 10_000;

/// Line and column, both starting at one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    pub line: usize,
    pub column: usize,
}

/// An error in the text with its position; the message states what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    pub position: Position,
    pub message: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.position.line, self.position.column, self.message)
    }
}

impl std::error::Error for ParseError {}

/// An expression with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    pub position: Position,
    pub kind: NodeKind,
}

#[derive(Clone, Debug, PartialEq)]
pub enum NodeKind {
    Symbol(String),
    String(String),
    Number(f64),
    /// A number directly followed by a unit, as `6s`.
    Quantity(f64, String),
    List(Vec<Node>),
}

impl Node {
    /// An error at this position.
    pub fn error(&self, message: impl Into<String>) -> ParseError {
        ParseError { position: self.position, message: message.into() }
    }

    /// Short text of the expression for error messages.
    pub fn describe(&self) -> String {
        match &self.kind {
            NodeKind::Symbol(symbol) => symbol.clone(),
            NodeKind::String(text) => format!("\"{text}\""),
            NodeKind::Number(number) => number.to_string(),
            NodeKind::Quantity(number, unit) => format!("{number}{unit}"),
            NodeKind::List(nodes) => match nodes.first().map(|n| &n.kind) {
                Some(NodeKind::Symbol(head)) => format!("({head} ...)"),
                _ => "a list".to_owned(),
            },
        }
    }

    /// Head and arguments of a form `(HEAD ARGUMENT...)`.
    ///
    /// # Errors
    /// If this is not a list that starts with a symbol.
    pub fn head_and_args(&self, expected: &str) -> Result<(&str, &[Node]), ParseError> {
        if let NodeKind::List(nodes) = &self.kind
            && let Some((Node { kind: NodeKind::Symbol(head), .. }, arguments)) = nodes.split_first()
        {
            return Ok((head, arguments));
        }
        Err(self.error(format!("found {}, expected {expected}", self.describe())))
    }

    /// # Errors
    /// If this is not a quoted string.
    pub fn string(&self, expected: &str) -> Result<&str, ParseError> {
        match &self.kind {
            NodeKind::String(text) => Ok(text),
            _ => Err(self.error(format!("found {}, expected {expected} in quotes", self.describe()))),
        }
    }

    /// # Errors
    /// If this is not a symbol.
    pub fn symbol(&self, expected: &str) -> Result<&str, ParseError> {
        match &self.kind {
            NodeKind::Symbol(symbol) => Ok(symbol),
            _ => Err(self.error(format!("found {}, expected {expected}", self.describe()))),
        }
    }

    /// # Errors
    /// If this is not a finite number above zero.
    pub fn positive_number(&self, expected: &str) -> Result<f64, ParseError> {
        match self.kind {
            NodeKind::Number(number) if number.is_finite() && number > 0.0 => Ok(number),
            _ => Err(self.error(format!("found {}, expected {expected}, a number above 0", self.describe()))),
        }
    }

    /// An integer from `min` to `max`.
    ///
    /// # Errors
    /// If this is not such a number.
    pub fn integer(&self, expected: &str, min: u32, max: u32) -> Result<u32, ParseError> {
        match self.kind {
            NodeKind::Number(n) if n.fract() == 0.0 && n >= f64::from(min) && n <= f64::from(max) => {
                Ok(n as u32)
            }
            _ => {
                let wanted = format!("{expected}, a whole number from {min} to {max}");
                Err(self.error(format!("found {}, expected {wanted}", self.describe())))
            }
        }
    }

    /// A duration such as `250ms`, `6s` or `2m`, in milliseconds.
    ///
    /// # Errors
    /// If this is not a positive number with a unit of time.
    pub fn duration_ms(&self, expected: &str) -> Result<f64, ParseError> {
        if let NodeKind::Quantity(number, unit) = &self.kind
            && *number > 0.0
        {
            match unit.as_str() {
                "ms" => return Ok(*number),
                "s" => return Ok(number * 1000.0),
                "m" => return Ok(number * 60_000.0),
                "h" => return Ok(number * 3_600_000.0),
                _ => {}
            }
        }
        Err(self.error(format!("found {}, expected {expected}, a time as 250ms, 6s or 2m", self.describe())))
    }
}

/// Error for an unknown name; it lists the expected names and suggests the nearest one.
pub fn unexpected_name(node: &Node, found: &str, expected: &[&str]) -> ParseError {
    let hint = match nearest_name(found, expected.iter().copied()) {
        Some(other) => format!("; did you mean {other}?"),
        None => String::new(),
    };
    node.error(format!("found {found}, expected one of {}{hint}", expected.join(", ")))
}

/// Parses all expressions of a text.
///
/// # Errors
/// At the first syntax error, or where a limit is exceeded.
pub fn parse(text: &str) -> Result<Vec<Node>, ParseError> {
    check_limits(text)?;
    let mut parser = Parser::from_str(text);
    let mut nodes = Vec::new();
    loop {
        match parser.next_datum() {
            Ok(Some(datum)) => nodes.push(convert(datum.as_ref())?),
            Ok(None) => return Ok(nodes),
            Err(error) => {
                let position = error.location().map_or(Position { line: 1, column: 1 }, |l| Position {
                    line: l.line(),
                    column: l.column().max(1),
                });
                // The position is reported separately.
                let message = error.to_string();
                let message = message.split(" at line ").next().unwrap_or_default().to_owned();
                return Err(ParseError { position, message });
            }
        }
    }
}

/// Checks nesting depth and list lengths; the stack of open lists has at most [`MAX_DEPTH`] entries.
fn check_limits(text: &str) -> Result<(), ParseError> {
    let mut position = Position { line: 1, column: 0 };
    if text.len() > MAX_TEXT_BYTES {
        let message = format!("the text has {} bytes, the limit is {MAX_TEXT_BYTES}", text.len());
        return Err(ParseError { position: Position { line: 1, column: 1 }, message });
    }
    let mut lengths = Vec::with_capacity(MAX_DEPTH);
    let mut quoted = false;
    let mut escaped = false;
    let mut in_comment = false;
    let mut in_token = false;
    for c in text.chars() {
        position.column += 1;
        if c == '\n' {
            position = Position { line: position.line + 1, column: 0 };
            in_comment = false;
        }
        if in_comment {
            continue;
        }
        if quoted {
            quoted = escaped || c != '"';
            escaped = !escaped && c == '\\';
            continue;
        }
        let starts_item = match c {
            ';' => {
                in_comment = true;
                in_token = false;
                false
            }
            '"' => {
                quoted = true;
                in_token = false;
                true
            }
            '(' | '[' => {
                in_token = false;
                true
            }
            ')' | ']' => {
                lengths.pop();
                in_token = false;
                false
            }
            c if c.is_whitespace() => {
                in_token = false;
                false
            }
            _ => !std::mem::replace(&mut in_token, true),
        };
        if starts_item && let Some(length) = lengths.last_mut() {
            *length += 1;
            if *length > MAX_LIST_LEN {
                return Err(ParseError {
                    position,
                    message: format!("a list has more than {MAX_LIST_LEN} items"),
                });
            }
        }
        if matches!(c, '(' | '[') {
            if lengths.len() == MAX_DEPTH {
                return Err(ParseError {
                    position,
                    message: format!("lists are nested more than {MAX_DEPTH} levels deep"),
                });
            }
            lengths.push(0);
        }
    }
    Ok(())
}

/// Converts an expression of the parser.
fn convert(datum: Ref<'_>) -> Result<Node, ParseError> {
    let start = datum.span().start();
    let position = Position { line: start.line(), column: start.column() + 1 };
    let kind = match datum.value() {
        Value::Symbol(symbol) => NodeKind::Symbol(symbol.to_string()),
        Value::Keyword(keyword) => NodeKind::Symbol(format!(":{keyword}")),
        Value::String(text) => NodeKind::String(text.to_string()),
        Value::Number(number) => NodeKind::Number(number.as_f64().unwrap_or(f64::NAN)),
        Value::Bool(_) | Value::Char(_) | Value::Vector(_) | Value::Bytes(_) | Value::Nil => {
            return Err(ParseError {
                position,
                message: "expected a symbol, a number, a string or a list".to_owned(),
            });
        }
        Value::Null | Value::Cons(_) => {
            let mut items =
                datum.list_iter().ok_or(ParseError { position, message: "expected a list".to_owned() })?;
            let mut nodes: Vec<Node> = Vec::new();
            let mut end = None;
            for item in items.by_ref() {
                let from = item.span().start();
                let to = item.span().end();
                let next = convert(item)?;
                // The parser splits `6s` into a number and a symbol; without a gap between them they are a quantity.
                let joined = end.is_some_and(|e| e == (from.line(), from.column()));
                match (nodes.last_mut(), &next.kind) {
                    (Some(Node { kind: kind @ NodeKind::Number(_), .. }), NodeKind::Symbol(unit))
                        if joined =>
                    {
                        if let NodeKind::Number(number) = *kind {
                            *kind = NodeKind::Quantity(number, unit.clone());
                        }
                    }
                    _ => nodes.push(next),
                }
                end = Some((to.line(), to.column()));
            }
            if !items.is_empty() {
                return Err(ParseError {
                    position,
                    message: "found a dotted pair, expected a list".to_owned(),
                });
            }
            NodeKind::List(nodes)
        }
    };
    Ok(Node { position, kind })
}
