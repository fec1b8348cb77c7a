//! Limits of size for the crate's own sources.

use std::path::{Path, PathBuf};

const LINES_MOST: usize = 500;
const COLUMNS_MOST: usize = 100;

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else {
            found.push(path);
        }
    }
}

#[test]
fn every_source_file_is_short_and_so_are_its_lines() {
    let mut files = Vec::new();
    sources(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut files,
    );
    assert!(files.len() > 3, "{files:?}");
    for file in files {
        let text = std::fs::read_to_string(&file).expect("a source file");
        let lines = text.lines().count();
        assert!(lines <= LINES_MOST, "{file:?}: {lines} lines");
        let wide = text
            .lines()
            .find(|line| line.chars().count() > COLUMNS_MOST);
        assert_eq!(wide, None, "{file:?}");
        assert!(
            text.starts_with("//!"),
            "{file:?}: its head says what it holds"
        );
    }
}
