//! Cost of updates of a long endpoint list for the balancer and for a subset, by the number of changed entries.

use crate::BenchError;
use badgerramp_decisions::{
    Balancer, EndpointEntry, EndpointId, EndpointStatus, Event, ListUpdateKind, Settings,
};
use badgerramp_subset::{Instance, Subset, SubsetConfig};
use std::time::Instant;

/// Number of measured steps.
const ROUNDS: u32 = 200;

fn entry(server: u32, started: u64) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(server),
        status: EndpointStatus::Ready,
        started,
        ..EndpointEntry::default()
    }
}

/// Mean duration of a step, in microseconds.
fn mean_duration_us(mut step: impl FnMut(u32)) -> f64 {
    let started_at = Instant::now();
    (0..ROUNDS).for_each(&mut step);
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

/// Measures each list size, and prints the table.
pub(crate) fn run(sizes: &[usize]) -> Result<(), BenchError> {
    println!("endpoints  what                            us each time");
    for &size in sizes {
        let size = u32::try_from(size)?;
        let mut balancer = Balancer::new(1, Settings::default());
        let mut actions = Vec::new();
        let all: Vec<EndpointEntry> = (0..size).map(|n| entry(n, 0)).collect();
        balancer.handle(
            1,
            Event::EndpointList {
                kind: ListUpdateKind::Full,
                entries: all.clone(),
            },
            &mut actions,
        );
        let mut apply_update = |kind, entries, now| {
            balancer.handle(now, Event::EndpointList { kind, entries }, &mut actions);
            actions.clear();
        };
        let full_update =
            mean_duration_us(|n| apply_update(ListUpdateKind::Full, all.clone(), u64::from(n)));
        // In each update, ten endpoints are restarted: new processes with the same names.
        let delta_update = mean_duration_us(|n| {
            let changed = (0..10)
                .map(|k| entry((n * 10 + k) % size, u64::from(n) + 1))
                .collect();
            apply_update(ListUpdateKind::Delta, changed, u64::from(n));
        });
        let mut subset = Subset::new(
            SubsetConfig::with_size(20),
            Instance {
                number: 7,
                count: 2_000,
            },
        );
        (0..size).for_each(|n| subset.add(n, &format!("endpoint-{n}"), false));
        subset.apply_list_change(0, &(0..size).collect::<Vec<_>>());
        let subset_update = mean_duration_us(|n| {
            let touched: Vec<u32> = (0..10).map(|k| (n * 10 + k) % size).collect();
            for &id in &touched {
                subset.remove(id);
                subset.add(id, &format!("endpoint-{id}-{n}"), false);
            }
            subset.apply_list_change(u64::from(n), &touched);
        });
        println!("{size:>9}  decisions, whole list as before {full_update:>12.1}");
        println!("{size:>9}  decisions, ten changed          {delta_update:>12.1}");
        println!("{size:>9}  subset, ten changed             {subset_update:>12.1}");
    }
    Ok(())
}
