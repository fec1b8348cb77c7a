//! Checks of a policy before it is logged: its size, its files, and the fallback policies that it may not change.

use crate::fallback::{self, Files, Violation};
use badgerramp_config::Diagnostics;
use badgerramp_policy::{Generation, Record};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Most bytes of all files of a policy together, with their names.
const MAX_POLICY_BYTES: usize = 1 << 20;
/// Most files of a policy: one for each application.
const MAX_FILES: usize = 4_096;

/// What a publisher can do about violations of a fallback.
const FALLBACK_ADVICE: &str =
    "Proxies that are cut off go by it. Make it in two steps: publish the policy in force with the \
                 class taken out of policy.floor; when all proxies act under that, publish this one";

/// Why a policy is not taken.
#[derive(Debug, Error)]
pub(crate) enum PolicyError {
    /// It has no files, too many, or too many bytes.
    #[error(
        "found {files} files of {bytes} bytes, allowed are 1 to {MAX_FILES} of {MAX_POLICY_BYTES} bytes together"
    )]
    Size {
        /// The number of its files.
        files: usize,
        /// Their bytes with their names.
        bytes: usize,
    },
    /// Files of it are invalid.
    #[error("{}", joined(.0, ""))]
    Invalid(Vec<Diagnostics>),
    /// It would change fallback policies that proxies may act under.
    #[error("{}\n{FALLBACK_ADVICE}", joined(.0, "\n"))]
    Fallback(Vec<Violation>),
    /// Its files can't be decoded from a record.
    #[error("the files of a generation can't be read: {0}")]
    Decode(#[source] serde_json::Error),
    /// Its files can't be encoded for a record.
    #[error("the files can't be written down: {0}")]
    Encode(#[source] serde_json::Error),
}

fn joined<T: ToString>(parts: &[T], separator: &str) -> String {
    let texts: Vec<String> = parts.iter().map(T::to_string).collect();
    texts.join(separator)
}

/// Decodes the files of a generation from its text in the record.
///
/// # Errors
/// If the text is not what [`encode_files`] writes.
pub(crate) fn decode_files(text: &str) -> Result<BTreeMap<String, String>, PolicyError> {
    serde_json::from_str(text).map_err(PolicyError::Decode)
}

/// Encodes the files of a policy as its text in the record.
///
/// # Errors
/// If they can't be encoded.
pub(crate) fn encode_files(files: &BTreeMap<String, String>) -> Result<String, PolicyError> {
    serde_json::to_string(files).map_err(PolicyError::Encode)
}

/// Parses the files of a policy that is to be published.
///
/// # Errors
/// If they are too many or too large, or some are invalid.
pub(crate) fn parse(files: &BTreeMap<String, String>) -> Result<Files, PolicyError> {
    let bytes: usize = files
        .iter()
        .map(|(name, text)| name.len() + text.len())
        .sum();
    if files.is_empty() || files.len() > MAX_FILES || bytes > MAX_POLICY_BYTES {
        let files = files.len();
        return Err(PolicyError::Size { files, bytes });
    }
    fallback::parse(files).map_err(PolicyError::Invalid)
}

/// Checks that a policy does not change the fallback policies of these generations of the record.
///
/// # Errors
/// All that it would change.
pub(crate) fn check_fallbacks(
    record: &Record,
    generations: &BTreeSet<Generation>,
    new: &Files,
) -> Result<(), PolicyError> {
    let mut violations = Vec::new();
    for &generation in generations {
        match parsed_generation(record, generation) {
            Some(old) => violations.extend(fallback::violations(&old, new)),
            None => violations.push(Violation::Unreadable(generation)),
        }
    }
    if violations.is_empty() {
        return Ok(());
    }
    violations.sort_by_cached_key(ToString::to_string);
    violations.dedup();
    Err(PolicyError::Fallback(violations))
}

fn parsed_generation(record: &Record, generation: Generation) -> Option<Files> {
    let files = decode_files(record.text(generation)?).ok()?;
    fallback::parse(&files).ok()
}

/// Checks a policy that another region has published, from its text in that region's record.
///
/// # Errors
/// If it can't be published here.
pub(crate) fn check_other_region(
    record: &Record,
    fallbacks: &BTreeSet<Generation>,
    text: &str,
) -> Result<(), PolicyError> {
    let files = parse(&decode_files(text)?)?;
    check_fallbacks(record, fallbacks, &files)
}
