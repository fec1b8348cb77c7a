//! What is still to happen, in the order of time. What falls on one instant comes by rank and then in the order in
//! which it was caused, or in a drawn one.

use badgerramp_sim_model::{Micros, RandomStreams};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Order at one instant: what comes from outside first, then attempts that time out, the decisions' own timer, and last
/// the backstop. The program has the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    World,
    Attempt,
    Timer,
    Backstop,
}

struct Due<E> {
    at: Micros,
    rank: Rank,
    order: u64,
    event: E,
}

impl<E> PartialEq for Due<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<E> Eq for Due<E> {}

impl<E> PartialOrd for Due<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Due<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.rank, self.order).cmp(&(other.at, other.rank, other.order))
    }
}

/// The queue.
pub(crate) struct Events<E> {
    queue: BinaryHeap<Reverse<Due<E>>>,
    count: u64,
    shuffle: Option<RandomStreams>,
}

impl<E> Events<E> {
    pub(crate) fn new(shuffle: Option<RandomStreams>) -> Self {
        Events {
            queue: BinaryHeap::new(),
            count: 0,
            shuffle,
        }
    }

    pub(crate) fn push(&mut self, at: Micros, rank: Rank, event: E) {
        self.count += 1;
        let order = match self.shuffle {
            // Only what comes from outside: the program's own timers have their order.
            Some(draws) if rank == Rank::World => {
                draws.integer((0x71e, self.count, 0), (0, u64::MAX >> 1))
            }
            _ => self.count,
        };
        self.queue.push(Reverse(Due {
            at,
            rank,
            order,
            event,
        }));
    }

    pub(crate) fn pop(&mut self) -> Option<(Micros, E)> {
        self.queue.pop().map(|Reverse(due)| (due.at, due.event))
    }
}
