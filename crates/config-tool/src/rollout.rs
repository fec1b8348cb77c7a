//! Compares two sets of files: what a rollout from one to the other changes, and whether proxies with the old files and
//! proxies with the new files can safely run at the same time.

use crate::config_set::{display_idempotency, Application, ConfigSet};
use crate::finding::{Finding, Location, Report};
use badgerramp_config::Config;
use badgerramp_decisions::Idempotency;
use badgerramp_route::{PathPattern, Route};
use badgerramp_toml_diagnostics::units::format_duration;
use http::{HeaderMap, HeaderValue, Method};

/// Compares two sets. Unsafe changes are reported as findings, all other changes as notes.
pub fn compare(report: &mut Report, old: &ConfigSet, new: &ConfigSet) {
    for app in &new.applications {
        match old.applications.iter().find(|o| o.name == app.name) {
            Some(before) => compare_applications(report, before, app),
            None => report.notes.push(format!("{}: added", app.name)),
        }
    }
    for before in &old.applications {
        if !new.applications.iter().any(|a| a.name == before.name) {
            report.notes.push(format!("{}: removed", before.name));
        }
    }
}

/// The comparison of one application's old and new file.
struct Comparison<'c> {
    report: &'c mut Report,
    old: &'c Application,
    new: &'c Application,
}

impl Comparison<'_> {
    fn report_unsafe(
        &mut self,
        code: &'static str,
        (key, path): (String, &[&str]),
        reason: &str,
        found: String,
        allowed: String,
    ) {
        let location = |app: &Application| {
            Location::new(app.file, &app.config.value_span(path).unwrap_or(0..0))
        };
        self.report.findings.push(Finding {
            code,
            key,
            reason: reason.to_owned(),
            found,
            allowed,
            location: location(self.new),
            related: vec![(location(self.old), "before".to_owned())],
            apps: [self.new.name.clone()].into(),
        });
    }

    fn add_note(&mut self, text: String) {
        self.report.notes.push(format!("{}: {text}", self.new.name));
    }
}

fn compare_applications(report: &mut Report, old: &Application, new: &Application) {
    let (before, after) = (&old.config, &new.config);
    let mut comparison = Comparison { report, old, new };
    if before.listen != after.listen {
        let reason =
            "a running proxy can't change its listener, and its clients use the old address";
        let allowed = format!(
            "{}, or a new application in addition to the old one",
            before.listen
        );
        comparison.report_unsafe(
            "listener-moved",
            ("listen".to_owned(), &["listen"]),
            reason,
            after.listen.to_string(),
            allowed,
        );
    }
    for (key, unchanged) in [
        ("limits.memory", before.limits.memory == after.limits.memory),
        (
            "limits.descriptors",
            before.limits.descriptors == after.limits.descriptors,
        ),
        ("upstream.idle", before.upstream.idle == after.upstream.idle),
        (
            "upstream.discovery",
            before.upstream.discovery.is_some() == after.upstream.discovery.is_some(),
        ),
        ("peers", before.peers == after.peers),
    ] {
        if !unchanged {
            comparison.add_note(format!(
                "{key} changes, which requires a restart: a reload rejects it"
            ));
        }
    }
    compare_classes(&mut comparison, before, after);
    for endpoint in &after.upstream.endpoints {
        let known = before
            .upstream
            .endpoints
            .iter()
            .find(|e| e.address == endpoint.address);
        if let Some(known) =
            known.filter(|k| (k.group, &k.zone) != (endpoint.group, &endpoint.zone))
        {
            let reason =
                "while old and new files are in use, a keyed call could be retried in a group that has not seen its key";
            let found = format!(
                "{} in group {}, zone {:?}",
                endpoint.address, endpoint.group, endpoint.zone
            );
            let allowed = format!("group {}, zone {:?}, as before", known.group, known.zone);
            comparison.report_unsafe(
                "group-moved",
                ("upstream.endpoints".to_owned(), &["upstream", "endpoints"]),
                reason,
                found,
                allowed,
            );
        }
    }
    let addresses = |c: &Config| {
        c.upstream
            .endpoints
            .iter()
            .map(|e| e.address.to_string())
            .collect::<Vec<_>>()
    };
    let (theirs, own) = (addresses(before), addresses(after));
    for removed in theirs.iter().filter(|a| !own.contains(a)) {
        comparison.add_note(format!("endpoint {removed} is removed"));
    }
    for added in own.iter().filter(|a| !theirs.contains(a)) {
        comparison.add_note(format!(
            "endpoint {added} is added, and begins with slow start"
        ));
    }
    compare_paths(&mut comparison, before, after);
    compare_route_timing(&mut comparison, before, after);
}

