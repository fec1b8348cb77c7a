//! Has this process stood still? One that did (SIGSTOP, a machine without time for it) finds requests and news of the
//! list side by side when it goes on, and must not act on what it believed before it has read the news.

use crate::Micros;

/// Time to read what has come in meanwhile: a few turns of the loop.
pub(crate) const READ: Micros = 20_000;
/// ... and to ask an agent on the same machine once, on a fresh connection.
const CATCH_UP: Micros = READ + 40_000;

/// Notices that time has passed without this process.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    /// A beat that is so late was held up.
    slack: Micros,
    /// When the next beat is due.
    due: Micros,
    /// Until when news is read first.
    until: Micros,
}

impl StallDetector {
    /// One that expects its first beat at `due`. Half of the time in which sends to a host that drains must end is the
    /// most that goes unnoticed beside the time between beats.
    pub fn new(due: Micros, grace: Micros) -> Self {
        StallDetector {
            slack: (grace / 2).clamp(100_000, 500_000),
            due,
            until: 0,
        }
    }

    /// A beat; the next one comes in `next`.
    pub fn tick(&mut self, now: Micros, next: Micros) {
        if now > self.due + self.slack {
            self.until = now + CATCH_UP;
        }
        self.due = now + next;
    }

    /// How long nothing may be sent, so that what came in meanwhile is read first; `None`: all is well.
    pub fn catch_up_time(&self, now: Micros) -> Option<Micros> {
        if now > self.due + self.slack {
            // The beat itself is still to come.
            return Some(CATCH_UP);
        }
        self.until.checked_sub(now).filter(|left| *left > 0)
    }
}

#[cfg(test)]
mod tests;
