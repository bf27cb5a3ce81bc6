//! The invariants, held against the events of a run. No I/O: tests show that each check finds what it is for.
//!
//! Names of rules are those of `docs/promises.md`. What the issue "Stricter terms" names as seen already is counted apart, as
//! [`Verdict::known`].

use std::collections::{BTreeMap, HashMap};

use crate::record::{Event, Status};
use crate::settings::{self, Class, Effect, MEMORY_MB, SOCKETS};

/// What processes of a busy machine may wait for a core, beyond what a rule allows.
const MACHINE_MS: f64 = 150.0;
/// An answer earns nothing after its time, and is lost so long after it.
const LATE_MS: f64 = 500.0;
/// From a client's close on, attempts may begin for so long.
const CLOSED_MS: f64 = 100.0;
/// From the telling of a drain on, and the slack of sockets.
const DRAIN_MS: f64 = 250.0 + 50.0;
/// Told at the latest so long after discovery had it.
const TOLD_MS: f64 = 6000.0;
/// What a searcher is told may exceed what its client has left by so much.
const DEADLINE_MS: f64 = 150.0;
/// Who stops within a request is answered or closed within so long.
const STOPPED_MS: f64 = 3000.0;
/// A restarted mixer is ready within so long.
const READY_MS: f64 = 10_000.0;
/// Threads of a mixer.
const THREADS: u64 = 12;
/// Weights come rounded.
const ROUNDING: f64 = 1e-3;
/// Slow clients write a request for so long at most.
const WRITES_MS: f64 = 3000.0;
/// A close that crosses the first half of a request is seen by its client within so long.
const CLOSE_CROSSES_MS: f64 = MACHINE_MS;
/// A killed process resets its connections within so long.
const KILL_SEEN_MS: f64 = 500.0;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: &'static str,
    pub at: f64,
    pub what: String,
}

/// What was played, and what did not hold.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub violations: Vec<Violation>,
    /// Seen before and filed.
    pub known: Vec<Violation>,
    pub requests: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Requests whose clients left before the answer.
    pub left: usize,
    /// Requests that crossed the close of a resting connection.
    pub crossed: usize,
    pub attempts: usize,
    pub troubles: usize,
    pub restarts: usize,
    /// Accepts that failed, by the mixers' own counters.
    pub accepts_failed: u64,
    /// How often searchers took no more, by the same.
    pub links_blocked: u64,
}

impl Verdict {
    /// How often each rule was broken.
    pub fn by_rule(&self) -> BTreeMap<&'static str, usize> {
        let mut rules = BTreeMap::new();
        for violation in &self.violations {
            *rules.entry(violation.rule).or_default() += 1;
        }
        rules
    }
}

/// When an event happened.
pub fn time(event: &Event) -> f64 {
    match event {
        Event::Sent { at, .. }
        | Event::Begun { at, .. }
        | Event::Answered { at, .. }
        | Event::ClientClosed { at, .. }
        | Event::ConnectionEnded { at, .. }
        | Event::Silent { at, .. }
        | Event::Abandoned { at, .. }
        | Event::Unasked { at, .. }
        | Event::Attempt { at, .. }
        | Event::Written { at, .. }
        | Event::Ran { at, .. }
        | Event::Held { at, .. }
        | Event::Told { at, .. }
        | Event::Trouble { at, .. }
        | Event::Started { at, .. }
        | Event::Ready { at, .. }
        | Event::Signalled { at, .. }
        | Event::Exited { at, .. }
        | Event::Counter { at, .. }
        | Event::Resources { at, .. } => *at,
    }
}

/// A request and what became of it.
struct Request<'a> {
    sent_at: f64,
    mixer: usize,
    class: &'static Class,
    deadline_ms: f64,
    fresh: bool,
    behind: Option<&'a str>,
    /// When its first half was written, where the rest followed much later.
    begun_at: Option<f64>,
    end: Option<&'a Event>,
    attempts: Vec<Attempt<'a>>,
    /// Its parts as the mixer itself wrote them, where that was noted.
    written: Vec<Write<'a>>,
    /// When each part ran.
    ran: BTreeMap<&'a str, Vec<f64>>,
}

struct Attempt<'a> {
    /// When its first byte was written, or read where the writing was not noted.
    at: f64,
    is_noted: bool,
    part: &'a str,
    searcher: &'a str,
    told_ms: f64,
}

/// A part's first byte, at the mixer's own system call.
struct Write<'a> {
    at: f64,
    part: &'a str,
    told_ms: f64,
}

