//! One mixer of a fleet, without I/O.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use pewterwharf_peers::{
    Effect, Hello, Incarnation, KnownIncarnation, LinkRejection, Membership, MembershipState, PeerInfo,
    PeerStatus,
};
pub use pewterwharf_replica::LocalStatus;
use pewterwharf_replica::kinds::{
    CustomerUsage, Departure, IdleConnectionsLost, Mark, ProcessStart, SearcherList, Stage,
};
use pewterwharf_replica::{
    Advice, CatchUpProgress, Exchange, Limits, OutgoingMessage, PeerReportPolicy, Replica, ReplicaMessage,
    kinds,
};

use crate::frame::Frame;
use crate::status::{FleetStatus, MemberStatus};

/// Memory for the records of all mixers together.
const MAX_RECORD_BYTES: usize = 2 << 20;
/// A longer time between two turns is a pause of this process. The records that are received after it may have
/// waited for the length of the pause, which is added to their ages.
const PAUSE_THRESHOLD_MS: f64 = 300.0;
/// How long the departure of a searcher stays published: well above the time until every mixer's list reflects it.
const GONE_RETENTION_MS: f64 = 60_000.0;
/// Name of the record about this mixer's searcher list.
const LIST_RECORD: &str = "list";
/// Trust score of a peer that has not been right or wrong yet, for display.
const NEUTRAL_TRUST: f64 = 0.5;

/// An observation of this mixer to publish.
#[derive(Clone, Debug, PartialEq)]
pub enum LocalReport {
    /// The state of a searcher; `status` is `None` once this mixer's list no longer contains it. `latency_ratio`
    /// and `parts` are the evidence for a mark. `cold` is whether it is still cold after its start.
    Searcher {
        address: SocketAddrV4,
        status: Option<LocalStatus>,
        cold: bool,
        latency_ratio: f64,
        parts: u32,
    },
    /// The searcher list in use.
    List { index: u64, ready: u32 },
    /// Connections were lost while idle.
    IdleConnectionsLost { times: u16 },
    /// A customer's scans within a time span.
    CustomerUsage { customer: String, scans: u32, span_ms: u32 },
}

/// An action for the I/O layer.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeOutput {
    Send {
        to: String,
        frame: Frame,
    },
    /// Close the link to this peer and open it again soon.
    ReopenLink {
        to: String,
    },
    /// Send a hello on the link to this peer, opening it if necessary.
    SendHello {
        to: String,
    },
    /// Close links from earlier incarnations of this name, with the reason.
    CloseSupersededLinks {
        name: String,
        by: KnownIncarnation,
    },
    /// Advice for the decision module.
    Advice(Advice),
    /// A change for the operators' log.
    Log(String),
}

/// One mixer of a fleet.
pub struct Node {
    pub membership: Membership,
    pub exchange: Exchange,
    pub policy: PeerReportPolicy,
    last_turn_ms: Option<f64>,
    /// Time for which the messages that are read in this turn may have waited.
    delay_ms: f64,
    /// Searchers that are no longer on the list, and since when. Their departures are retracted after
    /// [`GONE_RETENTION_MS`].
    gone_since_ms: BTreeMap<SocketAddrV4, f64>,
    /// Longest time between two turns since the start.
    longest_pause_ms: f64,
    logged_progress: CatchUpProgress,
}

impl Node {
    /// Creates a mixer that has just started. `names` are its peers; the seed must differ between starts.
    pub fn new(fleet: &str, local_name: &str, names: &[String], seed: u64) -> Self {
        let membership = Membership::new(fleet, local_name, names.iter().cloned(), seed);
        let limits = Limits::per_origin(MAX_RECORD_BYTES, names.len() + 1);
        let replica = Replica::new(local_name, membership.incarnation(), names.iter().cloned(), limits);
        Self {
            exchange: Exchange::new(replica, seed),
            policy: PeerReportPolicy::new(local_name),
            membership,
            last_turn_ms: None,
            delay_ms: 0.0,
            gone_since_ms: BTreeMap::new(),
            longest_pause_ms: 0.0,
            logged_progress: CatchUpProgress::Alone,
        }
    }

