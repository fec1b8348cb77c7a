//! Schema of the file, and the checks that concern more than one key.

use crate::dedup_scope::{self, MissingDedupScope};
use crate::default_keys;
use crate::expressions::{self, Expressions};
use crate::log::{self, Log};
use crate::subset::{self, ListSettings, SubsetSettings};
use crate::timing::{self, TimingContext, TimingDraft, TimingValue};
use crate::upstream::{self, default_upstream, Upstream, UPSTREAM_KEYS};
use crate::{
    max_client_connections, peers, policy, PeersSettings, PolicySettings, RESPONSE_RESERVE,
};
use badgerramp_decisions::{self as decisions, settings, DedupScope, Idempotency, Micros};
use badgerramp_expr::{ExpectedType, Program};
use badgerramp_route::{
    compile_pattern, normalize, HeaderPattern, PathPattern, ResponseRules, Route, Source, Table,
    Timing, MAX_PATTERN_BYTES,
};
use badgerramp_toml_diagnostics::units::{format_duration, format_size};
use badgerramp_toml_diagnostics::{
    display_value, parse_document, suggest_names, DeTable, DeValue, Diagnostic, DiagnosticSink,
    Diagnostics, Located, Section, Span, Value,
};
use http::{HeaderName, HeaderValue, Method};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

const FILE_KEYS: [&str; 14] = [
    "platform", "listen", "limits", "log", "upstream", "subset", "list", "peers", "policy",
    "defaults", "class", "route", "no_route", "expect",
];
const LIMITS_KEYS: [&str; 5] = ["memory", "descriptors", "open_calls", "body", "retry_after"];
const CLASS_KEYS: [&str; 7] = [
    "aim",
    "deadline",
    "worth",
    "late_worth",
    "effect",
    "group",
    "window",
];
const ROUTE_KEYS: [&str; 10] = [
    "name", "path", "prefix", "regex", "methods", "headers", "when", "class", "tenant", "key",
];
const NO_ROUTE_KEYS: [&str; 2] = ["status", "text"];

/// Maximum time that a client may wait, in microseconds.
const MAX_DEADLINE: Micros = 600_000_000;
/// Allowed values of `limits.memory`, in bytes.
const MEMORY_RANGE: std::ops::RangeInclusive<u64> = 32 << 20..=64 << 30;
/// Allowed values of `limits.descriptors`.
const DESCRIPTORS_RANGE: std::ops::RangeInclusive<u64> = 256..=1 << 20;
/// Maximum number of routes.
const MAX_ROUTES: usize = 100_000;
/// One body may take at most this fraction (one sixteenth) of the memory.
const BODY_MEMORY_DIVISOR: u64 = 16;

/// How the proxy that reads a file is deployed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// As a sidecar whose only settings are this file.
    Standalone,
    /// On the platform. The file may only narrow the platform's settings.
    Platform,
}

/// A validated file.
#[derive(Debug)]
pub struct Config {
    /// Deployment that the file is for.
    pub deployment: Deployment,
    /// Address on which clients are accepted. A placeholder if the platform sets it.
    pub listen: SocketAddr,
    /// Limits on the resources of the process.
    pub limits: Limits,
    /// Endpoints that receive the calls.
    pub upstream: Upstream,
    /// Classes, in the order of the file. Routes refer to them by index.
    pub classes: Vec<Class>,
    /// Table of the routes.
    pub routes: Table,
    /// Response to requests that match no route.
    pub no_route: NoRoute,
    /// Settings of the endpoint subset; `None` if the proxy uses all endpoints.
    pub subset: Option<SubsetSettings>,
    /// Settings of polls of the list service in a large fleet.
    pub list: Option<ListSettings>,
    /// Settings of gossip, by which proxies share the endpoint list; `None` if this proxy polls the list service
    /// itself.
    pub peers: Option<PeersSettings>,
    /// Settings of the control plane; `None` if this file is the whole policy.
    pub policy: Option<PolicySettings>,
    /// Settings of the log.
    pub log: Log,
    /// Warnings about parts of the file that are valid but probably unintended.
    pub warnings: Vec<String>,
    /// Text of the file, for diagnostics that follow after parsing.
    pub(crate) source: SourceText,
}

/// Text of the file and the spans of its classes and routes, for checks that follow after parsing.
#[derive(Debug)]
pub(crate) struct SourceText {
    pub(crate) name: String,
    pub(crate) text: String,
    /// For each class, the span of its name and its timing with inherited values.
    pub(crate) classes: Vec<(Span, TimingDraft)>,
    /// For each route, the span of its name and its timing with inherited values.
    pub(crate) routes: Vec<(Span, TimingDraft)>,
}

/// Limits on the resources of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum memory, in bytes.
    pub memory: usize,
    /// Maximum number of file descriptors.
    pub descriptors: usize,
    /// Maximum number of concurrent calls.
    pub open_calls: usize,
    /// Maximum size of a request body or response body, in bytes.
    pub body: usize,
    /// Maximum value of the Retry-After header, in microseconds.
    pub retry_after: Micros,
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Parameters of the class for the decisions.
    pub class: decisions::Class,
    /// Timing of calls whose route does not override it.
    pub timing: Timing,
}

