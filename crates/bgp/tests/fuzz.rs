//! Fuzzing of the decoder and the sessions with byte streams as a peer may send them. The corpus in `corpus.txt` has one
//! stream per line in hexadecimal; each stream shows behaviour that no earlier one shows.
//!
//! CI runs the corpus and a fixed number of mutants of it from one seed. To run longer and extend the corpus:
//! `FUZZ=2000000 cargo test --release -p pewterwharf-bgp --test fuzz -- --ignored`.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::Ipv4Addr;
use std::path::PathBuf;

use ipnet::IpNet;
use oorandom::Rand32;
use pewterwharf_bgp::announce::{self, Health, Phase, ServiceAddress};
use pewterwharf_bgp::message::{
    self, Attributes, Family, MAX_MESSAGE_LEN, Message, Notification, Open, Update, WatchedPrefixes,
    decode_prefixes,
};
use pewterwharf_bgp::session::{self, Direction};
use pewterwharf_bgp::speaker::{AttributeConfig, Effect, Input, PeerConfig, Speaker, SpeakerConfig};

/// Number of mutants in CI.
const CI_MUTANTS: u32 = 20_000;
/// Maximum length of a stream in bytes.
const MAX_STREAM_LEN: usize = 3 * MAX_MESSAGE_LEN;

fn net(text: &str) -> IpNet {
    text.parse().expect("a prefix")
}

fn config() -> SpeakerConfig {
    let session = session::SessionConfig {
        asn: 64_512,
        bgp_id: Ipv4Addr::new(10, 0, 0, 1),
        peer_asn: 64_513,
        hold_time_s: 9,
        families: vec![Family::V4, Family::V6],
        connects: true,
        connect_retry_ms: 1000.0,
        idle_hold_ms: 1000.0,
        max_prefixes: 50,
    };
    let hop = |text: &str| Some(text.parse().expect("an address"));
    let address = |text: &str| ServiceAddress { prefix: net(text), table_types: vec![], keep_last: true };
    SpeakerConfig {
        peers: vec![PeerConfig {
            address: "192.0.2.254:179".parse().expect("an address"),
            session,
            next_hop_v4: hop("192.0.2.1"),
            next_hop_v6: hop("2001:db8::1"),
        }],
        announce: announce::AnnounceConfig {
            addresses: vec![address("198.51.100.1/32"), address("2001:db8:1::1/128")],
            up_share: 0.9,
            down_share: 0.5,
            up_delay_ms: 1.0,
            down_delay_ms: 1.0,
            max_list_age_ms: 1e9,
            max_rejected_share: 0.5,
            max_changes_per_minute: 1000,
            depreferenced_ms: 1.0,
            withdrawn_ms: 1.0,
        },
        attributes: AttributeConfig {
            communities: vec![1],
            large_communities: vec![(1, 2, 3)],
            med: 0,
            depreferenced_med: 1,
            local_pref: 100,
            depreferenced_local_pref: 0,
            prepend: 1,
        },
    }
}

