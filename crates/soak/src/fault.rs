//! The faults of a run. They are drawn from its seed so that two or three overlap.

use oorandom::Rand64;

use crate::control::{ProxyMode, SearcherBehavior};

/// One fault. Records hold its debug text. Durations are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// SIGTERM, and SIGKILL when the platform would send it; then a new process. The load balancer sends new connections for another
    /// `front_ms`.
    MixerEnds { mixer: usize, front_ms: u64 },
    /// SIGTERM and SIGKILL as in `MixerEnds`; the new process is started `after_ms` after the SIGTERM, even if the old one still runs.
    MixerHandsOver { mixer: usize, after_ms: u64 },
    /// SIGKILL, then a new process.
    MixerKilled { mixer: usize },
    /// SIGSTOP and, after `ms`, SIGCONT.
    MixerPaused { mixer: usize, ms: u64 },
    /// The mixer is stopped `count` times for `ms`, and runs for `apart_ms` in between.
    MixerStutters { mixer: usize, count: u32, ms: u64, apart_ms: u64 },
    /// A new configuration moves discovery to its other address; SIGHUP is sent `signals` times.
    MixerReloads { mixer: usize, signals: u32 },
    /// SIGUSR1, at which the mixer prints its counters.
    MixerReports { mixer: usize },
    /// The pipe of the mixer's log is closed.
    LogReaderGone { mixer: usize },
    /// The mixer's log is not read for `ms`.
    LogReaderStalls { mixer: usize, ms: u64 },
    /// SIGSTOP and, after `ms`, SIGCONT.
    SearcherPaused { searcher: usize, ms: u64 },
    /// SIGKILL, and after `ms` a new process, listed as started at that time.
    SearcherRestarts { searcher: usize, ms: u64 },
    /// The searcher behaves like this for `ms`.
    SearcherDoes { searcher: usize, manner: SearcherBehavior, ms: u64 },
    /// The searcher drains for `drains_ms`, is removed from the list and ends; another one replaces it.
    SearcherReplaced { searcher: usize, drains_ms: u64 },
    /// The proxy is in this mode for `ms`.
    ProxyPasses { proxy: usize, passing: ProxyMode, ms: u64 },
    /// Open watches of the mixer's agent send nothing for `ms`.
    AgentSilent { mixer: usize, ms: u64 },
    /// The mixer's agent answers nothing for `ms`.
    AgentDown { mixer: usize, ms: u64 },
    /// The mixer's agent closes its open watches.
    AgentResets { mixer: usize },
    /// The mixer's agent sends lists slowly for `ms`.
    AgentSlow { mixer: usize, ms: u64 },
    /// Clients with open requests close their connections.
    ClientsLeave { mixer: usize },
    /// `count` further clients send one request each, at once.
    ClientsBurst { mixer: usize, count: usize },
    /// `count` idle connections stay open for `ms`.
    ClientsCrowd { mixer: usize, count: usize, ms: u64 },
}

/// A fault and when it begins, in milliseconds after the run began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    pub at_ms: u64,
    pub fault: Fault,
}

/// The number of processes of each kind.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub mixers: usize,
    pub searchers: usize,
    pub proxies: usize,
}

/// Bounds on the distance between groups of faults.
const MIN_GROUP_DISTANCE_MS: u64 = 1200;
const MAX_GROUP_DISTANCE_MS: u64 = 2600;
/// Faults of a group begin within this time.
const GROUP_SPREAD_MS: u64 = 700;
/// When the first group begins: after the processes have started and settled.
const FIRST_GROUP_MS: u64 = 1500;
/// The end of a run that stays free of new groups.
const QUIET_END_MS: u64 = 1500;
/// The same for the additional groups of a run with small buffers.
const QUIET_END_SMALL_BUFFERS_MS: u64 = 2000;

/// Draws the faults of a run of this length, in the order of their times.
pub fn draw(seed: u64, length_ms: u64, sizes: Sizes) -> Vec<ScheduledFault> {
    let mut random = Rand64::new(u128::from(seed) * 7 + 1);
    let mut faults = Vec::new();
    let mut group_ms = FIRST_GROUP_MS;
    while group_ms + QUIET_END_MS < length_ms {
        let mixer = random.rand_range(0..sizes.mixers as u64) as usize;
        for _ in 0..random.rand_range(2..4) {
            let at_ms = group_ms + random.rand_range(0..GROUP_SPREAD_MS);
            faults.push(ScheduledFault { at_ms, fault: draw_fault(&mut random, mixer, sizes) });
        }
        group_ms += random.rand_range(MIN_GROUP_DISTANCE_MS..MAX_GROUP_DISTANCE_MS);
    }
    faults.sort_by_key(|scheduled| scheduled.at_ms);
    faults
}

