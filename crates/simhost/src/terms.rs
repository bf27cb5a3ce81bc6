//! The settings text of `create`, turned into what the module reads at its start.

use std::collections::HashMap;
use std::str::FromStr;

use anyhow::{Context, Result, bail};
use pewterwharf::interface::{Berth, Budget, Customer, Guards, Layout, Permits, Repeat, TableType};
use pewterwharf::logic::Mixer;

struct Lines<'a>(HashMap<&'a str, &'a str>);

impl<'a> Lines<'a> {
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
}

/// Starts a module on the settings of one mixer; keys that are not known are passed over.
pub fn open(settings: &str, seed: u64) -> Result<Mixer> {
    let pairs = settings.lines().filter(|line| !line.trim().is_empty());
    let pairs = pairs.map(|line| line.split_once('=').with_context(|| format!("no '=' in {line}")));
    let lines = Lines(pairs.collect::<Result<_>>()?);
    let types = (0..lines.must("services.count")?).map(|i| table_type(&lines, i)).collect::<Result<_>>()?;
    let count = lines.maybe("customers.count")?.unwrap_or(0);
    let customers = (0..count).map(|i| customer(&lines, i)).collect::<Result<_>>()?;
    let layout = Layout {
        cells: lines.must("family_info.positions")?,
        reach: lines.must("family_info.in_a_row")?,
        parts_per_call: lines.maybe("family_info.bundle_max")?.unwrap_or(1),
        call_work_ms: lines.number("family_info.overhead_ms")?.unwrap_or(0.0),
    };
    if layout.cells == 0 {
        bail!("family_info.positions=0 can't be read");
    }
    let permits = Permits {
        cancel: lines.must("permissions.cancel")?,
        probe: lines.must("permissions.probing")?,
        second_copies: lines.must("permissions.parallel_tries")?,
        dispatches: lines.must("permissions.max_attempts")?,
        back_in_ms: match lines.must("permissions.retry_after")? {
            true => lines.number("permissions.max_retry_after_ms")?,
            false => None,
        },
        subscribe: lines.0.get("discovery") == Some(&"ask"),
    };
    let berth = Berth { mixers: lines.must("peers_total")?, zone: lines.must("zone")? };
    Ok(Mixer::open(seed, types, customers, layout, guards(&lines)?, permits, berth))
}

fn table_type(lines: &Lines, i: usize) -> Result<TableType> {
    let key = |name: &str| format!("services.{i}.{name}");
    let repeat = match lines.must::<String>(&key("idempotency"))?.as_str() {
        "pure" => Repeat::Replayable,
        "token" => Repeat::Keyed { window_ms: lines.figure(&key("key_ttl_ms"))? },
        "side_effect" => Repeat::NonReplayable,
        other => bail!("{}={other} can't be read", key("idempotency")),
    };
    let need = lines.nth("family_info.class_need", i)?.unwrap_or(1.0);
    Ok(TableType {
        target_ms: lines.figure(&key("slo_ms"))?,
        query_timeout_ms: lines.figure(&key("hard_limit_ms"))?,
        benefit: lines.figure(&key("points"))?,
        late_share: lines.number(&key("late_worth"))?.unwrap_or(0.0),
        target_stretch: lines.number(&key("aim_stretch"))?.unwrap_or(0.0),
        repeat,
        need,
        floor: lines.nth("family_info.floor_by_class", i)?.unwrap_or(need),
        partial_share: lines.nth("family_info.partial_earns", i)?.unwrap_or(0.0),
        second_step: lines.nth("family_info.class_fetch", i)?.unwrap_or(0.0) > 0.0,
    })
}

fn customer(lines: &Lines, i: usize) -> Result<Customer> {
    Ok(Customer {
        scans_per_s: lines.figure(&format!("customers.{i}.quota_per_s"))?,
        over_share: lines.number("over_share_worth")?.unwrap_or(1.0),
    })
}

fn guards(lines: &Lines) -> Result<Guards> {
    let budget = match lines.number("rules.repeat_ratio")? {
        Some(share) => Some(Budget {
            free: lines.number("rules.free_resends")?.unwrap_or(0.0),
            share,
            window_ms: lines.figure("rules.extra_window_ms")?,
        }),
        None => None,
    };
    Ok(Guards {
        cold_from: lines.figure("rules.cold_from")?,
        warm_ms: lines.figure("rules.warm_after_ms")?,
        tip_multiple: lines.figure("rules.tip_multiple")?,
        fall_ms: lines.figure("rules.fall_ms")?,
        budget,
    })
}
