//! Checks the invariants against the events of a run. It does no I/O, so tests can run each check on made-up events.
//!
//! The names of rules are those of `docs/promises.md`. Violations that the issue "Stricter terms" lists as seen before are
//! counted separately, as [`Report::known`].

use std::collections::{BTreeMap, HashMap};

use crate::clock::TimeMs;
use crate::record::{Event, Status};
use crate::settings::{self, Class, Effect, MAX_DESCRIPTORS, MAX_MEMORY_MB};

/// Tolerance of rules for processes that wait for a core of a busy machine.
const SCHEDULING_SLACK_MS: f64 = 150.0;
/// An answer has no value after its deadline, and counts as lost this long after it.
const ANSWER_LOST_AFTER_MS: f64 = 500.0;
/// Attempts may still begin for this long after a client closed its connection.
const ATTEMPTS_AFTER_CLOSE_MS: f64 = 100.0;
/// Attempts may still begin for this long after a drain was sent to the mixer: 250 ms by the rule and 50 ms for the sockets.
const ATTEMPTS_AFTER_DRAIN_MS: f64 = 250.0 + 50.0;
/// Maximum delay until a change in discovery counts as sent to the mixer.
const CHANGE_SENT_WITHIN_MS: f64 = 6000.0;
/// Tolerance by which the timeout of an attempt may exceed the time left until the client's deadline.
const DEADLINE_SLACK_MS: f64 = 150.0;
/// A client that stopped within a request is answered or closed within this time.
const ABANDONED_ENDED_WITHIN_MS: f64 = 3000.0;
/// A restarted mixer is ready within this time.
const READY_WITHIN_MS: f64 = 10_000.0;
/// The limit on threads of a mixer.
const MAX_THREADS: u64 = 12;
/// Tolerance for the rounding of weights.
const WEIGHT_TOLERANCE: f64 = 1e-3;
/// The longest time that a slow client takes to write a request.
const SLOW_WRITE_MS: f64 = 3000.0;
/// A client sees a close that crossed the first half of its request within this time.
const CROSSING_CLOSE_MS: f64 = SCHEDULING_SLACK_MS;
/// A killed process resets its connections within this time.
const KILL_RESETS_WITHIN_MS: f64 = 500.0;

/// An event that violates a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: &'static str,
    pub at: TimeMs,
    pub description: String,
}

/// What happened in a run, and the violations found in it.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub violations: Vec<Violation>,
    /// Violations that were seen before and filed.
    pub known: Vec<Violation>,
    pub requests: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Requests whose clients left before the answer.
    pub left: usize,
    /// Requests that crossed the close of an idle connection.
    pub crossed: usize,
    pub attempts: usize,
    pub faults: usize,
    pub restarts: usize,
    /// Failed accepts, by the mixers' own counters.
    pub accepts_failed: u64,
    /// How often searchers accepted no more bytes, by the mixers' own counters.
    pub links_blocked: u64,
}

impl Report {
    /// The number of violations of each rule.
    pub fn by_rule(&self) -> BTreeMap<&'static str, usize> {
        let mut rules = BTreeMap::new();
        for violation in &self.violations {
            *rules.entry(violation.rule).or_default() += 1;
        }
        rules
    }
}

/// The time of an event.
pub fn event_time(event: &Event) -> TimeMs {
    match event {
        Event::Sent { at, .. }
        | Event::HalfSent { at, .. }
        | Event::Answered { at, .. }
        | Event::ClientClosed { at, .. }
        | Event::ConnectionEnded { at, .. }
        | Event::Unanswered { at, .. }
        | Event::Abandoned { at, .. }
        | Event::UnsolicitedError { at, .. }
        | Event::Attempt { at, .. }
        | Event::Written { at, .. }
        | Event::Ran { at, .. }
        | Event::ListReceived { at, .. }
        | Event::ListSent { at, .. }
        | Event::Fault { at, .. }
        | Event::Started { at, .. }
        | Event::Ready { at, .. }
        | Event::Signalled { at, .. }
        | Event::Exited { at, .. }
        | Event::Counter { at, .. }
        | Event::Resources { at, .. } => *at,
    }
}

