//! Reads and checks the configuration of a mixer and applies defaults. The simulator's text and a mixer's JSON are flattened
//! to the same keys, so both are read by the same code.

pub mod list;
mod start;

pub use start::{ConfigChange, StartupConfig};

use std::collections::HashMap;
use std::str::FromStr;

use anyhow::{Context, Result, bail, ensure};
use pewterwharf::interface::{
    Customer, Idempotency, Layout, Permissions, Placement, RetryBudget, SafetyLimits, TableType,
};
use pewterwharf::logic::Mixer;
use serde_json::Value;

/// Configuration values by key path, such as `services.0.name`.
#[derive(Default)]
struct FlatConfig(HashMap<String, String>);

impl FlatConfig {
    /// Reads the simulator's format: one `path=value` per line.
    fn from_text(text: &str) -> Result<Self> {
        let pairs = text.lines().filter(|line| !line.trim().is_empty());
        let pairs = pairs.map(|line| {
            let (key, value) = line.split_once('=').with_context(|| format!("no '=' in {line}"))?;
            Ok((key.to_owned(), value.to_owned()))
        });
        Ok(Self(pairs.collect::<Result<_>>()?))
    }

    /// Reads a mixer's format: nested JSON.
    fn from_json(value: &Value) -> Self {
        let mut values = Self::default();
        values.flatten("", value);
        values
    }

    fn flatten(&mut self, path: &str, value: &Value) {
        let child = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
        match value {
            Value::Null => {}
            Value::Object(map) => map.iter().for_each(|(key, inner)| self.flatten(&child(key), inner)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(child("count"), items.len().to_string());
                items.iter().enumerate().for_each(|(i, item)| self.flatten(&child(&i.to_string()), item));
            }
            Value::Array(items) => {
                let texts: Vec<String> =
                    items.iter().map(|item| plain(item).replace([' ', ','], "_")).collect();
                self.0.insert(path.to_owned(), texts.join(","));
            }
            other => {
                self.0.insert(path.to_owned(), plain(other));
            }
        }
    }

    fn optional<T: FromStr>(&self, key: &str) -> Result<Option<T>> {
        let Some(text) = self.0.get(key) else { return Ok(None) };
        match text.parse() {
            Ok(value) => Ok(Some(value)),
            Err(_) => bail!("{key}={text} can't be read"),
        }
    }

    fn required<T: FromStr>(&self, key: &str) -> Result<T> {
        self.optional(key)?.with_context(|| format!("{key} is missing"))
    }

    fn optional_number(&self, key: &str) -> Result<Option<f64>> {
        match self.optional::<f64>(key)? {
            Some(value) if !value.is_finite() => bail!("{key}={value} can't be read"),
            other => Ok(other),
        }
    }

    fn required_number(&self, key: &str) -> Result<f64> {
        self.optional_number(key)?.with_context(|| format!("{key} is missing"))
    }

    /// The `i`th number of a comma-separated list; `None` if the key is absent.
    fn nth_number(&self, key: &str, i: usize) -> Result<Option<f64>> {
        let Some(text) = self.0.get(key) else { return Ok(None) };
        let item = text.split(',').nth(i).with_context(|| format!("{key} has no value {i}"))?;
        let value: f64 = item.parse().ok().with_context(|| format!("{key}={text} can't be read"))?;
        Ok(Some(value))
    }

    /// Like [`FlatConfig::nth_number`], for a share from 0 to 1.
    fn nth_share(&self, key: &str, i: usize) -> Result<Option<f64>> {
        let share = self.nth_number(key, i)?;
        ensure!(share.is_none_or(|s| (0.0..=1.0).contains(&s)), "{key} is not within 0 to 1 at {i}");
        Ok(share)
    }

