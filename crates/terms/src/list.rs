//! The searcher list in the format of discovery: as received over a watch, given under the key `known`, or read from a file.

use std::net::SocketAddrV4;

use anyhow::{Context, Result, bail};
use pewterwharf::interface::SearcherStatus;
use serde_json::Value;

/// One searcher as discovery describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: String,
    pub addr: SocketAddrV4,
    pub zone: String,
    pub cell: u32,
    /// Start of the searcher's process in milliseconds since 1970; zero if unknown.
    pub since: f64,
    pub life: SearcherStatus,
    /// Age of this entry in milliseconds when the list was written; zero if the list does not state it.
    pub age_ms: f64,
}

/// A complete list, or changes to an earlier one.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// Version of the list.
    pub index: u64,
    /// The list is complete, not a set of changes.
    pub whole: bool,
    pub entries: Vec<Entry>,
    /// Errors of the entries that were skipped.
    pub bad: Vec<String>,
}

/// Parses a list. Invalid entries are skipped and reported in [`List::bad`].
///
/// # Errors
/// If a field of the list itself is missing.
pub fn parse_list(value: &Value) -> Result<List> {
    let entries = value["endpoints"].as_array().context("endpoints is missing")?;
    let mut list = List {
        index: value["index"].as_u64().context("index is missing")?,
        whole: value["snapshot"].as_bool().context("snapshot is missing")?,
        entries: Vec::new(),
        bad: Vec::new(),
    };
    for entry in entries {
        match parse_entry(entry) {
            Ok(entry) => list.entries.push(entry),
            Err(error) => list.bad.push(format!("{error:#} in {entry}")),
        }
    }
    Ok(list)
}

fn parse_entry(entry: &Value) -> Result<Entry> {
    let text = |key: &str| entry[key].as_str().with_context(|| format!("{key} is missing"));
    let life = match text("status")? {
        "up" => SearcherStatus::Ready,
        "draining" => SearcherStatus::Draining,
        "removed" => SearcherStatus::Gone,
        other => bail!("status {other} is unknown"),
    };
    let since = entry["since_ms"].as_f64().unwrap_or(0.0);
    Ok(Entry {
        name: text("name")?.to_owned(),
        addr: text("address")?.parse().context("address can't be read")?,
        zone: entry["zone"].as_str().unwrap_or_default().to_owned(),
        cell: entry["group"].as_u64().and_then(|g| u32::try_from(g).ok()).context("group can't be read")?,
        since: if since > 0.0 { since } else { 0.0 },
        life,
        age_ms: entry["age_ms"].as_f64().filter(|age| *age > 0.0).unwrap_or(0.0),
    })
}
