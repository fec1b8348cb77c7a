//! Values that are written as text with a unit: durations and sizes.

use std::time::Duration;

/// Parses a duration like `250ms` or `1s 500ms` into microseconds; `None` if it is none.
pub fn parse_duration(text: &str) -> Option<u64> {
    let duration = humantime::parse_duration(text.trim()).ok()?;
    u64::try_from(duration.as_micros()).ok()
}

/// Formats a duration in microseconds as [`parse_duration`] reads it.
pub fn format_duration(micros: u64) -> String {
    humantime::format_duration(Duration::from_micros(micros)).to_string()
}

/// Parses a size like `64KiB` into bytes; `None` if it is none or has no unit.
pub fn parse_size(text: &str) -> Option<u64> {
    let text = text.trim();
    // A number without a unit would be read as bytes: easily wrong by a factor of a million.
    if !text.ends_with(['b', 'B']) {
        return None;
    }
    let size: bytesize::ByteSize = text.parse().ok()?;
    Some(size.as_u64())
}

/// Formats a number of bytes as [`parse_size`] reads it.
pub fn format_size(bytes: u64) -> String {
    bytesize::ByteSize::b(bytes).display().iec().to_string()
}
