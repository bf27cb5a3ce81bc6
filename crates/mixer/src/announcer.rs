//! Announces this mixer's service addresses by BGP. The operator's file becomes the speaker's configuration,
//! the mixer's health is reported to the speaker, and a drain is delayed until no route leads here any more.
//! Nothing is announced unless the operator's file enables it. The console is opened here too.

use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::Ordering;

use anyhow::{Context, Result};
use pewterwharf_bgp::announce::{
    AnnounceConfig, Health, Phase as AnnouncerPhase, ServiceAddress, servable_share,
};
use pewterwharf_bgp::message::Family;
use pewterwharf_bgp::session;
use pewterwharf_bgp::speaker::{AttributeConfig, PeerConfig, SpeakerConfig};
use pewterwharf_console::{Console, Reply};
use pewterwharf_mesh::{FleetStatus, MeshHandle};
use pewterwharf_settings::{BgpPeer, BgpSettings, Settings, nearest_name};
use pewterwharf_speaker::{Speaker, StatusHandle};
use tracing::warn;

use crate::clock::UnixMs;
use crate::discovery::WatchStatus;
use crate::inputs::Phase;
use crate::messages::{MessageSender, STACK_BYTES, spawn};
use crate::reducer::Reducer;

/// How often the mixer's health is reported to the speaker. It is well under the time for which a worse health
/// has to last before the speaker acts on it.
const REPORT_INTERVAL_MS: f64 = 250.0;
/// The share of throttled scans is computed over at least this many scans, as it means little over fewer.
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
    next_report_at: UnixMs,
    /// The counters when the share of throttled scans was last computed.
    scans_taken: u64,
    scans_throttled: u64,
    /// The share of throttled scans between the last two computations.
    throttled_share: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum StopProgress {
    NotRequested,
    /// The routes are being withdrawn.
    WithdrawingRoutes,
    /// No route is left, and the mixer drains as it does without routes.
    Draining,
}

fn peer_config(bgp: &BgpSettings, peer: &BgpPeer) -> PeerConfig {
    let session = session::SessionConfig {
        asn: bgp.asn,
        bgp_id: bgp.id,
        peer_asn: peer.asn,
        hold_time_s: peer.hold_time_s,
        families: vec![Family::V4, Family::V6],
        connects: !peer.passive,
        connect_retry_ms: peer.connect_retry_ms,
        idle_hold_ms: peer.idle_hold_ms,
        max_prefixes: u64::from(peer.max_routes),
    };
    let next_hop_if = |is_family: bool| Some(peer.next_hop).filter(|_| is_family);
    let is_v4 = matches!(peer.next_hop, IpAddr::V4(_));
    PeerConfig {
        address: peer.address,
        session,
        next_hop_v4: next_hop_if(is_v4),
        next_hop_v6: next_hop_if(!is_v4),
    }
}

/// The indices of the named table types among those of this mixer.
fn type_indices(named: &[String], type_names: &[String]) -> Result<Vec<usize>, String> {
    let index_of = |name: &String| {
        let index = type_names.iter().position(|t| t == name);
        index.ok_or_else(|| {
            let hint = nearest_name(name, type_names.iter().map(String::as_str));
            let hint = hint.map(|other| format!("; did you mean {other}?")).unwrap_or_default();
            format!("bgp announce table-types: {name} is no table type of this mixer{hint}")
        })
    };
    named.iter().map(index_of).collect()
}

fn speaker_config(bgp: &BgpSettings, type_names: &[String]) -> Result<SpeakerConfig, String> {
    let mut addresses = Vec::new();
    for address in &bgp.addresses {
        let table_types = type_indices(&address.table_types, type_names)?;
        addresses.push(ServiceAddress { prefix: address.prefix, table_types, keep_last: address.keep_last });
    }
    Ok(SpeakerConfig {
        peers: bgp.peers.iter().map(|peer| peer_config(bgp, peer)).collect(),
        announce: AnnounceConfig {
            addresses,
            up_share: bgp.up.share,
            down_share: bgp.down.share,
            up_delay_ms: bgp.up.after_ms,
            down_delay_ms: bgp.down.after_ms,
            max_list_age_ms: bgp.stale_ms,
            max_rejected_share: bgp.pressure,
            max_changes_per_minute: bgp.changes,
            depreferenced_ms: bgp.drain.depreferenced_ms,
            withdrawn_ms: bgp.drain.withdrawn_ms,
        },
        attributes: AttributeConfig {
            communities: bgp.communities.clone(),
            large_communities: bgp.large_communities.clone(),
            med: bgp.med.preferred,
            depreferenced_med: bgp.med.depreferenced,
            local_pref: bgp.local_pref.preferred,
            depreferenced_local_pref: bgp.local_pref.depreferenced,
            prepend: bgp.prepend,
        },
    })
}

/// What the console's answers are made from.
struct ConsoleSources {
    announcements: Option<StatusHandle>,
    type_names: Vec<String>,
    messages: MessageSender,
    fleet: Option<MeshHandle>,
}

