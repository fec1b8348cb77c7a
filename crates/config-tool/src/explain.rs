//! Explains how a file handles a request, and shows the worst-case timeline of a call of a class.

use badgerramp_config::{Config, TimingValue, RESPONSE_RESERVE};
use badgerramp_decisions::{Hedge, Idempotency, Micros, RetryOn};
use badgerramp_expr::{Builder, ExpectedType};
use badgerramp_route::{normalize, Head, PathPattern, Route, Source, Timing};
use badgerramp_toml_diagnostics::units::format_duration;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde::Serialize;
use std::fmt::Write;
use std::net::IpAddr;

/// A timing setting of a route.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub struct TimingSetting {
    /// The key of the setting.
    pub name: String,
    /// Its effective value.
    pub value: String,
    /// Where the value is set.
    #[serde(rename = "from")]
    pub origin: String,
}

/// How a file handles a request.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub struct RequestExplanation {
    /// The path in its normal form.
    pub path: String,
    /// The matching route and its line; `None` if no route matches and the proxy responds by itself.
    pub route: Option<(String, usize)>,
    /// Earlier routes that don't match, each with the reason.
    #[serde(rename = "passed_over")]
    pub skipped_routes: Vec<(String, String)>,
    /// The class of the request, and the effect of the class.
    pub class: Option<(String, String)>,
    /// Subexpressions of the route's condition and key with their values, outer ones first.
    #[serde(rename = "parts")]
    pub subexpressions: Vec<(String, String)>,
    /// Its idempotency key and the source of the key.
    pub key: Option<String>,
    /// The timing of its route.
    pub timing: Vec<TimingSetting>,
}

/// Parses a request from texts like `POST /x` and `Name: value`.
///
/// # Errors
/// Returns a message if the method, a header or the form is invalid.
pub fn parse_request(
    request: &str,
    headers: &[String],
) -> Result<(Method, String, HeaderMap), String> {
    let (method, target) = request
        .trim()
        .split_once(' ')
        .ok_or("a request is a method and a path, like 'POST /x'")?;
    let method = method
        .parse::<Method>()
        .map_err(|_| format!("{method:?} is not a method"))?;
    let path = target
        .trim()
        .split('#')
        .next()
        .unwrap_or_default()
        .to_owned();
    let mut map = HeaderMap::new();
    for header in headers {
        let (name, value) = header
            .split_once(':')
            .ok_or_else(|| format!("{header:?} is not a header like 'Name: value'"))?;
        let name = HeaderName::from_bytes(name.trim().as_bytes())
            .map_err(|_| format!("{name:?} is not a header name"))?;
        let value = HeaderValue::from_str(value.trim())
            .map_err(|_| format!("{value:?} is not a header value"))?;
        map.append(name, value);
    }
    Ok((method, path, map))
}

/// The line of a byte offset, starting at 1.
fn line_number(config: &Config, start: usize) -> usize {
    config
        .text()
        .get(..start)
        .unwrap_or_default()
        .matches('\n')
        .count()
        + 1
}

fn timing_settings(config: &Config, values: Vec<TimingValue>) -> Vec<TimingSetting> {
    let origin = |value: &TimingValue| match &value.set_by {
        Some((key, span)) => format!("{key}, line {}", line_number(config, span.start)),
        None => "not set".to_owned(),
    };
    values
        .iter()
        .map(|v| TimingSetting {
            name: v.name.to_owned(),
            value: v.value.clone(),
            origin: origin(v),
        })
        .collect()
}

fn describe_effect(idempotency: Idempotency) -> String {
    match idempotency {
        Idempotency::Idempotent => "safe: it may run more than once".to_owned(),
        Idempotency::NonIdempotent => {
            "unsafe: it is retried only if every attempt provably never ran".to_owned()
        }
        Idempotency::Keyed { window, .. } => {
            format!(
                "keyed: it may be retried within its group, for {}",
                format_duration(window)
            )
        }
    }
}

