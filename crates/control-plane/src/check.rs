//! Checks of a policy before it is logged: its size, its files, and that it does not change fallback policies in use.

use crate::fallback::{self, Files, Violation};
use badgerramp_config::Diagnostics;
use badgerramp_policy::{Generation, Record};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Maximum size of all files of a policy together, including their names.
const MAX_POLICY_BYTES: usize = 1 << 20;
/// Maximum number of files of a policy. There is one file for each application.
const MAX_FILES: usize = 4_096;

/// Advice for a publisher whose policy would change a fallback policy.
const FALLBACK_ADVICE: &str =
    "Proxies without a lease may still apply that fallback policy. Make the change in two steps: publish the \
                 policy in force with the class removed from policy.floor; when all proxies serve under it, publish this one";

/// Why a policy is rejected.
#[derive(Debug, Error)]
pub(crate) enum PolicyError {
    /// The policy has no files, too many files, or too many bytes.
    #[error(
        "found {files} files of {bytes} bytes, allowed are 1 to {MAX_FILES} of {MAX_POLICY_BYTES} bytes together"
    )]
    Size {
        /// Number of files.
        files: usize,
        /// Size of the files, including their names.
        bytes: usize,
    },
    /// Some files are invalid.
    #[error("{}", join(.0, ""))]
    Invalid(Vec<Diagnostics>),
    /// The policy would change fallback policies that proxies may apply.
    #[error("{}\n{FALLBACK_ADVICE}", join(.0, "\n"))]
    Fallback(Vec<Violation>),
    /// The files of a generation cannot be decoded from its text in the record.
    #[error("cannot decode the files of the generation: {0}")]
    Decode(#[source] serde_json::Error),
    /// The files cannot be encoded as a text for the record.
    #[error("cannot encode the policy files: {0}")]
    Encode(#[source] serde_json::Error),
}

fn join<T: ToString>(parts: &[T], separator: &str) -> String {
    let texts: Vec<String> = parts.iter().map(T::to_string).collect();
    texts.join(separator)
}

/// Decodes the files of a generation from its text in the record.
///
/// # Errors
/// Returns an error if the text was not written by [`encode_files`].
pub(crate) fn decode_files(text: &str) -> Result<BTreeMap<String, String>, PolicyError> {
    serde_json::from_str(text).map_err(PolicyError::Decode)
}

/// Encodes the files of a policy as its text in the record.
///
/// # Errors
/// Returns an error if they cannot be encoded.
pub(crate) fn encode_files(files: &BTreeMap<String, String>) -> Result<String, PolicyError> {
    serde_json::to_string(files).map_err(PolicyError::Encode)
}

/// Parses the files of a policy that is to be published.
///
/// # Errors
/// Returns an error if there are no files, if they are too many or too large, or if some are invalid.
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
/// Returns all the violations.
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
    fallback::parse_stored(&files).ok()
}

/// Checks a policy that another region has published, from its text in that region's record.
///
/// # Errors
/// Returns an error if it cannot be published in this region.
pub(crate) fn check_other_region(
    record: &Record,
    fallback_generations: &BTreeSet<Generation>,
    text: &str,
) -> Result<(), PolicyError> {
    let files = parse(&decode_files(text)?)?;
    check_fallbacks(record, fallback_generations, &files)
}
