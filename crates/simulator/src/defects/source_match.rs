//! Finds a piece of code in a source file whatever its layout: the formatter may break a line anywhere.

use std::ops::Range;

/// Text without white space and without commas before a closing bracket, and where each byte of it stood.
struct Compact {
    bytes: Vec<u8>,
    positions: Vec<usize>,
}

impl Compact {
    fn new(text: &str) -> Self {
        let mut compact = Compact {
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

/// Where `piece` stands in `source`, in order. An empty piece stands nowhere.
pub(super) fn find_all(source: &str, piece: &str) -> Vec<Range<usize>> {
    let (source, piece) = (Compact::new(source), Compact::new(piece));
    if piece.bytes.is_empty() {
        return Vec::new();
    }
    let windows = source.bytes.windows(piece.bytes.len()).enumerate();
    let matches = windows.filter(|(_, window)| *window == piece.bytes);
    matches
        .map(|(first, window)| {
            let last = first + window.len() - 1;
            source.positions[first]..source.positions[last] + 1
        })
        .collect()
}

#[cfg(test)]
mod tests;
