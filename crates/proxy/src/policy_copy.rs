//! The copy of the policy on disk: so that it need not be sent again, and as no licence to serve.

use badgerramp_control_protocol::digest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// The version of the file's form.
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

fn place(folder: &Path, application: &str) -> PathBuf {
    folder.join(format!("{application}.policy"))
}

/// What is on disk; `None`: nothing yet.
pub(crate) fn load(folder: &Path, application: &str) -> Result<Option<PolicyCopy>, String> {
    let path = place(folder, application);
    let shown = path.display();
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(fault) if fault.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(fault) => return Err(format!("{shown}: {fault}")),
    };
    let text = std::str::from_utf8(&bytes).map_err(|_| format!("{shown}: damaged"))?;
    let (sum, body) = text
        .split_once('\n')
        .ok_or_else(|| format!("{shown}: torn"))?;
    if hex(&digest(body)) != sum {
        return Err(format!(
            "{shown}: damaged or torn: its checksum does not fit"
        ));
    }
    let kept: PolicyCopy = serde_json::from_str(body).map_err(|e| format!("{shown}: {e}"))?;
    if kept.version != VERSION || kept.application != application {
        return Err(format!(
            "{shown}: of version {}, for {:?}",
            kept.version, kept.application
        ));
    }
    Ok(Some(kept))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Whole or not at all, also when the machine stops in between.
pub(crate) fn save(folder: &Path, kept: &PolicyCopy) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let body = serde_json::to_string(kept)?;
    let path = place(folder, &kept.application);
    let torn = path.with_extension("new");
    let mut file = File::options()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(0o600)
        .open(&torn)?;
    write!(file, "{}\n{body}", hex(&digest(&body)))?;
    file.sync_all()?;
    fs::rename(&torn, &path)?;
    File::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests;
