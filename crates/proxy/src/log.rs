//! The log: `tracing` events as text or JSON on standard error, limited to a number of lines per second. It never holds a
//! body, a key, or the value of a header other than the request's id.

use badgerramp_config::{Format, Level, Log};
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// The target of events of single calls.
pub const CALLS: &str = "badgerramp::calls";

/// The target of events of clients' connections; a request that is rejected before it is a call is logged here alone.
pub const CLIENTS: &str = "badgerramp::clients";

/// Lines written and dropped in the current second.
struct Window {
    since: Instant,
    written: u64,
    dropped: u64,
}

/// Writes at most `rate` lines per second to `out`, and reports how many were dropped.
struct RateLimiter<W> {
    rate: u64,
    json: bool,
    window: Mutex<Window>,
    out: W,
}

/// One line; the subscriber writes each in one call.
struct Line<'a, W>(&'a RateLimiter<W>);

impl<W> RateLimiter<W> {
    fn new(rate: u64, json: bool, out: W) -> Self {
        let window = Window {
            since: Instant::now(),
            written: 0,
            dropped: 0,
        };
        RateLimiter {
            rate,
            json,
            window: Mutex::new(window),
            out,
        }
    }

    /// Whether a line may be written at `now`, and how many were dropped in the second that has ended.
    fn admit(&self, now: Instant) -> (bool, u64) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut dropped_before = 0;
        if now.duration_since(window.since) >= Duration::from_secs(1) {
            dropped_before = window.dropped;
            *window = Window {
                since: now,
                written: 0,
                dropped: 0,
            };
        }
        let admitted = window.written < self.rate;
        if admitted {
            window.written += 1;
        } else {
            window.dropped += 1;
        }
        (admitted, dropped_before)
    }
}

impl<W> Write for Line<'_, W>
where
    for<'b> &'b W: Write,
{
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let (admitted, left_out) = self.0.admit(Instant::now());
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
        if admitted {
            out.write_all(line)?;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        (&self.0.out).flush()
    }
}

/// Where events are written.
struct Writer(Arc<RateLimiter<io::Stderr>>);

impl<'a> MakeWriter<'a> for Writer {
    type Writer = Line<'a, io::Stderr>;

    fn make_writer(&'a self) -> Self::Writer {
        Line(&self.0)
    }
}

/// The filter of a level of the operator's file.
fn filter(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    }
}

/// Installs the subscriber for this process. Only the first call has an effect.
pub fn start(log: &Log) {
    let targets = log
        .targets
        .iter()
        .map(|(name, level)| (name.clone(), filter(*level)));
    // Only events of this program, unless a target names a library.
    let targets = Targets::new()
        .with_target("badgerramp", filter(log.level))
        .with_targets(targets);
    let json = log.format == Format::Json;
    let writer = Writer(Arc::new(RateLimiter::new(log.rate, json, io::stderr())));
    let lines = tracing_subscriber::fmt::layer()
        .with_ansi(false)
        .with_writer(writer);
    let registry = tracing_subscriber::registry().with(targets);
    // An embedding program may have installed its own.
    let _ = if json {
        registry.with(lines.json().flatten_event(true)).try_init()
    } else {
        registry.with(lines).try_init()
    };
}

#[cfg(test)]
mod tests;
