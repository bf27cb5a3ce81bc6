//! Many mixers that share nothing before searchers some of which are cold: what all of them together send to one, and
//! how much of each table type is served. No network: a way there and back, a queue before some cores, and a list that each
//! mixer hears at its own time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use oorandom::Rand64;
use pewterwharf::interface::*;
use pewterwharf::logic::Mixer;
use pewterwharf::report::REJECTION_REASONS;

/// The day begins there by the module's clock: long after any start that the list names.
const EPOCH: f64 = 1_000_000.0;
/// One way between a mixer and a searcher.
pub const WAY_MS: f64 = 0.5;
/// The first searcher falls then.
pub const FALL_MS: f64 = 3000.0;
/// A probe that is not answered is given up after so long.
const PROBE_MS: f64 = 500.0;
/// That a searcher is gone is heard by all mixers within so long.
const HEARD_MS: f64 = 200.0;
/// Cores that are busy are averaged over about so long.
const BUSY_MS: f64 = 1000.0;

/// A table type as it is asked for.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Of all scans.
    pub share: f64,
    pub parts: u32,
    pub need: f64,
    /// Mean work of a part, in milliseconds of one core.
    pub work_ms: f64,
    pub target_ms: f64,
    /// When its client gives up, in target times.
    pub deadline: f64,
    pub repeat: Idempotency,
    /// Parts weigh unequally.
    pub unequal: bool,
}

/// The searchers that start anew say nothing before: connections to them neither answer nor refuse.
#[derive(Clone, Debug)]
pub struct Silence {
    pub for_ms: f64,
    /// The list says that they are gone after so long, if it does.
    pub gone_ms: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct Ramp {
    pub mixers: usize,
    /// Highest traffic of a mixer over the mean, at least: others have less.
    pub uneven: f64,
    pub searchers: usize,
    /// Cells in a row that hold a shard; every cell has one searcher.
    pub reach: u32,
    pub cores: usize,
    /// Of what all searchers can do when warm.
    pub load: f64,
    pub kinds: Vec<Kind>,
    /// So many searchers start anew, the first at 3 s, each next one so much later, and so many cells further on.
    pub cold: usize,
    pub apart_ms: f64,
    pub stride: usize,
    /// All of them are silent before; the first from 3 s on.
    pub silence: Option<Silence>,
    /// A mixer hears of it within so long.
    pub notice_ms: f64,
    pub guards: SafetyLimits,
    pub permits: Permissions,
    /// Cells lie in so many zones by turns.
    pub zones: u16,
    /// Searchers report how busy they are.
    pub reports: bool,
    /// So great a share of the mixers is started anew at the same time, each half second from the first start on.
    pub restarts: f64,
    /// The cold searchers start a second time after so long.
    pub again_ms: Option<f64>,
    /// From 3 s on all work takes so many times as long.
    pub slower: f64,
    /// What the settings say of the count of mixers, over what it is.
    pub stated: f64,
    pub length_ms: f64,
}

/// How a scan ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It has not, or its mixer was started anew.
    Open,
    InTime,
    Late,
    /// Refused at the door, for the reason of this number.
    Barred(usize),
    Throttled,
    Abandoned,
}

/// A scan that was asked for.
#[derive(Debug)]
pub struct Asked {
    pub at: f64,
    pub kind: usize,
    /// The first of its shards, which lie in a row, and what each part weighs.
    pub first: u32,
    pub weights: Vec<f64>,
    pub end: End,
}

/// Calls that came to one searcher, by what led to them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Calls {
    pub first: u32,
    /// A further attempt though the one before is still out: it, or its searcher, was late.
    pub after_lateness: u32,
    /// A further attempt once the one before was refused unseen.
    pub after_refusal: u32,
    /// A further attempt once the one before had timed out or was called off.
    pub after_silence: u32,
}

/// What led to an attempt.
#[derive(Clone, Copy, Debug)]
enum Cause {
    First,
    Lateness,
    Refusal,
    Silence,
}

impl Calls {
    fn add(&mut self, cause: Cause) {
        *match cause {
            Cause::First => &mut self.first,
            Cause::Lateness => &mut self.after_lateness,
            Cause::Refusal => &mut self.after_refusal,
            Cause::Silence => &mut self.after_silence,
        } += 1;
    }
}

