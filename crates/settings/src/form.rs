//! S-expressions with the place of every word, bounded before they are parsed.
//!
//! A file of brackets must cost neither stack nor time: depth, size and the length of one list are counted in one
//! pass over the bytes before the parser sees them (its cost grows with the square of a list's length, measured:
//! 12 ms at 1,000 words, 11 s at 30,000).

use std::fmt;

use lexpr::datum::Ref;
use lexpr::{Parser, Value};

use crate::near;

/// Deepest nesting that is read.
pub const DEEPEST: usize = 64;
/// Longest text, in bytes.
pub const LONGEST: usize = 1 << 20;
/// Most words in one list.
pub const WIDEST: usize = 10_000;

/// Line and column, both from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct At {
    pub line: usize,
    pub column: usize,
}

/// What is wrong, and where; what was expected stands in the words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub at: At,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.at.line, self.at.column, self.what)
    }
}

impl std::error::Error for Fault {}

/// A form and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    pub at: At,
    pub kind: Kind,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    Word(String),
    Text(String),
    Number(f64),
    /// A number with a unit written to it, as `6s`.
    Measure(f64, String),
    List(Vec<Node>),
}

impl Node {
    /// A fault at this place.
    pub fn fault(&self, what: impl Into<String>) -> Fault {
        Fault { at: self.at, what: what.into() }
    }

    /// What stands here, for messages.
    pub fn found(&self) -> String {
        match &self.kind {
            Kind::Word(word) => word.clone(),
            Kind::Text(text) => format!("\"{text}\""),
            Kind::Number(number) => number.to_string(),
            Kind::Measure(number, unit) => format!("{number}{unit}"),
            Kind::List(nodes) => match nodes.first().map(|n| &n.kind) {
                Some(Kind::Word(word)) => format!("({word} ...)"),
                _ => "a list".to_owned(),
            },
        }
    }

    /// A form `(HEAD REST...)`.
    ///
    /// # Errors
    /// If this is no list that begins with a word.
    pub fn call(&self, expected: &str) -> Result<(&str, &[Node]), Fault> {
        if let Kind::List(nodes) = &self.kind
            && let Some((Node { kind: Kind::Word(word), .. }, rest)) = nodes.split_first()
        {
            return Ok((word, rest));
        }
        Err(self.fault(format!("found {}, expected {expected}", self.found())))
    }

    /// # Errors
    /// If this is no text in quotes.
    pub fn text(&self, expected: &str) -> Result<&str, Fault> {
        match &self.kind {
            Kind::Text(text) => Ok(text),
            _ => Err(self.fault(format!("found {}, expected {expected} in quotes", self.found()))),
        }
    }

    /// # Errors
    /// If this is no bare word.
    pub fn word(&self, expected: &str) -> Result<&str, Fault> {
        match &self.kind {
            Kind::Word(word) => Ok(word),
            _ => Err(self.fault(format!("found {}, expected {expected}", self.found()))),
        }
    }

    /// # Errors
    /// If this is no finite number above zero.
    pub fn figure(&self, expected: &str) -> Result<f64, Fault> {
        match self.kind {
            Kind::Number(number) if number.is_finite() && number > 0.0 => Ok(number),
            _ => Err(self.fault(format!("found {}, expected {expected}, a number above 0", self.found()))),
        }
    }

    /// A whole number from `least` to `most`.
    ///
    /// # Errors
    /// If this is none.
    pub fn count(&self, expected: &str, least: u32, most: u32) -> Result<u32, Fault> {
        match self.kind {
            Kind::Number(n) if n.fract() == 0.0 && n >= f64::from(least) && n <= f64::from(most) => {
                Ok(n as u32)
            }
            _ => {
                let wanted = format!("{expected}, a whole number from {least} to {most}");
                Err(self.fault(format!("found {}, expected {wanted}", self.found())))
            }
        }
    }

    /// A time such as `250ms`, `6s` or `2m`, in milliseconds.
    ///
    /// # Errors
    /// If this is none.
    pub fn time_ms(&self, expected: &str) -> Result<f64, Fault> {
        if let Kind::Measure(number, unit) = &self.kind
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
        Err(self.fault(format!("found {}, expected {expected}, a time as 250ms, 6s or 2m", self.found())))
    }
}

/// A word that is not among those expected, with the nearest that is.
pub fn unexpected(at: &Node, found: &str, among: &[&str]) -> Fault {
    let hint = match near(found, among.iter().copied()) {
        Some(other) => format!("; did you mean {other}?"),
        None => String::new(),
    };
    at.fault(format!("found {found}, expected one of {}{hint}", among.join(", ")))
}

