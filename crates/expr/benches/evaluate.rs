//! Benchmarks of evaluation: typical route tables compared with hand-written conditions, and worst cases with adversarial
//! headers.
#![expect(
    clippy::similar_names,
    reason = "names are still to be made more distinct"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]
#![expect(
    missing_docs,
    reason = "the macro of the benchmark library generates a function without docs"
)]

use badgerramp_expr::{Builder, ExpectedType, Head, Id, Program, Scratch, Unmetered, STEP_BUDGET};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use http::{HeaderMap, HeaderValue, Method};
use std::hint::black_box;

fn head(headers: &HeaderMap) -> Head<'_> {
    Head {
        method: &Method::POST,
        path: "/fees/2026/12",
        query: "a=1&b=2",
        headers,
        client: [127, 0, 0, 1].into(),
    }
}

/// A program with `count` similar conditions.
fn table(count: usize) -> (Program, Vec<Id>) {
    let mut builder = Builder::default();
    let condition = |n: usize| {
        format!(
            r#"method == "POST" and path starts_with "/fees/" and (header["x-branch"] ?? "") starts_with "CR-{n}-" and (header["content-type"] ?? "") == "application/json""#
        )
    };
    let ids = (0..count)
        .map(|n| {
            builder
                .add(&condition(n), ExpectedType::Condition)
                .expect("well typed")
        })
        .collect();
    (builder.build(), ids)
}

/// The same condition in hand-written Rust.
fn hand_written(prefix: &str, head: &Head<'_>) -> bool {
    let text = |name: &str| {
        let mut all = head.headers.get_all(name).iter();
        let only = all.next().filter(|_| all.next().is_none());
        only.and_then(|v| std::str::from_utf8(v.as_bytes()).ok())
            .unwrap_or("")
    };
    head.method == Method::POST
        && head.path.starts_with("/fees/")
        && text("x-branch").starts_with(prefix)
        && text("content-type") == "application/json"
}

fn bench_tables(c: &mut Criterion) {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers.insert("x-branch", HeaderValue::from_static("CR-none"));
    headers.insert("host", HeaderValue::from_static("gym.example"));
    let mut group = c.benchmark_group("table");
    for count in [10, 100, 1_000] {
        let (program, ids) = table(count);
        let prefixes: Vec<String> = (0..count).map(|n| format!("CR-{n}-")).collect();
        group.bench_function(BenchmarkId::new("expressions", count), |b| {
            b.iter(|| {
                let (head, mut scratch) = (head(&headers), Scratch::default());
                let mut meter = Unmetered;
                let held = ids.iter().filter(|id| {
                    program.evaluate_with(**id, &head, &mut scratch, &mut meter)
                        == badgerramp_expr::Value::Bool(true)
                });
                black_box(held.count())
            });
        });
        group.bench_function(BenchmarkId::new("plain Rust", count), |b| {
            b.iter(|| {
                let head = head(&headers);
                black_box(prefixes.iter().filter(|p| hand_written(p, &head)).count())
            });
        });
    }
    group.finish();
}

/// Expressions near the step budget, each with adversarial headers of up to 64 KB.
fn bench_worst_cases(c: &mut Criterion) {
    let fill_head = |unit: &str| unit.repeat(64 * 1024 / unit.len());
    let one_header = |value: &str| {
        let mut headers = HeaderMap::new();
        headers.insert(
            "x",
            HeaderValue::from_bytes(value.as_bytes()).expect("a value"),
        );
        headers
    };
    let mut many_headers = HeaderMap::new();
    for _ in 0..1_000 {
        many_headers.append(
            "x",
            HeaderValue::from_static(
                "64 bytes of a header that is given a thousand times, nearly so.",
            ),
        );
    }
    let patterns: Vec<String> = (0..11)
        .map(|n| format!(r#"(header["x"] ?? "") matches "(a+)+{n}b|(.*)*[c-d]{n}$""#))
        .collect();
    let corpus = [
        (
            "lower and contains",
            r#"lower(header["x"] ?? "") contains "aaaaaaaaaaaaaaab""#.to_owned(),
            one_header(&fill_head("A")),
        ),
        (
            "two bytes a letter",
            r#"(header["x"] ?? "") ends_with "b""#.to_owned(),
            one_header(&fill_head("\u{f1}")),
        ),
        (
            "eleven patterns",
            patterns.join(" or "),
            one_header(&"a".repeat(1_024)),
        ),
        (
            "split",
            r#""b" in split(header["x"] ?? "", ",")"#.to_owned(),
            one_header(&",".repeat(2_048)),
        ),
        (
            "hash",
            r#"hash(header["x"] ?? "", 100) == 100"#.to_owned(),
            one_header(&fill_head("h")),
        ),
        ("cookie", r#"(cookie["b"] ?? "") == "x""#.to_owned(), {
            let mut headers = HeaderMap::new();
            headers.insert(
                "cookie",
                HeaderValue::from_str(&"a=1;".repeat(256)).expect("a value"),
            );
            headers
        }),
        (
            "a thousand headers",
            r#""none" in headers["x"]"#.to_owned(),
            many_headers,
        ),
    ];
    let mut group = c.benchmark_group("worst");
    for (name, text, headers) in &corpus {
        let mut builder = Builder::default();
        let id = builder
            .add(text, ExpectedType::Condition)
            .expect("well typed");
        assert!(
            builder.cost(&[id]) <= STEP_BUDGET,
            "{name}: {}",
            builder.cost(&[id])
        );
        let program = builder.build();
        group.bench_function(*name, |b| {
            b.iter(|| black_box(program.holds(id, &head(headers))));
        });
    }
    group.finish();
}

criterion_group!(benches, bench_tables, bench_worst_cases);
criterion_main!(benches);
