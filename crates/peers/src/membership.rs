//! Membership and failure detection round `foca`.

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::num::{NonZeroU8, NonZeroUsize};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use std::{fmt, mem};

use bytes::{Buf, BufMut};
use foca::{
    Codec, Config, Foca, Header, Member, Notification, PeriodicParams, PostcardCodec, Runtime, State, Timer,
};
use oorandom::Rand64;
use rand::TryRng;
use serde::{Deserialize, Serialize};

use crate::{FORMAT, Hello, Incarnation, Refusal, Rival};

/// A member is asked this often, one at a time: with three mixers each is asked once a second.
const PROBE_MS: u64 = 500;
/// A direct answer is awaited for so long before others are asked to ask: a hundred round trips of a data centre.
const ANSWER_MS: u64 = 200;
/// Others that are asked to ask.
const ASKED: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// A suspect has so long to refute: four probes.
const SUSPECT_MS: u64 = 2000;
/// One that is down is remembered as that for so long, so that old words do not bring it back.
const REMEMBER_MS: u64 = 60_000;
/// How often changes are passed on beside probes, and those that are down asked whether they are.
const GOSSIP_MS: u64 = 200;
const ASK_DOWN_MS: u64 = 1000;
/// Largest word, in bytes: some twenty members.
const LARGEST: NonZeroUsize = NonZeroUsize::new(1400).unwrap();
/// A pause between two looks of more than this is one of this process: looks come twenty times as often.
const PAUSE_MS: f64 = 300.0;
/// Ages of two processes that differ by less are not told apart, as words take their time: then the greater lot is the later.
const ALIKE_MS: f64 = 3000.0;
/// Other processes of its own name that it remembers.
const RIVALS: usize = 16;
/// How often it wants to be looked at, at the least.
const LOOK_MS: f64 = 50.0;

/// A mixer as `foca` knows it. `life` grows when one that was thought down comes back without having been.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Id {
    name: String,
    start: Incarnation,
    life: u32,
}

impl foca::Identity for Id {
    type Addr = String;

    fn renew(&self) -> Option<Self> {
        Some(Self { life: self.life.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.start, self.life) > (other.start, other.life)
    }
}

/// Why a word can't be used.
#[derive(Debug)]
struct Unfit(String);

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Unfit {}

/// Takes words about the names of the file only: without, whoever talks of ever new names would fill the memory.
struct Named {
    me: String,
    names: Arc<BTreeSet<String>>,
    /// The highest start under this mixer's own name that others talk of.
    namesake: Arc<Mutex<Option<Incarnation>>>,
}

impl Named {
    fn known(&self, id: &Id) -> Result<(), Unfit> {
        if id.name == self.me {
            let mut held = self.namesake.lock().unwrap_or_else(PoisonError::into_inner);
            *held = (*held).max(Some(id.start));
        }
        if id.name == self.me || self.names.contains(&id.name) {
            Ok(())
        } else {
            Err(Unfit(format!("{:?} is not in the file", id.name)))
        }
    }
}

impl Codec<Id> for Named {
    type Error = Unfit;

    fn encode_header(&mut self, header: &Header<Id>, buf: impl BufMut) -> Result<(), Unfit> {
        PostcardCodec.encode_header(header, buf).map_err(|error| Unfit(error.to_string()))
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Id>, Unfit> {
        let header = PostcardCodec.decode_header(buf).map_err(|error| Unfit(error.to_string()))?;
        self.known(&header.src).map(|()| header)
    }

    fn encode_member(&mut self, member: &Member<Id>, buf: impl BufMut) -> Result<(), Unfit> {
        PostcardCodec.encode_member(member, buf).map_err(|error| Unfit(error.to_string()))
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Id>, Unfit> {
        let member = PostcardCodec.decode_member(buf).map_err(|error| Unfit(error.to_string()))?;
        self.known(member.id()).map(|()| member)
    }
}

/// The seeded chance that `foca` draws from.
struct Chance(Rand64);

impl TryRng for Chance {
    type Error = Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        Ok((self.0.rand_u64() >> 32) as u32)
    }

    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        Ok(self.0.rand_u64())
    }

