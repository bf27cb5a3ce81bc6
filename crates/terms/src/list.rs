//! The searcher list in discovery's form, as it comes over the watch, stands in `known` or is kept in a file.

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
    pub since: f64,
    pub life: SearcherStatus,
    /// Milliseconds that this word was old when the list was written; zero where the list does not say.
    pub age_ms: f64,
}

/// The whole list, or what has changed in it.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    pub index: u64,
    pub whole: bool,
    pub entries: Vec<Entry>,
    /// Why an entry was passed over.
    pub bad: Vec<String>,
}

/// Reads a list; an entry that can't be read does not take the others with it.
pub fn list(value: &Value) -> Result<List> {
    let entries = value["endpoints"].as_array().context("endpoints is missing")?;
    let mut list = List {
        index: value["index"].as_u64().context("index is missing")?,
        whole: value["snapshot"].as_bool().context("snapshot is missing")?,
        entries: Vec::new(),
        bad: Vec::new(),
    };
    for entry in entries {
        match read(entry) {
            Ok(entry) => list.entries.push(entry),
            Err(error) => list.bad.push(format!("{error:#} in {entry}")),
        }
    }
    Ok(list)
}

fn read(entry: &Value) -> Result<Entry> {
    let word = |key: &str| entry[key].as_str().with_context(|| format!("{key} is missing"));
    let life = match word("status")? {
        "up" => SearcherStatus::Ready,
        "draining" => SearcherStatus::Draining,
        "removed" => SearcherStatus::Gone,
        other => bail!("status {other} is unknown"),
    };
    let since = entry["since_ms"].as_f64().unwrap_or(0.0);
    Ok(Entry {
        name: word("name")?.to_owned(),
        addr: word("address")?.parse().context("address can't be read")?,
        zone: entry["zone"].as_str().unwrap_or_default().to_owned(),
        cell: entry["group"].as_u64().and_then(|g| u32::try_from(g).ok()).context("group can't be read")?,
        since: if since > 0.0 { since } else { 0.0 },
        life,
        age_ms: entry["age_ms"].as_f64().filter(|age| *age > 0.0).unwrap_or(0.0),
    })
}