/// Runs one stream on a connection that the mixer opened, while the mixer can serve only part of its data, and returns a
/// summary of the behaviour. Invariants that hold for any input are asserted.
fn run(stream: &[u8]) -> String {
    let mut speaker = Speaker::new(&config(), 1);
    let mut summary = String::new();
    let mut watch = WatchedPrefixes::default();
    let mut closed = false;
    let mut step = |speaker: &mut Speaker, now: f64, input: Input, summary: &mut String| {
        for effect in speaker.step(now, input) {
            match effect {
                Effect::Send(_, _, bytes) => {
                    assert!(!closed, "sent after the connection was closed");
                    assert!(
                        message::message_length(&bytes) == Ok(Some(bytes.len())),
                        "sent an incomplete message"
                    );
                    let sent = message::decode(&bytes, true, &WatchedPrefixes::default())
                        .expect("sent a valid message");
                    match sent {
                        Message::Notification(notification) => {
                            let _ = write!(summary, " !{}/{}", notification.code, notification.subcode);
                        }
                        Message::Update(routes) => {
                            let _ = write!(summary, " >{}-{}", routes.announced, routes.withdrawn);
                        }
                        other => {
                            let _ = write!(summary, " >{}", &format!("{other:?}")[..4]);
                        }
                    }
                }
                Effect::Close(..) | Effect::Refuse(..) => closed = true,
                Effect::Watch(new) => watch = new,
                Effect::Connect(..) | Effect::DrainComplete | Effect::Log(_) => {}
            }
        }
        closed
    };
    let health = |share: f64| Health {
        phase: Phase::Ready,
        servable_shares: vec![share],
        rejected_share: 0.0,
        has_client_capacity: true,
        list_age_ms: 0.0,
    };
    step(&mut speaker, 0.0, Input::Configure(Box::new(config())), &mut summary);
    step(&mut speaker, 0.0, Input::Announce(announce::Input::Health(health(1.0))), &mut summary);
    step(&mut speaker, 2.0, Input::Timer, &mut summary);
    step(&mut speaker, 2.0, Input::Announce(announce::Input::Health(health(0.3))), &mut summary);
    step(&mut speaker, 4.0, Input::Timer, &mut summary);
    let session = |input| Input::Session(0, input);
    step(&mut speaker, 5.0, session(session::Input::Connected(Direction::Out)), &mut summary);
    let watch = WatchedPrefixes {
        prefixes: config().announce.addresses.iter().map(|a| a.prefix).collect(),
        own_asn: 64_512,
    };
    let mut rest = stream;
    let mut four_octets = true;
    let mut now = 5.0;
    loop {
        let input = match message::message_length(rest) {
            Ok(Some(length)) if rest.len() >= length => {
                let (bytes, after) = rest.split_at(length);
                rest = after;
                let _ = decode_prefixes(bytes);
                match message::decode(bytes, four_octets, &watch) {
                    Ok(message) => {
                        if let Message::Open(open) = &message {
                            four_octets = open.four_octets;
                        }
                        if let Message::Update(routes) = &message {
                            assert!(routes.watched.len() <= 2 * watch.prefixes.len(), "{routes:?}");
                            assert!(u64::from(routes.announced + routes.withdrawn) <= MAX_MESSAGE_LEN as u64);
                            let _ = write!(
                                summary,
                                " <{}-{}x{}w{}",
                                routes.announced.min(3),
                                routes.withdrawn.min(3),
                                routes.faulty_attributes.min(3),
                                routes.watched.len()
                            );
                        }
                        session::Input::Received(Direction::Out, message)
                    }
                    Err(refusal) => session::Input::Malformed(Direction::Out, refusal),
                }
            }
            Ok(_) => break,
            Err(refusal) => session::Input::Malformed(Direction::Out, refusal),
        };
        now += 10.0;
        if step(&mut speaker, now, session(input), &mut summary) {
            break;
        }
    }
    // The peer sends nothing more: a session ends when its hold timer expires.
    for _ in 0..50 {
        let due = speaker.next_timer();
        if !due.is_finite() || due > 60_000.0 {
            break;
        }
        now = now.max(due);
        if step(&mut speaker, now, Input::Timer, &mut summary) {
            break;
        }
    }
    let status = speaker.status(now);
    assert!(status.peers.len() == 1 && status.changes.len() <= pewterwharf_bgp::speaker::MAX_RECENT_CHANGES);
    let others = status.addresses.iter().filter(|a| a.other_announcer).count();
    let _ = write!(summary, " {:?} others {others}", status.peers[0].state);
    summary
}

/// Initial streams: messages of a conforming peer.
fn seeds() -> Vec<Vec<u8>> {
    let open = Open {
        asn: 64_513,
        hold_time_s: 30,
        bgp_id: Ipv4Addr::new(10, 0, 0, 9),
        families: vec![Family::V4, Family::V6],
        four_octets: true,
        route_refresh: true,
    };
    let update = |graceful_shutdown: bool, v6: bool| {
        let attributes = Attributes {
            as_path: vec![64_513, 7],
            next_hop: if v6 { "2001:db8::9".parse() } else { "192.0.2.9".parse() }.expect("an address"),
            med: Some(1),
            local_pref: None,
            communities: if graceful_shutdown { vec![message::GRACEFUL_SHUTDOWN] } else { vec![9] },
            large_communities: vec![(1, 1, 1)],
        };
        let announced =
            if v6 { vec![net("2001:db8:1::1/128")] } else { vec![net("198.51.100.1/32"), net("10.0.0.0/8")] };
        let withdrawn = vec![net("198.51.100.1/32"), net("2001:db8:1::1/128")];
        Update { withdrawn, announced, attributes: Some(attributes) }.encode(true).concat()
    };
    let up = [open.encode(), message::encode_keepalive()].concat();
    let established_then = |more: &[u8]| [&up[..], more].concat();
    vec![
        up.clone(),
        established_then(&update(false, false)),
        established_then(&update(true, false)),
        established_then(&update(false, true)),
        established_then(&message::encode_route_refresh(Family::V6)),
        established_then(&Notification::shutdown("bye").encode()),
        Open { four_octets: false, route_refresh: false, families: vec![Family::V4], ..open }.encode(),
    ]
}

