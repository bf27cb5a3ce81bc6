//! The faults of a run, drawn from its seed so that two or three overlap.

use oorandom::Rand64;

use crate::control::{Manner, Passing};

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// SIGTERM, the front goes on for 0.2 to 0.4 s, SIGKILL as late as the platform; then a new process.
    MixerEnds {
        mixer: usize,
        front_ms: u64,
    },
    /// As the one before, with the new process started so long after the SIGTERM, whether the old one has ended or not.
    MixerHandsOver {
        mixer: usize,
        after_ms: u64,
    },
    /// SIGKILL, then a new process.
    MixerKilled {
        mixer: usize,
    },
    MixerPaused {
        mixer: usize,
        ms: u64,
    },
    /// It stands still so many times for so long, and goes on for a moment between.
    MixerStutters {
        mixer: usize,
        count: u32,
        ms: u64,
        apart_ms: u64,
    },
    /// A new configuration moves discovery, with so many SIGHUPs in a row.
    MixerReloads {
        mixer: usize,
        signals: u32,
    },
    /// SIGUSR1.
    MixerReports {
        mixer: usize,
    },
    /// Nobody reads its log any more.
    LogReaderGone {
        mixer: usize,
    },
    LogReaderStalls {
        mixer: usize,
        ms: u64,
    },
    SearcherPaused {
        searcher: usize,
        ms: u64,
    },
    /// SIGKILL, and a new process after so long, which is listed as begun just then.
    SearcherRestarts {
        searcher: usize,
        ms: u64,
    },
    SearcherDoes {
        searcher: usize,
        manner: Manner,
        ms: u64,
    },
    /// It drains, is removed, ends, and another takes its place.
    SearcherReplaced {
        searcher: usize,
        drains_ms: u64,
    },
    ProxyPasses {
        proxy: usize,
        passing: Passing,
        ms: u64,
    },
    AgentSilent {
        mixer: usize,
        ms: u64,
    },
    AgentDown {
        mixer: usize,
        ms: u64,
    },
    AgentResets {
        mixer: usize,
    },
    AgentSlow {
        mixer: usize,
        ms: u64,
    },
    ClientsLeave {
        mixer: usize,
    },
    ClientsBurst {
        mixer: usize,
        count: usize,
    },
    ClientsCrowd {
        mixer: usize,
        count: usize,
        ms: u64,
    },
}

/// How many of each there are.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub mixers: usize,
    pub searchers: usize,
    pub proxies: usize,
}

/// Between the beginnings of two crossings.
const APART_MS: (u64, u64) = (1200, 2600);
/// The faults of one crossing begin within so long.
const TOGETHER_MS: u64 = 700;
/// Before the first, all is to have come up and settled.
const FIRST_MS: u64 = 1500;

/// Faults with the times at which they begin, in milliseconds from the beginning of a run of that length.
pub fn draw(seed: u64, length_ms: u64, sizes: Sizes) -> Vec<(u64, Trouble)> {
    let mut random = Rand64::new(u128::from(seed) * 7 + 1);
    let mut troubles = Vec::new();
    let mut at = FIRST_MS;
    while at + 1500 < length_ms {
        let mixer = random.rand_range(0..sizes.mixers as u64) as usize;
        for _ in 0..random.rand_range(2..4) {
            let begins = at + random.rand_range(0..TOGETHER_MS);
            troubles.push((begins, one(&mut random, mixer, sizes)));
        }
        at += random.rand_range(APART_MS.0..APART_MS.1);
    }
    troubles.sort_by_key(|trouble| trouble.0);
    troubles
}

fn stutter(below: &mut impl FnMut(u64) -> u64, mixer: usize) -> Trouble {
    let (count, ms, apart_ms) = (3 + below(7) as u32, 60 + below(200), below(50));
    Trouble::MixerStutters { mixer, count, ms, apart_ms }
}

