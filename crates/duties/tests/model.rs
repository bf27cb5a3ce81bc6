//! Model checking of the actual code: all orders of events within bounds. Two mixers hold leases and two
//! assign them; clocks drift; messages are lost, delayed and reordered; turns are late; and a pause
//! separates the check of the clock from the effect.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use pewterwharf_council::StateMachine;
use pewterwharf_duties::{Candidate, DutyTable, Fence, LeaseAssigner, LeaseCommand, LeaseHolder};
use stateright::{Checker, HasDiscoveries, Model, Property};

const DUTY: &str = "warmer";
const LENGTH_MS: u64 = 2;
/// Clock drift that the code under test assumes.
const MAX_CLOCK_DRIFT: f64 = 0.25;
/// Rates of the clocks: an eighth too slow for holders, an eighth too fast for assigners, which is the worst
/// case.
const HOLDER_CLOCK_RATE: f64 = 0.875;
const ASSIGNER_CLOCK_RATE: f64 = 1.125;
/// Commands that may be in flight at once.
const MAX_PENDING: usize = 2;

const ONE_HOLDER: &str = "one at a time may act";
const ONE_HOLDER_PER_EPOCH: &str = "one has effects under an epoch";
const BOTH_ACT: &str = "both have had effects";

/// A fault that is planted to check that the model detects it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PlantedFault {
    None,
    /// The assigner considers a lease expired after half of its length.
    GrantTooEarly,
    /// Clocks are assumed to have equal rates.
    DriftIgnored,
    /// A grant is applied although the log has a renewal before it.
    RenewalsIgnored,
    /// A new holder has the epoch of the previous one.
    EpochNotIncremented,
    /// A holder acts for longer than its lease.
    HeldTooLong,
}

/// A mixer that holds leases.
#[derive(Clone, Debug, PartialEq)]
struct HolderProcess {
    holder: LeaseHolder,
    /// The log as it saw it last.
    table: DutyTable,
    /// The epoch under which it is about to act.
    checked_epoch: Option<u64>,
}

#[derive(Clone, Debug, PartialEq)]
struct AssignerProcess {
    assigner: LeaseAssigner,
    /// The log as it saw it last.
    table: DutyTable,
}

#[derive(Clone, Debug, PartialEq)]
struct World {
    time: u32,
    /// Commands that are proposed and not yet applied.
    pending: Vec<LeaseCommand>,
    table: DutyTable,
    holders: Vec<HolderProcess>,
    assigners: Vec<AssignerProcess>,
    fence: Fence,
    /// The holders that have had effects, by epoch.
    effects: BTreeMap<u64, BTreeSet<usize>>,
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // The state contains floats, which don't implement Hash; their text does.
        format!("{self:?}").hash(state);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Event {
    Time,
    HolderTurn(usize),
    AssignerTurn(usize),
    Apply(usize),
    /// A holder checks whether it may act.
    Check(usize),
    /// A holder acts by the result of its check.
    Act(usize),
}

struct Bounds {
    planted: PlantedFault,
    max_time: u32,
    /// Whether effects are modelled, with the pause before them.
    effects: bool,
    assigners: usize,
}

fn name(holder: usize) -> String {
    format!("m{}", holder + 1)
}

impl Bounds {
    fn holder_time_ms(&self, world: &World) -> f64 {
        f64::from(world.time) * HOLDER_CLOCK_RATE
    }

    fn valid_epoch(&self, world: &World, h: usize) -> Option<u64> {
        world.holders[h].holder.valid_epoch(self.holder_time_ms(world), DUTY)
    }

    fn apply_pending(&self, world: &mut World, n: usize) {
        let mut command = world.pending.remove(n);
        let epoch = world.table.duties.get(DUTY).map_or(0, |duty| duty.epoch);
        if let LeaseCommand::Grant { epoch: next, renewals, .. } = &mut command {
            let actual = world.table.duties.get(DUTY).map_or(0, |duty| duty.renewals);
            if self.planted == PlantedFault::RenewalsIgnored && *next == epoch + 1 {
                *renewals = actual;
            }
        }
        world.table.apply(&command);
        if self.planted == PlantedFault::EpochNotIncremented
            && let Some(duty) = world.table.duties.get_mut(DUTY)
        {
            duty.epoch = 1;
        }
    }
}

fn run_holder_turn(world: &mut World, h: usize, now_ms: f64) {
    let table = world.table.clone();
    let process = &mut world.holders[h];
    process.table = table;
    world.pending.extend(process.holder.update(now_ms, &process.table));
}

fn run_assigner_turn(world: &mut World, a: usize) {
    let now_ms = f64::from(world.time) * ASSIGNER_CLOCK_RATE;
    let table = world.table.clone();
    let process = &mut world.assigners[a];
    process.table = table;
    process.assigner.observe(now_ms, &process.table);
    let wanted = BTreeMap::from([(DUTY.to_owned(), LENGTH_MS)]);
    // Each assigner prefers another holder.
    let candidates: Vec<Candidate> =
        (0..2).map(|h| Candidate { name: name(h), load: if h == a { 0.0 } else { 0.9 } }).collect();
    world.pending.extend(process.assigner.grants(now_ms, &process.table, &wanted, &candidates));
}

impl Model for Bounds {
    type State = World;
    type Action = Event;

