//! Checks of an application's file against the contracts of its client and its upstream.

use crate::config_set::{display_idempotency, Application, DescribedUpstream};
use crate::contract::{display_scope, ApplicationContract, RetryOn};
use crate::finding::{Location, Report};
use crate::overlap::{
    is_under, loosely_normalize, matches_all_under, matches_only_under, matches_under,
    matches_writes_of, may_write,
};
use badgerramp_config::RESPONSE_RESERVE;
use badgerramp_decisions::{DedupScope, Idempotency, Micros};
use badgerramp_route::{PathPattern, Route, Source};
use badgerramp_toml_diagnostics::units::format_duration;

/// Checks the timeout and the retries of an application's client against its sidecar's timing.
pub(crate) fn check_client(
    report: &mut Report,
    app: &Application,
    file: usize,
    contract: &ApplicationContract,
) {
    let client_timeout = contract.client_timeout.value;
    let timeout_location = || Location::new(file, &contract.client_timeout.span);
    for (index, route) in app.config.routes.routes().iter().enumerate() {
        let class = &app.config.classes[route.class];
        if route.timing.total.saturating_add(RESPONSE_RESERVE) > client_timeout {
            let timing_values = app.config.route_timing_values(index);
            let set_by = timing_values
                .iter()
                .find(|f| f.name == "total")
                .and_then(|f| f.set_by.clone());
            let (key, location) = match set_by {
                Some((key, span)) => (key, Location::new(app.file, &span)),
                None => (
                    format!("class.{}.deadline", class.name),
                    app.location(&["class", &class.name, "deadline"]),
                ),
            };
            let mut finding = app.finding(
                "client-gives-up",
                (key, location),
                "the client gives up before the sidecar's final response",
            );
            finding.found = format!("up to {}", format_duration(route.timing.total));
            finding.allowed = format!(
                "at most {}",
                format_duration(client_timeout.saturating_sub(RESPONSE_RESERVE))
            );
            finding.related.push((
                timeout_location(),
                format!(
                    "the client's timeout is {}",
                    format_duration(client_timeout)
                ),
            ));
            report.findings.push(finding);
        }
    }
    if contract.retries.value == 0 {
        return;
    }
    let retries_location = || Location::new(file, &contract.retries.span);
    let mut reported = std::collections::BTreeSet::new();
    for route in app.config.routes.routes().iter().filter(|r| may_write(r)) {
        let class = &app.config.classes[route.class];
        let mut add = |reason: &str, found: String, allowed: &str| {
            if reported.insert((class.name.clone(), reason.to_owned())) {
                let key = format!("app.{}.retries", app.name);
                let mut finding = app.finding("client-resends", (key, retries_location()), reason);
                finding.found = found;
                finding.allowed = allowed.to_owned();
                let class_location = app.location(&["class", &class.name]);
                finding
                    .related
                    .push((class_location, format!("class {}", class.name)));
                report.findings.push(finding);
            }
        };
        match class.class.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => {
                if contract.retry_on == RetryOn::Failed {
                    let reason = "the client itself retries unsafe calls that may have run";
                    let found = format!("{} retries after failures", contract.retries.value);
                    add(reason, found, "retry_on = \"refused\", or no retries");
                }
            }
            Idempotency::Keyed { scope, window } => {
                if contract.retry_on == RetryOn::Failed && scope != DedupScope::All {
                    let reason =
                        "the client's own retry may reach a group that has not seen its key";
                    let found = format!(
                        "{} retries after failures, group {:?}",
                        contract.retries.value,
                        display_scope(scope)
                    );
                    add(
                        reason,
                        found,
                        "retry_on = \"refused\", or retries that all endpoints deduplicate",
                    );
                }
                // With deduplication by all endpoints, a call may be rejected although it has run.
                let latest_retry = latest_retry(contract, route.timing.total);
                if scope == DedupScope::All && latest_retry >= window {
                    let reason =
                        "the client's last retry is sent after the endpoints have forgotten its key";
                    let found =
                        format!("{} after the first attempt", format_duration(latest_retry));
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

/// How long after the client's first attempt the sidecar may still send on its last retry.
fn latest_retry(contract: &ApplicationContract, total: Micros) -> Micros {
    contract
        .retries
        .value
        .saturating_mul(
            contract
                .client_timeout
                .value
                .saturating_add(contract.max_retry_pause),
        )
        .saturating_add(total)
}

/// Checks an application's routes against the retry guarantees of its upstream.
pub(crate) fn check_contract(report: &mut Report, app: &Application, upstream: &DescribedUpstream) {
    let routes = app.config.routes.routes();
    for (index, route) in routes.iter().enumerate().filter(|(_, r)| may_write(r)) {
        let idempotency = app.config.classes[route.class].class.idempotency;
        for (prefix, span) in &upstream.contract.unsafe_paths {
            if idempotency != Idempotency::NonIdempotent {
                check_strictness(
                    report,
                    app,
                    (index, route),
                    (upstream, prefix, span),
                    "unsafe",
                    "an unsafe class",
                );
            }
        }
        for keyed in &upstream.contract.keyed_paths {
            let is_honored = match idempotency {
                Idempotency::NonIdempotent => true,
                Idempotency::Idempotent => false,
                Idempotency::Keyed { scope, window } => {
                    (scope == keyed.scope || keyed.scope == DedupScope::All)
                        && window <= keyed.window
                        && route.key == Some(Source::Header(keyed.header.clone()))
                }
            };
            if !is_honored {
                let allowed = format!(
                    "unsafe, or keyed with group {:?}, a window of at most {} and the key in header {}",
                    display_scope(keyed.scope),
                    format_duration(keyed.window),
                    keyed.header
                );
                check_strictness(
                    report,
                    app,
                    (index, route),
                    (upstream, &keyed.prefix, &keyed.span),
                    "keyed",
                    &allowed,
                );
            }
        }
    }
    // A keyed class is only valid on paths where the upstream deduplicates retries.
    for (index, route) in routes.iter().enumerate().filter(|(_, r)| may_write(r)) {
        let idempotency = app.config.classes[route.class].class.idempotency;
        if !matches!(idempotency, Idempotency::Keyed { .. }) {
            continue;
        }
        let keyed_paths = upstream.contract.keyed_paths.iter();
        let prefixes: Vec<&str> = keyed_paths.map(|keyed| keyed.prefix.as_str()).collect();
        if !matches_only_under(route, &prefixes) {
            let class = &app.config.classes[route.class].name;
            let mut finding = app.finding(
                "keyed-unhonoured",
                (format!("route[{index}]"), app.route_location(index)),
                format!(
                    "upstream {:?} does not deduplicate retries there",
                    upstream.name
                ),
            );
            finding.found = format!("route {:?} of the keyed class {class}", route.name);
            finding.allowed =
                "a path under one of the upstream's `keyed` prefixes, or another class".to_owned();
            finding
                .related
                .push((upstream.location.clone(), "described here".to_owned()));
            report.findings.push(finding);
        }
    }
}

/// Reports a route that can match a request under `prefix` although its class allows more retries than the upstream's
/// contract, unless an earlier route matches all those requests.
fn check_strictness(
    report: &mut Report,
    app: &Application,
    (index, route): (usize, &Route),
    (upstream, prefix, span): (&DescribedUpstream, &str, &std::ops::Range<usize>),
    kind: &str,
    allowed: &str,
) {
    let classes = &app.config.classes;
    // The first matching route is used, and an earlier route is checked by itself.
    let is_shadowed = app.config.routes.routes()[..index]
        .iter()
        .any(|earlier| matches_all_under(earlier, prefix) && matches_writes_of(earlier, route));
    let build_finding = |code, reason: String| {
        let class = &classes[route.class];
        let mut finding = app.finding(
            code,
            (format!("route[{index}].class"), app.route_location(index)),
            reason,
        );
        finding.found = format!(
            "route {:?} of class {} ({})",
            route.name,
            class.name,
            display_idempotency(class.class.idempotency)
        );
        finding.allowed = allowed.to_owned();
        finding.related.push((
            Location::new(upstream.location.file, span),
            format!("declared {kind} here"),
        ));
        finding
    };
    if matches_under(route, prefix) && !is_shadowed {
        let reason = format!("this route could retry a request under {prefix:?}");
        report.findings.push(build_finding(
            if kind == "unsafe" {
                "charge-lax"
            } else {
                "keyed-unhonoured"
            },
            reason,
        ));
        return;
    }
    // The path is not under the prefix, but an endpoint may treat it as if it were.
    let (PathPattern::Exact(path) | PathPattern::Prefix(path)) = &route.path else {
        return;
    };
    let (own, theirs) = (loosely_normalize(path), loosely_normalize(prefix));
    if !is_under(path, prefix) && !is_under(prefix, path) && is_under(&own, &theirs) {
        let reason =
            format!("an endpoint that normalizes paths loosely may treat this as {prefix:?}");
        report.findings.push(build_finding("path-alike", reason));
    }
}
