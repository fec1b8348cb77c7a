//! Limits the size of the crate's source files.

use std::path::{Path, PathBuf};

const MAX_LINES: usize = 500;
const MAX_COLUMNS: usize = 100;

fn collect_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_files(&path, files);
        } else {
            files.push(path);
        }
    }
}

#[test]
fn source_files_stay_within_the_size_limits_and_start_with_a_module_comment() {
    let mut files = Vec::new();
    collect_files(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut files,
    );
    assert!(files.len() > 3, "{files:?}");
    for file in files {
        let text = std::fs::read_to_string(&file).expect("a source file");
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "{file:?}: {lines} lines");
        let long_line = text.lines().find(|line| line.chars().count() > MAX_COLUMNS);
        assert_eq!(long_line, None, "{file:?}");
        assert!(text.starts_with("//!"), "{file:?}: module comment missing");
    }
}
