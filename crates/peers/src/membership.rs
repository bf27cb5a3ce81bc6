//! Membership and failure detection on top of `foca`.

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

use crate::{FORMAT, Hello, Incarnation, KnownIncarnation, LinkRejection};

/// Interval between probes of one member each: with three mixers each one is probed once a second.
const PROBE_INTERVAL_MS: u64 = 500;
/// Timeout of a direct probe before other members probe indirectly: a hundred round trips within a data
/// centre.
const PROBE_TIMEOUT_MS: u64 = 200;
/// Number of members that are asked for an indirect probe, that gossip is sent to, or that are contacted again
/// while they are down.
const FANOUT: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// Time that a suspect has to refute the suspicion: four probes.
const SUSPICION_TIMEOUT_MS: u64 = 2000;
/// Time for which a member is kept as down, so that old messages do not make it a live member again.
const DOWN_RETENTION_MS: u64 = 60_000;
/// Interval at which changes are gossiped in addition to probes.
const GOSSIP_INTERVAL_MS: u64 = 200;
/// Interval at which members that are down are contacted again.
const RECONNECT_INTERVAL_MS: u64 = 1000;
/// Largest message: about twenty members.
const MAX_MESSAGE_BYTES: NonZeroUsize = NonZeroUsize::new(1400).unwrap();
/// A longer time between two ticks is a pause of this process: ticks come about twenty times as often.
const PAUSE_THRESHOLD_MS: f64 = 300.0;
/// Process ages that differ by less count as equal, as messages take time to arrive. The process with the
/// greater nonce then counts as the later one.
const AGE_TOLERANCE_MS: f64 = 3000.0;
/// Maximum number of other processes of its own name that a mixer keeps track of.
const MAX_RIVALS: usize = 16;
/// Maximum time between two ticks.
const TICK_INTERVAL_MS: f64 = 50.0;

/// A mixer's identity in `foca`. The generation grows when a mixer that was declared down is still running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Identity {
    name: String,
    incarnation: Incarnation,
    generation: u32,
}

impl Identity {
    fn new(name: &str, incarnation: Incarnation) -> Self {
        Self { name: name.to_owned(), incarnation, generation: 0 }
    }
}

impl foca::Identity for Identity {
    type Addr = String;

    fn renew(&self) -> Option<Self> {
        Some(Self { generation: self.generation.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.incarnation, self.generation) > (other.incarnation, other.generation)
    }
}

/// Why a message can't be encoded or decoded.
#[derive(Debug)]
struct CodecError(String);

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for CodecError {}

/// Accepts messages about configured names only. Otherwise a peer could exhaust the memory with new names.
struct ConfiguredNamesCodec {
    local_name: String,
    names: Arc<BTreeSet<String>>,
    /// The highest incarnation under this mixer's own name that peers mention.
    own_name_incarnation: Arc<Mutex<Option<Incarnation>>>,
}

impl ConfiguredNamesCodec {
    fn check(&self, identity: &Identity) -> Result<(), CodecError> {
        if identity.name == self.local_name {
            let mut highest = self.own_name_incarnation.lock().unwrap_or_else(PoisonError::into_inner);
            *highest = (*highest).max(Some(identity.incarnation));
        }
        if identity.name == self.local_name || self.names.contains(&identity.name) {
            Ok(())
        } else {
            Err(CodecError(format!("{:?} is not in the settings file", identity.name)))
        }
    }
}

impl Codec<Identity> for ConfiguredNamesCodec {
    type Error = CodecError;

    fn encode_header(&mut self, header: &Header<Identity>, buf: impl BufMut) -> Result<(), CodecError> {
        PostcardCodec.encode_header(header, buf).map_err(|error| CodecError(error.to_string()))
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Identity>, CodecError> {
        let header = PostcardCodec.decode_header(buf).map_err(|error| CodecError(error.to_string()))?;
        self.check(&header.src).map(|()| header)
    }

    fn encode_member(&mut self, member: &Member<Identity>, buf: impl BufMut) -> Result<(), CodecError> {
        PostcardCodec.encode_member(member, buf).map_err(|error| CodecError(error.to_string()))
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Identity>, CodecError> {
        let member = PostcardCodec.decode_member(buf).map_err(|error| CodecError(error.to_string()))?;
        self.check(member.id()).map(|()| member)
    }
}

/// Seeded random number generator for `foca`.
struct FocaRng(Rand64);

impl TryRng for FocaRng {
    type Error = Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        Ok((self.0.rand_u64() >> 32) as u32)
    }

    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        Ok(self.0.rand_u64())
    }

