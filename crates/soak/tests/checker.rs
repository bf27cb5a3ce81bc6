//! Each check finds the violation that it is for, and none in a run without faults.

use pewterwharf_soak::checker::{Report, check};
use pewterwharf_soak::record::{ConnectionEnd, Event, Status};

const ID: &str = "m0-000001";
const PART: &str = "m0-000001.3";

fn sent(class: &str) -> Event {
    sent_behind(ID, class, None)
}

fn sent_behind(id: &str, class: &str, pipelined_behind: Option<&str>) -> Event {
    Event::Sent {
        at: 1000.0,
        id: id.to_owned(),
        mixer: 0,
        class: class.to_owned(),
        deadline_ms: 500.0,
        is_first: true,
        pipelined_behind: pipelined_behind.map(str::to_owned),
    }
}

fn answered(at: f64, status: u16) -> Event {
    let is_exact = status == 200;
    Event::Answered { at, id: ID.to_owned(), status, exact: is_exact, weight: 1.0, is_authentic: true }
}

fn attempt(at: f64, timeout_ms: f64) -> Event {
    let (part, searcher) = (PART.to_owned(), "s0a".to_owned());
    Event::Attempt { at, complete_at: at, part, searcher, timeout_ms, holds_shard: true }
}

fn ran(at: f64) -> Event {
    Event::Ran { at, part: PART.to_owned(), searcher: "s0a".to_owned() }
}

fn connection_ended(id: &str, at: f64) -> Event {
    Event::ConnectionEnded { at, id: id.to_owned(), how: ConnectionEnd::Closed, is_partial: false }
}

/// The rules that these events violate.
fn broken_rules(events: &[Event]) -> Vec<&'static str> {
    let Report { violations, .. } = check(events);
    violations.into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn request_served_in_time() {
    let events = [sent("entry"), attempt(1001.0, 480.0), ran(1010.0), answered(1020.0, 200)];
    assert!(broken_rules(&events).is_empty());
}

#[test]
fn lost_and_late_answers() {
    assert_eq!(broken_rules(&[sent("lookup"), answered(2300.0, 503)]), ["L1"], "late");
    let unanswered = Event::Unanswered { at: 3000.0, id: ID.to_owned() };
    assert_eq!(broken_rules(&[sent("lookup"), unanswered]), ["L1"], "unanswered");
    assert_eq!(broken_rules(&[sent("lookup"), connection_ended(ID, 1100.0)]), ["L2"], "a new connection");
    assert_eq!(
        broken_rules(&[sent("lookup"), attempt(1001.0, 480.0), connection_ended(ID, 1100.0)]),
        ["L2"],
        "forwarded"
    );
    let second_id = "m0-000002";
    let events = [
        sent("lookup"),
        sent_behind(second_id, "lookup", Some(ID)),
        answered(1010.0, 200),
        connection_ended(second_id, 1100.0),
    ];
    assert_eq!(broken_rules(&events), ["L2"], "read behind another request");
    let killed = Event::Signalled { at: 1050.0, mixer: 0, signal: "KILL".to_owned() };
    assert!(
        broken_rules(&[sent("lookup"), killed, connection_ended(ID, 1100.0)]).is_empty(),
        "killed by the run"
    );
    let killed = Event::Signalled { at: 1050.0, mixer: 0, signal: "KILL after TERM".to_owned() };
    assert_eq!(
        broken_rules(&[sent("lookup"), killed, connection_ended(ID, 1100.0)]),
        ["L2"],
        "open when the mixer was killed after its time to end"
    );
}

#[test]
fn half_read_request_closed() {
    let half_sent = |at: f64| Event::HalfSent { at, id: ID.to_owned() };
    let exit = Event::Exited { at: 700.0, mixer: 0, status: Some(0), expected: true };
    let rules_with_half_at = |half_sent_at: f64| {
        let Event::Sent { at, id, mixer, class, deadline_ms, pipelined_behind, .. } = sent("lookup") else {
            unreachable!("sent() returns this variant")
        };
        let sent = Event::Sent { at, id, mixer, class, deadline_ms, is_first: false, pipelined_behind };
        broken_rules(&[half_sent(half_sent_at), exit.clone(), sent, connection_ended(ID, 1001.0)])
    };
    assert_eq!(rules_with_half_at(200.0), ["L2"], "the process ended between the halves");
    assert!(rules_with_half_at(900.0).is_empty(), "closed while the first half was in flight");
}

