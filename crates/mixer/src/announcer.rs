//! Announces this mixer's service addresses by BGP. The operator's file becomes the speaker's terms, the speaker is told what the
//! mixer can serve, and a drain is delayed until no route leads here any more. Off unless the operator's file enables it. The
//! console is opened here too.

use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::Ordering;

use anyhow::{Context, Result};
use pewterwharf_bgp::announce::{Address, Health, Phase as Announced, Terms as AnnounceTerms, served};
use pewterwharf_bgp::message::Family;
use pewterwharf_bgp::session;
use pewterwharf_bgp::speaker::{Carried, Peer, Terms};
use pewterwharf_console::{Console, Said};
use pewterwharf_mesh::{FleetStatus, MeshHandle};
use pewterwharf_settings::{Bgp, BgpPeer, Settings, near};
use pewterwharf_speaker::{Show, Speaker};
use tracing::warn;

use crate::discovery::WatchStatus;
use crate::inputs::Phase;
use crate::messages::{MessageSender, STACK_BYTES, spawn};
use crate::reducer::Reducer;

/// How often the mixer's health is reported. It is well under the time that a worse health has to last before it counts.
const REPORT_INTERVAL_MS: f64 = 250.0;
/// The number of scans from which on the share of throttled ones is meaningful.
const MIN_SCANS: u64 = 20;

/// The announcements of this mixer, if it makes any, and the console that shows them.
pub struct Announcer {
    active: Option<ActiveSpeaker>,
    stop: StopProgress,
    seed: u64,
    type_names: Vec<String>,
    console: Option<Console>,
    console_path: Option<PathBuf>,
    fleet: Option<MeshHandle>,
}

struct ActiveSpeaker {
    speaker: Speaker,
    listen: Option<SocketAddr>,
    next_report_at: f64,
    /// Counters when the share of throttled scans was last computed.
    scans_taken: u64,
    scans_throttled: u64,
    /// The share of scans throttled between the last two times.
    pressure: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum StopProgress {
    NotRequested,
    /// The routes are being withdrawn.
    WithdrawingRoutes,
    /// No route is left, and the mixer drains as it does without routes.
    Draining,
}

fn peer_terms(bgp: &Bgp, peer: &BgpPeer) -> Peer {
    let session = session::Terms {
        asn: bgp.asn,
        id: bgp.id,
        peer_asn: peer.asn,
        hold_s: peer.hold_s,
        families: vec![Family::V4, Family::V6],
        connects: !peer.passive,
        retry_ms: peer.retry_ms,
        idle_ms: peer.rest_ms,
        most_routes: u64::from(peer.routes),
    };
    let next_hop_if = |is_family: bool| Some(peer.next_hop).filter(|_| is_family);
    let is_v4 = matches!(peer.next_hop, IpAddr::V4(_));
    Peer { address: peer.address, session, next_hop_v4: next_hop_if(is_v4), next_hop_v6: next_hop_if(!is_v4) }
}

/// The indices of table types among those that the platform names.
fn type_indices(named: &[String], type_names: &[String]) -> Result<Vec<usize>, String> {
    let index_of = |name: &String| {
        let index = type_names.iter().position(|t| t == name);
        index.ok_or_else(|| {
            let hint = near(name, type_names.iter().map(String::as_str));
            let hint = hint.map(|other| format!("; did you mean {other}?")).unwrap_or_default();
            format!("bgp announce table-types: {name} is no table type of this mixer{hint}")
        })
    };
    named.iter().map(index_of).collect()
}

fn speaker_terms(bgp: &Bgp, type_names: &[String]) -> Result<Terms, String> {
    let mut addresses = Vec::new();
    for address in &bgp.addresses {
        let table_types = type_indices(&address.table_types, type_names)?;
        addresses.push(Address { prefix: address.prefix, table_types, keep_last: address.keep_last });
    }
    Ok(Terms {
        peers: bgp.peers.iter().map(|peer| peer_terms(bgp, peer)).collect(),
        announce: AnnounceTerms {
            addresses,
            up_share: bgp.up.0,
            down_share: bgp.down.0,
            up_ms: bgp.up.1,
            down_ms: bgp.down.1,
            stale_ms: bgp.stale_ms,
            pressure: bgp.pressure,
            changes: bgp.changes,
            depreferenced_ms: bgp.drain.0,
            leave_ms: bgp.drain.1,
        },
        carried: Carried {
            communities: bgp.communities.clone(),
            large: bgp.large.clone(),
            med: bgp.med.0,
            depreferenced_med: bgp.med.1,
            local_pref: bgp.local_pref.0,
            depreferenced_pref: bgp.local_pref.1,
            prepend: bgp.prepend,
        },
    })
}

/// What the console's answers are made from.
struct ConsoleSources {
    announcements: Option<Show>,
    type_names: Vec<String>,
    messages: MessageSender,
    fleet: Option<MeshHandle>,
}

impl ConsoleSources {
    fn answer(&self, question: &str) -> Said {
        match (question, &self.announcements) {
            ("fleet show", _) => Ok(self.fleet_status()?.to_string()),
            ("fleet show --json", _) => Ok(self.fleet_status()?.to_json() + "\n"),
            ("bgp show", Some(announcements)) => {
                let shown = announcements.ask().ok_or("the speaker does not answer")?;
                let type_names = self.type_names.join(" ");
                Ok(format!("{shown}table types, in the order above\n  {type_names}\n"))
            }
            ("bgp show", None) => Err("bgp is not set in the operator's file".to_owned()),
            ("beliefs", _) => {
                self.messages.request_status().ok_or_else(|| "the mixer does not answer".to_owned())
            }
            (other, _) => {
                Err(format!("\"{other}\" is not known here; known are bgp show, beliefs, fleet show"))
            }
        }
    }

