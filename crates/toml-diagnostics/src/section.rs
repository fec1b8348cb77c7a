//! Reads the keys of one table.

use crate::diagnostic::{DiagnosticSink, Span};
use crate::suggestion::suggest_names;
use crate::units::{format_duration, format_size, parse_duration, parse_size};
use std::ops::RangeInclusive;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// A value that was read, and where it is in the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Its place in the text.
    pub span: Span,
    /// Its key with the tables that it is in.
    pub key: String,
}

/// One table of the file.
///
/// The methods that read a key return `None` if it is absent, or if its value is not allowed; the latter is added to the
/// sink.
#[derive(Clone, Debug)]
pub struct Section<'t> {
    table: &'t DeTable<'t>,
    /// Key of the table itself; empty for the whole file.
    pub key: String,
    /// Where the table is named.
    pub span: Span,
}

/// A value with its place in the text.
pub type Value<'t> = Spanned<DeValue<'t>>;

/// Shows a value as it is written in the file.
pub fn display_value(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(number) => number.to_string(),
        DeValue::Float(number) => number.to_string(),
        DeValue::Boolean(flag) => flag.to_string(),
        DeValue::Datetime(date) => date.to_string(),
        DeValue::Array(_) => "a list".to_owned(),
        DeValue::Table(_) => "a table".to_owned(),
    }
}

impl<'t> Section<'t> {
    /// The table with this key, which is named at `span`. Keys of the table that are not in `known` are added to the sink.
    pub fn new(
        sink: &mut DiagnosticSink,
        table: &'t DeTable<'t>,
        key: &str,
        span: Span,
        known: &[&str],
    ) -> Self {
        let section = Section {
            table,
            key: key.to_owned(),
            span,
        };
        let unknown = section.iter().filter(|(name, _, _)| !known.contains(name));
        for (name, span, _) in unknown {
            sink.add(
                &section.key_path(name),
                &span,
                "this key is not known",
                format!("{name:?}"),
                suggest_names(name, known),
            );
        }
        section
    }

    /// Key of an entry of this table, with the tables that it is in.
    pub fn key_path(&self, name: &str) -> String {
        let is_bare_key = !name.is_empty()
            && name
                .chars()
                .all(|c| c.is_ascii_alphanumeric() || "-_".contains(c));
        let name = if is_bare_key {
            name.to_owned()
        } else {
            format!("{name:?}")
        };
        if self.key.is_empty() {
            name
        } else {
            format!("{}.{name}", self.key)
        }
    }

    /// Whether the table has this key.
    pub fn has(&self, name: &str) -> bool {
        self.table.contains_key(name)
    }

    /// The value of a key; `None` if it is absent.
    pub fn get(&self, name: &str) -> Option<&'t Value<'t>> {
        self.table.get(name)
    }

    /// All keys with their places and values, in the order of the table.
    pub fn iter(&self) -> impl Iterator<Item = (&'t str, Span, &'t Value<'t>)> {
        self.table
            .iter()
            .map(|(name, value)| (&**name.get_ref(), name.span(), value))
    }

    /// Adds a diagnostic if the key is absent. `allowed` says what it should be.
    pub fn require(&self, sink: &mut DiagnosticSink, name: &str, allowed: &str) {
        if !self.has(name) {
            sink.add(
                &self.key_path(name),
                &self.span,
                "this key is required",
                "nothing",
                allowed,
            );
        }
    }

