//! `pewterwharf bgp` and `pewterwharf beliefs`: requests to the console of a running mixer.

use std::path::PathBuf;

use anyhow::{Context, Result, bail};
use clap::Args;
use pewterwharf_settings::Settings;

#[derive(Args)]
pub struct ConsoleArgs {
    /// Socket of the mixer's console, in place of the one in the settings
    #[arg(long, value_name = "SOCKET")]
    console: Option<PathBuf>,
}

/// Sends a request to the mixer's console and prints the response.
pub fn show(request: &str, args: &ConsoleArgs, settings: &Settings) -> Result<bool> {
    let path = args.console.as_ref().or(settings.console.as_ref());
    let path = path.context("no console: name it by --console, or by (console ...) in --settings")?;
    match pewterwharf_console::query(path, request).with_context(|| format!("asking {}", path.display()))? {
        Ok(text) => print!("{text}"),
        Err(reason) => bail!("the mixer refuses: {reason}"),
    }
    Ok(true)
}
