//! The section `fleet`: the mixers that know each other.

use std::net::SocketAddr;

use crate::form::{Fault, Node, unexpected};
use crate::keys::{once, parsed};

/// The mixers that know each other, as one of them is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Mixers of another fleet are refused, whatever their addresses.
    pub name: String,
    /// This mixer's name in it.
    pub me: String,
    /// Where it listens for the others: an address on a network of the mixers' own.
    pub listen: SocketAddr,
    /// 1 to 4,096.
    pub peers: Vec<FleetPeer>,
    /// For so long it is kept in mind that something was deleted, in milliseconds: 1 s to 1 h. Whoever is away for longer
    /// takes all anew.
    pub forget_ms: f64,
}

/// Another mixer.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetPeer {
    pub name: String,
    pub address: SocketAddr,
}

const KEYS: [&str; 4] = ["name", "me", "peer", "forget"];
/// Well past the time in which word reaches everybody who is up.
const FORGET_MS: f64 = 60_000.0;
/// Under the first, a deletion is forgotten before a slow way has carried it; over the second it only costs memory.
const FORGET: (f64, f64) = (1000.0, 3_600_000.0);
/// Peers that a file may name.
const MOST: usize = 4096;
/// Longest name, in bytes.
const LONGEST: usize = 32;

/// A name: letters, digits, and what often parts them, so that it stands in a line without quotes.
fn name(node: &Node, expected: &str) -> Result<String, Fault> {
    let text = node.text(expected)?;
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if text.is_empty() || text.len() > LONGEST || !text.chars().all(fits) {
        let wanted = format!("1 to {LONGEST} letters, digits, -, _ or .");
        return Err(node.fault(format!("found \"{text}\", expected {expected}: {wanted}")));
    }
    Ok(text.to_owned())
}

impl Fleet {
    pub(crate) fn read(whole: &Node, keys: &[Node]) -> Result<Self, Fault> {
        let (mut called, mut me, mut peers, mut seen) = (None, None, Vec::<FleetPeer>::new(), Vec::new());
        let mut forget_ms = FORGET_MS;
        for node in keys {
            let (key, values) = node.call("a key of fleet, as (name \"praha\")")?;
            if key != "peer" {
                once(&mut seen, node, format!("fleet {key}"))?;
            }
            match (key, values) {
                ("name", [value]) => called = Some(name(value, "the fleet's name")?),
                ("me", [own, listen]) => {
                    let own = name(own, "this mixer's name")?;
                    match listen.call("(listen \"ADDRESS:PORT\")")? {
                        ("listen", [at]) => {
                            me = Some((own, parsed(at, "fleet listen, an address and port")?));
                        }
                        (other, _) => return Err(unexpected(listen, other, &["listen"])),
                    }
                }
                ("forget", [time]) => {
                    forget_ms = time.time_ms("fleet forget")?;
                    if !(FORGET.0..=FORGET.1).contains(&forget_ms) {
                        return Err(
                            node.fault(format!("found {forget_ms}ms, expected fleet forget from 1s to 1h"))
                        );
                    }
                }
                ("peer", [peer, address]) => {
                    let peer = FleetPeer {
                        name: name(peer, "a peer's name")?,
                        address: parsed(address, "fleet peer, an address and port")?,
                    };
                    if peers.iter().any(|p| p.name == peer.name) {
                        return Err(node.fault(format!("peer {} is given twice", peer.name)));
                    }
                    if peers.iter().any(|p| p.address == peer.address) {
                        return Err(node.fault(format!("two peers have the address {}", peer.address)));
                    }
                    if peer.address.port() == 0 || peer.address.ip().is_unspecified() {
                        return Err(node.fault(format!("nobody can be reached at {}", peer.address)));
                    }
                    if peers.len() == MOST {
                        return Err(node.fault(format!("over {MOST} peers")));
                    }
                    peers.push(peer);
                }
                (key, values) if KEYS.contains(&key) => {
                    return Err(node.fault(format!("{key} has {} values, which do not fit it", values.len())));
                }
                (other, _) => return Err(unexpected(node, other, &KEYS)),
            }
        }
        let name = called.ok_or_else(|| whole.fault("expected (name \"NAME\") in (fleet ...)"))?;
        let (me, listen) =
            me.ok_or_else(|| whole.fault("expected (me \"NAME\" (listen \"ADDRESS:PORT\")) in (fleet ...)"))?;
        // One file may serve all mixers but for the line `me`: the own name among the peers is none.
        peers.retain(|p| p.name != me);
        if peers.is_empty() {
            return Err(
                whole.fault("expected a (peer \"NAME\" \"ADDRESS:PORT\") beside this mixer in (fleet ...)")
            );
        }
        Ok(Self { name, me, listen, peers, forget_ms })
    }
}
