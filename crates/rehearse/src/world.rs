//! The world that the module is played in: one queue of what happens next.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};

use oorandom::Rand64;
use pewterwharf::interface::*;
use pewterwharf::logic::Mixer;
use pewterwharf_replica::{RecordBatch, RejectReason};

use crate::searcher::{Job, Searcher};
use crate::words::Copies;
use crate::{Day, Fleet, MOMENT_MS, Moment, Spell, Trouble};

/// The day begins there by the module's clock: long after any start that the list names.
const EPOCH: f64 = 1_000_000.0;
/// One way between mixer and searcher.
const WAY_MS: f64 = 0.5;
/// A probe is awaited for so long, as on the sockets.
const PROBE_MS: f64 = 250.0;
/// How often a mixer looks what it has to tell the others, and when one that missed something has it, a round later.
const LOOK_MS: f64 = 50.0;
const ROUND_MS: f64 = 200.0;
/// A refused client asks again after this, or as it is told.
const AGAIN_MS: f64 = 300.0;
/// Clients give up after this.
const CLIENT_MS: f64 = 1500.0;

/// Whole with three fifths; needs all; non-replayable of one part.
fn types(fleet: &Fleet) -> Vec<TableType> {
    let of = |repeat, need: f64| TableType {
        target_ms: fleet.target_ms,
        query_timeout_ms: CLIENT_MS,
        benefit: 1.0,
        late_benefit_share: fleet.late_share,
        target_ms_per_work_ms: 0.0,
        idempotency: repeat,
        required_weight: need,
        minimum_weight: need,
        partial_benefit_share: 0.9,
        has_second_step: false,
    };
    vec![
        of(Idempotency::Replayable, 0.6),
        of(Idempotency::Replayable, 1.0),
        of(Idempotency::NonReplayable, 1.0),
    ]
}

/// Parts of a scan of each type, and how often the type is asked, of ten.
const PARTS: [u32; 3] = [5, 3, 1];
const ASKED: [u32; 10] = [0, 0, 0, 0, 1, 1, 1, 1, 2, 2];
const SHARDS: u32 = 64;

fn address(searcher: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (searcher >> 8) as u8, searcher as u8), 5000)
}

fn searcher_at(address: SocketAddrV4) -> usize {
    let octets = address.ip().octets();
    usize::from(octets[2]) << 8 | usize::from(octets[3])
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    /// A trouble begins or ends.
    Spell(usize, bool),
    /// A searcher has worked on something.
    Worked(usize, Job),
    /// A dispatch reaches its searcher.
    Reaches(usize, Job),
    /// The mixer hears of an ending; nothing, if the dispatch is over.
    Ends(Job, u8),
    Probed {
        mixer: usize,
        searcher: usize,
        ok: bool,
        began: u64,
    },
    Wake(usize),
    /// A mixer looks what it has to tell the others.
    Look(usize),
    /// A word reaches a mixer, by its number.
    Word(u64),
    /// The second has what it missed of the first.
    Round(usize, usize),
    /// A client asks: its table type, and how often it has.
    Asks {
        table_type: usize,
        tries: u32,
    },
}

const OK: u8 = 0;
const TIMED_OUT: u8 = 1;
const FAILED: u8 = 2;
const REFUSED: u8 = 3;
const RESET: u8 = 4;

struct Scan {
    mixer: usize,
    table_type: usize,
    tries: u32,
    asked_at: f64,
    gone_at: f64,
    sent: bool,
}

struct World<'a> {
    fleet: &'a Fleet,
    spells: &'a [Spell],
    chance: Rand64,
    now: f64,
    next: BinaryHeap<Reverse<(u64, u64, Next)>>,
    order: u64,
    mixers: Vec<(Mixer, Vec<Event>)>,
    searchers: Vec<Searcher>,
    scans: BTreeMap<u64, Scan>,
    /// Of a part: scan, shard.
    parts: BTreeMap<u64, u64>,
    /// Dispatches out: where, since when.
    out: BTreeMap<Job, (usize, f64)>,
    /// How many dispatches of a part there were.
    dispatches: BTreeMap<u64, u8>,
    ran: BTreeSet<u64>,
    ids: u64,
    /// Of each mixer, where they share words.
    copies: Vec<Copies>,
    /// Words on their way: from, to, and what.
    words: BTreeMap<u64, (usize, usize, RecordBatch)>,
    /// The first searcher that hung, when, and who has marked it.
    hung: Option<(usize, f64)>,
    knows: BTreeSet<usize>,
    day: Day,
    ends: f64,
}

