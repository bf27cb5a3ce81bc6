//! `pewterwharf`: command line tool for operators.
//!
//! Exit status: 0 if everything holds, 1 if something does not, 2 on invalid input or another error. Results go to standard
//! output, everything else to standard error.

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
#[command(
    name = "pewterwharf",
    version,
    about = "Checks expectations about mixers, plans changes, and runs drills and trials"
)]
struct CommandLine {
    /// The operator's settings file
    #[arg(long, global = true, value_name = "FILE")]
    settings: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Checks expectations about routing without sending anything
    #[command(args_conflicts_with_subcommands = true)]
    Check(Box<Check>),
    /// Asks a running mixer for its announcements of service addresses
    #[command(subcommand)]
    Bgp(BgpCommand),
    /// Asks a running mixer for the state of its searchers as it sees it, and why it rejected scans
    Beliefs(bgp::ConsoleArgs),
    /// Asks a running mixer for the state of the other mixers
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Runs several mixers as separate processes and injects faults between them
    #[command(subcommand)]
    Drill(DrillCommand),
    /// Starts searchers, discovery and a mixer in one process, sends scans and prints what happened
    Try(trial::TrialArgs),
}

#[derive(Subcommand)]
enum BgpCommand {
    /// Prints sessions, addresses with state and reason, recent changes and counters
    Show(bgp::ConsoleArgs),
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Prints members, connections, replicated records by kind with their lag, and rejected messages by reason
    Show(fleet::ShowArgs),
}

#[derive(Subcommand)]
enum DrillCommand {
    /// Runs the drills of scripts: exit status 0 if all pass, 1 if one fails, 2 if a script is invalid
    Run(drill::RunArgs),
    /// Runs drills generated from seeds and shrinks those that fail
    Random(drill::RandomArgs),
}

#[derive(Args)]
struct Check {
    #[command(subcommand)]
    command: Option<CheckCommand>,
    #[command(flatten)]
    args: check::CheckArgs,
}

#[derive(Subcommand)]
enum CheckCommand {
    /// Orders the moves from one season to the next so that the new file's expectations hold after each step
    Plan(plan::PlanArgs),
    /// Replays a counterexample and prints the trace
    Replay(check::ReplayArgs),
}

fn read_settings(path: Option<&PathBuf>) -> Result<Settings> {
    let Some(path) = path else { return Ok(Settings::default()) };
    let text = std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    Settings::read(&text).map_err(|error| anyhow::anyhow!("{}:{error}", path.display()))
}

fn start_log(settings: &Settings) {
    let level = settings.log.level.parse().unwrap_or(LevelFilter::WARN);
    let subscriber = tracing_subscriber::fmt().with_writer(std::io::stderr).with_max_level(level);
    match settings.log.format {
        LogFormat::Text => subscriber.with_target(false).init(),
        LogFormat::Json => subscriber.json().init(),
    }
}

/// Runs the command. Returns whether everything it checked holds.
fn run(command_line: CommandLine) -> Result<bool> {
    let settings = read_settings(command_line.settings.as_ref())?;
    start_log(&settings);
    match command_line.command {
        Command::Check(check) => match check.command {
            Some(CheckCommand::Plan(args)) => plan::run(&args),
            Some(CheckCommand::Replay(args)) => check::replay(&args),
            None => check::run(&check.args, &settings),
        },
        Command::Bgp(BgpCommand::Show(args)) => bgp::show("bgp show", &args, &settings),
        Command::Beliefs(args) => bgp::show("beliefs", &args, &settings),
        Command::Fleet(FleetCommand::Show(args)) => fleet::show(&args, &settings),
        Command::Drill(DrillCommand::Run(args)) => drill::run_scripts(&args),
        Command::Drill(DrillCommand::Random(args)) => drill::run_random(&args),
        Command::Try(args) => trial::run(&args),
    }
}

fn main() -> ExitCode {
    match run(CommandLine::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("pewterwharf: {error:#}");
            ExitCode::from(2)
        }
    }
}
