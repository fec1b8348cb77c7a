//! The operations behind the command line.

use crate::config_set::{Application, ConfigSet, DescribedUpstream};
use crate::description::{self, Description};
use crate::finding::{Finding, Location, Report};
use crate::manifest::{self, digest, file_name, read_digests, read_folder, UnlistedFiles};
use crate::render::{map_to_description, render, Rendered, Sources};
use crate::rollout;
use badgerramp_config::read_upstream;
use badgerramp_toml_diagnostics::{parse_document, DiagnosticSink, Section};
use std::collections::{BTreeMap, HashMap};
use std::path::Path;

/// The files that are generated from a description, including the manifest.
#[derive(Debug)]
pub struct Generated {
    /// Names and contents, in the order of writing, with the manifest last.
    pub files: Vec<(String, String)>,
    /// The report, which has no findings but may have notes.
    pub report: Report,
}

/// Generates all files of a description, and checks them one by one and together.
///
/// # Errors
/// Returns a report with all findings, located in the description.
pub fn generate(path: &Path) -> Result<Generated, Report> {
    let mut report = description::load(path)?;
    let description = Description::read(&mut report);
    let description_files = report.files.len();
    let sources = Sources::new(&report);
    let mut proxies: HashMap<&str, u64> = HashMap::new();
    for contract in description.apps.iter().filter_map(|a| a.contract.as_ref()) {
        *proxies.entry(&contract.upstream.value).or_default() += u64::from(contract.instances);
    }
    let mut rendered: Vec<Rendered> = Vec::new();
    let mut set = ConfigSet::default();
    for app in &description.apps {
        let upstream = app.contract.as_ref().and_then(|c| {
            description
                .upstreams
                .iter()
                .find(|u| u.name == c.upstream.value)
        });
        let sidecars = app
            .contract
            .as_ref()
            .and_then(|c| proxies.get(c.upstream.value.as_str()))
            .copied()
            .unwrap_or(1);
        let file = render(&sources, &description, app, upstream, sidecars);
        // Without its upstream, the file itself would also be reported as incomplete. The unknown upstream is reported
        // once instead.
        if app.contract.is_none() || upstream.is_some() {
            let contract = app.contract.clone().map(|c| (app.location.file, c));
            manifest::add_application(
                &mut report,
                &mut set,
                &app.name,
                Path::new(&file_name(&app.name)),
                &file.text,
                contract,
            );
        } else {
            report.add_file(file_name(&app.name), file.text.clone());
            set.incomplete = true;
            report_unknown_upstream(&mut report, &description, app);
        }
        rendered.push(file);
    }
    set.incomplete |= description.apps.iter().any(|a| a.contract.is_none());
    read_upstreams(
        &mut report,
        &mut set,
        &description,
        description_files + rendered.len(),
    );
    set.check(&mut report);
    map_to_description(&mut report.findings, description_files, &rendered);
    report.merge();
    note_unused(&mut report, &description);
    if !report.is_clean() {
        return Err(report);
    }
    let texts: Vec<String> = rendered.into_iter().map(|r| r.text).collect();
    let manifest = manifest::render(&description, &texts);
    let names = description.apps.iter().map(|a| file_name(&a.name));
    let mut files: Vec<(String, String)> = names.zip(texts).collect();
    files.push((manifest::FILE_NAME.to_owned(), manifest));
    report.files.truncate(description_files);
    Ok(Generated { files, report })
}

fn report_unknown_upstream(report: &mut Report, description: &Description, app: &description::App) {
    let Some(contract) = &app.contract else {
        return;
    };
    let known: Vec<&str> = description
        .upstreams
        .iter()
        .map(|u| u.name.as_str())
        .collect();
    report.findings.push(Finding {
        code: "upstream-unknown",
        key: format!("app.{}.upstream", app.name),
        reason: "this upstream is used but not described".to_owned(),
        found: format!("{:?}", contract.upstream.value),
        allowed: badgerramp_toml_diagnostics::suggest_names(&contract.upstream.value, &known),
        location: Location::new(app.location.file, &contract.upstream.span),
        related: Vec::new(),
        apps: [app.name.clone()].into(),
    });
}

