//! The schema of the file, and what is checked over more than one key.

use crate::expressions::{self, Expressions};
use crate::log::{self, Log};
use crate::subset::{self, ListTerms, SubsetTerms};
use crate::timing::{self, Draft, Facts, Figure};
use crate::{clients_borne, peers, policy, PeersTerms, PolicyTerms, ANSWER_ROOM};
use badgerramp_decisions::{
    self as decisions, settings, CellId, DedupScope, EndpointEntry, EndpointId, EndpointStatus,
    Idempotency, Micros,
};
use badgerramp_expr::{Program, Wanted};
use badgerramp_route::{
    normalize, pattern, Answers, HeaderPattern, PathPattern, Route, Source, Table, Timing,
    PATTERN_BYTES,
};
use badgerramp_toml_diagnostics::units::{format_duration, format_size};
use badgerramp_toml_diagnostics::{
    display_value, parse_document, suggest_names, DeTable, DeValue, DiagnosticSink, Diagnostics,
    Located, Section, Span, Value,
};
use http::{HeaderName, HeaderValue, Method};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

const FILE: [&str; 14] = [
    "platform", "listen", "limits", "log", "upstream", "subset", "list", "peers", "policy",
    "defaults", "class", "route", "no_route", "expect",
];
const LIMITS: [&str; 5] = ["memory", "descriptors", "open_calls", "body", "retry_after"];
const UPSTREAM: [&str; 10] = [
    "endpoints",
    "discovery",
    "zone",
    "proxies",
    "idle",
    "drain_grace",
    "cold_share",
    "cold_time",
    "fall_multiple",
    "fall_time",
];
const ENDPOINT: [&str; 6] = ["name", "address", "zone", "group", "kind", "weight"];
const CLASS: [&str; 7] = [
    "aim",
    "deadline",
    "worth",
    "late_worth",
    "effect",
    "group",
    "window",
];
const ROUTE: [&str; 10] = [
    "name", "path", "prefix", "regex", "methods", "headers", "when", "class", "tenant", "key",
];
const NO_ROUTE: [&str; 2] = ["status", "text"];

/// Longest time that a client may wait.
const DEADLINE_MOST: Micros = 600_000_000;
const MEMORY: std::ops::RangeInclusive<u64> = 32 << 20..=64 << 30;
const DESCRIPTORS: std::ops::RangeInclusive<u64> = 256..=1 << 20;
const ENDPOINTS_MOST: usize = 10_000;
const ROUTES_MOST: usize = 100_000;
/// Part of the memory that one body may take.
const BODY_PART: u64 = 16;
/// What a file is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// A sidecar that stands alone.
    Alone,
    /// Beside the platform's settings, which it may only narrow.
    Platform,
}

/// A file that was read and found good.
#[derive(Debug)]
pub struct Config {
    /// What it is for.
    pub usage: Use,
    /// Where clients connect. On the platform it is not set here.
    pub listen: SocketAddr,
    /// What the program may take up.
    pub limits: Limits,
    /// Where calls go.
    pub upstream: Upstream,
    /// Classes, in the order of the file; routes name them by place.
    pub classes: Vec<Class>,
    /// Routes.
    pub routes: Table,
    /// The answer where no route takes a request.
    pub no_route: NoRoute,
    /// The endpoints of a large fleet that the proxy keeps to; `None`: all.
    pub subset: Option<SubsetTerms>,
    /// How the list service is asked where many do.
    pub list: Option<ListTerms>,
    /// The other proxies that pass the list on; `None`: this one asks for itself.
    pub peers: Option<PeersTerms>,
    /// Where the fleet's policy is controlled; `None`: this file is all of it.
    pub policy: Option<PolicyTerms>,
    /// What the program writes of what it does.
    pub log: Log,
    /// What is no mistake and worth a look.
    pub warnings: Vec<String>,
    pub(crate) source: Origin,
}

/// The text of the file and where its parts stand, for what can be checked only later.
#[derive(Debug)]
pub(crate) struct Origin {
    pub(crate) name: String,
    pub(crate) text: String,
    /// For each class, and for each route: where it is named, and what it sets with all that it inherits.
    pub(crate) classes: Vec<(Span, Draft)>,
    pub(crate) routes: Vec<(Span, Draft)>,
}

/// What the program may take up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of memory.
    pub memory: usize,
    /// Descriptors.
    pub descriptors: usize,
    /// Calls that may be open at once.
    pub open_calls: usize,
    /// Bytes of one body, either way.
    pub body: usize,
    /// Longest advice when to come back, in microseconds.
    pub retry_after: Micros,
}

/// Where calls go.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Endpoints that the file names; empty with discovery.
    pub endpoints: Vec<Endpoint>,
    /// The list service.
    pub discovery: Option<SocketAddr>,
    /// The zone of this proxy; empty: none.
    pub zone: String,
    /// How many proxies send to these endpoints, this one included.
    pub proxies: u32,
    /// Endpoints close a connection that has been idle for this long, in microseconds.
    pub idle: Micros,
    /// Figures of drains and cold starts.
    pub rules: decisions::EndpointRules,
}