    fn try_fill_bytes(&mut self, dst: &mut [u8]) -> Result<(), Infallible> {
        for piece in dst.chunks_mut(8) {
            let bytes = self.0.rand_u64().to_le_bytes();
            piece.copy_from_slice(&bytes[..piece.len()]);
        }
        Ok(())
    }
}

/// What `foca` wants done.
#[derive(Default)]
struct Wishes {
    sends: Vec<(Id, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Id>)>,
    /// Something about who lives has changed.
    changed: bool,
}

impl Runtime<Id> for &mut Wishes {
    fn notify(&mut self, _: Notification<'_, Id>) {
        self.changed = true;
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Id>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// How this mixer stands in its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nobody has said yet that it knows of this start.
    Joining,
    Member,
    /// A later start has its name. It serves its clients, and says nothing more to mixers.
    Aside(Incarnation),
    Left,
}

/// What another is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Life {
    /// It has not been heard of since the start.
    Unheard,
    Alive,
    /// It did not answer, and has some time left to say that it lives.
    Suspect,
    Down,
    /// It said that it goes.
    Left,
}

/// A peer of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    pub name: String,
    pub life: Life,
    pub start: Option<Incarnation>,
}

/// What is to be done, or has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send {
        to: String,
        bytes: Vec<u8>,
    },
    /// Begins its link to that peer with a hello anew.
    Greet {
        to: String,
    },
    /// Ends links on which an earlier start of that name speaks.
    Outdone {
        name: String,
        by: Rival,
    },
    Up {
        name: String,
        start: Incarnation,
    },
    Down {
        name: String,
    },
    /// A later start has taken a peer's name: what the earlier one said is void.
    Started {
        name: String,
        start: Incarnation,
    },
    /// This mixer has a new start; what it said under the one before is said anew.
    Renewed(Incarnation),
    /// This mixer stands aside.
    Aside(Incarnation),
}

/// The mixers of a fleet, as one of them sees them.
pub struct Peers {
    me: String,
    fleet: String,
    start: Incarnation,
    standing: Standing,
    names: Arc<BTreeSet<String>>,
    /// The highest start heard of each name, and when its process began by this mixer's clock, where that is known.
    starts: BTreeMap<String, (Incarnation, Option<f64>)>,
    /// When this process began.
    began: Option<f64>,
    /// Processes of its own name, by their lots, that it has taken a number above, and that number.
    topped: BTreeMap<u64, u64>,
    /// It was asked to end.
    ends: bool,
    up: BTreeMap<String, Incarnation>,
    left: BTreeSet<String>,
    foca: Foca<Id, Named, Chance, foca::NoCustomBroadcast>,
    namesake: Arc<Mutex<Option<Incarnation>>>,
    wishes: Wishes,
    timers: BTreeMap<(u64, u64), Timer<Id>>,
    order: u64,
    looked_at: Option<f64>,
    ask_down_at: f64,
    /// Words that could not be used.
    unfit: u64,
    chance: Rand64,
    effects: Vec<Effect>,
}

fn micros(ms: f64) -> u64 {
    (ms.max(0.0) * 1000.0) as u64
}

fn config(members: usize) -> Config {
    let every = |ms, members| PeriodicParams { frequency: Duration::from_millis(ms), num_members: members };
    // An update is passed on so often: some times the logarithm of the members, as SWIM has it.
    let often = 4 + 4 * (members.max(2).ilog2() as u8);
    Config {
        probe_period: Duration::from_millis(PROBE_MS),
        probe_rtt: Duration::from_millis(ANSWER_MS),
        num_indirect_probes: ASKED,
        max_transmissions: NonZeroU8::new(often).unwrap_or(NonZeroU8::MAX),
        suspect_to_down_after: Duration::from_millis(SUSPECT_MS),
        remove_down_after: Some(Duration::from_millis(REMEMBER_MS)),
        max_packet_size: LARGEST,
        notify_down_members: true,
        periodic_announce: Some(every(10 * ASK_DOWN_MS, NonZeroUsize::MIN)),
        // By ourselves, as it stops when nobody is left: see `ask_down`.
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(every(GOSSIP_MS, ASKED)),
    }
}

