//! Election of the proxies that poll the list service on behalf of the fleet, and the schedule of their polls.
//!
//! [`TARGET_POLLERS`] proxies poll for all. There is no coordinator: a proxy that knows fewer active pollers draws a
//! random delay, and becomes a poller when the delay expires unless it has learned of enough other pollers by then. The
//! distribution of the delay is that of the feedback timers of TFMCC ([RFC 4654], section 2.5.1): most delays are long
//! and few are short. A few proxies thus start early and are known before the rest would start, whether the fleet has
//! five proxies or ten thousand. If more proxies poll than needed, those with the lowest rank (a hash of the
//! [`PeerId`]) step down.
//!
//! A proxy that has had no contact with any peer (for example because all its seeds are down) is isolated: other
//! proxies do not learn that it polls, and it does not learn of other pollers. Each isolated proxy polls for itself,
//! after a delay whose logarithm is distributed uniformly. If there are few isolated proxies, they wait about four
//! seconds; if there are hundreds, they do not all poll at the same time.
//!
//! A poller whose polls fail backs off exponentially. The backoff is never shorter than the service's `Retry-After`,
//! and is longer if the service answers slowly. While any poller is known to be retrying, no other proxy takes over, so
//! the number of polls that reach a failing service does not grow with the fleet. Only when all pollers have failed
//! several times do other proxies take over, after longer delays, as the pollers may be partitioned from the service
//! while others can reach it.
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

/// Number of proxies that poll. With three, one may crash while another is partitioned from the service.
pub const TARGET_POLLERS: usize = 3;

#[cfg(test)]
mod tests;
