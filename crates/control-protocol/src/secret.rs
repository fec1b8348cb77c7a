//! The secret that a fleet shares, and the file that holds it.

use std::fmt;
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// Least and most bytes of a secret.
const MIN_SECRET_BYTES: usize = 16;
const MAX_SECRET_BYTES: u64 = 4096;

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

    /// The bytes that messages are authenticated with.
    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

#[cfg(test)]
mod tests;
