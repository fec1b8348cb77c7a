//! What was written for whom, and what the checks have to know beside the files.

use crate::description::{Description, Upstream};
use crate::facts;
use crate::finding::{Finding, Place, Report};
use crate::set::{Application, Described, Set};
use badgerramp_config::read_upstream;
use badgerramp_toml_diagnostics::{parse_document, DiagnosticSink, Section};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Its name in the folder.
pub const NAME: &str = "manifest.toml";
/// The form that this program writes and reads.
const VERSION: u64 = 1;

/// A file's digest as it stands in a manifest.
pub fn digest(text: &str) -> String {
    let sum = Sha256::digest(text.as_bytes());
    sum.iter().fold("sha256:".to_owned(), |mut shown, byte| {
        let _ = write!(shown, "{byte:02x}");
        shown
    })
}

/// The text of a manifest. `files` are the applications' texts, in the order of the description.
pub fn render(description: &Description, files: &[String]) -> String {
    let mut text =
        "# Written by badgerramp-config: what it wrote, and what `check` knows beside the files.\n"
            .to_owned();
    let _ = writeln!(text, "version = {VERSION}");
    for (app, file) in description.apps.iter().zip(files) {
        let _ = writeln!(
            text,
            "\n[app.{:?}]\nfile = {:?}\ndigest = {:?}",
            app.name,
            file_name(&app.name),
            digest(file)
        );
        if let Some(facts) = &app.facts {
            facts.write(&mut text);
        }
    }
    for upstream in &description.upstreams {
        let _ = writeln!(text, "\n[contract.{:?}]", upstream.name);
        upstream.facts.write(&mut text);
        let _ = writeln!(text, "\n[upstream.{:?}]", upstream.name);
        text += &figures(upstream);
    }
    text
}

/// The keys of an upstream that the operators' files hold too.
pub fn figures(upstream: &Upstream) -> String {
    let line = |raw: &crate::description::Raw| {
        format!("{} = {}\n", raw.key, raw.text.replace("\r\n", "\n"))
    };
    upstream.keys.iter().map(line).collect()
}

/// The name of an application's file.
pub fn file_name(app: &str) -> String {
    format!("{app}.toml")
}

/// Files and digests that a manifest names; empty if there is none or it can't be read.
pub fn digests(folder: &Path) -> BTreeMap<String, String> {
    let Ok(text) = std::fs::read_to_string(folder.join(NAME)) else {
        return BTreeMap::new();
    };
    let mut notes = DiagnosticSink::default();
    let table = parse_document(&mut notes, &text);
    let apps = table.get("app").and_then(|a| a.get_ref().as_table());
    let entry = |app: &badgerramp_toml_diagnostics::DeTable<'_>| {
        let text = |name: &str| {
            app.get(name)
                .and_then(|v| v.get_ref().as_str())
                .map(str::to_owned)
        };
        Some((text("file")?, text("digest")?))
    };
    let tables = apps
        .into_iter()
        .flat_map(|apps| apps.values().filter_map(|a| a.get_ref().as_table()));
    tables.filter_map(entry).collect()
}

/// Reads all files of a folder with what its manifest tells. What is wrong goes into the report.
pub fn read_folder(report: &mut Report, folder: &Path) -> Set {
    let path = folder.join(NAME);
    let shown = path.display().to_string();
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(fault) => {
            let file = report.file(shown, "");
            report.findings.push(missing(
                Place::new(file, &(0..0)),
                "manifest",
                &fault.to_string(),
            ));
            return Set::default();
        }
    };
    let file = report.file(shown, text.clone());
    let mut notes = DiagnosticSink::default();
    let table = parse_document(&mut notes, &text);
    let mut set = Set::default();
    if notes.is_empty() {
        let known = ["version", "app", "contract", "upstream"];
        let top = Section::new(&mut notes, &table, "", 0..0, &known);
        top.require(&mut notes, "version", "1");
        top.integer(&mut notes, "version", VERSION..=VERSION);
        set = read(report, &mut notes, file, folder, &top);
    }
    report.findings.extend(
        notes
            .diagnostics()
            .iter()
            .map(|m| Finding::of_mistake(file, m, None)),
    );
    set
}

fn missing(place: Place, key: &str, why: &str) -> Finding {
    Finding {
        code: "file",
        key: key.to_owned(),
        reason: "this file can't be read".to_owned(),
        found: why.to_owned(),
        allowed: "a file that `write` has written".to_owned(),
        place,
        related: Vec::new(),
        apps: Default::default(),
    }
}

