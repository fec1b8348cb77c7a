//! What no operator's file tells: how an application's client waits and tries again, and what an upstream bears and
//! honours. Description and manifest hold them under the same keys.

use badgerramp_decisions::{DedupScope, Micros};
use badgerramp_route::normalize;
use badgerramp_toml_diagnostics::units::format_duration;
use badgerramp_toml_diagnostics::{DiagnosticSink, Located, Section, Span};
use http::HeaderName;
use std::fmt::Write;

/// Keys of an application that are facts.
pub const APP: [&str; 8] = [
    "machine",
    "upstream",
    "instances",
    "waits",
    "retries",
    "retry_on",
    "pause",
    "rate",
];
/// Keys of an upstream that are facts.
pub const UPSTREAM: [&str; 4] = ["connections", "rate", "unsafe", "keyed"];

/// What an application's client sends again by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryOn {
    /// What was refused (429, 503).
    Refused,
    /// Also what failed or was not answered: it may have run.
    Failed,
}

/// What is known of an application beside its file.
#[derive(Clone, Debug, PartialEq)]
pub struct App {
    /// Where it runs: two on one machine can't share a listener.
    pub machine: String,
    /// The name of its upstream, and where that stands.
    pub upstream: Located<String>,
    /// How many of it there are, each with a sidecar of its own.
    pub instances: u32,
    /// How long its client waits for an answer, and where that stands.
    pub waits: Located<Micros>,
    /// How often its client tries again.
    pub retries: Located<u64>,
    /// After what.
    pub retry_on: RetryOn,
    /// The longest pause of its client between two tries.
    pub pause: Micros,
    /// Requests a second of one instance.
    pub rate: f64,
}

/// A path whose repeats an upstream drops by their key.
#[derive(Clone, Debug, PartialEq)]
pub struct Keyed {
    /// It and all below it.
    pub prefix: String,
    /// Who drops repeats.
    pub group: DedupScope,
    /// For how long.
    pub window: Micros,
    /// The header that holds the key.
    pub header: HeaderName,
    /// Where it is described.
    pub span: Span,
}

/// What an upstream bears and honours.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Upstream {
    /// Connections that one endpoint holds.
    pub connections: Option<Located<u64>>,
    /// Requests a second that one warm endpoint bears.
    pub rate: Option<Located<f64>>,
    /// Paths (each with all below it) on which nothing may run twice.
    pub once: Vec<(String, Span)>,
    /// Paths on which repeats are dropped.
    pub keyed: Vec<Keyed>,
}

/// Longest wait of a client.
const WAITS: std::ops::RangeInclusive<Micros> = 10_000..=600_000_000;

impl App {
    /// Reads what `section` tells. `wants` says whether what is missing is noted.
    pub fn read(notes: &mut DiagnosticSink, section: &Section<'_>) -> Option<Self> {
        section.require(notes, "upstream", "the name of an upstream");
        section.require(notes, "waits", "how long its client waits, like \"1200ms\"");
        section.require(notes, "rate", "requests a second of one instance");
        let words = [("refused", RetryOn::Refused), ("failed", RetryOn::Failed)];
        let plain = || Located {
            value: 0,
            span: section.span.clone(),
            key: section.key_path("retries"),
        };
        let retries = section.integer(notes, "retries", 0..=100);
        let machine = section
            .text(notes, "machine")
            .map_or_else(|| "localhost".to_owned(), |m| m.value);
        let instances = section
            .integer(notes, "instances", 1..=100_000)
            .map_or(1, |n| n.value as u32);
        let retry_on = section
            .keyword(notes, "retry_on", &words)
            .map_or(RetryOn::Refused, |w| w.value);
        let pause = section
            .duration(notes, "pause", 0..=600_000_000)
            .map_or(0, |p| p.value);
        let rate = section.number(notes, "rate", 0.0..=1e6);
        let waits = section.duration(notes, "waits", WAITS);
        let upstream = section.text(notes, "upstream");
        Some(App {
            machine,
            upstream: upstream?,
            instances,
            waits: waits?,
            retries: retries.unwrap_or_else(plain),
            retry_on,
            pause,
            rate: rate?.value,
        })
    }

