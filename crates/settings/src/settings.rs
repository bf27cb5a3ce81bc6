//! The operator's own file, as in `deploy/pewterwharf.lisp`.

use std::path::PathBuf;

use crate::bgp::Bgp;
use crate::fleet::Fleet;
use crate::form::{Fault, Node, read, unexpected};
use crate::keys::{once, pair};

/// How lines of the log are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogForm {
    Text,
    Json,
}

/// The log of the command line and what comes after it.
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    pub form: LogForm,
}

/// Bounds of an exploration of the decision module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Explore {
    /// Things that may go wrong in one run: 0 to 8.
    pub departures: u32,
    /// States looked at in one exploration: 1 to 10,000,000.
    pub states: u32,
    /// Explorations that run side by side: 1 to 64.
    pub threads: u32,
}

/// All that operators set; what the file leaves out has the value given here.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub log: Log,
    pub explore: Explore,
    /// Off unless it is there.
    pub bgp: Option<Bgp>,
    /// Off unless it is there.
    pub fleet: Option<Fleet>,
    /// Where the daemon listens for questions about itself: a Unix socket. None, unless it is there.
    pub console: Option<PathBuf>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            log: Log { level: "warn".to_owned(), form: LogForm::Text },
            explore: Explore { departures: 2, states: 200_000, threads: 8 },
            bgp: None,
            fleet: None,
            console: None,
        }
    }
}

const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

impl Settings {
    /// Reads and checks the file's text.
    ///
    /// # Errors
    /// Names the place and the faulty key. A key that is given twice or not known is a fault: what an operator
    /// meant to set must not be passed over.
    pub fn read(text: &str) -> Result<Self, Fault> {
        let mut settings = Self::default();
        let mut seen = Vec::new();
        for node in read(text)? {
            let (section, keys) = node.call("a section, as (log ...)")?;
            once(&mut seen, &node, section.to_owned())?;
            match section {
                "log" => settings.log(keys)?,
                "explore" => settings.explore(keys)?,
                "bgp" => settings.bgp = Some(Bgp::read(&node, keys)?),
                "fleet" => settings.fleet = Some(Fleet::read(&node, keys)?),
                "console" => match keys {
                    [path] => settings.console = Some(PathBuf::from(path.text("a path")?)),
                    _ => return Err(node.fault(format!("console has {} values, expected one", keys.len()))),
                },
                other => {
                    return Err(unexpected(&node, other, &["log", "explore", "bgp", "fleet", "console"]));
                }
            }
        }
        Ok(settings)
    }

    fn log(&mut self, keys: &[Node]) -> Result<(), Fault> {
        let mut seen = Vec::new();
        for node in keys {
            let (key, value) = pair(node)?;
            once(&mut seen, node, format!("log {key}"))?;
            match key {
                "level" => {
                    let level = value.word("log level")?;
                    if !LEVELS.contains(&level) {
                        return Err(unexpected(value, level, &LEVELS));
                    }
                    self.log.level = level.to_owned();
                }
                "form" => {
                    self.log.form = match value.word("log form")? {
                        "text" => LogForm::Text,
                        "json" => LogForm::Json,
                        other => return Err(unexpected(value, other, &["text", "json"])),
                    }
                }
                other => return Err(unexpected(node, other, &["level", "form"])),
            }
        }
        Ok(())
    }

    fn explore(&mut self, keys: &[Node]) -> Result<(), Fault> {
        let mut seen = Vec::new();
        for node in keys {
            let (key, value) = pair(node)?;
            once(&mut seen, node, format!("explore {key}"))?;
            match key {
                "departures" => self.explore.departures = value.count("explore departures", 0, 8)?,
                "states" => self.explore.states = value.count("explore states", 1, 10_000_000)?,
                "threads" => self.explore.threads = value.count("explore threads", 1, 64)?,
                other => return Err(unexpected(node, other, &["departures", "states", "threads"])),
            }
        }
        Ok(())
    }
}
