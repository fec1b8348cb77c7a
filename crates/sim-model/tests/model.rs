//! The model's own laws: hosts do no more than they can, keys run once in a group, judges tell each broken rule.
#![expect(
    clippy::too_many_lines,
    reason = "a test plays one course of events from its start to its end"
)]

use badgerramp_sim_model::*;
use proptest::prelude::*;
use std::sync::Arc;

fn class(effect: Effect) -> Class {
    Class {
        name: "c".to_owned(),
        share: 1.0,
        latency_objective: 500_000,
        deadline: 1_000_000,
        priority_weight: 1.0,
        late_weight: 0.0,
        effect,
        max_attempts: 3,
        attempt_timeout: None,
        backoff: 0,
        hedging: Hedging::Off,
        work: (10_000, 30_000),
    }
}

fn host(group: u32) -> HostSpec {
    HostSpec {
        name: format!("h{group}"),
        zone: "z".to_owned(),
        group,
        kind: String::new(),
        cores: 2,
        queue_capacity: 3,
        speed: 1.0,
        max_connections: 4,
        connection_cost: 0,
        idle_timeout: 1_000_000,
        cold_start: Some(ColdStart {
            initial_capacity: 0.5,
            warm_up: 1_000_000,
            collapse_multiple: 3.0,
            collapse_window: 200_000,
        }),
        concurrency_penalty: None,
        congestion_collapse: None,
        joins_at: 0,
    }
}

const KEYED: Effect = Effect::Keyed {
    group: DedupGroup::Group,
    window: 300_000,
};

fn scenario(effect: Effect) -> Scenario {
    Scenario {
        subset_size: 0,
        gossip_seeds: 0,
        name: "test".to_owned(),
        duration: 10_000_000,
        proxies: 2,
        classes: vec![class(effect)],
        hosts: vec![host(1), host(2)],
        clients: ClientsSpec {
            rate: 50.0,
            max_retries: 2,
            retry_delay: 10_000,
            try_timeout_share: 0.5,
            load_swing: (0.0, 0),
            busy_proxy_share: 1.0,
            disconnect_share: 0.0,
            tenants: 3,
        },
        requests: None,
        network: NetworkSpec {
            same_zone: (100, 200),
            cross_zone: (1_000, 2_000),
            retransmit_delay: 200_000,
            idle_timeout: 0,
            connect_timeout: 100_000,
        },
        list: ListSpec {
            publish_delay: 0,
            requests_per_s: 1e3,
            request_timeout: 1_000_000,
        },
        faults: Vec::new(),
        criteria: Criteria {
            drain_grace: 1_000_000,
            recovery_time: None,
            recovered_share: 0.9,
        },
    }
}

fn job(token: u64, op: u64, effect: Effect, work: Micros) -> Job {
    Job {
        token,
        op: OpId(op),
        attempt_id: token,
        effect,
        work,
        expected_work: work,
        sender_knows_start: true,
    }
}

fn all(host: &mut Host, memory: &mut DedupStore, until: Micros) -> Vec<Completion> {
    let mut done = Vec::new();
    host.advance(until, memory, &mut done);
    done
}

#[test]
fn a_host_works_on_as_many_as_it_has_cores_and_turns_away_what_finds_no_place() {
    let (mut host, mut memory) = (
        Host::standalone(host(1), RandomStreams::new(1)),
        DedupStore::default(),
    );
    let arrivals: Vec<Arrival> = (0..7)
        .map(|n| host.arrive(0, job(n, n, Effect::Unsafe, 10_000), &mut memory))
        .collect();
    assert_eq!(arrivals[..5], [Arrival::Taken; 5]);
    assert_eq!(arrivals[5..], [Arrival::Ended(JobOutcome::TurnedAway); 2]);
    assert_eq!(
        host.load(),
        HostLoad {
            in_flight: 5,
            queued: 3
        }
    );
    let ends: Vec<Micros> = all(&mut host, &mut memory, 100_000)
        .iter()
        .map(|d| d.at)
        .collect();
    assert_eq!(ends, [10_000, 10_000, 20_000, 20_000, 30_000]);
}

