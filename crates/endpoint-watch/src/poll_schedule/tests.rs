//! Delays of one proxy, and a fleet that starts at the same moment.

use super::*;
use std::collections::BTreeSet;

/// Plays so many proxies that start at once against a service that takes one question at a time and gives those up
/// that waited for longer than `patience`. Tells when the last had its list, and questions a second at the worst.
fn common_start(proxies: u32, spread: bool) -> (Micros, u64) {
    let (service, patience) = (10_000, 3_000_000);
    let terms = PollConfig {
        proxies: if spread { proxies } else { 0 },
        polls_per_second: 100.0,
        wait: 10_000_000,
        idle_wait: 60_000_000,
    };
    let mut polls: Vec<PollSchedule> = (0..proxies)
        .map(|n| PollSchedule::new(terms, u64::from(n)))
        .collect();
    let mut due: BTreeSet<(Micros, usize)> = polls
        .iter_mut()
        .enumerate()
        .map(|(n, p)| (p.initial_delay(), n))
        .collect();
    let (mut free_at, mut last, mut seconds) = (0, 0, std::collections::BTreeMap::new());
    while let Some((now, n)) = due.pop_first() {
        *seconds.entry(now / 1_000_000).or_insert(0) += 1;
        assert!(now < 600_000_000, "{} without a list", due.len());
        let begins = now.max(free_at);
        if begins > now + patience {
            // It works on what nobody waits for any more.
            free_at += service / 2;
            due.insert((now + patience + polls[n].retry_delay(), n));
        } else {
            free_at = begins + service;
            last = free_at;
            polls[n].reset_backoff();
        }
    }
    (last, seconds.into_values().max().unwrap_or(0))
}

#[test]
fn a_common_start_is_served_in_about_the_time_that_the_service_needs() {
    let (last, worst) = common_start(2_000, true);
    // 20 s of work.
    assert!(last < 60_000_000, "{last}");
    assert!(worst < 600, "{worst}");
    let (_, crowd) = common_start(2_000, false);
    assert!(
        crowd > 2 * worst,
        "{crowd} without a spread, {worst} with it"
    );
}

#[test]
fn pauses_grow_and_end_and_an_answer_ends_them() {
    let terms = PollConfig {
        proxies: 10,
        polls_per_second: 100.0,
        wait: 10_000_000,
        idle_wait: 60_000_000,
    };
    let mut poll = PollSchedule::new(terms, 1);
    let pauses: Vec<Micros> = (0..20).map(|_| poll.retry_delay()).collect();
    assert!(pauses[0] <= PAUSE_LEAST && pauses.iter().all(|&p| p <= PAUSE_LEAST << DOUBLINGS));
    poll.reset_backoff();
    assert!(poll.retry_delay() <= PAUSE_LEAST);
    let waits: BTreeSet<Micros> = (0..10).map(|_| poll.next_wait(true)).collect();
    assert!(
        waits.len() > 5
            && waits
                .iter()
                .all(|&w| (52_500_000..=60_000_000).contains(&w))
    );
}
