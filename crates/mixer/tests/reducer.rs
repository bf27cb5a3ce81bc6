//! Traces of the reducer: inputs and the resulting effects, without sockets.

use std::fmt::Write;

use insta::assert_snapshot;
use pewterwharf::interface::{Event, PeerReport, SearcherStatus};
use pewterwharf_mixer::discovery::{Entry, List};
use pewterwharf_mixer::frame::{self, Frame, FrameError, Verdict};
use pewterwharf_mixer::http::{PartRequest, RequestKind, ScanRequest};
use pewterwharf_mixer::inputs::{Effect, Input, Phase, TimedInput};
use pewterwharf_mixer::reducer::Reducer;
use pewterwharf_terms::{ConfigChange, MixerConfig};
use serde_json::json;

const START_MS: f64 = 1_700_000_000_000.0;

/// A reducer with a simulated clock, and a trace of its effects.
struct Harness {
    reducer: Reducer,
    now_ms: f64,
    trace: String,
}

/// Settings with three table types: `all` needs every part, `most` half of them, `once` must not be executed
/// twice.
fn settings() -> serde_json::Value {
    let table_type = |name: &str, idempotency: &str| {
        json!({"name": name, "idempotency": idempotency, "points": 1.0, "slo_ms": 800.0, "hard_limit_ms": 2000.0,
               "late_worth": 0.3})
    };
    json!({
        "services": [table_type("all", "pure"), table_type("most", "pure"), table_type("once", "side_effect")],
        "customers": [{"name": "acme", "quota_per_s": 50.0}],
        "family_info": {"positions": 1, "in_a_row": 1, "ranges": 8, "class_need": [1.0, 0.5, 1.0]},
        "permissions": {"cancel": true, "probing": true, "parallel_tries": true, "max_attempts": 3,
            "retry_after": true, "max_retry_after_ms": 1000.0, "open_cap": 20, "multiplex": 2},
        "rules": {"cold_from": 0.2, "warm_after_ms": 10_000.0, "tip_multiple": 2.0, "fall_ms": 1000.0},
        "peers_total": 1, "zone": 0, "zones": ["hall"],
    })
}

/// The entry of the nth searcher.
fn entry(nth: u8, life: SearcherStatus, since: f64) -> Entry {
    let addr = std::net::SocketAddrV4::new([10, 0, 0, nth].into(), 80);
    Entry { name: format!("s{nth}"), addr, zone: "hall".into(), cell: 0, since, life, age_ms: 0.0 }
}

/// A request for one part.
fn one_part_request() -> ScanRequest {
    ScanRequest {
        id: "q1".to_owned(),
        table_type: "all".to_owned(),
        customer: Some("acme".to_owned()),
        wait_ms: 2000.0,
        retry: false,
        text: "find".to_owned(),
        parts: vec![PartRequest { shard: 0, weight: 1.0, work_ms: None }],
    }
}

impl Harness {
    /// Starts with this many warm searchers and one client.
    fn new(searchers: u8) -> Self {
        Self::with_settings(&settings(), searchers, 256)
    }

    fn with_settings(settings: &serde_json::Value, searchers: u8, sockets: usize) -> Self {
        let config = MixerConfig::from_json(settings).expect("valid settings");
        let mut harness =
            Self { reducer: Reducer::new(config, 7, sockets), now_ms: START_MS, trace: String::new() };
        harness
            .update_list(true, (1..=searchers).map(|nth| entry(nth, SearcherStatus::Ready, 0.0)).collect());
        harness.input(Input::ClientConnected { connection_id: 1 });
        harness
    }

    /// A list from the first watch.
    fn update_list(&mut self, whole: bool, entries: Vec<Entry>) {
        self.update_list_from(0, whole, entries);
    }

    fn update_list_from(&mut self, watch: u64, whole: bool, entries: Vec<Entry>) {
        self.input(Input::List { watch, list: List { index: 1, whole, entries, bad: Vec::new() } });
    }

    fn input(&mut self, input: Input) {
        self.step(vec![TimedInput { at: self.now_ms, input }]);
    }

