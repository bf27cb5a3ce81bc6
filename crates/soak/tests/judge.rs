//! Each check of the judge finds what it is for, and nothing in a run that is well.

use pewterwharf_soak::judge::{Verdict, judge};
use pewterwharf_soak::record::{ConnectionEnd, Event, Status};

const ID: &str = "m0-000001";
const PART: &str = "m0-000001.3";

fn sent(class: &str) -> Event {
    sent_behind(ID, class, None)
}

fn sent_behind(id: &str, class: &str, behind: Option<&str>) -> Event {
    let (id, class, behind) = (id.to_owned(), class.to_owned(), behind.map(str::to_owned));
    Event::Sent { at: 1000.0, id, mixer: 0, class, deadline_ms: 500.0, fresh: true, behind }
}

fn answered(at: f64, status: u16) -> Event {
    Event::Answered { at, id: ID.to_owned(), status, exact: status == 200, weight: 1.0, sound: true }
}

fn attempt(at: f64, told_ms: f64) -> Event {
    let (part, searcher) = (PART.to_owned(), "s0a".to_owned());
    Event::Attempt { at, whole_at: at, part, searcher, told_ms, holds: true }
}

fn ran(at: f64) -> Event {
    Event::Ran { at, part: PART.to_owned(), searcher: "s0a".to_owned() }
}

fn ended(id: &str, at: f64) -> Event {
    Event::ConnectionEnded { at, id: id.to_owned(), how: ConnectionEnd::Closed, partly: false }
}

fn rules(events: &[Event]) -> Vec<&'static str> {
    let Verdict { violations, .. } = judge(events);
    violations.into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn request_that_is_served_in_time_breaks_nothing() {
    let events = [sent("entry"), attempt(1001.0, 480.0), ran(1010.0), answered(1020.0, 200)];
    assert!(rules(&events).is_empty());
}

#[test]
fn lost_and_late_answers_are_found() {
    assert_eq!(rules(&[sent("lookup"), answered(2300.0, 503)]), ["L1"], "late");
    assert_eq!(rules(&[sent("lookup"), Event::Silent { at: 3000.0, id: ID.to_owned() }]), ["L1"], "silent");
    assert_eq!(rules(&[sent("lookup"), ended(ID, 1100.0)]), ["L2"], "a new connection");
    assert_eq!(rules(&[sent("lookup"), attempt(1001.0, 480.0), ended(ID, 1100.0)]), ["L2"], "forwarded");
    let behind = "m0-000002";
    let events = [
        sent("lookup"),
        sent_behind(behind, "lookup", Some(ID)),
        answered(1010.0, 200),
        ended(behind, 1100.0),
    ];
    assert_eq!(rules(&events), ["L2"], "read behind another");
    let killed = Event::Signalled { at: 1050.0, mixer: 0, signal: "KILL".to_owned() };
    assert!(rules(&[sent("lookup"), killed, ended(ID, 1100.0)]).is_empty(), "killed by the run");
    let killed = Event::Signalled { at: 1050.0, mixer: 0, signal: "KILL after TERM".to_owned() };
    assert_eq!(
        rules(&[sent("lookup"), killed, ended(ID, 1100.0)]),
        ["L2"],
        "open as it was killed in the end"
    );
}

#[test]
fn request_that_is_half_read_and_then_closed_is_found() {
    let begun = |at: f64| Event::Begun { at, id: ID.to_owned() };
    let exit = Event::Exited { at: 700.0, mixer: 0, status: Some(0), expected: true };
    let resting = |begun_at: f64| {
        let Event::Sent { at, id, mixer, class, deadline_ms, behind, .. } = sent("lookup") else {
            unreachable!("it is one")
        };
        let sent = Event::Sent { at, id, mixer, class, deadline_ms, fresh: false, behind };
        rules(&[begun(begun_at), exit.clone(), sent, ended(ID, 1001.0)])
    };
    assert_eq!(resting(200.0), ["L2"], "the process ended between its halves");
    assert!(resting(900.0).is_empty(), "it was closed as the first half was on its way");
}

