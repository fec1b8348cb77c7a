//! Seals: who does not have the secret can neither ask nor answer.

use crate::wire::Sealed;
use hmac::{Hmac, Mac};
use prost::Message;
use sha2::Sha256;
use std::fmt;
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// The version of the messages. One of another version is refused by name.
pub const VERSION: u32 = 1;
/// Most bytes of a message's body.
pub const BODY_MOST: usize = 3 * 1024 * 1024;
/// Bytes of the short seal of a datagram.
pub const TAG: usize = 16;
/// Least and most bytes of a secret.
const SECRET_LEAST: usize = 16;
const SECRET_MOST: u64 = 4096;

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
pub struct Secret(Vec<u8>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Why a file holds no secret.
#[derive(Debug)]
pub enum SecretFault {
    /// It can't be read.
    Unreadable(std::io::Error),
    /// Others than its owner may read it: its mode.
    Open(u32),
    /// So many bytes are too few or too many.
    Length(usize),
}

impl fmt::Display for SecretFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SecretFault::Unreadable(fault) => write!(f, "{fault}"),
            SecretFault::Open(mode) => {
                write!(
                    f,
                    "found permissions {:03o}, allowed are none for group and others, like 600",
                    mode & 0o777
                )
            }
            SecretFault::Length(found) => {
                write!(
                    f,
                    "found {found} bytes, allowed are {SECRET_LEAST} to {SECRET_MOST}"
                )
            }
        }
    }
}

impl std::error::Error for SecretFault {}

/// Why a message does not pass.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SealFault {
    /// Another version.
    Version(u32),
    /// The seal was made with another secret, for another purpose, or over another body.
    Forged,
    /// More bytes than may be.
    TooLarge(usize),
    /// The body is no such message.
    Malformed(String),
}

impl fmt::Display for SealFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SealFault::Version(found) => {
                write!(f, "message version: found {found}, allowed is {VERSION}")
            }
            SealFault::Forged => f.write_str("the seal does not fit: this side has another secret"),
            SealFault::TooLarge(found) => write!(f, "found {found} bytes, allowed are {BODY_MOST}"),
            SealFault::Malformed(why) => write!(f, "malformed message: {why}"),
        }
    }
}

impl std::error::Error for SealFault {}

impl Secret {
    /// Reads a secret; white space around it is no part of it.
    ///
    /// # Errors
    /// If the file can't be read, if others than its owner may read it, or if it is too short or too long.
    pub fn read(path: &Path) -> Result<Self, SecretFault> {
        let mut file = std::fs::File::open(path).map_err(SecretFault::Unreadable)?;
        let mode = file
            .metadata()
            .map_err(SecretFault::Unreadable)?
            .permissions()
            .mode();
        if mode & 0o077 != 0 {
            return Err(SecretFault::Open(mode));
        }
        let mut bytes = Vec::new();
        file.by_ref()
            .take(SECRET_MOST + 1)
            .read_to_end(&mut bytes)
            .map_err(SecretFault::Unreadable)?;
        Secret::new(bytes.trim_ascii())
    }

