//! This mixer's membership in a fleet. The mixer shares what it has observed itself with the other mixers, and
//! accepted reports of theirs become events of the decision module. Unless the operator's file enables it,
//! there is no thread and no listener for it.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use anyhow::{Context, Result, ensure};
use pewterwharf_mesh::{LocalReport, LocalStatus, Mesh, MeshConfig, MeshHandle};
use pewterwharf_replica::Advice;
use pewterwharf_settings::{FleetSettings, Settings};
use pewterwharf_terms::StartupConfig;
use tracing::{info, warn};

use crate::clock::UnixMs;
use crate::inputs::Input;
use crate::messages::MessageSender;
use crate::reducer::{ListStatus, RecentUsage, Reducer};

/// How often the mixer checks for changes to share with the other mixers. This is well under the time that a
/// probe takes.
const SHARE_INTERVAL_MS: f64 = 50.0;
/// A mark that persists is shared again this often, so that the other mixers do not discard it as too old.
const REPEAT_INTERVAL_MS: f64 = 700.0;
/// How often the usage of customers is shared.
const USAGE_INTERVAL_MS: f64 = 2000.0;
/// The span over which the decision module counts the usage of customers.
const USAGE_SPAN_MS: u32 = 5000;
/// File descriptors that have to be left for clients, searchers and discovery.
const MIN_DESCRIPTORS: usize = 32;

/// What was shared of a searcher, and when.
#[derive(Clone, Copy, PartialEq)]
struct SharedReport {
    status: LocalStatus,
    at: UnixMs,
}

/// This mixer's membership in its fleet, if it has one.
pub struct FleetMember {
    active: Option<ActiveMember>,
    /// The fleet section of the operator's file at the start.
    settings: Option<FleetSettings>,
}

struct ActiveMember {
    mesh: Mesh,
    shared: BTreeMap<SocketAddrV4, SharedReport>,
    shared_list: Option<ListStatus>,
    lost_idle_connections: bool,
    next_share_at: UnixMs,
    next_usage_at: UnixMs,
    /// Scans of each customer, as shared last.
    shared_usage: Vec<usize>,
}

fn mesh_config(fleet: &FleetSettings, seed: u64) -> MeshConfig {
    MeshConfig {
        fleet: fleet.name.clone(),
        local_name: fleet.own_name.clone(),
        listen: fleet.listen,
        peers: fleet.peers.iter().map(|p| (p.name.clone(), p.address)).collect(),
        seed,
        tombstone_ttl_ms: fleet.tombstone_ttl_ms,
    }
}

impl FleetMember {
    /// Begins to join the fleet. The descriptors that its links need are taken from `startup`.
    ///
    /// # Errors
    /// If too few descriptors are left for the rest, or the listener or the thread can't be started.
    pub fn open(settings: &Settings, startup: &mut StartupConfig, messages: &MessageSender) -> Result<Self> {
        let Some(fleet) = &settings.fleet else { return Ok(Self { active: None, settings: None }) };
        let config = mesh_config(fleet, startup.seed);
        let left = startup.sockets.saturating_sub(config.max_descriptors());
        ensure!(
            left >= MIN_DESCRIPTORS,
            "fleet: its links take {} of limits.sockets={}, and {MIN_DESCRIPTORS} at least have to be left",
            config.max_descriptors(),
            startup.sockets
        );
        startup.sockets = left;
        let messages = messages.clone();
        let on_advice = move |advice: Vec<Advice>| {
            messages.send(Input::FleetEvents(advice.into_iter().map(Advice::to_event).collect()));
        };
        let mesh =
            Mesh::start(config, on_advice).with_context(|| format!("fleet listen {}", fleet.listen))?;
        info!(
            target: "fleet",
            "{} of fleet {} listens for mixers at {}",
            fleet.own_name,
            fleet.name,
            mesh.local_addr()
        );
        let active = ActiveMember {
            mesh,
            shared: BTreeMap::new(),
            shared_list: None,
            lost_idle_connections: false,
            next_share_at: 0.0,
            next_usage_at: 0.0,
            shared_usage: Vec::new(),
        };
        Ok(Self { active: Some(active), settings: Some(fleet.clone()) })
    }

    /// A handle for queries about what this mixer sees of its fleet.
    pub fn handle(&self) -> Option<MeshHandle> {
        self.active.as_ref().map(|member| member.mesh.handle())
    }

    /// Warns if the fleet section of the operator's file has changed, as that takes effect only at the next
    /// start.
    pub fn settings_reloaded(&self, settings: &Settings) {
        if settings.fleet != self.settings {
            warn!(target: "fleet", "fleet has changed in the operator's file: it takes effect at the next start");
        }
    }