#[test]
fn attempts_at_the_wrong_time_or_place_are_found() {
    let closed = Event::ClientClosed { at: 1100.0, id: ID.to_owned() };
    assert_eq!(rules(&[sent("lookup"), closed, attempt(1400.0, 50.0)]), ["L3"]);
    let drains = vec![("s0a".to_owned(), Status::Draining)];
    let held = Event::Held { at: 500.0, mixer: 0, index: 7, searchers: drains };
    let told = Event::Told { at: 510.0, mixer: 0, index: 7 };
    assert_eq!(rules(&[held.clone(), told, sent("lookup"), attempt(1001.0, 480.0)]), ["R1"], "told");
    assert!(rules(&[held, sent("lookup"), attempt(1001.0, 480.0)]).is_empty(), "not told within 6 s");
    assert_eq!(rules(&[sent("lookup"), attempt(1200.0, 600.0)]), ["T1"]);
    let behind = sent_behind(ID, "lookup", Some("m0-000000"));
    assert_eq!(rules(&[behind, attempt(1200.0, 600.0)]), ["T1"], "behind another");
    let stray = Event::Attempt {
        at: 1001.0,
        whole_at: 1001.0,
        part: PART.to_owned(),
        searcher: "s0a".to_owned(),
        told_ms: 400.0,
        holds: false,
    };
    assert_eq!(rules(&[sent("lookup"), stray]), ["R4"]);
}

#[test]
fn effects_that_happen_twice_are_found() {
    let twice = [attempt(1001.0, 480.0), ran(1010.0), attempt(1600.0, 10.0), ran(1610.0)];
    let of = |class: &str| rules(&[vec![sent(class)], twice.to_vec()].concat());
    assert_eq!(of("entry"), ["D1"]);
    assert_eq!(of("order"), ["D1"], "past its window");
    assert!(of("lookup").is_empty());
    assert_eq!(rules(&[sent("entry"), ran(1010.0), answered(1020.0, 503)]), ["A1"]);
}

#[test]
fn what_a_mixer_itself_does_wrong_is_found() {
    let crash = Event::Exited { at: 1000.0, mixer: 0, status: Some(101), expected: false };
    let counter = Event::Counter { at: 1000.0, mixer: 0, name: "violations_send".to_owned(), value: 1 };
    let held = Event::Resources { at: 1000.0, mixer: 0, descriptors: 300, threads: 6, peak_kb: 9000 };
    let stopped = Event::Abandoned { at: 9000.0, mixer: 0, ended_after_ms: None };
    let unasked = Event::Unasked { at: 1000.0, mixer: 0, line: "HTTP/1.1 408 Request Timeout".to_owned() };
    for (event, rule) in [(crash, "S1"), (counter, "S1"), (held, "S3"), (stopped, "C1"), (unasked, "C1")] {
        assert_eq!(rules(&[event]), [rule]);
    }
    let late = [Event::Started { at: 0.0, mixer: 0 }, Event::Ready { at: 11_000.0, mixer: 0 }];
    assert_eq!(rules(&late), ["S2"]);
}

#[test]
fn parts_that_a_mixer_writes_too_late_are_found_without_any_slack_for_the_machine() {
    let written = |at: f64, told_ms: f64| Event::Written { at, part: PART.to_owned(), told_ms };
    let closed = Event::ClientClosed { at: 1100.0, id: ID.to_owned() };
    let stop = |at: f64, signal: &str| Event::Signalled { at, mixer: 0, signal: signal.to_owned() };
    assert_eq!(rules(&[sent("lookup"), closed.clone(), written(1201.0, 50.0)]), ["L3"], "its client left");
    assert!(rules(&[sent("lookup"), closed.clone(), written(1199.0, 50.0)]).is_empty());
    let read_late = [sent("lookup"), closed.clone(), written(1150.0, 50.0), attempt(1900.0, 50.0)];
    assert!(rules(&read_late).is_empty(), "read late, and written in time");
    let stopped = [sent("lookup"), stop(1090.0, "STOP"), closed, stop(1290.0, "CONT"), written(1291.0, 50.0)];
    assert_eq!(rules(&stopped), ["L3"], "a stop excuses none");
    assert_eq!(rules(&[sent("lookup"), answered(1020.0, 200), written(1021.0, 50.0)]), ["L3"], "answered");
    assert_eq!(rules(&[sent("lookup"), written(1100.0, 551.0)]), ["T1"], "a deadline");
}

#[test]
fn late_answer_is_excused_by_no_more_than_the_time_that_its_mixer_stood_still() {
    let stop = |at: f64, signal: &str| Event::Signalled { at, mixer: 0, signal: signal.to_owned() };
    let paused = |at: f64| [sent("lookup"), stop(1100.0, "STOP"), stop(1300.0, "CONT"), answered(at, 503)];
    assert!(rules(&paused(2340.0)).is_empty());
    assert_eq!(rules(&paused(2360.0)), ["L1"]);
}
