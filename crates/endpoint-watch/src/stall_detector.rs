//! Detects that this process was stopped for a while (SIGSTOP, a machine without processor time for it).
//!
//! A process that continues after a stall finds requests and responses from the list source side by side. It must read
//! the responses before it acts on the list that it had.

use crate::timeouts::lateness_tolerance;
use crate::Micros;

/// Time to read what arrived during a stall: a few iterations of the event loop.
pub(crate) const READ_PENDING_TIME: Micros = 20_000;
/// Time to read what arrived, and to poll an agent on the same machine once over a new connection.
const CATCH_UP_TIME: Micros = READ_PENDING_TIME + 40_000;

/// Notices late ticks of a periodic timer. All times are in microseconds on the caller's clock.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    /// A tick that is later than this means a stall.
    tolerance: Micros,
    next_tick_at: Micros,
    /// Until then the process reads what arrived during the last stall.
    catch_up_until: Micros,
}

impl StallDetector {
    /// A detector that expects its first tick at `first_tick_at`. A stall shorter than half of `drain_grace`, which is
    /// the time in which requests to a draining endpoint must end, goes unnoticed.
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

    /// How long no request may be sent, so that what arrived during a stall is read first; `None` if there was no stall.
    pub fn catch_up_time(&self, now: Micros) -> Option<Micros> {
        if self.tick_overdue(now) {
            // The process has continued, and other tasks run before the late tick.
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
