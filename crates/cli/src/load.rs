//! Files to suites: an expectation file, and the configuration and list that it names beside itself.

use std::path::Path;

use anyhow::{Context, Result, anyhow};
use pewterwharf_expect::Suite;
use pewterwharf_expect::read::Draft;
use pewterwharf_fleet::Fleet;
use pewterwharf_terms::MixerConfig;
use pewterwharf_terms::list::{self, List};
use serde_json::Value;
use tracing::{info, warn};

/// A suite, and the list that its fleet was built from.
pub struct Loaded {
    pub suite: Suite,
    pub list: List,
}

fn json(path: &Path) -> Result<Value> {
    let text = std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    serde_json::from_str(&text).with_context(|| format!("{} is not JSON", path.display()))
}

/// Reads all that an expectation file names; `list` goes before the file's own.
///
/// # Errors
/// The file, the place or key, and what was expected there.
pub fn load(path: &Path, list: Option<&Path>) -> Result<Loaded> {
    let text = std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    let at = |fault| anyhow!("{}:{fault}", path.display());
    let draft = Draft::read(&text).map_err(at)?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let terms_path = folder.join(&draft.about.terms);
    let mut configuration = json(&terms_path)?;
    // A mixer's whole file, or its settings alone.
    let settings = configuration.get_mut("settings").map_or(Value::Null, Value::take);
    let settings = if settings.is_null() { configuration } else { settings };
    let terms = MixerConfig::from_json(&settings).with_context(|| format!("in {}", terms_path.display()))?;
    let list_path = list.map_or_else(|| folder.join(&draft.about.list), Path::to_owned);
    let list = list::parse_list(&json(&list_path)?).with_context(|| format!("in {}", list_path.display()))?;
    let fleet = Fleet::new(terms, &list).with_context(|| format!("in {}", list_path.display()))?;
    for reason in fleet.skipped_entries() {
        warn!(list = %list_path.display(), "an entry was passed over: {reason}");
    }
    info!(
        searchers = fleet.searchers().len(),
        slices = fleet.slices(),
        halls = fleet.halls().len(),
        "fleet read"
    );
    let suite = Suite::new(&draft, fleet).map_err(at)?;
    Ok(Loaded { suite, list })
}
