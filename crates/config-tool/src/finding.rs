//! Findings of the checks over a set of files, with all related locations, and their output as text and JSON.

use badgerramp_toml_diagnostics::{Diagnostic, Span};
use codespan_reporting::diagnostic::{Diagnostic as CodespanDiagnostic, Label};
use codespan_reporting::files::SimpleFiles;
use codespan_reporting::term::{self, Chars};
use serde::Serialize;
use std::collections::{BTreeSet, HashMap};
use std::fmt::Write;

/// A location in one of the files of a [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Location {
    /// Index of the file in [`Report::files`].
    pub file: usize,
    /// Byte offset of its start.
    pub start: usize,
    /// Byte offset of its end.
    pub end: usize,
}

impl Location {
    /// Creates the location of a span in a file.
    pub fn new(file: usize, span: &Span) -> Self {
        Location {
            file,
            start: span.start,
            end: span.end,
        }
    }
}

/// One problem that a check found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The kind of problem, as a stable identifier.
    pub code: &'static str,
    /// The key that is wrong.
    pub key: String,
    /// What is wrong.
    pub reason: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
    /// Where the key is.
    pub location: Location,
    /// Related locations, each with a message.
    pub related: Vec<(Location, String)>,
    /// The applications that are affected.
    pub apps: BTreeSet<String>,
}

impl Finding {
    /// Converts a diagnostic of a single file.
    pub fn from_diagnostic(file: usize, diagnostic: &Diagnostic, app: Option<&str>) -> Self {
        Finding {
            code: "file",
            key: diagnostic.key.clone(),
            reason: diagnostic.reason.clone(),
            found: diagnostic.found.clone(),
            allowed: diagnostic.allowed.clone(),
            location: Location::new(file, &diagnostic.span),
            related: diagnostic
                .related
                .iter()
                .map(|other| (Location::new(file, &other.span), other.message.clone()))
                .collect(),
            apps: app.map(str::to_owned).into_iter().collect(),
        }
    }
}

/// The files that were checked and all findings.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Names and contents of the files.
    pub files: Vec<(String, String)>,
    /// All findings.
    pub findings: Vec<Finding>,
    /// Information that is not a finding.
    pub notes: Vec<String>,
}

/// The most applications that are listed by name; of the others, only the number is shown.
const MAX_NAMED_APPLICATIONS: usize = 5;

#[derive(Serialize)]
struct JsonLocation<'r> {
    file: &'r str,
    line: usize,
    column: usize,
    #[serde(skip_serializing_if = "Option::is_none")]
    what: Option<&'r str>,
}

#[derive(Serialize)]
struct JsonFinding<'r> {
    code: &'r str,
    key: &'r str,
    reason: &'r str,
    found: &'r str,
    allowed: &'r str,
    applications: &'r BTreeSet<String>,
    place: JsonLocation<'r>,
    related: Vec<JsonLocation<'r>>,
}

#[derive(Serialize)]
struct Json<'r> {
    version: u32,
    good: bool,
    findings: Vec<JsonFinding<'r>>,
    notes: &'r [String],
}

impl Report {
    /// Whether there are no findings.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    /// Adds a file and returns its index.
    pub fn add_file(&mut self, name: impl Into<String>, text: impl Into<String>) -> usize {
        self.files.push((name.into(), text.into()));
        self.files.len() - 1
    }

    /// Merges findings that are the same in many files, or at one location for many applications, and sorts all by
    /// location.
    pub fn merge(&mut self) {
        let mut merged: Vec<Finding> = Vec::new();
        let mut first_by_id: HashMap<(&'static str, String, String, String), usize> =
            HashMap::new();
        for finding in std::mem::take(&mut self.findings) {
            let id = (
                finding.code,
                finding.key.clone(),
                finding.reason.clone(),
                finding.found.clone(),
            );
            match first_by_id.get(&id) {
                Some(&first) => merged[first].apps.extend(finding.apps),
                None => {
                    first_by_id.insert(id, merged.len());
                    merged.push(finding);
                }
            }
        }
        merged.sort_by(|a, b| (&a.location, &a.key).cmp(&(&b.location, &b.key)));
        self.findings = merged;
    }

    /// Line and column of a location, both starting at 1.
    pub fn line_and_column(&self, location: &Location) -> (usize, usize) {
        let text = self.files.get(location.file).map_or("", |f| f.1.as_str());
        let before = text.get(..location.start).unwrap_or_default();
        let line = before.rfind('\n').map_or(0, |at| at + 1);
        (
            before.matches('\n').count() + 1,
            before[line..].chars().count() + 1,
        )
    }

    /// Formats the report for people, with excerpts of the files.
    pub fn human(&self) -> String {
        let mut files = SimpleFiles::new();
        for (name, text) in &self.files {
            files.add(name, text);
        }
        let config = term::Config {
            chars: Chars::ascii(),
            ..term::Config::default()
        };
        let mut output = String::new();
        for finding in &self.findings {
            let range = |p: &Location| p.start..p.end;
            let mut labels = vec![
                Label::primary(finding.location.file, range(&finding.location))
                    .with_message(format!("found {}", finding.found)),
            ];
            labels.extend(
                finding
                    .related
                    .iter()
                    .map(|(p, text)| Label::secondary(p.file, range(p)).with_message(text)),
            );
            let mut notes = vec![format!("allowed: {}", finding.allowed)];
            if !finding.apps.is_empty() {
                notes.push(format!("affects: {}", format_names(&finding.apps)));
            }
            let diagnostic = CodespanDiagnostic::error()
                .with_code(finding.code)
                .with_message(format!("{}: {}", finding.key, finding.reason))
                .with_labels(labels)
                .with_notes(notes);
            match term::emit_into_string(&config, &files, &diagnostic) {
                Ok(text) => output += &text,
                // A finding whose location is outside its file is shown without an excerpt.
                Err(_) => {
                    let _ = writeln!(output, "error: {}: {}", finding.key, finding.reason);
                }
            }
        }
        for note in &self.notes {
            let _ = writeln!(output, "note: {note}");
        }
        output
    }

    /// Formats the report as JSON. The format is stable within its `version`.
    pub fn json(&self) -> String {
        let location = |p: &Location| {
            let (line, column) = self.line_and_column(p);
            JsonLocation {
                file: self.files.get(p.file).map_or("", |f| f.0.as_str()),
                line,
                column,
                what: None,
            }
        };
        let findings = self.findings.iter().map(|f| JsonFinding {
            code: f.code,
            key: &f.key,
            reason: &f.reason,
            found: &f.found,
            allowed: &f.allowed,
            applications: &f.apps,
            place: location(&f.location),
            related: f
                .related
                .iter()
                .map(|(p, what)| JsonLocation {
                    what: Some(what),
                    ..location(p)
                })
                .collect(),
        });
        let json = Json {
            version: 1,
            good: self.is_clean(),
            findings: findings.collect(),
            notes: &self.notes,
        };
        serde_json::to_string_pretty(&json)
            .unwrap_or_else(|e| format!("{{\"good\":false,\"fault\":\"{e}\"}}"))
    }
}

/// Formats application names: the first few, and the number of the others.
pub fn format_names(apps: &BTreeSet<String>) -> String {
    let few: Vec<&str> = apps
        .iter()
        .take(MAX_NAMED_APPLICATIONS)
        .map(String::as_str)
        .collect();
    match apps.len() {
        n if n > MAX_NAMED_APPLICATIONS => format!(
            "{} and {} more applications",
            few.join(", "),
            n - MAX_NAMED_APPLICATIONS
        ),
        _ => few.join(", "),
    }
}
