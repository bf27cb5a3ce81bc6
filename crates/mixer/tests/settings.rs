//! Simulations with random settings and random faults, played through the reducer and the decision module
//! without sockets: the rules hold for all settings within the documented bounds. A failure names the seed of
//! its simulation.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use oorandom::Rand64;
use pewterwharf::interface::SearcherStatus;
use pewterwharf_mixer::discovery::{Entry, List};
use pewterwharf_mixer::frame::{Frame, Verdict};
use pewterwharf_mixer::http::{PartRequest, RequestKind, ScanRequest};
use pewterwharf_mixer::inputs::{Effect, Input, Phase, TimedInput};
use pewterwharf_mixer::reducer::Reducer;
use pewterwharf_terms::MixerConfig;
use serde_json::{Value, json};

const START_MS: f64 = 1_700_000_000_000.0;
const SHARDS: u32 = 6;
/// The number of simulations, with the seeds from 0.
const SIMULATIONS: u128 = 300;
/// Requests, departures and changes of the list in one simulation.
const EVENTS: usize = 150;
/// The time that a simulation runs after the mixer is told to stop, in steps.
const DRAIN_STEPS: usize = 400;
const DRAIN_STEP_MS: f64 = 20.0;
/// The tolerance for sums of weights that are rounded in messages.
const WEIGHT_TOLERANCE: f64 = 1e-3;

/// A random element.
fn draw_one<'a, T>(random: &mut Rand64, elements: &'a [T]) -> &'a T {
    &elements[random.rand_range(0..elements.len() as u64) as usize]
}

fn draw_between(random: &mut Rand64, low: f64, high: f64) -> f64 {
    low + (high - low) * random.rand_float()
}

/// `true` with this probability.
fn draw_chance(random: &mut Rand64, probability: f64) -> bool {
    random.rand_float() < probability
}

/// Random settings within the documented bounds.
fn draw_settings(random: &mut Rand64) -> Value {
    let mut services = Vec::new();
    let (mut required_weights, mut minimum_weights) = (Vec::new(), Vec::new());
    for number in 0..random.rand_range(1..5) {
        let timeout_ms = draw_between(random, 40.0, 3000.0);
        let mut service = json!({"name": format!("kind-{number}"), "idempotency": draw_one(random, &["pure", "token", "side_effect"]),
            "points": draw_between(random, 0.1, 5.0), "slo_ms": timeout_ms * draw_between(random, 0.2, 1.0), "hard_limit_ms": timeout_ms,
            "key_ttl_ms": draw_between(random, 20.0, 2000.0)});
        if draw_chance(random, 0.7) {
            service["late_worth"] = draw_between(random, 0.0, 1.0).into();
        }
        services.push(service);
        let required = if draw_chance(random, 0.5) { 1.0 } else { draw_between(random, 0.3, 1.0) };
        required_weights.push(required);
        minimum_weights.push(if draw_chance(random, 0.5) {
            required
        } else {
            required * draw_between(random, 0.2, 1.0)
        });
    }
    let mut settings = json!({
        "services": services,
        "family_info": {"positions": 1, "in_a_row": 1, "ranges": SHARDS, "class_need": required_weights},
        "permissions": {"cancel": draw_chance(random, 0.5), "probing": draw_chance(random, 0.5), "parallel_tries": draw_chance(random, 0.5),
            "max_attempts": random.rand_range(1..6), "retry_after": draw_chance(random, 0.5)},
        "rules": {"cold_from": draw_between(random, 0.05, 0.9), "warm_after_ms": draw_between(random, 500.0, 20_000.0),
            "tip_multiple": draw_between(random, 1.1, 5.0), "fall_ms": draw_between(random, 300.0, 3000.0)},
        "peers_total": random.rand_range(1..400), "zone": 0, "an unknown key": "is ignored",
    });
    // Keys that may be missing.
    if draw_chance(random, 0.7) {
        settings["customers"] = json!([{"name": "a", "quota_per_s": draw_between(random, 1.0, 50.0)}]);
    }
    let optional = [
        ("family_info", "floor_by_class", json!(minimum_weights)),
        ("family_info", "bundle_max", json!(random.rand_range(1..5))),
        ("permissions", "max_retry_after_ms", json!(draw_between(random, 1.0, 2000.0))),
        ("permissions", "open_cap", json!(random.rand_range(5..200))),
        ("permissions", "multiplex", json!(random.rand_range(1..33))),
        ("permissions", "connect_timeout_ms", json!(draw_between(random, 50.0, 500.0))),
        ("permissions", "idle_close_ms", json!(draw_between(random, 200.0, 15_000.0))),
    ];
    for (section, key, value) in optional {
        if draw_chance(random, 0.6) {
            settings[section][key] = value;
        }
    }
    if draw_chance(random, 0.5) {
        settings["zones"] = json!(["hall"]);
    }
    if draw_chance(random, 0.3) {
        settings["discovery"] = "ask".into();
        settings["rules"]["ask_within_ms"] = draw_between(random, 500.0, 10_000.0).into();
    }
    if draw_chance(random, 0.3) {
        settings["rules"]["repeat_ratio"] = draw_between(random, 0.0, 0.5).into();
        settings["rules"]["extra_window_ms"] = draw_between(random, 500.0, 5000.0).into();
    }
    settings
}