/// Reads the settings of the upstreams as they are read from the operators' files.
fn read_upstreams(
    report: &mut Report,
    set: &mut ConfigSet,
    description: &Description,
    file: usize,
) {
    let mut text = String::new();
    for upstream in &description.upstreams {
        text += &format!(
            "[upstream.{:?}]\n{}",
            upstream.name,
            manifest::render_upstream_keys(upstream)
        );
    }
    let mut sink = DiagnosticSink::default();
    let table = parse_document(&mut sink, &text);
    let top = Section::new(&mut sink, &table, "", 0..0, &["upstream"]);
    let names: Vec<&str> = description
        .upstreams
        .iter()
        .map(|u| u.name.as_str())
        .collect();
    let parent = top.section(&mut sink, "upstream", &names);
    for upstream in &description.upstreams {
        let before = sink.len();
        let settings = parent
            .as_ref()
            .and_then(|p| read_upstream(&mut sink, p, &upstream.name));
        // An error in a used upstream is found in each application's file too; in an unused upstream, it is only found
        // here.
        for diagnostic in &sink.diagnostics()[before..] {
            let mut finding = Finding::from_diagnostic(file, diagnostic, None);
            let key = diagnostic.key.rsplit('.').next().unwrap_or_default();
            let raw = upstream.keys.iter().find(|k| key.starts_with(&k.key));
            finding.location =
                raw.map_or_else(|| upstream.location.clone(), |r| r.location.clone());
            finding.key = diagnostic
                .key
                .replace(&format!("upstream.{}", upstream.name), "upstream");
            finding.related.clear();
            report.findings.push(finding);
        }
        if let Some(settings) = settings.filter(|_| sink.len() == before) {
            let (name, location, contract) = (
                upstream.name.clone(),
                upstream.location.clone(),
                upstream.contract.clone(),
            );
            set.upstreams.push(DescribedUpstream {
                name,
                location,
                contract,
                upstream: settings,
            });
        }
    }
}

/// Adds a note for each class and upstream that is not used.
fn note_unused(report: &mut Report, description: &Description) {
    let inherited = |name: &str| {
        description.classes.iter().any(|c| {
            c.name != name
                && c.keys.iter().any(|k| {
                    description
                        .classes
                        .iter()
                        .any(|o| o.name == name && o.keys.contains(k))
                })
        })
    };
    for class in &description.classes {
        let sent = description
            .apps
            .iter()
            .flat_map(|a| &a.sends)
            .any(|s| s.class.as_deref() == Some(&class.name));
        if !sent && !inherited(&class.name) {
            report.notes.push(format!(
                "class {:?} is not used by any application",
                class.name
            ));
        }
    }
    for upstream in &description.upstreams {
        let used = description
            .apps
            .iter()
            .filter_map(|a| a.contract.as_ref())
            .any(|c| c.upstream.value == upstream.name);
        if !used {
            report.notes.push(format!(
                "upstream {:?} is not used by any application",
                upstream.name
            ));
        }
    }
}

/// The changes that writing generated files makes to a folder.
#[derive(Debug, Default)]
pub struct Plan {
    /// Names and new contents of the files to write.
    pub write: Vec<(String, String)>,
    /// Files to remove: they were generated earlier and no longer are.
    pub remove: Vec<String>,
    /// Files that were changed by hand since they were generated, or were not generated by this program.
    pub changed_by_hand: Vec<String>,
    /// The changes as a unified diff.
    pub diff: String,
}

/// Plans the changes that writing generated files to a folder would make.
pub fn plan(generated: &Generated, folder: &Path) -> Plan {
    let known = read_digests(folder);
    let read_existing = |name: &str| std::fs::read_to_string(folder.join(name)).ok();
    let mut plan = Plan::default();
    for (name, text) in &generated.files {
        let old = read_existing(name);
        if old.as_ref() == Some(text) {
            continue;
        }
        if let Some(old) = old.as_ref().filter(|_| name != manifest::FILE_NAME) {
            if known.get(name) != Some(&digest(old)) {
                plan.changed_by_hand.push(name.clone());
            }
        }
        plan.diff += &unified_diff(name, old.as_deref().unwrap_or_default(), text);
        plan.write.push((name.clone(), text.clone()));
    }
    for (name, known_digest) in &known {
        if generated.files.iter().any(|(n, _)| n == name) || name.contains(['/', '\\']) {
            continue;
        }
        if let Some(old) = read_existing(name) {
            if *known_digest != digest(&old) {
                plan.changed_by_hand.push(name.clone());
            }
            plan.diff += &unified_diff(name, &old, "");
            plan.remove.push(name.clone());
        }
    }
    plan
}

fn unified_diff(name: &str, old: &str, new: &str) -> String {
    let diff = similar::TextDiff::from_lines(old, new);
    diff.unified_diff()
        .context_radius(2)
        .header(&format!("a/{name}"), &format!("b/{name}"))
        .to_string()
}