/// Response to requests that match no route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoRoute {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub text: String,
}

impl Config {
    /// Name of the file.
    pub fn name(&self) -> &str {
        &self.source.name
    }

    /// Text of the file.
    pub fn text(&self) -> &str {
        &self.source.text
    }

    /// Span of the name of a class; empty if there is no class with this index.
    pub fn class_span(&self, index: usize) -> Span {
        self.source.classes.get(index).map_or(0..0, |c| c.0.clone())
    }

    /// Span of the name of a route; empty if there is no route with this index.
    pub fn route_span(&self, index: usize) -> Span {
        self.source.routes.get(index).map_or(0..0, |r| r.0.clone())
    }

    /// Span of the value of a key. `path` holds the names of the tables and of the key; elements of a list are given by
    /// their index.
    pub fn value_span(&self, path: &[&str]) -> Option<Span> {
        let mut sink = DiagnosticSink::default();
        let table = parse_document(&mut sink, &self.source.text);
        let (first, rest) = path.split_first()?;
        let mut value = table.get(*first)?;
        for name in rest {
            value = match value.get_ref() {
                DeValue::Table(table) => table.get(*name)?,
                DeValue::Array(list) => list.get(name.parse::<usize>().ok()?)?,
                _ => return None,
            };
        }
        Some(value.span())
    }

    /// Whether the route with this index treats requests like the route `other_index` of `other`, with a class of the
    /// same name.
    pub fn same_route(&self, index: usize, other: &Config, other_index: usize) -> bool {
        let (Some(a), Some(b)) = (
            self.routes.routes().get(index),
            other.routes.routes().get(other_index),
        ) else {
            return false;
        };
        let path = match (&a.path, &b.path) {
            (PathPattern::Exact(a), PathPattern::Exact(b)) => a == b,
            (PathPattern::Prefix(a), PathPattern::Prefix(b)) => a == b,
            (PathPattern::Regex(a), PathPattern::Regex(b)) => a.as_str() == b.as_str(),
            _ => false,
        };
        let class = |config: &Config, route: &Route| {
            config.classes.get(route.class).map(|c| c.name.clone())
        };
        path && (&a.methods, &a.headers, &a.when) == (&b.methods, &b.headers, &b.when)
            && (&a.tenant, &a.key, &a.timing, &a.response_rules)
                == (&b.tenant, &b.key, &b.timing, &b.response_rules)
            && class(self, a) == class(other, b)
    }

    /// Combines this file's part of the policy (classes, routes and responses to clients) with the settings of the
    /// machine in `local`: listener, limits of memory and descriptors, upstream, log and control plane.
    #[must_use]
    pub fn with_local_settings(mut self, local: &Config) -> Self {
        self.deployment = local.deployment;
        self.listen = local.listen;
        self.limits.memory = local.limits.memory;
        self.limits.descriptors = local.limits.descriptors;
        self.limits.body = self.limits.body.min(local.limits.body);
        self.limits.open_calls = self.limits.open_calls.min(local.limits.open_calls);
        self.upstream = local.upstream.clone();
        self.subset = local.subset;
        self.list = local.list;
        self.peers.clone_from(&local.peers);
        self.log = local.log.clone();
        let fallback_classes = self
            .policy
            .take()
            .map(|p| p.fallback_classes)
            .unwrap_or_default();
        self.policy = local.policy.clone().map(|policy| PolicySettings {
            fallback_classes,
            ..policy
        });
        self
    }

    /// A keyed class whose dedup scope one of the endpoints does not tell, which [`Config::with_local_settings`] may bring
    /// about; a single file has none.
    pub fn missing_dedup_scope(&self) -> Option<MissingDedupScope> {
        dedup_scope::find_missing(&self.classes, &self.upstream)
    }

    /// Timing of a class, with the place at which each value was set.
    pub fn class_timing_values(&self, index: usize) -> Vec<TimingValue> {
        let Some(((_, draft), class)) = self.source.classes.get(index).zip(self.classes.get(index))
        else {
            return Vec::new();
        };
        draft.timing_values(&class.timing)
    }

    /// Timing of a route, with the place at which each value was set.
    pub fn route_timing_values(&self, index: usize) -> Vec<TimingValue> {
        let Some(((_, draft), route)) = self
            .source
            .routes
            .get(index)
            .zip(self.routes.routes().get(index))
        else {
            return Vec::new();
        };
        draft.timing_values(&route.timing)
    }

    /// Settings of the decisions for a standalone deployment.
    pub fn settings(&self) -> decisions::Settings {
        let upstream = &self.upstream;
        let timings = || self.routes.routes().iter().map(|r| &r.timing);
        let defaults = decisions::Settings::default();
        let weighted = upstream.endpoints.iter().any(|e| e.weight != 1.0);
        decisions::Settings {
            balancers: upstream.proxies,
            zone: settings::zone_id(&upstream.zone),
            poll_endpoint_list: upstream.discovery.is_some(),
            classes: self.classes.iter().map(|c| c.class).collect(),
            limits: decisions::Limits {
                hedging: timings().any(|t| t.hedge != decisions::Hedge::Never),
                max_attempts: timings().map(|t| t.attempts).max().unwrap_or(1),
                max_retry_after: self.limits.retry_after,
                ..defaults.limits
            },
            rules: upstream.rules,
            load_reporting: decisions::LoadReporting {
                mode: decisions::ReportMode::Inline,
                includes_in_flight: true,
            },
            weight_source: if weighted {
                decisions::WeightSource::Nominal
            } else {
                decisions::WeightSource::Off
            },
            ..defaults
        }
    }
}

