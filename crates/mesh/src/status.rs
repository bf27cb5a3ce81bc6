//! Status of the fleet as one mixer sees it, for operators and programs.

use std::collections::BTreeMap;
use std::fmt::{self, Write};

use serde::Serialize;

/// Status of a configured peer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberStatus {
    pub name: String,
    #[serde(rename = "life")]
    pub status: &'static str,
    #[serde(rename = "start")]
    pub incarnation: Option<String>,
    /// Version up to which its records are held.
    pub version: u64,
    /// Number of its records that are held.
    #[serde(rename = "rows")]
    pub records: usize,
    /// Trust score, 0 to 1.
    pub trust: f64,
    /// State of the links to it and from it.
    pub link: String,
}

/// Status of the fleet, as one mixer sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetStatus {
    #[serde(rename = "me")]
    pub local_name: String,
    #[serde(rename = "standing")]
    pub state: String,
    #[serde(rename = "start")]
    pub incarnation: String,
    pub progress: String,
    pub members: Vec<MemberStatus>,
    /// Version of this mixer's own records.
    pub version: u64,
    #[serde(rename = "own_rows")]
    pub own_records: usize,
    /// Number of records of all origins, including tombstones.
    #[serde(rename = "rows")]
    pub records: usize,
    pub bytes: usize,
    /// Digest of all records as 16 hex digits. Mixers that hold the same records have the same digest.
    #[serde(rename = "sum")]
    pub digest: String,
    pub kinds: BTreeMap<String, usize>,
    /// Version of the searcher list that each mixer reports.
    pub lists: BTreeMap<String, u64>,
    /// Number of rejected batches and records by reason.
    #[serde(rename = "refused")]
    pub rejected: BTreeMap<String, u64>,
    /// Number of membership messages that could not be used.
    #[serde(rename = "unfit_words")]
    pub rejected_messages: u64,
    /// Number of peer reports that were ignored.
    #[serde(rename = "passed_over")]
    pub ignored_reports: u64,
    pub longest_pause_ms: f64,
    /// Counters of the links.
    pub links: BTreeMap<&'static str, u64>,
}

impl FleetStatus {
    /// One JSON object on one line.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default() // strings and finite numbers always serialize
    }

    /// Counters with a common prefix, one per line.
    pub fn counters_text(&self) -> String {
        let mut text = String::new();
        let rejected = self.rejected.iter().map(|(why, count)| (format!("refused_{why}"), *count));
        let links = self.links.iter().map(|(name, count)| ((*name).to_owned(), *count));
        let own = [
            ("unfit_words".to_owned(), self.rejected_messages),
            ("words_passed_over".to_owned(), self.ignored_reports),
        ];
        for (name, count) in own.into_iter().chain(links).chain(rejected) {
            let _ = writeln!(text, "fleet_{name} {count}"); // writing to a String can't fail
        }
        text
    }
}

impl fmt::Display for FleetStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, start {}: {}, {}", self.local_name, self.incarnation, self.state, self.progress)?;
        writeln!(f, "  own version {}, {} rows", self.version, self.own_records)?;
        writeln!(f, "members\n  name             life     start        version  rows  trust  links")?;
        for member in &self.members {
            writeln!(
                f,
                "  {:<16} {:<8} {:<12} {:>7} {:>5} {:>6.2}  {}",
                member.name,
                member.status,
                member.incarnation.as_deref().unwrap_or("-"),
                member.version,
                member.records,
                member.trust,
                member.link
            )?;
        }
        writeln!(f, "copies\n  {} rows, {} bytes, sum {}", self.records, self.bytes, self.digest)?;
        writeln!(f, "  by kind: {}", comma_separated(&self.kinds))?;
        writeln!(f, "  lists held: {}", comma_separated(&self.lists))?;
        writeln!(f, "  refused: {}", comma_separated(&self.rejected))?;
        writeln!(
            f,
            "  unusable membership messages {}, ignored peer reports {}",
            self.rejected_messages, self.ignored_reports
        )?;
        writeln!(f, "  longest pause of this process {:.0} ms", self.longest_pause_ms)?;
        writeln!(f, "links\n  {}", comma_separated(&self.links))
    }
}

fn comma_separated<K: fmt::Display, V: fmt::Display>(values: &BTreeMap<K, V>) -> String {
    let pairs: Vec<String> = values.iter().map(|(key, value)| format!("{key} {value}")).collect();
    if pairs.is_empty() { "none".to_owned() } else { pairs.join(", ") }
}