/// A call that came to a cold searcher: when, the mean work of its table type, and what led to it.
struct Came {
    at: f64,
    work: f64,
    cause: Cause,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Played {
    pub asked: Vec<Asked>,
    /// Of each table type: scans asked, completed in time.
    pub kinds: Vec<(u32, u32)>,
    /// Of those asked while searchers were cold.
    pub while_cold: Vec<(u32, u32)>,
    /// The fullest window of a cold searcher: calls of mean work in it, over what is borne (the budget and chance).
    pub fullest: f64,
    /// The calls in that window.
    pub fullest_calls: Calls,
    /// What cold searchers got in all, over the sum of what the settings allow.
    pub used: f64,
    /// Of each table type, the scans refused at the door, by reason.
    pub refused: Vec<[u64; REJECTION_REASONS]>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Ask,
    Reaches(usize, usize, u64, u8),
    Worked(usize, u64),
    Ends(usize, usize, u64, u8),
    TimedOut(usize, u64, u8),
    Wake(usize, u64),
    Start(usize),
    Vanish(usize),
    /// A mixer hears that silent ones are gone.
    Misses(usize),
    /// A probe was not answered.
    Unanswered(usize, u64, usize),
    /// A mixer hears that a searcher started, and when.
    Hears(usize, usize, u64),
    Restart(usize),
}

#[derive(Default)]
struct Searcher {
    since: f64,
    silent: bool,
    /// How busy its cores were in the last second, and when that was last known.
    busy: f64,
    metered_at: f64,
    /// Jobs at work and in the queue: mixer, part, dispatch.
    at_work: usize,
    queue: VecDeque<(usize, u64, u8)>,
    /// What came while it was cold.
    came: Vec<Came>,
}

struct World {
    ramp: Ramp,
    now: f64,
    order: u64,
    next: BinaryHeap<Reverse<(u64, u64, Next)>>,
    chance: Rand64,
    mixers: Vec<(Mixer, Vec<Event>, u64)>,
    lists: Vec<Vec<(f64, SearcherStatus)>>,
    weights: Vec<f64>,
    searchers: Vec<Searcher>,
    /// Of a scan: kind, when asked, number among those asked for.
    scans: BTreeMap<u64, (usize, f64, usize)>,
    /// Of a part: kind.
    parts: BTreeMap<u64, usize>,
    dispatched: BTreeMap<u64, u8>,
    /// How the latest attempt of a part that has ended did, and what led to each that is out.
    endings: BTreeMap<u64, DispatchOutcome>,
    causes: BTreeMap<(u64, u8), Cause>,
    out: BTreeMap<(usize, u64, u8), (usize, f64)>,
    /// What a core works on, by a number.
    jobs: BTreeMap<u64, (usize, (usize, u64, u8))>,
    /// Of each mixer's process: scans refused at the door that were seen, by table type.
    barred: Vec<Vec<[u64; REJECTION_REASONS]>>,
    ids: u64,
    played: Played,
    used: (f64, f64),
}

fn address(searcher: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (searcher >> 8) as u8, searcher as u8), 5000)
}

/// A part's work over the mean: about as spread as the operators' parts are.
pub fn spread(chance: &mut Rand64) -> f64 {
    0.4 + 1.2 * chance.rand_float()
}

fn searcher_at(address: SocketAddrV4) -> usize {
    let octets = address.ip().octets();
    usize::from(octets[2]) << 8 | usize::from(octets[3])
}

