//! The copy of the policy on disk. It saves the transfer after a restart; it does not permit to serve without a lease.

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
    /// A copy of these texts.
    pub(crate) fn new(application: String, texts: BTreeMap<u64, String>) -> Self {
        PolicyCopy {
            version: VERSION,
            application,
            texts,
        }
    }

    /// The texts, by generation.
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
    /// The file is no text.
    #[error("{}: damaged", .0.display())]
    NotText(PathBuf),
    /// The file has no line for its checksum.
    #[error("{}: torn", .0.display())]
    NoChecksum(PathBuf),
    /// The checksum is that of another content.
    #[error("{}: damaged or torn: its checksum does not fit", .0.display())]
    ChecksumMismatch(PathBuf),
    /// The content is not what its version says.
    #[error("{}: {source}", path.display())]
    Malformed {
        path: PathBuf,
        source: serde_json::Error,
    },
    /// The file is of another version or application.
    #[error("{}: of version {version}, for {application:?}", path.display())]
    Foreign {
        path: PathBuf,
        version: u32,
        application: String,
    },
}

fn copy_path(folder: &Path, application: &str) -> PathBuf {
    folder.join(format!("{application}.policy"))
}

/// Reads the copy on disk; `None` if there is none yet.
///
/// # Errors
/// If it can't be read, is damaged, or belongs to another application.
pub(crate) fn load(
    folder: &Path,
    application: &str,
) -> Result<Option<PolicyCopy>, PolicyCopyError> {
    let path = copy_path(folder, application);
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

/// Writes the copy atomically, also if the machine stops in between.
///
/// # Errors
/// If the folder or the file can't be written.
pub(crate) fn save(folder: &Path, copy: &PolicyCopy) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let body = serde_json::to_string(copy)?;
    let path = copy_path(folder, &copy.application);
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
    File::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests;