impl Peers {
    /// A mixer that has just started. `names` are its peers, at most [`crate::MOST`]; the seed must differ between starts.
    pub fn new(fleet: &str, me: &str, names: impl IntoIterator<Item = String>, seed: u64) -> Self {
        let names: Arc<BTreeSet<String>> =
            Arc::new(names.into_iter().filter(|n| n != me).take(crate::MOST).collect());
        let mut chance = Rand64::new(u128::from(seed) ^ 0x70ee_2500);
        let start = Incarnation::first(chance.rand_u64());
        let namesake = Arc::new(Mutex::new(None));
        let codec = Named { me: me.to_owned(), names: names.clone(), namesake: namesake.clone() };
        let id = Id { name: me.to_owned(), start, life: 0 };
        let config = config(names.len() + 1);
        let ours = Rand64::new(u128::from(chance.rand_u64()));
        Self {
            me: me.to_owned(),
            fleet: fleet.to_owned(),
            start,
            standing: Standing::Joining,
            names,
            starts: BTreeMap::new(),
            began: None,
            topped: BTreeMap::new(),
            ends: false,
            up: BTreeMap::new(),
            left: BTreeSet::new(),
            foca: Foca::new(id, config, Chance(chance), codec),
            namesake,
            wishes: Wishes::default(),
            timers: BTreeMap::new(),
            order: 0,
            looked_at: None,
            ask_down_at: 0.0,
            unfit: 0,
            chance: ours,
            effects: Vec::new(),
        }
    }

    pub fn start(&self) -> Incarnation {
        self.start
    }

    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Whether it takes part: it neither left nor stood aside.
    pub fn takes_part(&self) -> bool {
        matches!(self.standing, Standing::Joining | Standing::Member)
    }

    /// Those that are up, with their starts.
    pub fn up(&self) -> &BTreeMap<String, Incarnation> {
        &self.up
    }

    /// Words that could not be used.
    pub fn unfit(&self) -> u64 {
        self.unfit
    }

    /// All that the machine below holds, for those who look for a fault.
    pub fn inside(&self) -> String {
        let members = self.foca.iter_membership_state().map(|m| {
            let id = m.id();
            format!(
                "{} {} life {} incarnation {} {:?}",
                id.name,
                id.start,
                id.life,
                m.incarnation(),
                m.state()
            )
        });
        let me = self.foca.identity();
        format!("{} {} life {}; {}", me.name, me.start, me.life, members.collect::<Vec<_>>().join(", "))
    }

    /// All peers of the file, in order.
    pub fn seen(&self) -> Vec<Seen> {
        let suspects: BTreeSet<&str> = self
            .foca
            .iter_members()
            .filter(|m| m.state() == State::Suspect)
            .map(|m| m.id().name.as_str())
            .collect();
        let life = |name: &String| match (self.up.contains_key(name), self.left.contains(name)) {
            (true, _) if suspects.contains(name.as_str()) => Life::Suspect,
            (true, _) => Life::Alive,
            (false, true) => Life::Left,
            (false, false) if self.starts.contains_key(name) => Life::Down,
            (false, false) => Life::Unheard,
        };
        let seen = |name: &String| Seen {
            name: name.clone(),
            life: life(name),
            start: self.starts.get(name).map(|s| s.0),
        };
        self.names.iter().map(seen).collect()
    }

    fn age(&mut self, now: f64) -> f64 {
        now - *self.began.get_or_insert(now)
    }

    /// What is known of the latest process under a name.
    fn rival(&self, now: f64, name: &str) -> Option<Rival> {
        let (start, began) = self.starts.get(name).copied()?;
        Some(Rival { start, age_ms: began.map(|began| (now - began).max(0.0) as u64) })
    }

