//! Startup configuration of a mixer: the file named by `ROUTER_CONFIG`.

use std::net::SocketAddrV4;

use anyhow::{Context, Result, ensure};
use serde_json::Value;

use crate::{FlatConfig, MixerConfig};

/// An environment variable that overrides a key of the file.
struct Override {
    key: &'static str,
    variable: &'static str,
}

const NAME: Override = Override { key: "name", variable: "ROUTER_NAME" };
const LISTEN: Override = Override { key: "listen", variable: "ROUTER_LISTEN" };
const DISCOVERY: Override = Override { key: "discovery", variable: "ROUTER_DISCOVERY" };

/// A mixer's name, addresses, resource limits and settings.
#[derive(Clone, Debug)]
pub struct StartupConfig {
    pub name: String,
    pub listen: SocketAddrV4,
    pub discovery: SocketAddrV4,
    pub seed: u64,
    /// Maximum number of file descriptors.
    pub sockets: usize,
    /// Memory limit in bytes.
    pub memory_bytes: usize,
    /// Limit of the operating system on file descriptors.
    descriptor_limit: usize,
    /// The last known searcher list in the format of discovery; key `known`.
    pub cached_list: Value,
    pub config: MixerConfig,
}

/// Changes to a running mixer from a reloaded file.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigChange {
    pub discovery: SocketAddrV4,
    /// Changed keys that take effect at the next start only.
    pub needs_restart: Vec<&'static str>,
}

impl StartupConfig {
    /// Default of `limits.sockets`: the usual limit of a process.
    const DEFAULT_SOCKETS: usize = 1024;
    /// Default of `limits.memory_mb`: the smallest limit that mixers are deployed with.
    const DEFAULT_MEMORY_MB: f64 = 32.0;
    /// With fewer sockets there is no room for clients, searchers and discovery together.
    const MIN_SOCKETS: usize = 32;
    const BYTES_PER_MB: f64 = 1048576.0;

    /// Caps the number of sockets at the soft limit of the operating system, given the text of `/proc/self/limits`.
    pub fn apply_descriptor_limit(&mut self, limits: &str) {
        let files = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
        let soft = files.and_then(|columns| columns.split_whitespace().next()?.parse().ok());
        self.descriptor_limit = soft.unwrap_or(usize::MAX);
        self.sockets = self.sockets.min(self.descriptor_limit);
    }

    /// Parses the text of the file. `env` looks up an environment variable; variables take precedence over the file.
    ///
    /// # Errors
    /// Names the missing or invalid key.
    pub fn read(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Self> {
        Self::parse(text, env, &[NAME, LISTEN, DISCOVERY])
    }

    /// Parses a new text of the file as strictly as at start. The address of discovery is taken from the file: the one in
    /// the environment applies at start only.
    ///
    /// # Errors
    /// Names the missing or invalid key.
    pub fn reload(&self, text: &str, env: impl Fn(&str) -> Option<String>) -> Result<ConfigChange> {
        let new = Self::parse(text, env, &[NAME, LISTEN])?;
        let changed = [
            ("name", new.name != self.name),
            ("listen", new.listen != self.listen),
            ("limits.sockets", new.sockets.min(self.descriptor_limit) != self.sockets),
            ("limits.memory_mb", new.memory_bytes != self.memory_bytes),
            ("settings", new.config != self.config),
        ];
        let needs_restart = changed.into_iter().filter(|key| key.1).map(|key| key.0).collect();
        Ok(ConfigChange { discovery: new.discovery, needs_restart })
    }

    fn parse(text: &str, env: impl Fn(&str) -> Option<String>, overrides: &[Override]) -> Result<Self> {
        let mut file: Value = serde_json::from_str(text).context("the file is not JSON")?;
        let cached_list = file.as_object_mut().context("the file holds no object")?.remove("known");
        let settings = file.as_object_mut().and_then(|map| map.remove("settings"));
        let mut values = FlatConfig::from_json(&file);
        for Override { key, variable } in overrides {
            if let Some(value) = env(variable).filter(|v| !v.is_empty()) {
                values.0.insert((*key).to_owned(), value);
            }
        }
        let seed: String = values.required("seed")?;
        let sockets = values.optional("limits.sockets")?.unwrap_or(Self::DEFAULT_SOCKETS);
        ensure!(sockets >= Self::MIN_SOCKETS, "limits.sockets={sockets} is under {}", Self::MIN_SOCKETS);
        Ok(Self {
            name: values.required("name")?,
            listen: values.required("listen")?,
            discovery: values.required("discovery")?,
            seed: u64::from_str_radix(&seed, 16)
                .ok()
                .with_context(|| format!("seed={seed} can't be read"))?,
            sockets,
            memory_bytes: (values.optional_number("limits.memory_mb")?.unwrap_or(Self::DEFAULT_MEMORY_MB)
                * Self::BYTES_PER_MB) as usize,
            descriptor_limit: usize::MAX,
            cached_list: cached_list.unwrap_or_default(),
            config: MixerConfig::from_json(&settings.context("settings is missing")?).context("settings")?,
        })
    }
}