/// The reason why a route does not match a request; `None` if it matches.
fn mismatch_reason(config: &Config, route: &Route, head: &Head<'_>) -> Option<String> {
    let Head {
        method,
        path,
        headers,
        ..
    } = *head;
    let path_matches = match &route.path {
        PathPattern::Exact(exact) => exact == path,
        PathPattern::Prefix(prefix) if prefix.ends_with('/') => path.starts_with(prefix.as_str()),
        PathPattern::Prefix(prefix) => path
            .strip_prefix(prefix.as_str())
            .is_some_and(|r| r.is_empty() || r.starts_with('/')),
        PathPattern::Regex(regex) => regex.is_match(path),
    };
    if !path_matches {
        return Some("its path".to_owned());
    }
    if !route.methods.is_empty() && !route.methods.contains(method) {
        return Some("its methods".to_owned());
    }
    let missing = route.headers.iter().find(|h| {
        !headers
            .get_all(&h.name)
            .iter()
            .any(|v| h.value.as_ref().is_none_or(|w| w == v))
    });
    if let Some(header) = missing {
        return Some(format!("header {}", header.name));
    }
    let when = route.when.as_ref()?;
    (!config.routes.program().holds(when.id, head))
        .then(|| format!("its condition, {}", when.text.trim()))
}

/// Evaluates the subexpressions of an expression, outer ones first.
fn evaluate_subexpressions(text: &str, head: &Head<'_>, values: &mut Vec<(String, String)>) {
    let Ok(ast) = badgerramp_expr::parse(text) else {
        return;
    };
    let mut pending = vec![&ast];
    while let Some(part) = pending.pop() {
        pending.extend(
            part.children()
                .into_iter()
                .rev()
                .filter(|c| !c.is_literal()),
        );
        let mut builder = Builder::default();
        let Ok(id) = builder.add_ast(part, ExpectedType::Any) else {
            continue;
        };
        let program = builder.build();
        let expression = text
            .get(part.span.clone())
            .unwrap_or_default()
            .split_whitespace()
            .collect::<Vec<_>>()
            .join(" ");
        values.push((expression, program.evaluate(id, head).display()));
    }
}

/// Explains how a file handles a request.
///
/// # Errors
/// Returns a message if the request's path has no normal form. The sidecar responds with 400 to such a request.
pub fn explain_request(
    config: &Config,
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    client: IpAddr,
) -> Result<RequestExplanation, String> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let normalized = normalize(path).map_err(|error| format!("answered 400: {error}"))?;
    let head = Head {
        method,
        path: &normalized,
        query,
        headers,
        client,
    };
    let found = config
        .routes
        .find_head(&head)
        .map_err(|error| format!("answered 400: {error}"))?;
    let searched_routes = found.map_or(config.routes.routes().len(), |f| f.0);
    let skipped_routes = config.routes.routes()[..searched_routes]
        .iter()
        .filter_map(|r| {
            // Routes with other paths are only listed if no route matches.
            let reason = mismatch_reason(config, r, &head)?;
            (found.is_none() || reason != "its path").then(|| (r.name.clone(), reason))
        });
    let mut explanation = RequestExplanation {
        path: normalized.to_string(),
        route: None,
        skipped_routes: skipped_routes.collect(),
        class: None,
        subexpressions: Vec::new(),
        key: None,
        timing: Vec::new(),
    };
    if let Some((index, route)) = found {
        let class = &config.classes[route.class];
        let is_keyed = matches!(class.class.idempotency, Idempotency::Keyed { .. });
        explanation.route = Some((
            route.name.clone(),
            line_number(config, config.route_span(index).start),
        ));
        explanation.class = Some((class.name.clone(), describe_effect(class.class.idempotency)));
        explanation.key = route.key.as_ref().filter(|_| is_keyed).map(|source| {
            let source_name = match source {
                Source::Header(name) => format!("header {name}"),
                Source::Cookie(name) => format!("cookie {name}"),
                Source::Expression(expression) => format!("expression {}", expression.text),
            };
            match config.routes.source_value(source, &head) {
                Some(key) => format!("{key:?}, from {source_name}"),
                None => format!("missing or not unique in {source_name}: never retried"),
            }
        });
        let key = route.key.as_ref().and_then(|k| match k {
            Source::Expression(expression) => Some(expression),
            _ => None,
        });
        for expression in route.when.iter().chain(key) {
            evaluate_subexpressions(&expression.text, &head, &mut explanation.subexpressions);
        }
        explanation.timing = timing_settings(config, config.route_timing_values(index));
    }
    Ok(explanation)
}

impl RequestExplanation {
    /// Formats the explanation for people.
    pub fn human(&self, config: &Config) -> String {
        let mut text = format!("path    {} (normal form)\n", self.path);
        for (route, reason) in &self.skipped_routes {
            let _ = writeln!(text, "        not {route:?}: {reason}");
        }
        match (&self.route, &self.class) {
            (Some((route, line)), Some((class, effect))) => {
                let _ = writeln!(text, "route   {route:?}, {}:{line}", config.name());
                let _ = writeln!(text, "class   {class}; {effect}");
            }
            _ => {
                let _ = writeln!(text, "route   none: answered {}", config.no_route.status);
            }
        }
        for (expression, value) in &self.subexpressions {
            let _ = writeln!(text, "        {expression}  =  {value}");
        }
        if let Some(key) = &self.key {
            let _ = writeln!(text, "key     {key}");
        }
        for setting in &self.timing {
            let _ = writeln!(
                text,
                "        {:<12} {:<14} {}",
                setting.name, setting.value, setting.origin
            );
        }
        text
    }
}

