//! Starts and full tables, on loopback: ready in time whatever discovery does, a port that is still held, descriptors that idle
//! clients have filled, and the sizes of a large fleet.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use pewterwharf_standins::{self as standins, SearcherBehavior};
use serde_json::{Value, json};

mod rig;
use rig::*;

/// A searcher that answers.
fn searcher() -> SocketAddr {
    let listener = port();
    let at = listener.local_addr().expect("an address");
    standins::serve_searcher(listener, SearcherBehavior::Answers, mpsc::channel().0);
    at
}

fn asks(addr: SocketAddr, text: &str) -> String {
    let mut client = TcpStream::connect(addr).expect("it accepts");
    client.set_read_timeout(Some(CEILING)).expect("a time-out");
    client.write_all(text.as_bytes()).expect("it takes bytes");
    answer(&client)
}

const READY: &str = "GET /-/ready HTTP/1.1\r\n\r\n";

#[test]
fn a_mixer_that_holds_a_list_is_ready_though_discovery_is_down_or_silent() {
    let at = searcher();
    for silent in [false, true] {
        let path =
            config("known", |config| config["known"] = standins::discovery_list(1, true, &[(at, "up")]));
        let discovery = port();
        let place = discovery.local_addr().expect("an address").to_string();
        let held = silent.then_some(discovery);
        let began = Instant::now();
        let (mut child, mut log, addr) = launch(place, &path);
        assert!(asks(addr, READY).starts_with("HTTP/1.1 503"), "no list is gone by yet");
        wait(&mut log, "ready");
        assert!(began.elapsed() < Duration::from_secs(5), "ready after {:?}", began.elapsed());
        assert!(asks(addr, READY).starts_with("HTTP/1.1 200"));
        assert!(
            asks(addr, &scan("lookup", 1)).starts_with("HTTP/1.1 200"),
            "ready says that scans are served"
        );
        let _ = child.kill();
        let _ = child.wait();
        drop(held);
    }
}

#[test]
fn a_mixer_without_a_list_is_ready_once_a_slow_discovery_has_told_one() {
    let at = searcher();
    let mut mixer = Watched::start("true", EXAMPLE);
    let slow = mixer.asked();
    std::thread::sleep(Duration::from_millis(1500)); // it is slow to start, and answers what was asked first
    assert!(asks(mixer.addr, READY).starts_with("HTTP/1.1 503"));
    let list = format!("{}\n", standins::discovery_list(1, true, &[(at, "up")]));
    (&slow).write_all(format!("{WATCH}{}", chunk(&list)).as_bytes()).expect("it is waited for");
    wait(&mut mixer.log, "ready");
    assert!(asks(mixer.addr, &scan("lookup", 1)).starts_with("HTTP/1.1 200"));
}

fn on_port(at: SocketAddr) -> std::process::Child {
    let mut command = command("true", "127.0.0.1:9", EXAMPLE);
    command.env("ROUTER_LISTEN", at.to_string()).spawn().expect("the mixer starts")
}

#[test]
fn a_port_that_the_process_before_still_holds_is_waited_for() {
    let before = port();
    let at = before.local_addr().expect("an address");
    let child = on_port(at);
    std::thread::sleep(Duration::from_millis(500)); // it finds the port held
    drop(before);
    let (mut child, _log, addr) = listens(child);
    assert_eq!(addr, at);
    let _ = child.kill();
    let _ = child.wait();
}

#[test]
fn a_mixer_that_waits_for_its_port_ends_when_it_is_asked_to() {
    let before = port();
    let mut child = on_port(before.local_addr().expect("an address"));
    std::thread::sleep(Duration::from_millis(300));
    let asked = Instant::now();
    signal(&child, "TERM");
    assert!(child.wait().expect("it ends").code().is_some());
    assert!(asked.elapsed() < Duration::from_secs(5), "ended after {:?}", asked.elapsed());
}

#[test]
fn idle_clients_that_fill_all_descriptors_while_discovery_is_down_keep_nobody_away() {
    for (sockets, before) in [(256, "true"), (1024, "true"), (1024, "ulimit -n 128")] {
        let at = searcher();
        let path = config("full", |config| config["limits"]["sockets"] = sockets.into());
        let mut mixer = Watched::start(before, &path);
        drop(mixer.well_until(&standins::discovery_list(1, true, &[(at, "up")]), "ready"));
        mixer.down();
        // Many more than there is room for: some have just come, some rest after an answer.
        let clients: Vec<TcpStream> = (0..sockets + 100)
            .filter_map(|nth| {
                let mut client = TcpStream::connect(mixer.addr).ok()?;
                if nth % 2 == 0 {
                    let _ = client.write_all(READY.as_bytes()); // it may have been let go of
                }
                Some(client)
            })
            .collect();
        assert!(clients.len() > sockets, "they could connect");
        assert!(asks(mixer.addr, READY).starts_with("HTTP/1.1 200"), "{sockets} {before}");
        let served = asks(mixer.addr, &scan("lookup", 1));
        assert!(served.starts_with("HTTP/1.1 200"), "{sockets} {before}: {served}");
        mixer.up();
        let back = Instant::now();
        let _watch = mixer.well_until(&standins::discovery_list(2, false, &[(at, "draining")]), "drains");
        assert!(
            back.elapsed() < Duration::from_secs(3),
            "{sockets} {before}: heard after {:?}",
            back.elapsed()
        );
        assert!(asks(mixer.addr, READY).starts_with("HTTP/1.1 200"), "{sockets} {before}");
    }
}

