//! All files together, with what is known beside them, and the checks that no single file allows.

use crate::facts::{self, show_scope, RetryOn};
use crate::finding::{Finding, Place, Report};
use crate::overlap::{covers, loose, may_write, takes_under, takes_writes_of, under};
use badgerramp_config::{max_idle_connections, Config, Upstream, RESPONSE_RESERVE};
use badgerramp_decisions::{DedupScope, Idempotency, Micros};
use badgerramp_route::{PathPattern, Route, Source};
use badgerramp_toml_diagnostics::units::format_duration;
use std::collections::{BTreeMap, HashMap};
use unicode_normalization::UnicodeNormalization;

/// One application.
#[derive(Debug)]
pub struct Application {
    /// Its name.
    pub name: String,
    /// The number of its file in the report.
    pub file: usize,
    /// Its file.
    pub config: Config,
    /// What else is known of it, with the file in which that stands.
    pub facts: Option<(usize, facts::App)>,
}

/// One upstream.
#[derive(Debug)]
pub struct Described {
    /// Its name.
    pub name: String,
    /// The file in which it is described, and where it is named there.
    pub place: Place,
    /// What it bears and honours.
    pub facts: facts::Upstream,
    /// Its endpoints and figures.
    pub upstream: Upstream,
}

/// All of them.
#[derive(Debug, Default)]
pub struct Set {
    /// In the order of their names.
    pub applications: Vec<Application>,
    /// Upstreams, if they are known.
    pub upstreams: Vec<Described>,
    /// Some file could not be read: what is summed over all would be wrong.
    pub broken: bool,
}

/// What an effect is called.
pub fn show_repeat(repeat: Idempotency) -> String {
    match repeat {
        Idempotency::Idempotent => "safe".to_owned(),
        Idempotency::NonIdempotent => "unsafe".to_owned(),
        Idempotency::Keyed { scope, window } => {
            format!(
                "keyed, group {:?}, window {}",
                show_scope(scope),
                format_duration(window)
            )
        }
    }
}

fn show_source(source: Option<&Source>) -> String {
    match source {
        Some(Source::Header(name)) => format!("header {name}"),
        Some(Source::Cookie(name)) => format!("cookie {name}"),
        Some(Source::Expression(own)) => format!("expression {}", own.text),
        None => "none".to_owned(),
    }
}

/// Names that people take for one.
pub fn folded(name: &str) -> String {
    name.nfkc().flat_map(char::to_lowercase).nfkc().collect()
}

impl Application {
    /// Where a key of its file stands, or else its class or the file's beginning.
    fn place(&self, path: &[&str]) -> Place {
        let class = || {
            let name = path.get(1).filter(|_| path.first() == Some(&"class"))?;
            let place = self.config.classes.iter().position(|c| c.name == **name)?;
            Some(self.config.class_span(place))
        };
        Place::new(
            self.file,
            &self.config.value_span(path).or_else(class).unwrap_or(0..0),
        )
    }

    fn finding(
        &self,
        code: &'static str,
        (key, place): (String, Place),
        reason: impl Into<String>,
    ) -> Finding {
        Finding {
            code,
            key,
            reason: reason.into(),
            found: String::new(),
            allowed: String::new(),
            place,
            related: Vec::new(),
            apps: [self.name.clone()].into(),
        }
    }

    fn route_place(&self, route: usize) -> Place {
        Place::new(self.file, &self.config.route_span(route))
    }
}

impl Set {
    /// Checks all together; what is found goes into the report.
    pub fn check(&self, report: &mut Report) {
        self.names(report);
        self.classes(report);
        self.listeners(report);
        self.fleets(report);
        for app in &self.applications {
            let Some((file, facts)) = &app.facts else {
                continue;
            };
            client(report, app, *file, facts);
            let Some(upstream) = self
                .upstreams
                .iter()
                .find(|u| u.name == facts.upstream.value)
            else {
                let known: Vec<&str> = self.upstreams.iter().map(|u| u.name.as_str()).collect();
                let place = Place::new(*file, &facts.upstream.span);
                let mut finding = app.finding(
                    "upstream-unknown",
                    (format!("app.{}.upstream", app.name), place),
                    "this upstream is used but not described",
                );
                finding.found = format!("{:?}", facts.upstream.value);
                finding.allowed =
                    badgerramp_toml_diagnostics::suggest_names(&facts.upstream.value, &known);
                report.findings.push(finding);
                continue;
            };
            contract(report, app, upstream);
        }
        for upstream in self.upstreams.iter().filter(|_| !self.broken) {
            self.load(report, upstream);
        }
    }