    /// A secret of these bytes.
    ///
    /// # Errors
    /// If they are too few or too many.
    pub fn new(bytes: &[u8]) -> Result<Self, SecretFault> {
        match bytes.len() {
            length if length < SECRET_LEAST || length as u64 > SECRET_MOST => {
                Err(SecretFault::Length(length))
            }
            _ => Ok(Secret(bytes.to_vec())),
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
    pub fn tag(&self, label: &str, parts: &[&[u8]]) -> [u8; TAG] {
        let mut tag = [0; TAG];
        if let Some(mac) = self.mac_of(label, parts) {
            tag.copy_from_slice(&mac.finalize().into_bytes()[..TAG]);
        }
        tag
    }

    /// Is this the seal over these parts? Compared in constant time.
    pub fn tagged(&self, label: &str, parts: &[&[u8]], tag: &[u8]) -> bool {
        let mac = self.mac_of(label, parts).filter(|_| tag.len() == TAG);
        mac.is_some_and(|mac| mac.verify_truncated_left(tag).is_ok())
    }

    /// Seals a message.
    pub fn seal(&self, purpose: Purpose, message: &impl Message) -> Sealed {
        self.seal_bytes(purpose, message.encode_to_vec())
    }

    /// Seals bytes.
    pub fn seal_bytes(&self, purpose: Purpose, body: Vec<u8>) -> Sealed {
        let mac = self
            .mac(purpose, VERSION, &body)
            .map(|m| m.finalize().into_bytes().to_vec());
        Sealed {
            version: VERSION,
            body,
            mac: mac.unwrap_or_default(),
        }
    }

    /// The bytes under a seal.
    ///
    /// # Errors
    /// If the seal does not fit, the version is another one, or there are too many bytes.
    pub fn open_bytes(&self, purpose: Purpose, sealed: Sealed) -> Result<Vec<u8>, SealFault> {
        let Sealed { version, body, mac } = sealed;
        if body.len() > BODY_MOST {
            return Err(SealFault::TooLarge(body.len()));
        }
        if version != VERSION {
            return Err(SealFault::Version(version));
        }
        let own = self.mac(purpose, version, &body).ok_or(SealFault::Forged)?;
        own.verify_slice(&mac).map_err(|_| SealFault::Forged)?;
        Ok(body)
    }

    /// The message under a seal.
    ///
    /// # Errors
    /// As [`Secret::open_bytes`], and if the body is no such message.
    pub fn open<M: Message + Default>(
        &self,
        purpose: Purpose,
        sealed: Sealed,
    ) -> Result<M, SealFault> {
        let body = self.open_bytes(purpose, sealed)?;
        M::decode(body.as_slice()).map_err(|fault| SealFault::Malformed(fault.to_string()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::{Request, Word};
    use proptest::prelude::*;

    fn secret(text: &str) -> Secret {
        Secret::new(text.as_bytes()).expect("a secret")
    }

    #[test]
    fn a_seal_fits_one_secret_purpose_version_and_body() {
        let (own, other) = (secret("0123456789abcdef"), secret("0123456789abcdeF"));
        let word = Word { revision: 7 };
        let sealed = own.seal(Purpose::Request, &word);
        assert_eq!(own.open(Purpose::Request, sealed.clone()), Ok(word));
        assert_eq!(
            other.open::<Word>(Purpose::Request, sealed.clone()),
            Err(SealFault::Forged)
        );
        assert_eq!(
            own.open::<Word>(Purpose::Reply, sealed.clone()),
            Err(SealFault::Forged)
        );
        let newer = Sealed {
            version: 2,
            ..sealed.clone()
        };
        assert_eq!(
            own.open::<Word>(Purpose::Request, newer),
            Err(SealFault::Version(2))
        );
        let large = own.seal_bytes(Purpose::Request, vec![0; BODY_MOST + 1]);
        assert_eq!(
            own.open::<Word>(Purpose::Request, large),
            Err(SealFault::TooLarge(BODY_MOST + 1))
        );
        let odd = own.seal_bytes(Purpose::Request, vec![0xff; 9]);
        assert!(matches!(
            own.open::<Request>(Purpose::Request, odd),
            Err(SealFault::Malformed(_))
        ));
    }

    proptest! {
        #[test]
        fn one_flipped_bit_is_seen(body in prop::collection::vec(any::<u8>(), 1..64), place in any::<prop::sample::Index>(), bit in 0..8u8) {
            let own = secret("0123456789abcdef");
            let mut sealed = own.seal_bytes(Purpose::Reply, body);
            let length = sealed.body.len() + sealed.mac.len();
            let place = place.index(length);
            let own_body = sealed.body.len();
            if place < own_body { sealed.body[place] ^= 1 << bit } else { sealed.mac[place - own_body] ^= 1 << bit }
            prop_assert_eq!(own.open_bytes(Purpose::Reply, sealed), Err(SealFault::Forged));
        }
    }

    #[test]
    fn a_short_seal_fits_one_label_and_these_parts() {
        let own = secret("0123456789abcdef");
        let tag = own.tag("a", &[b"bc", b"d"]);
        assert!(own.tagged("a", &[b"bc", b"d"], &tag));
        assert!(!own.tagged("a", &[b"b", b"cd"], &tag) && !own.tagged("b", &[b"bc", b"d"], &tag));
        assert!(
            !own.tagged("a", &[b"bc", b"d"], &tag[..15]) && !own.tagged("a", &[b"bc", b"d"], &[])
        );
        assert!(!secret("0123456789abcdeF").tagged("a", &[b"bc", b"d"], &tag));
    }

    #[test]
    fn a_secret_that_others_may_read_is_refused() {
        let path = std::env::temp_dir().join(format!("badgerramp-secret-{}", std::process::id()));
        std::fs::write(&path, "0123456789abcdef\n").expect("a temporary file");
        let set = |mode| {
            std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).expect("set");
        };
        set(0o640);
        assert!(matches!(Secret::read(&path), Err(SecretFault::Open(_))));
        set(0o600);
        assert_eq!(
            Secret::read(&path).expect("a secret").0,
            b"0123456789abcdef"
        );
        std::fs::write(&path, "short").expect("a temporary file");
        assert!(matches!(Secret::read(&path), Err(SecretFault::Length(5))));
        std::fs::remove_file(&path).expect("a temporary file");
        assert!(matches!(
            Secret::read(&path),
            Err(SecretFault::Unreadable(_))
        ));
    }
}
