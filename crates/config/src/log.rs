//! `[log]`: format, levels and rate limit of the log.

use badgerramp_toml_diagnostics::{display_value, DiagnosticSink, Section};

pub(crate) const KEYS: [&str; 4] = ["format", "level", "targets", "rate"];
const LEVELS: [(&str, Level); 5] = [
    ("error", Level::Error),
    ("warn", Level::Warn),
    ("info", Level::Info),
    ("debug", Level::Debug),
    ("trace", Level::Trace),
];
/// Allowed values of `rate`, in lines per second.
const RATE_RANGE: std::ops::RangeInclusive<u64> = 1..=100_000;

/// Severity of a log event, and the threshold below which events are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Faults that need an operator's attention.
    Error,
    /// Conditions that may need an operator's attention.
    Warn,
    /// Events that concern the whole process.
    Info,
    /// Events of each call.
    Debug,
    /// All events.
    Trace,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Format of the lines.
    pub format: Format,
    /// Level of the targets that `targets` does not name.
    pub level: Level,
    /// Log targets and the level of each.
    pub targets: Vec<(String, Level)>,
    /// Maximum number of lines per second; further lines are dropped and counted.
    pub rate: u64,
}

impl Default for Log {
    /// Text format, level `info`, 200 lines per second.
    fn default() -> Self {
        Log {
            format: Format::Text,
            level: Level::Info,
            targets: Vec::new(),
            rate: 200,
        }
    }
}

/// Reads the table. Absent keys keep their default.
pub(crate) fn read(sink: &mut DiagnosticSink, top: &Section<'_>) -> Log {
    let defaults = Log::default();
    let Some(section) = top.section(sink, "log", &KEYS) else {
        return defaults;
    };
    let formats = [("text", Format::Text), ("json", Format::Json)];
    let format = section
        .keyword(sink, "format", &formats)
        .map_or(defaults.format, |w| w.value);
    let level = section
        .keyword(sink, "level", &LEVELS)
        .map_or(defaults.level, |w| w.value);
    let rate = section
        .integer(sink, "rate", RATE_RANGE)
        .map_or(defaults.rate, |r| r.value);
    Log {
        format,
        level,
        targets: targets(sink, &section),
        rate,
    }
}

fn targets(sink: &mut DiagnosticSink, section: &Section<'_>) -> Vec<(String, Level)> {
    let Some(value) = section.get("targets") else {
        return Vec::new();
    };
    let Some(table) = value.get_ref().as_table() else {
        let found = display_value(value.get_ref());
        let allowed = "a table, like { \"badgerramp::calls\" = \"debug\" }";
        sink.add(
            &section.key_path("targets"),
            &value.span(),
            "this is not a table",
            found,
            allowed,
        );
        return Vec::new();
    };
    let names: Vec<&str> = table.iter().map(|(name, _)| &**name.get_ref()).collect();
    let entries = Section::new(
        sink,
        table,
        &section.key_path("targets"),
        value.span(),
        &names,
    );
    let levels = names.iter().filter_map(|name| {
        let level = entries.keyword(sink, name, &LEVELS)?;
        Some(((*name).to_owned(), level.value))
    });
    levels.collect()
}
