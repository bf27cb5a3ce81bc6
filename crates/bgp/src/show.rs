//! Text output of `bgp show`.

use std::fmt::{self, Display, Formatter};

use crate::speaker::{AddressStatus, PeerStatus, SpeakerStatus, StateChange};

/// A duration in milliseconds, printed in a suitable unit.
struct DurationMs(f64);

impl Display for DurationMs {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let s = self.0 / 1000.0;
        match s {
            s if !s.is_finite() => write!(f, "never"),
            s if s < 120.0 => write!(f, "{s:.1} s"),
            s if s < 7200.0 => write!(f, "{:.0} min", s / 60.0),
            s => write!(f, "{:.0} h", s / 3600.0),
        }
    }
}

impl Display for PeerStatus {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { address, state, flaps, times_established, .. } = self;
        write!(f, "{address} {state:?}, up {times_established} times, flap count {flaps}")?;
        write!(f, "; receives {} routes", self.received_prefixes)?;
        let advertised: Vec<String> = self.advertised.iter().map(ToString::to_string).collect();
        if advertised.is_empty() {
            write!(f, "; advertises none")?;
        } else {
            write!(f, "; advertises {}", advertised.join(" "))?;
        }
        self.last_error.as_ref().map_or(Ok(()), |error| write!(f, "; last error: {error}"))
    }
}

impl Display for AddressStatus {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?}: {:?}", self.prefix, self.state, self.reason)?;
        if let Some(ms) = self.since_change_ms {
            write!(f, ", for {}", DurationMs(ms))?;
        }
        write!(f, "; another announcer: {}", if self.other_announcer { "yes" } else { "not known" })
    }
}

impl Display for StateChange {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} ago {} {:?}: {:?}", DurationMs(self.ago_ms), self.prefix, self.state, self.reason)
    }
}

impl Display for SpeakerStatus {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let section = |f: &mut Formatter<'_>, title: &str, lines: Vec<String>| {
            writeln!(f, "{title}{}", if lines.is_empty() { ": none" } else { "" })?;
            lines.iter().try_for_each(|line| writeln!(f, "  {line}"))
        };
        section(f, "peers", self.peers.iter().map(ToString::to_string).collect())?;
        section(f, "addresses", self.addresses.iter().map(ToString::to_string).collect())?;
        let changes = self.changes.iter().rev().map(ToString::to_string);
        section(f, "changes, latest first", changes.collect())?;
        let health = &self.health;
        let servable: Vec<String> =
            health.servable_shares.iter().map(|share| format!("{share:.2}")).collect();
        writeln!(f, "health\n  {:?}{}", health.phase, if self.is_draining { ", draining" } else { "" })?;
        writeln!(f, "  can serve by table type: {}", servable.join(" "))?;
        writeln!(f, "  share of scans rejected at admission: {:.2}", health.rejected_share)?;
        let capacity = if health.has_client_capacity { "left" } else { "none left" };
        writeln!(f, "  capacity for clients: {capacity}")?;
        writeln!(f, "  last message from discovery: {} ago", DurationMs(health.list_age_ms))?;
        let counters = self.counters.named().map(|(name, count)| format!("{name} {count}"));
        section(f, "counts", counters.to_vec())
    }
}
