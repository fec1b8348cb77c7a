//! Compressed lists in parts that fit into datagrams.

use crate::endpoint_list::{EndpointList, ListVersion};
use std::io;
use std::rc::Rc;
use thiserror::Error;

/// Size of each part but the last, in bytes.
pub const PART_SIZE: usize = 1_000;

/// Most parts of a list.
const MAX_PARTS: usize = 4_096;

/// Greatest size of a decompressed list, in bytes.
const MAX_UNPACKED_BYTES: usize = 8 << 20;

/// Level of the zstd compression.
const COMPRESSION_LEVEL: i32 = 1;

/// A compressed list.
#[derive(Clone, Debug)]
pub struct PackedList {
    /// Its version.
    pub version: ListVersion,
    bytes: Rc<[u8]>,
}

impl PackedList {
    /// Compresses a list; `None` if it is too large to be sent to peers. No answer that is accepted from a list service
    /// (up to 4 MiB) makes such a list.
    pub fn pack(version: ListVersion, list: &EndpointList) -> Option<Self> {
        let bytes = zstd::bulk::compress(&list.encode(), COMPRESSION_LEVEL).ok()?;
        (bytes.len() <= PART_SIZE * MAX_PARTS).then(|| PackedList {
            version,
            bytes: bytes.into(),
        })
    }

    /// Number of its parts, at least one.
    pub fn parts(&self) -> u16 {
        u16::try_from(self.bytes.len().div_ceil(PART_SIZE))
            .unwrap_or(u16::MAX)
            .max(1)
    }

    /// The bytes of a part; `None` if it has not so many.
    pub fn part(&self, number: u16) -> Option<&[u8]> {
        if number >= self.parts() {
            return None;
        }
        let start = usize::from(number) * PART_SIZE;
        let end = self.bytes.len().min(start + PART_SIZE);
        Some(&self.bytes[start..end])
    }
}

/// Why the parts of a list do not make the list that their version names.
#[derive(Debug, Error)]
pub enum UnpackError {
    /// The bytes can't be decompressed.
    #[error("cannot decompress the list")]
    Decompress(#[from] io::Error),
    /// The decompressed bytes are no list.
    #[error("cannot decode the list")]
    Decode(#[from] postcard::Error),
    /// The list is another one.
    #[error("digest of the list is {found:016x}, expected {expected:016x}")]
    DigestMismatch {
        /// The digest of the version under which the parts came.
        expected: u64,
        /// The digest of the list that they make.
        found: u64,
    },
}

/// A list that is received in parts.
#[derive(Debug)]
pub struct PartialList {
    /// Its version.
    pub version: ListVersion,
    parts: Vec<Option<Vec<u8>>>,
    missing: usize,
}

impl PartialList {
    /// A list of so many parts, all of them missing; `None` if no list has so many.
    pub fn new(version: ListVersion, parts: u16) -> Option<Self> {
        let count = usize::from(parts);
        (1..=MAX_PARTS).contains(&count).then(|| PartialList {
            version,
            parts: vec![None; count],
            missing: count,
        })
    }

    /// Adds one of `parts` parts; returns whether it was missing.
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

    /// The first missing parts, at most `limit`.
    pub fn missing(&self, limit: usize) -> Vec<u16> {
        self.parts
            .iter()
            .enumerate()
            .filter(|(_, part)| part.is_none())
            .map(|(number, _)| number as u16)
            .take(limit)
            .collect()
    }

    /// The list, once no part is missing.
    ///
    /// # Errors
    /// If the parts do not make the list that the version names.
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