    /// Begins a turn. Has to be called before anything else in it, to detect a pause of this process.
    pub fn begin_turn(&mut self, now_ms: f64) {
        let pause_ms = self.last_turn_ms.map_or(0.0, |last_ms| now_ms - last_ms);
        self.delay_ms = if pause_ms > PAUSE_THRESHOLD_MS { pause_ms } else { 0.0 };
        self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        self.last_turn_ms = Some(now_ms);
    }

    /// Handles the first frame on a link that a peer has opened.
    ///
    /// # Errors
    /// Why the link has to be rejected.
    pub fn handle_hello(&mut self, now_ms: f64, hello: &Hello) -> Result<(), LinkRejection> {
        self.membership.handle_hello(now_ms, hello)
    }

    /// A peer has rejected the link that this mixer opened.
    pub fn link_rejected(&mut self, now_ms: f64, rejection: &LinkRejection) {
        if let LinkRejection::Superseded(by) = rejection {
            self.membership.handle_later_incarnation(now_ms, *by);
        }
    }

    /// Handles a frame on a link whose hello was accepted.
    pub fn handle_frame(
        &mut self,
        now_ms: f64,
        from: &str,
        incarnation: Incarnation,
        frame: Frame,
    ) -> Vec<NodeOutput> {
        let mut output = Vec::new();
        match frame {
            Frame::Swim(bytes) => self.membership.handle_message(now_ms, &bytes),
            Frame::Bye(left) if left == incarnation => self.membership.handle_bye(from, incarnation),
            Frame::Replica(message) if self.membership.is_active() => {
                self.handle_replica_message(now_ms, from, message, &mut output);
            }
            Frame::Replica(_) | Frame::Bye(_) | Frame::Hello(_) | Frame::Rejected(_) => {}
        }
        output
    }

    fn handle_replica_message(
        &mut self,
        now_ms: f64,
        from: &str,
        message: ReplicaMessage,
        output: &mut Vec<NodeOutput>,
    ) {
        for origin in message.mentioned_origins() {
            let held = self.exchange.replica.origin(origin.name);
            let beyond_held_version = held.is_some_and(|held| origin.version > held.version);
            self.membership.observe_incarnation(now_ms, origin.name, origin.incarnation, beyond_held_version);
        }
        let handled = self.exchange.handle_message(now_ms, self.delay_ms, from, message);
        output.extend(handled.messages.into_iter().map(replica_frame));
        let advice = self.policy.apply_changes(now_ms, &handled.changes, &self.exchange.replica);
        output.extend(advice.into_iter().map(NodeOutput::Advice));
    }

    /// Publishes an observation of this mixer.
    pub fn publish(&mut self, now_ms: f64, report: LocalReport) -> Option<NodeOutput> {
        let replica = &mut self.exchange.replica;
        match report {
            LocalReport::Searcher { address, status, cold, latency_ratio, parts } => {
                let advice = self.policy.local_status_changed(now_ms, address, status);
                let late = status.is_some_and(|status| !status.marked);
                self.publish_searcher(now_ms, address, status, cold, Mark { latency_ratio, parts, late });
                return advice.map(NodeOutput::Advice);
            }
            LocalReport::List { index, ready } => {
                replica.publish(now_ms, LIST_RECORD, &SearcherList { index, ready }, now_ms);
            }
            LocalReport::IdleConnectionsLost { times } => {
                replica.publish(now_ms, "", &IdleConnectionsLost { times }, now_ms);
            }
            LocalReport::CustomerUsage { customer, scans, span_ms } => {
                replica.publish(now_ms, &customer, &CustomerUsage { scans, span_ms }, now_ms);
            }
        }
        None
    }

