//! Any bytes as an expression and a request. `cargo fuzz run evaluate`
#![no_main]

libfuzzer_sys::fuzz_target!(|data: &[u8]| {
    badgerramp_expr::harness::evaluate_any(data);
});
