//! `pewterwharf`: what operators ask before and beside the daemon.
//!
//! Exit status: 0 all holds, 1 something does not, 2 something can't be read or done. What was asked for goes to
//! standard output, all else to standard error.

mod bgp;
mod check;
mod drill;
mod fleet;
mod load;
mod plan;
mod report;
mod trial;

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use clap::{Args, Parser, Subcommand};
use pewterwharf_settings::{LogFormat, Settings};
use tracing::level_filters::LevelFilter;

#[derive(Parser)]
#[command(name = "pewterwharf", version, about = "Checks, plans and tries what mixers will do")]
struct Line {
    /// The operator's own file
    #[arg(long, global = true, value_name = "FILE")]
    settings: Option<PathBuf>,
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Checks expectations about routing without sending anything
    #[command(args_conflicts_with_subcommands = true)]
    Check(Box<Check>),
    /// Asks a running mixer for its announcements of service addresses
    #[command(subcommand)]
    Bgp(BgpVerb),
    /// Asks a running mixer what it believes of its searchers, and why it refused scans
    Beliefs(bgp::Show),
    /// Asks a running mixer what it sees of the other mixers
    #[command(subcommand)]
    Fleet(FleetVerb),
    /// Starts several mixers as processes of their own and puts faults between them
    #[command(subcommand)]
    Drill(DrillVerb),
    /// Starts searchers, discovery and a mixer in one process, sends scans and prints what happened
    Try(trial::Trial),
}

#[derive(Subcommand)]
enum BgpVerb {
    /// Prints sessions, addresses, the reasons of their standing, the last changes and counts
    Show(bgp::Show),
}

#[derive(Subcommand)]
enum FleetVerb {
    /// Prints members, links, copies by kind, how far behind, words refused and why
    Show(fleet::Show),
}

#[derive(Subcommand)]
enum DrillVerb {
    /// Runs the drills of scripts: exit 0 all held, 1 something did not, 2 a script can't be read
    Run(drill::Run),
    /// Runs drills drawn from seeds, and shrinks one that fails
    Random(drill::Random),
}

#[derive(Args)]
struct Check {
    #[command(subcommand)]
    verb: Option<CheckVerb>,
    #[command(flatten)]
    asked: check::Asked,
}

#[derive(Subcommand)]
enum CheckVerb {
    /// Orders the moves from one season to the next so that the new file's expectations hold after each step
    Plan(plan::Asked),
    /// Runs the moves of a counterexample again and prints the trace
    Replay(check::Replay),
}

fn settings(path: Option<&PathBuf>) -> Result<Settings> {
    let Some(path) = path else { return Ok(Settings::default()) };
    let text = std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    Settings::read(&text).map_err(|fault| anyhow::anyhow!("{}:{fault}", path.display()))
}

fn log(settings: &Settings) {
    let level = settings.log.level.parse().unwrap_or(LevelFilter::WARN);
    let lines = tracing_subscriber::fmt().with_writer(std::io::stderr).with_max_level(level);
    match settings.log.format {
        LogFormat::Text => lines.with_target(false).init(),
        LogFormat::Json => lines.json().init(),
    }
}

fn run(line: Line) -> Result<bool> {
    let settings = settings(line.settings.as_ref())?;
    log(&settings);
    match line.verb {
        Verb::Check(check) => match check.verb {
            Some(CheckVerb::Plan(asked)) => plan::run(&asked),
            Some(CheckVerb::Replay(asked)) => check::replay(&asked),
            None => check::run(&check.asked, &settings),
        },
        Verb::Bgp(BgpVerb::Show(asked)) => bgp::show("bgp show", &asked, &settings),
        Verb::Beliefs(asked) => bgp::show("beliefs", &asked, &settings),
        Verb::Fleet(FleetVerb::Show(asked)) => fleet::show(&asked, &settings),
        Verb::Drill(DrillVerb::Run(asked)) => drill::files(&asked),
        Verb::Drill(DrillVerb::Random(asked)) => drill::random(&asked),
        Verb::Try(asked) => trial::run(&asked),
    }
}

fn main() -> ExitCode {
    let line = Line::parse();
    match run(line) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("pewterwharf: {error:#}");
            ExitCode::from(2)
        }
    }
}
