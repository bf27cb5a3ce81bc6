//! `pewterwharf drill`: several processes of the mixer, and faults between them.

use std::fs;
use std::path::PathBuf;
use std::str::FromStr;

use anyhow::{Context, Result, anyhow, ensure};
use clap::Args;
use pewterwharf_drill::{Options, Report, Script, draw, run, shrink};
use serde_json::Value;

#[derive(Args)]
pub struct How {
    /// Where what came of each drill is written as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Where the timeline of the last drill is drawn
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
    /// Where the files and logs of the processes stay
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
    /// The program of the mixer; without, the one beside this program
    #[arg(long, value_name = "PROGRAM")]
    mixer: Option<PathBuf>,
    /// The mixers share nothing: for comparison
    #[arg(long)]
    alone: bool,
}

#[derive(Args)]
pub struct Run {
    /// Scripts, each with one drill or more
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Chance of the processes and of the clients
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    how: How,
}

#[derive(Args)]
pub struct Random {
    /// Seeds, as 1..200, the last one left out
    #[arg(long, value_name = "A..B")]
    seeds: Seeds,
    /// Runs that the search for the smallest script that fails may take
    #[arg(long, default_value_t = 30)]
    tries: usize,
    #[command(flatten)]
    how: How,
}

#[derive(Clone, Copy)]
struct Seeds(u64, u64);

impl FromStr for Seeds {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let read = || {
            let (from, to) = text.split_once("..")?;
            Some(Self(from.parse().ok()?, to.parse().ok()?))
        };
        read().filter(|s| s.0 < s.1).ok_or_else(|| format!("found {text}, expected A..B with A under B"))
    }
}

impl How {
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

    fn write(&self, reports: &[Report]) -> Result<()> {
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

/// Whether all drills held.
pub fn files(asked: &Run) -> Result<bool> {
    let mut scripts = Vec::new();
    for file in &asked.files {
        let text = fs::read_to_string(file).with_context(|| format!("reading {}", file.display()))?;
        let read = Script::read(&text).map_err(|fault| anyhow!("{}:{fault}", file.display()))?;
        scripts.extend(read);
    }
    let options = asked.how.options(asked.seed)?;
    let mut reports = Vec::new();
    for script in &scripts {
        let report = run(script, &options)?;
        print!("{report}");
        reports.push(report);
        asked.how.write(&reports)?;
    }
    Ok(reports.iter().all(Report::held))
}

/// Whether all drawn drills held; one that did not is shrunk and printed as a script.
pub fn random(asked: &Random) -> Result<bool> {
    let mut reports = Vec::new();
    for seed in asked.seeds.0..asked.seeds.1 {
        let (script, options) = (draw(seed), asked.how.options(seed)?);
        let report = run(&script, &options)?;
        print!("{report}");
        if !report.held() {
            let fails = |less: &Script| run(less, &options).is_ok_and(|report| !report.held());
            println!("the smallest that was found to fail:\n{}", shrink(&script, asked.tries, fails));
        }
        reports.push(report);
        asked.how.write(&reports)?;
    }
    let held = reports.iter().filter(|r| r.held()).count();
    println!("{held} of {} held", reports.len());
    Ok(held == reports.len())
}
