//! Adj-RIB-Out (RFC 4271 section 3.2): what a peer is to hold, and what it does.
//!
//! Changes are kept by prefix and not in a queue: a route that changes ten times before the peer reads is sent once, and a
//! peer that stops reading costs no more than the routes there are. [`Trie`] is a path-compressed binary trie; against a
//! `BTreeMap` it was measured in `benches/rib.rs`, figures in `docs/bgp.md`.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};

use crate::message::{Attributes, Update};

/// Prefixes of both families to values. Every inner node that holds no value has two children.
#[derive(Clone, Debug)]
pub struct Trie<V> {
    nodes: Vec<Node<V>>,
    spare: Vec<u32>,
    /// The roots of IPv4 and of IPv6.
    roots: [u32; 2],
    count: usize,
}

#[derive(Clone, Debug)]
struct Node<V> {
    /// Bits from the top, zeros after `len`.
    bits: u128,
    len: u8,
    children: [u32; 2],
    value: Option<V>,
}

const NONE: u32 = u32::MAX;

fn key(prefix: &IpNet) -> (usize, u128, u8) {
    match prefix.trunc() {
        IpNet::V4(net) => (0, u128::from(u32::from(net.addr())) << 96, net.prefix_len()),
        IpNet::V6(net) => (1, u128::from(net.addr()), net.prefix_len()),
    }
}

fn prefix(family: usize, bits: u128, len: u8) -> Option<IpNet> {
    match family {
        0 => Ipv4Net::new(Ipv4Addr::from((bits >> 96) as u32), len).ok().map(IpNet::V4),
        _ => Ipv6Net::new(Ipv6Addr::from(bits), len).ok().map(IpNet::V6),
    }
}

fn bit(bits: u128, at: u8) -> usize {
    (bits >> (127 - u32::from(at)) & 1) as usize
}

fn mask(bits: u128, len: u8) -> u128 {
    if len == 0 { 0 } else { bits & (u128::MAX << (128 - u32::from(len))) }
}

fn common(a: u128, b: u128, most: u8) -> u8 {
    ((a ^ b).leading_zeros() as u8).min(most)
}

impl<V> Default for Trie<V> {
    fn default() -> Self {
        Self { nodes: Vec::new(), spare: Vec::new(), roots: [NONE; 2], count: 0 }
    }
}

impl<V> Trie<V> {
    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn node(&mut self, node: Node<V>) -> u32 {
        match self.spare.pop() {
            Some(at) => {
                self.nodes[at as usize] = node;
                at
            }
            None => {
                self.nodes.push(node);
                self.nodes.len() as u32 - 1
            }
        }
    }

    /// Sets the value of a prefix; what it was.
    pub fn insert(&mut self, at: &IpNet, value: V) -> Option<V> {
        let (family, bits, len) = key(at);
        let leaf = |value| Node { bits, len, children: [NONE; 2], value: Some(value) };
        let (mut above, mut here) = (None, self.roots[family]);
        let place = loop {
            if here == NONE {
                break self.node(leaf(value));
            }
            let Node { bits: there, len: there_len, .. } = self.nodes[here as usize];
            let shared = common(bits, there, len.min(there_len));
            if shared == there_len && shared == len {
                let old = self.nodes[here as usize].value.replace(value);
                self.count += usize::from(old.is_none());
                return old;
            }
            if shared == there_len {
                let side = bit(bits, shared);
                above = Some((here, side));
                here = self.nodes[here as usize].children[side];
                continue;
            }
            let mut children = [NONE; 2];
            children[bit(there, shared)] = here;
            if shared == len {
                break self.node(Node { children, ..leaf(value) });
            }
            children[bit(bits, shared)] = self.node(leaf(value));
            break self.node(Node { bits: mask(bits, shared), len: shared, children, value: None });
        };
        match above {
            Some((node, side)) => self.nodes[node as usize].children[side] = place,
            None => self.roots[family] = place,
        }
        self.count += 1;
        None
    }

    fn find(&self, at: &IpNet) -> Option<u32> {
        let (family, bits, len) = key(at);
        let mut here = self.roots[family];
        while here != NONE {
            let node = &self.nodes[here as usize];
            if node.len > len || mask(bits, node.len) != node.bits {
                return None;
            }
            if node.len == len {
                return node.value.is_some().then_some(here);
            }
            here = node.children[bit(bits, node.len)];
        }
        None
    }

    pub fn get(&self, at: &IpNet) -> Option<&V> {
        self.find(at).and_then(|node| self.nodes[node as usize].value.as_ref())
    }

    pub fn get_mut(&mut self, at: &IpNet) -> Option<&mut V> {
        self.find(at).and_then(|node| self.nodes[node as usize].value.as_mut())
    }

    /// The longest prefix that covers an address.
    pub fn covering(&self, address: IpAddr) -> Option<(IpNet, &V)> {
        let (family, bits, most) = key(&IpNet::from(address));
        let (mut here, mut found) = (self.roots[family], None);
        while here != NONE {
            let node = &self.nodes[here as usize];
            if node.len > most || mask(bits, node.len) != node.bits {
                break;
            }
            if let Some(value) = &node.value {
                found = prefix(family, node.bits, node.len).map(|p| (p, value));
            }
            if node.len == most {
                break;
            }
            here = node.children[bit(bits, node.len)];
        }
        found
    }

