//! Queries of up to 2,000 parts whose weights come rounded to six digits, as clients write them, read from the bytes of their
//! request and played through reducer and module without a socket.

use std::fmt::Write;

use oorandom::Rand64;
use pewterwharf::interface::SearcherStatus;
use pewterwharf_mixer::discovery::{Entry, List};
use pewterwharf_mixer::frame::{Frame, Verdict};
use pewterwharf_mixer::http::{Ask, ScanAsk, parse_request};
use pewterwharf_mixer::inputs::{Effect, Input};
use pewterwharf_mixer::reducer::Reducer;
use pewterwharf_terms::MixerConfig;
use serde_json::json;

const START: f64 = 1_700_000_000_000.0;
const MOST_PARTS: usize = 2000;
const NEED_OF_MOST: f64 = 0.67;
const CLIENT: u64 = 1;

/// Every count up to 64, where the rounding begins to matter, and some up to the most.
fn counts() -> impl Iterator<Item = usize> {
    (1..=64).chain((65..=330).step_by(7)).chain((331..MOST_PARTS).step_by(331)).chain([MOST_PARTS])
}

/// A mixer before one warm searcher, which takes all parts of a query in one call.
fn mixer() -> Reducer {
    let class = |name: &str| {
        json!({"name": name, "idempotency": "pure", "points": 1.0, "slo_ms": 800.0, "hard_limit_ms": 2000.0,
               "late_worth": 0.3})
    };
    let settings = json!({
        "services": [class("all"), class("most")],
        "family_info": {"positions": 1, "in_a_row": 1, "ranges": MOST_PARTS, "bundle_max": MOST_PARTS,
            "class_need": [1.0, NEED_OF_MOST]},
        "permissions": {"cancel": true, "probing": true, "parallel_tries": true, "max_attempts": 3, "multiplex": 32,
            "retry_after": false},
        "rules": {"cold_from": 0.2, "warm_after_ms": 10_000.0, "tip_multiple": 2.0, "fall_ms": 1000.0},
        "peers_total": 1, "zone": 0, "zones": ["hall"],
    });
    let mut mixer = Reducer::new(MixerConfig::from_json(&settings).expect("good settings"), 7, 256);
    let searcher = Entry {
        name: "s1".to_owned(),
        addr: std::net::SocketAddrV4::new([10, 0, 0, 1].into(), 80),
        zone: "hall".to_owned(),
        cell: 0,
        since: 0.0,
        life: SearcherStatus::Ready,
        age_ms: 0.0,
    };
    let list = List { index: 1, whole: true, entries: vec![searcher], bad: Vec::new() };
    let inputs = vec![Input::List { watch: 0, list }, Input::ClientConnected { conn: CLIENT }];
    mixer.step(START, inputs.into_iter().map(|input| (START, input)).collect());
    mixer
}

fn equal(parts: usize) -> Vec<f64> {
    vec![1.0 / parts as f64; parts]
}

fn unequal(parts: usize) -> Vec<f64> {
    let mut seed = Rand64::new(parts as u128);
    let shares: Vec<f64> = (0..parts).map(|_| 0.3 + seed.rand_float()).collect();
    let sum: f64 = shares.iter().sum();
    shares.into_iter().map(|share| share / sum).collect()
}

/// The request as a client writes it.
fn read(class: &str, weights: &[f64]) -> ScanAsk {
    let mut parts = String::new();
    for (shard, weight) in weights.iter().enumerate() {
        let comma = if shard == 0 { "" } else { "," };
        write!(parts, "{comma}{{\"id\":{shard},\"w\":{weight:.6}}}").expect("a string takes all");
    }
    let body = format!("{{\"expr\":\"find\",\"parts\":[{parts}]}}");
    let bytes = format!(
        "POST /{class} HTTP/1.1\r\nReq-Id: q1\r\nReq-Deadline-Ms: 2000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    match parse_request(bytes.as_bytes()).expect("a whole request").ask {
        Ask::Scan(ask) => ask,
        other => panic!("{} parts: {other:?}", weights.len()),
    }
}

/// What became of a query.
struct Played {
    /// The shards that its parts were sent for.
    sent: Vec<usize>,
    /// Whether its client got an answer, and whether that says that it is whole.
    exact: Option<bool>,
}

