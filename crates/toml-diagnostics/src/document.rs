//! Parses the text of a file into a table.

use crate::diagnostic::{DiagnosticSink, Span};
use toml::de::{DeTable, Error};

/// Key of diagnostics about the file as a whole.
pub(crate) const FILE_KEY: &str = "the file";

/// Parses a text. Syntax errors are added to `sink`. The parser recovers from them, but the table may then be incomplete or
/// wrong, so callers should not read it if there are any.
pub fn parse_document<'t>(sink: &mut DiagnosticSink, text: &'t str) -> DeTable<'t> {
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        add_syntax_error(sink, text, error);
    }
    table.into_inner()
}

fn add_syntax_error(sink: &mut DiagnosticSink, text: &str, error: &Error) {
    let span: Span = error.span().unwrap_or(0..0);
    let erroneous = text
        .get(span.clone())
        .filter(|erroneous| !erroneous.trim().is_empty())
        .unwrap_or("this place");
    let found = erroneous.lines().next().unwrap_or_default().trim();
    let allowed = match error.message() {
        "duplicate key" => "each key once in its table, and each table once",
        _ => "TOML",
    };
    let reason = error.message().replace('\n', ", ");
    sink.add(FILE_KEY, &span, reason, found, allowed);
}
