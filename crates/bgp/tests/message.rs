//! The codec: round trips, error codes of malformed messages, and random input that must not panic.

use std::net::{IpAddr, Ipv4Addr};

use ipnet::IpNet;
use pewterwharf_bgp::message::{
    self, Attributes, Family, HEADER_LEN, MAX_MESSAGE_LEN, Message, MessageError, Notification,
    ObservedRoute, Open, Update, UpdatePrefixes, UpdateSummary, WatchedPrefixes, decode_prefixes,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn attributes(path: Vec<u32>, communities: Vec<u32>) -> Attributes {
    let next_hop = IpAddr::V4(Ipv4Addr::new(192, 0, 2, 1));
    Attributes {
        as_path: path,
        next_hop,
        med: Some(50),
        local_pref: None,
        communities,
        large_communities: vec![(64512, 1, 2)],
    }
}

fn net() -> impl Strategy<Value = IpNet> {
    let v4 = (any::<u32>(), 0u8..=32)
        .prop_map(|(a, l)| ipnet::Ipv4Net::new(a.into(), l).expect("a length").into());
    let v6 = (any::<u128>(), 0u8..=128)
        .prop_map(|(a, l)| ipnet::Ipv6Net::new(a.into(), l).expect("a length").into());
    prop_oneof![v4, v6].prop_map(|n: IpNet| n.trunc())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(17), ..ProptestConfig::with_cases(600) })]

    #[test]
    fn open_round_trip(asn in 1u32.., hold in prop_oneof![Just(0u16), 3u16..], id in 1u32.., v6: bool, refresh: bool) {
        let mut families = vec![Family::V4];
        families.extend(v6.then_some(Family::V6));
        let open = Open { asn, hold_time_s: hold, bgp_id: id.into(), families, four_octets: true, route_refresh: refresh };
        prop_assert_eq!(message::decode(&open.encode(), false, &WatchedPrefixes::default()), Ok(Message::Open(open)));
    }

    #[test]
    fn update_round_trip_of_any_size(
        withdrawn in proptest::collection::btree_set(net(), 0..400),
        announced in proptest::collection::btree_set(net(), 0..400),
        path in proptest::collection::vec(any::<u32>(), 0..300),
        four_octets: bool,
    ) {
        let (withdrawn, announced): (Vec<_>, Vec<_>) = (withdrawn.into_iter().collect(), announced.into_iter().collect());
        let update = Update {
            withdrawn: withdrawn.clone(),
            announced: announced.clone(),
            attributes: Some(attributes(path, vec![message::GRACEFUL_SHUTDOWN])),
        };
        let mut decoded_withdrawn = Vec::new();
        let mut decoded_announced = Vec::new();
        for bytes in update.encode(four_octets) {
            prop_assert!(bytes.len() <= MAX_MESSAGE_LEN);
            prop_assert_eq!(message::message_length(&bytes), Ok(Some(bytes.len())));
            let UpdatePrefixes { withdrawn, announced } = decode_prefixes(&bytes).expect("a valid UPDATE");
            let decoded = message::decode(&bytes, four_octets, &WatchedPrefixes::default());
            let routes = UpdateSummary { announced: announced.len() as u32, withdrawn: withdrawn.len() as u32, ..UpdateSummary::default() };
            prop_assert_eq!(decoded, Ok(Message::Update(routes)));
            decoded_withdrawn.extend(withdrawn);
            decoded_announced.extend(announced);
        }
        decoded_withdrawn.sort();
        decoded_announced.sort();
        prop_assert_eq!((decoded_withdrawn, decoded_announced), (withdrawn, announced));
    }

    /// Decoding random bytes, and messages with some bytes changed, does not panic.
    #[test]
    fn parsing_of_random_bytes(
        noise in proptest::collection::vec(any::<u8>(), 0..200),
        kind in 0u8..7,
        changed in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
    ) {
        let mut framed = vec![0xFF; 16];
        framed.extend(((HEADER_LEN + noise.len()) as u16).to_be_bytes());
        framed.push(kind);
        framed.extend(&noise);
        let _ = message::decode(&framed, true, &WatchedPrefixes::default());
        let _ = message::message_length(&noise);
        let announced = vec!["10.0.0.0/8".parse().expect("a prefix"), "2001:db8::/32".parse().expect("a prefix")];
        let update = Update { withdrawn: vec![], announced, attributes: Some(attributes(vec![1, 70_000], vec![3])) };
        for mut bytes in update.encode(true) {
            for (at, byte) in &changed {
                let at = at.index(bytes.len());
                bytes[at] = *byte;
            }
            let _ = message::decode(&bytes, true, &WatchedPrefixes::default());
            let _ = decode_prefixes(&bytes);
        }
    }
}

/// The decoded message or the error as text.
fn outcome(bytes: &[u8]) -> String {
    match message::decode(bytes, true, &WatchedPrefixes::default()) {
        Ok(Message::Update(routes)) => format!("{routes:?}"),
        Ok(message) => format!("{message:?}"),
        Err(MessageError(reply)) => format!("{reply} {:?}", reply.data),
    }
}