    /// Names of applications and classes that differ only in how they are written.
    fn names(&self, report: &mut Report) {
        let mut seen: HashMap<String, &Application> = HashMap::new();
        for app in &self.applications {
            if let Some(other) = seen.insert(folded(&app.name), app) {
                let mut finding = app.finding(
                    "name-alike",
                    (format!("app.{}", app.name), Place::new(app.file, &(0..0))),
                    "two applications whose names differ only in case or form",
                );
                finding.found = format!("{:?} beside {:?}", app.name, other.name);
                finding.allowed = "names that nobody takes for one another".to_owned();
                report.findings.push(finding);
            }
        }
        let mut classes: BTreeMap<String, (&str, &Application)> = BTreeMap::new();
        for app in &self.applications {
            for class in &app.config.classes {
                let first = *classes
                    .entry(folded(&class.name))
                    .or_insert((&class.name, app));
                if first.0 != class.name {
                    let mut finding = app.finding(
                        "name-alike",
                        (
                            format!("class.{}", class.name),
                            app.place(&["class", &class.name]),
                        ),
                        "two classes whose names differ only in case or form",
                    );
                    finding.found =
                        format!("{:?} beside {:?} of {}", class.name, first.0, first.1.name);
                    finding.allowed = "one spelling for one class".to_owned();
                    finding.related.push((
                        first.1.place(&["class", first.0]),
                        "the other one".to_owned(),
                    ));
                    report.findings.push(finding);
                }
            }
        }
    }

    /// One class, described in two ways.
    fn classes(&self, report: &mut Report) {
        let mut first: BTreeMap<&str, (&Application, usize)> = BTreeMap::new();
        let mut keys: BTreeMap<&str, (&Application, usize)> = BTreeMap::new();
        for app in &self.applications {
            for (place, class) in app.config.classes.iter().enumerate() {
                let (other, other_place) = *first.entry(&class.name).or_insert((app, place));
                let theirs = &other.config.classes[other_place].class;
                let own = &class.class;
                let pairs = [
                    (
                        "effect",
                        show_repeat(own.idempotency),
                        show_repeat(theirs.idempotency),
                    ),
                    (
                        "deadline",
                        format_duration(own.deadline),
                        format_duration(theirs.deadline),
                    ),
                ];
                for (key, own, theirs) in pairs.into_iter().filter(|(_, own, theirs)| own != theirs)
                {
                    let key_path = ["class", class.name.as_str(), key];
                    let mut finding = app.finding(
                        "class-differs",
                        (key_path.join("."), app.place(&key_path)),
                        "two applications describe this class differently",
                    );
                    finding.found = own;
                    finding.allowed = format!("what {} says: {theirs}", other.name);
                    finding
                        .related
                        .push((other.place(&key_path), format!("{theirs} here")));
                    report.findings.push(finding);
                }
            }
            for (place, route) in app.config.routes.routes().iter().enumerate() {
                let class = &app.config.classes[route.class];
                if !matches!(class.class.idempotency, Idempotency::Keyed { .. }) {
                    continue;
                }
                let (other, other_place) = *keys.entry(&class.name).or_insert((app, place));
                let theirs = &other.config.routes.routes()[other_place];
                if theirs.key != route.key {
                    let mut finding = app.finding(
                        "class-differs",
                        (format!("route[{place}].key"), app.route_place(place)),
                        format!(
                            "two routes take the key of {:?} from different places",
                            class.name
                        ),
                    );
                    finding.found = show_source(route.key.as_ref());
                    finding.allowed = format!(
                        "what {} says: {}",
                        other.name,
                        show_source(theirs.key.as_ref())
                    );
                    finding
                        .related
                        .push((other.route_place(other_place), "the other one".to_owned()));
                    report.findings.push(finding);
                }
            }
        }
    }

