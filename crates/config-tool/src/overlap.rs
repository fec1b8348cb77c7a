//! Decides which routes can match a request under a path. The answer is exact, also for regular expressions.

use badgerramp_route::{PathPattern, Route};
use http::Method;
use regex_automata::dfa::{dense, Automaton, StartKind};
use regex_automata::util::primitives::StateID;
use regex_automata::util::start;
use regex_automata::Anchored;
use std::collections::HashSet;

/// Size limit of a pattern's automaton. A pattern that exceeds a limit is assumed to match any path: a false alarm is
/// better than an unsafe request that is missed.
const MAX_DFA_BYTES: usize = 1 << 20;
/// Memory limit for building a pattern's automaton.
const MAX_DETERMINIZE_BYTES: usize = 8 << 20;

/// Whether `path` is the prefix itself or below it.
pub fn is_under(path: &str, prefix: &str) -> bool {
    prefix == "/"
        || path
            .strip_prefix(prefix)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Whether the route can match any path that is `prefix` or below it.
pub fn matches_under(route: &Route, prefix: &str) -> bool {
    match &route.path {
        PathPattern::Exact(path) => is_under(path, prefix),
        PathPattern::Prefix(path) => {
            let without_trailing_slash = if path.len() > 1 {
                path.trim_end_matches('/')
            } else {
                path
            };
            is_under(path, prefix)
                || is_under(without_trailing_slash, prefix)
                || is_under(prefix, without_trailing_slash)
        }
        PathPattern::Regex(regex) => pattern_matches_under(regex.as_str(), prefix),
    }
}

/// Whether the route matches every path that is `prefix` or below it, whatever the request's headers are.
pub fn matches_all_under(route: &Route, prefix: &str) -> bool {
    let path = match &route.path {
        PathPattern::Exact(_) | PathPattern::Regex(_) => return false,
        PathPattern::Prefix(path) => path,
    };
    route.headers.is_empty() && route.when.is_none() && is_under(prefix, path)
}

/// Whether the route's methods include one that is not read-only.
pub fn may_write(route: &Route) -> bool {
    let read_only = [Method::GET, Method::HEAD, Method::OPTIONS, Method::TRACE];
    route.methods.is_empty() || route.methods.iter().any(|m| !read_only.contains(m))
}

/// Whether `earlier` matches every method of `later`.
pub fn matches_writes_of(earlier: &Route, later: &Route) -> bool {
    earlier.methods.is_empty()
        || (!later.methods.is_empty() && later.methods.iter().all(|m| earlier.methods.contains(m)))
}

/// Whether every path that the route matches is one of the prefixes or below one.
pub fn matches_only_under(route: &Route, prefixes: &[&str]) -> bool {
    match &route.path {
        PathPattern::Exact(path) | PathPattern::Prefix(path) => {
            prefixes.iter().any(|prefix| is_under(path, prefix))
        }
        PathPattern::Regex(regex) => pattern_matches_only_under(regex.as_str(), prefixes),
    }
}

/// The automaton of a pattern and its start state; `None` if it exceeds a limit.
fn automaton(pattern: &str) -> Option<(dense::DFA<Vec<u32>>, StateID)> {
    let config = dense::Config::new()
        .start_kind(StartKind::Anchored)
        .dfa_size_limit(Some(MAX_DFA_BYTES))
        .determinize_size_limit(Some(MAX_DETERMINIZE_BYTES));
    let dfa = dense::Builder::new()
        .configure(config)
        .build(pattern)
        .ok()?;
    let anchored = start::Config::new().anchored(Anchored::Yes);
    let start = dfa.start_state(&anchored).ok()?;
    Some((dfa, start))
}

/// How far the beginning of a path agrees with a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PrefixMatch {
    /// The whole beginning agrees with this many bytes of the prefix.
    Partial(usize),
    /// The path is below the prefix, however it goes on.
    Below,
    /// The path is neither the prefix nor below it.
    Outside,
}

impl PrefixMatch {
    /// The match of an empty beginning.
    fn start(prefix: &str) -> Self {
        if prefix == "/" {
            PrefixMatch::Below
        } else {
            PrefixMatch::Partial(0)
        }
    }

    /// The match after one more byte of the path.
    fn next(self, prefix: &str, byte: u8) -> Self {
        let PrefixMatch::Partial(length) = self else {
            return self;
        };
        match prefix.as_bytes().get(length) {
            Some(&expected) if expected == byte => PrefixMatch::Partial(length + 1),
            None if byte == b'/' => PrefixMatch::Below,
            _ => PrefixMatch::Outside,
        }
    }

    /// Whether a path that ends here is the prefix or below it.
    fn is_under(self, prefix: &str) -> bool {
        match self {
            PrefixMatch::Partial(length) => length == prefix.len(),
            PrefixMatch::Below => true,
            PrefixMatch::Outside => false,
        }
    }
}

/// Whether the pattern matches no path outside of the prefixes. Searches all states of the automaton together with how far
/// the path agrees with each prefix.
fn pattern_matches_only_under(pattern: &str, prefixes: &[&str]) -> bool {
    let Some((dfa, start)) = automaton(pattern) else {
        return false;
    };
    let matches: Vec<PrefixMatch> = prefixes.iter().map(|p| PrefixMatch::start(p)).collect();
    let mut seen = HashSet::new();
    let mut pending = vec![(start, matches)];
    while let Some((state, matches)) = pending.pop() {
        if dfa.is_dead_state(state)
            || matches.contains(&PrefixMatch::Below)
            || !seen.insert((state, matches.clone()))
        {
            continue;
        }
        let is_under = prefixes.iter().zip(&matches).any(|(p, m)| m.is_under(p));
        let is_match = dfa.is_match_state(dfa.next_eoi_state(state));
        if dfa.is_quit_state(state) || is_match && !is_under {
            return false;
        }
        pending.extend((0..=u8::MAX).map(|byte| {
            let next = prefixes.iter().zip(&matches).map(|(p, m)| m.next(p, byte));
            (dfa.next_state(state, byte), next.collect())
        }));
    }
    true
}

