//! Queries of up to 2,000 parts, whose weights clients round to six digits. They are parsed from the bytes of
//! their requests and played through the reducer and the decision module without sockets.

use std::fmt::Write;

use oorandom::Rand64;
use pewterwharf::interface::SearcherStatus;
use pewterwharf_mixer::discovery::{Entry, List};
use pewterwharf_mixer::frame::{Frame, Verdict};
use pewterwharf_mixer::http::{RequestKind, ScanRequest, parse_request};
use pewterwharf_mixer::inputs::{Effect, Input, TimedInput};
use pewterwharf_mixer::reducer::Reducer;
use pewterwharf_terms::MixerConfig;
use serde_json::json;

const START_MS: f64 = 1_700_000_000_000.0;
/// The time after which a searcher answers.
const ANSWER_DELAY_MS: f64 = 5.0;
const MAX_PARTS: usize = 2000;
/// The weight that the table type `most` needs.
const NEEDED_WEIGHT_OF_MOST: f64 = 0.67;
const CLIENT: u64 = 1;

/// Every number of parts up to 64, where rounding begins to matter, and some up to the maximum.
fn part_counts() -> impl Iterator<Item = usize> {
    (1..=64).chain((65..=330).step_by(7)).chain((331..MAX_PARTS).step_by(331)).chain([MAX_PARTS])
}

/// A mixer with one warm searcher, which receives all parts of a query in one call.
fn start_mixer() -> Reducer {
    let table_type = |name: &str| {
        json!({"name": name, "idempotency": "pure", "points": 1.0, "slo_ms": 800.0, "hard_limit_ms": 2000.0,
               "late_worth": 0.3})
    };
    let settings = json!({
        "services": [table_type("all"), table_type("most")],
        "family_info": {"positions": 1, "in_a_row": 1, "ranges": MAX_PARTS, "bundle_max": MAX_PARTS,
            "class_need": [1.0, NEEDED_WEIGHT_OF_MOST]},
        "permissions": {"cancel": true, "probing": true, "parallel_tries": true, "max_attempts": 3, "multiplex": 32,
            "retry_after": false},
        "rules": {"cold_from": 0.2, "warm_after_ms": 10_000.0, "tip_multiple": 2.0, "fall_ms": 1000.0},
        "peers_total": 1, "zone": 0, "zones": ["hall"],
    });
    let mut mixer = Reducer::new(MixerConfig::from_json(&settings).expect("valid settings"), 7, 256);
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
    let inputs = vec![Input::List { watch: 0, list }, Input::ClientConnected { connection_id: CLIENT }];
    mixer.step(START_MS, inputs.into_iter().map(|input| TimedInput { at: START_MS, input }).collect());
    mixer
}

fn equal_weights(parts: usize) -> Vec<f64> {
    vec![1.0 / parts as f64; parts]
}

fn random_weights(parts: usize) -> Vec<f64> {
    let mut random = Rand64::new(parts as u128);
    let shares: Vec<f64> = (0..parts).map(|_| 0.3 + random.rand_float()).collect();
    let sum: f64 = shares.iter().sum();
    shares.into_iter().map(|share| share / sum).collect()
}

/// Parses a request as a client writes it.
fn parse_scan(table_type: &str, weights: &[f64]) -> ScanRequest {
    let mut parts = String::new();
    for (shard, weight) in weights.iter().enumerate() {
        let comma = if shard == 0 { "" } else { "," };
        write!(parts, "{comma}{{\"id\":{shard},\"w\":{weight:.6}}}").expect("writing to a string succeeds");
    }
    let body = format!("{{\"expr\":\"find\",\"parts\":[{parts}]}}");
    let bytes = format!(
        "POST /{table_type} HTTP/1.1\r\nReq-Id: q1\r\nReq-Deadline-Ms: 2000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    match parse_request(bytes.as_bytes()).expect("a complete request").kind {
        RequestKind::Scan(scan) => scan,
        other => panic!("{} parts: {other:?}", weights.len()),
    }
}

/// The result of a query.
struct QueryResult {
    /// The shards of the parts that were sent.
    sent_shards: Vec<usize>,
    /// Whether the answer is marked as exact; `None` if there was no answer.
    exact: Option<bool>,
}