/// Plays so many milliseconds.
pub fn play(fleet: &Fleet, spells: &[Spell], length_ms: f64, seed: u64) -> Day {
    let mut world = World::new(fleet, spells, length_ms, seed);
    world.run();
    world.day
}

impl<'a> World<'a> {
    fn new(fleet: &'a Fleet, spells: &'a [Spell], length_ms: f64, seed: u64) -> Self {
        let layout =
            Layout { cells: fleet.sets as u32, cells_per_shard: 1, parts_per_call: 1, call_work_ms: 0.0 };
        let guards = SafetyLimits {
            cold_capacity_share: 0.3,
            warm_up_ms: 4000.0,
            overload_multiple: 2.0,
            overload_window_ms: 1000.0,
            retry_budget: None,
        };
        let permits = Permissions {
            cancel: true,
            probe: true,
            hedge: true,
            max_dispatches: 3,
            retry_after_ms: Some(500.0),
            resubscribe_within_ms: None,
        };
        let open = |nth: usize| {
            let berth = Placement { mixers: fleet.mixers as u32, zone: (nth % 2) as u16 };
            let customers = vec![Customer { scans_per_s: fleet.scans_per_s, over_quota_benefit_share: 0.2 }];
            let seed = seed.wrapping_mul(1000).wrapping_add(nth as u64);
            Mixer::new(seed, types(fleet), customers, layout.clone(), guards.clone(), permits.clone(), berth)
        };
        let moments = vec![Moment::default(); (length_ms / MOMENT_MS) as usize];
        let mut world = Self {
            fleet,
            spells,
            chance: Rand64::new(u128::from(seed)),
            now: 0.0,
            next: BinaryHeap::new(),
            order: 0,
            mixers: (0..fleet.mixers).map(|nth| (open(nth), Vec::new())).collect(),
            searchers: (0..fleet.searchers()).map(|_| Searcher::new(fleet.cores)).collect(),
            scans: BTreeMap::new(),
            parts: BTreeMap::new(),
            out: BTreeMap::new(),
            dispatches: BTreeMap::new(),
            ran: BTreeSet::new(),
            ids: 0,
            copies: Vec::new(),
            words: BTreeMap::new(),
            hung: None,
            knows: BTreeSet::new(),
            day: Day { moments, ..Day::default() },
            ends: length_ms,
        };
        let lines: Vec<ListedSearcher> = (0..fleet.searchers()).map(|s| world.listed(s, 0.0)).collect();
        for mixer in 0..fleet.mixers {
            world.tell(mixer, Event::List { kind: ListKind::Full, searchers: lines.clone() });
            world.add(0.0, Next::Wake(mixer));
        }
        if fleet.words.is_some() {
            world.copies = (0..fleet.mixers).map(|m| Copies::new(m, fleet.mixers)).collect();
        }
        for mixer in 0..fleet.mixers {
            world.add(LOOK_MS * mixer as f64 / fleet.mixers as f64, Next::Look(mixer));
        }
        for (nth, spell) in spells.iter().enumerate() {
            world.add(spell.from, Next::Spell(nth, true));
            world.add(spell.to, Next::Spell(nth, false));
        }
        world.ask_next();
        world
    }

    fn listed(&self, searcher: usize, since: f64) -> ListedSearcher {
        ListedSearcher {
            searcher: address(searcher),
            cell: (searcher / self.fleet.in_set) as u32,
            zone: self.fleet.zone_of(searcher) as u16,
            started_at: since,
            status: SearcherStatus::Ready,
        }
    }

    fn add(&mut self, at: f64, next: Next) {
        self.order += 1;
        // Microseconds are fine enough, and sort.
        self.next.push(Reverse(((at.max(self.now) * 1000.0) as u64, self.order, next)));
    }

    fn tell(&mut self, mixer: usize, event: Event) {
        self.mixers[mixer].1.push(event);
    }

    /// The spells that hold now.
    fn troubles(&self) -> impl Iterator<Item = &Trouble> {
        let now = self.now;
        self.spells.iter().filter(move |s| s.from <= now && now < s.to).map(|s| &s.trouble)
    }

