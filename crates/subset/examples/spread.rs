//! How evenly subsetting algorithms spread proxies over endpoints, and how many connections they move when the fleet
//! changes: `cargo run --release -p badgerramp-subset --example spread`. The table stands in `docs/large-fleets.md`.

use badgerramp_subset::{Instance, Subset, SubsetConfig};
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Subset of a fleet for one proxy of so many, of about a size.
type Algorithm = fn(&[u32], u32, u32, usize) -> BTreeSet<u32>;

/// Each proxy takes the endpoints with the greatest hash of both names (D. Thaler and C. Ravishankar, 1998).
fn rendezvous(fleet: &[u32], proxy: u32, _: u32, size: usize) -> BTreeSet<u32> {
    let mut ranked: Vec<(u64, u32)> = fleet
        .iter()
        .map(|&e| {
            (
                xxh3_64_with_seed(format!("e{e}").as_bytes(), u64::from(proxy)),
                e,
            )
        })
        .collect();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .rev()
        .take(size)
        .map(|(_, e)| e)
        .collect()
}

/// Deterministic subsetting: rounds of proxies share a shuffle of the whole list (Site Reliability Engineering, 2016,
/// chapter 20).
fn shuffled(fleet: &[u32], proxy: u32, _: u32, size: usize) -> BTreeSet<u32> {
    let subsets = (fleet.len() / size).max(1);
    let (round, place) = (proxy as usize / subsets, proxy as usize % subsets);
    let mut list = fleet.to_vec();
    list.shuffle(&mut Pcg32::seed_from_u64(round as u64));
    list.into_iter().skip(place * size).take(size).collect()
}

/// Deterministic aperture: endpoints and proxies lie evenly on a ring, and each proxy takes its own stretch (Finagle).
fn aperture(fleet: &[u32], proxy: u32, proxies: u32, size: usize) -> BTreeSet<u32> {
    let mut ring = fleet.to_vec();
    ring.sort_unstable_by_key(|e| xxh3_64_with_seed(format!("e{e}").as_bytes(), 1));
    let start = (u64::from(proxy) * fleet.len() as u64 / u64::from(proxies)) as usize;
    (0..size).map(|n| ring[(start + n) % ring.len()]).collect()
}

fn ours(fleet: &[u32], proxy: u32, proxies: u32, size: usize) -> BTreeSet<u32> {
    let mut subset = Subset::new(
        SubsetConfig::with_size(size),
        Instance {
            number: proxy,
            count: proxies,
        },
    );
    fleet
        .iter()
        .for_each(|&e| subset.add(e, &format!("e{e}"), false));
    subset.apply_list_change(0, fleet);
    subset.members().collect()
}

fn main() {
    let (proxies, size) = (2_000, 20);
    println!(
        "{proxies} proxies, subsets of {size}; moved: connections opened for one endpoint that comes or goes"
    );
    println!(
        "endpoints  way         max/mean  min/mean  size least..most  moved, comes  moved, goes  needed"
    );
    for endpoints in [100_u32, 1_000, 10_000] {
        let fleet: Vec<u32> = (0..endpoints).collect();
        let more: Vec<u32> = (0..=endpoints).collect();
        let fewer: Vec<u32> = (0..endpoints).filter(|&e| e != endpoints / 2).collect();
        let algorithms: [(&str, Algorithm); 4] = [
            ("ours", ours),
            ("rendezvous", rendezvous),
            ("shuffled", shuffled),
            ("aperture", aperture),
        ];
        for (name, algorithm) in algorithms {
            let mut proxies_per_endpoint = vec![0_u32; endpoints as usize];
            let (mut least, mut most, mut came, mut went) = (usize::MAX, 0, 0, 0);
            // All of them for the spread; for what moves, a tenth stands for all.
            for proxy in 0..proxies {
                let before = algorithm(&fleet, proxy, proxies, size);
                (least, most) = (least.min(before.len()), most.max(before.len()));
                before
                    .iter()
                    .for_each(|&e| proxies_per_endpoint[e as usize] += 1);
                if proxy % 10 == 3 {
                    came += algorithm(&more, proxy, proxies, size)
                        .difference(&before)
                        .count()
                        * 10;
                    went += algorithm(&fewer, proxy, proxies, size)
                        .difference(&before)
                        .count()
                        * 10;
                }
            }
            let mean = f64::from(proxies_per_endpoint.iter().sum::<u32>()) / f64::from(endpoints);
            let ratio = |n: Option<&u32>| n.map_or(0.0, |&n| f64::from(n) / mean);
            println!(
                "{endpoints:>9}  {name:<10} {:>9.2} {:>9.2} {:>10}..{most:<5} {came:>13} {went:>12} {mean:>7.0}",
                ratio(proxies_per_endpoint.iter().max()),
                ratio(proxies_per_endpoint.iter().min()),
                least
            );
        }
    }
}
