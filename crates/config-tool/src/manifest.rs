//! The manifest: the files that were generated for each application with their digests, and the contracts that later
//! checks need.

use crate::config_set::{Application, ConfigSet, DescribedUpstream};
use crate::contract::{self, ApplicationContract, UpstreamContract};
use crate::description::{Description, Upstream};
use crate::finding::{Finding, Location, Report};
use badgerramp_config::read_upstream;
use badgerramp_toml_diagnostics::{parse_document, DiagnosticSink, Section};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Name of the manifest in the folder of generated files.
pub const FILE_NAME: &str = "manifest.toml";
/// Version of the manifest's format.
const FORMAT_VERSION: u64 = 1;

/// The digest of a file in the format of the manifest.
pub fn digest(text: &str) -> String {
    let hash = Sha256::digest(text.as_bytes());
    hash.iter().fold("sha256:".to_owned(), |mut digest, byte| {
        let _ = write!(digest, "{byte:02x}");
        digest
    })
}

/// Renders a manifest. `files` are the contents of the applications' files, in the order of the description.
pub fn render(description: &Description, files: &[String]) -> String {
    let mut text =
        "# Written by badgerramp-config: what it wrote, and what `check` knows beside the files.\n"
            .to_owned();
    let _ = writeln!(text, "version = {FORMAT_VERSION}");
    for (app, file) in description.apps.iter().zip(files) {
        let _ = writeln!(
            text,
            "\n[app.{:?}]\nfile = {:?}\ndigest = {:?}",
            app.name,
            file_name(&app.name),
            digest(file)
        );
        if let Some(contract) = &app.contract {
            contract.write(&mut text);
        }
    }
    for upstream in &description.upstreams {
        let _ = writeln!(text, "\n[contract.{:?}]", upstream.name);
        upstream.contract.write(&mut text);
        let _ = writeln!(text, "\n[upstream.{:?}]", upstream.name);
        text += &render_upstream_keys(upstream);
    }
    text
}

/// Renders the keys of an upstream that go into the operators' files.
pub fn render_upstream_keys(upstream: &Upstream) -> String {
    let line = |raw: &crate::description::Raw| {
        format!("{} = {}\n", raw.key, raw.text.replace("\r\n", "\n"))
    };
    upstream.keys.iter().map(line).collect()
}

/// The name of an application's file.
pub fn file_name(app: &str) -> String {
    format!("{app}.toml")
}

/// Files and digests of the manifest in a folder; empty if there is none or it can't be read.
pub fn read_digests(folder: &Path) -> BTreeMap<String, String> {
    let Ok(text) = std::fs::read_to_string(folder.join(FILE_NAME)) else {
        return BTreeMap::new();
    };
    let mut sink = DiagnosticSink::default();
    let table = parse_document(&mut sink, &text);
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

/// What is done with files of a folder that its manifest does not list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnlistedFiles {
    /// They are noted and not checked.
    Note,
    /// They are applications without a contract.
    Include,
}

/// Reads the files of a folder and the contracts of its manifest. Findings are added to the report.
pub fn read_folder(report: &mut Report, folder: &Path, unlisted_files: UnlistedFiles) -> ConfigSet {
    let path = folder.join(FILE_NAME);
    let shown = path.display().to_string();
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => {
            let file = report.add_file(shown, "");
            report.findings.push(unreadable(
                Location::new(file, &(0..0)),
                "manifest",
                &error.to_string(),
            ));
            return ConfigSet::default();
        }
    };
    let file = report.add_file(shown, text.clone());
    let mut sink = DiagnosticSink::default();
    let table = parse_document(&mut sink, &text);
    let mut set = ConfigSet::default();
    if sink.is_empty() {
        let known = ["version", "app", "contract", "upstream"];
        let top = Section::new(&mut sink, &table, "", 0..0, &known);
        top.require(&mut sink, "version", "1");
        top.integer(&mut sink, "version", FORMAT_VERSION..=FORMAT_VERSION);
        set = read_manifest(report, &mut sink, file, folder, &top);
        add_unlisted(report, &mut set, folder, unlisted_files);
    }
    report.findings.extend(
        sink.diagnostics()
            .iter()
            .map(|m| Finding::from_diagnostic(file, m, None)),
    );
    set
}

fn unreadable(location: Location, key: &str, why: &str) -> Finding {
    Finding {
        code: "file",
        key: key.to_owned(),
        reason: "this file can't be read".to_owned(),
        found: why.to_owned(),
        allowed: "a file that `write` has generated".to_owned(),
        location,
        related: Vec::new(),
        apps: Default::default(),
    }
}