    fn fleet_status(&self) -> Result<FleetStatus, String> {
        let fleet = self.fleet.as_ref().ok_or("fleet is not set in the operator's file")?;
        fleet.status().ok_or_else(|| "the links between mixers do not answer".to_owned())
    }
}

impl ActiveSpeaker {
    fn start(bgp: &Bgp, terms: Terms, seed: u64, messages: &MessageSender) -> Result<Self> {
        let speaker = Speaker::start(terms, bgp.listen, seed).context("bgp")?;
        let (may_stop, messages) = (speaker.may_stop().clone(), messages.clone());
        spawn("routes left", STACK_BYTES, move || {
            if may_stop.recv().is_ok() {
                messages.send_routes_withdrawn();
            }
        })?;
        Ok(Self {
            speaker,
            listen: bgp.listen,
            next_report_at: 0.0,
            scans_taken: 0,
            scans_throttled: 0,
            pressure: 0.0,
        })
    }

    fn report_health(&mut self, now: f64, watch_status: &WatchStatus, reducer: &Reducer) {
        self.next_report_at = now + REPORT_INTERVAL_MS;
        let phase = match reducer.phase() {
            Phase::Starting => Announced::Opening,
            Phase::Ready => Announced::Ready,
            Phase::Draining { .. } => Announced::Draining,
            Phase::Closed => Announced::Closed,
        };
        let counters = reducer.counters();
        let taken = counters.scans_taken - self.scans_taken;
        let throttled = counters.scans_throttled - self.scans_throttled;
        if taken >= MIN_SCANS {
            self.pressure = throttled as f64 / taken as f64;
            self.scans_taken = counters.scans_taken;
            self.scans_throttled = counters.scans_throttled;
        }
        let usable = reducer.usable_slice_share();
        let last_received_ms = watch_status.last_received_ms.load(Ordering::Acquire);
        // Until a watch has received anything, the list is one from before the start, whose age is unknown.
        let list_age_ms =
            if last_received_ms == 0 { f64::INFINITY } else { (now - last_received_ms as f64).max(0.0) };
        self.speaker.health(Health {
            phase,
            usable: reducer
                .table_types()
                .iter()
                .map(|t| served(usable, t.required_weight, t.minimum_weight))
                .collect(),
            pressure: self.pressure,
            places: reducer.has_room_for_client(),
            list_age_ms,
        });
    }
}

impl Announcer {
    /// # Errors
    /// If the file names something that does not exist, or the console, the speaker's listener or a thread can't be had.
    pub fn open(
        settings: &Settings,
        type_names: &[String],
        seed: u64,
        messages: &MessageSender,
        fleet: Option<MeshHandle>,
    ) -> Result<Self> {
        let mut announcer = Self {
            active: None,
            stop: StopProgress::NotRequested,
            seed,
            type_names: type_names.to_vec(),
            console: None,
            console_path: None,
            fleet,
        };
        if let Some(bgp) = &settings.bgp {
            let terms = speaker_terms(bgp, type_names).map_err(anyhow::Error::msg)?;
            announcer.active = Some(ActiveSpeaker::start(bgp, terms, seed, messages)?);
        }
        announcer.open_console(settings, messages)?;
        Ok(announcer)
    }

