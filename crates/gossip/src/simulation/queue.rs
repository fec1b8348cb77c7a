//! The events of a simulation, ordered by time.

use crate::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Identifies a poll. A proxy has at most one poll in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PollId {
    pub(super) proxy: usize,
    /// The incarnation of the proxy that sent the poll.
    pub(super) incarnation: u32,
    /// Sequence number of the poll among those of the proxy.
    pub(super) number: u64,
}

/// A poll at the list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Poll {
    pub(super) id: PollId,
    /// The index of the proxy's list; `None` to request the complete list.
    pub(super) index: Option<u64>,
    pub(super) sent_at: Micros,
    /// How long the service may hold the poll until the list changes.
    pub(super) wait: Micros,
}

/// An event of a simulation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// A proxy starts.
    Start { proxy: usize },
    /// A proxy crashes.
    Crash { proxy: usize },
    /// A message arrives.
    Message { to: usize, bytes: Vec<u8> },
    /// A proxy's deadline has passed.
    Timer { proxy: usize },
    /// The service begins to handle a poll.
    Poll(Poll),
    /// The service checks whether the list has changed, for a poll that it holds until `until`.
    LongPoll {
        poll: Poll,
        index: u64,
        until: Micros,
    },
    /// A poll times out at the proxy.
    PollTimeout(PollId),
    /// The answer to a poll arrives. `immediate` tells that the service did not hold the poll.
    Answer { poll: Poll, immediate: bool },
    /// The proxy learns that a poll has failed.
    PollFailed(PollId),
    /// The list changes at the service.
    ListChange,
}

#[derive(Debug)]
struct Scheduled {
    at: Micros,
    /// Orders events at the same time by when they were scheduled.
    sequence: u64,
    event: Event,
}

impl Scheduled {
    fn key(&self) -> (Micros, u64) {
        (self.at, self.sequence)
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// A queue of events, ordered by time.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub(super) fn push(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(Scheduled {
            at,
            sequence: self.sequence,
            event,
        }));
    }

    /// Removes the earliest event and returns it with its time.
    pub(super) fn pop(&mut self) -> Option<(Micros, Event)> {
        let Reverse(scheduled) = self.events.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
