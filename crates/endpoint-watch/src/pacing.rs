//! Delays between polls, for a proxy that is the only one to poll its source, and for one of a large fleet.

use crate::backoff::Backoff;
use crate::poll_schedule::PollSchedule;
use crate::Micros;

/// The strategy that determines the delay before a poll.
#[derive(Clone, Debug)]
pub(crate) enum Pacing {
    /// Polls are sent immediately, or with backoff after a failure.
    Single(Backoff),
    /// Polls are spread over time, because a large fleet polls the same service.
    Fleet(PollSchedule),
}

impl Pacing {
    /// Delay before the first poll of a source.
    pub(crate) fn initial_delay(&mut self) -> Micros {
        match self {
            Self::Single(_) => 0,
            Self::Fleet(schedule) => schedule.initial_delay(),
        }
    }

    /// Delay before the poll that follows an accepted response. `updated` tells whether the list has changed.
    pub(crate) fn delay_after_response(&mut self, updated: bool) -> Micros {
        match self {
            Self::Single(backoff) => {
                backoff.reset();
                0
            }
            Self::Fleet(schedule) => {
                schedule.reset_backoff();
                if updated {
                    schedule.delay_after_update()
                } else {
                    0
                }
            }
        }
    }

    /// Delay before the poll that follows a failed one.
    pub(crate) fn retry_delay(&mut self) -> Micros {
        match self {
            Self::Single(backoff) => backoff.next_delay(),
            Self::Fleet(schedule) => schedule.retry_delay(),
        }
    }

    /// Resets the backoff of the previous source. A fleet's schedule keeps its failure count, as its initial delay
    /// spreads the polls.
    pub(crate) fn on_source_changed(&mut self) {
        if let Self::Single(backoff) = self {
            backoff.reset();
        }
    }
}
