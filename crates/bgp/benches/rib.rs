//! Compares the prefix trie with a `BTreeMap`: `cargo bench -p pewterwharf-bgp`. Results are in `docs/bgp.md`.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use criterion::{BenchmarkId, Criterion};
use ipnet::IpNet;
use pewterwharf_bgp::rib::Trie;

/// `count` prefixes of /24 to /32, spread by a fixed multiplier.
fn prefixes(count: u32) -> Vec<IpNet> {
    let net = |n: u32| {
        let len = 24 + (n % 9) as u8;
        let address = Ipv4Addr::from(n.wrapping_mul(2_654_435_761));
        IpNet::from(ipnet::Ipv4Net::new(address, len).expect("a length")).trunc()
    };
    (0..count).map(net).collect()
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(800))
        .configure_from_args();
    for count in [1, 1000, 100_000] {
        let all = prefixes(count);
        let mut trie = Trie::default();
        let mut map = BTreeMap::new();
        for (n, prefix) in (0u32..).zip(&all) {
            trie.insert(prefix, n);
            map.insert(*prefix, n);
        }
        let addresses: Vec<IpAddr> =
            all.iter().step_by((count as usize / 100).max(1)).map(IpNet::addr).collect();
        let mut measure = |name: &str, run: &mut dyn FnMut() -> u64| {
            criterion
                .bench_with_input(BenchmarkId::new(name, count), &(), |b, ()| b.iter(|| black_box(run())));
        };
        measure("build/trie", &mut || {
            let mut trie = Trie::default();
            for prefix in &all {
                let _ = trie.insert(prefix, 1u32);
            }
            trie.len() as u64
        });
        measure("build/map", &mut || {
            let mut map = BTreeMap::new();
            for prefix in &all {
                let _ = map.insert(*prefix, 1u32);
            }
            map.len() as u64
        });
        measure("get/trie", &mut || {
            all.iter().map(|prefix| u64::from(*trie.get(prefix).unwrap_or(&0))).sum()
        });
        measure("get/map", &mut || all.iter().map(|prefix| u64::from(*map.get(prefix).unwrap_or(&0))).sum());
        measure("covering 100/trie", &mut || {
            addresses.iter().filter(|a| trie.longest_match(**a).is_some()).count() as u64
        });
        // The map needs one lookup for each prefix length.
        let longest_match = |address: IpAddr| {
            (0..=32u8).rev().find_map(|len| map.get(&IpNet::new(address, len).ok()?.trunc()).copied())
        };
        measure("covering 100/map", &mut || {
            addresses.iter().filter(|a| longest_match(**a).is_some()).count() as u64
        });
    }
}
