//! A list in parts that fit into datagrams.

use crate::endpoint_list::{EndpointList, ListVersion};
use std::rc::Rc;

/// Bytes of a part.
pub const PART_SIZE: usize = 1_000;
/// Most parts of a list, and most bytes of one that is unpacked: as the list service's own answer may have.
const MAX_PARTS: usize = 4_096;
const MAX_UNPACKED_BYTES: usize = 8 << 20;

/// A list, packed.
#[derive(Clone, Debug)]
pub struct PackedList {
    /// Which list.
    pub version: ListVersion,
    bytes: Rc<[u8]>,
}

impl PackedList {
    /// Packs a list. `None`: it is too large to pass on. No answer that is read of a list service (4 MiB) makes such a
    /// one.
    pub fn pack(version: ListVersion, list: &EndpointList) -> Option<Self> {
        let bytes = zstd::bulk::compress(&list.encode(), 1).ok()?;
        (bytes.len() <= PART_SIZE * MAX_PARTS).then(|| PackedList {
            version,
            bytes: bytes.into(),
        })
    }

    /// How many parts it has.
    pub fn parts(&self) -> u16 {
        u16::try_from(self.bytes.len().div_ceil(PART_SIZE))
            .unwrap_or(u16::MAX)
            .max(1)
    }

    /// A part.
    pub fn part(&self, number: u16) -> Option<&[u8]> {
        let from = usize::from(number) * PART_SIZE;
        (number < self.parts()).then(|| &self.bytes[from..self.bytes.len().min(from + PART_SIZE)])
    }
}

/// A list that comes in parts.
#[derive(Debug)]
pub struct PartialList {
    /// Which list.
    pub version: ListVersion,
    parts: Vec<Option<Vec<u8>>>,
    left: usize,
}

impl PartialList {
    /// One of so many parts; `None`: no list has so many.
    pub fn new(version: ListVersion, parts: u16) -> Option<Self> {
        let count = usize::from(parts);
        (1..=MAX_PARTS).contains(&count).then(|| PartialList {
            version,
            parts: vec![None; count],
            left: count,
        })
    }

    /// Adds a part. True: it was missing.
    pub fn add(&mut self, number: u16, parts: u16, bytes: &[u8]) -> bool {
        let fits = usize::from(parts) == self.parts.len() && bytes.len() <= PART_SIZE;
        match self
            .parts
            .get_mut(usize::from(number))
            .filter(|p| fits && p.is_none())
        {
            Some(part) => {
                *part = Some(bytes.to_vec());
                self.left -= 1;
                true
            }
            None => false,
        }
    }

    /// Parts that are missing, at most `most`.
    pub fn missing(&self, most: usize) -> Vec<u16> {
        let missing = self.parts.iter().enumerate().filter(|(_, p)| p.is_none());
        missing.map(|(n, _)| n as u16).take(most).collect()
    }

    /// The list, once all is there. An error: what came is not the list that its version tells.
    ///
    /// # Errors
    /// See above.
    pub fn complete(&self) -> Option<Result<EndpointList, ()>> {
        if self.left > 0 {
            return None;
        }
        let bytes: Vec<u8> = self.parts.iter().flatten().flatten().copied().collect();
        let list = zstd::bulk::decompress(&bytes, MAX_UNPACKED_BYTES)
            .ok()
            .and_then(|b| EndpointList::decode(&b));
        Some(list.filter(|b| b.digest() == self.version.digest).ok_or(()))
    }
}

#[cfg(test)]
mod tests;
