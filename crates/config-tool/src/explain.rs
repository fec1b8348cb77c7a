//! What a file makes of a request and why, and the longest course that a call of a class may take.

use badgerramp_config::{Config, TimingValue, RESPONSE_RESERVE};
use badgerramp_decisions::{Hedge, Idempotency, Micros, RetryOn};
use badgerramp_expr::{Builder, Wanted};
use badgerramp_route::{normalize, Head, PathPattern, Route, Source, Timing};
use badgerramp_toml_diagnostics::units::format_duration;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde::Serialize;
use std::fmt::Write;
use std::net::IpAddr;

/// One figure and where it comes from.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub struct Told {
    /// Its key.
    pub name: String,
    /// Its value.
    pub value: String,
    /// Why it has that.
    pub from: String,
}

/// What is told of a request.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub struct Request {
    /// The path in its normal form.
    pub path: String,
    /// The route that takes it, and its line; none: the answer without a route.
    pub route: Option<(String, usize)>,
    /// Routes before it, and what about each does not fit.
    pub passed_over: Vec<(String, String)>,
    /// Its class, and what that means.
    pub class: Option<(String, String)>,
    /// The parts of the route's condition and of its key, the outer ones first, with their values.
    pub parts: Vec<(String, String)>,
    /// What is said of its key.
    pub key: Option<String>,
    /// Its timing.
    pub timing: Vec<Told>,
}

/// A request out of words like `POST /x` and `Name: value`.
///
/// # Errors
/// What is odd about them.
pub fn request_of(
    request: &str,
    headers: &[String],
) -> Result<(Method, String, HeaderMap), String> {
    let (method, target) = request
        .trim()
        .split_once(' ')
        .ok_or("a request is a method and a path, like 'POST /x'")?;
    let method = method
        .parse::<Method>()
        .map_err(|_| format!("{method:?} is no method"))?;
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
            .ok_or_else(|| format!("{header:?} is no header: 'Name: value'"))?;
        let name = HeaderName::from_bytes(name.trim().as_bytes())
            .map_err(|_| format!("{name:?} is no header name"))?;
        let value = HeaderValue::from_str(value.trim())
            .map_err(|_| format!("{value:?} is no header value"))?;
        map.append(name, value);
    }
    Ok((method, path, map))
}

fn line(config: &Config, start: usize) -> usize {
    config
        .text()
        .get(..start)
        .unwrap_or_default()
        .matches('\n')
        .count()
        + 1
}

fn told(config: &Config, figures: Vec<TimingValue>) -> Vec<Told> {
    let from = |figure: &TimingValue| match &figure.set_by {
        Some((key, span)) => format!("{key}, line {}", line(config, span.start)),
        None => "not set".to_owned(),
    };
    figures
        .iter()
        .map(|f| Told {
            name: f.name.to_owned(),
            value: f.value.clone(),
            from: from(f),
        })
        .collect()
}

fn effect(repeat: Idempotency) -> String {
    match repeat {
        Idempotency::Idempotent => "safe: it may run again".to_owned(),
        Idempotency::NonIdempotent => {
            "unsafe: it goes again only if every attempt provably never ran".to_owned()
        }
        Idempotency::Keyed { window, .. } => {
            format!(
                "keyed: it may go again within its group, for {}",
                format_duration(window)
            )
        }
    }
}

/// Why a route does not take a request; None: it does.
fn misfit(config: &Config, route: &Route, head: &Head<'_>) -> Option<String> {
    let Head {
        method,
        path,
        headers,
        ..
    } = *head;
    let fits = match &route.path {
        PathPattern::Exact(own) => own == path,
        PathPattern::Prefix(own) if own.ends_with('/') => path.starts_with(own.as_str()),
        PathPattern::Prefix(own) => path
            .strip_prefix(own.as_str())
            .is_some_and(|r| r.is_empty() || r.starts_with('/')),
        PathPattern::Regex(own) => own.is_match(path),
    };
    if !fits {
        return Some("its path".to_owned());
    }
    if !route.methods.is_empty() && !route.methods.contains(method) {
        return Some("its methods".to_owned());
    }
    let wanted = route.headers.iter().find(|h| {
        !headers
            .get_all(&h.name)
            .iter()
            .any(|v| h.value.as_ref().is_none_or(|w| w == v))
    });
    if let Some(wanted) = wanted {
        return Some(format!("header {}", wanted.name));
    }
    let when = route.when.as_ref()?;
    (!config.routes.program().holds(when.id, head))
        .then(|| format!("its condition, {}", when.text.trim()))
}