/// A class while the file is being parsed.
struct ClassDraft {
    name: String,
    span: Span,
    latency_objective: Option<Located<Micros>>,
    deadline: Option<Located<Micros>>,
    priority_weight: f64,
    late_value: f64,
    idempotency: Option<Idempotency>,
    draft: TimingDraft,
}

impl ClassDraft {
    fn timing_context(&self) -> TimingContext<'_> {
        let deadline = self.deadline.as_ref().map(|d| d.value);
        TimingContext {
            name: &self.name,
            span: &self.span,
            deadline,
            idempotency: self.idempotency,
        }
    }
}

/// What becomes of a file with settings that would let calls be sent again, and without which the file is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnsafeSettings {
    /// The file is refused.
    Refuse,
    /// They are left out, each with a warning.
    LeaveOut,
}

/// Parses and validates the text of the file `name`.
pub(crate) fn parse(
    name: &str,
    text: &str,
    unsafe_settings: UnsafeSettings,
) -> Result<Config, Diagnostics> {
    let mut sink = DiagnosticSink::default();
    let table = parse_document(&mut sink, text);
    if !sink.is_empty() {
        return Err(sink.into_diagnostics(name, text));
    }
    let mut unsafe_sink = DiagnosticSink::default();
    let mut parser = FileParser {
        sink: &mut sink,
        unsafe_sink: &mut unsafe_sink,
    };
    let config = parser.file(name, text, &table);
    let (mut diagnostics, found_unsafe) = (sink.into_list(), unsafe_sink.into_list());
    let mut warnings = Vec::new();
    match unsafe_settings {
        UnsafeSettings::Refuse => diagnostics.extend(found_unsafe),
        UnsafeSettings::LeaveOut => warnings.extend(found_unsafe.iter().map(left_out_warning)),
    }
    match config {
        Some(mut config) if diagnostics.is_empty() => {
            config.warnings.extend(warnings);
            Ok(config)
        }
        _ => Err(Diagnostics::new(name, text, diagnostics)),
    }
}

/// The warning about a setting that is left out.
fn left_out_warning(diagnostic: &Diagnostic) -> String {
    let Diagnostic {
        key, reason, found, ..
    } = diagnostic;
    format!("{key}: left out: {reason} (found {found})")
}

/// Parses a file and adds its mistakes to a sink.
struct FileParser<'n> {
    sink: &'n mut DiagnosticSink,
    /// Settings that would let calls be sent again, and that the parsed file is without.
    unsafe_sink: &'n mut DiagnosticSink,
}

