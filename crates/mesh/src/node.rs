//! A mixer among mixers, without I/O.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use pewterwharf_peers::{Effect, Hello, Incarnation, Life, Peers, Refusal, Rival, Standing};
pub use pewterwharf_replica::LocalStatus;
use pewterwharf_replica::kinds::{IdleLost, Leaving, ListHeld, Mark, ProcessStart, Stage, Used};
use pewterwharf_replica::{Advice, Exchange, Limits, PeerReportPolicy, Progress, Replica, Word, kinds};

use crate::frame::Frame;
use crate::show::{FleetStatus, Member};

/// What rows of all mixers may take in sum, in bytes.
const ROWS: usize = 2 << 20;
/// A pause between two looks of more than this is one of this process: what comes then may be so much older than it says.
const PAUSE_MS: f64 = 300.0;

/// That a searcher has gone is said for so long: well past the time in which every list tells.
const GONE_MS: f64 = 60_000.0;

/// What this mixer has met by itself, for the others.
#[derive(Clone, Debug, PartialEq)]
pub enum LocalReport {
    /// What it knows of a searcher; nothing, where its list does not name it any more. With the multiple of normal where it
    /// is marked, the parts that this goes by, and whether it is cold since its start.
    Searcher {
        address: SocketAddrV4,
        status: Option<LocalStatus>,
        cold: bool,
        latency_ratio: f64,
        parts: u32,
    },
    /// The list that it holds.
    List { index: u64, ready: u32 },
    /// Connections were lost while idle.
    IdleConnectionsLost { times: u16 },
    /// A customer's scans in a span.
    CustomerUsage { customer: String, scans: u32, span_ms: u32 },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// To that peer.
    Send { to: String, frame: Frame },
    /// Ends the link to that peer, and opens another soon.
    Reopen { to: String },
    /// Begins its link to that peer anew, with a hello first.
    Greet { to: String },
    /// Ends links on which an earlier start of that name speaks, with the reason.
    Outdone { name: String, by: Rival },
    /// For the decision module.
    Advice(Advice),
    /// A change that operators want to know of.
    Log(String),
}

/// One mixer of a fleet.
pub struct Node {
    pub peers: Peers,
    pub exchange: Exchange,
    pub policy: PeerReportPolicy,
    looked_at: Option<f64>,
    /// How much older than they say the words are that are read in this turn.
    old_ms: f64,
    /// Searchers that have left the list, and when: their words are taken back once all have had time to hear of it.
    gone: BTreeMap<SocketAddrV4, f64>,
    /// Longest time between two looks since the start, in milliseconds.
    longest_pause_ms: f64,
    was: Progress,
}

impl Node {
    /// A mixer that has just started; `names` are its peers, and the seed differs between starts.
    pub fn new(fleet: &str, me: &str, names: &[String], seed: u64) -> Self {
        let peers = Peers::new(fleet, me, names.iter().cloned(), seed);
        let limits = Limits::per_origin(ROWS, names.len() + 1);
        let replica = Replica::new(me, peers.start(), names.iter().cloned(), limits);
        Self {
            exchange: Exchange::new(replica, seed),
            policy: PeerReportPolicy::new(me),
            peers,
            looked_at: None,
            old_ms: 0.0,
            gone: BTreeMap::new(),
            longest_pause_ms: 0.0,
            was: Progress::Alone,
        }
    }

    /// Has to be called first in every turn, with the time: it sees whether this process has paused.
    pub fn look(&mut self, now: f64) {
        let pause = self.looked_at.map_or(0.0, |at| now - at);
        self.old_ms = if pause > PAUSE_MS { pause } else { 0.0 };
        self.longest_pause_ms = self.longest_pause_ms.max(pause);
        self.looked_at = Some(now);
    }

    /// The first word on a link that a peer has opened.
    ///
    /// # Errors
    /// Why it is to be refused.
    pub fn hello(&mut self, now: f64, hello: &Hello) -> Result<(), Refusal> {
        self.peers.hello(now, hello)
    }

    /// A link that this mixer has opened is refused.
    pub fn refused(&mut self, now: f64, why: &Refusal) {
        if let Refusal::Older(by) = why {
            self.peers.outdone(now, *by);
        }
    }

    /// A word of a peer, on a link whose hello was taken.
    pub fn heard(&mut self, now: f64, from: &str, start: Incarnation, frame: Frame) -> Vec<Out> {
        let mut out = Vec::new();
        match frame {
            Frame::Swim(bytes) => self.peers.heard(now, &bytes),
            Frame::Bye(left) if left == start => self.peers.bye(from, start),
            Frame::Copy(word) if self.peers.takes_part() => self.copy(now, from, word, &mut out),
            Frame::Copy(_) | Frame::Bye(_) | Frame::Hello(_) | Frame::Refused(_) => {}
        }
        out
    }

