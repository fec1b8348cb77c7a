//! The one clock of the program.

use badgerramp_decisions::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Monotonic microseconds that start at the Unix time of the process's start. So a host's start time, which
/// is Unix time, is on this clock as it is, also where it lies before the start of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Micros,
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock::starting_at(unix.as_micros() as Micros)
    }

    /// A clock that shows this Unix time now, in microseconds, and goes on as the runtime's time does: a simulation
    /// has its own.
    pub fn starting_at(unix: Micros) -> Self {
        Clock {
            unix,
            start: Instant::now(),
        }
    }

    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    /// The moment `at` as the timers of the runtime count.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.unix))
    }
}
