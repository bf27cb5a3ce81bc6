//! The operator's settings file; `deploy/pewterwharf.lisp` is an example.

use std::path::PathBuf;

use crate::bgp::BgpSettings;
use crate::fleet::FleetSettings;
use crate::keys::{once, pair};
use crate::sexpr::{Node, ParseError, parse, unexpected_name};

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    Text,
    Json,
}

/// Settings of the command line's log.
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    pub format: LogFormat,
}

/// Limits of an exploration of the decision module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Explore {
    /// Departures from the expected course in one run, such as a failed part: 0 to 8.
    pub departures: u32,
    /// States visited in one exploration: 1 to 10,000,000.
    pub states: u32,
    /// Explorations that run in parallel: 1 to 64.
    pub threads: u32,
}

/// All settings; [`Settings::default`] gives the values of keys that the file leaves out.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub log: Log,
    pub explore: Explore,
    /// Announcements of service addresses are disabled without this section.
    pub bgp: Option<BgpSettings>,
    /// The exchange with other mixers is disabled without this section.
    pub fleet: Option<FleetSettings>,
    /// Path of the console's Unix socket; disabled without this section.
    pub console: Option<PathBuf>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            log: Log { level: "warn".to_owned(), format: LogFormat::Text },
            explore: Explore { departures: 2, states: 200_000, threads: 8 },
            bgp: None,
            fleet: None,
            console: None,
        }
    }
}

const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

impl Settings {
    /// Parses and checks the text of the file.
    ///
    /// # Errors
    /// Names the position and the invalid key. A duplicate or unknown key is an error: what an operator meant to set must
    /// not be ignored silently.
    pub fn read(text: &str) -> Result<Self, ParseError> {
        let mut settings = Self::default();
        let mut seen = Vec::new();
        for node in parse(text)? {
            let (section, keys) = node.head_and_args("a section, as (log ...)")?;
            once(&mut seen, &node, section.to_owned())?;
            match section {
                "log" => settings.log(keys)?,
                "explore" => settings.explore(keys)?,
                "bgp" => settings.bgp = Some(BgpSettings::read(&node, keys)?),
                "fleet" => settings.fleet = Some(FleetSettings::read(&node, keys)?),
                "console" => match keys {
                    [path] => settings.console = Some(PathBuf::from(path.string("a path")?)),
                    _ => return Err(node.error(format!("console has {} values, expected one", keys.len()))),
                },
                other => {
                    return Err(unexpected_name(
                        &node,
                        other,
                        &["log", "explore", "bgp", "fleet", "console"],
                    ));
                }
            }
        }
        Ok(settings)
    }

    fn log(&mut self, keys: &[Node]) -> Result<(), ParseError> {
        let mut seen = Vec::new();
        for node in keys {
            let (key, value) = pair(node)?;
            once(&mut seen, node, format!("log {key}"))?;
            match key {
                "level" => {
                    let level = value.symbol("log level")?;
                    if !LEVELS.contains(&level) {
                        return Err(unexpected_name(value, level, &LEVELS));
                    }
                    self.log.level = level.to_owned();
                }
                "form" => {
                    self.log.format = match value.symbol("log form")? {
                        "text" => LogFormat::Text,
                        "json" => LogFormat::Json,
                        other => return Err(unexpected_name(value, other, &["text", "json"])),
                    }
                }
                other => return Err(unexpected_name(node, other, &["level", "form"])),
            }
        }
        Ok(())
    }

    fn explore(&mut self, keys: &[Node]) -> Result<(), ParseError> {
        let mut seen = Vec::new();
        for node in keys {
            let (key, value) = pair(node)?;
            once(&mut seen, node, format!("explore {key}"))?;
            match key {
                "departures" => self.explore.departures = value.integer("explore departures", 0, 8)?,
                "states" => self.explore.states = value.integer("explore states", 1, 10_000_000)?,
                "threads" => self.explore.threads = value.integer("explore threads", 1, 64)?,
                other => return Err(unexpected_name(node, other, &["departures", "states", "threads"])),
            }
        }
        Ok(())
    }
}
