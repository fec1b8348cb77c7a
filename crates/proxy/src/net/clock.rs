//! The clock of the proxy.

use badgerramp_decisions::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock in microseconds that starts at the Unix time when it is created. The start times of endpoints,
/// which are Unix time, can be compared with it, also those before the start of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_unix_time: Micros,
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at the system time.
    pub fn start() -> Self {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock::starting_at(unix_time.as_micros() as Micros)
    }

    /// Creates a clock that starts at this Unix time in microseconds. It advances with the clock of the async runtime,
    /// which a simulation can control.
    pub fn starting_at(start_unix_time: Micros) -> Self {
        Clock {
            start_unix_time,
            start: Instant::now(),
        }
    }

    /// The current time, in microseconds.
    pub fn now(&self) -> Micros {
        self.start_unix_time + self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock to an instant for the timers of the async runtime.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.start_unix_time))
    }
}