#[test]
fn a_repeat_of_a_key_has_no_effect_in_its_group_and_one_in_another_group() {
    let mut memory = DedupStore::default();
    let mut hosts = [
        Host::standalone(host(1), RandomStreams::new(1)),
        Host::standalone(host(1), RandomStreams::new(2)),
        Host::standalone(host(2), RandomStreams::new(3)),
    ];
    let mut effects = Vec::new();
    for (n, host) in hosts.iter_mut().enumerate() {
        let at = n as Micros * 50_000;
        assert_eq!(
            host.arrive(at, job(n as u64, 7, KEYED, 10_000), &mut memory),
            Arrival::Taken
        );
        effects.extend(
            all(host, &mut memory, at + 20_000)
                .iter()
                .map(|d| d.took_effect),
        );
    }
    assert_eq!(effects, [true, false, true]);
}

#[test]
fn what_a_host_had_not_run_when_it_died_may_run_elsewhere() {
    let mut memory = DedupStore::default();
    let mut first = Host::standalone(host(1), RandomStreams::new(1));
    first.arrive(0, job(0, 7, KEYED, 10_000), &mut memory);
    assert_eq!(first.crash(&mut memory).len(), 1);
    assert_eq!(
        first.arrive(1, job(1, 7, KEYED, 10_000), &mut memory),
        Arrival::Nobody
    );
    let mut second = Host::standalone(host(1), RandomStreams::new(2));
    second.arrive(5_000, job(2, 7, KEYED, 10_000), &mut memory);
    assert!(all(&mut second, &mut memory, 20_000)[0].took_effect);
}

#[test]
fn a_cold_host_is_slow_and_falls_over_when_it_is_sent_too_much_by_those_who_know() {
    let (mut cold, mut memory) = (
        Host::standalone(host(1), RandomStreams::new(1)),
        DedupStore::default(),
    );
    cold.start(1_000);
    cold.arrive(1_000, job(0, 0, Effect::Safe, 10_000), &mut memory);
    // Half its speed at first.
    assert_eq!(cold.next_completion(), Some(21_000));
    // 2 cores, half warm, 200 ms, three times: 600 ms of work, and a little more as it warms.
    for n in 1..40 {
        cold.arrive(
            1_000 + n * 1_000,
            job(n, n, Effect::Safe, 20_000),
            &mut memory,
        );
    }
    assert_eq!((cold.collapsed(), cold.is_up()), (Some(true), false));
    let mut warm = Host::standalone(host(1), RandomStreams::new(1));
    for n in 1..40 {
        warm.arrive(n * 1_000, job(n, n, Effect::Safe, 20_000), &mut memory);
    }
    assert_eq!(warm.collapsed(), None);
}

#[test]
fn stalls_put_off_what_is_in_work_and_drains_turn_away() {
    let (mut host, mut memory) = (
        Host::standalone(host(1), RandomStreams::new(1)),
        DedupStore::default(),
    );
    host.arrive(0, job(0, 0, Effect::Safe, 10_000), &mut memory);
    let stall = Fault {
        from: 5_000,
        until: 55_000,
        kind: FaultKind::Stall { host: 0 },
    };
    host.begin_fault(5_000, &stall);
    host.arrive(6_000, job(1, 1, Effect::Safe, 10_000), &mut memory);
    let ends: Vec<Micros> = all(&mut host, &mut memory, 100_000)
        .iter()
        .map(|d| d.at)
        .collect();
    assert_eq!(ends, [60_000, 65_000]);
    host.drain();
    assert_eq!(
        host.arrive(100_000, job(2, 2, Effect::Safe, 1), &mut memory),
        Arrival::Ended(JobOutcome::TurnedAway)
    );
}

#[test]
fn connections_are_capped() {
    let mut host = Host::standalone(host(1), RandomStreams::new(1));
    assert_eq!((0..6).filter(|_| host.connect(0)).count(), 4);
    host.disconnect();
    assert!(host.connect(0));
}

/// A judge that has seen a sound call, and what `more` does on top.
fn judged(effect: Effect, more: impl FnOnce(&mut InvariantChecker)) -> Vec<Invariant> {
    let mut judge = InvariantChecker::new(Arc::new(scenario(effect)), 0);
    let op = OpId(1);
    judge.call_accepted(1_000, op, 0, (0, 0), 501_000);
    judge.attempt_sent(2_000, op, 0, 0);
    more(&mut judge);
    judge.advance(Micros::MAX / 2);
    judge.violations().iter().map(|b| b.invariant).collect()
}