/// A request with its end, its attempts and the executions of its parts.
struct Request<'a> {
    sent_at: TimeMs,
    mixer: usize,
    class: &'static Class,
    deadline_ms: f64,
    /// Whether it was the first on its connection.
    is_first: bool,
    pipelined_behind: Option<&'a str>,
    /// When the first half was written, if the rest followed much later.
    half_sent_at: Option<TimeMs>,
    end: Option<&'a Event>,
    attempts: Vec<Attempt<'a>>,
    /// The parts as the mixer itself wrote them, if that was recorded.
    written: Vec<Write<'a>>,
    /// When each part was executed.
    executions: BTreeMap<&'a str, Vec<TimeMs>>,
}

struct Attempt<'a> {
    /// When the first byte was written, or read if the write was not recorded.
    at: TimeMs,
    is_write_recorded: bool,
    part: &'a str,
    searcher: &'a str,
    timeout_ms: f64,
}

/// The first byte of a part, at the mixer's own system call.
struct Write<'a> {
    at: TimeMs,
    part: &'a str,
    timeout_ms: f64,
}

impl Request<'_> {
    /// Replaces the time at which a searcher read an attempt by that of its recorded write, as the read may be much later.
    fn time_attempts_by_writes(&mut self) {
        for attempt in &mut self.attempts {
            let is_same = |write: &&Write| {
                write.part == attempt.part && write.timeout_ms == attempt.timeout_ms && write.at <= attempt.at
            };
            if let Some(write) = self.written.iter().find(is_same) {
                attempt.at = write.at;
                attempt.is_write_recorded = true;
            }
        }
        self.attempts.sort_by(|one, other| one.at.total_cmp(&other.at));
    }
}

/// A SIGKILL of a mixer's process.
struct Kill {
    at: TimeMs,
    /// Whether it followed a SIGTERM.
    follows_sigterm: bool,
}

#[derive(Clone, Copy)]
struct Span {
    from: TimeMs,
    until: TimeMs,
}

/// The state of a mixer over the run.
#[derive(Default)]
struct MixerHistory {
    kills: Vec<Kill>,
    /// Spans in which the mixer was stopped.
    pauses: Vec<Span>,
    /// Spans in which a crowd of idle connections was open.
    crowds: Vec<Span>,
    /// When processes of the mixer ended.
    exits: Vec<TimeMs>,
}

impl MixerHistory {
    fn add_signal(&mut self, at: TimeMs, signal: &str) {
        match signal {
            "KILL" => self.kills.push(Kill { at, follows_sigterm: false }),
            "KILL after TERM" => self.kills.push(Kill { at, follows_sigterm: true }),
            "STOP" => self.pauses.push(Span { from: at, until: TimeMs::INFINITY }),
            "CONT" => {
                if let Some(pause) = self.pauses.last_mut() {
                    pause.until = pause.until.min(at);
                }
            }
            _ => {}
        }
    }

    /// Whether the mixer was stopped at some time of a span.
    fn is_paused(&self, from: TimeMs, until: TimeMs) -> bool {
        overlaps(&self.pauses, from, until)
    }

    /// For how long of a span the mixer was stopped.
    fn paused_ms(&self, from: TimeMs, until: TimeMs) -> f64 {
        let pauses = self.pauses.iter();
        pauses.map(|pause| (pause.until.min(until) - pause.from.max(from)).max(0.0)).sum()
    }
}

/// A mixer and a searcher.
type MixerSearcher<'a> = (usize, &'a str);

/// The events of a run, indexed.
#[derive(Default)]
struct Run<'a> {
    requests: HashMap<&'a str, Request<'a>>,
    mixers: BTreeMap<usize, MixerHistory>,
    /// The time from which on a mixer must not send attempts to a searcher.
    closed_from: HashMap<MixerSearcher<'a>, TimeMs>,
}

impl Run<'_> {
    fn mixer(&self, mixer: usize) -> &MixerHistory {
        static NO_HISTORY: MixerHistory =
            MixerHistory { kills: Vec::new(), pauses: Vec::new(), crowds: Vec::new(), exits: Vec::new() };
        self.mixers.get(&mixer).unwrap_or(&NO_HISTORY)
    }
}

fn overlaps(spans: &[Span], from: TimeMs, until: TimeMs) -> bool {
    spans.iter().any(|span| span.from <= until && span.until >= from)
}

/// The id of a part's request.
fn request_of(part: &str) -> &str {
    part.rsplit_once('.').map_or(part, |(request, _)| request)
}

/// Checks the events of a run, which are in the order of their times.
pub fn check(events: &[Event]) -> Report {
    let mut report = Report::default();
    let run = index_events(events, &mut report);
    for (id, request) in &run.requests {
        check_answer(&run, id, request, &mut report);
        check_attempts(&run, id, request, &mut report);
        check_writes(&run, id, request, &mut report);
        check_effects(id, request, &mut report);
    }
    for event in events {
        check_mixer(&run, event, &mut report);
    }
    check_starts(events, &mut report);
    report.violations.sort_by(|one, other| one.at.total_cmp(&other.at));
    report
}

