//! Adj-RIB-Out (RFC 4271 section 3.2): the routes wanted for a peer and those sent to it.
//!
//! Pending changes are stored by prefix, not in a queue: a route that changes ten times before it can be sent is sent once,
//! and the memory for a peer that stops reading is bounded by the number of routes. [`Trie`] is a path-compressed
//! binary trie; `benches/rib.rs` compares it with a `BTreeMap`, with results in `docs/bgp.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};

use crate::message::{Attributes, Update};

/// Map from prefixes of both address families to values. Every node without a value has two children.
#[derive(Clone, Debug)]
pub struct Trie<V> {
    nodes: Vec<Node<V>>,
    /// Indices of unused nodes.
    free: Vec<u32>,
    /// The roots of IPv4 and of IPv6.
    roots: [u32; 2],
    count: usize,
}

#[derive(Clone, Debug)]
struct Node<V> {
    /// Prefix bits from the most significant on; zero after `len`.
    bits: u128,
    len: u8,
    children: [u32; 2],
    value: Option<V>,
}

/// Index that means no node.
const NO_NODE: u32 = u32::MAX;

/// Family index, left-aligned address bits and length of a prefix.
fn key(prefix: &IpNet) -> (usize, u128, u8) {
    match prefix.trunc() {
        IpNet::V4(net) => (0, u128::from(u32::from(net.addr())) << 96, net.prefix_len()),
        IpNet::V6(net) => (1, u128::from(net.addr()), net.prefix_len()),
    }
}