    fn try_fill_bytes(&mut self, dst: &mut [u8]) -> Result<(), Infallible> {
        for chunk in dst.chunks_mut(8) {
            let bytes = self.0.rand_u64().to_le_bytes();
            chunk.copy_from_slice(&bytes[..chunk.len()]);
        }
        Ok(())
    }
}

/// Collects the messages, timers and notifications of `foca`.
#[derive(Default)]
struct FocaOutput {
    sends: Vec<(Identity, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Identity>)>,
    /// The set of live members may have changed.
    members_changed: bool,
}

impl Runtime<Identity> for &mut FocaOutput {
    fn notify(&mut self, _: Notification<'_, Identity>) {
        self.members_changed = true;
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// This mixer's membership of its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipState {
    /// No peer has confirmed this incarnation yet.
    Joining,
    Member,
    /// A later incarnation uses this name. This process still serves its clients, but sends no more messages to
    /// mixers.
    Superseded(Incarnation),
    Left,
}

/// Status of a peer by failure detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerStatus {
    /// Nothing was received from it since the start.
    Unknown,
    Alive,
    /// It did not answer a probe and has some time left to refute the suspicion.
    Suspect,
    Down,
    /// It announced that it leaves.
    Left,
}

/// A configured peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerInfo {
    pub name: String,
    pub status: PeerStatus,
    pub incarnation: Option<Incarnation>,
}

/// An action to carry out, or a change that took place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send {
        to: String,
        bytes: Vec<u8>,
    },
    /// Send a hello on the link to this peer.
    SendHello {
        to: String,
    },
    /// Close links from earlier incarnations of this name.
    CloseSupersededLinks {
        name: String,
        by: KnownIncarnation,
    },
    PeerUp {
        name: String,
        incarnation: Incarnation,
    },
    PeerDown {
        name: String,
    },
    /// A later incarnation uses a peer's name: the records of the earlier one are void.
    PeerRestarted {
        name: String,
        incarnation: Incarnation,
    },
    /// This mixer has taken a new incarnation and has to publish everything anew.
    IncarnationChanged(Incarnation),
    /// This mixer was superseded.
    Superseded(Incarnation),
}

/// The latest known process under a name.
#[derive(Clone, Copy)]
struct KnownProcess {
    incarnation: Incarnation,
    /// When the process started, by this mixer's clock, if that is known.
    started_at_ms: Option<f64>,
}

/// Timers are ordered by their due time, then by their order of creation.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due_us: u64,
    sequence: u64,
}

/// The membership of a fleet as one of its mixers sees it.
pub struct Membership {
    local_name: String,
    fleet: String,
    incarnation: Incarnation,
    state: MembershipState,
    names: Arc<BTreeSet<String>>,
    /// The process with the highest incarnation known of each name.
    processes: BTreeMap<String, KnownProcess>,
    /// When this process started.
    started_at_ms: Option<f64>,
    /// By the nonce of another process under this mixer's name: the number that this mixer took to supersede it.
    superseded_numbers: BTreeMap<u64, u64>,
    shutting_down: bool,
    up: BTreeMap<String, Incarnation>,
    left: BTreeSet<String>,
    foca: Foca<Identity, ConfiguredNamesCodec, FocaRng, foca::NoCustomBroadcast>,
    own_name_incarnation: Arc<Mutex<Option<Incarnation>>>,
    foca_output: FocaOutput,
    timers: BTreeMap<TimerKey, Timer<Identity>>,
    timer_sequence: u64,
    last_tick_ms: Option<f64>,
    next_reconnect_ms: f64,
    /// Number of messages that could not be used.
    rejected_messages: u64,
    rng: Rand64,
    effects: Vec<Effect>,
}