fn draw_stutter(below: &mut impl FnMut(u64) -> u64, mixer: usize) -> Fault {
    let count = 3 + below(7) as u32;
    let ms = 60 + below(200);
    let apart_ms = below(50);
    Fault::MixerStutters { mixer, count, ms, apart_ms }
}

/// Draws the faults of a run with small buffers: those of [`draw`], and groups in which a proxy reads nothing while mixers
/// stop repeatedly and clients leave.
pub fn draw_for_small_buffers(seed: u64, length_ms: u64, sizes: Sizes) -> Vec<ScheduledFault> {
    let mut random = Rand64::new(u128::from(seed) * 7 + 2);
    let mut faults = draw(seed, length_ms, sizes);
    let mut group_ms = FIRST_GROUP_MS;
    while group_ms + QUIET_END_SMALL_BUFFERS_MS < length_ms {
        let mut below = |count: u64| random.rand_range(0..count);
        let proxy = below(sizes.proxies as u64) as usize;
        let deaf = Fault::ProxyPasses { proxy, passing: ProxyMode::Deaf, ms: 1500 + below(3500) };
        faults.push(ScheduledFault { at_ms: group_ms, fault: deaf });
        for _ in 0..2 {
            let mixer = below(sizes.mixers as u64) as usize;
            let at_ms = group_ms + 100 + below(900);
            faults.push(ScheduledFault { at_ms, fault: draw_stutter(&mut below, mixer) });
            let leave_ms = at_ms + below(600);
            faults.push(ScheduledFault { at_ms: leave_ms, fault: Fault::ClientsLeave { mixer } });
        }
        group_ms += random.rand_range(MIN_GROUP_DISTANCE_MS..MAX_GROUP_DISTANCE_MS);
    }
    faults.sort_by_key(|scheduled| scheduled.at_ms);
    faults
}

/// Draws one fault; a fault of a mixer concerns this one.
fn draw_fault(random: &mut Rand64, mixer: usize, sizes: Sizes) -> Fault {
    let mut below = |count: u64| random.rand_range(0..count);
    let searcher = below(sizes.searchers as u64) as usize;
    let proxy = below(sizes.proxies as u64) as usize;
    let behaviors = [
        SearcherBehavior::Hangs,
        SearcherBehavior::Full,
        SearcherBehavior::Fails,
        SearcherBehavior::Slow,
        SearcherBehavior::Spoils,
        SearcherBehavior::Resets,
        SearcherBehavior::Halves,
    ];
    let modes = [ProxyMode::Stalled, ProxyMode::Chopped, ProxyMode::Cut, ProxyMode::Refuses];
    match below(29) {
        0..3 => Fault::MixerEnds { mixer, front_ms: 200 + below(200) },
        3 => Fault::MixerHandsOver { mixer, after_ms: 300 + below(700) },
        4 => Fault::MixerKilled { mixer },
        5 | 6 => Fault::MixerPaused { mixer, ms: 50 + below(100) },
        7 => Fault::MixerPaused { mixer, ms: 300 + below(500) },
        8 | 9 => Fault::MixerReloads { mixer, signals: 1 + below(4) as u32 },
        10 => match below(4) {
            0 => Fault::LogReaderGone { mixer },
            1 => Fault::LogReaderStalls { mixer, ms: 2000 + below(3000) },
            _ => Fault::MixerReports { mixer },
        },
        11 | 12 => Fault::SearcherPaused { searcher, ms: 300 + below(2500) },
        13 => Fault::SearcherRestarts { searcher, ms: 100 + below(900) },
        14 | 15 => {
            let behavior = behaviors[below(behaviors.len() as u64) as usize];
            Fault::SearcherDoes { searcher, manner: behavior, ms: 500 + below(2500) }
        }
        16..19 => Fault::SearcherReplaced { searcher, drains_ms: 400 + below(1200) },
        19 => {
            let mode = modes[below(modes.len() as u64) as usize];
            Fault::ProxyPasses { proxy, passing: mode, ms: 200 + below(1500) }
        }
        20 => Fault::AgentSilent { mixer, ms: 1000 + below(5000) },
        21 => Fault::AgentDown { mixer, ms: 500 + below(4000) },
        22 => match below(2) {
            0 => Fault::AgentResets { mixer },
            _ => Fault::AgentSlow { mixer, ms: 1000 + below(3000) },
        },
        23 | 24 => Fault::ClientsLeave { mixer },
        25 | 26 => draw_stutter(&mut below, mixer),
        27 => Fault::ProxyPasses { proxy, passing: ProxyMode::Deaf, ms: 300 + below(3000) },
        _ => match below(2) {
            0 => Fault::ClientsBurst { mixer, count: 20 + below(40) as usize },
            _ => Fault::ClientsCrowd { mixer, count: 60 + below(80) as usize, ms: 500 + below(2500) },
        },
    }
}
