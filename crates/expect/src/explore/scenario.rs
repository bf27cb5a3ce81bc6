//! The part of a fleet on which the module is explored.
//!
//! A scan only involves the holders of its slices, so a scenario contains only these, with the configuration and layout of
//! the whole fleet. It keeps at most [`MAX_HOLDERS`] interchangeable holders of a slice.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

use pewterwharf_fleet::{Condition, Fleet};
use pewterwharf_terms::MixerConfig;

use crate::groups::Group;

/// A searcher of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct ScenarioSearcher {
    pub name: String,
    /// Index in the fleet.
    pub fleet_index: u32,
    pub addr: SocketAddrV4,
    pub cell: u32,
    pub hall: usize,
    /// Condition at the start. A cold searcher is listed as up since the start.
    pub condition: Condition,
    /// The listed status may be outdated at the start.
    pub maybe_stale: bool,
}

/// A scan that may arrive.
#[derive(Clone, Debug, PartialEq)]
pub struct ScanTemplate {
    pub table_type: usize,
    pub parts: Vec<PartTemplate>,
}

/// A part of a scan that may arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartTemplate {
    pub slice: u32,
    pub weight: f64,
}

/// How often some events may occur in one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventLimits {
    /// Changes of searchers that the list reports at once.
    pub listed_changes: u32,
    /// Changes that the list reports later or never; only of searchers whose listed status may be outdated.
    pub unlisted_changes: u32,
    pub restarts: u32,
    pub client_departures: u32,
}

/// The searchers, the scans, and the limits of an exploration.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub config: MixerConfig,
    pub searchers: Vec<ScenarioSearcher>,
    pub templates: Vec<ScanTemplate>,
    pub limits: EventLimits,
    pub seed: u64,
}

/// Maximum number of holders of a slice: one that fails, one that replaces it, and one more, so that the module chooses.
const MAX_HOLDERS: usize = 3;
/// Maximum number of parts of the first scan: with two, one may be answered while the other is not.
const MAX_PARTS: usize = 2;
/// Maximum number of different holder sets explored for each table type, those with the fewest holders first.
const MAX_SCENARIOS: usize = 2;

/// The groups of a fleet after some failures, and the order of searchers that they index.
#[derive(Clone, Copy)]
pub struct GroupsAndOrder<'a> {
    pub groups: &'a [Group],
    pub order: &'a [u32],
}

impl Scenario {
    /// Scenarios for a table type: one for the slices with the fewest holders that accept parts, and further ones for slices
    /// whose holders the module can distinguish from these. `halls_matter`: a claim names a hall.
    pub fn for_table_type(
        fleet: &Fleet,
        grouped: GroupsAndOrder<'_>,
        table_type: usize,
        limits: EventLimits,
        halls_matter: bool,
        seed: u64,
    ) -> Vec<Self> {
        let placement = fleet.placement();
        let holder_signature = |class: usize| {
            let mut holders = Vec::new();
            add_holders(fleet, grouped, placement.sets_of_class(class), &mut holders);
            signature(&holders, fleet.config().placement.zone, halls_matter)
        };
        let available_holders = |class: usize| {
            let sets = placement.sets_of_class(class);
            grouped
                .groups
                .iter()
                .filter(|g| sets.contains(&g.set) && g.condition.accepts_work())
                .map(|g| g.count)
                .sum::<u32>()
        };
        let mut classes: Vec<usize> = (0..placement.classes()).collect();
        classes.sort_by_key(|class| (available_holders(*class), *class));
        let mut seen = BTreeSet::new();
        let first_classes: Vec<usize> = classes
            .iter()
            .copied()
            .filter(|class| seen.insert(holder_signature(*class)))
            .take(MAX_SCENARIOS)
            .collect();
        let scenario = |first| Self::for_class(fleet, grouped, &classes, first, table_type, limits, seed);
        first_classes.into_iter().map(scenario).collect()
    }

