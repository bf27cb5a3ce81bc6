//! The state machine: every event in every state, collisions, timers, damping.

use std::fmt::Write;
use std::net::Ipv4Addr;

use insta::assert_snapshot;
use pewterwharf_bgp::message::{
    self, Family, Message, MessageError, Notification, Open, UpdateSummary, WatchedPrefixes,
};
use pewterwharf_bgp::session::{Direction, Effect, Input, Session, SessionConfig, State};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> SessionConfig {
    SessionConfig {
        asn: 64_512,
        bgp_id: Ipv4Addr::new(10, 0, 0, 1),
        peer_asn: 64_513,
        hold_time_s: 90,
        families: vec![Family::V4, Family::V6],
        connects: true,
        connect_retry_ms: 10_000.0,
        idle_hold_ms: 5_000.0,
        max_prefixes: 1000,
    }
}

fn open(id: u8) -> Open {
    Open {
        asn: 64_513,
        hold_time_s: 30,
        bgp_id: Ipv4Addr::new(10, 0, 0, id),
        families: vec![Family::V4],
        four_octets: true,
        route_refresh: true,
    }
}

fn told(effects: &[Effect]) -> String {
    let words = effects.iter().map(|effect| match effect {
        Effect::Connect => "connect".to_owned(),
        Effect::Send(direction, bytes) => match message::decode(bytes, true, &WatchedPrefixes::default()) {
            Ok(Message::Open(_)) => format!("{direction:?} OPEN"),
            Ok(Message::Keepalive) => format!("{direction:?} KEEPALIVE"),
            Ok(Message::Notification(n)) => format!("{direction:?} NOTIFICATION {n}"),
            other => format!("{direction:?} {other:?}"),
        },
        Effect::Close(direction) => format!("close {direction:?}"),
        Effect::Refuse(direction) => format!("refuse {direction:?}"),
        Effect::Up { direction, families, .. } => format!("up {direction:?} {families:?}"),
        Effect::Down(why) => format!("down: {why}"),
        Effect::RefreshRequested(family) => format!("refresh {family:?}"),
        Effect::WatchedRoute(at, seen) => format!("watched {at} {seen:?}"),
    });
    words.collect::<Vec<_>>().join(", ")
}

/// A session brought to a state by a connection that it opened itself.
fn at(state: State) -> Session {
    let mut session = Session::new(config(), 1);
    let inputs = [
        (State::Connect, Input::Start),
        (State::Active, Input::Closed(Direction::Out)),
        (State::OpenSent, Input::Connected(Direction::Out)),
        (State::OpenConfirm, Input::Received(Direction::Out, Message::Open(open(9)))),
        (State::Established, Input::Received(Direction::Out, Message::Keepalive)),
    ];
    for (reached, input) in inputs {
        // Active lies off the direction to those after it.
        if reached <= state && (reached != State::Active || state == State::Active) {
            session.step(0.0, input);
        }
    }
    assert_eq!(session.state(), state);
    session
}

const STATES: [State; 6] =
    [State::Idle, State::Connect, State::Active, State::OpenSent, State::OpenConfirm, State::Established];

#[test]
fn every_event_in_every_state() {
    let update = UpdateSummary { announced: 1, ..UpdateSummary::default() };
    let refusal = MessageError(Notification::new(1, 2));
    let events = [
        ("1 start", Input::Start),
        ("2 stop", Input::Stop(Notification::shutdown("bye"))),
        ("9 to 13 timers after a day", Input::Timer),
        ("16 connected", Input::Connected(Direction::Out)),
        ("17 came in", Input::Connected(Direction::In)),
        ("18 closed", Input::Closed(Direction::Out)),
        ("19 OPEN", Input::Received(Direction::Out, Message::Open(open(9)))),
        ("21 header fault", Input::Malformed(Direction::Out, refusal)),
        ("22 OPEN fault", Input::Received(Direction::Out, Message::Open(Open { asn: 7, ..open(9) }))),
        (
            "24, 25 NOTIFICATION",
            Input::Received(Direction::Out, Message::Notification(Notification::shutdown("mend"))),
        ),
        ("26 KEEPALIVE", Input::Received(Direction::Out, Message::Keepalive)),
        ("27 UPDATE", Input::Received(Direction::Out, Message::Update(update))),
        ("refresh", Input::Received(Direction::Out, Message::Refresh(Family::V6))),
    ];
    let mut out = String::new();
    for (name, event) in events {
        let _ = writeln!(out, "{name}");
        for state in STATES {
            let mut session = at(state);
            let now = if event == Input::Timer { 86_400_000.0 } else { 1.0 };
            let effects = session.step(now, event.clone());
            let _ = writeln!(out, "    {state:?} -> {:?}: {}", session.state(), told(&effects));
        }
    }
    assert_snapshot!(out);
}

