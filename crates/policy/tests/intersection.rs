//! The intersection allows only what both policies allow, for any two resolved calls of one request and any response.

use badgerramp_decisions::{CallPolicy, DedupScope, Hedge, Idempotency, RetryOn};
use badgerramp_policy::{
    intersect, intersect_answers, IdempotencyKey, Mismatch, ResolvedCall, Side,
};
use badgerramp_route::{NotExecutedProof, ResponseRules, StatusSet, Verdict};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use proptest::prelude::*;

fn idempotency() -> impl Strategy<Value = Idempotency> {
    let scope = prop_oneof![
        Just(DedupScope::All),
        Just(DedupScope::Zone),
        Just(DedupScope::Cell)
    ];
    let keyed_strategy =
        (scope, 1..4u64).prop_map(|(scope, window)| Idempotency::Keyed { scope, window });
    prop_oneof![
        Just(Idempotency::Idempotent),
        Just(Idempotency::NonIdempotent),
        keyed_strategy
    ]
}

fn hedge() -> impl Strategy<Value = Hedge> {
    prop_oneof![
        Just(Hedge::Auto),
        Just(Hedge::Never),
        (1..3u64).prop_map(Hedge::After)
    ]
}

prop_compose! {
    fn call()(
        idempotency in idempotency(),
        key in prop_oneof![Just(IdempotencyKey::None), "[ab]".prop_map(IdempotencyKey::Value)],
        time in 1..4u64,
        (attempts, attempt_time, backoff) in (1..4u32, 1..4u64, 0..3u64),
        hedge in hedge(),
        any in any::<bool>(),
        (connect, body) in (1..4u64, 0..3usize),
    ) -> ResolvedCall {
        let resend = if any { RetryOn::AnyFailure } else { RetryOn::NotExecuted };
        let once = matches!(idempotency, Idempotency::Keyed { .. }) && key == IdempotencyKey::None;
        let policy = CallPolicy { max_attempts: attempts, attempt_timeout: attempt_time, backoff, hedge, retry_on: resend, non_idempotent: once };
        ResolvedCall { idempotency, key, timeout: time, policy, connect_timeout: connect, max_body_bytes: body }
    }
}

/// Whether a call may be repeated at an endpoint of the same zone (and cell) or of another, this long after its first
/// attempt.
fn runs_again(
    idempotency: Idempotency,
    policy: &CallPolicy,
    (zone, cell): (bool, bool),
    after: u64,
) -> bool {
    let class = match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { scope, window } => {
            let in_scope = match scope {
                DedupScope::All => true,
                DedupScope::Zone => zone,
                DedupScope::Cell => cell,
            };
            in_scope && after < window && !policy.non_idempotent
        }
    };
    class && !policy.non_idempotent && policy.retry_on == RetryOn::AnyFailure
}

proptest! {
    #[test]
    fn intersection_allows_only_what_both_allow(old in call(), new in call()) {
        let intersection = intersect(Some(&old), Some(&new)).expect("both accept it").expect("both accept it");
        let chosen = if intersection.class == Side::Old { &old } else { &new };
        for own in [&old, &new] {
            let (policy, its) = (&intersection.policy, &own.policy);
            prop_assert!(intersection.timeout <= own.timeout && intersection.connect_timeout <= own.connect_timeout && intersection.max_body_bytes <= own.max_body_bytes);
            prop_assert!(policy.max_attempts <= its.max_attempts && policy.attempt_timeout <= its.attempt_timeout);
            prop_assert!(policy.backoff >= its.backoff);
            prop_assert!(policy.hedge == Hedge::Never || policy.hedge == its.hedge);
            prop_assert!(policy.retry_on == RetryOn::NotExecuted || its.retry_on == RetryOn::AnyFailure);
            for location in [(true, true), (true, false), (false, true), (false, false)] {
                for after in 0..4 {
                    if runs_again(chosen.idempotency, policy, location, after) {
                        prop_assert!(runs_again(own.idempotency, its, location, after), "{location:?} {after}");
                        // By the key that it carries, if repeats are recognised by one.
                        if matches!(own.idempotency, Idempotency::Keyed { .. }) {
                            prop_assert!(own.key == chosen.key || chosen.idempotency == Idempotency::Idempotent);
                        }
                    }
                }
            }
        }
    }

    #[test]
    fn intersection_of_a_policy_with_itself_is_that_policy(own in call()) {
        let intersection = intersect(Some(&own), Some(&own)).expect("both accept it").expect("both accept it");
        prop_assert_eq!((intersection.timeout, intersection.policy, intersection.connect_timeout, intersection.max_body_bytes), (own.timeout, own.policy, own.connect_timeout, own.max_body_bytes));
    }

    #[test]
    fn response_is_classified_as_by_both_or_may_have_run(old in answers(), new in answers()) {
        let intersection = intersect_answers(&old, &new);
        let marked = HeaderMap::from_iter([(HeaderName::from_static("x-n"), HeaderValue::from_static("1"))]);
        for status in [200, 201, 503, 504] {
            let status = StatusCode::from_u16(status).expect("a status");
            for headers in [&HeaderMap::new(), &marked] {
                let verdict = intersection.verdict(status, headers);
                if verdict != Verdict::Error {
                    prop_assert_eq!(verdict, old.verdict(status, headers));
                    prop_assert_eq!(verdict, new.verdict(status, headers));
                }
            }
        }
    }
}

fn answers() -> impl Strategy<Value = ResponseRules> {
    let statuses = prop::collection::vec(
        prop_oneof![Just(200), Just(201), Just(503), Just(504)],
        0..4,
    );
    let header = prop_oneof![
        Just(None),
        Just(Some((HeaderName::from_static("x-n"), None)))
    ];
    let proof = (prop_oneof![Just(503), Just(504)], header)
        .prop_map(|(status, header)| NotExecutedProof { status, header });
    (statuses, prop::collection::vec(proof, 0..3)).prop_map(|(statuses, never_ran)| {
        let mut served = StatusSet::default();
        statuses.into_iter().for_each(|s| served.insert(s, s));
        ResponseRules { served, never_ran }
    })
}

#[test]
fn request_that_only_one_policy_accepts_is_a_mismatch() {
    let policy = CallPolicy::default();
    let call = ResolvedCall {
        idempotency: Idempotency::Idempotent,
        key: IdempotencyKey::None,
        timeout: 1,
        policy,
        connect_timeout: 1,
        max_body_bytes: 1,
    };
    assert_eq!(intersect(Some(&call), None), Err(Mismatch::OnlyOld));
    assert_eq!(intersect(None, Some(&call)), Err(Mismatch::OnlyNew));
    assert_eq!(intersect(None, None), Ok(None));
}

#[test]
fn keyed_and_non_idempotent_intersect_to_non_idempotent() {
    let keyed_strategy = Idempotency::Keyed {
        scope: DedupScope::All,
        window: 3,
    };
    let policy = CallPolicy::default();
    let keyed = ResolvedCall {
        idempotency: keyed_strategy,
        key: IdempotencyKey::Value("k".to_owned()),
        timeout: 1,
        policy,
        connect_timeout: 1,
        max_body_bytes: 1,
    };
    let unsafe_ = ResolvedCall {
        idempotency: Idempotency::NonIdempotent,
        key: IdempotencyKey::None,
        ..keyed.clone()
    };
    let side = |old, new| {
        intersect(Some(old), Some(new))
            .expect("both")
            .map(|m| m.class)
    };
    assert_eq!(side(&keyed, &unsafe_), Some(Side::New));
    assert_eq!(side(&unsafe_, &keyed), Some(Side::Old));
}