/// Plays a query whose parts are all answered, except for this many of the last ones.
fn play_query(table_type: &str, weights: &[f64], unanswered: usize) -> QueryResult {
    let mut mixer = start_mixer();
    let kind = RequestKind::Scan(parse_scan(table_type, weights));
    let request = Input::Request { connection_id: CLIENT, kind, close: false };
    let effects = mixer.step(START_MS, vec![TimedInput { at: START_MS, input: request }]);
    let opened_link = effects.iter().find_map(|effect| match effect {
        Effect::Connect { link, .. } => Some(*link),
        _ => None,
    });
    let link =
        opened_link.unwrap_or_else(|| panic!("{} parts: nothing was sent, {effects:?}", weights.len()));
    mixer.step(START_MS, vec![TimedInput { at: START_MS, input: Input::LinkUp { link } }]);
    let mut sent_shards = Vec::new();
    while let Some(frame) = mixer.next_frame(START_MS, link, &[]) {
        sent_shards.extend(shards_of_call(&frame.bytes));
    }
    sent_shards.sort_unstable();
    let answer = |shard: &usize| Frame::Part {
        id: format!("q1.{shard}"),
        verdict: Verdict::Ok,
        value: "v".to_owned(),
        busy: None,
    };
    let frames = sent_shards[..sent_shards.len() - unanswered].iter().map(answer).collect();
    let answered_at = START_MS + ANSWER_DELAY_MS;
    let answers = Input::Frames { link, frames, error: None };
    let effects = mixer.step(answered_at, vec![TimedInput { at: answered_at, input: answers }]);
    let exact = effects.into_iter().find_map(|effect| match effect {
        Effect::Answer { bytes, .. } => {
            let text = String::from_utf8(bytes).expect("the answer is text");
            assert!(text.starts_with("HTTP/1.1 200"), "{} parts: {text}", weights.len());
            Some(text.contains("\"exact\":true"))
        }
        _ => None,
    });
    QueryResult { sent_shards, exact }
}

/// The shards of the parts in a frame.
fn shards_of_call(bytes: &[u8]) -> Vec<usize> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let shard_after_id = |(at, _): (usize, &str)| {
        let digits = text[at + "q1.".len()..].split(' ').next()?;
        digits.parse().ok()
    };
    text.match_indices("q1.").filter_map(shard_after_id).collect()
}

/// Guards against rounded weights whose sum is below one: a scan whose parts are all answered would not count
/// as whole.
#[test]
fn complete_with_all_parts() {
    for parts in part_counts() {
        for weights in [equal_weights(parts), random_weights(parts)] {
            let result = play_query("all", &weights, 0);
            assert_eq!((result.sent_shards.len(), result.exact), (parts, Some(true)), "{parts} parts");
        }
    }
}

/// Guards against a tolerance for rounded weights that counts a scan as whole without its last part.
#[test]
fn one_part_missing() {
    for parts in part_counts() {
        for weights in [equal_weights(parts), random_weights(parts)] {
            assert_eq!(play_query("all", &weights, 1).exact, None, "{parts} parts");
        }
    }
}

#[test]
fn complete_with_needed_weight() {
    for parts in part_counts() {
        // The error of the rounded weights.
        let rounding = 1e-5 + 5e-7 * parts as f64;
        for weights in [equal_weights(parts), random_weights(parts)] {
            let QueryResult { sent_shards, exact } = play_query("most", &weights, 0);
            let sum: f64 = sent_shards.iter().map(|shard| weights[*shard]).sum();
            assert!(
                exact == Some(true) && sum >= NEEDED_WEIGHT_OF_MOST - rounding,
                "{parts} parts: {sum} sent"
            );
            let last_weight = sent_shards.last().map_or(0.0, |shard| weights[*shard]);
            let exact_without_last = play_query("most", &weights, 1).exact;
            assert!(
                exact_without_last.is_none() || sum - last_weight >= NEEDED_WEIGHT_OF_MOST - rounding,
                "{parts} parts"
            );
        }
    }
}

/// The tolerance for rounded weights must not accept weights that are wrong.
#[test]
fn wrong_sum_of_weights() {
    for parts in [2, 24, 320, MAX_PARTS] {
        let mut weights = equal_weights(parts);
        weights[0] += 0.01;
        let body: Vec<_> =
            weights.iter().enumerate().map(|(shard, weight)| json!({"id": shard, "w": weight})).collect();
        let body = json!({"expr": "find", "parts": body}).to_string();
        let head = "POST /all HTTP/1.1\r\nReq-Id: q1\r\nReq-Deadline-Ms: 2000\r\nContent-Length:";
        let bytes = format!("{head} {}\r\n\r\n{body}", body.len());
        let parsed = parse_request(bytes.as_bytes()).expect("a complete request").kind;
        assert!(matches!(parsed, RequestKind::Unusable(400, _)), "{parts} parts: {parsed:?}");
    }
}
