//! Limits on the size of inputs, and the cost model in steps.

/// Size of the largest request head that the static cost bound covers.
pub const MAX_HEAD_BYTES: u32 = 64 * 1024;
/// Longest string that a pattern can match. A longer string doesn't match, which bounds the cost of a match.
pub const MAX_MATCH_BYTES: usize = 1_024;
/// Longest string that `split` splits; a longer one is treated as empty. `hash` uses at most this many bytes of its input.
pub const MAX_SPLIT_BYTES: usize = 2 * 1024;
/// Largest query, and largest total size of the cookie headers, that are parsed. The values of
/// larger ones are absent.
pub const MAX_PAIRS_BYTES: usize = 1024;
/// The most elements of a list that are visited.
pub const MAX_LIST_ELEMENTS: usize = 1024;
/// The most segments of a path that are visited.
pub(crate) const MAX_PATH_SEGMENTS: usize = 64;
/// Steps for each byte that a pattern is matched against.
pub(crate) const STEPS_PER_MATCH_BYTE: u64 = 3;
/// Steps for each byte of a query or of cookies.
pub(crate) const STEPS_PER_PAIR_BYTE: u64 = 10;
/// Steps for each visited element of a list.
pub(crate) const STEPS_PER_LIST_ELEMENT: u64 = 13;
/// The most steps that all expressions of a file together may take for one request. A step is about a nanosecond: one node,
/// 16 bytes that are processed in words, or 8 bytes that are processed one by one.
pub const STEP_BUDGET: u64 = 40_000;
/// Longest path in bytes.
pub(crate) const MAX_PATH_BYTES: u32 = 8 * 1024;
/// Longest method in bytes.
pub(crate) const MAX_METHOD_BYTES: u32 = 64;

/// Steps for bytes that are processed in words.
pub(crate) fn word_steps(bytes: u32) -> u64 {
    u64::from(bytes / 16) + 1
}

/// Steps for bytes that are processed one by one.
pub(crate) fn byte_steps(bytes: u32) -> u64 {
    u64::from(bytes / 8) + 1
}