    /// Two applications on one listener.
    fn listeners(&self, report: &mut Report) {
        let mut seen: HashMap<(String, u16), Vec<&Application>> = HashMap::new();
        for app in self
            .applications
            .iter()
            .filter(|a| a.config.listen.port() != 0)
        {
            let machine = app
                .facts
                .as_ref()
                .map_or("localhost", |f| f.1.machine.as_str())
                .to_owned();
            let others = seen.entry((machine, app.config.listen.port())).or_default();
            // An address of all interfaces takes the port on each of them.
            let (own, all) = (
                app.config.listen.ip(),
                app.config.listen.ip().is_unspecified(),
            );
            let clash = others.iter().find(|o| {
                let other = o.config.listen.ip();
                other == own || all || other.is_unspecified()
            });
            if let Some(other) = clash {
                let mut finding = app.finding(
                    "listener-shared",
                    ("listen".to_owned(), app.place(&["listen"])),
                    format!("{} listens there too, on the same machine", other.name),
                );
                finding.found = app.config.listen.to_string();
                finding.allowed = "a port of its own, or another `machine`".to_owned();
                finding
                    .related
                    .push((other.place(&["listen"]), "the other one".to_owned()));
                report.findings.push(finding);
            }
            others.push(app);
        }
    }

    /// Sidecars of one fleet pass one list on: they must mean the same service, and be able to meet.
    fn fleets(&self, report: &mut Report) {
        let mut first: BTreeMap<&str, &Application> = BTreeMap::new();
        for app in &self.applications {
            let Some(own) = &app.config.peers else {
                continue;
            };
            let Some(other) = first.get(own.fleet.as_str()) else {
                first.insert(&own.fleet, app);
                continue;
            };
            let Some(theirs) = &other.config.peers else {
                continue;
            };
            let (a, b) = (
                app.config.upstream.discovery,
                other.config.upstream.discovery,
            );
            if a != b {
                let reason = format!(
                    "{} is of the same fleet and names another list service",
                    other.name
                );
                let place = app.place(&["upstream", "discovery"]);
                let mut finding = app.finding(
                    "fleet-differs",
                    ("upstream.discovery".to_owned(), place),
                    reason,
                );
                finding.found = a.map_or("none".to_owned(), |a| a.to_string());
                let wanted = b.map_or("none".to_owned(), |b| b.to_string());
                finding.allowed = format!("{wanted}, or another peers.fleet");
                finding.related.push((
                    other.place(&["upstream", "discovery"]),
                    "the other one".to_owned(),
                ));
                report.findings.push(finding);
            }
            if !own.seeds.iter().any(|seed| theirs.seeds.contains(seed)) {
                let reason = format!(
                    "{} is of the same fleet and has none of these seeds",
                    other.name
                );
                let place = app.place(&["peers", "seeds"]);
                let mut finding =
                    app.finding("fleet-apart", ("peers.seeds".to_owned(), place), reason);
                finding.found = "no seed in common".to_owned();
                finding.allowed = "a seed that both have, or another peers.fleet".to_owned();
                finding
                    .related
                    .push((other.place(&["peers", "seeds"]), "the other one".to_owned()));
                report.findings.push(finding);
            }
        }
    }

