//! Bad clients send the same thing again as soon as it is turned away, as too little time is left for it. The mixer's
//! memory is watched as the platform does, which kills a mixer that takes more than `memory_mb`.
#[path = "../rig.rs"]
mod rig;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rig::*;

/// The least that mixers get; the most is 192.
const MEMORY_MB: u32 = 32;
const BAD_CLIENTS: u64 = 8;
/// The time that the bad clients say that they wait.
const BAD_DEADLINE_MS: u64 = 20;
/// With fewer queries turned away than this, holding the limit says nothing.
const LEAST_TURNED_AWAY: u64 = 100_000;
const LENGTH: Duration = Duration::from_secs(60);

fn main() {
    let Ok(mut run) = Run::open() else { std::process::exit(NOT_RUN) };
    let record = run.record.clone();
    let trouble = run.trouble;
    let on_part: OnPart = Arc::new(move |part: PartCall| {
        thread::sleep(Duration::from_millis(30));
        let _ = part.serve();
    });
    let fleet = start_fleet(&record, &on_part);
    let discovery = Discovery::start(&record, &fleet, 41);
    let mut mixer = Mixer::new("n1", discovery.address);
    mixer.memory_mb = MEMORY_MB;
    let Ok(pid) = run.start_mixer(&mixer) else { run.finish(NOT_RUN, "no mixer") };
    if !wait_ready(mixer.listen, Duration::from_secs(10)) {
        run.finish(NOT_RUN, "the mixer did not become ready");
    }
    let stop = Arc::new(AtomicBool::new(false));
    let turned_away = Arc::new(AtomicU64::new(0));
    let served = Arc::new(AtomicU64::new(0));
    let to = mixer.listen;
    if trouble {
        for bad in 0..BAD_CLIENTS {
            let (stop, turned_away) = (stop.clone(), turned_away.clone());
            thread::spawn(move || {
                let shards: Vec<u32> = (0..SHARDS).collect();
                let mut number = 0u64;
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut connection) = Client::connect(to) else {
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    };
                    while !stop.load(Ordering::Relaxed) {
                        number += 1;
                        let id = format!("{:016x}", (bad + 1) << 40 | number);
                        let bytes = request("standings", &id, BAD_DEADLINE_MS, &shards, "c41e77d0");
                        match connection.ask(&bytes, Duration::from_secs(3)) {
                            Ok(answer) => {
                                turned_away.fetch_add(u64::from(answer.status == 503), Ordering::Relaxed);
                                if answer.close {
                                    break;
                                }
                            }
                            Err(_) => break,
                        }
                    }
                }
            });
        }
    }
    // The usual client: ten requests a second.
    {
        let (stop, served, log) = (stop.clone(), served.clone(), record.clone());
        thread::spawn(move || {
            let mut connection = None;
            let mut number = 0u64;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("{number:016x}");
                let shards: Vec<u32> = (0..4).map(|k| (number as u32 + k) % SHARDS).collect();
                let bytes = request("standings", &id, 1500, &shards, "5be2a07c");
                if connection.is_none() {
                    connection = Client::connect(to).ok();
                }
                if let Some(open) = connection.as_mut() {
                    match open.ask(&bytes, Duration::from_secs(3)) {
                        Ok(answer) => {
                            served.fetch_add(u64::from(answer.status == 200), Ordering::Relaxed);
                            log.line(format!("answer to {id}: {}", answer.status));
                            if answer.close {
                                connection = None;
                            }
                        }
                        Err(error) => {
                            log.line(format!("no answer to {id}: {error}"));
                            connection = None;
                        }
                    }
                }
                thread::sleep(Duration::from_millis(100));
            }
        });
    }
    let since = Instant::now();
    let mut most = 0;
    let mut next = 0;
    while since.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(100));
        let Some((now, high)) = memory_kb(pid).filter(|_| run.ended(pid).is_none()) else {
            run.finish(BROKEN, "the mixer has ended by itself");
        };
        most = high;
        if since.elapsed().as_secs() >= next {
            next += 2;
            record.line(format!(
                "memory {now} kB, most {high} kB; turned away {}, served {}",
                turned_away.load(Ordering::Relaxed),
                served.load(Ordering::Relaxed)
            ));
        }
        if now > u64::from(MEMORY_MB) * 1024 {
            break;
        }
    }
    let text = format!(
        "{most} kB of {} after {:.1} s, {} turned away, {} served",
        MEMORY_MB * 1024,
        since.elapsed().as_secs_f64(),
        turned_away.load(Ordering::Relaxed),
        served.load(Ordering::Relaxed)
    );
    stop.store(true, Ordering::Relaxed);
    if most > u64::from(MEMORY_MB) * 1024 {
        run.signal(pid, "KILL"); // as the platform does
        run.finish(BROKEN, &format!("the mixer took more memory than its limit: {text}"));
    }
    if served.load(Ordering::Relaxed) == 0 {
        run.finish(NOT_RUN, "nothing was served");
    }
    if trouble && turned_away.load(Ordering::Relaxed) < LEAST_TURNED_AWAY {
        run.finish(NOT_RUN, &format!("too little came from the bad clients: {text}"));
    }
    run.finish(HELD, &text);
}
