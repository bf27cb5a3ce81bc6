//! Whether each service address is announced, depreferenced or withdrawn, and when a mixer that drains may stop taking
//! scans. No I/O: inputs and the time in, effects out.
//!
//! A mixer is announced by what it can serve, not by being alive. What it can serve is told by the decision module's own
//! view ([`Health`]); here it is weighed against time:
//!
//! - **worse** counts after it has lasted `down_ms`, **better** after `up_ms`; what lies between the two shares changes
//!   nothing;
//! - the number of changes in a minute is bounded: once it is reached nothing gets better until it is under it again.
//!   Getting worse is never held back, or scans would be called to where nobody serves them;
//! - where the operator says so, a last announcer is depreferenced in place of withdrawn, unless it drains or can serve
//!   nothing at all; one that had withdrawn beside another comes back, depreferenced, once that other is gone. Who else
//!   announces is known from what peers reflect ([`others`]): a route that may be the mixer's own, or that is itself
//!   a last resort, is nobody's;
//! - a drain goes its own way, in this order and no other: depreference, wait, withdraw, wait for the route to leave, stop.
//!
//! A lost session changes nothing here: the peer forgets the routes by itself, and is told all again.

use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr};

use ipnet::IpNet;

use crate::message::Seen;

/// What is read at start.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub addresses: Vec<Address>,
    /// Shares of an address's weight that are usable: announced from the first on, withdrawn under the second.
    pub up_share: f64,
    pub down_share: f64,
    /// Milliseconds that better, or worse, has to last.
    pub up_ms: f64,
    pub down_ms: f64,
    /// A list older than that, in milliseconds, depreferences.
    pub stale_ms: f64,
    /// Share of the scans refused at the door from which on an address is depreferenced.
    pub pressure: f64,
    /// Changes of all addresses in a minute, beyond which nothing gets better.
    pub changes: u32,
    /// Milliseconds of a drain: depreferenced, then withdrawn before scans stop being taken.
    pub depreferenced_ms: f64,
    pub leave_ms: f64,
}

/// One service address. No two are of the same prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Address {
    pub prefix: IpNet,
    /// Table types that are served there; all, if none is named.
    pub table_types: Vec<usize>,
    /// Not withdrawn on mere suspicion while nobody else is known to announce it.
    pub keep_last: bool,
}

/// The service's phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Opening,
    Ready,
    Draining,
    Closed,
}

/// What a mixer can serve now.
#[derive(Clone, Debug, PartialEq)]
pub struct Health {
    pub phase: Phase,
    /// Of each table type, the share of what it needs that can be served (see [`served`]).
    pub usable: Vec<f64>,
    /// Share of the scans refused at the door lately.
    pub pressure: f64,
    /// Places for clients are left.
    pub places: bool,
    /// Milliseconds since discovery was last heard.
    pub list_age_ms: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    Health(Health),
    /// Sessions that are established.
    Sessions(usize),
    /// Whether somebody else is known to announce an address, by routes that peers reflect.
    Others(IpNet, bool),
    /// The operator has changed them. Addresses that stay keep their standing; others begin withdrawn, and what is no
    /// longer named is withdrawn at once.
    Terms(Terms),
    /// The mixer is to end.
    Drain,
    /// At once: asked a second time.
    Hurry,
    /// Time has come to [`Announcer::due`].
    Timer,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stance {
    Withdrawn,
    /// Announced so that any other announcer is preferred (RFC 8326).
    Depreferenced,
    Announced,
}

/// Why a stance is what it is: the reason that `bgp show` gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    NotReady,
    Serves,
    NothingUsable,
    TooLittleUsable,
    LastAnnouncer,
    ListStale,
    DoorPressed,
    NoPlaces,
    Drains,
    /// The operator names it no longer.
    NotNamed,
}

/// Of what a table type needs, the share that can be served where `usable` is the share of the slices with a searcher that
/// is up, not draining and not marked. `need` is the weight of parts that makes a whole answer, `floor` the least for any:
/// under it every scan fails.
pub fn served(usable: f64, need: f64, floor: f64) -> f64 {
    // Shares of a few slices: a rounding error must not count as a slice.
    const CLOSE: f64 = 1e-9;
    if usable + CLOSE < floor {
        0.0
    } else if need > 0.0 {
        (usable / need).min(1.0)
    } else {
        usable.min(1.0)
    }
}

