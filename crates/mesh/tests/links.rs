//! Links on loopback: two mixers that belong together, and connections that they have to reject or survive.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use pewterwharf_mesh::{
    FleetStatus, Frame, LocalReport, LocalStatus, MAX_FRAME_BYTES, Mesh, MeshConfig, MeshHandle,
};
use pewterwharf_peers::{Hello, Incarnation, LinkRejection};
use pewterwharf_replica::kinds::Stage;
use pewterwharf_replica::{BatchKind, RecordBatch, ReplicaMessage, WireRecord};

/// An address with a port that was free just now.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

fn config(name: &str, listen: SocketAddr, peers: &[(&str, SocketAddr)], seed: u64) -> MeshConfig {
    MeshConfig {
        fleet: "praha".to_owned(),
        local_name: name.to_owned(),
        listen,
        peers: peers.iter().map(|(name, address)| ((*name).to_owned(), *address)).collect(),
        seed,
        tombstone_ttl_ms: 60_000.0,
    }
}

/// Waits until the status fulfills the condition. The timeout is far above what a working machine needs.
fn wait_until(handle: &MeshHandle, what: &str, condition: impl Fn(&FleetStatus) -> bool) -> FleetStatus {
    let began = Instant::now();
    loop {
        let status = handle.status().expect("an answer");
        if condition(&status) {
            return status;
        }
        assert!(began.elapsed() < Duration::from_secs(60), "not {what}:\n{status}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn counter(status: &FleetStatus, name: &str) -> u64 {
    status.links.get(name).copied().unwrap_or(0)
}

fn sees_m2_alive(status: &FleetStatus) -> bool {
    status.members.iter().any(|member| member.name == "m2" && member.status == "alive")
}

/// Starts the mixers m1 and m2, with a third configured name m3 that a test can use.
fn start_two_mixers() -> (Mesh, Mesh) {
    let (a, b, c) = (free_address(), free_address(), free_address());
    let on_advice = |_| {};
    let m1 = Mesh::start(config("m1", a, &[("m2", b), ("m3", c)], 1), on_advice).expect("it listens");
    let m2 = Mesh::start(config("m2", b, &[("m1", a), ("m3", c)], 2), on_advice).expect("it listens");
    for mesh in [&m1, &m2] {
        wait_until(&mesh.handle(), "joined", |status| {
            status.members.iter().any(|member| member.status == "alive") && status.progress == "caught up"
        });
    }
    (m1, m2)
}

fn hello_of_m3() -> Hello {
    Hello {
        format: 1,
        fleet: "praha".to_owned(),
        name: "m3".to_owned(),
        incarnation: Incarnation::first(3),
        age_ms: 1,
        receiver: None,
    }
}

fn mark_report() -> LocalReport {
    LocalReport::Searcher {
        address: "127.0.0.1:7000".parse().expect("an address"),
        status: Some(LocalStatus { marked: true, late: false, started_at_ms: 0.0, stage: Stage::Up }),
        cold: false,
        latency_ratio: 4.0,
        parts: 3,
    }
}

/// Opens a link, sends bytes and waits for its end. Returns the reason if the link was rejected.
fn send_raw(to: SocketAddr, bytes: &[u8]) -> Option<LinkRejection> {
    let mut stream = TcpStream::connect(to).expect("it accepts");
    let _ = stream.write_all(bytes); // the link may be closed before everything is sent
    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a timeout");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer); // a reset is an end as well
    match Frame::decode(&answer) {
        Ok(Some((Frame::Rejected(rejection), _))) => Some(rejection),
        _ => None,
    }
}

#[test]
fn delivery_of_published_records() {
    let (m1, m2) = start_two_mixers();
    assert!(m1.publish(vec![mark_report()]));
    let status = wait_until(&m2.handle(), "received", |status| status.kinds.get("mark") == Some(&1));
    let same = wait_until(&m1.handle(), "published", |other| other.digest == status.digest);
    assert_eq!(status.digest, same.digest);
    m1.leave();
    wait_until(&m2.handle(), "left", |status| {
        status.members.iter().any(|member| member.name == "m1" && member.status == "left")
    });
    m2.leave();
}

#[test]
fn reasons_to_reject_links() {
    let (m1, m2) = start_two_mixers();
    let address = m1.local_addr();
    let rejection = |hello: Hello| send_raw(address, &Frame::Hello(hello).encode());
    assert_eq!(
        rejection(Hello { format: 2, ..hello_of_m3() }),
        Some(LinkRejection::FormatMismatch { theirs: 2, ours: 1 })
    );
    let (theirs, ours) = ("brno".to_owned(), "praha".to_owned());
    assert_eq!(
        rejection(Hello { fleet: theirs.clone(), ..hello_of_m3() }),
        Some(LinkRejection::FleetMismatch { theirs, ours })
    );
    let name = "m9".to_owned();
    assert_eq!(
        rejection(Hello { name: name.clone(), ..hello_of_m3() }),
        Some(LinkRejection::UnknownName(name))
    );
    // The receiver's own name: the answer contains the receiver's incarnation.
    let same_name = Hello {
        name: "m1".to_owned(),
        incarnation: Incarnation { number: 0, nonce: 0 },
        age_ms: 1_000_000,
        ..hello_of_m3()
    };
    assert!(
        matches!(rejection(same_name), Some(LinkRejection::Superseded(by)) if by.incarnation.number >= 1)
    );
    let texts: Vec<String> = [
        LinkRejection::FormatMismatch { theirs: 2, ours: 1 },
        LinkRejection::FleetMismatch { theirs: "brno".to_owned(), ours: "praha".to_owned() },
        LinkRejection::UnknownName("m9".to_owned()),
        LinkRejection::Inactive,
    ]
    .iter()
    .map(ToString::to_string)
    .collect();
    insta::assert_snapshot!(texts.join("\n"));
    let status = wait_until(&m1.handle(), "counted", |status| counter(status, "links_refused") >= 4);
    assert!(sees_m2_alive(&status), "no other link was affected:\n{status}");
    m1.leave();
    m2.leave();
}

#[test]
fn unreadable_frame() {
    let (m1, m2) = start_two_mixers();
    let address = m1.local_addr();
    let mut huge = ((60 << 20) as u32).to_le_bytes().to_vec();
    huge.extend(vec![7; 1 << 20]);
    send_raw(address, &huge);
    send_raw(address, b"GET / HTTP/1.1\r\n\r\n");
    send_raw(address, &Frame::Bye(Incarnation::first(3)).encode()); // without a hello before it
    let mut corrupted = Frame::Replica(ReplicaMessage::Digest(1)).encode();
    corrupted[9] ^= 1;
    let mut hello_and_corrupted = Frame::Hello(hello_of_m3()).encode();
    hello_and_corrupted.extend(corrupted);
    send_raw(address, &hello_and_corrupted);
    let mut two_names = Frame::Hello(hello_of_m3()).encode();
    two_names.extend(Frame::Hello(Hello { name: "m2".to_owned(), ..hello_of_m3() }).encode());
    send_raw(address, &two_names); // a link belongs to one mixer
    let status = wait_until(&m1.handle(), "counted", |status| {
        counter(status, "links_unreadable") >= 4 && counter(status, "links_refused") >= 1
    });
    assert!(sees_m2_alive(&status), "{status}");
    m1.leave();
    m2.leave();
}

#[test]
fn link_without_hello() {
    let (m1, m2) = start_two_mixers();
    let began = Instant::now();
    assert_eq!(send_raw(m1.local_addr(), &[]), None, "waits for the end of the link");
    assert!(began.elapsed() < Duration::from_secs(25));
    wait_until(&m1.handle(), "counted", |status| counter(status, "links_mute") == 1);
    m1.leave();
    m2.leave();
}

#[test]
fn flood_of_records() {
    let (m1, m2) = start_two_mixers();
    let mut stream = TcpStream::connect(m1.local_addr()).expect("it accepts");
    stream.write_all(&Frame::Hello(hello_of_m3()).encode()).expect("it is accepted");
    // A hundred thousand records of the largest size, in frames of the largest size: 30 MB.
    let (mut counter, mut sent) = (0, 0);
    while sent < 100_000 {
        let record = |n: u64| WireRecord {
            kind: 99,
            name: format!("{:060}", counter + n),
            counter: counter + n,
            age_ms: 0,
            value: Some(vec![1; 256]),
        };
        let records: Vec<WireRecord> = (1..=80).map(record).collect();
        let after = counter;
        counter += 80;
        sent += 80;
        let batch = RecordBatch {
            origin: "m3".to_owned(),
            incarnation: Incarnation::first(3),
            after,
            through: counter,
            tombstone_floor: 0,
            kind: BatchKind::Delta,
            records,
        };
        let message = ReplicaMessage::Batches { batches: vec![batch], remaining: 0 };
        let frame = Frame::Replica(message).encode();
        assert!(frame.len() <= MAX_FRAME_BYTES);
        if stream.write_all(&frame).is_err() {
            break; // closing the link is allowed as well
        }
    }
    let status = wait_until(&m1.handle(), "rejected", |status| {
        status.rejected.get("over_its_share").is_some_and(|count| *count > 0)
    });
    assert!(status.bytes < 2 << 20, "{status}");
    assert!(sees_m2_alive(&status), "{status}");
    assert!(m2.publish(vec![mark_report()]));
    wait_until(&m1.handle(), "received", |status| status.kinds.get("mark") == Some(&1));
    m1.leave();
    m2.leave();
}

/// Guards against a deadlock at shutdown: the service no longer receives advice, while the thread of the links may be
/// blocked in delivering it.
#[test]
fn leave_with_blocked_advice() {
    let (a, b) = (free_address(), free_address());
    let (called, calls) = std::sync::mpsc::channel();
    let block_forever = move |_| {
        let _ = called.send(()); // the test may be over
        loop {
            std::thread::park();
        }
    };
    let mesh = Mesh::start(config("m1", a, &[("m2", b)], 1), block_forever).expect("it listens");
    calls.recv_timeout(Duration::from_secs(60)).expect("advice about the number of mixers");
    let began = Instant::now();
    mesh.leave();
    assert!(began.elapsed() < Duration::from_secs(30));
}

#[test]
fn status_as_text_json_and_counters() {
    let (m1, m2) = start_two_mixers();
    assert!(m1.publish(vec![mark_report(), LocalReport::List { index: 17, ready: 4 }]));
    let status = wait_until(&m2.handle(), "received", |status| status.lists.get("m1") == Some(&17));
    let text = status.to_string();
    for expected in [
        "m2, start 1.",
        ": member, caught up",
        "m1               alive",
        "by kind: list 1, mark 1",
        "lists held: m1 17",
    ] {
        assert!(text.contains(expected), "no {expected:?} in\n{text}");
    }
    let json: serde_json::Value = serde_json::from_str(&status.to_json()).expect("it is JSON");
    assert_eq!((json["me"].as_str(), json["members"][0]["name"].as_str()), (Some("m2"), Some("m1")));
    assert_eq!((json["kinds"]["mark"].as_u64(), json["lists"]["m1"].as_u64()), (Some(1), Some(17)));
    let counters = status.counters_text();
    assert!(counters.lines().any(|line| line.starts_with("fleet_links_opened ")), "{counters}");
    m1.leave();
    m2.leave();
}