/// A figure of a process's page of the system.
fn figure(child: &std::process::Child, key: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).expect("it runs");
    let line = status.lines().find(|l| l.starts_with(key)).expect("the figure is there");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

#[test]
fn a_thousand_searchers_with_long_names_and_hundreds_of_mixers_fit_in_the_least_memory() {
    const SEARCHERS: usize = 1024;
    let path = config("large", |config| {
        config["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
        config["settings"]["peers_total"] = 350.into();
    });
    // All answer at one place, which knows nothing of the others.
    let at = searcher();
    let name = "n".repeat(200);
    let entries: Vec<Value> = (0..SEARCHERS)
        .map(|nth| {
            json!({"name": format!("s-{name}-{nth}"), "address": at.to_string(), "zone": "hall", "type": "toy",
                   "group": 0, "status": "up", "weight": 1.0, "since_ms": 0})
        })
        .collect();
    let mut mixer = Watched::start("true", &path);
    let list = json!({"index": 1, "snapshot": true, "endpoints": entries});
    let _watch = mixer.well_until(&list, "ready");
    // One after the other they lead to hundreds of searchers, which is more than descriptors allow at a time.
    let served = (0..100).filter(|nth| {
        asks(mixer.addr, &scan("lookup", 16).replace("q1", &format!("q{nth}"))).starts_with("HTTP/1.1 200")
    });
    let served = served.count();
    assert!(served > 95, "{served} of 100 were served");
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", mixer.child.id())).expect("it runs").count();
    let (peak_kb, threads) = (figure(&mixer.child, "VmHWM:"), figure(&mixer.child, "Threads:"));
    println!("{SEARCHERS} searchers: {peak_kb} kB at most, {threads} threads, {descriptors} descriptors");
    assert!(peak_kb < 32 * 1024, "{peak_kb} kB");
    assert!(threads <= 8, "{threads} threads");
    assert!(descriptors <= 256, "{descriptors} descriptors");
    // The lists of searchers and mixers have no cap of their own: all are gone by.
    signal(&mixer.child, "USR1");
    let counted = wait(&mut mixer.log, "list_entries_bad");
    assert!(counted.trim().ends_with(" 0"), "{counted}");
}

#[test]
fn a_start_that_cannot_be_made_names_its_key_and_ends_with_1() {
    for (key, change) in [
        (
            "rules.fall_ms",
            Box::new(|c: &mut Value| c["settings"]["rules"]["fall_ms"] = "soon".into())
                as Box<dyn Fn(&mut Value)>,
        ),
        ("limits.sockets", Box::new(|c: &mut Value| c["limits"]["sockets"] = 3.into())),
        ("seed", Box::new(|c: &mut Value| c["seed"] = "none".into())),
    ] {
        let path = config("faulty", change);
        let mut child = command("true", "127.0.0.1:9", &path).spawn().expect("the mixer starts");
        let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
        let mut said = String::new();
        log.read_to_string(&mut said).expect("its last words");
        assert_eq!(child.wait().expect("it ends").code(), Some(1), "{said}");
        assert!(said.contains(key), "{key} is not named: {said}");
    }
}

#[test]
fn an_entry_that_cannot_be_read_costs_nothing_but_itself_and_is_named() {
    let at = searcher();
    let mut mixer = Watched::start("true", EXAMPLE);
    let mut list = standins::discovery_list(1, true, &[(at, "up")]);
    let bad = json!({"name": "s-broken", "address": "nowhere", "zone": "hall", "type": "toy", "group": 0, "status": "up"});
    list["endpoints"].as_array_mut().expect("a list").push(bad);
    let stream = mixer.asked();
    let text = format!("{WATCH}{}", chunk(&format!("{list}\n")));
    (&stream).write_all(text.as_bytes()).expect("it asks");
    let named = wait(&mut mixer.log, "discovery:");
    assert!(named.contains("s-broken") || named.contains("nowhere"), "{named}");
    wait(&mut mixer.log, "ready");
    assert!(asks(mixer.addr, &scan("lookup", 1)).starts_with("HTTP/1.1 200"));
}