fn mutate(rng: &mut Rand32, corpus: &[Vec<u8>]) -> Vec<u8> {
    let pick = |rng: &mut Rand32| &corpus[rng.rand_range(0..corpus.len() as u32) as usize];
    let mut bytes = pick(rng).clone();
    for _ in 0..rng.rand_range(1..5) {
        let at = rng.rand_range(0..bytes.len().max(1) as u32) as usize;
        match rng.rand_range(0..6) {
            0 if at < bytes.len() => bytes[at] ^= 1 << rng.rand_range(0..8),
            1 if at < bytes.len() => bytes[at] = rng.rand_u32() as u8,
            2 if at < bytes.len() => drop(bytes.remove(at)),
            3 => {
                bytes.insert(at.min(bytes.len()), [0, 1, 4, 0x40, 0xC0, 0xFF][rng.rand_range(0..6) as usize])
            }
            4 => bytes.truncate(at.max(1)),
            _ => {
                let other = pick(rng).clone();
                let from = rng.rand_range(0..other.len() as u32) as usize;
                bytes.extend(&other[from..]);
            }
        }
    }
    // A message with a wrong length ends the session, so the lengths are corrected in most mutants.
    if rng.rand_float() < 0.8 {
        fix_lengths(&mut bytes);
    }
    bytes.truncate(MAX_STREAM_LEN);
    bytes
}

/// Sets the length in each header to the distance to the next marker.
fn fix_lengths(bytes: &mut [u8]) {
    let starts: Vec<usize> = (0..bytes.len()).filter(|at| bytes[*at..].starts_with(&[0xFF; 16])).collect();
    for (nth, start) in starts.iter().enumerate() {
        let end = starts.get(nth + 1).copied().unwrap_or(bytes.len());
        if end - start >= 19 && end - start <= MAX_MESSAGE_LEN {
            bytes[start + 16..start + 18].copy_from_slice(&((end - start) as u16).to_be_bytes());
        }
    }
}

fn corpus_file() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/corpus.txt"))
}

fn read_corpus() -> Vec<Vec<u8>> {
    let text = std::fs::read_to_string(corpus_file()).expect("the corpus");
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII"), 16).expect("hex");
    text.lines().map(|line| line.as_bytes().chunks(2).map(byte).collect()).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Whether a summary contains behaviour that was not seen before; adds it to the seen behaviour.
fn is_new(summary: &str, seen: &mut BTreeSet<String>) -> bool {
    let words: Vec<&str> = summary.split_whitespace().collect();
    let before = seen.len();
    seen.extend(words.into_iter().map(str::to_owned));
    seen.len() > before
}

/// Runs `count` mutants and returns those with new behaviour.
fn search(count: u32, seed: u64, from: Vec<Vec<u8>>) -> Vec<Vec<u8>> {
    let mut rng = Rand32::new(seed);
    let mut seen = BTreeSet::new();
    for stream in &from {
        is_new(&run(stream), &mut seen);
    }
    let mut corpus = from;
    let mut found = Vec::new();
    for _ in 0..count {
        let stream = mutate(&mut rng, &corpus);
        let summary = std::panic::catch_unwind(|| run(&stream));
        let Ok(summary) = summary else { panic!("this stream violates an invariant: {}", hex(&stream)) };
        if is_new(&summary, &mut seen) {
            corpus.push(stream.clone());
            found.push(stream);
        }
    }
    found
}

#[test]
fn corpus_and_mutants() {
    let corpus = read_corpus();
    assert!(corpus.len() >= 50, "the corpus has {} streams", corpus.len());
    // At least nine tenths of the streams have to show new behaviour, or the corpus is out of date.
    let mut seen = BTreeSet::new();
    let redundant = corpus.iter().filter(|stream| !is_new(&run(stream), &mut seen)).count();
    assert!(redundant * 10 <= corpus.len(), "{redundant} of {} streams show nothing new", corpus.len());
    search(CI_MUTANTS, 23, corpus);
}

/// The initial streams have to be processed as intended, or fuzzing would not reach the code behind them.
#[test]
fn seed_streams() {
    let summaries: Vec<String> = seeds().iter().map(|stream| run(stream)).collect();
    insta::assert_snapshot!(summaries.join("\n"));
}

#[test]
#[ignore = "runs as many mutants as FUZZ states and extends the corpus"]
fn extend_corpus() {
    let count = std::env::var("FUZZ").ok().and_then(|n| n.parse().ok()).unwrap_or(200_000);
    let mut corpus = if corpus_file().exists() { read_corpus() } else { Vec::new() };
    if corpus.is_empty() {
        corpus = seeds();
    }
    let found = search(count, 29, corpus.clone());
    println!("{} new among {count}", found.len());
    corpus.extend(found);
    // Short streams first, and only those with behaviour that no earlier one shows.
    corpus.sort_by_key(Vec::len);
    let mut seen = BTreeSet::new();
    corpus.retain(|stream| stream.len() <= 1500 && is_new(&run(stream), &mut seen));
    let lines: Vec<String> = corpus.iter().map(|stream| hex(stream) + "\n").collect();
    std::fs::write(corpus_file(), lines.concat()).expect("the corpus is written");
}
