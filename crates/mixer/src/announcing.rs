//! The service's side of BGP: what the operator's file says becomes the speaker's terms, what the mixer can serve is
//! reported to it, and a drain is held up until no route leads here any more. Off unless the operator's file has it.

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
use pewterwharf_mesh::MeshHandle;
use pewterwharf_settings::{BgpPeer, BgpSettings, Settings, nearest_name};
use pewterwharf_speaker::{Speaker, StatusHandle};
use tracing::warn;

use crate::discovery::Watches;
use crate::inputs::Phase;
use crate::messages::{MessageSender, STACK, spawn};
use crate::reducer::Reducer;

/// How often the mixer's health is reported, in milliseconds: well under the time that worse has to last.
const REPORT_MS: f64 = 250.0;
/// Scans from which on a share of refusals says something.
const ENOUGH: u64 = 20;

/// The announcements of this mixer, where it makes any, and the console at which it tells of them.
pub struct Announcing {
    on: Option<On>,
    stop: Stop,
    seed: u64,
    type_names: Vec<String>,
    console: Option<Console>,
    console_at: Option<PathBuf>,
    fleet: Option<MeshHandle>,
}

/// A speaker that runs.
struct On {
    speaker: Speaker,
    listen: Option<SocketAddr>,
    report_at: f64,
    /// Scans taken and throttled at the last look, and the share refused since the one before.
    seen: (u64, u64),
    pressure: f64,
}

/// How far the end is.
#[derive(Clone, Copy, PartialEq)]
enum Stop {
    No,
    /// The routes are on their way out.
    Leaving,
    /// The mixer drains as it does without routes.
    Over,
}

fn peer(bgp: &BgpSettings, peer: &BgpPeer) -> PeerConfig {
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
    let hop = |wanted: bool| Some(peer.next_hop).filter(|_| wanted);
    let v4 = matches!(peer.next_hop, IpAddr::V4(_));
    PeerConfig { address: peer.address, session, next_hop_v4: hop(v4), next_hop_v6: hop(!v4) }
}

/// The places of table types among those that the platform names.
fn places(named: &[String], type_names: &[String]) -> Result<Vec<usize>, String> {
    let place = |name: &String| {
        let found = type_names.iter().position(|t| t == name);
        found.ok_or_else(|| {
            let hint = nearest_name(name, type_names.iter().map(String::as_str));
            let hint = hint.map(|other| format!("; did you mean {other}?")).unwrap_or_default();
            format!("bgp announce table-types: {name} is no table type of this mixer{hint}")
        })
    };
    named.iter().map(place).collect()
}