    fn open_console(&mut self, settings: &Settings, messages: &MessageSender) -> Result<()> {
        self.console = None; // the new console may need the same socket
        self.console_path.clone_from(&settings.console);
        if let Some(path) = &settings.console {
            let sources = ConsoleSources {
                announcements: self.active.as_ref().map(|active| active.speaker.shows()),
                type_names: self.type_names.clone(),
                messages: messages.clone(),
                fleet: self.fleet.clone(),
            };
            let console = Console::open(path, move |question: &str| sources.answer(question));
            self.console = Some(console.with_context(|| format!("console {}", path.display()))?);
        }
        Ok(())
    }

    /// Applies a changed operator's file. Sessions with peers that remain are kept wherever BGP allows it.
    ///
    /// # Errors
    /// Why nothing, or not all of it, was applied.
    pub fn change(&mut self, settings: &Settings, messages: &MessageSender) -> Result<(), String> {
        if self.stop != StopProgress::NotRequested {
            return Err("the mixer is about to end".to_owned());
        }
        let new = settings.bgp.as_ref().map(|bgp| speaker_terms(bgp, &self.type_names)).transpose()?;
        let was_active = self.active.is_some();
        match (&mut self.active, settings.bgp.as_ref().zip(new)) {
            (Some(active), Some((bgp, terms))) => {
                if bgp.listen != active.listen {
                    warn!("bgp listen has changed: it counts from the next start");
                }
                active.speaker.change(terms);
            }
            (slot @ None, Some((bgp, terms))) => {
                let started = ActiveSpeaker::start(bgp, terms, self.seed, messages);
                *slot = Some(started.map_err(|error| format!("{error:#}"))?);
            }
            (slot @ Some(_), None) => {
                if let Some(active) = slot.take() {
                    // In a thread of its own: closing the sessions takes time, and scans go on meanwhile.
                    let end = move || active.speaker.end("bgp was taken out of the operator's file");
                    spawn("bgp end", STACK_BYTES, end).map_err(|error| error.to_string())?;
                }
            }
            (None, None) => {}
        }
        if settings.console != self.console_path || was_active != self.active.is_some() {
            self.open_console(settings, messages).map_err(|error| format!("{error:#}"))?;
        }
        Ok(())
    }

    /// When [`Announcer::report_health`] has to be called again.
    pub fn next_report_at(&self) -> f64 {
        match &self.active {
            Some(active) if self.stop != StopProgress::Draining => active.next_report_at,
            _ => f64::INFINITY,
        }
    }

    /// Reports what the mixer can serve, if it is time.
    pub fn report_health(&mut self, now: f64, watch_status: &WatchStatus, reducer: &Reducer) {
        if now >= self.next_report_at() {
            self.active.iter_mut().for_each(|active| active.report_health(now, watch_status, reducer));
        }
    }

    /// The mixer is asked to end: whether it may begin to drain at once. If not, [`Announcer::routes_withdrawn`] is called when it may.
    pub fn stop(&mut self) -> bool {
        match (self.stop, &self.active) {
            (_, None) => self.stop = StopProgress::Draining,
            (StopProgress::NotRequested, Some(active)) => {
                self.stop = StopProgress::WithdrawingRoutes;
                active.speaker.drain();
            }
            (StopProgress::WithdrawingRoutes, Some(active)) => active.speaker.hurry(),
            (StopProgress::Draining, _) => {}
        }
        self.stop == StopProgress::Draining
    }

    /// No route leads here any more. Returns whether a stop waited for that.
    pub fn routes_withdrawn(&mut self) -> bool {
        match self.stop {
            StopProgress::WithdrawingRoutes => {
                self.stop = StopProgress::Draining;
                true
            }
            StopProgress::NotRequested | StopProgress::Draining => false,
        }
    }

    /// Counters of the announcements, one a line; empty without a speaker.
    pub fn counters(&self) -> String {
        let mut text = String::new();
        for (name, count) in self.active.iter().flat_map(|active| active.speaker.counts().named()) {
            let _ = writeln!(text, "{name} {count}"); // writing to a String never fails
        }
        text
    }

    /// Ends all sessions.
    pub fn end(self) {
        self.active.into_iter().for_each(|active| active.speaker.end("the mixer has drained"));
    }
}
