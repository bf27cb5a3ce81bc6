//! When an address is announced, and the order of a drain.

use std::fmt::Write;

use insta::assert_snapshot;
use ipnet::IpNet;
use pewterwharf_bgp::announce::{
    AnnounceConfig, Announcer, Effect, Health, Input, Phase, RouteState, ServiceAddress, is_other_announcer,
    servable_share,
};
use pewterwharf_bgp::message::ObservedRoute;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn prefix(nth: usize) -> IpNet {
    format!("198.51.100.{nth}/32").parse().expect("a prefix")
}

fn config() -> AnnounceConfig {
    let address = |nth: usize, table_types: &[usize], keep_last| ServiceAddress {
        prefix: prefix(nth),
        table_types: table_types.to_vec(),
        keep_last,
    };
    AnnounceConfig {
        addresses: vec![address(0, &[], false), address(1, &[0], true)],
        up_share: 0.9,
        down_share: 0.6,
        up_delay_ms: 5000.0,
        down_delay_ms: 1000.0,
        max_list_age_ms: 30_000.0,
        max_rejected_share: 0.5,
        max_changes_per_minute: 6,
        depreferenced_ms: 2000.0,
        withdrawn_ms: 3000.0,
    }
}

/// Of two table types, the share that is usable.
fn usable(one: f64, two: f64) -> Health {
    Health {
        phase: Phase::Ready,
        servable_shares: vec![one, two],
        rejected_share: 0.0,
        has_client_capacity: true,
        list_age_ms: 0.0,
    }
}

struct Fixture {
    announcer: Announcer,
    now: f64,
    out: String,
}

impl Fixture {
    fn new() -> Self {
        let mut fixture = Self { announcer: Announcer::new(config()), now: 0.0, out: String::new() };
        fixture.tell(Input::Sessions(1));
        fixture
    }

    /// Announced, and quiet for long.
    fn ready() -> Self {
        let mut fixture = Self::new();
        fixture.tell(Input::Health(usable(1.0, 1.0)));
        fixture.pass(120_000.0);
        fixture.out.clear();
        fixture.now = 0.0;
        fixture.announcer = fixture.announcer.clone();
        fixture.now = 120_000.0;
        fixture
    }

    fn tell(&mut self, input: Input) {
        for effect in self.announcer.step(self.now, input) {
            let told = match effect {
                Effect::SetState { prefix, state, reason } => format!("{prefix} {state:?}: {reason:?}"),
                Effect::DrainComplete => "scans may stop".to_owned(),
            };
            let _ = writeln!(self.out, "{:>7.0} {told}", self.now);
        }
    }

    fn pass(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.announcer.next_timer() <= end {
            self.now = self.announcer.next_timer().max(self.now);
            self.tell(Input::Timer);
        }
        self.now = end;
    }
}

#[test]
fn it_is_announced_once_it_serves_and_withdrawn_when_nothing_is_usable() {
    let mut fixture = Fixture::new();
    fixture.pass(10_000.0);
    fixture.tell(Input::Health(usable(1.0, 1.0)));
    fixture.pass(60_000.0);
    fixture.out += "one table type is unusable: its addresses go, the other's stays\n";
    fixture.tell(Input::Health(usable(1.0, 0.0)));
    fixture.pass(60_000.0);
    fixture.out += "no searcher is usable\n";
    fixture.tell(Input::Health(usable(0.0, 0.0)));
    fixture.pass(60_000.0);
    fixture.out += "half is back, then enough\n";
    fixture.tell(Input::Health(usable(0.7, 0.7)));
    fixture.pass(60_000.0);
    fixture.tell(Input::Health(usable(0.95, 0.95)));
    fixture.pass(60_000.0);
    assert_snapshot!(fixture.out);
}

#[test]
fn a_stale_list_full_places_and_a_pressed_door_depreference() {
    let mut fixture = Fixture::ready();
    let sound = usable(1.0, 1.0);
    let worse = [
        Health { list_age_ms: 31_000.0, ..sound.clone() },
        Health { has_client_capacity: false, ..sound.clone() },
        Health { rejected_share: 0.6, ..sound.clone() },
    ];
    for health in worse {
        fixture.tell(Input::Health(health));
        fixture.pass(5_000.0);
        fixture.tell(Input::Health(sound.clone()));
        fixture.pass(120_000.0);
    }
    assert_snapshot!(fixture.out);
}

