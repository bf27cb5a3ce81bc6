//! The section `bgp` of the settings file: announcements of service addresses over BGP.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use ipnet::IpNet;

use crate::keys::{once, pair, parsed, share};
use crate::sexpr::{Node, ParseError, unexpected_name};

/// A threshold for the servable share, and how long the share has to be beyond it before the change applies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Threshold {
    pub share: f64,
    pub after_ms: f64,
}

/// Phases of a drain: depreferenced, then withdrawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainPhases {
    pub depreferenced_ms: f64,
    pub withdrawn_ms: f64,
}

/// Attribute value of announced and of depreferenced routes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ByPreference {
    pub preferred: u32,
    pub depreferenced: u32,
}

/// The section `bgp`. Fields have the names of their keys unless noted.
#[derive(Clone, Debug, PartialEq)]
pub struct BgpSettings {
    /// Key `as`.
    pub asn: u32,
    /// BGP Identifier.
    pub id: Ipv4Addr,
    /// Read at start only.
    pub listen: Option<SocketAddr>,
    pub peers: Vec<BgpPeer>,
    pub addresses: Vec<BgpAddress>,
    /// Announced from this servable share on.
    pub up: Threshold,
    /// Withdrawn below this servable share.
    pub down: Threshold,
    /// Milliseconds without a message from discovery after which addresses are depreferenced.
    pub stale_ms: f64,
    /// Share of scans rejected at admission from which on addresses are depreferenced.
    pub pressure: f64,
    /// Changes per minute, above which no address improves.
    pub changes: u32,
    pub drain: DrainPhases,
    pub communities: Vec<u32>,
    /// Global Administrator and two Local Data Parts of each (RFC 8092).
    pub large_communities: Vec<(u32, u32, u32)>,
    pub med: ByPreference,
    pub local_pref: ByPreference,
    /// Number of times the own AS is prepended to the path of depreferenced routes, in addition to the usual one.
    pub prepend: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub struct BgpPeer {
    pub address: SocketAddr,
    pub asn: u32,
    /// Key `hold`.
    pub hold_time_s: u16,
    pub next_hop: IpAddr,
    /// Only the peer opens connections.
    pub passive: bool,
    /// Time between attempts to connect; key `retry`.
    pub connect_retry_ms: f64,
    /// Idle hold time after the first and the second flap; key `rest`.
    pub idle_hold_ms: f64,
    /// Routes that the peer may announce; key `routes`.
    pub max_routes: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub struct BgpAddress {
    pub prefix: IpNet,
    pub keep_last: bool,
    /// Names of table types; empty for all.
    pub table_types: Vec<String>,
}

const KEYS: [&str; 16] = [
    "as",
    "id",
    "listen",
    "peer",
    "announce",
    "up",
    "down",
    "stale",
    "pressure",
    "changes",
    "drain",
    "communities",
    "large-communities",
    "med",
    "local-pref",
    "prepend",
];

/// Maximum number of communities of a route. With more, its attributes would leave little room for prefixes in a message.
const MAX_COMMUNITIES: usize = 32;
/// Maximum number of peers, and of addresses.
const MAX_ENTRIES: usize = 64;

impl BgpSettings {
    pub(crate) fn read(section: &Node, keys: &[Node]) -> Result<Self, ParseError> {
        let mut asn = None;
        let mut id = None;
        let mut seen = Vec::new();
        let mut bgp = Self {
            asn: 0,
            id: Ipv4Addr::UNSPECIFIED,
            listen: None,
            peers: Vec::new(),
            addresses: Vec::new(),
            up: Threshold { share: 0.9, after_ms: 5000.0 },
            down: Threshold { share: 0.5, after_ms: 1000.0 },
            stale_ms: 30_000.0,
            pressure: 0.5,
            changes: 6,
            drain: DrainPhases { depreferenced_ms: 2000.0, withdrawn_ms: 5000.0 },
            communities: Vec::new(),
            large_communities: Vec::new(),
            med: ByPreference { preferred: 0, depreferenced: 1000 },
            local_pref: ByPreference { preferred: 100, depreferenced: 0 },
            prepend: 2,
        };
        for node in keys {
            let (key, values) = node.head_and_args("a key of bgp, as (as 64512)")?;
            if !matches!(key, "peer" | "announce") {
                once(&mut seen, node, format!("bgp {key}"))?;
            }
            match (key, values) {
                ("as", [value]) => asn = Some(value.integer("bgp as", 1, u32::MAX - 1)?),
                ("id", [value]) => id = Some(parsed(value, "bgp id, an IPv4 address")?),
                ("listen", [value]) => bgp.listen = Some(parsed(value, "bgp listen, an address and port")?),
                ("peer", values) => bgp.add_peer(node, BgpPeer::read(node, values)?)?,
                ("announce", [prefix, options @ ..]) => {
                    bgp.add_address(prefix, BgpAddress::read(prefix, options)?)?;
                }
                ("up", [share, after]) => bgp.up = threshold("bgp up", share, after)?,
                ("down", [share, after]) => bgp.down = threshold("bgp down", share, after)?,
                ("stale", [age]) => bgp.stale_ms = age.duration_ms("bgp stale")?,
                ("pressure", [value]) => bgp.pressure = share(value, "bgp pressure")?,
                ("changes", [count]) => bgp.changes = count.integer("bgp changes", 1, 1000)?,
                ("drain", [depreferenced, withdrawn]) => {
                    bgp.drain = DrainPhases {
                        depreferenced_ms: depreferenced.duration_ms("bgp drain")?,
                        withdrawn_ms: withdrawn.duration_ms("bgp drain")?,
                    };
                }
                ("communities", values) if values.len() <= MAX_COMMUNITIES => {
                    bgp.communities = values.iter().map(community).collect::<Result<_, _>>()?;
                }
                ("large-communities", values) if values.len() <= MAX_COMMUNITIES => {
                    bgp.large_communities = values.iter().map(large_community).collect::<Result<_, _>>()?;
                }
                ("med", [preferred, depreferenced]) => {
                    bgp.med = by_preference("bgp med", preferred, depreferenced)?;
                }
                ("local-pref", [preferred, depreferenced]) => {
                    bgp.local_pref = by_preference("bgp local-pref", preferred, depreferenced)?;
                }
                ("prepend", [count]) => bgp.prepend = count.integer("bgp prepend", 0, 16)?,
                (key, values) if KEYS.contains(&key) => {
                    return Err(node.error(format!("{key} has {} values, which do not fit it", values.len())));
                }
                (other, _) => return Err(unexpected_name(node, other, &KEYS)),
            }
        }
        bgp.asn = asn.ok_or_else(|| section.error("expected (as NUMBER) in (bgp ...)"))?;
        bgp.id = id.ok_or_else(|| section.error("expected (id \"ADDRESS\") in (bgp ...)"))?;
        if bgp.down.share > bgp.up.share {
            return Err(section.error("bgp down is a larger share than up"));
        }
        if bgp.listen.is_none() && bgp.peers.iter().any(|p| p.passive) {
            return Err(section.error("a peer is passive, and bgp listen is not set"));
        }
        // The codec expects them in ascending order.
        bgp.communities.sort_unstable();
        bgp.large_communities.sort_unstable();
        Ok(bgp)
    }

    fn add_peer(&mut self, node: &Node, peer: BgpPeer) -> Result<(), ParseError> {
        if self.peers.iter().any(|p| p.address == peer.address) {
            return Err(node.error(format!("peer {} is given twice", peer.address)));
        }
        if self.peers.len() >= MAX_ENTRIES {
            return Err(node.error(format!("over {MAX_ENTRIES} peers")));
        }
        self.peers.push(peer);
        Ok(())
    }

    fn add_address(&mut self, node: &Node, address: BgpAddress) -> Result<(), ParseError> {
        if self.addresses.iter().any(|a| a.prefix == address.prefix) {
            return Err(node.error(format!("{} is announced twice", address.prefix)));
        }
        if self.addresses.len() >= MAX_ENTRIES {
            return Err(node.error(format!("over {MAX_ENTRIES} addresses")));
        }
        self.addresses.push(address);
        Ok(())
    }
}

fn threshold(name: &str, share_node: &Node, after: &Node) -> Result<Threshold, ParseError> {
    Ok(Threshold { share: share(share_node, name)?, after_ms: after.duration_ms(name)? })
}

fn by_preference(name: &str, preferred: &Node, depreferenced: &Node) -> Result<ByPreference, ParseError> {
    Ok(ByPreference {
        preferred: preferred.integer(name, 0, u32::MAX)?,
        depreferenced: depreferenced.integer(name, 0, u32::MAX)?,
    })
}

/// `N` numbers separated by colons, each at most `max`.
fn numbers<const N: usize>(node: &Node, expected: &str, max: u32) -> Result<[u32; N], ParseError> {
    let text = node.string(expected)?;
    let parse = || -> Option<[u32; N]> {
        let numbers: Option<Vec<u32>> = text.split(':').map(|n| n.parse().ok()).collect();
        let numbers: [u32; N] = numbers?.try_into().ok()?;
        numbers.iter().all(|n| *n <= max).then_some(numbers)
    };
    parse().ok_or_else(|| node.error(format!("found \"{text}\", expected {expected}")))
}

/// A community (RFC 1997) with the AS number in its upper half.
fn community(node: &Node) -> Result<u32, ParseError> {
    let [asn, value] = numbers(node, "a community, as 64512:1", u32::from(u16::MAX))?;
    Ok(asn << 16 | value)
}

/// A large community (RFC 8092).
fn large_community(node: &Node) -> Result<(u32, u32, u32), ParseError> {
    let [administrator, data1, data2] = numbers(node, "a large community, as 64512:1:2", u32::MAX)?;
    Ok((administrator, data1, data2))
}

impl BgpPeer {
    fn read(section: &Node, keys: &[Node]) -> Result<Self, ParseError> {
        const KEYS: [&str; 8] = ["address", "as", "hold", "next-hop", "passive", "retry", "rest", "routes"];
        let mut address = None;
        let mut asn = None;
        let mut next_hop = None;
        let mut hold_time_s = 9;
        let mut passive = false;
        let mut connect_retry_ms = 5000.0;
        let mut idle_hold_ms = 5000.0;
        let mut max_routes = 10_000;
        let mut seen = Vec::new();
        for node in keys {
            if let Ok(("passive", [])) = node.head_and_args("") {
                once(&mut seen, node, "peer passive".to_owned())?;
                passive = true;
                continue;
            }
            let (key, value) = pair(node)?;
            once(&mut seen, node, format!("peer {key}"))?;
            match key {
                "address" => address = Some(parsed(value, "peer address, an address and port")?),
                "as" => asn = Some(value.integer("peer as", 1, u32::MAX - 1)?),
                "hold" => {
                    let hold = value.duration_ms("peer hold")? / 1000.0;
                    if !(3.0..=65_535.0).contains(&hold) || hold.fract() != 0.0 {
                        return Err(value.error("expected peer hold, whole seconds from 3s on"));
                    }
                    hold_time_s = hold as u16;
                }
                "next-hop" => next_hop = Some(parsed(value, "peer next-hop, an address")?),
                "retry" => connect_retry_ms = value.duration_ms("peer retry")?,
                "rest" => idle_hold_ms = value.duration_ms("peer rest")?,
                "routes" => max_routes = value.integer("peer routes", 0, u32::MAX)?,
                other => return Err(unexpected_name(node, other, &KEYS)),
            }
        }
        let missing = |key: &str| section.error(format!("expected ({key} ...) in (peer ...)"));
        Ok(Self {
            address: address.ok_or_else(|| missing("address"))?,
            asn: asn.ok_or_else(|| missing("as"))?,
            hold_time_s,
            next_hop: next_hop.ok_or_else(|| missing("next-hop"))?,
            passive,
            connect_retry_ms,
            idle_hold_ms,
            max_routes,
        })
    }
}

impl BgpAddress {
    fn read(prefix: &Node, options: &[Node]) -> Result<Self, ParseError> {
        const EXPECTED: &str = "a prefix, as 198.51.100.1/32";
        let net: IpNet = parsed(prefix, EXPECTED)?;
        let mut keep_last = false;
        let mut table_types = Vec::new();
        let mut seen = Vec::new();
        for node in options {
            let (key, values) = node.head_and_args("(keep-last) or (table-types NAME...)")?;
            once(&mut seen, node, format!("announce {key}"))?;
            match (key, values) {
                ("keep-last", []) => keep_last = true,
                ("table-types", [_, ..]) => {
                    for value in values {
                        let name = value.string("the name of a table type")?.to_owned();
                        once(&mut table_types, value, name)?;
                    }
                }
                ("table-types", []) => return Err(node.error("table-types names none")),
                (other, _) => return Err(unexpected_name(node, other, &["keep-last", "table-types"])),
            }
        }
        Ok(Self { prefix: net.trunc(), keep_last, table_types })
    }
}
