//! The table of routes: a tree over path segments for exact paths and prefixes, one set for all patterns. The cost of a
//! look-up grows with the path and with the routes that share a place, not with their number.

use crate::{normalize, Answers, Expression, PathFault, Source, Timing};
use badgerramp_expr::{Head, Program, Scratch, Unmetered, Value};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::Method;
use regex::{Regex, RegexBuilder, RegexSet, RegexSetBuilder};
use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

/// Most bytes that one pattern may take compiled.
pub const PATTERN_BYTES: usize = 256 * 1024;
/// ... and all of them together.
pub const SET_BYTES: usize = 8 * 1024 * 1024;

/// Which paths a route takes, in their normal form.
#[derive(Clone, Debug)]
pub enum PathPattern {
    /// This one.
    Exact(String),
    /// This one and all below it: `/a` takes `/a` and `/a/b`, not `/ab`; `/a/` does not take `/a`.
    Prefix(String),
    /// All that the pattern matches from beginning to end; made by [`pattern`].
    Regex(Regex),
}

/// A header that a request must bear.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderPattern {
    /// Its name.
    pub name: HeaderName,
    /// Its value; None: any.
    pub value: Option<HeaderValue>,
}

impl HeaderPattern {
    fn takes(&self, headers: &HeaderMap) -> bool {
        match &self.value {
            Some(value) => headers.get_all(&self.name).iter().any(|v| v == value),
            None => headers.contains_key(&self.name),
        }
    }
}

/// One route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name in the file.
    pub name: String,
    /// Which paths it takes.
    pub path: PathPattern,
    /// Which methods; none named: all.
    pub methods: Vec<Method>,
    /// Headers that must all be there.
    pub headers: Vec<HeaderPattern>,
    /// A condition that must hold.
    pub when: Option<Expression>,
    /// Place of its class.
    pub class: usize,
    /// Where the tenant stands.
    pub tenant: Option<Source>,
    /// Where the key stands, if its class goes by one.
    pub key: Option<Source>,
    /// Its timing.
    pub timing: Timing,
    /// How answers are read.
    pub answers: Arc<Answers>,
}

impl Route {
    /// Does it take such a request, apart from its path? Its condition is asked last.
    fn takes<'r>(&self, head: &Head<'r>, program: &'r Program, scratch: &mut Scratch<'r>) -> bool {
        (self.methods.is_empty() || self.methods.contains(head.method))
            && self.headers.iter().all(|h| h.takes(head.headers))
            && self.when.as_ref().is_none_or(|when| {
                program.evaluate_with(when.id, head, scratch, &mut Unmetered) == Value::Bool(true)
            })
    }

    /// Does it take, of the paths it takes, all that `later` takes?
    fn covers(&self, later: &Route) -> bool {
        let methods = self.methods.is_empty()
            || (!later.methods.is_empty()
                && later.methods.iter().all(|m| self.methods.contains(m)));
        let wanted = |own: &HeaderPattern| {
            later
                .headers
                .iter()
                .any(|h| h.name == own.name && (own.value.is_none() || own.value == h.value))
        };
        let condition = self.when.is_none() || self.when == later.when;
        methods && condition && self.headers.iter().all(wanted)
    }
}

/// Why a pattern is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PatternFault(pub String);

impl std::fmt::Display for PatternFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for PatternFault {}

/// Compiles a pattern that has to match a path from beginning to end. The engine runs in linear time.
///
/// # Errors
/// If the text is no pattern, or would take more than [`PATTERN_BYTES`] compiled.
pub fn pattern(text: &str) -> Result<Regex, PatternFault> {
    // On its own first: what closes a group here must not be mended by the one put round it.
    regex_syntax_check(text)?;
    let whole = format!("^(?:{text})$");
    RegexBuilder::new(&whole)
        .size_limit(PATTERN_BYTES)
        .build()
        .map_err(|fault| PatternFault(reason(&fault)))
}

fn regex_syntax_check(text: &str) -> Result<(), PatternFault> {
    RegexBuilder::new(text)
        .size_limit(PATTERN_BYTES)
        .build()
        .map(drop)
        .map_err(|f| PatternFault(reason(&f)))
}

