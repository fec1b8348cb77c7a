//! The route table, compared with a linear search for the first route that matches a request.

use badgerramp_decisions::{Hedge, RetryOn};
use badgerramp_route::*;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::Method;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::Arc;

fn timing() -> Timing {
    let (hedge, retry_on) = (Hedge::Never, RetryOn::NotExecuted);
    Timing {
        connect: 1,
        attempt: 1,
        total: 1,
        attempts: 1,
        backoff: 0,
        hedge,
        retry_on,
    }
}

fn route(path: PathPattern, methods: &[&str], headers: &[(&str, Option<&str>)]) -> Route {
    let header = |&(name, value): &(&str, Option<&str>)| HeaderPattern {
        name: HeaderName::try_from(name).expect("a name"),
        value: value.map(|v| HeaderValue::from_str(v).expect("a value")),
    };
    Route {
        name: String::new(),
        path,
        methods: methods
            .iter()
            .map(|m| m.parse().expect("a method"))
            .collect(),
        headers: headers.iter().map(header).collect(),
        class: 0,
        when: None,
        tenant: None,
        key: None,
        timing: timing(),
        response_rules: Arc::new(ResponseRules::standard()),
    }
}

fn exact(path: &str) -> PathPattern {
    PathPattern::Exact(path.to_owned())
}

fn prefix(path: &str) -> PathPattern {
    PathPattern::Prefix(path.to_owned())
}

fn regex(text: &str) -> PathPattern {
    PathPattern::Regex(compile_pattern(text).expect("a pattern"))
}

/// Index of the route that matches a request.
fn find_index(table: &Table, method: &Method, path: &str, headers: &HeaderMap) -> Option<usize> {
    table
        .find(method, path, headers)
        .expect("a normal form")
        .map(|(place, _)| place)
}

fn find_get(table: &Table, path: &str) -> Option<usize> {
    find_index(table, &Method::GET, path, &HeaderMap::new())
}

fn table_of(paths: Vec<PathPattern>) -> Table {
    Table::new(paths.into_iter().map(|p| route(p, &[], &[])).collect()).expect("a table")
}

#[test]
fn a_prefix_matches_whole_segments_only() {
    let table = table_of(vec![prefix("/fees"), prefix("/doors/"), exact("/")]);
    for (path, expected) in [
        ("/fees", Some(0)),
        ("/fees/", Some(0)),
        ("/fees/a/b", Some(0)),
        ("/fee", None),
        ("/feesx", None),
        ("/doors", None),
        ("/doors/", Some(1)),
        ("/doors/7", Some(1)),
        ("/", Some(2)),
        ("//", Some(2)),
        ("/x/../fees//7", Some(0)),
        ("/%66ees", Some(0)),
        ("/doors%2F7", None),
    ] {
        assert_eq!(find_get(&table, path), expected, "{path}");
    }
}

#[test]
fn the_first_matching_route_wins_whatever_its_kind() {
    let table = table_of(vec![
        regex("/a/[0-9]+"),
        exact("/a/b"),
        prefix("/a"),
        exact("/a/c"),
        regex("/a.*"),
    ]);
    for (path, expected) in [
        ("/a/7", Some(0)),
        ("/a/b", Some(1)),
        ("/a/c", Some(2)),
        ("/ab", Some(4)),
        ("/b", None),
    ] {
        assert_eq!(find_get(&table, path), expected, "{path}");
    }
    assert_eq!(
        table.shadows(),
        [Shadow {
            later: 3,
            earlier: 2
        }]
    );
}

/// A pattern must match the whole path. A pattern with an unbalanced `)` must be rejected, as it would close the group
/// that anchors it.
#[test]
fn a_pattern_matches_the_path_from_beginning_to_end() {
    let table = table_of(vec![regex("/a|/b")]);
    assert_eq!(
        (
            find_get(&table, "/a"),
            find_get(&table, "/b"),
            find_get(&table, "/ab"),
            find_get(&table, "/c/b")
        ),
        (Some(0), Some(0), None, None)
    );
    assert!(compile_pattern("/a)|(.*").is_err());
    assert!(
        compile_pattern("(a{500}){500}").is_err_and(|f| f.0.contains("bytes")),
        "bounded in size"
    );
}

/// Patterns that take exponential time in backtracking engines run in linear time.
#[test]
fn nested_repetition_does_not_cause_backtracking() {
    let table = table_of(vec![regex("/(a+)+b"), regex("/(.*)*x(.*)*y")]);
    let path = format!("/{}", "a".repeat(MAX_PATH_BYTES - 1));
    assert_eq!(find_get(&table, &path), None);
}

#[test]
fn total_compiled_size_of_patterns_is_bounded() {
    let many = (0..400)
        .map(|n| regex(&format!("/{n}/[a-z]{{2000}}")))
        .collect::<Vec<_>>();
    let routes = many.into_iter().map(|p| route(p, &[], &[])).collect();
    assert_eq!(Table::new(routes).err(), Some(TableError::PatternsTooBig));
}

#[test]
fn methods_and_headers_restrict_a_route() {
    let json = [("content-type", Some("application/json"))];
    let table = Table::new(vec![
        route(prefix("/a"), &["POST", "PUT"], &json),
        route(prefix("/a"), &["POST"], &[("x-branch", None)]),
        route(prefix("/a"), &["POST"], &[]),
    ])
    .expect("a table");
    let headers = |all: &[(&'static str, &'static str)]| -> HeaderMap {
        all.iter()
            .map(|&(n, v)| (HeaderName::from_static(n), HeaderValue::from_static(v)))
            .collect()
    };
    let post = |all| find_index(&table, &Method::POST, "/a", &headers(all));
    assert_eq!(post(&[("content-type", "application/json")]), Some(0));
    assert_eq!(
        post(&[("content-type", "text/plain"), ("x-branch", "CR-1")]),
        Some(1)
    );
    assert_eq!(post(&[("content-type", "text/plain")]), Some(2));
    assert_eq!(find_get(&table, "/a"), None);
    assert!(table.shadows().is_empty());
}

