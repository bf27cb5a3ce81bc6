//! `pewterwharf bgp` and `pewterwharf beliefs`: what a running mixer tells of itself.

use std::path::PathBuf;

use anyhow::{Context, Result, bail};
use clap::Args;
use pewterwharf_settings::Settings;

#[derive(Args)]
pub struct Show {
    /// The mixer's console, if the settings do not name it
    #[arg(long, value_name = "SOCKET")]
    console: Option<PathBuf>,
}

/// Prints what the mixer says to a question.
pub fn show(question: &str, asked: &Show, settings: &Settings) -> Result<bool> {
    let path = asked.console.as_ref().or(settings.console.as_ref());
    let path = path.context("no console: name it by --console, or by (console ...) in --settings")?;
    match pewterwharf_console::query(path, question).with_context(|| format!("asking {}", path.display()))? {
        Ok(text) => print!("{text}"),
        Err(why) => bail!("the mixer refuses: {why}"),
    }
    Ok(true)
}