impl Ramp {
    pub fn play(&self, seed: u64) -> Played {
        let mut chance = Rand64::new(u128::from(seed));
        // A few mixers get several times the mean, as a front gives them.
        let weights: Vec<f64> = (0..self.mixers)
            .map(|nth| if nth % 10 == 0 { self.uneven } else { 0.5 + chance.rand_float() })
            .collect();
        let mut world = World {
            ramp: self.clone(),
            now: 0.0,
            order: 0,
            next: BinaryHeap::new(),
            mixers: Vec::new(),
            lists: vec![vec![(0.0, SearcherStatus::Ready); self.searchers]; self.mixers],
            weights,
            searchers: (0..self.searchers).map(|_| Searcher::default()).collect(),
            scans: BTreeMap::new(),
            parts: BTreeMap::new(),
            dispatched: BTreeMap::new(),
            endings: BTreeMap::new(),
            causes: BTreeMap::new(),
            out: BTreeMap::new(),
            jobs: BTreeMap::new(),
            barred: vec![vec![[0; REJECTION_REASONS]; self.kinds.len()]; self.mixers],
            ids: 0,
            played: Played {
                kinds: vec![(0, 0); self.kinds.len()],
                while_cold: vec![(0, 0); self.kinds.len()],
                ..Played::default()
            },
            used: (0.0, 0.0),
            chance,
        };
        world.run(seed);
        world.count();
        world.played
    }

    /// Mean work of the parts that are asked for.
    pub fn mean_work(&self) -> f64 {
        let parts: f64 = self.kinds.iter().map(|k| k.share * f64::from(k.parts)).sum();
        self.kinds.iter().map(|k| k.share * f64::from(k.parts) * k.work_ms).sum::<f64>() / parts
    }

    fn scans_per_ms(&self) -> f64 {
        let shares: f64 = self.kinds.iter().map(|k| k.share).sum();
        let sent = |k: &Kind| (k.need * f64::from(k.parts)).ceil();
        let work: f64 = self.kinds.iter().map(|k| k.share / shares * sent(k) * k.work_ms).sum();
        self.load * (self.searchers * self.cores) as f64 / work
    }

    /// Share of its speed that a searcher has at this age.
    pub fn able(&self, age: f64) -> f64 {
        let SafetyLimits { cold_capacity_share, warm_up_ms, .. } = self.guards;
        (cold_capacity_share + (1.0 - cold_capacity_share) * age / warm_up_ms).clamp(cold_capacity_share, 1.0)
    }

    /// Work that all mixers together may send a cold searcher in a window that began at this age.
    pub fn borne_ms(&self, age: f64) -> f64 {
        let calls = self.calls(age);
        (calls + 2.0 * calls.sqrt() + 2.0) * self.mean_work()
    }

    /// The budget of a window that began at this age, in calls of mean work.
    fn calls(&self, age: f64) -> f64 {
        let SafetyLimits { overload_multiple, overload_window_ms, .. } = self.guards;
        overload_multiple * self.able(age) * self.cores as f64 * overload_window_ms / self.mean_work()
    }

    /// The searchers that start anew, and when.
    pub fn starts(&self) -> Vec<(usize, f64)> {
        let from = FALL_MS + self.silence.as_ref().map_or(0.0, |s| s.for_ms);
        let place = |nth: usize| nth * self.stride % self.searchers;
        (0..self.cold).map(|nth| (place(nth), from + nth as f64 * self.apart_ms)).collect()
    }

    /// Scans that are asked for in a millisecond, of each table type.
    pub fn rates(&self) -> Vec<f64> {
        let shares: f64 = self.kinds.iter().map(|k| k.share).sum();
        self.kinds.iter().map(|k| self.scans_per_ms() * k.share / shares).collect()
    }

    /// When all that was asked for is over.
    fn end_ms(&self) -> f64 {
        let longest = self.kinds.iter().map(|k| k.target_ms).fold(2000.0, f64::max);
        self.length_ms + longest
    }
}

impl World {
    fn add(&mut self, at: f64, next: Next) {
        self.order += 1;
        self.next.push(Reverse(((at.max(self.now) * 1000.0) as u64, self.order, next)));
    }

