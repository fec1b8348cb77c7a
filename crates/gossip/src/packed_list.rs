//! Compressed endpoint lists, split into parts that fit into datagrams.

use crate::endpoint_list::{EndpointList, ListVersion};
use std::io;
use std::rc::Rc;
use thiserror::Error;

/// Size in bytes of every part except the last, which may be smaller.
pub const PART_SIZE: usize = 1_000;

/// Maximum number of parts of a list.
const MAX_PARTS: usize = 4_096;

/// Maximum size of a decompressed list, in bytes.
const MAX_UNPACKED_BYTES: usize = 8 << 20;

const COMPRESSION_LEVEL: i32 = 1;

/// A compressed endpoint list, ready to be sent in parts.
#[derive(Clone, Debug)]
pub struct PackedList {
    /// Version of the list.
    pub version: ListVersion,
    bytes: Rc<[u8]>,
}

impl PackedList {
    /// Compresses a list. Returns `None` if the result is too large to be sent to peers, which does not happen for an
    /// answer of the list service within the accepted size (4 MiB).
    pub fn pack(version: ListVersion, list: &EndpointList) -> Option<Self> {
        let bytes = zstd::bulk::compress(&list.encode(), COMPRESSION_LEVEL).ok()?;
        (bytes.len() <= PART_SIZE * MAX_PARTS).then(|| PackedList {
            version,
            bytes: bytes.into(),
        })
    }

    /// Number of parts, at least one.
    pub fn parts(&self) -> u16 {
        u16::try_from(self.bytes.len().div_ceil(PART_SIZE))
            .unwrap_or(u16::MAX)
            .max(1)
    }

    /// The bytes of a part; `None` if there is no part with this number.
    pub fn part(&self, number: u16) -> Option<&[u8]> {
        if number >= self.parts() {
            return None;
        }
        let start = usize::from(number) * PART_SIZE;
        let end = self.bytes.len().min(start + PART_SIZE);
        Some(&self.bytes[start..end])
    }
}

/// The reason why the received parts do not form the list that their version identifies.
#[derive(Debug, Error)]
pub enum UnpackError {
    /// The bytes could not be decompressed.
    #[error("cannot decompress the list")]
    Decompress(#[from] io::Error),
    /// The decompressed bytes are not an encoded list.
    #[error("cannot decode the list")]
    Decode(#[from] postcard::Error),
    /// The parts form a list with a different digest.
    #[error("digest of the list is {found:016x}, expected {expected:016x}")]
    DigestMismatch {
        /// The digest in the version of the received parts.
        expected: u64,
        /// The digest of the list that the parts form.
        found: u64,
    },
}

/// A list that is being received in parts.
#[derive(Debug)]
pub struct PartialList {
    /// Version of the list.
    pub version: ListVersion,
    parts: Vec<Option<Vec<u8>>>,
    missing: usize,
}

impl PartialList {
    /// Creates a list of `parts` parts, all of them missing. Returns `None` if the number of parts is invalid.
    pub fn new(version: ListVersion, parts: u16) -> Option<Self> {
        let count = usize::from(parts);
        (1..=MAX_PARTS).contains(&count).then(|| PartialList {
            version,
            parts: vec![None; count],
            missing: count,
        })
    }

    /// Adds a part of a list that has `parts` parts. Returns whether the part was valid and missing.
    pub fn add(&mut self, number: u16, parts: u16, bytes: &[u8]) -> bool {
        if usize::from(parts) != self.parts.len() || bytes.len() > PART_SIZE {
            return false;
        }
        match self.parts.get_mut(usize::from(number)) {
            Some(part @ None) => {
                *part = Some(bytes.to_vec());
                self.missing -= 1;
                true
            }
            _ => false,
        }
    }

    /// Numbers of the missing parts in ascending order, at most `limit` of them.
    pub fn missing(&self, limit: usize) -> Vec<u16> {
        self.parts
            .iter()
            .enumerate()
            .filter(|(_, part)| part.is_none())
            .map(|(number, _)| number as u16)
            .take(limit)
            .collect()
    }

    /// Decodes the list; `None` while parts are missing.
    ///
    /// # Errors
    /// If the parts do not form the list that the version identifies.
    pub fn unpack(&self) -> Option<Result<EndpointList, UnpackError>> {
        (self.missing == 0).then(|| self.decode())
    }

    fn decode(&self) -> Result<EndpointList, UnpackError> {
        let packed: Vec<u8> = self.parts.iter().flatten().flatten().copied().collect();
        let bytes = zstd::bulk::decompress(&packed, MAX_UNPACKED_BYTES)?;
        let list = EndpointList::decode(&bytes)?;
        let expected = self.version.digest;
        let found = list.digest();
        if found == expected {
            Ok(list)
        } else {
            Err(UnpackError::DigestMismatch { expected, found })
        }
    }
}

#[cfg(test)]
mod tests;