fn index_events<'a>(events: &'a [Event], report: &mut Report) -> Run<'a> {
    let mut run = Run::default();
    for event in events {
        if let Event::Sent { at, id, mixer, class, deadline_ms, is_first, pipelined_behind } = event
            && let Some(class) = settings::class_by_name(class)
        {
            let request = Request {
                sent_at: *at,
                mixer: *mixer,
                class,
                deadline_ms: *deadline_ms,
                is_first: *is_first,
                pipelined_behind: pipelined_behind.as_deref(),
                half_sent_at: None,
                end: None,
                attempts: Vec::new(),
                written: Vec::new(),
                executions: BTreeMap::new(),
            };
            run.requests.insert(id, request);
            report.requests += 1;
        }
    }
    for event in events {
        index_event(&mut run, event, report);
    }
    run.requests.values_mut().for_each(Request::time_attempts_by_writes);
    run.closed_from = closed_from(events);
    run
}

fn index_event<'a>(run: &mut Run<'a>, event: &'a Event, report: &mut Report) {
    match event {
        Event::Answered { id, .. }
        | Event::ClientClosed { id, .. }
        | Event::ConnectionEnded { id, .. }
        | Event::Unanswered { id, .. } => {
            if let Some(request) = run.requests.get_mut(id.as_str()) {
                request.end = Some(event);
            }
        }
        Event::HalfSent { at, id } => {
            if let Some(request) = run.requests.get_mut(id.as_str()) {
                request.half_sent_at = Some(*at);
            }
        }
        Event::Attempt { at, part, searcher, timeout_ms, holds_shard, .. } => {
            let attempt =
                Attempt { at: *at, is_write_recorded: false, part, searcher, timeout_ms: *timeout_ms };
            index_attempt(run, attempt, *holds_shard, report);
        }
        Event::Written { at, part, timeout_ms } => {
            if let Some(request) = run.requests.get_mut(request_of(part)) {
                request.written.push(Write { at: *at, part, timeout_ms: *timeout_ms });
            }
        }
        Event::Ran { at, part, .. } => {
            if let Some(request) = run.requests.get_mut(request_of(part)) {
                request.executions.entry(part).or_default().push(*at);
            }
        }
        Event::Signalled { at, mixer, signal } => {
            run.mixers.entry(*mixer).or_default().add_signal(*at, signal);
        }
        Event::Exited { at, mixer, .. } => run.mixers.entry(*mixer).or_default().exits.push(*at),
        Event::Fault { at, until, description } => {
            report.faults += 1;
            if let Some(mixer) = crowded_mixer(description) {
                let crowd = Span { from: *at, until: until + SCHEDULING_SLACK_MS };
                run.mixers.entry(mixer).or_default().crowds.push(crowd);
            }
        }
        _ => {}
    }
}

/// Adds an attempt to its request, and checks that the searcher holds its shard.
fn index_attempt<'a>(run: &mut Run<'a>, attempt: Attempt<'a>, holds_shard: bool, report: &mut Report) {
    let Attempt { at, part, searcher, .. } = attempt;
    report.attempts += 1;
    let mut add = |description: String| report.violations.push(Violation { rule: "R4", at, description });
    if !holds_shard {
        add(format!("{part} went to {searcher}, which does not hold its shard"));
    }
    match run.requests.get_mut(request_of(part)) {
        Some(request) => request.attempts.push(attempt),
        None => add(format!("{part} belongs to no request")),
    }
}

/// The mixer of a `ClientsCrowd` fault, from its description; `None` for any other fault.
fn crowded_mixer(description: &str) -> Option<usize> {
    let rest = description.strip_prefix("ClientsCrowd { mixer: ")?;
    Some(rest.split(',').next().and_then(|mixer| mixer.parse().ok()).unwrap_or(usize::MAX))
}

