//! Properties of the simulation model: hosts do not exceed their capacity, a keyed operation takes effect once per dedup
//! group, and the invariant checker reports each violation.
#![expect(
    clippy::too_many_lines,
    reason = "the test of the invariant checker covers each invariant in turn"
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

fn completions(host: &mut Host, dedup: &mut DedupStore, until: Micros) -> Vec<Completion> {
    let mut done = Vec::new();
    host.advance(until, dedup, &mut done);
    done
}

#[test]
fn a_host_runs_one_job_per_core_and_turns_away_jobs_beyond_its_queue() {
    let (mut host, mut dedup) = (
        Host::standalone(host(1), RandomStreams::new(1)),
        DedupStore::default(),
    );
    let arrivals: Vec<Arrival> = (0..7)
        .map(|n| host.arrive(0, job(n, n, Effect::Unsafe, 10_000), &mut dedup))
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
    let ends: Vec<Micros> = completions(&mut host, &mut dedup, 100_000)
        .iter()
        .map(|d| d.at)
        .collect();
    assert_eq!(ends, [10_000, 10_000, 20_000, 20_000, 30_000]);
}

#[test]
fn a_repeated_key_takes_no_effect_in_the_same_group_but_does_in_another_group() {
    let mut dedup = DedupStore::default();
    let mut hosts = [
        Host::standalone(host(1), RandomStreams::new(1)),
        Host::standalone(host(1), RandomStreams::new(2)),
        Host::standalone(host(2), RandomStreams::new(3)),
    ];
    let mut effects = Vec::new();
    for (n, host) in hosts.iter_mut().enumerate() {
        let at = n as Micros * 50_000;
        assert_eq!(
            host.arrive(at, job(n as u64, 7, KEYED, 10_000), &mut dedup),
            Arrival::Taken
        );
        effects.extend(
            completions(host, &mut dedup, at + 20_000)
                .iter()
                .map(|d| d.took_effect),
        );
    }
    assert_eq!(effects, [true, false, true]);
}

#[test]
fn a_job_that_a_crashed_host_had_not_executed_takes_effect_at_another_host() {
    let mut dedup = DedupStore::default();
    let mut first = Host::standalone(host(1), RandomStreams::new(1));
    first.arrive(0, job(0, 7, KEYED, 10_000), &mut dedup);
    assert_eq!(first.crash(&mut dedup).len(), 1);
    assert_eq!(
        first.arrive(1, job(1, 7, KEYED, 10_000), &mut dedup),
        Arrival::Nobody
    );
    let mut second = Host::standalone(host(1), RandomStreams::new(2));
    second.arrive(5_000, job(2, 7, KEYED, 10_000), &mut dedup);
    assert!(completions(&mut second, &mut dedup, 20_000)[0].took_effect);
}

#[test]
fn a_cold_host_is_slow_and_collapses_under_too_much_load_from_informed_senders() {
    let (mut cold, mut dedup) = (
        Host::standalone(host(1), RandomStreams::new(1)),
        DedupStore::default(),
    );
    cold.start(1_000);
    cold.arrive(1_000, job(0, 0, Effect::Safe, 10_000), &mut dedup);
    // The host starts at half its speed.
    assert_eq!(cold.next_completion(), Some(21_000));
    // The limit is 3 times the capacity of 2 cores at half speed over 200 ms, which is 600 ms of work, and slightly more
    // as the host warms up.
    for n in 1..40 {
        cold.arrive(
            1_000 + n * 1_000,
            job(n, n, Effect::Safe, 20_000),
            &mut dedup,
        );
    }
    assert_eq!((cold.collapsed(), cold.is_up()), (Some(true), false));
    let mut warm = Host::standalone(host(1), RandomStreams::new(1));
    for n in 1..40 {
        warm.arrive(n * 1_000, job(n, n, Effect::Safe, 20_000), &mut dedup);
    }
    assert_eq!(warm.collapsed(), None);
}

#[test]
fn a_stall_delays_running_jobs_and_a_draining_host_turns_jobs_away() {
    let (mut host, mut dedup) = (
        Host::standalone(host(1), RandomStreams::new(1)),
        DedupStore::default(),
    );
    host.arrive(0, job(0, 0, Effect::Safe, 10_000), &mut dedup);
    let stall = Fault {
        from: 5_000,
        until: 55_000,
        kind: FaultKind::Stall { host: 0 },
    };
    host.begin_fault(5_000, &stall);
    host.arrive(6_000, job(1, 1, Effect::Safe, 10_000), &mut dedup);
    let ends: Vec<Micros> = completions(&mut host, &mut dedup, 100_000)
        .iter()
        .map(|d| d.at)
        .collect();
    assert_eq!(ends, [60_000, 65_000]);
    host.drain();
    assert_eq!(
        host.arrive(100_000, job(2, 2, Effect::Safe, 1), &mut dedup),
        Arrival::Ended(JobOutcome::TurnedAway)
    );
}

#[test]
fn connections_beyond_the_maximum_are_refused() {
    let mut host = Host::standalone(host(1), RandomStreams::new(1));
    assert_eq!((0..6).filter(|_| host.connect(0)).count(), 4);
    host.disconnect();
    assert!(host.connect(0));
}