    /// Takes a prefix out; what it was. Nodes that then serve nothing are used again.
    pub fn remove(&mut self, at: &IpNet) -> Option<V> {
        let (family, bits, len) = key(at);
        let mut way: Vec<(u32, usize)> = Vec::new();
        let mut here = self.roots[family];
        loop {
            let node = self.nodes.get(here as usize).filter(|_| here != NONE)?;
            if node.len > len || mask(bits, node.len) != node.bits {
                return None;
            }
            if node.len == len {
                break;
            }
            let side = bit(bits, node.len);
            way.push((here, side));
            here = node.children[side];
        }
        let old = self.nodes[here as usize].value.take()?;
        self.count -= 1;
        // A node without value stays only where it parts two ways.
        loop {
            let node = &self.nodes[here as usize];
            let instead = match (node.value.is_some(), node.children) {
                (true, _) => break,
                (false, [NONE, NONE]) => NONE,
                (false, [one, NONE]) | (false, [NONE, one]) => one,
                (false, _) => break,
            };
            self.spare.push(here);
            match way.pop() {
                Some((above, side)) => {
                    self.nodes[above as usize].children[side] = instead;
                    here = above;
                }
                None => {
                    self.roots[family] = instead;
                    break;
                }
            }
        }
        Some(old)
    }

    /// All prefixes in order: IPv4 first, a prefix before those that it covers.
    pub fn iter(&self) -> impl Iterator<Item = (IpNet, &V)> {
        let mut stack: Vec<(usize, u32)> = [1, 0].into_iter().map(|f| (f, self.roots[f])).collect();
        std::iter::from_fn(move || {
            while let Some((family, here)) = stack.pop() {
                if here == NONE {
                    continue;
                }
                let node = &self.nodes[here as usize];
                stack.extend([(family, node.children[1]), (family, node.children[0])]);
                if let Some(value) = &node.value {
                    return prefix(family, node.bits, node.len).map(|p| (p, value));
                }
            }
            None
        })
    }
}

/// A route to one peer.
#[derive(Clone, Debug, Default, PartialEq)]
struct Route {
    wanted: Option<Attributes>,
    held: Option<Attributes>,
    /// It is to be told again, though it is held.
    again: bool,
}

/// The routes of one peer.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    routes: Trie<Route>,
    /// Prefixes whose two sides differ.
    changed: BTreeMap<IpNet, ()>,
}

impl Routes {
    /// Says what a peer is to hold of a prefix; nothing, to have it withdrawn.
    pub fn want(&mut self, at: IpNet, attributes: Option<Attributes>) {
        let at = at.trunc();
        if self.routes.get(&at).is_none() {
            if attributes.is_none() {
                return;
            }
            self.routes.insert(&at, Route::default());
        }
        let Some(route) = self.routes.get_mut(&at) else { return };
        route.wanted = attributes;
        route.again &= route.wanted.is_some();
        let same = route.wanted == route.held && !route.again;
        let unused = route.wanted.is_none() && route.held.is_none();
        match same {
            true => self.changed.remove(&at),
            false => self.changed.insert(at, ()),
        };
        if unused {
            self.routes.remove(&at);
        }
    }

    /// The peer has lost its session, and with it all routes; all that is wanted is to be told again.
    pub fn lost(&mut self) {
        let all: Vec<(IpNet, Option<Attributes>)> =
            self.routes.iter().map(|(at, route)| (at, route.wanted.clone())).collect();
        *self = Self::default();
        all.into_iter().for_each(|(at, wanted)| self.want(at, wanted));
    }

    /// The peer wants to be told again what it holds (RFC 2918).
    pub fn again(&mut self, which: impl Fn(&IpNet) -> bool) {
        let all: Vec<IpNet> = self.routes.iter().map(|r| r.0).filter(which).collect();
        for at in all {
            if let Some(route) = self.routes.get_mut(&at).filter(|r| r.wanted.is_some()) {
                route.again = true;
                self.changed.insert(at, ());
            }
        }
    }

    /// What is to be sent now, withdrawals first, routes of the same attributes together; it counts as held from then on.
    pub fn take(&mut self) -> Vec<Update> {
        let mut withdrawn = Vec::new();
        let mut announced: BTreeMap<Attributes, Vec<IpNet>> = BTreeMap::new();
        for (at, ()) in std::mem::take(&mut self.changed) {
            let Some(route) = self.routes.get_mut(&at) else { continue };
            route.held.clone_from(&route.wanted);
            route.again = false;
            match &route.wanted {
                Some(attributes) => announced.entry(attributes.clone()).or_default().push(at),
                None => {
                    withdrawn.push(at);
                    self.routes.remove(&at);
                }
            }
        }
        let mut updates = Vec::new();
        if !withdrawn.is_empty() {
            updates.push(Update { withdrawn, ..Update::default() });
        }
        updates.extend(announced.into_iter().map(|(attributes, announced)| Update {
            withdrawn: Vec::new(),
            announced,
            attributes: Some(attributes),
        }));
        updates
    }

    /// Whether something is to be sent.
    pub fn changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Prefixes that the peer holds, as far as it was told.
    pub fn held(&self) -> Vec<IpNet> {
        self.routes.iter().filter(|(_, r)| r.held.is_some()).map(|(at, _)| at).collect()
    }
}