/// The last line of the library's word tells the reason; those above it draw the place.
fn reason(fault: &regex::Error) -> String {
    match fault {
        regex::Error::CompiledTooBig(most) => format!("compiled it takes more than {most} bytes"),
        other => {
            let text = other.to_string();
            let last = text.lines().last().unwrap_or_default().trim();
            last.strip_prefix("error: ").unwrap_or(last).to_owned()
        }
    }
}

/// A route that can never match, as an earlier one takes all that it would.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shadow {
    /// Place of the one that never matches.
    pub later: usize,
    /// Place of the one that takes all.
    pub earlier: usize,
}

/// Why no table could be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableFault {
    /// All patterns together take more than [`SET_BYTES`] compiled.
    PatternsTooBig,
}

impl std::fmt::Display for TableFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "the patterns of all routes together take more than {SET_BYTES} bytes compiled"
        )
    }
}

impl std::error::Error for TableFault {}

/// A place in the tree: the path down to it. Each list is in the order of the routes.
#[derive(Debug, Default)]
struct Node {
    below: HashMap<Box<str>, usize>,
    /// Routes of exactly this path.
    exact: Vec<usize>,
    /// Prefixes that end here, and those that want a further segment.
    at: Vec<usize>,
    under: Vec<usize>,
}

/// All routes.
#[derive(Debug)]
pub struct Table {
    routes: Vec<Route>,
    nodes: Vec<Node>,
    patterns: RegexSet,
    /// The route of each pattern.
    pattern_routes: Vec<usize>,
    shadows: Vec<Shadow>,
    /// The expressions that routes name.
    program: Arc<Program>,
}

impl Table {
    /// Builds the table. Paths of the routes must be in normal form (see [`normalize`]); others never match.
    ///
    /// # Errors
    /// See [`TableFault`].
    pub fn new(routes: Vec<Route>) -> Result<Self, TableFault> {
        Table::with(routes, Arc::default())
    }

    /// Builds the table of routes that name expressions of this program.
    ///
    /// # Errors
    /// See [`TableFault`].
    pub fn with(routes: Vec<Route>, program: Arc<Program>) -> Result<Self, TableFault> {
        let regexes = routes
            .iter()
            .enumerate()
            .filter_map(|(place, route)| match &route.path {
                PathPattern::Regex(regex) => Some((place, regex.as_str())),
                _ => None,
            });
        let (pattern_routes, texts): (Vec<usize>, Vec<&str>) = regexes.unzip();
        let patterns = RegexSetBuilder::new(&texts)
            .size_limit(SET_BYTES)
            .dfa_size_limit(SET_BYTES)
            .build()
            .map_err(|_| TableFault::PatternsTooBig)?;
        let mut table = Table {
            routes,
            nodes: vec![Node::default()],
            patterns,
            pattern_routes,
            shadows: Vec::new(),
            program,
        };
        for later in 0..table.routes.len() {
            let earlier = table.covering(later);
            table
                .shadows
                .extend(earlier.map(|earlier| Shadow { later, earlier }));
            table.enter(later);
        }
        Ok(table)
    }

    /// The routes in their order.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Routes that never match, by what the routes before each take alone.
    pub fn shadows(&self) -> &[Shadow] {
        &self.shadows
    }

    /// The expressions that routes name.
    pub fn program(&self) -> &Arc<Program> {
        &self.program
    }

    /// The first route that takes a request without a query, from this machine, and its place.
    ///
    /// # Errors
    /// If the path has no normal form.
    pub fn find(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
    ) -> Result<Option<(usize, &Route)>, PathFault> {
        self.find_head(&Head {
            method,
            path,
            query: "",
            headers,
            client: [127, 0, 0, 1].into(),
        })
    }