    fn ask_next(&mut self) {
        let times: f64 =
            self.troubles().map(|t| if let Trouble::Load { times } = t { *times } else { 1.0 }).product();
        let mean = 1000.0 / (self.fleet.scans_per_s * times);
        let at = self.now - mean * (1.0 - self.chance.rand_float()).ln();
        let table_type = ASKED[self.chance.rand_range(0..10) as usize] as usize;
        self.add(at, Next::Asks { table_type, tries: 0 });
    }

    fn run(&mut self) {
        // What is asked at the end has its time.
        let last = self.ends + CLIENT_MS + 1000.0;
        while let Some(Reverse((at, _, next))) = self.next.pop() {
            self.now = at as f64 / 1000.0;
            if self.now > last {
                break;
            }
            self.happens(next);
            self.turn();
        }
        self.day.lost += self.scans.len() as u32;
    }

    fn happens(&mut self, next: Next) {
        match next {
            Next::Spell(nth, begins) => self.spell(nth, begins),
            Next::Asks { table_type, tries } => {
                if tries == 0 && self.now < self.ends {
                    self.ask_next();
                }
                if self.now < self.ends {
                    self.ask(table_type, tries);
                }
            }
            Next::Reaches(searcher, job) => self.reaches(searcher, job),
            Next::Worked(searcher, job) => {
                if self.searchers[searcher].end(job) {
                    let lost = self.troubles().any(|t| match t {
                        Trouble::AnswersLost { who, .. } => who.contains(&searcher),
                        _ => false,
                    });
                    let share = self.troubles().find_map(|t| match t {
                        Trouble::AnswersLost { who, share } if who.contains(&searcher) => Some(*share),
                        _ => None,
                    });
                    let lost = lost && self.chance.rand_float() < share.unwrap_or(0.0);
                    if !lost {
                        self.add(self.now + WAY_MS, Next::Ends(job, OK));
                    }
                    self.begin(searcher);
                }
            }
            Next::Ends(job, how) => {
                let Some((searcher, since)) = self.out.remove(&job) else { return };
                let ending = match how {
                    OK => DispatchOutcome::Ok,
                    TIMED_OUT => DispatchOutcome::TimedOut,
                    FAILED => DispatchOutcome::Error,
                    REFUSED => DispatchOutcome::ConnectFailed,
                    _ => DispatchOutcome::Reset,
                };
                if how == TIMED_OUT {
                    self.searchers[searcher].cancel(job);
                }
                self.ended(job, searcher, ending, self.now - since);
            }
            Next::Probed { mixer, searcher, ok, began } => {
                let ending = if ok { DispatchOutcome::Ok } else { DispatchOutcome::TimedOut };
                let took_ms = self.now - began as f64 / 1000.0;
                self.tell(mixer, Event::ProbeEnded { searcher: address(searcher), outcome: ending, took_ms });
            }
            Next::Wake(mixer) => self.tell(mixer, Event::Wake),
            Next::Look(mixer) => self.look(mixer),
            Next::Word(number) => {
                if let Some((from, to, part)) = self.words.remove(&number) {
                    self.word(from, to, &part);
                }
            }
            Next::Round(from, to) => {
                let now = EPOCH + self.now;
                let parts = self.copies[from].delta(now, &self.copies[to]);
                parts.iter().for_each(|part| self.word(from, to, part));
            }
        }
    }

    /// A mixer tells the others what is new to it.
    fn look(&mut self, mixer: usize) {
        let now = EPOCH + self.now;
        if self.now < self.ends {
            self.add(self.now + LOOK_MS, Next::Look(mixer));
        }
        let known: Vec<_> = self.mixers[mixer].0.observed_searchers().collect();
        if let Some((searcher, since)) = self.hung
            && known.iter().any(|k| k.marked && searcher_at(k.searcher) == searcher)
            && self.knows.insert(mixer)
        {
            let took = self.now - since;
            self.day.marked_ms.push(took);
        }
        let Some(words) = self.fleet.words.clone() else { return };
        let lies = words.liar == Some(mixer);
        let (mut events, part) = self.copies[mixer].look(now, &known, lies);
        events.extend(self.copies[mixer].tick(now));
        for event in events {
            self.tell(mixer, event);
        }
        let Some(part) = part else { return };
        for to in (0..self.fleet.mixers).filter(|to| *to != mixer) {
            self.day.word_bytes += part.records.iter().map(|r| r.name.len() as u64 + 40).sum::<u64>();
            if self.chance.rand_float() < words.loss {
                // Its next word shows the gap; or a round does.
                self.add(self.now + ROUND_MS, Next::Round(mixer, to));
                continue;
            }
            self.ids += 1;
            self.words.insert(self.ids, (mixer, to, part.clone()));
            let at = self.now + WAY_MS + words.delay_ms * self.chance.rand_float();
            self.add(at, Next::Word(self.ids));
        }
    }