/// A judge that can't find anything would prove nothing.
#[test]
fn each_rule_is_told_when_it_breaks_and_not_before() {
    let op = OpId(1);
    let served = |j: &mut InvariantChecker| {
        j.attempt_ended(op, 0, 0, false);
        j.effect_executed(9_000, op, 0);
        j.call_answered(10_000, op, 0, FinalAnswer::Served);
    };
    assert_eq!(judged(Effect::Unsafe, served), []);
    assert_eq!(judged(Effect::Unsafe, |_| {}), [Invariant::Lost]);
    assert_eq!(
        judged(Effect::Unsafe, |j| j.call_answered(
            502_000,
            op,
            0,
            FinalAnswer::Served
        )),
        [Invariant::Lost, Invariant::Lost]
    );
    let twice = |j: &mut InvariantChecker| {
        served(j);
        j.call_answered(11_000, op, 0, FinalAnswer::Failed);
    };
    assert_eq!(judged(Effect::Unsafe, twice), [Invariant::AnsweredTwice]);
    let after = |j: &mut InvariantChecker| {
        j.attempt_ended(op, 0, 0, true);
        j.call_answered(10_000, op, 0, FinalAnswer::Served);
        j.attempt_sent(11_000, op, 0, 1);
    };
    assert_eq!(judged(Effect::Unsafe, after), [Invariant::AfterEnd]);
    let again = |j: &mut InvariantChecker| {
        j.attempt_ended(op, 0, 0, false);
        j.attempt_sent(11_000, op, 0, 1);
        j.call_answered(12_000, op, 0, FinalAnswer::Served);
    };
    assert_eq!(judged(Effect::Unsafe, again), [Invariant::Resent]);
    assert_eq!(
        judged(KEYED, again),
        [Invariant::Resent],
        "the other host is of another group"
    );
    assert_eq!(judged(Effect::Safe, again), []);
    let proven = |j: &mut InvariantChecker| {
        j.attempt_ended(op, 0, 0, true);
        j.attempt_sent(11_000, op, 0, 1);
        j.call_answered(12_000, op, 0, FinalAnswer::Served);
    };
    assert_eq!(judged(Effect::Unsafe, proven), []);
    let late = |j: &mut InvariantChecker| {
        j.attempt_ended(op, 0, 0, false);
        j.attempt_sent(302_001, op, 0, 0);
        j.call_answered(303_000, op, 0, FinalAnswer::Served);
    };
    assert_eq!(
        judged(KEYED, late),
        [Invariant::Resent],
        "outside its window"
    );
    let copy = |j: &mut InvariantChecker| {
        j.attempt_sent(11_000, op, 0, 0);
        j.call_answered(12_000, op, 0, FinalAnswer::Served);
    };
    assert_eq!(judged(Effect::Safe, copy), [Invariant::TooMany]);
    let refused = |j: &mut InvariantChecker| {
        j.attempt_ended(op, 0, 0, false);
        j.call_answered(12_000, op, 0, FinalAnswer::Refused);
    };
    assert_eq!(
        judged(Effect::Unsafe, refused),
        [Invariant::RefusedThoughRan]
    );
    assert_eq!(judged(Effect::Safe, refused), []);
    let ran = |j: &mut InvariantChecker| {
        served(j);
        j.effect_executed(12_000, op, 1);
        j.effect_executed(13_000, op, 1);
    };
    assert_eq!(
        judged(Effect::Unsafe, ran),
        [Invariant::RanTwice],
        "told once"
    );
    let drained = |grace: Micros| {
        move |j: &mut InvariantChecker| {
            j.host_status_received(1_500, 0, 1, false);
            j.attempt_ended(op, 0, 0, true);
            j.call_accepted(1_600, OpId(2), 0, (0, 0), 5_000_000);
            j.attempt_sent(1_500 + grace, OpId(2), 0, 1);
            j.call_answered(1_500 + grace, OpId(2), 0, FinalAnswer::Served);
            j.call_answered(1_500 + grace, op, 0, FinalAnswer::Served);
        }
    };
    assert_eq!(judged(Effect::Unsafe, drained(400_000)), []);
    assert!(judged(Effect::Unsafe, drained(1_000_001)).contains(&Invariant::Drain));
    let forgotten = |j: &mut InvariantChecker| j.call_answered(12_000, op, 0, FinalAnswer::Overdue);
    assert_eq!(judged(Effect::Unsafe, forgotten), [Invariant::Forgotten]);
    let left = |j: &mut InvariantChecker| {
        j.client_left(3_000, op, 0);
        j.attempt_ended(op, 0, 0, true);
        j.attempt_sent(4_000, op, 0, 1);
    };
    assert_eq!(judged(Effect::Unsafe, left), [Invariant::AfterEnd]);
    assert_eq!(
        judged(Effect::Unsafe, |j| j.proxy_crashed(0)),
        [],
        "what a dead proxy held is its clients' to repeat"
    );
}

