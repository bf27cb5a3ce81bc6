//! The session state machine: every event in every state, collisions, timers, flap damping.

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

/// The effects as text.
fn describe(effects: &[Effect]) -> String {
    let texts = effects.iter().map(|effect| match effect {
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
        Effect::Down(reason) => format!("down: {reason}"),
        Effect::RefreshRequested(family) => format!("refresh {family:?}"),
        Effect::WatchedRoute(at, seen) => format!("watched {at} {seen:?}"),
    });
    texts.collect::<Vec<_>>().join(", ")
}

/// A session in a state that it reached over a connection opened by itself.
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
        // Active is not on the path to the later states.
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
            let _ = writeln!(out, "    {state:?} -> {:?}: {}", session.state(), describe(&effects));
        }
    }
    assert_snapshot!(out);
}

#[test]
fn connection_collision() {
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
            .map(|direction| describe(&session.step(4.0, Input::Received(direction, Message::Keepalive))));
        let _ = writeln!(
            out,
            "peer 10.0.0.{peer}, OPEN first {first:?}: {}; {}; {up:?}",
            describe(&one),
            describe(&two)
        );
        assert_eq!(session.state(), State::Established);
    }
    assert_snapshot!(out);
}

#[test]
fn hold_times_of_zero_and_three_seconds() {
    let mut out = String::new();
    for hold_time_s in [0, 3] {
        let mut session = at(State::OpenSent);
        session.step(0.0, Input::Received(Direction::Out, Message::Open(Open { hold_time_s, ..open(9) })));
        session.step(0.0, Input::Received(Direction::Out, Message::Keepalive));
        let _ = writeln!(out, "hold {hold_time_s}: next timer at {:.0}", session.next_timer());
        while session.next_timer() < 10_000.0 && session.state() == State::Established {
            let at = session.next_timer();
            let _ = writeln!(out, "    {at:.0}: {}", describe(&session.step(at, Input::Timer)));
        }
    }
    assert_snapshot!(out);
}

#[test]
fn idle_hold_after_flaps() {
    let mut session = Session::new(config(), 1);
    let mut now = 0.0;
    let mut out = String::new();
    session.step(now, Input::Start);
    for up_ms in [100.0, 100.0, 100.0, 100.0, 600_000.0, 100.0] {
        session.step(now, Input::Connected(Direction::Out));
        session.step(now, Input::Received(Direction::Out, Message::Open(open(9))));
        session.step(now, Input::Received(Direction::Out, Message::Keepalive));
        now += up_ms;
        let effects = session.step(now, Input::Closed(Direction::Out));
        let idle_ms = session.next_timer() - now;
        let _ = writeln!(
            out,
            "lived {up_ms}: {}; {} flaps, idle for {idle_ms:.0}",
            describe(&effects),
            session.flaps()
        );
        // A connection accepted during the idle hold is refused without an OPEN.
        assert_eq!(session.step(now, Input::Connected(Direction::In)), [Effect::Refuse(Direction::In)]);
        now = session.next_timer();
        let effects = session.step(now, Input::Timer);
        assert_eq!(effects, [Effect::Connect]);
    }
    assert_snapshot!(out);
}

#[test]
fn prefix_limit() {
    let mut session = at(State::Established);
    let update = |announced, withdrawn| {
        Message::Update(UpdateSummary { announced, withdrawn, ..UpdateSummary::default() })
    };
    for _ in 0..10 {
        session.step(1.0, Input::Received(Direction::Out, update(200, 0)));
        session.step(1.0, Input::Received(Direction::Out, update(0, 200)));
    }
    assert_eq!((session.state(), session.received_prefixes()), (State::Established, 0));
    let effects = session.step(1.0, Input::Received(Direction::Out, update(1_000_000, 0)));
    assert_eq!(
        describe(&effects),
        "Out NOTIFICATION 6/1 maximum number of prefixes reached, close Out, down: sent NOTIFICATION 6/1 maximum number of prefixes reached"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(17), ..ProptestConfig::with_cases(800) })]

    /// For any order of events: `Up` and `Down` alternate, nothing is sent on a closed connection, and the state agrees
    /// with the reported effects, also with a clock that steps back.
    #[test]
    fn invariants_for_any_sequence_of_events(
        events in proptest::collection::vec((0u8..14, -2000.0f64..30_000.0), 1..60),
    ) {
        let mut session = Session::new(config(), 3);
        let mut now = 0.0f64;
        let mut up = false;
        let mut is_open = [false; 2];
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
            let accepted = input == Input::Connected(direction);
            let was_open = is_open[direction as usize];
            is_open[direction as usize] |= accepted;
            if input == Input::Closed(direction) {
                is_open[direction as usize] = false;
            }
            for effect in session.step(now, input) {
                match effect {
                    Effect::Send(direction, _) => prop_assert!(is_open[direction as usize], "sent on a closed connection"),
                    Effect::Close(direction) => is_open[direction as usize] = false,
                    Effect::Refuse(refused) => {
                        prop_assert!(accepted && refused == direction);
                        is_open[direction as usize] = was_open;
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

/// A change of the AS number restarts the session, other changes leave it as it is.
#[test]
fn configuration_changes_in_every_state() {
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
            let _ = writeln!(out, "{name:17} {state:?} -> {:?}: {}", session.state(), describe(&effects));
        }
    }
    assert_snapshot!(out);
}

#[test]
fn route_refresh_request() {
    let mut session = at(State::Established);
    let effects = session.step(1.0, Input::RequestRefresh);
    assert_eq!(effects, [Effect::Send(Direction::Out, message::encode_route_refresh(Family::V4))]);
    assert_eq!(at(State::OpenConfirm).step(1.0, Input::RequestRefresh), []);
}