    fn step(&mut self, inputs: Vec<TimedInput>) {
        for effect in self.reducer.step(self.now_ms, inputs) {
            let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).replace("\r\n", " ").replace('\n', " ");
            let line = match effect {
                Effect::Answer { connection_id, bytes, last } => {
                    let bytes = text(&bytes).replace("HTTP/1.1 ", "").replace("Content-", "");
                    format!(
                        "client {connection_id}: {}{}",
                        bytes.trim_end(),
                        if last { " (last)" } else { "" }
                    )
                }
                Effect::CloseClient { connection_id } => format!("client {connection_id}: hang up"),
                Effect::ReleaseClient { connection_id } => format!("client {connection_id}: let go"),
                Effect::Connect { link, address } => format!("link {link}: connect to {address}"),
                Effect::Send { link } => match self.reducer.next_frame(self.now_ms, link, &[]) {
                    Some(frame) => format!("link {link}: {}", text(&frame.bytes[4..])),
                    None => continue,
                },
                Effect::RetryWrite { link } => format!("link {link}: try again"),
                Effect::CloseLink { link } => format!("link {link}: close"),
                Effect::StopListening => "stop listening".to_owned(),
                Effect::StartWatch { number, address } => format!("watch {number} at {address}"),
                Effect::WatchActivated { watch } => format!("watch {watch} is gone by"),
                Effect::PrintCounters(text) => text,
            };
            writeln!(self.trace, "{:>5} {line}", self.now_ms - START_MS)
                .expect("writing to a string succeeds");
        }
        // A call that was not sent after all is handled at once.
        if self.reducer.next_timer_at().is_some_and(|due_ms| due_ms <= self.now_ms) {
            self.step(Vec::new());
        }
    }

    /// Advances the clock from timer to timer.
    fn advance(&mut self, ms: f64) {
        let end_ms = self.now_ms + ms;
        while let Some(due_ms) = self.reducer.next_timer_at().filter(|due_ms| *due_ms <= end_ms) {
            self.now_ms = self.now_ms.max(due_ms);
            self.step(Vec::new());
        }
        self.now_ms = end_ms;
    }

    /// A client sends a request for the first shards.
    fn send_request(&mut self, connection_id: u64, table_type: &str, id: &str, parts: u32) {
        let weight = 1.0 / f64::from(parts);
        let parts = (0..parts).map(|shard| PartRequest { shard, weight, work_ms: None }).collect();
        let scan =
            ScanRequest { id: id.to_owned(), table_type: table_type.to_owned(), parts, ..one_part_request() };
        self.input(Input::Request { connection_id, kind: RequestKind::Scan(scan), close: false });
    }

    /// The link that was opened last.
    fn last_link(&self) -> u64 {
        let line =
            self.trace.lines().rev().find_map(|line| line.split("link ").nth(1)?.split_once(": connect"));
        line.and_then(|(number, _)| number.parse().ok()).unwrap_or_default()
    }

    /// A searcher answers a part.
    fn send_answer(&mut self, link: u64, id: &str, verdict: Verdict, value: &str) {
        let frame = Frame::Part { id: id.to_owned(), verdict, value: value.to_owned(), busy: None };
        self.input(Input::Frames { link, frames: vec![frame], error: None });
    }

    /// The trace since the last call, and the counters that are not zero. Counters by table type have a test
    /// of their own.
    fn trace_and_counters(&mut self) -> String {
        let counters = self.reducer.counters().to_string();
        let nonzero: Vec<&str> =
            counters.lines().filter(|line| !line.ends_with(" 0") && !line.contains('{')).collect();
        format!("{}{}", std::mem::take(&mut self.trace), nonzero.join(", "))
    }
}

#[test]
fn counters_by_table_type() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "all", "q1", 2);
    let counters = harness.reducer.counters();
    let counters_of = |name: &str| {
        counters.by_type.iter().find(|counts| counts.name == name).cloned().expect("a configured table type")
    };
    assert_eq!(counters_of("all").taken, 1);
    assert!(counters.by_type.iter().filter(|counts| counts.name != "all").all(|counts| counts.taken == 0));
    assert!(counters.to_string().contains("scans_taken{table_type=\"all\"} 1"), "{counters}");
    harness.input(Input::ClientDisconnected { connection_id: 1 });
    let counters = harness.reducer.counters();
    let all = counters.by_type.iter().find(|counts| counts.name == "all").expect("a configured table type");
    assert_eq!((all.taken, all.gone), (1, 1));
    for counts in &counters.by_type {
        let ended = counts.completed + counts.throttled + counts.abandoned + counts.gone;
        assert_eq!(counts.taken, ended, "{counts:?}");
    }
}

