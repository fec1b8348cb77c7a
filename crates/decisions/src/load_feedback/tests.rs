//! Tests of `load_feedback`.

use super::*;

const SECOND: Micros = 1_000_000;

#[test]
fn a_fresh_report_outweighs_the_average_and_estimates_decay_to_zero() {
    let (mut feedback, mut idle, mut congested) = (
        LoadFeedback::default(),
        CongestionSample::default(),
        CongestionSample::default(),
    );
    feedback.record(9 * SECOND, &mut idle, 0.0);
    (0..200).for_each(|n| feedback.record(9 * SECOND + n, &mut congested, 3.0));
    let expected = |now, sample: &CongestionSample| feedback.expected_congestion(now, *sample);
    assert!(
        expected(9 * SECOND + 200, &idle) < 0.1 && expected(9 * SECOND + 200, &congested) > 2.9
    );
    assert!(
        (0.5..1.0).contains(&expected(10 * SECOND, &idle)),
        "{}",
        expected(10 * SECOND, &idle)
    );
    assert!(
        expected(20 * SECOND, &idle) < 0.01 && expected(20 * SECOND, &congested) < 0.01,
        "old reports must not count"
    );
    let unreported = CongestionSample::default();
    assert!(
        expected(9 * SECOND + 200, &unreported) > 2.5,
        "an endpoint without reports gets the average"
    );
}

#[test]
fn a_single_report_after_a_pause_weighs_as_much_as_many_frequent_reports() {
    let (mut infrequent, mut frequent, mut sample) = (
        LoadFeedback::default(),
        LoadFeedback::default(),
        CongestionSample::default(),
    );
    infrequent.record(10 * SECOND, &mut sample, 2.0);
    (1..=100).for_each(|n| frequent.record(9 * SECOND + n * 10_000, &mut sample, 2.0));
    assert!(
        infrequent.congestion > 1.9 && frequent.congestion > 1.2,
        "{} {}",
        infrequent.congestion,
        frequent.congestion
    );
}

#[test]
fn the_shed_probability_rises_linearly_from_zero_to_one() {
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
