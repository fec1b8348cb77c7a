//! The description of all applications: the shared classes, the upstreams and each application. It may include other
//! files, and classes may inherit from one another. Values of keys that go into the operators' files are copied
//! verbatim, and `badgerramp-config` checks them when it parses the generated files.

use crate::config_set::fold_name;
use crate::contract::{self, ApplicationContract, UpstreamContract};
use crate::finding::{Finding, Location, Report};
use badgerramp_toml_diagnostics::{
    parse_document, suggest_names, DeTable, DeValue, DiagnosticSink, Section, Span,
};
use std::collections::HashMap;
use std::path::{Path, PathBuf};

/// Keys of an application that go into `[limits]` of its file.
pub const LIMIT_KEYS: [&str; 5] = ["memory", "descriptors", "open_calls", "body", "retry_after"];
/// Other keys of an application that are not part of its contract.
const APPLICATION_KEYS: [&str; 4] = ["listen", "zone", "send", "class"];
/// Keys at the top of a description file.
const TOP_LEVEL_KEYS: [&str; 4] = ["include", "class", "upstream", "app"];
/// Longest name in characters. The name of an application is also the name of its file.
const MAX_NAME_CHARS: usize = 64;

/// A key and the verbatim text of its value in the description.
#[derive(Clone, Debug, PartialEq)]
pub struct Raw {
    /// The key.
    pub key: String,
    /// The value's text.
    pub text: String,
    /// Where the value is.
    pub location: Location,
}

/// A class with all keys that it inherits.
#[derive(Clone, Debug)]
pub struct Class {
    /// The name of the class.
    pub name: String,
    /// Where it is defined.
    pub location: Location,
    /// The own and inherited keys of the class.
    pub keys: Vec<Raw>,
}

/// An upstream of the description.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The name of the upstream.
    pub name: String,
    /// Where it is defined.
    pub location: Location,
    /// Keys that go into the operators' files.
    pub keys: Vec<Raw>,
    /// The contract of the upstream.
    pub contract: UpstreamContract,
}

/// A `send` entry: requests that an application sends, which become one route of its file.
#[derive(Clone, Debug)]
pub struct Send {
    /// Where the entry starts.
    pub location: Location,
    /// The name of its class, if it is given.
    pub class: Option<String>,
    /// Keys of the route.
    pub keys: Vec<Raw>,
}

/// An application of the description.
#[derive(Clone, Debug)]
pub struct App {
    /// The name of the application.
    pub name: String,
    /// Where it is defined.
    pub location: Location,
    /// Keys at the top of its file.
    pub top: Vec<Raw>,
    /// Keys in `[limits]` of its file.
    pub limits: Vec<Raw>,
    /// The zone of the application, if it is given.
    pub zone: Option<Raw>,
    /// The contract of the application; `None` if a required key is missing or invalid.
    pub contract: Option<ApplicationContract>,
    /// The requests that it sends, in the order of the description.
    pub sends: Vec<Send>,
    /// Class names with the keys that the application overrides.
    pub overrides: Vec<(String, Vec<Raw>)>,
}

/// A complete description with all its includes.
#[derive(Clone, Debug, Default)]
pub struct Description {
    /// Classes, in the order of the files.
    pub classes: Vec<Class>,
    /// Upstreams, in the order of the files.
    pub upstreams: Vec<Upstream>,
    /// Applications, sorted by name.
    pub apps: Vec<App>,
}

/// Reads a description and all files that it includes into a report. The description itself is the report's first file.
///
/// # Errors
/// Returns the report if a file can't be read, is not TOML, includes itself, or is outside the description's folder.
pub fn load(path: &Path) -> Result<Report, Report> {
    let mut report = Report::default();
    let shown = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            let file = report.add_file(shown, "");
            report.findings.push(unreadable(
                Location::new(file, &(0..0)),
                "the description",
                &error.to_string(),
            ));
            return Err(report);
        }
    };
    let canonical_path = path.canonicalize().unwrap_or_else(|_| path.to_owned());
    let root = canonical_path
        .parent()
        .map(Path::to_owned)
        .unwrap_or_default();
    report.add_file(shown, text);
    let mut loader = Loader {
        root,
        report,
        loaded: vec![canonical_path.clone()],
        stack: vec![canonical_path],
    };
    loader.load_includes(0);
    if loader.report.is_clean() {
        Ok(loader.report)
    } else {
        Err(loader.report)
    }
}

fn unreadable(location: Location, key: &str, why: &str) -> Finding {
    Finding {
        code: "file",
        key: key.to_owned(),
        reason: "this file can't be read".to_owned(),
        found: why.to_owned(),
        allowed: "a readable TOML file in UTF-8".to_owned(),
        location,
        related: Vec::new(),
        apps: Default::default(),
    }
}

