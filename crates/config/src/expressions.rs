//! Expressions of routes, each with its mistakes at their places in the file; the requests that the file expects; routes
//! whose conditions overlap.

use badgerramp_expr::{both, Builder, Head, Id, Program, Wanted, BUDGET};
use badgerramp_route::{Expression, PathPattern, Route, Table};
use badgerramp_toml_diagnostics::{DeValue, DiagnosticSink, Section, Span, Value};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

/// Pairs of routes that are held against one another at the most.
const PAIRS_MOST: usize = 400;

/// All expressions of a file.
#[derive(Debug, Default)]
pub(crate) struct Expressions {
    builder: Builder,
    /// Where each stands.
    places: Vec<(Id, String, Span)>,
}

/// Where the text of a value begins in the file, if each of its bytes stands there as it is.
fn inner(text: &str, value: &Value<'_>) -> Option<usize> {
    let raw = text.get(value.span())?;
    let quotes = ["\'\'\'", "\"\"\"", "\'", "\""]
        .into_iter()
        .find(|q| raw.starts_with(q))?;
    // A line break right behind three quotes is none of the text's.
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
    let plain = quotes.starts_with('\'') || !raw.contains('\\');
    plain.then(|| value.span().start + quotes.len() + skipped)
}

impl Expressions {
    /// Reads the expression of a key.
    pub(crate) fn read(
        &mut self,
        notes: &mut DiagnosticSink,
        section: &Section<'_>,
        name: &str,
        text: &str,
        wanted: Wanted,
    ) -> Option<Expression> {
        let own = section.text(notes, name)?;
        let start = section.get(name).and_then(|v| inner(text, v));
        match self.builder.add(&own.value, wanted) {
            Ok(id) => {
                self.places.push((id, own.key, own.span));
                Some(Expression {
                    id,
                    text: own.value.into(),
                })
            }
            Err(mistakes) => {
                for mistake in mistakes {
                    let span = match start {
                        Some(start) => start + mistake.span.start..start + mistake.span.end,
                        None => own.span.clone(),
                    };
                    let found = own
                        .value
                        .get(mistake.span.clone())
                        .filter(|t| !t.is_empty())
                        .unwrap_or("nothing");
                    notes.add(&own.key, &span, mistake.reason, found, mistake.allowed);
                }
                None
            }
        }
    }

