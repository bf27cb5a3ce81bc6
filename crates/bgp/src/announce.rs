//! Decides whether each service address is announced, depreferenced or withdrawn, and when a draining mixer may stop
//! accepting scans. No I/O: inputs and the current time in, effects out.
//!
//! The state of an address depends on what the mixer can serve, not only on whether its process runs. The decision module
//! reports what can be served as [`Health`]; this module applies hysteresis and rate limits:
//!
//! - A change for the worse applies after it has lasted `down_delay_ms`, a change for the better after `up_delay_ms`.
//!   Between the two shares an address keeps its state.
//! - The number of changes per minute is limited: at the limit no address improves until the rate falls below it. Changes
//!   for the worse are never delayed by the limit, or scans would be routed to a mixer that cannot serve them.
//! - If the operator asks for it (`keep_last`), the last announcer of an address is depreferenced instead of withdrawn,
//!   unless it drains or can serve nothing at all. An address that was withdrawn because of another announcer is announced
//!   again, depreferenced, once the other announcer's route is withdrawn. Other announcers are detected from the routes
//!   that peers send ([`is_other_announcer`]); a route that may be the mixer's own, or that is depreferenced, does not
//!   count.
//! - A drain has a fixed order: depreference, wait, withdraw, wait for the withdrawal to propagate, stop.
//!
//! The loss of a session changes no address: the peer drops the routes and receives all of them in the next session.

use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr};

use ipnet::IpNet;

use crate::message::ObservedRoute;

/// Configuration of the announcements.
#[derive(Clone, Debug, PartialEq)]
pub struct AnnounceConfig {
    pub addresses: Vec<ServiceAddress>,
    /// Servable share from which on an address is announced, and below which it is withdrawn.
    pub up_share: f64,
    pub down_share: f64,
    /// Milliseconds that a change for the better, or for the worse, has to last before it applies.
    pub up_delay_ms: f64,
    pub down_delay_ms: f64,
    /// Age of the searcher list in milliseconds above which addresses are depreferenced.
    pub max_list_age_ms: f64,
    /// Share of scans rejected at admission from which on addresses are depreferenced.
    pub max_rejected_share: f64,
    /// Changes of all addresses per minute, above which no address improves.
    pub max_changes_per_minute: u32,
    /// Phases of a drain in milliseconds: depreferenced, then withdrawn before the mixer stops accepting scans.
    pub depreferenced_ms: f64,
    pub withdrawn_ms: f64,
}

/// One service address; prefixes are unique.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceAddress {
    pub prefix: IpNet,
    /// Table types served at the address; empty for all.
    pub table_types: Vec<usize>,
    /// The last known announcer depreferences the address instead of withdrawing it while it can serve something.
    pub keep_last: bool,
}

/// Life cycle phase of the mixer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Opening,
    Ready,
    Draining,
    Closed,
}

/// What the mixer can currently serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Health {
    pub phase: Phase,
    /// Servable share of each table type (see [`servable_share`]).
    pub servable_shares: Vec<f64>,
    /// Share of recent scans rejected at admission.
    pub rejected_share: f64,
    /// Further client connections can be accepted.
    pub has_client_capacity: bool,
    /// Milliseconds since the last message from discovery.
    pub list_age_ms: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    Health(Health),
    /// Number of established sessions.
    Sessions(usize),
    /// Whether another announcer of an address is known from the routes that peers send.
    OtherAnnouncer(IpNet, bool),
    /// The configuration has changed. Addresses that remain keep their state, new ones start withdrawn, and removed ones
    /// are withdrawn at once.
    Configure(AnnounceConfig),
    /// The mixer has been asked to stop.
    Drain,
    /// Skips the waiting times of a drain: the mixer has been asked to stop a second time.
    DrainNow,
    /// The time returned by [`Announcer::next_timer`] is reached.
    Timer,
}

/// State of an address, ordered by preference. The names are part of the output of `bgp show`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteState {
    Withdrawn,
    /// Announced with lower preference than any other announcer's route (RFC 8326).
    Depreferenced,
    Announced,
}