fn terms(bgp: &BgpSettings, type_names: &[String]) -> Result<SpeakerConfig, String> {
    let mut addresses = Vec::new();
    for a in &bgp.addresses {
        let table_types = places(&a.table_types, type_names)?;
        addresses.push(ServiceAddress { prefix: a.prefix, table_types, keep_last: a.keep_last });
    }
    Ok(SpeakerConfig {
        peers: bgp.peers.iter().map(|p| peer(bgp, p)).collect(),
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

/// What is said at the console.
fn answer(
    question: &str,
    show: Option<&StatusHandle>,
    type_names: &[String],
    messages: &MessageSender,
    fleet: Option<&MeshHandle>,
) -> Reply {
    let shown = || {
        let fleet = fleet.ok_or("fleet is not set in the operator's file")?;
        fleet.status().ok_or_else(|| "the links between mixers do not answer".to_owned())
    };
    match (question, show) {
        ("fleet show", _) => Ok(shown()?.to_string()),
        ("fleet show --json", _) => Ok(shown()?.to_json() + "\n"),
        ("bgp show", Some(show)) => {
            let shown = show.status().ok_or("the speaker does not answer")?;
            Ok(format!("{shown}table types, in the order above\n  {}\n", type_names.join(" ")))
        }
        ("bgp show", None) => Err("bgp is not set in the operator's file".to_owned()),
        ("beliefs", _) => messages.beliefs().ok_or_else(|| "the mixer does not answer".to_owned()),
        (other, _) => Err(format!("\"{other}\" is not known here; known are bgp show, beliefs, fleet show")),
    }
}

impl On {
    fn start(bgp: &BgpSettings, terms: SpeakerConfig, seed: u64, messages: &MessageSender) -> Result<Self> {
        let speaker = Speaker::start(terms, bgp.listen, seed).context("bgp")?;
        let (may_stop, messages) = (speaker.drain_complete().clone(), messages.clone());
        spawn("routes left", STACK, move || {
            if may_stop.recv().is_ok() {
                messages.may_stop();
            }
        })?;
        Ok(Self { speaker, listen: bgp.listen, report_at: 0.0, seen: (0, 0), pressure: 0.0 })
    }

    fn report(&mut self, now: f64, watches: &Watches, reducer: &Reducer) {
        self.report_at = now + REPORT_MS;
        let phase = match reducer.phase() {
            Phase::Starting => AnnouncerPhase::Opening,
            Phase::Ready => AnnouncerPhase::Ready,
            Phase::Draining { .. } => AnnouncerPhase::Draining,
            Phase::Closed => AnnouncerPhase::Closed,
        };
        let counters = reducer.counters();
        let (taken, throttled) = (counters.scans_taken - self.seen.0, counters.scans_throttled - self.seen.1);
        if taken >= ENOUGH {
            self.pressure = throttled as f64 / taken as f64;
            self.seen = (counters.scans_taken, counters.scans_throttled);
        }
        let usable = reducer.usable();
        let said = watches.said.load(Ordering::Acquire);
        self.speaker.report_health(Health {
            phase,
            servable_shares: reducer
                .needs()
                .map(|(need, floor)| servable_share(usable, need, floor))
                .collect(),
            rejected_share: self.pressure,
            has_client_capacity: reducer.places_left(),
            // Before the first word there is a list from before the start, of an age that nobody knows.
            list_age_ms: if said == 0 { f64::INFINITY } else { (now - said as f64).max(0.0) },
        });
    }
}

impl Announcing {
    /// # Errors
    /// If the file names what is not there, or the console, the speaker's listener or a thread can't be had.
    pub fn open(
        settings: &Settings,
        type_names: &[String],
        seed: u64,
        messages: &MessageSender,
        fleet: Option<MeshHandle>,
    ) -> Result<Self> {
        let mut announcing = Self {
            on: None,
            stop: Stop::No,
            seed,
            type_names: type_names.to_vec(),
            console: None,
            console_at: None,
            fleet,
        };
        if let Some(bgp) = &settings.bgp {
            let terms = terms(bgp, type_names).map_err(anyhow::Error::msg)?;
            announcing.on = Some(On::start(bgp, terms, seed, messages)?);
        }
        announcing.console(settings, messages)?;
        Ok(announcing)
    }

    fn console(&mut self, settings: &Settings, messages: &MessageSender) -> Result<()> {
        self.console = None; // its socket may be wanted again
        self.console_at.clone_from(&settings.console);
        if let Some(path) = &settings.console {
            let (show, names) =
                (self.on.as_ref().map(|on| on.speaker.status_handle()), self.type_names.clone());
            let (messages, fleet) = (messages.clone(), self.fleet.clone());
            let answer =
                move |question: &str| answer(question, show.as_ref(), &names, &messages, fleet.as_ref());
            let console = Console::open(path, answer);
            self.console = Some(console.with_context(|| format!("console {}", path.display()))?);
        }
        Ok(())
    }

    /// Goes by the operator's file as it now is; sessions of peers that stay are kept wherever BGP allows it.
    ///
    /// # Errors
    /// Why nothing, or not all of it, has changed.
    pub fn change(&mut self, settings: &Settings, messages: &MessageSender) -> Result<(), String> {
        if self.stop != Stop::No {
            return Err("the mixer is about to end".to_owned());
        }
        let new = settings.bgp.as_ref().map(|bgp| terms(bgp, &self.type_names)).transpose()?;
        let was_on = self.on.is_some();
        match (&mut self.on, settings.bgp.as_ref().zip(new)) {
            (Some(on), Some((bgp, terms))) => {
                if bgp.listen != on.listen {
                    warn!("bgp listen has changed: it counts from the next start");
                }
                on.speaker.configure(terms);
            }
            (on @ None, Some((bgp, terms))) => {
                *on = Some(On::start(bgp, terms, self.seed, messages).map_err(|error| format!("{error:#}"))?);
            }
            (on @ Some(_), None) => {
                if let Some(on) = on.take() {
                    // Last words take their time, and scans go on meanwhile.
                    let end = move || on.speaker.shutdown("bgp was taken out of the operator's file");
                    spawn("bgp end", STACK, end).map_err(|error| error.to_string())?;
                }
            }
            (None, None) => {}
        }
        if settings.console != self.console_at || was_on != self.on.is_some() {
            self.console(settings, messages).map_err(|error| format!("{error:#}"))?;
        }
        Ok(())
    }

    /// When it wants to be asked to [`Announcing::report`] again.
    pub fn due(&self) -> f64 {
        match &self.on {
            Some(on) if self.stop != Stop::Over => on.report_at,
            _ => f64::INFINITY,
        }
    }

    /// Reports what the mixer can serve, if it is time.
    pub fn report(&mut self, now: f64, watches: &Watches, reducer: &Reducer) {
        if now >= self.due() {
            self.on.iter_mut().for_each(|on| on.report(now, watches, reducer));
        }
    }

    /// The mixer is asked to end: whether it may at once. If not, [`Announcing::left`] is called when it may.
    pub fn stop(&mut self) -> bool {
        match (self.stop, &self.on) {
            (_, None) => self.stop = Stop::Over,
            (Stop::No, Some(on)) => {
                self.stop = Stop::Leaving;
                on.speaker.drain();
            }
            (Stop::Leaving, Some(on)) => on.speaker.drain_now(),
            (Stop::Over, _) => {}
        }
        self.stop == Stop::Over
    }

    /// No route leads here any more; whether that was still awaited.
    pub fn left(&mut self) -> bool {
        match self.stop {
            Stop::Leaving => {
                self.stop = Stop::Over;
                true
            }
            Stop::No | Stop::Over => false,
        }
    }

    /// Counts of the announcements, a line each; nothing, where there are none.
    pub fn counts(&self) -> String {
        let mut text = String::new();
        for (name, count) in self.on.iter().flat_map(|on| on.speaker.counters().named()) {
            let _ = writeln!(text, "{name} {count}"); // a String takes it
        }
        text
    }

    /// Ends all sessions.
    pub fn end(self) {
        self.on.into_iter().for_each(|on| on.speaker.shutdown("the mixer has drained"));
    }
}
