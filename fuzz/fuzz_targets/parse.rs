//! Any bytes as an expression. `cargo fuzz run parse`
#![no_main]

libfuzzer_sys::fuzz_target!(|data: &[u8]| {
    badgerramp_expr::harness::parse_any(data);
});
