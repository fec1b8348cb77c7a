//! The description of all applications: classes once for the chain, upstreams, then each application. It may include
//! other files, and classes may inherit from one another. Values of keys that go into the operators' files are not
//! read here: they are carried over as they stand, and the one reader of those files tells what is wrong with them.

use crate::facts;
use crate::finding::{Finding, Place, Report};
use crate::set::folded;
use badgerramp_toml_diagnostics::{
    parse_document, suggest_names, DeTable, DeValue, DiagnosticSink, Section, Span,
};
use std::collections::HashMap;
use std::path::{Path, PathBuf};

/// Keys of an application that go into `[limits]`.
pub const LIMITS: [&str; 5] = ["memory", "descriptors", "open_calls", "body", "retry_after"];
/// Other keys of an application that are no facts.
const APP: [&str; 4] = ["listen", "zone", "send", "class"];
const FILE: [&str; 4] = ["include", "class", "upstream", "app"];
/// Longest name of an application: it is the name of a file too.
const NAME_MOST: usize = 64;

/// A key and its value as they stand in the description.
#[derive(Clone, Debug, PartialEq)]
pub struct Raw {
    /// The key.
    pub key: String,
    /// The value's text.
    pub text: String,
    /// Where it stands.
    pub place: Place,
}

/// A class with all that it inherits.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Where it is named.
    pub place: Place,
    /// Its keys.
    pub keys: Vec<Raw>,
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its name.
    pub name: String,
    /// Where it is named.
    pub place: Place,
    /// Keys that go into the operators' files.
    pub keys: Vec<Raw>,
    /// What it bears and honours.
    pub facts: facts::Upstream,
}

/// Requests that an application sends.
#[derive(Clone, Debug)]
pub struct Send {
    /// Where that begins.
    pub place: Place,
    /// The class's name, if it is there.
    pub class: Option<String>,
    /// Keys of the route.
    pub keys: Vec<Raw>,
}

/// An application.
#[derive(Clone, Debug)]
pub struct App {
    /// Its name.
    pub name: String,
    /// Where it is named.
    pub place: Place,
    /// Keys that stand at the top of its file.
    pub top: Vec<Raw>,
    /// ... and in `[limits]`.
    pub limits: Vec<Raw>,
    /// Its own zone.
    pub zone: Option<Raw>,
    /// What else is known of it.
    pub facts: Option<facts::App>,
    /// What it sends, in order.
    pub sends: Vec<Send>,
    /// Its own timing of classes.
    pub overrides: Vec<(String, Vec<Raw>)>,
}

/// All of it.
#[derive(Clone, Debug, Default)]
pub struct Description {
    /// Classes, in the order of the files.
    pub classes: Vec<Class>,
    /// Upstreams.
    pub upstreams: Vec<Upstream>,
    /// Applications, sorted by name.
    pub apps: Vec<App>,
}

/// Reads a description and all that it includes. The files are in the report, the description's own first.
///
/// # Errors
/// A file that can't be read, is no TOML, includes itself or one outside the description's folder.
pub fn load(path: &Path) -> Result<Report, Report> {
    let mut report = Report::default();
    let shown = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(fault) => {
            let file = report.file(shown, "");
            report.findings.push(unreadable(
                Place::new(file, &(0..0)),
                "the description",
                &fault.to_string(),
            ));
            return Err(report);
        }
    };
    let own = path.canonicalize().unwrap_or_else(|_| path.to_owned());
    let root = own.parent().map(Path::to_owned).unwrap_or_default();
    report.file(shown, text);
    let mut loader = Loader {
        root,
        report,
        known: vec![own.clone()],
        stack: vec![own],
    };
    loader.includes(0);
    if loader.report.good() {
        Ok(loader.report)
    } else {
        Err(loader.report)
    }
}

fn unreadable(place: Place, key: &str, why: &str) -> Finding {
    Finding {
        code: "file",
        key: key.to_owned(),
        reason: "this file can't be read".to_owned(),
        found: why.to_owned(),
        allowed: "a readable TOML file in UTF-8".to_owned(),
        place,
        related: Vec::new(),
        apps: Default::default(),
    }
}

struct Loader {
    root: PathBuf,
    report: Report,
    /// Files that are in the report.
    known: Vec<PathBuf>,
    /// Those that are being read, the description first.
    stack: Vec<PathBuf>,
}

