//! Cost of a lookup with 1, 100 and 10,000 routes, and of building the table.
#![expect(
    missing_docs,
    reason = "the macro of the benchmark library makes a function without docs"
)]

use badgerramp_decisions::{Hedge, RetryOn};
use badgerramp_route::{compile_pattern, PathPattern, ResponseRules, Route, Table, Timing};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use http::{HeaderMap, Method};
use std::hint::black_box;
use std::sync::Arc;

/// Of every hundred routes, `patterns` are regular expressions, ten are exact paths and the rest are prefixes.
fn routes(count: usize, patterns: usize) -> Vec<Route> {
    let timing = Timing {
        connect: 1,
        attempt: 1,
        total: 1,
        attempts: 1,
        backoff: 0,
        hedge: Hedge::Never,
        retry_on: RetryOn::NotExecuted,
    };
    let response_rules = Arc::new(ResponseRules::standard());
    let path = |n: usize| match n % 100 {
        k if k < patterns => PathPattern::Regex(
            compile_pattern(&format!("/p{n}/[0-9]+/receipt")).expect("a pattern"),
        ),
        k if k >= 90 => PathPattern::Exact(format!("/branch/{n}/status")),
        _ => PathPattern::Prefix(format!("/branch/{n}/fees")),
    };
    (0..count)
        .map(|n| Route {
            name: n.to_string(),
            path: path(n),
            methods: vec![Method::POST],
            headers: Vec::new(),
            class: 0,
            when: None,
            tenant: None,
            key: None,
            timing,
            response_rules: Arc::clone(&response_rules),
        })
        .collect()
}

fn lookup(c: &mut Criterion) {
    let headers = HeaderMap::new();
    for (kind, patterns) in [("no patterns", 0), ("1% patterns", 1)] {
        let mut group = c.benchmark_group(format!("find, {kind}"));
        for count in [1, 100, 10_000] {
            let table = Table::new(routes(count, patterns)).expect("a table");
            // The last prefix of the table, or the only route.
            let hit = format!(
                "/branch/{}/fees/2026/12",
                if count == 1 { 0 } else { count - 11 }
            );
            for (name, path) in [("hit", hit.as_str()), ("miss", "/branch/none/fees/2026/12")] {
                group.bench_with_input(BenchmarkId::new(name, count), path, |b, path| {
                    b.iter(|| black_box(table.find(&Method::POST, black_box(path), &headers)));
                });
            }
        }
        group.finish();
    }
}

fn build(c: &mut Criterion) {
    let mut group = c.benchmark_group("build");
    group.sample_size(10);
    for count in [100, 10_000] {
        let all = routes(count, 1);
        group.bench_with_input(BenchmarkId::from_parameter(count), &all, |b, all| {
            b.iter(|| Table::new(black_box(all.clone())).expect("a table"));
        });
    }
    group.finish();
}

criterion_group!(benches, lookup, build);
criterion_main!(benches);