    fn copy(&mut self, now: f64, from: &str, word: Word, out: &mut Vec<Out>) {
        for (origin, start, through) in word.origins() {
            let beyond = self.exchange.replica.origin(origin).is_some_and(|held| through > held.version);
            self.peers.speaks(now, origin, start, beyond);
        }
        let (news, words) = self.exchange.heard(now, self.old_ms, from, word);
        out.extend(words.into_iter().map(|(to, word)| Out::Send { to, frame: Frame::Copy(word) }));
        let advice = self.policy.apply_changes(now, &news, &self.exchange.replica);
        out.extend(advice.into_iter().map(Out::Advice));
    }

    /// What this mixer has met by itself.
    pub fn say(&mut self, now: f64, say: LocalReport) -> Option<Out> {
        let replica = &mut self.exchange.replica;
        match say {
            LocalReport::Searcher { address: at, status: own, cold, latency_ratio, parts } => {
                let advice = self.policy.local_status_changed(now, at, own);
                let late = own.is_some_and(|own| !own.marked);
                self.searcher(now, at, own, cold, Mark { latency_ratio, parts, late });
                return advice.map(Out::Advice);
            }
            LocalReport::List { index, ready } => {
                drop(replica.publish(now, "list", &ListHeld { index, ready }, now))
            }
            LocalReport::IdleConnectionsLost { times } => {
                drop(replica.publish(now, "", &IdleLost { times }, now))
            }
            LocalReport::CustomerUsage { customer, scans, span_ms } => {
                replica.publish(now, &customer, &Used { scans, span_ms }, now);
            }
        }
        None
    }

    /// Says what the others may want to know of a searcher: who is up, warm and not marked, and always was, is no word.
    fn searcher(&mut self, now: f64, at: SocketAddrV4, own: Option<LocalStatus>, cold: bool, mark: Mark) {
        let (replica, name) = (&mut self.exchange.replica, at.to_string());
        let before = replica
            .reports::<Leaving>(now, &name)
            .into_iter()
            .find(|report| report.origin == replica.local_name())
            .map(|report| report.value);
        let Some(own) = own else {
            replica.retract::<Mark>(now, &name);
            replica.retract::<ProcessStart>(now, &name);
            let since = before.map_or(0.0, |said| said.since);
            replica.publish(now, &name, &Leaving { since, stage: Stage::Going }, now);
            self.gone.insert(at, now);
            return;
        };
        self.gone.remove(&at);
        match own.marked || own.late {
            true => drop(replica.publish(now, &name, &mark, now)),
            false => replica.retract::<Mark>(now, &name),
        }
        let leaving = Leaving { since: own.since, stage: own.stage };
        if before.map_or(own.stage > Stage::Up, |before| before != leaving) {
            replica.publish(now, &name, &leaving, now);
        }
        let began = replica
            .reports::<ProcessStart>(now, &name)
            .into_iter()
            .any(|report| report.origin == replica.local_name() && report.value.since == own.since);
        match cold {
            true if !began => drop(replica.publish(now, &name, &ProcessStart { since: own.since }, now)),
            true => {}
            false => replica.retract::<ProcessStart>(now, &name),
        }
    }

    /// When it wants to be looked at again.
    pub fn due(&self) -> f64 {
        self.peers.due().min(self.exchange.due())
    }

