//! All files together with the contracts of clients and upstreams, and the checks that need more than one file.

use crate::class_proofs;
use crate::contract::{display_scope, ApplicationContract, UpstreamContract};
use crate::contract_checks::{check_client, check_contract};
use crate::finding::{Finding, Location, Report};
use badgerramp_config::{max_idle_connections, Config, Upstream};
use badgerramp_decisions::Idempotency;
use badgerramp_route::Source;
use badgerramp_toml_diagnostics::units::format_duration;
use std::collections::{BTreeMap, HashMap};
use unicode_normalization::UnicodeNormalization;

/// An application with its parsed file.
#[derive(Debug)]
pub struct Application {
    /// The name of the application.
    pub name: String,
    /// Index of its file in the report.
    pub file: usize,
    /// The parsed file of the application.
    pub config: Config,
    /// The contract of the application, with the index of the file that contains it.
    pub contract: Option<(usize, ApplicationContract)>,
}

/// An upstream with its contract.
#[derive(Debug)]
pub struct DescribedUpstream {
    /// The name of the upstream.
    pub name: String,
    /// Where its description is.
    pub location: Location,
    /// The contract of the upstream.
    pub contract: UpstreamContract,
    /// The endpoints and settings of the upstream.
    pub upstream: Upstream,
}

/// All applications and upstreams that are checked together.
#[derive(Debug, Default)]
pub struct ConfigSet {
    /// Applications, sorted by name.
    pub applications: Vec<Application>,
    /// Upstreams; empty if files are checked without a manifest or description.
    pub upstreams: Vec<DescribedUpstream>,
    /// Whether a file or contract is missing. Sums over all applications would be wrong then.
    pub incomplete: bool,
}

/// Formats the effect of a class for messages.
pub fn display_idempotency(idempotency: Idempotency) -> String {
    match idempotency {
        Idempotency::Idempotent => "safe".to_owned(),
        Idempotency::NonIdempotent => "unsafe".to_owned(),
        Idempotency::Keyed { scope, window } => {
            format!(
                "keyed, group {:?}, window {}",
                display_scope(scope),
                format_duration(window)
            )
        }
    }
}

fn display_source(source: Option<&Source>) -> String {
    match source {
        Some(Source::Header(name)) => format!("header {name}"),
        Some(Source::Cookie(name)) => format!("cookie {name}"),
        Some(Source::Expression(own)) => format!("expression {}", own.text),
        None => "none".to_owned(),
    }
}

/// Folds a name so that names that differ only in case or Unicode form become equal.
pub fn fold_name(name: &str) -> String {
    name.nfkc().flat_map(char::to_lowercase).nfkc().collect()
}

impl Application {
    /// Location of a key in its file, or else of its class, or else the start of the file.
    pub(crate) fn location(&self, path: &[&str]) -> Location {
        let class = || {
            let name = path.get(1).filter(|_| path.first() == Some(&"class"))?;
            let index = self.config.classes.iter().position(|c| c.name == **name)?;
            Some(self.config.class_span(index))
        };
        Location::new(
            self.file,
            &self.config.value_span(path).or_else(class).unwrap_or(0..0),
        )
    }

    pub(crate) fn finding(
        &self,
        code: &'static str,
        (key, location): (String, Location),
        reason: impl Into<String>,
    ) -> Finding {
        Finding {
            code,
            key,
            reason: reason.into(),
            found: String::new(),
            allowed: String::new(),
            location,
            related: Vec::new(),
            apps: [self.name.clone()].into(),
        }
    }

    pub(crate) fn route_location(&self, index: usize) -> Location {
        Location::new(self.file, &self.config.route_span(index))
    }
}

impl ConfigSet {
    /// Runs all checks across files and adds the findings to the report.
    pub fn check(&self, report: &mut Report) {
        self.check_agreement(report);
        self.check_listeners(report);
        self.check_fleets(report);
        for app in &self.applications {
            let Some((file, contract)) = &app.contract else {
                // Which upstream it uses is known only by its endpoints.
                let upstream = &app.config.upstream;
                let shared = self
                    .upstreams
                    .iter()
                    .filter(|u| u.upstream.shares_endpoints(upstream));
                shared.for_each(|upstream| check_contract(report, app, upstream));
                continue;
            };
            check_client(report, app, *file, contract);
            let Some(upstream) = self
                .upstreams
                .iter()
                .find(|u| u.name == contract.upstream.value)
            else {
                let known: Vec<&str> = self.upstreams.iter().map(|u| u.name.as_str()).collect();
                let location = Location::new(*file, &contract.upstream.span);
                let mut finding = app.finding(
                    "upstream-unknown",
                    (format!("app.{}.upstream", app.name), location),
                    "this upstream is used but not described",
                );
                finding.found = format!("{:?}", contract.upstream.value);
                finding.allowed =
                    badgerramp_toml_diagnostics::suggest_names(&contract.upstream.value, &known);
                report.findings.push(finding);
                continue;
            };
            check_contract(report, app, upstream);
        }
        for upstream in self.upstreams.iter().filter(|_| !self.incomplete) {
            self.check_load(report, upstream);
        }
    }