    /// A key with a fixed set of values; the first is the default.
    fn one_of(&self, key: &str, allowed: &[&'static str]) -> Result<&'static str> {
        let Some(text) = self.0.get(key) else { return Ok(allowed[0]) };
        let value = allowed.iter().find(|value| *value == text);
        value.copied().with_context(|| format!("{key}={text} is none of {}", allowed.join(", ")))
    }

    /// The items of a comma-separated list.
    fn items(&self, key: &str) -> Vec<String> {
        self.0.get(key).map(|text| text.split(',').map(str::to_owned).collect()).unwrap_or_default()
    }
}

/// Text of a scalar, without quotes.
fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// Configuration of a mixer: the settings of the decision module, the names behind its indices, and limits on connections.
#[derive(Clone, Debug, PartialEq)]
pub struct MixerConfig {
    pub table_types: Vec<TableType>,
    pub table_type_names: Vec<String>,
    pub customers: Vec<Customer>,
    pub customer_names: Vec<String>,
    pub layout: Layout,
    pub shard_count: u32,
    pub safety_limits: SafetyLimits,
    pub permissions: Permissions,
    pub placement: Placement,
    pub zones: Vec<String>,
    /// Maximum number of scans and parts that are open at once.
    pub max_open: usize,
    /// Maximum number of concurrent calls on one connection to a searcher.
    pub max_calls_per_connection: usize,
    pub connect_timeout_ms: f64,
    /// Idle time after which the other side may have closed a connection.
    pub idle_close_ms: f64,
    /// Index of the CPU load share in a load report, if answers contain it.
    pub load_share_index: Option<usize>,
}

impl MixerConfig {
    /// Reads the simulator's format: one `path=value` per line.
    ///
    /// # Errors
    /// Names the missing or invalid key.
    pub fn from_text(text: &str) -> Result<Self> {
        Self::read(&FlatConfig::from_text(text)?)
    }

    /// Reads the value of the key `settings` of a mixer's configuration file.
    ///
    /// # Errors
    /// Names the missing or invalid key.
    pub fn from_json(settings: &Value) -> Result<Self> {
        Self::read(&FlatConfig::from_json(settings))
    }

    /// Creates a decision module with this configuration.
    pub fn open(&self, seed: u64) -> Mixer {
        Mixer::new(
            seed,
            self.table_types.clone(),
            self.customers.clone(),
            self.layout.clone(),
            self.safety_limits.clone(),
            self.permissions.clone(),
            self.placement.clone(),
        )
    }

    /// Unknown keys are ignored.
    fn read(values: &FlatConfig) -> Result<Self> {
        let asks_discovery = values.one_of("discovery", &["push", "ask"])? == "ask";
        let report_via = values.one_of("report.via", &["none", "answers", "probe"])?;
        values.one_of("weight_source", &["none", "nominal", "rough", "live"])?;
        values.one_of("worth_by", &["request", "work"])?;
        let probe: bool = values.required("permissions.probing")?;
        ensure!(probe || report_via != "probe", "report.via=probe can't go with permissions.probing=false");
        let ask_within_ms = values.optional_number("rules.ask_within_ms")?;
        ensure!(ask_within_ms.is_none_or(|ms| ms > 0.0), "rules.ask_within_ms is not above 0");
        ensure!(
            !asks_discovery || ask_within_ms.is_some(),
            "rules.ask_within_ms is missing, and discovery=ask"
        );
        let type_count: usize = values.required("services.count")?;
        let table_types = (0..type_count).map(|i| table_type(values, i)).collect::<Result<_>>()?;
        let name = |list: &str, i: usize| values.0.get(&format!("{list}.{i}.name")).cloned();
        let table_type_names = (0..type_count).map(|i| name("services", i).unwrap_or_default()).collect();
        let customer_count = values.optional("customers.count")?.unwrap_or(0);
        let customers = (0..customer_count).map(|i| customer(values, i)).collect::<Result<_>>()?;
        let customer_names = (0..customer_count).map(|i| name("customers", i).unwrap_or_default()).collect();
        let layout = Layout {
            cells: values.required("family_info.positions")?,
            cells_per_shard: values.required("family_info.in_a_row")?,
            parts_per_call: values.optional("family_info.bundle_max")?.unwrap_or(1),
            call_work_ms: values.optional_number("family_info.overhead_ms")?.unwrap_or(0.0),
        };
        if layout.cells == 0 {
            bail!("family_info.positions=0 can't be read");
        }
        let permissions = Permissions {
            cancel: values.required("permissions.cancel")?,
            probe,
            hedge: values.required("permissions.parallel_tries")?,
            max_dispatches: values.required("permissions.max_attempts")?,
            retry_after_ms: match values.required("permissions.retry_after")? {
                true => values.optional_number("permissions.max_retry_after_ms")?,
                false => None,
            },
            resubscribe_within_ms: ask_within_ms.filter(|_| asks_discovery),
        };
        let placement = Placement { mixers: values.required("peers_total")?, zone: values.required("zone")? };
        Ok(Self {
            table_types,
            table_type_names,
            customers,
            customer_names,
            layout,
            shard_count: values.optional("family_info.ranges")?.unwrap_or(u32::MAX),
            safety_limits: safety_limits(values)?,
            permissions,
            placement,
            zones: values.items("zones"),
            load_share_index: match report_via {
                "answers" => values.items("report.names").iter().position(|n| n == "load_share"),
                _ => None,
            },
            max_open: values.optional("permissions.open_cap")?.unwrap_or(usize::MAX),
            max_calls_per_connection: values.optional("permissions.multiplex")?.unwrap_or(1),
            connect_timeout_ms: values.optional_number("permissions.connect_timeout_ms")?.unwrap_or(250.0),
            idle_close_ms: values.optional_number("permissions.idle_close_ms")?.unwrap_or(15_000.0),
        })
    }
}

/// Tolerance for shares that are rounded in the configuration.
const ROUNDING: f64 = 1e-4;

fn table_type(values: &FlatConfig, i: usize) -> Result<TableType> {
    let key = |name: &str| format!("services.{i}.{name}");
    let idempotency = match values.required::<String>(&key("idempotency"))?.as_str() {
        "pure" => Idempotency::Replayable,
        "token" => Idempotency::Keyed { window_ms: values.required_number(&key("key_ttl_ms"))? },
        "side_effect" => Idempotency::NonReplayable,
        other => bail!("{}={other} can't be read", key("idempotency")),
    };
    let required_weight = values.nth_share("family_info.class_need", i)?.unwrap_or(1.0);
    let minimum_weight = values.nth_share("family_info.floor_by_class", i)?.unwrap_or(required_weight);
    ensure!(
        minimum_weight <= required_weight + ROUNDING,
        "family_info.floor_by_class={minimum_weight} is above family_info.class_need={required_weight} for table type {i}"
    );
    Ok(TableType {
        target_ms: values.required_number(&key("slo_ms"))?,
        query_timeout_ms: values.required_number(&key("hard_limit_ms"))?,
        benefit: values.required_number(&key("points"))?,
        late_benefit_share: values.optional_number(&key("late_worth"))?.unwrap_or(0.0),
        target_ms_per_work_ms: values.optional_number(&key("aim_stretch"))?.unwrap_or(0.0),
        idempotency,
        required_weight,
        minimum_weight,
        partial_benefit_share: values.nth_share("family_info.partial_earns", i)?.unwrap_or(0.0),
        has_second_step: values.nth_number("family_info.class_fetch", i)?.unwrap_or(0.0) > 0.0,
    })
}

fn customer(values: &FlatConfig, i: usize) -> Result<Customer> {
    Ok(Customer {
        scans_per_s: values.required_number(&format!("customers.{i}.quota_per_s"))?,
        over_quota_benefit_share: values.optional_number("over_share_worth")?.unwrap_or(1.0),
    })
}

fn safety_limits(values: &FlatConfig) -> Result<SafetyLimits> {
    let retry_budget = match values.optional_number("rules.repeat_ratio")? {
        Some(share) => Some(RetryBudget {
            free: values.optional_number("rules.free_resends")?.unwrap_or(0.0),
            share,
            window_ms: values.required_number("rules.extra_window_ms")?,
        }),
        None => None,
    };
    Ok(SafetyLimits {
        cold_capacity_share: values.required_number("rules.cold_from")?,
        warm_up_ms: values.required_number("rules.warm_after_ms")?,
        overload_multiple: values.required_number("rules.tip_multiple")?,
        overload_window_ms: values.required_number("rules.fall_ms")?,
        retry_budget,
    })
}
