//! Days under drawn settings, with drawn faults, played through reducer and module without a socket: whatever a deployment
//! states within the pages' bounds, the rules are kept. A day's seed is told where it fails.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use oorandom::Rand64;
use pewterwharf::interface::SearcherStatus;
use pewterwharf_mixer::discovery::{Entry, List};
use pewterwharf_mixer::frame::{Frame, Verdict};
use pewterwharf_mixer::http::{Ask, PartAsk, ScanAsk};
use pewterwharf_mixer::inputs::{Effect, Input, Phase};
use pewterwharf_mixer::reducer::Reducer;
use pewterwharf_terms::MixerConfig;
use serde_json::{Value, json};

const START: f64 = 1_700_000_000_000.0;
const SHARDS: u32 = 6;

/// A draw among so many.
fn one_of<'a, T>(seed: &mut Rand64, of: &'a [T]) -> &'a T {
    &of[seed.rand_range(0..of.len() as u64) as usize]
}

fn within(seed: &mut Rand64, low: f64, high: f64) -> f64 {
    low + (high - low) * seed.rand_float()
}

fn chance(seed: &mut Rand64, share: f64) -> bool {
    seed.rand_float() < share
}

fn settings(seed: &mut Rand64) -> Value {
    let mut services = Vec::new();
    let (mut needs, mut floors) = (Vec::new(), Vec::new());
    for n in 0..seed.rand_range(1..5) {
        let limit = within(seed, 40.0, 3000.0);
        let mut service = json!({"name": format!("kind-{n}"), "idempotency": one_of(seed, &["pure", "token", "side_effect"]),
            "points": within(seed, 0.1, 5.0), "slo_ms": limit * within(seed, 0.2, 1.0), "hard_limit_ms": limit,
            "key_ttl_ms": within(seed, 20.0, 2000.0)});
        if chance(seed, 0.7) {
            service["late_worth"] = within(seed, 0.0, 1.0).into();
        }
        services.push(service);
        let need = if chance(seed, 0.5) { 1.0 } else { within(seed, 0.3, 1.0) };
        needs.push(need);
        floors.push(if chance(seed, 0.5) { need } else { need * within(seed, 0.2, 1.0) });
    }
    let mut settings = json!({
        "services": services,
        "family_info": {"positions": 1, "in_a_row": 1, "ranges": SHARDS, "class_need": needs},
        "permissions": {"cancel": chance(seed, 0.5), "probing": chance(seed, 0.5), "parallel_tries": chance(seed, 0.5),
            "max_attempts": seed.rand_range(1..6), "retry_after": chance(seed, 0.5)},
        "rules": {"cold_from": within(seed, 0.05, 0.9), "warm_after_ms": within(seed, 500.0, 20_000.0),
            "tip_multiple": within(seed, 1.1, 5.0), "fall_ms": within(seed, 300.0, 3000.0)},
        "peers_total": seed.rand_range(1..400), "zone": 0, "an unknown key": "is passed over",
    });
    // What may be missing.
    if chance(seed, 0.7) {
        settings["customers"] = json!([{"name": "a", "quota_per_s": within(seed, 1.0, 50.0)}]);
    }
    let optional = [
        ("family_info", "floor_by_class", json!(floors)),
        ("family_info", "bundle_max", json!(seed.rand_range(1..5))),
        ("permissions", "max_retry_after_ms", json!(within(seed, 1.0, 2000.0))),
        ("permissions", "open_cap", json!(seed.rand_range(5..200))),
        ("permissions", "multiplex", json!(seed.rand_range(1..33))),
        ("permissions", "connect_timeout_ms", json!(within(seed, 50.0, 500.0))),
        ("permissions", "idle_close_ms", json!(within(seed, 200.0, 15_000.0))),
    ];
    for (section, key, value) in optional {
        if chance(seed, 0.6) {
            settings[section][key] = value;
        }
    }
    if chance(seed, 0.5) {
        settings["zones"] = json!(["hall"]);
    }
    if chance(seed, 0.3) {
        settings["discovery"] = "ask".into();
        settings["rules"]["ask_within_ms"] = within(seed, 500.0, 10_000.0).into();
    }
    if chance(seed, 0.3) {
        settings["rules"]["repeat_ratio"] = within(seed, 0.0, 0.5).into();
        settings["rules"]["extra_window_ms"] = within(seed, 500.0, 5000.0).into();
    }
    settings
}

/// What the world knows of a part's dispatches: when each went out, where, and whether it is proved never to have run.
#[derive(Default)]
struct Sent(Vec<(f64, u64, bool)>);

