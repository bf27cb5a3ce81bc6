//! The deployment of a run: request classes, layout, limits, and which searchers hold which shard.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Cells of searchers.
pub const CELLS: u32 = 4;
/// Consecutive cells that hold each shard.
pub const CELLS_PER_SHARD: u32 = 2;
pub const SHARDS: u32 = 16;
/// Searchers close connections that have been idle for this time.
pub const IDLE_CLOSE_MS: u64 = 1500;
/// The size of connection buffers in runs with small buffers, the smallest that the system allows.
pub const SMALL_BUFFER_BYTES: usize = 4608;
/// The limit on descriptors of a mixer.
pub const MAX_DESCRIPTORS: u64 = 256;
/// The limit on memory of a mixer.
pub const MAX_MEMORY_MB: u64 = 32;
/// The longest query timeout. A mixer that received SIGTERM is killed 0.7 s after it.
pub const LONGEST_TIMEOUT_MS: f64 = 1500.0;

/// Whether the parts of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Replayable,
    /// May be sent again within this many milliseconds of the first attempt that may have been executed.
    Keyed(f64),
    NonReplayable,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    pub name: &'static str,
    pub effect: Effect,
    pub timeout_ms: f64,
    /// The weight of parts that makes an answer complete.
    pub needed_weight: f64,
}

pub const CLASSES: [Class; 4] = [
    Class { name: "lookup", effect: Effect::Replayable, timeout_ms: LONGEST_TIMEOUT_MS, needed_weight: 0.6 },
    Class { name: "report", effect: Effect::Replayable, timeout_ms: 600.0, needed_weight: 1.0 },
    Class {
        name: "entry",
        effect: Effect::NonReplayable,
        timeout_ms: LONGEST_TIMEOUT_MS,
        needed_weight: 1.0,
    },
    Class { name: "order", effect: Effect::Keyed(300.0), timeout_ms: LONGEST_TIMEOUT_MS, needed_weight: 1.0 },
];

/// The class with this name.
pub fn class_by_name(name: &str) -> Option<&'static Class> {
    CLASSES.iter().find(|class| class.name == name)
}

/// Whether the searchers of a cell hold a shard.
pub fn cell_holds(cell: u32, shard: u32) -> bool {
    (0..CELLS_PER_SHARD).any(|offset| (shard + offset) % CELLS == cell)
}

/// The configuration file of a mixer. `known`: the list with which it starts.
pub fn mixer_config(
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: u64,
    mixers: usize,
    known: &Value,
) -> Value {
    let services = CLASSES.map(|class| {
        let (idempotency, key_ttl_ms) = match class.effect {
            Effect::Replayable => ("pure", None),
            Effect::Keyed(window_ms) => ("token", Some(window_ms)),
            Effect::NonReplayable => ("side_effect", None),
        };
        json!({"name": class.name, "idempotency": idempotency, "points": 1.0, "slo_ms": class.timeout_ms / 2.0,
               "hard_limit_ms": class.timeout_ms, "late_worth": 0.3, "key_ttl_ms": key_ttl_ms})
    });
    let needed_weights = CLASSES.map(|class| class.needed_weight);
    json!({
        "name": name, "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": MAX_MEMORY_MB, "sockets": MAX_DESCRIPTORS},
        "known": known,
        "settings": {
            "peers_total": mixers, "zone": 0, "zones": ["hall"], "discovery": "push",
            "services": services,
            "customers": [{"name": "acme", "quota_per_s": 1000.0, "share": 1.0}],
            "over_share_worth": 0.2,
            "family_info": {"positions": CELLS, "in_a_row": CELLS_PER_SHARD, "ranges": SHARDS, "bundle_max": 2, "overhead_ms": 0.5,
                "class_need": needed_weights, "floor_by_class": needed_weights, "partial_earns": [0.9, 0.9, 0.9, 0.9],
                "class_fetch": [0, 0, 0, 0]},
            "permissions": {"cancel": true, "probing": true, "parallel_tries": true, "max_attempts": 3, "retry_after": true,
                "max_retry_after_ms": 1000.0, "open_cap": 400, "multiplex": 8, "connect_timeout_ms": 250.0,
                "idle_close_ms": IDLE_CLOSE_MS},
            "rules": {"cold_from": 0.2, "warm_after_ms": 3000.0, "tip_multiple": 2.0, "fall_ms": 1000.0}
        }
    })
}
