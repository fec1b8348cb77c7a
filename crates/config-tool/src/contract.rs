//! Contracts that no operator's file contains: the timeout and retries of each application's client, and what each
//! upstream can handle and guarantees. The description and the manifest hold them under the same keys.

use badgerramp_decisions::{DedupScope, Micros};
use badgerramp_route::normalize;
use badgerramp_toml_diagnostics::units::format_duration;
use badgerramp_toml_diagnostics::{DiagnosticSink, Located, Section, Span};
use http::HeaderName;
use std::fmt::Write;

/// Keys of an application's contract.
pub const APPLICATION_KEYS: [&str; 8] = [
    "machine",
    "upstream",
    "instances",
    "waits",
    "retries",
    "retry_on",
    "pause",
    "rate",
];
/// Keys of an upstream's contract.
pub const UPSTREAM_KEYS: [&str; 4] = ["connections", "rate", "unsafe", "keyed"];

/// Which outcomes an application's client retries by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryOn {
    /// Rejected requests (429, 503).
    Refused,
    /// Also requests that failed or got no response, and so may have run.
    Failed,
}

/// The contract of an application and its client.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplicationContract {
    /// The machine that runs it. Two applications on one machine can't share a listener.
    pub machine: String,
    /// The name of its upstream.
    pub upstream: Located<String>,
    /// The number of instances, each with its own sidecar.
    pub instances: u32,
    /// How long its client waits for a response.
    pub client_timeout: Located<Micros>,
    /// How many times its client retries a request.
    pub retries: Located<u64>,
    /// Which outcomes its client retries.
    pub retry_on: RetryOn,
    /// The longest pause of its client between two attempts.
    pub max_retry_pause: Micros,
    /// Requests per second of one instance.
    pub requests_per_second: f64,
}

/// A path prefix under which an upstream deduplicates retries by their idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyedPath {
    /// The path; the contract covers it and all paths below it.
    pub prefix: String,
    /// The endpoints that share their record of keys.
    pub scope: DedupScope,
    /// How long the endpoints remember a key.
    pub window: Micros,
    /// The header that contains the key.
    pub header: HeaderName,
    /// Span of the entry in its file.
    pub span: Span,
}

/// The contract of an upstream: its capacity and its guarantees for retries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamContract {
    /// The most connections that one endpoint can hold.
    pub max_connections: Option<Located<u64>>,
    /// The most requests per second that one warm endpoint can serve.
    pub max_requests_per_second: Option<Located<f64>>,
    /// Path prefixes under which no request may run twice.
    pub unsafe_paths: Vec<(String, Span)>,
    /// Path prefixes under which retries are deduplicated.
    pub keyed_paths: Vec<KeyedPath>,
}

/// Allowed timeouts of a client.
const CLIENT_TIMEOUT_RANGE: std::ops::RangeInclusive<Micros> = 10_000..=600_000_000;

impl ApplicationContract {
    /// Reads an application's contract from `section`. A missing or invalid key is added to the sink.
    pub fn read(sink: &mut DiagnosticSink, section: &Section<'_>) -> Option<Self> {
        section.require(sink, "upstream", "the name of an upstream");
        section.require(sink, "waits", "the timeout of its client, like \"1200ms\"");
        section.require(sink, "rate", "requests per second of one instance");
        let names = [("refused", RetryOn::Refused), ("failed", RetryOn::Failed)];
        let no_retries = || Located {
            value: 0,
            span: section.span.clone(),
            key: section.key_path("retries"),
        };
        let retries = section.integer(sink, "retries", 0..=100);
        let machine = section
            .text(sink, "machine")
            .map_or_else(|| "localhost".to_owned(), |m| m.value);
        let instances = section
            .integer(sink, "instances", 1..=100_000)
            .map_or(1, |n| n.value as u32);
        let retry_on = section
            .keyword(sink, "retry_on", &names)
            .map_or(RetryOn::Refused, |r| r.value);
        let max_retry_pause = section
            .duration(sink, "pause", 0..=600_000_000)
            .map_or(0, |p| p.value);
        let requests_per_second = section.number(sink, "rate", 0.0..=1e6);
        let client_timeout = section.duration(sink, "waits", CLIENT_TIMEOUT_RANGE);
        let upstream = section.text(sink, "upstream");
        Some(ApplicationContract {
            machine,
            upstream: upstream?,
            instances,
            client_timeout: client_timeout?,
            retries: retries.unwrap_or_else(no_retries),
            retry_on,
            max_retry_pause,
            requests_per_second: requests_per_second?.value,
        })
    }

