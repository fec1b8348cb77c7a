//! What the meet admits, both admit: for any two calls that two policies could make of one request, and any answer.

use badgerramp_decisions::{CallPolicy, DedupScope, Hedge, Idempotency, RetryOn};
use badgerramp_policy::{
    intersect, intersect_answers, IdempotencyKey, Mismatch, ResolvedCall, Side,
};
use badgerramp_route::{Answers, Proof, StatusSet, Verdict};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use proptest::prelude::*;

fn repeat() -> impl Strategy<Value = Idempotency> {
    let scope = prop_oneof![
        Just(DedupScope::All),
        Just(DedupScope::Zone),
        Just(DedupScope::Cell)
    ];
    let guarded = (scope, 1..4u64).prop_map(|(scope, window)| Idempotency::Keyed { scope, window });
    prop_oneof![
        Just(Idempotency::Idempotent),
        Just(Idempotency::NonIdempotent),
        guarded
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
        repeat in repeat(),
        key in prop_oneof![Just(IdempotencyKey::None), "[ab]".prop_map(IdempotencyKey::Value)],
        time in 1..4u64,
        (attempts, attempt_time, backoff) in (1..4u32, 1..4u64, 0..3u64),
        hedge in hedge(),
        any in any::<bool>(),
        (connect, body) in (1..4u64, 0..3usize),
    ) -> ResolvedCall {
        let resend = if any { RetryOn::AnyFailure } else { RetryOn::NotExecuted };
        let once = matches!(repeat, Idempotency::Keyed { .. }) && key == IdempotencyKey::None;
        let terms = CallPolicy { max_attempts: attempts, attempt_timeout: attempt_time, backoff, hedge, retry_on: resend, non_idempotent: once };
        ResolvedCall { idempotency: repeat, key, timeout: time, policy: terms, connect_timeout: connect, max_body_bytes: body }
    }
}

/// May a call of these terms run again at a host of the same zone (and cell), or of another, `after` its first attempt?
fn runs_again(
    repeat: Idempotency,
    terms: &CallPolicy,
    (zone, cell): (bool, bool),
    after: u64,
) -> bool {
    let class = match repeat {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { scope, window } => {
            let here = match scope {
                DedupScope::All => true,
                DedupScope::Zone => zone,
                DedupScope::Cell => cell,
            };
            here && after < window && !terms.non_idempotent
        }
    };
    class && !terms.non_idempotent && terms.retry_on == RetryOn::AnyFailure
}

proptest! {
    #[test]
    fn what_the_meet_allows_both_allow(old in call(), new in call()) {
        let met = intersect(Some(&old), Some(&new)).expect("both take it").expect("both take it");
        let chosen = if met.class == Side::Old { &old } else { &new };
        for own in [&old, &new] {
            let (terms, its) = (&met.policy, &own.policy);
            prop_assert!(met.timeout <= own.timeout && met.connect_timeout <= own.connect_timeout && met.max_body_bytes <= own.max_body_bytes);
            prop_assert!(terms.max_attempts <= its.max_attempts && terms.attempt_timeout <= its.attempt_timeout);
            prop_assert!(terms.backoff >= its.backoff);
            prop_assert!(terms.hedge == Hedge::Never || terms.hedge == its.hedge);
            prop_assert!(terms.retry_on == RetryOn::NotExecuted || its.retry_on == RetryOn::AnyFailure);
            for place in [(true, true), (true, false), (false, true), (false, false)] {
                for after in 0..4 {
                    if runs_again(chosen.idempotency, terms, place, after) {
                        prop_assert!(runs_again(own.idempotency, its, place, after), "{place:?} {after}");
                        // By the key that it bears, where it goes by one.
                        if matches!(own.idempotency, Idempotency::Keyed { .. }) {
                            prop_assert!(own.key == chosen.key || chosen.idempotency == Idempotency::Idempotent);
                        }
                    }
                }
            }
        }
    }

    #[test]
    fn the_meet_of_one_policy_with_itself_is_that_policy(own in call()) {
        let met = intersect(Some(&own), Some(&own)).expect("both take it").expect("both take it");
        prop_assert_eq!((met.timeout, met.policy, met.connect_timeout, met.max_body_bytes), (own.timeout, own.policy, own.connect_timeout, own.max_body_bytes));
    }

    #[test]
    fn an_answer_means_what_it_means_to_both_or_may_have_run(old in answers(), new in answers()) {
        let met = intersect_answers(&old, &new);
        let marked = HeaderMap::from_iter([(HeaderName::from_static("x-n"), HeaderValue::from_static("1"))]);
        for status in [200, 201, 503, 504] {
            let status = StatusCode::from_u16(status).expect("a status");
            for headers in [&HeaderMap::new(), &marked] {
                let verdict = met.verdict(status, headers);
                if verdict != Verdict::Error {
                    prop_assert_eq!(verdict, old.verdict(status, headers));
                    prop_assert_eq!(verdict, new.verdict(status, headers));
                }
            }
        }
    }
}

fn answers() -> impl Strategy<Value = Answers> {
    let statuses = prop::collection::vec(
        prop_oneof![Just(200), Just(201), Just(503), Just(504)],
        0..4,
    );
    let header = prop_oneof![
        Just(None),
        Just(Some((HeaderName::from_static("x-n"), None)))
    ];
    let proof = (prop_oneof![Just(503), Just(504)], header)
        .prop_map(|(status, header)| Proof { status, header });
    (statuses, prop::collection::vec(proof, 0..3)).prop_map(|(statuses, never_ran)| {
        let mut served = StatusSet::default();
        statuses.into_iter().for_each(|s| served.insert(s, s));
        Answers { served, never_ran }
    })
}

#[test]
fn what_only_one_takes_is_turned_away_with_the_reason() {
    let terms = CallPolicy::default();
    let call = ResolvedCall {
        idempotency: Idempotency::Idempotent,
        key: IdempotencyKey::None,
        timeout: 1,
        policy: terms,
        connect_timeout: 1,
        max_body_bytes: 1,
    };
    assert_eq!(intersect(Some(&call), None), Err(Mismatch::OnlyOld));
    assert_eq!(intersect(None, Some(&call)), Err(Mismatch::OnlyNew));
    assert_eq!(intersect(None, None), Ok(None));
}

#[test]
fn keyed_and_unsafe_meet_in_unsafe() {
    let guarded = Idempotency::Keyed {
        scope: DedupScope::All,
        window: 3,
    };
    let terms = CallPolicy::default();
    let keyed = ResolvedCall {
        idempotency: guarded,
        key: IdempotencyKey::Value("k".to_owned()),
        timeout: 1,
        policy: terms,
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
