//! Which class, tenant, key and timing a request has, and what an answer to it means. Tables are built once, when a
//! file is loaded; looking a request up reads neither clock nor socket.
//!
//! A [`Table`] holds [`Route`]s in the order of the operator's file; the first that takes a request wins.
#![forbid(unsafe_code)]

mod answers;
mod path;
mod source;
mod table;
mod timing;

pub use answers::{Answers, Proof, StatusSet, Verdict};
pub use badgerramp_expr::Head;
pub use path::{normalize, PathFault, PATH_MOST};
pub use source::{Expression, Source};
pub use table::{
    pattern, HeaderPattern, PathPattern, PatternFault, Route, Shadow, Table, TableFault,
    PATTERN_BYTES, SET_BYTES,
};
pub use timing::Timing;