    fn open(&self, seed: u64) -> Mixer {
        let ramp = &self.ramp;
        let types = ramp.kinds.iter().map(|k| TableType {
            target_ms: k.target_ms,
            query_timeout_ms: k.deadline * k.target_ms,
            benefit: 1.0,
            late_benefit_share: 0.2,
            target_ms_per_work_ms: 0.0,
            idempotency: k.repeat,
            required_weight: k.need,
            minimum_weight: k.need,
            partial_benefit_share: 0.9,
            has_second_step: false,
        });
        let layout = Layout {
            cells: ramp.searchers as u32,
            cells_per_shard: ramp.reach,
            parts_per_call: 1,
            call_work_ms: 0.0,
        };
        let customers = vec![Customer { scans_per_s: 1000.0, over_quota_benefit_share: 0.2 }];
        let berth = Placement { mixers: ((ramp.mixers as f64 * ramp.stated) as u32).max(1), zone: 0 };
        Mixer::new(seed, types.collect(), customers, layout, ramp.guards.clone(), ramp.permits.clone(), berth)
    }

    fn lines(&self, mixer: usize) -> Event {
        let lines = self.lists[mixer].iter().enumerate().map(|(s, (since, life))| ListedSearcher {
            searcher: address(s),
            cell: s as u32,
            zone: s as u16 % self.ramp.zones,
            started_at: *since,
            status: *life,
        });
        Event::List { kind: ListKind::Full, searchers: lines.collect() }
    }

    fn run(&mut self, seed: u64) {
        for nth in 0..self.ramp.mixers {
            let mixer = self.open(seed * 10_000 + nth as u64);
            self.mixers.push((mixer, Vec::new(), 0));
            let list = self.lines(nth);
            self.mixers[nth].1.push(list);
            let at = self.chance.rand_float() * 20.0;
            self.add(at, Next::Wake(nth, 0));
        }
        if let Some(gone_ms) = self.ramp.silence.as_ref().and_then(|s| s.gone_ms) {
            for mixer in 0..self.ramp.mixers {
                let at = FALL_MS + gone_ms + self.chance.rand_float() * HEARD_MS;
                self.add(at, Next::Misses(mixer));
            }
        }
        for (srv, at) in self.ramp.starts() {
            if let Some(silence) = &self.ramp.silence {
                self.add(at - silence.for_ms, Next::Vanish(srv));
            }
            self.add(at, Next::Start(srv));
            if let Some(again) = self.ramp.again_ms {
                self.add(at + again, Next::Start(srv));
            }
        }
        if self.ramp.restarts > 0.0 {
            let batch = self.ramp.mixers as f64 * self.ramp.restarts;
            for nth in 0..self.ramp.mixers {
                self.add(FALL_MS + 500.0 * (nth as f64 / batch).floor(), Next::Restart(nth));
            }
        }
        self.add(0.0, Next::Ask);
        while let Some(Reverse((at, _, next))) = self.next.pop() {
            self.now = at as f64 / 1000.0;
            if self.now > self.ramp.end_ms() {
                break;
            }
            let told = self.happens(next);
            if let Some(mixer) = told {
                self.turn(mixer);
            }
        }
    }

