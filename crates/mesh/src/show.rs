//! What a mixer sees of its fleet, for people and programs.

use std::collections::BTreeMap;
use std::fmt::{self, Write};

use serde::Serialize;

/// A peer of the file.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Member {
    pub name: String,
    pub life: &'static str,
    pub start: Option<String>,
    /// Version and rows held of it.
    pub version: u64,
    pub rows: usize,
    /// How far it was right of late, 0 to 1.
    pub trust: f64,
    /// How the links to it and from it stand.
    pub link: String,
}

/// What a mixer sees of its fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetStatus {
    pub me: String,
    pub standing: String,
    pub start: String,
    pub progress: String,
    pub members: Vec<Member>,
    /// Of this mixer's own rows.
    pub version: u64,
    pub own_rows: usize,
    /// Of all, deletions among them, with the bytes that they take.
    pub rows: usize,
    pub bytes: usize,
    /// One number for all that is held: mixers with the same hold the same. Sixteen hex digits.
    pub sum: String,
    pub kinds: BTreeMap<String, usize>,
    /// The version of the searcher list that each mixer says it holds.
    pub lists: BTreeMap<String, u64>,
    pub refused: BTreeMap<String, u64>,
    pub unfit_words: u64,
    pub passed_over: u64,
    pub longest_pause_ms: f64,
    /// Counts of the links.
    pub links: BTreeMap<&'static str, u64>,
}

impl FleetStatus {
    /// As one JSON object on one line.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default() // strings and finite figures can always be written
    }

    /// Counts, a line each, with a prefix of their own.
    pub fn counters_text(&self) -> String {
        let mut text = String::new();
        let refused = self.refused.iter().map(|(why, count)| (format!("refused_{why}"), *count));
        let links = self.links.iter().map(|(name, count)| ((*name).to_owned(), *count));
        let own = [
            ("unfit_words".to_owned(), self.unfit_words),
            ("words_passed_over".to_owned(), self.passed_over),
        ];
        for (name, count) in own.into_iter().chain(links).chain(refused) {
            let _ = writeln!(text, "fleet_{name} {count}"); // a String takes it
        }
        text
    }
}

impl fmt::Display for FleetStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, start {}: {}, {}", self.me, self.start, self.standing, self.progress)?;
        writeln!(f, "  own version {}, {} rows", self.version, self.own_rows)?;
        writeln!(f, "members\n  name             life     start        version  rows  trust  links")?;
        for m in &self.members {
            let start = m.start.as_deref().unwrap_or("-");
            writeln!(
                f,
                "  {:<16} {:<8} {:<12} {:>7} {:>5} {:>6.2}  {}",
                m.name, m.life, start, m.version, m.rows, m.trust, m.link
            )?;
        }
        let list = |pairs: Vec<String>| if pairs.is_empty() { "none".to_owned() } else { pairs.join(", ") };
        let pairs = |map: &BTreeMap<String, u64>| list(map.iter().map(|(k, v)| format!("{k} {v}")).collect());
        writeln!(f, "copies\n  {} rows, {} bytes, sum {}", self.rows, self.bytes, self.sum)?;
        writeln!(f, "  by kind: {}", list(self.kinds.iter().map(|(k, v)| format!("{k} {v}")).collect()))?;
        writeln!(f, "  lists held: {}", pairs(&self.lists))?;
        writeln!(f, "  refused: {}", pairs(&self.refused))?;
        writeln!(f, "  words that could not be read {}, passed over {}", self.unfit_words, self.passed_over)?;
        writeln!(f, "  longest pause of this process {:.0} ms", self.longest_pause_ms)?;
        let links: Vec<String> = self.links.iter().map(|(name, count)| format!("{name} {count}")).collect();
        writeln!(f, "links\n  {}", list(links))
    }
}