/// Answers all parts that were sent but for so many of the last ones.
fn play(class: &str, weights: &[f64], unanswered: usize) -> Played {
    let mut mixer = mixer();
    let ask = Ask::Scan(read(class, weights));
    let effects = mixer.step(START, vec![(START, Input::Request { conn: CLIENT, ask, close: false })]);
    let connected = effects.iter().find_map(|effect| match effect {
        Effect::Connect { link, .. } => Some(*link),
        _ => None,
    });
    let link = connected.unwrap_or_else(|| panic!("{} parts: nothing was sent, {effects:?}", weights.len()));
    mixer.step(START, vec![(START, Input::LinkUp { link })]);
    let mut sent = Vec::new();
    while let Some(frame) = mixer.next_frame(START, link, &[]) {
        sent.extend(shards(&frame.bytes));
    }
    sent.sort_unstable();
    let frame = |shard: &usize| Frame::Part {
        id: format!("q1.{shard}"),
        verdict: Verdict::Ok,
        value: "v".to_owned(),
        busy: None,
    };
    let frames = sent[..sent.len() - unanswered].iter().map(frame).collect();
    let effects = mixer.step(START + 5.0, vec![(START + 5.0, Input::Frames { link, frames, error: None })]);
    let exact = effects.into_iter().find_map(|effect| match effect {
        Effect::Answer { bytes, .. } => {
            let text = String::from_utf8(bytes).expect("an answer is text");
            assert!(text.starts_with("HTTP/1.1 200"), "{} parts: {text}", weights.len());
            Some(text.contains("\"exact\":true"))
        }
        _ => None,
    });
    Played { sent, exact }
}

/// The shards of the parts of a frame.
fn shards(bytes: &[u8]) -> Vec<usize> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let after_id = |(at, _): (usize, &str)| {
        let digits = text[at + "q1.".len()..].split(' ').next()?;
        digits.parse().ok()
    };
    text.match_indices("q1.").filter_map(after_id).collect()
}

#[test]
fn class_that_needs_all_parts_is_whole_with_the_last_one() {
    for parts in counts() {
        for weights in [equal(parts), unequal(parts)] {
            let played = play("all", &weights, 0);
            assert_eq!((played.sent.len(), played.exact), (parts, Some(true)), "{parts} parts");
        }
    }
}

#[test]
fn class_that_needs_all_parts_is_not_answered_one_part_short() {
    for parts in counts() {
        for weights in [equal(parts), unequal(parts)] {
            assert_eq!(play("all", &weights, 1).exact, None, "{parts} parts");
        }
    }
}

#[test]
fn partial_class_is_whole_with_the_parts_that_make_up_its_need() {
    for parts in counts() {
        // What the written weights may be off by.
        let rounding = 1e-5 + 5e-7 * parts as f64;
        for weights in [equal(parts), unequal(parts)] {
            let Played { sent, exact } = play("most", &weights, 0);
            let sum: f64 = sent.iter().map(|shard| weights[*shard]).sum();
            assert!(exact == Some(true) && sum >= NEED_OF_MOST - rounding, "{parts} parts: {sum} sent");
            let last = sent.last().map_or(0.0, |shard| weights[*shard]);
            let answered = play("most", &weights, 1).exact;
            assert!(answered.is_none() || sum - last >= NEED_OF_MOST - rounding, "{parts} parts");
        }
    }
}

#[test]
fn weights_that_come_to_another_sum_are_refused() {
    for parts in [2, 24, 320, MOST_PARTS] {
        let mut weights = equal(parts);
        weights[0] += 0.01;
        let body: Vec<_> = weights.iter().enumerate().map(|(id, w)| json!({"id": id, "w": w})).collect();
        let body = json!({"expr": "find", "parts": body}).to_string();
        let head = "POST /all HTTP/1.1\r\nReq-Id: q1\r\nReq-Deadline-Ms: 2000\r\nContent-Length:";
        let bytes = format!("{head} {}\r\n\r\n{body}", body.len());
        let read = parse_request(bytes.as_bytes()).expect("a whole request").ask;
        assert!(matches!(read, Ask::Unusable(400, _)), "{parts} parts: {read:?}");
    }
}
