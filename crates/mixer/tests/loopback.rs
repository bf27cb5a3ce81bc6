//! The whole program on loopback, with the example's searchers and discovery.

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

mod rig;
use rig::*;

#[test]
fn scans_are_served_on_one_connection_until_the_mixer_is_asked_to_end() {
    let mixer = start(&[SearcherBehavior::Answers, SearcherBehavior::Answers]);
    let mut client = mixer.connect();
    let mut said = Vec::new();
    for byte in scan("entry", 2).as_bytes() {
        client.write_all(&[*byte]).expect("it takes bytes");
    }
    said.push(answer(&client));
    for request in [scan("nothing", 1), "GET /-/ready HTTP/1.1\r\n\r\n".to_owned()] {
        client.write_all(request.as_bytes()).expect("it takes bytes");
        said.push(answer(&client));
    }
    mixer.signal("TERM");
    assert_eq!(client.read(&mut [0]).expect("an end"), 0);
    let mut late = mixer.connect();
    late.write_all(scan("entry", 1).as_bytes()).expect("it takes bytes");
    said.push(answer(&late));
    let (status, counts) = mixer.end();
    insta::assert_snapshot!(format!("{}\n{status:?} {counts}", said.join("\n")));
}

#[test]
fn a_hung_and_a_dying_searcher_are_read_around() {
    let mixer =
        start(&[SearcherBehavior::Hangs, SearcherBehavior::DisconnectsOnCall, SearcherBehavior::Answers]);
    let mut client = mixer.connect();
    let mut said = Vec::new();
    for _ in 0..3 {
        client.write_all(scan("lookup", 5).as_bytes()).expect("it takes bytes");
        said.push(answer(&client).split(" | ").next().map(str::to_owned).unwrap_or_default());
    }
    mixer.signal("INT");
    let (status, counts) = mixer.end();
    insta::assert_snapshot!(format!("{}\n{status:?} {counts}", said.join("\n")));
}

#[test]
fn what_is_out_at_a_hung_searcher_is_answered_in_time_though_the_mixer_is_asked_to_end() {
    let mixer = start(&[SearcherBehavior::Hangs]);
    let mut client = mixer.connect();
    client.write_all(scan("entry", 1).as_bytes()).expect("it takes bytes");
    assert!(mixer.heard.recv().expect("a frame").starts_with("D q1.0 0 d="));
    mixer.signal("TERM");
    let said = answer(&client);
    let (status, counts) = mixer.end();
    insta::assert_snapshot!(format!("{said}\n{status:?} {counts}"));
}

#[test]
fn a_client_that_takes_no_answers_holds_up_nobody_and_gets_them_once_it_does() {
    const ASKS: usize = 5000;
    let mixer = start(&[SearcherBehavior::Answers]);
    let greedy = mixer.connect();
    let mut asks = greedy.try_clone().expect("a second handle");
    let all = "GET /-/counters HTTP/1.1\r\n\r\n".repeat(ASKS);
    let asking = std::thread::spawn(move || asks.write_all(all.as_bytes()));
    let mut client = mixer.connect();
    client.write_all(scan("entry", 1).as_bytes()).expect("it takes bytes");
    assert!(answer(&client).starts_with("HTTP/1.1 200 OK"));
    let mut answers = BufReader::new(&greedy);
    let good = (0..ASKS).filter(|_| next_answer(&mut answers).starts_with("HTTP/1.1 200 OK")).count();
    assert_eq!(good, ASKS);
    asking.join().expect("no panic").expect("it takes bytes");
    mixer.signal("TERM");
    assert_eq!(mixer.end().0, Some(0));
}

#[test]
fn a_searcher_that_drains_gets_nothing_more() {
    let mut mixer = start(&[SearcherBehavior::Answers]);
    mixer.searchers[0].1 = "draining";
    mixer.lists.publish(standins::discovery_list(2, false, &mixer.searchers));
    wait(&mut mixer.log, "drains");
    let mut client = mixer.connect();
    client.write_all(scan("entry", 1).as_bytes()).expect("it takes bytes");
    let said = answer(&client);
    mixer.signal("TERM");
    assert!(mixer.heard.try_recv().is_err());
    let (status, counts) = mixer.end();
    insta::assert_snapshot!(format!("{said}\n{status:?} {counts}"));
}

