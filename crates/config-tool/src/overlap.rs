//! Which routes can take a request under a path: exactly, also for patterns.

use badgerramp_route::{PathPattern, Route};
use http::Method;
use regex_automata::dfa::{dense, Automaton, StartKind};
use regex_automata::util::start;
use regex_automata::Anchored;
use std::collections::HashSet;

/// Sizes beyond which a pattern is taken to match anything: rather a false alarm than a charge that slips through.
const DFA_BYTES: usize = 1 << 20;
const BUILD_BYTES: usize = 8 << 20;

/// Is `path` the prefix itself or below it?
pub fn under(path: &str, prefix: &str) -> bool {
    prefix == "/"
        || path
            .strip_prefix(prefix)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Can the route take some path that is `prefix` or below it?
pub fn takes_under(route: &Route, prefix: &str) -> bool {
    match &route.path {
        PathPattern::Exact(path) => under(path, prefix),
        PathPattern::Prefix(path) => {
            let bare = if path.len() > 1 {
                path.trim_end_matches('/')
            } else {
                path
            };
            under(path, prefix) || under(bare, prefix) || under(prefix, bare)
        }
        PathPattern::Regex(regex) => pattern_reaches(regex.as_str(), prefix),
    }
}

/// Does it take all that is `prefix` or below it, whatever else the request says?
pub fn covers(route: &Route, prefix: &str) -> bool {
    let path = match &route.path {
        PathPattern::Exact(_) | PathPattern::Regex(_) => return false,
        PathPattern::Prefix(path) => path,
    };
    route.headers.is_empty() && route.when.is_none() && under(prefix, path)
}

/// Can it take a request that does something, by its method?
pub fn may_write(route: &Route) -> bool {
    let reads = [Method::GET, Method::HEAD, Method::OPTIONS, Method::TRACE];
    route.methods.is_empty() || route.methods.iter().any(|m| !reads.contains(m))
}

/// Does `earlier` take every method of `later` that does something?
pub fn takes_writes_of(earlier: &Route, later: &Route) -> bool {
    earlier.methods.is_empty()
        || (!later.methods.is_empty() && later.methods.iter().all(|m| earlier.methods.contains(m)))
}

/// Does the pattern match the prefix, or anything that goes on with a slash behind it? The automaton is walked along the
/// prefix; from there all that can be reached is looked at.
fn pattern_reaches(pattern: &str, prefix: &str) -> bool {
    let config = dense::Config::new()
        .start_kind(StartKind::Anchored)
        .dfa_size_limit(Some(DFA_BYTES))
        .determinize_size_limit(Some(BUILD_BYTES));
    let Ok(dfa) = dense::Builder::new().configure(config).build(pattern) else {
        return true;
    };
    let Ok(mut state) = dfa.start_state(&start::Config::new().anchored(Anchored::Yes)) else {
        return true;
    };
    let walk = if prefix == "/" { "" } else { prefix };
    for &byte in walk.as_bytes() {
        state = dfa.next_state(state, byte);
        if dfa.is_quit_state(state) {
            return true;
        }
    }
    if !walk.is_empty() && dfa.is_match_state(dfa.next_eoi_state(state)) {
        return true;
    }
    let mut seen = HashSet::new();
    let mut open = vec![dfa.next_state(state, b'/')];
    while let Some(state) = open.pop() {
        if dfa.is_quit_state(state) || dfa.is_match_state(dfa.next_eoi_state(state)) {
            return true;
        }
        if dfa.is_dead_state(state) || !seen.insert(state) {
            continue;
        }
        open.extend((0..=u8::MAX).map(|byte| dfa.next_state(state, byte)));
    }
    false
}

/// A form under which paths are alike that some host may take for one: letters of one case, all escapes decoded,
/// parameters and the slash at the end dropped.
pub fn loose(path: &str) -> String {
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
    fn what_a_route_can_take_under_a_path() {
        let exact = |p: &str| route(PathPattern::Exact(p.to_owned()));
        let prefix = |p: &str| route(PathPattern::Prefix(p.to_owned()));
        let regex = |p: &str| route(PathPattern::Regex(compile_pattern(p).expect("a pattern")));
        for (route, takes) in [
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
            assert_eq!(takes_under(&route, "/fee"), takes, "{:?}", route.path);
        }
        assert!(takes_under(&regex("/x"), "/") && takes_under(&exact("/x"), "/"));
    }

    /// The automaton's answer against what the pattern itself says of many paths.
    #[test]
    fn a_pattern_that_matches_under_a_path_is_always_told() {
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
            let told = takes_under(&route(PathPattern::Regex(regex)), "/fee");
            assert!(told || !matches, "{text}");
        }
    }

    #[test]
    fn alike_paths_have_one_loose_form() {
        for path in [
            "/Cobro-Mensual",
            "/cobro%2Dmensual/",
            "/cobro-mensual;v=1",
            "/COBRO-MENSUAL//",
            "/cobro-mensual",
        ] {
            assert_eq!(loose(path), "/cobro-mensual", "{path}");
        }
        assert_eq!(loose("/a%2Fb"), "/a/b");
    }
}