/// The parts of an expression with their values, the outer ones first.
fn parts(text: &str, head: &Head<'_>, told: &mut Vec<(String, String)>) {
    let Ok(ast) = badgerramp_expr::parse(text) else {
        return;
    };
    let mut open = vec![&ast];
    while let Some(part) = open.pop() {
        open.extend(part.parts().into_iter().rev().filter(|p| !p.literal()));
        let mut builder = Builder::default();
        let Ok(id) = builder.add_ast(part, Wanted::Any) else {
            continue;
        };
        let program = builder.build();
        let words = text
            .get(part.span.clone())
            .unwrap_or_default()
            .split_whitespace()
            .collect::<Vec<_>>()
            .join(" ");
        told.push((words, program.evaluate(id, head).show()));
    }
}

/// What a file makes of a request.
///
/// # Errors
/// If its path has no normal form: the sidecar answers 400 then.
pub fn request(
    config: &Config,
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    client: IpAddr,
) -> Result<Request, String> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let normal = normalize(path).map_err(|fault| format!("answered 400: {fault}"))?;
    let head = Head {
        method,
        path: &normal,
        query,
        headers,
        client,
    };
    let found = config
        .routes
        .find_head(&head)
        .map_err(|fault| format!("answered 400: {fault}"))?;
    let upto = found.map_or(config.routes.routes().len(), |f| f.0);
    let passed = config.routes.routes()[..upto].iter().filter_map(|r| {
        // Routes of other paths are told only where nothing was found.
        let why = misfit(config, r, &head)?;
        (found.is_none() || why != "its path").then(|| (r.name.clone(), why))
    });
    let mut told_of = Request {
        path: normal.to_string(),
        route: None,
        passed_over: passed.collect(),
        class: None,
        parts: Vec::new(),
        key: None,
        timing: Vec::new(),
    };
    if let Some((place, route)) = found {
        let class = &config.classes[route.class];
        let guarded = matches!(class.class.idempotency, Idempotency::Keyed { .. });
        told_of.route = Some((
            route.name.clone(),
            line(config, config.route_span(place).start),
        ));
        told_of.class = Some((class.name.clone(), effect(class.class.idempotency)));
        told_of.key = route.key.as_ref().filter(|_| guarded).map(|source| {
            let place = match source {
                Source::Header(name) => format!("header {name}"),
                Source::Cookie(name) => format!("cookie {name}"),
                Source::Expression(own) => format!("expression {}", own.text),
            };
            match config.routes.source_value(source, &head) {
                Some(key) => format!("{key:?}, from {place}"),
                None => format!("missing or not one alone in {place}: never sent twice"),
            }
        });
        let key = route.key.as_ref().and_then(|k| match k {
            Source::Expression(own) => Some(own),
            _ => None,
        });
        for own in route.when.iter().chain(key) {
            parts(&own.text, &head, &mut told_of.parts);
        }
        told_of.timing = told(config, config.route_timing_values(place));
    }
    Ok(told_of)
}

