//! What the tests of the tool share: the chain's description, folders of their own, edits.
#![allow(dead_code)]

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

static FOLDERS: AtomicUsize = AtomicUsize::new(0);

/// A folder that goes at the end of its test.
pub(crate) struct Folder(pub PathBuf);

impl Folder {
    pub(crate) fn new() -> Folder {
        let name = format!(
            "badgerramp-config-{}-{}",
            std::process::id(),
            FOLDERS.fetch_add(1, Ordering::SeqCst)
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    pub(crate) fn put(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
        std::fs::write(&path, text).expect("a file");
        path
    }

    pub(crate) fn get(&self, name: &str) -> String {
        std::fs::read_to_string(self.0.join(name)).expect("a file")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub(crate) fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

pub(crate) const APPS: &str = include_str!("../../../../examples/cordillera/apps.toml");
pub(crate) const CLASSES: &str =
    include_str!("../../../../examples/cordillera/shared/classes.toml");

/// The chain's description in a folder, with one edit in each file.
pub(crate) fn chain(folder: &Folder, apps: (&str, &str), classes: (&str, &str)) -> PathBuf {
    let edit = |text: &str, (from, to): (&str, &str)| {
        assert!(text.contains(from), "{from:?} is not there");
        text.replacen(from, to, 1)
    };
    folder.put("shared/classes.toml", &edit(CLASSES, classes));
    folder.put("apps.toml", &edit(APPS, apps))
}
