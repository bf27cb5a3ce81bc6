//! When an address is announced, and the order of a drain.

use std::fmt::Write;

use insta::assert_snapshot;
use pewterwharf_bgp::announce::{Address, Announcer, Effect, Health, Input, Phase, Stance, Terms};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn terms() -> Terms {
    let address = |table_types: &[usize], keep_last| Address { table_types: table_types.to_vec(), keep_last };
    Terms {
        addresses: vec![address(&[], false), address(&[0], true)],
        up_share: 0.9,
        down_share: 0.6,
        up_ms: 5000.0,
        down_ms: 1000.0,
        stale_ms: 30_000.0,
        pressure: 0.5,
        changes: 6,
        depreferenced_ms: 2000.0,
        leave_ms: 3000.0,
    }
}

/// Of two table types, the share that is usable.
fn usable(one: f64, two: f64) -> Health {
    Health { phase: Phase::Ready, usable: vec![one, two], pressure: 0.0, places: true, list_age_ms: 0.0 }
}

struct Rig {
    announcer: Announcer,
    now: f64,
    out: String,
}

impl Rig {
    fn new() -> Self {
        let mut rig = Self { announcer: Announcer::new(terms()), now: 0.0, out: String::new() };
        rig.tell(Input::Sessions(1));
        rig
    }

    /// Announced, and quiet for long.
    fn ready() -> Self {
        let mut rig = Self::new();
        rig.tell(Input::Health(usable(1.0, 1.0)));
        rig.pass(120_000.0);
        rig.out.clear();
        rig.now = 0.0;
        rig.announcer = rig.announcer.clone();
        rig.now = 120_000.0;
        rig
    }

    fn tell(&mut self, input: Input) {
        for effect in self.announcer.step(self.now, input) {
            let _ = writeln!(self.out, "{:>7.0} {effect:?}", self.now);
        }
    }

    fn pass(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.announcer.due() <= end {
            self.now = self.announcer.due().max(self.now);
            self.tell(Input::Timer);
        }
        self.now = end;
    }
}

#[test]
fn it_is_announced_once_it_serves_and_withdrawn_when_nothing_is_usable() {
    let mut rig = Rig::new();
    rig.pass(10_000.0);
    rig.tell(Input::Health(usable(1.0, 1.0)));
    rig.pass(60_000.0);
    rig.out += "one table type is unusable: its addresses go, the other's stays\n";
    rig.tell(Input::Health(usable(1.0, 0.0)));
    rig.pass(60_000.0);
    rig.out += "no searcher is usable\n";
    rig.tell(Input::Health(usable(0.0, 0.0)));
    rig.pass(60_000.0);
    rig.out += "half is back, then enough\n";
    rig.tell(Input::Health(usable(0.7, 0.7)));
    rig.pass(60_000.0);
    rig.tell(Input::Health(usable(0.95, 0.95)));
    rig.pass(60_000.0);
    assert_snapshot!(rig.out);
}

#[test]
fn a_stale_list_full_places_and_a_pressed_door_depreference() {
    let mut rig = Rig::ready();
    let sound = usable(1.0, 1.0);
    let worse = [
        Health { list_age_ms: 31_000.0, ..sound.clone() },
        Health { places: false, ..sound.clone() },
        Health { pressure: 0.6, ..sound.clone() },
    ];
    for health in worse {
        rig.tell(Input::Health(health));
        rig.pass(5_000.0);
        rig.tell(Input::Health(sound.clone()));
        rig.pass(120_000.0);
    }
    assert_snapshot!(rig.out);
}

#[test]
fn a_last_announcer_is_kept_on_mere_suspicion_only() {
    let mut rig = Rig::ready();
    rig.tell(Input::Health(usable(0.3, 0.3)));
    rig.pass(10_000.0);
    rig.out += "another announces it too\n";
    rig.tell(Input::Others(1, true));
    rig.pass(10_000.0);
    assert_snapshot!(rig.out);
}