impl FileParser<'_> {
    fn file(&mut self, name: &str, text: &str, table: &DeTable<'_>) -> Option<Config> {
        let top = Section::new(self.sink, table, "", 0..0, &FILE_KEYS);
        let platform = top.read(
            self.sink,
            "platform",
            "this is not a flag",
            "true or false",
            DeValue::as_bool,
        );
        let deployment = if platform.is_some_and(|p| p.value) {
            Deployment::Platform
        } else {
            Deployment::Standalone
        };
        if deployment == Deployment::Platform {
            for name in [
                "listen", "limits", "upstream", "subset", "list", "peers", "policy", "no_route",
            ]
            .into_iter()
            .filter(|n| top.has(n))
            {
                if let Some((_, span, _)) = top.iter().find(|(n, ..)| *n == name) {
                    let reason = "the platform sets this: with `platform = true` a file only narrows its settings";
                    self.sink.add(
                        name,
                        &span,
                        reason,
                        format!("`{name}`"),
                        "log, defaults, classes and routes",
                    );
                }
            }
        } else {
            top.require(
                self.sink,
                "listen",
                "an address and a port, like \"127.0.0.1:8080\"",
            );
            top.require(self.sink, "upstream", "a table: [upstream]");
            top.require(self.sink, "class", "a table for each class: [class.NAME]");
            top.require(self.sink, "route", "a list of routes: [[route]]");
        }
        let listen = address(self.sink, &top, "listen");
        let limits = self.limits(&top);
        let upstream = top
            .section(self.sink, "upstream", &UPSTREAM_KEYS)
            .map(|section| upstream::read(self.sink, &section));
        let subset = subset::read_subset(self.sink, &top, upstream.as_ref(), limits.as_ref());
        let list = subset::read_list(self.sink, &top, upstream.as_ref());
        let peers = peers::read(
            self.sink,
            &top,
            upstream.as_ref().map(|u| u.discovery.is_some()),
        );
        let defaults = match top.section(self.sink, "defaults", &timing::KEYS) {
            Some(section) => TimingDraft::read(self.sink, &section),
            None => TimingDraft::default(),
        };
        let classes = self.classes(&top, &defaults, deployment);
        let mut expressions = Expressions::default();
        let names: Vec<&str> = classes.iter().map(|c| c.name.as_str()).collect();
        let policy = policy::read(self.sink, &top, &names);
        let (mut routes, route_drafts) =
            self.routes(&top, &classes, deployment, text, &mut expressions);
        let no_route = self.no_route(&top);
        let log = log::read(self.sink, &top);
        if deployment == Deployment::Standalone {
            self.check_groups(&classes, upstream.as_ref());
        }
        let program = Arc::new(expressions.program(self.sink));
        // The platform's calls have the keys that it sets.
        if self.sink.is_empty() && deployment == Deployment::Standalone {
            self.remove_default_keys(&top, &mut routes, &program);
        }
        let route_table = self.table(&top, routes, &route_drafts, program);
        let mut warnings = Vec::new();
        if let Some(table) = route_table.as_ref().filter(|_| self.sink.is_empty()) {
            let names: Vec<&str> = classes.iter().map(|c| c.name.as_str()).collect();
            expressions::check_expectations(self.sink, &top, table, &names);
            warnings = expressions::overlap_warnings(table, &names);
        }
        let source = SourceText {
            name: name.to_owned(),
            text: text.to_owned(),
            classes: classes
                .iter()
                .map(|c| (c.span.clone(), c.draft.clone()))
                .collect(),
            routes: route_drafts,
        };
        let class = |c: ClassDraft| {
            let (latency_objective, deadline) = match deployment {
                Deployment::Standalone => (
                    c.latency_objective.as_ref()?.value,
                    c.deadline.as_ref()?.value,
                ),
                Deployment::Platform => (0, 0),
            };
            let idempotency = c.idempotency.unwrap_or_default();
            let class = decisions::Class {
                latency_objective,
                deadline,
                priority_weight: c.priority_weight,
                late_value: c.late_value,
                idempotency,
            };
            let timing = match deployment {
                Deployment::Standalone => c.draft.timing(&c.timing_context()),
                Deployment::Platform => Timing::UNLIMITED,
            };
            Some(Class {
                name: c.name,
                class,
                timing,
            })
        };
        let classes = classes.into_iter().map(class).collect::<Option<Vec<_>>>()?;
        Some(Config {
            deployment,
            listen: match deployment {
                Deployment::Standalone => listen?,
                Deployment::Platform => SocketAddr::from(([127, 0, 0, 1], 0)),
            },
            limits: limits?,
            upstream: match deployment {
                Deployment::Standalone => upstream?,
                Deployment::Platform => default_upstream(),
            },
            classes,
            routes: route_table?,
            no_route,
            subset,
            list,
            peers,
            policy,
            log,
            warnings,
            source,
        })
    }

    fn limits(&mut self, top: &Section<'_>) -> Option<Limits> {
        let sink = &mut *self.sink;
        let mut limits = Limits {
            memory: 64 << 20,
            descriptors: 1_024,
            open_calls: 0,
            body: 64 << 10,
            retry_after: 1_000_000,
        };
        let Some(section) = top.section(sink, "limits", &LIMITS_KEYS) else {
            limits.open_calls = max_client_connections(limits.descriptors);
            return Some(limits);
        };
        if let Some(memory) = section.size(sink, "memory", MEMORY_RANGE) {
            limits.memory = memory.value as usize;
        }
        if let Some(descriptors) = section.integer(sink, "descriptors", DESCRIPTORS_RANGE) {
            limits.descriptors = descriptors.value as usize;
        }
        let max_body = limits.memory as u64 / BODY_MEMORY_DIVISOR;
        if let Some(body) = section.size(sink, "body", 1_024..=64 << 20) {
            if body.value > max_body {
                let reason = "a body may not take more than a sixteenth of the memory";
                let allowed = format!(
                    "at most {} with a memory of {}",
                    format_size(max_body),
                    format_size(limits.memory as u64)
                );
                sink.add(
                    &body.key,
                    &body.span,
                    reason,
                    format_size(body.value),
                    allowed,
                );
            }
            limits.body = body.value as usize;
        }
        if let Some(wait) = section.duration(sink, "retry_after", 0..=60_000_000) {
            limits.retry_after = wait.value;
        }
        let max_open_calls = max_client_connections(limits.descriptors);
        limits.open_calls = max_open_calls;
        if let Some(open) = section.integer(sink, "open_calls", 1..=1 << 20) {
            if open.value as usize > max_open_calls {
                let reason = "there are too few descriptors for this many open calls";
                let allowed = format!(
                    "at most {max_open_calls} with {} descriptors",
                    limits.descriptors
                );
                sink.add(
                    &open.key,
                    &open.span,
                    reason,
                    open.value.to_string(),
                    allowed,
                );
            }
            limits.open_calls = open.value as usize;
        }
        Some(limits)
    }

    fn classes(
        &mut self,
        top: &Section<'_>,
        defaults: &TimingDraft,
        deployment: Deployment,
    ) -> Vec<ClassDraft> {
        let Some(value) = top.get("class") else {
            return Vec::new();
        };
        let DeValue::Table(table) = value.get_ref() else {
            let found = display_value(value.get_ref());
            self.sink.add(
                "class",
                &value.span(),
                "this is not a table",
                found,
                "a table for each class: [class.NAME]",
            );
            return Vec::new();
        };
        let mut known = timing::KEYS.to_vec();
        if deployment == Deployment::Standalone {
            known.extend(CLASS_KEYS);
        }
        let mut classes = Vec::new();
        for (name, entry) in table {
            let (name, span) = (name.get_ref().to_string(), name.span());
            let key = format!("class.{name}");
            let DeValue::Table(body) = entry.get_ref() else {
                let found = display_value(entry.get_ref());
                self.sink.add(
                    &key,
                    &entry.span(),
                    "this is not a class",
                    found,
                    format!("a table: [{key}]"),
                );
                continue;
            };
            let section = Section::new(self.sink, body, &key, span.clone(), &known);
            classes.push(self.class(&section, name, span, defaults, deployment));
        }
        classes
    }

    fn class(
        &mut self,
        section: &Section<'_>,
        name: String,
        span: Span,
        defaults: &TimingDraft,
        deployment: Deployment,
    ) -> ClassDraft {
        let sink = &mut *self.sink;
        let draft = TimingDraft::read(sink, section).inherit(defaults);
        let mut class = ClassDraft {
            name,
            span,
            latency_objective: None,
            deadline: None,
            priority_weight: 1.0,
            late_value: 1.0,
            idempotency: None,
            draft,
        };
        if deployment == Deployment::Standalone {
            section.require(sink, "aim", "the latency objective, like \"500ms\"");
            section.require(
                sink,
                "deadline",
                "the time after which a client gives up, like \"1200ms\"",
            );
            section.require(sink, "effect", "\"safe\", \"keyed\" or \"unsafe\"");
            class.latency_objective = section.duration(sink, "aim", 1_000..=MAX_DEADLINE);
            class.deadline = section.duration(sink, "deadline", 10_000..=MAX_DEADLINE);
            class.priority_weight = section
                .number(sink, "worth", 0.001..=1e6)
                .map_or(1.0, |w| w.value);
            class.late_value = section
                .number(sink, "late_worth", 0.0..=1.0)
                .map_or(1.0, |w| w.value);
            class.idempotency = idempotency(sink, section);
            if let (Some(latency_objective), Some(deadline)) =
                (&class.latency_objective, &class.deadline)
            {
                if latency_objective.value > deadline.value {
                    let allowed =
                        format!("at most the deadline, {}", format_duration(deadline.value));
                    let reason = "the latency objective is longer than the deadline";
                    sink.add(
                        &latency_objective.key,
                        &latency_objective.span,
                        reason,
                        format_duration(latency_objective.value),
                        allowed,
                    );
                }
            }
        }
        class.draft.check(self.sink, &class.timing_context());
        class
            .draft
            .check_proofs(self.unsafe_sink, &class.timing_context());
        class
    }

    fn routes(
        &mut self,
        top: &Section<'_>,
        classes: &[ClassDraft],
        deployment: Deployment,
        text: &str,
        expressions: &mut Expressions,
    ) -> (Vec<Route>, Vec<(Span, TimingDraft)>) {
        let Some(list) = top.list(self.sink, "route", "routes: [[route]]") else {
            return Default::default();
        };
        if list.len() > MAX_ROUTES {
            let span = top.get("route").map_or(0..0, |v| v.span());
            let found = format!("{} routes", list.len());
            self.sink.add(
                "route",
                &span,
                "too many routes",
                found,
                format!("at most {MAX_ROUTES}"),
            );
            return Default::default();
        }
        let known: Vec<&str> = ROUTE_KEYS.iter().chain(&timing::KEYS).copied().collect();
        let class_names: Vec<&str> = classes.iter().map(|c| c.name.as_str()).collect();
        let class_indexes: HashMap<&str, usize> = class_names
            .iter()
            .enumerate()
            .map(|(n, &c)| (c, n))
            .collect();
        let response_rules: Vec<Arc<ResponseRules>> = classes
            .iter()
            .map(|c| Arc::new(c.draft.response_rules(c.idempotency)))
            .collect();
        let mut names = HashMap::new();
        let (mut routes, mut drafts) = (Vec::new(), Vec::new());
        for (key, value) in list {
            let DeValue::Table(table) = value.get_ref() else {
                let found = display_value(value.get_ref());
                self.sink.add(
                    &key,
                    &value.span(),
                    "this is not a route",
                    found,
                    "a table: [[route]]",
                );
                continue;
            };
            let mut section = Section::new(self.sink, table, &key, value.span(), &known);
            section.span = start_span(value);
            let sink = &mut *self.sink;
            section.require(sink, "class", "the name of a class");
            section.require(sink, "name", "a unique name");
            let name = section.text(sink, "name");
            if let Some(name) = &name {
                check_unique(
                    sink,
                    &mut names,
                    (&name.key, &name.span),
                    name.value.clone(),
                    "name",
                );
            }
            let path = path(sink, &section);
            let methods = methods(sink, &section);
            let headers = headers(sink, &section);
            let when = expressions.read(sink, &section, "when", text, ExpectedType::Condition);
            let tenant = source(sink, &section, "tenant", text, expressions);
            let key = source(sink, &section, "key", text, expressions);
            let class = section.text(sink, "class").and_then(|class| {
                match class_indexes.get(class.value.as_str()) {
                    Some(&index) => Some(index),
                    None => {
                        let (reason, found) =
                            ("no class has this name", format!("{:?}", class.value));
                        sink.add(
                            &class.key,
                            &class.span,
                            reason,
                            found,
                            suggest_names(&class.value, &class_names),
                        );
                        None
                    }
                }
            });
            let overrides = TimingDraft::read(sink, &section);
            let Some((index, class)) = class.map(|index| (index, &classes[index])) else {
                continue;
            };
            let draft = overrides.inherit(&class.draft);
            let span = name
                .as_ref()
                .map_or(section.span.clone(), |n| n.span.clone());
            let display_name = name.as_ref().map_or(section.key.clone(), |n| {
                format!("route {:?} of {}", n.value, class.name)
            });
            let timing_context = TimingContext {
                name: &display_name,
                span: &span,
                ..class.timing_context()
            };
            if overrides.has_values() {
                draft.check(sink, &timing_context);
                draft.check_proofs(self.unsafe_sink, &timing_context);
            }
            let is_keyed = matches!(class.idempotency, Some(Idempotency::Keyed { .. }));
            if section.has("key")
                && !is_keyed
                && deployment == Deployment::Standalone
                && class.idempotency.is_some()
            {
                let span = section
                    .get("key")
                    .map_or(section.span.clone(), |v| v.span());
                let found = format!("a key for {:?}", class.name);
                let reason = "only a keyed class uses an idempotency key";
                sink.add(
                    &section.key_path("key"),
                    &span,
                    reason,
                    found,
                    "a class with effect = \"keyed\", or no key",
                );
            }
            let timing = match deployment {
                Deployment::Standalone => draft.timing(&timing_context),
                Deployment::Platform => Timing::UNLIMITED,
            };
            let default_key =
                is_keyed.then(|| Source::Header(HeaderName::from_static("idempotency-key")));
            let response_rules = if overrides.has_values() {
                Arc::new(draft.response_rules(class.idempotency))
            } else {
                Arc::clone(&response_rules[index])
            };
            let Some(path) = path else { continue };
            routes.push(Route {
                name: name.map_or_else(|| section.key.clone(), |n| n.value),
                path,
                methods,
                headers,
                when,
                class: index,
                tenant,
                key: key.or(default_key),
                timing,
                response_rules,
            });
            drafts.push((span, draft));
        }
        (routes, drafts)
    }

    /// Removes keys that requests have although their clients sent none. Calls without a key are not sent again.
    fn remove_default_keys(&mut self, top: &Section<'_>, routes: &mut [Route], program: &Program) {
        for (index, route) in routes.iter_mut().enumerate() {
            let Some(default_key) = default_keys::default_key(route, program) else {
                continue;
            };
            route.key = None;
            let reason = "requests whose clients sent no key have this one: endpoints don't know it, and a retry would run again";
            let allowed = "an expression that is absent where a request has no key, as `header[\"x\"]` without `??`";
            self.unsafe_sink.add(
                &format!("route[{index}].key"),
                &route_value_span(top, index, "key"),
                reason,
                format!("{default_key:?} for requests without a key"),
                allowed,
            );
        }
    }

    fn table(
        &mut self,
        top: &Section<'_>,
        routes: Vec<Route>,
        drafts: &[(Span, TimingDraft)],
        program: Arc<Program>,
    ) -> Option<Table> {
        let table = match Table::with_program(routes, program) {
            Ok(table) => table,
            Err(error) => {
                let span = top
                    .get("route")
                    .map_or(0..0, |v| v.span().start..v.span().start);
                let allowed =
                    "fewer or smaller patterns; exact paths and prefixes have no such bound";
                self.sink
                    .add("route", &span, error.to_string(), "more", allowed);
                return None;
            }
        };
        for shadow in table.shadows() {
            let (later, earlier) = (
                &table.routes()[shadow.later],
                &table.routes()[shadow.earlier],
            );
            let reason = format!(
                "this route can never match: the earlier route {:?} matches all its requests",
                earlier.name
            );
            let allowed = "the more specific route first, or only one of the two";
            let key = format!("route[{}]", shadow.later);
            let diagnostic = self.sink.add(
                &key,
                &drafts[shadow.later].0,
                reason,
                format!("{:?}", later.name),
                allowed,
            );
            diagnostic.add_related(drafts[shadow.earlier].0.clone(), "the earlier route");
        }
        Some(table)
    }

    fn no_route(&mut self, top: &Section<'_>) -> NoRoute {
        let defaults = NoRoute {
            status: 404,
            text: "no route takes this request".to_owned(),
        };
        let sink = &mut *self.sink;
        let Some(section) = top.section(sink, "no_route", &NO_ROUTE_KEYS) else {
            return defaults;
        };
        let status = section.integer(sink, "status", 400..=599);
        if let Some(status) = status.as_ref().filter(|s| [429, 503].contains(&s.value)) {
            let reason =
                "clients retry on this status, but a request without a route never succeeds";
            let allowed = "a status from 400 to 599 but 429 and 503";
            sink.add(
                &status.key,
                &status.span,
                reason,
                status.value.to_string(),
                allowed,
            );
        }
        NoRoute {
            status: status.map_or(defaults.status, |s| s.value as u16),
            text: section
                .text(sink, "text")
                .map_or(defaults.text, |t| t.value),
        }
    }

    /// Checks that all endpoints have a zone or group if a keyed class deduplicates retries within it.
    fn check_groups(&mut self, classes: &[ClassDraft], upstream: Option<&Upstream>) {
        let Some(upstream) = upstream.filter(|u| u.discovery.is_none()) else {
            return;
        };
        for class in classes {
            let missing = dedup_scope::endpoint_without_scope(class.idempotency, upstream);
            let Some((scope, endpoint)) = missing else {
                continue;
            };
            let reason =
                format!("retries are deduplicated within a {scope}, but an endpoint has none");
            let key = format!("class.{}.group", class.name);
            let found = format!("endpoint {:?} without a {scope}", endpoint.name);
            let allowed = format!("a `{scope}` for each endpoint");
            self.sink.add(&key, &class.span, reason, found, allowed);
        }
    }
}

