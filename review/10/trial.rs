//! A mixer that starts while discovery is down sends by the list of before, though the agent holds a drain.

#[path = "../stage.rs"]
mod stage;

use std::io;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use stage::{Discovery, Mixer, Part, Scan, Searcher, Stage, ask, serve, sleep_ms};

const WORK_MS: u64 = 30;
/// The grace of a drain.
const GRACE_MS: f64 = 250.0;
/// All time limits are this much longer on sockets.
const SLACK_MS: f64 = 50.0;
/// A mixer may be held up for so long between reading its clock and writing.
const HELD_UP_MS: f64 = 150.0;
/// Discovery is down for so long after the mixer's start.
const OUTAGE_MS: u64 = 4000;

const SETTINGS: &str = r#"{"peers_total":1,"zone":0,"zones":["a"],"discovery":"push",
"services":[
{"name":"standings","idempotency":"pure","points":1.0,"slo_ms":800.0,"hard_limit_ms":1500.0,"late_worth":0.1}],
"customers":[{"name":"u-lipy","quota_per_s":50.0,"share":1.0}],"over_share_worth":0.2,
"family_info":{"positions":3,"in_a_row":1,"ranges":15,"bundle_max":1,"overhead_ms":0.0,
"class_need":[1.0],"floor_by_class":[1.0],"partial_earns":[0.9],"class_fetch":[0]},
"permissions":{"cancel":true,"probing":true,"parallel_tries":true,"max_attempts":4,"retry_after":true,
"max_retry_after_ms":1000.0,"open_cap":196,"multiplex":32,"connect_timeout_ms":250.0,"idle_close_ms":15000.0},
"report":{"via":"none"},
"rules":{"cold_from":0.16,"warm_after_ms":17000.0,"tip_multiple":4.0,"fall_ms":1000.0,"drain_grace_ms":250.0}}"#;

const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;

fn scan(nth: u32) -> Scan {
    let id = format!("{:016x}", 0x9b1f_03aa_5c7e_0000u64 + u64::from(nth));
    let shards = (0..3).map(|i| (nth + i) % 15).collect();
    Scan { table_type: "standings", owner: "u-lipy", id, deadline_ms: 1500, shards, text: "find".to_owned() }
}

fn trial(stage: &Stage) -> io::Result<Vec<String>> {
    let mut searchers = Vec::new();
    for nth in 0..12 {
        searchers.push(Searcher::start(stage, &format!("s-{nth:02}"), nth % 3, |part: &Part| {
            serve(part, WORK_MS)
        })?);
    }
    let discovery = Discovery::start(stage, &searchers.iter().collect::<Vec<_>>())?;
    let empty = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;
    let mut mixer = Mixer::start(stage, "n1", discovery.address, LIMITS, empty, SETTINGS)?;
    mixer.wait_until_ready(Duration::from_secs(10))?;
    for nth in 0..20 {
        ask(stage, mixer.address, &scan(nth), 500);
    }
    // The mixer is killed. While it is away, three of twelve searchers begin to drain, and its agent hears of that.
    let known = discovery.list();
    drop(mixer);
    let entry = |(nth, searcher): (usize, &Searcher)| searcher.entry(if nth < 3 { "draining" } else { "up" });
    discovery.change(searchers.iter().enumerate().map(entry).collect());
    sleep_ms(1000);
    if stage.trouble {
        discovery.set_down(true);
    }
    sleep_ms(1000);
    // What the agent holds counts as told from the first moment of the new process.
    let told_at = stage.now_ms();
    let mut mixer = Mixer::start(stage, "n1", discovery.address, LIMITS, &known, SETTINGS)?;
    let stays_down = thread::scope(|scope| {
        let outage = scope.spawn(|| {
            sleep_ms(OUTAGE_MS);
            if stage.trouble {
                discovery.set_down(false);
            }
        });
        mixer.wait_until_ready(Duration::from_secs(30))?;
        // Six clients, so that the mixer spreads the parts over the searchers that it knows.
        let address = mixer.address;
        for client in 1..=6 {
            scope.spawn(move || {
                for nth in 0..30 {
                    ask(stage, address, &scan(100 * client + nth), 500);
                    sleep_ms(30);
                }
            });
        }
        outage.join().map_err(|_| io::Error::other("the outage could not be played"))
    });
    stays_down?;
    mixer.note_counters();
    let mut breaks = Vec::new();
    for searcher in &searchers[..3] {
        let late = |part: &Part| part.at_ms > told_at + GRACE_MS + SLACK_MS + HELD_UP_MS;
        for part in searcher.received().into_iter().filter(late) {
            breaks.push(format!(
                "{}, which drains, gets {} {:.0} ms after that was told",
                searcher.name,
                part.id,
                part.at_ms - told_at
            ));
        }
    }
    Ok(breaks)
}

fn main() -> ExitCode {
    stage::play(trial)
}