/// One event of a timeline.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub struct TimelineEvent {
    /// The latest time of the event, in microseconds after the request's last byte.
    pub at_us: Micros,
    /// Description of the event.
    #[serde(rename = "what")]
    pub description: String,
}

/// The worst-case timeline of a call of a class, or of a route that overrides the class's timing.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub struct Timeline {
    /// The route; `None` for the class itself.
    pub route: Option<String>,
    /// The events, in the order of the attempts.
    #[serde(rename = "steps")]
    pub events: Vec<TimelineEvent>,
}

/// The worst-case timelines of a class: of the class itself and of each route that overrides its timing.
///
/// # Errors
/// Returns a message if the file has no such class.
pub fn class_timelines(config: &Config, name: &str) -> Result<Vec<Timeline>, String> {
    let Some(index) = config.classes.iter().position(|c| c.name == name) else {
        let known: Vec<&str> = config.classes.iter().map(|c| c.name.as_str()).collect();
        return Err(format!(
            "there is no class {name:?}: {}",
            badgerramp_toml_diagnostics::suggest_names(name, &known)
        ));
    };
    let class = &config.classes[index];
    let events =
        |timing: &Timing| timeline_events(timing, class.class.idempotency, class.class.deadline);
    let mut timelines = vec![Timeline {
        route: None,
        events: events(&class.timing),
    }];
    for route in config
        .routes
        .routes()
        .iter()
        .filter(|r| r.class == index && r.timing != class.timing)
    {
        timelines.push(Timeline {
            route: Some(route.name.clone()),
            events: events(&route.timing),
        });
    }
    Ok(timelines)
}

fn timeline_events(
    timing: &Timing,
    idempotency: Idempotency,
    deadline: Micros,
) -> Vec<TimelineEvent> {
    let mut events = Vec::new();
    let mut add =
        |at_us: Micros, description: String| events.push(TimelineEvent { at_us, description });
    let requires_proof =
        idempotency == Idempotency::NonIdempotent || timing.retry_on == RetryOn::NotExecuted;
    let mut at = 0;
    for number in 1..=timing.attempts {
        if at >= timing.total {
            break;
        }
        let condition = match (number, idempotency) {
            (1, _) => "",
            _ if requires_proof => ", if all earlier attempts provably never ran",
            (_, Idempotency::Keyed { .. }) => ", if the request has a key, within its group",
            _ => ", if no earlier attempt was served",
        };
        if let Idempotency::Keyed { window, .. } = idempotency {
            if number > 1 && at >= window {
                add(
                    at,
                    "the deduplication window is over: a call that may have run is not retried"
                        .to_owned(),
                );
                break;
            }
        }
        add(
            at,
            format!(
                "attempt {number} starts{condition}; its connection is established within {}",
                format_duration(timing.connect)
            ),
        );
        if number == 1 {
            match timing.hedge {
                Hedge::Never => {}
                Hedge::Auto => add(
                    at,
                    "a second copy may follow, as late as it can still be in time".to_owned(),
                ),
                Hedge::After(wait) => add(
                    at + wait,
                    "a second copy is sent if there is no response".to_owned(),
                ),
                Hedge::Quantile(share) => {
                    add(
                        at,
                        format!(
                            "a second copy may follow once {}% of responses would have arrived",
                            share * 100.0
                        ),
                    );
                }
            }
        }
        let end = at.saturating_add(timing.attempt).min(timing.total);
        add(end, format!("attempt {number} has ended"));
        at = end.saturating_add(timing.backoff);
    }
    add(timing.total, "the final response has been sent".to_owned());
    add(
        deadline,
        format!(
            "the client gives up; {} were reserved for sending the response",
            format_duration(RESPONSE_RESERVE)
        ),
    );
    events
}

impl Timeline {
    /// Formats the timeline for people.
    pub fn human(&self) -> String {
        let mut text = match &self.route {
            Some(route) => format!("route {route:?}\n"),
            None => "the class itself\n".to_owned(),
        };
        for event in &self.events {
            let _ = writeln!(
                text,
                "  {:>14}  {}",
                format_duration(event.at_us),
                event.description
            );
        }
        text
    }
}