    /// What it says first to a peer.
    pub fn greeting(&mut self, now: f64, to: &str) -> Hello {
        Hello {
            format: FORMAT,
            fleet: self.fleet.clone(),
            name: self.me.clone(),
            start: self.start,
            age_ms: self.age(now) as u64,
            yours: self.rival(now, to),
        }
    }

    /// Takes the first word on a link.
    ///
    /// # Errors
    /// Why the link is to be ended.
    pub fn hello(&mut self, now: f64, hello: &Hello) -> Result<(), Refusal> {
        if hello.format != FORMAT {
            return Err(Refusal::Format { theirs: hello.format, ours: FORMAT });
        }
        if hello.fleet != self.fleet {
            return Err(Refusal::Fleet { theirs: hello.fleet.clone(), ours: self.fleet.clone() });
        }
        if hello.name == self.me {
            self.outdone(now, Rival { start: hello.start, age_ms: Some(hello.age_ms) });
            let age_ms = Some(self.age(now) as u64);
            return Err(if self.takes_part() {
                Refusal::Older(Rival { start: self.start, age_ms })
            } else {
                Refusal::Namesake(hello.name.clone())
            });
        }
        if !self.names.contains(&hello.name) {
            return Err(Refusal::Unnamed(hello.name.clone()));
        }
        if !self.takes_part() {
            return Err(Refusal::Away);
        }
        match self.rival(now, &hello.name) {
            Some(known) if known.start > hello.start => return Err(Refusal::Older(known)),
            Some(known) if known.start == hello.start => {}
            _ => self.started(&hello.name, hello.start),
        }
        if let Some((_, began)) = self.starts.get_mut(&hello.name) {
            *began = Some(now - hello.age_ms as f64);
        }
        self.left.remove(&hello.name);
        match hello.yours {
            Some(yours) if yours.start == self.start => {
                if self.standing == Standing::Joining {
                    self.standing = Standing::Member;
                }
            }
            Some(yours) if yours.start > self.start => self.outdone(now, yours),
            _ => self.effects.push(Effect::Greet { to: hello.name.clone() }),
        }
        if self.takes_part() {
            let id = Id { name: hello.name.clone(), start: hello.start, life: 0 };
            let done = self.foca.announce(id, &mut self.wishes);
            self.unfit += u64::from(done.is_err());
        }
        Ok(())
    }

    fn started(&mut self, name: &str, start: Incarnation) {
        self.starts.insert(name.to_owned(), (start, None));
        self.left.remove(name);
        self.up.get_mut(name).into_iter().for_each(|held| *held = start);
        self.effects.push(Effect::Outdone { name: name.to_owned(), by: Rival { start, age_ms: None } });
        self.effects.push(Effect::Started { name: name.to_owned(), start });
        // Its words may have found no way yet, its own start may have to be told anew.
        self.effects.push(Effect::Greet { to: name.to_owned() });
    }

    /// Somebody knows of a start under this mixer's name, beyond its own. It takes a number above it: a dead process does
    /// not answer that, and one that lives comes above it again. Only then the one that has run for less time is the later,
    /// and the other stands aside. Guards against a restarted mixer that gives way to its own dead past: somebody who knew
    /// nothing of that may have taken it in already, and a process that died young has a small age for long.
    pub fn outdone(&mut self, now: f64, by: Rival) {
        if by.start <= self.start || !self.takes_part() {
            return;
        }
        let age = self.age(now);
        let later = by.age_ms.is_some_and(|theirs| {
            let more = age - theirs as f64;
            more > ALIKE_MS || more >= -ALIKE_MS && by.start.lot > self.start.lot
        });
        let lives = self.topped.get(&by.start.lot).is_some_and(|topped| by.start.number > *topped);
        // Its own lot is its own echo, however it came by that number.
        let gives_way = self.ends || later && lives;
        if gives_way && by.start.lot != self.start.lot {
            self.standing = Standing::Aside(by.start);
            self.end();
            self.effects.push(Effect::Aside(by.start));
            return;
        }
        self.topped.insert(by.start.lot, by.start.number.saturating_add(1));
        while self.topped.len() > RIVALS {
            self.topped.pop_first();
        }
        self.rise(by.start);
    }

