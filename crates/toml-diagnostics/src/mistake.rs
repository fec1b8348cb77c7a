//! Mistakes in a file, and how they are shown.

use codespan_reporting::diagnostic::{Diagnostic, Label};
use codespan_reporting::files::SimpleFile;
use codespan_reporting::term::{self, Chars};
use std::fmt;
use std::ops::Range;

/// One mistake.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// Where in the text, in bytes.
    pub span: Range<usize>,
    /// The key, with the tables it lies in: `class.cobro-mensual.second_copy`.
    pub key: String,
    /// What is wrong.
    pub reason: String,
    /// What was found there.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
    /// Other places that have to do with it.
    pub related: Vec<(Range<usize>, String)>,
}

/// All mistakes of one file, in its order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistakes {
    name: String,
    text: String,
    list: Vec<Mistake>,
}

impl Mistakes {
    /// Those of this text, sorted; the same of the same key at the same place is told once.
    pub fn new(name: &str, text: &str, mut list: Vec<Mistake>) -> Self {
        list.sort_by(|a, b| {
            (a.span.start, &a.key, &a.reason).cmp(&(b.span.start, &b.key, &b.reason))
        });
        list.dedup_by(|a, b| (&a.span, &a.reason, &a.key) == (&b.span, &b.reason, &b.key));
        Mistakes {
            name: name.to_owned(),
            text: text.to_owned(),
            list,
        }
    }

    /// A file that could not be read at all.
    pub fn unreadable(name: &str, why: &str) -> Self {
        let mistake = Mistake {
            span: 0..0,
            key: "the file".to_owned(),
            reason: "it can't be read".to_owned(),
            found: why.to_owned(),
            allowed: "a readable TOML file in UTF-8".to_owned(),
            related: Vec::new(),
        };
        Mistakes {
            name: name.to_owned(),
            text: String::new(),
            list: vec![mistake],
        }
    }

    /// The file's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The file's text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// One after the other.
    pub fn iter(&self) -> impl Iterator<Item = &Mistake> {
        self.list.iter()
    }

    /// How many.
    pub fn count(&self) -> usize {
        self.list.len()
    }

    /// Line and column of a mistake, both from 1; the column counts characters.
    pub fn place(&self, mistake: &Mistake) -> (usize, usize) {
        let before = self.text.get(..mistake.span.start).unwrap_or_default();
        let line = before.rfind('\n').map_or(0, |at| at + 1);
        (
            before.matches('\n').count() + 1,
            before[line..].chars().count() + 1,
        )
    }

    /// All in one line, for a log.
    pub fn line(&self) -> String {
        let one = |m: &Mistake| {
            let (line, column) = self.place(m);
            format!(
                "{}:{line}:{column}: {}: {} (found {}; allowed: {})",
                self.name, m.key, m.reason, m.found, m.allowed
            )
        };
        self.list.iter().map(one).collect::<Vec<_>>().join("; ")
    }
}

impl fmt::Display for Mistakes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = SimpleFile::new(&self.name, &self.text);
        let config = term::Config {
            chars: Chars::ascii(),
            ..term::Config::default()
        };
        for mistake in &self.list {
            let mut labels = vec![Label::primary((), mistake.span.clone())
                .with_message(format!("found {}", mistake.found))];
            labels.extend(
                mistake
                    .related
                    .iter()
                    .map(|(span, text)| Label::secondary((), span.clone()).with_message(text)),
            );
            let diagnostic = Diagnostic::error()
                .with_message(format!("{}: {}", mistake.key, mistake.reason))
                .with_labels(labels)
                .with_note(format!("allowed: {}", mistake.allowed));
            f.write_str(
                &term::emit_into_string(&config, &file, &diagnostic).map_err(|_| fmt::Error)?,
            )?;
        }
        Ok(())
    }
}

impl std::error::Error for Mistakes {}
