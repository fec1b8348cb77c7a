//! What is wrong in a set of files, with all places that have to do with it, and how that is told.

use badgerramp_toml_diagnostics::{Diagnostic, Span};
use codespan_reporting::diagnostic::{Diagnostic as CodespanDiagnostic, Label};
use codespan_reporting::files::SimpleFiles;
use codespan_reporting::term::{self, Chars};
use serde::Serialize;
use std::collections::{BTreeSet, HashMap};
use std::fmt::Write;

/// A place in one of the files of a [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Place {
    /// Which file, by its number in the report.
    pub file: usize,
    /// Where it begins, in bytes.
    pub start: usize,
    /// Where it ends.
    pub end: usize,
}

impl Place {
    /// A place in a file.
    pub fn new(file: usize, span: &Span) -> Self {
        Place {
            file,
            start: span.start,
            end: span.end,
        }
    }
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Its kind: a stable word.
    pub code: &'static str,
    /// The key that it is about.
    pub key: String,
    /// What is wrong.
    pub reason: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
    /// Where.
    pub place: Place,
    /// What else has to do with it.
    pub related: Vec<(Place, String)>,
    /// The applications that it reaches.
    pub apps: BTreeSet<String>,
}

impl Finding {
    /// A mistake of a single file.
    pub fn of_mistake(file: usize, mistake: &Diagnostic, app: Option<&str>) -> Self {
        Finding {
            code: "file",
            key: mistake.key.clone(),
            reason: mistake.reason.clone(),
            found: mistake.found.clone(),
            allowed: mistake.allowed.clone(),
            place: Place::new(file, &mistake.span),
            related: mistake
                .related
                .iter()
                .map(|other| (Place::new(file, &other.span), other.message.clone()))
                .collect(),
            apps: app.map(str::to_owned).into_iter().collect(),
        }
    }
}

/// Files and all that is wrong with them.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Names and texts.
    pub files: Vec<(String, String)>,
    /// What is wrong.
    pub findings: Vec<Finding>,
    /// What is worth knowing and no mistake.
    pub notes: Vec<String>,
}

/// Applications that are named in words; of more than that the number is told.
const NAMED_MOST: usize = 5;

#[derive(Serialize)]
struct JsonPlace<'r> {
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
    place: JsonPlace<'r>,
    related: Vec<JsonPlace<'r>>,
}

#[derive(Serialize)]
struct Json<'r> {
    version: u32,
    good: bool,
    findings: Vec<JsonFinding<'r>>,
    notes: &'r [String],
}

impl Report {
    /// Is nothing wrong?
    pub fn good(&self) -> bool {
        self.findings.is_empty()
    }

    /// Takes a file in and tells its number.
    pub fn file(&mut self, name: impl Into<String>, text: impl Into<String>) -> usize {
        self.files.push((name.into(), text.into()));
        self.files.len() - 1
    }

    /// The same thing in many files, or at one place for many applications, is told once.
    pub fn merge(&mut self) {
        let mut merged: Vec<Finding> = Vec::new();
        let mut known: HashMap<(&'static str, String, String, String), usize> = HashMap::new();
        for finding in std::mem::take(&mut self.findings) {
            let id = (
                finding.code,
                finding.key.clone(),
                finding.reason.clone(),
                finding.found.clone(),
            );
            match known.get(&id) {
                Some(&first) => merged[first].apps.extend(finding.apps),
                None => {
                    known.insert(id, merged.len());
                    merged.push(finding);
                }
            }
        }
        merged.sort_by(|a, b| (&a.place, &a.key).cmp(&(&b.place, &b.key)));
        self.findings = merged;
    }

    /// Line and column of a place, from 1.
    pub fn line_of(&self, place: &Place) -> (usize, usize) {
        let text = self.files.get(place.file).map_or("", |f| f.1.as_str());
        let before = text.get(..place.start).unwrap_or_default();
        let line = before.rfind('\n').map_or(0, |at| at + 1);
        (
            before.matches('\n').count() + 1,
            before[line..].chars().count() + 1,
        )
    }

    /// For people, with excerpts.
    pub fn human(&self) -> String {
        let mut files = SimpleFiles::new();
        for (name, text) in &self.files {
            files.add(name, text);
        }
        let config = term::Config {
            chars: Chars::ascii(),
            ..term::Config::default()
        };
        let mut told = String::new();
        for finding in &self.findings {
            let range = |p: &Place| p.start..p.end;
            let mut labels = vec![Label::primary(finding.place.file, range(&finding.place))
                .with_message(format!("found {}", finding.found))];
            labels.extend(
                finding
                    .related
                    .iter()
                    .map(|(p, text)| Label::secondary(p.file, range(p)).with_message(text)),
            );
            let mut notes = vec![format!("allowed: {}", finding.allowed)];
            if !finding.apps.is_empty() {
                notes.push(format!("reaches: {}", names(&finding.apps)));
            }
            let diagnostic = CodespanDiagnostic::error()
                .with_code(finding.code)
                .with_message(format!("{}: {}", finding.key, finding.reason))
                .with_labels(labels)
                .with_notes(notes);
            match term::emit_into_string(&config, &files, &diagnostic) {
                Ok(text) => told += &text,
                // A place that lies in no text still has its reason told.
                Err(_) => {
                    let _ = writeln!(told, "error: {}: {}", finding.key, finding.reason);
                }
            }
        }
        for note in &self.notes {
            let _ = writeln!(told, "note: {note}");
        }
        told
    }

    /// For machines; the form is stable within its `version`.
    pub fn json(&self) -> String {
        let place = |p: &Place| {
            let (line, column) = self.line_of(p);
            JsonPlace {
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
            place: place(&f.place),
            related: f
                .related
                .iter()
                .map(|(p, what)| JsonPlace {
                    what: Some(what),
                    ..place(p)
                })
                .collect(),
        });
        let json = Json {
            version: 1,
            good: self.good(),
            findings: findings.collect(),
            notes: &self.notes,
        };
        serde_json::to_string_pretty(&json)
            .unwrap_or_else(|e| format!("{{\"good\":false,\"fault\":\"{e}\"}}"))
    }
}

/// A few names, or how many there are.
pub fn names(apps: &BTreeSet<String>) -> String {
    let few: Vec<&str> = apps.iter().take(NAMED_MOST).map(String::as_str).collect();
    match apps.len() {
        n if n > NAMED_MOST => format!(
            "{} and {} more applications",
            few.join(", "),
            n - NAMED_MOST
        ),
        _ => few.join(", "),
    }
}