    fn init_states(&self) -> Vec<World> {
        let (holder_drift, assigner_drift) = match self.planted {
            PlantedFault::DriftIgnored => (0.0, 0.0),
            PlantedFault::GrantTooEarly => (MAX_CLOCK_DRIFT, -0.5),
            PlantedFault::HeldTooLong => (-1.5, MAX_CLOCK_DRIFT),
            _ => (MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT),
        };
        let holder = |h: usize| HolderProcess {
            holder: LeaseHolder::new(&name(h), holder_drift),
            table: DutyTable::default(),
            checked_epoch: None,
        };
        let assigner =
            |_| AssignerProcess { assigner: LeaseAssigner::new(assigner_drift), table: DutyTable::default() };
        vec![World {
            time: 0,
            pending: Vec::new(),
            table: DutyTable::default(),
            holders: (0..2).map(holder).collect(),
            assigners: (0..2).map(assigner).collect(),
            fence: Fence::default(),
            effects: BTreeMap::new(),
        }]
    }

    fn actions(&self, world: &World, events: &mut Vec<Event>) {
        if world.time < self.max_time {
            events.push(Event::Time);
        }
        events.extend((0..2).map(Event::HolderTurn));
        events.extend((0..self.assigners).map(Event::AssignerTurn));
        // A lost command is one that is not applied within the bounds.
        events.extend((0..world.pending.len()).map(Event::Apply));
        for h in (0..2).filter(|_| self.effects) {
            match world.holders[h].checked_epoch {
                Some(_) => events.push(Event::Act(h)),
                None if self.valid_epoch(world, h).is_some() => events.push(Event::Check(h)),
                None => {}
            }
        }
    }

    fn next_state(&self, before: &World, event: Event) -> Option<World> {
        let mut world = before.clone();
        match event {
            Event::Time => world.time += 1,
            Event::HolderTurn(h) => {
                let now_ms = self.holder_time_ms(&world);
                run_holder_turn(&mut world, h, now_ms);
            }
            Event::AssignerTurn(a) => run_assigner_turn(&mut world, a),
            Event::Apply(n) => self.apply_pending(&mut world, n),
            Event::Check(h) => world.holders[h].checked_epoch = self.valid_epoch(&world, h),
            Event::Act(h) => {
                let epoch = world.holders[h].checked_epoch.take()?;
                if world.fence.accepts(DUTY, epoch) {
                    world.effects.entry(epoch).or_default().insert(h);
                }
            }
        }
        // States that differ only in the order of pending commands are the same.
        world.pending.sort_by_key(|command| format!("{command:?}"));
        Some(world).filter(|world| world != before)
    }

    fn within_boundary(&self, world: &World) -> bool {
        world.pending.len() <= MAX_PENDING
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_HOLDER, |bounds: &Bounds, world: &World| {
                (0..2).filter(|h| bounds.valid_epoch(world, *h).is_some()).count() <= 1
            }),
            Property::always(ONE_HOLDER_PER_EPOCH, |_, world: &World| {
                world.effects.values().all(|holders| holders.len() <= 1)
            }),
            Property::sometimes(BOTH_ACT, |_, world: &World| {
                world.effects.values().flatten().collect::<BTreeSet<_>>().len() == 2
            }),
        ]
    }
}

struct CheckResult {
    /// The properties that don't hold.
    violated: Vec<&'static str>,
    /// Whether both holders act in some run.
    both_act: bool,
    states: usize,
}

fn check(bounds: Bounds) -> CheckResult {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let checker =
        bounds.checker().threads(threads).finish_when(HasDiscoveries::AnyFailures).spawn_dfs().join();
    let discoveries = checker.discoveries();
    let always = [ONE_HOLDER, ONE_HOLDER_PER_EPOCH];
    CheckResult {
        violated: always.into_iter().filter(|property| discoveries.contains_key(property)).collect(),
        both_act: discoveries.contains_key(BOTH_ACT),
        states: checker.unique_state_count(),
    }
}

#[test]
fn mutual_exclusion() {
    let bounds = Bounds { planted: PlantedFault::None, max_time: 3, effects: false, assigners: 2 };
    let result = check(bounds);
    println!("{} states", result.states);
    assert_eq!(result.violated, [] as [&str; 0]);
}

#[test]
fn one_holder_per_epoch() {
    let bounds = Bounds { planted: PlantedFault::None, max_time: 4, effects: true, assigners: 1 };
    let result = check(bounds);
    println!("{} states with effects", result.states);
    assert_eq!(result.violated, [] as [&str; 0]);
    assert!(result.both_act, "the bounds are wide enough for a change of the holder");
}

#[test]
fn detection_of_planted_faults() {
    let violated = |planted, effects| check(Bounds { planted, max_time: 3, effects, assigners: 2 }).violated;
    assert_eq!(violated(PlantedFault::GrantTooEarly, false), [ONE_HOLDER]);
    assert_eq!(violated(PlantedFault::DriftIgnored, false), [ONE_HOLDER]);
    assert_eq!(violated(PlantedFault::RenewalsIgnored, false), [ONE_HOLDER]);
    assert_eq!(violated(PlantedFault::HeldTooLong, false), [ONE_HOLDER]);
    assert!(violated(PlantedFault::EpochNotIncremented, true).contains(&ONE_HOLDER_PER_EPOCH));
}