    /// Reports what applications describe differently, wherever they run.
    pub fn check_agreement(&self, report: &mut Report) {
        self.check_names(report);
        self.check_classes(report);
        class_proofs::check(&self.applications, report);
    }

    /// Reports names of applications and classes that differ only in case or Unicode form.
    fn check_names(&self, report: &mut Report) {
        let mut seen: HashMap<String, &Application> = HashMap::new();
        for app in &self.applications {
            if let Some(other) = seen.insert(fold_name(&app.name), app) {
                let mut finding = app.finding(
                    "name-alike",
                    (
                        format!("app.{}", app.name),
                        Location::new(app.file, &(0..0)),
                    ),
                    "the names of two applications differ only in case or Unicode form",
                );
                finding.found = format!("{:?} and {:?}", app.name, other.name);
                finding.allowed = "names that differ in more than case and Unicode form".to_owned();
                report.findings.push(finding);
            }
        }
        let mut classes: BTreeMap<String, (&str, &Application)> = BTreeMap::new();
        for app in &self.applications {
            for class in &app.config.classes {
                let first = *classes
                    .entry(fold_name(&class.name))
                    .or_insert((&class.name, app));
                if first.0 != class.name {
                    let mut finding = app.finding(
                        "name-alike",
                        (
                            format!("class.{}", class.name),
                            app.location(&["class", &class.name]),
                        ),
                        "the names of two classes differ only in case or Unicode form",
                    );
                    finding.found =
                        format!("{:?} and {:?} of {}", class.name, first.0, first.1.name);
                    finding.allowed = "one spelling for one class".to_owned();
                    finding.related.push((
                        first.1.location(&["class", first.0]),
                        "the other class".to_owned(),
                    ));
                    report.findings.push(finding);
                }
            }
        }
    }

    /// Reports classes that applications describe differently.
    fn check_classes(&self, report: &mut Report) {
        let mut first_classes: BTreeMap<&str, (&Application, usize)> = BTreeMap::new();
        let mut first_keyed_routes: BTreeMap<&str, (&Application, usize)> = BTreeMap::new();
        for app in &self.applications {
            for (index, class) in app.config.classes.iter().enumerate() {
                let (other, other_index) =
                    *first_classes.entry(&class.name).or_insert((app, index));
                let theirs = &other.config.classes[other_index].class;
                let own = &class.class;
                let pairs = [
                    (
                        "effect",
                        display_idempotency(own.idempotency),
                        display_idempotency(theirs.idempotency),
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
                        (key_path.join("."), app.location(&key_path)),
                        "two applications describe this class differently",
                    );
                    finding.found = own;
                    finding.allowed = format!("{theirs}, as in {}", other.name);
                    finding
                        .related
                        .push((other.location(&key_path), format!("{theirs} here")));
                    report.findings.push(finding);
                }
            }
            for (index, route) in app.config.routes.routes().iter().enumerate() {
                let class = &app.config.classes[route.class];
                if !matches!(class.class.idempotency, Idempotency::Keyed { .. }) {
                    continue;
                }
                let (other, other_index) = *first_keyed_routes
                    .entry(&class.name)
                    .or_insert((app, index));
                let theirs = &other.config.routes.routes()[other_index];
                if theirs.key != route.key {
                    let mut finding = app.finding(
                        "class-differs",
                        (format!("route[{index}].key"), app.route_location(index)),
                        format!(
                            "two routes read the key of {:?} from different sources",
                            class.name
                        ),
                    );
                    finding.found = display_source(route.key.as_ref());
                    finding.allowed = format!(
                        "{}, as in {}",
                        display_source(theirs.key.as_ref()),
                        other.name
                    );
                    finding.related.push((
                        other.route_location(other_index),
                        "the other route".to_owned(),
                    ));
                    report.findings.push(finding);
                }
            }
        }
    }

