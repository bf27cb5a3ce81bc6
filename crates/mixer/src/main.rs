//! Starts a mixer on what `ROUTER_CONFIG` names.

use std::process::ExitCode;

use anyhow::{Context, Result};
use pewterwharf_mixer::service::{self, Service};
use pewterwharf_terms::{Change, Start};

fn said(variable: &str) -> Option<String> {
    std::env::var(variable).ok()
}

fn file() -> Result<(String, String)> {
    let path = said("ROUTER_CONFIG").context("ROUTER_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).with_context(|| format!("reading {path}"))?;
    Ok((path, text))
}

fn again(start: &Start) -> Result<Change> {
    let (path, text) = file()?;
    start.again(&text, said).with_context(|| format!("in {path}"))
}

fn run() -> Result<()> {
    let signals = service::signals()?;
    let (path, text) = file()?;
    let mut start = Start::read(&text, said).with_context(|| format!("in {path}"))?;
    start.hold_to(&std::fs::read_to_string("/proc/self/limits").unwrap_or_default());
    Service::open(start, signals, again)?.run()
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
