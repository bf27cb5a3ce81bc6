//! A spoilt answer whose length is too short: what is served is not what the searcher made.

#[path = "../stage.rs"]
mod stage;

use std::io;
use std::process::ExitCode;
use std::time::Duration;

use stage::{Discovery, Mixer, Part, Scan, Searcher, Stage, Step, ask, good_answer, serve, value_of};

const WORK_MS: u64 = 30;
/// The answers to each so many-th request are spoilt.
const SPOILT_EACH: u64 = 10;
/// The length that a spoilt answer states is so many bytes too short.
const TOO_SHORT: u8 = 6;

const SETTINGS: &str = r#"{"peers_total":1,"zone":0,"zones":["a"],"discovery":"push",
"services":[
{"name":"standings","idempotency":"pure","points":1.0,"slo_ms":800.0,"hard_limit_ms":1500.0,"late_worth":0.1},
{"name":"result-entry","idempotency":"side_effect","points":1.0,"slo_ms":800.0,"hard_limit_ms":2500.0,"late_worth":0.3}],
"customers":[{"name":"u-lipy","quota_per_s":50.0,"share":1.0}],"over_share_worth":0.2,
"family_info":{"positions":3,"in_a_row":1,"ranges":15,"bundle_max":1,"overhead_ms":0.0,
"class_need":[1.0,1.0],"floor_by_class":[1.0,1.0],"partial_earns":[0.9,0.9],"class_fetch":[0,0]},
"permissions":{"cancel":true,"probing":true,"parallel_tries":true,"max_attempts":4,"retry_after":true,
"max_retry_after_ms":1000.0,"open_cap":196,"multiplex":32,"connect_timeout_ms":250.0,"idle_close_ms":15000.0},
"report":{"via":"none"},
"rules":{"cold_from":0.16,"warm_after_ms":17000.0,"tip_multiple":4.0,"fall_ms":1000.0,"drain_grace_ms":250.0}}"#;

fn number_of(text: &str) -> u64 {
    text.rsplit(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn behaviour(trouble: bool) -> impl Fn(&Part) -> Vec<Step> + Send + Sync {
    move |part| {
        if !trouble || number_of(&part.text) % SPOILT_EACH != SPOILT_EACH - 1 {
            return serve(part, WORK_MS);
        }
        // The good answer, whole and in one piece, but for the length in front of it. The connection stays open.
        let mut bytes = good_answer(part);
        bytes[3] -= TOO_SHORT;
        vec![Step::Wait(WORK_MS), Step::Write(bytes)]
    }
}

fn trial(stage: &Stage) -> io::Result<Vec<String>> {
    let mut searchers = Vec::new();
    for nth in 0..12 {
        searchers.push(Searcher::start(stage, &format!("s-{nth:02}"), nth % 3, behaviour(stage.trouble))?);
    }
    let discovery = Discovery::start(stage, &searchers.iter().collect::<Vec<_>>())?;
    let limits = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;
    let known = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;
    let mut mixer = Mixer::start(stage, "n1", discovery.address, limits, known, SETTINGS)?;
    mixer.wait_until_ready(Duration::from_secs(10))?;
    let mut breaks = Vec::new();
    for nth in 0u32..60 {
        let shards: Vec<u32> = (0..3).map(|i| (nth + i) % 15).collect();
        let table_type = if nth % 4 == 3 { "result-entry" } else { "standings" };
        let id = format!("{:016x}", 0x9b1f_03aa_5c7e_0000u64 + u64::from(nth));
        let text = format!("query {nth}");
        let scan = Scan { table_type, owner: "u-lipy", id, deadline_ms: 1500, shards, text };
        let Ok(answer) = ask(stage, mixer.address, &scan, 500).answer else { continue };
        if answer.status != 200 {
            continue;
        }
        for (shard, value) in answer.rows() {
            let made = value_of(shard, &scan.text);
            if value != made {
                let mark = if answer.is_exact() { "whole" } else { "not whole" };
                breaks.push(format!("request {} is served, marked {mark}, with {value:?} for shard {shard}: made was {made:?}", scan.id));
            }
        }
    }
    mixer.note_counters();
    Ok(breaks)
}

fn main() -> ExitCode {
    stage::play(trial)
}
