//! After a long quiet time a searcher comes back cold, under a burst: the mixers together push it over.

#[path = "../stage.rs"]
mod stage;

use std::io;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stage::{
    Discovery, Mixer, Part, Scan, Searcher, Stage, Step, ask, frame, good_answer, ms, sleep_ms, unix_ms,
};

const MIXERS: u64 = 45;
const CELLS: u32 = 10;
const SEARCHERS: u32 = 30;
const CORES: usize = 2;
/// Work of a part on one core of a warm searcher.
const WORK_MS: f64 = 130.0;
const PARTS: u32 = 5;
/// What the settings tell: where a cold searcher begins, when it is warm, by how much and for how long it may be pressed.
const COLD_FROM: f64 = 0.05;
const WARM_AFTER_MS: f64 = 18_000.0;
const TIP_MULTIPLE: f64 = 4.0;
const FALL_MS: f64 = 1500.0;
/// Parts that may wait at a searcher.
const QUEUE: usize = 30;
const QUIET_MS: u64 = 60_000;
const BURST_MS: u64 = 6000;
/// Scans a second of all mixers in the burst: 83 x 5 parts x 130 ms are 0.9 of the 60 cores.
const BURST_RATE: f64 = 83.0;
/// One searcher of a crash is back so long after it.
const AWAY_MS: u64 = 8000;

/// A searcher's cores, and since when it is cold: its work takes as long as its share of capacity lets it.
#[derive(Default)]
struct Machine {
    busy_until_ms: [f64; CORES],
    ends_ms: Vec<f64>,
    cold_since_ms: Option<f64>,
}

/// The share of its capacity that a searcher has so long after its start.
fn share_after(age_ms: f64) -> f64 {
    (COLD_FROM + (1.0 - COLD_FROM) * age_ms / WARM_AFTER_MS).min(1.0)
}

impl Machine {
    /// Runs a part that arrives now; when it will be done, or `None` if the queue is full.
    fn run(&mut self, now_ms: f64) -> Option<f64> {
        self.ends_ms.retain(|end| *end > now_ms);
        if self.ends_ms.len() >= QUEUE + CORES {
            return None;
        }
        let core = (0..CORES).min_by(|a, b| self.busy_until_ms[*a].total_cmp(&self.busy_until_ms[*b]))?;
        let mut end_ms = self.busy_until_ms[core].max(now_ms);
        let mut left_ms = WORK_MS;
        while left_ms > 0.0 {
            left_ms -= 5.0 * self.cold_since_ms.map_or(1.0, |since| share_after(end_ms - since));
            end_ms += 5.0;
        }
        self.busy_until_ms[core] = end_ms;
        self.ends_ms.push(end_ms);
        Some(end_ms)
    }
}

fn settings(zone: u64) -> String {
    format!(
        r#"{{"peers_total":{MIXERS},"zone":{zone},"zones":["a"],"discovery":"push",
"services":[
{{"name":"claim-lookup","idempotency":"pure","points":1.0,"slo_ms":1500.0,"hard_limit_ms":4000.0,"late_worth":0.1}}],
"customers":[{{"name":"polnocna-siec","quota_per_s":80.0,"share":1.0}}],"over_share_worth":0.05,
"family_info":{{"positions":{CELLS},"in_a_row":1,"ranges":{CELLS},"bundle_max":1,"overhead_ms":0.0,
"class_need":[1.0],"floor_by_class":[1.0],"partial_earns":[0.8],"class_fetch":[0]}},
"permissions":{{"cancel":true,"probing":false,"parallel_tries":true,"max_attempts":4,"retry_after":true,
"max_retry_after_ms":1000.0,"open_cap":100,"multiplex":32,"connect_timeout_ms":250.0,"idle_close_ms":15000.0}},
"report":{{"via":"answers","names":["load_share"]}},
"rules":{{"cold_from":{COLD_FROM},"warm_after_ms":{WARM_AFTER_MS:.1},"tip_multiple":{TIP_MULTIPLE:.1},"fall_ms":{FALL_MS:.1},"drain_grace_ms":2000.0}}}}"#
    )
}

/// A share from 0 to 1, by a fixed sequence.
fn draw(state: &mut u64) -> f64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    (*state >> 11) as f64 / (1u64 << 53) as f64
}