/// The violations that a checker records for a call with one attempt and the further events of `events`.
fn violations(effect: Effect, events: impl FnOnce(&mut InvariantChecker)) -> Vec<Invariant> {
    let mut checker = InvariantChecker::new(Arc::new(scenario(effect)), 0);
    let op = OpId(1);
    checker.call_accepted(1_000, op, 0, (0, 0), 501_000);
    checker.attempt_sent(2_000, op, 0, 0);
    events(&mut checker);
    checker.advance(Micros::MAX / 2);
    checker.violations().iter().map(|b| b.invariant).collect()
}

/// Guards against a checker that misses violations, which would make every simulation pass.
#[test]
fn each_invariant_is_reported_when_it_is_violated_and_not_before() {
    let op = OpId(1);
    let served = |checker: &mut InvariantChecker| {
        checker.attempt_ended(op, 0, 0, false);
        checker.effect_executed(9_000, op, 0);
        checker.call_answered(10_000, op, 0, FinalAnswer::Served);
    };
    assert_eq!(violations(Effect::Unsafe, served), []);
    assert_eq!(violations(Effect::Unsafe, |_| {}), [Invariant::Lost]);
    assert_eq!(
        violations(Effect::Unsafe, |checker| checker.call_answered(
            502_000,
            op,
            0,
            FinalAnswer::Served
        )),
        [Invariant::Lost, Invariant::Lost]
    );
    let answered_twice = |checker: &mut InvariantChecker| {
        served(checker);
        checker.call_answered(11_000, op, 0, FinalAnswer::Failed);
    };
    assert_eq!(
        violations(Effect::Unsafe, answered_twice),
        [Invariant::AnsweredTwice]
    );
    let sent_after_answer = |checker: &mut InvariantChecker| {
        checker.attempt_ended(op, 0, 0, true);
        checker.call_answered(10_000, op, 0, FinalAnswer::Served);
        checker.attempt_sent(11_000, op, 0, 1);
    };
    assert_eq!(
        violations(Effect::Unsafe, sent_after_answer),
        [Invariant::AfterEnd]
    );
    let resent = |checker: &mut InvariantChecker| {
        checker.attempt_ended(op, 0, 0, false);
        checker.attempt_sent(11_000, op, 0, 1);
        checker.call_answered(12_000, op, 0, FinalAnswer::Served);
    };
    assert_eq!(violations(Effect::Unsafe, resent), [Invariant::Resent]);
    assert_eq!(
        violations(KEYED, resent),
        [Invariant::Resent],
        "the other host is in another dedup group"
    );
    assert_eq!(violations(Effect::Safe, resent), []);
    let resent_with_proof = |checker: &mut InvariantChecker| {
        checker.attempt_ended(op, 0, 0, true);
        checker.attempt_sent(11_000, op, 0, 1);
        checker.call_answered(12_000, op, 0, FinalAnswer::Served);
    };
    assert_eq!(violations(Effect::Unsafe, resent_with_proof), []);
    let resent_after_window = |checker: &mut InvariantChecker| {
        checker.attempt_ended(op, 0, 0, false);
        checker.attempt_sent(302_001, op, 0, 0);
        checker.call_answered(303_000, op, 0, FinalAnswer::Served);
    };
    assert_eq!(
        violations(KEYED, resent_after_window),
        [Invariant::Resent],
        "after the dedup window"
    );
    let hedged = |checker: &mut InvariantChecker| {
        checker.attempt_sent(11_000, op, 0, 0);
        checker.call_answered(12_000, op, 0, FinalAnswer::Served);
    };
    assert_eq!(violations(Effect::Safe, hedged), [Invariant::TooMany]);
    let refused = |checker: &mut InvariantChecker| {
        checker.attempt_ended(op, 0, 0, false);
        checker.call_answered(12_000, op, 0, FinalAnswer::Refused);
    };
    assert_eq!(
        violations(Effect::Unsafe, refused),
        [Invariant::RefusedThoughRan]
    );
    assert_eq!(violations(Effect::Safe, refused), []);
    let executed_again = |checker: &mut InvariantChecker| {
        served(checker);
        checker.effect_executed(12_000, op, 1);
        checker.effect_executed(13_000, op, 1);
    };
    assert_eq!(
        violations(Effect::Unsafe, executed_again),
        [Invariant::RanTwice],
        "reported once"
    );
    let drained = |grace: Micros| {
        move |checker: &mut InvariantChecker| {
            checker.host_status_received(1_500, 0, 1, false);
            checker.attempt_ended(op, 0, 0, true);
            checker.call_accepted(1_600, OpId(2), 0, (0, 0), 5_000_000);
            checker.attempt_sent(1_500 + grace, OpId(2), 0, 1);
            checker.call_answered(1_500 + grace, OpId(2), 0, FinalAnswer::Served);
            checker.call_answered(1_500 + grace, op, 0, FinalAnswer::Served);
        }
    };
    assert_eq!(violations(Effect::Unsafe, drained(400_000)), []);
    assert!(violations(Effect::Unsafe, drained(1_000_001)).contains(&Invariant::Drain));
    let overdue =
        |checker: &mut InvariantChecker| checker.call_answered(12_000, op, 0, FinalAnswer::Overdue);
    assert_eq!(violations(Effect::Unsafe, overdue), [Invariant::Forgotten]);
    let client_left = |checker: &mut InvariantChecker| {
        checker.client_left(3_000, op, 0);
        checker.attempt_ended(op, 0, 0, true);
        checker.attempt_sent(4_000, op, 0, 1);
    };
    assert_eq!(
        violations(Effect::Unsafe, client_left),
        [Invariant::AfterEnd]
    );
    assert_eq!(
        violations(Effect::Unsafe, |checker| checker.proxy_crashed(0)),
        [],
        "the calls of a crashed proxy are left to the clients' retries"
    );
}