    /// Writes the contract's keys as a manifest contains them.
    pub fn write(&self, text: &mut String) {
        let retry_on = match self.retry_on {
            RetryOn::Refused => "refused",
            RetryOn::Failed => "failed",
        };
        let _ = writeln!(text, "machine = {:?}", self.machine);
        let _ = writeln!(text, "upstream = {:?}", self.upstream.value);
        let _ = writeln!(text, "instances = {}", self.instances);
        let _ = writeln!(
            text,
            "waits = {:?}",
            format_duration(self.client_timeout.value)
        );
        let _ = writeln!(text, "retries = {}", self.retries.value);
        let _ = writeln!(text, "retry_on = {retry_on:?}");
        let _ = writeln!(text, "pause = {:?}", format_duration(self.max_retry_pause));
        let _ = writeln!(text, "rate = {:?}", self.requests_per_second);
    }
}

/// The keyword of a deduplication scope in the files.
pub fn display_scope(scope: DedupScope) -> &'static str {
    match scope {
        DedupScope::All => "all",
        DedupScope::Zone => "zone",
        DedupScope::Cell => "group",
    }
}

/// Checks that `text` is a path in normal form without a trailing slash.
fn parse_prefix(
    sink: &mut DiagnosticSink,
    (key, span): (&str, &Span),
    text: &str,
) -> Option<String> {
    let normalized = normalize(text)
        .ok()
        .filter(|n| n.len() == text.len() && n.as_ref() == text);
    let without_trailing_slash = normalized.filter(|n| n == "/" || !n.ends_with('/'));
    if without_trailing_slash.is_none() {
        let allowed = "a path like \"/cobro-mensual\", which includes all paths below it";
        sink.add(
            key,
            span,
            "this is not a path in normal form",
            format!("{text:?}"),
            allowed,
        );
    }
    without_trailing_slash.map(|n| n.into_owned())
}

impl UpstreamContract {
    /// Reads an upstream's contract from `section`. An invalid key is added to the sink.
    pub fn read(sink: &mut DiagnosticSink, section: &Section<'_>) -> Self {
        let mut contract = UpstreamContract {
            max_connections: section.integer(sink, "connections", 1..=1_000_000),
            max_requests_per_second: section.number(sink, "rate", 0.001..=1e7),
            ..UpstreamContract::default()
        };
        for (key, value) in section.list(sink, "unsafe", "paths").unwrap_or_default() {
            let text = value.get_ref().as_str().unwrap_or_default();
            if let Some(path) = parse_prefix(sink, (&key, &value.span()), text) {
                contract.unsafe_paths.push((path, value.span()));
            }
        }
        let example =
            "{ prefix = \"/entries\", group = \"group\", window = \"1200ms\", header = \"Idempotency-Key\" }";
        for (key, value) in section.list(sink, "keyed", example).unwrap_or_default() {
            let Some(table) = value.get_ref().as_table() else {
                sink.add(
                    &key,
                    &value.span(),
                    "this is not a table",
                    badgerramp_toml_diagnostics::display_value(value.get_ref()),
                    example,
                );
                continue;
            };
            let keys = ["prefix", "group", "window", "header"];
            let entry = Section::new(sink, table, &key, value.span(), &keys);
            keys.iter()
                .for_each(|name| entry.require(sink, name, example));
            let names = [
                ("all", DedupScope::All),
                ("zone", DedupScope::Zone),
                ("group", DedupScope::Cell),
            ];
            let path = entry
                .text(sink, "prefix")
                .and_then(|p| parse_prefix(sink, (&p.key, &p.span), &p.value));
            let scope = entry.keyword(sink, "group", &names);
            let window = entry.duration(sink, "window", 1_000..=3_600_000_000);
            let header = entry.read(
                sink,
                "header",
                "this is not a header name",
                "letters, digits and '-'",
                |v| {
                    v.as_str()
                        .and_then(|t| HeaderName::from_bytes(t.as_bytes()).ok())
                },
            );
            if let (Some(prefix), Some(scope), Some(window), Some(header)) =
                (path, scope, window, header)
            {
                let (scope, window, header) = (scope.value, window.value, header.value);
                contract.keyed_paths.push(KeyedPath {
                    prefix,
                    scope,
                    window,
                    header,
                    span: value.span(),
                });
            }
        }
        contract
    }

    /// Writes the contract's keys as a manifest contains them.
    pub fn write(&self, text: &mut String) {
        if let Some(connections) = &self.max_connections {
            let _ = writeln!(text, "connections = {}", connections.value);
        }
        if let Some(rate) = &self.max_requests_per_second {
            let _ = writeln!(text, "rate = {:?}", rate.value);
        }
        let unsafe_paths: Vec<String> = self
            .unsafe_paths
            .iter()
            .map(|(path, _)| format!("{path:?}"))
            .collect();
        let _ = writeln!(text, "unsafe = [{}]", unsafe_paths.join(", "));
        let _ = writeln!(text, "keyed = [");
        for keyed in &self.keyed_paths {
            let _ = writeln!(
                text,
                "    {{ prefix = {:?}, group = {:?}, window = {:?}, header = {:?} }},",
                keyed.prefix,
                display_scope(keyed.scope),
                format_duration(keyed.window),
                keyed.header.as_str()
            );
        }
        let _ = writeln!(text, "]");
    }
}
