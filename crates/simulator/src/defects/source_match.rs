//! Finds excerpts of code in source files regardless of their formatting, since the formatter may break a line anywhere.

use std::ops::Range;

/// Text without white space and without commas before closing brackets, and the original position of each byte.
struct CompactText {
    bytes: Vec<u8>,
    positions: Vec<usize>,
}

impl CompactText {
    fn new(text: &str) -> Self {
        let mut compact = CompactText {
            bytes: Vec::new(),
            positions: Vec::new(),
        };
        for (position, byte) in text.bytes().enumerate() {
            if byte.is_ascii_whitespace() {
                continue;
            }
            if matches!(byte, b')' | b']' | b'}') && compact.bytes.last() == Some(&b',') {
                compact.bytes.pop();
                compact.positions.pop();
            }
            compact.bytes.push(byte);
            compact.positions.push(position);
        }
        compact
    }
}

/// The ranges at which `excerpt` occurs in `source`, in order. An empty excerpt has no matches.
pub(super) fn find_all(source: &str, excerpt: &str) -> Vec<Range<usize>> {
    let (source, excerpt) = (CompactText::new(source), CompactText::new(excerpt));
    if excerpt.bytes.is_empty() {
        return Vec::new();
    }
    let windows = source.bytes.windows(excerpt.bytes.len()).enumerate();
    let matches = windows.filter(|(_, window)| *window == excerpt.bytes);
    matches
        .map(|(first, window)| {
            let last = first + window.len() - 1;
            source.positions[first]..source.positions[last] + 1
        })
        .collect()
}

#[cfg(test)]
mod tests;
