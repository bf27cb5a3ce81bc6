//! Some answers of searchers are spoilt: the stated length of their frame does not fit, as it ends within the
//! value. The rest of the value follows at once, and no frame can begin so. Only answers are spoilt behind which
//! another part waits on the connection: a good answer brings more than belongs to it only when nothing else does.
#[path = "../rig.rs"]
mod rig;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use rig::*;

/// One answer in so many is spoilt.
const SPOILT_ONE_IN: u64 = 20;
/// The stated length is so many bytes too short.
const SHORT_BY: usize = 4;
const CLIENTS: u64 = 4;
const REQUESTS: u64 = 50;

fn main() {
    let Ok(mut run) = Run::open() else { std::process::exit(NOT_RUN) };
    let record = run.record.clone();
    let trouble = run.trouble;
    let answers = Arc::new(AtomicU64::new(0));
    let (counted, log) = (answers.clone(), record.clone());
    let spoilt = Arc::new(AtomicU64::new(0));
    let spoilt_in_all = spoilt.clone();
    let on_part: OnPart = Arc::new(move |part: PartCall| {
        thread::sleep(Duration::from_millis(30 + u64::from(part.shard % 5) * 5));
        let number = counted.fetch_add(1, Ordering::SeqCst) + 1;
        let value = part.value();
        // The first answer from then on behind which another part waits.
        let is_due = number / SPOILT_ONE_IN > spoilt.load(Ordering::SeqCst);
        if trouble && is_due && part.others_wait() {
            spoilt.fetch_add(1, Ordering::SeqCst);
            log.line(format!("{} answers {} with {value}, spoilt", part.searcher, part.id));
            let _ = part.answer_cut("200", &value, SHORT_BY);
        } else {
            log.line(format!("{} answers {} with {value}", part.searcher, part.id));
            let _ = part.answer("200", &value);
        }
    });
    let fleet = start_fleet(&record, &on_part);
    let discovery = Discovery::start(&record, &fleet, 41);
    let mixer = Mixer::new("n1", discovery.address);
    if run.start_mixer(&mixer).is_err() || !wait_ready(mixer.listen, Duration::from_secs(10)) {
        run.finish(NOT_RUN, "the mixer did not become ready");
    }
    let faults = Arc::new(Mutex::new(Vec::new()));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (faults, served, log, to) = (faults.clone(), served.clone(), record.clone(), mixer.listen);
            thread::spawn(move || {
                let mut connection = None;
                for i in 0..REQUESTS {
                    let id = format!("{client:08x}{i:08x}");
                    let expr = format!("{:08x}", 7919 * (client + 1) + i);
                    let shards: Vec<u32> = (0..4).map(|k| (i as u32 + 3 * k) % SHARDS).collect();
                    let bytes = request("standings", &id, 1500, &shards, &expr);
                    if connection.is_none() {
                        connection = Client::connect(to).ok();
                    }
                    let Some(open) = connection.as_mut() else { continue };
                    match open.ask(&bytes, Duration::from_secs(3)) {
                        Ok(answer) => {
                            log.line(format!("answer to {id}: {} {}", answer.status, answer.body.trim()));
                            served.fetch_add(u64::from(answer.status == 200), Ordering::SeqCst);
                            for shard in shards.iter().filter(|_| answer.status == 200) {
                                let made = value_of(&expr, *shard);
                                match answer.value(*shard) {
                                    Some(got) if got != made => faults.lock().unwrap().push(format!(
                                        "{id}.{shard}: the client got {got}, the searchers made {made}"
                                    )),
                                    None if answer.is_exact() => {
                                        faults.lock().unwrap().push(format!("{id}.{shard} is missing"))
                                    }
                                    _ => {}
                                }
                            }
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
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let faults = faults.lock().unwrap().clone();
    faults.iter().for_each(|fault| record.line(fault));
    let served = served.load(Ordering::SeqCst);
    let text = format!("{served} answers with 200, {} values that no searcher made", faults.len());
    let spoilt = spoilt_in_all.load(Ordering::SeqCst);
    if trouble && spoilt == 0 {
        run.finish(NOT_RUN, "no answer was spoilt");
    }
    let text = format!("{text}, {spoilt} answers spoilt");
    match (faults.first(), served) {
        (Some(first), _) => run.finish(BROKEN, &format!("{text}; the first: {first}")),
        (None, 0) => run.finish(NOT_RUN, "nothing was served"),
        (None, _) => run.finish(HELD, &text),
    }
}