#[test]
fn clients_send_at_the_configured_rate_and_retry_only_where_it_is_harmless() {
    let scenario = Arc::new(scenario(Effect::Unsafe));
    let mut load = LoadGenerator::new(Arc::clone(&scenario), RandomStreams::new(3));
    let requests: Vec<ClientRequest> = std::iter::from_fn(|| load.next_operation()).collect();
    assert!((400..600).contains(&requests.len()), "{}", requests.len());
    assert!(
        requests.windows(2).all(|w| w[0].due <= w[1].due)
            && requests.iter().all(|a| a.timeout == 500_000)
    );
    assert!((1..=3).all(|t| requests.iter().any(|a| a.tenant == t)));
    let request = requests[0];
    let after_answer = |answer| load.after_answer(&request, answer, request.due + 1_000, None);
    assert!(
        matches!(after_answer(Some(FinalAnswer::Refused)), RetryDecision::Retry(next) if next.try_number == 1 && next.first_due == request.first_due)
    );
    assert_eq!(after_answer(Some(FinalAnswer::Failed)), RetryDecision::Stop);
    assert_eq!(after_answer(None), RetryDecision::Stop);
    let retry_after = load.after_answer(
        &request,
        Some(FinalAnswer::Refused),
        request.due,
        Some(300_000),
    );
    assert!(matches!(retry_after, RetryDecision::Retry(next) if next.due == request.due + 300_000));
    assert_eq!(
        load.after_answer(
            &ClientRequest {
                try_number: 2,
                ..request
            },
            Some(FinalAnswer::Refused),
            request.due,
            None
        ),
        RetryDecision::Stop
    );
}

proptest! {
    /// For any arrivals, a host does not exceed the capacity of its cores, and ends each job once and in order of time.
    #[test]
    fn a_host_never_exceeds_the_capacity_of_its_cores(
        jobs in proptest::collection::vec((0u64..3_000_000, 1u64..200_000), 1..60),
    ) {
        let (mut host, mut dedup) = (Host::standalone(host(1), RandomStreams::new(1)), DedupStore::default());
        let mut jobs = jobs;
        jobs.sort_unstable();
        let (mut done, mut accepted) = (Vec::new(), 0);
        for (n, (at, work)) in jobs.iter().enumerate() {
            host.advance(*at, &mut dedup, &mut done);
            let arrival = host.arrive(*at, job(n as u64, n as u64, Effect::Unsafe, *work), &mut dedup);
            accepted += usize::from(arrival == Arrival::Taken);
        }
        host.advance(Micros::MAX / 2, &mut dedup, &mut done);
        prop_assert_eq!(done.len(), accepted);
        prop_assert!(done.windows(2).all(|w| w[0].at <= w[1].at));
        let mut tokens: Vec<u64> = done.iter().map(|d| d.job.token).collect();
        tokens.sort_unstable();
        tokens.dedup();
        prop_assert_eq!(tokens.len(), accepted);
        let first = jobs[0].0;
        let work: u64 = done.iter().map(|d| d.job.work).sum();
        let span = done.last().map_or(0, |d| d.at - first);
        prop_assert!(work <= 2 * span + 1, "{} of work in {}", work, span);
    }

    /// A keyed operation takes effect once within its dedup group and window, for any number of arrivals at any hosts.
    #[test]
    fn a_keyed_operation_takes_effect_once_in_its_group(
        arrivals in proptest::collection::vec((0u64..250_000, 0usize..3), 1..30),
    ) {
        let mut dedup = DedupStore::default();
        let mut hosts: Vec<Host> = (0..3).map(|n| Host::standalone(host(1), RandomStreams::new(n))).collect();
        let mut arrivals = arrivals;
        arrivals.sort_unstable();
        let mut done = Vec::new();
        for (n, (at, index)) in arrivals.iter().enumerate() {
            for host in &mut hosts {
                host.advance(*at, &mut dedup, &mut done);
            }
            hosts[*index].arrive(*at, job(n as u64, 7, KEYED, 10_000), &mut dedup);
        }
        for host in &mut hosts {
            host.advance(Micros::MAX / 2, &mut dedup, &mut done);
        }
        prop_assert_eq!(done.iter().filter(|d| d.took_effect).count(), 1);
    }
}