#[test]
fn of_two_connections_that_collide_the_higher_identifier_s_stays_in_both_orders() {
    let mut out = String::new();
    for (peer, first) in [(9, Direction::Out), (9, Direction::In), (0, Direction::Out), (0, Direction::In)] {
        let second = if first == Direction::Out { Direction::In } else { Direction::Out };
        let mut session = at(State::Connect);
        for direction in [Direction::Out, Direction::In] {
            session.step(1.0, Input::Connected(direction));
        }
        let one = session.step(2.0, Input::Received(first, Message::Open(open(peer))));
        let two = session.step(3.0, Input::Received(second, Message::Open(open(peer))));
        let up = [Direction::Out, Direction::In]
            .map(|direction| told(&session.step(4.0, Input::Received(direction, Message::Keepalive))));
        let _ =
            writeln!(out, "peer 10.0.0.{peer}, OPEN first {first:?}: {}; {}; {up:?}", told(&one), told(&two));
        assert_eq!(session.state(), State::Established);
    }
    assert_snapshot!(out);
}

#[test]
fn hold_times_of_nothing_and_of_three_seconds_are_kept() {
    let mut out = String::new();
    for hold_time_s in [0, 3] {
        let mut session = at(State::OpenSent);
        session.step(0.0, Input::Received(Direction::Out, Message::Open(Open { hold_time_s, ..open(9) })));
        session.step(0.0, Input::Received(Direction::Out, Message::Keepalive));
        let _ = writeln!(out, "hold {hold_time_s}: next timer at {:.0}", session.next_timer());
        while session.next_timer() < 10_000.0 && session.state() == State::Established {
            let at = session.next_timer();
            let _ = writeln!(out, "    {at:.0}: {}", told(&session.step(at, Input::Timer)));
        }
    }
    assert_snapshot!(out);
}

#[test]
fn a_peer_that_flaps_is_held_longer_from_the_third_time_on_and_forgiven_when_it_lives() {
    let mut session = Session::new(config(), 1);
    let (mut now, mut out) = (0.0, String::new());
    session.step(now, Input::Start);
    for lived in [100.0, 100.0, 100.0, 100.0, 600_000.0, 100.0] {
        session.step(now, Input::Connected(Direction::Out));
        session.step(now, Input::Received(Direction::Out, Message::Open(open(9))));
        session.step(now, Input::Received(Direction::Out, Message::Keepalive));
        now += lived;
        let effects = session.step(now, Input::Closed(Direction::Out));
        let held = session.next_timer() - now;
        let _ =
            writeln!(out, "lived {lived}: {}; {} flaps, idle for {held:.0}", told(&effects), session.flaps());
        // What comes in while it is idle is refused unseen.
        assert_eq!(session.step(now, Input::Connected(Direction::In)), [Effect::Refuse(Direction::In)]);
        now = session.next_timer();
        let again = session.step(now, Input::Timer);
        assert_eq!(again, [Effect::Connect]);
    }
    assert_snapshot!(out);
}

