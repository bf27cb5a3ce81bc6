//! What `bgp show` prints.

use std::fmt::{self, Display, Formatter};

use crate::speaker::{AddressShown, ChangeShown, PeerShown, Shown};

/// A time for people, from milliseconds.
struct Time(f64);

impl Display for Time {
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

impl Display for PeerShown {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?}, up {} times, {} flaps count", self.address, self.state, self.ups, self.flaps)?;
        write!(f, "; it announces {} routes", self.heard_routes)?;
        let told: Vec<String> = self.announced.iter().map(ToString::to_string).collect();
        match told.is_empty() {
            true => write!(f, "; it is told none")?,
            false => write!(f, "; it is told {}", told.join(" "))?,
        }
        self.last_error.as_ref().map_or(Ok(()), |error| write!(f, "; last error: {error}"))
    }
}

impl Display for AddressShown {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?}: {:?}", self.prefix, self.stance, self.reason)?;
        if let Some(ms) = self.for_ms {
            write!(f, ", for {}", Time(ms))?;
        }
        write!(f, "; somebody else announces it: {}", if self.others { "yes" } else { "not known" })
    }
}

impl Display for ChangeShown {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} ago {} {:?}: {:?}", Time(self.ago_ms), self.prefix, self.stance, self.reason)
    }
}

impl Display for Shown {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let lines = |f: &mut Formatter<'_>, title: &str, lines: Vec<String>| {
            writeln!(f, "{title}{}", if lines.is_empty() { ": none" } else { "" })?;
            lines.iter().try_for_each(|line| writeln!(f, "  {line}"))
        };
        lines(f, "peers", self.peers.iter().map(ToString::to_string).collect())?;
        lines(f, "addresses", self.addresses.iter().map(ToString::to_string).collect())?;
        let last = self.changes.iter().rev().map(ToString::to_string);
        lines(f, "changes, the last first", last.collect())?;
        let health = &self.health;
        let usable: Vec<String> = health.usable.iter().map(|share| format!("{share:.2}")).collect();
        writeln!(f, "health\n  {:?}{}", health.phase, if self.drains { ", drains" } else { "" })?;
        writeln!(f, "  can serve by table type: {}", usable.join(" "))?;
        writeln!(f, "  refused at the door: {:.2}", health.pressure)?;
        writeln!(f, "  places for clients: {}", if health.places { "left" } else { "none left" })?;
        writeln!(f, "  discovery last heard: {} ago", Time(health.list_age_ms))?;
        let counts = self.counts.named().map(|(name, count)| format!("{name} {count}"));
        lines(f, "counts", counts.to_vec())
    }
}
