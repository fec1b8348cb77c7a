//! Two sets side by side: what a reload would change, and whether both may run at once.

use crate::finding::{Finding, Place, Report};
use crate::set::{show_repeat, Application, Set};
use badgerramp_config::Config;
use badgerramp_decisions::Idempotency;
use badgerramp_route::{PathPattern, Route};
use badgerramp_toml_diagnostics::units::format_duration;
use http::{HeaderMap, HeaderValue, Method};

/// Compares; what must not be is a finding, what changes is a note.
pub fn compare(report: &mut Report, old: &Set, new: &Set) {
    for app in &new.applications {
        match old.applications.iter().find(|o| o.name == app.name) {
            Some(before) => application(report, before, app),
            None => report.notes.push(format!("{}: new", app.name)),
        }
    }
    for before in &old.applications {
        if !new.applications.iter().any(|a| a.name == before.name) {
            report.notes.push(format!("{}: gone", before.name));
        }
    }
}

struct Change<'c> {
    report: &'c mut Report,
    old: &'c Application,
    new: &'c Application,
}

impl Change<'_> {
    fn refuse(
        &mut self,
        code: &'static str,
        (key, path): (String, &[&str]),
        reason: &str,
        found: String,
        allowed: String,
    ) {
        let at =
            |app: &Application| Place::new(app.file, &app.config.value_span(path).unwrap_or(0..0));
        self.report.findings.push(Finding {
            code,
            key,
            reason: reason.to_owned(),
            found,
            allowed,
            place: at(self.new),
            related: vec![(at(self.old), "before".to_owned())],
            apps: [self.new.name.clone()].into(),
        });
    }

    fn note(&mut self, text: String) {
        self.report.notes.push(format!("{}: {text}", self.new.name));
    }
}

fn application(report: &mut Report, old: &Application, new: &Application) {
    let (before, after) = (&old.config, &new.config);
    let mut change = Change { report, old, new };
    if before.listen != after.listen {
        let reason =
            "a listener that moves leaves its clients behind: a running program can't move it";
        let allowed = format!("{}, or a new application beside the old one", before.listen);
        change.refuse(
            "listener-moved",
            ("listen".to_owned(), &["listen"]),
            reason,
            after.listen.to_string(),
            allowed,
        );
    }
    for (key, same) in [
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
        if !same {
            change.note(format!(
                "{key} changes: a reload refuses that, it wants a new start"
            ));
        }
    }
    classes(&mut change, before, after);
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
                "while both run, a keyed call could go again to a group that does not know it";
            let found = format!(
                "{} in group {}, zone {:?}",
                endpoint.address, endpoint.group, endpoint.zone
            );
            let allowed = format!("group {}, zone {:?}, as before", known.group, known.zone);
            change.refuse(
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
    for gone in theirs.iter().filter(|a| !own.contains(a)) {
        change.note(format!("endpoint {gone} goes"));
    }
    for come in own.iter().filter(|a| !theirs.contains(a)) {
        change.note(format!("endpoint {come} comes, and counts as cold"));
    }
    paths(&mut change, before, after);
    routes(&mut change, before, after);
}

/// Effects and windows of the classes that both have.
fn classes(change: &mut Change<'_>, before: &Config, after: &Config) {
    for class in &after.classes {
        let name = class.name.as_str();
        let Some(known) = before.classes.iter().find(|c| c.name == name) else {
            change.note(format!("class {name} comes"));
            continue;
        };
        let (own, theirs) = (class.class, known.class);
        let key = |what: &str| format!("class.{name}.{what}");
        let same_kind = match (theirs.idempotency, own.idempotency) {
            (Idempotency::Keyed { scope: a, .. }, Idempotency::Keyed { scope: b, .. }) => a == b,
            (a, b) => a == b,
        };
        if !same_kind {
            let reason = "while both run, one would send again what the other holds for unsafe";
            let path = ["class", name, "effect"];
            let found = show_repeat(own.idempotency);
            change.refuse(
                "effect-changed",
                (key("effect"), &path),
                reason,
                found,
                show_repeat(theirs.idempotency),
            );
        } else if let (Idempotency::Keyed { window: a, .. }, Idempotency::Keyed { window: b, .. }) =
            (theirs.idempotency, own.idempotency)
        {
            if b < a {
                let reason = "while both run, the old one would send again what the hosts may have forgotten";
                let path = ["class", name, "window"];
                let allowed = format!("{} or more", format_duration(a));
                change.refuse(
                    "window-shrinks",
                    (key("window"), &path),
                    reason,
                    format_duration(b),
                    allowed,
                );
            } else if b > a {
                change.note(format!(
                    "class {name}: window {} -> {}",
                    format_duration(a),
                    format_duration(b)
                ));
            }
        }
        for (what, a, b) in [
            ("aim", theirs.latency_objective, own.latency_objective),
            ("deadline", theirs.deadline, own.deadline),
        ] {
            if a != b {
                change.note(format!(
                    "class {name}: {what} {} -> {}",
                    format_duration(a),
                    format_duration(b)
                ));
            }
        }
    }
    for known in &before.classes {
        if !after.classes.iter().any(|c| c.name == known.name) {
            change.note(format!("class {} goes", known.name));
        }
    }
}

/// Requests that a route takes, as far as they can be told without trying all.
fn samples(route: &Route) -> Vec<(Method, String, HeaderMap)> {
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
    let any = HeaderValue::from_static("1");
    let headers: HeaderMap = route
        .headers
        .iter()
        .map(|h| {
            (
                h.name.clone(),
                h.value.clone().unwrap_or_else(|| any.clone()),
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

/// What the same request is to both.
fn paths(change: &mut Change<'_>, before: &Config, after: &Config) {
    let mut told = std::collections::BTreeSet::new();
    for route in before.routes.routes().iter().chain(after.routes.routes()) {
        for (method, path, headers) in samples(route) {
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
            let number = |name: &str| after.routes.routes().iter().position(|r| r.name == name);
            match (theirs, own) {
                (Some(theirs), Some(own)) => {
                    // The same class is looked at as a class.
                    let effect = theirs.0 != own.0 && theirs.1 != own.1;
                    let key = theirs.2 != own.2 && matches!(own.1, Idempotency::Keyed { .. });
                    if (effect || key) && told.insert(request.clone()) {
                        let reason = if effect {
                            format!("while both run, {request} would be two things")
                        } else {
                            format!("while both run, {request} would have two keys")
                        };
                        let found =
                            format!("class {} ({}), key {:?}", own.0, show_repeat(own.1), own.2);
                        let allowed = format!(
                            "class {} ({}), key {:?}",
                            theirs.0,
                            show_repeat(theirs.1),
                            theirs.2
                        );
                        let place = number(&own.3).unwrap_or(0).to_string();
                        change.refuse(
                            "path-changed",
                            (format!("route[{place}]"), &["route", &place]),
                            &reason,
                            found,
                            allowed,
                        );
                    }
                }
                (Some(_), None) if told.insert(request.clone()) => {
                    change.note(format!("{request} has no route any more"));
                }
                (None, Some(_)) if told.insert(request.clone()) => {
                    change.note(format!("{request} has a route now"));
                }
                _ => {}
            }
        }
    }
}

/// Timing of the routes that both have.
fn routes(change: &mut Change<'_>, before: &Config, after: &Config) {
    for (place, route) in after.routes.routes().iter().enumerate() {
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
            .zip(after.route_timing_values(place));
        for (theirs, own) in pairs.filter(|(a, b)| a.value != b.value) {
            change.note(format!(
                "route {}: {} {} -> {}",
                route.name, own.name, theirs.value, own.value
            ));
        }
    }
}
