//! Authenticated datagrams between peers.
//!
//! Layout: version (1 byte), kind (1 byte), message authentication code, sender (8 bytes), sequence number (8 bytes),
//! body. Numbers are little-endian. The code covers the fleet's name and all other bytes.

use badgerramp_control_protocol::{SharedSecret, MAC_LEN};
use badgerramp_gossip::peer::MAX_MESSAGE_SIZE;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of the layout.
const VERSION: u8 = 1;

/// Length of version and kind, in bytes.
const PREFIX_LEN: usize = 2;

/// Length of sender and sequence number, in bytes.
const NUMBERS_LEN: usize = 16;

/// Length of all that precedes the body, in bytes.
pub(super) const HEADER_LEN: usize = PREFIX_LEN + MAC_LEN + NUMBERS_LEN;

/// The maximum size of a datagram between proxies, in bytes. Longer ones are rejected.
pub(super) const MAX_DATAGRAM_SIZE: usize = HEADER_LEN + MAX_MESSAGE_SIZE;

/// Separates the authentication codes of datagrams from other uses of the same secret.
const PURPOSE: &str = "badgerramp peers";

/// The kind of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DatagramKind {
    /// A gossip message from one proxy to another.
    Message = 0,
    /// An operator's tool requests the status of a proxy.
    StatusRequest = 1,
    /// The answer to a status request.
    StatusReply = 2,
}

/// Why a datagram is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum DecodeError {
    /// The datagram is too short or too long, or has another version or kind.
    #[error("malformed datagram")]
    Malformed,
    /// The datagram was sent with another secret or by another fleet, or was altered.
    #[error("datagram with a wrong authentication code")]
    Unauthenticated,
}

/// The contents of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Datagram<'a> {
    /// The id that the sender drew at random when it started.
    pub(super) sender: u64,
    /// Increases with each datagram of the sender. A reply has the sequence number of its request.
    pub(super) sequence: u64,
    pub(super) body: &'a [u8],
}

/// Encodes and authenticates the datagrams of one fleet.
#[derive(Clone, Debug)]
pub struct DatagramCodec {
    secret: SharedSecret,
    fleet: String,
}

impl DatagramCodec {
    /// Creates the codec of a fleet from its name and the secret that its proxies share.
    pub fn new(secret: SharedSecret, fleet: String) -> Self {
        DatagramCodec { secret, fleet }
    }

    pub(super) fn encode(&self, kind: DatagramKind, datagram: &Datagram<'_>) -> Vec<u8> {
        let prefix = [VERSION, kind as u8];
        let sender = datagram.sender.to_le_bytes();
        let sequence = datagram.sequence.to_le_bytes();
        let numbers = [sender, sequence].concat();
        let code = self.secret.datagram_mac(
            PURPOSE,
            &[self.fleet.as_bytes(), &prefix, &numbers, datagram.body],
        );
        [&prefix[..], &code, &numbers, datagram.body].concat()
    }

    /// Decodes a datagram of this kind and checks its authentication code.
    ///
    /// # Errors
    /// If the datagram is malformed, of another kind, or not authentic.
    pub(super) fn decode<'a>(
        &self,
        kind: DatagramKind,
        bytes: &'a [u8],
    ) -> Result<Datagram<'a>, DecodeError> {
        let split = |bytes: &'a [u8], at| bytes.split_at_checked(at).ok_or(DecodeError::Malformed);
        let (prefix, rest) = split(bytes, PREFIX_LEN)?;
        let (code, rest) = split(rest, MAC_LEN)?;
        let (numbers, body) = split(rest, NUMBERS_LEN)?;
        if prefix != [VERSION, kind as u8] {
            return Err(DecodeError::Malformed);
        }
        let authenticated = [self.fleet.as_bytes(), prefix, numbers, body];
        if !self
            .secret
            .verify_datagram_mac(PURPOSE, &authenticated, code)
        {
            return Err(DecodeError::Unauthenticated);
        }
        let (sender, sequence) = numbers.split_at(NUMBERS_LEN / 2);
        Ok(Datagram {
            sender: read_u64(sender),
            sequence: read_u64(sequence),
            body,
        })
    }
}

/// The kind that a received datagram claims to be: a status request, or else a message. Decoding rejects any other.
pub(super) fn received_kind(bytes: &[u8]) -> DatagramKind {
    if bytes.get(1) == Some(&(DatagramKind::StatusRequest as u8)) {
        DatagramKind::StatusRequest
    } else {
        DatagramKind::Message
    }
}

fn read_u64(bytes: &[u8]) -> u64 {
    let mut number = [0; 8];
    number.copy_from_slice(bytes);
    u64::from_le_bytes(number)
}

/// Counters of datagrams that were rejected or could not be sent. In JSON they have the names of earlier versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedDatagrams {
    /// Too short or too long, or of another version or kind.
    #[serde(rename = "form")]
    pub malformed: u64,
    /// Sent with another secret or by another fleet.
    #[serde(rename = "seal")]
    pub unauthenticated: u64,
    /// Accepted before, or too old to tell whether they were.
    #[serde(rename = "again")]
    pub replayed: u64,
    /// Not sent, as the operating system returned an error.
    #[serde(rename = "unsent")]
    pub send_failed: u64,
}
