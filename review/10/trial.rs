//! Discovery that takes 3 s for each call is never heard: a mixer without a list is never ready, and one with an old list
//! goes by it for good.

#[path = "../stage.rs"]
mod stage;

use std::io;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use stage::{Discovery, Mixer, Part, Scan, Searcher, Stage, ask, ms, serve, sleep_ms};

const WORK_MS: u64 = 30;
/// What discovery takes for a call while it is slow.
const CALL_MS: u64 = 3000;
/// A mixer has so long to be ready.
const READY_MS: u64 = 30_000;
/// A change counts as told so long after discovery had it and could be reached, at the latest.
const TOLD_MS: f64 = 6000.0;
/// The grace of a drain.
const GRACE_MS: f64 = 250.0;
/// All time limits are this much longer on sockets.
const SLACK_MS: f64 = 50.0;
/// A mixer may be held up for so long between reading its clock and writing.
const HELD_UP_MS: f64 = 150.0;

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
const EMPTY: &str = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;

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
    let known = discovery.list();
    // Three of twelve searchers begin to drain before the mixers start; no list that they held has that.
    let entry = |(nth, searcher): (usize, &Searcher)| searcher.entry(if nth < 3 { "draining" } else { "up" });
    discovery.change(searchers.iter().enumerate().map(entry).collect());
    if stage.trouble {
        discovery.set_delay(CALL_MS);
    }
    let began = Instant::now();
    let began_ms = stage.now_ms();
    let mut old = Mixer::start(stage, "n1", discovery.address, LIMITS, &known, SETTINGS)?;
    let mut new = Mixer::start(stage, "n2", discovery.address, LIMITS, EMPTY, SETTINGS)?;
    old.wait_until_ready(ms(READY_MS))?;
    // The first one is used from the time on by which the drain counts as told, however slow discovery is.
    sleep_ms((TOLD_MS as u64 + 1000).saturating_sub(began.elapsed().as_millis() as u64));
    thread::scope(|scope| {
        for client in 1..=6 {
            let address = old.address;
            scope.spawn(move || {
                for nth in 0..40 {
                    ask(stage, address, &scan(100 * client + nth), 500);
                    sleep_ms(50);
                }
            });
        }
    });
    let mut breaks = Vec::new();
    let left = Duration::from_millis(READY_MS).saturating_sub(began.elapsed());
    if new.wait_until_ready(left).is_err() {
        breaks.push(format!("n2, which started without a list, is not ready after {READY_MS} ms"));
    }
    for searcher in &searchers[..3] {
        let late = |part: &Part| part.at_ms > began_ms + TOLD_MS + GRACE_MS + SLACK_MS + HELD_UP_MS;
        let count = searcher.received().into_iter().filter(late).count();
        if count > 0 {
            breaks.push(format!(
                "{}, which drains, gets {count} parts after that counts as told",
                searcher.name
            ));
        }
    }
    old.note_counters();
    new.note_counters();
    Ok(breaks)
}

fn main() -> ExitCode {
    stage::play(trial)
}
