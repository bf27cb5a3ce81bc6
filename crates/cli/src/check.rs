//! `pewterwharf check`

use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, anyhow, bail};
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use pewterwharf_expect::explore::{Bounds, Subject};
use pewterwharf_expect::{Outcome, Suite, Terms, Verdict};
use pewterwharf_settings::Settings;
use tracing::info;

use crate::load::load;
use crate::report;

#[derive(Args)]
pub struct Asked {
    /// The expectations
    #[arg(value_name = "FILE")]
    file: Option<PathBuf>,
    /// A searcher list to use in place of the one that the file names
    #[arg(long, value_name = "LIST")]
    list: Option<PathBuf>,
    /// An older file: names the expectations whose verdict changes
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
    /// Things that may go wrong in one run; the settings' if absent
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(0..=8))]
    departures: Option<u32>,
    /// States that one exploration looks at; the settings' if absent
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=10_000_000))]
    states: Option<u32>,
    /// Leaves out runs whose state was seen before: fewer states, each at a higher cost
    #[arg(long)]
    merge: bool,
}

#[derive(Args)]
pub struct Replay {
    /// The expectations
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// What `check --json` wrote
    #[arg(long, value_name = "FILE")]
    json: PathBuf,
    /// The expectation whose counterexample is run
    #[arg(value_name = "NAME")]
    name: String,
    /// Seed of the decision module
    #[arg(long, value_name = "N", default_value_t = 7)]
    seed: u64,
}

fn terms(settings: &Settings, asked: &Asked) -> Terms {
    let explore = settings.explore;
    let departures = asked.departures.unwrap_or(explore.departures);
    let states = asked.states.unwrap_or(explore.states);
    Terms {
        bounds: Bounds { departures, states, merge: asked.merge },
        threads: explore.threads as usize,
        seed: asked.seed,
    }
}

fn check(suite: &Suite, terms: Terms) -> Vec<Verdict> {
    let bar = ProgressBar::new(0);
    bar.set_style(ProgressStyle::with_template("{wide_bar} {pos}/{len} {elapsed}").unwrap_or_else(|_| {
        // The template is fixed; the default serves if the library should change its words.
        ProgressStyle::default_bar()
    }));
    bar.enable_steady_tick(Duration::from_millis(200));
    let open = |seed| Box::new(suite.fleet().terms().open(seed)) as Box<dyn Subject>;
    let verdicts = suite.check(terms, &open, &|done, steps| {
        bar.set_length(steps as u64);
        bar.set_position(done as u64);
    });
    bar.finish_and_clear();
    verdicts
}

/// Whether all expectations hold; against an older file, whether none is lost.
pub fn run(asked: &Asked, settings: &Settings) -> Result<bool> {
    let Some(file) = &asked.file else { bail!("expected a file of expectations, see --help") };
    let (begun, terms) = (Instant::now(), terms(settings, asked));
    let loaded = load(file, asked.list.as_deref())?;
    let verdicts = check(&loaded.suite, terms);
    info!(ms = begun.elapsed().as_millis() as u64, "checked");
    if let Some(path) = &asked.json {
        let text = report::json(&loaded.suite, &verdicts).to_string();
        std::fs::write(path, text + "\n").with_context(|| format!("writing {}", path.display()))?;
    }
    if let Some(path) = &asked.junit {
        std::fs::write(path, report::junit(&verdicts)?)
            .with_context(|| format!("writing {}", path.display()))?;
    }
    if let Some(old) = &asked.against {
        let before = load(old, None)?;
        let before = check(&before.suite, terms);
        print!("{}", report::against(&before, &verdicts));
        let holds = |name: &str| before.iter().any(|v| v.name == name && v.holds());
        return Ok(!verdicts.iter().any(|v| !v.holds() && holds(&v.name)));
    }
    print!("{}", report::table(&loaded.suite, &verdicts));
    Ok(verdicts.iter().all(|v| v.outcome == Outcome::Holds))
}

/// Runs the kept moves on the arena that the check picks for that expectation, and prints what happens.
pub fn replay(asked: &Replay) -> Result<bool> {
    let loaded = load(&asked.file, None)?;
    let text =
        std::fs::read_to_string(&asked.json).with_context(|| format!("reading {}", asked.json.display()))?;
    let kept: serde_json::Value = serde_json::from_str(&text).context("the file is not JSON")?;
    let verdicts = kept["expectations"].as_array().context("expectations is missing")?;
    let one = verdicts.iter().find(|v| v["name"] == asked.name.as_str());
    let one = one.with_context(|| format!("no verdict is called \"{}\"", asked.name))?;
    let moves = one["counterexample"]["moves"].as_array().filter(|m| !m.is_empty());
    let moves = moves.with_context(|| format!("\"{}\" has no moves to replay", asked.name))?;
    let moves: Vec<&str> = moves.iter().filter_map(|m| m.as_str()).collect();
    let open = |seed| Box::new(loaded.suite.fleet().terms().open(seed)) as Box<dyn Subject>;
    let arena = one["counterexample"]["arena"].as_u64().context("arena is missing")?;
    let told = loaded.suite.replay(arena as usize, &moves, asked.seed, &open);
    let (lines, broken) = told.map_err(|error| anyhow!(error))?;
    lines.iter().for_each(|line| println!("{line}"));
    Ok(!broken)
}
