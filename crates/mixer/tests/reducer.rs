//! Traces of the reducer: what a mixer is told and what it does about it, without a socket.

use std::fmt::Write;

use insta::assert_snapshot;
use pewterwharf::interface::SearcherStatus;
use pewterwharf_mixer::discovery::{Entry, List};
use pewterwharf_mixer::frame::{Frame, Verdict};
use pewterwharf_mixer::http::{Ask, PartAsk, ScanAsk};
use pewterwharf_mixer::inputs::{Effect, Input, Phase};
use pewterwharf_mixer::reducer::Reducer;
use pewterwharf_terms::{ConfigChange, MixerConfig};
use serde_json::json;

const START: f64 = 1_700_000_000_000.0;

struct Rig {
    reducer: Reducer,
    now: f64,
    trace: String,
}

/// Table types: `all` needs every part, `most` half of them, `once` may not run twice.
fn settings() -> serde_json::Value {
    let kind = |name: &str, repeat: &str| {
        json!({"name": name, "idempotency": repeat, "points": 1.0, "slo_ms": 800.0, "hard_limit_ms": 2000.0,
               "late_worth": 0.3})
    };
    json!({
        "services": [kind("all", "pure"), kind("most", "pure"), kind("once", "side_effect")],
        "customers": [{"name": "acme", "quota_per_s": 50.0}],
        "family_info": {"positions": 1, "in_a_row": 1, "ranges": 8, "class_need": [1.0, 0.5, 1.0]},
        "permissions": {"cancel": true, "probing": true, "parallel_tries": true, "max_attempts": 3,
            "retry_after": true, "max_retry_after_ms": 1000.0, "open_cap": 20, "multiplex": 2},
        "rules": {"cold_from": 0.2, "warm_after_ms": 10_000.0, "tip_multiple": 2.0, "fall_ms": 1000.0},
        "peers_total": 1, "zone": 0, "zones": ["hall"],
    })
}

fn entry(n: u8, life: SearcherStatus, since: f64) -> Entry {
    let addr = std::net::SocketAddrV4::new([10, 0, 0, n].into(), 80);
    Entry { name: format!("s{n}"), addr, zone: "hall".into(), cell: 0, since, life, age_ms: 0.0 }
}

/// A scan of one part.
fn one_part() -> ScanAsk {
    ScanAsk {
        id: "q1".to_owned(),
        table_type: "all".to_owned(),
        customer: Some("acme".to_owned()),
        wait_ms: 2000.0,
        retry: false,
        text: "find".to_owned(),
        parts: vec![PartAsk { shard: 0, weight: 1.0, work_ms: None }],
    }
}

impl Rig {
    /// With so many warm searchers, and one client.
    fn new(searchers: u8) -> Self {
        Self::on(&settings(), searchers, 256)
    }

    fn on(settings: &serde_json::Value, searchers: u8, sockets: usize) -> Self {
        let terms = MixerConfig::from_json(settings).expect("good settings");
        let mut rig = Self { reducer: Reducer::new(terms, 7, sockets), now: START, trace: String::new() };
        rig.list(true, (1..=searchers).map(|n| entry(n, SearcherStatus::Ready, 0.0)).collect());
        rig.tell(Input::ClientConnected { conn: 1 });
        rig
    }

    fn list(&mut self, whole: bool, entries: Vec<Entry>) {
        self.watch(0, whole, entries);
    }

    fn watch(&mut self, watch: u64, whole: bool, entries: Vec<Entry>) {
        self.tell(Input::List { watch, list: List { index: 1, whole, entries, bad: Vec::new() } });
    }

    fn tell(&mut self, input: Input) {
        self.step(vec![(self.now, input)]);
    }

