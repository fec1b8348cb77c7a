//! A list in parts that fit into datagrams.

use crate::list::{HostList, Stamp};
use std::rc::Rc;

/// Bytes of a part.
pub const PART: usize = 1_000;
/// Most parts of a list, and most bytes of one that is unpacked: as the list service's own answer may have.
const PARTS_MOST: usize = 4_096;
const BYTES_MOST: usize = 8 << 20;

/// A list, packed.
#[derive(Clone, Debug)]
pub struct PackedList {
    /// Which list.
    pub stamp: Stamp,
    bytes: Rc<[u8]>,
}

impl PackedList {
    /// Packs a list. `None`: it is too large to pass on. No answer that is read of a list service (4 MiB) makes such a
    /// one.
    pub fn pack(stamp: Stamp, book: &HostList) -> Option<Self> {
        let bytes = zstd::bulk::compress(&book.bytes(), 1).ok()?;
        (bytes.len() <= PART * PARTS_MOST).then(|| PackedList {
            stamp,
            bytes: bytes.into(),
        })
    }

    /// How many parts it has.
    pub fn parts(&self) -> u16 {
        u16::try_from(self.bytes.len().div_ceil(PART))
            .unwrap_or(u16::MAX)
            .max(1)
    }

    /// A part.
    pub fn part(&self, number: u16) -> Option<&[u8]> {
        let from = usize::from(number) * PART;
        (number < self.parts()).then(|| &self.bytes[from..self.bytes.len().min(from + PART)])
    }
}

/// A list that comes in parts.
#[derive(Debug)]
pub struct PartialList {
    /// Which list.
    pub stamp: Stamp,
    parts: Vec<Option<Vec<u8>>>,
    left: usize,
}

impl PartialList {
    /// One of so many parts; `None`: no list has so many.
    pub fn new(stamp: Stamp, parts: u16) -> Option<Self> {
        let count = usize::from(parts);
        (1..=PARTS_MOST).contains(&count).then(|| PartialList {
            stamp,
            parts: vec![None; count],
            left: count,
        })
    }

    /// Adds a part. True: it was missing.
    pub fn add(&mut self, number: u16, parts: u16, bytes: &[u8]) -> bool {
        let fits = usize::from(parts) == self.parts.len() && bytes.len() <= PART;
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

    /// The list, once all is there. An error: what came is not the list that its stamp tells.
    ///
    /// # Errors
    /// See above.
    pub fn whole(&self) -> Option<Result<HostList, ()>> {
        if self.left > 0 {
            return None;
        }
        let bytes: Vec<u8> = self.parts.iter().flatten().flatten().copied().collect();
        let book = zstd::bulk::decompress(&bytes, BYTES_MOST)
            .ok()
            .and_then(|b| HostList::read(&b));
        Some(book.filter(|b| b.digest() == self.stamp.digest).ok_or(()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::list::tests::up;

    #[test]
    fn parts_in_any_order_make_the_list_and_others_do_not() {
        let many = (0..3_000u64).map(|n| {
            let mut change = up(&format!("s-{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
            if let Some(entry) = &mut change.entry {
                entry.since_ms = n * 977;
            }
            change
        });
        let book = HostList::new(many);
        let stamp = Stamp {
            life: 1,
            index: 7,
            digest: book.digest(),
        };
        let parcel = PackedList::pack(stamp, &book).expect("it can be passed on");
        let parts = parcel.parts();
        assert!(parts > 10, "{parts}");
        let mut assembly = PartialList::new(stamp, parts).expect("so many may be");
        for number in (0..parts).rev() {
            assert!(assembly.whole().is_none());
            let bytes = parcel.part(number).expect("a part");
            assert!(!assembly.add(number, parts + 1, bytes), "of another parcel");
            assert!(assembly.add(number, parts, bytes) && !assembly.add(number, parts, bytes));
        }
        assert_eq!(assembly.whole(), Some(Ok(book.clone())));
        assert!(parcel.part(parts).is_none() && assembly.missing(9).is_empty());
        // Of another list.
        let mut other =
            PartialList::new(Stamp { digest: 1, ..stamp }, parts).expect("so many may be");
        (0..parts).for_each(|n| assert!(other.add(n, parts, parcel.part(n).expect("a part"))));
        assert_eq!(other.whole(), Some(Err(())));
        assert!(PartialList::new(stamp, 0).is_none() && PartialList::new(stamp, 5_000).is_none());
    }
}