    /// What happens; the mixer that is told of something.
    fn happens(&mut self, next: Next) -> Option<usize> {
        match next {
            Next::Ask => {
                if self.now >= self.ramp.length_ms {
                    return None;
                }
                let mean = 1.0 / self.ramp.scans_per_ms();
                let wait = -mean * (1.0 - self.chance.rand_float()).ln();
                self.add(self.now + wait, Next::Ask);
                let sum: f64 = self.weights.iter().sum();
                let mut lot = self.chance.rand_float() * sum;
                let mixer = self.weights.iter().position(|w| {
                    lot -= w;
                    lot <= 0.0
                })?;
                let sum: f64 = self.ramp.kinds.iter().map(|k| k.share).sum();
                let mut lot = self.chance.rand_float() * sum;
                let kind = self.ramp.kinds.iter().position(|k| {
                    lot -= k.share;
                    lot <= 0.0
                })?;
                self.ask(mixer, kind);
                Some(mixer)
            }
            Next::Reaches(srv, mixer, part, dispatch) => {
                self.reaches(srv, (mixer, part, dispatch));
                None
            }
            Next::Worked(srv, job) => {
                let (_, (mixer, part, dispatch)) = self.jobs.remove(&job)?;
                self.add(self.now + WAY_MS, Next::Ends(srv, mixer, part, dispatch));
                self.meter(srv);
                self.searchers[srv].at_work -= 1;
                if let Some(next) = self.searchers[srv].queue.pop_front() {
                    self.work(srv, next);
                }
                None
            }
            Next::Ends(_, mixer, part, dispatch) => {
                let (srv, sent_at) = self.out.remove(&(mixer, part, dispatch))?;
                let ended = self.ended(part, dispatch, srv, DispatchOutcome::Ok, self.now - sent_at);
                self.mixers[mixer].1.push(ended);
                Some(mixer)
            }
            Next::TimedOut(mixer, part, dispatch) => {
                let (srv, sent_at) = self.out.remove(&(mixer, part, dispatch))?;
                let ended = self.ended(part, dispatch, srv, DispatchOutcome::TimedOut, self.now - sent_at);
                self.mixers[mixer].1.push(ended);
                Some(mixer)
            }
            Next::Wake(mixer, process) => {
                (self.mixers[mixer].2 == process).then(|| self.mixers[mixer].1.push(Event::Wake))?;
                Some(mixer)
            }
            Next::Start(srv) => {
                self.count_one(srv);
                let searcher = &mut self.searchers[srv];
                (searcher.since, searcher.came, searcher.silent) = (self.now, Vec::new(), false);
                for mixer in 0..self.ramp.mixers {
                    let at = self.now + self.chance.rand_float() * self.ramp.notice_ms;
                    self.add(at, Next::Hears(mixer, srv, (self.now * 1000.0) as u64));
                }
                None
            }
            Next::Vanish(srv) => {
                self.vanish(srv);
                None
            }
            Next::Misses(mixer) => {
                let silent = self.searchers.iter().map(|s| s.silent);
                for (line, _) in self.lists[mixer].iter_mut().zip(silent).filter(|(_, silent)| *silent) {
                    line.1 = SearcherStatus::Gone;
                }
                let list = self.lines(mixer);
                self.mixers[mixer].1.push(list);
                Some(mixer)
            }
            Next::Unanswered(mixer, process, srv) => {
                let searcher = address(srv);
                let probed =
                    Event::ProbeEnded { searcher, outcome: DispatchOutcome::TimedOut, took_ms: PROBE_MS };
                (self.mixers[mixer].2 == process).then(|| self.mixers[mixer].1.push(probed))?;
                Some(mixer)
            }
            Next::Hears(mixer, srv, since) => {
                self.lists[mixer][srv] = (EPOCH + since as f64 / 1000.0, SearcherStatus::Ready);
                let list = self.lines(mixer);
                self.mixers[mixer].1.push(list);
                Some(mixer)
            }
            Next::Restart(nth) => {
                let process = self.mixers[nth].2 + 1;
                let seed = self.chance.rand_u64();
                self.barred[nth].fill([0; REJECTION_REASONS]);
                self.mixers[nth] = (self.open(seed), Vec::new(), process);
                self.out.retain(|leg, _| leg.0 != nth);
                let list = self.lines(nth);
                self.mixers[nth].1.push(list);
                Some(nth)
            }
        }
    }

    /// What it worked on is lost, and nobody is told.
    fn vanish(&mut self, srv: usize) {
        self.meter(srv);
        self.jobs.retain(|_, job| job.0 != srv);
        let searcher = &mut self.searchers[srv];
        (searcher.silent, searcher.at_work) = (true, 0);
        searcher.queue.clear();
    }

    /// Before the count of jobs at work changes, or is asked for.
    fn meter(&mut self, srv: usize) {
        let searcher = &mut self.searchers[srv];
        let weight = 1.0 - ((searcher.metered_at - self.now) / BUSY_MS).exp();
        let busy = searcher.at_work as f64 / self.ramp.cores as f64;
        searcher.busy += weight * (busy - searcher.busy);
        searcher.metered_at = self.now;
    }

    fn ended(&mut self, part: u64, dispatch: u8, srv: usize, ending: DispatchOutcome, took_ms: f64) -> Event {
        self.endings.insert(part, ending);
        let answers = self.ramp.reports && ending == DispatchOutcome::Ok;
        let busy = answers.then_some(self.searchers[srv].busy);
        Event::DispatchEnded { part, dispatch, searcher: address(srv), outcome: ending, took_ms, busy }
    }