/// An endpoint that the file names.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone; empty: none.
    pub zone: String,
    /// The group whose members drop each other's repeats.
    pub group: u32,
    /// Its machine kind; empty: none.
    pub kind: String,
    /// Its size against the others'.
    pub weight: f64,
}

impl Endpoint {
    /// Its entry in the list, for the decisions.
    pub fn entry(&self, server: EndpointId) -> EndpointEntry {
        EndpointEntry {
            endpoint: server,
            status: EndpointStatus::Ready,
            zone: settings::zone_id(&self.zone),
            cell: CellId(self.group),
            kind: settings::kind_id(&self.kind),
            weight: self.weight,
            started: 0,
        }
    }
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What the decisions are told of it.
    pub class: decisions::Class,
    /// Its timing, where a route does not override it.
    pub timing: Timing,
}

/// The answer where no route takes a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoRoute {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub text: String,
}

impl Config {
    /// The name of the file.
    pub fn name(&self) -> &str {
        &self.source.name
    }

    /// The text of the file.
    pub fn text(&self) -> &str {
        &self.source.text
    }

    /// Where a class is named.
    pub fn class_span(&self, place: usize) -> Span {
        self.source.classes.get(place).map_or(0..0, |c| c.0.clone())
    }

    /// Where a route is named.
    pub fn route_span(&self, place: usize) -> Span {
        self.source.routes.get(place).map_or(0..0, |r| r.0.clone())
    }

    /// Where the value of a key stands: names of tables and of the key, numbers for places in a list.
    pub fn place(&self, path: &[&str]) -> Option<Span> {
        let mut notes = DiagnosticSink::default();
        let table = parse_document(&mut notes, &self.source.text);
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

    /// Does this file's route make of a request what that one makes of it, with the same class by name?
    pub fn same_route(&self, place: usize, other: &Config, its: usize) -> bool {
        let (Some(a), Some(b)) = (
            self.routes.routes().get(place),
            other.routes.routes().get(its),
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
            && (&a.tenant, &a.key, &a.timing, &a.answers)
                == (&b.tenant, &b.key, &b.timing, &b.answers)
            && class(self, a) == class(other, b)
    }

    /// This file's part of the policy (classes, routes, what a client is told) beside what `local` says of the machine:
    /// its listener, limits of memory and descriptors, upstream, log and way to control.
    #[must_use]
    pub fn beside(mut self, local: &Config) -> Self {
        self.usage = local.usage;
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
        let floor = self.policy.take().map(|p| p.floor).unwrap_or_default();
        self.policy = local.policy.clone().map(|own| PolicyTerms { floor, ..own });
        self
    }

    /// The timing of a class, figure by figure.
    pub fn class_figures(&self, place: usize) -> Vec<Figure> {
        let Some(((_, draft), class)) = self.source.classes.get(place).zip(self.classes.get(place))
        else {
            return Vec::new();
        };
        draft.figures(&class.timing)
    }

    /// The timing of a route, figure by figure.
    pub fn route_figures(&self, place: usize) -> Vec<Figure> {
        let Some(((_, draft), route)) = self
            .source
            .routes
            .get(place)
            .zip(self.routes.routes().get(place))
        else {
            return Vec::new();
        };
        draft.figures(&route.timing)
    }

    /// What the decisions are told of a file that stands alone.
    pub fn settings(&self) -> decisions::Settings {
        let upstream = &self.upstream;
        let timings = || self.routes.routes().iter().map(|r| &r.timing);
        let plain = decisions::Settings::default();
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
                ..plain.limits
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
            ..plain
        }
    }
}

/// A class while the file is read.
struct ClassDraft {
    name: String,
    span: Span,
    aim: Option<Located<Micros>>,
    deadline: Option<Located<Micros>>,
    worth: f64,
    late_worth: f64,
    repeat: Option<Idempotency>,
    draft: Draft,
}

impl ClassDraft {
    fn facts(&self) -> Facts<'_> {
        let deadline = self.deadline.as_ref().map(|d| d.value);
        Facts {
            name: &self.name,
            span: &self.span,
            deadline,
            repeat: self.repeat,
        }
    }
}

pub(crate) fn parse(name: &str, text: &str) -> Result<Config, Diagnostics> {
    let mut notes = DiagnosticSink::default();
    let table = parse_document(&mut notes, text);
    if !notes.is_empty() {
        return Err(notes.into_diagnostics(name, text));
    }
    let config = Reading { notes: &mut notes }.file(name, text, &table);
    match config {
        Some(config) if notes.is_empty() => Ok(config),
        _ => Err(notes.into_diagnostics(name, text)),
    }
}

struct Reading<'n> {
    notes: &'n mut DiagnosticSink,
}