    fn word(&mut self, from: usize, to: usize, part: &RecordBatch) {
        match self.copies[to].heard(EPOCH + self.now, from, part) {
            Ok(events) => events.into_iter().for_each(|event| self.tell(to, event)),
            Err(RejectReason::Gap) => self.add(self.now + ROUND_MS, Next::Round(from, to)),
            Err(_) => {}
        }
    }

    fn ended(&mut self, job: Job, searcher: usize, ending: DispatchOutcome, took_ms: f64) {
        let Job { mixer, part, dispatch, .. } = job;
        self.tell(
            mixer,
            Event::DispatchEnded {
                part,
                dispatch,
                searcher: address(searcher),
                outcome: ending,
                took_ms,
                busy: None,
            },
        );
    }

    fn spell(&mut self, nth: usize, begins: bool) {
        let trouble = self.spells[nth].trouble.clone();
        match trouble {
            Trouble::Hang { who } => {
                if begins && self.hung.is_none() {
                    self.hung = who.first().map(|searcher| (*searcher, self.now));
                }
                for searcher in who {
                    self.searchers[searcher].hangs = begins;
                    self.begin(searcher);
                }
            }
            Trouble::Crash { who } => {
                for searcher in &who {
                    self.searchers[*searcher].down = begins;
                    for job in self.searchers[*searcher].crash() {
                        self.add(self.now + WAY_MS, Next::Ends(job, RESET));
                    }
                }
                if !begins {
                    let since = EPOCH + self.now;
                    let lines: Vec<ListedSearcher> = who.iter().map(|s| self.listed(*s, since)).collect();
                    for mixer in 0..self.mixers.len() {
                        self.tell(mixer, Event::List { kind: ListKind::Changes, searchers: lines.clone() });
                    }
                }
            }
            _ => {}
        }
    }

    fn ask(&mut self, table_type: usize, tries: u32) {
        let mixer = self.chance.rand_range(0..self.mixers.len() as u64) as usize;
        self.ids += 1;
        let (id, number) = (self.ids, self.ids as u32);
        let gone_at = self.now + CLIENT_MS;
        let scan = Scan { mixer, table_type, tries, asked_at: self.now, gone_at, sent: false };
        self.scans.insert(id, scan);
        if tries == 0 {
            self.moment(self.now).asked += 1;
        }
        self.tell(
            mixer,
            Event::Scan {
                id,
                number,
                table_type,
                customer: 0,
                deadline_at: EPOCH + gone_at,
                work_ms: None,
                retry: tries > 0,
            },
        );
        let parts = PARTS[table_type];
        let first = self.chance.rand_range(0..u64::from(SHARDS)) as u32;
        for nth in 0..parts {
            self.ids += 1;
            let part = self.ids;
            self.parts.insert(part, id);
            let shard = (first + nth * 7) % SHARDS;
            self.tell(mixer, Event::Part { id: part, number, shard, weight: 1.0 / f64::from(parts) });
        }
    }

    fn moment(&mut self, at: f64) -> &mut Moment {
        let last = self.day.moments.len() - 1;
        &mut self.day.moments[((at / MOMENT_MS) as usize).min(last)]
    }

    fn reaches(&mut self, searcher: usize, job: Job) {
        if !self.out.contains_key(&job) {
            return; // called off on its way
        }
        let (errors, slow) = self.troubles().fold((false, 1.0), |(errors, slow), trouble| match trouble {
            Trouble::Errors { who } if who.contains(&searcher) => (true, slow),
            Trouble::Slow { who, times } if who.contains(&searcher) => (errors, slow * times),
            Trouble::SlowType { table_type, times } if *table_type == job.table_type => {
                (errors, slow * times)
            }
            _ => (errors, slow),
        });
        if self.searchers[searcher].down {
            return self.add(self.now + WAY_MS, Next::Ends(job, REFUSED));
        }
        if errors {
            return self.add(self.now + WAY_MS, Next::Ends(job, FAILED));
        }
        if job.table_type == 2 && !self.ran.insert(job.part) {
            self.day.twice += 1;
        }
        // Half of a part's work is the same for all, half is drawn.
        let work = self.fleet.part_ms * slow * (0.5 - 0.5 * (1.0 - self.chance.rand_float()).ln());
        self.searchers[searcher].take(job, work);
        self.begin(searcher);
    }

