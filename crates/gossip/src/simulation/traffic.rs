//! Counters of the messages that proxies send, by kind of message.

use crate::peer::Member;
use std::ops::AddAssign;

/// A kind of message. [`Traffic`] holds the counters in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Direct and indirect pings of SWIM, and their acknowledgements.
    Probe,
    /// Periodic messages of SWIM that only carry membership updates.
    Gossip,
    /// Announcements of SWIM to a member, and the replies with known members.
    Announce,
    /// The sender's list version, and the pollers that it knows.
    Status,
    /// Lists: requests, parts and changes.
    List,
    /// Any other message.
    Other,
}

impl MessageKind {
    /// All kinds.
    pub const ALL: [MessageKind; 6] = [
        Self::Probe,
        Self::Gossip,
        Self::Announce,
        Self::Status,
        Self::List,
        Self::Other,
    ];

    /// The name of the kind, for tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Probe => "probe",
            Self::Gossip => "gossip",
            Self::Announce => "announce",
            Self::Status => "status",
            Self::List => "list",
            Self::Other => "other",
        }
    }

    /// The kind of an encoded message. Its first field is the sender, which is followed by the index of the variant.
    fn of(message: &[u8]) -> Self {
        let Ok((_, rest)) = postcard::take_from_bytes::<Member>(message) else {
            return Self::Other;
        };
        match rest.split_first() {
            Some((0, swim)) => Self::of_swim(swim),
            Some((1, _)) => Self::Status,
            Some((2..=4, _)) => Self::List,
            _ => Self::Other,
        }
    }

    /// The kind of a SWIM message, which is preceded by its length.
    fn of_swim(field: &[u8]) -> Self {
        type Decoded<'a> = Result<(foca::Header<Member>, &'a [u8]), postcard::Error>;
        let Ok((bytes, _)) = postcard::take_from_bytes::<&[u8]>(field) else {
            return Self::Other;
        };
        let decoded: Decoded<'_> = postcard::take_from_bytes(bytes);
        let Ok((header, _)) = decoded else {
            return Self::Other;
        };
        match header.message {
            foca::Message::Ping(_)
            | foca::Message::Ack(_)
            | foca::Message::PingReq { .. }
            | foca::Message::IndirectPing { .. }
            | foca::Message::IndirectAck { .. }
            | foca::Message::ForwardedAck { .. } => Self::Probe,
            foca::Message::Gossip => Self::Gossip,
            foca::Message::Announce | foca::Message::Feed => Self::Announce,
            foca::Message::Broadcast | foca::Message::TurnUndead => Self::Other,
        }
    }
}

/// A number of messages and their total size, without authentication.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Number of messages.
    pub messages: u64,
    /// Total size of the messages in bytes.
    pub bytes: u64,
}

impl AddAssign for Count {
    fn add_assign(&mut self, other: Self) {
        self.messages += other.messages;
        self.bytes += other.bytes;
    }
}

/// Counters of sent messages, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic([Count; MessageKind::ALL.len()]);

impl Traffic {
    /// Counts an encoded message.
    pub(super) fn count(&mut self, message: &[u8]) {
        let kind = MessageKind::of(message);
        self.0[kind as usize] += Count {
            messages: 1,
            bytes: message.len() as u64,
        };
    }

    /// Messages sent of this kind.
    pub fn of(&self, kind: MessageKind) -> Count {
        self.0[kind as usize]
    }

    /// Messages sent of all kinds.
    pub fn sum(&self) -> Count {
        let mut sum = Count::default();
        self.0.iter().for_each(|count| sum += *count);
        sum
    }
}

impl AddAssign for Traffic {
    fn add_assign(&mut self, other: Self) {
        for (own, other) in self.0.iter_mut().zip(other.0) {
            *own += other;
        }
    }
}