impl Loader {
    fn includes(&mut self, file: usize) {
        let text = self.report.files[file].1.clone();
        let mut notes = DiagnosticSink::default();
        let table = parse_document(&mut notes, &text);
        let mut wanted = Vec::new();
        if notes.is_empty() {
            if let Some(value) = table.get("include") {
                match value.get_ref() {
                    DeValue::Array(list) => {
                        wanted.extend(list.iter().map(|v| (v.get_ref().as_str(), v.span())));
                    }
                    _ => wanted.push((None, value.span())),
                }
            }
        }
        self.report.findings.extend(
            notes
                .diagnostics()
                .iter()
                .map(|m| Finding::of_mistake(file, m, None)),
        );
        for (name, span) in wanted {
            self.include(file, name, &span);
        }
    }

    fn include(&mut self, file: usize, name: Option<&str>, span: &Span) {
        let mut refuse = |reason: &str, found: String| {
            self.report.findings.push(Finding {
                code: "include",
                key: "include".to_owned(),
                reason: reason.to_owned(),
                found,
                allowed:
                    "a list of files in the description's folder or below, like [\"shared/classes.toml\"]"
                        .to_owned(),
                place: Place::new(file, span),
                related: Vec::new(),
                apps: Default::default(),
            });
        };
        let Some(name) = name else {
            return refuse("this names no file", "no text".to_owned());
        };
        let folder = self
            .stack
            .last()
            .and_then(|p| p.parent())
            .map(Path::to_owned)
            .unwrap_or_default();
        let path = match folder.join(name).canonicalize() {
            Ok(path) => path,
            Err(fault) => return refuse("this file is not there", format!("{name:?}: {fault}")),
        };
        if Path::new(name).is_absolute() || !path.starts_with(&self.root) {
            return refuse(
                "this file lies outside the description's folder",
                format!("{name:?}"),
            );
        }
        if self.stack.contains(&path) {
            return refuse(
                "this file includes itself, by way of others or at once",
                format!("{name:?}"),
            );
        }
        // Included twice is included once.
        if self.known.contains(&path) {
            return;
        }
        match std::fs::read_to_string(&path) {
            Ok(text) => {
                let shown = path
                    .strip_prefix(&self.root)
                    .unwrap_or(&path)
                    .display()
                    .to_string();
                let number = self.report.file(shown, text);
                self.known.push(path.clone());
                self.stack.push(path);
                self.includes(number);
                self.stack.pop();
            }
            Err(fault) => refuse("this file can't be read", format!("{name:?}: {fault}")),
        }
    }
}

/// A class as it stands, before it has what it inherits.
struct Own {
    place: Place,
    inherits: Option<(String, Place)>,
    keys: Vec<Raw>,
}

impl Description {
    /// Reads the description out of the report's files. What is wrong is added to the report.
    pub fn read(report: &mut Report) -> Self {
        let mut reader = Reader::default();
        for (file, (_, text)) in report.files.iter().enumerate() {
            reader.file(file, text);
        }
        let classes = reader.resolve();
        let mut description = Description {
            classes,
            upstreams: reader.upstreams,
            apps: reader.apps,
        };
        description.apps.sort_by(|a, b| a.name.cmp(&b.name));
        report.findings.extend(reader.findings);
        description.check_names(report);
        description
    }

    /// Names of applications that are no names of files, and names that are alike.
    fn check_names(&self, report: &mut Report) {
        let mut add = |place: &Place, key: String, reason: &str, found: String, allowed: &str| {
            report.findings.push(Finding {
                code: "name-alike",
                key,
                reason: reason.to_owned(),
                found,
                allowed: allowed.to_owned(),
                place: place.clone(),
                related: Vec::new(),
                apps: Default::default(),
            });
        };
        let kinds = [
            (
                "app",
                self.apps
                    .iter()
                    .map(|a| (&a.name, &a.place))
                    .collect::<Vec<_>>(),
            ),
            (
                "class",
                self.classes.iter().map(|c| (&c.name, &c.place)).collect(),
            ),
            (
                "upstream",
                self.upstreams.iter().map(|u| (&u.name, &u.place)).collect(),
            ),
        ];
        for (kind, names) in kinds {
            let mut seen: HashMap<String, &str> = HashMap::new();
            for (name, place) in names {
                let key = format!("{kind}.{name}");
                if let Some(other) = seen.insert(folded(name), name) {
                    let found = format!("{name:?} beside {other:?}");
                    let reason = "two names that are one, or differ only in case or form";
                    add(
                        place,
                        key.clone(),
                        reason,
                        found,
                        "names that nobody takes for one another",
                    );
                }
                let plain = name
                    .chars()
                    .all(|c| c.is_alphanumeric() || "-_".contains(c));
                if !plain
                    || name.is_empty()
                    || name.chars().count() > NAME_MOST
                    || folded(name) == "manifest"
                {
                    let allowed = "letters, digits, '-' and '_', 64 at the most; not \"manifest\"";
                    add(place, key, "this is no name", format!("{name:?}"), allowed);
                }
            }
        }
    }
}