    /// As it stands in a manifest.
    pub fn write(&self, text: &mut String) {
        let retry_on = match self.retry_on {
            RetryOn::Refused => "refused",
            RetryOn::Failed => "failed",
        };
        let _ = writeln!(text, "machine = {:?}", self.machine);
        let _ = writeln!(text, "upstream = {:?}", self.upstream.value);
        let _ = writeln!(text, "instances = {}", self.instances);
        let _ = writeln!(text, "waits = {:?}", format_duration(self.waits.value));
        let _ = writeln!(text, "retries = {}", self.retries.value);
        let _ = writeln!(text, "retry_on = {retry_on:?}");
        let _ = writeln!(text, "pause = {:?}", format_duration(self.pause));
        let _ = writeln!(text, "rate = {:?}", self.rate);
    }
}

/// The word for who drops repeats.
pub fn show_scope(scope: DedupScope) -> &'static str {
    match scope {
        DedupScope::All => "all",
        DedupScope::Zone => "zone",
        DedupScope::Cell => "group",
    }
}

/// A path prefix in its normal form, without a slash at its end.
fn prefix(notes: &mut DiagnosticSink, (key, span): (&str, &Span), text: &str) -> Option<String> {
    let normal = normalize(text)
        .ok()
        .filter(|n| n.len() == text.len() && n.as_ref() == text);
    let whole = normal.filter(|n| n == "/" || !n.ends_with('/'));
    if whole.is_none() {
        let allowed = "a path like \"/cobro-mensual\": it and all below it";
        notes.add(
            key,
            span,
            "this is no path in normal form",
            format!("{text:?}"),
            allowed,
        );
    }
    whole.map(|n| n.into_owned())
}

impl Upstream {
    /// Reads what `section` tells.
    pub fn read(notes: &mut DiagnosticSink, section: &Section<'_>) -> Self {
        let mut upstream = Upstream {
            connections: section.integer(notes, "connections", 1..=1_000_000),
            rate: section.number(notes, "rate", 0.001..=1e7),
            ..Upstream::default()
        };
        for (key, value) in section.list(notes, "unsafe", "paths").unwrap_or_default() {
            let text = value.get_ref().as_str().unwrap_or_default();
            if let Some(path) = prefix(notes, (&key, &value.span()), text) {
                upstream.once.push((path, value.span()));
            }
        }
        let form =
            "{ prefix = \"/entries\", group = \"group\", window = \"1200ms\", header = \"Idempotency-Key\" }";
        for (key, value) in section.list(notes, "keyed", form).unwrap_or_default() {
            let Some(table) = value.get_ref().as_table() else {
                notes.add(
                    &key,
                    &value.span(),
                    "this is no table",
                    badgerramp_toml_diagnostics::display_value(value.get_ref()),
                    form,
                );
                continue;
            };
            let known = ["prefix", "group", "window", "header"];
            let part = Section::new(notes, table, &key, value.span(), &known);
            known
                .iter()
                .for_each(|name| part.require(notes, name, form));
            let words = [
                ("all", DedupScope::All),
                ("zone", DedupScope::Zone),
                ("group", DedupScope::Cell),
            ];
            let path = part
                .text(notes, "prefix")
                .and_then(|p| prefix(notes, (&p.key, &p.span), &p.value));
            let group = part.keyword(notes, "group", &words);
            let window = part.duration(notes, "window", 1_000..=3_600_000_000);
            let header = part.read(
                notes,
                "header",
                "this is no header name",
                "letters, digits and '-'",
                |v| {
                    v.as_str()
                        .and_then(|t| HeaderName::from_bytes(t.as_bytes()).ok())
                },
            );
            if let (Some(prefix), Some(group), Some(window), Some(header)) =
                (path, group, window, header)
            {
                let (group, window, header) = (group.value, window.value, header.value);
                upstream.keyed.push(Keyed {
                    prefix,
                    group,
                    window,
                    header,
                    span: value.span(),
                });
            }
        }
        upstream
    }

    /// As it stands in a manifest.
    pub fn write(&self, text: &mut String) {
        if let Some(connections) = &self.connections {
            let _ = writeln!(text, "connections = {}", connections.value);
        }
        if let Some(rate) = &self.rate {
            let _ = writeln!(text, "rate = {:?}", rate.value);
        }
        let once: Vec<String> = self
            .once
            .iter()
            .map(|(path, _)| format!("{path:?}"))
            .collect();
        let _ = writeln!(text, "unsafe = [{}]", once.join(", "));
        let _ = writeln!(text, "keyed = [");
        for keyed in &self.keyed {
            let _ = writeln!(
                text,
                "    {{ prefix = {:?}, group = {:?}, window = {:?}, header = {:?} }},",
                keyed.prefix,
                show_scope(keyed.group),
                format_duration(keyed.window),
                keyed.header.as_str()
            );
        }
        let _ = writeln!(text, "]");
    }
}
