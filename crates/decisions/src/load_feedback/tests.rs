//! Tests of `load_feedback`.

use super::*;

const S: Micros = 1_000_000;

#[test]
fn an_endpoints_own_report_counts_while_it_is_fresh_and_those_of_all_later() {
    let (mut load, mut own, mut other) = (
        LoadFeedback::default(),
        CongestionSample::default(),
        CongestionSample::default(),
    );
    load.record(9 * S, &mut own, 0.0);
    (0..200).for_each(|n| load.record(9 * S + n, &mut other, 3.0));
    let at = |now, sample: &CongestionSample| load.expected_congestion(now, *sample);
    assert!(at(9 * S + 200, &own) < 0.1 && at(9 * S + 200, &other) > 2.9);
    assert!(
        (0.5..1.0).contains(&at(10 * S, &own)),
        "{}",
        at(10 * S, &own)
    );
    assert!(
        at(20 * S, &own) < 0.01 && at(20 * S, &other) < 0.01,
        "what is long ago says nothing"
    );
    let met_by_none = CongestionSample::default();
    assert!(
        at(9 * S + 200, &met_by_none) > 2.5,
        "it is like those that are known"
    );
}

#[test]
fn one_report_to_a_balancer_of_few_calls_weighs_as_much_as_many_to_another() {
    let (mut quiet, mut busy, mut sample) = (
        LoadFeedback::default(),
        LoadFeedback::default(),
        CongestionSample::default(),
    );
    quiet.record(10 * S, &mut sample, 2.0);
    (1..=100).for_each(|n| busy.record(9 * S + n * 10_000, &mut sample, 2.0));
    assert!(
        quiet.congestion > 1.9 && busy.congestion > 1.2,
        "{} {}",
        quiet.congestion,
        busy.congestion
    );
}

#[test]
fn the_shed_probability_rises_evenly_from_none_to_all() {
    let shares: Vec<f64> = (0..50)
        .map(|n| shed_probability(f64::from(n) * 0.05))
        .collect();
    assert!(
        shares
            .windows(2)
            .all(|w| w[0] <= w[1] && w[1] - w[0] < 0.06),
        "{shares:?}"
    );
    assert_eq!((shares[0], shares[49]), (0.0, 1.0));
}
