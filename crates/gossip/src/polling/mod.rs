//! Election of the proxies that poll the list service on behalf of the fleet, and the times at which they poll.
//!
//! [`TARGET_POLLERS`] proxies poll for all. There is no coordinator: a proxy that knows fewer active pollers draws a
//! random delay and becomes a poller when it expires, unless it has learned of enough others by then. The distribution of
//! the delay is that of the feedback timers of TFMCC ([RFC 4654], section 2.5.1): most delays are long and few are short,
//! so that a few proxies start early and are known before the rest start, whether the fleet has five proxies or ten
//! thousand. Where more poll than are needed, those with the lowest rank (a hash of the [`PeerId`]) step down.
//!
//! A proxy that has had no contact with any peer (all its seeds are down) is isolated: nobody learns that it polls, and
//! it learns of nobody. Each isolated proxy polls for itself, after a delay whose logarithm is distributed evenly, so
//! that a few isolated proxies wait about four seconds and hundreds of them do not poll together.
//!
//! A poller whose polls fail backs off exponentially, never for less than the service's `Retry-After`, and for longer
//! where the service answers slowly. While any poller is known to be retrying, others leave it to that one: the number of
//! polls that reach a failing service does not grow with the fleet. Only when all pollers have failed for long do others
//! take over, rarely: the pollers may be partitioned from the service, and others not.
//!
//! [RFC 4654]: https://www.rfc-editor.org/rfc/rfc4654

mod backoff;
mod known;
mod mechanism;
mod scheduler;
mod status;
mod takeover;

pub use mechanism::Mechanism;
pub use scheduler::PollScheduler;
pub use status::{KnownPoller, PeerId, PollerStatus, MAX_STATUSES};

/// Number of proxies that poll: one may crash while another is partitioned from the service.
pub const TARGET_POLLERS: usize = 3;

#[cfg(test)]
mod tests;
