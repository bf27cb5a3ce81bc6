//! The prefix trie compared with a map, and the updates sent from an Adj-RIB-Out.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

use ipnet::IpNet;
use pewterwharf_bgp::message::Attributes;
use pewterwharf_bgp::rib::{AdjRibOut, Trie};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Prefixes of few bits, so that they often contain each other.
fn net() -> impl Strategy<Value = IpNet> {
    let v4 = (0u32..64, 0u8..=8)
        .prop_map(|(a, l)| ipnet::Ipv4Net::new((a << 24).into(), l).expect("a length").into());
    let v6 = (0u128..16, 0u8..=6)
        .prop_map(|(a, l)| ipnet::Ipv6Net::new((a << 122).into(), l).expect("a length").into());
    prop_oneof![v4, v6].prop_map(|n: IpNet| n.trunc())
}

fn with_med(med: u32) -> Attributes {
    let next_hop = IpAddr::V4(Ipv4Addr::LOCALHOST);
    Attributes {
        as_path: vec![1],
        next_hop,
        med: Some(med),
        local_pref: None,
        communities: vec![],
        large_communities: vec![],
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(17), ..ProptestConfig::with_cases(800) })]

    #[test]
    fn trie_equivalence_with_map(steps in proptest::collection::vec((net(), proptest::option::of(0u32..100)), 1..80)) {
        let mut trie = Trie::default();
        let mut map = BTreeMap::new();
        for (at, value) in steps {
            match value {
                Some(value) => prop_assert_eq!(trie.insert(&at, value), map.insert(at, value)),
                None => prop_assert_eq!(trie.remove(&at), map.remove(&at)),
            }
            prop_assert_eq!(trie.len(), map.len());
            prop_assert_eq!(trie.get(&at), map.get(&at));
            let mut all: Vec<(IpNet, u32)> = trie.iter().map(|(at, v)| (at, *v)).collect();
            all.sort();
            prop_assert_eq!(&all, &map.iter().map(|(at, v)| (*at, *v)).collect::<Vec<_>>());
            let plain = map.iter().filter(|(p, _)| p.contains(&at.addr())).max_by_key(|(p, _)| p.prefix_len());
            prop_assert_eq!(trie.longest_match(at.addr()), plain.map(|(p, v)| (*p, v)));
        }
    }

    /// After any sequence of changes, a peer that has received all updates has exactly the wanted routes.
    #[test]
    fn convergence_of_peer_routes(
        steps in proptest::collection::vec((net(), proptest::option::of(0u32..3), 0u8..12), 1..80),
    ) {
        let mut routes = AdjRibOut::default();
        let mut wanted = BTreeMap::new();
        let mut peer = BTreeMap::new();
        let send_updates = |routes: &mut AdjRibOut, peer: &mut BTreeMap<IpNet, Attributes>| {
            for update in routes.take_updates() {
                update.withdrawn.iter().for_each(|at| assert!(peer.remove(at).is_some(), "{at} was not sent before"));
                let attributes = update.attributes.clone();
                update.announced.iter().for_each(|at| {
                    peer.insert(*at, attributes.clone().expect("announced routes have attributes"));
                });
            }
            assert!(!routes.has_pending() && routes.take_updates().is_empty());
        };
        for (at, med, then) in steps {
            routes.set(at, med.map(with_med));
            match med {
                Some(med) => drop(wanted.insert(at, with_med(med))),
                None => drop(wanted.remove(&at)),
            }
            match then {
                0..=2 => send_updates(&mut routes, &mut peer),
                3 => {
                    routes.session_lost();
                    peer.clear();
                }
                4 => routes.resend(|_| true),
                _ => {}
            }
        }
        send_updates(&mut routes, &mut peer);
        prop_assert_eq!(&peer, &wanted);
        let mut advertised = routes.advertised();
        advertised.sort();
        prop_assert_eq!(advertised, wanted.into_keys().collect::<Vec<_>>());
    }
}
