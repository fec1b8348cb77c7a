//! The one normal form in which paths are compared. The request itself is passed on as it came.

use std::borrow::Cow;

/// Longest path that is looked up, in bytes. It bounds what one request can cost.
pub const PATH_MOST: usize = 8 * 1024;

/// Why a path has no normal form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathFault {
    /// It does not begin with a slash.
    NotAbsolute,
    /// It is longer than [`PATH_MOST`].
    TooLong,
    /// A `%` without two hexadecimal digits behind it.
    BadEscape,
    /// Its `..` lead out of the root.
    AboveRoot,
}

impl std::fmt::Display for PathFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            PathFault::NotAbsolute => "a path begins with '/'",
            PathFault::TooLong => "the path is longer than 8 KiB",
            PathFault::BadEscape => "'%' wants two hexadecimal digits behind it",
            PathFault::AboveRoot => "its '..' lead out of the root",
        })
    }
}

impl std::error::Error for PathFault {}

/// The normal form of a path (RFC 3986, 6.2.2, and empty segments merged):
///
/// - escapes of unreserved characters are decoded, all others keep their escape, with capital digits: `%2F` never
///   becomes a separator;
/// - empty segments are dropped, but for the last: `//a///b/` is `/a/b/`;
/// - `.` and `..` are resolved, also where they were written as escapes.
///
/// Query and fragment are no part of a path: the caller takes them off.
///
/// # Errors
/// See [`PathFault`]. Such a request matches no route and is best refused: a host may read it in another way.
pub fn normalize(path: &str) -> Result<Cow<'_, str>, PathFault> {
    if !path.starts_with('/') {
        return Err(PathFault::NotAbsolute);
    }
    if path.len() > PATH_MOST {
        return Err(PathFault::TooLong);
    }
    // Nearly all paths are in normal form already.
    if !path.contains('%') && !path.contains("//") && !path.contains("/.") {
        return Ok(Cow::Borrowed(path));
    }
    let decoded = decode(path)?;
    let mut kept: Vec<&str> = Vec::new();
    let mut ends_open = false;
    for segment in decoded[1..].split('/') {
        ends_open = matches!(segment, "" | "." | "..");
        match segment {
            "" | "." => {}
            ".." => {
                kept.pop().ok_or(PathFault::AboveRoot)?;
            }
            name => kept.push(name),
        }
    }
    let mut normal = String::with_capacity(decoded.len());
    for segment in &kept {
        normal.push('/');
        normal.push_str(segment);
    }
    if ends_open || normal.is_empty() {
        normal.push('/');
    }
    Ok(Cow::Owned(normal))
}

/// Decodes escapes of unreserved characters (RFC 3986, 2.3) and writes all others alike.
fn decode(path: &str) -> Result<String, PathFault> {
    let mut decoded = String::with_capacity(path.len());
    let mut rest = path;
    while let Some(at) = rest.find('%') {
        decoded.push_str(&rest[..at]);
        let digits = rest.get(at + 1..at + 3).ok_or(PathFault::BadEscape)?;
        // A sign would be taken for a number too.
        if !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(PathFault::BadEscape);
        }
        let byte = u8::from_str_radix(digits, 16).map_err(|_| PathFault::BadEscape)?;
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            decoded.push(char::from(byte));
        } else {
            decoded.push('%');
            decoded.push_str(&digits.to_ascii_uppercase());
        }
        rest = &rest[at + 3..];
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
    fn one_normal_form() {
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
            ("", PathFault::NotAbsolute),
            ("*", PathFault::NotAbsolute),
            ("/%", PathFault::BadEscape),
            ("/%4", PathFault::BadEscape),
            ("/%+1", PathFault::BadEscape),
            ("/%\u{f1}a", PathFault::BadEscape),
            ("/..", PathFault::AboveRoot),
            ("/a/%2e./../b", PathFault::AboveRoot),
        ] {
            assert_eq!(normalize(path), Err(fault), "{path}");
        }
        assert_eq!(
            normalize(&format!("/{}", "a".repeat(PATH_MOST))),
            Err(PathFault::TooLong)
        );
    }

    proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]
        /// What is in normal form stays as it is, and holds nothing that a normal form may not hold.
        #[test]
        fn a_normal_form_is_its_own(path in "/([a-c./]|%2[eEfF]|%4[1-3]|%[cC]3){0,24}") {
            if let Ok(normal) = normalize(&path) {
                prop_assert_eq!(normalize(&normal), Ok(Cow::Borrowed(&*normal)));
                prop_assert!(!normal.contains("//"));
                prop_assert!(normal.split('/').all(|s| s != "." && s != ".."));
            }
        }
    }
}
