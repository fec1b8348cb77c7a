//! Detects that this process was stopped for a while (by SIGSTOP, or for lack of processor time).
//!
//! When a process continues after a stall, both client requests and responses of the list source are pending. It must
//! read the responses before it sends requests based on its old list.

use crate::timeouts::lateness_tolerance;
use crate::Micros;

/// Time to read the data that arrived during a stall: a few iterations of the event loop.
pub(crate) const READ_PENDING_TIME: Micros = 20_000;
/// Time to read the data that arrived during a stall, and to poll an agent on the same machine over a new connection.
const CATCH_UP_TIME: Micros = READ_PENDING_TIME + 40_000;

/// Detects late ticks of a periodic timer. All times are in microseconds on the caller's clock.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    /// Lateness of a tick above which it indicates a stall.
    tolerance: Micros,
    next_tick_at: Micros,
    /// Time until which the process reads the data that arrived during the last stall.
    catch_up_until: Micros,
}

impl StallDetector {
    /// Creates a detector that expects its first tick at `first_tick_at`. `drain_grace` is the time within which
    /// requests to a draining endpoint must end; a stall shorter than half of it is not detected.
    pub fn new(first_tick_at: Micros, drain_grace: Micros) -> Self {
        StallDetector {
            tolerance: lateness_tolerance(drain_grace),
            next_tick_at: first_tick_at,
            catch_up_until: 0,
        }
    }

    /// Records a tick at `now`; the next one is expected after `interval`.
    pub fn tick(&mut self, now: Micros, interval: Micros) {
        if self.tick_overdue(now) {
            self.catch_up_until = now + CATCH_UP_TIME;
        }
        self.next_tick_at = now + interval;
    }

    /// How long requests must be held so that the data that arrived during a stall is read first; `None` if there was
    /// no stall.
    pub fn catch_up_time(&self, now: Micros) -> Option<Micros> {
        if self.tick_overdue(now) {
            // The process has continued, and this task runs before the late tick is recorded.
            return Some(CATCH_UP_TIME);
        }
        self.catch_up_until
            .checked_sub(now)
            .filter(|remaining| *remaining > 0)
    }

    fn tick_overdue(&self, now: Micros) -> bool {
        now > self.next_tick_at + self.tolerance
    }
}

#[cfg(test)]
mod tests;