impl ConsoleSources {
    fn answer(&self, command: &str) -> Reply {
        match (command, &self.announcements) {
            ("fleet show", _) => Ok(self.fleet_status()?.to_string()),
            ("fleet show --json", _) => Ok(self.fleet_status()?.to_json() + "\n"),
            ("bgp show", Some(announcements)) => {
                let status = announcements.status().ok_or("the speaker does not answer")?;
                let type_names = self.type_names.join(" ");
                Ok(format!("{status}table types, in the order above\n  {type_names}\n"))
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
    fn start(bgp: &BgpSettings, config: SpeakerConfig, seed: u64, messages: &MessageSender) -> Result<Self> {
        let speaker = Speaker::start(config, bgp.listen, seed).context("bgp")?;
        let drain_complete = speaker.drain_complete().clone();
        let messages = messages.clone();
        spawn("routes left", STACK_BYTES, move || {
            if drain_complete.recv().is_ok() {
                messages.send_routes_withdrawn();
            }
        })?;
        Ok(Self {
            speaker,
            listen: bgp.listen,
            next_report_at: 0.0,
            scans_taken: 0,
            scans_throttled: 0,
            throttled_share: 0.0,
        })
    }

    fn report_health(&mut self, now: UnixMs, watch_status: &WatchStatus, reducer: &Reducer) {
        self.next_report_at = now + REPORT_INTERVAL_MS;
        let phase = match reducer.phase() {
            Phase::Starting => AnnouncerPhase::Opening,
            Phase::Ready => AnnouncerPhase::Ready,
            Phase::Draining { .. } => AnnouncerPhase::Draining,
            Phase::Closed => AnnouncerPhase::Closed,
        };
        let counters = reducer.counters();
        let taken = counters.scans_taken - self.scans_taken;
        let throttled = counters.scans_throttled - self.scans_throttled;
        if taken >= MIN_SCANS {
            self.throttled_share = throttled as f64 / taken as f64;
            self.scans_taken = counters.scans_taken;
            self.scans_throttled = counters.scans_throttled;
        }
        let usable = reducer.usable_slice_share();
        let servable_shares = reducer
            .table_types()
            .iter()
            .map(|t| servable_share(usable, t.required_weight, t.minimum_weight))
            .collect();
        let last_received_ms = watch_status.last_received_ms.load(Ordering::Acquire);
        // Until a watch has received anything, the list is one from before the start, whose age is unknown.
        let list_age_ms =
            if last_received_ms == 0 { f64::INFINITY } else { (now - last_received_ms as f64).max(0.0) };
        self.speaker.report_health(Health {
            phase,
            servable_shares,
            rejected_share: self.throttled_share,
            has_client_capacity: reducer.has_room_for_client(),
            list_age_ms,
        });
    }
}

impl Announcer {
    /// # Errors
    /// If the file names something that does not exist, or the console, the speaker's listener or a thread
    /// can't be started.
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
            let config = speaker_config(bgp, type_names).map_err(anyhow::Error::msg)?;
            announcer.active = Some(ActiveSpeaker::start(bgp, config, seed, messages)?);
        }
        announcer.open_console(settings, messages)?;
        Ok(announcer)
    }

    fn open_console(&mut self, settings: &Settings, messages: &MessageSender) -> Result<()> {
        self.console = None; // the new console may need the same socket
        self.console_path.clone_from(&settings.console);
        if let Some(path) = &settings.console {
            let sources = ConsoleSources {
                announcements: self.active.as_ref().map(|active| active.speaker.status_handle()),
                type_names: self.type_names.clone(),
                messages: messages.clone(),
                fleet: self.fleet.clone(),
            };
            let console = Console::open(path, move |command: &str| sources.answer(command));
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
        let new = settings.bgp.as_ref().map(|bgp| speaker_config(bgp, &self.type_names)).transpose()?;
        let was_active = self.active.is_some();
        match (&mut self.active, settings.bgp.as_ref().zip(new)) {
            (Some(active), Some((bgp, config))) => {
                if bgp.listen != active.listen {
                    warn!("bgp listen has changed: it takes effect at the next start");
                }
                active.speaker.configure(config);
            }
            (slot @ None, Some((bgp, config))) => {
                let started = ActiveSpeaker::start(bgp, config, self.seed, messages);
                *slot = Some(started.map_err(|error| format!("{error:#}"))?);
            }
            (slot @ Some(_), None) => {
                if let Some(active) = slot.take() {
                    // Closing the sessions takes time, so it has a thread of its own and does not delay scans.
                    let end = move || active.speaker.shutdown("bgp was taken out of the operator's file");
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
    pub fn next_report_at(&self) -> UnixMs {
        match &self.active {
            Some(active) if self.stop != StopProgress::Draining => active.next_report_at,
            _ => f64::INFINITY,
        }
    }

    /// Reports what the mixer can serve, if it is time.
    pub fn report_health(&mut self, now: UnixMs, watch_status: &WatchStatus, reducer: &Reducer) {
        if now >= self.next_report_at() {
            self.active.iter_mut().for_each(|active| active.report_health(now, watch_status, reducer));
        }
    }

    /// Handles a request to end, and returns whether the mixer may begin to drain at once. If not, it may once
    /// [`Announcer::routes_withdrawn`] returns true.
    pub fn stop(&mut self) -> bool {
        match (self.stop, &self.active) {
            (_, None) => self.stop = StopProgress::Draining,
            (StopProgress::NotRequested, Some(active)) => {
                self.stop = StopProgress::WithdrawingRoutes;
                active.speaker.drain();
            }
            (StopProgress::WithdrawingRoutes, Some(active)) => active.speaker.drain_now(),
            (StopProgress::Draining, _) => {}
        }
        self.stop == StopProgress::Draining
    }

    /// Records that no route leads here any more. Returns whether a request to end waited for that.
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
        for (name, count) in self.active.iter().flat_map(|active| active.speaker.counters().named()) {
            let _ = writeln!(text, "{name} {count}"); // writing to a String never fails
        }
        text
    }

    /// Ends all sessions.
    pub fn end(self) {
        self.active.into_iter().for_each(|active| active.speaker.shutdown("the mixer has drained"));
    }
}