#[test]
fn a_million_routes_are_counted_and_end_the_session_at_its_limit() {
    let mut session = at(State::Established);
    let some = |announced, withdrawn| {
        Message::Update(UpdateSummary { announced, withdrawn, ..UpdateSummary::default() })
    };
    for _ in 0..10 {
        session.step(1.0, Input::Received(Direction::Out, some(200, 0)));
        session.step(1.0, Input::Received(Direction::Out, some(0, 200)));
    }
    assert_eq!((session.state(), session.received_prefixes()), (State::Established, 0));
    let effects = session.step(1.0, Input::Received(Direction::Out, some(1_000_000, 0)));
    assert_eq!(
        told(&effects),
        "Out NOTIFICATION 6/1 most prefixes reached, close Out, down: we said 6/1 most prefixes reached"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(17), ..ProptestConfig::with_cases(800) })]

    /// Whatever comes in whatever order: one `Up` between two `Down`s, none while stopped, no connection is sent on
    /// after it was closed, timers lie ahead, and a clock that steps back changes nothing.
    #[test]
    fn any_order_of_events_keeps_the_session_whole(
        events in proptest::collection::vec((0u8..14, -2000.0f64..30_000.0), 1..60),
    ) {
        let mut session = Session::new(config(), 3);
        let (mut now, mut up, mut is_open) = (0.0f64, false, [false; 2]);
        for (event, step) in events {
            now += step;
            let direction = if event % 2 == 0 { Direction::Out } else { Direction::In };
            let input = match event {
                0 | 1 => Input::Start,
                2 => Input::Stop(Notification::shutdown("x")),
                3 | 4 => Input::Received(direction, Message::Keepalive),
                5 | 6 => Input::Received(direction, Message::Open(open(if event == 5 { 9 } else { 0 }))),
                7 | 8 => Input::Closed(direction),
                9 | 10 => Input::Connected(direction),
                11 => Input::Received(direction, Message::Update(UpdateSummary::default())),
                12 => Input::Malformed(direction, MessageError(Notification::new(1, 1))),
                _ => Input::Timer,
            };
            let (came, before) = (input == Input::Connected(direction), is_open[direction as usize]);
            is_open[direction as usize] |= came;
            if input == Input::Closed(direction) {
                is_open[direction as usize] = false;
            }
            for effect in session.step(now, input) {
                match effect {
                    Effect::Send(direction, _) => prop_assert!(is_open[direction as usize], "sent on a closed link"),
                    Effect::Close(direction) => is_open[direction as usize] = false,
                    Effect::Refuse(refused) => {
                        prop_assert!(came && refused == direction);
                        is_open[direction as usize] = before;
                    }
                    Effect::Up { .. } => prop_assert!(!std::mem::replace(&mut up, true)),
                    Effect::Down(_) => prop_assert!(std::mem::replace(&mut up, false)),
                    Effect::Connect | Effect::RefreshRequested(_) | Effect::WatchedRoute(..) => {}
                }
            }
            prop_assert_eq!(up, session.state() == State::Established);
        }
    }
}

/// The operator's changes in each state: who speaks with whom ends the session, all else leaves it.
#[test]
fn new_terms_in_every_state() {
    let mut out = String::new();
    type Change = fn(&mut SessionConfig);
    let changes: [(&str, Change); 4] = [
        ("hold", |t| t.hold_time_s = 3),
        ("retry and routes", |t| (t.connect_retry_ms, t.max_prefixes) = (1.0, 1)),
        ("passive", |t| t.connects = false),
        ("AS of the peer", |t| t.peer_asn = 64_514),
    ];
    for (name, change) in changes {
        for state in STATES {
            let mut session = at(state);
            let mut config = config();
            change(&mut config);
            let effects = session.step(1.0, Input::Configure(config));
            let _ = writeln!(out, "{name:17} {state:?} -> {:?}: {}", session.state(), told(&effects));
        }
    }
    assert_snapshot!(out);
}

#[test]
fn a_peer_that_understands_it_is_asked_for_its_routes_again() {
    let mut session = at(State::Established);
    let effects = session.step(1.0, Input::RequestRefresh);
    assert_eq!(effects, [Effect::Send(Direction::Out, message::encode_route_refresh(Family::V4))]);
    assert_eq!(at(State::OpenConfirm).step(1.0, Input::RequestRefresh), []);
}
