//! What the command line does, without its words.

use crate::description::{self, Description};
use crate::finding::{Finding, Place, Report};
use crate::manifest::{self, digest, digests, file_name, read_folder};
use crate::render::{render, to_description, Rendered, Sources};
use crate::rollout;
use crate::set::{Application, Described, Set};
use badgerramp_config::read_upstream;
use badgerramp_toml_diagnostics::{parse_document, DiagnosticSink, Section};
use std::collections::{BTreeMap, HashMap};
use std::path::Path;

/// What a description gives: names and texts of files, the manifest among them.
#[derive(Debug)]
pub struct Written {
    /// By name, in the order of writing: the manifest last.
    pub files: Vec<(String, String)>,
    /// What is worth knowing.
    pub report: Report,
}

/// All files of a description, read and checked one by one and together.
///
/// # Errors
/// All that is wrong, at its place in the description.
pub fn compose(path: &Path) -> Result<Written, Report> {
    let mut report = description::load(path)?;
    let description = Description::read(&mut report);
    let sources = report.files.len();
    let named = Sources::new(&report);
    let mut proxies: HashMap<&str, u64> = HashMap::new();
    for facts in description.apps.iter().filter_map(|a| a.facts.as_ref()) {
        *proxies.entry(&facts.upstream.value).or_default() += u64::from(facts.instances);
    }
    let mut rendered: Vec<Rendered> = Vec::new();
    let mut set = Set::default();
    for app in &description.apps {
        let upstream = app.facts.as_ref().and_then(|f| {
            description
                .upstreams
                .iter()
                .find(|u| u.name == f.upstream.value)
        });
        let sidecars = app
            .facts
            .as_ref()
            .and_then(|f| proxies.get(f.upstream.value.as_str()))
            .copied()
            .unwrap_or(1);
        let file = render(&named, &description, app, upstream, sidecars);
        // Without its upstream each file would be told to want one; that is told once, below.
        if app.facts.is_none() || upstream.is_some() {
            let facts = app.facts.clone().map(|f| (app.place.file, f));
            manifest::application(
                &mut report,
                &mut set,
                &app.name,
                Path::new(&file_name(&app.name)),
                &file.text,
                facts,
            );
        } else {
            report.file(file_name(&app.name), file.text.clone());
            set.broken = true;
            unknown_upstream(&mut report, &description, app);
        }
        rendered.push(file);
    }
    set.broken |= description.apps.iter().any(|a| a.facts.is_none());
    upstreams(
        &mut report,
        &mut set,
        &description,
        sources + rendered.len(),
    );
    set.check(&mut report);
    to_description(&mut report.findings, sources, &rendered);
    report.merge();
    unused(&mut report, &description);
    if !report.good() {
        return Err(report);
    }
    let texts: Vec<String> = rendered.into_iter().map(|r| r.text).collect();
    let manifest = manifest::render(&description, &texts);
    let names = description.apps.iter().map(|a| file_name(&a.name));
    let mut files: Vec<(String, String)> = names.zip(texts).collect();
    files.push((manifest::NAME.to_owned(), manifest));
    report.files.truncate(sources);
    Ok(Written { files, report })
}

fn unknown_upstream(report: &mut Report, description: &Description, app: &description::App) {
    let Some(facts) = &app.facts else { return };
    let known: Vec<&str> = description
        .upstreams
        .iter()
        .map(|u| u.name.as_str())
        .collect();
    report.findings.push(Finding {
        code: "upstream-unknown",
        key: format!("app.{}.upstream", app.name),
        reason: "this upstream is used but not described".to_owned(),
        found: format!("{:?}", facts.upstream.value),
        allowed: badgerramp_toml_diagnostics::suggest_names(&facts.upstream.value, &known),
        place: Place::new(app.place.file, &facts.upstream.span),
        related: Vec::new(),
        apps: [app.name.clone()].into(),
    });
}

/// The figures of the upstreams, read as they are read in the operators' files.
fn upstreams(report: &mut Report, set: &mut Set, description: &Description, file: usize) {
    let mut text = String::new();
    for upstream in &description.upstreams {
        text += &format!(
            "[upstream.{:?}]\n{}",
            upstream.name,
            manifest::figures(upstream)
        );
    }
    let mut notes = DiagnosticSink::default();
    let table = parse_document(&mut notes, &text);
    let top = Section::new(&mut notes, &table, "", 0..0, &["upstream"]);
    let names: Vec<&str> = description
        .upstreams
        .iter()
        .map(|u| u.name.as_str())
        .collect();
    let parent = top.section(&mut notes, "upstream", &names);
    for upstream in &description.upstreams {
        let before = notes.len();
        let figures = parent
            .as_ref()
            .and_then(|p| read_upstream(&mut notes, p, &upstream.name));
        // A mistake in it shows in each file too; one that nobody uses shows here alone.
        for mistake in &notes.diagnostics()[before..] {
            let mut finding = Finding::of_mistake(file, mistake, None);
            let key = mistake.key.rsplit('.').next().unwrap_or_default();
            let raw = upstream.keys.iter().find(|k| key.starts_with(&k.key));
            finding.place = raw.map_or_else(|| upstream.place.clone(), |r| r.place.clone());
            finding.key = mistake
                .key
                .replace(&format!("upstream.{}", upstream.name), "upstream");
            finding.related.clear();
            report.findings.push(finding);
        }
        if let Some(figures) = figures.filter(|_| notes.len() == before) {
            let (name, place, facts) = (
                upstream.name.clone(),
                upstream.place.clone(),
                upstream.facts.clone(),
            );
            set.upstreams.push(Described {
                name,
                place,
                facts,
                upstream: figures,
            });
        }
    }
}

