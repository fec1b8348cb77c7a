//! Reads TOML files key by key, and reports everything that is wrong with them together with its place in the text.
//!
//! Reading goes on after a mistake, so that all mistakes of a file are reported at once. [`parse_document`] parses the text,
//! [`Section`] reads the keys of one table, and both add what is wrong to a [`DiagnosticSink`]. [`Diagnostics`] is the error
//! that a caller returns in the end; it shows each mistake with the line of the file that it is in.
//!
//! The crate knows nothing about the keys of a particular file. It neither opens files nor prints anything.
//!
//! ```
//! use badgerramp_toml_diagnostics::{parse_document, DiagnosticSink, Section};
//!
//! let text = "timeout = \"5 parsecs\"\nretries = 3\n";
//! let mut sink = DiagnosticSink::default();
//! let table = parse_document(&mut sink, text);
//! let file = Section::new(&mut sink, &table, "", 0..0, &["timeout", "retries"]);
//!
//! let timeout = file.duration(&mut sink, "timeout", 1_000..=60_000_000);
//! let retries = file.integer(&mut sink, "retries", 0..=10);
//! assert!(timeout.is_none());
//! assert_eq!(retries.map(|located| located.value), Some(3));
//!
//! let diagnostics = sink.into_diagnostics("example.toml", text);
//! assert!(diagnostics.to_single_line().starts_with("example.toml:1:11: timeout: this is not a time"));
//! ```
#![forbid(unsafe_code)]

mod diagnostic;
mod document;
mod section;
mod suggestion;
pub mod units;

pub use diagnostic::{Diagnostic, DiagnosticSink, Diagnostics, Position, RelatedSpan, Span};
pub use document::parse_document;
pub use section::{display_value, Located, Section, Value};
pub use suggestion::{closest_name, suggest_names};
pub use toml::de::{DeTable, DeValue};