#[derive(Default)]
struct Reader {
    findings: Vec<Finding>,
    /// In the order of the files.
    order: Vec<String>,
    classes: HashMap<String, Own>,
    upstreams: Vec<Upstream>,
    apps: Vec<App>,
}

/// The keys of a table as they stand.
fn raw(file: usize, text: &str, table: &DeTable<'_>, but: &[&str]) -> Vec<Raw> {
    let wanted = table
        .iter()
        .filter(|(name, _)| !but.contains(&&**name.get_ref()));
    wanted
        .map(|(name, value)| Raw {
            key: name.get_ref().to_string(),
            text: text.get(value.span()).unwrap_or_default().to_owned(),
            place: Place::new(file, &value.span()),
        })
        .collect()
}

impl Reader {
    fn file(&mut self, file: usize, text: &str) {
        let mut notes = DiagnosticSink::default();
        let table = parse_document(&mut notes, text);
        if notes.is_empty() {
            let top = Section::new(&mut notes, &table, "", 0..0, &FILE);
            for (key, part, section) in tables(&mut notes, &top, "class") {
                self.class(&mut notes, file, text, (key, part), &section);
            }
            for (key, part, section) in tables(&mut notes, &top, "upstream") {
                self.upstream(&mut notes, file, text, (key, part), &section);
            }
            for (key, part, section) in tables(&mut notes, &top, "app") {
                self.app(&mut notes, file, text, (key, part), &section);
            }
        }
        self.findings.extend(
            notes
                .diagnostics()
                .iter()
                .map(|m| Finding::of_mistake(file, m, None)),
        );
    }

