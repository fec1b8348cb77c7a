//! One application's file out of the description, each line with the place that it came from.

use crate::description::{App, Class, Description, Raw, Upstream};
use crate::finding::{Finding, Place, Report};
use badgerramp_config::RESPONSE_RESERVE;
use badgerramp_toml_diagnostics::units::{format_duration, parse_duration};

/// A file that was written.
#[derive(Clone, Debug)]
pub struct Rendered {
    /// Its text.
    pub text: String,
    /// Where each line came from; None: from nowhere in particular.
    origins: Vec<Option<Place>>,
    /// The application's own place, for what comes from nowhere.
    own: Place,
}

/// The files of a description, with the beginnings of their lines: a place is shown for each key of each application.
pub struct Sources {
    names: Vec<String>,
    lines: Vec<Vec<usize>>,
}

impl Sources {
    /// The files that a report holds so far.
    pub fn new(report: &Report) -> Self {
        // The description's own name comes with the path it was asked for by; the others are named from its folder.
        let name = |(n, (name, _)): (usize, &(String, String))| match n {
            0 => name.rsplit('/').next().unwrap_or(name).to_owned(),
            _ => name.clone(),
        };
        let lines =
            |(_, text): &(String, String)| text.match_indices('\n').map(|(at, _)| at).collect();
        Sources {
            names: report.files.iter().enumerate().map(name).collect(),
            lines: report.files.iter().map(lines).collect(),
        }
    }

    /// Where a value came from, as a comment tells it.
    fn shown(&self, place: &Place) -> String {
        let line = self
            .lines
            .get(place.file)
            .map_or(0, |ends| ends.partition_point(|&end| end < place.start))
            + 1;
        format!(
            "{}:{line}",
            self.names.get(place.file).map_or("", String::as_str)
        )
    }
}

struct Writer<'r> {
    sources: &'r Sources,
    rendered: Rendered,
}

/// A key as TOML wants it.
fn quoted(key: &str) -> String {
    let bare = !key.is_empty()
        && key
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "-_".contains(c));
    if bare {
        key.to_owned()
    } else {
        format!("{key:?}")
    }
}

impl Writer<'_> {
    fn line(&mut self, text: &str, origin: Option<&Place>) {
        for line in text.split('\n') {
            self.rendered.text.push_str(line);
            self.rendered.text.push('\n');
            self.rendered.origins.push(origin.cloned());
        }
    }

    fn raw(&mut self, raw: &Raw) {
        let from = self.sources.shown(&raw.place);
        let text = raw.text.replace("\r\n", "\n");
        if text.contains('\n') {
            self.line(&format!("# {from}"), Some(&raw.place));
            self.line(&format!("{} = {text}", quoted(&raw.key)), Some(&raw.place));
        } else {
            self.line(
                &format!("{} = {text}  # {from}", quoted(&raw.key)),
                Some(&raw.place),
            );
        }
    }
}

/// The value of a key that is a time.
fn time(keys: &[Raw], name: &str) -> Option<u64> {
    let raw = keys.iter().find(|r| r.key == name)?;
    parse_duration(raw.text.trim_matches(['"', '\'']))
}

/// A class with an application's own timing laid over it.
fn laid_over(class: &Class, app: &App) -> Vec<Raw> {
    let own = app
        .overrides
        .iter()
        .find(|o| o.0 == class.name)
        .map_or(&[][..], |o| &o.1);
    let kept = class
        .keys
        .iter()
        .filter(|k| own.iter().all(|o| o.key != k.key));
    kept.chain(own).cloned().collect()
}

/// Writes an application's file. `proxies` are all sidecars on its upstream.
pub fn render(
    sources: &Sources,
    description: &Description,
    app: &App,
    upstream: Option<&Upstream>,
    proxies: u64,
) -> Rendered {
    let rendered = Rendered {
        text: String::new(),
        origins: Vec::new(),
        own: app.place.clone(),
    };
    let mut writer = Writer { sources, rendered };
    let from = writer.sources.shown(&app.place);
    writer.line(
        &format!(
            "# Written by badgerramp-config for application {:?} ({from}).",
            app.name
        ),
        None,
    );
    writer.line(
        "# Change the description, not this file: what is changed here stops the next writing.",
        None,
    );
    writer.line("", None);
    app.top.iter().for_each(|raw| writer.raw(raw));
    if !app.limits.is_empty() {
        writer.line("\n[limits]", Some(&app.place));
        app.limits.iter().for_each(|raw| writer.raw(raw));
    }
    if let Some(upstream) = upstream {
        writer.line("\n[upstream]", Some(&upstream.place));
        let reckoned = format!(
            "proxies = {proxies}  # all instances of all applications on {:?}",
            upstream.name
        );
        writer.line(&reckoned, Some(&upstream.place));
        app.zone.iter().for_each(|raw| writer.raw(raw));
        upstream.keys.iter().for_each(|raw| writer.raw(raw));
    }
    let sent = |class: &&Class| {
        app.sends
            .iter()
            .any(|s| s.class.as_ref() == Some(&class.name))
    };
    for class in description.classes.iter().filter(sent) {
        writer.line(
            &format!("\n[class.{}]", quoted(&class.name)),
            Some(&class.place),
        );
        let keys = laid_over(class, app);
        keys.iter().for_each(|raw| writer.raw(raw));
        // The sidecar's last word must come before its own client goes.
        let waits = app.facts.as_ref().map(|f| &f.waits);
        if let (Some(deadline), Some(waits)) = (time(&keys, "deadline"), waits) {
            if waits.value < deadline && !keys.iter().any(|k| k.key == "total") {
                let place = Place::new(app.place.file, &waits.span);
                let total = format_duration(waits.value.saturating_sub(RESPONSE_RESERVE));
                let from = writer.sources.shown(&place);
                let text = format!(
                    "total = {total:?}  # its client waits {} ({from})",
                    format_duration(waits.value)
                );
                writer.line(&text, Some(&place));
            }
        }
    }
    for (number, send) in app.sends.iter().enumerate() {
        writer.line("\n[[route]]", Some(&send.place));
        if !send.keys.iter().any(|k| k.key == "name") {
            let class = send.class.as_deref().unwrap_or("none");
            writer.line(
                &format!("name = {:?}", format!("{class}-{}", number + 1)),
                Some(&send.place),
            );
        }
        send.keys.iter().for_each(|raw| writer.raw(raw));
    }
    writer.rendered
}

impl Rendered {
    /// The place in the description that a place in this file came from.
    fn origin(&self, start: usize) -> Place {
        let before = self.text.get(..start).unwrap_or_default();
        let line = before.matches('\n').count();
        self.origins
            .get(line)
            .cloned()
            .flatten()
            .unwrap_or_else(|| self.own.clone())
    }
}

/// Maps what was found in written files to the description. Files from `first` on are those of `rendered`, in order.
pub fn to_description(findings: &mut [Finding], first: usize, rendered: &[Rendered]) {
    let map = |place: &mut Place| {
        if let Some(rendered) = place.file.checked_sub(first).and_then(|n| rendered.get(n)) {
            *place = rendered.origin(place.start);
        }
    };
    for finding in findings {
        map(&mut finding.place);
        finding.related.iter_mut().for_each(|(place, _)| map(place));
    }
}
