//! Turns peer reports into advice for the decision module.
//!
//! The effect of a report is limited in two places. This policy limits the rate of probes, retracts departures
//! and restarts that this mixer's own list does not confirm, and lowers the trust in a peer that was wrong. The
//! decision module only probes a searcher, sends it less, or sends it nothing because of advice, so advice
//! can't make it send what the rules forbid.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use pewterwharf::interface::{Event, PeerReport, SearcherStatus};
use pewterwharf::report::ObservedSearcher;

use crate::kinds::{Departure, IdleConnectionsLost, Mark, ProcessStart, RecordKind, Stage};
use crate::store::{RecordChange, Replica, Report};

/// Trust in a peer: how often its recent reports were right, from 0 (never) to 1 (always).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trust {
    score: f64,
    updated_at_ms: f64,
}

impl Trust {
    /// Score of a peer without recent reports.
    const NEUTRAL: f64 = 0.5;
    /// Reports of a peer with a lower score are ignored.
    const THRESHOLD: f64 = 0.2;
    /// Time constant with which a score decays to neutral, because a faulty mixer may have been repaired: within
    /// this time the difference shrinks by two thirds.
    const DECAY_MS: f64 = 30_000.0;
    /// Weight of one outcome: three wrong reports in a row take a neutral score below the threshold.
    const OUTCOME_WEIGHT: f64 = 0.3;

    const NEW: Self = Self { score: Self::NEUTRAL, updated_at_ms: 0.0 };

    /// The current score, 0 to 1.
    pub fn score(&self, now_ms: f64) -> f64 {
        Self::NEUTRAL
            + (self.score - Self::NEUTRAL) * ((self.updated_at_ms - now_ms).min(0.0) / Self::DECAY_MS).exp()
    }

    fn is_trusted(&self, now_ms: f64) -> bool {
        self.score(now_ms) >= Self::THRESHOLD
    }

    fn record_outcome(&mut self, now_ms: f64, right: bool) {
        let score = self.score(now_ms);
        let outcome = f64::from(u8::from(right));
        *self = Self { score: score + Self::OUTCOME_WEIGHT * (outcome - score), updated_at_ms: now_ms };
    }
}

/// Advice for the decision module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Advice {
    /// A peer has marked this searcher: probe it.
    Probe(SocketAddrV4),
    /// Several peers have marked this searcher: send it one part at a time until one is answered in time.
    Suspect(SocketAddrV4),
    /// The searcher is draining or gone, according to a peer.
    Departing(SocketAddrV4),
    /// The reported departure was not confirmed in time, or it was confirmed, so that the own list applies alone.
    DepartureRetracted(SocketAddrV4),
    /// The searcher was restarted after the start time in this mixer's own list, and is cold. With the later
    /// start time.
    Restarted(SocketAddrV4, f64),
    /// The reported restart was not confirmed.
    RestartRetracted(SocketAddrV4),
    /// Several mixers lose connections while they are idle.
    IdleConnectionsLost,
    /// Number of mixers that are up, including this one.
    MixerCount(u32),
}

impl Advice {
    /// The event for the decision module.
    pub fn to_event(self) -> Event {
        let about = |searcher, report| Event::PeerReport { searcher, report };
        match self {
            Self::Probe(searcher) => about(searcher, PeerReport::Marked),
            Self::Suspect(searcher) => about(searcher, PeerReport::MarkedBySeveral),
            Self::Departing(searcher) => about(searcher, PeerReport::Leaving { leaving: true }),
            Self::DepartureRetracted(searcher) => about(searcher, PeerReport::Leaving { leaving: false }),
            Self::Restarted(searcher, started_at_ms) => {
                about(searcher, PeerReport::Restarted { started_at: started_at_ms })
            }
            Self::RestartRetracted(searcher) => about(searcher, PeerReport::Restarted { started_at: 0.0 }),
            Self::IdleConnectionsLost => Event::IdleConnectionsLost,
            Self::MixerCount(count) => Event::MixerCount { mixers: count },
        }
    }
}

/// This mixer's own observations of a searcher, and the searcher's entry in its list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalStatus {
    pub marked: bool,
    /// A part sent to it is overdue.
    pub late: bool,
    /// Start time of its process, by the list.
    pub started_at_ms: f64,
    /// Lifecycle stage, by the list.
    pub stage: Stage,
}