    /// Lets time go on.
    pub fn tick(&mut self, now: f64) -> Vec<Out> {
        let mut out = Vec::new();
        for effect in self.peers.tick(now) {
            match effect {
                Effect::Send { to, bytes } => out.push(Out::Send { to, frame: Frame::Swim(bytes) }),
                Effect::Greet { to } => out.push(Out::Greet { to }),
                Effect::Outdone { name, by } => out.push(Out::Outdone { name, by }),
                Effect::Up { name, start } => {
                    out.push(Out::Log(format!("{name} is there, start {start}")));
                    self.exchange.peer(&name, Some(start));
                }
                Effect::Down { name } => {
                    // One that leaves has last words on its links.
                    if self.peers.takes_part() {
                        out.push(Out::Reopen { to: name.clone() });
                    }
                    out.push(Out::Log(format!("{name} is not there any more")));
                    self.exchange.peer(&name, None);
                }
                Effect::Started { name, start } => {
                    self.exchange.started(&name, start);
                    // A link that was opened to an earlier process leads nowhere, even if nobody has told this end of it.
                    out.push(Out::Reopen { to: name });
                }
                Effect::Renewed(start) => {
                    out.push(Out::Log(format!(
                        "an earlier start of this name is known: this one is {start}"
                    )));
                    self.exchange.renewed(start);
                }
                Effect::Aside(by) => {
                    let line = format!(
                        "start {by} has this mixer's name: it stands aside from the fleet, and serves on"
                    );
                    out.push(Out::Log(line));
                }
            }
        }
        if self.peers.takes_part() {
            let words = self.exchange.tick(now);
            out.extend(words.into_iter().map(|(to, word)| Out::Send { to, frame: Frame::Copy(word) }));
        }
        let long_gone: Vec<SocketAddrV4> =
            self.gone.iter().filter(|(_, since)| now - **since > GONE_MS).map(|(at, _)| *at).collect();
        for at in long_gone {
            self.gone.remove(&at);
            self.exchange.replica.retract::<Leaving>(now, &at.to_string());
        }
        out.extend(self.policy.tick(now).into_iter().map(Out::Advice));
        let members = self.peers.up().len() as u32 + 1;
        out.extend(self.policy.set_mixer_count(members).map(Out::Advice));
        let progress = self.exchange.progress();
        if std::mem::discriminant(&progress) != std::mem::discriminant(&self.was) {
            out.push(Out::Log(match &progress {
                Progress::Alone => "no mixer is there to catch up from".to_owned(),
                Progress::CatchingUp { .. } => "catching up".to_owned(),
                Progress::Done => "caught up".to_owned(),
            }));
            self.was = progress;
        }
        out
    }

    /// Leaves the fleet, with a word to all that are there.
    pub fn leave(&mut self, now: f64) -> Vec<Out> {
        if !self.peers.takes_part() {
            return Vec::new();
        }
        let start = self.peers.start();
        let byes = self.peers.up().keys().map(|to| Out::Send { to: to.clone(), frame: Frame::Bye(start) });
        let byes: Vec<Out> = byes.collect();
        self.peers.leave();
        let out = self.tick(now).into_iter().filter(|o| !matches!(o, Out::Advice(_)));
        byes.into_iter().chain(out).collect()
    }

    /// What it sees of its fleet, for people; without what the links know.
    pub fn shown(&self, now: f64) -> FleetStatus {
        let replica = &self.exchange.replica;
        let trust = self.policy.trust(now);
        let member = |seen: pewterwharf_peers::Seen| {
            let held = replica.origin(&seen.name).unwrap_or_default();
            Member {
                trust: trust.get(&seen.name).copied().unwrap_or(0.5),
                life: match seen.life {
                    Life::Unheard => "unheard",
                    Life::Alive => "alive",
                    Life::Suspect => "suspect",
                    Life::Down => "down",
                    Life::Left => "left",
                },
                start: seen.start.map(|s| s.to_string()),
                name: seen.name,
                version: held.version,
                rows: held.records,
                link: String::new(),
            }
        };
        let (rows, bytes) = replica.size();
        let own = replica.origin(replica.local_name()).unwrap_or_default();
        let lists = replica.reports::<ListHeld>(now, "list").into_iter();
        FleetStatus {
            me: replica.local_name().to_owned(),
            standing: match self.peers.standing() {
                Standing::Joining => "joining".to_owned(),
                Standing::Member => "member".to_owned(),
                Standing::Aside(by) => format!("aside, for start {by} of its name"),
                Standing::Left => "left".to_owned(),
            },
            start: self.peers.start().to_string(),
            progress: match self.exchange.progress() {
                Progress::Alone => "alone".to_owned(),
                Progress::Done => "caught up".to_owned(),
                Progress::CatchingUp { from, pieces, rows, behind } => {
                    let from = from.unwrap_or_else(|| "nobody yet".to_owned());
                    format!("catching up from {from}, {pieces} pieces, {rows} rows, {behind} behind")
                }
            },
            members: self.peers.seen().into_iter().map(member).collect(),
            version: own.version,
            own_rows: own.records,
            rows,
            bytes,
            sum: format!("{:016x}", replica.sum()),
            kinds: replica.by_kind().into_iter().map(|(kind, count)| (kinds::name(kind), count)).collect(),
            lists: lists.map(|report| (report.origin.to_owned(), report.value.index)).collect(),
            refused: replica.refused().iter().map(|(why, count)| (why.word().to_owned(), *count)).collect(),
            unfit_words: self.peers.unfit(),
            passed_over: self.policy.passed_over,
            longest_pause_ms: self.longest_pause_ms,
            links: BTreeMap::new(),
        }
    }
}
