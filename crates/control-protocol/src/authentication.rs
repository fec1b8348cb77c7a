//! Message authentication: a request or reply is accepted only if its sender has the shared secret.
//!
//! Messages over gRPC carry an HMAC-SHA256 (RFC 2104) over their [`Purpose`], version and body. Datagrams, whose size is
//! limited, carry an HMAC-SHA256 truncated to [`MAC_LEN`] bytes.

use crate::secret::SharedSecret;
use crate::wire::AuthenticatedMessage;
use hmac::digest::InvalidLength;
use hmac::{Hmac, Mac};
use prost::{DecodeError, Message};
use sha2::Sha256;
use thiserror::Error;

/// Version of the message format. Messages of any other version are rejected.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum size of a message's body, in bytes.
pub const MAX_BODY_BYTES: usize = 3 * 1024 * 1024;
/// Maximum size of a message including the fields besides its body, in bytes, as enforced by gRPC.
pub const MAX_MESSAGE_BYTES: usize = MAX_BODY_BYTES + 1024;
/// Length of the truncated MAC of a datagram, in bytes (RFC 2104, section 5).
pub const MAC_LEN: usize = 16;

/// Purpose of a message. The MAC covers it, so a message cannot be replayed for another purpose or reflected to its
/// sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request of a proxy or a publisher to the control plane.
    Request,
    /// The reply to a [`Purpose::Request`].
    Reply,
    /// A request of one replica of the control plane to another.
    ReplicaRequest,
    /// The reply to a [`Purpose::ReplicaRequest`].
    ReplicaReply,
    /// A request of the leader of one region to the leader of another.
    RegionRequest,
    /// The reply to a [`Purpose::RegionRequest`].
    RegionReply,
}

impl Purpose {
    /// Returns the label that the MAC covers for this purpose.
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

/// Why a message is rejected before its contents are handled.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum MessageError {
    /// The message has this version instead of [`PROTOCOL_VERSION`].
    #[error("message version: found {0}, allowed is {PROTOCOL_VERSION}")]
    UnsupportedVersion(u32),
    /// The MAC was computed with another secret, for another purpose, or over another body.
    #[error(
        "the message authentication code does not match: the peer probably has another secret"
    )]
    BadMac,
    /// The body has this many bytes, which is more than [`MAX_BODY_BYTES`].
    #[error("message body too large: found {0} bytes, allowed are {MAX_BODY_BYTES}")]
    TooLarge(usize),
    /// The body does not decode as the expected message.
    #[error("malformed message: {0}")]
    Malformed(#[from] DecodeError),
}

type HmacSha256 = Hmac<Sha256>;

impl SharedSecret {
    fn hmac(&self) -> Result<HmacSha256, InvalidLength> {
        HmacSha256::new_from_slice(self.as_bytes())
    }

    /// Returns the HMAC state for a message. HMAC accepts keys of any length, so this never returns `None` in practice.
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

    /// Returns the truncated MAC over the parts of a datagram. `label` distinguishes datagrams of different kinds.
    pub fn datagram_mac(&self, label: &str, parts: &[&[u8]]) -> [u8; MAC_LEN] {
        let mut mac = [0; MAC_LEN];
        if let Some(hmac) = self.datagram_hmac(label, parts) {
            mac.copy_from_slice(&hmac.finalize().into_bytes()[..MAC_LEN]);
        }
        mac
    }

    /// Returns whether `mac` equals [`SharedSecret::datagram_mac`] for these parts. The comparison takes constant time.
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

    /// Verifies a message and returns its body.
    ///
    /// # Errors
    /// Returns an error if the MAC does not match, if the version is not supported, or if the body is too large.
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

    /// Verifies a message and decodes its body.
    ///
    /// # Errors
    /// Returns the errors of [`SharedSecret::verify_bytes`], and an error if the body does not decode as an `M`.
    pub fn verify<M: Message + Default>(
        &self,
        purpose: Purpose,
        message: AuthenticatedMessage,
    ) -> Result<M, MessageError> {
        let body = self.verify_bytes(purpose, message)?;
        Ok(M::decode(body.as_slice())?)
    }
}

/// Adds bytes preceded by their length, so that different sequences of parts are different inputs of the MAC.
fn update_with_length(hmac: &mut HmacSha256, bytes: &[u8]) {
    hmac.update(&(bytes.len() as u64).to_le_bytes());
    hmac.update(bytes);
}

#[cfg(test)]
mod tests;
