//! Parsing of the settings file, and its error messages.

use pewterwharf_settings::sexpr::{self, NodeKind};
use pewterwharf_settings::{DrainPhases, Settings, Threshold};

/// The error message for a text, or its settings.
fn outcome(text: &str) -> String {
    Settings::read(text).map_or_else(|error| error.to_string(), |settings| format!("{settings:?}"))
}

#[test]
fn defaults_in_example_file() {
    let text = include_str!("../../../deploy/pewterwharf.lisp");
    assert_eq!(Settings::read(text), Ok(Settings::default()));
}

#[test]
fn key_and_position_in_errors() {
    assert_eq!(
        outcome("(log\n  (level wran))"),
        "2:10: found wran, expected one of error, warn, info, debug, trace; did you mean warn?"
    );
    assert_eq!(
        outcome("(explore (departures 9))"),
        "1:22: found 9, expected explore departures, a whole number from 0 to 8"
    );
    assert_eq!(
        outcome("(explore (departure 2))"),
        "1:10: found departure, expected one of departures, states, threads; did you mean departures?"
    );
    assert_eq!(outcome("(log) (log)"), "1:7: log is given twice");
    assert_eq!(outcome("(log (level info debug))"), "1:6: level has 2 values, expected one");
    assert_eq!(outcome("log"), "1:1: found log, expected a section, as (log ...)");
    assert_eq!(outcome("(log (level info)"), "1:17: EOF while parsing a list");
}

#[test]
fn bgp_section() {
    assert_eq!(Settings::read("").map(|s| s.bgp), Ok(None));
    let text = r#"(bgp (as 4200000000) (id "10.0.0.1") (up 0.8 4s) (drain 1s 2s)
        (peer (address "127.0.0.2:179") (as 64513) (hold 3s) (next-hop "192.0.2.1"))
        (announce "198.51.100.1/32" (keep-last)) (announce "2001:db8::1/128"))"#;
    let bgp = Settings::read(text).expect("valid settings").bgp.expect("a bgp section");
    assert_eq!(
        (bgp.asn, bgp.up, bgp.drain, bgp.peers.len()),
        (
            4_200_000_000,
            Threshold { share: 0.8, after_ms: 4000.0 },
            DrainPhases { depreferenced_ms: 1000.0, withdrawn_ms: 2000.0 },
            1
        )
    );
    assert_eq!(
        bgp.addresses.iter().map(|a| (a.prefix.prefix_len(), a.keep_last)).collect::<Vec<_>>(),
        [(32, true), (128, false)]
    );
    let errors = [
        ("(bgp (as 1))", "1:1: expected (id \"ADDRESS\") in (bgp ...)"),
        ("(bgp (id \"ten\"))", "1:10: found \"ten\", expected bgp id, an IPv4 address"),
        ("(bgp (up 1.5 1s))", "1:10: found 1.5, expected bgp up, a share up to 1"),
        (
            "(bgp (pear))",
            "1:6: found pear, expected one of as, id, listen, peer, announce, up, down, stale, pressure, changes, drain, communities, large-communities, med, local-pref, prepend; did you mean peer?",
        ),
        (
            "(bgp (announce \"10.0.0.0/33\"))",
            "1:16: found \"10.0.0.0/33\", expected a prefix, as 198.51.100.1/32",
        ),
        ("(bgp (peer (as 1)))", "1:6: expected (address ...) in (peer ...)"),
        ("(bgp (peer (hold 2s)))", "1:18: expected peer hold, whole seconds from 3s on"),
        ("(bgp (announce \"10.0.0.1/8\") (announce \"10.0.0.2/8\"))", "1:40: 10.0.0.0/8 is announced twice"),
        ("(bgp (announce \"10.0.0.0/8\" (table-types)))", "1:29: table-types names none"),
        ("(bgp (announce \"10.0.0.0/8\" (table-types \"a\" \"a\")))", "1:46: a is given twice"),
        (
            "(bgp (communities \"64512:1\" \"64512:65536\"))",
            "1:29: found \"64512:65536\", expected a community, as 64512:1",
        ),
        (
            "(bgp (large-communities \"1:2\"))",
            "1:25: found \"1:2\", expected a large community, as 64512:1:2",
        ),
        (
            "(bgp (as 1) (id \"10.0.0.1\") (peer (address \"10.0.0.2:179\") (as 2) (next-hop \"10.0.0.1\") (passive)))",
            "1:1: a peer is passive, and bgp listen is not set",
        ),
        ("(bgp (med 1))", "1:6: med has 1 values, which do not fit it"),
        ("(console)", "1:1: console has 0 values, expected one"),
    ];
    for (text, error) in errors {
        assert_eq!(outcome(text), error);
    }
}

