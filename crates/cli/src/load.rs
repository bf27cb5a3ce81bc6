//! Loads an expectation file with the configuration and the searcher list that it refers to.

use std::path::Path;

use anyhow::{Context, Result, anyhow};
use pewterwharf_expect::Suite;
use pewterwharf_expect::read::ParsedFile;
use pewterwharf_fleet::Fleet;
use pewterwharf_terms::MixerConfig;
use pewterwharf_terms::list::{self, List};
use serde_json::Value;
use tracing::{info, warn};

/// A suite of expectations, and the searcher list that its fleet was built from.
pub struct LoadedSuite {
    pub suite: Suite,
    pub list: List,
}

fn read_json(path: &Path) -> Result<Value> {
    let text = std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    serde_json::from_str(&text).with_context(|| format!("{} is not JSON", path.display()))
}

/// Loads an expectation file and the files that it refers to. `list` replaces the searcher list of the file.
///
/// # Errors
/// Names the file, the position or key, and what was expected.
pub fn load(path: &Path, list: Option<&Path>) -> Result<LoadedSuite> {
    let text = std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    let at_path = |error| anyhow!("{}:{error}", path.display());
    let parsed = ParsedFile::parse(&text).map_err(at_path)?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let config_path = folder.join(&parsed.source.config_path);
    let mut configuration = read_json(&config_path)?;
    // The file is a mixer's startup configuration, or its settings only.
    let settings = configuration.get_mut("settings").map_or(Value::Null, Value::take);
    let settings = if settings.is_null() { configuration } else { settings };
    let config =
        MixerConfig::from_json(&settings).with_context(|| format!("in {}", config_path.display()))?;
    let list_path = list.map_or_else(|| folder.join(&parsed.source.list_path), Path::to_owned);
    let list =
        list::parse_list(&read_json(&list_path)?).with_context(|| format!("in {}", list_path.display()))?;
    let fleet = Fleet::new(config, &list).with_context(|| format!("in {}", list_path.display()))?;
    for reason in fleet.skipped_entries() {
        warn!(list = %list_path.display(), "skipped an entry of the searcher list: {reason}");
    }
    info!(
        searchers = fleet.searchers().len(),
        slices = fleet.slices(),
        halls = fleet.halls().len(),
        "fleet read"
    );
    let suite = Suite::new(&parsed, fleet).map_err(at_path)?;
    Ok(LoadedSuite { suite, list })
}