#[test]
fn attempts_at_wrong_time_or_place() {
    let closed = Event::ClientClosed { at: 1100.0, id: ID.to_owned() };
    assert_eq!(broken_rules(&[sent("lookup"), closed, attempt(1400.0, 50.0)]), ["L3"]);
    let draining = vec![("s0a".to_owned(), Status::Draining)];
    let received = Event::ListReceived { at: 500.0, mixer: 0, index: 7, searchers: draining };
    let list_sent = Event::ListSent { at: 510.0, mixer: 0, index: 7 };
    assert_eq!(
        broken_rules(&[received.clone(), list_sent, sent("lookup"), attempt(1001.0, 480.0)]),
        ["R1"],
        "sent to the mixer"
    );
    assert!(
        broken_rules(&[received, sent("lookup"), attempt(1001.0, 480.0)]).is_empty(),
        "not sent to the mixer within 6 s"
    );
    assert_eq!(broken_rules(&[sent("lookup"), attempt(1200.0, 600.0)]), ["T1"]);
    let pipelined = sent_behind(ID, "lookup", Some("m0-000000"));
    assert_eq!(broken_rules(&[pipelined, attempt(1200.0, 600.0)]), ["T1"], "behind another request");
    let stray = Event::Attempt {
        at: 1001.0,
        complete_at: 1001.0,
        part: PART.to_owned(),
        searcher: "s0a".to_owned(),
        timeout_ms: 400.0,
        holds_shard: false,
    };
    assert_eq!(broken_rules(&[sent("lookup"), stray]), ["R4"]);
}

#[test]
fn repeated_effects() {
    let repeated = [attempt(1001.0, 480.0), ran(1010.0), attempt(1600.0, 10.0), ran(1610.0)];
    let rules_of_class = |class: &str| broken_rules(&[vec![sent(class)], repeated.to_vec()].concat());
    assert_eq!(rules_of_class("entry"), ["D1"]);
    assert_eq!(rules_of_class("order"), ["D1"], "after its window");
    assert!(rules_of_class("lookup").is_empty());
    assert_eq!(broken_rules(&[sent("entry"), ran(1010.0), answered(1020.0, 503)]), ["A1"]);
}

#[test]
fn faults_of_mixer() {
    let crash = Event::Exited { at: 1000.0, mixer: 0, status: Some(101), expected: false };
    let counter = Event::Counter { at: 1000.0, mixer: 0, name: "violations_send".to_owned(), value: 1 };
    let resources = Event::Resources { at: 1000.0, mixer: 0, descriptors: 300, threads: 6, peak_kb: 9000 };
    let abandoned = Event::Abandoned { at: 9000.0, mixer: 0, ended_after_ms: None };
    let line = "HTTP/1.1 408 Request Timeout".to_owned();
    let unsolicited = Event::UnsolicitedError { at: 1000.0, mixer: 0, line };
    for (event, rule) in
        [(crash, "S1"), (counter, "S1"), (resources, "S3"), (abandoned, "C1"), (unsolicited, "C1")]
    {
        assert_eq!(broken_rules(&[event]), [rule]);
    }
    let late_start = [Event::Started { at: 0.0, mixer: 0 }, Event::Ready { at: 11_000.0, mixer: 0 }];
    assert_eq!(broken_rules(&late_start), ["S2"]);
}

#[test]
fn writes_after_their_time() {
    let written = |at: f64, timeout_ms: f64| Event::Written { at, part: PART.to_owned(), timeout_ms };
    let closed = Event::ClientClosed { at: 1100.0, id: ID.to_owned() };
    let signalled = |at: f64, signal: &str| Event::Signalled { at, mixer: 0, signal: signal.to_owned() };
    assert_eq!(
        broken_rules(&[sent("lookup"), closed.clone(), written(1201.0, 50.0)]),
        ["L3"],
        "the client left"
    );
    assert!(broken_rules(&[sent("lookup"), closed.clone(), written(1199.0, 50.0)]).is_empty());
    let read_late = [sent("lookup"), closed.clone(), written(1150.0, 50.0), attempt(1900.0, 50.0)];
    assert!(broken_rules(&read_late).is_empty(), "written in time and read late");
    let stopped =
        [sent("lookup"), signalled(1090.0, "STOP"), closed, signalled(1290.0, "CONT"), written(1291.0, 50.0)];
    assert_eq!(broken_rules(&stopped), ["L3"], "a stop of the mixer does not justify it");
    assert_eq!(
        broken_rules(&[sent("lookup"), answered(1020.0, 200), written(1021.0, 50.0)]),
        ["L3"],
        "answered"
    );
    assert_eq!(
        broken_rules(&[sent("lookup"), written(1100.0, 551.0)]),
        ["T1"],
        "a timeout beyond the deadline"
    );
}

#[test]
fn late_answer_after_pause() {
    let signalled = |at: f64, signal: &str| Event::Signalled { at, mixer: 0, signal: signal.to_owned() };
    let events = |answered_at: f64| {
        [sent("lookup"), signalled(1100.0, "STOP"), signalled(1300.0, "CONT"), answered(answered_at, 503)]
    };
    assert!(broken_rules(&events(2340.0)).is_empty());
    assert_eq!(broken_rules(&events(2360.0)), ["L1"]);
}
