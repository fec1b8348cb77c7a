//! The table of routes: a trie over path segments for exact paths and prefixes, and one regex set for all patterns. The
//! cost of a lookup grows with the length of the path and with the number of routes that share a node, but not with the
//! total number of routes.

use crate::{normalize, Expression, PathError, ResponseRules, Source, Timing};
use badgerramp_expr::{Head, Program, Scratch, Unmetered, Value};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::Method;
use regex::{Regex, RegexBuilder, RegexSet, RegexSetBuilder};
use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

/// Maximum compiled size of one pattern, in bytes.
pub const MAX_PATTERN_BYTES: usize = 256 * 1024;
/// Maximum compiled size of all patterns together, in bytes.
pub const MAX_PATTERN_SET_BYTES: usize = 8 * 1024 * 1024;

/// The paths that a route matches, in normal form.
#[derive(Clone, Debug)]
pub enum PathPattern {
    /// Only this path.
    Exact(String),
    /// This path and all paths below it: `/a` matches `/a` and `/a/b`, but not `/ab`; `/a/` does not match `/a`.
    Prefix(String),
    /// Paths that the pattern matches from beginning to end. [`compile_pattern`] creates the pattern.
    Regex(Regex),
}

/// A header that a request must have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderPattern {
    /// Name of the header.
    pub name: HeaderName,
    /// Required value; `None` allows any value.
    pub value: Option<HeaderValue>,
}

impl HeaderPattern {
    fn matches(&self, headers: &HeaderMap) -> bool {
        match &self.value {
            Some(value) => headers.get_all(&self.name).iter().any(|v| v == value),
            None => headers.contains_key(&self.name),
        }
    }
}

/// A route: the conditions that a request must meet, and how its call is made.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name in the file.
    pub name: String,
    /// Paths that the route matches.
    pub path: PathPattern,
    /// Methods that the route matches; empty for all methods.
    pub methods: Vec<Method>,
    /// Headers that a request must have.
    pub headers: Vec<HeaderPattern>,
    /// Condition that a request must meet.
    pub when: Option<Expression>,
    /// Index of the class.
    pub class: usize,
    /// Source of the tenant.
    pub tenant: Option<Source>,
    /// Source of the idempotency key, if the class uses one.
    pub key: Option<Source>,
    /// Timing of the calls.
    pub timing: Timing,
    /// Rules by which responses are classified.
    pub response_rules: Arc<ResponseRules>,
}

impl Route {
    /// Whether the route matches a request, apart from its path. The condition is evaluated last.
    fn matches<'r>(
        &self,
        head: &Head<'r>,
        program: &'r Program,
        scratch: &mut Scratch<'r>,
    ) -> bool {
        (self.methods.is_empty() || self.methods.contains(head.method))
            && self.headers.iter().all(|h| h.matches(head.headers))
            && self.when.as_ref().is_none_or(|when| {
                program.evaluate_with(when.id, head, scratch, &mut Unmetered) == Value::Bool(true)
            })
    }

    /// Whether the route matches all requests that `later` matches, apart from their paths.
    fn covers(&self, later: &Route) -> bool {
        let methods = self.methods.is_empty()
            || (!later.methods.is_empty()
                && later.methods.iter().all(|m| self.methods.contains(m)));
        let required = |header: &HeaderPattern| {
            later.headers.iter().any(|h| {
                h.name == header.name && (header.value.is_none() || header.value == h.value)
            })
        };
        let condition = self.when.is_none() || self.when == later.when;
        methods && condition && self.headers.iter().all(required)
    }
}

/// The reason why a pattern is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PatternError(pub String);

impl std::fmt::Display for PatternError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for PatternError {}

/// Compiles a pattern that has to match a path from beginning to end. Matching takes linear time.
///
/// # Errors
/// If the text is not a valid pattern, or its compiled size exceeds [`MAX_PATTERN_BYTES`].
pub fn compile_pattern(text: &str) -> Result<Regex, PatternError> {
    // The bare text must be valid by itself: an unbalanced `)` must not close the group that is added below.
    regex_syntax_check(text)?;
    let anchored = format!("^(?:{text})$");
    RegexBuilder::new(&anchored)
        .size_limit(MAX_PATTERN_BYTES)
        .build()
        .map_err(|error| PatternError(error_message(&error)))
}

fn regex_syntax_check(text: &str) -> Result<(), PatternError> {
    RegexBuilder::new(text)
        .size_limit(MAX_PATTERN_BYTES)
        .build()
        .map(drop)
        .map_err(|f| PatternError(error_message(&f)))
}

