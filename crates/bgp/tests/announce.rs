//! When addresses are announced, depreferenced and withdrawn, and the order of a drain.

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

/// Health with these servable shares of two table types.
fn health(first: f64, second: f64) -> Health {
    Health {
        phase: Phase::Ready,
        servable_shares: vec![first, second],
        rejected_share: 0.0,
        has_client_capacity: true,
        list_age_ms: 0.0,
    }
}

/// An announcer with a simulated clock and a log of its effects.
struct Fixture {
    announcer: Announcer,
    now: f64,
    log: String,
}

impl Fixture {
    fn new() -> Self {
        let mut fixture = Self { announcer: Announcer::new(config()), now: 0.0, log: String::new() };
        fixture.step(Input::Sessions(1));
        fixture
    }

    /// All addresses announced, with no change in the last minute.
    fn ready() -> Self {
        let mut fixture = Self::new();
        fixture.step(Input::Health(health(1.0, 1.0)));
        fixture.advance(120_000.0);
        fixture.log.clear();
        fixture
    }

    fn step(&mut self, input: Input) {
        for effect in self.announcer.step(self.now, input) {
            let line = match effect {
                Effect::SetState { prefix, state, reason } => format!("{prefix} {state:?}: {reason:?}"),
                Effect::DrainComplete => "scans may stop".to_owned(),
            };
            let _ = writeln!(self.log, "{:>7.0} {line}", self.now);
        }
    }

    fn advance(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.announcer.next_timer() <= end {
            self.now = self.announcer.next_timer().max(self.now);
            self.step(Input::Timer);
        }
        self.now = end;
    }
}

#[test]
fn announcement_and_withdrawal() {
    let mut fixture = Fixture::new();
    fixture.advance(10_000.0);
    fixture.step(Input::Health(health(1.0, 1.0)));
    fixture.advance(60_000.0);
    fixture.log += "one table type is unusable: its addresses go, the other's stays\n";
    fixture.step(Input::Health(health(1.0, 0.0)));
    fixture.advance(60_000.0);
    fixture.log += "no searcher is usable\n";
    fixture.step(Input::Health(health(0.0, 0.0)));
    fixture.advance(60_000.0);
    fixture.log += "half is back, then enough\n";
    fixture.step(Input::Health(health(0.7, 0.7)));
    fixture.advance(60_000.0);
    fixture.step(Input::Health(health(0.95, 0.95)));
    fixture.advance(60_000.0);
    assert_snapshot!(fixture.log);
}

#[test]
fn reasons_to_depreference() {
    let mut fixture = Fixture::ready();
    let healthy = health(1.0, 1.0);
    let worse = [
        Health { list_age_ms: 31_000.0, ..healthy.clone() },
        Health { has_client_capacity: false, ..healthy.clone() },
        Health { rejected_share: 0.6, ..healthy.clone() },
    ];
    for health in worse {
        fixture.step(Input::Health(health));
        fixture.advance(5_000.0);
        fixture.step(Input::Health(healthy.clone()));
        fixture.advance(120_000.0);
    }
    assert_snapshot!(fixture.log);
}

#[test]
fn withdrawal_of_last_announcer() {
    let mut fixture = Fixture::ready();
    fixture.step(Input::Health(health(0.3, 0.3)));
    fixture.advance(10_000.0);
    fixture.log += "another announces it too\n";
    fixture.step(Input::OtherAnnouncer(prefix(1), true));
    fixture.advance(10_000.0);
    fixture.log += "the other announcer has withdrawn\n";
    fixture.step(Input::OtherAnnouncer(prefix(1), false));
    fixture.advance(10_000.0);
    fixture.log += "nothing at all is usable\n";
    fixture.step(Input::Health(health(0.0, 0.0)));
    fixture.advance(10_000.0);
    assert_snapshot!(fixture.log);
}