fn to_prefix(family: usize, bits: u128, len: u8) -> Option<IpNet> {
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

/// Length of the common prefix of two bit strings, at most `max_len`.
fn common_len(a: u128, b: u128, max_len: u8) -> u8 {
    ((a ^ b).leading_zeros() as u8).min(max_len)
}

impl<V> Default for Trie<V> {
    fn default() -> Self {
        Self { nodes: Vec::new(), free: Vec::new(), roots: [NO_NODE; 2], count: 0 }
    }
}

impl<V> Trie<V> {
    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn add_node(&mut self, node: Node<V>) -> u32 {
        match self.free.pop() {
            Some(index) => {
                self.nodes[index as usize] = node;
                index
            }
            None => {
                self.nodes.push(node);
                self.nodes.len() as u32 - 1
            }
        }
    }

    /// Sets the value of a prefix and returns the previous one.
    pub fn insert(&mut self, prefix: &IpNet, value: V) -> Option<V> {
        let (family, bits, len) = key(prefix);
        let leaf = |value| Node { bits, len, children: [NO_NODE; 2], value: Some(value) };
        let mut parent = None;
        let mut current = self.roots[family];
        let inserted = loop {
            if current == NO_NODE {
                break self.add_node(leaf(value));
            }
            let Node { bits: node_bits, len: node_len, .. } = self.nodes[current as usize];
            let shared = common_len(bits, node_bits, len.min(node_len));
            // The node has this prefix.
            if shared == node_len && shared == len {
                let old = self.nodes[current as usize].value.replace(value);
                self.count += usize::from(old.is_none());
                return old;
            }
            // The node contains the prefix.
            if shared == node_len {
                let side = bit(bits, shared);
                parent = Some((current, side));
                current = self.nodes[current as usize].children[side];
                continue;
            }
            // The node becomes a child, either of the prefix that contains it or of a new node without a value.
            let mut children = [NO_NODE; 2];
            children[bit(node_bits, shared)] = current;
            if shared == len {
                break self.add_node(Node { children, ..leaf(value) });
            }
            children[bit(bits, shared)] = self.add_node(leaf(value));
            break self.add_node(Node { bits: mask(bits, shared), len: shared, children, value: None });
        };
        match parent {
            Some((node, side)) => self.nodes[node as usize].children[side] = inserted,
            None => self.roots[family] = inserted,
        }
        self.count += 1;
        None
    }

    fn find(&self, prefix: &IpNet) -> Option<u32> {
        let (family, bits, len) = key(prefix);
        let mut current = self.roots[family];
        while current != NO_NODE {
            let node = &self.nodes[current as usize];
            if node.len > len || mask(bits, node.len) != node.bits {
                return None;
            }
            if node.len == len {
                return node.value.is_some().then_some(current);
            }
            current = node.children[bit(bits, node.len)];
        }
        None
    }

    pub fn get(&self, prefix: &IpNet) -> Option<&V> {
        self.find(prefix).and_then(|node| self.nodes[node as usize].value.as_ref())
    }

    pub fn get_mut(&mut self, prefix: &IpNet) -> Option<&mut V> {
        self.find(prefix).and_then(|node| self.nodes[node as usize].value.as_mut())
    }

    /// The longest prefix that contains an address.
    pub fn longest_match(&self, address: IpAddr) -> Option<(IpNet, &V)> {
        let (family, bits, max_len) = key(&IpNet::from(address));
        let mut current = self.roots[family];
        let mut found = None;
        while current != NO_NODE {
            let node = &self.nodes[current as usize];
            if node.len > max_len || mask(bits, node.len) != node.bits {
                break;
            }
            if let Some(value) = &node.value {
                found = to_prefix(family, node.bits, node.len).map(|p| (p, value));
            }
            if node.len == max_len {
                break;
            }
            current = node.children[bit(bits, node.len)];
        }
        found
    }

    /// Removes a prefix and returns its value. Nodes that are no longer needed are reused.
    pub fn remove(&mut self, prefix: &IpNet) -> Option<V> {
        let (family, bits, len) = key(prefix);
        let mut path: Vec<(u32, usize)> = Vec::new();
        let mut current = self.roots[family];
        loop {
            let node = self.nodes.get(current as usize).filter(|_| current != NO_NODE)?;
            if node.len > len || mask(bits, node.len) != node.bits {
                return None;
            }
            if node.len == len {
                break;
            }
            let side = bit(bits, node.len);
            path.push((current, side));
            current = node.children[side];
        }
        let old = self.nodes[current as usize].value.take()?;
        self.count -= 1;
        // A node without a value is kept only if it has two children.
        loop {
            let node = &self.nodes[current as usize];
            let replacement = match (node.value.is_some(), node.children) {
                (true, _) => break,
                (false, [NO_NODE, NO_NODE]) => NO_NODE,
                (false, [one, NO_NODE]) | (false, [NO_NODE, one]) => one,
                (false, _) => break,
            };
            self.free.push(current);
            match path.pop() {
                Some((parent, side)) => {
                    self.nodes[parent as usize].children[side] = replacement;
                    current = parent;
                }
                None => {
                    self.roots[family] = replacement;
                    break;
                }
            }
        }
        Some(old)
    }

    /// All prefixes in order: IPv4 first, a prefix before those that it contains.
    pub fn iter(&self) -> impl Iterator<Item = (IpNet, &V)> {
        let mut stack: Vec<(usize, u32)> = [1, 0].into_iter().map(|f| (f, self.roots[f])).collect();
        std::iter::from_fn(move || {
            while let Some((family, current)) = stack.pop() {
                if current == NO_NODE {
                    continue;
                }
                let node = &self.nodes[current as usize];
                stack.extend([(family, node.children[1]), (family, node.children[0])]);
                if let Some(value) = &node.value {
                    return to_prefix(family, node.bits, node.len).map(|p| (p, value));
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
    sent: Option<Attributes>,
    /// The route has to be sent again even if it is unchanged.
    resend: bool,
}

/// The Adj-RIB-Out of one peer.
#[derive(Clone, Debug, Default)]
pub struct AdjRibOut {
    routes: Trie<Route>,
    /// Prefixes with a change to send.
    pending: BTreeSet<IpNet>,
}

impl AdjRibOut {
    /// Sets the route wanted for a prefix; `None` withdraws it.
    pub fn set(&mut self, prefix: IpNet, attributes: Option<Attributes>) {
        let prefix = prefix.trunc();
        if self.routes.get(&prefix).is_none() {
            if attributes.is_none() {
                return;
            }
            self.routes.insert(&prefix, Route::default());
        }
        let Some(route) = self.routes.get_mut(&prefix) else { return };
        route.wanted = attributes;
        route.resend &= route.wanted.is_some();
        let is_current = route.wanted == route.sent && !route.resend;
        let is_unused = route.wanted.is_none() && route.sent.is_none();
        if is_current {
            self.pending.remove(&prefix);
        } else {
            self.pending.insert(prefix);
        }
        if is_unused {
            self.routes.remove(&prefix);
        }
    }

    /// The session has ended and the peer has dropped all routes: all wanted routes have to be sent again.
    pub fn session_lost(&mut self) {
        let all: Vec<(IpNet, Option<Attributes>)> =
            self.routes.iter().map(|(prefix, route)| (prefix, route.wanted.clone())).collect();
        *self = Self::default();
        all.into_iter().for_each(|(prefix, wanted)| self.set(prefix, wanted));
    }

    /// The peer has requested the selected routes again (RFC 2918).
    pub fn resend(&mut self, selected: impl Fn(&IpNet) -> bool) {
        let prefixes: Vec<IpNet> = self.routes.iter().map(|r| r.0).filter(selected).collect();
        for prefix in prefixes {
            if let Some(route) = self.routes.get_mut(&prefix).filter(|r| r.wanted.is_some()) {
                route.resend = true;
                self.pending.insert(prefix);
            }
        }
    }

    /// Takes the pending changes: withdrawals first, then the routes grouped by attributes. They count as sent from then on.
    pub fn take_updates(&mut self) -> Vec<Update> {
        let mut withdrawn = Vec::new();
        let mut announced: BTreeMap<Attributes, Vec<IpNet>> = BTreeMap::new();
        for prefix in std::mem::take(&mut self.pending) {
            let Some(route) = self.routes.get_mut(&prefix) else { continue };
            route.sent.clone_from(&route.wanted);
            route.resend = false;
            match &route.wanted {
                Some(attributes) => announced.entry(attributes.clone()).or_default().push(prefix),
                None => {
                    withdrawn.push(prefix);
                    self.routes.remove(&prefix);
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

    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Prefixes of the routes sent to the peer.
    pub fn advertised(&self) -> Vec<IpNet> {
        self.routes.iter().filter(|(_, r)| r.sent.is_some()).map(|(prefix, _)| prefix).collect()
    }
}