    /// The scenario whose first part reads the class `first`. The second part is held by other sets, if possible.
    fn for_class(
        fleet: &Fleet,
        grouped: GroupsAndOrder<'_>,
        classes: &[usize],
        first: usize,
        table_type: usize,
        limits: EventLimits,
        seed: u64,
    ) -> Self {
        let placement = fleet.placement();
        let is_disjoint = |class: &&usize| {
            let sets = placement.sets_of_class(**class);
            !sets.iter().any(|s| placement.sets_of_class(first).contains(s))
        };
        let second = classes.iter().find(is_disjoint).copied();
        let mut searchers: Vec<ScenarioSearcher> = Vec::new();
        for class in [Some(first), second].into_iter().flatten() {
            add_holders(fleet, grouped, placement.sets_of_class(class), &mut searchers);
        }
        let slices = match second {
            Some(second) => vec![placement.slices_of_class(first)[0], placement.slices_of_class(second)[0]],
            None => placement.slices_of_class(first).iter().take(MAX_PARTS).copied().collect(),
        };
        let weight = 1.0 / slices.len().max(1) as f64;
        let part = |weight: f64| move |slice: &u32| PartTemplate { slice: *slice, weight };
        let templates = vec![
            ScanTemplate { table_type, parts: slices.iter().map(part(weight)).collect() },
            ScanTemplate { table_type, parts: slices.iter().take(1).map(part(1.0)).collect() },
        ];
        Self { config: fleet.config().clone(), searchers, templates, limits, seed }
    }
}

/// What the module can distinguish of a searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SearcherSignature {
    cell: usize,
    hall: usize,
    condition: Condition,
    maybe_stale: bool,
}

/// What the module can distinguish of a scenario's searchers: cells and halls, numbered in order of appearance. The mixer's
/// own hall is always the first. If a claim names a hall (`halls_matter`), halls keep their own numbers.
pub(crate) fn signature(
    searchers: &[ScenarioSearcher],
    own_hall: u16,
    halls_matter: bool,
) -> Vec<SearcherSignature> {
    let mut cells = Vec::new();
    let mut halls = vec![usize::from(own_hall)];
    let nth = |seen: &mut Vec<usize>, value: usize| {
        seen.iter().position(|s| *s == value).unwrap_or_else(|| {
            seen.push(value);
            seen.len() - 1
        })
    };
    let of_searcher = |searcher: &ScenarioSearcher| {
        let hall = if halls_matter { searcher.hall } else { nth(&mut halls, searcher.hall) };
        SearcherSignature {
            cell: nth(&mut cells, searcher.cell as usize),
            hall,
            condition: searcher.condition,
            maybe_stale: searcher.maybe_stale,
        }
    };
    searchers.iter().map(of_searcher).collect()
}

/// Adds the holders of a class: one of each condition and hall, then more up to [`MAX_HOLDERS`].
fn add_holders(
    fleet: &Fleet,
    grouped: GroupsAndOrder<'_>,
    sets: &[u32],
    searchers: &mut Vec<ScenarioSearcher>,
) {
    let mut groups: Vec<&Group> = grouped.groups.iter().filter(|g| sets.contains(&g.set)).collect();
    groups.sort_by_key(|g| (g.condition, g.hall));
    let mut available = 0;
    for nth in 0..MAX_HOLDERS as u32 {
        for group in groups.iter().filter(|g| nth < g.count) {
            // One searcher of each unavailable group is always kept, as the module may wrongly send to it.
            if available >= MAX_HOLDERS && (nth > 0 || group.condition.accepts_work()) {
                continue;
            }
            available += usize::from(group.condition.accepts_work());
            let fleet_index = grouped.order[(group.first + nth) as usize];
            let port = u16::try_from(searchers.len() + 1).unwrap_or(u16::MAX);
            searchers.push(ScenarioSearcher {
                name: fleet.searchers()[fleet_index as usize].name.clone(),
                fleet_index,
                addr: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
                cell: fleet.searchers()[fleet_index as usize].set,
                hall: group.hall as usize,
                condition: group.condition,
                maybe_stale: group.maybe_stale,
            });
        }
    }
}