struct Asked {
    kind: usize,
    parts: u32,
    by: f64,
    over: bool,
}

/// One day: what is still to happen, and the truth that the mixer is held against.
struct Day {
    seed: Rand64,
    terms: MixerConfig,
    reducer: Reducer,
    now: f64,
    to_come: BTreeMap<(u64, u64), Input>,
    count: u64,
    asked: HashMap<String, Asked>,
    by_conn: HashMap<u64, String>,
    sent: HashMap<String, Sent>,
    /// Parts whose values came in, by their names.
    values: BTreeSet<String>,
    links: HashMap<u64, (u8, Vec<Vec<String>>, bool)>,
    /// Links whose searcher takes no more for now.
    blocked: BTreeSet<u64>,
    lives: Vec<SearcherStatus>,
    answers: usize,
}

impl Day {
    fn at(&mut self, at: f64, input: Input) {
        self.count += 1;
        self.to_come.insert((at.to_bits(), self.count), input);
    }

    fn list(&mut self, whole: bool) -> Input {
        let entries = self.lives.iter().enumerate().filter(|e| !whole || *e.1 != SearcherStatus::Gone).map(
            |(n, life)| Entry {
                name: format!("s{n}"),
                addr: std::net::SocketAddrV4::new([10, 0, 0, n as u8].into(), 80),
                zone: "hall".into(),
                cell: 0,
                since: 0.0,
                life: *life,
                age_ms: 0.0,
            },
        );
        self.count += 1;
        let list = List { index: self.count, whole, entries: entries.collect(), bad: Vec::new() };
        Input::List { watch: 0, list }
    }