/// The empty span at the start of a value, by which diagnostics locate a route without a name.
fn start_span(value: &Value<'_>) -> Span {
    let span = value.span();
    span.start..span.start
}

/// The span of a key of the route with this index; empty if it has none.
fn route_value_span(top: &Section<'_>, index: usize, key: &str) -> Span {
    let routes = top
        .get("route")
        .and_then(|value| value.get_ref().as_array());
    let route = routes.and_then(|routes| routes.get(index)?.get_ref().as_table());
    route
        .and_then(|route| route.get(key))
        .map_or(0..0, |value| value.span())
}

/// Adds a diagnostic if a value that must be unique was used before.
pub(crate) fn check_unique(
    sink: &mut DiagnosticSink,
    seen: &mut HashMap<String, Span>,
    (key, span): (&str, &Span),
    value: String,
    value_kind: &str,
) {
    let found = format!("{value:?} again");
    if let Some(first) = seen.get(&value) {
        let reason = format!("duplicate {value_kind}");
        let diagnostic = sink.add(key, span, reason, found, format!("a unique {value_kind}"));
        diagnostic.add_related(first.clone(), "first here");
    } else {
        seen.insert(value, span.clone());
    }
}

pub(crate) fn address(
    sink: &mut DiagnosticSink,
    section: &Section<'_>,
    name: &str,
) -> Option<SocketAddr> {
    let allowed =
        "an IP address and a port, like \"127.0.0.1:8080\" or \"[::1]:8080\"; names are not looked up";
    let read = section.read(sink, name, "this is not an address", allowed, |v| {
        v.as_str()?.parse::<SocketAddr>().ok()
    })?;
    if name != "listen" && read.value.port() == 0 {
        sink.add(
            &read.key,
            &read.span,
            "no endpoint can listen on port 0",
            read.value.to_string(),
            "a port from 1 to 65535",
        );
        return None;
    }
    Some(read.value)
}