/// The time from which on each mixer must not send attempts to a searcher that drains or is removed.
fn closed_from(events: &[Event]) -> HashMap<MixerSearcher<'_>, TimeMs> {
    let mut closed = HashMap::new();
    for (nth, event) in events.iter().enumerate() {
        let Event::ListReceived { at, mixer, index, searchers } = event else { continue };
        let sent_at = events[nth..].iter().find_map(|later| match later {
            Event::ListSent { at, mixer: to, index: up_to } if to == mixer && up_to >= index => Some(*at),
            _ => None,
        });
        for (name, _) in searchers.iter().filter(|searcher| searcher.1 != Status::Up) {
            let sent_at = sent_at.unwrap_or(f64::INFINITY).min(at + CHANGE_SENT_WITHIN_MS);
            let from: &mut f64 = closed.entry((*mixer, name.as_str())).or_insert(f64::INFINITY);
            *from = from.min(sent_at + ATTEMPTS_AFTER_DRAIN_MS);
        }
    }
    closed
}

/// Checks that a request was answered, in time, and with values that searchers computed.
fn check_answer(run: &Run, id: &str, request: &Request, report: &mut Report) {
    match request.end {
        Some(Event::Answered { at, status, exact, weight, is_authentic, .. }) => {
            let answer = Answer {
                at: *at,
                status: *status,
                is_exact: *exact,
                weight: *weight,
                is_authentic: *is_authentic,
            };
            check_complete_answer(run, id, request, &answer, report);
        }
        Some(Event::ClientClosed { .. }) => report.left += 1,
        Some(Event::ConnectionEnded { at, how, is_partial, .. }) => {
            let Some(problem) = connection_end_problem(run, request, *at, *is_partial, report) else {
                return;
            };
            let description = format!("{id}: {problem} ({how:?})");
            report.violations.push(Violation { rule: "L2", at: *at, description });
        }
        // A client waits until 1.5 s after its deadline, but the mixer may have been stopped for much of that time.
        Some(Event::Unanswered { at, .. }) if *at > latest_answer_at(run, request, *at) => {
            let description = format!("{id}: no answer, {:.0} ms after it was sent", at - request.sent_at);
            report_late(request, *at, description, report);
        }
        _ => {}
    }
}

/// The latest time at which a request must be answered. Pauses of its mixer until `at` extend it.
fn latest_answer_at(run: &Run, request: &Request, at: TimeMs) -> TimeMs {
    request.sent_at
        + request.deadline_ms
        + ANSWER_LOST_AFTER_MS
        + SCHEDULING_SLACK_MS
        + run.mixer(request.mixer).paused_ms(request.sent_at, at)
}

/// An answer as its client read it.
struct Answer {
    at: TimeMs,
    status: u16,
    is_exact: bool,
    weight: f64,
    is_authentic: bool,
}

fn check_complete_answer(run: &Run, id: &str, request: &Request, answer: &Answer, report: &mut Report) {
    let Answer { at, status, is_exact, weight, is_authentic } = *answer;
    let needed_weight = request.class.needed_weight;
    let mut add = |rule, description: String| report.violations.push(Violation { rule, at, description });
    if !is_authentic {
        add("L4", format!("{id}: the answer holds values that no searcher computed for it"));
    }
    if is_exact && weight < needed_weight - WEIGHT_TOLERANCE {
        add("H1", format!("{id}: called exact with {weight:.3} of {needed_weight}"));
    }
    if matches!(status, 429 | 503)
        && request.class.effect == Effect::NonReplayable
        && !request.executions.is_empty()
    {
        add("A1", format!("{id}: answered {status} though a part was executed"));
    }
    if at > latest_answer_at(run, request, at) {
        let late_ms = at - request.sent_at - request.deadline_ms;
        report_late(request, at, format!("{id}: answered {late_ms:.0} ms after its deadline"), report);
    }
    match status {
        200 => report.served += 1,
        429 | 503 => report.refused += 1,
        _ => report.failed += 1,
    }
}

/// Reports a late or missing answer; that of a pipelined request is a known violation.
fn report_late(request: &Request, at: TimeMs, description: String, report: &mut Report) {
    let violation = Violation { rule: "L1", at, description };
    match request.pipelined_behind {
        None => report.violations.push(violation),
        Some(_) => report.known.push(violation),
    }
}

