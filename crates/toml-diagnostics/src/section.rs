//! Single keys out of the parsed text.

use crate::mistake::Mistake;
use crate::values;
use std::ops::{Range, RangeInclusive};
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// A place in the text, in bytes.
pub type Span = Range<usize>;

/// A value and where it was set.
#[derive(Clone, Debug, PartialEq)]
pub struct Set<T> {
    /// The value.
    pub value: T,
    /// Where it stands.
    pub span: Span,
    /// The whole key.
    pub key: String,
}

/// Notes mistakes.
#[derive(Debug, Default)]
pub struct Notes(
    /// So far.
    pub Vec<Mistake>,
);

impl Notes {
    /// Notes a mistake; what else it has to do with can be added to what this returns.
    pub fn add(
        &mut self,
        (key, span): (&str, &Span),
        reason: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> &mut Mistake {
        self.0.push(Mistake {
            span: span.clone(),
            key: key.to_owned(),
            reason: reason.into(),
            found: found.into(),
            allowed: allowed.into(),
            related: Vec::new(),
        });
        let last = self.0.len() - 1;
        &mut self.0[last]
    }
}

/// One table of the file.
#[derive(Clone, Debug)]
pub struct Section<'t> {
    table: &'t DeTable<'t>,
    /// The key of the table itself; empty for the file.
    pub key: String,
    /// Where the table is named.
    pub span: Span,
}

/// A value and its place.
pub type Value<'t> = Spanned<DeValue<'t>>;

/// A value as its writer sees it.
pub fn show(value: &DeValue<'_>) -> String {
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

/// The known name that is nearest to one that is not known.
pub fn nearest<'n>(name: &str, known: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
    let scored = known
        .into_iter()
        .map(|k| (strsim::jaro_winkler(name, k), k));
    scored
        .filter(|(score, _)| *score > 0.8)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, k)| k)
}

/// `did you mean "x"? known: a, b, x`.
pub fn known_names(name: &str, known: &[&str]) -> String {
    let list = if known.len() > 24 {
        format!("one of {} names", known.len())
    } else {
        known.join(", ")
    };
    match nearest(name, known.iter().copied()) {
        Some(near) => format!("did you mean {near:?}? known: {list}"),
        None if known.is_empty() => "none is defined".to_owned(),
        None => list,
    }
}

impl<'t> Section<'t> {
    /// A table that was read; keys that are not known are noted.
    pub fn new(
        notes: &mut Notes,
        table: &'t DeTable<'t>,
        (key, span): (&str, Span),
        known: &[&str],
    ) -> Self {
        let section = Section {
            table,
            key: key.to_owned(),
            span,
        };
        for (name, _) in table
            .iter()
            .filter(|(name, _)| !known.contains(&&**name.get_ref()))
        {
            let place = (section.of(name.get_ref()), name.span());
            notes.add(
                (&place.0, &place.1),
                "this key is not known",
                format!("{:?}", name.get_ref()),
                known_names(name.get_ref(), known),
            );
        }
        section
    }

