//! The messages between peers.

use super::Member;
use crate::list::{Change, Stamp};
use crate::turns::Word;
use serde::{Deserialize, Serialize};

/// What travels.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// A message of SWIM's.
    Swim(Vec<u8>),
    /// What the sender has.
    Status { stamp: Option<Stamp>, words: Vec<Word> },
    /// The sender wants a list newer than `stamp`; of this one these parts, if it has some already.
    Want { stamp: Option<Stamp>, of: Option<Stamp>, parts: Vec<u16> },
    /// A part of a list.
    Part { stamp: Stamp, number: u16, parts: u16, bytes: Vec<u8> },
    /// What leads from one list to the next.
    News { from: Stamp, to: Stamp, changes: Vec<Change> },
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Letter {
    pub(super) from: Member,
    pub(super) message: Message,
}