#[test]
fn routes_that_never_match_are_reported_as_shadowed() {
    let get_route = |path| route(path, &["GET"], &[]);
    let any = |path| route(path, &[], &[]);
    for (earlier, later, shadowed) in [
        (any(prefix("/")), any(regex("/x+")), true),
        (any(prefix("/")), get_route(exact("/x")), true),
        (get_route(prefix("/")), any(exact("/x")), false),
        (any(prefix("/a")), any(prefix("/a/")), true),
        (any(prefix("/a/")), any(prefix("/a")), false),
        (any(prefix("/a/")), any(prefix("/a/b")), true),
        (any(exact("/a")), any(prefix("/a")), false),
        (any(exact("/a")), any(exact("/a")), true),
        (any(regex("/[a-c]")), any(exact("/b")), true),
        (any(regex("/[a-c]")), any(exact("/d")), false),
        (any(regex("/[a-c]")), get_route(regex("/[a-c]")), true),
        (any(regex("/[a-c]")), any(prefix("/b")), false),
        (
            route(prefix("/a"), &[], &[("x-a", None)]),
            any(exact("/a")),
            false,
        ),
        (
            route(prefix("/a"), &[], &[("x-a", None)]),
            route(exact("/a"), &[], &[("x-a", Some("1"))]),
            true,
        ),
        (
            route(prefix("/a"), &[], &[("x-a", Some("2"))]),
            route(exact("/a"), &[], &[("x-a", Some("1"))]),
            false,
        ),
    ] {
        let description = format!("{:?} then {:?}", earlier.path, later.path);
        let table = Table::new(vec![earlier, later]).expect("a table");
        let expected: &[Shadow] = if shadowed {
            &[Shadow {
                later: 1,
                earlier: 0,
            }]
        } else {
            &[]
        };
        assert_eq!(table.shadows(), expected, "{description}");
    }
}

/// Finds the first matching route by checking the routes one by one, without an index.
fn reference_find(
    routes: &[Route],
    method: &Method,
    path: &str,
    headers: &HeaderMap,
) -> Option<usize> {
    routes.iter().position(|r| {
        let matches_path = match &r.path {
            PathPattern::Exact(p) => p == path,
            PathPattern::Prefix(p) if p.ends_with('/') => path.starts_with(p.as_str()),
            PathPattern::Prefix(p) => path
                .strip_prefix(p.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/')),
            PathPattern::Regex(p) => p.is_match(path),
        };
        matches_path
            && (r.methods.is_empty() || r.methods.contains(method))
            && r.headers.iter().all(|h| {
                headers
                    .get(&h.name)
                    .is_some_and(|v| h.value.as_ref().is_none_or(|w| w == v))
            })
    })
}

fn any_path() -> impl Strategy<Value = String> {
    prop_oneof![Just("/".to_owned()), "(/[ab]){1,3}/?"]
}

fn any_route() -> impl Strategy<Value = Route> {
    let path = prop_oneof![
        any_path().prop_map(PathPattern::Exact),
        any_path().prop_map(PathPattern::Prefix),
        prop_oneof![Just("/.*"), Just("/a/[ab]"), Just("(/a)*/?"), Just("/b+.*")].prop_map(regex),
    ];
    let methods = prop_oneof![
        Just(vec![]),
        Just(vec!["GET"]),
        Just(vec!["POST"]),
        Just(vec!["GET", "POST"])
    ];
    let headers = prop_oneof![3 => Just(vec![]), 1 => Just(vec![("x-a", None)]), 1 => Just(vec![("x-a", Some("1"))])];
    (path, methods, headers).prop_map(|(path, methods, headers)| route(path, &methods, &headers))
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_table_finds_the_same_route_as_a_linear_search(
        routes in prop::collection::vec(any_route(), 0..12),
        path in any_path(),
        post in any::<bool>(),
        value in prop_oneof![Just(None), Just(Some("1")), Just(Some("2"))],
    ) {
        let method = if post { Method::POST } else { Method::GET };
        let headers: HeaderMap =
            value.map(|v| (HeaderName::from_static("x-a"), HeaderValue::from_static(v))).into_iter().collect();
        let table = Table::new(routes.clone()).expect("a table");
        prop_assert_eq!(find_index(&table, &method, &path, &headers), reference_find(&routes, &method, &path, &headers));
    }

    /// A shadowed route never matches, and the earlier route matches each of its requests.
    #[test]
    fn a_shadowed_route_never_matches(
        routes in prop::collection::vec(any_route(), 2..8),
        paths in prop::collection::vec(any_path(), 40),
    ) {
        let table = Table::new(routes.clone()).expect("a table");
        for path in &paths {
            for (method, value) in [(Method::GET, None), (Method::POST, Some("1")), (Method::PUT, Some("2"))] {
                let headers: HeaderMap = value
                    .map(|v| (HeaderName::from_static("x-a"), HeaderValue::from_static(v)))
                    .into_iter()
                    .collect();
                let expected = reference_find(&routes, &method, path, &headers);
                prop_assert!(table.shadows().iter().all(|s| Some(s.later) != expected));
                for shadow in table.shadows() {
                    let only_later = std::slice::from_ref(&routes[shadow.later]);
                    if reference_find(only_later, &method, path, &headers).is_some() {
                        let only_earlier = std::slice::from_ref(&routes[shadow.earlier]);
                        prop_assert!(reference_find(only_earlier, &method, path, &headers).is_some());
                    }
                }
            }
        }
    }
}
