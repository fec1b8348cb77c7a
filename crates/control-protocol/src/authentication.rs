//! Seals: who does not have the secret can neither ask nor answer.

use crate::secret::SharedSecret;
use crate::wire::AuthenticatedMessage;
use hmac::{Hmac, Mac};
use prost::Message;
use sha2::Sha256;
use std::fmt;

/// The version of the messages. One of another version is refused by name.
pub const PROTOCOL_VERSION: u32 = 1;
/// Most bytes of a message's body.
pub const MAX_BODY_BYTES: usize = 3 * 1024 * 1024;
/// Bytes of the short seal of a datagram.
pub const MAC_LEN: usize = 16;

/// What a message is for: one for another purpose, or sent back, does not pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A question to control.
    Request,
    /// An answer of control.
    Reply,
    /// A question between replicas.
    ReplicaRequest,
    /// Its answer.
    ReplicaReply,
    /// A question of one region's leader to another's.
    RegionRequest,
    /// Its answer.
    RegionReply,
}

impl Purpose {
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

/// Why a message does not pass.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// Another version.
    UnsupportedVersion(u32),
    /// The seal was made with another secret, for another purpose, or over another body.
    BadMac,
    /// More bytes than may be.
    TooLarge(usize),
    /// The body is no such message.
    Malformed(String),
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MessageError::UnsupportedVersion(found) => {
                write!(
                    f,
                    "message version: found {found}, allowed is {PROTOCOL_VERSION}"
                )
            }
            MessageError::BadMac => {
                f.write_str("the seal does not fit: this side has another secret")
            }
            MessageError::TooLarge(found) => {
                write!(f, "found {found} bytes, allowed are {MAX_BODY_BYTES}")
            }
            MessageError::Malformed(why) => write!(f, "malformed message: {why}"),
        }
    }
}

impl std::error::Error for MessageError {}

impl SharedSecret {
    fn mac(&self, purpose: Purpose, version: u32, body: &[u8]) -> Option<Hmac<Sha256>> {
        // Keys of any length will do.
        let mut mac = Hmac::<Sha256>::new_from_slice(self.as_bytes()).ok()?;
        let label = purpose.label();
        mac.update(&(label.len() as u64).to_le_bytes());
        mac.update(label);
        mac.update(&version.to_le_bytes());
        mac.update(body);
        Some(mac)
    }

    fn mac_of(&self, label: &str, parts: &[&[u8]]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.as_bytes()).ok()?;
        for part in [label.as_bytes()].iter().chain(parts) {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        Some(mac)
    }

    /// A short seal over these parts, for datagrams: the first half of an HMAC with SHA-256 (RFC 2104, section 5).
    pub fn datagram_mac(&self, label: &str, parts: &[&[u8]]) -> [u8; MAC_LEN] {
        let mut tag = [0; MAC_LEN];
        if let Some(mac) = self.mac_of(label, parts) {
            tag.copy_from_slice(&mac.finalize().into_bytes()[..MAC_LEN]);
        }
        tag
    }

    /// Is this the seal over these parts? Compared in constant time.
    pub fn verify_datagram_mac(&self, label: &str, parts: &[&[u8]], tag: &[u8]) -> bool {
        let mac = self.mac_of(label, parts).filter(|_| tag.len() == MAC_LEN);
        mac.is_some_and(|mac| mac.verify_truncated_left(tag).is_ok())
    }

    /// Seals a message.
    pub fn authenticate(&self, purpose: Purpose, message: &impl Message) -> AuthenticatedMessage {
        self.authenticate_bytes(purpose, message.encode_to_vec())
    }

    /// Seals bytes.
    pub fn authenticate_bytes(&self, purpose: Purpose, body: Vec<u8>) -> AuthenticatedMessage {
        let mac = self
            .mac(purpose, PROTOCOL_VERSION, &body)
            .map(|m| m.finalize().into_bytes().to_vec());
        AuthenticatedMessage {
            version: PROTOCOL_VERSION,
            body,
            mac: mac.unwrap_or_default(),
        }
    }

    /// The bytes under a seal.
    ///
    /// # Errors
    /// If the seal does not fit, the version is another one, or there are too many bytes.
    pub fn verify_bytes(
        &self,
        purpose: Purpose,
        sealed: AuthenticatedMessage,
    ) -> Result<Vec<u8>, MessageError> {
        let AuthenticatedMessage { version, body, mac } = sealed;
        if body.len() > MAX_BODY_BYTES {
            return Err(MessageError::TooLarge(body.len()));
        }
        if version != PROTOCOL_VERSION {
            return Err(MessageError::UnsupportedVersion(version));
        }
        let own = self
            .mac(purpose, version, &body)
            .ok_or(MessageError::BadMac)?;
        own.verify_slice(&mac).map_err(|_| MessageError::BadMac)?;
        Ok(body)
    }

    /// The message under a seal.
    ///
    /// # Errors
    /// As [`SharedSecret::verify_bytes`], and if the body is no such message.
    pub fn verify<M: Message + Default>(
        &self,
        purpose: Purpose,
        sealed: AuthenticatedMessage,
    ) -> Result<M, MessageError> {
        let body = self.verify_bytes(purpose, sealed)?;
        M::decode(body.as_slice()).map_err(|fault| MessageError::Malformed(fault.to_string()))
    }
}

#[cfg(test)]
mod tests;
