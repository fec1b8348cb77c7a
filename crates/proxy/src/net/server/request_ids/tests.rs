//! Tests of request ids.

use super::{RequestIds, ABANDONED_TIME, MAX_ABANDONED};
use hyper::header::HeaderValue;

fn id(number: usize) -> HeaderValue {
    HeaderValue::from_str(&format!("id-{number}")).expect("a header value")
}

#[test]
fn an_id_is_free_again_once_its_request_has_ended() {
    let ids = RequestIds::default();
    let first = ids.enter(id(1), 0).expect("a new id");
    assert!(ids.enter(id(1), 0).is_none());
    drop(first);
    assert!(ids.enter(id(1), 0).is_some());
}

#[test]
fn an_abandoned_id_is_free_again_after_a_time() {
    let ids = RequestIds::default();
    ids.enter(id(1), 0).expect("a new id").abandon(5);
    assert!(ids.enter(id(1), 5 + ABANDONED_TIME - 1).is_none());
    assert!(ids.enter(id(2), 6).is_some());
    assert!(ids.enter(id(1), 5 + ABANDONED_TIME).is_some());
}

#[test]
fn the_number_of_abandoned_ids_is_bounded() {
    let ids = RequestIds::default();
    for number in 0..=MAX_ABANDONED {
        ids.enter(id(number), 0).expect("a new id").abandon(0);
    }
    assert!(ids.enter(id(0), 0).is_some(), "the oldest is forgotten");
    assert!(ids.enter(id(1), 0).is_none());
    assert_eq!(ids.abandoned.borrow().hashes.len(), MAX_ABANDONED);
}
