//! The whole program on loopback, with stand-ins for searchers, discovery and BGP peers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Command;
use std::sync::mpsc;
use std::time::Instant;

use pewterwharf_console::query;
use pewterwharf_standins::bgp::{Peer, PeerBehavior};
use pewterwharf_standins::{self as standins, SearcherBehavior};
use serde_json::Value;

mod harness;
use harness::*;

#[test]
fn one_connection_until_sigterm() {
    let mixer = start(&[SearcherBehavior::Answers, SearcherBehavior::Answers]);
    let mut client = mixer.connect();
    let mut answers = Vec::new();
    for byte in scan_request("entry", 2).as_bytes() {
        client.write_all(&[*byte]).expect("the connection accepts bytes");
    }
    answers.push(read_answer(&client));
    for request in [scan_request("nothing", 1), "GET /-/ready HTTP/1.1\r\n\r\n".to_owned()] {
        client.write_all(request.as_bytes()).expect("the connection accepts bytes");
        answers.push(read_answer(&client));
    }
    mixer.signal("TERM");
    assert_eq!(client.read(&mut [0]).expect("the end of the connection"), 0);
    let mut late = mixer.connect();
    late.write_all(scan_request("entry", 1).as_bytes()).expect("the connection accepts bytes");
    answers.push(read_answer(&late));
    let exit = mixer.wait_for_exit();
    insta::assert_snapshot!(format!("{}\n{exit}", answers.join("\n")));
}

/// Scans are answered by the remaining searcher.
#[test]
fn hung_and_disconnecting_searchers() {
    let mixer =
        start(&[SearcherBehavior::Hangs, SearcherBehavior::DisconnectsOnCall, SearcherBehavior::Answers]);
    let mut client = mixer.connect();
    let mut answers = Vec::new();
    for _ in 0..3 {
        client.write_all(scan_request("lookup", 5).as_bytes()).expect("the connection accepts bytes");
        answers.push(read_answer(&client).split(" | ").next().map(str::to_owned).unwrap_or_default());
    }
    mixer.signal("INT");
    let exit = mixer.wait_for_exit();
    insta::assert_snapshot!(format!("{}\n{exit}", answers.join("\n")));
}

#[test]
fn drain_with_hung_searcher() {
    let mixer = start(&[SearcherBehavior::Hangs]);
    let mut client = mixer.connect();
    client.write_all(scan_request("entry", 1).as_bytes()).expect("the connection accepts bytes");
    assert!(mixer.frames.recv().expect("a frame").starts_with("D q1.0 0 d="));
    mixer.signal("TERM");
    let answer = read_answer(&client);
    let exit = mixer.wait_for_exit();
    insta::assert_snapshot!(format!("{answer}\n{exit}"));
}

/// Guards against a client that reads no answers and blocks the thread that writes to the other clients.
#[test]
fn slow_reader_beside_other_client() {
    const REQUESTS: usize = 5000;
    let mixer = start(&[SearcherBehavior::Answers]);
    let slow = mixer.connect();
    let mut writer = slow.try_clone().expect("a second handle");
    let requests = "GET /-/counters HTTP/1.1\r\n\r\n".repeat(REQUESTS);
    let writing = std::thread::spawn(move || writer.write_all(requests.as_bytes()));
    let mut client = mixer.connect();
    client.write_all(scan_request("entry", 1).as_bytes()).expect("the connection accepts bytes");
    assert!(read_answer(&client).starts_with("HTTP/1.1 200 OK"));
    let mut input = BufReader::new(&slow);
    let served =
        (0..REQUESTS).filter(|_| read_next_answer(&mut input).starts_with("HTTP/1.1 200 OK")).count();
    assert_eq!(served, REQUESTS);
    writing.join().expect("the writer ends").expect("the connection accepts bytes");
    mixer.signal("TERM");
    assert_eq!(mixer.wait_for_exit().status, Some(0));
}

/// Guards against a call to a searcher that drains, where no other is left.
#[test]
fn draining_searcher() {
    let mut mixer = start(&[SearcherBehavior::Answers]);
    mixer.searchers[0].1 = "draining";
    mixer.discovery.publish(standins::discovery_list(2, false, &mixer.searchers));
    wait_for_log(&mut mixer.log, "drains");
    let mut client = mixer.connect();
    client.write_all(scan_request("entry", 1).as_bytes()).expect("the connection accepts bytes");
    let answer = read_answer(&client);
    mixer.signal("TERM");
    assert!(mixer.frames.try_recv().is_err());
    let exit = mixer.wait_for_exit();
    insta::assert_snapshot!(format!("{answer}\n{exit}"));
}