    fn cold_now(&self) -> bool {
        self.now >= FALL_MS
            && self
                .searchers
                .iter()
                .any(|s| s.since > 0.0 && self.now - s.since < self.ramp.guards.warm_up_ms)
    }

    fn ask(&mut self, mixer: usize, kind: usize) {
        self.ids += 1;
        let (id, number) = (self.ids, self.ids as u32);
        let Kind { parts, target_ms, deadline, unequal, .. } = self.ramp.kinds[kind].clone();
        self.scans.insert(id, (kind, self.now, self.played.asked.len()));
        self.played.kinds[kind].0 += 1;
        if self.cold_now() {
            self.played.while_cold[kind].0 += 1;
        }
        let gone_at = EPOCH + self.now + deadline * target_ms;
        let inbox = &mut self.mixers[mixer].1;
        inbox.push(Event::Scan {
            id,
            number,
            table_type: kind,
            customer: 0,
            deadline_at: gone_at,
            work_ms: None,
            retry: false,
        });
        let first = self.chance.rand_range(0..self.ramp.searchers as u64) as u32;
        let weights =
            if unequal { self.unequal(parts) } else { vec![1.0 / f64::from(parts); parts as usize] };
        for (nth, weight) in (0..parts).zip(weights.iter().copied()) {
            self.ids += 1;
            self.parts.insert(self.ids, kind);
            let shard = (first + nth) % self.ramp.searchers as u32;
            self.mixers[mixer].1.push(Event::Part { id: self.ids, number, shard, weight });
        }
        self.played.asked.push(Asked { at: self.now, kind, first, weights, end: End::Open });
    }

    /// Weights as on the wire, with six digits, and as they are read: with a sum of one.
    fn unequal(&mut self, parts: u32) -> Vec<f64> {
        let drawn: Vec<f64> = (0..parts).map(|_| 0.5 + self.chance.rand_float()).collect();
        let sum: f64 = drawn.iter().sum();
        let rounded: Vec<f64> = drawn.iter().map(|w| (w / sum * 1e6).round() / 1e6).collect();
        let sum: f64 = rounded.iter().sum();
        rounded.iter().map(|w| w / sum).collect()
    }

    fn reaches(&mut self, srv: usize, leg: (usize, u64, u8)) {
        let Some(kind) = self.parts.get(&leg.1).copied() else { return };
        let work = self.ramp.kinds[kind].work_ms;
        if self.searchers[srv].silent {
            return;
        }
        let (now, warm_up_ms) = (self.now, self.ramp.guards.warm_up_ms);
        let searcher = &mut self.searchers[srv];
        // As long as a mixer has not been told, the rule does not count what it sends.
        let told = self.lists[leg.0][srv].0 == EPOCH + searcher.since && searcher.since > 0.0;
        if told && now - searcher.since < warm_up_ms {
            let cause = self.causes.get(&(leg.1, leg.2)).copied().unwrap_or(Cause::First);
            searcher.came.push(Came { at: now, work, cause });
        }
        if searcher.at_work < self.ramp.cores {
            self.work(srv, leg);
        } else if searcher.queue.len() < 100 {
            searcher.queue.push_back(leg);
        } else if let Some((srv, sent_at)) = self.out.remove(&leg) {
            let ended = self.ended(leg.1, leg.2, srv, DispatchOutcome::Full, self.now - sent_at);
            self.mixers[leg.0].1.push(ended);
        }
    }

    fn work(&mut self, srv: usize, leg: (usize, u64, u8)) {
        let Some(kind) = self.parts.get(&leg.1).copied() else { return };
        self.meter(srv);
        self.searchers[srv].at_work += 1;
        self.ids += 1;
        self.jobs.insert(self.ids, (srv, leg));
        let age = self.now - self.searchers[srv].since;
        let cold = self.searchers[srv].since > 0.0;
        let able = if cold { self.ramp.able(age) } else { 1.0 };
        let slower = if self.now >= FALL_MS { self.ramp.slower } else { 1.0 };
        let took = self.ramp.kinds[kind].work_ms * spread(&mut self.chance) * slower / able;
        self.add(self.now + took, Next::Worked(srv, self.ids));
    }