    /// Publishes the records about a searcher: mark, departure and process start. None are published for one that
    /// has always been up, warm and without late parts.
    fn publish_searcher(
        &mut self,
        now_ms: f64,
        address: SocketAddrV4,
        status: Option<LocalStatus>,
        cold: bool,
        mark: Mark,
    ) {
        let replica = &mut self.exchange.replica;
        let name = address.to_string();
        let published: Option<Departure> = own_report(replica, now_ms, &name);
        let Some(status) = status else {
            replica.retract::<Mark>(now_ms, &name);
            replica.retract::<ProcessStart>(now_ms, &name);
            let started_at_ms = published.map_or(0.0, |departure| departure.started_at_ms);
            replica.publish(now_ms, &name, &Departure { started_at_ms, stage: Stage::Gone }, now_ms);
            self.gone_since_ms.insert(address, now_ms);
            return;
        };
        self.gone_since_ms.remove(&address);
        if status.marked || status.late {
            replica.publish(now_ms, &name, &mark, now_ms);
        } else {
            replica.retract::<Mark>(now_ms, &name);
        }
        let departure = Departure { started_at_ms: status.started_at_ms, stage: status.stage };
        if published.map_or(status.stage > Stage::Up, |published| published != departure) {
            replica.publish(now_ms, &name, &departure, now_ms);
        }
        let start = ProcessStart { started_at_ms: status.started_at_ms };
        let start_published = own_report::<ProcessStart>(replica, now_ms, &name)
            .is_some_and(|published| published.started_at_ms == start.started_at_ms);
        if !cold {
            replica.retract::<ProcessStart>(now_ms, &name);
        } else if !start_published {
            replica.publish(now_ms, &name, &start, now_ms);
        }
    }

    /// When [`Node::tick`] has to be called next.
    pub fn next_tick_ms(&self) -> f64 {
        self.membership.next_tick_ms().min(self.exchange.next_tick_ms())
    }

    /// Runs the membership, replication and policy work that is due.
    pub fn tick(&mut self, now_ms: f64) -> Vec<NodeOutput> {
        let mut output = Vec::new();
        for effect in self.membership.tick(now_ms) {
            self.apply_effect(effect, &mut output);
        }
        if self.membership.is_active() {
            output.extend(self.exchange.tick(now_ms).into_iter().map(replica_frame));
        }
        self.retract_old_departures(now_ms);
        output.extend(self.policy.tick(now_ms).into_iter().map(NodeOutput::Advice));
        let mixers = self.membership.up().len() as u32 + 1;
        output.extend(self.policy.set_mixer_count(mixers).map(NodeOutput::Advice));
        self.log_progress(&mut output);
        output
    }

    fn apply_effect(&mut self, effect: Effect, output: &mut Vec<NodeOutput>) {
        match effect {
            Effect::Send { to, bytes } => output.push(NodeOutput::Send { to, frame: Frame::Swim(bytes) }),
            Effect::SendHello { to } => output.push(NodeOutput::SendHello { to }),
            Effect::CloseSupersededLinks { name, by } => {
                output.push(NodeOutput::CloseSupersededLinks { name, by });
            }
            Effect::PeerUp { name, incarnation } => {
                output.push(NodeOutput::Log(format!("{name} is up, incarnation {incarnation}")));
                self.exchange.peer_up(&name, incarnation);
            }
            Effect::PeerDown { name } => {
                // A mixer that is leaving keeps its links open, as its last messages are queued on them.
                if self.membership.is_active() {
                    output.push(NodeOutput::ReopenLink { to: name.clone() });
                }
                output.push(NodeOutput::Log(format!("{name} is down")));
                self.exchange.peer_down(&name);
            }
            Effect::PeerRestarted { name, incarnation } => {
                self.exchange.peer_restarted(&name, incarnation);
                // The link to the earlier process can't be used any more, even if its end was not reported here.
                output.push(NodeOutput::ReopenLink { to: name });
            }
            Effect::IncarnationChanged(incarnation) => {
                output.push(NodeOutput::Log(format!(
                    "another process of this name is known: this one is now incarnation {incarnation}"
                )));
                self.exchange.change_incarnation(incarnation);
            }
            Effect::Superseded(by) => {
                output.push(NodeOutput::Log(format!(
                    "superseded by incarnation {by} of this mixer's name: leaving the fleet, still serving clients"
                )));
            }
        }
    }

    fn retract_old_departures(&mut self, now_ms: f64) {
        let old: Vec<SocketAddrV4> = self
            .gone_since_ms
            .iter()
            .filter(|(_, since_ms)| now_ms - **since_ms > GONE_RETENTION_MS)
            .map(|(address, _)| *address)
            .collect();
        for address in old {
            self.gone_since_ms.remove(&address);
            self.exchange.replica.retract::<Departure>(now_ms, &address.to_string());
        }
    }

