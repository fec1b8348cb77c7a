//! Tests of the delays of one proxy, and of a fleet whose proxies start at the same time.

use super::*;
use std::collections::{BTreeMap, BTreeSet};

/// Result of a simulated start of a fleet.
struct FleetStart {
    /// When the last proxy received the list.
    completed_at: Micros,
    /// Maximum number of polls in one second.
    max_polls_per_second: u64,
}

/// Simulates `proxies` that start at the same time, with a service that handles one poll at a time and drops polls that
/// have waited for longer than `QUEUE_TIMEOUT`.
fn simulate_fleet_start(proxies: u32, spread: bool) -> FleetStart {
    const SERVICE_TIME: Micros = 10_000;
    const QUEUE_TIMEOUT: Micros = 3_000_000;
    let config = PollConfig {
        proxies: if spread { proxies } else { 0 },
        polls_per_second: 100.0,
        wait: 10_000_000,
        idle_wait: 60_000_000,
    };
    let mut schedules: Vec<PollSchedule> = (0..proxies)
        .map(|number| PollSchedule::new(config, u64::from(number)))
        .collect();
    let mut due: BTreeSet<(Micros, usize)> = schedules
        .iter_mut()
        .enumerate()
        .map(|(number, schedule)| (schedule.initial_delay(), number))
        .collect();
    let mut free_at = 0;
    let mut completed_at = 0;
    let mut polls_by_second = BTreeMap::new();
    while let Some((now, number)) = due.pop_first() {
        *polls_by_second.entry(now / 1_000_000).or_insert(0) += 1;
        assert!(now < 600_000_000, "{} without a list", due.len());
        let handling_starts_at = now.max(free_at);
        if handling_starts_at > now + QUEUE_TIMEOUT {
            // The service also spends time on polls that have timed out.
            free_at += SERVICE_TIME / 2;
            due.insert((
                now + QUEUE_TIMEOUT + schedules[number].retry_delay(),
                number,
            ));
        } else {
            free_at = handling_starts_at + SERVICE_TIME;
            completed_at = free_at;
            schedules[number].reset_backoff();
        }
    }
    FleetStart {
        completed_at,
        max_polls_per_second: polls_by_second.into_values().max().unwrap_or(0),
    }
}

#[test]
fn fleet_start_completes_near_service_capacity() {
    // The service needs at least 20 s for 2,000 polls.
    let spread = simulate_fleet_start(2_000, true);
    let completed_at = spread.completed_at;
    assert!(completed_at < 60_000_000, "{completed_at}");
    let max_rate = spread.max_polls_per_second;
    assert!(max_rate < 600, "{max_rate}");
    let max_rate_without = simulate_fleet_start(2_000, false).max_polls_per_second;
    assert!(
        max_rate_without > 2 * max_rate,
        "{max_rate_without} without a spread, {max_rate} with it"
    );
}

#[test]
fn retry_delays_are_bounded_and_reset_by_response() {
    let config = PollConfig {
        proxies: 10,
        polls_per_second: 100.0,
        wait: 10_000_000,
        idle_wait: 60_000_000,
    };
    let mut schedule = PollSchedule::new(config, 1);
    let delays: Vec<Micros> = (0..20).map(|_| schedule.retry_delay()).collect();
    assert!(
        delays[0] <= MIN_RETRY_DELAY
            && delays
                .iter()
                .all(|&delay| delay <= MIN_RETRY_DELAY << MAX_DOUBLINGS)
    );
    schedule.reset_backoff();
    assert!(schedule.retry_delay() <= MIN_RETRY_DELAY);
    let waits: BTreeSet<Micros> = (0..10).map(|_| schedule.next_wait(true)).collect();
    assert!(
        waits.len() > 5
            && waits
                .iter()
                .all(|&wait| (52_500_000..=60_000_000).contains(&wait))
    );
}
