//! The one clock of the proxy.

use badgerramp_decisions::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Monotonic microseconds that start at the Unix time of the process's start. So the start time of an endpoint,
/// which is Unix time, can be compared with it, even if it is earlier than the start of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Micros,
    start: Instant,
}

impl Clock {
    /// A clock that starts at the system time.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock::starting_at(unix.as_micros() as Micros)
    }

    /// A clock that shows this Unix time now, in microseconds, and advances with the runtime's time, which a simulation
    /// controls.
    pub fn starting_at(unix: Micros) -> Self {
        Clock {
            unix,
            start: Instant::now(),
        }
    }

    /// The time now, in microseconds.
    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    /// The time `at` for the timers of the runtime.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.unix))
    }
}