#[test]
fn limits_on_depth_list_length_and_size() {
    let nested = "(".repeat(100_000);
    assert_eq!(outcome(&nested), "1:65: lists are nested more than 64 levels deep");
    let wide = format!("({})", "a ".repeat(50_000));
    assert_eq!(outcome(&wide), "1:20002: a list has more than 10000 items");
    assert_eq!(outcome(&"x".repeat((1 << 20) + 1)), "1:1: the text has 1048577 bytes, the limit is 1048576");
    assert_eq!(
        outcome(&format!("; {}\n\"{}\"", nested, "(".repeat(99))),
        format!("2:1: found \"{}\", expected a section, as (log ...)", "(".repeat(99))
    );
}

#[test]
fn quantities() {
    let parsed = sexpr::parse("(a 6s 6 s 1.5m)").expect("well-formed text");
    let NodeKind::List(nodes) = &parsed[0].kind else { panic!("no list") };
    let kinds: Vec<String> = nodes.iter().map(|n| n.describe()).collect();
    assert_eq!(kinds, ["a", "6s", "6", "s", "1.5m"]);
    assert_eq!(nodes[1].duration_ms("a time"), Ok(6000.0));
    assert_eq!(nodes[4].duration_ms("a time"), Ok(90_000.0));
}

#[test]
fn fleet_section() {
    assert_eq!(Settings::read("").map(|s| s.fleet), Ok(None));
    let text = r#"(fleet (name "praha") (me "m1" (listen "127.0.0.1:9001"))
        (peer "m1" "127.0.0.1:9001") (peer "m2" "127.0.0.2:9001"))"#;
    let fleet = Settings::read(text).expect("valid settings").fleet.expect("a fleet section");
    assert_eq!((fleet.name.as_str(), fleet.own_name.as_str()), ("praha", "m1"));
    assert_eq!(
        fleet.peers.iter().map(|p| p.name.as_str()).collect::<Vec<_>>(),
        ["m2"],
        "the mixer's own entry is not a peer"
    );
    let me = r#"(fleet (name "p") (me "m1" (listen "127.0.0.1:1")) "#;
    let cases = [
        ("(fleet)".to_owned(), "1:1: expected (name \"NAME\") in (fleet ...)"),
        (
            r#"(fleet (name "a b"))"#.to_owned(),
            "1:14: found \"a b\", expected the fleet's name: 1 to 32 letters, digits, -, _ or .",
        ),
        (
            r#"(fleet (name "p") (me "m1" "127.0.0.1:1"))"#.to_owned(),
            "1:28: found \"127.0.0.1:1\", expected (listen \"ADDRESS:PORT\")",
        ),
        (
            format!(r#"{me}(peer "m2" "127.0.0.1"))"#),
            "1:63: found \"127.0.0.1\", expected fleet peer, an address and port",
        ),
        (format!(r#"{me}(peer "m2" "0.0.0.0:1"))"#), "1:52: 0.0.0.0:1 is not an address to connect to"),
        (
            format!(r#"{me}(peer "m2" "127.0.0.2:1") (peer "m2" "127.0.0.3:1"))"#),
            "1:78: peer m2 is given twice",
        ),
        (
            format!(r#"{me}(pear "m2" "127.0.0.2:1"))"#),
            "1:52: found pear, expected one of name, me, peer, forget; did you mean peer?",
        ),
        (
            format!(r#"{me}(peer "m2" "127.0.0.2:1") (forget 10ms))"#),
            "1:78: found 10ms, expected fleet forget from 1s to 1h",
        ),
        (
            format!("{me})"),
            "1:1: expected a (peer \"NAME\" \"ADDRESS:PORT\") beside this mixer in (fleet ...)",
        ),
    ];
    for (text, error) in cases {
        assert_eq!(outcome(&text), error);
    }
}

#[test]
fn fleet_of_two_thousand_mixers() {
    let peers: String =
        (0..2000).map(|n| format!(" (peer \"mixer-{n}\" \"127.0.0.1:{}\")", 10_000 + n)).collect();
    let text = format!("(fleet (name \"f\") (me \"m\" (listen \"127.0.0.1:9\")){peers})");
    let settings = Settings::read(&text).map_err(|error| error.to_string());
    assert_eq!(settings.map(|s| s.fleet.map(|f| f.peers.len())), Ok(Some(2000)));
}
