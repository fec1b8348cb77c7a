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
        aim: 500_000,
        deadline: 1_000_000,
        worth: 1.0,
        late_worth: 0.0,
        effect,
        attempts: 3,
        attempt: None,
        backoff: 0,
        second_copy: SecondCopy::Off,
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
        waiting: 3,
        speed: 1.0,
        connections: 4,
        connection_cost: 0,
        idle: 1_000_000,
        cold: Some(Cold {
            share: 0.5,
            time: 1_000_000,
            fall_multiple: 3.0,
            fall_time: 200_000,
        }),
        crowding: None,
        jam: None,
        joins: 0,
    }
}

const KEYED: Effect = Effect::Keyed {
    group: Group::Group,
    window: 300_000,
};

fn scenario(effect: Effect) -> Scenario {
    Scenario {
        subset: 0,
        peers: 0,
        name: "test".to_owned(),
        duration: 10_000_000,
        proxies: 2,
        classes: vec![class(effect)],
        hosts: vec![host(1), host(2)],
        clients: ClientsSpec {
            rate: 50.0,
            retries: 2,
            pause: 10_000,
            patience: 0.5,
            tide: (0.0, 0),
            busy: 1.0,
            leaves: 0.0,
            tenants: 3,
        },
        requests: None,
        network: NetworkSpec {
            near: (100, 200),
            far: (1_000, 2_000),
            resend: 200_000,
            idle: 0,
            connect: 100_000,
        },
        list: ListSpec {
            lag: 0,
            capacity: 1e3,
            patience: 1_000_000,
        },
        faults: Vec::new(),
        judged: Judged {
            drain_grace: 1_000_000,
            recovers: None,
            share: 0.9,
        },
    }
}

fn job(token: u64, op: u64, effect: Effect, work: Micros) -> Job {
    Job {
        token,
        op: OpId(op),
        name: token,
        effect,
        work,
        usual: work,
        informed: true,
    }
}

fn all(host: &mut Host, memory: &mut Memory, until: Micros) -> Vec<Done> {
    let mut done = Vec::new();
    host.advance(until, memory, &mut done);
    done
}

