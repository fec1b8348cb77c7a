//! Compiles the expressions of routes, with diagnostics at their places in the file. Also checks the requests that
//! `[[expect]]` lists, and warns of routes whose conditions overlap.

use badgerramp_expr::{find_common_request, Builder, ExpectedType, Head, Id, Program, STEP_BUDGET};
use badgerramp_route::{Expression, PathPattern, Route, Table};
use badgerramp_toml_diagnostics::{DeValue, DiagnosticSink, Section, Span, Value};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

/// Maximum number of pairs of routes that are checked for overlap.
const MAX_ROUTE_PAIRS: usize = 400;

/// The expressions of a file.
#[derive(Debug, Default)]
pub(crate) struct Expressions {
    builder: Builder,
    /// Id, key and span of each expression.
    entries: Vec<(Id, String, Span)>,
}

/// Offset in the file at which the text of a string value begins; `None` if escapes make the text differ from the file.
fn value_text_offset(text: &str, value: &Value<'_>) -> Option<usize> {
    let raw = text.get(value.span())?;
    let quotes = ["\'\'\'", "\"\"\"", "\'", "\""]
        .into_iter()
        .find(|q| raw.starts_with(q))?;
    // TOML drops a line break that directly follows three quotes.
    let body = &raw[quotes.len()..];
    let skipped = match quotes.len() {
        3 => {
            body.len()
                - body
                    .strip_prefix("\r\n")
                    .or(body.strip_prefix('\n'))
                    .unwrap_or(body)
                    .len()
        }
        _ => 0,
    };
    let is_verbatim = quotes.starts_with('\'') || !raw.contains('\\');
    is_verbatim.then(|| value.span().start + quotes.len() + skipped)
}

impl Expressions {
    /// Reads and compiles the expression of a key.
    pub(crate) fn read(
        &mut self,
        sink: &mut DiagnosticSink,
        section: &Section<'_>,
        name: &str,
        text: &str,
        kind: ExpectedType,
    ) -> Option<Expression> {
        let expression = section.text(sink, name)?;
        let start = section.get(name).and_then(|v| value_text_offset(text, v));
        match self.builder.add(&expression.value, kind) {
            Ok(id) => {
                self.entries.push((id, expression.key, expression.span));
                Some(Expression {
                    id,
                    text: expression.value.into(),
                })
            }
            Err(diagnostics) => {
                for diagnostic in diagnostics {
                    let span = match start {
                        Some(start) => start + diagnostic.span.start..start + diagnostic.span.end,
                        None => expression.span.clone(),
                    };
                    let found = expression
                        .value
                        .get(diagnostic.span.clone())
                        .filter(|t| !t.is_empty())
                        .unwrap_or("nothing");
                    sink.add(
                        &expression.key,
                        &span,
                        diagnostic.reason,
                        found,
                        diagnostic.allowed,
                    );
                }
                None
            }
        }
    }

    /// Builds the program of all expressions. Their total cost must stay within the budget of one request.
    pub(crate) fn program(self, sink: &mut DiagnosticSink) -> Program {
        let all: Vec<Id> = self.entries.iter().map(|p| p.0).collect();
        let cost = self.builder.cost(&all);
        if cost > STEP_BUDGET {
            let most_expensive = self
                .entries
                .iter()
                .max_by_key(|p| self.builder.cost(&[p.0]));
            if let Some((id, key, span)) = most_expensive {
                let found = format!(
                    "up to {cost} steps, {} of them here",
                    self.builder.cost(&[*id])
                );
                let allowed = format!(
                    "{STEP_BUDGET} steps: fewer patterns, splits and searches, or the same ones in all routes"
                );
                sink.add(
                    key,
                    span,
                    "all expressions together cost too much for one request",
                    found,
                    allowed,
                );
            }
        }
        self.builder.build()
    }
}

/// A request that `[[expect]]` describes.
struct ExpectedRequest {
    method: Method,
    path: String,
    query: String,
    headers: HeaderMap,
    client: std::net::IpAddr,
}

impl ExpectedRequest {
    fn head(&self) -> Head<'_> {
        Head {
            method: &self.method,
            path: &self.path,
            query: &self.query,
            headers: &self.headers,
            client: self.client,
        }
    }
}

