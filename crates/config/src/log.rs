//! `[log]`: what the program writes of what it does.

use badgerramp_toml_diagnostics::{display_value, DiagnosticSink, Section};

pub(crate) const KEYS: [&str; 4] = ["format", "level", "targets", "rate"];
const LEVELS: [(&str, Level); 5] = [
    ("error", Level::Error),
    ("warn", Level::Warn),
    ("info", Level::Info),
    ("debug", Level::Debug),
    ("trace", Level::Trace),
];
/// Lines a second that may be asked for.
const RATE: std::ops::RangeInclusive<u64> = 1..=100_000;

/// How much is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// What needs somebody.
    Error,
    /// What may.
    Warn,
    /// What happens to the program as a whole.
    Info,
    /// What happens to each call.
    Debug,
    /// All.
    Trace,
}

/// The form of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// What is written, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// The form.
    pub format: Format,
    /// What is written of all that no target names.
    pub level: Level,
    /// Parts of the program and what is written of each.
    pub targets: Vec<(String, Level)>,
    /// Lines a second at the most; what is beyond is counted.
    pub rate: u64,
}

impl Default for Log {
    /// Text, of the program as a whole, 200 lines a second.
    fn default() -> Self {
        Log {
            format: Format::Text,
            level: Level::Info,
            targets: Vec::new(),
            rate: 200,
        }
    }
}

/// Reads the table; what it does not set is as by default.
pub(crate) fn read(notes: &mut DiagnosticSink, top: &Section<'_>) -> Log {
    let plain = Log::default();
    let Some(section) = top.section(notes, "log", &KEYS) else {
        return plain;
    };
    let formats = [("text", Format::Text), ("json", Format::Json)];
    let format = section
        .keyword(notes, "format", &formats)
        .map_or(plain.format, |w| w.value);
    let level = section
        .keyword(notes, "level", &LEVELS)
        .map_or(plain.level, |w| w.value);
    let rate = section
        .integer(notes, "rate", RATE)
        .map_or(plain.rate, |r| r.value);
    Log {
        format,
        level,
        targets: targets(notes, &section),
        rate,
    }
}

fn targets(notes: &mut DiagnosticSink, section: &Section<'_>) -> Vec<(String, Level)> {
    let Some(value) = section.get("targets") else {
        return Vec::new();
    };
    let Some(table) = value.get_ref().as_table() else {
        let found = display_value(value.get_ref());
        let allowed = "a table, like { \"badgerramp::calls\" = \"debug\" }";
        notes.add(
            &section.key_path("targets"),
            &value.span(),
            "this is not a table",
            found,
            allowed,
        );
        return Vec::new();
    };
    let names: Vec<&str> = table.iter().map(|(name, _)| &**name.get_ref()).collect();
    let inner = Section::new(
        notes,
        table,
        &section.key_path("targets"),
        value.span(),
        &names,
    );
    let read = names.iter().filter_map(|name| {
        let level = inner.keyword(notes, name, &LEVELS)?;
        Some(((*name).to_owned(), level.value))
    });
    read.collect()
}
