//! Values that are written as text: spans of time and sizes.

use std::time::Duration;

/// A span of time, in microseconds.
pub fn duration(text: &str) -> Option<u64> {
    humantime::parse_duration(text.trim())
        .ok()
        .and_then(|d| u64::try_from(d.as_micros()).ok())
}

/// A span of time in microseconds, as it may be written.
pub fn show_duration(micros: u64) -> String {
    humantime::format_duration(Duration::from_micros(micros)).to_string()
}

/// A number of bytes; the unit is wanted.
pub fn size(text: &str) -> Option<u64> {
    // A number without a unit would be taken for bytes: a slip of the pen by a factor of a million.
    let unit = text.trim().ends_with(['b', 'B']);
    text.trim()
        .parse::<bytesize::ByteSize>()
        .ok()
        .filter(|_| unit)
        .map(|s| s.as_u64())
}

/// A number of bytes, as it may be written.
pub fn show_size(bytes: u64) -> String {
    bytesize::ByteSize::b(bytes).display().iec().to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn values_are_read_or_refused() {
        assert_eq!(duration("1200ms"), Some(1_200_000));
        assert_eq!(duration("1s 200ms"), Some(1_200_000));
        assert_eq!(
            (duration("5"), duration("-5ms"), duration("5 parsecs")),
            (None, None, None)
        );
        assert_eq!(size("64KiB"), Some(65_536));
        assert_eq!((size("64"), size("many MB")), (None, None));
    }
}
