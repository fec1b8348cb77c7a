//! The copy of the policy on disk. It saves the transfer after a restart, but does not replace a lease: without one the proxy
//! rejects all calls.

use badgerramp_control_protocol::digest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The version of the file's format.
const VERSION: u32 = 1;

/// The texts of an application's policy, by generation.
#[derive(Serialize, Deserialize)]
pub(crate) struct PolicyCopy {
    version: u32,
    application: String,
    texts: BTreeMap<u64, String>,
}

impl PolicyCopy {
    /// Creates a copy of these texts.
    pub(crate) fn new(application: String, texts: BTreeMap<u64, String>) -> Self {
        PolicyCopy {
            version: VERSION,
            application,
            texts,
        }
    }

    /// Returns the texts, by generation.
    pub(crate) fn into_texts(self) -> BTreeMap<u64, String> {
        self.texts
    }
}

/// Why the copy on disk can't be used.
#[derive(Debug, Error)]
pub(crate) enum PolicyCopyError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read { path: PathBuf, source: io::Error },
    /// The file is not UTF-8.
    #[error("{}: damaged: not UTF-8", .0.display())]
    NotText(PathBuf),
    /// The file lacks the line with its checksum.
    #[error("{}: truncated: no checksum", .0.display())]
    NoChecksum(PathBuf),
    /// The checksum does not match the content.
    #[error("{}: damaged or truncated: checksum mismatch", .0.display())]
    ChecksumMismatch(PathBuf),
    /// The content is not valid JSON of the expected structure.
    #[error("{}: {source}", path.display())]
    Malformed {
        path: PathBuf,
        source: serde_json::Error,
    },
    /// The file has another format version, or belongs to another application.
    #[error("{}: format version {version}, application {application:?}", path.display())]
    Foreign {
        path: PathBuf,
        version: u32,
        application: String,
    },
}

fn copy_path(directory: &Path, application: &str) -> PathBuf {
    directory.join(format!("{application}.policy"))
}

/// Reads the copy from disk. Returns `None` if there is none.
///
/// # Errors
/// If it can't be read, is damaged, or belongs to another application.
pub(crate) fn load(
    directory: &Path,
    application: &str,
) -> Result<Option<PolicyCopy>, PolicyCopyError> {
    let path = copy_path(directory, application);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(PolicyCopyError::Read { path, source }),
    };
    let Ok(text) = std::str::from_utf8(&bytes) else {
        return Err(PolicyCopyError::NotText(path));
    };
    let Some((checksum, body)) = text.split_once('\n') else {
        return Err(PolicyCopyError::NoChecksum(path));
    };
    if hex(&digest(body)) != checksum {
        return Err(PolicyCopyError::ChecksumMismatch(path));
    }
    let copy: PolicyCopy = match serde_json::from_str(body) {
        Ok(copy) => copy,
        Err(source) => return Err(PolicyCopyError::Malformed { path, source }),
    };
    if copy.version != VERSION || copy.application != application {
        return Err(PolicyCopyError::Foreign {
            path,
            version: copy.version,
            application: copy.application,
        });
    }
    Ok(Some(copy))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Writes the copy to disk atomically: after a crash of the machine either the old or the new copy is there.
///
/// # Errors
/// If the directory or the file can't be written.
pub(crate) fn save(directory: &Path, copy: &PolicyCopy) -> io::Result<()> {
    fs::create_dir_all(directory)?;
    let body = serde_json::to_string(copy)?;
    let path = copy_path(directory, &copy.application);
    let temporary = path.with_extension("new");
    let mut file = File::options()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(0o600)
        .open(&temporary)?;
    write!(file, "{}\n{body}", hex(&digest(&body)))?;
    file.sync_all()?;
    fs::rename(&temporary, &path)?;
    File::open(directory)?.sync_all()
}

#[cfg(test)]
mod tests;
