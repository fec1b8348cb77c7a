//! Evaluates an expression on a request, both made from arbitrary bytes. Run with `cargo fuzz run evaluate`.
#![no_main]

libfuzzer_sys::fuzz_target!(|data: &[u8]| {
    badgerramp_expr::harness::evaluate_any(data);
});
