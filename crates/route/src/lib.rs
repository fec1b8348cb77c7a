//! Determines the class, tenant, key and timing of a request, and classifies the responses to it. Tables are built
//! once, when a file is loaded; a lookup reads neither a clock nor a socket.
//!
//! A [`Table`] holds [`Route`]s in the order of the operator's file. A request takes the first route that matches it.
#![forbid(unsafe_code)]

mod answers;
mod common_headers;
mod path;
mod proof;
mod source;
mod table;
mod timing;

pub use answers::{ResponseRules, StatusSet, Verdict};
pub use badgerramp_expr::Head;
pub use path::{normalize, PathError, MAX_PATH_BYTES};
pub use proof::{NotExecutedProof, ProofWeakness};
pub use source::{Expression, Source};
pub use table::{
    compile_pattern, HeaderPattern, PathPattern, PatternError, Route, Shadow, Table, TableError,
    MAX_PATTERN_BYTES, MAX_PATTERN_SET_BYTES,
};
pub use timing::Timing;
