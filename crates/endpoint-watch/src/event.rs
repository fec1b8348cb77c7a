//! What the watch is told, and what it wants done.

use crate::Micros;

/// A question, by its number since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PollId(pub u64);

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The decisions want the list to be watched. Means nothing while it is, or is about to be.
    Start,
    /// An answer that can be read: its index, and whether it is the whole list.
    Response {
        /// To which question.
        poll: PollId,
        /// The list's version.
        index: u64,
        /// The whole list, or what changed.
        complete: bool,
    },
    /// A question failed: no connection, a reset, an answer that can't be read.
    Failed {
        /// Which.
        poll: PollId,
    },
    /// The source refused a question: it is there, and has more callers than it can answer in time.
    Rejected {
        /// Which.
        poll: PollId,
    },
    /// The source is another one now.
    SourceChanged,
    /// [`Watch::next_deadline`](crate::Watch::next_deadline) is over.
    Timer,
}

/// What is wrong with an answer that could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolViolation {
    /// Changes, where the whole list was asked for.
    ChangesInsteadOfList,
    /// Changes up to an index before the one asked from: they are those of another life of the service.
    IndexWentBack {
        /// Asked from.
        requested: u64,
        /// Told.
        received: u64,
    },
    /// The whole list, with an index before the one asked from: it holds, as another life of the service.
    NewIncarnation {
        /// Asked from.
        requested: u64,
        /// Told.
        received: u64,
    },
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Ask.
    Send {
        /// Its number.
        poll: PollId,
        /// For what is newer than this; `None`: for the whole list.
        index: Option<u64>,
        /// How long it may wait at the source for news, in microseconds.
        wait: Micros,
        /// On a connection of its own, as what is there may be silent.
        fresh_connection: bool,
    },
    /// Nobody waits for this question any more: its connection is closed.
    Cancel(PollId),
    /// The answer that came just now holds.
    Accept,
    /// The answer that came just now is odd.
    Violation(ProtocolViolation),
    /// A watch is doubted: its answer is late.
    Overdue(PollId),
    /// Asking has failed; the list that is there stands.
    Failed,
}