    /// The first route that takes such a request, and its place. The path may be in any form.
    ///
    /// # Errors
    /// If the path has no normal form.
    pub fn find_head(&self, head: &Head<'_>) -> Result<Option<(usize, &Route)>, PathFault> {
        let path = normalize(head.path)?;
        let head = Head {
            path: &path,
            ..*head
        };
        let mut scratch = Scratch::default();
        let mut best = usize::MAX;
        // The lists are in order: the first that takes the request is the list's best.
        let mut look = |list: &[usize]| {
            let mut better = list.iter().take_while(|&&r| r < best);
            let found = better.find(|&&r| self.routes[r].takes(&head, &self.program, &mut scratch));
            best = found.copied().unwrap_or(best);
        };
        self.along(&path, |list, _| look(list));
        let first_pattern = self.pattern_routes.first().copied().unwrap_or(usize::MAX);
        if first_pattern < best {
            let matched = self.patterns.matches(&path);
            let mut found = matched
                .iter()
                .map(|p| self.pattern_routes[p])
                .take_while(|&r| r < best);
            best = found
                .find(|&r| self.routes[r].takes(&head, &self.program, &mut scratch))
                .unwrap_or(best);
        }
        Ok(self.routes.get(best).map(|route| (best, route)))
    }

    /// What a source says of a request; nothing, if it says nothing or cannot be told apart.
    pub fn text<'r>(&self, source: &Source, head: &Head<'r>) -> Option<Cow<'r, str>> {
        let Source::Expression(own) = source else {
            return source.read(head.headers).map(Cow::Borrowed);
        };
        let path = normalize(head.path).ok()?;
        let head = Head {
            path: &path,
            ..*head
        };
        match self.program.evaluate(own.id, &head) {
            Value::Str(text) if !text.is_empty() => Some(Cow::Owned(text.into_owned())),
            _ => None,
        }
    }

    /// Visits the lists of all places whose exact paths or prefixes take this path. The flag tells exact ones.
    fn along<'a>(&'a self, path: &str, mut visit: impl FnMut(&'a [usize], bool)) {
        let mut node = &self.nodes[0];
        let mut rest = path.get(1..);
        while let Some(text) = rest {
            visit(&node.under, false);
            let (segment, further) = match text.split_once('/') {
                Some((segment, further)) => (segment, Some(further)),
                None => (text, None),
            };
            let Some(&next) = node.below.get(segment) else {
                return;
            };
            node = &self.nodes[next];
            visit(&node.at, false);
            rest = further;
        }
        visit(&node.exact, true);
    }

    /// An earlier route that takes all that this one would.
    fn covering(&self, later: usize) -> Option<usize> {
        let route = &self.routes[later];
        let covers = |&&r: &&usize| self.routes[r].covers(route);
        let mut found: Option<usize> = None;
        let mut look = |list: &[usize]| {
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
                self.along(path, |list, _| look(list));
                let matched = self
                    .patterns
                    .matches(path)
                    .into_iter()
                    .map(|p| self.pattern_routes[p]);
                look(&matched.filter(|&r| r < later).collect::<Vec<_>>());
            }
            PathPattern::Prefix(path) => self.along(path, |list, exact| {
                if !exact {
                    look(list);
                }
            }),
            PathPattern::Regex(regex) => {
                look(&self.nodes[0].under);
                let same = self.pattern_routes.iter().copied().take_while(|&r| r < later).filter(|&r| {
                    matches!(&self.routes[r].path, PathPattern::Regex(other) if other.as_str() == regex.as_str())
                });
                look(&same.collect::<Vec<_>>());
            }
        }
        found
    }

    fn enter(&mut self, place: usize) {
        let (path, exact) = match &self.routes[place].path {
            PathPattern::Exact(path) => (path, true),
            PathPattern::Prefix(path) => (path, false),
            PathPattern::Regex(_) => return,
        };
        let Some(path) = path.strip_prefix('/') else {
            return;
        };
        let under = !exact && (path.is_empty() || path.ends_with('/'));
        let segments = if under {
            path.strip_suffix('/').unwrap_or(path)
        } else {
            path
        };
        let mut node = 0;
        if !(under && segments.is_empty()) {
            for segment in segments.split('/') {
                node = match self.nodes[node].below.get(segment) {
                    Some(&next) => next,
                    None => {
                        let next = self.nodes.len();
                        self.nodes.push(Node::default());
                        self.nodes[node].below.insert(segment.into(), next);
                        next
                    }
                };
            }
        }
        let node = &mut self.nodes[node];
        let list = if exact {
            &mut node.exact
        } else if under {
            &mut node.under
        } else {
            &mut node.at
        };
        list.push(place);
    }
}