impl Request<'_> {
    /// Takes the times at which attempts were written, where they were noted: a searcher may read them much later.
    fn time_attempts_by_writes(&mut self) {
        for attempt in &mut self.attempts {
            let same = |write: &&Write| {
                write.part == attempt.part && write.told_ms == attempt.told_ms && write.at <= attempt.at
            };
            if let Some(write) = self.written.iter().find(same) {
                (attempt.at, attempt.is_noted) = (write.at, true);
            }
        }
        self.attempts.sort_by(|one, other| one.at.total_cmp(&other.at));
    }
}

/// A process of a mixer that was told to end, or was killed.
struct Kill {
    at: f64,
    planned: bool,
}

/// All of a run, by what it is looked up by.
#[derive(Default)]
struct Run<'a> {
    requests: HashMap<&'a str, Request<'a>>,
    kills: BTreeMap<usize, Vec<Kill>>,
    /// Spans in which a mixer stood still.
    pauses: BTreeMap<usize, Vec<(f64, f64)>>,
    crowds: BTreeMap<usize, Vec<(f64, f64)>>,
    /// When processes of a mixer ended.
    exits: BTreeMap<usize, Vec<f64>>,
    /// By mixer and searcher: from when on nothing may be sent to it.
    closed: HashMap<(usize, &'a str), f64>,
}

impl Run<'_> {
    /// Whether a mixer stood still at some time of a span.
    fn is_paused(&self, mixer: usize, from: f64, until: f64) -> bool {
        overlaps(self.pauses.get(&mixer), from, until)
    }

    /// For how long of a span a mixer stood still.
    fn paused_ms(&self, mixer: usize, from: f64, until: f64) -> f64 {
        let pauses = self.pauses.get(&mixer).into_iter().flatten();
        pauses.map(|pause| (pause.1.min(until) - pause.0.max(from)).max(0.0)).sum()
    }
}

fn overlaps(spans: Option<&Vec<(f64, f64)>>, from: f64, until: f64) -> bool {
    spans.is_some_and(|spans| spans.iter().any(|span| span.0 <= until && span.1 >= from))
}

fn request_of(part: &str) -> &str {
    part.rsplit_once('.').map_or(part, |(request, _)| request)
}

/// Judges the events of a run, in the order of their times.
pub fn judge(events: &[Event]) -> Verdict {
    let mut verdict = Verdict::default();
    let run = gather(events, &mut verdict);
    for (id, request) in &run.requests {
        judge_end(&run, id, request, &mut verdict);
        judge_attempts(&run, id, request, &mut verdict);
        judge_writes(&run, id, request, &mut verdict);
        judge_effects(id, request, &mut verdict);
    }
    for event in events {
        judge_mixer(&run, event, &mut verdict);
    }
    judge_starts(events, &mut verdict);
    verdict.violations.sort_by(|one, other| one.at.total_cmp(&other.at));
    verdict
}

fn gather<'a>(events: &'a [Event], verdict: &mut Verdict) -> Run<'a> {
    let mut run = Run::default();
    for event in events {
        if let Event::Sent { at, id, mixer, class, deadline_ms, fresh, behind } = event
            && let Some(class) = settings::class(class)
        {
            let (sent_at, mixer, deadline_ms, fresh, behind) =
                (*at, *mixer, *deadline_ms, *fresh, behind.as_deref());
            let request = Request {
                sent_at,
                mixer,
                class,
                deadline_ms,
                fresh,
                behind,
                begun_at: None,
                end: None,
                attempts: Vec::new(),
                written: Vec::new(),
                ran: BTreeMap::new(),
            };
            run.requests.insert(id, request);
            verdict.requests += 1;
        }
    }
    for event in events {
        gather_one(&mut run, event, verdict);
    }
    run.requests.values_mut().for_each(Request::time_attempts_by_writes);
    run.closed = closed(events);
    run
}