#[test]
fn error_codes_of_malformed_messages() {
    let open = Open {
        asn: 70_000,
        hold_time_s: 90,
        bgp_id: Ipv4Addr::new(10, 0, 0, 1),
        families: vec![Family::V4],
        four_octets: true,
        route_refresh: true,
    };
    let with = |at: usize, byte: u8| {
        let mut bytes = open.encode();
        bytes[at] = byte;
        outcome(&bytes)
    };
    assert_eq!(with(3, 0), "1/1 connection not synchronised []");
    assert_eq!(with(18, 9), "1/3 bad message type [9]");
    assert_eq!(with(16, 99), "1/2 bad message length [99, 45]");
    assert_eq!(with(19, 3), "2/1 unsupported version [0, 4]");
    let hold = Open { hold_time_s: 2, ..open.clone() };
    assert_eq!(outcome(&hold.encode()), "2/6 unacceptable hold time []");
    let no_id = Open { bgp_id: Ipv4Addr::UNSPECIFIED, ..open.clone() };
    assert_eq!(outcome(&no_id.encode()), "2/3 bad BGP identifier []");
    assert_eq!(with(29, 1), "2/4 unsupported optional parameter []");
    let shutdown = Notification::shutdown("off to bed");
    assert_eq!(
        message::decode(&shutdown.encode(), true, &WatchedPrefixes::default()),
        Ok(Message::Notification(shutdown))
    );
    let long = Notification::shutdown(&"é".repeat(200));
    assert_eq!(long.shutdown_text().map(str::len), Some(254));
    assert_eq!(Notification::shutdown("off to bed").to_string(), "6/2 administrative shutdown: off to bed");
}

#[test]
fn treat_as_withdraw_of_malformed_attributes() {
    // An UPDATE with one prefix and the attributes ORIGIN, an empty AS_PATH and NEXT_HOP, each made invalid in turn.
    let update = |attributes: &[u8]| {
        let mut bytes = vec![0xFF; 16];
        let length = (HEADER_LEN + 4 + attributes.len() + 2) as u16;
        bytes.extend(length.to_be_bytes());
        bytes.extend([2, 0, 0]);
        bytes.extend((attributes.len() as u16).to_be_bytes());
        bytes.extend(attributes);
        bytes.extend([8, 10]);
        outcome(&bytes)
    };
    let valid = [0x40, 1, 1, 0, 0x40, 2, 0, 0x40, 3, 4, 10, 0, 0, 1];
    let routes = |announced, withdrawn, faulty_attributes| {
        format!("{:?}", UpdateSummary { announced, withdrawn, faulty_attributes, watched: Vec::new() })
    };
    assert_eq!(update(&valid), routes(1, 0, 0));
    assert_eq!(update(&valid[..7]), routes(0, 1, 1), "no next hop");
    assert_eq!(update(&[&valid[..3], &[9], &valid[4..]].concat()), routes(0, 1, 1), "invalid ORIGIN");
    assert_eq!(update(&[&valid[..], &[0x40, 1, 1, 0]].concat()), routes(1, 0, 1), "duplicate ORIGIN");
    assert_eq!(update(&[&valid[..], &[0x80, 4, 9, 0]].concat()), routes(0, 1, 1), "truncated attribute");
    assert_eq!(update(&[&valid[..], &[0xC0, 99, 2, 1, 2]].concat()), routes(1, 0, 0), "unknown attribute");
    assert_eq!(
        update(&[&valid[..], &[0xC0, 8, 3, 1, 2, 3]].concat()),
        routes(0, 1, 1),
        "communities of three bytes"
    );
}

/// Routes to watched prefixes are reported with their attributes; other routes are only counted.
#[test]
fn reported_prefixes() {
    let net = |text: &str| -> IpNet { text.parse().expect("a prefix") };
    let watch =
        WatchedPrefixes { prefixes: vec![net("198.51.100.1/32"), net("2001:db8::1/128")], own_asn: 64_512 };
    let decode = |update: &Update| {
        let mut watched = Vec::new();
        for bytes in update.encode(true) {
            match message::decode(&bytes, true, &watch) {
                Ok(Message::Update(routes)) => watched.extend(routes.watched),
                other => panic!("{other:?}"),
            }
        }
        watched
    };
    let mut update = Update {
        withdrawn: vec![net("198.51.100.0/24"), net("2001:db8::1/128")],
        announced: vec![net("198.51.100.1/32"), net("198.51.100.2/32")],
        attributes: Some(attributes(vec![1, 64_512], vec![message::GRACEFUL_SHUTDOWN])),
    };
    let hop = update.attributes.as_ref().map(|a| a.next_hop);
    let observed =
        ObservedRoute { next_hop: hop, originator_id: None, own_as_in_path: true, graceful_shutdown: true };
    assert_eq!(decode(&update), [(net("198.51.100.1/32"), Some(observed)), (net("2001:db8::1/128"), None)]);
    update.attributes = Some(attributes(vec![1, 2], vec![]));
    assert_eq!(
        decode(&update)[0],
        (
            net("198.51.100.1/32"),
            Some(ObservedRoute { own_as_in_path: false, graceful_shutdown: false, ..observed })
        )
    );
}