impl LocalStatus {
    /// Converts the decision module's report about a searcher.
    pub fn from_report(observed: &ObservedSearcher) -> Self {
        let stage = match observed.status {
            SearcherStatus::Ready => Stage::Up,
            SearcherStatus::Draining => Stage::Draining,
            SearcherStatus::Gone => Stage::Gone,
        };
        Self {
            marked: observed.marked,
            late: observed.overdue > 0.0,
            started_at_ms: observed.started_at,
            stage,
        }
    }
}

/// Number of parts over which the decision module averages the latency for a mark (a slice). As many late parts,
/// of several mixers together, count as much as one mark.
const SLICE_PARTS: u32 = 3;
/// Rate and burst of the probes that all peers together may cause.
const PROBES_PER_S: f64 = 8.0;
const PROBE_BURST: f64 = 8.0;
/// Share of these probes that one peer may cause.
const PROBE_SHARE_PER_PEER: f64 = 0.5;
/// Time after which a report counts as wrong if this mixer has not marked the searcher itself: long enough for a
/// probe and the next slice.
const PROBE_OUTCOME_MS: f64 = 1500.0;
/// A reported departure or restart is retracted if this mixer's own list does not confirm it within this time.
/// Lists are only seconds late.
const CONFIRMATION_TIMEOUT_MS: f64 = 10_000.0;
/// Maximum share of the searchers listed as up that peer reports alone may take out of use at a time.
const MAX_SHARE_TAKEN_OUT: f64 = 0.25;
/// Number of mixers that count as several: the number of all divided by this, and at least the minimum.
const AGREEING_MIXERS_DIVISOR: usize = 10;
const MIN_AGREEING_MIXERS: usize = 2;

/// A probe whose outcome decides whether its reporters were right.
#[derive(Debug)]
struct PendingProbe {
    reporters: BTreeSet<String>,
    decided_at_ms: f64,
    /// Whether this mixer has marked the searcher by its own evidence since then.
    confirmed: bool,
}

/// A departure or restart that only a peer has reported.
#[derive(Debug)]
struct UnconfirmedReport {
    reporter: String,
    expires_at_ms: f64,
    started_at_ms: f64,
    /// Already retracted. It is kept for some time so that the same report is not accepted again.
    retracted: bool,
}

/// The searcher that a changed record is about.
struct Subject<'a> {
    searcher: SocketAddrV4,
    local: LocalStatus,
    change: &'a RecordChange,
}

/// Turns peer reports into advice.
#[derive(Debug)]
pub struct PeerReportPolicy {
    local_name: String,
    searchers: BTreeMap<SocketAddrV4, LocalStatus>,
    trust: BTreeMap<String, Trust>,
    pending_probes: BTreeMap<SocketAddrV4, PendingProbe>,
    departures: BTreeMap<SocketAddrV4, UnconfirmedReport>,
    restarts: BTreeMap<SocketAddrV4, UnconfirmedReport>,
    /// Suspected searchers, and until when.
    suspected_until_ms: BTreeMap<SocketAddrV4, f64>,
    probe_tokens: f64,
    probe_tokens_by_peer: BTreeMap<String, f64>,
    refilled_at_ms: f64,
    next_idle_advice_ms: f64,
    mixers: u32,
    /// Number of ignored reports: about a searcher that is not on this mixer's own list, from a peer that is
    /// not trusted, or over a limit.
    pub ignored_reports: u64,
}

impl PeerReportPolicy {
    pub fn new(local_name: &str) -> Self {
        Self {
            local_name: local_name.to_owned(),
            searchers: BTreeMap::new(),
            trust: BTreeMap::new(),
            pending_probes: BTreeMap::new(),
            departures: BTreeMap::new(),
            restarts: BTreeMap::new(),
            suspected_until_ms: BTreeMap::new(),
            probe_tokens: PROBE_BURST,
            probe_tokens_by_peer: BTreeMap::new(),
            refilled_at_ms: 0.0,
            next_idle_advice_ms: 0.0,
            mixers: 0,
            ignored_reports: 0,
        }
    }

    /// The current trust score of each peer, for display.
    pub fn trust(&self, now_ms: f64) -> BTreeMap<String, f64> {
        self.trust.iter().map(|(name, trust)| (name.clone(), trust.score(now_ms))).collect()
    }

    fn is_trusted(&self, peer: &str, now_ms: f64) -> bool {
        self.trust.get(peer).unwrap_or(&Trust::NEW).is_trusted(now_ms)
    }

