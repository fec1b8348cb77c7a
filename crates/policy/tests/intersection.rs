//! The intersection allows only what both policies allow, for any two resolved calls of a request and any response.

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
    let keyed = (scope, 1..4u64).prop_map(|(scope, window)| Idempotency::Keyed { scope, window });
    prop_oneof![
        Just(Idempotency::Idempotent),
        Just(Idempotency::NonIdempotent),
        keyed
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
        timeout in 1..4u64,
        (max_attempts, attempt_timeout, backoff) in (1..4u32, 1..4u64, 0..3u64),
        hedge in hedge(),
        retry_any_failure in any::<bool>(),
        (connect_timeout, max_body_bytes) in (1..4u64, 0..3usize),
    ) -> ResolvedCall {
        let retry_on = if retry_any_failure { RetryOn::AnyFailure } else { RetryOn::NotExecuted };
        let non_idempotent = matches!(idempotency, Idempotency::Keyed { .. }) && key == IdempotencyKey::None;
        let policy = CallPolicy { max_attempts, attempt_timeout, backoff, hedge, retry_on, non_idempotent };
        ResolvedCall { idempotency, key, timeout, policy, connect_timeout, max_body_bytes }
    }
}

/// Returns whether a call may be repeated this long after its first attempt, at an endpoint of the same or of another zone
/// and cell.
fn may_repeat(
    idempotency: Idempotency,
    policy: &CallPolicy,
    (same_zone, same_cell): (bool, bool),
    after: u64,
) -> bool {
    let idempotency_allows = match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { scope, window } => {
            let in_scope = match scope {
                DedupScope::All => true,
                DedupScope::Zone => same_zone,
                DedupScope::Cell => same_cell,
            };
            in_scope && after < window && !policy.non_idempotent
        }
    };
    idempotency_allows && !policy.non_idempotent && policy.retry_on == RetryOn::AnyFailure
}

proptest! {
    #[test]
    fn intersection_allows_only_what_both_allow(old in call(), new in call()) {
        let intersection = intersect(Some(&old), Some(&new)).expect("both accept it").expect("both accept it");
        let chosen = if intersection.class == Side::Old { &old } else { &new };
        for own in [&old, &new] {
            let (policy, own_policy) = (&intersection.policy, &own.policy);
            prop_assert!(intersection.timeout <= own.timeout && intersection.connect_timeout <= own.connect_timeout && intersection.max_body_bytes <= own.max_body_bytes);
            prop_assert!(policy.max_attempts <= own_policy.max_attempts && policy.attempt_timeout <= own_policy.attempt_timeout);
            prop_assert!(policy.backoff >= own_policy.backoff);
            prop_assert!(policy.hedge == Hedge::Never || policy.hedge == own_policy.hedge);
            prop_assert!(policy.retry_on == RetryOn::NotExecuted || own_policy.retry_on == RetryOn::AnyFailure);
            for location in [(true, true), (true, false), (false, true), (false, false)] {
                for after in 0..4 {
                    if may_repeat(chosen.idempotency, policy, location, after) {
                        prop_assert!(may_repeat(own.idempotency, own_policy, location, after), "{location:?} {after}");
                        // If endpoints recognise repeats by a key, the call must carry that key.
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
    fn response_is_classified_as_by_both_policies_or_is_an_error(old in answers(), new in answers()) {
        let intersection = intersect_answers(&old, &new);
        let headers_with_proof = HeaderMap::from_iter([(HeaderName::from_static("x-n"), HeaderValue::from_static("1"))]);
        for status in [200, 201, 503, 504] {
            let status = StatusCode::from_u16(status).expect("a valid status code");
            for headers in [&HeaderMap::new(), &headers_with_proof] {
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
    let idempotency = Idempotency::Keyed {
        scope: DedupScope::All,
        window: 3,
    };
    let policy = CallPolicy::default();
    let keyed = ResolvedCall {
        idempotency,
        key: IdempotencyKey::Value("k".to_owned()),
        timeout: 1,
        policy,
        connect_timeout: 1,
        max_body_bytes: 1,
    };
    let non_idempotent = ResolvedCall {
        idempotency: Idempotency::NonIdempotent,
        key: IdempotencyKey::None,
        ..keyed.clone()
    };
    let class = |old, new| {
        intersect(Some(old), Some(new))
            .expect("both policies accept the request")
            .map(|intersection| intersection.class)
    };
    assert_eq!(class(&keyed, &non_idempotent), Some(Side::New));
    assert_eq!(class(&non_idempotent, &keyed), Some(Side::Old));
}
