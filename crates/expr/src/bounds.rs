//! How large things may be and what they cost, at the most.

/// Bytes of the largest head that the bound is reckoned for.
pub const HEAD_BYTES: u32 = 64 * 1024;
/// A value that is longer matches no pattern: the cost of one stays small whatever comes.
pub const MATCH_BYTES: usize = 1_024;
/// A text that is longer has no parts, and a hash goes by so many bytes at the most.
pub const PARTS_BYTES: usize = 2 * 1024;
/// Of a query or of cookies that are longer in all nothing is read.
pub const PAIRS_BYTES: usize = 1024;
/// Parts of a list, and segments of a path, that are looked at.
pub const PARTS_MOST: usize = 1024;
pub(crate) const SEGMENTS_MOST: usize = 64;
/// Steps for a byte that a pattern looks at, for one of a query or of cookies, and for a part of a list.
pub(crate) const MATCH_STEPS: u64 = 3;
pub(crate) const PAIR_STEPS: u64 = 10;
pub(crate) const PART_STEPS: u64 = 13;
/// Steps that all expressions of a file together may take for one request. A step is about a nanosecond: a node, 16 bytes
/// that are looked at by words, 8 that are looked at one by one.
pub const BUDGET: u64 = 40_000;
/// Bytes of a path at the most.
pub(crate) const PATH_BYTES: u32 = 8 * 1024;
/// ... and of a method.
pub(crate) const METHOD_BYTES: u32 = 64;

/// Steps for so many bytes that are looked at by words, and by each.
pub(crate) fn words(bytes: u32) -> u64 {
    u64::from(bytes / 16) + 1
}

pub(crate) fn each(bytes: u32) -> u64 {
    u64::from(bytes / 8) + 1
}
