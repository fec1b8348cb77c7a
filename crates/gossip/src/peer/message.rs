//! The messages between peers.

use super::Member;
use crate::list::{Change, Stamp};
use crate::polling::PollerStatus;
use serde::{Deserialize, Serialize};

/// A message between peers.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// A message of SWIM's.
    Swim(Vec<u8>),
    /// The version of the sender's list, and the pollers that it knows.
    Status {
        stamp: Option<Stamp>,
        statuses: Vec<PollerStatus>,
    },
    /// The sender requests a list newer than `stamp`; of the list `of`, which it has in part, only these parts.
    Want {
        stamp: Option<Stamp>,
        of: Option<Stamp>,
        parts: Vec<u16>,
    },
    /// A part of a list.
    Part {
        stamp: Stamp,
        number: u16,
        parts: u16,
        bytes: Vec<u8>,
    },
    /// The changes from one list to the next.
    News {
        from: Stamp,
        to: Stamp,
        changes: Vec<Change>,
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