struct Loader {
    root: PathBuf,
    report: Report,
    /// Files that are in the report already.
    loaded: Vec<PathBuf>,
    /// The chain of includes that is being read, with the description first.
    stack: Vec<PathBuf>,
}

impl Loader {
    fn load_includes(&mut self, file: usize) {
        let text = self.report.files[file].1.clone();
        let mut sink = DiagnosticSink::default();
        let table = parse_document(&mut sink, &text);
        let mut includes = Vec::new();
        if sink.is_empty() {
            if let Some(value) = table.get("include") {
                match value.get_ref() {
                    DeValue::Array(list) => {
                        includes.extend(list.iter().map(|v| (v.get_ref().as_str(), v.span())));
                    }
                    _ => includes.push((None, value.span())),
                }
            }
        }
        self.report.findings.extend(
            sink.diagnostics()
                .iter()
                .map(|m| Finding::from_diagnostic(file, m, None)),
        );
        for (name, span) in includes {
            self.load_include(file, name, &span);
        }
    }

    fn load_include(&mut self, file: usize, name: Option<&str>, span: &Span) {
        let mut report_error = |reason: &str, found: String| {
            self.report.findings.push(Finding {
                code: "include",
                key: "include".to_owned(),
                reason: reason.to_owned(),
                found,
                allowed:
                    "a list of files in the description's folder or below, like [\"shared/classes.toml\"]"
                        .to_owned(),
                location: Location::new(file, span),
                related: Vec::new(),
                apps: Default::default(),
            });
        };
        let Some(name) = name else {
            return report_error("this is not a file name", "not a string".to_owned());
        };
        let folder = self
            .stack
            .last()
            .and_then(|p| p.parent())
            .map(Path::to_owned)
            .unwrap_or_default();
        let path = match folder.join(name).canonicalize() {
            Ok(path) => path,
            Err(error) => {
                return report_error("this file does not exist", format!("{name:?}: {error}"))
            }
        };
        if Path::new(name).is_absolute() || !path.starts_with(&self.root) {
            return report_error(
                "this file is outside the description's folder",
                format!("{name:?}"),
            );
        }
        if self.stack.contains(&path) {
            return report_error(
                "this file includes itself, directly or through other files",
                format!("{name:?}"),
            );
        }
        // A file that is included several times is read once.
        if self.loaded.contains(&path) {
            return;
        }
        match std::fs::read_to_string(&path) {
            Ok(text) => {
                let shown = path
                    .strip_prefix(&self.root)
                    .unwrap_or(&path)
                    .display()
                    .to_string();
                let index = self.report.add_file(shown, text);
                self.loaded.push(path.clone());
                self.stack.push(path);
                self.load_includes(index);
                self.stack.pop();
            }
            Err(error) => report_error("this file can't be read", format!("{name:?}: {error}")),
        }
    }
}

/// A class before inheritance is resolved.
struct UnresolvedClass {
    location: Location,
    inherits: Option<(String, Location)>,
    keys: Vec<Raw>,
}

