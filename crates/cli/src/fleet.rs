//! `pewterwharf fleet`: what a running mixer sees of its fleet.

use anyhow::Result;
use clap::Args;
use pewterwharf_settings::Settings;

use crate::bgp;

#[derive(Args)]
pub struct Show {
    #[command(flatten)]
    at: bgp::Show,
    /// One JSON object on one line
    #[arg(long)]
    json: bool,
}

pub fn show(asked: &Show, settings: &Settings) -> Result<bool> {
    let question = if asked.json { "fleet show --json" } else { "fleet show" };
    bgp::show(question, &asked.at, settings)
}