fn gather_one<'a>(run: &mut Run<'a>, event: &'a Event, verdict: &mut Verdict) {
    match event {
        Event::Answered { id, .. }
        | Event::ClientClosed { id, .. }
        | Event::ConnectionEnded { id, .. }
        | Event::Silent { id, .. } => {
            if let Some(request) = run.requests.get_mut(id.as_str()) {
                request.end = Some(event);
            }
        }
        Event::Begun { at, id } => {
            if let Some(request) = run.requests.get_mut(id.as_str()) {
                request.begun_at = Some(*at);
            }
        }
        Event::Attempt { at, part, searcher, told_ms, holds, .. } => {
            verdict.attempts += 1;
            let violation = |what: String| Violation { rule: "R4", at: *at, what };
            if !holds {
                verdict
                    .violations
                    .push(violation(format!("{part} went to {searcher}, which does not hold its shard")));
            }
            match run.requests.get_mut(request_of(part)) {
                Some(request) => {
                    let (at, told_ms, is_noted) = (*at, *told_ms, false);
                    request.attempts.push(Attempt { at, is_noted, part, searcher, told_ms })
                }
                None => verdict.violations.push(violation(format!("{part} was requested by nobody"))),
            }
        }
        Event::Written { at, part, told_ms } => {
            if let Some(request) = run.requests.get_mut(request_of(part)) {
                request.written.push(Write { at: *at, part, told_ms: *told_ms });
            }
        }
        Event::Ran { at, part, .. } => {
            if let Some(request) = run.requests.get_mut(request_of(part)) {
                request.ran.entry(part).or_default().push(*at);
            }
        }
        Event::Signalled { at, mixer, signal } => match signal.as_str() {
            "KILL" | "KILL after TERM" => {
                let planned = signal != "KILL";
                run.kills.entry(*mixer).or_default().push(Kill { at: *at, planned });
            }
            "STOP" => run.pauses.entry(*mixer).or_default().push((*at, f64::INFINITY)),
            "CONT" => {
                if let Some(pause) = run.pauses.get_mut(mixer).and_then(|pauses| pauses.last_mut()) {
                    pause.1 = pause.1.min(*at);
                }
            }
            _ => {}
        },
        Event::Exited { at, mixer, .. } => run.exits.entry(*mixer).or_default().push(*at),
        Event::Trouble { at, until, what } => {
            verdict.troubles += 1;
            if let Some(rest) = what.strip_prefix("ClientsCrowd { mixer: ") {
                let mixer = rest.split(',').next().and_then(|mixer| mixer.parse().ok()).unwrap_or(usize::MAX);
                run.crowds.entry(mixer).or_default().push((*at, until + MACHINE_MS));
            }
        }
        _ => {}
    }
}

/// From when on a mixer may send nothing to a searcher that drains or is gone.
fn closed(events: &[Event]) -> HashMap<(usize, &str), f64> {
    let mut closed = HashMap::new();
    for (nth, event) in events.iter().enumerate() {
        let Event::Held { at, mixer, index, searchers } = event else { continue };
        let told = events[nth..].iter().find_map(|later| match later {
            Event::Told { at, mixer: to, index: up_to } if to == mixer && up_to >= index => Some(*at),
            _ => None,
        });
        for (name, _) in searchers.iter().filter(|searcher| searcher.1 != Status::Up) {
            let told = told.unwrap_or(f64::INFINITY).min(at + TOLD_MS);
            let from: &mut f64 = closed.entry((*mixer, name.as_str())).or_insert(f64::INFINITY);
            *from = from.min(told + DRAIN_MS);
        }
    }
    closed
}