    fn step(&mut self, inputs: Vec<(f64, Input)>) {
        for effect in self.reducer.step(self.now, inputs) {
            let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).replace("\r\n", " ").replace('\n', " ");
            let line = match effect {
                Effect::Answer { conn, bytes, last } => {
                    let bytes = text(&bytes).replace("HTTP/1.1 ", "").replace("Content-", "");
                    format!("client {conn}: {}{}", bytes.trim_end(), if last { " (last)" } else { "" })
                }
                Effect::CloseClient { conn } => format!("client {conn}: hang up"),
                Effect::ReleaseClient { conn } => format!("client {conn}: let go"),
                Effect::Connect { link, addr } => format!("link {link}: connect to {addr}"),
                Effect::Send { link } => match self.reducer.next_frame(self.now, link, &[]) {
                    Some(frame) => format!("link {link}: {}", text(&frame.bytes[4..])),
                    None => continue,
                },
                Effect::RetryWrite { link } => format!("link {link}: try again"),
                Effect::CloseLink { link } => format!("link {link}: close"),
                Effect::StopListening => "stop listening".to_owned(),
                Effect::StartWatch { number, addr } => format!("watch {number} at {addr}"),
                Effect::WatchActivated { watch } => format!("watch {watch} is gone by"),
                Effect::PrintCounters(text) => text,
            };
            writeln!(self.trace, "{:>5} {line}", self.now - START).expect("a string takes all");
        }
        // What was not sent after all is gone by at once.
        if self.reducer.next_timer_at().is_some_and(|due| due <= self.now) {
            self.step(Vec::new());
        }
    }

    /// Lets time pass, one due time after the other.
    fn pass(&mut self, ms: f64) {
        let end = self.now + ms;
        while let Some(due) = self.reducer.next_timer_at().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.step(Vec::new());
        }
        self.now = end;
    }

    fn asks(&mut self, conn: u64, table_type: &str, id: &str, parts: u32) {
        let weight = 1.0 / f64::from(parts);
        let parts = (0..parts).map(|shard| PartAsk { shard, weight, work_ms: None }).collect();
        let ask = ScanAsk { id: id.to_owned(), table_type: table_type.to_owned(), parts, ..one_part() };
        self.tell(Input::Request { conn, ask: Ask::Scan(ask), close: false });
    }

    /// The link opened last.
    fn last_link(&self) -> u64 {
        let line = self.trace.lines().rev().find_map(|l| l.split("link ").nth(1)?.split_once(": connect"));
        line.and_then(|l| l.0.parse().ok()).unwrap_or_default()
    }

    fn answers(&mut self, link: u64, id: &str, verdict: Verdict, value: &str) {
        let frame = Frame::Part { id: id.to_owned(), verdict, value: value.to_owned(), busy: None };
        self.tell(Input::Frames { link, frames: vec![frame], error: None });
    }

    /// The trace since the last call, with the counters that are not zero; those of single table types have a test of their own.
    fn counted(&mut self) -> String {
        let counters = self.reducer.counters().to_string();
        let counted: Vec<&str> =
            counters.lines().filter(|l| !l.ends_with(" 0") && !l.contains('{')).collect();
        format!("{}{}", std::mem::take(&mut self.trace), counted.join(", "))
    }
}

#[test]
fn what_became_of_the_scans_of_each_table_type_is_counted() {
    let mut rig = Rig::new(1);
    rig.asks(1, "all", "q1", 2);
    let counters = rig.reducer.counters();
    let of = |name: &str| {
        counters.by_type.iter().find(|c| c.name == name).cloned().expect("a table type of the rig")
    };
    assert_eq!(of("all").taken, 1);
    assert!(counters.by_type.iter().filter(|c| c.name != "all").all(|c| c.taken == 0));
    assert!(counters.to_string().contains("scans_taken{table_type=\"all\"} 1"), "{counters}");
    rig.tell(Input::ClientDisconnected { conn: 1 });
    let counters = rig.reducer.counters();
    let all = counters.by_type.iter().find(|c| c.name == "all").expect("a table type of the rig");
    assert_eq!((all.taken, all.gone), (1, 1));
    for counts in &counters.by_type {
        let ended = counts.completed + counts.throttled + counts.abandoned + counts.gone;
        assert_eq!(counts.taken, ended, "{counts:?}");
    }
}

#[test]
fn a_scan_is_read_answered_and_counted() {
    let mut rig = Rig::new(1);
    rig.asks(1, "all", "q1", 2);
    rig.tell(Input::LinkUp { link: 4 });
    rig.answers(4, "q1.1", Verdict::Ok, "b\"1");
    rig.answers(4, "q1.0", Verdict::Ok, "a0");
    rig.answers(4, "q1.0", Verdict::Ok, "again");
    assert_snapshot!(rig.counted());
}

#[test]
fn a_further_link_is_opened_only_when_the_others_are_full() {
    let mut rig = Rig::new(1);
    rig.asks(1, "all", "q1", 3);
    rig.tell(Input::LinkUp { link: 5 });
    rig.tell(Input::ClientConnected { conn: 2 });
    rig.answers(5, "q1.0", Verdict::Ok, "a");
    rig.asks(2, "all", "q2", 1);
    assert_snapshot!(rig.counted());
}

