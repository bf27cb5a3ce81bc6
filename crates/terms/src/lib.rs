//! The one place where configuration is read, checked and given defaults. The simulator's text and a mixer's
//! JSON flatten to the same keys, so one code reads the settings of both.

pub mod list;
mod start;

pub use start::{Change, Start};

use std::collections::HashMap;
use std::str::FromStr;

use anyhow::{Context, Result, bail, ensure};
use pewterwharf::interface::{
    Customer, Idempotency, Layout, Permissions, Placement, RetryBudget, SafetyLimits, TableType,
};
use pewterwharf::logic::Mixer;
use serde_json::Value;

/// Settings as `path=value` pairs.
#[derive(Default)]
struct Lines(HashMap<String, String>);

impl Lines {
    /// The simulator's form: a pair a line.
    fn of_text(text: &str) -> Result<Self> {
        let pairs = text.lines().filter(|line| !line.trim().is_empty());
        let pairs = pairs.map(|line| {
            let (key, value) = line.split_once('=').with_context(|| format!("no '=' in {line}"))?;
            Ok((key.to_owned(), value.to_owned()))
        });
        Ok(Self(pairs.collect::<Result<_>>()?))
    }

    /// A mixer's form: nested JSON.
    fn of_json(value: &Value) -> Self {
        let mut lines = Self::default();
        lines.flatten("", value);
        lines
    }

    fn flatten(&mut self, path: &str, value: &Value) {
        let at = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
        match value {
            Value::Null => {}
            Value::Object(map) => map.iter().for_each(|(key, inner)| self.flatten(&at(key), inner)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(at("count"), items.len().to_string());
                items.iter().enumerate().for_each(|(i, item)| self.flatten(&at(&i.to_string()), item));
            }
            Value::Array(items) => {
                let words: Vec<String> =
                    items.iter().map(|item| plain(item).replace([' ', ','], "_")).collect();
                self.0.insert(path.to_owned(), words.join(","));
            }
            other => {
                self.0.insert(path.to_owned(), plain(other));
            }
        }
    }

    fn maybe<T: FromStr>(&self, key: &str) -> Result<Option<T>> {
        let Some(text) = self.0.get(key) else { return Ok(None) };
        match text.parse() {
            Ok(value) => Ok(Some(value)),
            Err(_) => bail!("{key}={text} can't be read"),
        }
    }

    fn must<T: FromStr>(&self, key: &str) -> Result<T> {
        self.maybe(key)?.with_context(|| format!("{key} is missing"))
    }

    fn number(&self, key: &str) -> Result<Option<f64>> {
        match self.maybe::<f64>(key)? {
            Some(value) if !value.is_finite() => bail!("{key}={value} can't be read"),
            other => Ok(other),
        }
    }

    fn figure(&self, key: &str) -> Result<f64> {
        self.number(key)?.with_context(|| format!("{key} is missing"))
    }

    /// The `i`th of a list of plain values, where the list is there.
    fn nth(&self, key: &str, i: usize) -> Result<Option<f64>> {
        let Some(text) = self.0.get(key) else { return Ok(None) };
        let word = text.split(',').nth(i).with_context(|| format!("{key} has no value {i}"))?;
        let value: f64 = word.parse().ok().with_context(|| format!("{key}={text} can't be read"))?;
        Ok(Some(value))
    }

    /// As [`Lines::nth`], of a share of one.
    fn share(&self, key: &str, i: usize) -> Result<Option<f64>> {
        let share = self.nth(key, i)?;
        ensure!(share.is_none_or(|s| (0.0..=1.0).contains(&s)), "{key} is not within 0 to 1 at {i}");
        Ok(share)
    }