    fn turn(&mut self, mixer: usize) {
        let events = std::mem::take(&mut self.mixers[mixer].1);
        let process = self.mixers[mixer].2;
        for action in self.mixers[mixer].0.handle_events(EPOCH + self.now, events) {
            match action {
                Action::Dispatch { part, searcher, timeout_ms } => {
                    let dispatch = self.dispatched.entry(part).or_default();
                    let leg = (mixer, part, *dispatch);
                    let cause = match self.endings.remove(&part) {
                        _ if *dispatch == 0 => Cause::First,
                        None => Cause::Lateness,
                        Some(ending) if ending.never_ran() => Cause::Refusal,
                        Some(_) => Cause::Silence,
                    };
                    self.causes.insert((part, *dispatch), cause);
                    *dispatch += 1;
                    let srv = searcher_at(searcher);
                    self.out.insert(leg, (srv, self.now));
                    self.add(self.now + WAY_MS, Next::Reaches(srv, leg.0, leg.1, leg.2));
                    self.add(self.now + timeout_ms, Next::TimedOut(leg.0, leg.1, leg.2));
                }
                Action::Cancel { part, dispatch } => {
                    if let Some((srv, sent_at)) = self.out.remove(&(mixer, part, dispatch)) {
                        self.searchers[srv].queue.retain(|l| *l != (mixer, part, dispatch));
                        let ended =
                            self.ended(part, dispatch, srv, DispatchOutcome::Cancelled, self.now - sent_at);
                        self.mixers[mixer].1.push(ended);
                    }
                }
                Action::Complete { scan, .. } => {
                    let Some((kind, asked_at, nth)) = self.scans.remove(&scan) else { continue };
                    self.played.asked[nth].end = End::Late;
                    if self.now - asked_at <= self.ramp.kinds[kind].target_ms {
                        self.played.asked[nth].end = End::InTime;
                        self.played.kinds[kind].1 += 1;
                        let cold = asked_at >= FALL_MS && self.cold_now();
                        self.played.while_cold[kind].1 += u32::from(cold);
                    }
                }
                Action::Throttle { scan, .. } => self.turned_away(mixer, scan, End::Throttled),
                Action::Abandon { scan } => self.turned_away(mixer, scan, End::Abandoned),
                Action::Probe { searcher } if self.searchers[searcher_at(searcher)].silent => {
                    let unanswered = Next::Unanswered(mixer, process, searcher_at(searcher));
                    self.add(self.now + PROBE_MS, unanswered);
                }
                Action::Probe { searcher } => {
                    let probed = Event::ProbeEnded { searcher, outcome: DispatchOutcome::Ok, took_ms: 1.0 };
                    self.mixers[mixer].1.push(probed);
                }
                Action::WakeAt { at } => self.add(at - EPOCH, Next::Wake(mixer, process)),
                _ => {}
            }
        }
    }

    /// A scan ended without an answer; if the mixer counts one more refused at the door, by that.
    fn turned_away(&mut self, mixer: usize, scan: u64, end: End) {
        let Some((kind, _, nth)) = self.scans.remove(&scan) else { return };
        let refused = self.mixers[mixer].0.status().rejected[kind];
        let seen = &mut self.barred[mixer][kind];
        let bar = (0..REJECTION_REASONS).find(|bar| seen[*bar] < refused[*bar]);
        bar.into_iter().for_each(|bar| seen[bar] += 1);
        self.played.asked[nth].end = bar.map_or(end, End::Barred);
    }