    /// When [`FleetMember::share`] has to be called again.
    pub fn next_share_at(&self) -> UnixMs {
        self.active.as_ref().map_or(f64::INFINITY, |member| member.next_share_at)
    }

    /// Shares what is new with the other mixers, if it is time.
    pub fn share(&mut self, now: UnixMs, reducer: &Reducer) {
        if let Some(member) = self.active.as_mut().filter(|member| now >= member.next_share_at) {
            member.next_share_at = now + SHARE_INTERVAL_MS;
            member.share(now, reducer);
        }
    }

    /// Counters, one a line; empty without a fleet.
    pub fn counters(&self) -> String {
        self.active.as_ref().map_or_else(String::new, |member| member.mesh.counters_text())
    }

    /// Tells the other mixers that this one was asked to end.
    pub fn announce_end(&self) {
        self.active.iter().for_each(|member| member.mesh.begin_shutdown());
    }

    /// Leaves the fleet and tells the other mixers.
    pub fn leave(self) {
        self.active.into_iter().for_each(|member| member.mesh.leave());
    }
}

impl ActiveMember {
    fn share(&mut self, now: UnixMs, reducer: &Reducer) {
        let mut reports = Vec::new();
        let shared = self.collect_searchers(now, reducer, &mut reports);
        let list = reducer.list_status();
        if Some(list) != self.shared_list {
            reports.push(LocalReport::List { index: list.index, ready: list.ready_searchers });
        }
        let RecentUsage { scans_by_customer, lost_idle_connections } = reducer.recent_usage();
        if lost_idle_connections && !self.lost_idle_connections {
            reports.push(LocalReport::IdleConnectionsLost { times: 1 });
        }
        let shares_usage = now >= self.next_usage_at && scans_by_customer != self.shared_usage;
        if shares_usage {
            self.collect_usage(scans_by_customer, reducer.customer_names(), &mut reports);
        }
        // If the reports can't be sent now, nothing is recorded as shared, and the next call creates them
        // again.
        if reports.is_empty() || self.mesh.publish(reports) {
            self.shared = shared;
            self.shared_list = Some(list);
            self.lost_idle_connections = lost_idle_connections;
            if shares_usage {
                self.shared_usage = scans_by_customer.to_vec();
                self.next_usage_at = now + USAGE_INTERVAL_MS;
            }
        }
    }

    /// Adds reports on the customers whose usage has changed since it was shared last.
    fn collect_usage(
        &self,
        scans_by_customer: &[usize],
        customer_names: &[String],
        reports: &mut Vec<LocalReport>,
    ) {
        for (nth, (scans, name)) in scans_by_customer.iter().zip(customer_names).enumerate() {
            if self.shared_usage.get(nth) != Some(scans) {
                reports.push(LocalReport::CustomerUsage {
                    customer: name.clone(),
                    scans: *scans as u32,
                    span_ms: USAGE_SPAN_MS,
                });
            }
        }
    }

    /// Adds reports on the searchers whose status has changed or has to be repeated. Returns what is shared of
    /// each searcher once these reports are sent.
    fn collect_searchers(
        &self,
        now: UnixMs,
        reducer: &Reducer,
        reports: &mut Vec<LocalReport>,
    ) -> BTreeMap<SocketAddrV4, SharedReport> {
        let mut shared = BTreeMap::new();
        for observed in reducer.observed_searchers() {
            let status = LocalStatus::from_report(&observed);
            let before = self.shared.get(&observed.searcher).copied();
            let is_unhealthy = status.marked || status.late;
            let is_due = |before: SharedReport| {
                before.status != status || is_unhealthy && now - before.at >= REPEAT_INTERVAL_MS
            };
            if before.is_none_or(is_due) {
                // What a mark relies on; for a searcher that is not marked, its oldest open part.
                let (latency_ratio, parts) = if observed.marked {
                    (observed.evidence.relative_latency, observed.evidence.parts)
                } else {
                    (observed.overdue, 1)
                };
                reports.push(LocalReport::Searcher {
                    address: observed.searcher,
                    status: Some(status),
                    cold: observed.cold,
                    latency_ratio,
                    parts,
                });
                shared.insert(observed.searcher, SharedReport { status, at: now });
            } else {
                shared.extend(before.map(|before| (observed.searcher, before)));
            }
        }
        for removed in self.shared.keys().filter(|address| !shared.contains_key(address)) {
            reports.push(LocalReport::Searcher {
                address: *removed,
                status: None,
                cold: false,
                latency_ratio: 0.0,
                parts: 0,
            });
        }
        shared
    }
}
