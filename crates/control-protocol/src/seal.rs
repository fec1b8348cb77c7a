//! Seals: who does not have the secret can neither ask nor answer.

use crate::wire::AuthenticatedMessage;
use hmac::{Hmac, Mac};
use prost::Message;
use sha2::Sha256;
use std::fmt;
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// The version of the messages. One of another version is refused by name.
pub const PROTOCOL_VERSION: u32 = 1;
/// Most bytes of a message's body.
pub const MAX_BODY_BYTES: usize = 3 * 1024 * 1024;
/// Bytes of the short seal of a datagram.
pub const MAC_LEN: usize = 16;
/// Least and most bytes of a secret.
const MIN_SECRET_BYTES: usize = 16;
const MAX_SECRET_BYTES: u64 = 4096;

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

/// The secret that a fleet shares.
#[derive(Clone)]
pub struct SharedSecret(Vec<u8>);

impl fmt::Debug for SharedSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedSecret(..)")
    }
}

/// Why a file holds no secret.
#[derive(Debug)]
pub enum SecretError {
    /// It can't be read.
    Unreadable(std::io::Error),
    /// Others than its owner may read it: its mode.
    Permissions(u32),
    /// So many bytes are too few or too many.
    Length(usize),
}

impl fmt::Display for SecretError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SecretError::Unreadable(fault) => write!(f, "{fault}"),
            SecretError::Permissions(mode) => {
                write!(
                    f,
                    "found permissions {:03o}, allowed are none for group and others, like 600",
                    mode & 0o777
                )
            }
            SecretError::Length(found) => {
                write!(
                    f,
                    "found {found} bytes, allowed are {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES}"
                )
            }
        }
    }
}

impl std::error::Error for SecretError {}

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
    /// Reads a secret; white space around it is no part of it.
    ///
    /// # Errors
    /// If the file can't be read, if others than its owner may read it, or if it is too short or too long.
    pub fn read(path: &Path) -> Result<Self, SecretError> {
        let mut file = std::fs::File::open(path).map_err(SecretError::Unreadable)?;
        let mode = file
            .metadata()
            .map_err(SecretError::Unreadable)?
            .permissions()
            .mode();
        if mode & 0o077 != 0 {
            return Err(SecretError::Permissions(mode));
        }
        let mut bytes = Vec::new();
        file.by_ref()
            .take(MAX_SECRET_BYTES + 1)
            .read_to_end(&mut bytes)
            .map_err(SecretError::Unreadable)?;
        SharedSecret::new(bytes.trim_ascii())
    }

    /// A secret of these bytes.
    ///
    /// # Errors
    /// If they are too few or too many.
    pub fn new(bytes: &[u8]) -> Result<Self, SecretError> {
        match bytes.len() {
            length if length < MIN_SECRET_BYTES || length as u64 > MAX_SECRET_BYTES => {
                Err(SecretError::Length(length))
            }
            _ => Ok(SharedSecret(bytes.to_vec())),
        }
    }

    fn mac(&self, purpose: Purpose, version: u32, body: &[u8]) -> Option<Hmac<Sha256>> {
        // Keys of any length will do.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        let label = purpose.label();
        mac.update(&(label.len() as u64).to_le_bytes());
        mac.update(label);
        mac.update(&version.to_le_bytes());
        mac.update(body);
        Some(mac)
    }

    fn mac_of(&self, label: &str, parts: &[&[u8]]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
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
mod tests {
    use super::*;
    use crate::wire::{Request, RevisionChanged};
    use proptest::prelude::*;

    fn secret(text: &str) -> SharedSecret {
        SharedSecret::new(text.as_bytes()).expect("a secret")
    }

    #[test]
    fn a_seal_fits_one_secret_purpose_version_and_body() {
        let (own, other) = (secret("0123456789abcdef"), secret("0123456789abcdeF"));
        let word = RevisionChanged { revision: 7 };
        let sealed = own.authenticate(Purpose::Request, &word);
        assert_eq!(own.verify(Purpose::Request, sealed.clone()), Ok(word));
        assert_eq!(
            other.verify::<RevisionChanged>(Purpose::Request, sealed.clone()),
            Err(MessageError::BadMac)
        );
        assert_eq!(
            own.verify::<RevisionChanged>(Purpose::Reply, sealed.clone()),
            Err(MessageError::BadMac)
        );
        let newer = AuthenticatedMessage {
            version: 2,
            ..sealed.clone()
        };
        assert_eq!(
            own.verify::<RevisionChanged>(Purpose::Request, newer),
            Err(MessageError::UnsupportedVersion(2))
        );
        let large = own.authenticate_bytes(Purpose::Request, vec![0; MAX_BODY_BYTES + 1]);
        assert_eq!(
            own.verify::<RevisionChanged>(Purpose::Request, large),
            Err(MessageError::TooLarge(MAX_BODY_BYTES + 1))
        );
        let odd = own.authenticate_bytes(Purpose::Request, vec![0xff; 9]);
        assert!(matches!(
            own.verify::<Request>(Purpose::Request, odd),
            Err(MessageError::Malformed(_))
        ));
    }

    proptest! {
        #[test]
        fn one_flipped_bit_is_seen(body in prop::collection::vec(any::<u8>(), 1..64), place in any::<prop::sample::Index>(), bit in 0..8u8) {
            let own = secret("0123456789abcdef");
            let mut sealed = own.authenticate_bytes(Purpose::Reply, body);
            let length = sealed.body.len() + sealed.mac.len();
            let place = place.index(length);
            let own_body = sealed.body.len();
            if place < own_body { sealed.body[place] ^= 1 << bit } else { sealed.mac[place - own_body] ^= 1 << bit }
            prop_assert_eq!(own.verify_bytes(Purpose::Reply, sealed), Err(MessageError::BadMac));
        }
    }

    #[test]
    fn a_short_seal_fits_one_label_and_these_parts() {
        let own = secret("0123456789abcdef");
        let tag = own.datagram_mac("a", &[b"bc", b"d"]);
        assert!(own.verify_datagram_mac("a", &[b"bc", b"d"], &tag));
        assert!(
            !own.verify_datagram_mac("a", &[b"b", b"cd"], &tag)
                && !own.verify_datagram_mac("b", &[b"bc", b"d"], &tag)
        );
        assert!(
            !own.verify_datagram_mac("a", &[b"bc", b"d"], &tag[..15])
                && !own.verify_datagram_mac("a", &[b"bc", b"d"], &[])
        );
        assert!(!secret("0123456789abcdeF").verify_datagram_mac("a", &[b"bc", b"d"], &tag));
    }

    #[test]
    fn a_secret_that_others_may_read_is_refused() {
        let path = std::env::temp_dir().join(format!("badgerramp-secret-{}", std::process::id()));
        std::fs::write(&path, "0123456789abcdef\n").expect("a temporary file");
        let set = |mode| {
            std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).expect("set");
        };
        set(0o640);
        assert!(matches!(
            SharedSecret::read(&path),
            Err(SecretError::Permissions(_))
        ));
        set(0o600);
        assert_eq!(
            SharedSecret::read(&path).expect("a secret").0,
            b"0123456789abcdef"
        );
        std::fs::write(&path, "short").expect("a temporary file");
        assert!(matches!(
            SharedSecret::read(&path),
            Err(SecretError::Length(5))
        ));
        std::fs::remove_file(&path).expect("a temporary file");
        assert!(matches!(
            SharedSecret::read(&path),
            Err(SecretError::Unreadable(_))
        ));
    }
}
