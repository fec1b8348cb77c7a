//! Inputs and outputs of the [`Watch`](crate::Watch).

use crate::Micros;

/// Identifies a poll: its sequence number since the watch was created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PollId(pub u64);

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The list is to be watched. Ignored while a poll is in flight or scheduled.
    Start,
    /// A response that could be parsed.
    Response {
        /// The poll that it belongs to.
        poll: PollId,
        /// Index of the list in the response.
        index: u64,
        /// Whether it holds the complete list; otherwise it holds what changed since the requested index.
        complete: bool,
    },
    /// A poll failed: the connection was refused or reset, or the response could not be parsed.
    Failed {
        /// The poll that failed.
        poll: PollId,
    },
    /// The service rejected a poll because it has more callers than it can respond to in time.
    Rejected {
        /// The poll that was rejected.
        poll: PollId,
    },
    /// Lists come from another address from now on, where the current index means nothing.
    SourceChanged,
    /// The time of [`Watch::next_deadline`](crate::Watch::next_deadline) has come.
    Timer,
}

/// A response that could be parsed but breaks the protocol of the list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolViolation {
    /// Changes in response to a poll for the complete list. The response is discarded.
    ChangesInsteadOfList,
    /// Changes up to an index lower than the requested one, so those of another incarnation of the service. The response
    /// is discarded and the complete list is fetched.
    IndexWentBack {
        /// Index that the poll asked for changes after.
        requested: u64,
        /// Index in the response.
        received: u64,
    },
    /// The complete list with an index lower than the requested one: another incarnation of the service. The list is
    /// accepted.
    NewIncarnation {
        /// Index that the poll asked for changes after.
        requested: u64,
        /// Index in the response.
        received: u64,
    },
}

impl ProtocolViolation {
    /// Compares a response with the index that its poll requested changes after; `None` for the complete list.
    pub(crate) fn detect(requested: Option<u64>, received: u64, complete: bool) -> Option<Self> {
        let Some(requested) = requested else {
            return (!complete).then_some(Self::ChangesInsteadOfList);
        };
        if received >= requested {
            return None;
        }
        let violation = if complete {
            Self::NewIncarnation {
                requested,
                received,
            }
        } else {
            Self::IndexWentBack {
                requested,
                received,
            }
        };
        Some(violation)
    }
}

/// What the caller has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a poll.
    Send {
        /// Its identifier, which comes back with [`Input::Response`], [`Input::Failed`] or [`Input::Rejected`].
        poll: PollId,
        /// Request changes after this index; `None` requests the complete list.
        index: Option<u64>,
        /// How long the source may hold the poll until there is a change, in microseconds.
        wait: Micros,
        /// Whether to use a new connection, as the current one may be dead without having been closed.
        fresh_connection: bool,
    },
    /// Close the connection of this poll; its response is not needed any more.
    Cancel(PollId),
    /// Apply the list of the response that was just handled.
    Accept,
    /// Report that the response that was just handled breaks the protocol.
    Violation(ProtocolViolation),
    /// Report that the response to this poll is overdue.
    Overdue(PollId),
    /// Report that polling has failed for now. The current list stays in use and a retry is scheduled.
    Failed,
}
