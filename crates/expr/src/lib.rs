//! A small typed expression language over the head of a request. Routes use it for their match conditions and for
//! idempotency keys and tenants. An expression is parsed, type-checked, constant-folded and given a bound on its cost when a
//! file is loaded. Its evaluation does no I/O, can't fail and stays within the bound.
//!
//! ```
//! use badgerramp_expr::{Builder, Head, ExpectedType};
//!
//! let mut builder = Builder::default();
//! let text = r#"method == "POST" and (header["x-branch"] ?? "") starts_with "CR-""#;
//! let charge = builder.add(text, ExpectedType::Condition).expect("it is well typed");
//! let program = builder.build();
//! let headers = [("x-branch".parse().unwrap(), "CR-7".parse().unwrap())].into_iter().collect();
//! let head = Head { method: &http::Method::POST, path: "/fees", query: "", headers: &headers, client: [127, 0, 0, 1].into() };
//! assert!(program.holds(charge, &head));
//!
//! // A header may be absent, so that it needs a default before it can be compared.
//! let errors = Builder::default().add(r#"header["x-branch"] == "CR-7""#, ExpectedType::Condition).unwrap_err();
//! assert!(errors[0].reason.contains("may be absent"));
//! ```
#![forbid(unsafe_code)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]

mod ast;
mod bounds;
mod build;
mod eval;
pub mod harness;
mod parse;
mod program;
#[cfg(test)]
mod tests;
mod value;
mod witness;

pub use ast::{Ast, ExpressionError, Span};
pub use bounds::{
    MAX_HEAD_BYTES, MAX_LIST_ELEMENTS, MAX_MATCH_BYTES, MAX_PAIRS_BYTES, MAX_SPLIT_BYTES,
    STEP_BUDGET,
};
pub use build::{Builder, ExpectedType};
pub use eval::{Meter, Scratch, Steps, Unmetered};
pub use parse::{parse, MAX_DEPTH, MAX_TEXT_BYTES, MAX_VALUES};
pub use program::Program;
pub use value::{hash, Head, Value};
pub use witness::{find_common_request, ExampleRequest};

/// Identifies an expression in its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub(crate) u32);