/// Whether a route that a peer holds is surely another's, for a mixer of this identifier that told the peer this next
/// hop.
///
/// A peer that sets itself as next hop sends routes back so that they can't be told from another's of the same AS. Taking
/// one's own route for another's would withdraw the last; so what is not sure counts as nobody's. A route that is itself a
/// last resort is no reason to go either: two of them would send each other away.
pub fn others(seen: &Seen, id: Ipv4Addr, next_hop: Option<IpAddr>) -> bool {
    let told = seen.originator.map(|by| by != id);
    let elsewhere = seen.next_hop.is_some() && seen.next_hop != next_hop;
    !seen.last && told.unwrap_or(elsewhere && !seen.own_as)
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// An address is to stand so.
    Stand { prefix: IpNet, stance: Stance, reason: Reason },
    /// Scans may stop being taken: no route leads here any more, as far as can be known.
    MayStop,
}

/// A minute, in which changes are counted.
const MINUTE_MS: f64 = 60_000.0;

#[derive(Clone, Debug)]
struct Standing {
    stance: Stance,
    reason: Reason,
    /// What health asks for, and since when it asks for nothing else.
    asked: (Stance, Reason),
    since: f64,
    others: bool,
    /// When the stance last changed; never, before it first did.
    changed: Option<f64>,
}

