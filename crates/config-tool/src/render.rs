//! Renders one application's file from the description, and records which line of the description each line comes from.

use crate::description::{App, Class, Description, Raw, Upstream};
use crate::finding::{Finding, Location, Report};
use badgerramp_config::RESPONSE_RESERVE;
use badgerramp_toml_diagnostics::units::{format_duration, parse_duration};

/// A rendered file.
#[derive(Clone, Debug)]
pub struct Rendered {
    /// The content of the file.
    pub text: String,
    /// The origin of each line in the description; `None` for lines without a specific origin.
    origins: Vec<Option<Location>>,
    /// Where the application is described: the origin of lines without a specific one.
    application: Location,
}

/// The files of a description with the offsets of their lines, for the comments that name the origin of each key.
pub struct Sources {
    names: Vec<String>,
    /// Byte offsets of the line ends of each file.
    line_ends: Vec<Vec<usize>>,
}

impl Sources {
    /// Indexes the files that the report contains so far.
    pub fn new(report: &Report) -> Self {
        // The description is named by the path on the command line, includes by their path in its folder: only the
        // file name of the former is kept.
        let name = |(n, (name, _)): (usize, &(String, String))| match n {
            0 => name.rsplit('/').next().unwrap_or(name).to_owned(),
            _ => name.clone(),
        };
        let line_ends =
            |(_, text): &(String, String)| text.match_indices('\n').map(|(at, _)| at).collect();
        Sources {
            names: report.files.iter().enumerate().map(name).collect(),
            line_ends: report.files.iter().map(line_ends).collect(),
        }
    }

    /// Formats an origin as `file:line` for comments.
    fn format_origin(&self, location: &Location) -> String {
        let line = self
            .line_ends
            .get(location.file)
            .map_or(0, |ends| ends.partition_point(|&end| end < location.start))
            + 1;
        format!(
            "{}:{line}",
            self.names.get(location.file).map_or("", String::as_str)
        )
    }
}

struct Writer<'r> {
    sources: &'r Sources,
    rendered: Rendered,
}

/// Quotes a key if TOML requires it.
fn quote_key(key: &str) -> String {
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
    fn write_line(&mut self, text: &str, origin: Option<&Location>) {
        for line in text.split('\n') {
            self.rendered.text.push_str(line);
            self.rendered.text.push('\n');
            self.rendered.origins.push(origin.cloned());
        }
    }

    fn write_raw(&mut self, raw: &Raw) {
        let origin = self.sources.format_origin(&raw.location);
        let text = raw.text.replace("\r\n", "\n");
        if text.contains('\n') {
            self.write_line(&format!("# {origin}"), Some(&raw.location));
            self.write_line(
                &format!("{} = {text}", quote_key(&raw.key)),
                Some(&raw.location),
            );
        } else {
            self.write_line(
                &format!("{} = {text}  # {origin}", quote_key(&raw.key)),
                Some(&raw.location),
            );
        }
    }
}

/// The value of a key that is a duration.
fn duration(keys: &[Raw], name: &str) -> Option<u64> {
    let raw = keys.iter().find(|r| r.key == name)?;
    parse_duration(raw.text.trim_matches(['"', '\'']))
}

/// The keys of a class with an application's overrides applied.
fn apply_overrides(class: &Class, app: &App) -> Vec<Raw> {
    let overrides = app
        .overrides
        .iter()
        .find(|o| o.0 == class.name)
        .map_or(&[][..], |o| &o.1);
    let inherited = class
        .keys
        .iter()
        .filter(|k| overrides.iter().all(|o| o.key != k.key));
    inherited.chain(overrides).cloned().collect()
}

/// Renders an application's file. `proxies` is the number of all sidecars of its upstream.
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
        application: app.location.clone(),
    };
    let mut writer = Writer { sources, rendered };
    let origin = writer.sources.format_origin(&app.location);
    writer.write_line(
        &format!(
            "# Written by badgerramp-config for application {:?} ({origin}).",
            app.name
        ),
        None,
    );
    writer.write_line(
        "# Change the description, not this file: what is changed here stops the next writing.",
        None,
    );
    writer.write_line("", None);
    app.top.iter().for_each(|raw| writer.write_raw(raw));
    if !app.limits.is_empty() {
        writer.write_line("\n[limits]", Some(&app.location));
        app.limits.iter().for_each(|raw| writer.write_raw(raw));
    }
    if let Some(upstream) = upstream {
        writer.write_line("\n[upstream]", Some(&upstream.location));
        let proxies_line = format!(
            "proxies = {proxies}  # all instances of all applications on {:?}",
            upstream.name
        );
        writer.write_line(&proxies_line, Some(&upstream.location));
        app.zone.iter().for_each(|raw| writer.write_raw(raw));
        upstream.keys.iter().for_each(|raw| writer.write_raw(raw));
    }
    let is_sent = |class: &&Class| {
        app.sends
            .iter()
            .any(|s| s.class.as_ref() == Some(&class.name))
    };
    for class in description.classes.iter().filter(is_sent) {
        writer.write_line(
            &format!("\n[class.{}]", quote_key(&class.name)),
            Some(&class.location),
        );
        let keys = apply_overrides(class, app);
        keys.iter().for_each(|raw| writer.write_raw(raw));
        // The sidecar's final response has to be sent before the client's timeout.
        let client_timeout = app.contract.as_ref().map(|c| &c.client_timeout);
        if let (Some(deadline), Some(client_timeout)) =
            (duration(&keys, "deadline"), client_timeout)
        {
            if client_timeout.value < deadline && !keys.iter().any(|k| k.key == "total") {
                let location = Location::new(app.location.file, &client_timeout.span);
                let total = format_duration(client_timeout.value.saturating_sub(RESPONSE_RESERVE));
                let origin = writer.sources.format_origin(&location);
                let text = format!(
                    "total = {total:?}  # its client waits {} ({origin})",
                    format_duration(client_timeout.value)
                );
                writer.write_line(&text, Some(&location));
            }
        }
    }
    for (number, send) in app.sends.iter().enumerate() {
        writer.write_line("\n[[route]]", Some(&send.location));
        if !send.keys.iter().any(|k| k.key == "name") {
            let class = send.class.as_deref().unwrap_or("none");
            writer.write_line(
                &format!("name = {:?}", format!("{class}-{}", number + 1)),
                Some(&send.location),
            );
        }
        send.keys.iter().for_each(|raw| writer.write_raw(raw));
    }
    writer.rendered
}

impl Rendered {
    /// The origin in the description of a byte offset in this file.
    fn origin(&self, start: usize) -> Location {
        let before = self.text.get(..start).unwrap_or_default();
        let line = before.matches('\n').count();
        self.origins
            .get(line)
            .cloned()
            .flatten()
            .unwrap_or_else(|| self.application.clone())
    }
}

/// Maps the locations of findings in rendered files to the description. `first` is the index of the first rendered file in
/// the report; the files are in the order of `rendered`.
pub fn map_to_description(findings: &mut [Finding], first: usize, rendered: &[Rendered]) {
    let map = |location: &mut Location| {
        if let Some(rendered) = location
            .file
            .checked_sub(first)
            .and_then(|n| rendered.get(n))
        {
            *location = rendered.origin(location.start);
        }
    };
    for finding in findings {
        map(&mut finding.location);
        finding
            .related
            .iter_mut()
            .for_each(|(location, _)| map(location));
    }
}