    /// Reads a key by `convert`. If that returns `None`, a diagnostic with `reason` and `allowed` is added.
    pub fn read<T>(
        &self,
        sink: &mut DiagnosticSink,
        name: &str,
        reason: &str,
        allowed: &str,
        convert: impl FnOnce(&DeValue<'t>) -> Option<T>,
    ) -> Option<Located<T>> {
        let value = self.get(name)?;
        let key = self.key_path(name);
        let Some(converted) = convert(value.get_ref()) else {
            sink.add(
                &key,
                &value.span(),
                reason,
                display_value(value.get_ref()),
                allowed,
            );
            return None;
        };
        Some(Located {
            value: converted,
            span: value.span(),
            key,
        })
    }

    /// Reads a text that is not empty.
    pub fn text(&self, sink: &mut DiagnosticSink, name: &str) -> Option<Located<String>> {
        self.read(sink, name, "this is not a text", "a text in quotes", |v| {
            v.as_str().filter(|t| !t.is_empty()).map(str::to_owned)
        })
    }

    /// Reads a duration within a range, in microseconds.
    pub fn duration(
        &self,
        sink: &mut DiagnosticSink,
        name: &str,
        range: RangeInclusive<u64>,
    ) -> Option<Located<u64>> {
        let allowed = format!(
            "a time with its unit, like \"250ms\" or \"1s 500ms\", from {} to {}",
            format_duration(*range.start()),
            format_duration(*range.end())
        );
        let read = self.read(sink, name, "this is not a time", &allowed, |v| {
            v.as_str().and_then(parse_duration)
        })?;
        self.check_range(sink, read, &range, &allowed)
    }

    /// Reads a size within a range, in bytes.
    pub fn size(
        &self,
        sink: &mut DiagnosticSink,
        name: &str,
        range: RangeInclusive<u64>,
    ) -> Option<Located<u64>> {
        let allowed = format!(
            "a size with its unit, like \"64KiB\", from {} to {}",
            format_size(*range.start()),
            format_size(*range.end())
        );
        let read = self.read(sink, name, "this is not a size", &allowed, |v| {
            v.as_str().and_then(parse_size)
        })?;
        self.check_range(sink, read, &range, &allowed)
    }

    /// Reads a whole number within a range.
    pub fn integer(
        &self,
        sink: &mut DiagnosticSink,
        name: &str,
        range: RangeInclusive<u64>,
    ) -> Option<Located<u64>> {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let read = self.read(sink, name, "this is not a whole number", &allowed, |v| {
            v.as_integer()
                .and_then(|n| u64::from_str_radix(n.as_str(), n.radix()).ok())
        })?;
        self.check_range(sink, read, &range, &allowed)
    }

    /// Reads a number within a range.
    pub fn number(
        &self,
        sink: &mut DiagnosticSink,
        name: &str,
        range: RangeInclusive<f64>,
    ) -> Option<Located<f64>> {
        let allowed = format!("a number from {} to {}", range.start(), range.end());
        let read = self.read(sink, name, "this is not a number", &allowed, |v| match v {
            DeValue::Float(number) => number.as_str().parse().ok().filter(|n: &f64| n.is_finite()),
            DeValue::Integer(number) => number.to_string().parse().ok(),
            _ => None,
        })?;
        self.check_range(sink, read, &range, &allowed)
    }

    fn check_range<T: PartialOrd>(
        &self,
        sink: &mut DiagnosticSink,
        read: Located<T>,
        range: &RangeInclusive<T>,
        allowed: &str,
    ) -> Option<Located<T>> {
        if range.contains(&read.value) {
            return Some(read);
        }
        let found = self
            .get(read.key.rsplit('.').next()?)
            .map_or_else(String::new, |value| display_value(value.get_ref()));
        sink.add(
            &read.key,
            &read.span,
            "this is out of range",
            found,
            allowed,
        );
        None
    }

    /// Reads one of the given keywords.
    pub fn keyword<T: Copy>(
        &self,
        sink: &mut DiagnosticSink,
        name: &str,
        keywords: &[(&str, T)],
    ) -> Option<Located<T>> {
        let known: Vec<&str> = keywords.iter().map(|keyword| keyword.0).collect();
        let value = self.get(name)?;
        let allowed = match value.get_ref().as_str() {
            Some(text) => suggest_names(text, &known),
            None => known.join(", "),
        };
        self.read(sink, name, "this value is not known", &allowed, |v| {
            let text = v.as_str()?;
            keywords
                .iter()
                .find(|keyword| keyword.0 == text)
                .map(|keyword| keyword.1)
        })
    }

    /// A table in this one, whose keys must be in `known`.
    pub fn section(
        &self,
        sink: &mut DiagnosticSink,
        name: &str,
        known: &[&str],
    ) -> Option<Section<'t>> {
        let (key, value) = self.table.get_key_value(name)?;
        let path = self.key_path(name);
        match value.get_ref() {
            DeValue::Table(table) => Some(Section::new(sink, table, &path, key.span(), known)),
            other => {
                sink.add(
                    &path,
                    &value.span(),
                    "this is not a table",
                    display_value(other),
                    format!("a table: [{path}]"),
                );
                None
            }
        }
    }

    /// The elements of a list with their keys, like `route[0]`. `of` says what they should be.
    pub fn list(
        &self,
        sink: &mut DiagnosticSink,
        name: &str,
        of: &str,
    ) -> Option<Vec<(String, &'t Value<'t>)>> {
        let value = self.get(name)?;
        let path = self.key_path(name);
        match value.get_ref() {
            DeValue::Array(list) => Some(
                list.iter()
                    .enumerate()
                    .map(|(n, part)| (format!("{path}[{n}]"), part))
                    .collect(),
            ),
            other => {
                sink.add(
                    &path,
                    &value.span(),
                    "this is not a list",
                    display_value(other),
                    format!("a list of {of}"),
                );
                None
            }
        }
    }
}