/// Whether the pattern matches the prefix or any path that continues it after a slash. Runs the automaton over the prefix
/// and then searches all states that are reachable from there.
fn pattern_matches_under(pattern: &str, prefix: &str) -> bool {
    let Some((dfa, mut state)) = automaton(pattern) else {
        return true;
    };
    let path = if prefix == "/" { "" } else { prefix };
    for &byte in path.as_bytes() {
        state = dfa.next_state(state, byte);
        if dfa.is_quit_state(state) {
            return true;
        }
    }
    if !path.is_empty() && dfa.is_match_state(dfa.next_eoi_state(state)) {
        return true;
    }
    let mut seen = HashSet::new();
    let mut pending = vec![dfa.next_state(state, b'/')];
    while let Some(state) = pending.pop() {
        if dfa.is_quit_state(state) || dfa.is_match_state(dfa.next_eoi_state(state)) {
            return true;
        }
        if dfa.is_dead_state(state) || !seen.insert(state) {
            continue;
        }
        pending.extend((0..=u8::MAX).map(|byte| dfa.next_state(state, byte)));
    }
    false
}

/// Normalizes a path as the most lenient endpoint might: lower case, all escapes decoded, path parameters, empty
/// segments and the trailing slash removed. Paths with the same result may be the same to some endpoint.
pub fn loosely_normalize(path: &str) -> String {
    let mut bytes = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        let decoded = (byte == b'%').then(|| after.get(..2)).flatten();
        let decoded =
            decoded.and_then(|d| u8::from_str_radix(std::str::from_utf8(d).ok()?, 16).ok());
        match decoded {
            Some(decoded) => {
                bytes.push(decoded);
                rest = &after[2..];
            }
            None => {
                bytes.push(byte);
                rest = after;
            }
        }
    }
    let text = String::from_utf8_lossy(&bytes).to_lowercase();
    let segments = text
        .split('/')
        .map(|s| s.split(';').next().unwrap_or_default())
        .filter(|s| !s.is_empty());
    segments.fold(String::new(), |path, segment| path + "/" + segment)
}

#[cfg(test)]
mod tests {
    use super::*;
    use badgerramp_route::{compile_pattern, ResponseRules, Timing};
    use std::sync::Arc;

    fn route(path: PathPattern) -> Route {
        Route {
            name: String::new(),
            path,
            methods: Vec::new(),
            headers: Vec::new(),
            class: 0,
            when: None,
            tenant: None,
            key: None,
            timing: Timing::UNLIMITED,
            response_rules: Arc::new(ResponseRules::standard()),
        }
    }

    #[test]
    fn matches_under_agrees_with_the_kinds_of_route_paths() {
        let exact = |p: &str| route(PathPattern::Exact(p.to_owned()));
        let prefix = |p: &str| route(PathPattern::Prefix(p.to_owned()));
        let regex = |p: &str| route(PathPattern::Regex(compile_pattern(p).expect("a pattern")));
        for (route, expected) in [
            (exact("/fee"), true),
            (exact("/fee/x"), true),
            (exact("/fees"), false),
            (exact("/"), false),
            (prefix("/"), true),
            (prefix("/fee/x"), true),
            (prefix("/fee/"), true),
            (prefix("/f"), false),
            (prefix("/fees"), false),
            (regex("/.*"), true),
            (regex("/fee"), true),
            (regex("/fee/[0-9]+/receipt"), true),
            (regex("/fee[0-9]"), false),
            (regex("/[a-e]+"), false),
            (regex("/[a-f]+"), true),
            (regex("(?i)/FEE"), true),
            (regex("/(entry|fee/special)"), true),
            (regex("/entry(/.*)?"), false),
        ] {
            assert_eq!(matches_under(&route, "/fee"), expected, "{:?}", route.path);
        }
        assert!(matches_under(&regex("/x"), "/") && matches_under(&exact("/x"), "/"));
    }

    /// Compares the automaton's answer with matching the pattern against sample paths.
    #[test]
    fn a_pattern_that_matches_a_path_under_the_prefix_is_always_found() {
        for text in [
            "/fee/a+",
            "/(f|g)ee",
            "/f.e/x?",
            "/[^x]*",
            "/fee(/[ab]{1,2})*",
            "/.{3}",
            "/fee/.{0,2}z",
        ] {
            let regex = compile_pattern(text).expect("a pattern");
            let paths = [
                "/fee",
                "/fee/",
                "/fee/a",
                "/fee/aa",
                "/fee/ab/b",
                "/fee/x",
                "/fee/yyz",
                "/fee/z",
            ];
            let matches = paths.iter().any(|p| regex.is_match(p));
            let found = matches_under(&route(PathPattern::Regex(regex)), "/fee");
            assert!(found || !matches, "{text}");
        }
    }

    #[test]
    fn paths_that_an_endpoint_may_confuse_normalize_to_the_same_path() {
        for path in [
            "/Cobro-Mensual",
            "/cobro%2Dmensual/",
            "/cobro-mensual;v=1",
            "/COBRO-MENSUAL//",
            "/cobro-mensual",
        ] {
            assert_eq!(loosely_normalize(path), "/cobro-mensual", "{path}");
        }
        assert_eq!(loosely_normalize("/a%2Fb"), "/a/b");
    }
}
