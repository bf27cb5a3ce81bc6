//! `pewterwharf fleet`: the fleet as seen by a running mixer.

use anyhow::Result;
use clap::Args;
use pewterwharf_settings::Settings;

use crate::bgp;

#[derive(Args)]
pub struct ShowArgs {
    #[command(flatten)]
    console: bgp::ConsoleArgs,
    /// Prints one JSON object on one line
    #[arg(long)]
    json: bool,
}

pub fn show(args: &ShowArgs, settings: &Settings) -> Result<bool> {
    let request = if args.json { "fleet show --json" } else { "fleet show" };
    bgp::show(request, &args.console, settings)
}