#[test]
fn a_part_that_failed_goes_again_and_the_next_answer_is_the_later_dispatch_s() {
    let mut rig = Rig::new(1);
    rig.asks(1, "all", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    rig.answers(3, "q1.0", Verdict::Error, "");
    rig.answers(3, "q1.0", Verdict::Ok, "a");
    assert_snapshot!(rig.counted());
}

#[test]
fn an_id_that_is_open_is_refused_and_counts_again_once_it_is_not() {
    // Nothing but its name tells an answer's part: two clients that ask by one id must not get each other's.
    let mut rig = Rig::new(1);
    rig.tell(Input::ClientConnected { conn: 2 });
    rig.asks(1, "all", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    rig.asks(2, "all", "q1", 1);
    rig.answers(3, "q1.0", Verdict::Ok, "the first");
    rig.asks(2, "all", "q1", 1);
    assert_snapshot!(rig.counted());
}

#[test]
fn an_answer_after_the_end_of_its_scan_is_dropped() {
    let mut settings = settings();
    settings["services"][0]["late_worth"] = json!(0.0);
    let mut rig = Rig::on(&settings, 2, 256);
    rig.asks(1, "all", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    rig.pass(2000.0);
    rig.answers(3, "q1.0", Verdict::Ok, "late");
    assert_snapshot!(rig.counted());
}

#[test]
fn rule_1_a_scan_that_nobody_answers_ends_before_its_time() {
    let mut rig = Rig::new(2);
    rig.asks(1, "all", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    rig.pass(2100.0);
    assert_snapshot!(rig.counted());
}

#[test]
fn rule_1_a_machine_that_stood_still_answers_all_it_holds_at_once() {
    let mut rig = Rig::new(1);
    rig.asks(1, "once", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    rig.now += 5000.0;
    rig.step(Vec::new());
    assert_snapshot!(rig.counted());
}

#[test]
fn rule_2_what_may_have_run_is_told_by_what_was_written() {
    // The frame was written whole: the part may have run, and is not sent again.
    let mut rig = Rig::new(2);
    rig.asks(1, "once", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    rig.tell(Input::LinkClosed { link: 3, frames_written: 1 });
    let mut trace = rig.counted();
    // It was not: another searcher gets it, and a connection that never came up is no other case.
    let mut rig = Rig::new(3);
    rig.asks(1, "once", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    rig.tell(Input::LinkClosed { link: 3, frames_written: 0 });
    rig.tell(Input::LinkClosed { link: 4, frames_written: 0 });
    write!(trace, "\n\n{}", rig.counted()).expect("a string takes all");
    assert_snapshot!(trace);
}

#[test]
fn rule_3_what_waits_for_a_connection_is_not_sent_once_its_searcher_drains() {
    let mut rig = Rig::new(2);
    rig.asks(1, "all", "q1", 1);
    rig.list(false, vec![entry(1, SearcherStatus::Draining, 0.0), entry(2, SearcherStatus::Draining, 0.0)]);
    rig.tell(Input::LinkUp { link: 3 });
    assert_snapshot!(rig.counted());
}

#[test]
fn rule_4_a_cold_searcher_gets_its_allowance() {
    let mut rig = Rig::new(1);
    // What an earlier process of this mixer may have sent is over: a new one waits a window.
    rig.pass(1500.0);
    rig.list(true, vec![entry(1, SearcherStatus::Ready, START + 1400.0)]);
    rig.tell(Input::ClientConnected { conn: 2 });
    rig.asks(1, "all", "q1", 3);
    rig.asks(2, "all", "q2", 3);
    assert_snapshot!(rig.counted());
}

#[test]
fn rule_5_an_answer_holds_what_came_and_is_whole_only_with_what_it_needs() {
    let mut rig = Rig::new(1);
    rig.asks(1, "most", "q1", 3);
    rig.tell(Input::LinkUp { link: 5 });
    rig.answers(5, "q1.0", Verdict::Full, "");
    rig.answers(5, "q1.1", Verdict::Ok, "b");
    rig.pass(1.0);
    rig.answers(5, "q1.2", Verdict::Ok, "c");
    assert_snapshot!(rig.counted());
}

#[test]
fn rule_6_further_dispatches_stay_within_the_stated_budget() {
    let mut settings = settings();
    settings["rules"]["repeat_ratio"] = json!(0.0);
    settings["rules"]["free_resends"] = json!(1);
    settings["rules"]["extra_window_ms"] = json!(2000.0);
    let mut rig = Rig::on(&settings, 3, 256);
    rig.asks(1, "all", "q1", 2);
    for (link, id) in [(4, "q1.1"), (6, "q1.0")] {
        rig.tell(Input::LinkUp { link });
        rig.answers(link, id, Verdict::Full, "");
    }
    assert_snapshot!(rig.counted());
}

#[test]
fn a_client_that_leaves_is_told_and_its_parts_are_given_up() {
    let mut rig = Rig::new(1);
    rig.asks(1, "all", "q1", 2);
    rig.tell(Input::LinkUp { link: 4 });
    rig.tell(Input::ClientDisconnected { conn: 1 });
    assert_snapshot!(rig.counted());
}

#[test]
fn a_probe_that_meets_no_connection_in_time_says_so() {
    // Whichever clock rings first: the module takes who refuses connections for cold once it is back.
    let mut rig = Rig::new(1);
    rig.asks(1, "all", "q1", 1);
    rig.tell(Input::LinkClosed { link: 3, frames_written: 0 });
    rig.pass(260.0);
    rig.tell(Input::LinkClosed { link: 5, frames_written: 0 });
    rig.pass(300.0);
    rig.tell(Input::LinkUp { link: 8 });
    rig.tell(Input::Frames { link: 8, frames: vec![Frame::Probe(Some(Verdict::Ok))], error: None });
    assert_snapshot!(rig.counted());
}

#[test]
fn a_link_cut_off_without_a_word_is_not_used_again() {
    // Its searcher is marked for late parts; a probe on it times out, and the next takes a new link.
    let mut settings = settings();
    settings["permissions"]["multiplex"] = json!(3);
    let mut rig = Rig::on(&settings, 1, 256);
    rig.asks(1, "all", "q1", 3);
    rig.tell(Input::LinkUp { link: 5 });
    rig.pass(1700.0);
    rig.tell(Input::LinkUp { link: 10 });
    rig.tell(Input::Frames { link: 10, frames: vec![Frame::Probe(Some(Verdict::Ok))], error: None });
    rig.pass(300.0);
    assert_snapshot!(rig.counted());
}

#[test]
fn a_frame_that_can_t_be_used_ends_its_link_and_resets_its_parts() {
    let mut rig = Rig::new(1);
    rig.asks(1, "all", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    rig.tell(Input::Frames {
        link: 3,
        frames: vec![Frame::Unusable("no such shard".to_owned())],
        error: None,
    });
    rig.tell(Input::LinkClosed { link: 3, frames_written: 1 });
    assert_snapshot!(rig.counted());
}

#[test]
fn an_idle_link_is_closed_before_the_searcher_closes_it() {
    let mut rig = Rig::new(1);
    rig.asks(1, "all", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    rig.answers(3, "q1.0", Verdict::Ok, "a");
    rig.pass(15_000.0);
    rig.tell(Input::LinkClosed { link: 3, frames_written: 1 });
    rig.asks(1, "all", "q2", 1);
    assert_snapshot!(rig.counted());
}

#[test]
fn a_searcher_is_known_by_its_name_wherever_it_moves() {
    let mut rig = Rig::new(1);
    rig.asks(1, "all", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    rig.answers(3, "q1.0", Verdict::Ok, "a");
    let mut moved = entry(1, SearcherStatus::Ready, 0.0);
    moved.addr.set_port(81);
    rig.list(false, vec![moved]);
    rig.tell(Input::LinkClosed { link: 3, frames_written: 1 });
    rig.asks(1, "all", "q2", 1);
    rig.list(true, Vec::new());
    rig.asks(1, "all", "q3", 1);
    assert_snapshot!(rig.counted());
}

#[test]
fn what_cannot_be_asked_is_answered_and_nothing_is_dispatched() {
    let mut rig = Rig::new(1);
    rig.asks(1, "none", "q1", 1);
    rig.asks(1, "all", "q2", 9);
    rig.tell(Input::Request { conn: 1, ask: Ask::Unusable(400, "no parts".to_owned()), close: true });
    rig.tell(Input::ClientConnected { conn: 2 });
    rig.asks(2, "all", "q3", 8);
    rig.tell(Input::ClientConnected { conn: 3 });
    rig.asks(3, "all", "q4", 8);
    rig.tell(Input::ClientConnected { conn: 4 });
    rig.asks(4, "all", "q5", 8);
    assert_snapshot!(rig.counted());
}

#[test]
fn idle_clients_make_room_and_one_that_has_just_asked_is_answered_all_the_same() {
    let mut rig = Rig::on(&settings(), 1, 32);
    rig.pass(1.0);
    rig.tell(Input::ClientConnected { conn: 2 });
    rig.tell(Input::ClientConnected { conn: 3 });
    rig.asks(1, "all", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    rig.answers(3, "q1.0", Verdict::Ok, "a");
    rig.tell(Input::ClientDisconnected { conn: 1 });
    assert_snapshot!(rig.counted());
}

#[test]
fn a_client_that_was_hung_up_on_and_then_leaves_gets_nothing_sent() {
    let mut rig = Rig::on(&settings(), 1, 32);
    rig.pass(1.0);
    rig.tell(Input::ClientConnected { conn: 2 });
    rig.tell(Input::ClientConnected { conn: 3 });
    // Its request crossed the hang-up; it leaves while its link comes up.
    rig.asks(1, "all", "q1", 1);
    rig.tell(Input::ClientDisconnected { conn: 1 });
    rig.tell(Input::LinkUp { link: 3 });
    assert_snapshot!(rig.counted());
}

#[test]
fn an_end_that_stands_behind_others_in_one_step_goes_before_what_is_sent() {
    let mut rig = Rig::new(1);
    rig.asks(1, "all", "q1", 1);
    // The link came up and the client left meanwhile; then a link ended on which nothing new may go.
    rig.step(vec![(rig.now, Input::LinkUp { link: 3 }), (rig.now, Input::ClientDisconnected { conn: 1 })]);
    rig.tell(Input::ClientConnected { conn: 2 });
    let ask = Ask::Scan(ScanAsk { id: "q2".to_owned(), ..one_part() });
    let asked = Input::Request { conn: 2, ask, close: false };
    rig.step(vec![(rig.now, asked), (rig.now, Input::LinkClosed { link: 3, frames_written: 0 })]);
    assert_snapshot!(rig.counted());
}

#[test]
fn a_client_that_still_sends_is_not_hung_up_on_while_draining() {
    for (drains, closes) in [(true, true), (true, false), (false, false)] {
        let mut rig = Rig::new(1);
        if drains {
            rig.tell(Input::Stop);
        }
        rig.tell(Input::Request { conn: 1, ask: Ask::Counters, close: true });
        rig.tell(Input::DataAfterLastAnswer { conn: 1 });
        rig.pass(300.0);
        assert_eq!(rig.trace.contains("client 1: hang up"), !drains);
        if !drains {
            continue;
        }
        rig.pass(300.0);
        rig.tell(Input::ListenerClosed);
        rig.pass(1900.0);
        assert!(matches!(rig.reducer.phase(), Phase::Draining { .. }));
        if closes {
            rig.tell(Input::ClientDisconnected { conn: 1 });
        } else {
            rig.pass(100.0);
        }
        assert_eq!(rig.reducer.phase(), Phase::Closed);
    }
}

#[test]
fn an_answer_that_is_not_yet_written_holds_the_exit_up_as_long_as_the_platform_waits() {
    for written in [true, false] {
        let mut rig = Rig::new(1);
        rig.tell(Input::Request { conn: 1, ask: Ask::Counters, close: false });
        rig.tell(Input::AnswerDelayed { conn: 1 });
        rig.tell(Input::Stop);
        rig.pass(600.0);
        rig.tell(Input::ListenerClosed);
        rig.pass(1900.0);
        assert!(matches!(rig.reducer.phase(), Phase::Draining { .. }));
        if written {
            rig.tell(Input::AnswerWritten { conn: 1 });
            rig.pass(300.0);
            assert_eq!(rig.reducer.phase(), Phase::Closed);
        } else {
            rig.pass(99.0);
            assert!(matches!(rig.reducer.phase(), Phase::Draining { .. }));
            rig.pass(1.0);
            assert_eq!(rig.reducer.phase(), Phase::Closed);
        }
    }
}

#[test]
fn draining_answers_all_that_was_taken_and_then_closes() {
    let mut rig = Rig::new(1);
    rig.tell(Input::ClientConnected { conn: 2 });
    rig.asks(1, "all", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    rig.tell(Input::Stop);
    rig.tell(Input::ClientDisconnected { conn: 2 });
    rig.tell(Input::ClientConnected { conn: 3 });
    rig.asks(3, "all", "q2", 1);
    rig.answers(3, "q2.0", Verdict::Ok, "b");
    rig.tell(Input::ClientDisconnected { conn: 3 });
    rig.pass(700.0);
    assert!(matches!(rig.reducer.phase(), Phase::Draining { .. }));
    rig.answers(3, "q1.0", Verdict::Ok, "a");
    rig.tell(Input::ClientDisconnected { conn: 1 });
    // Who waited to be accepted may have asked already.
    assert!(matches!(rig.reducer.phase(), Phase::Draining { .. }));
    rig.tell(Input::ListenerClosed);
    assert_eq!(rig.reducer.phase(), Phase::Closed);
    assert_snapshot!(rig.counted());
}

#[test]
fn asked_twice_to_end_it_gives_up_what_is_open() {
    let mut rig = Rig::new(1);
    rig.asks(1, "all", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    rig.tell(Input::Stop);
    rig.tell(Input::Stop);
    rig.tell(Input::ListenerClosed);
    rig.pass(400.0);
    assert_eq!(rig.reducer.phase(), Phase::Closed);
    assert_snapshot!(rig.counted());
}

#[test]
fn a_restarted_mixer_goes_by_the_list_it_held_once_the_watch_was_silent_until_it_is_told_another() {
    let terms = MixerConfig::from_json(&settings()).expect("good settings");
    let mut rig = Rig { reducer: Reducer::new(terms, 7, 256), now: START, trace: String::new() };
    let known = vec![entry(1, SearcherStatus::Ready, 0.0), entry(2, SearcherStatus::Ready, 0.0)];
    rig.reducer.set_cached_list(START, List { index: 1, whole: true, entries: known, bad: Vec::new() });
    // What the agent has counts as told from the first moment: nothing is sent before it had its time to say so.
    rig.pass(1499.0);
    assert_eq!(rig.reducer.phase(), Phase::Starting);
    rig.pass(1.0);
    assert_eq!(rig.reducer.phase(), Phase::Ready);
    rig.tell(Input::ClientConnected { conn: 1 });
    rig.asks(1, "all", "q1", 1);
    // The one it went to is gone by the list; what still waits for a connection goes to its replica.
    rig.list(true, vec![entry(1, SearcherStatus::Ready, 0.0)]);
    rig.tell(Input::LinkUp { link: 3 });
    assert_snapshot!(rig.counted());
}

#[test]
fn a_restarted_mixer_sends_nothing_by_an_old_list_that_the_agent_has_newer_word_on() {
    let terms = MixerConfig::from_json(&settings()).expect("good settings");
    let mut rig = Rig { reducer: Reducer::new(terms, 7, 256), now: START, trace: String::new() };
    let known = vec![entry(1, SearcherStatus::Ready, 0.0), entry(2, SearcherStatus::Ready, 0.0)];
    rig.reducer.set_cached_list(START, List { index: 1, whole: true, entries: known, bad: Vec::new() });
    rig.tell(Input::ClientConnected { conn: 1 });
    rig.asks(1, "all", "q1", 1);
    // Changes since the list that was held: both are gone by together, before anything is sent.
    rig.list(false, vec![entry(1, SearcherStatus::Draining, 0.0)]);
    rig.asks(1, "all", "q2", 1);
    assert_snapshot!(rig.counted());
}

#[test]
fn an_older_list_takes_no_drain_back_and_nobody_off_the_list() {
    let mut rig = Rig::new(2);
    rig.pass(1500.0); // a mixer that has just started sends a cold searcher nothing for a window
    let list = |index, whole, entries| {
        let list = List { index, whole, entries, bad: Vec::new() };
        Input::List { watch: 0, list }
    };
    rig.tell(list(
        7,
        false,
        vec![entry(1, SearcherStatus::Draining, 0.0), entry(3, SearcherStatus::Ready, 0.0)],
    ));
    // Made before the drain was told, and before the third came.
    rig.tell(list(
        5,
        true,
        vec![entry(1, SearcherStatus::Ready, 0.0), entry(2, SearcherStatus::Draining, 0.0)],
    ));
    rig.asks(1, "all", "q1", 1);
    // A new process at the first's place is another matter, whatever the number of its list.
    rig.tell(list(
        6,
        false,
        vec![entry(1, SearcherStatus::Ready, START + 1400.0), entry(3, SearcherStatus::Draining, 0.0)],
    ));
    rig.tell(Input::ClientConnected { conn: 2 });
    rig.asks(2, "all", "q2", 1);
    assert_snapshot!(rig.counted());
}

#[test]
fn a_place_that_has_not_heard_of_a_drain_takes_it_not_back_until_it_speaks_of_it_again() {
    let mut rig = Rig::new(1);
    let discovery = std::net::SocketAddrV4::new([10, 9, 9, 9].into(), 80);
    rig.tell(Input::ConfigReloaded(Ok(ConfigChange { discovery, needs_restart: Vec::new() })));
    // The old place tells it while the watch is moving; the new one's list was made before.
    rig.watch(0, false, vec![entry(1, SearcherStatus::Draining, 0.0)]);
    rig.watch(1, true, vec![entry(1, SearcherStatus::Ready, 0.0)]);
    rig.asks(1, "all", "q1", 1);
    rig.watch(1, false, vec![entry(1, SearcherStatus::Ready, 0.0)]);
    rig.asks(1, "all", "q2", 1);
    assert_snapshot!(rig.counted());
}

#[test]
fn it_is_ready_once_a_searcher_is() {
    let mut rig = Rig::new(0);
    rig.tell(Input::Request { conn: 1, ask: Ask::Ready, close: false });
    rig.list(false, vec![entry(1, SearcherStatus::Ready, 0.0)]);
    rig.tell(Input::Request { conn: 1, ask: Ask::Ready, close: false });
    assert_snapshot!(rig.counted());
}

#[test]
fn a_new_configuration_moves_the_watch_and_the_old_list_holds_until_the_new_one_speaks() {
    let mut rig = Rig::new(1);
    let moved = |port| {
        let discovery = std::net::SocketAddrV4::new([10, 9, 9, 9].into(), port);
        Input::ConfigReloaded(Ok(ConfigChange { discovery, needs_restart: vec!["settings"] }))
    };
    rig.tell(moved(1));
    rig.tell(moved(1)); // nothing new
    rig.tell(Input::ConfigReloaded(Err("discovery=nowhere can't be read".to_owned())));
    rig.asks(1, "all", "q1", 1); // by the old list
    rig.tell(moved(2));
    rig.watch(1, true, Vec::new()); // it never spoke while it counted
    rig.watch(0, true, vec![entry(2, SearcherStatus::Ready, 0.0)]);
    rig.watch(2, true, vec![entry(3, SearcherStatus::Ready, 0.0)]);
    rig.watch(0, true, vec![entry(4, SearcherStatus::Ready, 0.0)]); // late
    rig.tell(Input::ClientConnected { conn: 2 });
    rig.asks(2, "all", "q2", 1);
    assert_snapshot!(rig.counted());
}

#[test]
fn who_does_not_ask_in_time_is_told_and_who_rests_leaves_once_it_is_crowded() {
    let mut rig = Rig::on(&settings(), 1, 36); // four clients; from three on it is crowded
    rig.asks(1, "all", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    rig.answers(3, "q1.0", Verdict::Ok, "a");
    rig.tell(Input::ClientConnected { conn: 2 }); // it says nothing
    rig.pass(100.0);
    rig.tell(Input::RequestStarted { conn: 1 }); // half a request
    rig.pass(2000.0);
    for conn in 3..=6 {
        rig.tell(Input::ClientConnected { conn });
        rig.asks(conn, "all", &format!("q{conn}"), 1);
        rig.answers(3, &format!("q{conn}.0"), Verdict::Ok, "b");
    }
    rig.pass(2000.0);
    assert_snapshot!(rig.counted());
}

#[test]
fn room_is_made_by_who_matters_least() {
    let mut rig = Rig::on(&settings(), 1, 36);
    rig.asks(1, "all", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    rig.answers(3, "q1.0", Verdict::Ok, "a"); // at rest for longest
    rig.pass(1.0);
    rig.tell(Input::ClientConnected { conn: 2 });
    rig.asks(2, "all", "q2", 1); // it waits
    rig.tell(Input::ClientConnected { conn: 3 }); // it does not ask
    rig.pass(100.0);
    rig.tell(Input::ClientConnected { conn: 4 });
    rig.tell(Input::Request { conn: 4, ask: Ask::Unusable(400, "no parts".to_owned()), close: true });
    for conn in 5..=8 {
        rig.tell(Input::ClientConnected { conn });
        rig.asks(conn, "all", &format!("q{conn}"), 1);
    }
    assert_snapshot!(rig.counted());
}

#[test]
fn what_a_link_brings_beyond_its_answers_is_told_from_what_never_went_out_on_it() {
    let mut rig = Rig::new(2);
    rig.asks(1, "all", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    rig.answers(3, "q1.0", Verdict::Ok, "a");
    rig.answers(3, "q1.0", Verdict::Ok, "a second copy");
    rig.tell(Input::Frames { link: 3, frames: vec![Frame::Probe(Some(Verdict::Ok))], error: None });
    rig.asks(1, "once", "q2", 1); // on the same link
    rig.answers(3, "q9.0", Verdict::Ok, "of nobody");
    rig.asks(1, "all", "q3", 1);
    rig.tell(Input::LinkClosed { link: 3, frames_written: 2 });
    assert_snapshot!(rig.counted());
}

#[test]
fn noise_behind_a_good_answer_costs_the_link_and_not_the_answer() {
    let mut rig = Rig::new(2);
    rig.tell(Input::ClientConnected { conn: 2 });
    rig.asks(1, "once", "q1", 1);
    rig.tell(Input::LinkUp { link: 3 });
    let answer =
        Frame::Part { id: "q1.0".to_owned(), verdict: Verdict::Ok, value: "a".to_owned(), busy: None };
    let noise = Some("a frame of 2021161080 bytes".to_owned());
    // In the same turn somebody asks: it must not go out on what is being closed.
    let ask = ScanAsk { id: "q2".to_owned(), ..one_part() };
    rig.step(vec![
        (rig.now, Input::Request { conn: 2, ask: Ask::Scan(ask), close: false }),
        (rig.now, Input::Frames { link: 3, frames: vec![answer], error: noise }),
    ]);
    assert_snapshot!(rig.counted());
}

#[test]
fn thousands_of_searchers_and_clients_come_and_go_and_leave_nothing() {
    let mut rig = Rig::new(0);
    let name = |n: u32| {
        let addr = std::net::SocketAddrV4::new([10, 1, (n >> 8) as u8, n as u8].into(), 80);
        Entry { name: format!("s{n}"), addr, ..entry(1, SearcherStatus::Ready, 0.0) }
    };
    let mut sizes = Vec::new();
    rig.list(false, vec![name(0)]);
    for n in 1..=4000 {
        rig.list(false, vec![name(n), Entry { life: SearcherStatus::Gone, ..name(n - 1) }]);
        let conn = u64::from(n) + 1;
        rig.tell(Input::ClientConnected { conn });
        rig.asks(conn, "all", &format!("q{n}"), 1);
        let link = rig.last_link();
        rig.tell(Input::LinkUp { link });
        if n % 3 > 0 {
            rig.answers(link, &format!("q{n}.0"), Verdict::Ok, "a");
        }
        rig.tell(Input::ClientDisconnected { conn });
        rig.pass(10.0);
        if n % 2 == 0 {
            rig.tell(Input::LinkClosed { link: link - 1, frames_written: 1 });
        }
        rig.tell(Input::LinkClosed { link, frames_written: 1 });
        if n % 1000 == 0 {
            rig.pass(20_000.0);
            sizes.push(rig.reducer.sizes());
        }
        rig.trace.clear();
    }
    assert_eq!(sizes[0], sizes[3]);
    assert_snapshot!(format!("{:?}", sizes[3]));
}

#[test]
fn accept_that_failed_for_a_moment_closes_no_new_connection() {
    let mut rig = Rig::new(1);
    rig.tell(Input::AcceptFailed { out_of_descriptors: false });
    assert!(!rig.trace.contains("hang up"), "{}", rig.trace);
    rig.tell(Input::AcceptFailed { out_of_descriptors: true });
    assert!(rig.trace.contains("client 1: hang up"), "{}", rig.trace);
    assert_eq!(rig.reducer.counters().accepts_failed, 2);
}

/// The frames that a link is given now, with these clients gone.
fn frames(rig: &mut Rig, link: u64, gone: &[u64]) -> Vec<String> {
    let mut frames = Vec::new();
    while let Some(frame) = rig.reducer.next_frame(rig.now, link, gone) {
        frames.push(String::from_utf8_lossy(&frame.bytes[4..]).replace('\n', " "));
    }
    frames
}

#[test]
fn call_whose_client_has_left_unheard_is_not_given_for_writing() {
    let mut rig = Rig::new(1);
    rig.asks(1, "all", "q1", 1);
    let link = rig.last_link();
    rig.reducer.step(rig.now, vec![(rig.now, Input::LinkUp { link })]);
    assert_eq!(frames(&mut rig, link, &[1]), Vec::<String>::new());
    rig.tell(Input::ClientDisconnected { conn: 1 });
    assert_snapshot!(rig.counted());
}

#[test]
fn call_of_which_no_byte_was_taken_is_withdrawn_or_told_the_time_that_is_left() {
    for leaves in [true, false] {
        let mut rig = Rig::new(1);
        rig.asks(1, "once", "q1", 1);
        let link = rig.last_link();
        rig.reducer.step(rig.now, vec![(rig.now, Input::LinkUp { link })]);
        let first = rig.reducer.next_frame(rig.now, link, &[]).expect("a call");
        rig.reducer.return_frame(link);
        rig.tell(Input::LinkBlocked { link, made_progress: false });
        rig.now += 200.0;
        if leaves {
            rig.tell(Input::ClientDisconnected { conn: 1 });
        }
        rig.reducer.step(rig.now, vec![(rig.now, Input::LinkWritable { link })]);
        let told = |frame: &str| frame.split("d=").nth(1)?.split(' ').next()?.parse::<u64>().ok();
        let before = told(&String::from_utf8_lossy(&first.bytes)).expect("a deadline");
        let later: Vec<Option<u64>> = frames(&mut rig, link, &[]).iter().map(|frame| told(frame)).collect();
        assert_eq!(later, if leaves { vec![] } else { vec![Some(before - 200)] });
        assert_eq!(rig.reducer.counters().violations_send, 0);
    }
}

#[test]
fn link_that_takes_nothing_for_as_long_as_a_connection_may_take_is_closed_and_its_calls_go_elsewhere() {
    let mut rig = Rig::new(2);
    rig.asks(1, "once", "q1", 1);
    let link = rig.last_link();
    rig.reducer.step(rig.now, vec![(rig.now, Input::LinkUp { link })]);
    assert!(rig.reducer.next_frame(rig.now, link, &[]).is_some());
    rig.reducer.return_frame(link);
    rig.tell(Input::LinkBlocked { link, made_progress: false });
    rig.pass(240.0);
    assert!(!rig.trace.contains("close"), "{}", rig.trace);
    rig.pass(20.0);
    rig.tell(Input::LinkClosed { link, frames_written: 0 });
    let further = rig.last_link();
    assert_ne!(further, link);
    rig.tell(Input::LinkUp { link: further });
    assert_snapshot!(rig.counted());
}

#[test]
fn call_that_waits_for_a_link_is_not_sent_to_where_its_searcher_was() {
    let mut rig = Rig::new(1);
    rig.asks(1, "once", "q1", 1);
    let link = rig.last_link();
    let mut moved = entry(1, SearcherStatus::Ready, 0.0);
    moved.addr.set_port(81);
    rig.list(false, vec![moved]);
    rig.tell(Input::LinkUp { link });
    // Whoever listens at the old address now may hold other shards.
    assert!(!rig.trace.contains(&format!("link {link}: Dq1.0")), "{}", rig.trace);
    let further = rig.last_link();
    rig.tell(Input::LinkUp { link: further });
    assert!(rig.trace.contains(&format!("link {further}: Dq1.0")), "{}", rig.trace);
}

#[test]
fn link_that_came_up_before_the_machine_stood_still_is_sent_on_by_the_time_of_now() {
    let mut rig = Rig::new(1);
    rig.asks(1, "all", "q1", 1);
    let (link, came_up_at) = (rig.last_link(), rig.now);
    rig.now += 1500.0;
    rig.step(vec![(came_up_at, Input::LinkUp { link })]);
    let told = rig.trace.lines().find_map(|line| line.split_once(" d=")?.1.split(' ').next()?.parse().ok());
    // Of 2000 ms 500 are left.
    let told: f64 = told.unwrap_or_else(|| panic!("the call goes out: {}", rig.trace));
    assert!(told <= 500.0, "{told} ms are told");
}
