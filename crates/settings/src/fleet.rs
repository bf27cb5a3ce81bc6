//! The section `fleet` of the settings file: the mixers that exchange state with each other.

use std::net::SocketAddr;

use crate::keys::{once, parsed};
use crate::sexpr::{Node, ParseError, unexpected_name};

/// The section `fleet`.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Name of the fleet. Connections from mixers of another fleet are rejected, whatever their addresses.
    pub name: String,
    /// This mixer's name in the fleet.
    pub own_name: String,
    /// Address on which this mixer listens for others; it should belong to a network used by mixers only.
    pub listen: SocketAddr,
    /// The other mixers: 1 to 4,096.
    pub peers: Vec<FleetPeer>,
    /// How long tombstones of deleted records are kept, in milliseconds: 1 s to 1 h. A mixer that is disconnected for longer
    /// fetches the full state. Key `forget`.
    pub tombstone_ttl_ms: f64,
}

/// Another mixer.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetPeer {
    pub name: String,
    pub address: SocketAddr,
}

const KEYS: [&str; 4] = ["name", "me", "peer", "forget"];
/// Well above the time in which a change reaches all mixers that are up.
const DEFAULT_TOMBSTONE_TTL_MS: f64 = 60_000.0;
/// Below the minimum, a tombstone expires before a slow path has delivered it; above the maximum it only costs memory.
const MIN_TOMBSTONE_TTL_MS: f64 = 1000.0;
const MAX_TOMBSTONE_TTL_MS: f64 = 3_600_000.0;
/// Maximum number of peers.
const MAX_PEERS: usize = 4096;
/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 32;

/// A name of letters, digits and common separators, so that it needs no quotes in a line of output.
fn name(node: &Node, expected: &str) -> Result<String, ParseError> {
    let text = node.string(expected)?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(is_allowed) {
        let wanted = format!("1 to {MAX_NAME_BYTES} letters, digits, -, _ or .");
        return Err(node.error(format!("found \"{text}\", expected {expected}: {wanted}")));
    }
    Ok(text.to_owned())
}

impl FleetSettings {
    pub(crate) fn read(section: &Node, keys: &[Node]) -> Result<Self, ParseError> {
        let mut fleet_name = None;
        let mut own = None;
        let mut peers: Vec<FleetPeer> = Vec::new();
        let mut seen = Vec::new();
        let mut tombstone_ttl_ms = DEFAULT_TOMBSTONE_TTL_MS;
        for node in keys {
            let (key, values) = node.head_and_args("a key of fleet, as (name \"praha\")")?;
            if key != "peer" {
                once(&mut seen, node, format!("fleet {key}"))?;
            }
            match (key, values) {
                ("name", [value]) => fleet_name = Some(name(value, "the fleet's name")?),
                ("me", [own_name, listen]) => {
                    let own_name = name(own_name, "this mixer's name")?;
                    match listen.head_and_args("(listen \"ADDRESS:PORT\")")? {
                        ("listen", [address]) => {
                            own = Some((own_name, parsed(address, "fleet listen, an address and port")?));
                        }
                        (other, _) => return Err(unexpected_name(listen, other, &["listen"])),
                    }
                }
                ("forget", [time]) => {
                    tombstone_ttl_ms = time.duration_ms("fleet forget")?;
                    if !(MIN_TOMBSTONE_TTL_MS..=MAX_TOMBSTONE_TTL_MS).contains(&tombstone_ttl_ms) {
                        return Err(node.error(format!(
                            "found {tombstone_ttl_ms}ms, expected fleet forget from 1s to 1h"
                        )));
                    }
                }
                ("peer", [peer, address]) => {
                    let peer = FleetPeer {
                        name: name(peer, "a peer's name")?,
                        address: parsed(address, "fleet peer, an address and port")?,
                    };
                    if peers.iter().any(|p| p.name == peer.name) {
                        return Err(node.error(format!("peer {} is given twice", peer.name)));
                    }
                    if peers.iter().any(|p| p.address == peer.address) {
                        return Err(node.error(format!("two peers have the address {}", peer.address)));
                    }
                    if peer.address.port() == 0 || peer.address.ip().is_unspecified() {
                        return Err(node.error(format!("{} is not an address to connect to", peer.address)));
                    }
                    if peers.len() == MAX_PEERS {
                        return Err(node.error(format!("over {MAX_PEERS} peers")));
                    }
                    peers.push(peer);
                }
                (key, values) if KEYS.contains(&key) => {
                    return Err(node.error(format!("{key} has {} values, which do not fit it", values.len())));
                }
                (other, _) => return Err(unexpected_name(node, other, &KEYS)),
            }
        }
        let name = fleet_name.ok_or_else(|| section.error("expected (name \"NAME\") in (fleet ...)"))?;
        let (own_name, listen) = own.ok_or_else(|| {
            section.error("expected (me \"NAME\" (listen \"ADDRESS:PORT\")) in (fleet ...)")
        })?;
        // The same list of peers may be used in the files of all mixers, so this mixer's own entry is ignored.
        peers.retain(|p| p.name != own_name);
        if peers.is_empty() {
            return Err(
                section.error("expected a (peer \"NAME\" \"ADDRESS:PORT\") beside this mixer in (fleet ...)")
            );
        }
        Ok(Self { name, own_name, listen, peers, tombstone_ttl_ms })
    }
}