    /// This mixer was asked to end: whoever comes under its name from now on is the later, whatever their ages. Guards against
    /// a restart within [`ALIKE_MS`] whose new process gave way, by lot, to one that was still serving its last scans.
    pub fn ends(&mut self) {
        self.ends = true;
    }

    /// Takes a number above that start.
    fn rise(&mut self, above: Incarnation) {
        self.start = self.start.after(above);
        let id = Id { name: self.me.clone(), start: self.start, life: 0 };
        let done = self.foca.change_identity(id, &mut self.wishes);
        self.unfit += u64::from(done.is_err());
        self.effects.push(Effect::Renewed(self.start));
        self.effects.extend(self.names.iter().map(|to| Effect::Greet { to: to.clone() }));
    }

    /// Copies speak of a start of that name, and how far its words went. Guards against rows of a dead start that came by way
    /// of a third: whoever runs under that name now has to come above it.
    pub fn speaks(&mut self, now: f64, name: &str, start: Incarnation, beyond: bool) {
        if !self.takes_part() {
            return;
        }
        if name == self.me {
            self.outdone(now, Rival { start, age_ms: None });
            // Words under this very start that it never said: it begins anew, and they are void.
            if start == self.start && beyond {
                self.rise(start);
            }
        } else if self.names.contains(name) && self.starts.get(name).is_none_or(|s| s.0 < start) {
            self.started(name, start);
        }
    }

    fn end(&mut self) {
        self.timers.clear();
        self.wishes = Wishes::default();
        let up = mem::take(&mut self.up);
        self.effects.extend(up.into_keys().map(|name| Effect::Down { name }));
    }

    /// A peer says that it goes.
    pub fn bye(&mut self, name: &str, start: Incarnation) {
        if self.starts.get(name).is_some_and(|s| s.0 == start) {
            self.left.insert(name.to_owned());
            let id = self.foca.iter_members().find(|m| m.id().name == name).map(|m| m.id().clone());
            if let Some(id) = id {
                let gone = [Member::down(id)].into_iter();
                let done = self.foca.apply_many(gone, true, &mut self.wishes);
                self.unfit += u64::from(done.is_err());
            }
        }
    }

    /// Leaves the fleet; what is left to be sent comes back as effects. Nothing is said after it.
    pub fn leave(&mut self) {
        if self.takes_part() {
            let done = self.foca.leave_cluster(&mut self.wishes);
            self.unfit += u64::from(done.is_err());
            let sends = mem::take(&mut self.wishes.sends);
            self.effects.extend(sends.into_iter().map(|(to, bytes)| Effect::Send { to: to.name, bytes }));
            self.standing = Standing::Left;
            self.end();
        }
    }

    /// Takes a word of membership.
    pub fn heard(&mut self, now: f64, bytes: &[u8]) {
        if self.takes_part() {
            let done = self.foca.handle_data(bytes, &mut self.wishes);
            self.unfit += u64::from(matches!(
                done,
                Err(foca::Error::Decode(_) | foca::Error::MalformedPacket | foca::Error::DataTooBig)
            ));
            let namesake = mem::take(&mut *self.namesake.lock().unwrap_or_else(PoisonError::into_inner));
            namesake.into_iter().for_each(|start| self.outdone(now, Rival { start, age_ms: None }));
        }
    }

    /// When it wants to be looked at.
    pub fn due(&self) -> f64 {
        self.looked_at.map_or(0.0, |at| at + LOOK_MS)
    }

