//! What a fuzzer drives, and a seeded run of the same in the tests: any bytes as expressions and as requests. Nothing may
//! panic, loop, or take more steps than the static bound.

use crate::{Builder, Head, Scratch, Steps, Wanted};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

/// Any bytes as an expression. True: it was accepted.
pub fn parse_any(data: &[u8]) -> bool {
    let text = String::from_utf8_lossy(data);
    [Wanted::Condition, Wanted::Text, Wanted::Any]
        .into_iter()
        .any(|w| Builder::default().add(&text, w).is_ok())
}

/// Any bytes as an expression (up to the first NUL) and a request behind it.
///
/// # Panics
/// If more steps were taken than the bound allows.
pub fn evaluate_any(data: &[u8]) -> bool {
    let mut parts = data.split(|&b| b == 0);
    let text = String::from_utf8_lossy(parts.next().unwrap_or_default());
    let mut builder = Builder::default();
    let Ok(id) = builder.add(&text, Wanted::Any) else {
        return false;
    };
    let target = String::from_utf8_lossy(parts.next().unwrap_or_default()).into_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut headers = HeaderMap::new();
    for line in parts.take(64) {
        let (name, value) =
            line.split_at(line.iter().position(|&b| b == b':').unwrap_or(line.len()));
        if let (Ok(name), Ok(value)) = (
            HeaderName::from_bytes(name),
            HeaderValue::from_bytes(value.get(1..).unwrap_or_default()),
        ) {
            headers.append(name, value);
        }
    }
    let bound = builder.cost(&[id]);
    let program = builder.build();
    let head = Head {
        method: &Method::POST,
        path,
        query,
        headers: &headers,
        client: [127, 0, 0, 1].into(),
    };
    let mut steps = Steps::default();
    program.evaluate_with(id, &head, &mut Scratch::default(), &mut steps);
    assert!(
        steps.0 <= bound,
        "{} steps of {bound} for {text:?}",
        steps.0
    );
    true
}
