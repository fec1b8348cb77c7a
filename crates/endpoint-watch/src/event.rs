//! Inputs and outputs of the [`Watch`](crate::Watch).

use crate::Micros;

/// Identifies a poll: its sequence number since the watch was created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PollId(pub u64);

/// An input to [`Watch::handle`](crate::Watch::handle).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// Start watching the list. Ignored while a poll is in flight or scheduled.
    Start,
    /// A response arrived and was parsed.
    Response {
        /// The poll that the response belongs to.
        poll: PollId,
        /// Index of the list in the response.
        index: u64,
        /// Whether the response holds the complete list; otherwise it holds the changes since the requested index.
        complete: bool,
    },
    /// A poll failed: the connection was refused or reset, or the response could not be parsed.
    Failed {
        /// The poll that failed.
        poll: PollId,
    },
    /// The service rejected a poll because it has more polls than it can respond to in time.
    Rejected {
        /// The poll that was rejected.
        poll: PollId,
    },
    /// Lists come from another address from now on. The current index has no meaning there.
    SourceChanged,
    /// The time of [`Watch::next_deadline`](crate::Watch::next_deadline) has been reached.
    Timer,
}

/// A way in which a parsed response violates the protocol of the list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolViolation {
    /// The response to a poll for the complete list holds changes. It is discarded.
    ChangesInsteadOfList,
    /// The response holds changes up to an index lower than the requested one, so it comes from another incarnation of
    /// the service. It is discarded, and the complete list is fetched.
    IndexWentBack {
        /// Index after which the poll requested changes.
        requested: u64,
        /// Index in the response.
        received: u64,
    },
    /// The response holds the complete list with an index lower than the requested one, so it comes from another
    /// incarnation of the service. The list is accepted.
    NewIncarnation {
        /// Index after which the poll requested changes.
        requested: u64,
        /// Index in the response.
        received: u64,
    },
}

impl ProtocolViolation {
    /// Compares a response with its poll, which requested changes after the index `requested`, or the complete list if
    /// that is `None`.
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

/// An action that the caller carries out for a [`Watch`](crate::Watch).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a poll.
    Send {
        /// Identifier of the poll, which the caller passes back with [`Input::Response`], [`Input::Failed`] or
        /// [`Input::Rejected`].
        poll: PollId,
        /// Request changes after this index; `None` requests the complete list.
        index: Option<u64>,
        /// How long the source may hold the poll until there is a change, in microseconds.
        wait: Micros,
        /// Whether to use a new connection, as the current one may be dead without having been closed.
        fresh_connection: bool,
    },
    /// Close the connection of this poll, as its response is no longer needed.
    Cancel(PollId),
    /// Apply the list or the changes in the response that was just handled.
    Accept,
    /// Report that the response that was just handled violates the protocol.
    Violation(ProtocolViolation),
    /// Report that the response to this poll is overdue.
    Overdue(PollId),
    /// Report that polling has failed. The current list stays in use, and a retry is scheduled.
    Failed,
}
