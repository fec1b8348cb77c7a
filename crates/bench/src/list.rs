//! What news of a long list costs the decisions and a subset, by how much of it changed.

use crate::Fault;
use badgerramp_decisions::{
    Balancer, EndpointEntry, EndpointId, EndpointStatus, Event, ListUpdateKind, Settings,
};
use badgerramp_subset::{Instance, Subset, SubsetConfig};
use std::time::Instant;

const ROUNDS: u32 = 200;

fn entry(server: u32, started: u64) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(server),
        status: EndpointStatus::Ready,
        started,
        ..EndpointEntry::default()
    }
}

/// Mean microseconds of a step.
fn timed(mut step: impl FnMut(u32)) -> f64 {
    let began = Instant::now();
    (0..ROUNDS).for_each(&mut step);
    began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

/// Prints the table.
pub(crate) fn play(sizes: &[usize]) -> Result<(), Fault> {
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
        let mut tell = |kind, entries, now| {
            balancer.handle(now, Event::EndpointList { kind, entries }, &mut actions);
            actions.clear();
        };
        let same = timed(|n| tell(ListUpdateKind::Full, all.clone(), u64::from(n)));
        // Ten processes a time are new ones under their old names.
        let few = timed(|n| {
            let changed = (0..10)
                .map(|k| entry((n * 10 + k) % size, u64::from(n) + 1))
                .collect();
            tell(ListUpdateKind::Delta, changed, u64::from(n));
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
        let dealt = timed(|n| {
            let touched: Vec<u32> = (0..10).map(|k| (n * 10 + k) % size).collect();
            for &id in &touched {
                subset.remove(id);
                subset.add(id, &format!("endpoint-{id}-{n}"), false);
            }
            subset.apply_list_change(u64::from(n), &touched);
        });
        println!("{size:>9}  decisions, whole list as before {same:>12.1}");
        println!("{size:>9}  decisions, ten changed          {few:>12.1}");
        println!("{size:>9}  subset, ten changed             {dealt:>12.1}");
    }
    Ok(())
}
