//! What is wrong with a file, and how it is shown.

use crate::document::FILE_KEY;
use codespan_reporting::diagnostic::{Diagnostic as Report, Label};
use codespan_reporting::files::SimpleFile;
use codespan_reporting::term::{self, Chars};
use std::fmt;
use std::ops::Range;

/// A range of the text, in bytes.
pub type Span = Range<usize>;

/// One mistake.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Where it is in the text.
    pub span: Span,
    /// The key with the tables that it is in, like `class.cobro-mensual.second_copy`.
    pub key: String,
    /// What is wrong.
    pub reason: String,
    /// What was found there.
    pub found: String,
    /// What is allowed there.
    pub allowed: String,
    /// Other places that it concerns.
    pub related: Vec<RelatedSpan>,
}

/// Another place in the text that a mistake concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelatedSpan {
    /// Where it is in the text.
    pub span: Span,
    /// What it has to do with the mistake.
    pub message: String,
}

impl Diagnostic {
    /// Adds another place that the mistake concerns.
    pub fn add_related(&mut self, span: Span, message: impl Into<String>) {
        self.related.push(RelatedSpan {
            span,
            message: message.into(),
        });
    }

    fn report(&self) -> Report<()> {
        let found = format!("found {}", self.found);
        let mut labels = vec![Label::primary((), self.span.clone()).with_message(found)];
        for related in &self.related {
            let label = Label::secondary((), related.span.clone());
            labels.push(label.with_message(&related.message));
        }
        Report::error()
            .with_message(format!("{}: {}", self.key, self.reason))
            .with_labels(labels)
            .with_note(format!("allowed: {}", self.allowed))
    }
}

/// Collects mistakes while a file is read.
#[derive(Debug, Default)]
pub struct DiagnosticSink {
    diagnostics: Vec<Diagnostic>,
}

impl DiagnosticSink {
    /// Adds a mistake, and returns it so that related places can be added.
    pub fn add(
        &mut self,
        key: &str,
        span: &Span,
        reason: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> &mut Diagnostic {
        self.diagnostics.push(Diagnostic {
            span: span.clone(),
            key: key.to_owned(),
            reason: reason.into(),
            found: found.into(),
            allowed: allowed.into(),
            related: Vec::new(),
        });
        let last = self.diagnostics.len() - 1;
        &mut self.diagnostics[last]
    }

    /// Whether there is no mistake so far.
    pub fn is_empty(&self) -> bool {
        self.diagnostics.is_empty()
    }

    /// Number of mistakes so far.
    pub fn len(&self) -> usize {
        self.diagnostics.len()
    }

    /// The mistakes so far, in the order in which they were found.
    pub fn diagnostics(&self) -> &[Diagnostic] {
        &self.diagnostics
    }

    /// All mistakes, in the order in which they were found.
    pub fn into_list(self) -> Vec<Diagnostic> {
        self.diagnostics
    }

    /// The error that reports all mistakes of the file `name` with this text.
    pub fn into_diagnostics(self, name: &str, text: &str) -> Diagnostics {
        Diagnostics::new(name, text, self.diagnostics)
    }
}

/// Line and column of a place, both from 1. The column counts characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

/// All mistakes of one file, in the order of its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostics {
    name: String,
    text: String,
    list: Vec<Diagnostic>,
}

impl Diagnostics {
    /// Sorts the mistakes, and drops those that repeat the reason, key and place of another one.
    pub fn new(name: &str, text: &str, mut list: Vec<Diagnostic>) -> Self {
        list.sort_by(|a, b| {
            (a.span.start, &a.key, &a.reason).cmp(&(b.span.start, &b.key, &b.reason))
        });
        list.dedup_by(|a, b| (&a.span, &a.reason, &a.key) == (&b.span, &b.reason, &b.key));
        Diagnostics {
            name: name.to_owned(),
            text: text.to_owned(),
            list,
        }
    }

    /// The error for a file that could not be read at all; `error` says why.
    pub fn unreadable(name: &str, error: &str) -> Self {
        let mut sink = DiagnosticSink::default();
        sink.add(
            FILE_KEY,
            &(0..0),
            "it can't be read",
            error,
            "a readable TOML file in UTF-8",
        );
        sink.into_diagnostics(name, "")
    }

    /// The file's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The file's text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The mistakes, in the order of the text.
    pub fn iter(&self) -> impl Iterator<Item = &Diagnostic> {
        self.list.iter()
    }

    /// Number of mistakes.
    pub fn count(&self) -> usize {
        self.list.len()
    }

    /// Where a mistake begins.
    pub fn position(&self, diagnostic: &Diagnostic) -> Position {
        let before = self.text.get(..diagnostic.span.start).unwrap_or_default();
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Position {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }

    /// All mistakes in one line, for a log.
    pub fn to_single_line(&self) -> String {
        let show = |diagnostic: &Diagnostic| {
            let Position { line, column } = self.position(diagnostic);
            format!(
                "{}:{line}:{column}: {}: {} (found {}; allowed: {})",
                self.name, diagnostic.key, diagnostic.reason, diagnostic.found, diagnostic.allowed
            )
        };
        self.list.iter().map(show).collect::<Vec<_>>().join("; ")
    }
}

/// Shows each mistake with the lines of the file that it concerns.
impl fmt::Display for Diagnostics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = SimpleFile::new(&self.name, &self.text);
        let config = term::Config {
            chars: Chars::ascii(),
            ..term::Config::default()
        };
        for diagnostic in &self.list {
            let shown = term::emit_into_string(&config, &file, &diagnostic.report())
                .map_err(|_| fmt::Error)?;
            formatter.write_str(&shown)?;
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostics {}