/// Each watch requests the changes after the version of the last list, also after an invalid list and an
/// error status.
#[test]
fn watch_resumption_by_version() {
    let listener = bind_free_port();
    let LaunchedMixer { mut child, mut log, .. } =
        launch(listener.local_addr().expect("the listener's address").to_string(), EXAMPLE_CONFIG);
    let mut requests = String::new();
    let list =
        standins::discovery_list(7, true, &[("127.0.0.1:9".parse().expect("an address"), "up")]).to_string();
    for response in [
        format!("{WATCH_RESPONSE_HEAD}1\r\n\n\r\n{:x}\r\n{list}\n\r\n", list.len() + 1),
        format!("{WATCH_RESPONSE_HEAD}4\r\n{{{{{{\n\r\n"),
        "HTTP/1.1 500 Down\r\n\r\n".to_owned(),
        String::new(),
    ] {
        let (mut stream, _) = listener.accept().expect("a watch");
        BufReader::new(&stream).read_line(&mut requests).expect("a request line");
        stream.write_all(response.as_bytes()).expect("the connection accepts bytes");
        // The mixer reads the response before it sees the end of the connection.
        stream.shutdown(std::net::Shutdown::Write).expect("the connection can be shut down");
    }
    wait_for_log(&mut log, "ready");
    wait_for_log(&mut log, "can't be read");
    child.kill().expect("the mixer runs");
    child.wait().expect("the process ends");
    insta::assert_snapshot!(requests);
}

#[test]
fn start_errors() {
    let run = |config: Option<&str>| {
        let mut mixer = Command::new(env!("CARGO_BIN_EXE_pewterwharf-mixer"));
        mixer.env_clear().envs(config.map(|path| ("ROUTER_CONFIG", path)));
        let output = mixer.output().expect("the mixer runs");
        let log = String::from_utf8_lossy(&output.stderr);
        let message = log.split_once(": ").unwrap_or_default().1.trim_end().to_owned();
        format!("{:?} {message}", output.status.code())
    };
    insta::assert_snapshot!(format!("{}\n{}", run(None), run(Some("/nowhere"))));
}

/// A reload of the configuration moves the watch to another discovery server. An invalid file changes
/// nothing.
#[test]
fn watch_move_on_reload() {
    let config = concat!(env!("CARGO_TARGET_TMPDIR"), "/replaced.json");
    let text = std::fs::read_to_string(EXAMPLE_CONFIG).expect("the example's configuration");
    let (sender, frames) = mpsc::channel();
    let start_discovery = |status: &str| {
        let (searcher_listener, discovery_listener) = (bind_free_port(), bind_free_port());
        let searcher = searcher_listener.local_addr().expect("the listener's address");
        standins::serve_searcher(searcher_listener, SearcherBehavior::Answers, sender.clone());
        let address = discovery_listener.local_addr().expect("the listener's address").to_string();
        let discovery = standins::DiscoveryServer::default();
        discovery.serve(discovery_listener);
        discovery.publish(standins::discovery_list(9, true, &[(searcher, status)]));
        (address, discovery)
    };
    let ((old_address, old_discovery), (new_address, _)) = (start_discovery("up"), start_discovery("up"));
    std::fs::write(config, &text).expect("the file can be written");
    let LaunchedMixer { child, mut log, address } = launch(old_address, config);
    wait_for_log(&mut log, "ready");
    let mut mixer = Mixer { child, log, address, discovery: old_discovery, frames, searchers: Vec::new() };
    let mut output = Vec::new();
    let mut reload = |mixer: &mut Mixer, text: &str, log_text: &str| {
        std::fs::write(config, text).expect("the file can be written");
        mixer.signal("HUP");
        let line = wait_for_log(&mut mixer.log, log_text);
        let message = line.split_once(": ").unwrap_or_default().1;
        output.push(message.replace(config, "FILE").replace(&new_address, "NEW"));
    };
    reload(&mut mixer, "{", "stays as it is");
    let moved = text.replace("127.0.0.1:8500", &new_address);
    reload(&mut mixer, &moved.replace("1024", "512"), "read anew");
    wait_for_log(&mut mixer.log, "watch 1 has sent its first list");
    let mut client = mixer.connect();
    client.write_all(scan_request("entry", 1).as_bytes()).expect("the connection accepts bytes");
    output.push(read_answer(&client));
    // The watch at the old discovery server has ended, so that its next list has no effect.
    mixer.discovery.publish(standins::discovery_list(99, true, &[]));
    mixer.signal("HUP");
    wait_for_log(&mut mixer.log, "read anew");
    client.write_all(scan_request("entry", 1).as_bytes()).expect("the connection accepts bytes");
    output.push(read_answer(&client));
    mixer.signal("TERM");
    let exit = mixer.wait_for_exit();
    insta::assert_snapshot!(format!("{}\n{exit}", output.join("\n")));
}