    fn log_progress(&mut self, output: &mut Vec<NodeOutput>) {
        let progress = self.exchange.progress();
        if std::mem::discriminant(&progress) != std::mem::discriminant(&self.logged_progress) {
            output.push(NodeOutput::Log(match &progress {
                CatchUpProgress::Alone => "no mixer is up to catch up from".to_owned(),
                CatchUpProgress::CatchingUp { .. } => "catching up".to_owned(),
                CatchUpProgress::Done => "caught up".to_owned(),
            }));
            self.logged_progress = progress;
        }
    }

    /// Leaves the fleet and announces that to all peers that are up.
    pub fn leave(&mut self, now_ms: f64) -> Vec<NodeOutput> {
        if !self.membership.is_active() {
            return Vec::new();
        }
        let bye = Frame::Bye(self.membership.incarnation());
        let up = self.membership.up().keys();
        let byes: Vec<NodeOutput> =
            up.map(|to| NodeOutput::Send { to: to.clone(), frame: bye.clone() }).collect();
        self.membership.leave();
        let output = self.tick(now_ms).into_iter().filter(|o| !matches!(o, NodeOutput::Advice(_)));
        byes.into_iter().chain(output).collect()
    }

    /// Status of the fleet, without the state of the links.
    pub fn status(&self, now_ms: f64) -> FleetStatus {
        let replica = &self.exchange.replica;
        let trust = self.policy.trust(now_ms);
        let member = |peer: PeerInfo| {
            let held = replica.origin(&peer.name).unwrap_or_default();
            MemberStatus {
                trust: trust.get(&peer.name).copied().unwrap_or(NEUTRAL_TRUST),
                status: match peer.status {
                    PeerStatus::Unknown => "unheard",
                    PeerStatus::Alive => "alive",
                    PeerStatus::Suspect => "suspect",
                    PeerStatus::Down => "down",
                    PeerStatus::Left => "left",
                },
                incarnation: peer.incarnation.map(|incarnation| incarnation.to_string()),
                name: peer.name,
                version: held.version,
                records: held.records,
                link: String::new(),
            }
        };
        let size = replica.size();
        let own = replica.origin(replica.local_name()).unwrap_or_default();
        let lists = replica.reports::<SearcherList>(now_ms, LIST_RECORD).into_iter();
        let by_kind = replica.count_by_kind().into_iter();
        let rejected = replica.rejected().iter();
        FleetStatus {
            local_name: replica.local_name().to_owned(),
            state: match self.membership.state() {
                MembershipState::Joining => "joining".to_owned(),
                MembershipState::Member => "member".to_owned(),
                MembershipState::Superseded(by) => format!("aside, for start {by} of its name"),
                MembershipState::Left => "left".to_owned(),
            },
            incarnation: self.membership.incarnation().to_string(),
            progress: progress_text(self.exchange.progress()),
            members: self.membership.peers().into_iter().map(member).collect(),
            version: own.version,
            own_records: own.records,
            records: size.records,
            bytes: size.bytes,
            digest: format!("{:016x}", replica.digest()),
            kinds: by_kind.map(|(kind, count)| (kinds::name(kind), count)).collect(),
            lists: lists.map(|report| (report.origin.to_owned(), report.value.index)).collect(),
            rejected: rejected.map(|(reason, count)| (reason.label().to_owned(), *count)).collect(),
            rejected_messages: self.membership.rejected_messages(),
            ignored_reports: self.policy.ignored_reports,
            longest_pause_ms: self.longest_pause_ms,
            links: BTreeMap::new(),
        }
    }
}

fn replica_frame(OutgoingMessage { to, message }: OutgoingMessage) -> NodeOutput {
    NodeOutput::Send { to, frame: Frame::Replica(message) }
}

/// The record that this mixer itself has published about a subject.
fn own_report<K: kinds::RecordKind>(replica: &Replica, now_ms: f64, name: &str) -> Option<K> {
    let mut reports = replica.reports::<K>(now_ms, name).into_iter();
    reports.find(|report| report.origin == replica.local_name()).map(|report| report.value)
}

fn progress_text(progress: CatchUpProgress) -> String {
    match progress {
        CatchUpProgress::Alone => "alone".to_owned(),
        CatchUpProgress::Done => "caught up".to_owned(),
        CatchUpProgress::CatchingUp { source, pieces, records, remaining } => {
            let source = source.unwrap_or_else(|| "none yet".to_owned());
            format!("catching up from {source}, {pieces} pieces, {records} rows, {remaining} behind")
        }
    }
}
