//! `pewterwharf check`: checks expectations, and replays counterexamples.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, anyhow, bail};
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use pewterwharf_expect::explore::{Bounds, Subject};
use pewterwharf_expect::{CheckOptions, Outcome, Suite, Verdict};
use pewterwharf_settings::Settings;
use tracing::info;

use crate::load::load;
use crate::report;

#[derive(Args)]
pub struct CheckArgs {
    /// Expectation file
    #[arg(value_name = "FILE")]
    file: Option<PathBuf>,
    /// Searcher list, in place of the one that the file names
    #[arg(long, value_name = "LIST")]
    list: Option<PathBuf>,
    /// Older expectation file: prints the expectations whose verdict changes
    #[arg(long, value_name = "OLD")]
    against: Option<PathBuf>,
    /// Writes the verdicts as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Writes the verdicts as JUnit
    #[arg(long, value_name = "FILE")]
    junit: Option<PathBuf>,
    /// Seed of the decision module
    #[arg(long, value_name = "N", default_value_t = 7)]
    seed: u64,
    /// Departures from the expected course in one run [default: from the settings]
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(0..=8))]
    departures: Option<u32>,
    /// States visited in one exploration [default: from the settings]
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=10_000_000))]
    states: Option<u32>,
    /// Skips runs whose state was seen before: fewer states, each at a higher cost
    #[arg(long)]
    merge: bool,
}

#[derive(Args)]
pub struct ReplayArgs {
    /// Expectation file
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// Output file of `check --json`
    #[arg(long, value_name = "FILE")]
    json: PathBuf,
    /// Expectation whose counterexample is replayed
    #[arg(value_name = "NAME")]
    name: String,
    /// Seed of the decision module
    #[arg(long, value_name = "N", default_value_t = 7)]
    seed: u64,
}

fn check_options(settings: &Settings, args: &CheckArgs) -> CheckOptions {
    let explore = settings.explore;
    let departures = args.departures.unwrap_or(explore.departures);
    let states = args.states.unwrap_or(explore.states);
    CheckOptions {
        bounds: Bounds { departures, states, merge: args.merge },
        threads: explore.threads as usize,
        seed: args.seed,
    }
}

fn check(suite: &Suite, options: CheckOptions) -> Vec<Verdict> {
    let bar = ProgressBar::new(0);
    bar.set_style(ProgressStyle::with_template("{wide_bar} {pos}/{len} {elapsed}").unwrap_or_else(|_| {
        // Only if a future version of the library rejects the fixed template.
        ProgressStyle::default_bar()
    }));
    bar.enable_steady_tick(Duration::from_millis(200));
    let open = |seed| Box::new(suite.fleet().config().open(seed)) as Box<dyn Subject>;
    let verdicts = suite.check(options, &open, &|done, steps| {
        bar.set_length(steps as u64);
        bar.set_position(done as u64);
    });
    bar.finish_and_clear();
    verdicts
}

/// Checks the expectations and prints the verdicts. Returns whether all hold; when compared with an older file, whether none
/// that held there fails now.
pub fn run(args: &CheckArgs, settings: &Settings) -> Result<bool> {
    let Some(file) = &args.file else { bail!("expected a file of expectations, see --help") };
    let started = Instant::now();
    let options = check_options(settings, args);
    let loaded = load(file, args.list.as_deref())?;
    let verdicts = check(&loaded.suite, options);
    info!(ms = started.elapsed().as_millis() as u64, "checked");
    if let Some(path) = &args.json {
        let text = report::json(&loaded.suite, &verdicts).to_string();
        std::fs::write(path, text + "\n").with_context(|| format!("writing {}", path.display()))?;
    }
    if let Some(path) = &args.junit {
        std::fs::write(path, report::junit(&verdicts)?)
            .with_context(|| format!("writing {}", path.display()))?;
    }
    if let Some(old) = &args.against {
        let before = load(old, None)?;
        let before = check(&before.suite, options);
        print!("{}", report::against(&before, &verdicts));
        let held_before = |name: &str| before.iter().any(|v| v.name == name && v.holds());
        return Ok(!verdicts.iter().any(|v| !v.holds() && held_before(&v.name)));
    }
    print!("{}", report::table(&loaded.suite, &verdicts));
    Ok(verdicts.iter().all(|v| v.outcome == Outcome::Holds))
}

/// Replays the moves of a counterexample and prints the trace. Returns whether the expectation holds on it.
pub fn replay(args: &ReplayArgs) -> Result<bool> {
    let loaded = load(&args.file, None)?;
    let text =
        std::fs::read_to_string(&args.json).with_context(|| format!("reading {}", args.json.display()))?;
    let results: serde_json::Value = serde_json::from_str(&text).context("the file is not JSON")?;
    let verdicts = results["expectations"].as_array().context("expectations is missing")?;
    let verdict = verdicts.iter().find(|v| v["name"] == args.name.as_str());
    let verdict = verdict.with_context(|| format!("no verdict is called \"{}\"", args.name))?;
    let moves = verdict["counterexample"]["moves"].as_array().filter(|m| !m.is_empty());
    let moves = moves.with_context(|| format!("\"{}\" has no moves to replay", args.name))?;
    let moves: Vec<&str> = moves.iter().filter_map(|m| m.as_str()).collect();
    let open = |seed| Box::new(loaded.suite.fleet().config().open(seed)) as Box<dyn Subject>;
    let scenario = verdict["counterexample"]["arena"].as_u64().context("arena is missing")?;
    let replayed = loaded.suite.replay(scenario as usize, &moves, args.seed, &open);
    let replay = replayed.map_err(|error| anyhow!(error))?;
    replay.trace.iter().for_each(|line| println!("{line}"));
    Ok(!replay.has_violation)
}