#[test]
fn answer_for_wrong_part() {
    let mut mixer = start(&[SearcherBehavior::AnswersWrongPart, SearcherBehavior::Answers]);
    let mut client = mixer.connect();
    let mut answers = Vec::new();
    let mut ask = |table_type, parts| {
        client.write_all(scan_request(table_type, parts).as_bytes()).expect("the connection accepts bytes");
        answers.push(read_answer(&client).split(" | ").next().map(str::to_owned).unwrap_or_default());
    };
    // Both searchers receive a part. A part that must not run twice is abandoned, another is sent to the
    // other searcher.
    ask("entry", 2);
    ask("lookup", 2);
    wait_for_log(&mut mixer.log, "never sent on it");
    mixer.signal("TERM");
    let exit = mixer.wait_for_exit();
    insta::assert_snapshot!(format!("{}\n{exit}", answers.join("\n")));
}

#[test]
fn silent_clients_beyond_descriptor_limit() {
    let config = concat!(env!("CARGO_TARGET_TMPDIR"), "/few.json");
    let text = std::fs::read_to_string(EXAMPLE_CONFIG).expect("the example's configuration");
    std::fs::write(config, text.replace("1024", "64")).expect("the file can be written");
    let mixer = start_with_config(config, &[SearcherBehavior::Answers]);
    let silent: Vec<TcpStream> = (0..100).map(|_| mixer.connect()).collect();
    let mut partial = mixer.connect();
    partial.write_all(&scan_request("entry", 1).as_bytes()[..50]).expect("the connection accepts bytes");
    for nth in 0..50 {
        let mut client = mixer.connect();
        client
            .write_all(scan_request("entry", 1).replace("q1", &format!("q{nth}")).as_bytes())
            .expect("the connection accepts bytes");
        assert!(read_answer(&client).starts_with("HTTP/1.1 200 OK"), "client {nth}");
    }
    // The mixer has answered each with an error or closed it; no client did so itself.
    for mut stream in silent.into_iter().chain([partial]) {
        let mut answer = String::new();
        let end = stream.read_to_string(&mut answer);
        assert!(end.is_err() || answer.is_empty() || answer.starts_with("HTTP/1.1 408 "), "{answer}");
    }
    mixer.signal("TERM");
    let exit = mixer.wait_for_exit();
    insta::assert_snapshot!(format!("{exit}"));
}

/// A temporary file that is removed at the end of the test.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(name: &str, text: &str) -> Self {
        let file = Self(std::env::temp_dir().join(format!("{name}-{}", std::process::id())));
        file.write(text);
        file
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("the file can be written");
    }

    fn path(&self) -> String {
        self.0.display().to_string()
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0); // the test may have removed it
    }
}