/// Message of a compile error. Of a syntax error it is the last line; the lines above show the place in the pattern.
fn error_message(error: &regex::Error) -> String {
    match error {
        regex::Error::CompiledTooBig(most) => format!("its compiled size exceeds {most} bytes"),
        other => {
            let text = other.to_string();
            let last = text.lines().last().unwrap_or_default().trim();
            last.strip_prefix("error: ").unwrap_or(last).to_owned()
        }
    }
}

/// A route that can never match, because an earlier one matches all its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shadow {
    /// Index of the route that never matches.
    pub later: usize,
    /// Index of the route that matches all its requests.
    pub earlier: usize,
}

/// The reason why a table could not be built.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableError {
    /// The compiled size of all patterns together exceeds [`MAX_PATTERN_SET_BYTES`].
    PatternsTooBig,
}

impl std::fmt::Display for TableError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "the patterns of all routes together exceed {MAX_PATTERN_SET_BYTES} bytes compiled"
        )
    }
}

impl std::error::Error for TableError {}

/// A node of the trie, for the path from the root to it. Each list holds route indexes in ascending order.
#[derive(Debug, Default)]
struct Node {
    /// Index of the child node for each next segment.
    children: HashMap<Box<str>, usize>,
    /// Routes that match exactly this path.
    exact: Vec<usize>,
    /// Routes whose prefix is this path without a trailing slash.
    prefixes: Vec<usize>,
    /// Routes whose prefix is this path with a trailing slash, which do not match the path itself.
    strict_prefixes: Vec<usize>,
}

/// The routes of a file, indexed for lookup.
#[derive(Debug)]
pub struct Table {
    routes: Vec<Route>,
    nodes: Vec<Node>,
    patterns: RegexSet,
    /// Index of the route of each pattern.
    pattern_routes: Vec<usize>,
    shadows: Vec<Shadow>,
    /// Compiled expressions to which the routes refer.
    program: Arc<Program>,
}

impl Table {
    /// Builds a table of routes without expressions. Paths must be in normal form (see [`normalize`]); others never
    /// match.
    ///
    /// # Errors
    /// See [`TableError`].
    pub fn new(routes: Vec<Route>) -> Result<Self, TableError> {
        Table::with_program(routes, Arc::default())
    }

    /// Builds a table of routes that refer to the expressions of `program`.
    ///
    /// # Errors
    /// See [`TableError`].
    pub fn with_program(routes: Vec<Route>, program: Arc<Program>) -> Result<Self, TableError> {
        let regexes = routes
            .iter()
            .enumerate()
            .filter_map(|(index, route)| match &route.path {
                PathPattern::Regex(regex) => Some((index, regex.as_str())),
                _ => None,
            });
        let (pattern_routes, texts): (Vec<usize>, Vec<&str>) = regexes.unzip();
        let patterns = RegexSetBuilder::new(&texts)
            .size_limit(MAX_PATTERN_SET_BYTES)
            .dfa_size_limit(MAX_PATTERN_SET_BYTES)
            .build()
            .map_err(|_| TableError::PatternsTooBig)?;
        let mut table = Table {
            routes,
            nodes: vec![Node::default()],
            patterns,
            pattern_routes,
            shadows: Vec::new(),
            program,
        };
        for later in 0..table.routes.len() {
            let earlier = table.find_covering(later);
            table
                .shadows
                .extend(earlier.map(|earlier| Shadow { later, earlier }));
            table.insert(later);
        }
        Ok(table)
    }

    /// The routes, in the order of the file.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Routes that never match, each because of a single earlier route.
    pub fn shadows(&self) -> &[Shadow] {
        &self.shadows
    }

    /// The compiled expressions to which the routes refer.
    pub fn program(&self) -> &Arc<Program> {
        &self.program
    }

    /// Finds the first route that matches a request without a query from the local host, and its index.
    ///
    /// # Errors
    /// If the path has no normal form.
    pub fn find(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
    ) -> Result<Option<(usize, &Route)>, PathError> {
        self.find_head(&Head {
            method,
            path,
            query: "",
            headers,
            client: [127, 0, 0, 1].into(),
        })
    }

