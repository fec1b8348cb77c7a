//! Shared secret of a fleet, and the file that contains it.

use std::fmt;
use std::io::{self, Read};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use thiserror::Error;

/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Maximum length of a secret and of its file, in bytes.
const MAX_SECRET_BYTES: u64 = 4096;
/// Permission bits for group and others, none of which may be set on the file of a secret.
const GROUP_AND_OTHERS_BITS: u32 = 0o077;
/// All permission bits of a file's mode.
const PERMISSION_BITS: u32 = 0o777;

/// Key for the authentication of a fleet's messages.
///
/// Its `Debug` output does not contain the key.
#[derive(Clone)]
pub struct SharedSecret(Vec<u8>);

impl fmt::Debug for SharedSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedSecret(..)")
    }
}

/// Why a secret cannot be used.
#[derive(Debug, Error)]
pub enum SecretError {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    /// Group or others have access to the file. The value is the mode of the file.
    #[error(
        "found permissions {:03o}, allowed are none for group and others, like 600",
        .0 & PERMISSION_BITS
    )]
    Permissions(u32),
    /// The secret is too short or too long. The value is the number of bytes found.
    #[error("found {0} bytes, allowed are {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES}")]
    Length(usize),
}

impl SharedSecret {
    /// Reads the secret from a file. White space at its start and end is ignored.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, if group or others have access to it, or if the secret is too short or
    /// too long.
    pub fn read(path: &Path) -> Result<Self, SecretError> {
        let file = std::fs::File::open(path)?;
        let mode = file.metadata()?.permissions().mode();
        if mode & GROUP_AND_OTHERS_BITS != 0 {
            return Err(SecretError::Permissions(mode));
        }
        let mut bytes = Vec::new();
        file.take(MAX_SECRET_BYTES + 1).read_to_end(&mut bytes)?;
        SharedSecret::new(bytes.trim_ascii())
    }

    /// Creates a secret from its bytes.
    ///
    /// # Errors
    /// Returns an error if there are too few or too many bytes.
    pub fn new(bytes: &[u8]) -> Result<Self, SecretError> {
        let length = bytes.len();
        if length < MIN_SECRET_BYTES || length as u64 > MAX_SECRET_BYTES {
            return Err(SecretError::Length(length));
        }
        Ok(SharedSecret(bytes.to_vec()))
    }

    /// Returns the bytes of the key.
    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

#[cfg(test)]
mod tests;
