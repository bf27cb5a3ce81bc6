//! Starts and full tables, on loopback: readiness whatever discovery does, a port that is still in use,
//! descriptors exhausted by idle clients, and the resource limits of a large fleet.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use pewterwharf_standins::{self as standins, SearcherBehavior};
use serde_json::{Value, json};

mod harness;
use harness::*;

const READY_REQUEST: &str = "GET /-/ready HTTP/1.1\r\n\r\n";

/// Starts a searcher that answers.
fn start_searcher() -> SocketAddr {
    let listener = bind_free_port();
    let address = listener.local_addr().expect("the listener's address");
    standins::serve_searcher(listener, SearcherBehavior::Answers, mpsc::channel().0);
    address
}

/// Sends a request on a new connection and returns the answer.
fn ask(address: SocketAddr, request: &str) -> String {
    let mut client = TcpStream::connect(address).expect("the mixer accepts");
    client.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
    client.write_all(request.as_bytes()).expect("the connection accepts bytes");
    read_answer(&client)
}

/// A mixer with a list from before its start becomes ready and serves scans although discovery is silent or
/// refuses connections.
#[test]
fn known_list_without_discovery() {
    let searcher = start_searcher();
    for is_silent in [false, true] {
        let path = write_config("known", |config| {
            config["known"] = standins::discovery_list(1, true, &[(searcher, "up")]);
        });
        let listener = bind_free_port();
        let discovery = listener.local_addr().expect("the listener's address").to_string();
        // A listener that is kept and never accepts is silent; without one, connections are refused.
        let silent_listener = is_silent.then_some(listener);
        let started_at = Instant::now();
        let LaunchedMixer { mut child, mut log, address } = launch(discovery, &path);
        assert!(ask(address, READY_REQUEST).starts_with("HTTP/1.1 503"), "no list is in use yet");
        wait_for_log(&mut log, "ready");
        assert!(started_at.elapsed() < Duration::from_secs(5), "ready after {:?}", started_at.elapsed());
        assert!(ask(address, READY_REQUEST).starts_with("HTTP/1.1 200"));
        assert!(
            ask(address, &scan_request("lookup", 1)).starts_with("HTTP/1.1 200"),
            "a ready mixer serves scans"
        );
        let _ = child.kill();
        let _ = child.wait();
        drop(silent_listener);
    }
}

/// Guards against a mixer that gives up its first request to discovery before the answer to it arrives.
#[test]
fn slow_discovery() {
    let searcher = start_searcher();
    let mut mixer = ManualDiscoveryMixer::start("true", EXAMPLE_CONFIG);
    let slow = mixer.accept_discovery_connection();
    std::thread::sleep(Duration::from_millis(1500)); // discovery is slow to start, and answers the first request
    assert!(ask(mixer.address, READY_REQUEST).starts_with("HTTP/1.1 503"));
    let list = format!("{}\n", standins::discovery_list(1, true, &[(searcher, "up")]));
    (&slow)
        .write_all(format!("{WATCH_RESPONSE_HEAD}{}", http_chunk(&list)).as_bytes())
        .expect("the mixer still waits");
    wait_for_log(&mut mixer.log, "ready");
    assert!(ask(mixer.address, &scan_request("lookup", 1)).starts_with("HTTP/1.1 200"));
}

/// Starts a mixer that is to listen on this address.
fn spawn_on(address: SocketAddr) -> std::process::Child {
    let mut command = mixer_command("true", "127.0.0.1:9", EXAMPLE_CONFIG);
    command.env("ROUTER_LISTEN", address.to_string()).spawn().expect("the mixer starts")
}

/// A mixer whose port is still held by another process waits until it is free.
#[test]
fn port_in_use() {
    let listener = bind_free_port();
    let expected = listener.local_addr().expect("the listener's address");
    let child = spawn_on(expected);
    std::thread::sleep(Duration::from_millis(500)); // the mixer finds the port in use
    drop(listener);
    let LaunchedMixer { mut child, log: _log, address } = wait_until_listening(child);
    assert_eq!(address, expected);
    let _ = child.kill();
    let _ = child.wait();
}

#[test]
fn sigterm_while_waiting_for_port() {
    let listener = bind_free_port();
    let mut child = spawn_on(listener.local_addr().expect("the listener's address"));
    std::thread::sleep(Duration::from_millis(300));
    let signalled_at = Instant::now();
    send_signal(&child, "TERM");
    assert!(child.wait().expect("the process ends").code().is_some());
    assert!(signalled_at.elapsed() < Duration::from_secs(5), "ended after {:?}", signalled_at.elapsed());
}