    /// Reports applications that listen on the same address of a machine.
    fn check_listeners(&self, report: &mut Report) {
        let mut seen: HashMap<(String, u16), Vec<&Application>> = HashMap::new();
        for app in self
            .applications
            .iter()
            .filter(|a| a.config.listen.port() != 0)
        {
            let machine = app
                .contract
                .as_ref()
                .map_or("localhost", |f| f.1.machine.as_str())
                .to_owned();
            let others = seen.entry((machine, app.config.listen.port())).or_default();
            // An unspecified address uses the port on all interfaces.
            let (own, unspecified) = (
                app.config.listen.ip(),
                app.config.listen.ip().is_unspecified(),
            );
            let conflict = others.iter().find(|o| {
                let other = o.config.listen.ip();
                other == own || unspecified || other.is_unspecified()
            });
            if let Some(other) = conflict {
                let mut finding = app.finding(
                    "listener-shared",
                    ("listen".to_owned(), app.location(&["listen"])),
                    format!(
                        "{} listens on this address of the same machine too",
                        other.name
                    ),
                );
                finding.found = app.config.listen.to_string();
                finding.allowed = "a unique port, or another `machine`".to_owned();
                finding.related.push((
                    other.location(&["listen"]),
                    "the other application".to_owned(),
                ));
                report.findings.push(finding);
            }
            others.push(app);
        }
    }