impl Reading<'_> {
    fn file(&mut self, name: &str, text: &str, table: &DeTable<'_>) -> Option<Config> {
        let top = Section::new(self.notes, table, "", 0..0, &FILE);
        let platform = top.read(
            self.notes,
            "platform",
            "this is not a flag",
            "true or false",
            DeValue::as_bool,
        );
        let usage = if platform.is_some_and(|p| p.value) {
            Use::Platform
        } else {
            Use::Alone
        };
        if usage == Use::Platform {
            for name in [
                "listen", "limits", "upstream", "subset", "list", "peers", "policy", "no_route",
            ]
            .into_iter()
            .filter(|n| top.has(n))
            {
                if let Some((_, span, _)) = top.iter().find(|(n, ..)| *n == name) {
                    let reason = "the platform sets this: beside its settings a file only narrows";
                    self.notes.add(
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
                self.notes,
                "listen",
                "an address and a port, like \"127.0.0.1:8080\"",
            );
            top.require(self.notes, "upstream", "a table: [upstream]");
            top.require(self.notes, "class", "a table for each class: [class.NAME]");
            top.require(self.notes, "route", "a list of routes: [[route]]");
        }
        let listen = address(self.notes, &top, "listen");
        let limits = self.limits(&top);
        let upstream = top
            .section(self.notes, "upstream", &UPSTREAM)
            .map(|section| self.upstream(&section));
        let subset = subset::subset(self.notes, &top, upstream.as_ref(), limits.as_ref());
        let list = subset::list(self.notes, &top, upstream.as_ref());
        let peers = peers::read(
            self.notes,
            &top,
            upstream.as_ref().map(|u| u.discovery.is_some()),
        );
        let defaults = match top.section(self.notes, "defaults", &timing::KEYS) {
            Some(section) => Draft::read(self.notes, &section),
            None => Draft::default(),
        };
        let classes = self.classes(&top, &defaults, usage);
        let mut expressions = Expressions::default();
        let names: Vec<&str> = classes.iter().map(|c| c.name.as_str()).collect();
        let policy = policy::read(self.notes, &top, &names);
        let (routes, route_drafts) = self.routes(&top, &classes, usage, text, &mut expressions);
        let no_route = self.no_route(&top);
        let log = log::read(self.notes, &top);
        if usage == Use::Alone {
            self.check_groups(&classes, upstream.as_ref());
        }
        let program = Arc::new(expressions.program(self.notes));
        let built = self.table(&top, routes, &route_drafts, program);
        let mut warnings = Vec::new();
        if let Some(table) = built.as_ref().filter(|_| self.notes.is_empty()) {
            let names: Vec<&str> = classes.iter().map(|c| c.name.as_str()).collect();
            expressions::expect(self.notes, &top, table, &names);
            warnings = expressions::overlaps(table, &names);
        }
        let source = Origin {
            name: name.to_owned(),
            text: text.to_owned(),
            classes: classes
                .iter()
                .map(|c| (c.span.clone(), c.draft.clone()))
                .collect(),
            routes: route_drafts,
        };
        let class = |c: ClassDraft| {
            let (aim, deadline) = match usage {
                Use::Alone => (c.aim.as_ref()?.value, c.deadline.as_ref()?.value),
                Use::Platform => (0, 0),
            };
            let repeat = c.repeat.unwrap_or_default();
            let class = decisions::Class {
                latency_objective: aim,
                deadline,
                priority_weight: c.worth,
                late_value: c.late_worth,
                idempotency: repeat,
            };
            let timing = match usage {
                Use::Alone => c.draft.timing(&c.facts()),
                Use::Platform => Timing::UNLIMITED,
            };
            Some(Class {
                name: c.name,
                class,
                timing,
            })
        };
        let classes = classes.into_iter().map(class).collect::<Option<Vec<_>>>()?;
        Some(Config {
            usage,
            listen: match usage {
                Use::Alone => listen?,
                Use::Platform => SocketAddr::from(([127, 0, 0, 1], 0)),
            },
            limits: limits?,
            upstream: match usage {
                Use::Alone => upstream?,
                Use::Platform => nowhere(),
            },
            classes,
            routes: built?,
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
        let notes = &mut *self.notes;
        let mut limits = Limits {
            memory: 64 << 20,
            descriptors: 1_024,
            open_calls: 0,
            body: 64 << 10,
            retry_after: 1_000_000,
        };
        let Some(section) = top.section(notes, "limits", &LIMITS) else {
            limits.open_calls = clients_borne(limits.descriptors);
            return Some(limits);
        };
        if let Some(memory) = section.size(notes, "memory", MEMORY) {
            limits.memory = memory.value as usize;
        }
        if let Some(descriptors) = section.integer(notes, "descriptors", DESCRIPTORS) {
            limits.descriptors = descriptors.value as usize;
        }
        let body_most = limits.memory as u64 / BODY_PART;
        if let Some(body) = section.size(notes, "body", 1_024..=64 << 20) {
            if body.value > body_most {
                let reason = "a body may not take more than a sixteenth of the memory";
                let allowed = format!(
                    "at most {} with a memory of {}",
                    format_size(body_most),
                    format_size(limits.memory as u64)
                );
                notes.add(
                    &body.key,
                    &body.span,
                    reason,
                    format_size(body.value),
                    allowed,
                );
            }
            limits.body = body.value as usize;
        }
        if let Some(wait) = section.duration(notes, "retry_after", 0..=60_000_000) {
            limits.retry_after = wait.value;
        }
        let borne = clients_borne(limits.descriptors);
        limits.open_calls = borne;
        if let Some(open) = section.integer(notes, "open_calls", 1..=1 << 20) {
            if open.value as usize > borne {
                let reason = "the descriptors do not bear so many open calls";
                let allowed = format!("at most {borne} with {} descriptors", limits.descriptors);
                notes.add(
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

    fn upstream(&mut self, section: &Section<'_>) -> Upstream {
        let plain = nowhere();
        let notes = &mut *self.notes;
        let discovery = address(notes, section, "discovery");
        match (section.has("endpoints"), section.has("discovery")) {
            (false, false) => {
                let allowed = "`endpoints`, or the address of a list service in `discovery`";
                notes.add(
                    &section.key,
                    &section.span,
                    "no call could go anywhere",
                    "neither",
                    allowed,
                );
            }
            (true, true) => {
                let span = section
                    .get("discovery")
                    .map_or(section.span.clone(), |v| v.span());
                let reason = "endpoints come from the file or from the list service, not from both";
                notes.add(
                    &section.key_path("discovery"),
                    &span,
                    reason,
                    "both",
                    "either `endpoints` or `discovery`",
                );
            }
            _ => {}
        }
        let zone = section.text(notes, "zone").map_or(plain.zone, |z| z.value);
        let proxies = section
            .integer(notes, "proxies", 1..=100_000)
            .map_or(1, |p| p.value as u32);
        let idle = section
            .duration(notes, "idle", 100_000..=3_600_000_000)
            .map_or(plain.idle, |d| d.value);
        let mut rules = plain.rules;
        if let Some(grace) = section.duration(notes, "drain_grace", 50_000..=60_000_000) {
            rules.drain_grace = grace.value;
        }
        if let Some(share) = section.number(notes, "cold_share", 0.01..=1.0) {
            rules.slow_start_min_capacity = share.value;
        }
        if let Some(time) = section.duration(notes, "cold_time", 0..=600_000_000) {
            rules.slow_start_duration = time.value;
        }
        if let Some(multiple) = section.number(notes, "fall_multiple", 1.0..=100.0) {
            rules.overload_multiple = multiple.value;
        }
        if let Some(time) = section.duration(notes, "fall_time", 1_000..=600_000_000) {
            rules.overload_duration = time.value;
        }
        let endpoints = self.endpoints(section);
        Upstream {
            endpoints,
            discovery,
            zone,
            proxies,
            idle,
            rules,
        }
    }

    fn endpoints(&mut self, section: &Section<'_>) -> Vec<Endpoint> {
        let Some(list) = section.list(self.notes, "endpoints", "endpoints") else {
            return Vec::new();
        };
        let notes = &mut *self.notes;
        let span = section.get("endpoints").map_or(0..0, |v| v.span());
        if list.is_empty() || list.len() > ENDPOINTS_MOST {
            let found = format!("{} endpoints", list.len());
            let allowed = format!("from 1 to {ENDPOINTS_MOST}");
            notes.add(
                &section.key_path("endpoints"),
                &span,
                "no call could go anywhere",
                found,
                allowed,
            );
        }
        let (mut names, mut addresses) = (HashMap::new(), HashMap::new());
        let mut endpoints = Vec::new();
        for (key, value) in list {
            let DeValue::Table(table) = value.get_ref() else {
                let allowed = "{ name = \"s-1\", address = \"10.0.0.7:9000\" }";
                notes.add(
                    &key,
                    &value.span(),
                    "this is no endpoint",
                    display_value(value.get_ref()),
                    allowed,
                );
                continue;
            };
            let part = Section::new(notes, table, &key, value.span(), &ENDPOINT);
            part.require(notes, "address", "an address and a port");
            let at = address(notes, &part, "address");
            let name = part.text(notes, "name");
            let place = part.get("address").map_or(part.span.clone(), |v| v.span());
            if let Some(at) = at {
                twice(
                    notes,
                    &mut addresses,
                    (&part.key_path("address"), &place),
                    at.to_string(),
                    "address",
                );
            }
            if let Some(name) = &name {
                twice(
                    notes,
                    &mut names,
                    (&name.key, &name.span),
                    name.value.clone(),
                    "name",
                );
            }
            let zone = part
                .text(notes, "zone")
                .map_or_else(String::new, |z| z.value);
            let kind = part
                .text(notes, "kind")
                .map_or_else(String::new, |z| z.value);
            // 0 stands for no group: none of a keyed class's repeats may go there.
            let group = part
                .integer(notes, "group", 1..=u64::from(u32::MAX))
                .map_or(0, |g| g.value as u32);
            let weight = part
                .number(notes, "weight", 0.01..=1_000.0)
                .map_or(1.0, |w| w.value);
            if let Some(at) = at {
                let name = name.map_or_else(|| at.to_string(), |n| n.value);
                endpoints.push(Endpoint {
                    name,
                    address: at,
                    zone,
                    group,
                    kind,
                    weight,
                });
            }
        }
        endpoints
    }

    fn classes(&mut self, top: &Section<'_>, defaults: &Draft, usage: Use) -> Vec<ClassDraft> {
        let Some(value) = top.get("class") else {
            return Vec::new();
        };
        let DeValue::Table(table) = value.get_ref() else {
            let found = display_value(value.get_ref());
            self.notes.add(
                "class",
                &value.span(),
                "this is not a table",
                found,
                "a table for each class: [class.NAME]",
            );
            return Vec::new();
        };
        let mut known = timing::KEYS.to_vec();
        if usage == Use::Alone {
            known.extend(CLASS);
        }
        let mut classes = Vec::new();
        for (name, part) in table {
            let (name, span) = (name.get_ref().to_string(), name.span());
            let key = format!("class.{name}");
            let DeValue::Table(body) = part.get_ref() else {
                let found = display_value(part.get_ref());
                self.notes.add(
                    &key,
                    &part.span(),
                    "this is not a class",
                    found,
                    format!("a table: [{key}]"),
                );
                continue;
            };
            let section = Section::new(self.notes, body, &key, span.clone(), &known);
            classes.push(self.class(&section, name, span, defaults, usage));
        }
        classes
    }

    fn class(
        &mut self,
        section: &Section<'_>,
        name: String,
        span: Span,
        defaults: &Draft,
        usage: Use,
    ) -> ClassDraft {
        let notes = &mut *self.notes;
        let draft = Draft::read(notes, section).over(defaults);
        let mut class = ClassDraft {
            name,
            span,
            aim: None,
            deadline: None,
            worth: 1.0,
            late_worth: 1.0,
            repeat: None,
            draft,
        };
        if usage == Use::Alone {
            section.require(
                notes,
                "aim",
                "the time within which an answer is wanted, like \"500ms\"",
            );
            section.require(
                notes,
                "deadline",
                "the time for which a client waits, like \"1200ms\"",
            );
            section.require(notes, "effect", "\"safe\", \"keyed\" or \"unsafe\"");
            class.aim = section.duration(notes, "aim", 1_000..=DEADLINE_MOST);
            class.deadline = section.duration(notes, "deadline", 10_000..=DEADLINE_MOST);
            class.worth = section
                .number(notes, "worth", 0.001..=1e6)
                .map_or(1.0, |w| w.value);
            class.late_worth = section
                .number(notes, "late_worth", 0.0..=1.0)
                .map_or(1.0, |w| w.value);
            class.repeat = repeat(notes, section);
            if let (Some(aim), Some(deadline)) = (&class.aim, &class.deadline) {
                if aim.value > deadline.value {
                    let allowed =
                        format!("at most the deadline, {}", format_duration(deadline.value));
                    let reason = "an answer is wanted later than the client waits";
                    notes.add(
                        &aim.key,
                        &aim.span,
                        reason,
                        format_duration(aim.value),
                        allowed,
                    );
                }
            }
        }
        class.draft.check(self.notes, &class.facts());
        class
    }

    fn routes(
        &mut self,
        top: &Section<'_>,
        classes: &[ClassDraft],
        usage: Use,
        text: &str,
        expressions: &mut Expressions,
    ) -> (Vec<Route>, Vec<(Span, Draft)>) {
        let Some(list) = top.list(self.notes, "route", "routes: [[route]]") else {
            return Default::default();
        };
        if list.len() > ROUTES_MOST {
            let span = top.get("route").map_or(0..0, |v| v.span());
            let found = format!("{} routes", list.len());
            self.notes.add(
                "route",
                &span,
                "too many routes",
                found,
                format!("at most {ROUTES_MOST}"),
            );
            return Default::default();
        }
        let known: Vec<&str> = ROUTE.iter().chain(&timing::KEYS).copied().collect();
        let class_names: Vec<&str> = classes.iter().map(|c| c.name.as_str()).collect();
        let places: HashMap<&str, usize> = class_names
            .iter()
            .enumerate()
            .map(|(n, &c)| (c, n))
            .collect();
        let answers: Vec<Arc<Answers>> = classes
            .iter()
            .map(|c| Arc::new(c.draft.answers()))
            .collect();
        let mut names = HashMap::new();
        let (mut routes, mut drafts) = (Vec::new(), Vec::new());
        for (key, value) in list {
            let DeValue::Table(table) = value.get_ref() else {
                let found = display_value(value.get_ref());
                self.notes.add(
                    &key,
                    &value.span(),
                    "this is no route",
                    found,
                    "a table: [[route]]",
                );
                continue;
            };
            let mut section = Section::new(self.notes, table, &key, value.span(), &known);
            section.span = first_line(value);
            let notes = &mut *self.notes;
            section.require(notes, "class", "the name of a class");
            section.require(notes, "name", "a name of its own");
            let name = section.text(notes, "name");
            if let Some(name) = &name {
                twice(
                    notes,
                    &mut names,
                    (&name.key, &name.span),
                    name.value.clone(),
                    "name",
                );
            }
            let path = path(notes, &section);
            let methods = methods(notes, &section);
            let headers = headers(notes, &section);
            let when = expressions.read(notes, &section, "when", text, Wanted::Condition);
            let tenant = source(notes, &section, "tenant", text, expressions);
            let key = source(notes, &section, "key", text, expressions);
            let class = section.text(notes, "class").and_then(|class| {
                match places.get(class.value.as_str()) {
                    Some(&place) => Some(place),
                    None => {
                        let (reason, found) =
                            ("no class has this name", format!("{:?}", class.value));
                        notes.add(
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
            let own = Draft::read(notes, &section);
            let Some((place, class)) = class.map(|place| (place, &classes[place])) else {
                continue;
            };
            let draft = own.over(&class.draft);
            let span = name
                .as_ref()
                .map_or(section.span.clone(), |n| n.span.clone());
            let shown = name.as_ref().map_or(section.key.clone(), |n| {
                format!("route {:?} of {}", n.value, class.name)
            });
            let facts = Facts {
                name: &shown,
                span: &span,
                ..class.facts()
            };
            if own.says() {
                draft.check(notes, &facts);
            }
            let guarded = matches!(class.repeat, Some(Idempotency::Keyed { .. }));
            if section.has("key") && !guarded && usage == Use::Alone && class.repeat.is_some() {
                let span = section
                    .get("key")
                    .map_or(section.span.clone(), |v| v.span());
                let found = format!("a key for {:?}", class.name);
                let reason = "only a keyed class goes by a key";
                notes.add(
                    &section.key_path("key"),
                    &span,
                    reason,
                    found,
                    "a class with effect = \"keyed\", or no key",
                );
            }
            let timing = match usage {
                Use::Alone => draft.timing(&facts),
                Use::Platform => Timing::UNLIMITED,
            };
            let by_default =
                guarded.then(|| Source::Header(HeaderName::from_static("idempotency-key")));
            let answers = if own.says() {
                Arc::new(draft.answers())
            } else {
                Arc::clone(&answers[place])
            };
            let Some(path) = path else { continue };
            routes.push(Route {
                name: name.map_or_else(|| section.key.clone(), |n| n.value),
                path,
                methods,
                headers,
                when,
                class: place,
                tenant,
                key: key.or(by_default),
                timing,
                answers,
            });
            drafts.push((span, draft));
        }
        (routes, drafts)
    }

    fn table(
        &mut self,
        top: &Section<'_>,
        routes: Vec<Route>,
        drafts: &[(Span, Draft)],
        program: Arc<Program>,
    ) -> Option<Table> {
        let table = match Table::with(routes, program) {
            Ok(table) => table,
            Err(fault) => {
                let span = top
                    .get("route")
                    .map_or(0..0, |v| v.span().start..v.span().start);
                let allowed =
                    "fewer or smaller patterns; exact paths and prefixes have no such bound";
                self.notes
                    .add("route", &span, fault.to_string(), "more", allowed);
                return None;
            }
        };
        for shadow in table.shadows() {
            let (later, earlier) = (
                &table.routes()[shadow.later],
                &table.routes()[shadow.earlier],
            );
            let reason = format!(
                "this route can never match: {:?} before it takes all that it would",
                earlier.name
            );
            let allowed = "the narrower route first, or one of the two";
            let key = format!("route[{}]", shadow.later);
            let mistake = self.notes.add(
                &key,
                &drafts[shadow.later].0,
                reason,
                format!("{:?}", later.name),
                allowed,
            );
            mistake.add_related(drafts[shadow.earlier].0.clone(), "this one takes all");
        }
        Some(table)
    }

    fn no_route(&mut self, top: &Section<'_>) -> NoRoute {
        let plain = NoRoute {
            status: 404,
            text: "no route takes this request".to_owned(),
        };
        let notes = &mut *self.notes;
        let Some(section) = top.section(notes, "no_route", &NO_ROUTE) else {
            return plain;
        };
        let status = section.integer(notes, "status", 400..=599);
        if let Some(status) = status.as_ref().filter(|s| [429, 503].contains(&s.value)) {
            let reason = "to a client this status says to try again, which would never help";
            let allowed = "a status from 400 to 599 but 429 and 503";
            notes.add(
                &status.key,
                &status.span,
                reason,
                status.value.to_string(),
                allowed,
            );
        }
        NoRoute {
            status: status.map_or(plain.status, |s| s.value as u16),
            text: section.text(notes, "text").map_or(plain.text, |t| t.value),
        }
    }

    /// A class whose repeats are dropped by a zone or a group goes by endpoints that tell theirs.
    fn check_groups(&mut self, classes: &[ClassDraft], upstream: Option<&Upstream>) {
        let Some(upstream) = upstream.filter(|u| u.discovery.is_none()) else {
            return;
        };
        for class in classes {
            let Some(Idempotency::Keyed { scope, .. }) = class.repeat else {
                continue;
            };
            let (what, bare) = match scope {
                DedupScope::All => continue,
                DedupScope::Zone => (
                    "zone",
                    upstream.endpoints.iter().find(|e| e.zone.is_empty()),
                ),
                DedupScope::Cell => ("group", upstream.endpoints.iter().find(|e| e.group == 0)),
            };
            if let Some(bare) = bare {
                let reason =
                    format!("repeats are dropped within a {what}, but an endpoint tells none");
                let key = format!("class.{}.group", class.name);
                let found = format!("endpoint {:?} without a {what}", bare.name);
                self.notes.add(
                    &key,
                    &class.span,
                    reason,
                    found,
                    format!("a `{what}` for each endpoint"),
                );
            }
        }
    }
}

/// Reads the table of an upstream on its own, as it stands in other files too.
pub fn read_upstream(
    notes: &mut DiagnosticSink,
    parent: &Section<'_>,
    name: &str,
) -> Option<Upstream> {
    let section = parent.section(notes, name, &UPSTREAM)?;
    Some(Reading { notes }.upstream(&section))
}

/// Where a route is shown that has no name.
fn first_line(value: &Value<'_>) -> Span {
    let span = value.span();
    span.start..span.start
}

fn nowhere() -> Upstream {
    let rules = decisions::EndpointRules {
        slow_start_min_capacity: 0.3,
        slow_start_duration: 7_500_000,
        overload_multiple: 3.0,
        overload_duration: 2_000_000,
        ..decisions::Settings::default().rules
    };
    Upstream {
        endpoints: Vec::new(),
        discovery: None,
        zone: String::new(),
        proxies: 1,
        idle: 15_000_000,
        rules,
    }
}

/// Notes a second use of what must be one's own.
fn twice(
    notes: &mut DiagnosticSink,
    seen: &mut HashMap<String, Span>,
    (key, span): (&str, &Span),
    value: String,
    what: &str,
) {
    let found = format!("{value:?} again");
    if let Some(first) = seen.get(&value) {
        let reason = format!("this {what} stands for two");
        let mistake = notes.add(key, span, reason, found, format!("a {what} of its own"));
        mistake.add_related(first.clone(), "first here");
    } else {
        seen.insert(value, span.clone());
    }
}

fn address(notes: &mut DiagnosticSink, section: &Section<'_>, name: &str) -> Option<SocketAddr> {
    let allowed =
        "an IP address and a port, like \"127.0.0.1:8080\" or \"[::1]:8080\"; names are not looked up";
    let read = section.read(notes, name, "this is no address", allowed, |v| {
        v.as_str()?.parse::<SocketAddr>().ok()
    })?;
    if name != "listen" && read.value.port() == 0 {
        notes.add(
            &read.key,
            &read.span,
            "nothing listens at port 0",
            read.value.to_string(),
            "a port from 1 to 65535",
        );
        return None;
    }
    Some(read.value)
}

fn repeat(notes: &mut DiagnosticSink, section: &Section<'_>) -> Option<Idempotency> {
    #[derive(Clone, Copy, PartialEq)]
    enum Effect {
        Safe,
        Keyed,
        Unsafe,
    }
    let words = [
        ("safe", Effect::Safe),
        ("keyed", Effect::Keyed),
        ("unsafe", Effect::Unsafe),
    ];
    let effect = section.keyword(notes, "effect", &words)?.value;
    let scope = section.keyword(
        notes,
        "group",
        &[
            ("all", DedupScope::All),
            ("zone", DedupScope::Zone),
            ("group", DedupScope::Cell),
        ],
    );
    let window = section.duration(notes, "window", 1_000..=3_600_000_000);
    if effect != Effect::Keyed {
        for name in ["group", "window"] {
            if let Some(value) = section.get(name) {
                let reason = "only a keyed class has this";
                let allowed = "effect = \"keyed\", or none of `group` and `window`";
                notes.add(
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
                notes,
                "group",
                "who drops repeats: \"all\", \"zone\" or \"group\"",
            );
            section.require(
                notes,
                "window",
                "for how long repeats are dropped, like \"1200ms\"",
            );
            Some(Idempotency::Keyed {
                scope: scope?.value,
                window: window?.value,
            })
        }
    }
}

fn path(notes: &mut DiagnosticSink, section: &Section<'_>) -> Option<PathPattern> {
    let given: Vec<&str> = ["path", "prefix", "regex"]
        .into_iter()
        .filter(|k| section.has(k))
        .collect();
    let &[kind] = given.as_slice() else {
        let reason = "a route has one kind of path";
        let found = if given.is_empty() {
            "none".to_owned()
        } else {
            given.join(" and ")
        };
        notes.add(
            &section.key,
            &section.span,
            reason,
            found,
            "one of `path`, `prefix` and `regex`",
        );
        return None;
    };
    let text = section.text(notes, kind)?;
    if kind == "regex" {
        return match pattern(&text.value) {
            Ok(regex) => Some(PathPattern::Regex(regex)),
            Err(fault) => {
                let allowed = format!("a regular expression without look-around or back references, up to {} compiled, that matches the whole path", format_size(PATTERN_BYTES as u64));
                notes.add(
                    &text.key,
                    &text.span,
                    format!("this is no pattern: {fault}"),
                    format!("{:?}", text.value),
                    allowed,
                );
                None
            }
        };
    }
    let plain = !text.value.contains(['?', '#']);
    match normalize(&text.value) {
        Ok(normal) if plain && normal == text.value.as_str() => Some(match kind {
            "path" => PathPattern::Exact(text.value),
            _ => PathPattern::Prefix(text.value),
        }),
        other => {
            let allowed = match other {
                Ok(normal) if plain => format!("its normal form, {normal:?}"),
                Ok(_) => "a path without query and fragment".to_owned(),
                Err(fault) => fault.to_string(),
            };
            let reason = "this path is not in its normal form and would never match";
            notes.add(
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

fn methods(notes: &mut DiagnosticSink, section: &Section<'_>) -> Vec<Method> {
    let Some(list) = section.list(notes, "methods", "methods, like [\"GET\", \"POST\"]") else {
        return Vec::new();
    };
    let allowed = "methods in capital letters, like \"POST\"; not CONNECT";
    if list.is_empty() {
        let span = section.get("methods").map_or(0..0, |v| v.span());
        notes.add(
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
                notes.add(
                    &key,
                    &value.span(),
                    "this is no method",
                    display_value(value.get_ref()),
                    allowed,
                );
            }
        }
    }
    methods
}

fn headers(notes: &mut DiagnosticSink, section: &Section<'_>) -> Vec<HeaderPattern> {
    let Some(value) = section.get("headers") else {
        return Vec::new();
    };
    let allowed =
        "{ \"content-type\" = \"application/json\", \"x-branch\" = true }, where true means any value";
    let DeValue::Table(table) = value.get_ref() else {
        notes.add(
            &section.key_path("headers"),
            &value.span(),
            "these are no headers",
            display_value(value.get_ref()),
            allowed,
        );
        return Vec::new();
    };
    let mut patterns = Vec::new();
    for (name, value) in table {
        let key = format!("{}.{:?}", section.key_path("headers"), name.get_ref());
        let Ok(header) = HeaderName::from_bytes(name.get_ref().as_bytes()) else {
            notes.add(
                &key,
                &name.span(),
                "this is no header name",
                format!("{:?}", name.get_ref()),
                allowed,
            );
            continue;
        };
        let wanted = match value.get_ref() {
            DeValue::Boolean(true) => Some(None),
            DeValue::String(text) => HeaderValue::from_str(text).ok().map(Some),
            _ => None,
        };
        match wanted {
            Some(value) => patterns.push(HeaderPattern {
                name: header,
                value,
            }),
            None => {
                notes.add(
                    &key,
                    &value.span(),
                    "this is no header value",
                    display_value(value.get_ref()),
                    allowed,
                );
            }
        }
    }
    patterns
}

fn source(
    notes: &mut DiagnosticSink,
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
            .read(notes, section, name, text, Wanted::Text)
            .map(Source::Expression);
    }
    let part = section.section(notes, name, &["header", "cookie"])?;
    let header = timing::header_name(notes, &part, "header");
    let cookie = part.text(notes, "cookie");
    match (part.has("header"), part.has("cookie")) {
        (true, false) => header.map(|h| Source::Header(h.value)),
        (false, true) => cookie.map(|c| Source::Cookie(c.value)),
        (both, _) => {
            let found = if both { "both" } else { "neither" };
            let allowed = "{ header = \"NAME\" } or { cookie = \"NAME\" }";
            notes.add(
                &part.key,
                &part.span,
                "a value comes from one place",
                found,
                allowed,
            );
            None
        }
    }
}

/// The room that is kept for the answer is less than the shortest deadline.
const _: () = assert!(ANSWER_ROOM < 10_000);