#[test]
fn a_host_works_on_as_many_as_it_has_cores_and_turns_away_what_finds_no_place() {
    let (mut host, mut memory) = (Host::alone(host(1), Draws::new(1)), Memory::default());
    let arrivals: Vec<Arrival> = (0..7)
        .map(|n| host.arrive(0, job(n, n, Effect::Unsafe, 10_000), &mut memory))
        .collect();
    assert_eq!(arrivals[..5], [Arrival::Taken; 5]);
    assert_eq!(arrivals[5..], [Arrival::Ended(Verdict::TurnedAway); 2]);
    assert_eq!(
        host.report(),
        Report {
            in_hand: 5,
            waiting: 3
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
    let mut memory = Memory::default();
    let mut hosts = [
        Host::alone(host(1), Draws::new(1)),
        Host::alone(host(1), Draws::new(2)),
        Host::alone(host(2), Draws::new(3)),
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
                .map(|d| d.effected),
        );
    }
    assert_eq!(effects, [true, false, true]);
}

#[test]
fn what_a_host_had_not_run_when_it_died_may_run_elsewhere() {
    let mut memory = Memory::default();
    let mut first = Host::alone(host(1), Draws::new(1));
    first.arrive(0, job(0, 7, KEYED, 10_000), &mut memory);
    assert_eq!(first.die(&mut memory).len(), 1);
    assert_eq!(
        first.arrive(1, job(1, 7, KEYED, 10_000), &mut memory),
        Arrival::Nobody
    );
    let mut second = Host::alone(host(1), Draws::new(2));
    second.arrive(5_000, job(2, 7, KEYED, 10_000), &mut memory);
    assert!(all(&mut second, &mut memory, 20_000)[0].effected);
}

#[test]
fn a_cold_host_is_slow_and_falls_over_when_it_is_sent_too_much_by_those_who_know() {
    let (mut cold, mut memory) = (Host::alone(host(1), Draws::new(1)), Memory::default());
    cold.start(1_000);
    cold.arrive(1_000, job(0, 0, Effect::Safe, 10_000), &mut memory);
    // Half its speed at first.
    assert_eq!(cold.due(), Some(21_000));
    // 2 cores, half warm, 200 ms, three times: 600 ms of work, and a little more as it warms.
    for n in 1..40 {
        cold.arrive(
            1_000 + n * 1_000,
            job(n, n, Effect::Safe, 20_000),
            &mut memory,
        );
    }
    assert_eq!((cold.fell(), cold.is_up()), (Some(true), false));
    let mut warm = Host::alone(host(1), Draws::new(1));
    for n in 1..40 {
        warm.arrive(n * 1_000, job(n, n, Effect::Safe, 20_000), &mut memory);
    }
    assert_eq!(warm.fell(), None);
}

#[test]
fn stalls_put_off_what_is_in_work_and_drains_turn_away() {
    let (mut host, mut memory) = (Host::alone(host(1), Draws::new(1)), Memory::default());
    host.arrive(0, job(0, 0, Effect::Safe, 10_000), &mut memory);
    let stall = Fault {
        from: 5_000,
        until: 55_000,
        trouble: Trouble::Stalls { host: 0 },
    };
    host.begin(5_000, &stall);
    host.arrive(6_000, job(1, 1, Effect::Safe, 10_000), &mut memory);
    let ends: Vec<Micros> = all(&mut host, &mut memory, 100_000)
        .iter()
        .map(|d| d.at)
        .collect();
    assert_eq!(ends, [60_000, 65_000]);
    host.drain();
    assert_eq!(
        host.arrive(100_000, job(2, 2, Effect::Safe, 1), &mut memory),
        Arrival::Ended(Verdict::TurnedAway)
    );
}

#[test]
fn connections_are_capped() {
    let mut host = Host::alone(host(1), Draws::new(1));
    assert_eq!((0..6).filter(|_| host.connect(0)).count(), 4);
    host.disconnect();
    assert!(host.connect(0));
}

/// A judge that has seen a sound call, and what `more` does on top.
fn judged(effect: Effect, more: impl FnOnce(&mut Judge)) -> Vec<Rule> {
    let mut judge = Judge::new(Arc::new(scenario(effect)), 0);
    let op = OpId(1);
    judge.taken(1_000, op, 0, (0, 0), 501_000);
    judge.sent(2_000, op, 0, 0);
    more(&mut judge);
    judge.pass(Micros::MAX / 2);
    judge.broken().iter().map(|b| b.rule).collect()
}

/// A judge that can't find anything would prove nothing.
#[test]
fn each_rule_is_told_when_it_breaks_and_not_before() {
    let op = OpId(1);
    let served = |j: &mut Judge| {
        j.over(op, 0, 0, false);
        j.effected(9_000, op, 0);
        j.answered(10_000, op, 0, Answered::Served);
    };
    assert_eq!(judged(Effect::Unsafe, served), []);
    assert_eq!(judged(Effect::Unsafe, |_| {}), [Rule::Lost]);
    assert_eq!(
        judged(Effect::Unsafe, |j| j.answered(
            502_000,
            op,
            0,
            Answered::Served
        )),
        [Rule::Lost, Rule::Lost]
    );
    let twice = |j: &mut Judge| {
        served(j);
        j.answered(11_000, op, 0, Answered::Failed);
    };
    assert_eq!(judged(Effect::Unsafe, twice), [Rule::AnsweredTwice]);
    let after = |j: &mut Judge| {
        j.over(op, 0, 0, true);
        j.answered(10_000, op, 0, Answered::Served);
        j.sent(11_000, op, 0, 1);
    };
    assert_eq!(judged(Effect::Unsafe, after), [Rule::AfterEnd]);
    let again = |j: &mut Judge| {
        j.over(op, 0, 0, false);
        j.sent(11_000, op, 0, 1);
        j.answered(12_000, op, 0, Answered::Served);
    };
    assert_eq!(judged(Effect::Unsafe, again), [Rule::Resent]);
    assert_eq!(
        judged(KEYED, again),
        [Rule::Resent],
        "the other host is of another group"
    );
    assert_eq!(judged(Effect::Safe, again), []);
    let proven = |j: &mut Judge| {
        j.over(op, 0, 0, true);
        j.sent(11_000, op, 0, 1);
        j.answered(12_000, op, 0, Answered::Served);
    };
    assert_eq!(judged(Effect::Unsafe, proven), []);
    let late = |j: &mut Judge| {
        j.over(op, 0, 0, false);
        j.sent(302_001, op, 0, 0);
        j.answered(303_000, op, 0, Answered::Served);
    };
    assert_eq!(judged(KEYED, late), [Rule::Resent], "outside its window");
    let copy = |j: &mut Judge| {
        j.sent(11_000, op, 0, 0);
        j.answered(12_000, op, 0, Answered::Served);
    };
    assert_eq!(judged(Effect::Safe, copy), [Rule::TooMany]);
    let refused = |j: &mut Judge| {
        j.over(op, 0, 0, false);
        j.answered(12_000, op, 0, Answered::Refused);
    };
    assert_eq!(judged(Effect::Unsafe, refused), [Rule::RefusedThoughRan]);
    assert_eq!(judged(Effect::Safe, refused), []);
    let ran = |j: &mut Judge| {
        served(j);
        j.effected(12_000, op, 1);
        j.effected(13_000, op, 1);
    };
    assert_eq!(judged(Effect::Unsafe, ran), [Rule::RanTwice], "told once");
    let drained = |grace: Micros| {
        move |j: &mut Judge| {
            j.told(1_500, 0, 1, false);
            j.over(op, 0, 0, true);
            j.taken(1_600, OpId(2), 0, (0, 0), 5_000_000);
            j.sent(1_500 + grace, OpId(2), 0, 1);
            j.answered(1_500 + grace, OpId(2), 0, Answered::Served);
            j.answered(1_500 + grace, op, 0, Answered::Served);
        }
    };
    assert_eq!(judged(Effect::Unsafe, drained(400_000)), []);
    assert!(judged(Effect::Unsafe, drained(1_000_001)).contains(&Rule::Drain));
    let forgotten = |j: &mut Judge| j.answered(12_000, op, 0, Answered::Overdue);
    assert_eq!(judged(Effect::Unsafe, forgotten), [Rule::Forgotten]);
    let left = |j: &mut Judge| {
        j.left(3_000, op, 0);
        j.over(op, 0, 0, true);
        j.sent(4_000, op, 0, 1);
    };
    assert_eq!(judged(Effect::Unsafe, left), [Rule::AfterEnd]);
    assert_eq!(
        judged(Effect::Unsafe, |j| j.died(0)),
        [],
        "what a dead proxy held is its clients' to repeat"
    );
}

#[test]
fn clients_come_at_the_rate_asked_and_try_again_only_where_it_is_harmless() {
    let scenario = Arc::new(scenario(Effect::Unsafe));
    let mut clients = Clients::new(Arc::clone(&scenario), Draws::new(3));
    let asks: Vec<Ask> = std::iter::from_fn(|| clients.next_first()).collect();
    assert!((400..600).contains(&asks.len()), "{}", asks.len());
    assert!(
        asks.windows(2).all(|w| w[0].at <= w[1].at) && asks.iter().all(|a| a.patience == 500_000)
    );
    assert!((1..=3).all(|t| asks.iter().any(|a| a.tenant == t)));
    let ask = asks[0];
    let again = |answered| clients.after(&ask, answered, ask.at + 1_000, None);
    assert!(
        matches!(again(Some(Answered::Refused)), Next::Asks(next) if next.number == 1 && next.first == ask.first)
    );
    assert_eq!(again(Some(Answered::Failed)), Next::Rests);
    assert_eq!(again(None), Next::Rests);
    let told = clients.after(&ask, Some(Answered::Refused), ask.at, Some(300_000));
    assert!(matches!(told, Next::Asks(next) if next.at == ask.at + 300_000));
    assert_eq!(
        clients.after(
            &Ask { number: 2, ..ask },
            Some(Answered::Refused),
            ask.at,
            None
        ),
        Next::Rests
    );
}

proptest! {
    /// Whatever comes, a host does no more work than its cores can, ends each job once, and in order of time.
    #[test]
    fn a_host_never_does_more_than_its_cores_can(
        jobs in proptest::collection::vec((0u64..3_000_000, 1u64..200_000), 1..60),
    ) {
        let (mut host, mut memory) = (Host::alone(host(1), Draws::new(1)), Memory::default());
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
        let mut memory = Memory::default();
        let mut hosts: Vec<Host> = (0..3).map(|n| Host::alone(host(1), Draws::new(n))).collect();
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
        prop_assert_eq!(done.iter().filter(|d| d.effected).count(), 1);
    }
}