/// Compares the classes of both files.
fn compare_classes(comparison: &mut Comparison<'_>, before: &Config, after: &Config) {
    for class in &after.classes {
        let name = class.name.as_str();
        let Some(known) = before.classes.iter().find(|c| c.name == name) else {
            comparison.add_note(format!("class {name} is added"));
            continue;
        };
        let (own, theirs) = (class.class, known.class);
        let key_path = |key: &str| format!("class.{name}.{key}");
        let same_effect = match (theirs.idempotency, own.idempotency) {
            (Idempotency::Keyed { scope: a, .. }, Idempotency::Keyed { scope: b, .. }) => a == b,
            (a, b) => a == b,
        };
        if !same_effect {
            let reason = "while old and new files are in use, some proxies would retry calls that the others treat differently";
            let path = ["class", name, "effect"];
            let found = display_idempotency(own.idempotency);
            comparison.report_unsafe(
                "effect-changed",
                (key_path("effect"), &path),
                reason,
                found,
                display_idempotency(theirs.idempotency),
            );
        } else if let (Idempotency::Keyed { window: a, .. }, Idempotency::Keyed { window: b, .. }) =
            (theirs.idempotency, own.idempotency)
        {
            if b < a {
                let reason = "while old and new files are in use, proxies with the old window would retry calls whose keys the endpoints may have forgotten";
                let path = ["class", name, "window"];
                let allowed = format!("{} or more", format_duration(a));
                comparison.report_unsafe(
                    "window-shrinks",
                    (key_path("window"), &path),
                    reason,
                    format_duration(b),
                    allowed,
                );
            } else if b > a {
                comparison.add_note(format!(
                    "class {name}: window {} -> {}",
                    format_duration(a),
                    format_duration(b)
                ));
            }
        }
        for (key, a, b) in [
            ("aim", theirs.latency_objective, own.latency_objective),
            ("deadline", theirs.deadline, own.deadline),
        ] {
            if a != b {
                comparison.add_note(format!(
                    "class {name}: {key} {} -> {}",
                    format_duration(a),
                    format_duration(b)
                ));
            }
        }
    }
    for known in &before.classes {
        if !after.classes.iter().any(|c| c.name == known.name) {
            comparison.add_note(format!("class {} is removed", known.name));
        }
    }
}

/// Sample requests that match a route's path, methods and headers; none for a regular expression.
fn sample_requests(route: &Route) -> Vec<(Method, String, HeaderMap)> {
    let paths = match &route.path {
        PathPattern::Exact(path) => vec![path.clone()],
        PathPattern::Prefix(path) => {
            vec![path.clone(), format!("{}/x", path.trim_end_matches('/'))]
        }
        PathPattern::Regex(_) => Vec::new(),
    };
    let methods = if route.methods.is_empty() {
        vec![Method::POST, Method::GET]
    } else {
        route.methods.clone()
    };
    let any_value = HeaderValue::from_static("1");
    let headers: HeaderMap = route
        .headers
        .iter()
        .map(|h| {
            (
                h.name.clone(),
                h.value.clone().unwrap_or_else(|| any_value.clone()),
            )
        })
        .collect();
    let pairs = paths
        .iter()
        .flat_map(|p| methods.iter().map(move |m| (m.clone(), p.clone())));
    pairs
        .map(|(method, path)| (method, path, headers.clone()))
        .collect()
}

/// Compares how both files handle sample requests of all routes.
fn compare_paths(comparison: &mut Comparison<'_>, before: &Config, after: &Config) {
    let mut reported = std::collections::BTreeSet::new();
    for route in before.routes.routes().iter().chain(after.routes.routes()) {
        for (method, path, headers) in sample_requests(route) {
            let find = |c: &Config| {
                let (_, route) = c.routes.find(&method, &path, &headers).ok().flatten()?;
                let class = &c.classes[route.class];
                Some((
                    class.name.clone(),
                    class.class.idempotency,
                    route.key.clone(),
                    route.name.clone(),
                ))
            };
            let (theirs, own) = (find(before), find(after));
            let request = format!("{method} {path}");
            let route_index =
                |name: &str| after.routes.routes().iter().position(|r| r.name == name);
            match (theirs, own) {
                (Some(theirs), Some(own)) => {
                    // A change within one class is compared in `compare_classes`.
                    let effect_changed = theirs.0 != own.0 && theirs.1 != own.1;
                    let key_changed =
                        theirs.2 != own.2 && matches!(own.1, Idempotency::Keyed { .. });
                    if (effect_changed || key_changed) && reported.insert(request.clone()) {
                        let reason = if effect_changed {
                            format!("while old and new files are in use, {request} would have different effects")
                        } else {
                            format!("while old and new files are in use, {request} would have different keys")
                        };
                        let found = format!(
                            "class {} ({}), key {:?}",
                            own.0,
                            display_idempotency(own.1),
                            own.2
                        );
                        let allowed = format!(
                            "class {} ({}), key {:?}",
                            theirs.0,
                            display_idempotency(theirs.1),
                            theirs.2
                        );
                        let index = route_index(&own.3).unwrap_or(0).to_string();
                        comparison.report_unsafe(
                            "path-changed",
                            (format!("route[{index}]"), &["route", &index]),
                            &reason,
                            found,
                            allowed,
                        );
                    }
                }
                (Some(_), None) if reported.insert(request.clone()) => {
                    comparison.add_note(format!("{request} no longer has a route"));
                }
                (None, Some(_)) if reported.insert(request.clone()) => {
                    comparison.add_note(format!("{request} now has a route"));
                }
                _ => {}
            }
        }
    }
}

/// Compares the timing of the routes of both files.
fn compare_route_timing(comparison: &mut Comparison<'_>, before: &Config, after: &Config) {
    for (index, route) in after.routes.routes().iter().enumerate() {
        let Some(known) = before
            .routes
            .routes()
            .iter()
            .position(|r| r.name == route.name)
        else {
            continue;
        };
        let pairs = before
            .route_timing_values(known)
            .into_iter()
            .zip(after.route_timing_values(index));
        for (theirs, own) in pairs.filter(|(a, b)| a.value != b.value) {
            comparison.add_note(format!(
                "route {}: {} {} -> {}",
                route.name, own.name, theirs.value, own.value
            ));
        }
    }
}
