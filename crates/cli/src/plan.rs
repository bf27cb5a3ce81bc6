//! `pewterwharf check plan`: orders the moves of slices between two deployments.

use std::path::PathBuf;

use anyhow::Result;
use clap::Args;
use pewterwharf_expect::plan::{Migration, PlanError, StepKind};

use crate::load::load;

#[derive(Args)]
pub struct PlanArgs {
    /// Expectation file of the current season
    #[arg(long, value_name = "OLD")]
    from: PathBuf,
    /// Expectation file of the next season; its expectations hold after each step
    #[arg(long, value_name = "NEW")]
    to: PathBuf,
}

/// Prints the steps, or why there are none. Returns whether an order was found.
pub fn run(args: &PlanArgs) -> Result<bool> {
    let old = load(&args.from, None)?;
    let new = load(&args.to, None)?;
    let migration = Migration::new(old.suite.fleet(), new.suite.fleet(), &old.list, &new.list);
    let planned = migration.and_then(|migration| {
        let plan = migration.plan(new.suite.expectations(), new.suite.pace())?;
        Ok((migration, plan))
    });
    match planned {
        Ok((migration, plan)) => {
            for (nth, step) in plan.steps.iter().enumerate() {
                let action = match step.kind {
                    StepKind::Copy => "copy slice",
                    StepKind::Drop => "drop slice",
                };
                let preposition = if step.kind == StepKind::Copy { "to" } else { "at" };
                let names = migration.groups()[step.group as usize].searchers.join(", ");
                println!("{:>4}  {action} {} {preposition} {names}", nth + 1, step.slice);
            }
            for name in &plan.initially_failing {
                println!(
                    "\"{name}\" does not hold before the change, and is required only after the last step"
                );
            }
            println!("{} steps, {} states visited", plan.steps.len(), plan.states);
            Ok(true)
        }
        Err(stuck) => {
            match stuck {
                PlanError::Excluded { names, smallest } => {
                    let most =
                        if smallest { "the smallest set that does" } else { "none of them can be left out" };
                    println!("no order of the moves keeps these expectations ({most}):");
                    names.iter().for_each(|name| println!("      {name}"));
                }
                PlanError::SearchLimitReached { states } => {
                    println!("no order was found among {states} states; there may be one")
                }
                PlanError::DependsOnSets { name } => {
                    println!(
                        "\"{name}\" depends on sets, which are undefined while searchers move between them"
                    );
                }
                PlanError::NotComparable { reason } => println!("the two fleets can't be compared: {reason}"),
            }
            Ok(false)
        }
    }
}
