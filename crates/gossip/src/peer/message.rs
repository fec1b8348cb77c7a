//! The messages between peers, encoded with [postcard](https://postcard.jamesmunns.com/wire-format).
//!
//! During an upgrade, peers of different versions are members of one fleet, so the order of fields and variants must
//! not change.

use super::Member;
use crate::endpoint_list::{EndpointChange, ListVersion};
use crate::polling::PollerStatus;
use serde::{Deserialize, Serialize};

/// A message with its sender.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Envelope {
    pub(super) from: Member,
    pub(super) message: Message,
}

/// A message between peers.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// A SWIM message, encoded by the `foca` crate.
    Swim(Vec<u8>),
    /// The list version and the pollers that the sender knows.
    Status(StatusMessage),
    /// The sender requests a newer list.
    ListRequest(ListRequest),
    /// A part of a list.
    ListPart(ListPart),
    /// The changes from one list to the next.
    ListDelta(ListDelta),
}

/// The version of the sender's accepted list, and the pollers that the sender knows.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StatusMessage {
    pub(super) version: Option<ListVersion>,
    pub(super) statuses: Vec<PollerStatus>,
}

/// A request for a newer list, or for missing parts of one.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ListRequest {
    /// The version of the sender's accepted list.
    pub(super) version: Option<ListVersion>,
    /// The version of the list that the sender has partly received.
    #[serde(rename = "of")]
    pub(super) partial_version: Option<ListVersion>,
    /// Numbers of the parts that are missing from that list.
    pub(super) parts: Vec<u16>,
}

/// A part of a packed list.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ListPart {
    pub(super) version: ListVersion,
    pub(super) number: u16,
    /// Number of parts of the list.
    pub(super) parts: u16,
    pub(super) bytes: Vec<u8>,
}

/// The changes from one list to the next.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ListDelta {
    pub(super) from: ListVersion,
    pub(super) to: ListVersion,
    pub(super) changes: Vec<EndpointChange>,
}

#[cfg(test)]
mod tests;