    fn record_outcome(&mut self, peer: &str, now_ms: f64, right: bool) {
        self.trust.entry(peer.to_owned()).or_insert(Trust::NEW).record_outcome(now_ms, right);
    }

    /// Updates this mixer's own status of a searcher; `None` once its list no longer contains the searcher. Compares
    /// pending peer reports with the status, and returns the retraction of advice that is no longer needed.
    #[must_use]
    pub fn local_status_changed(
        &mut self,
        now_ms: f64,
        searcher: SocketAddrV4,
        local: Option<LocalStatus>,
    ) -> Option<Advice> {
        let Some(local) = local else {
            return self.searcher_removed(now_ms, searcher);
        };
        self.searchers.insert(searcher, local);
        if let Some(probe) = self.pending_probes.get_mut(&searcher) {
            probe.confirmed |= local.marked;
        }
        // Once this mixer's own list confirms a departure, only the list applies. Otherwise a drain that ends
        // without a restart of the searcher would stay in effect for ever.
        let mut retraction = None;
        let confirmed = |report: &UnconfirmedReport| {
            local.stage > Stage::Up || local.started_at_ms > report.started_at_ms
        };
        if self.departures.get(&searcher).is_some_and(confirmed)
            && let Some(report) = self.departures.remove(&searcher).filter(|report| !report.retracted)
        {
            self.record_outcome(&report.reporter, now_ms, true);
            retraction = Some(Advice::DepartureRetracted(searcher));
        }
        if self.restarts.get(&searcher).is_some_and(|report| local.started_at_ms >= report.started_at_ms)
            && let Some(report) = self.restarts.remove(&searcher).filter(|report| !report.retracted)
        {
            self.record_outcome(&report.reporter, now_ms, true);
        }
        retraction
    }

    /// A searcher is no longer on this mixer's own list, which confirms a reported departure.
    fn searcher_removed(&mut self, now_ms: f64, searcher: SocketAddrV4) -> Option<Advice> {
        self.searchers.remove(&searcher);
        let departure = self.departures.remove(&searcher).filter(|report| !report.retracted);
        if let Some(report) = &departure {
            self.record_outcome(&report.reporter, now_ms, true);
        }
        self.restarts.remove(&searcher);
        self.pending_probes.remove(&searcher);
        self.suspected_until_ms.remove(&searcher);
        departure.map(|_| Advice::DepartureRetracted(searcher))
    }

    /// Sets the number of mixers that are up, including this one.
    pub fn set_mixer_count(&mut self, mixers: u32) -> Option<Advice> {
        let before = std::mem::replace(&mut self.mixers, mixers);
        (before != mixers).then_some(Advice::MixerCount(mixers))
    }

    /// The number of mixers that have to agree: a tenth of them, and at least two.
    fn agreeing_mixers_needed(&self) -> usize {
        (self.mixers as usize).div_ceil(AGREEING_MIXERS_DIVISOR).max(MIN_AGREEING_MIXERS)
    }

    /// Evaluates changed records with their current values in the replica.
    pub fn apply_changes(&mut self, now_ms: f64, changes: &[RecordChange], replica: &Replica) -> Vec<Advice> {
        let mut advice = Vec::new();
        for change in changes {
            if change.origin == self.local_name {
                continue;
            }
            if change.kind == IdleConnectionsLost::CODE {
                self.idle_loss_reported(now_ms, replica, &mut advice);
                continue;
            }
            if ![Mark::CODE, Departure::CODE, ProcessStart::CODE].contains(&change.kind) {
                continue;
            }
            // A mixer sends only to searchers on its own list, so it ignores reports about others.
            let Some(subject) = self.subject(change) else {
                self.ignored_reports += 1;
                continue;
            };
            match change.kind {
                Mark::CODE => self.mark_reported(now_ms, &subject, replica, &mut advice),
                Departure::CODE => self.departure_reported(now_ms, &subject, replica, &mut advice),
                _ => self.start_reported(now_ms, &subject, replica, &mut advice),
            }
        }
        advice
    }