/// Why it is a violation that a connection ended without a complete answer; `None` if an event of the run justifies it.
fn connection_end_problem(
    run: &Run,
    request: &Request,
    at: TimeMs,
    is_partial: bool,
    report: &mut Report,
) -> Option<&'static str> {
    let history = run.mixer(request.mixer);
    let kill = history.kills.iter().find(|kill| {
        kill.at >= request.sent_at - KILL_RESETS_WITHIN_MS && kill.at <= at + KILL_RESETS_WITHIN_MS
    });
    let is_crowded = overlaps(&history.crowds, request.sent_at, at);
    // The process ended while the client was still writing the request, so it did not read all of it.
    let crossed_exit =
        history.exits.iter().any(|exit| *exit <= request.sent_at && *exit >= request.sent_at - SLOW_WRITE_MS);
    let first = request.pipelined_behind.and_then(|first| run.requests.get(first));
    let first_was_read = first
        .is_some_and(|first| matches!(first.end, Some(Event::Answered { .. })) || !first.attempts.is_empty());
    match kill {
        Some(kill) if !kill.follows_sigterm => None,
        Some(_) => Some("unanswered when the mixer was killed after its time to end"),
        None if is_partial => Some("a partial answer"),
        None if !request.attempts.is_empty() => Some("forwarded, then closed without an answer"),
        None if first_was_read => Some("read behind another request, then closed without an answer"),
        None if request.half_sent_at.is_some_and(|half_sent_at| at > half_sent_at + CROSSING_CLOSE_MS) => {
            Some("half read, then closed without an answer")
        }
        None if request.is_first && !is_crowded && !crossed_exit => {
            Some("closed without an answer on a new connection")
        }
        None => {
            report.crossed += 1;
            None
        }
    }
}

/// Checks when and where each attempt of a request began, and the time that it gave the searcher.
fn check_attempts(run: &Run, id: &str, request: &Request, report: &mut Report) {
    let client_closed_at = match request.end {
        Some(Event::ClientClosed { at, .. }) => *at,
        _ => f64::INFINITY,
    };
    for attempt in &request.attempts {
        let Attempt { at, is_write_recorded, part, searcher, timeout_ms } = attempt;
        let suffix = pause_suffix(run, request, *at);
        let mut add = |rule, description: String| {
            let description = format!("{description}{suffix}");
            report.violations.push(Violation { rule, at: *at, description });
        };
        if *at > client_closed_at + ATTEMPTS_AFTER_CLOSE_MS + SCHEDULING_SLACK_MS {
            let late_ms = at - client_closed_at;
            add("L3", format!("{part} to {searcher} begins {late_ms:.0} ms after its client closed"));
        }
        let closed_from = run.closed_from.get(&(request.mixer, *searcher)).copied().unwrap_or(f64::INFINITY);
        if *at > closed_from + SCHEDULING_SLACK_MS {
            let late_ms = at - closed_from;
            add("R1", format!("{part} to {searcher}, {late_ms:.0} ms after it was closed to attempts"));
        }
        if !is_write_recorded {
            let write = Write { at: *at, part, timeout_ms: *timeout_ms };
            check_deadline(run, id, request, &write, SCHEDULING_SLACK_MS / 2.0, report);
        }
    }
}

/// A suffix for descriptions of violations, if the mixer was stopped between the sending of the request and this time.
fn pause_suffix(run: &Run, request: &Request, at: TimeMs) -> &'static str {
    if run.mixer(request.mixer).is_paused(request.sent_at, at) { " (the mixer had been stopped)" } else { "" }
}

/// Checks that the timeout of a part does not exceed the time left until its client's deadline.
fn check_deadline(run: &Run, id: &str, request: &Request, write: &Write, slack_ms: f64, report: &mut Report) {
    let Write { at, part, timeout_ms } = *write;
    let left_ms = request.deadline_ms - (at - request.sent_at);
    if timeout_ms <= left_ms + DEADLINE_SLACK_MS + slack_ms {
        return;
    }
    let suffix = pause_suffix(run, request, at);
    let description =
        format!("{id}: {part} was given {timeout_ms:.0} ms where {left_ms:.0} were left{suffix}");
    report.violations.push(Violation { rule: "T1", at, description });
}

/// Checks that the mixer wrote each part while its client was connected and its query open, with a timeout within the time
/// left. These times are those of the mixer's own system calls, so there is no tolerance for scheduling.
fn check_writes(run: &Run, id: &str, request: &Request, report: &mut Report) {
    for write in &request.written {
        let Write { at, part, .. } = write;
        match request.end {
            Some(Event::ClientClosed { at: closed_at, .. }) if *at > closed_at + ATTEMPTS_AFTER_CLOSE_MS => {
                let late_ms = at - closed_at;
                let description = format!("{part} is written {late_ms:.0} ms after its client closed");
                report.violations.push(Violation { rule: "L3", at: *at, description });
            }
            Some(Event::Answered { at: answered_at, .. }) if at > answered_at => {
                let late_ms = at - answered_at;
                let description = format!("{part} is written {late_ms:.0} ms after its query was answered");
                report.violations.push(Violation { rule: "L3", at: *at, description });
            }
            _ => {}
        }
        check_deadline(run, id, request, write, 0.0, report);
    }
}