/// Classes and upstreams that nobody uses.
fn unused(report: &mut Report, description: &Description) {
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
            report
                .notes
                .push(format!("class {:?} is sent by nobody", class.name));
        }
    }
    for upstream in &description.upstreams {
        let used = description
            .apps
            .iter()
            .filter_map(|a| a.facts.as_ref())
            .any(|f| f.upstream.value == upstream.name);
        if !used {
            report
                .notes
                .push(format!("upstream {:?} is used by nobody", upstream.name));
        }
    }
}

/// What a writing does to a folder.
#[derive(Debug, Default)]
pub struct Plan {
    /// Files with their new texts.
    pub write: Vec<(String, String)>,
    /// Files that an earlier writing made and this one does not.
    pub remove: Vec<String>,
    /// Files that were changed by hand since they were written, or are not this program's.
    pub by_hand: Vec<String>,
    /// The differences, as `diff -u` shows them.
    pub diff: String,
}

/// What writing these files there would do.
pub fn plan(written: &Written, folder: &Path) -> Plan {
    let known = digests(folder);
    let present = |name: &str| std::fs::read_to_string(folder.join(name)).ok();
    let mut plan = Plan::default();
    for (name, text) in &written.files {
        let old = present(name);
        if old.as_ref() == Some(text) {
            continue;
        }
        if let Some(old) = old.as_ref().filter(|_| name != manifest::NAME) {
            if known.get(name) != Some(&digest(old)) {
                plan.by_hand.push(name.clone());
            }
        }
        plan.diff += &difference(name, old.as_deref().unwrap_or_default(), text);
        plan.write.push((name.clone(), text.clone()));
    }
    for (name, sum) in &known {
        if written.files.iter().any(|(n, _)| n == name) || name.contains(['/', '\\']) {
            continue;
        }
        if let Some(old) = present(name) {
            if *sum != digest(&old) {
                plan.by_hand.push(name.clone());
            }
            plan.diff += &difference(name, &old, "");
            plan.remove.push(name.clone());
        }
    }
    plan
}

fn difference(name: &str, old: &str, new: &str) -> String {
    let diff = similar::TextDiff::from_lines(old, new);
    diff.unified_diff()
        .context_radius(2)
        .header(&format!("a/{name}"), &format!("b/{name}"))
        .to_string()
}

/// Carries a plan out: all texts are on disk before the first takes its place, the manifest takes its place last.
///
/// # Errors
/// What the disk says. Files that were there before are then either old or new, never torn.
pub fn carry_out(plan: &Plan, folder: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let beside = |name: &str| folder.join(format!(".{name}.new"));
    for (name, text) in &plan.write {
        let file = std::fs::File::create(beside(name))?;
        std::io::Write::write_all(&mut &file, text.as_bytes())?;
        file.sync_all()?;
    }
    for (name, _) in &plan.write {
        std::fs::rename(beside(name), folder.join(name))?;
    }
    for name in &plan.remove {
        std::fs::remove_file(folder.join(name))?;
    }
    std::fs::File::open(folder)?.sync_all()
}

/// Reads and checks folders and files, one by one and together.
pub fn check(paths: &[&Path]) -> (Report, Set) {
    let mut report = Report::default();
    let mut set = Set::default();
    for path in paths {
        if path.is_dir() {
            let own = read_folder(&mut report, path);
            own.check(&mut report);
            set.applications.extend(own.applications);
            set.upstreams.extend(own.upstreams);
        } else {
            let name = path.file_stem().map_or_else(
                || path.display().to_string(),
                |n| n.to_string_lossy().into_owned(),
            );
            match std::fs::read_to_string(path) {
                Ok(text) => manifest::application(&mut report, &mut set, &name, path, &text, None),
                Err(fault) => {
                    let shown = path.display().to_string();
                    let file = report.file(shown.clone(), "");
                    report.findings.push(Finding {
                        code: "file",
                        key: "the file".to_owned(),
                        reason: "this file can't be read".to_owned(),
                        found: fault.to_string(),
                        allowed: "a readable TOML file in UTF-8".to_owned(),
                        place: Place::new(file, &(0..0)),
                        related: Vec::new(),
                        apps: [shown].into(),
                    });
                }
            }
        }
    }
    // A folder was checked by itself; what is checked here is what lies between.
    if paths.len() > 1 || paths.iter().any(|p| !p.is_dir()) {
        let bare = |a: Application| Application { facts: None, ..a };
        let applications = set.applications.into_iter().map(bare).collect();
        let together = Set {
            applications,
            ..Set::default()
        };
        together.check(&mut report);
        set = together;
    }
    report.merge();
    (report, set)
}

/// Checks a folder, and what a change from another one to it would do.
pub fn check_against(old: &Path, new: &Path) -> Report {
    let (mut report, set) = check(&[new]);
    let first = report.files.len();
    let mut before = Report::default();
    let mut known = read_folder(&mut before, old);
    // What was wrong with the old one is of no interest but where it can't be read at all.
    report.notes.extend(
        before
            .findings
            .iter()
            .map(|f| format!("before: {}: {}", f.key, f.reason)),
    );
    report.files.extend(before.files);
    known.applications.iter_mut().for_each(|a| a.file += first);
    rollout::compare(&mut report, &known, &set);
    report.merge();
    report
}

/// How many findings each kind has.
pub fn counts(report: &Report) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for finding in &report.findings {
        *counts.entry(finding.code).or_default() += 1;
    }
    counts
}