fn idempotency(sink: &mut DiagnosticSink, section: &Section<'_>) -> Option<Idempotency> {
    #[derive(Clone, Copy, PartialEq)]
    enum Effect {
        Safe,
        Keyed,
        Unsafe,
    }
    let keywords = [
        ("safe", Effect::Safe),
        ("keyed", Effect::Keyed),
        ("unsafe", Effect::Unsafe),
    ];
    let effect = section.keyword(sink, "effect", &keywords)?.value;
    let scope = section.keyword(
        sink,
        "group",
        &[
            ("all", DedupScope::All),
            ("zone", DedupScope::Zone),
            ("group", DedupScope::Cell),
        ],
    );
    let window = section.duration(sink, "window", 1_000..=3_600_000_000);
    if effect != Effect::Keyed {
        for name in ["group", "window"] {
            if let Some(value) = section.get(name) {
                let reason = "only a keyed class has this key";
                let allowed = "effect = \"keyed\", or none of `group` and `window`";
                sink.add(
                    &section.key_path(name),
                    &value.span(),
                    reason,
                    display_value(value.get_ref()),
                    allowed,
                );
            }
        }
    }
    match effect {
        Effect::Safe => Some(Idempotency::Idempotent),
        Effect::Unsafe => Some(Idempotency::NonIdempotent),
        Effect::Keyed => {
            section.require(
                sink,
                "group",
                "the scope of deduplication: \"all\", \"zone\" or \"group\"",
            );
            section.require(
                sink,
                "window",
                "the time for which retries are deduplicated, like \"1200ms\"",
            );
            Some(Idempotency::Keyed {
                scope: scope?.value,
                window: window?.value,
            })
        }
    }
}