#[test]
fn clients_come_at_the_rate_asked_and_try_again_only_where_it_is_harmless() {
    let scenario = Arc::new(scenario(Effect::Unsafe));
    let mut clients = LoadGenerator::new(Arc::clone(&scenario), RandomStreams::new(3));
    let asks: Vec<ClientRequest> = std::iter::from_fn(|| clients.next_operation()).collect();
    assert!((400..600).contains(&asks.len()), "{}", asks.len());
    assert!(
        asks.windows(2).all(|w| w[0].due <= w[1].due) && asks.iter().all(|a| a.timeout == 500_000)
    );
    assert!((1..=3).all(|t| asks.iter().any(|a| a.tenant == t)));
    let ask = asks[0];
    let again = |answered| clients.after_answer(&ask, answered, ask.due + 1_000, None);
    assert!(
        matches!(again(Some(FinalAnswer::Refused)), RetryDecision::Retry(next) if next.try_number == 1 && next.first_due == ask.first_due)
    );
    assert_eq!(again(Some(FinalAnswer::Failed)), RetryDecision::Stop);
    assert_eq!(again(None), RetryDecision::Stop);
    let told = clients.after_answer(&ask, Some(FinalAnswer::Refused), ask.due, Some(300_000));
    assert!(matches!(told, RetryDecision::Retry(next) if next.due == ask.due + 300_000));
    assert_eq!(
        clients.after_answer(
            &ClientRequest {
                try_number: 2,
                ..ask
            },
            Some(FinalAnswer::Refused),
            ask.due,
            None
        ),
        RetryDecision::Stop
    );
}

proptest! {
    /// Whatever comes, a host does no more work than its cores can, ends each job once, and in order of time.
    #[test]
    fn a_host_never_does_more_than_its_cores_can(
        jobs in proptest::collection::vec((0u64..3_000_000, 1u64..200_000), 1..60),
    ) {
        let (mut host, mut memory) = (Host::standalone(host(1), RandomStreams::new(1)), DedupStore::default());
        let mut jobs = jobs;
        jobs.sort_unstable();
        let (mut done, mut taken) = (Vec::new(), 0);
        for (n, (at, work)) in jobs.iter().enumerate() {
            host.advance(*at, &mut memory, &mut done);
            let arrival = host.arrive(*at, job(n as u64, n as u64, Effect::Unsafe, *work), &mut memory);
            taken += usize::from(arrival == Arrival::Taken);
        }
        host.advance(Micros::MAX / 2, &mut memory, &mut done);
        prop_assert_eq!(done.len(), taken);
        prop_assert!(done.windows(2).all(|w| w[0].at <= w[1].at));
        let mut tokens: Vec<u64> = done.iter().map(|d| d.job.token).collect();
        tokens.sort_unstable();
        tokens.dedup();
        prop_assert_eq!(tokens.len(), taken);
        let first = jobs[0].0;
        let work: u64 = done.iter().map(|d| d.job.work).sum();
        let span = done.last().map_or(0, |d| d.at - first);
        prop_assert!(work <= 2 * span + 1, "{} of work in {}", work, span);
    }

    /// An effect comes about at most once for a key within its group and window, however often and wherever it comes.
    #[test]
    fn a_key_takes_effect_once_in_its_group(
        arrivals in proptest::collection::vec((0u64..250_000, 0usize..3), 1..30),
    ) {
        let mut memory = DedupStore::default();
        let mut hosts: Vec<Host> = (0..3).map(|n| Host::standalone(host(1), RandomStreams::new(n))).collect();
        let mut arrivals = arrivals;
        arrivals.sort_unstable();
        let mut done = Vec::new();
        for (n, (at, place)) in arrivals.iter().enumerate() {
            for host in &mut hosts {
                host.advance(*at, &mut memory, &mut done);
            }
            hosts[*place].arrive(*at, job(n as u64, 7, KEYED, 10_000), &mut memory);
        }
        for host in &mut hosts {
            host.advance(Micros::MAX / 2, &mut memory, &mut done);
        }
        prop_assert_eq!(done.iter().filter(|d| d.took_effect).count(), 1);
    }
}
