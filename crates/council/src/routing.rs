//! Link-state routing between members whose direct path is cut: over one or several other members.
//!
//! Each member periodically sends its link state, the members that it receives packets from, to all others,
//! together with the link states that it received from them. From these each member computes which paths work
//! in which direction, and sends over the shortest route. This guards against partial partitions, in which
//! members are connected to different subsets: without relaying, consensus would stop once the leader fails,
//! although every member can reach every other one over some route.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::MemberId;

/// Interval at which link states are sent.
const SEND_INTERVAL_MS: f64 = 100.0;
/// A member from which no packet arrived for this long counts as unreachable. A few link states may be lost
/// within this time.
const HEARD_TIMEOUT_MS: f64 = 450.0;
/// Validity of a link state.
const LINK_STATE_VALIDITY_MS: f64 = 1000.0;
/// Largest consensus group, including members that are being replaced.
const MAX_MEMBERS: usize = 16;

/// The members that one member receives packets from over direct paths, as reported by itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkState {
    pub member: MemberId,
    /// Identifies the member's process; differs between its starts.
    pub start: u64,
    /// Grows with each report of one process.
    pub sequence: u64,
    pub hears: Vec<MemberId>,
    /// Age of the report if another member forwards it, otherwise zero.
    pub age_ms: u32,
}

/// What one member sends to another over the direct path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// All link states that the sender holds.
    LinkStates(Vec<LinkState>),
    /// A message for a member. A receiver other than that member forwards it.
    Message { to: MemberId, bytes: Vec<u8>, hops_left: u8 },
}

/// What the caller has to do with a received packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    Nothing,
    /// Handle a message for this member.
    Message(Vec<u8>),
    /// Send a packet to this member over the direct path.
    Forward(MemberId, Packet),
}

/// A packet, and the member to send it to over the direct path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutedPacket {
    pub next: MemberId,
    pub packet: Packet,
}

#[derive(Clone, Debug)]
struct KnownLinkState {
    start: u64,
    sequence: u64,
    hears: BTreeSet<MemberId>,
    /// Time of the report, by this member's clock.
    reported_at_ms: f64,
}

/// Computes the routes of one member from the link states of all members.
#[derive(Clone, Debug)]
pub struct Router {
    member: MemberId,
    start: u64,
    sequence: u64,
    /// The other members.
    members: BTreeSet<MemberId>,
    /// When the last packet from each member arrived over its direct path.
    heard_at_ms: BTreeMap<MemberId, f64>,
    link_states: BTreeMap<MemberId, KnownLinkState>,
    next_send_ms: f64,
}

impl Router {
    /// `start` has to differ between the starts of one member.
    pub fn new(member: MemberId, members: impl IntoIterator<Item = MemberId>, start: u64) -> Self {
        let mut router = Self {
            member,
            start,
            sequence: 0,
            members: BTreeSet::new(),
            heard_at_ms: BTreeMap::new(),
            link_states: BTreeMap::new(),
            next_send_ms: 0.0,
        };
        router.set_members(members);
        router
    }