    /// The program of all; what they cost together is held against the budget.
    pub(crate) fn program(self, notes: &mut DiagnosticSink) -> Program {
        let all: Vec<Id> = self.places.iter().map(|p| p.0).collect();
        let cost = self.builder.cost(&all);
        if cost > BUDGET {
            let dearest = self.places.iter().max_by_key(|p| self.builder.cost(&[p.0]));
            if let Some((id, key, span)) = dearest {
                let found = format!(
                    "up to {cost} steps, {} of them here",
                    self.builder.cost(&[*id])
                );
                let allowed = format!(
                    "{BUDGET} steps: fewer patterns, splits and searches, or the same ones in all routes"
                );
                notes.add(
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

/// A request out of a file's words.
struct Words {
    method: Method,
    path: String,
    query: String,
    headers: HeaderMap,
    client: std::net::IpAddr,
}

impl Words {
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

/// Holds the table against the requests that the file expects.
pub(crate) fn expect(
    notes: &mut DiagnosticSink,
    top: &Section<'_>,
    table: &Table,
    classes: &[&str],
) {
    const KNOWN: [&str; 6] = ["request", "headers", "client", "route", "class", "key"];
    for (key, value) in top
        .list(notes, "expect", "requests: [[expect]]")
        .unwrap_or_default()
    {
        let DeValue::Table(own) = value.get_ref() else {
            let found = badgerramp_toml_diagnostics::display_value(value.get_ref());
            notes.add(
                &key,
                &value.span(),
                "this is no request",
                found,
                "a table: [[expect]]",
            );
            continue;
        };
        let start = value.span().start;
        let section = Section::new(notes, own, &key, start..start, &KNOWN);
        section.require(notes, "request", "a method and a path, like \"POST /x\"");
        section.require(notes, "class", "the name of a class, or \"none\"");
        let (Some(request), Some(class)) = (words(notes, &section), section.text(notes, "class"))
        else {
            continue;
        };
        let head = request.head();
        let found = table.find_head(&head).ok().flatten();
        let name = found.map_or("none", |(_, route)| classes[route.class]);
        if name != class.value {
            let by = found.map_or("no route takes it".to_owned(), |(_, r)| {
                format!("class {name:?}, by route {:?}", r.name)
            });
            notes.add(
                &class.key,
                &class.span,
                "the request is not of this class",
                by,
                format!("{:?} is expected", class.value),
            );
        }
        if let Some(route) = section.text(notes, "route") {
            let by = found.map_or("none", |(_, r)| r.name.as_str());
            if by != route.value {
                let allowed = format!("{:?} is expected", route.value);
                notes.add(
                    &route.key,
                    &route.span,
                    "the request is not taken by this route",
                    format!("{by:?}"),
                    allowed,
                );
            }
        }
        // An empty text stands for no key.
        let wanted = section.read(
            notes,
            "key",
            "this is not a text",
            "a text in quotes; empty: no key",
            |v| v.as_str().map(str::to_owned),
        );
        if let Some(wanted) = wanted {
            let own = found
                .and_then(|(_, r)| r.key.as_ref())
                .and_then(|k| table.text(k, &head));
            if own.as_deref().unwrap_or_default() != wanted.value {
                let found = own.map_or("no key".to_owned(), |k| format!("{k:?}"));
                let allowed = format!("{:?} is expected", wanted.value);
                notes.add(
                    &wanted.key,
                    &wanted.span,
                    "the request has another key",
                    found,
                    allowed,
                );
            }
        }
    }
}

fn words(notes: &mut DiagnosticSink, section: &Section<'_>) -> Option<Words> {
    let reason = "this is no request";
    let allowed = "a method and a path, like \"POST /x?q=1\"";
    let request = section.read(notes, "request", reason, allowed, |v| {
        let (method, target) = v.as_str()?.split_once(' ')?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let good = path.starts_with('/');
        good.then_some((
            method.parse::<Method>().ok()?,
            path.to_owned(),
            query.to_owned(),
        ))
    })?;
    let client = section.read(
        notes,
        "client",
        "this is no address",
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
                    notes.add(
                        &key,
                        &value.span(),
                        "this is no header",
                        found,
                        "{ \"x-branch\" = \"CR-7\" }",
                    );
                }
            }
        }
    }
    let (method, path, query) = request.value;
    Some(Words {
        method,
        path,
        query,
        headers,
        client: client.map_or([127, 0, 0, 1].into(), |c| c.value),
    })
}

/// Routes of different classes whose conditions some request meets both, with that request.
pub(crate) fn overlaps(table: &Table, classes: &[&str]) -> Vec<String> {
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
    for ((_, a, own), (_, b, other)) in pairs
        .filter(|(a, b)| a.1.class != b.1.class)
        .take(PAIRS_MOST)
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
            ([], some) | (some, []) => some.to_vec(),
            (some, others) => some
                .iter()
                .filter(|m| others.contains(m))
                .cloned()
                .collect(),
        };
        let Some(request) = both(table.program(), (own.id, other.id), &paths, &methods) else {
            continue;
        };
        // Paths and headers have their say too: alone, each must take it.
        let head = Head {
            method: &request.method,
            path: &request.path,
            query: &request.query,
            headers: &request.headers,
            client: [127, 0, 0, 1].into(),
        };
        let takes = |route: &Route| {
            let alone = Table::with(vec![(*route).clone()], table.program().clone());
            alone.is_ok_and(|t| t.find_head(&head).is_ok_and(|found| found.is_some()))
        };
        if takes(a) && takes(b) {
            warnings.push(format!(
                "routes {:?} (class {}) and {:?} (class {}) both take {}: the first wins",
                a.name,
                classes[a.class],
                b.name,
                classes[b.class],
                request.show()
            ));
        }
    }
    warnings
}