    /// What all sidecars together ask of an upstream.
    fn load(&self, report: &mut Report, upstream: &Described) {
        let users: Vec<(&Application, &facts::App)> = self
            .applications
            .iter()
            .filter_map(|a| a.facts.as_ref().map(|f| (a, &f.1)))
            .filter(|(_, f)| f.upstream.value == upstream.name)
            .collect();
        let sidecars: u64 = users.iter().map(|(_, f)| u64::from(f.instances)).sum();
        let wanted: f64 = users
            .iter()
            .map(|(_, f)| f64::from(f.instances) * f.rate)
            .sum();
        let apps: std::collections::BTreeSet<String> =
            users.iter().map(|(a, _)| a.name.clone()).collect();
        let mut add =
            |code, key: &str, place: Place, reason: &str, found: String, allowed: String| {
                report.findings.push(Finding {
                    code,
                    key: format!("upstream.{}.{key}", upstream.name),
                    reason: reason.to_owned(),
                    found,
                    allowed,
                    place,
                    related: Vec::new(),
                    apps: apps.clone(),
                });
            };
        let file = upstream.place.file;
        if let Some(connections) = &upstream.facts.connections {
            // A proxy that believes in fewer of its kind keeps more.
            let kept: u64 = users
                .iter()
                .map(|(a, f)| {
                    u64::from(f.instances) * max_idle_connections(a.config.upstream.proxies) as u64
                })
                .sum();
            if kept > connections.value {
                let place = Place::new(file, &connections.span);
                let found =
                    format!("{sidecars} sidecars that keep {kept} connections to an endpoint");
                let reason = "the sidecars together keep more connections than an endpoint holds";
                add(
                    "connections",
                    "connections",
                    place,
                    reason,
                    found,
                    format!("at most {}", connections.value),
                );
            }
        }
        if let Some(rate) = upstream
            .facts
            .rate
            .as_ref()
            .filter(|_| upstream.upstream.discovery.is_none())
        {
            let endpoints = upstream.upstream.endpoints.len().max(1) as f64;
            let (each, place) = (wanted / endpoints, Place::new(file, &rate.span));
            let found =
                format!("{wanted} requests a second over {endpoints} endpoints: {each:.1} each");
            let rules = &upstream.upstream.rules;
            let cold = rate.value * rules.slow_start_min_capacity * rules.overload_multiple;
            if each > rate.value {
                let reason = "all applications together ask more than the endpoints bear";
                add(
                    "rate",
                    "rate",
                    place,
                    reason,
                    found,
                    format!("at most {} each", rate.value),
                );
            } else if each > cold {
                let reason = "an even part of all requests would push a cold endpoint over";
                add(
                    "cold",
                    "rate",
                    place,
                    reason,
                    found,
                    format!("at most {cold:.1} each"),
                );
            }
        }
        for (app, _) in &users {
            let own = &app.config.upstream;
            if u64::from(own.proxies) != sidecars {
                let mut finding = app.finding(
                    "proxies",
                    (
                        "upstream.proxies".to_owned(),
                        app.place(&["upstream", "proxies"]),
                    ),
                    "the sidecar would take a wrong share of the endpoints' room",
                );
                finding.found = own.proxies.to_string();
                finding.allowed = format!(
                    "{sidecars}: all instances of all applications on {:?}",
                    upstream.name
                );
                report.findings.push(finding);
            }
            let same = |what: &str, same: bool, report: &mut Report| {
                if !same {
                    let mut finding = app.finding(
                        "upstream-differs",
                        (format!("upstream.{what}"), app.place(&["upstream", what])),
                        format!("this differs from what is described of {:?}", upstream.name),
                    );
                    finding.found = "another figure".to_owned();
                    finding.allowed = "one description for all sidecars of an upstream".to_owned();
                    finding
                        .related
                        .push((upstream.place.clone(), "described here".to_owned()));
                    report.findings.push(finding);
                }
            };
            let theirs = &upstream.upstream;
            same("endpoints", own.endpoints == theirs.endpoints, report);
            same("discovery", own.discovery == theirs.discovery, report);
            same("idle", own.idle == theirs.idle, report);
            same(
                "drain_grace",
                own.rules.drain_grace == theirs.rules.drain_grace,
                report,
            );
            same(
                "cold_share",
                own.rules.slow_start_min_capacity == theirs.rules.slow_start_min_capacity,
                report,
            );
            same(
                "cold_time",
                own.rules.slow_start_duration == theirs.rules.slow_start_duration,
                report,
            );
            same(
                "fall_multiple",
                own.rules.overload_multiple == theirs.rules.overload_multiple,
                report,
            );
            same(
                "fall_time",
                own.rules.overload_duration == theirs.rules.overload_duration,
                report,
            );
        }
    }
}

