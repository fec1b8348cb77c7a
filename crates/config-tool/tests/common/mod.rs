//! Helpers for the tests of the tool: temporary folders, and the example description with edits.
#![allow(dead_code)]

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The number of folders created so far, for unique names.
static FOLDER_COUNT: AtomicUsize = AtomicUsize::new(0);

/// A temporary folder that is removed on drop.
pub(crate) struct TempFolder(pub PathBuf);

impl TempFolder {
    pub(crate) fn new() -> TempFolder {
        let name = format!(
            "badgerramp-config-{}-{}",
            std::process::id(),
            FOLDER_COUNT.fetch_add(1, Ordering::SeqCst)
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        TempFolder(path)
    }

    pub(crate) fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
        std::fs::write(&path, text).expect("a file");
        path
    }

    pub(crate) fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.0.join(name)).expect("a file")
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The folder of the examples.
pub(crate) fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

pub(crate) const APPS: &str = include_str!("../../../../examples/cordillera/apps.toml");
pub(crate) const CLASSES: &str =
    include_str!("../../../../examples/cordillera/shared/classes.toml");

/// Writes the example description to a folder, with one replacement in each file, and returns its path.
pub(crate) fn write_description(
    folder: &TempFolder,
    apps_edit: (&str, &str),
    classes_edit: (&str, &str),
) -> PathBuf {
    let replace = |text: &str, (from, to): (&str, &str)| {
        assert!(text.contains(from), "{from:?} not found");
        text.replacen(from, to, 1)
    };
    folder.write("shared/classes.toml", &replace(CLASSES, classes_edit));
    folder.write("apps.toml", &replace(APPS, apps_edit))
}
