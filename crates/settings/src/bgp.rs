//! The section `bgp`: announcements of service addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use ipnet::IpNet;

use crate::form::{Fault, Node, unexpected};
use crate::keys::{once, pair, parsed, share};

/// Announcements of service addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct Bgp {
    pub asn: u32,
    /// Identifier, and where the file names it.
    pub id: Ipv4Addr,
    /// Counts at a start only.
    pub listen: Option<SocketAddr>,
    pub peers: Vec<BgpPeer>,
    pub addresses: Vec<BgpAddress>,
    /// Shares of what is needed that can be served, and the milliseconds that better and worse have to last.
    pub up: (f64, f64),
    pub down: (f64, f64),
    /// Milliseconds without a word from discovery that depreference.
    pub stale_ms: f64,
    /// Share of scans refused at the door that depreferences.
    pub pressure: f64,
    /// Changes in a minute, beyond which nothing gets better.
    pub changes: u32,
    /// Milliseconds of a drain: depreferenced, then withdrawn.
    pub drain: (f64, f64),
    pub communities: Vec<u32>,
    pub large: Vec<(u32, u32, u32)>,
    /// Of routes that are preferred, and of those that are not.
    pub med: (u32, u32),
    pub local_pref: (u32, u32),
    /// How often the own AS stands in the path beyond once, where a route is not preferred.
    pub prepend: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub struct BgpPeer {
    pub address: SocketAddr,
    pub asn: u32,
    pub hold_s: u16,
    pub next_hop: IpAddr,
    /// The peer opens connections, the mixer does not.
    pub passive: bool,
    /// Milliseconds between attempts to connect, and of the first rest after a fault.
    pub retry_ms: f64,
    pub rest_ms: f64,
    /// Routes that the peer may announce; none is kept.
    pub routes: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub struct BgpAddress {
    pub prefix: IpNet,
    pub keep_last: bool,
    /// Names of table types, with the place of each; all, if none is named.
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

/// Communities that a route may carry: beyond, its attributes would crowd out prefixes.
const MOST_COMMUNITIES: usize = 32;
/// Peers and addresses that one mixer may have.
const MOST: usize = 64;

impl Bgp {
    pub(crate) fn read(whole: &Node, keys: &[Node]) -> Result<Self, Fault> {
        let (mut asn, mut id, mut seen) = (None, None, Vec::new());
        let mut bgp = Self {
            asn: 0,
            id: Ipv4Addr::UNSPECIFIED,
            listen: None,
            peers: Vec::new(),
            addresses: Vec::new(),
            up: (0.9, 5000.0),
            down: (0.5, 1000.0),
            stale_ms: 30_000.0,
            pressure: 0.5,
            changes: 6,
            drain: (2000.0, 5000.0),
            communities: Vec::new(),
            large: Vec::new(),
            med: (0, 1000),
            local_pref: (100, 0),
            prepend: 2,
        };
        for node in keys {
            let (key, values) = node.call("a key of bgp, as (as 64512)")?;
            if !matches!(key, "peer" | "announce") {
                once(&mut seen, node, format!("bgp {key}"))?;
            }
            let two = |name: &str, a: &Node, b: &Node| -> Result<(u32, u32), Fault> {
                Ok((a.count(name, 0, u32::MAX)?, b.count(name, 0, u32::MAX)?))
            };
            match (key, values) {
                ("as", [value]) => asn = Some(value.count("bgp as", 1, u32::MAX - 1)?),
                ("id", [value]) => id = Some(parsed(value, "bgp id, an IPv4 address")?),
                ("listen", [value]) => bgp.listen = Some(parsed(value, "bgp listen, an address and port")?),
                ("peer", values) => bgp.peer(node, BgpPeer::read(node, values)?)?,
                ("announce", [prefix, rest @ ..]) => bgp.address(prefix, BgpAddress::read(prefix, rest)?)?,
                ("up", [at, ms]) => bgp.up = (share(at, "bgp up")?, ms.time_ms("bgp up")?),
                ("down", [at, ms]) => bgp.down = (share(at, "bgp down")?, ms.time_ms("bgp down")?),
                ("stale", [ms]) => bgp.stale_ms = ms.time_ms("bgp stale")?,
                ("pressure", [at]) => bgp.pressure = share(at, "bgp pressure")?,
                ("changes", [n]) => bgp.changes = n.count("bgp changes", 1, 1000)?,
                ("drain", [last, leave]) => {
                    bgp.drain = (last.time_ms("bgp drain")?, leave.time_ms("bgp drain")?);
                }
                ("communities", values) if values.len() <= MOST_COMMUNITIES => {
                    bgp.communities = values.iter().map(community).collect::<Result<_, _>>()?;
                }
                ("large-communities", values) if values.len() <= MOST_COMMUNITIES => {
                    bgp.large = values.iter().map(large).collect::<Result<_, _>>()?;
                }
                ("med", [at, last]) => bgp.med = two("bgp med", at, last)?,
                ("local-pref", [at, last]) => bgp.local_pref = two("bgp local-pref", at, last)?,
                ("prepend", [n]) => bgp.prepend = n.count("bgp prepend", 0, 16)?,
                (key, values) if KEYS.contains(&key) => {
                    return Err(node.fault(format!("{key} has {} values, which do not fit it", values.len())));
                }
                (other, _) => return Err(unexpected(node, other, &KEYS)),
            }
        }
        bgp.asn = asn.ok_or_else(|| whole.fault("expected (as NUMBER) in (bgp ...)"))?;
        bgp.id = id.ok_or_else(|| whole.fault("expected (id \"ADDRESS\") in (bgp ...)"))?;
        if bgp.down.0 > bgp.up.0 {
            return Err(whole.fault("bgp down is a larger share than up"));
        }
        if bgp.listen.is_none() && bgp.peers.iter().any(|p| p.passive) {
            return Err(whole.fault("a peer is passive, and bgp listen is not set"));
        }
        // Kept in order, as codecs write them.
        bgp.communities.sort_unstable();
        bgp.large.sort_unstable();
        Ok(bgp)
    }

    fn peer(&mut self, node: &Node, peer: BgpPeer) -> Result<(), Fault> {
        if self.peers.iter().any(|p| p.address == peer.address) {
            return Err(node.fault(format!("peer {} is given twice", peer.address)));
        }
        if self.peers.len() >= MOST {
            return Err(node.fault(format!("over {MOST} peers")));
        }
        self.peers.push(peer);
        Ok(())
    }

    fn address(&mut self, node: &Node, address: BgpAddress) -> Result<(), Fault> {
        if self.addresses.iter().any(|a| a.prefix == address.prefix) {
            return Err(node.fault(format!("{} is announced twice", address.prefix)));
        }
        if self.addresses.len() >= MOST {
            return Err(node.fault(format!("over {MOST} addresses")));
        }
        self.addresses.push(address);
        Ok(())
    }
}

/// Numbers parted by colons, all of so many bits.
fn numbers<const N: usize>(node: &Node, expected: &str, most: u32) -> Result<[u32; N], Fault> {
    let text = node.text(expected)?;
    let read = || -> Option<[u32; N]> {
        let numbers: Option<Vec<u32>> = text.split(':').map(|n| n.parse().ok()).collect();
        let numbers: [u32; N] = numbers?.try_into().ok()?;
        numbers.iter().all(|n| *n <= most).then_some(numbers)
    };
    read().ok_or_else(|| node.fault(format!("found \"{text}\", expected {expected}")))
}

/// RFC 1997; the AS stands in the upper half.
fn community(node: &Node) -> Result<u32, Fault> {
    let [asn, value] = numbers(node, "a community, as 64512:1", u32::from(u16::MAX))?;
    Ok(asn << 16 | value)
}

/// RFC 8092.
fn large(node: &Node) -> Result<(u32, u32, u32), Fault> {
    let [a, b, c] = numbers(node, "a large community, as 64512:1:2", u32::MAX)?;
    Ok((a, b, c))
}

impl BgpPeer {
    fn read(whole: &Node, keys: &[Node]) -> Result<Self, Fault> {
        const KEYS: [&str; 8] = ["address", "as", "hold", "next-hop", "passive", "retry", "rest", "routes"];
        let (mut address, mut asn, mut next_hop) = (None, None, None);
        let (mut hold_s, mut passive, mut retry_ms, mut rest_ms, mut routes) =
            (9, false, 5000.0, 5000.0, 10_000);
        let mut seen = Vec::new();
        for node in keys {
            if let Ok(("passive", [])) = node.call("") {
                once(&mut seen, node, "peer passive".to_owned())?;
                passive = true;
                continue;
            }
            let (key, value) = pair(node)?;
            once(&mut seen, node, format!("peer {key}"))?;
            match key {
                "address" => address = Some(parsed(value, "peer address, an address and port")?),
                "as" => asn = Some(value.count("peer as", 1, u32::MAX - 1)?),
                "hold" => {
                    let hold = value.time_ms("peer hold")? / 1000.0;
                    if !(3.0..=65_535.0).contains(&hold) || hold.fract() != 0.0 {
                        return Err(value.fault("expected peer hold, whole seconds from 3s on"));
                    }
                    hold_s = hold as u16;
                }
                "next-hop" => next_hop = Some(parsed(value, "peer next-hop, an address")?),
                "retry" => retry_ms = value.time_ms("peer retry")?,
                "rest" => rest_ms = value.time_ms("peer rest")?,
                "routes" => routes = value.count("peer routes", 0, u32::MAX)?,
                other => return Err(unexpected(node, other, &KEYS)),
            }
        }
        let lacks = |key: &str| whole.fault(format!("expected ({key} ...) in (peer ...)"));
        Ok(Self {
            address: address.ok_or_else(|| lacks("address"))?,
            asn: asn.ok_or_else(|| lacks("as"))?,
            hold_s,
            next_hop: next_hop.ok_or_else(|| lacks("next-hop"))?,
            passive,
            retry_ms,
            rest_ms,
            routes,
        })
    }
}

impl BgpAddress {
    fn read(prefix: &Node, rest: &[Node]) -> Result<Self, Fault> {
        const EXPECTED: &str = "a prefix, as 198.51.100.1/32";
        let net: IpNet = parsed(prefix, EXPECTED)?;
        let (mut keep_last, mut table_types, mut seen) = (false, Vec::new(), Vec::new());
        for node in rest {
            let (key, values) = node.call("(keep-last) or (table-types NAME...)")?;
            once(&mut seen, node, format!("announce {key}"))?;
            match (key, values) {
                ("keep-last", []) => keep_last = true,
                ("table-types", [_, ..]) => {
                    for value in values {
                        let name = value.text("the name of a table type")?.to_owned();
                        once(&mut table_types, value, name)?;
                    }
                }
                ("table-types", []) => return Err(node.fault("table-types names none")),
                (other, _) => return Err(unexpected(node, other, &["keep-last", "table-types"])),
            }
        }
        Ok(Self { prefix: net.trunc(), keep_last, table_types })
    }
}