    fn begin(&mut self, searcher: usize) {
        while let Some((job, work)) = self.searchers[searcher].begin() {
            self.add(self.now + work, Next::Worked(searcher, job));
        }
    }

    /// Every mixer that was told something takes its turn.
    fn turn(&mut self) {
        for mixer in 0..self.mixers.len() {
            while !self.mixers[mixer].1.is_empty() {
                let (module, events) = &mut self.mixers[mixer];
                let actions = module.handle_events(EPOCH + self.now, std::mem::take(events));
                actions.into_iter().for_each(|action| self.act(mixer, action));
            }
        }
    }

    fn act(&mut self, mixer: usize, action: Action) {
        match action {
            Action::Dispatch { part, searcher, timeout_ms } => {
                let scan = self.parts.get(&part).and_then(|scan| self.scans.get_mut(scan));
                let table_type = scan.as_ref().map_or(0, |s| s.table_type);
                let asked_at = scan.as_ref().map_or(self.now, |s| s.asked_at);
                scan.into_iter().for_each(|s| s.sent = true);
                let dispatches = self.dispatches.entry(part).or_default();
                let job = Job { mixer, part, dispatch: *dispatches, table_type };
                *dispatches += 1;
                self.day.into_hang += u32::from(self.searchers[searcher_at(searcher)].hangs);
                self.out.insert(job, (searcher_at(searcher), self.now));
                self.moment(asked_at).sent += 1;
                self.add(self.now + WAY_MS, Next::Reaches(searcher_at(searcher), job));
                self.add(self.now + timeout_ms, Next::Ends(job, TIMED_OUT));
            }
            Action::Cancel { part, dispatch } => {
                let job = self.out.keys().find(|j| j.part == part && j.dispatch == dispatch).copied();
                let Some(job) = job else { return };
                let Some((searcher, since)) = self.out.remove(&job) else { return };
                self.searchers[searcher].cancel(job);
                self.ended(job, searcher, DispatchOutcome::Cancelled, self.now - since);
            }
            Action::Complete { scan, .. } => self.answered(scan, Some(true)),
            Action::Throttle { scan, retry_after_ms } => {
                self.again(scan, retry_after_ms.unwrap_or(AGAIN_MS));
                self.answered(scan, None);
            }
            Action::Abandon { scan } => {
                self.again(scan, AGAIN_MS);
                self.answered(scan, Some(false));
            }
            Action::Probe { searcher } => {
                let searcher = searcher_at(searcher);
                let s = &self.searchers[searcher];
                let ok = !s.hangs && !s.down;
                let at = self.now + if ok { 2.0 * WAY_MS } else { PROBE_MS };
                let began = (self.now * 1000.0) as u64;
                self.add(at, Next::Probed { mixer, searcher, ok, began });
            }
            Action::WakeAt { at } => self.add(at - EPOCH, Next::Wake(mixer)),
            Action::CloseIdleConnections { .. } | Action::Subscribe | Action::Log { .. } => {}
        }
    }

    /// A client whose scan was not completed asks again, a few times; what is non-replayable only if it was refused.
    fn again(&mut self, scan: u64, in_ms: f64) {
        let Some(held) = self.scans.get(&scan) else { return };
        if held.tries < self.fleet.retries {
            let next = Next::Asks { table_type: held.table_type, tries: held.tries + 1 };
            self.add(self.now + in_ms, next);
        }
    }

    fn answered(&mut self, scan: u64, completed: Option<bool>) {
        let Some(held) = self.scans.remove(&scan) else { return };
        let _ = held.mixer;
        if self.now > held.gone_at {
            self.day.lost += 1;
        }
        let in_time = completed == Some(true) && self.now - held.asked_at <= self.fleet.target_ms;
        if held.tries > 0 {
            return;
        }
        let moment = self.moment(held.asked_at);
        moment.in_time += u32::from(in_time);
        moment.refused += u32::from(completed.is_none() && !held.sent);
    }
}