fn read_manifest(
    report: &mut Report,
    sink: &mut DiagnosticSink,
    file: usize,
    folder: &Path,
    top: &Section<'_>,
) -> ConfigSet {
    let mut set = ConfigSet::default();
    for (name, section) in subsections(
        sink,
        top,
        "app",
        &[&["file", "digest"][..], &contract::APPLICATION_KEYS[..]].concat(),
    ) {
        section.require(sink, "file", "the name of its file");
        section.require(sink, "digest", "the digest of its file");
        let contract = ApplicationContract::read(sink, &section);
        set.incomplete |= contract.is_none();
        let (Some(file_name), Some(expected_digest)) =
            (section.text(sink, "file"), section.text(sink, "digest"))
        else {
            continue;
        };
        if file_name.value.contains(['/', '\\']) {
            let allowed = "a file in the manifest's folder";
            sink.add(
                &file_name.key,
                &file_name.span,
                "this is not a file name",
                format!("{:?}", file_name.value),
                allowed,
            );
            continue;
        }
        let path = folder.join(&file_name.value);
        match std::fs::read_to_string(&path) {
            Ok(text) => {
                if digest(&text) != expected_digest.value {
                    report.notes.push(format!(
                        "{} was changed by hand since it was generated",
                        path.display()
                    ));
                }
                add_application(
                    report,
                    &mut set,
                    name,
                    &path,
                    &text,
                    contract.map(|c| (file, c)),
                );
            }
            Err(error) => {
                set.incomplete = true;
                let location = Location::new(file, &file_name.span);
                report.findings.push(unreadable(
                    location,
                    &format!("app.{name}.file"),
                    &format!("{}: {error}", path.display()),
                ));
            }
        }
    }
    let mut contracts: BTreeMap<String, UpstreamContract> = BTreeMap::new();
    for (name, section) in subsections(sink, top, "contract", &contract::UPSTREAM_KEYS) {
        contracts.insert(name.to_owned(), UpstreamContract::read(sink, &section));
    }
    if let Some(upstreams) = top.get("upstream").and_then(|u| u.get_ref().as_table()) {
        let names: Vec<&str> = upstreams.keys().map(|k| &**k.get_ref()).collect();
        if let Some(parent) = top.section(sink, "upstream", &names) {
            for (name, span, _) in parent.iter() {
                let location = Location::new(file, &span);
                let Some(upstream) = read_upstream(sink, &parent, name) else {
                    continue;
                };
                let Some(contract) = contracts.remove(name) else {
                    let key = format!("contract.{name}");
                    sink.add(
                        &key,
                        &span,
                        "this upstream has no contract",
                        "none",
                        format!("[{key}]"),
                    );
                    continue;
                };
                set.upstreams.push(DescribedUpstream {
                    name: name.to_owned(),
                    location,
                    contract,
                    upstream,
                });
            }
        }
    }
    set
}

/// Notes the files of a folder that its manifest does not list, or adds them to the set, and sorts the applications.
fn add_unlisted(
    report: &mut Report,
    set: &mut ConfigSet,
    folder: &Path,
    unlisted_files: UnlistedFiles,
) {
    let listed = read_digests(folder);
    let folder_files = std::fs::read_dir(folder)
        .into_iter()
        .flatten()
        .filter_map(|e| e.ok()?.file_name().into_string().ok());
    let mut unlisted: Vec<String> = folder_files
        .filter(|n| n.ends_with(".toml") && n != FILE_NAME && !listed.contains_key(n))
        .collect();
    unlisted.sort();
    for name in unlisted {
        let path = folder.join(&name);
        match unlisted_files {
            UnlistedFiles::Note => report.notes.push(format!(
                "{} is not in the manifest and was not checked",
                path.display()
            )),
            UnlistedFiles::Include => add_unlisted_file(report, set, &path),
        }
    }
    set.applications.sort_by(|a, b| a.name.cmp(&b.name));
}

/// Adds an application of which there is no more than its file.
fn add_unlisted_file(report: &mut Report, set: &mut ConfigSet, path: &Path) {
    let name = path.file_stem().map(|n| n.to_string_lossy().into_owned());
    let name = name.unwrap_or_default();
    match std::fs::read_to_string(path) {
        Ok(text) => add_application(report, set, &name, path, &text, None),
        Err(error) => {
            let file = report.add_file(path.display().to_string(), "");
            let location = Location::new(file, &(0..0));
            report
                .findings
                .push(unreadable(location, &name, &error.to_string()));
        }
    }
}

/// Adds an application to the set if its file has no errors; otherwise, the errors are added to the report.
pub fn add_application(
    report: &mut Report,
    set: &mut ConfigSet,
    name: &str,
    path: &Path,
    text: &str,
    contract: Option<(usize, ApplicationContract)>,
) {
    let shown = path.display().to_string();
    let file = report.add_file(shown.clone(), text);
    match badgerramp_config::parse(&shown, text) {
        Ok(config) if config.deployment == badgerramp_config::Deployment::Standalone => {
            set.applications.push(Application {
                name: name.to_owned(),
                file,
                config,
                contract,
            });
        }
        Ok(_) => report.notes.push(format!(
            "{shown} is a file for the platform and was only checked by itself"
        )),
        Err(diagnostics) => {
            set.incomplete = true;
            report.findings.extend(
                diagnostics
                    .iter()
                    .map(|m| Finding::from_diagnostic(file, m, Some(name))),
            );
        }
    }
}

/// The subtables of a table of the manifest, each with its name.
fn subsections<'t>(
    sink: &mut DiagnosticSink,
    top: &Section<'t>,
    name: &str,
    known: &[&str],
) -> Vec<(&'t str, Section<'t>)> {
    let names: Vec<&str> = match top.get(name).and_then(|v| v.get_ref().as_table()) {
        Some(table) => table.keys().map(|k| &**k.get_ref()).collect(),
        None => Vec::new(),
    };
    let Some(parent) = top.section(sink, name, &names) else {
        return Vec::new();
    };
    let mut sections = Vec::new();
    for (name, ..) in parent.iter() {
        sections.extend(
            parent
                .section(sink, name, known)
                .map(|section| (name, section)),
        );
    }
    sections
}