/// Reads all forms of a text.
///
/// # Errors
/// The first place that can't be read, or where a bound is passed.
pub fn read(text: &str) -> Result<Vec<Node>, Fault> {
    bound(text)?;
    let mut parser = Parser::from_str(text);
    let mut nodes = Vec::new();
    loop {
        match parser.next_datum() {
            Ok(Some(datum)) => nodes.push(node(datum.as_ref())?),
            Ok(None) => return Ok(nodes),
            Err(error) => {
                let at = error
                    .location()
                    .map_or(At { line: 1, column: 1 }, |l| At { line: l.line(), column: l.column().max(1) });
                let what = error.to_string();
                let what = what.split(" at line ").next().unwrap_or_default().to_owned();
                return Err(Fault { at, what });
            }
        }
    }
}

/// Counts depth and width without a stack that the text could grow beyond [`DEEPEST`].
fn bound(text: &str) -> Result<(), Fault> {
    let mut at = At { line: 1, column: 0 };
    if text.len() > LONGEST {
        let what = format!("{} bytes are over the {LONGEST} that are read", text.len());
        return Err(Fault { at: At { line: 1, column: 1 }, what });
    }
    let mut widths = Vec::with_capacity(DEEPEST);
    let (mut quoted, mut escaped, mut remark, mut in_word) = (false, false, false, false);
    for c in text.chars() {
        at.column += 1;
        if c == '\n' {
            at = At { line: at.line + 1, column: 0 };
            remark = false;
        }
        if remark {
            continue;
        }
        if quoted {
            (quoted, escaped) = (escaped || c != '"', !escaped && c == '\\');
            continue;
        }
        let begins = match c {
            ';' => {
                (remark, in_word) = (true, false);
                false
            }
            '"' => {
                (quoted, in_word) = (true, false);
                true
            }
            '(' | '[' => {
                in_word = false;
                true
            }
            ')' | ']' => {
                widths.pop();
                in_word = false;
                false
            }
            c if c.is_whitespace() => {
                in_word = false;
                false
            }
            _ => !std::mem::replace(&mut in_word, true),
        };
        if begins && let Some(width) = widths.last_mut() {
            *width += 1;
            if *width > WIDEST {
                return Err(Fault { at, what: format!("a list of over {WIDEST} words") });
            }
        }
        if matches!(c, '(' | '[') {
            if widths.len() == DEEPEST {
                return Err(Fault { at, what: format!("brackets nested over {DEEPEST} deep") });
            }
            widths.push(0);
        }
    }
    Ok(())
}

fn node(datum: Ref<'_>) -> Result<Node, Fault> {
    let start = datum.span().start();
    let at = At { line: start.line(), column: start.column() + 1 };
    let kind = match datum.value() {
        Value::Symbol(word) => Kind::Word(word.to_string()),
        Value::Keyword(word) => Kind::Word(format!(":{word}")),
        Value::String(text) => Kind::Text(text.to_string()),
        Value::Number(number) => Kind::Number(number.as_f64().unwrap_or(f64::NAN)),
        Value::Bool(_) | Value::Char(_) | Value::Vector(_) | Value::Bytes(_) | Value::Nil => {
            return Err(Fault { at, what: "expected a word, a number, a text or a list".to_owned() });
        }
        Value::Null | Value::Cons(_) => {
            let mut items = datum.list_iter().ok_or(Fault { at, what: "expected a list".to_owned() })?;
            let (mut nodes, mut end) = (Vec::<Node>::new(), None);
            for item in items.by_ref() {
                let (from, to) = (item.span().start(), item.span().end());
                let next = node(item)?;
                // The parser ends a number where letters begin; written together they are a measure.
                let joined = end.is_some_and(|e| e == (from.line(), from.column()));
                match (nodes.last_mut(), &next.kind) {
                    (Some(Node { kind: kind @ Kind::Number(_), .. }), Kind::Word(unit)) if joined => {
                        if let Kind::Number(number) = *kind {
                            *kind = Kind::Measure(number, unit.clone());
                        }
                    }
                    _ => nodes.push(next),
                }
                end = Some((to.line(), to.column()));
            }
            if !items.is_empty() {
                return Err(Fault { at, what: "found a dotted pair, expected a list".to_owned() });
            }
            Kind::List(nodes)
        }
    };
    Ok(Node { at, kind })
}