    /// A key that takes one of a few words; the first where it is absent.
    fn one_of(&self, key: &str, words: &[&'static str]) -> Result<&'static str> {
        let Some(text) = self.0.get(key) else { return Ok(words[0]) };
        let word = words.iter().find(|word| *word == text);
        word.copied().with_context(|| format!("{key}={text} is none of {}", words.join(", ")))
    }

    fn words(&self, key: &str) -> Vec<String> {
        self.0.get(key).map(|text| text.split(',').map(str::to_owned).collect()).unwrap_or_default()
    }
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// What a mixer goes by: the module's terms, the names that stand for its indices, the bounds of its links.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub types: Vec<TableType>,
    pub type_names: Vec<String>,
    pub customers: Vec<Customer>,
    pub customer_names: Vec<String>,
    pub layout: Layout,
    pub shards: u32,
    pub guards: SafetyLimits,
    pub permits: Permissions,
    pub berth: Placement,
    pub zones: Vec<String>,
    /// Scans and parts that a mixer may hold.
    pub open_cap: usize,
    /// Calls that a connection to a searcher carries at once.
    pub calls_per_link: usize,
    pub connect_timeout_ms: f64,
    /// From when on the other side may have closed an idle connection.
    pub idle_ms: f64,
    /// Where in a load report the busy share of the cores stands, if answers bring it.
    pub busy_at: Option<usize>,
}

impl Terms {
    pub fn of_text(text: &str) -> Result<Self> {
        Self::read(&Lines::of_text(text)?)
    }

    pub fn of_json(settings: &Value) -> Result<Self> {
        Self::read(&Lines::of_json(settings))
    }

    /// Starts a module on these terms.
    pub fn open(&self, seed: u64) -> Mixer {
        Mixer::new(
            seed,
            self.types.clone(),
            self.customers.clone(),
            self.layout.clone(),
            self.guards.clone(),
            self.permits.clone(),
            self.berth.clone(),
        )
    }

    /// Keys that are not known are passed over.
    fn read(lines: &Lines) -> Result<Self> {
        let asks = lines.one_of("discovery", &["push", "ask"])? == "ask";
        let via = lines.one_of("report.via", &["none", "answers", "probe"])?;
        lines.one_of("weight_source", &["none", "nominal", "rough", "live"])?;
        lines.one_of("worth_by", &["request", "work"])?;
        let probe: bool = lines.must("permissions.probing")?;
        ensure!(probe || via != "probe", "report.via=probe can't go with permissions.probing=false");
        let ask_within_ms = lines.number("rules.ask_within_ms")?;
        ensure!(ask_within_ms.is_none_or(|ms| ms > 0.0), "rules.ask_within_ms is not above 0");
        ensure!(!asks || ask_within_ms.is_some(), "rules.ask_within_ms is missing, and discovery=ask");
        let kinds: usize = lines.must("services.count")?;
        let types = (0..kinds).map(|i| table_type(lines, i)).collect::<Result<_>>()?;
        let name = |list: &str, i: usize| lines.0.get(&format!("{list}.{i}.name")).cloned();
        let type_names = (0..kinds).map(|i| name("services", i).unwrap_or_default()).collect();
        let count = lines.maybe("customers.count")?.unwrap_or(0);
        let customers = (0..count).map(|i| customer(lines, i)).collect::<Result<_>>()?;
        let customer_names = (0..count).map(|i| name("customers", i).unwrap_or_default()).collect();
        let layout = Layout {
            cells: lines.must("family_info.positions")?,
            cells_per_shard: lines.must("family_info.in_a_row")?,
            parts_per_call: lines.maybe("family_info.bundle_max")?.unwrap_or(1),
            call_work_ms: lines.number("family_info.overhead_ms")?.unwrap_or(0.0),
        };
        if layout.cells == 0 {
            bail!("family_info.positions=0 can't be read");
        }
        let permits = Permissions {
            cancel: lines.must("permissions.cancel")?,
            probe,
            hedge: lines.must("permissions.parallel_tries")?,
            max_dispatches: lines.must("permissions.max_attempts")?,
            retry_after_ms: match lines.must("permissions.retry_after")? {
                true => lines.number("permissions.max_retry_after_ms")?,
                false => None,
            },
            resubscribe_within_ms: ask_within_ms.filter(|_| asks),
        };
        let berth = Placement { mixers: lines.must("peers_total")?, zone: lines.must("zone")? };
        Ok(Self {
            types,
            type_names,
            customers,
            customer_names,
            layout,
            shards: lines.maybe("family_info.ranges")?.unwrap_or(u32::MAX),
            guards: guards(lines)?,
            permits,
            berth,
            zones: lines.words("zones"),
            busy_at: match via {
                "answers" => lines.words("report.names").iter().position(|n| n == "load_share"),
                _ => None,
            },
            open_cap: lines.maybe("permissions.open_cap")?.unwrap_or(usize::MAX),
            calls_per_link: lines.maybe("permissions.multiplex")?.unwrap_or(1),
            connect_timeout_ms: lines.number("permissions.connect_timeout_ms")?.unwrap_or(250.0),
            idle_ms: lines.number("permissions.idle_close_ms")?.unwrap_or(15_000.0),
        })
    }
}

fn table_type(lines: &Lines, i: usize) -> Result<TableType> {
    let key = |name: &str| format!("services.{i}.{name}");
    let repeat = match lines.must::<String>(&key("idempotency"))?.as_str() {
        "pure" => Idempotency::Replayable,
        "token" => Idempotency::Keyed { window_ms: lines.figure(&key("key_ttl_ms"))? },
        "side_effect" => Idempotency::NonReplayable,
        other => bail!("{}={other} can't be read", key("idempotency")),
    };
    let need = lines.share("family_info.class_need", i)?.unwrap_or(1.0);
    let floor = lines.share("family_info.floor_by_class", i)?.unwrap_or(need);
    ensure!(
        floor <= need + 1e-4, // both come rounded
        "family_info.floor_by_class={floor} is above family_info.class_need={need} for table type {i}"
    );
    Ok(TableType {
        target_ms: lines.figure(&key("slo_ms"))?,
        query_timeout_ms: lines.figure(&key("hard_limit_ms"))?,
        benefit: lines.figure(&key("points"))?,
        late_benefit_share: lines.number(&key("late_worth"))?.unwrap_or(0.0),
        target_ms_per_work_ms: lines.number(&key("aim_stretch"))?.unwrap_or(0.0),
        idempotency: repeat,
        required_weight: need,
        minimum_weight: floor,
        partial_benefit_share: lines.share("family_info.partial_earns", i)?.unwrap_or(0.0),
        has_second_step: lines.nth("family_info.class_fetch", i)?.unwrap_or(0.0) > 0.0,
    })
}

fn customer(lines: &Lines, i: usize) -> Result<Customer> {
    Ok(Customer {
        scans_per_s: lines.figure(&format!("customers.{i}.quota_per_s"))?,
        over_quota_benefit_share: lines.number("over_share_worth")?.unwrap_or(1.0),
    })
}

fn guards(lines: &Lines) -> Result<SafetyLimits> {
    let budget = match lines.number("rules.repeat_ratio")? {
        Some(share) => Some(RetryBudget {
            free: lines.number("rules.free_resends")?.unwrap_or(0.0),
            share,
            window_ms: lines.figure("rules.extra_window_ms")?,
        }),
        None => None,
    };
    Ok(SafetyLimits {
        cold_capacity_share: lines.figure("rules.cold_from")?,
        warm_up_ms: lines.figure("rules.warm_after_ms")?,
        overload_multiple: lines.figure("rules.tip_multiple")?,
        overload_window_ms: lines.figure("rules.fall_ms")?,
        retry_budget: budget,
    })
}