/// Applies a plan. All contents are synced to temporary files before the first file is replaced, and the manifest is
/// replaced last.
///
/// # Errors
/// Returns the first I/O error. Each existing file then has either its old or its new content, never a part of it.
pub fn apply(plan: &Plan, folder: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let temporary_path = |name: &str| folder.join(format!(".{name}.new"));
    for (name, text) in &plan.write {
        let file = std::fs::File::create(temporary_path(name))?;
        std::io::Write::write_all(&mut &file, text.as_bytes())?;
        file.sync_all()?;
    }
    for (name, _) in &plan.write {
        std::fs::rename(temporary_path(name), folder.join(name))?;
    }
    for name in &plan.remove {
        std::fs::remove_file(folder.join(name))?;
    }
    std::fs::File::open(folder)?.sync_all()
}

/// Checks folders and files, one by one and together.
pub fn check(paths: &[&Path]) -> (Report, ConfigSet) {
    let mut report = Report::default();
    let mut set = ConfigSet::default();
    for path in paths {
        if path.is_dir() {
            let folder_set = read_folder(&mut report, path, UnlistedFiles::Note);
            folder_set.check(&mut report);
            set.applications.extend(folder_set.applications);
            set.upstreams.extend(folder_set.upstreams);
        } else {
            let name = path.file_stem().map_or_else(
                || path.display().to_string(),
                |n| n.to_string_lossy().into_owned(),
            );
            match std::fs::read_to_string(path) {
                Ok(text) => {
                    manifest::add_application(&mut report, &mut set, &name, path, &text, None);
                }
                Err(error) => {
                    let shown = path.display().to_string();
                    let file = report.add_file(shown.clone(), "");
                    report.findings.push(Finding {
                        code: "file",
                        key: "the file".to_owned(),
                        reason: "this file can't be read".to_owned(),
                        found: error.to_string(),
                        allowed: "a readable TOML file in UTF-8".to_owned(),
                        location: Location::new(file, &(0..0)),
                        related: Vec::new(),
                        apps: [shown].into(),
                    });
                }
            }
        }
    }
    // Each folder was checked by itself above. This checks the applications of all paths against one another.
    if paths.len() > 1 || paths.iter().any(|p| !p.is_dir()) {
        let without_contract = |a: Application| Application {
            contract: None,
            ..a
        };
        let applications = set.applications.into_iter().map(without_contract).collect();
        let combined = ConfigSet {
            applications,
            ..ConfigSet::default()
        };
        combined.check(&mut report);
        set = combined;
    }
    report.merge();
    (report, set)
}

/// Checks a folder with a manifest before all of its files are published, including those that the manifest does not list.
pub fn check_before_publish(folder: &Path) -> Report {
    let mut report = Report::default();
    let set = read_folder(&mut report, folder, UnlistedFiles::Include);
    set.check(&mut report);
    report.merge();
    report
}

/// Checks the texts of a policy's files, by application name, one by one and together. On which machines the applications
/// run is not known.
pub fn check_texts(files: &HashMap<String, String>) -> Report {
    let mut report = Report::default();
    let mut set = ConfigSet::default();
    let files: BTreeMap<&String, &String> = files.iter().collect();
    for (name, text) in files {
        let path = file_name(name);
        manifest::add_application(&mut report, &mut set, name, Path::new(&path), text, None);
    }
    set.check_agreement(&mut report);
    report.merge();
    report
}

/// Checks a folder, and whether a rollout from another folder to it is safe.
pub fn check_against(old: &Path, new: &Path) -> Report {
    let (mut report, new_set) = check(&[new]);
    let first_old_file = report.files.len();
    let mut old_report = Report::default();
    let mut old_set = read_folder(&mut old_report, old, UnlistedFiles::Note);
    // Only the errors in reading the old folder matter, and they become notes: the old folder itself is not checked.
    report.notes.extend(
        old_report
            .findings
            .iter()
            .map(|f| format!("old folder: {}: {}", f.key, f.reason)),
    );
    report.files.extend(old_report.files);
    old_set
        .applications
        .iter_mut()
        .for_each(|a| a.file += first_old_file);
    rollout::compare(&mut report, &old_set, &new_set);
    report.merge();
    report
}

/// Counts the findings of each kind.
pub fn count_by_code(report: &Report) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for finding in &report.findings {
        *counts.entry(finding.code).or_default() += 1;
    }
    counts
}