fn to_micros(ms: f64) -> u64 {
    (ms.max(0.0) * 1000.0) as u64
}

fn foca_config(members: usize) -> Config {
    let every = |ms, members| PeriodicParams { frequency: Duration::from_millis(ms), num_members: members };
    // Each update is sent a multiple of log(members) times, as in SWIM.
    let transmissions = 4 + 4 * (members.max(2).ilog2() as u8);
    Config {
        probe_period: Duration::from_millis(PROBE_INTERVAL_MS),
        probe_rtt: Duration::from_millis(PROBE_TIMEOUT_MS),
        num_indirect_probes: FANOUT,
        max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MAX),
        suspect_to_down_after: Duration::from_millis(SUSPICION_TIMEOUT_MS),
        remove_down_after: Some(Duration::from_millis(DOWN_RETENTION_MS)),
        max_packet_size: MAX_MESSAGE_BYTES,
        notify_down_members: true,
        periodic_announce: Some(every(10 * RECONNECT_INTERVAL_MS, NonZeroUsize::MIN)),
        // `announce_to_down_peers` does this instead, as `foca` stops once no member is left.
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(every(GOSSIP_INTERVAL_MS, FANOUT)),
    }
}

impl Membership {
    /// Creates the membership of a mixer that has just started. `names` are its peers, at most
    /// [`crate::MAX_MIXERS`]; the seed must differ between starts.
    pub fn new(fleet: &str, local_name: &str, names: impl IntoIterator<Item = String>, seed: u64) -> Self {
        let names: Arc<BTreeSet<String>> =
            Arc::new(names.into_iter().filter(|name| name != local_name).take(crate::MAX_MIXERS).collect());
        let mut foca_rng = Rand64::new(u128::from(seed) ^ 0x70ee_2500);
        let incarnation = Incarnation::first(foca_rng.rand_u64());
        let own_name_incarnation = Arc::new(Mutex::new(None));
        let codec = ConfiguredNamesCodec {
            local_name: local_name.to_owned(),
            names: names.clone(),
            own_name_incarnation: own_name_incarnation.clone(),
        };
        let identity = Identity::new(local_name, incarnation);
        let config = foca_config(names.len() + 1);
        let rng = Rand64::new(u128::from(foca_rng.rand_u64()));
        Self {
            local_name: local_name.to_owned(),
            fleet: fleet.to_owned(),
            incarnation,
            state: MembershipState::Joining,
            names,
            processes: BTreeMap::new(),
            started_at_ms: None,
            superseded_numbers: BTreeMap::new(),
            shutting_down: false,
            up: BTreeMap::new(),
            left: BTreeSet::new(),
            foca: Foca::new(identity, config, FocaRng(foca_rng), codec),
            own_name_incarnation,
            foca_output: FocaOutput::default(),
            timers: BTreeMap::new(),
            timer_sequence: 0,
            last_tick_ms: None,
            next_reconnect_ms: 0.0,
            rejected_messages: 0,
            rng,
            effects: Vec::new(),
        }
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub fn state(&self) -> MembershipState {
        self.state
    }

    /// Whether this mixer has neither left nor been superseded.
    pub fn is_active(&self) -> bool {
        matches!(self.state, MembershipState::Joining | MembershipState::Member)
    }

    /// The peers that are up, with their incarnations.
    pub fn up(&self) -> &BTreeMap<String, Incarnation> {
        &self.up
    }

    /// Number of messages that could not be used.
    pub fn rejected_messages(&self) -> u64 {
        self.rejected_messages
    }

    /// The whole state of `foca`, for debugging.
    pub fn debug_state(&self) -> String {
        let members = self.foca.iter_membership_state().map(|member| {
            let id = member.id();
            format!(
                "{} {} generation {} incarnation {} {:?}",
                id.name,
                id.incarnation,
                id.generation,
                member.incarnation(),
                member.state()
            )
        });
        let local = self.foca.identity();
        format!(
            "{} {} generation {}; {}",
            local.name,
            local.incarnation,
            local.generation,
            members.collect::<Vec<_>>().join(", ")
        )
    }

    /// All configured peers, by name.
    pub fn peers(&self) -> Vec<PeerInfo> {
        let suspects: BTreeSet<&str> = self
            .foca
            .iter_members()
            .filter(|member| member.state() == State::Suspect)
            .map(|member| member.id().name.as_str())
            .collect();
        let status = |name: &String| match (self.up.contains_key(name), self.left.contains(name)) {
            (true, _) if suspects.contains(name.as_str()) => PeerStatus::Suspect,
            (true, _) => PeerStatus::Alive,
            (false, true) => PeerStatus::Left,
            (false, false) if self.processes.contains_key(name) => PeerStatus::Down,
            (false, false) => PeerStatus::Unknown,
        };
        let info = |name: &String| PeerInfo {
            name: name.clone(),
            status: status(name),
            incarnation: self.processes.get(name).map(|process| process.incarnation),
        };
        self.names.iter().map(info).collect()
    }

    /// Time for which this process has run.
    fn age_ms(&mut self, now_ms: f64) -> f64 {
        now_ms - *self.started_at_ms.get_or_insert(now_ms)
    }

    /// The latest known process under a name.
    fn known_incarnation(&self, now_ms: f64, name: &str) -> Option<KnownIncarnation> {
        let KnownProcess { incarnation, started_at_ms } = self.processes.get(name).copied()?;
        let age_ms = started_at_ms.map(|started_at_ms| (now_ms - started_at_ms).max(0.0) as u64);
        Some(KnownIncarnation { incarnation, age_ms })
    }

    /// The hello for a link to this peer.
    pub fn hello_to(&mut self, now_ms: f64, peer: &str) -> Hello {
        Hello {
            format: FORMAT,
            fleet: self.fleet.clone(),
            name: self.local_name.clone(),
            incarnation: self.incarnation,
            age_ms: self.age_ms(now_ms) as u64,
            receiver: self.known_incarnation(now_ms, peer),
        }
    }

    /// Handles the first message on a link.
    ///
    /// # Errors
    /// Why the link has to be closed.
    pub fn handle_hello(&mut self, now_ms: f64, hello: &Hello) -> Result<(), LinkRejection> {
        if hello.format != FORMAT {
            return Err(LinkRejection::FormatMismatch { theirs: hello.format, ours: FORMAT });
        }
        if hello.fleet != self.fleet {
            let theirs = hello.fleet.clone();
            return Err(LinkRejection::FleetMismatch { theirs, ours: self.fleet.clone() });
        }
        if hello.name == self.local_name {
            return Err(self.reject_own_name(now_ms, hello));
        }
        if !self.names.contains(&hello.name) {
            return Err(LinkRejection::UnknownName(hello.name.clone()));
        }
        if !self.is_active() {
            return Err(LinkRejection::Inactive);
        }
        match self.known_incarnation(now_ms, &hello.name) {
            Some(known) if known.incarnation > hello.incarnation => {
                return Err(LinkRejection::Superseded(known));
            }
            Some(known) if known.incarnation == hello.incarnation => {}
            _ => self.peer_restarted(&hello.name, hello.incarnation),
        }
        if let Some(process) = self.processes.get_mut(&hello.name) {
            process.started_at_ms = Some(now_ms - hello.age_ms as f64);
        }
        self.left.remove(&hello.name);
        match hello.receiver {
            Some(known) if known.incarnation == self.incarnation => {
                if self.state == MembershipState::Joining {
                    self.state = MembershipState::Member;
                }
            }
            Some(known) if known.incarnation > self.incarnation => {
                self.handle_later_incarnation(now_ms, known);
            }
            _ => self.effects.push(Effect::SendHello { to: hello.name.clone() }),
        }
        if self.is_active() {
            let identity = Identity::new(&hello.name, hello.incarnation);
            let result = self.foca.announce(identity, &mut self.foca_output);
            self.rejected_messages += u64::from(result.is_err());
        }
        Ok(())
    }

    /// Another process uses this mixer's name.
    fn reject_own_name(&mut self, now_ms: f64, hello: &Hello) -> LinkRejection {
        let theirs = KnownIncarnation { incarnation: hello.incarnation, age_ms: Some(hello.age_ms) };
        self.handle_later_incarnation(now_ms, theirs);
        let age_ms = Some(self.age_ms(now_ms) as u64);
        if self.is_active() {
            LinkRejection::Superseded(KnownIncarnation { incarnation: self.incarnation, age_ms })
        } else {
            LinkRejection::DuplicateName(hello.name.clone())
        }
    }

    fn peer_restarted(&mut self, name: &str, incarnation: Incarnation) {
        self.processes.insert(name.to_owned(), KnownProcess { incarnation, started_at_ms: None });
        self.left.remove(name);
        if let Some(held) = self.up.get_mut(name) {
            *held = incarnation;
        }
        let by = KnownIncarnation { incarnation, age_ms: None };
        self.effects.push(Effect::CloseSupersededLinks { name: name.to_owned(), by });
        self.effects.push(Effect::PeerRestarted { name: name.to_owned(), incarnation });
        // The new process may not be able to reach this mixer yet, and may have to receive the incarnation under
        // which this mixer knows it.
        self.effects.push(Effect::SendHello { to: name.to_owned() });
    }

    /// Handles a report of a later incarnation under this mixer's name. At first this mixer takes a number above
    /// it. If the other process is still running, it takes a higher number in turn, which shows that it is alive.
    /// Only then are the ages compared: the process that has run for less time is the later one and supersedes
    /// the other.
    ///
    /// Without the proof that the other process is alive, a restarted mixer could be superseded by its own
    /// predecessor, which has ended: a peer that has not noticed the restart may have accepted the predecessor's
    /// incarnation, and the age of a process that ended soon after its start stays small for long.
    pub fn handle_later_incarnation(&mut self, now_ms: f64, by: KnownIncarnation) {
        if by.incarnation <= self.incarnation || !self.is_active() {
            return;
        }
        let age_ms = self.age_ms(now_ms);
        let is_later = by.age_ms.is_some_and(|their_age_ms| {
            let older_by_ms = age_ms - their_age_ms as f64;
            older_by_ms > AGE_TOLERANCE_MS
                || older_by_ms >= -AGE_TOLERANCE_MS && by.incarnation.nonce > self.incarnation.nonce
        });
        let is_alive = self
            .superseded_numbers
            .get(&by.incarnation.nonce)
            .is_some_and(|number| by.incarnation.number > *number);
        let is_superseded = self.shutting_down || is_later && is_alive;
        // An incarnation with this mixer's own nonce is this process itself, reported back by a peer.
        if is_superseded && by.incarnation.nonce != self.incarnation.nonce {
            self.state = MembershipState::Superseded(by.incarnation);
            self.stop();
            self.effects.push(Effect::Superseded(by.incarnation));
            return;
        }
        self.superseded_numbers.insert(by.incarnation.nonce, by.incarnation.number.saturating_add(1));
        while self.superseded_numbers.len() > MAX_RIVALS {
            self.superseded_numbers.pop_first();
        }
        self.supersede(by.incarnation);
    }

    /// Has to be called when this mixer begins to shut down. From then on any other process under its name counts
    /// as the later one, whatever the ages. Otherwise a process started less than `AGE_TOLERANCE_MS` after this
    /// one could be superseded, by nonce, while this one serves its last scans.
    pub fn begin_shutdown(&mut self) {
        self.shutting_down = true;
    }

    /// Takes a number above that incarnation.
    fn supersede(&mut self, other: Incarnation) {
        self.incarnation = self.incarnation.after(other);
        let identity = Identity::new(&self.local_name, self.incarnation);
        let result = self.foca.change_identity(identity, &mut self.foca_output);
        self.rejected_messages += u64::from(result.is_err());
        self.effects.push(Effect::IncarnationChanged(self.incarnation));
        self.effects.extend(self.names.iter().map(|to| Effect::SendHello { to: to.clone() }));
    }

    /// Handles an incarnation that a replication message mentions. `beyond_held_version` is whether the message
    /// attributes records to that mixer that are not held here. Guards against records of an ended incarnation
    /// that arrive through a third mixer: the running process of that name has to supersede it.
    pub fn observe_incarnation(
        &mut self,
        now_ms: f64,
        name: &str,
        incarnation: Incarnation,
        beyond_held_version: bool,
    ) {
        if !self.is_active() {
            return;
        }
        if name == self.local_name {
            self.handle_later_incarnation(now_ms, KnownIncarnation { incarnation, age_ms: None });
            // This process never published these records of its incarnation; a new incarnation makes them void.
            if incarnation == self.incarnation && beyond_held_version {
                self.supersede(incarnation);
            }
        } else if self.names.contains(name) && self.is_later_than_known(name, incarnation) {
            self.peer_restarted(name, incarnation);
        }
    }

    fn is_later_than_known(&self, name: &str, incarnation: Incarnation) -> bool {
        self.processes.get(name).is_none_or(|process| process.incarnation < incarnation)
    }

    fn stop(&mut self) {
        self.timers.clear();
        self.foca_output = FocaOutput::default();
        let up = mem::take(&mut self.up);
        self.effects.extend(up.into_keys().map(|name| Effect::PeerDown { name }));
    }

    /// Handles the announcement of a peer that it leaves.
    pub fn handle_bye(&mut self, name: &str, incarnation: Incarnation) {
        if self.processes.get(name).is_some_and(|process| process.incarnation == incarnation) {
            self.left.insert(name.to_owned());
            let member = self.foca.iter_members().find(|member| member.id().name == name);
            if let Some(identity) = member.map(|member| member.id().clone()) {
                let down = [Member::down(identity)].into_iter();
                let result = self.foca.apply_many(down, true, &mut self.foca_output);
                self.rejected_messages += u64::from(result.is_err());
            }
        }
    }

    /// Leaves the fleet. The last messages are returned as effects by the next tick; nothing is sent after
    /// them.
    pub fn leave(&mut self) {
        if self.is_active() {
            let result = self.foca.leave_cluster(&mut self.foca_output);
            self.rejected_messages += u64::from(result.is_err());
            let sends = mem::take(&mut self.foca_output.sends);
            self.effects.extend(sends.into_iter().map(|(to, bytes)| Effect::Send { to: to.name, bytes }));
            self.state = MembershipState::Left;
            self.stop();
        }
    }

    /// Handles a membership message.
    pub fn handle_message(&mut self, now_ms: f64, bytes: &[u8]) {
        if self.is_active() {
            let result = self.foca.handle_data(bytes, &mut self.foca_output);
            self.rejected_messages += u64::from(matches!(
                result,
                Err(foca::Error::Decode(_) | foca::Error::MalformedPacket | foca::Error::DataTooBig)
            ));
            let mentioned =
                mem::take(&mut *self.own_name_incarnation.lock().unwrap_or_else(PoisonError::into_inner));
            if let Some(incarnation) = mentioned {
                self.handle_later_incarnation(now_ms, KnownIncarnation { incarnation, age_ms: None });
            }
        }
    }

    /// When [`Membership::tick`] has to be called next.
    pub fn next_tick_ms(&self) -> f64 {
        self.last_tick_ms.map_or(0.0, |last_ms| last_ms + TICK_INTERVAL_MS)
    }

    /// Runs the timers that are due and returns the effects since the last call. `now_ms` is read from a monotonic
    /// clock.
    pub fn tick(&mut self, now_ms: f64) -> Vec<Effect> {
        self.age_ms(now_ms);
        if let Some(last_ms) = self.last_tick_ms
            && now_ms - last_ms > PAUSE_THRESHOLD_MS
        {
            self.postpone_timers(now_ms - last_ms);
        }
        self.last_tick_ms = Some(now_ms);
        self.process_foca_output(now_ms);
        while let Some(first) = self.timers.first_entry()
            && first.key().due_us <= to_micros(now_ms)
        {
            let timer = first.remove();
            // An error only means that a probe did not complete; the next one begins anew.
            let _ = self.foca.handle_timer(timer, &mut self.foca_output);
            self.process_foca_output(now_ms);
        }
        if now_ms >= self.next_reconnect_ms && self.is_active() {
            self.next_reconnect_ms = now_ms + RECONNECT_INTERVAL_MS as f64;
            self.compare_with_foca_state();
            self.announce_to_down_peers();
            self.process_foca_output(now_ms);
        }
        mem::take(&mut self.effects)
    }

    /// Postpones all timers by the length of a pause of this process: answers that arrived during the pause are
    /// still unread, so no peer counts as late.
    fn postpone_timers(&mut self, pause_ms: f64) {
        let pause_us = to_micros(pause_ms);
        let postponed = |(key, timer): (TimerKey, Timer<Identity>)| {
            (TimerKey { due_us: key.due_us + pause_us, ..key }, timer)
        };
        self.timers = mem::take(&mut self.timers).into_iter().map(postponed).collect();
    }

    /// Adopts incarnations that `foca` holds and that are later than the known ones. `foca` sends no notification
    /// about a member that it has never seen alive. It may hold an ended incarnation that is above the running
    /// one's, and ignores the running process until that one supersedes the ended incarnation.
    fn compare_with_foca_state(&mut self) {
        let known_to_foca = |member: &Member<Identity>| (member.id().name.clone(), member.id().incarnation);
        let members: Vec<(String, Incarnation)> =
            self.foca.iter_membership_state().map(known_to_foca).collect();
        for (name, incarnation) in members {
            if self.is_later_than_known(&name, incarnation) {
                self.peer_restarted(&name, incarnation);
            }
        }
    }

    /// Contacts some of the known peers that are down. Guards against a fleet that was partitioned into
    /// single mixers: once the links work again, none of them has a live member left to probe.
    fn announce_to_down_peers(&mut self) {
        let is_down = |name: &&String| !self.up.contains_key(*name) && !self.left.contains(*name);
        let mut down: Vec<(String, Incarnation)> = self
            .processes
            .keys()
            .filter(is_down)
            .map(|name| (name.clone(), self.processes[name].incarnation))
            .collect();
        while down.len() > FANOUT.get() {
            down.swap_remove(self.rng.rand_range(0..down.len() as u64) as usize);
        }
        for (name, incarnation) in down {
            let identity = Identity { name, incarnation, generation: 0 };
            let result = self.foca.announce(identity, &mut self.foca_output);
            self.rejected_messages += u64::from(result.is_err());
        }
    }

    /// Converts the output of `foca` into effects and timers.
    fn process_foca_output(&mut self, now_ms: f64) {
        let FocaOutput { sends, timers, members_changed } = mem::take(&mut self.foca_output);
        if !self.is_active() {
            return;
        }
        for (after, timer) in timers {
            self.timer_sequence += 1;
            let due_us = to_micros(now_ms) + after.as_micros() as u64;
            self.timers.insert(TimerKey { due_us, sequence: self.timer_sequence }, timer);
        }
        if members_changed {
            self.update_live_members();
        }
        self.effects.extend(sends.into_iter().map(|(to, bytes)| Effect::Send { to: to.name, bytes }));
    }

    /// Compares the known live members with those of `foca`. The content of its notifications is not sufficient:
    /// there is none if a name changes from one live incarnation to the next.
    fn update_live_members(&mut self) {
        let identities: Vec<Identity> = self.foca.iter_members().map(|member| member.id().clone()).collect();
        for identity in &identities {
            if self.is_later_than_known(&identity.name, identity.incarnation) {
                self.peer_restarted(&identity.name, identity.incarnation);
            }
        }
        let is_latest = |identity: &&Identity| {
            self.processes
                .get(&identity.name)
                .is_some_and(|process| process.incarnation == identity.incarnation)
        };
        let live: BTreeMap<String, Incarnation> = identities
            .iter()
            .filter(is_latest)
            .map(|identity| (identity.name.clone(), identity.incarnation))
            .collect();
        let before = mem::replace(&mut self.up, live);
        let down = before.keys().filter(|name| !self.up.contains_key(*name));
        self.effects.extend(down.map(|name| Effect::PeerDown { name: name.clone() }));
        let up = self.up.iter().filter(|(name, _)| !before.contains_key(*name));
        self.effects.extend(
            up.map(|(name, incarnation)| Effect::PeerUp { name: name.clone(), incarnation: *incarnation }),
        );
    }
}