/// Checks that the table assigns each request of `[[expect]]` its expected route, class and key.
pub(crate) fn check_expectations(
    sink: &mut DiagnosticSink,
    top: &Section<'_>,
    table: &Table,
    classes: &[&str],
) {
    const KNOWN: [&str; 6] = ["request", "headers", "client", "route", "class", "key"];
    for (key, value) in top
        .list(sink, "expect", "requests: [[expect]]")
        .unwrap_or_default()
    {
        let DeValue::Table(entry) = value.get_ref() else {
            let found = badgerramp_toml_diagnostics::display_value(value.get_ref());
            sink.add(
                &key,
                &value.span(),
                "this is not a request",
                found,
                "a table: [[expect]]",
            );
            continue;
        };
        let start = value.span().start;
        let section = Section::new(sink, entry, &key, start..start, &KNOWN);
        section.require(sink, "request", "a method and a path, like \"POST /x\"");
        section.require(sink, "class", "the name of a class, or \"none\"");
        let (Some(request), Some(class)) =
            (read_request(sink, &section), section.text(sink, "class"))
        else {
            continue;
        };
        let head = request.head();
        let found = table.find_head(&head).ok().flatten();
        let name = found.map_or("none", |(_, route)| classes[route.class]);
        if name != class.value {
            let actual = found.map_or("no route matches it".to_owned(), |(_, r)| {
                format!("class {name:?}, by route {:?}", r.name)
            });
            sink.add(
                &class.key,
                &class.span,
                "the request is not of this class",
                actual,
                format!("{:?} is expected", class.value),
            );
        }
        if let Some(route) = section.text(sink, "route") {
            let actual = found.map_or("none", |(_, r)| r.name.as_str());
            if actual != route.value {
                let allowed = format!("{:?} is expected", route.value);
                sink.add(
                    &route.key,
                    &route.span,
                    "the request does not match this route",
                    format!("{actual:?}"),
                    allowed,
                );
            }
        }
        // An empty text means that no key is expected.
        let expected_key = section.read(
            sink,
            "key",
            "this is not a text",
            "a text in quotes; an empty one for no key",
            |v| v.as_str().map(str::to_owned),
        );
        if let Some(expected_key) = expected_key {
            let actual = found
                .and_then(|(_, r)| r.key.as_ref())
                .and_then(|k| table.source_value(k, &head));
            if actual.as_deref().unwrap_or_default() != expected_key.value {
                let found = actual.map_or("no key".to_owned(), |k| format!("{k:?}"));
                let allowed = format!("{:?} is expected", expected_key.value);
                sink.add(
                    &expected_key.key,
                    &expected_key.span,
                    "the request has another key",
                    found,
                    allowed,
                );
            }
        }
    }
}

fn read_request(sink: &mut DiagnosticSink, section: &Section<'_>) -> Option<ExpectedRequest> {
    let reason = "this is not a request";
    let allowed = "a method and a path, like \"POST /x?q=1\"";
    let request = section.read(sink, "request", reason, allowed, |v| {
        let (method, target) = v.as_str()?.split_once(' ')?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let is_absolute = path.starts_with('/');
        is_absolute.then_some((
            method.parse::<Method>().ok()?,
            path.to_owned(),
            query.to_owned(),
        ))
    })?;
    let client = section.read(
        sink,
        "client",
        "this is not an address",
        "an IP address",
        |v| v.as_str()?.parse().ok(),
    );
    let mut headers = HeaderMap::new();
    if let Some(value) = section.get("headers") {
        let pairs = value.get_ref().as_table();
        for (name, value) in pairs.into_iter().flatten() {
            let header = HeaderName::from_bytes(name.get_ref().as_bytes()).ok();
            let text = value
                .get_ref()
                .as_str()
                .and_then(|t| HeaderValue::from_str(t).ok());
            match header.zip(text) {
                Some((header, text)) => drop(headers.append(header, text)),
                None => {
                    let key = section.key_path("headers");
                    let found = badgerramp_toml_diagnostics::display_value(value.get_ref());
                    sink.add(
                        &key,
                        &value.span(),
                        "this is not a header",
                        found,
                        "{ \"x-branch\" = \"CR-7\" }",
                    );
                }
            }
        }
    }
    let (method, path, query) = request.value;
    Some(ExpectedRequest {
        method,
        path,
        query,
        headers,
        client: client.map_or([127, 0, 0, 1].into(), |c| c.value),
    })
}

/// Warnings about pairs of routes of different classes that both match some request, with that request as an example.
pub(crate) fn overlap_warnings(table: &Table, classes: &[&str]) -> Vec<String> {
    let mut warnings = Vec::new();
    let conditions: Vec<(usize, &Route, &Expression)> = table
        .routes()
        .iter()
        .enumerate()
        .filter_map(|(n, r)| Some((n, r, r.when.as_ref()?)))
        .collect();
    let pairs = conditions
        .iter()
        .enumerate()
        .flat_map(|(n, a)| conditions[n + 1..].iter().map(move |b| (a, b)));
    for ((_, a, a_condition), (_, b, b_condition)) in pairs
        .filter(|(a, b)| a.1.class != b.1.class)
        .take(MAX_ROUTE_PAIRS)
    {
        let paths: Vec<String> = [a, b]
            .into_iter()
            .filter_map(|r| match &r.path {
                PathPattern::Exact(path) | PathPattern::Prefix(path) => Some(path.clone()),
                PathPattern::Regex(_) => None,
            })
            .collect();
        let methods = match (a.methods.as_slice(), b.methods.as_slice()) {
            ([], []) => vec![Method::POST, Method::GET],
            ([], listed) | (listed, []) => listed.to_vec(),
            (listed, others) => listed
                .iter()
                .filter(|m| others.contains(m))
                .cloned()
                .collect(),
        };
        let Some(request) = find_common_request(
            table.program(),
            (a_condition.id, b_condition.id),
            &paths,
            &methods,
        ) else {
            continue;
        };
        // The request meets both conditions. Each route alone must also match its path, method and headers.
        let head = Head {
            method: &request.method,
            path: &request.path,
            query: &request.query,
            headers: &request.headers,
            client: [127, 0, 0, 1].into(),
        };
        let matches = |route: &Route| {
            let single = Table::with_program(vec![(*route).clone()], table.program().clone());
            single.is_ok_and(|t| t.find_head(&head).is_ok_and(|found| found.is_some()))
        };
        if matches(a) && matches(b) {
            warnings.push(format!(
                "routes {:?} (class {}) and {:?} (class {}) both match {}: the first one is used",
                a.name,
                classes[a.class],
                b.name,
                classes[b.class],
                request.display()
            ));
        }
    }
    warnings
}
