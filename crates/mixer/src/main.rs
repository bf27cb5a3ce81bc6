//! Starts a mixer on what `ROUTER_CONFIG` names.

use std::process::ExitCode;

use anyhow::{Context, Result};
use pewterwharf_mixer::service::Service;
use pewterwharf_terms::Start;

fn run() -> Result<()> {
    let said = |variable: &str| std::env::var(variable).ok();
    let path = said("ROUTER_CONFIG").context("ROUTER_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).with_context(|| format!("reading {path}"))?;
    let mut start = Start::read(&text, said).with_context(|| format!("in {path}"))?;
    start.hold_to(&std::fs::read_to_string("/proc/self/limits").unwrap_or_default());
    Service::open(start)?.run()
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