/// Faults of a run whose connections take few bytes: searchers that read nothing, mixers that stop again and again meanwhile, and
/// clients that leave.
pub fn draw_narrow(seed: u64, length_ms: u64, sizes: Sizes) -> Vec<(u64, Trouble)> {
    let mut random = Rand64::new(u128::from(seed) * 7 + 2);
    let mut troubles = draw(seed, length_ms, sizes);
    let mut at = FIRST_MS;
    while at + 2000 < length_ms {
        let mut below = |count: u64| random.rand_range(0..count);
        let proxy = below(sizes.proxies as u64) as usize;
        troubles.push((at, Trouble::ProxyPasses { proxy, passing: Passing::Deaf, ms: 1500 + below(3500) }));
        for _ in 0..2 {
            let mixer = below(sizes.mixers as u64) as usize;
            let begins = at + 100 + below(900);
            troubles.push((begins, stutter(&mut below, mixer)));
            troubles.push((begins + below(600), Trouble::ClientsLeave { mixer }));
        }
        at += random.rand_range(APART_MS.0..APART_MS.1);
    }
    troubles.sort_by_key(|trouble| trouble.0);
    troubles
}

/// One fault, of this mixer if it is one of a mixer's.
fn one(random: &mut Rand64, mixer: usize, sizes: Sizes) -> Trouble {
    let mut below = |count: u64| random.rand_range(0..count);
    let searcher = below(sizes.searchers as u64) as usize;
    let proxy = below(sizes.proxies as u64) as usize;
    let manners = [
        Manner::Hangs,
        Manner::Full,
        Manner::Fails,
        Manner::Slow,
        Manner::Spoils,
        Manner::Resets,
        Manner::Halves,
    ];
    let passings = [Passing::Stalled, Passing::Chopped, Passing::Cut, Passing::Refuses];
    match below(29) {
        0..3 => Trouble::MixerEnds { mixer, front_ms: 200 + below(200) },
        3 => Trouble::MixerHandsOver { mixer, after_ms: 300 + below(700) },
        4 => Trouble::MixerKilled { mixer },
        5 | 6 => Trouble::MixerPaused { mixer, ms: 50 + below(100) },
        7 => Trouble::MixerPaused { mixer, ms: 300 + below(500) },
        8 | 9 => Trouble::MixerReloads { mixer, signals: 1 + below(4) as u32 },
        10 => match below(4) {
            0 => Trouble::LogReaderGone { mixer },
            1 => Trouble::LogReaderStalls { mixer, ms: 2000 + below(3000) },
            _ => Trouble::MixerReports { mixer },
        },
        11 | 12 => Trouble::SearcherPaused { searcher, ms: 300 + below(2500) },
        13 => Trouble::SearcherRestarts { searcher, ms: 100 + below(900) },
        14 | 15 => {
            let manner = manners[below(manners.len() as u64) as usize];
            Trouble::SearcherDoes { searcher, manner, ms: 500 + below(2500) }
        }
        16..19 => Trouble::SearcherReplaced { searcher, drains_ms: 400 + below(1200) },
        19 => {
            let passing = passings[below(passings.len() as u64) as usize];
            Trouble::ProxyPasses { proxy, passing, ms: 200 + below(1500) }
        }
        20 => Trouble::AgentSilent { mixer, ms: 1000 + below(5000) },
        21 => Trouble::AgentDown { mixer, ms: 500 + below(4000) },
        22 => match below(2) {
            0 => Trouble::AgentResets { mixer },
            _ => Trouble::AgentSlow { mixer, ms: 1000 + below(3000) },
        },
        23 | 24 => Trouble::ClientsLeave { mixer },
        25 | 26 => stutter(&mut below, mixer),
        27 => Trouble::ProxyPasses { proxy, passing: Passing::Deaf, ms: 300 + below(3000) },
        _ => match below(2) {
            0 => Trouble::ClientsBurst { mixer, count: 20 + below(40) as usize },
            _ => Trouble::ClientsCrowd { mixer, count: 60 + below(80) as usize, ms: 500 + below(2500) },
        },
    }
}
