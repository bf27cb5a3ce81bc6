//! What a mixer on sockets is told at its start: the file named by `ROUTER_CONFIG`.

use std::net::SocketAddrV4;

use anyhow::{Context, Result, ensure};
use serde_json::Value;

use crate::{Lines, Terms};

/// Keys of the file and the variables that go before them.
const NAME: (&str, &str) = ("name", "ROUTER_NAME");
const LISTEN: (&str, &str) = ("listen", "ROUTER_LISTEN");
const DISCOVERY: (&str, &str) = ("discovery", "ROUTER_DISCOVERY");

/// A mixer's name, addresses, limits and terms.
#[derive(Clone, Debug)]
pub struct Start {
    pub name: String,
    pub listen: SocketAddrV4,
    pub discovery: SocketAddrV4,
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Memory in bytes that the process may take.
    pub memory: usize,
    /// What the system allows of them.
    allowed: usize,
    /// The searcher list as last held, in discovery's form.
    pub known: Value,
    pub terms: Terms,
}

/// What a new file changes in a mixer that runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub discovery: SocketAddrV4,
    /// Keys that have changed and count from the next start only.
    pub at_restart: Vec<&'static str>,
}

impl Start {
    /// Where no limit on sockets is stated: what a process is commonly given.
    const SOCKETS: usize = 1024;
    /// Where no limit on memory is stated: the least that a mixer is given.
    const MEMORY_MB: f64 = 32.0;
    /// Fewer leave no room for clients, searchers and discovery together.
    const FEWEST: usize = 32;

    /// Holds the number of descriptors to what the system allows, by its page of a process's limits.
    pub fn hold_to(&mut self, limits: &str) {
        let files = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
        let soft = files.and_then(|figures| figures.split_whitespace().next()?.parse().ok());
        self.allowed = soft.unwrap_or(usize::MAX);
        self.sockets = self.sockets.min(self.allowed);
    }

    /// Reads the file's text; `said` looks up a variable of the environment, which goes before the file.
    pub fn read(text: &str, said: impl Fn(&str) -> Option<String>) -> Result<Self> {
        Self::parse(text, said, &[NAME, LISTEN, DISCOVERY])
    }

    /// Reads the text that has replaced the file's, as strictly as at the start. Its own address of discovery
    /// counts: the environment's is that of the start.
    pub fn again(&self, text: &str, said: impl Fn(&str) -> Option<String>) -> Result<Change> {
        let new = Self::parse(text, said, &[NAME, LISTEN])?;
        let changed = [
            ("name", new.name != self.name),
            ("listen", new.listen != self.listen),
            ("limits.sockets", new.sockets.min(self.allowed) != self.sockets),
            ("limits.memory_mb", new.memory != self.memory),
            ("settings", new.terms != self.terms),
        ];
        let at_restart = changed.into_iter().filter(|key| key.1).map(|key| key.0).collect();
        Ok(Change { discovery: new.discovery, at_restart })
    }

    fn parse(text: &str, said: impl Fn(&str) -> Option<String>, variables: &[(&str, &str)]) -> Result<Self> {
        let mut all: Value = serde_json::from_str(text).context("the file is not JSON")?;
        let known = all.as_object_mut().context("the file holds no object")?.remove("known");
        let settings = all.as_object_mut().and_then(|map| map.remove("settings"));
        let mut lines = Lines::of_json(&all);
        for (key, variable) in variables {
            if let Some(value) = said(variable).filter(|v| !v.is_empty()) {
                lines.0.insert((*key).to_owned(), value);
            }
        }
        let seed: String = lines.must("seed")?;
        let sockets = lines.maybe("limits.sockets")?.unwrap_or(Self::SOCKETS);
        ensure!(sockets >= Self::FEWEST, "limits.sockets={sockets} is under {}", Self::FEWEST);
        Ok(Self {
            name: lines.must("name")?,
            listen: lines.must("listen")?,
            discovery: lines.must("discovery")?,
            seed: u64::from_str_radix(&seed, 16)
                .ok()
                .with_context(|| format!("seed={seed} can't be read"))?,
            sockets,
            memory: (lines.number("limits.memory_mb")?.unwrap_or(Self::MEMORY_MB) * 1048576.0) as usize,
            allowed: usize::MAX,
            known: known.unwrap_or_default(),
            terms: Terms::of_json(&settings.context("settings is missing")?).context("settings")?,
        })
    }
}
