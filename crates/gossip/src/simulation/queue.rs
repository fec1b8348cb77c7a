//! The events of a simulation, ordered by time.

use crate::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Identifies a poll. A proxy has at most one in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PollId {
    pub(super) proxy: usize,
    /// The run of the proxy that has sent it.
    pub(super) incarnation: u32,
    /// Its number among the polls of that proxy.
    pub(super) number: u64,
}

/// A poll at the list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Poll {
    pub(super) id: PollId,
    /// The version that the proxy has; `None`: it asks for the complete list.
    pub(super) index: Option<u64>,
    pub(super) sent_at: Micros,
    /// How long the service may hold the poll back until there is news.
    pub(super) wait: Micros,
}

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
    /// The service checks whether there is news for a poll that it holds back until this moment.
    LongPoll {
        poll: Poll,
        index: u64,
        until: Micros,
    },
    /// The proxy gives a poll up.
    PollTimeout(PollId),
    /// The answer to a poll arrives; `immediate`: the service did not hold the poll back.
    Answer { poll: Poll, immediate: bool },
    /// The proxy learns that a poll has failed.
    PollFailed(PollId),
    /// The list changes at the service.
    ListChange,
}

#[derive(Debug)]
struct Scheduled {
    at: Micros,
    /// Events at the same moment happen in the order in which they were scheduled.
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

/// Events by time.
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

    /// Removes the earliest event.
    pub(super) fn pop(&mut self) -> Option<(Micros, Event)> {
        let Reverse(scheduled) = self.events.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