/// An application's client against its sidecar.
fn client(report: &mut Report, app: &Application, file: usize, facts: &facts::App) {
    let waits = facts.waits.value;
    let client = || Place::new(file, &facts.waits.span);
    for (place, route) in app.config.routes.routes().iter().enumerate() {
        let class = &app.config.classes[route.class];
        if route.timing.total.saturating_add(RESPONSE_RESERVE) > waits {
            let figures = app.config.route_timing_values(place);
            let set = figures
                .iter()
                .find(|f| f.name == "total")
                .and_then(|f| f.set_by.clone());
            let (key, at) = match set {
                Some((key, span)) => (key, Place::new(app.file, &span)),
                None => (
                    format!("class.{}.deadline", class.name),
                    app.place(&["class", &class.name, "deadline"]),
                ),
            };
            let mut finding = app.finding(
                "client-gives-up",
                (key, at),
                "the client gives up before the sidecar's final answer",
            );
            finding.found = format!("up to {}", format_duration(route.timing.total));
            finding.allowed = format!(
                "at most {}",
                format_duration(waits.saturating_sub(RESPONSE_RESERVE))
            );
            finding
                .related
                .push((client(), format!("it waits {}", format_duration(waits))));
            report.findings.push(finding);
        }
    }
    if facts.retries.value == 0 {
        return;
    }
    let retries = || Place::new(file, &facts.retries.span);
    let mut told = std::collections::BTreeSet::new();
    for route in app.config.routes.routes().iter().filter(|r| may_write(r)) {
        let class = &app.config.classes[route.class];
        let mut add = |reason: &str, found: String, allowed: &str| {
            if told.insert((class.name.clone(), reason.to_owned())) {
                let key = format!("app.{}.retries", app.name);
                let mut finding = app.finding("client-resends", (key, retries()), reason);
                finding.found = found;
                finding.allowed = allowed.to_owned();
                let class_place = app.place(&["class", &class.name]);
                finding
                    .related
                    .push((class_place, format!("class {}", class.name)));
                report.findings.push(finding);
            }
        };
        match class.class.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => {
                if facts.retry_on == RetryOn::Failed {
                    let reason = "the client itself sends an unsafe call again that may have run";
                    let found = format!("{} retries after failures", facts.retries.value);
                    add(reason, found, "retry_on = \"refused\", or no retries");
                }
            }
            Idempotency::Keyed { scope, window } => {
                if facts.retry_on == RetryOn::Failed && scope != DedupScope::All {
                    let reason =
                        "the client's own retry may land in a group that does not know its key";
                    let found = format!(
                        "{} retries after failures, group {:?}",
                        facts.retries.value,
                        show_scope(scope)
                    );
                    add(
                        reason,
                        found,
                        "retry_on = \"refused\", or repeats that all endpoints drop",
                    );
                }
                // A call whose repeats all drop may be refused though it has run.
                let longest = last_try(facts, route.timing.total);
                if scope == DedupScope::All && longest >= window {
                    let reason =
                        "the client's last retry comes after the hosts have forgotten its key";
                    let found = format!("{} after the first try", format_duration(longest));
                    add(
                        reason,
                        found,
                        &format!("less than the window, {}", format_duration(window)),
                    );
                }
            }
        }
    }
}

/// How long after the client's first try its last one may still be sent on.
fn last_try(facts: &facts::App, total: Micros) -> Micros {
    facts
        .retries
        .value
        .saturating_mul(facts.waits.value.saturating_add(facts.pause))
        .saturating_add(total)
}

/// An application's routes against what its upstream may not run twice.
fn contract(report: &mut Report, app: &Application, upstream: &Described) {
    let routes = app.config.routes.routes();
    for (place, route) in routes.iter().enumerate().filter(|(_, r)| may_write(r)) {
        let repeat = app.config.classes[route.class].class.idempotency;
        for (prefix, span) in &upstream.facts.once {
            if repeat != Idempotency::NonIdempotent {
                lax(
                    report,
                    app,
                    (place, route),
                    (upstream, prefix, span),
                    "unsafe",
                    "a class that is unsafe",
                );
            }
        }
        for keyed in &upstream.facts.keyed {
            let honoured = match repeat {
                Idempotency::NonIdempotent => true,
                Idempotency::Idempotent => false,
                Idempotency::Keyed { scope, window } => {
                    (scope == keyed.group || keyed.group == DedupScope::All)
                        && window <= keyed.window
                        && route.key == Some(Source::Header(keyed.header.clone()))
                }
            };
            if !honoured {
                let allowed = format!(
                    "unsafe, or keyed with group {:?}, a window of at most {} and the key in {}",
                    show_scope(keyed.group),
                    format_duration(keyed.window),
                    keyed.header
                );
                lax(
                    report,
                    app,
                    (place, route),
                    (upstream, &keyed.prefix, &keyed.span),
                    "keyed",
                    &allowed,
                );
            }
        }
    }
    // A keyed class on paths of which the upstream says nothing is believed by nobody.
    for (place, route) in routes.iter().enumerate().filter(|(_, r)| may_write(r)) {
        let repeat = app.config.classes[route.class].class.idempotency;
        let within = |prefix: &str| match &route.path {
            PathPattern::Exact(path) | PathPattern::Prefix(path) => under(path, prefix),
            PathPattern::Regex(_) => takes_under(route, prefix),
        };
        let promised = upstream.facts.keyed.iter().any(|k| within(&k.prefix));
        if matches!(repeat, Idempotency::Keyed { .. }) && !promised {
            let class = &app.config.classes[route.class].name;
            let mut finding = app.finding(
                "keyed-unhonoured",
                (format!("route[{place}]"), app.route_place(place)),
                format!("upstream {:?} does not drop repeats there", upstream.name),
            );
            finding.found = format!("route {:?} of the keyed class {class}", route.name);
            finding.allowed =
                "a path under one of the upstream's `keyed`, or another class".to_owned();
            finding
                .related
                .push((upstream.place.clone(), "described here".to_owned()));
            report.findings.push(finding);
        }
    }
}