#[test]
fn the_watch_is_resumed_by_version_and_outlives_what_can_t_be_read() {
    let listener = port();
    let (mut child, mut log, _) = launch(listener.local_addr().expect("an address").to_string(), EXAMPLE);
    let mut asked = String::new();
    let searcher =
        standins::discovery_list(7, true, &[("127.0.0.1:9".parse().expect("an address"), "up")]).to_string();
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for said in [
        format!("{head}1\r\n\n\r\n{:x}\r\n{searcher}\n\r\n", searcher.len() + 1),
        format!("{head}4\r\n{{{{{{\n\r\n"),
        "HTTP/1.1 500 Down\r\n\r\n".to_owned(),
        String::new(),
    ] {
        let (mut stream, _) = listener.accept().expect("a watch");
        BufReader::new(&stream).read_line(&mut asked).expect("a line");
        stream.write_all(said.as_bytes()).expect("it takes bytes");
        // What came is read before the connection's end is seen.
        stream.shutdown(std::net::Shutdown::Write).expect("an end");
    }
    wait(&mut log, "ready");
    wait(&mut log, "can't be read");
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    insta::assert_snapshot!(asked);
}

#[test]
fn a_start_that_can_t_be_made_says_why() {
    let run = |config: Option<&str>| {
        let mut mixer = Command::new(env!("CARGO_BIN_EXE_pewterwharf-mixer"));
        mixer.env_clear().envs(config.map(|path| ("ROUTER_CONFIG", path)));
        let output = mixer.output().expect("it runs");
        let log = String::from_utf8_lossy(&output.stderr);
        let words = log.split_once(": ").unwrap_or_default().1.trim_end().to_owned();
        format!("{:?} {words}", output.status.code())
    };
    insta::assert_snapshot!(format!("{}\n{}", run(None), run(Some("/nowhere"))));
}

#[test]
fn at_a_hang_up_the_watch_moves_and_a_faulty_file_changes_nothing() {
    let config = concat!(env!("CARGO_TARGET_TMPDIR"), "/replaced.json");
    let text = std::fs::read_to_string(EXAMPLE).expect("the example");
    let (says, heard) = mpsc::channel();
    let place = |shown: &str| {
        let (searchers, discovery) = (port(), port());
        let addr = searchers.local_addr().expect("an address");
        standins::serve_searcher(searchers, SearcherBehavior::Answers, says.clone());
        let at = discovery.local_addr().expect("an address").to_string();
        let lists = standins::DiscoveryServer::default();
        lists.serve(discovery);
        lists.publish(standins::discovery_list(9, true, &[(addr, shown)]));
        (at, lists)
    };
    let ((old, old_lists), (new, _)) = (place("up"), place("up"));
    std::fs::write(config, &text).expect("it can be written");
    let (child, mut log, addr) = launch(old, config);
    wait(&mut log, "ready");
    let mut mixer = Mixer { child, log, addr, lists: old_lists, heard, searchers: Vec::new() };
    let mut said = Vec::new();
    let mut replace = |mixer: &mut Mixer, text: &str, words: &str| {
        std::fs::write(config, text).expect("it can be written");
        mixer.signal("HUP");
        let line = wait(&mut mixer.log, words);
        said.push(line.split_once(": ").unwrap_or_default().1.replace(config, "FILE").replace(&new, "NEW"));
    };
    replace(&mut mixer, "{", "stays as it is");
    let moved = text.replace("127.0.0.1:8500", &new);
    replace(&mut mixer, &moved.replace("1024", "512"), "read anew");
    wait(&mut mixer.log, "watch 1 has spoken");
    let mut client = mixer.connect();
    client.write_all(scan("entry", 1).as_bytes()).expect("it takes bytes");
    said.push(answer(&client));
    // What the old one still says is no more heard, and its watch has ended.
    mixer.lists.publish(standins::discovery_list(99, true, &[]));
    mixer.signal("HUP");
    wait(&mut mixer.log, "read anew");
    client.write_all(scan("entry", 1).as_bytes()).expect("it takes bytes");
    said.push(answer(&client));
    mixer.signal("TERM");
    let (status, counts) = mixer.end();
    insta::assert_snapshot!(format!("{}\n{status:?} {counts}", said.join("\n")));
}