fn path(sink: &mut DiagnosticSink, section: &Section<'_>) -> Option<PathPattern> {
    let path_keys: Vec<&str> = ["path", "prefix", "regex"]
        .into_iter()
        .filter(|k| section.has(k))
        .collect();
    let &[kind] = path_keys.as_slice() else {
        let reason = "a route has exactly one kind of path";
        let found = if path_keys.is_empty() {
            "none".to_owned()
        } else {
            path_keys.join(" and ")
        };
        sink.add(
            &section.key,
            &section.span,
            reason,
            found,
            "one of `path`, `prefix` and `regex`",
        );
        return None;
    };
    let text = section.text(sink, kind)?;
    if kind == "regex" {
        return match compile_pattern(&text.value) {
            Ok(regex) => Some(PathPattern::Regex(regex)),
            Err(error) => {
                let allowed = format!("a regular expression without look-around or back references, up to {} compiled, that matches the whole path", format_size(MAX_PATTERN_BYTES as u64));
                sink.add(
                    &text.key,
                    &text.span,
                    format!("this is not a valid pattern: {error}"),
                    format!("{:?}", text.value),
                    allowed,
                );
                None
            }
        };
    }
    let has_only_path = !text.value.contains(['?', '#']);
    match normalize(&text.value) {
        Ok(normal) if has_only_path && normal == text.value.as_str() => Some(match kind {
            "path" => PathPattern::Exact(text.value),
            _ => PathPattern::Prefix(text.value),
        }),
        other => {
            let allowed = match other {
                Ok(normal) if has_only_path => format!("its normal form, {normal:?}"),
                Ok(_) => "a path without query and fragment".to_owned(),
                Err(error) => error.to_string(),
            };
            let reason = "this path is not in its normal form and would never match";
            sink.add(
                &text.key,
                &text.span,
                reason,
                format!("{:?}", text.value),
                allowed,
            );
            None
        }
    }
}