/// A dispatch of a part, as the searchers' side knows it.
struct Dispatch {
    at_ms: f64,
    link: u64,
    /// Whether the mixer has proof that the part was not executed.
    is_proved_unexecuted: bool,
}

struct OpenRequest {
    table_type: usize,
    parts: u32,
    deadline_ms: f64,
    is_over: bool,
}

/// A connection to a searcher.
struct Link {
    searcher: u8,
    /// The names of the parts in each written frame.
    frames: Vec<Vec<String>>,
}

/// The time of an event as the bits of its milliseconds, and a number that keeps the order of simultaneous
/// events.
type EventKey = (u64, u64);

/// One simulation: the events to come, and the state against which the mixer is checked.
struct Simulation {
    random: Rand64,
    config: MixerConfig,
    reducer: Reducer,
    now_ms: f64,
    events: BTreeMap<EventKey, Input>,
    /// Numbers events and versions of the list.
    counter: u64,
    requests: HashMap<String, OpenRequest>,
    /// The ids of requests that have no answer yet, by their connections.
    open_requests: HashMap<u64, String>,
    dispatches: HashMap<String, Vec<Dispatch>>,
    /// The names of the parts whose values the mixer received.
    values: BTreeSet<String>,
    links: HashMap<u64, Link>,
    /// Links whose searcher accepts no bytes for now.
    blocked_links: BTreeSet<u64>,
    searchers: Vec<SearcherStatus>,
    answers: usize,
}

impl Simulation {
    fn schedule(&mut self, at_ms: f64, input: Input) {
        self.counter += 1;
        self.events.insert((at_ms.to_bits(), self.counter), input);
    }

    /// A list of the searchers; a snapshot does not contain those that are gone.
    fn list(&mut self, is_snapshot: bool) -> Input {
        let listed = self
            .searchers
            .iter()
            .enumerate()
            .filter(|(_, status)| !is_snapshot || **status != SearcherStatus::Gone);
        let entries = listed.map(|(number, status)| Entry {
            name: format!("s{number}"),
            addr: std::net::SocketAddrV4::new([10, 0, 0, number as u8].into(), 80),
            zone: "hall".into(),
            cell: 0,
            since: 0.0,
            life: *status,
            age_ms: 0.0,
        });
        self.counter += 1;
        let list =
            List { index: self.counter, whole: is_snapshot, entries: entries.collect(), bad: Vec::new() };
        Input::List { watch: 0, list }
    }

    fn step(&mut self, inputs: Vec<Input>) {
        for input in &inputs {
            match input {
                Input::ClientDisconnected { connection_id } => {
                    let id = self.open_requests.remove(connection_id);
                    if let Some(request) = id.and_then(|id| self.requests.get_mut(&id)) {
                        request.is_over = true;
                    }
                }
                Input::Frames { frames, .. } => {
                    for frame in frames {
                        if let Frame::Part { id, verdict: Verdict::Ok, .. } = frame {
                            self.values.insert(id.clone());
                        }
                    }
                }
                _ => {}
            }
        }
        let writable_link =
            |input: &Input| if let Input::LinkWritable { link } = input { Some(*link) } else { None };
        let writable_links: Vec<u64> = inputs.iter().filter_map(writable_link).collect();
        let timed_inputs = inputs.into_iter().map(|input| TimedInput { at: self.now_ms, input }).collect();
        let effects = self.reducer.step(self.now_ms, timed_inputs);
        for effect in effects {
            self.apply(effect);
        }
        for link in writable_links {
            self.blocked_links.remove(&link);
            self.write_pending(link);
        }
    }

    fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Connect { link, address } => {
                self.links.insert(link, Link { searcher: address.ip().octets()[3], frames: Vec::new() });
                let delay_ms = draw_between(&mut self.random, 0.0, 400.0);
                let succeeds = draw_chance(&mut self.random, 0.85);
                let input = if succeeds {
                    Input::LinkUp { link }
                } else {
                    Input::LinkClosed { link, frames_written: 0 }
                };
                self.schedule(self.now_ms + delay_ms, input);
            }
            Effect::CloseLink { link } => {
                let frames_written = self.links.get(&link).map_or(0, |link| link.frames.len() as u64);
                self.schedule(self.now_ms, Input::LinkClosed { link, frames_written });
            }
            Effect::Send { link } => self.write_pending(link),
            Effect::Answer { connection_id, bytes, .. } => self.check_answer(connection_id, &bytes),
            _ => {}
        }
    }

    /// Writes the pending frames of a link, until its searcher accepts no bytes for a while.
    fn write_pending(&mut self, link: u64) {
        while !self.blocked_links.contains(&link)
            && let Some(frame) = self.reducer.next_frame(self.now_ms, link, &[])
        {
            if !draw_chance(&mut self.random, 0.1) {
                self.check_written_frame(link, &frame.bytes);
                continue;
            }
            self.reducer.return_frame(link);
            self.blocked_links.insert(link);
            self.schedule(self.now_ms, Input::LinkBlocked { link, made_progress: false });
            let blocked_ms = draw_between(&mut self.random, 0.0, 600.0);
            self.schedule(self.now_ms + blocked_ms, Input::LinkWritable { link });
        }
    }

    /// Checks a frame that the mixer writes, and schedules the searcher's answers.
    fn check_written_frame(&mut self, link: u64, bytes: &[u8]) {
        let text = String::from_utf8_lossy(&bytes[4..]).into_owned();
        let permissions = self.config.permissions.clone();
        match text.as_bytes()[0] {
            b'K' => assert!(permissions.cancel, "a part is cancelled without permission"),
            b'I' => assert!(permissions.probe, "a probe is sent without permission"),
            _ => {}
        }
        let searcher = self.links[&link].searcher;
        let names: Vec<String> = match text.as_bytes()[0] {
            b'D' => text[1..]
                .lines()
                .filter_map(|line| Some(line.split(' ').next()?.replace("find", "")))
                .collect(),
            _ => Vec::new(),
        };
        let names: Vec<String> = names.into_iter().filter(|name| !name.is_empty()).collect();
        if let Some(link) = self.links.get_mut(&link) {
            link.frames.push(names.clone());
        }
        for name in names {
            assert_eq!(
                self.searchers[usize::from(searcher)],
                SearcherStatus::Ready,
                "{name} goes to a searcher that drains or is gone"
            );
            self.check_dispatch(&name, link, permissions.max_dispatches as usize);
            self.schedule_answer(name, link);
        }
        if draw_chance(&mut self.random, 0.04) {
            // The link fails; the last frame may be incomplete.
            let frames = self.links[&link].frames.len() as u64;
            let frames_written = frames - u64::from(draw_chance(&mut self.random, 0.5));
            self.schedule(self.now_ms, Input::LinkClosed { link, frames_written });
        }
    }

    /// Checks that a part may be dispatched now, and records it.
    fn check_dispatch(&mut self, name: &str, link: u64, max_dispatches: usize) {
        let id = name.split('.').next().unwrap_or_default();
        let request = self.requests.get(id).unwrap_or_else(|| panic!("{name} belongs to no request"));
        assert!(!request.is_over, "{name} is sent for a scan that is over");
        let table_type = &self.config.table_types[request.table_type];
        let dispatches = self.dispatches.entry(name.to_owned()).or_default();
        let may_have_run_at_ms = dispatches
            .iter()
            .filter(|dispatch| !dispatch.is_proved_unexecuted)
            .map(|dispatch| dispatch.at_ms)
            .reduce(f64::min);
        match table_type.idempotency {
            pewterwharf::interface::Idempotency::NonReplayable => {
                assert!(may_have_run_at_ms.is_none(), "{name} may run twice");
            }
            pewterwharf::interface::Idempotency::Keyed { window_ms } => {
                assert!(
                    may_have_run_at_ms.is_none_or(|at_ms| self.now_ms <= at_ms + window_ms),
                    "{name} is sent after its window"
                );
            }
            pewterwharf::interface::Idempotency::Replayable => {}
        }
        dispatches.push(Dispatch { at_ms: self.now_ms, link, is_proved_unexecuted: false });
        assert!(dispatches.len() <= max_dispatches, "{name} is sent too often");
    }

    /// Draws the answer of a searcher to a part: none, one or two.
    fn schedule_answer(&mut self, name: String, link: u64) {
        let delay_ms = draw_between(&mut self.random, 1.0, 600.0);
        let verdict = match self.random.rand_range(0..20) {
            0..=13 => Some(Verdict::Ok),
            14 => Some(Verdict::Error),
            15 | 16 => Some(Verdict::Full),
            _ => None,
        };
        let Some(verdict) = verdict else { return };
        let frame = Frame::Part { id: name, verdict, value: "v".into(), busy: None };
        let is_duplicated = draw_chance(&mut self.random, 0.05);
        for _ in 0..=u8::from(is_duplicated) {
            let input = Input::Frames { link, frames: vec![frame.clone()], error: None };
            self.schedule(self.now_ms + delay_ms, input);
        }
    }

    /// Checks an answer to a client.
    fn check_answer(&mut self, connection_id: u64, bytes: &[u8]) {
        let Some(id) = self.open_requests.remove(&connection_id) else { return };
        let request = self.requests.get_mut(&id).expect("a request of this client");
        assert!(!request.is_over, "{id} is answered twice");
        request.is_over = true;
        self.answers += 1;
        assert!(self.now_ms <= request.deadline_ms + 1.0, "{id} is answered after its deadline");
        let (text, table_type) =
            (String::from_utf8_lossy(bytes), &self.config.table_types[request.table_type]);
        let names: Vec<String> = (0..request.parts).map(|part| format!("{id}.{part}")).collect();
        let may_have_run = |name: &String| {
            self.dispatches
                .get(name)
                .is_some_and(|dispatches| dispatches.iter().any(|dispatch| !dispatch.is_proved_unexecuted))
        };
        if text.starts_with("HTTP/1.1 200") {
            let weight = text.matches("\"id\"").count() as f64 / f64::from(request.parts);
            let received = names.iter().filter(|name| self.values.contains(*name)).count() as f64
                / f64::from(request.parts);
            assert!(weight <= received + 1e-6, "{id} is answered with values that no searcher sent");
            assert!(
                weight + WEIGHT_TOLERANCE >= table_type.minimum_weight.min(table_type.required_weight),
                "{id} is answered below the minimum weight"
            );
            assert!(
                !text.contains("\"exact\":true") || weight + WEIGHT_TOLERANCE >= table_type.required_weight,
                "{id} is called exact"
            );
        } else if text.starts_with("HTTP/1.1 503") {
            let is_non_replayable =
                table_type.idempotency == pewterwharf::interface::Idempotency::NonReplayable;
            assert!(
                !is_non_replayable || !names.iter().any(may_have_run),
                "{id} is throttled and may have run"
            );
        }
    }

    /// Records which dispatches an input proves to be unexecuted, just before the mixer gets the input.
    fn record_proofs(&mut self, input: &Input) {
        match input {
            Input::LinkClosed { link, frames_written } => {
                let Some(closed) = self.links.get(link) else { return };
                for name in closed.frames.iter().skip(*frames_written as usize).flatten() {
                    let dispatches = self.dispatches.get_mut(name).into_iter().flatten();
                    dispatches
                        .filter(|dispatch| dispatch.link == *link)
                        .for_each(|dispatch| dispatch.is_proved_unexecuted = true);
                }
            }
            Input::Frames { link, frames, .. } => {
                for frame in frames {
                    if let Frame::Part { id, verdict: Verdict::Full, .. } = frame {
                        let dispatches = self.dispatches.get_mut(id).into_iter().flatten();
                        dispatches
                            .filter(|dispatch| dispatch.link == *link)
                            .for_each(|dispatch| dispatch.is_proved_unexecuted = true);
                    }
                }
            }
            _ => {}
        }
    }

    /// Plays the simulation of a seed; returns the number of answers.
    fn play(seed: u128) -> usize {
        let mut random = Rand64::new(seed);
        let settings = draw_settings(&mut random);
        let config =
            MixerConfig::from_json(&settings).unwrap_or_else(|error| panic!("{error:#}: {settings}"));
        let reducer = Reducer::new(config.clone(), random.rand_u64(), 400);
        let mut simulation = Self {
            searchers: vec![SearcherStatus::Ready; random.rand_range(1..6) as usize],
            random,
            config,
            reducer,
            now_ms: START_MS,
            events: BTreeMap::new(),
            counter: 0,
            requests: HashMap::new(),
            open_requests: HashMap::new(),
            dispatches: HashMap::new(),
            values: BTreeSet::new(),
            links: HashMap::new(),
            blocked_links: BTreeSet::new(),
            answers: 0,
        };
        let list = simulation.list(true);
        simulation.step(vec![list]);
        let mut connection_id = 0;
        for _ in 0..EVENTS {
            simulation.now_ms += draw_between(&mut simulation.random, 0.0, 60.0);
            simulation.process_due_events();
            match simulation.random.rand_range(0..20) {
                0 => simulation.change_list(),
                1 | 2 if !simulation.open_requests.is_empty() => simulation.disconnect_client(),
                _ => {
                    connection_id += 1;
                    simulation.send_request(connection_id);
                }
            }
        }
        simulation.step(vec![Input::Stop]);
        for _ in 0..DRAIN_STEPS {
            simulation.now_ms += DRAIN_STEP_MS;
            simulation.process_due_events();
        }
        simulation.step(vec![Input::ListenerClosed]);
        assert!(simulation.open_requests.is_empty(), "without an answer: {:?}", simulation.open_requests);
        assert_eq!(simulation.reducer.phase(), Phase::Closed);
        simulation.answers
    }

    /// Changes the status of a random searcher and sends a list.
    fn change_list(&mut self) {
        let number = self.random.rand_range(0..self.searchers.len() as u64) as usize;
        self.searchers[number] = *draw_one(
            &mut self.random,
            &[SearcherStatus::Draining, SearcherStatus::Gone, SearcherStatus::Ready],
        );
        let is_snapshot = draw_chance(&mut self.random, 0.3);
        let list = self.list(is_snapshot);
        self.step(vec![list]);
    }

    /// Disconnects a random client that waits for an answer.
    fn disconnect_client(&mut self) {
        let connection_ids: BTreeSet<u64> = self.open_requests.keys().copied().collect();
        let connection_ids: Vec<u64> = connection_ids.into_iter().collect();
        let connection_id = *draw_one(&mut self.random, &connection_ids);
        self.step(vec![Input::ClientDisconnected { connection_id }]);
    }

    /// Connects a client, which sends a random request.
    fn send_request(&mut self, connection_id: u64) {
        let table_type = self.random.rand_range(0..self.config.table_types.len() as u64) as usize;
        let parts = self.random.rand_range(1..u64::from(SHARDS) + 1) as u32;
        let wait_ms = draw_between(&mut self.random, 20.0, 4000.0).floor();
        let id = format!("q{connection_id}");
        let deadline_ms = self.now_ms + wait_ms.min(self.config.table_types[table_type].query_timeout_ms);
        self.requests.insert(id.clone(), OpenRequest { table_type, parts, deadline_ms, is_over: false });
        self.open_requests.insert(connection_id, id.clone());
        let weight = 1.0 / f64::from(parts);
        let scan = ScanRequest {
            id,
            table_type: format!("kind-{table_type}"),
            customer: Some("a".to_owned()),
            wait_ms,
            retry: draw_chance(&mut self.random, 0.2),
            text: "find".to_owned(),
            parts: (0..parts).map(|shard| PartRequest { shard, weight, work_ms: None }).collect(),
        };
        self.step(vec![
            Input::ClientConnected { connection_id },
            Input::Request { connection_id, kind: RequestKind::Scan(scan), close: false },
        ]);
    }

    /// Processes the events and timers that are due, in their order; simultaneous events are in one step.
    fn process_due_events(&mut self) {
        let end_ms = self.now_ms;
        loop {
            let next_event = self.events.first_key_value().map(|(key, _)| f64::from_bits(key.0));
            let due = next_event
                .into_iter()
                .chain(self.reducer.next_timer_at())
                .reduce(f64::min)
                .filter(|due_ms| *due_ms <= end_ms);
            let Some(due_ms) = due else { break };
            self.now_ms = due_ms.max(START_MS);
            let mut inputs = Vec::new();
            while let Some(entry) = self.events.first_entry()
                && f64::from_bits(entry.key().0) <= due_ms
            {
                inputs.push(entry.remove());
            }
            inputs.iter().for_each(|input| self.record_proofs(input));
            self.step(inputs);
        }
        self.now_ms = end_ms;
    }
}

#[test]
fn random_settings() {
    let mut answers = 0;
    for seed in 0..SIMULATIONS {
        let played = std::panic::catch_unwind(|| Simulation::play(seed));
        answers += played.unwrap_or_else(|_| panic!("seed {seed}"));
    }
    assert!(answers > 20_000, "only {answers} answers");
}