#[test]
fn a_spoilt_answer_is_none_and_what_may_have_run_is_not_repeated() {
    let mut mixer = start(&[SearcherBehavior::AnswersWrongPart, SearcherBehavior::Answers]);
    let mut client = mixer.connect();
    let mut said = Vec::new();
    let mut ask = |table_type, parts| {
        client.write_all(scan(table_type, parts).as_bytes()).expect("it takes bytes");
        said.push(answer(&client).split(" | ").next().map(str::to_owned).unwrap_or_default());
    };
    // Both searchers get a part: the one that may not run twice is given up, the other is read elsewhere.
    ask("entry", 2);
    ask("lookup", 2);
    wait(&mut mixer.log, "never went out on it");
    mixer.signal("TERM");
    let (status, counts) = mixer.end();
    insta::assert_snapshot!(format!("{}\n{status:?} {counts}", said.join("\n")));
}

#[test]
fn silent_clients_beyond_all_descriptors_hold_up_nobody_and_hear_so() {
    let config = concat!(env!("CARGO_TARGET_TMPDIR"), "/few.json");
    let text = std::fs::read_to_string(EXAMPLE).expect("the example");
    std::fs::write(config, text.replace("1024", "64")).expect("it can be written");
    let mixer = start_on(config, &[SearcherBehavior::Answers]);
    let silent: Vec<TcpStream> = (0..100).map(|_| mixer.connect()).collect();
    let mut half = mixer.connect();
    half.write_all(&scan("entry", 1).as_bytes()[..50]).expect("it takes bytes");
    for n in 0..50 {
        let mut client = mixer.connect();
        client
            .write_all(scan("entry", 1).replace("q1", &format!("q{n}")).as_bytes())
            .expect("it takes bytes");
        assert!(answer(&client).starts_with("HTTP/1.1 200 OK"), "of client {n}");
    }
    // Each is told or closed, and none of them by its own doing.
    for mut stream in silent.into_iter().chain([half]) {
        let mut said = String::new();
        let end = stream.read_to_string(&mut said);
        assert!(end.is_err() || said.is_empty() || said.starts_with("HTTP/1.1 408 "), "{said}");
    }
    mixer.signal("TERM");
    let (status, counts) = mixer.end();
    insta::assert_snapshot!(format!("{status:?} {counts}"));
}

/// A file of the operator's own, for as long as the test runs.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> Self {
        let file = Self(std::env::temp_dir().join(format!("{name}-{}", std::process::id())));
        file.write(text);
        file
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("a file");
    }

    fn path(&self) -> String {
        self.0.display().to_string()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0); // or it was
    }
}