    /// Reports sidecars of one fleet that can't share an endpoint list: they need the same list service and a common
    /// seed.
    fn check_fleets(&self, report: &mut Report) {
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
                    "{} is in the same fleet but uses another list service",
                    other.name
                );
                let location = app.location(&["upstream", "discovery"]);
                let mut finding = app.finding(
                    "fleet-differs",
                    ("upstream.discovery".to_owned(), location),
                    reason,
                );
                finding.found = a.map_or("none".to_owned(), |a| a.to_string());
                let other_discovery = b.map_or("none".to_owned(), |b| b.to_string());
                finding.allowed = format!("{other_discovery}, or another peers.fleet");
                finding.related.push((
                    other.location(&["upstream", "discovery"]),
                    "the other application".to_owned(),
                ));
                report.findings.push(finding);
            }
            if !own.seeds.iter().any(|seed| theirs.seeds.contains(seed)) {
                let reason = format!(
                    "{} is in the same fleet but has none of these seeds",
                    other.name
                );
                let location = app.location(&["peers", "seeds"]);
                let mut finding =
                    app.finding("fleet-apart", ("peers.seeds".to_owned(), location), reason);
                finding.found = "no seed in common".to_owned();
                finding.allowed = "a common seed, or another peers.fleet".to_owned();
                finding.related.push((
                    other.location(&["peers", "seeds"]),
                    "the other application".to_owned(),
                ));
                report.findings.push(finding);
            }
        }
    }

    /// Checks the load of all sidecars together against an upstream's contract, and their settings against its
    /// description.
    fn check_load(&self, report: &mut Report, upstream: &DescribedUpstream) {
        let users: Vec<(&Application, &ApplicationContract)> = self
            .applications
            .iter()
            .filter_map(|a| a.contract.as_ref().map(|c| (a, &c.1)))
            .filter(|(_, c)| c.upstream.value == upstream.name)
            .collect();
        let sidecars: u64 = users.iter().map(|(_, c)| u64::from(c.instances)).sum();
        let total_rate: f64 = users
            .iter()
            .map(|(_, c)| f64::from(c.instances) * c.requests_per_second)
            .sum();
        let apps: std::collections::BTreeSet<String> =
            users.iter().map(|(a, _)| a.name.clone()).collect();
        let mut add =
            |code, key: &str, location: Location, reason: &str, found: String, allowed: String| {
                report.findings.push(Finding {
                    code,
                    key: format!("upstream.{}.{key}", upstream.name),
                    reason: reason.to_owned(),
                    found,
                    allowed,
                    location,
                    related: Vec::new(),
                    apps: apps.clone(),
                });
            };
        let file = upstream.location.file;
        if let Some(connections) = &upstream.contract.max_connections {
            // A proxy with a lower `proxies` setting keeps more idle connections.
            let idle_connections: u64 = users
                .iter()
                .map(|(a, c)| {
                    u64::from(c.instances) * max_idle_connections(a.config.upstream.proxies) as u64
                })
                .sum();
            if idle_connections > connections.value {
                let location = Location::new(file, &connections.span);
                let found =
                    format!("{sidecars} sidecars that together keep {idle_connections} connections to an endpoint");
                let reason =
                    "the sidecars together keep more connections than an endpoint can hold";
                add(
                    "connections",
                    "connections",
                    location,
                    reason,
                    found,
                    format!("at most {}", connections.value),
                );
            }
        }
        if let Some(rate) = upstream
            .contract
            .max_requests_per_second
            .as_ref()
            .filter(|_| upstream.upstream.discovery.is_none())
        {
            let endpoints = upstream.upstream.endpoints.len().max(1) as f64;
            let (endpoint_rate, location) =
                (total_rate / endpoints, Location::new(file, &rate.span));
            let found =
                format!("{total_rate} requests per second over {endpoints} endpoints: {endpoint_rate:.1} each");
            let rules = &upstream.upstream.rules;
            let slow_start_rate =
                rate.value * rules.slow_start_min_capacity * rules.overload_multiple;
            if endpoint_rate > rate.value {
                let reason =
                    "all applications together send more requests than the endpoints can serve";
                add(
                    "rate",
                    "rate",
                    location,
                    reason,
                    found,
                    format!("at most {} each", rate.value),
                );
            } else if endpoint_rate > slow_start_rate {
                let reason =
                    "an even share of all requests would overload an endpoint in slow start";
                add(
                    "cold",
                    "rate",
                    location,
                    reason,
                    found,
                    format!("at most {slow_start_rate:.1} each"),
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
                        app.location(&["upstream", "proxies"]),
                    ),
                    "the sidecar would use a wrong share of the endpoints' capacity",
                );
                finding.found = own.proxies.to_string();
                finding.allowed = format!(
                    "{sidecars}: all instances of all applications on {:?}",
                    upstream.name
                );
                report.findings.push(finding);
            }
            let check_equal = |key: &str, equal: bool, report: &mut Report| {
                if !equal {
                    let mut finding = app.finding(
                        "upstream-differs",
                        (format!("upstream.{key}"), app.location(&["upstream", key])),
                        format!(
                            "this differs from the description of upstream {:?}",
                            upstream.name
                        ),
                    );
                    finding.found = "a different value".to_owned();
                    finding.allowed = "the same value for all sidecars of an upstream".to_owned();
                    finding
                        .related
                        .push((upstream.location.clone(), "described here".to_owned()));
                    report.findings.push(finding);
                }
            };
            let theirs = &upstream.upstream;
            check_equal("endpoints", own.endpoints == theirs.endpoints, report);
            check_equal("discovery", own.discovery == theirs.discovery, report);
            check_equal("idle", own.idle == theirs.idle, report);
            check_equal(
                "drain_grace",
                own.rules.drain_grace == theirs.rules.drain_grace,
                report,
            );
            check_equal(
                "cold_share",
                own.rules.slow_start_min_capacity == theirs.rules.slow_start_min_capacity,
                report,
            );
            check_equal(
                "cold_time",
                own.rules.slow_start_duration == theirs.rules.slow_start_duration,
                report,
            );
            check_equal(
                "fall_multiple",
                own.rules.overload_multiple == theirs.rules.overload_multiple,
                report,
            );
            check_equal(
                "fall_time",
                own.rules.overload_duration == theirs.rules.overload_duration,
                report,
            );
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sidecars_of_one_fleet_need_the_same_list_service_and_a_common_seed() {
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
                contract: None,
            }
        };
        let finding_codes = |applications: Vec<Application>| {
            let mut report = Report::default();
            ConfigSet {
                applications,
                ..ConfigSet::default()
            }
            .check_fleets(&mut report);
            report.findings.iter().map(|f| f.code).collect::<Vec<_>>()
        };
        let (one, two) = (("10.0.0.1:1", "north"), ("10.0.0.2:1", "north"));
        let same = vec![app("a", "10.0.0.7:1", one), app("b", "10.0.0.7:1", one)];
        assert!(finding_codes(same).is_empty());
        assert_eq!(
            finding_codes(vec![
                app("a", "10.0.0.7:1", one),
                app("b", "10.0.0.8:1", one)
            ]),
            ["fleet-differs"]
        );
        assert_eq!(
            finding_codes(vec![
                app("a", "10.0.0.7:1", one),
                app("b", "10.0.0.7:1", two)
            ]),
            ["fleet-apart"]
        );
        let other = app("b", "10.0.0.8:1", ("10.0.0.2:1", "south"));
        assert!(finding_codes(vec![app("a", "10.0.0.7:1", one), other]).is_empty());
    }
}