#[test]
fn routes_with_flapping_searchers() {
    let mut fixture = Fixture::ready();
    for _ in 0..120 {
        fixture.step(Input::Health(health(0.0, 0.0)));
        fixture.advance(400.0);
        fixture.step(Input::Health(health(1.0, 1.0)));
        fixture.advance(600.0);
    }
    fixture.log += "slowly, for ten minutes\n";
    let before = fixture.log.lines().count();
    for _ in 0..40 {
        fixture.step(Input::Health(health(0.0, 0.0)));
        fixture.advance(5_000.0);
        fixture.step(Input::Health(health(1.0, 1.0)));
        fixture.advance(10_000.0);
    }
    let changes = fixture.log.lines().count() - before;
    assert!((20..=2 * 6 * 10).contains(&changes), "{changes} in ten minutes");
    assert!(fixture.log.starts_with("slowly"), "{}", fixture.log);
}

#[test]
fn drain_order_and_shortened_drains() {
    let mut out = String::new();
    let mut drain = |name: &str, then: &dyn Fn(&mut Fixture)| {
        let mut fixture = Fixture::ready();
        fixture.step(Input::Drain);
        then(&mut fixture);
        fixture.advance(60_000.0);
        out += &format!("{name}\n{}", fixture.log);
    };
    drain("alone", &|_| {});
    drain("health gets better and worse meanwhile", &|fixture| {
        fixture.step(Input::Health(health(0.0, 0.0)));
        fixture.advance(1500.0);
        fixture.step(Input::Health(health(1.0, 1.0)));
        fixture.step(Input::Drain);
    });
    drain("asked a second time", &|fixture| {
        fixture.advance(500.0);
        fixture.step(Input::DrainNow);
    });
    drain("the last session is lost", &|fixture| {
        fixture.advance(2500.0);
        fixture.step(Input::Sessions(0));
    });
    let mut fixture = Fixture::new();
    fixture.step(Input::Drain);
    out += &format!("before anything was announced\n{}", fixture.log);
    assert_snapshot!(out);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(17), ..ProptestConfig::with_cases(500) })]

    /// The drain completes once and after every withdrawal, improves no address, and with nothing servable an address is
    /// withdrawn in time. The limit on improvements per minute holds.
    #[test]
    fn invariants_for_any_sequence_of_inputs(
        events in proptest::collection::vec((0u8..12, 0.0f64..4000.0, 0.0f64..1.2), 1..80),
    ) {
        let mut announcer = Announcer::new(config());
        let mut now = 0.0;
        let mut drain_complete = false;
        let mut is_draining = false;
        let mut states = [RouteState::Withdrawn; 2];
        let mut improved_at: Vec<f64> = Vec::new();
        let mut unservable_since = Some(0.0);
        for (event, ms, share) in events {
            let end = now + ms;
            let share = if share < 0.4 { 0.0 } else { share.min(1.0) };
            let input = match event {
                0 => Input::Sessions(usize::from(share > 0.3)),
                1 => Input::OtherAnnouncer(prefix(1), share > 0.5),
                2 if share > 0.9 => { is_draining = true; Input::Drain }
                3 if share >= 1.0 => { is_draining = true; Input::DrainNow }
                _ => {
                    if share > 0.0 { unservable_since = None } else { unservable_since = unservable_since.or(Some(now)) }
                    Input::Health(health(share, share))
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
                            prop_assert!(!drain_complete, "a change after the drain is complete");
                            let old = std::mem::replace(&mut states[address], state);
                            prop_assert!(!is_draining || state < old, "a drain improved an address");
                            if state > old {
                                improved_at.push(now);
                                let last = improved_at.iter().filter(|at| **at > now - 60_000.0).count();
                                prop_assert!(last <= 6, "{last} improvements in a minute");
                            }
                        }
                        Effect::DrainComplete => {
                            prop_assert!(!std::mem::replace(&mut drain_complete, true), "completed twice");
                            prop_assert_eq!(states, [RouteState::Withdrawn; 2]);
                        }
                    }
                }
            }
            now = end;
            if let Some(since) = unservable_since && now - since >= 1000.0 && !is_draining {
                prop_assert_eq!(states, [RouteState::Withdrawn; 2]);
            }
        }
    }
}

