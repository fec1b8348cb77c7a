//! Time to parse and validate a file, by its number of routes.
#![expect(
    missing_docs,
    reason = "the macro of the benchmark library makes a function without docs"
)]

use badgerramp_config::parse;
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use std::fmt::Write;
use std::hint::black_box;

/// A file with this many routes: of every hundred, one is a pattern, ten are exact paths and the rest are prefixes.
fn file(count: usize) -> String {
    let mut text =
        "listen = '127.0.0.1:0'\n[upstream]\nendpoints = [{ address = '127.0.0.1:9001' }]\n\
        [class.lookup]\naim = '500ms'\ndeadline = '1200ms'\neffect = 'safe'\n"
            .to_owned();
    for n in 0..count {
        let path = match n % 100 {
            0 => format!("regex = '/p{n}/[0-9]+/receipt'"),
            k if k >= 90 => format!("path = '/branch/{n}/status'"),
            _ => format!("prefix = '/branch/{n}/fees'"),
        };
        write!(
            text,
            "[[route]]\nname = 'r{n}'\n{path}\nmethods = ['POST']\nclass = 'lookup'\n"
        )
        .expect("memory");
    }
    text
}

fn load(c: &mut Criterion) {
    let mut group = c.benchmark_group("load");
    group.sample_size(10);
    for count in [1, 100, 10_000] {
        let text = file(count);
        group.bench_with_input(BenchmarkId::from_parameter(count), &text, |b, text| {
            b.iter(|| parse("bench.toml", black_box(text)).expect("a good file"));
        });
    }
    group.finish();
}

criterion_group!(benches, load);
criterion_main!(benches);