impl Description {
    /// Reads the description from the report's files. Findings are added to the report.
    pub fn read(report: &mut Report) -> Self {
        let mut reader = Reader::default();
        for (file, (_, text)) in report.files.iter().enumerate() {
            reader.read_file(file, text);
        }
        let classes = reader.resolve_inheritance();
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

    /// Reports names that can't be file names, and names that differ only in case or Unicode form.
    fn check_names(&self, report: &mut Report) {
        let mut add =
            |location: &Location, key: String, reason: &str, found: String, allowed: &str| {
                report.findings.push(Finding {
                    code: "name-alike",
                    key,
                    reason: reason.to_owned(),
                    found,
                    allowed: allowed.to_owned(),
                    location: location.clone(),
                    related: Vec::new(),
                    apps: Default::default(),
                });
            };
        let kinds = [
            (
                "app",
                self.apps
                    .iter()
                    .map(|a| (&a.name, &a.location))
                    .collect::<Vec<_>>(),
            ),
            (
                "class",
                self.classes
                    .iter()
                    .map(|c| (&c.name, &c.location))
                    .collect(),
            ),
            (
                "upstream",
                self.upstreams
                    .iter()
                    .map(|u| (&u.name, &u.location))
                    .collect(),
            ),
        ];
        for (kind, names) in kinds {
            let mut seen: HashMap<String, &str> = HashMap::new();
            for (name, location) in names {
                let key = format!("{kind}.{name}");
                if let Some(other) = seen.insert(fold_name(name), name) {
                    let found = format!("{name:?} and {other:?}");
                    let reason =
                        "the same name twice, or names that differ only in case or Unicode form";
                    add(
                        location,
                        key.clone(),
                        reason,
                        found,
                        "names that differ in more than case and Unicode form",
                    );
                }
                let allowed_characters = name
                    .chars()
                    .all(|c| c.is_alphanumeric() || "-_".contains(c));
                if !allowed_characters
                    || name.is_empty()
                    || name.chars().count() > MAX_NAME_CHARS
                    || fold_name(name) == "manifest"
                {
                    let allowed = "at most 64 letters, digits, '-' and '_'; not \"manifest\"";
                    add(
                        location,
                        key,
                        "this is not a valid name",
                        format!("{name:?}"),
                        allowed,
                    );
                }
            }
        }
    }
}

#[derive(Default)]
struct Reader {
    findings: Vec<Finding>,
    /// Names of the classes, in the order of the files.
    class_order: Vec<String>,
    classes: HashMap<String, UnresolvedClass>,
    upstreams: Vec<Upstream>,
    apps: Vec<App>,
}

/// The keys of a table with the verbatim text of their values, except those in `excluded`.
fn raw_keys(file: usize, text: &str, table: &DeTable<'_>, excluded: &[&str]) -> Vec<Raw> {
    let included = table
        .iter()
        .filter(|(name, _)| !excluded.contains(&&**name.get_ref()));
    included
        .map(|(name, value)| Raw {
            key: name.get_ref().to_string(),
            text: text.get(value.span()).unwrap_or_default().to_owned(),
            location: Location::new(file, &value.span()),
        })
        .collect()
}

impl Reader {
    fn read_file(&mut self, file: usize, text: &str) {
        let mut sink = DiagnosticSink::default();
        let table = parse_document(&mut sink, text);
        if sink.is_empty() {
            let top = Section::new(&mut sink, &table, "", 0..0, &TOP_LEVEL_KEYS);
            for (key, part, section) in subtables(&mut sink, &top, "class") {
                self.read_class(&mut sink, file, text, (key, part), &section);
            }
            for (key, part, section) in subtables(&mut sink, &top, "upstream") {
                self.read_upstream(&mut sink, file, text, (key, part), &section);
            }
            for (key, part, section) in subtables(&mut sink, &top, "app") {
                self.read_application(&mut sink, file, text, (key, part), &section);
            }
        }
        self.findings.extend(
            sink.diagnostics()
                .iter()
                .map(|m| Finding::from_diagnostic(file, m, None)),
        );
    }

