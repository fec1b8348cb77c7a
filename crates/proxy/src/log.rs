//! What the program writes of what it does: events of `tracing` as text or JSON on standard error, within a bound of
//! lines a second. Never a body, a key or a header's value but the request's id.

use badgerramp_config::{Format, Level, Log};
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// The target of what happens to single calls.
pub const CALLS: &str = "badgerramp::calls";

/// The target of what happens to clients' connections: what ends before it is a call is told here alone.
pub const CLIENTS: &str = "badgerramp::clients";

/// Lines that have passed in the present second, and those that were left out.
struct Passed {
    since: Instant,
    lines: u64,
    left_out: u64,
}

/// Lets so many lines a second through to `out`, and tells how many it has kept back.
struct Bounded<W> {
    rate: u64,
    json: bool,
    passed: Mutex<Passed>,
    out: W,
}

/// One line on its way; the writer of events hands each over whole.
struct Line<'a, W>(&'a Bounded<W>);

impl<W> Bounded<W> {
    fn new(rate: u64, json: bool, out: W) -> Self {
        let passed = Passed {
            since: Instant::now(),
            lines: 0,
            left_out: 0,
        };
        Bounded {
            rate,
            json,
            passed: Mutex::new(passed),
            out,
        }
    }

    /// May a line pass at `now`? Also tells how many were kept back in the second that has ended.
    fn pass(&self, now: Instant) -> (bool, u64) {
        let mut passed = self.passed.lock().unwrap_or_else(PoisonError::into_inner);
        let mut told = 0;
        if now.duration_since(passed.since) >= Duration::from_secs(1) {
            told = passed.left_out;
            *passed = Passed {
                since: now,
                lines: 0,
                left_out: 0,
            };
        }
        let passes = passed.lines < self.rate;
        if passes {
            passed.lines += 1;
        } else {
            passed.left_out += 1;
        }
        (passes, told)
    }
}

impl<W> Write for Line<'_, W>
where
    for<'b> &'b W: Write,
{
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let (passes, left_out) = self.0.pass(Instant::now());
        let mut out = &self.0.out;
        if left_out > 0 {
            let text = if self.0.json {
                format!(
                    "{{\"level\":\"WARN\",\"target\":\"badgerramp\",\"left_out\":{left_out}}}\n"
                )
            } else {
                format!("WARN badgerramp: {left_out} lines of this log were left out\n")
            };
            out.write_all(text.as_bytes())?;
        }
        if passes {
            out.write_all(line)?;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        (&self.0.out).flush()
    }
}

/// Where events are written.
struct Writer(Arc<Bounded<io::Stderr>>);

impl<'a> MakeWriter<'a> for Writer {
    type Writer = Line<'a, io::Stderr>;

    fn make_writer(&'a self) -> Self::Writer {
        Line(&self.0)
    }
}

fn filter(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    }
}

/// Events are written like this from now on. Only the first call of a process counts.
pub fn start(log: &Log) {
    let targets = log
        .targets
        .iter()
        .map(|(name, level)| (name.clone(), filter(*level)));
    // Libraries' own events are theirs: only this program's are wanted unless a target names others.
    let targets = Targets::new()
        .with_target("badgerramp", filter(log.level))
        .with_targets(targets);
    let json = log.format == Format::Json;
    let writer = Writer(Arc::new(Bounded::new(log.rate, json, io::stderr())));
    let lines = tracing_subscriber::fmt::layer()
        .with_ansi(false)
        .with_writer(writer);
    let registry = tracing_subscriber::registry().with(targets);
    // An embedding program may have its own.
    let _ = if json {
        registry.with(lines.json().flatten_event(true)).try_init()
    } else {
        registry.with(lines).try_init()
    };
}

#[cfg(test)]
mod tests;
