//! Tests of the memory budget.

use super::{MemoryBudget, Purpose};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_millis(100);

#[test]
fn the_budget_leaves_room_for_the_program_at_each_limit() {
    for (memory_mb, budget_mb) in [(32, 18), (64, 44), (192, 148)] {
        let budget = MemoryBudget::for_process(memory_mb << 20);
        assert_eq!(budget.limit(), budget_mb << 20);
    }
    assert!(MemoryBudget::for_process(1 << 20).limit() > 0);
}

#[test]
fn calls_and_responses_fit_when_request_bodies_no_longer_do() {
    let budget = MemoryBudget::new(1_600);
    let _bodies = budget.reserve(Purpose::LongRequest, 1_200).expect("room");
    assert!(budget.reserve(Purpose::LongRequest, 1).is_none());
    let _response = budget.reserve(Purpose::ResponseBody, 200).expect("room");
    assert!(budget.reserve(Purpose::ResponseBody, 1).is_none());
    let _call = budget.reserve(Purpose::ShortRequest, 100).expect("room");
    assert!(budget.reserve(Purpose::ShortRequest, 1).is_none());
}

#[test]
fn what_is_released_can_be_reserved_again() {
    let budget = MemoryBudget::new(1_600);
    let mut first = budget.reserve(Purpose::ShortRequest, 1_500).expect("room");
    first.shrink_to(700);
    let second = budget.reserve(Purpose::ShortRequest, 800).expect("room");
    drop((first, second));
    assert_eq!(budget.used(), 0);
}

#[test]
fn what_is_charged_beyond_the_budget_counts_as_missing() {
    let budget = MemoryBudget::new(1_600);
    let mut charged = budget.charge(1_600);
    assert_eq!(budget.missing(), 0);
    charged.add(50);
    assert_eq!(budget.missing(), 50);
}

#[tokio::test(start_paused = true)]
async fn a_reservation_waits_until_memory_is_released() {
    let budget = MemoryBudget::new(1_600);
    let held = budget.charge(1_600);
    let reserve = budget.reserve_within(Purpose::ShortRequest, 100, PATIENCE);
    let release = async {
        budget.shortage().await;
        assert_eq!(budget.missing(), 200);
        drop(held);
    };
    let (reservation, ()) = tokio::join!(reserve, release);
    assert_eq!(reservation.expect("room").bytes(), 100);
    assert_eq!(budget.missing(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_reservation_for_which_nothing_is_released_is_refused() {
    let budget = MemoryBudget::new(1_600);
    let _held = budget.charge(1_600);
    let reservation = budget
        .reserve_within(Purpose::ShortRequest, 100, PATIENCE)
        .await;
    assert!(reservation.is_none());
    assert_eq!(budget.missing(), 0);
}