fn read(
    report: &mut Report,
    notes: &mut DiagnosticSink,
    file: usize,
    folder: &Path,
    top: &Section<'_>,
) -> Set {
    let mut set = Set::default();
    let mut listed = std::collections::HashSet::new();
    for (name, section) in parts(
        notes,
        top,
        "app",
        &[&["file", "digest"][..], &facts::APP[..]].concat(),
    ) {
        section.require(notes, "file", "the name of its file");
        section.require(notes, "digest", "the digest of its file");
        let facts = facts::App::read(notes, &section);
        set.broken |= facts.is_none();
        let (Some(own), Some(sum)) = (section.text(notes, "file"), section.text(notes, "digest"))
        else {
            continue;
        };
        if own.value.contains(['/', '\\']) {
            let allowed = "a file in the manifest's folder";
            notes.add(
                &own.key,
                &own.span,
                "this is no name of a file",
                format!("{:?}", own.value),
                allowed,
            );
            continue;
        }
        listed.insert(own.value.clone());
        let path = folder.join(&own.value);
        match std::fs::read_to_string(&path) {
            Ok(text) => {
                if digest(&text) != sum.value {
                    report.notes.push(format!(
                        "{} was changed by hand since it was written",
                        path.display()
                    ));
                }
                application(
                    report,
                    &mut set,
                    name,
                    &path,
                    &text,
                    facts.map(|f| (file, f)),
                );
            }
            Err(fault) => {
                set.broken = true;
                let place = Place::new(file, &own.span);
                report.findings.push(missing(
                    place,
                    &format!("app.{name}.file"),
                    &format!("{}: {fault}", path.display()),
                ));
            }
        }
    }
    let mut contracts: BTreeMap<String, facts::Upstream> = BTreeMap::new();
    for (name, section) in parts(notes, top, "contract", &facts::UPSTREAM) {
        contracts.insert(name.to_owned(), facts::Upstream::read(notes, &section));
    }
    if let Some(upstreams) = top.get("upstream").and_then(|u| u.get_ref().as_table()) {
        let names: Vec<&str> = upstreams.keys().map(|k| &**k.get_ref()).collect();
        if let Some(parent) = top.section(notes, "upstream", &names) {
            for (name, span, _) in parent.iter() {
                let place = Place::new(file, &span);
                let Some(upstream) = read_upstream(notes, &parent, name) else {
                    continue;
                };
                let Some(facts) = contracts.remove(name) else {
                    let key = format!("contract.{name}");
                    notes.add(
                        &key,
                        &span,
                        "this upstream has no contract",
                        "nothing",
                        format!("[{key}]"),
                    );
                    continue;
                };
                set.upstreams.push(Described {
                    name: name.to_owned(),
                    place,
                    facts,
                    upstream,
                });
            }
        }
    }
    let others = std::fs::read_dir(folder)
        .into_iter()
        .flatten()
        .filter_map(|e| e.ok()?.file_name().into_string().ok());
    let mut strange: Vec<String> = others
        .filter(|n| n.ends_with(".toml") && n != NAME && !listed.contains(n))
        .collect();
    strange.sort();
    for name in strange {
        report.notes.push(format!(
            "{} is not in the manifest and was not checked",
            folder.join(name).display()
        ));
    }
    set.applications.sort_by(|a, b| a.name.cmp(&b.name));
    set
}

/// Takes one application in, if its file is good by itself.
pub fn application(
    report: &mut Report,
    set: &mut Set,
    name: &str,
    path: &Path,
    text: &str,
    facts: Option<(usize, facts::App)>,
) {
    let shown = path.display().to_string();
    let file = report.file(shown.clone(), text);
    match badgerramp_config::parse(&shown, text) {
        Ok(config) if config.deployment == badgerramp_config::Deployment::Standalone => {
            set.applications.push(Application {
                name: name.to_owned(),
                file,
                config,
                facts,
            });
        }
        Ok(_) => report.notes.push(format!(
            "{shown} is for the platform: it was checked by itself only"
        )),
        Err(mistakes) => {
            set.broken = true;
            report.findings.extend(
                mistakes
                    .iter()
                    .map(|m| Finding::of_mistake(file, m, Some(name))),
            );
        }
    }
}

/// The tables in a table of the manifest.
fn parts<'t>(
    notes: &mut DiagnosticSink,
    top: &Section<'t>,
    name: &str,
    known: &[&str],
) -> Vec<(&'t str, Section<'t>)> {
    let names: Vec<&str> = match top.get(name).and_then(|v| v.get_ref().as_table()) {
        Some(table) => table.keys().map(|k| &**k.get_ref()).collect(),
        None => Vec::new(),
    };
    let Some(parent) = top.section(notes, name, &names) else {
        return Vec::new();
    };
    let mut parts = Vec::new();
    for (name, ..) in parent.iter() {
        parts.extend(
            parent
                .section(notes, name, known)
                .map(|section| (name, section)),
        );
    }
    parts
}