    fn subject<'a>(&self, change: &'a RecordChange) -> Option<Subject<'a>> {
        let searcher: SocketAddrV4 = change.name.parse().ok()?;
        let local = *self.searchers.get(&searcher)?;
        Some(Subject { searcher, local, change })
    }

    /// Refills the probe tokens of all peers together and of each one.
    fn refill_probe_tokens(&mut self, now_ms: f64) {
        let refill = (now_ms - self.refilled_at_ms).max(0.0) * PROBES_PER_S / 1000.0;
        self.refilled_at_ms = now_ms;
        self.probe_tokens = (self.probe_tokens + refill).min(PROBE_BURST);
        for tokens in self.probe_tokens_by_peer.values_mut() {
            *tokens = (*tokens + PROBE_SHARE_PER_PEER * refill).min(PROBE_SHARE_PER_PEER * PROBE_BURST);
        }
    }

    /// Takes a token for a probe that a peer's report causes. Returns false if there is none.
    fn take_probe_token(&mut self, now_ms: f64, peer: &str) -> bool {
        self.refill_probe_tokens(now_ms);
        let peer_tokens =
            self.probe_tokens_by_peer.entry(peer.to_owned()).or_insert(PROBE_SHARE_PER_PEER * PROBE_BURST);
        if self.probe_tokens < 1.0 || *peer_tokens < 1.0 {
            return false;
        }
        self.probe_tokens -= 1.0;
        *peer_tokens -= 1.0;
        true
    }

    fn mark_reported(&mut self, now_ms: f64, subject: &Subject, replica: &Replica, advice: &mut Vec<Advice>) {
        let &Subject { searcher, local, change } = subject;
        let reports: Vec<Report<Mark>> = replica
            .reports::<Mark>(now_ms, &change.name)
            .into_iter()
            .filter(|report| report.age_ms <= Mark::VALIDITY_MS)
            .filter(|report| report.origin != self.local_name && self.is_trusted(report.origin, now_ms))
            .collect();
        // A mark counts as a whole slice. The late parts of other mixers and of this one are added up.
        let reported_parts = reports.iter().map(|report| if report.value.late { 1 } else { SLICE_PARTS });
        let parts: u32 = reported_parts.sum::<u32>() + u32::from(local.late);
        let reporters: BTreeSet<String> = reports.iter().map(|report| report.origin.to_owned()).collect();
        let is_valid = reporters.contains(&change.origin);
        if local.marked || local.stage != Stage::Up || !is_valid {
            self.ignored_reports += u64::from(!is_valid && !local.marked);
            return;
        }
        if parts < SLICE_PARTS {
            return;
        }
        if let Some(probe) = self.pending_probes.get_mut(&searcher) {
            probe.reporters.extend(reporters.iter().cloned());
        } else {
            if !self.take_probe_token(now_ms, &change.origin) {
                self.ignored_reports += 1;
                return;
            }
            let decided_at_ms = now_ms + PROBE_OUTCOME_MS;
            let probe = PendingProbe { reporters, decided_at_ms, confirmed: false };
            self.pending_probes.insert(searcher, probe);
            advice.push(Advice::Probe(searcher));
        }
        let suspected = self.suspected_until_ms.get(&searcher).is_some_and(|until_ms| now_ms < *until_ms);
        let marks = reports.iter().filter(|report| !report.value.late).count();
        if marks >= self.agreeing_mixers_needed()
            && !suspected
            && self.may_take_out_another(self.suspected_until_ms.len())
        {
            self.suspected_until_ms.insert(searcher, now_ms + PROBE_OUTCOME_MS);
            advice.push(Advice::Suspect(searcher));
        }
    }

    /// Whether peer reports may take one more searcher out of use, besides the `taken_out` ones.
    fn may_take_out_another(&self, taken_out: usize) -> bool {
        let up = self.searchers.values().filter(|local| local.stage == Stage::Up).count();
        (taken_out + 1) as f64 <= MAX_SHARE_TAKEN_OUT * up as f64
    }

    fn departure_reported(
        &mut self,
        now_ms: f64,
        subject: &Subject,
        replica: &Replica,
        advice: &mut Vec<Advice>,
    ) {
        let &Subject { searcher, local, change } = subject;
        let Some(departure) = valid_report::<Departure>(now_ms, change, replica) else { return };
        // Reports that the list already confirms, or about an earlier process than the listed one, are obsolete.
        if departure.stage == Stage::Up
            || local.stage != Stage::Up
            || departure.started_at_ms < local.started_at_ms
        {
            return;
        }
        let in_effect = self.departures.values().filter(|report| !report.retracted).count();
        if self.departures.contains_key(&searcher)
            || !self.is_trusted(&change.origin, now_ms)
            || !self.may_take_out_another(in_effect)
        {
            self.ignored_reports += 1;
            return;
        }
        let report = UnconfirmedReport::new(now_ms, &change.origin, departure.started_at_ms);
        self.departures.insert(searcher, report);
        advice.push(Advice::Departing(searcher));
    }

    fn start_reported(
        &mut self,
        now_ms: f64,
        subject: &Subject,
        replica: &Replica,
        advice: &mut Vec<Advice>,
    ) {
        let &Subject { searcher, local, change } = subject;
        let Some(start) = valid_report::<ProcessStart>(now_ms, change, replica) else { return };
        if start.started_at_ms <= local.started_at_ms {
            return;
        }
        let known = self
            .restarts
            .get(&searcher)
            .is_some_and(|report| report.retracted || report.started_at_ms >= start.started_at_ms);
        let in_effect = self.restarts.values().filter(|report| !report.retracted).count();
        if known || !self.is_trusted(&change.origin, now_ms) || !self.may_take_out_another(in_effect) {
            self.ignored_reports += 1;
            return;
        }
        let report = UnconfirmedReport::new(now_ms, &change.origin, start.started_at_ms);
        self.restarts.insert(searcher, report);
        advice.push(Advice::Restarted(searcher, start.started_at_ms));
    }

    fn idle_loss_reported(&mut self, now_ms: f64, replica: &Replica, advice: &mut Vec<Advice>) {
        let reporters = replica
            .reports::<IdleConnectionsLost>(now_ms, "")
            .into_iter()
            .filter(|report| report.origin != self.local_name)
            .filter(|report| report.age_ms <= IdleConnectionsLost::VALIDITY_MS)
            .filter(|report| self.is_trusted(report.origin, now_ms))
            .count();
        if reporters >= self.agreeing_mixers_needed() && now_ms >= self.next_idle_advice_ms {
            self.next_idle_advice_ms = now_ms + IdleConnectionsLost::VALIDITY_MS;
            advice.push(Advice::IdleConnectionsLost);
        }
    }

    /// Updates the trust in the reporters of probes that are decided, and retracts reports that were not confirmed
    /// in time.
    pub fn tick(&mut self, now_ms: f64) -> Vec<Advice> {
        let mut advice = Vec::new();
        let decided: Vec<SocketAddrV4> = self
            .pending_probes
            .iter()
            .filter(|(_, probe)| now_ms >= probe.decided_at_ms)
            .map(|(searcher, _)| *searcher)
            .collect();
        for searcher in decided {
            if let Some(probe) = self.pending_probes.remove(&searcher) {
                for reporter in &probe.reporters {
                    self.record_outcome(reporter, now_ms, probe.confirmed);
                }
            }
        }
        self.suspected_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        let departures = retract_expired(&mut self.departures, now_ms);
        let restarts = retract_expired(&mut self.restarts, now_ms);
        for (searcher, reporter) in departures {
            self.record_outcome(&reporter, now_ms, false);
            advice.push(Advice::DepartureRetracted(searcher));
        }
        for (searcher, reporter) in restarts {
            self.record_outcome(&reporter, now_ms, false);
            advice.push(Advice::RestartRetracted(searcher));
        }
        advice
    }
}

