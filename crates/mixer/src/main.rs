//! Starts a mixer on what `ROUTER_CONFIG` names.

use std::process::ExitCode;

use anyhow::{Context, Result, anyhow};
use pewterwharf_mixer::log;
use pewterwharf_mixer::service::Service;
use pewterwharf_mixer::signals::{self, Reloaders};
use pewterwharf_settings::Settings;
use pewterwharf_terms::{ConfigChange, StartupConfig};
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::prelude::*;

fn said(variable: &str) -> Option<String> {
    std::env::var(variable).ok()
}

fn file() -> Result<(String, String)> {
    let path = said("ROUTER_CONFIG").context("ROUTER_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).with_context(|| format!("reading {path}"))?;
    Ok((path, text))
}

/// The operator's own file, where one is named.
fn settings() -> Result<Settings> {
    let Some(path) = said("PEWTERWHARF_SETTINGS") else { return Ok(Settings::default()) };
    let text = std::fs::read_to_string(&path).with_context(|| format!("reading {path}"))?;
    Settings::read(&text).map_err(|fault| anyhow!("{path}:{fault}"))
}

fn again(start: &StartupConfig) -> Result<ConfigChange> {
    let (path, text) = file()?;
    start.reload(&text, said).with_context(|| format!("in {path}"))
}

fn run() -> Result<()> {
    let signals = signals::register_handlers()?;
    let (path, text) = file()?;
    let mut start = StartupConfig::read(&text, said).with_context(|| format!("in {path}"))?;
    start.apply_descriptor_limit(&std::fs::read_to_string("/proc/self/limits").unwrap_or_default());
    Service::open(start, &settings()?, signals, Reloaders { config: again, settings })?.run()
}

/// Lines go to standard error; `RUST_LOG` names the level, or targets with theirs, and `RUST_LOG_FORM=json` makes each
/// line an object.
fn start_log() {
    log::start();
    let asked = said("RUST_LOG").and_then(|asked| asked.parse::<Targets>().ok());
    let targets = asked.unwrap_or_else(|| Targets::new().with_default(LevelFilter::WARN));
    let lines = tracing_subscriber::fmt::layer().with_writer(log::Lines).with_ansi(false);
    let lines = match said("RUST_LOG_FORM").as_deref() {
        Some("json") => lines.json().boxed(),
        _ => lines.boxed(),
    };
    tracing_subscriber::registry().with(lines.with_filter(targets)).init();
}

fn main() -> ExitCode {
    start_log();
    let ended = run();
    if let Err(error) = &ended {
        tracing::error!("{error:#}");
    }
    log::flush();
    if ended.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
