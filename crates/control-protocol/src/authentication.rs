//! Message authentication: without the shared secret nobody can send a request or a reply that is taken.
//!
//! Messages over gRPC carry an HMAC-SHA256 (RFC 2104) over their [`Purpose`], version and body. Datagrams, which have
//! little room, carry the first [`MAC_LEN`] bytes of one.

use crate::secret::SharedSecret;
use crate::wire::AuthenticatedMessage;
use hmac::digest::InvalidLength;
use hmac::{Hmac, Mac};
use prost::{DecodeError, Message};
use sha2::Sha256;
use thiserror::Error;

/// The version of the messages. Messages of another version are rejected.
pub const PROTOCOL_VERSION: u32 = 1;
/// Most bytes of a message's body.
pub const MAX_BODY_BYTES: usize = 3 * 1024 * 1024;
/// Most bytes of a message with the fields around its body, as gRPC limits it.
pub const MAX_MESSAGE_BYTES: usize = MAX_BODY_BYTES + 1024;
/// Bytes of the truncated MAC of a datagram (RFC 2104, section 5).
pub const MAC_LEN: usize = 16;

/// What a message is for. It is part of what is authenticated, so a message can't be replayed for another purpose or
/// reflected to its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// From a proxy or a publisher to control.
    Request,
    /// From control to a proxy or a publisher.
    Reply,
    /// From one replica of control to another.
    ReplicaRequest,
    /// The reply to a [`Purpose::ReplicaRequest`].
    ReplicaReply,
    /// From the leader of one region to that of another.
    RegionRequest,
    /// The reply to a [`Purpose::RegionRequest`].
    RegionReply,
}

impl Purpose {
    /// What goes into the MAC.
    fn label(self) -> &'static [u8] {
        match self {
            Purpose::Request => b"badgerramp control request",
            Purpose::Reply => b"badgerramp control reply",
            Purpose::ReplicaRequest => b"badgerramp control replica request",
            Purpose::ReplicaReply => b"badgerramp control replica reply",
            Purpose::RegionRequest => b"badgerramp control region request",
            Purpose::RegionReply => b"badgerramp control region reply",
        }
    }
}

/// Why a message is rejected before anybody looks at its contents.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum MessageError {
    /// It has another version than [`PROTOCOL_VERSION`]: the one found.
    #[error("message version: found {0}, allowed is {PROTOCOL_VERSION}")]
    UnsupportedVersion(u32),
    /// Its MAC was made with another secret, for another purpose, or over another body.
    #[error("the message authentication code does not match: this side has another secret")]
    BadMac,
    /// Its body has more than [`MAX_BODY_BYTES`]: the number found.
    #[error("found {0} bytes, allowed are {MAX_BODY_BYTES}")]
    TooLarge(usize),
    /// Its body does not decode as the expected message.
    #[error("malformed message: {0}")]
    Malformed(#[from] DecodeError),
}

type HmacSha256 = Hmac<Sha256>;

impl SharedSecret {
    fn hmac(&self) -> Result<HmacSha256, InvalidLength> {
        HmacSha256::new_from_slice(self.as_bytes())
    }

    /// The MAC over a message. HMAC takes keys of any length, so there is one.
    fn message_hmac(&self, purpose: Purpose, version: u32, body: &[u8]) -> Option<HmacSha256> {
        let mut hmac = self.hmac().ok()?;
        update_with_length(&mut hmac, purpose.label());
        hmac.update(&version.to_le_bytes());
        hmac.update(body);
        Some(hmac)
    }

    fn datagram_hmac(&self, label: &str, parts: &[&[u8]]) -> Option<HmacSha256> {
        let mut hmac = self.hmac().ok()?;
        update_with_length(&mut hmac, label.as_bytes());
        for part in parts {
            update_with_length(&mut hmac, part);
        }
        Some(hmac)
    }

    /// The truncated MAC over the parts of a datagram. `label` tells datagrams of different kinds apart.
    pub fn datagram_mac(&self, label: &str, parts: &[&[u8]]) -> [u8; MAC_LEN] {
        let mut mac = [0; MAC_LEN];
        if let Some(hmac) = self.datagram_hmac(label, parts) {
            mac.copy_from_slice(&hmac.finalize().into_bytes()[..MAC_LEN]);
        }
        mac
    }

    /// Whether `mac` is that of [`SharedSecret::datagram_mac`] for these parts. Compares in constant time.
    pub fn verify_datagram_mac(&self, label: &str, parts: &[&[u8]], mac: &[u8]) -> bool {
        if mac.len() != MAC_LEN {
            return false;
        }
        self.datagram_hmac(label, parts)
            .is_some_and(|hmac| hmac.verify_truncated_left(mac).is_ok())
    }

    /// Encodes a message and adds its MAC.
    pub fn authenticate(&self, purpose: Purpose, message: &impl Message) -> AuthenticatedMessage {
        self.authenticate_bytes(purpose, message.encode_to_vec())
    }

    /// Adds a MAC to an encoded message.
    pub fn authenticate_bytes(&self, purpose: Purpose, body: Vec<u8>) -> AuthenticatedMessage {
        let hmac = self.message_hmac(purpose, PROTOCOL_VERSION, &body);
        let mac = hmac.map(|hmac| hmac.finalize().into_bytes().to_vec());
        AuthenticatedMessage {
            version: PROTOCOL_VERSION,
            body,
            mac: mac.unwrap_or_default(),
        }
    }

    /// The body of a message whose MAC is right.
    ///
    /// # Errors
    /// If the MAC does not match, the version is another one, or the body is too large.
    pub fn verify_bytes(
        &self,
        purpose: Purpose,
        message: AuthenticatedMessage,
    ) -> Result<Vec<u8>, MessageError> {
        let AuthenticatedMessage { version, body, mac } = message;
        if body.len() > MAX_BODY_BYTES {
            return Err(MessageError::TooLarge(body.len()));
        }
        if version != PROTOCOL_VERSION {
            return Err(MessageError::UnsupportedVersion(version));
        }
        self.message_hmac(purpose, version, &body)
            .ok_or(MessageError::BadMac)?
            .verify_slice(&mac)
            .map_err(|_| MessageError::BadMac)?;
        Ok(body)
    }

    /// Decodes a message whose MAC is right.
    ///
    /// # Errors
    /// As [`SharedSecret::verify_bytes`], and if the body does not decode as an `M`.
    pub fn verify<M: Message + Default>(
        &self,
        purpose: Purpose,
        message: AuthenticatedMessage,
    ) -> Result<M, MessageError> {
        let body = self.verify_bytes(purpose, message)?;
        Ok(M::decode(body.as_slice())?)
    }
}

/// Adds bytes after their length, so that no two sequences of parts give the same MAC.
fn update_with_length(hmac: &mut HmacSha256, bytes: &[u8]) {
    hmac.update(&(bytes.len() as u64).to_le_bytes());
    hmac.update(bytes);
}

#[cfg(test)]
mod tests;