#[test]
fn answered_scan() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "all", "q1", 2);
    harness.input(Input::LinkUp { link: 4 });
    harness.send_answer(4, "q1.1", Verdict::Ok, "b\"1");
    harness.send_answer(4, "q1.0", Verdict::Ok, "a0");
    harness.send_answer(4, "q1.0", Verdict::Ok, "again");
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn second_link_beside_full_one() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "all", "q1", 3);
    harness.input(Input::LinkUp { link: 5 });
    harness.input(Input::ClientConnected { connection_id: 2 });
    harness.send_answer(5, "q1.0", Verdict::Ok, "a");
    harness.send_request(2, "all", "q2", 1);
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn retry_of_failed_part() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "all", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.send_answer(3, "q1.0", Verdict::Error, "");
    harness.send_answer(3, "q1.0", Verdict::Ok, "a");
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn duplicate_request_id() {
    // An answer is assigned to its part by name only: two clients with the same request id must not get each
    // other's answers.
    let mut harness = Harness::new(1);
    harness.input(Input::ClientConnected { connection_id: 2 });
    harness.send_request(1, "all", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.send_request(2, "all", "q1", 1);
    harness.send_answer(3, "q1.0", Verdict::Ok, "the first");
    harness.send_request(2, "all", "q1", 1);
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn answer_after_scan_end() {
    let mut settings = settings();
    settings["services"][0]["late_worth"] = json!(0.0);
    let mut harness = Harness::with_settings(&settings, 2, 256);
    harness.send_request(1, "all", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.advance(2000.0);
    harness.send_answer(3, "q1.0", Verdict::Ok, "late");
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn rule_1_scan_end_before_deadline() {
    let mut harness = Harness::new(2);
    harness.send_request(1, "all", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.advance(2100.0);
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn rule_1_after_machine_pause() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "once", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.now_ms += 5000.0;
    harness.step(Vec::new());
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn rule_2_written_parts_may_have_run() {
    // The whole frame was written: the part may have been executed, and is not sent again.
    let mut harness = Harness::new(2);
    harness.send_request(1, "once", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.input(Input::LinkClosed { link: 3, frames_written: 1 });
    let mut trace = harness.trace_and_counters();
    // The frame was not written: the part is sent to another searcher. The same holds for a connection that
    // was never established.
    let mut harness = Harness::new(3);
    harness.send_request(1, "once", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.input(Input::LinkClosed { link: 3, frames_written: 0 });
    harness.input(Input::LinkClosed { link: 4, frames_written: 0 });
    write!(trace, "\n\n{}", harness.trace_and_counters()).expect("writing to a string succeeds");
    assert_snapshot!(trace);
}

#[test]
fn rule_3_pending_call_to_draining_searcher() {
    let mut harness = Harness::new(2);
    harness.send_request(1, "all", "q1", 1);
    harness.update_list(
        false,
        vec![entry(1, SearcherStatus::Draining, 0.0), entry(2, SearcherStatus::Draining, 0.0)],
    );
    harness.input(Input::LinkUp { link: 3 });
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn rule_4_cold_searcher_allowance() {
    let mut harness = Harness::new(1);
    // A new process waits for a window, until calls that an earlier process may have sent have ended.
    harness.advance(1500.0);
    harness.update_list(true, vec![entry(1, SearcherStatus::Ready, START_MS + 1400.0)]);
    harness.input(Input::ClientConnected { connection_id: 2 });
    harness.send_request(1, "all", "q1", 3);
    harness.send_request(2, "all", "q2", 3);
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn rule_5_partial_answer() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "most", "q1", 3);
    harness.input(Input::LinkUp { link: 5 });
    harness.send_answer(5, "q1.0", Verdict::Full, "");
    harness.send_answer(5, "q1.1", Verdict::Ok, "b");
    harness.advance(1.0);
    harness.send_answer(5, "q1.2", Verdict::Ok, "c");
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn rule_6_dispatch_budget() {
    let mut settings = settings();
    settings["rules"]["repeat_ratio"] = json!(0.0);
    settings["rules"]["free_resends"] = json!(1);
    settings["rules"]["extra_window_ms"] = json!(2000.0);
    let mut harness = Harness::with_settings(&settings, 3, 256);
    harness.send_request(1, "all", "q1", 2);
    for (link, id) in [(4, "q1.1"), (6, "q1.0")] {
        harness.input(Input::LinkUp { link });
        harness.send_answer(link, id, Verdict::Full, "");
    }
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn client_disconnect() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "all", "q1", 2);
    harness.input(Input::LinkUp { link: 4 });
    harness.input(Input::ClientDisconnected { connection_id: 1 });
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn probe_without_connection() {
    // Whichever timer expires first: the decision module treats a searcher that refused connections as cold
    // once it is back.
    let mut harness = Harness::new(1);
    harness.send_request(1, "all", "q1", 1);
    harness.input(Input::LinkClosed { link: 3, frames_written: 0 });
    harness.advance(260.0);
    harness.input(Input::LinkClosed { link: 5, frames_written: 0 });
    harness.advance(300.0);
    harness.input(Input::LinkUp { link: 8 });
    harness.input(Input::Frames { link: 8, frames: vec![Frame::Probe(Some(Verdict::Ok))], error: None });
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn silently_cut_link() {
    // The searcher is marked for late parts. A probe on the cut link times out, and the next probe uses a new
    // link.
    let mut settings = settings();
    settings["permissions"]["multiplex"] = json!(3);
    let mut harness = Harness::with_settings(&settings, 1, 256);
    harness.send_request(1, "all", "q1", 3);
    harness.input(Input::LinkUp { link: 5 });
    harness.advance(1700.0);
    harness.input(Input::LinkUp { link: 10 });
    harness.input(Input::Frames { link: 10, frames: vec![Frame::Probe(Some(Verdict::Ok))], error: None });
    harness.advance(300.0);
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn unusable_frame() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "all", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.input(Input::Frames {
        link: 3,
        frames: vec![Frame::Unusable("no such shard".to_owned())],
        error: None,
    });
    harness.input(Input::LinkClosed { link: 3, frames_written: 1 });
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn idle_link() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "all", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.send_answer(3, "q1.0", Verdict::Ok, "a");
    harness.advance(15_000.0);
    harness.input(Input::LinkClosed { link: 3, frames_written: 1 });
    harness.send_request(1, "all", "q2", 1);
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn searcher_address_change() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "all", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.send_answer(3, "q1.0", Verdict::Ok, "a");
    let mut moved = entry(1, SearcherStatus::Ready, 0.0);
    moved.addr.set_port(81);
    harness.update_list(false, vec![moved]);
    harness.input(Input::LinkClosed { link: 3, frames_written: 1 });
    harness.send_request(1, "all", "q2", 1);
    harness.update_list(true, Vec::new());
    harness.send_request(1, "all", "q3", 1);
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn unusable_requests() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "none", "q1", 1);
    harness.send_request(1, "all", "q2", 9);
    harness.input(Input::Request {
        connection_id: 1,
        kind: RequestKind::Unusable(400, "no parts".to_owned()),
        close: true,
    });
    harness.input(Input::ClientConnected { connection_id: 2 });
    harness.send_request(2, "all", "q3", 8);
    harness.input(Input::ClientConnected { connection_id: 3 });
    harness.send_request(3, "all", "q4", 8);
    harness.input(Input::ClientConnected { connection_id: 4 });
    harness.send_request(4, "all", "q5", 8);
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn eviction_of_idle_clients() {
    let mut harness = Harness::with_settings(&settings(), 1, 32);
    harness.advance(1.0);
    harness.input(Input::ClientConnected { connection_id: 2 });
    harness.input(Input::ClientConnected { connection_id: 3 });
    harness.send_request(1, "all", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.send_answer(3, "q1.0", Verdict::Ok, "a");
    harness.input(Input::ClientDisconnected { connection_id: 1 });
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn disconnect_while_closing() {
    let mut harness = Harness::with_settings(&settings(), 1, 32);
    harness.advance(1.0);
    harness.input(Input::ClientConnected { connection_id: 2 });
    harness.input(Input::ClientConnected { connection_id: 3 });
    // The request crossed the close of the connection. The client leaves while the link is being established.
    harness.send_request(1, "all", "q1", 1);
    harness.input(Input::ClientDisconnected { connection_id: 1 });
    harness.input(Input::LinkUp { link: 3 });
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn link_end_before_sends() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "all", "q1", 1);
    // The link is established and the client leaves in the same step. Then the link ends: no new call may be
    // sent on it.
    harness.step(vec![
        TimedInput { at: harness.now_ms, input: Input::LinkUp { link: 3 } },
        TimedInput { at: harness.now_ms, input: Input::ClientDisconnected { connection_id: 1 } },
    ]);
    harness.input(Input::ClientConnected { connection_id: 2 });
    let kind = RequestKind::Scan(ScanRequest { id: "q2".to_owned(), ..one_part_request() });
    let request = Input::Request { connection_id: 2, kind, close: false };
    harness.step(vec![
        TimedInput { at: harness.now_ms, input: request },
        TimedInput { at: harness.now_ms, input: Input::LinkClosed { link: 3, frames_written: 0 } },
    ]);
    assert_snapshot!(harness.trace_and_counters());
}

/// Guards against the close of a client that still sends after its last answer during a drain, which would
/// reset its connection. Without a drain, such a client is closed.
#[test]
fn sending_client_during_drain() {
    for (is_draining, client_closes) in [(true, true), (true, false), (false, false)] {
        let mut harness = Harness::new(1);
        if is_draining {
            harness.input(Input::Stop);
        }
        harness.input(Input::Request { connection_id: 1, kind: RequestKind::Counters, close: true });
        harness.input(Input::DataAfterLastAnswer { connection_id: 1 });
        harness.advance(300.0);
        assert_eq!(harness.trace.contains("client 1: hang up"), !is_draining);
        if !is_draining {
            continue;
        }
        harness.advance(300.0);
        harness.input(Input::ListenerClosed);
        harness.advance(1900.0);
        assert!(matches!(harness.reducer.phase(), Phase::Draining { .. }));
        if client_closes {
            harness.input(Input::ClientDisconnected { connection_id: 1 });
        } else {
            harness.advance(100.0);
        }
        assert_eq!(harness.reducer.phase(), Phase::Closed);
    }
}

/// Guards against a drain that ends while an answer is still being written, or that waits for it longer than
/// the platform does.
#[test]
fn exit_with_unwritten_answer() {
    for is_written in [true, false] {
        let mut harness = Harness::new(1);
        harness.input(Input::Request { connection_id: 1, kind: RequestKind::Counters, close: false });
        harness.input(Input::AnswerDelayed { connection_id: 1 });
        harness.input(Input::Stop);
        harness.advance(600.0);
        harness.input(Input::ListenerClosed);
        harness.advance(1900.0);
        assert!(matches!(harness.reducer.phase(), Phase::Draining { .. }));
        if is_written {
            harness.input(Input::AnswerWritten { connection_id: 1 });
            harness.advance(300.0);
            assert_eq!(harness.reducer.phase(), Phase::Closed);
        } else {
            harness.advance(99.0);
            assert!(matches!(harness.reducer.phase(), Phase::Draining { .. }));
            harness.advance(1.0);
            assert_eq!(harness.reducer.phase(), Phase::Closed);
        }
    }
}

#[test]
fn requests_during_drain() {
    let mut harness = Harness::new(1);
    harness.input(Input::ClientConnected { connection_id: 2 });
    harness.send_request(1, "all", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.input(Input::Stop);
    harness.input(Input::ClientDisconnected { connection_id: 2 });
    harness.input(Input::ClientConnected { connection_id: 3 });
    harness.send_request(3, "all", "q2", 1);
    harness.send_answer(3, "q2.0", Verdict::Ok, "b");
    harness.input(Input::ClientDisconnected { connection_id: 3 });
    harness.advance(700.0);
    assert!(matches!(harness.reducer.phase(), Phase::Draining { .. }));
    harness.send_answer(3, "q1.0", Verdict::Ok, "a");
    harness.input(Input::ClientDisconnected { connection_id: 1 });
    // A client that is still in the accept queue may have sent a request.
    assert!(matches!(harness.reducer.phase(), Phase::Draining { .. }));
    harness.input(Input::ListenerClosed);
    assert_eq!(harness.reducer.phase(), Phase::Closed);
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn second_stop() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "all", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.input(Input::Stop);
    harness.input(Input::Stop);
    harness.input(Input::ListenerClosed);
    harness.advance(400.0);
    assert_eq!(harness.reducer.phase(), Phase::Closed);
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn cached_list_after_restart() {
    let config = MixerConfig::from_json(&settings()).expect("valid settings");
    let mut harness =
        Harness { reducer: Reducer::new(config, 7, 256), now_ms: START_MS, trace: String::new() };
    let known = vec![entry(1, SearcherStatus::Ready, 0.0), entry(2, SearcherStatus::Ready, 0.0)];
    harness
        .reducer
        .set_cached_list(START_MS, List { index: 1, whole: true, entries: known, bad: Vec::new() });
    // Discovery's list counts as known to the mixer from its start on: it sends nothing until discovery has
    // had time to send a newer list, which it may be slow to do.
    harness.advance(3999.0);
    assert_eq!(harness.reducer.phase(), Phase::Starting);
    harness.advance(1.0);
    assert_eq!(harness.reducer.phase(), Phase::Ready);
    harness.input(Input::ClientConnected { connection_id: 1 });
    harness.send_request(1, "all", "q1", 1);
    // The chosen searcher is no longer on the list: the call that still waits for a connection goes to its
    // replica.
    harness.update_list(true, vec![entry(1, SearcherStatus::Ready, 0.0)]);
    harness.input(Input::LinkUp { link: 3 });
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn outdated_cached_list() {
    let config = MixerConfig::from_json(&settings()).expect("valid settings");
    let mut harness =
        Harness { reducer: Reducer::new(config, 7, 256), now_ms: START_MS, trace: String::new() };
    let known = vec![entry(1, SearcherStatus::Ready, 0.0), entry(2, SearcherStatus::Ready, 0.0)];
    harness
        .reducer
        .set_cached_list(START_MS, List { index: 1, whole: true, entries: known, bad: Vec::new() });
    harness.input(Input::ClientConnected { connection_id: 1 });
    harness.send_request(1, "all", "q1", 1);
    // Changes relative to the cached list: both are applied together, before anything is sent.
    harness.update_list(false, vec![entry(1, SearcherStatus::Draining, 0.0)]);
    harness.send_request(1, "all", "q2", 1);
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn older_list() {
    let mut harness = Harness::new(2);
    harness.advance(1500.0); // after a start, a mixer sends nothing to cold searchers for a window
    let list = |index, whole, entries| {
        let list = List { index, whole, entries, bad: Vec::new() };
        Input::List { watch: 0, list }
    };
    harness.input(list(
        7,
        false,
        vec![entry(1, SearcherStatus::Draining, 0.0), entry(3, SearcherStatus::Ready, 0.0)],
    ));
    // This list is older than the drain and than the entry of the third searcher.
    harness.input(list(
        5,
        true,
        vec![entry(1, SearcherStatus::Ready, 0.0), entry(2, SearcherStatus::Draining, 0.0)],
    ));
    harness.send_request(1, "all", "q1", 1);
    // A new process of the first searcher counts, whatever the version of its list.
    harness.input(list(
        6,
        false,
        vec![entry(1, SearcherStatus::Ready, START_MS + 1400.0), entry(3, SearcherStatus::Draining, 0.0)],
    ));
    harness.input(Input::ClientConnected { connection_id: 2 });
    harness.send_request(2, "all", "q2", 1);
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn drain_during_watch_move() {
    let mut harness = Harness::new(1);
    let discovery = std::net::SocketAddrV4::new([10, 9, 9, 9].into(), 80);
    harness.input(Input::ConfigReloaded(Ok(ConfigChange { discovery, needs_restart: Vec::new() })));
    // The old discovery server sends the drain while the watch moves; the list of the new server is older.
    harness.update_list_from(0, false, vec![entry(1, SearcherStatus::Draining, 0.0)]);
    harness.update_list_from(1, true, vec![entry(1, SearcherStatus::Ready, 0.0)]);
    harness.send_request(1, "all", "q1", 1);
    harness.update_list_from(1, false, vec![entry(1, SearcherStatus::Ready, 0.0)]);
    harness.send_request(1, "all", "q2", 1);
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn readiness() {
    let mut harness = Harness::new(0);
    harness.input(Input::Request { connection_id: 1, kind: RequestKind::Ready, close: false });
    harness.update_list(false, vec![entry(1, SearcherStatus::Ready, 0.0)]);
    harness.input(Input::Request { connection_id: 1, kind: RequestKind::Ready, close: false });
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn watch_move_on_reload() {
    let mut harness = Harness::new(1);
    let moved = |port| {
        let discovery = std::net::SocketAddrV4::new([10, 9, 9, 9].into(), port);
        Input::ConfigReloaded(Ok(ConfigChange { discovery, needs_restart: vec!["settings"] }))
    };
    harness.input(moved(1));
    harness.input(moved(1)); // no change
    harness.input(Input::ConfigReloaded(Err("discovery=nowhere can't be read".to_owned())));
    harness.send_request(1, "all", "q1", 1); // uses the old list
    harness.input(moved(2));
    harness.update_list_from(1, true, Vec::new()); // this watch sent nothing while it was the current one
    harness.update_list_from(0, true, vec![entry(2, SearcherStatus::Ready, 0.0)]);
    harness.update_list_from(2, true, vec![entry(3, SearcherStatus::Ready, 0.0)]);
    harness.update_list_from(0, true, vec![entry(4, SearcherStatus::Ready, 0.0)]); // late
    harness.input(Input::ClientConnected { connection_id: 2 });
    harness.send_request(2, "all", "q2", 1);
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn slow_and_idle_clients() {
    let mut harness = Harness::with_settings(&settings(), 1, 36); // room for four clients; crowded from three on
    harness.send_request(1, "all", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.send_answer(3, "q1.0", Verdict::Ok, "a");
    harness.input(Input::ClientConnected { connection_id: 2 }); // sends nothing
    harness.advance(100.0);
    harness.input(Input::RequestStarted { connection_id: 1 }); // a partial request
    harness.advance(2000.0);
    for connection_id in 3..=6 {
        harness.input(Input::ClientConnected { connection_id });
        harness.send_request(connection_id, "all", &format!("q{connection_id}"), 1);
        harness.send_answer(3, &format!("q{connection_id}.0"), Verdict::Ok, "b");
    }
    harness.advance(2000.0);
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn client_eviction_order() {
    let mut harness = Harness::with_settings(&settings(), 1, 36);
    harness.send_request(1, "all", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.send_answer(3, "q1.0", Verdict::Ok, "a"); // idle for longest
    harness.advance(1.0);
    harness.input(Input::ClientConnected { connection_id: 2 });
    harness.send_request(2, "all", "q2", 1); // waits for its answer
    harness.input(Input::ClientConnected { connection_id: 3 }); // sends nothing
    harness.advance(100.0);
    harness.input(Input::ClientConnected { connection_id: 4 });
    harness.input(Input::Request {
        connection_id: 4,
        kind: RequestKind::Unusable(400, "no parts".to_owned()),
        close: true,
    });
    for connection_id in 5..=8 {
        harness.input(Input::ClientConnected { connection_id });
        harness.send_request(connection_id, "all", &format!("q{connection_id}"), 1);
    }
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn unexpected_frames() {
    let mut harness = Harness::new(2);
    harness.send_request(1, "all", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.send_answer(3, "q1.0", Verdict::Ok, "a");
    harness.send_answer(3, "q1.0", Verdict::Ok, "a second copy");
    harness.input(Input::Frames { link: 3, frames: vec![Frame::Probe(Some(Verdict::Ok))], error: None });
    harness.send_request(1, "once", "q2", 1); // uses the same link
    harness.send_answer(3, "q9.0", Verdict::Ok, "of nobody");
    harness.send_request(1, "all", "q3", 1);
    harness.input(Input::LinkClosed { link: 3, frames_written: 2 });
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn garbage_after_answer() {
    let mut harness = Harness::new(2);
    harness.input(Input::ClientConnected { connection_id: 2 });
    harness.send_request(1, "once", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    let answer =
        Frame::Part { id: "q1.0".to_owned(), verdict: Verdict::Ok, value: "a".to_owned(), busy: None };
    let error = Some(excess_text());
    // A request in the same step must not be sent on the link that is being closed.
    let scan = ScanRequest { id: "q2".to_owned(), ..one_part_request() };
    harness.step(vec![
        TimedInput {
            at: harness.now_ms,
            input: Input::Request { connection_id: 2, kind: RequestKind::Scan(scan), close: false },
        },
        TimedInput { at: harness.now_ms, input: Input::Frames { link: 3, frames: vec![answer], error } },
    ]);
    assert_snapshot!(harness.trace_and_counters());
}

/// Text behind a frame with which no frame can begin.
fn excess_text() -> FrameError {
    frame::decode(b"xxxx").expect_err("no frame begins with text")
}

/// What waits on the link of an answer that is followed by text.
#[derive(Clone, Copy, Debug)]
enum Waiting {
    Nothing,
    Part,
    PartThatWasGivenUp,
    AnsweredPartThatWasGivenUp,
    Probe,
}

/// The harness after an answer that is followed by text, with this waiting on its link.
fn answer_followed_by_text(waiting: Waiting, verdict: Verdict) -> Harness {
    let mut harness = Harness::new(1);
    harness.send_request(1, "once", "q1", 1);
    harness.input(Input::LinkUp { link: 3 });
    harness.input(Input::ClientConnected { connection_id: 2 });
    match waiting {
        Waiting::Nothing => {}
        Waiting::Part => harness.send_request(2, "once", "q2", 1),
        Waiting::PartThatWasGivenUp | Waiting::AnsweredPartThatWasGivenUp => {
            harness.send_request(2, "once", "q2", 1);
            harness.input(Input::ClientDisconnected { connection_id: 2 });
        }
        Waiting::Probe => {
            let address = entry(1, SearcherStatus::Ready, 0.0).addr;
            let report = PeerReport::Marked;
            harness.input(Input::FleetEvents(vec![Event::PeerReport { searcher: address, report }]));
        }
    }
    if matches!(waiting, Waiting::AnsweredPartThatWasGivenUp) {
        harness.send_answer(3, "q2.0", Verdict::Ok, "late");
    }
    let answer = Frame::Part { id: "q1.0".to_owned(), verdict, value: "a".to_owned(), busy: None };
    harness.input(Input::Frames { link: 3, frames: vec![answer], error: Some(excess_text()) });
    harness.input(Input::LinkClosed { link: 3, frames_written: 9 });
    harness
}

/// Guards against a cut value that is passed on as whole: text behind an answer may be the rest of its value,
/// whatever else waits on the link.
#[test]
fn text_behind_answer_by_what_waits() {
    let outcome = |waiting| {
        let mut harness = answer_followed_by_text(waiting, Verdict::Ok);
        let trace = harness.trace_and_counters();
        let answer = trace.lines().find(|line| line.contains("client 1: ")).unwrap_or("no answer").to_owned();
        format!("{waiting:?}: {answer}; {}", harness.reducer.counters().answers_doubted)
    };
    let outcomes = [
        Waiting::Nothing,
        Waiting::Part,
        Waiting::PartThatWasGivenUp,
        Waiting::AnsweredPartThatWasGivenUp,
        Waiting::Probe,
    ]
    .map(outcome);
    assert_snapshot!(outcomes.join("\n"));
}

/// Guards against a part that is repeated, or refused as one that never ran, because of a spoilt answer that says
/// so: what is spoilt may have run.
#[test]
fn text_behind_answer_that_says_never_ran() {
    let mut harness = answer_followed_by_text(Waiting::Nothing, Verdict::Full);
    assert_snapshot!(harness.trace_and_counters());
}

/// What becomes of a request before its id comes again.
#[derive(Clone, Copy, Debug)]
enum FirstRun {
    /// Its client leaves before its part is sent.
    Unsent,
    /// Its client leaves while its part is out.
    Sent,
    /// Its searcher rejects it, and says that it never ran.
    NeverRan,
    Answered,
}

/// The answer to the second request of an id, or what is sent for it.
fn second_run(table_type: &str, first_run: FirstRun) -> String {
    let mut harness = Harness::new(1);
    harness.send_request(1, table_type, "q1", 1);
    if !matches!(first_run, FirstRun::Unsent) {
        harness.input(Input::LinkUp { link: 3 });
    }
    match first_run {
        FirstRun::Unsent | FirstRun::Sent => {}
        FirstRun::NeverRan => harness.send_answer(3, "q1.0", Verdict::Full, ""),
        FirstRun::Answered => harness.send_answer(3, "q1.0", Verdict::Ok, "a"),
    }
    harness.input(Input::ClientDisconnected { connection_id: 1 });
    harness.input(Input::ClientConnected { connection_id: 2 });
    harness.trace.clear();
    harness.send_request(2, table_type, "q1", 1);
    if matches!(first_run, FirstRun::Unsent) {
        harness.input(Input::LinkUp { link: 3 });
    }
    let lines: Vec<&str> = harness.trace.lines().map(str::trim).collect();
    format!("{table_type}, {first_run:?}: {}", lines.join("; "))
}

/// Guards against a request that takes effect twice when its id comes again: after its client has left, nothing
/// but the id shows that it is the same one.
#[test]
fn id_that_comes_again() {
    let first_runs = [FirstRun::Unsent, FirstRun::Sent, FirstRun::NeverRan, FirstRun::Answered];
    let outcomes = ["once", "all"].map(|table_type| first_runs.map(|first| second_run(table_type, first)));
    assert_snapshot!(outcomes.concat().join("\n"));
}

/// Guards against memory that grows with each client that leaves while its request must not be repeated.
#[test]
fn ids_of_past_requests_are_bounded() {
    const MAX_IDS: usize = 16_384;
    let mut harness = Harness::new(1);
    harness.send_request(1, "once", "first", 1);
    let link = harness.last_link();
    harness.input(Input::LinkUp { link });
    harness.send_answer(link, "first.0", Verdict::Ok, "a");
    for number in 0..2 * MAX_IDS {
        let connection_id = number as u64 + 2;
        harness.input(Input::ClientConnected { connection_id });
        harness.send_request(connection_id, "once", &format!("q{number}"), 1);
        harness.input(Input::ClientDisconnected { connection_id });
        harness.send_answer(link, &format!("q{number}.0"), Verdict::Ok, "a");
        harness.advance(10.0);
        harness.trace.clear();
    }
    let remembered = harness.reducer.sizes().into_iter().find(|(name, _)| *name == "effective");
    assert_eq!(remembered, Some(("effective", MAX_IDS)));
}

/// Guards against collections that grow with each searcher, client and scan that has come and gone.
#[test]
fn state_after_churn() {
    let mut harness = Harness::new(0);
    let numbered_entry = |number: u32| {
        let addr = std::net::SocketAddrV4::new([10, 1, (number >> 8) as u8, number as u8].into(), 80);
        Entry { name: format!("s{number}"), addr, ..entry(1, SearcherStatus::Ready, 0.0) }
    };
    let mut sizes = Vec::new();
    harness.update_list(false, vec![numbered_entry(0)]);
    for number in 1..=4000 {
        harness.update_list(
            false,
            vec![numbered_entry(number), Entry { life: SearcherStatus::Gone, ..numbered_entry(number - 1) }],
        );
        let connection_id = u64::from(number) + 1;
        harness.input(Input::ClientConnected { connection_id });
        harness.send_request(connection_id, "all", &format!("q{number}"), 1);
        let link = harness.last_link();
        harness.input(Input::LinkUp { link });
        if number % 3 > 0 {
            harness.send_answer(link, &format!("q{number}.0"), Verdict::Ok, "a");
        }
        harness.input(Input::ClientDisconnected { connection_id });
        harness.advance(10.0);
        if number % 2 == 0 {
            harness.input(Input::LinkClosed { link: link - 1, frames_written: 1 });
        }
        harness.input(Input::LinkClosed { link, frames_written: 1 });
        if number % 1000 == 0 {
            harness.advance(20_000.0);
            sizes.push(harness.reducer.sizes());
        }
        harness.trace.clear();
    }
    assert_eq!(sizes[0], sizes[3]);
    assert_snapshot!(format!("{:?}", sizes[3]));
}

/// A client is closed for a failed accept only if the process is out of file descriptors.
#[test]
fn failed_accepts() {
    let mut harness = Harness::new(1);
    harness.input(Input::AcceptFailed { out_of_descriptors: false });
    assert!(!harness.trace.contains("hang up"), "{}", harness.trace);
    harness.input(Input::AcceptFailed { out_of_descriptors: true });
    assert!(harness.trace.contains("client 1: hang up"), "{}", harness.trace);
    assert_eq!(harness.reducer.counters().accepts_failed, 2);
}

/// The frames that are written to a link now, where these clients have left.
fn next_frames(harness: &mut Harness, link: u64, departed: &[u64]) -> Vec<String> {
    let mut frames = Vec::new();
    while let Some(frame) = harness.reducer.next_frame(harness.now_ms, link, departed) {
        frames.push(String::from_utf8_lossy(&frame.bytes[4..]).replace('\n', " "));
    }
    frames
}

#[test]
fn call_of_departed_client() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "all", "q1", 1);
    let link = harness.last_link();
    harness
        .reducer
        .step(harness.now_ms, vec![TimedInput { at: harness.now_ms, input: Input::LinkUp { link } }]);
    assert_eq!(next_frames(&mut harness, link, &[1]), Vec::<String>::new());
    harness.input(Input::ClientDisconnected { connection_id: 1 });
    assert_snapshot!(harness.trace_and_counters());
}

/// Guards against a returned call that is sent for a client that has left, or with the time that was left
/// when it was first encoded.
#[test]
fn returned_call() {
    for client_leaves in [true, false] {
        let mut harness = Harness::new(1);
        harness.send_request(1, "once", "q1", 1);
        let link = harness.last_link();
        harness
            .reducer
            .step(harness.now_ms, vec![TimedInput { at: harness.now_ms, input: Input::LinkUp { link } }]);
        let first = harness.reducer.next_frame(harness.now_ms, link, &[]).expect("a call");
        harness.reducer.return_frame(link);
        harness.input(Input::LinkBlocked { link, made_progress: false });
        harness.now_ms += 200.0;
        if client_leaves {
            harness.input(Input::ClientDisconnected { connection_id: 1 });
        }
        harness.reducer.step(
            harness.now_ms,
            vec![TimedInput { at: harness.now_ms, input: Input::LinkWritable { link } }],
        );
        let timeout_ms = |frame: &str| frame.split("d=").nth(1)?.split(' ').next()?.parse::<u64>().ok();
        let before_ms = timeout_ms(&String::from_utf8_lossy(&first.bytes)).expect("a timeout");
        let later: Vec<Option<u64>> =
            next_frames(&mut harness, link, &[]).iter().map(|frame| timeout_ms(frame)).collect();
        assert_eq!(later, if client_leaves { vec![] } else { vec![Some(before_ms - 200)] });
        assert_eq!(harness.reducer.counters().violations_send, 0);
    }
}

#[test]
fn blocked_link() {
    let mut harness = Harness::new(2);
    harness.send_request(1, "once", "q1", 1);
    let link = harness.last_link();
    harness
        .reducer
        .step(harness.now_ms, vec![TimedInput { at: harness.now_ms, input: Input::LinkUp { link } }]);
    assert!(harness.reducer.next_frame(harness.now_ms, link, &[]).is_some());
    harness.reducer.return_frame(link);
    harness.input(Input::LinkBlocked { link, made_progress: false });
    harness.advance(240.0);
    assert!(!harness.trace.contains("close"), "{}", harness.trace);
    harness.advance(20.0);
    harness.input(Input::LinkClosed { link, frames_written: 0 });
    let next_link = harness.last_link();
    assert_ne!(next_link, link);
    harness.input(Input::LinkUp { link: next_link });
    assert_snapshot!(harness.trace_and_counters());
}

#[test]
fn pending_call_after_address_change() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "once", "q1", 1);
    let link = harness.last_link();
    let mut moved = entry(1, SearcherStatus::Ready, 0.0);
    moved.addr.set_port(81);
    harness.update_list(false, vec![moved]);
    harness.input(Input::LinkUp { link });
    // Another searcher at the old address may hold other shards.
    assert!(!harness.trace.contains(&format!("link {link}: Dq1.0")), "{}", harness.trace);
    let next_link = harness.last_link();
    harness.input(Input::LinkUp { link: next_link });
    assert!(harness.trace.contains(&format!("link {next_link}: Dq1.0")), "{}", harness.trace);
}

/// Guards against a call that states the time left when its link came up, although the machine paused since.
#[test]
fn link_up_before_machine_pause() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "all", "q1", 1);
    let (link, came_up_at) = (harness.last_link(), harness.now_ms);
    harness.now_ms += 1500.0;
    harness.step(vec![TimedInput { at: came_up_at, input: Input::LinkUp { link } }]);
    let timeout_ms =
        harness.trace.lines().find_map(|line| line.split_once(" d=")?.1.split(' ').next()?.parse().ok());
    // 500 of 2000 ms are left.
    let timeout_ms: f64 = timeout_ms.unwrap_or_else(|| panic!("no call was sent: {}", harness.trace));
    assert!(timeout_ms <= 500.0, "the call states {timeout_ms} ms");
}

/// A searcher's answer to a probe is lost, though its link works. Guards against assigning each later answer to the
/// probe before: every probe then times out, and the searcher is never readmitted.
#[test]
fn lost_probe_answer() {
    let mut settings = settings();
    settings["permissions"]["multiplex"] = json!(3);
    let mut harness = Harness::with_settings(&settings, 1, 256);
    harness.send_request(1, "all", "q1", 3);
    let first_link = harness.last_link();
    harness.input(Input::LinkUp { link: first_link });
    harness.advance(1200.0);
    assert!(harness.trace.contains(&format!("link {first_link}: I")), "no probe was sent: {}", harness.trace);
    // The searcher answers a part, and never the probe.
    harness.send_answer(first_link, "q1.0", Verdict::Ok, "a");
    harness.advance(500.0);
    let link = harness.last_link();
    harness.input(Input::LinkUp { link });
    harness.input(Input::Frames { link, frames: vec![Frame::Probe(Some(Verdict::Ok))], error: None });
    let counters = harness.reducer.counters().to_string();
    assert!(counters.contains("probes 2\nprobes_ok 1\n"), "{}\n{counters}", harness.trace);
}

/// A searcher accepts connections and never answers a probe. Guards against links that pile up, as each probe needs one
/// without an overdue probe.
#[test]
fn unanswered_probes_keep_few_links() {
    let mut harness = Harness::new(1);
    harness.send_request(1, "all", "q1", 1);
    let first_link = harness.last_link();
    harness.input(Input::LinkUp { link: first_link });
    harness.input(Input::LinkClosed { link: first_link, frames_written: 1 });
    let mut last_link = first_link;
    for _ in 0..40 {
        harness.advance(250.0);
        if harness.last_link() != last_link {
            last_link = harness.last_link();
            harness.input(Input::LinkUp { link: last_link });
        }
    }
    let count = |text: &str| harness.trace.matches(text).count();
    assert!(count(": I\n") >= 10, "{}", harness.trace);
    assert!(count("connect to") - count(": close\n") <= 2, "{}", harness.trace);
}

/// The number of timers that are set.
fn timer_count(harness: &Harness) -> usize {
    harness.reducer.sizes().iter().find(|(name, _)| *name == "due").expect("the size of the timers").1
}

/// Guards against timers that stay until they are due although what they are for is over: scans that are rejected at
/// once, clients that come and go, and links that searchers close.
#[test]
fn timers_under_floods() {
    const EVENTS: u64 = 2000;
    const INTERVAL_MS: f64 = 0.05;
    /// Timers of the mixer itself, and of what is open or has just ended.
    const MAX_TIMERS: usize = 32;
    let mut without_searchers = Harness::new(0);
    for number in 0..EVENTS {
        without_searchers.send_request(1, "all", &format!("q{number}"), 3);
        without_searchers.advance(INTERVAL_MS);
        without_searchers.trace.clear();
    }
    assert!(timer_count(&without_searchers) < MAX_TIMERS, "{:?}", without_searchers.reducer.sizes());
    let mut with_searcher = Harness::new(1);
    for number in 0..EVENTS {
        let connection_id = number + 2;
        with_searcher.input(Input::ClientConnected { connection_id });
        with_searcher.send_request(connection_id, "all", &format!("q{number}"), 1);
        let link = with_searcher.last_link();
        with_searcher.input(Input::LinkUp { link });
        with_searcher.send_answer(link, &format!("q{number}.0"), Verdict::Ok, "a");
        with_searcher.input(Input::LinkClosed { link, frames_written: 1 });
        with_searcher.input(Input::ClientDisconnected { connection_id });
        with_searcher.advance(INTERVAL_MS);
        with_searcher.trace.clear();
    }
    assert_eq!(with_searcher.reducer.counters().scans_completed, EVENTS);
    assert!(timer_count(&with_searcher) < MAX_TIMERS, "{:?}", with_searcher.reducer.sizes());
}
