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

/// The target of log events of single calls.
pub const CALLS: &str = "badgerramp::calls";

/// The target of log events of clients' connections, and of requests that are rejected before they become calls.
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

/// The writer of one line; the subscriber writes each line in one call.
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

    /// Returns whether a line may be written at `now`, and how many lines were dropped in the second that has just ended.
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
        let (admitted, dropped) = self.0.admit(Instant::now());
        let mut out = &self.0.out;
        if dropped > 0 {
            let text = if self.0.json {
                format!("{{\"level\":\"WARN\",\"target\":\"badgerramp\",\"left_out\":{dropped}}}\n")
            } else {
                format!("WARN badgerramp: dropped {dropped} log lines over the rate limit\n")
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

/// Makes the rate-limited writers to standard error.
struct Writer(Arc<RateLimiter<io::Stderr>>);

impl<'a> MakeWriter<'a> for Writer {
    type Writer = Line<'a, io::Stderr>;

    fn make_writer(&'a self) -> Self::Writer {
        Line(&self.0)
    }
}

/// Converts a level of the operator's file to a filter.
fn level_filter(level: Level) -> LevelFilter {
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
        .map(|(name, level)| (name.clone(), level_filter(*level)));
    // Only events of this program, unless a target names a library.
    let targets = Targets::new()
        .with_target("badgerramp", level_filter(log.level))
        .with_targets(targets);
    let json = log.format == Format::Json;
    let writer = Writer(Arc::new(RateLimiter::new(log.rate, json, io::stderr())));
    let lines = tracing_subscriber::fmt::layer()
        .with_ansi(false)
        .with_writer(writer);
    let registry = tracing_subscriber::registry().with(targets);
    // Fails if an embedding program has installed a subscriber of its own, which then stays.
    let _ = if json {
        registry.with(lines.json().flatten_event(true)).try_init()
    } else {
        registry.with(lines).try_init()
    };
}

#[cfg(test)]
mod tests;