    fn read_class(
        &mut self,
        sink: &mut DiagnosticSink,
        file: usize,
        text: &str,
        (name, table): (&str, &DeTable<'_>),
        section: &Section<'_>,
    ) {
        let inherits = section
            .text(sink, "inherits")
            .map(|s| (s.value, Location::new(file, &s.span)));
        let location = Location::new(file, &section.span);
        let class = UnresolvedClass {
            location: location.clone(),
            inherits,
            keys: raw_keys(file, text, table, &["inherits"]),
        };
        if self.classes.contains_key(name) {
            let key = format!("class.{name}");
            sink.add(
                &key,
                &section.span,
                "another file defines a class of this name too",
                format!("{name:?}"),
                "a unique name",
            );
            return;
        }
        self.class_order.push(name.to_owned());
        self.classes.insert(name.to_owned(), class);
    }

    /// Resolves inheritance. A key of a class takes precedence over the same key of the classes that it inherits from.
    fn resolve_inheritance(&mut self) -> Vec<Class> {
        let mut resolved = Vec::new();
        let known: Vec<&str> = self.class_order.iter().map(String::as_str).collect();
        for name in &self.class_order {
            let mut keys: Vec<Raw> = Vec::new();
            let (mut current, mut chain) = (name.as_str(), vec![name.as_str()]);
            loop {
                let class = &self.classes[current];
                let inherited: Vec<Raw> = class
                    .keys
                    .iter()
                    .filter(|k| keys.iter().all(|o| o.key != k.key))
                    .cloned()
                    .collect();
                keys.extend(inherited);
                let Some((parent, location)) = &class.inherits else {
                    break;
                };
                let mut report_error = |reason: &str, found: String, allowed: String| {
                    self.findings.push(Finding {
                        code: "inherits",
                        key: format!("class.{current}.inherits"),
                        reason: reason.to_owned(),
                        found,
                        allowed,
                        location: location.clone(),
                        related: Vec::new(),
                        apps: Default::default(),
                    });
                };
                if !self.classes.contains_key(parent) {
                    report_error(
                        "there is no class of this name",
                        format!("{parent:?}"),
                        suggest_names(parent, &known),
                    );
                    break;
                }
                if chain.contains(&parent.as_str()) {
                    report_error(
                        "a class can't inherit from itself",
                        chain.join(" from "),
                        "a class that does not inherit from this one".to_owned(),
                    );
                    break;
                }
                current = parent;
                chain.push(current);
            }
            resolved.push(Class {
                name: name.clone(),
                location: self.classes[name].location.clone(),
                keys,
            });
        }
        resolved
    }

    fn read_upstream(
        &mut self,
        sink: &mut DiagnosticSink,
        file: usize,
        text: &str,
        (name, table): (&str, &DeTable<'_>),
        section: &Section<'_>,
    ) {
        let contract = UpstreamContract::read(sink, section);
        for key in ["proxies", "zone"].into_iter().filter(|k| section.has(k)) {
            let span = section.get(key).map_or(0..0, |v| v.span());
            let reason = "an upstream can't set this key";
            let allowed =
                "`proxies` is calculated from the instances; `zone` is a key of applications";
            sink.add(
                &section.key_path(key),
                &span,
                reason,
                format!("`{key}`"),
                allowed,
            );
        }
        let keys = raw_keys(
            file,
            text,
            table,
            &[&contract::UPSTREAM_KEYS[..], &["proxies", "zone"]].concat(),
        );
        let location = Location::new(file, &section.span);
        self.upstreams.push(Upstream {
            name: name.to_owned(),
            location,
            keys,
            contract,
        });
    }

    fn read_application(
        &mut self,
        sink: &mut DiagnosticSink,
        file: usize,
        text: &str,
        (name, table): (&str, &DeTable<'_>),
        section: &Section<'_>,
    ) {
        let known: Vec<&str> = [
            &contract::APPLICATION_KEYS[..],
            &LIMIT_KEYS[..],
            &APPLICATION_KEYS[..],
        ]
        .concat();
        let section = Section::new(sink, table, &section.key, section.span.clone(), &known);
        section.require(sink, "listen", "an address and a port");
        section.require(
            sink,
            "send",
            "the requests that it sends: [[app.NAME.send]]",
        );
        let contract = ApplicationContract::read(sink, &section);
        let all_keys = raw_keys(file, text, table, &[]);
        let pick = |names: &[&str]| {
            all_keys
                .iter()
                .filter(|r| names.contains(&r.key.as_str()))
                .cloned()
                .collect::<Vec<_>>()
        };
        let mut sends = Vec::new();
        for (key, value) in section
            .list(sink, "send", "what it sends")
            .unwrap_or_default()
        {
            let Some(part) = value.get_ref().as_table() else {
                let found = badgerramp_toml_diagnostics::display_value(value.get_ref());
                sink.add(
                    &key,
                    &value.span(),
                    "this is not a route",
                    found,
                    "a table: [[app.NAME.send]]",
                );
                continue;
            };
            let class = part
                .get("class")
                .and_then(|v| v.get_ref().as_str())
                .map(str::to_owned);
            // The span of a table in a list starts at its first line.
            let span = value.span().start..value.span().start;
            sends.push(Send {
                location: Location::new(file, &span),
                class,
                keys: raw_keys(file, text, part, &[]),
            });
        }
        let mut overrides = Vec::new();
        for (class, part, _) in subtables(sink, &section, "class") {
            overrides.push((class.to_owned(), raw_keys(file, text, part, &[])));
        }
        self.apps.push(App {
            name: name.to_owned(),
            location: Location::new(file, &section.span),
            top: pick(&["listen"]),
            limits: pick(&LIMIT_KEYS),
            zone: pick(&["zone"]).pop(),
            contract,
            sends,
            overrides,
        });
    }
}

/// The subtables of a table, each with its name.
fn subtables<'t>(
    sink: &mut DiagnosticSink,
    parent: &Section<'t>,
    name: &str,
) -> Vec<(&'t str, &'t DeTable<'t>, Section<'t>)> {
    let Some(value) = parent.get(name) else {
        return Vec::new();
    };
    let key = parent.key_path(name);
    let Some(table) = value.get_ref().as_table() else {
        let found = badgerramp_toml_diagnostics::display_value(value.get_ref());
        sink.add(
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
            sink.add(
                &path,
                &part.span(),
                "this is not a table",
                found,
                format!("a table: [{path}]"),
            );
            continue;
        };
        let keys: Vec<&str> = inner.keys().map(|k| &**k.get_ref()).collect();
        parts.push((
            &**name.get_ref(),
            inner,
            Section::new(sink, inner, &path, name.span(), &keys),
        ));
    }
    parts
}
