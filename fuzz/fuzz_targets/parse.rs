//! Parses arbitrary bytes as an expression. Run with `cargo fuzz run parse`.
#![no_main]

libfuzzer_sys::fuzz_target!(|data: &[u8]| {
    badgerramp_expr::harness::parse_any(data);
});