impl Standing {
    fn new() -> Self {
        let begins = (Stance::Withdrawn, Reason::NotReady);
        let (stance, reason) = begins;
        Self { stance, reason, asked: begins, since: 0.0, others: false, changed: None }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Drain {
    No,
    /// Depreferenced until then.
    Last(f64),
    /// Withdrawn, and the route on its way out until then.
    Leaving(f64),
    Done,
}

/// The announcements of one mixer.
#[derive(Clone, Debug)]
pub struct Announcer {
    terms: Terms,
    now: f64,
    health: Health,
    addresses: Vec<Standing>,
    sessions: usize,
    drain: Drain,
    /// When stances changed lately.
    changes: VecDeque<f64>,
}

impl Announcer {
    pub fn new(terms: Terms) -> Self {
        let health = Health {
            phase: Phase::Opening,
            usable: Vec::new(),
            pressure: 0.0,
            places: true,
            list_age_ms: f64::INFINITY,
        };
        Self {
            addresses: vec![Standing::new(); terms.addresses.len()],
            terms,
            now: 0.0,
            health,
            sessions: 0,
            drain: Drain::No,
            changes: VecDeque::new(),
        }
    }

    /// How each address stands, why, whether somebody else is known to announce it, and when its stance last changed.
    pub fn standings(&self) -> impl Iterator<Item = (IpNet, Stance, Reason, bool, Option<f64>)> {
        let named = self.terms.addresses.iter().map(|a| a.prefix);
        named.zip(&self.addresses).map(|(at, a)| (at, a.stance, a.reason, a.others, a.changed))
    }

    /// What was last reported.
    pub fn health(&self) -> &Health {
        &self.health
    }

    /// Whether it drains.
    pub fn drains(&self) -> bool {
        self.drain != Drain::No
    }

    /// When [`Input::Timer`] is due next, in milliseconds.
    pub fn due(&self) -> f64 {
        match self.drain {
            Drain::Last(at) | Drain::Leaving(at) => at,
            Drain::Done => f64::INFINITY,
            Drain::No => {
                let lasting = self.addresses.iter().map(|a| self.lasts_until(a));
                lasting.fold(f64::INFINITY, f64::min)
            }
        }
    }

    /// Takes in what happened at `now`; a clock that goes back stands still.
    pub fn step(&mut self, now: f64, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        match input {
            Input::Health(health) => self.health = health,
            Input::Sessions(up) => self.sessions = up,
            Input::Others(prefix, known) => {
                let named = self.terms.addresses.iter().position(|a| a.prefix == prefix);
                named.into_iter().for_each(|at| self.addresses[at].others = known);
            }
            Input::Terms(terms) => self.change(terms, &mut out),
            Input::Drain if self.drain == Drain::No => {
                self.drain = Drain::Last(self.now + self.terms.depreferenced_ms);
                self.stand_all(Stance::Depreferenced, &mut out);
            }
            Input::Hurry => {
                if self.drain != Drain::Done {
                    self.drain = Drain::Leaving(self.now);
                    self.stand_all(Stance::Withdrawn, &mut out);
                }
            }
            Input::Drain | Input::Timer => {}
        }
        self.drained(&mut out);
        if self.drain == Drain::No {
            (0..self.addresses.len()).for_each(|address| self.weigh(address, &mut out));
        }
        out
    }

    fn change(&mut self, terms: Terms, out: &mut Vec<Effect>) {
        let before = std::mem::replace(&mut self.terms, terms).addresses;
        let mut held: Vec<(IpNet, Standing)> =
            before.iter().map(|a| a.prefix).zip(std::mem::take(&mut self.addresses)).collect();
        for Address { prefix, .. } in &self.terms.addresses {
            let kept = held.iter().position(|h| h.0 == *prefix).map(|at| held.swap_remove(at).1);
            self.addresses.push(kept.unwrap_or_else(Standing::new));
        }
        held.sort_by_key(|h| h.0);
        for (prefix, standing) in held {
            if standing.stance > Stance::Withdrawn {
                out.push(Effect::Stand { prefix, stance: Stance::Withdrawn, reason: Reason::NotNamed });
            }
        }
    }

    /// Goes on with a drain as far as time, and those who listen, allow.
    fn drained(&mut self, out: &mut Vec<Effect>) {
        // Where nobody listens, or nothing is announced, there is nothing to wait for.
        let heard = self.sessions > 0;
        let announced = self.addresses.iter().any(|a| a.stance > Stance::Withdrawn);
        if let Drain::Last(until) = self.drain
            && (self.now >= until || !heard || !announced)
        {
            self.stand_all(Stance::Withdrawn, out);
            let leave = if heard && announced { self.terms.leave_ms } else { 0.0 };
            self.drain = Drain::Leaving(self.now + leave);
        }
        if let Drain::Leaving(until) = self.drain
            && (self.now >= until || !heard)
        {
            self.drain = Drain::Done;
            out.push(Effect::MayStop);
        }
    }

    /// A drain makes nothing better than it is.
    fn stand_all(&mut self, stance: Stance, out: &mut Vec<Effect>) {
        for address in 0..self.addresses.len() {
            if self.addresses[address].stance > stance {
                self.stand(address, stance, Reason::Drains, out);
            }
        }
    }

    fn stand(&mut self, address: usize, stance: Stance, reason: Reason, out: &mut Vec<Effect>) {
        let standing = &mut self.addresses[address];
        (standing.stance, standing.reason, standing.changed) = (stance, reason, Some(self.now));
        self.changes.push_back(self.now);
        out.push(Effect::Stand { prefix: self.terms.addresses[address].prefix, stance, reason });
    }

    /// What an address's health asks for, by itself.
    fn asks(&self, address: usize) -> (Stance, Reason) {
        let (terms, health) = (&self.terms, &self.health);
        let Some(Address { table_types, keep_last, .. }) = terms.addresses.get(address) else {
            return (Stance::Withdrawn, Reason::NotReady);
        };
        let standing = &self.addresses[address];
        if health.phase != Phase::Ready {
            return (Stance::Withdrawn, Reason::NotReady);
        }
        // An address is as good as the worst of its table types: a scan of that type is called here too.
        let named = health
            .usable
            .iter()
            .enumerate()
            .filter(|(t, _)| table_types.is_empty() || table_types.contains(t));
        let usable = named.map(|(_, share)| *share).reduce(f64::min).unwrap_or(0.0);
        if usable <= 0.0 {
            return (Stance::Withdrawn, Reason::NothingUsable);
        }
        // Between the two shares an address stays on the side on which it is.
        let enough = if standing.stance == Stance::Withdrawn { terms.up_share } else { terms.down_share };
        if usable < enough {
            return match *keep_last && !standing.others {
                true => (Stance::Depreferenced, Reason::LastAnnouncer),
                false => (Stance::Withdrawn, Reason::TooLittleUsable),
            };
        }
        if health.list_age_ms > terms.stale_ms {
            (Stance::Depreferenced, Reason::ListStale)
        } else if !health.places {
            (Stance::Depreferenced, Reason::NoPlaces)
        } else if health.pressure >= terms.pressure {
            (Stance::Depreferenced, Reason::DoorPressed)
        } else {
            (Stance::Announced, Reason::Serves)
        }
    }

    /// When what is asked for has lasted long enough to count.
    fn lasts_until(&self, standing: &Standing) -> f64 {
        let (stance, _) = standing.asked;
        if stance == standing.stance {
            return f64::INFINITY;
        }
        if stance < standing.stance {
            return standing.since + self.terms.down_ms;
        }
        let full = self.changes.len() >= self.terms.changes.max(1) as usize;
        let nth = self.changes.len().saturating_sub(self.terms.changes.max(1) as usize);
        let room = if full { self.changes[nth] + MINUTE_MS } else { 0.0 };
        (standing.since + self.terms.up_ms).max(room)
    }

    fn weigh(&mut self, address: usize, out: &mut Vec<Effect>) {
        while self.changes.front().is_some_and(|at| *at <= self.now - MINUTE_MS) {
            self.changes.pop_front();
        }
        let asked = self.asks(address);
        let now = self.now;
        let standing = &mut self.addresses[address];
        // Worse still does not begin anew what is worse already; so with better.
        let side = |stance: Stance| stance.cmp(&standing.stance);
        if side(asked.0) != side(standing.asked.0) {
            standing.since = now;
        }
        standing.asked = asked;
        let (stance, reason) = asked;
        if stance == standing.stance {
            standing.reason = reason;
            return;
        }
        if now >= self.lasts_until(&self.addresses[address]) {
            self.stand(address, stance, reason, out);
            self.addresses[address].since = now;
        }
    }
}
