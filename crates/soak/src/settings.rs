//! The deployment that a run plays: classes, layout, limits, and who holds which shard.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Cells of searchers; a shard is held by so many in a row.
pub const CELLS: u32 = 4;
pub const REACH: u32 = 2;
pub const SHARDS: u32 = 16;
/// Searchers close connections that were idle for so long.
pub const IDLE_CLOSE_MS: u64 = 1500;
/// Buffers of connections in a run where they are small, as the system allows them, in bytes.
pub const NARROW: usize = 4608;
/// Of a mixer: descriptors and memory.
pub const SOCKETS: u64 = 256;
pub const MEMORY_MB: u64 = 32;
/// The longest query timeout, after which and 0.7 s a mixer that was told to end is killed.
pub const LONGEST_MS: f64 = 1500.0;

/// How often a class may run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Replayable,
    /// Not again so many milliseconds after the first attempt that may have run.
    Keyed(f64),
    NonReplayable,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    pub name: &'static str,
    pub effect: Effect,
    pub timeout_ms: f64,
    /// Weight of parts that makes a whole answer.
    pub need: f64,
}

pub const CLASSES: [Class; 4] = [
    Class { name: "lookup", effect: Effect::Replayable, timeout_ms: LONGEST_MS, need: 0.6 },
    Class { name: "report", effect: Effect::Replayable, timeout_ms: 600.0, need: 1.0 },
    Class { name: "entry", effect: Effect::NonReplayable, timeout_ms: LONGEST_MS, need: 1.0 },
    Class { name: "order", effect: Effect::Keyed(300.0), timeout_ms: LONGEST_MS, need: 1.0 },
];

/// The class of that name.
pub fn class(name: &str) -> Option<&'static Class> {
    CLASSES.iter().find(|class| class.name == name)
}

/// Whether a searcher of this cell holds a shard.
pub fn holds(cell: u32, shard: u32) -> bool {
    (0..REACH).any(|step| (shard + step) % CELLS == cell)
}

/// A mixer's configuration file.
pub fn config(
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: u64,
    mixers: usize,
    known: &Value,
) -> Value {
    let services = CLASSES.map(|class| {
        let (idempotency, ttl) = match class.effect {
            Effect::Replayable => ("pure", None),
            Effect::Keyed(window) => ("token", Some(window)),
            Effect::NonReplayable => ("side_effect", None),
        };
        json!({"name": class.name, "idempotency": idempotency, "points": 1.0, "slo_ms": class.timeout_ms / 2.0,
               "hard_limit_ms": class.timeout_ms, "late_worth": 0.3, "key_ttl_ms": ttl})
    });
    let needs = CLASSES.map(|class| class.need);
    json!({
        "name": name, "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": known,
        "settings": {
            "peers_total": mixers, "zone": 0, "zones": ["hall"], "discovery": "push",
            "services": services,
            "customers": [{"name": "acme", "quota_per_s": 1000.0, "share": 1.0}],
            "over_share_worth": 0.2,
            "family_info": {"positions": CELLS, "in_a_row": REACH, "ranges": SHARDS, "bundle_max": 2, "overhead_ms": 0.5,
                "class_need": needs, "floor_by_class": needs, "partial_earns": [0.9, 0.9, 0.9, 0.9],
                "class_fetch": [0, 0, 0, 0]},
            "permissions": {"cancel": true, "probing": true, "parallel_tries": true, "max_attempts": 3, "retry_after": true,
                "max_retry_after_ms": 1000.0, "open_cap": 400, "multiplex": 8, "connect_timeout_ms": 250.0,
                "idle_close_ms": IDLE_CLOSE_MS},
            "rules": {"cold_from": 0.2, "warm_after_ms": 3000.0, "tip_multiple": 2.0, "fall_ms": 1000.0}
        }
    })
}
