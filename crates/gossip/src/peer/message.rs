//! The messages between peers.

use super::Member;
use crate::endpoint_list::{EndpointChange, ListVersion};
use crate::polling::PollerStatus;
use serde::{Deserialize, Serialize};

/// A message between peers.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// A message of SWIM's.
    Swim(Vec<u8>),
    /// The version of the sender's list, and the pollers that it knows.
    Status {
        version: Option<ListVersion>,
        statuses: Vec<PollerStatus>,
    },
    /// The sender requests a list newer than `version`; of the list `of`, which it has in part, only these parts.
    ListRequest {
        version: Option<ListVersion>,
        of: Option<ListVersion>,
        parts: Vec<u16>,
    },
    /// A part of a list.
    ListPart {
        version: ListVersion,
        number: u16,
        parts: u16,
        bytes: Vec<u8>,
    },
    /// The changes from one list to the next.
    ListDelta {
        from: ListVersion,
        to: ListVersion,
        changes: Vec<EndpointChange>,
    },
}

/// A message with its sender.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Envelope {
    pub(super) from: Member,
    pub(super) message: Message,
}

#[cfg(test)]
mod tests;
