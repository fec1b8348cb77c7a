//! Has this process stood still? One that did (SIGSTOP, a machine without time for it) finds requests and news of the
//! list side by side when it goes on, and must not act on what it believed before it has read the news.

use crate::Micros;

/// Time to read what has come in meanwhile: a few turns of the loop.
pub(crate) const READ_PENDING_TIME: Micros = 20_000;
/// ... and to ask an agent on the same machine once, on a fresh connection.
const CATCH_UP_TIME: Micros = READ_PENDING_TIME + 40_000;

/// Notices that time has passed without this process.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    /// A beat that is so late was held up.
    tolerance: Micros,
    /// When the next beat is due.
    next_tick_at: Micros,
    /// Until when news is read first.
    catch_up_until: Micros,
}

impl StallDetector {
    /// One that expects its first beat at `first_tick_at`. Half of the time in which sends to a host that drains must end is the
    /// most that goes unnoticed beside the time between beats.
    pub fn new(first_tick_at: Micros, drain_grace: Micros) -> Self {
        StallDetector {
            tolerance: (drain_grace / 2).clamp(100_000, 500_000),
            next_tick_at: first_tick_at,
            catch_up_until: 0,
        }
    }

    /// A beat; the next one comes in `interval`.
    pub fn tick(&mut self, now: Micros, interval: Micros) {
        if now > self.next_tick_at + self.tolerance {
            self.catch_up_until = now + CATCH_UP_TIME;
        }
        self.next_tick_at = now + interval;
    }

    /// How long nothing may be sent, so that what came in meanwhile is read first; `None`: all is well.
    pub fn catch_up_time(&self, now: Micros) -> Option<Micros> {
        if now > self.next_tick_at + self.tolerance {
            // The beat itself is still to come.
            return Some(CATCH_UP_TIME);
        }
        self.catch_up_until
            .checked_sub(now)
            .filter(|remaining| *remaining > 0)
    }
}

#[cfg(test)]
mod tests;
