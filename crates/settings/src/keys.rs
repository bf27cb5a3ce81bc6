//! What sections of the operator's file have in common: keys with one value, given once.

use std::str::FromStr;

use crate::form::{Fault, Node};

/// A text in quotes that reads as something.
pub(crate) fn parsed<T: FromStr>(node: &Node, expected: &str) -> Result<T, Fault> {
    let text = node.text(expected)?;
    text.parse().map_err(|_| node.fault(format!("found \"{text}\", expected {expected}")))
}

pub(crate) fn share(node: &Node, expected: &str) -> Result<f64, Fault> {
    let share = node.figure(expected)?;
    if share > 1.0 {
        Err(node.fault(format!("found {share}, expected {expected}, a share up to 1")))
    } else {
        Ok(share)
    }
}

pub(crate) fn pair(node: &Node) -> Result<(&str, &Node), Fault> {
    let (key, rest) = node.call("a key and its value, as (level info)")?;
    match rest {
        [value] => Ok((key, value)),
        _ => Err(node.fault(format!("{key} has {} values, expected one", rest.len()))),
    }
}

pub(crate) fn once(seen: &mut Vec<String>, node: &Node, key: String) -> Result<(), Fault> {
    if seen.contains(&key) {
        return Err(node.fault(format!("{key} is given twice")));
    }
    seen.push(key);
    Ok(())
}