impl Request {
    /// For people.
    pub fn human(&self, config: &Config) -> String {
        let mut text = format!("path    {} (normal form)\n", self.path);
        for (route, why) in &self.passed_over {
            let _ = writeln!(text, "        not {route:?}: {why}");
        }
        match (&self.route, &self.class) {
            (Some((route, line)), Some((class, means))) => {
                let _ = writeln!(text, "route   {route:?}, {}:{line}", config.name());
                let _ = writeln!(text, "class   {class}; {means}");
            }
            _ => {
                let _ = writeln!(text, "route   none: answered {}", config.no_route.status);
            }
        }
        for (part, value) in &self.parts {
            let _ = writeln!(text, "        {part}  =  {value}");
        }
        if let Some(key) = &self.key {
            let _ = writeln!(text, "key     {key}");
        }
        for told in &self.timing {
            let _ = writeln!(
                text,
                "        {:<12} {:<14} {}",
                told.name, told.value, told.from
            );
        }
        text
    }
}

/// One step of a course.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Microseconds after the request's last byte, at the latest.
    pub at_us: Micros,
    /// What happens.
    pub what: String,
}

/// The longest course of one route of a class.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub struct Course {
    /// The route; none: the class by itself.
    pub route: Option<String>,
    /// Step by step.
    pub steps: Vec<Step>,
}

/// The longest courses of a class: by itself and by each route that overrides it.
///
/// # Errors
/// If the file has no such class.
pub fn class(config: &Config, name: &str) -> Result<Vec<Course>, String> {
    let Some(place) = config.classes.iter().position(|c| c.name == name) else {
        let known: Vec<&str> = config.classes.iter().map(|c| c.name.as_str()).collect();
        return Err(format!(
            "no class {name:?}: {}",
            badgerramp_toml_diagnostics::suggest_names(name, &known)
        ));
    };
    let class = &config.classes[place];
    let course = |timing: &Timing| steps(timing, class.class.idempotency, class.class.deadline);
    let mut courses = vec![Course {
        route: None,
        steps: course(&class.timing),
    }];
    for route in config
        .routes
        .routes()
        .iter()
        .filter(|r| r.class == place && r.timing != class.timing)
    {
        courses.push(Course {
            route: Some(route.name.clone()),
            steps: course(&route.timing),
        });
    }
    Ok(courses)
}

fn steps(timing: &Timing, repeat: Idempotency, deadline: Micros) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut add = |at_us: Micros, what: String| steps.push(Step { at_us, what });
    let only_proven =
        repeat == Idempotency::NonIdempotent || timing.retry_on == RetryOn::NotExecuted;
    let mut at = 0;
    for number in 1..=timing.attempts {
        if at >= timing.total {
            break;
        }
        let condition = match (number, repeat) {
            (1, _) => "",
            _ if only_proven => ", if all before it provably never ran",
            (_, Idempotency::Keyed { .. }) => ", if it is keyed, within its group",
            _ => ", if none before it was served",
        };
        if let Idempotency::Keyed { window, .. } = repeat {
            if number > 1 && at >= window {
                add(
                    at,
                    "the window is over: nothing goes out that may have run".to_owned(),
                );
                break;
            }
        }
        add(
            at,
            format!(
                "attempt {number} goes out{condition}; its connection is up within {}",
                format_duration(timing.connect)
            ),
        );
        if number == 1 {
            match timing.hedge {
                Hedge::Never => {}
                Hedge::Auto => add(
                    at,
                    "a second copy may follow, as late as can be in time".to_owned(),
                ),
                Hedge::After(wait) => add(
                    at + wait,
                    "a second copy goes out, if no answer has come".to_owned(),
                ),
                Hedge::Quantile(share) => {
                    add(
                        at,
                        format!(
                            "a second copy may follow once {}% of answers would have come",
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
    add(
        timing.total,
        "the final answer has gone out at the latest".to_owned(),
    );
    add(
        deadline,
        format!(
            "the client gives up; {} were kept for the answer's way",
            format_duration(RESPONSE_RESERVE)
        ),
    );
    steps
}

impl Course {
    /// For people.
    pub fn human(&self) -> String {
        let mut text = match &self.route {
            Some(route) => format!("by route {route:?}\n"),
            None => "by the class itself\n".to_owned(),
        };
        for step in &self.steps {
            let _ = writeln!(text, "  {:>14}  {}", format_duration(step.at_us), step.what);
        }
        text
    }
}