/// The section `bgp` with one peer and short waits, and these further keys.
fn bgp(peer: &Peer, more: &str) -> String {
    format!(
        "(bgp (as 64512) (id \"10.0.0.1\") (up 0.9 20ms) (down 0.5 20ms) (drain 40ms 40ms)
           (peer (address \"{}\") (as 64513) (next-hop \"192.0.2.1\") (rest 20ms) (retry 20ms)) {more})",
        peer.address
    )
}

/// A mixer that announces one address to a peer; the file is gone once it has been read.
fn announcing(peer: &Peer, searchers: &[SearcherBehavior]) -> Mixer {
    let text = bgp(peer, "(announce \"198.51.100.1/32\")");
    let file = File::new(&format!("bgp-{}", peer.address.port()), &text);
    start_with(EXAMPLE, Some(&file.0), searchers)
}

/// One drain under load: when the peer heard the withdrawal, when a connection was first refused, and the counts.
fn drain_under_load() -> (Instant, Instant, Option<i32>, String) {
    let peer = Peer::start(&[PeerBehavior::Conforms]);
    let mixer = announcing(&peer, &[SearcherBehavior::Answers, SearcherBehavior::Answers]);
    peer.wait_for("announce 198.51.100.1/32, path of 1");
    let addr = mixer.addr;
    let (says, first) = mpsc::channel();
    let load = std::thread::spawn(move || {
        loop {
            let Ok(mut client) = TcpStream::connect(addr) else { return Instant::now() };
            let asked =
                client.write_all(scan("lookup", 2).replace("Host: app.svc", "Connection: close").as_bytes());
            let mut said = String::new();
            // What is cut off before its answer is counted by the mixer, which prints what it took.
            let _ = asked.and_then(|()| client.read_to_string(&mut said).map(drop));
            let _ = says.send(said.starts_with("HTTP/1.1 200")); // or nobody listens any more
        }
    });
    assert!((0..20).all(|_| first.recv().expect("an answer")), "scans are served");
    mixer.signal("TERM");
    let (_, before) = peer.wait_for("announce 198.51.100.1/32, path of 3, depreferenced");
    assert!(before.is_empty(), "{before:?}");
    let (withdrawn, _) = peer.wait_for("withdraw 198.51.100.1/32");
    let refused = load.join().expect("the load ends");
    peer.wait_for("notification");
    let (status, counts) = mixer.end();
    (withdrawn.at, refused, status, counts)
}

fn count(counts: &str, name: &str) -> u64 {
    let found = counts.split(", ").find_map(|c| c.strip_prefix(name)?.trim().parse().ok());
    found.unwrap_or(0)
}

fn drains(rounds: usize) {
    for round in 0..rounds {
        let (withdrawn, refused, status, counts) = drain_under_load();
        assert!(
            withdrawn < refused,
            "round {round}: refused {:?} before the withdrawal",
            withdrawn - refused
        );
        assert_eq!(status, Some(0), "round {round}");
        let (taken, completed) = (count(&counts, "scans_taken"), count(&counts, "scans_completed"));
        assert!(taken >= 20 && taken == completed, "round {round}: {counts}");
    }
}

#[test]
fn a_mixer_that_drains_is_withdrawn_before_it_refuses_anybody_and_loses_no_scan() {
    drains(2);
}

/// `cargo test -p pewterwharf-mixer --test loopback -- --ignored`: the long run of which the docs speak.
#[test]
#[ignore = "some minutes"]
fn two_hundred_drains_under_load_are_withdrawn_first() {
    let rounds: Vec<_> = (0..8).map(|_| std::thread::spawn(|| drains(25))).collect();
    rounds.into_iter().for_each(|round| round.join().expect("every drain keeps its order"));
}

#[test]
fn a_mixer_that_lives_and_has_no_usable_searcher_is_withdrawn_and_announced_again() {
    let peer = Peer::start(&[PeerBehavior::Conforms]);
    let mut mixer = announcing(&peer, &[SearcherBehavior::Answers]);
    peer.wait_for("announce 198.51.100.1/32, path of 1");
    mixer.searchers[0].1 = "draining";
    mixer.lists.publish(standins::discovery_list(2, false, &mixer.searchers));
    peer.wait_for("withdraw 198.51.100.1/32");
    let mut client = mixer.connect();
    client.write_all(scan("lookup", 1).as_bytes()).expect("it takes bytes");
    assert!(answer(&client).starts_with("HTTP/1.1 503") || answer(&client).starts_with("HTTP/1.1 429"));
    mixer.searchers[0].1 = "up";
    mixer.lists.publish(standins::discovery_list(3, false, &mixer.searchers));
    peer.wait_for("announce 198.51.100.1/32, path of 1");
}

#[test]
fn scans_go_on_while_a_session_flaps_and_a_second_signal_cuts_the_waits_short() {
    let peer = Peer::start(&[PeerBehavior::Flaps, PeerBehavior::Conforms]);
    let mixer = announcing(&peer, &[SearcherBehavior::Answers]);
    peer.wait_for("closed");
    let mut client = mixer.connect();
    client.write_all(scan("lookup", 1).as_bytes()).expect("it takes bytes");
    assert!(answer(&client).starts_with("HTTP/1.1 200"));
    let begun = Instant::now();
    mixer.signal("TERM");
    mixer.signal("TERM");
    let (status, counts) = mixer.end();
    assert_eq!((status, count(&counts, "scans_completed")), (Some(0), 1));
    assert!(begun.elapsed().as_secs() < 5, "{:?}", begun.elapsed());
}

/// The figures of `docs/bgp.md`: from the last usable searcher to the withdrawal, and from there to the announcement.
#[test]
#[ignore = "a measurement"]
fn how_long_withdrawals_and_announcements_take() {
    let mut took = [Vec::new(), Vec::new()];
    // A mixer changes its mind six times a minute at most.
    for _ in 0..10 {
        let peer = Peer::start(&[PeerBehavior::Conforms]);
        let mut mixer = announcing(&peer, &[SearcherBehavior::Answers]);
        peer.wait_for("announce 198.51.100.1/32");
        for round in 0..2 {
            for (side, (status, word)) in
                [("draining", "withdraw"), ("up", "announce")].into_iter().enumerate()
            {
                mixer.searchers[0].1 = status;
                let told = Instant::now();
                mixer.lists.publish(standins::discovery_list(
                    2 + 2 * round + side as u64,
                    false,
                    &mixer.searchers,
                ));
                took[side].push((peer.wait_for(word).0.at - told).as_millis());
            }
        }
    }
    took.iter_mut().for_each(|t| t.sort_unstable());
    println!("withdrawn after {:?} ms, announced after {:?} ms", took[0], took[1]);
}

/// What is asked at a console is told; SIGHUP changes addresses, attributes and peers and leaves sessions up.
#[test]
fn the_console_tells_of_routes_and_a_hang_up_changes_them_without_a_reset() {
    let (peer, second) = (Peer::start(&[PeerBehavior::Conforms]), Peer::start(&[PeerBehavior::Conforms]));
    let console = File::new("console-hup", "");
    std::fs::remove_file(&console.0).expect("the name is free");
    let also = format!("\n(console \"{}\")", console.path());
    let file = File::new("bgp-hup", &(bgp(&peer, "(announce \"198.51.100.1/32\")") + &also));
    let mixer = start_with(EXAMPLE, Some(&file.0), &[SearcherBehavior::Answers]);
    peer.wait_for("announce 198.51.100.1/32, path of 1");
    let shown = query(&console.0, "bgp show").expect("it answers").expect("it is set");
    for line in
        ["Established, up 1 times", "198.51.100.1/32 Announced: Serves", "can serve by table type: 1.00 1.00"]
    {
        assert!(shown.contains(line), "{line:?} is not in {shown}");
    }
    let said = query(&console.0, "bgp hide").expect("it answers");
    assert_eq!(
        said,
        Err("\"bgp hide\" is not known here; known are bgp show, beliefs, fleet show".to_owned())
    );

    let beliefs = query(&console.0, "beliefs").expect("it answers").expect("it is known");
    assert!(beliefs.contains("ready 1, marked 0"), "{beliefs}");

    // A faulty file changes nothing, whatever is wrong with it.
    let mut mixer = mixer;
    let kept = "the operator's file changes nothing: ";
    for (text, why) in [
        ("(bgp (as 0))", "found 0, expected bgp as"),
        (
            "(bgp (as 64512) (id \"10.0.0.1\") (announce \"198.51.100.1/32\" (table-types \"lokup\")))",
            "lokup is no table type of this mixer; did you mean lookup?",
        ),
    ] {
        file.write(text);
        mixer.signal("HUP");
        let line = wait(&mut mixer.log, kept);
        assert!(line.contains(why), "{line}");
    }

    let more = "(announce \"198.51.100.1/32\") (announce \"198.51.100.2/32\") (communities \"64512:7\")";
    let both = bgp(&peer, more).replace(
        "(bgp ",
        &format!("(bgp (peer (address \"{}\") (as 64513) (next-hop \"192.0.2.1\")) ", second.address),
    );
    file.write(&(both + &also));
    mixer.signal("HUP");
    peer.wait_for("announce 198.51.100.2/32, path of 1");
    second.wait_for("announce 198.51.100.2/32, path of 1");
    // Taken out whole: routes go, and scans go on.
    file.write("");
    mixer.signal("HUP");
    let (told, before) = peer.wait_for("notification");
    assert!(told.text.contains("AdministrativeShutdown"), "{}", told.text);
    // One session all along: it opened once, and was told the changed attributes on the way.
    assert!(before.iter().all(|b| !b.starts_with("open") && b != "closed"), "{before:?}");
    let mut client = TcpStream::connect(mixer.addr).expect("the mixer accepts");
    client.write_all(scan("lookup", 1).as_bytes()).expect("it takes bytes");
    assert!(answer(&client).starts_with("HTTP/1.1 200"));
    assert!(query(&console.0, "bgp show").is_err(), "the console went with its key");
    // And put in again.
    file.write(&(bgp(&peer, "(announce \"198.51.100.1/32\")") + &also));
    mixer.signal("HUP");
    peer.wait_for("announce 198.51.100.1/32, path of 1");
}

/// Three slices, a searcher each: `lookup` is whole with six tenths, `entry` needs all.
#[test]
fn an_address_goes_with_its_table_type_and_another_stays() {
    let config = std::fs::read_to_string(EXAMPLE).expect("the example");
    let config = config.replace("\"positions\": 1", "\"positions\": 3");
    let config = File::new("mixer-types", &config);
    let peer = Peer::start(&[PeerBehavior::Conforms]);
    let more = "(announce \"198.51.100.1/32\" (table-types \"lookup\"))
                (announce \"198.51.100.2/32\" (table-types \"entry\"))";
    let file = File::new("bgp-types", &bgp(&peer, more));
    let mut mixer = start_with(&config.path(), Some(&file.0), &[SearcherBehavior::Answers; 3]);
    let tell = |mixer: &Mixer, index: u64, whole: bool| {
        let mut list = standins::discovery_list(index, whole, &mixer.searchers);
        for (slice, entry) in list["endpoints"].as_array_mut().into_iter().flatten().enumerate() {
            entry["group"] = Value::from(slice);
        }
        mixer.lists.publish(list);
    };
    tell(&mixer, 2, true);
    peer.wait_for("announce 198.51.100.2/32, path of 1");
    mixer.searchers[2].1 = "draining";
    tell(&mixer, 3, false);
    let (_, before) = peer.wait_for("withdraw 198.51.100.2/32");
    assert!(before.iter().all(|b| b.starts_with("announce")), "{before:?}");
    mixer.searchers[2].1 = "up";
    tell(&mixer, 4, false);
    let (_, before) = peer.wait_for("announce 198.51.100.2/32, path of 1");
    assert!(before.is_empty(), "the other stayed as it was: {before:?}");
}

/// Discovery falls silent while searchers answer: depreferenced, not withdrawn, and preferred again once it speaks.
#[test]
fn a_list_that_goes_stale_depreferences_while_searchers_answer() {
    let peer = Peer::start(&[PeerBehavior::Conforms]);
    // An empty line comes every two seconds; the list is stale just before the next.
    let file = File::new("bgp-stale", &bgp(&peer, "(stale 900ms) (announce \"198.51.100.1/32\")"));
    let mixer = start_with(EXAMPLE, Some(&file.0), &[SearcherBehavior::Answers]);
    peer.wait_for("announce 198.51.100.1/32, path of 1");
    peer.wait_for("announce 198.51.100.1/32, path of 3, depreferenced");
    let mut client = mixer.connect();
    client.write_all(scan("lookup", 1).as_bytes()).expect("it takes bytes");
    assert!(answer(&client).starts_with("HTTP/1.1 200"));
    let (_, before) = peer.wait_for("announce 198.51.100.1/32, path of 1");
    assert!(before.is_empty(), "{before:?}");
}

#[test]
fn a_fault_in_the_operators_file_ends_the_start() {
    for (name, text, why) in [
        ("key", "(bgp (pear))", "1:6: found pear, expected one of"),
        (
            "type",
            "(bgp (as 1) (id \"10.0.0.1\") (announce \"10.0.0.0/8\" (table-types \"entri\")))",
            "entri is no table type of this mixer; did you mean entry?",
        ),
        ("console", "(console \"/nowhere/at/all\")", "console /nowhere/at/all: "),
    ] {
        let file = File::new(&format!("bgp-fault-{name}"), text);
        let ended = Command::new(env!("CARGO_BIN_EXE_pewterwharf-mixer"))
            .env("PEWTERWHARF_SETTINGS", &file.0)
            .env("ROUTER_CONFIG", EXAMPLE)
            .env("ROUTER_LISTEN", "127.0.0.1:0")
            .output()
            .expect("the mixer starts");
        let told = String::from_utf8_lossy(&ended.stderr).into_owned();
        assert!(ended.status.code() == Some(1) && told.contains(why), "{name}: {told}");
    }
}

/// The figures of `docs/bgp.md`: what announcing costs a mixer that knows two hundred searchers, idle for ten seconds.
#[test]
#[ignore = "a measurement"]
fn what_peers_cost() {
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
        let file = File::new("bgp-cost", &text);
        let mixer = start_with(EXAMPLE, Some(&file.0), &[SearcherBehavior::Answers; 200]);
        peers.iter().for_each(|peer| drop(peer.wait_for("announce 198.51.100.1/32")));
        let stat = || {
            let read = |of: &str| {
                std::fs::read_to_string(format!("/proc/{}/{of}", mixer.child.id())).expect("it runs")
            };
            let ticks = read("stat").rsplit(") ").next().map(|rest| {
                rest.split(' ').skip(11).take(2).filter_map(|n| n.parse::<u64>().ok()).sum::<u64>()
            });
            let memory = read("status").lines().find(|l| l.starts_with("VmRSS")).unwrap_or("").to_owned();
            let threads = read("status").lines().find(|l| l.starts_with("Threads")).unwrap_or("").to_owned();
            (ticks.unwrap_or(0), memory, threads)
        };
        let before = stat().0;
        std::thread::sleep(std::time::Duration::from_secs(10));
        let (after, memory, threads) = stat();
        println!("{count:?} peers: {} ticks of 10 ms in 10 s, {memory}, {threads}", after - before);
    }
}

/// The example in the new shape: no probes, a list that is asked for, `lookup` answered from four fifths, reports in
/// answers.
fn moved(name: &str) -> File {
    let mut config: Value =
        serde_json::from_str(&std::fs::read_to_string(EXAMPLE).expect("the example")).expect("it is JSON");
    let settings = &mut config["settings"];
    settings["discovery"] = "ask".into();
    settings["rules"]["ask_within_ms"] = 10_000.0.into();
    settings["permissions"]["probing"] = false.into();
    settings["services"][0]["late_worth"] = 0.0.into();
    settings["family_info"]["class_need"] = serde_json::json!([1.0, 1.0]);
    settings["family_info"]["floor_by_class"] = serde_json::json!([0.8, 1.0]);
    settings["report"] = serde_json::json!({"via": "answers", "names": ["load_share"]});
    File::new(name, &config.to_string())
}

#[test]
fn without_probes_a_marked_searcher_is_readmitted_and_no_probe_goes_out() {
    let config = moved("unprobed");
    let mut mixer = start_on(&config.path(), &[SearcherBehavior::DisconnectsOnCall]);
    let mut client = mixer.connect();
    client.write_all(scan("entry", 1).as_bytes()).expect("it takes bytes");
    answer(&client);
    wait(&mut mixer.log, "marked at");
    wait(&mut mixer.log, "readmitted on trial");
    mixer.signal("TERM");
    let heard: Vec<String> = mixer.heard.try_iter().collect();
    assert!(heard.iter().any(|frame| frame.starts_with("D ")), "{heard:?}");
    assert!(!heard.iter().any(|frame| frame.starts_with(['I', 'U'])), "{heard:?}");
    assert_eq!(mixer.end().0, Some(0));
}

#[test]
fn an_answer_at_the_floor_is_given_at_the_target_time_and_not_called_whole() {
    let config = moved("floor");
    let mixer = start_on(&config.path(), &[SearcherBehavior::AnswersShardsBelow(4)]);
    let mut client = mixer.connect();
    client.write_all(scan("lookup", 5).as_bytes()).expect("it takes bytes");
    let said = answer(&client);
    assert!(said.starts_with("HTTP/1.1 200 OK") && said.contains("\"exact\":false"), "{said}");
    mixer.signal("TERM");
    assert_eq!(mixer.end(), (Some(0), "scans_taken 1, scans_completed 1".to_owned()));
}

#[test]
fn a_list_that_is_asked_for_outlives_discovery_and_a_drained_searcher_gets_nothing_more() {
    let (config, discovery, held) = (moved("asking"), port(), port());
    let at = held.local_addr().expect("an address");
    let (says, heard) = mpsc::channel();
    standins::serve_searcher(held, SearcherBehavior::Answers, says);
    let (mut child, mut log, addr) =
        launch(discovery.local_addr().expect("an address").to_string(), &config.path());
    let tell = |list: Value| {
        let (mut stream, _) = discovery.accept().expect("it asks");
        let mut asked = String::new();
        BufReader::new(&stream).read_line(&mut asked).expect("a line");
        let (head, list) = ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", format!("{list}\n"));
        write!(stream, "{head}{:x}\r\n{list}\r\n", list.len()).expect("it takes bytes");
        stream.shutdown(std::net::Shutdown::Write).expect("an end");
        asked
    };
    assert!(tell(standins::discovery_list(7, true, &[(at, "up")])).contains("watch=1&after=0"));
    wait(&mut log, "ready");
    // Discovery is away: nobody takes the next watch, and scans are served by the list that is held.
    let mut client = TcpStream::connect(addr).expect("the mixer accepts");
    client.write_all(scan("entry", 1).as_bytes()).expect("it takes bytes");
    assert!(answer(&client).starts_with("HTTP/1.1 200 OK"));
    assert!(heard.recv().expect("a frame").starts_with("D q1.0"));
    assert!(tell(standins::discovery_list(8, false, &[(at, "draining")])).contains("watch=1&after=7"));
    wait(&mut log, "drains");
    client.write_all(scan("entry", 1).as_bytes()).expect("it takes bytes");
    assert!(answer(&client).starts_with("HTTP/1.1 503"));
    assert!(heard.try_recv().is_err());
    signal(&child, "TERM");
    assert_eq!(child.wait().expect("it ends").code(), Some(0));
}

#[test]
fn a_configuration_that_mixes_the_shapes_ends_the_start_by_its_key() {
    let config = moved("mixed");
    let text = std::fs::read_to_string(&config.0).expect("a file");
    config.write(&text.replace("\"via\":\"answers\"", "\"via\":\"probe\""));
    let mut mixer = Command::new(env!("CARGO_BIN_EXE_pewterwharf-mixer"));
    let output = mixer.env("ROUTER_CONFIG", config.path()).output().expect("it runs");
    let log = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{log}");
    assert!(log.contains("report.via=probe can't go with permissions.probing=false"), "{log}");
}

#[test]
fn threads_do_not_grow_with_searchers() {
    // A thread for each link made a hundred for each of hundreds of mixers, more than one machine had.
    let mixer = start(&[SearcherBehavior::Answers; 40]);
    let mut client = mixer.connect();
    client.write_all(scan("entry", 16).as_bytes()).expect("it takes bytes");
    assert!(answer(&client).starts_with("HTTP/1.1 200 OK"));
    let status = std::fs::read_to_string(format!("/proc/{}/status", mixer.child.id())).expect("it runs");
    let threads = status.lines().find_map(|line| line.strip_prefix("Threads:")).expect("a count");
    let threads: usize = threads.trim().parse().expect("a number");
    assert!(threads <= 8, "{threads} threads");
    mixer.signal("TERM");
    assert_eq!(mixer.end().0, Some(0));
}