/// Whether a request got its answer, in time, and an honest one.
fn judge_end(run: &Run, id: &str, request: &Request, verdict: &mut Verdict) {
    let mut broken = |rule, at, what: String| verdict.violations.push(Violation { rule, at, what });
    match request.end {
        Some(Event::Answered { at, status, exact, weight, sound, .. }) => {
            if !sound {
                broken("L4", *at, format!("{id}: the answer holds what no searcher made for it"));
            }
            if *exact && *weight < request.class.need - ROUNDING {
                broken("H1", *at, format!("{id}: called exact with {weight:.3} of {}", request.class.need));
            }
            if matches!(status, 429 | 503)
                && request.class.effect == Effect::NonReplayable
                && !request.ran.is_empty()
            {
                broken("A1", *at, format!("{id}: answered {status} though a part ran"));
            }
            let paused_ms = run.paused_ms(request.mixer, request.sent_at, *at);
            if *at > request.sent_at + request.deadline_ms + LATE_MS + MACHINE_MS + paused_ms {
                let what = format!(
                    "{id}: answered {:.0} ms after its deadline",
                    at - request.sent_at - request.deadline_ms
                );
                match request.behind {
                    None => broken("L1", *at, what),
                    Some(_) => verdict.known.push(Violation { rule: "L1", at: *at, what }),
                }
            }
            match status {
                200 => verdict.served += 1,
                429 | 503 => verdict.refused += 1,
                _ => verdict.failed += 1,
            }
        }
        Some(Event::ClientClosed { .. }) => verdict.left += 1,
        Some(Event::ConnectionEnded { at, how, partly, .. }) => {
            let killed = run.kills.get(&request.mixer).and_then(|kills| {
                kills
                    .iter()
                    .find(|kill| kill.at >= request.sent_at - KILL_SEEN_MS && kill.at <= at + KILL_SEEN_MS)
            });
            let crowded = overlaps(run.crowds.get(&request.mixer), request.sent_at, *at);
            // Its last bytes crossed the end of the process: it was never whole there.
            let ended_before = run.exits.get(&request.mixer).is_some_and(|exits| {
                exits.iter().any(|exit| *exit <= request.sent_at && *exit >= request.sent_at - WRITES_MS)
            });
            let first = request.behind.and_then(|first| run.requests.get(first));
            let first_was_read = first.is_some_and(|first| {
                matches!(first.end, Some(Event::Answered { .. })) || !first.attempts.is_empty()
            });
            let what = match killed {
                Some(kill) if !kill.planned => return,
                Some(_) => "unanswered when the mixer was killed after its time to end",
                None if *partly => "an answer that does not end",
                None if !request.attempts.is_empty() => "forwarded, then closed without an answer",
                None if first_was_read => "read behind another, then closed without an answer",
                None if request.begun_at.is_some_and(|begun_at| *at > begun_at + CLOSE_CROSSES_MS) => {
                    "half read, then closed without an answer"
                }
                None if request.fresh && !crowded && !ended_before => {
                    "closed without an answer on a new connection"
                }
                None => {
                    verdict.crossed += 1;
                    return;
                }
            };
            broken("L2", *at, format!("{id}: {what} ({how:?})"));
        }
        // It is given up 1.5 s after its deadline, of which a mixer that stands still may have missed much.
        Some(Event::Silent { at, .. })
            if *at
                > request.sent_at
                    + request.deadline_ms
                    + LATE_MS
                    + MACHINE_MS
                    + run.paused_ms(request.mixer, request.sent_at, *at) =>
        {
            let what = format!("{id}: no answer, {:.0} ms after it was sent", at - request.sent_at);
            match request.behind {
                None => broken("L1", *at, what),
                Some(_) => verdict.known.push(Violation { rule: "L1", at: *at, what }),
            }
        }
        _ => {}
    }
}

/// Whether each attempt of a request might begin when it did, where it did, with the time that it told.
fn judge_attempts(run: &Run, id: &str, request: &Request, verdict: &mut Verdict) {
    let closed_at = match request.end {
        Some(Event::ClientClosed { at, .. }) => *at,
        _ => f64::INFINITY,
    };
    for attempt in &request.attempts {
        let Attempt { at, is_noted, part, searcher, told_ms } = attempt;
        let paused = if run.is_paused(request.mixer, request.sent_at, *at) {
            " (the mixer had stood still)"
        } else {
            ""
        };
        let mut broken = |rule, what: String| {
            verdict.violations.push(Violation { rule, at: *at, what: format!("{what}{paused}") });
        };
        if *at > closed_at + CLOSED_MS + MACHINE_MS {
            broken(
                "L3",
                format!("{part} to {searcher} begins {:.0} ms after its client closed", at - closed_at),
            );
        }
        let closed = run.closed.get(&(request.mixer, *searcher)).copied().unwrap_or(f64::INFINITY);
        if *at > closed + MACHINE_MS {
            broken(
                "R1",
                format!("{part} to {searcher}, {:.0} ms after nothing might be sent there", at - closed),
            );
        }
        if !is_noted {
            judge_deadline(run, id, request, (*at, part, *told_ms), MACHINE_MS / 2.0, verdict);
        }
    }
}

/// Whether a part told no more time than its client had left as it was sent.
fn judge_deadline(
    run: &Run,
    id: &str,
    request: &Request,
    (at, part, told_ms): (f64, &str, f64),
    slack_ms: f64,
    verdict: &mut Verdict,
) {
    let left_ms = request.deadline_ms - (at - request.sent_at);
    if told_ms <= left_ms + DEADLINE_MS + slack_ms {
        return;
    }
    let paused = run.is_paused(request.mixer, request.sent_at, at);
    let stood_still = if paused { " (the mixer had stood still)" } else { "" };
    let what = format!("{id}: {part} told {told_ms:.0} ms where {left_ms:.0} are left{stood_still}");
    verdict.violations.push(Violation { rule: "T1", at, what });
}

