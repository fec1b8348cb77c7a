//! The secret that all processes of a fleet share, and the file that holds it.

use std::fmt;
use std::io::{self, Read};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use thiserror::Error;

/// Fewest bytes of a secret.
const MIN_SECRET_BYTES: usize = 16;
/// Most bytes of a secret, and of the file that is read for it.
const MAX_SECRET_BYTES: u64 = 4096;
/// Permission bits of group and others, none of which a secret's file may have.
const GROUP_AND_OTHERS: u32 = 0o077;
/// All permission bits of a file's mode.
const PERMISSION_BITS: u32 = 0o777;

/// The key that messages of a fleet are authenticated with.
///
/// Its `Debug` form does not show the key.
#[derive(Clone)]
pub struct SharedSecret(Vec<u8>);

impl fmt::Debug for SharedSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedSecret(..)")
    }
}

/// Why a secret can't be used.
#[derive(Debug, Error)]
pub enum SecretError {
    /// The file can't be read.
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    /// Group or others have access to the file. The value is the file's mode.
    #[error(
        "found permissions {:03o}, allowed are none for group and others, like 600",
        .0 & PERMISSION_BITS
    )]
    Permissions(u32),
    /// The secret has too few or too many bytes. The value is the number found.
    #[error("found {0} bytes, allowed are {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES}")]
    Length(usize),
}

impl SharedSecret {
    /// Reads the secret from a file. White space around it does not belong to it.
    ///
    /// # Errors
    /// If the file can't be read, if group or others have access to it, or if the secret is too short or too long.
    pub fn read(path: &Path) -> Result<Self, SecretError> {
        let file = std::fs::File::open(path)?;
        let mode = file.metadata()?.permissions().mode();
        if mode & GROUP_AND_OTHERS != 0 {
            return Err(SecretError::Permissions(mode));
        }
        let mut bytes = Vec::new();
        file.take(MAX_SECRET_BYTES + 1).read_to_end(&mut bytes)?;
        SharedSecret::new(bytes.trim_ascii())
    }

    /// Makes a secret of these bytes.
    ///
    /// # Errors
    /// If there are too few or too many of them.
    pub fn new(bytes: &[u8]) -> Result<Self, SecretError> {
        let length = bytes.len();
        if length < MIN_SECRET_BYTES || length as u64 > MAX_SECRET_BYTES {
            return Err(SecretError::Length(length));
        }
        Ok(SharedSecret(bytes.to_vec()))
    }

    /// The key.
    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

#[cfg(test)]
mod tests;
