//! Compares how evenly subsetting algorithms spread proxies over endpoints, and how many connections they move when the
//! fleet changes: `cargo run --release -p badgerramp-subset --example spread`. The table is part of
//! `docs/large-fleets.md`.

use badgerramp_subset::{Instance, Subset, SubsetConfig};
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Computes the subset of a fleet for one proxy, from the proxy's number, the number of proxies and the approximate
/// size.
type Algorithm = fn(&[u32], u32, u32, usize) -> BTreeSet<u32>;

/// Rendezvous hashing: each proxy uses the endpoints with the greatest hashes of both names (D. Thaler and C.
/// Ravishankar, 1998).
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

/// Deterministic subsetting: the proxies of a round divide a shuffled list among them (B. Beyer et al., *Site
/// Reliability Engineering*, 2016, chapter 20).
fn shuffled(fleet: &[u32], proxy: u32, _: u32, size: usize) -> BTreeSet<u32> {
    let subsets = (fleet.len() / size).max(1);
    let (round, position) = (proxy as usize / subsets, proxy as usize % subsets);
    let mut list = fleet.to_vec();
    list.shuffle(&mut Pcg32::seed_from_u64(round as u64));
    list.into_iter().skip(position * size).take(size).collect()
}

/// Deterministic aperture: endpoints and proxies are spaced evenly on a ring, and each proxy uses the endpoints that
/// follow its own position (Finagle).
fn aperture(fleet: &[u32], proxy: u32, proxies: u32, size: usize) -> BTreeSet<u32> {
    let mut ring = fleet.to_vec();
    ring.sort_unstable_by_key(|e| xxh3_64_with_seed(format!("e{e}").as_bytes(), 1));
    let start = (u64::from(proxy) * fleet.len() as u64 / u64::from(proxies)) as usize;
    (0..size).map(|n| ring[(start + n) % ring.len()]).collect()
}

/// The algorithm of this crate.
fn ring_partition(fleet: &[u32], proxy: u32, proxies: u32, size: usize) -> BTreeSet<u32> {
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
        let with_added: Vec<u32> = (0..=endpoints).collect();
        let with_removed: Vec<u32> = (0..endpoints).filter(|&e| e != endpoints / 2).collect();
        let algorithms: [(&str, Algorithm); 4] = [
            ("ours", ring_partition),
            ("rendezvous", rendezvous),
            ("shuffled", shuffled),
            ("aperture", aperture),
        ];
        for (name, algorithm) in algorithms {
            let mut proxies_per_endpoint = vec![0_u32; endpoints as usize];
            let (mut min_size, mut max_size, mut moved_by_addition, mut moved_by_removal) =
                (usize::MAX, 0, 0, 0);
            // The spread is computed over all proxies; the moved connections are extrapolated from a tenth of them.
            for proxy in 0..proxies {
                let before = algorithm(&fleet, proxy, proxies, size);
                (min_size, max_size) = (min_size.min(before.len()), max_size.max(before.len()));
                before
                    .iter()
                    .for_each(|&e| proxies_per_endpoint[e as usize] += 1);
                if proxy % 10 == 3 {
                    moved_by_addition += algorithm(&with_added, proxy, proxies, size)
                        .difference(&before)
                        .count()
                        * 10;
                    moved_by_removal += algorithm(&with_removed, proxy, proxies, size)
                        .difference(&before)
                        .count()
                        * 10;
                }
            }
            let mean = f64::from(proxies_per_endpoint.iter().sum::<u32>()) / f64::from(endpoints);
            let ratio = |n: Option<&u32>| n.map_or(0.0, |&n| f64::from(n) / mean);
            println!(
                "{endpoints:>9}  {name:<10} {:>9.2} {:>9.2} {:>10}..{max_size:<5} {moved_by_addition:>13} {moved_by_removal:>12} {mean:>7.0}",
                ratio(proxies_per_endpoint.iter().max()),
                ratio(proxies_per_endpoint.iter().min()),
                min_size
            );
        }
    }
}