fn methods(sink: &mut DiagnosticSink, section: &Section<'_>) -> Vec<Method> {
    let Some(list) = section.list(sink, "methods", "methods, like [\"GET\", \"POST\"]") else {
        return Vec::new();
    };
    let allowed = "methods in capital letters, like \"POST\"; not CONNECT";
    if list.is_empty() {
        let span = section.get("methods").map_or(0..0, |v| v.span());
        sink.add(
            &section.key_path("methods"),
            &span,
            "no request would match",
            "an empty list",
            allowed,
        );
    }
    let mut methods = Vec::new();
    for (key, value) in list {
        let text = value.get_ref().as_str().unwrap_or_default();
        match text.parse::<Method>() {
            Ok(method)
                if method != Method::CONNECT && text.bytes().all(|b| !b.is_ascii_lowercase()) =>
            {
                methods.push(method);
            }
            _ => {
                sink.add(
                    &key,
                    &value.span(),
                    "this is not a method",
                    display_value(value.get_ref()),
                    allowed,
                );
            }
        }
    }
    methods
}

fn headers(sink: &mut DiagnosticSink, section: &Section<'_>) -> Vec<HeaderPattern> {
    let Some(value) = section.get("headers") else {
        return Vec::new();
    };
    let allowed =
        "{ \"content-type\" = \"application/json\", \"x-branch\" = true }, where true means any value";
    let DeValue::Table(table) = value.get_ref() else {
        sink.add(
            &section.key_path("headers"),
            &value.span(),
            "this is not a table of headers",
            display_value(value.get_ref()),
            allowed,
        );
        return Vec::new();
    };
    let mut patterns = Vec::new();
    for (name, value) in table {
        let key = format!("{}.{:?}", section.key_path("headers"), name.get_ref());
        let Ok(header) = HeaderName::from_bytes(name.get_ref().as_bytes()) else {
            sink.add(
                &key,
                &name.span(),
                "this is not a header name",
                format!("{:?}", name.get_ref()),
                allowed,
            );
            continue;
        };
        let expected = match value.get_ref() {
            DeValue::Boolean(true) => Some(None),
            DeValue::String(text) => HeaderValue::from_str(text).ok().map(Some),
            _ => None,
        };
        match expected {
            Some(value) => patterns.push(HeaderPattern {
                name: header,
                value,
            }),
            None => {
                sink.add(
                    &key,
                    &value.span(),
                    "this is not a header value",
                    display_value(value.get_ref()),
                    allowed,
                );
            }
        }
    }
    patterns
}

fn source(
    sink: &mut DiagnosticSink,
    section: &Section<'_>,
    name: &str,
    text: &str,
    expressions: &mut Expressions,
) -> Option<Source> {
    if section
        .get(name)
        .is_some_and(|v| v.get_ref().as_str().is_some())
    {
        return expressions
            .read(sink, section, name, text, ExpectedType::Text)
            .map(Source::Expression);
    }
    let entry = section.section(sink, name, &["header", "cookie"])?;
    let header = timing::header_name(sink, &entry, "header");
    let cookie = entry.text(sink, "cookie");
    match (entry.has("header"), entry.has("cookie")) {
        (true, false) => header.map(|h| Source::Header(h.value)),
        (false, true) => cookie.map(|c| Source::Cookie(c.value)),
        (both, _) => {
            let found = if both { "both" } else { "neither" };
            let allowed = "{ header = \"NAME\" } or { cookie = \"NAME\" }";
            sink.add(
                &entry.key,
                &entry.span,
                "a value has exactly one source",
                found,
                allowed,
            );
            None
        }
    }
}

/// The time reserved for the response must be shorter than the shortest deadline that a class may have.
const _: () = assert!(RESPONSE_RESERVE < 10_000);