/// The clients of one mixer during the burst.
fn clients(stage: &Stage, nth: u64, address: std::net::SocketAddr) {
    let mut state = 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(nth + 1);
    let began = Instant::now();
    let mut at_s = 0.0;
    thread::scope(|scope| {
        for number in 0u64.. {
            at_s -= (1.0 - draw(&mut state)).ln() * MIXERS as f64 / BURST_RATE;
            let at = Duration::from_secs_f64(at_s);
            if at >= ms(BURST_MS) {
                return;
            }
            thread::sleep(at.saturating_sub(began.elapsed()));
            let first = (draw(&mut state) * f64::from(CELLS)) as u32;
            let scan = Scan {
                table_type: "claim-lookup",
                owner: "polnocna-siec",
                id: format!("{nth:04x}{number:012x}"),
                deadline_ms: 4000,
                shards: (0..PARTS).map(|part| (first + part) % CELLS).collect(),
                text: "find".to_owned(),
            };
            scope.spawn(move || ask(stage, address, &scan, 500));
        }
    });
}

/// The first fall of a searcher that started at `since_ms`: what it got in one stretch of `FALL_MS`, and what it may get.
fn first_fall(parts: &[Part], since_ms: f64) -> Option<(f64, usize, f64)> {
    let arrivals: Vec<f64> = parts.iter().map(|part| part.at_ms).filter(|at| *at >= since_ms).collect();
    arrivals.iter().enumerate().find_map(|(last, at)| {
        let got = arrivals[..=last].iter().filter(|earlier| **earlier > at - FALL_MS).count();
        let may = TIP_MULTIPLE * share_after(at - since_ms) * CORES as f64 * FALL_MS / WORK_MS;
        let slack = if may < 30.0 { 3.0 * may.sqrt() + 3.0 } else { 2.0 * may.sqrt() + 2.0 };
        (got as f64 > may + slack).then_some((at - since_ms, got, may + slack))
    })
}

fn trial(stage: &Stage) -> io::Result<Vec<String>> {
    let mut searchers = Vec::new();
    let mut machines = Vec::new();
    for nth in 0..SEARCHERS {
        let machine: Arc<Mutex<Machine>> = Arc::default();
        machines.push(machine.clone());
        let clock = stage.clone();
        let behaviour = move |part: &Part| {
            let now_ms = clock.now_ms();
            match machine.lock().ok().and_then(|mut machine| machine.run(now_ms)) {
                Some(end_ms) => vec![Step::Wait((end_ms - now_ms) as u64), Step::Write(good_answer(part))],
                None => vec![Step::Write(frame(b'O', format!("{} 503 0 -\nfull", part.id).as_bytes()))],
            }
        };
        searchers.push(Searcher::start(stage, &format!("s-{nth:02}"), nth % CELLS, behaviour)?);
    }
    let discovery = Discovery::start(stage, &searchers.iter().collect::<Vec<_>>())?;
    let limits = r#"{"cores":1.0,"memory_mb":64,"sockets":256}"#;
    let known = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;
    let mut mixers = Vec::new();
    for nth in 0..MIXERS {
        mixers.push(Mixer::start(stage, &format!("n{nth}"), discovery.address, limits, known, &settings(0))?);
    }
    for mixer in &mut mixers {
        mixer.wait_until_ready(Duration::from_secs(30))?;
    }
    stage.note("a long quiet time begins");
    sleep_ms(QUIET_MS - AWAY_MS);
    // The three searchers of one cell die. One is back after some seconds, cold, and the list says so.
    let list = |is_there: &dyn Fn(&Searcher) -> bool, back_since: u64| {
        let there = searchers.iter().filter(|searcher| is_there(searcher));
        there
            .map(|searcher| searcher.entry_since("up", if searcher.cell == 0 { back_since } else { 0 }))
            .collect()
    };
    if stage.trouble {
        discovery.change(list(&|searcher| searcher.cell != 0, 0));
    }
    sleep_ms(AWAY_MS);
    let since_ms = stage.now_ms();
    if stage.trouble {
        if let Ok(mut machine) = machines[0].lock() {
            machine.cold_since_ms = Some(since_ms);
        }
        discovery.change(list(&|searcher| searcher.cell != 0 || searcher.name == "s-00", unix_ms()));
    }
    sleep_ms(1000);
    stage.note("the burst begins");
    thread::scope(|scope| {
        for (nth, mixer) in mixers.iter().enumerate() {
            scope.spawn(move || clients(stage, nth as u64, mixer.address));
        }
    });
    sleep_ms(500);
    let mut breaks = Vec::new();
    if stage.trouble {
        let parts = searchers[0].received();
        stage.note(&format!("s-00 got {} parts in all", parts.len()));
        if let Some((age_ms, got, may)) = first_fall(&parts, since_ms) {
            breaks.push(format!(
                "s-00, {age_ms:.0} ms after its start, has got {got} parts within {FALL_MS} ms and falls over: {may:.1} are borne"
            ));
        }
    }
    Ok(breaks)
}

fn main() -> ExitCode {
    stage::play(trial)
}
