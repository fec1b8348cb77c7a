//! The schedule of a graceful shutdown: until when requests keep their whole time, and when the
//! answers to later ones are due.
//!
//! The process may be killed some time after the start of its shutdown. That time is long enough
//! for requests that have been received early in the shutdown. The answers to later ones are due
//! before it has passed, even if their clients would wait longer.

use crate::api::Micros;

/// How long after the start of a shutdown a request may be received that keeps its whole time, in
/// microseconds. Set by the platform's protocol.
const REQUEST_TIME: Micros = 700_000;
/// The longest deadline that prolongs a shutdown, in microseconds. Set by the platform's protocol.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// The time between the last answers to late requests and the earliest kill, in microseconds: the
/// process may be held up for so long.
const KILL_MARGIN: Micros = 150_000;
/// The largest part of the longest deadline that [`KILL_MARGIN`] may take, as a divisor. With short
/// deadlines a late request would otherwise have no time left.
const KILL_MARGIN_DIVISOR: Micros = 4;

/// When the requests of a shutdown have to be received and answered. All times are on the clock of
/// the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    started_at: Micros,
    /// The longest deadline of all classes, as far as it counts.
    longest_deadline: Micros,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that starts now. `longest_deadline` is that of all classes.
    #[must_use]
    pub fn new(started_at: Micros, longest_deadline: Micros) -> Self {
        ShutdownSchedule {
            started_at,
            longest_deadline: longest_deadline.min(MAX_COUNTED_DEADLINE),
        }
    }

    /// Applies the longest deadline of other settings, which can only bring the kill forward:
    /// whoever kills the process may have counted from the start of the shutdown.
    pub fn change_longest_deadline(&mut self, longest_deadline: Micros) {
        self.longest_deadline = self.longest_deadline.min(longest_deadline);
    }

    /// The time after which a request is late.
    #[must_use]
    pub fn late_after(&self) -> Micros {
        self.started_at.saturating_add(REQUEST_TIME)
    }

    /// The earliest time at which the process may be killed.
    #[must_use]
    pub fn kill_at(&self) -> Micros {
        self.late_after().saturating_add(self.longest_deadline)
    }

    /// The time at which the answers to late requests are due, and at which requests that have
    /// been received in part are rejected.
    #[must_use]
    pub fn late_answers_due(&self) -> Micros {
        let margin = KILL_MARGIN.min(self.longest_deadline / KILL_MARGIN_DIVISOR);
        self.kill_at().saturating_sub(margin)
    }

    /// The time at which the answer to a request is due whose last byte was received at
    /// `received_at`; `None` if only its client's deadline counts.
    #[must_use]
    pub fn answer_due(&self, received_at: Micros) -> Option<Micros> {
        (received_at > self.late_after()).then(|| self.late_answers_due())
    }
}
