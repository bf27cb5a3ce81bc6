//! Helpers shared by the sections of the settings file.

use std::str::FromStr;

use crate::sexpr::{Node, ParseError};

/// Parses a quoted string.
pub(crate) fn parsed<T: FromStr>(node: &Node, expected: &str) -> Result<T, ParseError> {
    let text = node.string(expected)?;
    text.parse().map_err(|_| node.error(format!("found \"{text}\", expected {expected}")))
}

/// A share above 0 and up to 1.
pub(crate) fn share(node: &Node, expected: &str) -> Result<f64, ParseError> {
    let share = node.positive_number(expected)?;
    if share > 1.0 {
        Err(node.error(format!("found {share}, expected {expected}, a share up to 1")))
    } else {
        Ok(share)
    }
}

/// A key with exactly one value.
pub(crate) fn pair(node: &Node) -> Result<(&str, &Node), ParseError> {
    let (key, values) = node.head_and_args("a key and its value, as (level info)")?;
    match values {
        [value] => Ok((key, value)),
        _ => Err(node.error(format!("{key} has {} values, expected one", values.len()))),
    }
}

/// Records a key and fails if it was seen before.
pub(crate) fn once(seen: &mut Vec<String>, node: &Node, key: String) -> Result<(), ParseError> {
    if seen.contains(&key) {
        return Err(node.error(format!("{key} is given twice")));
    }
    seen.push(key);
    Ok(())
}