    /// Sets the members of the group. It may include this member.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = MemberId>) {
        self.members = members.into_iter().filter(|m| *m != self.member).take(MAX_MEMBERS).collect();
        self.heard_at_ms.retain(|member, _| self.members.contains(member));
        self.link_states.retain(|member, _| self.members.contains(member));
    }

    /// Returns the packet to send to all other members over their direct paths, if one is due.
    pub fn tick(&mut self, now_ms: f64) -> Option<Packet> {
        if now_ms < self.next_send_ms {
            return None;
        }
        self.next_send_ms = now_ms + SEND_INTERVAL_MS;
        self.sequence += 1;
        let own = LinkState {
            member: self.member,
            start: self.start,
            sequence: self.sequence,
            hears: self.heard_members(now_ms).collect(),
            age_ms: 0,
        };
        let valid = self
            .link_states
            .iter()
            .filter(|(_, known)| now_ms - known.reported_at_ms <= LINK_STATE_VALIDITY_MS);
        let others = valid.map(|(member, known)| LinkState {
            member: *member,
            start: known.start,
            sequence: known.sequence,
            hears: known.hears.iter().copied().collect(),
            age_ms: (now_ms - known.reported_at_ms).max(0.0) as u32,
        });
        Some(Packet::LinkStates(std::iter::once(own).chain(others).collect()))
    }

    fn heard_members(&self, now_ms: f64) -> impl Iterator<Item = MemberId> {
        self.heard_at_ms
            .iter()
            .filter(move |(_, at_ms)| now_ms - **at_ms <= HEARD_TIMEOUT_MS)
            .map(|(member, _)| *member)
    }

    /// Handles a packet that arrived over the direct path from a member.
    pub fn receive(&mut self, now_ms: f64, from: MemberId, packet: Packet) -> Received {
        if !self.members.contains(&from) {
            return Received::Nothing;
        }
        self.heard_at_ms.insert(from, now_ms);
        match packet {
            Packet::LinkStates(link_states) => {
                for link_state in link_states.into_iter().take(MAX_MEMBERS + 1) {
                    self.update_link_state(now_ms, link_state);
                }
                Received::Nothing
            }
            Packet::Message { to, bytes, .. } if to == self.member => Received::Message(bytes),
            Packet::Message { to, bytes, hops_left } => {
                let Some(hops_left) = hops_left.checked_sub(1) else { return Received::Nothing };
                let Some(next) = self.next_hop(now_ms, to) else { return Received::Nothing };
                Received::Forward(next, Packet::Message { to, bytes, hops_left })
            }
        }
    }

    fn update_link_state(&mut self, now_ms: f64, link_state: LinkState) {
        if !self.members.contains(&link_state.member) || link_state.hears.len() > MAX_MEMBERS {
            return;
        }
        let reported_at_ms = now_ms - f64::from(link_state.age_ms);
        let is_newer = |known: &KnownLinkState| {
            if known.start == link_state.start {
                known.sequence < link_state.sequence
            } else {
                // Of two processes of a member, the one that reported later runs; the other one has ended.
                known.reported_at_ms < reported_at_ms
            }
        };
        if self.link_states.get(&link_state.member).is_none_or(is_newer) {
            let known = KnownLinkState {
                start: link_state.start,
                sequence: link_state.sequence,
                hears: link_state.hears.into_iter().collect(),
                reported_at_ms,
            };
            self.link_states.insert(link_state.member, known);
        }
    }

    /// Wraps a message for a member. If no route is known, the direct path to the receiver is tried.
    pub fn send(&self, now_ms: f64, to: MemberId, bytes: Vec<u8>) -> RoutedPacket {
        let next = self.next_hop(now_ms, to).unwrap_or(to);
        RoutedPacket { next, packet: Packet::Message { to, bytes, hops_left: self.members.len() as u8 } }
    }

    /// The first hop of the shortest route, by breadth-first search.
    fn next_hop(&self, now_ms: f64, to: MemberId) -> Option<MemberId> {
        // Whether the direct path works in this direction, by the receiver's link state.
        let works = |receiver: MemberId, sender: MemberId| {
            let known = self.link_states.get(&receiver);
            known
                .filter(|known| now_ms - known.reported_at_ms <= LINK_STATE_VALIDITY_MS)
                .is_some_and(|known| known.hears.contains(&sender))
        };
        let mut seen = BTreeSet::from([self.member]);
        // First hop and last member of each route found so far.
        let mut routes: VecDeque<(MemberId, MemberId)> = VecDeque::new();
        for first in self.members.iter().copied().filter(|first| works(*first, self.member)) {
            seen.insert(first);
            routes.push_back((first, first));
        }
        while let Some((first, last)) = routes.pop_front() {
            if last == to {
                return Some(first);
            }
            for next in self.members.iter().copied().filter(|next| works(*next, last)) {
                if seen.insert(next) {
                    routes.push_back((first, next));
                }
            }
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Creates the routers of members 1 to n and exchanges link states over the working paths for some
    /// rounds. Returns them with the time.
    fn exchange_link_states(
        n: u64,
        works: impl Fn(MemberId, MemberId) -> bool,
        rounds: u32,
    ) -> (Vec<Router>, f64) {
        let mut routers: Vec<Router> = (1..=n).map(|member| Router::new(member, 1..=n, member)).collect();
        let mut now_ms = 0.0;
        for _ in 0..rounds {
            let packets: Vec<Option<Packet>> = routers.iter_mut().map(|router| router.tick(now_ms)).collect();
            for (from, packet) in (1..=n).zip(packets) {
                for to in (1..=n).filter(|to| *to != from && works(from, *to)) {
                    if let Some(packet) = packet.clone() {
                        let received = routers[to as usize - 1].receive(now_ms, from, packet);
                        assert_eq!(received, Received::Nothing);
                    }
                }
            }
            now_ms += SEND_INTERVAL_MS;
        }
        (routers, now_ms)
    }

    /// The members that a message passes, including its receiver.
    fn route(routers: &mut [Router], now_ms: f64, from: MemberId, to: MemberId) -> Vec<MemberId> {
        let RoutedPacket { next: mut current, mut packet } =
            routers[from as usize - 1].send(now_ms, to, vec![7]);
        let mut previous = from;
        let mut route = vec![current];
        while let Received::Forward(next, forwarded) =
            routers[current as usize - 1].receive(now_ms, previous, packet)
        {
            previous = current;
            current = next;
            packet = forwarded;
            route.push(current);
        }
        route
    }

    #[test]
    fn shortest_route() {
        let (mut routers, now_ms) = exchange_link_states(3, |_, _| true, 3);
        assert_eq!(route(&mut routers, now_ms, 1, 3), [3]);
        // Only one direction is cut: the other one stays direct.
        let (mut routers, now_ms) = exchange_link_states(3, |a, b| (a, b) != (1, 3), 5);
        assert_eq!(route(&mut routers, now_ms, 1, 3), [2, 3]);
        assert_eq!(route(&mut routers, now_ms, 3, 1), [1]);
        // A ring of seven that works in one direction: the route from 1 to 7 passes all members.
        let (mut routers, now_ms) = exchange_link_states(7, |a, b| b == a % 7 + 1, 20);
        assert_eq!(route(&mut routers, now_ms, 1, 7), [2, 3, 4, 5, 6, 7]);
        assert_eq!(route(&mut routers, now_ms, 7, 1), [1]);
    }

    #[test]
    fn stale_link_states_and_unknown_members() {
        let (mut routers, now_ms) = exchange_link_states(3, |a, b| (a, b) != (1, 3), 5);
        let late_ms = now_ms + LINK_STATE_VALIDITY_MS + HEARD_TIMEOUT_MS;
        assert_eq!(routers[0].send(late_ms, 3, Vec::new()).next, 3, "no route is known: the direct path");
        let from_unknown = Packet::Message { to: 1, bytes: vec![1], hops_left: 3 };
        assert_eq!(routers[0].receive(late_ms, 9, from_unknown), Received::Nothing);
        let forged = LinkState { member: 9, start: 1, sequence: 1, hears: vec![1], age_ms: 0 };
        routers[0].receive(late_ms, 2, Packet::LinkStates(vec![forged]));
        assert!(!routers[0].link_states.contains_key(&9));
    }

    #[test]
    fn routing_loop() {
        let mut router = Router::new(1, 1..=3, 1);
        let forged = |member, hears| LinkState { member, start: 1, sequence: 1, hears, age_ms: 0 };
        let link_states = Packet::LinkStates(vec![forged(2, vec![1, 3]), forged(3, vec![2])]);
        router.receive(0.0, 2, link_states);
        let message = |hops_left| Packet::Message { to: 3, bytes: vec![1], hops_left };
        assert_eq!(router.receive(0.0, 2, message(1)), Received::Forward(2, message(0)));
        assert_eq!(router.receive(0.0, 2, message(0)), Received::Nothing);
    }
}