    /// Finds the first route that matches a request, and its index. The path need not be in normal form.
    ///
    /// # Errors
    /// If the path has no normal form.
    pub fn find_head(&self, head: &Head<'_>) -> Result<Option<(usize, &Route)>, PathError> {
        let path = normalize(head.path)?;
        let head = Head {
            path: &path,
            ..*head
        };
        let mut scratch = Scratch::default();
        let mut best = usize::MAX;
        // Each list is in ascending order, so the first matching route of a list is its best.
        let mut consider = |list: &[usize]| {
            let mut candidates = list.iter().take_while(|&&r| r < best);
            let found =
                candidates.find(|&&r| self.routes[r].matches(&head, &self.program, &mut scratch));
            best = found.copied().unwrap_or(best);
        };
        self.visit_matching(&path, |list, _| consider(list));
        let first_pattern = self.pattern_routes.first().copied().unwrap_or(usize::MAX);
        if first_pattern < best {
            let matched = self.patterns.matches(&path);
            let mut found = matched
                .iter()
                .map(|p| self.pattern_routes[p])
                .take_while(|&r| r < best);
            best = found
                .find(|&r| self.routes[r].matches(&head, &self.program, &mut scratch))
                .unwrap_or(best);
        }
        Ok(self.routes.get(best).map(|route| (best, route)))
    }

    /// The value that a request has at a source; `None` if it has none, an empty one or several.
    pub fn source_value<'r>(&self, source: &Source, head: &Head<'r>) -> Option<Cow<'r, str>> {
        let Source::Expression(expression) = source else {
            return source.read(head.headers).map(Cow::Borrowed);
        };
        let path = normalize(head.path).ok()?;
        let head = Head {
            path: &path,
            ..*head
        };
        match self.program.evaluate(expression.id, &head) {
            Value::Str(text) if !text.is_empty() => Some(Cow::Owned(text.into_owned())),
            _ => None,
        }
    }

    /// Visits the lists of routes whose exact path or prefix matches a path. The flag is true for exact paths.
    fn visit_matching<'a>(&'a self, path: &str, mut visit: impl FnMut(&'a [usize], bool)) {
        let mut node = &self.nodes[0];
        let mut rest = path.get(1..);
        while let Some(text) = rest {
            visit(&node.strict_prefixes, false);
            let (segment, remainder) = match text.split_once('/') {
                Some((segment, remainder)) => (segment, Some(remainder)),
                None => (text, None),
            };
            let Some(&next) = node.children.get(segment) else {
                return;
            };
            node = &self.nodes[next];
            visit(&node.prefixes, false);
            rest = remainder;
        }
        visit(&node.exact, true);
    }

    /// The first earlier route that matches all requests of this one.
    fn find_covering(&self, later: usize) -> Option<usize> {
        let route = &self.routes[later];
        let covers = |&&r: &&usize| self.routes[r].covers(route);
        let mut found: Option<usize> = None;
        let mut consider = |list: &[usize]| {
            found = list
                .iter()
                .find(covers)
                .copied()
                .into_iter()
                .chain(found)
                .min();
        };
        match &route.path {
            PathPattern::Exact(path) => {
                self.visit_matching(path, |list, _| consider(list));
                let matched = self
                    .patterns
                    .matches(path)
                    .into_iter()
                    .map(|p| self.pattern_routes[p]);
                consider(&matched.filter(|&r| r < later).collect::<Vec<_>>());
            }
            PathPattern::Prefix(path) => self.visit_matching(path, |list, exact| {
                if !exact {
                    consider(list);
                }
            }),
            PathPattern::Regex(regex) => {
                consider(&self.nodes[0].strict_prefixes);
                let same = self.pattern_routes.iter().copied().take_while(|&r| r < later).filter(|&r| {
                    matches!(&self.routes[r].path, PathPattern::Regex(other) if other.as_str() == regex.as_str())
                });
                consider(&same.collect::<Vec<_>>());
            }
        }
        found
    }

    /// Adds a route to the trie. Routes with a pattern are in the regex set only.
    fn insert(&mut self, index: usize) {
        let (path, exact) = match &self.routes[index].path {
            PathPattern::Exact(path) => (path, true),
            PathPattern::Prefix(path) => (path, false),
            PathPattern::Regex(_) => return,
        };
        let Some(path) = path.strip_prefix('/') else {
            return;
        };
        let strict_prefixes = !exact && (path.is_empty() || path.ends_with('/'));
        let segments = if strict_prefixes {
            path.strip_suffix('/').unwrap_or(path)
        } else {
            path
        };
        let mut node = 0;
        if !(strict_prefixes && segments.is_empty()) {
            for segment in segments.split('/') {
                node = match self.nodes[node].children.get(segment) {
                    Some(&next) => next,
                    None => {
                        let next = self.nodes.len();
                        self.nodes.push(Node::default());
                        self.nodes[node].children.insert(segment.into(), next);
                        next
                    }
                };
            }
        }
        let node = &mut self.nodes[node];
        let list = if exact {
            &mut node.exact
        } else if strict_prefixes {
            &mut node.strict_prefixes
        } else {
            &mut node.prefixes
        };
        list.push(index);
    }
}