/// Guards against idle clients that leave no file descriptor for the watch: the mixer could not reconnect to
/// discovery, and would not learn of a drain.
#[test]
fn full_descriptor_table_during_discovery_outage() {
    for (sockets, shell_command) in [(256, "true"), (1024, "true"), (1024, "ulimit -n 128")] {
        let searcher = start_searcher();
        let path = write_config("full", |config| config["limits"]["sockets"] = sockets.into());
        let mut mixer = ManualDiscoveryMixer::start(shell_command, &path);
        let up = standins::discovery_list(1, true, &[(searcher, "up")]);
        drop(mixer.serve_discovery_until(&up, "ready"));
        mixer.stop_discovery();
        // Many more clients than there is room for: half have sent nothing, half are idle after an answer.
        let clients: Vec<TcpStream> = (0..sockets + 100)
            .filter_map(|nth| {
                let mut client = TcpStream::connect(mixer.address).ok()?;
                if nth % 2 == 0 {
                    let _ = client.write_all(READY_REQUEST.as_bytes()); // the mixer may have closed it
                }
                Some(client)
            })
            .collect();
        assert!(clients.len() > sockets, "all clients could connect");
        assert!(ask(mixer.address, READY_REQUEST).starts_with("HTTP/1.1 200"), "{sockets} {shell_command}");
        let served = ask(mixer.address, &scan_request("lookup", 1));
        assert!(served.starts_with("HTTP/1.1 200"), "{sockets} {shell_command}: {served}");
        mixer.restart_discovery();
        let restarted_at = Instant::now();
        let draining = standins::discovery_list(2, false, &[(searcher, "draining")]);
        let _watch = mixer.serve_discovery_until(&draining, "drains");
        assert!(
            restarted_at.elapsed() < Duration::from_secs(3),
            "{sockets} {shell_command}: the drain was received after {:?}",
            restarted_at.elapsed()
        );
        assert!(ask(mixer.address, READY_REQUEST).starts_with("HTTP/1.1 200"), "{sockets} {shell_command}");
    }
}

/// A number in `/proc/PID/status`.
fn process_status(child: &std::process::Child, key: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).expect("the mixer runs");
    let line = status.lines().find(|line| line.starts_with(key)).expect("the key is there");
    line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).expect("a number")
}

#[test]
fn large_fleet_with_minimum_memory() {
    const SEARCHERS: usize = 1024;
    let path = write_config("large", |config| {
        config["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
        config["settings"]["peers_total"] = 350.into();
    });
    // All searchers have the same address.
    let address = start_searcher();
    let name = "n".repeat(200);
    let entries: Vec<Value> = (0..SEARCHERS)
        .map(|nth| {
            json!({"name": format!("s-{name}-{nth}"), "address": address.to_string(), "zone": "hall", "type": "toy",
                   "group": 0, "status": "up", "weight": 1.0, "since_ms": 0})
        })
        .collect();
    let mut mixer = ManualDiscoveryMixer::start("true", &path);
    let list = json!({"index": 1, "snapshot": true, "endpoints": entries});
    let _watch = mixer.serve_discovery_until(&list, "ready");
    // In total these requests reach hundreds of searchers, more than the descriptors allow at a time.
    let served = (0..100).filter(|nth| {
        let request = scan_request("lookup", 16).replace("q1", &format!("q{nth}"));
        ask(mixer.address, &request).starts_with("HTTP/1.1 200")
    });
    let served = served.count();
    assert!(served > 95, "{served} of 100 were served");
    let descriptors =
        std::fs::read_dir(format!("/proc/{}/fd", mixer.child.id())).expect("the mixer runs").count();
    let (peak_kb, threads) =
        (process_status(&mixer.child, "VmHWM:"), process_status(&mixer.child, "Threads:"));
    println!("{SEARCHERS} searchers: {peak_kb} kB at most, {threads} threads, {descriptors} descriptors");
    assert!(peak_kb < 32 * 1024, "{peak_kb} kB");
    assert!(threads <= 8, "{threads} threads");
    assert!(descriptors <= 256, "{descriptors} descriptors");
    // The number of listed searchers and mixers has no limit of its own: all entries are used.
    send_signal(&mixer.child, "USR1");
    let counter = wait_for_log(&mut mixer.log, "list_entries_bad");
    assert!(counter.trim().ends_with(" 0"), "{counter}");
}

#[test]
fn keys_in_configuration_errors() {
    for (key, change) in [
        (
            "rules.fall_ms",
            Box::new(|config: &mut Value| config["settings"]["rules"]["fall_ms"] = "soon".into())
                as Box<dyn Fn(&mut Value)>,
        ),
        ("limits.sockets", Box::new(|config: &mut Value| config["limits"]["sockets"] = 3.into())),
        ("seed", Box::new(|config: &mut Value| config["seed"] = "none".into())),
    ] {
        let path = write_config("faulty", change);
        let mut child = mixer_command("true", "127.0.0.1:9", &path).spawn().expect("the mixer starts");
        let mut input = BufReader::new(child.stderr.take().expect("standard error is piped"));
        let mut log = String::new();
        input.read_to_string(&mut log).expect("the whole log");
        assert_eq!(child.wait().expect("the process ends").code(), Some(1), "{log}");
        assert!(log.contains(key), "{key} is not named: {log}");
    }
}

#[test]
fn invalid_list_entry() {
    let searcher = start_searcher();
    let mut mixer = ManualDiscoveryMixer::start("true", EXAMPLE_CONFIG);
    let mut list = standins::discovery_list(1, true, &[(searcher, "up")]);
    let invalid = json!({"name": "s-broken", "address": "nowhere", "zone": "hall", "type": "toy", "group": 0, "status": "up"});
    list["endpoints"].as_array_mut().expect("a list of endpoints").push(invalid);
    let stream = mixer.accept_discovery_connection();
    let response = format!("{WATCH_RESPONSE_HEAD}{}", http_chunk(&format!("{list}\n")));
    (&stream).write_all(response.as_bytes()).expect("the connection accepts bytes");
    let line = wait_for_log(&mut mixer.log, "discovery:");
    assert!(line.contains("s-broken") || line.contains("nowhere"), "{line}");
    wait_for_log(&mut mixer.log, "ready");
    assert!(ask(mixer.address, &scan_request("lookup", 1)).starts_with("HTTP/1.1 200"));
}