/// Whether the mixer itself wrote each part while its client was there, its query open, and told no more time than was left. These
/// times owe nothing to the machine, so nothing is allowed for it.
fn judge_writes(run: &Run, id: &str, request: &Request, verdict: &mut Verdict) {
    for Write { at, part, told_ms } in &request.written {
        match request.end {
            Some(Event::ClientClosed { at: closed_at, .. }) if *at > closed_at + CLOSED_MS => {
                let what = format!("{part} is written {:.0} ms after its client closed", at - closed_at);
                verdict.violations.push(Violation { rule: "L3", at: *at, what });
            }
            Some(Event::Answered { at: answered_at, .. }) if at > answered_at => {
                let what =
                    format!("{part} is written {:.0} ms after its query was answered", at - answered_at);
                verdict.violations.push(Violation { rule: "L3", at: *at, what });
            }
            _ => {}
        }
        judge_deadline(run, id, request, (*at, part, *told_ms), 0.0, verdict);
    }
}

/// Whether effects that may not happen again did.
fn judge_effects(id: &str, request: &Request, verdict: &mut Verdict) {
    for (part, ran) in &request.ran {
        let at = ran.last().copied().unwrap_or_default();
        let times = ran.len();
        let mut broken = |what: String| verdict.violations.push(Violation { rule: "D1", at, what });
        match request.class.effect {
            Effect::NonReplayable if times > 1 => broken(format!("{id}: {part} ran {times} times")),
            Effect::Keyed(window_ms) if times > 1 => {
                let begun: Vec<f64> =
                    request.attempts.iter().filter(|a| a.part == *part).map(|a| a.at).collect();
                let (first, last) = (begun.first().copied(), begun.last().copied());
                let apart = last.zip(first).map_or(0.0, |(last, first)| last - first);
                if apart > window_ms + MACHINE_MS {
                    broken(format!(
                        "{id}: {part} ran {times} times, sent again {apart:.0} ms after the first"
                    ));
                }
            }
            _ => {}
        }
    }
}

/// What a mixer did or held that it must not.
fn judge_mixer(run: &Run, event: &Event, verdict: &mut Verdict) {
    let broken = match event {
        Event::Abandoned { mixer, ended_after_ms, at } => {
            let late = ended_after_ms.is_none_or(|ms| ms > STOPPED_MS + MACHINE_MS);
            let paused = run.is_paused(*mixer, at - 2.0 * STOPPED_MS, *at);
            (late && !paused).then(|| {
                ("C1", format!("m{mixer}: a client that stopped within its request: {ended_after_ms:?} ms"))
            })
        }
        Event::Unasked { mixer, line, .. } => {
            Some(("C1", format!("m{mixer}: a client that rested was told {line:?}")))
        }
        Event::Exited { mixer, status, expected, .. } => {
            verdict.restarts += 1;
            let well = *expected && status.is_none_or(|status| status == 0);
            (!well).then(|| ("S1", format!("m{mixer}: exit status {status:?}, asked to end: {expected}")))
        }
        Event::Counter { mixer, name, value, .. } => {
            verdict.accepts_failed += if name == "accepts_failed" { *value } else { 0 };
            verdict.links_blocked += if name == "links_blocked" { *value } else { 0 };
            let violated = name.starts_with("violations_") && *value > 0;
            violated.then(|| ("S1", format!("m{mixer}: {name} is {value}")))
        }
        Event::Resources { mixer, descriptors, threads, peak_kb, .. } => {
            let over = *descriptors > SOCKETS || *threads > THREADS || *peak_kb > MEMORY_MB * 1024;
            over.then(|| {
                ("S3", format!("m{mixer}: {descriptors} descriptors, {threads} threads, {peak_kb} kB"))
            })
        }
        _ => None,
    };
    if let Some((rule, what)) = broken {
        verdict.violations.push(Violation { rule, at: time(event), what });
    }
}

/// Whether each process that was started was ready in time, unless it ended before.
fn judge_starts(events: &[Event], verdict: &mut Verdict) {
    let last_at = events.last().map_or(0.0, time);
    for (nth, event) in events.iter().enumerate() {
        let Event::Started { at, mixer } = event else { continue };
        let next = events[nth + 1..].iter().find_map(|later| match later {
            Event::Ready { at, mixer: of } if of == mixer => Some(*at),
            Event::Signalled { at, mixer: of, signal }
                if of == mixer && matches!(signal.as_str(), "TERM" | "KILL") =>
            {
                Some(*at)
            }
            Event::Exited { at, mixer: of, .. } if of == mixer => Some(*at),
            _ => None,
        });
        let took = next.unwrap_or(last_at) - at;
        if took > READY_MS {
            let what = format!("m{mixer}: not ready {took:.0} ms after its start");
            verdict.violations.push(Violation { rule: "S2", at: *at, what });
        }
    }
}
