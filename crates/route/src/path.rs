//! Normalizes paths for comparison. The request itself is forwarded with its original path.

use std::borrow::Cow;

/// Maximum length of a path, in bytes. It bounds the cost of looking up one request.
pub const MAX_PATH_BYTES: usize = 8 * 1024;

/// Why a path has no normal form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathError {
    /// The path does not begin with a slash.
    NotAbsolute,
    /// The path is longer than [`MAX_PATH_BYTES`].
    TooLong,
    /// A `%` is not followed by two hexadecimal digits.
    BadEscape,
    /// The `..` segments lead above the root.
    AboveRoot,
}

impl std::fmt::Display for PathError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            PathError::NotAbsolute => "a path begins with '/'",
            PathError::TooLong => "the path is longer than 8 KiB",
            PathError::BadEscape => "'%' wants two hexadecimal digits behind it",
            PathError::AboveRoot => "its '..' lead out of the root",
        })
    }
}

impl std::error::Error for PathError {}

/// Returns the normal form of a path (RFC 3986, section 6.2.2, with empty segments merged):
///
/// - escapes of unreserved characters are decoded; all others stay escaped, with upper-case digits, so that `%2F` never
///   becomes a separator;
/// - empty segments are removed, except for the last one: `//a///b/` becomes `/a/b/`;
/// - `.` and `..` are resolved, even if they were percent-encoded.
///
/// The path must not include the query or fragment; the caller removes them.
///
/// # Errors
/// See [`PathError`]. Such a request matches no route and should be rejected, as an endpoint may interpret its path
/// differently.
pub fn normalize(path: &str) -> Result<Cow<'_, str>, PathError> {
    if !path.starts_with('/') {
        return Err(PathError::NotAbsolute);
    }
    if path.len() > MAX_PATH_BYTES {
        return Err(PathError::TooLong);
    }
    // Fast path: nearly all paths are in normal form already.
    if !path.contains('%') && !path.contains("//") && !path.contains("/.") {
        return Ok(Cow::Borrowed(path));
    }
    let decoded = decode(path)?;
    let mut segments: Vec<&str> = Vec::new();
    let mut has_trailing_slash = false;
    for segment in decoded[1..].split('/') {
        has_trailing_slash = matches!(segment, "" | "." | "..");
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop().ok_or(PathError::AboveRoot)?;
            }
            name => segments.push(name),
        }
    }
    let mut normal = String::with_capacity(decoded.len());
    for name in &segments {
        normal.push('/');
        normal.push_str(name);
    }
    if has_trailing_slash || normal.is_empty() {
        normal.push('/');
    }
    Ok(Cow::Owned(normal))
}

/// Decodes escapes of unreserved characters (RFC 3986, section 2.3) and writes all others with upper-case digits.
fn decode(path: &str) -> Result<String, PathError> {
    let mut decoded = String::with_capacity(path.len());
    let mut rest = path;
    while let Some(escape) = rest.find('%') {
        decoded.push_str(&rest[..escape]);
        let digits = rest
            .get(escape + 1..escape + 3)
            .ok_or(PathError::BadEscape)?;
        // `from_str_radix` would also accept a sign.
        if !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(PathError::BadEscape);
        }
        let byte = u8::from_str_radix(digits, 16).map_err(|_| PathError::BadEscape)?;
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            decoded.push(char::from(byte));
        } else {
            decoded.push('%');
            decoded.push_str(&digits.to_ascii_uppercase());
        }
        rest = &rest[escape + 3..];
    }
    decoded.push_str(rest);
    Ok(decoded)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    #[test]
    fn equivalent_paths_have_one_normal_form_and_invalid_paths_are_rejected() {
        for (path, normal) in [
            ("/", "/"),
            ("/a/b", "/a/b"),
            ("//a///b", "/a/b"),
            ("/a/b//", "/a/b/"),
            ("/a/./b/../c", "/a/c"),
            ("/a/.", "/a/"),
            ("/a/..", "/"),
            ("/%61%2Fb%2e%2E/x", "/a%2Fb../x"),
            ("/a/%2e%2E/b", "/b"),
            ("/%7euser/%c3%b1", "/~user/%C3%B1"),
            ("/a%2f..%2Fb", "/a%2F..%2Fb"),
            ("/.hidden", "/.hidden"),
            ("/a%00", "/a%00"),
        ] {
            assert_eq!(normalize(path).as_deref(), Ok(normal), "{path}");
        }
        for (path, fault) in [
            ("", PathError::NotAbsolute),
            ("*", PathError::NotAbsolute),
            ("/%", PathError::BadEscape),
            ("/%4", PathError::BadEscape),
            ("/%+1", PathError::BadEscape),
            ("/%\u{f1}a", PathError::BadEscape),
            ("/..", PathError::AboveRoot),
            ("/a/%2e./../b", PathError::AboveRoot),
        ] {
            assert_eq!(normalize(path), Err(fault), "{path}");
        }
        assert_eq!(
            normalize(&format!("/{}", "a".repeat(MAX_PATH_BYTES))),
            Err(PathError::TooLong)
        );
    }

    proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]
        /// Normalizing a normal form does not change it, and it has no empty, `.` or `..` segments.
        #[test]
        fn normalization_is_idempotent(path in "/([a-c./]|%2[eEfF]|%4[1-3]|%[cC]3){0,24}") {
            if let Ok(normal) = normalize(&path) {
                prop_assert_eq!(normalize(&normal), Ok(Cow::Borrowed(&*normal)));
                prop_assert!(!normal.contains("//"));
                prop_assert!(normal.split('/').all(|s| s != "." && s != ".."));
            }
        }
    }
}