/// Reason of an address's state. The names are part of the output of `bgp show`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The mixer has not finished starting.
    NotReady,
    Serves,
    /// No part of the data of a table type can be served.
    NothingUsable,
    /// The servable share is below the threshold.
    TooLittleUsable,
    /// The servable share is below the threshold, but no other announcer is known.
    LastAnnouncer,
    /// The searcher list is older than the limit.
    ListStale,
    /// Too large a share of scans is rejected at admission.
    DoorPressed,
    /// No further client connections can be accepted.
    NoPlaces,
    /// The mixer is draining.
    Drains,
    /// The address was removed from the configuration.
    NotNamed,
}

/// Share of a table type's need that can be served.
///
/// `usable` is the share of slices with a searcher that is up, not draining and not marked. `need` is the weight of parts
/// that makes an answer complete, `floor` the least weight for any answer: below it every scan fails.
pub fn servable_share(usable: f64, need: f64, floor: f64) -> f64 {
    // The shares are sums over a few slices: a rounding error must not count as a missing slice.
    const EPSILON: f64 = 1e-9;
    if usable + EPSILON < floor {
        0.0
    } else if need > 0.0 {
        (usable / need).min(1.0)
    } else {
        usable.min(1.0)
    }
}

/// Whether a received route certainly comes from another announcer, for a mixer with this BGP Identifier that announced
/// `next_hop` to the peer.
///
/// If a peer sets itself as next hop, a route that it sends back cannot be distinguished from another announcer's route in
/// the same AS. Taking the mixer's own route for another's would withdraw the last route, so a doubtful route does not
/// count. Neither does a depreferenced route: otherwise two last announcers would make each other withdraw.
pub fn is_other_announcer(route: &ObservedRoute, bgp_id: Ipv4Addr, next_hop: Option<IpAddr>) -> bool {
    let other_originator = route.originator_id.map(|originator| originator != bgp_id);
    let other_next_hop = route.next_hop.is_some() && route.next_hop != next_hop;
    !route.graceful_shutdown && other_originator.unwrap_or(other_next_hop && !route.own_as_in_path)
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// An address changes to this state.
    SetState { prefix: IpNet, state: RouteState, reason: Reason },
    /// The drain is complete: all routes are withdrawn and the waiting time for their propagation is over, or there is no
    /// session. The mixer may stop accepting scans.
    DrainComplete,
}

/// Window of the rate limit on changes.
const MINUTE_MS: f64 = 60_000.0;

/// A state with its reason.
#[derive(Clone, Copy, Debug)]
struct Target {
    state: RouteState,
    reason: Reason,
}

/// State of one address, for status output.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressState {
    pub prefix: IpNet,
    pub state: RouteState,
    pub reason: Reason,
    /// Another announcer of the address is known.
    pub other_announcer: bool,
    /// Time of the last change of state; `None` before the first.
    pub changed_at: Option<f64>,
}

#[derive(Clone, Debug)]
struct AddressRecord {
    state: RouteState,
    reason: Reason,
    /// State that follows from the health alone.
    target: Target,
    /// Since when the target has been better than, worse than, or equal to the current state.
    target_since: f64,
    other_announcer: bool,
    /// Time of the last change of state; `None` before the first.
    changed_at: Option<f64>,
}