    /// Lets go on what has fallen due at `now`, in milliseconds of a clock that never steps, and tells what is to be done.
    pub fn tick(&mut self, now: f64) -> Vec<Effect> {
        self.age(now);
        if let Some(before) = self.looked_at
            && now - before > PAUSE_MS
        {
            // A pause of this process: what others answered meanwhile is still to be read, and nobody is late for it.
            let late = micros(now - before);
            self.timers =
                mem::take(&mut self.timers).into_iter().map(|((at, n), t)| ((at + late, n), t)).collect();
        }
        self.looked_at = Some(now);
        self.carry(now);
        while let Some(first) = self.timers.first_entry()
            && first.key().0 <= micros(now)
        {
            let timer = first.remove();
            // Nothing it may say matters: a probe that did not run its course begins anew.
            let _ = self.foca.handle_timer(timer, &mut self.wishes);
            self.carry(now);
        }
        if now >= self.ask_down_at && self.takes_part() {
            self.ask_down_at = now + ASK_DOWN_MS as f64;
            self.rivals();
            self.ask_down();
            self.carry(now);
        }
        mem::take(&mut self.effects)
    }

    /// The machine below may hold a dead start of a name that is above the one known to live: it would take no word of the
    /// living one, which has to come above it. Nothing is notified of who was never heard of alive.
    fn rivals(&mut self) {
        let held = |m: &Member<Id>| (m.id().name.clone(), m.id().start);
        let held: Vec<(String, Incarnation)> = self.foca.iter_membership_state().map(held).collect();
        for (name, start) in held {
            if self.starts.get(&name).is_none_or(|s| s.0 < start) {
                self.started(&name, start);
            }
        }
    }

    /// Asks some that were heard of and are down whether they are. Guards against a fleet that was cut into single mixers,
    /// each of which has nobody left to ask, on links that carry words again.
    fn ask_down(&mut self) {
        let down = |name: &&String| !self.up.contains_key(*name) && !self.left.contains(*name);
        let mut down: Vec<(String, Incarnation)> =
            self.starts.keys().filter(down).map(|name| (name.clone(), self.starts[name].0)).collect();
        while down.len() > ASKED.get() {
            down.swap_remove(self.chance.rand_range(0..down.len() as u64) as usize);
        }
        for (name, start) in down {
            let done = self.foca.announce(Id { name, start, life: 0 }, &mut self.wishes);
            self.unfit += u64::from(done.is_err());
        }
    }

    /// Turns wishes into effects and timers.
    fn carry(&mut self, now: f64) {
        let Wishes { sends, timers, changed } = mem::take(&mut self.wishes);
        if !self.takes_part() {
            return;
        }
        for (after, timer) in timers {
            self.order += 1;
            self.timers.insert((micros(now) + after.as_micros() as u64, self.order), timer);
        }
        if changed {
            self.compare();
        }
        self.effects.extend(sends.into_iter().map(|(to, bytes)| Effect::Send { to: to.name, bytes }));
    }

    /// Holds what is told against what the machine below now has. Its notifications say only that something has changed:
    /// a name that goes over from one start to the next has none of its own where both live.
    fn compare(&mut self) {
        let ids: Vec<Id> = self.foca.iter_members().map(|m| m.id().clone()).collect();
        for id in &ids {
            if self.starts.get(&id.name).is_none_or(|s| s.0 < id.start) {
                self.started(&id.name, id.start);
            }
        }
        let known = |id: &&Id| self.starts.get(&id.name).is_some_and(|s| s.0 == id.start);
        let live: BTreeMap<String, Incarnation> =
            ids.iter().filter(known).map(|id| (id.name.clone(), id.start)).collect();
        let before = mem::replace(&mut self.up, live);
        let down = before.keys().filter(|name| !self.up.contains_key(*name));
        self.effects.extend(down.map(|name| Effect::Down { name: name.clone() }));
        let up = self.up.iter().filter(|(name, _)| !before.contains_key(*name));
        self.effects.extend(up.map(|(name, start)| Effect::Up { name: name.clone(), start: *start }));
    }
}