#[test]
fn searchers_that_flap_do_not_make_routes_flap() {
    let mut rig = Rig::ready();
    for _ in 0..120 {
        rig.tell(Input::Health(usable(0.0, 0.0)));
        rig.pass(400.0);
        rig.tell(Input::Health(usable(1.0, 1.0)));
        rig.pass(600.0);
    }
    rig.out += "slowly, for ten minutes\n";
    let before = rig.out.lines().count();
    for _ in 0..40 {
        rig.tell(Input::Health(usable(0.0, 0.0)));
        rig.pass(5_000.0);
        rig.tell(Input::Health(usable(1.0, 1.0)));
        rig.pass(10_000.0);
    }
    let changes = rig.out.lines().count() - before;
    assert!((20..=2 * 6 * 10).contains(&changes), "{changes} in ten minutes");
    assert!(rig.out.starts_with("slowly"), "{}", rig.out);
}

#[test]
fn a_drain_goes_in_its_order_and_is_cut_short_where_nobody_listens() {
    let mut out = String::new();
    let mut drain = |name: &str, then: &dyn Fn(&mut Rig)| {
        let mut rig = Rig::ready();
        rig.tell(Input::Drain);
        then(&mut rig);
        rig.pass(60_000.0);
        out += &format!("{name}\n{}", rig.out);
    };
    drain("alone", &|_| {});
    drain("health gets better and worse meanwhile", &|rig| {
        rig.tell(Input::Health(usable(0.0, 0.0)));
        rig.pass(1500.0);
        rig.tell(Input::Health(usable(1.0, 1.0)));
        rig.tell(Input::Drain);
    });
    drain("asked a second time", &|rig| {
        rig.pass(500.0);
        rig.tell(Input::Hurry);
    });
    drain("the last session is lost", &|rig| {
        rig.pass(2500.0);
        rig.tell(Input::Sessions(0));
    });
    let mut rig = Rig::new();
    rig.tell(Input::Drain);
    out += &format!("before anything was announced\n{}", rig.out);
    assert_snapshot!(out);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(17), ..ProptestConfig::with_cases(500) })]

    /// Scans may stop once, after every withdrawal; a drain makes nothing better; with nothing usable the address is gone
    /// in time; a minute sees no more changes for the better than are stated.
    #[test]
    fn whatever_happens_the_order_is_kept(
        events in proptest::collection::vec((0u8..12, 0.0f64..4000.0, 0.0f64..1.2), 1..80),
    ) {
        let (mut announcer, mut now) = (Announcer::new(terms()), 0.0);
        let (mut stopped, mut drains) = (false, false);
        let mut stances = [Stance::Withdrawn; 2];
        let mut better: Vec<f64> = Vec::new();
        let mut unusable_since = Some(0.0);
        for (event, ms, share) in events {
            let end = now + ms;
            let share = if share < 0.4 { 0.0 } else { share.min(1.0) };
            let input = match event {
                0 => Input::Sessions(usize::from(share > 0.3)),
                1 => Input::Others(1, share > 0.5),
                2 if share > 0.9 => { drains = true; Input::Drain }
                3 if share >= 1.0 => { drains = true; Input::Hurry }
                _ => {
                    if share > 0.0 { unusable_since = None } else { unusable_since = unusable_since.or(Some(now)) }
                    Input::Health(usable(share, share))
                }
            };
            let mut input = Some(input);
            loop {
                let effects = match input.take() {
                    Some(input) => announcer.step(now, input),
                    None if announcer.due() <= end => {
                        now = announcer.due().max(now);
                        announcer.step(now, Input::Timer)
                    }
                    None => break,
                };
                for effect in effects {
                    match effect {
                        Effect::Stand { address, stance, .. } => {
                            prop_assert!(!stopped, "a change after the end");
                            let old = std::mem::replace(&mut stances[address], stance);
                            prop_assert!(!drains || stance < old, "a drain made it better");
                            if stance > old {
                                better.push(now);
                                let last = better.iter().filter(|at| **at > now - 60_000.0).count();
                                prop_assert!(last <= 6, "{last} changes for the better in a minute");
                            }
                        }
                        Effect::MayStop => {
                            prop_assert!(!std::mem::replace(&mut stopped, true), "stopped twice");
                            prop_assert_eq!(stances, [Stance::Withdrawn; 2]);
                        }
                    }
                }
            }
            now = end;
            if let Some(since) = unusable_since && now - since >= 1000.0 && !drains {
                prop_assert_eq!(stances, [Stance::Withdrawn; 2]);
            }
        }
    }
}
