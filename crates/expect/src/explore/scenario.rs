//! The part of a fleet on which the module is explored.
//!
//! A scan meets the holders of its slices and nobody else, so an arena holds these alone, under the real terms and
//! layout. Of holders that are alike, only so many are kept as a replacement and its own replacement need.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

use pewterwharf_fleet::{Condition, Fleet};
use pewterwharf_terms::MixerConfig;

use crate::groups::Group;

/// A searcher of the arena.
#[derive(Clone, Debug, PartialEq)]
pub struct ScenarioSearcher {
    pub name: String,
    /// Its number in the fleet.
    pub searcher: u32,
    pub addr: SocketAddrV4,
    pub cell: u32,
    pub hall: usize,
    /// As it is listed at the start; cold is listed as up since the start.
    pub condition: Condition,
    /// The list's word of it may be wrong at the start.
    pub unsure: bool,
}

/// A scan that may arrive.
#[derive(Clone, Debug, PartialEq)]
pub struct ScanTemplate {
    pub table_type: usize,
    /// Slice and weight of each part.
    pub parts: Vec<(u32, f64)>,
}

/// DispatchEnd often some things may happen in one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventLimits {
    /// Changes of searchers that the list tells at once.
    pub told: u32,
    /// Changes that it tells later or never, of searchers whose word is unsure.
    pub unseen: u32,
    pub restarts: u32,
    pub leaves: u32,
}

/// The small fleet, the scans, and what may happen.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub config: MixerConfig,
    pub searchers: Vec<ScenarioSearcher>,
    pub templates: Vec<ScanTemplate>,
    pub limits: EventLimits,
    pub seed: u64,
}

/// Holders that are kept of one slice: one to fail, one to stand in, one more to tell a choice from a need.
const HOLDERS: usize = 3;
/// Parts of the first scan: enough for one that is in while another is not.
const PARTS: usize = 2;
/// Shapes of slices that are explored for each table type: the scarcest first. `halls_count` where a hall is asked for by name.
const SHAPES: usize = 2;

impl Scenario {
    /// The arenas of a table type: for the slices with the fewest holders that take parts, and for others that differ
    /// from them. `scene` is the fleet after what has befallen it, `order` its searchers.
    pub fn of(
        fleet: &Fleet,
        scene: &[Group],
        order: &[u32],
        table_type: usize,
        allow: EventLimits,
        halls_count: bool,
        seed: u64,
    ) -> Vec<Self> {
        let holding = fleet.placement();
        let shape = |class: usize| {
            let mut places = Vec::new();
            hold(fleet, scene, order, holding.sets_of_class(class), &mut places);
            alike(&places, fleet.config().placement.zone, halls_count)
        };
        let takes = |class: usize| {
            let held = holding.sets_of_class(class);
            scene
                .iter()
                .filter(|g| held.contains(&g.set) && g.condition.accepts_work())
                .map(|g| g.count)
                .sum::<u32>()
        };
        let mut classes: Vec<usize> = (0..holding.classes()).collect();
        classes.sort_by_key(|c| (takes(*c), *c));
        let mut seen = BTreeSet::new();
        let firsts: Vec<usize> =
            classes.iter().copied().filter(|c| seen.insert(shape(*c))).take(SHAPES).collect();
        firsts
            .into_iter()
            .map(|first| {
                // The second part lies elsewhere, where there is such a place.
                let apart = |c: &&usize| {
                    !holding.sets_of_class(**c).iter().any(|s| holding.sets_of_class(first).contains(s))
                };
                let second = classes.iter().find(apart).copied();
                let mut places: Vec<ScenarioSearcher> = Vec::new();
                for class in [Some(first), second].into_iter().flatten() {
                    hold(fleet, scene, order, holding.sets_of_class(class), &mut places);
                }
                let spread = match second {
                    Some(second) => {
                        vec![holding.slices_of_class(first)[0], holding.slices_of_class(second)[0]]
                    }
                    None => holding.slices_of_class(first).iter().take(PARTS).copied().collect(),
                };
                let weight = 1.0 / spread.len().max(1) as f64;
                let templates = vec![
                    ScanTemplate { table_type, parts: spread.iter().map(|s| (*s, weight)).collect() },
                    ScanTemplate { table_type, parts: spread.iter().take(1).map(|s| (*s, 1.0)).collect() },
                ];
                Self { config: fleet.config().clone(), searchers: places, templates, limits: allow, seed }
            })
            .collect()
    }
}

/// What the module can tell of places: sets and halls by their order of appearance, but for the mixer's own hall; the
/// halls themselves where somebody asks for one by name.
pub(crate) fn alike(
    places: &[ScenarioSearcher],
    own: u16,
    halls_count: bool,
) -> Vec<(usize, usize, Condition, bool)> {
    let (mut cells, mut halls) = (Vec::new(), vec![usize::from(own)]);
    let nth = |seen: &mut Vec<usize>, of: usize| {
        seen.iter().position(|s| *s == of).unwrap_or_else(|| {
            seen.push(of);
            seen.len() - 1
        })
    };
    let place = |p: &ScenarioSearcher| {
        let hall = if halls_count { p.hall } else { nth(&mut halls, p.hall) };
        (nth(&mut cells, p.cell as usize), hall, p.condition, p.unsure)
    };
    places.iter().map(place).collect()
}

/// Adds the holders of a class: of every condition and hall one, then more up to [`HOLDERS`].
fn hold(fleet: &Fleet, scene: &[Group], order: &[u32], sets: &[u32], places: &mut Vec<ScenarioSearcher>) {
    let mut groups: Vec<&Group> = scene.iter().filter(|g| sets.contains(&g.set)).collect();
    groups.sort_by_key(|g| (g.condition, g.hall));
    let mut kept = 0;
    for nth in 0..HOLDERS as u32 {
        for group in groups.iter().filter(|g| nth < g.count) {
            // Every condition is told once, whatever the number; it is there to be wrongly sent to.
            if kept >= HOLDERS && (nth > 0 || group.condition.accepts_work()) {
                continue;
            }
            kept += usize::from(group.condition.accepts_work());
            let searcher = order[(group.from + nth) as usize];
            let port = u16::try_from(places.len() + 1).unwrap_or(u16::MAX);
            places.push(ScenarioSearcher {
                name: fleet.searchers()[searcher as usize].name.clone(),
                searcher,
                addr: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
                cell: fleet.searchers()[searcher as usize].set,
                hall: group.hall as usize,
                condition: group.condition,
                unsure: group.unsure,
            });
        }
    }
}
