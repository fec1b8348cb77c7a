//! A small typed language over the head of a request: which requests a route takes, and how their keys are formed. An
//! expression is parsed, typed, folded and bounded in cost when a file is loaded; evaluating it reads neither clock nor
//! socket, can't fail and ends within its bound.
//!
//! ```
//! use badgerramp_expr::{Builder, Head, Wanted};
//!
//! let mut builder = Builder::default();
//! let text = r#"method == "POST" and (header["x-branch"] ?? "") starts_with "CR-""#;
//! let charge = builder.add(text, Wanted::Condition).expect("it is well typed");
//! let program = builder.build();
//! let headers = [("x-branch".parse().unwrap(), "CR-7".parse().unwrap())].into_iter().collect();
//! let head = Head { method: &http::Method::POST, path: "/fees", query: "", headers: &headers, client: [127, 0, 0, 1].into() };
//! assert!(program.holds(charge, &head));
//!
//! // A header that may be missing is no text: what its absence means must be said.
//! let mistakes = Builder::default().add(r#"header["x-branch"] == "CR-7""#, Wanted::Condition).unwrap_err();
//! assert!(mistakes[0].reason.contains("may be absent"));
//! ```
#![forbid(unsafe_code)]
#![expect(clippy::similar_names, reason = "names are still to be told apart")]
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

pub use ast::{Ast, Mistake, Span};
pub use bounds::{BUDGET, HEAD_BYTES, MATCH_BYTES, PAIRS_BYTES, PARTS_BYTES, PARTS_MOST};
pub use build::{Builder, Wanted};
pub use eval::{Meter, Scratch, Steps, Unmetered};
pub use parse::{parse, DEPTH_MOST, TEXT_MOST, VALUES_MOST};
pub use program::Program;
pub use value::{hash, Head, Value};
pub use witness::{both, Request};

/// The number of an expression in its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub(crate) u32);
