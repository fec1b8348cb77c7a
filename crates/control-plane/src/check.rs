//! Checks of a policy before it is logged: its size, its files, the floors that it has to leave as they are.

use crate::fallback::{self, Files};
use badgerramp_policy::{Generation, Record};
use std::collections::{BTreeMap, BTreeSet};

/// Most bytes of all files of a policy together.
const POLICY_MOST: usize = 1 << 20;
/// Most files of one: one for each application.
const FILES_MOST: usize = 4_096;

/// The files of a generation, as they stand in the record.
///
/// # Errors
/// If the text is not what [`text_of`] writes.
pub(crate) fn files_of(text: &str) -> Result<BTreeMap<String, String>, String> {
    serde_json::from_str(text).map_err(|e| format!("the files of a generation can't be read: {e}"))
}

/// The files of a policy, as they stand in the record.
///
/// # Errors
/// If they can't be written down.
pub(crate) fn text_of(files: &BTreeMap<String, String>) -> Result<String, String> {
    serde_json::to_string(files).map_err(|e| format!("the files can't be written down: {e}"))
}

/// Reads the files of a policy that is to come.
///
/// # Errors
/// If they are too many or too large, and all mistakes in them, as text that names file, line and key.
pub(crate) fn read(files: &BTreeMap<String, String>) -> Result<Files, String> {
    let bytes: usize = files
        .iter()
        .map(|(name, text)| name.len() + text.len())
        .sum();
    if files.is_empty() || files.len() > FILES_MOST || bytes > POLICY_MOST {
        let found = format!("found {} files of {bytes} bytes", files.len());
        return Err(format!(
            "{found}, allowed are 1 to {FILES_MOST} of {POLICY_MOST} bytes together"
        ));
    }
    fallback::parse(files)
}

/// Checks that a policy leaves these floors of the record as they are.
///
/// # Errors
/// All that it would change, and how to go about it.
pub(crate) fn leaves_floors(
    record: &Record,
    floors: &BTreeSet<Generation>,
    new: &Files,
) -> Result<(), String> {
    let mut changes = Vec::new();
    for &generation in floors {
        let old = record.text(generation).map(files_of).and_then(Result::ok);
        match old.and_then(|files| fallback::parse(&files).ok()) {
            Some(old) => changes.extend(fallback::violations(&old, new)),
            None => changes.push(format!("the floor of {generation} can't be read any more")),
        }
    }
    if changes.is_empty() {
        return Ok(());
    }
    changes.sort();
    changes.dedup();
    let steps =
        "Proxies that are cut off go by it. Make it in two steps: publish the policy in force with the \
                 class taken out of policy.floor; when all proxies act under that, publish this one";
    Err(format!("{}\n{steps}", changes.join("\n")))
}

/// Checks a policy that another region has published, as it stands in that region's record.
///
/// # Errors
/// Why it can't come here.
pub(crate) fn of_other_region(
    record: &Record,
    floors: &BTreeSet<Generation>,
    text: &str,
) -> Result<(), String> {
    leaves_floors(record, floors, &read(&files_of(text)?)?)
}