impl UnconfirmedReport {
    fn new(now_ms: f64, reporter: &str, started_at_ms: f64) -> Self {
        Self {
            reporter: reporter.to_owned(),
            expires_at_ms: now_ms + CONFIRMATION_TIMEOUT_MS,
            started_at_ms,
            retracted: false,
        }
    }
}

/// What the origin of a change reports, unless its evidence is too old.
fn valid_report<K: RecordKind>(now_ms: f64, change: &RecordChange, replica: &Replica) -> Option<K> {
    let reports = replica.reports::<K>(now_ms, &change.name);
    let valid = |report: &Report<K>| report.origin == change.origin && report.age_ms <= K::VALIDITY_MS;
    reports.into_iter().find(valid).map(|report| report.value)
}

/// Retracts expired reports, and removes those that were retracted long ago. Returns the searchers of the
/// retracted reports with the reporters.
fn retract_expired(
    reports: &mut BTreeMap<SocketAddrV4, UnconfirmedReport>,
    now_ms: f64,
) -> Vec<(SocketAddrV4, String)> {
    reports.retain(|_, report| !report.retracted || now_ms < report.expires_at_ms + CONFIRMATION_TIMEOUT_MS);
    let expired =
        reports.iter_mut().filter(|(_, report)| !report.retracted && now_ms >= report.expires_at_ms);
    expired
        .map(|(searcher, report)| {
            report.retracted = true;
            (*searcher, report.reporter.clone())
        })
        .collect()
}
