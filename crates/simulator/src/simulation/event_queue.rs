//! The queue of future events, ordered by time. Events that are due at the same time are ordered by priority, and then by
//! the order in which they were caused, or randomly.

use badgerramp_sim_model::{Micros, RandomStreams};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Priority of events that are due at the same time, as in the proxy: external events, attempt timeouts, the timer of the
/// decisions, and the call deadline that the driver itself enforces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    External,
    AttemptTimeout,
    DecisionTimer,
    CallDeadline,
}

struct ScheduledEvent<E> {
    at: Micros,
    priority: Priority,
    order: u64,
    event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.priority, self.order).cmp(&(other.at, other.priority, other.order))
    }
}

/// A priority queue of events.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<ScheduledEvent<E>>>,
    pushed: u64,
    /// Source of the random order of simultaneous external events; `None` keeps the order in which they were caused.
    shuffle: Option<RandomStreams>,
}

impl<E> EventQueue<E> {
    pub(crate) fn new(shuffle: Option<RandomStreams>) -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            pushed: 0,
            shuffle,
        }
    }

    pub(crate) fn push(&mut self, at: Micros, priority: Priority, event: E) {
        self.pushed += 1;
        let order = match self.shuffle {
            // Only external events are shuffled: the order of the proxy's own timers is fixed.
            Some(random) if priority == Priority::External => {
                random.integer((0x71e, self.pushed, 0), (0, u64::MAX >> 1))
            }
            _ => self.pushed,
        };
        self.heap.push(Reverse(ScheduledEvent {
            at,
            priority,
            order,
            event,
        }));
    }

    pub(crate) fn pop(&mut self) -> Option<(Micros, E)> {
        self.heap
            .pop()
            .map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}