impl AddressRecord {
    fn new() -> Self {
        let target = Target { state: RouteState::Withdrawn, reason: Reason::NotReady };
        Self {
            state: target.state,
            reason: target.reason,
            target,
            target_since: 0.0,
            other_announcer: false,
            changed_at: None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Drain {
    No,
    /// Addresses are depreferenced until this time.
    Depreferenced(f64),
    /// Addresses are withdrawn; waits until this time for the withdrawals to propagate.
    Withdrawn(f64),
    Done,
}

/// Decides on the announcements of one mixer.
#[derive(Clone, Debug)]
pub struct Announcer {
    config: AnnounceConfig,
    now: f64,
    health: Health,
    addresses: Vec<AddressRecord>,
    sessions: usize,
    drain: Drain,
    /// Times of the changes within the last minute.
    changes: VecDeque<f64>,
}

impl Announcer {
    pub fn new(config: AnnounceConfig) -> Self {
        let health = Health {
            phase: Phase::Opening,
            servable_shares: Vec::new(),
            rejected_share: 0.0,
            has_client_capacity: true,
            list_age_ms: f64::INFINITY,
        };
        Self {
            addresses: vec![AddressRecord::new(); config.addresses.len()],
            config,
            now: 0.0,
            health,
            sessions: 0,
            drain: Drain::No,
            changes: VecDeque::new(),
        }
    }

    /// State of each configured address.
    pub fn address_states(&self) -> impl Iterator<Item = AddressState> {
        let prefixes = self.config.addresses.iter().map(|a| a.prefix);
        prefixes.zip(&self.addresses).map(|(prefix, record)| AddressState {
            prefix,
            state: record.state,
            reason: record.reason,
            other_announcer: record.other_announcer,
            changed_at: record.changed_at,
        })
    }

    /// Last reported health.
    pub fn health(&self) -> &Health {
        &self.health
    }

    pub fn is_draining(&self) -> bool {
        self.drain != Drain::No
    }

    /// Time of the next [`Input::Timer`], in milliseconds.
    pub fn next_timer(&self) -> f64 {
        match self.drain {
            Drain::Depreferenced(at) | Drain::Withdrawn(at) => at,
            Drain::Done => f64::INFINITY,
            Drain::No => {
                let times = self.addresses.iter().map(|record| self.applies_at(record));
                times.fold(f64::INFINITY, f64::min)
            }
        }
    }

    /// Processes an input at time `now` in milliseconds. If `now` is before the time of an earlier input, that time is used.
    pub fn step(&mut self, now: f64, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        let mut effects = Vec::new();
        match input {
            Input::Health(health) => self.health = health,
            Input::Sessions(established) => self.sessions = established,
            Input::OtherAnnouncer(prefix, known) => {
                let index = self.config.addresses.iter().position(|a| a.prefix == prefix);
                index.into_iter().for_each(|index| self.addresses[index].other_announcer = known);
            }
            Input::Configure(config) => self.configure(config, &mut effects),
            Input::Drain if self.drain == Drain::No => {
                self.drain = Drain::Depreferenced(self.now + self.config.depreferenced_ms);
                self.lower_all(RouteState::Depreferenced, &mut effects);
            }
            Input::DrainNow => {
                if self.drain != Drain::Done {
                    self.drain = Drain::Withdrawn(self.now);
                    self.lower_all(RouteState::Withdrawn, &mut effects);
                }
            }
            Input::Drain | Input::Timer => {}
        }
        self.advance_drain(&mut effects);
        if self.drain == Drain::No {
            (0..self.addresses.len()).for_each(|address| self.evaluate(address, &mut effects));
        }
        effects
    }

    fn configure(&mut self, config: AnnounceConfig, effects: &mut Vec<Effect>) {
        let before = std::mem::replace(&mut self.config, config).addresses;
        let mut records: Vec<(IpNet, AddressRecord)> =
            before.iter().map(|a| a.prefix).zip(std::mem::take(&mut self.addresses)).collect();
        for ServiceAddress { prefix, .. } in &self.config.addresses {
            let kept = records.iter().position(|r| r.0 == *prefix).map(|index| records.swap_remove(index).1);
            self.addresses.push(kept.unwrap_or_else(AddressRecord::new));
        }
        records.sort_by_key(|r| r.0);
        for (prefix, record) in records {
            if record.state > RouteState::Withdrawn {
                effects.push(Effect::SetState {
                    prefix,
                    state: RouteState::Withdrawn,
                    reason: Reason::NotNamed,
                });
            }
        }
    }

    /// Advances a drain; phases that have no effect on any peer are skipped.
    fn advance_drain(&mut self, effects: &mut Vec<Effect>) {
        // Without a session or an announced address, no peer has a route to this mixer, and the waiting times are skipped.
        let has_session = self.sessions > 0;
        let announced = self.addresses.iter().any(|a| a.state > RouteState::Withdrawn);
        if let Drain::Depreferenced(until) = self.drain
            && (self.now >= until || !has_session || !announced)
        {
            self.lower_all(RouteState::Withdrawn, effects);
            let wait_ms = if has_session && announced { self.config.withdrawn_ms } else { 0.0 };
            self.drain = Drain::Withdrawn(self.now + wait_ms);
        }
        if let Drain::Withdrawn(until) = self.drain
            && (self.now >= until || !has_session)
        {
            self.drain = Drain::Done;
            effects.push(Effect::DrainComplete);
        }
    }

    /// Lowers all addresses to a state for a drain; addresses below it stay as they are.
    fn lower_all(&mut self, state: RouteState, effects: &mut Vec<Effect>) {
        for address in 0..self.addresses.len() {
            if self.addresses[address].state > state {
                self.set_state(address, state, Reason::Drains, effects);
            }
        }
    }

    fn set_state(&mut self, address: usize, state: RouteState, reason: Reason, effects: &mut Vec<Effect>) {
        let record = &mut self.addresses[address];
        record.state = state;
        record.reason = reason;
        record.changed_at = Some(self.now);
        self.changes.push_back(self.now);
        effects.push(Effect::SetState { prefix: self.config.addresses[address].prefix, state, reason });
    }

    /// State that follows from the current health, without delays and rate limits.
    fn target(&self, address: usize) -> Target {
        let withdrawn = |reason| Target { state: RouteState::Withdrawn, reason };
        let depreferenced = |reason| Target { state: RouteState::Depreferenced, reason };
        let config = &self.config;
        let health = &self.health;
        let Some(ServiceAddress { table_types, keep_last, .. }) = config.addresses.get(address) else {
            return withdrawn(Reason::NotReady);
        };
        let record = &self.addresses[address];
        if health.phase != Phase::Ready {
            return withdrawn(Reason::NotReady);
        }
        // The table type with the smallest share decides, as scans of that type are routed to the address as well.
        let served_types = health
            .servable_shares
            .iter()
            .enumerate()
            .filter(|(table_type, _)| table_types.is_empty() || table_types.contains(table_type));
        let servable = served_types.map(|(_, share)| *share).reduce(f64::min).unwrap_or(0.0);
        if servable <= 0.0 {
            return withdrawn(Reason::NothingUsable);
        }
        // Hysteresis: between the two shares an address keeps its state.
        let threshold =
            if record.state == RouteState::Withdrawn { config.up_share } else { config.down_share };
        if servable < threshold {
            return if *keep_last && !record.other_announcer {
                depreferenced(Reason::LastAnnouncer)
            } else {
                withdrawn(Reason::TooLittleUsable)
            };
        }
        if health.list_age_ms > config.max_list_age_ms {
            depreferenced(Reason::ListStale)
        } else if !health.has_client_capacity {
            depreferenced(Reason::NoPlaces)
        } else if health.rejected_share >= config.max_rejected_share {
            depreferenced(Reason::DoorPressed)
        } else {
            Target { state: RouteState::Announced, reason: Reason::Serves }
        }
    }

    /// Time at which the target applies if it persists; infinite if it equals the current state.
    fn applies_at(&self, record: &AddressRecord) -> f64 {
        let state = record.target.state;
        if state == record.state {
            return f64::INFINITY;
        }
        if state < record.state {
            return record.target_since + self.config.down_delay_ms;
        }
        let limit = self.config.max_changes_per_minute.max(1) as usize;
        let at_limit = self.changes.len() >= limit;
        let oldest_counted = self.changes.len().saturating_sub(limit);
        let below_limit_at = if at_limit { self.changes[oldest_counted] + MINUTE_MS } else { 0.0 };
        (record.target_since + self.config.up_delay_ms).max(below_limit_at)
    }

    /// Updates the target of an address, and changes its state if the target has lasted long enough.
    fn evaluate(&mut self, address: usize, effects: &mut Vec<Effect>) {
        while self.changes.front().is_some_and(|at| *at <= self.now - MINUTE_MS) {
            self.changes.pop_front();
        }
        let target = self.target(address);
        let now = self.now;
        let record = &mut self.addresses[address];
        // The delay restarts only if the target changes between better, worse and equal. A target that gets still worse
        // does not restart the delay of a worse one, and likewise for better ones.
        let side = |state: RouteState| state.cmp(&record.state);
        if side(target.state) != side(record.target.state) {
            record.target_since = now;
        }
        record.target = target;
        if target.state == record.state {
            record.reason = target.reason;
            return;
        }
        if now >= self.applies_at(&self.addresses[address]) {
            self.set_state(address, target.state, target.reason, effects);
            self.addresses[address].target_since = now;
        }
    }
}
