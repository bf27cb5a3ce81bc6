//! The service's side of the fleet: what this mixer knows by itself is told to the others, and what is heeded of theirs
//! becomes events of the decision module. Off unless the operator's file has it: then no thread, no listener, no look.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use anyhow::{Context, Result, ensure};
use pewterwharf_mesh::{LocalReport, LocalStatus, Mesh, MeshConfig, MeshHandle};
use pewterwharf_replica::Advice;
use pewterwharf_settings::{FleetSettings, Settings};
use pewterwharf_terms::StartupConfig;
use tracing::{info, warn};

use crate::inputs::Input;
use crate::messages::MessageSender;
use crate::reducer::Reducer;

/// How often it is looked for what the others do not know yet, in milliseconds: well under a probe's time.
const LOOK_MS: f64 = 50.0;
/// A mark that stays is said anew this often, so that it does not grow old.
const AGAIN_MS: f64 = 700.0;
/// What customers used is said this often, and over which span it is counted by the module.
const USED_MS: f64 = 2000.0;
const SPAN_MS: u32 = 5000;
/// Fewer descriptors than this leave no room for clients, searchers and discovery.
const FEWEST: usize = 32;

/// What was said of a searcher, and when.
#[derive(Clone, Copy, PartialEq)]
struct Said {
    own: LocalStatus,
    at: f64,
}

/// This mixer among the others, where it is.
pub struct Copies {
    on: Option<On>,
    section: Option<FleetSettings>,
}

struct On {
    mesh: Mesh,
    said: BTreeMap<SocketAddrV4, Said>,
    list: Option<(u64, u32)>,
    idle_lost: bool,
    look_at: f64,
    used_at: f64,
    used: Vec<usize>,
}

fn terms(fleet: &FleetSettings, seed: u64) -> MeshConfig {
    MeshConfig {
        fleet: fleet.name.clone(),
        local_name: fleet.own_name.clone(),
        listen: fleet.listen,
        peers: fleet.peers.iter().map(|p| (p.name.clone(), p.address)).collect(),
        seed,
        tombstone_ttl_ms: fleet.tombstone_ttl_ms,
    }
}

impl Copies {
    /// Begins to join. What the links take of descriptors is taken from `start`.
    ///
    /// # Errors
    /// If too few descriptors are left for the rest, or the listener or the thread can't be had.
    pub fn open(settings: &Settings, start: &mut StartupConfig, messages: &MessageSender) -> Result<Self> {
        let Some(fleet) = &settings.fleet else { return Ok(Self { on: None, section: None }) };
        let terms = terms(fleet, start.seed);
        let left = start.sockets.saturating_sub(terms.max_descriptors());
        ensure!(
            left >= FEWEST,
            "fleet: its links take {} of limits.sockets={}, and {FEWEST} at least have to be left",
            terms.max_descriptors(),
            start.sockets
        );
        start.sockets = left;
        let messages = messages.clone();
        let hear = move |advice: Vec<Advice>| {
            messages.send(Input::FleetEvents(advice.into_iter().map(Advice::to_event).collect()));
        };
        let mesh = Mesh::start(terms, hear).with_context(|| format!("fleet listen {}", fleet.listen))?;
        info!(target: "fleet", "{} of fleet {} listens for mixers at {}", fleet.own_name, fleet.name, mesh.local_addr());
        let on = On {
            mesh,
            said: BTreeMap::new(),
            list: None,
            idle_lost: false,
            look_at: 0.0,
            used_at: 0.0,
            used: Vec::new(),
        };
        Ok(Self { on: Some(on), section: Some(fleet.clone()) })
    }

    /// The way to ask what this mixer sees of its fleet.
    pub fn way(&self) -> Option<MeshHandle> {
        self.on.as_ref().map(|on| on.mesh.handle())
    }

    /// The operator's file was read anew.
    pub fn change(&self, settings: &Settings) {
        if settings.fleet != self.section {
            warn!(target: "fleet", "fleet has changed in the operator's file: it counts from the next start");
        }
    }

    /// When it wants to be asked to [`Copies::look`] again.
    pub fn due(&self) -> f64 {
        self.on.as_ref().map_or(f64::INFINITY, |on| on.look_at)
    }

    /// Tells the others what is new, if it is time.
    pub fn look(&mut self, now: f64, reducer: &Reducer) {
        if let Some(on) = self.on.as_mut().filter(|on| now >= on.look_at) {
            on.look_at = now + LOOK_MS;
            on.look(now, reducer);
        }
    }

    /// Counts, a line each; nothing, where there is no fleet.
    pub fn counts(&self) -> String {
        self.on.as_ref().map_or_else(String::new, |on| on.mesh.counters_text())
    }

    /// This mixer was asked to end.
    pub fn ends(&self) {
        self.on.iter().for_each(|on| on.mesh.begin_shutdown());
    }

    /// Leaves the fleet with a word.
    pub fn leave(self) {
        self.on.into_iter().for_each(|on| on.mesh.leave());
    }
}

impl On {
    fn look(&mut self, now: f64, reducer: &Reducer) {
        let mut says = Vec::new();
        let mut said = BTreeMap::new();
        for known in reducer.searchers() {
            let own = LocalStatus::from_report(&known);
            let before = self.said.get(&known.searcher).copied();
            let stands = own.marked || own.late;
            let again = |before: Said| before.own != own || stands && now - before.at >= AGAIN_MS;
            if before.is_none_or(again) {
                let (latency_ratio, parts) = if known.marked {
                    (known.evidence.relative_latency, known.evidence.parts)
                } else {
                    (known.overdue, 1)
                };
                let cold = known.cold;
                says.push(LocalReport::Searcher {
                    address: known.searcher,
                    status: Some(own),
                    cold,
                    latency_ratio,
                    parts,
                });
                said.insert(known.searcher, Said { own, at: now });
            } else {
                said.extend(before.map(|before| (known.searcher, before)));
            }
        }
        for gone in self.said.keys().filter(|at| !said.contains_key(at)) {
            says.push(LocalReport::Searcher {
                address: *gone,
                status: None,
                cold: false,
                latency_ratio: 0.0,
                parts: 0,
            });
        }
        let list = reducer.list();
        if Some(list) != self.list {
            says.push(LocalReport::List { index: list.0, ready: list.1 });
        }
        let (used, idle_lost) = reducer.used();
        if idle_lost && !self.idle_lost {
            says.push(LocalReport::IdleConnectionsLost { times: 1 });
        }
        let tells_use = now >= self.used_at && used != self.used;
        if tells_use {
            let scans = used.iter().zip(reducer.customer_names()).enumerate();
            let scans = scans.filter(|(nth, (count, _))| self.used.get(*nth) != Some(*count));
            says.extend(scans.map(|(_, (count, name))| LocalReport::CustomerUsage {
                customer: name.clone(),
                scans: *count as u32,
                span_ms: SPAN_MS,
            }));
        }
        // What could not be told now is found new again at the next look.
        if says.is_empty() || self.mesh.publish(says) {
            (self.said, self.list, self.idle_lost) = (said, Some(list), idle_lost);
            if tells_use {
                (self.used, self.used_at) = (used.to_vec(), now + USED_MS);
            }
        }
    }
}
