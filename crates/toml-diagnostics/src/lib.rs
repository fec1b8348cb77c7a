//! Reading of TOML files key by key. What is wrong is noted with its place, and reading goes on, so that all mistakes
//! are told at once.
#![forbid(unsafe_code)]

mod mistake;
mod section;
pub mod values;

pub use mistake::{Mistake, Mistakes};
pub use section::{known_names, nearest, show, Notes, Section, Set, Span, Value};
pub use toml::de::{DeTable, DeValue};

/// Parses a text. Mistakes of form are noted; what follows on one is guesswork, so that nothing else should be read
/// then.
pub fn document<'t>(notes: &mut Notes, text: &'t str) -> DeTable<'t> {
    let (file, faults) = DeTable::parse_recoverable(text);
    for fault in &faults {
        let span = fault.span().unwrap_or(0..0);
        let line = text
            .get(span.clone())
            .filter(|t| !t.trim().is_empty())
            .unwrap_or("this place");
        let found = line.lines().next().unwrap_or_default().trim().to_owned();
        let allowed = match fault.message() {
            "duplicate key" => "each key once in its table, and each table once",
            _ => "TOML",
        };
        notes.add(
            ("the file", &span),
            fault.message().replace('\n', ", "),
            found,
            allowed,
        );
    }
    file.into_inner()
}
