//! What proxies send, counted by kind of message.

use crate::peer::Member;
use std::ops::AddAssign;

/// Kinds of messages, in the order in which [`Traffic`] counts them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Pings of SWIM, direct and indirect, and their acknowledgements.
    Probe,
    /// Periodic messages of SWIM that only carry updates of members.
    Gossip,
    /// A member asks another one for members, and the answer.
    Announce,
    /// The sender's list version, and the pollers that it knows.
    Status,
    /// Lists: requests, parts and changes.
    List,
    /// None of these.
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

    /// Its name, for tables.
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

    /// The kind of an encoded message. Its first field is the sender; the number of its variant follows.
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

    /// The kind of a message of SWIM, which is preceded by its length.
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

/// Messages and their bytes, without authentication.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Messages.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl AddAssign for Count {
    fn add_assign(&mut self, other: Self) {
        self.messages += other.messages;
        self.bytes += other.bytes;
    }
}

/// What was sent, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic([Count; MessageKind::ALL.len()]);

impl Traffic {
    /// Metrics an encoded message.
    pub(super) fn count(&mut self, message: &[u8]) {
        let kind = MessageKind::of(message);
        self.0[kind as usize] += Count {
            messages: 1,
            bytes: message.len() as u64,
        };
    }

    /// What was sent of a kind.
    pub fn of(&self, kind: MessageKind) -> Count {
        self.0[kind as usize]
    }

    /// What was sent in all.
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
