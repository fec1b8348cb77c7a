//! Entry points for fuzzing, which the unit tests also run with seeded input. Arbitrary bytes are used as expressions and as
//! requests: none may cause a panic, an endless loop, or more steps than the static bound.

use crate::{Builder, ExpectedType, Head, Scratch, Steps};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

/// Compiles arbitrary bytes as an expression. Returns whether it is valid.
pub fn parse_any(data: &[u8]) -> bool {
    let text = String::from_utf8_lossy(data);
    [
        ExpectedType::Condition,
        ExpectedType::Text,
        ExpectedType::Any,
    ]
    .into_iter()
    .any(|w| Builder::default().add(&text, w).is_ok())
}

/// Compiles the bytes before the first NUL as an expression and evaluates it for a request that is built from the other
/// bytes. Returns whether the expression is valid.
///
/// # Panics
/// Panics if the evaluation takes more steps than the bound.
pub fn evaluate_any(data: &[u8]) -> bool {
    let mut parts = data.split(|&b| b == 0);
    let text = String::from_utf8_lossy(parts.next().unwrap_or_default());
    let mut builder = Builder::default();
    let Ok(id) = builder.add(&text, ExpectedType::Any) else {
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
