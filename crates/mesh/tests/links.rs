//! Links on loopback: two that belong together, and whoever comes beside them with what can't be used.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use pewterwharf_mesh::{FleetStatus, Frame, LONGEST, LocalReport, LocalStatus, Mesh, MeshConfig, MeshHandle};
use pewterwharf_peers::{Hello, Incarnation, Refusal};
use pewterwharf_replica::kinds::Stage;
use pewterwharf_replica::{RecordBatch, Why, WireRow, Word};

/// A port that was free just now.
fn port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

fn terms(me: &str, listen: SocketAddr, peers: &[(&str, SocketAddr)], seed: u64) -> MeshConfig {
    let peers = peers.iter().map(|(name, at)| ((*name).to_owned(), *at)).collect();
    MeshConfig {
        fleet: "praha".to_owned(),
        local_name: me.to_owned(),
        listen,
        peers,
        seed,
        tombstone_ttl_ms: 60_000.0,
    }
}

/// Waits until what is seen is as wanted; the ceiling is for a machine that stands still.
fn until(way: &MeshHandle, what: &str, wanted: impl Fn(&FleetStatus) -> bool) -> FleetStatus {
    let begun = Instant::now();
    loop {
        let shown = way.status().expect("it answers");
        if wanted(&shown) {
            return shown;
        }
        assert!(begun.elapsed() < Duration::from_secs(60), "not {what}:\n{shown}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn count(shown: &FleetStatus, what: &str) -> u64 {
    shown.links.get(what).copied().unwrap_or(0)
}

/// Two mixers, m1 and m2, and a third name in their files under which a test may come.
fn two() -> (Mesh, Mesh) {
    let (a, b, c) = (port(), port(), port());
    let hear = |_| {};
    let one = Mesh::start(terms("m1", a, &[("m2", b), ("m3", c)], 1), hear).expect("it listens");
    let two = Mesh::start(terms("m2", b, &[("m1", a), ("m3", c)], 2), hear).expect("it listens");
    for mesh in [&one, &two] {
        until(&mesh.handle(), "joined", |s| {
            s.members.iter().any(|m| m.life == "alive") && s.progress == "caught up"
        });
    }
    (one, two)
}

fn hello() -> Hello {
    let (fleet, name) = ("praha".to_owned(), "m3".to_owned());
    Hello { format: 1, fleet, name, start: Incarnation::first(3), age_ms: 1, yours: None }
}

/// Says something as a peer might, and hears how the link is refused, if it is.
fn says(to: SocketAddr, bytes: &[u8]) -> Option<Refusal> {
    let mut stream = TcpStream::connect(to).expect("it accepts");
    let _ = stream.write_all(bytes); // it may be ended before all is said
    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a time-out");
    let mut back = Vec::new();
    let _ = stream.read_to_end(&mut back); // a reset is an end as well
    match Frame::read(&back) {
        Ok(Some((Frame::Refused(why), _))) => Some(why),
        _ => None,
    }
}

#[test]
fn a_word_of_one_is_soon_the_other_s() {
    let (one, two) = two();
    let own = LocalStatus { marked: true, late: false, since: 0.0, stage: Stage::Up };
    let at = "127.0.0.1:7000".parse().expect("an address");
    assert!(one.publish(vec![LocalReport::Searcher {
        address: at,
        status: Some(own),
        cold: false,
        latency_ratio: 4.0,
        parts: 3
    }]));
    let shown = until(&two.handle(), "told", |s| s.kinds.get("mark") == Some(&1));
    assert_eq!(shown.sum, until(&one.handle(), "said", |s| s.sum == shown.sum).sum);
    one.leave();
    until(&two.handle(), "left", |s| s.members.iter().any(|m| m.name == "m1" && m.life == "left"));
    two.leave();
}

#[test]
fn links_that_do_not_belong_here_are_refused_with_a_reason() {
    let (one, two) = two();
    let at = one.local_addr();
    let refused = |hello: Hello| says(at, &Frame::Hello(hello).bytes());
    assert_eq!(refused(Hello { format: 2, ..hello() }), Some(Refusal::Format { theirs: 2, ours: 1 }));
    let (theirs, ours) = ("brno".to_owned(), "praha".to_owned());
    assert_eq!(refused(Hello { fleet: theirs.clone(), ..hello() }), Some(Refusal::Fleet { theirs, ours }));
    let name = "m9".to_owned();
    assert_eq!(refused(Hello { name: name.clone(), ..hello() }), Some(Refusal::Unnamed(name)));
    // Its own name: whoever says that is told of the one that is here.
    let twin = Hello {
        name: "m1".to_owned(),
        start: Incarnation { number: 0, lot: 0 },
        age_ms: 1_000_000,
        ..hello()
    };
    assert!(matches!(refused(twin), Some(Refusal::Older(by)) if by.start.number >= 1));
    let told: Vec<String> = [
        Refusal::Format { theirs: 2, ours: 1 },
        Refusal::Fleet { theirs: "brno".to_owned(), ours: "praha".to_owned() },
        Refusal::Unnamed("m9".to_owned()),
        Refusal::Away,
    ]
    .iter()
    .map(ToString::to_string)
    .collect();
    insta::assert_snapshot!(told.join("\n"));
    let shown = until(&one.handle(), "counted", |s| count(s, "links_refused") >= 4);
    assert!(
        shown.members.iter().any(|m| m.name == "m2" && m.life == "alive"),
        "and nothing else was harmed:\n{shown}"
    );
    one.leave();
    two.leave();
}

#[test]
fn whatever_can_t_be_read_ends_its_link_and_nothing_else() {
    let (one, two) = two();
    let at = one.local_addr();
    let mut huge = ((60 << 20) as u32).to_le_bytes().to_vec();
    huge.extend(vec![7; 1 << 20]);
    says(at, &huge);
    says(at, b"GET / HTTP/1.1\r\n\r\n");
    says(at, &Frame::Bye(Incarnation::first(3)).bytes()); // no hello went before it
    let mut good = Frame::Hello(hello()).bytes();
    let mut bad = Frame::Copy(Word::Sum(1)).bytes();
    bad[9] ^= 1;
    good.extend(bad);
    says(at, &good);
    let mut twice = Frame::Hello(hello()).bytes();
    twice.extend(Frame::Hello(Hello { name: "m2".to_owned(), ..hello() }).bytes());
    says(at, &twice); // a link is one mixer's
    let shown = until(&one.handle(), "counted", |s| {
        count(s, "links_unreadable") >= 4 && count(s, "links_refused") >= 1
    });
    assert!(shown.members.iter().any(|m| m.name == "m2" && m.life == "alive"), "{shown}");
    one.leave();
    two.leave();
}

#[test]
fn one_that_says_nothing_is_let_go_of() {
    let (one, two) = two();
    let began = Instant::now();
    assert_eq!(says(one.local_addr(), &[]), None, "it waits for the end of the link");
    assert!(began.elapsed() < Duration::from_secs(25));
    until(&one.handle(), "counted", |s| count(s, "links_mute") == 1);
    one.leave();
    two.leave();
}

#[test]
fn a_flood_of_rows_takes_its_share_and_the_others_hear_each_other() {
    let (one, two) = two();
    let mut stream = TcpStream::connect(one.local_addr()).expect("it accepts");
    stream.write_all(&Frame::Hello(hello()).bytes()).expect("it is taken");
    // A hundred thousand rows of the most that a row may be, in frames of the longest: 30 MB.
    let (mut counter, mut sent) = (0, 0);
    while sent < 100_000 {
        let row = |nth: u64| WireRow {
            kind: 99,
            name: format!("{:060}", counter + nth),
            counter: counter + nth,
            age_ms: 0,
            value: Some(vec![1; 256]),
        };
        let rows: Vec<WireRow> = (1..=80).map(row).collect();
        let (origin, start, from) = ("m3".to_owned(), Incarnation::first(3), counter);
        counter += 80;
        sent += 80;
        let part = RecordBatch { origin, start, from, through: counter, floor: 0, why: Why::Delta, rows };
        let frame = Frame::Copy(Word::Parts { parts: vec![part], left: 0 }).bytes();
        assert!(frame.len() <= LONGEST);
        if stream.write_all(&frame).is_err() {
            break; // it was ended, which is as good
        }
    }
    let shown = until(&one.handle(), "refused", |s| s.refused.get("over_its_share").is_some_and(|n| *n > 0));
    assert!(shown.bytes < 2 << 20, "{shown}");
    assert!(shown.members.iter().any(|m| m.name == "m2" && m.life == "alive"), "{shown}");
    let at = "127.0.0.1:7000".parse().expect("an address");
    let own = LocalStatus { marked: true, late: false, since: 0.0, stage: Stage::Up };
    assert!(two.publish(vec![LocalReport::Searcher {
        address: at,
        status: Some(own),
        cold: false,
        latency_ratio: 4.0,
        parts: 3
    }]));
    until(&one.handle(), "told", |s| s.kinds.get("mark") == Some(&1));
    one.leave();
    two.leave();
}

/// At its end the service hears nothing more, while the links' thread may have advice for it: neither waits for the other.
#[test]
fn leaving_does_not_wait_for_advice_that_nobody_takes() {
    let (a, b) = (port(), port());
    let (says, heard) = std::sync::mpsc::channel();
    let stuck = move |_| {
        let _ = says.send(()); // the test may be over
        loop {
            std::thread::park();
        }
    };
    let one = Mesh::start(terms("m1", a, &[("m2", b)], 1), stuck).expect("it listens");
    heard.recv_timeout(Duration::from_secs(60)).expect("it is told how many mixers there are");
    let began = Instant::now();
    one.leave();
    assert!(began.elapsed() < Duration::from_secs(30));
}

#[test]
fn what_is_seen_is_told_to_people_and_to_programs() {
    let (one, two) = two();
    let at = "127.0.0.1:7000".parse().expect("an address");
    let own = LocalStatus { marked: true, late: false, since: 0.0, stage: Stage::Up };
    let says = vec![
        LocalReport::Searcher { address: at, status: Some(own), cold: false, latency_ratio: 4.0, parts: 3 },
        LocalReport::List { index: 17, ready: 4 },
    ];
    assert!(one.publish(says));
    let shown = until(&two.handle(), "told", |s| s.lists.get("m1") == Some(&17));
    let text = shown.to_string();
    for words in [
        "m2, start 1.",
        ": member, caught up",
        "m1               alive",
        "by kind: list 1, mark 1",
        "lists held: m1 17",
    ] {
        assert!(text.contains(words), "no {words:?} in\n{text}");
    }
    let json: serde_json::Value = serde_json::from_str(&shown.to_json()).expect("it is JSON");
    assert_eq!((json["me"].as_str(), json["members"][0]["name"].as_str()), (Some("m2"), Some("m1")));
    assert_eq!((json["kinds"]["mark"].as_u64(), json["lists"]["m1"].as_u64()), (Some(1), Some(17)));
    assert!(
        shown.counters_text().lines().any(|l| l.starts_with("fleet_links_opened ")),
        "{}",
        shown.counters_text()
    );
    one.leave();
    two.leave();
}
