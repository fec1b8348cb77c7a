//! Timeouts of a watch, derived from the protocol's deadlines and the drain grace period.

use crate::backoff::BackoffBounds;
use crate::Micros;

/// A proxy whose watch went silent counts as notified of a change this long after the silence began. Set by the
/// protocol of the list service.
pub const NOTIFIED_AFTER_SILENCE: Micros = 6_000_000;
/// A proxy whose watch went silent does not count as notified before this long after the end of the poll's wait. Set by
/// the protocol of the list service.
pub const NOTIFIED_AFTER_WAIT: Micros = 2_000_000;
/// Longest time that a poll stays in the queue of the list service, which drops those that have waited longer.
pub const SERVICE_RESPONSE_TIMEOUT: Micros = 3_000_000;
/// Longest time to establish a connection to the source. A host that has vanished sends no refusal.
pub const CONNECT_TIMEOUT: Micros = 1_000_000;
/// Longest time to fetch the complete list: the queue of the service, and half a second for the network and the work.
pub const FETCH_TIMEOUT: Micros = SERVICE_RESPONSE_TIMEOUT + 500_000;

/// Shortest time by which something must be late before that counts as a fault. A process that gets almost no processor
/// time is late by a little less than this on its own account.
const MIN_LATENESS_TOLERANCE: Micros = 100_000;
/// Longest such time: half of the usual drain grace period.
const MAX_LATENESS_TOLERANCE: Micros = 500_000;
/// Shortest wait of a poll at an agent. It costs the agent nothing, yet the proxy should sleep between polls.
const MIN_AGENT_WAIT: Micros = 100_000;
/// Longest wait of a poll at an agent.
const MAX_AGENT_WAIT: Micros = 500_000;

/// Where endpoint lists come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// An agent on the proxy's own machine, to which lists are pushed. It responds at once and at no cost, and is silent
    /// while the list service is down. A proxy counts as notified of all that its agent has.
    Agent,
    /// One service for all proxies, which works through new polls in turn. Continuing a watch costs it little.
    Service,
}

/// Input of [`Timeouts::derive`]. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeoutConfig {
    /// Where lists come from.
    pub source: Source,
    /// Time from when a proxy counts as notified that an endpoint is draining until it must have stopped sending to it.
    pub drain_grace: Micros,
    /// Wait of a poll set by the operator in place of the derived one. With a longer one, what a silent watch misses may
    /// arrive after the proxy counts as notified of it.
    pub wait: Option<Micros>,
}

/// Timeouts of a watch, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Where lists come from.
    pub source: Source,
    /// How long a poll waits at the source for a change.
    pub wait: Micros,
    /// A response that is later than its wait by more than this is overdue: a second poll goes out beside the first.
    pub response_slack: Micros,
    /// Delays between polls that fail.
    pub backoff: BackoffBounds,
}

impl Timeouts {
    /// Derives the timeouts by which a proxy receives a change before the end of the drain grace period.
    pub fn derive(config: TimeoutConfig) -> Self {
        match config.source {
            Source::Agent => Self::for_agent(config),
            Source::Service => Self::for_service(config),
        }
    }

    /// A proxy counts as notified by an agent as soon as the agent is reachable again, so wait and slack together stay
    /// within the grace period.
    fn for_agent(config: TimeoutConfig) -> Self {
        let derived_wait = (config.drain_grace / 2).clamp(MIN_AGENT_WAIT, MAX_AGENT_WAIT);
        let response_slack = lateness_tolerance(config.drain_grace) / 2;
        Timeouts {
            source: Source::Agent,
            wait: config.wait.unwrap_or(derived_wait),
            response_slack,
            backoff: BackoffBounds {
                min: response_slack,
                max: response_slack,
            },
        }
    }

    /// Half of the grace period is kept for the last step, from the list to the requests being written. What is left
    /// must hold, after a watch went silent, the rest of its wait, a new connection that hangs and a response that takes
    /// as long as the service allows:
    ///
    /// `wait + response_slack + CONNECT_TIMEOUT + SERVICE_RESPONSE_TIMEOUT <= NOTIFIED_AFTER_SILENCE + drain_grace / 2`
    ///
    /// After a poll that failed the same time is left, as a proxy counts as notified that long after the service became
    /// reachable. It must hold two delays (a service that recovers may reject once more), a connection and a response.
    fn for_service(config: TimeoutConfig) -> Self {
        let response_slack = lateness_tolerance(config.drain_grace);
        let time_for_polls = NOTIFIED_AFTER_SILENCE + config.drain_grace / 2
            - CONNECT_TIMEOUT
            - SERVICE_RESPONSE_TIMEOUT;
        let derived_wait = time_for_polls
            .saturating_sub(response_slack)
            .min(NOTIFIED_AFTER_SILENCE / 3);
        let max_delay = time_for_polls / 2;
        Timeouts {
            source: Source::Service,
            wait: config.wait.unwrap_or(derived_wait),
            response_slack,
            backoff: BackoffBounds {
                min: response_slack.min(max_delay),
                max: max_delay,
            },
        }
    }

    /// Earliest time at which the proxy counts as notified of a change that its watch misses, measured from when the
    /// poll was sent. The watch went silent `silence` after that.
    pub fn earliest_notification(&self, silence: Micros) -> Micros {
        (silence + NOTIFIED_AFTER_SILENCE).max(self.wait + NOTIFIED_AFTER_WAIT)
    }

    /// Latest time at which the proxy receives a change that its watch misses, measured from when the poll was sent,
    /// provided that a new connection works.
    pub fn latest_receipt(&self) -> Micros {
        self.wait + self.response_slack + CONNECT_TIMEOUT + SERVICE_RESPONSE_TIMEOUT
    }
}

/// How late a response or a tick may be before that counts as a fault: half of the drain grace period, within bounds.
pub(crate) fn lateness_tolerance(drain_grace: Micros) -> Micros {
    (drain_grace / 2).clamp(MIN_LATENESS_TOLERANCE, MAX_LATENESS_TOLERANCE)
}