#[test]
fn doubtful_routes_of_other_announcers() {
    let id = "10.0.0.1".parse().expect("an identifier");
    let hop = |last: u8| Some(format!("192.0.2.{last}").parse().expect("an address"));
    let own = hop(1);
    let is_other = |route: ObservedRoute| is_other_announcer(&route, id, own);
    let other = ObservedRoute { next_hop: hop(2), ..ObservedRoute::default() };
    assert!(is_other(other), "another next hop and no own AS in the path");
    assert!(!is_other(ObservedRoute { next_hop: own, ..other }), "the mixer's own next hop");
    assert!(!is_other(ObservedRoute { own_as_in_path: true, ..other }), "own AS in the path");
    assert!(!is_other(ObservedRoute { graceful_shutdown: true, ..other }), "depreferenced itself");
    assert!(!is_other(ObservedRoute::default()), "no attributes");
    let originator = |last: u8| Some(format!("10.0.0.{last}").parse().expect("an identifier"));
    assert!(
        is_other(ObservedRoute { originator_id: originator(2), own_as_in_path: true, ..other }),
        "ORIGINATOR_ID of another"
    );
    assert!(
        !is_other(ObservedRoute { originator_id: originator(1), ..other }),
        "ORIGINATOR_ID of this mixer"
    );
}

#[test]
fn servable_share_of_need() {
    // Complete with three fifths of the parts, no answer below two fifths.
    assert_eq!(
        [0.0, 0.3, 0.4, 0.6, 1.0].map(|usable| servable_share(usable, 0.6, 0.4)),
        [0.0, 0.0, 0.4 / 0.6, 1.0, 1.0]
    );
    assert_eq!(servable_share(0.99, 1.0, 1.0), 0.0, "a type that needs all parts");
    assert_eq!(servable_share(1.0 - 1e-12, 1.0, 1.0), 1.0 - 1e-12);
    assert_eq!(servable_share(0.5, 0.0, 0.0), 0.5);
}

/// Two mixers announce the same address and lose most of their searchers at the same time, each learning of the other's
/// route late. They must not withdraw because of each other.
#[test]
fn two_announcers_failing_together() {
    let announcer = || {
        let mut config = config();
        config.addresses.remove(0);
        Announcer::new(config)
    };
    let mut both = [announcer(), announcer()];
    let mut states = [RouteState::Withdrawn; 2];
    let mut knows_other = [false; 2];
    let mut withdrawn_since = None;
    let mut longest_ms = 0.0f64;
    let mut announced_steps = 0;
    let mut share = 1.0;
    for ms in 0..600 {
        let now = f64::from(ms) * 100.0;
        if ms == 200 {
            share = 0.3;
        }
        for me in 0..2 {
            let mut effects = both[me].step(now, Input::Sessions(1));
            effects.extend(both[me].step(now, Input::Health(health(share, share))));
            effects.extend(both[me].step(now, Input::OtherAnnouncer(prefix(1), knows_other[me])));
            for effect in effects {
                if let Effect::SetState { state, .. } = effect {
                    states[me] = state;
                }
            }
        }
        if ms % 5 == 0 {
            // Routes that are not depreferenced, learned up to half a second late.
            knows_other = [1, 0].map(|other: usize| states[other] == RouteState::Announced);
        }
        if states == [RouteState::Withdrawn; 2] {
            let since = *withdrawn_since.get_or_insert(now);
            longest_ms = longest_ms.max(if ms >= 200 { now - since } else { 0.0 });
        } else {
            withdrawn_since = None;
            announced_steps += 1;
        }
    }
    assert!(announced_steps > 0 && longest_ms <= 5500.0, "not announced for {longest_ms} ms");
    assert_eq!(states, [RouteState::Depreferenced; 2]);
}

#[test]
fn address_state_after_configuration_change() {
    let mut fixture = Fixture::ready();
    let mut new = config();
    new.addresses.remove(0);
    new.addresses.push(ServiceAddress { prefix: prefix(2), table_types: vec![1], keep_last: false });
    new.down_delay_ms = 100.0;
    fixture.step(Input::Configure(new.clone()));
    fixture.advance(60_000.0);
    fixture.log += "the second table type is unusable; worse lasts 100 ms now\n";
    fixture.step(Input::Health(health(1.0, 0.0)));
    fixture.advance(60_000.0);
    fixture.log += "in a drain, a new address stays where it is\n";
    fixture.step(Input::Drain);
    fixture.step(Input::Configure(config()));
    fixture.advance(60_000.0);
    assert_snapshot!(fixture.log);
}