    /// The whole key of one in this table.
    pub fn of(&self, name: &str) -> String {
        let plain = !name.is_empty()
            && name
                .chars()
                .all(|c| c.is_ascii_alphanumeric() || "-_".contains(c));
        let name = if plain {
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

    /// Is this key there?
    pub fn has(&self, name: &str) -> bool {
        self.table.contains_key(name)
    }

    /// The value of a key.
    pub fn get(&self, name: &str) -> Option<&'t Value<'t>> {
        self.table.get(name)
    }

    /// All keys, their places and values, in their order.
    pub fn iter(&self) -> impl Iterator<Item = (&'t str, Span, &'t Value<'t>)> {
        self.table
            .iter()
            .map(|(name, value)| (&**name.get_ref(), name.span(), value))
    }

    /// Notes that a key is wanted and not there.
    pub fn want(&self, notes: &mut Notes, name: &str, allowed: &str) {
        if !self.has(name) {
            notes.add(
                (&self.of(name), &self.span),
                "this key is wanted",
                "nothing",
                allowed,
            );
        }
    }

    /// Reads a key by `take`, which tells the value or None; then `allowed` is what it may be.
    pub fn read<T>(
        &self,
        notes: &mut Notes,
        name: &str,
        (reason, allowed): (&str, &str),
        take: impl FnOnce(&DeValue<'t>) -> Option<T>,
    ) -> Option<Set<T>> {
        let value = self.get(name)?;
        let key = self.of(name);
        let Some(taken) = take(value.get_ref()) else {
            notes.add(
                (&key, &value.span()),
                reason,
                show(value.get_ref()),
                allowed,
            );
            return None;
        };
        Some(Set {
            value: taken,
            span: value.span(),
            key,
        })
    }

    /// A text that is not empty.
    pub fn text(&self, notes: &mut Notes, name: &str) -> Option<Set<String>> {
        self.read(
            notes,
            name,
            ("this is not a text", "a text in quotes"),
            |v| v.as_str().filter(|t| !t.is_empty()).map(str::to_owned),
        )
    }

    /// A span of time within a range, in microseconds.
    pub fn duration(
        &self,
        notes: &mut Notes,
        name: &str,
        range: RangeInclusive<u64>,
    ) -> Option<Set<u64>> {
        let allowed = format!(
            "a time with its unit, like \"250ms\" or \"1s 500ms\", from {} to {}",
            values::show_duration(*range.start()),
            values::show_duration(*range.end())
        );
        let read = self.read(notes, name, ("this is not a time", &allowed), |v| {
            v.as_str().and_then(values::duration)
        })?;
        self.within(notes, read, &range, &allowed)
    }

    /// A number of bytes within a range.
    pub fn size(
        &self,
        notes: &mut Notes,
        name: &str,
        range: RangeInclusive<u64>,
    ) -> Option<Set<u64>> {
        let allowed = format!(
            "a size with its unit, like \"64KiB\", from {} to {}",
            values::show_size(*range.start()),
            values::show_size(*range.end())
        );
        let read = self.read(notes, name, ("this is not a size", &allowed), |v| {
            v.as_str().and_then(values::size)
        })?;
        self.within(notes, read, &range, &allowed)
    }

    /// A whole number within a range.
    pub fn integer(
        &self,
        notes: &mut Notes,
        name: &str,
        range: RangeInclusive<u64>,
    ) -> Option<Set<u64>> {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let read = self.read(notes, name, ("this is not a whole number", &allowed), |v| {
            v.as_integer()
                .and_then(|n| u64::from_str_radix(n.as_str(), n.radix()).ok())
        })?;
        self.within(notes, read, &range, &allowed)
    }

    /// A number within a range.
    pub fn number(
        &self,
        notes: &mut Notes,
        name: &str,
        range: RangeInclusive<f64>,
    ) -> Option<Set<f64>> {
        let allowed = format!("a number from {} to {}", range.start(), range.end());
        let read = self.read(
            notes,
            name,
            ("this is not a number", &allowed),
            |v| match v {
                DeValue::Float(number) => {
                    number.as_str().parse().ok().filter(|n: &f64| n.is_finite())
                }
                DeValue::Integer(number) => number.to_string().parse().ok(),
                _ => None,
            },
        )?;
        self.within(notes, read, &range, &allowed)
    }

    fn within<T: PartialOrd>(
        &self,
        notes: &mut Notes,
        read: Set<T>,
        range: &RangeInclusive<T>,
        allowed: &str,
    ) -> Option<Set<T>> {
        if range.contains(&read.value) {
            return Some(read);
        }
        let found = self
            .get(read.key.rsplit('.').next()?)
            .map_or_else(String::new, |v| show(v.get_ref()));
        notes.add(
            (&read.key, &read.span),
            "this is out of range",
            found,
            allowed,
        );
        None
    }

    /// One of a few words.
    pub fn word<T: Copy>(
        &self,
        notes: &mut Notes,
        name: &str,
        words: &[(&str, T)],
    ) -> Option<Set<T>> {
        let known: Vec<&str> = words.iter().map(|w| w.0).collect();
        let value = self.get(name)?;
        let allowed = match value.get_ref().as_str() {
            Some(text) => known_names(text, &known),
            None => known.join(", "),
        };
        self.read(notes, name, ("this word is not known", &allowed), |v| {
            let text = v.as_str()?;
            words.iter().find(|w| w.0 == text).map(|w| w.1)
        })
    }

    /// A table in this one.
    pub fn section(&self, notes: &mut Notes, name: &str, known: &[&str]) -> Option<Section<'t>> {
        let (key, value) = self.table.get_key_value(name)?;
        let path = self.of(name);
        match value.get_ref() {
            DeValue::Table(table) => Some(Section::new(notes, table, (&path, key.span()), known)),
            other => {
                notes.add(
                    (&path, &value.span()),
                    "this is not a table",
                    show(other),
                    format!("a table: [{path}]"),
                );
                None
            }
        }
    }

    /// A list in this one; its parts with their keys.
    pub fn list(
        &self,
        notes: &mut Notes,
        name: &str,
        of: &str,
    ) -> Option<Vec<(String, &'t Value<'t>)>> {
        let value = self.get(name)?;
        let path = self.of(name);
        match value.get_ref() {
            DeValue::Array(list) => Some(
                list.iter()
                    .enumerate()
                    .map(|(n, part)| (format!("{path}[{n}]"), part))
                    .collect(),
            ),
            other => {
                notes.add(
                    (&path, &value.span()),
                    "this is not a list",
                    show(other),
                    format!("a list of {of}"),
                );
                None
            }
        }
    }
}