/// Notes a route that can take a request under `prefix` by a class that is too lax for it; unless a route before it
/// takes all of those.
fn lax(
    report: &mut Report,
    app: &Application,
    (place, route): (usize, &Route),
    (upstream, prefix, span): (&Described, &str, &std::ops::Range<usize>),
    kind: &str,
    allowed: &str,
) {
    let classes = &app.config.classes;
    // The first that takes a request wins; that one is looked at by itself.
    let taken = app.config.routes.routes()[..place]
        .iter()
        .any(|earlier| covers(earlier, prefix) && takes_writes_of(earlier, route));
    let told = |code, reason: String| {
        let class = &classes[route.class];
        let mut finding = app.finding(
            code,
            (format!("route[{place}].class"), app.route_place(place)),
            reason,
        );
        finding.found = format!(
            "route {:?} of class {} ({})",
            route.name,
            class.name,
            show_repeat(class.class.idempotency)
        );
        finding.allowed = allowed.to_owned();
        finding.related.push((
            Place::new(upstream.place.file, span),
            format!("{kind} here"),
        ));
        finding
    };
    if takes_under(route, prefix) && !taken {
        let reason = format!("a request under {prefix:?} could be sent again by this route");
        report.findings.push(told(
            if kind == "unsafe" {
                "charge-lax"
            } else {
                "keyed-unhonoured"
            },
            reason,
        ));
        return;
    }
    // Not that path, but one that a host may take for it.
    let (PathPattern::Exact(path) | PathPattern::Prefix(path)) = &route.path else {
        return;
    };
    let (own, theirs) = (loose(path), loose(prefix));
    if !under(path, prefix) && !under(prefix, path) && under(&own, &theirs) {
        let reason = format!("a host that reads paths loosely may take this for {prefix:?}");
        report.findings.push(told("path-alike", reason));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sidecars_of_one_fleet_mean_one_list_service_and_can_meet() {
        let app = |name: &str, discovery: &str, (seed, fleet): (&str, &str)| {
            let text = format!(
                "listen = \"127.0.0.1:0\"\n[upstream]\ndiscovery = \"{discovery}\"\n[class.e]\naim = \"500ms\"\n\
                 deadline = \"1s\"\neffect = \"safe\"\n[[route]]\nname = \"e\"\nprefix = \"/e\"\nclass = \"e\"\n\
                 [peers]\nlisten = \"10.0.0.9:7946\"\nseeds = [\"{seed}\"]\nsecret = \"s\"\nfleet = \"{fleet}\"\n"
            );
            let config =
                badgerramp_config::parse("a.toml", &text).unwrap_or_else(|m| panic!("{m}"));
            Application {
                name: name.to_owned(),
                file: 0,
                config,
                facts: None,
            }
        };
        let found = |applications: Vec<Application>| {
            let mut report = Report::default();
            Set {
                applications,
                ..Set::default()
            }
            .fleets(&mut report);
            report.findings.iter().map(|f| f.code).collect::<Vec<_>>()
        };
        let (one, two) = (("10.0.0.1:1", "north"), ("10.0.0.2:1", "north"));
        let same = vec![app("a", "10.0.0.7:1", one), app("b", "10.0.0.7:1", one)];
        assert!(found(same).is_empty());
        assert_eq!(
            found(vec![
                app("a", "10.0.0.7:1", one),
                app("b", "10.0.0.8:1", one)
            ]),
            ["fleet-differs"]
        );
        assert_eq!(
            found(vec![
                app("a", "10.0.0.7:1", one),
                app("b", "10.0.0.7:1", two)
            ]),
            ["fleet-apart"]
        );
        let other = app("b", "10.0.0.8:1", ("10.0.0.2:1", "south"));
        assert!(found(vec![app("a", "10.0.0.7:1", one), other]).is_empty());
    }
}