    fn class(
        &mut self,
        notes: &mut DiagnosticSink,
        file: usize,
        text: &str,
        (name, table): (&str, &DeTable<'_>),
        section: &Section<'_>,
    ) {
        let inherits = section
            .text(notes, "inherits")
            .map(|s| (s.value, Place::new(file, &s.span)));
        let place = Place::new(file, &section.span);
        let own = Own {
            place: place.clone(),
            inherits,
            keys: raw(file, text, table, &["inherits"]),
        };
        if self.classes.contains_key(name) {
            let key = format!("class.{name}");
            notes.add(
                &key,
                &section.span,
                "a class of this name stands in another file too",
                format!("{name:?}"),
                "each class once",
            );
            return;
        }
        self.order.push(name.to_owned());
        self.classes.insert(name.to_owned(), own);
    }

    /// Each class with all that it inherits, from the nearest on.
    fn resolve(&mut self) -> Vec<Class> {
        let mut resolved = Vec::new();
        let known: Vec<&str> = self.order.iter().map(String::as_str).collect();
        for name in &self.order {
            let mut keys: Vec<Raw> = Vec::new();
            let (mut at, mut path) = (name.as_str(), vec![name.as_str()]);
            loop {
                let own = &self.classes[at];
                let new: Vec<Raw> = own
                    .keys
                    .iter()
                    .filter(|k| keys.iter().all(|o| o.key != k.key))
                    .cloned()
                    .collect();
                keys.extend(new);
                let Some((parent, place)) = &own.inherits else {
                    break;
                };
                let mut refuse = |reason: &str, found: String, allowed: String| {
                    self.findings.push(Finding {
                        code: "inherits",
                        key: format!("class.{at}.inherits"),
                        reason: reason.to_owned(),
                        found,
                        allowed,
                        place: place.clone(),
                        related: Vec::new(),
                        apps: Default::default(),
                    });
                };
                if !self.classes.contains_key(parent) {
                    refuse(
                        "no class has this name",
                        format!("{parent:?}"),
                        suggest_names(parent, &known),
                    );
                    break;
                }
                if path.contains(&parent.as_str()) {
                    refuse(
                        "a class can't inherit from itself",
                        path.join(" from "),
                        "a class further out".to_owned(),
                    );
                    break;
                }
                at = parent;
                path.push(at);
            }
            resolved.push(Class {
                name: name.clone(),
                place: self.classes[name].place.clone(),
                keys,
            });
        }
        resolved
    }

    fn upstream(
        &mut self,
        notes: &mut DiagnosticSink,
        file: usize,
        text: &str,
        (name, table): (&str, &DeTable<'_>),
        section: &Section<'_>,
    ) {
        let facts = facts::Upstream::read(notes, section);
        for own in ["proxies", "zone"].into_iter().filter(|k| section.has(k)) {
            let span = section.get(own).map_or(0..0, |v| v.span());
            let reason = "this is not the upstream's to say";
            let allowed = "`proxies` is reckoned from the instances; `zone` is an application's";
            notes.add(
                &section.key_path(own),
                &span,
                reason,
                format!("`{own}`"),
                allowed,
            );
        }
        let keys = raw(
            file,
            text,
            table,
            &[&facts::UPSTREAM[..], &["proxies", "zone"]].concat(),
        );
        let place = Place::new(file, &section.span);
        self.upstreams.push(Upstream {
            name: name.to_owned(),
            place,
            keys,
            facts,
        });
    }

    fn app(
        &mut self,
        notes: &mut DiagnosticSink,
        file: usize,
        text: &str,
        (name, table): (&str, &DeTable<'_>),
        section: &Section<'_>,
    ) {
        let known: Vec<&str> = [&facts::APP[..], &LIMITS[..], &APP[..]].concat();
        let section = Section::new(notes, table, &section.key, section.span.clone(), &known);
        section.require(notes, "listen", "an address and a port");
        section.require(notes, "send", "a list of what it sends: [[app.NAME.send]]");
        let facts = facts::App::read(notes, &section);
        let all = raw(file, text, table, &[]);
        let pick = |names: &[&str]| {
            all.iter()
                .filter(|r| names.contains(&r.key.as_str()))
                .cloned()
                .collect::<Vec<_>>()
        };
        let mut sends = Vec::new();
        for (key, value) in section
            .list(notes, "send", "what it sends")
            .unwrap_or_default()
        {
            let Some(part) = value.get_ref().as_table() else {
                let found = badgerramp_toml_diagnostics::display_value(value.get_ref());
                notes.add(
                    &key,
                    &value.span(),
                    "this is no route",
                    found,
                    "a table: [[app.NAME.send]]",
                );
                continue;
            };
            let class = part
                .get("class")
                .and_then(|v| v.get_ref().as_str())
                .map(str::to_owned);
            // The span of a table in a list begins with its first line.
            let span = value.span().start..value.span().start;
            sends.push(Send {
                place: Place::new(file, &span),
                class,
                keys: raw(file, text, part, &[]),
            });
        }
        let mut overrides = Vec::new();
        for (class, part, _) in tables(notes, &section, "class") {
            overrides.push((class.to_owned(), raw(file, text, part, &[])));
        }
        self.apps.push(App {
            name: name.to_owned(),
            place: Place::new(file, &section.span),
            top: pick(&["listen"]),
            limits: pick(&LIMITS),
            zone: pick(&["zone"]).pop(),
            facts,
            sends,
            overrides,
        });
    }
}

/// The tables in a table, each with its name.
fn tables<'t>(
    notes: &mut DiagnosticSink,
    parent: &Section<'t>,
    name: &str,
) -> Vec<(&'t str, &'t DeTable<'t>, Section<'t>)> {
    let Some(value) = parent.get(name) else {
        return Vec::new();
    };
    let key = parent.key_path(name);
    let Some(table) = value.get_ref().as_table() else {
        let found = badgerramp_toml_diagnostics::display_value(value.get_ref());
        notes.add(
            &key,
            &value.span(),
            "this is not a table",
            found,
            format!("a table for each: [{key}.NAME]"),
        );
        return Vec::new();
    };
    let mut parts = Vec::new();
    for (name, part) in table {
        let path = format!("{key}.{}", name.get_ref());
        let Some(inner) = part.get_ref().as_table() else {
            let found = badgerramp_toml_diagnostics::display_value(part.get_ref());
            notes.add(
                &path,
                &part.span(),
                "this is not a table",
                found,
                format!("a table: [{path}]"),
            );
            continue;
        };
        let every: Vec<&str> = inner.keys().map(|k| &**k.get_ref()).collect();
        parts.push((
            &**name.get_ref(),
            inner,
            Section::new(notes, inner, &path, name.span(), &every),
        ));
    }
    parts
}