/// Checks that non-replayable parts were executed once, and keyed ones again only within their window.
fn check_effects(id: &str, request: &Request, report: &mut Report) {
    for (part, executions) in &request.executions {
        let at = executions.last().copied().unwrap_or_default();
        let count = executions.len();
        let mut add = |description: String| report.violations.push(Violation { rule: "D1", at, description });
        match request.class.effect {
            Effect::NonReplayable if count > 1 => add(format!("{id}: {part} was executed {count} times")),
            Effect::Keyed(window_ms) if count > 1 => {
                let attempts = request.attempts.iter().filter(|attempt| attempt.part == *part);
                let begun: Vec<f64> = attempts.map(|attempt| attempt.at).collect();
                let (first, last) = (begun.first().copied(), begun.last().copied());
                let apart_ms = last.zip(first).map_or(0.0, |(last, first)| last - first);
                if apart_ms > window_ms + SCHEDULING_SLACK_MS {
                    add(format!(
                        "{id}: {part} was executed {count} times, sent again {apart_ms:.0} ms after the first"
                    ));
                }
            }
            _ => {}
        }
    }
}

/// Checks the events of a mixer's process: client errors, exits, violation counters and resources.
fn check_mixer(run: &Run, event: &Event, report: &mut Report) {
    let violation = match event {
        Event::Abandoned { mixer, ended_after_ms, at } => {
            let is_late =
                ended_after_ms.is_none_or(|ms| ms > ABANDONED_ENDED_WITHIN_MS + SCHEDULING_SLACK_MS);
            let is_paused = run.mixer(*mixer).is_paused(at - 2.0 * ABANDONED_ENDED_WITHIN_MS, *at);
            (is_late && !is_paused).then(|| {
                ("C1", format!("m{mixer}: a client that stopped within its request: {ended_after_ms:?} ms"))
            })
        }
        Event::UnsolicitedError { mixer, line, .. } => {
            Some(("C1", format!("m{mixer}: an idle client received {line:?}")))
        }
        Event::Exited { mixer, status, expected, .. } => {
            report.restarts += 1;
            let is_clean = *expected && status.is_none_or(|status| status == 0);
            (!is_clean).then(|| ("S1", format!("m{mixer}: exit status {status:?}, asked to end: {expected}")))
        }
        Event::Counter { mixer, name, value, .. } => {
            report.accepts_failed += if name == "accepts_failed" { *value } else { 0 };
            report.links_blocked += if name == "links_blocked" { *value } else { 0 };
            let is_violation = name.starts_with("violations_") && *value > 0;
            is_violation.then(|| ("S1", format!("m{mixer}: {name} is {value}")))
        }
        Event::Resources { mixer, descriptors, threads, peak_kb, .. } => {
            let exceeds_limit =
                *descriptors > MAX_DESCRIPTORS || *threads > MAX_THREADS || *peak_kb > MAX_MEMORY_MB * 1024;
            exceeds_limit.then(|| {
                ("S3", format!("m{mixer}: {descriptors} descriptors, {threads} threads, {peak_kb} kB"))
            })
        }
        _ => None,
    };
    if let Some((rule, description)) = violation {
        report.violations.push(Violation { rule, at: event_time(event), description });
    }
}

/// Checks that each started process was ready in time, unless it ended before.
fn check_starts(events: &[Event], report: &mut Report) {
    let last_at = events.last().map_or(0.0, event_time);
    for (nth, event) in events.iter().enumerate() {
        let Event::Started { at, mixer } = event else { continue };
        let next_at = events[nth + 1..].iter().find_map(|later| match later {
            Event::Ready { at, mixer: of } if of == mixer => Some(*at),
            Event::Signalled { at, mixer: of, signal }
                if of == mixer && matches!(signal.as_str(), "TERM" | "KILL") =>
            {
                Some(*at)
            }
            Event::Exited { at, mixer: of, .. } if of == mixer => Some(*at),
            _ => None,
        });
        let elapsed_ms = next_at.unwrap_or(last_at) - at;
        if elapsed_ms > READY_WITHIN_MS {
            let description = format!("m{mixer}: not ready {elapsed_ms:.0} ms after its start");
            report.violations.push(Violation { rule: "S2", at: *at, description });
        }
    }
}