#[test]
fn a_last_announcer_is_kept_on_mere_suspicion_only() {
    let mut fixture = Fixture::ready();
    fixture.tell(Input::Health(usable(0.3, 0.3)));
    fixture.pass(10_000.0);
    fixture.out += "another announces it too\n";
    fixture.tell(Input::OtherAnnouncer(prefix(1), true));
    fixture.pass(10_000.0);
    fixture.out += "that other is gone\n";
    fixture.tell(Input::OtherAnnouncer(prefix(1), false));
    fixture.pass(10_000.0);
    fixture.out += "nothing at all is usable\n";
    fixture.tell(Input::Health(usable(0.0, 0.0)));
    fixture.pass(10_000.0);
    assert_snapshot!(fixture.out);
}

#[test]
fn searchers_that_flap_do_not_make_routes_flap() {
    let mut fixture = Fixture::ready();
    for _ in 0..120 {
        fixture.tell(Input::Health(usable(0.0, 0.0)));
        fixture.pass(400.0);
        fixture.tell(Input::Health(usable(1.0, 1.0)));
        fixture.pass(600.0);
    }
    fixture.out += "slowly, for ten minutes\n";
    let before = fixture.out.lines().count();
    for _ in 0..40 {
        fixture.tell(Input::Health(usable(0.0, 0.0)));
        fixture.pass(5_000.0);
        fixture.tell(Input::Health(usable(1.0, 1.0)));
        fixture.pass(10_000.0);
    }
    let changes = fixture.out.lines().count() - before;
    assert!((20..=2 * 6 * 10).contains(&changes), "{changes} in ten minutes");
    assert!(fixture.out.starts_with("slowly"), "{}", fixture.out);
}

#[test]
fn a_drain_goes_in_its_order_and_is_cut_short_where_nobody_listens() {
    let mut out = String::new();
    let mut drain = |name: &str, then: &dyn Fn(&mut Fixture)| {
        let mut fixture = Fixture::ready();
        fixture.tell(Input::Drain);
        then(&mut fixture);
        fixture.pass(60_000.0);
        out += &format!("{name}\n{}", fixture.out);
    };
    drain("alone", &|_| {});
    drain("health gets better and worse meanwhile", &|fixture| {
        fixture.tell(Input::Health(usable(0.0, 0.0)));
        fixture.pass(1500.0);
        fixture.tell(Input::Health(usable(1.0, 1.0)));
        fixture.tell(Input::Drain);
    });
    drain("asked a second time", &|fixture| {
        fixture.pass(500.0);
        fixture.tell(Input::DrainNow);
    });
    drain("the last session is lost", &|fixture| {
        fixture.pass(2500.0);
        fixture.tell(Input::Sessions(0));
    });
    let mut fixture = Fixture::new();
    fixture.tell(Input::Drain);
    out += &format!("before anything was announced\n{}", fixture.out);
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
        let (mut announcer, mut now) = (Announcer::new(config()), 0.0);
        let (mut stopped, mut drains) = (false, false);
        let mut states = [RouteState::Withdrawn; 2];
        let mut better: Vec<f64> = Vec::new();
        let mut unusable_since = Some(0.0);
        for (event, ms, share) in events {
            let end = now + ms;
            let share = if share < 0.4 { 0.0 } else { share.min(1.0) };
            let input = match event {
                0 => Input::Sessions(usize::from(share > 0.3)),
                1 => Input::OtherAnnouncer(prefix(1), share > 0.5),
                2 if share > 0.9 => { drains = true; Input::Drain }
                3 if share >= 1.0 => { drains = true; Input::DrainNow }
                _ => {
                    if share > 0.0 { unusable_since = None } else { unusable_since = unusable_since.or(Some(now)) }
                    Input::Health(usable(share, share))
                }
            };
            let mut input = Some(input);
            loop {
                let effects = match input.take() {
                    Some(input) => announcer.step(now, input),
                    None if announcer.next_timer() <= end => {
                        now = announcer.next_timer().max(now);
                        announcer.step(now, Input::Timer)
                    }
                    None => break,
                };
                for effect in effects {
                    match effect {
                        Effect::SetState { prefix: at, state, .. } => {
                            let address = usize::from(at == prefix(1));
                            prop_assert!(!stopped, "a change after the end");
                            let old = std::mem::replace(&mut states[address], state);
                            prop_assert!(!drains || state < old, "a drain made it better");
                            if state > old {
                                better.push(now);
                                let last = better.iter().filter(|at| **at > now - 60_000.0).count();
                                prop_assert!(last <= 6, "{last} changes for the better in a minute");
                            }
                        }
                        Effect::DrainComplete => {
                            prop_assert!(!std::mem::replace(&mut stopped, true), "stopped twice");
                            prop_assert_eq!(states, [RouteState::Withdrawn; 2]);
                        }
                    }
                }
            }
            now = end;
            if let Some(since) = unusable_since && now - since >= 1000.0 && !drains {
                prop_assert_eq!(states, [RouteState::Withdrawn; 2]);
            }
        }
    }
}