/// A settings section `bgp` with one peer, short delays and these further entries.
fn bgp_settings(peer: &Peer, entries: &str) -> String {
    format!(
        "(bgp (as 64512) (id \"10.0.0.1\") (up 0.9 20ms) (down 0.5 20ms) (drain 40ms 40ms)
           (peer (address \"{}\") (as 64513) (next-hop \"192.0.2.1\") (rest 20ms) (retry 20ms)) {entries})",
        peer.address
    )
}

/// Starts a mixer that announces one address to a peer. The settings file is removed once the mixer has read
/// it.
fn start_announcing(peer: &Peer, searchers: &[SearcherBehavior]) -> Mixer {
    let text = bgp_settings(peer, "(announce \"198.51.100.1/32\")");
    let file = TemporaryFile::new(&format!("bgp-{}", peer.address.port()), &text);
    start_with_settings(EXAMPLE_CONFIG, Some(&file.0), searchers)
}

/// What was seen of one drain under load.
struct DrainUnderLoad {
    /// When the peer received the withdrawal.
    withdrawn_at: Instant,
    /// When a client's connection was first refused.
    refused_at: Instant,
    exit: Exit,
}

fn drain_under_load() -> DrainUnderLoad {
    let peer = Peer::start(&[PeerBehavior::Conforms]);
    let mixer = start_announcing(&peer, &[SearcherBehavior::Answers, SearcherBehavior::Answers]);
    peer.wait_for("announce 198.51.100.1/32, path of 1");
    let address = mixer.address;
    let (sender, served) = mpsc::channel();
    let load = std::thread::spawn(move || {
        loop {
            let Ok(mut client) = TcpStream::connect(address) else { return Instant::now() };
            let request = scan_request("lookup", 2).replace("Host: app.svc", "Connection: close");
            let written = client.write_all(request.as_bytes());
            let mut answer = String::new();
            // A request that is cut off before its answer shows in the mixer's counters.
            let _ = written.and_then(|()| client.read_to_string(&mut answer).map(drop));
            let _ = sender.send(answer.starts_with("HTTP/1.1 200")); // the receiver may be gone
        }
    });
    assert!((0..20).all(|_| served.recv().expect("an answer")), "scans are served");
    mixer.signal("TERM");
    let (_, before) = peer.wait_for("announce 198.51.100.1/32, path of 3, depreferenced");
    assert!(before.is_empty(), "{before:?}");
    let (withdrawn, _) = peer.wait_for("withdraw 198.51.100.1/32");
    let refused_at = load.join().expect("the load ends");
    peer.wait_for("notification");
    DrainUnderLoad { withdrawn_at: withdrawn.at, refused_at, exit: mixer.wait_for_exit() }
}

/// The value of a counter in a list of them; 0 if it is not there.
fn counter(counters: &str, name: &str) -> u64 {
    let value = counters.split(", ").find_map(|counter| counter.strip_prefix(name)?.trim().parse().ok());
    value.unwrap_or(0)
}

fn check_drains(rounds: usize) {
    for round in 0..rounds {
        let DrainUnderLoad { withdrawn_at, refused_at, exit } = drain_under_load();
        assert!(
            withdrawn_at < refused_at,
            "round {round}: refused {:?} before the withdrawal",
            withdrawn_at - refused_at
        );
        assert_eq!(exit.status, Some(0), "round {round}");
        let counters = &exit.counters;
        let (taken, completed) = (counter(counters, "scans_taken"), counter(counters, "scans_completed"));
        assert!(taken >= 20 && taken == completed, "round {round}: {counters}");
    }
}

/// Guards against a drain that refuses connections while routes still lead clients to the mixer.
#[test]
fn withdrawal_before_refusal() {
    check_drains(2);
}

/// `cargo test -p pewterwharf-mixer --test loopback -- --ignored` runs this longer test too.
#[test]
#[ignore = "takes some minutes"]
fn withdrawal_before_refusal_in_many_drains() {
    let rounds: Vec<_> = (0..8).map(|_| std::thread::spawn(|| check_drains(25))).collect();
    rounds.into_iter().for_each(|round| round.join().expect("each drain withdraws first"));
}

/// The address is withdrawn when the last searcher drains, and announced again when it is back.
#[test]
fn withdrawal_without_usable_searcher() {
    let peer = Peer::start(&[PeerBehavior::Conforms]);
    let mut mixer = start_announcing(&peer, &[SearcherBehavior::Answers]);
    peer.wait_for("announce 198.51.100.1/32, path of 1");
    mixer.searchers[0].1 = "draining";
    mixer.discovery.publish(standins::discovery_list(2, false, &mixer.searchers));
    peer.wait_for("withdraw 198.51.100.1/32");
    let mut client = mixer.connect();
    client.write_all(scan_request("lookup", 1).as_bytes()).expect("the connection accepts bytes");
    assert!(
        read_answer(&client).starts_with("HTTP/1.1 503") || read_answer(&client).starts_with("HTTP/1.1 429")
    );
    mixer.searchers[0].1 = "up";
    mixer.discovery.publish(standins::discovery_list(3, false, &mixer.searchers));
    peer.wait_for("announce 198.51.100.1/32, path of 1");
}

#[test]
fn flapping_session_and_second_sigterm() {
    let peer = Peer::start(&[PeerBehavior::Flaps, PeerBehavior::Conforms]);
    let mixer = start_announcing(&peer, &[SearcherBehavior::Answers]);
    peer.wait_for("closed");
    let mut client = mixer.connect();
    client.write_all(scan_request("lookup", 1).as_bytes()).expect("the connection accepts bytes");
    assert!(read_answer(&client).starts_with("HTTP/1.1 200"));
    let signalled_at = Instant::now();
    mixer.signal("TERM");
    mixer.signal("TERM");
    let exit = mixer.wait_for_exit();
    assert_eq!((exit.status, counter(&exit.counters, "scans_completed")), (Some(0), 1));
    assert!(signalled_at.elapsed().as_secs() < 5, "{:?}", signalled_at.elapsed());
}

/// Measures the figures of `docs/bgp.md`: the time from the loss of the last usable searcher to the
/// withdrawal, and from its return to the announcement.
#[test]
#[ignore = "a measurement"]
fn bgp_propagation_times() {
    let mut durations_ms = [Vec::new(), Vec::new()];
    // Each mixer announces and withdraws twice: changes of one mixer are limited to six a minute.
    for _ in 0..10 {
        let peer = Peer::start(&[PeerBehavior::Conforms]);
        let mut mixer = start_announcing(&peer, &[SearcherBehavior::Answers]);
        peer.wait_for("announce 198.51.100.1/32");
        for round in 0..2 {
            for (nth, (status, event)) in
                [("draining", "withdraw"), ("up", "announce")].into_iter().enumerate()
            {
                mixer.searchers[0].1 = status;
                let published_at = Instant::now();
                let index = 2 + 2 * round + nth as u64;
                mixer.discovery.publish(standins::discovery_list(index, false, &mixer.searchers));
                durations_ms[nth].push((peer.wait_for(event).0.at - published_at).as_millis());
            }
        }
    }
    durations_ms.iter_mut().for_each(|durations| durations.sort_unstable());
    println!("withdrawn after {:?} ms, announced after {:?} ms", durations_ms[0], durations_ms[1]);
}

/// The console shows routes. SIGHUP changes addresses, attributes and peers without resetting sessions.
#[test]
fn console_and_reload() {
    let (peer, second) = (Peer::start(&[PeerBehavior::Conforms]), Peer::start(&[PeerBehavior::Conforms]));
    let console = TemporaryFile::new("console-hup", "");
    std::fs::remove_file(&console.0).expect("the path is free");
    let console_settings = format!("\n(console \"{}\")", console.path());
    let file = TemporaryFile::new(
        "bgp-hup",
        &(bgp_settings(&peer, "(announce \"198.51.100.1/32\")") + &console_settings),
    );
    let mixer = start_with_settings(EXAMPLE_CONFIG, Some(&file.0), &[SearcherBehavior::Answers]);
    peer.wait_for("announce 198.51.100.1/32, path of 1");
    let shown = query(&console.0, "bgp show").expect("the console answers").expect("a known command");
    for line in
        ["Established, up 1 times", "198.51.100.1/32 Announced: Serves", "can serve by table type: 1.00 1.00"]
    {
        assert!(shown.contains(line), "{line:?} is not in {shown}");
    }
    let reply = query(&console.0, "bgp hide").expect("the console answers");
    assert_eq!(
        reply,
        Err("\"bgp hide\" is not known here; known are bgp show, beliefs, fleet show".to_owned())
    );

    let beliefs = query(&console.0, "beliefs").expect("the console answers").expect("a known command");
    assert!(beliefs.contains("ready 1, marked 0"), "{beliefs}");

    // A settings file with an error changes nothing.
    let mut mixer = mixer;
    let kept = "the operator's file changes nothing: ";
    for (text, error) in [
        ("(bgp (as 0))", "found 0, expected bgp as"),
        (
            "(bgp (as 64512) (id \"10.0.0.1\") (announce \"198.51.100.1/32\" (table-types \"lokup\")))",
            "lokup is no table type of this mixer; did you mean lookup?",
        ),
    ] {
        file.write(text);
        mixer.signal("HUP");
        let line = wait_for_log(&mut mixer.log, kept);
        assert!(line.contains(error), "{line}");
    }

    let entries = "(announce \"198.51.100.1/32\") (announce \"198.51.100.2/32\") (communities \"64512:7\")";
    let two_peers = bgp_settings(&peer, entries).replace(
        "(bgp ",
        &format!("(bgp (peer (address \"{}\") (as 64513) (next-hop \"192.0.2.1\")) ", second.address),
    );
    file.write(&(two_peers + &console_settings));
    mixer.signal("HUP");
    peer.wait_for("announce 198.51.100.2/32, path of 1");
    second.wait_for("announce 198.51.100.2/32, path of 1");
    // With an empty file, routes are withdrawn and scans are still served.
    file.write("");
    mixer.signal("HUP");
    let (notification, before) = peer.wait_for("notification");
    assert!(notification.text.contains("AdministrativeShutdown"), "{}", notification.text);
    // There was one session: it opened once and received the changed attributes.
    assert!(before.iter().all(|text| !text.starts_with("open") && text != "closed"), "{before:?}");
    let mut client = TcpStream::connect(mixer.address).expect("the mixer accepts");
    client.write_all(scan_request("lookup", 1).as_bytes()).expect("the connection accepts bytes");
    assert!(read_answer(&client).starts_with("HTTP/1.1 200"));
    assert!(query(&console.0, "bgp show").is_err(), "the console has closed");
    // The settings can be restored.
    file.write(&(bgp_settings(&peer, "(announce \"198.51.100.1/32\")") + &console_settings));
    mixer.signal("HUP");
    peer.wait_for("announce 198.51.100.1/32, path of 1");
}

/// Each address is announced and withdrawn by what the mixer can serve of its own table types. Here three
/// groups have one searcher each; `lookup` needs six tenths of its parts, `entry` all of them.
#[test]
fn addresses_by_table_type() {
    let config = std::fs::read_to_string(EXAMPLE_CONFIG).expect("the example's configuration");
    let config = config.replace("\"positions\": 1", "\"positions\": 3");
    let config = TemporaryFile::new("mixer-types", &config);
    let peer = Peer::start(&[PeerBehavior::Conforms]);
    let entries = "(announce \"198.51.100.1/32\" (table-types \"lookup\"))
                (announce \"198.51.100.2/32\" (table-types \"entry\"))";
    let file = TemporaryFile::new("bgp-types", &bgp_settings(&peer, entries));
    let mut mixer = start_with_settings(&config.path(), Some(&file.0), &[SearcherBehavior::Answers; 3]);
    let publish = |mixer: &Mixer, index: u64, is_snapshot: bool| {
        let mut list = standins::discovery_list(index, is_snapshot, &mixer.searchers);
        for (group, entry) in list["endpoints"].as_array_mut().into_iter().flatten().enumerate() {
            entry["group"] = Value::from(group);
        }
        mixer.discovery.publish(list);
    };
    publish(&mixer, 2, true);
    peer.wait_for("announce 198.51.100.2/32, path of 1");
    mixer.searchers[2].1 = "draining";
    publish(&mixer, 3, false);
    let (_, before) = peer.wait_for("withdraw 198.51.100.2/32");
    assert!(before.iter().all(|text| text.starts_with("announce")), "{before:?}");
    mixer.searchers[2].1 = "up";
    publish(&mixer, 4, false);
    let (_, before) = peer.wait_for("announce 198.51.100.2/32, path of 1");
    assert!(before.is_empty(), "the other address is unchanged: {before:?}");
}

/// While discovery is silent and searchers answer, the address is depreferenced and not withdrawn; it is
/// preferred again once discovery sends something.
#[test]
fn depreference_with_stale_list() {
    let peer = Peer::start(&[PeerBehavior::Conforms]);
    // Discovery sends an empty line every two seconds; the list becomes stale between two of them.
    let settings = bgp_settings(&peer, "(stale 900ms) (announce \"198.51.100.1/32\")");
    let file = TemporaryFile::new("bgp-stale", &settings);
    let mixer = start_with_settings(EXAMPLE_CONFIG, Some(&file.0), &[SearcherBehavior::Answers]);
    peer.wait_for("announce 198.51.100.1/32, path of 1");
    peer.wait_for("announce 198.51.100.1/32, path of 3, depreferenced");
    let mut client = mixer.connect();
    client.write_all(scan_request("lookup", 1).as_bytes()).expect("the connection accepts bytes");
    assert!(read_answer(&client).starts_with("HTTP/1.1 200"));
    let (_, before) = peer.wait_for("announce 198.51.100.1/32, path of 1");
    assert!(before.is_empty(), "{before:?}");
}

#[test]
fn settings_file_errors() {
    for (name, text, error) in [
        ("key", "(bgp (pear))", "1:6: found pear, expected one of"),
        (
            "type",
            "(bgp (as 1) (id \"10.0.0.1\") (announce \"10.0.0.0/8\" (table-types \"entri\")))",
            "entri is no table type of this mixer; did you mean entry?",
        ),
        ("console", "(console \"/nowhere/at/all\")", "console /nowhere/at/all: "),
    ] {
        let file = TemporaryFile::new(&format!("bgp-fault-{name}"), text);
        let output = Command::new(env!("CARGO_BIN_EXE_pewterwharf-mixer"))
            .env("PEWTERWHARF_SETTINGS", &file.0)
            .env("ROUTER_CONFIG", EXAMPLE_CONFIG)
            .env("ROUTER_LISTEN", "127.0.0.1:0")
            .output()
            .expect("the mixer starts");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.code() == Some(1) && log.contains(error), "{name}: {log}");
    }
}

/// What `/proc` shows of a process.
struct ProcessUsage {
    /// User and system time in clock ticks.
    cpu_ticks: u64,
    memory: String,
    threads: String,
}

fn process_usage(pid: u32) -> ProcessUsage {
    let read = |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}")).expect("the mixer runs");
    let cpu_ticks = read("stat").rsplit(") ").next().map(|fields| {
        fields.split(' ').skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum::<u64>()
    });
    let memory = read("status").lines().find(|line| line.starts_with("VmRSS")).unwrap_or("").to_owned();
    let threads = read("status").lines().find(|line| line.starts_with("Threads")).unwrap_or("").to_owned();
    ProcessUsage { cpu_ticks: cpu_ticks.unwrap_or(0), memory, threads }
}

/// Measures the figures of `docs/bgp.md`: the cost of announcing for a mixer that knows two hundred searchers
/// and is idle for ten seconds.
#[test]
#[ignore = "a measurement"]
fn cost_of_bgp_peers() {
    for count in [None, Some(0), Some(1), Some(8)] {
        let peers: Vec<Peer> =
            (0..count.unwrap_or(0)).map(|_| Peer::start(&[PeerBehavior::Conforms])).collect();
        let mut text = String::new();
        if count.is_some() {
            text += "(bgp (as 64512) (id \"10.0.0.1\") (up 0.9 20ms) (announce \"198.51.100.1/32\")";
            for peer in &peers {
                text += &format!(
                    "(peer (address \"{}\") (as 64513) (next-hop \"192.0.2.1\") (hold 9s))",
                    peer.address
                );
            }
            text += ")";
        }
        let file = TemporaryFile::new("bgp-cost", &text);
        let mixer = start_with_settings(EXAMPLE_CONFIG, Some(&file.0), &[SearcherBehavior::Answers; 200]);
        peers.iter().for_each(|peer| drop(peer.wait_for("announce 198.51.100.1/32")));
        let ticks_before = process_usage(mixer.child.id()).cpu_ticks;
        std::thread::sleep(std::time::Duration::from_secs(10));
        let ProcessUsage { cpu_ticks, memory, threads } = process_usage(mixer.child.id());
        println!("{count:?} peers: {} ticks of 10 ms in 10 s, {memory}, {threads}", cpu_ticks - ticks_before);
    }
}

/// The example's configuration changed to one without probes: the list is polled, `lookup` is answered from
/// four fifths of its parts, and searchers report their load in answers.
fn probeless_config(name: &str) -> TemporaryFile {
    let text = std::fs::read_to_string(EXAMPLE_CONFIG).expect("the example's configuration");
    let mut config: Value = serde_json::from_str(&text).expect("the configuration is JSON");
    let settings = &mut config["settings"];
    settings["discovery"] = "ask".into();
    settings["rules"]["ask_within_ms"] = 10_000.0.into();
    settings["permissions"]["probing"] = false.into();
    settings["services"][0]["late_worth"] = 0.0.into();
    settings["family_info"]["class_need"] = serde_json::json!([1.0, 1.0]);
    settings["family_info"]["floor_by_class"] = serde_json::json!([0.8, 1.0]);
    settings["report"] = serde_json::json!({"via": "answers", "names": ["load_share"]});
    TemporaryFile::new(name, &config.to_string())
}

#[test]
fn readmission_without_probes() {
    let config = probeless_config("unprobed");
    let mut mixer = start_with_config(&config.path(), &[SearcherBehavior::DisconnectsOnCall]);
    let mut client = mixer.connect();
    client.write_all(scan_request("entry", 1).as_bytes()).expect("the connection accepts bytes");
    read_answer(&client);
    wait_for_log(&mut mixer.log, "marked at");
    wait_for_log(&mut mixer.log, "readmitted on trial");
    mixer.signal("TERM");
    let frames: Vec<String> = mixer.frames.try_iter().collect();
    assert!(frames.iter().any(|frame| frame.starts_with("D ")), "{frames:?}");
    assert!(!frames.iter().any(|frame| frame.starts_with(['I', 'U'])), "{frames:?}");
    assert_eq!(mixer.wait_for_exit().status, Some(0));
}

#[test]
fn answer_at_floor() {
    let config = probeless_config("floor");
    let mixer = start_with_config(&config.path(), &[SearcherBehavior::AnswersShardsBelow(4)]);
    let mut client = mixer.connect();
    client.write_all(scan_request("lookup", 5).as_bytes()).expect("the connection accepts bytes");
    let answer = read_answer(&client);
    assert!(answer.starts_with("HTTP/1.1 200 OK") && answer.contains("\"exact\":false"), "{answer}");
    mixer.signal("TERM");
    let expected = Exit { status: Some(0), counters: "scans_taken 1, scans_completed 1".to_owned() };
    assert_eq!(mixer.wait_for_exit(), expected);
}

/// Guards against a mixer that stops serving scans, or requests the wrong changes, while discovery answers no
/// poll.
#[test]
fn polled_list_during_discovery_outage() {
    let (config, discovery, searcher_listener) =
        (probeless_config("asking"), bind_free_port(), bind_free_port());
    let searcher = searcher_listener.local_addr().expect("the listener's address");
    let (sender, frames) = mpsc::channel();
    standins::serve_searcher(searcher_listener, SearcherBehavior::Answers, sender);
    let LaunchedMixer { mut child, mut log, address } =
        launch(discovery.local_addr().expect("the listener's address").to_string(), &config.path());
    let answer_poll = |list: Value| {
        let (mut stream, _) = discovery.accept().expect("a poll");
        let mut request_line = String::new();
        BufReader::new(&stream).read_line(&mut request_line).expect("a request line");
        let list = format!("{list}\n");
        write!(stream, "{WATCH_RESPONSE_HEAD}{:x}\r\n{list}\r\n", list.len())
            .expect("the connection accepts bytes");
        stream.shutdown(std::net::Shutdown::Write).expect("the connection can be shut down");
        request_line
    };
    assert!(answer_poll(standins::discovery_list(7, true, &[(searcher, "up")])).contains("watch=1&after=0"));
    wait_for_log(&mut log, "ready");
    // Discovery does not accept the next poll; scans are served by the list that the mixer holds.
    let mut client = TcpStream::connect(address).expect("the mixer accepts");
    client.write_all(scan_request("entry", 1).as_bytes()).expect("the connection accepts bytes");
    assert!(read_answer(&client).starts_with("HTTP/1.1 200 OK"));
    assert!(frames.recv().expect("a frame").starts_with("D q1.0"));
    assert!(
        answer_poll(standins::discovery_list(8, false, &[(searcher, "draining")]))
            .contains("watch=1&after=7")
    );
    wait_for_log(&mut log, "drains");
    client.write_all(scan_request("entry", 1).as_bytes()).expect("the connection accepts bytes");
    assert!(read_answer(&client).starts_with("HTTP/1.1 503"));
    assert!(frames.try_recv().is_err());
    send_signal(&child, "TERM");
    assert_eq!(child.wait().expect("the process ends").code(), Some(0));
}

#[test]
fn incompatible_configuration() {
    let config = probeless_config("mixed");
    let text = std::fs::read_to_string(&config.0).expect("the configuration can be read");
    config.write(&text.replace("\"via\":\"answers\"", "\"via\":\"probe\""));
    let mut mixer = Command::new(env!("CARGO_BIN_EXE_pewterwharf-mixer"));
    let output = mixer.env("ROUTER_CONFIG", config.path()).output().expect("the mixer runs");
    let log = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{log}");
    assert!(log.contains("report.via=probe can't go with permissions.probing=false"), "{log}");
}

#[test]
fn thread_count_with_many_searchers() {
    // With a thread per link, each of several hundred mixers had a hundred threads, more than one machine
    // allowed.
    let mixer = start(&[SearcherBehavior::Answers; 40]);
    let mut client = mixer.connect();
    client.write_all(scan_request("entry", 16).as_bytes()).expect("the connection accepts bytes");
    assert!(read_answer(&client).starts_with("HTTP/1.1 200 OK"));
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", mixer.child.id())).expect("the mixer runs");
    let threads = status.lines().find_map(|line| line.strip_prefix("Threads:")).expect("a count");
    let threads: usize = threads.trim().parse().expect("a number");
    assert!(threads <= 8, "{threads} threads");
    mixer.signal("TERM");
    assert_eq!(mixer.wait_for_exit().status, Some(0));
}
