//! `pewterwharf drill`: runs several mixer processes and injects faults between them.

use std::fs;
use std::path::PathBuf;
use std::str::FromStr;

use anyhow::{Context, Result, anyhow, ensure};
use clap::Args;
use pewterwharf_drill::{Options, Report, Script, draw, run, shrink};
use serde_json::Value;

#[derive(Args)]
pub struct DrillArgs {
    /// Writes the results of all drills as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Draws the timeline of the last drill as SVG
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
    /// Keeps the files and logs of the processes in this directory
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
    /// Program of the mixer [default: pewterwharf-mixer beside this program]
    #[arg(long, value_name = "PROGRAM")]
    mixer: Option<PathBuf>,
    /// Runs the mixers without any exchange between them, for comparison
    #[arg(long)]
    alone: bool,
}

#[derive(Args)]
pub struct RunArgs {
    /// Scripts, each with one or more drills
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Seed for the processes and the clients
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    drill: DrillArgs,
}

#[derive(Args)]
pub struct RandomArgs {
    /// Range of seeds, as 1..200, without the upper bound
    #[arg(long, value_name = "A..B")]
    seeds: SeedRange,
    /// Maximum number of runs to shrink a failing script
    #[arg(long, default_value_t = 30)]
    tries: usize,
    #[command(flatten)]
    drill: DrillArgs,
}

#[derive(Clone, Copy)]
struct SeedRange {
    start: u64,
    /// Exclusive.
    end: u64,
}

impl FromStr for SeedRange {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parse = || {
            let (start, end) = text.split_once("..")?;
            Some(Self { start: start.parse().ok()?, end: end.parse().ok()? })
        };
        parse()
            .filter(|range| range.start < range.end)
            .ok_or_else(|| format!("found {text}, expected A..B with A under B"))
    }
}

impl DrillArgs {
    fn options(&self, seed: u64) -> Result<Options> {
        let program = match &self.mixer {
            Some(program) => program.clone(),
            None => std::env::current_exe().context("this program")?.with_file_name("pewterwharf-mixer"),
        };
        ensure!(program.is_file(), "no mixer at {}: build it, or name it by --mixer", program.display());
        if let Some(dir) = &self.keep {
            fs::create_dir_all(dir).with_context(|| format!("making {}", dir.display()))?;
        }
        Ok(Options { program, seed, keep: self.keep.clone(), alone: self.alone })
    }

    /// Writes the JSON and SVG files, if requested.
    fn write_files(&self, reports: &[Report]) -> Result<()> {
        if let Some(file) = &self.json {
            let all: Vec<Value> = reports.iter().map(Report::json).collect();
            fs::write(file, Value::from(all).to_string())
                .with_context(|| format!("writing {}", file.display()))?;
        }
        if let (Some(file), Some(last)) = (&self.svg, reports.last()) {
            fs::write(file, last.svg()).with_context(|| format!("writing {}", file.display()))?;
        }
        Ok(())
    }
}

/// Runs the drills of all scripts and prints their reports. Returns whether all pass.
pub fn run_scripts(args: &RunArgs) -> Result<bool> {
    let mut scripts = Vec::new();
    for file in &args.files {
        let text = fs::read_to_string(file).with_context(|| format!("reading {}", file.display()))?;
        let parsed = Script::read(&text).map_err(|error| anyhow!("{}:{error}", file.display()))?;
        scripts.extend(parsed);
    }
    let options = args.drill.options(args.seed)?;
    let mut reports = Vec::new();
    for script in &scripts {
        let report = run(script, &options)?;
        print!("{report}");
        reports.push(report);
        args.drill.write_files(&reports)?;
    }
    Ok(reports.iter().all(Report::held))
}

/// Runs a generated drill for each seed; a failing one is shrunk and printed as a script. Returns whether all pass.
pub fn run_random(args: &RandomArgs) -> Result<bool> {
    let mut reports = Vec::new();
    for seed in args.seeds.start..args.seeds.end {
        let (script, options) = (draw(seed), args.drill.options(seed)?);
        let report = run(&script, &options)?;
        print!("{report}");
        if !report.held() {
            let fails = |less: &Script| run(less, &options).is_ok_and(|report| !report.held());
            println!("the smallest script that fails:\n{}", shrink(&script, args.tries, fails));
        }
        reports.push(report);
        args.drill.write_files(&reports)?;
    }
    let held = reports.iter().filter(|r| r.held()).count();
    println!("{held} of {} held", reports.len());
    Ok(held == reports.len())
}