/// Who else announces: nobody, unless it is sure.
#[test]
fn a_route_that_may_be_the_mixers_own_is_nobody_elses() {
    let id = "10.0.0.1".parse().expect("an identifier");
    let hop = |last: u8| Some(format!("192.0.2.{last}").parse().expect("an address"));
    let own = hop(1);
    let by = |seen: ObservedRoute| is_other_announcer(&seen, id, own);
    let other = ObservedRoute { next_hop: hop(2), ..ObservedRoute::default() };
    assert!(by(other), "another next hop and no own AS in the path");
    assert!(!by(ObservedRoute { next_hop: own, ..other }), "the own next hop");
    assert!(!by(ObservedRoute { own_as_in_path: true, ..other }), "its path leads through the own AS");
    assert!(!by(ObservedRoute { graceful_shutdown: true, ..other }), "itself a last resort");
    assert!(!by(ObservedRoute::default()), "it says nothing of itself");
    let reflected = |last: u8| Some(format!("10.0.0.{last}").parse().expect("an identifier"));
    assert!(
        by(ObservedRoute { originator_id: reflected(2), own_as_in_path: true, ..other }),
        "a reflector names another"
    );
    assert!(!by(ObservedRoute { originator_id: reflected(1), ..other }), "a reflector names this mixer");
}

#[test]
fn a_table_type_is_served_as_far_as_what_it_needs_is_usable() {
    // Whole with three fifths of its parts, and no answer under two.
    assert_eq!(
        [0.0, 0.3, 0.4, 0.6, 1.0].map(|usable| servable_share(usable, 0.6, 0.4)),
        [0.0, 0.0, 0.4 / 0.6, 1.0, 1.0]
    );
    assert_eq!(servable_share(0.99, 1.0, 1.0), 0.0, "one that needs all fails without");
    assert_eq!(servable_share(1.0 - 1e-12, 1.0, 1.0), 1.0 - 1e-12);
    assert_eq!(servable_share(0.5, 0.0, 0.0), 0.5);
}

/// Two that announce the same, both cut to a third of their searchers at once, and told of each other late.
#[test]
fn two_that_fall_together_do_not_leave_nobody() {
    let keep = || {
        let mut config = config();
        config.addresses.remove(0);
        Announcer::new(config)
    };
    let (mut both, mut states) = ([keep(), keep()], [RouteState::Withdrawn; 2]);
    let mut told = [false; 2]; // whether each knows of the other
    let (mut nobody_since, mut longest, mut alone) = (None, 0.0f64, 0);
    let mut share = 1.0;
    for ms in 0..600 {
        let now = f64::from(ms) * 100.0;
        if ms == 200 {
            share = 0.3;
        }
        for me in 0..2 {
            let mut effects = both[me].step(now, Input::Sessions(1));
            effects.extend(both[me].step(now, Input::Health(usable(share, share))));
            effects.extend(both[me].step(now, Input::OtherAnnouncer(prefix(1), told[me])));
            for effect in effects {
                if let Effect::SetState { state, .. } = effect {
                    states[me] = state;
                }
            }
        }
        if ms % 5 == 0 {
            // What the other announces as more than a last resort, half a second late.
            told = [1, 0].map(|other: usize| states[other] == RouteState::Announced);
        }
        if states == [RouteState::Withdrawn; 2] {
            let since = *nobody_since.get_or_insert(now);
            longest = longest.max(if ms >= 200 { now - since } else { 0.0 });
        } else {
            nobody_since = None;
            alone += 1;
        }
    }
    assert!(alone > 0 && longest <= 5500.0, "nobody for {longest} ms");
    assert_eq!(states, [RouteState::Depreferenced; 2]);
}

#[test]
fn what_stays_in_the_operators_file_keeps_its_standing() {
    let mut fixture = Fixture::ready();
    let mut new = config();
    new.addresses.remove(0);
    new.addresses.push(ServiceAddress { prefix: prefix(2), table_types: vec![1], keep_last: false });
    new.down_delay_ms = 100.0;
    fixture.tell(Input::Configure(new.clone()));
    fixture.pass(60_000.0);
    fixture.out += "the second table type is unusable; worse lasts 100 ms now\n";
    fixture.tell(Input::Health(usable(1.0, 0.0)));
    fixture.pass(60_000.0);
    fixture.out += "in a drain, a new address stays where it is\n";
    fixture.tell(Input::Drain);
    fixture.tell(Input::Configure(config()));
    fixture.pass(60_000.0);
    assert_snapshot!(fixture.out);
}