    fn step(&mut self, inputs: Vec<Input>) {
        for input in &inputs {
            match input {
                Input::ClientDisconnected { conn } => {
                    if let Some(asked) = self.by_conn.remove(conn).and_then(|id| self.asked.get_mut(&id)) {
                        asked.over = true;
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
        let room = |input: &Input| if let Input::LinkWritable { link } = input { Some(*link) } else { None };
        let has_room: Vec<u64> = inputs.iter().filter_map(room).collect();
        let effects = self.reducer.step(self.now, inputs.into_iter().map(|i| (self.now, i)).collect());
        for effect in effects {
            self.met(effect);
        }
        for link in has_room {
            self.blocked.remove(&link);
            self.write(link);
        }
    }

    fn met(&mut self, effect: Effect) {
        match effect {
            Effect::Connect { link, addr } => {
                self.links.insert(link, (addr.ip().octets()[3], Vec::new(), false));
                let late = within(&mut self.seed, 0.0, 400.0);
                let up = chance(&mut self.seed, 0.85);
                let input =
                    if up { Input::LinkUp { link } } else { Input::LinkClosed { link, frames_written: 0 } };
                self.at(self.now + late, input);
            }
            Effect::CloseLink { link } => {
                let written = self.links.get(&link).map_or(0, |l| l.1.len() as u64);
                self.at(self.now, Input::LinkClosed { link, frames_written: written });
            }
            Effect::Send { link } => self.write(link),
            Effect::Answer { conn, bytes, .. } => self.answered(conn, &bytes),
            _ => {}
        }
    }

    /// Writes what waits for a link, until its searcher takes no more for a while.
    fn write(&mut self, link: u64) {
        while !self.blocked.contains(&link)
            && let Some(frame) = self.reducer.next_frame(self.now, link, &[])
        {
            if !chance(&mut self.seed, 0.1) {
                self.written(link, &frame.bytes);
                continue;
            }
            self.reducer.return_frame(link);
            self.blocked.insert(link);
            self.at(self.now, Input::LinkBlocked { link, made_progress: false });
            let later = within(&mut self.seed, 0.0, 600.0);
            self.at(self.now + later, Input::LinkWritable { link });
        }
    }

    fn written(&mut self, link: u64, bytes: &[u8]) {
        let text = String::from_utf8_lossy(&bytes[4..]).into_owned();
        let permits = self.terms.permissions.clone();
        match text.as_bytes()[0] {
            b'K' => assert!(permits.cancel, "a part is given up where that is not allowed"),
            b'I' => assert!(permits.probe, "a probe where none is allowed"),
            _ => {}
        }
        let srv = self.links[&link].0;
        let names: Vec<String> = match text.as_bytes()[0] {
            b'D' => {
                text[1..].lines().filter_map(|l| Some(l.split(' ').next()?.replace("find", ""))).collect()
            }
            _ => Vec::new(),
        };
        let names: Vec<String> = names.into_iter().filter(|n| !n.is_empty()).collect();
        if let Some(held) = self.links.get_mut(&link) {
            held.1.push(names.clone());
        }
        for name in names {
            assert_eq!(
                self.lives[usize::from(srv)],
                SearcherStatus::Ready,
                "{name} goes to one that drains or is gone"
            );
            let id = name.split('.').next().unwrap_or_default();
            let asked = self.asked.get(id).unwrap_or_else(|| panic!("{name} was never asked for"));
            assert!(!asked.over, "{name} is sent for a scan that is over");
            let kind = &self.terms.table_types[asked.kind];
            let sent = self.sent.entry(name.clone()).or_default();
            let may_have_run = sent.0.iter().filter(|s| !s.2).map(|s| s.0).reduce(f64::min);
            match kind.idempotency {
                pewterwharf::interface::Idempotency::NonReplayable => {
                    assert!(may_have_run.is_none(), "{name} may run twice");
                }
                pewterwharf::interface::Idempotency::Keyed { window_ms } => {
                    assert!(
                        may_have_run.is_none_or(|at| self.now <= at + window_ms),
                        "{name} past its window"
                    );
                }
                pewterwharf::interface::Idempotency::Replayable => {}
            }
            sent.0.push((self.now, link, false));
            assert!(sent.0.len() <= permits.max_dispatches as usize, "{name} is sent too often");
            let take = within(&mut self.seed, 1.0, 600.0);
            let verdict = match self.seed.rand_range(0..20) {
                0..=13 => Some(Verdict::Ok),
                14 => Some(Verdict::Error),
                15 | 16 => Some(Verdict::Full),
                _ => None, // silence
            };
            if let Some(verdict) = verdict {
                let frame = Frame::Part { id: name, verdict, value: "v".into(), busy: None };
                let twice = chance(&mut self.seed, 0.05);
                for _ in 0..=u8::from(twice) {
                    let input = Input::Frames { link, frames: vec![frame.clone()], error: None };
                    self.at(self.now + take, input);
                }
            }
        }
        if chance(&mut self.seed, 0.04) {
            // It breaks; the last frame may not have gone out whole.
            let whole = self.links[&link].1.len() as u64;
            let written = whole - u64::from(chance(&mut self.seed, 0.5));
            self.at(self.now, Input::LinkClosed { link, frames_written: written });
        }
    }

    fn answered(&mut self, conn: u64, bytes: &[u8]) {
        let Some(id) = self.by_conn.remove(&conn) else { return };
        let asked = self.asked.get_mut(&id).expect("it was asked");
        assert!(!asked.over, "{id} is answered twice");
        asked.over = true;
        self.answers += 1;
        assert!(self.now <= asked.by + 1.0, "{id} is answered after its time");
        let (text, kind) = (String::from_utf8_lossy(bytes), &self.terms.table_types[asked.kind]);
        let names: Vec<String> = (0..asked.parts).map(|n| format!("{id}.{n}")).collect();
        let open = |name: &String| self.sent.get(name).is_some_and(|s| s.0.iter().any(|d| !d.2));
        if text.starts_with("HTTP/1.1 200") {
            let rows = text.matches("\"id\"").count() as f64 / f64::from(asked.parts);
            let had =
                names.iter().filter(|n| self.values.contains(*n)).count() as f64 / f64::from(asked.parts);
            assert!(rows <= had + 1e-6, "{id} is answered with what no searcher gave");
            assert!(
                rows + 1e-3 >= kind.minimum_weight.min(kind.required_weight),
                "{id} is answered under the floor"
            );
            assert!(
                !text.contains("\"exact\":true") || rows + 1e-3 >= kind.required_weight,
                "{id} is called whole"
            );
        } else if text.starts_with("HTTP/1.1 503") {
            let unsafe_kind = kind.idempotency == pewterwharf::interface::Idempotency::NonReplayable;
            assert!(!unsafe_kind || !names.iter().any(open), "{id} is throttled and may have run");
        }
    }

    /// What ends of links and answers prove, just before the mixer hears of it.
    fn proves(&mut self, input: &Input) {
        match input {
            Input::LinkClosed { link, frames_written: written } => {
                let Some(held) = self.links.get(link) else { return };
                for name in held.1.iter().skip(*written as usize).flatten() {
                    let sent = self.sent.get_mut(name).into_iter().flat_map(|s| s.0.iter_mut());
                    sent.filter(|d| d.1 == *link).for_each(|d| d.2 = true);
                }
            }
            Input::Frames { link, frames, .. } => {
                for frame in frames {
                    if let Frame::Part { id, verdict: Verdict::Full, .. } = frame {
                        let sent = self.sent.get_mut(id).into_iter().flat_map(|s| s.0.iter_mut());
                        sent.filter(|d| d.1 == *link).for_each(|d| d.2 = true);
                    }
                }
            }
            _ => {}
        }
    }

    fn play(number: u128) -> usize {
        let mut seed = Rand64::new(number);
        let settings = settings(&mut seed);
        let terms = MixerConfig::from_json(&settings).unwrap_or_else(|why| panic!("{why:#}: {settings}"));
        let reducer = Reducer::new(terms.clone(), seed.rand_u64(), 400);
        let mut day = Self {
            lives: vec![SearcherStatus::Ready; seed.rand_range(1..6) as usize],
            seed,
            terms,
            reducer,
            now: START,
            to_come: BTreeMap::new(),
            count: 0,
            asked: HashMap::new(),
            by_conn: HashMap::new(),
            sent: HashMap::new(),
            values: BTreeSet::new(),
            links: HashMap::new(),
            blocked: BTreeSet::new(),
            answers: 0,
        };
        let list = day.list(true);
        day.step(vec![list]);
        let mut conn = 0;
        for _ in 0..150 {
            day.now += within(&mut day.seed, 0.0, 60.0);
            day.pass();
            match day.seed.rand_range(0..20) {
                0 => {
                    let n = day.seed.rand_range(0..day.lives.len() as u64) as usize;
                    day.lives[n] = *one_of(
                        &mut day.seed,
                        &[SearcherStatus::Draining, SearcherStatus::Gone, SearcherStatus::Ready],
                    );
                    let whole = chance(&mut day.seed, 0.3);
                    let list = day.list(whole);
                    day.step(vec![list]);
                }
                1 | 2 if !day.by_conn.is_empty() => {
                    let conns: BTreeSet<u64> = day.by_conn.keys().copied().collect();
                    let conns: Vec<u64> = conns.into_iter().collect();
                    let conn = *one_of(&mut day.seed, &conns);
                    day.step(vec![Input::ClientDisconnected { conn }]);
                }
                _ => {
                    conn += 1;
                    day.ask(conn);
                }
            }
        }
        day.step(vec![Input::Stop]);
        for _ in 0..400 {
            day.now += 20.0;
            day.pass();
        }
        day.step(vec![Input::ListenerClosed]);
        assert!(day.by_conn.is_empty(), "without an answer: {:?}", day.by_conn);
        assert_eq!(day.reducer.phase(), Phase::Closed);
        day.answers
    }

    fn ask(&mut self, conn: u64) {
        let kind = self.seed.rand_range(0..self.terms.table_types.len() as u64) as usize;
        let parts = self.seed.rand_range(1..u64::from(SHARDS) + 1) as u32;
        let wait_ms = within(&mut self.seed, 20.0, 4000.0).floor();
        let id = format!("q{conn}");
        let by = self.now + wait_ms.min(self.terms.table_types[kind].query_timeout_ms);
        self.asked.insert(id.clone(), Asked { kind, parts, by, over: false });
        self.by_conn.insert(conn, id.clone());
        let weight = 1.0 / f64::from(parts);
        let ask = ScanAsk {
            id,
            table_type: format!("kind-{kind}"),
            customer: Some("a".to_owned()),
            wait_ms,
            retry: chance(&mut self.seed, 0.2),
            text: "find".to_owned(),
            parts: (0..parts).map(|shard| PartAsk { shard, weight, work_ms: None }).collect(),
        };
        self.step(vec![
            Input::ClientConnected { conn },
            Input::Request { conn, ask: Ask::Scan(ask), close: false },
        ]);
    }

    /// All that is due by now, in its order; now and then several in one step.
    fn pass(&mut self) {
        let end = self.now;
        loop {
            let next = self.to_come.first_key_value().map(|e| f64::from_bits(e.0.0));
            let due =
                next.into_iter().chain(self.reducer.next_timer_at()).reduce(f64::min).filter(|at| *at <= end);
            let Some(at) = due else { break };
            self.now = at.max(START);
            let mut inputs = Vec::new();
            while let Some(entry) = self.to_come.first_entry()
                && f64::from_bits(entry.key().0) <= at
            {
                inputs.push(entry.remove());
            }
            inputs.iter().for_each(|input| self.proves(input));
            self.step(inputs);
        }
        self.now = end;
    }
}

#[test]
fn whatever_a_deployment_states_the_rules_are_kept() {
    let mut answers = 0;
    for number in 0..300 {
        let played = std::panic::catch_unwind(|| Day::play(number));
        answers += played.unwrap_or_else(|_| panic!("day {number}"));
    }
    assert!(answers > 20_000, "only {answers} answers");
}
