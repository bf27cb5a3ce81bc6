//! Starts a mixer with the configuration that `ROUTER_CONFIG` names.

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

fn env_var(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// The platform's configuration file.
struct ConfigFile {
    path: String,
    text: String,
}

fn read_config_file() -> Result<ConfigFile> {
    let path = env_var("ROUTER_CONFIG").context("ROUTER_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).with_context(|| format!("reading {path}"))?;
    Ok(ConfigFile { path, text })
}

/// Reads the operator's own file, if one is named.
fn read_settings() -> Result<Settings> {
    let Some(path) = env_var("PEWTERWHARF_SETTINGS") else { return Ok(Settings::default()) };
    let text = std::fs::read_to_string(&path).with_context(|| format!("reading {path}"))?;
    Settings::read(&text).map_err(|error| anyhow!("{path}:{error}"))
}

/// Reads the configuration again, for a mixer that was started with `startup`.
fn reload_config(startup: &StartupConfig) -> Result<ConfigChange> {
    let ConfigFile { path, text } = read_config_file()?;
    startup.reload(&text, env_var).with_context(|| format!("in {path}"))
}

fn run() -> Result<()> {
    let signals = signals::register_handlers()?;
    let ConfigFile { path, text } = read_config_file()?;
    let mut startup = StartupConfig::read(&text, env_var).with_context(|| format!("in {path}"))?;
    startup.apply_descriptor_limit(&std::fs::read_to_string("/proc/self/limits").unwrap_or_default());
    let reloaders = Reloaders { config: reload_config, settings: read_settings };
    Service::open(startup, &read_settings()?, signals, reloaders)?.run()
}

/// Logs to standard error. `RUST_LOG` sets the level, or targets with their levels; with `RUST_LOG_FORM=json`
/// each line is a JSON object.
fn start_log() {
    log::start();
    let targets = env_var("RUST_LOG").and_then(|targets| targets.parse::<Targets>().ok());
    let targets = targets.unwrap_or_else(|| Targets::new().with_default(LevelFilter::WARN));
    let lines = tracing_subscriber::fmt::layer().with_writer(log::LogWriter).with_ansi(false);
    let lines = match env_var("RUST_LOG_FORM").as_deref() {
        Some("json") => lines.json().boxed(),
        _ => lines.boxed(),
    };
    tracing_subscriber::registry().with(lines.with_filter(targets)).init();
}

fn main() -> ExitCode {
    start_log();
    let result = run();
    if let Err(error) = &result {
        tracing::error!("{error:#}");
    }
    log::flush();
    if result.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