    /// What one cold searcher got, in every window of the settings' length, against what the settings allow then.
    fn count_one(&mut self, srv: usize) {
        let (ramp, searcher) = (&self.ramp, &self.searchers[srv]);
        let g = &ramp.guards;
        if searcher.since == 0.0 {
            return;
        }
        let mut window: VecDeque<&Came> = VecDeque::new();
        for came in &searcher.came {
            window.push_back(came);
            while window.front().is_some_and(|w| w.at < came.at - g.overload_window_ms) {
                window.pop_front();
            }
            let got: f64 = window.iter().map(|w| w.work).sum();
            let borne = ramp.borne_ms((came.at - g.overload_window_ms - searcher.since).max(0.0));
            if got / borne > self.played.fullest {
                self.played.fullest = got / borne;
                self.played.fullest_calls = Calls::default();
                window.iter().for_each(|w| self.played.fullest_calls.add(w.cause));
            }
        }
        let ages = (0..(g.warm_up_ms / 100.0) as usize).map(|a| a as f64 * 100.0);
        self.used.0 += searcher.came.iter().map(|c| c.work).sum::<f64>() / ramp.mean_work();
        self.used.1 += ages.map(|age| ramp.calls(age) * 100.0 / g.overload_window_ms).sum::<f64>();
    }

    fn count(&mut self) {
        self.ramp.starts().into_iter().for_each(|(srv, _)| self.count_one(srv));
        self.played.refused = vec![[0; REJECTION_REASONS]; self.ramp.kinds.len()];
        for (mixer, ..) in &self.mixers {
            for (sum, counts) in self.played.refused.iter_mut().zip(mixer.status().rejected) {
                sum.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
            }
        }
        self.played.used = self.used.0 / self.used.1.max(1.0);
    }
}

impl Kind {
    /// One part that may be repeated.
    pub fn plain() -> Self {
        Self {
            share: 1.0,
            parts: 1,
            need: 1.0,
            work_ms: 50.0,
            target_ms: 600.0,
            deadline: 2.0,
            repeat: Idempotency::Replayable,
            unequal: false,
        }
    }
}

/// All that a deployment may allow, but asking for the list.
pub fn permits() -> Permissions {
    Permissions {
        cancel: true,
        probe: true,
        hedge: true,
        max_dispatches: 3,
        retry_after_ms: Some(500.0),
        resubscribe_within_ms: None,
    }
}

impl Ramp {
    /// A deployment drawn within the bounds of the operators' pages.
    pub fn drawn(seed: u64) -> Self {
        let mut chance = Rand64::new(u128::from(seed) + 77);
        let mut between = |low: f64, high: f64| low + (high - low) * chance.rand_float();
        let mixers = [2, 20, 30, 100, 300][between(0.0, 5.0) as usize];
        let searchers =
            if mixers >= 100 { between(40.0, 70.0) as usize } else { between(9.0, 20.0) as usize };
        let (warm_up_ms, overload_window_ms) = (between(5000.0, 15_000.0), between(750.0, 3000.0));
        let guards = SafetyLimits {
            cold_capacity_share: between(0.15, 0.5),
            warm_up_ms,
            overload_multiple: between(1.5, 4.0),
            overload_window_ms,
            retry_budget: None,
        };
        let count = between(2.0, 3.99) as usize;
        let kinds = (0..count).map(|nth| {
            let work_ms = 10.0 * between(0.0, 3.4).exp();
            let (parts, need) = (between(1.0, 12.99) as u32, if nth == 0 { 1.0 } else { between(0.5, 1.0) });
            let target_ms = (work_ms * between(4.0, 12.0)).max(100.0);
            Kind { share: between(0.06, 1.0), parts, need, work_ms, target_ms, ..Kind::plain() }
        });
        let kinds = kinds.collect();
        Self {
            mixers,
            uneven: between(1.0, 5.0),
            searchers,
            reach: between(2.0, 4.0) as u32,
            cores: between(1.0, 3.99) as usize,
            load: between(0.3, 0.62),
            kinds,
            cold: (searchers as f64 * between(0.1, 0.6)) as usize,
            apart_ms: between(0.0, 300.0),
            stride: 1,
            silence: None,
            notice_ms: between(200.0, 4000.0),
            guards,
            permits: permits(),
            zones: 1,
            reports: false,
            restarts: if between(0.0, 1.0) < 0.5 { 0.1 } else { 0.0 },
            again_ms: (between(0.0, 1.0) < 0.2).then_some(2500.0),
            slower: if between(0.0, 1.0) < 0.2 { 1.4 } else { 1.0 },
            stated: if between(0.0, 1.0) < 0.2 { 0.9 } else { 1.0 },
            length_ms: 3000.0 + warm_up_ms + 2000.0,
        }
    }
}
